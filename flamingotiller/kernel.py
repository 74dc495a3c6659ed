"""Extension points, at which plug-in modules register themselves when they are imported."""

from __future__ import annotations

import collections.abc
import importlib
import typing

from flamingotiller import errors

# Modules that register plug-ins when they are imported.
PLUGIN_MODULES = (
    "flamingotiller.selection",
    "flamingotiller.limiter",
    "flamingotiller.caller_routes",
    "flamingotiller.endpoint_routes",
    "flamingotiller.peer_routes",
    "flamingotiller.control_routes",
    "flamingotiller.operator_routes",
    "flamingotiller.platform_routes",
)

T = typing.TypeVar("T")


class ExtensionPoint(typing.Generic[T]):
    """Registry of the plug-ins of one kind, by name.

    Args:
        kind: Kind of the plug-ins, for error messages.
    """

    def __init__(self, kind: str) -> None:
        self.kind = kind
        self.by_name: dict[str, T] = {}

    def register(self, name: str) -> collections.abc.Callable[[T], T]:
        """Returns a decorator that registers its argument under ``name``.

        Raises:
            ValueError: Another plug-in is registered under that name.
        """

        def register_plugin(plugin: T) -> T:
            if self.by_name.setdefault(name, plugin) is not plugin:
                raise ValueError(f"{self.kind} {name!r} is registered twice")
            return plugin

        return register_plugin

    def get(self, name: str) -> T:
        """Returns the plug-in registered under ``name``.

        Raises:
            errors.SettingsError: No plug-in has that name.
        """
        try:
            return self.by_name[name]
        except KeyError:
            known = ", ".join(sorted(self.by_name))
            raise errors.SettingsError(
                f"unknown {self.kind} {name!r}; allowed: {known}", step="plug-in"
            ) from None


selection_policies: ExtensionPoint[type] = ExtensionPoint("selection policy")
limiters: ExtensionPoint[type] = ExtensionPoint("limiter")
entry_routes: ExtensionPoint[collections.abc.Callable] = ExtensionPoint("entry route")
control_routes: ExtensionPoint[collections.abc.Callable] = ExtensionPoint("control route")


def load_plugins() -> None:
    """Imports all plug-in modules, which registers their plug-ins."""
    for name in PLUGIN_MODULES:
        importlib.import_module(name)
