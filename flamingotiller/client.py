"""HTTP client: a connection pool, and JSON requests between the system's own processes.

A connection is reused only if its last exchange completed cleanly; otherwise it is closed."""

from __future__ import annotations

import asyncio
import collections
import dataclasses
import datetime
import math
import typing

import h11
import orjson

from flamingotiller import clock, compression, errors, wire

CONNECT_TIMEOUT = clock.seconds(1)
# Holds all items of the longest configuration that an operator may send.
MAX_RESPONSE_BYTES = 128 * 1024 * 1024
# Holds the response to a call that brings a decision rather than state.
SHORT_RESPONSE_BYTES = 256 * 1024
MAX_IDLE_PER_PEER = 32
# Connections are not reused this close to the peer's idle timeout, so that a request does not cross
# the peer's close. The margin covers the one-way delay and a late timer.
IDLE_TIMEOUT_MARGIN = clock.seconds(0.5)
# How long a connection may be used that was opened ahead of a request: the peer has not said yet
# when it closes idle connections.
UNUSED_LIFETIME = clock.seconds(1)


@dataclasses.dataclass(frozen=True)
class Response:
    """A complete HTTP response.

    Attributes:
        status: HTTP status.
        headers: Pairs of lower-case name and value.
        body: The body.
    """

    status: int
    headers: list[tuple[bytes, bytes]]
    body: bytes

    def json(self) -> typing.Any:
        """Returns the body decoded as JSON.

        Raises:
            errors.ProtocolError: The body is not JSON.
        """
        try:
            return orjson.loads(self.body)
        except orjson.JSONDecodeError as error:
            raise errors.ProtocolError(f"response is not JSON: {error}", step="decode") from error


