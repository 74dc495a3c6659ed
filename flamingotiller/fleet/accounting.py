"""Token accounts of organisations' rates, kept by the leader.

Branches draw tokens from the leader and pass them on to gateways, which need a token for each
request. The leader keeps this invariant for every organisation: requests counted in the last
window, unused tokens at holders and the holders' reserves never exceed what the contract allows in
a window. A token is granted before a gateway may use it, so lost messages, frozen processes and
partitions never let more requests pass.

Reserves let gateways serve requests without tokens while there is no leader; they are taken from
what the contract leaves unused. A new leader does not know what was used before its term. It
assumes the largest possible use, and until that use has left the window gateways keep the reserves
that they have.
"""

from __future__ import annotations

import collections
import collections.abc
import dataclasses
import datetime
import math
import typing

from flamingotiller import clock

# A branch that has not reached the leader for this long grants no more tokens. Until then it grants
# what it has, which the leader counts as outstanding.
BRANCH_TOKEN_LIFETIME = clock.seconds(4.5)
# A gateway whose view has not been confirmed for this long admits no more requests that need
# tokens. Its view is never newer than the state of the branch that it draws from, so this bounds
# the use of what a branch grants late, too.
GATEWAY_TOKEN_LIFETIME = clock.seconds(5)
# Fraction of the unused allowance that goes into reserves; the rest is left for holders whose
# demand rises.
RESERVED_FRACTION = 0.9
# Value of ``Grant.reserve`` that leaves the holder's reserve as it is.
RESERVE_UNCHANGED = -1
# Length in seconds of the outage that reserves are sized for. In a longer one gateways can no
# longer confirm keys, so they serve no keyed requests anyway.
RESERVE_OUTAGE_S = 4.5
# Allowance for demand that rises during an outage.
RESERVE_DEMAND_FACTOR = 1.5
# Number of equal parts in which the use that a new leader assumes leaves the window.
ASSUMED_USE_STEPS = 20
# Resolution of the use in a handover.
HANDOVER_STEP = clock.seconds(0.5)
# An older handover misses too much of what its leader granted afterwards, so it is not used.
MAX_HANDOVER_AGE = clock.seconds(3)

# JSON form of an account, which the leader sends to the other stewards.
Handover = dict[str, typing.Any]


@dataclasses.dataclass(frozen=True)
class Tolerance:
    """Window over which requests are counted, and by how much a contract may be exceeded in it.

    Attributes:
        window: Length of the window.
        overage: Tolerated excess, as a fraction of what the contract allows in a window.
        slack: Tolerated excess beyond that, in requests.
    """

    window: datetime.timedelta = clock.seconds(1)
    overage: float = 0.0
    slack: float = 0.0

    # Fraction of the tolerance that is granted; the rest covers what a new leader cannot know.
    GRANTED_FRACTION = 0.7

    def allowed(self, rate: float, burst: float) -> float:
        """Returns how many requests a contract allows in a window."""
        return rate * self.window.total_seconds() + burst

    def usable(self, rate: float, burst: float) -> float:
        """Returns the bound on a window's requests, unused tokens and reserves together."""
        allowed = self.allowed(rate, burst)
        return allowed + self.excess(allowed)

    def excess(self, allowed: float) -> float:
        """Returns how much may be granted in excess of what is allowed."""
        return self.GRANTED_FRACTION * (self.overage * allowed + self.slack)


@dataclasses.dataclass(frozen=True)
class Draw:
    """A request for an organisation's tokens, by a gateway to its branch or a branch to the leader.

    Attributes:
        holder: Name of the gateway or of the branch.
        stock: Unused tokens that it has; a branch includes those at its gateways.
        wanted: Number of tokens asked for; negative to return tokens.
        demand: Recent requests per second.
        spent: Amount of its reserve used since its last report.
        reserved: Part of a branch's reserve that its gateways may already have.
        number: Sequence number of a branch's draw, by which the leader detects draws that arrive
            out of order; 0 in a gateway's draws, which are not checked.
    """

    holder: str
    stock: int
    wanted: int
    demand: float = 0.0
    spent: int = 0
    reserved: int = 0
    number: int = 0


@dataclasses.dataclass(frozen=True)
class Grant:
    """Response to a draw.

    Attributes:
        tokens: Tokens in addition to those that the holder has.
        reserve: New total of requests that the holder may serve without a token, or
            ``RESERVE_UNCHANGED``.
    """

    tokens: int
    reserve: int


@dataclasses.dataclass
class HolderState:
    """State of a holder as of its last draw.

    Attributes:
        stock: Unused tokens that it may have.
        demand: Recent requests per second.
        reserve: Requests that it may serve without a token.
        number: Sequence number of the draw.
        drawn_at: When the draw arrived.
    """

    stock: int
    demand: float
    reserve: int
    number: int
    drawn_at: datetime.timedelta


