"""One try of a request at one endpoint: what is sent, and what of the answer can be trusted."""

from __future__ import annotations

import collections.abc
import dataclasses
import datetime

import h11

from flamingotiller import client, clock, dispatch, errors, server, wire
from flamingotiller.fleet import model, placement

# Longer answers are passed on as they come instead of being checked whole first.
MAX_BUFFERED_ANSWER_BYTES = 1024 * 1024
# An endpoint that keeps to its deadline answers by then; its own word is better than ours.
ANSWER_GRACE = clock.seconds(0.03)


@dataclasses.dataclass(frozen=True)
class Dialect:
    """Names of the headers that callers, gateways and endpoints use, in lower case.

    Attributes:
        request_id: Identifies a request; echoed in its answer.
        deadline_ms: Milliseconds that are left.
        expected_endpoint: Identity that must match, or the endpoint does not run the request.
        organisation: Organisation that the request runs for.
        key: The caller's key; never passed on.
        load: Load of the endpoint.
        not_run: Present where the endpoint has not run the request.
        seal: Marks an answer as an endpoint's own.
        parse_load: Reads the value of ``load``, None when it cannot be read.
        parse_object: Returns what a caller's headers say of the object, empty if nothing.
    """

    request_id: bytes
    deadline_ms: bytes
    expected_endpoint: bytes
    organisation: bytes
    key: bytes
    load: bytes
    not_run: bytes
    seal: bytes
    parse_load: collections.abc.Callable[[str], placement.Load | None]
    parse_object: collections.abc.Callable[[list[tuple[bytes, bytes]]], str]


@dataclasses.dataclass
class Job:
    """A request that has passed its checks.

    Attributes:
        request: As it arrived.
        request_id: The caller's id.
        route: Its route.
        service: The service that serves it.
        organisation: Whom it runs for, None on open routes.
        object: What tells the object that it concerns.
        rank: Urgency.
        arrived: When it arrived.
        limit: When its final answer is due.
        body: The body as far as it was read.
        body_ended: Whether that is all of it.
    """

    request: server.Request
    request_id: str
    route: model.Route
    service: str
    organisation: model.Organisation | None
    object: str
    rank: int
    arrived: datetime.timedelta
    limit: datetime.timedelta
    body: bytes = b""
    body_ended: bool = False


@dataclasses.dataclass(frozen=True)
class Answer:
    """An endpoint's whole answer."""

    status: int
    headers: list[tuple[bytes, bytes]]
    body: bytes


class MisdirectedError(dispatch.ShedError):
    """Another endpoint has the address now; it did not run the request."""


