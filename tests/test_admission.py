"""Admission: a holder that is not fresh gives tokens only to instances that aren't fresh either."""

import asyncio
import random
import types

import pytest

from flamingotiller import admission, clock, configuration, errors, feed, kernel

DEPLOYMENT = {"zones": [{"name": "a", "region": "r", "seats": ["a-1"]}]}
ROUTE = {"name": "n", "path": "/n", "service": "s", "idempotent": True}
CONTRACT = {"organisation": "o", "rate": 100, "burst": 100, "routes": [ROUTE]}
FRESHNESS_BOUND = clock.seconds(4)


class FakeEntryInstance:
    """Stand-in for an entry instance that holds every shard of its zone."""

    def __init__(self):
        kernel.load_plugins()
        self.clock = clock.ManualClock(clock.seconds(100))
        self.rng = random.Random(1)
        self.config = types.SimpleNamespace(zone="a", freshness_bound=FRESHNESS_BOUND)
        self.shards = types.SimpleNamespace(holds=lambda shard: True)
        self.feed = feed.Feed("a-1", "a", configuration.Configuration(), self.clock)
        self.apply("deployment/main", DEPLOYMENT)
        self.apply("contract/o", CONTRACT)
        self.admission = admission.Admission(self, "escrow")

    def apply(self, subject, value):
        change_id = str(self.feed.version)
        change = configuration.Change(change_id, "alice", "now", subject, None, value)
        self.feed.state.apply(change)
        self.feed.refresh()

    def send(self, path, **fields):
        return asyncio.run(self.admission.on_message(path, {"organisation": "o", **fields}))


@pytest.fixture
def process():
    instance = FakeEntryInstance()
    instance.feed.confirm(instance.feed.version, instance.clock.monotonic())
    instance.admission.pool("o")
    instance.clock.advance(clock.seconds(1))
    return instance


def test_fresh_holder_gives_and_lends_tokens(process):
    assert process.send("/v1/tokens/take", confirmed=True) == {"taken": True}
    assert process.send("/v1/tokens/lend", wanted=5)["tokens"] == 5


def test_stale_holder_serves_only_stale_instances(process):
    process.clock.advance(FRESHNESS_BOUND)
    with pytest.raises(errors.UnavailableError):
        process.send("/v1/tokens/lend", wanted=5)
    with pytest.raises(errors.UnavailableError):
        process.send("/v1/tokens/take", confirmed=True)
    assert process.send("/v1/tokens/take", confirmed=False) == {"taken": True}
    process.feed.confirm(process.feed.version, process.clock.monotonic())
    assert process.send("/v1/tokens/lend", wanted=5)["tokens"] == 5


def test_share_shrinks_at_once_and_ends_with_the_contract(process):
    process.apply("contract/o", {**CONTRACT, "burst": 20})
    process.admission.on_configuration_change()
    assert process.send("/v1/tokens/lend", wanted=90)["tokens"] == 20
    process.apply("contract/o", None)
    process.admission.on_configuration_change()
    with pytest.raises(errors.NotFoundError):
        process.send("/v1/tokens/take", confirmed=True)
    # After the contract is restored the bucket starts empty: the holder does not know which shares
    # other processes still use under the removed contract.
    process.apply("contract/o", CONTRACT)
    process.admission.on_configuration_change()
    assert process.admission.pool("o").bucket.tokens(process.clock.monotonic()) == 0
    process.clock.advance(clock.seconds(1))
    process.feed.confirm(process.feed.version, process.clock.monotonic())
    assert 0 < process.send("/v1/tokens/lend", wanted=500)["tokens"] <= 20
