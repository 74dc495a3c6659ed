"""Measures callers' latencies and refusals when the instance that grants a zone's slots fails.

Uses separate processes with production timing; requests go through the zone's other instances."""

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
REQUEST_INTERVAL_S = 0.02
WARM_UP_S = 2.0
FAILURE_S = 10.0


@dataclasses.dataclass
class Outcome:
    """Results of the requests sent after the failure.

    Attributes:
        latencies_s: Sorted latencies of all requests.
        refused_by_code: Number of requests within the rate that were refused, by error code.
    """

    latencies_s: list[float] = dataclasses.field(default_factory=list)
    refused_by_code: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )

    @property
    def refused(self) -> float:
        """Share of requests that were refused."""
        return sum(self.refused_by_code.values()) / max(1, len(self.latencies_s))


async def run(number: signal.Signals) -> Outcome:
    """Runs the experiment.

    Args:
        number: Signal sent to the instance, SIGSTOP or SIGKILL.
    """
    async with live.fleet(2, 4) as (fleet, _, key), contextlib.AsyncExitStack() as stack:
        names = [f"z0-{index}" for index in range(4)]
        target = lease.preferred_holder(lease.shard_of("service", SERVICE), names)
        others = [name for name in names if name != target]
        for zone in ("z0", "z1"):
            addresses = [fleet.address_by_name[f"{zone}-{index}"] for index in range(4)]
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
            await load.wait_until_served(fleet.address_by_name[name])
        async with asyncio.TaskGroup() as group:
            tasks = [
                group.create_task(load.run(fleet.address_by_name[name]))
                for name in others
                for _ in range(CALLERS_PER_INSTANCE)
            ]
            await asyncio.sleep(WARM_UP_S)
            fleet.signal(target, number)
            load.recording = True
            await asyncio.sleep(FAILURE_S)
            for task in tasks:
                task.cancel()
        outcome.latencies_s.sort()
        return outcome


class _Load:
    def __init__(self, outcome: Outcome, key: str) -> None:
        self.outcome = outcome
        self.key = key
        self.recording = False

    async def wait_until_served(self, address: str) -> None:
        sender = caller.Caller([address], "growers", self.key, clock.SystemClock())
        await live.wait_until_served(sender, address)
        await sender.close()

    async def run(self, address: str) -> None:
        sender = caller.Caller([address], "growers", self.key, clock.SystemClock())
        try:
            while True:
                began = time.monotonic()
                answer = await sender.send("GET", "/names", instance=address)
                if self.recording:
                    self.outcome.latencies_s.append(time.monotonic() - began)
                    if answer.status != 200:
                        self.outcome.refused_by_code[str(answer.json().get("error"))] += 1
                await asyncio.sleep(REQUEST_INTERVAL_S)
        finally:
            await sender.close()
