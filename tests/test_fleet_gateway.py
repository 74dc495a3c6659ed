"""A gateway over real sockets: forwarding, refusals, and whether refusals tell the truth."""

import asyncio
import contextlib
import dataclasses

import fleet_fakes
import pytest

from flamingotiller import clock
from flamingotiller.fleet import gateway, model

FakeEndpoint, GatewayHarness = fleet_fakes.FakeEndpoint, fleet_fakes.GatewayHarness
make_request, make_response = fleet_fakes.make_request, fleet_fakes.make_response
make_route, read_message = fleet_fakes.make_route, fleet_fakes.read_message


def run(work):
    return asyncio.run(work)


def test_response_is_unchanged_and_endpoint_gets_deadline_and_id():
    async def work():
        async with GatewayHarness() as harness:
            response = await harness.send(
                make_request("/a/x?q=1", body=b"", Authorization_X="kept")
            )
            assert (response.status, response.body) == (200, b"whole")
            assert response.headers["x-response-seal"] == "seal"
            assert response.headers["x-request-id"] == "id-1"
            sent = harness.endpoints[0].requests[0]
            assert sent.start_line == "GET /a/x?q=1 HTTP/1.1"
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
        harness = GatewayHarness(routes=[make_route(open=False)], organisations=[ORGANISATION])
        async with harness:
            response = await harness.send(make_request(X_Tenant_Id="forged", **extra))
            assert response.status == status
            if status == 200:
                sent = harness.endpoints[0].requests[0].headers
                assert sent["x-tenant-id"] == "org"
                assert "x-api-key" not in sent
            else:
                assert harness.run_count == 0

    run(work())


def test_revoked_key_is_rejected_and_unconfirmed_key_is_not_run():
    async def work():
        harness = GatewayHarness(routes=[make_route(open=False)], organisations=[ORGANISATION])
        async with harness:
            key = make_request(X_Api_Key="right")
            assert (await harness.send(key)).status == 200
            await harness.publish_and_wait(routes=[make_route(open=False), make_route("r2", "/b/")])
            # Without any organisation no key would be required, so one without keys is published.
            other = model.Organisation("org", (), 0, 0.0, 0.0, frozenset())
            await harness.publish_and_wait(routes=[make_route(open=False)], organisations=[other])
            assert (await harness.send(key)).status == 401
            await harness.publish_and_wait(
                routes=[make_route(open=False)], organisations=[ORGANISATION]
            )
            harness.steward.silent = True
            bound = harness.gateway.config.revocation_bound - gateway.REVOCATION_MARGIN
            await harness.wait_until(lambda: harness.gateway.staleness() > bound)
            runs = harness.run_count
            response = await harness.send(key)
            assert response.status == 503
            assert float(response.headers["retry-after"]) > 0
            assert harness.run_count == runs

    run(work())


def reset(request):
    return None


def never(request):
    return asyncio.sleep(30)


def shed(request):
    return make_response(request, b"", 503, X_Not_Executed="1")


def misdirected(request):
    return make_response(request, b"", 421)


def failure(request):
    return make_response(request, b"broken", 500)


def truncated(request):
    return make_response(request)[:-2]


def crossed(request):
    return make_response(request).replace(b"id-1", b"id-2")


def garbage(request):
    return b"\x00\x01 not an answer\r\n\r\n"


# Handler of every endpoint, statuses allowed for idempotent and for other requests, and how often a
# request that is not idempotent may be sent.
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
@pytest.mark.parametrize(("handler", "idempotent_statuses", "other_statuses", "max_sends"), FAULTS)
def test_fault_table_of_endpoints(
    handler, idempotent_statuses, other_statuses, max_sends, idempotent
):
    """Only a request that did not run is reported so; one that may have run is not sent again."""

    async def work():
        endpoints = [FakeEndpoint("e1", handler=handler), FakeEndpoint("e2", "b1", handler=handler)]
        if handler in (truncated, garbage):
            for endpoint in endpoints:
                endpoint.closes_connection = True
        async with GatewayHarness(
            *endpoints, routes=[make_route(idempotent=idempotent, timeout_s=0.4)]
        ) as harness:
            response = await harness.send(
                make_request(method="GET" if idempotent else "POST", body=b"b")
            )
            assert response.status in (idempotent_statuses if idempotent else other_statuses)
            assert ("retry-after" in response.headers) == (response.status == 503)
            assert harness.run_count <= 2
            if not idempotent:
                assert harness.run_count <= max_sends

    run(work())


