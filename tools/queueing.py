"""Offline simulation of the project's selection policies between a few instances and endpoints."""

from __future__ import annotations

import dataclasses
import heapq
import itertools
import random
import typing

from flamingotiller import clock, kernel, selection

HOP_S = 0.0002
DEADLINE_S = 2.0


@dataclasses.dataclass(frozen=True)
class Setup:
    """An experiment.

    Attributes:
        policy: Selection policy, or ``central`` for one queue that sees everything at once.
        load: Offered work as a share of all slots.
        endpoints: Number of endpoints.
        slots: Number of slots of each endpoint.
        instances: Number of entry instances that requests arrive at.
        service_s: Mean of the exponentially distributed service time.
        requests: Number of requests.
        seed: Seed of arrivals and service times, which are the same for all policies.
        report_lag_s: Interval between the load reports that a policy sees.
        weights: Relative load by organisation.
    """

    policy: str
    load: float
    endpoints: int = 2
    slots: int = 3
    instances: int = 4
    service_s: float = 0.02
    requests: int = 40_000
    seed: int = 1
    report_lag_s: float = 0.0
    weights: tuple[tuple[str, float], ...] = (("o", 1.0),)


@dataclasses.dataclass
class Outcome:
    """Result of an experiment.

    Attributes:
        latency_s: Sorted latencies of requests served within the deadline.
        latency_by_organisation: The same by organisation.
        offered_by_organisation: Number of requests sent.
        overruns: Requests sent to an endpoint without a free slot, which a real one would shed.
    """

    latency_s: list[float]
    latency_by_organisation: dict[str, list[float]]
    offered_by_organisation: dict[str, int]
    overruns: int

    def quantile(self, part: float, organisation: str | None = None) -> float:
        """Returns a quantile of the latency in seconds."""
        values = (
            self.latency_s
            if organisation is None
            else self.latency_by_organisation.get(organisation, [])
        )
        return values[min(len(values) - 1, int(part * len(values)))] if values else float("inf")

    def served_share(self, organisation: str | None = None) -> float:
        """Returns the share of requests that were served within the deadline."""
        if organisation is None:
            return len(self.latency_s) / max(1, sum(self.offered_by_organisation.values()))
        served = len(self.latency_by_organisation.get(organisation, []))
        return served / max(1, self.offered_by_organisation[organisation])


@dataclasses.dataclass
class _Job:
    organisation: str
    arrived_s: float
    service_s: float
    instance: int
    waiter: selection.Waiter | None = None


class _Simulation:
    """A discrete-event simulation; events are ordered by time, then by when they were scheduled."""

    def __init__(self, setup: Setup) -> None:
        self.setup = setup
        self.events: list[tuple[float, int, typing.Callable[[float], None]]] = []
        self.sequence = itertools.count()
        self.latency: dict[str, list[float]] = {}
        self.offered: dict[str, int] = {}
        self.overruns = 0
        self.busy = [0] * setup.endpoints
        self.names = [f"e{number}" for number in range(setup.endpoints)]

    def schedule(self, when: float, action: typing.Callable[[float], None]) -> None:
        heapq.heappush(self.events, (when, next(self.sequence), action))

    def schedule_arrivals(self) -> None:
        setup = self.setup
        rng = random.Random(setup.seed)
        rate = setup.load * setup.endpoints * setup.slots / setup.service_s
        organisations = [name for name, _ in setup.weights]
        weights = [weight for _, weight in setup.weights]
        now = 0.0
        for _ in range(setup.requests):
            now += rng.expovariate(rate)
            organisation = rng.choices(organisations, weights)[0]
            job = _Job(
                organisation,
                now,
                rng.expovariate(1 / setup.service_s),
                rng.randrange(setup.instances),
            )
            self.offered[organisation] = self.offered.get(organisation, 0) + 1
            self.schedule(now, lambda when, job=job: self.arrive(job, when))

    def arrive(self, job: _Job, now: float) -> None:
        raise NotImplementedError

    def record_latency(self, job: _Job, now: float) -> None:
        self.latency.setdefault(job.organisation, []).append(now - job.arrived_s)

    def run(self) -> Outcome:
        self.schedule_arrivals()
        while self.events:
            when, _, action = heapq.heappop(self.events)
            action(when)
        served_in_time = {
            o: sorted(v for v in values if v <= DEADLINE_S) for o, values in self.latency.items()
        }
        latencies = sorted(itertools.chain.from_iterable(served_in_time.values()))
        return Outcome(latencies, served_in_time, self.offered, self.overruns)


