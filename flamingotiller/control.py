"""The control instance: runs a replica of the log and applies its committed entries."""

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
TICK_INTERVAL = clock.seconds(0.05)
PEER_TIMEOUT = clock.seconds(1)
MAX_UNANSWERED_PER_PEER = 8
# Age of the confirmation after which a follower hedges. Entry instances are confirmed by followers,
# so a follower has to react to an overdue confirmation before they do.
HEDGE_AFTER = clock.seconds(1.5)
PROPOSAL_TIMEOUT = clock.seconds(5)
MAX_QUEUED_PER_PEER = 64


@dataclasses.dataclass(frozen=True)
class PeerMessage:
    """A message from another member.

    Attributes:
        sender: Identity of the member.
        message: The message.
        replies: Completed with the replies to the sender.
    """

    sender: str
    message: replica_messages.Message
    replies: asyncio.Future[list[replica_messages.Message]]


@dataclasses.dataclass(frozen=True)
class Proposal:
    """A command for the log.

    Attributes:
        command: The command.
        result: Completed with the result of applying the command.
    """

    command: dict[str, typing.Any]
    result: asyncio.Future[typing.Any]


@dataclasses.dataclass(frozen=True)
class MembersProposal:
    """A membership change for the log.

    Attributes:
        change: Computes the new membership from the one in force.
        result: Completed once the change is committed.
    """

    change: typing.Callable[[replica_messages.Members], replica_messages.Members]
    result: asyncio.Future[typing.Any]


Inbound = PeerMessage | Proposal | MembersProposal | None


class ControlState:
    """State machine of the log: the configuration and the claims of caller-chosen request ids."""

    def __init__(self) -> None:
        self.configuration = configuration.Configuration()
        self.claims = claims.ClaimTable(CLAIM_RETENTION, capacity=1_000_000)
        self._time = clock.ZERO

    def apply(self, command: dict[str, typing.Any]) -> typing.Any:
        """Applies a command; the result depends only on the log, not on the replica."""
        kind = command["kind"]
        if kind == "change":
            return self.configuration.apply(configuration.Change(**command["change"]))
        key = (command["organisation"], command["id"], command["arrival"])
        if kind == "claim":
            # Wall clocks of successive leaders may differ; the time of the log never decreases.
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
        """Builds the state from a snapshot, an empty state from None."""
        state = cls()
        if document:
            state.configuration = configuration.Configuration.from_wire(document["configuration"])
            state.claims.load(document["claims"])
            state._time = clock.seconds(document["time_s"])
        return state


