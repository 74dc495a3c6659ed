"""Transport of messages between members of the log, over HTTP.

A message of any length gets through: one that is longer than a part is sent in parts, beside the
short messages, so that heartbeats and votes do not wait for it."""

from __future__ import annotations

import asyncio
import binascii
import collections
import dataclasses
import secrets
import typing
import zlib

import orjson

from flamingotiller import client, clock, errors, events, replica_messages

MESSAGE_PATH = "/v1/replica"
PART_PATH = "/v1/replica-part"
MAX_PART_BYTES = 1024 * 1024
# Longest message that a receiver assembles, compressed and plain.
MAX_MESSAGE_BYTES = 512 * 1024 * 1024
# Incomplete messages that a receiver keeps, of all senders but the one that sent the last part.
MAX_HELD_BYTES = 64 * 1024 * 1024
# Longer than any round trip between regions with a disk sync.
MESSAGE_TIMEOUT = clock.seconds(1)
# The answer to the last part comes only after the message has been written to disk.
LAST_PART_TIMEOUT = clock.seconds(10)
# The last part is sent only once: a second one might find the message assembled already.
MAX_PART_ATTEMPTS = 3


@dataclasses.dataclass(frozen=True)
class Part:
    """A part of a message.

    Attributes:
        sender: Identity of the member that sends the message.
        transfer: Distinguishes the message from others of the sender.
        number: Position among the parts, from 0.
        count: Number of parts.
        data: Base64 text of this part of the message's compressed JSON representation.
    """

    sender: str
    transfer: str
    number: int
    count: int
    data: str


class Sender:
    """Sends messages to other members.

    Args:
        peers: Client for calls to them.
        identity: Identity of the member that sends.
    """

    def __init__(self, peers: client.Client, identity: str) -> None:
        self._peers = peers
        self._identity = identity
        # Members to which a message is being sent in parts.
        self._in_transfer: set[str] = set()
        # Why the last message to a member failed; absent if it was answered.
        self._failure_by_member: dict[str, str] = {}

    async def send(
        self, member: str, address: str, message: replica_messages.Message
    ) -> list[replica_messages.Message]:
        """Sends a message; returns the member's replies, none if it got no answer.

        A lost message is harmless, since the next heartbeat sends its content again. So nothing
        that carries entries or a snapshot is sent while an earlier one is still on its way.
        """
        if member in self._in_transfer and _is_bulk(message):
            return []
        body = {
            "sender": self._identity,
            "message": replica_messages.message_to_wire(message),
        }
        try:
            encoded = orjson.dumps(body)
            if len(encoded) <= MAX_PART_BYTES:
                document = await self._call(
                    address, MESSAGE_PATH, orjson.Fragment(encoded), MESSAGE_TIMEOUT
                )
            else:
                document = await self._send_in_parts(member, address, encoded)
            replies = [replica_messages.message_from_wire(reply) for reply in document["replies"]]
        except (errors.FlamingotillerError, KeyError, TypeError, ValueError) as error:
            self._record_failure(member, address, message, error)
            return []
        if self._failure_by_member.pop(member, None) is not None:
            events.emit(events.MEMBER_REACHED, member=member, peer=address)
        return replies

    def _record_failure(
        self,
        member: str,
        address: str,
        message: replica_messages.Message,
        error: Exception,
    ) -> None:
        kind = type(error).__name__
        if self._failure_by_member.get(member) == kind:
            return
        self._failure_by_member[member] = kind
        events.emit(
            events.MEMBER_UNREACHABLE,
            member=member,
            peer=address,
            message=type(message).__name__,
            error=str(error) or kind,
        )

    async def _call(self, address: str, path: str, body, timeout) -> dict[str, typing.Any]:
        response = await self._peers.call(address, "POST", path, body, timeout=timeout)
        return client.raise_for_status(response, step="replicate", peer=address)

    async def _send_in_parts(
        self, member: str, address: str, encoded: bytes
    ) -> dict[str, typing.Any]:
        self._in_transfer.add(member)
        try:
            # Compressing a large message takes longer than a heartbeat.
            loop = asyncio.get_running_loop()
            data = await loop.run_in_executor(None, zlib.compress, encoded, 1)
            pieces = [data[n : n + MAX_PART_BYTES] for n in range(0, len(data), MAX_PART_BYTES)]
            transfer = secrets.token_hex(8)
            document: dict[str, typing.Any] = {}
            for number, piece in enumerate(pieces):
                text = binascii.b2a_base64(piece, newline=False).decode("ascii")
                part = Part(self._identity, transfer, number, len(pieces), text)
                document = await self._send_part(address, part)
            return document
        except errors.NotFoundError:
            # A build that knows no parts takes messages up to its own limit as a whole.
            return await self._call(
                address, MESSAGE_PATH, orjson.Fragment(encoded), MESSAGE_TIMEOUT
            )
        finally:
            self._in_transfer.discard(member)

    async def _send_part(self, address: str, part: Part) -> dict[str, typing.Any]:
        if part.number == part.count - 1:
            return await self._call(address, PART_PATH, vars(part), LAST_PART_TIMEOUT)
        for _ in range(MAX_PART_ATTEMPTS - 1):
            try:
                return await self._call(address, PART_PATH, vars(part), MESSAGE_TIMEOUT)
            except errors.TransportError as error:
                events.emit(
                    events.PART_SENT_AGAIN, peer=address, number=part.number, error=str(error)
                )
        return await self._call(address, PART_PATH, vars(part), MESSAGE_TIMEOUT)


