"""The platform's header names."""

from __future__ import annotations

from flamingotiller.fleet import forwarding, placement

_OBJECT_COOKIE = "X-Affinity-Key"


def parse_load(value: str) -> placement.Load | None:
    """Reads ``running,waiting,slots``; None when it is something else."""
    parts = value.split(",")
    if len(parts) != 3 or not all(part.strip().isdigit() for part in parts):
        return None
    return placement.Load(int(parts[0]), int(parts[1]))


def parse_affinity_key(headers: list[tuple[bytes, bytes]]) -> str:
    """Returns the object that a request concerns, from its cookies; empty when there is none."""
    for name, value in headers:
        if name != b"cookie":
            continue
        for cookie in value.decode("latin-1").split(";"):
            key, _, text = cookie.strip().partition("=")
            if key == _OBJECT_COOKIE:
                return text
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
    parse_load=parse_load,
    parse_object=parse_affinity_key,
)
