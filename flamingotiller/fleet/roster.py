"""Which change of the log's membership the leader makes next, one voter at a time."""

from __future__ import annotations

import collections.abc
import dataclasses
import datetime

from flamingotiller import clock, replica_messages

# A voter that is silent for so long and has a stand-in in its zone is taken for gone.
GONE_AFTER = clock.seconds(8)
# A newcomer that stops asking is forgotten.
ASKED_WITHIN = clock.seconds(3)


@dataclasses.dataclass(frozen=True)
class Newcomer:
    """An instance that asks to become a member.

    Attributes:
        identity: Its identity in the log; never used by another lifetime of its disk.
        address: Where it takes messages of members.
        zone: Its availability zone.
        asked_at: When it last asked.
    """

    identity: str
    address: str
    zone: str
    asked_at: datetime.timedelta


@dataclasses.dataclass(frozen=True)
class Sighting:
    """What the leader knows of a member.

    Attributes:
        match: Last entry known to be durable there.
        heard_at: When it last answered.
    """

    match: int
    heard_at: datetime.timedelta


def next_members(
    members: replica_messages.Members,
    newcomers: collections.abc.Collection[Newcomer],
    sighting_by_identity: collections.abc.Mapping[str, Sighting],
    zone_by_identity: collections.abc.Mapping[str, str],
    commit: int,
    now: datetime.timedelta,
) -> replica_messages.Members | None:
    """Returns the membership to propose, None when the present one is right.

    Args:
        members: Membership in force.
        newcomers: Instances that ask to be members.
        sighting_by_identity: By member, the leader itself left out.
        zone_by_identity: Zones as far as known.
        commit: The leader's commit index.
        now: Monotonic time.
    """
    for newcomer in newcomers:
        if now - newcomer.asked_at > ASKED_WITHIN:
            continue
        lost = _same_address(members, newcomer)
        if lost:
            return _without(members, lost)
        if newcomer.identity in members.learners:
            sighting = sighting_by_identity.get(newcomer.identity)
            if sighting and sighting.match >= commit > 0:
                return _promoted(members, newcomer.identity)
        elif newcomer.identity not in members.voters:
            learners = {**members.learners, newcomer.identity: newcomer.address}
            return replica_messages.Members(members.voters, learners)
    asking = {n.identity for n in newcomers if now - n.asked_at <= ASKED_WITHIN}
    heard = {i: s for i, s in sighting_by_identity.items() if i not in asking}
    gone = _replaced(members, heard, zone_by_identity, now)
    return _without(members, gone) if gone else None


def _same_address(members: replica_messages.Members, newcomer: Newcomer) -> str:
    """Returns the member whose disk was lost: the newcomer has its address."""
    for identity, address in (*members.voters.items(), *members.learners.items()):
        if address == newcomer.address and identity != newcomer.identity:
            return identity
    return ""


def _replaced(
    members: replica_messages.Members,
    sighting_by_identity: collections.abc.Mapping[str, Sighting],
    zone_by_identity: collections.abc.Mapping[str, str],
    now: datetime.timedelta,
) -> str:
    """Returns a member that is long silent while another votes in its zone, empty if none."""
    silent = [
        identity
        for identity, sighting in sighting_by_identity.items()
        if now - sighting.heard_at > GONE_AFTER
    ]
    for identity in silent:
        if identity in members.learners:
            return identity
        others = (v for v in members.voters if v != identity and v not in silent)
        zone = zone_by_identity.get(identity)
        if zone and any(zone_by_identity.get(other) == zone for other in others):
            return identity
    return ""


def _without(members: replica_messages.Members, identity: str) -> replica_messages.Members | None:
    voters = {i: a for i, a in members.voters.items() if i != identity}
    learners = {i: a for i, a in members.learners.items() if i != identity}
    return replica_messages.Members(voters, learners) if voters else None


def _promoted(members: replica_messages.Members, identity: str) -> replica_messages.Members:
    learners = dict(members.learners)
    voters = {**members.voters, identity: learners.pop(identity)}
    return replica_messages.Members(voters, learners)
