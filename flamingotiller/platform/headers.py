"""The platform's header names and the parsers of its header values."""

from __future__ import annotations

import re

from flamingotiller.fleet import forwarding, placement

_AFFINITY_COOKIE = "X-Affinity-Key"
_NUMBER = re.compile(r"^[0-9]{1,9}(\.[0-9]{0,9})?$", re.ASCII)


def parse_load(value: str) -> placement.Load | None:
    """Parses an endpoint's load, ``running,waiting,slots``; returns None if it is malformed."""
    parts = value.split(",")
    if len(parts) != 3 or not all(p.strip().isdecimal() and len(p) < 9 for p in parts):
        return None
    return placement.Load(int(parts[0]), int(parts[1]))


def parse_limit(value: str) -> float | None:
    """Parses the requests per second that an endpoint takes; returns None if malformed."""
    return float(value) if _NUMBER.match(value) else None


def parse_pause(value: str) -> float | None:
    """Parses the seconds for which an endpoint wants no requests; returns None if malformed."""
    return float(value) if _NUMBER.match(value.strip()) else None


def parse_affinity_key(headers: list[tuple[bytes, bytes]]) -> str:
    """Returns the affinity key from a request's cookies, empty if there is none.

    Requests with the same key should be sent to the same endpoint.
    """
    for name, value in headers:
        if name != b"cookie":
            continue
        for cookie in value.decode("latin-1").split(";"):
            cookie_name, _, cookie_value = cookie.strip().partition("=")
            if cookie_name == _AFFINITY_COOKIE:
                return cookie_value
    return ""


DIALECT = forwarding.Dialect(
    request_id=b"x-request-id",
    deadline_ms=b"x-deadline-ms",
    expected_endpoint=b"x-expect-instance",
    organisation=b"x-tenant-id",
    key=b"x-api-key",
    load=b"x-server-load",
    not_run=b"x-not-executed",
    seal=b"x-response-seal",
    limit=b"server-limit",
    leaving=b"server-leaving",
    parse_load=parse_load,
    parse_limit=parse_limit,
    parse_pause=parse_pause,
    parse_object=parse_affinity_key,
)
