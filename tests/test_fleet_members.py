"""The log under its own membership changes: members are wiped, cut off, replaced at new addresses,
crash and come back while the leader adjusts the membership."""

import hypothesis
import hypothesis.strategies as st
import pytest
import replica_cluster

from flamingotiller import errors, journal, replica_messages
from flamingotiller.fleet import log_membership


class Fleet(replica_cluster.Cluster):
    """A cluster whose leader changes the membership by itself."""

    def __init__(self, size, seed):
        super().__init__(size, seed)
        self.address_of = {f"n{i}.0": f"addr{i}" for i in range(size)}
        self.generation = 0

    def newcomer(self, address):
        """Starts an instance with a blank disk; whatever was at the address is gone for good."""
        for identity, held in list(self.address_of.items()):
            if held == address:
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
            asking = [
                log_membership.JoinRequest(other, address, address, self.now)
                for other, address in self.address_of.items()
                if other in self.nodes
                and other not in self.frozen
                and other != identity
                and (other, identity) not in self.links_down
            ]
            sightings = {
                other: log_membership.MemberProgress(progress.match, progress.acked_at)
                for other in (*node.members.voters, *node.members.learners)
                if other != identity and (progress := node.progress_of(other))
            }
            wanted = log_membership.next_members(
                node.members, asking, sightings, dict(self.address_of), node.commit, self.now
            )
            if wanted:
                self.change_members(identity, lambda held, wanted=wanted: wanted)

    def live(self, seconds):
        for _ in range(int(seconds / 0.5)):
            self.run(0.5)
            self.adjust()

    def settled(self, size):
        leaders = self.leaders()
        return leaders and len(self.nodes[leaders[0]].members.voters) == size


@pytest.mark.parametrize("seed", range(8))
def test_members_that_lose_their_disks_one_after_the_other_are_replaced(seed):
    fleet = Fleet(5, seed)
    fleet.live(4)
    for address in ("addr0", "addr3", "addr1", "addr0"):
        assert fleet.propose(fleet.leader()) is not None
        fleet.run(1)
        fleet.newcomer(address)
        fleet.live(12)
        members = fleet.nodes[fleet.leader()].members
        assert sorted(members.voters.values()) == [f"addr{i}" for i in range(5)]
        assert not members.learners
    assert fleet.values() == list(range(1, 5))


actions = st.lists(
    st.tuples(
        st.sampled_from(["wipe", "crash", "freeze", "thaw", "cut", "heal", "propose", "live"]),
        st.integers(0, 4),
    ),
    max_size=25,
)


@hypothesis.settings(derandomize=True, max_examples=60, deadline=None)
@hypothesis.given(actions, st.integers(0, 1000))
def test_nothing_committed_is_lost_or_changed_under_overlapping_troubles(given, seed):
    """One disk at a time is lost, and the next only when the member before it votes again."""
    fleet = Fleet(5, seed)
    fleet.live(4)
    for kind, number in given:
        address = f"addr{number}"
        identity = next((i for i, a in fleet.address_of.items() if a == address), None)
        if kind == "wipe" and fleet.settled(5) and len(fleet.alive()) == 5:
            fleet.newcomer(address)
        elif kind == "crash" and identity in fleet.nodes:
            fleet.crash(identity)
        elif kind == "freeze" and identity and len(fleet.frozen) < 2:
            fleet.frozen.add(identity)
        elif kind == "thaw" and identity:
            fleet.frozen.discard(identity)
        elif kind == "cut" and identity:
            others = [i for i in fleet.nodes if i != identity]
            fleet.links_down |= {(identity, o) for o in others} | {(o, identity) for o in others}
        elif kind == "heal":
            fleet.links_down.clear()
        elif kind == "propose":
            for leader in fleet.leaders():
                fleet.propose(leader)
        fleet.live(1)
    fleet.heal()
    fleet.live(15)
    assert fleet.propose(fleet.leader()) is not None
    fleet.run(2)
    committed = fleet.values()
    assert committed == sorted(committed)
    assert committed[-1] == fleet.next_value


def test_planted_mistake_of_a_wiped_member_that_votes_as_before_is_caught():
    """Two of three voters that forget what they have acknowledged elect a leader without it."""
    caught = 0
    for seed in range(10):
        fleet = Fleet(3, seed)
        fleet.run(3)
        leader = fleet.leader()
        fleet.propose(leader)
        fleet.run(1)
        try:
            fleet.frozen.add(leader)
            for identity in [n for n in fleet.nodes if n != leader]:
                store = journal.MemoryJournal(identity)
                held = replica_messages.Members({f"n{i}.0": f"addr{i}" for i in range(3)}).to_wire()
                store.append(journal.Entry(1, 1, "members", held))
                store.sync()
                fleet.seen.pop(identity, None)
                fleet.open(store)
            fleet.run(6)
            fleet.propose(fleet.leader())
            fleet.run(2)
        except AssertionError:
            caught += 1
    assert caught > 0


def test_membership_that_would_change_two_voters_at_once_is_refused():
    fleet = Fleet(3, 1)
    fleet.run(3)
    node = fleet.nodes[fleet.leader()]
    with pytest.raises(errors.InvalidInputError):
        node.propose_members(replica_messages.Members({"x": "x", "y": "y"}), fleet.now)
