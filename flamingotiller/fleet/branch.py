"""Branches: a steward's pool of organisations' tokens for the gateways that poll it.

A branch draws tokens from the leader's accounts, and its gateways draw from the branch. If every
gateway drew from the leader, their separate stocks would strand more tokens than a window allows,
and every draw would cross regions. A branch has one stock for all of its gateways, tracks the
unused tokens at each of them, and divides among them the reserve that the leader grants it.
"""

from __future__ import annotations

import dataclasses
import datetime

from flamingotiller import clock
from flamingotiller.fleet import accounting

# Time in seconds for which the target stock meets the demand: two polls of the leader.
TARGET_STOCK_S = 0.4
# Tokens in the target stock beyond that. A surplus of up to this many is not returned.
BASE_STOCK = 2
# Pause after a draw that brought no tokens; the leader's account refills meanwhile.
DRAW_BACKOFF = clock.seconds(0.1)
# Fraction of the reserve that is divided among gateways; the rest is left for those whose demand
# rises.
DIVIDED_FRACTION = 0.95
# Factor by which the reserve shrinks with each draw, down to what is divided among gateways; the
# leader may then set it anew.
RESERVE_DECAY = 0.8


@dataclasses.dataclass
class GatewayState:
    """State of a gateway as of its last draw.

    Attributes:
        stock: Unused tokens that it may have.
        demand: Recent requests per second.
        mean_demand: Requests per second, averaged over the contract's window.
        reserve: Its share of the branch's reserve.
        drawn_at: When the draw arrived.
    """

    stock: int
    demand: float
    mean_demand: float
    reserve: int
    drawn_at: datetime.timedelta


