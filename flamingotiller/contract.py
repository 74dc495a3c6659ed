"""Contracts and the deployment, read from TOML files.

Pydantic models validate the files; the rest of the code uses the data classes built from them. Each
organisation has one contract with its rate, burst, weight and routes. One deployment file lists the
availability zones, the seats of their entry instances, and the links between regions."""

from __future__ import annotations

import dataclasses
import datetime
import pathlib
import re
import tomllib
import typing

import pydantic

from flamingotiller import clock, errors

_DURATION = re.compile(r"^(\d+(?:\.\d+)?)(ms|s|m|h)$")
_UNIT_SECONDS = {"ms": 0.001, "s": 1.0, "m": 60.0, "h": 3600.0}
RESERVED_PATHS = ("/v1/", "/health", "/ready", "/metrics")
NAME_PATTERN = r"^[a-z0-9][a-z0-9-]{0,62}$"


def parse_duration(value: object) -> datetime.timedelta:
    """Parses ``250ms``, ``2s``, ``5m``, ``1h`` or a number of seconds.

    Raises:
        ValueError: The value has none of these forms.
    """
    if isinstance(value, datetime.timedelta):
        return value
    if isinstance(value, (int, float)) and not isinstance(value, bool):
        return clock.seconds(value)
    match = _DURATION.match(str(value))
    if not match:
        raise ValueError("expected a duration such as 250ms, 2s, 5m or 1h")
    return clock.seconds(float(match[1]) * _UNIT_SECONDS[match[2]])


Name = typing.Annotated[str, pydantic.StringConstraints(pattern=NAME_PATTERN)]
Duration = typing.Annotated[
    datetime.timedelta,
    pydantic.BeforeValidator(parse_duration),
    pydantic.Field(gt=datetime.timedelta(0), le=datetime.timedelta(hours=1)),
]


class _Model(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra="forbid", frozen=True, allow_inf_nan=False)


class RouteFile(_Model):
    """One ``[[routes]]`` table of a contract."""

    name: Name
    path: str = pydantic.Field(pattern=r"^/[!-~]*$", max_length=512)
    service: Name
    access: typing.Literal["keyed", "open"] = "keyed"
    idempotent: bool = False
    methods: list[typing.Literal["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"]] = pydantic.Field(
        default=["GET", "HEAD"], min_length=1
    )
    deadline: Duration = clock.seconds(5)
    max_request_bytes: int = pydantic.Field(default=1_048_576, ge=0, le=8 * 1024 * 1024)

    @pydantic.field_validator("path")
    @classmethod
    def _check_path(cls, path: str) -> str:
        if path.startswith(RESERVED_PATHS):
            raise ValueError(f"paths that start with {', '.join(RESERVED_PATHS)} are reserved")
        return path


class ContractFile(_Model):
    """A contract file, as written by an operator."""

    organisation: Name
    rate: float = pydantic.Field(gt=0, le=1e7, description="requests per second")
    burst: float = pydantic.Field(ge=1, le=1e8, description="requests")
    weight: float = pydantic.Field(default=1.0, gt=0, le=1000)
    max_in_flight: int = pydantic.Field(default=1000, ge=1, le=1_000_000)
    max_keys: int = pydantic.Field(default=8, ge=1, le=1000)
    routes: list[RouteFile] = pydantic.Field(min_length=1, max_length=200)

    @pydantic.model_validator(mode="after")
    def _check_routes(self) -> ContractFile:
        names = [route.name for route in self.routes]
        if len(set(names)) != len(names):
            raise ValueError("route names must differ")
        seen: set[tuple[str, str]] = set()
        for route in self.routes:
            for method in route.methods:
                if (route.path, method) in seen:
                    raise ValueError(f"two routes serve {method} {route.path}")
                seen.add((route.path, method))
        return self


class ZoneFile(_Model):
    """One ``[[zones]]`` table of a deployment."""

    name: Name
    region: Name
    seats: list[Name] = pydantic.Field(min_length=1, max_length=200)
    blocks: list[pydantic.IPvAnyNetwork] = pydantic.Field(
        default=[], description="client address blocks that are nearest to this zone"
    )


class LinkFile(_Model):
    """One ``[[links]]`` table: the capacity between two regions, in each direction."""

    between: tuple[Name, Name]
    mbit_per_s: float = pydantic.Field(gt=0)


class DeploymentFile(_Model):
    """The deployment file, as written by an operator."""

    zones: list[ZoneFile] = pydantic.Field(min_length=1, max_length=500)
    links: list[LinkFile] = []

    @pydantic.model_validator(mode="after")
    def _check_names(self) -> DeploymentFile:
        zones = [zone.name for zone in self.zones]
        seats = [seat for zone in self.zones for seat in zone.seats]
        if len(set(zones)) != len(zones):
            raise ValueError("zone names must differ")
        if len(set(seats)) != len(seats):
            raise ValueError("a seat belongs to one zone only")
        regions = {zone.region for zone in self.zones}
        for link in self.links:
            unknown = set(link.between) - regions
            if unknown:
                raise ValueError(f"link names unknown region {sorted(unknown)[0]}")
        return self