def _is_bulk(message: replica_messages.Message) -> bool:
    return isinstance(message, replica_messages.InstallSnapshot) or (
        isinstance(message, replica_messages.Append) and bool(message.entries)
    )


class Assembler:
    """Puts the parts of messages together.

    Keeps one incomplete message for each sender. Beyond ``MAX_HELD_BYTES`` of all senders together
    it drops those whose last part is the oldest; their senders begin again.
    """

    def __init__(self) -> None:
        self._parts_by_sender: collections.OrderedDict[str, tuple[str, list[bytes]]] = (
            collections.OrderedDict()
        )

    @property
    def held(self) -> int:
        """Bytes of incomplete messages."""
        return sum(len(piece) for _, pieces in self._parts_by_sender.values() for piece in pieces)

    def add(self, document: typing.Any) -> tuple[str, replica_messages.Message] | None:
        """Adds a part; returns the sender and the message once it is complete.

        Raises:
            errors.InvalidInputError: The part is malformed, is not the next one of its message, or
                completes something that is not a message.
        """
        try:
            part = Part(**document)
            piece = binascii.a2b_base64(part.data, strict_mode=True)
            is_valid = 0 <= part.number < part.count <= MAX_MESSAGE_BYTES // MAX_PART_BYTES
        except (TypeError, ValueError) as error:
            raise errors.InvalidInputError(f"not a part: {error}", step="assemble") from error
        if not is_valid or len(piece) > MAX_PART_BYTES:
            raise errors.InvalidInputError("part out of range", step="assemble")
        pieces = self._pieces(part)
        if part.number == len(pieces):
            pieces.append(piece)
            self._parts_by_sender.move_to_end(part.sender)
            while len(self._parts_by_sender) > 1 and self.held > MAX_HELD_BYTES:
                self._parts_by_sender.popitem(last=False)
        if len(pieces) < part.count:
            return None
        del self._parts_by_sender[part.sender]
        return part.sender, _decode(b"".join(pieces))

    def _pieces(self, part: Part) -> list[bytes]:
        """Returns the pieces of a part's message so far.

        Raises:
            errors.InvalidInputError: An earlier part is missing.
        """
        transfer, pieces = self._parts_by_sender.get(part.sender, ("", []))
        if transfer != part.transfer:
            if part.number:
                raise errors.InvalidInputError("an earlier part is missing", step="assemble")
            pieces = []
            self._parts_by_sender[part.sender] = (part.transfer, pieces)
        if part.number > len(pieces):
            raise errors.InvalidInputError("an earlier part is missing", step="assemble")
        return pieces


def _decode(data: bytes) -> replica_messages.Message:
    decoder = zlib.decompressobj()
    try:
        plain = decoder.decompress(data, MAX_MESSAGE_BYTES)
        if not decoder.eof:
            raise ValueError("the message is truncated or too long")
        return replica_messages.message_from_wire(orjson.loads(plain)["message"])
    except (zlib.error, ValueError, KeyError, TypeError) as error:
        raise errors.InvalidInputError(f"not a message: {error}", step="assemble") from error
