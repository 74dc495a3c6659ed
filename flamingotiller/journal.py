"""Storage of the replicated log: an abstract journal, one in memory for tests and one on disk.

Written data is durable only after ``sync`` returns. Each record on disk starts with a magic number,
its length and a CRC-32, and tells where the write began that it belongs to. What an interrupted
write has left is dropped when the journal is opened; any other damage raises an error."""

from __future__ import annotations

import abc
import dataclasses
import functools
import os
import pathlib
import struct
import typing
import zlib

import orjson

from flamingotiller import errors, events

_HEADER = struct.Struct(">4sII")
_MAGIC = b"FTR1"
_SET_ASIDE_SUFFIX = ".damaged"
# Sectors that were not written read as zeros. Records have no zero bytes but in their headers, and
# damage to written data hardly leaves this many in a row.
_UNWRITTEN = bytes(8)


@dataclasses.dataclass(frozen=True)
class Entry:
    """An entry of the replicated log.

    Attributes:
        index: Position, from 1.
        term: Term of the leader that created it.
        kind: ``noop``, ``members`` or ``command``.
        body: JSON value; replication interprets it only for ``members``.
    """

    index: int
    term: int
    kind: str
    body: typing.Any

    def to_wire(self) -> list[typing.Any]:
        """Returns the JSON representation."""
        return [self.index, self.term, self.kind, self.body]

    @functools.cached_property
    def byte_count(self) -> int:
        """Length of the JSON representation in bytes."""
        return len(orjson.dumps(self.to_wire()))


@dataclasses.dataclass(frozen=True)
class Snapshot:
    """State after an entry, replacing the log up to and including that entry.

    Attributes:
        index: Index of the last entry that the snapshot covers.
        term: Term of that entry.
        members: JSON representation of the membership as of that entry, None if there is none.
        state: State of the state machine, as a JSON value.
    """

    index: int = 0
    term: int = 0
    members: typing.Any = None
    state: typing.Any = None

    @functools.cached_property
    def byte_count(self) -> int:
        """Length of the state's JSON text in bytes."""
        return len(orjson.dumps(self.state))


class Journal(abc.ABC):
    """Term, vote, log and snapshot of one replica.

    Attributes:
        identity: Identity of the member that owns this journal.
        term: Current term.
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
        # Number of entries counted in ``_entry_bytes``, and their length.
        self._counted_entries = 0
        self._entry_bytes = 0

    @property
    def last_index(self) -> int:
        """Index of the last entry, or of the snapshot if no entry follows it."""
        return self.entries[-1].index if self.entries else self.snapshot.index

    @property
    def last_term(self) -> int:
        """Term of the last entry, or of the snapshot if no entry follows it."""
        return self.entries[-1].term if self.entries else self.snapshot.term

    def term_at(self, index: int) -> int | None:
        """Returns the term of an entry, None if it was compacted or is not in the log yet."""
        if index == self.snapshot.index:
            return self.snapshot.term
        offset = index - self.snapshot.index - 1
        return self.entries[offset].term if 0 <= offset < len(self.entries) else None

    @property
    def entry_bytes(self) -> int:
        """Length of the entries' JSON representations in bytes."""
        for entry in self.entries[self._counted_entries :]:
            self._entry_bytes += entry.byte_count
        self._counted_entries = len(self.entries)
        return self._entry_bytes

    def _recount(self) -> None:
        self._counted_entries = self._entry_bytes = 0

    def slice(self, start: int, limit: int, max_bytes: int | None = None) -> list[Entry]:
        """Returns up to ``limit`` entries from index ``start``.

        Args:
            start: Index of the first entry.
            limit: Maximum number of entries.
            max_bytes: Maximum length of their JSON representations together, None for no maximum.
                The first entry is returned even if it is longer.
        """
        offset = start - self.snapshot.index - 1
        entries = self.entries[offset : offset + limit]
        if max_bytes is None:
            return entries
        total = 0
        for count, entry in enumerate(entries):
            total += entry.byte_count
            if total > max_bytes and count:
                return entries[:count]
        return entries

    def set_vote(self, term: int, voted_for: str) -> None:
        """Sets the current term and the vote in it."""
        self.term, self.voted_for = term, voted_for
        self._write({"vote": [term, voted_for]})

    def append(self, entry: Entry) -> None:
        """Appends an entry.

        Raises:
            errors.InvalidInputError: It cannot be written, and is not appended.
        """
        self._write({"entry": entry.to_wire()})
        self.entries.append(entry)

    def truncate(self, index: int) -> None:
        """Removes the entry at ``index`` and all later ones."""
        del self.entries[index - self.snapshot.index - 1 :]
        self._recount()
        self._write({"truncate": index})

    def compact(self, snapshot: Snapshot) -> None:
        """Replaces the log up to the snapshot's index by the snapshot, durably.

        Raises:
            errors.SyncFailedError: Data written since the last successful sync may not be durable.
        """
        remaining = [entry for entry in self.entries if entry.index > snapshot.index]
        self.snapshot, self.entries = snapshot, remaining
        self._recount()
        self._rewrite()

    def install(self, snapshot: Snapshot) -> None:
        """Replaces the whole log by a snapshot received from the leader, durably.

        Raises:
            errors.SyncFailedError: Data written since the last successful sync may not be durable.
        """
        self.snapshot, self.entries = snapshot, []
        self._recount()
        self._rewrite()

    @property
    @abc.abstractmethod
    def dirty(self) -> bool:
        """Whether there is written data that is not durable yet."""

    def rewrite(self) -> None:
        """Rewrites the whole content durably; repairs what a failed write may have left on disk.

        Raises:
            errors.SyncFailedError: Data written since the last successful sync may not be durable.
        """
        self._rewrite()

    @abc.abstractmethod
    def _write(self, record: dict[str, typing.Any]) -> None:
        """Buffers a record until the next sync."""

    @abc.abstractmethod
    def _rewrite(self) -> None:
        """Rewrites the snapshot, the vote and the remaining entries durably."""

    @abc.abstractmethod
    def sync(self) -> None:
        """Makes all written data durable.

        Raises:
            errors.SyncFailedError: Data written since the last successful sync may not be durable.
        """

    def close(self) -> None:  # noqa: B027 - a journal in memory has nothing to close
        """Closes open files."""


