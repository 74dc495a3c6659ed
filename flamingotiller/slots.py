"""Slots of endpoints: the holder of a service's shard keeps the endpoints of its zone, hands out
permits for their slots, sends what does not fit to other zones, and watches for requests that
crash endpoints."""

from __future__ import annotations

import asyncio
import collections.abc
import dataclasses
import datetime
import typing

from flamingotiller import (
    client,
    clock,
    errors,
    events,
    lease,
    lookup,
    quarantine,
    selection,
    shift,
)

if typing.TYPE_CHECKING:
    from flamingotiller import entry

PUMP_INTERVAL = clock.seconds(0.02)
IDLE_PUMP_INTERVAL = clock.seconds(0.2)
SPILL_TIMEOUT = clock.seconds(0.5)
RELEASE_TIMEOUT = clock.seconds(1)
SPILL_PAUSE = clock.seconds(0.05)
SPILL_WHEN_WAITING_PER_SLOT = 1.0
LINK_FRACTION = 0.5


@dataclasses.dataclass(frozen=True)
class Ask:
    """A request for a slot.

    Attributes:
        service: Service wanted.
        organisation: Whose request it is.
        deadline_s: Seconds left.
        excluded: Endpoints that have already failed it.
        fingerprint: Identifies it when it is sent again.
        zone: Zone where it arrived.
        spill: Whether only a slot that is free at once will do.
        hops: How often it has been passed on.
    """

    service: str
    organisation: str
    deadline_s: float
    excluded: tuple[str, ...] = ()
    fingerprint: str = ""
    zone: str = ""
    spill: bool = False
    hops: int = 0

    def to_wire(self) -> dict[str, typing.Any]:
        """Returns the JSON form."""
        return dataclasses.asdict(self)

    @classmethod
    def from_wire(cls, document: typing.Any) -> Ask:
        """Builds a request from its JSON form.

        Raises:
            errors.InvalidInputError: Not such a request.
        """
        try:
            ask = cls(**{**document, "excluded": tuple(document.get("excluded", ()))})
            if not 0 < float(ask.deadline_s) < 3600 or not isinstance(ask.service, str):
                raise ValueError("deadline_s or service")
            return ask
        except (TypeError, ValueError, AttributeError) as error:
            raise errors.InvalidInputError(f"bad slot request: {error}", step="ask slot") from error


@dataclasses.dataclass(frozen=True)
class Granted:
    """A permit as the instance that runs the request sees it.

    Attributes:
        number: Identifies the permit at its queue.
        service: The service.
        endpoint: Name of the endpoint.
        address: Its address.
        queue: Address of the instance whose queue granted it, empty for this one.
        keep: Idle connections to the endpoint that an instance may keep.
    """

    number: int
    service: str
    endpoint: str
    address: str
    queue: str
    keep: int


@dataclasses.dataclass(frozen=True)
class Release:
    """The end of a permit.

    Attributes:
        number: The permit.
        service: The service.
        result: ``done``, ``failed``, ``shed``, ``unreachable`` (no connection), ``died``
            (connection broke without a whole answer) or ``unused``.
        fingerprint: Of the request.
        byte_count: Bytes that crossed, both ways.
        hops: How often it has been passed on.
    """

    number: int
    service: str
    result: str
    fingerprint: str = ""
    byte_count: int = 0
    hops: int = 0


