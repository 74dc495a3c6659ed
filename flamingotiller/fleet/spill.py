"""Bounds how fast a region's requests move to other regions and back.

Answers the patterns of a regional wave and of a cold start: while near endpoints are full requests
spill elsewhere, but the part that runs elsewhere changes by a bounded step from one window to the
next, in both directions. After failures near by, work has to move at once and the bound is lifted.
"""

from __future__ import annotations

import collections
import datetime

from flamingotiller import clock

# Windows that are compared, and slices by which they slide.
WINDOW = clock.seconds(2)
SLICES = 8
# Part of the bound that one gateway uses: few requests tell a share only roughly.
USED = 0.45
# Fewer requests than this tell no share.
LEAST_REQUESTS = 20
# For this long after a failure near by work may move freely.
RELAXED_FOR = clock.seconds(8)


class Governor:
    """Shares of one gateway's requests that run elsewhere than at their first endpoints, of late.

    Args:
        most_shift: Part of a region's requests that may change region between two windows.
    """

    def __init__(self, most_shift: float) -> None:
        self._step = USED * most_shift
        self._slice = WINDOW / SLICES
        # Number of the slice, requests in it, and those of them that ran elsewhere.
        self._counts: collections.deque[list[int]] = collections.deque()
        self._relaxed_until = clock.ZERO

    def relax(self, now: datetime.timedelta) -> None:
        """Lets work move freely for a while: endpoints have failed."""
        self._relaxed_until = now + RELAXED_FOR

    def note(self, elsewhere: bool, now: datetime.timedelta) -> None:
        """Notes a request that is sent to an endpoint."""
        number = now // self._slice
        if not self._counts or self._counts[-1][0] != number:
            self._counts.append([number, 0, 0])
        self._counts[-1][1] += 1
        self._counts[-1][2] += elsewhere
        while self._counts[0][0] <= number - 2 * SLICES:
            self._counts.popleft()

    def may_leave(self, now: datetime.timedelta) -> bool:
        """Returns whether one more request may run elsewhere."""
        before, present, total = self._shares(now)
        if before is None:
            return True
        # Refusals near by may have begun since, and the requests before them leave the window.
        number = now // self._slice
        late = sum(count for slice_, count, _ in self._counts if slice_ > number - SLICES // 2)
        return present + 1 <= (before + self._step) * min(total + 1, 2 * late + 1)

    def must_leave(self, now: datetime.timedelta) -> bool:
        """Returns whether the next request has to run elsewhere although there is room near."""
        before, present, total = self._shares(now)
        if before is None or total < LEAST_REQUESTS:
            return False
        return present / (total + 1) < before - self._step

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
        if now < self._relaxed_until or total_before < LEAST_REQUESTS:
            return None, elsewhere, total
        return elsewhere_before / total_before, elsewhere, total
