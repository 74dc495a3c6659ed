"""Dispatch: what a refusal may say, fuzzed against what really happened; headers that pass."""

import hypothesis
import hypothesis.strategies as st

from flamingotiller import claims, dispatch

TRIES = st.lists(
    st.sampled_from(["ran", "shed", "no-connection", "cut-before", "cut-after"]), max_size=4
)


@hypothesis.settings(deadline=None, derandomize=True, max_examples=500)
@hypothesis.given(
    tries=TRIES,
    idempotent=st.booleans(),
    has_id=st.booleans(),
    claim=st.sampled_from([None, *claims.State]),
    ran_before=st.booleans(),
)
def test_not_run_is_only_said_of_what_did_not_run(tries, idempotent, has_id, claim, ran_before):
    needs_claim = has_id and not idempotent
    arrival = dispatch.DispatchState(needs_claim=needs_claim, claim_state=claim)
    # A home grants an id only if no earlier arrival may have run.
    earlier = needs_claim and ran_before and claim is not claims.State.GRANTED
    runs = 0
    if not needs_claim or claim is claims.State.GRANTED:
        for outcome in tries:
            if outcome == "no-connection":
                continue
            arrival.begin_attempt()
            if outcome == "shed":
                arrival.mark_not_run()
            runs += outcome in ("ran", "cut-after")
            if not arrival.may_retry(idempotent):
                break
    if arrival.outcome is dispatch.Outcome.NOT_RUN:
        assert runs == 0
        assert not earlier
    if not idempotent:
        assert runs <= 1


def test_retries_are_a_fraction_of_first_tries():
    budget = dispatch.RetryBudget(fraction=0.1, reserve=5.0)
    spent = 0
    for _ in range(1000):
        budget.on_first_attempt()
        spent += budget.take()
    assert spent <= 0.1 * 1000 + 5


def test_headers_of_the_connection_credentials_and_our_own_do_not_pass():
    headers = [
        (b"accept", b"x"),
        (b"connection", b"close, X-Local"),
        (b"x-local", b"1"),
        (b"transfer-encoding", b"chunked"),
        (b"authorization", b"Bearer secret"),
        (b"flamingotiller-key", b"secret"),
        (b"flamingotiller-organisation", b"forged"),
        (b"upgrade", b"h2c"),
        (b"cookie", b"a=b"),
    ]
    assert dispatch.forwarded_headers(headers) == [(b"accept", b"x"), (b"cookie", b"a=b")]
