"""Deadlines of whole requests: what is given in small pieces, or waits for one thing after another,
ends no later than the whole may take."""

import asyncio
import contextlib

import fleet_fakes
import polling
import test_request_path

from flamingotiller import client, clock, server

GatewayHarness, make_request = fleet_fakes.GatewayHarness, fleet_fakes.make_request
make_route = fleet_fakes.make_route


def run(work):
    asyncio.run(asyncio.wait_for(work, 60))


async def trickle(writer, data):
    with contextlib.suppress(ConnectionError):
        while True:
            writer.write(data)
            await writer.drain()
            await asyncio.sleep(0.02)


async def send_trickled(address, head):
    """Sends a head and then a byte at a time; returns the response's status line."""
    reader, writer = await asyncio.open_connection(*address)
    writer.write(head)
    sender = asyncio.ensure_future(trickle(writer, b"z"))
    try:
        return await reader.readline()
    finally:
        sender.cancel()
        writer.transport.abort()


def test_body_that_arrives_byte_by_byte_is_refused_at_the_deadline_by_a_gateway():
    """Guards against a limit that counts anew with each byte."""

    async def work():
        routes = [make_route(timeout_s=0.4, idempotent=False)]
        async with GatewayHarness(routes=routes) as harness:
            head = make_request(method="POST").replace(b"Length: 0", b"Length: 100000")
            line = await send_trickled(harness.gateway.listening, head)
            assert b" 408 " in line
            assert not harness.run_count

    run(work())


def test_body_that_arrives_byte_by_byte_is_refused_at_the_deadline_by_an_entry_instance(
    monkeypatch,
):
    async def scenario(harness):
        host, _, port = harness.entry.address.rpartition(":")
        head = (
            b"POST /filings HTTP/1.1\r\nhost: x\r\ncontent-length: 10000\r\n"
            b"flamingotiller-key: %s\r\nflamingotiller-deadline-ms: 400\r\n\r\n"
            % harness.caller._key.encode()
        )
        line = await send_trickled((host, int(port)), head)
        assert b" 408 " in line
        assert not harness.endpoint.requests

    test_request_path.run_scenario(scenario, monkeypatch)


def test_request_that_cannot_be_sent_by_its_deadline_is_refused_as_not_run(monkeypatch):
    """Guards against waits that add up to more than the request may take."""

    async def work():
        async def hang(pool, peer):
            await asyncio.Event().wait()

        async with GatewayHarness(routes=[make_route(timeout_s=0.2)]) as harness:
            monkeypatch.setattr(client.ConnectionPool, "_connect", hang)
            response = await harness.send()
            assert response.status == 503
            assert b"not-run" in response.body

    run(work())


def test_head_that_arrives_byte_by_byte_ends_its_connection():
    async def work():
        async def handle(request, reply):
            await reply.json(200, {})

        limits = server.Limits(read_timeout=clock.seconds(0.3))
        http_server = server.Server(handle, limits=limits)
        port = await http_server.start("127.0.0.1", 0)
        with contextlib.suppress(ConnectionError):
            line = await send_trickled(("127.0.0.1", port), b"GET /a HTTP/1.1\r\nhost: x\r\nx-a: ")
            assert not line
        await http_server.close()

    run(work())


def test_caller_that_reads_nothing_does_not_keep_its_response():
    async def work():
        async def handle(request, reply):
            await reply.send(200, bytes(32 * 1024 * 1024))

        limits = server.Limits(write_timeout=clock.seconds(0.3))
        http_server = server.Server(handle, limits=limits)
        port = await http_server.start("127.0.0.1", 0)
        _, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(b"GET /a HTTP/1.1\r\nhost: x\r\n\r\n")
        await polling.wait_until(lambda: http_server.connection_count)
        await polling.wait_until(lambda: not http_server.connection_count)
        writer.transport.abort()
        await http_server.close()

    run(work())
