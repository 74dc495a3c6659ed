"""Organisations' rates, accounted for at the leader, from which branches draw tokens for gateways.

What was used in the last window of time, what lies unused at holders and what they have in reserve
never exceed what the contract allows in a window, and a token is given before a gateway may use it;
so whatever is lost, frozen or cut off, no more requests pass.

Reserves are for the time without a leader, made of what the contract leaves unused. A new leader
does not know what was used before it: it counts on the most that may have been, and until that lies
a window back gateways keep the reserves that they have."""

from __future__ import annotations

import collections
import collections.abc
import dataclasses
import datetime
import typing

from flamingotiller import clock

# A branch that has not reached the leader for so long gives no more tokens.
BRANCH_TOKEN_LIFETIME = clock.seconds(1.5)
# A gateway that is silent for so long no longer admits requests that need tokens.
GATEWAY_TOKEN_LIFETIME = clock.seconds(5)
# Part of what is unused that goes into reserves; the rest is for demand that rises at others.
RESERVED_PART = 0.9
# Stands for the reserve that a gateway has already.
RESERVE_UNCHANGED = -1
# Length of an outage that a reserve is for, seconds; keys cannot be confirmed for longer.
OUTAGE_S = 4.5
# Demand may rise during an outage.
RESERVE_FACTOR = 1.5
# Steps in which a new leader lets go of what may have been given before.
UNKNOWN_STEPS = 20
# Accounts that are handed over tell of use in steps of this length; older ones tell too little.
HANDED_STEP = clock.seconds(0.5)
HANDED_AGE = clock.seconds(3)

Handover = dict[str, typing.Any]


@dataclasses.dataclass(frozen=True)
class Tolerance:
    """Over which time contracts are counted, and by how much they may be exceeded.

    Attributes:
        window: Length of the window.
        overage: Part of what the contract allows in a window.
        slack: Requests beyond that.
    """

    window: datetime.timedelta = clock.seconds(1)
    overage: float = 0.0
    slack: float = 0.0

    # Part of the tolerance that is used; the rest is for what a new leader cannot know.
    USED = 0.7

    def allowed(self, rate: float, burst: float) -> float:
        """Returns the requests that a contract allows in a window."""
        return rate * self.window.total_seconds() + burst

    def usable(self, rate: float, burst: float) -> float:
        """Returns the requests that may be used or lie at holders in a window."""
        allowed = self.allowed(rate, burst)
        return allowed + self.spare(allowed)

    def spare(self, allowed: float) -> float:
        """Returns the part of the tolerance that is used beside what is allowed."""
        return self.USED * (self.overage * allowed + self.slack)


