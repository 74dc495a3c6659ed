"""Requests to endpoints that name how many they take, over all gateways together."""

import asyncio
import bisect
import random

import fleet_fakes
import pytest

from flamingotiller import clock
from flamingotiller.fleet import endpoint_limits, model, shares
from flamingotiller.platform import headers

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


ENDPOINT = model.Endpoint("e1", 1, 1, "s", "10.0.0.1:80", "t1", 8)
STEP_S = 0.02


class SimulatedGateway:
    """Wants requests to one endpoint all the time; uses each grant as late as it may."""

    def __init__(self, rate, position, count):
        self.limits = endpoint_limits.KnownLimits()
        self.limits.record(ENDPOINT, rate)
        self.limits.shares.set_place(position, count, clock.ZERO)
        self.cut_off_since = None
        self.send_times = []

    def want(self, rng, issuer, now):
        if self.limits.is_denied(ENDPOINT, now):
            return
        if issuer is None or self.cut_off_since is not None:
            if self.limits.try_without_grant(ENDPOINT, now):
                self.send_times.append(now)
        elif issuer.grant("e1 1", self.limits.rate(ENDPOINT), now):
            # A pause may come between the grant and the request.
            delay = endpoint_limits.GRANT_LIFETIME if rng.random() < 0.3 else clock.ZERO
            self.send_times.append(now + delay)
        else:
            self.limits.deny(ENDPOINT, now)


@pytest.mark.parametrize("rate", [0.0, 0.3, 1.0, 11.7, 100.0])
@pytest.mark.parametrize("count", [1, 3, 16, 60])
@pytest.mark.parametrize("seed", [1, 2])
def test_limit_holds_over_gateways_that_are_cut_off_paused_and_without_a_leader(rate, count, seed):
    """Gateways that know nothing of each other each kept to the limit, so all exceeded it."""
    rng = random.Random(seed)
    gateways = [SimulatedGateway(rate, position, count) for position in range(count)]
    issuer = endpoint_limits.GrantIssuer()
    leaderless_until = clock.ZERO
    for step in range(round(16 / STEP_S)):
        now = clock.seconds(100 + step * STEP_S)
        if rng.random() < 0.004:
            issuer, leaderless_until = endpoint_limits.GrantIssuer(), now + clock.seconds(1.5)
        if rng.random() < 0.01:
            chosen = rng.choice(gateways)
            chosen.cut_off_since = now if chosen.cut_off_since is None else None
        # Gateways in touch learn that others have been silent for a while.
        counted = [
            g
            for g in gateways
            if g.cut_off_since is None or now - g.cut_off_since < clock.seconds(5)
        ]
        for position, gateway in enumerate(counted):
            if gateway.cut_off_since is None:
                gateway.limits.shares.set_place(position, len(counted), now)
        leader = issuer if now >= leaderless_until else None
        for gateway in rng.sample(gateways, count):
            gateway.want(rng, leader, now)
    sent = sorted(at for gateway in gateways for at in gateway.send_times)
    window = clock.seconds(BOUND_WINDOW_S)
    most = max(bisect.bisect_left(sent, at + window) - i for i, at in enumerate(sent))
    assert most <= bound(rate)
    if rate:
        assert len(sent) > 0


@pytest.mark.parametrize("demanding", [1, 3, 16])
@pytest.mark.parametrize("rate", [1.0, 5.0, 11.7, 60.0])
def test_what_some_gateways_leave_of_a_limit_is_used_by_others(demanding, rate):
    """An endpoint that names a limit takes that much, whichever gateways its callers use."""
    rng = random.Random(3)
    gateways = [SimulatedGateway(rate, position, 16) for position in range(16)][:demanding]
    issuer = endpoint_limits.GrantIssuer()
    seconds = 20
    for step in range(round(seconds / STEP_S)):
        now = clock.seconds(100 + step * STEP_S)
        for gateway in rng.sample(gateways, demanding):
            gateway.want(rng, issuer, now)
    sent = sum(len(gateway.send_times) for gateway in gateways)
    assert 0.8 * rate * seconds <= sent <= rate * seconds + max(1.0, rate)


def test_limit_ends_with_a_response_without_one_and_holds_while_the_endpoint_is_out_of_the_view():
    limits = endpoint_limits.KnownLimits()
    assert limits.record(ENDPOINT, 5.0)
    assert not limits.record(ENDPOINT, 4.0)
    assert limits.rate(ENDPOINT) == 4.0
    restarted = model.Endpoint("e1", 2, 1, "s", "10.0.0.1:80", "t1", 8)
    assert limits.rate(restarted) is None
    assert limits.record(ENDPOINT, None)
    assert limits.rate(ENDPOINT) is None


