"""Live measurements with separate processes on this machine.

Covers the cost of an idle node by fleet size, the time until a change is in force everywhere, and
the cost of requests and look-ups."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import os
import pathlib
import re
import statistics
import tempfile
import time
import typing

import h11

from flamingotiller import caller, client, clock, endpoint_emulator, errors, porcelain
from tools import processes

IDLE_S = 15.0
CLOCK_TICKS = os.sysconf("SC_CLK_TCK")
CONTROLS = ["control-1", "control-2", "control-3"]

CONTRACT = {
    "organisation": "growers",
    "rate": 100_000.0,
    "burst": 100_000.0,
    "routes": [
        {
            "name": "search",
            "path": "/names",
            "service": "search",
            "methods": ["GET", "POST"],
            "idempotent": True,
        }
    ],
}


@dataclasses.dataclass(frozen=True)
class NodeCost:
    """Resource use of the processes of an idle fleet, per process and second.

    Attributes:
        instances: Entry instances.
        zones: Zones.
        entry_cpu: Share of a core, mean of the entry instances.
        entry_cpu_max: Share of a core, maximum of the entry instances.
        entry_bytes: Bytes sent and received, HTTP framing included, mean of the entry instances.
        entry_bytes_max: The same, maximum of the entry instances.
        entry_rss_mb: Resident memory, mean of the entry instances.
        control_cpu_max: Share of a core, maximum of the control instances.
        control_bytes_max: Bytes sent and received, maximum of the control instances.
        control_rss_mb: Resident memory, maximum of the control instances.
    """

    instances: int
    zones: int
    entry_cpu: float
    entry_cpu_max: float
    entry_bytes: float
    entry_bytes_max: float
    entry_rss_mb: float
    control_cpu_max: float
    control_bytes_max: float
    control_rss_mb: float


def cpu_seconds(pid: int) -> float:
    """Returns the processor time that a process has used."""
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS


def resident_mb(pid: int) -> float:
    """Returns a process's resident memory in MB."""
    text = pathlib.Path(f"/proc/{pid}/status").read_text()
    return int(re.search(r"VmRSS:\s+(\d+)", text)[1]) / 1024  # type: ignore[index]


async def wire_bytes(sender: client.Client, address: str) -> float:
    """Returns the bytes that a process has sent and received by its metrics."""
    answer = await sender.call(address, "GET", "/metrics", timeout=clock.seconds(5))
    matches = re.findall(rb"^flamingotiller_wire_bytes\{[^}]*\} ([0-9.e+]+)", answer.body, re.M)
    return sum(float(item) for item in matches)


def deployment(seats_by_zone: dict[str, list[str]]) -> dict[str, typing.Any]:
    """Returns a deployment with two zones in each region."""
    zones = [
        {"name": zone, "region": f"r{number // 2}", "seats": seats}
        for number, (zone, seats) in enumerate(seats_by_zone.items())
    ]
    return {"zones": zones}


@contextlib.asynccontextmanager
async def fleet(
    zones: int, per_zone: int, *more: str
) -> typing.AsyncIterator[tuple[processes.Processes, porcelain.Operator, str]]:
    """Runs a configured fleet; yields it, an operator's client and an API key."""
    with (
        tempfile.TemporaryDirectory() as folder,
        processes.running(folder, production_timing=True) as running,
    ):
        running.found_controls(CONTROLS)
        for name in CONTROLS:
            running.start_control(name)
        seats = {f"z{z}": [f"z{z}-{i}" for i in range(per_zone)] for z in range(zones)}
        for zone, names in seats.items():
            for name in names:
                running.start_entry(name, zone, *more)
        servers = [running.address_by_name[name] for name in CONTROLS]
        async with porcelain.connect(servers, processes.OPERATOR_TOKEN) as operator:
            await operator.change("deployment/main", deployment(seats), 0)
            await operator.change("contract/growers", CONTRACT, 0)
            key, verdict = await operator.give_key("growers")
            await wait_until_in_force(operator, verdict.to_version, zones * per_zone + 3)
            yield running, operator, key


async def wait_until_in_force(operator: porcelain.Operator, version: int, count: int) -> None:
    """Waits until ``count`` processes report that a version is in force."""
    deadline = time.monotonic() + 120
    while time.monotonic() < deadline:
        progress = await operator.wait(version, clock.seconds(10))
        if progress.done and len(progress.in_force) >= count:
            return
        await asyncio.sleep(0.2)
    raise TimeoutError(
        f"version {version} is in force at {len(progress.in_force)} of {count} processes, "
        f"not at {progress.laggards}"
    )


