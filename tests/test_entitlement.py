"""Shares of rate and burst while contracts and zones change under processes that lag."""

import asyncio
import itertools

import hypothesis
import hypothesis.stateful as stateful
import hypothesis.strategies as st
import pytest

from flamingotiller import clock, configuration, entitlement, feed, limiter

ZONES = ("a", "b", "c")
FRESHNESS_BOUND = clock.seconds(4)
STEP_S = 0.1


def deployment(zones):
    rows = [{"name": zone, "region": "r", "seats": [f"{zone}-1"]} for zone in zones]
    return {"zones": rows}


def contract(rate, burst):
    route = {"name": "n", "path": "/n", "service": "s", "idempotent": True}
    return {"organisation": "o", "rate": rate, "burst": burst, "routes": [route]}


class Holder:
    """A process that may hold the organisation's shard of a zone."""

    def __init__(self, zone, source, kind, numbers):
        self.numbers = numbers
        self.zone = zone
        self.clock = source
        self.kind = kind
        self.feed = feed.Feed(zone, zone, configuration.Configuration(), source)
        self.pool = None

    def is_fresh(self):
        return self.feed.is_fresh(FRESHNESS_BOUND)

    def get(self):
        """The pool as ``admission`` gets it."""
        now = self.clock.monotonic()
        if entitlement.share(self.feed.view, "o", self.zone) is None:
            return None
        if self.pool is None:
            first = entitlement.initial_share(self.feed, "o", self.zone)
            self.pool = limiter.TokenPool(self.kind(first, now, next(self.numbers)))
            self.pool.bucket.set_share(entitlement.share(self.feed.view, "o", self.zone), now)
        return self.pool

    def learn(self, parent):
        now, held = self.clock.monotonic(), self.feed.version
        answer = asyncio.run(parent.answer(self.feed.subscription(now=True)))
        self.feed.apply_answer(answer, now, "parent")
        if self.feed.version == held or not self.pool:
            return
        if "o" in self.feed.view.contract_by_organisation:
            entitlement.update_bucket(self.feed, "o", self.zone, self.pool.bucket, now)
        else:
            self.pool = None


class ChangesMachine(stateful.RuleBasedStateMachine):
    """Holders of three zones against one bucket with the largest terms that may be in force."""

    kind = limiter.EscrowBucket

    def __init__(self):
        super().__init__()
        self.clock = clock.ManualClock(clock.seconds(100))
        self.numbers = itertools.count(1, 1000)
        self.control = feed.Feed("c", "control", configuration.Configuration(), self.clock)
        self.number = 0
        self.terms = []
        self.level = None
        self.apply("deployment/main", deployment(ZONES))
        self.change_contract(100, 75)
        self.level = 75.0
        self.holders = [
            Holder(z, self.clock, self.kind, self.numbers) for z in ZONES for _ in range(2)
        ]
        self.turn = dict.fromkeys(ZONES, 0)
        self.loans = []
        self.told = []
        self.everybody_learns()

    def holder(self, zone):
        return self.holders[2 * ZONES.index(zone) + self.turn[zone]]

    def apply(self, subject, value):
        self.number += 1
        change = configuration.Change(f"c{self.number}", "a", "now", subject, None, value)
        self.control.state.apply(change)
        self.control.refresh()
        item = self.control.state.item_by_subject.get("contract/o")
        held = (item.value["rate"], item.value["burst"]) if item else (0, 0)
        self.terms.append((self.clock.monotonic(), *held))

    def in_force(self):
        """Largest rate and burst that some process may still act on."""
        ends = [at for at, _, _ in self.terms[1:]] + [None]
        now = self.clock.monotonic()
        rows = [
            row
            for row, end in zip(self.terms, ends, strict=True)
            if end is None or now - end <= FRESHNESS_BOUND + limiter.LOAN_LIFETIME
        ]
        return max(rate for _, rate, _ in rows), max(burst for _, _, burst in rows)

    def advance(self, seconds):
        while seconds > 1e-9:
            step = min(STEP_S, seconds)
            rate, burst = self.in_force()
            self.clock.advance(clock.seconds(step))
            self.level = min(burst, self.level + rate * step)
            seconds -= step

    def admitted(self):
        self.level -= 1
        assert self.level >= -1e-6, "more than rate and burst were admitted"

    @stateful.rule(seconds=st.sampled_from([0.001, 0.1, 0.9, 2.5, 7]))
    def time_passes(self, seconds):
        self.advance(seconds)
        self.control.confirm(self.control.version, self.clock.monotonic())

    @stateful.rule(rate=st.sampled_from([10, 100]), burst=st.sampled_from([20, 75, 300]))
    def change_contract(self, rate, burst):
        self.apply("contract/o", contract(rate, burst))

    @stateful.rule()
    def remove_contract(self):
        if "contract/o" in self.control.state.item_by_subject:
            self.apply("contract/o", None)

    @stateful.rule(zones=st.sampled_from([ZONES, ("a",), ("b",), ("b", "c"), ("a", "c")]))
    def change_zones(self, zones):
        self.apply("deployment/main", deployment(zones))

    @stateful.rule(child=st.integers(0, 5), parent=st.integers(-1, 5))
    def learn(self, child, parent):
        source = self.control if parent < 0 else self.holders[parent].feed
        if source is not self.holders[child].feed:
            self.holders[child].learn(source)

    @stateful.rule()
    def everybody_learns(self):
        self.control.confirm(self.control.version, self.clock.monotonic())
        for holder in self.holders:
            holder.learn(self.control)
        for zone in ZONES:
            self.holder(zone).get()

    @stateful.rule(zone=st.sampled_from(ZONES), times=st.sampled_from([1, 300]))
    def take(self, zone, times):
        holder = self.holder(zone)
        pool = holder.get() if holder.is_fresh() else None
        for _ in range(times if pool else 0):
            if not pool.take(self.clock.monotonic()):
                break
            self.admitted()
        if pool:
            self.told += pool.settlements(self.clock.monotonic())

    @stateful.rule(steps=st.sampled_from([5, 30]))
    def more_demand_than_the_rate(self, steps):
        for _ in range(steps):
            self.time_passes(0.1)
            for zone in ZONES:
                self.take(zone, 300)

    @stateful.rule(
        zones=st.sampled_from([ZONES, ("a",), ("b",), ("b", "c")]),
        learners=st.sets(st.integers(0, 5), max_size=4),
        moved=st.sets(st.sampled_from(ZONES), max_size=2),
    )
    def zones_change_under_load(self, zones, learners, moved):
        self.change_zones(zones)
        for learner in sorted(learners):
            self.learn(learner, -1)
        for zone in sorted(moved):
            self.shard_moves(zone)
        self.more_demand_than_the_rate(20)

    @stateful.rule(lender=st.sampled_from(ZONES), zone=st.sampled_from(ZONES))
    def borrow(self, lender, zone):
        source, holder = self.holder(lender), self.holder(zone)
        if lender == zone or not source.is_fresh() or not holder.is_fresh():
            return
        pool, borrower = source.get(), holder.get()
        if pool and borrower:
            now = self.clock.monotonic()
            borrower.borrow(lender, pool.bucket.lend(50, now), now, now)

    @stateful.rule(number=st.integers(0, 99), doubled=st.booleans())
    def settle(self, number, doubled):
        if not self.told:
            return
        lender, told = self.told[number % len(self.told)]
        if not doubled:
            self.told.remove((lender, told))
        pool = self.holder(lender).get()
        if pool:
            pool.bucket.settle(told, self.clock.monotonic())

    @stateful.rule(zone=st.sampled_from(ZONES))
    def shard_moves(self, zone):
        self.holder(zone).pool = None
        self.turn[zone] = 1 - self.turn[zone]

    @stateful.rule(zone=st.sampled_from(ZONES))
    def holder_restarts(self, zone):
        index = self.holders.index(self.holder(zone))
        self.holders[index] = Holder(zone, self.clock, self.kind, self.numbers)


