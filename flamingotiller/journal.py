"""Durable storage of the replicated log: an abstract journal, one in memory and one on disk.

Nothing written counts until ``sync`` returns. Each record on disk carries a magic number, its
length and a CRC-32; a torn record at the end is dropped, any other damage is refused."""

from __future__ import annotations

import abc
import dataclasses
import os
import pathlib
import struct
import typing
import zlib

import orjson

from flamingotiller import errors, events

_HEAD = struct.Struct(">4sII")
_MAGIC = b"FTR1"


@dataclasses.dataclass(frozen=True)
class Entry:
    """An entry of the replicated log.

    Attributes:
        index: Position, from 1.
        term: Term of the leader that made it.
        kind: ``noop``, ``members`` or ``command``.
        body: JSON value; opaque to replication except for ``members``.
    """

    index: int
    term: int
    kind: str
    body: typing.Any

    def to_wire(self) -> list[typing.Any]:
        """Returns the JSON form."""
        return [self.index, self.term, self.kind, self.body]


@dataclasses.dataclass(frozen=True)
class Snapshot:
    """State up to an entry, which replaces the log before it.

    Attributes:
        index: Last entry that the snapshot covers.
        term: Term of that entry.
        members: Membership in force at that entry.
        state: JSON value of the state machine.
    """

    index: int = 0
    term: int = 0
    members: typing.Any = None
    state: typing.Any = None


class Journal(abc.ABC):
    """Term, vote, log and snapshot of one replica.

    Attributes:
        identity: Name of the member that this journal belongs to.
        term: Latest term seen.
        voted_for: Identity voted for in ``term``, empty if none.
        snapshot: Latest snapshot.
        entries: Entries after the snapshot, in order.
    """

    def __init__(self, identity: str) -> None:
        self.identity = identity
        self.term = 0
        self.voted_for = ""
        self.snapshot = Snapshot()
        self.entries: list[Entry] = []

    @property
    def last_index(self) -> int:
        """Index of the last entry, that of the snapshot when there is none after it."""
        return self.entries[-1].index if self.entries else self.snapshot.index

    @property
    def last_term(self) -> int:
        """Term of the last entry."""
        return self.entries[-1].term if self.entries else self.snapshot.term

    def term_at(self, index: int) -> int | None:
        """Returns the term of an entry, None when it is not held any more or not yet."""
        if index == self.snapshot.index:
            return self.snapshot.term
        offset = index - self.snapshot.index - 1
        return self.entries[offset].term if 0 <= offset < len(self.entries) else None

    def slice(self, start: int, limit: int) -> list[Entry]:
        """Returns up to ``limit`` entries from index ``start``."""
        offset = start - self.snapshot.index - 1
        return self.entries[offset : offset + limit]

    def set_vote(self, term: int, voted_for: str) -> None:
        """Records the term and the vote."""
        self.term, self.voted_for = term, voted_for
        self._write({"vote": [term, voted_for]})

    def append(self, entry: Entry) -> None:
        """Adds an entry after the last one."""
        self.entries.append(entry)
        self._write({"entry": entry.to_wire()})

    def truncate(self, index: int) -> None:
        """Drops the entries from ``index`` on."""
        del self.entries[index - self.snapshot.index - 1 :]
        self._write({"truncate": index})

    def compact(self, snapshot: Snapshot) -> None:
        """Replaces the log up to the snapshot's index by the snapshot, durably."""
        kept = [entry for entry in self.entries if entry.index > snapshot.index]
        self.snapshot, self.entries = snapshot, kept
        self._rewrite()

    def install(self, snapshot: Snapshot) -> None:
        """Replaces the whole log by a snapshot of the leader, durably."""
        self.snapshot, self.entries = snapshot, []
        self._rewrite()

    @property
    @abc.abstractmethod
    def dirty(self) -> bool:
        """Whether anything written is not durable yet."""

    def rewrite(self) -> None:
        """Writes everything afresh, whatever a failed write has left behind.

        Raises:
            errors.SyncFailedError: Nothing since the last good sync may be relied on.
        """
        self._rewrite()

    @abc.abstractmethod
    def _write(self, record: dict[str, typing.Any]) -> None:
        """Buffers a record."""

    @abc.abstractmethod
    def _rewrite(self) -> None:
        """Writes snapshot, vote and remaining entries afresh and makes them durable."""

    @abc.abstractmethod
    def sync(self) -> None:
        """Makes everything written durable.

        Raises:
            errors.SyncFailedError: Nothing since the last good sync may be relied on.
        """

    def close(self) -> None:  # noqa: B027 - a journal in memory holds nothing
        """Releases what the journal holds."""


