"""What every daemon has: a server with registered routes, a client for peers, tasks that are
restarted when they fail, metrics, and a graceful stop; an exit stack owns all of it."""

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
    """Base of the daemons.

    Args:
        config: Settings of the role.
        tokens: Credentials.
        clk: Source of time.
        routes: Extension point with the routes of the role, by ``METHOD /path``.
    """

    role = ""

    def __init__(
        self,
        config: settings.CommonSettings,
        tokens: settings.Tokens,
        clk: clock.Clock,
        routes: kernel.ExtensionPoint[collections.abc.Callable],
    ) -> None:
        self.common = config
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
            self.handle, limits=self.bounds(), on_handler_error=self._on_fault
        )

    def bounds(self) -> server.Limits:
        """Returns the limits towards peers."""
        return server.Limits()

    async def start(self) -> None:
        """Listens and starts the role; on failure whatever was opened is closed again."""
        kernel.load_plugins()
        async with contextlib.AsyncExitStack() as stack:
            self.stack = stack
            stack.push_async_callback(self.pool.close)
            host, _, port = self.common.listen.rpartition(":")
            bound = await self.server.start(host.strip("[]"), int(port))
            self.address = self.common.advertise or f"{host}:{bound}"
            stack.push_async_callback(self._supervisor.close)
            stack.push_async_callback(self.server.close)
            await self.open()
            self.stack = stack.pop_all()
        events.emit(
            events.PROCESS_STARTED,
            role=self.role,
            instance=self.common.instance,
            address=self.address,
            version=__version__,
        )

    async def open(self) -> None:
        """Starts what the role needs beyond the server; for subclasses."""

    async def drain(self) -> None:
        """Finishes work under way before a stop; for subclasses."""

    async def stop(self) -> None:
        """Stops gracefully: finishes what is under way, then closes everything."""
        self.stopping = True
        events.emit(events.STOP_BEGAN, signal="stop", in_flight=self.server.request_count)
        await self.drain()
        await self.server.close(self.common.stop_timeout)
        await self.stack.aclose()
        events.emit(events.STOP_ENDED, in_flight=self.server.request_count)

    def spawn(self, name: str, work: collections.abc.Callable[[], typing.Awaitable[None]]) -> None:
        """Runs ``work`` as a task that lives as long as the daemon."""
        self._supervisor.spawn(name, work)

    def _on_fault(self, error: BaseException, peer: str) -> None:
        events.emit(events.HANDLER_FAULT, peer=peer, error=repr(error))

    # Requests

    async def handle(self, request: server.Request, reply: server.Reply) -> None:
        """Serves a request by the route registered for it."""
        handler = self._routes.by_name.get(f"{request.method} {request.path}")
        if handler is None:
            await self.handle_other(request, reply)
            return
        await handler(self, request, reply)

    async def handle_other(self, request: server.Request, reply: server.Reply) -> None:
        """Serves a request that no route is registered for.

        Raises:
            errors.NotFoundError: Always, in this base.
        """
        raise errors.NotFoundError(f"no such route: {request.path}", step="route")

    def require_peer(self, request: server.Request) -> None:
        """Lets only the system's own processes pass.

        Raises:
            errors.UnauthenticatedError: The credential is missing or wrong.
        """
        expected = self.tokens.peer.get_secret_value()
        if not hmac.compare_digest(bearer(request).encode(), expected.encode()):
            raise errors.UnauthenticatedError("not a peer", step="authenticate", peer=request.peer)

    def require_operator(self, request: server.Request) -> str:
        """Lets only operators pass and returns the operator's name.

        Raises:
            errors.UnauthenticatedError: The credential is missing or wrong.
        """
        shown = bearer(request).encode()
        found = ""
        # Every token is compared, so that the time taken does not tell which one came close.
        for name, token in self.tokens.operators.items():
            if hmac.compare_digest(shown, token.get_secret_value().encode()):
                found = name
        if not found:
            raise errors.UnauthenticatedError(
                "not an operator", step="authenticate", peer=request.peer
            )
        return found

    def require_service(self, request: server.Request, service: str) -> None:
        """Lets only endpoints of a service pass.

        Raises:
            errors.UnauthenticatedError: The credential is missing or wrong.
        """
        token = self.tokens.services.get(service)
        expected = token.get_secret_value() if token else ""
        if not expected or not hmac.compare_digest(bearer(request).encode(), expected.encode()):
            raise errors.UnauthenticatedError(
                f"no right to announce for service {service!r}",
                step="authenticate",
                peer=request.peer,
            )

    def ready(self) -> str:
        """Returns why this instance is not ready, empty when it is."""
        return ""

    def update_metrics(self) -> None:
        """Sets the gauges that are read rather than counted."""
        for direction in ("read", "written"):
            crossed = getattr(wire.total_traffic, direction)
            self.metrics.gauge("flamingotiller_wire_bytes", crossed, direction=direction)
        self.metrics.gauge("flamingotiller_open_connections", self.server.connection_count)
        self.metrics.gauge("flamingotiller_in_flight_requests", self.server.request_count)


def bearer(request: server.Request) -> str:
    """Returns the bearer credential of a request, empty if it has none."""
    scheme, _, value = (request.header("authorization") or "").partition(" ")
    return value.strip() if scheme.lower() == "bearer" else ""


async def run_until_signal(daemon: Daemon) -> None:
    """Runs a daemon until TERM or INT; a second signal ends the process at once.

    Raises:
        errors.FlamingotillerError: The daemon could not start.
    """
    loop = asyncio.get_running_loop()
    asked = asyncio.Event()
    forced = asyncio.Event()

    def on_signal(number: signal.Signals) -> None:
        if asked.is_set():
            events.emit(events.STOP_FORCED, signal=number.name)
            forced.set()
        asked.set()

    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, on_signal, number)
    await daemon.start()
    await asked.wait()
    stop = asyncio.ensure_future(daemon.stop())
    force = asyncio.ensure_future(forced.wait())
    await asyncio.wait({stop, force}, return_when=asyncio.FIRST_COMPLETED)
    if stop.done():
        force.cancel()
        stop.result()
        return
    stop.cancel()
    await asyncio.gather(stop, return_exceptions=True)
