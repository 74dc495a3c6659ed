"""Admission by rate: takes a token for each request, from this zone's share at the holder of the
organisation's shard and, when that is empty, from the shares of other zones."""

from __future__ import annotations

import asyncio
import collections
import dataclasses
import datetime
import typing

from flamingotiller import (
    breaker,
    client,
    clock,
    contract,
    entitlement,
    errors,
    kernel,
    lease,
    limiter,
    lookup,
)

if typing.TYPE_CHECKING:
    from flamingotiller import entry

LOAN_TIMEOUT = clock.seconds(0.5)
HOLDER_TIMEOUT = clock.seconds(1)
# Demand of this long is borrowed ahead while it lasts.
AHEAD = clock.seconds(0.5)
AHEAD_PAUSE = clock.seconds(0.1)
AHEAD_BURST_FRACTION = 0.25
ROUND_PAUSE = clock.seconds(0.05)
SETTLE_INTERVAL = clock.seconds(0.25)


@dataclasses.dataclass
class _Waiter:
    """A request that waits for a token."""

    since: datetime.timedelta
    answer: asyncio.Future[bool]


@dataclasses.dataclass
class _Demand:
    """What is wanted of one organisation's tokens at this holder."""

    waiting: list[_Waiter] = dataclasses.field(default_factory=list)
    recent: collections.deque[datetime.timedelta] = dataclasses.field(
        default_factory=lambda: collections.deque(maxlen=1000)
    )
    borrowing: bool = False
    borrowed: datetime.timedelta | None = None

    def note(self, now: datetime.timedelta) -> None:
        """Notes a request."""
        self.recent.append(now)
        while self.recent and now - self.recent[0] > AHEAD:
            self.recent.popleft()


