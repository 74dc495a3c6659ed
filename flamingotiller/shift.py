"""Shifts of traffic: one ramp that every move between zones and regions goes through.

The side that takes the load grants it, out of what it has free, and lets the amount grow by at
most a cap per interval, so that neither lagging measurements nor a burst of askers can push it
over: docs/design/shifts.md."""

from __future__ import annotations

import dataclasses
import datetime

from flamingotiller import clock


@dataclasses.dataclass(frozen=True)
class RampPolicy:
    """How fast an amount may grow.

    Attributes:
        interval: Length of a step.
        fraction: Largest growth in a step, as a part of the capacity.
        minimum: Growth that is always allowed in a step, in units.
    """

    interval: datetime.timedelta = clock.seconds(1)
    fraction: float = 0.1
    minimum: float = 1.0


class Ramp:
    """Upper limit of an amount; grows step by step while it is used, falls back when it is not.

    Args:
        policy: How fast it may grow.
        now: Monotonic time.
    """

    def __init__(self, policy: RampPolicy, now: datetime.timedelta) -> None:
        self._policy = policy
        self._step_began = now
        self._base = 0.0
        self._peak = 0.0

    def limit(self, capacity: float, now: datetime.timedelta) -> float:
        """Returns the largest amount allowed now.

        Args:
            capacity: What the receiving side could take altogether.
            now: Monotonic time.
        """
        self._advance(now)
        growth = max(self._policy.minimum, self._policy.fraction * capacity)
        return min(capacity, self._base + growth)

    def note(self, amount: float, now: datetime.timedelta) -> None:
        """Notes the amount in use, from which the next step may grow."""
        self._advance(now)
        self._peak = max(self._peak, amount)

    def _advance(self, now: datetime.timedelta) -> None:
        steps = int((now - self._step_began) / self._policy.interval)
        if steps <= 0:
            return
        # The next step grows from what was really used; unused steps allow nothing later.
        self._base = self._peak if steps == 1 else 0.0
        self._peak = 0.0
        self._step_began += steps * self._policy.interval


class LinkBudget:
    """Bits that may cross a link between two regions, as a bucket of one second.

    Args:
        bits_per_second: Part of the link that one zone may use.
        now: Monotonic time.
    """

    def __init__(self, bits_per_second: float, now: datetime.timedelta) -> None:
        self._rate = bits_per_second
        self._left = bits_per_second
        self._at = now

    def allows(self, now: datetime.timedelta) -> bool:
        """Returns whether anything may cross now."""
        self._refill(now)
        return self._left > 0

    def spend(self, byte_count: int, now: datetime.timedelta) -> None:
        """Notes what has crossed; a debt delays what comes next."""
        self._refill(now)
        self._left -= 8 * byte_count

    def _refill(self, now: datetime.timedelta) -> None:
        gained = (now - self._at).total_seconds() * self._rate
        self._left = min(self._rate, self._left + gained)
        self._at = now
