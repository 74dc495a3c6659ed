"""The program of edge instances: takes callers' requests and leads each to an endpoint, or refuses
it at once and truthfully."""

from __future__ import annotations

import asyncio
import collections.abc
import contextlib
import dataclasses
import datetime
import random
import typing

from flamingotiller import (
    client,
    clock,
    dispatch,
    errors,
    events,
    metrics,
    server,
    supervisor,
)
from flamingotiller.fleet import (
    accounting,
    follower,
    forwarding,
    model,
    placement,
    presence,
    quota,
    spill,
)

# A key is confirmed as of the moment at which a poll was sent, before the request that it admits;
# the margin is for clocks that differ in pace.
REVOCATION_MARGIN = clock.seconds(0.5)
# A key or route that is not known is refused for good only on a view of this age at most.
CERTAIN_AGE = clock.seconds(1.5)
ENDPOINT_CONNECT_TIMEOUT = clock.seconds(0.3)
DEFAULT_DEADLINE = clock.seconds(30)
BUFFERED_BODY_BYTES = 256 * 1024
# Second sends as a part of first ones; well inside the operator's bound, which counts all gateways.
RETRY_FRACTION = 0.15
# Second sends at rest: of one gateway at most, of all together, and at least one of each.
RETRY_RESERVE = 4.0
RETRY_RESERVE_OF_ALL = 96.0
LEAST_RETRY_RESERVE = 1.0
# A caller that is told to come back finds room after about the time of some runs; the spread keeps
# those who were refused together from coming back together.
RETRY_AFTER_OBJECTIVES = (0.5, 1.5)
UNKNOWN_RETRY_AFTER_S = 0.5
# Tokens come in steadily; callers beyond their organisation's rate are spread over some draws.
OVER_RATE_RETRY_AFTER_S = (0.3, 0.9)
# With knowledge of this age, more than two ordinary polls bring, no draw is tried any more.
RESERVE_AGE = clock.seconds(1.3)
# Draws that one request waits for: others may take what the first has brought.
MOST_DRAWS = 3
DRAW_TIMEOUT = clock.seconds(0.3)  # longer than a steward's own draw at the leader
# A stopping gateway goes on for callers that hold an older look-up's answer, then finishes.
LINGER = clock.seconds(3.5)
FINISH = clock.seconds(2)


@dataclasses.dataclass(frozen=True)
class GatewaySettings:
    """Settings of a gateway.

    Attributes:
        name: Name of the instance.
        zone: Its availability zone.
        region: Its region.
        address: Where callers connect, ``IP:port``.
        peer_port: Port of the system's own calls, the same on all instances.
        seeds: Addresses of three stewards, ``IP:peer_port``.
        region_by_zone: Every availability zone.
        revocation_bound: Time after which a withdrawn key must not work.
        cold_overage: Factor on a cold endpoint's tolerance that may be used.
        cold_slack: Requests per second beyond that.
        most_shift: Part of a region's requests that may change region between two windows.
    """

    name: str
    zone: str
    region: str
    address: str
    peer_port: int
    seeds: tuple[str, ...]
    region_by_zone: dict[str, str]
    revocation_bound: datetime.timedelta
    cold_overage: float
    cold_slack: float
    most_shift: float


