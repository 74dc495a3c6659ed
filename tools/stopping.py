"""Measures graceful stops under full load.

Each entry instance of a zone is stopped with SIGTERM and restarted in turn. Meanwhile callers with
persistent connections send short requests that queue, long uploads, and requests whose answers
stream for seconds."""

from __future__ import annotations

import asyncio
import collections
import contextlib
import dataclasses
import signal
import typing

from flamingotiller import caller, client, clock, endpoint_emulator, errors
from tools import live, processes

INSTANCES = 4
QUEUED_CALLERS = 24
STREAMING_CALLERS = 4
UPLOADING_CALLERS = 4
SLOTS = 8
STREAMED_CHUNKS = 60
UPLOAD_BYTES = 1_000_000
TIMEOUT = clock.seconds(30)


@dataclasses.dataclass
class Outcome:
    """Requests sent and their failures.

    Attributes:
        count_by_kind: Requests by kind: ``queued``, ``streamed``, ``uploaded``.
        faults: Descriptions of interrupted or refused requests and of failed stops.
        stops: Number of stops.
    """

    count_by_kind: collections.Counter[str] = dataclasses.field(default_factory=collections.Counter)
    faults: list[str] = dataclasses.field(default_factory=list)
    stops: int = 0

    @property
    def count(self) -> int:
        """Total number of requests."""
        return sum(self.count_by_kind.values())


async def run(
    requests: int = 10_000, more: typing.Sequence[str] = (), restart_pause_s: float = 4.5
) -> Outcome:
    """Stops instances in turn until enough requests were sent and each was stopped once.

    Args:
        requests: Minimum number of requests.
        more: Additional flags of the entry instances.
        restart_pause_s: Pause after each restart; an instance must not vote on leases until one
            lease has passed since its start.
    """
    async with (
        live.fleet(1, INSTANCES, *more) as (fleet, _, key),
        contextlib.AsyncExitStack() as stack,
    ):
        names = [f"z0-{index}" for index in range(INSTANCES)]
        addresses = [fleet.address_by_name[name] for name in names]
        for index in range(2):
            profile = endpoint_emulator.Profile("search", f"e{index}", slots=SLOTS)
            endpoint = endpoint_emulator.EmulatedEndpoint(
                profile, addresses, processes.SERVICE_TOKEN
            )
            await endpoint.start()
            stack.push_async_callback(endpoint.stop)
        load = _Load(addresses, key)
        for address in addresses:
            await load.wait_until_served(address)
        async with asyncio.TaskGroup() as group:
            for kind, count in (
                ("queued", QUEUED_CALLERS),
                ("streamed", STREAMING_CALLERS),
                ("uploaded", UPLOADING_CALLERS),
            ):
                for _ in range(count):
                    group.create_task(load.run(kind))
            while load.outcome.stops < INSTANCES or load.outcome.count < requests:
                await load.restart(fleet, names[load.outcome.stops % INSTANCES])
                await asyncio.sleep(restart_pause_s)
            load.stopped = True
        return load.outcome


class _Load:
    def __init__(self, addresses: list[str], key: str) -> None:
        self.addresses = addresses
        self.key = key
        self.outcome = Outcome()
        self.stopped = False

    def caller(self, addresses: list[str]) -> caller.Caller:
        return caller.Caller(addresses, "growers", self.key, clock.SystemClock())

    async def wait_until_served(self, address: str) -> None:
        sender = self.caller([address])
        await live.wait_until_served(sender, address)
        await sender.close()

    async def restart(self, fleet: processes.Processes, name: str) -> None:
        fleet.signal(name, signal.SIGTERM)
        code = await asyncio.to_thread(fleet.process_by_name[name].wait, 60)
        if code != 0:
            self.outcome.faults.append(f"{name} ended with {code}")
        self.outcome.stops += 1
        fleet.restart(name)
        await self.wait_until_served(fleet.address_by_name[name])

    async def run(self, kind: str) -> None:
        sender = self.caller(self.addresses)
        try:
            while not self.stopped:
                await self.send(kind, sender)
        finally:
            await sender.close()

    async def send(self, kind: str, sender: caller.Caller) -> None:
        try:
            answer = await self.answer(kind, sender)
        except errors.TransportError as error:
            self.outcome.faults.append(f"{kind}: {error}")
        else:
            if not self.is_complete(kind, answer):
                self.outcome.faults.append(f"{kind}: {answer.status} {answer.body[:200]!r}")
        self.outcome.count_by_kind[kind] += 1

    async def answer(self, kind: str, sender: caller.Caller) -> client.Response:
        if kind == "streamed":
            return await sender.send("GET", f"/names?chunks={STREAMED_CHUNKS}", timeout=TIMEOUT)
        if kind == "uploaded":
            return await sender.send("POST", "/names", bytes(UPLOAD_BYTES), timeout=TIMEOUT)
        return await sender.send("GET", "/names?work_s=0.004", timeout=TIMEOUT)

    def is_complete(self, kind: str, answer: client.Response) -> bool:
        if answer.status != 200:
            return False
        if kind == "streamed":
            expected = STREAMED_CHUNKS * len(endpoint_emulator.STREAMED_CHUNK)
            return len(answer.body) == expected
        return answer.json()["body_bytes"] == (UPLOAD_BYTES if kind == "uploaded" else 0)
