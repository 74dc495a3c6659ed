"""Admission by rate: takes a token for each request, from this zone's share at the holder of the
organisation's shard and, when that is empty, from the shares of other zones."""

from __future__ import annotations

import asyncio
import dataclasses
import datetime
import typing

from flamingotiller import client, clock, errors, kernel, lease, limiter, lookup

if typing.TYPE_CHECKING:
    from flamingotiller import entry

PULL_TIMEOUT = clock.seconds(0.5)
HOLDER_TIMEOUT = clock.seconds(1)
PREFETCH_BELOW = 0.25
PREFETCH_PAUSE = clock.seconds(0.2)
MAX_WAITING = 1000


@dataclasses.dataclass
class _Pull:
    """Requests of one organisation that wait for tokens of other zones."""

    waiting: list[asyncio.Future[bool]] = dataclasses.field(default_factory=list)
    running: bool = False
    ended: datetime.timedelta | None = None


class Admission:
    """Decides whether requests are within their organisation's rate.

    Args:
        process: The entry instance.
        kind: Name of the limiter.
    """

    def __init__(self, process: entry.EntryInstance, kind: str) -> None:
        self._process = process
        self._buckets = limiter.BucketSet(kernel.limiters.get(kind))
        self._pull_by_organisation: dict[str, _Pull] = {}

    def on_shard_lost(self, shard: int) -> None:
        """Forgets the buckets of a shard that is not held any more."""
        for organisation in list(self._buckets.bucket_by_organisation):
            if lease.shard_of("organisation", organisation) == shard:
                self._buckets.drop(organisation)

    def bucket(self, organisation: str) -> limiter.Bucket:
        """Returns the bucket of an organisation at this holder.

        Raises:
            errors.UnavailableError: This instance does not hold its shard.
            errors.NotFoundError: The organisation has no contract.
        """
        if not self._process.shards.holds(lease.shard_of("organisation", organisation)):
            raise errors.UnavailableError("shard is not held here", step="take token")
        now = self._process.clock.monotonic()
        share = self._share(organisation)
        bucket = self._buckets.get(organisation, share, now)
        bucket.set_share(share, now)
        return bucket

    def _share(self, organisation: str) -> limiter.Share:
        view = self._process.feed.view
        terms = view.contract_by_organisation.get(organisation)
        if terms is None or view.deployment is None:
            raise errors.NotFoundError(f"{organisation} has no contract", step="take token")
        return limiter.zone_share(terms.rate, terms.burst, len(view.deployment.zones_by_name))

    async def take(self, organisation: str) -> bool:
        """Takes a token for a request that arrived here.

        Returns:
            Whether there was one; False is a refusal for good reason.

        Raises:
            errors.UnavailableError: No holder could be asked, in this zone or another.
        """
        shard = lease.shard_of("organisation", organisation)
        body = {"organisation": organisation}
        try:
            if self._process.shards.holds(shard):
                return await self.take_here(organisation)
            document = await self._process.shards.ask_holder(
                shard, "/v1/tokens/take", body, HOLDER_TIMEOUT
            )
            return bool(document["taken"])
        except (errors.UnavailableError, errors.TransportError, KeyError, TypeError):
            return await self._take_elsewhere(organisation)

    async def _take_elsewhere(self, organisation: str) -> bool:
        """Takes a token at the holder of another zone while this zone has none."""
        for zone in lookup.neighbours(self._process.feed.view, self._process.config.zone):
            for address in self._process.table.addresses_in(zone)[:2]:
                try:
                    answer = await self._process.client.call(
                        address, "POST", "/v1/tokens/take",
                        {"organisation": organisation}, timeout=HOLDER_TIMEOUT,
                    )  # fmt: skip
                    document = client.raise_for_status(answer, step="take token", peer=address)
                    return bool(document["taken"])
                except (errors.FlamingotillerError, KeyError, TypeError):
                    continue
        raise errors.UnavailableError("nobody holds the organisation's tokens", step="take token")

    async def take_here(self, organisation: str) -> bool:
        """Takes a token at this holder, pulling from other zones if need be."""
        bucket = self.bucket(organisation)
        now = self._process.clock.monotonic()
        pull = self._pull_by_organisation.setdefault(organisation, _Pull())
        if not pull.waiting and bucket.take(now):
            self._prefetch(organisation, bucket, pull, now)
            return True
        if len(pull.waiting) >= MAX_WAITING or not self._donors():
            return False
        future: asyncio.Future[bool] = asyncio.get_running_loop().create_future()
        pull.waiting.append(future)
        self._start(organisation, pull)
        try:
            return await future
        except asyncio.CancelledError:
            if future in pull.waiting:
                pull.waiting.remove(future)
            raise

    def _prefetch(self, organisation, bucket, pull: _Pull, now: datetime.timedelta) -> None:
        share = self._share(organisation)
        low = bucket.tokens(now) < PREFETCH_BELOW * share.burst
        rested = pull.ended is None or now - pull.ended >= PREFETCH_PAUSE
        if low and rested and self._donors():
            self._start(organisation, pull)

    def _donors(self) -> list[str]:
        zones = lookup.neighbours(self._process.feed.view, self._process.config.zone)
        return [zone for zone in zones if self._process.table.addresses_in(zone)]

    def _start(self, organisation: str, pull: _Pull) -> None:
        if pull.running:
            return
        pull.running = True
        self._process.background(self._pull(organisation, pull))

    async def _pull(self, organisation: str, pull: _Pull) -> None:
        try:
            while await self._pull_once(organisation, pull):
                pass
        except errors.FlamingotillerError:
            _answer(pull, len(pull.waiting), False)
        finally:
            pull.running = False
            pull.ended = self._process.clock.monotonic()

    async def _pull_once(self, organisation: str, pull: _Pull) -> bool:
        """Asks every other zone once; returns whether to ask again."""
        asked = len(pull.waiting)
        share = self._share(organisation)
        wanted = asked + share.burst / 2
        sent = self._process.clock.monotonic()
        donors = self._donors()
        pulls = [self._pull_from(zone, organisation, wanted / len(donors)) for zone in donors]
        gained = sum(await asyncio.gather(*pulls))
        now = self._process.clock.monotonic()
        if now - sent > limiter.TRANSFER_LIFETIME:
            gained = 0.0
        served = self.bucket(organisation).redeem(gained, len(pull.waiting), now)
        _answer(pull, served, True)
        if gained < 1.0:
            # Nobody has tokens: those that were waiting when the question was put are refused.
            _answer(pull, max(0, asked - served), False)
        return bool(pull.waiting)

    async def _pull_from(self, zone: str, organisation: str, wanted: float) -> float:
        addresses = self._process.table.addresses_in(zone)
        body = {"organisation": organisation, "wanted": max(1.0, wanted)}
        for address in addresses[:2]:
            try:
                answer = await self._process.client.call(
                    address, "POST", "/v1/tokens/give", body, timeout=PULL_TIMEOUT
                )
                document = client.raise_for_status(answer, step="pull tokens", peer=address)
                self._process.background(self._settle(address, organisation, document))
                return float(document["tokens"])
            except (errors.FlamingotillerError, KeyError, TypeError, ValueError):
                continue
        return 0.0

    async def _settle(self, address: str, organisation: str, document) -> None:
        if not document["tokens"]:
            return
        body = {"organisation": organisation, "number": document["number"]}
        try:
            await self._process.client.call(
                address, "POST", "/v1/tokens/settle", body, timeout=PULL_TIMEOUT
            )
        except errors.TransportError:
            # The donor counts the transfer as under way until its lifetime has passed.
            return

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
                shard, path, {**body, "hops": hops + 1}, PULL_TIMEOUT
            )
        if path == "/v1/tokens/take":
            return {"taken": await self.take_here(organisation)}
        return self._on_transfer(path, organisation, body)

    def _on_transfer(self, path: str, organisation: str, body) -> dict[str, typing.Any]:
        bucket = self.bucket(organisation)
        try:
            if path == "/v1/tokens/settle":
                bucket.settle(int(body["number"]), self._process.clock.monotonic())
                return {}
            wanted = float(body["wanted"])
        except (KeyError, TypeError, ValueError) as error:
            raise errors.InvalidInputError(f"bad token message: {error}", step=path) from error
        if not 0 < wanted < 1e9:
            raise errors.InvalidInputError("wanted: expected a positive number", step=path)
        transfer = bucket.give(wanted, self._process.clock.monotonic())
        return {"number": transfer.number, "tokens": transfer.tokens}


def _answer(pull: _Pull, count: int, value: bool) -> None:
    for future in pull.waiting[:count]:
        if not future.done():
            future.set_result(value)
    del pull.waiting[:count]
