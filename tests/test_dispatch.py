"""Dispatch: outcomes of refusals against simulated attempts, the retry budget, and headers."""

import hypothesis
import hypothesis.strategies as st

from flamingotiller import claims, dispatch

# "cut-before" and "cut-after": the connection broke before or after the endpoint ran the request.
ATTEMPTS = st.lists(
    st.sampled_from(["ran", "shed", "no-connection", "cut-before", "cut-after"]), max_size=4
)


@hypothesis.settings(deadline=None, derandomize=True, max_examples=500)
@hypothesis.given(
    attempts=ATTEMPTS,
    idempotent=st.booleans(),
    has_id=st.booleans(),
    claim=st.sampled_from([None, *claims.State]),
    ran_before=st.booleans(),
)
def test_refusal_says_not_run_only_if_the_request_did_not_run(
    attempts, idempotent, has_id, claim, ran_before
):
    needs_claim = has_id and not idempotent
    state = dispatch.DispatchState(needs_claim=needs_claim, claim_state=claim)
    # A claim is granted only if no earlier request with the id may have run.
    earlier_ran = needs_claim and ran_before and claim is not claims.State.GRANTED
    runs = 0
    if not needs_claim or claim is claims.State.GRANTED:
        for attempt in attempts:
            if attempt == "no-connection":
                continue
            state.begin_attempt()
            if attempt == "shed":
                state.mark_not_run()
            runs += attempt in ("ran", "cut-after")
            if not state.may_retry(idempotent):
                break
    if state.outcome is dispatch.Outcome.NOT_RUN:
        assert runs == 0
        assert not earlier_ran
    if not idempotent:
        assert runs <= 1


def test_retries_are_limited_to_a_fraction_of_requests():
    budget = dispatch.RetryBudget(fraction=0.1, reserve=5.0)
    retries = 0
    for _ in range(1000):
        budget.on_first_attempt()
        retries += budget.take()
    assert retries <= 0.1 * 1000 + 5


def test_hop_by_hop_credential_and_internal_headers_are_not_forwarded():
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
