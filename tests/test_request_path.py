"""The request path over real sockets, against an endpoint that sends faulty responses."""

import asyncio
import contextlib
import re

import pytest
import test_embedded

from flamingotiller import caller, client, clock, embedded, errors, selection

REQUEST_ID_PLACEHOLDER = b"{id}"


def http_response(body=b"0123456789", headers=b""):
    length = b"content-length: %d\r\n" % len(body)
    return b"HTTP/1.1 200 OK\r\n" + length + headers + b"\r\n" + body


class RawEndpoint:
    """Endpoint that sends the bytes set by the test, then does with the connection as it says.

    Attributes:
        response: Bytes sent after each request, with the placeholder replaced by the request's id.
        connection_action: "keep", "close", "drip", "flood" or "stall" after the response, or
            "abort" before the request is read.
        ended: Connections that have ended.
    """

    def __init__(self):
        self.response = http_response()
        self.connection_action = "keep"
        self.requests = []
        self.connections = 0
        self.ended = 0
        self.writers = set()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self.server.sockets[0].getsockname()[1]}"

    async def serve(self, reader, writer):
        self.connections += 1
        self.writers.add(writer)
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            await self.answer(reader, writer)
        self.ended += 1

    async def answer(self, reader, writer):
        while True:
            if self.connection_action == "abort":
                writer.transport.abort()
                return
            head = await reader.readuntil(b"\r\n\r\n")
            length = re.search(rb"content-length: (\d+)", head)
            body = await reader.readexactly(int(length[1])) if length else b""
            self.requests.append((head, body))
            request_id = re.search(rb"flamingotiller-request-id: (\S+)", head)[1]
            writer.write(self.response.replace(REQUEST_ID_PLACEHOLDER, request_id))
            await writer.drain()
            if self.connection_action == "close":
                writer.close()
                return
            while self.connection_action == "drip":
                writer.write(b"x")
                await writer.drain()
                await asyncio.sleep(0.05)
            while self.connection_action == "flood":
                writer.write(b"4000\r\n%s\r\n" % bytes(0x4000))
                await writer.drain()
            if self.connection_action == "stall":
                await asyncio.sleep(30)


class Harness:
    """An entry instance, a ``RawEndpoint`` of its service and a caller."""

    async def __aenter__(self):
        self.stack = contextlib.AsyncExitStack()
        plan = embedded.Plan({"z1": "r1"}, services=("search",), endpoints_per_zone=0)
        self.fleet = await self.stack.enter_async_context(embedded.running(plan))
        key = await test_embedded.configure(self.fleet)
        self.entry = self.fleet.entries[0]
        self.caller = caller.Caller([self.entry.address], "growers", key, clock.SystemClock())
        self.stack.push_async_callback(self.caller.close)
        self.endpoint = RawEndpoint()
        await self.endpoint.start()
        self.stack.callback(self.endpoint.server.close)
        self.stack.callback(lambda: [w.transport.abort() for w in self.endpoint.writers])
        await self.announce("raw", self.endpoint.address)
        await test_embedded.until_served(self.caller)
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
        service_client = client.Client(pool, self.fleet.service_token("search"))

        async def renew():
            while True:
                await service_client.call(
                    self.entry.address, "POST", "/v1/announce", body, timeout=clock.seconds(5)
                )
                await asyncio.sleep(0.5)

        task = asyncio.ensure_future(renew())
        self.stack.push_async_callback(pool.close)
        self.stack.callback(task.cancel)


def run_scenario(scenario, monkeypatch):
    monkeypatch.setattr(selection, "DEATH_PAUSE", clock.ZERO)

    async def with_harness():
        async with Harness() as harness:
            await scenario(harness)

    asyncio.run(asyncio.wait_for(with_harness(), 60))


async def wait_until(check):
    """Waits until a check holds; ``run_scenario`` bounds the time."""
    while not check():  # noqa: ASYNC110
        await asyncio.sleep(0.01)


