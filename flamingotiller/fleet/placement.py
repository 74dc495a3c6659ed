"""Where a request may run, and whether there is room: placement by object and admission.

Answers the patterns of a regional wave, of a hot service, of callers that move, and of a cold
start: an object's requests go to its first endpoints in an order that all gateways compute alike,
so that endpoints keep their objects warm; where these are full the request is refused at once.
Spreading it further would make every run longer, and the longer runs would spread again
(docs/MEASUREMENTS.md)."""

from __future__ import annotations

import collections
import collections.abc
import dataclasses
import datetime
import hashlib
import math

from flamingotiller import clock
from flamingotiller.fleet import model

# An object's endpoints, and how many of them may lie in the own region before one lies elsewhere;
# ways compared in docs/MEASUREMENTS.md.
MAX_PREFERRED = 2
MAX_LOCAL_PREFERRED = 1
# Objects that stay near, relative to the region's part of all slots.
COMFORT = 1.0
# Part of an endpoint's slots up to which requests are admitted, by rank; the last holds beyond.
UTILISATION_LIMIT_BY_RANK = (1.2, 1.0, 0.8)
# What others have running at an endpoint is forgotten at this pace after its last word.
LOAD_MEMORY_S = 0.5
# For each own request beyond the first, others are assumed to have so many at the endpoint until it
# says how many it has; compared with none in docs/MEASUREMENTS.md.
OTHERS_ALIKE = 2.0
MAX_CACHED_ORDERS = 4096
# A failing endpoint is left for this long, doubled with each further failure.
FIRST_AVOIDANCE = clock.seconds(0.5)
LONGEST_AVOIDANCE = clock.seconds(8)
# Timeouts without an answer between them that tell of the endpoint rather than of a request.
TIMEOUTS_IN_A_ROW = 2
# Answers over which the part of errors is averaged, and the part from which on an endpoint is left.
ERROR_MEMORY = 6
MOST_ERRORS = 0.4
# Answers of a service over which the part of errors is averaged. An endpoint is left only if its
# part is a multiple of that: where all fail alike there is nowhere better to go.
SERVICE_ERROR_MEMORY = 40
MULTIPLE_OF_USUAL = 2.0


@dataclasses.dataclass(frozen=True)
class Load:
    """What an endpoint says of itself with an answer.

    Attributes:
        running: Requests that it runs.
        waiting: Requests in its queue.
    """

    running: int
    waiting: int


class EndpointHealth:
    """What a gateway has seen of one endpoint.

    Attributes:
        in_flight: Own requests there.
        failures: Failures since the last success.
        timeouts: Requests that ended without an answer since the last answer.
        errors: Part of errors among its latest answers.
        avoid_until: When it is tried again after failures.
        cold_until: When it has warmed up.
        load: What it said last, None before.
        load_at: When it said so.
    """

    def __init__(self) -> None:
        self.in_flight = 0
        self.failures = 0
        self.timeouts = 0
        self.errors = 0.0
        self.avoid_until = clock.ZERO
        self.cold_until = clock.ZERO
        self.load: Load | None = None
        self.load_at = clock.ZERO
        self._others = 0

    def on_load_report(self, load: Load, now: datetime.timedelta) -> None:
        """Takes the endpoint's word for its load, with the answer to an own request."""
        self.load, self.load_at = load, now
        self._others = max(0, load.running + load.waiting - self.in_flight)

    def on_success(self) -> bool:
        """Notes a good answer; returns whether it ends the endpoint's failing."""
        self.timeouts = 0
        self.errors -= self.errors / ERROR_MEMORY
        if not self.failures or self.errors > MOST_ERRORS / 2:
            return False
        self.failures = 0
        return True

    def on_error(self, now: datetime.timedelta, usual: float) -> bool:
        """Notes an answer that tells of an error; returns whether the endpoint is avoided.

        An endpoint that fails a part of its requests is left once that part is large; it is then
        tried by one request at a time until its errors are few.

        Args:
            now: Monotonic time.
            usual: Part of errors among the latest answers of its service.
        """
        self.timeouts = 0
        self.errors += (1 - self.errors) / ERROR_MEMORY
        if self.errors <= max(MOST_ERRORS, MULTIPLE_OF_USUAL * usual):
            return False
        self.on_failure(now)
        return True

    def on_timeout(self, now: datetime.timedelta) -> bool:
        """Notes a request without an answer in its time; returns whether the endpoint is avoided.

        A single one tells of a long request or a full endpoint: to leave that one would take its
        objects to cold endpoints, where they run longer still.
        """
        self.timeouts += 1
        if self.timeouts < TIMEOUTS_IN_A_ROW:
            return False
        self.on_failure(now)
        return True

    def on_failure(self, now: datetime.timedelta) -> None:
        """Notes a failure that tells of the endpoint rather than of the request."""
        span = FIRST_AVOIDANCE * 2 ** min(self.failures, 8)
        self.failures += 1
        self.avoid_until = now + min(span, LONGEST_AVOIDANCE)

    def estimated_load(self, now: datetime.timedelta) -> float:
        """Returns the estimated number of requests there."""
        known = math.exp(-(now - self.load_at).total_seconds() / LOAD_MEMORY_S)
        assumed = OTHERS_ALIKE * max(0, self.in_flight - 1)
        return self.in_flight + self._others * known + assumed * (1 - known)

    def usable(self, now: datetime.timedelta) -> bool:
        """Returns whether the endpoint may be tried."""
        if now < self.avoid_until:
            return False
        # After failures one request at a time finds out whether it serves again.
        return not self.failures or not self.in_flight


