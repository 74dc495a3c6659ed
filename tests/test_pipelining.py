"""Pipelined requests: begun together where that is allowed, answered in order, and in step with the
connection's own parser however the bytes arrive."""

import asyncio

import fleet_fakes
import hypothesis
import hypothesis.strategies as st
import polling
import pytest

from flamingotiller import clock, errors, pipelining, server

GatewayHarness, make_request = fleet_fakes.GatewayHarness, fleet_fakes.make_request
make_response, make_route = fleet_fakes.make_response, fleet_fakes.make_route
read_message = fleet_fakes.read_message

GET = b"GET /%d HTTP/1.1\r\nHost: h\r\n\r\n"
POST = b"POST /%d HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc"


def targets(heads):
    return [head.target for head in heads]


@hypothesis.settings(derandomize=True, max_examples=80, deadline=None)
@hypothesis.given(
    st.lists(st.sampled_from([GET, POST]), max_size=12),
    st.lists(st.integers(1, 60), max_size=40),
    st.integers(0, 3),
)
def test_requests_are_found_in_order_however_the_bytes_arrive(requests, cuts, taken):
    data = b"".join(request % n for n, request in enumerate(requests))
    begun = []
    lookahead = pipelining.Lookahead(lambda head: begun.append(head) or head)
    end = consumed = 0
    for cut in [*cuts, len(data)]:
        end = min(len(data), end + cut)
        lookahead.look(data[consumed:end])
        if taken and (found := lookahead.pop()):
            # The connection's own parser has read this request meanwhile.
            assert data[consumed:].startswith(b"GET " + found.head.target)
            consumed += found.length
            taken -= 1
    leading = requests.index(POST) if POST in requests else len(requests)
    expected = [b"/%d" % n for n in range(leading)]
    assert targets(begun) == expected[: len(begun)]
    assert len(begun) >= min(leading, pipelining.MAX_AHEAD)


def test_request_that_has_to_wait_is_looked_at_again_after_its_turn():
    begun = []
    lookahead = pipelining.Lookahead(
        lambda head: None if head.target == b"/0" else begun.append(head) or head
    )
    lookahead.look(GET % 0 + GET % 1)
    assert begun == [] and lookahead.pop() is None
    lookahead.reset()
    lookahead.look(GET % 1)
    assert targets(begun) == [b"/1"]


async def connect(stack_server, handler, **options):
    http_server = server.Server(handler, **options)
    port = await http_server.start("127.0.0.1", 0)
    stack_server.append(http_server)
    return await asyncio.open_connection("127.0.0.1", port)


def run(scenario):
    async def main():
        servers = []
        try:
            await asyncio.wait_for(scenario(servers), 20)
        finally:
            for http_server in servers:
                await http_server.close()

    asyncio.run(main())


def may_run_ahead(request):
    return request.method == "GET" and not request.path.startswith("/wait")


def test_pipelined_requests_run_together_and_are_answered_in_order():
    async def scenario(servers):
        running, most = 0, 0
        all_running = asyncio.Event()

        async def handler(request, reply):
            nonlocal running, most
            running += 1
            most = max(most, running)
            if running == 4:
                all_running.set()
            await all_running.wait()
            running -= 1
            await reply.json(200, request.path)

        reader, writer = await connect(servers, handler, may_run_ahead=may_run_ahead)
        writer.write(b"".join(GET % n for n in range(4)))
        assert [(await read_message(reader)).body for _ in range(4)] == [
            b'"/%d"' % n for n in range(4)
        ]
        assert most == 4

    run(scenario)


@pytest.mark.parametrize(
    "data", [GET % 0 + POST % 1 + GET % 2, GET % 0 + (GET % 1).replace(b"/", b"/wait", 1) + GET % 2]
)
def test_request_that_must_not_run_twice_waits_for_its_turn(data):
    async def scenario(servers):
        order = []

        async def handler(request, reply):
            order.append(("begin", request.path[-1]))
            await request.read()
            await asyncio.sleep(0.02)
            order.append(("end", request.path[-1]))
            await reply.json(200, request.path[-1])

        reader, writer = await connect(servers, handler, may_run_ahead=may_run_ahead)
        writer.write(data)
        assert [(await read_message(reader)).body for _ in range(3)] == [b'"0"', b'"1"', b'"2"']
        assert order.index(("end", "0")) < order.index(("begin", "1"))

    run(scenario)


