"""The leader's part in finding requests that end endpoints: it counts what all gateways have seen,
makes suspects known through the log, and grants trials."""

from __future__ import annotations

import asyncio
import collections.abc
import datetime
import typing

from flamingotiller import clock, events
from flamingotiller.fleet import model, state, suspects

Propose = collections.abc.Callable[[typing.Any], collections.abc.Awaitable[typing.Any]]

# Longest time for which a trial may block others of its service; its gateway may be gone.
MAX_TRIAL_DURATION = clock.seconds(30)
# Suspects that the log holds at a time. Beyond that many, something else ends endpoints.
MAX_SUSPECTS = 1000


class SuspectRegistry:
    """Suspects and trials for one term of leadership.

    The log keeps suspects and the number of their trials. Requests in flight at a single end are
    in this leader's memory only: with a new leader they start again from none.

    Args:
        get_state: Returns the applied state of the log.
        propose: Proposes a command to the log and waits until it is applied.
        clk: Clock.
        since_by_fingerprint: Since when an earlier leader knew suspects, or their quarantines.
    """

    def __init__(
        self,
        get_state: collections.abc.Callable[[], state.FleetState],
        propose: Propose,
        clk: clock.Clock,
        since_by_fingerprint: collections.abc.Mapping[str, datetime.timedelta] | None = None,
    ) -> None:
        self._get_state = get_state
        self._propose = propose
        self._clock = clk
        self._ledger = suspects.EndLedger()
        self._trials = suspects.TrialSchedule()
        self._known_since = dict(since_by_fingerprint or {})
        # Commands are derived from the applied state, so one has to be applied before the next.
        self._lock = asyncio.Lock()

    async def record_ends(self, fingerprints_by_end: dict[str, list[str]]) -> list[str]:
        """Records ends of endpoints that a gateway has seen.

        Args:
            fingerprints_by_end: Requests in flight, by the name of the end.

        Returns:
            Those of the requests that are suspects or quarantined.

        Raises:
            errors.UnavailableError: New suspects could not be committed in time.
        """
        now = self._clock.monotonic()
        reported = {f for fingerprints in fingerprints_by_end.values() for f in fingerprints}
        for end, fingerprints in fingerprints_by_end.items():
            self._ledger.record(end, fingerprints, now)
        async with self._lock:
            known = self._get_state().suspect_by_fingerprint()
            new = [f for f in sorted(reported) if f not in known and self._is_suspect(f, now)]
            new = new[: max(0, MAX_SUSPECTS - len(known))]
            if new:
                await self._put(dict.fromkeys(new, model.Suspect(0, False)))
            for fingerprint in new:
                ends = self._ledger.ends(fingerprint, now)
                events.emit(events.SUSPECT_ADDED, fingerprint=fingerprint, ends=ends)
        return sorted(reported & (known.keys() | set(new)))

    def _is_suspect(self, fingerprint: str, now: datetime.timedelta) -> bool:
        return self._ledger.is_suspect(fingerprint, now)

    async def begin_trial(
        self, trial: str, fingerprint: str, service: str, duration: datetime.timedelta
    ) -> bool:
        """Returns whether a suspect may run now, at one endpoint, for at most a duration.

        Args:
            trial: Id of the trial, for ``end_trial``.
            fingerprint: The suspect.
            service: Service that runs it.
            duration: Time after which the next trial of the service may begin in any case.

        Raises:
            errors.UnavailableError: The trial could not be committed in time.
        """
        async with self._lock:
            suspect = self._get_state().suspect_by_fingerprint().get(fingerprint)
            if suspect is None:
                return True
            if suspect.quarantined:
                return False
            if suspect.trials >= suspects.MAX_TRIALS:
                await self._quarantine(fingerprint, suspect)
                return False
            duration = min(duration, MAX_TRIAL_DURATION)
            if not self._trials.begin(service, trial, duration, self._clock.monotonic()):
                return False
            await self._put({fingerprint: model.Suspect(suspect.trials + 1, False)})
            return True

    async def end_trial(
        self, trial: str, fingerprint: str, service: str, outcome: suspects.TrialOutcome
    ) -> None:
        """Records how a trial went; raises as ``begin_trial`` does."""
        async with self._lock:
            was_in_progress = self._trials.end(service, trial)
            suspect = self._get_state().suspect_by_fingerprint().get(fingerprint)
            if suspect is None or suspect.quarantined:
                return
            if outcome is suspects.TrialOutcome.PASSED:
                self._ledger.clear(fingerprint)
                await self._put({fingerprint: None})
                events.emit(events.SUSPECT_CLEARED, fingerprint=fingerprint, reason="trial")
            elif outcome is suspects.TrialOutcome.FAILED:
                await self._quarantine(fingerprint, suspect)
            elif outcome is suspects.TrialOutcome.NOT_RUN and was_in_progress:
                await self._put({fingerprint: model.Suspect(max(0, suspect.trials - 1), False)})

    async def _quarantine(self, fingerprint: str, suspect: model.Suspect) -> None:
        await self._put({fingerprint: model.Suspect(suspect.trials, True)})
        self._known_since[fingerprint] = self._clock.monotonic()
        ends = len(self._ledger.ends(fingerprint, self._clock.monotonic()))
        events.emit(events.QUARANTINE_ADDED, fingerprint=fingerprint, deaths=ends)

    def ages(self, now: datetime.timedelta) -> dict[str, datetime.timedelta]:
        """Returns how long suspects, or their quarantines, have been known."""
        return {fingerprint: now - since for fingerprint, since in self._known_since.items()}

    async def expire(self) -> None:
        """Drops suspects and quarantines after their lifetimes; raises as ``begin_trial`` does."""
        now = self._clock.monotonic()
        known = self._get_state().suspect_by_fingerprint()
        self._known_since = {f: self._known_since.get(f, now) for f in known}
        expired = [
            fingerprint
            for fingerprint, suspect in known.items()
            if now - self._known_since[fingerprint]
            > (suspects.QUARANTINE_LIFETIME if suspect.quarantined else suspects.SUSPICION_LIFETIME)
        ]
        if expired:
            async with self._lock:
                await self._put(dict.fromkeys(expired))
            for fingerprint in expired:
                self._ledger.clear(fingerprint)
                events.emit(events.SUSPECT_CLEARED, fingerprint=fingerprint, reason="expired")

    async def _put(
        self, suspect_by_fingerprint: collections.abc.Mapping[str, model.Suspect | None]
    ) -> None:
        documents = {
            fingerprint: model.to_document(suspect) if suspect is not None else None
            for fingerprint, suspect in suspect_by_fingerprint.items()
        }
        await self._propose({"kind": "suspect", "documents": documents})
