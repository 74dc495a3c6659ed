"""HTTP/1.1 server.

Enforces limits on connections and requests, passes each request to a handler, and keeps the
connection valid HTTP/1.1 whatever the handler does."""

from __future__ import annotations

import asyncio
import collections.abc
import contextlib
import dataclasses
import datetime
import functools
import time
import typing
import urllib.parse

import h11
import orjson

from flamingotiller import clock, compression, errors, memory, pipelining, wire

REASON_PHRASES = {
    200: b"OK", 202: b"Accepted", 204: b"No Content", 400: b"Bad Request", 401: b"Unauthorized",
    403: b"Forbidden", 404: b"Not Found", 405: b"Method Not Allowed", 408: b"Request Timeout",
    409: b"Conflict", 413: b"Content Too Large", 421: b"Misdirected Request",
    429: b"Too Many Requests", 431: b"Request Header Fields Too Large",
    500: b"Internal Server Error", 501: b"Not Implemented", 502: b"Bad Gateway",
    503: b"Service Unavailable", 504: b"Gateway Timeout", 505: b"HTTP Version Not Supported",
}  # fmt: skip


# Bytes of requests and responses that the handlers of one server hold together.
MAX_HELD_BYTES = 32 * 1024 * 1024
# Interval at which a server notes that the event loop runs.
LOOP_CHECK_INTERVAL = clock.seconds(0.05)
# A longer time without a check is a pause of the process.
MIN_PAUSE = clock.seconds(1)
# Rounds of the event loop in which a new connection is accepted, opened and read.
ACCEPT_ROUNDS = 10


@dataclasses.dataclass(frozen=True)
class Limits:
    """Limits of a server.

    Attributes:
        connections: Maximum number of open connections; further ones are closed immediately.
        head_timeout: Longest silence of the peer before the first request's head.
        idle_timeout: Longest silence of the peer before the head of a later request.
        read_timeout: Longest time for a head that has begun, and longest silence of the peer within
            a request body.
        write_timeout: Longest time for which the peer may read nothing of a response.
        body_bytes: Maximum size of a request body.
    """

    connections: int = 12_000
    head_timeout: datetime.timedelta = clock.seconds(10)
    idle_timeout: datetime.timedelta = clock.seconds(75)
    read_timeout: datetime.timedelta = clock.seconds(10)
    write_timeout: datetime.timedelta = clock.seconds(30)
    body_bytes: int = 8 * 1024 * 1024


