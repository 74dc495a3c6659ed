"""Limits that endpoints name: requests per second that one takes from all gateways together.

Gateways know nothing of each other, so the leader grants each request to such an endpoint, at the
rate that the endpoint has named. A grant may be used for a short time only, so that a gateway that
was paused does not use it late. A gateway that cannot reach the leader has a small share of its
own, by its position among all gateways.
"""

from __future__ import annotations

import collections
import dataclasses
import datetime

from flamingotiller import clock
from flamingotiller.fleet import model, shares

# How long after it was asked for a grant may be used.
GRANT_LIFETIME = clock.seconds(1)
# Time in seconds for which grants that nobody asked for accumulate, and the least that accumulates:
# a grant must be possible at any rate above zero.
BURST_S = 0.25
MIN_BURST = 1.0
# Least rate of grants: responses are how gateways learn that a limit has risen or ended.
MIN_RATE = 0.25
# After a refusal a gateway does not ask for the same endpoint again for this long.
DENIAL_PAUSE = clock.seconds(0.1)
# Requests that all gateways without a leader together send in the window: what the limit allows in
# this many seconds, and some more.
UNGRANTED_WINDOW = clock.seconds(4)
UNGRANTED_S = 0.25
UNGRANTED_SLACK = 1.0
# Endpoints' lifetimes whose limits a gateway or a leader remembers.
MAX_REMEMBERED = 4096


@dataclasses.dataclass
class _Bucket:
    rate: float
    tokens: float
    refilled_at: datetime.timedelta


class GrantIssuer:
    """The leader's grants for requests to endpoints that have named a limit.

    A new leader starts with nothing to grant, so that its grants and those of the leader before it
    never add up to more than one leader would have granted.
    """

    def __init__(self) -> None:
        self._bucket_by_endpoint: collections.OrderedDict[str, _Bucket] = collections.OrderedDict()

    def grant(self, endpoint: str, rate: float, now: datetime.timedelta) -> bool:
        """Returns whether one more request may be sent.

        Args:
            endpoint: Identifies the endpoint's lifetime.
            rate: Requests per second that it has named.
            now: Monotonic time.
        """
        rate = max(rate, MIN_RATE)
        bucket = self._bucket_by_endpoint.pop(endpoint, None) or _Bucket(rate, 0.0, now)
        self._bucket_by_endpoint[endpoint] = bucket
        if len(self._bucket_by_endpoint) > MAX_REMEMBERED:
            self._bucket_by_endpoint.popitem(last=False)
        elapsed_s = max(0.0, (now - bucket.refilled_at).total_seconds())
        # The time before this request counts at the lower of the rates at its ends.
        refill = min(bucket.rate, rate) * elapsed_s
        capacity = max(MIN_BURST, BURST_S * rate)
        bucket.tokens = min(capacity, bucket.tokens + refill)
        bucket.rate, bucket.refilled_at = rate, now
        if bucket.tokens < 1:
            return False
        bucket.tokens -= 1
        return True


class KnownLimits:
    """The limits that one gateway has been told by endpoints' responses.

    A limit holds until a response of the same lifetime names none. It is kept when the endpoint
    drops out of the view, since it may come back in the same lifetime.

    Attributes:
        shares: This gateway's shares of what all may send without a leader.
    """

    def __init__(self) -> None:
        self._rate_by_lifetime: collections.OrderedDict[str, float] = collections.OrderedDict()
        self._denied_until_by_lifetime: dict[str, datetime.timedelta] = {}
        self._ungranted = shares.SentRequests(UNGRANTED_WINDOW)
        self.shares = shares.PositionShares(UNGRANTED_WINDOW)

    def record(self, endpoint: model.Endpoint, rate: float | None) -> bool:
        """Records what a response names, None for no limit; returns whether a limit began or
        ended."""
        lifetime = lifetime_key(endpoint)
        was_limited = lifetime in self._rate_by_lifetime
        if rate is None:
            self._rate_by_lifetime.pop(lifetime, None)
            self._denied_until_by_lifetime.pop(lifetime, None)
        else:
            self._rate_by_lifetime[lifetime] = rate
            if len(self._rate_by_lifetime) > MAX_REMEMBERED:
                oldest, _ = self._rate_by_lifetime.popitem(last=False)
                self._denied_until_by_lifetime.pop(oldest, None)
        return was_limited != (rate is not None)

    def rate(self, endpoint: model.Endpoint) -> float | None:
        """Returns the requests per second that an endpoint takes, None if it has named no limit."""
        return self._rate_by_lifetime.get(lifetime_key(endpoint))

    def deny(self, endpoint: model.Endpoint, now: datetime.timedelta) -> None:
        """Records that the leader granted no request to an endpoint."""
        self._denied_until_by_lifetime[lifetime_key(endpoint)] = now + DENIAL_PAUSE

    def is_denied(self, endpoint: model.Endpoint, now: datetime.timedelta) -> bool:
        """Returns whether a request to an endpoint was denied just now."""
        until = self._denied_until_by_lifetime.get(lifetime_key(endpoint))
        return until is not None and now < until

    def try_without_grant(self, endpoint: model.Endpoint, now: datetime.timedelta) -> bool:
        """Returns whether a request may be sent though the leader cannot be asked, and counts it
        if so."""
        rate = self.rate(endpoint)
        if rate is None:
            return True
        lifetime = lifetime_key(endpoint)
        total = int(UNGRANTED_S * rate + UNGRANTED_SLACK)
        return self._ungranted.try_add(lifetime, self.shares.share(total, lifetime, now), now)


def lifetime_key(endpoint: model.Endpoint) -> str:
    """Returns a key for one lifetime of an endpoint, the same at all gateways."""
    return f"{endpoint.id} {endpoint.born_ms}"