FAULTS = {
    # Response and connection action of the endpoint; status and outcome of a POST to it.
    "closes without reading": (b"", "abort", 502, "unknown"),
    "closes without a response": (b"", "close", 502, "unknown"),
    "truncated head": (b"HTTP/1.1 200", "close", 502, "unknown"),
    "short body": (http_response()[:-3], "close", 502, "unknown"),
    "not HTTP": (b"\x00\x01\x02\r\n\r\n", "close", 502, "unknown"),
    "no length": (b"HTTP/1.1 200 OK\r\n\r\nabc", "close", 502, "unknown"),
    "two lengths": (
        b"HTTP/1.1 200 OK\r\ncontent-length: 3\r\ncontent-length: 4\r\n\r\nabcd",
        "close", 502, "unknown",
    ),
    "truncated chunks": (
        b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n3\r\nabc\r\n",
        "close", 502, "unknown",
    ),
    "response to another request": (
        http_response(headers=b"flamingotiller-request-id: other\r\n"), "keep", 502, "unknown",
    ),
    "stalls": (b"", "stall", 504, "unknown"),
    "stalls inside the body": (http_response()[:-3], "stall", 504, "unknown"),
    "sheds": (
        b"HTTP/1.1 503 Busy\r\nflamingotiller-not-run: 1\r\ncontent-length: 0\r\n\r\n",
        "keep", 503, "not-run",
    ),
    "refusal of another request": (
        b"HTTP/1.1 503 Busy\r\nflamingotiller-not-run: 1\r\nflamingotiller-request-id: other\r\n"
        b"content-length: 0\r\n\r\n",
        "keep", 502, "unknown",
    ),
    "internal error": (b"HTTP/1.1 500 No\r\ncontent-length: 0\r\n\r\n", "keep", 500, None),
    "refusal without an id on a connection in use": (
        b"HTTP/1.1 503 Busy\r\nflamingotiller-not-run: 1\r\ncontent-length: 0\r\n\r\n",
        "keep", 502, "unknown",
    ),
    "echoes the id": (
        http_response(headers=b"flamingotiller-request-id: {id}\r\n"), "keep", 200, None,
    ),
}  # fmt: skip


@pytest.mark.parametrize("with_id", [False, True])
def test_request_runs_at_most_once_whatever_the_endpoint_does(monkeypatch, with_id):
    async def scenario(harness):
        for number, (name, (response, action, status, outcome)) in enumerate(FAULTS.items()):
            harness.endpoint.response, harness.endpoint.connection_action = response, action
            harness.endpoint.requests.clear()
            request_id = await harness.caller.new_id() if with_id else None
            target = f"/filings/{number}"
            headers = [("flamingotiller-deadline-ms", "700")]
            harness.caller._client.call = with_headers(harness.caller._client, headers)
            reply = await harness.caller.send("POST", target, b"x", request_id=request_id)
            assert reply.status == status, (name, reply)
            if outcome:
                assert reply.json()["outcome"] == outcome, name
            assert len(harness.endpoint.requests) <= 1, name
            if not with_id:
                continue
            harness.endpoint.response, harness.endpoint.connection_action = http_response(), "keep"
            resent = await harness.caller.send("POST", target, b"x", request_id=request_id)
            request_count = len(harness.endpoint.requests)
            if outcome == "unknown":
                assert (resent.status, resent.json()["outcome"]) == (409, "unknown"), name
                assert request_count <= 1, name
            elif outcome == "not-run":
                assert resent.status == 200, name
                assert request_count == 2, name
            else:
                assert resent.status == status, name
                assert request_count == 1, name

    run_scenario(scenario, monkeypatch)


def with_headers(sender, extra):
    """Returns the sender's method ``call`` with headers added to each request."""
    original = type(sender).call

    async def call(*arguments, headers=(), **named):
        return await original(sender, *arguments, headers=[*headers, *extra], **named)

    return call


def test_response_truncated_at_any_byte_is_refused(monkeypatch):
    complete = http_response(b"abcdefgh")

    async def scenario(harness):
        harness.endpoint.connection_action = "close"
        for length in range(len(complete)):
            harness.endpoint.response = complete[:length]
            reply = await harness.caller.send("POST", f"/filings/cut{length}", b"x")
            assert (reply.status, reply.json()["outcome"]) == (502, "unknown"), length
        harness.endpoint.response = complete
        reply = await harness.caller.send("POST", "/filings/whole", b"x")
        assert (reply.status, reply.body) == (200, b"abcdefgh")

    run_scenario(scenario, monkeypatch)


def test_truncated_long_response_closes_the_callers_connection(monkeypatch):
    async def scenario(harness):
        harness.endpoint.connection_action = "close"
        harness.endpoint.response = http_response(b"x" * 300_000)[:-1]
        with pytest.raises(errors.TransportError):
            await harness.caller.send("GET", "/names/long")
        harness.endpoint.response = http_response(b"x" * 300_000)
        reply = await harness.caller.send("GET", "/names/long2")
        assert len(reply.body) == 300_000

    run_scenario(scenario, monkeypatch)


