"""Bodies of the platform's calls, validated and turned into the product's own types."""

from __future__ import annotations

import hashlib
import re
import typing

import orjson
import pydantic

from flamingotiller import errors
from flamingotiller.fleet import model, steward
from flamingotiller.platform import settings_file

MAX_TIMEOUT_S = 600.0  # the longest timeout that a configuration may give a route
_VERSION = re.compile(r"^r?(\d{1,18})$")
_ADDRESS = re.compile(r"^\d{1,3}(?:\.\d{1,3}){3}:\d{1,5}$")


def _duration_s(value: object) -> float:
    try:
        return settings_file.parse_duration(value, "duration").total_seconds()
    except errors.SettingsError as error:
        raise ValueError(error.message) from error


def _version(value: object) -> int:
    match = _VERSION.match(value) if isinstance(value, str) else None
    if match is None:
        raise ValueError("expected r and a number, such as r12")
    return int(match[1])


Seconds = typing.Annotated[float, pydantic.BeforeValidator(_duration_s)]
Version = typing.Annotated[int, pydantic.BeforeValidator(_version)]
Text = typing.Annotated[str, pydantic.StringConstraints(strict=True, min_length=1)]
Whole = typing.Annotated[int, pydantic.Field(strict=True)]
Number = typing.Annotated[float, pydantic.Field(strict=True, ge=0, allow_inf_nan=False)]


