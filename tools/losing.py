"""Measures the system while messages between its roles are lost and delayed: how long changes, key
withdrawals and endpoints' leaving take, and which callers' requests are refused.

All roles run in one process; the client that each of them sends with injects the faults."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import datetime
import random
import typing

from flamingotiller import caller, client, clock, embedded, errors

ORGANISATION = "growers"
CONTRACT = {
    "organisation": ORGANISATION,
    "rate": 2000.0,
    "burst": 2000.0,
    "routes": [{"name": "n", "path": "/names", "service": "search", "idempotent": True}],
}
ZONES = {"z1": "r1", "z2": "r1", "z3": "r2"}
SEATS = 3
POLL_INTERVAL_S = 0.02
REQUEST_INTERVAL_S = 0.05
SETTLE_S = 2.0


@dataclasses.dataclass(frozen=True)
class Setup:
    """An experiment.

    Attributes:
        loss_rate: Share of exchanges that lose their request or, as often, their answer.
        delay_rate: Share of requests that are delayed.
        delay_s: Maximum delay.
        rounds: Number of keys that are given and withdrawn, and of times that an endpoint leaves.
        seed: Seed of losses and delays.
    """

    loss_rate: float = 0.1
    delay_rate: float = 0.1
    delay_s: float = 3.0
    rounds: int = 5
    seed: int = 1


@dataclasses.dataclass
class Outcome:
    """Result of an experiment; times in seconds.

    Attributes:
        in_force_delays_s: From the acceptance of a change until every instance had it in force.
        withdrawal_delays_s: From the acceptance of a withdrawal until no instance took the key.
        leave_delays_s: From the start of an endpoint's leaving until its last new request.
        sent: Requests sent with a key in force and within the rate.
        refused_by_code: Number of those that were refused, by error code.
    """

    in_force_delays_s: list[float] = dataclasses.field(default_factory=list)
    withdrawal_delays_s: list[float] = dataclasses.field(default_factory=list)
    leave_delays_s: list[float] = dataclasses.field(default_factory=list)
    sent: int = 0
    refused_by_code: dict[str, int] = dataclasses.field(default_factory=dict)

    @property
    def refused(self) -> float:
        """Share of requests that were wrongly refused."""
        return sum(self.refused_by_code.values()) / max(1, self.sent)


class MessageFaults:
    """Loses and delays messages of clients.

    Args:
        setup: Rates and seed.
    """

    def __init__(self, setup: Setup) -> None:
        self._setup = setup
        self._rng = random.Random(setup.seed)

    def install(self, sender: typing.Any) -> None:
        """Replaces a client's ``call`` by one with faults."""
        call = sender.call

        async def lossy(peer, method, target, body=None, *, timeout, **more):
            return await self._call(call, (peer, method, target, body), timeout, more)

        sender.call = lossy

    async def _call(self, call, message, timeout: datetime.timedelta, more) -> client.Response:
        peer, method, target, _ = message
        try:
            async with asyncio.timeout(timeout.total_seconds()):
                if self._rng.random() < self._setup.delay_rate:
                    await asyncio.sleep(self._rng.uniform(0, self._setup.delay_s))
                draw = self._rng.random()
                if draw < self._setup.loss_rate / 2:
                    await asyncio.sleep(timeout.total_seconds())
                answer = await call(*message, timeout=timeout, **more)
                if draw < self._setup.loss_rate:
                    await asyncio.sleep(timeout.total_seconds())
                return answer
        except TimeoutError as error:
            raise errors.ExchangeTimeoutError(
                "no answer in time", step=f"{method} {target}", peer=peer
            ) from error