class Admission:
    """Decides whether requests are within their organisation's rate.

    Args:
        process: The entry instance.
        kind: Name of the limiter.
    """

    def __init__(self, process: entry.EntryInstance, kind: str) -> None:
        self._process = process
        self._purses = limiter.PurseSet(kernel.limiters.get(kind), process.rng)
        self._breaker = breaker.Breaker(process.clock)
        self._demand_by_organisation: dict[str, _Demand] = {}

    def on_version(self) -> None:
        """Brings the shares up to date with a version that has just come into force."""
        now = self._process.clock.monotonic()
        zone = self._process.config.zone
        contracts = self._process.feed.view.contract_by_organisation
        for organisation, purse in list(self._purses.purse_by_organisation.items()):
            if organisation not in contracts:
                self._purses.drop(organisation)
                continue
            entitlement.follow(self._process.feed, organisation, zone, purse.bucket, now)

    def on_shard_lost(self, shard: int) -> None:
        """Forgets the purses of a shard that is not held any more."""
        for organisation in list(self._purses.purse_by_organisation):
            if lease.shard_of("organisation", organisation) == shard:
                self._purses.drop(organisation)

    def purse(self, organisation: str) -> limiter.Purse:
        """Returns the purse of an organisation at this holder.

        Raises:
            errors.UnavailableError: This instance does not hold its shard.
            errors.NotFoundError: The organisation has no contract.
        """
        if not self._process.shards.holds(lease.shard_of("organisation", organisation)):
            raise errors.UnavailableError("shard is not held here", step="take token")
        self._terms(organisation)
        purse = self._purses.get(organisation)
        if purse is None:
            now = self._process.clock.monotonic()
            zone = self._process.config.zone
            first = entitlement.first_share(self._process.feed, organisation, zone)
            purse = self._purses.open(organisation, first, now)
            present = entitlement.share(self._process.feed.view, organisation, zone)
            purse.bucket.set_share(present or first, now)
        return purse

    def _terms(self, organisation: str) -> tuple[contract.Contract, contract.Deployment]:
        view = self._process.feed.view
        terms = view.contract_by_organisation.get(organisation)
        if terms is None or view.deployment is None:
            raise errors.NotFoundError(f"{organisation} has no contract", step="take token")
        return terms, view.deployment

    def _is_fresh(self) -> bool:
        return self._process.feed.is_fresh(self._process.config.freshness_bound)

    async def take(self, organisation: str) -> bool:
        """Takes a token for a request that arrived here.

        Returns:
            Whether there was one; False is a refusal for good reason.

        Waits while no holder can be asked, in this zone or another; the caller bounds that time.

        Raises:
            errors.NotFoundError: The organisation has no contract.
        """
        while True:
            try:
                return await self._take(organisation)
            except errors.UnavailableError:
                # A shard that changes hands is held again within a moment.
                await asyncio.sleep(ROUND_PAUSE.total_seconds())

    async def _take(self, organisation: str) -> bool:
        shard = lease.shard_of("organisation", organisation)
        body = {"organisation": organisation, "confirmed": self._is_fresh()}
        try:
            if self._process.shards.holds(shard):
                return await self.take_here(organisation)
            if self._process.shards.is_silent(shard):
                return await self._take_elsewhere(body)
            document = await self._process.shards.ask_holder(
                shard, "/v1/tokens/take", body, HOLDER_TIMEOUT
            )
            return bool(document["taken"])
        except (errors.UnavailableError, errors.TransportError, KeyError, TypeError):
            return await self._take_elsewhere(body)

    async def _take_elsewhere(self, body: dict[str, typing.Any]) -> bool:
        """Takes a token at the holder of another zone while this zone has none."""
        for zone in lookup.neighbours(self._process.feed.view, self._process.config.zone):
            for address in self._process.table.addresses_in(zone)[:2]:
                try:
                    answer = await self._process.client.call(
                        address, "POST", "/v1/tokens/take", body, timeout=HOLDER_TIMEOUT
                    )  # fmt: skip
                    document = client.raise_for_status(answer, step="take token", peer=address)
                    return bool(document["taken"])
                except (errors.FlamingotillerError, KeyError, TypeError):
                    continue
        raise errors.UnavailableError("nobody holds the organisation's tokens", step="take token")

    def take_at_once(self, organisation: str) -> bool:
        """Takes a token if this instance holds the organisation's shard and has one.

        Raises:
            errors.NotFoundError: The organisation has no contract.
        """
        if not self._process.shards.holds(lease.shard_of("organisation", organisation)):
            return False
        purse = self.purse(organisation)
        now = self._process.clock.monotonic()
        demand = self._demand_by_organisation.setdefault(organisation, _Demand())
        if demand.waiting or not purse.take(now):
            return False
        demand.note(now)
        self._borrow_ahead(organisation, purse, demand, now)
        return True

    async def take_here(self, organisation: str) -> bool:
        """Takes a token at this holder, borrowing from other zones if need be."""
        if self.take_at_once(organisation):
            return True
        self.purse(organisation)
        now = self._process.clock.monotonic()
        demand = self._demand_by_organisation.setdefault(organisation, _Demand())
        demand.note(now)
        terms, _ = self._terms(organisation)
        room = terms.burst + terms.rate * limiter.MAX_WAIT.total_seconds()
        if len(demand.waiting) >= room:
            return False
        waiter = _Waiter(now, asyncio.get_running_loop().create_future())
        demand.waiting.append(waiter)
        self._start(organisation, demand)
        try:
            return await waiter.answer
        except asyncio.CancelledError:
            if waiter in demand.waiting:
                demand.waiting.remove(waiter)
            raise

    def _borrow_ahead(self, organisation, purse, demand: _Demand, now) -> None:
        low = purse.tokens(now) < len(demand.recent) / 2
        rested = demand.borrowed is None or now - demand.borrowed >= AHEAD_PAUSE
        if low and rested and self._lenders(organisation):
            self._start(organisation, demand)

    def _lenders(self, organisation: str) -> list[str]:
        """Returns the reachable zones that have a share."""
        terms, deployment = self._terms(organisation)
        sharing = limiter.share_zones(organisation, terms.burst, deployment.zones_by_name)
        own = self._process.config.zone
        return [
            zone
            for zone in sharing
            if zone != own
            and self._process.table.addresses_in(zone)
            and not self._breaker.is_open(zone)
        ]

    def _start(self, organisation: str, demand: _Demand) -> None:
        if not demand.borrowing:
            demand.borrowing = True
            self._process.run_in_background(self._borrow(organisation, demand))

    async def _borrow(self, organisation: str, demand: _Demand) -> None:
        """Borrows until nobody waits any more; those who have waited too long are refused."""
        try:
            while True:
                gained = await self._borrow_once(organisation, demand)
                self._serve(organisation, demand)
                if not demand.waiting:
                    return
                if gained < 1.0:
                    await asyncio.sleep(ROUND_PAUSE.total_seconds())
                    self._serve(organisation, demand)
                    self._refuse_late(demand)
        except errors.FlamingotillerError:
            for waiter in demand.waiting:
                _answer(waiter, False)
            demand.waiting.clear()
        finally:
            demand.borrowing = False
            demand.borrowed = self._process.clock.monotonic()

    def _serve(self, organisation: str, demand: _Demand) -> None:
        purse = self.purse(organisation)
        now = self._process.clock.monotonic()
        while demand.waiting and purse.take(now):
            _answer(demand.waiting.pop(0), True)
        self._tell_lenders(organisation, purse)

    def _refuse_late(self, demand: _Demand) -> None:
        now = self._process.clock.monotonic()
        while demand.waiting and now - demand.waiting[0].since >= limiter.MAX_WAIT:
            _answer(demand.waiting.pop(0), False)

    async def _borrow_once(self, organisation: str, demand: _Demand) -> float:
        """Asks every other zone that has a share once; returns the tokens gained."""
        lenders = self._lenders(organisation)
        if not lenders:
            return 0.0
        terms, _ = self._terms(organisation)
        ahead = min(len(demand.recent), AHEAD_BURST_FRACTION * terms.burst)
        wanted = (len(demand.waiting) + ahead) / len(lenders)

        async def borrow_from(zone: str) -> float:
            asked = self._process.clock.monotonic()
            address, loan = await self._ask_loan(zone, organisation, max(1.0, wanted))
            purse = self.purse(organisation)
            purse.borrow(address, loan, asked, self._process.clock.monotonic())
            # Those that wait do not wait for the slowest zone.
            self._serve(organisation, demand)
            return loan.tokens

        return sum(await asyncio.gather(*(borrow_from(zone) for zone in lenders)))

    async def _ask_loan(
        self, zone: str, organisation: str, wanted: float
    ) -> tuple[str, limiter.Loan]:
        body = {"organisation": organisation, "wanted": wanted}
        for address in self._process.table.addresses_in(zone)[:2]:
            try:
                answer = await self._process.client.call(
                    address, "POST", "/v1/tokens/lend", body, timeout=LOAN_TIMEOUT
                )
                document = client.raise_for_status(answer, step="borrow tokens", peer=address)
                return address, limiter.Loan(int(document["number"]), float(document["tokens"]))
            except (errors.FlamingotillerError, KeyError, TypeError, ValueError):
                continue
        self._breaker.trip(zone)
        return "", limiter.Loan(0, 0.0)

    async def run(self) -> None:
        """Settles loans that have ended."""
        while True:
            await asyncio.sleep(SETTLE_INTERVAL.total_seconds())
            for organisation, purse in list(self._purses.purse_by_organisation.items()):
                self._tell_lenders(organisation, purse)

    def _tell_lenders(self, organisation: str, purse: limiter.Purse) -> None:
        by_lender: dict[str, list[tuple[int, float, float | None]]] = {}
        for lender, told in purse.settlements(self._process.clock.monotonic()):
            by_lender.setdefault(lender, []).append((told.number, told.spent, told.unspent))
        for lender, rows in by_lender.items():
            self._process.run_in_background(self._settle(lender, organisation, rows))

    async def _settle(self, lender: str, organisation: str, rows: list[typing.Any]) -> None:
        # When the last word on a loan is lost, the lender counts the loan until it is void.
        body = {"organisation": organisation, "loans": rows}
        await self._process.client.call(
            lender, "POST", "/v1/tokens/settle", body, timeout=LOAN_TIMEOUT
        )

    # What other instances ask of this one

    async def on_message(self, path: str, body: typing.Any) -> dict[str, typing.Any]:
        """Answers an instance of this or another zone, passing it on to the holder if need be.

        Raises:
            errors.InvalidInputError: The message is malformed.
            errors.UnavailableError: The holder could not be asked.
        """
        try:
            organisation, hops = str(body["organisation"]), int(body.get("hops", 0))
        except (KeyError, TypeError, ValueError, AttributeError) as error:
            raise errors.InvalidInputError(f"bad token message: {error}", step=path) from error
        shard = lease.shard_of("organisation", organisation)
        if not self._process.shards.holds(shard):
            if hops:
                raise errors.UnavailableError("shard is not held here", step=path)
            return await self._process.shards.ask_holder(
                shard, path, {**body, "hops": hops + 1}, LOAN_TIMEOUT
            )
        # Others may have got what this zone's share has lost in a version that is not here yet.
        # Those who cannot know either, and serve open routes only, go on with what they have.
        if not self._is_fresh() and (path == "/v1/tokens/lend" or body.get("confirmed")):
            raise errors.UnavailableError("the share cannot be confirmed now", step=path)
        if path == "/v1/tokens/take":
            return {"taken": await self.take_here(organisation)}
        return self._on_loan(path, organisation, body)

    def _on_loan(self, path: str, organisation: str, body) -> dict[str, typing.Any]:
        bucket = self.purse(organisation).bucket
        now = self._process.clock.monotonic()
        try:
            if path == "/v1/tokens/settle":
                for number, spent, unspent in body["loans"]:
                    left = None if unspent is None else float(unspent)
                    bucket.settle(limiter.Settlement(int(number), float(spent), left), now)
                return {}
            wanted = float(body["wanted"])
        except (KeyError, TypeError, ValueError) as error:
            raise errors.InvalidInputError(f"bad token message: {error}", step=path) from error
        if not 0 < wanted < 1e9:
            raise errors.InvalidInputError("wanted: expected a positive number", step=path)
        loan = bucket.lend(wanted, now)
        return {"number": loan.number, "tokens": loan.tokens}


def _answer(waiter: _Waiter, value: bool) -> None:
    if not waiter.answer.done():
        waiter.answer.set_result(value)
