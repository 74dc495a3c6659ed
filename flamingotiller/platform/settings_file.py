"""Parser of the platform's settings file: lines of ``a.b=value``, lists separated by commas."""

from __future__ import annotations

import dataclasses
import datetime
import pathlib
import re

from flamingotiller import errors

# Environment variable with the path of the settings file.
PATH_VARIABLE = "FLAMINGOTILLER_NODE_FILE"
_DURATION = re.compile(r"^(\d+(?:\.\d+)?)(ms|s)$")


@dataclasses.dataclass(frozen=True)
class ListenAddresses:
    """Addresses that a process listens on, ``IP:port``; empty if it does not serve that purpose.

    Attributes:
        callers: For requests of callers.
        readiness: For the platform's readiness checks.
        control: For calls of operators and endpoints.
        lookups: For look-ups of callers.
    """

    callers: str
    readiness: str
    control: str
    lookups: str


class SettingsFile:
    """Fields of a settings file.

    Args:
        text: Content of the file. Lines without an equals sign are ignored.
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
        """Reads and parses a file.

        Raises:
            errors.SettingsError: The file cannot be read or is not UTF-8.
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
        """Returns the addresses to listen on."""
        address_by_purpose = self._table("listen.")
        return ListenAddresses(
            callers=address_by_purpose.get("frontend", ""),
            readiness=address_by_purpose.get("ready", ""),
            control=address_by_purpose.get("controlPlane", ""),
            lookups=address_by_purpose.get("directory", ""),
        )

    def text(self, field: str) -> str:
        """Returns the value of a required field.

        Raises:
            errors.SettingsError: The field is missing.
        """
        try:
            return self._value_by_field[field]
        except KeyError:
            raise errors.SettingsError(f"{field}: missing", step="settings") from None

    def flag(self, field: str) -> bool:
        """Returns whether a field is ``true``; False if it is missing."""
        return self._value_by_field.get(field) == "true"

    def duration(self, field: str, default: str) -> datetime.timedelta:
        """Returns a field's duration, or that of ``default`` if it is missing.

        Raises:
            errors.SettingsError: The value is not a valid duration.
        """
        return parse_duration(self._value_by_field.get(field, default), field)

    def bound(self, name: str, default: str) -> str:
        """Returns an item of the ``bounds`` field as text, or ``default`` if it is missing."""
        return self._bound_by_name.get(name, default)

    def region_by_zone(self) -> dict[str, str]:
        """Returns the region of every availability zone."""
        return self._table("zones.")

    def peer_port(self) -> int:
        """Returns the port for calls between instances: the first of ``internalPortRange``.

        Raises:
            errors.SettingsError: The port range is missing or is not a number.
        """
        ports = self._list("internalPortRange")[:1]
        if not ports or not ports[0].isdecimal():
            raise errors.SettingsError("internalPortRange: expected two ports", step="settings")
        return int(ports[0])

    def seeds(self) -> tuple[str, ...]:
        """Returns the peer addresses of the three stewards that the platform names as seeds.

        Raises:
            errors.SettingsError: There are no seeds, or the peer port is missing.
        """
        # seedNodes lists the addresses that operators and endpoints call. For peers, the same hosts
        # listen on the peer port.
        hosts = [address.rpartition(":")[0] for address in self._list("seedNodes")]
        if not hosts:
            raise errors.SettingsError("seedNodes: empty", step="settings")
        return tuple(f"{host}:{self.peer_port()}" for host in hosts)


def parse_duration(text: object, field: str) -> datetime.timedelta:
    """Parses a number with the unit ``ms`` or ``s``, such as ``1500ms`` or ``2.5s``.

    Raises:
        errors.SettingsError: The text is not a duration or is out of range.
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
        raise errors.SettingsError(
            f"{field}: duration out of range: {text!r}", step="settings"
        ) from error


def parse_number(text: str, field: str) -> float:
    """Parses a number.

    Raises:
        errors.SettingsError: The text is not a number.
    """
    try:
        return float(text)
    except ValueError as error:
        raise errors.SettingsError(
            f"{field}: expected a number, got {text!r}", step="settings"
        ) from error
