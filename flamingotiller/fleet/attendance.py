"""Presence of gateways at the leader: who is there, and where."""

from __future__ import annotations

import collections.abc
import dataclasses
import datetime

from flamingotiller import clock

# Several polls of a gateway, and well within the time after which look-ups must not name it.
PRESENCE = clock.seconds(2)
# A silent gateway may still be sending for this long.
ABSENCE = clock.seconds(4)


@dataclasses.dataclass(frozen=True)
class Gateway:
    """A gateway as look-ups see it.

    Attributes:
        name: Name of the instance.
        address: Where callers connect, ``IP:port``.
        zone: Its availability zone.
        region: Its region.
        ready: Whether it takes new callers.
    """

    name: str
    address: str
    zone: str
    region: str
    ready: bool


@dataclasses.dataclass(frozen=True)
class Place:
    """A gateway's place among those present.

    Attributes:
        position: From 0, in the order of names.
        count: Number of gateways that may be sending, lately silent ones included.
    """

    position: int
    count: int


class Attendance:
    """Gateways known to the leader.

    Args:
        known: Gateways that an earlier leader knew.
        now: Monotonic time.
    """

    def __init__(self, known: collections.abc.Iterable[Gateway], now: datetime.timedelta) -> None:
        self._gateway_by_name = {gateway.name: gateway for gateway in known}
        self._heard_by_name = dict.fromkeys(self._gateway_by_name, now)

    def hear(self, gateway: Gateway, now: datetime.timedelta) -> None:
        """Notes that a gateway is there."""
        self._gateway_by_name[gateway.name] = gateway
        self._heard_by_name[gateway.name] = now
        self._forget(now)

    def _forget(self, now: datetime.timedelta) -> None:
        gone = [n for n, heard in self._heard_by_name.items() if now - heard > ABSENCE]
        for name in gone:
            del self._heard_by_name[name]
            del self._gateway_by_name[name]

    def present(self, now: datetime.timedelta) -> list[Gateway]:
        """Returns the gateways that look-ups may name, in the order of names."""
        return [
            gateway
            for name, gateway in sorted(self._gateway_by_name.items())
            if gateway.ready and now - self._heard_by_name[name] <= PRESENCE
        ]

    def place(self, name: str) -> Place:
        """Returns a gateway's place among all that may be sending."""
        names = sorted(self._gateway_by_name)
        return Place(names.index(name), len(names))