class Slots:
    """Asks for slots and, as a holder, gives them.

    Args:
        process: The entry instance.
    """

    def __init__(self, process: entry.EntryInstance) -> None:
        self._process = process
        self.queue_by_service: dict[str, selection.SlotQueue] = {}
        self.suspects = quarantine.Register()
        self._future_by_waiter: dict[selection.Waiter, asyncio.Future[None]] = {}
        self._link_by_region: dict[str, shift.LinkBudget] = {}
        self._spilled_from: dict[int, str] = {}
        self._spill_closed_until: dict[str, datetime.timedelta] = {}

    # The instance that runs a request

    async def ask(self, ask: Ask) -> Granted:
        """Waits for a slot.

        Raises:
            errors.RefusedError: No slot within the deadline, or the request is quarantined.
        """
        deadline = self._process.clock.monotonic() + clock.seconds(ask.deadline_s)
        shard = lease.shard_of("service", ask.service)
        while True:
            left = deadline - self._process.clock.monotonic()
            if left <= clock.ZERO:
                raise refusal("deadline")
            current = dataclasses.replace(ask, deadline_s=left.total_seconds())
            try:
                if self._process.shards.holds(shard):
                    return await self.ask_here(current)
                document = await self._process.shards.ask_holder(
                    shard, "/v1/slots/ask", current.to_wire(), left + SPILL_TIMEOUT
                )
                return self._granted(document)
            except (errors.UnavailableError, errors.TransportError, KeyError, TypeError):
                granted = await self._ask_other_zones(current)
                if granted:
                    return granted
                await asyncio.sleep(min(0.1, left.total_seconds()))

    def _granted(self, document: typing.Any) -> Granted:
        if "refused" in document:
            raise refusal(str(document["refused"]))
        return Granted(**document["granted"])

    async def release(self, granted: Granted, release: Release) -> None:
        """Gives a permit back to the queue that granted it."""
        if not granted.queue or granted.queue == self._process.address:
            await self.release_here(release)
            return
        try:
            await self._process.client.call(
                granted.queue, "POST", "/v1/slots/release",
                dataclasses.asdict(release), timeout=RELEASE_TIMEOUT,
            )  # fmt: skip
        except errors.TransportError:
            # The queue takes the permit back once the request's deadline has passed.
            return

    # The holder

    def queue(self, service: str) -> selection.SlotQueue:
        """Returns the queue of a service."""
        queue = self.queue_by_service.get(service)
        if queue is None:
            queue = self.queue_by_service[service] = selection.SlotQueue(service)
        return queue

    def on_shard_lost(self, shard: int) -> None:
        """Forgets the queues of a shard; those that wait ask its new holder."""
        for service in list(self.queue_by_service):
            if lease.shard_of("service", service) == shard:
                del self.queue_by_service[service]
        for waiter, future in list(self._future_by_waiter.items()):
            if waiter.permit is None and not future.done():
                future.set_exception(
                    errors.UnavailableError("shard is not held here any more", step="ask slot")
                )

    async def ask_here(self, ask: Ask) -> Granted:
        """Waits for a slot as the holder.

        Raises:
            errors.RefusedError: No slot within the deadline, or the request is quarantined.
        """
        now = self._process.clock.monotonic()
        if ask.fingerprint and self.is_quarantined(ask.fingerprint):
            raise refusal("quarantined")
        queue = self.queue(ask.service)
        if ask.spill:
            return self._spill_here(ask, queue, now)
        return await self._wait_here(ask, queue)

    def _waiter(self, ask: Ask) -> selection.Waiter:
        now = self._process.clock.monotonic()
        terms = self._process.feed.view.contract_by_organisation.get(ask.organisation)
        return selection.Waiter(
            organisation=ask.organisation,
            weight=terms.weight if terms else 1.0,
            deadline=now + clock.seconds(ask.deadline_s),
            excluded=frozenset(ask.excluded),
            fingerprint=ask.fingerprint,
            suspect=bool(ask.fingerprint) and self.suspects.is_suspect(ask.fingerprint, now),
            spill=ask.spill,
        )

    async def _wait_here(self, ask: Ask, queue: selection.SlotQueue) -> Granted:
        waiter = self._waiter(ask)
        if not queue.ask(waiter, self._process.clock.monotonic()):
            raise refusal("queue-full")
        future: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._future_by_waiter[waiter] = future
        try:
            self.pump(queue)
            elsewhere = await self._wait_or_spill(ask, queue, future)
        except BaseException:
            self._abandon(queue, waiter)
            raise
        finally:
            self._future_by_waiter.pop(waiter, None)
        if elsewhere:
            self._abandon(queue, waiter)
            return elsewhere
        if waiter.permit is None:
            raise refusal(
                "deadline" if queue.slots(self._process.clock.monotonic()) else "no-endpoint"
            )
        return self._to_granted(waiter.permit, queue)

    async def _wait_or_spill(
        self, ask: Ask, queue: selection.SlotQueue, future: asyncio.Future[None]
    ) -> Granted | None:
        """Waits for a slot here; while the queue is long, looks for one in other zones too."""
        while not future.done():
            if self._is_crowded(queue):
                granted = await self._ask_other_zones(ask)
                if granted:
                    return granted
            await asyncio.wait({future}, timeout=SPILL_PAUSE.total_seconds())
        future.result()
        return None

    def _is_crowded(self, queue: selection.SlotQueue) -> bool:
        slots = queue.slots(self._process.clock.monotonic())
        return queue.waiting > SPILL_WHEN_WAITING_PER_SLOT * slots

    def _abandon(self, queue: selection.SlotQueue, waiter: selection.Waiter) -> None:
        if waiter.permit:
            queue.release(waiter.permit.number)
            self.pump(queue)
        else:
            queue.withdraw(waiter)

    def _to_granted(self, permit: selection.Permit, queue: selection.SlotQueue) -> Granted:
        station = queue.station_by_name[permit.endpoint]
        live = len(self._process.table.live(self._process.clock.monotonic()))
        keep = max(1, station.endpoint.connections // (2 * max(1, live)))
        return Granted(
            permit.number, queue.service, permit.endpoint, permit.address,
            self._process.address, keep,
        )  # fmt: skip

    def pump(self, queue: selection.SlotQueue) -> None:
        """Grants what can be granted and wakes those that wait."""
        for waiter in queue.grant(self._process.clock.monotonic()):
            future = self._future_by_waiter.get(waiter)
            if future is None or future.done():
                if waiter.permit:
                    queue.release(waiter.permit.number)
                continue
            if waiter.permit and self.is_quarantined(waiter.fingerprint):
                queue.release(waiter.permit.number)
                waiter.permit = None
                future.set_exception(refusal("quarantined"))
                continue
            if waiter.displaced:
                future.set_exception(refusal("queue-full"))
                continue
            future.set_result(None)

    async def run(self) -> None:
        """Lets deadlines, pauses and announcements run out."""
        while True:
            waiting = any(queue.waiting for queue in self.queue_by_service.values())
            pause = PUMP_INTERVAL if waiting else IDLE_PUMP_INTERVAL
            await asyncio.sleep(pause.total_seconds())
            now = self._process.clock.monotonic()
            for queue in list(self.queue_by_service.values()):
                self._apply_drains(queue)
                for endpoint in queue.expire(now):
                    self._note_left(endpoint, "announcement ran out")
                self.pump(queue)

    def _apply_drains(self, queue: selection.SlotQueue) -> None:
        drained = self._process.feed.view.drained
        if not drained:
            return
        for name in queue.station_by_name:
            if ("endpoint", name) in drained:
                queue.leave(name)

    def _note_left(self, endpoint: selection.Endpoint, reason: str) -> None:
        events.emit(
            events.ENDPOINT_LEFT, endpoint=endpoint.name, service=endpoint.service, reason=reason
        )

    async def release_here(self, release: Release) -> None:
        """Takes a permit back as the holder that granted it."""
        queue = self.queue_by_service.get(release.service)
        if queue is None:
            return
        now = self._process.clock.monotonic()
        endpoint = queue.endpoint_of(release.number)
        region = self._spilled_from.pop(release.number, "")
        if region:
            self._link(region, now).spend(release.byte_count, now)
        spread = None
        if release.result == "died" and endpoint:
            spread = self._on_death(queue, release.number, endpoint, now)
        elif release.result == "unreachable" and endpoint:
            queue.pause(endpoint, now, selection.DEATH_PAUSE)
        elif release.result == "shed" and endpoint:
            queue.pause(endpoint, now, selection.SHED_PAUSE)
        elif release.result == "done":
            self.suspects.on_finished(release.fingerprint)
        queue.release(release.number)
        self.pump(queue)
        if spread:
            await spread

    # Crashing requests

    def is_quarantined(self, print_: str) -> bool:
        """Returns whether requests with a fingerprint are refused."""
        if not print_:
            return False
        return print_ in self._process.feed.view.quarantined or self.suspects.is_quarantined(
            print_, self._process.clock.monotonic()
        )

    def _on_death(
        self, queue: selection.SlotQueue, number: int, endpoint: str, now: datetime.timedelta
    ) -> collections.abc.Awaitable[None] | None:
        """Notes a death; returns the work of telling the other zones, if there is any."""
        prints = queue.on_death(number)
        if not prints:
            return None
        queue.pause(endpoint, now, selection.DEATH_PAUSE)
        events.emit(events.ENDPOINT_DIED, endpoint=endpoint, in_flight=len(prints))
        newly = self.suspects.on_death(prints, now)
        queue.mark_suspects(lambda print_: self.suspects.is_suspect(print_, now))
        held = self.suspects.suspect_by_fingerprint
        deaths = {p: held[p].deaths for p in prints if p in held}
        return self._spread(queue.service, deaths, newly)

    async def _spread(self, service: str, deaths: dict[str, int], newly: dict[str, int]) -> None:
        body = {"service": service, "deaths": deaths, "quarantined": sorted(newly)}
        for print_, count in newly.items():
            events.emit(events.QUARANTINE_ADDED, fingerprint=print_, deaths=count)
        zones = lookup.neighbours(self._process.feed.view, self._process.config.zone)
        await asyncio.gather(*(self._tell_zone(zone, body) for zone in zones))
        for print_, count in newly.items():
            report = self._process.control.report_quarantine(print_, f"{count} endpoints died")
            self._process.background(report)

    async def _tell_zone(self, zone: str, body: dict[str, typing.Any]) -> None:
        for address in self._process.table.addresses_in(zone)[:2]:
            try:
                await self._process.client.call(
                    address, "POST", "/v1/suspects", body, timeout=SPILL_TIMEOUT
                )
                return
            except errors.TransportError:
                continue

    async def on_suspects(self, body: typing.Any) -> None:
        """Takes over what another zone has seen, at the holder of the service here.

        Raises:
            errors.InvalidInputError: The message is malformed.
        """
        try:
            service, hops = str(body["service"]), int(body.get("hops", 0))
            deaths = {str(p): int(n) for p, n in body["deaths"].items()}
            quarantined = [str(p) for p in body["quarantined"]]
        except (KeyError, TypeError, ValueError, AttributeError) as error:
            raise errors.InvalidInputError(f"bad suspects: {error}", step="suspects") from error
        shard = lease.shard_of("service", service)
        if not self._process.shards.holds(shard) and not hops:
            await self._process.shards.ask_holder(
                shard, "/v1/suspects", {**body, "hops": 1}, SPILL_TIMEOUT
            )
            return
        now = self._process.clock.monotonic()
        for print_, count in deaths.items():
            self.suspects.learn(print_, count, now)
        for print_ in quarantined:
            self.suspects.quarantine(print_, now)
        self.queue(service).mark_suspects(lambda p: self.suspects.is_suspect(p, now))

    # Other zones

    async def _ask_other_zones(self, ask: Ask) -> Granted | None:
        now = self._process.clock.monotonic()
        if ask.hops or ask.spill or now < self._spill_closed_until.get(ask.service, clock.ZERO):
            return None
        body = dataclasses.replace(ask, spill=True, zone=self._process.config.zone).to_wire()
        view = self._process.feed.view
        for zone in lookup.neighbours(view, self._process.config.zone):
            for address in self._process.table.addresses_in(zone)[:1]:
                try:
                    answer = await self._process.client.call(
                        address, "POST", "/v1/slots/ask", body, timeout=SPILL_TIMEOUT
                    )
                    document = client.raise_for_status(answer, step="spill", peer=address)
                    if "granted" in document:
                        return Granted(**document["granted"])
                except (errors.FlamingotillerError, KeyError, TypeError):
                    continue
        # Those that wait do not all ask again at once.
        self._spill_closed_until[ask.service] = self._process.clock.monotonic() + SPILL_PAUSE
        return None

    def _spill_here(self, ask: Ask, queue: selection.SlotQueue, now: datetime.timedelta) -> Granted:
        region = self._other_region(ask.zone)
        if region and not self._link(region, now).allows(now):
            raise refusal("link-busy")
        waiter = self._waiter(ask)
        if not queue.ask(waiter, now) or waiter.permit is None:
            raise refusal("no-free-slot")
        if region:
            self._spilled_from[waiter.permit.number] = region
        return self._to_granted(waiter.permit, queue)

    def _other_region(self, zone: str) -> str:
        deployment = self._process.feed.view.deployment
        zones = deployment.zones_by_name if deployment else {}
        asker, own = zones.get(zone), zones.get(self._process.config.zone)
        if asker is None or own is None or asker.region == own.region:
            return ""
        return asker.region

    def _link(self, region: str, now: datetime.timedelta) -> shift.LinkBudget:
        budget = self._link_by_region.get(region)
        if budget is None:
            budget = shift.LinkBudget(self._link_bits_per_second(region), now)
            self._link_by_region[region] = budget
        return budget

    def _link_bits_per_second(self, region: str) -> float:
        deployment = self._process.feed.view.deployment
        assert deployment is not None
        own = deployment.zones_by_name[self._process.config.zone].region
        mbit = deployment.mbit_per_s_by_regions.get(
            typing.cast(tuple[str, str], tuple(sorted((own, region)))), 1000.0
        )
        zones = sum(zone.region == own for zone in deployment.zones_by_name.values())
        return mbit * 1e6 * LINK_FRACTION / max(1, zones)

    # What other instances ask of this one

    async def on_ask(self, document: typing.Any) -> dict[str, typing.Any]:
        """Answers an instance that asks for a slot, passing it on to the holder if need be.

        Raises:
            errors.InvalidInputError: The message is malformed.
            errors.UnavailableError: This instance does not hold the shard.
        """
        ask = Ask.from_wire(document)
        shard = lease.shard_of("service", ask.service)
        if not self._process.shards.holds(shard):
            if ask.hops or not ask.spill:
                raise errors.UnavailableError("shard is not held here", step="ask slot")
            body = dataclasses.replace(ask, hops=1).to_wire()
            return await self._process.shards.ask_holder(
                shard, "/v1/slots/ask", body, SPILL_TIMEOUT
            )
        try:
            granted = await self.ask_here(ask)
        except errors.RefusedError as error:
            return {"refused": error.code}
        return {"granted": dataclasses.asdict(granted)}

    # Endpoints

    async def on_announce(self, service: str, body: dict[str, typing.Any]) -> dict[str, typing.Any]:
        """Takes an announcement or passes it on to the holder.

        Raises:
            errors.UnavailableError: The holder could not be asked; the endpoint tries again.
        """
        shard = lease.shard_of("service", service)
        if not self._process.shards.holds(shard):
            if body.get("hops"):
                raise errors.UnavailableError("shard is not held here", step="announce")
            return await self._process.shards.ask_holder(
                shard, "/v1/endpoints", {**body, "hops": 1}, SPILL_TIMEOUT
            )
        queue = self.queue(service)
        now = self._process.clock.monotonic()
        if body["leaving"]:
            return self._on_leave(queue, body["endpoint"])
        endpoint = selection.Endpoint(
            body["endpoint"], service, body["address"], body["slots"], body["connections"],
            now + self._process.config.endpoint_lease, load=body["load"], session=body["session"],
        )  # fmt: skip
        if queue.announce(endpoint, now):
            events.emit(
                events.ENDPOINT_ANNOUNCED,
                endpoint=endpoint.name,
                service=service,
                address=endpoint.address,
                slots=endpoint.slots,
            )
        self._apply_drains(queue)
        self.pump(queue)
        return {"lease_s": self._process.config.endpoint_lease.total_seconds(), "in_flight": 0}

    def _on_leave(self, queue: selection.SlotQueue, name: str) -> dict[str, typing.Any]:
        station = queue.station_by_name.get(name)
        if station and not station.endpoint.leaving:
            self._note_left(station.endpoint, "left")
        queue.leave(name)
        return {"lease_s": 0.0, "in_flight": station.used if station else 0}


_REFUSALS = {
    "deadline": (504, "no slot became free within the deadline", None),
    "queue-full": (503, "too many requests wait for this service", 1),
    "no-endpoint": (503, "no endpoint of this service is known", 1),
    "quarantined": (403, "this request has crashed endpoints and is refused for a time", None),
    "link-busy": (503, "the link to that region is busy", 1),
    "no-free-slot": (503, "no slot is free", 1),
}


def refusal(code: str) -> errors.RefusedError:
    """Returns the refusal for a reason."""
    status, message, retry_after_s = _REFUSALS.get(code, (503, code, 1))
    return errors.RefusedError(
        message, status=status, code=code, retry_after_s=retry_after_s, step="ask slot"
    )