def test_requests_begun_behind_a_response_that_closes_are_answered_before_the_close():
    """They had been passed on, and were cancelled and never answered."""

    async def scenario(servers):
        begun = []
        all_begun = asyncio.Event()

        async def handler(request, reply):
            begun.append(request.path)
            if len(begun) == 3:
                all_begun.set()
            await all_begun.wait()
            reply.close_after = request.path == "/0"
            await reply.json(200, request.path)

        reader, writer = await connect(servers, handler, may_run_ahead=may_run_ahead)
        writer.write(b"".join(GET % n for n in range(3)))
        responses = [await read_message(reader) for _ in range(3)]
        assert [r.body for r in responses] == [b'"/0"', b'"/1"', b'"/2"']
        assert [r.headers.get("connection") for r in responses] == [None, None, "close"]
        writer.write(GET % 3)
        assert await reader.read() == b""
        assert begun == ["/0", "/1", "/2"]

    run(scenario)


def test_caller_that_leaves_cancels_all_its_requests():
    async def scenario(servers):
        begun, cancelled = [], []

        async def handler(request, reply):
            begun.append(request.path)
            try:
                await asyncio.sleep(10)
            except asyncio.CancelledError:
                cancelled.append(request.path)
                raise

        reader, writer = await connect(servers, handler, may_run_ahead=may_run_ahead)
        writer.write(b"".join(GET % n for n in range(3)))
        await polling.wait_until(lambda: len(begun) == 3)
        writer.close()
        await polling.wait_until(lambda: len(cancelled) == 3)

    run(scenario)


@pytest.mark.parametrize(
    "second",
    [
        b"\x00 garbage\r\n\r\n",
        b"GET x HTTP/1.1\r\nHost: h\r\n\r\n",
        b"GET /1 HTTP/3.9\r\n\r\n",
        b"GET //[ HTTP/1.1\r\nHost: h\r\n\r\n",
    ],
)
def test_malformed_request_behind_another_is_refused_in_its_turn(second):
    async def scenario(servers):
        async def handler(request, reply):
            await asyncio.sleep(0.02)
            await reply.json(200, request.path)

        reader, writer = await connect(servers, handler, may_run_ahead=may_run_ahead)
        writer.write(GET % 0 + second)
        assert (await read_message(reader)).body == b'"/0"'
        assert (await read_message(reader)).status in (400, 505)
        assert await reader.read() == b""

    run(scenario)


def test_error_of_a_request_ahead_is_answered_in_its_turn():
    async def scenario(servers):
        async def handler(request, reply):
            if request.path == "/1":
                raise errors.UnavailableError("not now", step="test")
            await asyncio.sleep(0.02)
            await reply.json(200, request.path)

        reader, writer = await connect(servers, handler, may_run_ahead=may_run_ahead)
        writer.write(GET % 0 + GET % 1)
        assert (await read_message(reader)).status == 200
        assert (await read_message(reader)).status == 503

    run(scenario)


def test_pipelined_lookups_of_a_gateway_take_no_longer_than_one():
    """Callers that send several idempotent requests at once: none waits for the one before."""

    async def work():
        together = asyncio.Event()
        running = 0

        async def meet(request):
            nonlocal running
            running += 1
            if running == 4:
                together.set()
            await together.wait()
            return make_response(request, request.headers["x-request-id"].encode())

        async with GatewayHarness(fleet_fakes.FakeEndpoint(handler=meet)) as harness:
            reader, writer = await harness.connect()
            writer.write(b"".join(make_request(id_=f"id-{n}") for n in range(4)))
            bodies = [(await read_message(reader)).body for _ in range(4)]
            assert bodies == [f"id-{n}".encode() for n in range(4)]

    asyncio.run(work())


def test_pipelined_requests_that_are_not_idempotent_run_one_after_the_other():
    async def work():
        running = most = 0

        async def count(request):
            nonlocal running, most
            running += 1
            most = max(most, running)
            await asyncio.sleep(0.02)
            running -= 1
            return make_response(request)

        endpoint = fleet_fakes.FakeEndpoint(handler=count)
        async with GatewayHarness(endpoint, routes=[make_route(idempotent=False)]) as harness:
            reader, writer = await harness.connect()
            writer.write(b"".join(make_request(id_=f"id-{n}") for n in range(4)))
            for _ in range(4):
                assert (await read_message(reader)).status == 200
            assert most == 1

    asyncio.run(work())