@pytest.mark.parametrize("handler", [reset, failure])
def test_idempotent_request_is_retried_at_another_endpoint(handler):
    async def work():
        async with GatewayHarness(
            FakeEndpoint("e1", handler=handler), FakeEndpoint("e2", "b1")
        ) as harness:
            response = await harness.send()
            assert (response.status, response.body) == (200, b"whole")

    run(work())


def test_endpoint_error_is_returned_if_retry_fails():
    """An endpoint that only returns errors: its response is preferred to the gateway's refusal."""

    async def work():
        async with GatewayHarness(
            FakeEndpoint("e1", handler=failure), FakeEndpoint("e2", "b1", handler=shed)
        ) as harness:
            response = await harness.send()
            assert (response.status, response.body) == (500, b"broken")
            assert response.headers["x-response-seal"] == "seal"

    run(work())


def test_attempts_are_bounded_by_the_route():
    async def work():
        endpoints = [FakeEndpoint(f"e{n}", "t1" if n % 2 else "b1", handler=shed) for n in range(6)]
        async with GatewayHarness(*endpoints, routes=[make_route(max_attempts=1)]) as harness:
            assert (await harness.send()).status == 503
            assert harness.run_count == 1

    run(work())


def test_extra_answer_on_an_idle_connection_is_never_taken_for_the_next():
    async def work():
        def twice(request):
            return make_response(request) + make_response(request, b"extra")

        async with GatewayHarness(FakeEndpoint(handler=twice)) as harness:
            for number in range(5):
                response = await harness.send(make_request(id_=f"id-{number}"))
                assert (response.status, response.body) == (200, b"whole")
                assert response.headers["x-request-id"] == f"id-{number}"
            assert harness.endpoints[0].connection_count == 5

    run(work())


def test_response_without_length_is_complete_on_orderly_close():
    async def work():
        def unframed(request):
            return make_response(request).replace(
                b"Content-Length: 5\r\n", b"Connection: close\r\n"
            )

        async with GatewayHarness(FakeEndpoint(handler=unframed)) as harness:
            response = await harness.send()
            assert (response.status, response.body) == (200, b"whole")

    run(work())


def test_pipelined_requests_are_answered_in_order():
    async def work():
        async def slow_first(request):
            await asyncio.sleep(0.1 if request.headers["x-request-id"] == "id-0" else 0)
            return make_response(request, request.headers["x-request-id"].encode())

        async with GatewayHarness(FakeEndpoint(handler=slow_first)) as harness:
            reader, writer = await harness.connect()
            writer.write(b"".join(make_request(id_=f"id-{n}") for n in range(5)))
            bodies = [(await read_message(reader)).body for _ in range(5)]
            assert bodies == [f"id-{n}".encode() for n in range(5)]

    run(work())


def test_work_is_cancelled_when_the_caller_leaves():
    async def work():
        async with GatewayHarness(FakeEndpoint(handler=never)) as harness:
            _, writer = await harness.connect()
            writer.write(make_request())
            await harness.wait_until(lambda: harness.run_count == 1)
            writer.close()
            await harness.wait_until(lambda: harness.endpoints[0].abandoned == 1)

    run(work())


@pytest.mark.parametrize(
    "data",
    [
        make_request(Transfer_Encoding="chunked", Content_Length="3"),
        make_request().replace(b"\r\n\r\n", b"\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n"),
        make_request().replace(b"HTTP/1.1", b"HTTP/3.9"),
        make_request().replace(b"GET /a/x", b"GET a/x"),
        b"\x16\x03\x01 hello\r\n\r\n",
    ],
)
def test_ambiguous_request_is_refused_and_connection_closed(data):
    async def work():
        async with GatewayHarness() as harness:
            reader, writer = await harness.connect()
            writer.write(data)
            response = await read_message(reader)
            assert 400 <= response.status < 506 and response.status != 408
            assert await reader.read() == b""
            assert harness.run_count == 0

    run(work())


def test_unknown_route_is_rejected_permanently_only_with_fresh_view():
    async def work():
        async with GatewayHarness() as harness:
            assert (await harness.send(make_request("/zz/x"))).status == 404
            harness.steward.silent = True
            await harness.wait_until(
                lambda: harness.gateway.staleness() > gateway.MAX_VIEW_AGE_FOR_REJECTION
            )
            assert (await harness.send(make_request("/zz/x"))).status == 503
            assert (await harness.send(make_request("/a/x"))).status == 200

    run(work())