class Gateway:
    """One gateway.

    Args:
        config: Its settings.
        dialect: Names of headers.
        clk: Source of time.
        rng: Source of the spread of returning callers.
    """

    def __init__(
        self,
        config: GatewaySettings,
        dialect: forwarding.Dialect,
        clk: clock.Clock,
        rng: random.Random,
    ) -> None:
        self.config = config
        self.clock = clk
        self.metrics = metrics.Metrics()
        self.view = model.View()
        self.revision = 0
        self.stopping = False
        self.listening = ("", 0)
        self._dialect = dialect
        self._rng = rng
        self._stack = contextlib.AsyncExitStack()
        self._supervisor = supervisor.Supervisor()
        self._peer_pool = client.ConnectionPool()
        self._endpoint_pool = client.ConnectionPool(ENDPOINT_CONNECT_TIMEOUT)
        self._server = server.Server(self._serve, on_fault=_note_fault)
        self._quota = quota.Quota(clk.monotonic())
        self._placement = placement.Placement(config.region, config.region_by_zone)
        self._cold_gate = placement.ColdGate(config.cold_overage, config.cold_slack)
        self._governor = spill.Governor(config.most_shift, rng.random())
        self._splitter_by_route: dict[str, placement.Splitter] = {}
        self._conduct_by_id: dict[str, placement.Conduct] = {}
        self._error_rate_by_service: dict[str, placement.ErrorRate] = {}
        self._budget_by_service: dict[str, dispatch.RetryBudget] = {}
        self._draw_by_organisation: dict[str, asyncio.Future[None]] = {}
        self._peers = client.Client(self._peer_pool)
        self._zone_by_steward: dict[str, str] = {}
        self._polled: dict[str, accounting.Draw] = {}
        self._follower = follower.Follower(
            self._peers, config.seeds, clk, self._poll, self._take, self._distance, self._lose
        )

    async def start(self) -> None:
        """Listens for callers and starts to follow the leader.

        Raises:
            errors.SettingsError: The address cannot be bound.
        """
        async with contextlib.AsyncExitStack() as stack:
            stack.push_async_callback(self._peer_pool.close)
            stack.push_async_callback(self._endpoint_pool.close)
            host, _, port = self.config.address.rpartition(":")
            self.listening = (host, await self._server.start(host, int(port)))
            stack.push_async_callback(self._supervisor.close)
            stack.push_async_callback(self._server.close)
            self._supervisor.spawn("follower", self._follower.run)
            self._stack = stack.pop_all()

    def reconfigure(self, config: GatewaySettings) -> None:
        """Takes over settings that may change while it runs: the seeds."""
        self._follower.reseed(config.seeds)

    async def stop(self) -> None:
        """Stops gracefully: callers are sent away first, then what is under way is finished."""
        self.stopping = True
        events.emit(events.STOP_BEGAN, signal="TERM", in_flight=self._server.request_count)
        self._server.say_close()
        await asyncio.sleep(LINGER.total_seconds())
        await self._server.close(FINISH)
        left = self._server.request_count
        await self._stack.aclose()
        events.emit(events.STOP_ENDED, in_flight=left)

    async def abort(self) -> None:
        """Ends at once, as when the process dies."""
        self._server.abort()
        await self._stack.aclose()

    def proof_age(self) -> datetime.timedelta:
        """Returns how long ago the view was last proved the newest."""
        return self._follower.age(self.clock.monotonic())

    def ready(self) -> bool:
        """Returns whether new callers are welcome: a configuration is known, no stop has begun."""
        return bool(self.view.config_version) and not self.stopping

    # Following the leader

    def _poll(self) -> dict[str, typing.Any]:
        gateway = presence.Gateway(
            self.config.name,
            self.config.address,
            self.config.zone,
            self.config.region,
            self.ready(),
        )
        if self.proof_age() > self.config.revocation_bound - REVOCATION_MARGIN:
            # Branches count on what a gateway has only for as long as it may use it.
            self._quota.drop()
        draws = self._polled = self._quota.draws(self.config.name, self.clock.monotonic())
        return {
            "gateway": dataclasses.asdict(gateway),
            "revision": self.revision,
            "draws": {name: dataclasses.astuple(draw) for name, draw in draws.items()},
        }

    def _lose(self) -> None:
        for organisation, draw in self._polled.items():
            self._quota.note_lost(organisation, draw)
        self._polled = {}

    def _distance(self, steward: str) -> int:
        """Returns how far a steward is: 0 in the own zone, 1 in the region, 2 elsewhere."""
        zone = self._zone_by_steward.get(steward, "")
        if zone == self.config.zone:
            return 0
        return 1 if self.config.region_by_zone.get(zone) == self.config.region else 2

    def _take(self, answer: dict[str, typing.Any], sent: datetime.timedelta) -> None:
        now = self.clock.monotonic()
        self._zone_by_steward = answer["zones"]
        if answer["revision"] < self.revision:
            events.emit(
                events.VERSION_REFUSED,
                offered=answer["revision"],
                held=self.revision,
                peer=self._follower.source,
            )
            return
        if answer["items"] or answer["full"]:
            self._take_items(answer, now)
        self.revision = answer["revision"]
        for organisation, grant in answer["grants"].items():
            self._quota.receive(organisation, accounting.Grant(*grant))
        place = presence.Place(**answer["place"])
        self._cold_gate.position, self._cold_gate.count = place.position, place.count
        for budget in self._budget_by_service.values():
            budget.bound(self._retry_reserve())

    def _retry_reserve(self) -> float:
        part = RETRY_RESERVE_OF_ALL / max(1, self._cold_gate.count)
        return min(RETRY_RESERVE, max(LEAST_RETRY_RESERVE, part))

    def _take_items(self, answer: dict[str, typing.Any], now: datetime.timedelta) -> None:
        items = answer["items"]
        before = dict(self.view.endpoint_by_id)
        if answer["full"]:
            self.view.replace(items)
        else:
            self.view.update(items)
        self._placement.forget()
        for id_, endpoint in self.view.endpoint_by_id.items():
            if before.get(id_) != endpoint:
                self._meet(before.get(id_), endpoint, now)
        for id_ in before.keys() - self.view.endpoint_by_id.keys():
            self._conduct_by_id.pop(id_, None)
        if any(key.startswith((model.EVACUATION, model.ENDPOINT)) for key in items):
            self._governor.relax(now)
        self._apply_limits()
        events.emit(
            events.STATE_IN_FORCE,
            revision=answer["revision"],
            config_version=self.view.config_version,
            full=answer["full"],
            changed=sorted(k for k, v in items.items() if v is not None)[:20],
            removed=sorted(k for k, v in items.items() if v is None)[:20],
            age_s=self._age_s(now),
        )

    def _meet(
        self, before: model.Endpoint | None, endpoint: model.Endpoint, now: datetime.timedelta
    ) -> None:
        """Starts afresh with a new lifetime, and notes how long the endpoint is cold."""
        if before is None or before.born_ms != endpoint.born_ms:
            self._conduct_by_id[endpoint.id] = placement.Conduct()
        conduct = self._conduct_by_id.setdefault(endpoint.id, placement.Conduct())
        conduct.cold_until = now + clock.seconds(endpoint.cold_s)

    def _apply_limits(self) -> None:
        limits = self.view.limits
        self._server.bounds = server.Bounds(
            head_timeout=clock.seconds(max(limits.head_timeout_s, limits.idle_timeout_s)),
            idle_timeout=clock.seconds(limits.idle_timeout_s),
            read_timeout=clock.seconds(limits.head_timeout_s),
            body_bytes=limits.body_bytes,
        )

    def _age_s(self, now: datetime.timedelta) -> float:
        return round(self._follower.age(now).total_seconds(), 3)

    # The way of a request

    async def _serve(self, request: server.Request, reply: server.Reply) -> None:
        arrived = self.clock.monotonic() - clock.seconds(request.waited_s)
        trace = _Trace(request.header(self._dialect.request_id.decode()) or "", arrived)
        arrival = dispatch.Arrival()
        try:
            await self._lead(request, reply, trace, arrival)
        except errors.RefusedError as error:
            if reply.started:
                raise
            reply.close_after = reply.close_after or not request.body_ended
            await self._refuse(reply, error, trace, arrival)
        except asyncio.CancelledError:
            events.emit(
                events.CALLER_LEFT,
                request_id=trace.request_id,
                endpoint=trace.endpoint,
                ms=self._ms_since(arrived),
            )
            raise

    async def _lead(
        self,
        request: server.Request,
        reply: server.Reply,
        trace: _Trace,
        arrival: dispatch.Arrival,
    ) -> None:
        route = self._find_route(request, trace)
        organisation = self._authorise(request, route, trace)
        job = self._make_job(request, route, organisation, trace)
        await self._read_body(job)
        await self._admit(job)
        try:
            answer = await self._run(job, arrival, reply, trace)
        except BaseException:
            if organisation is not None and arrival.outcome is dispatch.Outcome.NOT_RUN:
                self._quota.refund(organisation.name)
            raise
        if answer is not None:
            headers = forwarding.to_caller(answer, self._dialect.request_id, job.request_id)
            await reply.send(answer.status, answer.body, headers)
        self._note_served(job, reply.status, trace)

    def _find_route(self, request: server.Request, trace: _Trace) -> model.Route:
        if not self.view.config_version:
            raise _refused(503, "no-configuration", retry_after_s=UNKNOWN_RETRY_AFTER_S)
        host = (request.header("host") or "").rpartition(":")[0] or request.header("host") or ""
        route = self.view.match(host.lower(), request.raw_path)
        if route is None:
            raise self._unknown("no-route", 404)
        trace.route = route.name
        return route

    def _unknown(self, code: str, status: int) -> errors.RefusedError:
        """Refuses what is not known: for good when the view is new, else until it is."""
        if self.proof_age() > CERTAIN_AGE:
            return _refused(503, f"{code}-yet", retry_after_s=UNKNOWN_RETRY_AFTER_S)
        return _refused(status, code)

    def _authorise(
        self, request: server.Request, route: model.Route, trace: _Trace
    ) -> model.Organisation | None:
        if route.open or not self.view.organisation_by_name:
            return None
        if self.proof_age() > self.config.revocation_bound - REVOCATION_MARGIN:
            raise _refused(503, "not-confirmed", retry_after_s=UNKNOWN_RETRY_AFTER_S)
        key = request.header(self._dialect.key.decode())
        organisation = self.view.organisation_of_key(key) if key else None
        if organisation is None:
            raise self._unknown("key-unknown" if key else "key-missing", 401)
        trace.organisation = organisation.name
        return organisation

    def _make_job(
        self,
        request: server.Request,
        route: model.Route,
        organisation: model.Organisation | None,
        trace: _Trace,
    ) -> forwarding.Job:
        splitter = self._splitter_by_route.setdefault(route.name, placement.Splitter())
        service = trace.service = splitter.next(route.parts)
        left = _deadline(request, self._dialect.deadline_ms.decode())
        limit = trace.arrived + min(left, clock.seconds(route.timeout_s))
        object_ = self._dialect.parse_object(request.headers) if route.sticky else ""
        rank = organisation.rank if organisation is not None else route.rank
        return forwarding.Job(
            request,
            trace.request_id,
            route,
            service,
            organisation,
            object_ or trace.request_id,
            rank,
            trace.arrived,
            limit,
        )

    async def _read_body(self, job: forwarding.Job) -> None:
        parts: list[bytes] = []
        size = 0
        while size <= BUFFERED_BODY_BYTES:
            try:
                chunk = await job.request.next_chunk()
            except errors.LimitExceededError as error:
                raise _refused(error.status, "body") from error
            if not chunk:
                break
            parts.append(chunk)
            size += len(chunk)
        job.body, job.body_ended = b"".join(parts), job.request.body_ended

    async def _admit(self, job: forwarding.Job) -> None:
        """Takes a token of the organisation, from the branch if there is none in stock."""
        organisation = job.organisation
        if organisation is None or self._quota.admit(organisation):
            return
        now = self.clock.monotonic()
        for _ in range(MOST_DRAWS):
            if self.proof_age() > RESERVE_AGE or not self._quota.may_draw(organisation.name, now):
                break
            await self._draw(organisation.name)
            if self._quota.take_drawn(organisation.name):
                return
            now = self.clock.monotonic()
        if self._quota.take_reserved(organisation.name):
            return
        wait = self._rng.uniform(*OVER_RATE_RETRY_AFTER_S)
        cause = errors.LimitExceededError(
            self._quota.describe(organisation.name), status=429, step="admit"
        )
        raise _refused(429, "over-rate", cause, retry_after_s=wait)

    async def _draw(self, organisation: str) -> None:
        """Asks the branch for tokens; requests that need some meanwhile wait for one answer."""
        task = self._draw_by_organisation.get(organisation)
        if task is None:
            task = asyncio.ensure_future(self._ask_tokens(organisation))
            self._draw_by_organisation[organisation] = task
            task.add_done_callback(lambda _: self._draw_by_organisation.pop(organisation, None))
        with self._quota.waiting(organisation):
            await asyncio.shield(task)

    async def _ask_tokens(self, organisation: str) -> None:
        steward = self._follower.source
        draw = self._quota.draw(self.config.name, organisation)
        body = {"organisation": organisation, "draw": dataclasses.astuple(draw)}
        grant = accounting.Grant(0, 0)
        try:
            if steward:
                answer = await self._peers.call(
                    steward, "POST", "/v1/draw", body, timeout=DRAW_TIMEOUT
                )
                document = client.raise_for_status(answer, step="draw", peer=steward)
                grant = accounting.Grant(*document["grant"])
                self._quota.receive(organisation, grant)
        except errors.FlamingotillerError as error:
            self._quota.note_lost(organisation, draw)
            events.emit(
                events.DRAW_FAILED, organisation=organisation, peer=steward, error=str(error)
            )
        if not grant.tokens:
            self._quota.back_off(organisation, self.clock.monotonic())

    async def _run(
        self,
        job: forwarding.Job,
        arrival: dispatch.Arrival,
        reply: server.Reply,
        trace: _Trace,
    ) -> forwarding.Answer | None:
        budget = self._budget_by_service.setdefault(
            job.service, dispatch.RetryBudget(RETRY_FRACTION, self._retry_reserve())
        )
        budget.on_first_try()
        excluded: list[str] = []
        failure: errors.FlamingotillerError | None = None
        # An endpoint's error, passed on unless another endpoint does better.
        held: forwarding.Answer | None = None
        while True:
            endpoint = self._choose(job, excluded)
            if endpoint is None:
                if held is not None:
                    return held
                raise self._no_endpoint(job, arrival, failure)
            excluded.append(endpoint.id)
            trace.endpoint, trace.tries = endpoint.id, len(excluded)
            try:
                answer = await self._try(job, arrival, reply, endpoint)
            except (errors.TransportError, dispatch.ShedError) as error:
                if reply.started:
                    raise
                failure = error
            else:
                if not _is_error(answer):
                    return answer
                held = answer
            may_retry = (
                len(excluded) < job.route.max_attempts
                and job.body_ended
                and arrival.may_retry(job.route.idempotent)
                and self.clock.monotonic() < job.limit
                and budget.take()
            )
            if may_retry:
                continue
            if held is not None:
                return held
            raise self._no_endpoint(job, arrival, failure)

    def _choose(
        self, job: forwarding.Job, excluded: collections.abc.Collection[str]
    ) -> model.Endpoint | None:
        """Returns the endpoint to try, None when those that may serve the object are full."""
        now = self.clock.monotonic()
        order = self._placement.order(self.view, job.service, job.object, self._regions(job))
        homes = self._placement.homes(order, self._conduct_by_id, excluded, now)
        bound = len(homes) > 1 and not excluded
        if bound and self._governor.must_leave(now):
            chosen = self._with_room(job, [*homes[1:], homes[0]], now)
        elif bound and not self._governor.may_leave(now):
            chosen = self._with_room(job, homes[:1], now)
        else:
            chosen = self._with_room(job, homes, now)
        if chosen is not None:
            self._governor.note(chosen is not homes[0], now)
        return chosen

    def _with_room(
        self, job: forwarding.Job, homes: list[model.Endpoint], now: datetime.timedelta
    ) -> model.Endpoint | None:
        """Returns the first endpoint that has room for a job, and takes a cold one's unit."""
        service = self.view.service_by_name.get(job.service)
        rate = service.cold_rate if service is not None else 0.0
        for endpoint in homes:
            conduct = self._conduct_by_id[endpoint.id]
            if conduct.occupied(now) >= endpoint.slots * placement.fraction(job.rank):
                continue
            cold = now < conduct.cold_until and rate > 0
            if cold and not self._cold_gate.take(endpoint.id, rate, now):
                continue
            return endpoint
        return None

    def _regions(self, job: forwarding.Job) -> frozenset[str]:
        """Returns the regions that may serve a job, empty for all."""
        own = job.organisation.regions if job.organisation is not None else frozenset()
        if own and job.route.regions:
            return own & job.route.regions or frozenset({"-"})
        return own or job.route.regions

    def _no_endpoint(
        self,
        job: forwarding.Job,
        arrival: dispatch.Arrival,
        failure: errors.FlamingotillerError | None,
    ) -> errors.RefusedError:
        """Returns the refusal of a job that no endpoint serves; it says truthfully if it ran."""
        if arrival.outcome is dispatch.Outcome.UNKNOWN:
            late = isinstance(failure, errors.ExchangeTimeoutError)
            return _refused(504 if late else 502, "timeout" if late else "endpoint-failed", failure)
        code = "full" if failure is None else "not-run"
        low, high = RETRY_AFTER_OBJECTIVES
        wait = job.route.objective_s * self._rng.uniform(low, high)
        return _refused(503, code, failure, retry_after_s=wait)

    async def _try(
        self,
        job: forwarding.Job,
        arrival: dispatch.Arrival,
        reply: server.Reply,
        endpoint: model.Endpoint,
    ) -> forwarding.Answer | None:
        conduct = self._conduct_by_id[endpoint.id]
        attempt = forwarding.Try(
            self._endpoint_pool, self._dialect, self.clock, job, arrival, endpoint
        )
        began = self.clock.monotonic()
        conduct.in_flight += 1
        try:
            answer = await attempt.run(reply)
        except (errors.TransportError, dispatch.ShedError) as error:
            self._note_failed_try(job, endpoint, conduct, error, began)
            raise
        finally:
            conduct.in_flight -= 1
            if attempt.load is not None:
                conduct.on_load(attempt.load, self.clock.monotonic())
        failed = _is_error(answer)
        error_rate = self._error_rate(job.service)
        error_rate.note(failed)
        if failed:
            if conduct.on_error(self.clock.monotonic(), error_rate.usual):
                self._note_avoided(endpoint, conduct, "errors")
        elif conduct.on_success():
            events.emit(events.ENDPOINT_TRIED_AGAIN, endpoint=endpoint.id, service=endpoint.service)
        return answer

    def _note_failed_try(
        self,
        job: forwarding.Job,
        endpoint: model.Endpoint,
        conduct: placement.Conduct,
        error: errors.FlamingotillerError,
        began: datetime.timedelta,
    ) -> None:
        now = self.clock.monotonic()
        load = conduct.load
        events.emit(
            events.TRY_FAILED,
            request_id=job.request_id,
            endpoint=endpoint.id,
            kind=type(error).__name__,
            error=error.message,
            sent_ms=self._ms_since(began),
            left_ms=round((job.limit - now) / clock.MILLISECOND),
            load=f"{load.running}+{load.waiting}" if load else "",
            load_age_s=round((now - conduct.load_at).total_seconds(), 3) if load else "",
        )
        if isinstance(error, forwarding.MisdirectedError):
            conduct.on_failure(now)
            avoided = True
        elif isinstance(error, dispatch.ShedError):
            # A full endpoint may shed; one that has room does so for another reason.
            has_room = load is not None and load.running + load.waiting < endpoint.slots
            error_rate = self._error_rate(job.service)
            error_rate.note(has_room)
            avoided = has_room and conduct.on_error(now, error_rate.usual)
        elif isinstance(error, errors.ExchangeTimeoutError):
            avoided = conduct.on_timeout(now)
        else:
            conduct.on_failure(now)
            avoided = True
        if avoided:
            self._note_avoided(endpoint, conduct, type(error).__name__)

    def _error_rate(self, service: str) -> placement.ErrorRate:
        return self._error_rate_by_service.setdefault(service, placement.ErrorRate())

    def _note_avoided(
        self, endpoint: model.Endpoint, conduct: placement.Conduct, reason: str
    ) -> None:
        self._governor.relax(self.clock.monotonic())
        self._endpoint_pool.forget(endpoint.address)
        events.emit(
            events.ENDPOINT_AVOIDED,
            endpoint=endpoint.id,
            service=endpoint.service,
            reason=reason,
            failures=conduct.failures,
            until_s=round(conduct.avoid_until.total_seconds(), 3),
        )

    # What is said of requests

    async def _refuse(
        self,
        reply: server.Reply,
        error: errors.RefusedError,
        trace: _Trace,
        arrival: dispatch.Arrival,
    ) -> None:
        now = self.clock.monotonic()
        fields = {
            "request_id": trace.request_id,
            "route": trace.route,
            "service": trace.service,
            "organisation": trace.organisation,
            "status": error.status,
            "code": error.code,
            "detail": str(error.__cause__ or ""),
            "ms": self._ms_since(trace.arrived),
            "tries": trace.tries,
            "revision": self.revision,
            "age_s": self._age_s(now),
        }
        if arrival.outcome is dispatch.Outcome.NOT_RUN:
            events.emit(events.REQUEST_REFUSED, retry_after_s=error.retry_after_s, **fields)
        else:
            events.emit(events.REQUEST_FAILED, **fields)
        self.metrics.count(
            "flamingotiller_refusals_total",
            organisation=trace.organisation,
            code=error.code,
            outcome=arrival.outcome.value,
        )
        headers = [(self._dialect.request_id, trace.request_id.encode("latin-1"))]
        if error.retry_after_s is not None:
            headers.append((b"retry-after", f"{error.retry_after_s:.3f}".encode()))
        body = {"error": error.code, "outcome": arrival.outcome.value}
        await reply.json(error.status, body, headers)

    def _note_served(self, job: forwarding.Job, status: int, trace: _Trace) -> None:
        now = self.clock.monotonic()
        took = now - job.arrived
        self.metrics.count(
            "flamingotiller_requests_total", organisation=trace.organisation, result=str(status)
        )
        self.metrics.observe("flamingotiller_request_seconds", took.total_seconds())
        events.emit(
            events.REQUEST_SERVED,
            request_id=job.request_id,
            route=job.route.name,
            service=job.service,
            endpoint=trace.endpoint,
            object=job.object,
            organisation=trace.organisation,
            status=status,
            ms=self._ms_since(job.arrived),
            tries=trace.tries,
            revision=self.revision,
            age_s=self._age_s(now),
        )

    def _ms_since(self, at: datetime.timedelta) -> float:
        return round((self.clock.monotonic() - at) / clock.MILLISECOND, 1)


@dataclasses.dataclass
class _Trace:
    """What is known of a request so far, for its log lines."""

    request_id: str
    arrived: datetime.timedelta
    route: str = ""
    service: str = ""
    organisation: str = ""
    endpoint: str = ""
    tries: int = 0


def _is_error(answer: forwarding.Answer | None) -> bool:
    """Returns whether an answer tells of an endpoint's own failure; long ones are passed on."""
    return answer is not None and answer.status >= 500


def _refused(
    status: int,
    code: str,
    cause: BaseException | None = None,
    *,
    retry_after_s: float | None = None,
) -> errors.RefusedError:
    error = errors.RefusedError(
        code, status=status, code=code, retry_after_s=retry_after_s, step="lead"
    )
    error.__cause__ = cause
    return error


def _deadline(request: server.Request, header: str) -> datetime.timedelta:
    """Returns how long the caller waits; what cannot be read counts as not said."""
    value = request.header(header) or ""
    if not value.isdigit():
        return DEFAULT_DEADLINE
    return datetime.timedelta(milliseconds=min(int(value), 86_400_000))


def _note_fault(error: BaseException, peer: str) -> None:
    events.emit(events.HANDLER_FAULT, peer=peer, error=repr(error))
