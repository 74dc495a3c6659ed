"""Chooses the endpoints for a request and decides whether they have room.

Requests for the same object go to the same few endpoints, so that those keep the object warm. All
gateways of a region compute the same order of endpoints by rendezvous hashing. When an object's
preferred endpoints are full, a request is refused at once: spreading it further would make every
run longer, and the longer runs would spread again (docs/MEASUREMENTS.md).

This covers a regional wave of load, a hot service, callers that move between regions, and a cold
start."""

from __future__ import annotations

import collections
import collections.abc
import dataclasses
import datetime
import math

from flamingotiller import clock
from flamingotiller.fleet import model, notices, shares

# Number of endpoints that are tried for an object, and how many local ones come first in the order
# of an object that stays in the local region; alternatives are compared in docs/MEASUREMENTS.md.
MAX_PREFERRED = 2
MAX_LOCAL_PREFERRED = 1
# Factor on the share of objects that stay in the local region; at 1.0 it follows from the slots.
LOCAL_SHARE_FACTOR = 1.0
# Share of an endpoint's slots up to which requests are admitted, by rank (0 is the most urgent);
# the last value applies to all further ranks.
UTILISATION_LIMIT_BY_RANK = (1.2, 1.0, 0.8)
# Time constant of the decay of the load of other gateways since the endpoint's last report.
LOAD_DECAY_S = 0.5
# Requests that other gateways are assumed to have at an endpoint for each own request beyond the
# first, while no recent report says how many; docs/MEASUREMENTS.md compares it with assuming none.
ASSUMED_LOAD_FACTOR = 2.0
MAX_CACHED_ORDERS = 4096
# A failing endpoint is avoided for this long, doubled with each further failure up to the maximum.
INITIAL_AVOIDANCE = clock.seconds(0.5)
MAX_AVOIDANCE = clock.seconds(8)
# Consecutive timeouts after which the endpoint, not a single request, is taken to be the cause.
TIMEOUTS_BEFORE_AVOIDANCE = 2
# Responses over which an endpoint's error rate is averaged, and the rate above which it is avoided.
ERROR_RATE_WINDOW = 6
MAX_ERROR_RATE = 0.4
# Responses over which a service's error rate is averaged. An endpoint is avoided only if its own
# rate exceeds this multiple of the service's: where all endpoints fail, no other one is better.
SERVICE_ERROR_RATE_WINDOW = 40
SERVICE_ERROR_RATE_FACTOR = 2.0


@dataclasses.dataclass(frozen=True)
class Load:
    """Load that an endpoint reports with a response.

    Attributes:
        running: Requests that are running.
        waiting: Requests in the queue.
    """

    running: int
    waiting: int


class EndpointHealth:
    """Health and load of one endpoint as observed by one gateway.

    Attributes:
        in_flight: Requests of this gateway that are in flight at the endpoint.
        failures: Failures since the endpoint last recovered.
        timeouts: Consecutive requests that timed out without a response.
        error_rate: Moving average of the share of errors among its responses.
        avoid_until: Time until which it is avoided after failures.
        cold_until: Time at which it counts as warm.
        load: Last reported load, None before the first report.
        load_at: Time of that report.
    """

    def __init__(self) -> None:
        self.in_flight = 0
        self.failures = 0
        self.timeouts = 0
        self.error_rate = 0.0
        self.avoid_until = clock.ZERO
        self.cold_until = clock.ZERO
        self.load: Load | None = None
        self.load_at = clock.ZERO
        self._other_requests = 0

    def on_load_report(self, load: Load, now: datetime.timedelta) -> None:
        """Records the load that the endpoint reported with the response to a request."""
        self.load, self.load_at = load, now
        self._other_requests = max(0, load.running + load.waiting - self.in_flight)

    def on_success(self) -> bool:
        """Records a successful response; returns whether the endpoint has recovered by it."""
        self.timeouts = 0
        self.error_rate -= self.error_rate / ERROR_RATE_WINDOW
        if not self.failures or self.error_rate > MAX_ERROR_RATE / 2:
            return False
        self.failures = 0
        return True

    def on_error(self, now: datetime.timedelta, service_error_rate: float) -> bool:
        """Records an error response; returns whether the endpoint is avoided from now on.

        An endpoint that fails only some of its requests is avoided once its error rate is high. It
        then gets one request at a time until the rate is low again.

        Args:
            now: Monotonic time.
            service_error_rate: Error rate of the endpoint's service.
        """
        self.timeouts = 0
        self.error_rate += (1 - self.error_rate) / ERROR_RATE_WINDOW
        if self.error_rate <= max(MAX_ERROR_RATE, SERVICE_ERROR_RATE_FACTOR * service_error_rate):
            return False
        self.on_failure(now)
        return True

    def on_timeout(self, now: datetime.timedelta) -> bool:
        """Records a request that timed out; returns whether the endpoint is avoided from now on.

        A single timeout may be due to a long request or a full endpoint. Avoiding that endpoint
        would move its objects to cold endpoints, where their requests take even longer.
        """
        self.timeouts += 1
        if self.timeouts < TIMEOUTS_BEFORE_AVOIDANCE:
            return False
        self.on_failure(now)
        return True

    def on_failure(self, now: datetime.timedelta) -> None:
        """Records a failure that is due to the endpoint rather than to the request."""
        duration = INITIAL_AVOIDANCE * 2 ** min(self.failures, 8)
        self.failures += 1
        self.avoid_until = now + min(duration, MAX_AVOIDANCE)

    def forget_failures(self) -> None:
        """Forgets failures that were not due to the endpoint."""
        self.failures = self.timeouts = 0
        self.error_rate = 0.0
        self.avoid_until = clock.ZERO

    def estimated_load(self, now: datetime.timedelta) -> float:
        """Returns the estimated number of requests at the endpoint, from all gateways.

        The last report loses weight over time to the assumption about other gateways.
        """
        weight = math.exp(-(now - self.load_at).total_seconds() / LOAD_DECAY_S)
        assumed = ASSUMED_LOAD_FACTOR * max(0, self.in_flight - 1)
        return self.in_flight + self._other_requests * weight + assumed * (1 - weight)

    def usable(self, now: datetime.timedelta) -> bool:
        """Returns whether the endpoint may be sent a request."""
        if now < self.avoid_until:
            return False
        # After failures, one request at a time probes whether the endpoint has recovered.
        return not self.failures or not self.in_flight


