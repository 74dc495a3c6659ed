"""The thin path and failures over separate processes on loopback."""

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
def endpoints(fleet, names_by_entry):
    """Runs emulated endpoints in a thread of this process."""
    import threading

    loop = asyncio.new_event_loop()
    thread = threading.Thread(target=loop.run_forever, daemon=True)
    thread.start()
    made = []
    try:
        for name, entry in names_by_entry.items():
            endpoint = endpoint_emulator.EmulatedEndpoint(
                endpoint_emulator.Profile("search", name),
                [fleet.address_by_name[entry]],
                processes.SERVICE_TOKEN,
            )
            asyncio.run_coroutine_threadsafe(endpoint.start(), loop).result(10)
            made.append(endpoint)
        yield made
    finally:
        for endpoint in made:
            asyncio.run_coroutine_threadsafe(endpoint.stop(), loop).result(10)
        loop.call_soon_threadsafe(loop.stop)
        thread.join(10)
        loop.close()


def configure(fleet, seats_by_zone):
    (fleet.folder / "deployment.toml").write_text(deployment(seats_by_zone))
    (fleet.folder / "growers.toml").write_text(CONTRACT)
    fleet.run("apply", "deployment.toml", "growers.toml")
    given = fleet.run("key", "give", "growers")
    return given.stdout.split("key ")[-1].strip()


def served(address, key, target="/names"):
    return send(address, "GET", target, key)[0] == 200


@pytest.fixture
def fleet(tmp_path):
    with processes.running(tmp_path) as made:
        yield made


def test_thin_path_as_separate_processes(fleet):
    fleet.found(["control-1"])
    fleet.start_control("control-1")
    for name, zone in (("a-1", "a"), ("a-2", "a"), ("b-1", "b")):
        fleet.start_entry(name, zone)
    key = configure(fleet, {"a": ["a-1", "a-2"], "b": ["b-1"]})
    with endpoints(fleet, {"search-a": "a-1", "search-b": "b-1"}) as made:
        for name in ("a-1", "a-2", "b-1"):
            address = fleet.address_by_name[name]
            processes.eventually(lambda address=address: served(address, key))
        found = fleet.run("lookup", fleet.address_by_name["a-1"], "growers").stdout.split()
        assert set(found) == {fleet.address_by_name[n] for n in ("a-1", "a-2", "b-1")}
        status, headers, body = send(found[0], "GET", "/names", "growers.00000000.nothing")
        assert status == 401
        assert json.loads(body)["outcome"] == headers["flamingotiller-outcome"] == "not-run"
        runs = [run for endpoint in made for run in endpoint.runs]
        assert runs
        assert not any(key in str(run.headers) for run in runs)
    for name in ("a-1", "control-1"):
        fleet.signal(name, signal.SIGTERM)
        assert fleet.process_by_name[name].wait(20) == 0
