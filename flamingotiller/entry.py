"""An entry instance: answers look-ups, serves callers' requests, takes endpoints' announcements,
and carries its part of its zone's shared work."""

from __future__ import annotations

import asyncio
import collections.abc
import dataclasses
import datetime
import random
import typing

import orjson

from flamingotiller import (
    address_blocks,
    admission,
    claiming,
    client,
    clock,
    configuration,
    control_client,
    daemon,
    errors,
    events,
    feed,
    gossip,
    hedge,
    kernel,
    lookup,
    membership,
    request_path,
    server,
    settings,
    shards,
    slots,
    subscription,
)

WATCH_INTERVAL = clock.seconds(0.25)
LATE_AFTER = clock.seconds(1)
RANKING_LIFETIME = clock.seconds(0.2)
MAX_RANKINGS = 10_000


@dataclasses.dataclass(frozen=True)
class Ranking:
    """An answer to look-ups, ready but for the prefix of request ids.

    Attributes:
        until: Monotonic time up to which it is used.
        status: HTTP status.
        headers: Headers of the answer.
        rest_of_body: JSON after the prefix.
    """

    until: datetime.timedelta
    status: int
    headers: list[tuple[bytes, bytes]]
    rest_of_body: bytes


class EntryInstance(daemon.Daemon):
    """The daemon of the ``entry`` role.

    Args:
        config: Its settings.
        tokens: Credentials.
        clk: Source of time.
        rng: Source of random choices.
    """

    role = "entry"

    def __init__(
        self,
        config: settings.EntrySettings,
        tokens: settings.Tokens,
        clk: clock.Clock,
        rng: random.Random,
    ) -> None:
        self.config = config
        super().__init__(config, tokens, clk, kernel.entry_routes)
        self.rng = rng
        self._background: set[asyncio.Task[typing.Any]] = set()
        self._ranking_by_key: dict[tuple[str, str | None], Ranking] = {}
        self._blocks: tuple[int, address_blocks.BlockTable] | None = None
        self.endpoint_pool = client.ConnectionPool()
        self.control = control_client.ControlClient(self.client, config.control, clk)
        self.feed = feed.Feed(config.instance, config.zone, configuration.Configuration(), clk)

    def bounds(self) -> server.Limits:
        """Returns the limits towards peers."""
        return server.Limits(connections=self.config.max_connections)

    async def open(self) -> None:
        """Starts the tasks of the role."""
        epoch = int(self.clock.utc().timestamp() * 1000)
        self.feed.address = self.address
        own = membership.Member(self.config.instance, self.config.zone, self.address, epoch)
        now = self.clock.monotonic()
        self.table = membership.Table(own, now, self.config.member_timeout)
        self.gossip = gossip.Gossip(self, self.table, self.rng)
        self.shards = shards.Shards(self)
        self.admission = admission.Admission(self, self.config.limiter)
        self.slots = slots.SlotManager(self)
        self.claiming = claiming.Claiming(self)
        self.request_path = request_path.RequestPath(self)
        self.subscription = subscription.Subscription(self)
        self.stack.push_async_callback(self.endpoint_pool.close)
        self.stack.push_async_callback(self._end_background)
        late = self.config.freshness_bound / 2
        for name, work in (
            ("gossip", self.gossip.run),
            ("subscription", self.subscription.run),
            ("hedge", hedge.Hedge(self.feed, late, self.subscription.ask_again).run),
            ("shards", self.shards.run),
            ("slots", self.slots.run),
            ("admission", self.admission.run),
            ("watch", self._watch),
        ):
            self.spawn(name, work)

    async def _watch(self) -> None:
        """Notices that the process was not scheduled, as when it is frozen and goes on."""
        last = self.clock.monotonic()
        while True:
            await asyncio.sleep(WATCH_INTERVAL.total_seconds())
            now = self.clock.monotonic()
            late = now - last - WATCH_INTERVAL
            last = now
            if late > LATE_AFTER:
                events.emit(events.LOOP_LATE, late_s=f"{late.total_seconds():.3f}")

    def background(self, work: collections.abc.Coroutine[typing.Any, typing.Any, None]) -> None:
        """Runs work that nobody waits for; its errors are expected ones and end with it."""
        task = asyncio.get_running_loop().create_task(_quietly(work))
        self._background.add(task)
        task.add_done_callback(self._background.discard)

    async def _end_background(self) -> None:
        if self._background:
            await asyncio.wait(list(self._background), timeout=1.0)
        for task in list(self._background):
            task.cancel()

    def on_shard_lost(self, shard: int) -> None:
        """Drops what this instance kept as the holder of a shard."""
        self.admission.on_shard_lost(shard)
        self.slots.on_shard_lost(shard)

    async def handle_other(self, request: server.Request, reply: server.Reply) -> None:
        """Serves a caller's request; every path that no route claims belongs to contracts.

        Raises:
            errors.NotFoundError: The path is reserved.
        """
        if request.path.startswith("/v1/"):
            raise errors.NotFoundError(f"no such route: {request.path}", step="route")
        await self.request_path.serve(request, reply)

    def near_zone(self, address: str) -> str | None:
        """Returns the zone nearest to a caller's address, None when no block holds it.

        Raises:
            errors.InvalidInputError: Not an IP number.
        """
        view = self.feed.view
        if self._blocks is None or self._blocks[0] != view.version:
            zones = view.deployment.zones_by_name.values() if view.deployment else ()
            zone_by_block = {block: zone.name for zone in zones for block in zone.blocks}
            self._blocks = (view.version, address_blocks.BlockTable(zone_by_block))
        return self._blocks[1].zone_of(address)

    def ranking(self, organisation: str, near: str | None) -> Ranking:
        """Returns the answer to look-ups of an organisation's callers near a zone.

        Ranking costs more than the rest of a look-up, and changes with members and
        configuration only, so an answer is used again for a moment.
        """
        now = self.clock.monotonic()
        held = self._ranking_by_key.get((organisation, near))
        if held and now < held.until and not self.table.own.leaving:
            return held
        if len(self._ranking_by_key) >= MAX_RANKINGS:
            self._ranking_by_key.clear()
        targets = lookup.rank(self.table, self.feed.view, organisation, near, now)
        lifetime = self.config.lookup_lifetime.total_seconds()
        body = {
            "instances": [
                {"address": target.address, "zone": target.zone, "instance": target.instance}
                for target in targets
            ],
            "lifetime_s": lifetime,
            "request_id_lifetime_s": self.config.retention.total_seconds(),
        }
        cache = f"max-age={max(1, int(lifetime))}".encode() if targets else b"no-store"
        headers = [(b"content-type", b"application/json"), (b"cache-control", cache)]
        status = 200 if targets else 503
        ranking = Ranking(now + RANKING_LIFETIME, status, headers, orjson.dumps(body)[1:])
        self._ranking_by_key[organisation, near] = ranking
        return ranking

    async def drain(self) -> None:
        """Leaves look-ups and leases, then serves until cached answers have run out."""
        await self.gossip.announce_leaving()
        await self.shards.release_all()
        await asyncio.sleep(self.config.lookup_lifetime.total_seconds())
        # Others run requests on permits of this instance, and must be able to give them back.
        await self.slots.handover.wait_released(self.config.stop_timeout)
        self.server.start_draining()

    def ready(self) -> str:
        """Returns why this instance is not ready, empty when it is."""
        if self.feed.version == 0:
            return "no configuration yet"
        if self.config.instance not in self.shards.seats():
            return "no seat in the deployment"
        if not self.feed.is_fresh(self.config.freshness_bound):
            return "configuration is not confirmed; only open routes are served"
        return ""

    def update_metrics(self) -> None:
        """Sets the gauges that are read rather than counted."""
        super().update_metrics()
        now = self.clock.monotonic()
        age = self.feed.age()
        self.metrics.gauge("flamingotiller_config_version", self.feed.version)
        self.metrics.gauge(
            "flamingotiller_confirmation_age_seconds", -1.0 if age is None else age.total_seconds()
        )
        self.metrics.gauge("flamingotiller_shard_leases", len(self.shards.held))
        self.metrics.gauge("flamingotiller_members_up", len(self.table.live(now)))
        for service, queue in self.slots.queue_by_service.items():
            count = len(queue.endpoints(now))
            self.metrics.gauge("flamingotiller_endpoints", count, service=service)


async def _quietly(work: collections.abc.Coroutine[typing.Any, typing.Any, None]) -> None:
    try:
        await work
    except errors.FlamingotillerError:
        return


def build(config: settings.EntrySettings, tokens: settings.Tokens) -> EntryInstance:
    """Returns an entry instance on the system's clock and random source."""
    return EntryInstance(config, tokens, clock.SystemClock(), random.SystemRandom())
