"""Slots: a holder that does not answer, late grants, and words on permits of earlier queues."""

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

ASK = slot_messages.Ask("s", "o", 5.0, zone="a")
HERE = slot_messages.Granted(7, "s", "e-here", "1.1.1.1:1", "holder", 1)
ELSEWHERE = slot_messages.Granted(9, "s", "e-else", "2.2.2.2:1", "other", 1)


class Client:
    """A fake client: answers by peer are futures that the test sets."""

    def __init__(self):
        self.answer_by_peer = {}
        self.calls = []

    async def call(self, peer, method, target, body=None, *, timeout):
        self.calls.append((peer, target, body))
        if target == "/v1/slots/release":
            return answer({})
        return await asyncio.shield(self.answer_by_peer[peer])


class Process:
    """A fake entry instance of zone a; the holder is another one, zone b has one instance."""

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
        self.shards = shards.Shards(self)
        self.shards.holds = lambda shard: False
        self.shards.holder_address = lambda shard: "holder"
        self.tasks = []
        self.slots = slots.Slots(self)

    def background(self, work):
        self.tasks.append(asyncio.ensure_future(work))


def answer(document):
    return types.SimpleNamespace(status=200, json=lambda: document, body=b"")


def granted(permit):
    return answer({"granted": dataclasses.asdict(permit)})


@pytest.fixture
def scenario(monkeypatch):
    monkeypatch.setattr(slots, "HOLDER_PATIENCE", clock.seconds(0.01))

    def run(work):
        async def whole():
            process = Process()
            loop = asyncio.get_running_loop()
            for peer in ("holder", "other"):
                process.client.answer_by_peer[peer] = loop.create_future()
            await work(process, process.client.answer_by_peer)
            await asyncio.gather(*process.tasks)

        asyncio.run(asyncio.wait_for(whole(), 30))

    return run


def test_holder_that_answers_is_the_only_one_asked(scenario):
    async def work(process, answers):
        answers["holder"].set_result(granted(HERE))
        assert await process.slots.ask(ASK) == HERE
        assert [peer for peer, _, _ in process.client.calls] == ["holder"]

    scenario(work)


def test_other_zones_are_asked_while_the_holder_is_silent(scenario):
    async def work(process, answers):
        answers["other"].set_result(granted(ELSEWHERE))
        assert await process.slots.ask(ASK) == ELSEWHERE
        assert process.shards.is_silent(0)
        # The next one does not wait for the holder first.
        process.client.calls.clear()
        slots.HOLDER_PATIENCE = clock.seconds(1000)
        assert await process.slots.ask(ASK) == ELSEWHERE
        process.clock.advance(breaker.OPEN_DURATION)
        assert not process.shards.is_silent(0)

    scenario(work)


def test_holder_that_answers_while_others_are_asked_wins_and_the_other_slot_goes_back(scenario):
    async def work(process, answers):
        question = asyncio.ensure_future(process.slots.ask(ASK))
        await polling.wait_until(lambda: len(process.client.calls) == 2)
        answers["holder"].set_result(granted(HERE))
        assert await question == HERE
        assert not process.shards.is_silent(0)
        answers["other"].set_result(granted(ELSEWHERE))
        await polling.wait_until(lambda: process.tasks)
        await asyncio.gather(*process.tasks)
        peer, target, body = process.client.calls[-1]
        assert (peer, target) == ("other", "/v1/slots/release")
        assert (body["number"], body["result"]) == (9, "unused")

    scenario(work)


def test_one_that_answers_others_meanwhile_is_busy_not_silent(scenario):
    async def work(process, answers):
        asked = process.clock.monotonic()
        process.clock.advance(clock.seconds(1))
        answers["holder"].set_result(granted(HERE))
        await process.slots.ask(ASK)
        process.shards.note_late(0, asked)
        assert not process.shards.is_silent(0)
        process.clock.advance(clock.seconds(1))
        process.shards.note_late(0, process.clock.monotonic())
        assert process.shards.is_silent(0)

    scenario(work)


