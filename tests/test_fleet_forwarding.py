"""Responses of endpoints, sound and faulty, through a gateway over real sockets.

Endpoints send long, truncated, endless, late and repeated responses; callers read slowly or leave.
"""

import asyncio
import contextlib
import tracemalloc

import fleet_fakes
import pytest

from flamingotiller import wire
from flamingotiller.fleet import forwarding

GatewayHarness, make_request = fleet_fakes.GatewayHarness, fleet_fakes.make_request
make_response, make_route = fleet_fakes.make_response, fleet_fakes.make_route

LONG_BODY = bytes(range(256)) * 2048  # 512 KiB, a long download
CHUNK = 16 * 1024


def run(work):
    return asyncio.run(work)


class ScriptedEndpoint(fleet_fakes.FakeEndpoint):
    """Answers each request by a script that writes to the connection itself.

    The script is a coroutine function of the request and the writer; the connection closes when it
    returns False.
    """

    def __init__(self, script, id_="e1", zone="t1"):
        super().__init__(id_, zone)
        self.script = script
        self.cut_off = 0

    async def _serve(self, reader, writer):
        self.connection_count += 1
        try:
            while True:
                request = await fleet_fakes.read_message(reader)
                self.requests.append(request)
                if await self.script(request, writer) is False:
                    break
        except (ConnectionError, asyncio.IncompleteReadError):
            self.cut_off += 1
        writer.close()


def head(request, *fields, status=200):
    lines = [
        f"HTTP/1.1 {status} X",
        f"X-Request-Id: {request.headers['x-request-id']}",
        "X-Response-Seal: seal",
        *fields,
    ]
    return "\r\n".join(lines).encode() + b"\r\n\r\n"


def chunked(data):
    return b"%x\r\n%s\r\n" % (len(data), data)


async def write_all(writer, *parts):
    for part in parts:
        for start in range(0, len(part), CHUNK):
            writer.write(part[start : start + CHUNK])
            await writer.drain()


def declared(body, sent=None):
    async def script(request, writer):
        await write_all(writer, head(request, f"Content-Length: {len(body)}"), body[:sent])
        return sent is None

    return script


def in_chunks(body, ended=True):
    async def script(request, writer):
        parts = [chunked(body[n : n + CHUNK]) for n in range(0, len(body), CHUNK)]
        await write_all(writer, head(request, "Transfer-Encoding: chunked"), *parts)
        if ended:
            await write_all(writer, b"0\r\n\r\n")
        return ended

    return script


def until_close(body, reset=False):
    async def script(request, writer):
        await write_all(writer, head(request, "Connection: close"), body)
        if reset:
            await asyncio.sleep(0.05)
            writer.transport.get_extra_info("socket").setsockopt(
                wire.socket.SOL_SOCKET, wire.socket.SO_LINGER, wire.struct.pack("ii", 1, 0)
            )
            writer.transport.abort()
        return False

    return script


async def read_to_end(harness, request, version=b"1.1"):
    """Returns a response's status and body, and whether it ended as a complete one does."""
    reader, writer = await harness.connect()
    writer.write(request.replace(b"HTTP/1.1", b"HTTP/" + version))
    head_text = (await reader.readuntil(b"\r\n\r\n")).lower()
    status = int(head_text.split()[1])
    body, complete = b"", True
    try:
        if b"content-length: " in head_text:
            length = int(head_text.split(b"content-length: ")[1].split(b"\r\n")[0])
            body = await reader.readexactly(length)
        elif b"transfer-encoding: chunked" in head_text:
            while size := int(await reader.readline(), 16):
                body += (await reader.readexactly(size + 2))[:-2]
        else:
            body = await reader.read()
    except (asyncio.IncompleteReadError, ConnectionError, ValueError) as error:
        body, complete = body + getattr(error, "partial", b""), False
    return status, body, complete


@pytest.mark.parametrize("version", [b"1.0", b"1.1"])
@pytest.mark.parametrize("body", [b"short", LONG_BODY])
@pytest.mark.parametrize("script", [declared, in_chunks, until_close])
def test_response_arrives_whole(script, body, version):
    async def work():
        async with GatewayHarness(ScriptedEndpoint(script(body))) as harness:
            assert await read_to_end(harness, make_request(), version) == (200, body, True)

    run(work())


