"""Decisions of the leader: changes of the log's membership, liveness of endpoints and presence of
gateways."""

import pytest

from flamingotiller import clock, replica_messages
from flamingotiller.fleet import log_membership, model, presence, registry, state

NOW = clock.seconds(100)
VOTERS = {"a.1": "a:1", "b.1": "b:1", "c.1": "c:1"}


def members(voters=None, learners=None):
    return replica_messages.Members(voters or dict(VOTERS), learners or {})


def join_request(identity, address, zone="a", ago=0.0):
    return log_membership.JoinRequest(identity, address, zone, NOW - clock.seconds(ago))


def member_progress(match=10, ago=0.0):
    return log_membership.MemberProgress(match, NOW - clock.seconds(ago))


def next_members(current, join_requests=(), progress=None, zones=None):
    return log_membership.next_members(current, join_requests, progress or {}, zones or {}, 10, NOW)


@pytest.mark.parametrize(
    ("current", "join_requests", "progress", "voters", "learners"),
    [
        # An instance that asks to join becomes a learner first.
        (members(), [join_request("d.1", "d:1")], {}, VOTERS, {"d.1": "d:1"}),
        # A learner becomes a voter once it has caught up.
        (members(None, {"d.1": "d:1"}), [join_request("d.1", "d:1")], {"d.1": member_progress(10)},
         {**VOTERS, "d.1": "d:1"}, {}),
        # A member whose address has a new identity has lost its disk: the new one learns first,
        (members(), [join_request("c.2", "c:1")], {}, VOTERS, {"c.2": "c:1"}),
        # then takes the lost one's place,
        (members(None, {"c.2": "c:1"}), [join_request("c.2", "c:1")], {"c.2": member_progress(10)},
         {"a.1": "a:1", "b.1": "b:1", "c.2": "c:1"}, {}),
        # and a learner that lost its disk has no place to hold.
        (members(None, {"c.2": "c:1"}), [join_request("c.3", "c:1")], {}, VOTERS, {}),
        # A learner that has failed is removed.
        (members(None, {"d.1": "d:1"}), [], {"d.1": member_progress(5, 9)}, VOTERS, {}),
    ],
)  # fmt: skip
def test_membership_changes_one_member_at_a_time(
    current, join_requests, progress, voters, learners
):
    proposed = next_members(current, join_requests, progress)
    assert (proposed.voters, proposed.learners) == (voters, learners)


@pytest.mark.parametrize(
    ("current", "join_requests", "progress"),
    [
        (members(), [], {}),
        (members(), [join_request("a.1", "a:1")], {}),
        (members(), [join_request("d.1", "d:1", ago=5)], {}),
        (members(None, {"d.1": "d:1"}), [join_request("d.1", "d:1")], {"d.1": member_progress(9)}),
        # A voter that lost its disk stays until its successor has caught up.
        (members(None, {"c.2": "c:1"}), [join_request("c.2", "c:1")], {"c.2": member_progress(9)}),
        # A learner that asks is alive, though it has not answered yet.
        (
            members(None, {"d.1": "d:1"}),
            [join_request("d.1", "d:1")],
            {"d.1": member_progress(0, 90)},
        ),
        # A failed voter without a replacement stays: its vote may be needed when it recovers.
        (members(), [], {"c.1": member_progress(10, 60)}),
    ],
)
def test_membership_is_left_unchanged(current, join_requests, progress):
    assert (
        next_members(current, join_requests, progress, {"a.1": "za", "b.1": "zb", "c.1": "zc"})
        is None
    )


def test_failed_voter_is_removed_once_its_zone_has_another_voter():
    current = members({**VOTERS, "d.1": "d:1"})
    progress = {"b.1": member_progress(), "c.1": member_progress(10, 9), "d.1": member_progress()}
    zones = {"a.1": "za", "b.1": "zb", "c.1": "zc", "d.1": "zc"}
    assert "c.1" not in next_members(current, (), progress, zones).voters
    assert next_members(current, (), {**progress, "d.1": member_progress(10, 9)}, zones) is None


