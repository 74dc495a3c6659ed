"""Tests of the request path, graceful stops and operators' commands with separate processes."""

import asyncio
import contextlib
import http.client
import json
import signal

import pytest

from flamingotiller import endpoint_emulator
from tools import processes

CONTRACT = """
organisation = "growers"
rate = 300
burst = 300
[[routes]]
name = "search"
path = "/names"
service = "search"
idempotent = true
[[routes]]
name = "file"
path = "/filings"
service = "search"
methods = ["POST"]
"""


def deployment(seats_by_zone):
    parts = [
        f'[[zones]]\nname = "{zone}"\nregion = "r"\nseats = {json.dumps(seats)}\n'
        for zone, seats in seats_by_zone.items()
    ]
    return "\n".join(parts)


def send(address, method, target, key=None, body=None, request_id=None, timeout=10):
    host, port = address.split(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=timeout)
    headers = {}
    if key:
        headers["flamingotiller-key"] = key
    if request_id:
        headers["idempotency-key"] = request_id
    try:
        connection.request(method, target, body, headers)
        answer = connection.getresponse()
        return answer.status, dict(answer.getheaders()), answer.read()
    except OSError:
        return 0, {}, b""
    finally:
        connection.close()


@contextlib.contextmanager
def endpoints(fleet, names_by_entry, seats=None):
    """Runs emulated endpoints in a thread of this process.

    Each announces itself to its entry instance, or with ``seats`` to all instances of that zone.
    """
    import threading

    loop = asyncio.new_event_loop()
    thread = threading.Thread(target=loop.run_forever, daemon=True)
    thread.start()
    running = []
    try:
        for name, entry in names_by_entry.items():
            endpoint = endpoint_emulator.EmulatedEndpoint(
                endpoint_emulator.Profile("search", name),
                [fleet.address_by_name[entry]],
                processes.SERVICE_TOKEN,
            )
            zone = next((names for names in (seats or {}).values() if entry in names), [])
            endpoint.announce_to([fleet.address_by_name[name] for name in zone])
            asyncio.run_coroutine_threadsafe(endpoint.start(), loop).result(10)
            running.append(endpoint)
        yield running
    finally:
        for endpoint in running:
            asyncio.run_coroutine_threadsafe(endpoint.stop(), loop).result(10)
        loop.call_soon_threadsafe(loop.stop)
        thread.join(10)
        loop.close()


def configure(fleet, seats_by_zone, contract=CONTRACT):
    (fleet.folder / "deployment.toml").write_text(deployment(seats_by_zone))
    (fleet.folder / "growers.toml").write_text(contract)
    fleet.run("apply", "deployment.toml", "growers.toml")
    output = fleet.run("key", "give", "growers").stdout
    return output.split("key ")[-1].strip()


def is_served(address, key, target="/names"):
    return send(address, "GET", target, key)[0] == 200


@pytest.fixture
def fleet(tmp_path):
    with processes.running(tmp_path) as running:
        yield running


def test_thin_path_as_separate_processes(fleet):
    fleet.found_controls(["control-1"])
    fleet.start_control("control-1")
    for name, zone in (("a-1", "a"), ("a-2", "a"), ("b-1", "b")):
        fleet.start_entry(name, zone)
    key = configure(fleet, {"a": ["a-1", "a-2"], "b": ["b-1"]})
    with endpoints(fleet, {"search-a": "a-1", "search-b": "b-1"}) as emulated:
        for name in ("a-1", "a-2", "b-1"):
            address = fleet.address_by_name[name]
            processes.wait_until(lambda address=address: is_served(address, key))
        addresses = fleet.run("lookup", fleet.address_by_name["a-1"], "growers").stdout.split()
        assert set(addresses) == {fleet.address_by_name[n] for n in ("a-1", "a-2", "b-1")}
        status, headers, body = send(addresses[0], "GET", "/names", "growers.00000000.nothing")
        assert status == 401
        assert json.loads(body)["outcome"] == headers["flamingotiller-outcome"] == "not-run"
        runs = [run for endpoint in emulated for run in endpoint.runs]
        assert runs
        assert not any(key in str(run.headers) for run in runs)
    # A second SIGTERM ends a graceful stop at once, which would otherwise take a look-up lifetime.
    fleet.restart_with("b-1", "--lookup_lifetime=60s")
    processes.wait_until(lambda: "E1001" in fleet.log("b-1").split("E1003")[-1])
    fleet.signal("b-1", signal.SIGTERM)
    processes.wait_until(lambda: "E1002" in fleet.log("b-1").split("E1003")[-1])
    assert fleet.process_by_name["b-1"].poll() is None
    fleet.signal("b-1", signal.SIGTERM)
    assert fleet.process_by_name["b-1"].wait(20) == 0
    assert "E1004" in fleet.log("b-1")
    for name in ("a-1", "control-1"):
        fleet.signal(name, signal.SIGTERM)
        assert fleet.process_by_name[name].wait(20) == 0


def test_operators_commands(fleet):
    fleet.found_controls(["control-1"])
    fleet.start_control("control-1")
    fleet.start_entry("a-1", "a")
    key = configure(fleet, {"a": ["a-1"]})
    with endpoints(fleet, {"search-a": "a-1"}):
        processes.wait_until(lambda: is_served(fleet.address_by_name["a-1"], key))
        assert set(fleet.json("show", "contract/")) == {"contract/growers"}
        assert "no difference" in fleet.run("diff", "growers.toml").stdout
        (fleet.folder / "changed.toml").write_text(CONTRACT.replace("rate = 300", "rate = 301"))
        changed = fleet.run("diff", "changed.toml").stdout
        assert '+  "rate": 301' in changed
        assert "is at version 2" in changed
        assert fleet.json("apply", "changed.toml", "--base=2")["to_version"] == 4
        refused = fleet.run("apply", "growers.toml", "--base=2", check=False)
        assert refused.returncode == 4
        rows = fleet.json("history", "contract/growers")
        assert [(r["accepted"], r["who"]) for r in rows] == [
            (False, "alice"), (True, "alice"), (True, "alice"),
        ]  # fmt: skip
        assert list(fleet.json("key", "list", "growers")) == [key.split(".")[1]]
        assert fleet.json("wait", "4")["done"]
        timed_out = fleet.run("wait", "99", "--timeout=300ms", check=False)
        assert timed_out.returncode == 6
        assert "lags: a-1" in timed_out.stdout
        (row,) = fleet.json("instances")
        assert row["services"]["search"]["endpoints"][0]["name"] == "search-a"
        fleet.run("drain", "start", "endpoint", "search-a", "--reason=test")
        assert "0 requests in flight" in fleet.run("drain", "watch", "endpoint", "search-a").stdout
        assert list(fleet.json("drain", "list")) == ["endpoint/search-a"]
        fleet.run("drain", "cancel", "endpoint", "search-a")
        assert fleet.run("remove", "drain/zone/none", check=False).returncode == 4
        assert fleet.run("remove", "contract/growers").returncode == 0
        wrong_token = dict(fleet.environment(), FLAMINGOTILLER_TOKEN="wrong")
        fleet.environment = lambda: wrong_token
        assert fleet.run("status", check=False).returncode == 3
