"""Hedged requests for a confirmation: sent while the last one is old, limited in number."""

import asyncio

import polling
import pytest

from flamingotiller import clock, configuration, errors, feed, hedge

MAX_AGE = clock.seconds(2)


@pytest.fixture
def manual_clock(monkeypatch):
    """Clock of the feed; the intervals of the hedge, in real time, are shortened."""
    monkeypatch.setattr(hedge, "CHECK_INTERVAL", clock.seconds(0.001))
    monkeypatch.setattr(hedge, "MAX_INTERVAL", clock.seconds(0.002))
    return clock.ManualClock(clock.seconds(100))


async def run_event_loop(count):
    """Lets the other tasks run a number of times."""
    for _ in range(count):
        await asyncio.sleep(0.002)


def run_scenario(manual_clock, request_confirmation, scenario):
    watched_feed = feed.Feed("a", "z", configuration.Configuration(), manual_clock)

    async def with_hedge():
        task = asyncio.ensure_future(
            hedge.ConfirmationHedge(watched_feed, MAX_AGE, request_confirmation).run()
        )
        try:
            await scenario(watched_feed)
        finally:
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)

    asyncio.run(asyncio.wait_for(with_hedge(), 30))


def test_confirmations_are_requested_only_while_the_last_is_old_also_after_errors(manual_clock):
    request_times = []

    async def request_confirmation():
        request_times.append(manual_clock.monotonic())
        raise errors.ConnectionLostError("no", step="feed", peer="b")

    async def scenario(watched_feed):
        # Before the first confirmation the subscription itself sends requests without a pause.
        await run_event_loop(20)
        assert not request_times
        watched_feed.confirm(0, manual_clock.monotonic())
        manual_clock.advance(MAX_AGE)
        await run_event_loop(20)
        assert not request_times
        manual_clock.advance(clock.seconds(0.1))
        await polling.wait_until(lambda: len(request_times) >= 5)
        watched_feed.confirm(0, manual_clock.monotonic())
        await run_event_loop(2)
        count = len(request_times)
        await run_event_loop(20)
        assert len(request_times) == count

    run_scenario(manual_clock, request_confirmation, scenario)


def test_number_of_unanswered_requests_is_limited(manual_clock):
    requests, never = [], asyncio.Event()

    async def request_confirmation():
        requests.append(1)
        await never.wait()

    async def scenario(watched_feed):
        watched_feed.confirm(0, manual_clock.monotonic())
        manual_clock.advance(2 * MAX_AGE)
        await polling.wait_until(lambda: len(requests) == hedge.MAX_UNANSWERED)
        await run_event_loop(20)
        assert len(requests) == hedge.MAX_UNANSWERED

    run_scenario(manual_clock, request_confirmation, scenario)