class ServiceErrorRate:
    """Part of errors among the latest answers of a service.

    Attributes:
        value: The part.
    """

    def __init__(self) -> None:
        self.value = 0.0

    def record(self, failed: bool) -> None:
        """Notes an answer."""
        self.value += (failed - self.value) / SERVICE_ERROR_MEMORY


def utilisation_limit(rank: int) -> float:
    """Returns the part of an endpoint's slots up to which a rank is admitted."""
    return UTILISATION_LIMIT_BY_RANK[min(rank, len(UTILISATION_LIMIT_BY_RANK) - 1)]


class Placement:
    """Orders of endpoints by object.

    Args:
        region: The gateway's own region.
        region_by_zone: Every availability zone.
    """

    def __init__(self, region: str, region_by_zone: collections.abc.Mapping[str, str]) -> None:
        self._region = region
        self._region_by_zone = region_by_zone
        self._order_by_key: collections.OrderedDict[
            tuple[str, str, frozenset[str]], list[model.Endpoint]
        ] = collections.OrderedDict()
        self._candidates_by_key: dict[tuple[str, frozenset[str]], list[model.Endpoint]] = {}

    def invalidate(self) -> None:
        """Drops what was computed from an earlier view."""
        self._order_by_key.clear()
        self._candidates_by_key.clear()

    def order(
        self, view: model.View, service: str, object_: str, regions: frozenset[str]
    ) -> list[model.Endpoint]:
        """Returns the endpoints that may serve, an object's own first.

        Callers of one object are of one region, so its first endpoints lie there as far as the
        region's slots go; the first endpoints of other objects, and the second of all, lie
        elsewhere, more often at larger endpoints. All gateways of a region agree on it.

        Args:
            view: What is known of the fleet.
            service: The service.
            object_: What the requests have in common that should meet the same endpoint.
            regions: Regions that may serve, empty for all.
        """
        key = (service, object_, regions)
        order = self._order_by_key.get(key)
        if order is None:
            candidates = self._candidates(view, service, regions)
            order = sorted(candidates, key=lambda e: _score(object_, e), reverse=True)
            near = [e for e in order if self.is_near(e)]
            far = [e for e in order if not self.is_near(e)]
            stays = _uniform("region", object_) < self._part_near(candidates)
            order = [*near[:MAX_LOCAL_PREFERRED], *far] if stays else [*far, *near]
            self._order_by_key[key] = order
            if len(self._order_by_key) > MAX_CACHED_ORDERS:
                self._order_by_key.popitem(last=False)
        return order

    def _part_near(self, candidates: list[model.Endpoint]) -> float:
        """Returns the part of the own region's objects that its endpoints have slots for.

        Regions ask for about as much as one another, while their endpoints may be few.
        """
        slots_by_region: dict[str, int] = collections.defaultdict(int)
        for endpoint in candidates:
            slots_by_region[self._region_by_zone.get(endpoint.zone, "")] += endpoint.slots
        total = sum(slots_by_region.values())
        regions = len(set(self._region_by_zone.values()))
        if not total:
            return 0.0
        return min(1.0, COMFORT * regions * slots_by_region[self._region] / total)

    def _candidates(
        self, view: model.View, service: str, regions: frozenset[str]
    ) -> list[model.Endpoint]:
        key = (service, regions)
        found = self._candidates_by_key.get(key)
        if found is None:
            found = self._candidates_by_key[key] = [
                endpoint
                for endpoint in view.endpoints_of(service)
                if not endpoint.draining
                and endpoint.zone not in view.evacuated
                and (not regions or self._region_by_zone.get(endpoint.zone) in regions)
            ]
        return found

    def is_near(self, endpoint: model.Endpoint) -> bool:
        """Returns whether an endpoint lies in the own region."""
        return self._region_by_zone.get(endpoint.zone) == self._region

    def preferred(
        self,
        order: list[model.Endpoint],
        conduct_by_id: collections.abc.Mapping[str, EndpointHealth],
        excluded: collections.abc.Collection[str],
        now: datetime.timedelta,
    ) -> list[model.Endpoint]:
        """Returns the endpoints to try: the first of the order that serve."""
        found: list[model.Endpoint] = []
        serving = 0
        for endpoint in order:
            conduct = conduct_by_id.get(endpoint.id)
            if conduct is not None and not conduct.usable(now):
                continue
            serving += 1
            if endpoint.id not in excluded:
                found.append(endpoint)
            if serving == MAX_PREFERRED:
                break
        return found


