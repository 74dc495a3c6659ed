"""Runs a role on the platform: ``python3 -m flamingotiller.platform ROLE METRICS_PORT``."""

from __future__ import annotations

import importlib
import os
import pathlib
import sys

from flamingotiller import clock, errors
from flamingotiller.fleet import program
from flamingotiller.platform import settings_file

# Only the module of the requested role is imported, since peak memory is charged for.
MODULE_BY_ROLE = {
    "gateway": "flamingotiller.platform.edge",
    "steward": "flamingotiller.platform.core",
}


def main(arguments: list[str]) -> int:
    """Runs the role named by the first argument and returns the exit code."""
    if len(arguments) != 2 or arguments[0] not in MODULE_BY_ROLE or not arguments[1].isdecimal():
        roles = ", ".join(MODULE_BY_ROLE)
        print(f"expected a role ({roles}) and a metrics port", file=sys.stderr)
        return errors.InvalidInputError.exit_code
    role = importlib.import_module(MODULE_BY_ROLE[arguments[0]])
    path = pathlib.Path(os.environ.get(settings_file.PATH_VARIABLE, ""))
    clk = clock.SystemClock()
    try:
        file = settings_file.SettingsFile.read(path)
        identity = program.Identity(arguments[0], file.text("nodeName"), file.text("ip"))
        program.run(
            identity,
            lambda: role.build(settings_file.SettingsFile.read(path), clk),
            lambda: role.settings(settings_file.SettingsFile.read(path)),
            path,
            int(arguments[1]),
            clk,
        )
    except errors.FlamingotillerError as error:
        print(f"{type(error).__name__}: {error}", file=sys.stderr)
        return error.exit_code
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
