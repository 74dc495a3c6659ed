"""Dispatch of one request to an endpoint.

``DispatchState`` alone decides whether a refusal may say that the request was not run. ``Exchange``
sends the request to an endpoint and the response to the caller."""

from __future__ import annotations

import asyncio
import collections.abc
import dataclasses
import datetime
import enum
import typing

import h11

from flamingotiller import claims, client, clock, errors, server, wire

if typing.TYPE_CHECKING:
    from flamingotiller import contract

NOT_RUN_HEADER = b"flamingotiller-not-run"
OUTCOME_HEADER = b"flamingotiller-outcome"
REQUEST_ID_HEADER = b"flamingotiller-request-id"
DEADLINE_HEADER = b"flamingotiller-deadline-ms"
REPLAYED_HEADER = b"flamingotiller-replayed"
KEY_HEADER = b"flamingotiller-key"
# Time after its deadline at which a request is given up whatever it waits for; a step that has a
# limit of its own tells more.
DEADLINE_MARGIN = clock.seconds(0.1)
# A request with a longer body is streamed to the endpoint and therefore never retried.
BUFFERED_BODY_BYTES = 64 * 1024
_HEADER_PREFIX = b"flamingotiller-"

HOP_BY_HOP = frozenset(
    {
        b"connection", b"keep-alive", b"proxy-authenticate", b"proxy-authorization", b"te",
        b"trailer", b"transfer-encoding", b"upgrade", b"proxy-connection", b"expect",
    }
)  # fmt: skip
# A Connection header that lists it is wrong, and a request without it is invalid.
_END_TO_END = frozenset({b"host"})
_CREDENTIAL_HEADERS = frozenset({b"authorization", KEY_HEADER})


class Outcome(enum.Enum):
    """Whether a refused request has run.

    ``NOT_RUN``: no endpoint has run it. ``UNKNOWN``: an endpoint may have run it.
    """

    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


class CallerStage(enum.Enum):
    """How far a request had come when its caller was found to have left.

    ``UNREAD``: it had just been read. ``UNSENT``: it waited, or was about to be sent to an endpoint
    for the first time. ``SENT``: it had been sent.
    """

    UNREAD = "unread"
    UNSENT = "unsent"
    SENT = "sent"


@dataclasses.dataclass
class DispatchState:
    """What is known of a request's claim and of the attempts to run it.

    Attributes:
        needs_claim: Whether an earlier request with the same id may have run, so that the id has to
            be claimed first.
        claim_state: State in the response to the claim, None before it arrives.
        unresolved_attempts: Number of attempts that an endpoint may have run.
        attempts: Number of all attempts.
        check_caller: Raises ``errors.CallerLeftError`` if the caller has left.
    """

    needs_claim: bool = False
    claim_state: claims.State | None = None
    unresolved_attempts: int = 0
    attempts: int = 0
    check_caller: collections.abc.Callable[[], None] = lambda: None

    def begin_attempt(self) -> None:
        """Records an attempt; called before the first byte is sent to the endpoint.

        Raises:
            errors.CallerLeftError: Nobody waits for the response; nothing may be sent.
        """
        self.check_caller()
        self.attempts += 1
        self.unresolved_attempts += 1

    def mark_not_run(self) -> None:
        """Records that the endpoint or the transport has shown that the attempt did not run."""
        self.unresolved_attempts -= 1

    @property
    def outcome(self) -> Outcome:
        """Outcome that a refusal may state now."""
        if self.unresolved_attempts:
            return Outcome.UNKNOWN
        # Without a granted claim, an earlier request with the same id may have run.
        if self.needs_claim and self.claim_state is not claims.State.GRANTED:
            return Outcome.UNKNOWN
        return Outcome.NOT_RUN

    @property
    def caller_stage(self) -> CallerStage:
        """Stage to record if the caller is found to have left now, after its request was read."""
        return CallerStage.SENT if self.attempts else CallerStage.UNSENT

    def may_retry(self, idempotent: bool) -> bool:
        """Returns whether the request may be sent to another endpoint."""
        return idempotent or not self.unresolved_attempts


