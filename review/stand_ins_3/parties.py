"""Endpoints, the operator and clients, as the users' pages describe sound ones."""

import asyncio
import contextlib
import itertools
import json
import time

from stand_ins_3 import http

HOST = "app.example"
_numbers = itertools.count(1)


def request_id():
    return f"q{next(_numbers):07d}"


class Run:
    """One request that an endpoint has begun to run, or refused."""

    def __init__(self, backend, id_, at, method, target):
        self.backend, self.id, self.at = backend, id_, at
        self.method, self.target = method, target
        self.refused = None
        self.ended_at = None
        self.outcome = "running"


class Backend:
    """An endpoint: runs requests, reports to stewards and says what the pages ask of it."""

    def __init__(self, record, stewards, name, service, address, zone, slots=50, work_s=0.05):
        self.record, self.stewards = record, stewards
        self.name, self.service, self.address, self.zone = name, service, address, zone
        self.slots, self.work_s = slots, work_s
        self.born = 0
        self.sequence = 0
        self.state = "ready"
        self.cold_until = 0.0
        self.running = 0
        self.runs = []
        self.extra_headers = lambda: []
        self.refuse = lambda run: None  # returns (status, headers) for a refusal
        self._writers = set()
        self._server = None
        self._beat_task = None
        self._steward = 0

    async def start(self, beats=True, beat_delay=0.0):
        """Starts a lifetime."""
        host, _, port = self.address.rpartition(":")
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.state = "ready"
        self._server = await asyncio.start_server(self._serve, host, int(port), limit=2**20)
        if beats:
            self._beat_task = asyncio.ensure_future(self._beat(beat_delay))

    def crash(self):
        """Ends the lifetime at once, as the end of a process does."""
        if self._beat_task:
            self._beat_task.cancel()
            self._beat_task = None
        if self._server:
            self._server.close()
            self._server = None
        for writer in list(self._writers):
            writer.transport.abort()
        self.running = 0

    def report(self):
        self.sequence += 1
        cold_ms = max(0, int((self.cold_until - time.monotonic()) * 1000))
        return {
            "address": self.address,
            "born": self.born,
            "info": {
                "service": self.service, "version": "v1", "zone": self.zone, "slots": self.slots,
            },
            "status": {
                "state": self.state, "sequence": self.sequence, "coldRemaining": f"{cold_ms}ms",
            },
        }  # fmt: skip

    async def beat_once(self):
        """One liveness report; goes on to the next node until one acknowledges it."""
        document = self.report()
        for _ in range(len(self.stewards)):
            steward = self.stewards[self._steward % len(self.stewards)]
            try:
                answer = await http.call(steward, "instances.heartbeat", self.name, document)
                self.record.line(f"report {self.name} {document['status']} to {steward}: "
                                 f"{answer.status}")  # fmt: skip
                if answer.status < 300:
                    return True
            except http.BrokenError as error:
                self.record.line(f"report {self.name} to {steward}: {error}")
            self._steward += 1
        return False

    async def _beat(self, delay):
        await asyncio.sleep(delay)
        while True:
            await self.beat_once()
            await asyncio.sleep(1.5)

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while (read := await http.read_head(reader)) is not None:
                line, headers = read
                body = await http.read_body(reader, headers)
                if not await self._answer(line, headers, body, reader, writer):
                    break
        except (http.BrokenError, OSError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _answer(self, line, headers, body, reader, writer):
        method, target, _ = line.split(" ", 2)
        id_ = headers.get("x-request-id", "")
        run = Run(self, id_, self.record.now(), method, target)
        run.machine = writer.get_extra_info("peername")[0]
        run.headers, run.body = headers, body
        if headers.get("x-expect-instance") not in (None, self.name):
            run.refused = 421
            self._write(writer, 421, id_, [("X-Not-Executed", "1")], b"")
            self.record.line(f"backend {self.name} refuses {id_}: 421")
            return True
        refusal = self.refuse(run)
        self.runs.append(run)
        if refusal is not None:
            run.refused, run.outcome = refusal[0], "refused"
            self.record.line(f"backend {self.name} refuses {id_}: {refusal}")
            self._write(writer, refusal[0], id_, refusal[1], b"")
            return True
        self.record.line(f"backend {self.name} runs {id_} {method} {target}")
        self.running += 1
        born = self.born
        try:
            await self._work(run, reader)
        finally:
            self.running = max(0, self.running - 1)
            run.ended_at = self.record.now()
        if run.outcome == "dropped" or self.born != born:
            self.record.line(f"backend {self.name} drops {id_}: its connection has closed")
            return False
        run.outcome = "answered"
        answer = json.dumps({"ran": id_, "by": self.name}).encode()
        fields = [("X-Response-Seal", f"{self.name}.{id_}"), *self.extra_headers()]
        self._write(writer, 200, id_, fields, answer)
        return True

    async def _work(self, run, reader):
        ends = time.monotonic() + (self.work_s(run) if callable(self.work_s) else self.work_s)
        while (left := ends - time.monotonic()) > 0:
            if reader.at_eof() or reader.exception() is not None:
                run.outcome = "dropped"
                return
            await asyncio.sleep(min(left, 0.01))

    def _write(self, writer, status, id_, fields, body):
        lines = [f"HTTP/1.1 {status} X", f"X-Request-Id: {id_}"]
        lines += [f"{name}: {value}" for name, value in fields]
        lines += [f"X-Server-Load: {self.running},0,{self.slots}", f"Content-Length: {len(body)}"]
        with contextlib.suppress(OSError):
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)


