"""State machine of the fleet's log: repeated and concurrent updates, endpoint lifetimes, late
reports, snapshots, and the tables, views and patches that go with it."""

import dataclasses

import hypothesis
import hypothesis.strategies as st
import orjson
import pytest

from flamingotiller.fleet import model, patch, state, table


def configure(version, base, digest="d", items=None, base_known=True):
    """Returns a log command. ``base_known`` states whether its proposer had applied the base
    version and so could compute the patches."""
    return {
        "kind": "configure",
        "version": version,
        "base": base,
        "digest": digest,
        "items": {"set": items or {}} if base_known else None,
        "source": {"set": {"version": version, "by": digest}} if base_known else None,
    }


def report(id_="e1", born=1000, sequence=1, address="10.0.0.1:80", **fields):
    record = model.Endpoint(id_, born, sequence, "search", address, "a", 4, **fields)
    return {"kind": "report", "endpoint": model.to_document(record)}


def leave(id_="e1", born=1000, silent=False):
    return {"kind": "leave", "id": id_, "born_ms": born, "silent": silent}


def run(*commands, fleet=None):
    fleet = fleet or state.FleetState()
    first = fleet.table.revision + 1
    return fleet, [fleet.apply(c, first + i).verdict for i, c in enumerate(commands)]


@pytest.mark.parametrize(
    ("commands", "verdicts", "version"),
    [
        ([configure(3, 0), configure(7, 3)], ["accepted", "accepted"], 7),
        ([configure(3, 0), configure(3, 0)], ["accepted", "accepted"], 3),
        ([configure(3, 0), configure(7, 3), configure(3, 0)], ["accepted"] * 3, 7),
        ([configure(3, 0), configure(3, 0, "other")], ["accepted", "conflict"], 3),
        ([configure(3, 0), configure(5, 3, "x"), configure(5, 3, "y")],
         ["accepted", "accepted", "conflict"], 5),
        ([configure(3, 0), configure(3, 3, "x")], ["accepted", "stale"], 3),
        ([configure(3, 0), configure(2, 3, "x")], ["accepted", "stale"], 3),
        ([configure(3, 1)], ["conflict"], 0),
        ([configure(3, 0, base_known=False)], ["conflict"], 0),
        ([configure(3, 0), configure(3, 0, base_known=False)], ["accepted", "accepted"], 3),
    ],
)  # fmt: skip
def test_repeated_updates_are_accepted_and_one_of_concurrent_updates_wins(
    commands, verdicts, version
):
    fleet, actual = run(*commands)
    assert actual == verdicts
    assert fleet.version == version


def test_refused_update_changes_nothing():
    fleet, _ = run(configure(3, 0, items={"route/a": {"x": 1}}))
    before = fleet.dump()
    fleet.apply(configure(4, 1, "late", items={"route/b": {}}), 9)
    after = fleet.dump()
    before["table"].pop("revision")
    after["table"].pop("revision")
    assert after == before


def test_update_removes_dropped_items_and_keeps_the_others():
    fleet, _ = run(
        report(),
        configure(1, 0, items={"route/a": {"x": 1}, "route/b": {"x": 2}}),
        {
            **configure(2, 1, "e"),
            "items": {"set": {"route/c": {"x": 3}}, "drop": ["route/a"]},
        },
    )
    assert sorted(fleet.table.item_by_subject) == ["endpoint/e1", "route/b", "route/c", "version/"]
    delta = fleet.table.since(2)
    assert delta.items == {"route/a": None, "route/c": {"x": 3}, "version/": {"version": 2}}


@pytest.mark.parametrize(
    ("commands", "alive"),
    [
        ([report(), report(sequence=2, draining=True), report(sequence=3)], {"e1": True}),
        ([report(sequence=5, draining=True), report(sequence=4)], {"e1": True}),
        ([report(), leave(), report(sequence=9)], {}),
        ([report(), leave(silent=True), report(sequence=9)], {"e1": False}),
        ([report(), leave(silent=True), report(sequence=1)], {}),
        ([report(), leave(), report(born=2000)], {"e1": False}),
        ([report(born=2000), leave(born=1000)], {"e1": False}),
        ([report(born=2000), report(born=1000, sequence=99)], {"e1": False}),
        ([report("old"), report("new", born=2000)], {"new": False}),
        ([report("new", born=2000), report("old", sequence=50)], {"new": False}),
        ([report("old"), report("new", born=2000), report("old", sequence=7)], {"new": False}),
    ],
)
def test_late_reports_do_not_restore_drained_departed_or_replaced_endpoints(commands, alive):
    fleet, _ = run(*commands)
    assert {e.id: e.draining for e in fleet.endpoints()} == alive


def test_endpoints_are_cold_after_an_evacuation_of_their_zone_ends():
    service = {"name": "search", "max_connections": 9, "cold_s": 3.0, "cold_rate": 20.0}
    fleet, _ = run(
        configure(1, 0, items={"service/search": service}),
        report(),
        {"kind": "evacuate", "zone": "a", "active": True},
    )
    assert "evacuation/a" in fleet.table.item_by_subject
    run({"kind": "evacuate", "zone": "a", "active": False}, fleet=fleet)
    assert "evacuation/a" not in fleet.table.item_by_subject
    assert fleet.endpoint("e1").cold_s == 3.0


