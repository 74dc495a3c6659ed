"""HTTP route of an entry instance for operators: the state of the instance and its zone."""

from __future__ import annotations

import typing

from flamingotiller import entry, kernel, selection, server


@kernel.entry_routes.register("GET /v1/instance")
async def instance(
    process: entry.EntryInstance, request: server.Request, reply: server.Reply
) -> None:
    """Answers with the requests in flight, the shards held and the endpoints of those shards."""
    process.require_operator(request)
    now = process.clock.monotonic()
    await reply.json(
        200,
        {
            "instance": process.config.instance,
            "zone": process.config.zone,
            "leaving": process.table.own.leaving,
            # Excludes this request itself.
            "in_flight": process.server.request_count - 1,
            "connections": process.server.connection_count,
            "shards": sorted(process.shards.held),
            "members": [member.instance for member in process.table.live(now)],
            "services": {
                service: _describe_queue(queue)
                for service, queue in process.slots.queue_by_service.items()
            },
        },
    )


def _describe_queue(queue: selection.SlotQueue) -> dict[str, typing.Any]:
    return {
        "waiting": queue.waiting,
        "endpoints": [
            {
                "name": state.endpoint.name,
                "address": state.endpoint.address,
                "slots": state.endpoint.slots,
                "used": state.used,
                "reported_load": state.endpoint.load,
                "leaving": state.endpoint.leaving,
            }
            for state in queue.state_by_endpoint.values()
        ],
    }