class Account:
    """Token account of one organisation: its recent use and the state of its holders.

    What a holder has used is computed from its stocks at two successive draws and what it was
    granted in between. It is dated by the arrival of the second draw, which is never before the
    use, so no use leaves the window too early.

    Args:
        tolerance: Window and tolerance.
        rate: Requests per second that the contract allows.
        burst: Requests that it allows in addition.
        now: Monotonic time.
        handover: Account of an earlier leader, None if there is none.
        handover_at: When the handover was received.
        handover_delay: Longest time between its making and its receipt.
    """

    def __init__(
        self,
        tolerance: Tolerance,
        rate: float,
        burst: float,
        now: datetime.timedelta,
        handover: Handover | None = None,
        handover_at: datetime.timedelta = clock.ZERO,
        handover_delay: datetime.timedelta = clock.ZERO,
    ) -> None:
        self._tolerance = tolerance
        self._opened_at = now
        self._state_by_holder: dict[str, HolderState] = {}
        self._bucket_tokens = 0.0
        self._refilled_at = now
        self._reserves_from = now
        if handover is not None and now - handover_at <= MAX_HANDOVER_AGE:
            self._restore(handover, handover_at, handover_delay, rate, burst)
        else:
            self._uses = collections.deque(self._assumed_use(rate, burst))
            self._reserves_from += tolerance.window

    def dump(self, now: datetime.timedelta) -> Handover:
        """Returns the account in the JSON form that a later leader restores it from."""
        used: dict[int, float] = collections.defaultdict(float)
        for at, amount in self._uses:
            used[max(0, (now - at) // HANDOVER_STEP)] += amount
        holders = {
            name: dataclasses.astuple(state)[:-1] for name, state in self._state_by_holder.items()
        }
        bucket = [self._bucket_tokens, (now - self._refilled_at).total_seconds()]
        return {"used": sorted(used.items()), "holders": holders, "bucket": bucket}

    def _restore(
        self,
        handover: Handover,
        handover_at: datetime.timedelta,
        handover_delay: datetime.timedelta,
        rate: float,
        burst: float,
    ) -> None:
        self._uses = collections.deque(
            (handover_at - step * HANDOVER_STEP, amount)
            for step, amount in reversed(handover["used"])
        )
        for name, (stock, demand, reserve, number) in handover["holders"].items():
            holder = HolderState(stock, demand, reserve, number, handover_at)
            self._state_by_holder[name] = holder
        # The earlier leader may have granted since then what its bucket held and was refilled
        # with, but no more than the window had left.
        left = max(0.0, self._headroom(rate, burst, self._opened_at))
        elapsed = self._opened_at - handover_at + handover_delay
        # A leader of an earlier build does not tell its bucket; it may have been full.
        tokens, unfilled_s = handover.get("bucket", (math.inf, 0.0))
        refill_rate = self._refill_rate(rate, burst)
        bucket = min(self._capacity(burst), tokens + refill_rate * unfilled_s)
        granted = bucket + refill_rate * elapsed.total_seconds()
        self._uses.append((self._opened_at, min(left, granted)))

    def _assumed_use(self, rate: float, burst: float) -> list[tuple[datetime.timedelta, float]]:
        """Returns the largest use possible before this leader's term.

        That is a burst at its start and, evenly before it, the rest of what is usable in a window,
        at the rate of a window's usable requests per window.
        """
        usable = self._tolerance.usable(rate, burst)
        if not rate:
            return []
        window = self._tolerance.window * (1.0 - burst / usable)
        part = (usable - burst) / ASSUMED_USE_STEPS
        used = [
            (self._opened_at - window * (1 - i / ASSUMED_USE_STEPS), part)
            for i in range(ASSUMED_USE_STEPS)
        ]
        return [*used, (self._opened_at, burst)]

    def draw(self, draw: Draw, rate: float, burst: float, now: datetime.timedelta) -> Grant:
        """Records a holder's draw and returns its grant, without tokens when it returns some."""
        self._refill(rate, burst, now)
        before = self._state_by_holder.get(draw.holder)
        if draw.number and before is not None and draw.number <= before.number:
            # A later draw arrived first; only the use of the reserve is not yet counted.
            if draw.spent:
                self._uses.append((now, draw.spent))
            return Grant(0, RESERVE_UNCHANGED)
        returned = min(0, draw.wanted)
        used = draw.spent
        if before is not None:
            used += max(0, before.stock + returned - draw.stock)
        if used:
            self._uses.append((now, used))
        holder = HolderState(draw.stock, draw.demand, draw.reserved, draw.number, now)
        self._state_by_holder[draw.holder] = holder
        headroom = self._headroom(rate, burst, now)
        granted = max(0, min(draw.wanted, int(headroom), int(self._bucket_tokens)))
        holder.stock += granted
        self._bucket_tokens -= granted
        if now < self._reserves_from:
            return Grant(granted, RESERVE_UNCHANGED)
        share = self._reserve_share(holder, headroom - granted + draw.reserved)
        holder.reserve = max(draw.reserved, share)
        return Grant(granted, holder.reserve)

    def _refill(self, rate: float, burst: float, now: datetime.timedelta) -> None:
        """Refills the token bucket, which bounds what is granted at once.

        It holds the burst, and in a window it refills by all that the contract allows.
        """
        elapsed = max(0.0, (now - self._refilled_at).total_seconds())
        self._refilled_at = now
        refill = self._refill_rate(rate, burst) * elapsed
        self._bucket_tokens = min(self._capacity(burst), self._bucket_tokens + refill)

    def _capacity(self, burst: float) -> float:
        return max(1.0, burst + self._tolerance.excess(burst))

    def _refill_rate(self, rate: float, burst: float) -> float:
        return self._tolerance.allowed(rate, burst) / self._tolerance.window.total_seconds()

    def _headroom(self, rate: float, burst: float, now: datetime.timedelta) -> float:
        window = self._tolerance.window
        while self._uses and now - self._uses[0][0] > window:
            self._uses.popleft()
        self._state_by_holder = {
            name: holder
            for name, holder in self._state_by_holder.items()
            if now - holder.drawn_at <= GATEWAY_TOKEN_LIFETIME + window
        }
        used = sum(amount for _, amount in self._uses)
        outstanding = sum(state.stock + state.reserve for state in self._state_by_holder.values())
        return self._tolerance.usable(rate, burst) - used - outstanding

    def _reserve_share(self, holder: HolderState, headroom: float) -> int:
        """Returns a holder's share of the reserve, which is made of the unused allowance.

        Callers are spread over holders, so the recent demand at one of them predicts little of its
        next seconds; half of the share follows the mean demand instead.

        Args:
            holder: The holder.
            headroom: Headroom of the account without the holder's own reserve.
        """
        states = self._state_by_holder.values()
        total = sum(state.demand for state in states)
        if total <= 0 or headroom <= 0:
            return 0
        unused = headroom + sum(state.reserve for state in states if state is not holder)
        # The mean over the window predicts the next seconds better than a burst just now.
        used = sum(amount for _, amount in self._uses)
        use_rate = used / self._tolerance.window.total_seconds()
        wanted = min(
            RESERVE_DEMAND_FACTOR * RESERVE_OUTAGE_S * use_rate, RESERVED_FRACTION * unused
        )
        expected = (holder.demand + total / len(states)) / 2
        return int(min(wanted * expected / total, headroom))


class Accounts:
    """All organisations' accounts at the leader.

    Args:
        tolerance: Window and tolerance.
        opened_at: When the leader's term began; accounts count from then on.
        handovers: Accounts of an earlier leader, by organisation.
        handover_at: When they were received.
        handover_delay: Longest time between their making and their receipt.
    """

    def __init__(
        self,
        tolerance: Tolerance,
        opened_at: datetime.timedelta,
        handovers: dict[str, Handover] | None = None,
        handover_at: datetime.timedelta = clock.ZERO,
        handover_delay: datetime.timedelta = clock.ZERO,
    ) -> None:
        self._tolerance = tolerance
        self._opened_at = opened_at
        self._handovers = handovers or {}
        self._handover_at = handover_at
        self._handover_delay = handover_delay
        self._account_by_organisation: dict[str, Account] = {}

    def draw(
        self, organisation: str, draw: Draw, rate: float, burst: float, now: datetime.timedelta
    ) -> Grant:
        """Records a draw in an organisation's account; see ``Account.draw``."""
        account = self._account_by_organisation.get(organisation)
        if account is None:
            account = Account(
                self._tolerance,
                rate,
                burst,
                self._opened_at,
                self._handovers.get(organisation),
                self._handover_at,
                self._handover_delay,
            )
            self._account_by_organisation[organisation] = account
        return account.draw(draw, rate, burst, now)

    def dump(self, now: datetime.timedelta) -> dict[str, Handover]:
        """Returns the accounts' JSON forms by organisation, for a later leader.

        Early in a term they include the earlier leader's accounts that have had no draw yet.
        """
        current = {name: a.dump(now) for name, a in self._account_by_organisation.items()}
        return (
            {**self._handovers, **current} if now - self._opened_at < MAX_HANDOVER_AGE else current
        )
