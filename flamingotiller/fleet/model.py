"""Data model of the fleet: routes, services, organisations, limits, endpoints; and a view of them.

Items are stored in the log and sent to gateways as documents, which are JSON objects. Durations in
them are in seconds."""

from __future__ import annotations

import collections.abc
import dataclasses
import hashlib
import typing

Document = dict[str, typing.Any]

ROUTE, SERVICE, ORGANISATION = "route", "service", "organisation"
LIMITS, EVACUATION, ENDPOINT, VERSION = "limits", "evacuation", "endpoint", "version"
SUSPECT = "suspect"


@dataclasses.dataclass(frozen=True)
class WeightedService:
    """A service and its weight in a route's traffic split; weights are relative."""

    service: str
    weight: float


@dataclasses.dataclass(frozen=True)
class Route:
    """Route for the requests of a host and path prefix.

    Attributes:
        name: Unique name.
        host: Host that requests name, in lower case, without a port.
        prefix: Path prefix; begins and ends with a slash.
        idempotent: Whether a request may run more than once.
        timeout_s: Timeout for the final response, in seconds.
        objective_s: Latency objective, in seconds.
        rank: Priority, 0 is the highest.
        parts: Services between which the requests are split.
        max_attempts: Number of endpoints that one request may be sent to.
        open: Whether requests need no key.
        sticky: Whether requests for the same object should reach the same endpoint.
        regions: Regions that may serve the route, empty for all.
    """

    name: str
    host: str
    prefix: str
    idempotent: bool
    timeout_s: float
    objective_s: float
    rank: int
    parts: tuple[WeightedService, ...]
    max_attempts: int
    open: bool
    sticky: bool
    regions: frozenset[str]


@dataclasses.dataclass(frozen=True)
class Service:
    """A service as configured by the operator.

    Attributes:
        name: Unique name.
        max_connections: Connections that each endpoint accepts in total.
        cold_s: Time for which an endpoint is cold after its start, in seconds.
        cold_rate: Requests per second that a cold endpoint tolerates.
    """

    name: str
    max_connections: int
    cold_s: float
    cold_rate: float


@dataclasses.dataclass(frozen=True)
class Organisation:
    """An organisation's contract.

    Attributes:
        name: Unique name.
        key_digests: Digests of the valid API keys.
        rank: Priority, 0 is the highest.
        rate: Requests per second over all gateways, 0 for no limit.
        burst: Requests that may exceed the rate at once.
        regions: Regions that may serve the organisation, empty for all.
    """

    name: str
    key_digests: tuple[str, ...]
    rank: int
    rate: float
    burst: float
    regions: frozenset[str]


@dataclasses.dataclass(frozen=True)
class Limits:
    """Limits on the size of requests and the time that callers may take to send them.

    Attributes:
        head_bytes: Maximum size of a request head.
        body_bytes: Maximum size of a request body.
        head_timeout_s: Timeout for a request head, in seconds.
        idle_timeout_s: Timeout between requests on a connection, in seconds.
    """

    head_bytes: int = 16 * 1024
    body_bytes: int = 64 * 1024 * 1024
    head_timeout_s: float = 10.0
    idle_timeout_s: float = 60.0


@dataclasses.dataclass(frozen=True)
class Endpoint:
    """One lifetime of an endpoint.

    Attributes:
        id: Identity that the endpoint reports.
        born_ms: Start of the lifetime by the endpoint's clock, in Unix milliseconds.
        sequence: Sequence number of the report from which this record was made.
        service: Name of its service.
        address: ``IP:port``.
        zone: Its availability zone.
        slots: Number of requests that it runs concurrently.
        draining: Whether it accepts no new requests.
        cold_s: Remaining time for which it is cold, as of the report, in seconds.
    """

    id: str
    born_ms: int
    sequence: int
    service: str
    address: str
    zone: str
    slots: int
    draining: bool = False
    cold_s: float = 0.0


@dataclasses.dataclass(frozen=True)
class Suspect:
    """A request that was in flight when endpoints ended, by its fingerprint.

    Attributes:
        trials: Number of times that it was run on trial.
        quarantined: Whether it is refused and gets no more trials.
    """

    trials: int
    quarantined: bool


def to_document(item: typing.Any) -> Document:
    """Returns the JSON form of one of this module's data classes."""
    return {name: _to_json(value) for name, value in vars(item).items()}


def _to_json(value: typing.Any) -> typing.Any:
    if isinstance(value, frozenset):
        return sorted(value)
    if isinstance(value, tuple):
        return [vars(part) if isinstance(part, WeightedService) else part for part in value]
    return value


def route_from_document(document: Document) -> Route:
    """Builds a route from its JSON form."""
    fields = {**document, "parts": tuple(WeightedService(**part) for part in document["parts"])}
    return Route(**{**fields, "regions": frozenset(document["regions"])})


def organisation_from_document(document: Document) -> Organisation:
    """Builds an organisation from its JSON form."""
    return Organisation(
        **{
            **document,
            "key_digests": tuple(document["key_digests"]),
            "regions": frozenset(document["regions"]),
        }
    )


