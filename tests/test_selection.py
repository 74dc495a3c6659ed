"""Slot queues: slot limits, fairness, leaving endpoints and the ramp of spill."""

import random

import hypothesis
import hypothesis.stateful as stateful
import hypothesis.strategies as st
import pytest

from flamingotiller import clock, kernel, selection


def endpoint(name, slots=3, until=1e6, **fields):
    return selection.Endpoint(name, "s", f"addr-{name}", slots, 100, clock.seconds(until), **fields)


def waiter(organisation="o", deadline=1e6, **fields):
    return selection.Waiter(organisation, 1.0, clock.seconds(deadline), **fields)


def warmed_up_queue(*endpoints, now=1000):
    queue = selection.SlotQueue("s")
    for item in endpoints:
        queue.announce(item, clock.ZERO)
    return queue, clock.seconds(now)


class QueueMachine(stateful.RuleBasedStateMachine):
    """Requests arrive, wait, run, end and are withdrawn while endpoints announce and leave."""

    def __init__(self):
        super().__init__()
        self.now = clock.seconds(100)
        self.queue = selection.SlotQueue("s")
        self.waiting = []
        self.running = []
        self.left = set()
        self.session_by_name = {}
        self.session = 0

    @stateful.rule(name=st.sampled_from("ab"))
    def announce(self, name):
        self.session += 1
        until = self.now.total_seconds() + 3
        self.session_by_name[name] = str(self.session)
        self.queue.announce(endpoint(name, until=until, session=str(self.session)), self.now)
        self.left.discard(name)
        self.grant_waiting()

    @stateful.rule(name=st.sampled_from("ab"))
    def leave(self, name):
        self.queue.leave(name, self.session_by_name.get(name, "none"))
        self.left.add(name)

    @stateful.rule(organisation=st.sampled_from("xyz"), seconds=st.sampled_from([0.5, 5, 50]))
    def ask(self, organisation, seconds):
        item = waiter(organisation, self.now.total_seconds() + seconds)
        if self.queue.ask(item, self.now):
            self.waiting.append(item)
        self.grant_waiting()

    @stateful.rule()
    def spill(self):
        item = waiter(spill=True)
        if self.queue.ask(item, self.now):
            assert item.permit
            assert item.permit.endpoint not in self.left
            self.running.append(item)

    @stateful.rule(number=st.integers(0, 99))
    def end_request(self, number):
        if self.running:
            self.queue.release(self.running.pop(number % len(self.running)).permit.number)
            self.grant_waiting()

    @stateful.rule(number=st.integers(0, 99))
    def withdraw(self, number):
        if self.waiting:
            self.queue.withdraw(self.waiting.pop(number % len(self.waiting)))

    @stateful.rule(milliseconds=st.sampled_from([10, 700, 4000]))
    def time_passes(self, milliseconds):
        self.now += clock.seconds(milliseconds / 1000)
        self.queue.expire(self.now)
        self.grant_waiting()

    def grant_waiting(self):
        for item in self.queue.grant(self.now):
            self.waiting.remove(item)
            if item.permit:
                assert item.permit.endpoint not in self.left
                self.running.append(item)

    @stateful.invariant()
    def slots_are_never_exceeded(self):
        for name, state in self.queue.state_by_endpoint.items():
            assert state.used <= state.endpoint.slots, name
        assert self.queue.waiting == len(self.waiting)


QueueMachine.TestCase.settings = hypothesis.settings(
    max_examples=100, stateful_step_count=40, deadline=None, derandomize=True
)
TestQueue = QueueMachine.TestCase


def test_organisation_over_its_share_delays_only_itself():
    queue, now = warmed_up_queue(endpoint("a", slots=1))
    items = [waiter("large") for _ in range(50)] + [waiter("small") for _ in range(3)]
    for item in items:
        queue.ask(item, now)
    order = []
    for _ in range(10):
        granted = queue.grant(now)
        order += [item.organisation for item in granted if item.permit]
        for item in granted:
            if item.permit:
                queue.release(item.permit.number)
            else:
                assert item.displaced
                assert item.organisation == "large"
    assert order.count("small") == 3
    assert "small" in order[:3]


