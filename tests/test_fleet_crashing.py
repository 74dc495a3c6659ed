"""Requests that end the endpoints that run them, over all gateways of a fleet."""

import asyncio
import contextlib

import fleet_cluster
import fleet_fakes
import hypothesis
import hypothesis.strategies as st
import polling
import pytest
import steward_cluster

from flamingotiller import clock, errors, quarantine
from flamingotiller.fleet import crash_reports, state, suspect_registry, suspects

# After the third end, and this long for all gateways to learn of it, at most so many more sends.
CONTACT_S = 3.0
MAX_LATE_SENDS = 3


@pytest.fixture(autouse=True)
def short_timeouts(monkeypatch):
    steward_cluster.shorten_timeouts(monkeypatch)


async def repeat_crashing_request(fleet, seconds, interval_s=0.1):
    """Sends the crashing request again and again, to the gateways in turn."""
    end = asyncio.get_running_loop().time() + seconds
    number, responses = 0, []
    while asyncio.get_running_loop().time() < end:
        node = fleet.gateways[number % len(fleet.gateways)]
        path = fleet_cluster.CRASHING_PATH
        responses.append(fleet.spawn(fleet.send(node, path, f"crash-{number}")))
        number += 1
        await asyncio.sleep(interval_s)
    return [await response for response in responses]


async def send_other_requests(fleet, seconds):
    """Sends requests that do no harm; returns their responses."""
    end = asyncio.get_running_loop().time() + seconds
    number, responses = 0, []
    while asyncio.get_running_loop().time() < end:
        node = fleet.gateways[number % len(fleet.gateways)]
        responses.append(fleet.spawn(fleet.send(node, f"/a/x{number}", f"other-{number}")))
        number += 1
        await asyncio.sleep(0.02)
    return [await response for response in responses]


def is_refused_as_suspect(response):
    return b"suspect" in response.body or b"quarantined" in response.body


def test_request_that_ends_endpoints_stops_reaching_them_through_any_gateway(tmp_path):
    """Each gateway avoided the endpoint and sent the request on to the next one."""

    async def scenario():
        async with fleet_cluster.Fleet(tmp_path) as fleet:
            others = fleet.spawn(send_other_requests(fleet, CONTACT_S + 3.0))
            await repeat_crashing_request(fleet, CONTACT_S + 3.0)
            third_end = fleet.ended_at[2]
            late = fleet.late_runs(fleet_cluster.CRASHING_PATH, third_end + CONTACT_S)
            assert late <= MAX_LATE_SENDS, f"{late} sends, {len(fleet.ended_at)} ends"
            assert not [r.body for r in await others if r and is_refused_as_suspect(r)]

    asyncio.run(scenario())


async def end_under(fleet, node, path, times):
    """Ends the endpoint of a request while the request runs, as another fault would."""
    for number in range(times):
        fleet.work_s = 0.2
        before = len(fleet.runs)
        sent = fleet.spawn(fleet.send(node, path, f"unlucky-{number}", method="POST", body=b"b"))
        await polling.wait_until(lambda before=before: len(fleet.runs) > before)
        endpoint = next(e for e in fleet.endpoints if e.running)
        fleet.crash(endpoint)
        assert (await sent).status == 502
        fleet.work_s = 0.03


def routes():
    # A request that may not be repeated has one end per arrival.
    return [fleet_fakes.make_route(idempotent=False)]


async def send_until_served(fleet, node, path, **extra):
    """Sends a request again while it is refused as not run, as callers do."""
    for number in range(50):
        response = await fleet.send(node, path, f"again-{number}", **extra)
        if response.status != 503:
            return response.status == 200
        await asyncio.sleep(0.05)
    return False


def cut_off(node, monkeypatch):
    async def call(peer, *arguments, **options):
        raise errors.ConnectError("cut off", peer=peer)

    monkeypatch.setattr(node._peer_client, "call", call)


