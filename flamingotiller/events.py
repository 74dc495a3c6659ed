"""Log events.

Each event has a stable number, a severity and a fixed set of fields, and is listed in the catalogue
docs/EVENTS.md, so that people and scripts can rely on it."""

from __future__ import annotations

import dataclasses
import datetime
import logging as std_logging
import typing

import orjson
from absl import logging
from absl.logging import converter


@dataclasses.dataclass(frozen=True)
class Event:
    """An entry of the catalogue.

    Attributes:
        number: Unique number; never reused for another meaning.
        level: Severity of ``absl.logging``.
        text: What happened.
        fields: Names of the fields of a log line.
        action: What an operator should do.
    """

    number: int
    level: int
    text: str
    fields: tuple[str, ...]
    action: str


event_by_number: dict[int, Event] = {}


def _define(number: int, level: int, text: str, fields: str, action: str = "none") -> Event:
    if number in event_by_number:
        raise ValueError(f"event {number} is defined twice")
    event = event_by_number[number] = Event(number, level, text, tuple(fields.split()), action)
    return event


_INFO, _WARN, _ERROR = logging.INFO, logging.WARNING, logging.ERROR

PROCESS_STARTED = _define(1001, _INFO, "process started", "role instance address version")
STOP_BEGAN = _define(1002, _INFO, "graceful stop began", "signal in_flight")
STOP_ENDED = _define(1003, _INFO, "process stopped", "in_flight")
STOP_FORCED = _define(
    1004, _WARN, "second signal: stopping at once", "signal", "expected on a second TERM"
)
HANDLER_FAILED = _define(
    1005, _ERROR, "a request handler failed", "peer error", "report with the log line"
)
TASK_FAILED = _define(
    1006,
    _ERROR,
    "a background task failed and is restarted",
    "task error",
    "report with the log line",
)
EVENT_LOOP_STALLED = _define(
    1007,
    _WARN,
    "the process was not scheduled for some time",
    "late_s",
    "look for an overloaded or frozen instance",
)

TRAFFIC_COUNTED = _define(1010, _INFO, "bytes sent and received since the start", "by_kind")

ELECTION_STARTED = _define(2001, _INFO, "election started", "term")
LEADER_ELECTED = _define(2002, _INFO, "this instance leads the log", "term index")
LEADERSHIP_LOST = _define(
    2003, _WARN, "this instance no longer leads", "term reason", "check the other control instances"
)
STORAGE_FAILED = _define(
    2004,
    _ERROR,
    "storage failed; this instance acknowledges nothing until it works again",
    "error",
    "free space or replace the disk (docs/OPERATIONS.md)",
)
STORAGE_RECOVERED = _define(2013, _INFO, "storage works again", "index")
JOURNAL_UNREADABLE = _define(
    2014,
    _ERROR,
    "the journal cannot be opened",
    "path error",
    "see docs/OPERATIONS.md",
)
JOURNAL_SET_ASIDE = _define(
    2015,
    _ERROR,
    "the journal is damaged and was set aside; the instance joins as a new member",
    "path error",
    "check the disk; the files are kept as *.damaged",
)
TAIL_DROPPED = _define(2005, _WARN, "a torn record at the end of the log was dropped", "bytes")
SNAPSHOT_SAVED = _define(2006, _INFO, "snapshot saved and log compacted", "index")
SNAPSHOT_INSTALLED = _define(2007, _INFO, "snapshot of the leader installed", "index")
MEMBERS_CHANGED = _define(2008, _INFO, "control membership changed", "voters learners")
CHANGE_ACCEPTED = _define(2010, _INFO, "change accepted", "who change_id subject version")
CHANGE_REFUSED = _define(
    2011, _INFO, "change refused", "who change_id subject reason", "see the winner in the answer"
)
NEW_MEMBER_WAITING = _define(
    2012,
    _WARN,
    "data folder is blank; waiting to be added as a new member",
    "identity",
    "members add, then members promote",
)

