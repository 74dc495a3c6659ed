"""Plays runs of the soak: ``python -m soak --seeds 1..50 --jobs 3``."""

from __future__ import annotations

import asyncio
import concurrent.futures
import json
import pathlib
import secrets
import shutil
import sys
import tempfile

import fire

from soak import run


def play(plan: run.Plan, folder: str) -> dict[str, object]:
    """Plays one run and returns what became of it; its logs stay where a promise was broken."""
    path = pathlib.Path(folder) / f"seed-{plan.seed}"
    path.mkdir(parents=True)
    made = run.Run(plan, path)
    try:
        broken = asyncio.run(made.play())
    finally:
        made.close()
    asked, served = made.watch.served(0.0, float("inf"))
    if broken:
        (path / "told.txt").write_text("\n".join([*made.fault_log, "", *broken]) + "\n")
    else:
        shutil.rmtree(path)
    return {"seed": plan.seed, "asked": asked, "served": served, "broken": broken[:10]}


def main(
    seeds: str = "",
    fresh: int = 0,
    jobs: int = 2,
    folder: str = "",
    faults_s: float = 12.0,
    stewards: int = 3,
    gateways: int = 4,
    callers: int = 8,
    endpoints: int = 6,
) -> None:
    """Plays runs and prints a JSON line for each; exits with 1 if a promise was broken.

    Args:
        seeds: ``FIRST..LAST`` or numbers joined by commas.
        fresh: Number of runs with seeds that nobody has chosen.
        jobs: Runs at the same time.
        folder: Where logs of broken runs stay; a temporary folder unless given.
        faults_s: How long faults begin, seconds.
        stewards: Stewards of each run.
        gateways: Gateways of each run.
        callers: Callers of each run.
        endpoints: Endpoints of each run.
    """
    folder = folder or tempfile.mkdtemp(prefix="soak-")
    numbers = [*_numbers(str(seeds)), *(secrets.randbelow(10**9) for _ in range(fresh))]
    plans = [run.Plan(n, faults_s, stewards, gateways, callers, endpoints) for n in numbers]
    broken = 0
    with concurrent.futures.ProcessPoolExecutor(jobs) as pool:
        for result in pool.map(play, plans, [folder] * len(plans)):
            broken += bool(result["broken"])
            print(json.dumps(result), flush=True)
    print(f"{len(plans) - broken} passed, {broken} failed; logs in {folder}")
    sys.exit(1 if broken else 0)


def _numbers(text: str) -> list[int]:
    first, separator, last = text.partition("..")
    if separator:
        return list(range(int(first), int(last) + 1))
    return [int(part) for part in text.strip("()[] ").split(",") if part.strip()]


if __name__ == "__main__":
    fire.Fire(main)