class MemoryJournal(Journal):
    """Journal in memory; ``crash`` returns what a disk would hold after a power cut."""

    def __init__(self, identity: str) -> None:
        super().__init__(identity)
        self._synced = self._copy()
        self.sync_error: Exception | None = None

    def _copy(self) -> tuple[int, str, Snapshot, list[Entry]]:
        return self.term, self.voted_for, self.snapshot, list(self.entries)

    @property
    def dirty(self) -> bool:
        """Whether a crash would change the content."""
        return self._copy() != self._synced

    def _write(self, record: dict[str, typing.Any]) -> None:
        pass

    def _rewrite(self) -> None:
        self.sync()

    def sync(self) -> None:
        """Marks the current content as durable."""
        if self.sync_error:
            raise errors.SyncFailedError(str(self.sync_error), step="sync")
        self._synced = self._copy()

    def crash(self) -> MemoryJournal:
        """Returns a new journal with the content as of the last sync."""
        restored = MemoryJournal(self.identity)
        restored.term, restored.voted_for, restored.snapshot, entries = self._synced
        restored.entries = list(entries)
        restored.sync()
        return restored


class DiskJournal(Journal):
    """Journal in a data folder.

    Args:
        folder: Data folder with the files ``identity``, ``log`` and ``snapshot``.

    Raises:
        errors.StorageError: The folder cannot be read or written.
        errors.CorruptRecordError: A record is damaged and is not a torn one at the end of the log.
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
        """Creates a data folder with an empty journal.

        Raises:
            errors.StorageError: The folder already contains a journal or cannot be written.
        """
        if (folder / "identity").exists():
            raise errors.StorageError(f"{folder} already belongs to a member", step="create")
        try:
            folder.mkdir(parents=True, exist_ok=True)
            # A snapshot without an identity belongs to a journal that is being set aside.
            (folder / "snapshot").unlink(missing_ok=True)
            _write_durably(folder / "log", b"")
            _write_durably(folder / "identity", identity.encode())
        except OSError as error:
            raise errors.StorageError(f"cannot create {folder}: {error}", step="create") from error

    @staticmethod
    def set_aside(folder: pathlib.Path) -> None:
        """Renames a journal's files, so that the folder is blank; replaces files set aside before.

        The identity goes first: without it the folder is blank, whatever is left of the rest.

        Raises:
            errors.StorageError: The folder cannot be written.
        """
        try:
            for name in ("identity", "snapshot", "log"):
                if (folder / name).exists():
                    os.replace(folder / name, folder / f"{name}{_SET_ASIDE_SUFFIX}")
                    _sync_folder(folder)
        except OSError as error:
            raise errors.StorageError(f"cannot set {folder} aside: {error}", step="open") from error

    @staticmethod
    def was_set_aside(folder: pathlib.Path) -> bool:
        """Returns whether a journal in a data folder has been set aside."""
        return (folder / f"identity{_SET_ASIDE_SUFFIX}").exists()

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
                self._drop_torn_write(path, data, offset)
                return
            self._replay(orjson.loads(body))
            offset += length

    def _drop_torn_write(self, path: pathlib.Path, data: bytes, offset: int) -> None:
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
        """Whether buffered records wait for a sync."""
        return bool(self._buffer)

    def _write(self, record: dict[str, typing.Any]) -> None:
        if self._buffer:
            record = {**record, "back": len(self._buffer)}
        try:
            body = orjson.dumps(record)
        except TypeError as error:
            raise errors.InvalidInputError(f"cannot be written: {error}", step="append") from error
        self._buffer += _encode(body)

    def _rewrite(self) -> None:
        try:
            self._buffer.clear()
            body = orjson.dumps(dataclasses.asdict(self.snapshot))
            _write_durably(self._folder / "snapshot", _encode(body))
            records: list[typing.Any] = [{"vote": [self.term, self.voted_for]}]
            records += ({"entry": entry.to_wire()} for entry in self.entries)
            # The file is complete once it has its name, so no record in it can be torn.
            log = b"".join(_encode(orjson.dumps(record)) for record in records)
            _write_durably(self._folder / "log", log)
            self._file.close()
            self._file = open(self._folder / "log", "ab", buffering=0)  # noqa: SIM115
        except OSError as error:
            raise errors.SyncFailedError(f"cannot write: {error}", step="compact") from error

    def sync(self) -> None:
        """Writes the buffered records to the log file and syncs it to disk."""
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
    return _HEADER.pack(_MAGIC, len(body), zlib.crc32(body)) + body


def _decode(data: bytes, offset: int) -> tuple[bytes | None, int]:
    """Returns the body and total length of the record at ``offset``, (None, 0) if damaged."""
    if offset + _HEADER.size > len(data):
        return None, 0
    magic, length, checksum = _HEADER.unpack_from(data, offset)
    start = offset + _HEADER.size
    body = data[start : start + length]
    # No record is empty, but a header of which only a part was written may say so, and the checksum
    # of an empty body is zero.
    if magic != _MAGIC or not length or len(body) != length or zlib.crc32(body) != checksum:
        return None, 0
    return body, _HEADER.size + length


def _is_torn(data: bytes, offset: int) -> bool:
    """Returns whether the damage at ``offset`` can come from an interrupted write.

    A disk writes the sectors of a write in any order, so an interrupted write leaves some of them
    and zeros in place of the others, and records of the same write may follow. A valid record of a
    later write follows only if the damaged one was synced.
    """
    end = len(data)
    probe = data.find(_MAGIC, offset + 1)
    while probe != -1:
        body, _ = _decode(data, probe)
        if body is not None:
            if probe - orjson.loads(body).get("back", 0) > offset:
                return False
            end = min(end, probe)
        probe = data.find(_MAGIC, probe + 1)
    damaged = data[offset:end]
    if damaged[0] == 0 or _UNWRITTEN in damaged:
        return True
    if end < len(data):
        return False
    if len(damaged) < _HEADER.size:
        return True
    _, length, _ = _HEADER.unpack_from(damaged)
    cut_short = damaged[:4] == _MAGIC and len(damaged) < _HEADER.size + length
    return cut_short or damaged[-1] == 0


def _write_durably(path: pathlib.Path, data: bytes) -> None:
    """Replaces a file atomically and syncs both the file and its directory entry."""
    temporary = path.with_suffix(".new")
    with open(temporary, "wb") as file:
        file.write(data)
        file.flush()
        os.fsync(file.fileno())
    os.replace(temporary, path)
    _sync_folder(path.parent)


def _sync_folder(folder: pathlib.Path) -> None:
    folder_descriptor = os.open(folder, os.O_RDONLY)
    try:
        os.fsync(folder_descriptor)
    finally:
        os.close(folder_descriptor)