@dataclasses.dataclass(frozen=True)
class Route:
    """The service for a path, and the rules for its requests.

    Attributes:
        name: Name, unique within the contract.
        path: Path prefix; the route with the longest matching prefix applies.
        service: Service name under which endpoints announce themselves.
        keyed: Whether a key of the organisation is required.
        idempotent: Whether a request may be run more than once.
        methods: HTTP methods that the route serves.
        deadline: Maximum time from the arrival of a request to the end of the response.
        max_request_bytes: Maximum size of a request body.
    """

    name: str
    path: str
    service: str
    keyed: bool
    idempotent: bool
    methods: frozenset[str]
    deadline: datetime.timedelta
    max_request_bytes: int

    def matches(self, method: str, path: str) -> bool:
        """Returns whether the route serves a method and path."""
        if method not in self.methods or not path.startswith(self.path):
            return False
        rest = path[len(self.path) :]
        return not rest or rest[0] == "/" or self.path.endswith("/")


@dataclasses.dataclass(frozen=True)
class Contract:
    """Rate limits and routes of an organisation.

    Attributes:
        organisation: Name of the organisation.
        rate: Requests per second over all instances together.
        burst: Requests that may arrive at once after an idle period.
        weight: Share in queues relative to other organisations.
        max_in_flight: Maximum number of concurrent requests at endpoints, per entry instance.
        max_keys: Maximum number of keys that are valid at the same time.
        routes: Routes, in the order of the file.
    """

    organisation: str
    rate: float
    burst: float
    weight: float
    max_in_flight: int
    max_keys: int
    routes: tuple[Route, ...]

    def route_for(self, method: str, path: str) -> Route | None:
        """Returns the route with the longest matching path, or None."""
        matching = [route for route in self.routes if route.matches(method, path)]
        return max(matching, key=lambda route: len(route.path), default=None)


@dataclasses.dataclass(frozen=True)
class Zone:
    """An availability zone.

    Attributes:
        name: Name of the zone.
        region: Name of its region.
        seats: Names of its entry instances; a majority of them grants leases.
        blocks: Client address blocks that are nearest to the zone.
    """

    name: str
    region: str
    seats: tuple[str, ...]
    blocks: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True)
class Deployment:
    """Zones, their seats, and the links between regions.

    Attributes:
        zones_by_name: All zones, by name.
        mbit_per_s_by_regions: Link capacity, by the sorted pair of region names.
    """

    zones_by_name: dict[str, Zone]
    mbit_per_s_by_regions: dict[tuple[str, str], float]

    def zone_of_seat(self, seat: str) -> str | None:
        """Returns the name of the zone that has a seat, or None."""
        for zone in self.zones_by_name.values():
            if seat in zone.seats:
                return zone.name
        return None


def _describe_errors(error: pydantic.ValidationError) -> list[str]:
    return [
        f"{'.'.join(map(str, detail['loc'])) or '(file)'}: {detail['msg']}"
        for detail in error.errors()
    ]


def contract_from_document(document: object) -> Contract:
    """Builds a contract from a decoded file.

    Raises:
        errors.ContractError: The file is invalid; lists every error with its path.
    """
    try:
        model = ContractFile.model_validate(document)
    except pydantic.ValidationError as error:
        raise errors.ContractError(
            "contract is not valid", faults=_describe_errors(error), step="check contract"
        ) from error
    routes = tuple(
        Route(
            name=route.name,
            path=route.path,
            service=route.service,
            keyed=route.access == "keyed",
            idempotent=route.idempotent,
            methods=frozenset(route.methods),
            deadline=route.deadline,
            max_request_bytes=route.max_request_bytes,
        )
        for route in model.routes
    )
    return Contract(
        organisation=model.organisation,
        rate=model.rate,
        burst=model.burst,
        weight=model.weight,
        max_in_flight=model.max_in_flight,
        max_keys=model.max_keys,
        routes=routes,
    )


def deployment_from_document(document: object) -> Deployment:
    """Builds a deployment from a decoded file.

    Raises:
        errors.ContractError: The file is invalid; lists every error with its path.
    """
    try:
        model = DeploymentFile.model_validate(document)
    except pydantic.ValidationError as error:
        raise errors.ContractError(
            "deployment is not valid", faults=_describe_errors(error), step="check deployment"
        ) from error
    zones = {
        zone.name: Zone(zone.name, zone.region, tuple(zone.seats), tuple(map(str, zone.blocks)))
        for zone in model.zones
    }
    links = {
        typing.cast(tuple[str, str], tuple(sorted(link.between))): link.mbit_per_s
        for link in model.links
    }
    return Deployment(zones, links)


def read_toml(path: str) -> dict[str, typing.Any]:
    """Reads a TOML file.

    Raises:
        errors.ContractError: The file cannot be read or is not valid TOML.
    """
    try:
        return tomllib.loads(pathlib.Path(path).read_text(encoding="utf-8"))
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError) as error:
        raise errors.ContractError(f"cannot read {path}: {error}", step="read file") from error
