"""Requests that were in flight when endpoints ended, and may have ended them.

A request that was in flight at two ends is a suspect. A suspect runs on trial only, one of a
service at a time in the whole fleet: a trial that ends well clears it, one that ends its endpoint
quarantines it. Alternatives that were weighed: docs/design/crashing-requests.md."""

from __future__ import annotations

import collections
import collections.abc
import dataclasses
import datetime
import enum

from flamingotiller import clock

# Ends of endpoints after which a request that was in flight at each of them is a suspect.
SUSPECT_ENDS = 2
# Trials after which a suspect that has neither passed nor failed one is quarantined.
MAX_TRIALS = 3
SUSPICION_LIFETIME = clock.seconds(120)
QUARANTINE_LIFETIME = clock.seconds(600)
# Ends of endpoints in one report, and requests that were in flight at one of them.
MAX_REPORTED_ENDS = 64
MAX_REPORTED_REQUESTS = 1024
# Requests whose ends are remembered.
MAX_REMEMBERED = 4096


class TrialOutcome(enum.Enum):
    """How a trial went.

    ``PASSED``: the endpoint answered. ``FAILED``: it ended. ``NOT_RUN``: the request did not run.
    ``UNKNOWN``: neither an answer nor an end was seen.
    """

    PASSED = "passed"
    FAILED = "failed"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


@dataclasses.dataclass
class _Ends:
    names: set[str]
    last_at: datetime.timedelta


class EndLedger:
    """Counts the ends of endpoints at which each request was in flight.

    Ends have names that all gateways derive alike, so that one that several report counts once.
    """

    def __init__(self) -> None:
        # Least recently recorded first.
        self._ends_by_fingerprint: collections.OrderedDict[str, _Ends] = collections.OrderedDict()

    def record(
        self, end: str, fingerprints: collections.abc.Iterable[str], now: datetime.timedelta
    ) -> None:
        """Records that requests were in flight when an endpoint ended."""
        for fingerprint in fingerprints:
            ends = self._ends_by_fingerprint.pop(fingerprint, None)
            if ends is None or now - ends.last_at > SUSPICION_LIFETIME:
                ends = _Ends(set(), now)
            ends.names.add(end)
            ends.last_at = now
            self._ends_by_fingerprint[fingerprint] = ends
        while len(self._ends_by_fingerprint) > MAX_REMEMBERED:
            self._ends_by_fingerprint.popitem(last=False)

    def ends(self, fingerprint: str, now: datetime.timedelta) -> list[str]:
        """Returns the names of the ends at which a request was in flight."""
        ends = self._ends_by_fingerprint.get(fingerprint)
        if ends is None or now - ends.last_at > SUSPICION_LIFETIME:
            return []
        return sorted(ends.names)

    def is_suspect(self, fingerprint: str, now: datetime.timedelta) -> bool:
        """Returns whether a request was in flight at enough ends to be a suspect."""
        return len(self.ends(fingerprint, now)) >= SUSPECT_ENDS

    def clear(self, fingerprint: str) -> None:
        """Forgets the ends of a request."""
        self._ends_by_fingerprint.pop(fingerprint, None)


class TrialSchedule:
    """Trials in progress, at most one of a service at a time, so that an end tells which suspect
    caused it."""

    def __init__(self) -> None:
        self._trial_by_service: dict[str, tuple[str, datetime.timedelta]] = {}

    def begin(
        self, service: str, trial: str, duration: datetime.timedelta, now: datetime.timedelta
    ) -> bool:
        """Begins a trial of at most a duration, unless another one of the service is in progress;
        returns whether it began.

        Args:
            service: Service that runs the request.
            trial: Id of the trial.
            duration: Time after which another trial may begin, whatever has become of this one.
            now: Monotonic time.
        """
        _, until = self._trial_by_service.get(service, ("", clock.ZERO))
        if now < until:
            return False
        self._trial_by_service[service] = (trial, now + duration)
        return True

    def end(self, service: str, trial: str) -> bool:
        """Ends a trial; returns whether it was the last one of the service and in progress."""
        if self._trial_by_service.get(service, ("", clock.ZERO))[0] != trial:
            return False
        del self._trial_by_service[service]
        return True
