"""The platform's message bodies, settings file and headers: parsing, and rejection of bad input."""

import copy

import orjson
import pytest

from flamingotiller import clock, errors, replica_messages
from flamingotiller.fleet import model, placement
from flamingotiller.platform import headers, messages, settings_file

CONFIG = {
    "version": "r7",
    "routes": {
        "a": {
            "host": "One.example", "pathPrefix": "/x/", "routeType": "idempotent",
            "timeout": "1200ms", "targetLatency": "400ms", "priority": 2,
            "trafficSplit": [{"service": "s1", "weight": 90}, {"service": "s2", "weight": 10}],
            "maxAttempts": 2, "public": False, "stickySessions": True, "allowedRegions": [],
        },
        "b": {
            "host": "two.example", "pathPrefix": "/y/z/", "routeType": "non_idempotent",
            "timeout": "1.5s", "targetLatency": "400ms", "priority": 1, "service": "s1",
            "maxAttempts": 1, "public": True, "stickySessions": False,
            "allowedRegions": ["thrace"],
        },
    },
    "services": {
        "s1": {"healthPath": "/healthz", "maxConnections": 780, "protocol": "h1", "tls": False,
               "coldStart": "3s", "coldPerS": 16.0},
        "s2": {"healthPath": "/healthz", "maxConnections": 780},
    },
    "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 64, "headerTimeout": "3000ms",
               "idleTimeout": "15000ms"},
    "tenants": {"t": {"apiKeys": ["k1", "k2"], "priority": 1, "ratePerS": 405, "burst": 400,
                      "allowedRegions": []}},
}  # fmt: skip


def test_configuration_is_converted_to_the_model():
    order = messages.decode_order(orjson.dumps(CONFIG), "r5")
    assert (order.version, order.base) == (7, 5)
    assert order.source == CONFIG
    view = model.View()
    view.replace(order.items)
    route = view.match("one.example", "/x/1")
    assert (route.idempotent, route.timeout_s, route.objective_s) == (True, 1.2, 0.4)
    assert route.parts == (model.WeightedService("s1", 90.0), model.WeightedService("s2", 10.0))
    assert (route.open, route.sticky, route.max_attempts, route.rank) == (False, True, 2, 2)
    other = view.match("two.example", "/y/z/")
    assert other.open and not other.idempotent and other.regions == {"thrace"}
    assert view.service_by_name["s1"] == model.Service("s1", 780, 3.0, 16.0)
    organisation = view.organisation_of_key("k2")
    assert (organisation.name, organisation.rate, organisation.burst) == ("t", 405.0, 400.0)
    assert view.limits == model.Limits(16384, 64, 3.0, 15.0)


def with_value(path, value, base=CONFIG):
    """Returns a copy of ``base`` with a value replaced, or removed if ``value`` is KeyError."""
    document = copy.deepcopy(base)
    target = document
    for key in path[:-1]:
        target = target[key]
    if value is KeyError:
        del target[path[-1]]
    else:
        target[path[-1]] = value
    return document


ROUTE_A = ("routes", "a")
INVALID = {
    "unknown service": with_value((*ROUTE_A, "trafficSplit"), [{"service": "none", "weight": 1}]),
    "weights that add up to 0": with_value(
        (*ROUTE_A, "trafficSplit"), [{"service": "s1", "weight": 0}]
    ),
    "negative weight": with_value((*ROUTE_A, "trafficSplit"), [{"service": "s1", "weight": -1}]),
    "no service": with_value(("routes", "b", "service"), KeyError),
    "timeout over ten minutes": with_value((*ROUTE_A, "timeout"), "601s"),
    "timeout without a unit": with_value((*ROUTE_A, "timeout"), "600"),
    "timeout as a number": with_value((*ROUTE_A, "timeout"), 600),
    "no attempts": with_value((*ROUTE_A, "maxAttempts"), 0),
    "attempts as text": with_value((*ROUTE_A, "maxAttempts"), "2"),
    "empty host": with_value((*ROUTE_A, "host"), ""),
    "unknown route type": with_value((*ROUTE_A, "routeType"), "sometimes"),
    "prefix without a slash": with_value((*ROUTE_A, "pathPrefix"), "/x"),
    "key of another tenant": with_value(("tenants", "u"), {"apiKeys": ["k1"]}),
    "same key twice in a tenant": with_value(("tenants", "t", "apiKeys"), ["k1", "k1"]),
    "version as a number": with_value(("version",), 7),
    "no version": with_value(("version",), KeyError),
    "same host and prefix": with_value(("routes", "c"), CONFIG["routes"]["a"]),
    "no routes": with_value(("routes",), KeyError),
    "routes as a list": with_value(("routes",), []),
    "not an object": [CONFIG],
}


@pytest.mark.parametrize("case", INVALID)
def test_invalid_configurations_are_refused(case):
    with pytest.raises(errors.InvalidInputError):
        messages.decode_order(orjson.dumps(INVALID[case]), "r5")


@pytest.mark.parametrize("cut", [1, 10, 200, -1])
def test_truncated_configurations_are_refused(cut):
    with pytest.raises(errors.InvalidInputError):
        messages.decode_order(orjson.dumps(CONFIG)[:cut], "r5")


@pytest.mark.parametrize("base", [None, "", "r", "-1", "rr5", "5.0"])
def test_missing_or_malformed_base_version_is_refused(base):
    with pytest.raises(errors.InvalidInputError):
        messages.decode_order(orjson.dumps(CONFIG), base)


def test_first_configuration_has_base_version_0():
    assert messages.decode_order(orjson.dumps(CONFIG), "0").base == 0
    assert messages.decode_order(orjson.dumps(CONFIG), "r0").base == 0


