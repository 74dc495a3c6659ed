"""Rate limits: a token bucket per organisation, split into a share for each zone.

In each zone, the holder of an organisation's shard keeps the zone's share. Zones lend each other
tokens on demand. The lender debits a loan before sending it and counts it against its own burst
until the loan is spent, returned or expired, so tokens can be lost but never duplicated. At no
time do the shares add up to more than the contract's rate and burst: docs/design/rate-limits.md."""

from __future__ import annotations

import abc
import collections.abc
import dataclasses
import datetime
import random
import typing

from flamingotiller import clock, kernel, lease

# Delay before a larger share takes effect. By then every process that may still use an older,
# larger share of another zone has either received the change or stopped admitting requests.
GROWTH_DELAY = clock.seconds(6)

# How long a request may wait for a token before it is refused.
MAX_WAIT = clock.seconds(0.5)

# Time from the request for a loan until the loan expires at the borrower.
LOAN_LIFETIME = clock.seconds(1)

# Upper limit of the freshness bound: the longest time for which a process may act on a version
# after the next one was accepted. It leaves room for the lifetime of a loan and for clocks that run
# at different speeds.
MAX_FRESHNESS_BOUND = 0.9 * (GROWTH_DELAY - LOAN_LIFETIME)

# Smallest burst of a zone's share. If a small burst were split further, one zone's share would be
# full, and discard the tokens that it gains, while the shares of other zones are empty.
MIN_SHARE_BURST = 25.0


@dataclasses.dataclass(frozen=True)
class Share:
    """Part of the rate and burst in an organisation's contract.

    Attributes:
        rate: Tokens per second.
        burst: Largest number of tokens that accumulate.
    """

    rate: float
    burst: float

    def capped(self, other: Share) -> Share:
        """Returns the smaller rate and the smaller burst of the two shares."""
        return Share(min(self.rate, other.rate), min(self.burst, other.burst))


@dataclasses.dataclass(frozen=True)
class Loan:
    """Tokens that the holder in one zone lends to the holder in another.

    Attributes:
        number: Identifies the loan at its lender.
        tokens: Number of tokens lent.
    """

    number: int
    tokens: float


@dataclasses.dataclass(frozen=True)
class Settlement:
    """Borrower's report on a loan; a repeated or late report has no further effect.

    Attributes:
        number: Identifies the loan at its lender.
        spent: Total number of its tokens spent so far.
        unspent: Number of tokens returned; None while the loan continues.
    """

    number: int
    spent: float
    unspent: float | None


@dataclasses.dataclass
class _OutstandingLoan:
    expires_at: datetime.timedelta
    lent: float
    spent: float = 0.0


class Bucket(abc.ABC):
    """Token bucket of one organisation at the holder of its shard."""

    @abc.abstractmethod
    def tokens(self, now: datetime.timedelta) -> float:
        """Returns the number of tokens available."""

    @abc.abstractmethod
    def spend(self, wanted: float, now: datetime.timedelta) -> float:
        """Spends up to ``wanted`` tokens and returns the number spent."""

    @abc.abstractmethod
    def lend(self, wanted: float, now: datetime.timedelta) -> Loan:
        """Debits up to ``wanted`` tokens as a loan to another holder."""

    @abc.abstractmethod
    def settle(self, settlement: Settlement, now: datetime.timedelta) -> None:
        """Applies a borrower's report on a loan."""

    @abc.abstractmethod
    def set_share(self, share: Share, now: datetime.timedelta) -> None:
        """Changes the share after a change of the contract or the zones."""


