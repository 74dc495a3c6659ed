"""A program's process: its log, its servers and metrics, reloads of its settings, and its end."""

from __future__ import annotations

import asyncio
import collections.abc
import contextlib
import dataclasses
import pathlib
import signal
import typing

from flamingotiller import __version__, clock, errors, events, log_sink, metrics, server

# Settings may change without any signal.
SETTINGS_CHECK_INTERVAL = clock.seconds(2)
# A process that was not scheduled for so long acts on old knowledge for a moment.
LATE_TICK = clock.seconds(0.5)
TICK = clock.seconds(0.25)
MAX_BODY_BYTES = 32 * 1024 * 1024


class Program(typing.Protocol):
    """A gateway or a steward."""

    metrics: metrics.Metrics

    async def start(self) -> None:
        """Listens and starts the tasks."""

    async def stop(self) -> None:
        """Stops gracefully."""

    def reconfigure(self, config: typing.Any) -> None:
        """Takes over changed settings."""


@dataclasses.dataclass(frozen=True)
class Parts:
    """A program and what it shows outside.

    Attributes:
        program: The program.
        handler_by_address: Handlers of requests, by the address to listen on; empty addresses
            are left out.
    """

    program: Program
    handler_by_address: dict[str, server.Handler]


@dataclasses.dataclass(frozen=True)
class Identity:
    """Whom log lines are of."""

    role: str
    instance: str
    host: str


def run(
    identity: Identity,
    build: collections.abc.Callable[[], Parts],
    load: collections.abc.Callable[[], typing.Any],
    settings_path: pathlib.Path,
    metrics_port: int,
    clk: clock.Clock,
) -> None:
    """Runs a program until TERM.

    Args:
        identity: Whom log lines are of.
        build: Makes the program.
        load: Reads its settings again.
        settings_path: File that the settings come from.
        metrics_port: Port for metrics at the instance's host, 0 for none.
        clk: Source of time.

    Raises:
        errors.FlamingotillerError: It could not start.
    """
    sink = log_sink.LogSink(clk, {"role": identity.role, "instance": identity.instance})
    events.send_to(sink)
    try:
        asyncio.run(_run(identity, build, load, settings_path, metrics_port, clk))
    finally:
        sink.close()
        events.send_to(None)


async def _run(identity, build, load, settings_path, metrics_port, clk) -> None:
    loop = asyncio.get_running_loop()
    stop, reload = asyncio.Event(), asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    loop.add_signal_handler(signal.SIGHUP, reload.set)
    parts = build()
    async with contextlib.AsyncExitStack() as stack:
        await parts.program.start()
        stack.push_async_callback(parts.program.stop)
        handlers = dict(parts.handler_by_address)
        if metrics_port:
            handlers[f"{identity.host}:{metrics_port}"] = _metrics_handler(parts.program)
        for address, handler in handlers.items():
            if address:
                await _listen(address, handler, stack)
        events.emit(
            events.PROCESS_STARTED,
            role=identity.role,
            instance=identity.instance,
            address=identity.host,
            version=__version__,
        )
        watch = asyncio.ensure_future(_watch(parts.program, load, settings_path, reload, clk))
        stack.callback(watch.cancel)
        await stop.wait()


async def _listen(address: str, handler: server.Handler, stack: contextlib.AsyncExitStack) -> None:
    host, _, port = address.rpartition(":")
    listener = server.Server(
        handler, limits=server.Limits(body_bytes=MAX_BODY_BYTES), on_handler_error=_note_fault
    )
    await listener.start(host, int(port))
    stack.push_async_callback(listener.close)


def _metrics_handler(program: Program) -> server.Handler:
    async def serve(request: server.Request, reply: server.Reply) -> None:
        if request.path != "/metrics":
            raise errors.NotFoundError("no such page", step="metrics", peer=request.peer)
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
    """Reloads settings that have changed, and notes when the process was not scheduled."""
    seen = _content(path)
    checked = ticked = clk.monotonic()
    while True:
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(TICK.total_seconds()):
                await reload.wait()
        now = clk.monotonic()
        late = now - ticked - TICK
        ticked = now
        if late > LATE_TICK:
            events.emit(events.LOOP_LATE, late_s=round(late.total_seconds(), 3))
        if not reload.is_set() and now - checked < SETTINGS_CHECK_INTERVAL:
            continue
        reason = "HUP" if reload.is_set() else "file"
        reload.clear()
        checked = now
        seen = _reload(program, load, path, seen, reason)


def _content(path: pathlib.Path) -> bytes:
    try:
        return path.read_bytes()
    except OSError:
        # A file that is being replaced is read again with the next check.
        return b""


def _reload(program: Program, load, path: pathlib.Path, seen: bytes, reason: str) -> bytes:
    try:
        content = path.read_bytes()
        if content == seen and reason != "HUP":
            return seen
        program.reconfigure(load())
    except (OSError, errors.SettingsError) as error:
        # A file that is being written is read again with the next check.
        events.emit(events.SETTINGS_RELOADED, reason=reason, changed=f"failed: {error}")
        return seen
    events.emit(events.SETTINGS_RELOADED, reason=reason, changed=content != seen)
    return content


def _note_fault(error: BaseException, peer: str) -> None:
    events.emit(events.HANDLER_FAULT, peer=peer, error=repr(error))
