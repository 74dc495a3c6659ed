"""Supervision of background tasks: a failed task is restarted and does not affect the others."""

from __future__ import annotations

import asyncio
import collections.abc
import typing

from flamingotiller import clock, events

RESTART_DELAY = clock.seconds(0.5)


class Supervisor:
    """Runs and restarts the background tasks of a process."""

    def __init__(self) -> None:
        self._tasks: set[asyncio.Task[None]] = set()

    def spawn(self, name: str, work: collections.abc.Callable[[], typing.Awaitable[None]]) -> None:
        """Runs ``work`` as a task until it returns or the supervisor is closed."""
        task = asyncio.get_running_loop().create_task(self._supervise(name, work), name=name)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _supervise(self, name: str, work) -> None:
        while True:
            try:
                await work()
                return
            except Exception as error:  # noqa: BLE001 - a failing task must not end the process
                events.emit(events.TASK_FAILED, task=name, error=repr(error))
                await asyncio.sleep(RESTART_DELAY.total_seconds())

    async def close(self) -> None:
        """Cancels all tasks and waits for them."""
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