class MemoryJournal(Journal):
    """Journal in memory; ``crash`` gives what a disk would hold after a power cut."""

    def __init__(self, identity: str) -> None:
        super().__init__(identity)
        self._synced = self._copy()
        self.sync_error: Exception | None = None

    def _copy(self) -> tuple[int, str, Snapshot, list[Entry]]:
        return self.term, self.voted_for, self.snapshot, list(self.entries)

    @property
    def dirty(self) -> bool:
        """Whether the content differs from what a crash would leave."""
        return self._copy() != self._synced

    def _write(self, record: dict[str, typing.Any]) -> None:
        pass

    def _rewrite(self) -> None:
        self.sync()

    def sync(self) -> None:
        """Remembers the present content as durable."""
        if self.sync_error:
            raise errors.SyncFailedError(str(self.sync_error), step="sync")
        self._synced = self._copy()

    def crash(self) -> MemoryJournal:
        """Returns a journal with the content of the last sync."""
        revived = MemoryJournal(self.identity)
        revived.term, revived.voted_for, revived.snapshot, held = self._synced
        revived.entries = list(held)
        revived.sync()
        return revived


class DiskJournal(Journal):
    """Journal in a data folder.

    Args:
        folder: Data folder; holds ``identity``, ``log`` and ``snapshot``.

    Raises:
        errors.StorageError: The folder cannot be used.
        errors.CorruptRecordError: A record other than a torn tail is damaged.
    """

    def __init__(self, folder: pathlib.Path) -> None:
        self._folder = folder
        try:
            super().__init__((folder / "identity").read_text(encoding="utf-8").strip())
            self._load_snapshot()
            self._load_log()
            self._file = open(folder / "log", "ab", buffering=0)  # noqa: SIM115
        except OSError as error:
            raise errors.StorageError(f"cannot open {folder}: {error}", step="open") from error
        self._buffer = bytearray()

    @staticmethod
    def create(folder: pathlib.Path, identity: str) -> None:
        """Makes a blank data folder.

        Raises:
            errors.StorageError: The folder already holds a journal or cannot be written.
        """
        if (folder / "identity").exists():
            raise errors.StorageError(f"{folder} already belongs to a member", step="create")
        try:
            folder.mkdir(parents=True, exist_ok=True)
            _write_durably(folder / "log", b"")
            _write_durably(folder / "identity", identity.encode())
        except OSError as error:
            raise errors.StorageError(f"cannot create {folder}: {error}", step="create") from error

    def _load_snapshot(self) -> None:
        path = self._folder / "snapshot"
        if not path.exists():
            return
        data = path.read_bytes()
        body, length = _decode(data, 0)
        if body is None or length != len(data):
            raise errors.CorruptRecordError(f"{path} fails its checksum", step="load snapshot")
        self.snapshot = Snapshot(**orjson.loads(body))

    def _load_log(self) -> None:
        path = self._folder / "log"
        data = path.read_bytes()
        offset = 0
        while offset < len(data):
            body, length = _decode(data, offset)
            if body is None:
                self._drop_torn_tail(path, data, offset)
                return
            self._replay(orjson.loads(body))
            offset += length

    def _drop_torn_tail(self, path: pathlib.Path, data: bytes, offset: int) -> None:
        if not _is_torn(data, offset):
            raise errors.CorruptRecordError(f"{path} is damaged at byte {offset}", step="load log")
        events.emit(events.TAIL_DROPPED, bytes=len(data) - offset)
        with open(path, "r+b") as file:
            file.truncate(offset)
            os.fsync(file.fileno())

    def _replay(self, record: dict[str, typing.Any]) -> None:
        if "vote" in record:
            self.term, self.voted_for = record["vote"]
        elif "truncate" in record:
            self.entries = [e for e in self.entries if e.index < record["truncate"]]
        else:
            entry = Entry(*record["entry"])
            if entry.index > self.snapshot.index:
                self.entries.append(entry)

    @property
    def dirty(self) -> bool:
        """Whether records are buffered."""
        return bool(self._buffer)

    def _write(self, record: dict[str, typing.Any]) -> None:
        self._buffer += _encode(orjson.dumps(record))

    def _rewrite(self) -> None:
        try:
            self._buffer.clear()
            body = orjson.dumps(dataclasses.asdict(self.snapshot))
            _write_durably(self._folder / "snapshot", _encode(body))
            self._write({"vote": [self.term, self.voted_for]})
            for entry in self.entries:
                self._write({"entry": entry.to_wire()})
            _write_durably(self._folder / "log", bytes(self._buffer))
            self._buffer.clear()
            self._file.close()
            self._file = open(self._folder / "log", "ab", buffering=0)  # noqa: SIM115
        except OSError as error:
            raise errors.SyncFailedError(f"cannot write: {error}", step="compact") from error

    def sync(self) -> None:
        """Writes and syncs the buffered records."""
        if not self._buffer:
            return
        try:
            view = memoryview(bytes(self._buffer))
            while view:
                view = view[self._file.write(view) or 0 :]
            os.fsync(self._file.fileno())
        except OSError as error:
            raise errors.SyncFailedError(f"cannot sync: {error}", step="sync") from error
        self._buffer.clear()

    def close(self) -> None:
        """Closes the log file."""
        self._file.close()


