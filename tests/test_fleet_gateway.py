"""A gateway over real sockets: what it passes on, what it refuses, and that refusals are true."""

import asyncio

import fleet_stand_ins
import pytest

from flamingotiller import clock
from flamingotiller.fleet import gateway, model

Endpoint, Site = fleet_stand_ins.Endpoint, fleet_stand_ins.Site
answer, request, route = fleet_stand_ins.answer, fleet_stand_ins.request, fleet_stand_ins.route
read_message = fleet_stand_ins.read_message


def run(work):
    return asyncio.run(work)


def test_answer_passes_unchanged_and_endpoint_learns_deadline_and_identity():
    async def work():
        async with Site() as site:
            found = await site.ask(request("/a/x?q=1", body=b"", Authorization_X="kept"))
            assert (found.status, found.body) == (200, b"whole")
            assert found.headers["x-response-seal"] == "seal"
            assert found.headers["x-request-id"] == "id-1"
            sent = site.endpoints[0].ran[0]
            assert sent.first == "GET /a/x?q=1 HTTP/1.1"
            assert sent.headers["x-expect-instance"] == "e1"
            assert 0 < int(sent.headers["x-deadline-ms"]) <= 1000
            assert sent.headers["host"] == "h.example"
            assert sent.headers["authorization-x"] == "kept"

    run(work())


ORGANISATION = model.Organisation("org", (model.key_digest("right"),), 0, 0.0, 0.0, frozenset())


@pytest.mark.parametrize(
    ("extra", "status"),
    [({}, 401), ({"X_Api_Key": "wrong"}, 401), ({"X_Api_Key": "right"}, 200)],
)
def test_keys_are_checked_and_replaced_by_the_organisation(extra, status):
    async def work():
        site = Site(routes=[route(open=False)], organisations=[ORGANISATION])
        async with site:
            found = await site.ask(request(X_Tenant_Id="forged", **extra))
            assert found.status == status
            if status == 200:
                sent = site.endpoints[0].ran[0].headers
                assert sent["x-tenant-id"] == "org"
                assert "x-api-key" not in sent
            else:
                assert site.runs == 0

    run(work())


def test_withdrawn_key_stops_working_and_an_unproved_one_is_refused_without_running():
    async def work():
        site = Site(routes=[route(open=False)], organisations=[ORGANISATION])
        async with site:
            key = request(X_Api_Key="right")
            assert (await site.ask(key)).status == 200
            await site.change(routes=[route(open=False), route("r2", "/b/")])
            # No organisation is left, so no key is asked for; one is put back without keys.
            other = model.Organisation("org", (), 0, 0.0, 0.0, frozenset())
            await site.change(routes=[route(open=False)], organisations=[other])
            assert (await site.ask(key)).status == 401
            await site.change(routes=[route(open=False)], organisations=[ORGANISATION])
            site.leader.silent = True
            bound = site.gateway.config.revocation_bound - gateway.REVOCATION_MARGIN
            await site.until(lambda: site.gateway.staleness() > bound)
            runs = site.runs
            found = await site.ask(key)
            assert found.status == 503
            assert float(found.headers["retry-after"]) > 0
            assert site.runs == runs

    run(work())


def reset(request_):
    return None


def never(request_):
    return asyncio.sleep(30)


def shed(request_):
    return answer(request_, b"", 503, X_Not_Executed="1")


def misdirected(request_):
    return answer(request_, b"", 421)


def failure(request_):
    return answer(request_, b"broken", 500)


def truncated(request_):
    return answer(request_)[:-2]


def crossed(request_):
    return answer(request_).replace(b"id-1", b"id-2")


def garbage(request_):
    return b"\x00\x01 not an answer\r\n\r\n"


# script of every endpoint; what callers of idempotent and of other requests get; and how often
# the latter may run.
FAULTS = [
    (reset, {502}, {502}, 1),
    (never, {504}, {504}, 1),
    (shed, {503}, {503}, 2),
    (misdirected, {503}, {503}, 2),
    (failure, {500}, {500}, 1),
    (truncated, {502, 504}, {502, 504}, 1),
    (crossed, {502}, {502}, 1),
    (garbage, {502}, {502}, 1),
]


@pytest.mark.parametrize("idempotent", [True, False])
@pytest.mark.parametrize(("script", "safe", "unsafe", "sends"), FAULTS)
def test_fault_table_of_endpoints(script, safe, unsafe, sends, idempotent):
    """Not run is only said of what did not run, and nothing that may have run is sent again."""

    async def work():
        endpoints = [Endpoint("e1", script=script), Endpoint("e2", "b1", script=script)]
        if script in (truncated, garbage):
            for endpoint in endpoints:
                endpoint.closes = True
        async with Site(*endpoints, routes=[route(idempotent=idempotent, timeout_s=0.4)]) as site:
            found = await site.ask(request(method="GET" if idempotent else "POST", body=b"b"))
            assert found.status in (safe if idempotent else unsafe)
            assert ("retry-after" in found.headers) == (found.status == 503)
            assert site.runs <= 2
            if not idempotent:
                assert site.runs <= sends

    run(work())


