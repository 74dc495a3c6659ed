"""Rate limits: one bucket per organisation, split into one share per zone.

The holder of an organisation's shard in a zone keeps the zone's share; tokens move between zones
on demand and are debited before they are sent, so they can be lost but never doubled. Shares sum
to at most the contract's rate and burst at every instant: docs/design/rate-limits.md."""

from __future__ import annotations

import abc
import dataclasses
import datetime
import typing

from flamingotiller import clock, kernel

# A share that grows counts only after every process that may still use the older, larger share
# of another zone has either learned of the change or stopped admitting requests.
GROWTH_DELAY = clock.seconds(6)

# Tokens that take longer than this from request to arrival are not credited.
TRANSFER_LIFETIME = clock.seconds(1)


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
class Transfer:
    """Tokens on their way to another place.

    Attributes:
        number: Identifies the transfer at its donor.
        tokens: How many.
    """

    number: int
    tokens: float


class Bucket(abc.ABC):
    """Tokens of one organisation at one place."""

    @abc.abstractmethod
    def take(self, now: datetime.timedelta) -> bool:
        """Takes a token if there is one."""

    @abc.abstractmethod
    def give(self, wanted: float, now: datetime.timedelta) -> Transfer:
        """Debits tokens for another place."""

    @abc.abstractmethod
    def settle(self, number: int, now: datetime.timedelta) -> None:
        """Notes that a transfer has arrived."""

    @abc.abstractmethod
    def redeem(self, tokens: float, waiting: int, now: datetime.timedelta) -> int:
        """Credits tokens of another place and serves those that wait for them."""

    @abc.abstractmethod
    def set_share(self, share: Share, now: datetime.timedelta) -> None:
        """Follows a change of contract or zones."""


@kernel.limiters.register("escrow")
class EscrowBucket(Bucket):
    """Bucket of a zone's share; starts empty.

    Tokens that it has given away count against its burst until they have arrived or can no
    longer be used, so that those present and those under way never exceed the burst together.

    Args:
        share: The zone's share.
        now: Monotonic time.
    """

    def __init__(self, share: Share, now: datetime.timedelta) -> None:
        self._share = share
        self._grown: tuple[datetime.timedelta, Share] | None = None
        self._tokens = 0.0
        self._at = now
        self._next_number = 1
        self._under_way: dict[int, tuple[datetime.timedelta, float]] = {}

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
        for number, (until, _) in list(self._under_way.items()):
            if now >= until:
                del self._under_way[number]

    def _accrue(self, now: datetime.timedelta) -> None:
        if now <= self._at:
            return
        gained = (now - self._at).total_seconds() * self._share.rate
        self._tokens = max(self._tokens, min(self._room(), self._tokens + gained))
        self._at = now

    def _room(self) -> float:
        return self._share.burst - sum(tokens for _, tokens in self._under_way.values())

    def take(self, now: datetime.timedelta) -> bool:
        """Takes a token if there is one."""
        self._refill(now)
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True

    def give(self, wanted: float, now: datetime.timedelta) -> Transfer:
        """Debits up to ``wanted`` tokens."""
        self._refill(now)
        given = max(0.0, min(wanted, self._tokens))
        number = self._next_number
        if given:
            self._next_number += 1
            self._tokens -= given
            self._under_way[number] = (now + 2 * TRANSFER_LIFETIME, given)
        return Transfer(number, given)

    def settle(self, number: int, now: datetime.timedelta) -> None:
        """Notes that a transfer has arrived; later ones and unknown ones change nothing."""
        # What the transfer kept from being refilled until now is not made up for.
        self._refill(now)
        self._under_way.pop(number, None)

    def redeem(self, tokens: float, waiting: int, now: datetime.timedelta) -> int:
        """Serves waiting requests from tokens of other places and from those present.

        Args:
            tokens: Tokens that arrived within ``TRANSFER_LIFETIME`` of being asked for.
            waiting: Requests that wait.
            now: Monotonic time.

        Returns:
            How many of the waiting requests have a token now. What is left over is kept up to
            the share's burst: the donors may have refilled already.
        """
        self._refill(now)
        available = self._tokens + tokens
        served = min(waiting, int(available + 1e-9))
        self._tokens = max(0.0, min(max(self._room(), 0.0), available - served))
        return served

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
    """Baseline for comparisons: the zone's share alone, with no transfers."""

    def give(self, wanted: float, now: datetime.timedelta) -> Transfer:
        """Gives nothing."""
        return Transfer(0, 0.0)


class BucketSet:
    """The buckets of the shards that this instance holds.

    Args:
        kind: Class of the buckets.
    """

    def __init__(self, kind: type[Bucket]) -> None:
        self._kind: typing.Any = kind
        self.bucket_by_organisation: dict[str, Bucket] = {}

    def get(self, organisation: str, share: Share, now: datetime.timedelta) -> Bucket:
        """Returns the bucket of an organisation, an empty one at first."""
        bucket = self.bucket_by_organisation.get(organisation)
        if bucket is None:
            bucket = self.bucket_by_organisation[organisation] = self._kind(share, now)
        return bucket

    def drop(self, organisation: str) -> None:
        """Forgets a bucket whose shard is not held any more; its tokens are lost."""
        self.bucket_by_organisation.pop(organisation, None)


def zone_share(rate: float, burst: float, zones: int) -> Share:
    """Returns the share of each of ``zones`` zones."""
    return Share(rate / zones, burst / zones)
