"""Chooses the endpoint for a request from what one gateway knows, or says why there is none."""

from __future__ import annotations

import collections.abc
import dataclasses
import datetime
import enum

from flamingotiller import clock
from flamingotiller.fleet import model, notices, placement, spill


class Obstacle(enum.Enum):
    """Why no endpoint was chosen; of full and cold candidates together, ``COLD`` is named."""

    NO_ENDPOINT = "no endpoint"
    AVOIDED = "all avoided after failures"
    FULL = "preferred endpoints full"
    COLD = "share of a cold endpoint used up"
    SPILL_LIMIT = "limit on the change of region"
    PAUSED = "all usable endpoints have asked for a pause"
    ENDPOINT_LIMIT = "limit that the endpoint has named used up"


@dataclasses.dataclass(frozen=True)
class Choice:
    """Result of a choice: an endpoint, or what prevented it.

    Attributes:
        endpoint: The endpoint, None if there is none.
        obstacle: What prevented a choice, None if there is an endpoint.
        paused_until: With ``PAUSED``, the earliest end of the endpoints' pauses.
    """

    endpoint: model.Endpoint | None
    obstacle: Obstacle | None = None
    paused_until: datetime.timedelta | None = None


class Chooser:
    """One gateway's choice of endpoints.

    Args:
        region: The gateway's region.
        region_by_zone: Region of every availability zone.
        cold_start_limiter: Limit on requests to cold endpoints.
        spill_limiter: Limit on the change in the share of spilled requests.

    Attributes:
        health_by_id: Observed health of the endpoints in the view.
    """

    def __init__(
        self,
        region: str,
        region_by_zone: collections.abc.Mapping[str, str],
        cold_start_limiter: placement.ColdStartLimiter,
        spill_limiter: spill.SpillLimiter,
    ) -> None:
        self.health_by_id: dict[str, placement.EndpointHealth] = {}
        self._notices = notices.Notices()
        self._placement = placement.Placement(region, region_by_zone, self._notices)
        self._cold_start_limiter = cold_start_limiter
        self._spill_limiter = spill_limiter
        self._error_rate_by_service: dict[str, placement.ServiceErrorRate] = {}

    def set_place(self, position: int, count: int, now: datetime.timedelta) -> None:
        """Sets the gateway's position among those that may be sending, and their number."""
        self._cold_start_limiter.shares.set_place(position, count, now)

    @property
    def gateway_count(self) -> int:
        """Number of gateways that may be sending, 0 while unknown."""
        return self._cold_start_limiter.shares.count

    def on_view_changed(
        self,
        before: collections.abc.Mapping[str, model.Endpoint],
        after: collections.abc.Mapping[str, model.Endpoint],
        now: datetime.timedelta,
    ) -> None:
        """Follows a change of the view's endpoints, by id."""
        self._placement.invalidate()
        for id_, endpoint in after.items():
            if before.get(id_) != endpoint:
                self._update_endpoint(before.get(id_), endpoint, now)
        for id_ in before.keys() - after.keys():
            self.health_by_id.pop(id_, None)

    def _update_endpoint(
        self, before: model.Endpoint | None, endpoint: model.Endpoint, now: datetime.timedelta
    ) -> None:
        """Resets what was observed of a restarted endpoint, and records until when it is cold."""
        if before is None or before.born_ms != endpoint.born_ms:
            self.health_by_id[endpoint.id] = placement.EndpointHealth()
        health = self.health_by_id.setdefault(endpoint.id, placement.EndpointHealth())
        health.cold_until = now + clock.seconds(endpoint.cold_s)

    def record_leaving(self, endpoint: model.Endpoint, now: datetime.timedelta) -> bool:
        """Sends nothing more to a lifetime of an endpoint; returns whether that is new."""
        if not self._notices.record_leaving(endpoint):
            return False
        self._placement.invalidate()
        self.suspend_spill_limit(now)
        return True

    def record_pause(
        self, endpoint: model.Endpoint, pause: datetime.timedelta, now: datetime.timedelta
    ) -> bool:
        """Sends an endpoint nothing during a pause; returns whether it is longer than before."""
        if not self._notices.record_pause(endpoint, now + pause):
            return False
        self.suspend_spill_limit(now)
        return True

    def forget_failures(self) -> None:
        """Lets all endpoints be tried again."""
        for health in self.health_by_id.values():
            health.forget_failures()

    def suspend_spill_limit(self, now: datetime.timedelta) -> None:
        """Lets any number of requests change region for a while, as endpoints have changed."""
        self._spill_limiter.suspend(now)

    def error_rate_of(self, service: str) -> placement.ServiceErrorRate:
        """Returns the error rate of a service's endpoints together."""
        return self._error_rate_by_service.setdefault(service, placement.ServiceErrorRate())

    def choose(
        self,
        view: model.View,
        service: str,
        object_id: str,
        rank: int,
        regions: frozenset[str],
        excluded: collections.abc.Collection[str],
        limited: collections.abc.Collection[str],
        now: datetime.timedelta,
    ) -> Choice:
        """Returns the endpoint to try next.

        Args:
            view: The fleet's state.
            service: Service that handles the request.
            object_id: Placement key.
            rank: Priority, 0 is the highest.
            regions: Regions that may serve, empty for all.
            excluded: Endpoints tried before.
            limited: Endpoints that take no more requests at present by a limit of their own.
            now: Monotonic time.
        """
        order = self._placement.order(view, service, object_id, regions)
        preferred = self._placement.preferred(order, self.health_by_id, excluded, now)
        if not preferred:
            return self._without_candidates(order, now)
        candidates = preferred
        spill_limited = False
        if len(preferred) > 1 and not excluded:
            if self._spill_limiter.must_spill(now):
                candidates = [*preferred[1:], preferred[0]]
            elif not self._spill_limiter.may_spill(now):
                candidates, spill_limited = preferred[:1], True
        choice = self._first_with_capacity(view, service, candidates, rank, limited, now)
        if choice.endpoint is not None:
            self._spill_limiter.record(choice.endpoint is not preferred[0], now)
        elif spill_limited:
            return Choice(None, Obstacle.SPILL_LIMIT)
        return choice

    def _without_candidates(self, order: list[model.Endpoint], now: datetime.timedelta) -> Choice:
        ends = [self._notices.paused_until(endpoint) for endpoint in order]
        paused_until = min((end for end in ends if end > now), default=None)
        if paused_until is not None:
            return Choice(None, Obstacle.PAUSED, paused_until)
        return Choice(None, Obstacle.AVOIDED if order else Obstacle.NO_ENDPOINT)

    def _first_with_capacity(
        self,
        view: model.View,
        service: str,
        candidates: list[model.Endpoint],
        rank: int,
        limited: collections.abc.Collection[str],
        now: datetime.timedelta,
    ) -> Choice:
        """Returns the first endpoint with capacity; a cold one is charged with the request."""
        record = view.service_by_name.get(service)
        rate = record.cold_rate if record is not None else 0.0
        obstacle = Obstacle.FULL
        for endpoint in candidates:
            if endpoint.id in limited:
                obstacle = Obstacle.ENDPOINT_LIMIT
                continue
            health = self.health_by_id[endpoint.id]
            room = endpoint.slots * placement.utilisation_limit(rank)
            room *= self._notices.share_of_room(endpoint, now)
            if health.estimated_load(now) >= room:
                continue
            cold = now < health.cold_until and rate > 0
            if cold and not self._cold_start_limiter.try_acquire(endpoint.id, rate, now):
                obstacle = Obstacle.COLD
                continue
            return Choice(endpoint)
        return Choice(None, obstacle)
