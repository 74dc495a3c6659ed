"""Tests of the HTTP interfaces against a running fleet: authentication, answers and bad input."""

import asyncio
import json
import threading

import pytest
import test_embedded

from flamingotiller import client, clock, embedded, kernel

VALID_ANNOUNCEMENT = {
    "service": "search",
    "endpoint": "x",
    "session": "s",
    "address": "127.0.0.1:1",
    "slots": 1,
}


class FleetThread:
    """A fleet whose event loop runs in its own thread, and a client for it."""

    def __init__(self):
        self.loop = asyncio.new_event_loop()
        self.thread = threading.Thread(target=self.loop.run_forever, daemon=True)
        self.thread.start()
        self.call(self.open())

    def call(self, coroutine):
        return asyncio.run_coroutine_threadsafe(coroutine, self.loop).result(60)

    async def open(self):
        plan = embedded.Plan({"z1": "r1"}, services=("search",))
        self.context = embedded.running(plan)
        self.fleet = await self.context.__aenter__()
        self.pool = client.ConnectionPool()
        self.key = await test_embedded.configure(self.fleet)
        sender = test_embedded.caller.Caller(
            [self.fleet.entries[0].address], "growers", self.key, clock.SystemClock()
        )
        await test_embedded.until_served(sender)
        await sender.close()

    async def close(self):
        await self.pool.close()
        await self.context.__aexit__(None, None, None)

    def send(self, role, method, target, body=None, token=None, headers=()):
        daemon = self.fleet.entries[0] if role == "entry" else self.fleet.controls[0]
        tokens = {
            "peer": f"peer-{self.fleet.token}",
            "operator": self.fleet.token,
            "service": self.fleet.service_token("search"),
        }
        raw = isinstance(body, bytes)
        sender = client.Client(self.pool, tokens.get(token, token))
        return self.call(
            sender.call(
                daemon.address, method, target, body, timeout=clock.seconds(10),
                headers=headers, raw=raw,
            )
        )  # fmt: skip


@pytest.fixture(scope="module")
def running():
    fleet_thread = FleetThread()
    yield fleet_thread
    fleet_thread.call(fleet_thread.close())
    fleet_thread.loop.call_soon_threadsafe(fleet_thread.loop.stop)
    fleet_thread.thread.join(10)


AUTHENTICATED = [
    *(("entry", route) for route in (
        "POST /v1/gossip", "POST /v1/greet", "POST /v1/feed", "POST /v1/lease",
        "POST /v1/tokens/take", "POST /v1/tokens/lend", "POST /v1/tokens/settle",
        "POST /v1/slots/ask", "POST /v1/slots/release",
        "POST /v1/slots/inherited", "POST /v1/endpoints", "POST /v1/suspects",
        "POST /v1/claims", "POST /v1/outcomes", "GET /v1/instance", "POST /v1/announce",
    )),
    *(("control", route) for route in (
        "POST /v1/replica", "POST /v1/replica-part", "POST /v1/feed", "POST /v1/changes",
        "POST /v1/reports/quarantine",
        "GET /v1/items", "GET /v1/audit", "GET /v1/status", "POST /v1/log-claims",
        "POST /v1/members",
    )),
]  # fmt: skip
UNAUTHENTICATED = {"GET /health", "GET /ready", "GET /metrics", "GET /v1/lookup"}


def test_every_route_is_open_on_purpose_or_authenticated():
    kernel.load_plugins()
    routes = {("entry", r) for r in kernel.entry_routes.by_name}
    routes |= {("control", r) for r in kernel.control_routes.by_name}
    assert {(role, r) for role, r in routes if r not in UNAUTHENTICATED} == set(AUTHENTICATED)


@pytest.mark.parametrize(("role", "route"), AUTHENTICATED)
@pytest.mark.parametrize("token", [None, "wrong", "peer-"])
def test_wrong_credential_is_refused(running, role, route, token):
    method, path = route.split()
    answer = running.send(role, method, path, {} if method == "POST" else None, token)
    assert answer.status == 401
    assert answer.json()["error"] == "Unauthenticated"


