"""Gateways that reach no endpoint while callers and the other instances reach them."""

import asyncio
import collections

import fleet_cluster
import pytest
import steward_cluster

from flamingotiller import errors

# After the cut and this long, callers of such gateways are served at least so often compared with
# callers of the others.
CONTACT_S = 3.0
MIN_SHARE = 2 / 3


@pytest.fixture(autouse=True)
def short_timeouts(monkeypatch):
    steward_cluster.shorten_timeouts(monkeypatch)


def strand(node, how, monkeypatch):
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
@pytest.mark.parametrize("stranded", [(0, 3), (0, 1, 3)])
@pytest.mark.parametrize("how", ["refuse", "reset", "hang", "live on"])
def test_callers_of_gateways_without_paths_are_served_like_others(
    tmp_path, monkeypatch, how, stranded
):
    """Such gateways went on to try endpoints and refused or failed nearly every request."""

    async def scenario():
        async with fleet_cluster.Fleet(tmp_path) as fleet:
            await serve_all(fleet, fleet.gateways, 0.3)
            cut = [fleet.gateways[number] for number in stranded]
            others = [node for node in fleet.gateways if node not in cut]
            for node in cut:
                strand(node, how, monkeypatch)
            await serve_all(fleet, fleet.gateways, CONTACT_S)
            statuses = await serve_all(fleet, fleet.gateways, 1.5)
            assert served_share(statuses, cut) >= MIN_SHARE * served_share(statuses, others)

    asyncio.run(scenario())