def test_connection_with_a_surplus_response_is_not_reused(monkeypatch):
    async def scenario(harness):
        harness.endpoint.response = http_response(b"first") + http_response(b"crossed")
        reply = await harness.caller.send("GET", "/names/1")
        assert reply.body == b"first"
        harness.endpoint.response = http_response(b"second")
        for number in range(3):
            reply = await harness.caller.send("GET", f"/names/2{number}")
            assert reply.body == b"second"

    run_scenario(scenario, monkeypatch)


def test_request_to_an_unreachable_endpoint_is_retried_at_another(monkeypatch):
    async def scenario(harness):
        monkeypatch.setattr(selection, "DEATH_PAUSE", clock.seconds(30))
        with contextlib.closing(await asyncio.start_server(lambda r, w: None, "127.0.0.1", 0)) as s:
            closed = f"127.0.0.1:{s.sockets[0].getsockname()[1]}"
        await harness.announce("closed", closed)
        await asyncio.sleep(0.2)
        results = [await harness.caller.send("POST", f"/filings/{n}", b"x") for n in range(8)]
        assert [reply.status for reply in results] == [200] * 8
        assert len(harness.endpoint.requests) == 8

    run_scenario(scenario, monkeypatch)


def test_request_is_cancelled_when_the_caller_disconnects(monkeypatch):
    async def scenario(harness):
        harness.endpoint.response, harness.endpoint.connection_action = b"", "stall"
        host, _, port = harness.entry.address.rpartition(":")
        _, writer = await asyncio.open_connection(host, int(port))
        head = f"GET /names/gone HTTP/1.1\r\nhost: x\r\nflamingotiller-key: {harness.caller._key}"
        writer.write(head.encode() + b"\r\n\r\n")
        await wait_until(lambda: harness.endpoint.requests)
        writer.close()
        queue = harness.entry.slots.queue_by_service["search"]
        await wait_until(lambda: not queue.in_flight())

    run_scenario(scenario, monkeypatch)


def test_long_request_body_reaches_the_endpoint_whole(monkeypatch):
    async def scenario(harness):
        body = b"y" * 900_000
        reply = await harness.caller.send("POST", "/filings/large", body)
        assert reply.status == 200
        assert harness.endpoint.requests[-1][1] == body

    run_scenario(scenario, monkeypatch)


def test_stopping_entry_instance_cuts_off_no_request(monkeypatch):
    """Requests that came late were taken and, like those in flight at the end, closed without a
    response."""

    async def scenario(harness):
        harness.endpoint.connection_action = "stall"
        harness.endpoint.response = b""
        harness.entry.config = harness.entry.config.model_copy(
            update={"stop_timeout": clock.seconds(0.3), "lookup_lifetime": clock.seconds(0.3)}
        )
        harness.entry.common_settings = harness.entry.config
        in_flight = asyncio.ensure_future(harness.caller.send("POST", "/filings/1", b"x"))
        await wait_until(lambda: len(harness.endpoint.requests) == 1)
        stop = asyncio.ensure_future(harness.entry.stop())
        await asyncio.sleep(0)
        late = await harness.caller.send("POST", "/filings/2", b"x", instance=harness.entry.address)
        assert (late.status, late.json()["error"], late.json()["outcome"]) == (
            503, "stopping", "not-run",
        )  # fmt: skip
        await stop
        response = await in_flight
        assert (response.status, response.json()["error"], response.json()["outcome"]) == (
            504, "stopping", "unknown",
        )  # fmt: skip
        assert len(harness.endpoint.requests) == 1

    run_scenario(scenario, monkeypatch)


def test_response_head_without_an_end_is_a_timeout(monkeypatch):
    async def scenario(harness):
        harness.endpoint.connection_action = "drip"
        harness.endpoint.response = b"HTTP/1.1 200 OK\r\nfiller: "
        sender = harness.caller
        headers = [("flamingotiller-deadline-ms", "400")]
        sender._client.call = with_headers(sender._client, headers)
        async with asyncio.timeout(5):
            response = await sender.send("POST", "/filings/1", b"x")
        assert (response.status, response.json()["outcome"]) == (504, "unknown")

    run_scenario(scenario, monkeypatch)
