"""Stand-ins for the other sides of a gateway: a leader that answers polls, endpoints that follow a
script, and a caller on a raw connection."""

import asyncio
import contextlib
import dataclasses
import random

import eventual

from flamingotiller import clock, server
from flamingotiller.fleet import accounting, gateway, model
from flamingotiller.platform import headers


def route(name="r1", prefix="/a/", **fields):
    held = model.Route(
        name, "h.example", prefix, True, 1.0, 0.2, 0, (model.Part("s", 1.0),), 2, True, True,
        frozenset(),
    )  # fmt: skip
    return dataclasses.replace(held, **fields)


def items(routes, endpoints, organisations=(), evacuated=(), cold_rate=20.0):
    found = {"version/": {"version": 1}}
    found["service/s"] = model.to_document(model.Service("s", 100, 3.0, cold_rate))
    found |= {f"route/{r.name}": model.to_document(r) for r in routes}
    found |= {f"endpoint/{e.id}": model.to_document(e) for e in endpoints}
    found |= {f"organisation/{o.name}": model.to_document(o) for o in organisations}
    found |= {f"evacuation/{zone}": {} for zone in evacuated}
    return found


class Leader:
    """Answers polls with a state that a test sets."""

    def __init__(self):
        self.items = {}
        self.revision = 1
        self.tokens = {}
        self.silent = False
        self.polls = []
        self.told = {}
        self._server = server.Server(self._serve)

    async def start(self, stack):
        port = await self._server.start("127.0.0.1", 0)
        stack.push_async_callback(self._server.close)
        self.address = f"127.0.0.1:{port}"

    def put(self, found):
        self.items = found
        self.revision += 1

    async def _serve(self, request, reply):
        body = await request.read_json()
        if self.silent:
            await asyncio.sleep(30)
        if request.path == "/v1/draw":
            wanted = accounting.Draw(*body["draw"]).wanted
            given = min(wanted, self.tokens.get(body["organisation"], 0))
            self.tokens[body["organisation"]] = self.tokens.get(body["organisation"], 0) - given
            await asyncio.sleep(0.01)
            await reply.json(200, {"grant": [given, 0]})
            return
        self.polls.append(body)
        if body["revision"] == self.revision:
            await asyncio.sleep(0.02)
        answer = {
            "age_s": 0.0,
            "members": [self.address],
            "zones": {self.address: "t1"},
            "grants": {},
            "place": {"position": 0, "count": 1},
            "revision": self.revision,
            "full": True,
            "items": self.items,
        }
        await reply.json(200, answer)


class Endpoint:
    """Runs what it gets by a script: a function of the request that returns bytes to send, or
    None to close without a word."""

    def __init__(self, id_="e1", zone="t1", slots=8, script=None):
        self.id, self.zone, self.slots = id_, zone, slots
        self.script = script or answer
        self.ran = []
        self.gone = 0
        self.connections = 0

    async def start(self, stack):
        listener = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = listener.sockets[0].getsockname()[1]
        stack.callback(listener.close)

    def record(self, **fields):
        held = model.Endpoint(
            self.id, 1, 1, "s", f"127.0.0.1:{self.port}", self.zone, self.slots, False, 0.0
        )
        return dataclasses.replace(held, **fields)

    async def _serve(self, reader, writer):
        self.connections += 1
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            while True:
                request = await read_message(reader)
                self.ran.append(request)
                script = asyncio.ensure_future(_scripted(self.script, request))
                left = asyncio.ensure_future(_wait_gone(reader))
                await asyncio.wait({script, left}, return_when=asyncio.FIRST_COMPLETED)
                left.cancel()
                if not script.done():
                    self.gone += 1
                    script.cancel()
                    break
                data = script.result()
                if data is None:
                    break
                writer.write(data)
                await writer.drain()
                if b"connection: close" in data.lower() or getattr(self, "closes", False):
                    break
        writer.close()


