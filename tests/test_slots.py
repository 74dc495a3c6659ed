"""Slot allocation: silent holders, late grants, and releases of permits of earlier queues."""

import asyncio
import dataclasses
import random
import types

import polling
import pytest

from flamingotiller import (
    breaker,
    clock,
    errors,
    handover,
    lease,
    selection,
    shards,
    slot_messages,
    slots,
)

REQUEST = slot_messages.SlotRequest("s", "o", 5.0, zone="a")
HOLDER_GRANT = slot_messages.SlotGrant(7, "s", "e-here", "1.1.1.1:1", "holder", 1)
SPILL_GRANT = slot_messages.SlotGrant(9, "s", "e-else", "2.2.2.2:1", "other", 1)


class Client:
    """A fake client whose responses are futures, by peer, that the test resolves."""

    def __init__(self):
        self.response_by_peer = {}
        self.calls = []

    async def call(self, peer, method, target, body=None, *, timeout):
        self.calls.append((peer, target, body))
        if target == "/v1/slots/release":
            return response({})
        return await asyncio.shield(self.response_by_peer[peer])


class Process:
    """A fake entry instance of zone a that holds no shard; zone b has one instance."""

    def __init__(self):
        self.address = "self"
        self.clock = clock.ManualClock(clock.seconds(100))
        self.rng = random.Random(1)
        self.client = Client()
        zones = {z: types.SimpleNamespace(region="r", name=z) for z in "ab"}
        deployment = types.SimpleNamespace(zones_by_name=zones)
        view = types.SimpleNamespace(
            deployment=deployment, contract_by_organisation={}, drained=set(), version=1
        )
        self.feed = types.SimpleNamespace(view=view, version=1)
        self.table = types.SimpleNamespace(
            addresses_in=lambda zone: ["other"] if zone == "b" else [], live=lambda now: []
        )
        self.config = types.SimpleNamespace(zone="a", instance="self", lease=clock.seconds(4))
        self.shards = shards.ShardLeases(self)
        self.shards.holds = lambda shard: False
        self.shards.holder_address = lambda shard: "holder"
        self.tasks = []
        self.slots = slots.SlotManager(self)

    def run_in_background(self, coroutine):
        self.tasks.append(asyncio.ensure_future(coroutine))


def response(document):
    return types.SimpleNamespace(status=200, json=lambda: document, body=b"")


def granted(permit):
    return response({"granted": dataclasses.asdict(permit)})


@pytest.fixture
def scenario(monkeypatch):
    monkeypatch.setattr(slots, "HOLDER_HEDGE_DELAY", clock.seconds(0.01))

    def run(steps):
        async def main():
            process = Process()
            loop = asyncio.get_running_loop()
            for peer in ("holder", "other"):
                process.client.response_by_peer[peer] = loop.create_future()
            await steps(process, process.client.response_by_peer)
            await asyncio.gather(*process.tasks)

        asyncio.run(asyncio.wait_for(main(), 30))

    return run


def test_holder_that_answers_is_the_only_one_asked(scenario):
    async def steps(process, responses):
        responses["holder"].set_result(granted(HOLDER_GRANT))
        assert await process.slots.ask(REQUEST) == HOLDER_GRANT
        assert [peer for peer, _, _ in process.client.calls] == ["holder"]

    scenario(steps)


def test_other_zones_are_asked_while_the_holder_is_silent(scenario):
    async def steps(process, responses):
        responses["other"].set_result(granted(SPILL_GRANT))
        assert await process.slots.ask(REQUEST) == SPILL_GRANT
        assert process.shards.is_holder_unresponsive(0)
        # The next request does not wait for the silent holder first.
        process.client.calls.clear()
        slots.HOLDER_HEDGE_DELAY = clock.seconds(1000)
        assert await process.slots.ask(REQUEST) == SPILL_GRANT
        process.clock.advance(breaker.OPEN_DURATION)
        assert not process.shards.is_holder_unresponsive(0)

    scenario(steps)


def test_holder_answering_during_spill_wins_and_the_spilled_slot_is_released(scenario):
    async def steps(process, responses):
        pending = asyncio.ensure_future(process.slots.ask(REQUEST))
        await polling.wait_until(lambda: len(process.client.calls) == 2)
        responses["holder"].set_result(granted(HOLDER_GRANT))
        assert await pending == HOLDER_GRANT
        assert not process.shards.is_holder_unresponsive(0)
        responses["other"].set_result(granted(SPILL_GRANT))
        await polling.wait_until(lambda: process.tasks)
        await asyncio.gather(*process.tasks)
        peer, target, body = process.client.calls[-1]
        assert (peer, target) == ("other", "/v1/slots/release")
        assert (body["number"], body["result"]) == (9, "unused")

    scenario(steps)


def test_holder_that_answered_another_request_is_not_silent(scenario):
    async def steps(process, responses):
        sent_at = process.clock.monotonic()
        process.clock.advance(clock.seconds(1))
        responses["holder"].set_result(granted(HOLDER_GRANT))
        await process.slots.ask(REQUEST)
        process.shards.record_slow_holder(0, sent_at)
        assert not process.shards.is_holder_unresponsive(0)
        process.clock.advance(clock.seconds(1))
        process.shards.record_slow_holder(0, process.clock.monotonic())
        assert process.shards.is_holder_unresponsive(0)

    scenario(steps)


