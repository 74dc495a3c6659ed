"""The ramp of shifts, fuzzed against its cap, and the link budget."""

import hypothesis
import hypothesis.strategies as st

from flamingotiller import clock, shift

POLICY = shift.RampPolicy(clock.seconds(1), 0.25, 1.0)


@hypothesis.settings(deadline=None, derandomize=True, max_examples=200)
@hypothesis.given(
    steps=st.lists(st.tuples(st.floats(0.01, 3), st.floats(0, 50)), max_size=40),
    capacity=st.floats(1, 40),
)
def test_amount_grows_by_at_most_the_cap_in_any_interval(steps, capacity):
    now = clock.seconds(1)
    ramp = shift.Ramp(POLICY, now)
    history = [(now, 0.0)]
    for wait, wish in steps:
        now += clock.seconds(wait)
        amount = min(wish, ramp.limit(capacity, now))
        ramp.note(amount, now)
        history.append((now, amount))
    cap = max(POLICY.minimum, POLICY.fraction * capacity)
    for position, (at, amount) in enumerate(history):
        assert amount <= capacity
        # Two steps meet in one interval at most, so the growth is bounded by two caps.
        recent = [a for t, a in history[:position] if at - t <= 2 * POLICY.interval]
        assert amount <= max(recent, default=0.0) + 2 * cap + 1e-6


def test_link_budget_pays_debts_before_it_allows_more():
    now = clock.seconds(1)
    budget = shift.LinkBudget(8000.0, now)
    assert budget.allows(now)
    budget.spend(2000, now)
    assert not budget.allows(now)
    assert not budget.allows(now + clock.seconds(0.9))
    assert budget.allows(now + clock.seconds(1.1))
