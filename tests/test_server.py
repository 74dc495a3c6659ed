"""HTTP server: malformed, oversized and slow requests, limits, errors and shutdown."""

import asyncio
import contextlib
import socket

import pytest

from flamingotiller import clock, errors, server

LOW_LIMITS = server.Limits(
    connections=3,
    head_timeout=clock.seconds(0.2),
    idle_timeout=clock.seconds(0.2),
    read_timeout=clock.seconds(0.2),
    body_bytes=1000,
)


async def echo(request, reply):
    body = await request.read()
    await reply.json(200, {"path": request.path, "size": len(body)})


async def exchange(port, data, *, close_write=False):
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(data)
    with contextlib.suppress(ConnectionError):
        await writer.drain()
        if close_write:
            writer.write_eof()
        return await asyncio.wait_for(reader.read(), 5)
    return b""


def response_to(data, handler=echo, limits=LOW_LIMITS, **options):
    async def scenario():
        http_server = server.Server(handler, limits=limits)
        port = await http_server.start("127.0.0.1", 0)
        try:
            return await exchange(port, data, **options)
        finally:
            await http_server.close()

    return asyncio.run(scenario())


INVALID_REQUESTS = {
    "not http": (b"\x00\x01garbage\r\n\r\n", 400),
    "bad method": (b"G\x00T / HTTP/1.1\r\nhost: x\r\n\r\n", 400),
    "no host": (b"GET / HTTP/1.1\r\n\r\n", 400),
    "two hosts": (b"GET / HTTP/1.1\r\nhost: x\r\nhost: y\r\n\r\n", 400),
    "bad header": (b"GET / HTTP/1.1\r\nhost: x\r\nbad header\r\n\r\n", 400),
    "space before colon": (b"GET / HTTP/1.1\r\nhost : x\r\n\r\n", 400),
    "oversized head": (b"GET / HTTP/1.1\r\nhost: x\r\na: " + b"b" * 20_000 + b"\r\n\r\n", 431),
    "length and chunked": (
        b"POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 3\r\n"
        b"transfer-encoding: chunked\r\n\r\n0\r\n\r\n",
        400,
    ),
    "two lengths": (
        b"POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 3\r\ncontent-length: 4\r\n\r\nabc",
        400,
    ),
    "negative length": (b"POST / HTTP/1.1\r\nhost: x\r\ncontent-length: -1\r\n\r\n", 400),
    "unknown coding": (
        b"POST / HTTP/1.1\r\nhost: x\r\ntransfer-encoding: gzip, chunked\r\n\r\n",
        501,
    ),
    "bad chunk": (
        b"POST / HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\n\r\nzz\r\n",
        502,
    ),
    "oversized body": (
        b"POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 5000\r\n\r\n" + b"x" * 5000,
        413,
    ),
    "slow body": (b"POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 10\r\n\r\nab", 408),
    "absolute target": (b"GET http://other/ HTTP/1.1\r\nhost: x\r\n\r\n", 400),
    "asterisk": (b"OPTIONS * HTTP/1.1\r\nhost: x\r\n\r\n", 400),
}


@pytest.mark.parametrize("name", INVALID_REQUESTS)
def test_invalid_request_gets_an_error_status_and_closes_the_connection(name):
    data, status = INVALID_REQUESTS[name]
    response = response_to(data)
    assert response.startswith(b"HTTP/1.1 %d " % status), response[:200]
    assert b"connection: close" in response.lower()


def test_incomplete_head_is_closed_without_a_response():
    assert response_to(b"GET / HTT") == b""


def test_idle_connection_is_closed():
    response = response_to(b"GET / HTTP/1.1\r\nhost: x\r\n\r\n")
    assert response.count(b"HTTP/1.1 200") == 1


def test_requests_on_one_connection_are_answered_in_order():
    data = b"".join(b"GET /%d HTTP/1.1\r\nhost: x\r\n\r\n" % n for n in range(5))
    response = response_to(data)
    found = [response.index(b'"/%d"' % n) for n in range(5)]
    assert found == sorted(found)


def test_connections_over_the_limit_are_closed():
    async def scenario():
        http_server = server.Server(echo, limits=LOW_LIMITS)
        port = await http_server.start("127.0.0.1", 0)
        held = [await asyncio.open_connection("127.0.0.1", port) for _ in range(3)]
        await asyncio.sleep(0.05)
        assert await exchange(port, b"") == b""
        for _, writer in held:
            writer.close()
        await http_server.close()

    asyncio.run(scenario())


def test_disconnect_of_the_peer_cancels_the_handler():
    async def scenario():
        cancelled = asyncio.Event()
        started = asyncio.Event()

        async def handle(request, reply):
            started.set()
            try:
                await asyncio.sleep(30)
            except asyncio.CancelledError:
                cancelled.set()
                raise

        http_server = server.Server(handle)
        port = await http_server.start("127.0.0.1", 0)
        _, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(b"GET / HTTP/1.1\r\nhost: x\r\n\r\n")
        await started.wait()
        writer.close()
        await asyncio.wait_for(cancelled.wait(), 5)
        await http_server.close()

    asyncio.run(scenario())