class Request:
    """A request whose head has been read and whose body may still be arriving.

    Attributes:
        method: HTTP method, in upper case.
        version: HTTP version, such as ``1.1``.
        target: Request target as sent.
        raw_path: Path without the query, as sent and as it is passed on.
        path: Decoded path without the query.
        query: Value of each query parameter by name; the last one of a repeated parameter.
        headers: Pairs of lower-case name and value.
        peer: Address of the peer.
        body_ended: Whether the whole body has been read.
        buffered_s: Seconds between the last data from the peer and the reading of the head.
        arrived_after: Monotonic time after which the request arrived, at the latest before a pause
            of the process. None if the server has no clock.
    """

    def __init__(
        self,
        head: h11.Request,
        connection: wire.Connection,
        limits: Limits,
        reserved: memory.Reservation,
    ) -> None:
        self.method = head.method.decode("ascii")
        self.version = head.http_version.decode("ascii")
        self.target = head.target.decode("ascii")
        # Not urlsplit: it takes a target for a reference, and "//a/b" for a host and its path.
        self.raw_path, _, query = self.target.partition("?")
        self.path = urllib.parse.unquote(self.raw_path)
        self.query = dict(urllib.parse.parse_qsl(query))
        self.headers = list(head.headers)
        self.peer = connection.peer
        self.arrived_after = connection.arrived_after
        self._connection = connection
        self._limits = limits
        self._reserved = reserved
        self._received = 0
        self.body_ended = False
        # A pipelined request may have arrived long before it is read.
        self.buffered_s = (
            max(0.0, time.monotonic() - connection.last_data_at) if connection.last_data_at else 0.0
        )

    @property
    def caller_left(self) -> bool:
        """Whether the caller has closed its side of the connection or reset it.

        A caller that closes only its side, and still reads, counts as one that has left.
        """
        return self._connection.has_peer_closed()

    def check_caller(self) -> None:
        """Checks that the caller still waits; to be called before work is begun or sent on.

        The loss of the connection cancels the handler too, but only once the event loop has seen
        it, and what runs until then would be sent for nobody.

        Raises:
            errors.CallerLeftError: It has left.
        """
        if self.caller_left:
            raise errors.CallerLeftError("the caller has left", peer=self.peer)

    def header(self, name: str) -> str | None:
        """Returns the first value of a header, or None."""
        return wire.header(self.headers, name.lower().encode("ascii"))

    def declared_length(self) -> int | None:
        """Returns the body length declared in the head, or None for a chunked body."""
        value = self.header("content-length")
        if value is not None:
            return int(value)
        return None if self.header("transfer-encoding") else 0

    async def next_chunk(self) -> bytes:
        """Returns the next chunk of the body, or empty bytes at its end.

        Raises:
            errors.LimitExceededError: The body is larger than allowed or arrives too slowly.
            errors.TransportError: The connection failed.
        """
        if self.body_ended:
            return b""
        if self._connection.h11.they_are_waiting_for_100_continue:
            await self._connection.send(
                h11.InformationalResponse(status_code=100, headers=[], reason=b"Continue")
            )
        while True:
            try:
                event = await self._connection.next_event(self._limits.read_timeout)
            except errors.ExchangeTimeoutError as error:
                raise errors.LimitExceededError(
                    "body arrived too slowly", status=408, step="read body", peer=self.peer
                ) from error
            if isinstance(event, h11.EndOfMessage):
                self.body_ended = True
                return b""
            self._received += len(event.data)
            if self._received > self._limits.body_bytes:
                raise errors.LimitExceededError(
                    "body is too large", status=413, step="read body", peer=self.peer
                )
            if event.data:
                return bytes(event.data)

    def try_reserve(self, byte_count: int) -> bool:
        """Reserves memory for further bytes of the request, or of its response, until it has been
        served; returns False if other requests hold too many."""
        return self._reserved.try_add(byte_count)

    def release(self) -> None:
        """Gives back the memory that was reserved."""
        self._reserved.release()

    async def read(self) -> bytes:
        """Returns the rest of the body.

        Raises:
            errors.LimitExceededError: The body is larger than allowed or arrives too slowly, or the
                process holds too many bytes for other requests.
            errors.TransportError: The connection failed.
        """
        body = bytearray()
        while chunk := await self.next_chunk():
            if not self.try_reserve(len(chunk)):
                raise errors.LimitExceededError(
                    "too many bodies are being read", status=503, step="read body", peer=self.peer
                )
            body += chunk
        return bytes(body)

    async def read_json(self) -> typing.Any:
        """Returns the body decoded as JSON.

        Raises:
            errors.InvalidInputError: The body is not JSON.
        """
        body = await self.read()
        try:
            body = compression.decompress(body, self.headers, self._limits.body_bytes)
        except errors.ProtocolError as error:
            raise errors.InvalidInputError(
                error.message, step="read body", peer=self.peer
            ) from error
        try:
            return orjson.loads(body)
        except orjson.JSONDecodeError as error:
            raise errors.InvalidInputError(
                f"body is not JSON: {error}", step="read body", peer=self.peer
            ) from error


