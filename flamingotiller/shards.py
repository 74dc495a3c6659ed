"""Shard leases of an entry instance.

A task acquires and renews the leases. Messages for a shard are sent to its current holder."""

from __future__ import annotations

import asyncio
import datetime
import typing

from flamingotiller import breaker, client, clock, errors, events, lease

if typing.TYPE_CHECKING:
    from flamingotiller import entry

LEASE_REQUEST_TIMEOUT = clock.seconds(0.5)
MAX_VOTERS = 5


class ShardLeases:
    """The leases of an entry instance, as a voter and as a holder.

    Args:
        process: The entry instance.
    """

    def __init__(self, process: entry.EntryInstance) -> None:
        self._process = process
        self._duration: datetime.timedelta = process.config.lease
        self.voter = lease.Voter(process.clock.monotonic(), self._duration)
        self._holder = lease.Holder(process.config.instance, self._duration)
        self._held: set[int] = set()
        self._seat_mismatch_reported = False
        self._voters_at_version: tuple[int, tuple[str, ...]] = (-1, ())
        self._released = asyncio.Event()
        self._breaker = breaker.CircuitBreakers(process.clock)

    @property
    def held(self) -> set[int]:
        """Shards held at the end of the last renewal, for metrics."""
        return self._held

    def seats(self) -> tuple[str, ...]:
        """Returns the seats of this zone, none until a deployment is in force."""
        deployment = self._process.feed.view.deployment
        zone = deployment.zones_by_name.get(self._process.config.zone) if deployment else None
        return zone.seats if zone else ()

    def voters(self) -> tuple[str, ...]:
        """Returns the seats that vote on leases, at most ``MAX_VOTERS`` even in a large zone."""
        version = self._process.feed.version
        if self._voters_at_version[0] != version:
            self._voters_at_version = (version, self.seats()[:MAX_VOTERS])
        return self._voters_at_version[1]

    def holds(self, shard: int) -> bool:
        """Returns whether this instance holds a shard now."""
        return self._holder.holds(shard, self.voters(), self._process.clock.monotonic())

    async def run(self) -> None:
        """Renews leases every third of their duration, and at once after a release elsewhere."""
        while True:
            self._released.clear()
            await self._renew()
            try:
                async with asyncio.timeout((self._duration / 3).total_seconds()):
                    await self._released.wait()
            except TimeoutError:
                continue

    async def _renew(self) -> None:
        if self._process.config.instance not in self.seats():
            self._report_seat_mismatch()
            return
        wanted = self._wanted()
        for shard in [shard for shard in range(lease.SHARD_COUNT) if self.holds(shard)]:
            if shard not in wanted and not self._keeps(shard):
                await self.release([shard])
        if wanted:
            await self._request_grants(sorted(wanted))
        self._update_held()

    def _report_seat_mismatch(self) -> None:
        if self.seats() and not self._seat_mismatch_reported:
            self._seat_mismatch_reported = True
            config = self._process.config
            events.emit(events.SEAT_MISMATCH, instance=config.instance, zone=config.zone)

    def _candidates(self, shard: int) -> list[str]:
        """Returns the instances that may hold a shard."""
        now = self._process.clock.monotonic()
        drained = self._process.feed.view.drained
        names = [
            member.instance
            for member in self._process.table.live(now)
            if not member.leaving and ("instance", member.instance) not in drained
        ]
        expired = self.voter.expired_holder(shard, now)
        # A holder whose lease expired has probably failed, although membership has not noticed yet.
        if expired in names and expired != self._process.config.instance and len(names) > 1:
            names.remove(expired)
        return [name for name in names if name in self.seats()]

    def _wanted(self) -> set[int]:
        """Returns the shards that this instance should hold."""
        own = self._process.config.instance
        if self._process.stopping:
            return set()
        wanted = set()
        for shard in range(lease.SHARD_COUNT):
            candidates = self._candidates(shard)
            is_preferred = candidates and lease.preferred_holder(shard, candidates) == own
            if is_preferred or (self.holds(shard) and self._keeps(shard)):
                wanted.add(shard)
        return wanted

    def _keeps(self, shard: int) -> bool:
        """Returns whether a held shard is kept, since there is no candidate to take it over."""
        return not self._process.stopping and not self._candidates(shard)

    async def _request_grants(self, shards: list[int]) -> None:
        own = self._process.table.own
        body = {"holder": own.instance, "epoch": own.epoch, "shards": shards}
        sent = self._process.clock.monotonic()
        granted = []
        if own.instance in self.voters():
            granted = self.voter.grant(shards, own.instance, own.epoch, sent)
        self._holder.record_grants(own.instance, granted, sent)
        await asyncio.gather(
            *(self._request_from(name, address, body) for name, address in self._other_voters())
        )

    def _other_voters(self) -> list[tuple[str, str]]:
        members = self._process.table.member_by_instance
        own = self._process.config.instance
        return [
            (seat, members[seat].address)
            for seat in self.voters()
            if seat != own and seat in members
        ]

    async def _request_from(self, name: str, address: str, body: dict[str, typing.Any]) -> None:
        sent = self._process.clock.monotonic()
        try:
            response = await self._process.client.call(
                address, "POST", "/v1/lease", body, timeout=LEASE_REQUEST_TIMEOUT
            )
            document = client.raise_for_status(response, step="lease", peer=address)
            if document["voter"] == name:
                granted = set(map(int, document["granted"])) & set(body["shards"])
                self._holder.record_grants(name, granted, sent)
        except (errors.FlamingotillerError, KeyError, TypeError, ValueError):
            return

    async def release(self, shards: list[int]) -> None:
        """Releases shards and informs the voters."""
        own = self._process.table.own
        for shard in shards:
            self._holder.release(shard)
        self._update_held()
        self.voter.release(shards, own.instance, own.epoch)
        body = {"holder": own.instance, "epoch": own.epoch, "shards": shards, "release": True}
        calls = (
            self._process.client.call(
                address, "POST", "/v1/lease", body, timeout=LEASE_REQUEST_TIMEOUT
            )
            for _, address in self._other_voters()
        )
        await asyncio.gather(*calls, return_exceptions=True)

    async def release_all(self) -> None:
        """Releases every held shard, before a stop."""
        await self.release([shard for shard in range(lease.SHARD_COUNT) if self.holds(shard)])

    def _update_held(self) -> None:
        held = {shard for shard in range(lease.SHARD_COUNT) if self.holds(shard)}
        for shard in sorted(held - self._held):
            events.emit(events.LEASE_TAKEN, shard=shard)
        for shard in sorted(self._held - held):
            events.emit(events.LEASE_LOST, shard=shard)
            self._process.on_shard_lost(shard)
        self._held = held

    def on_lease(self, body: typing.Any) -> dict[str, typing.Any]:
        """Handles a request or release of shards by an instance.

        Raises:
            errors.InvalidInputError: The request is malformed.
        """
        try:
            shards = [int(shard) for shard in body["shards"]]
            holder, epoch = str(body["holder"]), int(body["epoch"])
        except (KeyError, TypeError, ValueError) as error:
            raise errors.InvalidInputError(f"bad lease request: {error}", step="lease") from error
        if not all(0 <= shard < lease.SHARD_COUNT for shard in shards):
            raise errors.InvalidInputError("no such shard", step="lease")
        own = self._process.config.instance
        if body.get("release"):
            self.voter.release(shards, holder, epoch)
            self._released.set()
            return {"voter": own, "granted": []}
        # Majorities of different sets of voters need not overlap, so only a seat in the common set
        # grants.
        if own not in self.voters() or holder not in self.seats():
            return {"voter": own, "granted": []}
        now = self._process.clock.monotonic()
        return {"voter": own, "granted": self.voter.grant(shards, holder, epoch, now)}

    def holder_address(self, shard: int) -> str | None:
        """Returns the address of the instance that most likely holds a shard.

        Returns:
            None if this instance holds the shard, an empty string if no holder is known.
        """
        if self.holds(shard):
            return None
        now = self._process.clock.monotonic()
        members = self._process.table.member_by_instance
        name = self.voter.holder_of(shard, now)
        if name is None or name == self._process.config.instance or name not in members:
            candidates = self._candidates(shard)
            name = lease.preferred_holder(shard, candidates) if candidates else None
        if name is None or name == self._process.config.instance or name not in members:
            return ""
        return members[name].address

    async def call_holder(
        self,
        shard: int,
        path: str,
        body: dict[str, typing.Any],
        timeout: datetime.timedelta,
    ) -> typing.Any:
        """Sends a message to the holder of a shard.

        Raises:
            errors.UnavailableError: No other instance is known to hold the shard.
            errors.TransportError: The holder did not respond.
        """
        address = self.holder_address(shard)
        if not address:
            raise errors.UnavailableError("no holder of the shard is known", step=path)
        started = self._process.clock.monotonic()
        try:
            response = await self._process.client.call(address, "POST", path, body, timeout=timeout)
        except errors.ExchangeTimeoutError:
            self._breaker.trip(address, started)
            raise
        self._breaker.close(address)
        return client.raise_for_status(response, step=path, peer=address)

    def record_slow_holder(self, shard: int, sent_at: datetime.timedelta) -> None:
        """Trips the holder's breaker for a request that it has not responded to yet.

        Args:
            shard: The shard.
            sent_at: Monotonic time at which the request was sent to the holder.
        """
        address = self.holder_address(shard)
        if address:
            self._breaker.trip(address, sent_at)

    def is_holder_unresponsive(self, shard: int) -> bool:
        """Returns whether the breaker of a shard's holder is open after unanswered requests."""
        return self._breaker.is_open(self.holder_address(shard) or "")
