"""The client: whole exchanges, connections kept and given up."""

import asyncio

import pytest

from flamingotiller import client, clock, errors, server

SECOND = clock.seconds(1)


def run(scenario, handler):
    async def whole():
        item = server.Server(handler)
        port = await item.start("127.0.0.1", 0)
        pool = client.ConnectionPool()
        try:
            await scenario(item, f"127.0.0.1:{port}", pool)
        finally:
            await pool.close()
            await item.close()

    asyncio.run(asyncio.wait_for(whole(), 20))


async def echo(request, reply):
    body = await request.read_json()
    await reply.json(200, {"got": body, "token": request.header("authorization")})


def test_connection_is_kept_and_credential_sent():
    async def scenario(item, peer, pool):
        sender = client.Client(pool, "secret")
        for number in range(5):
            answer = await sender.call(peer, "POST", "/x", {"n": number}, timeout=SECOND)
            assert answer.json() == {"got": {"n": number}, "token": "Bearer secret"}
        assert item.connection_count == 1
        assert pool.count(peer) == 1

    run(scenario, echo)


def test_connection_closed_while_idle_is_replaced():
    async def scenario(item, peer, pool):
        sender = client.Client(pool)
        await sender.call(peer, "POST", "/x", 1, timeout=SECOND)
        item.abort()
        host, _, port = peer.rpartition(":")
        again = server.Server(echo)
        await again.start(host, int(port))
        assert (await sender.call(peer, "POST", "/x", 2, timeout=SECOND)).status == 200
        await again.close()

    run(scenario, echo)


def test_refused_connection_says_that_nothing_was_sent():
    async def scenario(item, peer, pool):
        await item.close()
        with pytest.raises(errors.ConnectError) as caught:
            await client.Client(pool).call(peer, "GET", "/", timeout=SECOND)
        assert not caught.value.sent
        assert pool.count(peer) == 0

    run(scenario, echo)


def test_silent_peer_times_out_and_its_connection_is_given_up():
    async def never(request, reply):
        await asyncio.sleep(30)

    async def scenario(item, peer, pool):
        with pytest.raises(errors.ExchangeTimeoutError):
            await client.Client(pool).call(peer, "GET", "/", timeout=clock.seconds(0.1))
        assert pool.count(peer) == 0

    run(scenario, never)


def test_cancelled_exchange_gives_its_connection_up():
    async def never(request, reply):
        await asyncio.sleep(30)

    async def scenario(item, peer, pool):
        task = asyncio.ensure_future(client.Client(pool).call(peer, "GET", "/", timeout=SECOND))
        await asyncio.sleep(0.05)
        task.cancel()
        with pytest.raises(asyncio.CancelledError):
            await task
        assert pool.count(peer) == 0

    run(scenario, never)


@pytest.mark.parametrize(
    ("status", "kind"),
    [
        (400, errors.InvalidInputError), (401, errors.UnauthenticatedError),
        (404, errors.NotFoundError), (409, errors.ConflictError), (421, errors.NotLeaderError),
        (500, errors.UnavailableError), (503, errors.UnavailableError),
    ],
)  # fmt: skip
def test_error_document_becomes_the_error(status, kind):
    answer = client.Response(status, [], b'{"message": "m", "leader": "l", "winner": "w"}')
    with pytest.raises(kind) as caught:
        client.raise_for_status(answer, step="s", peer="p")
    assert (caught.value.message, caught.value.step, caught.value.peer) == ("m", "s", "p")


def test_answer_that_is_no_json_is_a_protocol_error():
    with pytest.raises(errors.ProtocolError):
        client.raise_for_status(client.Response(200, [], b"<html>"), step="s", peer="p")