command_strategy = st.one_of(
    st.builds(
        configure,
        st.integers(1, 6),
        st.integers(0, 5),
        st.sampled_from("xy"),
        items=st.dictionaries(st.sampled_from(["route/a", "route/b"]), st.just({"x": 1})),
    ),
    st.builds(
        report,
        st.sampled_from(["e1", "e2"]),
        st.sampled_from([1000, 2000]),
        st.integers(1, 4),
        st.sampled_from(["10.0.0.1:80", "10.0.0.2:80"]),
        draining=st.booleans(),
    ),
    st.builds(leave, st.sampled_from(["e1", "e2"]), st.sampled_from([1000, 2000]), st.booleans()),
    st.builds(
        lambda zone, active: {"kind": "evacuate", "zone": zone, "active": active},
        st.sampled_from("ab"),
        st.booleans(),
    ),
)


@hypothesis.settings(derandomize=True, max_examples=300, deadline=None)
@hypothesis.given(st.lists(command_strategy, max_size=25), st.integers(0, 25))
def test_deltas_and_snapshots_keep_readers_equal_and_versions_never_decrease(commands, restart_at):
    fleet = state.FleetState()
    reader = table.Table()
    versions = []
    for index, command in enumerate(commands, 1):
        fleet.apply(command, index)
        versions.append(fleet.version)
        if index == restart_at:
            fleet = state.FleetState.load(fleet.dump())
        if index % 3 == 0:
            apply_delta(reader, fleet.table)
    apply_delta(reader, fleet.table)
    assert reader.item_by_subject == fleet.table.item_by_subject
    assert versions == sorted(versions)
    addresses = [e.address for e in fleet.endpoints()]
    assert len(addresses) == len(set(addresses))


def apply_delta(reader, source):
    delta = source.since(reader.revision)
    if delta.full:
        reader.item_by_subject.clear()
    for subject, document in delta.items.items():
        if document is None:
            reader.item_by_subject.pop(subject, None)
        else:
            reader.item_by_subject[subject] = document
    reader.revision = delta.revision


def test_history_is_bounded_and_a_reader_behind_it_gets_all_items(monkeypatch):
    monkeypatch.setattr(table, "MAX_CHANGES", 4)
    source = table.Table()
    for number in range(1, 10):
        source.begin(number)
        source.put(f"route/{number}", {"x": number})
    assert source.since(2).full
    assert not source.since(7).full
    assert sorted(source.since(7).items) == ["route/8", "route/9"]


def test_view_matches_the_longest_prefix_and_finds_the_organisation_of_a_key():
    route = model.Route(
        "r1",
        "h",
        "/a/",
        True,
        1.0,
        0.1,
        0,
        (model.WeightedService("s", 1.0),),
        2,
        False,
        True,
        frozenset(),
    )
    longer = dataclasses.replace(route, name="r2", prefix="/a/b/", regions=frozenset({"x"}))
    organisation = model.Organisation("o", (model.key_digest("k"),), 0, 1.0, 1.0, frozenset())
    view = model.View()
    view.replace(
        {
            "route/r1": model.to_document(route),
            "route/r2": model.to_document(longer),
            "organisation/o": model.to_document(organisation),
        }
    )
    assert view.match("h", "/a/b/c") == longer
    assert view.match("h", "/a/bc") == route
    assert view.match("h", "/b") is None
    assert view.organisation_of_key("k") == organisation
    assert view.organisation_of_key("other") is None
    view.update({"route/r2": None, "organisation/o": None})
    assert view.match("h", "/a/b/c") == route
    assert view.organisation_of_key("k") is None


json_values = st.recursive(
    st.integers() | st.text(max_size=2) | st.none(),
    lambda inner: st.dictionaries(st.sampled_from("abc"), inner, max_size=3),
    max_leaves=12,
)


@hypothesis.settings(derandomize=True, max_examples=300, deadline=None)
@hypothesis.given(
    st.dictionaries(st.sampled_from("xyz"), json_values),
    st.dictionaries(st.sampled_from("xyz"), json_values),
    st.integers(1, 3),
)
def test_patch_turns_any_table_into_any_other(old, new, depth):
    before = repr(old)
    assert patch.apply(old, patch.difference(old, new, depth)) == new
    assert repr(old) == before
    assert patch.difference(new, new, depth) == {}
    assert patch.apply(None, patch.difference(None, new, depth)) == new


def test_change_of_one_route_among_many_is_a_small_patch():
    """Guards against large log entries when configurations with hundreds of routes each follow one
    another quickly."""
    old = {
        "version": "r1",
        "routes": {f"r{n}": {"host": "h", "path": f"/{n}/"} for n in range(400)},
    }
    new = {**old, "version": "r2", "routes": {**old["routes"], "r7": {"host": "h", "path": "/x/"}}}
    assert patch.difference(old, new) == {
        "set": {"version": "r2"},
        "into": {"routes": {"set": {"r7": {"host": "h", "path": "/x/"}}}},
    }


