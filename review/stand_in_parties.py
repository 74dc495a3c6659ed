"""Stand-ins for the operator, servers and clients."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import itertools
import json
import random
import time
import urllib.parse

import stand_in_deployment as deployments
import stand_in_http as http

HEARTBEAT_S = 1.5
RETRIED_STATUSES = (408, 429)
# Parts of a configuration, as in the example of PROTOCOL.md but for the cold start.
SERVICE = {
    "healthPath": "/healthz", "maxConnections": 780, "protocol": "h1", "tls": False,
    "coldStart": "0s", "coldPerS": 22.0,
}  # fmt: skip
LIMITS = {
    "maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeout": "3000ms",
    "idleTimeout": "15000ms",
}  # fmt: skip


class Operator:
    """Sends orders, and servers' calls, as PROTOCOL.md says: a second for an answer, then another
    node. Its connections stay open from one order to the next."""

    def __init__(self, deployment: deployments.Deployment) -> None:
        self._deployment = deployment
        self._record = deployment.record
        self._connection_by_node: dict[str, http.KeptConnection] = {}

    def _connection(self, node: deployments.Instance) -> http.KeptConnection:
        address = self._deployment.control_address(node)
        return self._connection_by_node.setdefault(node.name, http.KeptConnection(address))

    async def order(
        self,
        call: str,
        of: str = "",
        document: object = None,
        headers: dict[str, str] | None = None,
        first: deployments.Instance | None = None,
        attempts: int = 12,
        quiet: bool = False,
    ) -> int:
        """Returns the status of the first clear answer, 0 if there is none.

        Args:
            first: The node that is tried first; the others follow in a random order.
            quiet: Whether it is a server's call: on a connection of its own, and not recorded.
        """
        query = urllib.parse.urlencode({"call": call, "of": of} if of else {"call": call})
        body = b"" if document is None else json.dumps(document).encode()
        fields = {**(headers or {}), **({"Content-Type": "application/json"} if body else {})}
        others = [s for s in self._deployment.stewards if s is not first]
        random.shuffle(others)
        nodes = itertools.cycle([first, *others] if first else others)
        for attempt in range(attempts):
            node = next(nodes)
            if not quiet:
                self._record.add(f"order {call} {of} sent to {node.name}")
            if quiet:
                address = self._deployment.control_address(node)
                answer = await http.call(address, "POST", f"/rpc?{query}", fields, body)
            else:
                connection = self._connection(node)
                answer = await connection.call("POST", f"/rpc?{query}", fields, body)
            if not quiet:
                self._record.add(
                    f"order {call} {of} at {node.name}: {answer.status if answer else 'no answer'}"
                )
            if answer and answer.status < 500 and answer.status not in RETRIED_STATUSES:
                return answer.status
            await asyncio.sleep(min(1.0, 0.1 * (attempt + 1)))
        return 0

    async def configure(self, routes: dict, services: list[str]) -> None:
        """Sends the first configuration until it is accepted."""
        document = {
            "version": "r1",
            "routes": routes,
            "services": dict.fromkeys(services, SERVICE),
            "limits": LIMITS,
            "tenants": {
                deployments.TENANT: {
                    "apiKeys": [deployments.KEY], "priority": 1, "ratePerS": 0, "burst": 0,
                    "allowedRegions": [],
                }
            },
        }  # fmt: skip
        status = await self.order("config.replace", "", document, {"X-If-Version": "r0"})
        if status != 200:
            raise deployments.CannotRunError(f"the configuration was answered {status}")

    async def wait_until_up(self, timeout_s: float = 20.0) -> None:
        """Waits until all processes serve."""
        until = time.monotonic() + timeout_s
        addresses = [self._deployment.control_address(s) for s in self._deployment.stewards]
        for address in addresses:
            while time.monotonic() < until:
                answer = await http.call(address, "POST", "/rpc?call=config.read")
                if answer and answer.status in (200, 404):
                    break
                await asyncio.sleep(0.2)
            else:
                raise deployments.CannotRunError("the stewards did not come up")

    async def wait_until_ready(self, timeout_s: float = 20.0) -> None:
        """Waits until all gateways are ready."""
        until = time.monotonic() + timeout_s
        for gateway in self._deployment.gateways:
            address = f"{gateway.host}:{self._deployment.ready}"
            while time.monotonic() < until:
                answer = await http.call(address, "GET", "/readyz")
                if answer and answer.status == 200:
                    break
                await asyncio.sleep(0.2)
            else:
                raise deployments.CannotRunError(f"{gateway.name} did not get ready")


def route(service: str, prefix: str, kind: str, timeout: str, max_attempts: int = 2) -> dict:
    """Returns a route of the configuration."""
    return {
        "host": deployments.HOST, "pathPrefix": prefix, "routeType": kind, "timeout": timeout,
        "targetLatency": "200ms", "priority": 1, "service": service, "maxAttempts": max_attempts,
        "public": False, "stickySessions": False, "allowedRegions": [],
    }  # fmt: skip


@dataclasses.dataclass
class Run:
    """A request that a server ran."""

    at: float
    request_id: str
    server: str


class Server:
    """A sound server: reports, checks its id, runs requests and answers them.

    Attributes:
        runs: Requests that it ran.
        reachable: Whether its link is up; while it is not, bytes wait in both directions.
    """

    SLOTS = 6

    def __init__(
        self, deployment: deployments.Deployment, operator: Operator, service: str, zone: str
    ) -> None:
        self._deployment, self._operator = deployment, operator
        self._record = deployment.record
        self.service, self.zone = service, zone
        self.id = f"i-{random.getrandbits(32):08x}"
        self.host = deployment.new_host()
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.state = "ready"
        self.runs: list[Run] = []
        self.work_s = 0.02
        self.reachable = asyncio.Event()
        self.reachable.set()
        self._reports: asyncio.Task | None = None
        self.last_report_at = 0.0
        self._server: asyncio.Server | None = None

    @property
    def address(self) -> str:
        """Address that gateways connect to."""
        return f"{self.host}:{self._deployment.server_port}"

    async def start(self) -> None:
        """Listens and reports until it is stopped."""
        self._server = await asyncio.start_server(
            self._serve, self.host, self._deployment.server_port
        )
        self._reports = asyncio.ensure_future(self._report_periodically())

    def report(self) -> dict:
        """Returns the next liveness report."""
        self.sequence += 1
        return {
            "address": self.address,
            "born": self.born,
            "info": {
                "service": self.service, "version": "v1", "zone": self.zone, "slots": self.SLOTS
            },
            "status": {"state": self.state, "sequence": self.sequence, "coldRemaining": "0ms"},
        }  # fmt: skip

    async def send_report(self, document: dict) -> int:
        """Sends a liveness report; returns the status, 0 if there was no answer."""
        return await self._operator.order(
            "instances.heartbeat", self.id, document, attempts=4, quiet=True
        )

    async def _report_periodically(self) -> None:
        while True:
            self.last_report_at = self._record.now()
            await self.send_report(self.report())
            await asyncio.sleep(HEARTBEAT_S)

    def stop_reports(self) -> None:
        """Sends no more liveness reports."""
        if self._reports:
            self._reports.cancel()

    async def stop(self) -> None:
        """Ends the server."""
        self.stop_reports()
        if self._server:
            self._server.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, ValueError):
            while True:
                start, headers = await http.read_head(reader)
                await self.reachable.wait()
                await self.handle(start, headers, reader, writer)
                await writer.drain()
        writer.close()

    async def handle(
        self,
        start: str,
        headers: dict[str, str],
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Serves one request."""
        body = await http.read_body(reader, headers)
        id_ = headers.get("x-request-id", "")
        if headers.get("x-expect-instance", self.id) != self.id:
            writer.write(http.encode("HTTP/1.1 421 Misdirected Request", {"X-Request-Id": id_}))
            return
        self.runs.append(Run(self._record.now(), id_, self.id))
        self._record.add(f"run {id_} at {self.id} in {self.zone}")
        await asyncio.sleep(self.work_s)
        await self.answer(id_, body, writer)

    async def answer(self, id_: str, body: bytes, writer: asyncio.StreamWriter) -> None:
        """Answers a request that it has run."""
        await self.reachable.wait()
        writer.write(self.encode_answer(id_))

    def encode_answer(self, id_: str) -> bytes:
        """Returns the bytes of a success."""
        headers = {
            "X-Request-Id": id_,
            "X-Response-Seal": f"{id_}.seal",
            "X-Server-Load": f"1,0,{self.SLOTS}",
            "Keep-Alive": "timeout=10",
        }
        return http.encode("HTTP/1.1 200 OK", headers, f"{id_} by {self.id}".encode())


