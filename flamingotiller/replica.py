"""Replica of the Raft-style log: elections, replication, membership changes and confirmation.

A replica does no network I/O and reads no clock. It takes messages and the current time, writes to
its journal and puts messages into an outbox. The caller must sync the journal before it sends the
outbox, so that no message reports state that a crash could undo. Alternatives considered:
docs/design/replicated-log.md."""

from __future__ import annotations

import dataclasses
import datetime
import random
import typing

from flamingotiller import clock, errors, journal, replica_messages

# Bounds of an append; a single entry that is longer is sent alone.
MAX_ENTRIES_PER_APPEND = 256
MAX_BYTES_PER_APPEND = 1024 * 1024
# Pauses of a follower put off its election for up to this many election timeouts.
MAX_PAUSE_TIMEOUTS = 5
# Entries that a member has not acknowledged are sent again after this many heartbeats.
RETRANSMIT_HEARTBEATS = 2


@dataclasses.dataclass(frozen=True)
class Timing:
    """Intervals of a replica.

    Attributes:
        heartbeat: Interval between the leader's broadcasts.
        election_timeout: Minimum time without a leader after which a replica requests votes. The
            actual timeout is random, between once and twice this value.
    """

    heartbeat: datetime.timedelta = clock.seconds(0.25)
    election_timeout: datetime.timedelta = clock.seconds(1.5)


@dataclasses.dataclass
class Progress:
    """The leader's view of a member's replication state.

    Attributes:
        next_index: Index of the next entry to send.
        match: Index of the last entry known to be durable on the member.
        acked_round: Number of the latest broadcast that the member acknowledged.
        acked_at: Monotonic time of the member's last reply.
        sent_through: Index of the last entry sent to the member, 0 if entries have to be sent
            again.
        sent_at: Monotonic time at which entries were last sent.
    """

    next_index: int
    match: int = 0
    acked_round: int = 0
    acked_at: datetime.timedelta = clock.ZERO
    sent_through: int = 0
    sent_at: datetime.timedelta = clock.ZERO


@dataclasses.dataclass(frozen=True)
class Confirmation:
    """Proof that no entry after ``index`` was committed before ``as_of``.

    Attributes:
        index: Commit index.
        as_of: The leader's monotonic time at which ``index`` was the latest commit index.
    """

    index: int
    as_of: datetime.timedelta


