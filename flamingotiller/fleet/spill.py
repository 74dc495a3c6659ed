"""Bounds how fast a region's requests move to other regions and back.

Answers the patterns of a regional wave and of a cold start: while near endpoints are full requests
spill elsewhere, but the part that runs elsewhere changes by a bounded step from one window to the
next, in both directions. After failures near by, work has to move at once and the bound is lifted.
"""

from __future__ import annotations

import collections
import collections.abc
import datetime

from flamingotiller import clock

# Windows that are compared, and slices by which they slide.
WINDOW = clock.seconds(2)
SLICES = 8
# Part of the bound that gateways use: few requests tell a share only roughly.
USED = 0.6
# Slices at the end of a window over which the bound holds too.
SHORTEST = 2
# For this long after a failure near by work may move freely.
SUSPENSION = clock.seconds(8)


class SpillLimiter:
    """Shares of one gateway's requests that run elsewhere than at their first endpoints, of late.

    Args:
        most_shift: Part of a region's requests that may change region between two windows.
        rounding: Between 0 and 1, spread over gateways: the part of a request from which on a
            whole one may leave, so that many gateways with few requests keep the bound together.
    """

    def __init__(self, most_shift: float, rounding: float) -> None:
        self._step = USED * most_shift
        self._rounding = rounding
        self._slice = WINDOW / SLICES
        # Number of the slice, requests in it, and those of them that ran elsewhere.
        self._counts: collections.deque[list[int]] = collections.deque()
        self._relaxed_until = clock.ZERO

    def suspend(self, now: datetime.timedelta) -> None:
        """Lets work move freely for a while: endpoints have failed."""
        self._relaxed_until = now + SUSPENSION

    def record(self, elsewhere: bool, now: datetime.timedelta) -> None:
        """Notes a request that is sent to an endpoint."""
        number = now // self._slice
        if not self._counts or self._counts[-1][0] != number:
            self._counts.append([number, 0, 0])
        self._counts[-1][1] += 1
        self._counts[-1][2] += elsewhere
        while self._counts[0][0] <= number - 2 * SLICES:
            self._counts.popleft()

    def may_spill(self, now: datetime.timedelta) -> bool:
        """Returns whether one more request may run elsewhere.

        Any window may be compared with the one before it, also one that begins where near
        endpoints cease to take anything; so the bound holds for each of the latest parts of a
        window, down to the shortest that tells something.
        """
        before, _, _ = self._shares(now)
        if before is None:
            return True
        most = before + self._step
        number = now // self._slice
        return all(
            elsewhere + 1 <= most * (requests + 1) + self._rounding
            for requests, elsewhere in self._latest(number)
        )

    def _latest(self, number: int) -> collections.abc.Iterator[tuple[int, int]]:
        """Yields requests, and those elsewhere, of the latest slices: a few, then one more each."""
        requests = elsewhere = 0
        counts = {slice_: (count, left) for slice_, count, left in self._counts}
        for back in range(SLICES):
            count, left = counts.get(number - back, (0, 0))
            requests += count
            elsewhere += left
            if back + 1 >= SHORTEST:
                yield requests, elsewhere

    def must_spill(self, now: datetime.timedelta) -> bool:
        """Returns whether the next request has to run elsewhere although there is room near."""
        before, present, total = self._shares(now)
        if before is None:
            return False
        return present + self._rounding < (before - self._step) * (total + 1)

    def _shares(self, now: datetime.timedelta) -> tuple[float | None, int, int]:
        """Returns the share elsewhere in the window before, and both counts of the present one;
        no share where it binds nothing."""
        number = now // self._slice
        total_before = elsewhere_before = total = elsewhere = 0
        for slice_, requests, left in self._counts:
            if slice_ > number - SLICES:
                total += requests
                elsewhere += left
            elif slice_ > number - 2 * SLICES:
                total_before += requests
                elsewhere_before += left
        if now < self._relaxed_until or not total_before:
            return None, elsewhere, total
        return elsewhere_before / total_before, elsewhere, total
