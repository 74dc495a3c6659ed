"""What callers notice when the instance that hands out a zone's slots is frozen or killed: separate
processes with the timing of production, asked through the zone's other instances."""

from __future__ import annotations

import asyncio
import collections
import contextlib
import dataclasses
import signal
import time

from flamingotiller import caller, clock, endpoint_emulator, lease
from tools import live, processes

SERVICE = "search"
CALLERS_PER_INSTANCE = 4
PACE_S = 0.02
BEFORE_S = 2.0
FAILED_S = 10.0


@dataclasses.dataclass
class Outcome:
    """What callers got while an instance had failed.

    Attributes:
        latencies_s: Latency of each request, in order of size.
        refused_by_code: Requests that were refused although they were within the rate.
    """

    latencies_s: list[float] = dataclasses.field(default_factory=list)
    refused_by_code: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )

    @property
    def refused(self) -> float:
        """Part of the requests that were refused."""
        return sum(self.refused_by_code.values()) / max(1, len(self.latencies_s))


async def run(number: signal.Signals) -> Outcome:
    """Runs the experiment.

    Args:
        number: Signal for the instance, SIGSTOP or SIGKILL.
    """
    async with live.fleet(2, 4) as (made, _, key), contextlib.AsyncExitStack() as stack:
        names = [f"z0-{index}" for index in range(4)]
        victim = lease.preferred(lease.shard_of("service", SERVICE), names)
        others = [name for name in names if name != victim]
        for zone in ("z0", "z1"):
            addresses = [made.address_by_name[f"{zone}-{index}"] for index in range(4)]
            for index in range(2):
                profile = endpoint_emulator.Profile(
                    SERVICE, f"{zone}-e{index}", slots=6, service_time_s=0.02
                )
                endpoint = endpoint_emulator.EmulatedEndpoint(
                    profile, addresses, processes.SERVICE_TOKEN
                )
                await endpoint.start()
                stack.push_async_callback(endpoint.stop)
        outcome = Outcome()
        load = _Load(outcome, key)
        for name in [*others, "z1-0"]:
            await load.until_served(made.address_by_name[name])
        async with asyncio.TaskGroup() as group:
            tasks = [
                group.create_task(load.run(made.address_by_name[name]))
                for name in others
                for _ in range(CALLERS_PER_INSTANCE)
            ]
            await asyncio.sleep(BEFORE_S)
            made.signal(victim, number)
            load.counts = True
            await asyncio.sleep(FAILED_S)
            for task in tasks:
                task.cancel()
        outcome.latencies_s.sort()
        return outcome


class _Load:
    def __init__(self, outcome: Outcome, key: str) -> None:
        self.outcome = outcome
        self.key = key
        self.counts = False

    async def until_served(self, address: str) -> None:
        sender = caller.Caller([address], "growers", self.key, clock.SystemClock())
        await live.wait_until_served(sender, address)
        await sender.close()

    async def run(self, address: str) -> None:
        sender = caller.Caller([address], "growers", self.key, clock.SystemClock())
        try:
            while True:
                began = time.monotonic()
                answer = await sender.send("GET", "/names", instance=address)
                if self.counts:
                    self.outcome.latencies_s.append(time.monotonic() - began)
                    if answer.status != 200:
                        self.outcome.refused_by_code[str(answer.json().get("error"))] += 1
                await asyncio.sleep(PACE_S)
        finally:
            await sender.close()
