"""Liveness of endpoints at the leader: which reports need a log entry, and which endpoints are
silent.

Starts, drains, departures and cold periods are written to the log. All other reports only renew an
endpoint's liveness, which the leader keeps in memory.
"""

from __future__ import annotations

import datetime

from flamingotiller import clock
from flamingotiller.fleet import model, state

# Report intervals without a report after which an endpoint counts as silent. Reports may be seconds
# late, and gateways detect a dead endpoint much earlier by its broken connections.
SILENCE_INTERVALS = 4
# A cold period that ends this much later than the recorded one needs a log entry.
COLD_TOLERANCE = clock.seconds(0.4)


class Registry:
    """The leader's record of endpoints' reports.

    Args:
        interval: Time between an endpoint's reports.
        now: Monotonic time; no silence counts from before it.
    """

    def __init__(self, interval: datetime.timedelta, now: datetime.timedelta) -> None:
        self._max_silence = SILENCE_INTERVALS * interval
        self._started_at = now
        self._reported_at_by_id: dict[str, datetime.timedelta] = {}
        self._sequence_by_lifetime: dict[tuple[str, int], int] = {}
        self._cold_until_by_id: dict[str, datetime.timedelta] = {}

    def needs_log_entry(
        self, report: model.Endpoint, fleet_state: state.FleetState, now: datetime.timedelta
    ) -> bool:
        """Records a report, unless it is outdated; returns whether it needs a log entry."""
        latest = fleet_state.latest_report(report.id)
        if (report.born_ms, report.sequence) < latest or report.born_ms < latest[0]:
            return False
        lifetime = (report.id, report.born_ms)
        if report.sequence < self._sequence_by_lifetime.get(lifetime, -1):
            return False
        self._sequence_by_lifetime[lifetime] = report.sequence
        self._reported_at_by_id[report.id] = now
        record = fleet_state.endpoint(report.id)
        if record is None or record.born_ms < report.born_ms:
            self._record_cold(report, now)
            return True
        if record.draining:
            return False
        if report.draining or self._extends_cold(report, now):
            self._record_cold(report, now)
            return True
        return False

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
        if now - self._started_at < self._max_silence:
            return []
        return [
            endpoint
            for endpoint in fleet_state.endpoints()
            if now - self._reported_at_by_id.get(endpoint.id, self._started_at) > self._max_silence
        ]
