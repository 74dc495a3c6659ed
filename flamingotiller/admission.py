"""Admission control by rate: each request takes a token of its organisation.

The token comes from this zone's share, kept by the holder of the organisation's shard. When that
share is empty, the holder borrows tokens from the shares of other zones."""

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
# Tokens are borrowed ahead for as many requests as arrived in the latest window of this length.
BORROW_AHEAD_WINDOW = clock.seconds(0.5)
BORROW_AHEAD_INTERVAL = clock.seconds(0.1)
BORROW_AHEAD_BURST_FRACTION = 0.25
BORROW_RETRY_DELAY = clock.seconds(0.05)
SETTLE_INTERVAL = clock.seconds(0.25)


@dataclasses.dataclass
class _Waiter:
    """A request that waits for a token.

    Attributes:
        waiting_since: Monotonic time at which it began to wait.
        taken: Whether it got a token.
    """

    waiting_since: datetime.timedelta
    taken: asyncio.Future[bool]


@dataclasses.dataclass
class _Demand:
    """Demand for one organisation's tokens at this holder.

    Attributes:
        waiting: Requests that wait for a token, the oldest first.
        recent: Times of the requests within ``BORROW_AHEAD_WINDOW``.
        borrowing: Whether a task borrows tokens.
        borrowed_at: Time at which the last such task ended.
    """

    waiting: list[_Waiter] = dataclasses.field(default_factory=list)
    recent: collections.deque[datetime.timedelta] = dataclasses.field(
        default_factory=lambda: collections.deque(maxlen=1000)
    )
    borrowing: bool = False
    borrowed_at: datetime.timedelta | None = None

    def record_request(self, now: datetime.timedelta) -> None:
        """Records the arrival of a request."""
        self.recent.append(now)
        while self.recent and now - self.recent[0] > BORROW_AHEAD_WINDOW:
            self.recent.popleft()


