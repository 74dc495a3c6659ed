"""Rate limits for traffic that is shifted between zones and regions.

Every such shift goes through a ``Ramp``: the receiving side grants shifted load from its free
capacity and limits the growth per interval, so that neither stale measurements nor a burst of
senders can overload it. See docs/design/shifts.md."""

from __future__ import annotations

import dataclasses
import datetime

from flamingotiller import clock


@dataclasses.dataclass(frozen=True)
class RampPolicy:
    """How fast an amount may grow.

    Attributes:
        interval: Length of a step.
        fraction: Maximum growth per step, as a fraction of the capacity.
        minimum: Growth that is always allowed per step, in units of the amount.
    """

    interval: datetime.timedelta = clock.seconds(1)
    fraction: float = 0.1
    minimum: float = 1.0


class Ramp:
    """Upper limit of an amount that grows step by step while it is used and resets when it is not.

    Args:
        policy: How fast the amount may grow.
        now: Monotonic time.
    """

    def __init__(self, policy: RampPolicy, now: datetime.timedelta) -> None:
        self._policy = policy
        self._step_started_at = now
        self._base = 0.0
        self._peak = 0.0

    def limit(self, capacity: float, now: datetime.timedelta) -> float:
        """Returns the largest amount allowed now.

        Args:
            capacity: Total capacity of the receiving side.
            now: Monotonic time.
        """
        self._advance(now)
        growth = max(self._policy.minimum, self._policy.fraction * capacity)
        return min(capacity, self._base + growth)

    def record(self, amount: float, now: datetime.timedelta) -> None:
        """Records the amount in use, from which the next step may grow."""
        self._advance(now)
        self._peak = max(self._peak, amount)

    def _advance(self, now: datetime.timedelta) -> None:
        steps = int((now - self._step_started_at) / self._policy.interval)
        if steps <= 0:
            return
        # The next step grows from the peak in use during the last one; a step that passed without
        # use resets the base to 0, so that unused growth does not accumulate.
        self._base = self._peak if steps == 1 else 0.0
        self._peak = 0.0
        self._step_started_at += steps * self._policy.interval


class LinkBudget:
    """Token bucket for the bits sent over a link between two regions, one second deep.

    Args:
        bits_per_second: Share of the link's capacity that one zone may use.
        now: Monotonic time.
    """

    def __init__(self, bits_per_second: float, now: datetime.timedelta) -> None:
        self._rate = bits_per_second
        self._available_bits = bits_per_second
        self._refilled_at = now

    def allows(self, now: datetime.timedelta) -> bool:
        """Returns whether a transfer may start now."""
        self._refill(now)
        return self._available_bits > 0

    def spend(self, byte_count: int, now: datetime.timedelta) -> None:
        """Records a transfer; the balance may become negative, which delays the next one."""
        self._refill(now)
        self._available_bits -= 8 * byte_count

    def _refill(self, now: datetime.timedelta) -> None:
        refill = (now - self._refilled_at).total_seconds() * self._rate
        self._available_bits = min(self._rate, self._available_bits + refill)
        self._refilled_at = now