def test_innocent_request_at_two_ends_is_served_after_a_trial(tmp_path):
    """Two unrelated ends of endpoints must not bar a request that happened to be there."""

    async def scenario():
        async with fleet_cluster.Fleet(tmp_path, 2, routes=routes()) as fleet:
            await end_under(fleet, fleet.gateways[0], "/a/unlucky", 2)
            leader = fleet.stewards.leaders()[0]
            await polling.wait_until(leader.state.suspect_by_fingerprint)
            body = {"method": "POST", "body": b"b"}
            for node in fleet.gateways:
                await polling.wait_until(lambda node=node: node.view.suspect_by_fingerprint)
            assert await send_until_served(fleet, fleet.gateways[1], "/a/unlucky", **body)
            for node in fleet.gateways:
                await polling.wait_until(lambda node=node: not node.view.suspect_by_fingerprint)
                assert (await fleet.send(node, "/a/unlucky", "r2", **body)).status == 200

    asyncio.run(scenario())


def test_suspects_outlive_a_leader_and_a_gateway(tmp_path):
    """A new leader or a restarted gateway that knew nothing would let it end endpoints again."""

    async def scenario():
        async with fleet_cluster.Fleet(tmp_path, 2) as fleet:
            await repeat_crashing_request(fleet, 1.5)
            ends = len(fleet.ended_at)
            leader = fleet.stewards.leaders()[0]
            await fleet.stewards.stop(leader.config.host)
            await polling.wait_until(lambda: len(fleet.stewards.leaders()) == 1)
            await fleet.gateways[0].abort()
            fleet.gateways[0] = await fleet.start_gateway(0)
            responses = await repeat_crashing_request(fleet, 1.5)
            assert len(fleet.ended_at) == ends
            assert {response.status for response in responses} == {503}

    asyncio.run(scenario())


def test_gateway_that_can_tell_nobody_stops_at_what_it_has_seen(tmp_path, monkeypatch):
    """While it is cut off it counts alone; afterwards the others learn of what it saw."""

    async def scenario():
        async with fleet_cluster.Fleet(tmp_path, 3) as fleet:
            isolated = fleet.gateways[0]
            with monkeypatch.context() as patched:
                cut_off(isolated, patched)
                for number in range(6):
                    await fleet.send(isolated, fleet_cluster.CRASHING_PATH, f"alone-{number}")
                assert len(fleet.ended_at) == suspects.SUSPECT_ENDS
                assert (await fleet.send(isolated, "/a/x1", "other")).status == 200
            for node in fleet.gateways:
                await polling.wait_until(lambda node=node: node.view.suspect_by_fingerprint)
            await repeat_crashing_request(fleet, 1.0)
            # One trial.
            assert len(fleet.ended_at) == suspects.SUSPECT_ENDS + 1

    asyncio.run(scenario())


def test_trial_of_a_paused_gateway_expires(tmp_path, monkeypatch):
    """A gateway that was paused after it was granted a trial must not run the request then."""

    async def scenario():
        async with fleet_cluster.Fleet(tmp_path, 2, routes=routes()) as fleet:
            node = fleet.gateways[0]
            await end_under(fleet, node, "/a/unlucky", 2)
            runs = len(fleet.runs)
            with monkeypatch.context() as patched:
                patched.setattr(crash_reports, "TRIAL_START_LIFETIME", -clock.seconds(1))
                response = await fleet.send(node, "/a/unlucky", "late", method="POST", body=b"b")
            assert response.status == 503
            assert len(fleet.runs) == runs
            # The trial was not used up, and no other one waits for it.
            leader = fleet.stewards.leaders()[0]
            await polling.wait_until(
                lambda: [s.trials for s in leader.state.suspect_by_fingerprint().values()] == [0]
            )

    asyncio.run(scenario())


def test_lost_connections_are_no_end_of_an_endpoint(tmp_path):
    """Endpoints that reset connections, and a gateway without any path, make no suspects."""

    async def scenario():
        async with fleet_cluster.Fleet(tmp_path, 2, routes=routes()) as fleet:
            node = fleet.gateways[0]
            fleet.work_s = 0.2
            for number in range(4):
                sent = fleet.spawn(fleet.send(node, "/a/reset", f"r{number}"))
                await polling.wait_until(lambda: any(e.running for e in fleet.endpoints))
                for endpoint in fleet.endpoints:
                    endpoint.reset_connections()
                await sent
            for number in range(3):
                sent = fleet.spawn(fleet.send(node, "/a/cut", f"c{number}"))
                await polling.wait_until(lambda: any(e.running for e in fleet.endpoints))
                for endpoint in fleet.endpoints:
                    endpoint.end()
                await sent
                for endpoint in fleet.endpoints:
                    await endpoint.start()
                    record = endpoint.record()
                    await fleet.stewards.retry(lambda n, r=record: n.report(r))
                await polling.wait_until(
                    lambda: all(e.id in node.view.endpoint_by_id for e in fleet.endpoints)
                )
            assert not fleet.stewards.leaders()[0].state.suspect_by_fingerprint()
            assert not node._crash_reports.is_suspect(fingerprint_of("/a/cut"))

    asyncio.run(scenario())


