"""An entry instance: serves look-ups, serves callers' requests, receives endpoints' announcements
and holds some of the shards of its zone."""

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
    planned_stop,
    request_path,
    server,
    settings,
    shards,
    slots,
    subscription,
)

STALL_CHECK_INTERVAL = clock.seconds(0.25)
STALL_THRESHOLD = clock.seconds(1)
RANKING_CACHE_LIFETIME = clock.seconds(0.2)
MAX_CACHED_RANKINGS = 10_000


@dataclasses.dataclass(frozen=True)
class CachedRanking:
    """A cached response to look-ups, complete except for the prefix of request ids.

    Attributes:
        expires_at: Monotonic time until which the response is used.
        status: HTTP status.
        headers: Headers of the response.
        body_after_prefix: JSON body after the member with the prefix.
    """

    expires_at: datetime.timedelta
    status: int
    headers: list[tuple[bytes, bytes]]
    body_after_prefix: bytes


class EntryInstance(daemon.Daemon):
    """The daemon of the ``entry`` role.

    Args:
        config: Settings of the instance.
        tokens: Credentials of peers, operators and services.
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
        self._ranking_by_key: dict[tuple[str, str | None], CachedRanking] = {}
        self._block_table_at_version: tuple[int, address_blocks.BlockTable] | None = None
        self.endpoint_pool = client.ConnectionPool()
        self.control = control_client.ControlClient(self.client, config.control, clk)
        self.planned_stop = planned_stop.PlannedStop()
        self.feed = feed.Feed(config.instance, config.zone, configuration.Configuration(), clk)

    def server_limits(self) -> server.Limits:
        """Returns the limits of this process's server."""
        return server.Limits(connections=self.config.max_connections)

    async def start_role(self) -> None:
        """Creates the components of the role and starts their tasks."""
        epoch = int(self.clock.utc().timestamp() * 1000)
        self.feed.address = self.address
        own = membership.Member(self.config.instance, self.config.zone, self.address, epoch)
        now = self.clock.monotonic()
        self.table = membership.MemberTable(own, now, self.config.member_timeout)
        self.gossip = gossip.Gossip(self, self.table, self.rng)
        self.shards = shards.ShardLeases(self)
        self.admission = admission.Admission(self, self.config.limiter)
        self.slots = slots.SlotManager(self)
        self.claiming = claiming.ClaimService(self)
        self.request_path = request_path.RequestPath(self)
        self.subscription = subscription.Subscription(self)
        self.stack.push_async_callback(self.endpoint_pool.close)
        self.stack.push_async_callback(self._stop_background_tasks)
        hedge_after = self.config.freshness_bound / 2
        for name, work in (
            ("gossip", self.gossip.run),
            ("subscription", self.subscription.run),
            (
                "hedge",
                hedge.ConfirmationHedge(
                    self.feed, hedge_after, self.subscription.request_confirmation
                ).run,
            ),
            ("shards", self.shards.run),
            ("slots", self.slots.run),
            ("admission", self.admission.run),
            ("watch", self._check_for_stalls),
        ):
            self.spawn(name, work)

    async def _check_for_stalls(self) -> None:
        """Logs when the event loop stalled, for example because the process was suspended."""
        last = self.clock.monotonic()
        while True:
            await asyncio.sleep(STALL_CHECK_INTERVAL.total_seconds())
            now = self.clock.monotonic()
            delay = now - last - STALL_CHECK_INTERVAL
            last = now
            if delay > STALL_THRESHOLD:
                events.emit(events.EVENT_LOOP_STALLED, late_s=f"{delay.total_seconds():.3f}")

    def run_in_background(
        self, work: collections.abc.Coroutine[typing.Any, typing.Any, None]
    ) -> None:
        """Runs work as a task that nobody awaits; the errors of this package are ignored."""
        task = asyncio.get_running_loop().create_task(_ignore_errors(work))
        self._background.add(task)
        task.add_done_callback(self._background.discard)

    async def _stop_background_tasks(self) -> None:
        if self._background:
            await asyncio.wait(list(self._background), timeout=1.0)
        for task in list(self._background):
            task.cancel()

    def on_shard_lost(self, shard: int) -> None:
        """Drops the state that this instance had as the holder of a shard."""
        self.admission.on_shard_lost(shard)
        self.slots.on_shard_lost(shard)

    async def handle_unrouted(self, request: server.Request, reply: server.Reply) -> None:
        """Serves a caller's request; contracts define all paths without a registered route.

        Raises:
            errors.NotFoundError: The path is reserved.
        """
        if request.path.startswith("/v1/"):
            raise errors.NotFoundError(f"no such route: {request.path}", step="route")
        await self.request_path.serve(request, reply)

    def nearest_zone(self, address: str) -> str | None:
        """Returns the zone nearest to a caller's address, None if no address block contains it.

        Raises:
            errors.InvalidInputError: The address is not an IP address.
        """
        view = self.feed.view
        if self._block_table_at_version is None or self._block_table_at_version[0] != view.version:
            zones = view.deployment.zones_by_name.values() if view.deployment else ()
            zone_by_block = {block: zone.name for zone in zones for block in zone.blocks}
            self._block_table_at_version = (view.version, address_blocks.BlockTable(zone_by_block))
        return self._block_table_at_version[1].zone_of(address)

    def cached_ranking(self, organisation: str, near: str | None) -> CachedRanking:
        """Returns the response to look-ups of an organisation's callers near a zone.

        The response is cached for a short time: computing it is the most expensive part of a
        look-up, and it depends only on the members and the configuration.
        """
        now = self.clock.monotonic()
        cached = self._ranking_by_key.get((organisation, near))
        if cached and now < cached.expires_at and not self.table.own.leaving:
            return cached
        if len(self._ranking_by_key) >= MAX_CACHED_RANKINGS:
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
        ranking = CachedRanking(
            now + RANKING_CACHE_LIFETIME, status, headers, orjson.dumps(body)[1:]
        )
        self._ranking_by_key[organisation, near] = ranking
        return ranking

    async def drain(self) -> None:
        """Leaves look-ups, releases the shards and serves until cached look-ups have expired."""
        self.planned_stop.begin(
            self.clock.monotonic(),
            takes_all_for=self.config.lookup_lifetime,
            ends_in=self.config.lookup_lifetime + self.config.stop_timeout,
        )
        await self.gossip.announce_leaving()
        await self.shards.release_all()
        await asyncio.sleep(self.config.lookup_lifetime.total_seconds())
        # Other instances run requests with permits from this one and must be able to return them.
        await self.slots.handover.wait_released(self.config.stop_timeout)
        self.server.start_draining()

    def unready_reason(self) -> str:
        """Returns why this instance is not ready, empty if it is ready."""
        if self.feed.version == 0:
            return "no configuration yet"
        if self.config.instance not in self.shards.seats():
            return "no seat in the deployment"
        if not self.feed.is_fresh(self.config.freshness_bound):
            return "configuration is not confirmed; only open routes are served"
        return ""

    def update_metrics(self) -> None:
        """Sets the gauges from the current state."""
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


async def _ignore_errors(work: collections.abc.Coroutine[typing.Any, typing.Any, None]) -> None:
    try:
        await work
    except errors.FlamingotillerError:
        return


def build(config: settings.EntrySettings, tokens: settings.Tokens) -> EntryInstance:
    """Returns an entry instance that uses the system's clock and random source."""
    return EntryInstance(config, tokens, clock.SystemClock(), random.SystemRandom())