class ControlInstance(daemon.Daemon):
    """Daemon of the ``control`` role.

    One task owns the replica and processes its messages and proposals in batches, with one sync of
    the journal per batch.

    Args:
        config: Settings.
        tokens: Credentials.
        clk: Source of time.
        rng: Source of randomness for election timeouts.
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
        self._pending_by_index: dict[int, list[tuple[int, asyncio.Future[typing.Any]]]] = {}
        self._applied = 0
        self._failed: errors.StorageError | None = None
        self._was_leader = False
        self._reported_candidate_term = 0
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
        self.spawn("hedge", hedge.ConfirmationHedge(self.feed, HEDGE_AFTER, self._hedge_poll).run)

    # Replica task

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
            self._process_item(item, now)
        self.replica.tick(now)
        self.replica.store.sync()
        self.replica.on_journal_synced()
        self._apply_committed()
        self._dispatch_outbox(batch)
        self._report_role_changes()
        self._compact()

    def _process_item(self, item: Inbound, now: datetime.timedelta) -> None:
        try:
            match item:
                case PeerMessage():
                    self.replica.receive(item.message, now)
                case Proposal():
                    index, term = self.replica.propose(item.command, now)
                    self._pending_by_index.setdefault(index, []).append((term, item.result))
                case MembersProposal():
                    changed = item.change(self.replica.members)
                    index, term = self.replica.propose_members(changed, now)
                    self._pending_by_index.setdefault(index, []).append((term, item.result))
        except errors.StorageError:
            raise
        except errors.FlamingotillerError as error:
            _complete(item.result, error=error)  # type: ignore[union-attr]

    def _refuse(self, batch: list[Inbound], error: errors.StorageError) -> None:
        for item in batch:
            match item:
                case PeerMessage():
                    _complete(item.replies, error=error)
                case Proposal() | MembersProposal():
                    _complete(item.result, error=error)

    def _fail(self, error: errors.StorageError) -> None:
        self._failed = error
        self.replica.outbox.clear()
        events.emit(events.STORAGE_FAILED, error=error)
        for pending in self._pending_by_index.values():
            for _, future in pending:
                _complete(future, error=error)
        self._pending_by_index.clear()

    @property
    def failure(self) -> errors.StorageError | None:
        """The storage error that ended this instance's replication, None if there was none."""
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
        for term, future in self._pending_by_index.pop(entry.index, ()):
            if term == entry.term:
                _complete(future, result)
            else:
                _complete(future, error=self._lost_leadership())
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
        """Returns the configuration version as of a log index."""
        for applied, version in reversed(self._index_by_version):
            if applied <= index:
                return version
        return self.state.configuration.version

    def _dispatch_outbox(self, batch: list[Inbound]) -> None:
        """Replies to the batch's messages and queues the other messages for their peers."""
        outbox, self.replica.outbox = self.replica.outbox, []
        by_peer: dict[str, list[replica_messages.Message]] = {}
        for identity, message in outbox:
            by_peer.setdefault(identity, []).append(message)
        for item in batch:
            if isinstance(item, PeerMessage):
                _complete(item.replies, by_peer.pop(item.sender, []))
        for identity, messages in by_peer.items():
            queue = self._queue_for(identity)
            for message in messages:
                if queue.full():
                    queue.get_nowait()
                queue.put_nowait(message)

    def _queue_for(self, identity: str) -> asyncio.Queue[replica_messages.Message]:
        queue = self._queue_by_peer.get(identity)
        if queue is None:
            queue = self._queue_by_peer[identity] = asyncio.Queue(MAX_QUEUED_PER_PEER)
            self.spawn(f"sender {identity}", lambda: self._send(identity, queue))
        return queue

    def _report_role_changes(self) -> None:
        is_leader = self.replica.role == "leader"
        is_candidate = self.replica.role == "candidate"
        if is_candidate and self.replica.store.term != self._reported_candidate_term:
            self._reported_candidate_term = self.replica.store.term
            events.emit(events.ELECTION_STARTED, term=self._reported_candidate_term)
        if is_leader and not self._was_leader:
            events.emit(
                events.LEADER_ELECTED, term=self.replica.store.term, index=self.replica.commit
            )
        if self._was_leader and not is_leader:
            events.emit(
                events.LEADERSHIP_LOST, term=self.replica.store.term, reason="term or quorum"
            )
            self._fail_pending_proposals()
        self._was_leader = is_leader

    def _fail_pending_proposals(self) -> None:
        for pending in self._pending_by_index.values():
            for _, future in pending:
                _complete(future, error=self._lost_leadership())
        self._pending_by_index.clear()

    def _compact(self) -> None:
        snapshot = self.replica.store.snapshot
        if self._applied - snapshot.index < self.config.snapshot_every:
            return
        self.replica.compact(self._applied, self.state.to_wire())
        events.emit(events.SNAPSHOT_SAVED, index=self._applied)

    # Other tasks

    async def _tick(self) -> None:
        while True:
            await asyncio.sleep(TICK_INTERVAL.total_seconds())
            if self._inbox.empty():
                self._inbox.put_nowait(None)

    async def _send(self, identity: str, queue: asyncio.Queue[replica_messages.Message]) -> None:
        """Sends a peer its messages in order.

        Waits after each message for its response, but for at most one heartbeat interval.
        """
        unanswered = asyncio.Semaphore(MAX_UNANSWERED_PER_PEER)
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
            response = await self.client.call(
                address, "POST", "/v1/replica", body, timeout=PEER_TIMEOUT
            )
            document = client.raise_for_status(response, step="replicate", peer=address)
            for reply in document["replies"]:
                await self._deliver(identity, replica_messages.message_from_wire(reply))
        except (errors.FlamingotillerError, KeyError, TypeError):
            # Replication tolerates lost messages; the next heartbeat retries.
            return

    async def _deliver(self, sender: str, message: replica_messages.Message) -> None:
        future = asyncio.get_running_loop().create_future()
        await self._inbox.put(PeerMessage(sender, message, future))
        for reply in await future:
            self._queue_for(sender).put_nowait(reply)

    async def _subscribe(self) -> None:
        """Polls the leader's feed for confirmations while this instance is a follower."""
        while True:
            leader = self.leader_address()
            if not leader or self.replica.role == "leader":
                await asyncio.sleep(0.2)
                continue
            try:
                await self._poll_leader(leader, feed.HOLD_TIMEOUT + PEER_TIMEOUT)
            except errors.FlamingotillerError:
                await asyncio.sleep(0.2)

    async def _poll_leader(
        self, leader: str, timeout: datetime.timedelta, *, now: bool = False
    ) -> None:
        sent = self.clock.monotonic()
        response = await self.client.call(
            leader, "POST", "/v1/feed", self.feed.subscription(now=now), timeout=timeout
        )
        self._record_confirmation(client.raise_for_status(response, step="feed", peer=leader), sent)

    async def _hedge_poll(self) -> None:
        leader = self.leader_address()
        if leader and self.replica.role != "leader":
            await self._poll_leader(leader, PEER_TIMEOUT, now=True)

    def _record_confirmation(self, document: dict[str, typing.Any], sent) -> None:
        # Only the age of the confirmation is taken from the leader's feed. A control instance takes
        # the configuration itself from its log.
        try:
            if document["age_s"] is not None:
                held, age = clock.seconds(document["held_s"]), clock.seconds(document["age_s"])
                self.feed.confirm(int(document["version"]), sent + held - age)
        except (KeyError, TypeError, ValueError) as error:
            raise errors.ProtocolError(
                f"malformed answer of a feed: {error}", step="feed"
            ) from error

    # Methods for the routes

    def leader_address(self) -> str:
        """Returns the leader's address, empty if unknown."""
        return self.replica.members.address_of(self.replica.leader)

    async def receive(
        self, sender: str, message: replica_messages.Message
    ) -> list[replica_messages.Message]:
        """Passes a peer's message to the replica and returns the replies to the peer."""
        future = asyncio.get_running_loop().create_future()
        await self._inbox.put(PeerMessage(sender, message, future))
        return await future

    async def propose(self, command: dict[str, typing.Any]) -> typing.Any:
        """Proposes a command to the log and returns the result of applying it.

        Raises:
            errors.NotLeaderError: This instance does not lead or lost leadership. The command may
                or may not be decided; resend it to the leader.
            errors.UnavailableError: The command was not decided in time; resend it with the same
                change id.
            errors.StorageError: This instance's storage has failed.
        """
        future = asyncio.get_running_loop().create_future()
        return await self._wait_decided(Proposal(command, future), future)

    async def change_members(self, change) -> None:
        """Proposes a membership change to the log.

        Args:
            change: Computes the new membership from the one in force.

        Raises:
            errors.FlamingotillerError: See ``propose``.
        """
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
        """Returns why this instance is not ready, empty if it is ready."""
        if self._failed:
            return f"storage failed: {self._failed.message}"
        return "" if self.replica.leader else "no leader known"

    def update_metrics(self) -> None:
        """Updates the gauges from the present state."""
        super().update_metrics()
        self.metrics.gauge("flamingotiller_config_version", self.feed.version)
        self.metrics.gauge("flamingotiller_log_term", self.replica.store.term)
        self.metrics.gauge("flamingotiller_log_commit_index", self.replica.commit)
        self.metrics.gauge("flamingotiller_is_leader", int(self.replica.role == "leader"))


def _complete(future: asyncio.Future, result: typing.Any = None, error: Exception | None = None):
    if future.done():
        return
    if error:
        future.set_exception(error)
    else:
        future.set_result(result)


def create_founding_member(
    folder: pathlib.Path, instance: str, address_by_instance: dict[str, str]
) -> None:
    """Creates the data folder of a founding member of a new log.

    Args:
        folder: The data folder.
        instance: Name of this member.
        address_by_instance: Addresses of all founding members by name.

    Raises:
        errors.StorageError: The folder is already in use.
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
    """Opens the journal in the data folder; a blank folder first gets a new identity.

    An identity is never reused, so a member that lost its disk cannot vote twice in a term. It
    returns as a new member.
    """
    if not (config.data / "identity").exists():
        journal.DiskJournal.create(config.data, f"{config.instance}.{secrets.token_hex(4)}")
    return journal.DiskJournal(config.data)


def build(config: settings.ControlSettings, tokens: settings.Tokens) -> ControlInstance:
    """Returns a control instance that uses the system's clock and random source."""
    return ControlInstance(config, tokens, clock.SystemClock(), random.SystemRandom())
