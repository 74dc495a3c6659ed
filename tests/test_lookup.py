"""Look-ups: which instances, in which order, and who is left out."""

import types

from flamingotiller import clock, contract, lease, lookup, membership

NOW = clock.seconds(100)


def table(zone="a1", names=("a1-0", "a1-1", "a1-2")):
    own = membership.Member(names[0], zone, f"addr-{names[0]}", 1)
    made = membership.MemberTable(own, NOW, clock.seconds(5))
    for name in names[1:]:
        record = membership.Member(name, zone, f"addr-{name}", 1, heartbeat=1).to_wire()
        made.merge({"zone": zone, "beats": {}, "records": [record]}, NOW)
    for other in ("a2", "b1", "b2"):
        made.merge_summaries({other: [1, {f"{other}-0": f"addr-{other}-0"}]}, NOW)
    return made


def view(*drained):
    zones = {
        name: contract.Zone(name, region, (f"{name}-0",))
        for name, region in (("a1", "a"), ("a2", "a"), ("b1", "b"), ("b2", "b"))
    }
    deployment = contract.Deployment(zones, {})
    return types.SimpleNamespace(deployment=deployment, drained=set(drained))


def instances(*drained, near=None, organisation="growers", members=None):
    targets = lookup.rank(members or table(), view(*drained), organisation, near, NOW)
    return [target.instance for target in targets]


def test_own_zone_comes_first_then_the_own_region():
    found = instances()
    assert set(found[:3]) == {"a1-0", "a1-1", "a1-2"}
    assert found[3] == "a2-0"
    assert set(found[4:]) == {"b1-0", "b2-0"}


def test_the_holder_of_the_organisations_tokens_comes_first():
    names = ["a1-0", "a1-1", "a1-2"]
    for organisation in ("o1", "o2", "o3", "o4", "o5"):
        shard = lease.shard_of("organisation", organisation)
        assert instances(organisation=organisation)[0] == lease.preferred_holder(shard, names)


def test_callers_near_another_zone_are_led_there():
    assert instances(near="b2")[:2] == ["b2-0", "b1-0"]


def test_what_is_drained_or_leaving_is_left_out():
    assert "a1-1" not in instances(("instance", "a1-1"))
    assert instances(("zone", "a1"))[0] == "a2-0"
    assert not {"a1-0", "a2-0"} & set(instances(("region", "a")))
    members = table()
    members.member_by_instance["a1-1"].leaving = True
    assert "a1-1" not in instances(members=members)


def test_silent_member_is_left_out():
    members = table()
    later = NOW + clock.seconds(6)
    found = [t.instance for t in lookup.rank(members, view(), "o", None, later)]
    assert "a1-0" in found
    assert "a1-1" not in found


def test_order_of_the_rest_differs_between_organisations():
    names = [f"i{number}" for number in range(6)]
    orders = {tuple(lookup.order(f"o{number}", names)) for number in range(20)}
    assert len(orders) > 10
    assert lookup.order("o", []) == []
