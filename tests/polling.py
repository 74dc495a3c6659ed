"""Waits in asynchronous tests until other tasks have reached a state."""

import asyncio

MAX_STEPS = 10_000
STEP_S = 0.001


async def wait_until(condition):
    """Lets other tasks run until a condition is true; fails after ``MAX_STEPS`` steps."""
    for _ in range(MAX_STEPS):
        if condition():
            return
        await asyncio.sleep(STEP_S)
    raise AssertionError("the condition did not become true")
