"""Gossip membership of entry instances.

Instances of a zone learn of each other by gossip. Of every other zone they know a summary with a
few addresses. This module does no input or output, and messages stay bounded as the fleet grows."""

from __future__ import annotations

import dataclasses
import datetime
import random
import typing

from flamingotiller import clock, errors

ADDRESSES_PER_ZONE = 4
# Rounds for which a digest carries the whole record of a changed member.
RECENT_CHANGE_ROUNDS = 3
# Lifetime of a tombstone, as a multiple of the member timeout.
TOMBSTONE_TIMEOUTS = 10
# A summary without changes gets a new stamp this often, so that other zones know that the zone is
# still reachable.
RESTAMP_INTERVAL = clock.seconds(30)
SUMMARY_LIFETIME = 4 * RESTAMP_INTERVAL


@dataclasses.dataclass
class Member:
    """Record of an entry instance.

    Attributes:
        instance: Its name.
        zone: Its zone.
        address: Its address.
        epoch: Number of the process's run; a later run has a higher one.
        heartbeat: Counter that the instance increments once per gossip round.
        version: Configuration version in force at the instance.
        leaving: Whether the instance is about to stop and accepts no new work.
    """

    instance: str
    zone: str
    address: str
    epoch: int
    heartbeat: int = 0
    version: int = 0
    leaving: bool = False

    def to_wire(self) -> list[typing.Any]:
        """Returns the JSON form."""
        return list(dataclasses.astuple(self))


@dataclasses.dataclass
class ZoneSummary:
    """Summary of a zone for other zones.

    Attributes:
        zone: Name of the zone.
        stamp: Version of the summary; of two summaries the one with the higher stamp counts. It
            increases when the addresses change and every ``RESTAMP_INTERVAL``.
        addresses: Addresses of up to ``ADDRESSES_PER_ZONE`` live instances by name.
    """

    zone: str
    stamp: int
    addresses: dict[str, str]


