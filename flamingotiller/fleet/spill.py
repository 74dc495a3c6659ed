"""Limits how fast the share of spilled requests changes.

A request is spilled if it is sent to another endpoint than its object's first one; the other one is
usually in another region. While the first endpoints are full, as in a regional wave of load or a
cold start, requests spill over, but the share of spilled requests changes by a bounded step from
one window to the next, in both directions. After endpoint failures requests have to move at once,
so the limit is suspended for a while.
"""

from __future__ import annotations

import collections
import collections.abc
import datetime

from flamingotiller import clock

# Length of the windows that are compared, and number of slices in which they slide.
WINDOW = clock.seconds(2)
SLICES_PER_WINDOW = 8
# Share of the limit that is used; the rest is a margin, as few requests give only a rough share.
SAFETY_FACTOR = 0.6
# Number of slices in the shortest part of a window for which the limit holds as well.
MIN_SLICES = 2
# Time after an endpoint failure during which any number of requests may spill.
SUSPENSION = clock.seconds(8)


class SpillLimiter:
    """Limits the change in the share of one gateway's requests that are spilled.

    Args:
        max_shift: Share of a region's requests that may change region between two windows.
        rounding: Offset between 0 and 1, random per gateway, at which a fraction of a request is
            rounded to a whole one. Different offsets let many gateways with few requests each keep
            the limit together.
    """

    def __init__(self, max_shift: float, rounding: float) -> None:
        self._step = SAFETY_FACTOR * max_shift
        self._rounding = rounding
        self._slice_length = WINDOW / SLICES_PER_WINDOW
        # Per slice: its number, its requests, and those of them that were spilled.
        self._counts: collections.deque[list[int]] = collections.deque()
        self._suspended_until = clock.ZERO

    def suspend(self, now: datetime.timedelta) -> None:
        """Suspends the limit for a while, as endpoints have failed."""
        self._suspended_until = now + SUSPENSION

    def record(self, spilled: bool, now: datetime.timedelta) -> None:
        """Counts a request that is sent to an endpoint."""
        number = now // self._slice_length
        if not self._counts or self._counts[-1][0] != number:
            self._counts.append([number, 0, 0])
        self._counts[-1][1] += 1
        self._counts[-1][2] += spilled
        while self._counts[0][0] <= number - 2 * SLICES_PER_WINDOW:
            self._counts.popleft()

    def may_spill(self, now: datetime.timedelta) -> bool:
        """Returns whether one more request may be spilled.

        The limit applies to any two adjoining windows, also to one that begins just when the first
        endpoints stop taking requests. So it is checked for each of the latest parts of a window,
        down to the shortest that has enough requests.
        """
        previous_share, _, _ = self._shares(now)
        if previous_share is None:
            return True
        max_share = previous_share + self._step
        number = now // self._slice_length
        return all(
            spilled + 1 <= max_share * (requests + 1) + self._rounding
            for requests, spilled in self._latest(number)
        )

    def _latest(self, number: int) -> collections.abc.Iterator[tuple[int, int]]:
        """Yields the requests and spilled requests of the latest slices.

        The first pair covers ``MIN_SLICES`` slices, each further pair one more, up to a window.
        """
        requests = spilled = 0
        counts_by_slice = {
            slice_: (slice_requests, slice_spilled)
            for slice_, slice_requests, slice_spilled in self._counts
        }
        for age in range(SLICES_PER_WINDOW):
            slice_requests, slice_spilled = counts_by_slice.get(number - age, (0, 0))
            requests += slice_requests
            spilled += slice_spilled
            if age + 1 >= MIN_SLICES:
                yield requests, spilled

    def must_spill(self, now: datetime.timedelta) -> bool:
        """Returns whether the next request must be spilled even if its first endpoint has room."""
        previous_share, spilled, requests = self._shares(now)
        if previous_share is None:
            return False
        return spilled + self._rounding < (previous_share - self._step) * (requests + 1)

    def _shares(self, now: datetime.timedelta) -> tuple[float | None, int, int]:
        """Returns the spilled share of the previous window, and the spilled requests and all
        requests of the current one; the share is None while there is no limit."""
        number = now // self._slice_length
        previous_requests = previous_spilled = requests = spilled = 0
        for slice_, slice_requests, slice_spilled in self._counts:
            if slice_ > number - SLICES_PER_WINDOW:
                requests += slice_requests
                spilled += slice_spilled
            elif slice_ > number - 2 * SLICES_PER_WINDOW:
                previous_requests += slice_requests
                previous_spilled += slice_spilled
        if now < self._suspended_until or not previous_requests:
            return None, spilled, requests
        return previous_spilled / previous_requests, spilled, requests