def test_request_is_refused_at_once_when_endpoints_are_full():
    """Overload: a request is refused, not queued, if all endpoints for its object are full."""

    async def work():
        release = asyncio.Event()

        async def block(request):
            await release.wait()
            return make_response(request)

        async with GatewayHarness(FakeEndpoint(slots=2, handler=block)) as harness:
            waiting = [
                asyncio.ensure_future(harness.send(make_request(id_=f"w{n}"))) for n in range(2)
            ]
            await harness.wait_until(lambda: harness.run_count == 2)
            started_at = clock.SystemClock().monotonic()
            response = await harness.send(make_request(id_="late"))
            duration = clock.SystemClock().monotonic() - started_at
            assert response.status == 503
            assert 0 < float(response.headers["retry-after"]) <= 0.3
            # The caller's deadline is one second; the refusal must not have waited for it.
            assert duration < clock.seconds(0.5)
            assert harness.run_count == 2
            release.set()
            assert [f.status for f in await asyncio.gather(*waiting)] == [200] * 2

    run(work())


def test_organisation_is_limited_to_granted_tokens():
    async def work():
        limited = model.Organisation(
            "org", (model.key_digest("right"),), 0, 10.0, 10.0, frozenset()
        )
        async with GatewayHarness(
            routes=[make_route(open=False)], organisations=[limited]
        ) as harness:
            harness.steward.tokens["org"] = 3
            statuses = [
                (await harness.send(make_request(id_=f"i{n}", X_Api_Key="right"))).status
                for n in range(5)
            ]
            assert statuses == [200, 200, 200, 429, 429]
            assert harness.run_count == 3

    run(work())


def test_evacuated_zone_gets_nothing_once_the_change_is_in_force():
    async def work():
        async with GatewayHarness(FakeEndpoint("e1", "t1"), FakeEndpoint("e2", "b1")) as harness:
            await harness.send()
            assert len(harness.endpoints[0].requests) == 1
            await harness.publish_and_wait(evacuated=["t1"])
            for number in range(10):
                assert (await harness.send(make_request(id_=f"n{number}"))).status == 200
            assert len(harness.endpoints[0].requests) == 1

    run(work())


def test_graceful_stop_finishes_requests_and_asks_callers_to_disconnect(monkeypatch):
    monkeypatch.setattr(gateway, "SHUTDOWN_DELAY", clock.seconds(0.3))

    async def work():
        async def slow(request):
            await asyncio.sleep(0.15)
            return make_response(request)

        async with GatewayHarness(FakeEndpoint(handler=slow)) as harness:
            reader, writer = await harness.connect()
            writer.write(make_request())
            await harness.wait_until(lambda: harness.run_count == 1)
            assert harness.gateway.ready()
            stop = asyncio.ensure_future(harness.gateway.stop())
            await harness.wait_until(lambda: not harness.gateway.ready())
            late = asyncio.ensure_future(harness.send(make_request(id_="late")))
            first = await read_message(reader)
            assert (first.status, (await late).status) == (200, 200)
            assert (await late).headers["connection"] == "close"
            await stop

    run(work())


def test_misdirected_request_is_served_by_another_endpoint():
    async def work():
        async with GatewayHarness(
            FakeEndpoint("e1", handler=misdirected), FakeEndpoint("e2", "b1")
        ) as harness:
            assert (await harness.send()).status == 200
            assert len(harness.endpoints[1].requests) == 1

    run(work())


@pytest.mark.parametrize(
    ("own", "route_regions", "served_by"),
    [({"balkan"}, set(), "e2"), (set(), {"balkan"}, "e2"), ({"balkan"}, {"thrace"}, None)],
)
def test_regions_of_route_and_organisation_both_apply(own, route_regions, served_by):
    async def work():
        organisation = model.Organisation(
            "org", (model.key_digest("right"),), 0, 0.0, 0.0, frozenset(own)
        )
        limited_route = make_route(open=False, regions=frozenset(route_regions))
        harness = GatewayHarness(
            FakeEndpoint("e1", "t1"),
            FakeEndpoint("e2", "b1"),
            routes=[limited_route],
            organisations=[organisation],
        )
        async with harness:
            response = await harness.send(make_request(X_Api_Key="right"))
            served = [e.id for e in harness.endpoints if e.requests]
            assert served == ([served_by] if served_by else [])
            assert response.status == (200 if served_by else 503)

    run(work())


