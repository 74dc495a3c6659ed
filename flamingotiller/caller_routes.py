"""Routes for callers: the look-up of entry instances."""

from __future__ import annotations

import secrets

from flamingotiller import entry, errors, kernel, lookup, server


@kernel.entry_routes.register("GET /v1/lookup")
async def look_up(
    process: entry.EntryInstance, request: server.Request, reply: server.Reply
) -> None:
    """Answers which entry instances to use, best first, and for how long."""
    organisation = request.query.get("organisation", "")
    if len(organisation) > 63:
        raise errors.InvalidInputError("organisation: at most 63 characters", step="look up")
    address = request.query.get("address") or request.peer.rpartition(":")[0].strip("[]")
    targets = lookup.rank(
        process.table,
        process.feed.view,
        organisation,
        process.near_zone(address),
        process.clock.monotonic(),
    )
    process.metrics.count("flamingotiller_lookups_total")
    lifetime = process.config.lookup_lifetime
    body = {
        "instances": [
            {"address": target.address, "zone": target.zone, "instance": target.instance}
            for target in targets
        ],
        "lifetime_s": lifetime.total_seconds(),
        "request_id_prefix": process.claiming.issue(secrets.token_hex(4)),
        "request_id_lifetime_s": process.config.retention.total_seconds(),
    }
    cache = f"max-age={max(1, int(lifetime.total_seconds()))}".encode()
    status = 200 if targets else 503
    await reply.json(status, body, [(b"cache-control", cache if targets else b"no-store")])
