"""Replication under lost, duplicated and reordered messages, cut links, frozen or crashed replicas
and lost disks."""

import hypothesis
import hypothesis.stateful as stateful
import hypothesis.strategies as st
import pytest
import replica_cluster

from flamingotiller import clock, errors, journal, replica, replica_messages


class ReplicationMachine(stateful.RuleBasedStateMachine):
    """Safety under any sequence of faults, and progress once all faults have ended."""

    replica_class = replica.Replica

    def __init__(self):
        super().__init__()
        self.cluster = replica_cluster.Cluster(3, replica_class=self.replica_class)
        self.lost = 0

    def pick(self, number):
        names = sorted(self.cluster.nodes)
        return names[number % len(names)]

    @stateful.rule(number=st.integers(0, 5))
    def is_paused(self, number):
        self.cluster.nodes[self.pick(number)].on_pause(self.cluster.now)

    @stateful.rule(seconds=st.sampled_from([0.05, 0.2, 0.7, 2.0]))
    def time_passes(self, seconds):
        self.cluster.now += clock.seconds(seconds)

    @stateful.rule(seconds=st.sampled_from([0.3, 1.0, 3.0]))
    def run(self, seconds):
        self.cluster.run(seconds)

    @stateful.rule(number=st.integers(0, 9))
    def tick(self, number):
        self.cluster.tick(self.pick(number))

    @stateful.rule(number=st.integers(0, 99), keep=st.booleans())
    def deliver(self, number, keep):
        if self.cluster.messages:
            self.cluster.deliver(number % len(self.cluster.messages), keep)

    @stateful.rule(number=st.integers(0, 99))
    def drop(self, number):
        if self.cluster.messages:
            del self.cluster.messages[number % len(self.cluster.messages)]

    @stateful.rule(a=st.integers(0, 9), b=st.integers(0, 9), both=st.booleans())
    def cut(self, a, b, both):
        self.cluster.links_down.add((self.pick(a), self.pick(b)))
        if both:
            self.cluster.links_down.add((self.pick(b), self.pick(a)))

    @stateful.rule(number=st.integers(0, 9))
    def isolate(self, number):
        name = self.pick(number)
        for other in self.cluster.nodes:
            self.cluster.links_down |= {(name, other), (other, name)}

    @stateful.rule()
    def heal(self):
        self.cluster.heal()

    @stateful.rule(number=st.integers(0, 9))
    def freeze(self, number):
        self.cluster.frozen.add(self.pick(number))

    @stateful.rule(number=st.integers(0, 9))
    def thaw(self, number):
        self.cluster.frozen.discard(self.pick(number))

    @stateful.rule(number=st.integers(0, 9))
    def crash(self, number):
        self.cluster.crash(self.pick(number))

    @stateful.rule(number=st.integers(0, 9))
    def propose(self, number):
        self.cluster.propose(self.pick(number))

    @stateful.rule(number=st.integers(0, 9))
    def compact(self, number):
        node = self.cluster.nodes[self.pick(number)]
        if node.commit > node.store.snapshot.index:
            node.compact(node.commit, {"upto": node.commit})

    @stateful.rule(number=st.integers(0, 9), in_one_step=st.booleans())
    def lose_disk_and_replace(self, number, in_one_step):
        """Loses a disk and replaces the member before another disk is lost, as the operations page
        requires."""
        self.cluster.heal()
        self.cluster.run(3)
        if not self.cluster.leaders():
            return
        victim = self.pick(number)
        newcomer = self.cluster.lose_disk(victim)
        self.cluster.run(4)
        leader = self.cluster.leader()
        change = self.cluster.change_members
        lost_address = self.cluster.nodes[leader].members.address_of(victim)
        address = lost_address if in_one_step else f"address of {newcomer}"
        steps = [
            lambda m: replica_messages.Members(dict(m.voters), {**m.learners, newcomer: address}),
            lambda m: m.with_promoted(newcomer),
            lambda m: replica_messages.Members(
                {k: v for k, v in m.voters.items() if k != victim}, {}
            ),
        ]
        for step in steps[:2] if in_one_step else steps:
            assert change(leader, step) is None
            self.cluster.run(1)
        self.lost += 1

    def teardown(self):
        self.cluster.heal()
        self.cluster.run(6)
        leader = self.cluster.leader()
        value = self.cluster.propose(leader)
        assert value is not None
        self.cluster.run(1)
        assert value in self.cluster.values()
        values = self.cluster.values()
        assert len(values) == len(set(values))
        for identity in self.cluster.nodes[leader].members.voters:
            assert self.cluster.nodes[identity].commit >= self.cluster.nodes[leader].commit - 1