@dataclasses.dataclass
class Sent:
    """A request as its client saw it.

    Attributes:
        sent_at: When the client began to send it.
        status: Status of its whole answer, 0 if it got none.
        ended_at: When the answer was there, the connection ended or the client gave up.
    """

    request_id: str
    gateway: str
    sent_at: float
    status: int = 0
    ended_at: float = 0.0

    @property
    def lasted_s(self) -> float:
        """How long its client has waited."""
        return self.ended_at - self.sent_at


class Clients:
    """Clients that send requests at a steady rate, each request on its own connection."""

    def __init__(self, deployment: deployments.Deployment) -> None:
        self._deployment = deployment
        self._record = deployment.record
        self._ids = itertools.count()
        self.sent: list[Sent] = []
        self._tasks: set[asyncio.Task] = set()

    async def run(
        self, method: str, prefix: str, per_s: float, for_s: float, deadline_s: float,
        body: bytes = b"", wait_s: float | None = None,
    ) -> None:  # fmt: skip
        """Sends requests in turn to all gateways; returns once all have ended."""
        gateways = itertools.cycle(self._deployment.gateways)
        until = self._record.now() + for_s
        while self._record.now() < until:
            gateway = next(gateways)
            work = self.send(method, prefix, gateway, deadline_s, body, wait_s)
            task = asyncio.ensure_future(work)
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
            await asyncio.sleep(1 / per_s)
        await asyncio.gather(*self._tasks)

    def unanswered(self, timeout_s: float, grace_s: float) -> list[Sent]:
        """Returns the requests that break CONFIG: still unanswered ``grace_s`` after their route's
        timeout, if they are eight or more and more than half of those that lasted so long."""
        longer = [s for s in self.sent if s.lasted_s > timeout_s]
        late = [s for s in longer if s.lasted_s > timeout_s + grace_s]
        self._record.add(
            f"{len(self.sent)} requests, {len(longer)} lasted longer than the timeout, "
            f"{len(late)} of them had no final answer {grace_s} s after it"
        )
        return late if len(late) >= 8 and 2 * len(late) > len(longer) else []

    async def send(
        self, method: str, prefix: str, gateway: deployments.Instance, deadline_s: float,
        body: bytes = b"", wait_s: float | None = None,
        key: str = deployments.KEY,
    ) -> Sent:  # fmt: skip
        """Sends one request and waits for its answer, by default until its deadline."""
        number = next(self._ids)
        id_ = f"{number:08x}{random.getrandbits(32):08x}"
        sent = Sent(id_, gateway.name, self._record.now())
        self.sent.append(sent)
        headers = {
            "Host": deployments.HOST,
            "X-Request-Id": id_,
            "X-Deadline-Ms": str(round(deadline_s * 1000)),
            "X-Api-Key": key,
        }
        answer = await http.call(
            self._deployment.front_address(gateway), method, f"{prefix}{number}", headers, body,
            timeout_s=wait_s or deadline_s,
        )  # fmt: skip
        sent.ended_at = self._record.now()
        sent.status = answer.status if answer else 0
        self._record.add(
            f"sent {id_} at {sent.sent_at:.3f} to {gateway.name}: "
            f"{sent.status or 'no answer'} after {sent.lasted_s:.3f} s"
        )
        return sent