async def _scripted(script, request):
    found = script(request)
    return await found if asyncio.iscoroutine(found) else found


async def _wait_gone(reader):
    # A caller that sends nothing further either waits or has left.
    await eventual.holds(reader.at_eof)


@dataclasses.dataclass
class Message:
    """A request or an answer as it was read."""

    first: str
    headers: dict
    body: bytes

    @property
    def status(self):
        return int(self.first.split()[1])


async def read_message(reader):
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    found = {}
    for line in head[1:]:
        name, _, value = line.partition(":")
        found[name.strip().lower()] = value.strip()
    length = int(found.get("content-length") or 0)
    return Message(head[0], found, await reader.readexactly(length))


def answer(request, body=b"whole", status=200, **extra):
    fields = {
        "X-Request-Id": request.headers.get("x-request-id", ""),
        "X-Response-Seal": "seal",
        "X-Server-Load": "1,0,8",
        "Content-Length": str(len(body)),
        **{name.replace("_", "-"): value for name, value in extra.items()},
    }
    lines = [f"HTTP/1.1 {status} X", *(f"{n}: {v}" for n, v in fields.items())]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def request(path="/a/x", method="GET", id_="id-1", body=b"", **extra):
    fields = {
        "Host": "h.example",
        "X-Request-Id": id_,
        "X-Deadline-Ms": "1000",
        "Cookie": "X-Affinity-Key=17",
        **{name.replace("_", "-"): value for name, value in extra.items()},
    }
    if body or method != "GET":
        fields["Content-Length"] = str(len(body))
    lines = [f"{method} {path} HTTP/1.1", *(f"{n}: {v}" for n, v in fields.items())]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


class Site:
    """A gateway with its leader and endpoints, on real sockets."""

    def __init__(self, *endpoints, **fields):
        self.endpoints = endpoints or (Endpoint(),)
        self.leader = Leader()
        self.fields = fields
        self.stack = contextlib.AsyncExitStack()

    async def __aenter__(self):
        await self.leader.start(self.stack)
        for endpoint in self.endpoints:
            await endpoint.start(self.stack)
        self.settle(**self.fields)
        host, _, port = self.leader.address.rpartition(":")
        config = gateway.GatewaySettings(
            name="g1", zone="t1", region="thrace", address="127.0.0.1:0", peer_port=int(port),
            seeds=(self.leader.address,), region_by_zone={"t1": "thrace", "b1": "balkan"},
            revocation_bound=clock.seconds(5), cold_overage=1.5, cold_slack=5, most_shift=1.0,
        )  # fmt: skip
        self.gateway = gateway.Gateway(
            config, headers.DIALECT, clock.SystemClock(), random.Random(1)
        )
        await self.gateway.start()
        self.stack.push_async_callback(self.close_gateway)
        await self.until(lambda: self.gateway.revision == self.leader.revision)
        return self

    async def __aexit__(self, *error):
        await self.stack.aclose()

    async def close_gateway(self):
        await self.gateway.abort()

    def settle(self, routes=None, records=None, **fields):
        routes = routes or [route()]
        records = records or [endpoint.record() for endpoint in self.endpoints]
        self.leader.put(items(routes, records, **fields))

    async def change(self, **fields):
        self.settle(**fields)
        await self.until(lambda: self.gateway.revision == self.leader.revision)

    async def until(self, condition):
        await eventual.holds(condition)

    async def connect(self):
        reader, writer = await asyncio.open_connection(*self.gateway.listening)
        self.stack.callback(writer.close)
        return reader, writer

    async def ask(self, data=None, timeout=20):
        """Sends one request on a connection of its own and returns the answer, None for none."""
        reader, writer = await self.connect()
        writer.write(data or request())
        try:
            async with asyncio.timeout(timeout):
                return await read_message(reader)
        except (asyncio.IncompleteReadError, ConnectionError):
            return None
        finally:
            writer.close()

    @property
    def runs(self):
        return sum(len(endpoint.ran) for endpoint in self.endpoints)
