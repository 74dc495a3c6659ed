"""The role on ``core`` machines: a steward with the platform's calls and look-ups."""

from __future__ import annotations

import os
import pathlib
import random

from flamingotiller import clock
from flamingotiller.fleet import accounting, program, steward
from flamingotiller.platform import calls, settings_file

# A setting of our own: the platform's file knows one address of a machine only.
BIND_VARIABLE = "FLAMINGOTILLER_BIND_HOST"


def settings(file: settings_file.SettingsFile) -> steward.StewardSettings:
    """Returns the settings of a steward.

    Raises:
        errors.SettingsError: A field is missing or cannot be read.
    """
    return steward.StewardSettings(
        name=file.text("nodeName"),
        zone=file.text("zone"),
        region=file.text("region"),
        host=file.text("ip"),
        peer_port=file.peer_port(),
        seeds=file.seeds(),
        # bootstrap is true only where every disk of the system is still empty.
        found=file.flag("bootstrap"),
        data=pathlib.Path(file.text("dataDir")),
        report_interval=file.duration("heartbeat", "1500ms"),
        region_by_zone=file.region_by_zone(),
        tolerance=accounting.Tolerance(
            window=settings_file.parse_duration(file.bound("quotaWindow", "1s"), "quotaWindow"),
            overage=settings_file.parse_number(file.bound("quotaOverage", "0"), "quotaOverage"),
            slack=settings_file.parse_number(file.bound("quotaSlack", "0"), "quotaSlack"),
        ),
        bind_host=os.environ.get(BIND_VARIABLE, ""),
    )


def build(file: settings_file.SettingsFile, clk: clock.Clock) -> program.Parts:
    """Returns the steward and what it shows outside."""
    process = steward.Steward(settings(file), clk, random.SystemRandom())
    control, lookups = calls.ControlCalls(process), calls.LookupCalls(process)
    listen = file.listen()
    return program.Parts(process, {listen.control: control.serve, listen.lookups: lookups.serve})
