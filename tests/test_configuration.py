"""Tests of the configuration: concurrent changes, change ids, keys, deltas and snapshots."""

import dataclasses

import hypothesis
import hypothesis.stateful as stateful
import hypothesis.strategies as st
import pytest

from flamingotiller import configuration, errors

CONTRACT = {
    "organisation": "growers",
    "rate": 10,
    "burst": 10,
    "max_keys": 2,
    "routes": [{"name": "r", "path": "/", "service": "s"}],
}


def change(number, subject="drain/zone/a", base=None, value=None, who="alice"):
    value = {"reason": str(number)} if value is None else value
    return configuration.Change(f"c{number}", who, "now", subject, base, value)


def test_second_change_of_a_version_is_refused_and_names_the_winner():
    state = configuration.Configuration()
    first = state.apply(change(1, base=0))
    second = state.apply(change(2, base=0, who="bob"))
    assert first.accepted
    assert not second.accepted
    assert second.winner == "c1"
    assert state.version == 1


def test_resent_change_gets_its_first_verdict_after_a_snapshot():
    state = configuration.Configuration()
    first = state.apply(change(1, base=0))
    refused = state.apply(change(2, base=0))
    restored = configuration.Configuration.from_wire(state.to_wire())
    assert restored.apply(change(1, base=0)) == first
    assert restored.apply(change(2, base=0)) == refused
    assert restored.version == 1


def test_contract_limits_the_number_of_keys():
    state = configuration.Configuration()
    key = {"salt": "00", "digest": "x"}
    assert not state.apply(change(1, "key/growers/a", 0, key)).accepted
    state.apply(change(2, "contract/growers", 0, CONTRACT))
    for number, name in enumerate("ab"):
        assert state.apply(change(10 + number, f"key/growers/{name}", 0, key)).accepted
    refused = state.apply(change(20, "key/growers/c", 0, key))
    assert "2 keys" in refused.reason


def test_removing_an_absent_subject_is_refused():
    state = configuration.Configuration()
    removal = configuration.Change("c", "alice", "now", "drain/zone/a", None, None)
    assert state.apply(removal).reason == "no such subject"


@pytest.mark.parametrize(
    ("subject", "value"),
    [
        ("nothing", {}),
        ("other/x", {}),
        ("contract/", CONTRACT),
        ("contract/other", CONTRACT),
        ("contract/growers", {**CONTRACT, "rate": -1}),
        ("contract/growers", {**CONTRACT, "extra": 1}),
        ("key/growers/a", {"salt": 1, "digest": "x"}),
        ("drain/planet/a", {"reason": "x"}),
        ("quarantine/x", {}),
        ("deployment/main", {"zones": []}),
    ],
)
def test_malformed_change_fails_validation(subject, value):
    with pytest.raises(errors.InvalidInputError):
        configuration.check_change(change(1, subject, 0, value))


def test_key_matches_only_its_own_secret():
    text, key_id, key = configuration.generate_key("growers")
    secret = text.split(".", 2)[2]
    assert text.startswith(f"growers.{key_id}.")
    assert key.matches(secret)
    assert not key.matches(secret + "x")
    assert secret not in str(key)


class DeltaMachine(stateful.RuleBasedStateMachine):
    """A leader and three processes that absorb deltas of each other.

    Versions never decrease, and a process with the leader's version has the leader's items.
    """

    def __init__(self):
        super().__init__()
        self.states = [configuration.Configuration() for _ in range(4)]
        self.last_versions = [0, 0, 0, 0]
        self.stored_deltas = []
        self.change_count = 0

    @stateful.rule(name=st.sampled_from("abcde"), remove=st.booleans())
    def apply(self, name, remove):
        self.change_count += 1
        value = None if remove else {"reason": str(self.change_count)}
        request = configuration.Change(
            f"c{self.change_count}", "alice", "now", f"drain/zone/{name}", None, value
        )
        self.states[0].apply(request)

    @stateful.rule(child=st.integers(1, 3), parent=st.integers(0, 3), keep=st.booleans())
    def transfer_delta(self, child, parent, keep):
        delta = self.states[parent].delta(self.states[child].version)
        if keep:
            self.stored_deltas.append(delta)
        self.states[child].absorb(delta)

    @stateful.rule(child=st.integers(1, 3), number=st.integers(0, 99))
    def delayed_or_duplicated_delta(self, child, number):
        """Delivers a delta that was made for another process or at an earlier time."""
        if self.stored_deltas:
            delta = self.stored_deltas[number % len(self.stored_deltas)]
            if delta["full"] or delta["version"] <= self.states[child].version:
                self.states[child].absorb(delta)

    @stateful.rule(child=st.integers(1, 3))
    def restart(self, child):
        self.states[child] = configuration.Configuration()
        self.last_versions[child] = 0

    @stateful.invariant()
    def versions_never_decrease(self):
        for number, state in enumerate(self.states):
            assert state.version >= self.last_versions[number]
            self.last_versions[number] = state.version

    @stateful.invariant()
    def equal_versions_have_equal_items(self):
        for state in self.states[1:]:
            if state.version == self.states[0].version:
                assert state.item_by_subject == self.states[0].item_by_subject


DeltaMachine.TestCase.settings = hypothesis.settings(
    max_examples=80, stateful_step_count=40, deadline=None, derandomize=True
)
TestDeltas = DeltaMachine.TestCase


def test_delta_beyond_the_history_is_full(monkeypatch):
    monkeypatch.setattr(configuration, "DELTA_HISTORY", 8)
    state = configuration.Configuration()
    for number in range(30):
        state.apply(change(number, f"drain/zone/z{number}"))
    assert state.delta(1)["full"]
    assert not state.delta(25)["full"]
    recipient = configuration.Configuration()
    recipient.absorb(state.delta(0))
    assert recipient.item_by_subject == state.item_by_subject


@pytest.mark.parametrize(
    "document", [{}, {"version": 1}, {"version": "x", "full": True, "items": {}}]
)
def test_malformed_delta_changes_nothing(document):
    state = configuration.Configuration()
    with pytest.raises(errors.InvalidInputError):
        state.absorb(document)
    assert state.version == 0


def test_snapshot_is_not_changed_by_later_changes():
    state = configuration.Configuration()
    state.apply(change(1, "contract/growers", 0, CONTRACT))
    state.apply(change(2))
    snapshot = state.to_wire()
    taken = repr(snapshot)
    state.apply(change(3, "drain/zone/b"))
    removal = change(4)
    state.apply(dataclasses.replace(removal, value=None))
    state.apply(change(5, "contract/growers", None, {**CONTRACT, "rate": 20}))
    assert repr(snapshot) == taken
