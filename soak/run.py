"""One soak run: starts a fleet, callers and endpoints, and injects a seeded series of faults."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import pathlib
import random
import time

from soak import oracle, parties, processes

WARM_UP_S = 1.5  # before the first fault
# After the last fault and the recovery from it: longer than a drain takes.
CALM_S = 6.5
# Callers that leave without waiting for their answers, beside those of the plan.
LEAVING_CALLERS = 2
FAULT_INTERVAL_S = (0.2, 1.2)  # between the starts of two faults; faults may overlap
FAULT_DURATION_S = (0.3, 3.0)
START_TIMEOUT_S = 20.0
RESTART_TIMEOUT_S = 30.0  # covers a start on a busy machine and an election
# Rate and burst by organisation. Callers exceed the rate of "small" and stay below that of "large".
RATES = {"small": (15.0, 15.0), "large": (400.0, 400.0)}
WITHDRAWN_KEY_USE_S = 8.0  # how long callers keep using a withdrawn key
MIN_SERVED_SHARE = 0.25  # share of the last requests that must succeed after recovery
# By the rules of the soak, a steward whose disk was wiped counts as failed for this long after it
# answers again, so that a second disk is not lost meanwhile.
CATCH_UP_S = 4.0


@dataclasses.dataclass
class Plan:
    """Size and length of a run.

    Attributes:
        seed: Seed of all random choices.
        faults_s: Length of the period in which faults start.
        stewards: Number of stewards.
        gateways: Number of gateways.
        callers: Number of callers.
        endpoints: Number of endpoints.
        calm_s: Length of the final period without faults.
        module: Module that the processes run.
    """

    seed: int
    faults_s: float = 12.0
    stewards: int = 3
    gateways: int = 4
    callers: int = 8
    endpoints: int = 6
    calm_s: float = CALM_S
    module: str = processes.MODULE


class Run:
    """Runs a fleet under faults and collects violated guarantees.

    Args:
        plan: Size, length and seed.
        folder: Folder for settings, data and logs.
    """

    def __init__(self, plan: Plan, folder: pathlib.Path) -> None:
        self.plan = plan
        self.fleet = processes.Fleet(folder, plan.stewards, plan.gateways, plan.module)
        self.watch = oracle.Oracle(dict(RATES))
        self.event_log: list[str] = []
        self._rng = random.Random(plan.seed)
        self._control = parties.ControlClient(self.fleet, random.Random(plan.seed + 1))
        # Keys in force, and keys that callers use, which include recently withdrawn ones.
        self._keys = [("small", "key-small"), ("large", "key-large")]
        self._used_keys = list(self._keys)
        self._version = 0
        self._endpoints: list[parties.Endpoint] = []
        self._endpoint_count = 0
        self._faulted: set[str] = set()
        self._draining: set[str] = set()
        self._began = time.monotonic()

    def _log_event(self, text: str) -> None:
        self.event_log.append(f"{time.monotonic() - self._began:7.2f} {text}")

    # Configuration and operator

    def _configuration(self) -> dict[str, object]:
        def route(prefix: str, kind: str) -> dict[str, object]:
            return {
                "host": "h.example", "pathPrefix": prefix, "routeType": kind, "timeout": "1500ms",
                "targetLatency": "300ms", "priority": 1, "service": "s", "maxAttempts": 2,
                "public": False, "stickySessions": True, "allowedRegions": [],
            }  # fmt: skip

        service = {"healthPath": "/healthz", "maxConnections": 500, "coldStart": "0s"}
        tenants = {
            name: {
                "apiKeys": [key for holder, key in self._keys if holder == name],
                "priority": 1, "ratePerS": rate, "burst": burst, "allowedRegions": [],
            }
            for name, (rate, burst) in RATES.items()
        }  # fmt: skip
        routes = {
            "once": route("/once/", "non_idempotent"), "again": route("/again/", "idempotent"),
        }  # fmt: skip
        return {"version": "", "routes": routes, "services": {"s": service}, "tenants": tenants}

    async def _configure(self) -> None:
        """Replaces the configuration by the next version; retries until the result is known."""
        base, self._version = self._version, self._version + self._rng.randint(1, 3)
        document = {**self._configuration(), "version": f"r{self._version}"}
        headers = (("X-If-Version", f"r{base}"),)
        answer = await self._control.call("config.replace", body=document, headers=headers)
        if answer is None or answer.status != 200:
            status = answer.status if answer else "no answer"
            self.watch.violations.append(f"config: r{self._version} upon r{base} got {status}")
            return
        self.watch.on_acknowledged(self._version, time.monotonic())

    async def _run_operator(self) -> None:
        """Performs random operator actions until cancelled."""
        while True:
            await asyncio.sleep(self._rng.uniform(0.5, 1.5))
            action = self._rng.choice(["change", "withdraw", "drain", "evacuate", "read", "read"])
            if action == "change":
                await self._configure()
            elif action == "withdraw":
                await self._withdraw()
            elif action == "drain":
                await self._replace_endpoint()
            elif action == "evacuate":
                await self._evacuate()
            else:
                await self._read()

    async def _withdraw(self) -> None:
        """Replaces an organisation's key by a new one."""
        old = self._rng.choice(self._keys)
        new = (old[0], f"key-{old[0]}-{self._version}")
        self._keys.remove(old)
        self._keys.append(new)
        await self._configure()
        self._used_keys.append(new)
        self.watch.revoked_at_by_key[old[1]] = time.monotonic()
        self._log_event(f"key {old[1]} withdrawn")
        asyncio.get_running_loop().call_later(WITHDRAWN_KEY_USE_S, self._forget_key, old)

    def _forget_key(self, key: tuple[str, str]) -> None:
        self._used_keys.remove(key)

    async def _evacuate(self) -> None:
        zone = self._rng.choice(list(processes.ZONES))
        answer = await self._control.call("evacuations.begin", zone, tries=30)
        if answer is None or answer.status != 200:
            return
        self.watch.evacuated_at_by_zone[zone] = time.monotonic()
        self._log_event(f"{zone} evacuated")
        await asyncio.sleep(self._rng.uniform(1, 8))
        # Stop checking first: requests may run in the zone as soon as the call takes effect.
        self.watch.evacuated_at_by_zone.pop(zone)
        await self._control.call("evacuations.finish", zone)

    async def _read(self) -> None:
        read_at = time.monotonic()
        answer = await self._control.call("config.read", tries=10)
        if answer is not None and answer.status == 200:
            self.watch.on_read(int(answer.json()["version"][1:]), read_at)

    # Endpoints

    async def _start_endpoint(self) -> None:
        number = self._endpoint_count
        self._endpoint_count += 1
        zone = list(processes.ZONES)[number % len(processes.ZONES)]
        rng = random.Random(self.plan.seed * 1000 + number)
        endpoint = parties.Endpoint(f"e-{number}", zone, self._control, self.watch, rng)
        await endpoint.start()
        self._endpoints.append(endpoint)

    async def _replace_endpoint(self) -> None:
        await self._start_endpoint()
        endpoint = self._endpoints.pop(0)
        self._log_event(f"{endpoint.id} drains")
        task = asyncio.ensure_future(endpoint.drain())
        self._background.add(task)
        task.add_done_callback(self._background.discard)

    # Faults

    async def _inject_faults(self) -> None:
        """Starts overlapping faults during ``faults_s`` and waits until all have ended."""
        deadline = time.monotonic() + self.plan.faults_s
        async with asyncio.TaskGroup() as group:
            while time.monotonic() < deadline:
                fault = self._rng.choice(_FAULTS)
                duration_s = self._rng.uniform(*FAULT_DURATION_S)
                group.create_task(self._inject(fault, duration_s))
                await asyncio.sleep(self._rng.uniform(*FAULT_INTERVAL_S))

    async def _inject(self, fault, duration_s: float) -> None:
        target = self._choose_target(fault)
        if target is None:
            return
        name = target.name if isinstance(target, processes.Instance) else target.id
        self._faulted.add(name)
        self.watch.on_fault(True, time.monotonic())
        self._log_event(f"{fault.__name__.strip('_')} {name} for {duration_s:.2f} s")
        try:
            await fault(self, target, duration_s)
        finally:
            self._faulted.discard(name)
            self.watch.on_fault(False, time.monotonic())

    def _choose_target(self, fault):
        """Chooses a target for a fault, None if there is none; spares a majority of stewards."""
        if fault in _ENDPOINT_FAULTS:
            candidates = [e for e in self._endpoints if e.id not in self._faulted]
            return (
                self._rng.choice(candidates)
                if len(candidates) > len(self._endpoints) // 2
                else None
            )
        stewards = [s for s in self.fleet.stewards if s.name not in self._faulted]
        majority_at_stake = len(stewards) - 1 <= len(self.fleet.stewards) // 2
        candidates = [] if majority_at_stake else stewards
        if fault not in _STEWARD_FAULTS:
            candidates = candidates + [
                g for g in self.fleet.gateways if g.name not in self._faulted
            ]
        return self._rng.choice(candidates) if candidates else None

    async def _restart(self, instance: processes.Instance) -> None:
        """Starts a process; waits for a steward to recover, which counts as failed until then."""
        self.fleet.launch(instance)
        if instance.role != "steward":
            return
        deadline = time.monotonic() + RESTART_TIMEOUT_S
        while not await self._control.has_recovered(instance):
            if time.monotonic() > deadline:
                self.watch.violations.append(f"recover: {instance.name} is not back")
                return
            await asyncio.sleep(0.1)

    async def _kill(self, instance: processes.Instance, duration_s: float) -> None:
        self.fleet.kill(instance)
        await asyncio.sleep(duration_s)
        await self._restart(instance)

    async def _terminate(self, instance: processes.Instance, duration_s: float) -> None:
        if not await self.fleet.terminate(instance):
            self.watch.violations.append(f"stop: {instance.name} did not end")
        await asyncio.sleep(duration_s)
        await self._restart(instance)

    async def _pause(self, instance: processes.Instance, duration_s: float) -> None:
        self.fleet.pause(instance, True)
        await asyncio.sleep(duration_s)
        self.fleet.pause(instance, False)

    async def _wipe(self, instance: processes.Instance, duration_s: float) -> None:
        self.fleet.kill(instance)
        self.fleet.wipe(instance)
        await asyncio.sleep(duration_s)
        await self._restart(instance)
        await asyncio.sleep(CATCH_UP_S)

    async def _full_disk(self, instance: processes.Instance, duration_s: float) -> None:
        self.fleet.fill_disk(instance, True)
        await asyncio.sleep(duration_s)
        self.fleet.fill_disk(instance, False)

    async def _cut(self, instance: processes.Instance, duration_s: float) -> None:
        await self._disturb_link(instance, duration_s, cut=True)

    async def _silence(self, instance: processes.Instance, duration_s: float) -> None:
        await self._disturb_link(instance, duration_s, silent=True)

    async def _silence_answers(self, instance: processes.Instance, duration_s: float) -> None:
        await self._disturb_link(instance, duration_s, silent_answers=True)

    async def _delay(self, instance: processes.Instance, duration_s: float) -> None:
        await self._disturb_link(instance, duration_s, delay_s=self._rng.uniform(0.02, 0.3))

    async def _reset(self, instance: processes.Instance, duration_s: float) -> None:
        instance.peer_proxy.reset()

    async def _disturb_link(self, instance: processes.Instance, duration_s: float, **mode) -> None:
        instance.peer_proxy.set(**mode)
        await asyncio.sleep(duration_s)
        instance.peer_proxy.set()
        instance.peer_proxy.reset()

    async def _crash_endpoint(self, endpoint: parties.Endpoint, duration_s: float) -> None:
        self._endpoints.remove(endpoint)
        await endpoint.crash()
        await asyncio.sleep(duration_s)
        await self._start_endpoint()

    async def _lose_answers(self, endpoint: parties.Endpoint, duration_s: float) -> None:
        endpoint.answer_loss_rate = 0.3
        await asyncio.sleep(duration_s)
        endpoint.answer_loss_rate = parties.DEFAULT_FAILURE_RATE

    async def _shed(self, endpoint: parties.Endpoint, duration_s: float) -> None:
        endpoint.shed_rate = 0.6
        await asyncio.sleep(duration_s)
        endpoint.shed_rate = parties.DEFAULT_FAILURE_RATE

    async def _slow(self, endpoint: parties.Endpoint, duration_s: float) -> None:
        endpoint.run_time_factor = 30.0
        await asyncio.sleep(duration_s)
        endpoint.run_time_factor = 1.0

    # The complete run

    async def play(self) -> list[str]:
        """Executes the run and returns the violated guarantees."""
        self._background: set[asyncio.Task] = set()
        self.fleet.start()
        async with contextlib.AsyncExitStack() as stack:
            stack.push_async_callback(self._control.pool.close)
            await self._configure()
            for _ in range(self.plan.endpoints):
                await self._start_endpoint()
            await self._await_gateways()
            callers = self._start_callers(stack)
            await asyncio.sleep(WARM_UP_S)
            operator = asyncio.ensure_future(self._run_operator())
            stack.callback(operator.cancel)
            await self._inject_faults()
            self._log_event("faults have ended")
            await asyncio.sleep(oracle.CONTROL_RECOVERY_S + 0.2)
            # The drain bound is only checked without recent faults, so drain one endpoint here.
            await self._replace_endpoint()
            await asyncio.sleep(self.plan.calm_s)
            operator.cancel()
            await self._check_end(callers)
            for task in [*self._background, *callers, operator]:
                task.cancel()
            await asyncio.gather(*callers, operator, *self._background, return_exceptions=True)
            for endpoint in self._endpoints:
                await endpoint.crash()
        return self.watch.violations

    def _start_callers(self, stack: contextlib.AsyncExitStack) -> list[asyncio.Task]:
        tasks = []
        for number in range(self.plan.callers + LEAVING_CALLERS):
            zone = list(processes.ZONES)[number % len(processes.ZONES)]
            rng = random.Random(self.plan.seed * 100 + number)
            caller = parties.Caller(
                number, zone, self._control, self.watch, self._used_keys, rng,
                leaves=number >= self.plan.callers,
            )  # fmt: skip
            stack.push_async_callback(caller.close)
            tasks.append(asyncio.ensure_future(caller.run(0.02)))
        return tasks

    async def _await_gateways(self) -> None:
        """Waits until look-ups return a gateway."""
        async with asyncio.timeout(START_TIMEOUT_S):
            while not await self._control.lookup("a1"):  # noqa: ASYNC110 - polls other processes
                await asyncio.sleep(0.1)

    async def _check_end(self, callers: list[asyncio.Task]) -> None:
        now = time.monotonic()
        sent, served = self.watch.served_with_valid_keys("large", now - 3, now - 0.5)
        if served < MIN_SERVED_SHARE * sent or not sent:
            self.watch.violations.append(f"recover: {served} of {sent} served in the end")
        answer = await self._control.call("config.read", tries=50)
        newest = max(version for _, version in self.watch.acknowledged)
        if answer is None or answer.status != 200:
            self.watch.violations.append("config: cannot be read in the end")
        elif int(answer.json()["version"][1:]) < newest:
            self.watch.violations.append(
                f"config: {answer.json()['version']} in the end, not {newest}"
            )
        self.watch.violations += [
            f"caller ended: {task.exception()!r}" for task in callers if task.done()
        ]
        self.watch.violations += [f"ended: {text}" for text in self.fleet.unexpected_exits()]

    def close(self) -> None:
        """Ends every process."""
        self.fleet.close()


_STEWARD_FAULTS = [
    Run._wipe, Run._full_disk, Run._cut, Run._silence, Run._silence_answers, Run._delay, Run._reset,
]  # fmt: skip
_ENDPOINT_FAULTS = [Run._crash_endpoint, Run._lose_answers, Run._shed, Run._slow]
_FAULTS = [Run._kill, Run._terminate, Run._pause, *_STEWARD_FAULTS, *_ENDPOINT_FAULTS]
