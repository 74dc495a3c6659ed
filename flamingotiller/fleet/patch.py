"""Patches for JSON objects, so that a change of a large configuration is a small log entry."""

from __future__ import annotations

import typing

# Number of levels of nested objects that are compared; values below them are replaced as a whole.
MAX_DEPTH = 2

Patch = dict[str, typing.Any]


def difference(old: typing.Any, new: dict[str, typing.Any], depth: int = MAX_DEPTH) -> Patch:
    """Returns the patch that turns one JSON object into another.

    Args:
        old: Old object; a value of any other type counts as an empty object.
        new: New object.
        depth: Number of levels to compare.

    Returns:
        An object with ``set`` (values by key), ``drop`` (removed keys) and ``into`` (patches of
        nested objects by key), each left out if empty.
    """
    base = old if isinstance(old, dict) else {}
    values, into = {}, {}
    for key, value in new.items():
        if key in base and base[key] == value:
            continue
        if depth > 1 and isinstance(value, dict) and isinstance(base.get(key), dict):
            into[key] = difference(base[key], value, depth - 1)
        else:
            values[key] = value
    drop = [key for key in base if key not in new]
    parts = {"set": values, "drop": drop, "into": into}
    return {name: part for name, part in parts.items() if part}


def apply(old: typing.Any, patch: Patch) -> dict[str, typing.Any]:
    """Returns a patched copy of an object; a value of any other type counts as an empty object."""
    base = dict(old) if isinstance(old, dict) else {}
    for key in patch.get("drop", ()):
        base.pop(key, None)
    for key, nested in patch.get("into", {}).items():
        base[key] = apply(base.get(key), nested)
    base.update(patch.get("set", {}))
    return base
