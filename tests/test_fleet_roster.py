"""Changes of the log's membership and liveness of endpoints: what the leader does next."""

import pytest

from flamingotiller import clock, replica_messages
from flamingotiller.fleet import model, presence, registry, roster, state

NOW = clock.seconds(100)
VOTERS = {"a.1": "a:1", "b.1": "b:1", "c.1": "c:1"}


def members(voters=None, learners=None):
    return replica_messages.Members(voters or dict(VOTERS), learners or {})


def newcomer(identity, address, zone="a", ago=0.0):
    return roster.Newcomer(identity, address, zone, NOW - clock.seconds(ago))


def sighting(match=10, ago=0.0):
    return roster.Sighting(match, NOW - clock.seconds(ago))


def following(held, newcomers=(), sightings=None, zones=None):
    return roster.next_members(held, newcomers, sightings or {}, zones or {}, 10, NOW)


@pytest.mark.parametrize(
    ("held", "newcomers", "sightings", "voters", "learners"),
    [
        # A newcomer learns first.
        (members(), [newcomer("d.1", "d:1")], {}, VOTERS, {"d.1": "d:1"}),
        # It votes once it has caught up.
        (members(None, {"d.1": "d:1"}), [newcomer("d.1", "d:1")], {"d.1": sighting(10)},
         {**VOTERS, "d.1": "d:1"}, {}),
        # A member whose address has a new identity has lost its disk and goes first.
        (members(), [newcomer("c.2", "c:1")], {}, {"a.1": "a:1", "b.1": "b:1"}, {}),
        # A learner that is long silent is forgotten.
        (members(None, {"d.1": "d:1"}), [], {"d.1": sighting(5, 9)}, VOTERS, {}),
    ],
)  # fmt: skip
def test_membership_changes_one_member_at_a_time(held, newcomers, sightings, voters, learners):
    found = following(held, newcomers, sightings)
    assert (found.voters, found.learners) == (voters, learners)


@pytest.mark.parametrize(
    ("held", "newcomers", "sightings"),
    [
        (members(), [], {}),
        (members(), [newcomer("a.1", "a:1")], {}),
        (members(), [newcomer("d.1", "d:1", ago=5)], {}),
        (members(None, {"d.1": "d:1"}), [newcomer("d.1", "d:1")], {"d.1": sighting(9)}),
        # A learner that asks is there, though it has not answered yet.
        (members(None, {"d.1": "d:1"}), [newcomer("d.1", "d:1")], {"d.1": sighting(0, 90)}),
        # A silent voter that nobody replaces stays: its vote may be needed when it is back.
        (members(), [], {"c.1": sighting(10, 60)}),
    ],
)
def test_membership_stays(held, newcomers, sightings):
    assert following(held, newcomers, sightings, {"a.1": "za", "b.1": "zb", "c.1": "zc"}) is None


def test_silent_voter_is_removed_once_another_votes_in_its_zone():
    held = members({**VOTERS, "d.1": "d:1"})
    sightings = {"b.1": sighting(), "c.1": sighting(10, 9), "d.1": sighting()}
    zones = {"a.1": "za", "b.1": "zb", "c.1": "zc", "d.1": "zc"}
    assert "c.1" not in following(held, (), sightings, zones).voters
    assert following(held, (), {**sightings, "d.1": sighting(10, 9)}, zones) is None


def endpoint(**fields):
    given = {"id": "e1", "born_ms": 1000, "sequence": 1, "service": "s", "address": "x:1",
             "zone": "a", "slots": 4, **fields}  # fmt: skip
    return model.Endpoint(**given)


def test_only_starts_drains_and_cold_spells_go_through_the_log():
    held = state.FleetState()
    book = registry.Registry(clock.seconds(1.5), NOW)
    index = 0

    def hear(record, after=0.0):
        nonlocal index
        news = book.needs_log_entry(record, held, NOW + clock.seconds(after))
        if news:
            index += 1
            held.apply({"kind": "report", "endpoint": model.to_document(record)}, index)
        return news

    assert hear(endpoint())
    assert not hear(endpoint(sequence=2), 1.5)
    assert not hear(endpoint(sequence=1, draining=True), 1.6)  # late
    assert hear(endpoint(sequence=3, cold_s=3.0), 2.0)
    assert not hear(endpoint(sequence=4, cold_s=1.5), 3.5)
    assert hear(endpoint(sequence=5, cold_s=3.0), 5.0)
    assert hear(endpoint(sequence=6, draining=True), 6.0)
    assert not hear(endpoint(sequence=7), 7.0)
    assert hear(endpoint(born_ms=2000, sequence=1), 8.0)
    assert not hear(endpoint(born_ms=1000, sequence=99), 9.0)


def test_silence_counts_from_the_leaders_start_and_from_the_last_report():
    held = state.FleetState()
    held.apply({"kind": "report", "endpoint": model.to_document(endpoint())}, 1)
    book = registry.Registry(clock.seconds(1.5), NOW)
    assert book.silent(held, NOW + clock.seconds(5)) == []
    assert [e.id for e in book.silent(held, NOW + clock.seconds(6.5))] == ["e1"]
    book.needs_log_entry(endpoint(sequence=2), held, NOW + clock.seconds(6.6))
    assert book.silent(held, NOW + clock.seconds(12)) == []


def gateway(name, ready=True):
    return presence.Gateway(name, f"{name}:80", "a", "thrace", ready)


def test_gateways_that_stop_or_fall_silent_are_no_longer_named():
    present = presence.GatewayPresence([gateway("old")], NOW)
    present.record(gateway("g1"), NOW)
    present.record(gateway("g2", ready=False), NOW)
    first = present.roll(NOW)
    assert [g.name for g in first.present] == ["g1", "old"]
    assert first.place("g2") == presence.Place(1, 3)
    assert present.roll(NOW) is first
    later = NOW + presence.LISTED_FOR + clock.seconds(0.1)
    present.record(gateway("g1"), later)
    second = present.roll(later)
    assert [g.name for g in second.present] == ["g1"]
    assert second.version != first.version
    # A silent one may still be sending, so it counts for a while.
    assert second.place("g1").count == 3
    last = NOW + presence.COUNTED_FOR + clock.seconds(0.1)
    present.record(gateway("g1"), last)
    assert present.roll(last).place("g1").count == 1
    assert present.roll(last).place("never heard of") == presence.Place(0, 0)


def test_gateway_that_moved_to_another_steward_counts_by_its_latest_word():
    present = presence.GatewayPresence([], NOW)
    present.record(gateway("g1", ready=False), NOW + clock.seconds(1))
    present.record(gateway("g1"), NOW)
    assert present.roll(NOW + clock.seconds(1)).present == ()


def test_roll_is_the_same_after_its_way_between_stewards():
    present = presence.GatewayPresence([gateway("g1"), gateway("g2", ready=False)], NOW)
    roll = present.roll(NOW)
    assert presence.Roll.from_wire(roll.to_wire()) == roll