TRUNCATED = [
    ("declared", lambda body: declared(body, len(body) - 3)),
    ("chunked", lambda body: in_chunks(body, ended=False)),
    ("reset", lambda body: until_close(body, reset=True)),
]


@pytest.mark.parametrize("version", [b"1.0", b"1.1"])
@pytest.mark.parametrize("body", [b"short", LONG_BODY])
@pytest.mark.parametrize(("name", "script"), TRUNCATED)
def test_truncated_response_never_looks_complete(name, script, body, version):
    async def work():
        async with GatewayHarness(ScriptedEndpoint(script(body))) as harness:
            status, received, complete = await read_to_end(harness, make_request(), version)
            assert status == 502 or not complete
            assert status == 502 or body.startswith(received)

    run(work())


def test_truncated_short_response_is_replaced_by_a_retry():
    async def work():
        faulty = ScriptedEndpoint(declared(b"short", 3))
        sound = ScriptedEndpoint(declared(b"whole"), "e2", "b1")
        async with GatewayHarness(faulty, sound) as harness:
            assert await read_to_end(harness, make_request()) == (200, b"whole", True)

    run(work())


def test_long_response_reaches_the_caller_before_it_is_complete():
    async def work():
        rest_wanted = asyncio.Event()

        async def script(request, writer):
            await write_all(
                writer, head(request, f"Content-Length: {len(LONG_BODY)}"), LONG_BODY[:CHUNK]
            )
            await rest_wanted.wait()
            await write_all(writer, LONG_BODY[CHUNK:])

        async with GatewayHarness(ScriptedEndpoint(script)) as harness:
            reader, writer = await harness.connect()
            writer.write(make_request())
            await reader.readuntil(b"\r\n\r\n")
            assert await reader.readexactly(CHUNK) == LONG_BODY[:CHUNK]
            rest_wanted.set()
            assert await reader.readexactly(len(LONG_BODY) - CHUNK) == LONG_BODY[CHUNK:]

    run(work())


async def endless_status_line(request, writer):
    while True:
        await write_all(writer, b"x" * CHUNK)


async def endless_header_lines(request, writer):
    await write_all(writer, b"HTTP/1.1 200 X\r\n")
    while True:
        await write_all(writer, b"X-Filler: y\r\n" * 1000)


async def endless_header_value(request, writer):
    await write_all(writer, b"HTTP/1.1 200 X\r\nX-Filler: ")
    while True:
        await write_all(writer, b"y" * CHUNK)


async def endless_informational_responses(request, writer):
    while True:
        await write_all(writer, b"HTTP/1.1 103 Early Hints\r\n\r\n" * 100)


async def endless_chunks(request, writer):
    await write_all(writer, head(request, "Transfer-Encoding: chunked"))
    while True:
        await write_all(writer, chunked(b"z" * CHUNK))


async def endless_chunk_size(request, writer):
    await write_all(writer, head(request, "Transfer-Encoding: chunked"))
    while True:
        await write_all(writer, b"0" * CHUNK)


async def endless_body_without_length(request, writer):
    await write_all(writer, head(request))
    while True:
        await write_all(writer, b"z" * CHUNK)


async def endless_error_body(request, writer):
    await write_all(writer, head(request, status=500))
    while True:
        await write_all(writer, b"z" * CHUNK)


async def endless_refusal(request, writer):
    await write_all(writer, head(request, "X-Not-Executed: 1", status=503))
    while True:
        await write_all(writer, b"z" * CHUNK)


async def endless_bytes_after_response(request, writer):
    await write_all(writer, make_response(request))
    while True:
        await write_all(writer, b"z" * CHUNK)


ENDLESS = [
    (endless_status_line, {502}),
    (endless_header_lines, {502}),
    (endless_header_value, {502}),
    (endless_informational_responses, {502}),
    (endless_chunks, {200}),
    (endless_chunk_size, {502}),
    (endless_body_without_length, {200}),
    (endless_error_body, {502}),
    (endless_refusal, {503}),
    (endless_bytes_after_response, {200}),
]