def fingerprint_of(path):
    return quarantine.request_fingerprint("", "GET", f"h.example{path}", b"")


def test_many_requests_at_one_end_are_reported_in_parts():
    """A report that a steward refuses for its length would be sent again and again."""

    async def scenario():
        sent = []

        async def call(path, body):
            sent.append(body["ends"])
            return {"suspects": []}

        class EndedProber:
            async def has_ended(self, endpoint, others):
                return True

        reports = crash_reports.CrashReports(EndedProber(), call, clock.SystemClock())
        endpoint = fleet_fakes.FakeEndpoint()
        endpoint.port = 1
        fingerprints = {f"f{n}" for n in range(suspects.MAX_REPORTED_REQUESTS + 10)}
        await gather(
            [
                asyncio.ensure_future(reports.on_connection_lost(endpoint.record(), f, []))
                for f in fingerprints
            ]
        )
        reports.deliver_soon()
        await polling.wait_until(lambda: len(sent) == 2)
        assert max(len(named) for ends in sent for named in ends.values()) <= (
            suspects.MAX_REPORTED_REQUESTS
        )
        assert {f for ends in sent for named in ends.values() for f in named} == fingerprints
        reports.deliver_soon()
        await asyncio.sleep(0)
        assert len(sent) == 2
        await reports.close()

    asyncio.run(scenario())


async def gather(tasks):
    return [await task for task in tasks]


def test_ends_are_counted_once_and_expire():
    ledger = suspects.EndLedger()
    ledger.record("e1 1", ["a", "b"], clock.ZERO)
    ledger.record("e1 1", ["a"], clock.ZERO)
    assert not ledger.is_suspect("a", clock.ZERO)
    ledger.record("e1 2", ["a"], clock.ZERO)
    assert ledger.is_suspect("a", clock.ZERO) and not ledger.is_suspect("b", clock.ZERO)
    later = suspects.SUSPICION_LIFETIME + clock.seconds(1)
    assert not ledger.is_suspect("a", later)
    ledger.record("e1 3", ["a"], later)
    assert ledger.ends("a", later) == ["e1 3"]


def test_one_trial_of_a_service_at_a_time():
    schedule = suspects.TrialSchedule()
    second = clock.seconds(1)
    assert schedule.begin("s", "t1", second, clock.ZERO)
    assert not schedule.begin("s", "t2", second, clock.ZERO)
    assert schedule.begin("other", "t3", second, clock.ZERO)
    assert schedule.begin("s", "t4", second, second)
    assert not schedule.end("s", "t1")
    assert not schedule.begin("s", "t5", second, second)
    assert schedule.end("s", "t4")
    assert schedule.begin("s", "t5", second, second)


@hypothesis.settings(derandomize=True, max_examples=150, deadline=None)
@hypothesis.given(st.lists(st.sampled_from(list(suspects.TrialOutcome)), max_size=8))
def test_suspect_has_few_trials_whatever_becomes_of_them(outcomes):
    """A request that crashes endpoints in ways that nobody sees must not be tried for ever."""

    async def scenario():
        applied = state.FleetState()
        index = 0

        async def propose(command):
            nonlocal index
            index += 1
            return applied.apply(command, index)

        registry = suspect_registry.SuspectRegistry(lambda: applied, propose, clock.SystemClock())
        assert await registry.record_ends({"e1 1": ["f"]}) == []
        assert await registry.record_ends({"e1 2": ["f", "g"]}) == ["f"]
        used = 0
        for number, outcome in enumerate(outcomes):
            granted = await registry.begin_trial(f"t{number}", "f", "s", clock.ZERO)
            if "f" not in applied.suspect_by_fingerprint():
                assert granted
                return
            if not granted:
                assert applied.suspect_by_fingerprint()["f"].quarantined
                return
            used += 1
            await registry.end_trial(f"t{number}", "f", "s", outcome)
            used -= outcome is suspects.TrialOutcome.NOT_RUN
            assert used <= suspects.MAX_TRIALS
            if outcome is suspects.TrialOutcome.FAILED:
                assert applied.suspect_by_fingerprint()["f"].quarantined

    asyncio.run(scenario())


