"""Hedged requests for a confirmation.

They are sent while the last confirmation is old, so that one lost or late answer does not make a
process refuse its callers while other sources could confirm its configuration."""

from __future__ import annotations

import asyncio
import collections.abc
import datetime
import typing

from flamingotiller import clock, errors, feed

CHECK_INTERVAL = clock.seconds(0.2)
# While no source can confirm, as during the loss of a majority, every process of the fleet sends
# these requests; the interval grows up to this one to limit their number.
MAX_INTERVAL = clock.seconds(1)
MAX_UNANSWERED = 4


class ConfirmationHedge:
    """Requests confirmations in addition to the subscription that usually does.

    Args:
        watched_feed: The feed to keep fresh.
        max_age: Age of the confirmation above which another one is requested.
        request_confirmation: Requests a confirmation from one source; raises if there is no answer.
    """

    def __init__(
        self,
        watched_feed: feed.Feed,
        max_age: datetime.timedelta,
        request_confirmation: collections.abc.Callable[
            [], collections.abc.Coroutine[typing.Any, typing.Any, None]
        ],
    ) -> None:
        self._feed = watched_feed
        self._max_age = max_age
        self._request_confirmation = request_confirmation
        self._pending: set[asyncio.Task[None]] = set()

    async def run(self) -> None:
        """Requests confirmations while the last one is old, until cancelled."""
        interval = CHECK_INTERVAL
        async with asyncio.TaskGroup() as group:
            while True:
                await asyncio.sleep(interval.total_seconds())
                if not self._is_confirmation_old():
                    interval = CHECK_INTERVAL
                    continue
                interval = min(MAX_INTERVAL, interval * 1.3)
                if len(self._pending) < MAX_UNANSWERED:
                    task = group.create_task(self._send_request())
                    self._pending.add(task)
                    task.add_done_callback(self._pending.discard)

    def _is_confirmation_old(self) -> bool:
        return self._feed.age() is not None and not self._feed.is_fresh(self._max_age)

    async def _send_request(self) -> None:
        try:
            await self._request_confirmation()
        except errors.FlamingotillerError:
            # The next request goes to another source.
            return