@dataclasses.dataclass(frozen=True)
class Draw:
    """A wish for an organisation's tokens, of a gateway at its branch or of a branch at the leader.

    Attributes:
        holder: Name of the gateway, or of the branch.
        stock: Tokens that it has left, those at a branch's gateways included.
        wanted: Further ones; negative for some that it gives back.
        demand: Requests per second of late.
        spent: Tokens of its reserve that it has used since it said so last.
        reserved: Reserve that it may already have divided among its gateways.
        number: Counts a branch's draws, so that a late one changes nothing; 0 is not counted.
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
    """What a gateway is given.

    Attributes:
        tokens: Tokens beside those that it has.
        reserve: Requests that it may let pass in all without a token, or ``RESERVE_UNCHANGED`` for
            those it had before.
    """

    tokens: int
    reserve: int


@dataclasses.dataclass
class Presence:
    """What an account knows of a holder.

    Attributes:
        stock: Tokens that it has.
        demand: Requests per second of late.
        reserve: What it may use while it is not heard.
        number: Number of its last draw.
        heard_at: When it was last heard.
    """

    stock: int
    demand: float
    reserve: int
    number: int
    heard_at: datetime.timedelta


class Account:
    """Tokens of one organisation: used of late, and lying at holders.

    What a holder has used follows from its stocks at two draws and what it was given between them;
    it counts as used when it is heard of, which is never before it was.

    Args:
        tolerance: Window and tolerance.
        rate: Requests per second that the contract allows.
        burst: Requests beyond that.
        now: Monotonic time.
        handed: What an earlier leader has told of it, None if nothing.
        handed_at: When that was told.
    """

    def __init__(
        self,
        tolerance: Tolerance,
        rate: float,
        burst: float,
        now: datetime.timedelta,
        handed: Handover | None = None,
        handed_at: datetime.timedelta = clock.ZERO,
    ) -> None:
        self._tolerance = tolerance
        self._opened = now
        self._presence_by_holder: dict[str, Presence] = {}
        self._bucket_tokens = 0.0
        self._refilled_at = now
        self._settled_at = now
        if handed is not None and now - handed_at <= HANDED_AGE:
            self._take_over(handed, handed_at, rate, burst)
        else:
            self._used = collections.deque(self._unknown(rate, burst))
            self._settled_at += tolerance.window

    def hand_over(self, now: datetime.timedelta) -> Handover:
        """Returns what a later leader has to know, in its JSON form."""
        used: dict[int, float] = collections.defaultdict(float)
        for at, amount in self._used:
            used[max(0, (now - at) // HANDED_STEP)] += amount
        holders = {
            name: dataclasses.astuple(p)[:-1] for name, p in self._presence_by_holder.items()
        }
        return {"used": sorted(used.items()), "holders": holders}

    def _take_over(
        self, handed: Handover, handed_at: datetime.timedelta, rate: float, burst: float
    ) -> None:
        self._used = collections.deque(
            (handed_at - step * HANDED_STEP, amount) for step, amount in reversed(handed["used"])
        )
        for name, (stock, demand, reserve, number) in handed["holders"].items():
            presence = Presence(stock, demand, reserve, number, handed_at)
            self._presence_by_holder[name] = presence
        # The earlier leader may have given what was left then.
        left = max(0.0, self._headroom(rate, burst, handed_at))
        self._used.append((self._opened, min(left, burst)))

    def _unknown(self, rate: float, burst: float) -> list[tuple[datetime.timedelta, float]]:
        """Returns what may have been used before: a burst just now, the rest at the usual pace."""
        usable = self._tolerance.usable(rate, burst)
        if not rate:
            return []
        window = self._tolerance.window * (1.0 - burst / usable)
        part = (usable - burst) / UNKNOWN_STEPS
        used = [
            (self._opened - window * (1 - i / UNKNOWN_STEPS), part) for i in range(UNKNOWN_STEPS)
        ]
        return [*used, (self._opened, burst)]

    def draw(self, draw: Draw, rate: float, burst: float, now: datetime.timedelta) -> Grant:
        """Returns what a holder is given; no tokens when it gives some back."""
        self._refill(rate, burst, now)
        before = self._presence_by_holder.get(draw.holder)
        if draw.number and before is not None and draw.number <= before.number:
            # Overtaken by a later one: only what was used of the reserve is news.
            if draw.spent:
                self._used.append((now, draw.spent))
            return Grant(0, RESERVE_UNCHANGED)
        back = min(0, draw.wanted)
        used = draw.spent
        if before is not None:
            used += max(0, before.stock + back - draw.stock)
        if used:
            self._used.append((now, used))
        presence = Presence(draw.stock, draw.demand, draw.reserved, draw.number, now)
        self._presence_by_holder[draw.holder] = presence
        room = self._headroom(rate, burst, now)
        given = max(0, min(draw.wanted, int(room), int(self._bucket_tokens)))
        presence.stock += given
        self._bucket_tokens -= given
        if now < self._settled_at:
            return Grant(given, RESERVE_UNCHANGED)
        wished = self._reserve(presence, room - given + draw.reserved)
        presence.reserve = max(draw.reserved, wished)
        return Grant(given, presence.reserve)

    def _refill(self, rate: float, burst: float, now: datetime.timedelta) -> None:
        """Adds to what may be given at once: the burst, and in a window all that it allows."""
        elapsed = max(0.0, (now - self._refilled_at).total_seconds())
        self._refilled_at = now
        pace = self._tolerance.allowed(rate, burst) / self._tolerance.window.total_seconds()
        most = burst + self._tolerance.spare(burst)
        self._bucket_tokens = min(max(1.0, most), self._bucket_tokens + pace * elapsed)

    def _headroom(self, rate: float, burst: float, now: datetime.timedelta) -> float:
        window = self._tolerance.window
        while self._used and now - self._used[0][0] > window:
            self._used.popleft()
        self._presence_by_holder = {
            name: presence
            for name, presence in self._presence_by_holder.items()
            if now - presence.heard_at <= BRANCH_TOKEN_LIFETIME + GATEWAY_TOKEN_LIFETIME + window
        }
        used = sum(amount for _, amount in self._used)
        lying = sum(p.stock + p.reserve for p in self._presence_by_holder.values())
        return self._tolerance.usable(rate, burst) - used - lying

    def _reserve(self, presence: Presence, room: float) -> int:
        """Returns a holder's part of what the contract leaves unused.

        Callers are spread, so half of the part goes by the mean demand: that of one holder tells
        little of its next seconds.

        Args:
            presence: The holder.
            room: What is left beside all reserves but its own.
        """
        present = self._presence_by_holder.values()
        total = sum(p.demand for p in present)
        if total <= 0 or room <= 0:
            return 0
        unused = room + sum(p.reserve for p in present if p is not presence)
        # A burst just now says little of the next seconds, the whole window more.
        used = sum(amount for _, amount in self._used)
        pace = used / self._tolerance.window.total_seconds()
        wanted = min(RESERVE_FACTOR * OUTAGE_S * pace, RESERVED_PART * unused)
        expected = (presence.demand + total / len(present)) / 2
        return int(min(wanted * expected / total, room))


class Accounts:
    """Accounts by organisation.

    Args:
        tolerance: Window and tolerance.
        opened: When the leader began to lead; accounts are kept from then on.
        handed: What an earlier leader has told of its accounts, by organisation.
        handed_at: When that was told.
    """

    def __init__(
        self,
        tolerance: Tolerance,
        opened: datetime.timedelta,
        handed: dict[str, Handover] | None = None,
        handed_at: datetime.timedelta = clock.ZERO,
    ) -> None:
        self._tolerance = tolerance
        self._opened = opened
        self._handed = handed or {}
        self._handed_at = handed_at
        self._account_by_organisation: dict[str, Account] = {}

    def draw(
        self, organisation: str, draw: Draw, rate: float, burst: float, now: datetime.timedelta
    ) -> Grant:
        """Returns what a holder is given of an organisation's tokens; see ``Account.draw``."""
        account = self._account_by_organisation.get(organisation)
        if account is None:
            account = Account(
                self._tolerance,
                rate,
                burst,
                self._opened,
                self._handed.get(organisation),
                self._handed_at,
            )
            self._account_by_organisation[organisation] = account
        return account.draw(draw, rate, burst, now)

    def hand_over(self, now: datetime.timedelta) -> dict[str, Handover]:
        """Returns what a later leader has to know, by organisation."""
        handed = {name: a.hand_over(now) for name, a in self._account_by_organisation.items()}
        return {**self._handed, **handed} if now - self._opened < HANDED_AGE else handed
