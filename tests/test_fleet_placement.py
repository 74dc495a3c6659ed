"""Placement and admission: order of endpoints, health, load estimate, cold-start limit."""

import collections
import random

import hypothesis
import hypothesis.strategies as st
import pytest

from flamingotiller import clock
from flamingotiller.fleet import model, notices, placement

REGION_BY_ZONE = {"t1": "thrace", "t2": "thrace", "b1": "balkan", "d1": "danube", "d2": "danube"}
NOW = clock.seconds(50)
LONG_AGO = clock.ZERO


def endpoint(number, zone, slots=4, draining=False):
    return model.Endpoint(
        f"e{number}", 1, 1, "search", f"10.0.0.{number}:80", zone, slots, draining, 0.0
    )


def view(*endpoints, evacuated=()):
    result = model.View()
    result.update({f"endpoint/{e.id}": model.to_document(e) for e in endpoints})
    result.update({f"evacuation/{zone}": {} for zone in evacuated})
    return result


FLEET = [endpoint(i, zone) for i, zone in enumerate(["t1", "t1", "t2", "b1", "d1", "d2", "d2"])]


def preferred(
    region, object_id, fleet=FLEET, health=None, regions=frozenset(), excluded=(), **state
):
    chooser = placement.Placement(region, REGION_BY_ZONE, notices.Notices())
    order = chooser.order(view(*fleet, **state), "search", object_id, regions)
    return chooser.preferred(order, health or {}, excluded, NOW)


def regions_of(endpoints):
    return [REGION_BY_ZONE[e.zone] for e in endpoints]


def test_gateways_of_a_region_agree_and_the_local_region_comes_first():
    for number in range(50):
        endpoints = preferred("thrace", str(number))
        assert endpoints == preferred("thrace", str(number), list(reversed(FLEET)))
        assert regions_of(endpoints)[0] == "thrace"
        assert regions_of(endpoints)[1] != "thrace"


def test_region_without_endpoints_is_served_by_others():
    rest = [e for e in FLEET if e.zone != "b1"]
    assert "balkan" not in regions_of(preferred("balkan", "7", rest))
    assert preferred("balkan", "7", rest)


@pytest.mark.parametrize(
    ("state", "fleet"),
    [
        ({"evacuated": ("t1", "t2")}, FLEET),
        ({}, [endpoint(0, "t1", draining=True), *FLEET[3:]]),
    ],
)
def test_evacuated_zones_and_draining_endpoints_get_no_requests(state, fleet):
    for number in range(30):
        assert "thrace" not in regions_of(preferred("thrace", str(number), fleet, **state))


LOCAL_FLEET = [endpoint(i, zone) for i, zone in enumerate(["t1", "t1", "t2"])]


def failed(endpoints):
    """Returns the health of endpoints that are avoided after failures."""
    health = {e.id: placement.EndpointHealth() for e in endpoints}
    for each in health.values():
        each.on_failure(NOW)
    return health


@pytest.mark.parametrize(
    ("fleet", "regions"),
    [
        (LOCAL_FLEET, frozenset()),
        (FLEET, frozenset({"thrace"})),
        (FLEET, frozenset()),
    ],
    ids=["no remote endpoint", "bound to its region", "remote endpoints avoided"],
)
def test_other_local_endpoints_serve_when_the_preferred_one_is_gone(fleet, regions):
    """They were left out of an object's order, and its requests refused beside idle endpoints."""
    remote = [e for e in fleet if REGION_BY_ZONE[e.zone] != "thrace"]
    for number in range(40):
        first = preferred("thrace", str(number), fleet, failed(remote), regions)[0]
        found = preferred("thrace", str(number), fleet, failed([*remote, first]), regions)
        assert found and first not in found
        assert set(regions_of(found)) == {"thrace"}
        assert len(found) <= placement.MAX_PREFERRED


def test_every_endpoint_that_may_serve_is_in_an_objects_order():
    for number in range(40):
        chooser = placement.Placement("thrace", REGION_BY_ZONE, notices.Notices())
        order = chooser.order(view(*FLEET), "search", str(number), frozenset())
        assert sorted(e.id for e in order) == sorted(e.id for e in FLEET)


