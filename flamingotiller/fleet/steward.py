"""The program of instances with a disk: a replica of the log, the leader's knowledge of who is
present, and what operators, endpoints and look-ups ask."""

from __future__ import annotations

import asyncio
import collections
import contextlib
import dataclasses
import datetime
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
    metrics,
    replica,
    replica_messages,
    server,
    supervisor,
)
from flamingotiller.fleet import (
    attendance,
    bank,
    branch,
    follower,
    log_task,
    model,
    patch,
    registry,
    roster,
    state,
)

TIMING = replica.Timing(heartbeat=clock.seconds(0.15), election_timeout=clock.seconds(0.7))
# Callers give a call one second; what is not decided by then they send again elsewhere.
DECISION_TIMEOUT = clock.seconds(0.9)
FORWARD_TIMEOUT = clock.seconds(0.95)
UPKEEP_INTERVAL = clock.seconds(0.25)
# Changes that follow one another this closely reach gateways with one answer; a small part of the
# time in which drains and configurations have to be in force.
GATHERING = clock.seconds(0.05)
# Pause between a steward's polls of the leader; what gateways know is older by up to that.
POLL_PAUSE = clock.seconds(0.1)
# A steward whose knowledge is older sends gateways elsewhere.
LONGEST_AGE = clock.seconds(1)
# Accounts are handed to each steward this often, for the case that it becomes the leader.
HANDOVER_INTERVAL = clock.seconds(0.4)
# Polls that wait for their revision to be applied; later ones prove more.
MOST_UNPROVED = 64
# Draws that one call waits for: other gateways may take what the first has brought.
MOST_DRAWS = 2
DRAW_TIMEOUT = clock.seconds(0.2)  # several round trips between regions
# A new leader's list of gateways is taken over only once they had time to find it.
SETTLING = clock.seconds(1.5)