class Reply:
    """Writer of the response to one request; it is started once and finished once.

    Args:
        connection: Connection of the request.
        method: Method of the request.
        compressing: Whether the caller understands compressed JSON bodies.
        write_timeout: Longest time for which the caller may read nothing, None for no limit.
        is_stopping: Returns whether the connection is to be closed, since a stop has begun.
        is_followed: Returns whether a later request of the connection has been begun already. The
            connection then stays open until that one is answered.
    """

    def __init__(
        self,
        connection: wire.Connection,
        method: str,
        *,
        compressing: bool = False,
        write_timeout: datetime.timedelta | None = None,
        is_stopping: collections.abc.Callable[[], bool] = lambda: False,
        is_followed: collections.abc.Callable[[], bool] = lambda: False,
    ) -> None:
        self._connection = connection
        self._write_timeout = write_timeout
        self._is_stopping = is_stopping
        self._is_followed = is_followed
        self._head_only = method == "HEAD"
        self._compressing = compressing
        self.started = False
        self.finished = False
        self.status = 0
        self.close_after = False

    @property
    def in_turn(self) -> bool:
        """Whether the responses to all earlier requests of the connection have been sent."""
        return True

    async def wait_for_turn(self) -> None:
        """Waits until the responses to all earlier requests have been sent."""

    async def start(
        self, status: int, headers: collections.abc.Sequence[tuple[bytes, bytes]] = ()
    ) -> None:
        """Sends the response head."""
        self._mark_started(status)
        await self._send(self._head(status, headers))

    async def write(self, data: bytes) -> None:
        """Sends a chunk of the body, and waits while the peer reads too slowly."""
        if data and not self._head_only:
            await self._send(h11.Data(data=data))

    async def finish(self) -> None:
        """Ends the response."""
        self.finished = True
        await self._send(h11.EndOfMessage())

    async def send(
        self,
        status: int,
        body: bytes,
        headers: collections.abc.Sequence[tuple[bytes, bytes]] = (),
    ) -> None:
        """Sends a complete response in one write."""
        self._mark_started(status)
        self.finished = True
        full = [*headers]
        if status != 204:
            full.append((b"content-length", b"%d" % len(body)))
        events: list[h11.Event] = [self._head(status, full)]
        if body and not self._head_only and status != 204:
            events.append(h11.Data(data=body))
        await self._send(*events, h11.EndOfMessage())

    async def _send(self, *events: h11.Event) -> None:
        await self._connection.send(*events, timeout=self._write_timeout)

    async def json(
        self,
        status: int,
        value: typing.Any,
        headers: collections.abc.Sequence[tuple[bytes, bytes]] = (),
    ) -> None:
        """Sends a complete response with a JSON body."""
        body = orjson.dumps(value)
        fields = [(b"content-type", b"application/json"), *headers]
        if self._compressing:
            fields.append(compression.ACCEPT_HEADER)
            if compressed := compression.compress(body):
                body = compressed
                fields.append(compression.CONTENT_HEADER)
        await self.send(status, body, fields)

    def _mark_started(self, status: int) -> None:
        self.started = True
        self.status = status

    def _head(self, status: int, headers) -> h11.Response:
        if (self.close_after or self._is_stopping()) and not self._is_followed():
            headers = [*headers, (b"connection", b"close")]
        reason = REASON_PHRASES.get(status, b"")
        return h11.Response(status_code=status, headers=list(headers), reason=reason)


class DeferredReply(Reply):
    """Reply to a request that is served before its turn; it is sent when the turn has come."""

    def __init__(self) -> None:
        self._turn: asyncio.Future[Reply] = asyncio.get_running_loop().create_future()
        self.close_after = False

    def take_turn(self, reply: Reply) -> None:
        """Lets the reply be sent, through the connection's own reply."""
        reply.close_after = reply.close_after or self.close_after
        self._turn.set_result(reply)

    @property
    def _reply(self) -> Reply | None:
        return self._turn.result() if self._turn.done() else None

    @property
    def started(self) -> bool:  # type: ignore[override]
        """Whether the response's head has been sent."""
        return self._reply is not None and self._reply.started

    @property
    def finished(self) -> bool:  # type: ignore[override]
        """Whether the response has been sent."""
        return self._reply is not None and self._reply.finished

    @property
    def status(self) -> int:  # type: ignore[override]
        """Status of the response, 0 before it is sent."""
        return self._reply.status if self._reply is not None else 0

    @property
    def in_turn(self) -> bool:
        """Whether the responses to all earlier requests of the connection have been sent."""
        return self._turn.done()

    async def wait_for_turn(self) -> None:
        """Waits until the responses to all earlier requests have been sent."""
        await asyncio.shield(self._turn)

    async def _wait(self) -> Reply:
        reply = await asyncio.shield(self._turn)
        reply.close_after = reply.close_after or self.close_after
        return reply

    async def start(
        self, status: int, headers: collections.abc.Sequence[tuple[bytes, bytes]] = ()
    ) -> None:
        """Sends the response head."""
        await (await self._wait()).start(status, headers)

    async def write(self, data: bytes) -> None:
        """Sends a chunk of the body."""
        await (await self._wait()).write(data)

    async def finish(self) -> None:
        """Ends the response."""
        await (await self._wait()).finish()

    async def send(
        self,
        status: int,
        body: bytes,
        headers: collections.abc.Sequence[tuple[bytes, bytes]] = (),
    ) -> None:
        """Sends a complete response."""
        await (await self._wait()).send(status, body, headers)

    async def json(
        self,
        status: int,
        value: typing.Any,
        headers: collections.abc.Sequence[tuple[bytes, bytes]] = (),
    ) -> None:
        """Sends a complete response with a JSON body."""
        await (await self._wait()).json(status, value, headers)


