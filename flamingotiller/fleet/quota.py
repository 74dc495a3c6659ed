"""A gateway's stocks of organisations' tokens, drawn from a steward's branch by demand."""

from __future__ import annotations

import collections.abc
import contextlib
import dataclasses
import datetime

from flamingotiller import clock
from flamingotiller.fleet import accounting, model

# Demand is averaged over about this time.
DEMAND_MEMORY_S = 1.0
# A stock lasts for about this time, two polls. Where demand is less than a request in it none is
# kept: the branch is near, and many small stocks would strand more than a contract allows.
STOCK_S = 0.8
# Tokens beyond what is kept in stock that are not worth giving back.
TOLERATED_SURPLUS = 2
# Demand that is not worth telling; one request is forgotten after some seconds.
NO_DEMAND = 0.01
# After a refused draw none is tried again for this long; the branch draws meanwhile.
DRAW_BACKOFF = clock.seconds(0.1)


@dataclasses.dataclass
class Stock:
    """Tokens of one organisation at this gateway.

    Attributes:
        tokens: Requests that may pass.
        waiting: Requests that wait for a draw.
        arrivals: Requests since the demand was last measured.
        demand: Requests per second of late.
        denied_until: When a draw may be tried again.
        reserve: Requests that may pass when no token is to be had.
        spent: Those that have, since the leader was last told.
    """

    tokens: int = 0
    reserve: int = 0
    spent: int = 0
    waiting: int = 0
    arrivals: int = 0
    demand: float = 0.0
    denied_until: datetime.timedelta = clock.ZERO


class Quota:
    """Stocks by organisation.

    Args:
        now: Monotonic time.
    """

    def __init__(self, now: datetime.timedelta) -> None:
        self._stock_by_organisation: dict[str, Stock] = {}
        self._measured_at = now

    def admit(self, organisation: model.Organisation) -> bool:
        """Notes a request; returns whether it passes at once."""
        if not organisation.rate:
            return True
        stock = self._stock_by_organisation.setdefault(organisation.name, Stock())
        stock.arrivals += 1
        return self._take(stock)

    @staticmethod
    def _take(stock: Stock) -> bool:
        if stock.tokens < 1:
            return False
        stock.tokens -= 1
        return True

    def may_draw(self, organisation: str, now: datetime.timedelta) -> bool:
        """Returns whether it makes sense to ask for tokens now."""
        stock = self._stock_by_organisation.get(organisation)
        return stock is not None and now >= stock.denied_until

    @contextlib.contextmanager
    def waiting(self, organisation: str) -> collections.abc.Iterator[None]:
        """Counts a request as waiting for a draw; the next one asks for so many tokens."""
        stock = self._stock_by_organisation.setdefault(organisation, Stock())
        stock.waiting += 1
        try:
            yield
        finally:
            stock.waiting -= 1

    def take_reserved(self, organisation: str) -> bool:
        """Returns whether a request passes that a draw has brought nothing for, or could not."""
        stock = self._stock_by_organisation.get(organisation)
        if stock is None or stock.reserve < 1:
            return False
        stock.reserve -= 1
        stock.spent += 1
        return True

    def take_drawn(self, organisation: str) -> bool:
        """Returns whether a request that has waited for a draw passes."""
        return self._take(self._stock_by_organisation.setdefault(organisation, Stock()))

    def refund(self, organisation: str) -> None:
        """Returns the token of a request that has not run."""
        stock = self._stock_by_organisation.get(organisation)
        if stock is not None:
            stock.tokens += 1

    def receive(self, organisation: str, grant: accounting.Grant) -> None:
        """Takes what the branch has given."""
        stock = self._stock_by_organisation.setdefault(organisation, Stock())
        stock.tokens += grant.tokens
        if grant.reserve != accounting.RESERVE_UNCHANGED:
            stock.reserve = grant.reserve

    def note_lost(self, organisation: str, draw: accounting.Draw) -> None:
        """Notes that a draw has no answer: what it told of the reserve is told again."""
        stock = self._stock_by_organisation.setdefault(organisation, Stock())
        stock.spent += draw.spent

    def describe(self, organisation: str) -> str:
        """Returns what decides on a request of an organisation, for the log."""
        stock = self._stock_by_organisation.get(organisation, Stock())
        return f"stock {stock.tokens}, reserve {stock.reserve}, demand {stock.demand:.1f} a second"

    def drop(self) -> None:
        """Gives up tokens and reserves; what was used of these is still told."""
        for stock in self._stock_by_organisation.values():
            stock.tokens = stock.reserve = 0

    def back_off(self, organisation: str, now: datetime.timedelta) -> None:
        """Notes that a draw has brought nothing."""
        stock = self._stock_by_organisation.setdefault(organisation, Stock())
        stock.denied_until = now + DRAW_BACKOFF

    def draw(self, gateway: str, organisation: str) -> accounting.Draw:
        """Returns what to ask for when the stock has run out between polls."""
        stock = self._stock_by_organisation.setdefault(organisation, Stock())
        wanted = max(1, stock.waiting, self._target(stock) - stock.tokens)
        return self._as_draw(gateway, stock, wanted)

    def draws(self, gateway: str, now: datetime.timedelta) -> dict[str, accounting.Draw]:
        """Measures demand and returns what to ask for with a poll, by organisation; those with
        nothing to tell are left out.

        Tokens that are given back are no longer in stock, whether the poll arrives or not.
        """
        elapsed = max(1e-3, (now - self._measured_at).total_seconds())
        keep = max(0.0, 1.0 - elapsed / DEMAND_MEMORY_S)
        self._measured_at = now
        draws = {}
        for name, stock in self._stock_by_organisation.items():
            stock.demand = keep * stock.demand + (1 - keep) * stock.arrivals / elapsed
            stock.arrivals = 0
            if stock.demand < NO_DEMAND and not (stock.tokens or stock.reserve or stock.spent):
                stock.demand = 0.0
                continue
            target = self._target(stock)
            wanted = target - stock.tokens
            if -TOLERATED_SURPLUS <= wanted < 0:
                wanted = 0
            if wanted < 0:
                stock.tokens += wanted
            draws[name] = self._as_draw(gateway, stock, wanted)
        return draws

    @staticmethod
    def _as_draw(gateway: str, stock: Stock, wanted: int) -> accounting.Draw:
        spent, stock.spent = stock.spent, 0
        return accounting.Draw(gateway, stock.tokens, wanted, round(stock.demand, 2), spent)

    @staticmethod
    def _target(stock: Stock) -> int:
        return int(stock.demand * STOCK_S)