async def node_cost(zones: int, per_zone: int) -> NodeCost:
    """Measures the resource use of an idle fleet."""
    async with fleet(zones, per_zone) as (running, _, _):
        await asyncio.sleep(8)
        pool = client.ConnectionPool()
        sender = client.Client(pool)
        names = list(running.process_by_name)

        async def read() -> dict[str, tuple[float, float]]:
            return {
                name: (
                    cpu_seconds(running.process_by_name[name].pid),
                    await wire_bytes(sender, running.address_by_name[name]),
                )
                for name in names
            }

        before, began = await read(), time.monotonic()
        await asyncio.sleep(IDLE_S)
        after, elapsed = await read(), time.monotonic() - began
        await pool.close()
        cpu = {n: (after[n][0] - before[n][0]) / elapsed for n in names}
        wire = {n: (after[n][1] - before[n][1]) / elapsed for n in names}
        rss = {n: resident_mb(running.process_by_name[n].pid) for n in names}
    entries = [n for n in names if n not in CONTROLS]
    return NodeCost(
        instances=len(entries),
        zones=zones,
        entry_cpu=statistics.mean(cpu[n] for n in entries),
        entry_cpu_max=max(cpu[n] for n in entries),
        entry_bytes=statistics.mean(wire[n] for n in entries),
        entry_bytes_max=max(wire[n] for n in entries),
        entry_rss_mb=statistics.mean(rss[n] for n in entries),
        control_cpu_max=max(cpu[n] for n in CONTROLS),
        control_bytes_max=max(wire[n] for n in CONTROLS),
        control_rss_mb=max(rss[n] for n in CONTROLS),
    )


async def spread_times(zones: int, per_zone: int, changes: int = 20) -> list[float]:
    """Returns sorted times in seconds from sending a change until it is in force everywhere."""
    times = []
    async with fleet(zones, per_zone) as (running, operator, _):
        addresses = [a for n, a in running.address_by_name.items() if n not in CONTROLS]
        pool = client.ConnectionPool()
        sender = client.Client(pool)
        for number in range(changes):
            began = time.monotonic()
            verdict = await operator.start_drain("zone", f"x{number}", "measure")
            await asyncio.gather(
                *(wait_for_version(sender, a, verdict.to_version) for a in addresses)
            )
            times.append(time.monotonic() - began)
        await pool.close()
    return sorted(times)


async def wait_for_version(sender: client.Client, address: str, version: int) -> None:
    """Waits until a process's metrics show a version or a newer one."""
    while True:
        answer = await sender.call(address, "GET", "/metrics", timeout=clock.seconds(5))
        match = re.search(
            rb"^flamingotiller_config_version(?:\{[^}]*\})? ([0-9.e+]+)", answer.body, re.M
        )
        if match and float(match[1]) >= version:
            return
        await asyncio.sleep(0.02)


@dataclasses.dataclass(frozen=True)
class PathCost:
    """Cost of the request path and of look-ups.

    Attributes:
        lookups_per_cpu_s: Look-ups per second of the entry instance's processor time.
        hop_cpu_ms: Entry instance's processor time per proxied request.
        bare_cpu_ms: Processor time of a bare h11 server and client for one exchange.
        direct_p50_ms: Median latency of requests sent directly to the endpoint.
        path_p50_ms: Median latency of requests through the entry instance.
        path_p99_ms: 99th percentile of the latency through the entry instance.
    """

    lookups_per_cpu_s: float
    hop_cpu_ms: float
    bare_cpu_ms: float
    direct_p50_ms: float
    path_p50_ms: float
    path_p99_ms: float


