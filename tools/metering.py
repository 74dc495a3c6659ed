"""Offline simulation of rate limits.

Requests arrive at several zones; the project's own buckets admit them, and messages between zones
take as long as between regions."""

from __future__ import annotations

import collections
import dataclasses
import functools
import heapq
import itertools
import random
import typing

from flamingotiller import admission, breaker, clock, kernel, limiter

ONE_WAY_S = 0.02


@dataclasses.dataclass(frozen=True)
class Setup:
    """An experiment.

    Attributes:
        kind: Limiter.
        pattern: ``uniform``, ``one-zone``, ``skewed`` (half at one zone), ``burst``, or ``cut``
            (uniform, with the links of the first zone cut in the middle third).
        zones: Number of zones.
        rate: Rate of the contract.
        burst: Burst of the contract.
        offered: Offered rate as a share of the contract's rate.
        seconds: Length after a warm-up in which the buckets fill.
        seed: Seed of the arrivals.
        wait_s: Maximum time that a request waits for a token.
    """

    kind: str
    pattern: str
    zones: int = 6
    rate: float = 200.0
    burst: float = 100.0
    offered: float = 0.9
    seconds: float = 120.0
    seed: int = 1
    wait_s: float = limiter.MAX_WAIT.total_seconds()


@dataclasses.dataclass(frozen=True)
class Outcome:
    """Result of an experiment.

    Attributes:
        arrivals: Number of requests.
        entitled: Requests that a single bucket for the whole contract would admit.
        wrongful_refusals: Requests refused beyond those that the single bucket would refuse.
        max_excess: Maximum excess of the admitted requests over rate and burst, in requests.
        wait_p99_s: 99th percentile of the wait for a token, over all admitted requests.
    """

    arrivals: int
    entitled: int
    wrongful_refusals: int
    max_excess: float
    wait_p99_s: float


def arrivals(setup: Setup) -> list[tuple[float, int]]:
    """Returns the times and zones of the requests."""
    rng = random.Random(setup.seed)
    times: list[tuple[float, int]] = []
    if setup.pattern == "burst":
        # After each idle period nearly the whole burst arrives at one zone.
        pause = 2 * setup.burst / setup.rate
        count = int(setup.seconds / pause)
        for number in range(count):
            at = number * pause
            times += [(at + k * 1e-4, number % setup.zones) for k in range(int(setup.burst * 0.95))]
        return times
    now = 0.0
    while now < setup.seconds:
        now += rng.expovariate(setup.rate * setup.offered)
        zone = rng.randrange(setup.zones)
        if setup.pattern == "one-zone" or (setup.pattern == "skewed" and rng.random() < 0.5):
            zone = 0
        times.append((now, zone))
    return times


