"""Dispatch of one request: its state, from which alone follows whether a refusal may say that
the request was not run, and the exchange with an endpoint."""

from __future__ import annotations

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
BUFFERED_BODY_BYTES = 64 * 1024
_PREFIX = b"flamingotiller-"

HOP_BY_HOP = frozenset(
    {
        b"connection", b"keep-alive", b"proxy-authenticate", b"proxy-authorization", b"te",
        b"trailer", b"transfer-encoding", b"upgrade", b"proxy-connection", b"expect",
    }
)  # fmt: skip
_SECRET = frozenset({b"authorization", KEY_HEADER})


class Outcome(enum.Enum):
    """Whether a refused request has run.

    ``NOT_RUN``: no endpoint has run it. ``UNKNOWN``: an endpoint may have.
    """

    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


@dataclasses.dataclass
class Arrival:
    """State of one request's dispatch.

    Attributes:
        claimable: Whether the request carries an id by which it may have come before.
        claim: What the id's home answered, None while it has not.
        open_tries: Tries whose bytes may have reached an endpoint that has not disowned them.
    """

    claimable: bool = False
    claim: claims.State | None = None
    open_tries: int = 0

    def begin_try(self) -> None:
        """Notes that bytes are about to be sent to an endpoint."""
        self.open_tries += 1

    def disown_try(self) -> None:
        """Notes that the endpoint said, or the transport proved, that it did not run it."""
        self.open_tries -= 1

    @property
    def outcome(self) -> Outcome:
        """What a refusal may say now."""
        if self.open_tries:
            return Outcome.UNKNOWN
        # An earlier arrival under the same id may have run unless its home denies it.
        if self.claimable and self.claim is not claims.State.GRANTED:
            return Outcome.UNKNOWN
        return Outcome.NOT_RUN

    def may_retry(self, idempotent: bool) -> bool:
        """Returns whether the request may be sent to another endpoint."""
        return idempotent or not self.open_tries


class RetryBudget:
    """Allows second tries as a fraction of first ones, so that retries cannot multiply load.

    Args:
        fraction: Second tries per first try.
        reserve: Second tries allowed at rest.
    """

    def __init__(self, fraction: float = 0.1, reserve: float = 10.0) -> None:
        self._fraction = fraction
        self._reserve = reserve
        self._left = reserve

    def on_first_try(self) -> None:
        """Earns a part of a second try."""
        self._left = min(self._reserve, self._left + self._fraction)

    def bound(self, reserve: float) -> None:
        """Changes what is allowed at rest."""
        self._reserve = reserve
        self._left = min(self._left, reserve)

    def take(self) -> bool:
        """Spends a second try if there is one."""
        if self._left < 1.0:
            return False
        self._left -= 1.0
        return True