@pytest.mark.parametrize(
    ("value", "rate"), [("11.7", 11.7), ("0", 0.0), ("5.", 5.0), ("1e3", None), ("-0", None)]
)
def test_limit_is_parsed_as_a_decimal_number(value, rate):
    assert headers.parse_limit(value) == rate


def test_limited_endpoint_gets_no_more_than_is_granted_and_the_rest_goes_elsewhere():
    async def work():
        limited = fleet_fakes.FakeEndpoint("e1", handler=naming("5"))
        other = fleet_fakes.FakeEndpoint("e2", zone="b1")
        async with fleet_fakes.GatewayHarness(limited, other) as harness:
            grants = iter([True, True, False])
            harness.steward.grants = lambda endpoint, rate: next(grants, False)
            statuses = [
                await harness.send(fleet_fakes.make_request(id_=f"i{n}")) for n in range(30)
            ]
            assert {r.status for r in statuses} == {200}
            # The first request told of the limit, two were granted.
            assert len(limited.requests) == 3
            assert len(other.requests) == 27

    asyncio.run(work())


# Of requests that the endpoint beside a limited one takes easily, at least so many are served.
MIN_SERVED_SHARE = 0.95


def test_free_endpoint_of_the_region_serves_what_a_limited_one_beside_it_does_not_take():
    """The other endpoint of the object's region was not in its order, and requests were refused."""

    async def work():
        limited = fleet_fakes.FakeEndpoint("e1", handler=naming("1"))
        free = fleet_fakes.FakeEndpoint("e2", slots=40)
        async with fleet_fakes.GatewayHarness(limited, free) as harness:
            responses = [
                await harness.send(
                    fleet_fakes.make_request(id_=f"i{n}", Cookie=f"X-Affinity-Key={n}")
                )
                for n in range(100)
            ]
            served = [response.status for response in responses].count(200)
            assert served >= MIN_SERVED_SHARE * len(responses)

    asyncio.run(work())


def test_grant_is_not_used_after_it_has_expired(monkeypatch):
    """A gateway that was paused between a grant and the request sent it late."""
    monkeypatch.setattr(endpoint_limits, "GRANT_LIFETIME", clock.seconds(-1))

    async def work():
        endpoint = fleet_fakes.FakeEndpoint(handler=naming("5"))
        async with fleet_fakes.GatewayHarness(endpoint) as harness:
            assert (await harness.send(fleet_fakes.make_request(id_="i0"))).status == 200
            response = await harness.send(fleet_fakes.make_request(id_="i1"))
            assert response.status == 503
            assert harness.run_count == 1

    asyncio.run(work())


@pytest.mark.parametrize("change", ["draining", "evacuated", "region"])
def test_request_that_waited_for_a_grant_goes_only_where_it_still_may(change):
    """A request that waited for its grant was sent by the view from before the wait."""

    async def work():
        endpoint = fleet_fakes.FakeEndpoint(handler=naming("5"))
        async with fleet_fakes.GatewayHarness(endpoint) as harness:
            assert (await harness.send(fleet_fakes.make_request(id_="i0"))).status == 200
            fields = {
                "draining": {"records": [endpoint.record(draining=True)]},
                "evacuated": {"evacuated": ["t1"]},
                "region": {"routes": [fleet_fakes.make_route(regions=frozenset({"balkan"}))]},
            }

            def change_and_grant(key, rate):
                harness.publish(**fields[change])
                return True

            harness.steward.grants = change_and_grant
            harness.steward.grant_delay_s = 0.2
            response = await harness.send(fleet_fakes.make_request(id_="i1"))
            assert response.status == 503
            assert harness.run_count == 1

    asyncio.run(work())


def test_gateway_that_cannot_ask_sends_no_more_than_its_share():
    async def work():
        endpoint = fleet_fakes.FakeEndpoint(handler=naming("40"))
        async with fleet_fakes.GatewayHarness(endpoint) as harness:
            assert (await harness.send(fleet_fakes.make_request(id_="i0"))).status == 200
            harness.steward.grants = None
            settled = shares.PositionShares(endpoint_limits.UNGRANTED_WINDOW)
            settled.set_place(0, 1, clock.seconds(-60))
            harness.gateway._endpoint_limits.shares = settled
            await send_many(harness, 40, first=1)
            assert harness.run_count - 1 <= bound(40.0)
            assert harness.run_count - 1 >= 1

    asyncio.run(work())