def test_simultaneous_first_requests_all_get_tokens():
    """Burst after an idle period: nothing is in stock, and all requests wait for one draw."""
    limited = model.Organisation("org", ORGANISATION.key_digests, 0, 50.0, 50.0, frozenset())

    async def work():
        endpoint = FakeEndpoint(slots=200)
        harness = GatewayHarness(endpoint, routes=[make_route(open=False)], organisations=[limited])
        async with harness:
            harness.steward.tokens["org"] = 40
            sends = (harness.send(make_request(X_Api_Key="right", id_=f"i{n}")) for n in range(20))
            responses = await asyncio.gather(*sends)
            assert [r.status for r in responses] == [200] * 20

    run(work())


@pytest.mark.parametrize("count", [0, 1, 4, 16, 24, 122, 400])
def test_retry_reserves_are_bounded_over_all_gateways(count):
    """With many gateways, full reserves used at once would exceed the operator's retry bound."""

    async def work():
        async with GatewayHarness() as harness:
            harness.gateway._chooser.set_place(0, count, clock.ZERO)
            reserve = harness.gateway._retry_reserve()
            assert reserve >= 1
            assert count or reserve == 1
            assert reserve * count <= max(harness.gateway.config.retry_slack, count)

    run(work())


@pytest.mark.parametrize("count", [1, 4, 16, 122])
def test_gateway_starts_without_a_retry_reserve(count):
    """Gateways that were restarted each brought a new reserve into the window in which the ones
    before them had used theirs, so that all retries together exceeded the operator's bound."""

    async def work():
        async with GatewayHarness() as harness:
            harness.gateway._chooser.set_place(0, count, clock.ZERO)
            budget = harness.gateway._retry_budget("s")
            taken = sum(budget.take() for _ in range(200))
            assert taken <= gateway.MIN_RETRY_RESERVE
            requests = 1000
            for _ in range(requests):
                budget.on_first_attempt()
            taken = sum(budget.take() for _ in range(200))
            assert 1 <= taken <= max(1, harness.gateway._retry_reserve())

    run(work())


def test_key_that_is_withdrawn_while_the_body_arrives_runs_nothing():
    """The gateway knows of the withdrawal before the rest of the body comes."""

    async def work():
        harness = GatewayHarness(routes=[make_route(open=False)], organisations=[ORGANISATION])
        async with harness:
            request = make_request(method="POST", body=b"0123456789", X_Api_Key="right")
            reader, writer = await harness.connect()
            writer.write(request[:-5])
            await asyncio.sleep(0.05)
            without_keys = model.Organisation("org", (), 0, 0.0, 0.0, frozenset())
            await harness.publish_and_wait(
                routes=[make_route(open=False)], organisations=[without_keys]
            )
            writer.write(request[-5:])
            assert (await read_message(reader)).status == 401
            assert harness.run_count == 0

    run(work())


def test_route_that_is_removed_while_the_body_arrives_runs_nothing():
    async def work():
        async with GatewayHarness() as harness:
            request = make_request(method="POST", body=b"0123456789")
            reader, writer = await harness.connect()
            writer.write(request[:-5])
            await asyncio.sleep(0.05)
            await harness.publish_and_wait(routes=[make_route("r2", "/b/")])
            writer.write(request[-5:])
            assert (await read_message(reader)).status == 404
            assert harness.run_count == 0

    run(work())


@pytest.mark.parametrize("value", [b"\xb2", b"12\xb3", b"", b"-1", b"1e3", b"9" * 5000])
def test_malformed_deadline_counts_as_none(value):
    async def work():
        async with GatewayHarness() as harness:
            request = make_request().replace(b"X-Deadline-Ms: 1000", b"X-Deadline-Ms: " + value)
            assert (await harness.send(request)).status == 200

    run(work())


@pytest.mark.parametrize(
    "header",
    [
        b"Keep-Alive: timeout=\xb2",
        b"Keep-Alive: timeout=" + b"9" * 5000,
        b"X-Server-Load: \xb2,0,8",
    ],
)
def test_malformed_header_of_an_endpoint_spoils_no_response(header):
    async def work():
        def strange(request):
            return make_response(request).replace(b"X-Server-Load: 1,0,8", header)

        async with GatewayHarness(FakeEndpoint(handler=strange)) as harness:
            assert (await harness.send()).status == 200

    run(work())


