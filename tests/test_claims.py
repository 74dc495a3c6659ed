"""Claims: a request id runs at most once, also when its home restarts and loses its claims."""

import datetime

import hypothesis
import hypothesis.stateful as stateful
import hypothesis.strategies as st
import pytest

from flamingotiller import claims, clock

RETENTION = datetime.timedelta(seconds=100)


class ClaimMachine(stateful.RuleBasedStateMachine):
    """Requests with a few ids claim them at a home that restarts; runs of each id are counted.

    Attributes:
        epochs: Whether the home gets a new epoch when it restarts.
    """

    epochs = True

    def __init__(self):
        super().__init__()
        self.now = clock.seconds(5)
        self.epoch = 1
        self.started = self.now
        self.home = self.new_home()
        self.ids = []
        self.runs_by_id = {}
        self.request_count = 0
        self.granted = []

    def new_home(self):
        return claims.IssuedClaims("a-1", self.epoch if self.epochs else 1, self.started, RETENTION)

    @stateful.initialize()
    def issue_first_id(self):
        self.issue_id()

    @stateful.rule()
    def issue_id(self):
        self.ids.append(self.home.issue("a", f"n{len(self.ids)}", self.now) + "1")

    @stateful.rule(seconds=st.sampled_from([1, 30, 99, 101, 250]))
    def advance_time(self, seconds):
        self.now += clock.seconds(seconds)

    @stateful.rule()
    def restart_home(self):
        self.epoch += 1
        if self.epochs:
            self.started = self.now
        self.home = self.new_home()

    @stateful.rule(number=st.integers(0, 99), repeated=st.booleans())
    def claim_id(self, number, repeated):
        request_id = self.ids[number % len(self.ids)]
        self.request_count += 1
        token = f"arrival-{self.request_count}"
        for _ in range(2 if repeated else 1):
            verdict = self.home.claim("growers", request_id, token, "addr", self.now)
        if verdict.state is claims.State.GRANTED:
            self.granted.append((request_id, token))

    @stateful.rule(number=st.integers(0, 99), ran=st.booleans())
    def end_request(self, number, ran):
        if not self.granted:
            return
        request_id, token = self.granted.pop(number % len(self.granted))
        if ran:
            self.runs_by_id[request_id] = self.runs_by_id.get(request_id, 0) + 1
            self.home.finish("growers", request_id, token)
        else:
            self.home.release("growers", request_id, token)

    @stateful.invariant()
    def each_id_runs_at_most_once(self):
        assert all(count == 1 for count in self.runs_by_id.values()), self.runs_by_id


ClaimMachine.TestCase.settings = hypothesis.settings(
    max_examples=100, stateful_step_count=30, deadline=None, derandomize=True
)
TestClaims = ClaimMachine.TestCase


def test_state_machine_detects_a_home_that_keeps_its_epoch():
    """A home that restarts without a new epoch grants an id again that has already run."""

    class HomeWithoutEpochs(ClaimMachine):
        epochs = False

    def run_id_before_and_after_a_restart(machine_type):
        machine = machine_type()
        machine.issue_first_id()
        machine.claim_id(0, False)
        machine.end_request(0, True)
        machine.restart_home()
        machine.claim_id(0, False)
        machine.end_request(0, True)
        machine.each_id_runs_at_most_once()

    run_id_before_and_after_a_restart(ClaimMachine)
    with pytest.raises(AssertionError):
        run_id_before_and_after_a_restart(HomeWithoutEpochs)


def test_full_table_claims_no_id():
    table = claims.ClaimTable(RETENTION, capacity=1)
    assert table.claim("o", "1", "a", "h", clock.ZERO).state is claims.State.GRANTED
    assert table.claim("o", "2", "b", "h", clock.ZERO) is None
    table.release("o", "1", "a")
    assert table.claim("o", "2", "b", "h", clock.ZERO).state is claims.State.GRANTED


def test_same_id_of_two_organisations_is_claimed_separately():
    table = claims.ClaimTable(RETENTION)
    table.claim("o", "1", "a", "h", clock.ZERO)
    assert table.claim("p", "1", "b", "h", clock.ZERO).state is claims.State.GRANTED


@pytest.mark.parametrize(
    "text", ["", "mine", "f1.a.b.c.d.e.f", "f1.a.b.1.2.n.", "f2.a.b.1.2.n.x", "f1.a.b.1.-2.n.x"]
)
def test_text_that_is_not_an_issued_id_is_taken_for_a_callers_id(text):
    assert claims.parse_issued_id(text) is None


def test_outcomes_are_dropped_beyond_the_capacity_or_retention():
    store = claims.OutcomeStore(RETENTION, capacity_bytes=100)
    for number in range(5):
        store.put("o", str(number), claims.Outcome(200, [], b"x" * 40), clock.ZERO)
    assert store.get("o", "0") is None
    assert store.get("o", "4").status == 200
    store.put("o", "9", claims.Outcome(200, [], b""), RETENTION * 2)
    assert store.get("o", "4") is None
