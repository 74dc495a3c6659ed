"""Clients send requests behind one another; their gateway is stopped as planned. Requests that it
has passed on, and that servers have run, are not answered."""

import asyncio
import pathlib
import random
import signal

import stand_in_deployment as deployments
import stand_in_http as http
import stand_in_parties as parties

CONNECTIONS, DEPTH = 10, 3
WORK_S = 0.25
DEADLINE_S = 3.0


class Pipeline:
    """A client that sends several requests on one connection before the first is answered."""

    def __init__(self, deployment, gateway, number):
        self._deployment, self._gateway, self._number = deployment, gateway, number
        self._record = deployment.record
        self.sent_at = {}
        self.answers = []

    async def run(self):
        """Sends a batch; resends nothing. Returns once all answers are there or the connection has
        ended."""
        reader, writer = await asyncio.open_connection(self._gateway.host, self._deployment.front)
        try:
            batch = b""
            for position in range(DEPTH):
                id_ = f"{self._number:02x}{position:02x}{random.getrandbits(48):012x}"
                headers = {
                    "Host": deployments.HOST, "X-Request-Id": id_, "X-Api-Key": deployments.KEY,
                    "X-Deadline-Ms": str(round(DEADLINE_S * 1000)),
                }  # fmt: skip
                lines = [f"GET /read/{id_} HTTP/1.1", *(f"{k}: {v}" for k, v in headers.items())]
                batch += "\r\n".join(lines).encode() + b"\r\n\r\n"
                self.sent_at[id_] = self._record.now()
            writer.write(batch)
            async with asyncio.timeout(DEADLINE_S):
                for id_ in self.sent_at:
                    start, headers = await http.read_head(reader)
                    await http.read_body(reader, headers)
                    self.answers.append(id_)
                    closes = headers.get("connection", "").lower() == "close"
                    self._record.add(f"{id_}: {start}{', closes' if closes else ''}")
        except (OSError, asyncio.IncompleteReadError, TimeoutError) as error:
            self._record.add(f"connection {self._number} ended: {error!r}")
        finally:
            writer.close()

    def unanswered(self):
        """Returns the requests without a whole answer."""
        return [id_ for id_ in self.sent_at if id_ not in self.answers]


async def play(deployment, trouble):
    """Plays the case; returns the breaks of the rule."""
    operator = parties.Operator(deployment)
    record = deployment.record
    await operator.wait_until_up()
    await operator.configure(
        {"read": parties.route("search", "/read/", "idempotent", "2000ms")}, ["search"]
    )
    servers = [
        parties.Server(deployment, operator, "search", zone)
        for zone in deployments.REGION_BY_ZONE
        for _ in range(6)
    ]
    for server in servers:
        server.work_s = WORK_S
        await server.start()
    await operator.wait_until_ready()
    await asyncio.sleep(6.0)
    gateway = deployment.gateways[0]
    pipelines = [Pipeline(deployment, gateway, n) for n in range(CONNECTIONS)]
    work = [asyncio.ensure_future(p.run()) for p in pipelines]
    await asyncio.sleep(WORK_S / 2)
    if trouble:
        gateway.send(signal.SIGTERM)
        record.add(f"SIGTERM to {gateway.name}")
    await asyncio.gather(*work)
    await asyncio.sleep(1.0)
    for server in servers:
        await server.stop()
    run_by_id = {run.request_id: run for server in servers for run in server.runs}
    return [
        f"LOST: {id_} was sent at {p.sent_at[id_]:.3f} to {gateway.name}, was run by "
        f"{run_by_id[id_].server} from {run_by_id[id_].at:.3f} and was never answered"
        for p in pipelines
        for id_ in p.unanswered()
        if id_ in run_by_id
    ]


deployments.main(str(pathlib.Path(__file__).parent), play)
