"""Organisations' rates, accounted for at the leader, from which gateways draw tokens.

In any window of time no more tokens are given than the rate allows in it plus the burst. A token is
given before a gateway may use it, so whatever is lost, frozen or cut off, no more requests pass. A
new leader does not know what was given before it, and counts on the most that may have been."""

from __future__ import annotations

import collections
import collections.abc
import dataclasses
import datetime

from flamingotiller import clock

# A gateway that is silent for so long no longer admits requests that need tokens.
STOCK_LIFETIME = clock.seconds(4)
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
    """

    gateway: str
    stock: int
    wanted: int


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
        step = tolerance.window / UNKNOWN_STEPS
        part = tolerance.allowed(rate, burst) / UNKNOWN_STEPS
        self._given = collections.deque(
            (now - i * step, "", part) for i in range(UNKNOWN_STEPS, 0, -1)
        )
        self._stock_by_gateway: dict[str, tuple[int, datetime.timedelta]] = {}

    def draw(self, draw: Draw, rate: float, burst: float, now: datetime.timedelta) -> int:
        """Returns the whole tokens that a gateway is given, none when it gives some back."""
        self._stock_by_gateway[draw.gateway] = (draw.stock, now)
        if draw.wanted < 0:
            self._given.append((now, draw.gateway, draw.wanted))
            return 0
        given = max(0, min(draw.wanted, int(self._room(rate, burst, now))))
        if given:
            self._given.append((now, draw.gateway, given))
            self._stock_by_gateway[draw.gateway] = (draw.stock + given, now)
        return given

    def _room(self, rate: float, burst: float, now: datetime.timedelta) -> float:
        while self._given and now - self._given[0][0] > self._tolerance.window:
            self._given.popleft()
        self._stock_by_gateway = {
            name: held
            for name, held in self._stock_by_gateway.items()
            if now - held[1] <= STOCK_LIFETIME
        }
        given: dict[str, float] = collections.defaultdict(float)
        for _, gateway, amount in self._given:
            given[gateway] += amount
        # Tokens that were given before the window could be used up together with all in it.
        old = sum(max(0, s - given[name]) for name, (s, _) in self._stock_by_gateway.items())
        excess = max(0.0, old - self._tolerance.stock(rate, burst))
        return self._tolerance.allowed(rate, burst) - sum(given.values()) - excess


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
    ) -> int:
        """Returns the tokens of an organisation that a gateway is given; see ``Account.draw``."""
        account = self._account_by_organisation.get(organisation)
        if account is None:
            account = Account(self._tolerance, rate, burst, self._opened)
            self._account_by_organisation[organisation] = account
        return account.draw(draw, rate, burst, now)
