"""Property test of the ramp's growth limit, and a test of the link budget."""

import hypothesis
import hypothesis.strategies as st

from flamingotiller import clock, shift

POLICY = shift.RampPolicy(clock.seconds(1), 0.25, 1.0)


@hypothesis.settings(deadline=None, derandomize=True, max_examples=200)
@hypothesis.given(
    steps=st.lists(st.tuples(st.floats(0.01, 3), st.floats(0, 50)), max_size=40),
    capacity=st.floats(1, 40),
)
def test_amount_grows_by_at_most_the_limit_in_any_interval(steps, capacity):
    now = clock.seconds(1)
    ramp = shift.Ramp(POLICY, now)
    history = [(now, 0.0)]
    for wait, wanted in steps:
        now += clock.seconds(wait)
        amount = min(wanted, ramp.limit(capacity, now))
        ramp.record(amount, now)
        history.append((now, amount))
    step_limit = max(POLICY.minimum, POLICY.fraction * capacity)
    for position, (at, amount) in enumerate(history):
        assert amount <= capacity
        # An interval overlaps at most two steps, so the growth is bounded by two step limits.
        recent = [a for t, a in history[:position] if at - t <= 2 * POLICY.interval]
        assert amount <= max(recent, default=0.0) + 2 * step_limit + 1e-6


def test_link_budget_allows_nothing_until_a_negative_balance_is_refilled():
    now = clock.seconds(1)
    budget = shift.LinkBudget(8000.0, now)
    assert budget.allows(now)
    budget.spend(2000, now)
    assert not budget.allows(now)
    assert not budget.allows(now + clock.seconds(0.9))
    assert budget.allows(now + clock.seconds(1.1))
