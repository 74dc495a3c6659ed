"""A steward's branch of the accounts: it draws organisations' tokens from the leader for the
gateways near it, which ask it instead of the leader.

Many gateways with a stock each would strand more tokens than a window allows, and every draw at the
leader would cross regions. A branch holds one stock for all of its gateways, counts what lies at
them, and divides the reserve that the leader keeps free for it."""

from __future__ import annotations

import dataclasses
import datetime

from flamingotiller import clock
from flamingotiller.fleet import accounting

# A stock lasts for about this time, two polls of the leader.
STOCK_S = 0.4
LEAST_STOCK = 2
# After a refused draw none is tried again for this long; the leader's account fills meanwhile.
DRAW_BACKOFF = clock.seconds(0.1)
# Part of the reserve that is divided among gateways; the rest is for those whose demand rises.
DIVIDED_PART = 0.95
# A reserve that is not divided among gateways is let go of by this factor with each poll.
LETTING_GO = 0.8


@dataclasses.dataclass
class Below:
    """What a branch knows of one gateway.

    Attributes:
        stock: Tokens that lie there.
        demand: Requests per second of late.
        reserve: Its part of the reserve.
        heard_at: When it last asked.
    """

    stock: int
    demand: float
    reserve: int
    heard_at: datetime.timedelta


class Ledger:
    """One organisation's tokens at a branch.

    Args:
        memory: For how long silent gateways may still use what they have.
    """

    def __init__(self, memory: datetime.timedelta) -> None:
        self._memory = memory
        self._below_by_gateway: dict[str, Below] = {}
        self.tokens = 0
        self.spent = 0
        self.limit = 0
        self.kept = False
        self.denied_until = clock.ZERO
        self.in_flight = 0
        # What has been used of the reserve since the last draw.
        self._lowered = 0

    def give(self, draw: accounting.Draw, now: datetime.timedelta) -> accounting.Grant:
        """Returns what a gateway is given; it may give back as well."""
        self._forget(now)
        before = self._below_by_gateway.get(draw.holder)
        reserve = before.reserve if before is not None else 0
        # What was used of the reserve is told to the leader and kept free there no longer.
        used = min(draw.spent, reserve)
        self._lower(used)
        self.spent += draw.spent - used
        below = Below(draw.stock, draw.demand, reserve - used, now)
        self._below_by_gateway[draw.holder] = below
        self._use_reserve(draw.wanted)
        given = min(draw.wanted, self.tokens) if draw.wanted > 0 else draw.wanted
        if given:
            self.tokens -= given
        given = max(0, given)
        below.stock += given
        if self.kept:
            return accounting.Grant(given, accounting.RESERVE_UNCHANGED)
        below.reserve = self._part_of_reserve(below)
        return accounting.Grant(given, below.reserve)

    def _use_reserve(self, wanted: int) -> None:
        """Turns what is not divided of the reserve into tokens when these run out."""
        amount = min(wanted - self.tokens, self.limit - self.reserved)
        if amount > 0 and not self.kept:
            self.tokens += amount
            self._lower(amount)

    def _lower(self, amount: int) -> None:
        """Notes that a part of the reserve is used."""
        self.limit -= amount
        self.spent += amount
        self._lowered += amount

    def _part_of_reserve(self, asking: Below) -> int:
        """Returns a gateway's part; callers are spread, so half of it goes by the mean demand."""
        demand = self.demand
        if demand <= 0:
            return 0
        expected = (asking.demand + demand / len(self._below_by_gateway)) / 2
        divided = int(DIVIDED_PART * self.limit)
        others = self.reserved - asking.reserve
        return max(0, min(int(divided * expected / demand), divided - others))

    def _forget(self, now: datetime.timedelta) -> None:
        silent = [n for n, b in self._below_by_gateway.items() if now - b.heard_at > self._memory]
        for name in silent:
            del self._below_by_gateway[name]

    @property
    def demand(self) -> float:
        """Requests per second of all gateways."""
        return sum(below.demand for below in self._below_by_gateway.values())

    @property
    def reserved(self) -> int:
        """Parts of the reserve that lie at gateways."""
        return sum(below.reserve for below in self._below_by_gateway.values())

    def draw(
        self, holder: str, number: int, now: datetime.timedelta, least: int
    ) -> accounting.Draw:
        """Returns what to ask the leader for, and gives back what is too much.

        Args:
            holder: Name of the branch.
            number: Counts the branch's draws.
            now: Monotonic time.
            least: Tokens that are wanted at least.
        """
        self._forget(now)
        target = LEAST_STOCK + round(self.demand * STOCK_S) if self._below_by_gateway else 0
        wanted = max(least, target - self.tokens)
        if -LEAST_STOCK <= wanted < 0:
            wanted = 0
        if wanted < 0:
            self.tokens += wanted
        if not self.kept:
            # The leader keeps no less free than it is told here, whichever answers are lost.
            self.limit = max(self.reserved, int(LETTING_GO * self.limit))
        spent, self.spent = self.spent, 0
        self.in_flight += 1
        self._lowered = 0
        return accounting.Draw(
            holder, self.tokens + sum(b.stock for b in self._below_by_gateway.values()), wanted,
            round(self.demand, 2), spent, self.limit, number,
        )  # fmt: skip

    def receive(self, grant: accounting.Grant, now: datetime.timedelta) -> None:
        """Takes the leader's answer to a draw."""
        self.in_flight -= 1
        self.tokens += grant.tokens
        if not grant.tokens:
            self.denied_until = now + DRAW_BACKOFF
        self.kept = grant.reserve == accounting.RESERVE_UNCHANGED
        if not self.kept and not self.in_flight:
            self.limit = grant.reserve - self._lowered

    def note_lost(self, draw: accounting.Draw) -> None:
        """Notes that a draw has no answer: it may have been taken or not, so what it would have
        brought is lost, and what it told is told again."""
        self.in_flight -= 1
        self.spent += draw.spent

    def is_idle(self) -> bool:
        """Returns whether there is nothing to tell of the organisation."""
        return not (self.tokens or self.spent or self.limit or self._below_by_gateway)


class Branch:
    """Ledgers by organisation.

    Args:
        holder: Name under which the leader knows this branch; never used by another lifetime.
        tolerance: Window and tolerance of contracts.
    """

    def __init__(self, holder: str, tolerance: accounting.Tolerance) -> None:
        self._holder = holder
        self._memory = accounting.GATEWAY_TOKEN_LIFETIME + tolerance.window
        self._number = 0
        self._ledger_by_organisation: dict[str, Ledger] = {}

    def ledger(self, organisation: str) -> Ledger:
        """Returns an organisation's ledger."""
        found = self._ledger_by_organisation.get(organisation)
        if found is None:
            found = Ledger(self._memory)
            self._ledger_by_organisation[organisation] = found
        return found

    def draw(self, organisation: str, now: datetime.timedelta, least: int) -> accounting.Draw:
        """Returns what to ask the leader for between polls; at least so many tokens."""
        self._number += 1
        return self.ledger(organisation).draw(self._holder, self._number, now, least)

    def draws(self, now: datetime.timedelta) -> dict[str, accounting.Draw]:
        """Returns what to ask the leader for with a poll, by organisation."""
        found = {}
        for organisation, ledger in list(self._ledger_by_organisation.items()):
            if ledger.is_idle() and not ledger.in_flight:
                del self._ledger_by_organisation[organisation]
                continue
            found[organisation] = self.draw(organisation, now, 0)
        return found