@pytest.mark.parametrize(("role", "route"), [c for c in AUTHENTICATED if c[1].startswith("POST")])
@pytest.mark.parametrize("body", [b"", b"{", b"[]", b"{}", b'{"x": 1}', b"3", b'"text"'])
def test_malformed_body_is_refused(running, role, route, body):
    path = route.split()[1]
    token = "operator" if path in ("/v1/changes", "/v1/members") else "peer"
    if path == "/v1/announce":
        token = "service"
    answer = running.send(role, "POST", path, body, token)
    expected = {400, 401} if path == "/v1/announce" else {400}
    assert answer.status in expected, (answer.status, answer.body)


@pytest.mark.parametrize(
    "change",
    [
        {"slots": 0}, {"slots": "many"}, {"address": "localhost:80"}, {"address": "127.0.0.1"},
        {"endpoint": "A B"}, {"session": ""}, {"extra": 1}, {"connections": -1}, {"load": -1},
        {"leaving": "perhaps"},
    ],
)  # fmt: skip
def test_bad_announcement_is_refused(running, change):
    answer = running.send(
        "entry", "POST", "/v1/announce", {**VALID_ANNOUNCEMENT, **change}, "service"
    )
    assert answer.status == 400
    assert answer.json()["faults"]


def test_endpoint_of_one_service_cannot_announce_for_another(running):
    body = {**VALID_ANNOUNCEMENT, "service": "other"}
    assert running.send("entry", "POST", "/v1/announce", body, "service").status == 401


def test_announcement_states_its_lease_and_leaving_the_work_left(running):
    answer = running.send(
        "entry", "POST", "/v1/announce", {**VALID_ANNOUNCEMENT, "endpoint": "tmp"}, "service"
    )
    assert answer.json()["lease_s"] > 0
    body = {**VALID_ANNOUNCEMENT, "endpoint": "tmp", "leaving": True}
    answer = running.send("entry", "POST", "/v1/announce", body, "service")
    assert answer.json() == {"lease_s": 0.0, "in_flight": 0}


@pytest.mark.parametrize(
    ("headers", "target", "method", "status", "code"),
    [
        ([], "/names", "GET", 401, "no-key"),
        ([("flamingotiller-organisation", "growers")], "/names", "GET", 401, "no-key"),
        ([("flamingotiller-organisation", "nobody")], "/open", "GET", 401, "no-key"),
        ([("flamingotiller-key", "growers.x.y")], "/names", "GET", 401, "bad-key"),
        ([("flamingotiller-key", "")], "/names", "GET", 401, "no-key"),
        (["key"], "/nothing", "GET", 404, "no-route"),
        (["key"], "/namesake", "GET", 404, "no-route"),
        (["key"], "/names", "POST", 404, "no-route"),
        (["key", ("flamingotiller-deadline-ms", "soon")], "/names", "GET", 400, "bad-request"),
        (["key", ("flamingotiller-deadline-ms", "0")], "/names", "GET", 400, "bad-request"),
        (["key", ("idempotency-key", "x" * 201)], "/filings", "POST", 400, "bad-request"),
        (["key", ("idempotency-key", "a b")], "/filings", "POST", 400, "bad-request"),
        (["key", ("idempotency-key", "f1.z1.z1-0.1.2.n.1")], "/filings", "POST", 409, "id-expired"),
        (
            ["key", ("idempotency-key", "f1.zx.zx-0.1.2.n.1")],
            "/filings",
            "POST",
            503,
            "claim-unreachable",
        ),
    ],
)
def test_refusals_name_their_reason_and_outcome(running, headers, target, method, status, code):
    sent = [("flamingotiller-key", running.key) if h == "key" else h for h in headers]
    answer = running.send("entry", method, target, None, None, sent)
    body = answer.json()
    assert (answer.status, body["error"]) == (status, code), body
    has_id = any(h[0] == "idempotency-key" for h in sent)
    assert body["outcome"] == ("unknown" if has_id else "not-run")
    assert dict(answer.headers)[b"flamingotiller-outcome"].decode() == body["outcome"]


