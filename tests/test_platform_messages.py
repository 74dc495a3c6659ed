"""Bodies and settings of the platform: what is taken, and what is refused with a clear error."""

import copy

import orjson
import pytest

from flamingotiller import clock, errors
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


def test_configuration_becomes_the_products_own_types():
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


def changed(path, value, base=CONFIG):
    document = copy.deepcopy(base)
    target = document
    for key in path[:-1]:
        target = target[key]
    if value is KeyError:
        del target[path[-1]]
    else:
        target[path[-1]] = value
    return document


A = ("routes", "a")
INVALID = {
    "unknown service": changed((*A, "trafficSplit"), [{"service": "none", "weight": 1}]),
    "weights of nothing": changed((*A, "trafficSplit"), [{"service": "s1", "weight": 0}]),
    "negative weight": changed((*A, "trafficSplit"), [{"service": "s1", "weight": -1}]),
    "no service": changed(("routes", "b", "service"), KeyError),
    "timeout over ten minutes": changed((*A, "timeout"), "601s"),
    "timeout without a unit": changed((*A, "timeout"), "600"),
    "timeout as a number": changed((*A, "timeout"), 600),
    "no attempts": changed((*A, "maxAttempts"), 0),
    "attempts as text": changed((*A, "maxAttempts"), "2"),
    "empty host": changed((*A, "host"), ""),
    "unknown kind": changed((*A, "routeType"), "sometimes"),
    "prefix without a slash": changed((*A, "pathPrefix"), "/x"),
    "shared key": changed(("tenants", "u"), {"apiKeys": ["k1"]}),
    "key given twice": changed(("tenants", "t", "apiKeys"), ["k1", "k1"]),
    "version as a number": changed(("version",), 7),
    "no version": changed(("version",), KeyError),
    "same host and prefix": changed(("routes", "c"), CONFIG["routes"]["a"]),
    "no routes": changed(("routes",), KeyError),
    "routes as a list": changed(("routes",), []),
    "not an object": [CONFIG],
}


@pytest.mark.parametrize("case", INVALID)
def test_invalid_configurations_are_refused(case):
    with pytest.raises(errors.InvalidInputError):
        messages.decode_order(orjson.dumps(INVALID[case]), "r5")


@pytest.mark.parametrize("cut", [1, 10, 200, -1])
def test_configurations_that_were_cut_short_are_refused(cut):
    with pytest.raises(errors.InvalidInputError):
        messages.decode_order(orjson.dumps(CONFIG)[:cut], "r5")


@pytest.mark.parametrize("base", [None, "", "r", "-1", "rr5", "5.0"])
def test_base_version_has_to_be_told(base):
    with pytest.raises(errors.InvalidInputError):
        messages.decode_order(orjson.dumps(CONFIG), base)


def test_first_configuration_builds_on_nothing():
    assert messages.decode_order(orjson.dumps(CONFIG), "0").base == 0
    assert messages.decode_order(orjson.dumps(CONFIG), "r0").base == 0


def test_orders_are_told_apart_by_content_and_base_not_by_layout():
    one = messages.decode_order(orjson.dumps(CONFIG), "r5").digest
    again = messages.decode_order(orjson.dumps(CONFIG, option=orjson.OPT_INDENT_2), "r5").digest
    assert one == again
    assert messages.decode_order(orjson.dumps(CONFIG), "r6").digest != one
    other = changed((*A, "priority"), 3)
    assert messages.decode_order(orjson.dumps(other), "r5").digest != one


HEARTBEAT = {
    "address": "10.128.0.9:8080",
    "born": 1765000000000,
    "info": {"service": "s1", "version": "v1", "zone": "thrace-a", "slots": 9},
    "status": {"state": "draining", "sequence": 4, "coldRemaining": "1500ms"},
}


def test_report_becomes_an_endpoint():
    message = messages.decode(orjson.dumps(HEARTBEAT), messages.HeartbeatMessage, "report")
    assert message.to_model("e1") == model.Endpoint(
        "e1", 1765000000000, 4, "s1", "10.128.0.9:8080", "thrace-a", 9, True, 1.5
    )


def nonsense():
    yield b"\xff\xfe not text"
    yield b"[]"
    yield b"null"
    for path, value in [
        (("address",), "10.0.0.1"),
        (("address",), 7),
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
        yield orjson.dumps(changed(path, value, HEARTBEAT))


@pytest.mark.parametrize("body", list(nonsense()))
def test_nonsense_names_no_endpoint(body):
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


def test_settings_are_read_and_unknown_fields_ignored():
    file = settings_file.SettingsFile(SETTINGS)
    assert file.seeds() == ("10.1.0.11:7600", "10.2.0.6:7600")
    assert file.region_by_zone() == {"thrace-a": "thrace", "balkan-a": "balkan"}
    assert file.listen() == settings_file.Listen("", "", "10.1.0.11:8200", "10.1.0.11:8209")
    assert file.flag("bootstrap")
    assert file.duration("heartbeat", "9s") == clock.seconds(1.5)
    assert file.bound("quotaWindow", "1s") == "5s"
    assert file.bound("other", "x") == "x"


@pytest.mark.parametrize("field", ["internalPortRange", "seedNodes"])
def test_missing_settings_are_named(field):
    text = "\n".join(line for line in SETTINGS.splitlines() if not line.startswith(field))
    with pytest.raises(errors.SettingsError, match=field):
        settings_file.SettingsFile(text).seeds()


@pytest.mark.parametrize("text", ["", "5", "5m", "-1s", "1e3s", "s", "1 s", None, 5])
def test_durations_need_a_number_and_a_unit(text):
    with pytest.raises(errors.SettingsError):
        settings_file.parse_duration(text, "x")


def test_load_and_object_are_read_from_headers():
    assert headers.parse_load("3,1,8") == placement.Load(3, 1)
    assert headers.parse_load("3,1") is None
    assert headers.parse_load("a,b,c") is None
    cookies = [(b"cookie", b"a=1; X-Affinity-Key=17; b=2")]
    assert headers.parse_object(cookies) == "17"
    assert headers.parse_object([(b"host", b"x")]) == ""
