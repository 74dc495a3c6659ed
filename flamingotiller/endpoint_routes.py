"""HTTP routes for endpoints: announce, renew, report load, leave."""

from __future__ import annotations

import typing

import pydantic

from flamingotiller import contract, control_routes, entry, kernel, server, settings


class Announcement(pydantic.BaseModel):
    """Body of ``POST /v1/announce``.

    Attributes:
        service: Name of the service.
        endpoint: Name of the endpoint, unique within the service.
        session: Identifies one run of the endpoint's process; a new one is chosen at each start.
        address: Address on which the endpoint listens.
        slots: Maximum number of concurrent requests.
        connections: Maximum number of connections.
        load: Number of busy slots.
        leaving: Whether the endpoint accepts no new requests from now on.
    """

    model_config = pydantic.ConfigDict(extra="forbid")

    service: contract.Name
    endpoint: contract.Name
    session: str = pydantic.Field(min_length=1, max_length=64)
    address: settings.Address
    slots: int = pydantic.Field(ge=1, le=10_000)
    connections: int = pydantic.Field(default=650, ge=1, le=1_000_000)
    load: int = pydantic.Field(default=0, ge=0, le=1_000_000)
    leaving: bool = False


@kernel.entry_routes.register("POST /v1/announce")
async def announce(
    process: entry.EntryInstance, request: server.Request, reply: server.Reply
) -> None:
    """Handles an endpoint's announcement, renewal or departure."""
    body: typing.Any = await request.read_json()
    service = str(body.get("service", "")) if isinstance(body, dict) else ""
    process.require_service(request, service)
    checked = control_routes.validate(Announcement, body, request.peer)
    result = await process.slots.on_announce(checked.service, checked.model_dump())
    await reply.json(200, result)