@dataclasses.dataclass(frozen=True)
class _Ahead:
    """A request that is served before its turn."""

    task: asyncio.Task[None]
    reply: DeferredReply


Handler = collections.abc.Callable[[Request, Reply], collections.abc.Awaitable[None]]


async def send_error(reply: Reply, error: errors.FlamingotillerError) -> None:
    """Responds with a JSON error document, with the status for the type of error."""
    body: dict[str, typing.Any] = {
        "error": type(error).__name__.removesuffix("Error"),
        "message": error.message,
        "step": error.step,
    }
    if isinstance(error, errors.InvalidInputError):
        body["faults"] = list(error.faults)
    if isinstance(error, errors.ConflictError):
        body["winner"] = error.winner
    if isinstance(error, errors.NotLeaderError):
        body["leader"] = error.leader
    await reply.json(status_of(error), body)


@functools.singledispatch
def status_of(error: Exception) -> int:
    """Returns the HTTP status for a type of error."""
    return 500


@status_of.register
def _(error: errors.LimitExceededError) -> int:
    return error.status


@status_of.register
def _(error: errors.InvalidInputError) -> int:
    return 400


@status_of.register
def _(error: errors.UnauthenticatedError) -> int:
    return 401


@status_of.register
def _(error: errors.NotFoundError) -> int:
    return 404


@status_of.register
def _(error: errors.ConflictError) -> int:
    return 409


@status_of.register
def _(error: errors.NotLeaderError) -> int:
    return 421


@status_of.register
def _(error: errors.TransportError) -> int:
    return 502


@status_of.register(errors.UnavailableError)
@status_of.register(errors.StorageError)
def _(error: errors.FlamingotillerError) -> int:
    return 503


