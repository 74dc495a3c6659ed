"""Tests of zone leases: a shard never has two holders, despite lost messages and restarts."""

import hypothesis
import hypothesis.stateful as stateful
import hypothesis.strategies as st
import pytest

from flamingotiller import clock, lease

SEATS = ("a", "b", "c")
DURATION = clock.seconds(3)


class LeaseMachine(stateful.RuleBasedStateMachine):
    """Instances request one shard; no two of them hold it at the same time."""

    voter_class = lease.Voter

    def __init__(self):
        super().__init__()
        self.now = clock.seconds(100)
        self.epoch = dict.fromkeys(SEATS, 1)
        self.voters = {seat: self.voter_class(clock.ZERO, DURATION) for seat in SEATS}
        self.holders = {seat: lease.Holder(seat, DURATION) for seat in SEATS}
        self.requests = []
        self.answers = []

    @stateful.rule(milliseconds=st.sampled_from([1, 50, 400, 1500, 2900, 3100]))
    def time_passes(self, milliseconds):
        self.now += clock.seconds(milliseconds / 1000)

    @stateful.rule(holder=st.sampled_from(SEATS))
    def send_requests(self, holder):
        for voter in SEATS:
            self.requests.append((holder, self.epoch[holder], voter, self.now))

    @stateful.rule(number=st.integers(0, 99), keep=st.booleans())
    def deliver_request(self, number, keep):
        if not self.requests:
            return
        position = number % len(self.requests)
        holder, epoch, voter, sent = self.requests[position]
        if not keep:
            del self.requests[position]
        granted = self.voters[voter].grant([0], holder, epoch, self.now)
        self.answers.append((holder, epoch, voter, granted, sent))

    @stateful.rule(number=st.integers(0, 99))
    def deliver_answer(self, number):
        if not self.answers:
            return
        holder, epoch, voter, granted, sent = self.answers.pop(number % len(self.answers))
        if epoch == self.epoch[holder]:
            self.holders[holder].record_grants(voter, granted, sent)

    @stateful.rule(holder=st.sampled_from(SEATS))
    def request_and_receive_answers(self, holder):
        for voter in SEATS:
            granted = self.voters[voter].grant([0], holder, self.epoch[holder], self.now)
            self.holders[holder].record_grants(voter, granted, self.now)

    @stateful.rule(holder=st.sampled_from(SEATS), reached=st.sets(st.sampled_from(SEATS)))
    def release(self, holder, reached):
        self.holders[holder].release(0)
        self.answers = [a for a in self.answers if a[0] != holder]
        self.requests = [r for r in self.requests if r[0] != holder]
        for voter in reached:
            self.voters[voter].release([0], holder, self.epoch[holder])

    @stateful.rule(seat=st.sampled_from(SEATS))
    def restart(self, seat):
        self.epoch[seat] += 1
        self.voters[seat] = self.voter_class(self.now, DURATION)
        self.holders[seat] = lease.Holder(seat, DURATION)

    @stateful.invariant()
    def at_most_one_holder(self):
        holders = [s for s in SEATS if self.holders[s].holds(0, SEATS, self.now)]
        assert len(holders) <= 1, holders


LeaseMachine.TestCase.settings = hypothesis.settings(
    max_examples=100, stateful_step_count=40, deadline=None, derandomize=True
)
TestLease = LeaseMachine.TestCase


class VoterGrantingAtStart(lease.Voter):
    """Faulty: grants immediately after a restart, although its earlier grants are lost."""

    def __init__(self, started, duration):
        super().__init__(started, duration)
        self._no_grants_until = started


def restart_after_grant(machine):
    """All voters grant to one instance; two of them restart and receive another's request."""
    machine.request_and_receive_answers("a")
    machine.restart("b")
    machine.restart("c")
    machine.request_and_receive_answers("b")
    machine.at_most_one_holder()


def test_machine_detects_voter_that_grants_at_start():
    class FaultyMachine(LeaseMachine):
        voter_class = VoterGrantingAtStart

    restart_after_grant(LeaseMachine())
    with pytest.raises(AssertionError):
        restart_after_grant(FaultyMachine())


def test_only_shards_of_a_removed_instance_move():
    names = [f"i{number}" for number in range(5)]
    before = {shard: lease.preferred_holder(shard, names) for shard in range(lease.SHARD_COUNT)}
    after = {shard: lease.preferred_holder(shard, names[:-1]) for shard in range(lease.SHARD_COUNT)}
    moved = [s for s in before if before[s] != after[s]]
    assert all(before[shard] == names[-1] for shard in moved)