class ServiceErrorRate:
    """Moving average of the share of errors among a service's responses.

    Attributes:
        value: Error rate, between 0 and 1.
    """

    def __init__(self) -> None:
        self.value = 0.0

    def record(self, failed: bool) -> None:
        """Records a response."""
        self.value += (failed - self.value) / SERVICE_ERROR_RATE_WINDOW


def utilisation_limit(rank: int) -> float:
    """Returns the share of an endpoint's slots up to which requests of a rank are admitted."""
    return UTILISATION_LIMIT_BY_RANK[min(rank, len(UTILISATION_LIMIT_BY_RANK) - 1)]


class Placement:
    """Computes and caches the order of endpoints for each object.

    Args:
        region: The gateway's region.
        region_by_zone: Region of every availability zone.
        endpoint_notices: Notices of endpoints to this gateway.
    """

    def __init__(
        self,
        region: str,
        region_by_zone: collections.abc.Mapping[str, str],
        endpoint_notices: notices.Notices,
    ) -> None:
        self._region = region
        self._region_by_zone = region_by_zone
        self._notices = endpoint_notices
        self._order_by_key: collections.OrderedDict[
            tuple[str, str, frozenset[str]], list[model.Endpoint]
        ] = collections.OrderedDict()
        self._candidates_by_key: dict[tuple[str, frozenset[str]], list[model.Endpoint]] = {}

    def invalidate(self) -> None:
        """Clears the caches, which depend on the view and on the endpoints that leave."""
        self._order_by_key.clear()
        self._candidates_by_key.clear()

    def order(
        self, view: model.View, service: str, object_id: str, regions: frozenset[str]
    ) -> list[model.Endpoint]:
        """Returns the endpoints that may serve an object, most preferred first.

        An object's callers are in one region. So as many objects as the local region has slots for
        prefer a local endpoint first and a remote one second; the others prefer remote endpoints.
        The remaining local endpoints come last, for when those before them cannot be used.
        Endpoints with more slots are preferred by more objects. All gateways of a region compute
        the same order.

        Args:
            view: Current view of the fleet.
            service: Name of the service.
            object_id: Affinity key; requests with the same key should reach the same endpoint.
            regions: Regions that may serve, empty for all.
        """
        key = (service, object_id, regions)
        order = self._order_by_key.get(key)
        if order is None:
            candidates = self._candidates(view, service, regions)
            order = sorted(candidates, key=lambda e: _score(object_id, e), reverse=True)
            local = [e for e in order if self.is_local(e)]
            remote = [e for e in order if not self.is_local(e)]
            prefers_local = shares.unit_hash("region", object_id) < self._local_share(candidates)
            first, rest = local[:MAX_LOCAL_PREFERRED], local[MAX_LOCAL_PREFERRED:]
            order = [*first, *remote, *rest] if prefers_local else [*remote, *local]
            self._order_by_key[key] = order
            if len(self._order_by_key) > MAX_CACHED_ORDERS:
                self._order_by_key.popitem(last=False)
        return order

    def _local_share(self, candidates: list[model.Endpoint]) -> float:
        """Returns the share of the local region's objects that its endpoints have slots for.

        Assumes that all regions have about the same demand; their numbers of slots may differ.
        """
        slots_by_region: dict[str, int] = collections.defaultdict(int)
        for endpoint in candidates:
            slots_by_region[self._region_by_zone.get(endpoint.zone, "")] += endpoint.slots
        total = sum(slots_by_region.values())
        regions = len(set(self._region_by_zone.values()))
        if not total:
            return 0.0
        return min(1.0, LOCAL_SHARE_FACTOR * regions * slots_by_region[self._region] / total)

    def _candidates(
        self, view: model.View, service: str, regions: frozenset[str]
    ) -> list[model.Endpoint]:
        key = (service, regions)
        candidates = self._candidates_by_key.get(key)
        if candidates is None:
            candidates = self._candidates_by_key[key] = [
                endpoint
                for endpoint in view.endpoints_of(service)
                if not endpoint.draining
                and not self._notices.is_leaving(endpoint)
                and endpoint.zone not in view.evacuated
                and (not regions or self._region_by_zone.get(endpoint.zone) in regions)
            ]
        return candidates

    def is_local(self, endpoint: model.Endpoint) -> bool:
        """Returns whether an endpoint is in the gateway's region."""
        return self._region_by_zone.get(endpoint.zone) == self._region

    def preferred(
        self,
        order: list[model.Endpoint],
        health_by_id: collections.abc.Mapping[str, EndpointHealth],
        excluded: collections.abc.Collection[str],
        now: datetime.timedelta,
    ) -> list[model.Endpoint]:
        """Returns the endpoints to try: the first usable ones of an order, without excluded ones.

        Excluded endpoints count towards the limit, so a retry does not go further down the order.
        """
        preferred: list[model.Endpoint] = []
        usable_count = 0
        for endpoint in order:
            health = health_by_id.get(endpoint.id)
            if health is not None and not health.usable(now):
                continue
            if now < self._notices.paused_until(endpoint):
                continue
            usable_count += 1
            if endpoint.id not in excluded:
                preferred.append(endpoint)
            if usable_count == MAX_PREFERRED:
                break
        return preferred


