"""Shares of what an endpoint takes, for gateways that cannot ask one another.

What all gateways together may send in a window is divided among them in whole requests, by each
one's position among those that may be sending.
"""

from __future__ import annotations

import collections
import dataclasses
import datetime
import hashlib

from flamingotiller import clock

# Time in which all gateways in touch learn of a changed number of gateways.
PLACE_PROPAGATION = clock.seconds(1)
# Endpoints whose requests are counted; idle ones are forgotten once there are more.
MAX_ENDPOINTS = 4096


@dataclasses.dataclass(frozen=True)
class _Place:
    position: int
    count: int
    since: datetime.timedelta


class PositionShares:
    """One gateway's shares by its position among those that may be sending.

    A larger share counts only after all gateways have learnt of the change and what they have sent
    with their former shares has left the window. Otherwise gateways that return together add their
    new shares to the former, larger ones of the others.

    Args:
        window: Length of the window that shares are for.

    Attributes:
        count: Number of gateways that may be sending; 0 while unknown, and then none may be sent.
    """

    def __init__(self, window: datetime.timedelta) -> None:
        self._settling = window + PLACE_PROPAGATION
        self._places = collections.deque([_Place(0, 0, datetime.timedelta.min)])
        self.count = 0

    def set_place(self, position: int, count: int, now: datetime.timedelta) -> None:
        """Sets the gateway's position, from 0, and the number of gateways."""
        latest = self._places[-1]
        if (latest.position, latest.count) != (position, count):
            self._places.append(_Place(position, count, now))
        self.count = count

    def share(self, total: int, endpoint: str, now: datetime.timedelta) -> int:
        """Returns this gateway's share of the requests that all may send to an endpoint."""
        while len(self._places) > 1 and now - self._places[1].since >= self._settling:
            self._places.popleft()
        return min(share_of(total, endpoint, p.position, p.count) for p in self._places)


def share_of(total: int, endpoint: str, position: int, count: int) -> int:
    """Returns a gateway's share of the requests that all may send to an endpoint.

    The remainder goes to different gateways for different endpoints.

    Args:
        total: Requests that all gateways together may send.
        endpoint: Identifies the endpoint.
        position: Position of the gateway among those that may be sending, from 0.
        count: Number of gateways that may be sending; 0 while unknown, and then none may be sent.
    """
    if not count:
        return 0
    # All builds of a fleet have to compute the same offset, so the text that is hashed stays.
    offset = int(unit_hash("cold", endpoint) * count)
    extra = (position + offset) % count < total % count
    return total // count + extra


class SentRequests:
    """Counts one gateway's requests to each endpoint in a sliding window.

    Args:
        window: Length of the window.
    """

    def __init__(self, window: datetime.timedelta) -> None:
        self._window = window
        self._times_by_endpoint: dict[str, collections.deque[datetime.timedelta]] = {}

    def try_add(self, endpoint: str, maximum: int, now: datetime.timedelta) -> bool:
        """Returns whether a window has room for one more request, and counts it if so."""
        times = self._times_by_endpoint.setdefault(endpoint, collections.deque())
        while times and now - times[0] > self._window:
            times.popleft()
        if len(times) >= maximum:
            return False
        times.append(now)
        if len(self._times_by_endpoint) > MAX_ENDPOINTS:
            self._forget_idle(now)
        return True

    def _forget_idle(self, now: datetime.timedelta) -> None:
        self._times_by_endpoint = {
            endpoint: times
            for endpoint, times in self._times_by_endpoint.items()
            if times and now - times[-1] <= self._window
        }


def unit_hash(*parts: str) -> float:
    """Returns a hash of the parts, uniform between 0 and 1 and equal in all processes."""
    digest = hashlib.blake2b("\0".join(parts).encode(), digest_size=8).digest()
    return (int.from_bytes(digest, "big") + 1) / 2**64
