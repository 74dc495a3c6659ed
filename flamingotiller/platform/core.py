"""Role of the platform's ``core`` machines: a steward that serves control calls and look-ups."""

from __future__ import annotations

import os
import pathlib
import random

from flamingotiller import clock
from flamingotiller.fleet import accounting, program, steward
from flamingotiller.platform import calls, settings_file

# Host to bind peer listeners to. The platform's settings file has only one address per machine, so
# this is an environment variable of this project.
BIND_HOST_VARIABLE = "FLAMINGOTILLER_BIND_HOST"


def settings(file: settings_file.SettingsFile) -> steward.StewardSettings:
    """Returns the settings of a steward.

    Raises:
        errors.SettingsError: A field is missing or invalid.
    """
    return steward.StewardSettings(
        name=file.text("nodeName"),
        zone=file.text("zone"),
        region=file.text("region"),
        host=file.text("ip"),
        peer_port=file.peer_port(),
        seeds=file.seeds(),
        # The platform sets bootstrap only while all disks of the system are still empty.
        found=file.flag("bootstrap"),
        data=pathlib.Path(file.text("dataDir")),
        report_interval=file.duration("heartbeat", "1500ms"),
        region_by_zone=file.region_by_zone(),
        tolerance=accounting.Tolerance(
            window=settings_file.parse_duration(file.bound("quotaWindow", "1s"), "quotaWindow"),
            overage=settings_file.parse_number(file.bound("quotaOverage", "0"), "quotaOverage"),
            slack=settings_file.parse_number(file.bound("quotaSlack", "0"), "quotaSlack"),
        ),
        bind_host=os.environ.get(BIND_HOST_VARIABLE, ""),
    )


def build(file: settings_file.SettingsFile, clk: clock.Clock) -> program.HostedProgram:
    """Returns the steward and its request handlers by listen address.

    Raises:
        errors.SettingsError: A field is missing or invalid.
    """
    process = steward.Steward(settings(file), clk, random.SystemRandom())
    control, lookups = calls.ControlHandler(process), calls.LookupHandler(process)
    listen = file.listen()
    handler_by_address = {listen.control: control.serve, listen.lookups: lookups.serve}
    return program.HostedProgram(process, handler_by_address, steward.STOP_GRACE)
