"""Requests to endpoints that name how many they take, over all gateways together."""

import asyncio

import fleet_fakes
import pytest

from flamingotiller import clock

LIMIT = 5.0
# The interface's bound: in any four seconds one and a half times what the limit allows, and five.
BOUND_FACTOR, BOUND_SLACK, BOUND_WINDOW_S = 1.5, 5, 4.0


def bound(limit, seconds=BOUND_WINDOW_S):
    return BOUND_FACTOR * limit * seconds + BOUND_SLACK


def naming(limit):
    return lambda request: fleet_fakes.make_response(request, Server_Limit=limit)


async def send_many(harness, count, first=0):
    return [
        (await harness.send(fleet_fakes.make_request(id_=f"id-{number}"))).status
        for number in range(first, first + count)
    ]


def test_gateway_keeps_to_the_limit_that_an_endpoint_names():
    """Endpoints in need got all requests that came, since no gateway read the limit."""

    async def work():
        async with fleet_fakes.GatewayHarness(
            fleet_fakes.FakeEndpoint(handler=naming(str(LIMIT)))
        ) as harness:
            clk = clock.SystemClock()
            began_at = clk.monotonic()
            statuses = await send_many(harness, 150)
            elapsed_s = (clk.monotonic() - began_at).total_seconds()
            assert harness.run_count <= bound(LIMIT, max(BOUND_WINDOW_S, elapsed_s))
            # What is refused has not run.
            assert set(statuses) == {200, 503}
            assert statuses.count(200) == harness.run_count

    asyncio.run(work())


@pytest.mark.parametrize(
    "value", ["", "nan", "inf", "-1", "1e999", "²", "5,0", "many", "0x5", "1_0"]
)
def test_malformed_limit_is_harmless(value):
    async def work():
        endpoint = fleet_fakes.FakeEndpoint(
            handler=lambda r: naming("x")(r).replace(
                b"Server-Limit: x", f"Server-Limit: {value}".encode()
            )
        )
        async with fleet_fakes.GatewayHarness(endpoint) as harness:
            assert set(await send_many(harness, 40)) == {200}

    asyncio.run(work())
