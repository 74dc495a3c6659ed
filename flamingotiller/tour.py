"""A demonstration of the system in one process.

Requests of two organisations pass through three zones; each step prints one line."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import time

from flamingotiller import caller, clock, embedded, errors, porcelain

SERVICE = "names"
STEP_TIMEOUT = clock.seconds(10)
RATE = 50.0
BURST = 30.0


def _contract(organisation: str, rate: float, burst: float) -> dict[str, object]:
    return {
        "organisation": organisation,
        "rate": rate,
        "burst": burst,
        "routes": [
            {"name": "search", "path": "/names", "service": SERVICE, "idempotent": True},
            {"name": "file", "path": "/filings", "service": SERVICE, "methods": ["POST"]},
        ],
    }


@dataclasses.dataclass
class _Tour:
    fleet: embedded.Fleet
    operator: porcelain.Operator
    stack: contextlib.AsyncExitStack

    def say(self, text: str) -> None:
        """Prints the result of a step."""
        print(text, flush=True)

    async def connect(self, organisation: str, key: str | None) -> caller.Caller:
        """Returns a caller that is closed when the tour ends."""
        seeds = [instance.address for instance in self.fleet.entries]
        sender = caller.Caller(seeds, organisation, key, clock.SystemClock())
        self.stack.push_async_callback(sender.close)
        return sender

    async def repeat_until(self, sender: caller.Caller, status: int, method="GET", target="/names"):
        """Repeats a request until its response has a status; returns it and the seconds taken."""
        started_at = time.monotonic()
        while True:
            with contextlib.suppress(errors.TransportError):
                response = await sender.send(method, target)
                if response.status == status:
                    return response, time.monotonic() - started_at
            if time.monotonic() - started_at > STEP_TIMEOUT.total_seconds():
                raise errors.UnavailableError(
                    f"no response with status {status} in time", step="tour"
                )
            await asyncio.sleep(0.02)

    async def configure(self) -> dict[str, str]:
        """Puts the deployment, two contracts and one key for each organisation in force."""
        operator = self.operator
        await operator.change("deployment/main", self.fleet.deployment(), 0)
        await operator.change("contract/breeders", _contract("breeders", 500.0, 500.0), 0)
        await operator.change("contract/distillers", _contract("distillers", RATE, BURST), 0)
        keys = {}
        for organisation in ("breeders", "distillers"):
            keys[organisation], verdict = await operator.give_key(organisation)
        result = await operator.wait(verdict.to_version, STEP_TIMEOUT)
        self.say(f"version {result.version} is in force at {len(result.in_force)} processes")
        return keys

    async def show_served(self, sender: caller.Caller, organisation: str) -> None:
        """Shows that a request is served."""
        response, _ = await self.repeat_until(sender, 200)
        self.say(f"served: GET /names for {organisation} by {response.json()['endpoint']}")

    async def show_at_most_once(self, sender: caller.Caller) -> None:
        """Shows that a request sent three times runs once."""
        request_id = await sender.new_id()
        for _ in range(3):
            await sender.send("POST", "/filings", b"rosa damascena", request_id=request_id)
        runs = sum(endpoint.runs_by_id[request_id] for endpoint in self.fleet.endpoints)
        self.say(f"at most once: POST /filings was sent 3 times and ran {runs} time(s)")
        if runs != 1:
            raise errors.FlamingotillerError(f"ran {runs} times", step="tour")

    async def show_wrong_key_refused(self) -> None:
        """Shows that a wrong key is refused."""
        wrong = await self.connect("breeders", "breeders.00000000.wrong")
        response = await wrong.send("GET", "/names")
        outcome = response.json()["outcome"]
        self.say(f"wrong key refused: status {response.status}, outcome {outcome}")

    async def show_withdrawn_key_refused(self, sender: caller.Caller, key: str) -> None:
        """Shows how long after its withdrawal a key is refused."""
        await self.operator.withdraw_key("breeders", key.split(".")[1])
        _, took = await self.repeat_until(sender, 401)
        self.say(f"key withdrawn: refused from {took * 1000:.0f} ms after the withdrawal on")

    async def show_drain(self, sender: caller.Caller) -> None:
        """Shows how long after the start of a drain the endpoint gets its last request."""
        endpoint = self.fleet.endpoints[0]
        name = endpoint.profile.name
        started_at = time.monotonic()
        await self.operator.start_drain("endpoint", name, "tour")
        last_run_at, run_count = started_at, len(endpoint.runs)
        while time.monotonic() - started_at < 2:
            with contextlib.suppress(errors.TransportError):
                await sender.send("GET", "/names")
            if len(endpoint.runs) > run_count:
                last_run_at, run_count = time.monotonic(), len(endpoint.runs)
            await asyncio.sleep(0.03)
        self.say(
            f"endpoint {name} drained: nothing new from "
            f"{(last_run_at - started_at) * 1000:.0f} ms on"
        )

    async def show_rate_limit(self, sender: caller.Caller) -> None:
        """Shows that an organisation is served no more than its rate and burst."""
        started_at = time.monotonic()
        served = refused = 0
        while time.monotonic() - started_at < 2:
            responses = await asyncio.gather(*(sender.send("GET", "/names") for _ in range(10)))
            served += sum(response.status == 200 for response in responses)
            refused += sum(response.status == 429 for response in responses)
        allowed = BURST + RATE * (time.monotonic() - started_at)
        self.say(f"rate kept: {served} served of at most {allowed:.0f}, {refused} refused")
        if served > allowed:
            raise errors.FlamingotillerError("rate exceeded", step="tour")


async def run(*, keep: bool) -> None:
    """Runs the demonstration.

    Args:
        keep: Whether to print the addresses afterwards and keep running.

    Raises:
        errors.FlamingotillerError: A step did not have the expected result.
    """
    plan = embedded.Plan(
        {"thrace-a": "thrace", "thrace-b": "thrace", "balkan-a": "balkan"},
        services=(SERVICE,),
    )
    async with embedded.running(plan) as fleet, contextlib.AsyncExitStack() as stack:
        operator = await stack.enter_async_context(fleet.operator())
        steps = _Tour(fleet, operator, stack)
        keys = await steps.configure()
        breeders = await steps.connect("breeders", keys["breeders"])
        distillers = await steps.connect("distillers", keys["distillers"])
        await steps.show_served(breeders, "breeders")
        await steps.show_served(distillers, "distillers")
        await steps.show_at_most_once(breeders)
        await steps.show_wrong_key_refused()
        await steps.show_withdrawn_key_refused(breeders, keys["breeders"])
        await steps.show_drain(distillers)
        await steps.show_rate_limit(distillers)
        if keep:
            await _keep_running(fleet, keys)


async def _keep_running(fleet: embedded.Fleet, keys: dict[str, str]) -> None:
    for instance in fleet.entries:
        print(f"entry {instance.config.instance} http://{instance.address}/")
    for control in fleet.controls:
        print(f"control http://{control.address}/")
    print(f"operator token {fleet.token}")
    print(f"key of distillers {keys['distillers']}", flush=True)
    await asyncio.Event().wait()