@kernel.limiters.register("escrow")
class EscrowBucket(Bucket):
    """Bucket that holds a zone's share and lends from it; starts empty.

    Tokens on loan count against the burst until they are settled or the loan expires, so that the
    tokens available and those on loan together never exceed the burst.

    Args:
        share: The zone's share.
        now: Monotonic time.
        first_number: Number of the first loan; see ``lease.first_number``.
    """

    def __init__(self, share: Share, now: datetime.timedelta, first_number: int = 1) -> None:
        self._share = share
        self._pending_growth: tuple[datetime.timedelta, Share] | None = None
        self._tokens = 0.0
        self._refilled_at = now
        self._next_number = first_number
        self._outstanding_loans: dict[int, _OutstandingLoan] = {}

    def tokens(self, now: datetime.timedelta) -> float:
        """Returns the number of tokens available."""
        self._refill(now)
        return self._tokens

    def _refill(self, now: datetime.timedelta) -> None:
        if self._pending_growth and now >= self._pending_growth[0]:
            due, share = self._pending_growth
            self._pending_growth = None
            self._accrue(due)
            self._share = share
        self._accrue(now)
        for number, loan in list(self._outstanding_loans.items()):
            if now >= loan.expires_at:
                del self._outstanding_loans[number]

    def _accrue(self, now: datetime.timedelta) -> None:
        if now <= self._refilled_at:
            return
        gained = (now - self._refilled_at).total_seconds() * self._share.rate
        self._tokens = max(self._tokens, min(self._capacity(), self._tokens + gained))
        self._refilled_at = now

    def _capacity(self) -> float:
        return self._share.burst - sum(
            loan.lent - loan.spent for loan in self._outstanding_loans.values()
        )

    def spend(self, wanted: float, now: datetime.timedelta) -> float:
        """Spends up to ``wanted`` tokens and returns the number spent."""
        self._refill(now)
        spent = max(0.0, min(wanted, self._tokens))
        self._tokens -= spent
        return spent

    def lend(self, wanted: float, now: datetime.timedelta) -> Loan:
        """Debits up to ``wanted`` tokens as a loan to another holder."""
        lent = self.spend(wanted, now)
        number = self._next_number
        if lent:
            self._next_number += 1
            self._outstanding_loans[number] = _OutstandingLoan(now + 2 * LOAN_LIFETIME, lent)
        return Loan(number, lent)

    def settle(self, settlement: Settlement, now: datetime.timedelta) -> None:
        """Applies a borrower's report on a loan; one on a loan that has ended is ignored."""
        # Refilled with the loan still counted: tokens that did not accrue because of the loan are
        # not added later.
        self._refill(now)
        loan = self._outstanding_loans.get(settlement.number)
        if loan is None:
            return
        loan.spent = max(loan.spent, min(loan.lent, settlement.spent))
        if settlement.unspent is None:
            return
        del self._outstanding_loans[settlement.number]
        returned = max(0.0, min(loan.lent - loan.spent, settlement.unspent))
        self._tokens = min(self._capacity(), self._tokens + returned)

    def set_share(self, share: Share, now: datetime.timedelta) -> None:
        """Changes the share: reductions apply at once, increases after ``GROWTH_DELAY``."""
        self._refill(now)
        target = self._pending_growth[1] if self._pending_growth else self._share
        if share == target:
            return
        self._share = self._share.capped(share)
        self._tokens = min(self._tokens, self._share.burst)
        self._pending_growth = (now + GROWTH_DELAY, share) if share != self._share else None


@kernel.limiters.register("static")
class StaticBucket(EscrowBucket):
    """Bucket without loans, as a baseline for comparisons."""

    def lend(self, wanted: float, now: datetime.timedelta) -> Loan:
        """Returns an empty loan."""
        return Loan(0, 0.0)


@dataclasses.dataclass
class BorrowedLoan:
    """A loan as its borrower keeps it.

    Attributes:
        lender: Identifies the lender, to which settlements are sent.
        number: Identifies the loan at its lender.
        remaining: Tokens not spent yet.
        expires_at: Monotonic time of the borrower at which the loan expires.
        spent: Tokens spent so far.
        reported_spent: Tokens spent as of the last settlement.
    """

    lender: str
    number: int
    remaining: float
    expires_at: datetime.timedelta
    spent: float = 0.0
    reported_spent: float = 0.0


