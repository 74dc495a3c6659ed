"""Look-ups: order of the instances, and instances that are left out."""

import types

from flamingotiller import clock, contract, lease, lookup, membership

NOW = clock.seconds(100)


def make_table(zone="a1", names=("a1-0", "a1-1", "a1-2")):
    own = membership.Member(names[0], zone, f"addr-{names[0]}", 1)
    table = membership.MemberTable(own, NOW, clock.seconds(5))
    for name in names[1:]:
        record = membership.Member(name, zone, f"addr-{name}", 1, heartbeat=1).to_wire()
        table.merge({"zone": zone, "beats": {}, "records": [record]}, NOW)
    for other in ("a2", "b1", "b2"):
        table.merge_summaries({other: [1, {f"{other}-0": f"addr-{other}-0"}]}, NOW)
    return table


def make_view(*drained):
    zones = {
        name: contract.Zone(name, region, (f"{name}-0",))
        for name, region in (("a1", "a"), ("a2", "a"), ("b1", "b"), ("b2", "b"))
    }
    deployment = contract.Deployment(zones, {})
    return types.SimpleNamespace(deployment=deployment, drained=set(drained))


def ranked_instances(*drained, near=None, organisation="growers", table=None):
    targets = lookup.rank(table or make_table(), make_view(*drained), organisation, near, NOW)
    return [target.instance for target in targets]


def test_own_zone_comes_first_then_its_region():
    ranked = ranked_instances()
    assert set(ranked[:3]) == {"a1-0", "a1-1", "a1-2"}
    assert ranked[3] == "a2-0"
    assert set(ranked[4:]) == {"b1-0", "b2-0"}


def test_holder_of_the_organisations_tokens_comes_first():
    names = ["a1-0", "a1-1", "a1-2"]
    for organisation in ("o1", "o2", "o3", "o4", "o5"):
        shard = lease.shard_of("organisation", organisation)
        assert ranked_instances(organisation=organisation)[0] == lease.preferred_holder(
            shard, names
        )


def test_zone_near_the_caller_comes_first():
    assert ranked_instances(near="b2")[:2] == ["b2-0", "b1-0"]


def test_drained_and_leaving_instances_are_left_out():
    assert "a1-1" not in ranked_instances(("instance", "a1-1"))
    assert ranked_instances(("zone", "a1"))[0] == "a2-0"
    assert not {"a1-0", "a2-0"} & set(ranked_instances(("region", "a")))
    table = make_table()
    table.member_by_instance["a1-1"].leaving = True
    assert "a1-1" not in ranked_instances(table=table)


def test_member_without_recent_gossip_is_left_out():
    table = make_table()
    later = NOW + clock.seconds(6)
    ranked = [t.instance for t in lookup.rank(table, make_view(), "o", None, later)]
    assert "a1-0" in ranked
    assert "a1-1" not in ranked


def test_order_of_the_other_instances_differs_between_organisations():
    names = [f"i{number}" for number in range(6)]
    orders = {tuple(lookup.rank_instances(f"o{number}", names)) for number in range(20)}
    assert len(orders) > 10
    assert lookup.rank_instances("o", []) == []
