"""Failure tests with separate processes: kills, lost disks, freezes, network faults, races."""

import asyncio
import contextlib
import itertools
import json
import re
import shutil
import signal
import threading
import time

import pytest
import test_processes

from soak import proxy
from tools import losing, processes, stopping

SEATS = {"a": ["a-1", "a-2", "a-3"], "b": ["b-1"]}
CONTROLS = ["control-1", "control-2", "control-3"]


@pytest.fixture
def fleet(tmp_path):
    with processes.running(tmp_path) as running:
        yield running


def start_controls(fleet, names=CONTROLS):
    fleet.found_controls(names)
    for name in names:
        fleet.start_control(name)


def start_fleet(fleet, seats=SEATS):
    start_controls(fleet)
    for zone, names in seats.items():
        for name in names:
            fleet.start_entry(name, zone)
    return test_processes.configure(fleet, seats)


def leader_name(fleet):
    return fleet.json("status")["leader"].split(".")[0]


def wait_until_served(fleet, names, key):
    for name in names:
        address = fleet.address_by_name[name]
        processes.wait_until(lambda address=address: test_processes.is_served(address, key))


def test_changes_survive_the_loss_of_the_leader_and_of_its_disk(fleet):
    start_controls(fleet)
    (fleet.folder / "deployment.toml").write_text(test_processes.deployment(SEATS))
    fleet.run("apply", "deployment.toml")
    for number in range(30):
        fleet.run("drain", "start", "zone", f"z{number}") if number % 10 == 0 else None
    lost = leader_name(fleet)
    fleet.kill(lost)
    shutil.rmtree(fleet.folder / lost)
    change = fleet.json("drain", "start", "zone", "after")
    assert change["accepted"]
    # The instance restarts with a blank disk under a new identity, not yet a member.
    fleet.restart(lost)
    processes.wait_until(lambda: "E2012" in fleet.log(lost))
    identity = fleet.log(lost).split("identity=")[1].split()[0]
    assert identity != f"{lost}.0"
    fleet.run("members", "add", identity, fleet.address_by_name[lost])
    processes.wait_until(
        lambda: fleet.run("members", "promote", identity, check=False).returncode == 0
    )
    identities = [member["identity"] for member in fleet.json("status")["members"]]
    assert identity in identities
    assert f"{lost}.0" not in identities
    # Losing a second instance right after the repair still leaves a majority.
    second = next(n for n in CONTROLS if n not in (lost, leader_name(fleet)))
    fleet.kill(second)
    assert fleet.json("drain", "start", "zone", "later")["accepted"]
    drains = set(fleet.json("drain", "list"))
    assert drains == {"zone/z0", "zone/z10", "zone/z20", "zone/after", "zone/later"}


def test_without_a_majority_nothing_is_accepted_and_a_resend_decides(fleet):
    start_controls(fleet)
    fleet.run("drain", "start", "zone", "before")
    first = leader_name(fleet)
    others = [n for n in CONTROLS if n != first]
    for name in others:
        fleet.signal(name, signal.SIGSTOP)
    refused = fleet.run("drain", "start", "zone", "x", "--change_id=one", check=False)
    assert refused.returncode == 6
    assert "change id one" in refused.stderr
    for name in others:
        fleet.signal(name, signal.SIGCONT)
    answers = [
        json.loads(fleet.run("drain", "start", "zone", "x", "--change_id=one", "--json").stdout)
        for _ in range(2)
    ]
    assert answers[0] == answers[1]
    assert answers[0]["accepted"]
    rows = [r for r in fleet.json("audit") if r["change_id"] == "one"]
    assert len(rows) == 1


def test_of_racing_operators_one_wins_and_the_other_sees_the_winner(fleet):
    start_controls(fleet, ["control-1"])
    (fleet.folder / "growers.toml").write_text(test_processes.CONTRACT)
    results = {}

    def apply(name):
        results[name] = fleet.run(
            "apply", "growers.toml", "--base=0", f"--change_id={name}", check=False
        )

    threads = [threading.Thread(target=apply, args=(name,)) for name in ("one", "two")]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    codes = sorted(result.returncode for result in results.values())
    assert codes == [0, 4]
    winner, loser = sorted(results, key=lambda name: results[name].returncode)
    assert f"came first: {winner}" in results[loser].stderr


