"""Which gateways are present, as known to the steward that they poll and to the leader.

Look-ups list the gateways that are present and ready. Gateways divide what cold endpoints may get
among all gateways that may be sending requests, those that fell silent only recently included.
"""

from __future__ import annotations

import collections.abc
import dataclasses
import datetime
import hashlib
import typing

from flamingotiller import clock
from flamingotiller.fleet import shares

# How long look-ups list a gateway after its last poll: several poll intervals, and well within the
# time after which they must not name it.
LISTED_FOR = clock.seconds(3)
# How long a gateway counts after its last poll, because it may still be sending requests.
COUNTED_FOR = clock.seconds(5)
# Gateways that one gateway is told of, to relay requests to.
MAX_RELAYS = 8


@dataclasses.dataclass(frozen=True)
class Gateway:
    """A gateway as look-ups list it.

    Attributes:
        name: Name of the instance.
        address: Address for callers, ``IP:port``.
        zone: Its availability zone.
        region: Its region.
        ready: Whether it accepts new callers.
        has_path: Whether it reaches any endpoint; without one it relays requests to other gateways.
    """

    name: str
    address: str
    zone: str
    region: str
    ready: bool
    has_path: bool = True

    def to_wire(self) -> dict[str, typing.Any]:
        """Returns the JSON form. Builds that do not know ``has_path`` get it only while it is
        False."""
        document = dataclasses.asdict(self)
        if self.has_path:
            del document["has_path"]
        return document


@dataclasses.dataclass(frozen=True)
class Place:
    """A gateway's position among all that may be sending requests.

    Attributes:
        position: Index in the order of names, from 0.
        count: Number of gateways that may be sending; 0 if this one is not known yet.
    """

    position: int
    count: int


@dataclasses.dataclass(frozen=True)
class GatewayList:
    """List of gateways that the leader sends to the other stewards.

    Attributes:
        version: Digest of the content.
        present: Gateways that look-ups may list, in the order of names.
        known: Gateways that may be sending, recently silent ones included, in the order of names.
    """

    version: str
    present: tuple[Gateway, ...]
    known: tuple[Gateway, ...]

    def place(self, name: str) -> Place:
        """Returns a gateway's place; its count is 0 while the gateway is not known."""
        names = [gateway.name for gateway in self.known]
        return Place(names.index(name), len(names)) if name in names else Place(0, 0)

    def to_wire(self) -> dict[str, typing.Any]:
        """Returns the JSON form."""
        return {
            "version": self.version,
            "present": [gateway.to_wire() for gateway in self.present],
            "known": [gateway.to_wire() for gateway in self.known],
        }

    def relays(self, name: str, region: str) -> list[tuple[str, str]]:
        """Returns addresses and regions of gateways that can serve the callers of another one.

        Different gateways get different ones, about half of them in their own region.

        Args:
            name: The gateway that asks.
            region: Its region.
        """
        others = [g for g in self.present if g.name != name and g.has_path]
        others.sort(key=lambda g: shares.unit_hash(name, g.name))
        near = [g for g in others if g.region == region][: MAX_RELAYS // 2]
        far = [g for g in others if g.region != region][: MAX_RELAYS - len(near)]
        return [(g.address, g.region) for g in (*near, *far)]

    @classmethod
    def from_wire(cls, document: dict[str, typing.Any]) -> GatewayList:
        """Builds a list from its JSON form."""
        return cls(
            document["version"],
            tuple(Gateway(**gateway) for gateway in document["present"]),
            tuple(Gateway(**gateway) for gateway in document["known"]),
        )


EMPTY_GATEWAY_LIST = GatewayList("", (), ())


class GatewayPresence:
    """Tracks the gateways that poll a steward; the leader also tracks those of other stewards.

    Args:
        known: Gateways known to an earlier leader; they count as polled at ``now``.
        now: Monotonic time.
    """

    def __init__(self, known: collections.abc.Iterable[Gateway], now: datetime.timedelta) -> None:
        self._gateway_by_name = {gateway.name: gateway for gateway in known}
        self._polled_at_by_name = dict.fromkeys(self._gateway_by_name, now)
        self._gateway_list = EMPTY_GATEWAY_LIST

    def record(self, gateway: Gateway, at: datetime.timedelta) -> None:
        """Records a poll of a gateway, unless a later one arrived through another steward."""
        if at >= self._polled_at_by_name.get(gateway.name, at):
            self._gateway_by_name[gateway.name] = gateway
            self._polled_at_by_name[gateway.name] = at

    def _drop_expired(self, now: datetime.timedelta) -> None:
        expired = [n for n, at in self._polled_at_by_name.items() if now - at > COUNTED_FOR]
        for name in expired:
            del self._polled_at_by_name[name]
            del self._gateway_by_name[name]

    def silences(self, now: datetime.timedelta) -> list[tuple[Gateway, datetime.timedelta]]:
        """Returns the gateways, each with the time since its last poll."""
        self._drop_expired(now)
        return [
            (gateway, now - self._polled_at_by_name[name])
            for name, gateway in self._gateway_by_name.items()
        ]

    def gateway_list(self, now: datetime.timedelta) -> GatewayList:
        """Returns the current list; the last one itself if nothing has changed."""
        self._drop_expired(now)
        known = tuple(gateway for _, gateway in sorted(self._gateway_by_name.items()))
        present = tuple(
            g for g in known if g.ready and now - self._polled_at_by_name[g.name] <= LISTED_FOR
        )
        if (present, known) != (self._gateway_list.present, self._gateway_list.known):
            content = repr((present, known)).encode()
            self._gateway_list = GatewayList(
                hashlib.blake2b(content, digest_size=8).hexdigest(), present, known
            )
        return self._gateway_list
