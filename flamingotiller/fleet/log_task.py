"""The task that owns a replica of the log: it takes messages and proposals in turn, makes the
journal durable before anything is said of it, applies what commits, and survives a full disk."""

from __future__ import annotations

import asyncio
import collections
import collections.abc
import contextlib
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
)

TICK = clock.seconds(0.05)
PEER_TIMEOUT = clock.seconds(1)  # longer than any round trip between regions with a disk sync
MAX_UNANSWERED = 8
QUEUE_PER_PEER = 64
STORAGE_RETRY = clock.seconds(0.25)
# A replica that starts asks for votes early, as a part of the election timeout: where a leader is
# heard nobody grants them. The spread keeps replicas that start together from splitting the votes.
FIRST_ELECTION = 0.2
# Part of the election timeout that is relied on; the rest is for clocks that differ in pace.
CERTAINTY = 0.8
SNAPSHOT_EVERY = 2000  # entries; bounds the replay at a start


class Machine(typing.Protocol):
    """State machine that the log drives."""

    def apply(self, command: typing.Any, index: int) -> typing.Any:
        """Applies a committed command and returns its result."""

    def load(self, document: typing.Any) -> None:
        """Replaces the state by a snapshot's; None stands for the empty state."""

    def dump(self) -> typing.Any:
        """Returns the state for a snapshot."""

    def committed(self) -> None:
        """Told once after each batch of applied commands, and after a snapshot was loaded."""


@dataclasses.dataclass(frozen=True)
class Received:
    """A message of another member; the future takes the replies meant for its sender."""

    sender: str
    message: replica_messages.Message
    replies: asyncio.Future[list[replica_messages.Message]]


@dataclasses.dataclass(frozen=True)
class Proposal:
    """A command, or a membership change, for the log; the future takes its result."""

    command: typing.Any
    result: asyncio.Future[typing.Any]
    is_members: bool = False


Inbound = Received | Proposal | None


class Outbox:
    """Messages that wait for a member; an append replaces earlier ones, which it contains."""

    def __init__(self) -> None:
        self._messages: collections.deque[replica_messages.Message] = collections.deque()
        self._filled = asyncio.Event()

    def put(self, message: replica_messages.Message) -> None:
        """Adds a message."""
        if isinstance(message, replica_messages.Append):
            kept = (m for m in self._messages if not isinstance(m, replica_messages.Append))
            self._messages = collections.deque(kept)
        while len(self._messages) >= QUEUE_PER_PEER:
            self._messages.popleft()
        self._messages.append(message)
        self._filled.set()

    async def get(self) -> replica_messages.Message:
        """Waits for a message and returns the first."""
        while not self._messages:
            self._filled.clear()
            await self._filled.wait()
        return self._messages.popleft()