def test_killed_and_frozen_holders_are_replaced(fleet):
    key = start_fleet(fleet)
    names = SEATS["a"]
    with test_processes.endpoints(fleet, {"e1": "a-1", "e2": "a-2"}, SEATS):
        wait_until_served(fleet, names, key)
        for victim, number in ((names[0], signal.SIGKILL), (names[1], signal.SIGSTOP)):
            fleet.signal(victim, number)
            others = [n for n in names if n != victim]
            if number == signal.SIGSTOP:
                # Two of three seats must be up for a majority.
                fleet.restart(names[0])
                others = [names[0], names[2]]
            wait_until_served(fleet, others, key)
        time.sleep(2)
        fleet.signal(names[1], signal.SIGCONT)
        wait_until_served(fleet, names, key)


def test_key_withdrawn_during_a_silent_cut_stops_working_everywhere(fleet):
    start_controls(fleet)
    addresses = dict(fleet.address_by_name)
    with contextlib.ExitStack() as stack:
        links = []
        for name in CONTROLS:
            link = proxy.Proxy(addresses[name])
            stack.callback(link.close)
            links.append(link)
        fleet.start_entry("a-1", "a")
        fleet.address_by_name.update(
            {n: link.address for n, link in zip(CONTROLS, links, strict=True)}
        )
        fleet.start_entry("b-1", "b")
        fleet.address_by_name.update(addresses)
        key = test_processes.configure(fleet, {"a": ["a-1"], "b": ["b-1"]})
        stack.enter_context(test_processes.endpoints(fleet, {"e1": "a-1", "e2": "b-1"}))
        wait_until_served(fleet, ["a-1", "b-1"], key)
        for link in links:
            link.set(silent=True)
        fleet.run("key", "withdraw", "growers", key.split(".")[1])
        withdrawn_at = time.monotonic()
        for name in ("a-1", "b-1"):
            address = fleet.address_by_name[name]
            processes.wait_until(
                lambda address=address: test_processes.send(address, "GET", "/names", key)[0]
                in (401, 503)
            )
        # A withdrawn key must stop working within 5 s.
        assert time.monotonic() - withdrawn_at < 5.0
        status, _, body = test_processes.send(fleet.address_by_name["b-1"], "GET", "/names", key)
        assert status == 503
        assert json.loads(body)["error"] == "not-confirmed"
        for link in links:
            link.set()
        address = fleet.address_by_name["b-1"]
        processes.wait_until(lambda: test_processes.send(address, "GET", "/names", key)[0] == 401)


def test_instance_restarted_in_a_cut_off_zone_gets_the_newest_version_of_its_zone(fleet):
    start_controls(fleet)
    direct_addresses = dict(fleet.address_by_name)
    with contextlib.ExitStack() as stack:
        links = [proxy.Proxy(direct_addresses[name]) for name in CONTROLS]
        for name, link in zip(CONTROLS, links, strict=True):
            stack.callback(link.close)
            fleet.address_by_name[name] = link.address
        for name in ("b-1", "b-2"):
            fleet.start_entry(name, "b")
        fleet.address_by_name.update(direct_addresses)
        key = test_processes.configure(fleet, {"b": ["b-1", "b-2"]})
        stack.enter_context(test_processes.endpoints(fleet, {"e1": "b-1"}))
        wait_until_served(fleet, ["b-1", "b-2"], key)
        version = fleet.json("drain", "start", "zone", "z")["to_version"]
        in_force = f"in force version={version} "
        processes.wait_until(lambda: all(in_force in fleet.log(n) for n in ("b-1", "b-2")))
        for link in links:
            link.set(cut=True)
        fleet.kill("b-2")
        fleet.restart("b-2")
        # With the control instances cut off, only the zone's other instance has the configuration.
        from_neighbour = f"{in_force}source={fleet.address_by_name['b-1']}"
        processes.wait_until(lambda: fleet.log("b-2").count("E1001") == 2)
        processes.wait_until(lambda: from_neighbour in fleet.log("b-2").split("E1001")[-1])
        # It is the first version in force after the restart: no older one came before it.
        assert fleet.log("b-2").split("E1001")[-1].split("E3001")[1].count(from_neighbour) == 1


