"""Prometheus metrics of a process; names include their unit."""

from __future__ import annotations

import aioprometheus
import aioprometheus.collectors
import aioprometheus.formats

DESCRIPTION_BY_NAME = {
    "flamingotiller_requests_total": "requests by organisation and result",
    "flamingotiller_request_seconds": "time from a request's arrival to the end of its answer",
    "flamingotiller_refusals_total": "refusals by organisation, code and outcome",
    "flamingotiller_callers_left_total": "callers that left before their answer, by stage",
    "flamingotiller_retries_total": "second tries of idempotent requests, by service",
    "flamingotiller_queue_seconds": "time that requests waited for a slot, by service",
    "flamingotiller_lookups_total": "look-ups answered",
    "flamingotiller_config_version": "configuration version in force",
    "flamingotiller_confirmation_age_seconds": "age of the last confirmation of the configuration",
    "flamingotiller_wire_bytes": "bytes on all connections since the start, by direction",
    "flamingotiller_open_connections": "open connections of callers and peers",
    "flamingotiller_in_flight_requests": "requests that are being served",
    "flamingotiller_shard_leases": "shard leases held",
    "flamingotiller_endpoints": "endpoints in service in this zone, by service",
    "flamingotiller_members_up": "members seen within the timeout",
    "flamingotiller_log_term": "term of the replicated log",
    "flamingotiller_log_commit_index": "commit index of the replicated log",
    "flamingotiller_is_leader": "1 on the leader of the replicated log, else 0",
    "flamingotiller_changes_total": "configuration changes by result",
}

_COUNTERS = {name for name in DESCRIPTION_BY_NAME if name.endswith("_total")}
_HISTOGRAMS = {"flamingotiller_request_seconds", "flamingotiller_queue_seconds"}


class Metrics:
    """The metrics of one process."""

    def __init__(self) -> None:
        self._registry = aioprometheus.Registry()
        self._by_name: dict[str, aioprometheus.collectors.Collector] = {}
        for name, description in DESCRIPTION_BY_NAME.items():
            self._by_name[name] = self._collector_for(name)(
                name, description, registry=self._registry
            )

    @staticmethod
    def _collector_for(name: str) -> type[aioprometheus.collectors.Collector]:
        if name in _COUNTERS:
            return aioprometheus.Counter
        return aioprometheus.Histogram if name in _HISTOGRAMS else aioprometheus.Gauge

    def count(self, name: str, **labels: str) -> None:
        """Increments a counter."""
        self._by_name[name].inc(labels)  # type: ignore[attr-defined]

    def gauge(self, name: str, value: float, **labels: str) -> None:
        """Sets a gauge."""
        self._by_name[name].set(labels, value)  # type: ignore[attr-defined]

    def observe(self, name: str, value: float, **labels: str) -> None:
        """Adds an observation to a histogram."""
        self._by_name[name].observe(labels, value)  # type: ignore[attr-defined]

    def render(self) -> bytes:
        """Returns the metrics in the Prometheus text format."""
        return aioprometheus.formats.text.TextFormatter().marshall(self._registry)