async def path_cost(requests: int = 2000, lookups: int = 6000) -> PathCost:
    """Measures one entry instance with one endpoint, one request at a time."""
    async with fleet(1, 1) as (running, _, key):
        address = running.address_by_name["z0-0"]
        pid = running.process_by_name["z0-0"].pid
        profile = endpoint_emulator.Profile("search", "e", slots=64, service_time_s=0.0)
        endpoint = endpoint_emulator.EmulatedEndpoint(profile, [address], processes.SERVICE_TOKEN)
        await endpoint.start()
        sender = caller.Caller([address], "growers", key, clock.SystemClock())
        await wait_until_served(sender, address)
        path_latencies, hop_cpu = await _measure(
            pid, requests, lambda: sender.send("GET", "/names", instance=address)
        )
        pool = client.ConnectionPool()
        plain = client.Client(pool)

        async def direct() -> None:
            await plain.call(endpoint.address, "GET", "/names", timeout=clock.seconds(5))

        async def look_up() -> None:
            target = "/v1/lookup?organisation=growers"
            await plain.call(address, "GET", target, timeout=clock.seconds(5))

        direct_latencies, _ = await _measure(pid, requests, direct)
        _, lookup_cpu = await _measure(pid, lookups, look_up)
        await pool.close()
        await sender.close()
        await endpoint.stop()
    return PathCost(
        lookups_per_cpu_s=1 / lookup_cpu,
        hop_cpu_ms=1000 * hop_cpu,
        bare_cpu_ms=1000 * await bare_cost(requests),
        direct_p50_ms=1000 * direct_latencies[len(direct_latencies) // 2],
        path_p50_ms=1000 * path_latencies[len(path_latencies) // 2],
        path_p99_ms=1000 * path_latencies[int(0.99 * len(path_latencies))],
    )


async def wait_until_served(sender: caller.Caller, address: str) -> None:
    """Sends requests until an instance, which may still be starting, serves one."""
    for _ in range(300):
        with contextlib.suppress(errors.TransportError):
            if (await sender.send("GET", "/names", instance=address)).status == 200:
                return
        await asyncio.sleep(0.1)
    raise TimeoutError(f"{address} served no request")


async def _measure(
    pid: int, count: int, work: typing.Callable[[], typing.Awaitable[typing.Any]]
) -> tuple[list[float], float]:
    """Returns sorted latencies of calls and the processor time of process ``pid`` per call."""
    for _ in range(50):
        await work()
    before, times = cpu_seconds(pid), []
    for _ in range(count):
        began = time.perf_counter()
        await work()
        times.append(time.perf_counter() - began)
    return sorted(times), (cpu_seconds(pid) - before) / count


async def bare_cost(count: int) -> float:
    """Returns the processor time of one exchange between an h11 server and client over TCP."""

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        connection = h11.Connection(h11.SERVER)
        while await _read_message(connection, reader):
            head = h11.Response(status_code=200, headers=[("content-length", "2")])
            for event in (head, h11.Data(data=b"ok"), h11.EndOfMessage()):
                writer.write(connection.send(event) or b"")
            connection.start_next_cycle()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    connection = h11.Connection(h11.CLIENT)
    began = time.process_time()
    for _ in range(count):
        head = h11.Request(method="GET", target="/names", headers=[("host", "x")])
        writer.write((connection.send(head) or b"") + (connection.send(h11.EndOfMessage()) or b""))
        await _read_message(connection, reader)
        connection.start_next_cycle()
    elapsed = time.process_time() - began
    writer.close()
    # Lets the server's handler see the end of the connection before the loop is closed.
    await asyncio.sleep(0.05)
    server.close()
    return elapsed / count


async def _read_message(connection: h11.Connection, reader: asyncio.StreamReader) -> bool:
    while True:
        event = connection.next_event()
        if event is h11.NEED_DATA:
            connection.receive_data(await reader.read(65536))
        elif isinstance(event, h11.EndOfMessage):
            return True
        elif isinstance(event, h11.ConnectionClosed):
            return False


async def log_cost(changes: int = 300) -> tuple[float, float]:
    """Returns sequential changes accepted per second and the leader's processor ms per change."""
    async with fleet(1, 1) as (running, operator, _):
        leader = (await operator.status())["leader"].split(".")[0]
        pid = running.process_by_name[leader].pid
        before, began = cpu_seconds(pid), time.monotonic()
        for number in range(changes):
            await operator.start_drain("zone", f"y{number}", "measure")
        elapsed = time.monotonic() - began
        return changes / elapsed, 1000 * (cpu_seconds(pid) - before) / changes


async def idle_callers(count: int = 10_000) -> float:
    """Returns the resident memory in MB of an entry instance with open idle connections."""
    async with fleet(1, 1, "--max_connections=12000") as (running, _, _):
        host, _, port = running.address_by_name["z0-0"].rpartition(":")
        writers = []
        for _ in range(count):
            writers.append((await asyncio.open_connection(host, int(port)))[1])
        await asyncio.sleep(1)
        memory_mb = resident_mb(running.process_by_name["z0-0"].pid)
        for writer in writers:
            writer.transport.abort()
        return memory_mb
