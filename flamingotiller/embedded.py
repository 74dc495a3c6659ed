"""A fleet of all roles in one process, on loopback, for demonstrations and tests."""

from __future__ import annotations

import contextlib
import dataclasses
import pathlib
import random
import secrets
import socket
import tempfile
import typing

from flamingotiller import (
    clock,
    control,
    endpoint_emulator,
    entry,
    porcelain,
    settings,
)

OPERATOR = "operator"
LISTEN_PORTS = range(20_000, 32_000)
_taken_ports: set[int] = set()
_port_rng = random.SystemRandom()
FAST_CONTROL_SETTINGS: dict[str, typing.Any] = {
    "election_timeout": clock.seconds(0.5),
    "heartbeat": clock.seconds(0.1),
}
FAST_ENTRY_SETTINGS: dict[str, typing.Any] = {
    "gossip_interval": clock.seconds(0.2),
    "lease": clock.seconds(1),
}


@dataclasses.dataclass(frozen=True)
class Plan:
    """Size and timing of a fleet.

    Attributes:
        zones: Region by zone.
        seats_per_zone: Number of entry instances in each zone.
        controls: Number of control instances.
        services: Services that get endpoints.
        endpoints_per_zone: Number of endpoints of each service in each zone.
        slots: Slots of each endpoint.
        service_time_s: Time that an endpoint takes to serve a request.
        lookup_lifetime_s: Lifetime of the responses to look-ups.
        short_intervals: Whether election timeouts, heartbeats, gossip intervals and leases are
            shorter than the defaults.
    """

    zones: dict[str, str]
    seats_per_zone: int = 1
    controls: int = 1
    services: tuple[str, ...] = ()
    endpoints_per_zone: int = 1
    slots: int = 6
    service_time_s: float = 0.005
    lookup_lifetime_s: float = 1.0
    short_intervals: bool = True