@pytest.mark.parametrize(
    ("error", "status"),
    [
        (errors.InvalidInputError("x"), 400),
        (errors.UnauthenticatedError("x"), 401),
        (errors.NotFoundError("x"), 404),
        (errors.ConflictError("x"), 409),
        (errors.NotLeaderError("x"), 421),
        (errors.UnavailableError("x"), 503),
        (errors.StorageError("x"), 503),
        (ValueError("x"), 400),
    ],
)
def test_handler_error_is_sent_as_its_status(error, status):
    async def fail(request, reply):
        raise error

    response = response_to(b"GET / HTTP/1.1\r\nhost: x\r\n\r\n", fail)
    assert response.startswith(b"HTTP/1.1 %d " % status)


def test_handler_error_after_the_head_aborts_the_connection():
    async def fail_halfway(request, reply):
        await reply.start(200, [(b"content-length", b"10")])
        await reply.write(b"abc")
        raise RuntimeError("fault")

    caught = []

    async def scenario():
        http_server = server.Server(
            fail_halfway, on_handler_error=lambda error, peer: caught.append(error)
        )
        port = await http_server.start("127.0.0.1", 0)
        response = await exchange(port, b"GET / HTTP/1.1\r\nhost: x\r\n\r\n")
        await http_server.close()
        return response

    asyncio.run(scenario())
    assert isinstance(caught[0], RuntimeError)


def test_graceful_close_finishes_requests_in_flight():
    async def scenario():
        started = asyncio.Event()

        async def handle(request, reply):
            started.set()
            await asyncio.sleep(0.2)
            await reply.json(200, {})

        http_server = server.Server(handle)
        port = await http_server.start("127.0.0.1", 0)
        response = asyncio.ensure_future(exchange(port, b"GET / HTTP/1.1\r\nhost: x\r\n\r\n"))
        await started.wait()
        await http_server.close(clock.seconds(5))
        assert (await response).startswith(b"HTTP/1.1 200")

    asyncio.run(scenario())


async def ok(request, reply):
    await reply.json(200, {})


def test_request_that_has_just_arrived_is_answered_when_a_stop_begins():
    """A planned stop under load: the bytes are read, but the connection's task has not run yet."""

    async def scenario():
        answered = 0
        for rounds in range(30):
            http_server = server.Server(ok)
            port = await http_server.start("127.0.0.1", 0)
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n")
            await reader.readuntil(b"{}")
            writer.write(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n")
            # The stop begins after another number of rounds of the event loop each time.
            for _ in range(rounds % 6):
                await asyncio.sleep(0)
            stop = asyncio.ensure_future(http_server.close(clock.seconds(2)))
            response = await reader.read()
            answered += response.endswith(b"{}")
            await stop
            writer.close()
        assert answered == 30

    asyncio.run(asyncio.wait_for(scenario(), 30))


def test_connection_that_the_kernel_has_accepted_is_served_when_a_stop_begins():
    async def scenario():
        http_server = server.Server(ok)
        port = await http_server.start("127.0.0.1", 0)
        with socket.create_connection(("127.0.0.1", port)) as early:
            early.sendall(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n")
            await http_server.close(clock.seconds(2))
            early.settimeout(5)
            assert early.recv(1000).startswith(b"HTTP/1.1 200")

    asyncio.run(asyncio.wait_for(scenario(), 30))


def test_request_tells_that_it_may_have_arrived_before_a_pause_of_the_process():
    """A process that wakes from a freeze reads requests whose senders have gone long ago."""

    async def scenario():
        clk = clock.ManualClock(clock.seconds(100))
        arrivals = []

        async def handle(request, reply):
            arrivals.append(request.arrived_after)
            await reply.json(200, {})

        http_server = server.Server(handle, clk=clk)
        port = await http_server.start("127.0.0.1", 0)
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        for _ in range(2):
            # The data waits while the process pauses: time passes, but the event loop does not run.
            writer.write(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n")
            paused_at = clk.monotonic()
            clk.advance(clock.seconds(6))
            await reader.readuntil(b"{}")
            assert arrivals[-1] <= paused_at
            # The loop runs again for a while before the next request.
            for _ in range(3):
                await asyncio.sleep(server.LOOP_CHECK_INTERVAL.total_seconds())
        writer.write(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n")
        await reader.readuntil(b"{}")
        assert arrivals[-1] == clk.monotonic()
        writer.close()
        await http_server.close()

    asyncio.run(asyncio.wait_for(scenario(), 30))


@pytest.mark.parametrize("ends", ["error", "without an answer"])
def test_handler_that_fails_is_answered_for(ends):
    """Guards against callers that get a reset where a handler has a fault."""

    async def work():
        reported = []

        async def handle(request, reply):
            if ends == "error":
                raise KeyError("fault")

        http_server = server.Server(
            handle, on_handler_error=lambda error, peer: reported.append(error)
        )
        port = await http_server.start("127.0.0.1", 0)
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(b"GET /a HTTP/1.1\r\nhost: x\r\n\r\n")
        assert b" 500 " in await reader.readline()
        assert len(reported) == 1
        writer.close()
        await http_server.close()

    asyncio.run(work())
