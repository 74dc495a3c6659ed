"""A server that was cut off for some seconds leaves, its departure is acknowledged, and a liveness
report from the time of the cut arrives after that."""

import asyncio
import pathlib

import stand_in_deployment as deployments
import stand_in_parties as parties

CUT_S = 5.5
# The report that the cut has held up arrives this much later than the departure's ack.
REPORT_DELAY_S = 0.5
DRAIN_S = 2.5
# Gateways are in touch again `contact` after the cut.
CONTACT_S = 3.0
# The server serves on for `drainTimeout` after the ack and some seconds longer.
SERVES_ON_S = 8.0


class LeavingServer(parties.Server):
    """A server that leaves without having reported that it drains."""

    held_report: dict | None = None

    async def be_cut_off(self) -> None:
        """Is cut off from all machines right before its next report is due."""
        await asyncio.sleep(self.last_report_at + parties.HEARTBEAT_S - 0.1 - self._record.now())
        self.stop_reports()
        self.reachable.clear()
        self._record.add(f"{self.id} is cut off")
        # Its reports fail in the cut; one is on its way when the cut ends.
        for _ in range(int(CUT_S / parties.HEARTBEAT_S) + 1):
            self.held_report = self.report()
        await asyncio.sleep(CUT_S)
        self.reachable.set()
        self._record.add(f"{self.id} is back")

    async def leave(self) -> float:
        """Leaves; returns when that was acknowledged."""
        self.stop_reports()
        status = await self._operator.order("instances.leave", self.id, {"born": self.born})
        if status != 200:
            raise deployments.CannotRunError(f"the departure was answered {status}")
        return self._record.now()


async def play(deployment, trouble):
    """Plays the case; returns the breaks of the rule."""
    operator = parties.Operator(deployment)
    record = deployment.record
    await operator.wait_until_up()
    await operator.configure(
        {"read": parties.route("search", "/read/", "idempotent", "1000ms")}, ["search"]
    )
    leaving = LeavingServer(deployment, operator, "search", "thrace-a")
    servers = [leaving] + [
        parties.Server(deployment, operator, "search", zone)
        for zone in deployments.REGION_BY_ZONE
        for _ in range(2)
    ]
    for server in servers:
        await server.start()
    await operator.wait_until_ready()
    await asyncio.sleep(8.0)
    clients = parties.Clients(deployment)
    traffic = asyncio.ensure_future(clients.run("GET", "/read/", 30.0, 40.0, 1.0))
    await asyncio.sleep(3.0)
    if trouble:
        await leaving.be_cut_off()
    acked_at = await leaving.leave()
    record.add(f"the departure of {leaving.id} was acknowledged")
    await asyncio.sleep(REPORT_DELAY_S)
    if leaving.held_report is not None:
        status = await leaving.send_report(leaving.held_report)
        record.add(f"the held report of {leaving.id} arrived: {status}")
    await asyncio.sleep(acked_at + SERVES_ON_S - record.now())
    traffic.cancel()
    # The departure was sent when the cut had ended.
    binds_at = acked_at + max(DRAIN_S, CONTACT_S)
    late = [run for run in leaving.runs if run.at > binds_at]
    for server in servers:
        await server.stop()
    return [
        f"DRAIN: {run.request_id} reached {run.server} {run.at - acked_at:.2f} s after the ack of "
        "its departure"
        for run in late
    ]


deployments.main(str(pathlib.Path(__file__).parent), play)