def test_key_withdrawn_while_a_request_waits_is_refused_before_it_runs(fleet):
    start_controls(fleet, ["control-1"])
    fleet.start_entry("a-1", "a")
    long_deadline = test_processes.CONTRACT.replace(
        "idempotent = true", 'idempotent = true\ndeadline = "60s"'
    )
    key = test_processes.configure(fleet, {"a": ["a-1"]}, long_deadline)
    with test_processes.endpoints(fleet, {"e1": "a-1"}) as (endpoint,):
        address = fleet.address_by_name["a-1"]
        wait_until_served(fleet, ["a-1"], key)
        results = {}

        def send(target):
            results[target] = test_processes.send(address, "GET", target, key, timeout=60)

        slots = endpoint.profile.slots
        targets = [*(f"/names/{n}?hold=1" for n in range(slots)), "/names/late"]
        threads = [threading.Thread(target=send, args=(target,)) for target in targets]
        for thread in threads[:-1]:
            thread.start()
        processes.wait_until(lambda: endpoint.busy == slots)
        # All slots are in use until ``endpoint.resumed`` is set, so this request queues.
        threads[-1].start()
        processes.wait_until(lambda: in_flight(address) == slots + 2)
        version = fleet.json("key", "withdraw", "growers", key.split(".")[1])["to_version"]
        processes.wait_until(lambda: f"in force version={version} " in fleet.log("a-1"))
        endpoint._task.get_loop().call_soon_threadsafe(endpoint.resumed.set)
        for thread in threads:
            thread.join(60)
        assert [results[target][0] for target in targets[:-1]] == [200] * slots
        status, _, body = results["/names/late"]
        assert (status, json.loads(body)["outcome"]) == (401, "not-run")
        assert not [run for run in endpoint.runs if run.target == "/names/late"]


def in_flight(address):
    """Returns the requests that an entry instance is serving, the one for metrics included."""
    _, _, body = test_processes.send(address, "GET", "/metrics")
    return int(float(re.search(rb"^flamingotiller_in_flight_requests\S* (\S+)", body, re.M)[1]))


def test_tenth_of_messages_lost_and_another_delayed():
    outcome = asyncio.run(losing.run(losing.Setup(rounds=2)))
    # A withdrawn key must stop working within 5 s, new requests to a leaving endpoint within 3 s.
    assert len(outcome.withdrawal_delays_s) == len(outcome.leave_delays_s) == 2
    assert max(outcome.withdrawal_delays_s) <= 5.0, outcome
    assert max(outcome.leave_delays_s) <= 3.0, outcome
    # An instance that misses messages still gets its confirmation from others that have it.
    assert outcome.sent > 100
    assert outcome.refused_by_code.get("not-confirmed", 0) <= 0.01 * outcome.sent, outcome


def test_process_that_missed_hundreds_of_changes_catches_up(fleet):
    start_controls(fleet)
    behind = next(n for n in CONTROLS if n != leader_name(fleet))
    fleet.kill(behind)
    accepted = make_changes(fleet, 300)
    fleet.restart(behind)
    processes.wait_until(lambda: all(m["behind"] == 0 for m in fleet.json("status")["members"]), 30)
    other = next(n for n in CONTROLS if n not in (behind, leader_name(fleet)))
    fleet.kill(other)
    assert len(fleet.json("drain", "list")) == accepted


def make_changes(fleet, count):
    from flamingotiller import porcelain

    async def start_drains():
        servers = [fleet.address_by_name[n] for n in CONTROLS]
        async with porcelain.connect(servers, processes.OPERATOR_TOKEN) as operator:
            for number in range(count):
                await operator.start_drain("zone", f"z{number}", "x")

    asyncio.run(start_drains())
    return count