MEMBER_UNREACHABLE = _define(
    2016,
    _WARN,
    "a member of the log cannot be reached or refuses messages; logged once until it answers",
    "member peer message error",
    "a refusal names its reason; otherwise check the instance and the links",
)
MEMBER_REACHED = _define(2017, _INFO, "the member answers messages again", "member peer")
PART_SENT_AGAIN = _define(
    2018, _INFO, "a part of a long message to a member is sent again", "peer number error"
)
VERSION_IN_FORCE = _define(3001, _INFO, "configuration in force", "version source")
VERSION_REFUSED = _define(
    3002,
    _WARN,
    "an older configuration was offered and refused",
    "offered held peer",
    "none; the peer is behind",
)
FRESHNESS_LOST = _define(
    3003,
    _WARN,
    "no confirmation within the bound; keyed routes are refused",
    "age_s",
    "check the links to the control instances",
)
FRESHNESS_RESTORED = _define(
    3004, _INFO, "confirmation is fresh again; keyed routes are served", "age_s"
)
FEED_FAILED = _define(3005, _INFO, "a configuration source did not answer", "peer error")
LEASE_TAKEN = _define(3101, _INFO, "shard lease taken", "shard")
LEASE_LOST = _define(3102, _INFO, "shard lease lost", "shard")
MEMBER_UP = _define(3201, _INFO, "member seen", "member zone epoch")
MEMBER_DOWN = _define(3202, _WARN, "member silent", "member zone", "check the instance")
SEAT_MISMATCH = _define(
    3203,
    _ERROR,
    "the deployment gives this instance no seat in its zone",
    "instance zone",
    "correct the settings or the deployment",
)

ENDPOINT_ANNOUNCED = _define(4001, _INFO, "endpoint announced", "endpoint service address slots")
ENDPOINT_LEFT = _define(4002, _INFO, "endpoint left", "endpoint service reason")
ENDPOINT_DIED = _define(
    4003, _WARN, "endpoint broke a connection with requests in flight", "endpoint in_flight"
)
QUARANTINE_ADDED = _define(
    4004,
    _WARN,
    "requests with this fingerprint are refused",
    "fingerprint deaths",
    "quarantine_list; lift if it is innocent",
)
ANSWER_INCOMPLETE = _define(
    4005,
    _WARN,
    "an endpoint's answer was not whole; the caller's connection was cut",
    "endpoint request_id error",
)
DRAIN_IN_FORCE = _define(4006, _INFO, "drain in force", "kind name")


SETTINGS_RELOADED = _define(1008, _INFO, "settings reloaded", "reason changed")
LINES_DROPPED = _define(
    1009, _WARN, "log lines were left out to bound their volume", "event_number count"
)
STATE_SOURCE_REACHED = _define(
    3006, _INFO, "the source of the fleet's state answers", "peer revision after_s"
)
STATE_SOURCE_UNREACHABLE = _define(
    3007,
    _WARN,
    "the source of the fleet's state does not answer, or is not sure of it",
    "peer error age_s",
    "check the control instances and the links to them",
)
STATE_IN_FORCE = _define(
    3008, _INFO, "fleet state in force", "revision config_version full changed removed age_s"
)
ORDER_DECIDED = _define(
    3009, _INFO, "operator's order decided", "order subject verdict version revision"
)
ORDER_UNDECIDED = _define(
    3010,
    _WARN,
    "operator's order could not be decided here",
    "order subject error",
    "none; the operator sends it again",
)
ORDER_INVALID = _define(
    3011, _INFO, "operator's order is invalid", "order subject faults", "correct the order"
)
GATEWAYS_CHANGED = _define(3204, _INFO, "gateways present", "count joined left")
REPORT_APPLIED = _define(
    4007, _INFO, "endpoint's report changes the state", "endpoint service state cold_s verdict"
)
REPORT_INVALID = _define(
    4008,
    _WARN,
    "endpoint's report is invalid; it names no endpoint",
    "peer faults",
    "look for what sends it",
)
ENDPOINT_SILENT = _define(
    4009, _WARN, "endpoint has not reported for too long", "endpoint service verdict"
)
ENDPOINT_AVOIDED = _define(
    4010,
    _WARN,
    "endpoint is avoided after failures",
    "endpoint service reason failures until_s",
)
ENDPOINT_RESTORED = _define(4011, _INFO, "endpoint serves again", "endpoint service")
DRAW_FAILED = _define(4012, _INFO, "tokens of a rate could not be drawn", "organisation peer error")
ENDPOINT_LIMIT_CHANGED = _define(
    4013,
    _INFO,
    "an endpoint names a limit on its requests a second, or none any more",
    "endpoint service limit",
)
GRANT_FAILED = _define(
    4014, _INFO, "a request to a limited endpoint could not be granted", "endpoint peer error"
)
ENDPOINT_ENDED = _define(
    4015,
    _WARN,
    "an endpoint has ended with requests in flight",
    "endpoint service fingerprints",
    "look for a fingerprint that many of these lines have",
)
SUSPECT_ADDED = _define(
    4016,
    _WARN,
    "a request was in flight at several ends of endpoints; it runs on trial only",
    "fingerprint ends",
)
SUSPECT_CLEARED = _define(
    4017, _INFO, "a request is not suspected of ending endpoints any more", "fingerprint reason"
)
SUSPECT_CALL_FAILED = _define(
    4018,
    _WARN,
    "the leader could not be told of ends of endpoints, or asked for a trial",
    "call peer error",
    "check the control instances and the links to them",
)
ENDPOINT_SAYS_IT_LEAVES = _define(
    4019,
    _INFO,
    "a response says that its endpoint leaves; it is sent nothing more",
    "endpoint service",
)
ENDPOINT_PAUSED = _define(
    4020, _INFO, "an endpoint wants no requests for some time", "endpoint service pause_s"
)
PAUSE_INVALID = _define(
    4021,
    _INFO,
    "Retry-After of an endpoint is not a number of seconds and is ignored",
    "endpoint value",
)
PATHS_LOST = _define(
    3205,
    _WARN,
    "no endpoint can be reached; requests are relayed to other gateways",
    "endpoints",
    "check the links between this instance and the endpoints",
)
PATHS_RESTORED = _define(3206, _INFO, "endpoints can be reached again", "")
REQUEST_SERVED = _define(
    5001,
    _INFO,
    "request served",
    "request_id route service endpoint object organisation status ms tries revision age_s",
)
REQUEST_REFUSED = _define(
    5002,
    _INFO,
    "request refused; it has not run",
    "request_id route service organisation status code detail retry_after_s ms tries revision"
    " age_s fingerprint",
    "docs/OPERATIONS.md, from a request's id to its cause",
)
REQUEST_FAILED = _define(
    5003,
    _WARN,
    "request failed; it may have run",
    "request_id route service organisation status code detail ms tries revision age_s"
    " fingerprint",
    "docs/OPERATIONS.md, from a request's id to its cause",
)
TRY_FAILED = _define(
    5004,
    _INFO,
    "a try at an endpoint failed",
    "request_id endpoint kind error sent_ms left_ms load load_age_s fingerprint",
)
CALLER_DISCONNECTED = _define(
    5005, _INFO, "caller left before its answer", "request_id endpoint stage ms"
)