class RetryBudget:
    """Limits retries to a fraction of the requests, so that retries cannot multiply load.

    Args:
        fraction: Retries that each request adds to the budget.
        reserve: Largest number of unused retries.
        unused: Their number at the start, the whole reserve if None.
    """

    def __init__(
        self, fraction: float = 0.1, reserve: float = 10.0, unused: float | None = None
    ) -> None:
        self._fraction = fraction
        self._reserve = reserve
        self._unused = reserve if unused is None else min(unused, reserve)

    def on_first_attempt(self) -> None:
        """Adds a request's fraction of a retry to the budget."""
        self._unused = min(self._reserve, self._unused + self._fraction)

    def set_reserve(self, reserve: float) -> None:
        """Changes the largest number of unused retries."""
        self._reserve = reserve
        self._unused = min(self._unused, reserve)

    def take(self) -> bool:
        """Takes a retry from the budget; returns whether there was one."""
        if self._unused < 1.0:
            return False
        self._unused -= 1.0
        return True


@dataclasses.dataclass(frozen=True)
class PreparedRequest:
    """An authenticated and validated request.

    Attributes:
        request: The request as received.
        organisation: Organisation that the request is made for.
        route: The route that serves it.
        request_id: The caller's request id, or a generated one.
        body: The part of the body that is buffered.
        body_ended: Whether ``body`` is the complete body.
        deadline: Monotonic time by which the response must be complete.
        fingerprint: Digest that is the same when the request is resent.
    """

    request: server.Request
    organisation: str
    route: contract.Route
    request_id: str
    body: bytes
    body_ended: bool
    deadline: datetime.timedelta
    fingerprint: str


def forwarded_headers(
    headers: typing.Iterable[tuple[bytes, bytes]],
) -> list[tuple[bytes, bytes]]:
    """Returns the headers that are forwarded between caller and endpoint.

    Hop-by-hop headers, those that a Connection header lists, credentials and all headers with
    this system's prefix are not forwarded.
    """
    items = list(headers)
    connection_tokens = {
        token.strip().lower()
        for name, value in items
        if name == b"connection"
        for token in value.split(b",")
    } - _END_TO_END
    return [
        (name, value)
        for name, value in items
        if name not in HOP_BY_HOP
        and name not in connection_tokens
        and name not in _CREDENTIAL_HEADERS
        and not name.startswith(_HEADER_PREFIX)
    ]


def endpoint_head(
    prepared: PreparedRequest, address: str, remaining: datetime.timedelta
) -> h11.Request:
    """Returns the request head that is sent to an endpoint."""
    headers = [
        (name, value)
        for name, value in forwarded_headers(prepared.request.headers)
        if name not in (b"host", b"content-length", b"idempotency-key")
    ]
    headers.append((b"host", address.encode()))
    headers.append((REQUEST_ID_HEADER, prepared.request_id.encode()))
    headers.append((b"flamingotiller-organisation", prepared.organisation.encode()))
    headers.append((DEADLINE_HEADER, b"%d" % max(1, int(remaining / clock.MILLISECOND))))
    if prepared.body_ended:
        if prepared.body or prepared.request.method not in ("GET", "HEAD", "DELETE"):
            headers.append((b"content-length", b"%d" % len(prepared.body)))
    else:
        length = prepared.request.declared_length()
        framing_header = (
            (b"transfer-encoding", b"chunked")
            if length is None
            else (b"content-length", b"%d" % length)
        )
        headers.append(framing_header)
    return h11.Request(
        method=prepared.request.method, target=prepared.request.target, headers=headers
    )


class ShedError(errors.FlamingotillerError):
    """The endpoint refused the request and stated that it did not run it."""