def route(service, prefix="/a/", kind="idempotent", attempts=2, timeout="3000ms", public=True):
    return {
        "host": HOST, "pathPrefix": prefix, "routeType": kind, "timeout": timeout,
        "targetLatency": "400ms", "priority": 0, "service": service, "maxAttempts": attempts,
        "public": public, "stickySessions": False, "allowedRegions": [],
    }  # fmt: skip


def service(cold_start="0ms", cold_per_s=0.0):
    return {
        "healthPath": "/healthz", "maxConnections": 780, "protocol": "h1", "tls": False,
        "coldStart": cold_start, "coldPerS": cold_per_s,
    }  # fmt: skip


def config(version, routes, services, tenants=None):
    return {
        "version": f"r{version}", "routes": routes, "services": services,
        "limits": {
            "maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeout": "3000ms",
            "idleTimeout": "15000ms",
        },
        "tenants": tenants or {},
    }  # fmt: skip


async def configure(record, fleet, document, base=0):
    addresses = [s.control for s in fleet.stewards]
    answer = await http.call_any(
        addresses, "config.replace", document=document, headers=[("X-If-Version", f"r{base}")]
    )
    record.line(f"operator sends {document['version']} on r{base}: {answer.status}")
    if answer.status != 200:
        raise http.BrokenError(f"the config was answered {answer.status}")


class Sent:
    """One attempt of a client."""

    def __init__(self, id_, gateway, at):
        self.id, self.gateway, self.at = id_, gateway, at
        self.status = self.error = self.answered_at = None
        self.seal = self.body = None


async def ask(record, gateway, method="GET", target="/a/x", deadline_ms=2000, body=b"", headers=()):
    """One attempt on a new connection; returns what became of it."""
    sent = Sent(request_id(), gateway, record.now())
    fields = [("X-Request-Id", sent.id), ("X-Deadline-Ms", deadline_ms), *headers]
    length = len(body) if method != "GET" else None
    head = http.head(method, target, HOST, fields, length)
    record.line(f"client sends {sent.id} {method} {target} to {gateway}", sent.at)
    try:
        answer = await http.exchange(gateway, head, body, deadline_ms / 1000 + 0.5)
        sent.status, sent.body = answer.status, answer.body
        sent.seal = answer.headers.get("x-response-seal")
        if answer.headers.get("x-request-id", sent.id) != sent.id:
            sent.error = "answer of another request"
    except http.BrokenError as error:
        sent.error = str(error)
    sent.answered_at = record.now()
    record.line(f"client gets {sent.id}: {sent.status} {sent.error or ''} {sent.seal or ''} "
                f"{(sent.body or b'')[:80]!r}")  # fmt: skip
    return sent


async def wait_until_served(record, gateways, patience=20.0, **arguments):
    """Waits until every gateway serves a request."""
    ends = time.monotonic() + patience
    for gateway in gateways:
        while (await ask(record, gateway, **arguments)).status != 200:
            if time.monotonic() > ends:
                raise http.BrokenError(f"{gateway} serves nothing")
            await asyncio.sleep(0.2)
