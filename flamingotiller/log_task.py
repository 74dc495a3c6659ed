"""The task that owns a replica of the log.

It handles messages and proposals one batch at a time, syncs the journal before it sends anything
that depends on it, and applies committed entries. While storage fails, for instance on a full disk,
it sends nothing and retries."""

from __future__ import annotations

import asyncio
import collections
import collections.abc
import dataclasses
import datetime
import random
import typing

from flamingotiller import (
    client,
    clock,
    errors,
    events,
    journal,
    replica,
    replica_messages,
    replica_transport,
)

TICK = clock.seconds(0.05)
MAX_MESSAGES_IN_FLIGHT = 8
MAX_QUEUED_MESSAGES = 64
STORAGE_RETRY_INTERVAL = clock.seconds(0.25)
# A replica that starts for the first time requests votes after this fraction of the timeout, any
# other one when it may vote again. That does not disturb a working leader: members that receive
# messages from one grant no vote. The random part of the timeout keeps replicas that start together
# from splitting the vote.
FIRST_ELECTION_FRACTION = 0.2
# Length of the leader lease as a fraction of the election timeout; the rest allows for clock drift.
LEADER_LEASE_FRACTION = 0.8
# The log is compacted after this many entries, and after this many bytes if it is longer than the
# snapshot by then; both bound its memory, its file and the replay at startup.
SNAPSHOT_INTERVAL = 2000
SNAPSHOT_LOG_BYTES = 4 * 1024 * 1024


class StateMachine(typing.Protocol):
    """State machine to which committed commands are applied."""

    def apply(self, command: typing.Any, index: int) -> typing.Any:
        """Applies a committed command and returns its result."""

    def load(self, document: typing.Any) -> None:
        """Replaces the state with that of a snapshot; None is the empty state."""

    def dump(self) -> typing.Any:
        """Returns the state for a snapshot."""

    def on_applied(self) -> None:
        """Called after each batch of applied entries and after a snapshot is installed."""

    def on_confirmed(self, confirmation: replica.Confirmation) -> None:
        """Called while this replica leads and has applied everything confirmed."""


@dataclasses.dataclass(frozen=True)
class ReceivedMessage:
    """A message from another member; the future receives the replies to its sender."""

    sender: str
    message: replica_messages.Message
    replies: asyncio.Future[list[replica_messages.Message]]


MembersChange = collections.abc.Callable[[replica_messages.Members], replica_messages.Members]


@dataclasses.dataclass(frozen=True)
class Proposal:
    """A command or membership change to append.

    Attributes:
        command: The command; for a membership change, a function of the membership in force.
        result: Receives the result of applying the command.
        expires_at: Monotonic time after which it is not appended, since its caller has gone.
        is_members: Whether it is a membership change.
    """

    command: typing.Any
    result: asyncio.Future[typing.Any]
    expires_at: datetime.timedelta
    is_members: bool = False


Inbound = ReceivedMessage | Proposal | None


class Outbox:
    """Bounded queue of messages to a member. An append replaces queued ones, since it repeats
    their unacknowledged entries; when the queue is full the oldest message is dropped."""

    def __init__(self) -> None:
        self._messages: collections.deque[replica_messages.Message] = collections.deque()
        self._filled = asyncio.Event()

    def put(self, message: replica_messages.Message) -> None:
        """Adds a message."""
        if isinstance(message, replica_messages.Append):
            others = (m for m in self._messages if not isinstance(m, replica_messages.Append))
            self._messages = collections.deque(others)
        while len(self._messages) >= MAX_QUEUED_MESSAGES:
            self._messages.popleft()
        self._messages.append(message)
        self._filled.set()

    async def get(self) -> replica_messages.Message:
        """Waits until there is a message; removes and returns the oldest."""
        while not self._messages:
            self._filled.clear()
            await self._filled.wait()
        return self._messages.popleft()


