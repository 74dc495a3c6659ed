"""Further requests for a confirmation while the one that is held grows old: an answer that is lost
or late must not make a process that others could confirm refuse its callers."""

from __future__ import annotations

import asyncio
import collections.abc
import datetime
import typing

from flamingotiller import clock, errors, feed

CHECK_INTERVAL = clock.seconds(0.2)
# When nobody can confirm, as during the loss of a majority, the whole fleet asks; then seldom.
MAX_INTERVAL = clock.seconds(1)
MAX_UNANSWERED = 4


class ConfirmationHedge:
    """Asks for a confirmation beside the task that usually does.

    Args:
        source: The feed to keep fresh.
        after: Age of the confirmation past which it asks.
        ask: Asks some source once; its errors mean that there is no answer.
    """

    def __init__(
        self,
        source: feed.Feed,
        after: datetime.timedelta,
        ask: collections.abc.Callable[[], collections.abc.Coroutine[typing.Any, typing.Any, None]],
    ) -> None:
        self._feed = source
        self._after = after
        self._ask = ask
        self._unanswered: set[asyncio.Task[None]] = set()

    async def run(self) -> None:
        """Watches the age."""
        wait = CHECK_INTERVAL
        async with asyncio.TaskGroup() as group:
            while True:
                await asyncio.sleep(wait.total_seconds())
                if not self._is_late():
                    wait = CHECK_INTERVAL
                    continue
                wait = min(MAX_INTERVAL, wait * 1.3)
                if len(self._unanswered) < MAX_UNANSWERED:
                    task = group.create_task(self._try())
                    self._unanswered.add(task)
                    task.add_done_callback(self._unanswered.discard)

    def _is_late(self) -> bool:
        return self._feed.age() is not None and not self._feed.is_fresh(self._after)

    async def _try(self) -> None:
        try:
            await self._ask()
        except errors.FlamingotillerError:
            # The next one asks another source.
            return
