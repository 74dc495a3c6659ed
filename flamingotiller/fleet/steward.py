"""Steward: the program of instances with a disk.

It runs a replica of the log, keeps the leader's in-memory state (gateways, endpoints, token
accounts) while it leads, and serves operators, endpoints and look-ups."""

from __future__ import annotations

import asyncio
import collections
import collections.abc
import contextlib
import dataclasses
import datetime
import math
import pathlib
import random
import secrets
import typing

from flamingotiller import (
    client,
    clock,
    errors,
    events,
    journal,
    log_task,
    metrics,
    replica,
    replica_messages,
    replica_transport,
    server,
    supervisor,
    wire,
)
from flamingotiller.fleet import (
    accounting,
    branch,
    endpoint_limits,
    follower,
    log_membership,
    model,
    patch,
    presence,
    registry,
    state,
    suspect_registry,
    suspects,
)

TIMING = replica.Timing(heartbeat=clock.seconds(0.15), election_timeout=clock.seconds(0.7))
# Callers time out after one second and retry at another steward.
DECISION_TIMEOUT = clock.seconds(0.9)
FORWARD_TIMEOUT = clock.seconds(0.95)
# A stop waits this long for orders in progress; their callers wait no longer.
STOP_GRACE = clock.seconds(1)
# A caller without an answer after a second gives its order, or another one, to another steward. An
# order that nothing else puts in its place does not enter the log later than this.
ORDER_LIFETIME = clock.seconds(0.9)
# The end of a connection follows an order within this time if its caller gave up before it arrived.
CALLER_CHECK_TIME = clock.seconds(0.1)
UPKEEP_INTERVAL = clock.seconds(0.25)
# Delay before a change is sent to gateways, so that changes in quick succession share a response;
# a small fraction of the time in which drains and configurations must take effect.
CHANGE_BATCH_DELAY = clock.seconds(0.05)
# Pause between a steward's polls of the leader; adds up to this much to the age of gateways' state.
POLL_PAUSE = clock.seconds(0.1)
# A steward whose state may be older refuses gateways' polls, so that they try another steward.
MAX_STATE_AGE = clock.seconds(1)
# How often the leader sends its accounts to each steward, in case that steward becomes the leader.
ACCOUNTS_TRANSFER_INTERVAL = clock.seconds(0.4)
# Polls waiting for their revision to be applied. Dropping the oldest is safe: later polls confirm a
# later time.
MAX_UNCONFIRMED_POLLS = 64
# Draws from the leader per call: other gateways may take the tokens that the first one brings.
MAX_DRAWS_PER_CALL = 2
DRAW_TIMEOUT = clock.seconds(0.2)  # several round trips between regions
# Time for the leader to commit a suspect or a trial; a caller may be waiting for it.
SUSPECT_TIMEOUT = clock.seconds(0.3)
MAX_FINGERPRINT_LENGTH = 64
# A configuration that an operator may send, with the items made of it.
MAX_PEER_BODY_BYTES = 128 * 1024 * 1024
# How long a steward waits for an update's base version before it passes the whole update on.
BASE_VERSION_TIMEOUT = clock.seconds(0.3)
# A new leader publishes its list of gateways only after gateways have had this long to reach it.
GATEWAY_DISCOVERY_TIME = clock.seconds(1.5)


@dataclasses.dataclass(frozen=True)
class StewardSettings:
    """Settings of a steward.

    Attributes:
        name: Name of the instance.
        zone: Its availability zone.
        region: Its region.
        host: IP address at which other instances reach this one.
        peer_port: Port for calls between instances, the same on all of them.
        seeds: Addresses of three stewards, ``IP:peer_port``.
        found: Whether to bootstrap a new log, on the first start of the whole system.
        data: Data directory.
        report_interval: Time between an endpoint's reports.
        region_by_zone: Region of every availability zone.
        tolerance: By how much organisations' rates may be exceeded.
        bind_host: IP address to listen on for peers; ``host`` if empty. The two differ
            behind network address translation.
    """

    name: str
    zone: str
    region: str
    host: str
    peer_port: int
    seeds: tuple[str, ...]
    found: bool
    data: pathlib.Path
    report_interval: datetime.timedelta
    region_by_zone: dict[str, str]
    tolerance: accounting.Tolerance
    bind_host: str = ""

    @property
    def address(self) -> str:
        """Address at which other instances reach this one."""
        return f"{self.host}:{self.peer_port}"


@dataclasses.dataclass(frozen=True)
class ConfigurationUpdate:
    """An operator's request to replace the configuration.

    Attributes:
        version: Version of the new configuration.
        base: Version that it replaces.
        digest: Distinguishes it from another configuration of the same version.
        items: Items of the new configuration, by subject.
        source: The configuration as the operator sent it.
    """

    version: int
    base: int
    digest: str
    items: dict[str, model.Document]
    source: typing.Any


