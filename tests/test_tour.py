"""The demonstration of ``make run`` completes and prints every step."""

import asyncio

from flamingotiller import tour


def test_tour_prints_every_step(capsys):
    asyncio.run(asyncio.wait_for(tour.run(keep=False), 60))
    lines = capsys.readouterr().out.splitlines()
    prefixes = [
        "version", "served: GET /names for breeders", "served: GET /names for distillers",
        "at most once", "wrong key refused: status 401, outcome not-run", "key withdrawn",
        "endpoint", "rate kept",
    ]  # fmt: skip
    assert [line.startswith(p) for line, p in zip(lines, prefixes, strict=True)] == [True] * 8
