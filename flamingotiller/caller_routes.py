"""HTTP routes for callers: the look-up of entry instances."""

from __future__ import annotations

import secrets

from flamingotiller import entry, errors, kernel, server


@kernel.entry_routes.register("GET /v1/lookup")
async def look_up(
    process: entry.EntryInstance, request: server.Request, reply: server.Reply
) -> None:
    """Responds with the entry instances to use, best first, and the lifetime of the list."""
    organisation = request.query.get("organisation", "")
    if len(organisation) > 63:
        raise errors.InvalidInputError("organisation: at most 63 characters", step="look up")
    address = request.query.get("address") or request.peer.rpartition(":")[0].strip("[]")
    process.metrics.count("flamingotiller_lookups_total")
    ranked = process.cached_ranking(organisation, process.nearest_zone(address))
    prefix = process.claiming.issue(secrets.token_hex(4))
    body = b'{"request_id_prefix":"%b",%b' % (prefix.encode(), ranked.body_after_prefix)
    await reply.send(ranked.status, body, ranked.headers)
