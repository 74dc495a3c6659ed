"""Gateways are restarted in turn, and each gets SIGHUP right behind its start."""

import asyncio
import pathlib
import signal
import time

from stand_ins_3 import case, http, machines, parties

ROLLOUTS = 3
RESTART_DELAY_S = 0.3
MOST_ENDS, MACHINES = 3, 2


async def wait_until_ready(machine, patience=15):
    ends = time.monotonic() + patience
    while time.monotonic() < ends:
        try:
            answer = await http.exchange(machine.ready, http.head("GET", "/readyz", machine.ready))
            if answer.status == 200:
                return
        except http.BrokenError:
            pass
        await asyncio.sleep(0.05)
    raise http.BrokenError(f"{machine.name} is not ready")


async def play(record):
    with machines.Fleet(stewards=3, gateways=2, gateway_zones=["a1", "a2"]) as fleet:
        fleet.start()
        stewards = [s.control for s in fleet.stewards]
        backend = parties.Backend(
            record, stewards, "i-0", "desk", f"{fleet.backend_host(0)}:8080", "a1"
        )
        await backend.start()
        routes = {"r": parties.route("desk")}
        await parties.configure(
            record, fleet, parties.config(1, routes, {"desk": parties.service()})
        )
        gateways = [g.caller for g in fleet.gateways]
        await parties.wait_until_served(record, gateways)
        own_ends = {machine.name: 0 for machine in fleet.gateways}
        for rollout in range(ROLLOUTS):
            for machine in fleet.gateways:
                record.line(f"rollout {rollout + 1}: SIGTERM to {machine.name}")
                machine.signal(signal.SIGTERM)
                while machine.process.poll() is None:
                    await asyncio.sleep(0.05)
                record.line(f"{machine.name} has stopped: {machine.process.returncode}")
                machine.start()
                record.line(f"{machine.name} is started")
                # The settings file has been written anew just before the start.
                if case.TROUBLE:
                    record.line(f"SIGHUP to {machine.name}: its settings file has changed")
                    machine.signal(signal.SIGHUP)
                await asyncio.sleep(0.2)
                while machine.process.poll() is not None:
                    own_ends[machine.name] += 1
                    record.line(f"{machine.name} has ended by itself: {machine.process.returncode}")
                    await asyncio.sleep(RESTART_DELAY_S)
                    machine.start()
                    await asyncio.sleep(1)
                await wait_until_ready(machine)
        print("processes that ended by themselves:", own_ends)
        ended = [name for name, count in own_ends.items() if count >= MOST_ENDS]
        if len(ended) >= MACHINES:
            return [
                f"Fault: processes of {len(ended)} of {len(fleet.machines)} machines ended by "
                f"themselves {MOST_ENDS} times: {own_ends}"
            ]
        return []


case.run(pathlib.Path(__file__).parent, play)
