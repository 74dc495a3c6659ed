"""When refused callers are told to return: from how long work takes, by what kept them out.

A full endpoint has room again when requests that run there end, so callers return within the time
that a request takes, spread out so that they do not meet again. An endpoint that sheds requests
though it has room fails at random, and the next endpoint may do at once. The latency objective only
bounds the answer: a caller that returns after it can no longer be served in time, so it gains
nothing by a shorter wait."""

from __future__ import annotations

import datetime
import random

# Requests over which the time that a service's requests take is averaged.
AVERAGING_REQUESTS = 20
# Range of Retry-After as parts of the time that a request takes, when endpoints are full and when
# they have shed the request though not full.
FULL_RANGE = (0.3, 1.0)
SHED_RANGE = (0.05, 0.3)
# Before any request has been served, requests are taken to last for the objective.
SHORTEST_S = 0.05


class ReturnTimes:
    """Computes Retry-After for the refused requests of one gateway.

    Args:
        rng: Random number generator that spreads the callers.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._mean_s_by_service: dict[str, float] = {}

    def record(self, service: str, duration: datetime.timedelta) -> None:
        """Records how long an endpoint took for a request that it served."""
        duration_s = duration.total_seconds()
        mean_s = self._mean_s_by_service.get(service, duration_s)
        self._mean_s_by_service[service] = mean_s + (duration_s - mean_s) / AVERAGING_REQUESTS

    def after_s(self, service: str, objective_s: float, *, shed: bool) -> float:
        """Returns how many seconds a refused caller should wait.

        Args:
            service: Service that the request is for.
            objective_s: Latency objective of its route.
            shed: Whether endpoints have shed the request; else they had no room for it.
        """
        low, high = SHED_RANGE if shed else FULL_RANGE
        duration_s = min(self._mean_s_by_service.get(service, objective_s), objective_s)
        return max(SHORTEST_S, duration_s * self._rng.uniform(low, high))
