"""An order to withdraw an evacuation waits at a frozen steward, is given again elsewhere, and is
carried out once more after a newer evacuation of the zone has been acknowledged."""

import asyncio
import pathlib
import signal

import stand_in_deployment as deployments
import stand_in_parties as parties

ZONE = "balkan-a"
FREEZE_S = 6.0
# An evacuation binds `evacuate` after its ack; an unstable core, as after a thaw, stretches that by
# `maxStretch` at most.
EVACUATE_S, MAX_STRETCH_S = 5.0, 5.0
OBSERVED_S = 5.0


async def play(deployment, trouble):
    """Plays the case; returns the breaks of the rule."""
    operator = parties.Operator(deployment)
    record = deployment.record
    await operator.wait_until_up()
    await operator.configure(
        {"read": parties.route("search", "/read/", "idempotent", "1000ms")}, ["search"]
    )
    servers = [
        parties.Server(deployment, operator, "search", zone)
        for zone in deployments.REGION_BY_ZONE
        for _ in range(4)
    ]
    for server in servers:
        await server.start()
    await operator.wait_until_ready()
    await asyncio.sleep(3.0)
    clients = parties.Clients(deployment)
    traffic = asyncio.ensure_future(clients.run("GET", "/read/", 30.0, 40.0, 1.0))
    await asyncio.sleep(2.0)

    leader = deployment.leader()
    frozen, other = (s for s in deployment.stewards if s is not leader)
    record.add(f"{leader.name} leads")
    status = await operator.order("evacuations.begin", ZONE, first=frozen)
    record.add(f"first evacuation: {status}")
    await asyncio.sleep(3.0)
    thaw = None
    if trouble:
        frozen.send(signal.SIGSTOP)
        record.add(f"froze {frozen.name}")
        thaw = asyncio.ensure_future(_thaw(frozen, record))
        await asyncio.sleep(0.2)
    # The operator goes on with the node that took its last order, on the same connection.
    status = await operator.order("evacuations.finish", ZONE, first=frozen)
    record.add(f"evacuation withdrawn: {status}")
    await asyncio.sleep(2.0)
    status = await operator.order("evacuations.begin", ZONE, first=other)
    acked_at = record.now()
    record.add(f"second evacuation: {status}")
    if status != 200:
        raise deployments.CannotRunError("the second evacuation was not acknowledged")
    if thaw:
        await thaw
    binds_at = acked_at + EVACUATE_S + MAX_STRETCH_S
    await asyncio.sleep(binds_at + OBSERVED_S - record.now())
    traffic.cancel()
    late = [
        run for server in servers if server.zone == ZONE for run in server.runs
        if run.at > binds_at
    ]  # fmt: skip
    for server in servers:
        await server.stop()
    return [
        f"EVAC: {run.request_id} reached {run.server} in {ZONE} {run.at - acked_at:.2f} s after "
        "the ack of its evacuation, which nobody has taken back since"
        for run in late
    ]


async def _thaw(frozen, record):
    await asyncio.sleep(FREEZE_S)
    frozen.send(signal.SIGCONT)
    record.add(f"thawed {frozen.name}")


deployments.main(str(pathlib.Path(__file__).parent), play)