def _encode(body: bytes) -> bytes:
    return _HEAD.pack(_MAGIC, len(body), zlib.crc32(body)) + body


def _decode(data: bytes, offset: int) -> tuple[bytes | None, int]:
    """Returns the body of the record at ``offset`` and the record's length, None if damaged."""
    if offset + _HEAD.size > len(data):
        return None, 0
    magic, length, checksum = _HEAD.unpack_from(data, offset)
    start = offset + _HEAD.size
    body = data[start : start + length]
    if magic != _MAGIC or len(body) != length or zlib.crc32(body) != checksum:
        return None, 0
    return body, _HEAD.size + length


def _is_torn(data: bytes, offset: int) -> bool:
    """Returns whether the damage at ``offset`` can come from a write that was cut short.

    A cut write leaves a prefix of the record, or zeros where data was not written yet, and no
    whole record after it. Anything else is damage to synced data.
    """
    probe = data.find(_MAGIC, offset + 1)
    while probe != -1:
        if _decode(data, probe)[0] is not None:
            return False
        probe = data.find(_MAGIC, probe + 1)
    tail = data[offset:]
    if len(tail) < _HEAD.size or not tail.strip(b"\0"):
        return True
    _, length, _ = _HEAD.unpack_from(tail)
    cut_short = tail[:4] == _MAGIC and len(tail) < _HEAD.size + length
    return cut_short or tail[-1] == 0


def _write_durably(path: pathlib.Path, data: bytes) -> None:
    temporary = path.with_suffix(".new")
    with open(temporary, "wb") as file:
        file.write(data)
        file.flush()
        os.fsync(file.fileno())
    os.replace(temporary, path)
    folder = os.open(path.parent, os.O_RDONLY)
    try:
        os.fsync(folder)
    finally:
        os.close(folder)