ReplicationMachine.TestCase.settings = hypothesis.settings(
    max_examples=80, stateful_step_count=30, deadline=None, derandomize=True
)
TestReplication = ReplicationMachine.TestCase


def cluster_with_leader(size=3, replica_class=replica.Replica):
    cluster = replica_cluster.Cluster(size, replica_class=replica_class)
    cluster.run(3)
    return cluster, cluster.leader()


def test_committed_entry_survives_the_loss_of_its_leader():
    cluster, leader = cluster_with_leader()
    value = cluster.propose(leader)
    cluster.run(0.5)
    cluster.frozen.add(leader)
    cluster.run(4)
    assert cluster.leader() != leader
    assert value in cluster.values()


def test_instance_isolated_for_hours_does_not_unseat_the_leader():
    cluster, leader = cluster_with_leader()
    isolated = next(n for n in cluster.nodes if n != leader)
    for other in cluster.nodes:
        cluster.links_down |= {(isolated, other), (other, isolated)}
    cluster.run(120, step=0.5)
    term = cluster.nodes[leader].store.term
    cluster.heal()
    cluster.run(3)
    assert cluster.leader() == leader
    assert cluster.nodes[leader].store.term == term


def test_isolated_leader_steps_down_and_confirms_nothing():
    cluster, leader = cluster_with_leader()
    for other in cluster.nodes:
        cluster.links_down |= {(leader, other), (other, leader)}
    cut_at = cluster.now
    cluster.run(3)
    node = cluster.nodes[leader]
    assert node.role != "leader"
    assert node.confirmation is None
    with pytest.raises(errors.NotLeaderError):
        node.propose({"value": 0}, cluster.now)
    assert cluster.nodes[cluster.leader()].confirmation.as_of > cut_at


def test_second_instance_may_be_lost_right_after_a_repair():
    cluster, leader = cluster_with_leader()
    cluster.propose(leader)
    cluster.run(0.5)
    victim, other = (n for n in cluster.nodes if n != leader)
    newcomer = cluster.lose_disk(victim)
    members = cluster.change_members
    assert not members(leader, lambda m: replica_messages.Members(m.voters, {newcomer: "addr"}))
    cluster.run(1)
    assert not members(leader, lambda m: replica_messages.Members({**m.voters, newcomer: "addr"}))
    cluster.run(1)

    def without(members):
        return replica_messages.Members({k: v for k, v in members.voters.items() if k != victim})

    assert not members(leader, without)
    cluster.run(1)
    cluster.frozen.add(other)
    cluster.run(3)
    value = cluster.propose(cluster.leader())
    cluster.run(1)
    assert value in cluster.values()


def test_split_vote_is_followed_by_another_election():
    cluster = replica_cluster.Cluster(3)
    for name in cluster.nodes:
        cluster.nodes[name]._start_election(cluster.now)
        cluster.flush(name)
    cluster.run(6)
    assert cluster.leader()


def test_followers_learn_of_a_commit_before_the_next_heartbeat():
    cluster, leader = cluster_with_leader()
    cluster.propose(leader)
    for _ in range(3):
        cluster.tick(leader)
        while cluster.messages:
            cluster.deliver(0)
    commits = {cluster.nodes[name].commit for name in cluster.nodes}
    assert commits == {cluster.nodes[leader].store.last_index}


def test_follower_that_was_paused_hears_the_leader_before_it_asks_for_votes():
    """Guards against elections by members whose processes were paused or busy: messages of the
    leader that had arrived meanwhile were read after the election had begun."""
    cluster, leader = cluster_with_leader()
    follower = next(node for name, node in cluster.nodes.items() if name != leader)
    later = cluster.now + 2 * replica_cluster.TIMING.election_timeout
    follower.on_pause(later)
    follower.tick(later)
    assert follower.outbox == []
    # The leader has gone indeed.
    much_later = later + 2 * replica_cluster.TIMING.election_timeout
    follower.tick(much_later)
    assert follower.outbox