def test_digest_depends_on_content_and_base_but_not_on_layout():
    digest = messages.decode_order(orjson.dumps(CONFIG), "r5").digest
    indented = messages.decode_order(orjson.dumps(CONFIG, option=orjson.OPT_INDENT_2), "r5").digest
    assert digest == indented
    assert messages.decode_order(orjson.dumps(CONFIG), "r6").digest != digest
    other = with_value((*ROUTE_A, "priority"), 3)
    assert messages.decode_order(orjson.dumps(other), "r5").digest != digest


HEARTBEAT = {
    "address": "10.128.0.9:8080",
    "born": 1765000000000,
    "info": {"service": "s1", "version": "v1", "zone": "thrace-a", "slots": 9},
    "status": {"state": "draining", "sequence": 4, "coldRemaining": "1500ms"},
}


def test_report_is_converted_to_an_endpoint():
    message = messages.decode(orjson.dumps(HEARTBEAT), messages.HeartbeatMessage, "report")
    assert message.to_model("e1") == model.Endpoint(
        "e1", 1765000000000, 4, "s1", "10.128.0.9:8080", "thrace-a", 9, True, 1.5
    )


def invalid_reports():
    yield b"\xff\xfe not text"
    yield b"[]"
    yield b"null"
    yield b"[" * 100_000 + b"]" * 100_000
    deep = orjson.dumps(HEARTBEAT)[:-1] + b', "more": ' + b'{"a":' * 2000 + b"1" + b"}" * 2001
    yield deep
    yield orjson.dumps(HEARTBEAT).replace(b'"sequence":4', b'"sequence":1e400')
    yield orjson.dumps(HEARTBEAT).replace(b'"sequence":4', b'"sequence":' + b"9" * 400)
    for path, value in [
        (("address",), "10.0.0.1"),
        (("address",), 7),
        (("address",), "10.128.0.9:0"),
        (("address",), "10.128.0.9:65536"),
        (("address",), "10.128.0.9:99999"),
        (("address",), "10.128.0.300:8080"),
        (("born",), 2**63),
        (("born",), -1),
        (("info", "slots"), 2**40),
        (("status", "sequence"), 2**63),
        (("status", "sequence"), -1),
        (("status", "coldRemaining"), "86400000000000s"),
        (("status", "coldRemaining"), "99999999999999999999s"),
        (("born",), "soon"),
        (("born",), 1.5),
        (("info",), KeyError),
        (("info", "service"), 3),
        (("info", "zone"), ""),
        (("info", "slots"), "9"),
        (("info", "slots"), 0),
        (("status", "state"), "resting"),
        (("status", "sequence"), True),
        (("status", "coldRemaining"), "later"),
        (("status",), []),
    ]:
        yield orjson.dumps(with_value(path, value, HEARTBEAT))


@pytest.mark.parametrize("body", list(invalid_reports()))
def test_invalid_reports_are_refused(body):
    with pytest.raises(errors.InvalidInputError):
        messages.decode(body, messages.HeartbeatMessage, "report")


SETTINGS = """nodeName=core-thrace-a-1
ip=10.1.0.11
zone=thrace-a
region=thrace
zones.thrace-a=thrace
zones.balkan-a=balkan
listen.controlPlane=10.1.0.11:8200
listen.directory=10.1.0.11:8209
internalPortRange=7600,7615
seedNodes=10.1.0.11:8200,10.2.0.6:8200
bootstrap=true
dataDir=/data/my-core
heartbeat=1500ms
something.new=ignored
bounds=revokeTimeout=5000ms,quotaWindow=5s,quotaOverage=0.1,strictRevoke=true
"""


def test_settings_are_parsed_and_unknown_fields_ignored():
    file = settings_file.SettingsFile(SETTINGS)
    assert file.seeds() == ("10.1.0.11:7600", "10.2.0.6:7600")
    assert file.region_by_zone() == {"thrace-a": "thrace", "balkan-a": "balkan"}
    assert file.listen() == settings_file.ListenAddresses(
        "", "", "10.1.0.11:8200", "10.1.0.11:8209"
    )
    assert file.flag("bootstrap")
    assert file.duration("heartbeat", "9s") == clock.seconds(1.5)
    assert file.bound("quotaWindow", "1s") == "5s"
    assert file.bound("other", "x") == "x"


@pytest.mark.parametrize("field", ["internalPortRange", "seedNodes"])
def test_error_names_the_missing_field(field):
    text = "\n".join(line for line in SETTINGS.splitlines() if not line.startswith(field))
    with pytest.raises(errors.SettingsError, match=field):
        settings_file.SettingsFile(text).seeds()


@pytest.mark.parametrize("text", ["", "5", "5m", "-1s", "1e3s", "s", "1 s", None, 5])
def test_malformed_durations_are_refused(text):
    with pytest.raises(errors.SettingsError):
        settings_file.parse_duration(text, "x")


def test_load_and_affinity_key_are_parsed_from_headers():
    assert headers.parse_load("3,1,8") == placement.Load(3, 1)
    assert headers.parse_load("3,1") is None
    assert headers.parse_load("a,b,c") is None
    cookies = [(b"cookie", b"a=1; X-Affinity-Key=17; b=2")]
    assert headers.parse_affinity_key(cookies) == "17"
    assert headers.parse_affinity_key([(b"host", b"x")]) == ""


def test_configuration_that_is_nested_too_deeply_is_refused():
    for depth in (replica_messages.MAX_NESTING + 1, 250, 900):
        body = orjson.dumps({**CONFIG, "more": None})
        body = body.replace(b"null", b"[" * depth + b"]" * depth)
        with pytest.raises(errors.InvalidInputError):
            messages.decode_order(body, "r5")