class _Simulation:
    """A discrete-event simulation; events are ordered by time, then by when they were scheduled."""

    def __init__(self, setup: Setup) -> None:
        kernel.load_plugins()
        kind: typing.Any = kernel.limiters.get(setup.kind)
        self.setup = setup
        self.zones = [f"z{number}" for number in range(setup.zones)]
        start = clock.seconds(-100)
        self.pools = [
            limiter.TokenPool(
                kind(limiter.zone_share("o", setup.rate, setup.burst, zone, self.zones), start)
            )
            for zone in self.zones
        ]
        sharing = limiter.zones_with_share("o", setup.burst, self.zones)
        self.lenders = [self.zones.index(zone) for zone in sharing]
        self.waiting: list[collections.deque[float]] = [collections.deque() for _ in self.zones]
        self.recent: list[collections.deque[float]] = [collections.deque() for _ in self.zones]
        self.borrowing = [False] * setup.zones
        self.borrowed_at = [-1.0] * setup.zones
        self.pending_loans = [0] * setup.zones
        self.gained = [0.0] * setup.zones
        self.paused_until = [[-1.0] * setup.zones for _ in self.zones]
        self.events: list[tuple[float, int, typing.Callable[[float], None]]] = []
        self.sequence = itertools.count()
        self.admitted: list[float] = []
        self.waits: list[float] = []
        self.messages = 0

    def schedule(self, when: float, action: typing.Callable[[float], None]) -> None:
        heapq.heappush(self.events, (when, next(self.sequence), action))

    def run(self) -> None:
        for when, zone in arrivals(self.setup):
            self.schedule(when, functools.partial(self.arrive, zone))
        while self.events:
            when, _, action = heapq.heappop(self.events)
            action(when)

    def arrive(self, zone: int, now: float) -> None:
        recent, waiting = self.recent[zone], self.waiting[zone]
        recent.append(now)
        while now - recent[0] > admission.BORROW_AHEAD_WINDOW.total_seconds():
            recent.popleft()
        if not waiting and self.pools[zone].take(clock.seconds(now)):
            self.admitted.append(now)
            low = self.pools[zone].tokens(clock.seconds(now)) < len(recent) / 2
            pause = admission.BORROW_AHEAD_INTERVAL.total_seconds()
            if low and now - self.borrowed_at[zone] >= pause:
                self.start_borrowing(zone, now)
            return
        if len(waiting) >= self.setup.burst + self.setup.rate * self.setup.wait_s:
            return
        waiting.append(now)
        self.start_borrowing(zone, now)

    def start_borrowing(self, zone: int, now: float) -> None:
        if not self.borrowing[zone]:
            self.borrowing[zone] = True
            self.request_loans(zone, now)

    def request_loans(self, zone: int, now: float) -> None:
        lenders = [i for i in self.lenders if i != zone and now >= self.paused_until[zone][i]]
        self.pending_loans[zone] = max(1, len(lenders))
        self.gained[zone] = 0.0
        if not lenders:
            self.on_loan_answer(zone, now)
            return
        ahead = min(
            len(self.recent[zone]), admission.BORROW_AHEAD_BURST_FRACTION * self.setup.burst
        )
        wanted = max(1.0, (len(self.waiting[zone]) + ahead) / len(lenders))
        self.messages += len(lenders)
        for lender in lenders:
            if self.is_cut(zone, now) or self.is_cut(lender, now):
                timeout = 2 * admission.LOAN_TIMEOUT.total_seconds()
                pause = breaker.OPEN_DURATION.total_seconds()
                self.paused_until[zone][lender] = now + timeout + pause
                self.schedule(now + timeout, functools.partial(self.on_loan_answer, zone))
            else:
                self.schedule(
                    now + ONE_WAY_S, functools.partial(self.lend, zone, lender, now, wanted)
                )

    def is_cut(self, zone: int, now: float) -> bool:
        """Returns whether a zone's links are cut: those of the first zone in the middle third."""
        third = self.setup.seconds / 3
        return self.setup.pattern == "cut" and zone == 0 and third <= now < 2 * third

    def lend(self, zone: int, lender: int, asked_at: float, wanted: float, now: float) -> None:
        loan = self.pools[lender].bucket.lend(wanted, clock.seconds(now))
        self.schedule(
            now + ONE_WAY_S, functools.partial(self.receive, zone, lender, asked_at, loan)
        )

    def receive(
        self, zone: int, lender: int, asked_at: float, loan: limiter.Loan, now: float
    ) -> None:
        pool = self.pools[zone]
        pool.borrow(str(lender), loan, clock.seconds(asked_at), clock.seconds(now))
        for part in range(1, 6):
            pause = part * admission.SETTLE_INTERVAL.total_seconds()
            self.schedule(now + pause, lambda when: self.settle(pool, when))
        self.gained[zone] += loan.tokens
        self.on_loan_answer(zone, now)

    def on_loan_answer(self, zone: int, now: float) -> None:
        self.admit_waiting(zone, now)
        self.pending_loans[zone] -= 1
        if self.pending_loans[zone]:
            return
        if not self.waiting[zone]:
            self.stop_borrowing(zone, now)
            return
        pause = 0.0 if self.gained[zone] >= 1.0 else admission.BORROW_RETRY_DELAY.total_seconds()
        self.schedule(now + pause, functools.partial(self.borrow_again, zone))

    def borrow_again(self, zone: int, now: float) -> None:
        self.admit_waiting(zone, now)
        waiting = self.waiting[zone]
        while waiting and now - waiting[0] >= self.setup.wait_s:
            waiting.popleft()
        if waiting:
            self.request_loans(zone, now)
        else:
            self.stop_borrowing(zone, now)

    def stop_borrowing(self, zone: int, now: float) -> None:
        self.borrowing[zone] = False
        self.borrowed_at[zone] = now

    def admit_waiting(self, zone: int, now: float) -> None:
        pool, waiting = self.pools[zone], self.waiting[zone]
        while waiting and pool.take(clock.seconds(now)):
            self.admitted.append(now)
            self.waits.append(now - waiting.popleft())
        self.settle(pool, now)

    def settle(self, pool: limiter.TokenPool, now: float) -> None:
        for lender, settlement in pool.settlements(clock.seconds(now)):
            self.schedule(
                now + ONE_WAY_S, functools.partial(self.settle_with_lender, int(lender), settlement)
            )

    def settle_with_lender(self, lender: int, settlement: limiter.Settlement, now: float) -> None:
        self.pools[lender].bucket.settle(settlement, clock.seconds(now))


def _single_bucket(times: list[float], setup: Setup) -> tuple[int, float]:
    """Returns how many requests one bucket for the contract admits, and its debt if it took all."""
    tokens, previous, admitted, max_debt = setup.burst, 0.0, 0, 0.0
    tokens_if_all_run = setup.burst
    for when in times:
        earned = (when - previous) * setup.rate
        tokens = min(setup.burst, tokens + earned)
        tokens_if_all_run = min(setup.burst, tokens_if_all_run + earned) - 1.0
        max_debt = max(max_debt, -tokens_if_all_run)
        previous = when
        if tokens >= 1.0:
            tokens -= 1.0
            admitted += 1
    return admitted, max_debt


def run(setup: Setup) -> Outcome:
    """Runs an experiment."""
    simulation = _Simulation(setup)
    simulation.run()
    times = [when for when, _ in arrivals(setup)]
    entitled, _ = _single_bucket(times, setup)
    _, max_excess = _single_bucket(sorted(simulation.admitted), setup)
    wrongful_refusals = max(0, entitled - len(simulation.admitted))
    waits = sorted([0.0] * (len(simulation.admitted) - len(simulation.waits)) + simulation.waits)
    p99 = waits[int(0.99 * len(waits))] if waits else 0.0
    return Outcome(len(times), entitled, wrongful_refusals, max(0.0, max_excess), p99)