def test_follower_that_is_paused_again_and_again_asks_for_votes_in_the_end():
    cluster, leader = cluster_with_leader()
    follower = next(node for name, node in cluster.nodes.items() if name != leader)
    now = cluster.now
    for _ in range(20):
        now += 0.6 * replica_cluster.TIMING.election_timeout
        follower.on_pause(now)
        follower.tick(now)
    assert follower.outbox


def test_leader_that_was_paused_does_not_take_its_members_for_silent():
    cluster, name = cluster_with_leader()
    leader = cluster.nodes[name]
    later = cluster.now + 10 * replica_cluster.TIMING.election_timeout
    leader.on_pause(later)
    leader.tick(later)
    assert leader.role == "leader"
    leader.tick(later + 3 * replica_cluster.TIMING.election_timeout)
    assert leader.role == "follower"


def test_new_voter_that_has_not_caught_up_is_refused():
    cluster, leader = cluster_with_leader()
    newcomer = cluster.lose_disk(next(n for n in cluster.nodes if n != leader))
    error = cluster.change_members(
        leader, lambda m: replica_messages.Members({**m.voters, newcomer: "addr"})
    )
    assert isinstance(error, errors.UnavailableError)


def test_member_behind_a_compacted_log_gets_the_snapshot():
    cluster, leader = cluster_with_leader()
    behind = next(n for n in cluster.nodes if n != leader)
    cluster.frozen.add(behind)
    for _ in range(300):
        cluster.propose(leader)
    cluster.run(2)
    node = cluster.nodes[leader]
    node.compact(node.commit, {"upto": node.commit})
    cluster.heal()
    cluster.run(3)
    assert cluster.nodes[behind].store.snapshot.state == {"upto": node.store.snapshot.index}
    assert cluster.nodes[behind].commit == cluster.nodes[cluster.leader()].commit


def appends_to(cluster, member):
    return [
        message
        for _, target, message in cluster.messages
        if target == member and isinstance(message, replica_messages.Append) and message.entries
    ]


def test_missing_entries_are_sent_in_messages_of_bounded_length():
    """A member that lost its disk never caught up: what it missed was sent in one message, which
    was longer than members accept."""
    cluster, leader = cluster_with_leader()
    node = cluster.nodes[leader]
    size = replica.MAX_BYTES_PER_APPEND // 3
    for number in range(20):
        node.propose({"value": number, "text": "x" * size}, cluster.now)
    node.propose({"value": 20, "text": "x" * 2 * replica.MAX_BYTES_PER_APPEND}, cluster.now)
    cluster.flush(leader)
    cluster.run(2)
    newcomer = cluster.lose_disk(next(n for n in cluster.nodes if n != leader))
    assert not cluster.change_members(
        leader, lambda m: replica_messages.Members(m.voters, {newcomer: "addr"})
    )
    while cluster.nodes[newcomer].commit < node.commit:
        cluster.now += clock.seconds(0.1)
        cluster.tick(leader)
        for message in appends_to(cluster, newcomer):
            length = sum(journal.Entry(*entry).byte_count for entry in message.entries)
            assert length <= replica.MAX_BYTES_PER_APPEND or len(message.entries) == 1
        while cluster.messages:
            cluster.deliver(0)
    assert cluster.nodes[newcomer].store.last_index == node.store.last_index


def test_snapshot_on_its_way_is_not_sent_again_with_each_heartbeat():
    """A large snapshot takes longer than a heartbeat; its member must go on hearing the leader."""
    cluster, leader = cluster_with_leader()
    node = cluster.nodes[leader]
    cluster.propose(leader)
    cluster.run(1)
    node.compact(node.commit, {"upto": node.commit})
    newcomer = cluster.lose_disk(next(n for n in cluster.nodes if n != leader))
    assert not cluster.change_members(
        leader, lambda m: replica_messages.Members(m.voters, {newcomer: "addr"})
    )
    cluster.messages.clear()
    node._progress(newcomer).next_index = 1
    kinds = []
    for _ in range(replica.RETRANSMIT_HEARTBEATS):
        node.broadcast(cluster.now)
        kinds += [type(m).__name__ for target, m in node.outbox if target == newcomer]
        heartbeats = [m for t, m in node.outbox if t == newcomer and type(m).__name__ == "Append"]
        node.outbox.clear()
        for heartbeat in heartbeats:
            cluster.nodes[newcomer].receive(heartbeat, cluster.now)
            _, reply = cluster.nodes[newcomer].outbox.pop()
            assert reply.ok
            node.receive(reply, cluster.now)
    assert kinds == ["InstallSnapshot", "Append"]
    assert not [m for t, m in node.outbox if t == newcomer]


