"""What endpoints have told a gateway with their responses: that they leave, or want a pause.

A notice holds for one lifetime of an endpoint. It outlasts changes of the view: a late report that
an endpoint is ready does not undo it."""

from __future__ import annotations

import collections
import datetime

from flamingotiller import clock
from flamingotiller.fleet import model

# Lifetimes that are remembered, those of the latest notices.
MAX_LIFETIMES = 10_000
# Time after a pause in which the endpoint's share of its usual room grows from the first to the
# whole, so that its objects do not come back all at once.
RETURN_TIME = clock.seconds(2)
FIRST_SHARE = 0.1

Lifetime = tuple[str, int]


class Notices:
    """Notices of endpoints to one gateway."""

    def __init__(self) -> None:
        self._leaving: collections.OrderedDict[Lifetime, None] = collections.OrderedDict()
        self._paused_until: collections.OrderedDict[Lifetime, datetime.timedelta] = (
            collections.OrderedDict()
        )

    def record_leaving(self, endpoint: model.Endpoint) -> bool:
        """Records that an endpoint takes no more requests; returns whether that is new."""
        is_new = not self.is_leaving(endpoint)
        self._leaving[_lifetime(endpoint)] = None
        _bound(self._leaving, _lifetime(endpoint))
        return is_new

    def is_leaving(self, endpoint: model.Endpoint) -> bool:
        """Returns whether an endpoint has said that it leaves."""
        return _lifetime(endpoint) in self._leaving

    def record_pause(self, endpoint: model.Endpoint, until: datetime.timedelta) -> bool:
        """Records that an endpoint wants no requests until a time; returns whether that is later
        than what it said before."""
        if until <= self.paused_until(endpoint):
            return False
        self._paused_until[_lifetime(endpoint)] = until
        _bound(self._paused_until, _lifetime(endpoint))
        return True

    def paused_until(self, endpoint: model.Endpoint) -> datetime.timedelta:
        """Returns the end of an endpoint's latest pause, zero if it has named none."""
        return self._paused_until.get(_lifetime(endpoint), clock.ZERO)

    def share_of_room(self, endpoint: model.Endpoint, now: datetime.timedelta) -> float:
        """Returns the share of its usual room that an endpoint is given, after a pause."""
        if not self._paused_until:
            return 1.0
        until = self.paused_until(endpoint)
        if until == clock.ZERO:
            return 1.0
        return min(1.0, max(FIRST_SHARE, (now - until) / RETURN_TIME))


def _lifetime(endpoint: model.Endpoint) -> Lifetime:
    return endpoint.id, endpoint.born_ms


def _bound(notices: collections.OrderedDict, newest: Lifetime) -> None:
    notices.move_to_end(newest)
    while len(notices) > MAX_LIFETIMES:
        notices.popitem(last=False)