class LogTask:
    """Runs one replica.

    Args:
        store: Its journal.
        machine: What commits is applied to.
        peers: Client for messages to other members.
        clk: Source of time.
        rng: Source of election timeouts.
        timing: Intervals of the replica.
        spawn: Starts a supervised task, by name.
    """

    def __init__(
        self,
        store: journal.Journal,
        machine: Machine,
        peers: client.Client,
        clk: clock.Clock,
        rng: random.Random,
        timing: replica.Timing,
        spawn: collections.abc.Callable[[str, collections.abc.Callable], None],
    ) -> None:
        self.replica = replica.Replica(store, clk.monotonic(), rng, timing)
        self._machine = machine
        self._peers = peers
        self._clock = clk
        self._spawn = spawn
        self._inbox: asyncio.Queue[Inbound] = asyncio.Queue()
        self._outbox_by_peer: dict[str, Outbox] = {}
        self._waiting: dict[int, list[tuple[int, asyncio.Future[typing.Any]]]] = {}
        self._readers: list[tuple[datetime.timedelta, asyncio.Future[None]]] = []
        self._applied = 0
        self._noted_role = ("", 0)
        self.storage_failed = False
        self.leading_since: datetime.timedelta | None = None
        self.replica.schedule_election(clk.monotonic() + FIRST_ELECTION * timing.election_timeout)
        self._load_snapshot()

    def start(self) -> None:
        """Starts the tasks."""
        self._spawn("replica", self._run)
        self._spawn("ticker", self._tick)

    # What others ask

    @property
    def leads(self) -> bool:
        """Whether this replica leads, to its own knowledge."""
        return self.replica.role == "leader" and not self.storage_failed

    @property
    def leader_address(self) -> str:
        """The leader's address, empty if unknown."""
        return self.replica.members.address_of(self.replica.leader)

    def certain(self, now: datetime.timedelta) -> bool:
        """Returns whether no other replica can have been elected yet: a majority has answered a
        broadcast that was sent less than an election timeout ago."""
        confirmation = self.replica.confirmation
        if not self.leads or confirmation is None:
            return False
        return now - confirmation.as_of < CERTAINTY * self.replica.timing.election_timeout

    def confirmed_at(self) -> datetime.timedelta | None:
        """Returns when what is applied here was last confirmed the newest; None unless leading."""
        confirmation = self.replica.confirmation
        if not self.leads or confirmation is None or self._applied < confirmation.index:
            return None
        return confirmation.as_of

    async def receive(
        self, sender: str, message: replica_messages.Message
    ) -> list[replica_messages.Message]:
        """Takes a message of a member and returns the replies to it."""
        future = asyncio.get_running_loop().create_future()
        await self._inbox.put(Received(sender, message, future))
        return await future

    async def propose(self, command: typing.Any, timeout: datetime.timedelta) -> typing.Any:
        """Puts a command through the log and returns what applying it gave.

        Raises:
            errors.NotLeaderError: Ask the leader; whether it was decided is not known.
            errors.UnavailableError: Not decided in time; it may be later.
        """
        return await self._decide(command, timeout, is_members=False)

    async def change_members(
        self, members: replica_messages.Members, timeout: datetime.timedelta
    ) -> None:
        """Puts a membership through the log; errors as ``propose``, and those of the replica."""
        await self._decide(members, timeout, is_members=True)

    async def _decide(
        self, command: typing.Any, timeout: datetime.timedelta, *, is_members: bool
    ) -> typing.Any:
        future = asyncio.get_running_loop().create_future()
        await self._inbox.put(Proposal(command, future, is_members))
        try:
            async with asyncio.timeout(timeout.total_seconds()):
                return await future
        except TimeoutError:
            raise errors.UnavailableError("no majority in time", step="propose") from None

    async def confirm(self, timeout: datetime.timedelta) -> None:
        """Waits until a majority has confirmed that, as of now or later, this replica leads and
        has applied all that was committed.

        Raises:
            errors.UnavailableError: No majority confirmed it in time.
            errors.NotLeaderError: This replica does not lead.
        """
        if not self.leads:
            raise errors.NotLeaderError(
                "not the leader", leader=self.leader_address, step="confirm"
            )
        future = asyncio.get_running_loop().create_future()
        self._readers.append((self._clock.monotonic(), future))
        try:
            async with asyncio.timeout(timeout.total_seconds()):
                await future
        except TimeoutError:
            raise errors.UnavailableError("no majority confirmed in time", step="confirm") from None

    # The task

    async def _run(self) -> None:
        while True:
            batch = [await self._inbox.get()]
            while not self._inbox.empty():
                batch.append(self._inbox.get_nowait())
            now = self._clock.monotonic()
            for item in batch:
                self._take(item, now)
            self.replica.tick(now)
            await self._make_durable()
            self.replica.on_journal_synced()
            self._apply_committed()
            self._flush(batch)
            self._note_role(now)
            self._release_readers()
            await self._compact()

    def _take(self, item: Inbound, now: datetime.timedelta) -> None:
        try:
            if isinstance(item, Received):
                self.replica.receive(item.message, now)
            elif isinstance(item, Proposal):
                propose = self.replica.propose_members if item.is_members else self.replica.propose
                index, term = propose(item.command, now)
                self._waiting.setdefault(index, []).append((term, item.result))
        except errors.FlamingotillerError as error:
            if isinstance(error, errors.StorageError):
                events.emit(events.STORAGE_FAILED, error=error)
                self.storage_failed = True
            if isinstance(item, Received):
                _settle(item.replies, error=error)
            elif isinstance(item, Proposal):
                _settle(item.result, error=error)

    async def _make_durable(self) -> None:
        """Syncs the journal in a thread; on failure nothing is said until it works again."""
        store = self.replica.store
        if not store.dirty and not self.storage_failed:
            return
        work = store.rewrite if self.storage_failed else store.sync
        while True:
            try:
                await asyncio.get_running_loop().run_in_executor(None, work)
            except errors.StorageError as error:
                if not self.storage_failed:
                    events.emit(events.STORAGE_FAILED, error=error)
                self.storage_failed = True
                self._refuse_waiting(error)
                await asyncio.sleep(STORAGE_RETRY.total_seconds())
                # What a failed write has left in the file is not known, so it is written afresh.
                work = store.rewrite
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
        before = self._applied
        if store.snapshot.index > self._applied:
            self._load_snapshot()
            events.emit(events.SNAPSHOT_INSTALLED, index=self._applied)
        while self._applied < self.replica.commit:
            entry = store.slice(self._applied + 1, 1)[0]
            self._applied = entry.index
            self._apply(entry)
        if self._applied != before:
            self._machine.committed()

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
        for term, future in self._waiting.pop(entry.index, ()):
            if term == entry.term:
                _settle(future, result)
            else:
                _settle(future, error=self._lost_leadership())

    def _lost_leadership(self) -> errors.NotLeaderError:
        return errors.NotLeaderError(
            "leadership was lost before the command was decided",
            leader=self.leader_address,
            step="propose",
        )

    def _refuse_waiting(self, error: errors.FlamingotillerError) -> None:
        waiting, self._waiting = self._waiting, {}
        for waiters in waiting.values():
            for _, future in waiters:
                _settle(future, error=error)

    def _release_readers(self) -> None:
        confirmation = self.replica.confirmation
        if not self.leads:
            for _, future in self._readers:
                _settle(future, error=self._lost_leadership())
            self._readers.clear()
        elif confirmation and self._applied >= confirmation.index:
            for since, future in self._readers:
                if since <= confirmation.as_of:
                    _settle(future)
            self._readers = [r for r in self._readers if not r[1].done()]

    def _flush(self, batch: list[Inbound]) -> None:
        outbox, self.replica.outbox = self.replica.outbox, []
        by_peer: dict[str, list[replica_messages.Message]] = {}
        for identity, message in outbox:
            by_peer.setdefault(identity, []).append(message)
        for item in batch:
            if isinstance(item, Received):
                _settle(item.replies, by_peer.pop(item.sender, []))
        for identity, messages in by_peer.items():
            outbox_of_peer = self._outbox_for(identity)
            for message in messages:
                outbox_of_peer.put(message)

    def _note_role(self, now: datetime.timedelta) -> None:
        role = (self.replica.role, self.replica.store.term)
        if role == self._noted_role:
            return
        was_leader = self._noted_role[0] == "leader"
        self._noted_role = role
        if role[0] == "candidate":
            events.emit(events.ELECTION_STARTED, term=role[1])
        elif role[0] == "leader":
            self.leading_since = now
            events.emit(events.LEADER_ELECTED, term=role[1], index=self.replica.commit)
        if was_leader:
            self.leading_since = now if role[0] == "leader" else None
            events.emit(events.LEADERSHIP_LOST, term=role[1], reason="term or quorum")
            self._refuse_waiting(self._lost_leadership())

    async def _compact(self) -> None:
        if self._applied - self.replica.store.snapshot.index < SNAPSHOT_EVERY:
            return
        try:
            self.replica.compact(self._applied, self._machine.dump())
        except errors.StorageError as error:
            events.emit(events.STORAGE_FAILED, error=error)
            self.storage_failed = True
            await self._make_durable()
            return
        events.emit(events.SNAPSHOT_SAVED, index=self._applied)

    # Messages to other members

    async def _tick(self) -> None:
        while True:
            await asyncio.sleep(TICK.total_seconds())
            if self._inbox.empty():
                self._inbox.put_nowait(None)

    def _outbox_for(self, identity: str) -> Outbox:
        outbox = self._outbox_by_peer.get(identity)
        if outbox is None:
            outbox = self._outbox_by_peer[identity] = Outbox()
            self._spawn(f"sender {identity}", lambda: self._send(identity, outbox))
        return outbox

    async def _send(self, identity: str, outbox: Outbox) -> None:
        """Sends a peer its messages in order; one without an answer does not hold up the rest."""
        unanswered = asyncio.Semaphore(MAX_UNANSWERED)
        pace = self.replica.timing.heartbeat.total_seconds()
        async with asyncio.TaskGroup() as group:
            while True:
                message = await outbox.get()
                await unanswered.acquire()
                task = group.create_task(self._send_one(identity, message))
                task.add_done_callback(lambda _: unanswered.release())
                await asyncio.wait([task], timeout=pace)

    async def _send_one(self, identity: str, message: replica_messages.Message) -> None:
        address = self.replica.members.address_of(identity)
        if not address:
            return
        body = {
            "sender": self.replica.identity,
            "message": replica_messages.message_to_wire(message),
        }
        # Replication tolerates loss: the next heartbeat tries again.
        with contextlib.suppress(errors.FlamingotillerError, KeyError, TypeError):
            answer = await self._peers.call(
                address, "POST", "/v1/replica", body, timeout=PEER_TIMEOUT
            )
            document = client.raise_for_status(answer, step="replicate", peer=address)
            for reply in document["replies"]:
                await self._deliver(identity, replica_messages.message_from_wire(reply))

    async def _deliver(self, sender: str, message: replica_messages.Message) -> None:
        for reply in await self.receive(sender, message):
            self._outbox_for(sender).put(reply)


def _settle(
    future: asyncio.Future, result: typing.Any = None, error: Exception | None = None
) -> None:
    if future.done():
        return
    if error:
        future.set_exception(error)
    else:
        future.set_result(result)
