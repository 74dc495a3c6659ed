"""Messages between replicas of the log, the membership, and their JSON representations."""

from __future__ import annotations

import dataclasses
import typing

from flamingotiller import errors


@dataclasses.dataclass(frozen=True)
class Members:
    """Members of the replicated log.

    Attributes:
        voters: Addresses by identity of the members that vote and count towards the quorum.
        learners: Addresses by identity of the members that only receive the log.
    """

    voters: dict[str, str]
    learners: dict[str, str] = dataclasses.field(default_factory=dict)

    def address_of(self, identity: str) -> str:
        """Returns a member's address, or an empty string if it is unknown."""
        return self.voters.get(identity) or self.learners.get(identity, "")

    def to_wire(self) -> dict[str, dict[str, str]]:
        """Returns the JSON representation."""
        return {"voters": self.voters, "learners": self.learners}

    def with_promoted(self, identity: str) -> Members:
        """Returns the membership with a learner as a voter, in place of the voter at its address if
        there is one: two identities at one address are the same instance before and after its disk
        was lost."""
        learners = dict(self.learners)
        address = learners.pop(identity)
        voters = {i: a for i, a in self.voters.items() if a != address}
        return Members({**voters, identity: address}, learners)

    def replaces_lost_voter(self, changed: Members) -> bool:
        """Returns whether another membership has a learner of this one in place of the voter at the
        learner's address, and no other change of voters.

        Such a change is as safe as the change of a single voter: the lost identity can neither vote
        nor acknowledge, so any two majorities that can act have a member in common.
        """
        added = changed.voters.keys() - self.voters.keys()
        removed = self.voters.keys() - changed.voters.keys()
        if len(added) != 1 or len(removed) != 1:
            return False
        successor, lost = added.pop(), removed.pop()
        return self.learners.get(successor) == self.voters[lost] == changed.voters[successor]

    @property
    def quorum(self) -> int:
        """Number of voters that form a majority."""
        return len(self.voters) // 2 + 1


@dataclasses.dataclass(frozen=True)
class VoteRequest:
    """Requests a vote, or with ``pre`` a pre-vote: whether the vote would be granted."""

    term: int
    candidate: str
    last_index: int
    last_term: int
    pre: bool


@dataclasses.dataclass(frozen=True)
class VoteReply:
    """Reply to a vote or pre-vote request."""

    term: int
    voter: str
    granted: bool
    pre: bool


@dataclasses.dataclass(frozen=True)
class Append:
    """Sends log entries, or a heartbeat if there are none.

    Attributes:
        previous_index: Index of the entry before the first one sent.
        previous_term: Term of that entry.
        entries: JSON representations of the entries.
        commit: The leader's commit index.
        round: Number of the leader's latest broadcast.
    """

    term: int
    leader: str
    previous_index: int
    previous_term: int
    entries: list[list[typing.Any]]
    commit: int
    round: int


@dataclasses.dataclass(frozen=True)
class AppendReply:
    """Reply to an append or a snapshot.

    Attributes:
        ok: Whether the message was accepted.
        match: Last index at which the follower's log is known to match the leader's. If the message
            was rejected, a hint: the highest index at which the logs may still match.
        round: Broadcast number of the message that this replies to.
    """

    term: int
    follower: str
    ok: bool
    match: int
    round: int


@dataclasses.dataclass(frozen=True)
class InstallSnapshot:
    """Sends a snapshot to a member that needs entries the leader has already compacted."""

    term: int
    leader: str
    index: int
    snapshot_term: int
    members: typing.Any
    state: typing.Any
    round: int


# Deepest nesting of arrays and objects in a command. Messages and snapshots add a few levels, and
# orjson writes up to 254.
MAX_NESTING = 100


def check_nesting(value: typing.Any, step: str) -> None:
    """Checks that a JSON value can be part of the log and of its messages.

    Raises:
        errors.InvalidInputError: It is nested too deeply.
    """
    level = [value]
    for _ in range(MAX_NESTING + 1):
        inner: list[typing.Any] = []
        for item in level:
            if isinstance(item, dict):
                inner += item.values()
            elif isinstance(item, (list, tuple)):
                inner += item
        level = [item for item in inner if isinstance(item, (dict, list, tuple))]
        if not level:
            return
    raise errors.InvalidInputError(f"nested more than {MAX_NESTING} levels deep", step=step)


Message = VoteRequest | VoteReply | Append | AppendReply | InstallSnapshot

MESSAGE_TYPE_BY_NAME: dict[str, type] = {
    cls.__name__: cls for cls in (VoteRequest, VoteReply, Append, AppendReply, InstallSnapshot)
}


def message_to_wire(message: Message) -> dict[str, typing.Any]:
    """Returns the JSON representation of a message.

    Entries and states are not copied; they are JSON values already, and may be large.
    """
    return {"type": type(message).__name__, **vars(message)}


def message_from_wire(document: typing.Any) -> Message:
    """Builds a message from its JSON representation.

    Raises:
        errors.InvalidInputError: The document is not a valid message.
    """
    try:
        fields = dict(document)
        message_type = MESSAGE_TYPE_BY_NAME[fields.pop("type")]
        message = message_type(**fields)
        for field in dataclasses.fields(message_type):
            expected = {"int": int, "str": str, "bool": bool}.get(str(field.type))
            if expected and type(getattr(message, field.name)) is not expected:
                raise TypeError(f"{field.name} must be {field.type}")
        return message
    except (KeyError, TypeError, ValueError) as error:
        raise errors.InvalidInputError(f"not a message: {error}", step="decode message") from error
