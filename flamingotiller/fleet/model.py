"""What the fleet knows: routes, services, organisations, limits, endpoints; and a view built of it.

Documents are the JSON forms that the log and the feed carry; durations in them are in seconds."""

from __future__ import annotations

import collections.abc
import dataclasses
import hashlib
import typing

Document = dict[str, typing.Any]

ROUTE, SERVICE, ORGANISATION = "route", "service", "organisation"
LIMITS, EVACUATION, ENDPOINT, VERSION = "limits", "evacuation", "endpoint", "version"


@dataclasses.dataclass(frozen=True)
class WeightedService:
    """A service's part of a route's requests; weights are relative."""

    service: str
    weight: float


@dataclasses.dataclass(frozen=True)
class Route:
    """Where the requests of a host and path prefix go.

    Attributes:
        name: Unique name.
        host: Host that the request names, lower case, without a port.
        prefix: Start of the path; begins and ends with a slash.
        idempotent: Whether a request may run more than once.
        timeout_s: Longest time until the final answer, seconds.
        objective_s: Latency objective, seconds.
        rank: Urgency, 0 is the highest.
        parts: Services that share the requests.
        max_attempts: Endpoints that one request may be sent to.
        open: Whether requests need no key.
        sticky: Whether requests of one object should meet the same endpoint.
        regions: Regions that may serve it, empty for all.
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
    """A service as the operator describes it.

    Attributes:
        name: Unique name.
        max_connections: Connections that each endpoint accepts from all callers together.
        cold_s: How long an endpoint is cold after its start, seconds.
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
        key_digests: Digests of the keys in force.
        rank: Urgency, 0 is the highest.
        rate: Requests per second over all gateways, 0 for no limit.
        burst: Requests that may exceed the rate at once.
        regions: Regions that may serve it, empty for all.
    """

    name: str
    key_digests: tuple[str, ...]
    rank: int
    rate: float
    burst: float
    regions: frozenset[str]


@dataclasses.dataclass(frozen=True)
class Limits:
    """What callers may send and how long they may take.

    Attributes:
        head_bytes: Largest request head.
        body_bytes: Largest request body.
        head_timeout_s: Time for a head, seconds.
        idle_timeout_s: Time between requests on a connection, seconds.
    """

    head_bytes: int = 16 * 1024
    body_bytes: int = 64 * 1024 * 1024
    head_timeout_s: float = 10.0
    idle_timeout_s: float = 60.0


@dataclasses.dataclass(frozen=True)
class Endpoint:
    """One lifetime of an endpoint.

    Attributes:
        id: Identity that it names itself by.
        born_ms: Start of the lifetime, Unix milliseconds by its own clock.
        sequence: Number of the report that this record comes from.
        service: Its service.
        address: ``IP:port``.
        zone: Its availability zone.
        slots: Requests that it runs at once.
        draining: Whether it takes no new work.
        cold_s: How long it stays cold from the report on, seconds.
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


def to_document(item: typing.Any) -> Document:
    """Returns the JSON form of one of this module's data classes."""
    document = dataclasses.asdict(item)
    for name, value in document.items():
        if isinstance(value, frozenset):
            document[name] = sorted(value)
    return document


def route_from(document: Document) -> Route:
    """Builds a route from its JSON form."""
    fields = {**document, "parts": tuple(WeightedService(**part) for part in document["parts"])}
    return Route(**{**fields, "regions": frozenset(document["regions"])})


def organisation_from(document: Document) -> Organisation:
    """Builds an organisation from its JSON form."""
    return Organisation(
        **{
            **document,
            "key_digests": tuple(document["key_digests"]),
            "regions": frozenset(document["regions"]),
        }
    )


def key_digest(key: str) -> str:
    """Returns the digest under which a key is looked up; keys themselves are not spread."""
    return hashlib.blake2b(key.encode("utf-8", "surrogateescape"), digest_size=16).hexdigest()


def subject(kind: str, name: str = "") -> str:
    """Returns the key of an item in the fleet's table."""
    return f"{kind}/{name}"


class View:
    """Typed reading of the fleet's items, kept up to date item by item.

    Attributes:
        config_version: Version of the configuration, 0 before the first.
        endpoint_by_id: Endpoints that have not left.
        organisation_by_name: Contracts.
        service_by_name: Services.
        route_by_name: Routes.
        evacuated: Availability zones that are to get no requests.
        limits: Bounds on callers.
    """

    def __init__(self) -> None:
        self.config_version = 0
        self.endpoint_by_id: dict[str, Endpoint] = {}
        self.organisation_by_name: dict[str, Organisation] = {}
        self.service_by_name: dict[str, Service] = {}
        self.evacuated: set[str] = set()
        self.limits = Limits()
        self.route_by_name: dict[str, Route] = {}
        self._routes_by_host: dict[str, list[Route]] = {}
        self._organisation_by_digest: dict[str, str] = {}
        self._ids_by_service: dict[str, set[str]] = {}

    def update(self, changes: collections.abc.Mapping[str, Document | None]) -> None:
        """Takes over changed items, None for removed ones."""
        for key, document in changes.items():
            kind, _, name = key.partition("/")
            _APPLY_BY_KIND[kind](self, name, document)

    def replace(self, items: collections.abc.Mapping[str, Document]) -> None:
        """Takes over all items in place of what was known."""
        self.__init__()  # type: ignore[misc]
        self.update(items)

    def match(self, host: str, path: str) -> Route | None:
        """Returns the route with the longest prefix, None if no route matches."""
        for route in self._routes_by_host.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None

    def organisation_of_key(self, key: str) -> Organisation | None:
        """Returns the organisation whose key this is, None if no organisation has it."""
        name = self._organisation_by_digest.get(key_digest(key))
        return self.organisation_by_name.get(name) if name is not None else None

    def endpoints_of(self, service: str) -> list[Endpoint]:
        """Returns the endpoints of a service, in no order."""
        return [self.endpoint_by_id[id_] for id_ in self._ids_by_service.get(service, ())]

    def _apply_route(self, name: str, document: Document | None) -> None:
        held = self.route_by_name.pop(name, None)
        if held:
            self._routes_by_host[held.host].remove(held)
        if document is None:
            return
        route = self.route_by_name[name] = route_from(document)
        routes = self._routes_by_host.setdefault(route.host, [])
        routes.append(route)
        routes.sort(key=lambda r: len(r.prefix), reverse=True)

    def _apply_service(self, name: str, document: Document | None) -> None:
        self.service_by_name.pop(name, None)
        if document is not None:
            self.service_by_name[name] = Service(**document)

    def _apply_organisation(self, name: str, document: Document | None) -> None:
        held = self.organisation_by_name.pop(name, None)
        for digest in held.key_digests if held else ():
            if self._organisation_by_digest.get(digest) == name:
                del self._organisation_by_digest[digest]
        if document is None:
            return
        organisation = self.organisation_by_name[name] = organisation_from(document)
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
        held = self.endpoint_by_id.pop(name, None)
        if held:
            self._ids_by_service[held.service].discard(name)
        if document is None:
            return
        endpoint = self.endpoint_by_id[name] = Endpoint(**document)
        self._ids_by_service.setdefault(endpoint.service, set()).add(name)

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
}
