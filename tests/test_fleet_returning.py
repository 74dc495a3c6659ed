"""Retry-After: callers refused in a burst return when there is room, in time for their objective.

The load is a burst at a few endpoints with slots, as in a wave of one region."""

import heapq
import random

import pytest

from flamingotiller import clock
from flamingotiller.fleet import returning

OBJECTIVE_S = 1.5
DURATION_S = 0.7  # of a request whose object is warm
SLOTS = 12


def serve_burst(after_s, burst, background_per_s, seed):
    """Returns how many of a burst's requests are served within the objective.

    Requests that find all slots taken are refused at once and return once, as callers do, after the
    time that they were told.
    """
    rng = random.Random(seed)
    arrivals = [(0.001 * n, 0.001 * n, 0) for n in range(burst)]
    arrivals += [(t, t, 1) for t in (rng.uniform(0, 4) for _ in range(int(4 * background_per_s)))]
    heapq.heapify(arrivals)
    ends = []
    in_time = 0
    while arrivals:
        now, first_at, returns = heapq.heappop(arrivals)
        ends = [end for end in ends if end > now]
        if len(ends) < SLOTS:
            end = now + DURATION_S * rng.uniform(0.7, 1.3)
            ends.append(end)
            in_time += returns != 1 and end - first_at <= OBJECTIVE_S
        elif returns == 0:
            heapq.heappush(arrivals, (now + after_s(), first_at, 2))
    return in_time


@pytest.mark.parametrize("burst", [16, 24, 36])
@pytest.mark.parametrize("background_per_s", [0, 5])
def test_more_callers_of_a_burst_are_served_in_time_than_with_multiples_of_the_objective(
    burst, background_per_s
):
    def served(after_s_of):
        return sum(
            serve_burst(after_s_of(random.Random(seed)), burst, background_per_s, seed)
            for seed in range(20)
        )

    def from_durations(rng):
        times = returning.ReturnTimes(rng)
        times.record("s", clock.seconds(DURATION_S))
        return lambda: times.after_s("s", OBJECTIVE_S, shed=False)

    def from_objective(rng):
        return lambda: OBJECTIVE_S * rng.uniform(0.5, 1.5)

    assert served(from_durations) > served(from_objective)


def test_wait_follows_the_observed_durations_and_never_exceeds_the_objective():
    times = returning.ReturnTimes(random.Random(1))
    for _ in range(200):
        times.record("slow", clock.seconds(60))
        times.record("fast", clock.seconds(0.1))
    for _ in range(50):
        assert times.after_s("slow", OBJECTIVE_S, shed=False) <= OBJECTIVE_S
        assert times.after_s("unknown", OBJECTIVE_S, shed=False) <= OBJECTIVE_S
        assert times.after_s("fast", OBJECTIVE_S, shed=False) <= 0.1
        assert times.after_s("fast", OBJECTIVE_S, shed=True) >= returning.SHORTEST_S


def test_caller_whose_request_was_shed_returns_sooner_than_one_that_found_no_room():
    times = returning.ReturnTimes(random.Random(1))
    times.record("s", clock.seconds(1))
    shed = [times.after_s("s", OBJECTIVE_S, shed=True) for _ in range(50)]
    full = [times.after_s("s", OBJECTIVE_S, shed=False) for _ in range(50)]
    assert max(shed) <= min(full) + 1e-9