@pytest.mark.parametrize(
    ("levels", "learners", "common"),
    [
        ({"b.1": 1, "c.1": 1}, {}, 1),
        # A member of an earlier build, which names no level, would apply entries differently.
        ({"b.1": 1, "c.1": 0}, {}, 0),
        # One that has not been heard may be of an earlier build,
        ({"b.1": 1}, {}, 0),
        # and a learner applies entries, too.
        ({"b.1": 1, "c.1": 1}, {"d.1": "d:1"}, 0),
        ({"b.1": 1, "c.1": 1, "d.1": 1}, {"d.1": "d:1"}, 1),
    ],
)
def test_level_is_what_all_members_know(levels, learners, common):
    """During a roll, members of an earlier build would apply the same entry differently."""
    requests = [
        log_membership.JoinRequest(identity, f"{identity[0]}:1", "a", NOW, level)
        for identity, level in levels.items()
    ]
    current = members(None, learners)
    assert log_membership.common_level(current, "a.1", 1, requests, NOW) == common
    later = NOW + log_membership.JOIN_REQUEST_LIFETIME + clock.seconds(1)
    assert log_membership.common_level(current, "a.1", 1, requests, later) == 0


def endpoint(**fields):
    values = {"id": "e1", "born_ms": 1000, "sequence": 1, "service": "s", "address": "x:1",
              "zone": "a", "slots": 4, **fields}  # fmt: skip
    return model.Endpoint(**values)


def test_only_starts_drains_and_cold_periods_need_log_entries():
    fleet = state.FleetState()
    endpoints = registry.Registry(clock.seconds(1.5), NOW)
    index = 0

    def needs_log_entry(record, after=0.0):
        nonlocal index
        effect = endpoints.record(record, fleet, NOW + clock.seconds(after))
        needed = effect is registry.Effect.CHANGE
        if needed:
            index += 1
            fleet.apply({"kind": "report", "endpoint": model.to_document(record)}, index)
        return needed

    assert needs_log_entry(endpoint())
    assert not needs_log_entry(endpoint(sequence=2), 1.5)
    assert not needs_log_entry(endpoint(sequence=1, draining=True), 1.6)  # out of order
    assert needs_log_entry(endpoint(sequence=3, cold_s=3.0), 2.0)
    assert not needs_log_entry(endpoint(sequence=4, cold_s=1.5), 3.5)
    assert needs_log_entry(endpoint(sequence=5, cold_s=3.0), 5.0)
    assert needs_log_entry(endpoint(sequence=6, draining=True), 6.0)
    assert not needs_log_entry(endpoint(sequence=7), 7.0)
    assert needs_log_entry(endpoint(born_ms=2000, sequence=1), 8.0)
    assert not needs_log_entry(endpoint(born_ms=1000, sequence=99), 9.0)


def test_silence_is_measured_from_the_start_of_leadership_and_from_the_last_report():
    fleet = state.FleetState()
    fleet.apply({"kind": "report", "endpoint": model.to_document(endpoint())}, 1)
    endpoints = registry.Registry(clock.seconds(1.5), NOW)
    assert endpoints.silent(fleet, NOW + clock.seconds(5)) == []
    assert [e.id for e in endpoints.silent(fleet, NOW + clock.seconds(6.5))] == ["e1"]
    endpoints.record(endpoint(sequence=2), fleet, NOW + clock.seconds(6.6))
    assert endpoints.silent(fleet, NOW + clock.seconds(12)) == []


def gateway(name, ready=True):
    return presence.Gateway(name, f"{name}:80", "a", "thrace", ready)


def observed(*names, silences=None, at=NOW):
    known = tuple(gateway(name) for name in names)
    return presence.Observation(known, silences or {}, at)


def test_stopping_and_silent_gateways_are_not_listed_as_present():
    gateways = presence.GatewayPresence(observed("old"), NOW)
    gateways.record(gateway("g1"), NOW)
    gateways.record(gateway("g2", ready=False), NOW)
    first = gateways.gateway_list(NOW)
    assert [g.name for g in first.present] == ["g1", "old"]
    assert first.place("g2") == presence.Place(1, 3)
    assert gateways.gateway_list(NOW) is first
    later = NOW + presence.LISTED_FOR + clock.seconds(0.1)
    gateways.record(gateway("g1"), later)
    second = gateways.gateway_list(later)
    assert [g.name for g in second.present] == ["g1"]
    assert second.version != first.version
    # A silent gateway may still be sending, so it is counted for some time.
    assert second.place("g1").count == 3
    last = NOW + presence.COUNTED_FOR + clock.seconds(0.1)
    gateways.record(gateway("g1"), last)
    assert gateways.gateway_list(last).place("g1").count == 1
    assert gateways.gateway_list(last).place("unknown") == presence.Place(0, 0)


