"""Some servers send bytes without end, slowly, in the head of an answer: clients get no answer."""

import asyncio
import pathlib
import random

import stand_in_deployment as deployments
import stand_in_parties as parties

TIMEOUT_S = 1.0
# Seconds after the route's timeout by which a final answer is due.
GRACE_S = 0.5
CLIENT_DEADLINE_S = 4.0
PLAYED_S = 20.0
# Largest dose of `garble` on the site: of a service's servers, and of their answers.
FAULTY_SHARE, SPOILT_SHARE = 0.6, 0.05
BYTE_PAUSE_S = 0.2


class GarblingServer(parties.Server):
    """Spoils some answers: the head never ends, and a byte of it comes now and then."""

    spoils = False

    async def answer(self, id_, body, writer):
        """Answers a request, or begins a head that never ends."""
        if not self.spoils or random.random() >= SPOILT_SHARE:
            await super().answer(id_, body, writer)
            return
        self._record.add(f"{self.id} sends a head without end to {id_}")
        writer.write(b"HTTP/1.1 200 OK\r\nX-Fill: ")
        while not writer.is_closing():
            writer.write(b"a")
            await writer.drain()
            await asyncio.sleep(BYTE_PAUSE_S)


async def play(deployment, trouble):
    """Plays the case; returns the breaks of the rule."""
    operator = parties.Operator(deployment)
    await operator.wait_until_up()
    await operator.configure(
        {"read": parties.route("search", "/read/", "idempotent", f"{TIMEOUT_S * 1000:.0f}ms")},
        ["search"],
    )
    zones = [*deployments.REGION_BY_ZONE, *deployments.REGION_BY_ZONE][:5]
    servers = [GarblingServer(deployment, operator, "search", zone) for zone in zones]
    for server in servers:
        await server.start()
    await operator.wait_until_ready()
    await asyncio.sleep(3.0)
    for server in servers[: round(FAULTY_SHARE * len(servers))]:
        server.spoils = trouble
    clients = parties.Clients(deployment)
    await clients.run("GET", "/read/", 60.0, PLAYED_S, CLIENT_DEADLINE_S)
    for server in servers:
        await server.stop()
    return [
        f"CONFIG: {s.request_id} at {s.gateway} waited {s.lasted_s:.2f} s for "
        f"{f'its {s.status}' if s.status else 'an answer that never came'}, on a route with a "
        f"timeout of {TIMEOUT_S:.0f} s"
        for s in clients.unanswered(TIMEOUT_S, GRACE_S)
    ]


deployments.main(str(pathlib.Path(__file__).parent), play)
