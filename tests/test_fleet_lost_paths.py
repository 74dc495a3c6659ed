"""Gateways that reach no endpoint while callers and the other instances reach them."""

import asyncio
import collections
import contextlib
import random

import fleet_cluster
import fleet_fakes
import polling
import pytest
import steward_cluster

from flamingotiller import clock, errors
from flamingotiller.fleet import forwarding, relaying

# After the cut and this long, callers of such gateways are served at least so often compared with
# callers of the others.
CONTACT_S = 3.0
MIN_SHARE = 2 / 3


@pytest.fixture(autouse=True)
def short_timeouts(monkeypatch):
    steward_cluster.shorten_timeouts(monkeypatch)
    monkeypatch.setattr(relaying, "LIST_LIFETIME", clock.seconds(0.2))


def cut_from_endpoints(node, how, monkeypatch):
    """Cuts a gateway from all endpoints.

    Args:
        node: The gateway.
        how: What becomes of its connections: "refuse" and "reset": open ones are reset and new ones
            refused; "hang": bytes vanish; "live on": open ones go on, new ones are refused.
        monkeypatch: Undoes the cut.
    """
    pool = node._endpoint_pool

    async def connect(peer):
        if how == "hang":
            await asyncio.sleep(pool._connect_timeout.total_seconds())
            raise errors.ConnectError("timed out", peer=peer) from TimeoutError()
        raise errors.ConnectError("refused", peer=peer) from ConnectionRefusedError()

    monkeypatch.setattr(pool, "_connect", connect)
    for idle in pool._idle_by_peer.values():
        for connection in idle:
            if how == "hang":
                monkeypatch.setattr(connection.transport, "write", lambda data: None)
            elif how != "live on":
                connection.transport.abort()


async def serve_all(fleet, nodes, seconds, make_path=lambda number: f"/a/x{number}"):
    """Sends requests to some gateways; returns the statuses by gateway."""
    end = asyncio.get_running_loop().time() + seconds
    tries, number = [], 0
    while asyncio.get_running_loop().time() < end:
        for node in nodes:
            number += 1
            work = fleet.send(node, make_path(number), f"{node.config.name}-{number}")
            tries.append((node, fleet.spawn(work)))
        await asyncio.sleep(0.03)
    statuses = collections.defaultdict(list)
    for node, sent in tries:
        response = await sent
        statuses[node.config.name].append(response.status if response else 0)
    return statuses


def served_share(statuses, nodes):
    found = [status for node in nodes for status in statuses[node.config.name]]
    return found.count(200) / len(found)


# Gateways 0 and 3 are all of their zone; 0, 1 and 3 are all of their region.
@pytest.mark.parametrize("cut_off", [(0, 3), (0, 1, 3)])
@pytest.mark.parametrize("how", ["refuse", "reset", "hang", "live on"])
def test_callers_of_gateways_without_paths_are_served_like_others(
    tmp_path, monkeypatch, how, cut_off
):
    """Such gateways went on to try endpoints and refused or failed nearly every request."""

    async def scenario():
        async with fleet_cluster.Fleet(tmp_path) as fleet:
            await wait_for_relays(fleet)
            await serve_all(fleet, fleet.gateways, 0.3)
            cut = [fleet.gateways[number] for number in cut_off]
            others = [node for node in fleet.gateways if node not in cut]
            for node in cut:
                cut_from_endpoints(node, how, monkeypatch)
            await serve_all(fleet, fleet.gateways, CONTACT_S)
            statuses = await serve_all(fleet, fleet.gateways, 1.5)
            assert served_share(statuses, others) >= MIN_SHARE
            assert served_share(statuses, cut) >= MIN_SHARE * served_share(statuses, others)

    asyncio.run(scenario())


def test_requests_in_flight_on_connections_that_hang_are_relayed(tmp_path, monkeypatch):
    """They waited for their deadlines, though they may be sent once more."""

    async def scenario():
        routes = [fleet_fakes.make_route(timeout_s=5.0)]
        async with fleet_cluster.Fleet(tmp_path, routes=routes) as fleet:
            await wait_for_relays(fleet)
            node = fleet.gateways[0]
            await serve_all(fleet, [node], 1.0)
            cut_from_endpoints(node, "hang", monkeypatch)
            sent = [
                fleet.spawn(fleet.send(node, f"/a/x{n}", f"hung-{n}", X_Deadline_Ms="5000"))
                for n in range(8)
            ]
            assert [response.status for response in await gather(sent)] == [200] * 8

    asyncio.run(scenario())