class JsonFormatter(std_logging.Formatter):
    """Formats each record as a JSON object on a line of its own."""

    def format(self, record: std_logging.LogRecord) -> str:
        """Returns the record as JSON, without a line break."""
        at = datetime.datetime.fromtimestamp(record.created, datetime.UTC)
        document = {"at": at.isoformat(), "level": record.levelname}
        document.update(getattr(record, "event_fields", {"text": record.getMessage()}))
        return orjson.dumps(document).decode()


def configure(log_format: str) -> None:
    """Sets up logging in the given format.

    Args:
        log_format: ``text`` or ``json``.
    """
    logging.use_absl_handler()
    logging.set_verbosity(logging.INFO)
    if log_format == "json":
        logging.get_absl_handler().setFormatter(JsonFormatter())


class Sink(typing.Protocol):
    """Receives events in place of the logging handlers."""

    def write(self, event: Event, fields: dict[str, object]) -> None:
        """Writes a line, or drops it to bound the volume; never blocks."""


_sink: Sink | None = None


def set_sink(sink: Sink | None) -> None:
    """Sends subsequent events to a sink, or to the logging handlers if it is None."""
    global _sink  # noqa: PLW0603 - a process has one log
    _sink = sink


def suppress_output() -> None:
    """Suppresses all log lines below the level fatal."""
    logging.set_verbosity(logging.FATAL)


def emit(event: Event, **fields: object) -> None:
    """Logs an event.

    Args:
        event: An event of the catalogue.
        fields: Values of exactly the fields that the event has.

    Raises:
        ValueError: A field is missing or unknown.
    """
    if set(fields) != set(event.fields):
        raise ValueError(f"event {event.number} takes {event.fields}, got {sorted(fields)}")
    if _sink is not None:
        _sink.write(event, fields)
        return
    values = " ".join(f"{name}={fields[name]}" for name in event.fields)
    extra = {"event": event.number, "text": event.text, **{k: str(v) for k, v in fields.items()}}
    logger = logging.get_absl_logger()
    level = converter.absl_to_standard(event.level)
    logger.log(level, "E%d %s %s", event.number, event.text, values, extra={"event_fields": extra})


def level_name(event: Event) -> str:
    """Returns the name of an event's severity."""
    return {_INFO: "info", _WARN: "warning", _ERROR: "error"}[event.level]


def catalogue() -> str:
    """Returns the catalogue as a Markdown table, the content of docs/EVENTS.md."""
    rows = [
        f"| {e.number} | {level_name(e)} | {e.text} | {', '.join(e.fields)} | {e.action} |"
        for e in event_by_number.values()
    ]
    return "\n".join(["| number | level | meaning | fields | action |", "|--|--|--|--|--|", *rows])