class MemberTable:
    """The members and zone summaries that an instance knows.

    Args:
        own: The record of this instance.
        now: Monotonic time.
        timeout: Time without a new heartbeat after which a member counts as down.
    """

    def __init__(self, own: Member, now: datetime.timedelta, timeout: datetime.timedelta) -> None:
        self.own = own
        self.timeout = timeout
        self.member_by_instance: dict[str, Member] = {own.instance: own}
        self.summary_by_zone: dict[str, ZoneSummary] = {}
        self._last_heard: dict[str, datetime.timedelta] = {own.instance: now}
        self._own_summary = ZoneSummary(own.zone, 0, {})
        self._stamped_at = now - RESTAMP_INTERVAL
        self._started = now
        self._summary_last_heard: dict[str, datetime.timedelta] = {}
        self._changed_round: dict[str, int] = {own.instance: 0}
        self._round = 0
        # Tombstones of removed members by name: last epoch and heartbeat, and when the tombstone
        # expires. Without them a removed member would come back from the digests of instances that
        # still have it, over and over.
        self._tombstone_by_instance: dict[str, tuple[int, int, datetime.timedelta]] = {}

    def increment_heartbeat(self, version: int) -> None:
        """Increments this instance's heartbeat; to be called once per round.

        Args:
            version: Configuration version in force at this instance.
        """
        self._round += 1
        self.own.heartbeat += 1
        if self.own.version != version:
            self.own.version = version
            self._changed_round[self.own.instance] = self._round

    def leave(self) -> None:
        """Marks this instance as about to stop."""
        self.own.leaving = True
        self.own.heartbeat += 1
        self._changed_round[self.own.instance] = self._round

    def live(self, now: datetime.timedelta) -> list[Member]:
        """Returns the live members of this zone, sorted by name."""
        return [
            member
            for name, member in sorted(self.member_by_instance.items())
            if member is self.own or now - self._last_heard[name] <= self.timeout
        ]

    def prune(self, now: datetime.timedelta) -> list[Member]:
        """Removes members that are down and expired summaries; returns the removed members."""
        removed = [
            member
            for name, member in self.member_by_instance.items()
            if member is not self.own and now - self._last_heard[name] > self.timeout
        ]
        for name, (_, _, until) in list(self._tombstone_by_instance.items()):
            if now >= until:
                del self._tombstone_by_instance[name]
        for member in removed:
            until = now + TOMBSTONE_TIMEOUTS * self.timeout
            self._tombstone_by_instance[member.instance] = (member.epoch, member.heartbeat, until)
            del self.member_by_instance[member.instance]
            del self._last_heard[member.instance]
            self._changed_round.pop(member.instance, None)
        for zone, at in list(self._summary_last_heard.items()):
            if now - at > SUMMARY_LIFETIME:
                del self.summary_by_zone[zone], self._summary_last_heard[zone]
        return removed

    def choose_partner(self, now: datetime.timedelta, rng: random.Random) -> Member | None:
        """Returns a random live member of this zone as the partner of an exchange."""
        others = [member for member in self.live(now) if member is not self.own]
        return rng.choice(others) if others else None

    def unknown_addresses(self, seeds: typing.Iterable[str]) -> list[str]:
        """Returns addresses at which members of this zone may run that are not known yet.

        These are the seeds that belong to no known instance, and the addresses in the summary that
        other zones have of this zone. After a restart, or after a partition within the zone, that
        summary may be the only way to learn of the other members.

        Args:
            seeds: Addresses from the settings.
        """
        members = {member.address for member in self.member_by_instance.values()}
        other_zones = {
            address
            for zone in self.summary_by_zone
            if zone != self.own.zone
            for address in self.addresses_in(zone)
        }
        candidates = dict.fromkeys([*seeds, *self.addresses_in(self.own.zone)])
        return [address for address in candidates if address not in members | other_zones]

    # Messages within the zone

    def digest(self) -> dict[str, typing.Any]:
        """Returns the heartbeats of every member and the records of recently changed ones."""
        recent = [
            member.to_wire()
            for name, member in self.member_by_instance.items()
            if self._round - self._changed_round.get(name, -RECENT_CHANGE_ROUNDS)
            <= RECENT_CHANGE_ROUNDS
        ]
        heartbeats = {
            name: [member.epoch, member.heartbeat]
            for name, member in self.member_by_instance.items()
        }
        return {"zone": self.own.zone, "beats": heartbeats, "records": recent}

    def merge(self, digest: typing.Any, now: datetime.timedelta) -> list[str]:
        """Merges a digest of another member of the zone.

        Returns:
            Names of members whose records this instance lacks.

        Raises:
            errors.InvalidInputError: The digest is malformed.
        """
        try:
            if digest["zone"] != self.own.zone:
                raise ValueError("digest of another zone")
            records = [_parse_member(item) for item in digest["records"]]
            heartbeats = {str(n): (int(e), int(b)) for n, (e, b) in digest["beats"].items()}
        except (KeyError, TypeError, ValueError, AttributeError) as error:
            raise errors.InvalidInputError(f"bad digest: {error}", step="gossip") from error
        for record in records:
            self._merge_record(record, now)
        return [
            name
            for name, heartbeat in heartbeats.items()
            if not self._merge_heartbeat(name, *heartbeat, now)
        ]

    def _merge_record(self, record: Member, now: datetime.timedelta) -> None:
        if record.zone != self.own.zone:
            return
        if record.instance == self.own.instance:
            self._raise_own_epoch(record.epoch, record.address)
            return
        held = self.member_by_instance.get(record.instance)
        tombstone = self._tombstone_by_instance.get(record.instance)
        if tombstone and (record.epoch, record.heartbeat) <= tombstone[:2]:
            return
        if held is None or (record.epoch, record.heartbeat) > (held.epoch, held.heartbeat):
            changed = held is None or _stable_fields(held) != _stable_fields(record)
            self.member_by_instance[record.instance] = record
            self._last_heard[record.instance] = now
            if changed:
                self._changed_round[record.instance] = self._round

    def _raise_own_epoch(self, epoch: int, address: str) -> None:
        # Epochs are start times. If the clock went back over a restart, other members know a run of
        # this instance with a higher epoch and would ignore this one.
        if epoch > self.own.epoch:
            self.own.epoch = epoch + 1
            self._changed_round[self.own.instance] = self._round

    def _merge_heartbeat(
        self, name: str, epoch: int, heartbeat: int, now: datetime.timedelta
    ) -> bool:
        """Merges a heartbeat; returns False if the member's record is needed first."""
        held = self.member_by_instance.get(name)
        if held is None or epoch > held.epoch:
            tombstone = self._tombstone_by_instance.get(name)
            return name == self.own.instance or bool(
                tombstone and (epoch, heartbeat) <= tombstone[:2]
            )
        if held is not self.own and epoch == held.epoch and heartbeat > held.heartbeat:
            held.heartbeat = heartbeat
            self._last_heard[name] = now
        return True

    def records(self, names: typing.Iterable[str]) -> list[typing.Any]:
        """Returns the records of those of the named members that are known."""
        known = (self.member_by_instance.get(name) for name in names)
        return [member.to_wire() for member in known if member]

    # Messages between zones

    def _summarise(self, now: datetime.timedelta) -> ZoneSummary:
        """Returns this zone's summary, with a new stamp if it has changed or its stamp is old."""
        live = [member for member in self.live(now) if not member.leaving]
        addresses = {member.instance: member.address for member in live[:ADDRESSES_PER_ZONE]}
        held = self._own_summary
        known = self.summary_by_zone.get(self.own.zone)
        # A member that has just started knows few other members, so it makes a summary only where
        # none is known yet.
        settled = now - self._started >= self.timeout
        if not settled and known and known.stamp > held.stamp:
            return known
        # Members that start together stamp alike; of equal stamps other zones keep the first.
        tied = known is not None and known.stamp == held.stamp and known.addresses != addresses
        if addresses != held.addresses or tied or now - self._stamped_at >= RESTAMP_INTERVAL:
            # Epochs are wall-clock times, so the stamps of a zone keep increasing even if all of
            # its instances restart.
            epoch_stamp = (
                max(member.epoch + member.heartbeat for member in live) if settled and live else 0
            )
            stamp = max(held.stamp + 1, epoch_stamp, known.stamp + 1 if known else 0)
            self._own_summary = ZoneSummary(self.own.zone, stamp, addresses)
            self._stamped_at = now
        return self._own_summary

    def _summaries(self, now: datetime.timedelta) -> dict[str, ZoneSummary]:
        held = self.summary_by_zone.get(self.own.zone)
        own = self._summarise(now)
        # Another member of this zone may have made a newer summary.
        newest = held if held and held.stamp > own.stamp else own
        return {**self.summary_by_zone, self.own.zone: newest}

    def stamps(self, now: datetime.timedelta) -> dict[str, int]:
        """Returns the stamp of each zone's summary."""
        return {zone: summary.stamp for zone, summary in self._summaries(now).items()}

    def summaries(
        self, now: datetime.timedelta, known: typing.Mapping[str, int] | None = None
    ) -> dict[str, typing.Any]:
        """Returns the stamp and addresses of each zone's summary.

        Args:
            now: Monotonic time.
            known: Stamps that the recipient has; only newer summaries are returned.
        """
        stamps = known or {}
        return {
            zone: [summary.stamp, summary.addresses]
            for zone, summary in self._summaries(now).items()
            if summary.stamp > stamps.get(zone, -1)
        }

    def merge_summaries(self, document: typing.Any, now: datetime.timedelta) -> None:
        """Merges the zone summaries of another instance; newer ones replace those held here.

        Raises:
            errors.InvalidInputError: The document is malformed.
        """
        try:
            parsed = [
                ZoneSummary(str(zone), int(stamp), {str(n): str(a) for n, a in addresses.items()})
                for zone, (stamp, addresses) in document.items()
            ]
        except (TypeError, ValueError, AttributeError) as error:
            raise errors.InvalidInputError(f"bad summaries: {error}", step="gossip") from error
        for summary in parsed:
            held = self.summary_by_zone.get(summary.zone)
            if held is None or summary.stamp > held.stamp:
                self.summary_by_zone[summary.zone] = summary
                self._summary_last_heard[summary.zone] = now

    def addresses_in(self, zone: str) -> list[str]:
        """Returns the addresses in the summary of a zone, none if there is no summary."""
        summary = self.summary_by_zone.get(zone)
        return list(summary.addresses.values()) if summary else []


def _stable_fields(member: Member) -> tuple[int, str, bool]:
    return member.epoch, member.address, member.leaving


def _parse_member(item: typing.Any) -> Member:
    instance, zone, address, epoch, heartbeat, version, leaving = item
    return Member(
        str(instance),
        str(zone),
        str(address),
        int(epoch),
        int(heartbeat),
        int(version),
        bool(leaving),
    )
