"""Tests of pairs of simultaneous failures in a loaded fleet of separate processes."""

import collections
import contextlib
import json
import signal
import threading
import time
import uuid

import pytest
import test_processes

from soak import proxy
from tools import processes

SEATS = {"a": ["a-1", "a-2", "a-3"], "b": ["b-1", "b-2", "b-3"]}
CONTROLS = ["control-1", "control-2", "control-3"]
LOAD_S = 3.0


class Load:
    """Callers that send and resend requests and check the answers against the endpoints' runs."""

    def __init__(self, fleet, endpoints, key):
        self.fleet = fleet
        self.endpoints = endpoints
        self.key = key
        self.faults = []
        self.counts = collections.Counter()
        self.stop = threading.Event()
        self.threads = [threading.Thread(target=self.run, args=(n,)) for n in range(4)]
        for thread in self.threads:
            thread.start()

    def addresses(self):
        return [self.fleet.address_by_name[n] for names in SEATS.values() for n in names]

    def runs(self, request_id):
        return sum(endpoint.runs_by_id[request_id] for endpoint in self.endpoints)

    def run(self, number):
        sequence = number
        while not self.stop.is_set():
            sequence += 1
            address = self.addresses()[sequence % 6]
            if sequence % 2:
                self.read(address, f"/names/{number}/{sequence}")
            else:
                self.write(sequence, f"/filings/{number}/{sequence}")

    def read(self, address, target):
        status, headers, body = test_processes.send(address, "GET", target, self.key, timeout=4)
        self.check_answer(status, body, target, None)

    def write(self, sequence, target):
        request_id = self.make_request_id(sequence)
        for attempt in range(3):
            address = self.addresses()[(sequence + attempt) % 6]
            status, _, body = test_processes.send(
                address, "POST", target, self.key, b"x", request_id, timeout=4
            )
            answered_not_run = status >= 400 and json.loads(body)["outcome"] == "not-run"
            if answered_not_run and self.runs(request_id):
                self.faults.append(("said not-run, but it ran", request_id, body))
            self.check_answer(status, body, target, request_id)
            if status == 200:
                return

    def make_request_id(self, sequence):
        if sequence % 4:
            return f"own-{uuid.uuid4()}"
        address = self.addresses()[sequence % 6]
        status, _, body = test_processes.send(
            address, "GET", "/v1/lookup?organisation=growers", timeout=4
        )
        if status != 200:
            return f"own-{uuid.uuid4()}"
        return json.loads(body)["request_id_prefix"] + str(uuid.uuid4())

    def check_answer(self, status, body, target, request_id):
        self.counts[status] += 1
        if status != 200:
            return
        document = json.loads(body)
        if document["target"] != target:
            self.faults.append(("answer of another request", target, body))
        if request_id and document["request_id"] != request_id:
            self.faults.append(("answer of another id", request_id, body))

    def stop_and_check(self):
        self.stop.set()
        for thread in self.threads:
            thread.join(30)
        for endpoint in self.endpoints:
            for run in endpoint.runs:
                if self.key in str(run.headers):
                    self.faults.append(("an endpoint saw the key", run.target))
            if endpoint.peak > endpoint.profile.slots:
                self.faults.append(("over the slots", endpoint.profile.name))
        endpoint_count_by_id = collections.Counter()
        for endpoint in self.endpoints:
            posts = {r.request_id for r in endpoint.runs if r.method == "POST"}
            endpoint_count_by_id.update(posts)
            repeated = [i for i, n in endpoint.runs_by_id.items() if n > 1]
            self.faults += [("ran twice at one endpoint", i) for i in repeated if i in posts]
        self.faults += [
            ("ran at two endpoints", i) for i, n in endpoint_count_by_id.items() if n > 1
        ]
        assert not self.faults, self.faults[:5]
        assert self.counts[200] > 0, self.counts


