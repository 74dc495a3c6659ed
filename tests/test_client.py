"""HTTP client: exchanges, connection reuse, timeouts and errors."""

import asyncio

import pytest

from flamingotiller import client, clock, errors, server

SECOND = clock.seconds(1)


def run(scenario, handler):
    async def main():
        http_server = server.Server(handler)
        port = await http_server.start("127.0.0.1", 0)
        pool = client.ConnectionPool()
        try:
            await scenario(http_server, f"127.0.0.1:{port}", pool)
        finally:
            await pool.close()
            await http_server.close()

    asyncio.run(asyncio.wait_for(main(), 20))


async def echo(request, reply):
    body = await request.read_json()
    await reply.json(200, {"got": body, "token": request.header("authorization")})


def test_connection_is_reused_and_token_is_sent():
    async def scenario(http_server, peer, pool):
        sender = client.Client(pool, "secret")
        for number in range(5):
            response = await sender.call(peer, "POST", "/x", {"n": number}, timeout=SECOND)
            assert response.json() == {"got": {"n": number}, "token": "Bearer secret"}
        assert http_server.connection_count == 1
        assert pool.count(peer) == 1

    run(scenario, echo)


def test_connection_closed_while_idle_is_replaced():
    async def scenario(http_server, peer, pool):
        sender = client.Client(pool)
        await sender.call(peer, "POST", "/x", 1, timeout=SECOND)
        http_server.abort()
        host, _, port = peer.rpartition(":")
        restarted = server.Server(echo)
        await restarted.start(host, int(port))
        assert (await sender.call(peer, "POST", "/x", 2, timeout=SECOND)).status == 200
        await restarted.close()

    run(scenario, echo)


def test_refused_connection_reports_that_nothing_was_sent():
    async def scenario(http_server, peer, pool):
        await http_server.close()
        with pytest.raises(errors.ConnectError) as caught:
            await client.Client(pool).call(peer, "GET", "/", timeout=SECOND)
        assert not caught.value.sent
        assert pool.count(peer) == 0

    run(scenario, echo)


def test_unresponsive_peer_times_out_and_its_connection_is_closed():
    async def never_respond(request, reply):
        await asyncio.sleep(30)

    async def scenario(http_server, peer, pool):
        with pytest.raises(errors.ExchangeTimeoutError):
            await client.Client(pool).call(peer, "GET", "/", timeout=clock.seconds(0.1))
        assert pool.count(peer) == 0

    run(scenario, never_respond)


def test_cancelled_exchange_closes_its_connection():
    async def never_respond(request, reply):
        await asyncio.sleep(30)

    async def scenario(http_server, peer, pool):
        task = asyncio.ensure_future(client.Client(pool).call(peer, "GET", "/", timeout=SECOND))
        await asyncio.sleep(0.05)
        task.cancel()
        with pytest.raises(asyncio.CancelledError):
            await task
        assert pool.count(peer) == 0

    run(scenario, never_respond)


@pytest.mark.parametrize(
    ("status", "kind"),
    [
        (400, errors.InvalidInputError), (401, errors.UnauthenticatedError),
        (404, errors.NotFoundError), (409, errors.ConflictError), (421, errors.NotLeaderError),
        (500, errors.UnavailableError), (503, errors.UnavailableError),
    ],
)  # fmt: skip
def test_error_response_is_raised_as_its_error(status, kind):
    response = client.Response(status, [], b'{"message": "m", "leader": "l", "winner": "w"}')
    with pytest.raises(kind) as caught:
        client.raise_for_status(response, step="s", peer="p")
    assert (caught.value.message, caught.value.step, caught.value.peer) == ("m", "s", "p")


def test_response_that_is_not_json_is_a_protocol_error():
    with pytest.raises(errors.ProtocolError):
        client.raise_for_status(client.Response(200, [], b"<html>"), step="s", peer="p")


@pytest.mark.parametrize("in_exchange", [True, False])
def test_connection_of_a_request_that_is_given_up_is_reset(in_exchange):
    """The kernel went on sending it, and an endpoint behind a cut ran it when the cut ended."""

    async def scenario():
        ends = []

        async def serve(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(
                b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n{}" % (9 if in_exchange else 2)
            )
            try:
                ends.append(await reader.read())
            except ConnectionResetError as error:
                ends.append(error)
            writer.close()

        listener = await asyncio.start_server(serve, "127.0.0.1", 0)
        peer = f"127.0.0.1:{listener.sockets[0].getsockname()[1]}"
        pool = client.ConnectionPool()
        call = client.Client(pool).call(peer, "POST", "/", {}, timeout=clock.seconds(0.2))
        if in_exchange:
            with pytest.raises(errors.ExchangeTimeoutError):
                await call
        else:
            await call
        await pool.close()
        while not ends:  # noqa: ASYNC110
            await asyncio.sleep(0.01)
        assert isinstance(ends[0], ConnectionResetError) if in_exchange else ends == [b"{}"]
        listener.close()

    asyncio.run(asyncio.wait_for(scenario(), 20))