class Admission:
    """Decides whether requests are within their organisation's rate.

    Args:
        process: The entry instance.
        limiter_name: Name under which the class of the buckets is registered.
    """

    def __init__(self, process: entry.EntryInstance, limiter_name: str) -> None:
        self._process = process
        self._pools = limiter.TokenPoolSet(kernel.limiters.get(limiter_name), process.rng)
        self._breaker = breaker.CircuitBreakers(process.clock)
        self._demand_by_organisation: dict[str, _Demand] = {}

    def on_configuration_change(self) -> None:
        """Updates the shares after a new configuration version has come into force."""
        now = self._process.clock.monotonic()
        zone = self._process.config.zone
        contracts = self._process.feed.view.contract_by_organisation
        for organisation, pool in list(self._pools.pool_by_organisation.items()):
            if organisation not in contracts:
                self._pools.drop(organisation)
                continue
            entitlement.update_bucket(self._process.feed, organisation, zone, pool.bucket, now)

    def on_shard_lost(self, shard: int) -> None:
        """Discards the token pools of a shard that this instance no longer holds."""
        for organisation in list(self._pools.pool_by_organisation):
            if lease.shard_of("organisation", organisation) == shard:
                self._pools.drop(organisation)

    def pool(self, organisation: str) -> limiter.TokenPool:
        """Returns the token pool of an organisation at this holder, opening it if necessary.

        Raises:
            errors.UnavailableError: This instance does not hold the organisation's shard.
            errors.NotFoundError: The organisation has no contract.
        """
        if not self._process.shards.holds(lease.shard_of("organisation", organisation)):
            raise errors.UnavailableError(
                "this instance does not hold the shard", step="take token"
            )
        self._terms(organisation)
        pool = self._pools.get(organisation)
        if pool is None:
            now = self._process.clock.monotonic()
            zone = self._process.config.zone
            first = entitlement.initial_share(self._process.feed, organisation, zone)
            pool = self._pools.open(organisation, first, now)
            current = entitlement.share(self._process.feed.view, organisation, zone)
            pool.bucket.set_share(current or first, now)
        return pool

    def _terms(self, organisation: str) -> tuple[contract.Contract, contract.Deployment]:
        view = self._process.feed.view
        terms = view.contract_by_organisation.get(organisation)
        if terms is None or view.deployment is None:
            raise errors.NotFoundError(f"{organisation} has no contract", step="take token")
        return terms, view.deployment

    def _is_fresh(self) -> bool:
        return self._process.feed.is_fresh(self._process.config.freshness_bound)

    async def take_token(self, organisation: str) -> bool:
        """Takes a token for a request that arrived at this instance.

        Waits while no holder responds, in this zone or another; the calling code limits that time.

        Returns:
            Whether a token was taken; False means that the request exceeds the rate and burst.

        Raises:
            errors.NotFoundError: The organisation has no contract.
        """
        while True:
            try:
                return await self._request_token(organisation)
            except errors.UnavailableError:
                # The shard may be changing its holder, which takes only a moment.
                await asyncio.sleep(BORROW_RETRY_DELAY.total_seconds())

    async def _request_token(self, organisation: str) -> bool:
        shard = lease.shard_of("organisation", organisation)
        body = {"organisation": organisation, "confirmed": self._is_fresh()}
        try:
            if self._process.shards.holds(shard):
                return await self.take_held_token(organisation)
            if self._process.shards.is_holder_unresponsive(shard):
                return await self._take_from_other_zone(body)
            document = await self._process.shards.call_holder(
                shard, "/v1/tokens/take", body, HOLDER_TIMEOUT
            )
            return bool(document["taken"])
        except (errors.UnavailableError, errors.TransportError, KeyError, TypeError):
            return await self._take_from_other_zone(body)

    async def _take_from_other_zone(self, body: dict[str, typing.Any]) -> bool:
        """Takes a token at the holder in another zone while this zone has no holder."""
        for zone in lookup.fallback_zones(self._process.feed.view, self._process.config.zone):
            for address in self._process.table.addresses_in(zone)[:2]:
                try:
                    response = await self._process.client.call(
                        address, "POST", "/v1/tokens/take", body, timeout=HOLDER_TIMEOUT
                    )  # fmt: skip
                    document = client.raise_for_status(response, step="take token", peer=address)
                    return bool(document["taken"])
                except (errors.FlamingotillerError, KeyError, TypeError):
                    continue
        raise errors.UnavailableError(
            "no holder of the organisation's tokens answered", step="take token"
        )

    def try_take_token(self, organisation: str) -> bool:
        """Takes a token if this instance holds the organisation's shard and a token is available.

        Returns:
            Whether a token was taken.

        Raises:
            errors.NotFoundError: The organisation has no contract.
        """
        if not self._process.shards.holds(lease.shard_of("organisation", organisation)):
            return False
        pool = self.pool(organisation)
        now = self._process.clock.monotonic()
        demand = self._demand_by_organisation.setdefault(organisation, _Demand())
        if demand.waiting or not pool.take(now):
            return False
        demand.record_request(now)
        self._borrow_ahead(organisation, pool, demand, now)
        return True

    async def take_held_token(self, organisation: str) -> bool:
        """Takes a token at this holder, borrowing from other zones if necessary.

        Returns:
            Whether a token was taken.
        """
        if self.try_take_token(organisation):
            return True
        self.pool(organisation)
        now = self._process.clock.monotonic()
        demand = self._demand_by_organisation.setdefault(organisation, _Demand())
        demand.record_request(now)
        terms, _ = self._terms(organisation)
        max_waiting = terms.burst + terms.rate * limiter.MAX_WAIT.total_seconds()
        if len(demand.waiting) >= max_waiting:
            return False
        waiter = _Waiter(now, asyncio.get_running_loop().create_future())
        demand.waiting.append(waiter)
        self._start_borrowing(organisation, demand)
        try:
            return await waiter.taken
        except asyncio.CancelledError:
            if waiter in demand.waiting:
                demand.waiting.remove(waiter)
            raise

    def _borrow_ahead(self, organisation, pool, demand: _Demand, now) -> None:
        low = pool.tokens(now) < len(demand.recent) / 2
        due = demand.borrowed_at is None or now - demand.borrowed_at >= BORROW_AHEAD_INTERVAL
        if low and due and self._lenders(organisation):
            self._start_borrowing(organisation, demand)

    def _lenders(self, organisation: str) -> list[str]:
        """Returns the other zones that have a share and can be reached."""
        terms, deployment = self._terms(organisation)
        sharing = limiter.zones_with_share(organisation, terms.burst, deployment.zones_by_name)
        own = self._process.config.zone
        return [
            zone
            for zone in sharing
            if zone != own
            and self._process.table.addresses_in(zone)
            and not self._breaker.is_open(zone)
        ]

    def _start_borrowing(self, organisation: str, demand: _Demand) -> None:
        if not demand.borrowing:
            demand.borrowing = True
            self._process.run_in_background(self._borrow(organisation, demand))

    async def _borrow(self, organisation: str, demand: _Demand) -> None:
        """Borrows until no request waits; refuses requests that have waited for ``MAX_WAIT``."""
        try:
            while True:
                gained = await self._borrow_once(organisation, demand)
                self._serve_waiting(organisation, demand)
                if not demand.waiting:
                    return
                if gained < 1.0:
                    await asyncio.sleep(BORROW_RETRY_DELAY.total_seconds())
                    self._serve_waiting(organisation, demand)
                    self._refuse_expired(demand)
        except errors.FlamingotillerError:
            for waiter in demand.waiting:
                _resolve(waiter, False)
            demand.waiting.clear()
        finally:
            demand.borrowing = False
            demand.borrowed_at = self._process.clock.monotonic()

    def _serve_waiting(self, organisation: str, demand: _Demand) -> None:
        pool = self.pool(organisation)
        now = self._process.clock.monotonic()
        while demand.waiting and pool.take(now):
            _resolve(demand.waiting.pop(0), True)
        self._send_settlements(organisation, pool)

    def _refuse_expired(self, demand: _Demand) -> None:
        now = self._process.clock.monotonic()
        while demand.waiting and now - demand.waiting[0].waiting_since >= limiter.MAX_WAIT:
            _resolve(demand.waiting.pop(0), False)

    async def _borrow_once(self, organisation: str, demand: _Demand) -> float:
        """Requests one loan from every lender and returns the number of tokens borrowed."""
        lenders = self._lenders(organisation)
        if not lenders:
            return 0.0
        terms, _ = self._terms(organisation)
        ahead = min(len(demand.recent), BORROW_AHEAD_BURST_FRACTION * terms.burst)
        wanted = (len(demand.waiting) + ahead) / len(lenders)

        async def borrow_from(zone: str) -> float:
            requested_at = self._process.clock.monotonic()
            address, loan = await self._request_loan(zone, organisation, max(1.0, wanted))
            pool = self.pool(organisation)
            pool.borrow(address, loan, requested_at, self._process.clock.monotonic())
            # Waiting requests are served now instead of after the slowest zone has responded.
            self._serve_waiting(organisation, demand)
            return loan.tokens

        return sum(await asyncio.gather(*(borrow_from(zone) for zone in lenders)))

    async def _request_loan(
        self, zone: str, organisation: str, wanted: float
    ) -> tuple[str, limiter.Loan]:
        body = {"organisation": organisation, "wanted": wanted}
        for address in self._process.table.addresses_in(zone)[:2]:
            try:
                response = await self._process.client.call(
                    address, "POST", "/v1/tokens/lend", body, timeout=LOAN_TIMEOUT
                )
                document = client.raise_for_status(response, step="borrow tokens", peer=address)
                return address, limiter.Loan(int(document["number"]), float(document["tokens"]))
            except (errors.FlamingotillerError, KeyError, TypeError, ValueError):
                continue
        self._breaker.trip(zone)
        return "", limiter.Loan(0, 0.0)

    async def run(self) -> None:
        """Sends settlements at regular intervals."""
        while True:
            await asyncio.sleep(SETTLE_INTERVAL.total_seconds())
            for organisation, pool in list(self._pools.pool_by_organisation.items()):
                self._send_settlements(organisation, pool)

    def _send_settlements(self, organisation: str, pool: limiter.TokenPool) -> None:
        rows_by_lender: dict[str, list[tuple[int, float, float | None]]] = {}
        for lender, settlement in pool.settlements(self._process.clock.monotonic()):
            row = (settlement.number, settlement.spent, settlement.unspent)
            rows_by_lender.setdefault(lender, []).append(row)
        for lender, rows in rows_by_lender.items():
            self._process.run_in_background(self._settle(lender, organisation, rows))

    async def _settle(self, lender: str, organisation: str, rows: list[typing.Any]) -> None:
        # If the last settlement of a loan is lost, the lender counts the loan until it expires.
        body = {"organisation": organisation, "loans": rows}
        await self._process.client.call(
            lender, "POST", "/v1/tokens/settle", body, timeout=LOAN_TIMEOUT
        )

    # Messages from other instances

    async def on_message(self, path: str, body: typing.Any) -> dict[str, typing.Any]:
        """Handles a message from an instance of any zone, forwarding it to the holder if necessary.

        Raises:
            errors.InvalidInputError: The message is malformed.
            errors.UnavailableError: The holder did not respond, or it cannot confirm its share.
        """
        try:
            organisation, hops = str(body["organisation"]), int(body.get("hops", 0))
        except (KeyError, TypeError, ValueError, AttributeError) as error:
            raise errors.InvalidInputError(
                f"malformed token message: {error}", step=path
            ) from error
        shard = lease.shard_of("organisation", organisation)
        if not self._process.shards.holds(shard):
            if hops:
                raise errors.UnavailableError("this instance does not hold the shard", step=path)
            return await self._process.shards.call_holder(
                shard, path, {**body, "hops": hops + 1}, LOAN_TIMEOUT
            )
        # A version that this instance lacks may have moved part of this zone's share to another
        # zone. Instances that are not fresh either serve open routes only, and may go on taking
        # tokens from the share known here.
        if not self._is_fresh() and (path == "/v1/tokens/lend" or body.get("confirmed")):
            raise errors.UnavailableError("the zone's share is not confirmed at present", step=path)
        if path == "/v1/tokens/take":
            return {"taken": await self.take_held_token(organisation)}
        return self._handle_loan_message(path, organisation, body)

    def _handle_loan_message(self, path: str, organisation: str, body) -> dict[str, typing.Any]:
        bucket = self.pool(organisation).bucket
        now = self._process.clock.monotonic()
        try:
            if path == "/v1/tokens/settle":
                for number, spent, unspent in body["loans"]:
                    returned = None if unspent is None else float(unspent)
                    bucket.settle(limiter.Settlement(int(number), float(spent), returned), now)
                return {}
            wanted = float(body["wanted"])
        except (KeyError, TypeError, ValueError) as error:
            raise errors.InvalidInputError(
                f"malformed token message: {error}", step=path
            ) from error
        if not 0 < wanted < 1e9:
            raise errors.InvalidInputError("wanted: expected a positive number", step=path)
        loan = bucket.lend(wanted, now)
        return {"number": loan.number, "tokens": loan.tokens}


def _resolve(waiter: _Waiter, taken: bool) -> None:
    if not waiter.taken.done():
        waiter.taken.set_result(taken)
