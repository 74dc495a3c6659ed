"""Routes between entry instances."""

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

Message = collections.abc.Callable[[entry.EntryInstance, typing.Any], typing.Any]


def _route(path: str) -> collections.abc.Callable[[Message], Message]:
    """Registers a handler of a peer's JSON message; it answers with what the handler returns."""

    def add(handler: Message) -> Message:
        async def serve(
            process: entry.EntryInstance, request: server.Request, reply: server.Reply
        ) -> None:
            process.require_peer(request)
            body = await request.read_json()
            if not isinstance(body, dict):
                raise errors.InvalidInputError("expected an object", step=path, peer=request.peer)
            await reply.json(200, await handler(process, body))

        kernel.entry_routes.register(f"POST {path}")(serve)
        return handler

    return add


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
    """Answers a subscriber to the configuration."""
    return await process.feed.answer(body)


@_route("/v1/lease")
async def lease(process: entry.EntryInstance, body: typing.Any) -> typing.Any:
    """Votes on shards."""
    return process.shards.on_lease(body)


@_route("/v1/tokens/take")
async def take_token(process: entry.EntryInstance, body: typing.Any) -> typing.Any:
    """Takes a token for a request that arrived elsewhere."""
    return await process.admission.on_message("/v1/tokens/take", body)


@_route("/v1/tokens/lend")
async def lend_tokens(process: entry.EntryInstance, body: typing.Any) -> typing.Any:
    """Lends tokens to another zone."""
    return await process.admission.on_message("/v1/tokens/lend", body)


@_route("/v1/tokens/settle")
async def settle_tokens(process: entry.EntryInstance, body: typing.Any) -> typing.Any:
    """Ends loans."""
    return await process.admission.on_message("/v1/tokens/settle", body)


@_route("/v1/slots/ask")
async def ask_slot(process: entry.EntryInstance, body: typing.Any) -> typing.Any:
    """Waits for a slot of an endpoint."""
    return await process.slots.on_ask(body)


@_route("/v1/slots/release")
async def release_slot(process: entry.EntryInstance, body: typing.Any) -> typing.Any:
    """Takes a permit back."""
    try:
        release = slot_messages.SlotRelease(**body)
    except TypeError as error:
        raise errors.InvalidInputError(f"bad release: {error}", step="release") from error
    spread = process.slots.release_local(release)
    if spread:
        await spread
    return {}


@_route("/v1/slots/inherited")
async def inherited(process: entry.EntryInstance, body: typing.Any) -> typing.Any:
    """Answers which permits of this instance's former queues are in use."""
    return process.slots.handover.on_question(body)


@_route("/v1/endpoints")
async def announce(process: entry.EntryInstance, body: typing.Any) -> typing.Any:
    """Takes an announcement that another instance passes on; it has checked the credential."""
    hops = body.pop("hops", 1)
    checked = control_routes.validate(endpoint_routes.Announcement, body, "")
    return await process.slots.on_announce(checked.service, {**checked.model_dump(), "hops": hops})


@_route("/v1/suspects")
async def suspects(process: entry.EntryInstance, body: typing.Any) -> typing.Any:
    """Takes over which requests were in flight when endpoints died."""
    await process.slots.suspicion.on_suspects(body)
    return {}


@_route("/v1/claims")
async def claim(process: entry.EntryInstance, body: typing.Any) -> typing.Any:
    """Claims, releases or finishes an id whose home is in this zone."""
    return await process.claiming.on_claim(body)


@_route("/v1/outcomes")
async def outcome(process: entry.EntryInstance, body: typing.Any) -> typing.Any:
    """Answers with the outcome of a finished request."""
    return process.claiming.on_outcome(body)
