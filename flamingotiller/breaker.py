"""Circuit breakers: what has just not answered is passed over for a while instead of waited for."""

from __future__ import annotations

import datetime

from flamingotiller import clock

OPEN_DURATION = clock.seconds(2)


class CircuitBreakers:
    """Circuit breakers by key, an address or a zone; closed at first.

    Args:
        clk: Source of monotonic time.
    """

    def __init__(self, clk: clock.Clock) -> None:
        self._clock = clk
        self._open_until: dict[str, datetime.timedelta] = {}
        self._answered_at: dict[str, datetime.timedelta] = {}

    def trip(self, key: str, asked: datetime.timedelta | None = None) -> None:
        """Opens a breaker.

        Args:
            key: Who did not answer.
            asked: When it was asked. One that has answered somebody since then is busy, not
                gone, and its breaker stays closed.
        """
        if asked is None or self._answered_at.get(key, clock.ZERO) < asked:
            self._open_until[key] = self._clock.monotonic() + OPEN_DURATION

    def close(self, key: str) -> None:
        """Notes an answer."""
        self._answered_at[key] = self._clock.monotonic()
        self._open_until.pop(key, None)

    def is_open(self, key: str) -> bool:
        """Returns whether a key is to be passed over."""
        until = self._open_until.get(key)
        if until is None:
            return False
        if self._clock.monotonic() < until:
            return True
        del self._open_until[key]
        return False
