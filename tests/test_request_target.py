"""Targets of requests: the path that selects a route is the one that is passed on."""

import asyncio

import fleet_fakes
import h11
import hypothesis
import hypothesis.strategies as st
import pytest
import test_request_path

from flamingotiller import memory, server, wire
from flamingotiller.fleet import model

GatewayHarness, make_request = fleet_fakes.GatewayHarness, fleet_fakes.make_request
make_route = fleet_fakes.make_route

PARTS = ["/", "//", "///", "a", "b", "x:1", "[", "]", ";", "?", "%2f", "%61", "..", ".", "@", "\\"]
ODD_TARGETS = [
    "//a/x", "///a/x", "//a:x/a/x", "//[a/a/x", "//old/a/titles", "/%61/x", "/./a/x", "/b/../a/x",
    "/;/a/x", "/?/a/x", "/b?c=/a/x", "/b//a/x", "http:///a/x", "/A/x", "",
]  # fmt: skip


def make_server_request(target):
    head = h11.Request(method="GET", target=target, headers=[("host", "h.example")])
    budget = memory.Budget(1000)
    connection = wire.Connection(h11.SERVER)
    return server.Request(head, connection, server.Limits(), memory.Reservation(budget))


@hypothesis.settings(derandomize=True, max_examples=300, deadline=None)
@hypothesis.given(st.lists(st.sampled_from(PARTS), max_size=8).map("".join))
def test_route_is_selected_by_the_beginning_of_the_target(rest):
    """Guards against services that get paths which their routes do not give them."""
    request = make_server_request("/" + rest)
    assert request.target.startswith(request.raw_path)
    view = model.View()
    items = [make_route("r1", "/a/"), make_route("r2", "/b/"), make_route("r3", "//a/")]
    view.replace(fleet_fakes.make_items(items, []))
    route = view.match("h.example", request.raw_path)
    assert route is None or request.target.startswith(route.prefix)


@pytest.mark.parametrize("target", ODD_TARGETS)
def test_gateway_passes_on_no_target_that_its_route_does_not_begin(target):
    async def work():
        async with GatewayHarness() as harness:
            response = await harness.send(make_request(target or "*"))
            assert response.status in (400, 404)
            assert not harness.run_count

    asyncio.run(work())


@pytest.mark.parametrize("target", ["//[", "//[a/names/x", "//a]/"])
def test_bracket_behind_two_slashes_is_refused(target):
    async def work():
        async with GatewayHarness(routes=[make_route(prefix="/")]) as harness:
            assert (await harness.send(make_request(target))).status == 400
            assert (await harness.send(make_request("/a[1]/x?b[]=2"))).status == 200

    asyncio.run(work())


@pytest.mark.parametrize("target", ["//a/names/x", "/%6eames/x", "//names/x", "/names/x#a"])
def test_entry_instance_passes_on_no_target_that_its_route_does_not_begin(target, monkeypatch):
    async def scenario(harness):
        reply = await harness.caller.send("GET", target)
        assert reply.status in (400, 404)
        assert not harness.endpoint.requests

    test_request_path.run_scenario(scenario, monkeypatch)


def test_target_is_passed_on_as_it_came():
    async def work():
        async with GatewayHarness() as harness:
            for target in ("/a//x", "/a/%2F", "/a/../b", "/a/x?y=//z/;", "/a/?", "/a/x;y"):
                assert (await harness.send(make_request(target))).status == 200
                line = harness.endpoints[0].requests[-1].start_line
                assert line == f"GET {target} HTTP/1.1"

    asyncio.run(work())
