"""Liveness of endpoints: which reports need a log entry, and which endpoints are silent.

Starts, drains, departures and cold periods are written to the log. All other reports only renew an
endpoint's liveness, which is kept in memory. Each steward sorts the reports that it gets: it passes
those that need an entry to the leader at once, and names the renewed endpoints in its next poll of
the leader, which alone decides which endpoints are silent.
"""

from __future__ import annotations

import collections.abc
import datetime
import enum

from flamingotiller import clock
from flamingotiller.fleet import model, state

# Report intervals without a report after which an endpoint counts as silent. Reports may be seconds
# late, and gateways detect a dead endpoint much earlier by its broken connections.
SILENCE_INTERVALS = 4
# Report intervals for which a new leader listens before it takes an endpoint for silent that was so
# before; without a leader its reports may have been refused.
LISTENING_INTERVALS = 1.5
# The leader tells the other stewards of endpoints that are silent for so many report intervals.
REPORTED_INTERVALS = 2
# A cold period that ends this much later than the recorded one needs a log entry.
COLD_TOLERANCE = clock.seconds(0.4)


class Effect(enum.Enum):
    """What a report changes: nothing, the liveness of its endpoint, or the replicated state."""

    OUTDATED = "outdated"
    RENEWAL = "renewal"
    CHANGE = "change"


class Registry:
    """A steward's record of endpoints' reports.

    Args:
        interval: Time between an endpoint's reports.
        now: Monotonic time; no silence counts from before it but the earlier ones.
        earlier_silence_by_id: How long endpoints had been silent when the leader before this one
            was last heard.
    """

    def __init__(
        self,
        interval: datetime.timedelta,
        now: datetime.timedelta,
        earlier_silence_by_id: collections.abc.Mapping[str, datetime.timedelta] | None = None,
    ) -> None:
        self._interval = interval
        self._max_silence = SILENCE_INTERVALS * interval
        self._started_at = now
        longest = (SILENCE_INTERVALS - LISTENING_INTERVALS) * interval
        self._earlier_silence_by_id = {
            id_: min(silence, longest) for id_, silence in (earlier_silence_by_id or {}).items()
        }
        self._reported_at_by_id: dict[str, datetime.timedelta] = {}
        self._sequence_by_lifetime: dict[tuple[str, int], int] = {}
        self._cold_until_by_id: dict[str, datetime.timedelta] = {}

    def record(
        self, report: model.Endpoint, fleet_state: state.FleetState, now: datetime.timedelta
    ) -> Effect:
        """Records a report, unless it is outdated; returns its effect."""
        latest = fleet_state.latest_report(report.id)
        if (report.born_ms, report.sequence) < latest or report.born_ms < latest[0]:
            return Effect.OUTDATED
        lifetime = (report.id, report.born_ms)
        if report.sequence < self._sequence_by_lifetime.get(lifetime, -1):
            return Effect.OUTDATED
        self._sequence_by_lifetime[lifetime] = report.sequence
        self._reported_at_by_id[report.id] = now
        record = fleet_state.endpoint(report.id)
        if record is None or record.born_ms < report.born_ms:
            self._record_cold(report, now)
            return Effect.CHANGE
        if not record.draining and (report.draining or self._extends_cold(report, now)):
            self._record_cold(report, now)
            return Effect.CHANGE
        return Effect.RENEWAL

    def count_silence_from(self, start: datetime.timedelta) -> None:
        """Counts no silence from before a time, when reports could not be received."""
        self._started_at = max(self._started_at, start)

    def renew(self, ids: collections.abc.Iterable[str], now: datetime.timedelta) -> None:
        """Records that endpoints have reported to another steward without a change."""
        self._reported_at_by_id.update(dict.fromkeys(ids, now))

    def _record_cold(self, report: model.Endpoint, now: datetime.timedelta) -> None:
        self._cold_until_by_id[report.id] = now + clock.seconds(report.cold_s)

    def _extends_cold(self, report: model.Endpoint, now: datetime.timedelta) -> bool:
        if report.cold_s <= 0:
            return False
        until = self._cold_until_by_id.get(report.id, clock.ZERO)
        return now + clock.seconds(report.cold_s) > until + COLD_TOLERANCE

    def silent(
        self, fleet_state: state.FleetState, now: datetime.timedelta
    ) -> list[model.Endpoint]:
        """Returns the endpoints whose last report is too long ago."""
        return [
            endpoint
            for endpoint in fleet_state.endpoints()
            if self._silence(endpoint.id, now) > self._max_silence
        ]

    def reported_silences(
        self, fleet_state: state.FleetState, now: datetime.timedelta
    ) -> dict[str, datetime.timedelta]:
        """Returns how long endpoints are silent, for those silent for ``REPORTED_INTERVALS``."""
        silences = {e.id: self._silence(e.id, now) for e in fleet_state.endpoints()}
        least = REPORTED_INTERVALS * self._interval
        return {id_: silence for id_, silence in silences.items() if silence > least}

    def _silence(self, id_: str, now: datetime.timedelta) -> datetime.timedelta:
        reported_at = self._reported_at_by_id.get(id_)
        if reported_at is not None and reported_at >= self._started_at:
            return now - reported_at
        return now - self._started_at + self._earlier_silence_by_id.get(id_, clock.ZERO)

    def prune(self, now: datetime.timedelta) -> None:
        """Forgets endpoints that have not reported for so long that they count as silent."""
        expired = {
            id_ for id_, at in self._reported_at_by_id.items() if now - at > 2 * self._max_silence
        }
        for id_ in expired:
            del self._reported_at_by_id[id_]
            self._cold_until_by_id.pop(id_, None)
        self._sequence_by_lifetime = {
            lifetime: sequence
            for lifetime, sequence in self._sequence_by_lifetime.items()
            if lifetime[0] not in expired
        }
