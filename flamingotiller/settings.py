"""Settings of a process: flags and environment variables, validated by one model per role.

The flag ``--listen`` and the variable ``FLAMINGOTILLER_LISTEN`` set the same value; the flag takes
precedence. Secrets come from files or the environment only, so that no process list shows them."""

from __future__ import annotations

import collections.abc
import datetime
import pathlib
import re
import tomllib
import typing

import pydantic

from flamingotiller import clock, contract, errors, limiter

ENVIRONMENT_PREFIX = "FLAMINGOTILLER_"
_ADDRESS = re.compile(r"^(\d{1,3}(?:\.\d{1,3}){3}|\[[0-9a-fA-F:]+\]):(\d{1,5})$")
_SECRET_NAMES = ("peer_token",)


def parse_address(value: object) -> str:
    """Validates an ``IP:port`` address and returns it.

    Raises:
        ValueError: The value is not an IP address and a port.
    """
    match = _ADDRESS.match(str(value))
    if not match or int(match[2]) > 65535:
        raise ValueError("expected an IP number and a port such as 10.0.0.7:7400")
    return str(value)


def parse_list(value: object) -> object:
    """Splits text at commas; returns a tuple as a list and other values unchanged."""
    if isinstance(value, str):
        return [part.strip() for part in value.split(",") if part.strip()]
    return list(value) if isinstance(value, tuple) else value


def parse_mapping(value: object) -> object:
    """Parses ``a=x,b=y`` into a mapping; returns mappings unchanged."""
    if isinstance(value, (str, tuple, list)):
        parts = typing.cast(list[str], parse_list(value))
        pairs = [part.partition("=") for part in parts]
        if any(not separator for _, separator, _ in pairs):
            raise ValueError("expected NAME=IP:PORT, separated by commas")
        return {key: item for key, _, item in pairs}
    return value


Address = typing.Annotated[str, pydantic.BeforeValidator(parse_address)]
AddressList = typing.Annotated[list[Address], pydantic.BeforeValidator(parse_list)]
AddressMap = typing.Annotated[dict[str, Address], pydantic.BeforeValidator(parse_mapping)]


class CommonSettings(pydantic.BaseModel):
    """Settings of every daemon."""

    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)

    instance: contract.Name = pydantic.Field(description="name of this instance")
    listen: Address = pydantic.Field(description="IP:port to listen on; port 0 picks a free one")
    advertise: Address | None = pydantic.Field(
        default=None, description="IP:port that others use; the listening address if unset"
    )
    tokens_file: pathlib.Path = pydantic.Field(
        description="TOML file with the credentials of peers, operators and services"
    )
    log_format: typing.Literal["text", "json"] = pydantic.Field(
        default="text", description="form of log lines, text or json"
    )
    stop_timeout: contract.Duration = pydantic.Field(
        default=clock.seconds(30), description="longest graceful stop"
    )


class ControlSettings(CommonSettings):
    """Settings of a control instance."""

    data: pathlib.Path = pydantic.Field(description="data folder, made by the found command")
    heartbeat: contract.Duration = pydantic.Field(
        default=clock.seconds(0.25), description="interval between the leader's messages"
    )
    election_timeout: contract.Duration = pydantic.Field(
        default=clock.seconds(1.5), description="silence after which an election starts"
    )
    snapshot_every: int = pydantic.Field(
        default=2000, ge=10, description="log entries between snapshots"
    )
    join: AddressList = pydantic.Field(
        default=[], description="control instances to learn the leader from when not founded"
    )


class EntrySettings(CommonSettings):
    """Settings of an entry instance."""

    zone: contract.Name = pydantic.Field(description="availability zone of this instance")
    control: AddressList = pydantic.Field(description="control instances", min_length=1)
    seeds: AddressList = pydantic.Field(
        default=[], description="other entry instances, of this zone first"
    )
    freshness_bound: contract.Duration = pydantic.Field(
        default=clock.seconds(4),
        le=limiter.MAX_FRESHNESS_BOUND,
        description="age of the last confirmation past which keyed routes are refused",
    )
    lease: contract.Duration = pydantic.Field(
        default=clock.seconds(4), description="length of a shard lease within the zone"
    )
    gossip_interval: contract.Duration = pydantic.Field(
        default=clock.seconds(1), description="interval between membership exchanges"
    )
    member_timeout: contract.Duration = pydantic.Field(
        default=clock.seconds(5), description="silence after which a member counts as down"
    )
    endpoint_lease: contract.Duration = pydantic.Field(
        default=clock.seconds(3), description="lifetime of an endpoint's announcement"
    )
    lookup_lifetime: contract.Duration = pydantic.Field(
        default=clock.seconds(5), description="lifetime of a look-up's answer"
    )
    limiter: str = pydantic.Field(default="escrow", description="name of the rate limiter")
    max_connections: int = pydantic.Field(default=12_000, ge=10, description="callers at once")
    retention: contract.Duration = pydantic.Field(
        default=datetime.timedelta(minutes=10),
        description="how long outcomes of finished requests are kept",
    )


