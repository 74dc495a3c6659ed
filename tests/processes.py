"""Separate processes for tests: started on loopback, ended by pid, their logs kept in a folder."""

import contextlib
import json
import os
import pathlib
import signal
import socket
import subprocess
import sys
import time

ROOT = pathlib.Path(__file__).parent.parent
PEER_TOKEN = "peer-token-of-the-tests"
OPERATOR_TOKEN = "operator-token-of-the-tests"
SERVICE_TOKEN = "service-token-of-the-tests"


def free_ports(count):
    sockets = [socket.socket() for _ in range(count)]
    try:
        for item in sockets:
            item.bind(("127.0.0.1", 0))
        return [item.getsockname()[1] for item in sockets]
    finally:
        for item in sockets:
            item.close()


class Processes:
    """A fleet of separate processes."""

    def __init__(self, folder, program=None):
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
        env = {k: v for k, v in os.environ.items() if not k.startswith("FLAMINGOTILLER_")}
        env["PYTHONPATH"] = "" if self.program[0] != sys.executable else str(ROOT)
        env["FLAMINGOTILLER_TOKEN"] = OPERATOR_TOKEN
        env["FLAMINGOTILLER_SERVER"] = ",".join(
            a for n, a in self.address_by_name.items() if n.startswith("control")
        )
        env["FLAMINGOTILLER_CACHE"] = str(self.folder / "cache")
        return env

    def run(self, *arguments, check=True):
        """Runs a command of the operator to its end."""
        done = subprocess.run(
            [*self.program, *arguments],
            env=self.environment(),
            cwd=self.folder,
            capture_output=True,
            text=True,
            timeout=60,
        )
        if check:
            assert done.returncode == 0, (arguments, done.stdout, done.stderr)
        return done

    def json(self, *arguments):
        return json.loads(self.run(*arguments, "--json").stdout)

    def found(self, names):
        for name, port in zip(names, free_ports(len(names)), strict=True):
            self.address_by_name[name] = f"127.0.0.1:{port}"
        members = ",".join(f"{n}={self.address_by_name[n]}" for n in names)
        for name in names:
            self.run("found", name, members, str(self.folder / name))

    def start_control(self, name):
        self.start(
            name,
            "control",
            f"--instance={name}",
            f"--listen={self.address_by_name[name]}",
            f"--data={self.folder / name}",
            "--election_timeout=500ms",
            "--heartbeat=100ms",
        )

    def start_entry(self, name, zone, *more):
        if name not in self.address_by_name:
            self.address_by_name[name] = f"127.0.0.1:{free_ports(1)[0]}"
        controls = [a for n, a in self.address_by_name.items() if n.startswith("control")]
        seeds = [
            a for n, a in self.address_by_name.items() if n != name and not n.startswith("control")
        ]
        self.start(
            name,
            "entry",
            f"--instance={name}",
            f"--zone={zone}",
            f"--listen={self.address_by_name[name]}",
            f"--control={','.join(controls)}",
            f"--seeds={','.join(seeds)}",
            "--gossip_interval=200ms",
            "--lease=1s",
            "--member_timeout=2s",
            "--lookup_lifetime=1s",
            *more,
        )

    def start(self, name, *arguments):
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
        self.start(name, *self.arguments_by_name[name])

    def signal(self, name, number):
        self.process_by_name[name].send_signal(number)

    def kill(self, name):
        self.signal(name, signal.SIGKILL)
        self.process_by_name[name].wait(10)

    def log(self, name):
        return (self.folder / f"{name}.log").read_text(errors="replace")

    def close(self):
        for process in self.process_by_name.values():
            if process.poll() is None:
                process.kill()
                process.wait(10)


@contextlib.contextmanager
def running(folder, program=None):
    fleet = Processes(folder, program)
    try:
        yield fleet
    finally:
        fleet.close()


def eventually(check, seconds=20.0):
    """Returns the first true result of a check; the time is a bound for giving up only."""
    deadline = time.monotonic() + seconds
    while True:
        result = check()
        if result:
            return result
        assert time.monotonic() < deadline, "did not happen"
        time.sleep(0.05)