def test_planned_stop_under_load_cuts_nothing(fleet):
    # A majority of a zone's seats must stay up, so it needs three to survive a stop.
    seats = {"a": ["a-1", "a-2", "a-3"]}
    start_controls(fleet, ["control-1"])
    for name in seats["a"]:
        fleet.start_entry(name, "a")
    key = test_processes.configure(fleet, seats)
    with test_processes.endpoints(fleet, {"e1": "a-1", "e2": "a-2"}, seats):
        wait_until_served(fleet, seats["a"], key)
        results, stop = [], threading.Event()
        threads = [
            threading.Thread(target=send_requests, args=(fleet, key, results, stop))
            for _ in range(6)
        ]
        for thread in threads:
            thread.start()
        time.sleep(1)
        fleet.signal("a-1", signal.SIGTERM)
        assert fleet.process_by_name["a-1"].wait(30) == 0
        time.sleep(0.5)
        stop.set()
        for thread in threads:
            thread.join()
    failed = [result for result in results if result[0] != 200]
    assert len(results) > 100
    assert not failed, (len(results), failed[:5])


def test_planned_stops_of_every_instance_cut_no_queued_streamed_or_uploading_request():
    short_intervals = ("--lookup_lifetime=1s", "--lease=1s")
    outcome = asyncio.run(stopping.run(1000, short_intervals, restart_pause_s=1.2))
    assert not outcome.faults, outcome.faults[:5]
    assert outcome.stops >= stopping.INSTANCES
    assert all(outcome.count_by_kind[kind] for kind in ("queued", "streamed", "uploaded"))


def send_requests(fleet, key, results, stop):
    """Sends requests as callers must: looks up again when the last answer has expired."""
    instances, until = [], 0.0
    addresses = [fleet.address_by_name["a-1"], fleet.address_by_name["a-2"]]
    while not stop.is_set():
        if time.monotonic() >= until:
            for address in [*instances, *addresses]:
                status, _, body = test_processes.send(
                    address, "GET", "/v1/lookup?organisation=growers"
                )
                if status == 200:
                    answer = json.loads(body)
                    instances = [row["address"] for row in answer["instances"]]
                    until = time.monotonic() + answer["lifetime_s"]
                    break
        status, _, body = test_processes.send(instances[0], "GET", "/names?work_s=0.01", key)
        results.append((status, body))


def test_request_that_crashes_endpoints_is_refused_after_a_few(fleet):
    seats = {"a": ["a-1"], "b": ["b-1"]}
    start_controls(fleet, ["control-1"])
    fleet.start_entry("a-1", "a")
    fleet.start_entry("b-1", "b")
    key = test_processes.configure(fleet, seats)
    names = {f"e{n}": ("a-1" if n % 2 else "b-1") for n in range(8)}
    with test_processes.endpoints(fleet, names) as endpoints:
        wait_until_served(fleet, ["a-1", "b-1"], key)
        target = "/names?crash=1"
        processes.wait_until(lambda: sum(1 for e in endpoints if e.runs) >= 1)
        for number in range(20):
            address = fleet.address_by_name["a-1" if number % 2 else "b-1"]
            status, _, body = test_processes.send(address, "GET", target, key)
            if status == 403:
                break
        assert json.loads(body)["error"] == "quarantined"
        crashed = [e for e in endpoints if any(run.target == target for run in e.runs)]
        assert 1 <= len(crashed) <= 3
        listed = processes.wait_until(lambda: fleet.json("quarantine", "list"))
        fleet.run("quarantine", "lift", next(iter(listed)))
        wait_until_served(fleet, ["a-1", "b-1"], key)


