"""A gateway is killed, and some seconds later the steward that leads: whom do look-ups name?

Ten gateways stand in one zone; one of them is killed and stays down. Four seconds later the leading
steward is killed too. Consumers ask the other two where to connect. Answers are counted from
``contact`` after the second kill on, when the calm stewards are in touch. With TROUBLE=0 nothing is
killed.
"""

from __future__ import annotations

import asyncio
import json
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "stand_ins_2"))
import rig  # noqa: E402

HOST, ZONE = "register.example", "thrace-a"
GATEWAYS = 10
CONTACT_S = 3.0
LEADER_DIES_AFTER_S = 4.0
ASK_EVERY_S = 0.1
PLAY_S = 16.0
ALLOWED = 3


async def ask(system: rig.System, steward: rig.Machine) -> list[str] | None:
    """Returns the addresses that a steward names, None if it gives no answer."""
    target = f"/resolve?name={HOST}&region={rig.ZONES[ZONE]}&zone={ZONE}"
    try:
        answer = await rig.request(
            (steward.ip, system.directory), "GET", target, [("Host", "directory")], timeout_s=1
        )
    except (OSError, ValueError, TimeoutError):
        return None
    return json.loads(answer.body)["addresses"] if answer.status == 200 else None


async def case(folder: pathlib.Path, record: rig.Record) -> bool:
    """Plays the case; returns whether the rule was broken."""
    system = rig.System(folder, gateways=GATEWAYS, gateway_zones=(ZONE,))
    operator = rig.Operator(system, record)
    desk = rig.Backend(operator, record, "desk", ZONE)
    try:
        system.start_all()
        await operator.configure(
            {"r-names": rig.route(HOST, "/names/", "desk")}, {"desk": rig.service()}
        )
        await desk.start()
        await system.wait_until_ready()
        await asyncio.sleep(6)
        return await play(system, record)
    finally:
        await desk.crash()
        system.end_all()


async def play(system: rig.System, record: rig.Record) -> bool:
    """Plays the disruption; returns whether the rule was broken."""
    dead, *alive = (f"{g.ip}:{system.frontend}" for g in system.gateways)
    asked = list(system.stewards)
    began_at = killed_at = record.write("begins", names=[dead, *alive])
    leader_killed_at: float | None = None
    if rig.TROUBLE:
        system.kill(system.gateways[0])
        killed_at = record.write("gateway killed", address=dead)
    answers = wrong = 0
    while record.now() < began_at + PLAY_S:
        is_due = leader_killed_at is None and record.now() > killed_at + LEADER_DIES_AFTER_S
        if rig.TROUBLE and is_due:
            leader = system.leader()
            system.kill(leader)
            asked.remove(leader)
            leader_killed_at = record.write("leader killed", steward=leader.name)
        for steward in asked:
            asked_at = record.now()
            names = await ask(system, steward)
            if names is None:
                continue
            answers += 1
            record.write("answered", steward=steward.name, names=names)
            if leader_killed_at is None or asked_at < leader_killed_at + CONTACT_S:
                continue
            if asked_at > killed_at + CONTACT_S + 3 and dead in names and set(alive) & set(names):
                wrong += 1
        await asyncio.sleep(ASK_EVERY_S)
    record.write("result", answers=answers, that_name_the_dead_gateway_too_late=wrong)
    if answers < 50:
        raise rig.CannotRunError(f"only {answers} answers")
    return wrong > ALLOWED


if __name__ == "__main__":
    rig.run_case(__file__, case)
