"""Runs a program of the platform with a mistake planted, named by ``PLANTED_MISTAKE``."""

import os
import sys

from flamingotiller import clock, dispatch
from flamingotiller.fleet import accounting, gateway, model, state
from flamingotiller.platform import __main__ as program


def repeats_what_may_have_run():
    dispatch.DispatchState.may_retry = lambda self, idempotent: True


def says_not_run_of_what_may_have_run():
    dispatch.DispatchState.outcome = property(lambda self: dispatch.Outcome.NOT_RUN)


def keeps_withdrawn_keys():
    apply = model.View._apply_organisation

    def keep(self, name, document):
        known = dict(self._organisation_by_digest)
        apply(self, name, document)
        self._organisation_by_digest = {**known, **self._organisation_by_digest}

    model._APPLY_BY_KIND[model.ORGANISATION] = keep


def gives_without_counting():
    accounting.Account._headroom = lambda self, rate, burst, now: 1000.0
    accounting.Account._refill = lambda self, rate, burst, now: setattr(
        self, "_bucket_tokens", 1000.0
    )


def forgets_drains():
    report = state.FleetState._report

    def ignore(self, command):
        if command["endpoint"]["draining"]:
            return state.ACCEPTED
        return report(self, command)

    state._APPLY_BY_KIND["report"] = ignore


def answers_crossed():
    serve = gateway.Gateway._record_served

    def note(self, job, status, trace):
        gateway.Gateway.last_id = job.request_id
        serve(self, job, status, trace)

    gateway.Gateway._record_served = note
    choose = gateway.Gateway._dispatch

    async def run(self, job, arrival, reply, trace):
        answer = await choose(self, job, arrival, reply, trace)
        held, gateway.Gateway.held = getattr(gateway.Gateway, "held", answer), answer
        return held

    gateway.Gateway._dispatch = run


if __name__ == "__main__":
    globals()[os.environ["PLANTED_MISTAKE"]]()
    gateway.SHUTDOWN_DELAY = clock.seconds(0.5)
    sys.exit(program.main(sys.argv[1:]))
