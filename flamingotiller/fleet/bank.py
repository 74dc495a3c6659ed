"""Organisations' rates, accounted for at the leader, from which gateways draw tokens.

In any window of time no more tokens are given than the rate allows in it plus the burst, and no
more than the burst at once. A token is given before a gateway may use it, so whatever is lost,
frozen or cut off, no more requests pass.

Beside them each gateway has a reserve for the time without a leader, made of what the contract
leaves unused; tokens and reserves together never exceed what a window allows. A new leader does not
know what was given before it: it counts on the most that may have been, and until that lies a
window back gateways keep the reserves that they have."""

from __future__ import annotations

import collections
import collections.abc
import dataclasses
import datetime

from flamingotiller import clock

# A gateway that is silent for so long no longer admits requests that need tokens.
STOCK_LIFETIME = clock.seconds(5)
# Part of what is unused that goes into reserves; the rest is for demand that rises.
RESERVED_PART = 0.75
# Stands for the reserve that a gateway has already.
KEPT = -1
# Length of an outage that a reserve is for, seconds; keys cannot be confirmed for longer.
OUTAGE_S = 4.5
# Demand may rise during an outage.
RESERVE_FACTOR = 1.5
# Steps in which a new leader lets go of what may have been given before.
UNKNOWN_STEPS = 20


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

    # Part of the tolerance that stocks at gateways may take up.
    USED = 0.5

    def allowed(self, rate: float, burst: float) -> float:
        """Returns the requests that a contract allows in a window."""
        return rate * self.window.total_seconds() + burst

    def stock(self, rate: float, burst: float) -> float:
        """Returns the tokens that may lie at gateways beside what a window allows."""
        return self.USED * (self.overage * self.allowed(rate, burst) + self.slack)


@dataclasses.dataclass(frozen=True)
class Draw:
    """A gateway's wish for an organisation's tokens.

    Attributes:
        gateway: Its name.
        stock: Tokens that it has left.
        wanted: Further ones; negative for some that it gives back.
        demand: Requests per second of late.
        spent: Tokens of its reserve that it has used since it said so last.
    """

    gateway: str
    stock: int
    wanted: int
    demand: float = 0.0
    spent: int = 0


@dataclasses.dataclass(frozen=True)
class Grant:
    """What a gateway is given.

    Attributes:
        tokens: Tokens beside those that it has.
        reserve: Requests that it may let pass in all while no leader answers it, or ``KEPT`` for
            those it had before, which it may use now too.
    """

    tokens: int
    reserve: int


@dataclasses.dataclass
class Presence:
    """What an account knows of a gateway.

    Attributes:
        stock: Tokens that it has.
        demand: Requests per second of late.
        reserve: What it may use while it is not heard.
        heard_at: When it was last heard.
    """

    stock: int
    demand: float
    reserve: int
    heard_at: datetime.timedelta