def _score(object_id: str, endpoint: model.Endpoint) -> float:
    """Returns an endpoint's score for an object in weighted rendezvous hashing.

    The probability of the highest score is proportional to the number of slots.
    """
    return shares.unit_hash(object_id, endpoint.id) ** (1.0 / endpoint.slots)


class Splitter:
    """Splits a route's requests between its services by smooth weighted round robin."""

    def __init__(self) -> None:
        self._credit_by_service: dict[str, float] = {}
        self._parts: tuple[model.WeightedService, ...] = ()

    def next(self, parts: tuple[model.WeightedService, ...]) -> str:
        """Returns the service of the next request."""
        if len(parts) == 1:
            return parts[0].service
        if parts != self._parts:
            self._parts = parts
            self._credit_by_service = {part.service: 0.0 for part in parts}
        total = sum(part.weight for part in parts)
        for part in parts:
            self._credit_by_service[part.service] += part.weight / total
        chosen = max(self._credit_by_service, key=self._credit_by_service.__getitem__)
        self._credit_by_service[chosen] -= 1.0
        return chosen


class ColdStartLimiter:
    """Limits the rate of requests to cold endpoints over all gateways together.

    Args:
        overage: Factor on the rate that a cold endpoint tolerates.
        slack: Requests per second beyond that.

    Attributes:
        shares: This gateway's shares of what all may send.
    """

    # Share of the limit that is used. The rest is a margin for gateways that join or leave, which
    # shifts the positions of the others.
    SAFETY_FACTOR = 0.85
    WINDOW = clock.seconds(1)

    def __init__(self, overage: float, slack: float) -> None:
        self._overage = overage
        self._slack = slack
        self._sent = shares.SentRequests(self.WINDOW)
        self.shares = shares.PositionShares(self.WINDOW)

    def allowance(self, endpoint: str, rate: float, now: datetime.timedelta) -> int:
        """Returns the requests per second that this gateway may send to a cold endpoint."""
        total = int((rate * self._overage + self._slack) * self.SAFETY_FACTOR)
        return self.shares.share(total, endpoint, now)

    def try_acquire(self, endpoint: str, rate: float, now: datetime.timedelta) -> bool:
        """Returns whether a request may be sent to a cold endpoint, and counts it if so."""
        return self._sent.try_add(endpoint, self.allowance(endpoint, rate, now), now)
