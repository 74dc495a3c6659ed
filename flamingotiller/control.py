"""A control instance: the task that owns a replica, applies what commits, and answers for it."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import datetime
import pathlib
import random
import secrets
import typing

from flamingotiller import (
    claims,
    client,
    clock,
    configuration,
    daemon,
    errors,
    events,
    feed,
    hedge,
    journal,
    kernel,
    replica,
    replica_messages,
    settings,
)

CLAIM_RETENTION = datetime.timedelta(hours=24)
TICK = clock.seconds(0.05)
PEER_TIMEOUT = clock.seconds(1)
MAX_UNANSWERED = 8
# Followers confirm entry instances, so they notice a late confirmation before these do.
LATE_AFTER = clock.seconds(1.5)
PROPOSAL_TIMEOUT = clock.seconds(5)
QUEUE_PER_PEER = 64


@dataclasses.dataclass(frozen=True)
class PeerMessage:
    """A message of another member; the future takes the replies meant for its sender."""

    sender: str
    message: replica_messages.Message
    replies: asyncio.Future[list[replica_messages.Message]]


@dataclasses.dataclass(frozen=True)
class Proposal:
    """A command for the log; the future takes the result of applying it."""

    command: dict[str, typing.Any]
    result: asyncio.Future[typing.Any]


@dataclasses.dataclass(frozen=True)
class MembersProposal:
    """A membership change, computed from the membership in force."""

    change: typing.Callable[[replica_messages.Members], replica_messages.Members]
    result: asyncio.Future[typing.Any]


Inbound = PeerMessage | Proposal | MembersProposal | None


class ControlState:
    """What the log's commands build: the configuration and the claims of caller-chosen ids."""

    def __init__(self) -> None:
        self.configuration = configuration.Configuration()
        self.claims = claims.ClaimTable(CLAIM_RETENTION, capacity=1_000_000)
        self._time = clock.ZERO

    def apply(self, command: dict[str, typing.Any]) -> typing.Any:
        """Applies a command; the result depends on the log alone."""
        kind = command["kind"]
        if kind == "change":
            return self.configuration.apply(configuration.Change(**command["change"]))
        key = (command["organisation"], command["id"], command["arrival"])
        if kind == "claim":
            # Leaders' calendars may differ; the log's own time never goes back.
            self._time = max(self._time, datetime.timedelta(milliseconds=command["at_ms"]))
            return self.claims.claim(*key, command["holder"], self._time)
        if kind == "release":
            return self.claims.release(*key)
        return self.claims.finish(*key)

    def to_wire(self) -> dict[str, typing.Any]:
        """Returns the JSON form, for snapshots."""
        return {
            "configuration": self.configuration.to_wire(),
            "claims": self.claims.to_wire(),
            "time_s": self._time.total_seconds(),
        }

    @classmethod
    def from_wire(cls, document: dict[str, typing.Any] | None) -> ControlState:
        """Builds the state from a snapshot, empty from None."""
        state = cls()
        if document:
            state.configuration = configuration.Configuration.from_wire(document["configuration"])
            state.claims.load(document["claims"])
            state._time = clock.seconds(document["time_s"])
        return state


