"""Bodies of the platform's calls: validation and conversion to the types of ``fleet.model``."""

from __future__ import annotations

import hashlib
import ipaddress
import re
import typing

import orjson
import pydantic

from flamingotiller import errors, replica_messages
from flamingotiller.fleet import model, steward
from flamingotiller.platform import settings_file

MAX_ROUTE_TIMEOUT_S = 600.0
# A download is an idempotent request with a long response.
_IDEMPOTENT_TYPES = ("idempotent", "download")
_VERSION = re.compile(r"^r?(\d{1,18})$")
_ADDRESS = re.compile(r"^([0-9.]{7,15}):([0-9]{1,5})$")
MAX_PORT = 65_535
MAX_SLOTS = 1_000_000
# Largest integer that all JSON parsers keep exactly, and the largest rate or weight.
MAX_INTEGER = 2**53 - 1
MAX_NUMBER = 1e12
MAX_COLD_S = 86_400.0


def _parse_duration_s(value: object) -> float:
    try:
        return settings_file.parse_duration(value, "duration").total_seconds()
    except errors.SettingsError as error:
        raise ValueError(error.message) from error


def _parse_version(value: object) -> int:
    match = _VERSION.match(value) if isinstance(value, str) else None
    if match is None:
        raise ValueError("expected a version such as r12")
    return int(match[1])


def _check_address(value: object) -> str:
    match = _ADDRESS.match(value) if isinstance(value, str) else None
    if match is None or not 0 < int(match[2]) <= MAX_PORT:
        raise ValueError("expected an address such as 10.0.0.1:8080")
    return f"{ipaddress.IPv4Address(match[1])}:{int(match[2])}"


DurationSeconds = typing.Annotated[float, pydantic.BeforeValidator(_parse_duration_s)]
ConfigVersion = typing.Annotated[int, pydantic.BeforeValidator(_parse_version)]
NonEmptyText = typing.Annotated[str, pydantic.StringConstraints(strict=True, min_length=1)]
Address = typing.Annotated[str, pydantic.BeforeValidator(_check_address)]
StrictInteger = typing.Annotated[int, pydantic.Field(strict=True, le=MAX_INTEGER)]
NonNegativeInteger = typing.Annotated[int, pydantic.Field(strict=True, ge=0, le=MAX_INTEGER)]
NonNegativeNumber = typing.Annotated[
    float, pydantic.Field(strict=True, ge=0, le=MAX_NUMBER, allow_inf_nan=False)
]