ChangesMachine.TestCase.settings = hypothesis.settings(
    max_examples=150, stateful_step_count=50, deadline=None, derandomize=True
)
TestChanges = ChangesMachine.TestCase


def holder_begins_with_what_others_still_have(machine):
    """Zones go to one, whose new holder knows it while the others do not."""
    machine.zones_change_under_load(("a",), {0, 1}, {"a"})


def share_that_went_away_and_came_back_unseen(machine):
    """One holder stays on a change of zones that the others go past in one step."""
    machine.change_zones(("b",))
    machine.learn(2, -1)
    machine.time_passes(7)
    machine.learn(2, -1)
    machine.change_zones(ZONES)
    machine.learn(0, -1)
    machine.learn(4, -1)
    machine.more_demand_than_the_rate(30)


def restart_within_the_delay(machine):
    """A holder restarts right after the change and knows nothing of the time before."""
    machine.time_passes(7)
    machine.everybody_learns()
    machine.change_zones(("a",))
    machine.holder_restarts("a")
    machine.learn(0, -1)
    machine.more_demand_than_the_rate(20)


def late_word_on_a_loan_of_the_holder_before(machine):
    """The holder moves, and its successor hears that the old holder's loan was not spent."""
    machine.time_passes(7)
    machine.everybody_learns()
    machine.borrow("a", "b")
    machine.advance(0.9)
    machine.advance(0.2)
    machine.take("b", 0)
    machine.shard_moves("a")
    machine.everybody_learns()
    machine.advance(2)
    machine.everybody_learns()
    for zone in ZONES:
        machine.holder(zone).get()
    machine.borrow("a", "c")
    machine.settle(0, False)
    machine.take("a", 300)
    machine.take("b", 300)
    machine.take("c", 300)


def begins_with_the_present_share(source, organisation, zone):
    return entitlement.share(source.view, organisation, zone)


def forgets_what_it_did_not_see(row, organisation):
    return False


@pytest.mark.parametrize(
    ("name", "mistake", "history"),
    [
        ("initial_share", begins_with_the_present_share, holder_begins_with_what_others_still_have),
        ("may_have_skipped_terms", forgets_what_it_did_not_see, restart_within_the_delay),
        (
            "may_have_skipped_terms",
            forgets_what_it_did_not_see,
            share_that_went_away_and_came_back_unseen,
        ),
    ],
)
def test_planted_mistake_is_caught(monkeypatch, name, mistake, history):
    history(ChangesMachine())
    monkeypatch.setattr(entitlement, name, mistake)
    with pytest.raises(AssertionError):
        history(ChangesMachine())


def test_late_word_on_a_loan_of_an_earlier_bucket_is_not_taken_for_a_later_one():
    late_word_on_a_loan_of_the_holder_before(ChangesMachine())
    mistaken = ChangesMachine()
    for holder in mistaken.holders:
        holder.numbers = itertools.repeat(1)
    with pytest.raises(AssertionError):
        late_word_on_a_loan_of_the_holder_before(mistaken)