def key_digest(key: str) -> str:
    """Returns the digest by which an API key is looked up; keys themselves are not distributed."""
    return hashlib.blake2b(key.encode("utf-8", "surrogateescape"), digest_size=16).hexdigest()


def subject(kind: str, name: str = "") -> str:
    """Returns the key of an item in the fleet's table, for example ``route/NAME``."""
    return f"{kind}/{name}"


class View:
    """Typed and indexed view of the fleet's items, updated item by item.

    Attributes:
        config_version: Version of the configuration, 0 before the first.
        endpoint_by_id: Endpoints that have not left.
        organisation_by_name: Contracts.
        service_by_name: Services.
        route_by_name: Routes.
        evacuated: Availability zones that are evacuated and get no requests.
        limits: Limits on callers.
        suspect_by_fingerprint: Requests that may have ended endpoints.
    """

    def __init__(self) -> None:
        self.config_version = 0
        self.endpoint_by_id: dict[str, Endpoint] = {}
        self.organisation_by_name: dict[str, Organisation] = {}
        self.service_by_name: dict[str, Service] = {}
        self.evacuated: set[str] = set()
        self.limits = Limits()
        self.suspect_by_fingerprint: dict[str, Suspect] = {}
        self.route_by_name: dict[str, Route] = {}
        self._routes_by_host: dict[str, list[Route]] = {}
        self._organisation_by_digest: dict[str, str] = {}
        self._endpoint_ids_by_service: dict[str, set[str]] = {}

    def update(self, changes: collections.abc.Mapping[str, Document | None]) -> None:
        """Applies changed items; None removes an item."""
        for key, document in changes.items():
            kind, _, name = key.partition("/")
            _APPLY_BY_KIND[kind](self, name, document)

    def replace(self, items: collections.abc.Mapping[str, Document]) -> None:
        """Replaces all items."""
        self.__init__()  # type: ignore[misc]
        self.update(items)

    def match(self, host: str, path: str) -> Route | None:
        """Returns the route with the longest prefix, None if no route matches."""
        for route in self._routes_by_host.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None

    def organisation_of_key(self, key: str) -> Organisation | None:
        """Returns the organisation that an API key belongs to, None if it belongs to none."""
        name = self._organisation_by_digest.get(key_digest(key))
        return self.organisation_by_name.get(name) if name is not None else None

    def endpoints_of(self, service: str) -> list[Endpoint]:
        """Returns the endpoints of a service, in no particular order."""
        return [self.endpoint_by_id[id_] for id_ in self._endpoint_ids_by_service.get(service, ())]

    def _apply_route(self, name: str, document: Document | None) -> None:
        previous = self.route_by_name.pop(name, None)
        if previous:
            self._routes_by_host[previous.host].remove(previous)
        if document is None:
            return
        route = self.route_by_name[name] = route_from_document(document)
        routes = self._routes_by_host.setdefault(route.host, [])
        routes.append(route)
        routes.sort(key=lambda r: len(r.prefix), reverse=True)

    def _apply_service(self, name: str, document: Document | None) -> None:
        self.service_by_name.pop(name, None)
        if document is not None:
            self.service_by_name[name] = Service(**document)

    def _apply_organisation(self, name: str, document: Document | None) -> None:
        previous = self.organisation_by_name.pop(name, None)
        for digest in previous.key_digests if previous else ():
            if self._organisation_by_digest.get(digest) == name:
                del self._organisation_by_digest[digest]
        if document is None:
            return
        organisation = self.organisation_by_name[name] = organisation_from_document(document)
        for digest in organisation.key_digests:
            self._organisation_by_digest[digest] = name

    def _apply_limits(self, name: str, document: Document | None) -> None:
        self.limits = Limits(**document) if document else Limits()

    def _apply_evacuation(self, name: str, document: Document | None) -> None:
        if document is None:
            self.evacuated.discard(name)
        else:
            self.evacuated.add(name)

    def _apply_endpoint(self, name: str, document: Document | None) -> None:
        previous = self.endpoint_by_id.pop(name, None)
        if previous:
            self._endpoint_ids_by_service[previous.service].discard(name)
        if document is None:
            return
        endpoint = self.endpoint_by_id[name] = Endpoint(**document)
        self._endpoint_ids_by_service.setdefault(endpoint.service, set()).add(name)

    def _apply_suspect(self, name: str, document: Document | None) -> None:
        self.suspect_by_fingerprint.pop(name, None)
        if document is not None:
            self.suspect_by_fingerprint[name] = Suspect(**document)

    def _apply_version(self, name: str, document: Document | None) -> None:
        self.config_version = document["version"] if document else 0


_APPLY_BY_KIND: dict[str, collections.abc.Callable[[View, str, Document | None], None]] = {
    ROUTE: View._apply_route,
    SERVICE: View._apply_service,
    ORGANISATION: View._apply_organisation,
    LIMITS: View._apply_limits,
    EVACUATION: View._apply_evacuation,
    ENDPOINT: View._apply_endpoint,
    VERSION: View._apply_version,
    SUSPECT: View._apply_suspect,
}