class Steward:
    """Runs a replica of the log, the leader's work, and calls of peers, operators and endpoints.

    Args:
        config: Its settings.
        clk: Clock.
        rng: Random number generator for election timeouts.
    """

    def __init__(self, config: StewardSettings, clk: clock.Clock, rng: random.Random) -> None:
        self.config = config
        self.clock = clk
        self.metrics = metrics.Metrics()
        self.state = state.FleetState()
        self._rng = rng
        self._stack = contextlib.AsyncExitStack()
        self._supervisor = supervisor.Supervisor()
        self._pool = client.ConnectionPool()
        self._client = client.Client(self._pool)
        self._server = server.Server(
            self._serve_peer,
            limits=server.Limits(body_bytes=MAX_PEER_BODY_BYTES),
            on_handler_error=_log_handler_error,
            compresses=True,
            clk=clk,
        )
        # Tells leaders' clocks apart; a process that starts again has another one.
        self._process_id = secrets.token_hex(8)
        self._state_changed = asyncio.Event()
        self._gateway_list = presence.EMPTY_GATEWAY_LIST
        # What the leader knows of gateways, and for how long endpoints have been silent there.
        self._observation = presence.Observation()
        self._endpoint_silence_by_id: dict[str, datetime.timedelta] = {}
        # Since when the leader knows suspects, as of its latest accounts.
        self._suspect_since_by_fingerprint: dict[str, datetime.timedelta] = {}
        self._local_gateways = presence.GatewayPresence(presence.Observation(), clk.monotonic())
        self._branch = branch.Branch(f"{config.name}.{secrets.token_hex(4)}", config.tolerance)
        self._pending_draw_by_organisation: dict[str, asyncio.Future[None]] = {}
        # Draws sent with the poll in flight.
        self._polled_draws: dict[str, accounting.Draw] = {}
        # Revisions from the leader's responses that are not applied here yet, with the time at
        # which each was the newest.
        self._unconfirmed_polls: collections.deque[tuple[int, datetime.timedelta]] = (
            collections.deque(maxlen=MAX_UNCONFIRMED_POLLS)
        )
        self._state_confirmed_at: datetime.timedelta | None = None
        # Latest copy of the leader's accounts, and when it was received.
        self._accounts: dict[str, accounting.Handover] = {}
        self._accounts_at = clock.ZERO
        self._accounts_delay = clock.ZERO
        # The state of the latest term; not in use while this steward does not lead.
        self._leader_state: _LeaderState | None = None
        self._leader_state_is_current = False
        self._registry = registry.Registry(config.report_interval, clk.monotonic())
        # Endpoints whose liveness the leader has not been told of yet.
        self._renewed_ids: set[str] = set()
        self._polled_renewals: set[str] = set()
        # A leader of an earlier build has to get every report itself.
        self._leader_takes_renewals = False
        self._join_request_by_address: dict[str, log_membership.JoinRequest] = {}

    async def start(self) -> None:
        """Opens the journal, listens for peers and starts the tasks.

        Raises:
            errors.FlamingotillerError: The data directory or the address cannot be used.
        """
        async with contextlib.AsyncExitStack() as stack:
            stack.push_async_callback(self._pool.close)
            store = open_journal(self.config)
            stack.callback(store.close)
            self.log = log_task.LogTask(
                store, self, self._client, self.clock, self._rng, TIMING, self._supervisor.spawn
            )
            self._follower = follower.Follower(
                self._client,
                self._other_seeds(),
                self.clock,
                self._build_poll,
                self._on_poll_response,
                on_poll_failed=self._on_poll_failed,
            )
            bind_host = self.config.bind_host or self.config.host
            await self._server.start(bind_host, self.config.peer_port)
            stack.push_async_callback(self._supervisor.close)
            stack.push_async_callback(self._server.close, STOP_GRACE)
            self.log.start()
            self._supervisor.spawn("follower", self._follow)
            self._supervisor.spawn("upkeep", self._upkeep)
            self._stack = stack.pop_all()

    def _other_seeds(self) -> list[str]:
        seeds = [seed for seed in self.config.seeds if seed != self.config.address]
        return seeds or list(self.config.seeds)

    def reconfigure(self, config: StewardSettings) -> None:
        """Applies settings that may change at runtime: the seeds."""
        self.config = dataclasses.replace(self.config, seeds=config.seeds)
        self._follower.set_seeds(self._other_seeds())

    def traffic_by_kind(self) -> dict[str, wire.Traffic]:
        """Returns the bytes of calls that this steward has made, by path."""
        return self._client.traffic_by_target

    async def stop(self) -> None:
        """Stops all tasks and servers; everything acknowledged is already on disk."""
        await self._stack.aclose()

    # State machine of the log

    def apply(self, command: typing.Any, index: int) -> state.Result:
        """Applies a committed command."""
        return self.state.apply(command, index)

    def load(self, document: typing.Any) -> None:
        """Replaces the state with that of a snapshot."""
        self.state = state.FleetState.load(document)

    def dump(self) -> typing.Any:
        """Returns the state for a snapshot."""
        return self.state.dump()

    def on_confirmed(self, confirmation: replica.Confirmation) -> None:
        """Does nothing: polls ask the log for its confirmation."""

    def on_applied(self) -> None:
        """Wakes polls that are waiting for a change."""
        self._update_state_confirmed_at()
        self._state_changed.set()
        self._state_changed = asyncio.Event()

    # Following the leader

    async def _follow(self) -> None:
        while True:
            if self.log.is_leader:
                self._draw_as_leader()
            else:
                if not self._follower.known_peers:
                    # After a restart the seeds may be gone, while the log still names its members.
                    self._follower.known_peers = self._other_members()
                await self._follower.step()
            await asyncio.sleep(POLL_PAUSE.total_seconds())

    def _other_members(self) -> list[str]:
        return [peer for peer in self._member_addresses() if peer != self.config.address]

    def _build_poll(self) -> dict[str, typing.Any]:
        now = self.clock.monotonic()
        draws = self._branch.draws(now)
        self._polled_draws = draws
        self._polled_renewals, self._renewed_ids = self._renewed_ids, set()
        return {
            "name": self.config.name,
            "zone": self.config.zone,
            "identity": self.log.replica.identity,
            "address": self.config.address,
            "level": state.LEVEL,
            "gateways": [
                [gateway.to_wire(), silence.total_seconds()]
                for gateway, silence in self._local_gateways.silences(now)
            ],
            "draws": {name: dataclasses.astuple(draw) for name, draw in draws.items()},
            "renewed": sorted(self._polled_renewals),
            "roll": self._gateway_list.version,
            "accounts_age_s": (now - self._accounts_at).total_seconds(),
        }

    def _on_poll_response(self, response: dict[str, typing.Any], as_of: datetime.timedelta) -> None:
        now = self.clock.monotonic()
        self._leader_takes_renewals = response.get("takes_renewals", False)
        if response["roll"] is not None:
            self._set_gateway_list(presence.GatewayList.from_wire(response["roll"]))
        self._take_observation(response.get("silences"), now)
        if response["accounts"] is not None:
            self._accounts, self._accounts_at = response["accounts"], now
            # The copy was made after the poll was sent.
            self._accounts_delay = now - as_of
            self._suspect_since_by_fingerprint = {
                fingerprint: now - clock.seconds(age_s)
                for fingerprint, age_s in response.get("suspect_ages", {}).items()
            }
        for organisation in self._polled_draws:
            ledger = self._branch.ledger(organisation)
            ledger.receive(accounting.Grant(*response["grants"][organisation]), now)
        self._polled_draws = {}
        self._unconfirmed_polls.append((response["revision"], as_of))
        self._update_state_confirmed_at()

    def _take_observation(
        self, silences: dict[str, dict[str, float]] | None, now: datetime.timedelta
    ) -> None:
        """Keeps what the leader knows of silences, in case this steward leads next.

        Args:
            silences: Seconds by name of the gateway and by id of the endpoint, None from a leader
                of an earlier build.
            now: Monotonic time.
        """
        if silences is None:
            silence_by_name = presence.least_silences(self._gateway_list)
            self._endpoint_silence_by_id = {}
        else:
            silence_by_name = {n: clock.seconds(s) for n, s in silences.get("gateways", {}).items()}
            self._endpoint_silence_by_id = {
                id_: clock.seconds(s) for id_, s in silences.get("endpoints", {}).items()
            }
        known = self._gateway_list.known
        self._observation = presence.Observation(known, silence_by_name, now)

    def _on_poll_failed(self) -> None:
        for organisation, draw in self._polled_draws.items():
            self._branch.ledger(organisation).record_lost_draw(draw)
        self._polled_draws = {}
        self._renewed_ids |= self._polled_renewals

    def _update_state_confirmed_at(self) -> None:
        """Updates the state's confirmation time from polls whose revision has been applied."""
        while (
            self._unconfirmed_polls and self._unconfirmed_polls[0][0] <= self.state.table.revision
        ):
            self._state_confirmed_at = self._unconfirmed_polls.popleft()[1]

    def _state_age(self, now: datetime.timedelta) -> datetime.timedelta:
        """Returns the upper bound on the age of the applied state; one day if never confirmed."""
        confirmed_at = self._state_confirmed_at
        confirmed_by_log_at = self.log.confirmed_at()
        if confirmed_by_log_at is not None:
            confirmed_at = max(confirmed_at or confirmed_by_log_at, confirmed_by_log_at)
        return now - confirmed_at if confirmed_at is not None else datetime.timedelta(days=1)

    def _set_gateway_list(self, gateway_list: presence.GatewayList) -> None:
        before = {g.name for g in self._gateway_list.present}
        after = {g.name for g in gateway_list.present}
        self._gateway_list = gateway_list
        if before != after:
            events.emit(
                events.GATEWAYS_CHANGED,
                count=len(after),
                joined=sorted(after - before),
                left=sorted(before - after),
            )

    # Work of the leader

    async def _upkeep(self) -> None:
        """Runs the leader's periodic work while this steward is the leader."""
        while True:
            await asyncio.sleep(UPKEEP_INTERVAL.total_seconds())
            now = self.clock.monotonic()
            self._registry.prune(now)
            leader_state = self._get_leader_state(now)
            if leader_state is None:
                continue
            leader_state.registry.prune(now)
            if now - leader_state.since >= GATEWAY_DISCOVERY_TIME or not self._gateway_list.present:
                self._set_gateway_list(leader_state.presence.gateway_list(now))
            self._observe(leader_state, now)
            with contextlib.suppress(errors.UnavailableError, errors.StorageError):
                await self._remove_silent_endpoints(leader_state, now)
                await leader_state.suspects.expire()
                await self._adjust_members(now)

    def _observe(self, leader_state: _LeaderState, now: datetime.timedelta) -> None:
        """Notes what this steward knows of silences as the leader, in case it leads again."""
        # Endpoints could not be heard while this process was suspended.
        leader_state.registry.count_silence_from(self._server.resumed_at(now))
        self._observation = presence.Observation(
            self._gateway_list.known,
            leader_state.presence.reported_silences(self._gateway_list, now),
            now,
        )
        self._endpoint_silence_by_id = leader_state.registry.reported_silences(self.state, now)
        self._suspect_since_by_fingerprint = {
            fingerprint: now - age for fingerprint, age in leader_state.suspects.ages(now).items()
        }

    def _get_leader_state(self, now: datetime.timedelta) -> _LeaderState | None:
        """Returns the leader's state, None if this steward is not the leader.

        A new term of leadership starts with new state, and with what is known of silences. If the
        leader's storage failed and works again in the same term, what has been granted still
        counts; who is present is learned anew.
        """
        if not self.log.is_leader:
            self._leader_state_is_current = False
            return None
        since = self.log.leading_since or now
        earlier = self._leader_state
        if earlier is None or earlier.since != since:
            self._leader_state = self._new_leader_state(since, now)
        elif not self._leader_state_is_current:
            self._leader_state = dataclasses.replace(
                earlier,
                presence=presence.GatewayPresence(self._observation, now),
                registry=self._new_registry(now),
            )
        self._leader_state_is_current = True
        return self._leader_state

    def _new_leader_state(self, since: datetime.timedelta, now: datetime.timedelta) -> _LeaderState:
        return _LeaderState(
            since,
            presence.GatewayPresence(self._observation, now),
            self._new_registry(now),
            accounting.Accounts(
                self.config.tolerance,
                since,
                self._accounts,
                self._accounts_at,
                self._accounts_delay,
            ),
            endpoint_limits.GrantIssuer(),
            suspect_registry.SuspectRegistry(
                lambda: self.state,
                lambda command: self.log.propose(command, DECISION_TIMEOUT),
                self.clock,
                self._suspect_since_by_fingerprint,
            ),
        )

    def _new_registry(self, now: datetime.timedelta) -> registry.Registry:
        return registry.Registry(self.config.report_interval, now, self._endpoint_silence_by_id)

    def _require_leader_state(self) -> _LeaderState:
        leader_state = self._get_leader_state(self.clock.monotonic())
        if leader_state is None:
            raise errors.NotLeaderError(
                "this steward is not the leader", leader=self._leader_address(), step="lead"
            )
        return leader_state

    def _leader_address(self) -> str:
        return self.log.leader_address or self._follower.source

    async def _remove_silent_endpoints(
        self, leader_state: _LeaderState, now: datetime.timedelta
    ) -> None:
        for endpoint in leader_state.registry.silent(self.state, now):
            command = {
                "kind": "leave",
                "id": endpoint.id,
                "born_ms": endpoint.born_ms,
                "silent": True,
            }
            result = await self.log.propose(command, DECISION_TIMEOUT)
            events.emit(
                events.ENDPOINT_SILENT,
                endpoint=endpoint.id,
                service=endpoint.service,
                verdict=result.verdict,
            )

    async def _adjust_members(self, now: datetime.timedelta) -> None:
        members = self.log.replica.members
        progress_by_identity = {}
        for identity in (*members.voters, *members.learners):
            progress = self.log.replica.progress_of(identity)
            if identity != self.log.replica.identity and progress:
                last_contact_at = max(progress.acked_at, self.log.leading_since or now)
                progress_by_identity[identity] = log_membership.MemberProgress(
                    progress.match, last_contact_at
                )
        zone_by_identity = {
            **self.state.zone_by_identity,
            self.log.replica.identity: self.config.zone,
        }
        new_members = log_membership.next_members(
            members,
            list(self._join_request_by_address.values()),
            progress_by_identity,
            zone_by_identity,
            self.log.replica.commit,
            now,
        )
        if new_members is not None:
            await self.log.change_members(lambda _: new_members, DECISION_TIMEOUT)
            return
        await self._record_zones(members)

    async def _record_zones(self, members: replica_messages.Members) -> None:
        zone_by_identity = {r.identity: r.zone for r in self._join_request_by_address.values()}
        zone_by_identity[self.log.replica.identity] = self.config.zone
        for identity, zone in zone_by_identity.items():
            is_member = identity in members.voters or identity in members.learners
            if is_member and self.state.zone_by_identity.get(identity) != zone:
                command = {"kind": "locate", "identity": identity, "zone": zone}
                await self.log.propose(command, DECISION_TIMEOUT)
        await self._raise_level(members)

    async def _raise_level(self, members: replica_messages.Members) -> None:
        identity = self.log.replica.identity
        level = log_membership.common_level(
            members,
            identity,
            state.LEVEL,
            list(self._join_request_by_address.values()),
            self.clock.monotonic(),
        )
        if level > self.state.level:
            command = {"kind": "locate", "identity": identity, "zone": self.config.zone}
            await self.log.propose({**command, "level": level}, DECISION_TIMEOUT)

    # Calls from other instances

    async def _serve_peer(self, request: server.Request, reply: server.Reply) -> None:
        route = f"{request.method} {request.path}"
        handler = _PEER_ROUTES.get(route)
        if handler is None and route != _FOLLOW_ROUTE:
            raise errors.NotFoundError(f"no such route: {request.path}", step="route")
        body = await request.read_json()
        try:
            if handler is None:
                # What arrived before a pause of this process tells of that time.
                heard_at = request.arrived_after or self.clock.monotonic()
                response = await self._on_follow(body, heard_at)
            else:
                response = await handler(self, body)
        except (KeyError, TypeError, ValueError, AttributeError) as error:
            raise errors.InvalidInputError(
                f"malformed call: {error!r}", step=request.path, peer=request.peer
            ) from error
        await reply.json(200, response)

    async def _on_replica(self, body: typing.Any) -> typing.Any:
        message = replica_messages.message_from_wire(body["message"])
        replies = await self.log.receive(body["sender"], message)
        return {"replies": [replica_messages.message_to_wire(r) for r in replies]}

    async def _on_replica_part(self, body: typing.Any) -> typing.Any:
        replies = await self.log.receive_part(body)
        return {"replies": [replica_messages.message_to_wire(r) for r in replies]}

    async def _on_execute(self, body: typing.Any) -> typing.Any:
        self._require_leader_state()
        return await _OPERATIONS[body["operation"]](self, body["arguments"])

    async def _on_follow(self, body: typing.Any, heard_at: datetime.timedelta) -> typing.Any:
        answer = self._on_steward_poll if "identity" in body else self._on_gateway_poll
        return await answer(body, heard_at)

    async def _on_steward_poll(self, body: typing.Any, heard_at: datetime.timedelta) -> typing.Any:
        """Answers another steward's poll: the revision that it has to reach, token grants, the
        gateways present, and a copy of the accounts if its own is old.

        Args:
            body: The poll.
            heard_at: Monotonic time that the poll tells of at the earliest.
        """
        leader_state = self._require_leader_state()
        # The latest identity at an address counts: an earlier one there has lost its disk.
        self._join_request_by_address[body["address"]] = log_membership.JoinRequest(
            body["identity"],
            body["address"],
            body["zone"],
            heard_at,
            int(body.get("level", 0)),
        )
        now = self.clock.monotonic()
        for document, silence_s in body["gateways"]:
            leader_state.presence.record(
                presence.Gateway(**document), heard_at - clock.seconds(silence_s)
            )
        leader_state.registry.renew(body.get("renewed", ()), heard_at)
        holds_lease = self.log.holds_leader_lease(now)
        accounts_are_old = body["accounts_age_s"] > ACCOUNTS_TRANSFER_INTERVAL.total_seconds()
        grants = {
            organisation: self._grant_tokens(
                leader_state, organisation, accounting.Draw(*draw), holds_lease
            )
            for organisation, draw in body["draws"].items()
        }
        # Only a voter can become the leader.
        may_lead = body["identity"] in self.log.replica.members.voters
        accounts = leader_state.accounts.dump(now) if accounts_are_old and may_lead else None
        # Draws are applied on arrival: later ones could overtake them during the wait that follows.
        await self.log.confirm(DECISION_TIMEOUT)
        return {
            "age_s": 0.0,
            "members": self._member_addresses(),
            "revision": self.state.table.revision,
            "roll": (
                self._gateway_list.to_wire() if body["roll"] != self._gateway_list.version else None
            ),
            "grants": {name: dataclasses.astuple(grant) for name, grant in grants.items()},
            "accounts": accounts,
            "takes_renewals": True,
            "silences": self._silences_to_wire(leader_state),
            "suspect_ages": _to_seconds(leader_state.suspects.ages(now) if accounts else {}),
        }

    def _silences_to_wire(self, leader_state: _LeaderState) -> dict[str, dict[str, float]]:
        """Returns the silences, in seconds, that a later leader takes over from this one."""
        now = self.clock.monotonic()
        age = now - self._observation.at
        silence_by_id = {id_: s + age for id_, s in self._endpoint_silence_by_id.items()}
        silences = {
            "gateways": leader_state.presence.reported_silences(self._gateway_list, now),
            "endpoints": silence_by_id,
        }
        return {kind: _to_seconds(durations) for kind, durations in silences.items() if durations}

    async def _on_gateway_poll(self, body: typing.Any, heard_at: datetime.timedelta) -> typing.Any:
        """Answers a gateway's poll: changed items, token grants, and its place among gateways.

        Args:
            body: The poll.
            heard_at: Monotonic time that the poll tells of at the earliest. The wait for a change
                tells nothing of the gateway.
        """
        gateway = presence.Gateway(**body["gateway"])
        self._local_gateways.record(gateway, heard_at)
        self._require_state_age(MAX_STATE_AGE)
        # A gateway that polled another steward before may have a newer revision for a moment.
        if body["revision"] and self.state.table.revision <= body["revision"]:
            state_changed = self._state_changed
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(follower.LONG_POLL_TIMEOUT.total_seconds()):
                    await state_changed.wait()
                    await asyncio.sleep(CHANGE_BATCH_DELAY.total_seconds())
        now = self.clock.monotonic()
        self._require_state_age(MAX_STATE_AGE)
        grants = {
            organisation: dataclasses.astuple(
                self._branch.ledger(organisation).grant(accounting.Draw(*draw), now)
            )
            for organisation, draw in body["draws"].items()
        }
        delta = self.state.table.since(min(body["revision"], self.state.table.revision))
        wants_relays = body.get("wants_relays", False)
        relays = self._gateway_list.relays(gateway.name, gateway.region) if wants_relays else None
        return {
            "relays": relays,
            "age_s": self._state_age(now).total_seconds(),
            "members": self._member_addresses(),
            "zones": self._zone_by_address(),
            "grants": grants,
            "place": dataclasses.asdict(self._gateway_list.place(gateway.name)),
            "revision": delta.revision,
            "full": delta.full,
            "items": delta.items,
        }

    def _require_state_age(self, max_age: datetime.timedelta) -> None:
        if self._state_age(self.clock.monotonic()) > max_age:
            raise errors.UnavailableError("the replicated state may be out of date", step="follow")

    def _zone_by_address(self) -> dict[str, str]:
        members = self.log.replica.members
        addresses = {**members.voters, **members.learners}
        zones = self.state.zone_by_identity
        return {address: zones.get(identity, "") for identity, address in addresses.items()}

    def _grant_tokens(
        self,
        leader_state: _LeaderState,
        organisation: str,
        draw: accounting.Draw,
        holds_lease: bool,
    ) -> accounting.Grant:
        """Returns the tokens granted to a branch; none without the leader lease, since another
        steward may have become the leader and grant them too."""
        document = self.state.table.item_by_subject.get(f"organisation/{organisation}")
        if document is None or not document["rate"]:
            return accounting.Grant(0, 0)
        if not holds_lease:
            return accounting.Grant(0, accounting.RESERVE_UNCHANGED)
        return leader_state.accounts.draw(
            organisation, draw, document["rate"], document["burst"], self.clock.monotonic()
        )

    # Token draws of this steward's branch

    def _draw_as_leader(self) -> None:
        """Updates presence and draws tokens for this steward's own branch, as the leader."""
        leader_state = self._get_leader_state(self.clock.monotonic())
        now = self.clock.monotonic()
        if leader_state is None:
            return
        for gateway, silence in self._local_gateways.silences(now):
            leader_state.presence.record(gateway, now - silence)
        holds_lease = self.log.holds_leader_lease(now)
        for organisation, draw in self._branch.draws(now).items():
            grant = self._grant_tokens(leader_state, organisation, draw, holds_lease)
            self._branch.ledger(organisation).receive(grant, now)

    async def _on_draw(self, body: typing.Any) -> typing.Any:
        """Grants a gateway tokens between polls; draws from the leader if none are in stock."""
        self._require_state_age(accounting.BRANCH_TOKEN_LIFETIME)
        organisation, draw = body["organisation"], accounting.Draw(*body["draw"])
        ledger = self._branch.ledger(organisation)
        grant = ledger.grant(draw, self.clock.monotonic())
        for _ in range(MAX_DRAWS_PER_CALL):
            is_denied = self.clock.monotonic() < ledger.denied_until
            if grant.tokens or draw.wanted <= 0 or is_denied:
                break
            await self._draw_from_leader(organisation, draw.wanted)
            grant = ledger.grant(dataclasses.replace(draw, spent=0), self.clock.monotonic())
        return {"grant": dataclasses.astuple(grant)}

    async def _draw_from_leader(self, organisation: str, least: int) -> None:
        """Draws tokens from the leader; concurrent calls for an organisation share one draw."""
        task = self._pending_draw_by_organisation.get(organisation)
        if task is None:
            task = asyncio.ensure_future(self._send_draw_to_leader(organisation, least))
            self._pending_draw_by_organisation[organisation] = task
            task.add_done_callback(
                lambda _: self._pending_draw_by_organisation.pop(organisation, None)
            )
        await asyncio.shield(task)

    async def _send_draw_to_leader(self, organisation: str, least: int) -> None:
        ledger = self._branch.ledger(organisation)
        draw = self._branch.draw(organisation, self.clock.monotonic(), least)
        leader = self._leader_address()
        try:
            if self.log.is_leader:
                document = await self._on_branch_draw(
                    {"organisation": organisation, "draw": dataclasses.astuple(draw)}
                )
            else:
                response = await self._client.call(
                    leader, "POST", "/v1/branch-draw",
                    {"organisation": organisation, "draw": dataclasses.astuple(draw)},
                    timeout=DRAW_TIMEOUT,
                    max_bytes=client.SHORT_RESPONSE_BYTES,
                )  # fmt: skip
                document = client.raise_for_status(response, step="draw", peer=leader)
        except errors.FlamingotillerError as error:
            ledger.record_lost_draw(draw)
            ledger.denied_until = self.clock.monotonic() + branch.DRAW_BACKOFF
            events.emit(
                events.DRAW_FAILED, organisation=organisation, peer=leader, error=str(error)
            )
            return
        ledger.receive(accounting.Grant(*document["grant"]), self.clock.monotonic())

    async def _on_branch_draw(self, body: typing.Any) -> typing.Any:
        """Grants a branch tokens between polls, only while this steward holds the leader lease."""
        leader_state = self._require_leader_state()
        if not self.log.holds_leader_lease(self.clock.monotonic()):
            raise errors.UnavailableError(
                "this steward does not hold the leader lease", step="draw"
            )
        grant = self._grant_tokens(
            leader_state, body["organisation"], accounting.Draw(*body["draw"]), True
        )
        return {"grant": dataclasses.astuple(grant)}

    async def _on_endpoint_grant(self, body: typing.Any) -> typing.Any:
        """Passes a gateway's request for a grant on to the leader."""
        endpoint, rate = str(body["endpoint"]), float(body["rate"])
        if not 0 <= rate < math.inf:
            raise errors.InvalidInputError(f"rate out of range: {rate}", step="grant")
        arguments = {"endpoint": endpoint, "rate": rate}
        return await self._execute("grant", arguments, DRAW_TIMEOUT)

    async def _grant(self, arguments: typing.Any) -> typing.Any:
        """Grants a request to an endpoint, only while this steward holds the leader lease."""
        leader_state = self._require_leader_state()
        now = self.clock.monotonic()
        if not self.log.holds_leader_lease(now):
            raise errors.UnavailableError(
                "this steward does not hold the leader lease", step="grant"
            )
        granted = leader_state.grant_issuer.grant(arguments["endpoint"], arguments["rate"], now)
        return {"granted": granted}

    async def _on_ends(self, body: typing.Any) -> typing.Any:
        """Passes the ends of endpoints that a gateway has seen on to the leader."""
        fingerprints_by_end = {
            str(end): [_fingerprint(f) for f in fingerprints]
            for end, fingerprints in body["ends"].items()
        }
        most = max(map(len, fingerprints_by_end.values()), default=0)
        if (
            len(fingerprints_by_end) > suspects.MAX_REPORTED_ENDS
            or most > suspects.MAX_REPORTED_REQUESTS
        ):
            raise errors.InvalidInputError("report is too long", step="ends")
        return await self._execute("ends", fingerprints_by_end, SUSPECT_TIMEOUT)

    async def _record_ends(self, arguments: typing.Any) -> typing.Any:
        return {"suspects": await self._require_leader_state().suspects.record_ends(arguments)}

    async def _on_trial(self, body: typing.Any) -> typing.Any:
        """Passes a gateway's request for a trial on to the leader, with the ends that it knows."""
        duration_s = float(body["duration_s"])
        if not 0 <= duration_s < math.inf:
            raise errors.InvalidInputError(f"duration out of range: {duration_s}", step="trial")
        arguments = {
            "trial": str(body["trial"]),
            "fingerprint": _fingerprint(body["fingerprint"]),
            "service": str(body["service"]),
            "duration_s": duration_s,
            "ends": [str(end) for end in body["ends"][: suspects.MAX_REPORTED_ENDS]],
        }
        return await self._execute("trial", arguments, SUSPECT_TIMEOUT)

    async def _begin_trial(self, arguments: typing.Any) -> typing.Any:
        """Grants a trial, only while this steward holds the leader lease."""
        suspect_list = self._require_leader_state().suspects
        if not self.log.holds_leader_lease(self.clock.monotonic()):
            raise errors.UnavailableError(
                "this steward does not hold the leader lease", step="trial"
            )
        fingerprint = arguments["fingerprint"]
        await suspect_list.record_ends({end: [fingerprint] for end in arguments["ends"]})
        duration = clock.seconds(arguments["duration_s"])
        granted = await suspect_list.begin_trial(
            arguments["trial"], fingerprint, arguments["service"], duration
        )
        return {"granted": granted}

    async def _on_trial_outcome(self, body: typing.Any) -> typing.Any:
        """Passes the outcome of a trial on to the leader."""
        arguments = {
            "trial": str(body["trial"]),
            "fingerprint": _fingerprint(body["fingerprint"]),
            "service": str(body["service"]),
            "outcome": suspects.TrialOutcome(body["outcome"]).value,
        }
        return await self._execute("trial-outcome", arguments, SUSPECT_TIMEOUT)

    async def _end_trial(self, arguments: typing.Any) -> typing.Any:
        outcome = suspects.TrialOutcome(arguments["outcome"])
        suspect_list = self._require_leader_state().suspects
        await suspect_list.end_trial(
            arguments["trial"], arguments["fingerprint"], arguments["service"], outcome
        )
        return {}

    def _member_addresses(self) -> list[str]:
        members = self.log.replica.members
        return [*members.voters.values(), *members.learners.values()]

    # Calls of operators, endpoints and look-ups

    async def _execute(
        self,
        operation: str,
        arguments: typing.Any,
        timeout: datetime.timedelta = FORWARD_TIMEOUT,
    ) -> typing.Any:
        """Runs an operation at the leader.

        Raises:
            errors.UnavailableError: No leader is known, or there was no majority in time; the
                operation may still take effect.
        """
        if self.log.is_leader:
            return await _OPERATIONS[operation](self, arguments)
        leader = self._leader_address()
        if not leader or leader == self.config.address:
            raise errors.UnavailableError("the leader is not known", step=operation)
        body = {"operation": operation, "arguments": arguments}
        response = await self._client.call(leader, "POST", "/v1/execute", body, timeout=timeout)
        return client.raise_for_status(response, step=operation, peer=leader)

    async def _propose(
        self, command: typing.Any, expires_at: datetime.timedelta | None = None
    ) -> dict[str, typing.Any]:
        result = await self.log.propose(command, DECISION_TIMEOUT, expires_at)
        return dataclasses.asdict(result)

    async def _propose_in_time(
        self, command: typing.Any, arrived_after: datetime.timedelta | None
    ) -> dict[str, typing.Any]:
        """Proposes a command that neither a version nor a sequence puts in its place among others.

        It has to enter the log while its caller waits: a caller that has given up may have given
        the opposite order to another steward since, and that may have been acknowledged.

        Args:
            command: The command.
            arrived_after: Monotonic time after which it arrived here, None if it was not received.

        Raises:
            errors.UnavailableError: It is too late, or no leader could be asked in time.
        """
        arrived_at = self.clock.monotonic() if arrived_after is None else arrived_after
        expires_at = arrived_at + ORDER_LIFETIME
        # The end of the connection cancels this handler.
        await asyncio.sleep(CALLER_CHECK_TIME.total_seconds())
        if self.log.is_leader:
            return await self._propose(command, expires_at)
        try:
            leader = await self._execute("clock", None, self._time_to_forward(arrived_at))
        except errors.InvalidInputError:
            # Leaders of earlier builds do not know this operation.
            self._require_before(expires_at)
            return await self._execute("propose", command, self._time_to_forward(arrived_at))
        # The leader's clock showed its answer's time at the latest now.
        leader_expires_at = clock.seconds(leader["now_s"]) + expires_at - self.clock.monotonic()
        arguments = {
            "command": command,
            "process": leader["process"],
            "expires_s": leader_expires_at.total_seconds(),
        }
        try:
            return await self._execute("order", arguments, self._time_to_forward(arrived_at))
        except errors.InvalidInputError as error:
            # A steward of an earlier build has taken the lead since; nothing is wrong with the
            # order, so its caller may send it again.
            raise errors.UnavailableError(
                f"the leader does not take orders that expire: {error}", step="order"
            ) from error

    def _time_to_forward(self, began_at: datetime.timedelta) -> datetime.timedelta:
        """Returns the time that is left of an operation for calls of the leader.

        Raises:
            errors.UnavailableError: None is left.
        """
        left = FORWARD_TIMEOUT - (self.clock.monotonic() - began_at)
        if left <= clock.ZERO:
            raise errors.UnavailableError("the leader did not answer in time", step="forward")
        return left

    def _require_before(self, expires_at: datetime.timedelta) -> None:
        if self.clock.monotonic() > expires_at:
            raise errors.UnavailableError("the order has waited for too long", step="order")

    async def _tell_time(self, arguments: typing.Any) -> typing.Any:
        """Returns this process's monotonic time, for orders that expire."""
        return {"process": self._process_id, "now_s": self.clock.monotonic().total_seconds()}

    async def _order(self, arguments: typing.Any) -> typing.Any:
        """Proposes a command unless it has expired by this leader's clock."""
        if arguments["process"] != self._process_id:
            raise errors.UnavailableError("the order was timed by another leader", step="order")
        return await self._propose(arguments["command"], clock.seconds(arguments["expires_s"]))

    async def configure(self, update: ConfigurationUpdate) -> state.Result:
        """Replaces the configuration.

        Raises:
            errors.InvalidInputError: The log cannot hold it.
            errors.FlamingotillerError: The outcome is not known; the update may be sent again.
        """
        replica_messages.check_nesting(update.source, "configure")
        began_at = self.clock.monotonic()
        await self._wait_for_version(update.base)
        timeout = self._time_to_forward(began_at)
        # The leader needs the whole update only if it is the only one that has applied the base.
        operation, arguments = (
            ("configure", vars(update))
            if update.base > self.state.version
            else ("propose", self._configure_command(update))
        )
        work = self._execute(operation, arguments, timeout)
        return await self._decide_order("configure", str(update.version), work)

    async def _wait_for_version(self, version: int) -> None:
        """Waits for a moment until a version has been applied here."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(BASE_VERSION_TIMEOUT.total_seconds()):
                while self.state.version < version:
                    await self._state_changed.wait()

    def _configure_command(self, update: ConfigurationUpdate) -> dict[str, typing.Any]:
        """Returns the log command of an update: a patch of its base version, without patches if
        the base is not the version applied here."""
        source = items = None
        if self.state.version == update.base:
            source = patch.difference(self.state.source, update.source)
            items = patch.difference(self.state.configuration_items(), update.items, depth=1)
        return {
            "kind": "configure",
            "version": update.version,
            "base": update.base,
            "digest": update.digest,
            "source": source,
            "items": items,
        }

    async def _configure(self, arguments: typing.Any) -> typing.Any:
        """Handles a whole update from a steward that has not applied its base version."""
        update = ConfigurationUpdate(**arguments)
        if update.base > self.state.version:
            # A newly elected leader may not have applied every acknowledged entry yet.
            await self.log.confirm(DECISION_TIMEOUT)
        return await self._propose(self._configure_command(update))

    async def evacuate(
        self, zone: str, active: bool, arrived_after: datetime.timedelta | None = None
    ) -> state.Result:
        """Begins or ends the evacuation of an availability zone; raises as ``configure`` does.

        Args:
            zone: The zone.
            active: Whether the evacuation begins.
            arrived_after: Monotonic time after which the order arrived, None if it was not
                received. An order that may have waited for too long is refused.
        """
        command = {"kind": "evacuate", "zone": zone, "active": active}
        work = self._propose_in_time(command, arrived_after)
        return await self._decide_order("evacuate" if active else "take back", zone, work)

    async def _decide_order(
        self,
        order: str,
        subject: str,
        work: collections.abc.Awaitable[dict[str, typing.Any]],
    ) -> state.Result:
        """Waits for the outcome of an order and logs it."""
        try:
            result = state.Result(**await work)
        except errors.FlamingotillerError as error:
            events.emit(events.ORDER_UNDECIDED, order=order, subject=subject, error=str(error))
            raise
        events.emit(
            events.ORDER_DECIDED,
            order=order,
            subject=subject,
            verdict=result.verdict,
            version=result.version,
            revision=self.state.table.revision,
        )
        return result

    async def read_configuration(self) -> typing.Any:
        """Returns the newest configuration as it was sent, None before the first.

        Raises:
            errors.FlamingotillerError: The newest configuration could not be confirmed.
        """
        return (await self._execute("read", None))["source"]

    async def _read(self, arguments: typing.Any) -> typing.Any:
        await self.log.confirm(DECISION_TIMEOUT)
        return {"source": self.state.source}

    async def report(self, endpoint: model.Endpoint) -> None:
        """Records an endpoint's report; returns once a drain that it starts is committed.

        Raises:
            errors.InvalidInputError: The report names a service or a zone that does not exist.
            errors.FlamingotillerError: It could not be recorded; another steward may succeed.
        """
        if endpoint.zone not in self.config.region_by_zone:
            raise errors.InvalidInputError(f"unknown zone {endpoint.zone!r}", step="report")
        is_known = f"service/{endpoint.service}" in self.state.table.item_by_subject
        if self.state.version and not is_known:
            raise errors.InvalidInputError(f"unknown service {endpoint.service!r}", step="report")
        if not self.log.is_leader and self._leader_takes_renewals:
            # A state that may be old could take an endpoint for present that has been removed.
            self._require_state_age(MAX_STATE_AGE)
            effect = self._registry.record(endpoint, self.state, self.clock.monotonic())
            if effect is registry.Effect.RENEWAL:
                self._renewed_ids.add(endpoint.id)
            if effect is not registry.Effect.CHANGE:
                return
        await self._execute("report", model.to_document(endpoint))

    async def _report(self, document: typing.Any) -> typing.Any:
        endpoint = model.Endpoint(**document)
        leader_state = self._require_leader_state()
        effect = leader_state.registry.record(endpoint, self.state, self.clock.monotonic())
        if effect is registry.Effect.CHANGE:
            command = {"kind": "report", "endpoint": document}
            result = await self.log.propose(command, DECISION_TIMEOUT)
            events.emit(
                events.REPORT_APPLIED,
                endpoint=endpoint.id,
                service=endpoint.service,
                state="draining" if endpoint.draining else "ready",
                cold_s=endpoint.cold_s,
                verdict=result.verdict,
            )
        return {}

    async def leave(
        self, id_: str, born_ms: int | None, arrived_after: datetime.timedelta | None = None
    ) -> None:
        """Records an endpoint's departure; raises as ``report`` does.

        Args:
            id_: Id of the endpoint.
            born_ms: Start of the lifetime that ends, None if it was not sent.
            arrived_after: As for ``evacuate``; counts if the lifetime was not sent.
        """
        if born_ms is not None:
            await self._execute("leave", [id_, born_ms])
            return
        command = {"kind": "leave", "id": id_, "born_ms": None, "silent": False}
        result = state.Result(**await self._propose_in_time(command, arrived_after))
        events.emit(events.ENDPOINT_LEFT, endpoint=id_, service="", reason=result.verdict)

    async def _leave(self, arguments: typing.Any) -> typing.Any:
        id_, born_ms = arguments
        command = {"kind": "leave", "id": id_, "born_ms": born_ms, "silent": False}
        result = await self.log.propose(command, DECISION_TIMEOUT)
        events.emit(events.ENDPOINT_LEFT, endpoint=id_, service="", reason=result.verdict)
        return {}

    def locate(self, region: str, zone: str) -> list[str]:
        """Returns addresses of ready gateways for a caller: those of its region, else all; empty
        when none is known. The caller's zone is not used. Gateways that reach no endpoint are named
        only if there are no others."""
        ready = [g for g in self._gateway_list.present if g.ready]
        gateways = [g for g in ready if g.has_path] or ready
        in_region = [g for g in gateways if g.region == region]
        return [g.address for g in in_region or gateways]

    def ready(self) -> bool:
        """Returns whether this steward knows the leader and its own storage works."""
        return bool(self._leader_address()) and not self.log.storage_failed


@dataclasses.dataclass(frozen=True)
class _LeaderState:
    """State that only the leader keeps, for one term of leadership.

    Attributes:
        since: When the steward became the leader.
        presence: Gateways present.
        registry: When endpoints last reported.
        accounts: Token accounts of organisations.
        grant_issuer: Grants for requests to endpoints that have named a limit.
        suspects: Requests that may have ended endpoints, and their trials.
    """

    since: datetime.timedelta
    presence: presence.GatewayPresence
    registry: registry.Registry
    accounts: accounting.Accounts
    grant_issuer: endpoint_limits.GrantIssuer
    suspects: suspect_registry.SuspectRegistry


_FOLLOW_ROUTE = "POST /v1/follow"
_PEER_ROUTES = {
    f"POST {replica_transport.MESSAGE_PATH}": Steward._on_replica,
    f"POST {replica_transport.PART_PATH}": Steward._on_replica_part,
    "POST /v1/execute": Steward._on_execute,
    "POST /v1/draw": Steward._on_draw,
    "POST /v1/branch-draw": Steward._on_branch_draw,
    "POST /v1/endpoint-grant": Steward._on_endpoint_grant,
    "POST /v1/ends": Steward._on_ends,
    "POST /v1/trial": Steward._on_trial,
    "POST /v1/trial-outcome": Steward._on_trial_outcome,
}
_OPERATIONS: dict[
    str, collections.abc.Callable[[Steward, typing.Any], collections.abc.Awaitable[typing.Any]]
] = {
    "propose": Steward._propose,
    "clock": Steward._tell_time,
    "order": Steward._order,
    "configure": Steward._configure,
    "read": Steward._read,
    "report": Steward._report,
    "leave": Steward._leave,
    "grant": Steward._grant,
    "ends": Steward._record_ends,
    "trial": Steward._begin_trial,
    "trial-outcome": Steward._end_trial,
}


def _to_seconds(duration_by_key: dict[str, datetime.timedelta]) -> dict[str, float]:
    return {key: duration.total_seconds() for key, duration in duration_by_key.items()}


def _fingerprint(value: typing.Any) -> str:
    if not isinstance(value, str) or not 0 < len(value) <= MAX_FINGERPRINT_LENGTH:
        raise errors.InvalidInputError("expected a request's fingerprint", step="suspects")
    return value


def _log_handler_error(error: BaseException, peer: str) -> None:
    events.emit(events.HANDLER_FAILED, peer=peer, error=repr(error))


def open_journal(config: StewardSettings) -> journal.DiskJournal:
    """Opens the journal in the data directory, creating it if the directory is blank.

    On the first start of the whole system the seeds bootstrap the log, all with the same list of
    voters. A blank directory anywhere else gets a new random identity, so that an instance that
    lost its disk never votes twice under one identity. A damaged journal counts as a lost disk: its
    files are set aside.

    Raises:
        errors.StorageError: The directory cannot be used.
    """
    try:
        if (config.data / "identity").exists():
            try:
                return journal.DiskJournal(config.data)
            except errors.CorruptRecordError as error:
                events.emit(events.JOURNAL_SET_ASIDE, path=str(config.data), error=str(error))
                journal.DiskJournal.set_aside(config.data)
        _create_journal(config)
        return journal.DiskJournal(config.data)
    except errors.StorageError as error:
        events.emit(events.JOURNAL_UNREADABLE, path=str(config.data), error=str(error))
        raise


def _create_journal(config: StewardSettings) -> None:
    # The voters that bootstrap the log have no memory yet; one whose journal was damaged had.
    is_first_start = config.found and not journal.DiskJournal.was_set_aside(config.data)
    if is_first_start and config.address in config.seeds:
        _bootstrap_log(config)
    else:
        journal.DiskJournal.create(config.data, f"{config.name}.{secrets.token_hex(4)}")


def _bootstrap_log(config: StewardSettings) -> None:
    voters = {f"founder-{seed}": seed for seed in sorted(config.seeds)}
    journal.DiskJournal.create(config.data, f"founder-{config.address}")
    with contextlib.closing(journal.DiskJournal(config.data)) as store:
        store.set_vote(1, "")
        store.append(journal.Entry(1, 1, "members", replica_messages.Members(voters).to_wire()))
        store.sync()
