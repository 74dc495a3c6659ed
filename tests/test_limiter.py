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
        self.buckets = [self.new() for _ in range(ZONES)]
        self.transfers = []
        # The oracle: one bucket of the whole contract, full at the start.
        self.level = self.burst
        self.level_at = self.now

    def new(self):
        return self.kind(limiter.zone_share(self.rate, self.burst, ZONES), self.now)

    def admitted(self, count=1):
        gained = (self.now - self.level_at).total_seconds() * self.rate
        self.level = min(self.burst, self.level + gained) - count
        self.level_at = self.now
        assert self.level >= -1e-6, "more than rate and burst were admitted"

    @stateful.rule(milliseconds=st.sampled_from([1, 20, 300, 900, 2500, 9000]))
    def time_passes(self, milliseconds):
        self.now += clock.seconds(milliseconds / 1000)

    @stateful.rule(zone=st.integers(0, ZONES - 1), times=st.integers(1, 8))
    def take(self, zone, times):
        for _ in range(times):
            if self.buckets[zone].take(self.now):
                self.admitted()

    @stateful.rule(
        donor=st.integers(0, ZONES - 1),
        zone=st.integers(0, ZONES - 1),
        wanted=st.floats(0.5, 8),
    )
    def pull(self, donor, zone, wanted):
        if donor != zone:
            transfer = self.buckets[donor].give(wanted, self.now)
            self.transfers.append((donor, zone, transfer, self.now))

    @stateful.rule(number=st.integers(0, 99), waiting=st.integers(0, 6), settle=st.booleans())
    def arrive(self, number, waiting, settle):
        if not self.transfers:
            return
        donor, zone, transfer, sent = self.transfers.pop(number % len(self.transfers))
        tokens = transfer.tokens if self.now - sent <= limiter.TRANSFER_LIFETIME else 0.0
        self.admitted(self.buckets[zone].redeem(tokens, waiting, self.now))
        if settle:
            self.buckets[donor].settle(transfer.number, self.now)

    @stateful.rule(number=st.integers(0, 99))
    def lose_message(self, number):
        if self.transfers:
            self.transfers.pop(number % len(self.transfers))

    @stateful.rule(zone=st.integers(0, ZONES - 1))
    def holder_restarts_or_moves(self, zone):
        self.buckets[zone] = self.new()

    @stateful.invariant()
    def shares_fit(self):
        if isinstance(self.buckets[0], limiter.EscrowBucket):
            assert sum(b.tokens(self.now) for b in self.buckets) <= self.burst + 1e-6


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
    """Mistake: gives tokens without debiting them."""

    def give(self, wanted, now):
        self._refill(now)
        return limiter.Transfer(1, min(wanted, self._tokens))


class ForgetsTransfers(limiter.EscrowBucket):
    """Mistake: refills while what it gave is still under way."""

    def give(self, wanted, now):
        transfer = super().give(wanted, now)
        self._under_way.clear()
        return transfer


def give_and_refill(machine):
    """A donor gives all, refills while the tokens are under way, and all is spent at once."""
    machine.now += clock.seconds(100)
    machine.pull(0, 1, 4.0)
    machine.now += clock.seconds(0.9)
    machine.arrive(0, 8, True)
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
        (CreditsBeforeDebit, give_and_refill),
        (ForgetsTransfers, give_and_refill),
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
    buckets = [limiter.EscrowBucket(limiter.zone_share(6, 3, 6), now) for _ in range(6)]
    now = clock.seconds(10)
    assert not buckets[0].take(now)
    gained = sum(b.give(1, now).tokens for b in buckets[1:])
    assert buckets[0].redeem(gained, 5, now) == 3
