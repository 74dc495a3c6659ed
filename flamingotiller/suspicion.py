"""Watch for requests that crash endpoints, at the holder of a service's shard: notes deaths, tells
the other zones before a request can come again, and follows what operators lift."""

from __future__ import annotations

import asyncio
import collections.abc
import secrets
import typing

from flamingotiller import clock, errors, events, lookup, quarantine, selection

if typing.TYPE_CHECKING:
    from flamingotiller import entry

TELL_TIMEOUT = clock.seconds(0.5)


class Suspicion:
    """Suspects and quarantine of an entry instance.

    Args:
        process: The entry instance.

    Attributes:
        register: What this instance knows.
    """

    def __init__(self, process: entry.EntryInstance) -> None:
        self._process = process
        self.register = quarantine.Register()
        self._listed: set[str] = set()
        self._telling_by_permit: dict[tuple[str, int], asyncio.Future[None]] = {}

    def follow_configuration(self) -> None:
        """Serves again what an operator has lifted since the last call."""
        listed = self._process.feed.view.quarantined
        for print_ in self._listed - listed:
            self.register.lift(print_)
        self._listed = set(listed)

    def is_quarantined(self, print_: str) -> bool:
        """Returns whether requests with a fingerprint are refused."""
        if not print_:
            return False
        return print_ in self._process.feed.view.quarantined or self.register.is_quarantined(
            print_, self._process.clock.monotonic()
        )

    def on_death(
        self, queue: selection.SlotQueue, number: int, endpoint: str
    ) -> collections.abc.Awaitable[None] | None:
        """Notes a death.

        Returns:
            What ends when the others have been told, also for the requests whose part in the
            death was noted by way of another; None when there is nothing to tell.
        """
        now = self._process.clock.monotonic()
        same_endpoint = queue.permits_at_same_endpoint(number)
        prints = queue.on_death(number)
        if not prints:
            telling = self._telling_by_permit.pop((queue.service, number), None)
            return asyncio.shield(telling) if telling else None
        queue.pause(endpoint, now, selection.DEATH_PAUSE)
        events.emit(events.ENDPOINT_DIED, endpoint=endpoint, in_flight=len(prints))
        death = f"{self._process.config.instance}/{endpoint}/{secrets.token_hex(4)}"
        newly = self.register.on_death(death, prints, now)
        queue.mark_suspects(lambda print_: self.register.is_suspect(print_, now))
        held = self.register.suspect_by_fingerprint
        deaths = {p: sorted(held[p].deaths) for p in prints if p in held}
        telling = asyncio.ensure_future(self._spread(queue.service, deaths, newly))
        for other in same_endpoint:
            self._telling_by_permit[queue.service, other] = telling
        return asyncio.shield(telling)

    def on_released(self, service: str, number: int) -> None:
        """Forgets a permit."""
        self._telling_by_permit.pop((service, number), None)

    async def _spread(
        self, service: str, deaths: dict[str, list[str]], newly: dict[str, int]
    ) -> None:
        body = {"service": service, "deaths": deaths, "quarantined": sorted(newly)}
        for print_, count in newly.items():
            events.emit(events.QUARANTINE_ADDED, fingerprint=print_, deaths=count)
        zones = lookup.neighbours(self._process.feed.view, self._process.config.zone)
        await asyncio.gather(
            self._tell_members(body), *(self._tell_zone(zone, body) for zone in zones)
        )
        for print_, count in newly.items():
            report = self._process.control.report_quarantine(print_, f"{count} endpoints died")
            self._process.background(report)

    async def _tell_members(self, body: dict[str, typing.Any]) -> None:
        """Tells every member of this zone: any of them may hold the shard next."""
        table = self._process.table
        members = [m for m in table.live(self._process.clock.monotonic()) if m is not table.own]
        told = {**body, "hops": 1}
        await asyncio.gather(*(self._tell(member.address, told) for member in members))

    async def _tell_zone(self, zone: str, body: dict[str, typing.Any]) -> None:
        """Tells another zone by way of the first of its instances that answers."""
        for address in self._process.table.addresses_in(zone):
            if await self._tell(address, body):
                return

    async def _tell(self, address: str, body: dict[str, typing.Any]) -> bool:
        try:
            answer = await self._process.client.call(
                address, "POST", "/v1/suspects", body, timeout=TELL_TIMEOUT
            )
            return answer.status == 200
        except errors.TransportError:
            return False

    async def on_suspects(self, body: typing.Any) -> None:
        """Takes over what another instance has seen, and tells this zone if it is of another.

        Raises:
            errors.InvalidInputError: The message is malformed.
        """
        try:
            service, hops = str(body["service"]), int(body.get("hops", 0))
            deaths = {str(p): [str(d) for d in names] for p, names in body["deaths"].items()}
            quarantined = [str(p) for p in body["quarantined"]]
        except (KeyError, TypeError, ValueError, AttributeError) as error:
            raise errors.InvalidInputError(f"bad suspects: {error}", step="suspects") from error
        now = self._process.clock.monotonic()
        for print_, names in deaths.items():
            self.register.learn(print_, names, now)
        for print_ in quarantined:
            self.register.quarantine(print_, now)
        queue = self._process.slots.queue_by_service.get(service)
        if queue:
            queue.mark_suspects(lambda p: self.register.is_suspect(p, now))
        if not hops:
            await self._tell_members(body)