def test_only_allowed_regions_serve():
    for number in range(30):
        found = preferred("thrace", str(number), regions=frozenset({"danube"}))
        assert set(regions_of(found)) == {"danube"}
    assert preferred("thrace", "1", regions=frozenset({"-"})) == []


@hypothesis.settings(derandomize=True, max_examples=50, deadline=None)
@hypothesis.given(st.integers(0, 2))
def test_only_objects_of_a_leaving_endpoint_move(leaving):
    objects = [str(n) for n in range(300)]
    before = {o: preferred("thrace", o)[0].id for o in objects}
    rest = [e for e in FLEET if e.id != f"e{leaving}"]
    after = {o: preferred("thrace", o, rest)[0].id for o in objects}
    moved = {o for o in objects if before[o] != after[o]}
    assert moved == {o for o in objects if before[o] == f"e{leaving}"}


def test_larger_endpoints_hold_more_objects():
    fleet = [endpoint(1, "t1", slots=2), endpoint(2, "t1", slots=8)]
    first = collections.Counter(preferred("thrace", str(n), fleet)[0].id for n in range(2000))
    assert 3 < first["e2"] / first["e1"] < 5.3


def test_failing_endpoint_is_avoided_and_then_probed_by_one_request():
    health = placement.EndpointHealth()
    health.on_failure(NOW)
    assert not health.usable(NOW)
    later = NOW + clock.seconds(1)
    assert health.usable(later)
    health.in_flight = 1
    assert not health.usable(later)
    assert health.on_success()
    assert health.usable(later)


def test_avoidance_grows_with_failures_up_to_a_bound():
    health = placement.EndpointHealth()
    durations = []
    for _ in range(20):
        health.on_failure(NOW)
        durations.append(health.avoid_until - NOW)
    assert durations == sorted(durations)
    assert durations[-1] == placement.MAX_AVOIDANCE


def test_reported_load_of_other_gateways_decays():
    health = placement.EndpointHealth()
    health.in_flight = 2
    health.on_load_report(placement.Load(5, 1), NOW)
    assert health.estimated_load(NOW) == 6
    # Once the report has decayed, the load of other gateways is assumed from the own requests.
    later = health.estimated_load(NOW + clock.seconds(5))
    assert later == pytest.approx(2 + placement.ASSUMED_LOAD_FACTOR, abs=0.01)


def test_gateways_without_load_reports_do_not_overload_an_endpoint_together():
    """In a burst after a cold start, six gateways have no load report of an endpoint with 3 slots.

    If they did not assume any load of the others, each would fill the endpoint on its own: 18
    requests or more."""
    sent = 0
    for _ in range(6):
        health = placement.EndpointHealth()
        while health.estimated_load(NOW) < 3 * placement.utilisation_limit(0):
            health.in_flight += 1
            sent += 1
    assert sent <= 3 + 9  # the endpoint's slots and its queue


def test_idle_endpoint_has_room_for_a_request_of_any_rank():
    health = placement.EndpointHealth()
    assert health.estimated_load(NOW) < 1 * placement.utilisation_limit(2)
    health.in_flight = 1
    assert health.estimated_load(NOW) < 3 * placement.utilisation_limit(2)


def test_utilisation_limit_falls_with_rank():
    assert [placement.utilisation_limit(r) for r in (0, 1, 2, 9)] == sorted(
        (placement.utilisation_limit(r) for r in (0, 1, 2, 9)), reverse=True
    )


def test_requests_are_split_by_weight_at_any_time():
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
    """All gateways send as many requests as they may to one cold endpoint, at random times."""
    rng = random.Random(seed)
    limiters = []
    for position in range(count):
        limiter = placement.ColdStartLimiter(1.5, slack)
        limiter.shares.set_place(position, count, LONG_AGO)
        limiters.append(limiter)
    sent = []
    for step in range(150):
        now = NOW + clock.seconds(step * 0.02)
        for limiter in rng.sample(limiters, min(count, 20)):
            if limiter.try_acquire("e1", rate, now):
                sent.append(now)
    bound = rate * 1.5 + slack
    for begin in sent:
        assert sum(begin <= at < begin + clock.seconds(1) for at in sent) <= bound
    assert len(sent) > 0


