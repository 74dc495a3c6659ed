"""Configurations change many routes many times; then two stewards lose their disks, one long after
the other: no configuration can be read or changed any more."""

import asyncio
import json
import os
import pathlib

import stand_in_deployment as deployments
import stand_in_http as http
import stand_in_parties as parties

# A few routes, and as many more as `big_config` brings on the site.
ROUTES = 16 + 350
CHANGES = int(os.environ.get("CHANGES", "60"))
# Between the losses of two disks: a machine counts as lost for `catchUp` after it is back.
CATCH_UP_S = 4.0
PAUSE_S = 12.0
RECOVERY_S = 15.0
READS_S = 5.0


def configuration(number):
    """Returns a configuration; each one has another timeout on all routes."""
    timeout = f"{1000 + number}ms"
    routes = {
        f"r-{n:05d}": parties.route("search", f"/path{n:05d}/", "idempotent", timeout)
        for n in range(ROUTES)
    }
    return {
        "version": f"r{number}",
        "routes": routes,
        "services": {"search": parties.SERVICE},
        "limits": parties.LIMITS,
        "tenants": {},
    }


async def play(deployment, trouble):
    """Plays the case; returns the breaks of the rule."""
    operator = parties.Operator(deployment)
    record = deployment.record
    await operator.wait_until_up()
    for number in range(1, CHANGES + 1):
        status = await operator.order(
            "config.replace", "", configuration(number), {"X-If-Version": f"r{number - 1}"}
        )
        if status != 200:
            raise deployments.CannotRunError(f"configuration r{number} was answered {status}")
    newest = configuration(CHANGES)
    record.add(f"r{CHANGES} was acknowledged")
    await asyncio.sleep(3.0)
    if trouble:
        leader = deployment.leader()
        deployment.lose_disk(next(s for s in deployment.stewards if s is not leader))
        await asyncio.sleep(CATCH_UP_S + PAUSE_S)
        deployment.lose_disk(deployment.leader())
    await asyncio.sleep(RECOVERY_S)
    until = record.now() + READS_S
    answers = []
    while record.now() < until:
        for steward in deployment.stewards:
            answer = await http.call(
                deployment.control_address(steward), "POST", "/rpc?call=config.read"
            )
            version = json.loads(answer.body).get("version") if answer else None
            status = answer.status if answer else "no answer"
            record.add(f"read at {steward.name}: {status} {version}")
            answers.append(json.loads(answer.body) if answer and answer.status == 200 else None)
        await asyncio.sleep(0.3)
    read = [a for a in answers if a is not None]
    if not read:
        return [f"CONFIG: r{CHANGES} was acknowledged; {len(answers)} reads did not bring it"]
    return [f"CONFIG: another configuration was read: {a['version']}" for a in read if a != newest]


deployments.main(str(pathlib.Path(__file__).parent), play)