class _Message(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(frozen=True, extra="ignore")


class PartMessage(_Message):
    """A service's share of a route's requests."""

    service: NonEmptyText
    weight: NonNegativeNumber


class RouteMessage(_Message):
    """A route.

    Attributes:
        priority: Rank of the requests, 0 is the most urgent.
        public: Whether requests need no API key.
    """

    host: NonEmptyText
    path_prefix: NonEmptyText = pydantic.Field(alias="pathPrefix", pattern=r"^/(.*/)?$")
    route_type: typing.Literal["idempotent", "non_idempotent", "download"] = pydantic.Field(
        alias="routeType"
    )
    timeout: DurationSeconds = pydantic.Field(gt=0, le=MAX_ROUTE_TIMEOUT_S)
    target_latency: DurationSeconds = pydantic.Field(alias="targetLatency")
    priority: StrictInteger = pydantic.Field(default=0, ge=0)
    service: NonEmptyText | None = None
    traffic_split: list[PartMessage] | None = pydantic.Field(default=None, alias="trafficSplit")
    max_attempts: StrictInteger = pydantic.Field(alias="maxAttempts", ge=1)
    public: pydantic.StrictBool = False
    sticky_sessions: pydantic.StrictBool = pydantic.Field(default=False, alias="stickySessions")
    allowed_regions: list[NonEmptyText] = pydantic.Field(default=[], alias="allowedRegions")

    @pydantic.model_validator(mode="after")
    def _check_services(self) -> RouteMessage:
        parts = self.parts()
        if not parts:
            raise ValueError("expected service or trafficSplit")
        if sum(part.weight for part in parts) <= 0:
            raise ValueError("trafficSplit: the weights add up to 0")
        return self

    def parts(self) -> tuple[model.WeightedService, ...]:
        """Returns the services that share the route's requests, with their weights."""
        if self.traffic_split:
            return tuple(model.WeightedService(p.service, p.weight) for p in self.traffic_split)
        return (model.WeightedService(self.service, 1.0),) if self.service else ()

    def to_model(self, name: str) -> model.Route:
        """Returns the route as the model represents it."""
        return model.Route(
            name=name,
            host=self.host.lower(),
            prefix=self.path_prefix,
            idempotent=self.route_type in _IDEMPOTENT_TYPES,
            timeout_s=self.timeout,
            objective_s=self.target_latency,
            rank=self.priority,
            parts=self.parts(),
            max_attempts=self.max_attempts,
            open=self.public,
            sticky=self.sticky_sessions,
            regions=frozenset(self.allowed_regions),
        )


class ServiceMessage(_Message):
    """A service; ``coldPerS`` is the requests per second that a cold endpoint tolerates."""

    max_connections: StrictInteger = pydantic.Field(default=1_000_000, alias="maxConnections")
    cold_start: DurationSeconds = pydantic.Field(
        default="0s", alias="coldStart", validate_default=True
    )
    cold_per_s: NonNegativeNumber = pydantic.Field(default=0.0, alias="coldPerS")

    def to_model(self, name: str) -> model.Service:
        """Returns the service as the model represents it."""
        return model.Service(name, self.max_connections, self.cold_start, self.cold_per_s)


class LimitsMessage(_Message):
    """Limits on the requests and connections of callers."""

    max_header_bytes: StrictInteger = pydantic.Field(
        default=16 * 1024, alias="maxHeaderBytes", gt=0
    )
    max_body_bytes: StrictInteger = pydantic.Field(
        default=64 * 1024 * 1024, alias="maxBodyBytes", ge=0
    )
    header_timeout: DurationSeconds = pydantic.Field(
        default="10s", alias="headerTimeout", validate_default=True, gt=0
    )
    idle_timeout: DurationSeconds = pydantic.Field(
        default="60s", alias="idleTimeout", validate_default=True, gt=0
    )

    def to_model(self) -> model.Limits:
        """Returns the limits as the model represents them."""
        return model.Limits(
            self.max_header_bytes, self.max_body_bytes, self.header_timeout, self.idle_timeout
        )


class TenantMessage(_Message):
    """An organisation; its rate is unlimited if ``ratePerS`` is missing or zero."""

    api_keys: list[NonEmptyText] = pydantic.Field(default=[], alias="apiKeys")
    priority: StrictInteger = pydantic.Field(default=0, ge=0)
    rate_per_s: NonNegativeNumber = pydantic.Field(default=0.0, alias="ratePerS")
    burst: NonNegativeNumber = 0.0
    allowed_regions: list[NonEmptyText] = pydantic.Field(default=[], alias="allowedRegions")

    def to_model(self, name: str) -> model.Organisation:
        """Returns the organisation as the model represents it."""
        return model.Organisation(
            name=name,
            key_digests=tuple(model.key_digest(key) for key in self.api_keys),
            rank=self.priority,
            rate=self.rate_per_s,
            burst=self.burst,
            regions=frozenset(self.allowed_regions),
        )


class ConfigMessage(_Message):
    """A complete configuration."""

    version: ConfigVersion
    routes: dict[str, RouteMessage]
    services: dict[str, ServiceMessage]
    limits: LimitsMessage = LimitsMessage()
    tenants: dict[str, TenantMessage] = {}

    @pydantic.model_validator(mode="after")
    def _check_references(self) -> ConfigMessage:
        host_prefixes: set[tuple[str, str]] = set()
        for name, route in self.routes.items():
            for part in route.parts():
                if part.service not in self.services:
                    raise ValueError(f"routes.{name}: unknown service {part.service!r}")
            host_prefix = (route.host.lower(), route.path_prefix)
            if host_prefix in host_prefixes:
                raise ValueError(f"routes.{name}: another route has the same host and pathPrefix")
            host_prefixes.add(host_prefix)
        keys = [key for tenant in self.tenants.values() for key in tenant.api_keys]
        if len(keys) != len(set(keys)):
            raise ValueError("tenants: an API key occurs more than once")
        return self

    def items(self) -> dict[str, model.Document]:
        """Returns the configuration as the model's items, by subject."""
        items = {model.subject(model.LIMITS): model.to_document(self.limits.to_model())}
        for name, route in self.routes.items():
            items[model.subject(model.ROUTE, name)] = model.to_document(route.to_model(name))
        for name, service in self.services.items():
            items[model.subject(model.SERVICE, name)] = model.to_document(service.to_model(name))
        for name, tenant in self.tenants.items():
            document = model.to_document(tenant.to_model(name))
            items[model.subject(model.ORGANISATION, name)] = document
        return items


class InfoMessage(_Message):
    """Properties of an endpoint that stay the same during its lifetime.

    Endpoints also send the version of their software, which is ignored.
    """

    service: NonEmptyText
    zone: NonEmptyText
    slots: int = pydantic.Field(strict=True, gt=0, le=MAX_SLOTS)


class StatusMessage(_Message):
    """Properties of an endpoint that change during its lifetime."""

    state: typing.Literal["ready", "draining"]
    sequence: NonNegativeInteger
    cold_remaining: DurationSeconds = pydantic.Field(
        default="0ms", alias="coldRemaining", validate_default=True, le=MAX_COLD_S
    )


class HeartbeatMessage(_Message):
    """An endpoint's report; ``born`` is the start of its lifetime in Unix milliseconds."""

    address: Address
    born: NonNegativeInteger = 0
    info: InfoMessage
    status: StatusMessage

    def to_model(self, id_: str) -> model.Endpoint:
        """Returns the endpoint as the model represents it."""
        return model.Endpoint(
            id=id_,
            born_ms=self.born,
            sequence=self.status.sequence,
            service=self.info.service,
            address=self.address,
            zone=self.info.zone,
            slots=self.info.slots,
            draining=self.status.state == "draining",
            cold_s=self.status.cold_remaining,
        )


class LeaveMessage(_Message):
    """An endpoint's departure; ``born`` is the start of the lifetime that ends, if sent."""

    born: NonNegativeInteger | None = None


def decode(body: bytes, message_type: type[_Message], step: str) -> typing.Any:
    """Parses and validates a body.

    Args:
        body: JSON text.
        message_type: Class of the message.
        step: Step that errors name.

    Raises:
        errors.InvalidInputError: The body is not a valid message; lists up to 20 faults.
    """
    try:
        return message_type.model_validate(orjson.loads(body))
    except orjson.JSONDecodeError as error:
        raise errors.InvalidInputError(f"body is not JSON: {error}", step=step) from error
    except pydantic.ValidationError as error:
        faults = [_describe_fault(fault) for fault in error.errors()[:20]]
        raise errors.InvalidInputError("body is not valid", faults=faults, step=step) from error


def _describe_fault(fault: typing.Any) -> str:
    text = f"{'.'.join(map(str, fault['loc']))}: {fault['msg']}"
    if isinstance(fault["input"], (str, int, float, bool)):
        text += f", got {str(fault['input'])[:100]!r}"
    return text


def decode_order(body: bytes, base: str | None) -> steward.ConfigurationUpdate:
    """Parses a configuration and the version that it is based on.

    The digest covers the base version and the content independent of layout, so that a repeated
    order is recognised.

    Args:
        body: JSON text of the configuration.
        base: Value of the ``X-If-Version`` header, None if it is missing.

    Raises:
        errors.InvalidInputError: The body or the base version is missing, truncated or invalid.
    """
    message = decode(body, ConfigMessage, "replace configuration")
    try:
        base_version = _parse_version(base)
    except ValueError as error:
        raise errors.InvalidInputError(f"X-If-Version: {error}", step="configure") from error
    source = orjson.loads(body)
    replica_messages.check_nesting(source, "replace configuration")
    canonical = orjson.dumps([base_version, source], option=orjson.OPT_SORT_KEYS)
    return steward.ConfigurationUpdate(
        version=message.version,
        base=base_version,
        digest=hashlib.blake2b(canonical, digest_size=16).hexdigest(),
        items=message.items(),
        source=source,
    )
