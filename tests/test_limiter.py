"""Rate limits: all zones together never exceed the contract, even if loan messages are lost."""

import hypothesis
import hypothesis.stateful as stateful
import hypothesis.strategies as st
import pytest

from flamingotiller import clock, limiter

ZONES = 3


class EscrowMachine(stateful.RuleBasedStateMachine):
    """Compares the shares of three zones with a single bucket that sees every request."""

    bucket_class = limiter.EscrowBucket
    rate = 6.0
    burst = 12.0

    def __init__(self):
        super().__init__()
        self.now = clock.seconds(10)
        self.pools = [self.new_pool() for _ in range(ZONES)]
        self.loans = []
        self.settlements = []
        # The reference: one bucket with the whole contract, full at the start.
        self.reference_tokens = self.burst
        self.reference_at = self.now

    def new_pool(self):
        share = limiter.Share(self.rate / ZONES, self.burst / ZONES)
        return limiter.TokenPool(self.bucket_class(share, self.now))

    def record_admission(self):
        gained = (self.now - self.reference_at).total_seconds() * self.rate
        self.reference_tokens = min(self.burst, self.reference_tokens + gained) - 1
        self.reference_at = self.now
        assert self.reference_tokens >= -1e-6, "more than rate and burst were admitted"

    @stateful.rule(milliseconds=st.sampled_from([1, 20, 300, 900, 2500, 9000]))
    def time_passes(self, milliseconds):
        self.now += clock.seconds(milliseconds / 1000)

    @stateful.rule(zone=st.integers(0, ZONES - 1), times=st.integers(1, 8))
    def take(self, zone, times):
        for _ in range(times):
            if self.pools[zone].take(self.now):
                self.record_admission()
        self.settlements += self.pools[zone].settlements(self.now)

    @stateful.rule(
        lender=st.integers(0, ZONES - 1),
        zone=st.integers(0, ZONES - 1),
        wanted=st.floats(0.5, 8),
        lag=st.sampled_from([0, 0.02, 0.5]),
    )
    def request_loan(self, lender, zone, wanted, lag):
        if lender != zone:
            asked = self.now
            self.now += clock.seconds(lag)
            loan = self.pools[lender].bucket.lend(wanted, self.now)
            self.loans.append((lender, zone, loan, asked))

    @stateful.rule(number=st.integers(0, 99))
    def deliver_loan(self, number):
        if self.loans:
            lender, zone, loan, asked = self.loans.pop(number % len(self.loans))
            self.pools[zone].borrow(str(lender), loan, asked, self.now)

    @stateful.rule(number=st.integers(0, 99), duplicated=st.booleans())
    def settle(self, number, duplicated):
        if not self.settlements:
            return
        lender, settlement = self.settlements[number % len(self.settlements)]
        if not duplicated:
            self.settlements.remove((lender, settlement))
        self.pools[int(lender)].bucket.settle(settlement, self.now)

    @stateful.rule(number=st.integers(0, 99))
    def lose_message(self, number):
        if self.loans:
            self.loans.pop(number % len(self.loans))
        if self.settlements:
            self.settlements.pop(number % len(self.settlements))

    @stateful.rule(zone=st.integers(0, ZONES - 1))
    def holder_restarts_or_moves(self, zone):
        self.pools[zone] = self.new_pool()
        # The loan numbers of the old bucket are unknown to the new one.
        self.settlements = [item for item in self.settlements if item[0] != str(zone)]

    @stateful.invariant()
    def buckets_hold_at_most_the_burst(self):
        available = sum(pool.bucket.tokens(self.now) for pool in self.pools)
        assert available <= self.burst + 1e-6


EscrowMachine.TestCase.settings = hypothesis.settings(
    max_examples=100, stateful_step_count=50, deadline=None, derandomize=True
)
TestEscrow = EscrowMachine.TestCase


class BucketThatStartsFull(limiter.EscrowBucket):
    """Faulty: starts full, so that a restart duplicates the tokens."""

    def __init__(self, share, now):
        super().__init__(share, now)
        self._tokens = share.burst


class BucketThatLendsWithoutDebit(limiter.EscrowBucket):
    """Faulty: lends tokens without debiting them."""

    def lend(self, wanted, now):
        self._refill(now)
        return limiter.Loan(1, min(wanted, self._tokens))


class BucketThatIgnoresItsLoans(limiter.EscrowBucket):
    """Faulty: refills to the full burst while tokens that it lent are not spent yet."""

    def lend(self, wanted, now):
        loan = super().lend(wanted, now)
        self._outstanding_loans.clear()
        return loan


def lend_and_refill(machine):
    """Lends all tokens, refills while the loan is in transit, then spends everything at once."""
    machine.now += clock.seconds(100)
    machine.request_loan(0, 1, 4.0, 0)
    machine.now += clock.seconds(0.9)
    machine.deliver_loan(0)
    machine.take(1, 8)
    machine.settle(0, False)
    for zone in range(ZONES):
        machine.take(zone, 8)


def restart_after_spending(machine):
    """Spends all tokens, restarts one holder and spends again."""
    machine.now += clock.seconds(100)
    for zone in range(ZONES):
        machine.take(zone, 8)
    machine.holder_restarts_or_moves(0)
    machine.take(0, 8)


@pytest.mark.parametrize(
    ("faulty_class", "history"),
    [
        (BucketThatStartsFull, restart_after_spending),
        (BucketThatLendsWithoutDebit, lend_and_refill),
        (BucketThatIgnoresItsLoans, lend_and_refill),
    ],
)
def test_planted_mistake_is_caught(faulty_class, history):
    class FaultyMachine(EscrowMachine):
        bucket_class = faulty_class

    history(EscrowMachine())
    with pytest.raises(AssertionError):
        history(FaultyMachine())


def test_larger_share_is_delayed_and_smaller_share_is_not():
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


def test_fractional_loans_add_up_to_whole_tokens():
    now = clock.seconds(0)
    share = limiter.Share(1, 0.5)
    pools = [limiter.TokenPool(limiter.EscrowBucket(share, now)) for _ in range(6)]
    now = clock.seconds(10)
    assert not pools[0].take(now)
    for lender in pools[1:]:
        pools[0].borrow("lender", lender.bucket.lend(1, now), now, now)
    assert [pools[0].take(now) for _ in range(4)] == [True, True, True, False]


def test_expired_loan_is_not_spent_and_its_rest_is_returned():
    now = clock.seconds(100)
    lender = limiter.EscrowBucket(limiter.Share(0.001, 10), clock.seconds(-100000))
    borrower = limiter.TokenPool(limiter.EscrowBucket(limiter.Share(0, 0), now))
    borrower.borrow("lender", lender.lend(4, now), now, now)
    assert borrower.take(now)
    now += limiter.LOAN_LIFETIME
    assert not borrower.take(now)
    ((_, settlement),) = borrower.settlements(now)
    lender.settle(settlement, now)
    assert round(lender.tokens(now)) == 9
    lender.settle(settlement, now)
    assert round(lender.tokens(now)) == 9


@pytest.mark.parametrize(("burst", "count"), [(1, 1), (49, 1), (50, 2), (150, 6), (9999, 6)])
def test_shares_sum_to_the_contract(burst, count):
    zones = [f"z{number}" for number in range(6)]
    shares = [limiter.zone_share("o", 30.0, burst, zone, zones) for zone in zones]
    assert sum(share.rate for share in shares) == pytest.approx(30.0)
    assert sum(share.burst for share in shares) == pytest.approx(burst)
    assert sum(share.rate > 0 for share in shares) == count
