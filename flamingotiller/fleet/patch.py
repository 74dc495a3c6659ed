"""Differences of JSON documents, so that a change of a large configuration is a small log entry."""

from __future__ import annotations

import typing

# Tables within tables are compared this deep; deeper values are replaced whole.
DEPTH = 2

Patch = dict[str, typing.Any]


def difference(old: typing.Any, new: dict[str, typing.Any], depth: int = DEPTH) -> Patch:
    """Returns what turns one table into another.

    Args:
        old: A table; anything else counts as an empty one.
        new: The table to come to.
        depth: Tables that are entered.

    Returns:
        ``set`` (values), ``drop`` (keys) and ``into`` (patches of tables within), each left out
        where empty.
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
    """Returns the table that a patch leads to; the old one is left as it is."""
    base = dict(old) if isinstance(old, dict) else {}
    for key in patch.get("drop", ()):
        base.pop(key, None)
    for key, inner in patch.get("into", {}).items():
        base[key] = apply(base.get(key), inner)
    base.update(patch.get("set", {}))
    return base
