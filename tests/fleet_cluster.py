"""A fleet of real gateways and stewards with endpoints that requests can end."""

import asyncio
import contextlib
import random

import fleet_fakes
import polling
import steward_cluster

from flamingotiller import clock, errors
from flamingotiller.fleet import gateway, model, steward
from flamingotiller.platform import headers

REGION_BY_ZONE = {"t1": "thrace", "t2": "thrace", "b1": "balkan"}
ZONES = list(REGION_BY_ZONE)
CRASHING_PATH = "/a/crashing"


class CrashableEndpoint:
    """An endpoint whose process ends under requests for a path, and starts again at its address.

    Each start is a new lifetime. A process that ends closes its port and all connections.
    """

    def __init__(self, fleet, number):
        self.fleet = fleet
        self.number = number
        self.zone = fleet.zones[number % len(fleet.zones)]
        self.port = 0
        self.ends = 0
        self.running = 0
        self._writers = set()
        self._listener = None

    @property
    def id(self):
        return f"e{self.number}-{self.ends}"

    async def start(self):
        self._listener = await asyncio.start_server(self._serve, "127.0.0.1", self.port)
        self.port = self._listener.sockets[0].getsockname()[1]

    def record(self):
        return model.Endpoint(
            self.id, 1000 + self.ends, 1, "s", f"127.0.0.1:{self.port}", self.zone, 8
        )

    def end(self):
        """Ends the process, as a crash does."""
        self.ends += 1
        self.running = 0
        self._listener.close()
        self.reset_connections()

    def reset_connections(self):
        for writer in self._writers:
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        lifetime = self.ends
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            while True:
                request = await fleet_fakes.read_message(reader)
                path = request.start_line.split()[1]
                self.fleet.runs.append((asyncio.get_running_loop().time(), path))
                self.running += 1
                await asyncio.sleep(self.fleet.work_s)
                if self.ends != lifetime:
                    break
                self.running -= 1
                if path == CRASHING_PATH:
                    self.fleet.crash(self)
                    break
                writer.write(fleet_fakes.make_response(request))
                await writer.drain()
        self._writers.discard(writer)
        writer.close()


class Fleet:
    """Three stewards, some gateways, and endpoints that start again after they have ended.

    Attributes:
        runs: Time and path of every request that an endpoint began to run.
        ended_at: Times at which a request ended an endpoint.
    """

    work_s = 0.03
    restart_s = 0.6

    def __init__(self, folder, gateway_count=4, endpoint_count=12, routes=None, zones=ZONES):
        self.zones = zones
        self.stewards = steward_cluster.StewardCluster(folder, region_by_zone=REGION_BY_ZONE)
        self.gateways = []
        self.endpoints = [CrashableEndpoint(self, n) for n in range(endpoint_count)]
        self.runs = []
        self.ended_at = []
        self._gateway_count = gateway_count
        self._routes = routes or [fleet_fakes.make_route(max_attempts=2)]
        self._stack = contextlib.AsyncExitStack()
        self._tasks = set()

    async def __aenter__(self):
        await self._stack.enter_async_context(self.stewards)
        await self.stewards.wait_for_voters(3)
        self._stack.push_async_callback(self._end_tasks)
        for endpoint in self.endpoints:
            await endpoint.start()
            self._stack.callback(endpoint.end)
        items = fleet_fakes.make_items(self._routes, [], cold_rate=0.0)
        update = steward.ConfigurationUpdate(1, 0, "d", items, {"version": "r1"})
        await self.stewards.retry(lambda n: n.configure(update))
        for endpoint in self.endpoints:
            await self.stewards.retry(lambda n, e=endpoint: n.report(e.record()))
        self.spawn(self._report_endpoints())
        for number in range(self._gateway_count):
            self.gateways.append(await self.start_gateway(number))
        return self

    async def __aexit__(self, *error):
        await self._stack.aclose()

    async def _end_tasks(self):
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def spawn(self, work):
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def start_gateway(self, number):
        zone = ZONES[number % len(ZONES)]
        config = gateway.GatewaySettings(
            name=f"g{number}", zone=zone, region=REGION_BY_ZONE[zone], address="127.0.0.1:0",
            peer_port=self.stewards.port, seeds=self.stewards.seeds, region_by_zone=REGION_BY_ZONE,
            revocation_bound=clock.seconds(5), cold_overage=1.5, cold_slack=5, max_region_shift=1.0,
            retry_ratio=0.2, retry_slack=112.0,
        )  # fmt: skip
        node = gateway.Gateway(config, headers.DIALECT, clock.SystemClock(), random.Random(number))
        await node.start()
        self._stack.push_async_callback(node.abort)
        await polling.wait_until(lambda: len(node.view.endpoint_by_id) >= len(self.endpoints) // 2)
        return node

    def crash(self, endpoint):
        self.ended_at.append(asyncio.get_running_loop().time())
        endpoint.end()
        self.spawn(self._restart(endpoint))

    async def _restart(self, endpoint):
        await asyncio.sleep(self.restart_s)
        await endpoint.start()
        await self.stewards.retry(lambda n: n.report(endpoint.record()))

    async def _report_endpoints(self):
        sequence = 1
        while True:
            sequence += 1
            for endpoint in self.endpoints:
                if not endpoint._listener.is_serving():
                    continue
                record = endpoint.record()
                record = model.Endpoint(**{**vars(record), "sequence": sequence})
                for node in list(self.stewards.by_host.values()):
                    with contextlib.suppress(errors.FlamingotillerError):
                        await node.report(record)
                        break
            await asyncio.sleep(0.5)

    async def send(self, node, path, id_, **extra):
        """Sends one request on a new connection; returns the response, None if there is none."""
        reader, writer = await asyncio.open_connection(*node.listening)
        cookie = f"X-Affinity-Key={path}"
        writer.write(fleet_fakes.make_request(path, id_=id_, Cookie=cookie, **extra))
        try:
            async with asyncio.timeout(10):
                return await fleet_fakes.read_message(reader)
        except (asyncio.IncompleteReadError, ConnectionError):
            return None
        finally:
            writer.close()

    def late_runs(self, path, after):
        """Returns how often a path began to run later than a time."""
        return sum(at > after for at, run_path in self.runs if run_path == path)
