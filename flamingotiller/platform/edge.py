"""Role of the platform's ``edge`` machines: a gateway with the platform's readiness check."""

from __future__ import annotations

import random

from flamingotiller import clock, errors, server
from flamingotiller.fleet import gateway, program
from flamingotiller.platform import headers, settings_file


class ReadinessHandler:
    """Serves the platform's readiness checks of a gateway.

    Args:
        process: Gateway to check.
    """

    def __init__(self, process: gateway.Gateway) -> None:
        self._gateway = process

    async def serve(self, request: server.Request, reply: server.Reply) -> None:
        """Replies 200 if the gateway accepts new callers, otherwise 503.

        Raises:
            errors.NotFoundError: The path is unknown.
        """
        if request.path != "/readyz":
            raise errors.NotFoundError("no such call", step="readiness", peer=request.peer)
        await reply.json(200 if self._gateway.ready() else 503, {})


def settings(file: settings_file.SettingsFile) -> gateway.GatewaySettings:
    """Returns the settings of a gateway.

    Raises:
        errors.SettingsError: A field is missing or invalid.
    """
    return gateway.GatewaySettings(
        name=file.text("nodeName"),
        zone=file.text("zone"),
        region=file.text("region"),
        address=file.listen().callers,
        peer_port=file.peer_port(),
        seeds=file.seeds(),
        region_by_zone=file.region_by_zone(),
        revocation_bound=settings_file.parse_duration(
            file.bound("revokeTimeout", "5s"), "revokeTimeout"
        ),
        cold_overage=settings_file.parse_number(file.bound("coldOverage", "1"), "coldOverage"),
        max_region_shift=settings_file.parse_number(
            file.bound("maxRegionShift", "1"), "maxRegionShift"
        ),
        retry_ratio=settings_file.parse_number(
            file.bound("retryBudgetRatio", "0.1"), "retryBudgetRatio"
        ),
        retry_slack=settings_file.parse_number(file.bound("retrySlack", "10"), "retrySlack"),
        grace_period=settings_file.parse_duration(file.bound("gracePeriod", "6s"), "gracePeriod"),
        cold_slack=settings_file.parse_number(file.bound("coldSlack", "0"), "coldSlack"),
    )


def build(file: settings_file.SettingsFile, clk: clock.Clock) -> program.HostedProgram:
    """Returns the gateway and its request handler by listen address.

    Raises:
        errors.SettingsError: A field is missing or invalid.
    """
    process = gateway.Gateway(settings(file), headers.DIALECT, clk, random.Random())
    readiness = ReadinessHandler(process)
    return program.HostedProgram(process, {file.listen().readiness: readiness.serve})
