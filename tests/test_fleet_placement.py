"""Placement and admission: agreed without asking, little moves, room is kept, cold is spared."""

import collections
import random

import hypothesis
import hypothesis.strategies as st
import pytest

from flamingotiller import clock
from flamingotiller.fleet import model, placement

REGION_BY_ZONE = {"t1": "thrace", "t2": "thrace", "b1": "balkan", "d1": "danube", "d2": "danube"}
NOW = clock.seconds(50)


def endpoint(number, zone, slots=4, draining=False):
    return model.Endpoint(
        f"e{number}", 1, 1, "search", f"10.0.0.{number}:80", zone, slots, draining, 0.0
    )


def view(*endpoints, evacuated=()):
    made = model.View()
    made.update({f"endpoint/{e.id}": model.to_document(e) for e in endpoints})
    made.update({f"evacuation/{zone}": {} for zone in evacuated})
    return made


FLEET = [endpoint(i, zone) for i, zone in enumerate(["t1", "t1", "t2", "b1", "d1", "d2", "d2"])]


def homes(region, object_, fleet=FLEET, conduct=None, regions=frozenset(), excluded=(), **state):
    chooser = placement.Placement(region, REGION_BY_ZONE)
    order = chooser.order(view(*fleet, **state), "search", object_, regions)
    return chooser.preferred(order, conduct or {}, excluded, NOW)


def region_of(found):
    return [REGION_BY_ZONE[e.zone] for e in found]


def test_gateways_of_a_region_agree_and_the_own_region_comes_first():
    for number in range(50):
        first = homes("thrace", str(number))
        assert first == homes("thrace", str(number), list(reversed(FLEET)))
        assert region_of(first)[0] == "thrace"
        assert region_of(first)[1] != "thrace"


def test_region_without_endpoints_is_served_by_others():
    rest = [e for e in FLEET if e.zone != "b1"]
    assert "balkan" not in region_of(homes("balkan", "7", rest))
    assert homes("balkan", "7", rest)


@pytest.mark.parametrize(
    ("state", "fleet"),
    [
        ({"evacuated": ("t1", "t2")}, FLEET),
        ({}, [endpoint(0, "t1", draining=True), *FLEET[3:]]),
    ],
)
def test_evacuated_zones_and_draining_endpoints_get_nothing(state, fleet):
    for number in range(30):
        assert "thrace" not in region_of(homes("thrace", str(number), fleet, **state))


def test_only_allowed_regions_serve():
    for number in range(30):
        found = homes("thrace", str(number), regions=frozenset({"danube"}))
        assert set(region_of(found)) == {"danube"}
    assert homes("thrace", "1", regions=frozenset({"-"})) == []


@hypothesis.settings(derandomize=True, max_examples=50, deadline=None)
@hypothesis.given(st.integers(0, 2))
def test_only_objects_of_a_leaving_endpoint_move(leaving):
    objects = [str(n) for n in range(300)]
    before = {o: homes("thrace", o)[0].id for o in objects}
    rest = [e for e in FLEET if e.id != f"e{leaving}"]
    after = {o: homes("thrace", o, rest)[0].id for o in objects}
    moved = {o for o in objects if before[o] != after[o]}
    assert moved == {o for o in objects if before[o] == f"e{leaving}"}


def test_larger_endpoints_hold_more_objects():
    fleet = [endpoint(1, "t1", slots=2), endpoint(2, "t1", slots=8)]
    first = collections.Counter(homes("thrace", str(n), fleet)[0].id for n in range(2000))
    assert 3 < first["e2"] / first["e1"] < 5.3


def test_failing_endpoint_is_left_at_once_and_tried_again_by_one_request():
    conduct = placement.EndpointHealth()
    conduct.on_failure(NOW)
    assert not conduct.usable(NOW)
    later = NOW + clock.seconds(1)
    assert conduct.usable(later)
    conduct.in_flight = 1
    assert not conduct.usable(later)
    assert conduct.on_success()
    assert conduct.usable(later)


def test_avoidance_grows_with_failures_up_to_a_bound():
    conduct = placement.EndpointHealth()
    spans = []
    for _ in range(20):
        conduct.on_failure(NOW)
        spans.append(conduct.avoid_until - NOW)
    assert spans == sorted(spans)
    assert spans[-1] == placement.LONGEST_AVOIDANCE


def test_load_of_others_is_told_by_the_endpoint_and_forgotten():
    conduct = placement.EndpointHealth()
    conduct.in_flight = 2
    conduct.on_load_report(placement.Load(5, 1), NOW)
    assert conduct.estimated_load(NOW) == 6
    # Nothing is known any more: others are taken to do as this gateway does.
    later = conduct.estimated_load(NOW + clock.seconds(5))
    assert later == pytest.approx(2 + placement.OTHERS_ALIKE, abs=0.01)


