"""State machine of the fleet's log: configuration, evacuations, and lifetimes of endpoints.

It is deterministic: replicas that apply the same commands in the same order reach the same state.
"""

from __future__ import annotations

import dataclasses
import typing

from flamingotiller.fleet import model, patch, table

# Endpoints, departed ones included, whose latest report is remembered, so that reports that arrive
# late do not restore a departed endpoint.
MAX_REMEMBERED_ENDPOINTS = 10_000
# Level of the rules that this build knows. A command must have the same effect at every member, so
# rules of a level are in force only from the entry on that says that all members know them.
LEVEL = 2
# From this level on, the departure of an endpoint that is not in the table is recorded.
RECORDS_EVERY_DEPARTURE = 1
# From this level on, each end of an evacuation gives the zone's endpoints a cold time of its own.
MARKS_EACH_END_OF_AN_EVACUATION = 2
# What an entry's index adds to a cold time, in seconds; too little to matter as a time.
INDEX_S = 1e-9

ACCEPTED, CONFLICT, STALE, IGNORED = "accepted", "conflict", "stale", "ignored"

_CONFIGURATION_KINDS = (model.ROUTE, model.SERVICE, model.ORGANISATION, model.LIMITS)


@dataclasses.dataclass(frozen=True)
class Result:
    """Outcome of a command.

    Attributes:
        verdict: ``accepted``, ``conflict``, ``stale`` or ``ignored``.
        version: Version of the configuration after the command.
    """

    verdict: str
    version: int