@pytest.mark.parametrize(("script", "statuses"), ENDLESS)
def test_endless_bytes_end_with_the_request_and_stay_out_of_memory(script, statuses):
    """An endpoint that sends bytes until its caller closes, in a head, a body or after a response.

    The caller gets no endless response that looks complete, the gateway closes the connection, and
    other callers are served.
    """

    async def work():
        endpoint = ScriptedEndpoint(script)
        harness = GatewayHarness(endpoint, routes=[make_route(timeout_s=0.5, max_attempts=1)])
        async with harness:
            tracemalloc.start()
            try:
                reader, writer = await harness.connect()
                writer.write(make_request(Connection="close"))
                status_line = await reader.readline()
                assert int(status_line.split()[1]) in statuses
                with contextlib.suppress(ConnectionError):
                    while await reader.read(1 << 20):
                        pass
                await harness.wait_until(lambda: endpoint.cut_off == 1)
                _, peak = tracemalloc.get_traced_memory()
            finally:
                tracemalloc.stop()
            assert peak < 8 * forwarding.MAX_ERROR_RESPONSE_BYTES
            assert (await harness.send(make_request("/none/x"))).status == 404

    run(work())


def test_slow_caller_bounds_what_the_gateway_holds_and_ends_with_the_deadline():
    """A caller that stops reading a long response: the endpoint is slowed down, then cut off."""

    async def work():
        sent = 0

        async def script(request, writer):
            nonlocal sent
            await write_all(writer, head(request, "Transfer-Encoding: chunked"))
            while True:
                await write_all(writer, chunked(b"z" * CHUNK))
                sent += CHUNK

        endpoint = ScriptedEndpoint(script)
        harness = GatewayHarness(endpoint, routes=[make_route(timeout_s=0.8, max_attempts=1)])
        async with harness:
            reader, writer = await harness.connect()
            writer.transport.pause_reading()
            writer.write(make_request())
            await harness.wait_until(lambda: sent > 0)
            buffered = [
                connection.transport.get_write_buffer_size()
                for connection in harness.gateway._server._task_by_connection
            ]
            assert max(buffered) <= wire.WRITE_HIGH_WATER_BYTES + wire.READ_HIGH_WATER_BYTES
            assert (await harness.send(make_request("/none/x"))).status == 404
            await harness.wait_until(lambda: endpoint.cut_off == 1)
            await harness.wait_until(lambda: harness.gateway._server.request_count == 0)

    run(work())


def test_caller_that_leaves_within_a_long_response_ends_the_work_of_the_endpoint():
    async def work():
        endpoint = ScriptedEndpoint(endless_chunks)
        harness = GatewayHarness(endpoint, routes=[make_route(timeout_s=30.0, max_attempts=1)])
        async with harness:
            reader, writer = await harness.connect()
            writer.write(make_request(X_Deadline="x"))
            await reader.readexactly(CHUNK)
            writer.close()
            await harness.wait_until(lambda: endpoint.cut_off == 1)

    run(work())


def no_seal(request, writer):
    return write_all(writer, make_response(request).replace(b"X-Response-Seal: seal\r\n", b""))


def no_id(request, writer):
    return write_all(writer, make_response(request).replace(b"X-Request-Id", b"X-Other"))


@pytest.mark.parametrize("script", [no_seal, no_id])
def test_success_without_proof_of_its_origin_is_not_passed_on(script):
    async def work():
        async with GatewayHarness(ScriptedEndpoint(script)) as harness:
            assert (await harness.send()).status == 502

    run(work())


def stale(request, body=b"stale"):
    """A response to an earlier request, with that request's id."""
    return make_response(request, body).replace(
        request.headers["x-request-id"].encode(), b"id-earlier"
    )


def doubled(request):
    return [make_response(request) + make_response(request)]


def doubled_late(request):
    return [make_response(request), 0.05, make_response(request)]


def doubled_in_pieces(request):
    again = make_response(request)
    return [make_response(request), 0.02, again[:20], 0.02, again[20:]]


def behind_informational(request):
    return [b"HTTP/1.1 103 X\r\n\r\n" + make_response(request) + make_response(request)]


def behind_no_content(request):
    empty = make_response(request, b"", 204).replace(b"Content-Length: 0\r\n", b"")
    return [empty + stale(request)]


def stale_first(request):
    return [stale(request) + make_response(request)]


REPEATS = [
    (doubled, "GET"),
    (doubled_late, "GET"),
    (doubled_in_pieces, "GET"),
    (behind_informational, "GET"),
    (behind_no_content, "GET"),
    (doubled, "HEAD"),
    (stale_first, "GET"),
]


