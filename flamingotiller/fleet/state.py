"""State machine of the fleet's log: configuration, evacuations, and lifetimes of endpoints.

Every replica applies the same commands in the same order and comes to the same results."""

from __future__ import annotations

import dataclasses
import typing

from flamingotiller.fleet import model, patch, table

# Departed lifetimes that are remembered, so that their late reports bring nothing back.
MAX_REMEMBERED_ENDPOINTS = 10_000

ACCEPTED, CONFLICT, STALE, IGNORED = "accepted", "conflict", "stale", "ignored"

_CONFIGURED = (model.ROUTE, model.SERVICE, model.ORGANISATION, model.LIMITS)


@dataclasses.dataclass(frozen=True)
class Result:
    """What became of a command.

    Attributes:
        verdict: ``accepted``, ``conflict``, ``stale`` or ``ignored``.
        version: Version of the configuration after it.
    """

    verdict: str
    version: int


class FleetState:
    """What the log's commands build.

    Attributes:
        table: Items for gateways.
        version: Version of the configuration, 0 before the first.
        source: The configuration as the operator sent it.
        zone_by_identity: Availability zones of the log's members.
    """

    def __init__(self) -> None:
        self.table = table.Table()
        self.version = 0
        self.source: typing.Any = None
        self.zone_by_identity: dict[str, str] = {}
        self._digest_by_version: dict[int, str] = {}
        # Last known lifetime and report by endpoint, departed ones included.
        self._latest_by_id: dict[str, tuple[int, int]] = {}
        # Endpoints that were dropped for their silence and may report again.
        self._silent_ids: set[str] = set()

    def apply(self, command: dict[str, typing.Any], index: int) -> Result:
        """Applies a command; the result depends on the log alone."""
        self.table.begin(index)
        verdict = _APPLY_BY_KIND[command["kind"]](self, command)
        return Result(verdict, self.version)

    def configuration_items(self) -> dict[str, model.Document]:
        """Returns the items that come from the configuration."""
        return {
            subject: document
            for subject, document in self.table.item_by_subject.items()
            if subject.partition("/")[0] in _CONFIGURED
        }

    def _configure(self, command: dict[str, typing.Any]) -> str:
        version, base, digest = command["version"], command["base"], command["digest"]
        if self._digest_by_version.get(version) == digest:
            return ACCEPTED
        # Without a patch the proposer knew another version than the base.
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
        """Counts a zone's endpoints as cold when it is taken back: they may have lost their state
        while nobody looked, and say so only with their next report."""
        for subject, document in list(self.table.item_by_subject.items()):
            if subject.startswith("endpoint/") and document["zone"] == zone:
                service = self.table.item_by_subject.get(f"service/{document['service']}")
                cold_s = service["cold_s"] if service else 0.0
                self.table.put(subject, {**document, "cold_s": cold_s})

    def _report(self, command: dict[str, typing.Any]) -> str:
        record = model.Endpoint(**command["endpoint"])
        latest = self._latest_by_id.get(record.id, (-1, -1))
        if (record.born_ms, record.sequence) <= latest:
            return IGNORED
        subject = model.subject(model.ENDPOINT, record.id)
        held = self.table.item_by_subject.get(subject)
        left = held is None and record.id not in self._silent_ids
        if record.born_ms == latest[0] and (left or (held and held["draining"])):
            # A lifetime that drains or has left takes no new work again.
            return IGNORED
        if self._address_taken(record):
            return IGNORED
        self._silent_ids.discard(record.id)
        self._remember(record.id, record.born_ms, record.sequence)
        self.table.put(subject, model.to_document(record))
        return ACCEPTED

    def _address_taken(self, record: model.Endpoint) -> bool:
        """Returns whether a later lifetime holds the address; removes an earlier one from it."""
        for subject, held in list(self.table.item_by_subject.items()):
            if not subject.startswith("endpoint/") or held["address"] != record.address:
                continue
            if held["id"] == record.id:
                continue
            if held["born_ms"] > record.born_ms:
                return True
            self.table.put(subject, None)
        return False

    def _leave(self, command: dict[str, typing.Any]) -> str:
        id_, born_ms = command["id"], command["born_ms"]
        subject = model.subject(model.ENDPOINT, id_)
        held = self.table.item_by_subject.get(subject)
        if held is None or (born_ms is not None and held["born_ms"] > born_ms):
            return IGNORED
        self.table.put(subject, None)
        if command["silent"]:
            self._silent_ids.add(id_)
        return ACCEPTED

    def _locate(self, command: dict[str, typing.Any]) -> str:
        self.zone_by_identity[command["identity"]] = command["zone"]
        return ACCEPTED

    def _remember(self, id_: str, born_ms: int, sequence: int) -> None:
        self._latest_by_id.pop(id_, None)
        self._latest_by_id[id_] = (born_ms, sequence)
        while len(self._latest_by_id) > MAX_REMEMBERED_ENDPOINTS:
            oldest = next(iter(self._latest_by_id))
            del self._latest_by_id[oldest]
            self._silent_ids.discard(oldest)

    def endpoint(self, id_: str) -> model.Endpoint | None:
        """Returns an endpoint that has not left."""
        document = self.table.item_by_subject.get(model.subject(model.ENDPOINT, id_))
        return model.Endpoint(**document) if document else None

    def latest_report(self, id_: str) -> tuple[int, int]:
        """Returns lifetime and report last taken of an endpoint, (-1, -1) if unknown."""
        return self._latest_by_id.get(id_, (-1, -1))

    def endpoints(self) -> list[model.Endpoint]:
        """Returns the endpoints that have not left."""
        return [
            model.Endpoint(**document)
            for subject, document in self.table.item_by_subject.items()
            if subject.startswith("endpoint/")
        ]

    def dump(self) -> dict[str, typing.Any]:
        """Returns the JSON form, for snapshots."""
        return {
            "table": self.table.dump(),
            "version": self.version,
            "source": self.source,
            "digests": [[v, d] for v, d in self._digest_by_version.items()],
            "latest": [[id_, *latest] for id_, latest in self._latest_by_id.items()],
            "silent": sorted(self._silent_ids),
            "zones": self.zone_by_identity,
        }

    @classmethod
    def load(cls, document: dict[str, typing.Any] | None) -> FleetState:
        """Builds the state from a snapshot, empty from None."""
        state = cls()
        if document:
            state.table = table.Table.load(document["table"])
            state.version, state.source = document["version"], document["source"]
            state._digest_by_version = {v: d for v, d in document["digests"]}
            state._latest_by_id = {id_: (b, s) for id_, b, s in document["latest"]}
            state._silent_ids = set(document["silent"])
            state.zone_by_identity = dict(document["zones"])
        return state


_APPLY_BY_KIND = {
    "configure": FleetState._configure,
    "evacuate": FleetState._evacuate,
    "report": FleetState._report,
    "leave": FleetState._leave,
    "locate": FleetState._locate,
}
