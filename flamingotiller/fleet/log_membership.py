"""Decides the next change of the log's membership, which adds, promotes or removes a single
member. A voter that lost its disk stays until the instance's new identity takes its place."""

from __future__ import annotations

import collections.abc
import dataclasses
import datetime

from flamingotiller import clock, replica_messages

# A member that has not answered for this long has failed. A failed voter is removed only if its
# zone has another voter that answers.
MEMBER_FAILURE_TIMEOUT = clock.seconds(8)
# A join request that is not repeated for this long is ignored.
JOIN_REQUEST_LIFETIME = clock.seconds(3)


@dataclasses.dataclass(frozen=True)
class JoinRequest:
    """A request of an instance to become a member, repeated while the instance runs.

    Attributes:
        identity: Identity of the instance in the log; never reused after its disk is lost.
        address: Address at which it receives messages from members.
        zone: Its availability zone.
        requested_at: Time of the latest request.
        level: Level of the state machine's rules that it knows, 0 for builds that name none.
    """

    identity: str
    address: str
    zone: str
    requested_at: datetime.timedelta
    level: int = 0


@dataclasses.dataclass(frozen=True)
class MemberProgress:
    """The leader's view of a member.

    Attributes:
        match: Index of the last entry known to be durable on the member.
        last_contact_at: When the member last answered.
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
    """Returns the membership to propose, None if no change is needed.

    Args:
        members: Current membership.
        join_requests: Latest join request of each instance, members included.
        progress_by_identity: Progress of the members except the leader.
        zone_by_identity: Availability zones of members, where known.
        commit: The leader's commit index.
        now: Monotonic time.
    """
    for request in join_requests:
        if now - request.requested_at > JOIN_REQUEST_LIFETIME:
            continue
        previous = _previous_learner(members, request)
        if previous:
            return _without(members, previous)
        if request.identity in members.learners:
            progress = progress_by_identity.get(request.identity)
            if progress and progress.match >= commit > 0:
                return members.with_promoted(request.identity)
        elif request.identity not in members.voters:
            learners = {**members.learners, request.identity: request.address}
            return replica_messages.Members(members.voters, learners)
    asking = {r.identity for r in join_requests if now - r.requested_at <= JOIN_REQUEST_LIFETIME}
    # A member that asks is alive, even if it has not answered the leader yet.
    progress_of_others = {i: p for i, p in progress_by_identity.items() if i not in asking}
    failed = _failed_member(members, progress_of_others, zone_by_identity, now)
    return _without(members, failed) if failed else None


def common_level(
    members: replica_messages.Members,
    own_identity: str,
    own_level: int,
    join_requests: collections.abc.Collection[JoinRequest],
    now: datetime.timedelta,
) -> int:
    """Returns the level of rules that all members know, 0 while one of them has not said its own.

    Args:
        members: Current membership.
        own_identity: Identity of the leader.
        own_level: Level that the leader knows.
        join_requests: Latest join request of each instance, members included.
        now: Monotonic time.
    """
    level_by_identity = {
        request.identity: request.level
        for request in join_requests
        if now - request.requested_at <= JOIN_REQUEST_LIFETIME
    }
    level_by_identity[own_identity] = own_level
    identities = (*members.voters, *members.learners)
    return min((level_by_identity.get(identity, 0) for identity in identities), default=0)


def _previous_learner(members: replica_messages.Members, request: JoinRequest) -> str:
    """Returns another learner with the address of a request, empty if none: its disk was lost, and
    the instance started again under a new identity, before it became a voter."""
    for identity, address in members.learners.items():
        if address == request.address and identity != request.identity:
            return identity
    return ""


def _failed_member(
    members: replica_messages.Members,
    progress_by_identity: collections.abc.Mapping[str, MemberProgress],
    zone_by_identity: collections.abc.Mapping[str, str],
    now: datetime.timedelta,
) -> str:
    """Returns a failed member that may be removed, empty if none: a learner, or a voter whose zone
    has another voter that answers."""
    silent = [
        identity
        for identity, progress in progress_by_identity.items()
        if now - progress.last_contact_at > MEMBER_FAILURE_TIMEOUT
    ]
    for identity in silent:
        if identity in members.learners:
            return identity
        other_voters = (v for v in members.voters if v != identity and v not in silent)
        zone = zone_by_identity.get(identity)
        if zone and any(zone_by_identity.get(other) == zone for other in other_voters):
            return identity
    return ""


def _without(members: replica_messages.Members, identity: str) -> replica_messages.Members | None:
    voters = {i: a for i, a in members.voters.items() if i != identity}
    learners = {i: a for i, a in members.learners.items() if i != identity}
    return replica_messages.Members(voters, learners) if voters else None
