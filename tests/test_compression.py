"""Compressed bodies between instances: only for peers that understand them, and never too long."""

import asyncio
import zlib

import h11
import orjson
import pytest

from flamingotiller import client, clock, compression, errors, server, wire

SECOND = clock.seconds(1)
DOCUMENT = [{"organisation": f"o{n}", "wanted": 1} for n in range(200)]


async def echo(request, reply):
    await reply.json(200, await request.read_json())


def run(scenario, **server_options):
    async def main():
        listener = server.Server(echo, **server_options)
        port = await listener.start("127.0.0.1", 0)
        pool = client.ConnectionPool()
        try:
            await scenario(f"127.0.0.1:{port}", pool)
        finally:
            await pool.close()
            await listener.close()

    asyncio.run(asyncio.wait_for(main(), 20))


def test_bodies_are_compressed_once_both_sides_have_said_that_they_understand_it():
    async def scenario(peer, pool):
        sender = client.Client(pool)
        sizes = []
        for _ in range(3):
            before = pool.bytes_out, pool.bytes_in
            response = await sender.call(peer, "POST", "/x", DOCUMENT, timeout=SECOND)
            assert response.json() == DOCUMENT
            sizes.append((pool.bytes_out - before[0], pool.bytes_in - before[1]))
        plain = len(orjson.dumps(DOCUMENT))
        assert sizes[0][0] > plain and sizes[0][1] < plain / 4
        assert sizes[1][0] < plain / 4 and sizes[1][1] < plain / 4

    run(scenario, compresses=True)


def test_peer_that_does_not_compress_gets_and_sends_plain_bodies():
    async def scenario(peer, pool):
        sender = client.Client(pool)
        for _ in range(2):
            before = pool.bytes_out
            response = await sender.call(peer, "POST", "/x", DOCUMENT, timeout=SECOND)
            assert response.json() == DOCUMENT
            assert pool.bytes_out - before > len(orjson.dumps(DOCUMENT))

    run(scenario)


def test_caller_that_does_not_name_the_encoding_gets_a_plain_response():
    async def scenario(peer, pool):
        connection, _ = await pool.acquire(peer)
        body = orjson.dumps(DOCUMENT)
        head = h11.Request(
            method="POST", target="/x", headers=[("host", "h"), ("content-length", str(len(body)))]
        )
        await connection.send(head, h11.Data(data=body), h11.EndOfMessage())
        response = await connection.next_event(SECOND)
        assert wire.header(response.headers, b"content-encoding") is None
        pool.discard(peer, connection)

    run(scenario, compresses=True)


DEFLATED = zlib.compress(b"[1]")


@pytest.mark.parametrize(
    ("body", "encoding"),
    [
        (b"not compressed", b"deflate"),
        (DEFLATED[:-3], b"deflate"),
        (DEFLATED + b"more", b"deflate"),
        (zlib.compress(b"x" * 100_000), b"deflate"),
        (b"[1]", b"br"),
    ],
)
def test_unreadable_or_oversized_body_is_a_protocol_error(body, encoding):
    with pytest.raises(errors.ProtocolError):
        compression.decompress(body, [(b"content-encoding", encoding)], 1000)
    assert compression.decompress(DEFLATED, [(b"content-encoding", b"deflate")], 1000) == b"[1]"


def test_malformed_compressed_body_of_a_call_is_refused():
    async def scenario(peer, pool):
        response = await client.Client(pool).call(
            peer, "POST", "/x", b"zzz", timeout=SECOND, raw=True,
            headers=[("content-encoding", "deflate")],
        )  # fmt: skip
        assert response.status == 400

    run(scenario, compresses=True)