class Try:
    """Sends a job to an endpoint and reads the answer.

    Args:
        pool: Connections to endpoints.
        dialect: Header names.
        clk: Source of time.
        job: The request.
        arrival: State of the request's dispatch.
        endpoint: Where it goes.
    """

    def __init__(
        self,
        pool: client.ConnectionPool,
        dialect: Dialect,
        clk: clock.Clock,
        job: Job,
        arrival: dispatch.Arrival,
        endpoint: model.Endpoint,
    ) -> None:
        self._pool = pool
        self._dialect = dialect
        self._clock = clk
        self._job = job
        self._arrival = arrival
        self._endpoint = endpoint
        self.load: placement.Load | None = None

    def _left(self, grace: datetime.timedelta = clock.ZERO) -> datetime.timedelta:
        left = self._job.limit + grace - self._clock.monotonic()
        if left <= clock.ZERO:
            raise errors.ExchangeTimeoutError(
                "deadline passed", step="forward", peer=self._endpoint.address
            )
        return left

    async def run(self, reply: server.Reply) -> Answer | None:
        """Sends the request and reads the answer.

        Returns:
            The answer, or None when it was long and has been passed on already.

        Raises:
            dispatch.ShedError: The endpoint did not run it.
            errors.TransportError: The exchange failed; the arrival tells whether it may have run.
        """
        address = self._endpoint.address
        link, reused = await self._pool.acquire(address)
        try:
            self._arrival.begin_try()
            await self._send(link)
            head = await self._read_head(link)
            answer = await self._read_body(link, head, reply)
        except BaseException:
            self._pool.discard(address, link)
            raise
        self._pool.release(address, link, idle_timeout=keep_alive(head))
        self._check_not_run(answer or Answer(head.status_code, list(head.headers), b""))
        return answer

    async def _send(self, link: wire.Link) -> None:
        job = self._job
        events: list[h11.Event] = [self._head()]
        if job.body:
            events.append(h11.Data(data=job.body))
        if job.body_ended:
            await link.send(*events, h11.EndOfMessage())
            return
        await link.send(*events)
        while chunk := await job.request.next_chunk():
            await link.send(h11.Data(data=chunk))
        await link.send(h11.EndOfMessage())

    def _head(self) -> h11.Request:
        job, dialect = self._job, self._dialect
        own = (dialect.deadline_ms, dialect.expected_endpoint, dialect.organisation, dialect.key)
        headers = [
            (name, value)
            for name, value in dispatch.forwarded_headers(job.request.headers)
            if name not in own and name != b"content-length"
        ]
        left_ms = max(1, int(self._left() / clock.MILLISECOND))
        headers.append((dialect.deadline_ms, b"%d" % left_ms))
        headers.append((dialect.expected_endpoint, self._endpoint.id.encode()))
        if job.organisation is not None:
            headers.append((dialect.organisation, job.organisation.name.encode()))
        length = len(job.body) if job.body_ended else job.request.declared_length()
        if length is None:
            headers.append((b"transfer-encoding", b"chunked"))
        elif length or job.request.method not in ("GET", "HEAD", "DELETE"):
            headers.append((b"content-length", b"%d" % length))
        return h11.Request(method=job.request.method, target=job.request.target, headers=headers)

    async def _read_head(self, link: wire.Link) -> h11.Response:
        event = await link.next_event(self._left(ANSWER_GRACE))
        while isinstance(event, h11.InformationalResponse):
            event = await link.next_event(self._left(ANSWER_GRACE))
        if not isinstance(event, h11.Response):
            raise errors.ConnectionLostError(
                "no answer", step="read head", peer=self._endpoint.address
            )
        echoed = wire.header(event.headers, self._dialect.request_id)
        if echoed is not None and echoed != self._job.request_id:
            raise errors.ProtocolError(
                "answer of another request", step="read head", peer=self._endpoint.address
            )
        load = wire.header(event.headers, self._dialect.load)
        self.load = self._dialect.parse_load(load) if load is not None else None
        return event

    async def _read_body(
        self, link: wire.Link, head: h11.Response, reply: server.Reply
    ) -> Answer | None:
        parts: list[bytes] = []
        size = 0
        while size <= MAX_BUFFERED_ANSWER_BYTES:
            event = await link.next_event(self._left(ANSWER_GRACE))
            if isinstance(event, h11.EndOfMessage):
                if link.broken:
                    raise errors.ConnectionLostError(
                        "answer was cut short", step="read body", peer=self._endpoint.address
                    )
                return Answer(head.status_code, list(head.headers), b"".join(parts))
            parts.append(bytes(event.data))
            size += len(event.data)
        await reply.start(head.status_code, dispatch.forwarded_headers(head.headers))
        for part in parts:
            await reply.write(part)
        while True:
            event = await link.next_event(self._left(ANSWER_GRACE))
            if isinstance(event, h11.EndOfMessage):
                await reply.finish()
                return None
            await reply.write(bytes(event.data))

    def _check_not_run(self, answer: Answer) -> None:
        misdirected = answer.status == 421
        if not misdirected and wire.header(answer.headers, self._dialect.not_run) is None:
            return
        self._arrival.disown_try()
        kind = MisdirectedError if misdirected else dispatch.ShedError
        raise kind(
            f"endpoint did not run it: status {answer.status}",
            step="forward",
            peer=self._endpoint.address,
        )


def keep_alive(head: h11.Response) -> datetime.timedelta | None:
    """Returns how long the endpoint keeps an idle connection, None when it does not say."""
    value = wire.header(head.headers, b"keep-alive")
    for part in (value or "").split(","):
        name, _, number = part.strip().partition("=")
        if name.lower() == "timeout" and number.strip().isdigit():
            return clock.seconds(float(number))
    return None


def to_caller(answer: Answer, request_id: bytes, id_value: str) -> list[tuple[bytes, bytes]]:
    """Returns the headers with which an endpoint's answer goes to the caller."""
    headers: list[tuple[bytes, bytes]] = [
        (name, value)
        for name, value in dispatch.forwarded_headers(answer.headers)
        if name not in (b"content-length", request_id)
    ]
    headers.append((request_id, id_value.encode("latin-1")))
    return headers


def no_response_body(method: str, status: int) -> bool:
    """Returns whether an answer has no body whatever its headers say."""
    return method == "HEAD" or status in (204, 304)
