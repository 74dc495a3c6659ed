"""A gateway's stocks of organisations' tokens, drawn from a steward's branch by demand."""

from __future__ import annotations

import collections.abc
import contextlib
import dataclasses
import datetime

from flamingotiller import clock
from flamingotiller.fleet import accounting, model

# Time constant in seconds of the moving average of demand.
DEMAND_AVERAGING_S = 1.0
# Time in seconds for which the target stock meets the demand: two polls. With a demand of less than
# one request in that time there is no stock: the branch is near, and many small stocks would strand
# more tokens than a contract allows.
TARGET_STOCK_S = 0.8
# Tokens beyond a target stock that are not worth returning, at most as many as the target: where
# demand is low, a few at each of many gateways would be more than the contract allows.
TOLERATED_SURPLUS = 2
# Requests per second below which demand is not reported; after one request the average falls below
# it within some seconds.
NEGLIGIBLE_DEMAND = 0.01
# Pause after a draw that brought no tokens; the branch draws from the leader meanwhile.
DRAW_BACKOFF = clock.seconds(0.1)


@dataclasses.dataclass
class Stock:
    """Tokens of one organisation at this gateway.

    Attributes:
        tokens: Unused tokens; one admits one request.
        reserve: Requests that may be admitted when no token is available.
        spent: Requests admitted from the reserve that are not reported to the branch yet.
        waiting: Requests that wait for a draw.
        arrivals: Requests since the demand was last measured.
        demand: Recent requests per second.
        denied_until: Time before which requests make no further draw.
    """

    tokens: int = 0
    reserve: int = 0
    spent: int = 0
    waiting: int = 0
    arrivals: int = 0
    demand: float = 0.0
    denied_until: datetime.timedelta = clock.ZERO


class Quota:
    """A gateway's stocks of all organisations.

    Args:
        now: Monotonic time.
    """

    def __init__(self, now: datetime.timedelta) -> None:
        self._stock_by_organisation: dict[str, Stock] = {}
        self._measured_at = now

    def admit(self, organisation: model.Organisation) -> bool:
        """Counts a request and takes a token for it; returns whether it is admitted at once.

        An organisation without a rate needs no tokens.
        """
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
        """Returns whether a draw may be made now: there is a stock, and no backoff."""
        stock = self._stock_by_organisation.get(organisation)
        return stock is not None and now >= stock.denied_until

    @contextlib.contextmanager
    def waiting(self, organisation: str) -> collections.abc.Iterator[None]:
        """Counts a request as waiting; the next draw asks for at least a token for each."""
        stock = self._stock_by_organisation.setdefault(organisation, Stock())
        stock.waiting += 1
        try:
            yield
        finally:
            stock.waiting -= 1

    def take_reserved(self, organisation: str) -> bool:
        """Uses the reserve for a request that has no token; returns whether any was left."""
        stock = self._stock_by_organisation.get(organisation)
        if stock is None or stock.reserve < 1:
            return False
        stock.reserve -= 1
        stock.spent += 1
        return True

    def take_drawn(self, organisation: str) -> bool:
        """Takes a token for a request that has waited for a draw; returns whether there was one."""
        return self._take(self._stock_by_organisation.setdefault(organisation, Stock()))

    def refund(self, organisation: str) -> None:
        """Puts back the token of a request that has not run."""
        stock = self._stock_by_organisation.get(organisation)
        if stock is not None:
            stock.tokens += 1

    def receive(self, organisation: str, grant: accounting.Grant) -> None:
        """Applies the branch's response to a draw."""
        stock = self._stock_by_organisation.setdefault(organisation, Stock())
        stock.tokens += grant.tokens
        if grant.reserve != accounting.RESERVE_UNCHANGED:
            stock.reserve = grant.reserve

    def record_lost_draw(self, organisation: str, draw: accounting.Draw) -> None:
        """Records that a draw has had no response: its use of the reserve is reported again."""
        stock = self._stock_by_organisation.setdefault(organisation, Stock())
        stock.spent += draw.spent

    def describe(self, organisation: str) -> str:
        """Returns, for the log, the state that decides on an organisation's requests."""
        stock = self._stock_by_organisation.get(organisation, Stock())
        return (
            f"stock {stock.tokens}, reserve {stock.reserve}, demand {stock.demand:.1f} requests/s"
        )

    def drop(self) -> None:
        """Discards tokens and reserves; the use of reserves is still reported."""
        for stock in self._stock_by_organisation.values():
            stock.tokens = stock.reserve = 0

    def back_off(self, organisation: str, now: datetime.timedelta) -> None:
        """Stops further draws for a moment, after one that brought no tokens."""
        stock = self._stock_by_organisation.setdefault(organisation, Stock())
        stock.denied_until = now + DRAW_BACKOFF

    def draw(self, gateway: str, organisation: str) -> accounting.Draw:
        """Returns the draw to make when the stock has run out between polls."""
        stock = self._stock_by_organisation.setdefault(organisation, Stock())
        wanted = max(1, stock.waiting, self._target(stock) - stock.tokens)
        return self._make_draw(gateway, stock, wanted)

    def draws(self, gateway: str, now: datetime.timedelta) -> dict[str, accounting.Draw]:
        """Measures demand and returns the draws to send with a poll, by organisation.

        Organisations with nothing to report are left out. Returned tokens leave the stock at once,
        whether the poll arrives or not.
        """
        elapsed = max(1e-3, (now - self._measured_at).total_seconds())
        old_weight = max(0.0, 1.0 - elapsed / DEMAND_AVERAGING_S)
        self._measured_at = now
        draws = {}
        for name, stock in self._stock_by_organisation.items():
            stock.demand = old_weight * stock.demand + (1 - old_weight) * stock.arrivals / elapsed
            stock.arrivals = 0
            if stock.demand < NEGLIGIBLE_DEMAND and not (
                stock.tokens or stock.reserve or stock.spent
            ):
                stock.demand = 0.0
                continue
            target = self._target(stock)
            wanted = target - stock.tokens
            if -min(TOLERATED_SURPLUS, target) <= wanted < 0:
                wanted = 0
            if wanted < 0:
                stock.tokens += wanted
            draws[name] = self._make_draw(gateway, stock, wanted)
        return draws

    @staticmethod
    def _make_draw(gateway: str, stock: Stock, wanted: int) -> accounting.Draw:
        spent, stock.spent = stock.spent, 0
        return accounting.Draw(gateway, stock.tokens, wanted, round(stock.demand, 2), spent)

    @staticmethod
    def _target(stock: Stock) -> int:
        return int(stock.demand * TARGET_STOCK_S)