def test_stopping_server_begins_no_request_ahead():
    async def scenario(servers):
        order = []
        begun = asyncio.Event()

        async def handler(request, reply):
            order.append(("begin", request.path))
            begun.set()
            await asyncio.sleep(0.05)
            order.append(("end", request.path))
            await reply.json(200, request.path)

        reader, writer = await connect(servers, handler, may_run_ahead=may_run_ahead)
        writer.write(GET % 0)
        await begun.wait()
        servers[0].disable_keep_alive()
        writer.write(GET % 1)
        await servers[0].close(clock.seconds(1))
        assert order[:2] == [("begin", "/0"), ("end", "/0")]

    run(scenario)


def test_pipelined_request_without_room_waits_for_its_turn_instead_of_being_refused():
    """Five requests for an endpoint with room for fewer: none is refused that would have fitted one
    after the other."""

    async def work():
        async def slow(request):
            await asyncio.sleep(0.02)
            return make_response(request, request.headers["x-request-id"].encode())

        endpoint = fleet_fakes.FakeEndpoint(slots=2, handler=slow)
        async with GatewayHarness(endpoint) as harness:
            reader, writer = await harness.connect()
            writer.write(b"".join(make_request(id_=f"id-{n}") for n in range(5)))
            bodies = [(await read_message(reader)).body for _ in range(5)]
            assert bodies == [f"id-{n}".encode() for n in range(5)]

    asyncio.run(work())


@pytest.mark.parametrize("stop", ["disable_keep_alive", "start_draining"])
def test_requests_begun_ahead_of_their_turn_are_answered_when_a_stop_begins(stop):
    """A planned stop closed the connection behind the second answer, though the requests behind it
    had been passed on and run."""

    async def scenario(servers):
        begun = 0
        released = asyncio.Event()

        async def handler(request, reply):
            nonlocal begun
            begun += 1
            await released.wait()
            await reply.json(200, request.path)

        reader, writer = await connect(servers, handler, may_run_ahead=may_run_ahead)
        writer.write(b"".join(GET % n for n in range(4)))
        await polling.wait_until(lambda: begun == 4)
        getattr(servers[0], stop)()
        released.set()
        responses = [await read_message(reader) for _ in range(4)]
        assert [r.body for r in responses] == [b'"/%d"' % n for n in range(4)]
        assert [r.headers.get("connection") for r in responses] == [None, None, None, "close"]
        assert await reader.read() == b""

    run(scenario)


def test_requests_begun_ahead_of_their_turn_are_answered_behind_an_error():
    async def scenario(servers):
        begun = 0
        released = asyncio.Event()

        async def handler(request, reply):
            nonlocal begun
            begun += 1
            await released.wait()
            if request.path == "/0":
                raise errors.UnavailableError("failed")
            await reply.json(200, request.path)

        reader, writer = await connect(servers, handler, may_run_ahead=may_run_ahead)
        writer.write(b"".join(GET % n for n in range(3)))
        await polling.wait_until(lambda: begun == 3)
        released.set()
        assert [(await read_message(reader)).status for _ in range(3)] == [503, 200, 200]

    run(scenario)


def test_nothing_runs_behind_a_request_with_ambiguous_framing():
    async def scenario(servers):
        begun = []

        async def handler(request, reply):
            begun.append(request.path)
            await reply.json(200, request.path)

        reader, writer = await connect(servers, handler, may_run_ahead=may_run_ahead)
        ambiguous = (
            b"GET /0 HTTP/1.1\r\nHost: h\r\nHost: other\r\nContent-Length: 0\r\n\r\n" + GET % 1
        )
        writer.write(ambiguous)
        first = await read_message(reader)
        assert (first.status, first.headers["connection"]) == (400, "close")
        assert await reader.read() == b""
        assert begun == []

    run(scenario)


def test_pipelined_requests_in_flight_at_the_end_of_the_grace_period_are_all_answered():
    async def scenario(servers):
        begun = 0

        async def handler(request, reply):
            nonlocal begun
            begun += 1
            try:
                await asyncio.sleep(30)
            except asyncio.CancelledError:
                if not servers[0].ending or request.caller_left or not reply.in_turn:
                    raise
                await reply.json(504, request.path)

        reader, writer = await connect(servers, handler, may_run_ahead=may_run_ahead)
        writer.write(b"".join(GET % n for n in range(3)))
        await polling.wait_until(lambda: begun == 3)
        stop = asyncio.ensure_future(servers[0].close(clock.seconds(0.05)))
        assert [(await read_message(reader)).status for _ in range(3)] == [504, 504, 504]
        await stop

    run(scenario)
