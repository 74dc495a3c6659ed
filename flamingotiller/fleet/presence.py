"""Presence of gateways at stewards, and at the leader: who is there, and where."""

from __future__ import annotations

import collections.abc
import dataclasses
import datetime
import hashlib
import typing

from flamingotiller import clock

# Several polls of a gateway, and well within the time after which look-ups must not name it.
LISTED_FOR = clock.seconds(3)
# A silent gateway may still be sending for this long.
COUNTED_FOR = clock.seconds(5)


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


@dataclasses.dataclass(frozen=True)
class Roll:
    """Who is there, as the leader tells the other stewards.

    Attributes:
        version: Digest of the content.
        present: Gateways that look-ups may name, in the order of names.
        known: All that may be sending, lately silent ones included, in the order of names.
    """

    version: str
    present: tuple[Gateway, ...]
    known: tuple[Gateway, ...]

    def place(self, name: str) -> Place:
        """Returns a gateway's place; among none while it is not known yet."""
        names = [gateway.name for gateway in self.known]
        return Place(names.index(name), len(names)) if name in names else Place(0, 0)

    def to_wire(self) -> dict[str, typing.Any]:
        """Returns the JSON form."""
        return dataclasses.asdict(self)

    @classmethod
    def from_wire(cls, document: dict[str, typing.Any]) -> Roll:
        """Builds a roll from its JSON form."""
        return cls(
            document["version"],
            tuple(Gateway(**gateway) for gateway in document["present"]),
            tuple(Gateway(**gateway) for gateway in document["known"]),
        )


EMPTY = Roll("", (), ())


class GatewayPresence:
    """Gateways known to the leader, or to a steward that they poll.

    Args:
        known: Gateways that an earlier leader knew.
        now: Monotonic time.
    """

    def __init__(self, known: collections.abc.Iterable[Gateway], now: datetime.timedelta) -> None:
        self._gateway_by_name = {gateway.name: gateway for gateway in known}
        self._seen_at_by_name = dict.fromkeys(self._gateway_by_name, now)
        self._roll = EMPTY

    def record(self, gateway: Gateway, at: datetime.timedelta) -> None:
        """Notes that a gateway was there; what was heard later through another steward counts."""
        if at >= self._seen_at_by_name.get(gateway.name, at):
            self._gateway_by_name[gateway.name] = gateway
            self._seen_at_by_name[gateway.name] = at

    def _forget(self, now: datetime.timedelta) -> None:
        gone = [n for n, heard in self._seen_at_by_name.items() if now - heard > COUNTED_FOR]
        for name in gone:
            del self._seen_at_by_name[name]
            del self._gateway_by_name[name]

    def silences(self, now: datetime.timedelta) -> list[tuple[Gateway, datetime.timedelta]]:
        """Returns the gateways and for how long each has been silent."""
        self._forget(now)
        return [
            (gateway, now - self._seen_at_by_name[name])
            for name, gateway in self._gateway_by_name.items()
        ]

    def roll(self, now: datetime.timedelta) -> Roll:
        """Returns who is there; its version is that of the last one if nothing has changed."""
        self._forget(now)
        known = tuple(gateway for _, gateway in sorted(self._gateway_by_name.items()))
        present = tuple(
            g for g in known if g.ready and now - self._seen_at_by_name[g.name] <= LISTED_FOR
        )
        if (present, known) != (self._roll.present, self._roll.known):
            content = repr((present, known)).encode()
            self._roll = Roll(hashlib.blake2b(content, digest_size=8).hexdigest(), present, known)
        return self._roll
