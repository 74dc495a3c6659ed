"""Waiting in asynchronous tests for what other tasks do."""

import asyncio

STEPS = 10_000
STEP_S = 0.001


async def holds(check):
    """Lets other tasks run until a check is true; the number of steps is for giving up only."""
    for _ in range(STEPS):
        if check():
            return
        await asyncio.sleep(STEP_S)
    raise AssertionError("did not happen")