class Replica:
    """A member of the replicated log.

    Args:
        store: Journal, owned by this replica.
        now: Current monotonic time.
        rng: Random numbers for election timeouts.
        timing: Heartbeat interval and election timeout; the defaults if None.

    Attributes:
        role: ``follower``, ``candidate`` or ``leader``.
        leader: Identity of the current term's leader, empty if unknown.
        commit: Index of the last entry known to be committed.
        outbox: Pairs of recipient identity and message, to be sent after the journal is synced.
        confirmation: Latest proof that the commit index is up to date; None unless leading.
    """

    def __init__(
        self,
        store: journal.Journal,
        now: datetime.timedelta,
        rng: random.Random,
        timing: Timing | None = None,
    ) -> None:
        self.store = store
        self.timing = timing or Timing()
        self.role = "follower"
        self.leader = ""
        self.commit = store.snapshot.index
        self.outbox: list[tuple[str, replica_messages.Message]] = []
        self.confirmation: Confirmation | None = None
        self._members_cache: tuple[int, replica_messages.Members] | None = None
        self._rng = rng
        self._votes: set[str] = set()
        self._pre_votes: set[str] = set()
        self._progress_by_id: dict[str, Progress] = {}
        self._round = 0
        # Start time and commit index of the broadcasts that no quorum has acknowledged, by number.
        self._pending_rounds: dict[int, tuple[datetime.timedelta, int]] = {}
        self._heartbeat_due = now
        self._leader_heard_at = now - 2 * self.timing.election_timeout
        # This replica may have confirmed a leader's lease just before it started again.
        has_voted = store.last_index > 1 or store.term > 1
        self._votes_from = now + self.timing.election_timeout if has_voted else now
        self._responsive_from = now
        self._reset_election_timer(now)

    @property
    def identity(self) -> str:
        """Identity of this member."""
        return self.store.identity

    @property
    def members(self) -> replica_messages.Members:
        """The latest membership in the log, whether committed or not."""
        return self._newest_members()[1]

    def _members_index(self) -> int:
        return self._newest_members()[0]

    def _newest_members(self) -> tuple[int, replica_messages.Members]:
        # Needed for every message, so it is cached until a membership entry is appended or the log
        # is truncated, compacted or replaced by a snapshot.
        if self._members_cache is None:
            self._members_cache = self._find_members()
        return self._members_cache

    def _find_members(self) -> tuple[int, replica_messages.Members]:
        for entry in reversed(self.store.entries):
            if entry.kind == "members":
                return entry.index, replica_messages.Members(**entry.body)
        in_snapshot = self.store.snapshot.members
        return self.store.snapshot.index, (
            replica_messages.Members(**in_snapshot) if in_snapshot else replica_messages.Members({})
        )

    @property
    def is_voter(self) -> bool:
        """Whether this member votes in elections and counts towards the quorum."""
        return self.identity in self.members.voters

    def progress_of(self, identity: str) -> Progress | None:
        """Returns the replication state of a member, None if this replica has none recorded."""
        return self._progress_by_id.get(identity)

    # Timers

    def tick(self, now: datetime.timedelta) -> None:
        """Handles expired timers; call it every few tens of milliseconds."""
        if self.role == "leader":
            self._tick_leader(now)
        elif now >= max(self._election_due, self._votes_from) and self.is_voter:
            self._start_pre_vote(now)

    def _tick_leader(self, now: datetime.timedelta) -> None:
        if not self._quorum_is_responsive(now):
            self._become_follower(self.store.term, now)
            return
        if now >= self._heartbeat_due:
            self.broadcast(now)

    def _quorum_is_responsive(self, now: datetime.timedelta) -> bool:
        members = self.members
        responsive = sum(
            identity == self.identity
            or now - max(self._progress(identity).acked_at, self._responsive_from)
            <= 2 * self.timing.election_timeout
            for identity in members.voters
        )
        return responsive >= members.quorum

    def _reset_election_timer(self, now: datetime.timedelta) -> None:
        base = self.timing.election_timeout
        self._election_due = now + base + base * self._rng.random()

    def schedule_election(self, earliest: datetime.timedelta) -> None:
        """Schedules the next election at a random time within one election timeout of
        ``earliest``, or of the time from which this replica may vote if that is later."""
        earliest = max(earliest, self._votes_from)
        self._election_due = earliest + self.timing.election_timeout * self._rng.random()

    def on_pause(self, now: datetime.timedelta) -> None:
        """Allows for a pause of this process, in which it could hear nobody.

        What the others sent meanwhile is read only now, so their silence tells nothing yet. A
        follower that has not heard a leader for long is not held up any further.
        """
        timeout = self.timing.election_timeout
        if self.role == "leader":
            self._responsive_from = now
        elif now - self._leader_heard_at < MAX_PAUSE_TIMEOUTS * timeout:
            due = now + timeout / 2 * (1 + self._rng.random())
            self._election_due = max(self._election_due, due)

    # Elections

    def _start_pre_vote(self, now: datetime.timedelta) -> None:
        self._reset_election_timer(now)
        # A candidate whose election failed starts over with a pre-vote.
        self.role = "follower"
        self.leader = ""
        self._pre_votes = {self.identity}
        if self._has_quorum(self._pre_votes):
            self._start_election(now)
            return
        self._request_votes(self.store.term + 1, pre=True)

    def _start_election(self, now: datetime.timedelta) -> None:
        self.role = "candidate"
        self.leader = ""
        self._votes = {self.identity}
        self._pre_votes = set()
        self.store.set_vote(self.store.term + 1, self.identity)
        self._reset_election_timer(now)
        if self._has_quorum(self._votes):
            self._become_leader(now)
            return
        self._request_votes(self.store.term, pre=False)

    def _request_votes(self, term: int, *, pre: bool) -> None:
        request = replica_messages.VoteRequest(
            term, self.identity, self.store.last_index, self.store.last_term, pre
        )
        for identity in self.members.voters:
            if identity != self.identity:
                self.outbox.append((identity, request))

    def _has_quorum(self, granted: set[str]) -> bool:
        members = self.members
        return len(granted & members.voters.keys()) >= members.quorum

    def _become_leader(self, now: datetime.timedelta) -> None:
        self.role = "leader"
        self.leader = self.identity
        self.confirmation = None
        self._responsive_from = now
        self._progress_by_id = {}
        self._pending_rounds = {}
        self._append_new("noop", None)
        self.broadcast(now)
        self._advance_commit()

    def _become_follower(self, term: int, now: datetime.timedelta, leader: str = "") -> None:
        if term > self.store.term:
            self.store.set_vote(term, "")
        if self.role != "follower":
            self._reset_election_timer(now)
        self.role = "follower"
        self.leader = leader
        self.confirmation = None
        self._pending_rounds = {}

    # Incoming messages

    def receive(self, message: replica_messages.Message, now: datetime.timedelta) -> None:
        """Handles a message from another member."""
        match message:
            case replica_messages.VoteRequest():
                self._on_vote_request(message, now)
            case replica_messages.VoteReply():
                self._on_vote_reply(message, now)
            case replica_messages.Append():
                self._on_append(message, now)
            case replica_messages.AppendReply():
                self._on_append_reply(message, now)
            case replica_messages.InstallSnapshot():
                self._on_snapshot(message, now)

    def _on_vote_request(
        self, request: replica_messages.VoteRequest, now: datetime.timedelta
    ) -> None:
        # Rejects candidates while a leader is alive, so that a member that returns from a network
        # partition with a higher term cannot depose it.
        leader_is_alive = (
            self.role == "leader"
            or now - self._leader_heard_at < self.timing.election_timeout
            or now < self._votes_from
        )
        if leader_is_alive or request.term < self.store.term:
            self._send_vote_reply(request, granted=False)
            return
        up_to_date = (request.last_term, request.last_index) >= (
            self.store.last_term,
            self.store.last_index,
        )
        if request.pre:
            self._send_vote_reply(request, granted=up_to_date and request.term > self.store.term)
            return
        if request.term > self.store.term:
            self._become_follower(request.term, now)
        granted = up_to_date and self.is_voter
        granted = granted and self.store.voted_for in ("", request.candidate)
        if granted:
            self.store.set_vote(request.term, request.candidate)
            self._reset_election_timer(now)
        self._send_vote_reply(request, granted=granted)

    def _send_vote_reply(self, request: replica_messages.VoteRequest, *, granted: bool) -> None:
        granted = granted and self.is_voter
        term = request.term if request.pre and granted else self.store.term
        reply = replica_messages.VoteReply(term, self.identity, granted, request.pre)
        self.outbox.append((request.candidate, reply))

    def _on_vote_reply(self, reply: replica_messages.VoteReply, now: datetime.timedelta) -> None:
        if not reply.granted:
            if reply.term > self.store.term:
                self._become_follower(reply.term, now)
            return
        if reply.pre:
            if self.role == "follower" and self._pre_votes and reply.term == self.store.term + 1:
                self._pre_votes.add(reply.voter)
                if self._has_quorum(self._pre_votes):
                    self._start_election(now)
            return
        if self.role == "candidate" and reply.term == self.store.term:
            self._votes.add(reply.voter)
            if self._has_quorum(self._votes):
                self._become_leader(now)

    def _accept_leader(self, term: int, leader: str, now: datetime.timedelta) -> bool:
        if term < self.store.term:
            return False
        if term > self.store.term or self.role != "follower":
            self._become_follower(term, now, leader)
        self.leader = leader
        self._leader_heard_at = now
        self._pre_votes = set()
        self._reset_election_timer(now)
        return True

    def _on_append(self, message: replica_messages.Append, now: datetime.timedelta) -> None:
        if not self._accept_leader(message.term, message.leader, now):
            self._send_append_reply(message.leader, False, 0, message.round)
            return
        previous = message.previous_index
        covered_by_snapshot = previous <= self.store.snapshot.index
        if not covered_by_snapshot and self.store.term_at(previous) != message.previous_term:
            hint = min(previous - 1, self.store.last_index)
            self._send_append_reply(message.leader, False, hint, message.round)
            return
        for item in message.entries:
            self._merge_entry(journal.Entry(*item))
        match = previous + len(message.entries)
        self.commit = max(self.commit, min(message.commit, match))
        self._send_append_reply(message.leader, True, match, message.round)

    def _merge_entry(self, entry: journal.Entry) -> None:
        if entry.index <= self.store.snapshot.index:
            return
        stored_term = self.store.term_at(entry.index)
        if stored_term == entry.term:
            return
        if stored_term is not None:
            if entry.index <= self.commit:
                raise errors.StorageError(
                    f"entry {entry.index} conflicts with a committed entry", step="append"
                )
            self.store.truncate(entry.index)
            self._members_cache = None
        self._append_entry(entry)

    def _append_entry(self, entry: journal.Entry) -> None:
        if entry.kind == "members":
            self._members_cache = None
        self.store.append(entry)

    def _send_append_reply(self, leader: str, ok: bool, match: int, round_number: int) -> None:
        reply = replica_messages.AppendReply(
            self.store.term, self.identity, ok, match, round_number
        )
        self.outbox.append((leader, reply))

    def _on_snapshot(
        self, message: replica_messages.InstallSnapshot, now: datetime.timedelta
    ) -> None:
        if not self._accept_leader(message.term, message.leader, now):
            self._send_append_reply(message.leader, False, 0, message.round)
            return
        if message.index > self.commit:
            if self.store.term_at(message.index) == message.snapshot_term:
                self.commit = message.index
            else:
                snapshot = journal.Snapshot(
                    message.index, message.snapshot_term, message.members, message.state
                )
                # Set first: a snapshot that could not be written is written again later.
                self._members_cache = None
                self.commit = message.index
                self.store.install(snapshot)
        self._send_append_reply(message.leader, True, message.index, message.round)

    def _on_append_reply(
        self, reply: replica_messages.AppendReply, now: datetime.timedelta
    ) -> None:
        if reply.term > self.store.term:
            self._become_follower(reply.term, now)
            return
        if self.role != "leader" or reply.term < self.store.term:
            return
        previous_commit = self.commit
        progress = self._progress(reply.follower)
        progress.acked_at = now
        progress.acked_round = max(progress.acked_round, reply.round)
        if reply.ok:
            progress.match = max(progress.match, reply.match)
            progress.next_index = max(progress.next_index, progress.match + 1)
            self._advance_commit()
        else:
            progress.next_index = max(
                progress.match + 1, min(reply.match + 1, self.store.last_index + 1)
            )
            progress.sent_through = 0
        if self.commit > previous_commit:
            # Followers serve feeds too, so the new commit index is broadcast at the next tick
            # instead of with the next regular heartbeat.
            self._heartbeat_due = now
        self._confirm()
        is_behind = progress.next_index <= self.store.last_index
        if is_behind and progress.sent_through < progress.next_index:
            self._send_append(reply.follower, now)

    # Leader

    def _progress(self, identity: str) -> Progress:
        progress = self._progress_by_id.get(identity)
        if progress is None:
            progress = Progress(next_index=self.store.last_index + 1)
            self._progress_by_id[identity] = progress
        return progress

    def broadcast(self, now: datetime.timedelta) -> None:
        """Sends every other member its missing entries, or a heartbeat if it has all of them or
        they are on their way."""
        self._heartbeat_due = now + self.timing.heartbeat
        self._round += 1
        self._pending_rounds[self._round] = (now, self.commit)
        members = self.members
        for identity in (*members.voters, *members.learners):
            if identity != self.identity:
                self._send_missing(identity, now)
        self._confirm()

    def _send_missing(self, identity: str, now: datetime.timedelta) -> None:
        progress = self._progress(identity)
        in_flight = progress.sent_through >= progress.next_index
        retransmit_at = progress.sent_at + RETRANSMIT_HEARTBEATS * self.timing.heartbeat
        if in_flight and now < retransmit_at:
            # Every member has the beginning of the log, also one that waits for a snapshot.
            known = progress.match if progress.match >= self.store.snapshot.index else 0
            self._send_entries(identity, known, [])
            return
        progress.sent_through = 0
        self._send_append(identity, now)

    def _send_append(self, identity: str, now: datetime.timedelta) -> None:
        progress = self._progress(identity)
        previous = progress.next_index - 1
        if previous < self.store.snapshot.index:
            progress.sent_at = now
            self._send_snapshot(identity, progress)
            return
        entries = self.store.slice(
            progress.next_index, MAX_ENTRIES_PER_APPEND, MAX_BYTES_PER_APPEND
        )
        if entries:
            progress.sent_through = entries[-1].index
            progress.sent_at = now
        self._send_entries(identity, previous, entries)

    def _send_entries(self, identity: str, previous: int, entries: list[journal.Entry]) -> None:
        message = replica_messages.Append(
            term=self.store.term,
            leader=self.identity,
            previous_index=previous,
            previous_term=self.store.term_at(previous) or 0,
            entries=[entry.to_wire() for entry in entries],
            commit=self.commit,
            round=self._round,
        )
        self.outbox.append((identity, message))

    def _send_snapshot(self, identity: str, progress: Progress) -> None:
        snapshot = self.store.snapshot
        progress.sent_through = snapshot.index
        message = replica_messages.InstallSnapshot(
            term=self.store.term,
            leader=self.identity,
            index=snapshot.index,
            snapshot_term=snapshot.term,
            members=snapshot.members,
            state=snapshot.state,
            round=self._round,
        )
        self.outbox.append((identity, message))

    def _append_new(self, kind: str, body: typing.Any) -> int:
        entry = journal.Entry(self.store.last_index + 1, self.store.term, kind, body)
        self._append_entry(entry)
        return entry.index

    def on_journal_synced(self) -> None:
        """Handles a completed journal sync: a leader's own entries now count towards the commit
        quorum."""
        if self.role == "leader":
            self._progress(self.identity).match = self.store.last_index
            self._advance_commit()

    def _advance_commit(self) -> None:
        members = self.members
        matches = sorted(
            (self._progress(identity).match for identity in members.voters), reverse=True
        )
        if len(matches) < members.quorum:
            return
        index = matches[members.quorum - 1]
        # Counting replicas commits only entries of the current term; entries of earlier terms are
        # committed together with them.
        if index > self.commit and self.store.term_at(index) == self.store.term:
            self.commit = index

    def _confirm(self) -> None:
        """Advances the confirmation to the latest broadcast that a quorum has acknowledged."""
        members = self.members
        rounds = sorted(
            (
                self._round if identity == self.identity else self._progress(identity).acked_round
                for identity in members.voters
            ),
            reverse=True,
        )
        acked_by_quorum = rounds[members.quorum - 1] if len(rounds) >= members.quorum else 0
        for number in [n for n in self._pending_rounds if n <= acked_by_quorum]:
            started, index = self._pending_rounds.pop(number)
            if self.store.term_at(index) != self.store.term:
                continue
            if self.confirmation is None or started >= self.confirmation.as_of:
                self.confirmation = Confirmation(index, started)

    def propose(self, body: typing.Any, now: datetime.timedelta) -> tuple[int, int]:
        """Appends a command to the log.

        Returns:
            Index and term of the entry. The command is accepted only if the entry committed at
            this index has this term.

        Raises:
            errors.NotLeaderError: This replica is not the leader.
        """
        self._require_leader()
        index = self._append_new("command", body)
        self._heartbeat_due = now
        return index, self.store.term

    def propose_members(
        self, members: replica_messages.Members, now: datetime.timedelta
    ) -> tuple[int, int]:
        """Appends a membership that differs from the current one in at most one voter, or has a
        successor in place of a voter that lost its disk.

        Returns:
            Index and term of the entry, as ``propose``.

        Raises:
            errors.NotLeaderError: This replica is not the leader.
            errors.UnavailableError: An earlier membership change or this leader's first entry is
                not committed yet, or a new voter has not caught up with the log.
            errors.InvalidInputError: More than one voter would change, or none would remain.
        """
        self._require_leader()
        if (
            self._members_index() > self.commit
            or self.store.term_at(self.commit) != self.store.term
        ):
            raise errors.UnavailableError(
                "an earlier membership change or the leader's first entry is not committed yet",
                step="change members",
            )
        added = members.voters.keys() - self.members.voters.keys()
        removed = self.members.voters.keys() - members.voters.keys()
        is_replacement = self.members.replaces_lost_voter(members)
        if (len(added) + len(removed) > 1 and not is_replacement) or not members.voters:
            raise errors.InvalidInputError(
                "a membership change may add, remove or replace only one voter and must leave "
                "at least one",
                step="change members",
            )
        if any(self._progress(identity).match < self.commit for identity in added):
            raise errors.UnavailableError(
                "the new voter has not caught up with the log yet", step="change members"
            )
        index = self._append_new("members", members.to_wire())
        self._heartbeat_due = now
        return index, self.store.term

    def _require_leader(self) -> None:
        if self.role != "leader":
            raise errors.NotLeaderError(
                "this replica is not the leader",
                leader=self.members.address_of(self.leader),
                step="propose",
            )

    def compact(self, index: int, state: typing.Any) -> None:
        """Replaces the log up to a committed index by a snapshot.

        Args:
            index: Last entry that the snapshot covers; must be committed.
            state: State of the state machine after that entry.
        """
        members = self.store.snapshot.members
        for entry in self.store.entries:
            if entry.kind == "members" and entry.index <= index:
                members = entry.body
        term = typing.cast(int, self.store.term_at(index))
        self.store.compact(journal.Snapshot(index, term, members, state))
        self._members_cache = None
