"""The tour that ``make run`` shows ends well and shows every step."""

import asyncio

from flamingotiller import tour


def test_tour_shows_every_step(capsys):
    asyncio.run(asyncio.wait_for(tour.run(keep=False), 60))
    lines = capsys.readouterr().out.splitlines()
    starts = [
        "version", "served: GET /names for breeders", "served: GET /names for distillers",
        "at most once", "wrong key refused: status 401, outcome not-run", "key withdrawn",
        "endpoint", "rate kept",
    ]  # fmt: skip
    assert [line.startswith(start) for line, start in zip(lines, starts, strict=True)] == [True] * 8