class LogTask:
    """Runs a replica of the log.

    Args:
        store: Journal of the replica.
        machine: State machine to which committed commands are applied.
        peers: Client for messages to other members.
        clk: Clock.
        rng: Random number generator for election timeouts.
        timing: Intervals of the replica.
        spawn: Starts a supervised task under a name.
        snapshot_interval: Number of entries after which the log is compacted; the default if None.

    Attributes:
        replica: The replica.
        storage_failed: Whether the journal cannot be written at present.
        leading_since: When this replica became the leader, None while it is not.
    """

    def __init__(
        self,
        store: journal.Journal,
        machine: StateMachine,
        peers: client.Client,
        clk: clock.Clock,
        rng: random.Random,
        timing: replica.Timing,
        spawn: collections.abc.Callable[[str, collections.abc.Callable], None],
        snapshot_interval: int | None = None,
    ) -> None:
        self.replica = replica.Replica(store, clk.monotonic(), rng, timing)
        self._machine = machine
        self._sender = replica_transport.Sender(peers, store.identity)
        self._assembler = replica_transport.Assembler()
        self._snapshot_interval = snapshot_interval or SNAPSHOT_INTERVAL
        self._clock = clk
        self._spawn = spawn
        self._inbox: asyncio.Queue[Inbound] = asyncio.Queue()
        self._outbox_by_peer: dict[str, Outbox] = {}
        self._pending_proposals: dict[int, list[tuple[int, asyncio.Future[typing.Any]]]] = {}
        self._pending_reads: list[tuple[datetime.timedelta, asyncio.Future[None]]] = []
        self._applied = 0
        self._last_role_and_term = ("", 0)
        self.storage_failed = False
        self.leading_since: datetime.timedelta | None = None
        self.replica.schedule_election(
            clk.monotonic() + FIRST_ELECTION_FRACTION * timing.election_timeout
        )
        self._load_snapshot()

    def start(self) -> None:
        """Starts the tasks."""
        self._spawn("replica", self._run)
        self._spawn("ticker", self._tick)

    # Calls from other tasks

    @property
    def is_leader(self) -> bool:
        """Whether this replica believes that it is the leader and its storage works."""
        return self.replica.role == "leader" and not self.storage_failed

    @property
    def leader_address(self) -> str:
        """The leader's address, empty if unknown."""
        return self.replica.members.address_of(self.replica.leader)

    def holds_leader_lease(self, now: datetime.timedelta) -> bool:
        """Returns whether no other replica can have been elected yet: a majority has answered a
        broadcast that was sent within the lease, which is shorter than the election timeout."""
        confirmation = self.replica.confirmation
        if not self.is_leader or confirmation is None:
            return False
        return (
            now - confirmation.as_of < LEADER_LEASE_FRACTION * self.replica.timing.election_timeout
        )

    def confirmed_at(self) -> datetime.timedelta | None:
        """Returns when the applied state was last confirmed to be the newest; None if this replica
        is not the leader or has not applied everything confirmed."""
        confirmation = self.replica.confirmation
        if not self.is_leader or confirmation is None or self._applied < confirmation.index:
            return None
        return confirmation.as_of

    async def receive(
        self, sender: str, message: replica_messages.Message
    ) -> list[replica_messages.Message]:
        """Handles a message from a member and returns the replies to it."""
        future = asyncio.get_running_loop().create_future()
        await self._inbox.put(ReceivedMessage(sender, message, future))
        return await future

    async def receive_part(self, part: typing.Any) -> list[replica_messages.Message]:
        """Handles a part of a message from a member; returns the replies to the whole message.

        Raises:
            errors.InvalidInputError: The part is malformed, or an earlier one is missing.
        """
        received = self._assembler.add(part)
        return await self.receive(*received) if received is not None else []

    async def propose(
        self,
        command: typing.Any,
        timeout: datetime.timedelta,
        expires_at: datetime.timedelta | None = None,
    ) -> typing.Any:
        """Proposes a command and returns the result of applying it once it is committed.

        Args:
            command: The command.
            timeout: How long to wait for the commit. The command is not appended later than that.
            expires_at: Monotonic time after which it is not appended either, None for no other.

        Raises:
            errors.InvalidInputError: The command cannot be written to the log.
            errors.NotLeaderError: This replica is not the leader, or lost leadership before the
                command was committed; whether it takes effect is not known.
            errors.UnavailableError: Not committed in time; it may still be.
            errors.StorageError: The journal could not be written; the command may still take
                effect.
        """
        return await self._submit(command, timeout, expires_at, is_members=False)

    async def change_members(self, change: MembersChange, timeout: datetime.timedelta) -> None:
        """Proposes a membership; raises as ``propose`` and ``replica.propose_members`` do.

        Args:
            change: Returns the new membership for the one in force.
            timeout: How long to wait for the commit.
        """
        await self._submit(change, timeout, None, is_members=True)

    async def _submit(
        self,
        command: typing.Any,
        timeout: datetime.timedelta,
        expires_at: datetime.timedelta | None,
        *,
        is_members: bool,
    ) -> typing.Any:
        future = asyncio.get_running_loop().create_future()
        gives_up_at = self._clock.monotonic() + timeout
        expires_at = gives_up_at if expires_at is None else min(expires_at, gives_up_at)
        await self._inbox.put(Proposal(command, future, expires_at, is_members))
        try:
            async with asyncio.timeout(timeout.total_seconds()):
                return await future
        except TimeoutError:
            raise errors.UnavailableError(
                "no majority committed the command in time", step="propose"
            ) from None

    async def confirm(self, timeout: datetime.timedelta) -> None:
        """Waits until a majority has confirmed that this replica was the leader at the time of the
        call or later, and until it has applied every entry committed before that.

        Raises:
            errors.UnavailableError: No majority confirmed it in time.
            errors.NotLeaderError: This replica is not the leader.
        """
        if not self.is_leader:
            raise errors.NotLeaderError(
                "not the leader", leader=self.leader_address, step="confirm"
            )
        future = asyncio.get_running_loop().create_future()
        self._pending_reads.append((self._clock.monotonic(), future))
        try:
            async with asyncio.timeout(timeout.total_seconds()):
                await future
        except TimeoutError:
            raise errors.UnavailableError(
                "no majority confirmed the leader in time", step="confirm"
            ) from None

    # Main loop

    async def _run(self) -> None:
        while True:
            batch = [await self._inbox.get()]
            while not self._inbox.empty():
                batch.append(self._inbox.get_nowait())
            now = self._clock.monotonic()
            for item in batch:
                self._handle(item, now)
            self.replica.tick(now)
            await self._sync_journal()
            self.replica.on_journal_synced()
            self._apply_committed()
            self._flush(batch)
            self._update_role(now)
            self._complete_reads()
            await self._compact()

    def _handle(self, item: Inbound, now: datetime.timedelta) -> None:
        try:
            if isinstance(item, ReceivedMessage):
                self.replica.receive(item.message, now)
            elif isinstance(item, Proposal):
                self._append(item, now)
        except errors.FlamingotillerError as error:
            if isinstance(error, errors.StorageError):
                events.emit(events.STORAGE_FAILED, error=error)
                self.storage_failed = True
            if isinstance(item, ReceivedMessage):
                _resolve(item.replies, error=error)
            elif isinstance(item, Proposal):
                _resolve(item.result, error=error)

    def _append(self, proposal: Proposal, now: datetime.timedelta) -> None:
        if proposal.result.done() or now > proposal.expires_at:
            # It waited while storage failed or the process was stopped. Its caller has been told
            # that it is undecided, and may have given another order since.
            raise errors.UnavailableError("the command waited for too long", step="propose")
        if proposal.is_members:
            members = proposal.command(self.replica.members)
            index, term = self.replica.propose_members(members, now)
        else:
            replica_messages.check_nesting(proposal.command, "propose")
            index, term = self.replica.propose(proposal.command, now)
        self._pending_proposals.setdefault(index, []).append((term, proposal.result))

    async def _sync_journal(self) -> None:
        """Syncs the journal in a thread; returns only once the journal is durable, so that nothing
        is sent or applied while storage fails."""
        store = self.replica.store
        if not store.dirty and not self.storage_failed:
            return
        write = store.rewrite if self.storage_failed else store.sync
        while True:
            try:
                await asyncio.get_running_loop().run_in_executor(None, write)
            except errors.StorageError as error:
                if not self.storage_failed:
                    events.emit(events.STORAGE_FAILED, error=error)
                self.storage_failed = True
                self._fail_pending_proposals(error)
                await asyncio.sleep(STORAGE_RETRY_INTERVAL.total_seconds())
                # A failed write leaves the file in an unknown state, so rewrite it completely.
                write = store.rewrite
                continue
            if self.storage_failed:
                self.storage_failed = False
                events.emit(events.STORAGE_RECOVERED, index=store.last_index)
            return

    def _load_snapshot(self) -> None:
        snapshot = self.replica.store.snapshot
        self._machine.load(snapshot.state)
        self._applied = snapshot.index

    def _apply_committed(self) -> None:
        store = self.replica.store
        applied_before = self._applied
        if store.snapshot.index > self._applied:
            self._load_snapshot()
            events.emit(events.SNAPSHOT_INSTALLED, index=self._applied)
        while self._applied < self.replica.commit:
            entry = store.slice(self._applied + 1, 1)[0]
            self._applied = entry.index
            self._apply(entry)
        if self._applied != applied_before:
            self._machine.on_applied()
        confirmation = self.replica.confirmation
        if confirmation is not None and self._applied >= confirmation.index:
            self._machine.on_confirmed(confirmation)

    def _apply(self, entry: journal.Entry) -> None:
        result = None
        if entry.kind == "command":
            result = self._machine.apply(entry.body, entry.index)
        elif entry.kind == "members":
            members = replica_messages.Members(**entry.body)
            events.emit(
                events.MEMBERS_CHANGED,
                voters=sorted(members.voters),
                learners=sorted(members.learners),
            )
        for term, future in self._pending_proposals.pop(entry.index, ()):
            if term == entry.term:
                _resolve(future, result)
            else:
                _resolve(future, error=self._leadership_lost_error())

    def _leadership_lost_error(self) -> errors.NotLeaderError:
        return errors.NotLeaderError(
            "leadership was lost before the command was committed",
            leader=self.leader_address,
            step="propose",
        )

    def _fail_pending_proposals(self, error: errors.FlamingotillerError) -> None:
        waiting, self._pending_proposals = self._pending_proposals, {}
        for waiters in waiting.values():
            for _, future in waiters:
                _resolve(future, error=error)

    def _complete_reads(self) -> None:
        confirmation = self.replica.confirmation
        if not self.is_leader:
            for _, future in self._pending_reads:
                _resolve(future, error=self._leadership_lost_error())
            self._pending_reads.clear()
        elif confirmation and self._applied >= confirmation.index:
            for since, future in self._pending_reads:
                if since <= confirmation.as_of:
                    _resolve(future)
            self._pending_reads = [r for r in self._pending_reads if not r[1].done()]

    def _flush(self, batch: list[Inbound]) -> None:
        outbox, self.replica.outbox = self.replica.outbox, []
        by_peer: dict[str, list[replica_messages.Message]] = {}
        for identity, message in outbox:
            by_peer.setdefault(identity, []).append(message)
        for item in batch:
            if isinstance(item, ReceivedMessage):
                _resolve(item.replies, by_peer.pop(item.sender, []))
        for identity, messages in by_peer.items():
            peer_outbox = self._outbox_for(identity)
            for message in messages:
                peer_outbox.put(message)

    def _update_role(self, now: datetime.timedelta) -> None:
        role, term = self.replica.role, self.replica.store.term
        if (role, term) == self._last_role_and_term:
            return
        was_leader = self._last_role_and_term[0] == "leader"
        self._last_role_and_term = (role, term)
        if role == "candidate":
            events.emit(events.ELECTION_STARTED, term=term)
        elif role == "leader":
            self.leading_since = now
            events.emit(events.LEADER_ELECTED, term=term, index=self.replica.commit)
        if was_leader:
            self.leading_since = now if role == "leader" else None
            events.emit(events.LEADERSHIP_LOST, term=term, reason="term or quorum")
            self._fail_pending_proposals(self._leadership_lost_error())

    def _is_compaction_due(self) -> bool:
        store = self.replica.store
        if self._applied == store.snapshot.index:
            return False
        if self._applied - store.snapshot.index >= self._snapshot_interval:
            return True
        length = store.entry_bytes
        return length >= SNAPSHOT_LOG_BYTES and length >= store.snapshot.byte_count

    async def _compact(self) -> None:
        if not self._is_compaction_due():
            return
        try:
            self.replica.compact(self._applied, self._machine.dump())
        except errors.StorageError as error:
            events.emit(events.STORAGE_FAILED, error=error)
            self.storage_failed = True
            await self._sync_journal()
            return
        events.emit(events.SNAPSHOT_SAVED, index=self._applied)

    # Messages to other members

    async def _tick(self) -> None:
        ticked_at = self._clock.monotonic()
        while True:
            await asyncio.sleep(TICK.total_seconds())
            now = self._clock.monotonic()
            if now - ticked_at > self.replica.timing.election_timeout / 2:
                self.replica.on_pause(now)
            ticked_at = now
            if self._inbox.empty():
                self._inbox.put_nowait(None)

    def _outbox_for(self, identity: str) -> Outbox:
        outbox = self._outbox_by_peer.get(identity)
        if outbox is None:
            outbox = self._outbox_by_peer[identity] = Outbox()
            self._spawn(f"sender {identity}", lambda: self._send(identity, outbox))
        return outbox

    async def _send(self, identity: str, outbox: Outbox) -> None:
        """Sends a peer its messages in order. Waits for a response for one heartbeat only, so that
        a lost message does not delay the following ones."""
        in_flight = asyncio.Semaphore(MAX_MESSAGES_IN_FLIGHT)
        heartbeat_s = self.replica.timing.heartbeat.total_seconds()
        async with asyncio.TaskGroup() as group:
            while True:
                message = await outbox.get()
                await in_flight.acquire()
                task = group.create_task(self._send_one(identity, message))
                task.add_done_callback(lambda _: in_flight.release())
                await asyncio.wait([task], timeout=heartbeat_s)

    async def _send_one(self, identity: str, message: replica_messages.Message) -> None:
        address = self.replica.members.address_of(identity)
        if not address:
            return
        for reply in await self._sender.send(identity, address, message):
            await self._deliver(identity, reply)

    async def _deliver(self, sender: str, message: replica_messages.Message) -> None:
        for reply in await self.receive(sender, message):
            self._outbox_for(sender).put(reply)


def _resolve(
    future: asyncio.Future, result: typing.Any = None, error: Exception | None = None
) -> None:
    if future.done():
        return
    if error:
        future.set_exception(error)
    else:
        future.set_result(result)
