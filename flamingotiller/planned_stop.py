"""Planned stop of an instance: which requests it still takes, so that none is cut off."""

from __future__ import annotations

import datetime


class PlannedStop:
    """A planned stop, from its announcement to the end of the process.

    Before ``begin`` every request is taken.
    """

    def __init__(self) -> None:
        self._ends_at: datetime.timedelta | None = None
        self._takes_all_until = datetime.timedelta.max

    def begin(
        self,
        now: datetime.timedelta,
        takes_all_for: datetime.timedelta,
        ends_in: datetime.timedelta,
    ) -> None:
        """Begins the stop.

        Args:
            now: Monotonic time.
            takes_all_for: How long requests that may be repeated are taken whatever time they have:
                callers may still use a look-up that names the instance, and most requests end long
                before their deadline.
            ends_in: Time until requests in flight are cut off.
        """
        self._ends_at = now + ends_in
        self._takes_all_until = now + takes_all_for

    def takes(
        self, deadline: datetime.timedelta, now: datetime.timedelta, *, may_repeat: bool
    ) -> bool:
        """Returns whether to take a request, which ends by its deadline.

        Args:
            deadline: Monotonic time by which the request has been answered.
            now: Monotonic time.
            may_repeat: Whether the caller may send it again if it is cut off.
        """
        if self._ends_at is None or deadline <= self._ends_at:
            return True
        return may_repeat and now <= self._takes_all_until
