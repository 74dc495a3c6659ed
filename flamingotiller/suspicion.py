"""Watch for requests that crash endpoints, at the holder of a service's shard: notes deaths, tells
the other zones before a request can come again, and follows what operators lift."""

from __future__ import annotations

import asyncio
import collections.abc
import typing

from flamingotiller import clock, errors, events, lease, lookup, quarantine, selection

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
    ) -> collections.abc.Coroutine | None:
        """Notes a death; returns the work of telling the other zones, if there is any."""
        now = self._process.clock.monotonic()
        prints = queue.on_death(number)
        if not prints:
            return None
        queue.pause(endpoint, now, selection.DEATH_PAUSE)
        events.emit(events.ENDPOINT_DIED, endpoint=endpoint, in_flight=len(prints))
        newly = self.register.on_death(prints, now)
        queue.mark_suspects(lambda print_: self.register.is_suspect(print_, now))
        held = self.register.suspect_by_fingerprint
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
                    address, "POST", "/v1/suspects", body, timeout=TELL_TIMEOUT
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
                shard, "/v1/suspects", {**body, "hops": 1}, TELL_TIMEOUT
            )
            return
        now = self._process.clock.monotonic()
        for print_, count in deaths.items():
            self.register.learn(print_, count, now)
        for print_ in quarantined:
            self.register.quarantine(print_, now)
        self._process.slots.queue(service).mark_suspects(lambda p: self.register.is_suspect(p, now))