class TokenPool:
    """Tokens that a holder can spend for an organisation: its own bucket and borrowed tokens.

    Attributes:
        bucket: The zone's own share.
    """

    def __init__(self, bucket: Bucket) -> None:
        self.bucket = bucket
        self._ended_loans: list[BorrowedLoan] = []
        self._loans: list[BorrowedLoan] = []

    def borrow(
        self, lender: str, loan: Loan, asked: datetime.timedelta, now: datetime.timedelta
    ) -> None:
        """Adds a loan.

        Args:
            lender: Identifies the lender, to which settlements are sent.
            loan: The lender's answer.
            asked: Monotonic time at which the loan was requested.
            now: Monotonic time.
        """
        if loan.tokens > 0:
            borrowed = BorrowedLoan(lender, loan.number, loan.tokens, asked + LOAN_LIFETIME)
            self._loans.append(borrowed)
            self._end_expired(now)

    def tokens(self, now: datetime.timedelta) -> float:
        """Returns the number of tokens available, borrowed ones included."""
        self._end_expired(now)
        return self.bucket.tokens(now) + sum(loan.remaining for loan in self._loans)

    def take(self, now: datetime.timedelta) -> bool:
        """Spends one token if available, borrowed ones first because they expire sooner."""
        if self.tokens(now) < 1.0 - 1e-9:
            return False
        missing = 1.0
        for loan in list(self._loans):
            part = min(missing, loan.remaining)
            loan.remaining -= part
            loan.spent += part
            missing -= part
            if loan.remaining <= 0.0:
                self._end(loan)
        if missing > 0.0:
            self.bucket.spend(missing, now)
        return True

    def _end_expired(self, now: datetime.timedelta) -> None:
        for loan in [loan for loan in self._loans if now >= loan.expires_at]:
            self._end(loan)

    def _end(self, loan: BorrowedLoan) -> None:
        self._loans.remove(loan)
        self._ended_loans.append(loan)

    def settlements(self, now: datetime.timedelta) -> list[tuple[str, Settlement]]:
        """Returns the settlements to send, each with its lender.

        A settlement is returned once: only for loans that have ended, or of which more tokens have
        been spent, since the last call.
        """
        self._end_expired(now)
        settlements = [
            (loan.lender, Settlement(loan.number, loan.spent, loan.remaining))
            for loan in self._ended_loans
        ]
        self._ended_loans.clear()
        for loan in self._loans:
            if loan.spent > loan.reported_spent:
                loan.reported_spent = loan.spent
                settlements.append((loan.lender, Settlement(loan.number, loan.spent, None)))
        return settlements


def zones_with_share(
    organisation: str, burst: float, zones: collections.abc.Collection[str]
) -> list[str]:
    """Returns the zones that have a share; a small burst is split among few zones."""
    count = max(1, min(len(zones), int(burst / MIN_SHARE_BURST)))
    ordered = sorted(zones, key=lambda zone: lease.rendezvous_weight(organisation, zone))
    return ordered[:count]


def zone_share(
    organisation: str,
    rate: float,
    burst: float,
    zone: str,
    zones: collections.abc.Collection[str],
) -> Share:
    """Returns the share of a zone; the shares of all zones add up to the rate and burst."""
    sharing = zones_with_share(organisation, burst, zones)
    if zone not in sharing:
        return Share(0.0, 0.0)
    return Share(rate / len(sharing), burst / len(sharing))


class TokenPoolSet:
    """Token pools of the organisations whose shards this instance holds.

    Args:
        bucket_class: Class of the buckets.
        rng: Source of the number of each bucket's first loan.
    """

    def __init__(self, bucket_class: type[Bucket], rng: random.Random) -> None:
        self._bucket_class: typing.Any = bucket_class
        self._rng = rng
        self.pool_by_organisation: dict[str, TokenPool] = {}

    def get(self, organisation: str) -> TokenPool | None:
        """Returns the pool of an organisation, None if it has not been opened."""
        return self.pool_by_organisation.get(organisation)

    def open(self, organisation: str, share: Share, now: datetime.timedelta) -> TokenPool:
        """Opens an empty pool for an organisation.

        Args:
            organisation: Name of the organisation.
            share: Initial share of the zone.
            now: Monotonic time.
        """
        bucket = self._bucket_class(share, now, lease.first_number(self._rng))
        pool = self.pool_by_organisation[organisation] = TokenPool(bucket)
        return pool

    def drop(self, organisation: str) -> None:
        """Discards a pool, for example when its shard is lost; its tokens are lost too."""
        self.pool_by_organisation.pop(organisation, None)