def test_open_route_needs_no_key_and_a_key_by_bearer_works_too(running):
    headers = [("flamingotiller-organisation", "growers")]
    assert running.send("entry", "GET", "/open/x", headers=headers).status == 200
    assert running.send("entry", "GET", "/names", token=running.key).status == 200


def test_lookup_states_instances_lifetime_and_prefix(running):
    answer = running.send("entry", "GET", "/v1/lookup?organisation=growers")
    body = answer.json()
    assert body["instances"] == [
        {"address": running.fleet.entries[0].address, "zone": "z1", "instance": "z1-0"}
    ]
    assert body["lifetime_s"] > 0
    assert body["request_id_prefix"].startswith("f1.z1.z1-0.")
    assert dict(answer.headers)[b"cache-control"].startswith(b"max-age=")


@pytest.mark.parametrize("query", ["address=nonsense", "organisation=" + "x" * 64])
def test_bad_lookup_is_refused(running, query):
    assert running.send("entry", "GET", f"/v1/lookup?{query}").status == 400


@pytest.mark.parametrize("role", ["entry", "control"])
def test_platform_interface(running, role):
    assert running.send(role, "GET", "/health").json()["role"] == role
    assert running.send(role, "GET", "/ready").json() == {"ready": True, "reason": ""}
    text = running.send(role, "GET", "/metrics").body.decode()
    assert "flamingotiller_config_version" in text
    assert running.send(role, "GET", "/v1/nothing").status == 404


CHANGES = [
    ({"change_id": "a", "subject": "nothing"}, 400),
    ({"change_id": "", "subject": "drain/zone/a", "value": {"reason": "x"}}, 400),
    ({"change_id": "b", "subject": "drain/zone/a", "value": {"reason": 1}}, 400),
    ({"change_id": "c", "subject": "drain/zone/a", "value": {"reason": "x"}, "base": -1}, 400),
    ({"change_id": "d", "subject": "drain/zone/a", "value": {"reason": "x"}, "base": 77}, 409),
    ({"change_id": "e", "subject": "drain/zone/none"}, 409),
    ({"change_id": "f", "subject": "key/nobody/a", "value": {"salt": "00", "digest": ""}}, 409),
]


@pytest.mark.parametrize(("body", "status"), CHANGES)
def test_bad_change_is_refused_and_changes_nothing(running, body, status):
    before = running.send("control", "GET", "/v1/items", token="operator").json()
    answer = running.send("control", "POST", "/v1/changes", body, "operator")
    assert answer.status == status, answer.body
    assert running.send("control", "GET", "/v1/items", token="operator").json() == before


def test_peers_may_report_quarantines_only(running):
    body = {"change_id": "p", "subject": "contract/growers", "value": None}
    answer = running.send("control", "POST", "/v1/reports/quarantine", body, "peer")
    assert answer.status == 400


def test_audit_names_who_what_and_when(running):
    rows = running.send("control", "GET", "/v1/audit?prefix=contract/", token="operator").json()
    row = rows["rows"][-1]
    assert row["who"] == "operator"
    assert row["subject"] == "contract/growers"
    assert row["accepted"]
    assert (row["from_version"], row["to_version"]) == (0, 2)
    for limit in ("0", "x", "1001", "-1"):
        target = f"/v1/audit?limit={limit}"
        assert running.send("control", "GET", target, token="operator").status == 400


def test_operators_see_instances_and_endpoints(running):
    body = running.send("entry", "GET", "/v1/instance", token="operator").json()
    assert body["instance"] == "z1-0"
    names = [e["name"] for e in body["services"]["search"]["endpoints"]]
    assert "search-z1-0" in names
    assert json.dumps(body).count(running.fleet.token) == 0