def test_stop_gives_long_requests_the_grace_period(monkeypatch):
    """Requests of seconds under a long grace period: they end with it, not after a fixed time."""
    monkeypatch.setattr(gateway, "SHUTDOWN_DELAY", clock.seconds(0.1))

    async def work():
        async def slow(request):
            await asyncio.sleep(2.5)
            return make_response(request)

        harness = GatewayHarness(FakeEndpoint(handler=slow), routes=[make_route(timeout_s=8.0)])
        async with harness:
            harness.gateway.config = dataclasses.replace(
                harness.gateway.config, grace_period=clock.seconds(10)
            )
            request = asyncio.ensure_future(harness.send(make_request(X_Deadline_Ms="8000")))
            await harness.wait_until(lambda: harness.run_count == 1)
            await harness.gateway.stop()
            assert (await request).status == 200

    run(work())


def stopping_harness(work_s, grace_s, **route_fields):
    async def work(request):
        await asyncio.sleep(work_s)
        return make_response(request)

    harness = GatewayHarness(FakeEndpoint(handler=work), routes=[make_route(**route_fields)])
    harness.grace_s = grace_s
    return harness


async def stop_after(harness, pause_s):
    """Begins a stop; returns its task after a pause."""
    harness.gateway.config = dataclasses.replace(
        harness.gateway.config, grace_period=clock.seconds(harness.grace_s)
    )
    stop = asyncio.ensure_future(harness.gateway.stop())
    await asyncio.sleep(pause_s)
    return stop


@pytest.mark.parametrize(
    ("idempotent", "deadline_ms", "pause_s", "status"),
    [
        # A request that may outlast the stop is refused, so that another gateway serves it,
        (False, 5000, 0.0, 503),
        (True, 5000, 1.1, 503),
        # unless it may be repeated and the stop has just begun, or it ends in time.
        (True, 5000, 0.0, 200),
        (False, 1000, 1.1, 200),
        (True, 1000, 1.1, 200),
    ],
)
def test_stopping_gateway_takes_only_requests_that_end_before_it_does(
    monkeypatch, idempotent, deadline_ms, pause_s, status
):
    """Requests that came late in the grace period were taken, passed on and cut off at its end,
    among them some that may not be repeated."""
    monkeypatch.setattr(gateway, "SHUTDOWN_DELAY", clock.seconds(1.8))
    monkeypatch.setattr(gateway, "SHUTDOWN_TAKES_ALL_FOR", clock.seconds(1))

    async def work():
        async with stopping_harness(0.02, 4.5, idempotent=idempotent, timeout_s=5.0) as harness:
            stop = await stop_after(harness, pause_s)
            response = await harness.send(make_request(X_Deadline_Ms=str(deadline_ms)))
            assert response.status == status
            assert response.headers["connection"] == "close"
            assert harness.run_count == (status == 200)
            if status == 503:
                assert float(response.headers["retry-after"]) == 0
                assert b'"stopping"' in response.body
                assert b'"not-run"' in response.body
            await stop

    run(work())


def test_request_whose_body_arrives_late_in_a_stop_is_refused(monkeypatch):
    monkeypatch.setattr(gateway, "SHUTDOWN_DELAY", clock.seconds(0.5))
    monkeypatch.setattr(gateway, "SHUTDOWN_TAKES_ALL_FOR", clock.seconds(0.1))

    async def work():
        async with stopping_harness(0.02, 2.0, timeout_s=5.0) as harness:
            reader, writer = await harness.connect()
            request = make_request(X_Deadline_Ms="5000", Content_Length="3")
            writer.write(request.replace(b"GET ", b"POST ", 1))
            await asyncio.sleep(0.05)
            stop = await stop_after(harness, 0.2)
            writer.write(b"abc")
            assert (await read_message(reader)).status == 503
            assert harness.run_count == 0
            await stop

    run(work())


def test_request_still_in_flight_at_the_end_of_a_stop_is_answered(monkeypatch):
    """The connection was closed without a response."""
    monkeypatch.setattr(gateway, "SHUTDOWN_DELAY", clock.seconds(0.1))

    async def work():
        async with stopping_harness(20, 0.8, timeout_s=8.0) as harness:
            request = asyncio.ensure_future(harness.send(make_request(X_Deadline_Ms="8000")))
            await harness.wait_until(lambda: harness.run_count == 1)
            await (await stop_after(harness, 0))
            response = await request
            assert (response.status, response.headers["connection"]) == (504, "close")
            assert b'"stopping"' in response.body

    run(work())