def test_rate_and_burst_are_kept_while_holders_are_killed_and_frozen(fleet):
    seats = {"a": ["a-1", "a-2", "a-3"], "b": ["b-1", "b-2", "b-3"]}
    start_controls(fleet, ["control-1"])
    for zone, names in seats.items():
        for name in names:
            fleet.start_entry(name, zone)
    limited = test_processes.CONTRACT.replace("rate = 300", "rate = 40").replace(
        "burst = 300", "burst = 60"
    )
    key = test_processes.configure(fleet, seats, limited)
    with test_processes.endpoints(fleet, {"e1": "a-1", "e2": "b-1"}, seats) as endpoints:
        stop, statuses, samples = threading.Event(), set(), []

        def sample_runs():
            while not stop.wait(0.05):
                samples.append((time.monotonic(), sum(len(e.runs) for e in endpoints)))

        def load(name):
            while not stop.is_set():
                answer = test_processes.send(
                    fleet.address_by_name[name], "GET", "/names", key, timeout=4
                )
                statuses.add(answer[0])

        names = [name for zone in seats.values() for name in zone for _ in range(2)]
        threads = [threading.Thread(target=load, args=(name,)) for name in names]
        threads.append(threading.Thread(target=sample_runs))
        for thread in threads:
            thread.start()
        processes.wait_until(lambda: sum(len(e.runs) for e in endpoints) > 100)
        # Each instance is away for longer than any lease and must not use its old tokens then.
        for victim, frozen in (("a-1", "b-2"), ("b-1", "a-2")):
            fleet.kill(victim)
            fleet.signal(frozen, signal.SIGSTOP)
            time.sleep(2.5)
            fleet.restart(victim)
            fleet.signal(frozen, signal.SIGCONT)
            time.sleep(1.5)
        stop.set()
        for thread in threads:
            thread.join(30)
        # No period has more runs than burst and rate allow, plus those admitted before it.
        for (start, before), (end, after) in itertools.combinations(samples, 2):
            assert after - before <= 60 + 40 * (end - start) + len(names), (end - start, after)
        assert {200, 429} <= statuses


def test_killed_home_of_request_ids_never_lets_a_request_run_twice(fleet):
    key = start_fleet(fleet)
    names = SEATS["a"]
    with test_processes.endpoints(fleet, {"e1": "a-1", "e2": "a-2"}, SEATS) as endpoints:
        wait_until_served(fleet, names, key)
        home = fleet.address_by_name["a-1"]
        _, _, body = test_processes.send(home, "GET", "/v1/lookup?organisation=growers")
        prefix = json.loads(body)["request_id_prefix"]
        ids = [f"{prefix}{number}" for number in range(12)]
        for number, request_id in enumerate(ids[:8]):
            address = fleet.address_by_name[names[number % 3]]
            test_processes.send(address, "POST", "/filings", key, b"x", request_id)
        fleet.kill("a-1")
        # Resend the ids through other instances, before and after their home restarts without its
        # claims.
        for attempt in range(2):
            for request_id in ids:
                for name in ("a-2", "a-3"):
                    status, _, body = test_processes.send(
                        fleet.address_by_name[name], "POST", "/filings", key, b"x", request_id
                    )
                    if status != 200:
                        assert json.loads(body)["outcome"] == "unknown", (status, body)
            if attempt == 0:
                fleet.restart("a-1")
                wait_until_served(fleet, ["a-1"], key)
        runs = {i: sum(e.runs_by_id[i] for e in endpoints) for i in ids}
        assert max(runs.values()) == 1, runs


def test_loss_of_zones_and_a_control_instance_leaves_the_rest_serving(fleet):
    seats = {"a": ["a-1"], "b": ["b-1"], "c": ["c-1", "c-2", "c-3"]}
    start_controls(fleet)
    for zone, names in seats.items():
        for name in names:
            fleet.start_entry(name, zone)
    key = test_processes.configure(fleet, seats)
    with test_processes.endpoints(fleet, {"e1": "a-1", "e2": "b-1", "e3": "c-1"}) as endpoints:
        wait_until_served(fleet, ["a-1", "b-1", "c-1", "c-2", "c-3"], key)
        for name in ("a-1", "b-1", "control-1"):
            fleet.kill(name)
        wait_until_served(fleet, ["c-2", "c-3"], key)
        for _ in range(50):
            status, _, body = test_processes.send(
                fleet.address_by_name["c-2"], "GET", "/names", key
            )
            assert status == 200, body
        runs_in_lost_zones = [len(e.runs) for e in endpoints[:2]]
        assert fleet.json("drain", "start", "region", "r")["accepted"]
        assert [len(e.runs) for e in endpoints[:2]] == runs_in_lost_zones
