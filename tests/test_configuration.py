"""Configuration: one winner among racing changes, change ids, deltas that only go up."""

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


def test_of_two_operators_with_equal_numbers_one_wins_and_the_other_sees_who():
    state = configuration.Configuration()
    first = state.apply(change(1, base=0))
    second = state.apply(change(2, base=0, who="bob"))
    assert first.accepted
    assert not second.accepted
    assert second.winner == "c1"
    assert state.version == 1


def test_resent_change_gets_its_first_answer_over_a_snapshot():
    state = configuration.Configuration()
    first = state.apply(change(1, base=0))
    refused = state.apply(change(2, base=0))
    revived = configuration.Configuration.from_wire(state.to_wire())
    assert revived.apply(change(1, base=0)) == first
    assert revived.apply(change(2, base=0)) == refused
    assert revived.version == 1


def test_keys_are_bounded_by_the_contract():
    state = configuration.Configuration()
    key = {"salt": "00", "digest": "x"}
    assert not state.apply(change(1, "key/growers/a", 0, key)).accepted
    state.apply(change(2, "contract/growers", 0, CONTRACT))
    for number, name in enumerate("ab"):
        assert state.apply(change(10 + number, f"key/growers/{name}", 0, key)).accepted
    refused = state.apply(change(20, "key/growers/c", 0, key))
    assert "2 keys" in refused.reason


def test_removing_what_is_not_there_is_refused():
    state = configuration.Configuration()
    asked = configuration.Change("c", "alice", "now", "drain/zone/a", None, None)
    assert state.apply(asked).reason == "no such subject"


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
def test_malformed_change_is_refused_at_the_border(subject, value):
    with pytest.raises(errors.InvalidInputError):
        configuration.check_change(change(1, subject, 0, value))


def test_key_matches_only_its_own_secret():
    text, key_id, key = configuration.generate_key("growers")
    secret = text.split(".", 2)[2]
    assert text.startswith(f"growers.{key_id}.")
    assert key.matches(secret)
    assert not key.matches(secret + "x")
    assert secret not in str(key)


class SpreadMachine(stateful.RuleBasedStateMachine):
    """A leader and a chain of feeds: versions only go up and end equal."""

    def __init__(self):
        super().__init__()
        self.states = [configuration.Configuration() for _ in range(4)]
        self.held = [0, 0, 0, 0]
        self.old = []
        self.number = 0

    @stateful.rule(name=st.sampled_from("abcde"), remove=st.booleans())
    def apply(self, name, remove):
        self.number += 1
        value = None if remove else {"reason": str(self.number)}
        asked = configuration.Change(
            f"c{self.number}", "alice", "now", f"drain/zone/{name}", None, value
        )
        self.states[0].apply(asked)

    @stateful.rule(child=st.integers(1, 3), parent=st.integers(0, 3), keep=st.booleans())
    def spread(self, child, parent, keep):
        delta = self.states[parent].delta(self.states[child].version)
        if keep:
            self.old.append(delta)
        self.states[child].absorb(delta)

    @stateful.rule(child=st.integers(1, 3), number=st.integers(0, 99))
    def late_or_doubled_message(self, child, number):
        """An answer that was asked for by another process, or long ago, and comes now."""
        if self.old:
            delta = self.old[number % len(self.old)]
            if delta["full"] or delta["version"] <= self.states[child].version:
                self.states[child].absorb(delta)

    @stateful.rule(child=st.integers(1, 3))
    def restart(self, child):
        self.states[child] = configuration.Configuration()
        self.held[child] = 0

    @stateful.invariant()
    def versions_only_go_up(self):
        for number, state in enumerate(self.states):
            assert state.version >= self.held[number]
            self.held[number] = state.version

    @stateful.invariant()
    def equal_versions_are_equal(self):
        for state in self.states[1:]:
            if state.version == self.states[0].version:
                assert state.item_by_subject == self.states[0].item_by_subject


SpreadMachine.TestCase.settings = hypothesis.settings(
    max_examples=80, stateful_step_count=40, deadline=None, derandomize=True
)
TestSpread = SpreadMachine.TestCase


def test_delta_beyond_the_history_is_everything(monkeypatch):
    monkeypatch.setattr(configuration, "DELTA_HISTORY", 8)
    state = configuration.Configuration()
    for number in range(30):
        state.apply(change(number, f"drain/zone/z{number}"))
    assert state.delta(1)["full"]
    assert not state.delta(25)["full"]
    behind = configuration.Configuration()
    behind.absorb(state.delta(0))
    assert behind.item_by_subject == state.item_by_subject


@pytest.mark.parametrize(
    "document", [{}, {"version": 1}, {"version": "x", "full": True, "items": {}}]
)
def test_malformed_delta_changes_nothing(document):
    state = configuration.Configuration()
    with pytest.raises(errors.InvalidInputError):
        state.absorb(document)
    assert state.version == 0