def test_requests_do_not_wait_for_a_branch_that_does_not_respond():
    """All stewards are lost: the first request waits for its draw, those of other organisations are
    refused at once."""
    organisations = [
        model.Organisation(f"o{n}", (model.key_digest(f"k{n}"),), 0, 50.0, 50.0, frozenset())
        for n in range(6)
    ]

    async def work():
        harness = GatewayHarness(routes=[make_route(open=False)], organisations=organisations)
        async with harness:
            harness.steward.silent = True
            assert (await harness.send(make_request(X_Api_Key="k0"))).status == 429
            draws = []
            harness.gateway._quota.draw = lambda *arguments: draws.append(arguments)
            for number in range(1, 6):
                request = make_request(X_Api_Key=f"k{number}", id_=f"i{number}")
                assert (await harness.send(request)).status == 429
            assert draws == []

    run(work())


def test_contract_that_changes_while_the_body_arrives_does_not_refuse_the_request():
    async def work():
        harness = GatewayHarness(routes=[make_route(open=False)], organisations=[ORGANISATION])
        async with harness:
            request = make_request(method="POST", body=b"0123456789", X_Api_Key="right")
            reader, writer = await harness.connect()
            writer.write(request[:-5])
            await asyncio.sleep(0.05)
            other_rank = dataclasses.replace(ORGANISATION, rank=1)
            await harness.publish_and_wait(
                routes=[make_route(open=False)], organisations=[other_rank]
            )
            writer.write(request[-5:])
            assert (await read_message(reader)).status == 200

    run(work())


def test_key_that_is_withdrawn_while_a_pipelined_request_waits_for_room_runs_nothing():
    # Of this rank, one request at a time fits the endpoint.
    organisation = dataclasses.replace(ORGANISATION, rank=1)

    async def work():
        release = asyncio.Event()

        async def block(request):
            await release.wait()
            return make_response(request)

        harness = GatewayHarness(
            FakeEndpoint(slots=1, handler=block),
            routes=[make_route(open=False, timeout_s=5.0)],
            organisations=[organisation],
        )
        async with harness:
            reader, writer = await harness.connect()
            fields = {"X_Api_Key": "right", "X_Deadline_Ms": "5000"}
            writer.write(make_request(id_="i0", **fields) + make_request(id_="i1", **fields))
            await harness.wait_until(lambda: harness.run_count == 1)
            without_keys = dataclasses.replace(organisation, key_digests=())
            await harness.publish_and_wait(
                routes=[make_route(open=False, timeout_s=5.0)], organisations=[without_keys]
            )
            release.set()
            assert (await read_message(reader)).status == 200
            assert (await read_message(reader)).status == 401
            assert harness.run_count == 1

    run(work())


def test_endpoint_with_an_impossible_address_ends_no_request_and_no_task():
    """An address that cannot be connected to raised an error that nothing handled."""

    async def work():
        async with GatewayHarness(FakeEndpoint("e1"), FakeEndpoint("e2", "b1")) as harness:
            sound = harness.endpoints[1].record()
            odd = harness.endpoints[0].record(address="127.0.0.1:99999")
            await harness.publish_and_wait(records=[odd, sound])
            for number in range(8):
                response = await harness.send(make_request(id_=f"id-{number}"))
                assert response is not None and response.status in (200, 503)
            await harness.publish_and_wait(records=[odd])
            assert (await harness.send()).status == 503
            assert await harness.gateway._paths.verify()

    run(work())


def test_no_request_is_refused_beside_idle_endpoints_of_its_region():
    """A dead endpoint cost a third of the objects their service while two others were idle."""

    async def work():
        endpoints = [FakeEndpoint(f"e{number}", slots=40) for number in range(3)]
        async with GatewayHarness(*endpoints) as harness:
            dead = endpoints[0].record(address="127.0.0.1:1")
            records = [dead, *(endpoint.record() for endpoint in endpoints[1:])]
            await harness.publish_and_wait(records=records)
            # Retries that the operator's bound allows: none has been earned yet.
            harness.gateway._budget_by_service.clear()
            for number in range(40):
                request = make_request(id_=f"id-{number}", Cookie=f"X-Affinity-Key={number}")
                assert (await harness.send(request)).status == 200

    run(work())


