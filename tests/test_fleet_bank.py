"""Tokens of organisations' rates: never more in any window than the contract and its tolerance,
whoever restarts, is cut off or frozen; and no refusal within the contract when demand moves."""

import collections
import random

import hypothesis
import hypothesis.stateful
import hypothesis.strategies as st
import pytest

from flamingotiller import clock
from flamingotiller.fleet import bank, model, quota

TOLERANCE = bank.Tolerance(clock.seconds(5), overage=0.1, slack=20)
RATE, BURST = 40.0, 40.0
# What the platform's rule allows in a window.
BOUND = (RATE * 5 + BURST) * 1.1 + 20


def organisation(rate=RATE, burst=BURST):
    return model.Organisation("o", (), 0, rate, burst, frozenset())


class Fleet:
    """Gateways and leaders, and every request that has passed."""

    def __init__(self, gateways, leader=None):
        self.now = clock.seconds(100)
        self.leader = leader or bank.Bank(TOLERANCE, self.now - clock.seconds(100))
        self.quota_by_gateway = {f"g{i}": quota.Quota(self.now) for i in range(gateways)}
        self.passed = collections.deque()
        self.refused = 0

    def poll(self, name, lost=False):
        for org, claim in self.quota_by_gateway[name].claims(self.now).items():
            self._draw(name, org, claim, lost)

    def _draw(self, name, org, claim, lost=False):
        draw = bank.Draw(name, claim.stock, claim.wanted)
        given = self.leader.draw(org, draw, RATE, BURST, self.now)
        if not lost:
            self.quota_by_gateway[name].receive(org, given)
        return given

    def request(self, name, in_touch=True):
        stock = self.quota_by_gateway[name]
        passes = stock.arrive(organisation())
        if not passes and in_touch and stock.may_draw("o", self.now):
            if not self._draw(name, "o", stock.claim("o")):
                stock.deny("o", self.now)
            passes = stock.take_drawn("o")
        if passes:
            self.passed.append(self.now)
        else:
            self.refused += 1
        return passes

    def check(self):
        while self.passed and self.now - self.passed[0] > clock.seconds(5):
            self.passed.popleft()
        assert len(self.passed) <= BOUND


class Tokens(hypothesis.stateful.RuleBasedStateMachine):
    """Gateways that poll, are cut off, freeze and restart, under leaders that change."""

    def __init__(self):
        super().__init__()
        self.fleet = Fleet(4)
        self.cut = set()

    names = st.sampled_from([f"g{i}" for i in range(4)])

    @hypothesis.stateful.rule(name=names, count=st.integers(1, 150))
    def requests(self, name, count):
        for _ in range(count):
            self.fleet.request(name, name not in self.cut)

    @hypothesis.stateful.rule(name=names, lost=st.booleans())
    def poll(self, name, lost):
        if name not in self.cut:
            self.fleet.poll(name, lost)

    @hypothesis.stateful.rule(ms=st.sampled_from([20, 300, 1500, 6000]))
    def passes(self, ms):
        self.fleet.now += clock.seconds(ms / 1000)

    @hypothesis.stateful.rule(name=names)
    def toggle_cut(self, name):
        self.cut ^= {name}

    @hypothesis.stateful.rule(name=names)
    def restart(self, name):
        self.fleet.quota_by_gateway[name] = quota.Quota(self.fleet.now)

    @hypothesis.stateful.rule()
    def new_leader(self):
        # The lease of the old one has kept it from giving anything for a moment.
        self.fleet.leader = bank.Bank(TOLERANCE, self.fleet.now)

    @hypothesis.stateful.invariant()
    def window_is_kept(self):
        self.fleet.check()


TestTokens = Tokens.TestCase
TestTokens.settings = hypothesis.settings(
    derandomize=True, max_examples=120, stateful_step_count=40, deadline=None
)


def test_planted_mistake_of_a_leader_that_begins_with_a_full_account_is_caught():
    fleet = Fleet(2)
    with pytest.raises(AssertionError):
        for _ in range(4):
            for _ in range(300):
                fleet.request("g0")
            fleet.leader = bank.Bank(TOLERANCE, fleet.now - clock.seconds(100))
            fleet.now += clock.seconds(0.2)
            fleet.check()


@pytest.mark.parametrize(
    "pattern", ["uniform", "one gateway", "moves every second", "bursts after idleness"]
)
def test_no_request_within_the_contract_is_refused_wherever_it_arrives(pattern):
    """Moved clients, regional waves: the demand is 0.8 of the rate, its place changes."""
    rng = random.Random(7)
    fleet = Fleet(16)
    names = list(fleet.quota_by_gateway)
    for step in range(2000):
        fleet.now += clock.seconds(0.02)
        second = step * 0.02
        arrivals = 1 if rng.random() < RATE * 0.8 * 0.02 else 0
        if pattern == "bursts after idleness":
            arrivals = 40 if step % 250 == 249 else 0
        for _ in range(arrivals):
            spot = {
                "uniform": rng.randrange(16),
                "one gateway": 3,
                "moves every second": int(second) % 16,
                "bursts after idleness": int(second / 5) % 16,
            }[pattern]
            fleet.request(names[spot])
        if step % 17 == 0:
            for name in names:
                fleet.poll(name)
        fleet.check()
    assert fleet.refused == 0


def test_hot_organisation_is_held_to_its_contract_and_gets_all_of_it():
    """Hot organisation: eight times the rate over all gateways."""
    rng = random.Random(3)
    fleet = Fleet(16)
    names = list(fleet.quota_by_gateway)
    passed = 0
    for step in range(3000):
        fleet.now += clock.seconds(0.01)
        for _ in range(3):
            passed += fleet.request(rng.choice(names))
        if step % 30 == 0:
            for name in names:
                fleet.poll(name)
        fleet.check()
    allowed = 30 * RATE
    assert passed >= 0.95 * allowed


def test_unlimited_organisations_need_no_tokens():
    stock = quota.Quota(clock.ZERO)
    assert all(stock.arrive(organisation(rate=0.0)) for _ in range(100))
    assert stock.claims(clock.seconds(1)) == {}


def test_token_of_a_refused_request_is_used_by_the_next():
    stock = quota.Quota(clock.ZERO)
    stock.receive("o", 1)
    assert stock.arrive(organisation())
    assert not stock.arrive(organisation())
    stock.give_back("o")
    assert stock.arrive(organisation())
