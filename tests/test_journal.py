"""Journals: one contract for memory and disk, and a table of damage for the disk."""

import contextlib
import errno
import os

import pytest

from flamingotiller import errors, journal


def entry(index, term=1, body=None):
    return journal.Entry(index, term, "command", body or {"value": index})


@pytest.fixture(params=["memory", "disk"])
def reopen(request, tmp_path):
    """Returns a function that gives the journal as it is after a crash."""
    if request.param == "memory":
        held = [journal.MemoryJournal("a.0")]

        def crash():
            held[0] = held[0].crash()
            return held[0]

        return crash
    journal.DiskJournal.create(tmp_path / "data", "a.0")
    opened = []

    def crash_disk():
        for item in opened:
            item.close()
        opened.append(journal.DiskJournal(tmp_path / "data"))
        return opened[-1]

    return crash_disk


def test_synced_content_survives_and_the_rest_does_not(reopen):
    store = reopen()
    store.set_vote(3, "b.0")
    store.append(entry(1))
    store.append(entry(2))
    store.sync()
    store.append(entry(3))
    store = reopen()
    assert (store.term, store.voted_for, store.last_index) == (3, "b.0", 2)
    assert store.entries == [entry(1), entry(2)]


def test_truncation_and_snapshot_survive(reopen):
    store = reopen()
    for index in range(1, 8):
        store.append(entry(index))
    store.truncate(6)
    store.append(entry(6, term=2))
    store.sync()
    store.compact(journal.Snapshot(4, 1, {"voters": {}, "learners": {}}, {"state": 1}))
    store = reopen()
    assert store.snapshot.index == 4
    assert [e.index for e in store.entries] == [5, 6]
    assert store.term_at(6) == 2
    assert store.term_at(4) == 1
    assert store.term_at(3) is None
    store.install(journal.Snapshot(9, 3, None, {"state": 2}))
    store = reopen()
    assert (store.last_index, store.last_term, store.entries) == (9, 3, [])


def written(tmp_path, count=3):
    folder = tmp_path / "data"
    journal.DiskJournal.create(folder, "a.0")
    store = journal.DiskJournal(folder)
    for index in range(1, count + 1):
        store.append(entry(index))
    store.sync()
    store.close()
    return folder


@pytest.mark.parametrize("cut", range(1, 40, 3))
def test_torn_tail_is_dropped(tmp_path, cut):
    folder = written(tmp_path)
    data = (folder / "log").read_bytes()
    (folder / "log").write_bytes(data[:-cut])
    store = journal.DiskJournal(folder)
    assert [e.index for e in store.entries] == [1, 2]
    store.append(entry(3))
    store.sync()
    store.close()
    assert journal.DiskJournal(folder).last_index == 3


def test_tail_of_zeros_is_dropped(tmp_path):
    folder = written(tmp_path)
    with open(folder / "log", "ab") as file:
        file.write(b"\0" * 100)
    assert journal.DiskJournal(folder).last_index == 3


@pytest.mark.parametrize("where", [0, 5, 9, 20, -1])
def test_damage_to_synced_data_is_refused(tmp_path, where):
    folder = written(tmp_path)
    data = bytearray((folder / "log").read_bytes())
    data[where] ^= 0xFF
    (folder / "log").write_bytes(bytes(data))
    with pytest.raises(errors.CorruptRecordError):
        journal.DiskJournal(folder)


def test_damaged_snapshot_is_refused(tmp_path):
    folder = written(tmp_path)
    store = journal.DiskJournal(folder)
    store.compact(journal.Snapshot(2, 1, None, {}))
    store.close()
    data = bytearray((folder / "snapshot").read_bytes())
    data[-1] ^= 1
    (folder / "snapshot").write_bytes(bytes(data))
    with pytest.raises(errors.CorruptRecordError):
        journal.DiskJournal(folder)


@pytest.mark.parametrize("number", [errno.ENOSPC, errno.EIO])
def test_failed_sync_is_reported(tmp_path, monkeypatch, number):
    store = journal.DiskJournal(written(tmp_path))

    def fail(_):
        raise OSError(number, os.strerror(number))

    monkeypatch.setattr(os, "fsync", fail)
    store.append(entry(4))
    with pytest.raises(errors.SyncFailedError):
        store.sync()


def test_folder_of_a_member_is_not_founded_again(tmp_path):
    folder = written(tmp_path)
    with pytest.raises(errors.StorageError):
        journal.DiskJournal.create(folder, "a.0")


def written_in_two_syncs(tmp_path):
    """Returns a folder whose log was synced after three entries and after five more, and the size
    of the log at the first sync."""
    folder = written(tmp_path)
    synced = (folder / "log").stat().st_size
    store = journal.DiskJournal(folder)
    for index in range(4, 9):
        store.append(entry(index, body={"value": "x" * 700}))
    store.sync()
    store.close()
    return folder, synced


@pytest.mark.parametrize("lost_sector", range(7))
def test_write_of_which_one_sector_did_not_reach_the_disk_is_dropped_from_there_on(
    tmp_path, lost_sector
):
    """After a loss of power stewards did not start again, and no leader was elected: a disk writes
    the sectors of a write in any order, so whole records can follow a gap."""
    folder, synced = written_in_two_syncs(tmp_path)
    data = bytearray((folder / "log").read_bytes())
    start = max(synced, (synced // 512 + lost_sector) * 512)
    end = min(len(data), (start // 512 + 1) * 512)
    assert start < end
    data[start:end] = bytes(end - start)
    (folder / "log").write_bytes(bytes(data))
    large = [entry(index, body={"value": "x" * 700}) for index in range(4, 9)]
    with contextlib.closing(journal.DiskJournal(folder)) as store:
        assert store.entries[:3] == [entry(1), entry(2), entry(3)]
        # Whole records before the gap may stay, those after it may not.
        before_gap = (start - synced) // (len(data[synced:]) // len(large))
        assert store.entries[3:] == large[:before_gap]


@pytest.mark.parametrize("kept", range(1, 13))
def test_write_of_which_a_part_of_a_header_reached_the_disk_is_dropped(tmp_path, kept):
    """After a loss of power a steward did not start again: a header without a length, followed by
    zeros, passed for a record with an empty body."""
    folder, synced = written_in_two_syncs(tmp_path)
    data = (folder / "log").read_bytes()
    (folder / "log").write_bytes(data[: synced + kept] + bytes(len(data) - synced - kept))
    with contextlib.closing(journal.DiskJournal(folder)) as store:
        assert store.last_index == 3


def test_lost_sector_before_a_later_sync_is_refused(tmp_path):
    folder, synced = written_in_two_syncs(tmp_path)
    store = journal.DiskJournal(folder)
    store.append(entry(9))
    store.sync()
    store.close()
    data = bytearray((folder / "log").read_bytes())
    data[synced + 600 : synced + 1112] = bytes(512)
    (folder / "log").write_bytes(bytes(data))
    with pytest.raises(errors.CorruptRecordError):
        journal.DiskJournal(folder)


def test_entry_that_cannot_be_written_is_not_kept_in_memory(tmp_path):
    journal.DiskJournal.create(tmp_path / "member", "n.0")
    with contextlib.closing(journal.DiskJournal(tmp_path / "member")) as store:
        deep = []
        for _ in range(300):
            deep = [deep]
        with pytest.raises(errors.InvalidInputError):
            store.append(journal.Entry(1, 1, "command", deep))
        assert (store.entries, store.dirty) == ([], False)
        store.append(journal.Entry(1, 1, "command", 1))
        store.sync()
    assert journal.DiskJournal(tmp_path / "member").last_index == 1