class Server:
    """Listens on one address and serves the requests of each connection one at a time.

    Args:
        handler: Called with each request.
        limits: Limits of the server; may be replaced while it runs.
        on_handler_error: Called with an unexpected exception of a handler and the peer's address.
        compresses: Whether JSON responses may be compressed; for calls between instances.
        may_run_ahead: Returns whether a request may be served while an earlier one of its
            connection is; its caller may send it again if the earlier response closes the
            connection. None to serve all in turn.
        clk: Clock by which requests tell after which time they arrived; None if no handler asks.
    """

    def __init__(
        self,
        handler: Handler,
        *,
        limits: Limits | None = None,
        on_handler_error: collections.abc.Callable[[BaseException, str], None] | None = None,
        compresses: bool = False,
        may_run_ahead: collections.abc.Callable[[Request], bool] | None = None,
        clk: clock.Clock | None = None,
    ) -> None:
        self._clock = clk
        # Times of the last two checks that the event loop runs. Data that is read now had not
        # arrived at the earlier one: the loop has looked for data between the two.
        self._loop_ran_at = (clock.ZERO, clock.ZERO)
        self._loop_check: asyncio.TimerHandle | None = None
        self._resumed_at = clock.ZERO
        self._compresses = compresses
        self._may_run_ahead = may_run_ahead
        self._lookahead_by_connection: dict[wire.Connection, pipelining.Lookahead[_Ahead]] = {}
        self._handler = handler
        self._held = memory.Budget(MAX_HELD_BYTES)
        self.limits = limits or Limits()
        self._on_handler_error = on_handler_error
        self._server: asyncio.Server | None = None
        self._task_by_connection: dict[wire.Connection, asyncio.Task[None]] = {}
        self._busy: set[wire.Connection] = set()
        # Connections to close behind the last request that has been begun.
        self._closing: set[wire.Connection] = set()
        self._draining = False
        self._keep_alive_disabled = False
        self._ending = False

    @property
    def ending(self) -> bool:
        """Whether the grace period of a stop is over, and requests still in flight are cut off.

        A handler that is cancelled then can still respond.
        """
        return self._ending

    @property
    def connection_count(self) -> int:
        """Number of open connections."""
        return len(self._task_by_connection)

    @property
    def request_count(self) -> int:
        """Number of requests being served."""
        return len(self._busy)

    async def start(self, host: str, port: int) -> int:
        """Starts listening.

        Returns:
            The bound port, which is chosen by the system when ``port`` is 0.

        Raises:
            errors.SettingsError: The address cannot be bound.
        """
        loop = asyncio.get_running_loop()
        try:
            self._server = await loop.create_server(self._make_connection, host, port, backlog=1024)
        except OSError as error:
            raise errors.SettingsError(
                f"cannot listen on {host}:{port}: {error.strerror}", step="listen"
            ) from error
        if self._clock is not None:
            now = self._clock.monotonic()
            self._loop_ran_at = (now, now)
            self._check_loop(self._clock)
        return self._server.sockets[0].getsockname()[1]

    def _check_loop(self, clk: clock.Clock) -> None:
        now = clk.monotonic()
        self._resumed_at = self.resumed_at(now)
        self._loop_ran_at = (self._loop_ran_at[1], now)
        self._loop_check = asyncio.get_running_loop().call_later(
            LOOP_CHECK_INTERVAL.total_seconds(), self._check_loop, clk
        )

    def resumed_at(self, now: datetime.timedelta) -> datetime.timedelta:
        """Returns the end of the latest pause of the process, zero if there was none.

        Only for a server with a clock, whose time ``now`` is.
        """
        return now if now - self._loop_ran_at[1] > MIN_PAUSE else self._resumed_at

    def _make_connection(self) -> wire.Connection:
        return wire.Connection(
            h11.SERVER,
            on_open=self._on_connection_open,
            on_lost=self._on_connection_lost,
            on_data=self._look_ahead if self._may_run_ahead else None,
            read_after=(lambda: self._loop_ran_at[0]) if self._clock is not None else None,
        )

    def _on_connection_open(self, connection: wire.Connection) -> None:
        if len(self._task_by_connection) >= self.limits.connections:
            connection.abort()
            return
        task = asyncio.get_running_loop().create_task(self._serve(connection))
        self._task_by_connection[connection] = task
        task.add_done_callback(lambda _: self._task_by_connection.pop(connection, None))

    def _on_connection_lost(self, connection: wire.Connection) -> None:
        # The peer has disconnected: cancelling the handler also cancels the work it waits for.
        task = self._task_by_connection.get(connection)
        if task and connection in self._busy:
            task.cancel()

    async def _serve(self, connection: wire.Connection) -> None:
        timeout = self.limits.head_timeout
        try:
            while await self._serve_one(connection, timeout):
                timeout = self.limits.idle_timeout
                if self._ending and not self._has_begun_ahead(connection):
                    break
                if self._draining and not connection.has_unread_data:
                    break
        except (errors.FlamingotillerError, asyncio.CancelledError):
            connection.abort()
        except Exception as error:  # noqa: BLE001 - an error in one request ends only that request
            connection.abort()
            if self._on_handler_error:
                self._on_handler_error(error, connection.peer)
        finally:
            self._busy.discard(connection)
            self._closing.discard(connection)
            self._cancel_ahead(connection)
            connection.close()

    async def _serve_one(self, connection: wire.Connection, timeout: datetime.timedelta) -> bool:
        """Serves one request; returns whether the connection can serve another."""
        try:
            await connection.wait_for_data(timeout)
            head = await connection.next_event(self.limits.read_timeout, in_total=True)
        except errors.ProtocolError as error:
            await self._reject_head(connection, error)
            return False
        except errors.TransportError:
            return False
        if not isinstance(head, h11.Request):
            return False
        self._busy.add(connection)
        compressing = self._compresses and compression.is_accepted(head.headers)
        ahead = self._pop_ahead(connection)
        reply = Reply(
            connection,
            head.method.decode("ascii"),
            compressing=compressing,
            write_timeout=self.limits.write_timeout,
            is_stopping=lambda: self._draining or self._keep_alive_disabled,
            is_followed=lambda: self._has_begun_ahead(connection),
        )
        reply.close_after = connection in self._closing
        if ahead is not None:
            await self._finish_ahead(head, connection, reply, ahead)
        else:
            await self._handle(head, connection, reply)
        self._busy.discard(connection)
        if reply.close_after:
            self._closing.add(connection)
        if not reply.finished:
            connection.abort()
            return False
        return self._start_next_cycle(connection)

    # Requests ahead of their turn

    def _look_ahead(self, connection: wire.Connection) -> None:
        """Begins requests that have arrived behind the one that is being served."""
        closes = self._draining or self._keep_alive_disabled or connection in self._closing
        if connection not in self._busy or connection.h11.their_state is not h11.DONE or closes:
            return
        unread = connection.h11.trailing_data[0]
        if not unread:
            return
        lookahead = self._lookahead_by_connection.get(connection)
        if lookahead is None:
            lookahead = pipelining.Lookahead(lambda head: self._begin_ahead(head, connection))
            self._lookahead_by_connection[connection] = lookahead
        lookahead.look(unread)

    def _begin_ahead(self, head: h11.Request, connection: wire.Connection) -> _Ahead | None:
        assert self._may_run_ahead is not None
        try:
            request = self._make_request(head, connection)
        except ValueError:
            # It is refused in its turn, where the caller can be answered.
            return None
        request.body_ended = True
        if not _is_framed(request) or not self._may_run_ahead(request):
            return None
        reply = DeferredReply()
        work = self._run_handler(request, reply)
        task = asyncio.get_running_loop().create_task(work)
        # If the connection ends first, nobody awaits the task.
        task.add_done_callback(lambda done: done.cancelled() or done.exception())
        return _Ahead(task, reply)

    def _has_begun_ahead(self, connection: wire.Connection) -> bool:
        lookahead = self._lookahead_by_connection.get(connection)
        return lookahead is not None and bool(lookahead.found)

    def _pop_ahead(self, connection: wire.Connection) -> pipelining.Found[_Ahead] | None:
        lookahead = self._lookahead_by_connection.get(connection)
        if lookahead is None:
            return None
        found = lookahead.pop()
        if found is None:
            lookahead.reset()
        return found

    async def _finish_ahead(
        self,
        head: h11.Request,
        connection: wire.Connection,
        reply: Reply,
        found: pipelining.Found[_Ahead],
    ) -> None:
        """Sends the response to a request that was begun before its turn."""
        same_request = (head.method, head.target, head.headers) == (
            found.head.method,
            found.head.target,
            found.head.headers,
        )
        try:
            # The request has no body, so its end has arrived with its head.
            end = await connection.next_event(clock.ZERO)
            if not same_request or not isinstance(end, h11.EndOfMessage):
                raise errors.ProtocolError("requests are out of step", peer=connection.peer)
            self._look_ahead(connection)
            found.ticket.reply.take_turn(reply)
            if self._ending:
                found.ticket.task.cancel()
            await found.ticket.task
        finally:
            found.ticket.task.cancel()

    def _cancel_ahead(self, connection: wire.Connection) -> None:
        lookahead = self._lookahead_by_connection.pop(connection, None)
        for found in lookahead.found if lookahead else ():
            found.ticket.task.cancel()

    # Handling of a request

    def _make_request(self, head: h11.Request, connection: wire.Connection) -> Request:
        return Request(head, connection, self.limits, memory.Reservation(self._held))

    async def _handle(self, head: h11.Request, connection: wire.Connection, reply: Reply) -> None:
        try:
            request = self._make_request(head, connection)
        except ValueError as error:
            reply.close_after = True
            await send_error(reply, errors.InvalidInputError(str(error), step="read head"))
            return
        if self._may_run_ahead and request.declared_length() == 0 and _is_framed(request):
            # The end of a request without a body shows where the next one begins.
            await request.next_chunk()
            self._look_ahead(connection)
        await self._run_handler(request, reply)

    async def _run_handler(self, request: Request, reply: Reply) -> None:
        try:
            check_framing(request)
            await self._handler(request, reply)
            if not reply.started:
                raise RuntimeError(f"no response to {request.method} {request.raw_path}")
            if reply.finished and not request.body_ended and request.declared_length() == 0:
                await request.next_chunk()
        except errors.CallerLeftError:
            raise
        except errors.FlamingotillerError as error:
            if reply.started:
                raise
            reply.close_after = True
            await send_error(reply, error)
        except ValueError as error:
            if reply.started:
                raise
            reply.close_after = True
            await send_error(reply, errors.InvalidInputError(str(error), step="read head"))
        except Exception as error:
            if reply.started:
                raise
            # The caller gets an answer whatever the handler does; it promises nothing.
            if self._on_handler_error:
                self._on_handler_error(error, request.peer)
            reply.close_after = True
            await send_error(reply, errors.FlamingotillerError("internal error", step="serve"))
        finally:
            request.release()

    def _start_next_cycle(self, connection: wire.Connection) -> bool:
        if connection.h11.our_state is not h11.DONE or connection.h11.their_state is not h11.DONE:
            return False
        with contextlib.suppress(h11.ProtocolError):
            connection.h11.start_next_cycle()
            return True
        return False

    async def _reject_head(self, connection: wire.Connection, error: errors.ProtocolError) -> None:
        cause = error.__cause__
        status = getattr(cause, "error_status_hint", 400)
        if connection.h11.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return
        reply = Reply(connection, "GET", write_timeout=self.limits.write_timeout)
        reply.close_after = True
        with contextlib.suppress(errors.TransportError):
            await send_error(
                reply, errors.LimitExceededError(error.message, status=status, step="read head")
            )

    def disable_keep_alive(self) -> None:
        """Adds ``Connection: close`` to all further responses, and continues to serve."""
        self._keep_alive_disabled = True

    def start_draining(self) -> None:
        """Adds ``Connection: close`` to all further responses and closes idle connections.

        A connection with data that its task has not read yet is not idle: it is closed after the
        response to that request.
        """
        self._draining = True
        for connection in list(self._task_by_connection):
            if connection not in self._busy and not connection.has_unread_data:
                connection.close()

    def stop_listening(self) -> None:
        """Stops accepting connections."""
        if self._server:
            self._server.close()
        if self._loop_check:
            self._loop_check.cancel()

    def abort(self) -> None:
        """Stops listening and aborts every connection, as if the process had crashed."""
        self.stop_listening()
        for connection in list(self._task_by_connection):
            connection.abort()

    async def close(self, grace: datetime.timedelta = clock.ZERO) -> None:
        """Stops listening, waits up to ``grace`` for requests in flight, then cancels the rest.

        The handler of a cancelled request may still respond (``ending``).
        """
        # The event loop first accepts what the kernel has accepted, and reads what has arrived.
        for _ in range(ACCEPT_ROUNDS):
            await asyncio.sleep(0)
        self.stop_listening()
        self.start_draining()
        tasks = list(self._task_by_connection.values())
        if tasks and grace > clock.ZERO:
            await asyncio.wait(tasks, timeout=grace.total_seconds())
        self._ending = True
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


