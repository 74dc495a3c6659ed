"""HTTP/1.1 connection over asyncio and h11, for clients and servers: framing, flow control, limits.

A connection is owned by the task that uses it; no other task may read from or write to it."""

from __future__ import annotations

import asyncio
import collections.abc
import contextlib
import dataclasses
import datetime
import math
import select
import socket
import struct
import threading
import time
import typing

import h11

from flamingotiller import errors, memory

MAX_HEAD_BYTES = 16 * 1024
# Bytes that may wait on a connection in each direction before its peer is slowed down.
READ_HIGH_WATER_BYTES = 64 * 1024
WRITE_HIGH_WATER_BYTES = 64 * 1024
# Largest piece that is read at once, and the largest while more than MAX_UNREAD_BYTES wait on all
# connections of the process together. Connections with unread data are paused then.
READ_BYTES = 64 * 1024
SHORT_READ_BYTES = 4 * 1024
MAX_UNREAD_BYTES = 16 * 1024 * 1024
# Events that one connection may give out in a row before other tasks run.
MAX_EVENTS_PER_ROUND = 20
# Responses with a status below 200 that may come before the final one.
MAX_INFORMATIONAL_RESPONSES = 8
# Statuses of final responses. h11 takes any number of three digits from 200 on.
FINAL_STATUSES = range(200, 600)
_FRAMING_HEADERS = frozenset({b"content-length", b"transfer-encoding"})
# While reading from a caller is paused, its close is looked for at this interval.
PAUSED_CHECK_INTERVAL = datetime.timedelta(seconds=0.1)


@dataclasses.dataclass
class Traffic:
    """Bytes transferred over connections.

    Attributes:
        read: Bytes received.
        written: Bytes sent.
    """

    read: int = 0
    written: int = 0


# Events of poll that tell that the peer has closed or reset the connection. POLLRDHUP tells of a
# close behind data that has not been read; not every system has it.
_PEER_CLOSED = select.POLLHUP | select.POLLERR | getattr(select, "POLLRDHUP", 0)

# Value of SO_LINGER that makes closing a socket reset the connection.
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)

# Total over all connections of this process, for metrics.
total_traffic = Traffic()

# Bytes that have arrived on all connections of this process and have not been read as events.
unread = memory.Budget(MAX_UNREAD_BYTES)


class _ReadBuffer(threading.local):
    """Buffer that all connections of a thread read into; its content is copied at once."""

    def __init__(self) -> None:
        self.view = memoryview(bytearray(READ_BYTES))


_read_buffer = _ReadBuffer()


