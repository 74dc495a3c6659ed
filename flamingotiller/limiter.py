"""Rate limits: one bucket per organisation, split into one share per zone.

The holder of an organisation's shard in a zone keeps the zone's share; zones lend each other
tokens on demand. A loan is debited before it is sent and counts against the lender's burst until
it is spent, given back or void, so tokens can be lost but never doubled. Shares sum to at most the
contract's rate and burst at every instant: docs/design/rate-limits.md."""

from __future__ import annotations

import abc
import collections.abc
import dataclasses
import datetime
import random
import typing

from flamingotiller import clock, kernel, lease

# A share that grows counts only after every process that may still use the older, larger share
# of another zone has either learned of the change or stopped admitting requests.
GROWTH_DELAY = clock.seconds(6)

# How long a request may wait for a token before it is refused.
MAX_WAIT = clock.seconds(0.5)

# A loan is void this long after it was asked for.
LOAN_LIFETIME = clock.seconds(1)

# A process acts on a version for at most this long after the next one was accepted, with the
# lifetime of a loan and clocks of different speed allowed for.
MAX_FRESHNESS_BOUND = 0.9 * (GROWTH_DELAY - LOAN_LIFETIME)

# A zone's share of a small burst would be full, and waste what it earns, while others are empty.
MIN_SHARE_BURST = 25.0


@dataclasses.dataclass(frozen=True)
class Share:
    """Part of an organisation's entitlement.

    Attributes:
        rate: Tokens per second.
        burst: Largest number of tokens kept.
    """

    rate: float
    burst: float

    def capped(self, other: Share) -> Share:
        """Returns the smaller of each."""
        return Share(min(self.rate, other.rate), min(self.burst, other.burst))


@dataclasses.dataclass(frozen=True)
class Loan:
    """Tokens that one place lends another.

    Attributes:
        number: Identifies the loan at its lender.
        tokens: How many.
    """

    number: int
    tokens: float


@dataclasses.dataclass(frozen=True)
class Settlement:
    """What a borrower says of a loan; saying it again, or late, changes nothing more.

    Attributes:
        number: The loan.
        spent: Tokens spent of it so far, in all.
        unspent: Tokens given back; None while the loan goes on.
    """

    number: int
    spent: float
    unspent: float | None


@dataclasses.dataclass
class _OnLoan:
    until: datetime.timedelta
    lent: float
    spent: float = 0.0


class Bucket(abc.ABC):
    """Tokens of one organisation at one place."""

    @abc.abstractmethod
    def tokens(self, now: datetime.timedelta) -> float:
        """Returns the tokens present."""

    @abc.abstractmethod
    def spend(self, wanted: float, now: datetime.timedelta) -> float:
        """Takes up to ``wanted`` tokens and returns how many."""

    @abc.abstractmethod
    def lend(self, wanted: float, now: datetime.timedelta) -> Loan:
        """Debits tokens for another place."""

    @abc.abstractmethod
    def settle(self, settlement: Settlement, now: datetime.timedelta) -> None:
        """Takes note of what has become of a loan."""

    @abc.abstractmethod
    def set_share(self, share: Share, now: datetime.timedelta) -> None:
        """Follows a change of contract or zones."""


@kernel.limiters.register("escrow")
class EscrowBucket(Bucket):
    """Bucket of a zone's share; starts empty.

    Tokens on loan count against its burst until they are settled or void, so that those present
    and those on loan never exceed the burst together.

    Args:
        share: The zone's share.
        now: Monotonic time.
        first_number: Number of the first loan; see ``lease.first_number``.
    """

    def __init__(self, share: Share, now: datetime.timedelta, first_number: int = 1) -> None:
        self._share = share
        self._grown: tuple[datetime.timedelta, Share] | None = None
        self._tokens = 0.0
        self._at = now
        self._next_number = first_number
        self._on_loan: dict[int, _OnLoan] = {}

    def tokens(self, now: datetime.timedelta) -> float:
        """Returns the tokens present."""
        self._refill(now)
        return self._tokens

    def _refill(self, now: datetime.timedelta) -> None:
        if self._grown and now >= self._grown[0]:
            due, share = self._grown
            self._grown = None
            self._accrue(due)
            self._share = share
        self._accrue(now)
        for number, loan in list(self._on_loan.items()):
            if now >= loan.until:
                del self._on_loan[number]

    def _accrue(self, now: datetime.timedelta) -> None:
        if now <= self._at:
            return
        gained = (now - self._at).total_seconds() * self._share.rate
        self._tokens = max(self._tokens, min(self._room(), self._tokens + gained))
        self._at = now

    def _room(self) -> float:
        return self._share.burst - sum(loan.lent - loan.spent for loan in self._on_loan.values())

    def spend(self, wanted: float, now: datetime.timedelta) -> float:
        """Takes up to ``wanted`` tokens and returns how many."""
        self._refill(now)
        spent = max(0.0, min(wanted, self._tokens))
        self._tokens -= spent
        return spent

    def lend(self, wanted: float, now: datetime.timedelta) -> Loan:
        """Debits up to ``wanted`` tokens."""
        lent = self.spend(wanted, now)
        number = self._next_number
        if lent:
            self._next_number += 1
            self._on_loan[number] = _OnLoan(now + 2 * LOAN_LIFETIME, lent)
        return Loan(number, lent)

    def settle(self, settlement: Settlement, now: datetime.timedelta) -> None:
        """Takes note of what has become of a loan; one that has ended changes nothing."""
        # What the loan kept from being refilled until now is not made up for.
        self._refill(now)
        loan = self._on_loan.get(settlement.number)
        if loan is None:
            return
        loan.spent = max(loan.spent, min(loan.lent, settlement.spent))
        if settlement.unspent is None:
            return
        del self._on_loan[settlement.number]
        back = max(0.0, min(loan.lent - loan.spent, settlement.unspent))
        self._tokens = min(self._room(), self._tokens + back)

    def set_share(self, share: Share, now: datetime.timedelta) -> None:
        """Follows a change: what shrinks does so at once, what grows waits."""
        self._refill(now)
        target = self._grown[1] if self._grown else self._share
        if share == target:
            return
        self._share = self._share.capped(share)
        self._tokens = min(self._tokens, self._share.burst)
        self._grown = (now + GROWTH_DELAY, share) if share != self._share else None


