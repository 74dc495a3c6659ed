"""JSON lines on standard output: bounded in volume, and never waited for.

Each kind of event has a rate; what exceeds it is counted and told of. Lines that standard output
does not take at once wait in a bounded buffer."""

from __future__ import annotations

import collections
import datetime
import os
import typing

import orjson

from flamingotiller import clock, events

STDOUT = 1
MAX_BUFFERED_BYTES = 1024 * 1024
RATE = 40.0  # lines per second and kind of event
BURST = 400.0
# What explains a refusal or a failure is left out last.
RATE_BY_EVENT = {
    events.REQUEST_REFUSED.number: 300.0,
    events.REQUEST_FAILED.number: 300.0,
    events.TRY_FAILED.number: 300.0,
}
SUMMARY_INTERVAL = clock.seconds(5)


class LogSink:
    """Writes events to a file descriptor that need not take them.

    Args:
        clk: Source of time.
        identity: Fields that every line carries, for example the instance.
        descriptor: Where lines go; standard output unless given.
    """

    def __init__(
        self, clk: clock.Clock, identity: dict[str, str], descriptor: int = STDOUT
    ) -> None:
        self._clock = clk
        self._identity = identity
        self._descriptor = descriptor
        self._buffer: collections.deque[bytes] = collections.deque()
        self._buffered_bytes = 0
        self._allowance_by_event: dict[int, tuple[float, datetime.timedelta]] = {}
        self._dropped_by_event: collections.Counter[int] = collections.Counter()
        self._summarised_at = clk.monotonic()
        os.set_blocking(descriptor, False)

    def write(self, event: events.Event, fields: dict[str, object]) -> None:
        """Writes an event's line, or counts it as left out."""
        now = self._clock.monotonic()
        if self._allowed(event.number, now):
            self._append(event, fields)
        else:
            self._dropped_by_event[event.number] += 1
        if now - self._summarised_at >= SUMMARY_INTERVAL:
            self._summarise(now)
        self._drain()

    def _allowed(self, number: int, now: datetime.timedelta) -> bool:
        rate = RATE_BY_EVENT.get(number, RATE)
        left, at = self._allowance_by_event.get(number, (BURST, now))
        left = min(BURST, left + rate * (now - at).total_seconds())
        allowed = left >= 1.0
        self._allowance_by_event[number] = (left - 1.0 if allowed else left, now)
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
                # Nobody reads the log any more; there is no other place to say so.
                self._buffer.clear()
                self._buffered_bytes = 0
                return
            self._buffered_bytes -= written
            if written < len(line):
                self._buffer[0] = line[written:]
                return
            self._buffer.popleft()

    def close(self) -> None:
        """Writes what is left out so far, as far as it is taken at once."""
        self._summarise(self._clock.monotonic())
        self._drain()
