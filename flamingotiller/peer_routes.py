"""HTTP routes between entry instances."""

from __future__ import annotations

import collections.abc
import typing

from flamingotiller import (
    control_routes,
    endpoint_routes,
    entry,
    errors,
    kernel,
    server,
    slot_messages,
)

# Calls whose grant would be lost if the calling instance has left.
_GRANTING_PATHS = frozenset({"/v1/slots/ask", "/v1/tokens/take", "/v1/tokens/lend"})

MessageHandler = collections.abc.Callable[[entry.EntryInstance, typing.Any], typing.Any]


def _route(path: str) -> collections.abc.Callable[[MessageHandler], MessageHandler]:
    """Registers a handler for a peer's JSON message; its return value is sent as the response."""

    def register(handler: MessageHandler) -> MessageHandler:
        async def serve(
            process: entry.EntryInstance, request: server.Request, reply: server.Reply
        ) -> None:
            process.require_peer(request)
            body = await request.read_json()
            if not isinstance(body, dict):
                raise errors.InvalidInputError("expected an object", step=path, peer=request.peer)
            if path in _GRANTING_PATHS:
                request.check_caller()
            await reply.json(200, await handler(process, body))

        kernel.entry_routes.register(f"POST {path}")(serve)
        return handler

    return register


@_route("/v1/gossip")
async def gossip(process: entry.EntryInstance, body: typing.Any) -> typing.Any:
    """Exchanges membership within the zone."""
    return process.gossip.on_gossip(body)


@_route("/v1/greet")
async def greet(process: entry.EntryInstance, body: typing.Any) -> typing.Any:
    """Exchanges zone summaries."""
    return process.gossip.on_greeting(body)


@_route("/v1/feed")
async def feed(process: entry.EntryInstance, body: typing.Any) -> typing.Any:
    """Responds to a subscriber to the configuration."""
    return await process.feed.answer(body)


@_route("/v1/lease")
async def lease(process: entry.EntryInstance, body: typing.Any) -> typing.Any:
    """Votes on shard leases."""
    return process.shards.on_lease(body)


@_route("/v1/tokens/take")
async def take_token(process: entry.EntryInstance, body: typing.Any) -> typing.Any:
    """Takes a token for a request that arrived at another instance."""
    return await process.admission.on_message("/v1/tokens/take", body)


@_route("/v1/tokens/lend")
async def lend_tokens(process: entry.EntryInstance, body: typing.Any) -> typing.Any:
    """Lends tokens to another zone."""
    return await process.admission.on_message("/v1/tokens/lend", body)


@_route("/v1/tokens/settle")
async def settle_tokens(process: entry.EntryInstance, body: typing.Any) -> typing.Any:
    """Settles loans of tokens."""
    return await process.admission.on_message("/v1/tokens/settle", body)


@_route("/v1/slots/ask")
async def ask_slot(process: entry.EntryInstance, body: typing.Any) -> typing.Any:
    """Waits for an endpoint slot and grants it."""
    return await process.slots.on_ask(body)


@_route("/v1/slots/release")
async def release_slot(process: entry.EntryInstance, body: typing.Any) -> typing.Any:
    """Releases a permit."""
    try:
        release = slot_messages.SlotRelease(**body)
    except TypeError as error:
        raise errors.InvalidInputError(f"bad release: {error}", step="release") from error
    notification = process.slots.release_local(release)
    if notification:
        await notification
    return {}


@_route("/v1/slots/inherited")
async def inherited(process: entry.EntryInstance, body: typing.Any) -> typing.Any:
    """Responds with the permits in use of queues that this instance held earlier."""
    return process.slots.handover.on_inherited_request(body)


@_route("/v1/endpoints")
async def announce(process: entry.EntryInstance, body: typing.Any) -> typing.Any:
    """Handles an announcement forwarded by another instance, which has checked the credential."""
    hops = body.pop("hops", 1)
    checked = control_routes.validate(endpoint_routes.Announcement, body, "")
    return await process.slots.on_announce(checked.service, {**checked.model_dump(), "hops": hops})


@_route("/v1/suspects")
async def suspects(process: entry.EntryInstance, body: typing.Any) -> typing.Any:
    """Records requests that were in flight when endpoints crashed."""
    await process.slots.suspicion.on_suspects(body)
    return {}


@_route("/v1/claims")
async def claim(process: entry.EntryInstance, body: typing.Any) -> typing.Any:
    """Claims, releases or finishes a request id whose home is in this zone."""
    return await process.claiming.on_claim(body)


@_route("/v1/outcomes")
async def outcome(process: entry.EntryInstance, body: typing.Any) -> typing.Any:
    """Responds with the outcome of a finished request."""
    return process.claiming.on_outcome(body)
