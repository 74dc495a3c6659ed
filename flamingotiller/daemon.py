"""Base of the daemons: a server with registered routes, a client for peers, supervised tasks,
metrics and a graceful stop.

An exit stack owns all resources."""

from __future__ import annotations

import asyncio
import collections.abc
import contextlib
import hmac
import signal
import typing

from flamingotiller import (
    __version__,
    client,
    clock,
    errors,
    events,
    kernel,
    metrics,
    server,
    settings,
    supervisor,
    wire,
)


class Daemon:
    """Base class of the daemons.

    Args:
        config: Settings of the role.
        tokens: Credentials of peers, operators and services.
        clk: Source of time.
        routes: Extension point with the handlers of the role, by ``METHOD /path``.
    """

    role = ""

    def __init__(
        self,
        config: settings.CommonSettings,
        tokens: settings.Tokens,
        clk: clock.Clock,
        routes: kernel.ExtensionPoint[collections.abc.Callable],
    ) -> None:
        self.common_settings = config
        self.tokens = tokens
        self.clock = clk
        self.metrics = metrics.Metrics()
        self.stack = contextlib.AsyncExitStack()
        self.pool = client.ConnectionPool()
        self.client = client.Client(self.pool, tokens.peer.get_secret_value())
        self.address = ""
        self.stopping = False
        self._routes = routes
        self._supervisor = supervisor.Supervisor()
        self.server = server.Server(
            self.handle,
            limits=self.server_limits(),
            on_handler_error=self._log_handler_fault,
            clk=clk,
        )

    def server_limits(self) -> server.Limits:
        """Returns the limits of this process's server."""
        return server.Limits()

    async def start(self) -> None:
        """Starts the server and the role; closes what was opened if either fails."""
        kernel.load_plugins()
        async with contextlib.AsyncExitStack() as stack:
            self.stack = stack
            stack.push_async_callback(self.pool.close)
            host, _, port = self.common_settings.listen.rpartition(":")
            bound = await self.server.start(host.strip("[]"), int(port))
            self.address = self.common_settings.advertise or f"{host}:{bound}"
            stack.push_async_callback(self._supervisor.close)
            stack.push_async_callback(self.server.close)
            await self.start_role()
            self.stack = stack.pop_all()
        events.emit(
            events.PROCESS_STARTED,
            role=self.role,
            instance=self.common_settings.instance,
            address=self.address,
            version=__version__,
        )

    async def start_role(self) -> None:
        """Starts the resources and tasks of the role; subclasses override it."""

    async def drain(self) -> None:
        """Finishes work in progress before a stop; subclasses override it."""

    async def stop(self) -> None:
        """Stops gracefully: finishes work in progress, then closes all resources."""
        self.stopping = True
        events.emit(events.STOP_BEGAN, signal="stop", in_flight=self.server.request_count)
        await self.drain()
        await self.server.close(self.common_settings.stop_timeout)
        await self.stack.aclose()
        events.emit(events.STOP_ENDED, in_flight=self.server.request_count)

    def spawn(self, name: str, work: collections.abc.Callable[[], typing.Awaitable[None]]) -> None:
        """Runs ``work`` as a supervised task until the daemon stops."""
        self._supervisor.spawn(name, work)

    def _log_handler_fault(self, error: BaseException, peer: str) -> None:
        events.emit(events.HANDLER_FAILED, peer=peer, error=repr(error))

    # Requests

    async def handle(self, request: server.Request, reply: server.Reply) -> None:
        """Passes a request to the handler registered for its route."""
        handler = self._routes.by_name.get(f"{request.method} {request.path}")
        if handler is None:
            await self.handle_unrouted(request, reply)
            return
        await handler(self, request, reply)

    async def handle_unrouted(self, request: server.Request, reply: server.Reply) -> None:
        """Serves a request without a registered route; subclasses may override it.

        Raises:
            errors.NotFoundError: Always, in this class.
        """
        raise errors.NotFoundError(f"no such route: {request.path}", step="route")

    def require_peer(self, request: server.Request) -> None:
        """Checks that a request comes from a process of the system.

        Raises:
            errors.UnauthenticatedError: The credential is missing or wrong.
        """
        expected = self.tokens.peer.get_secret_value()
        if not hmac.compare_digest(bearer_token(request).encode(), expected.encode()):
            raise errors.UnauthenticatedError("not a peer", step="authenticate", peer=request.peer)

    def require_operator(self, request: server.Request) -> str:
        """Checks that a request comes from an operator and returns the operator's name.

        Raises:
            errors.UnauthenticatedError: The credential is missing or wrong.
        """
        presented = bearer_token(request).encode()
        operator = ""
        # Compares all tokens, so that the duration reveals neither a match nor a near match.
        for name, token in self.tokens.operators.items():
            if hmac.compare_digest(presented, token.get_secret_value().encode()):
                operator = name
        if not operator:
            raise errors.UnauthenticatedError(
                "not an operator", step="authenticate", peer=request.peer
            )
        return operator

    def require_service(self, request: server.Request, service: str) -> None:
        """Checks that a request comes from an endpoint of a service.

        Raises:
            errors.UnauthenticatedError: The credential is missing or wrong.
        """
        token = self.tokens.services.get(service)
        expected = token.get_secret_value() if token else ""
        if not expected or not hmac.compare_digest(
            bearer_token(request).encode(), expected.encode()
        ):
            raise errors.UnauthenticatedError(
                f"no right to announce for service {service!r}",
                step="authenticate",
                peer=request.peer,
            )

    def unready_reason(self) -> str:
        """Returns why this instance is not ready, empty if it is ready."""
        return ""

    def update_metrics(self) -> None:
        """Sets the gauges from the current state."""
        for direction in ("read", "written"):
            byte_count = getattr(wire.total_traffic, direction)
            self.metrics.gauge("flamingotiller_wire_bytes", byte_count, direction=direction)
        self.metrics.gauge("flamingotiller_open_connections", self.server.connection_count)
        self.metrics.gauge("flamingotiller_in_flight_requests", self.server.request_count)


def bearer_token(request: server.Request) -> str:
    """Returns the bearer token of a request, empty if it has none."""
    scheme, _, value = (request.header("authorization") or "").partition(" ")
    return value.strip() if scheme.lower() == "bearer" else ""


async def run_until_signal(daemon: Daemon) -> None:
    """Runs a daemon until SIGTERM or SIGINT; a second signal cancels the graceful stop.

    Raises:
        errors.FlamingotillerError: The daemon could not start.
    """
    loop = asyncio.get_running_loop()
    stop_requested = asyncio.Event()
    stop_forced = asyncio.Event()

    def on_signal(number: signal.Signals) -> None:
        if stop_requested.is_set():
            events.emit(events.STOP_FORCED, signal=number.name)
            stop_forced.set()
        stop_requested.set()

    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, on_signal, number)
    await daemon.start()
    await stop_requested.wait()
    stop = asyncio.ensure_future(daemon.stop())
    force = asyncio.ensure_future(stop_forced.wait())
    await asyncio.wait({stop, force}, return_when=asyncio.FIRST_COMPLETED)
    if stop.done():
        force.cancel()
        stop.result()
        return
    stop.cancel()
    await asyncio.gather(stop, return_exceptions=True)