def test_burst_at_endpoints_that_have_said_nothing_yet_is_not_sent_by_all_gateways_at_once():
    """Cold start, burst: six gateways that know nothing of one another and an endpoint of three
    slots; without the assumption each would fill it alone, 18 and more in all."""
    sent = 0
    for _ in range(6):
        conduct = placement.EndpointHealth()
        while conduct.estimated_load(NOW) < 3 * placement.utilisation_limit(0):
            conduct.in_flight += 1
            sent += 1
    assert sent <= 3 + 9  # the endpoint's slots and its queue


def test_single_request_finds_room_at_an_idle_endpoint():
    conduct = placement.EndpointHealth()
    assert conduct.estimated_load(NOW) < 1 * placement.utilisation_limit(2)
    conduct.in_flight = 1
    assert conduct.estimated_load(NOW) < 3 * placement.utilisation_limit(2)


def test_urgent_ranks_are_admitted_longest():
    assert [placement.utilisation_limit(r) for r in (0, 1, 2, 9)] == sorted(
        (placement.utilisation_limit(r) for r in (0, 1, 2, 9)), reverse=True
    )


def test_requests_are_split_by_weight_at_every_moment():
    splitter = placement.Splitter()
    parts = (
        model.WeightedService("x", 90.0),
        model.WeightedService("y", 10.0),
        model.WeightedService("z", 0.0),
    )
    found = collections.Counter()
    for number in range(1, 1001):
        found[splitter.next(parts)] += 1
        assert abs(found["x"] - 0.9 * number) <= 1
    assert not found["z"]
    changed = (model.WeightedService("x", 1.0), model.WeightedService("y", 1.0))
    found = collections.Counter(splitter.next(changed) for _ in range(100))
    assert found == {"x": 50, "y": 50}


@hypothesis.settings(derandomize=True, max_examples=60, deadline=None)
@hypothesis.given(
    st.integers(1, 130), st.floats(1, 60), st.integers(0, 10_000), st.sampled_from([5, 8])
)
def test_cold_return_stays_within_the_bound_over_all_gateways(count, rate, seed, slack):
    """Cold return: every gateway sends as much as it may, at any moments of a second."""
    rng = random.Random(seed)
    gates = []
    for position in range(count):
        gate = placement.ColdStartLimiter(1.5, slack)
        gate.position, gate.count = position, count
        gates.append(gate)
    sent = []
    for step in range(150):
        now = NOW + clock.seconds(step * 0.02)
        for gate in rng.sample(gates, min(count, 20)):
            if gate.try_acquire("e1", rate, now):
                sent.append(now)
    bound = rate * 1.5 + slack
    for begin in sent:
        assert sum(begin <= at < begin + clock.seconds(1) for at in sent) <= bound
    assert len(sent) > 0


def test_gateway_that_knows_no_place_sends_nothing_to_cold_endpoints():
    assert not placement.ColdStartLimiter(1.5, 5).try_acquire("e1", 22, NOW)


def test_lone_timeout_of_a_full_endpoint_moves_nothing_and_two_in_a_row_do():
    """Lasting overload: each timeout that moved an object to a cold endpoint made further ones."""
    conduct = placement.EndpointHealth()
    for _ in range(20):
        assert not conduct.on_timeout(NOW)
        conduct.on_success()
    assert conduct.usable(NOW)
    assert not conduct.on_timeout(NOW)
    assert conduct.on_timeout(NOW)
    assert not conduct.usable(NOW)


@pytest.mark.parametrize("seed", range(5))
def test_grey_endpoint_is_left_soon_and_used_again_once_its_errors_are_few(seed):
    """Grey endpoint: 45% of its answers are errors; sound ones have one in 250."""
    rng = random.Random(seed)
    conduct = placement.EndpointHealth()
    now, sent = NOW, []
    for _ in range(400):
        now += clock.seconds(0.1)
        if not conduct.usable(now):
            continue
        if rng.random() < (0.45 if now < NOW + clock.seconds(10) else 0.004):
            conduct.on_error(now, 0.06)
        else:
            conduct.on_success()
        sent.append((now - NOW).total_seconds())
    assert len([at for at in sent if 2 <= at < 10]) < 0.5 * 80
    assert len([at for at in sent if at >= 22]) > 0.95 * 180


@pytest.mark.parametrize("seed", range(5))
def test_sound_endpoint_is_hardly_ever_left_for_its_errors(seed):
    """Three errors among four answers look like a grey endpoint, and may happen at a sound one."""
    rng = random.Random(seed)
    conduct = placement.EndpointHealth()
    left = 0
    for _ in range(20_000):
        if rng.random() < 0.004:
            left += conduct.on_error(NOW, 0.004)
        else:
            conduct.on_success()
    assert left <= 20_000 / 1000


def test_where_all_endpoints_fail_alike_none_is_left():
    """Grey service: every endpoint sheds 55% of its requests though it has room."""
    rng = random.Random(1)
    conducts = [placement.EndpointHealth() for _ in range(12)]
    rate = placement.ServiceErrorRate()
    left = 0
    for step in range(5000):
        conduct = rng.choice(conducts)
        failed = rng.random() < 0.55
        rate.record(failed)
        if failed:
            left += conduct.on_error(NOW, rate.value) and step > 200
        else:
            conduct.on_success()
    assert left == 0
