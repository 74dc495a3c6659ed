"""The share of spilled requests changes by a bounded step between windows, up and down, in a
regional wave and a cold start; after failures requests move at once."""

import random

import pytest

from flamingotiller import clock
from flamingotiller.fleet import spill

BOUND = 0.15


def simulate(spill_probability, gateways=4, rate=40.0, length_s=24.0, seed=1):
    """Returns (time, spilled) of each request, over gateways with a limiter each."""
    rng = random.Random(seed)
    limiters = [spill.SpillLimiter(BOUND, rng.random()) for _ in range(gateways)]
    sent = []
    for step in range(int(length_s / 0.005)):
        seconds = step * 0.005
        for limiter in limiters:
            if rng.random() >= rate * 0.005:
                continue
            now = clock.seconds(100 + seconds)
            wants_to_spill = rng.random() < spill_probability(seconds)
            spilled = limiter.must_spill(now) or (wants_to_spill and limiter.may_spill(now))
            if wants_to_spill and not spilled:
                continue  # The request is refused.
            limiter.record(spilled, now)
            sent.append((seconds, spilled))
    return sent


def largest_shift(sent, length_s=24.0):
    """Returns the largest change of the spilled share between adjoining windows."""

    def share(begin):
        in_window = [spilled for at, spilled in sent if begin <= at < begin + 2]
        return sum(in_window) / len(in_window) if len(in_window) > 40 else None

    largest = 0.0
    for step in range(int((length_s - 4) / 0.25)):
        first, second = share(step * 0.25), share(step * 0.25 + 2)
        if first is not None and second is not None:
            largest = max(largest, abs(second - first))
    return largest


PATTERNS = {
    "cold start": lambda s: 0.45 if s < 1.5 else 0.0,
    "regional wave": lambda s: 0.5 if 8 < s < 14 else 0.0,
    "on and off": lambda s: 0.6 if int(s / 3) % 2 else 0.05,
    "most at once": lambda s: 0.6 if s > 10 else 0.0,
    "all at once": lambda s: 1.0 if s > 10 else 0.0,
}


@pytest.mark.parametrize("pattern", PATTERNS)
@pytest.mark.parametrize("seed", [1, 2, 3])
def test_spilled_share_changes_by_less_than_the_bound(pattern, seed):
    assert largest_shift(simulate(PATTERNS[pattern], seed=seed)) <= BOUND


@pytest.mark.parametrize("pattern", PATTERNS)
@pytest.mark.parametrize("seed", [1, 2, 3])
def test_many_gateways_with_few_requests_each_keep_the_bound_together(pattern, seed):
    """Each of 20 gateways has 8 requests per second, 16 per window, so its share is coarse."""
    sent = simulate(PATTERNS[pattern], gateways=20, rate=8.0, seed=seed)
    assert largest_shift(sent) <= BOUND


def test_bound_is_exceeded_without_the_limiter(monkeypatch):
    monkeypatch.setattr(spill.SpillLimiter, "may_spill", lambda self, now: True)
    monkeypatch.setattr(spill.SpillLimiter, "must_spill", lambda self, now: False)
    assert all(largest_shift(simulate(PATTERNS[p])) > BOUND for p in PATTERNS)


def test_limit_is_suspended_after_failures_and_applies_again_later():
    limiter = spill.SpillLimiter(BOUND, 0.5)
    now = clock.seconds(100)
    for _ in range(400):
        now += clock.seconds(0.01)
        limiter.record(False, now)
    assert limiter.may_spill(now)
    for _ in range(30):
        limiter.record(True, now)
    assert not limiter.may_spill(now)
    limiter.suspend(now)
    assert limiter.may_spill(now)
    later = now + spill.SUSPENSION + clock.seconds(4)
    for _ in range(400):
        later += clock.seconds(0.01)
        limiter.record(False, later)
    for _ in range(30):
        limiter.record(True, later)
    assert not limiter.may_spill(later)
