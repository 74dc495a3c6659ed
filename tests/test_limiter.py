"""Rate and burst: never over the contract across zones, whatever happens to the transfers."""

import hypothesis
import hypothesis.stateful as stateful
import hypothesis.strategies as st
import pytest

from flamingotiller import clock, limiter

ZONES = 3


class EscrowMachine(stateful.RuleBasedStateMachine):
    """Shares of one organisation in three zones against one bucket that sees everything."""

    kind = limiter.EscrowBucket
    rate = 6.0
    burst = 12.0

    def __init__(self):
        super().__init__()
        self.now = clock.seconds(10)
        self.pools = [self.new() for _ in range(ZONES)]
        self.loans = []
        self.told = []
        # The oracle: one bucket of the whole contract, full at the start.
        self.level = self.burst
        self.level_at = self.now

    def new(self):
        share = limiter.Share(self.rate / ZONES, self.burst / ZONES)
        return limiter.TokenPool(self.kind(share, self.now))

    def admitted(self):
        gained = (self.now - self.level_at).total_seconds() * self.rate
        self.level = min(self.burst, self.level + gained) - 1
        self.level_at = self.now
        assert self.level >= -1e-6, "more than rate and burst were admitted"

    @stateful.rule(milliseconds=st.sampled_from([1, 20, 300, 900, 2500, 9000]))
    def time_passes(self, milliseconds):
        self.now += clock.seconds(milliseconds / 1000)

    @stateful.rule(zone=st.integers(0, ZONES - 1), times=st.integers(1, 8))
    def take(self, zone, times):
        for _ in range(times):
            if self.pools[zone].take(self.now):
                self.admitted()
        self.told += self.pools[zone].settlements(self.now)

    @stateful.rule(
        lender=st.integers(0, ZONES - 1),
        zone=st.integers(0, ZONES - 1),
        wanted=st.floats(0.5, 8),
        lag=st.sampled_from([0, 0.02, 0.5]),
    )
    def ask(self, lender, zone, wanted, lag):
        if lender != zone:
            asked = self.now
            self.now += clock.seconds(lag)
            loan = self.pools[lender].bucket.lend(wanted, self.now)
            self.loans.append((lender, zone, loan, asked))

    @stateful.rule(number=st.integers(0, 99))
    def arrive(self, number):
        if self.loans:
            lender, zone, loan, asked = self.loans.pop(number % len(self.loans))
            self.pools[zone].borrow(str(lender), loan, asked, self.now)

    @stateful.rule(number=st.integers(0, 99), doubled=st.booleans())
    def settle(self, number, doubled):
        if not self.told:
            return
        lender, told = self.told[number % len(self.told)]
        if not doubled:
            self.told.remove((lender, told))
        self.pools[int(lender)].bucket.settle(told, self.now)

    @stateful.rule(number=st.integers(0, 99))
    def lose_message(self, number):
        if self.loans:
            self.loans.pop(number % len(self.loans))
        if self.told:
            self.told.pop(number % len(self.told))

    @stateful.rule(zone=st.integers(0, ZONES - 1))
    def holder_restarts_or_moves(self, zone):
        self.pools[zone] = self.new()
        # Numbers of the old bucket mean nothing to the new one.
        self.told = [item for item in self.told if item[0] != str(zone)]

    @stateful.invariant()
    def shares_fit(self):
        present = sum(pool.bucket.tokens(self.now) for pool in self.pools)
        assert present <= self.burst + 1e-6


EscrowMachine.TestCase.settings = hypothesis.settings(
    max_examples=100, stateful_step_count=50, deadline=None, derandomize=True
)
TestEscrow = EscrowMachine.TestCase


class FullAfterRestart(limiter.EscrowBucket):
    """Mistake: a bucket that starts full, so that a restart doubles its tokens."""

    def __init__(self, share, now):
        super().__init__(share, now)
        self._tokens = share.burst


