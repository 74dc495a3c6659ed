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
    breaker,
    client,
    clock,
    errors,
    events,
    handover,
    lease,
    lookup,
    region_links,
    selection,
    slot_messages,
    suspicion,
)

if typing.TYPE_CHECKING:
    from flamingotiller import entry

# A holder that has not answered may be frozen, or has a long queue.
HOLDER_HEDGE_DELAY = clock.seconds(0.5)
RELEASE_ATTEMPTS = 3
GRANT_INTERVAL = clock.seconds(0.02)
IDLE_GRANT_INTERVAL = clock.seconds(0.2)
SPILL_TIMEOUT = clock.seconds(0.5)
RELEASE_TIMEOUT = clock.seconds(1)
SPILL_RETRY_DELAY = clock.seconds(0.05)
SPILL_MIN_WAITING_PER_SLOT = 1 / 3


class SlotManager:
    """Asks for slots and, as a holder, gives them.

    Args:
        process: The entry instance.
    """

    def __init__(self, process: entry.EntryInstance) -> None:
        self._process = process
        self.queue_by_service: dict[str, selection.SlotQueue] = {}
        self.suspicion = suspicion.Suspicion(process)
        self.handover = handover.Handover(process)
        self._future_by_waiter: dict[selection.Waiter, asyncio.Future[None]] = {}
        self._links = region_links.RegionLinks(process)
        self._spill_region_by_permit: dict[int, str] = {}
        self._breaker = breaker.Breaker(process.clock)
        self._next_spill_at: dict[str, datetime.timedelta] = {}

    # The instance that runs a request

    async def ask(self, ask: slot_messages.SlotRequest) -> slot_messages.SlotGrant:
        """Waits for a slot.

        Raises:
            errors.RefusedError: No slot within the deadline, or the request is quarantined.
        """
        deadline = self._process.clock.monotonic() + clock.seconds(ask.deadline_s)
        shard = lease.shard_of("service", ask.service)
        while True:
            left = deadline - self._process.clock.monotonic()
            if left <= clock.ZERO:
                raise slot_messages.refusal("deadline")
            current = dataclasses.replace(ask, deadline_s=left.total_seconds())
            try:
                if self._process.shards.holds(shard):
                    return await self.ask_local(current)
                return await self._ask_holder_and_others(shard, current)
            except (errors.UnavailableError, errors.TransportError, KeyError, TypeError):
                granted = await self._ask_other_zones(current)
                if granted:
                    return granted
                await asyncio.sleep(min(0.1, left.total_seconds()))

    async def _ask_holder_and_others(
        self, shard: int, ask: slot_messages.SlotRequest
    ) -> slot_messages.SlotGrant:
        """Asks the holder, and other zones too while it does not answer.

        Raises:
            errors.RefusedError: The holder refuses.
            errors.UnavailableError: Nobody is known to hold the shard.
            errors.TransportError: The holder cannot be reached.
        """
        shards = self._process.shards
        began = self._process.clock.monotonic()
        hedge_delay = clock.ZERO if shards.is_silent(shard) else HOLDER_HEDGE_DELAY
        question = asyncio.ensure_future(self._ask_holder(shard, ask))
        try:
            while True:
                await asyncio.wait({question}, timeout=hedge_delay.total_seconds())
                hedge_delay = HOLDER_HEDGE_DELAY
                if not question.done():
                    shards.note_late(shard, began)
                spilled = None if question.done() else await self._spill_until_done(question, ask)
                if spilled:
                    question.add_done_callback(self._release_unused)
                    return spilled
                if question.done():
                    return question.result()
        finally:
            question.cancel()

    async def _ask_holder(
        self, shard: int, ask: slot_messages.SlotRequest
    ) -> slot_messages.SlotGrant:
        timeout = clock.seconds(ask.deadline_s) + SPILL_TIMEOUT
        document = await self._process.shards.ask_holder(
            shard, "/v1/slots/ask", ask.to_wire(), timeout
        )
        return self._parse_grant(document)

    def _parse_grant(self, document: typing.Any) -> slot_messages.SlotGrant:
        if "refused" in document:
            raise slot_messages.refusal(str(document["refused"]))
        return slot_messages.SlotGrant(**document["granted"])

    async def release(
        self, granted: slot_messages.SlotGrant, release: slot_messages.SlotRelease
    ) -> None:
        """Gives a permit back to the queue that granted it, and waits until it has noted it.

        After a death this includes telling the other zones.
        """
        if granted.queue == self._process.address:
            spread = self.release_local(release)
            if spread:
                await spread
            return
        for _ in range(RELEASE_ATTEMPTS):
            try:
                await self._process.client.call(
                    granted.queue, "POST", "/v1/slots/release",
                    dataclasses.asdict(release), timeout=RELEASE_TIMEOUT,
                )  # fmt: skip
                return
            except errors.ExchangeTimeoutError:
                # Said again, it changes nothing more.
                continue
            except errors.TransportError:
                return
        # The queue takes the permit back once the request's deadline has passed.

    # The holder

    def queue(self, service: str) -> selection.SlotQueue:
        """Returns the queue of a service."""
        queue = self.queue_by_service.get(service)
        if queue is None:
            first = lease.first_number(self._process.rng)
            queue = self.queue_by_service[service] = selection.SlotQueue(service, first)
            self._process.background(self.handover.follow(queue))
        return queue

    def on_shard_lost(self, shard: int) -> None:
        """Forgets the queues of a shard; those that wait ask its new holder."""
        for service in list(self.queue_by_service):
            if lease.shard_of("service", service) == shard:
                self._retire_queue(self.queue_by_service.pop(service))

    def _retire_queue(self, queue: selection.SlotQueue) -> None:
        for waiter in queue.waiters():
            future = self._future_by_waiter.get(waiter)
            if future and not future.done():
                future.set_exception(
                    errors.UnavailableError("shard is not held here any more", step="ask slot")
                )
        self.handover.retire(queue)

    async def ask_local(self, ask: slot_messages.SlotRequest) -> slot_messages.SlotGrant:
        """Waits for a slot as the holder.

        Raises:
            errors.RefusedError: No slot within the deadline, or the request is quarantined.
        """
        now = self._process.clock.monotonic()
        if ask.fingerprint and self.suspicion.is_quarantined(ask.fingerprint):
            raise slot_messages.refusal("quarantined")
        queue = self.queue(ask.service)
        if ask.spill:
            return self._grant_spill(ask, queue, now)
        tried = set(ask.excluded)
        if tried and tried.issuperset(e.name for e in queue.endpoints(now)):
            # Every endpoint here has failed it, so waiting for one of them makes no sense.
            granted = await self._ask_other_zones(ask)
            if granted is None:
                raise slot_messages.refusal("no-endpoint")
            return granted
        return await self._wait_local(ask, queue)

    def _waiter(self, ask: slot_messages.SlotRequest) -> selection.Waiter:
        now = self._process.clock.monotonic()
        contract = self._process.feed.view.contract_by_organisation.get(ask.organisation)
        return selection.Waiter(
            organisation=ask.organisation,
            weight=contract.weight if contract else 1.0,
            deadline=now + clock.seconds(ask.deadline_s),
            excluded=frozenset(ask.excluded),
            fingerprint=ask.fingerprint,
            suspect=bool(ask.fingerprint)
            and self.suspicion.register.is_suspect(ask.fingerprint, now),
            spill=ask.spill,
        )

    async def _wait_local(
        self, ask: slot_messages.SlotRequest, queue: selection.SlotQueue
    ) -> slot_messages.SlotGrant:
        waiter = self._waiter(ask)
        if not queue.ask(waiter, self._process.clock.monotonic()):
            raise slot_messages.refusal("queue-full")
        future: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._future_by_waiter[waiter] = future
        try:
            self.grant_waiting(queue)
            spilled = await self._wait_or_spill(ask, queue, future)
        except BaseException:
            self._abandon(queue, waiter)
            raise
        finally:
            self._future_by_waiter.pop(waiter, None)
        if spilled:
            self._abandon(queue, waiter)
            return spilled
        if waiter.permit is None:
            raise slot_messages.refusal(
                "deadline" if queue.slots(self._process.clock.monotonic()) else "no-endpoint"
            )
        return self._to_grant(waiter.permit, queue)

    async def _wait_or_spill(
        self,
        ask: slot_messages.SlotRequest,
        queue: selection.SlotQueue,
        future: asyncio.Future[None],
    ) -> slot_messages.SlotGrant | None:
        """Waits for a slot here; while the queue is long, looks for one in other zones too."""
        while not future.done():
            if self._is_queue_long(queue):
                granted = await self._spill_until_done(future, ask)
                if granted:
                    return granted
            await asyncio.wait({future}, timeout=SPILL_RETRY_DELAY.total_seconds())
        future.result()
        return None

    async def _spill_until_done(
        self, future: asyncio.Future[typing.Any], ask: slot_messages.SlotRequest
    ) -> slot_messages.SlotGrant | None:
        """Looks for a slot in other zones until there is an answer here."""
        spill = asyncio.ensure_future(self._ask_other_zones(ask))
        either: set[asyncio.Future[typing.Any]] = {future, spill}
        try:
            await asyncio.wait(either, return_when=asyncio.FIRST_COMPLETED)
        finally:
            # A slot that comes too late is given back; the question itself cannot be undone.
            if not spill.done():
                spill.add_done_callback(self._release_unused)
        return spill.result() if spill.done() else None

    def _release_unused(self, late: asyncio.Future[typing.Any]) -> None:
        if late.cancelled() or late.exception() or not (granted := late.result()):
            return
        unused = slot_messages.SlotRelease(granted.number, granted.service, "unused")
        self._process.background(self.release(granted, unused))

    def _is_queue_long(self, queue: selection.SlotQueue) -> bool:
        slots = queue.slots(self._process.clock.monotonic())
        return queue.waiting > SPILL_MIN_WAITING_PER_SLOT * slots

    def _abandon(self, queue: selection.SlotQueue, waiter: selection.Waiter) -> None:
        if waiter.permit:
            queue.release(waiter.permit.number)
            self.grant_waiting(queue)
        else:
            queue.withdraw(waiter)

    def _to_grant(
        self, permit: selection.Permit, queue: selection.SlotQueue
    ) -> slot_messages.SlotGrant:
        state = queue.state_by_endpoint[permit.endpoint]
        live = len(self._process.table.live(self._process.clock.monotonic()))
        keep = max(1, state.endpoint.connections // (2 * max(1, live)))
        return slot_messages.SlotGrant(
            permit.number, queue.service, permit.endpoint, permit.address,
            self._process.address, keep,
        )  # fmt: skip

    def grant_waiting(self, queue: selection.SlotQueue) -> None:
        """Grants what can be granted and wakes those that wait."""
        for waiter in queue.grant(self._process.clock.monotonic()):
            future = self._future_by_waiter.get(waiter)
            if future is None or future.done():
                if waiter.permit:
                    queue.release(waiter.permit.number)
                continue
            if waiter.permit and self.suspicion.is_quarantined(waiter.fingerprint):
                queue.release(waiter.permit.number)
                waiter.permit = None
                future.set_exception(slot_messages.refusal("quarantined"))
                continue
            if waiter.displaced:
                future.set_exception(slot_messages.refusal("queue-full"))
                continue
            future.set_result(None)

    async def run(self) -> None:
        """Lets deadlines, pauses and announcements run out."""
        while True:
            waiting = any(queue.waiting for queue in self.queue_by_service.values())
            pause = GRANT_INTERVAL if waiting else IDLE_GRANT_INTERVAL
            await asyncio.sleep(pause.total_seconds())
            now = self._process.clock.monotonic()
            self.suspicion.follow_configuration()
            self.handover.expire(now)
            for queue in list(self.queue_by_service.values()):
                self._apply_drains(queue)
                for endpoint in queue.expire(now):
                    self._log_endpoint_left(endpoint, "announcement ran out")
                self.grant_waiting(queue)

    def _apply_drains(self, queue: selection.SlotQueue) -> None:
        drained = self._process.feed.view.drained
        if not drained:
            return
        for name in queue.state_by_endpoint:
            if ("endpoint", name) in drained:
                queue.leave(name)

    def _log_endpoint_left(self, endpoint: selection.Endpoint, reason: str) -> None:
        events.emit(
            events.ENDPOINT_LEFT, endpoint=endpoint.name, service=endpoint.service, reason=reason
        )

    def release_in_background(
        self, granted: slot_messages.SlotGrant, release: slot_messages.SlotRelease
    ) -> None:
        """Gives a permit back without waiting for the queue to hear of it."""
        if granted.queue == self._process.address and release.result != "died":
            self.release_local(release)
        else:
            self._process.background(self.release(granted, release))

    def release_local(
        self, release: slot_messages.SlotRelease
    ) -> collections.abc.Awaitable[None] | None:
        """Takes a permit back as the holder that granted it.

        Returns:
            After a death, what ends when the others have been told; None when nothing is to tell.
        """
        queue = self.handover.queue_of(release.number)
        queue = queue or self.queue_by_service.get(release.service)
        if queue is None:
            return None
        now = self._process.clock.monotonic()
        endpoint = queue.endpoint_of(release.number)
        region = self._spill_region_by_permit.pop(release.number, "")
        if region:
            self._links.budget(region, now).spend(release.byte_count, now)
        spread = None
        if release.result == "died" and endpoint:
            spread = self.suspicion.on_death(queue, release.number, endpoint)
        elif release.result == "unreachable" and endpoint:
            queue.pause(endpoint, now, selection.DEATH_PAUSE)
        elif release.result == "shed" and endpoint:
            queue.pause(endpoint, now, selection.SHED_PAUSE)
        elif release.result == "done":
            self.suspicion.register.on_finished(release.fingerprint)
        self.suspicion.on_released(release.service, release.number)
        queue.release(release.number)
        if queue is self.queue_by_service.get(release.service):
            self.grant_waiting(queue)
        return spread

    # Other zones

    async def _ask_other_zones(
        self, ask: slot_messages.SlotRequest
    ) -> slot_messages.SlotGrant | None:
        now = self._process.clock.monotonic()
        if ask.hops or ask.spill or now < self._next_spill_at.get(ask.service, clock.ZERO):
            return None
        body = dataclasses.replace(ask, spill=True, zone=self._process.config.zone).to_wire()
        view = self._process.feed.view
        for zone in lookup.neighbours(view, self._process.config.zone):
            addresses = self._process.table.addresses_in(zone)
            for address in [a for a in addresses if not self._breaker.is_open(a)][:1]:
                try:
                    answer = await self._process.client.call(
                        address, "POST", "/v1/slots/ask", body, timeout=SPILL_TIMEOUT
                    )
                    document = client.raise_for_status(answer, step="spill", peer=address)
                    if "granted" in document:
                        return slot_messages.SlotGrant(**document["granted"])
                except errors.TransportError:
                    self._breaker.trip(address)
                except (errors.FlamingotillerError, KeyError, TypeError):
                    continue
        # Those that wait do not all ask again at once.
        self._next_spill_at[ask.service] = self._process.clock.monotonic() + SPILL_RETRY_DELAY
        return None

    def _grant_spill(
        self, ask: slot_messages.SlotRequest, queue: selection.SlotQueue, now: datetime.timedelta
    ) -> slot_messages.SlotGrant:
        region = self._links.other_region(ask.zone)
        if region and not self._links.budget(region, now).allows(now):
            raise slot_messages.refusal("link-busy")
        waiter = self._waiter(ask)
        if not queue.ask(waiter, now) or waiter.permit is None:
            raise slot_messages.refusal("no-free-slot")
        if region:
            self._spill_region_by_permit[waiter.permit.number] = region
        return self._to_grant(waiter.permit, queue)

    # What other instances ask of this one

    async def on_ask(self, document: typing.Any) -> dict[str, typing.Any]:
        """Answers an instance that asks for a slot, passing it on to the holder if need be.

        Raises:
            errors.InvalidInputError: The message is malformed.
            errors.UnavailableError: This instance does not hold the shard.
        """
        ask = slot_messages.SlotRequest.from_wire(document)
        shard = lease.shard_of("service", ask.service)
        if not self._process.shards.holds(shard):
            if ask.hops or not ask.spill:
                raise errors.UnavailableError("shard is not held here", step="ask slot")
            body = dataclasses.replace(ask, hops=1).to_wire()
            return await self._process.shards.ask_holder(
                shard, "/v1/slots/ask", body, SPILL_TIMEOUT
            )
        try:
            granted = await self.ask_local(ask)
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
        self.grant_waiting(queue)
        return {"lease_s": self._process.config.endpoint_lease.total_seconds(), "in_flight": 0}

    def _on_leave(self, queue: selection.SlotQueue, name: str) -> dict[str, typing.Any]:
        state = queue.state_by_endpoint.get(name)
        if state and not state.endpoint.leaving:
            self._log_endpoint_left(state.endpoint, "left")
        queue.leave(name)
        return {"lease_s": 0.0, "in_flight": state.used if state else 0}
