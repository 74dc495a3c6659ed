"""Liveness of endpoints at the leader: which reports have to go through the log, and who is silent.

Starts, drains, departures and cold spells are log entries; other reports only renew."""

from __future__ import annotations

import datetime

from flamingotiller import clock
from flamingotiller.fleet import model, state

# Reports may come seconds late; a dead endpoint is noticed by its broken connections long before.
SILENCE_INTERVALS = 4
# A cold spell that ends this much later than the one on record is worth a log entry.
COLD_TOLERANCE = clock.seconds(0.4)


class Registry:
    """What the leader has heard of endpoints.

    Args:
        interval: Time between an endpoint's reports.
        now: Monotonic time; silence counts from here at the earliest.
    """

    def __init__(self, interval: datetime.timedelta, now: datetime.timedelta) -> None:
        self._silence = SILENCE_INTERVALS * interval
        self._since = now
        self._heard_by_id: dict[str, datetime.timedelta] = {}
        self._sequence_by_lifetime: dict[tuple[str, int], int] = {}
        self._cold_until_by_id: dict[str, datetime.timedelta] = {}

    def needs_log_entry(
        self, report: model.Endpoint, held: state.FleetState, now: datetime.timedelta
    ) -> bool:
        """Notes a report; returns whether it has to go through the log."""
        latest = held.latest(report.id)
        if (report.born_ms, report.sequence) < latest or report.born_ms < latest[0]:
            return False
        lifetime = (report.id, report.born_ms)
        if report.sequence < self._sequence_by_lifetime.get(lifetime, -1):
            return False
        self._sequence_by_lifetime[lifetime] = report.sequence
        self._heard_by_id[report.id] = now
        record = held.endpoint(report.id)
        if record is None or record.born_ms < report.born_ms:
            self._note_cold(report, now)
            return True
        if record.draining:
            return False
        if report.draining or self._is_colder(report, now):
            self._note_cold(report, now)
            return True
        return False

    def _note_cold(self, report: model.Endpoint, now: datetime.timedelta) -> None:
        self._cold_until_by_id[report.id] = now + clock.seconds(report.cold_s)

    def _is_colder(self, report: model.Endpoint, now: datetime.timedelta) -> bool:
        if report.cold_s <= 0:
            return False
        until = self._cold_until_by_id.get(report.id, clock.ZERO)
        return now + clock.seconds(report.cold_s) > until + COLD_TOLERANCE

    def silent(self, held: state.FleetState, now: datetime.timedelta) -> list[model.Endpoint]:
        """Returns the endpoints that have not reported for too long."""
        if now - self._since < self._silence:
            return []
        return [
            endpoint
            for endpoint in held.endpoints()
            if now - self._heard_by_id.get(endpoint.id, self._since) > self._silence
        ]
