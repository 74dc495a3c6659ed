"""A tour of the system in one process: real requests of two organisations through three zones,
one line for each thing shown."""

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
        """Prints a step's line."""
        print(text, flush=True)

    async def connect(self, organisation: str, key: str | None) -> caller.Caller:
        """Returns a caller that is closed at the end."""
        seeds = [instance.address for instance in self.fleet.entries]
        sender = caller.Caller(seeds, organisation, key, clock.SystemClock())
        self.stack.push_async_callback(sender.close)
        return sender

    async def until(self, sender: caller.Caller, status: int, method="GET", target="/names"):
        """Sends until an answer has a status; returns it and the seconds that it took."""
        began = time.monotonic()
        while True:
            with contextlib.suppress(errors.TransportError):
                answer = await sender.send(method, target)
                if answer.status == status:
                    return answer, time.monotonic() - began
            if time.monotonic() - began > STEP_TIMEOUT.total_seconds():
                raise errors.UnavailableError(f"no answer {status} in time", step="tour")
            await asyncio.sleep(0.02)

    async def configure(self) -> dict[str, str]:
        """Puts the deployment, two contracts and a key of each in force."""
        operator = self.operator
        await operator.change("deployment/main", self.fleet.deployment(), 0)
        await operator.change("contract/breeders", _contract("breeders", 500.0, 500.0), 0)
        await operator.change("contract/distillers", _contract("distillers", RATE, BURST), 0)
        keys = {}
        for organisation in ("breeders", "distillers"):
            keys[organisation], verdict = await operator.give_key(organisation)
        waiting = await operator.wait(verdict.to_version, STEP_TIMEOUT)
        self.say(f"version {waiting.version} is in force at {len(waiting.in_force)} processes")
        return keys

    async def served(self, sender: caller.Caller, organisation: str) -> None:
        """Shows a served request."""
        answer, _ = await self.until(sender, 200)
        self.say(f"served: GET /names for {organisation} by {answer.json()['endpoint']}")

    async def runs_once(self, sender: caller.Caller) -> None:
        """Shows that a request sent three times runs once."""
        request_id = await sender.new_id()
        for _ in range(3):
            await sender.send("POST", "/filings", b"rosa damascena", request_id=request_id)
        runs = sum(endpoint.runs_by_id[request_id] for endpoint in self.fleet.endpoints)
        self.say(f"at most once: POST /filings was sent 3 times and ran {runs} time(s)")
        if runs != 1:
            raise errors.FlamingotillerError(f"ran {runs} times", step="tour")

    async def wrong_key(self) -> None:
        """Shows that a wrong key is refused."""
        wrong = await self.connect("breeders", "breeders.00000000.wrong")
        answer = await wrong.send("GET", "/names")
        outcome = answer.json()["outcome"]
        self.say(f"wrong key refused: status {answer.status}, outcome {outcome}")

    async def withdraw(self, sender: caller.Caller, key: str) -> None:
        """Shows from when on a withdrawn key is refused."""
        await self.operator.withdraw_key("breeders", key.split(".")[1])
        _, took = await self.until(sender, 401)
        self.say(f"key withdrawn: refused from {took * 1000:.0f} ms after the withdrawal on")

    async def drain(self, sender: caller.Caller) -> None:
        """Shows from when on a drained endpoint gets nothing new."""
        endpoint = self.fleet.endpoints[0]
        name = endpoint.profile.name
        began = time.monotonic()
        await self.operator.start_drain("endpoint", name, "tour")
        last_run, seen = began, len(endpoint.runs)
        while time.monotonic() - began < 2:
            with contextlib.suppress(errors.TransportError):
                await sender.send("GET", "/names")
            if len(endpoint.runs) > seen:
                last_run, seen = time.monotonic(), len(endpoint.runs)
            await asyncio.sleep(0.03)
        self.say(f"endpoint {name} drained: nothing new from {(last_run - began) * 1000:.0f} ms on")

    async def rate_kept(self, sender: caller.Caller) -> None:
        """Shows that an organisation gets no more than its rate and burst."""
        began = time.monotonic()
        served = refused = 0
        while time.monotonic() - began < 2:
            answers = await asyncio.gather(*(sender.send("GET", "/names") for _ in range(10)))
            served += sum(answer.status == 200 for answer in answers)
            refused += sum(answer.status == 429 for answer in answers)
        allowed = BURST + RATE * (time.monotonic() - began)
        self.say(f"rate kept: {served} served of at most {allowed:.0f}, {refused} refused")
        if served > allowed:
            raise errors.FlamingotillerError("rate exceeded", step="tour")


async def run(*, keep: bool) -> None:
    """Shows the system at work.

    Args:
        keep: Whether to keep it up afterwards.

    Raises:
        errors.FlamingotillerError: A step did not show what it should.
    """
    plan = embedded.Plan(
        {"thrace-a": "thrace", "thrace-b": "thrace", "balkan-a": "balkan"},
        services=(SERVICE,),
    )
    async with embedded.running(plan) as fleet, contextlib.AsyncExitStack() as stack:
        operator = await stack.enter_async_context(fleet.operator())
        show = _Tour(fleet, operator, stack)
        keys = await show.configure()
        breeders = await show.connect("breeders", keys["breeders"])
        distillers = await show.connect("distillers", keys["distillers"])
        await show.served(breeders, "breeders")
        await show.served(distillers, "distillers")
        await show.runs_once(breeders)
        await show.wrong_key()
        await show.withdraw(breeders, keys["breeders"])
        await show.drain(distillers)
        await show.rate_kept(distillers)
        if keep:
            await _keep(fleet, keys)


async def _keep(fleet: embedded.Fleet, keys: dict[str, str]) -> None:
    for instance in fleet.entries:
        print(f"entry {instance.config.instance} http://{instance.address}/")
    for control in fleet.controls:
        print(f"control http://{control.address}/")
    print(f"operator token {fleet.token}")
    print(f"key of distillers {keys['distillers']}", flush=True)
    await asyncio.Event().wait()
