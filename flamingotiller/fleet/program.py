"""Runs a program in a process: logging, HTTP servers, metrics, reloads of settings, shutdown."""

from __future__ import annotations

import asyncio
import collections.abc
import contextlib
import dataclasses
import datetime
import pathlib
import signal
import typing

from flamingotiller import (
    __version__,
    clock,
    errors,
    events,
    log_sink,
    metrics,
    server,
    supervisor,
    wire,
)

# The settings file is checked for changes this often, since it may change without a signal.
SETTINGS_CHECK_INTERVAL = clock.seconds(2)
# A tick later than this is logged: after it the process acts on outdated state for a moment.
TICK_DELAY_THRESHOLD = clock.seconds(0.5)
TICK = clock.seconds(0.25)
TRAFFIC_INTERVAL = clock.seconds(10)
MAX_BODY_BYTES = 32 * 1024 * 1024


class Program(typing.Protocol):
    """A gateway or a steward."""

    metrics: metrics.Metrics

    async def start(self) -> None:
        """Starts listening and starts the background tasks."""

    async def stop(self) -> None:
        """Stops gracefully."""

    def reconfigure(self, config: typing.Any) -> None:
        """Applies changed settings."""

    def traffic_by_kind(self) -> dict[str, wire.Traffic]:
        """Returns the bytes that the program has sent and received, by kind of exchange."""


@dataclasses.dataclass(frozen=True)
class HostedProgram:
    """A program and the request handlers that its process serves.

    Attributes:
        program: The program.
        handler_by_address: Request handlers by the address to listen on; empty addresses are
            skipped.
        stop_grace: How long a stop waits for requests that these handlers serve.
    """

    program: Program
    handler_by_address: collections.abc.Mapping[str, server.Handler]
    stop_grace: datetime.timedelta = clock.ZERO


@dataclasses.dataclass(frozen=True)
class Identity:
    """Identifies the process in log lines.

    Attributes:
        role: Role of the program.
        instance: Name of the instance.
        host: IP address of the instance.
    """

    role: str
    instance: str
    host: str


def run(
    identity: Identity,
    build: collections.abc.Callable[[], HostedProgram],
    load: collections.abc.Callable[[], typing.Any],
    settings_path: pathlib.Path,
    metrics_port: int,
    clk: clock.Clock,
) -> None:
    """Runs a program until SIGTERM or SIGINT.

    Args:
        identity: Identifies the process in log lines.
        build: Creates the program and its handlers.
        load: Loads the program's settings again.
        settings_path: Settings file, checked for changes.
        metrics_port: Port for metrics on the instance's host, 0 for none.
        clk: Clock.

    Raises:
        errors.FlamingotillerError: The program could not start.
    """
    sink = log_sink.LogSink(clk, {"role": identity.role, "instance": identity.instance})
    events.set_sink(sink)
    try:
        asyncio.run(_run(identity, build, load, settings_path, metrics_port, clk))
    finally:
        sink.close()
        events.set_sink(None)


async def _run(identity, build, load, settings_path, metrics_port, clk) -> None:
    loop = asyncio.get_running_loop()
    stop, reload = asyncio.Event(), asyncio.Event()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop.set)
    loop.add_signal_handler(signal.SIGHUP, reload.set)
    hosted = build()
    async with contextlib.AsyncExitStack() as stack:
        await hosted.program.start()
        stack.push_async_callback(hosted.program.stop)
        handlers = dict(hosted.handler_by_address)
        if metrics_port:
            handlers[f"{identity.host}:{metrics_port}"] = _metrics_handler(hosted.program)
        for address, handler in handlers.items():
            if address:
                await _listen(address, handler, stack, hosted.stop_grace, clk)
        events.emit(
            events.PROCESS_STARTED,
            role=identity.role,
            instance=identity.instance,
            address=identity.host,
            version=__version__,
        )
        tasks = supervisor.Supervisor()
        stack.push_async_callback(tasks.close)
        tasks.spawn("watch", lambda: _watch(hosted.program, load, settings_path, reload, clk))
        await stop.wait()


async def _listen(
    address: str,
    handler: server.Handler,
    stack: contextlib.AsyncExitStack,
    stop_grace: datetime.timedelta,
    clk: clock.Clock,
) -> None:
    host, _, port = address.rpartition(":")
    listener = server.Server(
        handler,
        limits=server.Limits(body_bytes=MAX_BODY_BYTES),
        on_handler_error=_log_handler_error,
        clk=clk,
    )
    await listener.start(host, int(port))
    stack.push_async_callback(listener.close, stop_grace)


def _metrics_handler(program: Program) -> server.Handler:
    async def serve(request: server.Request, reply: server.Reply) -> None:
        if request.path != "/metrics":
            raise errors.NotFoundError("no such path", step="metrics", peer=request.peer)
        body = program.metrics.render()
        await reply.send(200, body, [(b"content-type", b"text/plain; version=0.0.4")])

    return serve


async def _watch(
    program: Program,
    load: collections.abc.Callable[[], typing.Any],
    path: pathlib.Path,
    reload: asyncio.Event,
    clk: clock.Clock,
) -> None:
    """Reloads changed settings, logs the traffic now and then, and logs when the process was not
    scheduled for some time."""
    last_content = _read_or_empty(path)
    checked_at = ticked_at = counted_at = clk.monotonic()
    while True:
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(TICK.total_seconds()):
                await reload.wait()
        now = clk.monotonic()
        delay = now - ticked_at - TICK
        ticked_at = now
        if delay > TICK_DELAY_THRESHOLD:
            events.emit(events.EVENT_LOOP_STALLED, late_s=round(delay.total_seconds(), 3))
        if now - counted_at >= TRAFFIC_INTERVAL:
            counted_at = now
            _log_traffic(program)
        if not reload.is_set() and now - checked_at < SETTINGS_CHECK_INTERVAL:
            continue
        reason = "HUP" if reload.is_set() else "file"
        reload.clear()
        checked_at = now
        last_content = _reload(program, load, path, last_content, reason)


def _log_traffic(program: Program) -> None:
    by_kind = {k: [t.written, t.read] for k, t in sorted(program.traffic_by_kind().items())}
    events.emit(events.TRAFFIC_COUNTED, by_kind=by_kind)


def _read_or_empty(path: pathlib.Path) -> bytes:
    try:
        return path.read_bytes()
    except OSError:
        # The file may be in the middle of a replacement; the next check reads it again.
        return b""


def _reload(program: Program, load, path: pathlib.Path, last_content: bytes, reason: str) -> bytes:
    try:
        content = path.read_bytes()
        if content == last_content and reason != "HUP":
            return last_content
        program.reconfigure(load())
    except (OSError, errors.SettingsError) as error:
        # The file may be incompletely written; the next check reads it again.
        events.emit(events.SETTINGS_RELOADED, reason=reason, changed=f"failed: {error}")
        return last_content
    events.emit(events.SETTINGS_RELOADED, reason=reason, changed=content != last_content)
    return content


def _log_handler_error(error: BaseException, peer: str) -> None:
    events.emit(events.HANDLER_FAILED, peer=peer, error=repr(error))
