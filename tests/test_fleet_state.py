"""State machine of the fleet's log: orders sent again and raced, lifetimes and late reports."""

import dataclasses

import hypothesis
import hypothesis.strategies as st
import pytest

from flamingotiller.fleet import model, patch, state, table


def configure(version, base, digest="d", items=None, known=True):
    """A configuration's log entry; with ``known`` its proposer knew the version it builds on."""
    return {
        "kind": "configure",
        "version": version,
        "base": base,
        "digest": digest,
        "items": {"set": items or {}} if known else None,
        "source": {"set": {"version": version, "by": digest}} if known else None,
    }


def report(id_="e1", born=1000, sequence=1, address="10.0.0.1:80", **fields):
    record = model.Endpoint(id_, born, sequence, "search", address, "a", 4, **fields)
    return {"kind": "report", "endpoint": model.to_document(record)}


def leave(id_="e1", born=1000, silent=False):
    return {"kind": "leave", "id": id_, "born_ms": born, "silent": silent}


def run(*commands, held=None):
    held = held or state.FleetState()
    first = held.table.revision + 1
    return held, [held.apply(c, first + i).verdict for i, c in enumerate(commands)]


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
        ([configure(3, 0, known=False)], ["conflict"], 0),
        ([configure(3, 0), configure(3, 0, known=False)], ["accepted", "accepted"], 3),
    ],
)  # fmt: skip
def test_orders_sent_again_are_accepted_again_and_of_racing_ones_one_wins(
    commands, verdicts, version
):
    held, found = run(*commands)
    assert found == verdicts
    assert held.version == version


def test_refused_order_changes_nothing():
    held, _ = run(configure(3, 0, items={"route/a": {"x": 1}}))
    before = held.dump()
    held.apply(configure(4, 1, "late", items={"route/b": {}}), 9)
    after = held.dump()
    before["table"].pop("revision")
    after["table"].pop("revision")
    assert after == before


def test_items_that_a_configuration_no_longer_has_are_removed_and_others_kept():
    held, _ = run(
        report(),
        configure(1, 0, items={"route/a": {"x": 1}, "route/b": {"x": 2}}),
        {
            **configure(2, 1, "e"),
            "items": {"set": {"route/c": {"x": 3}}, "drop": ["route/a"]},
        },
    )
    assert sorted(held.table.item_by_subject) == ["endpoint/e1", "route/b", "route/c", "version/"]
    delta = held.table.since(2)
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
def test_late_reports_of_lifetimes_that_drain_left_or_were_replaced_bring_nothing_back(
    commands, alive
):
    held, _ = run(*commands)
    assert {e.id: e.draining for e in held.endpoints()} == alive


def test_endpoints_of_a_zone_that_is_taken_back_count_as_cold():
    service = {"name": "search", "max_connections": 9, "cold_s": 3.0, "cold_rate": 20.0}
    held, _ = run(
        configure(1, 0, items={"service/search": service}),
        report(),
        {"kind": "evacuate", "zone": "a", "active": True},
    )
    assert "evacuation/a" in held.table.item_by_subject
    run({"kind": "evacuate", "zone": "a", "active": False}, held=held)
    assert "evacuation/a" not in held.table.item_by_subject
    assert held.endpoint("e1").cold_s == 3.0


commands = st.one_of(
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
@hypothesis.given(st.lists(commands, max_size=25), st.integers(0, 25))
def test_snapshots_and_deltas_lead_to_the_same_items_and_versions_never_go_back(given, cut):
    held = state.FleetState()
    reader = table.Table()
    versions = []
    for index, command in enumerate(given, 1):
        held.apply(command, index)
        versions.append(held.version)
        if index == cut:
            held = state.FleetState.load(held.dump())
        if index % 3 == 0:
            catch_up(reader, held.table)
    catch_up(reader, held.table)
    assert reader.item_by_subject == held.table.item_by_subject
    assert versions == sorted(versions)
    addresses = [e.address for e in held.endpoints()]
    assert len(addresses) == len(set(addresses))


def catch_up(reader, source):
    delta = source.since(reader.revision)
    if delta.full:
        reader.item_by_subject.clear()
    for subject, document in delta.items.items():
        if document is None:
            reader.item_by_subject.pop(subject, None)
        else:
            reader.item_by_subject[subject] = document
    reader.revision = delta.revision


def test_history_is_bounded_and_a_reader_behind_it_gets_everything(monkeypatch):
    monkeypatch.setattr(table, "MAX_CHANGES", 4)
    source = table.Table()
    for number in range(1, 10):
        source.begin(number)
        source.put(f"route/{number}", {"x": number})
    assert source.since(2).full
    assert not source.since(7).full
    assert sorted(source.since(7).items) == ["route/8", "route/9"]


def test_view_finds_the_longest_prefix_and_the_organisation_of_a_key():
    parts = (model.WeightedService("s", 1.0),)
    route = model.Route("r1", "h", "/a/", True, 1.0, 0.1, 0, parts, 2, False, True, frozenset())
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


json_tables = st.recursive(
    st.integers() | st.text(max_size=2) | st.none(),
    lambda inner: st.dictionaries(st.sampled_from("abc"), inner, max_size=3),
    max_leaves=12,
)


@hypothesis.settings(derandomize=True, max_examples=300, deadline=None)
@hypothesis.given(
    st.dictionaries(st.sampled_from("xyz"), json_tables),
    st.dictionaries(st.sampled_from("xyz"), json_tables),
    st.integers(1, 3),
)
def test_patch_leads_from_any_table_to_any_other(old, new, depth):
    before = repr(old)
    assert patch.apply(old, patch.difference(old, new, depth)) == new
    assert repr(old) == before
    assert patch.difference(new, new, depth) == {}
    assert patch.apply(None, patch.difference(None, new, depth)) == new


def test_change_of_one_route_among_many_is_a_small_entry():
    """Configurations in quick succession that each carry hundreds of routes."""
    old = {
        "version": "r1",
        "routes": {f"r{n}": {"host": "h", "path": f"/{n}/"} for n in range(400)},
    }
    new = {**old, "version": "r2", "routes": {**old["routes"], "r7": {"host": "h", "path": "/x/"}}}
    assert patch.difference(old, new) == {
        "set": {"version": "r2"},
        "into": {"routes": {"set": {"r7": {"host": "h", "path": "/x/"}}}},
    }
