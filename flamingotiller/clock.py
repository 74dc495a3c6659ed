"""Clock interface: logic takes a clock or a point in time and never reads the system clock."""

from __future__ import annotations

import abc
import datetime
import time

ZERO = datetime.timedelta()
MILLISECOND = datetime.timedelta(milliseconds=1)


class Clock(abc.ABC):
    """Source of monotonic time, for all decisions, and of UTC time, for display."""

    @abc.abstractmethod
    def monotonic(self) -> datetime.timedelta:
        """Returns the time since an arbitrary start; never decreases within a process."""

    @abc.abstractmethod
    def utc(self) -> datetime.datetime:
        """Returns the UTC time; for display only, no decision depends on it."""


class SystemClock(Clock):
    """Clock of the operating system.

    The monotonic time includes system suspend where the platform supports it, so that a lease
    held across a suspend expires.
    """

    _SOURCE = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)

    def monotonic(self) -> datetime.timedelta:
        """Returns the time since boot."""
        return datetime.timedelta(seconds=time.clock_gettime(self._SOURCE))

    def utc(self) -> datetime.datetime:
        """Returns the UTC time of the system."""
        return datetime.datetime.now(datetime.UTC)


class ManualClock(Clock):
    """Clock that only ``advance`` moves; for tests and offline measurements."""

    def __init__(self, start: datetime.timedelta = ZERO) -> None:
        self._now = start
        self._epoch = datetime.datetime(2026, 1, 1, tzinfo=datetime.UTC)

    def monotonic(self) -> datetime.timedelta:
        """Returns the time that the clock was last advanced to."""
        return self._now

    def utc(self) -> datetime.datetime:
        """Returns a fixed date plus the monotonic time."""
        return self._epoch + self._now

    def advance(self, step: datetime.timedelta) -> datetime.timedelta:
        """Moves the clock forward.

        Args:
            step: Non-negative duration.

        Returns:
            The new monotonic time.
        """
        self._now += step
        return self._now


def seconds(value: float) -> datetime.timedelta:
    """Returns a duration of ``value`` seconds."""
    return datetime.timedelta(seconds=value)