def test_release_without_an_answer_is_said_again(scenario):
    async def work(process, answers):
        tries = []

        async def call(peer, method, target, body=None, *, timeout):
            tries.append(body["number"])
            if len(tries) < slots.RELEASE_TRIES:
                raise errors.ExchangeTimeoutError("no answer", step=target, peer=peer)
            return answer({})

        process.client.call = call
        await process.slots.release(HERE, slot_messages.Release(7, "s", "done"))
        assert tries == [7] * slots.RELEASE_TRIES

    scenario(work)


def test_late_release_of_a_queue_before_frees_nothing_of_the_next(scenario):
    async def work(process, answers):
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
        process.slots.release_here(slot_messages.Release(numbers[0], "s", "died"))
        assert process.slots.queue("s").in_flight() == 1

    scenario(work)


def holding(process, requests):
    """A queue of one endpoint with four slots, and the permits of some requests."""
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
    for shard in range(lease.SHARDS):
        process.slots.on_shard_lost(shard)


def test_new_holder_leaves_the_slots_of_the_one_before_alone(scenario, monkeypatch):
    monkeypatch.setattr(handover, "ASK_INTERVAL", clock.seconds(0.001))
    monkeypatch.setattr(handover, "QUIET_ROUNDS", 10_000)

    async def work(before, answers):
        _, numbers = holding(before, 3)
        assert len(numbers) == 3
        lose_all_shards(before)
        after = Process()
        member = types.SimpleNamespace(address="before")
        after.table.live = lambda now: [member]
        after.table.own = None

        async def call(peer, method, target, body=None, *, timeout):
            assert (peer, target) == ("before", "/v1/slots/inherited")
            return answer(before.slots.handover.on_question(body))

        after.client.call = call
        after.slots.queue("s")
        await polling.wait_until(lambda: after.slots.queue("s")._inherited_by_name)
        queue, granted = holding(after, 4)
        assert len(granted) == 1
        # Releases still go to the holder that granted, and the successor hears of them.
        before.slots.release_here(slot_messages.Release(numbers[0], "s", "done"))
        before.slots.release_here(slot_messages.Release(numbers[0], "s", "done"))
        await polling.wait_until(lambda: queue._inherited_by_name == {"e": 2})
        assert len(queue.grant(after.clock.monotonic())) == 1
        for number in numbers[1:]:
            before.slots.release_here(slot_messages.Release(number, "s", "done"))
        await polling.wait_until(lambda: not queue._inherited_by_name)
        for task in after.tasks + before.tasks:
            task.cancel()
        before.tasks.clear()

    scenario(work)


def test_retired_queue_is_forgotten_with_its_last_permit_or_deadline(scenario, monkeypatch):
    monkeypatch.setattr(handover, "ASK_INTERVAL", clock.seconds(0.001))

    async def work(process, answers):
        _, numbers = holding(process, 2)
        lose_all_shards(process)
        assert process.slots.handover.counts("s") == {"e": 2}
        assert process.slots.handover.counts("other") == {}
        process.slots.release_here(slot_messages.Release(numbers[0], "s", "done"))
        assert process.slots.handover.counts("s") == {"e": 1}
        process.clock.advance(clock.seconds(5) + selection.PERMIT_GRACE)
        await process.slots.handover.wait_released(clock.seconds(1))
        assert process.slots.handover.queue_of(numbers[1]) is None

    scenario(work)


def test_death_told_after_the_shard_has_moved_is_noted(scenario, monkeypatch):
    monkeypatch.setattr(handover, "ASK_INTERVAL", clock.seconds(0.001))

    async def work(process, answers):
        noted = []
        process.slots.suspicion.on_death = lambda queue, number, name: noted.append((number, name))
        _, numbers = holding(process, 1)
        lose_all_shards(process)
        process.slots.queue("s")
        process.slots.release_here(slot_messages.Release(numbers[0], "s", "died"))
        assert noted == [(numbers[0], "e")]

    scenario(work)
