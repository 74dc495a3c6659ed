"""A backend ends, starts again under its id and asks for a pause before stewards know of its start."""

import asyncio
import pathlib
import time

from stand_ins_3 import case, machines, parties

PAUSE_S = 5
DOWN_S = 0.3
REFUSES_S = 0.4  # after its start, or from the same time on without the disruption
FIRST_REPORT_S = 0.6  # reports come every 1.5 s
PER_S = 120.0
MOST = 2


async def load(record, gateways, sent):
    number = 0
    tasks = set()
    while True:
        gateway = gateways[number % len(gateways)]
        number += 1

        async def one(gateway=gateway):
            sent.append(await parties.ask(record, gateway, deadline_ms=1000))

        task = asyncio.ensure_future(one())
        tasks.add(task)
        task.add_done_callback(tasks.discard)
        await asyncio.sleep(1 / PER_S)


async def play(record):
    with machines.Fleet(stewards=3, gateways=2, gateway_zones=["a1", "a2"]) as fleet:
        fleet.start()
        stewards = [s.control for s in fleet.stewards]
        backends = []
        for n in range(8):
            address = fleet.backend_address(n)
            zone = ["a1", "a2"][n % 2]
            backends.append(parties.Backend(record, stewards, f"i-{n}", "desk", address, zone))
        for backend in backends:
            await backend.start()
        routes = {"r": parties.route("desk", attempts=2)}
        await parties.configure(
            record, fleet, parties.config(1, routes, {"desk": parties.service()})
        )
        gateways = [g.caller for g in fleet.gateways]
        await parties.wait_until_served(record, gateways)
        sent = []
        sending = asyncio.ensure_future(load(record, gateways, sent))
        await asyncio.sleep(6)

        busy = backends[0]
        refuses_until = time.monotonic() + DOWN_S + REFUSES_S
        headers = [("X-Not-Executed", "1"), ("Retry-After", str(PAUSE_S))]

        def refuse(run):
            return (503, headers) if time.monotonic() < refuses_until else None

        if case.TROUBLE:
            busy.crash()
            record.line(f"backend {busy.name} has ended")
            await asyncio.sleep(DOWN_S)
            busy.refuse = refuse
            await busy.start(beat_delay=FIRST_REPORT_S)
            record.line(f"backend {busy.name} has started again, born {busy.born}")
        else:
            await asyncio.sleep(DOWN_S)
            busy.refuse = refuse
        await asyncio.sleep(PAUSE_S + 2)
        sending.cancel()

        # A gateway has no address of its own at a backend: the client knows which one it asked.
        gateway_by_id = {s.id: s.gateway for s in sent}
        breaks = []
        for gateway in gateways:
            mine = [run for run in busy.runs if gateway_by_id.get(run.id) == gateway]
            refusals = [run for run in mine if run.refused == 503]
            print(f"{gateway}: {len(refusals)} refusals, at",
                  [round(run.at, 2) for run in refusals])  # fmt: skip
            for refusal in refusals[:1]:
                begin, end = refusal.at + 0.5, refusal.at + PAUSE_S
                early = [run for run in mine if begin <= run.at < end]
                print(f"{gateway}: {len(early)} requests reached {busy.name} in the pause")
                if len(early) > MOST:
                    breaks.append(
                        f"BUDGET: {busy.name} answered {gateway} 503 with Retry-After: {PAUSE_S} "
                        f"at {refusal.at:.3f} and got {len(early)} requests from it from "
                        f"{begin:.3f} to {end:.3f}: {[run.id for run in early][:20]}"
                    )
        return breaks


case.run(pathlib.Path(__file__).parent, play)
