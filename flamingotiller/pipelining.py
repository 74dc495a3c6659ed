"""Finds requests that a caller has sent behind the one that is being served.

HTTP/1.1 answers requests of a connection in their order, but nothing keeps a server from working on
several at once. h11 gives out the next request only once the response to the current one has been
sent, so a second parser reads the same bytes ahead of it."""

from __future__ import annotations

import collections
import collections.abc
import dataclasses
import typing

import h11

from flamingotiller import wire

# Requests of one connection that are begun before their turn.
MAX_AHEAD = 8

Ticket = typing.TypeVar("Ticket")


@dataclasses.dataclass(frozen=True)
class Found(typing.Generic[Ticket]):
    """A request that was begun before its turn.

    Attributes:
        head: Its head.
        ticket: What ``begin`` returned for it.
        length: Number of its bytes on the connection.
    """

    head: h11.Request
    ticket: Ticket
    length: int


class Lookahead(typing.Generic[Ticket]):
    """Parses the unread bytes of one connection.

    Args:
        begin: Called with the head of each request without a body, in their order; returns a ticket
            for the request, or None if it has to wait for its turn.
    """

    def __init__(self, begin: collections.abc.Callable[[h11.Request], Ticket | None]) -> None:
        self._begin = begin
        self.found: collections.deque[Found[Ticket]] = collections.deque()
        self.reset()

    def reset(self) -> None:
        """Starts over at the first unread byte, after a request that was not found ahead."""
        self.found.clear()
        self._parser = h11.Connection(h11.SERVER, max_incomplete_event_size=wire.MAX_HEAD_BYTES)
        self._fed = 0
        self._blocked = False

    def pop(self) -> Found[Ticket] | None:
        """Returns the next request of the connection if it was begun, and forgets its bytes."""
        if not self.found:
            return None
        found = self.found.popleft()
        self._fed -= found.length
        return found

    def look(self, unread: bytes) -> None:
        """Begins the requests in the unread bytes, up to one that has to wait for its turn.

        Args:
            unread: All bytes behind the request that is being served.
        """
        if self._blocked or len(unread) <= self._fed:
            return
        self._parser.receive_data(unread[self._fed :])
        self._fed = len(unread)
        try:
            while not self._blocked and self._next():
                pass
        except h11.ProtocolError:
            # The connection's own parser reports the fault when its turn comes.
            self._blocked = True

    def _next(self) -> bool:
        """Begins one request; returns whether there may be another."""
        before = len(self._parser.trailing_data[0])
        head = self._parser.next_event()
        if not isinstance(head, h11.Request):
            return False
        if not isinstance(self._parser.next_event(), h11.EndOfMessage):
            self._blocked = True
            return False
        ticket = self._begin(head) if len(self.found) < MAX_AHEAD else None
        if ticket is None:
            self._blocked = True
            return False
        length = before - len(self._parser.trailing_data[0])
        self.found.append(Found(head, ticket, length))
        # The parser gives out the next request only after a response.
        self._parser.send(h11.Response(status_code=204, headers=[]))
        self._parser.send(h11.EndOfMessage())
        self._parser.start_next_cycle()
        return True