@pytest.mark.parametrize("script", [reset, failure])
def test_idempotent_request_is_served_by_another_endpoint(script):
    async def work():
        async with Site(Endpoint("e1", script=script), Endpoint("e2", "b1")) as site:
            found = await site.ask()
            assert (found.status, found.body) == (200, b"whole")

    run(work())


def test_error_of_an_endpoint_is_passed_on_when_no_other_does_better():
    """Grey endpoint: its answer is ready, so it is delivered rather than one of our own."""

    async def work():
        async with Site(Endpoint("e1", script=failure), Endpoint("e2", "b1", script=shed)) as site:
            found = await site.ask()
            assert (found.status, found.body) == (500, b"broken")
            assert found.headers["x-response-seal"] == "seal"

    run(work())


def test_attempts_are_bounded_by_the_route():
    async def work():
        endpoints = [Endpoint(f"e{n}", "t1" if n % 2 else "b1", script=shed) for n in range(6)]
        async with Site(*endpoints, routes=[route(max_attempts=1)]) as site:
            assert (await site.ask()).status == 503
            assert site.runs == 1

    run(work())


def test_extra_answer_on_an_idle_connection_is_never_taken_for_the_next():
    async def work():
        def twice(request_):
            return answer(request_) + answer(request_, b"extra")

        async with Site(Endpoint(script=twice)) as site:
            for number in range(5):
                found = await site.ask(request(id_=f"id-{number}"))
                assert (found.status, found.body) == (200, b"whole")
                assert found.headers["x-request-id"] == f"id-{number}"
            assert site.endpoints[0].connections == 5

    run(work())


def test_answer_without_a_length_is_whole_only_if_its_connection_ends_in_order():
    async def work():
        def unframed(request_):
            return answer(request_).replace(b"Content-Length: 5\r\n", b"Connection: close\r\n")

        async with Site(Endpoint(script=unframed)) as site:
            found = await site.ask()
            assert (found.status, found.body) == (200, b"whole")

    run(work())


def test_pipelined_requests_are_answered_in_order():
    async def work():
        async def slow_first(request_):
            await asyncio.sleep(0.1 if request_.headers["x-request-id"] == "id-0" else 0)
            return answer(request_, request_.headers["x-request-id"].encode())

        async with Site(Endpoint(script=slow_first)) as site:
            reader, writer = await site.connect()
            writer.write(b"".join(request(id_=f"id-{n}") for n in range(5)))
            bodies = [(await read_message(reader)).body for _ in range(5)]
            assert bodies == [f"id-{n}".encode() for n in range(5)]

    run(work())


def test_work_is_cancelled_when_the_caller_leaves():
    async def work():
        async with Site(Endpoint(script=never)) as site:
            _, writer = await site.connect()
            writer.write(request())
            await site.until(lambda: site.runs == 1)
            writer.close()
            await site.until(lambda: site.endpoints[0].gone == 1)

    run(work())


@pytest.mark.parametrize(
    "data",
    [
        request(Transfer_Encoding="chunked", Content_Length="3"),
        request().replace(b"\r\n\r\n", b"\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n"),
        request().replace(b"HTTP/1.1", b"HTTP/3.9"),
        request().replace(b"GET /a/x", b"GET a/x"),
        b"\x16\x03\x01 hello\r\n\r\n",
    ],
)
def test_requests_that_two_sides_could_read_differently_are_refused_and_closed(data):
    async def work():
        async with Site() as site:
            reader, writer = await site.connect()
            writer.write(data)
            found = await read_message(reader)
            assert 400 <= found.status < 506 and found.status != 408
            assert await reader.read() == b""
            assert site.runs == 0

    run(work())


def test_unknown_routes_are_refused_for_good_only_on_a_new_view():
    async def work():
        async with Site() as site:
            assert (await site.ask(request("/zz/x"))).status == 404
            site.leader.silent = True
            await site.until(lambda: site.gateway.staleness() > gateway.MAX_VIEW_AGE_FOR_REJECTION)
            assert (await site.ask(request("/zz/x"))).status == 503
            assert (await site.ask(request("/a/x"))).status == 200

    run(work())