def test_quarantine_does_not_begin_anew_with_a_new_leader():
    """Guards against lifetimes of quarantines that each new leader counts from its own start."""

    async def scenario():
        applied = state.FleetState()
        clk = clock.ManualClock(clock.seconds(1000))
        index = 0

        async def propose(command):
            nonlocal index
            index += 1
            return applied.apply(command, index)

        def lead(ages):
            since = {fingerprint: clk.monotonic() - age for fingerprint, age in ages.items()}
            return suspect_registry.SuspectRegistry(lambda: applied, propose, clk, since)

        registry = lead({})
        await registry.record_ends({"e1 1": ["f"], "e1 2": ["f"]})
        await registry.begin_trial("t", "f", "s", clock.ZERO)
        await registry.end_trial("t", "f", "s", suspects.TrialOutcome.FAILED)
        for _ in range(3):
            await registry.expire()
            assert applied.suspect_by_fingerprint()["f"].quarantined
            clk.advance(suspects.QUARANTINE_LIFETIME / 3)
            registry = lead(registry.ages(clk.monotonic()))
        clk.advance(clock.seconds(1))
        await registry.expire()
        assert "f" not in applied.suspect_by_fingerprint()

    asyncio.run(scenario())


LONG_BODY = bytes(range(256)) * 1600  # 409,600 bytes


async def send_in_pieces(harness, length, chunked):
    """Sends one request with a long body, cut into pieces of a length."""
    reader, writer = await harness.connect()
    head = fleet_fakes.make_request(method="POST", X_Deadline_Ms="20000")
    framing = b"Transfer-Encoding: chunked" if chunked else b"Content-Length: %d" % len(LONG_BODY)
    writer.write(head.replace(b"Content-Length: 0", framing))
    # The endpoint does not read chunks, so the gateway may answer, and close, before the end.
    with contextlib.suppress(ConnectionError):
        for start in range(0, len(LONG_BODY), length):
            piece = LONG_BODY[start : start + length]
            writer.write(b"%x\r\n%s\r\n" % (len(piece), piece) if chunked else piece)
            await writer.drain()
            await asyncio.sleep(0)
        writer.write(b"0\r\n\r\n" if chunked else b"")
        await reader.readline()
    writer.close()


def test_identity_of_a_request_depends_neither_on_its_framing_nor_on_the_network(monkeypatch):
    """Guards against requests with long bodies that are another suspect each time they come."""
    fingerprints = []
    original = quarantine.request_fingerprint

    def record(*arguments):
        fingerprints.append(original(*arguments))
        return fingerprints[-1]

    monkeypatch.setattr(quarantine, "request_fingerprint", record)

    async def scenario():
        routes = [fleet_fakes.make_route(timeout_s=20, idempotent=False, max_attempts=1)]
        for chunked in (False, True):
            for length in (1000, 40_000, 65_536, 300_000, len(LONG_BODY)):
                async with fleet_fakes.GatewayHarness(routes=routes) as harness:
                    await send_in_pieces(harness, length, chunked)

    asyncio.run(scenario())
    assert len(fingerprints) == 10
    assert len(set(fingerprints)) == 1


def test_request_with_a_long_body_that_ends_endpoints_stops_reaching_them(tmp_path):
    """Guards against long bodies that hide from the gateways that it is the same request."""

    async def scenario():
        async with fleet_cluster.Fleet(tmp_path, 3, routes=routes()) as fleet:
            statuses = []
            for number in range(12):
                node = fleet.gateways[number % len(fleet.gateways)]
                path = fleet_cluster.CRASHING_PATH
                response = await fleet.send(
                    node, path, f"long-{number}", method="POST", body=LONG_BODY
                )
                statuses.append(response and response.status)
                await asyncio.sleep(0.1)
            # Two ends make it a suspect, and a trial confirms it.
            assert len(fleet.ended_at) <= 3, statuses
            assert statuses[-1] == 503

    asyncio.run(scenario())