def test_refusal_after_a_try_that_may_have_run_is_not_passed_on(tmp_path, monkeypatch):
    """The second gateway's 'not run' is true of its own try only."""

    async def scenario():
        async with fleet_cluster.Fleet(tmp_path, 2) as fleet:
            await wait_for_relays(fleet)
            node, relay = fleet.gateways
            await lose_paths(node, "refuse", monkeypatch)
            tries = []

            async def relay_to(chosen, job, dispatch_state, reply):
                tries.append(chosen)
                dispatch_state.begin_attempt()
                if len(tries) == 1:
                    raise errors.ConnectionLostError("broken off")
                dispatch_state.mark_not_run()
                return forwarding.Response(503, [], b"")

            monkeypatch.setattr(node, "_relay_to", relay_to)
            relays = [(f"127.0.0.1:{port}", "thrace") for port in (1, 2)]
            monkeypatch.setattr(node._relays, "update", lambda *arguments: None)
            node._relays._relays = tuple(relaying.Relay(*fields) for fields in relays)
            node._retry_budget("s").set_reserve(10.0)
            for _ in range(20):
                node._retry_budget("s").on_first_attempt()
            assert (await fleet.send(node, "/a/x", "id")).status == 502
            assert len(tries) == 2

    asyncio.run(scenario())


def test_relayed_request_that_is_not_idempotent_runs_once(tmp_path, monkeypatch):
    """A relay that sends a request on twice would run it twice."""

    async def scenario():
        routes = [fleet_fakes.make_route(idempotent=False)]
        async with fleet_cluster.Fleet(tmp_path, routes=routes) as fleet:
            await wait_for_relays(fleet)
            node = fleet.gateways[0]
            await lose_paths(node, "refuse", monkeypatch)
            paths = [f"/a/once-{number}" for number in range(30)]
            sent = [fleet.send(node, path, path, method="POST", body=b"b") for path in paths]
            relay = fleet.gateways[1]
            fleet.work_s = 0.3
            responses = [fleet.spawn(work) for work in sent]
            await polling.wait_until(lambda: len(fleet.runs) >= 5)
            await relay.abort()
            statuses = [response and response.status for response in await gather(responses)]
            assert set(statuses) <= {200, 502, 503, 504, None}
            runs = collections.Counter(path for _, path in fleet.runs)
            assert max(runs.values()) == 1
            for path, status in zip(paths, statuses, strict=True):
                assert status != 503 or not runs[path]

    asyncio.run(scenario())


def test_request_bound_to_a_region_is_relayed_within_it_only(tmp_path, monkeypatch):
    """Its body must not leave the region, whatever else could serve it."""

    async def scenario():
        routes = [fleet_fakes.make_route(regions=frozenset({"thrace"}))]
        async with fleet_cluster.Fleet(tmp_path, routes=routes) as fleet:
            await wait_for_relays(fleet)
            cut_off = [fleet.gateways[number] for number in (0, 1, 3)]
            await lose_paths(cut_off[0], "refuse", monkeypatch)
            assert (await fleet.send(cut_off[0], "/a/home", "near")).status == 200
            for node in cut_off[1:]:
                await lose_paths(node, "refuse", monkeypatch)
            response = await fleet.send(cut_off[0], "/a/home", "far")
            assert response.status == 503
            assert float(response.headers["retry-after"]) > 0

    asyncio.run(scenario())


def test_relay_has_the_fewest_requests_and_lies_in_a_bound_region():
    """A caller may come from a third region: what is bound to others must not stay in this one."""
    relays = relaying.RelayList("thrace", random.Random(1))
    relays.update([("near", "thrace"), ("far", "balkan"), ("farther", "danube")], clock.ZERO)
    assert relays.choose(frozenset({"balkan"}), (), clock.ZERO).address == "far"
    assert relays.choose(frozenset({"elsewhere"}), (), clock.ZERO) is None
    near = relays.choose(frozenset(), (), clock.ZERO)
    assert near.address == "near"
    with contextlib.ExitStack() as stack:
        for _ in range(relaying.LOCAL_PREFERENCE + 1):
            stack.enter_context(relays.in_flight(near))
        assert relays.choose(frozenset(), (), clock.ZERO).region != "thrace"
    relays.avoid(near, clock.ZERO)
    assert relays.choose(frozenset(), (), clock.ZERO).region != "thrace"
    assert relays.choose(frozenset(), (), relaying.AVOIDANCE).address == "near"