def test_successor_takes_the_place_of_a_voter_that_lost_its_disk():
    """The lost identity was removed first, though its successor could not vote yet: each lost disk
    left fewer disks with what is acknowledged."""
    cluster, leader = cluster_with_leader()
    victim = next(n for n in cluster.nodes if n != leader)
    address = cluster.nodes[leader].members.voters[victim]
    value = cluster.propose(leader)
    cluster.run(1)
    newcomer = cluster.lose_disk(victim)
    change = cluster.change_members
    learners = {newcomer: address}
    assert not change(leader, lambda m: replica_messages.Members(m.voters, learners))
    error = change(leader, lambda m: m.with_promoted(newcomer))
    assert isinstance(error, errors.UnavailableError)
    cluster.run(1)
    assert not change(leader, lambda m: m.with_promoted(newcomer))
    cluster.run(1)
    members = cluster.nodes[leader].members
    assert len(members.voters) == 3
    assert newcomer in members.voters
    assert victim not in members.voters
    cluster.frozen.add(leader)
    cluster.run(3)
    assert cluster.propose(cluster.leader()) is not None
    cluster.run(1)
    assert value in cluster.values()


def test_only_the_successor_at_the_same_address_may_replace_a_voter():
    cluster, leader = cluster_with_leader()
    victim = next(n for n in cluster.nodes if n != leader)
    newcomer = cluster.lose_disk(victim)
    change = cluster.change_members
    assert not change(leader, lambda m: replica_messages.Members(m.voters, {newcomer: "elsewhere"}))
    cluster.run(1)

    def swap(members):
        voters = {i: a for i, a in members.voters.items() if i != victim}
        return replica_messages.Members({**voters, newcomer: "elsewhere"})

    assert isinstance(change(leader, swap), errors.InvalidInputError)


@pytest.mark.parametrize(
    "document",
    [
        None,
        {},
        {"type": "Nothing"},
        {"type": "VoteReply", "term": "1", "voter": "a", "granted": True, "pre": False},
        {"type": "VoteReply", "term": 1, "voter": "a", "granted": True},
        {"type": "VoteReply", "term": 1, "voter": "a", "granted": True, "pre": False, "x": 1},
    ],
)
def test_malformed_message_is_refused(document):
    with pytest.raises(errors.InvalidInputError):
        replica_messages.message_from_wire(document)


class ForgetsVote(replica.Replica):
    """Bug: votes twice in the same term."""

    def _on_vote_request(self, request, now):
        if not request.pre:
            self.store.voted_for = ""
            self._leader_heard_at = now - 10 * self.timing.election_timeout
        super()._on_vote_request(request, now)


class CommitsOldTermsByCount(replica.Replica):
    """Bug: commits an entry of an earlier term by counting replicas."""

    def _advance_commit(self):
        matches = sorted((self._progress(i).match for i in self.members.voters), reverse=True)
        self.commit = max(self.commit, matches[self.members.quorum - 1])


class VotesForOutdatedLog(replica.Replica):
    """Bug: votes for a candidate whose log is not up to date."""

    def _on_vote_request(self, request, now):
        forged = replica_messages.VoteRequest(
            request.term, request.candidate, 10**9, 10**9, request.pre
        )
        super()._on_vote_request(forged, now)


def old_entry_replicated_to_majority(replica_class):
    """Replays the history in which an entry of an earlier term is on a majority of the replicas and
    a leader that lacks it then overwrites it, so it must not have been committed."""
    cluster = replica_cluster.Cluster(5, replica_class=replica_class)
    names = sorted(cluster.nodes)

    def set_log(name, terms, term):
        store = cluster.nodes[name].store
        for number, entry_term in enumerate(terms):
            store.append(journal.Entry(2 + number, entry_term, "command", {"value": entry_term}))
        store.set_vote(term, "")
        store.sync()

    set_log(names[0], [2], 4)
    set_log(names[1], [2], 4)
    set_log(names[2], [2], 4)
    set_log(names[4], [3], 4)
    node = cluster.nodes[names[0]]
    node.role, node.leader, node._leader_since = "leader", names[0], cluster.now
    for name in names[:3]:
        node._progress(name).match = 2
    node._advance_commit()
    cluster.check_committed(names[0])
    node.role = "follower"
    cluster.frozen |= {names[0]}
    candidate = cluster.nodes[names[4]]
    candidate._start_election(cluster.now + clock.seconds(100))
    cluster.flush(names[4])
    cluster.run(5)
    for name in cluster.alive():
        cluster.check_committed(name)