class Fleet:
    """Control instances, entry instances and emulated endpoints in this process.

    Args:
        plan: Size and timing of the fleet.
        folder: Folder for data and tokens.
    """

    def __init__(self, plan: Plan, folder: pathlib.Path) -> None:
        self.plan = plan
        self.folder = folder
        self.controls: list[control.ControlInstance] = []
        self.entries: list[entry.EntryInstance] = []
        self.endpoints: list[endpoint_emulator.EmulatedEndpoint] = []
        self.token = secrets.token_hex(16)
        self._stack = contextlib.AsyncExitStack()

    async def start(self) -> None:
        """Starts all daemons and endpoints; stops those already started if one fails."""
        async with contextlib.AsyncExitStack() as stack:
            self._stack = stack
            self._write_tokens()
            await self._start_controls()
            for zone in self.plan.zones:
                for number in range(self.plan.seats_per_zone):
                    await self.start_entry(zone, number)
            for zone in self.plan.zones:
                await self._start_endpoints(zone)
            self._stack = stack.pop_all()

    async def close(self) -> None:
        """Stops all endpoints and daemons, the daemons without draining them."""
        await self._stack.aclose()

    @property
    def tokens_file(self) -> pathlib.Path:
        """Path of the tokens file."""
        return self.folder / "tokens.toml"

    @property
    def control_addresses(self) -> list[str]:
        """Addresses of the control instances."""
        return [instance.address for instance in self.controls]

    def operator(self) -> typing.Any:
        """Returns a context manager that yields an operator's client."""
        return porcelain.connect(self.control_addresses, self.token)

    def deployment(self) -> dict[str, typing.Any]:
        """Returns a deployment that matches the plan."""
        zones = [
            {"name": zone, "region": region, "seats": self._seats(zone)}
            for zone, region in self.plan.zones.items()
        ]
        return {"zones": zones}

    def _seats(self, zone: str) -> list[str]:
        return [f"{zone}-{number}" for number in range(self.plan.seats_per_zone)]

    def entries_in(self, zone: str) -> list[entry.EntryInstance]:
        """Returns the entry instances of a zone."""
        return [instance for instance in self.entries if instance.config.zone == zone]

    def service_token(self, service: str) -> str:
        """Returns the credential of a service."""
        return f"service-{service}-{self.token}"

    def _write_tokens(self) -> None:
        lines = [f'peer = "peer-{self.token}"', "[operators]", f'{OPERATOR} = "{self.token}"']
        lines.append("[services]")
        lines += [f'{name} = "{self.service_token(name)}"' for name in self.plan.services]
        self.tokens_file.write_text("\n".join(lines) + "\n", encoding="utf-8")
        self.tokens_file.chmod(0o600)

    async def _start_controls(self) -> None:
        tokens = settings.load_tokens(self.tokens_file)
        # Each data folder holds the addresses of all members, so the ports are chosen up front.
        names = [f"control-{number}" for number in range(self.plan.controls)]
        ports = free_ports(len(names))
        address_by_name = {
            name: f"127.0.0.1:{port}" for name, port in zip(names, ports, strict=True)
        }
        for name in names:
            folder = self.folder / name
            control.create_founding_member(folder, name, address_by_name)
            config = settings.ControlSettings(
                instance=name,
                listen=address_by_name[name],
                tokens_file=self.tokens_file,
                data=folder,
                **(FAST_CONTROL_SETTINGS if self.plan.short_intervals else {}),
            )
            instance = control.ControlInstance(
                config, tokens, clock.SystemClock(), random.Random(name)
            )
            await instance.start()
            self._stack.push_async_callback(instance.stack.aclose)
            self.controls.append(instance)

    async def start_entry(self, zone: str, number: int) -> entry.EntryInstance:
        """Starts an entry instance of a zone."""
        config = settings.EntrySettings(
            instance=f"{zone}-{number}",
            listen="127.0.0.1:0",
            tokens_file=self.tokens_file,
            zone=zone,
            control=self.control_addresses,
            seeds=[instance.address for instance in self.entries],
            lookup_lifetime=clock.seconds(self.plan.lookup_lifetime_s),
            **(FAST_ENTRY_SETTINGS if self.plan.short_intervals else {}),
        )
        tokens = settings.load_tokens(self.tokens_file)
        instance = entry.EntryInstance(
            config, tokens, clock.SystemClock(), random.Random(config.instance)
        )
        await instance.start()
        self._stack.push_async_callback(instance.stack.aclose)
        self.entries.append(instance)
        return instance

    async def _start_endpoints(self, zone: str) -> None:
        addresses = [instance.address for instance in self.entries_in(zone)]
        for service in self.plan.services:
            for number in range(self.plan.endpoints_per_zone):
                profile = endpoint_emulator.Profile(
                    service,
                    f"{service}-{zone}-{number}",
                    slots=self.plan.slots,
                    service_time_s=self.plan.service_time_s,
                )
                endpoint = endpoint_emulator.EmulatedEndpoint(
                    profile, addresses, self.service_token(service)
                )
                await endpoint.start()
                self._stack.push_async_callback(endpoint.stop)
                self.endpoints.append(endpoint)


def free_ports(count: int) -> list[int]:
    """Returns free ports of the loopback address that were not returned before.

    They are outside the ephemeral port range, so no outgoing connection takes one of them before
    the process that it is meant for listens.
    """
    ports: list[int] = []
    while len(ports) < count:
        port = _port_rng.choice(LISTEN_PORTS)
        if port not in _taken_ports and _is_free(port):
            _taken_ports.add(port)
            ports.append(port)
    return ports


def _is_free(port: int) -> bool:
    with socket.socket() as probe:
        try:
            probe.bind(("127.0.0.1", port))
        except OSError:
            return False
    return True


@contextlib.asynccontextmanager
async def running(plan: Plan, folder: pathlib.Path | None = None) -> typing.AsyncIterator[Fleet]:
    """Runs a fleet for the duration of the context, in a temporary folder if none is given."""
    with contextlib.ExitStack() as stack:
        if folder is None:
            folder = pathlib.Path(stack.enter_context(tempfile.TemporaryDirectory()))
        fleet = Fleet(plan, folder)
        await fleet.start()
        try:
            yield fleet
        finally:
            await fleet.close()