class ConnectionPool:
    """A pool of persistent connections, by peer.

    Args:
        connect_timeout: Timeout for opening a connection.

    Attributes:
        bytes_out: Bytes sent in exchanges whose connection was released to the pool.
        bytes_in: Bytes received in the same exchanges.
    """

    def __init__(self, connect_timeout: datetime.timedelta = CONNECT_TIMEOUT) -> None:
        self._connect_timeout = connect_timeout
        self._idle_by_peer: dict[str, collections.deque[wire.Connection]] = {}
        self._count_by_peer: collections.Counter[str] = collections.Counter()
        self.bytes_out = 0
        self.bytes_in = 0

    def count(self, peer: str) -> int:
        """Returns the number of open connections to ``peer``."""
        return self._count_by_peer[peer]

    async def acquire(self, peer: str) -> tuple[wire.Connection, bool]:
        """Returns a connection to ``peer`` and whether it is reused.

        Raises:
            errors.ConnectError: No connection could be opened in time.
        """
        idle = self._idle_by_peer.get(peer)
        now = asyncio.get_running_loop().time()
        while idle:
            connection = idle.pop()
            connection.idle = False
            # Bytes received while idle belong to no request, so the connection is out of step.
            if not connection.lost and not connection.bytes_read and now < connection.idle_until:
                return connection, True
            self.discard(peer, connection)
        return await self._connect(peer), False

    async def add_idle(self, peer: str, max_idle: int = MAX_IDLE_PER_PEER) -> None:
        """Opens one more connection to ``peer`` and keeps it for the next request.

        Raises:
            errors.ConnectError: No connection could be opened in time.
        """
        connection = await self._connect(peer)
        idle = self._idle_by_peer.setdefault(peer, collections.deque())
        if len(idle) >= max_idle:
            self.discard(peer, connection)
            return
        connection.idle = True
        now = asyncio.get_running_loop().time()
        connection.idle_until = now + UNUSED_LIFETIME.total_seconds()
        idle.append(connection)

    async def _connect(self, peer: str) -> wire.Connection:
        host, _, port = peer.rpartition(":")
        loop = asyncio.get_running_loop()
        self._count_by_peer[peer] += 1
        try:
            async with asyncio.timeout(self._connect_timeout.total_seconds()):
                _, connection = await loop.create_connection(
                    lambda: wire.Connection(h11.CLIENT), host, int(port)
                )
        except (OSError, ValueError, OverflowError, TimeoutError) as error:
            self._decrement_count(peer)
            raise errors.ConnectError(f"cannot connect: {error!r}", peer=peer) from error
        except asyncio.CancelledError:
            self._decrement_count(peer)
            raise
        return connection

    def _decrement_count(self, peer: str) -> None:
        self._count_by_peer[peer] -= 1
        if not self._count_by_peer[peer]:
            del self._count_by_peer[peer]

    def release(
        self,
        peer: str,
        connection: wire.Connection,
        max_idle: int = MAX_IDLE_PER_PEER,
        idle_timeout: datetime.timedelta | None = None,
    ) -> None:
        """Returns a connection to the pool; closes it if its exchange did not end cleanly.

        Args:
            peer: Address of the peer.
            connection: A connection returned by ``acquire``.
            max_idle: Maximum number of idle connections to the peer.
            idle_timeout: Time after which the peer closes an idle connection, None if not known.
        """
        if idle_timeout is not None:
            reusable_s = max(clock.ZERO, idle_timeout - IDLE_TIMEOUT_MARGIN).total_seconds()
            connection.idle_until = asyncio.get_running_loop().time() + reusable_s
        self.bytes_out += connection.bytes_written
        self.bytes_in += connection.bytes_read
        connection.bytes_written = connection.bytes_read = 0
        idle = self._idle_by_peer.setdefault(peer, collections.deque())
        reusable = (
            not connection.lost
            and connection.h11.our_state is h11.DONE
            and connection.h11.their_state is h11.DONE
            and not connection.h11.trailing_data[0]
            and len(idle) < max_idle
        )
        if not reusable:
            self.discard(peer, connection)
            return
        connection.h11.start_next_cycle()
        connection.idle = True
        idle.append(connection)

    def put_back(self, peer: str, connection: wire.Connection) -> None:
        """Returns a connection on which nothing was sent since it was acquired."""
        idle = self._idle_by_peer.setdefault(peer, collections.deque())
        if connection.lost or connection.bytes_read or len(idle) >= MAX_IDLE_PER_PEER:
            self.discard(peer, connection)
            return
        if math.isinf(connection.idle_until):
            now = asyncio.get_running_loop().time()
            connection.idle_until = now + UNUSED_LIFETIME.total_seconds()
        connection.idle = True
        idle.append(connection)

    def discard(self, peer: str, connection: wire.Connection) -> None:
        """Aborts a connection, which makes the peer cancel the request in progress."""
        connection.abort()
        self._decrement_count(peer)

    def forget(self, peer: str) -> None:
        """Closes the idle connections to a peer that is no longer used."""
        for connection in self._idle_by_peer.pop(peer, ()):
            self.discard(peer, connection)

    async def close(self) -> None:
        """Closes every idle connection."""
        for peer in list(self._idle_by_peer):
            self.forget(peer)


