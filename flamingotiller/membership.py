"""Membership of entry instances: who is there, learned by gossip within a zone, with a few
addresses of every other zone. The logic is pure; messages stay bounded as the fleet grows."""

from __future__ import annotations

import dataclasses
import datetime
import random
import typing

from flamingotiller import clock, errors

ADDRESSES_PER_ZONE = 4
FRESH_ROUNDS = 3
SILENT_TIMEOUTS = 10
# A zone that has not changed is stamped anew this often, so that others know it is there.
RESTAMP_INTERVAL = clock.seconds(30)
SUMMARY_LIFETIME = 4 * RESTAMP_INTERVAL


@dataclasses.dataclass
class Member:
    """An entry instance.

    Attributes:
        instance: Its name.
        zone: Its zone.
        address: Its address.
        epoch: Distinguishes its runs; a later run has a higher one.
        heartbeat: Counter that it raises while it lives.
        version: Configuration version that it had in force.
        leaving: Whether it is about to stop and takes no new work.
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
    """What other zones know of a zone.

    Attributes:
        zone: Its name.
        stamp: Grows when the addresses change, and now and then; a higher one replaces this.
        addresses: Live instances of the zone, a few of them, by name.
    """

    zone: str
    stamp: int
    addresses: dict[str, str]


class MemberTable:
    """The members that one instance knows.

    Args:
        own: The record of this instance.
        now: Monotonic time.
        timeout: Silence after which a member counts as down.
    """

    def __init__(self, own: Member, now: datetime.timedelta, timeout: datetime.timedelta) -> None:
        self.own = own
        self.timeout = timeout
        self.member_by_instance: dict[str, Member] = {own.instance: own}
        self.summary_by_zone: dict[str, ZoneSummary] = {}
        self._heard_at: dict[str, datetime.timedelta] = {own.instance: now}
        self._own_summary = ZoneSummary(own.zone, 0, {})
        self._stamped_at = now - RESTAMP_INTERVAL
        self._started = now
        self._summary_heard_at: dict[str, datetime.timedelta] = {}
        self._changed_round: dict[str, int] = {own.instance: 0}
        self._round = 0
        # Forgotten members by name: epoch and beat at which they fell silent, and when to forget
        # even that. Without it a member still held elsewhere would come back for ever.
        self._silent_by_instance: dict[str, tuple[int, int, datetime.timedelta]] = {}

    def increment_heartbeat(self, version: int) -> None:
        """Raises this instance's counter; to be called once per round."""
        self._round += 1
        self.own.heartbeat += 1
        if self.own.version != version:
            self.own.version = version
            self._changed_round[self.own.instance] = self._round

    def leave(self) -> None:
        """Notes that this instance is about to stop."""
        self.own.leaving = True
        self.own.heartbeat += 1
        self._changed_round[self.own.instance] = self._round

    def live(self, now: datetime.timedelta) -> list[Member]:
        """Returns the members of this zone heard of within the timeout, by name."""
        return [
            member
            for name, member in sorted(self.member_by_instance.items())
            if member is self.own or now - self._heard_at[name] <= self.timeout
        ]

    def prune(self, now: datetime.timedelta) -> list[Member]:
        """Forgets members silent for long and returns those that were forgotten."""
        gone = [
            member
            for name, member in self.member_by_instance.items()
            if member is not self.own and now - self._heard_at[name] > self.timeout
        ]
        for name, (_, _, until) in list(self._silent_by_instance.items()):
            if now >= until:
                del self._silent_by_instance[name]
        for member in gone:
            until = now + SILENT_TIMEOUTS * self.timeout
            self._silent_by_instance[member.instance] = (member.epoch, member.heartbeat, until)
            del self.member_by_instance[member.instance]
            del self._heard_at[member.instance]
            self._changed_round.pop(member.instance, None)
        for zone, at in list(self._summary_heard_at.items()):
            if now - at > SUMMARY_LIFETIME:
                del self.summary_by_zone[zone], self._summary_heard_at[zone]
        return gone

    def choose_partner(self, now: datetime.timedelta, rng: random.Random) -> Member | None:
        """Returns a random live member of this zone to exchange with."""
        others = [member for member in self.live(now) if member is not self.own]
        return rng.choice(others) if others else None

    def unknown_addresses(self, seeds: typing.Iterable[str]) -> list[str]:
        """Returns addresses to try for members of this zone that are not known.

        These are the seeds of which nothing is known, and the instances that other zones name
        as this zone's: after a restart or a cut within the zone they may be the only trace.

        Args:
            seeds: Addresses from the settings.
        """
        members = {member.address for member in self.member_by_instance.values()}
        elsewhere = {
            address
            for zone in self.summary_by_zone
            if zone != self.own.zone
            for address in self.addresses_in(zone)
        }
        found = dict.fromkeys([*seeds, *self.addresses_in(self.own.zone)])
        return [address for address in found if address not in members | elsewhere]

    # Messages within the zone

    def digest(self) -> dict[str, typing.Any]:
        """Returns counters of every member and whole records of those that changed lately."""
        recent = [
            member.to_wire()
            for name, member in self.member_by_instance.items()
            if self._round - self._changed_round.get(name, -FRESH_ROUNDS) <= FRESH_ROUNDS
        ]
        beats = {
            name: [member.epoch, member.heartbeat]
            for name, member in self.member_by_instance.items()
        }
        return {"zone": self.own.zone, "beats": beats, "records": recent}

    def merge(self, digest: typing.Any, now: datetime.timedelta) -> list[str]:
        """Takes over what another member of the zone knows.

        Returns:
            Names of members that the sender knows and this instance lacks.

        Raises:
            errors.InvalidInputError: The digest is malformed.
        """
        try:
            if digest["zone"] != self.own.zone:
                raise ValueError("digest of another zone")
            records = [_member(item) for item in digest["records"]]
            beats = {str(n): (int(e), int(b)) for n, (e, b) in digest["beats"].items()}
        except (KeyError, TypeError, ValueError, AttributeError) as error:
            raise errors.InvalidInputError(f"bad digest: {error}", step="gossip") from error
        for record in records:
            self._merge_record(record, now)
        return [name for name, beat in beats.items() if not self._merge_beat(name, *beat, now)]

    def _merge_record(self, record: Member, now: datetime.timedelta) -> None:
        if record.zone != self.own.zone:
            return
        if record.instance == self.own.instance:
            self._outlive(record.epoch, record.address)
            return
        held = self.member_by_instance.get(record.instance)
        silent = self._silent_by_instance.get(record.instance)
        if silent and (record.epoch, record.heartbeat) <= silent[:2]:
            return
        if held is None or (record.epoch, record.heartbeat) > (held.epoch, held.heartbeat):
            news = held is None or _substance(held) != _substance(record)
            self.member_by_instance[record.instance] = record
            self._heard_at[record.instance] = now
            if news:
                self._changed_round[record.instance] = self._round

    def _outlive(self, epoch: int, address: str) -> None:
        # Others know a later run under this name: the clock went back over a restart.
        if epoch > self.own.epoch:
            self.own.epoch = epoch + 1
            self._changed_round[self.own.instance] = self._round

    def _merge_beat(self, name: str, epoch: int, beat: int, now: datetime.timedelta) -> bool:
        held = self.member_by_instance.get(name)
        if held is None or epoch > held.epoch:
            silent = self._silent_by_instance.get(name)
            return name == self.own.instance or bool(silent and (epoch, beat) <= silent[:2])
        if held is not self.own and epoch == held.epoch and beat > held.heartbeat:
            held.heartbeat = beat
            self._heard_at[name] = now
        return True

    def records(self, names: typing.Iterable[str]) -> list[typing.Any]:
        """Returns whole records of the members named, those that are known."""
        held = (self.member_by_instance.get(name) for name in names)
        return [member.to_wire() for member in held if member]

    # Messages between zones

    def _summarise(self, now: datetime.timedelta) -> ZoneSummary:
        """Returns this zone's summary, stamped anew when it has changed or is old."""
        live = [member for member in self.live(now) if not member.leaving]
        addresses = {member.instance: member.address for member in live[:ADDRESSES_PER_ZONE]}
        held = self._own_summary
        known = self.summary_by_zone.get(self.own.zone)
        # A member that has just started knows hardly anybody: its word counts where there is none.
        settled = now - self._started >= self.timeout
        if not settled and known and known.stamp > held.stamp:
            return known
        if addresses != held.addresses or now - self._stamped_at >= RESTAMP_INTERVAL:
            # Epochs are calendar times, so a stamp of a restarted zone is higher than before.
            newest = (
                max(member.epoch + member.heartbeat for member in live) if settled and live else 0
            )
            stamp = max(held.stamp + 1, newest, known.stamp + 1 if known else 0)
            self._own_summary = ZoneSummary(self.own.zone, stamp, addresses)
            self._stamped_at = now
        return self._own_summary

    def _summaries(self, now: datetime.timedelta) -> dict[str, ZoneSummary]:
        held = self.summary_by_zone.get(self.own.zone)
        own = self._summarise(now)
        # Another member of this zone may have stamped a change that came here later.
        newest = held if held and held.stamp > own.stamp else own
        return {**self.summary_by_zone, self.own.zone: newest}

    def stamps(self, now: datetime.timedelta) -> dict[str, int]:
        """Returns the stamp of each zone's summary."""
        return {zone: summary.stamp for zone, summary in self._summaries(now).items()}

    def summaries(
        self, now: datetime.timedelta, known: typing.Mapping[str, int] | None = None
    ) -> dict[str, typing.Any]:
        """Returns a few addresses of each zone, this one's first hand.

        Args:
            now: Monotonic time.
            known: Stamps that the other side has; only newer summaries are returned.
        """
        stamps = known or {}
        return {
            zone: [summary.stamp, summary.addresses]
            for zone, summary in self._summaries(now).items()
            if summary.stamp > stamps.get(zone, -1)
        }

    def merge_summaries(self, document: typing.Any, now: datetime.timedelta) -> None:
        """Takes over what an instance of another zone knows.

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
                self._summary_heard_at[summary.zone] = now

    def addresses_in(self, zone: str) -> list[str]:
        """Returns addresses of instances of another zone."""
        summary = self.summary_by_zone.get(zone)
        return list(summary.addresses.values()) if summary else []


def _substance(member: Member) -> tuple[int, str, bool]:
    return member.epoch, member.address, member.leaving


def _member(item: typing.Any) -> Member:
    instance, zone, address, epoch, beat, version, leaving = item
    return Member(
        str(instance), str(zone), str(address), int(epoch), int(beat), int(version), bool(leaving)
    )
