"""Non-blocking, rate-limited log output as JSON lines.

Each event number has a token bucket; lines above its rate are dropped, counted and reported. Lines
that the descriptor does not accept at once are kept in a bounded buffer."""

from __future__ import annotations

import collections
import datetime
import os
import typing

import orjson

from flamingotiller import clock, events

STDOUT = 1
MAX_BUFFERED_BYTES = 1024 * 1024
LINES_PER_SECOND = 40.0  # for each event number
BURST_LINES = 400.0
# Events that explain a refusal or a failure have a higher rate, so that they are dropped last.
LINES_PER_SECOND_BY_EVENT = {
    events.REQUEST_REFUSED.number: 300.0,
    events.REQUEST_FAILED.number: 300.0,
    events.TRY_FAILED.number: 300.0,
}
SUMMARY_INTERVAL = clock.seconds(5)


class LogSink:
    """Writes events to a file descriptor without ever blocking on it.

    Args:
        clk: Source of time.
        identity: Fields added to every line, for example the instance.
        descriptor: File descriptor for the lines; it is made non-blocking.
    """

    def __init__(
        self, clk: clock.Clock, identity: dict[str, str], descriptor: int = STDOUT
    ) -> None:
        self._clock = clk
        self._identity = identity
        self._descriptor = descriptor
        self._buffer: collections.deque[bytes] = collections.deque()
        self._buffered_bytes = 0
        self._bucket_by_event: dict[int, tuple[float, datetime.timedelta]] = {}
        self._dropped_by_event: collections.Counter[int] = collections.Counter()
        self._summarised_at = clk.monotonic()
        os.set_blocking(descriptor, False)

    def write(self, event: events.Event, fields: dict[str, object]) -> None:
        """Writes the line of an event, or counts it as dropped if it exceeds its rate."""
        now = self._clock.monotonic()
        if self._take_token(event.number, now):
            self._append(event, fields)
        else:
            self._dropped_by_event[event.number] += 1
        if now - self._summarised_at >= SUMMARY_INTERVAL:
            self._summarise(now)
        self._drain()

    def _take_token(self, number: int, now: datetime.timedelta) -> bool:
        rate = LINES_PER_SECOND_BY_EVENT.get(number, LINES_PER_SECOND)
        tokens, updated_at = self._bucket_by_event.get(number, (BURST_LINES, now))
        tokens = min(BURST_LINES, tokens + rate * (now - updated_at).total_seconds())
        allowed = tokens >= 1.0
        self._bucket_by_event[number] = (tokens - 1.0 if allowed else tokens, now)
        return allowed

    def _append(self, event: events.Event, fields: typing.Mapping[str, object]) -> None:
        document = {
            "at": self._clock.utc().isoformat(timespec="milliseconds"),
            "up_s": round(self._clock.monotonic().total_seconds(), 3),
            "level": events.level_name(event),
            "event": event.number,
            "text": event.text,
            **self._identity,
            **fields,
        }
        line = orjson.dumps(document, default=str, option=orjson.OPT_APPEND_NEWLINE)
        if self._buffered_bytes + len(line) > MAX_BUFFERED_BYTES:
            self._dropped_by_event[event.number] += 1
            return
        self._buffer.append(line)
        self._buffered_bytes += len(line)

    def _summarise(self, now: datetime.timedelta) -> None:
        self._summarised_at = now
        dropped, self._dropped_by_event = self._dropped_by_event, collections.Counter()
        for number, count in dropped.items():
            self._append(events.LINES_DROPPED, {"event_number": number, "count": count})

    def _drain(self) -> None:
        while self._buffer:
            line = self._buffer[0]
            try:
                written = os.write(self._descriptor, line)
            except BlockingIOError:
                return
            except OSError:
                # The reader of the log is gone, and there is nowhere else to report that.
                self._buffer.clear()
                self._buffered_bytes = 0
                return
            self._buffered_bytes -= written
            if written < len(line):
                self._buffer[0] = line[written:]
                return
            self._buffer.popleft()

    def close(self) -> None:
        """Reports dropped lines and writes the buffer as far as the descriptor accepts it."""
        self._summarise(self._clock.monotonic())
        self._drain()
