"""Admission: a holder that is not fresh answers only those who are not either."""

import asyncio
import random
import types

import pytest

from flamingotiller import admission, clock, configuration, errors, feed, kernel

DEPLOYMENT = {"zones": [{"name": "a", "region": "r", "seats": ["a-1"]}]}
ROUTE = {"name": "n", "path": "/n", "service": "s", "idempotent": True}
CONTRACT = {"organisation": "o", "rate": 100, "burst": 100, "routes": [ROUTE]}
BOUND = clock.seconds(4)


class Process:
    """A fake entry instance that holds every shard of its zone."""

    def __init__(self):
        kernel.load_plugins()
        self.clock = clock.ManualClock(clock.seconds(100))
        self.rng = random.Random(1)
        self.config = types.SimpleNamespace(zone="a", freshness_bound=BOUND)
        self.shards = types.SimpleNamespace(holds=lambda shard: True)
        self.feed = feed.Feed("a-1", "a", configuration.Configuration(), self.clock)
        self.apply("deployment/main", DEPLOYMENT)
        self.apply("contract/o", CONTRACT)
        self.admission = admission.Admission(self, "escrow")

    def apply(self, subject, value):
        number = str(self.feed.version)
        change = configuration.Change(number, "alice", "now", subject, None, value)
        self.feed.state.apply(change)
        self.feed.refresh()

    def ask(self, path, **fields):
        return asyncio.run(self.admission.on_message(path, {"organisation": "o", **fields}))


@pytest.fixture
def process():
    made = Process()
    made.feed.confirm(made.feed.version, made.clock.monotonic())
    made.admission.pool("o")
    made.clock.advance(clock.seconds(1))
    return made


def test_fresh_holder_gives_and_lends(process):
    assert process.ask("/v1/tokens/take", confirmed=True) == {"taken": True}
    assert process.ask("/v1/tokens/lend", wanted=5)["tokens"] == 5


def test_holder_that_is_not_fresh_serves_those_who_are_not_either(process):
    process.clock.advance(BOUND)
    with pytest.raises(errors.UnavailableError):
        process.ask("/v1/tokens/lend", wanted=5)
    with pytest.raises(errors.UnavailableError):
        process.ask("/v1/tokens/take", confirmed=True)
    assert process.ask("/v1/tokens/take", confirmed=False) == {"taken": True}
    process.feed.confirm(process.feed.version, process.clock.monotonic())
    assert process.ask("/v1/tokens/lend", wanted=5)["tokens"] == 5


def test_share_follows_a_version_at_once_and_ends_with_the_contract(process):
    process.apply("contract/o", {**CONTRACT, "burst": 20})
    process.admission.on_configuration_change()
    assert process.ask("/v1/tokens/lend", wanted=90)["tokens"] == 20
    process.apply("contract/o", None)
    process.admission.on_configuration_change()
    with pytest.raises(errors.NotFoundError):
        process.ask("/v1/tokens/take", confirmed=True)
    # Under a contract given anew nobody knows here what others still have of the old one.
    process.apply("contract/o", CONTRACT)
    process.admission.on_configuration_change()
    assert process.admission.pool("o").bucket.tokens(process.clock.monotonic()) == 0
    process.clock.advance(clock.seconds(1))
    process.feed.confirm(process.feed.version, process.clock.monotonic())
    assert 0 < process.ask("/v1/tokens/lend", wanted=500)["tokens"] <= 20
