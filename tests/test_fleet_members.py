"""The log while the leader changes its membership: members lose their disks, are partitioned,
freeze and crash."""

import hypothesis
import hypothesis.strategies as st
import pytest
import replica_cluster

from flamingotiller import errors, journal, replica_messages
from flamingotiller.fleet import log_membership


class SelfAdjustingCluster(replica_cluster.Cluster):
    """A cluster whose leader adjusts the membership."""

    def __init__(self, size, seed):
        super().__init__(size, seed)
        self.address_of = {f"n{i}.0": f"addr{i}" for i in range(size)}
        self.generation = 0

    def start_with_blank_disk(self, address):
        """Starts an instance with a blank disk at an address, in place of the member there."""
        for identity, known_address in list(self.address_of.items()):
            if known_address == address:
                self.nodes.pop(identity, None)
                self.frozen.discard(identity)
                del self.address_of[identity]
        self.generation += 1
        identity = f"new{self.generation}.0"
        self.address_of[identity] = address
        self.open(journal.MemoryJournal(identity))

    def adjust(self):
        for identity in self.leaders():
            node = self.nodes[identity]
            join_requests = [
                log_membership.JoinRequest(other, address, address, self.now)
                for other, address in self.address_of.items()
                if other in self.nodes
                and other not in self.frozen
                and other != identity
                and (other, identity) not in self.links_down
            ]
            progress = {
                other: log_membership.MemberProgress(member.match, member.acked_at)
                for other in (*node.members.voters, *node.members.learners)
                if other != identity and (member := node.progress_of(other))
            }
            proposed = log_membership.next_members(
                node.members, join_requests, progress, dict(self.address_of), node.commit, self.now
            )
            if proposed:
                self.change_members(identity, lambda current, proposed=proposed: proposed)

    def run_and_adjust(self, seconds):
        for _ in range(int(seconds / 0.5)):
            self.run(0.5)
            self.adjust()

    def has_voters(self, size):
        leaders = self.leaders()
        return leaders and len(self.nodes[leaders[0]].members.voters) == size


@pytest.mark.parametrize("seed", range(8))
def test_members_that_lose_their_disks_one_after_another_are_replaced(seed):
    cluster = SelfAdjustingCluster(5, seed)
    cluster.run_and_adjust(4)
    for address in ("addr0", "addr3", "addr1", "addr0"):
        assert cluster.propose(cluster.leader()) is not None
        cluster.run(1)
        cluster.start_with_blank_disk(address)
        cluster.run_and_adjust(12)
        members = cluster.nodes[cluster.leader()].members
        assert sorted(members.voters.values()) == [f"addr{i}" for i in range(5)]
        assert not members.learners
    assert cluster.values() == list(range(1, 5))


actions = st.lists(
    st.tuples(
        st.sampled_from(["wipe", "crash", "freeze", "thaw", "cut", "heal", "propose", "live"]),
        st.integers(0, 4),
    ),
    max_size=25,
)


@hypothesis.settings(derandomize=True, max_examples=60, deadline=None)
@hypothesis.given(actions, st.integers(0, 1000))
def test_committed_entries_survive_overlapping_faults(steps, seed):
    """Disks are lost one at a time, the next only when the previous replacement votes."""
    cluster = SelfAdjustingCluster(5, seed)
    cluster.run_and_adjust(4)
    for kind, number in steps:
        address = f"addr{number}"
        identity = next((i for i, a in cluster.address_of.items() if a == address), None)
        if kind == "wipe" and cluster.has_voters(5) and len(cluster.alive()) == 5:
            cluster.start_with_blank_disk(address)
        elif kind == "crash" and identity in cluster.nodes:
            cluster.crash(identity)
        elif kind == "freeze" and identity and len(cluster.frozen) < 2:
            cluster.frozen.add(identity)
        elif kind == "thaw" and identity:
            cluster.frozen.discard(identity)
        elif kind == "cut" and identity:
            others = [i for i in cluster.nodes if i != identity]
            cluster.links_down |= {(identity, o) for o in others} | {(o, identity) for o in others}
        elif kind == "heal":
            cluster.links_down.clear()
        elif kind == "propose":
            for leader in cluster.leaders():
                cluster.propose(leader)
        cluster.run_and_adjust(1)
    cluster.heal()
    cluster.run_and_adjust(15)
    assert cluster.propose(cluster.leader()) is not None
    cluster.run(2)
    committed = cluster.values()
    assert committed == sorted(committed)
    assert committed[-1] == cluster.last_value


def test_planted_mistake_of_wiped_members_that_keep_their_identity_is_caught():
    """Two of three voters that lose their disks but keep their identity elect a leader that lacks
    acknowledged entries; the oracle of the cluster must notice."""
    caught = 0
    for seed in range(10):
        cluster = SelfAdjustingCluster(3, seed)
        cluster.run(3)
        leader = cluster.leader()
        cluster.propose(leader)
        cluster.run(1)
        try:
            cluster.frozen.add(leader)
            for identity in [n for n in cluster.nodes if n != leader]:
                store = journal.MemoryJournal(identity)
                members = replica_messages.Members(
                    {f"n{i}.0": f"addr{i}" for i in range(3)}
                ).to_wire()
                store.append(journal.Entry(1, 1, "members", members))
                store.sync()
                cluster.checked_index.pop(identity, None)
                cluster.open(store)
            cluster.run(6)
            cluster.propose(cluster.leader())
            cluster.run(2)
        except AssertionError:
            caught += 1
    assert caught > 0


def test_change_of_two_voters_at_once_is_refused():
    cluster = SelfAdjustingCluster(3, 1)
    cluster.run(3)
    node = cluster.nodes[cluster.leader()]
    with pytest.raises(errors.InvalidInputError):
        node.propose_members(replica_messages.Members({"x": "x", "y": "y"}), cluster.now)
