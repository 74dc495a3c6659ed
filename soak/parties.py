"""Participants of a soak run outside the system: endpoints, callers and the operator's client."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import random
import time
import urllib.parse

import h11

from flamingotiller import client, clock, errors, server, wire
from soak import oracle, processes

CALL_TIMEOUT = clock.seconds(1)
RETRY_PAUSE_S = 0.1
LOOKUP_INTERVAL_S = 1.0
DEADLINE_MS = 2000
# Share of requests whose answer is lost, and share of those that are shed, outside faults.
DEFAULT_FAILURE_RATE = 0.01
# How long a caller that leaves waits for its answer.
LEAVING_WAIT_S = (0.0, 0.05)
# A leaving endpoint serves longer than it must, so that requests that arrive too late are noticed.
EXTRA_SERVING_S = 3.0


class ControlClient:
    """Sends the calls of operators and endpoints to random stewards, with retries.

    Args:
        fleet: Fleet to call.
        rng: Random source for the choice of stewards.
    """

    def __init__(self, fleet: processes.Fleet, rng: random.Random) -> None:
        self._fleet = fleet
        self._rng = rng
        self.pool = client.ConnectionPool()
        self._client = client.Client(self.pool)

    async def call(
        self, name: str, of: str = "", body: object = None, headers: tuple = (), tries: int = 400
    ) -> client.Response | None:
        """Returns the first conclusive answer, None if there is none within ``tries`` attempts.

        No answer, 5xx, 408 and 429 are retried.
        """
        query = urllib.parse.urlencode({"call": name, "of": of})
        for _ in range(tries):
            steward = self._rng.choice(self._fleet.stewards)
            with contextlib.suppress(errors.FlamingotillerError):
                answer = await self._client.call(
                    f"{steward.bind_host}:{self._fleet.control_port}", "POST", f"/rpc?{query}",
                    body, timeout=CALL_TIMEOUT, headers=headers,
                )  # fmt: skip
                if answer.status < 500 and answer.status not in (408, 429):
                    return answer
            await asyncio.sleep(RETRY_PAUSE_S)
        return None

    async def has_recovered(self, steward: processes.Instance) -> bool:
        """Returns whether a steward can read the newest configuration."""
        with contextlib.suppress(errors.FlamingotillerError):
            answer = await self._client.call(
                f"{steward.bind_host}:{self._fleet.control_port}", "POST", "/rpc?call=config.read",
                timeout=CALL_TIMEOUT,
            )  # fmt: skip
            return answer.status == 200
        return False

    async def lookup(self, zone: str) -> list[str]:
        """Returns addresses of gateways, empty if no steward answered."""
        query = urllib.parse.urlencode(
            {"name": "h.example", "region": processes.ZONES[zone], "zone": zone}
        )
        for steward in self._rng.sample(self._fleet.stewards, min(3, len(self._fleet.stewards))):
            with contextlib.suppress(errors.FlamingotillerError):
                answer = await self._client.call(
                    f"{steward.bind_host}:{self._fleet.lookup_port}", "GET", f"/resolve?{query}",
                    timeout=CALL_TIMEOUT,
                )  # fmt: skip
                if answer.status == 200:
                    return answer.json()["addresses"]
        return []


class Endpoint:
    """An endpoint, from its start to its crash or departure.

    Args:
        id_: Identity.
        zone: Availability zone.
        control: Client for the stewards.
        watch: Oracle that runs are recorded with.
        rng: Random source for run times and failures.
    """

    SLOTS = 6

    def __init__(
        self, id_: str, zone: str, control: ControlClient, watch: oracle.Oracle, rng: random.Random
    ) -> None:
        self.id, self.zone = id_, zone
        self._control, self._watch, self._rng = control, watch, rng
        self._server = server.Server(self._serve)
        self._born = int(time.time() * 1000)
        self._sequence = 0
        self._running = 0
        self._reports: asyncio.Task | None = None
        self.state = "ready"
        self.address = ""
        self.answer_loss_rate = DEFAULT_FAILURE_RATE
        self.shed_rate = DEFAULT_FAILURE_RATE
        self.run_time_factor = 1.0

    async def start(self) -> None:
        """Starts to listen and to report."""
        port = await self._server.start("127.0.0.1", 0)
        self.address = f"127.0.0.1:{port}"
        self._reports = asyncio.ensure_future(self._report_periodically())

    async def _report_periodically(self) -> None:
        while True:
            await self.report()
            await asyncio.sleep(processes.HEARTBEAT_S)

    async def report(self, tries: int = 3) -> bool:
        """Reports once; returns whether it was acknowledged."""
        self._sequence += 1
        body = {
            "address": self.address,
            "born": self._born,
            "info": {"service": "s", "version": "v1", "zone": self.zone, "slots": self.SLOTS},
            "status": {"state": self.state, "sequence": self._sequence, "coldRemaining": "0ms"},
        }
        answer = await self._control.call("instances.heartbeat", self.id, body, tries=tries)
        return answer is not None and answer.status == 200

    async def drain(self) -> None:
        """Reports draining, serves on for longer than the drain time, leaves and stops."""
        self.state = "draining"
        acknowledged = await self.report(tries=50)
        if acknowledged:
            self._watch.drained_at_by_endpoint[self.id] = time.monotonic()
        await asyncio.sleep(oracle.DRAIN_S + EXTRA_SERVING_S)
        await self._control.call("instances.leave", self.id, {"born": self._born}, tries=20)
        await self.crash()

    async def crash(self) -> None:
        """Stops at once without telling the stewards."""
        if self._reports:
            self._reports.cancel()
        self._server.abort()
        await self._server.close()

    async def _serve(self, request: server.Request, reply: server.Reply) -> None:
        body = await request.read()
        id_ = request.header("x-request-id") or ""
        headers = [(b"x-request-id", id_.encode())]
        if request.header("x-expect-instance") not in (None, self.id):
            await reply.send(421, b"", headers)
            return
        if self._running >= 2 * self.SLOTS or self._rng.random() < self.shed_rate:
            await reply.send(503, b"", [*headers, (b"x-not-executed", b"1")])
            return
        organisation = request.header("x-tenant-id") or ""
        self._watch.on_run(id_, self.id, self.zone, organisation, time.monotonic())
        if body and body != id_.encode():
            self._watch.violations.append(f"unasked: body of {id_} has changed")
        self._running += 1
        try:
            await asyncio.sleep(self.run_time_factor * self._rng.uniform(0.005, 0.06))
        finally:
            self._running -= 1
        if self._rng.random() < self.answer_loss_rate:
            raise ConnectionAbortedError("the answer is lost on purpose")
        load = f"{self._running},0,{self.SLOTS}".encode()
        headers += [(b"x-response-seal", b"seal"), (b"x-server-load", load)]
        await reply.send(200, f"{id_} {self.id}".encode(), headers)


class Caller:
    """Sends one request at a time over reused connections.

    Args:
        number: Unique number; prefix of its request ids.
        zone: Availability zone.
        control: Client for look-ups.
        watch: Oracle that requests and answers are recorded with.
        keys: Pairs of organisation and key, shared by all callers; keys may be withdrawn.
        rng: Random source.
        leaves: Whether it closes the connection of each request without waiting for the answer.
    """

    def __init__(
        self, number: int, zone: str, control: ControlClient, watch: oracle.Oracle,
        keys: list[tuple[str, str]], rng: random.Random, leaves: bool = False,
    ) -> None:  # fmt: skip
        self._number, self._zone = number, zone
        self._control, self._watch, self._keys, self._rng = control, watch, keys, rng
        self._pool = client.ConnectionPool(CALL_TIMEOUT)
        self._addresses: list[str] = []
        self._last_lookup_at = 0.0
        self._ids = itertools.count()
        self._leaves = leaves

    async def run(self, pause_s: float) -> None:
        """Sends requests until cancelled, ``pause_s`` apart on average."""
        while True:
            if time.monotonic() - self._last_lookup_at > LOOKUP_INTERVAL_S:
                self._last_lookup_at = time.monotonic()
                self._addresses = await self._control.lookup(self._zone) or self._addresses
            if self._addresses:
                await self._send_request(self._rng.choice(self._addresses))
            await asyncio.sleep(self._rng.expovariate(1 / pause_s))

    async def _send_request(self, address: str) -> None:
        organisation, key = self._rng.choice(self._keys)
        at_most_once = self._rng.random() < 0.5
        id_ = f"{self._number:x}-{next(self._ids):x}"
        try:
            link, _ = await self._pool.acquire(address)
        except errors.FlamingotillerError:
            return
        self._watch.on_send(
            id_, oracle.SentRequest(time.monotonic(), at_most_once, organisation, key)
        )
        try:
            async with asyncio.timeout(DEADLINE_MS / 1000 + 0.5):
                await self._send_on(link, id_, at_most_once, key)
                if self._leaves:
                    await self._leave(link, id_)
                    return
                status, body = await self._read_answer(link)
        except (errors.FlamingotillerError, TimeoutError):
            self._pool.discard(address, link)
            return
        except BaseException:
            self._pool.discard(address, link)
            raise
        self._watch.on_answer(id_, status, body)
        self._pool.release(address, link)

    async def _leave(self, link: wire.Connection, id_: str) -> None:
        """Closes the connection without waiting for the answer."""
        await asyncio.sleep(self._rng.uniform(*LEAVING_WAIT_S))
        # An orderly close: what has been sent is still read.
        link.close()
        self._watch.on_left(id_, time.monotonic())

    async def _send_on(self, link: wire.Connection, id_: str, at_most_once: bool, key: str) -> None:
        content = id_.encode() if at_most_once else b""
        headers = [
            ("Host", "h.example"), ("X-Request-Id", id_), ("X-Api-Key", key),
            ("X-Deadline-Ms", str(DEADLINE_MS)), ("Content-Length", str(len(content))),
            ("Cookie", f"X-Affinity-Key={self._number % 20}"),
        ]  # fmt: skip
        target = "/once/x" if at_most_once else "/again/x"
        method = "POST" if at_most_once else "GET"
        head = h11.Request(method=method, target=target, headers=headers)
        await link.send(head, h11.Data(data=content), h11.EndOfMessage())

    async def _read_answer(self, link: wire.Connection) -> tuple[int, bytes]:
        wait = clock.seconds(DEADLINE_MS / 1000 + 0.5)
        event = await link.next_event(wait)
        if not isinstance(event, h11.Response):
            raise errors.ProtocolError("no answer", peer=link.peer)
        parts = []
        while not isinstance(part := await link.next_event(wait), h11.EndOfMessage):
            parts.append(bytes(part.data))
        return event.status_code, b"".join(parts)

    async def close(self) -> None:
        """Closes the connections."""
        await self._pool.close()