class Connection(asyncio.BufferedProtocol):
    """An asyncio transport combined with an h11 state machine.

    Args:
        role: ``h11.CLIENT`` or ``h11.SERVER``.
        on_open: Called with the connection once the transport is connected.
        on_lost: Called once when the peer closes or the connection breaks.
        on_data: Called with the connection after data has arrived.
        read_after: Returns a monotonic time before which data that is read now cannot have arrived.
            None if that is not needed.

    Attributes:
        lost: Whether the connection has ended.
        broken: Whether the connection ended with an error rather than an orderly close.
        last_data_at: Time of the last data from the peer, in seconds of ``time.monotonic``; 0
            before any data.
        arrived_after: What ``read_after`` returned for the first data that no task has waited for
            yet; None before any data.
        idle: Whether the connection waits in a pool. Data that arrives then belongs to no request
            and closes it.
        refused_id: Id of the last request that the peer refused on this connection, empty if none.
            The peer may send the refusal once more.
        idle_until: Time until which the connection may be reused while idle, in seconds of the
            event loop's clock.
    """

    def __init__(
        self,
        role: typing.Any,
        *,
        on_open: collections.abc.Callable[[Connection], None] | None = None,
        on_lost: collections.abc.Callable[[Connection], None] | None = None,
        on_data: collections.abc.Callable[[Connection], None] | None = None,
        read_after: collections.abc.Callable[[], datetime.timedelta] | None = None,
    ) -> None:
        self.h11 = h11.Connection(our_role=role, max_incomplete_event_size=MAX_HEAD_BYTES)
        self.peer = ""
        self.lost = False
        self.broken = False
        self.last_data_at = 0.0
        self.arrived_after: datetime.timedelta | None = None
        self.idle = False
        self.idle_until = math.inf
        self.refused_id = ""
        self.bytes_written = 0
        self.bytes_read = 0
        self._on_open = on_open
        self._on_lost = on_lost
        self._on_data = on_data
        self._read_after = read_after
        self._transport: asyncio.Transport | None = None
        self._unread = memory.Reservation(unread)
        self._awaits_data = True
        self._events_in_a_row = 0
        self._read_paused = False
        self._paused_check: asyncio.TimerHandle | None = None
        self._read_waiter: asyncio.Future[None] | None = None
        self._write_waiter: asyncio.Future[None] | None = None
        self._write_paused = False

    @property
    def transport(self) -> asyncio.Transport:
        """The transport; only valid once the connection is open."""
        assert self._transport is not None
        return self._transport

    @property
    def has_unread_data(self) -> bool:
        """Whether data has arrived that no task has read as an event yet."""
        return bool(self.h11.trailing_data[0])

    def has_peer_closed(self) -> bool:
        """Returns whether the peer has closed its side of the connection, or reset it.

        This asks the operating system, and so tells also of a close that the event loop has not
        seen yet or that waits behind unread data. ``lost`` tells only of what has been read.
        """
        if self.lost or self.transport.is_closing():
            return True
        sock = self.transport.get_extra_info("socket")
        poller = select.poll()
        poller.register(sock.fileno(), _PEER_CLOSED)
        return bool(poller.poll(0))

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Stores the transport; part of ``BufferedProtocol``."""
        self._transport = typing.cast(asyncio.Transport, transport)
        self._transport.set_write_buffer_limits(high=WRITE_HIGH_WATER_BYTES)
        name = transport.get_extra_info("peername")
        self.peer = f"{name[0]}:{name[1]}" if name else ""
        if self._on_open:
            self._on_open(self)

    def get_buffer(self, sizehint: int) -> memoryview:
        """Returns the buffer to read into; part of ``BufferedProtocol``."""
        return _read_buffer.view[: SHORT_READ_BYTES if unread.exhausted else READ_BYTES]

    def buffer_updated(self, nbytes: int) -> None:
        """Takes received data; part of ``BufferedProtocol``."""
        self.data_received(bytes(_read_buffer.view[:nbytes]))

    def data_received(self, data: bytes) -> None:
        """Keeps received data until it is read as events."""
        self.last_data_at = time.monotonic()
        self.bytes_read += len(data)
        total_traffic.read += len(data)
        if self.idle:
            self.abort()
            return
        if self._read_after and self._awaits_data:
            self.arrived_after = self._read_after()
        self._awaits_data = False
        self.h11.receive_data(data)
        self._unread.set(self._unread.held + len(data))
        if self._unread.held > READ_HIGH_WATER_BYTES or unread.exhausted:
            self._pause_reading()
        self._wake_reader()
        if self._on_data:
            self._on_data(self)

    def _pause_reading(self) -> None:
        if self._read_paused:
            return
        self._read_paused = True
        self.transport.pause_reading()
        if self.h11.our_role is h11.SERVER and self._paused_check is None:
            self._schedule_paused_check()

    def _schedule_paused_check(self) -> None:
        loop = asyncio.get_running_loop()
        interval_s = PAUSED_CHECK_INTERVAL.total_seconds()
        self._paused_check = loop.call_later(interval_s, self._check_paused)

    def _check_paused(self) -> None:
        """Looks for the close of a caller whose bytes are not read."""
        self._paused_check = None
        if not self._read_paused or self.lost:
            return
        if self.has_peer_closed():
            self._mark_lost()
            return
        self._schedule_paused_check()

    def _resume_reading(self) -> None:
        if self._read_paused and not self.lost:
            self._read_paused = False
            self.transport.resume_reading()

    def eof_received(self) -> bool:
        """Treats a half-closed connection as closed; part of ``BufferedProtocol``."""
        if not self.lost:
            self.h11.receive_data(b"")
        self._mark_lost()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Wakes the tasks waiting to read or write; part of ``BufferedProtocol``."""
        if exc is not None:
            self.broken = True
        self._unread.release()
        self._mark_lost()
        self._write_paused = False
        if self._write_waiter and not self._write_waiter.done():
            self._write_waiter.set_result(None)

    def pause_writing(self) -> None:
        """Suspends ``send`` while the write buffer is full; part of ``BufferedProtocol``."""
        self._write_paused = True

    def resume_writing(self) -> None:
        """Resumes ``send``; part of ``BufferedProtocol``."""
        self._write_paused = False
        if self._write_waiter and not self._write_waiter.done():
            self._write_waiter.set_result(None)

    def _mark_lost(self) -> None:
        if self.lost:
            return
        self.lost = True
        self._wake_reader()
        if self._on_lost:
            self._on_lost(self)

    def _wake_reader(self) -> None:
        if self._read_waiter and not self._read_waiter.done():
            self._read_waiter.set_result(None)

    async def wait_for_data(self, timeout: datetime.timedelta) -> None:
        """Waits until there is data that no task has read as an event, or the connection has ended.

        Raises:
            errors.ExchangeTimeoutError: The timeout has passed.
        """
        if not self.has_unread_data and not self.lost:
            await self._wait_readable(timeout.total_seconds())

    async def next_event(
        self, timeout: datetime.timedelta, *, in_total: bool = False
    ) -> typing.Any:
        """Reads the next h11 event.

        Args:
            timeout: Maximum time between two pieces of data from the peer.
            in_total: Whether ``timeout`` is the maximum time until the event is complete instead,
                however slowly its data arrives.

        Returns:
            An h11 event, or ``h11.PAUSED``.

        Raises:
            errors.ExchangeTimeoutError: The timeout has passed.
            errors.ConnectionLostError: The connection ended before the event was complete.
            errors.ProtocolError: The peer sent invalid HTTP/1.1.
        """
        ends_at: float | None = None
        self._events_in_a_row += 1
        if self._events_in_a_row > MAX_EVENTS_PER_ROUND:
            self._events_in_a_row = 1
            await asyncio.sleep(0)
        while True:
            try:
                event = self.h11.next_event()
            except h11.RemoteProtocolError as error:
                if self.lost:
                    raise errors.ConnectionLostError(
                        "connection closed by the peer before the message was complete",
                        peer=self.peer,
                    ) from error
                raise errors.ProtocolError(str(error), peer=self.peer) from error
            if event is not h11.NEED_DATA:
                if self._read_paused and isinstance(event, h11.EndOfMessage):
                    self._resume_unless_more_is_unread()
                return event
            if self.lost:
                raise errors.ConnectionLostError("connection ended", peer=self.peer)
            remaining_s = timeout.total_seconds()
            if in_total:
                now = asyncio.get_running_loop().time()
                ends_at = now + remaining_s if ends_at is None else ends_at
                remaining_s = max(0.0, ends_at - now)
            await self._wait_readable(remaining_s)

    async def next_response(
        self, get_timeout: collections.abc.Callable[[], datetime.timedelta]
    ) -> typing.Any:
        """Reads the next event behind informational responses: the final response's head, or the
        end of the connection.

        Args:
            get_timeout: Returns the maximum time until the next event is complete.

        Raises:
            errors.ProtocolError: The response has a status that HTTP does not define or that
                cannot be final, there are too many informational responses, or as for
                ``next_event``, like the other errors.
        """
        for _ in range(MAX_INFORMATIONAL_RESPONSES + 1):
            event = await self.next_event(get_timeout(), in_total=True)
            if isinstance(event, h11.InformationalResponse):
                # It cannot have a body, so one that announces a body is no informational response.
                is_valid = not any(name in _FRAMING_HEADERS for name, _ in event.headers)
            else:
                is_valid = not isinstance(event, h11.Response) or (
                    event.status_code in FINAL_STATUSES
                )
            if not is_valid:
                raise errors.ProtocolError(
                    f"invalid status {event.status_code}", step="read head", peer=self.peer
                )
            if not isinstance(event, h11.InformationalResponse):
                return event
        raise errors.ProtocolError(
            "too many informational responses", step="read head", peer=self.peer
        )

    def _resume_unless_more_is_unread(self) -> None:
        """Resumes reading behind a message, so that the peer's close is seen while it is served."""
        self._count_unread()
        if self._unread.held <= READ_HIGH_WATER_BYTES:
            self._resume_reading()

    def _count_unread(self) -> None:
        if not self.lost:
            self._unread.set(len(self.h11.trailing_data[0]))

    async def _wait_readable(self, timeout_s: float) -> None:
        self._events_in_a_row = 0
        self._awaits_data = True
        self._count_unread()
        self._resume_reading()
        loop = asyncio.get_running_loop()
        waiter = self._read_waiter = loop.create_future()
        # A timer and a plain future cost half as much as asyncio.timeout on this hot path.
        timer = loop.call_later(timeout_s, _expire, waiter, "peer sent no data in time", "read")
        try:
            await waiter
        except errors.ExchangeTimeoutError as error:
            error.peer = self.peer
            raise
        finally:
            timer.cancel()
            self._read_waiter = None

    async def send(self, *events: h11.Event, timeout: datetime.timedelta | None = None) -> None:
        """Sends events in one write, and waits while the peer reads too slowly.

        Args:
            events: Events of h11.
            timeout: Maximum time to wait for the peer, None for no maximum.

        Raises:
            errors.ExchangeTimeoutError: The peer has not read enough within the timeout.
            errors.ConnectionLostError: The connection has ended.
            errors.ProtocolError: The events are not allowed in the connection's state.
        """
        if self.lost:
            raise errors.ConnectionLostError("connection ended", peer=self.peer)
        try:
            data = b"".join(self.h11.send(event) or b"" for event in events)
        except h11.LocalProtocolError as error:
            raise errors.ProtocolError(str(error), step="send", peer=self.peer) from error
        self.bytes_written += len(data)
        total_traffic.written += len(data)
        self.transport.write(data)
        if self._write_paused:
            await self._wait_writable(timeout)

    async def _wait_writable(self, timeout: datetime.timedelta | None) -> None:
        loop = asyncio.get_running_loop()
        ends_at = loop.time() + timeout.total_seconds() if timeout is not None else None
        while self._write_paused and not self.lost:
            waiter = self._write_waiter = loop.create_future()
            timer = None
            if ends_at is not None:
                message = "peer did not read in time"
                timer = loop.call_at(ends_at, _expire, waiter, message, "send")
            try:
                await waiter
            except errors.ExchangeTimeoutError as error:
                error.peer = self.peer
                raise
            finally:
                if timer is not None:
                    timer.cancel()

    def close(self) -> None:
        """Closes the connection once buffered data has been sent."""
        if self._transport:
            self._transport.close()

    def abort(self) -> None:
        """Closes the connection immediately, so that a partial message cannot look complete.

        A server resets it: a message without a length ends with an orderly close. A client resets
        it during an exchange: otherwise the kernel would go on sending a request that was given up,
        and the peer might run it much later.
        """
        if not self._transport:
            return
        sock = self._transport.get_extra_info("socket")
        if sock is not None and (self.h11.our_role is h11.SERVER or self._is_in_exchange()):
            with contextlib.suppress(OSError):  # the peer may have closed it already
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
        self._transport.abort()

    def _is_in_exchange(self) -> bool:
        """Returns whether a client has begun a request and has not read the whole response."""
        return self.h11.our_state is not h11.IDLE and self.h11.their_state in (
            h11.IDLE,
            h11.SEND_RESPONSE,
            h11.SEND_BODY,
            h11.ERROR,
        )


def _expire(waiter: asyncio.Future[None], message: str, step: str) -> None:
    if not waiter.done():
        waiter.set_exception(errors.ExchangeTimeoutError(message, step=step))


@contextlib.asynccontextmanager
async def time_limit(
    limit: datetime.timedelta, *, step: str, peer: str
) -> collections.abc.AsyncIterator[None]:
    """Limits the time of a whole step of an exchange.

    A limit of each wait would end nothing while data is always at hand.

    Raises:
        errors.ExchangeTimeoutError: The step took too long.
    """
    try:
        async with asyncio.timeout(limit.total_seconds()):
            yield
    except TimeoutError as error:
        raise errors.ExchangeTimeoutError(
            "it was not complete by the deadline", step=step, peer=peer
        ) from error


def header(headers: collections.abc.Iterable[tuple[bytes, bytes]], name: bytes) -> str | None:
    """Returns the first value of a header, or None.

    Args:
        headers: Pairs of lower-case name and value, as h11 returns them.
        name: Lower-case name.
    """
    for key, value in headers:
        if key == name:
            return value.decode("latin-1")
    return None
