"""Leases within a zone: each shard of the zone's work belongs to at most one instance at a time.

An instance holds a shard while a majority of the zone's seats granted it, counted on its own
monotonic clock from before it asked. A voter that has restarted grants nothing until every lease
that it may have forgotten has run out. Nothing is stored and control is not needed, so a zone
that is cut off goes on. Ways weighed: docs/design/zone-leases.md."""

from __future__ import annotations

import dataclasses
import datetime
import functools
import hashlib
import random
import typing

SHARD_COUNT = 8
NUMBER_BITS = 52
# Allowance for clocks that run at slightly different speeds.
DRIFT_FRACTION = 0.02


@dataclasses.dataclass(frozen=True)
class Grant:
    """A voter's promise.

    Attributes:
        holder: Instance that it is for.
        epoch: Epoch of that instance.
        until: Voter's monotonic time up to which no other instance is granted the shard.
    """

    holder: str
    epoch: int
    until: datetime.timedelta


class Voter:
    """Grants shards on behalf of one seat.

    Args:
        started: Monotonic time at which this process started.
        duration: Length of leases.
    """

    def __init__(self, started: datetime.timedelta, duration: datetime.timedelta) -> None:
        self._duration = duration
        self._silent_until = started + duration
        self._grant_by_shard: dict[int, Grant] = {}

    def grant(
        self, shards: typing.Iterable[int], holder: str, epoch: int, now: datetime.timedelta
    ) -> list[int]:
        """Grants those of the shards that no other instance may hold.

        Args:
            shards: Shards asked for.
            holder: Instance that asks.
            epoch: Its epoch; a lower one than granted before is refused.
            now: Monotonic time.
        """
        if now < self._silent_until:
            return []
        return [shard for shard in shards if self._grant_shard(shard, holder, epoch, now)]

    def _grant_shard(self, shard: int, holder: str, epoch: int, now: datetime.timedelta) -> bool:
        held = self._grant_by_shard.get(shard)
        if held and now < held.until and (held.holder, held.epoch) != (holder, epoch):
            return False
        self._grant_by_shard[shard] = Grant(holder, epoch, now + self._duration)
        return True

    def holder_of(self, shard: int, now: datetime.timedelta) -> str | None:
        """Returns the instance that this voter's grant is for, None when it has run out."""
        held = self._grant_by_shard.get(shard)
        return held.holder if held and now < held.until else None

    def expired_holder(self, shard: int, now: datetime.timedelta) -> str | None:
        """Returns the instance whose grant ran out without being given up, None if none."""
        held = self._grant_by_shard.get(shard)
        return held.holder if held and now >= held.until else None

    def release(self, shards: typing.Iterable[int], holder: str, epoch: int) -> None:
        """Takes back grants that their holder gives up."""
        for shard in shards:
            held = self._grant_by_shard.get(shard)
            if held and (held.holder, held.epoch) == (holder, epoch):
                del self._grant_by_shard[shard]


class Holder:
    """Collects grants for one instance.

    Args:
        instance: Name of the instance, which is its seat.
        duration: Length of leases.
    """

    def __init__(self, instance: str, duration: datetime.timedelta) -> None:
        self._instance = instance
        self._usable = duration * (1 - DRIFT_FRACTION)
        self._granted_at: dict[int, dict[str, datetime.timedelta]] = {}
        self._until_by_shard: dict[int, tuple[typing.Sequence[str], datetime.timedelta | None]] = {}

    def record_grants(
        self, voter: str, shards: typing.Iterable[int], sent: datetime.timedelta
    ) -> None:
        """Notes a voter's answer.

        Args:
            voter: Seat of the voter.
            shards: Shards that it granted.
            sent: When this instance sent the request, on its own clock.
        """
        for shard in shards:
            self._granted_at.setdefault(shard, {})[voter] = sent
            self._until_by_shard.pop(shard, None)

    def valid_until(self, shard: int, seats: typing.Sequence[str]) -> datetime.timedelta | None:
        """Returns the end of the lease on a shard, None when no majority granted it."""
        granted = self._granted_at.get(shard, {})
        times = sorted((granted[seat] for seat in seats if seat in granted), reverse=True)
        majority = len(seats) // 2 + 1
        return times[majority - 1] + self._usable if len(times) >= majority else None

    def holds(self, shard: int, seats: typing.Sequence[str], now: datetime.timedelta) -> bool:
        """Returns whether this instance holds a shard now."""
        # Asked several times for each request, while grants change once a second.
        known = self._until_by_shard.get(shard)
        if known is None or known[0] != seats:
            known = (seats, self.valid_until(shard, seats))
            self._until_by_shard[shard] = known
        until = known[1]
        return until is not None and now < until

    def release(self, shard: int) -> None:
        """Gives a shard up; it is not held any more from now on."""
        self._granted_at.pop(shard, None)
        self._until_by_shard.pop(shard, None)


@functools.lru_cache(maxsize=65536)
def shard_of(kind: str, name: str) -> int:
    """Returns the shard that a subject belongs to.

    Args:
        kind: ``organisation`` or ``service``.
        name: Its name.
    """
    return _digest(f"{kind}/{name}") % SHARD_COUNT


def first_number(rng: random.Random) -> int:
    """Returns where a holder begins to number what it gives out.

    Numbers of different holders lie far apart, so that a late word on something that the holder
    before gave out is not taken for a word on something else.

    Args:
        rng: Source of the number.
    """
    return rng.getrandbits(NUMBER_BITS)


def preferred_holder(shard: int, instances: typing.Sequence[str]) -> str:
    """Returns the instance that should hold a shard, by rendezvous hashing."""
    return max(instances, key=lambda name: _digest(f"{shard}/{name}"))


def rendezvous_weight(subject: str, instance: str) -> int:
    """Returns the rendezvous weight of an instance for a subject."""
    return _digest(f"{subject}/{instance}")


def _digest(text: str) -> int:
    return int.from_bytes(hashlib.blake2b(text.encode(), digest_size=8).digest(), "big")