class _Message(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(frozen=True, extra="ignore")


class PartMessage(_Message):
    """A service's part of a route."""

    service: Text
    weight: Number


class RouteMessage(_Message):
    """A route; ``priority`` is a rank, 0 the most urgent."""

    host: Text
    path_prefix: Text = pydantic.Field(alias="pathPrefix", pattern=r"^/(.*/)?$")
    route_type: typing.Literal["idempotent", "non_idempotent"] = pydantic.Field(alias="routeType")
    timeout: Seconds = pydantic.Field(gt=0, le=MAX_TIMEOUT_S)
    target_latency: Seconds = pydantic.Field(alias="targetLatency")
    priority: Whole = pydantic.Field(default=0, ge=0)
    service: Text | None = None
    traffic_split: list[PartMessage] | None = pydantic.Field(default=None, alias="trafficSplit")
    max_attempts: Whole = pydantic.Field(alias="maxAttempts", ge=1)
    # public means that no key is asked for.
    public: pydantic.StrictBool = False
    sticky_sessions: pydantic.StrictBool = pydantic.Field(default=False, alias="stickySessions")
    allowed_regions: list[Text] = pydantic.Field(default=[], alias="allowedRegions")

    @pydantic.model_validator(mode="after")
    def _has_services(self) -> RouteMessage:
        parts = self.parts()
        if not parts:
            raise ValueError("neither service nor trafficSplit")
        if sum(part.weight for part in parts) <= 0:
            raise ValueError("the weights add up to 0")
        return self

    def parts(self) -> tuple[model.Part, ...]:
        """Returns the services that share the requests."""
        if self.traffic_split:
            return tuple(model.Part(p.service, p.weight) for p in self.traffic_split)
        return (model.Part(self.service, 1.0),) if self.service else ()

    def to_model(self, name: str) -> model.Route:
        """Returns the product's route."""
        return model.Route(
            name=name,
            host=self.host.lower(),
            prefix=self.path_prefix,
            idempotent=self.route_type == "idempotent",
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
    """A service; ``coldPerS`` is what one cold endpoint tolerates."""

    max_connections: Whole = pydantic.Field(default=1_000_000, alias="maxConnections")
    cold_start: Seconds = pydantic.Field(default="0s", alias="coldStart", validate_default=True)
    cold_per_s: Number = pydantic.Field(default=0.0, alias="coldPerS")

    def to_model(self, name: str) -> model.Service:
        """Returns the product's service."""
        return model.Service(name, self.max_connections, self.cold_start, self.cold_per_s)


class LimitsMessage(_Message):
    """Bounds on callers."""

    max_header_bytes: Whole = pydantic.Field(default=16 * 1024, alias="maxHeaderBytes", gt=0)
    max_body_bytes: Whole = pydantic.Field(default=64 * 1024 * 1024, alias="maxBodyBytes", ge=0)
    header_timeout: Seconds = pydantic.Field(
        default="10s", alias="headerTimeout", validate_default=True, gt=0
    )
    idle_timeout: Seconds = pydantic.Field(
        default="60s", alias="idleTimeout", validate_default=True, gt=0
    )

    def to_model(self) -> model.Limits:
        """Returns the product's limits."""
        return model.Limits(
            self.max_header_bytes, self.max_body_bytes, self.header_timeout, self.idle_timeout
        )


class TenantMessage(_Message):
    """An organisation; a missing or zero ``ratePerS`` means no limit."""

    api_keys: list[Text] = pydantic.Field(default=[], alias="apiKeys")
    priority: Whole = pydantic.Field(default=0, ge=0)
    rate_per_s: Number = pydantic.Field(default=0.0, alias="ratePerS")
    burst: Number = 0.0
    allowed_regions: list[Text] = pydantic.Field(default=[], alias="allowedRegions")

    def to_model(self, name: str) -> model.Organisation:
        """Returns the product's organisation."""
        return model.Organisation(
            name=name,
            key_digests=tuple(model.key_digest(key) for key in self.api_keys),
            rank=self.priority,
            rate=self.rate_per_s,
            burst=self.burst,
            regions=frozenset(self.allowed_regions),
        )


class ConfigMessage(_Message):
    """A whole configuration."""

    version: Version
    routes: dict[str, RouteMessage]
    services: dict[str, ServiceMessage]
    limits: LimitsMessage = LimitsMessage()
    tenants: dict[str, TenantMessage] = {}

    @pydantic.model_validator(mode="after")
    def _fits_together(self) -> ConfigMessage:
        places: set[tuple[str, str]] = set()
        for name, route in self.routes.items():
            for part in route.parts():
                if part.service not in self.services:
                    raise ValueError(f"routes.{name}: unknown service {part.service!r}")
            place = (route.host.lower(), route.path_prefix)
            if place in places:
                raise ValueError(f"routes.{name}: another route has its host and prefix")
            places.add(place)
        keys = [key for tenant in self.tenants.values() for key in tenant.api_keys]
        if len(keys) != len(set(keys)):
            raise ValueError("tenants: a key is given twice")
        return self

    def items(self) -> dict[str, model.Document]:
        """Returns the product's items by subject."""
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
    """What stays the same during an endpoint's lifetime; ``version`` is of its software."""

    service: Text
    zone: Text
    slots: Whole = pydantic.Field(gt=0)


class StatusMessage(_Message):
    """What changes during an endpoint's lifetime."""

    state: typing.Literal["ready", "draining"]
    sequence: Whole
    cold_remaining: Seconds = pydantic.Field(
        default="0ms", alias="coldRemaining", validate_default=True
    )


class HeartbeatMessage(_Message):
    """An endpoint's report; ``born`` is the start of its lifetime, Unix milliseconds."""

    address: Text = pydantic.Field(pattern=_ADDRESS.pattern)
    born: Whole = 0
    info: InfoMessage
    status: StatusMessage

    def to_model(self, id_: str) -> model.Endpoint:
        """Returns the product's record."""
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
    """An endpoint's departure."""

    born: Whole | None = None


def decode(body: bytes, kind: type[_Message], step: str) -> typing.Any:
    """Reads a body.

    Raises:
        errors.InvalidInputError: It is not such a message; names each fault.
    """
    try:
        return kind.model_validate(orjson.loads(body))
    except orjson.JSONDecodeError as error:
        raise errors.InvalidInputError(f"body is not JSON: {error}", step=step) from error
    except pydantic.ValidationError as error:
        faults = [f"{'.'.join(map(str, f['loc']))}: {f['msg']}" for f in error.errors()[:20]]
        raise errors.InvalidInputError("body is not valid", faults=faults, step=step) from error


def decode_order(body: bytes, base: str | None) -> steward.ConfigurationUpdate:
    """Reads a configuration and the version that it builds on.

    Raises:
        errors.InvalidInputError: It cannot be read in full or is not valid.
    """
    message = decode(body, ConfigMessage, "replace configuration")
    try:
        base_version = _version(base)
    except ValueError as error:
        raise errors.InvalidInputError(f"X-If-Version: {error}", step="configure") from error
    source = orjson.loads(body)
    canonical = orjson.dumps([base_version, source], option=orjson.OPT_SORT_KEYS)
    return steward.ConfigurationUpdate(
        version=message.version,
        base=base_version,
        digest=hashlib.blake2b(canonical, digest_size=16).hexdigest(),
        items=message.items(),
        source=source,
    )