def test_unacknowledged_release_is_retried(scenario):
    async def steps(process, responses):
        attempts = []

        async def call(peer, method, target, body=None, *, timeout):
            attempts.append(body["number"])
            if len(attempts) < slots.RELEASE_ATTEMPTS:
                raise errors.ExchangeTimeoutError("no answer", step=target, peer=peer)
            return response({})

        process.client.call = call
        await process.slots.release(HOLDER_GRANT, slot_messages.SlotRelease(7, "s", "done"))
        assert attempts == [7] * slots.RELEASE_ATTEMPTS

    scenario(steps)


def test_late_release_for_an_earlier_queue_frees_no_slot_of_the_current_one(scenario):
    async def steps(process, responses):
        numbers = []
        for _ in range(2):
            queue = process.slots.queue("s")
            now = process.clock.monotonic()
            queue.announce(
                selection.Endpoint("e", "s", "1.1.1.1:1", 1, 10, now + clock.seconds(3)), now
            )
            waiter = selection.Waiter("o", 1.0, now + clock.seconds(5))
            assert queue.ask(waiter, now)
            queue.grant(now)
            numbers.append(waiter.permit.number)
            if len(numbers) == 1:
                process.slots.on_shard_lost(0)
                for shard in range(1, 8):
                    process.slots.on_shard_lost(shard)
        process.slots.release_local(slot_messages.SlotRelease(numbers[0], "s", "died"))
        assert process.slots.queue("s").in_flight() == 1

    scenario(steps)


def queue_with_permits(process, requests):
    """Returns a queue of one endpoint with four slots, and the numbers of the granted permits."""
    queue = process.slots.queue("s")
    now = process.clock.monotonic()
    until = now + clock.seconds(1000)
    queue.announce(selection.Endpoint("e", "s", "1.1.1.1:1", 4, 10, until), now)
    now = process.clock.advance(selection.SLOW_START)
    waiters = [selection.Waiter("o", 1.0, now + clock.seconds(5)) for _ in range(requests)]
    for waiter in waiters:
        queue.ask(waiter, now)
    queue.grant(now)
    return queue, [waiter.permit.number for waiter in waiters if waiter.permit]


def lose_all_shards(process):
    for shard in range(lease.SHARD_COUNT):
        process.slots.on_shard_lost(shard)


def test_new_holder_does_not_grant_slots_in_use_from_the_previous_holder(scenario, monkeypatch):
    monkeypatch.setattr(handover, "POLL_INTERVAL", clock.seconds(0.001))
    monkeypatch.setattr(handover, "EMPTY_ROUNDS_TO_STOP", 10_000)

    async def steps(old_holder, responses):
        _, numbers = queue_with_permits(old_holder, 3)
        assert len(numbers) == 3
        lose_all_shards(old_holder)
        new_holder = Process()
        member = types.SimpleNamespace(address="old-holder")
        new_holder.table.live = lambda now: [member]
        new_holder.table.own = None

        async def call(peer, method, target, body=None, *, timeout):
            assert (peer, target) == ("old-holder", "/v1/slots/inherited")
            return response(old_holder.slots.handover.on_inherited_request(body))

        new_holder.client.call = call
        new_holder.slots.queue("s")
        await polling.wait_until(lambda: new_holder.slots.queue("s")._inherited_by_name)
        queue, granted = queue_with_permits(new_holder, 4)
        assert len(granted) == 1
        # Releases still go to the holder that granted the permits; the new holder learns of them
        # by asking. A repeated release is counted once.
        old_holder.slots.release_local(slot_messages.SlotRelease(numbers[0], "s", "done"))
        old_holder.slots.release_local(slot_messages.SlotRelease(numbers[0], "s", "done"))
        await polling.wait_until(lambda: queue._inherited_by_name == {"e": 2})
        assert len(queue.grant(new_holder.clock.monotonic())) == 1
        for number in numbers[1:]:
            old_holder.slots.release_local(slot_messages.SlotRelease(number, "s", "done"))
        await polling.wait_until(lambda: not queue._inherited_by_name)
        for task in new_holder.tasks + old_holder.tasks:
            task.cancel()
        old_holder.tasks.clear()

    scenario(steps)


def test_retired_queue_is_dropped_once_its_permits_are_released_or_expired(scenario, monkeypatch):
    monkeypatch.setattr(handover, "POLL_INTERVAL", clock.seconds(0.001))

    async def steps(process, responses):
        _, numbers = queue_with_permits(process, 2)
        lose_all_shards(process)
        assert process.slots.handover.counts("s") == {"e": 2}
        assert process.slots.handover.counts("other") == {}
        process.slots.release_local(slot_messages.SlotRelease(numbers[0], "s", "done"))
        assert process.slots.handover.counts("s") == {"e": 1}
        process.clock.advance(clock.seconds(5) + selection.PERMIT_GRACE)
        await process.slots.handover.wait_released(clock.seconds(1))
        assert process.slots.handover.queue_of(numbers[1]) is None

    scenario(steps)


def test_endpoint_crash_reported_after_the_shard_moved_is_recorded(scenario, monkeypatch):
    monkeypatch.setattr(handover, "POLL_INTERVAL", clock.seconds(0.001))

    async def steps(process, responses):
        noted = []
        process.slots.suspicion.on_death = lambda queue, number, name: noted.append((number, name))
        _, numbers = queue_with_permits(process, 1)
        lose_all_shards(process)
        process.slots.queue("s")
        process.slots.release_local(slot_messages.SlotRelease(numbers[0], "s", "died"))
        assert noted == [(numbers[0], "e")]

    scenario(steps)
