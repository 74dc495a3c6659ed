"""An emulated endpoint for demonstrations, tests and measurements.

It announces itself, runs requests in a limited number of slots and sheds requests that exceed them.
Query parameters make it hold, delay or stream a response, or crash."""

from __future__ import annotations

import asyncio
import collections
import dataclasses
import secrets
import typing

from flamingotiller import client, clock, dispatch, errors, server

RENEW_INTERVAL = clock.seconds(1)
ANNOUNCE_TIMEOUT = clock.seconds(1)
STREAMED_CHUNK = bytes(1024)
STREAM_INTERVAL = clock.seconds(0.05)


@dataclasses.dataclass(frozen=True)
class Profile:
    """Configuration of an emulated endpoint.

    Attributes:
        service: Name of the announced service.
        name: Name of the endpoint.
        slots: Maximum number of concurrent requests.
        connections: Announced maximum number of connections.
        service_time_s: Duration of a request.
    """

    service: str
    name: str
    slots: int = 6
    connections: int = 650
    service_time_s: float = 0.005


@dataclasses.dataclass(frozen=True)
class Run:
    """Record of a request that the endpoint has run.

    Attributes:
        request_id: Request id, as forwarded by the system.
        organisation: Name of the organisation, as forwarded by the system.
        method: HTTP method.
        target: Path and query.
        headers: All headers.
    """

    request_id: str
    organisation: str
    method: str
    target: str
    headers: dict[str, str]


class EmulatedEndpoint:
    """An emulated endpoint in this process.

    Args:
        profile: Configuration of the endpoint.
        entries: Addresses of entry instances to announce to.
        token: Bearer token of its service.

    Attributes:
        runs: Requests that were run, in order.
        runs_by_id: Number of runs by request id.
        shed_count: Number of shed requests.
        busy: Number of requests in progress.
        peak: Largest number of concurrent requests so far.
        client: Client used for announcements.
        resumed: Set this event to resume requests that are held (``hold`` in the query).
    """

    def __init__(self, profile: Profile, entries: typing.Sequence[str], token: str) -> None:
        self.profile = profile
        self.address = ""
        self.runs: list[Run] = []
        self.runs_by_id: collections.Counter[str] = collections.Counter()
        self.shed_count = 0
        self.busy = 0
        self.peak = 0
        self.leaving = False
        self.resumed = asyncio.Event()
        self._entries = list(entries)
        self._session = secrets.token_hex(8)
        self._pool = client.ConnectionPool()
        self.client = client.Client(self._pool, token)
        self._server = server.Server(self._handle)
        self._task: asyncio.Task[None] | None = None

    def announce_to(self, entries: typing.Sequence[str]) -> None:
        """Adds entry instances to announce to."""
        self._entries += [entry for entry in entries if entry not in self._entries]

    async def start(self, listen: str = "127.0.0.1:0") -> None:
        """Starts listening and announcing."""
        host, _, port = listen.rpartition(":")
        bound = await self._server.start(host, int(port))
        self.address = f"{host}:{bound}"
        self._task = asyncio.get_running_loop().create_task(self._renew())

    async def _renew(self) -> None:
        while True:
            accepted = await self.announce()
            wait = RENEW_INTERVAL if accepted else RENEW_INTERVAL / 5
            await asyncio.sleep(wait.total_seconds())

    async def announce(self) -> bool:
        """Announces or renews once; returns whether an entry instance accepted it."""
        body = {
            "service": self.profile.service,
            "endpoint": self.profile.name,
            "session": self._session,
            "address": self.address,
            "slots": self.profile.slots,
            "connections": self.profile.connections,
            "load": self.busy,
            "leaving": self.leaving,
        }
        for entry in list(self._entries):
            try:
                response = await self.client.call(
                    entry, "POST", "/v1/announce", body, timeout=ANNOUNCE_TIMEOUT
                )
                client.raise_for_status(response, step="announce", peer=entry)
                return True
            except errors.FlamingotillerError:
                # The next attempt starts with another instance.
                self._entries.append(self._entries.pop(0))
        return False

    async def leave(self) -> bool:
        """Announces that the endpoint is leaving; returns whether an instance accepted that."""
        self.leaving = True
        return await self.announce()

    async def stop(self) -> None:
        """Stops immediately, without announcing that the endpoint leaves."""
        if self._task:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
        await self._server.close()
        await self._pool.close()

    def crash(self) -> None:
        """Aborts every connection and stops announcing, as if the process had crashed."""
        if self._task:
            self._task.cancel()
        self._server.abort()

    async def _handle(self, request: server.Request, reply: server.Reply) -> None:
        if self.busy >= self.profile.slots:
            await request.read()
            self.shed_count += 1
            headers = [(dispatch.NOT_RUN_HEADER, b"1")]
            request_id = request.header(dispatch.REQUEST_ID_HEADER.decode())
            if request_id is not None:
                headers.append((dispatch.REQUEST_ID_HEADER, request_id.encode()))
            await reply.json(503, {"error": "busy"}, headers)
            return
        self.busy += 1
        self.peak = max(self.peak, self.busy)
        try:
            body = await request.read()
            self._record_run(request)
            await self._work(request)
            if "chunks" in request.query:
                await self._stream(request, reply)
        finally:
            self.busy -= 1
        # The slot is freed before the response ends: the caller may send the next request as soon
        # as it sees the end.
        if reply.started:
            await reply.finish()
        else:
            await self._respond(request, reply, body)

    def _record_run(self, request: server.Request) -> None:
        headers = {n.decode("latin-1"): v.decode("latin-1") for n, v in request.headers}
        run = Run(
            headers.get("flamingotiller-request-id", ""),
            headers.get("flamingotiller-organisation", ""),
            request.method,
            request.target,
            headers,
        )
        self.runs.append(run)
        self.runs_by_id[run.request_id] += 1

    async def _work(self, request: server.Request) -> None:
        if "hold" in request.query:
            await self.resumed.wait()
        work_s = request.query.get("work_s")
        await asyncio.sleep(float(work_s) if work_s else self.profile.service_time_s)

    async def _respond(self, request: server.Request, reply: server.Reply, body: bytes) -> None:
        if "crash" in request.query:
            self.crash()
            return
        request_id = request.header("flamingotiller-request-id") or ""
        document = {
            "endpoint": self.profile.name,
            "request_id": request_id,
            "target": request.target,
            "body_bytes": len(body),
        }
        await reply.json(200, document, [(dispatch.REQUEST_ID_HEADER, request_id.encode())])

    async def _stream(self, request: server.Request, reply: server.Reply) -> None:
        """Sends a chunked response with pauses between the chunks, without its end."""
        request_id = request.header("flamingotiller-request-id") or ""
        await reply.start(200, [(dispatch.REQUEST_ID_HEADER, request_id.encode())])
        for _ in range(int(request.query["chunks"])):
            await reply.write(STREAMED_CHUNK)
            await asyncio.sleep(STREAM_INTERVAL.total_seconds())