class Account:
    """Tokens of one organisation given of late.

    Args:
        tolerance: Window and tolerance.
        rate: Requests per second that the contract allows.
        burst: Requests beyond that.
        now: Monotonic time.
    """

    def __init__(
        self, tolerance: Tolerance, rate: float, burst: float, now: datetime.timedelta
    ) -> None:
        self._tolerance = tolerance
        self._opened = now
        self._given = collections.deque(self._unknown(rate, burst))
        self._presence_by_gateway: dict[str, Presence] = {}
        self._level = 0.0
        self._level_at = now

    def _unknown(self, rate: float, burst: float) -> list[tuple[datetime.timedelta, str, float]]:
        """Returns what may have been given before: a burst just now, the rest at the usual pace."""
        allowed = self._tolerance.allowed(rate, burst)
        if allowed <= 0:
            return []
        window = self._tolerance.window * max(0.0, 1.0 - burst / allowed)
        part = max(0.0, allowed - burst) / UNKNOWN_STEPS
        given = [
            (self._opened - window * (1 - i / UNKNOWN_STEPS), "", part)
            for i in range(UNKNOWN_STEPS)
        ]
        return [*given, (self._opened, "", min(burst, allowed))]

    def draw(self, draw: Draw, rate: float, burst: float, now: datetime.timedelta) -> Grant:
        """Returns what a gateway is given; no tokens when it gives some back."""
        self._refill(rate, burst, now)
        presence = Presence(draw.stock, draw.demand, 0, now)
        self._presence_by_gateway[draw.gateway] = presence
        if draw.spent:
            self._give(draw.gateway, draw.spent, now)
        room = self._room(rate, burst, now)
        if draw.wanted < 0:
            self._give(draw.gateway, draw.wanted, now)
            given = 0
        else:
            given = max(0, min(draw.wanted, int(room), int(self._level)))
            if given:
                self._give(draw.gateway, given, now)
        presence.stock += given
        if now - self._opened < self._tolerance.window:
            return Grant(given, KEPT)
        presence.reserve = self._reserve(presence, room - given)
        return Grant(given, presence.reserve)

    def _give(self, gateway: str, amount: int, now: datetime.timedelta) -> None:
        self._given.append((now, gateway, amount))
        self._level -= amount

    def _refill(self, rate: float, burst: float, now: datetime.timedelta) -> None:
        """Adds to what may be given at once: the burst, and in a window all that it allows."""
        elapsed = max(0.0, (now - self._level_at).total_seconds())
        self._level_at = now
        pace = self._tolerance.allowed(rate, burst) / self._tolerance.window.total_seconds()
        self._level = min(max(1.0, burst), self._level + pace * elapsed)

    def _room(self, rate: float, burst: float, now: datetime.timedelta) -> float:
        window = self._tolerance.window
        while self._given and now - self._given[0][0] > window:
            self._given.popleft()
        self._presence_by_gateway = {
            name: presence
            for name, presence in self._presence_by_gateway.items()
            if now - presence.heard_at <= STOCK_LIFETIME + window
        }
        given: dict[str, float] = collections.defaultdict(float)
        for _, gateway, amount in self._given:
            given[gateway] += amount
        # Tokens that were given before the window could be used up together with all in it.
        old = sum(max(0, p.stock - given[n]) for n, p in self._presence_by_gateway.items())
        excess = max(0.0, old - self._tolerance.stock(rate, burst))
        # The asking gateway's own reserve has ended with its draw.
        reserved = sum(presence.reserve for presence in self._presence_by_gateway.values())
        return self._tolerance.allowed(rate, burst) - sum(given.values()) - excess - reserved

    def _reserve(self, presence: Presence, room: float) -> int:
        """Returns a gateway's part of what the contract leaves unused.

        Callers are spread over gateways, so half of the part goes by the mean demand: that of one
        gateway tells little of its next seconds.
        """
        count = len(self._presence_by_gateway)
        total = sum(p.demand for p in self._presence_by_gateway.values())
        if total <= 0 or room <= 0:
            return 0
        expected = (presence.demand + total / count) / 2
        part = RESERVED_PART * room * expected / total
        return int(min(RESERVE_FACTOR * OUTAGE_S * expected, part))


class Bank:
    """Accounts by organisation.

    Args:
        tolerance: Window and tolerance.
        opened: When the leader began to lead; accounts are kept from then on.
    """

    def __init__(self, tolerance: Tolerance, opened: datetime.timedelta) -> None:
        self._tolerance = tolerance
        self._opened = opened
        self._account_by_organisation: dict[str, Account] = {}

    def draw(
        self, organisation: str, draw: Draw, rate: float, burst: float, now: datetime.timedelta
    ) -> Grant:
        """Returns what a gateway is given of an organisation's tokens; see ``Account.draw``."""
        account = self._account_by_organisation.get(organisation)
        if account is None:
            account = Account(self._tolerance, rate, burst, self._opened)
            self._account_by_organisation[organisation] = account
        return account.draw(draw, rate, burst, now)