@dataclasses.dataclass(frozen=True)
class StewardSettings:
    """Settings of a steward.

    Attributes:
        name: Name of the instance.
        zone: Its availability zone.
        region: Its region.
        host: IP number to listen on.
        peer_port: Port for the system's own calls, the same on all instances.
        seeds: Addresses of three stewards, ``IP:peer_port``.
        found: Whether the whole system starts for the first time.
        data: Data folder.
        report_interval: Time between the reports of an endpoint.
        region_by_zone: Every availability zone.
        tolerance: By how much organisations' rates may be exceeded.
        bind_host: IP number to listen on for peers; ``host`` if empty. Differs where the address
            that others use is translated on the way.
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
    tolerance: bank.Tolerance
    bind_host: str = ""

    @property
    def address(self) -> str:
        """Where other processes of the system reach this one."""
        return f"{self.host}:{self.peer_port}"


@dataclasses.dataclass(frozen=True)
class Order:
    """A configuration that an operator wants in force.

    Attributes:
        version: Its version.
        base: Version that it builds on.
        digest: Tells it from another configuration of the same version.
        items: What it contains, by subject.
        source: As the operator sent it.
    """

    version: int
    base: int
    digest: str
    items: dict[str, model.Document]
    source: typing.Any


class Steward:
    """One steward.

    Args:
        config: Its settings.
        clk: Source of time.
        rng: Source of election timeouts.
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
        self._server = server.Server(self._serve_peer, on_handler_error=_note_fault)
        self._changed = asyncio.Event()
        self._roll = attendance.EMPTY
        self._local = attendance.Attendance((), clk.monotonic())
        self._branch = branch.Branch(f"{config.name}.{secrets.token_hex(4)}", config.tolerance)
        self._draw_by_organisation: dict[str, asyncio.Future[None]] = {}
        # Draws of the poll that is under way.
        self._polled: dict[str, bank.Draw] = {}
        # Revisions that the leader had when polls were sent, until they are applied here.
        self._unproved: collections.deque[tuple[int, datetime.timedelta]] = collections.deque(
            maxlen=MOST_UNPROVED
        )
        self._proved_at: datetime.timedelta | None = None
        # What the leader has told of its accounts, and when.
        self._handed: dict[str, bank.Handed] = {}
        self._handed_at = clock.ZERO
        self._leading: _Leading | None = None
        self._newcomer_by_address: dict[str, roster.Newcomer] = {}

    async def start(self) -> None:
        """Opens the journal, listens for peers and starts the tasks.

        Raises:
            errors.FlamingotillerError: The data folder or the address cannot be used.
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
                self._poll,
                self._take_answer,
                on_poll_failed=self._lose_answer,
            )
            bind_host = self.config.bind_host or self.config.host
            await self._server.start(bind_host, self.config.peer_port)
            stack.push_async_callback(self._supervisor.close)
            stack.push_async_callback(self._server.close)
            self.log.start()
            self._supervisor.spawn("follower", self._follow)
            self._supervisor.spawn("upkeep", self._upkeep)
            self._stack = stack.pop_all()

    def _other_seeds(self) -> list[str]:
        seeds = [seed for seed in self.config.seeds if seed != self.config.address]
        return seeds or list(self.config.seeds)

    def reconfigure(self, config: StewardSettings) -> None:
        """Takes over settings that may change while it runs: the seeds."""
        self.config = dataclasses.replace(self.config, seeds=config.seeds)
        self._follower.set_seeds(self._other_seeds())

    async def stop(self) -> None:
        """Ends everything; whatever was acknowledged is on disk."""
        await self._stack.aclose()

    # The log's state machine

    def apply(self, command: typing.Any, index: int) -> state.Result:
        """Applies a committed command."""
        return self.state.apply(command, index)

    def load(self, document: typing.Any) -> None:
        """Replaces the state by a snapshot's."""
        self.state = state.FleetState.load(document)

    def dump(self) -> typing.Any:
        """Returns the state for a snapshot."""
        return self.state.dump()

    def committed(self) -> None:
        """Wakes the polls that wait for a change."""
        self._prove()
        self._changed.set()
        self._changed = asyncio.Event()

    # Following the leader

    async def _follow(self) -> None:
        while True:
            if self.log.leads:
                self._lead_branch()
            else:
                await self._follower.step()
            await asyncio.sleep(POLL_PAUSE.total_seconds())

    def _poll(self) -> dict[str, typing.Any]:
        now = self.clock.monotonic()
        draws = self._branch.draws(now)
        self._polled = draws
        return {
            "name": self.config.name,
            "zone": self.config.zone,
            "identity": self.log.replica.identity,
            "address": self.config.address,
            "gateways": [
                [dataclasses.asdict(gateway), silence.total_seconds()]
                for gateway, silence in self._local.silences(now)
            ],
            "draws": {name: dataclasses.astuple(draw) for name, draw in draws.items()},
            "roll": self._roll.version,
            "accounts_age_s": (now - self._handed_at).total_seconds(),
        }

    def _take_answer(self, answer: dict[str, typing.Any], sent: datetime.timedelta) -> None:
        now = self.clock.monotonic()
        if answer["roll"] is not None:
            self._note_roll(attendance.Roll.from_wire(answer["roll"]))
        if answer["accounts"] is not None:
            self._handed, self._handed_at = answer["accounts"], now
        for organisation in self._polled:
            ledger = self._branch.ledger(organisation)
            ledger.receive(bank.Grant(*answer["grants"][organisation]), now)
        self._polled = {}
        self._unproved.append((answer["revision"], sent))
        self._prove()

    def _lose_answer(self) -> None:
        for organisation, draw in self._polled.items():
            self._branch.ledger(organisation).lose(draw)
        self._polled = {}

    def _prove(self) -> None:
        """Dates the state by the polls whose revisions are applied by now."""
        while self._unproved and self._unproved[0][0] <= self.state.table.revision:
            self._proved_at = self._unproved.popleft()[1]

    def _age(self, now: datetime.timedelta) -> datetime.timedelta:
        """Returns for how long the state may not have been the newest."""
        proved_at = self._proved_at
        confirmed_at = self.log.confirmed_at()
        if confirmed_at is not None:
            proved_at = max(proved_at or confirmed_at, confirmed_at)
        return now - proved_at if proved_at is not None else datetime.timedelta(days=1)

    def _note_roll(self, roll: attendance.Roll) -> None:
        before = {g.name for g in self._roll.present}
        after = {g.name for g in roll.present}
        self._roll = roll
        if before != after:
            events.emit(
                events.PRESENCE_CHANGED,
                count=len(after),
                joined=sorted(after - before),
                left=sorted(before - after),
            )

    # Leading

    async def _upkeep(self) -> None:
        """Does what only the leader does, while this steward leads."""
        while True:
            await asyncio.sleep(UPKEEP_INTERVAL.total_seconds())
            now = self.clock.monotonic()
            leading = self._as_leader(now)
            if leading is None:
                continue
            if now - leading.since >= SETTLING or not self._roll.present:
                self._note_roll(leading.attendance.roll(now))
            with contextlib.suppress(errors.UnavailableError, errors.StorageError):
                await self._drop_silent(leading, now)
                await self._adjust_members(now)

    def _as_leader(self, now: datetime.timedelta) -> _Leading | None:
        """Returns what this steward knows as the leader, None if it does not lead."""
        if not self.log.leads:
            self._leading = None
        elif self._leading is None or self._leading.since != self.log.leading_since:
            since = self.log.leading_since or now
            self._leading = _Leading(
                since,
                attendance.Attendance(self._roll.known, now),
                registry.Registry(self.config.report_interval, now),
                bank.Bank(self.config.tolerance, since, self._handed, self._handed_at),
            )
        return self._leading

    def _require_leading(self) -> _Leading:
        leading = self._as_leader(self.clock.monotonic())
        if leading is None:
            raise errors.NotLeaderError(
                "this steward does not lead", leader=self._leader_address(), step="lead"
            )
        return leading

    def _leader_address(self) -> str:
        return self.log.leader_address or self._follower.source

    async def _drop_silent(self, leading: _Leading, now: datetime.timedelta) -> None:
        for endpoint in leading.registry.silent(self.state, now):
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
        sightings = {}
        for identity in (*members.voters, *members.learners):
            progress = self.log.replica.progress_of(identity)
            if identity != self.log.replica.identity and progress:
                heard = max(progress.acked_at, self.log.leading_since or now)
                sightings[identity] = roster.Sighting(progress.match, heard)
        zones = {**self.state.zone_by_identity, self.log.replica.identity: self.config.zone}
        wanted = roster.next_members(
            members,
            list(self._newcomer_by_address.values()),
            sightings,
            zones,
            self.log.replica.commit,
            now,
        )
        if wanted is not None:
            await self.log.change_members(wanted, DECISION_TIMEOUT)
            return
        await self._record_zones(members)

    async def _record_zones(self, members: replica_messages.Members) -> None:
        known = {n.identity: n.zone for n in self._newcomer_by_address.values()}
        known[self.log.replica.identity] = self.config.zone
        for identity, zone in known.items():
            listed = identity in members.voters or identity in members.learners
            if listed and self.state.zone_by_identity.get(identity) != zone:
                command = {"kind": "locate", "identity": identity, "zone": zone}
                await self.log.propose(command, DECISION_TIMEOUT)

    # Calls of other processes of the system

    async def _serve_peer(self, request: server.Request, reply: server.Reply) -> None:
        handler = _PEER_ROUTES.get(f"{request.method} {request.path}")
        if handler is None:
            raise errors.NotFoundError(f"no such route: {request.path}", step="route")
        body = await request.read_json()
        try:
            answer = await handler(self, body)
        except (KeyError, TypeError, ValueError, AttributeError) as error:
            raise errors.InvalidInputError(
                f"malformed call: {error!r}", step=request.path, peer=request.peer
            ) from error
        await reply.json(200, answer)

    async def _on_replica(self, body: typing.Any) -> typing.Any:
        message = replica_messages.message_from_wire(body["message"])
        replies = await self.log.receive(body["sender"], message)
        return {"replies": [replica_messages.message_to_wire(r) for r in replies]}

    async def _on_execute(self, body: typing.Any) -> typing.Any:
        self._require_leading()
        return await _OPERATIONS[body["operation"]](self, body["arguments"])

    async def _on_follow(self, body: typing.Any) -> typing.Any:
        return await (self._follow_leader if "identity" in body else self._follow_near)(body)

    async def _follow_leader(self, body: typing.Any) -> typing.Any:
        """Answers another steward: what its state has to reach, tokens, and who is present."""
        leading = self._require_leading()
        # The latest to ask from an address counts: an earlier one has lost its disk.
        self._newcomer_by_address[body["address"]] = roster.Newcomer(
            body["identity"], body["address"], body["zone"], self.clock.monotonic()
        )
        now = self.clock.monotonic()
        for document, silence_s in body["gateways"]:
            leading.attendance.hear(attendance.Gateway(**document), now - clock.seconds(silence_s))
        certain = self.log.certain(now)
        stale = body["accounts_age_s"] > HANDOVER_INTERVAL.total_seconds()
        grants = {
            organisation: self._give(leading, organisation, bank.Draw(*draw), certain)
            for organisation, draw in body["draws"].items()
        }
        accounts = leading.bank.hand_over(now) if stale else None
        # Draws are taken as they arrive, or later ones would overtake them during the wait.
        await self.log.confirm(DECISION_TIMEOUT)
        return {
            "age_s": 0.0,
            "members": self._member_addresses(),
            "revision": self.state.table.revision,
            "roll": self._roll.to_wire() if body["roll"] != self._roll.version else None,
            "grants": {name: dataclasses.astuple(grant) for name, grant in grants.items()},
            "accounts": accounts,
        }

    async def _follow_near(self, body: typing.Any) -> typing.Any:
        """Answers a gateway: what has changed, its tokens, and its place among the others."""
        gateway = attendance.Gateway(**body["gateway"])
        self._local.hear(gateway, self.clock.monotonic())
        self._require_age(LONGEST_AGE)
        # A gateway that comes from another steward may know more for a moment.
        if body["revision"] and self.state.table.revision <= body["revision"]:
            changed = self._changed
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(follower.LONG_POLL_TIMEOUT.total_seconds()):
                    await changed.wait()
                    await asyncio.sleep(GATHERING.total_seconds())
        now = self.clock.monotonic()
        self._local.hear(gateway, now)
        self._require_age(LONGEST_AGE)
        grants = {
            organisation: dataclasses.astuple(
                self._branch.ledger(organisation).give(bank.Draw(*draw), now)
            )
            for organisation, draw in body["draws"].items()
        }
        delta = self.state.table.since(min(body["revision"], self.state.table.revision))
        return {
            "age_s": self._age(now).total_seconds(),
            "members": self._member_addresses(),
            "zones": self._zone_by_address(),
            "grants": grants,
            "place": dataclasses.asdict(self._roll.place(gateway.name)),
            "revision": delta.revision,
            "full": delta.full,
            "items": delta.items,
        }

    def _require_age(self, longest: datetime.timedelta) -> None:
        if self._age(self.clock.monotonic()) > longest:
            raise errors.UnavailableError("state is not known to be the newest", step="follow")

    def _zone_by_address(self) -> dict[str, str]:
        members = self.log.replica.members
        addresses = {**members.voters, **members.learners}
        zones = self.state.zone_by_identity
        return {address: zones.get(identity, "") for identity, address in addresses.items()}

    def _give(
        self, leading: _Leading, organisation: str, draw: bank.Draw, certain: bool
    ) -> bank.Grant:
        """Returns what a branch is given of an organisation's tokens; none while another steward
        may have become the leader."""
        document = self.state.table.item_by_subject.get(f"organisation/{organisation}")
        if document is None or not document["rate"]:
            return bank.Grant(0, 0)
        if not certain:
            return bank.Grant(0, bank.KEPT)
        return leading.bank.draw(
            organisation, draw, document["rate"], document["burst"], self.clock.monotonic()
        )

    # The branch

    def _lead_branch(self) -> None:
        """Draws for the own branch while this steward leads."""
        leading = self._as_leader(self.clock.monotonic())
        now = self.clock.monotonic()
        if leading is None:
            return
        for gateway, silence in self._local.silences(now):
            leading.attendance.hear(gateway, now - silence)
        certain = self.log.certain(now)
        for organisation, draw in self._branch.draws(now).items():
            grant = self._give(leading, organisation, draw, certain)
            self._branch.ledger(organisation).receive(grant, now)

    async def _on_draw(self, body: typing.Any) -> typing.Any:
        """Gives a gateway tokens between polls, from the leader if there are none in stock."""
        self._require_age(bank.BRANCH_USE)
        organisation, draw = body["organisation"], bank.Draw(*body["draw"])
        ledger = self._branch.ledger(organisation)
        grant = ledger.give(draw, self.clock.monotonic())
        for _ in range(MOST_DRAWS):
            denied = self.clock.monotonic() < ledger.denied_until
            if grant.tokens or draw.wanted <= 0 or denied:
                break
            await self._draw_at_leader(organisation, draw.wanted)
            grant = ledger.give(dataclasses.replace(draw, spent=0), self.clock.monotonic())
        return {"grant": dataclasses.astuple(grant)}

    async def _draw_at_leader(self, organisation: str, least: int) -> None:
        """Asks for tokens; requests that need some meanwhile wait for one answer."""
        task = self._draw_by_organisation.get(organisation)
        if task is None:
            task = asyncio.ensure_future(self._ask_leader(organisation, least))
            self._draw_by_organisation[organisation] = task
            task.add_done_callback(lambda _: self._draw_by_organisation.pop(organisation, None))
        await asyncio.shield(task)

    async def _ask_leader(self, organisation: str, least: int) -> None:
        ledger = self._branch.ledger(organisation)
        draw = self._branch.draw(organisation, self.clock.monotonic(), least)
        leader = self._leader_address()
        try:
            if self.log.leads:
                document = await self._on_branch_draw(
                    {"organisation": organisation, "draw": dataclasses.astuple(draw)}
                )
            else:
                answer = await self._client.call(
                    leader, "POST", "/v1/branch-draw",
                    {"organisation": organisation, "draw": dataclasses.astuple(draw)},
                    timeout=DRAW_TIMEOUT,
                )  # fmt: skip
                document = client.raise_for_status(answer, step="draw", peer=leader)
        except errors.FlamingotillerError as error:
            ledger.lose(draw)
            ledger.denied_until = self.clock.monotonic() + branch.DENIAL
            events.emit(
                events.DRAW_FAILED, organisation=organisation, peer=leader, error=str(error)
            )
            return
        ledger.receive(bank.Grant(*document["grant"]), self.clock.monotonic())

    async def _on_branch_draw(self, body: typing.Any) -> typing.Any:
        """Gives a branch tokens between polls; only while no other steward can lead."""
        leading = self._require_leading()
        if not self.log.certain(self.clock.monotonic()):
            raise errors.UnavailableError("not certain to lead", step="draw")
        grant = self._give(leading, body["organisation"], bank.Draw(*body["draw"]), True)
        return {"grant": dataclasses.astuple(grant)}

    def _member_addresses(self) -> list[str]:
        members = self.log.replica.members
        return [*members.voters.values(), *members.learners.values()]

    # What operators, endpoints and look-ups ask

    async def _execute(self, operation: str, arguments: typing.Any) -> typing.Any:
        """Runs an operation at the leader.

        Raises:
            errors.UnavailableError: It could not be decided; it may be later.
        """
        if self.log.leads:
            return await _OPERATIONS[operation](self, arguments)
        leader = self._leader_address()
        if not leader or leader == self.config.address:
            raise errors.UnavailableError("no leader known", step=operation)
        body = {"operation": operation, "arguments": arguments}
        answer = await self._client.call(
            leader, "POST", "/v1/execute", body, timeout=FORWARD_TIMEOUT
        )
        return client.raise_for_status(answer, step=operation, peer=leader)

    async def _propose(self, command: typing.Any) -> dict[str, typing.Any]:
        result = await self.log.propose(command, DECISION_TIMEOUT)
        return dataclasses.asdict(result)

    async def configure(self, order: Order) -> state.Result:
        """Puts a configuration in force.

        Raises:
            errors.FlamingotillerError: Not decided here; the order may be sent again.
        """
        known = self.state.version == order.base
        operation = "propose" if known else "configure"
        arguments = self._as_command(order) if known else dataclasses.asdict(order)
        return await self._order("configure", str(order.version), operation, arguments)

    def _as_command(self, order: Order) -> dict[str, typing.Any]:
        """Returns the log entry of an order: its difference from the version that it builds on,
        or none where that is not the version known here."""
        source = items = None
        if self.state.version == order.base:
            source = patch.difference(self.state.source, order.source)
            items = patch.difference(self.state.configuration_items(), order.items, depth=1)
        return {
            "kind": "configure",
            "version": order.version,
            "base": order.base,
            "digest": order.digest,
            "source": source,
            "items": items,
        }

    async def _configure(self, arguments: typing.Any) -> typing.Any:
        """Takes a whole configuration, from a steward that does not know its base."""
        order = Order(**arguments)
        if order.base > self.state.version:
            # A leader that was just elected may not have applied all that was acknowledged.
            await self.log.confirm(DECISION_TIMEOUT)
        return await self._propose(self._as_command(order))

    async def evacuate(self, zone: str, active: bool) -> state.Result:
        """Begins or ends the evacuation of an availability zone; errors as ``configure``."""
        command = {"kind": "evacuate", "zone": zone, "active": active}
        return await self._order("evacuate" if active else "take back", zone, "propose", command)

    async def _order(
        self, order: str, subject: str, operation: str, arguments: typing.Any
    ) -> state.Result:
        try:
            result = state.Result(**await self._execute(operation, arguments))
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
            errors.FlamingotillerError: Which one is the newest is not certain now.
        """
        return (await self._execute("read", None))["source"]

    async def _read(self, arguments: typing.Any) -> typing.Any:
        await self.log.confirm(DECISION_TIMEOUT)
        return {"source": self.state.source}

    async def report(self, endpoint: model.Endpoint) -> None:
        """Takes an endpoint's report; returns once a drain is certain to bind.

        Raises:
            errors.InvalidInputError: The report names a service or a zone that does not exist.
            errors.FlamingotillerError: It could not be taken; another steward may.
        """
        if endpoint.zone not in self.config.region_by_zone:
            raise errors.InvalidInputError(f"unknown zone {endpoint.zone!r}", step="report")
        known = f"service/{endpoint.service}" in self.state.table.item_by_subject
        if self.state.version and not known:
            raise errors.InvalidInputError(f"unknown service {endpoint.service!r}", step="report")
        await self._execute("report", model.to_document(endpoint))

    async def _report(self, document: typing.Any) -> typing.Any:
        endpoint = model.Endpoint(**document)
        leading = self._require_leading()
        if leading.registry.is_news(endpoint, self.state, self.clock.monotonic()):
            command = {"kind": "report", "endpoint": document}
            result = await self.log.propose(command, DECISION_TIMEOUT)
            events.emit(
                events.REPORT_TAKEN,
                endpoint=endpoint.id,
                service=endpoint.service,
                state="draining" if endpoint.draining else "ready",
                cold_s=endpoint.cold_s,
                verdict=result.verdict,
            )
        return {}

    async def leave(self, id_: str, born_ms: int | None) -> None:
        """Takes an endpoint's departure; errors as ``report``."""
        await self._execute("leave", [id_, born_ms])

    async def _leave(self, arguments: typing.Any) -> typing.Any:
        id_, born_ms = arguments
        command = {"kind": "leave", "id": id_, "born_ms": born_ms, "silent": False}
        result = await self.log.propose(command, DECISION_TIMEOUT)
        events.emit(events.ENDPOINT_LEFT, endpoint=id_, service="", reason=result.verdict)
        return {}

    def locate(self, region: str, zone: str) -> list[str]:
        """Returns addresses of gateways for callers of a zone: its own, else its region's, else
        any that is ready; empty when none is known."""
        gateways = [g for g in self._roll.present if g.ready]
        in_region = [g for g in gateways if g.region == region]
        return [g.address for g in in_region or gateways]

    def ready(self) -> bool:
        """Returns whether this steward knows the leader and its storage works."""
        return bool(self._leader_address()) and not self.log.storage_failed


