"""An emulated endpoint: announces itself, runs requests in a bounded number of slots, sheds what
does not fit, obeys deadlines, and can be told to misbehave. For tours, tests and measurements."""

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
STREAM_PAUSE = clock.seconds(0.05)


@dataclasses.dataclass(frozen=True)
class Profile:
    """What an emulated endpoint is like.

    Attributes:
        service: Service that it announces.
        name: Its name.
        slots: Requests that it runs at once.
        connections: Connections that it accepts.
        service_time_s: Time that a request takes.
    """

    service: str
    name: str
    slots: int = 6
    connections: int = 650
    service_time_s: float = 0.005


@dataclasses.dataclass(frozen=True)
class Run:
    """A request that the endpoint has run.

    Attributes:
        request_id: As the system passed it on.
        organisation: As the system passed it on.
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
    """An endpoint in this process.

    Args:
        profile: What it is like.
        entries: Addresses of entry instances to announce to.
        token: Credential of its service.

    Attributes:
        runs: Requests run, in order.
        shed_count: Requests shed.
        peak: Largest number of requests at once.
        client: What it announces itself with.
        resumed: Once set, ends requests that ask to be held (``hold`` in the query).
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
        """Adds entry instances to those that it announces to."""
        self._entries += [entry for entry in entries if entry not in self._entries]

    async def start(self, listen: str = "127.0.0.1:0") -> None:
        """Listens and begins to announce."""
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
        """Announces or renews once; returns whether an entry instance took it."""
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
                answer = await self.client.call(
                    entry, "POST", "/v1/announce", body, timeout=ANNOUNCE_TIMEOUT
                )
                client.raise_for_status(answer, step="announce", peer=entry)
                return True
            except errors.FlamingotillerError:
                # The next try begins with another instance.
                self._entries.append(self._entries.pop(0))
        return False

    async def leave(self) -> bool:
        """Announces that it takes no new work; returns whether that was heard."""
        self.leaving = True
        return await self.announce()

    async def stop(self) -> None:
        """Stops at once, without a word."""
        if self._task:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
        await self._server.close()
        await self._pool.close()

    def crash(self) -> None:
        """Ends every connection and says no more, as when the process dies."""
        if self._task:
            self._task.cancel()
        self._server.abort()

    async def _handle(self, request: server.Request, reply: server.Reply) -> None:
        if self.busy >= self.profile.slots:
            await request.read()
            self.shed_count += 1
            await reply.json(503, {"error": "busy"}, [(dispatch.NOT_RUN_HEADER, b"1")])
            return
        self.busy += 1
        self.peak = max(self.peak, self.busy)
        try:
            body = await request.read()
            self._note(request)
            await self._work(request)
            if "chunks" in request.query:
                await self._stream(request, reply)
        finally:
            self.busy -= 1
        # The slot is free before the caller can know that the answer has ended.
        if reply.started:
            await reply.finish()
        else:
            await self._answer(request, reply, body)

    def _note(self, request: server.Request) -> None:
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
        wanted = request.query.get("work_s")
        await asyncio.sleep(float(wanted) if wanted else self.profile.service_time_s)

    async def _answer(self, request: server.Request, reply: server.Reply, body: bytes) -> None:
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
        """Answers in chunks with pauses, all but the end, without saying how long the whole is."""
        request_id = request.header("flamingotiller-request-id") or ""
        await reply.start(200, [(dispatch.REQUEST_ID_HEADER, request_id.encode())])
        for _ in range(int(request.query["chunks"])):
            await reply.write(STREAMED_CHUNK)
            await asyncio.sleep(STREAM_PAUSE.total_seconds())