class CreditsBeforeDebit(limiter.EscrowBucket):
    """Mistake: lends tokens without debiting them."""

    def lend(self, wanted, now):
        self._refill(now)
        return limiter.Loan(1, min(wanted, self._tokens))


class ForgetsLoans(limiter.EscrowBucket):
    """Mistake: refills while what it lent is not spent yet."""

    def lend(self, wanted, now):
        loan = super().lend(wanted, now)
        self._on_loan.clear()
        return loan


def lend_and_refill(machine):
    """A lender lends all, refills while the loan is under way, and all is spent at once."""
    machine.now += clock.seconds(100)
    machine.ask(0, 1, 4.0, 0)
    machine.now += clock.seconds(0.9)
    machine.arrive(0)
    machine.take(1, 8)
    machine.settle(0, False)
    for zone in range(ZONES):
        machine.take(zone, 8)


def restart_when_spent(machine):
    """A holder spends all, restarts and spends again."""
    machine.now += clock.seconds(100)
    for zone in range(ZONES):
        machine.take(zone, 8)
    machine.holder_restarts_or_moves(0)
    machine.take(0, 8)


@pytest.mark.parametrize(
    ("mistake", "history"),
    [
        (FullAfterRestart, restart_when_spent),
        (CreditsBeforeDebit, lend_and_refill),
        (ForgetsLoans, lend_and_refill),
    ],
)
def test_planted_mistake_is_caught(mistake, history):
    class Planted(EscrowMachine):
        kind = mistake

    history(EscrowMachine())
    with pytest.raises(AssertionError):
        history(Planted())


def test_growing_share_waits_and_shrinking_one_does_not():
    now = clock.seconds(0)
    bucket = limiter.EscrowBucket(limiter.Share(10, 10), now)
    now = clock.seconds(100)
    assert bucket.tokens(now) == 10
    bucket.set_share(limiter.Share(100, 4), now)
    assert bucket.tokens(now) == 4
    bucket.set_share(limiter.Share(100, 100), now)
    now += limiter.GROWTH_DELAY / 2
    assert bucket.tokens(now) == 4
    now += limiter.GROWTH_DELAY
    assert bucket.tokens(now) > 4


def test_fractions_of_many_zones_make_whole_tokens():
    now = clock.seconds(0)
    share = limiter.Share(1, 0.5)
    pools = [limiter.TokenPool(limiter.EscrowBucket(share, now)) for _ in range(6)]
    now = clock.seconds(10)
    assert not pools[0].take(now)
    for lender in pools[1:]:
        pools[0].borrow("x", lender.bucket.lend(1, now), now, now)
    assert [pools[0].take(now) for _ in range(4)] == [True, True, True, False]


def test_unspent_loan_goes_back_and_a_void_one_is_not_spent():
    now = clock.seconds(100)
    lender = limiter.EscrowBucket(limiter.Share(0.001, 10), clock.seconds(-100000))
    borrower = limiter.TokenPool(limiter.EscrowBucket(limiter.Share(0, 0), now))
    borrower.borrow("x", lender.lend(4, now), now, now)
    assert borrower.take(now)
    now += limiter.LOAN_LIFETIME
    assert not borrower.take(now)
    ((_, told),) = borrower.settlements(now)
    lender.settle(told, now)
    assert round(lender.tokens(now)) == 9
    lender.settle(told, now)
    assert round(lender.tokens(now)) == 9


@pytest.mark.parametrize(("burst", "count"), [(1, 1), (49, 1), (50, 2), (150, 6), (9999, 6)])
def test_shares_sum_to_the_contract(burst, count):
    zones = [f"z{number}" for number in range(6)]
    shares = [limiter.zone_share("o", 30.0, burst, zone, zones) for zone in zones]
    assert sum(share.rate for share in shares) == pytest.approx(30.0)
    assert sum(share.burst for share in shares) == pytest.approx(burst)
    assert sum(share.rate > 0 for share in shares) == count