class ControlInstance(daemon.Daemon):
    """The daemon of the ``control`` role.

    Args:
        config: Its settings.
        tokens: Credentials.
        clk: Source of time.
        rng: Source of election timeouts.
    """

    role = "control"

    def __init__(
        self,
        config: settings.ControlSettings,
        tokens: settings.Tokens,
        clk: clock.Clock,
        rng: random.Random,
    ) -> None:
        super().__init__(config, tokens, clk, kernel.control_routes)
        self.config = config
        self._rng = rng
        self._inbox: asyncio.Queue[Inbound] = asyncio.Queue()
        self._queue_by_peer: dict[str, asyncio.Queue[replica_messages.Message]] = {}
        self._waiting: dict[int, list[tuple[int, asyncio.Future[typing.Any]]]] = {}
        self._applied = 0
        self._failed: errors.StorageError | None = None
        self._was_leader = False
        self._stood_in_term = 0
        self._index_by_version: list[tuple[int, int]] = [(0, 0)]

    async def start_role(self) -> None:
        """Opens the journal and starts the tasks."""
        store = open_journal(self.config)
        self.stack.callback(store.close)
        self.replica = replica.Replica(
            store,
            self.clock.monotonic(),
            self._rng,
            replica.Timing(self.config.heartbeat, self.config.election_timeout),
        )
        self.state = ControlState()
        self.feed = feed.Feed(self.config.instance, "control", self.state.configuration, self.clock)
        self.feed.address = self.address
        self._load_snapshot()
        if not self.replica.is_voter:
            events.emit(events.NEW_MEMBER_WAITING, identity=self.replica.identity)
        self.spawn("replica", self._run)
        self.spawn("ticker", self._tick)
        self.spawn("subscription", self._subscribe)
        self.spawn("hedge", hedge.Hedge(self.feed, LATE_AFTER, self._ask_leader_again).run)

    # The replica's task

    async def _run(self) -> None:
        while True:
            batch = [await self._inbox.get()]
            while not self._inbox.empty():
                batch.append(self._inbox.get_nowait())
            try:
                self._step(batch)
            except errors.StorageError as error:
                self._fail(error)

    def _step(self, batch: list[Inbound]) -> None:
        if self._failed:
            self._refuse(batch, self._failed)
            return
        now = self.clock.monotonic()
        for item in batch:
            self._take(item, now)
        self.replica.tick(now)
        self.replica.store.sync()
        self.replica.on_journal_synced()
        self._apply_committed()
        self._flush(batch)
        self._note_role()
        self._compact()

    def _take(self, item: Inbound, now: datetime.timedelta) -> None:
        try:
            match item:
                case PeerMessage():
                    self.replica.receive(item.message, now)
                case Proposal():
                    index, term = self.replica.propose(item.command, now)
                    self._waiting.setdefault(index, []).append((term, item.result))
                case MembersProposal():
                    changed = item.change(self.replica.members)
                    index, term = self.replica.propose_members(changed, now)
                    self._waiting.setdefault(index, []).append((term, item.result))
        except errors.StorageError:
            raise
        except errors.FlamingotillerError as error:
            _settle(item.result, error=error)  # type: ignore[union-attr]

    def _refuse(self, batch: list[Inbound], error: errors.StorageError) -> None:
        for item in batch:
            match item:
                case PeerMessage():
                    _settle(item.replies, error=error)
                case Proposal() | MembersProposal():
                    _settle(item.result, error=error)

    def _fail(self, error: errors.StorageError) -> None:
        self._failed = error
        self.replica.outbox.clear()
        events.emit(events.STORAGE_FAILED, error=error)
        for waiters in self._waiting.values():
            for _, future in waiters:
                _settle(future, error=error)
        self._waiting.clear()

    @property
    def failure(self) -> errors.StorageError | None:
        """Why this instance takes no further part, None while it works."""
        return self._failed

    def _load_snapshot(self) -> None:
        snapshot = self.replica.store.snapshot
        self.state = ControlState.from_wire(snapshot.state)
        self._applied = snapshot.index
        self._index_by_version = [(snapshot.index, self.state.configuration.version)]
        self.feed.state = self.state.configuration
        self.feed.refresh()

    def _apply_committed(self) -> None:
        store = self.replica.store
        if store.snapshot.index > self._applied:
            self._load_snapshot()
            events.emit(events.SNAPSHOT_INSTALLED, index=self._applied)
        changed = False
        while self._applied < self.replica.commit:
            entry = store.slice(self._applied + 1, 1)[0]
            self._applied = entry.index
            changed |= self._apply(entry)
        if changed:
            self.feed.refresh()
        self._confirm()

    def _apply(self, entry: journal.Entry) -> bool:
        version = self.state.configuration.version
        result: typing.Any = None
        if entry.kind == "command":
            result = self.state.apply(entry.body)
        elif entry.kind == "members":
            members = replica_messages.Members(**entry.body)
            events.emit(
                events.MEMBERS_CHANGED,
                voters=sorted(members.voters),
                learners=sorted(members.learners),
            )
        for term, future in self._waiting.pop(entry.index, ()):
            if term == entry.term:
                _settle(future, result)
            else:
                _settle(future, error=self._lost_leadership())
        if self.state.configuration.version == version:
            return False
        self._index_by_version.append((entry.index, self.state.configuration.version))
        del self._index_by_version[:-1024]
        return True

    def _lost_leadership(self) -> errors.NotLeaderError:
        return errors.NotLeaderError(
            "leadership was lost before the change was decided; resend it with its change id",
            leader=self.leader_address(),
            step="propose",
        )

    def _confirm(self) -> None:
        confirmation = self.replica.confirmation
        if confirmation is None or self._applied < confirmation.index:
            return
        self.feed.confirm(self._version_at(confirmation.index), confirmation.as_of)

    def _version_at(self, index: int) -> int:
        for applied, version in reversed(self._index_by_version):
            if applied <= index:
                return version
        return self.state.configuration.version

    def _flush(self, batch: list[Inbound]) -> None:
        outbox, self.replica.outbox = self.replica.outbox, []
        by_peer: dict[str, list[replica_messages.Message]] = {}
        for identity, message in outbox:
            by_peer.setdefault(identity, []).append(message)
        for item in batch:
            if isinstance(item, PeerMessage):
                _settle(item.replies, by_peer.pop(item.sender, []))
        for identity, messages in by_peer.items():
            queue = self._queue_for(identity)
            for message in messages:
                if queue.full():
                    queue.get_nowait()
                queue.put_nowait(message)

    def _queue_for(self, identity: str) -> asyncio.Queue[replica_messages.Message]:
        queue = self._queue_by_peer.get(identity)
        if queue is None:
            queue = self._queue_by_peer[identity] = asyncio.Queue(QUEUE_PER_PEER)
            self.spawn(f"sender {identity}", lambda: self._send(identity, queue))
        return queue

    def _note_role(self) -> None:
        leads = self.replica.role == "leader"
        stands = self.replica.role == "candidate"
        if stands and self.replica.store.term != self._stood_in_term:
            self._stood_in_term = self.replica.store.term
            events.emit(events.ELECTION_STARTED, term=self._stood_in_term)
        if leads and not self._was_leader:
            events.emit(
                events.LEADER_ELECTED, term=self.replica.store.term, index=self.replica.commit
            )
        if self._was_leader and not leads:
            events.emit(
                events.LEADERSHIP_LOST, term=self.replica.store.term, reason="term or quorum"
            )
            self._fail_waiting()
        self._was_leader = leads

    def _fail_waiting(self) -> None:
        for waiters in self._waiting.values():
            for _, future in waiters:
                _settle(future, error=self._lost_leadership())
        self._waiting.clear()

    def _compact(self) -> None:
        snapshot = self.replica.store.snapshot
        if self._applied - snapshot.index < self.config.snapshot_every:
            return
        self.replica.compact(self._applied, self.state.to_wire())
        events.emit(events.SNAPSHOT_SAVED, index=self._applied)

    # Other tasks

    async def _tick(self) -> None:
        while True:
            await asyncio.sleep(TICK.total_seconds())
            if self._inbox.empty():
                self._inbox.put_nowait(None)

    async def _send(self, identity: str, queue: asyncio.Queue[replica_messages.Message]) -> None:
        """Sends a peer its messages in order; one without an answer does not hold up the rest."""
        unanswered = asyncio.Semaphore(MAX_UNANSWERED)
        async with asyncio.TaskGroup() as group:
            while True:
                message = await queue.get()
                await unanswered.acquire()
                task = group.create_task(self._send_one(identity, message))
                task.add_done_callback(lambda _: unanswered.release())
                await asyncio.wait([task], timeout=self.config.heartbeat.total_seconds())

    async def _send_one(self, identity: str, message: replica_messages.Message) -> None:
        address = self.replica.members.address_of(identity)
        if not address:
            return
        body = {
            "sender": self.replica.identity,
            "message": replica_messages.message_to_wire(message),
        }
        try:
            answer = await self.client.call(
                address, "POST", "/v1/replica", body, timeout=PEER_TIMEOUT
            )
            document = client.raise_for_status(answer, step="replicate", peer=address)
            for reply in document["replies"]:
                await self._deliver(identity, replica_messages.message_from_wire(reply))
        except (errors.FlamingotillerError, KeyError, TypeError):
            # Replication tolerates loss; the next heartbeat tries again.
            return

    async def _deliver(self, sender: str, message: replica_messages.Message) -> None:
        future = asyncio.get_running_loop().create_future()
        await self._inbox.put(PeerMessage(sender, message, future))
        for reply in await future:
            self._queue_for(sender).put_nowait(reply)

    async def _subscribe(self) -> None:
        """Keeps the feed of a follower confirmed by the leader's."""
        while True:
            leader = self.leader_address()
            if not leader or self.replica.role == "leader":
                await asyncio.sleep(0.2)
                continue
            try:
                await self._ask_leader(leader, feed.HOLD_TIMEOUT + PEER_TIMEOUT)
            except errors.FlamingotillerError:
                await asyncio.sleep(0.2)

    async def _ask_leader(
        self, leader: str, timeout: datetime.timedelta, *, now: bool = False
    ) -> None:
        sent = self.clock.monotonic()
        answer = await self.client.call(
            leader, "POST", "/v1/feed", self.feed.subscription(now=now), timeout=timeout
        )
        self._take_confirmation(client.raise_for_status(answer, step="feed", peer=leader), sent)

    async def _ask_leader_again(self) -> None:
        leader = self.leader_address()
        if leader and self.replica.role != "leader":
            await self._ask_leader(leader, PEER_TIMEOUT, now=True)

    def _take_confirmation(self, document: dict[str, typing.Any], sent) -> None:
        # A control instance takes the configuration from its log only, the age from the leader.
        try:
            if document["age_s"] is not None:
                held, age = clock.seconds(document["held_s"]), clock.seconds(document["age_s"])
                self.feed.confirm(int(document["version"]), sent + held - age)
        except (KeyError, TypeError, ValueError) as error:
            raise errors.ProtocolError(f"bad answer of a feed: {error}", step="feed") from error

    # What the routes use

    def leader_address(self) -> str:
        """Returns the leader's address, empty if unknown."""
        return self.replica.members.address_of(self.replica.leader)

    async def receive(
        self, sender: str, message: replica_messages.Message
    ) -> list[replica_messages.Message]:
        """Hands a peer's message to the replica and returns the replies for the peer."""
        future = asyncio.get_running_loop().create_future()
        await self._inbox.put(PeerMessage(sender, message, future))
        return await future

    async def propose(self, command: dict[str, typing.Any]) -> typing.Any:
        """Puts a command through the log and returns its result.

        Raises:
            errors.NotLeaderError: Ask the leader; nothing is known to be decided.
            errors.UnavailableError: Not decided in time; resend with the same change id.
            errors.StorageError: This instance's storage has failed.
        """
        future = asyncio.get_running_loop().create_future()
        return await self._wait_decided(Proposal(command, future), future)

    async def change_members(self, change) -> None:
        """Puts a membership change through the log; errors as ``propose``."""
        future = asyncio.get_running_loop().create_future()
        await self._wait_decided(MembersProposal(change, future), future)

    async def _wait_decided(self, item: Inbound, future: asyncio.Future) -> typing.Any:
        await self._inbox.put(item)
        try:
            async with asyncio.timeout(PROPOSAL_TIMEOUT.total_seconds()):
                return await future
        except TimeoutError:
            raise errors.UnavailableError(
                "no majority decided in time; resend with the same change id", step="propose"
            ) from None

    def unready_reason(self) -> str:
        """Returns why this instance is not ready, empty when it is."""
        if self._failed:
            return f"storage failed: {self._failed.message}"
        return "" if self.replica.leader else "no leader known"

    def update_metrics(self) -> None:
        """Sets the gauges that are read rather than counted."""
        super().update_metrics()
        self.metrics.gauge("flamingotiller_config_version", self.feed.version)
        self.metrics.gauge("flamingotiller_log_term", self.replica.store.term)
        self.metrics.gauge("flamingotiller_log_commit_index", self.replica.commit)
        self.metrics.gauge("flamingotiller_is_leader", int(self.replica.role == "leader"))


