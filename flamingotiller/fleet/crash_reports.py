"""A gateway's part in finding requests that end endpoints: it reports the ends that it sees, and
asks for trials of suspects. While nobody can be told it goes by what it has seen itself."""

from __future__ import annotations

import asyncio
import collections
import collections.abc
import datetime
import typing

from flamingotiller import clock, errors, events
from flamingotiller.fleet import endpoint_limits, forwarding, model, reachability, suspects

# Calls a steward: path and body; returns the response's document.
Call = collections.abc.Callable[
    [str, dict[str, typing.Any]], collections.abc.Awaitable[dict[str, typing.Any]]
]

# A reported suspect is remembered until the view surely has it.
TOLD_LIFETIME = clock.seconds(10)
# How long after it was asked for a trial may begin: a gateway may be paused in between.
TRIAL_START_LIFETIME = clock.seconds(1)
# Attempts to deliver the outcome of a trial, and the pause between them.
MAX_OUTCOME_ATTEMPTS = 5
OUTCOME_PAUSE = clock.seconds(0.5)


class CrashReports:
    """Ends of endpoints as one gateway sees them.

    Args:
        prober: Tells whether an endpoint has ended.
        call: Calls a steward.
        clk: Clock.
    """

    def __init__(self, prober: reachability.Prober, call: Call, clk: clock.Clock) -> None:
        self._prober = prober
        self._call = call
        self._clock = clk
        self._ledger = suspects.EndLedger()
        self._lost_by_lifetime: dict[str, set[str]] = {}
        self._check_by_lifetime: dict[str, asyncio.Future[bool]] = {}
        self._unreported: collections.OrderedDict[str, set[str]] = collections.OrderedDict()
        self._told_until: dict[str, datetime.timedelta] = {}
        self._tasks: set[asyncio.Future[typing.Any]] = set()

    async def close(self) -> None:
        """Cancels the reports in progress."""
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def is_suspect(self, fingerprint: str) -> bool:
        """Returns whether a request is a suspect by what this gateway has seen or been told."""
        now = self._clock.monotonic()
        until = self._told_until.get(fingerprint)
        return (until is not None and now < until) or self._ledger.is_suspect(fingerprint, now)

    def clear(self, fingerprint: str) -> None:
        """Forgets what was seen of a request that is not a suspect any more."""
        self._ledger.clear(fingerprint)
        self._told_until.pop(fingerprint, None)

    async def on_connection_lost(
        self,
        endpoint: model.Endpoint,
        fingerprint: str,
        others: collections.abc.Iterable[model.Endpoint],
    ) -> bool:
        """Finds out whether an endpoint that broke a connection has ended; reports it if so.

        All requests that were in flight there wait for one report, so that none of them is tried
        again before the others have been told.

        Returns:
            Whether the endpoint has ended.
        """
        lifetime = endpoint_limits.lifetime_key(endpoint)
        self._lost_by_lifetime.setdefault(lifetime, set()).add(fingerprint)
        check = self._check_by_lifetime.get(lifetime)
        if check is None:
            check = self._spawn(self._check_and_report(endpoint, lifetime, others))
            self._check_by_lifetime[lifetime] = check
        return await asyncio.shield(check)

    def _spawn(self, work: collections.abc.Coroutine[typing.Any, typing.Any, typing.Any]):
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def _check_and_report(
        self,
        endpoint: model.Endpoint,
        lifetime: str,
        others: collections.abc.Iterable[model.Endpoint],
    ) -> bool:
        try:
            ended = await self._prober.has_ended(endpoint, others)
        finally:
            # Connections that are noticed later begin another check.
            del self._check_by_lifetime[lifetime]
            fingerprints = self._lost_by_lifetime.pop(lifetime)
        if not ended:
            return False
        self._ledger.record(lifetime, fingerprints, self._clock.monotonic())
        events.emit(
            events.ENDPOINT_ENDED,
            endpoint=endpoint.id,
            service=endpoint.service,
            fingerprints=sorted(fingerprints),
        )
        self._unreported.setdefault(lifetime, set()).update(fingerprints)
        while len(self._unreported) > suspects.MAX_REPORTED_ENDS:
            self._unreported.popitem(last=False)
        await self._deliver()
        return True

    def deliver_soon(self) -> None:
        """Reports the ends again that no steward has taken yet, in the background."""
        if self._unreported:
            self._spawn(self._deliver())

    async def _deliver(self) -> None:
        sent = {
            end: sorted(fingerprints)[: suspects.MAX_REPORTED_REQUESTS]
            for end, fingerprints in self._unreported.items()
        }
        if not sent:
            return
        try:
            document = await self._call("/v1/ends", {"ends": sent})
        except errors.FlamingotillerError:
            return  # logged by the caller of the steward; the next poll's response tries again
        for end, fingerprints in sent.items():
            unreported = self._unreported.get(end, set())
            unreported.difference_update(fingerprints)
            if not unreported:
                self._unreported.pop(end, None)
        now = self._clock.monotonic()
        self._told_until = {f: until for f, until in self._told_until.items() if now < until}
        for fingerprint in document["suspects"]:
            self._told_until[fingerprint] = now + TOLD_LIFETIME

    async def begin_trial(self, job: forwarding.Job) -> datetime.timedelta | None:
        """Asks for a trial of a suspect.

        Returns:
            The time by which the request has to be sent; None if it may not run now.
        """
        now = self._clock.monotonic()
        body = {
            "trial": job.request_id,
            "fingerprint": job.fingerprint,
            "service": job.service,
            "duration_s": max(0.0, (job.deadline - now).total_seconds()),
            "ends": self._ledger.ends(job.fingerprint, now),
        }
        try:
            document = await self._call("/v1/trial", body)
        except BaseException as error:
            # The trial may have been granted.
            self.report_trial(job, suspects.TrialOutcome.NOT_RUN)
            if isinstance(error, errors.FlamingotillerError):
                return None  # logged by the caller of the steward; the request is refused
            raise
        return now + TRIAL_START_LIFETIME if document.get("granted") is True else None

    def report_trial(self, job: forwarding.Job, outcome: suspects.TrialOutcome) -> None:
        """Reports the outcome of a trial in the background."""
        body = {
            "trial": job.request_id,
            "fingerprint": job.fingerprint,
            "service": job.service,
            "outcome": outcome.value,
        }
        self._spawn(self._deliver_outcome(body))

    async def _deliver_outcome(self, body: dict[str, typing.Any]) -> None:
        for _ in range(MAX_OUTCOME_ATTEMPTS):
            try:
                await self._call("/v1/trial-outcome", body)
            except errors.FlamingotillerError:
                # Logged by the caller of the steward.
                await asyncio.sleep(OUTCOME_PAUSE.total_seconds())
            else:
                return