@dataclasses.dataclass(frozen=True)
class _Leading:
    """What a steward knows while it leads, since when."""

    since: datetime.timedelta
    attendance: attendance.Attendance
    registry: registry.Registry
    bank: bank.Bank


_PEER_ROUTES = {
    "POST /v1/replica": Steward._on_replica,
    "POST /v1/execute": Steward._on_execute,
    "POST /v1/follow": Steward._on_follow,
    "POST /v1/draw": Steward._on_draw,
    "POST /v1/branch-draw": Steward._on_branch_draw,
}
_OPERATIONS = {
    "propose": Steward._propose,
    "configure": Steward._configure,
    "read": Steward._read,
    "report": Steward._report,
    "leave": Steward._leave,
}


def _note_fault(error: BaseException, peer: str) -> None:
    events.emit(events.HANDLER_FAULT, peer=peer, error=repr(error))


def open_journal(config: StewardSettings) -> journal.DiskJournal:
    """Opens the data folder, and makes it first where it is blank.

    At the first start of the whole system the seeds found the log, each under the same identities;
    any other blank folder belongs to a newcomer with an identity of its own, so that an instance
    whose disk was lost never votes twice.

    Raises:
        errors.StorageError: The folder cannot be used.
    """
    if not (config.data / "identity").exists():
        if config.found and config.address in config.seeds:
            _found(config)
        else:
            identity = f"{config.name}.{secrets.token_hex(4)}"
            journal.DiskJournal.create(config.data, identity)
    return journal.DiskJournal(config.data)


def _found(config: StewardSettings) -> None:
    voters = {f"founder-{seed}": seed for seed in sorted(config.seeds)}
    journal.DiskJournal.create(config.data, f"founder-{config.address}")
    with contextlib.closing(journal.DiskJournal(config.data)) as store:
        store.set_vote(1, "")
        store.append(journal.Entry(1, 1, "members", replica_messages.Members(voters).to_wire()))
        store.sync()
