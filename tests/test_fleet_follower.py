"""Choice of the steward to poll: the nearest that responds, with backoff after failures."""

import asyncio

import pytest

from flamingotiller import clock, errors
from flamingotiller.fleet import follower


class FakePeerClient:
    """Returns a document, or raises an error, by peer."""

    def __init__(self, outcomes):
        self.outcomes = outcomes
        self.polled = []

    async def call(self, peer, method, target, body, *, timeout):
        self.polled.append(peer)
        outcome = self.outcomes[peer]
        if isinstance(outcome, Exception):
            raise outcome
        return _FakeResponse(outcome)


class _FakeResponse:
    status = 200

    def __init__(self, document):
        self.document = document

    def json(self):
        return self.document


DISTANCE_BY_PEER = {"own": 0, "region": 1, "far": 2}
CURRENT = {"age_s": 0.2, "members": ["own", "region", "far"]}
TIMED_OUT = errors.ExchangeTimeoutError("no response", step="follow", peer="")
UNAVAILABLE = errors.UnavailableError("not sure", step="follow")


@pytest.fixture(autouse=True)
def no_retry_pause(monkeypatch):
    monkeypatch.setattr(follower, "RETRY_PAUSE", clock.ZERO)


def run_steps(
    outcomes, steps, clk=None, distance=DISTANCE_BY_PEER.__getitem__, interval=clock.seconds(0.1)
):
    clk = clk or clock.ManualClock(clock.seconds(50))
    peer_client = FakePeerClient(outcomes)
    failures = []
    poller = follower.Follower(
        peer_client,
        list(DISTANCE_BY_PEER),
        clk,
        dict,
        lambda *_: None,
        distance,
        lambda: failures.append(1),
    )

    async def work():
        for _ in range(steps):
            await poller.step()
            clk.advance(interval)

    asyncio.run(work())
    return peer_client.polled, poller, failures


def test_nearest_steward_is_polled_and_its_reported_age_is_subtracted():
    polled, poller, failures = run_steps({"own": CURRENT, "region": CURRENT, "far": CURRENT}, 5)
    assert polled == ["own"] * 5
    assert poller.confirmed_at == clock.seconds(50.4 - 0.2)
    assert failures == []


def test_unreachable_nearest_steward_costs_few_timeouts():
    """Frozen steward: over six seconds of polls its gateways use the next nearest instead."""
    polled, _, failures = run_steps({"own": TIMED_OUT, "region": CURRENT, "far": CURRENT}, 60)
    assert polled.count("own") == len(failures) <= 2
    assert set(polled) == {"own", "region"}


def test_unavailable_steward_is_polled_again_soon():
    polled, _, _ = run_steps({"own": UNAVAILABLE, "region": CURRENT, "far": CURRENT}, 20)
    assert 2 <= polled.count("own") <= 4


def test_all_stewards_are_polled_in_turn_when_none_responds():
    """All stewards restart: backoff must not keep any of them from being polled."""
    polled, _, _ = run_steps(dict.fromkeys(DISTANCE_BY_PEER, TIMED_OUT), 12)
    assert {peer: polled[3:].count(peer) for peer in DISTANCE_BY_PEER} == dict.fromkeys(
        DISTANCE_BY_PEER, 3
    )


def test_change_of_source_does_not_increase_staleness():
    outcomes = {"own": {"age_s": 0.0}, "region": {"age_s": 0.9}, "far": {"age_s": 0.9}}
    clk = clock.ManualClock(clock.seconds(50))
    poller = follower.Follower(
        FakePeerClient(outcomes),
        list(DISTANCE_BY_PEER),
        clk,
        dict,
        lambda *_: None,
        DISTANCE_BY_PEER.__getitem__,
    )
    asyncio.run(poller.step())
    before = poller.confirmed_at
    outcomes["own"] = UNAVAILABLE
    clk.advance(clock.seconds(0.3))
    asyncio.run(poller.step())
    asyncio.run(poller.step())
    assert poller.confirmed_at == before
