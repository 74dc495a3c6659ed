"""Responses with a status that HTTP does not define: no caller gets one."""

import asyncio

import fleet_fakes
import pytest
import test_request_path

from flamingotiller import client, clock, errors
from flamingotiller.fleet import reachability

GatewayHarness, make_request = fleet_fakes.GatewayHarness, fleet_fakes.make_request
make_route = fleet_fakes.make_route

STATUSES = ["000", "001", "099", "100", "199", "600", "601", "999"]
LONG_BODY = b"z" * 100_000


def body_of(framing):
    """Returns the header that frames a body, and the body."""
    if framing == "length":
        return b"Content-Length: 5", b"whole"
    if framing == "chunked":
        return b"Transfer-Encoding: chunked", b"5\r\nwhole\r\n0\r\n\r\n"
    return b"Content-Length: %d" % len(LONG_BODY), LONG_BODY


def make_response(request_id, status, framing, sealed):
    framing_header, body = body_of(framing)
    lines = [f"HTTP/1.1 {status} X".encode(), b"X-Request-Id: " + request_id.encode()]
    lines += [b"X-Response-Seal: seal"] if sealed else []
    return b"\r\n".join([*lines, framing_header]) + b"\r\n\r\n" + body


def run(work):
    asyncio.run(asyncio.wait_for(work, 60))


@pytest.mark.parametrize("sealed", [True, False])
@pytest.mark.parametrize("framing", ["length", "chunked", "stream"])
@pytest.mark.parametrize("status", STATUSES)
def test_gateway_passes_on_no_invalid_status_and_avoids_the_endpoint(status, framing, sealed):
    """Guards against failures of endpoints that reach callers as responses of theirs."""

    async def work():
        def respond(request):
            return make_response(request.headers["x-request-id"], status, framing, sealed)

        endpoint = fleet_fakes.FakeEndpoint(handler=respond)
        routes = [make_route(timeout_s=0.3, max_attempts=1, idempotent=False)]
        async with GatewayHarness(endpoint, routes=routes) as harness:
            response = await harness.send(make_request(method="POST"))
            assert response.status in (502, 504)
            assert b"unknown" in response.body
            health = harness.gateway._chooser.health_by_id[endpoint.id]
            assert health.failures

    run(work())


@pytest.mark.parametrize("status", ["000", "099", "600", "999"])
def test_invalid_status_of_one_endpoint_is_followed_by_another_attempt(status):
    async def work():
        def respond(request):
            return make_response(request.headers["x-request-id"], status, "length", True)

        sound = fleet_fakes.FakeEndpoint("e2")
        faulty = fleet_fakes.FakeEndpoint("e1", handler=respond)
        async with GatewayHarness(faulty, sound) as harness:
            assert (await harness.send()).status == 200

    run(work())


@pytest.mark.parametrize("status", ["000", "099", "600", "999"])
def test_relay_passes_on_no_invalid_status(status, monkeypatch):
    async def work():
        async def find_nothing(monitor):
            pass

        def respond(request):
            return make_response(request.headers["x-request-id"], status, "length", True)

        monkeypatch.setattr(reachability.PathMonitor, "_check", find_nothing)
        relay = fleet_fakes.FakeEndpoint(handler=respond)
        routes = [make_route(timeout_s=0.5, max_attempts=1)]
        async with GatewayHarness(relay, routes=routes) as harness:
            now = harness.gateway.clock.monotonic()
            harness.gateway._relays.update([(relay.record().address, "thrace")], now)
            harness.gateway._paths.lost = True
            response = await harness.send()
            assert response.status in (502, 504)
            assert relay.requests

    run(work())


@pytest.mark.parametrize("status", ["000", "099", "600", "999"])
def test_call_between_instances_takes_no_invalid_status(status):
    async def work():
        async def serve(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(b"HTTP/1.1 %s X\r\ncontent-length: 2\r\n\r\n{}" % status.encode())

        listener = await asyncio.start_server(serve, "127.0.0.1", 0)
        address = f"127.0.0.1:{listener.sockets[0].getsockname()[1]}"
        pool = client.ConnectionPool()
        with pytest.raises(errors.TransportError):
            await client.Client(pool).call(address, "GET", "/v1/x", timeout=clock.seconds(1))
        await pool.close()
        listener.close()

    run(work())


@pytest.mark.parametrize("framing", ["length", "chunked", "stream"])
@pytest.mark.parametrize("status", ["000", "099", "199", "600", "999"])
def test_entry_instance_passes_on_no_invalid_status(status, framing, monkeypatch):
    async def scenario(harness):
        harness.endpoint.response = make_response("{id}", status, framing, False)
        harness.endpoint.connection_action = "close"
        reply = await harness.caller.send("GET", "/names/x")
        assert reply.status in (502, 504)

    test_request_path.run_scenario(scenario, monkeypatch)