def test_latest_report_counts_for_a_gateway_that_moved_to_another_steward():
    gateways = presence.GatewayPresence(observed(), NOW)
    gateways.record(gateway("g1", ready=False), NOW + clock.seconds(1))
    gateways.record(gateway("g1"), NOW)
    assert gateways.gateway_list(NOW + clock.seconds(1)).present == ()


def test_gateway_list_is_unchanged_by_encoding_and_decoding():
    gateways = presence.GatewayPresence(observed("g1"), NOW)
    gateways.record(gateway("g2", ready=False), NOW)
    gateway_list = gateways.gateway_list(NOW)
    assert presence.GatewayList.from_wire(gateway_list.to_wire()) == gateway_list


def test_new_leader_takes_over_how_long_gateways_were_silent():
    """Guards against look-ups that name a dead gateway again after a change of leader."""
    at, began = NOW + clock.seconds(10), NOW + clock.seconds(11)
    silences = {"dead": presence.LISTED_FOR + clock.seconds(0.5), "late": clock.seconds(1.9)}
    gateways = presence.GatewayPresence(
        observed("dead", "late", "g1", silences=silences, at=at), began
    )
    assert [g.name for g in gateways.gateway_list(began).present] == ["g1", "late"]
    # The time for which a gateway is listed counts from its last poll, whoever led then.
    later = at + presence.LISTED_FOR - silences["late"] + clock.seconds(0.1)
    assert [g.name for g in gateways.gateway_list(later).present] == ["g1"]
    last = at + presence.LISTED_FOR + clock.seconds(0.1)
    assert gateways.gateway_list(last).present == ()


def test_gateway_counts_as_a_sender_by_the_time_in_which_it_could_be_heard():
    silence = presence.COUNTED_FOR - clock.seconds(1)
    # No leader could be reached for a long time.
    began = NOW + clock.seconds(60)
    gateways = presence.GatewayPresence(observed("a", "b", silences={"a": silence}), began)
    assert gateways.gateway_list(began + clock.seconds(0.9)).place("b").count == 2
    assert gateways.gateway_list(began + clock.seconds(1.1)).place("b").count == 1
    assert gateways.gateway_list(began + presence.COUNTED_FOR).place("b").count == 1
    assert gateways.gateway_list(began + presence.COUNTED_FOR * 1.1).place("b").count == 0


def test_silence_grows_over_a_chain_of_leaders():
    gateways = presence.GatewayPresence(observed("dead"), NOW)
    now = NOW
    for _ in range(8):
        gateway_list = gateways.gateway_list(now)
        now += clock.seconds(0.5)
        silences = gateways.reported_silences(gateway_list, now)
        gateways = presence.GatewayPresence(
            presence.Observation(gateway_list.known, silences, now), now
        )
    assert now - NOW > presence.LISTED_FOR
    assert gateways.gateway_list(now).present == ()


def test_silent_gateways_are_seen_in_the_list_of_an_earlier_build():
    gateways = presence.GatewayPresence(observed("dead", "g1"), NOW)
    later = NOW + presence.LISTED_FOR + clock.seconds(0.1)
    gateways.record(gateway("g1"), later)
    gateways.record(gateway("stopping", ready=False), later)
    least = presence.least_silences(gateways.gateway_list(later))
    assert least == {"dead": presence.LISTED_FOR}


def test_new_leader_takes_over_how_long_endpoints_were_silent():
    fleet = state.FleetState()
    fleet.apply({"kind": "report", "endpoint": model.to_document(endpoint())}, 1)
    interval = clock.seconds(1.5)
    listening = registry.LISTENING_INTERVALS * interval
    for silence in (registry.SILENCE_INTERVALS * interval, 100 * interval):
        endpoints = registry.Registry(interval, NOW, {"e1": silence})
        # A report may have been refused while there was no leader.
        assert endpoints.silent(fleet, NOW + listening - clock.seconds(0.1)) == []
        late = NOW + listening + clock.seconds(0.1)
        assert [e.id for e in endpoints.silent(fleet, late)] == ["e1"]
        endpoints.record(endpoint(sequence=2), fleet, late)
        assert endpoints.silent(fleet, late) == []
        assert endpoints.silent(fleet, late + listening * 2) == []
        assert endpoints.reported_silences(fleet, late + interval) == {}
        assert list(endpoints.reported_silences(fleet, late + 3 * interval)) == ["e1"]