def two_candidates_in_one_term(replica_class):
    """Two members start elections in the same term, and the third receives both requests."""
    cluster = replica_cluster.Cluster(3, replica_class=replica_class)
    first, second, voter = sorted(cluster.nodes)
    for name in (first, second):
        cluster.nodes[name]._start_election(cluster.now)
        cluster.flush(name)
    for _ in range(2):
        position = next(i for i, m in enumerate(cluster.messages) if m[1] == voter)
        cluster.deliver(position)
    cluster.messages = [m for m in cluster.messages if m[0] == voter]
    while cluster.messages:
        sender, target, message = cluster.messages.pop(0)
        cluster.nodes[target].receive(message, cluster.now)
    assert len(cluster.leaders()) <= 1


def candidate_with_a_shorter_log(replica_class):
    """A member that lacks a committed entry starts an election."""
    cluster, leader = cluster_with_leader(replica_class=replica_class)
    behind = next(n for n in cluster.nodes if n != leader)
    cluster.frozen.add(behind)
    cluster.propose(leader)
    cluster.run(1)
    cluster.frozen = {leader}
    cluster.messages.clear()
    cluster.now += clock.seconds(60)
    cluster.nodes[behind]._start_election(cluster.now)
    cluster.flush(behind)
    cluster.run(0.3)
    cluster.propose(behind)
    cluster.run(2)


@pytest.mark.parametrize(
    ("faulty_class", "history"),
    [
        (ForgetsVote, two_candidates_in_one_term),
        (VotesForOutdatedLog, candidate_with_a_shorter_log),
        (CommitsOldTermsByCount, old_entry_replicated_to_majority),
    ],
)
def test_planted_mistake_is_caught(faulty_class, history):
    history(replica.Replica)
    with pytest.raises((AssertionError, errors.StorageError)):
        history(faulty_class)


def sent_entries(node):
    appends = [m for _, m in node.outbox if isinstance(m, replica_messages.Append)]
    node.outbox.clear()
    return [len(m.entries) for m in appends]


def test_entries_on_their_way_are_sent_again_only_after_some_heartbeats():
    """A large change: sent again with each heartbeat, it would keep leader and links busy."""
    cluster = replica_cluster.Cluster(3)
    cluster.run(3)
    node, now = cluster.nodes[cluster.leader()], cluster.now
    node.propose({"n": 1}, now)
    node.broadcast(now)
    assert sent_entries(node) == [1, 1]
    heartbeat = replica_cluster.TIMING.heartbeat
    node.broadcast(now + heartbeat)
    assert sent_entries(node) == [0, 0]
    node.broadcast(now + replica.RETRANSMIT_HEARTBEATS * heartbeat)
    assert sent_entries(node) == [1, 1]


def test_large_entry_is_not_copied_for_each_member():
    body = {"routes": {str(n): {"host": "h"} for n in range(10)}}
    message = replica_messages.Append(1, "n0", 0, 0, [[1, 1, "command", body]], 0, 1)
    document = replica_messages.message_to_wire(message)
    assert document["entries"][0][3] is body
    assert replica_messages.message_from_wire(document) == message


@pytest.mark.parametrize("seed", range(5))
def test_voter_that_restarts_elects_no_leader_during_the_lease_that_it_confirmed(seed):
    """Guards against a restarted voter that forgets when it last heard the leader."""
    cluster = replica_cluster.Cluster(3, seed)
    cluster.run(3)
    leader = cluster.leader()
    voter, cut_off = (n for n in cluster.nodes if n != leader)
    links = {(cut_off, n) for n in (leader, voter)}
    cluster.links_down |= links | {(b, a) for a, b in links}
    cluster.run(2)
    assert cluster.lease_holders() == [leader]
    cluster.crash(voter)
    cluster.links_down = {(a, b) for a in cluster.nodes for b in cluster.nodes if leader in (a, b)}
    for node in (voter, cut_off):
        cluster.nodes[node].schedule_election(cluster.now)
    cluster.run(0.3, step=0.02)
    assert cluster.lease_holders() == [leader]
    cluster.run(3)
    assert cluster.leader() != leader
