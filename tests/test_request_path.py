"""The request path over real sockets against an endpoint that misbehaves on purpose."""

import asyncio
import contextlib
import re

import pytest
import test_embedded

from flamingotiller import caller, client, clock, embedded, errors, selection

ID = b"{id}"


def answer(body=b"0123456789", head=b""):
    length = b"content-length: %d\r\n" % len(body)
    return b"HTTP/1.1 200 OK\r\n" + length + head + b"\r\n" + body


class RawEndpoint:
    """Reads a request and sends bytes as told, then keeps or closes the connection."""

    def __init__(self):
        self.reply = answer()
        self.then = "keep"
        self.requests = []
        self.connections = 0
        self.writers = set()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self.server.sockets[0].getsockname()[1]}"

    async def serve(self, reader, writer):
        self.connections += 1
        self.writers.add(writer)
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while True:
                if self.then == "close-at-once":
                    writer.transport.abort()
                    return
                head = await reader.readuntil(b"\r\n\r\n")
                length = re.search(rb"content-length: (\d+)", head)
                body = await reader.readexactly(int(length[1])) if length else b""
                self.requests.append((head, body))
                id_ = re.search(rb"flamingotiller-request-id: (\S+)", head)[1]
                writer.write(self.reply.replace(ID, id_))
                await writer.drain()
                if self.then == "close":
                    writer.close()
                    return
                if self.then == "stall":
                    await asyncio.sleep(30)


class Bench:
    """One entry instance, one raw endpoint, one caller."""

    async def __aenter__(self):
        self.stack = contextlib.AsyncExitStack()
        plan = embedded.Plan({"z1": "r1"}, services=("search",), endpoints_per_zone=0)
        self.fleet = await self.stack.enter_async_context(embedded.running(plan))
        key = await test_embedded.configure(self.fleet)
        self.entry = self.fleet.entries[0]
        self.sender = caller.Caller([self.entry.address], "growers", key, clock.SystemClock())
        self.stack.push_async_callback(self.sender.close)
        self.endpoint = RawEndpoint()
        await self.endpoint.start()
        self.stack.callback(self.endpoint.server.close)
        self.stack.callback(lambda: [w.transport.abort() for w in self.endpoint.writers])
        await self.announce("raw", self.endpoint.address)
        await test_embedded.until_served(self.sender)
        self.endpoint.requests.clear()
        return self

    async def __aexit__(self, *error):
        await self.stack.aclose()

    async def announce(self, name, address):
        body = {
            "service": "search", "endpoint": name, "session": "s", "address": address,
            "slots": 50, "connections": 650,
        }  # fmt: skip
        pool = client.ConnectionPool()
        sender = client.Client(pool, self.fleet.service_token("search"))

        async def renew():
            while True:
                await sender.call(
                    self.entry.address, "POST", "/v1/announce", body, timeout=clock.seconds(5)
                )
                await asyncio.sleep(0.5)

        task = asyncio.ensure_future(renew())
        self.stack.push_async_callback(pool.close)
        self.stack.callback(task.cancel)


def run(scenario, monkeypatch):
    monkeypatch.setattr(selection, "DEATH_PAUSE", clock.ZERO)

    async def whole():
        async with Bench() as bench:
            await scenario(bench)

    asyncio.run(asyncio.wait_for(whole(), 60))


async def until(check):
    """Waits for a check; the whole test is bounded."""
    while not check():  # noqa: ASYNC110
        await asyncio.sleep(0.01)


FAULTS = {
    # What the endpoint does: reply, then, status and outcome of a POST without an id.
    "closes without reading": (b"", "close-at-once", 502, "unknown"),
    "closes without an answer": (b"", "close", 502, "unknown"),
    "half a head": (b"HTTP/1.1 200", "close", 502, "unknown"),
    "short body": (answer()[:-3], "close", 502, "unknown"),
    "garbage": (b"\x00\x01\x02\r\n\r\n", "close", 502, "unknown"),
    "no length": (b"HTTP/1.1 200 OK\r\n\r\nabc", "close", 502, "unknown"),
    "two lengths": (
        b"HTTP/1.1 200 OK\r\ncontent-length: 3\r\ncontent-length: 4\r\n\r\nabcd",
        "close", 502, "unknown",
    ),
    "chunks cut": (
        b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n3\r\nabc\r\n",
        "close", 502, "unknown",
    ),
    "answer of another request": (
        answer(head=b"flamingotiller-request-id: other\r\n"), "keep", 502, "unknown",
    ),
    "stalls": (b"", "stall", 504, "unknown"),
    "stalls inside the body": (answer()[:-3], "stall", 504, "unknown"),
    "sheds": (
        b"HTTP/1.1 503 Busy\r\nflamingotiller-not-run: 1\r\ncontent-length: 0\r\n\r\n",
        "keep", 503, "not-run",
    ),
    "fails by itself": (b"HTTP/1.1 500 No\r\ncontent-length: 0\r\n\r\n", "keep", 500, None),
    "echoes the id": (answer(head=b"flamingotiller-request-id: {id}\r\n"), "keep", 200, None),
}  # fmt: skip


