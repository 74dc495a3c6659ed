"""HTTP handlers for the platform's control calls and look-ups, served by a steward."""

from __future__ import annotations

import typing

from flamingotiller import errors, events, server
from flamingotiller.fleet import state, steward
from flamingotiller.platform import messages

# Callers may use an answer for up to three times as long, so a gateway that stops waits for that.
LOOKUP_LIFETIME = "1s"
MAX_ADDRESSES = 64
_STATUS_BY_VERDICT = {state.ACCEPTED: 200, state.CONFLICT: 412, state.STALE: 400}


class ControlHandler:
    """Serves the calls of operators and endpoints.

    Args:
        process: Steward that executes the calls.
    """

    def __init__(self, process: steward.Steward) -> None:
        self._steward = process

    async def serve(self, request: server.Request, reply: server.Reply) -> None:
        """Serves one call; replies 503 if the call cannot be decided now and may be retried.

        Raises:
            errors.NotFoundError: There is no such call.
            errors.InvalidInputError: The call's arguments or body are invalid.
        """
        call = _CALLS.get(request.query.get("call", ""))
        if request.method != "POST" or request.path != "/rpc" or call is None:
            raise errors.NotFoundError("no such call", step="call", peer=request.peer)
        body = await request.read()
        try:
            status, document = await call(self, request, body)
        except errors.InvalidInputError as error:
            event, fields = _invalid_input_event(request, error)
            events.emit(event, **fields)
            raise
        except (errors.UnavailableError, errors.TransportError, errors.StorageError) as error:
            await reply.json(503, {"error": str(error)}, [(b"retry-after", b"0.2")])
            return
        await reply.json(status, document)

    async def _replace_configuration(
        self, request: server.Request, body: bytes
    ) -> tuple[int, typing.Any]:
        order = messages.decode_order(body, request.header("x-if-version"))
        result = await self._steward.configure(order)
        return _STATUS_BY_VERDICT[result.verdict], {"version": f"r{result.version}"}

    async def _read_configuration(
        self, request: server.Request, body: bytes
    ) -> tuple[int, typing.Any]:
        source = await self._steward.read_configuration()
        return (404, {"error": "no configuration yet"}) if source is None else (200, source)

    async def _begin_evacuation(
        self, request: server.Request, body: bytes
    ) -> tuple[int, typing.Any]:
        zone = self._requested_zone(request)
        await self._steward.evacuate(zone, True, request.arrived_after)
        return 200, {}

    async def _finish_evacuation(
        self, request: server.Request, body: bytes
    ) -> tuple[int, typing.Any]:
        zone = self._requested_zone(request)
        await self._steward.evacuate(zone, False, request.arrived_after)
        return 200, {}

    def _requested_zone(self, request: server.Request) -> str:
        zone = request.query.get("of", "")
        if zone not in self._steward.config.region_by_zone:
            raise errors.InvalidInputError(f"unknown zone {zone!r}", step="evacuate")
        return zone

    async def _heartbeat(self, request: server.Request, body: bytes) -> tuple[int, typing.Any]:
        message = messages.decode(body, messages.HeartbeatMessage, "report")
        await self._steward.report(message.to_model(_endpoint_id(request)))
        return 200, {}

    async def _leave(self, request: server.Request, body: bytes) -> tuple[int, typing.Any]:
        message = messages.decode(body or b"{}", messages.LeaveMessage, "leave")
        await self._steward.leave(_endpoint_id(request), message.born, request.arrived_after)
        return 200, {}


_CALLS = {
    "config.replace": ControlHandler._replace_configuration,
    "config.read": ControlHandler._read_configuration,
    "evacuations.begin": ControlHandler._begin_evacuation,
    "evacuations.finish": ControlHandler._finish_evacuation,
    "instances.heartbeat": ControlHandler._heartbeat,
    "instances.leave": ControlHandler._leave,
}


def _endpoint_id(request: server.Request) -> str:
    id_ = request.query.get("of", "")
    if not id_ or len(id_) > 200 or not id_.isprintable():
        raise errors.InvalidInputError("of: expected an endpoint's id", step="report")
    return id_


def _invalid_input_event(
    request: server.Request, error: errors.InvalidInputError
) -> tuple[events.Event, dict[str, object]]:
    call = request.query.get("call", "")
    faults = [error.message, *error.faults]
    if call.startswith("instances."):
        return events.REPORT_INVALID, {"peer": request.peer, "faults": faults}
    return events.ORDER_INVALID, {
        "order": call,
        "subject": request.query.get("of", ""),
        "faults": faults,
    }


class LookupHandler:
    """Serves the look-ups of callers.

    Args:
        process: Steward that knows the gateways.
    """

    def __init__(self, process: steward.Steward) -> None:
        self._steward = process

    async def serve(self, request: server.Request, reply: server.Reply) -> None:
        """Replies with the addresses of gateways that a caller should connect to.

        Raises:
            errors.NotFoundError: The method or the path is unknown.
        """
        if request.method != "GET" or request.path != "/resolve":
            raise errors.NotFoundError("no such call", step="look up", peer=request.peer)
        query = request.query
        addresses = self._steward.locate(query.get("region", ""), query.get("zone", ""))
        if not addresses:
            await reply.json(503, {"error": "no gateway is known yet"})
            return
        document = {"addresses": addresses[:MAX_ADDRESSES], "ttl": LOOKUP_LIFETIME}
        await reply.json(200, document)
