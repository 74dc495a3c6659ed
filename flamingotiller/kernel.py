"""The kernel: named extension points at which plug-in modules register themselves on import."""

from __future__ import annotations

import collections.abc
import importlib
import typing

from flamingotiller import errors

# Modules that register plug-ins; loading them fills the extension points.
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
    """A named set of plug-ins of one kind.

    Args:
        kind: What the plug-ins are, used in error messages.
    """

    def __init__(self, kind: str) -> None:
        self.kind = kind
        self.by_name: dict[str, T] = {}

    def register(self, name: str) -> collections.abc.Callable[[T], T]:
        """Returns a decorator that registers its argument under ``name``.

        Raises:
            ValueError: The name is taken by another plug-in.
        """

        def add(plugin: T) -> T:
            if self.by_name.setdefault(name, plugin) is not plugin:
                raise ValueError(f"{self.kind} {name!r} is registered twice")
            return plugin

        return add

    def get(self, name: str) -> T:
        """Returns the plug-in called ``name``.

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
    """Imports every plug-in module, each of which registers what it offers."""
    for name in PLUGIN_MODULES:
        importlib.import_module(name)