def test_leaving_endpoint_gets_no_requests_even_after_a_late_renewal():
    queue, now = warmed_up_queue(endpoint("a", session="1"))
    queue.leave("a", "1")
    queue.announce(endpoint("a", session="1"), now)
    queue.ask(waiter(), now)
    assert queue.grant(now) == []
    queue.announce(endpoint("a", session="2"), now)
    assert len(queue.grant(now)) == 1


def test_departure_is_kept_though_the_endpoint_is_not_known_or_its_announcement_has_run_out():
    """It was acknowledged and forgotten, so that a late announcement brought the endpoint back."""
    queue, now = warmed_up_queue(endpoint("a", session="1", until=1000))
    queue.leave("b", "1")
    queue.announce(endpoint("b", session="1"), now)
    assert "b" not in queue.state_by_endpoint
    queue.leave("a", "1")
    later = now + clock.seconds(2000)
    queue.expire(later)
    queue.announce(endpoint("a", session="1", until=5000), later)
    assert not queue.endpoints(later)
    queue.announce(endpoint("a", session="2", until=5000), later)
    assert [e.name for e in queue.endpoints(later)] == ["a"]


def test_late_departure_of_an_earlier_session_leaves_the_present_one():
    queue, now = warmed_up_queue(endpoint("a", session="2"))
    assert not queue.leave("a", "1")
    queue.ask(waiter(), now)
    assert len(queue.grant(now)) == 1


def test_new_endpoint_goes_through_slow_start():
    queue = selection.SlotQueue("s")
    queue.announce(endpoint("a", slots=8), clock.ZERO)
    for _ in range(8):
        queue.ask(waiter(), clock.ZERO)
    assert len(queue.grant(clock.ZERO)) == 1
    assert len(queue.grant(selection.SLOW_START / 2)) == 3
    assert len(queue.grant(selection.SLOW_START)) == 4


def test_spill_uses_free_slots_only_and_is_ramped_up():
    queue, now = warmed_up_queue(endpoint("a", slots=8))
    taken = 0
    by_second = []
    for second in range(6):
        at = now + clock.seconds(second)
        while queue.ask(waiter(spill=True), at):
            taken += 1
        by_second.append(taken)
    assert by_second == [2, 4, 6, 8, 8, 8]
    queue.ask(waiter(), now)
    assert not queue.ask(waiter(spill=True), now)


def test_suspects_run_at_different_endpoints():
    queue, now = warmed_up_queue(endpoint("a"), endpoint("b"))
    items = [waiter(fingerprint=str(n), suspect=True) for n in range(3)]
    for item in items:
        queue.ask(item, now)
    granted = queue.grant(now)
    assert sorted(item.permit.endpoint for item in granted) == ["a", "b"]


def test_endpoint_death_is_recorded_once():
    queue, now = warmed_up_queue(endpoint("a"))
    items = [waiter(fingerprint=str(n)) for n in range(3)]
    for item in items:
        queue.ask(item, now)
    queue.grant(now)
    assert sorted(queue.on_death(items[0].permit.number)) == ["0", "1", "2"]
    assert queue.on_death(items[1].permit.number) == []


def test_permit_of_a_crashed_instance_is_reclaimed():
    queue, now = warmed_up_queue(endpoint("a", slots=1))
    queue.ask(waiter(deadline=1001), now)
    queue.grant(now)
    queue.expire(clock.seconds(1001) + selection.PERMIT_GRACE)
    assert queue.in_flight() == 0


@pytest.mark.parametrize("name", ["random", "least_own", "two_choices", "least_reported"])
def test_local_policies_choose_a_given_endpoint_and_count_requests(name):
    kernel.load_plugins()
    policy = kernel.selection_policies.get(name)(random.Random(1))
    endpoints = [endpoint("a"), endpoint("b", load=2)]
    for _ in range(20):
        chosen = policy.choose(endpoints)
        assert chosen in endpoints
        policy.begin(chosen.name)
    policy.end(chosen.name)
    assert policy.in_flight("a") + policy.in_flight("b") == 19
