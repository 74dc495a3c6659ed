"""The settings file that the platform writes: lines of ``a.b=value``, lists joined by commas."""

from __future__ import annotations

import dataclasses
import datetime
import pathlib
import re

from flamingotiller import errors

PATH_VARIABLE = "FLAMINGOTILLER_NODE_FILE"
_DURATION = re.compile(r"^(\d+(?:\.\d+)?)(ms|s)$")


@dataclasses.dataclass(frozen=True)
class ListenAddresses:
    """Addresses that a process serves, ``IP:port``; empty where it does not serve it.

    Attributes:
        callers: Requests of callers.
        readiness: The platform's readiness checks.
        control: Operators and endpoints.
        lookups: Look-ups of callers.
    """

    callers: str
    readiness: str
    control: str
    lookups: str


class SettingsFile:
    """The fields of one settings file.

    Args:
        text: Content of the file.
    """

    def __init__(self, text: str) -> None:
        self._value_by_field: dict[str, str] = {}
        for line in text.splitlines():
            field, separator, value = line.strip().partition("=")
            if separator:
                self._value_by_field[field] = value
        bounds = (part.partition("=") for part in self._list("bounds"))
        self._bound_by_name = {name: value for name, _, value in bounds}

    @classmethod
    def read(cls, path: pathlib.Path) -> SettingsFile:
        """Reads a file.

        Raises:
            errors.SettingsError: The file cannot be read.
        """
        try:
            return cls(path.read_text(encoding="utf-8"))
        except (OSError, UnicodeDecodeError) as error:
            raise errors.SettingsError(f"cannot read {path}: {error}", step="settings") from error

    def _list(self, field: str) -> list[str]:
        return [part for part in self._value_by_field.get(field, "").split(",") if part]

    def _table(self, prefix: str) -> dict[str, str]:
        return {
            field.removeprefix(prefix): value
            for field, value in self._value_by_field.items()
            if field.startswith(prefix)
        }

    def listen(self) -> ListenAddresses:
        """Returns the addresses to serve."""
        by_name = self._table("listen.")
        return ListenAddresses(
            callers=by_name.get("frontend", ""),
            readiness=by_name.get("ready", ""),
            control=by_name.get("controlPlane", ""),
            lookups=by_name.get("directory", ""),
        )

    def text(self, field: str) -> str:
        """Returns a field that must be there.

        Raises:
            errors.SettingsError: It is missing.
        """
        try:
            return self._value_by_field[field]
        except KeyError:
            raise errors.SettingsError(f"{field}: missing", step="settings") from None

    def flag(self, field: str) -> bool:
        """Returns whether a field is true."""
        return self._value_by_field.get(field) == "true"

    def duration(self, field: str, default: str) -> datetime.timedelta:
        """Returns a duration; errors as ``parse_duration``."""
        return parse_duration(self._value_by_field.get(field, default), field)

    def bound(self, name: str, default: str) -> str:
        """Returns the text of one of the rules' bounds."""
        return self._bound_by_name.get(name, default)

    def region_by_zone(self) -> dict[str, str]:
        """Returns every availability zone with its region."""
        return self._table("zones.")

    def peer_port(self) -> int:
        """Returns the port of the system's own calls.

        Raises:
            errors.SettingsError: No port range is given.
        """
        first = self._list("internalPortRange")[:1]
        if not first or not first[0].isdigit():
            raise errors.SettingsError("internalPortRange: expected two ports", step="settings")
        return int(first[0])

    def seeds(self) -> tuple[str, ...]:
        """Returns where three stewards take the system's own calls.

        Raises:
            errors.SettingsError: None is named.
        """
        # seedNodes names where operators and endpoints call; peers listen beside it.
        hosts = [address.rpartition(":")[0] for address in self._list("seedNodes")]
        if not hosts:
            raise errors.SettingsError("seedNodes: empty", step="settings")
        return tuple(f"{host}:{self.peer_port()}" for host in hosts)


def parse_duration(text: object, field: str) -> datetime.timedelta:
    """Reads a number and its unit, such as ``1500ms`` or ``2.5s``.

    Raises:
        errors.SettingsError: Not a duration.
    """
    match = _DURATION.match(text) if isinstance(text, str) else None
    if match is None:
        raise errors.SettingsError(
            f"{field}: expected a duration such as 1500ms, got {text!r}", step="settings"
        )
    unit = {"ms": "milliseconds", "s": "seconds"}[match[2]]
    try:
        return datetime.timedelta(**{unit: float(match[1])})
    except OverflowError as error:
        raise errors.SettingsError(f"{field}: too long: {text!r}", step="settings") from error


def parse_number(text: str, field: str) -> float:
    """Reads a number.

    Raises:
        errors.SettingsError: Not a number.
    """
    try:
        return float(text)
    except ValueError as error:
        raise errors.SettingsError(
            f"{field}: expected a number, got {text!r}", step="settings"
        ) from error