def _is_framed(request: Request) -> bool:
    try:
        check_framing(request)
    except errors.FlamingotillerError:
        # It is refused with this error in its turn.
        return False
    return True


def check_framing(request: Request) -> None:
    """Checks that a request's framing is unambiguous, to prevent request smuggling.

    Raises:
        errors.InvalidInputError: Conflicting or repeated framing headers, or an invalid target.
        errors.LimitExceededError: The head is too large, or the HTTP version or the method is not
            supported.
    """
    size = len(request.target) + sum(len(name) + len(value) + 4 for name, value in request.headers)
    if size > wire.MAX_HEAD_BYTES:
        # h11 limits only an incomplete head in its buffer, not one that arrives in one piece.
        raise errors.LimitExceededError(
            "head is too large", status=431, step="read head", peer=request.peer
        )
    if request.version not in ("1.0", "1.1"):
        raise errors.LimitExceededError(
            f"HTTP/{request.version} is not supported",
            status=505,
            step="read head",
            peer=request.peer,
        )
    if request.raw_path.startswith("//") and not {"[", "]"}.isdisjoint(request.raw_path):
        # No path may contain a bracket, and behind two slashes readers of references fail on it.
        raise errors.InvalidInputError(
            "the target is not a valid path", step="read head", peer=request.peer
        )
    if request.method == "CONNECT":
        raise errors.LimitExceededError(
            "CONNECT is not supported", status=501, step="read head", peer=request.peer
        )
    names = [name for name, _ in request.headers]
    both = b"content-length" in names and b"transfer-encoding" in names
    repeated = names.count(b"content-length") > 1 or names.count(b"transfer-encoding") > 1
    if both or repeated:
        raise errors.InvalidInputError(
            "ambiguous framing headers", step="read head", peer=request.peer
        )
    if not request.target.startswith("/") or "#" in request.target:
        raise errors.InvalidInputError(
            "the target must be an absolute path, without a fragment",
            step="read head",
            peer=request.peer,
        )
    if names.count(b"host") > 1:
        raise errors.InvalidInputError("repeated Host header", step="read head", peer=request.peer)