class Ledger:
    """One organisation's tokens at a branch.

    Args:
        window: Window over which the contract counts requests.

    Attributes:
        tokens: Tokens in the branch's own stock.
        reserve: Reserve that the leader sets aside for the branch.
        spent: Use of the reserve that is not reported to the leader yet.
        reserve_fixed: Whether the leader's last grant left the reserve unchanged; until one sets it
            anew, the branch neither divides it again nor turns any of it into tokens.
        denied_until: Time before which requests make no further draw.
        draws_in_flight: Draws at the leader that have had no response yet.
    """

    def __init__(self, window: datetime.timedelta) -> None:
        self._window = window
        # A silent gateway may still use what it has.
        self._retention = accounting.GATEWAY_TOKEN_LIFETIME + window
        self._state_by_gateway: dict[str, GatewayState] = {}
        self.tokens = 0
        self.spent = 0
        self.reserve = 0
        self.reserve_fixed = False
        self.denied_until = clock.ZERO
        self.draws_in_flight = 0
        self._reserve_used_since_draw = 0
        self._last_wanted = 0
        self._last_draw_lost = False

    def grant(self, draw: accounting.Draw, now: datetime.timedelta) -> accounting.Grant:
        """Records a gateway's draw, by which it may return tokens too, and returns its grant."""
        self._drop_silent(now)
        before = self._state_by_gateway.get(draw.holder)
        reserve = before.reserve if before is not None else 0
        # Use of the reserve is reported to the leader, which then sets that part aside no longer.
        used = min(draw.spent, reserve)
        self._use_reserve(used)
        self.spent += draw.spent - used
        mean_demand = self._mean_demand(before, draw.demand, now)
        gateway = GatewayState(draw.stock, draw.demand, mean_demand, reserve - used, now)
        self._state_by_gateway[draw.holder] = gateway
        self._convert_reserve(draw.wanted)
        granted = min(draw.wanted, self.tokens) if draw.wanted > 0 else draw.wanted
        if granted:
            self.tokens -= granted
        granted = max(0, granted)
        gateway.stock += granted
        if self.reserve_fixed:
            return accounting.Grant(granted, accounting.RESERVE_UNCHANGED)
        gateway.reserve = self._reserve_share(gateway)
        return accounting.Grant(granted, gateway.reserve)

    def _mean_demand(
        self, before: GatewayState | None, demand: float, now: datetime.timedelta
    ) -> float:
        if before is None:
            return demand
        weight = min(1.0, (now - before.drawn_at) / self._window)
        return before.mean_demand + weight * (demand - before.mean_demand)

    def _convert_reserve(self, wanted: int) -> None:
        """Turns the undivided part of the reserve into tokens as far as the stock falls short."""
        amount = min(wanted - self.tokens, self.reserve - self.divided_reserve)
        if amount > 0 and not self.reserve_fixed:
            self.tokens += amount
            self._use_reserve(amount)

    def _use_reserve(self, amount: int) -> None:
        """Counts a part of the reserve as used."""
        self.reserve -= amount
        self.spent += amount
        self._reserve_used_since_draw += amount

    def _reserve_share(self, gateway: GatewayState) -> int:
        """Returns a gateway's share of the reserve.

        Callers are spread over gateways, so half of the share follows the mean demand. Demand is
        averaged over the window: the few requests of one second say little of an outage's.
        """
        demand = sum(state.mean_demand for state in self._state_by_gateway.values())
        if demand <= 0:
            return 0
        expected = (gateway.mean_demand + demand / len(self._state_by_gateway)) / 2
        divided = int(DIVIDED_FRACTION * self.reserve)
        others = self.divided_reserve - gateway.reserve
        return max(0, min(int(divided * expected / demand), divided - others))

    def _drop_silent(self, now: datetime.timedelta) -> None:
        silent = [
            name
            for name, gateway in self._state_by_gateway.items()
            if now - gateway.drawn_at > self._retention
        ]
        for name in silent:
            del self._state_by_gateway[name]

    @property
    def demand(self) -> float:
        """Recent requests per second at all gateways."""
        return sum(gateway.demand for gateway in self._state_by_gateway.values())

    @property
    def divided_reserve(self) -> int:
        """Sum of the gateways' shares of the reserve."""
        return sum(gateway.reserve for gateway in self._state_by_gateway.values())

    def draw(
        self, holder: str, number: int, now: datetime.timedelta, min_wanted: int
    ) -> accounting.Draw:
        """Returns the next draw at the leader, by which surplus tokens are returned.

        Args:
            holder: Name of the branch.
            number: Sequence number of the draw.
            now: Monotonic time.
            min_wanted: Smallest number of tokens to ask for.
        """
        self._drop_silent(now)
        target = BASE_STOCK + round(self.demand * TARGET_STOCK_S) if self._state_by_gateway else 0
        wanted = max(min_wanted, target - self.tokens)
        if -BASE_STOCK <= wanted < 0:
            wanted = 0
        if wanted < 0:
            self.tokens += wanted
        # While no leader answers, none can set the reserve anew.
        leader_answers = not self.draws_in_flight and not self._last_draw_lost
        if not self.reserve_fixed and leader_answers:
            # The leader sets aside no less than this draw reports, whichever responses are lost.
            self.reserve = max(self.divided_reserve, int(RESERVE_DECAY * self.reserve))
        spent, self.spent = self.spent, 0
        self.draws_in_flight += 1
        self._last_wanted = wanted
        self._reserve_used_since_draw = 0
        return accounting.Draw(
            holder,
            self.tokens + sum(gateway.stock for gateway in self._state_by_gateway.values()),
            wanted,
            round(self.demand, 2),
            spent,
            self.reserve,
            number,
        )

    def receive(self, grant: accounting.Grant, now: datetime.timedelta) -> None:
        """Applies the leader's response to a draw."""
        self.draws_in_flight -= 1
        self._last_draw_lost = False
        self.tokens += grant.tokens
        if not grant.tokens and self._last_wanted > 0:
            self.denied_until = now + DRAW_BACKOFF
        self.reserve_fixed = grant.reserve == accounting.RESERVE_UNCHANGED
        if not self.reserve_fixed and not self.draws_in_flight:
            self.reserve = grant.reserve - self._reserve_used_since_draw

    def record_lost_draw(self, draw: accounting.Draw) -> None:
        """Records that a draw has had no response.

        The leader may have processed it or not, so the tokens that it may have granted are given
        up, and the use of the reserve is reported again.
        """
        self.draws_in_flight -= 1
        self._last_draw_lost = True
        self.spent += draw.spent

    def is_idle(self) -> bool:
        """Returns whether there is nothing to report of the organisation."""
        return not (self.tokens or self.spent or self.reserve or self._state_by_gateway)


class Branch:
    """A branch's ledgers of all organisations.

    Args:
        holder: Name of the branch at the leader; a restarted process takes a new one.
        tolerance: Window and tolerance of contracts.
    """

    def __init__(self, holder: str, tolerance: accounting.Tolerance) -> None:
        self._holder = holder
        self._window = tolerance.window
        self._number = 0
        self._ledger_by_organisation: dict[str, Ledger] = {}

    def ledger(self, organisation: str) -> Ledger:
        """Returns an organisation's ledger, which is opened if there is none."""
        ledger = self._ledger_by_organisation.get(organisation)
        if ledger is None:
            ledger = Ledger(self._window)
            self._ledger_by_organisation[organisation] = ledger
        return ledger

    def draw(self, organisation: str, now: datetime.timedelta, min_wanted: int) -> accounting.Draw:
        """Returns a draw between polls; see ``Ledger.draw``."""
        self._number += 1
        return self.ledger(organisation).draw(self._holder, self._number, now, min_wanted)

    def draws(self, now: datetime.timedelta) -> dict[str, accounting.Draw]:
        """Returns the draws to send with a poll of the leader, by organisation."""
        draws = {}
        for organisation, ledger in list(self._ledger_by_organisation.items()):
            if ledger.is_idle() and not ledger.draws_in_flight:
                del self._ledger_by_organisation[organisation]
                continue
            draws[organisation] = self.draw(organisation, now, 0)
        return draws
