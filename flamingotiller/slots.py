"""Allocation of endpoint slots to requests.

The instance that holds a service's shard keeps the list of the service's endpoints in its zone and
grants permits for their slots. Requests that exceed the zone's slots spill to other zones. The
holder also detects requests that crash endpoints."""

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

# Other zones are asked as well after this delay: a holder that has not responded may be frozen, or
# its queue may be long.
HOLDER_HEDGE_DELAY = clock.seconds(0.5)
RELEASE_ATTEMPTS = 3
GRANT_INTERVAL = clock.seconds(0.02)
IDLE_GRANT_INTERVAL = clock.seconds(0.2)
SPILL_TIMEOUT = clock.seconds(0.5)
RELEASE_TIMEOUT = clock.seconds(1)
SPILL_RETRY_DELAY = clock.seconds(0.05)
SPILL_MIN_WAITING_PER_SLOT = 1 / 3


class SlotManager:
    """Requests slots from shard holders and, for shards held here, grants them.

    Args:
        process: The entry instance.
    """

    def __init__(self, process: entry.EntryInstance) -> None:
        self._process = process
        self.queue_by_service: dict[str, selection.SlotQueue] = {}
        self.suspicion = suspicion.SuspectTracker(process)
        self.handover = handover.Handover(process)
        self._future_by_waiter: dict[selection.Waiter, asyncio.Future[None]] = {}
        self._region_links = region_links.RegionLinks(process)
        self._spill_region_by_permit: dict[int, str] = {}
        self._breaker = breaker.CircuitBreakers(process.clock)
        self._next_spill_at: dict[str, datetime.timedelta] = {}

    # Requests for slots from this instance

    async def ask(self, request: slot_messages.SlotRequest) -> slot_messages.SlotGrant:
        """Waits for a slot.

        Raises:
            errors.RefusedError: No slot within the deadline, or the request is quarantined.
        """
        deadline = self._process.clock.monotonic() + clock.seconds(request.deadline_s)
        shard = lease.shard_of("service", request.service)
        while True:
            remaining = deadline - self._process.clock.monotonic()
            if remaining <= clock.ZERO:
                raise slot_messages.refusal("deadline")
            current = dataclasses.replace(request, deadline_s=remaining.total_seconds())
            try:
                if self._process.shards.holds(shard):
                    return await self.ask_local(current)
                return await self._ask_holder_and_others(shard, current)
            except (errors.UnavailableError, errors.TransportError, KeyError, TypeError):
                grant = await self._ask_other_zones(current)
                if grant:
                    return grant
                await asyncio.sleep(min(0.1, remaining.total_seconds()))

    async def _ask_holder_and_others(
        self, shard: int, request: slot_messages.SlotRequest
    ) -> slot_messages.SlotGrant:
        """Asks the holder, and other zones too while it does not respond.

        Other zones are asked after a delay, or at once if the holder is known to be silent.

        Raises:
            errors.RefusedError: The holder refused the request.
            errors.UnavailableError: No holder of the shard is known.
            errors.TransportError: The holder cannot be reached.
        """
        shards = self._process.shards
        started_at = self._process.clock.monotonic()
        hedge_delay = clock.ZERO if shards.is_holder_unresponsive(shard) else HOLDER_HEDGE_DELAY
        holder_task = asyncio.ensure_future(self._ask_holder(shard, request))
        try:
            while True:
                await asyncio.wait({holder_task}, timeout=hedge_delay.total_seconds())
                hedge_delay = HOLDER_HEDGE_DELAY
                if not holder_task.done():
                    shards.record_slow_holder(shard, started_at)
                spilled = (
                    None
                    if holder_task.done()
                    else await self._spill_until_done(holder_task, request)
                )
                if spilled:
                    holder_task.add_done_callback(self._release_unused)
                    return spilled
                if holder_task.done():
                    return holder_task.result()
        finally:
            holder_task.cancel()

    async def _ask_holder(
        self, shard: int, request: slot_messages.SlotRequest
    ) -> slot_messages.SlotGrant:
        timeout = clock.seconds(request.deadline_s) + SPILL_TIMEOUT
        document = await self._process.shards.call_holder(
            shard, "/v1/slots/ask", request.to_wire(), timeout
        )
        return self._parse_grant(document)

    def _parse_grant(self, document: typing.Any) -> slot_messages.SlotGrant:
        if "refused" in document:
            raise slot_messages.refusal(str(document["refused"]))
        return slot_messages.SlotGrant(**document["granted"])

    async def release(
        self, grant: slot_messages.SlotGrant, release: slot_messages.SlotRelease
    ) -> None:
        """Returns a permit to the queue that granted it, and waits for the acknowledgement.

        When an endpoint crashed, the queue acknowledges only once it has notified the other zones.
        """
        if grant.queue == self._process.address:
            notification = self.release_local(release)
            if notification:
                await notification
            return
        for _ in range(RELEASE_ATTEMPTS):
            try:
                await self._process.client.call(
                    grant.queue, "POST", "/v1/slots/release",
                    dataclasses.asdict(release), timeout=RELEASE_TIMEOUT,
                )  # fmt: skip
                return
            except errors.ExchangeTimeoutError:
                # Releasing is idempotent.
                continue
            except errors.TransportError:
                return
        # Without an acknowledgement, the queue reclaims the permit after the request's deadline.

    # Slots of shards held here

    def queue(self, service: str) -> selection.SlotQueue:
        """Returns the queue of a service, creating it on first use."""
        queue = self.queue_by_service.get(service)
        if queue is None:
            first = lease.first_number(self._process.rng)
            queue = self.queue_by_service[service] = selection.SlotQueue(service, first)
            self._process.run_in_background(self.handover.poll_predecessors(queue))
        return queue

    def on_shard_lost(self, shard: int) -> None:
        """Retires the queues of a shard; waiting requests are retried at its new holder."""
        for service in list(self.queue_by_service):
            if lease.shard_of("service", service) == shard:
                self._retire_queue(self.queue_by_service.pop(service))

    def _retire_queue(self, queue: selection.SlotQueue) -> None:
        for waiter in queue.waiters():
            future = self._future_by_waiter.get(waiter)
            if future and not future.done():
                future.set_exception(
                    errors.UnavailableError("shard is no longer held here", step="ask slot")
                )
        self.handover.retire(queue)

    async def ask_local(self, request: slot_messages.SlotRequest) -> slot_messages.SlotGrant:
        """Waits for a slot of a service whose shard is held here.

        Raises:
            errors.RefusedError: No slot within the deadline, or the request is quarantined.
        """
        now = self._process.clock.monotonic()
        if request.fingerprint and self.suspicion.is_quarantined(request.fingerprint):
            raise slot_messages.refusal("quarantined")
        queue = self.queue(request.service)
        if request.spill:
            return self._grant_spill(request, queue, now)
        tried = set(request.excluded)
        if tried and tried.issuperset(e.name for e in queue.endpoints(now)):
            # The request has failed at every endpoint of this zone, so it does not wait here.
            grant = await self._ask_other_zones(request)
            if grant is None:
                raise slot_messages.refusal("no-endpoint")
            return grant
        return await self._wait_local(request, queue)

    def _waiter(self, request: slot_messages.SlotRequest) -> selection.Waiter:
        now = self._process.clock.monotonic()
        contract = self._process.feed.view.contract_by_organisation.get(request.organisation)
        return selection.Waiter(
            organisation=request.organisation,
            weight=contract.weight if contract else 1.0,
            deadline=now + clock.seconds(request.deadline_s),
            excluded=frozenset(request.excluded),
            fingerprint=request.fingerprint,
            suspect=bool(request.fingerprint)
            and self.suspicion.register.is_suspect(request.fingerprint, now),
            spill=request.spill,
        )

    async def _wait_local(
        self, request: slot_messages.SlotRequest, queue: selection.SlotQueue
    ) -> slot_messages.SlotGrant:
        waiter = self._waiter(request)
        if not queue.ask(waiter, self._process.clock.monotonic()):
            raise slot_messages.refusal("queue-full")
        future: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._future_by_waiter[waiter] = future
        try:
            self.grant_waiting(queue)
            spilled = await self._wait_or_spill(request, queue, future)
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
        request: slot_messages.SlotRequest,
        queue: selection.SlotQueue,
        future: asyncio.Future[None],
    ) -> slot_messages.SlotGrant | None:
        """Waits for a slot here; while the queue is long, asks other zones too."""
        while not future.done():
            if self._is_queue_long(queue):
                grant = await self._spill_until_done(future, request)
                if grant:
                    return grant
            await asyncio.wait({future}, timeout=SPILL_RETRY_DELAY.total_seconds())
        future.result()
        return None

    async def _spill_until_done(
        self, future: asyncio.Future[typing.Any], request: slot_messages.SlotRequest
    ) -> slot_messages.SlotGrant | None:
        """Asks other zones for a slot; returns None if ``future`` is done first or none is free."""
        spill = asyncio.ensure_future(self._ask_other_zones(request))
        pending: set[asyncio.Future[typing.Any]] = {future, spill}
        try:
            await asyncio.wait(pending, return_when=asyncio.FIRST_COMPLETED)
        finally:
            # The peer may already have granted a slot, so the call is left running and a grant
            # that arrives later is released.
            if not spill.done():
                spill.add_done_callback(self._release_unused)
        return spill.result() if spill.done() else None

    def _release_unused(self, task: asyncio.Future[typing.Any]) -> None:
        if task.cancelled() or task.exception() or not (grant := task.result()):
            return
        unused = slot_messages.SlotRelease(grant.number, grant.service, "unused")
        self._process.run_in_background(self.release(grant, unused))

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
        """Grants free slots and wakes the requests that got one or were refused."""
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
        """Periodically expires deadlines, pauses and announcements, and grants freed slots."""
        while True:
            waiting = any(queue.waiting for queue in self.queue_by_service.values())
            pause = GRANT_INTERVAL if waiting else IDLE_GRANT_INTERVAL
            await asyncio.sleep(pause.total_seconds())
            now = self._process.clock.monotonic()
            self.suspicion.lift_removed_quarantines()
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
                queue.drain(name)

    def _log_endpoint_left(self, endpoint: selection.Endpoint, reason: str) -> None:
        events.emit(
            events.ENDPOINT_LEFT, endpoint=endpoint.name, service=endpoint.service, reason=reason
        )

    def release_in_background(
        self, grant: slot_messages.SlotGrant, release: slot_messages.SlotRelease
    ) -> None:
        """Returns a permit without waiting for the queue's acknowledgement."""
        if grant.queue == self._process.address and release.result != "died":
            self.release_local(release)
        else:
            self._process.run_in_background(self.release(grant, release))

    def release_local(
        self, release: slot_messages.SlotRelease
    ) -> collections.abc.Awaitable[None] | None:
        """Releases a permit that a queue of this instance granted.

        Returns:
            After an endpoint crash, an awaitable that completes once the other instances have
            been notified; None when there is nothing to notify.
        """
        queue = self.handover.queue_of(release.number)
        queue = queue or self.queue_by_service.get(release.service)
        if queue is None:
            return None
        now = self._process.clock.monotonic()
        endpoint = queue.endpoint_of(release.number)
        region = self._spill_region_by_permit.pop(release.number, "")
        if region:
            self._region_links.budget(region, now).spend(release.byte_count, now)
        notification = None
        if release.result == "died" and endpoint:
            notification = self.suspicion.on_death(queue, release.number, endpoint)
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
        return notification

    # Other zones

    async def _ask_other_zones(
        self, request: slot_messages.SlotRequest
    ) -> slot_messages.SlotGrant | None:
        now = self._process.clock.monotonic()
        if (
            request.hops
            or request.spill
            or now < self._next_spill_at.get(request.service, clock.ZERO)
        ):
            return None
        body = dataclasses.replace(request, spill=True, zone=self._process.config.zone).to_wire()
        view = self._process.feed.view
        for zone in lookup.fallback_zones(view, self._process.config.zone):
            addresses = self._process.table.addresses_in(zone)
            for address in [a for a in addresses if not self._breaker.is_open(a)][:1]:
                try:
                    response = await self._process.client.call(
                        address, "POST", "/v1/slots/ask", body, timeout=SPILL_TIMEOUT
                    )
                    document = client.raise_for_status(response, step="spill", peer=address)
                    if "granted" in document:
                        return slot_messages.SlotGrant(**document["granted"])
                except errors.TransportError:
                    self._breaker.trip(address)
                except (errors.FlamingotillerError, KeyError, TypeError):
                    continue
        # Keeps the waiting requests of a service from all asking again at once.
        self._next_spill_at[request.service] = self._process.clock.monotonic() + SPILL_RETRY_DELAY
        return None

    def _grant_spill(
        self,
        request: slot_messages.SlotRequest,
        queue: selection.SlotQueue,
        now: datetime.timedelta,
    ) -> slot_messages.SlotGrant:
        region = self._region_links.remote_region(request.zone)
        if region and not self._region_links.budget(region, now).allows(now):
            raise slot_messages.refusal("link-busy")
        waiter = self._waiter(request)
        if not queue.ask(waiter, now) or waiter.permit is None:
            raise slot_messages.refusal("no-free-slot")
        if region:
            self._spill_region_by_permit[waiter.permit.number] = region
        return self._to_grant(waiter.permit, queue)

    # Messages from other instances

    async def on_ask(self, document: typing.Any) -> dict[str, typing.Any]:
        """Handles a slot request of another instance, forwarding a spill to the holder if needed.

        Raises:
            errors.InvalidInputError: The message is malformed.
            errors.UnavailableError: This instance does not hold the shard.
        """
        request = slot_messages.SlotRequest.from_wire(document)
        shard = lease.shard_of("service", request.service)
        if not self._process.shards.holds(shard):
            if request.hops or not request.spill:
                raise errors.UnavailableError("shard is not held here", step="ask slot")
            body = dataclasses.replace(request, hops=1).to_wire()
            return await self._process.shards.call_holder(
                shard, "/v1/slots/ask", body, SPILL_TIMEOUT
            )
        try:
            grant = await self.ask_local(request)
        except errors.RefusedError as error:
            return {"refused": error.code}
        return {"granted": dataclasses.asdict(grant)}

    # Endpoints

    async def on_announce(self, service: str, body: dict[str, typing.Any]) -> dict[str, typing.Any]:
        """Applies an endpoint's announcement, or forwards it to the holder.

        Raises:
            errors.UnavailableError: The holder could not be asked; the endpoint retries.
        """
        shard = lease.shard_of("service", service)
        if not self._process.shards.holds(shard):
            if body.get("hops"):
                raise errors.UnavailableError("shard is not held here", step="announce")
            return await self._process.shards.call_holder(
                shard, "/v1/endpoints", {**body, "hops": 1}, SPILL_TIMEOUT
            )
        queue = self.queue(service)
        now = self._process.clock.monotonic()
        if body["leaving"]:
            return self._on_leave(queue, body["endpoint"], body["session"])
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

    def _on_leave(
        self, queue: selection.SlotQueue, name: str, session: str
    ) -> dict[str, typing.Any]:
        state = queue.state_by_endpoint.get(name)
        was_leaving = state is not None and state.endpoint.leaving
        if queue.leave(name, session) and state and not was_leaving:
            self._log_endpoint_left(state.endpoint, "left")
        return {"lease_s": 0.0, "in_flight": state.used if state else 0}
