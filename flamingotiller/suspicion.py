"""Detection of requests that crash endpoints, at the holder of a service's shard.

The holder records the crashes of endpoints, notifies the other zones before a request can arrive
again, and lifts the quarantines that an operator has removed from the configuration."""

from __future__ import annotations

import asyncio
import collections.abc
import secrets
import typing

from flamingotiller import clock, errors, events, lookup, quarantine, selection

if typing.TYPE_CHECKING:
    from flamingotiller import entry

NOTIFY_TIMEOUT = clock.seconds(0.5)


class SuspectTracker:
    """Suspects and quarantined requests that an entry instance knows.

    Args:
        process: The entry instance.

    Attributes:
        register: Register of suspects and quarantined fingerprints.
    """

    def __init__(self, process: entry.EntryInstance) -> None:
        self._process = process
        self.register = quarantine.QuarantineRegister()
        self._configured: set[str] = set()
        self._notification_by_permit: dict[tuple[str, int], asyncio.Future[None]] = {}

    def lift_removed_quarantines(self) -> None:
        """Lifts every quarantine that has left the configuration since the last call."""
        configured = self._process.feed.view.quarantined
        for fingerprint in self._configured - configured:
            self.register.lift(fingerprint)
        self._configured = set(configured)

    def is_quarantined(self, fingerprint: str) -> bool:
        """Returns whether requests with this fingerprint are refused."""
        if not fingerprint:
            return False
        return fingerprint in self._process.feed.view.quarantined or self.register.is_quarantined(
            fingerprint, self._process.clock.monotonic()
        )

    def on_death(
        self, queue: selection.SlotQueue, number: int, endpoint: str
    ) -> collections.abc.Awaitable[None] | None:
        """Records the crash of an endpoint.

        Args:
            queue: Queue that granted the permit.
            number: Permit of a request that was at the endpoint.
            endpoint: Name of the endpoint.

        Returns:
            Awaitable that ends when the other instances have been notified; None if there is
            nothing to notify. If another request at the endpoint has already reported the crash,
            this is the notification that it started.
        """
        now = self._process.clock.monotonic()
        permits = queue.permits_at_same_endpoint(number)
        fingerprints = queue.on_death(number)
        if not fingerprints:
            notification = self._notification_by_permit.pop((queue.service, number), None)
            return asyncio.shield(notification) if notification else None
        queue.pause(endpoint, now, selection.DEATH_PAUSE)
        events.emit(events.ENDPOINT_DIED, endpoint=endpoint, in_flight=len(fingerprints))
        death = f"{self._process.config.instance}/{endpoint}/{secrets.token_hex(4)}"
        newly_quarantined = self.register.on_death(death, fingerprints, now)
        queue.mark_suspects(lambda fingerprint: self.register.is_suspect(fingerprint, now))
        suspects = self.register.suspect_by_fingerprint
        deaths = {f: sorted(suspects[f].deaths) for f in fingerprints if f in suspects}
        notification = asyncio.ensure_future(
            self._broadcast(queue.service, deaths, newly_quarantined)
        )
        for other in permits:
            self._notification_by_permit[queue.service, other] = notification
        return asyncio.shield(notification)

    def on_released(self, service: str, number: int) -> None:
        """Discards the notification kept for a permit."""
        self._notification_by_permit.pop((service, number), None)

    async def _broadcast(
        self, service: str, deaths: dict[str, list[str]], newly_quarantined: dict[str, int]
    ) -> None:
        body = {"service": service, "deaths": deaths, "quarantined": sorted(newly_quarantined)}
        for fingerprint, count in newly_quarantined.items():
            events.emit(events.QUARANTINE_ADDED, fingerprint=fingerprint, deaths=count)
        zones = lookup.fallback_zones(self._process.feed.view, self._process.config.zone)
        await asyncio.gather(
            self._notify_members(body), *(self._notify_zone(zone, body) for zone in zones)
        )
        for fingerprint, count in newly_quarantined.items():
            report = self._process.control.report_quarantine(fingerprint, f"{count} endpoints died")
            self._process.run_in_background(report)

    async def _notify_members(self, body: dict[str, typing.Any]) -> None:
        """Notifies every member of this zone, as any of them may be the shard's next holder."""
        table = self._process.table
        members = [m for m in table.live(self._process.clock.monotonic()) if m is not table.own]
        forwarded = {**body, "hops": 1}
        await asyncio.gather(*(self._notify(member.address, forwarded) for member in members))

    async def _notify_zone(self, zone: str, body: dict[str, typing.Any]) -> None:
        """Notifies another zone through the first of its instances that accepts it."""
        for address in self._process.table.addresses_in(zone):
            if await self._notify(address, body):
                return

    async def _notify(self, address: str, body: dict[str, typing.Any]) -> bool:
        try:
            response = await self._process.client.call(
                address, "POST", "/v1/suspects", body, timeout=NOTIFY_TIMEOUT
            )
            return response.status == 200
        except errors.TransportError:
            return False

    async def on_suspects(self, body: typing.Any) -> None:
        """Applies a notification, and forwards it to this zone if it came from another zone.

        Raises:
            errors.InvalidInputError: The message is malformed.
        """
        try:
            service, hops = str(body["service"]), int(body.get("hops", 0))
            deaths = {str(f): [str(d) for d in names] for f, names in body["deaths"].items()}
            quarantined = [str(f) for f in body["quarantined"]]
        except (KeyError, TypeError, ValueError, AttributeError) as error:
            raise errors.InvalidInputError(
                f"malformed suspects: {error}", step="suspects"
            ) from error
        now = self._process.clock.monotonic()
        for fingerprint, names in deaths.items():
            self.register.merge_deaths(fingerprint, names, now)
        for fingerprint in quarantined:
            self.register.quarantine(fingerprint, now)
        queue = self._process.slots.queue_by_service.get(service)
        if queue:
            queue.mark_suspects(lambda fingerprint: self.register.is_suspect(fingerprint, now))
        if not hops:
            await self._notify_members(body)
