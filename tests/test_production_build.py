"""What the build in production has written, read by this one, and the other way round.

``recorded_11048b4.json`` holds commands, snapshots, messages and a journal made by that build."""

import base64
import json
import pathlib

import pytest

from flamingotiller import control, journal, replica_messages
from flamingotiller.fleet import state

RECORDED = json.loads(
    (pathlib.Path(__file__).parent / "recorded_11048b4.json").read_text(encoding="utf-8")
)


def test_commands_have_the_effect_that_they_have_in_production():
    """Members of both builds apply the same entries during a roll."""
    fleet = state.FleetState()
    verdicts = [fleet.apply(c, n).verdict for n, c in enumerate(RECORDED["fleet_commands"], 1)]
    assert verdicts == RECORDED["fleet_verdicts"]
    expected = {**RECORDED["fleet_snapshot"], "level": 0}
    assert json.loads(json.dumps(fleet.dump())) == expected
    control_state = control.ControlState()
    for command in RECORDED["control_commands"]:
        control_state.apply(command)
    assert json.loads(json.dumps(control_state.to_wire())) == RECORDED["control_snapshot"]


def test_snapshots_of_production_are_read_and_keep_the_fields_that_it_reads():
    fleet = state.FleetState.load(RECORDED["fleet_snapshot"])
    assert fleet.level == 0
    dumped = json.loads(json.dumps(fleet.dump()))
    assert {name: dumped[name] for name in RECORDED["fleet_snapshot"]} == RECORDED["fleet_snapshot"]
    snapshot = RECORDED["control_snapshot"]
    assert json.loads(json.dumps(control.ControlState.from_wire(snapshot).to_wire())) == snapshot


@pytest.mark.parametrize("document", RECORDED["messages"], ids=lambda d: d["type"])
def test_messages_of_production_are_read_and_written_alike(document):
    """Production refuses a message with an unknown field."""
    message = replica_messages.message_from_wire(document)
    assert json.loads(json.dumps(replica_messages.message_to_wire(message))) == document


def test_journal_of_production_is_read(tmp_path):
    for name, data in RECORDED["journal_files"].items():
        (tmp_path / name).write_bytes(base64.b64decode(data))
    store = journal.DiskJournal(tmp_path)
    assert (store.identity, store.snapshot.index, store.last_index) == ("n.1", 2, 3)
    assert [entry.kind for entry in store.entries] == ["command"]
    store.close()


def test_level_is_ignored_by_the_rules_of_production():
    """Production applies the entry that raises the level as one that names a zone."""
    command = {"kind": "locate", "identity": "n", "zone": "a"}
    raised, plain = state.FleetState(), state.FleetState()
    raised.apply({**command, "level": state.LEVEL}, 1)
    plain.apply(command, 1)
    assert {**raised.dump(), "level": 0} == plain.dump()