@pytest.mark.parametrize("pause", [0, 0.04, 0.1])
@pytest.mark.parametrize(("responses", "method"), REPEATS)
def test_second_copy_of_a_response_never_reaches_the_next_caller(responses, method, pause):
    """Copies that arrive at once, late, in pieces, behind a 1xx, a 204 or a response to HEAD."""

    async def work():
        async def script(request, writer):
            for part in responses(request):
                if isinstance(part, float):
                    await asyncio.sleep(part)
                else:
                    await write_all(writer, part)

        async with GatewayHarness(ScriptedEndpoint(script)) as harness:
            for number in range(6):
                id_ = f"id-{number}"
                reader, writer = await harness.connect()
                writer.write(make_request(method=method, id_=id_))
                text = (await reader.readuntil(b"\r\n\r\n")).decode()
                status = int(text.split()[1])
                assert status in (200, 204, 502, 503)
                if status < 300:
                    assert f"x-request-id: {id_}" in text.lower()
                await asyncio.sleep(pause)

    run(work())


def test_response_that_comes_after_its_timeout_never_reaches_the_next_caller():
    async def work():
        async def script(request, writer):
            if request.headers["x-request-id"] == "id-0":
                await asyncio.sleep(0.4)
            await write_all(writer, make_response(request))

        harness = GatewayHarness(
            ScriptedEndpoint(script), routes=[make_route(timeout_s=0.2, max_attempts=1)]
        )
        async with harness:
            assert (await harness.send(make_request(id_="id-0"))).status == 504
            for number in range(1, 8):
                response = await harness.send(make_request(id_=f"id-{number}"))
                assert response.status in (200, 503, 504)
                assert response.headers["x-request-id"] == f"id-{number}"
                await asyncio.sleep(0.08)

    run(work())


def repeats_refusal(with_id):
    """Refuses the first request, and writes that refusal in place of each further answer on the
    same connection; requests on other connections are answered."""
    refusal, refused_on = b"", None

    async def script(request, writer):
        nonlocal refusal, refused_on
        if refused_on is None:
            refused_on = writer
            refusal = head(request, "X-Not-Executed: 1", "Content-Length: 0", status=503)
            if not with_id:
                named = f"X-Request-Id: {request.headers['x-request-id']}\r\n"
                refusal = refusal.replace(named.encode(), b"")
        if writer is refused_on:
            await write_all(writer, refusal)
        else:
            await write_all(writer, fleet_fakes.make_response(request))
        return True

    return script


@pytest.mark.parametrize("with_id", [True, False])
@pytest.mark.parametrize("same_id", [True, False])
def test_repeated_refusal_never_says_that_the_next_request_did_not_run(with_id, same_id):
    """Callers were told to try again while the endpoint ran their request, or it ran twice."""

    async def work():
        endpoint = ScriptedEndpoint(repeats_refusal(with_id))
        other = fleet_fakes.FakeEndpoint("e2", "b1")
        routes = [make_route(idempotent=False)]
        async with GatewayHarness(endpoint, other, routes=routes) as harness:
            for number in range(20):
                id_ = "same" if same_id else f"id-{number}"
                refused_count = len(endpoint.requests)
                other_count = len(other.requests)
                response = await harness.send(make_request(id_=id_, method="POST", body=b"b"))
                if refused_count and len(endpoint.requests) > refused_count:
                    break
            # The endpoint got a second request, and ran it.
            assert len(endpoint.requests) == 2
            assert response.status in (200, 502)
            assert len(other.requests) == other_count

    run(work())


@pytest.mark.parametrize("reset", [True, False])
def test_response_that_stops_within_its_head_is_no_response(reset):
    """Callers got an empty success, framed as a whole one."""

    async def work():
        whole = b""
        cut = 0

        async def script(request, writer):
            nonlocal whole
            whole = head(request, "Content-Length: 5")
            await write_all(writer, whole[:cut])
            if reset:
                writer.transport.abort()
            return False

        endpoint = ScriptedEndpoint(script)
        routes = [make_route(idempotent=False)]
        async with GatewayHarness(endpoint, routes=routes) as harness:
            await harness.send(make_request(method="POST", body=b"b"))
            for cut in range(1, len(whole)):
                harness.gateway._chooser.forget_failures()
                response = await harness.send(make_request(method="POST", body=b"b"))
                assert response.status == 502, (cut, response)

    run(work())
