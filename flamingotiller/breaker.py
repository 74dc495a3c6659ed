"""Circuit breakers: a peer or zone that did not answer is skipped for a while."""

from __future__ import annotations

import datetime

from flamingotiller import clock

OPEN_DURATION = clock.seconds(2)


class CircuitBreakers:
    """Circuit breakers by key, which is an address or a zone; all are closed at first.

    Args:
        clk: Source of monotonic time.
    """

    def __init__(self, clk: clock.Clock) -> None:
        self._clock = clk
        self._open_until_by_key: dict[str, datetime.timedelta] = {}
        self._answered_at_by_key: dict[str, datetime.timedelta] = {}

    def trip(self, key: str, sent_at: datetime.timedelta | None = None) -> None:
        """Opens a breaker after a request without an answer.

        Args:
            key: Address or zone that did not answer.
            sent_at: When the request was sent, None if unknown. If the key has answered another
                request since then, it is only slow and its breaker stays closed.
        """
        if sent_at is None or self._answered_at_by_key.get(key, clock.ZERO) < sent_at:
            self._open_until_by_key[key] = self._clock.monotonic() + OPEN_DURATION

    def close(self, key: str) -> None:
        """Records an answer and closes the breaker."""
        self._answered_at_by_key[key] = self._clock.monotonic()
        self._open_until_by_key.pop(key, None)

    def is_open(self, key: str) -> bool:
        """Returns whether a key is to be skipped."""
        open_until = self._open_until_by_key.get(key)
        if open_until is None:
            return False
        if self._clock.monotonic() < open_until:
            return True
        del self._open_until_by_key[key]
        return False
