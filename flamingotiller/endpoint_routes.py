"""Routes for endpoints: announce, renew, report load, leave."""

from __future__ import annotations

import typing

import pydantic

from flamingotiller import contract, control_routes, entry, kernel, server, settings


class Announcement(pydantic.BaseModel):
    """Body of ``POST /v1/announce``.

    Attributes:
        service: Service that the endpoint serves.
        endpoint: Its name, unique within the service.
        session: Chosen anew whenever the endpoint starts.
        address: Where it listens.
        slots: Requests that it runs at once.
        connections: Connections that it accepts.
        load: Busy slots now.
        leaving: Whether it takes no new work from now on.
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
    """Takes an endpoint's announcement, renewal or leave."""
    body: typing.Any = await request.read_json()
    service = str(body.get("service", "")) if isinstance(body, dict) else ""
    process.require_service(request, service)
    checked = control_routes.validate(Announcement, body, request.peer)
    result = await process.slots.on_announce(checked.service, checked.model_dump())
    await reply.json(200, result)
