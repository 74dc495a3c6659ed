"""Which change of the log's membership the leader makes next, one voter at a time."""

from __future__ import annotations

import collections.abc
import dataclasses
import datetime

from flamingotiller import clock, replica_messages

# A voter that is silent for so long and has a stand-in in its zone is taken for gone.
MEMBER_FAILURE_TIMEOUT = clock.seconds(8)
# A join request that is not repeated for this long is ignored.
JOIN_REQUEST_LIFETIME = clock.seconds(3)


@dataclasses.dataclass(frozen=True)
class JoinRequest:
    """An instance that asks to become a member.

    Attributes:
        identity: Its identity in the log; never used by another lifetime of its disk.
        address: Where it takes messages of members.
        zone: Its availability zone.
        requested_at: When it last asked.
    """

    identity: str
    address: str
    zone: str
    requested_at: datetime.timedelta


@dataclasses.dataclass(frozen=True)
class MemberProgress:
    """What the leader knows of a member.

    Attributes:
        match: Last entry known to be durable there.
        last_contact_at: When it last answered.
    """

    match: int
    last_contact_at: datetime.timedelta


def next_members(
    members: replica_messages.Members,
    join_requests: collections.abc.Collection[JoinRequest],
    progress_by_identity: collections.abc.Mapping[str, MemberProgress],
    zone_by_identity: collections.abc.Mapping[str, str],
    commit: int,
    now: datetime.timedelta,
) -> replica_messages.Members | None:
    """Returns the membership to propose, None when the present one is right.

    Args:
        members: Membership in force.
        join_requests: Instances that ask to be members.
        progress_by_identity: By member, the leader itself left out.
        zone_by_identity: Zones as far as known.
        commit: The leader's commit index.
        now: Monotonic time.
    """
    for join_request in join_requests:
        if now - join_request.requested_at > JOIN_REQUEST_LIFETIME:
            continue
        lost = _same_address(members, join_request)
        if lost:
            return _without(members, lost)
        if join_request.identity in members.learners:
            progress = progress_by_identity.get(join_request.identity)
            if progress and progress.match >= commit > 0:
                return _promoted(members, join_request.identity)
        elif join_request.identity not in members.voters:
            learners = {**members.learners, join_request.identity: join_request.address}
            return replica_messages.Members(members.voters, learners)
    asking = {n.identity for n in join_requests if now - n.requested_at <= JOIN_REQUEST_LIFETIME}
    heard = {i: s for i, s in progress_by_identity.items() if i not in asking}
    gone = _replaced(members, heard, zone_by_identity, now)
    return _without(members, gone) if gone else None


def _same_address(members: replica_messages.Members, join_request: JoinRequest) -> str:
    """Returns the member whose disk was lost: the join request has its address."""
    for identity, address in (*members.voters.items(), *members.learners.items()):
        if address == join_request.address and identity != join_request.identity:
            return identity
    return ""


def _replaced(
    members: replica_messages.Members,
    progress_by_identity: collections.abc.Mapping[str, MemberProgress],
    zone_by_identity: collections.abc.Mapping[str, str],
    now: datetime.timedelta,
) -> str:
    """Returns a member that is long silent while another votes in its zone, empty if none."""
    silent = [
        identity
        for identity, progress in progress_by_identity.items()
        if now - progress.last_contact_at > MEMBER_FAILURE_TIMEOUT
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