class Client:
    """Sends requests to the system's own processes and reads complete responses.

    Args:
        pool: Connection pool to use.
        token: Bearer token sent with each request, or None.

    Attributes:
        traffic_by_target: Bytes of completed exchanges, by path.
    """

    def __init__(self, pool: ConnectionPool, token: str | None = None) -> None:
        self.pool = pool
        self.traffic_by_target: dict[str, wire.Traffic] = {}
        self._token = token
        # Peers that have said that they understand compressed bodies.
        self._compressing_peers: set[str] = set()

    async def call(
        self,
        peer: str,
        method: str,
        target: str,
        body: typing.Any = None,
        *,
        timeout: datetime.timedelta,
        headers: typing.Sequence[tuple[str, str]] = (),
        raw: bool = False,
        max_bytes: int = MAX_RESPONSE_BYTES,
    ) -> Response:
        """Sends a request and reads the complete response.

        Args:
            peer: ``host:port`` of the process.
            method: HTTP method.
            target: Path and query.
            body: Value to send as JSON, or bytes when ``raw``; None for no body.
            timeout: Timeout for the whole exchange.
            headers: Additional headers.
            raw: Whether ``body`` is bytes to be sent unchanged.
            max_bytes: Longest body of the response, also once it is decompressed.

        Raises:
            errors.TransportError: The exchange failed; ``sent`` is False if no byte was sent.
        """
        data = b"" if body is None else body if raw else orjson.dumps(body)
        compressed = (
            compression.compress(data) if not raw and peer in self._compressing_peers else None
        )
        fields = self._headers(peer, compressed or data, headers)
        if compressed is not None:
            data = compressed
            fields.append(compression.CONTENT_HEADER)
        head = h11.Request(method=method, target=target, headers=fields)
        try:
            async with asyncio.timeout(timeout.total_seconds()):
                response = await self._exchange(peer, head, data, timeout, max_bytes)
        except TimeoutError as error:
            raise errors.ExchangeTimeoutError(
                "no response in time", step=f"{method} {target}", peer=peer
            ) from error
        if compression.is_accepted(response.headers):
            self._compressing_peers.add(peer)
        else:
            # Another build may run at the address now.
            self._compressing_peers.discard(peer)
        plain = compression.decompress(response.body, response.headers, max_bytes)
        return dataclasses.replace(response, body=plain)

    def _headers(self, peer: str, data: bytes, extra) -> list[typing.Any]:
        headers: list[typing.Any] = [
            ("host", peer),
            ("content-length", str(len(data))),
            compression.ACCEPT_HEADER,
            *extra,
        ]
        if self._token is not None:
            headers.append(("authorization", f"Bearer {self._token}"))
        return headers

    async def _exchange(
        self,
        peer: str,
        head: h11.Request,
        data: bytes,
        timeout: datetime.timedelta,
        max_bytes: int,
    ) -> Response:
        while True:
            connection, reused = await self.pool.acquire(peer)
            try:
                response = await self._exchange_on(connection, head, data, timeout, max_bytes)
                self._count_traffic(head, connection)
            except errors.ConnectionLostError:
                self.pool.discard(peer, connection)
                # The peer may have closed a reused connection while it was idle. Retrying is safe
                # because calls between the system's processes are idempotent.
                if reused:
                    continue
                raise
            except BaseException:
                self.pool.discard(peer, connection)
                raise
            self.pool.release(peer, connection)
            return response

    def _count_traffic(self, head: h11.Request, connection: wire.Connection) -> None:
        path = head.target.partition(b"?")[0].decode("ascii")
        traffic = self.traffic_by_target.setdefault(path, wire.Traffic())
        traffic.written += connection.bytes_written
        traffic.read += connection.bytes_read

    async def _exchange_on(self, connection, head, data, timeout, max_bytes) -> Response:
        await connection.send(head, *([h11.Data(data=data)] if data else []), h11.EndOfMessage())
        head_event = await connection.next_response(lambda: timeout)
        if not isinstance(head_event, h11.Response):
            raise errors.ConnectionLostError("no response", peer=connection.peer)
        body = bytearray()
        while True:
            event = await connection.next_event(timeout)
            if isinstance(event, h11.EndOfMessage):
                return Response(head_event.status_code, list(head_event.headers), bytes(body))
            body += event.data
            if len(body) > max_bytes:
                raise errors.ProtocolError("response is too large", peer=connection.peer)


def raise_for_status(response: Response, *, step: str, peer: str) -> typing.Any:
    """Returns the JSON body of a successful response.

    Raises:
        errors.FlamingotillerError: The response is an error; the type depends on its status.
    """
    document = response.json()
    if response.status < 300:
        return document
    message = document.get("message", f"status {response.status}")
    if response.status == 409:
        raise errors.ConflictError(message, winner=document.get("winner", ""), step=step, peer=peer)
    if response.status == 421:
        raise errors.NotLeaderError(
            message, leader=document.get("leader", ""), step=step, peer=peer
        )
    if response.status == 400:
        raise errors.InvalidInputError(
            message, faults=document.get("faults", ()), step=step, peer=peer
        )
    if response.status in (401, 403):
        raise errors.UnauthenticatedError(message, step=step, peer=peer)
    if response.status == 404:
        raise errors.NotFoundError(message, step=step, peer=peer)
    raise errors.UnavailableError(message, step=step, peer=peer)