@dataclasses.dataclass(frozen=True)
class Work:
    """A request that has passed its checks.

    Attributes:
        request: As it arrived.
        organisation: Whose it is.
        route: The route that serves it.
        request_id: The caller's id, or one made here.
        body: The body as far as it was read.
        body_ended: Whether that is all of it.
        deadline: Monotonic time at which the answer must have ended.
        fingerprint: Identifies the request when it is sent again.
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
    """Returns the headers that pass from one side to the other.

    Headers of the connection, those that a Connection header names, credentials, and all of
    this system's own do not pass.
    """
    listed = list(headers)
    named = {
        token.strip().lower()
        for name, value in listed
        if name == b"connection"
        for token in value.split(b",")
    }
    return [
        (name, value)
        for name, value in listed
        if name not in HOP_BY_HOP
        and name not in named
        and name not in _SECRET
        and not name.startswith(_PREFIX)
    ]


def endpoint_head(work: Work, address: str, left: datetime.timedelta) -> h11.Request:
    """Returns the head that an endpoint gets."""
    headers = [
        (name, value)
        for name, value in forwarded_headers(work.request.headers)
        if name not in (b"host", b"content-length", b"idempotency-key")
    ]
    headers.append((b"host", address.encode()))
    headers.append((REQUEST_ID_HEADER, work.request_id.encode()))
    headers.append((b"flamingotiller-organisation", work.organisation.encode()))
    headers.append((DEADLINE_HEADER, b"%d" % max(1, int(left / clock.MILLISECOND))))
    if work.body_ended:
        if work.body or work.request.method not in ("GET", "HEAD", "DELETE"):
            headers.append((b"content-length", b"%d" % len(work.body)))
    else:
        length = work.request.declared_length()
        framing = (
            (b"transfer-encoding", b"chunked")
            if length is None
            else (b"content-length", b"%d" % length)
        )
        headers.append(framing)
    return h11.Request(method=work.request.method, target=work.request.target, headers=headers)


class ShedError(errors.FlamingotillerError):
    """The endpoint refused the request and said that it did not run it."""


@dataclasses.dataclass
class Exchange:
    """One try of a request at one endpoint.

    Attributes:
        pool: Connections to endpoints.
        clk: Source of time.
        work: The request.
        arrival: Its state.
        address: The endpoint.
        keep: Idle connections to keep.
    """

    pool: client.ConnectionPool
    clk: clock.Clock
    work: Work
    arrival: Arrival
    address: str
    keep: int
    byte_count: int = 0

    def _left(self) -> datetime.timedelta:
        left = self.work.deadline - self.clk.monotonic()
        if left <= clock.ZERO:
            raise errors.ExchangeTimeoutError("deadline passed", step="forward", peer=self.address)
        return left

    async def run(self, reply: server.Reply) -> claims.Outcome | None:
        """Sends the request and passes the answer on.

        Returns:
            The answer if it is small enough to be kept, else None.

        Raises:
            ShedError: The endpoint did not run it; nothing was passed on.
            errors.TransportError: The exchange failed.
        """
        link, _ = await self.pool.acquire(self.address)
        try:
            self.arrival.begin_try()
            await self._send(link)
            head = await self._read_head(link)
            outcome = await self._pass_on(link, head, reply)
        except BaseException:
            self._count(link)
            self.pool.discard(self.address, link)
            raise
        self._count(link)
        self.pool.release(self.address, link, self.keep)
        return outcome

    def _count(self, link: wire.Connection) -> None:
        self.byte_count += link.bytes_read + link.bytes_written

    async def _send(self, link: wire.Connection) -> None:
        head = endpoint_head(self.work, self.address, self._left())
        events: list[h11.Event] = [head]
        if self.work.body:
            events.append(h11.Data(data=self.work.body))
        if self.work.body_ended:
            await link.send(*events, h11.EndOfMessage())
            return
        await link.send(*events)
        while chunk := await self.work.request.next_chunk():
            await link.send(h11.Data(data=chunk))
        await link.send(h11.EndOfMessage())

    async def _read_head(self, link: wire.Connection) -> h11.Response:
        event = await link.next_event(self._left())
        while isinstance(event, h11.InformationalResponse):
            event = await link.next_event(self._left())
        if not isinstance(event, h11.Response):
            raise errors.ConnectionLostError("no answer", step="read head", peer=self.address)
        if event.status_code == 503 and wire.header(event.headers, NOT_RUN_HEADER) is not None:
            self.arrival.disown_try()
            raise ShedError("endpoint shed the request", step="forward", peer=self.address)
        self._check_whole(event)
        return event

    def _check_whole(self, head: h11.Response) -> None:
        """Refuses an answer that is not this request's or whose end could not be told.

        Raises:
            errors.ProtocolError: Such an answer.
        """
        echoed = wire.header(head.headers, REQUEST_ID_HEADER)
        if echoed is not None and echoed != self.work.request_id:
            raise errors.ProtocolError(
                "answer of another request", step="read head", peer=self.address
            )
        framed = any(name in (b"content-length", b"transfer-encoding") for name, _ in head.headers)
        bodiless = self.work.request.method == "HEAD" or head.status_code in (204, 304)
        if not framed and not bodiless:
            raise errors.ProtocolError(
                "answer without a length cannot be told from a truncated one",
                step="read head",
                peer=self.address,
            )

    async def _pass_on(
        self, link: wire.Connection, head: h11.Response, reply: server.Reply
    ) -> claims.Outcome | None:
        headers = forwarded_headers(head.headers)
        kept: list[bytes] = []
        kept_bytes = 0
        # A short answer is read to its end first, so that a truncated one becomes a clean error.
        while True:
            event = await link.next_event(self._left())
            if isinstance(event, h11.EndOfMessage):
                body = b"".join(kept)
                await self._send_whole(reply, head.status_code, headers, body)
                return claims.Outcome(head.status_code, headers, body)
            kept.append(bytes(event.data))
            kept_bytes += len(event.data)
            if kept_bytes > claims.OutcomeStore.MAX_BODY_BYTES:
                break
        await reply.start(head.status_code, [*headers, *self._own_headers()])
        for part in kept:
            await reply.write(part)
        while True:
            event = await link.next_event(self._left())
            if isinstance(event, h11.EndOfMessage):
                await reply.finish()
                return None
            await reply.write(bytes(event.data))

    def _own_headers(self) -> list[tuple[bytes, bytes]]:
        return [(REQUEST_ID_HEADER, self.work.request_id.encode())]

    async def _send_whole(self, reply: server.Reply, status: int, headers, body: bytes) -> None:
        if self.work.request.method == "HEAD":
            await reply.start(status, [*headers, *self._own_headers()])
            await reply.finish()
            return
        framed = [(n, v) for n, v in headers if n != b"content-length"]
        await reply.send(status, body, [*framed, *self._own_headers()])


async def send_refusal(
    reply: server.Reply, error: errors.RefusedError, outcome: Outcome, request_id: str
) -> None:
    """Answers a caller with a refusal that says whether the request may have run."""
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
