"""Leases on the shards of a zone's work; at most one instance holds a shard at a time.

An instance holds a shard while it has grants of a majority of the zone's voters. It counts the
duration of a grant on its own monotonic clock from before it sent the request. A voter grants
nothing after a restart until every lease that it may have granted before has expired. Leases need
neither storage nor the control instances, so a zone that is cut off keeps working. Alternatives
are compared in docs/design/zone-leases.md."""

from __future__ import annotations

import dataclasses
import datetime
import functools
import hashlib
import random
import typing

SHARD_COUNT = 8
NUMBER_BITS = 52
# Holders shorten leases by this fraction, since clocks run at slightly different speeds.
DRIFT_FRACTION = 0.02


@dataclasses.dataclass(frozen=True)
class Grant:
    """A voter's promise to grant a shard to no other instance for some time.

    Attributes:
        holder: Instance that the shard is granted to.
        epoch: Epoch of that instance.
        until: End of the grant, on the voter's monotonic clock.
    """

    holder: str
    epoch: int
    until: datetime.timedelta


class Voter:
    """Grants shards on behalf of one seat.

    Args:
        started: Monotonic time at which this process started.
        duration: Duration of leases.
    """

    def __init__(self, started: datetime.timedelta, duration: datetime.timedelta) -> None:
        self._duration = duration
        self._no_grants_until = started + duration
        self._grant_by_shard: dict[int, Grant] = {}

    def grant(
        self, shards: typing.Iterable[int], holder: str, epoch: int, now: datetime.timedelta
    ) -> list[int]:
        """Grants those of the shards that are not granted to another instance or epoch.

        Args:
            shards: Requested shards.
            holder: Requesting instance.
            epoch: Epoch of the requesting instance.
            now: Monotonic time.

        Returns:
            The granted shards.
        """
        if now < self._no_grants_until:
            return []
        return [shard for shard in shards if self._grant_shard(shard, holder, epoch, now)]

    def _grant_shard(self, shard: int, holder: str, epoch: int, now: datetime.timedelta) -> bool:
        held = self._grant_by_shard.get(shard)
        if held and now < held.until and (held.holder, held.epoch) != (holder, epoch):
            return False
        self._grant_by_shard[shard] = Grant(holder, epoch, now + self._duration)
        return True

    def holder_of(self, shard: int, now: datetime.timedelta) -> str | None:
        """Returns the instance that a shard is granted to, None if the grant has expired."""
        held = self._grant_by_shard.get(shard)
        return held.holder if held and now < held.until else None

    def expired_holder(self, shard: int, now: datetime.timedelta) -> str | None:
        """Returns the instance whose grant expired without being released, None if none."""
        held = self._grant_by_shard.get(shard)
        return held.holder if held and now >= held.until else None

    def release(self, shards: typing.Iterable[int], holder: str, epoch: int) -> None:
        """Removes grants that their holder releases."""
        for shard in shards:
            held = self._grant_by_shard.get(shard)
            if held and (held.holder, held.epoch) == (holder, epoch):
                del self._grant_by_shard[shard]


class Holder:
    """Collects grants for one instance.

    Args:
        instance: Name of the instance, which is also its seat.
        duration: Duration of leases.
    """

    def __init__(self, instance: str, duration: datetime.timedelta) -> None:
        self._instance = instance
        self._usable_duration = duration * (1 - DRIFT_FRACTION)
        self._granted_at: dict[int, dict[str, datetime.timedelta]] = {}
        self._until_by_shard: dict[int, tuple[typing.Sequence[str], datetime.timedelta | None]] = {}

    def record_grants(
        self, voter: str, shards: typing.Iterable[int], sent: datetime.timedelta
    ) -> None:
        """Records a voter's answer.

        Args:
            voter: Seat of the voter.
            shards: Shards that the voter granted.
            sent: When this instance sent the request, on its own clock.
        """
        for shard in shards:
            self._granted_at.setdefault(shard, {})[voter] = sent
            self._until_by_shard.pop(shard, None)

    def valid_until(self, shard: int, seats: typing.Sequence[str]) -> datetime.timedelta | None:
        """Returns when the lease on a shard ends, None if no majority of the seats granted it."""
        granted = self._granted_at.get(shard, {})
        times = sorted((granted[seat] for seat in seats if seat in granted), reverse=True)
        majority = len(seats) // 2 + 1
        return times[majority - 1] + self._usable_duration if len(times) >= majority else None

    def holds(self, shard: int, seats: typing.Sequence[str], now: datetime.timedelta) -> bool:
        """Returns whether this instance holds a shard now."""
        # The result is cached, since this is called several times per request while grants change
        # once a second.
        cached = self._until_by_shard.get(shard)
        if cached is None or cached[0] != seats:
            cached = (seats, self.valid_until(shard, seats))
            self._until_by_shard[shard] = cached
        until = cached[1]
        return until is not None and now < until

    def release(self, shard: int) -> None:
        """Releases a shard; this instance no longer holds it."""
        self._granted_at.pop(shard, None)
        self._until_by_shard.pop(shard, None)


@functools.lru_cache(maxsize=65536)
def shard_of(kind: str, name: str) -> int:
    """Returns the shard of an organisation or a service.

    Args:
        kind: ``organisation`` or ``service``.
        name: Its name.
    """
    return _digest(f"{kind}/{name}") % SHARD_COUNT


def first_number(rng: random.Random) -> int:
    """Returns a random first number for the permits or loans that a holder hands out.

    Number ranges of different holders are far apart, so that a late message about something that
    the previous holder handed out is not taken for one of the present holder's.

    Args:
        rng: Source of the number.
    """
    return rng.getrandbits(NUMBER_BITS)


def preferred_holder(shard: int, instances: typing.Sequence[str]) -> str:
    """Returns the instance that should hold a shard, chosen by rendezvous hashing."""
    return max(instances, key=lambda name: _digest(f"{shard}/{name}"))


def rendezvous_weight(subject: str, instance: str) -> int:
    """Returns the rendezvous weight of an instance for a subject."""
    return _digest(f"{subject}/{instance}")


def _digest(text: str) -> int:
    return int.from_bytes(hashlib.blake2b(text.encode(), digest_size=8).digest(), "big")