def _score(object_: str, endpoint: model.Endpoint) -> float:
    """Returns an endpoint's rank for an object; the larger one is the more often first."""
    return _uniform(object_, endpoint.id) ** (1.0 / endpoint.slots)


def _uniform(*parts: str) -> float:
    """Returns a number between 0 and 1 that depends on the parts alone."""
    digest = hashlib.blake2b("\0".join(parts).encode(), digest_size=8).digest()
    return (int.from_bytes(digest, "big") + 1) / 2**64


class Splitter:
    """Shares a route's requests between its services in proportion to their weights."""

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
    """Bounds the requests to cold endpoints over all gateways.

    Each gateway has whole units of an endpoint's tolerance per second, by its place among those
    present; endpoints differ in who gets the remainder.
    """

    # Part of the bound that is used: a gateway that comes or goes shifts the others' places.
    USED = 0.85
    WINDOW = clock.seconds(1)

    def __init__(self, overage: float, slack: float) -> None:
        self._overage = overage
        self._slack = slack
        self._sent_by_id: dict[str, collections.deque[datetime.timedelta]] = {}
        self.position = 0
        self.count = 0

    def units(self, endpoint: str, rate: float) -> int:
        """Returns the requests that this gateway may send a cold endpoint in a second."""
        if not self.count:
            return 0
        bound = int((rate * self._overage + self._slack) * self.USED)
        offset = int(_uniform("cold", endpoint) * self.count)
        extra = (self.position + offset) % self.count < bound % self.count
        return bound // self.count + extra

    def try_acquire(self, endpoint: str, rate: float, now: datetime.timedelta) -> bool:
        """Notes a request to a cold endpoint; returns whether it may be sent."""
        sent = self._sent_by_id.setdefault(endpoint, collections.deque())
        while sent and now - sent[0] > self.WINDOW:
            sent.popleft()
        if len(sent) >= self.units(endpoint, rate):
            return False
        sent.append(now)
        return True