def _settle(future: asyncio.Future, result: typing.Any = None, error: Exception | None = None):
    if future.done():
        return
    if error:
        future.set_exception(error)
    else:
        future.set_result(result)


def found(folder: pathlib.Path, instance: str, address_by_instance: dict[str, str]) -> None:
    """Makes the data folder of a founding member of a new log.

    Args:
        folder: The data folder.
        instance: This member.
        address_by_instance: Every founding member.

    Raises:
        errors.StorageError: The folder is in use already.
        errors.InvalidInputError: The instance is not among the members.
    """
    if instance not in address_by_instance:
        raise errors.InvalidInputError(f"{instance} is not among the members", step="found")
    journal.DiskJournal.create(folder, f"{instance}.0")
    with contextlib.closing(journal.DiskJournal(folder)) as store:
        voters = {f"{name}.0": address for name, address in address_by_instance.items()}
        members = replica_messages.Members(voters).to_wire()
        store.set_vote(1, "")
        store.append(journal.Entry(1, 1, "members", members))
        store.sync()


def open_journal(config: settings.ControlSettings) -> journal.DiskJournal:
    """Opens the data folder; a blank one becomes that of a newcomer with an identity of its own.

    An identity is never used again, so a member whose disk was lost cannot vote twice.
    """
    if not (config.data / "identity").exists():
        journal.DiskJournal.create(config.data, f"{config.instance}.{secrets.token_hex(4)}")
    return journal.DiskJournal(config.data)


def build(config: settings.ControlSettings, tokens: settings.Tokens) -> ControlInstance:
    """Returns a control instance on the system's clock and random source."""
    return ControlInstance(config, tokens, clock.SystemClock(), random.SystemRandom())