class _Run:
    def __init__(self, setup: Setup, fleet: embedded.Fleet, operator: typing.Any) -> None:
        self.setup = setup
        self.fleet = fleet
        self.operator = operator
        self.clock = clock.SystemClock()
        self.outcome = Outcome()

    def now(self) -> float:
        return self.clock.monotonic().total_seconds()

    async def prepare(self) -> str:
        await self.operator.change("deployment/main", self.fleet.deployment(), 0)
        await self.operator.change(f"contract/{ORGANISATION}", CONTRACT, 0)
        key = await self.give_key()
        async with asyncio.timeout(30), contextlib.AsyncExitStack() as stack:
            for entry in self.fleet.entries:
                sender = caller.Caller([entry.address], ORGANISATION, key, self.clock)
                stack.push_async_callback(sender.close)
                await wait_until(lambda sender=sender: is_served(sender))
        return key

    async def give_key(self) -> str:
        key, _ = await self.operator.give_key(ORGANISATION)
        return key

    async def measure_until(self, condition: typing.Callable[[typing.Any], bool]) -> float:
        """Returns the time until a condition is true at every entry instance."""
        began = self.now()
        await wait_until(lambda: holds_everywhere(condition, self.fleet.entries))
        return self.now() - began

    async def withdraw(self) -> None:
        key = await self.give_key()
        version = self.fleet.controls[0].feed.version
        self.outcome.in_force_delays_s.append(
            await self.measure_until(lambda e: e.feed.version >= version)
        )
        await self.operator.withdraw_key(ORGANISATION, key.split(".")[1])
        self.outcome.withdrawal_delays_s.append(
            await self.measure_until(lambda e: not accepts_key(e, key))
        )
        await asyncio.sleep(SETTLE_S)

    async def leave(self) -> None:
        leaving = self.fleet.endpoints[0]
        began = self.now()
        await wait_until(leaving.leave)
        last_run_at = began
        count = len(leaving.runs)
        while self.now() - began < 2 * SETTLE_S:
            await asyncio.sleep(POLL_INTERVAL_S)
            if len(leaving.runs) != count:
                count, last_run_at = len(leaving.runs), self.now()
        self.outcome.leave_delays_s.append(last_run_at - began)
        leaving.leaving = False

    async def load(self, key: str, address: str) -> None:
        sender = caller.Caller([address], ORGANISATION, key, self.clock)
        try:
            while True:
                answer = await sender.send("GET", "/names", instance=address)
                self.outcome.sent += 1
                if answer.status != 200:
                    code = str(answer.json().get("error"))
                    count = self.outcome.refused_by_code.get(code, 0)
                    self.outcome.refused_by_code[code] = count + 1
                await asyncio.sleep(REQUEST_INTERVAL_S)
        finally:
            await sender.close()


async def wait_until(condition: typing.Callable[[], typing.Awaitable[bool]]) -> None:
    """Polls an asynchronous condition until it is true."""
    holds = await condition()
    while not holds:
        await asyncio.sleep(POLL_INTERVAL_S)
        holds = await condition()


async def is_served(sender: caller.Caller) -> bool:
    """Sends a request and returns whether it is served."""
    return (await sender.send("GET", "/names")).status == 200


async def holds_everywhere(condition, entries) -> bool:
    """Returns whether a condition is true at every entry instance."""
    return all(condition(entry) for entry in entries)


def accepts_key(entry: typing.Any, key: str) -> bool:
    """Returns whether an entry instance would run a request with a key now."""
    fresh = entry.feed.is_fresh(entry.config.freshness_bound)
    return fresh and entry.feed.view.organisation_of_key(key) is not None


async def run(setup: Setup) -> Outcome:
    """Runs an experiment."""
    plan = embedded.Plan(
        ZONES,
        SEATS,
        3,
        ("search",),
        endpoints_per_zone=2,
        slots=9,
        service_time_s=0.005,
        short_intervals=False,
    )
    async with embedded.running(plan) as fleet, fleet.operator() as operator:
        experiment = _Run(setup, fleet, operator)
        key = await experiment.prepare()
        faults = MessageFaults(setup)
        for daemon in (*fleet.controls, *fleet.entries):
            faults.install(daemon.client)
        for endpoint in fleet.endpoints:
            faults.install(endpoint.client)
        async with asyncio.TaskGroup() as group:
            callers = [group.create_task(experiment.load(key, e.address)) for e in fleet.entries]
            for _ in range(setup.rounds):
                await experiment.withdraw()
                await experiment.leave()
            for task in callers:
                task.cancel()
    return experiment.outcome
