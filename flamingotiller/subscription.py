"""Task that keeps an entry instance's configuration up to date; see ``flamingotiller.feed``."""

from __future__ import annotations

import asyncio
import datetime
import typing

from flamingotiller import client, clock, errors, events, feed

if typing.TYPE_CHECKING:
    from flamingotiller import entry

RETRY_DELAY = clock.seconds(0.1)
TIMEOUT_MARGIN = clock.seconds(0.4)
CATCH_UP_TIMEOUT = clock.seconds(1)


class Subscription:
    """Subscribes to one source, and switches to another when it fails or falls behind.

    Args:
        process: The entry instance.
    """

    def __init__(self, process: entry.EntryInstance) -> None:
        self._process = process
        self._failures = 0
        self._hedge_count = 0
        self._was_fresh = False
        self._reported_drains: set[tuple[str, str]] = set()

    async def run(self) -> None:
        """Follows the configuration until cancelled."""
        while True:
            sources = self._sources()
            source = sources[self._failures % len(sources)]
            if await self._follow(source):
                self._failures = 0
            else:
                self._failures += 1
                await asyncio.sleep(RETRY_DELAY.total_seconds())
            self._report_freshness()

    def _sources(self) -> list[str]:
        now = self._process.clock.monotonic()
        live = self._process.table.live(now)
        sources = feed.choose_sources(
            self._process.config.instance,
            [(member.instance, member.address) for member in live],
            self._process.config.control,
        )
        # After failures, the member with the newest version is preferred to the usual order.
        ahead = [m for m in live if m.version > self._process.feed.version]
        if self._failures and ahead:
            newest = max(ahead, key=lambda member: member.version)
            sources.insert(self._failures % (len(sources) + 1), newest.address)
        return sources

    async def _follow(self, source: str) -> bool:
        process = self._process
        # After a failure the first response is requested at once, as the next update may come much
        # later.
        at_once = self._failures > 0 or process.feed.version == 0
        timeout = CATCH_UP_TIMEOUT if at_once else feed.HOLD_TIMEOUT + TIMEOUT_MARGIN
        try:
            offered = await self._request_update(source, timeout, at_once=at_once)
        except errors.FlamingotillerError as error:
            events.emit(events.FEED_FAILED, peer=source, error=error)
            return False
        if offered < process.feed.version:
            events.emit(
                events.VERSION_REFUSED, offered=offered, held=process.feed.version, peer=source
            )
            return False
        # A source that is not fresh is left for another one.
        return process.feed.is_fresh(process.config.freshness_bound / 2) or not at_once

    async def _request_update(
        self, source: str, timeout: datetime.timedelta, *, at_once: bool
    ) -> int:
        """Sends one request to a source and applies the response.

        Returns:
            The version that the source has in force.

        Raises:
            errors.FlamingotillerError: No response arrived, or a malformed one.
        """
        process = self._process
        sent = process.clock.monotonic()
        response = await process.client.call(
            source, "POST", "/v1/feed", process.feed.subscription(now=at_once), timeout=timeout
        )
        document = client.raise_for_status(response, step="feed", peer=source)
        old_version = process.feed.version
        process.feed.apply_answer(document, sent, source)
        if process.feed.version != old_version:
            events.emit(events.VERSION_IN_FORCE, version=process.feed.version, source=source)
            process.admission.on_configuration_change()
            self._report_drains()
        return int(document["version"])

    async def request_confirmation(self) -> None:
        """Requests a confirmation from the next source in turn.

        This runs beside the subscription to the current source.
        """
        sources = self._sources()
        self._hedge_count += 1
        await self._request_update(
            sources[self._hedge_count % len(sources)], CATCH_UP_TIMEOUT, at_once=True
        )
        self._report_freshness()

    def _report_drains(self) -> None:
        drained = self._process.feed.view.drained
        for kind, name in sorted(drained - self._reported_drains):
            events.emit(events.DRAIN_IN_FORCE, kind=kind, name=name)
        self._reported_drains = set(drained)

    def _report_freshness(self) -> None:
        fresh = self._process.feed.is_fresh(self._process.config.freshness_bound)
        if fresh == self._was_fresh:
            return
        self._was_fresh = fresh
        age = self._process.feed.age()
        age_text = "none" if age is None else f"{age.total_seconds():.3f}"
        events.emit(events.FRESHNESS_RESTORED if fresh else events.FRESHNESS_LOST, age_s=age_text)