@dataclasses.dataclass
class Exchange:
    """One attempt to run a request at one endpoint.

    Attributes:
        pool: Connections to endpoints.
        clk: Source of time.
        prepared: The request.
        state: State of the request's dispatch.
        address: Address of the endpoint.
        max_idle: Idle connections to the endpoint that the pool may keep.
        byte_count: Bytes sent and received on the connection.
    """

    pool: client.ConnectionPool
    clk: clock.Clock
    prepared: PreparedRequest
    state: DispatchState
    address: str
    max_idle: int
    byte_count: int = 0

    def _remaining(self) -> datetime.timedelta:
        remaining = self.prepared.deadline - self.clk.monotonic()
        if remaining <= clock.ZERO:
            raise errors.ExchangeTimeoutError("deadline passed", step="forward", peer=self.address)
        return remaining

    async def run(self, reply: server.Reply) -> claims.Outcome | None:
        """Sends the request to the endpoint and its response to the caller.

        Returns:
            The response if it is small enough to be stored for resends, else None.

        Raises:
            ShedError: The endpoint did not run the request; the caller has received nothing.
            errors.TransportError: The exchange failed; ``state`` says whether the request may
                have run.
        """
        connection, reused = await self.pool.acquire(self.address)
        while reused and connection.refused_id == self.prepared.request_id:
            # A refusal that comes once more could not be told from the answer to this request.
            self.pool.discard(self.address, connection)
            connection, reused = await self.pool.acquire(self.address)
        try:
            self.state.begin_attempt()
        except BaseException:
            self.pool.put_back(self.address, connection)
            raise
        try:
            await self._send(connection)
            head = await self._read_head(connection, reused)
            outcome = await self._forward_response(connection, head, reply)
        except BaseException:
            self._count_bytes(connection)
            self.pool.discard(self.address, connection)
            raise
        self._count_bytes(connection)
        self.pool.release(self.address, connection, self.max_idle)
        return outcome

    def _count_bytes(self, connection: wire.Connection) -> None:
        self.byte_count += connection.bytes_read + connection.bytes_written

    async def _send(self, connection: wire.Connection) -> None:
        head = endpoint_head(self.prepared, self.address, self._remaining())
        events: list[h11.Event] = [head]
        if self.prepared.body:
            events.append(h11.Data(data=self.prepared.body))
        if self.prepared.body_ended:
            await connection.send(*events, h11.EndOfMessage(), timeout=self._remaining())
            return
        await self._send_streamed(connection, events)

    async def _send_streamed(self, connection: wire.Connection, events: list[h11.Event]) -> None:
        """Sends a body as the caller sends it, until the deadline.

        Raises:
            errors.ExchangeTimeoutError: The endpoint did not read it in time.
            errors.LimitExceededError: The caller did not send it in time.
        """
        awaits_caller = False
        try:
            async with asyncio.timeout(self._remaining().total_seconds()):
                await connection.send(*events)
                while True:
                    awaits_caller = True
                    chunk = await self.prepared.request.next_chunk()
                    awaits_caller = False
                    if not chunk:
                        break
                    await connection.send(h11.Data(data=chunk))
                await connection.send(h11.EndOfMessage())
        except TimeoutError as error:
            if awaits_caller:
                raise errors.LimitExceededError(
                    "body arrived too slowly", status=408, step="read body"
                ) from error
            raise errors.ExchangeTimeoutError(
                "peer did not read in time", step="send", peer=self.address
            ) from error

    async def _read_head(self, connection: wire.Connection, reused: bool) -> h11.Response:
        event = await connection.next_response(self._remaining)
        if not isinstance(event, h11.Response):
            raise errors.ConnectionLostError("no response", step="read head", peer=self.address)
        self._check_id(event)
        if event.status_code == 503 and wire.header(event.headers, NOT_RUN_HEADER) is not None:
            if reused and wire.header(event.headers, REQUEST_ID_HEADER) is None:
                # It may be the refusal of an earlier request, sent once more.
                raise errors.ProtocolError(
                    "refusal without a request's id on a reused connection",
                    step="read head",
                    peer=self.address,
                )
            self.state.mark_not_run()
            raise ShedError("endpoint shed the request", step="forward", peer=self.address)
        self._check_length(event)
        return event

    def _check_id(self, head: h11.Response) -> None:
        """Checks that a response belongs to this request, if it names one.

        Raises:
            errors.ProtocolError: It belongs to another request.
        """
        response_id = wire.header(head.headers, REQUEST_ID_HEADER)
        if response_id is not None and response_id != self.prepared.request_id:
            raise errors.ProtocolError(
                "response carries the id of another request", step="read head", peer=self.address
            )

    def _check_length(self, head: h11.Response) -> None:
        """Checks that the end of a response can be recognised.

        Raises:
            errors.ProtocolError: It cannot.
        """
        has_length = any(
            name in (b"content-length", b"transfer-encoding") for name, _ in head.headers
        )
        has_no_body = self.prepared.request.method == "HEAD" or head.status_code in (204, 304)
        if not has_length and not has_no_body:
            raise errors.ProtocolError(
                "response without a length cannot be told from a truncated one",
                step="read head",
                peer=self.address,
            )

    async def _forward_response(
        self, connection: wire.Connection, head: h11.Response, reply: server.Reply
    ) -> claims.Outcome | None:
        """Forwards a response; ends it at the deadline, whether the endpoint or the caller is slow.

        Raises:
            errors.ExchangeTimeoutError: The deadline has passed.
        """
        async with wire.time_limit(self._remaining(), step="forward", peer=self.address):
            return await self._forward_whole_response(connection, head, reply)

    async def _forward_whole_response(
        self, connection: wire.Connection, head: h11.Response, reply: server.Reply
    ) -> claims.Outcome | None:
        headers = forwarded_headers(head.headers)
        buffered = bytearray()
        # A short response is read completely before any of it is sent, so that the caller gets an
        # error response instead of a truncated one.
        while True:
            event = await connection.next_event(self._remaining(), in_total=True)
            if isinstance(event, h11.EndOfMessage):
                body = bytes(buffered)
                await self._send_buffered_response(reply, head.status_code, headers, body)
                return claims.Outcome(head.status_code, headers, body)
            buffered += event.data
            is_long = len(buffered) > claims.OutcomeStore.MAX_BODY_BYTES
            if is_long or not self.prepared.request.try_reserve(len(event.data)):
                break
        await reply.start(head.status_code, [*headers, *self._request_id_headers()])
        await reply.write(bytes(buffered))
        while True:
            event = await connection.next_event(self._remaining(), in_total=True)
            if isinstance(event, h11.EndOfMessage):
                await reply.finish()
                return None
            await reply.write(bytes(event.data))

    def _request_id_headers(self) -> list[tuple[bytes, bytes]]:
        return [(REQUEST_ID_HEADER, self.prepared.request_id.encode())]

    async def _send_buffered_response(
        self, reply: server.Reply, status: int, headers, body: bytes
    ) -> None:
        if self.prepared.request.method == "HEAD":
            await reply.start(status, [*headers, *self._request_id_headers()])
            await reply.finish()
            return
        other_headers = [(name, value) for name, value in headers if name != b"content-length"]
        await reply.send(status, body, [*other_headers, *self._request_id_headers()])


async def send_refusal(
    reply: server.Reply, error: errors.RefusedError, outcome: Outcome, request_id: str
) -> None:
    """Sends a refusal, which says whether the request may have run, to the caller."""
    headers = [(OUTCOME_HEADER, outcome.value.encode())]
    if error.retry_after_s is not None:
        headers.append((b"retry-after", b"%d" % error.retry_after_s))
    body = {
        "error": error.code,
        "message": error.message,
        "outcome": outcome.value,
        "request_id": request_id,
    }
    await reply.json(error.status, body, headers)
