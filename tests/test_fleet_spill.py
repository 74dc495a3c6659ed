"""Moves between regions: a regional wave and a cold start shift a bounded part from one window to
the next, both ways; after failures work moves at once."""

import random

import pytest

from flamingotiller import clock
from flamingotiller.fleet import spill

BOUND = 0.15


def play(wants_to_leave, gateways=4, rate=40.0, length_s=24.0, seed=1):
    """Returns (time, elsewhere) of each request, over gateways that each govern themselves."""
    rng = random.Random(seed)
    governors = [spill.SpillLimiter(BOUND, rng.random()) for _ in range(gateways)]
    sent = []
    for step in range(int(length_s / 0.005)):
        seconds = step * 0.005
        for governor in governors:
            if rng.random() >= rate * 0.005:
                continue
            now = clock.seconds(100 + seconds)
            wants = rng.random() < wants_to_leave(seconds)
            elsewhere = governor.must_spill(now) or (wants and governor.may_spill(now))
            if wants and not elsewhere:
                continue  # refused
            governor.record(elsewhere, now)
            sent.append((seconds, elsewhere))
    return sent


def largest_shift(sent, length_s=24.0):
    """Returns the largest change of the share elsewhere between adjoining windows."""

    def share(begin):
        found = [e for at, e in sent if begin <= at < begin + 2]
        return sum(found) / len(found) if len(found) > 40 else None

    worst = 0.0
    for step in range(int((length_s - 4) / 0.25)):
        first, second = share(step * 0.25), share(step * 0.25 + 2)
        if first is not None and second is not None:
            worst = max(worst, abs(second - first))
    return worst


PATTERNS = {
    "cold start": lambda s: 0.45 if s < 1.5 else 0.0,
    "regional wave": lambda s: 0.5 if 8 < s < 14 else 0.0,
    "on and off": lambda s: 0.6 if int(s / 3) % 2 else 0.05,
    "most at once": lambda s: 0.6 if s > 10 else 0.0,
    "all at once": lambda s: 1.0 if s > 10 else 0.0,
}


@pytest.mark.parametrize("pattern", PATTERNS)
@pytest.mark.parametrize("seed", [1, 2, 3])
def test_share_elsewhere_changes_by_less_than_the_bound(pattern, seed):
    assert largest_shift(play(PATTERNS[pattern], seed=seed)) <= BOUND


@pytest.mark.parametrize("pattern", PATTERNS)
@pytest.mark.parametrize("seed", [1, 2, 3])
def test_many_gateways_with_few_requests_each_keep_the_bound_together(pattern, seed):
    """Twenty gateways see eight requests a second each; a share of sixteen is coarse."""
    sent = play(PATTERNS[pattern], gateways=20, rate=8.0, seed=seed)
    assert largest_shift(sent) <= BOUND


def test_without_the_governor_the_same_loads_would_break_the_bound(monkeypatch):
    monkeypatch.setattr(spill.SpillLimiter, "may_spill", lambda self, now: True)
    monkeypatch.setattr(spill.SpillLimiter, "must_spill", lambda self, now: False)
    assert all(largest_shift(play(PATTERNS[p])) > BOUND for p in PATTERNS)


def test_after_failures_work_moves_at_once_and_is_bound_again_later():
    governor = spill.SpillLimiter(BOUND, 0.5)
    now = clock.seconds(100)
    for _ in range(400):
        now += clock.seconds(0.01)
        governor.record(False, now)
    assert governor.may_spill(now)
    for _ in range(30):
        governor.record(True, now)
    assert not governor.may_spill(now)
    governor.suspend(now)
    assert governor.may_spill(now)
    later = now + spill.SUSPENSION + clock.seconds(4)
    for _ in range(400):
        later += clock.seconds(0.01)
        governor.record(False, later)
    for _ in range(30):
        governor.record(True, later)
    assert not governor.may_spill(later)