@pytest.mark.parametrize("with_id", [False, True])
def test_fault_table_of_requests_that_run_once(monkeypatch, with_id):
    async def scenario(bench):
        for number, (name, (reply, then, status, outcome)) in enumerate(FAULTS.items()):
            bench.endpoint.reply, bench.endpoint.then = reply, then
            bench.endpoint.requests.clear()
            request_id = await bench.sender.new_id() if with_id else None
            target = f"/filings/{number}"
            headers = [("flamingotiller-deadline-ms", "700")]
            bench.sender._client.call = with_headers(bench.sender._client, headers)
            found = await bench.sender.send("POST", target, b"x", request_id=request_id)
            assert found.status == status, (name, found)
            if outcome:
                assert found.json()["outcome"] == outcome, name
            assert len(bench.endpoint.requests) <= 1, name
            if not with_id:
                continue
            bench.endpoint.reply, bench.endpoint.then = answer(), "keep"
            again = await bench.sender.send("POST", target, b"x", request_id=request_id)
            ran = len(bench.endpoint.requests)
            if outcome == "unknown":
                assert (again.status, again.json()["outcome"]) == (409, "unknown"), name
                assert ran <= 1, name
            elif outcome == "not-run":
                assert again.status == 200, name
                assert ran == 2, name
            else:
                assert again.status == status, name
                assert ran == 1, name

    run(scenario, monkeypatch)


def with_headers(sender, extra):
    plain = type(sender).call

    async def call(*arguments, headers=(), **named):
        return await plain(sender, *arguments, headers=[*headers, *extra], **named)

    return call


def test_cut_at_every_byte_of_an_answer_is_never_a_whole_answer(monkeypatch):
    whole = answer(b"abcdefgh")

    async def scenario(bench):
        bench.endpoint.then = "close"
        for cut in range(len(whole)):
            bench.endpoint.reply = whole[:cut]
            found = await bench.sender.send("POST", f"/filings/cut{cut}", b"x")
            assert (found.status, found.json()["outcome"]) == (502, "unknown"), cut
        bench.endpoint.reply = whole
        found = await bench.sender.send("POST", "/filings/whole", b"x")
        assert (found.status, found.body) == (200, b"abcdefgh")

    run(scenario, monkeypatch)


def test_long_answer_that_breaks_cuts_the_callers_connection(monkeypatch):
    async def scenario(bench):
        bench.endpoint.then = "close"
        bench.endpoint.reply = answer(b"x" * 300_000)[:-1]
        with pytest.raises(errors.TransportError):
            await bench.sender.send("GET", "/names/long")
        bench.endpoint.reply = answer(b"x" * 300_000)
        found = await bench.sender.send("GET", "/names/long2")
        assert len(found.body) == 300_000

    run(scenario, monkeypatch)


def test_connection_with_an_answer_too_many_is_not_used_again(monkeypatch):
    async def scenario(bench):
        bench.endpoint.reply = answer(b"first") + answer(b"crossed")
        found = await bench.sender.send("GET", "/names/1")
        assert found.body == b"first"
        bench.endpoint.reply = answer(b"second")
        for number in range(3):
            found = await bench.sender.send("GET", f"/names/2{number}")
            assert found.body == b"second"

    run(scenario, monkeypatch)


def test_endpoint_that_cannot_be_reached_is_not_run_and_another_is_tried(monkeypatch):
    async def scenario(bench):
        monkeypatch.setattr(selection, "DEATH_PAUSE", clock.seconds(30))
        with contextlib.closing(await asyncio.start_server(lambda r, w: None, "127.0.0.1", 0)) as s:
            closed = f"127.0.0.1:{s.sockets[0].getsockname()[1]}"
        await bench.announce("closed", closed)
        await asyncio.sleep(0.2)
        results = [await bench.sender.send("POST", f"/filings/{n}", b"x") for n in range(8)]
        assert [found.status for found in results] == [200] * 8
        assert len(bench.endpoint.requests) == 8

    run(scenario, monkeypatch)


def test_caller_that_goes_cancels_the_work_at_the_endpoint(monkeypatch):
    async def scenario(bench):
        bench.endpoint.reply, bench.endpoint.then = b"", "stall"
        host, _, port = bench.entry.address.rpartition(":")
        _, writer = await asyncio.open_connection(host, int(port))
        head = f"GET /names/gone HTTP/1.1\r\nhost: x\r\nflamingotiller-key: {bench.sender._key}"
        writer.write(head.encode() + b"\r\n\r\n")
        await until(lambda: bench.endpoint.requests)
        writer.close()
        queue = bench.entry.slots.queue_by_service["search"]
        await until(lambda: not queue.in_flight())

    run(scenario, monkeypatch)


def test_request_and_answer_stream_with_bounded_memory(monkeypatch):
    async def scenario(bench):
        body = b"y" * 900_000
        found = await bench.sender.send("POST", "/filings/large", body)
        assert found.status == 200
        assert bench.endpoint.requests[-1][1] == body

    run(scenario, monkeypatch)