class Tokens(pydantic.BaseModel):
    """Credentials, read from the tokens file.

    Attributes:
        peer: Token shared by the processes of the system.
        operators: Token by operator name.
        services: Token by service name; an endpoint presents the token of its service.
    """

    model_config = pydantic.ConfigDict(extra="forbid", frozen=True, hide_input_in_errors=True)

    peer: pydantic.SecretStr = pydantic.Field(min_length=16)
    operators: dict[str, pydantic.SecretStr] = {}
    services: dict[str, pydantic.SecretStr] = {}


S = typing.TypeVar("S", bound=CommonSettings)


def load(
    model: type[S],
    flags: collections.abc.Mapping[str, object],
    environ: collections.abc.Mapping[str, str],
) -> S:
    """Builds the settings of a role.

    Args:
        model: Model of the role's settings.
        flags: Values by flag name.
        environ: Environment variables.

    Raises:
        errors.SettingsError: A setting is unknown or invalid; the error lists each with its value
            and what is allowed.
    """
    values = _from_environment(model, environ)
    unknown = [
        f"--{name}: unknown; allowed: {', '.join(sorted(model.model_fields))}"
        for name in flags
        if name not in model.model_fields
    ]
    values.update(flags)
    try:
        loaded = model.model_validate(
            {key: item for key, item in values.items() if key in model.model_fields}
        )
    except pydantic.ValidationError as error:
        raise errors.SettingsError(
            "settings are not valid", faults=unknown + _describe_faults(error), step="settings"
        ) from error
    if unknown:
        raise errors.SettingsError("settings are not valid", faults=unknown, step="settings")
    return loaded


def _from_environment(
    model: type[CommonSettings], environ: collections.abc.Mapping[str, str]
) -> dict[str, object]:
    # Roles may share an environment file, so only a variable that no role knows is an error.
    known = {*ControlSettings.model_fields, *EntrySettings.model_fields}
    operator_variables = {"TOKEN", "TOKEN_FILE", "SERVER", "CACHE", "CHANGE_ID"}
    values: dict[str, object] = {}
    faults = []
    for key, item in environ.items():
        if (
            not key.startswith(ENVIRONMENT_PREFIX)
            or key[len(ENVIRONMENT_PREFIX) :] in operator_variables
        ):
            continue
        name = key[len(ENVIRONMENT_PREFIX) :].lower()
        if name in model.model_fields:
            values[name] = item
        elif name not in known:
            faults.append(f"{key}: unknown variable")
    if faults:
        raise errors.SettingsError("settings are not valid", faults=faults, step="settings")
    return values


def _describe_faults(error: pydantic.ValidationError) -> list[str]:
    lines = []
    for fault in error.errors():
        name = ".".join(map(str, fault["loc"]))
        given = "" if fault["type"] == "missing" else f" (got {fault['input']!r})"
        lines.append(f"--{name}: {fault['msg']}{given}")
    return lines


def load_tokens(path: pathlib.Path) -> Tokens:
    """Reads the tokens file; error messages never contain its values.

    Raises:
        errors.SettingsError: The file is unreadable or invalid.
    """
    try:
        return Tokens.model_validate(tomllib.loads(path.read_text(encoding="utf-8")))
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError) as error:
        raise errors.SettingsError(
            f"cannot read {path}: {type(error).__name__}", step="tokens"
        ) from error
    except pydantic.ValidationError as error:
        faults = [f"{'.'.join(map(str, f['loc']))}: {f['msg']}" for f in error.errors()]
        raise errors.SettingsError(f"{path} is not valid", faults=faults, step="tokens") from None


def describe(model: type[pydantic.BaseModel]) -> str:
    """Returns one line for each setting, for docs/SETTINGS.md."""
    lines = []
    for name, field in model.model_fields.items():
        default = "required" if field.is_required() else f"default {_format(field.get_default())}"
        lines.append(f"--{name}: {field.description} ({default})")
    return "\n".join(lines)


def _format(value: object) -> str:
    if isinstance(value, datetime.timedelta):
        return f"{value.total_seconds():g}s"
    if value is None or value == []:
        return "none"
    return str(value)
