"""Hedges: nothing is asked while the confirmation is young, several sources while it is old."""

import asyncio

import eventual
import pytest

from flamingotiller import clock, configuration, errors, feed, hedge

AFTER = clock.seconds(2)


@pytest.fixture
def source(monkeypatch):
    monkeypatch.setattr(hedge, "CHECK_INTERVAL", clock.seconds(0.001))
    monkeypatch.setattr(hedge, "MAX_INTERVAL", clock.seconds(0.002))
    return clock.ManualClock(clock.seconds(100))


async def turns(count):
    for _ in range(count):
        await asyncio.sleep(0.002)


def run(source, ask, scenario):
    held = feed.Feed("a", "z", configuration.Configuration(), source)

    async def whole():
        task = asyncio.ensure_future(hedge.ConfirmationHedge(held, AFTER, ask).run())
        try:
            await scenario(held)
        finally:
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)

    asyncio.run(asyncio.wait_for(whole(), 30))


def test_asks_only_while_the_confirmation_is_old_and_goes_on_after_errors(source):
    asked = []

    async def ask():
        asked.append(source.monotonic())
        raise errors.ConnectionLostError("no", step="feed", peer="b")

    async def scenario(held):
        # Before the first confirmation the subscription itself asks without a pause.
        await turns(20)
        assert not asked
        held.confirm(0, source.monotonic())
        source.advance(AFTER)
        await turns(20)
        assert not asked
        source.advance(clock.seconds(0.1))
        await eventual.holds(lambda: len(asked) >= 5)
        held.confirm(0, source.monotonic())
        await turns(2)
        count = len(asked)
        await turns(20)
        assert len(asked) == count

    run(source, ask, scenario)


def test_answers_that_do_not_come_bound_the_questions(source):
    asked, never = [], asyncio.Event()

    async def ask():
        asked.append(1)
        await never.wait()

    async def scenario(held):
        held.confirm(0, source.monotonic())
        source.advance(2 * AFTER)
        await eventual.holds(lambda: len(asked) == hedge.MAX_UNANSWERED)
        await turns(20)
        assert len(asked) == hedge.MAX_UNANSWERED

    run(source, ask, scenario)