@pytest.mark.parametrize(("count", "returning"), [(16, 9), (24, 13), (24, 24), (182, 100)])
@pytest.mark.parametrize("seed", range(3))
def test_cold_return_stays_within_the_bound_while_many_gateways_return(count, returning, seed):
    """Gateways that returned together used their shares of a cold endpoint while the others, or
    they themselves, still used the larger shares of a smaller number of gateways."""
    rng = random.Random(seed)
    rate, slack, returned_s = 16.0, 5, 1.0
    limiters = [placement.ColdStartLimiter(1.5, slack) for _ in range(count)]
    staying = count - returning
    for position, limiter in enumerate(limiters[:staying]):
        limiter.shares.set_place(position, staying, LONG_AGO)
    # Without others the first ones to return are told that they are few.
    for position, limiter in enumerate(limiters[staying:][: 0 if staying else 3]):
        limiter.shares.set_place(position, 3, NOW + clock.seconds(returned_s))
    order = rng.sample(range(count), count)
    learnt_s = [returned_s + rng.uniform(0.1, 0.9) for _ in limiters]
    sent = []
    for step in range(300):
        at_s = step * 0.02
        now = NOW + clock.seconds(at_s)
        for index, limiter in enumerate(limiters):
            if at_s >= learnt_s[index]:
                limiter.shares.set_place(order[index], count, now)
        for limiter in rng.sample(limiters, count):
            if limiter.try_acquire("e1", rate, now):
                sent.append(at_s)
    bound = rate * 1.5 + slack
    for begin in sent:
        assert sum(begin <= at < begin + 1 for at in sent) <= bound
    # Once all have settled the endpoint gets what it tolerates again.
    assert sum(at >= 4 for at in sent) >= rate


def test_gateway_without_a_position_sends_nothing_to_cold_endpoints():
    assert not placement.ColdStartLimiter(1.5, 5).try_acquire("e1", 22, NOW)


def test_endpoint_is_avoided_after_two_consecutive_timeouts_but_not_after_one():
    """Under lasting overload, single timeouts are common. When each of them moved objects to cold
    endpoints, the slower requests there caused further timeouts."""
    health = placement.EndpointHealth()
    for _ in range(20):
        assert not health.on_timeout(NOW)
        health.on_success()
    assert health.usable(NOW)
    assert not health.on_timeout(NOW)
    assert health.on_timeout(NOW)
    assert not health.usable(NOW)


@pytest.mark.parametrize("seed", range(5))
def test_partially_failing_endpoint_is_avoided_and_used_again_after_recovery(seed):
    """A grey failure: 45% of the answers are errors for 10 s; a healthy endpoint has 1 in 250."""
    rng = random.Random(seed)
    health = placement.EndpointHealth()
    now, sent = NOW, []
    for _ in range(400):
        now += clock.seconds(0.1)
        if not health.usable(now):
            continue
        if rng.random() < (0.45 if now < NOW + clock.seconds(10) else 0.004):
            health.on_error(now, 0.06)
        else:
            health.on_success()
        sent.append((now - NOW).total_seconds())
    assert len([at for at in sent if 2 <= at < 10]) < 0.5 * 80
    assert len([at for at in sent if at >= 22]) > 0.95 * 180


@pytest.mark.parametrize("seed", range(5))
def test_healthy_endpoint_is_rarely_avoided(seed):
    """Three errors in four answers look like a grey failure but may occur at a healthy endpoint."""
    rng = random.Random(seed)
    health = placement.EndpointHealth()
    avoided = 0
    for _ in range(20_000):
        if rng.random() < 0.004:
            avoided += health.on_error(NOW, 0.004)
        else:
            health.on_success()
    assert avoided <= 20_000 / 1000


def test_no_endpoint_is_avoided_when_all_have_the_same_error_rate():
    """Every endpoint of the service sheds 55% of its requests although it has room."""
    rng = random.Random(1)
    health_of_endpoints = [placement.EndpointHealth() for _ in range(12)]
    rate = placement.ServiceErrorRate()
    avoided = 0
    for step in range(5000):
        health = rng.choice(health_of_endpoints)
        failed = rng.random() < 0.55
        rate.record(failed)
        if failed:
            avoided += health.on_error(NOW, rate.value) and step > 200
        else:
            health.on_success()
    assert avoided == 0
