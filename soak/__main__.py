"""Command line of the soak: ``python -m soak --seeds 1..50 --jobs 3``."""

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
    """Executes one run and returns its result; keeps the logs if a guarantee was violated."""
    path = pathlib.Path(folder) / f"seed-{plan.seed}"
    path.mkdir(parents=True)
    soak_run = run.Run(plan, path)
    try:
        broken = asyncio.run(soak_run.play())
    finally:
        soak_run.close()
    sent, served = soak_run.watch.served(0.0, float("inf"))
    if broken:
        (path / "told.txt").write_text("\n".join([*soak_run.event_log, "", *broken]) + "\n")
    else:
        shutil.rmtree(path)
    return {"seed": plan.seed, "asked": sent, "served": served, "broken": broken[:10]}


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
    """Executes runs and prints a JSON line for each; exits with 1 if a guarantee was violated.

    Args:
        seeds: ``FIRST..LAST`` or numbers joined by commas.
        fresh: Number of additional runs with random seeds.
        jobs: Number of runs executed in parallel.
        folder: Folder for the logs of failed runs; a temporary folder by default.
        faults_s: Length in seconds of the period in which faults start.
        stewards: Stewards of each run.
        gateways: Gateways of each run.
        callers: Callers of each run.
        endpoints: Endpoints of each run.
    """
    folder = folder or tempfile.mkdtemp(prefix="soak-")
    numbers = [*_parse_seeds(str(seeds)), *(secrets.randbelow(10**9) for _ in range(fresh))]
    plans = [run.Plan(n, faults_s, stewards, gateways, callers, endpoints) for n in numbers]
    broken = 0
    with concurrent.futures.ProcessPoolExecutor(jobs) as pool:
        for result in pool.map(play, plans, [folder] * len(plans)):
            broken += bool(result["broken"])
            print(json.dumps(result), flush=True)
    print(f"{len(plans) - broken} passed, {broken} failed; logs in {folder}")
    sys.exit(1 if broken else 0)


def _parse_seeds(text: str) -> list[int]:
    first, separator, last = text.partition("..")
    if separator:
        return list(range(int(first), int(last) + 1))
    return [int(part) for part in text.strip("()[] ").split(",") if part.strip()]


if __name__ == "__main__":
    fire.Fire(main)