LATER_COMMANDS = [
    configure(5, 3, items={"route/r": {"path": "/new"}, "service/t": {"cold_s": 1.0}}),
    {"kind": "evacuate", "zone": "a", "active": True},
    {"kind": "evacuate", "zone": "a", "active": False},
    report("e2", address="10.0.0.2:80"),
    report("e1", sequence=2, draining=True),
    leave("e1"),
    leave("e2", silent=True),
    {"kind": "locate", "identity": "n.2", "zone": "b"},
    {"kind": "suspect", "documents": {"f": {"deaths": 1}}},
]


def test_snapshot_is_not_changed_by_later_commands():
    """A snapshot that was sent later than it was taken held later changes, so that its receiver did
    not tell gateways of a key that was withdrawn in between."""
    items = {"organisation/o": {"keys": ["k"]}, "service/search": {"cold_s": 1.0}}
    fleet, _ = run(configure(3, 0, items=items), report())
    snapshot = fleet.dump()
    taken = orjson.dumps(snapshot)
    for command in LATER_COMMANDS:
        run(command, fleet=fleet)
        assert orjson.dumps(snapshot) == taken, command["kind"]
    withdrawal = configure(8, 5)
    withdrawal["items"] = {"drop": ["organisation/o"]}
    run(withdrawal, fleet=fleet)
    assert orjson.dumps(snapshot) == taken
    follower = state.FleetState.load(snapshot)
    reader_revision = follower.table.revision
    run(*LATER_COMMANDS, withdrawal, fleet=follower)
    assert follower.dump() == fleet.dump()
    delta = follower.table.since(reader_revision)
    assert not delta.full
    assert delta.items["organisation/o"] is None


RAISE_LEVEL = {"kind": "locate", "identity": "n", "zone": "a", "level": state.LEVEL}


@pytest.mark.parametrize(
    ("before", "departure", "late"),
    [
        # The endpoint was silent when it left, and a report from before arrives later;
        ([report(), leave(silent=True)], leave(), report(sequence=5)),
        ([report(), leave(silent=True)], leave(born=None), report(sequence=5)),
        # its first report, or the first of a new lifetime, is late;
        ([], leave(), report()),
        ([report()], leave(born=2000), report(born=2000, sequence=1)),
        # a silence is noticed only after it has left.
        ([report()], leave(), report(sequence=5)),
    ],
)
def test_departure_of_an_endpoint_that_is_not_in_the_table_is_recorded(before, departure, late):
    """It was acknowledged and forgotten: a late report put the endpoint back into use."""
    fleet, verdicts = run(RAISE_LEVEL, *before, departure, late)
    assert verdicts[-2:] == ["accepted", "ignored"]
    lifetime = late["endpoint"]["born_ms"]
    assert not fleet.endpoint("e1") or fleet.endpoint("e1").born_ms != lifetime
    restored = state.FleetState.load(fleet.dump())
    _, verdicts = run(late, report(born=9000, sequence=1), fleet=restored)
    assert verdicts == ["ignored", "accepted"]


def test_late_departure_of_an_earlier_lifetime_leaves_the_present_one():
    fleet, verdicts = run(RAISE_LEVEL, report(born=2000), leave(silent=True, born=2000), leave())
    assert verdicts[-1] == "ignored"
    _, verdicts = run(report(born=2000, sequence=2), fleet=fleet)
    assert verdicts == ["accepted"]


def test_departures_have_the_effect_of_earlier_builds_until_all_members_know_the_new_one():
    fleet, verdicts = run(report(), leave(silent=True), leave(), report(sequence=5))
    assert verdicts == ["accepted", "accepted", "ignored", "accepted"]
    assert state.FleetState.load(fleet.dump()).level == 0


def begin_and_end_evacuation(zone="a"):
    return [{"kind": "evacuate", "zone": zone, "active": active} for active in (True, False)]


def test_each_end_of_an_evacuation_differs_for_those_who_read_the_table():
    """Guards against a second evacuation whose end tells nobody that endpoints are cold."""
    service = model.to_document(model.Service("search", 100, 3.0, 20.0))
    fleet, _ = run(RAISE_LEVEL, configure(1, 0, items={"service/search": service}), report())
    seen = []
    for _ in range(3):
        revision = fleet.table.revision
        index = revision
        for command in begin_and_end_evacuation():
            index += 1
            fleet.apply(command, index)
        items = fleet.table.since(revision).items
        seen.append(items["endpoint/e1"]["cold_s"])
        fleet = state.FleetState.load(fleet.dump())
    assert seen == sorted(set(seen))
    assert seen == pytest.approx([3.0] * 3)


def test_ends_of_evacuations_are_as_in_earlier_builds_until_all_members_know_the_new_ones():
    service = model.to_document(model.Service("search", 100, 3.0, 20.0))
    items = {"service/search": service}
    level_1 = {**RAISE_LEVEL, "level": 1}
    fleet, _ = run(level_1, configure(1, 0, items=items), report(), *begin_and_end_evacuation())
    assert fleet.table.item_by_subject["endpoint/e1"]["cold_s"] == 3.0