@pytest.mark.parametrize(
    ("handler", "code"), [(reset, "avoided"), (None, "no-endpoint"), (never, "full")]
)
def test_refusal_names_what_kept_the_request_from_its_endpoints(handler, code):
    async def work():
        endpoint = FakeEndpoint(slots=1, handler=handler)
        async with GatewayHarness(endpoint, routes=[make_route(max_attempts=1)]) as harness:
            if handler is None:
                await harness.publish_and_wait(records=[endpoint.record(draining=True)])
            elif handler is never:
                for number in range(2):
                    _, writer = await harness.connect()
                    writer.write(make_request(id_=f"held-{number}"))
                await harness.wait_until(lambda: len(endpoint.requests) == 2)
            else:
                assert (await harness.send()).status == 502
            response = await harness.send()
            assert response.status == 503
            assert f'"error":"{code}"'.encode() in response.body
            assert float(response.headers["retry-after"]) > 0

    run(work())


class DrippingEndpoint(FakeEndpoint):
    """Sends the head of its response byte by byte, without an end."""

    async def _serve(self, reader, writer):
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            self.requests.append(await read_message(reader))
            writer.write(b"HTTP/1.1 200 OK\r\nX-Filler: ")
            while True:
                writer.write(b"x")
                await writer.drain()
                await asyncio.sleep(0.05)


class DeafEndpoint(FakeEndpoint):
    """Reads nothing."""

    async def _serve(self, reader, writer):
        self.requests.append(None)
        writer.transport.pause_reading()
        await asyncio.sleep(30)


@pytest.mark.parametrize("declares_length", [True, False])
@pytest.mark.parametrize(
    ("endpoint_type", "length"), [(DrippingEndpoint, 0), (DeafEndpoint, 8 * 1024 * 1024)]
)
def test_request_is_answered_in_time_whatever_its_endpoint_does(
    endpoint_type, length, declares_length
):
    """An endpoint that sent the head of its response a byte at a time, or did not read a long body,
    kept its caller without an answer beyond the route's timeout."""

    async def work():
        routes = [make_route(timeout_s=0.5, idempotent=False)]
        async with GatewayHarness(endpoint_type(), routes=routes) as harness:
            reader, writer = await harness.connect()
            extra = {} if declares_length else {"Transfer_Encoding": "chunked"}
            head = make_request(method="POST", X_Deadline_Ms="5000", **extra)
            if declares_length:
                head = head.replace(b"Content-Length: 0", b"Content-Length: %d" % length)
            else:
                head = head.replace(b"Content-Length: 0\r\n", b"")
            writer.write(head)
            body = b"b" * length
            if not declares_length:
                body = (b"%x\r\n" % length + body + b"\r\n" if body else b"") + b"0\r\n\r\n"
            writer.write(body)
            async with asyncio.timeout(5):
                response = await read_message(reader)
            assert response.status == 504
            assert harness.run_count == 1

    run(work())


def test_slow_body_of_a_caller_is_no_fault_of_the_endpoint_and_promises_nothing():
    """It was answered with 408, which promises that the request has not run."""

    async def work():
        routes = [make_route(timeout_s=0.5, idempotent=False)]
        async with GatewayHarness(routes=routes) as harness:
            length = 2 * gateway.MAX_BUFFERED_BODY_BYTES
            reader, writer = await harness.connect()
            request = make_request(method="POST", X_Deadline_Ms="5000")
            writer.write(request.replace(b"Content-Length: 0", b"Content-Length: %d" % length))
            writer.write(b"b" * (length - 1))
            async with asyncio.timeout(5):
                response = await read_message(reader)
            assert response.status == 504
            assert harness.gateway._chooser.health_by_id["e1"].timeouts == 0

    run(work())


@pytest.mark.parametrize(
    ("request_data", "status"),
    [
        (b"CONNECT h.example:443 HTTP/1.1\r\nHost: h.example\r\n\r\n", 501),
        (b"CONNECT /a/x HTTP/1.1\r\nHost: h.example\r\n\r\n", 501),
        (b"OPTIONS * HTTP/1.1\r\nHost: h.example\r\n\r\n", 400),
        (make_request(Connection="host"), 200),
        (make_request(Connection="close, Host"), 200),
    ],
)
def test_odd_requests_are_answered(request_data, status):
    """Guards against requests whose connection is reset instead of an answer."""

    async def work():
        async with GatewayHarness() as harness:
            assert (await harness.send(request_data)).status == status

    run(work())
