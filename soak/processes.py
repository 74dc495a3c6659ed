"""Runs gateways and stewards as separate processes on loopback, peer ports behind proxies."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import os
import pathlib
import resource
import shutil
import signal
import socket
import subprocess
import sys
import threading

from soak import proxy

MODULE = "flamingotiller.platform"
ROOT = pathlib.Path(__file__).parent.parent
BOUNDS = (
    "drainTimeout=2500ms,gracePeriod=6s,configApply=2500ms,strictRevoke=true,revokeTimeout=5000ms,"
    "quotaWindow=5s,quotaOverage=0.1,quotaSlack=20,coldOverage=1.5,coldSlack=5,evacuate=5000ms,"
    "maxRegionShift=1"
)
ZONES = {"a1": "a", "b1": "b", "c1": "c"}
HEARTBEAT_S = 0.5
STOP_TIMEOUT_S = 10.0  # longer than a graceful stop takes


@dataclasses.dataclass
class Instance:
    """One instance and its process, which may be restarted.

    Attributes:
        name: Name.
        role: ``gateway`` or ``steward``.
        zone: Availability zone.
        advertised_host: IP address that other instances use; a steward's proxy listens there.
        bind_host: IP address that the process listens on.
        process: The running process, None while it is down.
        peer_proxy: Proxy in front of the peer port; stewards only.
        paused: Whether it is suspended by SIGSTOP.
    """

    name: str
    role: str
    zone: str
    advertised_host: str
    bind_host: str
    process: subprocess.Popen | None = None
    peer_proxy: proxy.Proxy | None = None
    paused: bool = False


class Fleet:
    """The processes of one run.

    Args:
        folder: Folder for settings, data and logs.
        stewards: Number of stewards, the first three of which are the seed nodes.
        gateways: Number of gateways.
        module: Module that is run with the role and a port; tests pass one with a planted mistake.
    """

    def __init__(
        self, folder: pathlib.Path, stewards: int, gateways: int, module: str = MODULE
    ) -> None:
        self.folder = folder
        self._module = module
        self.loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self.loop.run_forever, daemon=True)
        self._thread.start()
        self.peer_port, self.caller_port, self.ready_port, *control_ports = _free_ports(5)
        self.control_port, self.lookup_port = control_ports
        zones = list(ZONES)
        self.instance_by_name: dict[str, Instance] = {}
        for number in range(stewards + gateways):
            role = "steward" if number < stewards else "gateway"
            name = f"{role}-{number}"
            tail = f"{number // 200}.{number % 200 + 1}"
            self.instance_by_name[name] = Instance(
                name, role, zones[number % len(zones)], f"127.2.{tail}", f"127.1.{tail}"
            )
        self.stewards = [i for i in self.instance_by_name.values() if i.role == "steward"]
        self.gateways = [i for i in self.instance_by_name.values() if i.role == "gateway"]

    def start(self) -> None:
        """Starts all proxies and processes for the first time."""
        for steward in self.stewards:
            steward.peer_proxy = proxy.Proxy(
                f"{steward.bind_host}:{self.peer_port}",
                f"{steward.advertised_host}:{self.peer_port}",
                self.loop,
            )
        for instance in self.instance_by_name.values():
            self.launch(instance, first=True)

    def launch(self, instance: Instance, first: bool = False) -> None:
        """Starts a process with its existing data folder."""
        path = self.folder / f"{instance.name}.conf"
        path.write_text(self._settings(instance, first))
        environment = {k: v for k, v in os.environ.items() if not k.startswith("FLAMINGOTILLER_")}
        environment["FLAMINGOTILLER_NODE_FILE"] = str(path)
        environment["FLAMINGOTILLER_BIND_HOST"] = instance.bind_host
        environment["PYTHONPATH"] = os.pathsep.join([str(ROOT), str(ROOT / "tests")])
        with open(self.folder / f"{instance.name}.log", "ab") as log:
            instance.process = subprocess.Popen(
                [sys.executable, "-m", self._module, instance.role, "0"],
                env=environment, cwd=self.folder, stdout=log, stderr=log,
            )  # fmt: skip
        instance.paused = False

    def _settings(self, instance: Instance, first: bool) -> str:
        data = self.folder / instance.name
        seeds = ",".join(f"{s.advertised_host}:{self.control_port}" for s in self.stewards[:3])
        lines = [
            f"nodeName={instance.name}", f"ip={instance.advertised_host}", f"zone={instance.zone}",
            f"region={ZONES[instance.zone]}",
            f"internalPortRange={self.peer_port},{self.peer_port + 1}",
            f"seedNodes={seeds}", f"bootstrap={'true' if first else 'false'}",
            f"heartbeat={HEARTBEAT_S * 1000:.0f}ms", f"bounds={BOUNDS}",
            *(f"zones.{zone}={region}" for zone, region in ZONES.items()),
        ]  # fmt: skip
        if instance.role == "gateway":
            lines.append(f"listen.frontend={instance.bind_host}:{self.caller_port}")
            lines.append(f"listen.ready={instance.bind_host}:{self.ready_port}")
        else:
            data.mkdir(exist_ok=True)
            lines.append(f"listen.controlPlane={instance.bind_host}:{self.control_port}")
            lines.append(f"listen.directory={instance.bind_host}:{self.lookup_port}")
            lines.append(f"dataDir={data}")
        return "\n".join(lines) + "\n"

    def kill(self, instance: Instance) -> None:
        """Kills a process and waits for it to exit."""
        if instance.process:
            instance.process.kill()
            instance.process.wait(STOP_TIMEOUT_S)
            instance.process = None

    def wipe(self, instance: Instance) -> None:
        """Removes the data folder of a process that is down."""
        shutil.rmtree(self.folder / instance.name)

    def pause(self, instance: Instance, paused: bool) -> None:
        """Suspends or resumes a process."""
        if instance.process:
            instance.process.send_signal(signal.SIGSTOP if paused else signal.SIGCONT)
            instance.paused = paused

    async def terminate(self, instance: Instance) -> bool:
        """Sends SIGTERM and returns whether the process exited in time; kills it otherwise."""
        process = instance.process
        if process is None:
            return True
        process.terminate()
        with contextlib.suppress(subprocess.TimeoutExpired):
            await asyncio.to_thread(process.wait, STOP_TIMEOUT_S)
        ended = process.poll() is not None
        self.kill(instance)
        return ended

    def fill_disk(self, instance: Instance, full: bool) -> None:
        """Makes writes of a process fail as on a full disk, or lets them succeed again."""
        if instance.process and instance.process.poll() is None:
            _, hard = resource.prlimit(instance.process.pid, resource.RLIMIT_FSIZE)
            # The limit also applies to the log file: log lines fail to be written meanwhile.
            soft = 1 if full else hard
            resource.prlimit(instance.process.pid, resource.RLIMIT_FSIZE, (soft, hard))

    def unexpected_exits(self) -> list[str]:
        """Returns a message for each process that exited without being told to."""
        return [
            f"{i.name} ended with {i.process.returncode}"
            for i in self.instance_by_name.values()
            if i.process and i.process.poll() is not None
        ]

    def close(self) -> None:
        """Stops every process and proxy."""
        with contextlib.ExitStack() as stack:
            stack.callback(self._thread.join, STOP_TIMEOUT_S)
            stack.callback(self.loop.call_soon_threadsafe, self.loop.stop)
            for instance in self.instance_by_name.values():
                stack.callback(self.kill, instance)
                if instance.peer_proxy:
                    stack.callback(instance.peer_proxy.close)


def _free_ports(count: int) -> list[int]:
    """Returns different ports that are free now."""
    with contextlib.ExitStack() as stack:
        ports = []
        while len(ports) < count:
            bound_socket = stack.enter_context(socket.socket())
            bound_socket.bind(("127.0.0.1", 0))
            ports.append(bound_socket.getsockname()[1])
        return ports