class _CentralQueue(_Simulation):
    """One FIFO queue with immediate knowledge of all slots; drops requests past the deadline."""

    def __init__(self, setup: Setup) -> None:
        super().__init__(setup)
        self.free = setup.endpoints * setup.slots
        self.queue: list[_Job] = []
        self.head = 0

    def arrive(self, job: _Job, now: float) -> None:
        slots = self.setup.endpoints * self.setup.slots
        if len(self.queue) - self.head < selection.MAX_QUEUE_PER_SLOT * slots:
            self.queue.append(job)
        self.start(now)

    def start(self, now: float) -> None:
        while self.free and self.head < len(self.queue):
            job = self.queue[self.head]
            self.head += 1
            if now - job.arrived_s > DEADLINE_S:
                continue
            self.free -= 1
            self.schedule(now + job.service_s, lambda when, job=job: self.end(job, when))

    def end(self, job: _Job, now: float) -> None:
        self.free += 1
        self.record_latency(job, now)
        self.start(now)


class _SlotPermits(_Simulation):
    """The project's slot queue, one network hop away from every instance."""

    def __init__(self, setup: Setup) -> None:
        super().__init__(setup)
        self.queue = selection.SlotQueue("s")
        for name in self.names:
            endpoint = selection.Endpoint(name, "s", name, setup.slots, 650, clock.seconds(1e9))
            self.queue.announce(endpoint, clock.seconds(-1000))
        self.job_by_waiter: dict[selection.Waiter, _Job] = {}

    def arrive(self, job: _Job, now: float) -> None:
        self.schedule(now + HOP_S, lambda when: self.ask(job, when))

    def ask(self, job: _Job, now: float) -> None:
        deadline = clock.seconds(job.arrived_s + DEADLINE_S)
        waiter = selection.Waiter(job.organisation, 1.0, deadline)
        if self.queue.ask(waiter, clock.seconds(now)):
            self.job_by_waiter[waiter] = job
        self.start_granted(now)

    def start_granted(self, now: float) -> None:
        for waiter in self.queue.grant(clock.seconds(now)):
            job = self.job_by_waiter.pop(waiter)
            if waiter.permit:
                self.begin(job, waiter.permit, now + HOP_S)

    def begin(self, job: _Job, permit: selection.Permit, now: float) -> None:
        number = self.names.index(permit.endpoint)
        end = now + job.service_s
        self.schedule(now, lambda when: self.enter(number))
        self.schedule(end, lambda when: self.leave(job, number, when))
        self.schedule(end + HOP_S, lambda when: self.release(permit.number, when))

    def enter(self, number: int) -> None:
        self.busy[number] += 1
        self.overruns += self.busy[number] > self.setup.slots

    def leave(self, job: _Job, number: int, now: float) -> None:
        self.busy[number] -= 1
        self.record_latency(job, now)

    def release(self, permit: int, now: float) -> None:
        self.queue.release(permit)
        self.start_granted(now)


class _LocalPolicy(_Simulation):
    """A policy that each instance applies alone; endpoints queue requests beyond their slots."""

    def __init__(self, setup: Setup) -> None:
        super().__init__(setup)
        kind = kernel.selection_policies.get(setup.policy)
        self.policies = [kind(random.Random(number)) for number in range(setup.instances)]
        self.endpoints = [
            selection.Endpoint(name, "s", name, setup.slots, 650, clock.seconds(1e9))
            for name in self.names
        ]
        self.waiting: list[list[_Job]] = [[] for _ in self.names]
        self.reported_at = 0.0

    def arrive(self, job: _Job, now: float) -> None:
        self.report(now)
        policy = self.policies[job.instance]
        chosen = policy.choose(self.endpoints)
        policy.begin(chosen.name)
        number = self.names.index(chosen.name)
        self.overruns += self.busy[number] >= self.setup.slots
        self.waiting[number].append(job)
        self.start(number, now)

    def report(self, now: float) -> None:
        if now - self.reported_at < self.setup.report_lag_s:
            return
        self.reported_at = now
        for number, endpoint in enumerate(self.endpoints):
            endpoint.load = self.busy[number] + len(self.waiting[number])

    def start(self, number: int, now: float) -> None:
        while self.waiting[number] and self.busy[number] < self.setup.slots:
            job = self.waiting[number].pop(0)
            self.busy[number] += 1
            self.schedule(now + job.service_s, lambda when, job=job: self.end(job, number, when))

    def end(self, job: _Job, number: int, now: float) -> None:
        self.busy[number] -= 1
        self.policies[job.instance].end(self.names[number])
        self.record_latency(job, now)
        self.start(number, now)


def run(setup: Setup) -> Outcome:
    """Runs an experiment."""
    kernel.load_plugins()
    kinds: dict[str, type[_Simulation]] = {"central": _CentralQueue, "slot_permits": _SlotPermits}
    return kinds.get(setup.policy, _LocalPolicy)(setup).run()
