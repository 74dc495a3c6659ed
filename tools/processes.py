"""Runs a fleet as separate processes on loopback for tests and measurements."""

import contextlib
import json
import os
import pathlib
import signal
import subprocess
import sys
import time

from flamingotiller import embedded

ROOT = pathlib.Path(__file__).parent.parent
PEER_TOKEN = "peer-token-of-the-tests"
OPERATOR_TOKEN = "operator-token-of-the-tests"
SERVICE_TOKEN = "service-token-of-the-tests"


class Processes:
    """A fleet of separate processes.

    Args:
        folder: Folder for data, logs and tokens.
        program: Command that starts the program; the package of this checkout by default.
        production_timing: Whether to keep the settings' default intervals, not shorter ones.
    """

    def __init__(self, folder, program=None, *, production_timing=False):
        self.production_timing = production_timing
        self.folder = pathlib.Path(folder)
        self.program = program or [sys.executable, "-m", "flamingotiller"]
        self.process_by_name = {}
        self.address_by_name = {}
        self.arguments_by_name = {}
        self.tokens = self.folder / "tokens.toml"
        self.tokens.write_text(
            f'peer = "{PEER_TOKEN}"\n[operators]\nalice = "{OPERATOR_TOKEN}"\n'
            f'bob = "{OPERATOR_TOKEN}-b"\n[services]\nsearch = "{SERVICE_TOKEN}"\n'
        )

    def environment(self):
        """Returns the environment variables of the processes."""
        env = {k: v for k, v in os.environ.items() if not k.startswith("FLAMINGOTILLER_")}
        env["PYTHONPATH"] = "" if self.program[0] != sys.executable else str(ROOT)
        env["FLAMINGOTILLER_TOKEN"] = OPERATOR_TOKEN
        env["FLAMINGOTILLER_SERVER"] = ",".join(
            a for n, a in self.address_by_name.items() if n.startswith("control")
        )
        env["FLAMINGOTILLER_CACHE"] = str(self.folder / "cache")
        return env

    def run(self, *arguments, check=True):
        """Runs an operator's command and returns the completed process."""
        result = subprocess.run(
            [*self.program, *arguments],
            env=self.environment(),
            cwd=self.folder,
            capture_output=True,
            text=True,
            timeout=60,
        )
        if check:
            assert result.returncode == 0, (arguments, result.stdout, result.stderr)
        return result

    def json(self, *arguments):
        """Runs an operator's command and returns the JSON that it prints."""
        return json.loads(self.run(*arguments, "--json").stdout)

    def found_controls(self, names):
        """Creates the data folders of the first control instances with the ``found`` command."""
        for name, port in zip(names, embedded.free_ports(len(names)), strict=True):
            self.address_by_name[name] = f"127.0.0.1:{port}"
        members = ",".join(f"{n}={self.address_by_name[n]}" for n in names)
        for name in names:
            self.run("found", name, members, str(self.folder / name))

    def start_control(self, name):
        """Starts a control instance."""
        short_intervals = ["--election_timeout=500ms", "--heartbeat=100ms"]
        self.start(
            name,
            "control",
            f"--instance={name}",
            f"--listen={self.address_by_name[name]}",
            f"--data={self.folder / name}",
            *([] if self.production_timing else short_intervals),
        )

    def start_entry(self, name, zone, *more):
        """Starts an entry instance."""
        short_intervals = ["--gossip_interval=200ms", "--lease=1s", "--member_timeout=2s"]
        short_intervals.append("--lookup_lifetime=1s")
        if name not in self.address_by_name:
            self.address_by_name[name] = f"127.0.0.1:{embedded.free_ports(1)[0]}"
        controls = [a for n, a in self.address_by_name.items() if n.startswith("control")]
        entries = [
            a for n, a in self.address_by_name.items() if n != name and not n.startswith("control")
        ]
        self.start(
            name,
            "entry",
            f"--instance={name}",
            f"--zone={zone}",
            f"--listen={self.address_by_name[name]}",
            f"--control={','.join(controls)}",
            f"--seeds={','.join([*entries[:3], *entries[-2:]])}",
            *([] if self.production_timing else short_intervals),
            *more,
        )

    def start(self, name, *arguments):
        """Starts a process and appends its output to ``NAME.log``."""
        self.arguments_by_name[name] = arguments
        with open(self.folder / f"{name}.log", "ab") as log:
            self.process_by_name[name] = subprocess.Popen(
                [*self.program, *arguments, f"--tokens_file={self.tokens}"],
                env=self.environment(),
                cwd=self.folder,
                stdout=log,
                stderr=log,
            )

    def restart(self, name):
        """Starts a process again with the same arguments."""
        self.start(name, *self.arguments_by_name[name])

    def restart_with(self, name, *more):
        """Stops a process gracefully and starts it again with additional flags."""
        self.signal(name, signal.SIGTERM)
        self.process_by_name[name].wait(30)
        self.start(name, *self.arguments_by_name[name], *more)

    def signal(self, name, number):
        """Sends a signal to a process."""
        self.process_by_name[name].send_signal(number)

    def kill(self, name):
        """Kills a process and waits for it to exit."""
        self.signal(name, signal.SIGKILL)
        self.process_by_name[name].wait(10)

    def log(self, name):
        """Returns the output of a process so far."""
        return (self.folder / f"{name}.log").read_text(errors="replace")

    def close(self):
        """Kills every process that is still running."""
        for process in self.process_by_name.values():
            if process.poll() is None:
                process.kill()
                process.wait(10)


@contextlib.contextmanager
def running(folder, program=None, *, production_timing=False):
    """Yields a fleet and kills its remaining processes afterwards."""
    fleet = Processes(folder, program, production_timing=production_timing)
    try:
        yield fleet
    finally:
        fleet.close()


def wait_until(condition, timeout_s=20.0):
    """Calls ``condition`` until its result is true and returns it; fails after the timeout."""
    deadline = time.monotonic() + timeout_s
    while True:
        result = condition()
        if result:
            return result
        assert time.monotonic() < deadline, "the condition did not become true"
        time.sleep(0.05)
