"""Messages between the replicas of the log, the log's membership, and their JSON forms."""

from __future__ import annotations

import dataclasses
import typing

from flamingotiller import errors


@dataclasses.dataclass(frozen=True)
class Members:
    """Membership of the log.

    Attributes:
        voters: Address by identity of the members that elect and count for commitment.
        learners: Address by identity of members that only receive the log.
    """

    voters: dict[str, str]
    learners: dict[str, str] = dataclasses.field(default_factory=dict)

    def address_of(self, identity: str) -> str:
        """Returns a member's address, empty if unknown."""
        return self.voters.get(identity) or self.learners.get(identity, "")

    def to_wire(self) -> dict[str, dict[str, str]]:
        """Returns the JSON form."""
        return {"voters": self.voters, "learners": self.learners}

    @property
    def quorum(self) -> int:
        """Smallest number of voters that is a majority."""
        return len(self.voters) // 2 + 1


@dataclasses.dataclass(frozen=True)
class VoteRequest:
    """Asks for a vote, or with ``pre`` whether one would be given."""

    term: int
    candidate: str
    last_index: int
    last_term: int
    pre: bool


@dataclasses.dataclass(frozen=True)
class VoteReply:
    """Answers a vote request."""

    term: int
    voter: str
    granted: bool
    pre: bool


@dataclasses.dataclass(frozen=True)
class Append:
    """Sends entries, or none as a heartbeat. ``round`` numbers the leader's broadcasts."""

    term: int
    leader: str
    previous_index: int
    previous_term: int
    entries: list[list[typing.Any]]
    commit: int
    round: int


@dataclasses.dataclass(frozen=True)
class AppendReply:
    """Answers an append or a snapshot; ``match`` is the last index known to agree, or a hint."""

    term: int
    follower: str
    ok: bool
    match: int
    round: int


@dataclasses.dataclass(frozen=True)
class InstallSnapshot:
    """Sends a snapshot to a member that is behind the leader's log."""

    term: int
    leader: str
    index: int
    snapshot_term: int
    members: typing.Any
    state: typing.Any
    round: int


Message = VoteRequest | VoteReply | Append | AppendReply | InstallSnapshot

MESSAGE_TYPE_BY_NAME: dict[str, type] = {
    kind.__name__: kind for kind in (VoteRequest, VoteReply, Append, AppendReply, InstallSnapshot)
}


def message_to_wire(message: Message) -> dict[str, typing.Any]:
    """Returns the JSON form of a message."""
    return {"type": type(message).__name__, **dataclasses.asdict(message)}


def message_from_wire(document: typing.Any) -> Message:
    """Builds a message from its JSON form.

    Raises:
        errors.InvalidInputError: Not a message.
    """
    try:
        fields = dict(document)
        kind = MESSAGE_TYPE_BY_NAME[fields.pop("type")]
        message = kind(**fields)
        for field in dataclasses.fields(kind):
            expected = {"int": int, "str": str, "bool": bool}.get(str(field.type))
            if expected and type(getattr(message, field.name)) is not expected:
                raise TypeError(f"{field.name} must be {field.type}")
        return message
    except (KeyError, TypeError, ValueError) as error:
        raise errors.InvalidInputError(f"not a message: {error}", step="decode message") from error
