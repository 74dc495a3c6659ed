"""Offline experiments with rate limits: arrivals at several zones, the project's own buckets, and
transfers that take as long as a message between regions."""

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
        zones: Zones.
        rate: The contract's rate.
        burst: The contract's burst.
        offered: Offered rate as a part of the contract's rate.
        seconds: Length after a warm-up in which the buckets fill.
        seed: Seed of the arrivals.
        wait_s: How long a request may wait for a token.
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
        arrivals: Requests sent.
        entitled: Requests that one bucket of the whole contract would have admitted.
        wrongful_refusals: Requests refused beyond those that such a bucket would have refused.
        max_excess: Largest excess over rate and burst that such a bucket ever saw, in requests.
        wait_p99_s: 99th percentile over all admitted requests of the wait for a token.
    """

    arrivals: int
    entitled: int
    wrongful_refusals: int
    max_excess: float
    wait_p99_s: float


def arrivals(setup: Setup) -> list[tuple[float, int]]:
    """Returns times and zones of the requests."""
    rng = random.Random(setup.seed)
    times: list[tuple[float, int]] = []
    if setup.pattern == "burst":
        # The whole burst at one zone after each time of idleness.
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


class _Run:
    """State of one run."""

    def __init__(self, setup: Setup) -> None:
        kernel.load_plugins()
        kind: typing.Any = kernel.limiters.get(setup.kind)
        self.setup = setup
        self.zones = [f"z{number}" for number in range(setup.zones)]
        start = clock.seconds(-100)
        self.purses = [
            limiter.Purse(
                kind(limiter.zone_share("o", setup.rate, setup.burst, zone, self.zones), start)
            )
            for zone in self.zones
        ]
        sharing = limiter.share_zones("o", setup.burst, self.zones)
        self.lenders = [self.zones.index(zone) for zone in sharing]
        self.waiting: list[collections.deque[float]] = [collections.deque() for _ in self.zones]
        self.recent: list[collections.deque[float]] = [collections.deque() for _ in self.zones]
        self.borrowing = [False] * setup.zones
        self.borrowed_at = [-1.0] * setup.zones
        self.open_asks = [0] * setup.zones
        self.gained = [0.0] * setup.zones
        self.paused_until = [[-1.0] * setup.zones for _ in self.zones]
        self.events: list[tuple[float, int, typing.Callable[[float], None]]] = []
        self.order = itertools.count()
        self.admitted: list[float] = []
        self.waits: list[float] = []
        self.messages = 0

    def at(self, when: float, what: typing.Callable[[float], None]) -> None:
        heapq.heappush(self.events, (when, next(self.order), what))

    def run(self) -> None:
        for when, zone in arrivals(self.setup):
            self.at(when, functools.partial(self.arrive, zone))
        while self.events:
            when, _, what = heapq.heappop(self.events)
            what(when)

    def arrive(self, zone: int, now: float) -> None:
        recent, waiting = self.recent[zone], self.waiting[zone]
        recent.append(now)
        while now - recent[0] > admission.AHEAD.total_seconds():
            recent.popleft()
        if not waiting and self.purses[zone].take(clock.seconds(now)):
            self.admitted.append(now)
            low = self.purses[zone].tokens(clock.seconds(now)) < len(recent) / 2
            pause = admission.AHEAD_PAUSE.total_seconds()
            if low and now - self.borrowed_at[zone] >= pause:
                self.begin(zone, now)
            return
        if len(waiting) >= self.setup.burst + self.setup.rate * self.setup.wait_s:
            return
        waiting.append(now)
        self.begin(zone, now)

    def begin(self, zone: int, now: float) -> None:
        if not self.borrowing[zone]:
            self.borrowing[zone] = True
            self.ask(zone, now)

    def ask(self, zone: int, now: float) -> None:
        lenders = [i for i in self.lenders if i != zone and now >= self.paused_until[zone][i]]
        self.open_asks[zone] = max(1, len(lenders))
        self.gained[zone] = 0.0
        if not lenders:
            self.answer(zone, now)
            return
        ahead = min(len(self.recent[zone]), admission.AHEAD_BURST_FRACTION * self.setup.burst)
        wanted = max(1.0, (len(self.waiting[zone]) + ahead) / len(lenders))
        self.messages += len(lenders)
        for lender in lenders:
            if self.is_cut(zone, now) or self.is_cut(lender, now):
                timeout = 2 * admission.LOAN_TIMEOUT.total_seconds()
                pause = breaker.OPEN_DURATION.total_seconds()
                self.paused_until[zone][lender] = now + timeout + pause
                self.at(now + timeout, functools.partial(self.answer, zone))
            else:
                self.at(now + ONE_WAY_S, functools.partial(self.lend, zone, lender, now, wanted))

    def is_cut(self, zone: int, now: float) -> bool:
        """Returns whether the zone's links are cut: the first one's in the middle third."""
        third = self.setup.seconds / 3
        return self.setup.pattern == "cut" and zone == 0 and third <= now < 2 * third

    def lend(self, zone: int, lender: int, asked: float, wanted: float, now: float) -> None:
        loan = self.purses[lender].bucket.lend(wanted, clock.seconds(now))
        self.at(now + ONE_WAY_S, functools.partial(self.receive, zone, lender, asked, loan))

    def receive(self, zone: int, lender: int, asked: float, loan: limiter.Loan, now: float) -> None:
        purse = self.purses[zone]
        purse.borrow(str(lender), loan, clock.seconds(asked), clock.seconds(now))
        for part in range(1, 6):
            pause = part * admission.SETTLE_INTERVAL.total_seconds()
            self.at(now + pause, lambda when: self.settle(purse, when))
        self.gained[zone] += loan.tokens
        self.answer(zone, now)

    def answer(self, zone: int, now: float) -> None:
        self.serve(zone, now)
        self.open_asks[zone] -= 1
        if self.open_asks[zone]:
            return
        if not self.waiting[zone]:
            self.end(zone, now)
            return
        pause = 0.0 if self.gained[zone] >= 1.0 else admission.ROUND_PAUSE.total_seconds()
        self.at(now + pause, functools.partial(self.again, zone))

    def again(self, zone: int, now: float) -> None:
        self.serve(zone, now)
        waiting = self.waiting[zone]
        while waiting and now - waiting[0] >= self.setup.wait_s:
            waiting.popleft()
        if waiting:
            self.ask(zone, now)
        else:
            self.end(zone, now)

    def end(self, zone: int, now: float) -> None:
        self.borrowing[zone] = False
        self.borrowed_at[zone] = now

    def serve(self, zone: int, now: float) -> None:
        purse, waiting = self.purses[zone], self.waiting[zone]
        while waiting and purse.take(clock.seconds(now)):
            self.admitted.append(now)
            self.waits.append(now - waiting.popleft())
        self.settle(purse, now)

    def settle(self, purse: limiter.Purse, now: float) -> None:
        for lender, told in purse.settlements(clock.seconds(now)):
            self.at(now + ONE_WAY_S, functools.partial(self.settle_at, int(lender), told))

    def settle_at(self, lender: int, told: limiter.Settlement, now: float) -> None:
        self.purses[lender].bucket.settle(told, clock.seconds(now))


def _one_bucket(times: list[float], setup: Setup) -> tuple[int, float]:
    """Returns how many requests one bucket of the whole contract admits, and its largest debt."""
    level, at, admitted, debt = setup.burst, 0.0, 0, 0.0
    strict = setup.burst
    for when in times:
        level = min(setup.burst, level + (when - at) * setup.rate)
        strict = min(setup.burst, strict + (when - at) * setup.rate) - 1.0
        debt = max(debt, -strict)
        at = when
        if level >= 1.0:
            level -= 1.0
            admitted += 1
    return admitted, debt


def run(setup: Setup) -> Outcome:
    """Runs an experiment."""
    state = _Run(setup)
    state.run()
    times = [when for when, _ in arrivals(setup)]
    entitled, _ = _one_bucket(times, setup)
    _, over = _one_bucket(sorted(state.admitted), setup)
    wrongful = max(0, entitled - len(state.admitted))
    waits = sorted([0.0] * (len(state.admitted) - len(state.waits)) + state.waits)
    p99 = waits[int(0.99 * len(waits))] if waits else 0.0
    return Outcome(len(times), entitled, wrongful, max(0.0, over), p99)
