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
# The leader tells the other stewards of gateways that are silent for longer than this. It is more
# than the usual time between two polls, with their way to the leader.
REPORTED_SILENCE = clock.seconds(1)
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


@dataclasses.dataclass(frozen=True)
class Observation:
    """What a leader knew of gateways, as a later leader takes it over.

    Attributes:
        known: Gateways that may be sending.
        silence_by_name: Time since the last poll; those left out have polled recently.
        at: Monotonic time of this process at which the silences were so long.
    """

    known: tuple[Gateway, ...] = ()
    silence_by_name: collections.abc.Mapping[str, datetime.timedelta] = dataclasses.field(
        default_factory=dict
    )
    at: datetime.timedelta = clock.ZERO

    def silence(self, name: str) -> datetime.timedelta:
        """Returns how long a gateway was silent, zero if it had polled recently."""
        return self.silence_by_name.get(name, clock.ZERO)


def least_silences(gateway_list: GatewayList) -> dict[str, datetime.timedelta]:
    """Returns how long gateways were silent at least when a list was made, as far as it shows."""
    present = {gateway.name for gateway in gateway_list.present}
    return {g.name: LISTED_FOR for g in gateway_list.known if g.ready and g.name not in present}


class GatewayPresence:
    """Tracks the gateways that poll a steward; the leader also tracks those of other stewards.

    Two times are kept for each gateway. Look-ups list it by the time of its last poll, whoever led
    then, because the time for which they may name a dead gateway counts from its death. It is
    counted as a sender by the time for which a leader could have heard it and did not.

    Args:
        earlier: What is known from an earlier leader.
        now: Monotonic time.
    """

    def __init__(self, earlier: Observation, now: datetime.timedelta) -> None:
        self._began_at = now
        self._gateway_by_name = {gateway.name: gateway for gateway in earlier.known}
        self._polled_at_by_name = {
            name: earlier.at - earlier.silence(name) for name in self._gateway_by_name
        }
        self._unheard_since_by_name = {
            name: now - earlier.silence(name) for name in self._gateway_by_name
        }
        self._gateway_list = EMPTY_GATEWAY_LIST

    def record(self, gateway: Gateway, at: datetime.timedelta) -> None:
        """Records a poll of a gateway, unless a later one arrived through another steward."""
        if at >= self._polled_at_by_name.get(gateway.name, at):
            self._gateway_by_name[gateway.name] = gateway
            self._polled_at_by_name[gateway.name] = at
            unheard_since = self._unheard_since_by_name.get(gateway.name, at)
            self._unheard_since_by_name[gateway.name] = max(at, unheard_since)

    def _drop_expired(self, now: datetime.timedelta) -> None:
        expired = [n for n, at in self._unheard_since_by_name.items() if now - at > COUNTED_FOR]
        for name in expired:
            del self._unheard_since_by_name[name]
            del self._polled_at_by_name[name]
            del self._gateway_by_name[name]

    def reported_silences(
        self, gateway_list: GatewayList, now: datetime.timedelta
    ) -> dict[str, datetime.timedelta]:
        """Returns how long gateways of a list are silent: those that are so for
        ``REPORTED_SILENCE``, and those that have not polled since this leader's term began."""
        self._drop_expired(now)
        reported = {}
        for gateway in gateway_list.known:
            polled_at = self._polled_at_by_name.get(gateway.name)
            if polled_at is None:
                reported[gateway.name] = COUNTED_FOR
            elif polled_at <= self._began_at or now - polled_at > REPORTED_SILENCE:
                reported[gateway.name] = now - polled_at
        return reported

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