class Bench:
    """A fleet, the proxies between zone b and the control instances, and the failures.

    The method of each failure causes it and returns a function that ends it.
    """

    def __init__(self, folder, stack):
        self.fleet = stack.enter_context(processes.running(folder))
        self.fleet.found_controls(CONTROLS)
        for name in CONTROLS:
            self.fleet.start_control(name)
        direct_addresses = {name: self.fleet.address_by_name[name] for name in CONTROLS}
        self.links = {name: proxy.Proxy(address) for name, address in direct_addresses.items()}
        for link in self.links.values():
            stack.callback(link.close)
        for name in SEATS["a"]:
            self.fleet.start_entry(name, "a")
        self.fleet.address_by_name.update({n: link.address for n, link in self.links.items()})
        for name in SEATS["b"]:
            self.fleet.start_entry(name, "b")
        self.fleet.address_by_name.update(direct_addresses)
        self.key = test_processes.configure(self.fleet, SEATS)
        entry_by_endpoint = {f"e{n}": ("a-1" if n % 2 else "b-1") for n in range(4)}
        self.endpoints = stack.enter_context(
            test_processes.endpoints(self.fleet, entry_by_endpoint, SEATS)
        )
        self.wait_until_served()

    def wait_until_served(self):
        for names in SEATS.values():
            for name in names:
                address = self.fleet.address_by_name[name]
                processes.wait_until(
                    lambda address=address: test_processes.is_served(address, self.key), 30
                )

    def kill_entry(self):
        self.fleet.kill("a-1")
        return lambda: self.fleet.restart("a-1")

    def freeze_entry(self):
        self.fleet.signal("b-2", signal.SIGSTOP)
        return lambda: self.fleet.signal("b-2", signal.SIGCONT)

    def kill_control_leader(self):
        name = self.fleet.json("status")["leader"].split(".")[0]
        self.fleet.kill(name)
        return lambda: self.fleet.restart(name)

    def cut_control_silently(self):
        for link in self.links.values():
            link.set(silent=True)

        def heal():
            for link in self.links.values():
                # Close connections that lost bytes, since their streams are corrupt.
                link.set(cut=True)
                link.set()

        return heal

    def crash_request(self):
        target = f"/names/crash?crash={uuid.uuid4()}"
        for number in range(4):
            address = self.fleet.address_by_name["a-2" if number % 2 else "b-1"]
            test_processes.send(address, "GET", target, self.key, timeout=4)
        crashed = [e for e in self.endpoints if any(r.target == target for r in e.runs)]

        def heal():
            for endpoint in crashed:
                self.restart_endpoint(endpoint)
            assert len(crashed) <= 3, target

        return heal

    def restart_endpoint(self, endpoint):
        loop = endpoint._task.get_loop()
        processes.wait_until(lambda: endpoint._task.done() or endpoint._task.cancelled())
        import asyncio

        asyncio.run_coroutine_threadsafe(endpoint.start(), loop).result(10)

    def drain_endpoint(self):
        self.fleet.run("drain", "start", "endpoint", "e0", check=False)
        return lambda: self.fleet.run("drain", "cancel", "endpoint", "e0", check=False)

    def race_operators(self):
        threads = [
            threading.Thread(
                target=self.fleet.run, args=("apply", "growers.toml"), kwargs={"check": False}
            )
            for _ in range(2)
        ]
        for thread in threads:
            thread.start()
        return lambda: [thread.join(60) for thread in threads]

    def withdraw_other_key(self):
        given = self.fleet.run("key", "give", "growers", check=False).stdout
        if "key " not in given:
            return lambda: None
        other = given.split("key ")[-1].strip()
        self.fleet.run("key", "withdraw", "growers", other.split(".")[1])
        withdrawn_at = time.monotonic()
        address = self.fleet.address_by_name["a-3"]
        processes.wait_until(
            lambda: test_processes.send(address, "GET", "/names", other)[0] in (401, 503)
        )
        assert time.monotonic() - withdrawn_at < 5
        return lambda: None


@pytest.fixture(scope="module")
def bench(tmp_path_factory):
    with contextlib.ExitStack() as stack:
        yield Bench(tmp_path_factory.mktemp("pairs"), stack)


PAIRS = [
    ("kill_entry", "freeze_entry"),
    ("kill_entry", "kill_control_leader"),
    ("kill_entry", "crash_request"),
    ("freeze_entry", "cut_control_silently"),
    ("freeze_entry", "race_operators"),
    ("kill_control_leader", "withdraw_other_key"),
    ("cut_control_silently", "drain_endpoint"),
    ("crash_request", "drain_endpoint"),
]


@pytest.mark.parametrize(("first", "second"), PAIRS)
def test_pair_of_failures_breaks_no_promise(bench, first, second):
    load = Load(bench.fleet, bench.endpoints, bench.key)
    with contextlib.ExitStack() as stack:
        stack.callback(bench.wait_until_served)
        stack.callback(load.stop_and_check)
        stack.callback(time.sleep, 1)
        for name in (first, second):
            stack.callback(getattr(bench, name)())
        time.sleep(LOAD_S)
