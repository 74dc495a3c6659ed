"""Claims: an id runs at most once, and a home that forgot says so."""

import datetime

import hypothesis
import hypothesis.stateful as stateful
import hypothesis.strategies as st
import pytest

from flamingotiller import claims, clock

RETENTION = datetime.timedelta(seconds=100)


class ClaimMachine(stateful.RuleBasedStateMachine):
    """Arrivals of a few ids at a home that restarts; the oracle counts runs."""

    epochs = True

    def __init__(self):
        super().__init__()
        self.now = clock.seconds(5)
        self.epoch = 1
        self.started = self.now
        self.home = self.new_home()
        self.ids = []
        self.runs = {}
        self.number = 0
        self.open = []

    def new_home(self):
        return claims.IssuedClaims("a-1", self.epoch if self.epochs else 1, self.started, RETENTION)

    @stateful.initialize()
    def first(self):
        self.issue()

    @stateful.rule()
    def issue(self):
        self.ids.append(self.home.issue("a", f"n{len(self.ids)}", self.now) + "1")

    @stateful.rule(seconds=st.sampled_from([1, 30, 99, 101, 250]))
    def time_passes(self, seconds):
        self.now += clock.seconds(seconds)

    @stateful.rule()
    def home_restarts(self):
        self.epoch += 1
        if self.epochs:
            self.started = self.now
        self.home = self.new_home()

    @stateful.rule(number=st.integers(0, 99), doubled=st.booleans())
    def arrive(self, number, doubled):
        id_ = self.ids[number % len(self.ids)]
        self.number += 1
        arrival = f"arrival-{self.number}"
        for _ in range(2 if doubled else 1):
            verdict = self.home.claim("growers", id_, arrival, "addr", self.now)
        if verdict.state is claims.State.GRANTED:
            self.open.append((id_, arrival))

    @stateful.rule(number=st.integers(0, 99), ran=st.booleans())
    def end(self, number, ran):
        if not self.open:
            return
        id_, arrival = self.open.pop(number % len(self.open))
        if ran:
            self.runs[id_] = self.runs.get(id_, 0) + 1
            self.home.finish("growers", id_, arrival)
        else:
            self.home.release("growers", id_, arrival)

    @stateful.invariant()
    def at_most_once(self):
        assert all(count == 1 for count in self.runs.values()), self.runs


ClaimMachine.TestCase.settings = hypothesis.settings(
    max_examples=100, stateful_step_count=30, deadline=None, derandomize=True
)
TestClaims = ClaimMachine.TestCase


def test_planted_mistake_of_a_forgetful_home_is_caught():
    class Planted(ClaimMachine):
        epochs = False

    def history(kind):
        machine = kind()
        machine.first()
        machine.arrive(0, False)
        machine.end(0, True)
        machine.home_restarts()
        machine.arrive(0, False)
        machine.end(0, True)
        machine.at_most_once()

    history(ClaimMachine)
    with pytest.raises(AssertionError):
        history(Planted)


def test_full_table_decides_nothing():
    table = claims.ClaimTable(RETENTION, capacity=1)
    assert table.claim("o", "1", "a", "h", clock.ZERO).state is claims.State.GRANTED
    assert table.claim("o", "2", "b", "h", clock.ZERO) is None
    table.release("o", "1", "a")
    assert table.claim("o", "2", "b", "h", clock.ZERO).state is claims.State.GRANTED


def test_organisations_do_not_share_ids():
    table = claims.ClaimTable(RETENTION)
    table.claim("o", "1", "a", "h", clock.ZERO)
    assert table.claim("p", "1", "b", "h", clock.ZERO).state is claims.State.GRANTED


@pytest.mark.parametrize(
    "text", ["", "mine", "f1.a.b.c.d.e.f", "f1.a.b.1.2.n.", "f2.a.b.1.2.n.x", "f1.a.b.1.-2.n.x"]
)
def test_other_ids_are_the_callers_own(text):
    assert claims.parse_issued_id(text) is None


def test_outcomes_are_bounded_in_bytes_and_time():
    store = claims.OutcomeStore(RETENTION, capacity_bytes=100)
    for number in range(5):
        store.put("o", str(number), claims.Outcome(200, [], b"x" * 40), clock.ZERO)
    assert store.get("o", "0") is None
    assert store.get("o", "4").status == 200
    store.put("o", "9", claims.Outcome(200, [], b""), RETENTION * 2)
    assert store.get("o", "4") is None