@kernel.limiters.register("static")
class StaticBucket(EscrowBucket):
    """Baseline for comparisons: the zone's share alone, with no loans."""

    def lend(self, wanted: float, now: datetime.timedelta) -> Loan:
        """Lends nothing."""
        return Loan(0, 0.0)


@dataclasses.dataclass
class HeldLoan:
    """A loan at its borrower.

    Attributes:
        lender: Where it is to be settled.
        number: Identifies it there.
        left: Tokens not spent yet.
        until: Borrower's time at which it is void.
        spent: Tokens spent so far.
        told: Tokens spent as of the last settlement.
    """

    lender: str
    number: int
    left: float
    until: datetime.timedelta
    spent: float = 0.0
    told: float = 0.0


class TokenPool:
    """What one place may spend for an organisation: its own bucket and loans of other places.

    Attributes:
        bucket: The place's own share.
    """

    def __init__(self, bucket: Bucket) -> None:
        self.bucket = bucket
        self._ended: list[HeldLoan] = []
        self._loans: list[HeldLoan] = []

    def borrow(
        self, lender: str, loan: Loan, asked: datetime.timedelta, now: datetime.timedelta
    ) -> None:
        """Takes up a loan.

        Args:
            lender: Where it is to be settled.
            loan: What was lent.
            asked: When the request for it was sent.
            now: Monotonic time.
        """
        if loan.tokens > 0:
            held = HeldLoan(lender, loan.number, loan.tokens, asked + LOAN_LIFETIME)
            self._loans.append(held)
            self._drop_void(now)

    def tokens(self, now: datetime.timedelta) -> float:
        """Returns the tokens that can be spent now."""
        self._drop_void(now)
        return self.bucket.tokens(now) + sum(loan.left for loan in self._loans)

    def take(self, now: datetime.timedelta) -> bool:
        """Spends one token if there is one, loans first: they are void sooner."""
        if self.tokens(now) < 1.0 - 1e-9:
            return False
        missing = 1.0
        for loan in list(self._loans):
            part = min(missing, loan.left)
            loan.left -= part
            loan.spent += part
            missing -= part
            if loan.left <= 0.0:
                self._end(loan)
        if missing > 0.0:
            self.bucket.spend(missing, now)
        return True

    def _drop_void(self, now: datetime.timedelta) -> None:
        for loan in [loan for loan in self._loans if now >= loan.until]:
            self._end(loan)

    def _end(self, loan: HeldLoan) -> None:
        self._loans.remove(loan)
        self._ended.append(loan)

    def settlements(self, now: datetime.timedelta) -> list[tuple[str, Settlement]]:
        """Returns what is to be told, by lender; each thing is returned once."""
        self._drop_void(now)
        told = [(o.lender, Settlement(o.number, o.spent, o.left)) for o in self._ended]
        self._ended.clear()
        for loan in self._loans:
            if loan.spent > loan.told:
                loan.told = loan.spent
                told.append((loan.lender, Settlement(loan.number, loan.spent, None)))
        return told


def zones_with_share(
    organisation: str, burst: float, zones: collections.abc.Collection[str]
) -> list[str]:
    """Returns the zones that have a share; of a small burst only a few do."""
    count = max(1, min(len(zones), int(burst / MIN_SHARE_BURST)))
    ordered = sorted(zones, key=lambda zone: lease.weight(organisation, zone))
    return ordered[:count]


def zone_share(
    organisation: str,
    rate: float,
    burst: float,
    zone: str,
    zones: collections.abc.Collection[str],
) -> Share:
    """Returns the share of a zone; the shares of all zones sum to the contract."""
    sharing = zones_with_share(organisation, burst, zones)
    if zone not in sharing:
        return Share(0.0, 0.0)
    return Share(rate / len(sharing), burst / len(sharing))


class TokenPoolSet:
    """The pools of the organisations whose shards this instance holds.

    Args:
        kind: Class of the buckets.
        rng: Source of the numbers of loans.
    """

    def __init__(self, kind: type[Bucket], rng: random.Random) -> None:
        self._kind: typing.Any = kind
        self._rng = rng
        self.pool_by_organisation: dict[str, TokenPool] = {}

    def get(self, organisation: str) -> TokenPool | None:
        """Returns the pool of an organisation, None before it was opened."""
        return self.pool_by_organisation.get(organisation)

    def open(self, organisation: str, share: Share, now: datetime.timedelta) -> TokenPool:
        """Opens an empty pool for an organisation.

        Args:
            organisation: Its name.
            share: The share to begin with.
            now: Monotonic time.
        """
        bucket = self._kind(share, now, lease.first_number(self._rng))
        pool = self.pool_by_organisation[organisation] = TokenPool(bucket)
        return pool

    def drop(self, organisation: str) -> None:
        """Forgets a pool whose shard is not held any more; its tokens are lost."""
        self.pool_by_organisation.pop(organisation, None)
