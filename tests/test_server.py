"""The HTTP server and the interfaces over it: malformed, oversized, slow and forged input."""

import asyncio
import contextlib

import pytest

from flamingotiller import clock, errors, server

SMALL = server.Limits(
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


def answer_to(data, handler=echo, limits=SMALL, **more):
    async def scenario():
        item = server.Server(handler, limits=limits)
        port = await item.start("127.0.0.1", 0)
        try:
            return await exchange(port, data, **more)
        finally:
            await item.close()

    return asyncio.run(scenario())


CASES = {
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


@pytest.mark.parametrize("name", CASES)
def test_bad_input_gets_a_clear_error_and_the_connection_ends(name):
    data, status = CASES[name]
    answer = answer_to(data)
    assert answer.startswith(b"HTTP/1.1 %d " % status), answer[:200]
    assert b"connection: close" in answer.lower()


def test_half_sent_head_is_closed_without_an_answer():
    assert answer_to(b"GET / HTT") == b""


def test_idle_connection_is_closed():
    answer = answer_to(b"GET / HTTP/1.1\r\nhost: x\r\n\r\n")
    assert answer.count(b"HTTP/1.1 200") == 1


def test_requests_on_one_connection_are_answered_in_order():
    data = b"".join(b"GET /%d HTTP/1.1\r\nhost: x\r\n\r\n" % n for n in range(5))
    answer = answer_to(data)
    found = [answer.index(b'"/%d"' % n) for n in range(5)]
    assert found == sorted(found)


def test_connections_beyond_the_bound_are_closed():
    async def scenario():
        item = server.Server(echo, limits=SMALL)
        port = await item.start("127.0.0.1", 0)
        held = [await asyncio.open_connection("127.0.0.1", port) for _ in range(3)]
        await asyncio.sleep(0.05)
        assert await exchange(port, b"") == b""
        for _, writer in held:
            writer.close()
        await item.close()

    asyncio.run(scenario())


def test_caller_that_goes_cancels_its_work():
    async def scenario():
        cancelled = asyncio.Event()
        began = asyncio.Event()

        async def work(request, reply):
            began.set()
            try:
                await asyncio.sleep(30)
            except asyncio.CancelledError:
                cancelled.set()
                raise

        item = server.Server(work)
        port = await item.start("127.0.0.1", 0)
        _, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(b"GET / HTTP/1.1\r\nhost: x\r\n\r\n")
        await began.wait()
        writer.close()
        await asyncio.wait_for(cancelled.wait(), 5)
        await item.close()

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
def test_error_of_a_handler_becomes_its_status(error, status):
    async def fail(request, reply):
        raise error

    answer = answer_to(b"GET / HTTP/1.1\r\nhost: x\r\n\r\n", fail)
    assert answer.startswith(b"HTTP/1.1 %d " % status)


def test_handler_that_stops_half_way_cuts_the_connection():
    async def half(request, reply):
        await reply.start(200, [(b"content-length", b"10")])
        await reply.write(b"abc")
        raise RuntimeError("fault")

    faults = []

    async def scenario():
        item = server.Server(half, on_handler_error=lambda error, peer: faults.append(error))
        port = await item.start("127.0.0.1", 0)
        answer = await exchange(port, b"GET / HTTP/1.1\r\nhost: x\r\n\r\n")
        await item.close()
        return answer

    asyncio.run(scenario())
    assert isinstance(faults[0], RuntimeError)


def test_graceful_close_finishes_what_is_under_way():
    async def scenario():
        began = asyncio.Event()

        async def work(request, reply):
            began.set()
            await asyncio.sleep(0.2)
            await reply.json(200, {})

        item = server.Server(work)
        port = await item.start("127.0.0.1", 0)
        asked = asyncio.ensure_future(exchange(port, b"GET / HTTP/1.1\r\nhost: x\r\n\r\n"))
        await began.wait()
        await item.close(clock.seconds(5))
        assert (await asked).startswith(b"HTTP/1.1 200")

    asyncio.run(scenario())