def test_requests_are_refused_at_once_when_no_gateway_has_a_path(tmp_path, monkeypatch):
    """Gateways that relayed to each other in a circle would hold them until their deadlines."""

    async def scenario():
        async with fleet_cluster.Fleet(tmp_path) as fleet:
            await wait_for_relays(fleet)
            for node in fleet.gateways:
                await lose_paths(node, "refuse", monkeypatch)
            runs = len(fleet.runs)
            for node in fleet.gateways:
                response = await fleet.send(node, "/a/x", "id")
                assert (response.status, b"no-path" in response.body) == (503, True)
                assert float(response.headers["retry-after"]) > 0
            assert len(fleet.runs) == runs

    asyncio.run(scenario())


def test_gateway_serves_by_itself_again_when_its_paths_are_back(tmp_path, monkeypatch):
    async def scenario():
        async with fleet_cluster.Fleet(tmp_path) as fleet:
            await wait_for_relays(fleet)
            node = fleet.gateways[0]
            with monkeypatch.context() as cut:
                await lose_paths(node, "refuse", cut)
                leader = fleet.stewards.leaders()[0]
                await polling.wait_until(lambda: node.listening[1] not in ports(leader))
            await polling.wait_until(lambda: not node._paths.lost)
            await polling.wait_until(lambda: node.listening[1] in ports(leader))
            relayed = node._endpoint_traffic_by_distance["relay"].written
            statuses = await serve_all(fleet, [node], 0.3)
            assert served_share(statuses, [node]) == 1.0
            assert node._endpoint_traffic_by_distance["relay"].written == relayed

    asyncio.run(scenario())


def test_gateway_without_paths_and_without_stewards_goes_on_relaying(tmp_path, monkeypatch):
    """It has to know other gateways before it needs them: then nobody may be there to ask."""

    async def scenario():
        async with fleet_cluster.Fleet(tmp_path) as fleet:
            await wait_for_relays(fleet)
            node = fleet.gateways[0]

            async def call(peer, *arguments, **options):
                raise errors.ConnectError("cut off", peer=peer)

            monkeypatch.setattr(node._peer_client, "call", call)
            await lose_paths(node, "refuse", monkeypatch)
            statuses = await serve_all(fleet, [node], 0.5)
            assert served_share(statuses, [node]) >= MIN_SHARE

    asyncio.run(scenario())


def test_one_reachable_endpoint_is_a_path(tmp_path, monkeypatch):
    """Endpoints that end are no reason to relay requests: the others would see the same."""

    async def scenario():
        async with fleet_cluster.Fleet(tmp_path, 2, endpoint_count=3) as fleet:
            node = fleet.gateways[0]
            for endpoint in fleet.endpoints[:2]:
                endpoint.end()
            for number in range(10):
                await fleet.send(node, f"/a/x{number}", f"id-{number}")
            await asyncio.sleep(0.1)
            assert not await node._paths.verify()

    asyncio.run(scenario())


def test_ends_of_most_endpoints_of_the_only_zone_are_no_loss_of_paths(tmp_path):
    """One endpoint of each zone was tried: the only one was taken for all paths."""

    async def scenario():
        async with fleet_cluster.Fleet(tmp_path, 1, zones=["t1"]) as fleet:
            node = fleet.gateways[0]
            for endpoint in fleet.endpoints[1:]:
                endpoint.end()
            for _ in range(20):
                assert not await node._paths.verify()

    asyncio.run(scenario())


def ports(leader):
    return {int(address.rpartition(":")[2]) for address in leader.locate("thrace", "t1")}


async def wait_for_relays(fleet):
    """Waits until all gateways know each other."""
    for node in fleet.gateways:
        await polling.wait_until(lambda node=node: node._relays.count == len(fleet.gateways) - 1)


async def gather(tasks):
    return [await task for task in tasks]


async def lose_paths(node, how, monkeypatch):
    """Cuts a gateway from all endpoints and waits until it has noticed."""
    cut_from_endpoints(node, how, monkeypatch)
    node._paths.on_connect_failed()
    await polling.wait_until(lambda: node._paths.lost)