class FleetState:
    """Replicated state of the fleet.

    Attributes:
        table: Items that gateways receive.
        version: Version of the configuration, 0 before the first.
        source: The configuration as the operator sent it, None before the first.
        zone_by_identity: Availability zones of the log's members.
        level: Level of the rules in force.
    """

    def __init__(self) -> None:
        self.table = table.Table()
        self.version = 0
        self.source: typing.Any = None
        self.zone_by_identity: dict[str, str] = {}
        self.level = 0
        self._digest_by_version: dict[int, str] = {}
        # Start time and sequence number of the latest report by endpoint, departed ones included.
        self._latest_by_id: dict[str, tuple[int, int]] = {}
        # Endpoints that were removed because they stopped reporting; they may report again.
        self._silent_ids: set[str] = set()

    def apply(self, command: dict[str, typing.Any], index: int) -> Result:
        """Applies a command. The result depends only on the commands applied so far."""
        self.table.begin(index)
        verdict = _APPLY_BY_KIND[command["kind"]](self, command)
        return Result(verdict, self.version)

    def configuration_items(self) -> dict[str, model.Document]:
        """Returns the items that come from the configuration."""
        return {
            subject: document
            for subject, document in self.table.item_by_subject.items()
            if subject.partition("/")[0] in _CONFIGURATION_KINDS
        }

    def _configure(self, command: dict[str, typing.Any]) -> str:
        version, base, digest = command["version"], command["base"], command["digest"]
        if self._digest_by_version.get(version) == digest:
            return ACCEPTED
        # A command without a patch comes from a proposer that had not applied the base version.
        if base != self.version or command["source"] is None:
            return CONFLICT
        if version <= self.version:
            return STALE
        self._digest_by_version[version] = digest
        self.version, self.source = version, patch.apply(self.source, command["source"])
        for subject in command["items"].get("drop", ()):
            self.table.put(subject, None)
        for subject, document in command["items"].get("set", {}).items():
            self.table.put(subject, document)
        self.table.put(model.subject(model.VERSION), {"version": version})
        return ACCEPTED

    def _evacuate(self, command: dict[str, typing.Any]) -> str:
        zone = command["zone"]
        self.table.put(model.subject(model.EVACUATION, zone), {} if command["active"] else None)
        if not command["active"]:
            self._mark_cold(zone)
        return ACCEPTED

    def _mark_cold(self, zone: str) -> None:
        """Marks a zone's endpoints as cold when its evacuation ends: they may have lost their state
        during the evacuation and will say so only in their next report.

        Gateways count the cold time from the change of the item. So it has to differ from that of
        an earlier evacuation, or of the endpoint's own report, which may still be there.
        """
        mark_s = 0.0
        if self.level >= MARKS_EACH_END_OF_AN_EVACUATION:
            mark_s = INDEX_S * self.table.revision
        for subject, document in list(self.table.item_by_subject.items()):
            if subject.startswith("endpoint/") and document["zone"] == zone:
                service = self.table.item_by_subject.get(f"service/{document['service']}")
                cold_s = service["cold_s"] if service else 0.0
                if cold_s > 0:
                    cold_s += mark_s
                self.table.put(subject, {**document, "cold_s": cold_s})

    def _report(self, command: dict[str, typing.Any]) -> str:
        record = model.Endpoint(**command["endpoint"])
        latest = self._latest_by_id.get(record.id, (-1, -1))
        if (record.born_ms, record.sequence) <= latest:
            return IGNORED
        subject = model.subject(model.ENDPOINT, record.id)
        existing = self.table.item_by_subject.get(subject)
        has_left = existing is None and record.id not in self._silent_ids
        if record.born_ms == latest[0] and (has_left or (existing and existing["draining"])):
            # An endpoint that drains or has left takes no new work in the same lifetime.
            return IGNORED
        if self._address_is_taken(record):
            return IGNORED
        self._silent_ids.discard(record.id)
        self._record_latest(record.id, record.born_ms, record.sequence)
        self.table.put(subject, model.to_document(record))
        return ACCEPTED

    def _address_is_taken(self, record: model.Endpoint) -> bool:
        """Returns whether another endpoint that started later has the address; removes from the
        table those that started earlier."""
        for subject, existing in list(self.table.item_by_subject.items()):
            if not subject.startswith("endpoint/") or existing["address"] != record.address:
                continue
            if existing["id"] == record.id:
                continue
            if existing["born_ms"] > record.born_ms:
                return True
            self.table.put(subject, None)
        return False

    def _leave(self, command: dict[str, typing.Any]) -> str:
        id_, born_ms = command["id"], command["born_ms"]
        subject = model.subject(model.ENDPOINT, id_)
        existing = self.table.item_by_subject.get(subject)
        if not command["silent"] and self.level >= RECORDS_EVERY_DEPARTURE:
            return self._depart(id_, born_ms)
        if existing is None or (born_ms is not None and existing["born_ms"] > born_ms):
            return IGNORED
        self.table.put(subject, None)
        if command["silent"]:
            self._silent_ids.add(id_)
        return ACCEPTED

    def _depart(self, id_: str, born_ms: int | None) -> str:
        """Removes an endpoint that has left.

        Reports of the same lifetime do not bring it back, not even if it was silent when it left
        or if its first report is late.
        """
        latest_born_ms, _ = self._latest_by_id.get(id_, (-1, -1))
        if born_ms is None:
            born_ms = latest_born_ms
        if born_ms < 0 or born_ms < latest_born_ms:
            return IGNORED
        if born_ms > latest_born_ms:
            self._record_latest(id_, born_ms, -1)
        self._silent_ids.discard(id_)
        self.table.put(model.subject(model.ENDPOINT, id_), None)
        return ACCEPTED

    def _locate(self, command: dict[str, typing.Any]) -> str:
        self.zone_by_identity[command["identity"]] = command["zone"]
        # Earlier builds apply the entry without the level.
        self.level = max(self.level, command.get("level", 0))
        return ACCEPTED

    def _suspect(self, command: dict[str, typing.Any]) -> str:
        for fingerprint, document in command["documents"].items():
            self.table.put(model.subject(model.SUSPECT, fingerprint), document)
        return ACCEPTED

    def suspect_by_fingerprint(self) -> dict[str, model.Suspect]:
        """Returns the requests that may have ended endpoints."""
        prefix = model.subject(model.SUSPECT)
        return {
            subject.removeprefix(prefix): model.Suspect(**document)
            for subject, document in self.table.item_by_subject.items()
            if subject.startswith(prefix)
        }

    def _record_latest(self, id_: str, born_ms: int, sequence: int) -> None:
        self._latest_by_id.pop(id_, None)
        self._latest_by_id[id_] = (born_ms, sequence)
        while len(self._latest_by_id) > MAX_REMEMBERED_ENDPOINTS:
            oldest = next(iter(self._latest_by_id))
            del self._latest_by_id[oldest]
            self._silent_ids.discard(oldest)

    def endpoint(self, id_: str) -> model.Endpoint | None:
        """Returns an endpoint, None if it is unknown or has left."""
        document = self.table.item_by_subject.get(model.subject(model.ENDPOINT, id_))
        return model.Endpoint(**document) if document else None

    def latest_report(self, id_: str) -> tuple[int, int]:
        """Returns the start time and sequence number of an endpoint's latest report.

        Both are -1 if there is none."""
        return self._latest_by_id.get(id_, (-1, -1))

    def endpoints(self) -> list[model.Endpoint]:
        """Returns all endpoints that have not left."""
        return [
            model.Endpoint(**document)
            for subject, document in self.table.item_by_subject.items()
            if subject.startswith("endpoint/")
        ]

    def dump(self) -> dict[str, typing.Any]:
        """Returns the JSON form, for snapshots; later commands do not affect it."""
        return {
            "table": self.table.dump(),
            "version": self.version,
            "source": self.source,
            "digests": [[v, d] for v, d in self._digest_by_version.items()],
            "latest": [[id_, *latest] for id_, latest in self._latest_by_id.items()],
            "silent": sorted(self._silent_ids),
            "zones": dict(self.zone_by_identity),
            "level": self.level,
        }

    @classmethod
    def load(cls, document: dict[str, typing.Any] | None) -> FleetState:
        """Builds the state from a snapshot; None gives an empty state."""
        state = cls()
        if document:
            state.table = table.Table.load(document["table"])
            state.version, state.source = document["version"], document["source"]
            state._digest_by_version = {v: d for v, d in document["digests"]}
            state._latest_by_id = {id_: (b, s) for id_, b, s in document["latest"]}
            state._silent_ids = set(document["silent"])
            state.zone_by_identity = dict(document["zones"])
            state.level = document.get("level", 0)
        return state


_APPLY_BY_KIND = {
    "configure": FleetState._configure,
    "evacuate": FleetState._evacuate,
    "report": FleetState._report,
    "leave": FleetState._leave,
    "locate": FleetState._locate,
    "suspect": FleetState._suspect,
}
