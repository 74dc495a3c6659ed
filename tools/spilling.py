"""Offline simulation of rules for moving requests between two zones, among them the difference
threshold of Antonis, Garofalakis and Spirakis (docs/design/shifts.md)."""

from __future__ import annotations

import collections
import dataclasses
import functools
import heapq
import itertools
import random
import typing

SLOTS = 6
SERVICE_S = 0.02
# Time from the decision to move a request to its arrival: one message each way.
MOVE_S = 0.0028


@dataclasses.dataclass(frozen=True)
class Setup:
    """An experiment.

    Attributes:
        rule: ``none``: never; ``permit``: more than ``threshold`` times the slots wait here, and
            the other zone has a free slot and an empty queue; ``sender``: more than that wait here
            and not in the other zone, free slots aside; ``difference``: the zones' populations
            differ by at least ``threshold``. The other zone's state is known exactly.
        loads: Offered work of each zone as a share of its slots.
        threshold: Threshold of the rule.
        requests: Number of requests.
        seed: Seed of arrivals and service times.
    """

    rule: str
    loads: tuple[float, float]
    threshold: float = 1.0
    requests: int = 40_000
    seed: int = 1


@dataclasses.dataclass(frozen=True)
class Outcome:
    """Result of an experiment.

    Attributes:
        mean_s: Mean latency.
        p99_s: 99th percentile of the latency.
        moved_share: Moves per request.
    """

    mean_s: float
    p99_s: float
    moved_share: float


class _Simulation:
    def __init__(self, setup: Setup) -> None:
        self.setup = setup
        self.events: list[tuple[float, int, typing.Callable[[float], None]]] = []
        self.sequence = itertools.count()
        self.busy = [0, 0]
        self.in_transit = [0, 0]
        self.waiting: list[collections.deque[tuple[float, float]]] = [
            collections.deque(),
            collections.deque(),
        ]
        self.latencies: list[float] = []
        self.moved = 0

    def schedule(self, when: float, action: typing.Callable[[float], None]) -> None:
        heapq.heappush(self.events, (when, next(self.sequence), action))

    def run(self) -> Outcome:
        rng = random.Random(self.setup.seed)
        rates = [load * SLOTS / SERVICE_S for load in self.setup.loads]
        now = 0.0
        for _ in range(self.setup.requests):
            now += rng.expovariate(sum(rates))
            zone = 0 if rng.random() < rates[0] / sum(rates) else 1
            job = (now, rng.expovariate(1 / SERVICE_S))
            self.schedule(now, functools.partial(self.arrive, zone, job))
        while self.events:
            when, _, action = heapq.heappop(self.events)
            action(when)
        values = sorted(self.latencies)
        return Outcome(
            sum(values) / len(values), values[int(0.99 * len(values))], self.moved / len(values)
        )

    def arrive(self, zone: int, job: tuple[float, float], now: float) -> None:
        self.waiting[zone].append(job)
        self.start_waiting(zone, now)

    def start_waiting(self, zone: int, now: float) -> None:
        while self.waiting[zone] and self.busy[zone] + self.in_transit[zone] < SLOTS:
            self.busy[zone] += 1
            self.begin(zone, self.waiting[zone].popleft(), now)
        for sender in (0, 1):
            while self.wants_to_move(sender):
                self.move(sender, now)

    def begin(self, zone: int, job: tuple[float, float], now: float) -> None:
        self.schedule(now + job[1], lambda when: self.end(zone, job, when))

    def end(self, zone: int, job: tuple[float, float], now: float) -> None:
        self.busy[zone] -= 1
        self.latencies.append(now - job[0])
        self.start_waiting(zone, now)

    def population(self, zone: int) -> int:
        return self.busy[zone] + self.in_transit[zone] + len(self.waiting[zone])

    def wants_to_move(self, sender: int) -> bool:
        other, threshold = 1 - sender, self.setup.threshold
        if not self.waiting[sender] or self.setup.rule == "none":
            return False
        if self.setup.rule == "difference":
            return self.population(sender) - self.population(other) >= threshold
        is_overloaded = len(self.waiting[sender]) > threshold * SLOTS
        if self.setup.rule == "sender":
            return is_overloaded and len(self.waiting[other]) <= threshold * SLOTS
        return is_overloaded and not self.waiting[other] and self.population(other) < SLOTS

    def move(self, sender: int, now: float) -> None:
        self.moved += 1
        job = self.waiting[sender].popleft()
        # A request in transit occupies the other zone, as a granted permit does.
        self.in_transit[1 - sender] += 1
        self.schedule(now + MOVE_S, functools.partial(self.arrive_moved, 1 - sender, job))

    def arrive_moved(self, zone: int, job: tuple[float, float], now: float) -> None:
        self.in_transit[zone] -= 1
        if self.busy[zone] < SLOTS:
            self.busy[zone] += 1
            self.begin(zone, job, now)
            return
        self.waiting[zone].appendleft(job)
        self.start_waiting(zone, now)


def run(setup: Setup) -> Outcome:
    """Runs an experiment."""
    return _Simulation(setup).run()
