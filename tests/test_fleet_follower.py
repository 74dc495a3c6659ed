"""Followers: the nearest steward that answers, and not the silent one again and again."""

import asyncio

import pytest

from flamingotiller import clock, errors
from flamingotiller.fleet import follower


class Peers:
    """Answers by peer: a document, or an error to raise."""

    def __init__(self, answers):
        self.answers = answers
        self.asked = []

    async def call(self, peer, method, target, body, *, timeout):
        self.asked.append(peer)
        found = self.answers[peer]
        if isinstance(found, Exception):
            raise found
        return _Answer(found)


class _Answer:
    status = 200

    def __init__(self, document):
        self.document = document

    def json(self):
        return self.document


DISTANCE = {"own": 0, "region": 1, "far": 2}
CURRENT = {"age_s": 0.2, "members": ["own", "region", "far"]}
SILENT = errors.ExchangeTimeoutError("no answer", step="follow", peer="")
UNSURE = errors.UnavailableError("not sure", step="follow")


@pytest.fixture(autouse=True)
def no_pause(monkeypatch):
    monkeypatch.setattr(follower, "RETRY_PAUSE", clock.ZERO)


def follow(answers, steps, clk=None, prefer=DISTANCE.__getitem__, between=clock.seconds(0.1)):
    clk = clk or clock.ManualClock(clock.seconds(50))
    peers = Peers(answers)
    lost = []
    made = follower.Follower(
        peers, list(DISTANCE), clk, dict, lambda *_: None, prefer, lambda: lost.append(1)
    )

    async def work():
        for _ in range(steps):
            await made.step()
            clk.advance(between)

    asyncio.run(work())
    return peers.asked, made, lost


def test_nearest_steward_is_followed_and_its_own_age_counts():
    asked, made, lost = follow({"own": CURRENT, "region": CURRENT, "far": CURRENT}, 5)
    assert asked == ["own"] * 5
    assert made.confirmed_at == clock.seconds(50.4 - 0.2)
    assert lost == []


def test_silent_nearest_steward_costs_few_timeouts():
    """Frozen steward: for six seconds its gateways follow the next nearest."""
    asked, _, lost = follow({"own": SILENT, "region": CURRENT, "far": CURRENT}, 60)
    assert asked.count("own") == len(lost) <= 2
    assert set(asked) == {"own", "region"}


def test_steward_that_is_not_sure_is_asked_again_soon():
    asked, _, _ = follow({"own": UNSURE, "region": CURRENT, "far": CURRENT}, 20)
    assert 2 <= asked.count("own") <= 4


def test_when_none_answers_all_are_asked_in_turn():
    """All stewards restart: none may wait for the avoidance of another."""
    asked, _, _ = follow(dict.fromkeys(DISTANCE, SILENT), 12)
    assert {peer: asked[3:].count(peer) for peer in DISTANCE} == dict.fromkeys(DISTANCE, 3)


def test_knowledge_never_grows_older_by_a_change_of_source():
    answers = {"own": {"age_s": 0.0}, "region": {"age_s": 0.9}, "far": {"age_s": 0.9}}
    clk = clock.ManualClock(clock.seconds(50))
    made = follower.Follower(
        Peers(answers), list(DISTANCE), clk, dict, lambda *_: None, DISTANCE.__getitem__
    )
    asyncio.run(made.step())
    before = made.confirmed_at
    answers["own"] = UNSURE
    clk.advance(clock.seconds(0.3))
    asyncio.run(made.step())
    asyncio.run(made.step())
    assert made.confirmed_at == before