def test_full_endpoints_are_not_sent_more_and_the_refusal_comes_at_once():
    """Overload: the request is refused when all that may serve its object are full."""

    async def work():
        release = asyncio.Event()

        async def held(request_):
            await release.wait()
            return answer(request_)

        async with Site(Endpoint(slots=2, script=held)) as site:
            waiting = [asyncio.ensure_future(site.ask(request(id_=f"w{n}"))) for n in range(2)]
            await site.until(lambda: site.runs == 2)
            began = clock.SystemClock().monotonic()
            found = await site.ask(request(id_="late"))
            took = clock.SystemClock().monotonic() - began
            assert found.status == 503
            assert 0 < float(found.headers["retry-after"]) <= 0.3
            # The deadline is a second: it has not been held anywhere near to it.
            assert took < clock.seconds(0.5)
            assert site.runs == 2
            release.set()
            assert [f.status for f in await asyncio.gather(*waiting)] == [200] * 2

    run(work())


def test_organisation_is_held_to_the_tokens_that_the_leader_gives():
    async def work():
        limited = model.Organisation(
            "org", (model.key_digest("right"),), 0, 10.0, 10.0, frozenset()
        )
        async with Site(routes=[route(open=False)], organisations=[limited]) as site:
            site.leader.tokens["org"] = 3
            statuses = [
                (await site.ask(request(id_=f"i{n}", X_Api_Key="right"))).status for n in range(5)
            ]
            assert statuses == [200, 200, 200, 429, 429]
            assert site.runs == 3

    run(work())


def test_evacuated_zone_gets_nothing_once_the_change_is_in_force():
    async def work():
        async with Site(Endpoint("e1", "t1"), Endpoint("e2", "b1")) as site:
            await site.ask()
            assert len(site.endpoints[0].ran) == 1
            await site.change(evacuated=["t1"])
            for number in range(10):
                assert (await site.ask(request(id_=f"n{number}"))).status == 200
            assert len(site.endpoints[0].ran) == 1

    run(work())


def test_planned_stop_cuts_nothing_and_sends_callers_away(monkeypatch):
    monkeypatch.setattr(gateway, "SHUTDOWN_DELAY", clock.seconds(0.3))

    async def work():
        async def slow(request_):
            await asyncio.sleep(0.15)
            return answer(request_)

        async with Site(Endpoint(script=slow)) as site:
            reader, writer = await site.connect()
            writer.write(request())
            await site.until(lambda: site.runs == 1)
            assert site.gateway.ready()
            stop = asyncio.ensure_future(site.gateway.stop())
            await site.until(lambda: not site.gateway.ready())
            late = asyncio.ensure_future(site.ask(request(id_="late")))
            first = await read_message(reader)
            assert (first.status, (await late).status) == (200, 200)
            assert (await late).headers["connection"] == "close"
            await stop

    run(work())


def test_other_lifetime_at_an_address_is_told_and_another_endpoint_serves():
    async def work():
        async with Site(Endpoint("e1", script=misdirected), Endpoint("e2", "b1")) as site:
            assert (await site.ask()).status == 200
            assert len(site.endpoints[1].ran) == 1

    run(work())


@pytest.mark.parametrize(
    ("own", "route_regions", "served_by"),
    [({"balkan"}, set(), "e2"), (set(), {"balkan"}, "e2"), ({"balkan"}, {"thrace"}, None)],
)
def test_homes_of_route_and_organisation_both_bind(own, route_regions, served_by):
    async def work():
        organisation = model.Organisation(
            "org", (model.key_digest("right"),), 0, 0.0, 0.0, frozenset(own)
        )
        home = route(open=False, regions=frozenset(route_regions))
        site = Site(
            Endpoint("e1", "t1"), Endpoint("e2", "b1"), routes=[home], organisations=[organisation]
        )
        async with site:
            found = await site.ask(request(X_Api_Key="right"))
            ran = [e.id for e in site.endpoints if e.ran]
            assert ran == ([served_by] if served_by else [])
            assert found.status == (200 if served_by else 503)

    run(work())


def test_first_requests_of_an_organisation_that_arrive_together_all_get_tokens():
    """Burst after idleness: nothing is in stock, and one draw is under way for all of them."""
    limited = model.Organisation("org", ORGANISATION.key_digests, 0, 50.0, 50.0, frozenset())

    async def work():
        endpoint = Endpoint(slots=200)
        site = Site(endpoint, routes=[route(open=False)], organisations=[limited])
        async with site:
            site.leader.tokens["org"] = 40
            asked = (site.ask(request(X_Api_Key="right", id_=f"i{n}")) for n in range(20))
            found = await asyncio.gather(*asked)
            assert [f.status for f in found] == [200] * 20

    run(work())


@pytest.mark.parametrize("count", [1, 4, 16, 24, 122, 400])
def test_second_sends_at_rest_are_bounded_over_all_gateways(count):
    """Many gateways: whole reserves of each, used at once, would exceed the operator's bound."""

    async def work():
        async with Site() as site:
            site.gateway._cold_gate.count = count
            each = site.gateway._retry_reserve()
            assert 1 <= each <= gateway.MAX_RETRY_RESERVE
            assert each * count <= max(gateway.FLEET_RETRY_RESERVE, count)

    run(work())
