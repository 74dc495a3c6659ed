"""The gateway that runs on edge instances: forwards callers' requests to endpoints.

A request that cannot be served is refused at once, and the refusal says whether it may have run."""

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
    planned_stop,
    quarantine,
    server,
    supervisor,
    wire,
)
from flamingotiller.fleet import (
    accounting,
    chooser,
    crash_reports,
    endpoint_limits,
    follower,
    forwarding,
    model,
    notices,
    placement,
    presence,
    quota,
    reachability,
    relaying,
    returning,
    spill,
    suspects,
)

# Subtracted from the revocation bound to allow for clocks that run at different rates. Nothing else
# has to be allowed for: the view's age counts from the moment at which the poll was sent.
REVOCATION_MARGIN = clock.seconds(0.5)
# An unknown key or route is rejected permanently (401 or 404) only if the view is at most this old;
# with an older view the caller is told to try again.
MAX_VIEW_AGE_FOR_REJECTION = clock.seconds(1.5)
ENDPOINT_CONNECT_TIMEOUT = clock.seconds(0.3)
DEFAULT_CALLER_TIMEOUT = clock.seconds(30)
MAX_DEADLINE_DIGITS = 9
# Longer request bodies are streamed to the endpoint, and such requests are not retried.
MAX_BUFFERED_BODY_BYTES = 256 * 1024
# Part of the operator's bound on retries that is used: of the retries per request, and of those
# beyond, which all gateways share. The rest is for requests that are counted in another window.
RETRY_RATIO_FACTOR = 0.95
RETRY_SLACK_FACTOR = 0.85
# Least retries that a gateway may make at once after a quiet period, and the most after its start.
MIN_RETRY_RESERVE = 1.0
STALE_VIEW_RETRY_AFTER_S = 0.5
# Range of Retry-After for callers over their organisation's rate. Tokens arrive at a steady rate,
# so the range spreads the callers over several draws.
OVER_RATE_RETRY_AFTER_S = (0.3, 0.9)
# No tokens are drawn if the view is older than this: the branch would grant none.
MAX_VIEW_AGE_FOR_DRAW = accounting.BRANCH_TOKEN_LIFETIME
# More than one, because other requests may take the tokens that the first draw brings.
MAX_DRAWS_PER_REQUEST = 3
DRAW_TIMEOUT = clock.seconds(0.3)  # longer than a steward's own draw from the leader
GRANT_TIMEOUT = clock.seconds(0.3)  # as for a draw: the steward asks the leader
# After a draw or a question for a grant that failed, requests are decided without it for this long.
UNREACHABLE_STEWARD_PAUSE = clock.seconds(0.5)
CRASH_CALL_TIMEOUT = clock.seconds(0.35)  # longer than the leader's time to commit
# Retry-After while another suspect is on trial, which takes about one request.
SUSPECT_RETRY_AFTER_S = 1.0
# Other gateways that one request is relayed to, if the ones before did not take it.
MAX_RELAY_ATTEMPTS = 3
NO_PATH_RETRY_AFTER_S = 0.5
# Added to the end of endpoints' pauses, so that callers do not return all at once.
PAUSE_SPREAD_S = (0.05, notices.RETURN_TIME.total_seconds())
# Codes of refusals of requests for which no endpoint was tried.
CODE_BY_OBSTACLE = {
    chooser.Obstacle.NO_ENDPOINT: "no-endpoint",
    chooser.Obstacle.AVOIDED: "avoided",
    chooser.Obstacle.FULL: "full",
    chooser.Obstacle.COLD: "cold",
    chooser.Obstacle.SPILL_LIMIT: "region-limit",
    chooser.Obstacle.ENDPOINT_LIMIT: "endpoint-limit",
    chooser.Obstacle.PAUSED: "paused",
}
# A stopping gateway keeps serving for the delay, because callers may still use an earlier look-up
# that names it. After that, requests in flight have the rest of the grace period to finish, but for
# the margin, in which the process ends.
SHUTDOWN_DELAY = clock.seconds(3.5)
SHUTDOWN_MARGIN = clock.seconds(0.4)
# Part of the delay in which requests that may be repeated are taken though they may last longer
# than the stop; later ones are refused if they may.
SHUTDOWN_TAKES_ALL_FOR = clock.seconds(2.5)


@dataclasses.dataclass(frozen=True)
class GatewaySettings:
    """Settings of a gateway.

    Attributes:
        name: Name of the instance.
        zone: Availability zone of the instance.
        region: Region of the instance.
        address: Address that callers connect to, ``IP:port``.
        peer_port: Port for calls between instances, the same on all of them.
        seeds: Addresses of three stewards, ``IP:peer_port``.
        region_by_zone: Region of every availability zone.
        revocation_bound: Longest time for which a revoked key may still be accepted.
        cold_overage: Multiple of the rate that a cold endpoint tolerates which all gateways
            together may send it.
        cold_slack: Requests per second that may be sent in addition.
        max_region_shift: Largest change, from one window to the next, of the fraction of a
            region's requests that run in other regions.
        retry_ratio: Retries per request of a service that all gateways together may make.
        retry_slack: Retries that they may make in a window beyond that.
        grace_period: Time from the request to stop until the process is killed.
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
    max_region_shift: float
    retry_ratio: float = 0.1
    retry_slack: float = 10.0
    grace_period: datetime.timedelta = clock.seconds(6)


class Gateway:
    """Authenticates, rate-limits and forwards callers' requests.

    Args:
        config: Settings.
        dialect: Header names.
        clk: Clock.
        rng: Random number generator for Retry-After and for rounding region shares.

    Attributes:
        view: Fleet state that requests are decided on.
        revision: Revision of ``view``.
        stopping: Whether a graceful stop has begun.
        listening: Host and port that callers connect to, once started.
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
        self._planned_stop = planned_stop.PlannedStop()
        self.listening = ("", 0)
        self._dialect = dialect
        self._rng = rng
        self._return_times = returning.ReturnTimes(rng)
        self._stack = contextlib.AsyncExitStack()
        self._supervisor = supervisor.Supervisor()
        self._peer_pool = client.ConnectionPool()
        self._endpoint_pool = client.ConnectionPool(ENDPOINT_CONNECT_TIMEOUT)
        self._server = server.Server(
            self._serve,
            on_handler_error=_log_handler_error,
            may_run_ahead=self._may_run_ahead,
        )
        self._quota = quota.Quota(clk.monotonic())
        self._chooser = chooser.Chooser(
            config.region,
            config.region_by_zone,
            placement.ColdStartLimiter(config.cold_overage, config.cold_slack),
            spill.SpillLimiter(config.max_region_shift, rng.random()),
        )
        self._prober = reachability.Prober(self._endpoint_pool, rng)
        self._paths = reachability.PathMonitor(
            self._prober, lambda: self.view.endpoint_by_id.values(), clk, self._on_paths_changed
        )
        # Attempts at endpoints whose requests may run more than once.
        self._repeatable_attempts: set[forwarding.EndpointAttempt] = set()
        self._relays = relaying.RelayList(config.region, rng)
        self._relay_pool = client.ConnectionPool(ENDPOINT_CONNECT_TIMEOUT)
        self._crash_reports = crash_reports.CrashReports(self._prober, self._call_about_crash, clk)
        self._endpoint_limits = endpoint_limits.KnownLimits()
        # The leader is not asked for grants before this time, as it could not be reached.
        self._no_grants_until = clock.ZERO
        self._no_crash_calls_until = clock.ZERO
        self._splitter_by_route: dict[str, placement.Splitter] = {}
        self._budget_by_service: dict[str, dispatch.RetryBudget] = {}
        self._draw_by_organisation: dict[str, asyncio.Future[None]] = {}
        # Branch that did not respond to a draw, and until when it is not asked again.
        self._unreachable_branch = ("", clock.ZERO)
        self._peer_client = client.Client(self._peer_pool)
        self._endpoint_traffic_by_distance = {
            distance: wire.Traffic() for distance in ("zone", "region", "remote", "relay")
        }
        self._zone_by_steward: dict[str, str] = {}
        self._polled_draws: dict[str, accounting.Draw] = {}
        self._follower = follower.Follower(
            self._peer_client,
            config.seeds,
            clk,
            self._build_poll,
            self._on_poll_response,
            self._steward_distance,
            self._on_poll_failed,
        )

    async def start(self) -> None:
        """Listens for callers and starts polling the fleet state.

        Raises:
            errors.SettingsError: The address cannot be bound.
        """
        async with contextlib.AsyncExitStack() as stack:
            stack.push_async_callback(self._peer_pool.close)
            stack.push_async_callback(self._endpoint_pool.close)
            stack.push_async_callback(self._relay_pool.close)
            stack.push_async_callback(self._crash_reports.close)
            stack.push_async_callback(self._paths.close)
            host, _, port = self.config.address.rpartition(":")
            self.listening = (host, await self._server.start(host, int(port)))
            stack.push_async_callback(self._supervisor.close)
            stack.push_async_callback(self._server.close)
            self._supervisor.spawn("follower", self._follower.run)
            self._supervisor.spawn("paths", self._paths.run)
            self._stack = stack.pop_all()

    def reconfigure(self, config: GatewaySettings) -> None:
        """Applies the settings that may change at runtime: the seeds."""
        self._follower.set_seeds(config.seeds)

    def traffic_by_kind(self) -> dict[str, wire.Traffic]:
        """Returns the bytes of calls of stewards by path, and of endpoints by how far they are."""
        return self._peer_client.traffic_by_target | self._endpoint_traffic_by_distance

    async def stop(self) -> None:
        """Stops gracefully: asks callers to disconnect, then finishes requests in flight."""
        self.stopping = True
        events.emit(events.STOP_BEGAN, signal="TERM", in_flight=self._server.request_count)
        self._server.disable_keep_alive()
        duration = max(clock.ZERO, self.config.grace_period - SHUTDOWN_MARGIN)
        delay = min(SHUTDOWN_DELAY, self.config.grace_period / 2)
        self._planned_stop.begin(
            self.clock.monotonic(),
            takes_all_for=min(SHUTDOWN_TAKES_ALL_FOR, delay),
            ends_in=duration - forwarding.RESPONSE_GRACE,
        )
        await asyncio.sleep(delay.total_seconds())
        await self._server.close(max(clock.ZERO, duration - delay))
        unfinished = self._server.request_count
        await self._stack.aclose()
        events.emit(events.STOP_ENDED, in_flight=unfinished)

    async def abort(self) -> None:
        """Stops at once, as if the process had died."""
        self._server.abort()
        await self._stack.aclose()

    def staleness(self) -> datetime.timedelta:
        """Returns how long ago the view was last confirmed to be the newest."""
        return self._follower.staleness(self.clock.monotonic())

    def ready(self) -> bool:
        """Returns whether to accept new callers: there is a configuration and no stop has begun."""
        return bool(self.view.config_version) and not self.stopping

    # Fleet state

    def _build_poll(self) -> dict[str, typing.Any]:
        gateway = presence.Gateway(
            self.config.name,
            f"{self.listening[0]}:{self.listening[1]}",
            self.config.zone,
            self.config.region,
            self.ready(),
            not self._paths.lost,
        )
        if self.staleness() > self.config.revocation_bound - REVOCATION_MARGIN:
            # Branches account for a gateway's tokens only while it may use them.
            self._quota.drop()
        draws = self._polled_draws = self._quota.draws(self.config.name, self.clock.monotonic())
        return {
            "gateway": gateway.to_wire(),
            "wants_relays": self._paths.lost or self._relays.is_due(self.clock.monotonic()),
            "revision": self.revision,
            "draws": {name: dataclasses.astuple(draw) for name, draw in draws.items()},
        }

    def _on_poll_failed(self) -> None:
        for organisation, draw in self._polled_draws.items():
            self._quota.record_lost_draw(organisation, draw)
        self._polled_draws = {}

    def _steward_distance(self, steward: str) -> int:
        """Returns 0 for a steward in this zone, 1 for one in this region, 2 for any other."""
        return self._distance(self._zone_by_steward.get(steward, ""))

    def _distance(self, zone: str) -> int:
        """Returns 0 for this zone, 1 for another one of this region, 2 for any other."""
        if zone == self.config.zone:
            return 0
        return 1 if self.config.region_by_zone.get(zone) == self.config.region else 2

    def _distance_name(self, zone: str) -> str:
        return ("zone", "region", "remote")[self._distance(zone)]

    def _on_poll_response(self, response: dict[str, typing.Any], as_of: datetime.timedelta) -> None:
        now = self.clock.monotonic()
        self._zone_by_steward = response["zones"]
        if response["revision"] < self.revision:
            events.emit(
                events.VERSION_REFUSED,
                offered=response["revision"],
                held=self.revision,
                peer=self._follower.source,
            )
            return
        if response["items"] or response["full"]:
            self._apply_items(response, now)
        self.revision = response["revision"]
        for organisation, grant in response["grants"].items():
            self._quota.receive(organisation, accounting.Grant(*grant))
        place = presence.Place(**response["place"])
        self._chooser.set_place(place.position, place.count, now)
        self._endpoint_limits.shares.set_place(place.position, place.count, now)
        for budget in self._budget_by_service.values():
            budget.set_reserve(self._retry_reserve())
        if response.get("relays") is not None:
            self._relays.update(response["relays"], now)
        self._crash_reports.deliver_soon()

    def _retry_budget(self, service: str) -> dispatch.RetryBudget:
        budget = self._budget_by_service.get(service)
        if budget is None:
            ratio = RETRY_RATIO_FACTOR * self.config.retry_ratio
            # The process before this one may have used its reserve just now.
            budget = dispatch.RetryBudget(ratio, self._retry_reserve(), MIN_RETRY_RESERVE)
            self._budget_by_service[service] = budget
        return budget

    def _retry_reserve(self) -> float:
        count = self._chooser.gateway_count
        if not count:
            return MIN_RETRY_RESERVE
        return max(MIN_RETRY_RESERVE, RETRY_SLACK_FACTOR * self.config.retry_slack / count)

    def _apply_items(self, response: dict[str, typing.Any], now: datetime.timedelta) -> None:
        items = response["items"]
        before = dict(self.view.endpoint_by_id)
        if response["full"]:
            self.view.replace(items)
        else:
            self.view.update(items)
        self._chooser.on_view_changed(before, self.view.endpoint_by_id, now)
        if any(key.startswith((model.EVACUATION, model.ENDPOINT)) for key in items):
            self._chooser.suspend_spill_limit(now)
        for key, document in items.items():
            kind, _, name = key.partition("/")
            if kind == model.SUSPECT and document is None:
                self._crash_reports.clear(name)
        self._apply_server_limits()
        events.emit(
            events.STATE_IN_FORCE,
            revision=response["revision"],
            config_version=self.view.config_version,
            full=response["full"],
            changed=sorted(k for k, v in items.items() if v is not None)[:20],
            removed=sorted(k for k, v in items.items() if v is None)[:20],
            age_s=self._staleness_s(now),
        )

    def _apply_server_limits(self) -> None:
        limits = self.view.limits
        self._server.limits = server.Limits(
            head_timeout=clock.seconds(max(limits.head_timeout_s, limits.idle_timeout_s)),
            idle_timeout=clock.seconds(limits.idle_timeout_s),
            read_timeout=clock.seconds(limits.head_timeout_s),
            body_bytes=limits.body_bytes,
        )

    def _staleness_s(self, now: datetime.timedelta) -> float:
        return round(self._follower.staleness(now).total_seconds(), 3)

    # Request handling

    def _may_run_ahead(self, request: server.Request) -> bool:
        """Returns whether a request may be served while an earlier one of its connection is.

        Its caller may send it again, so it must be idempotent.
        """
        route = self.view.match(_host(request), request.raw_path)
        return route is not None and route.idempotent

    async def _serve(self, request: server.Request, reply: server.Reply) -> None:
        arrived_at = self.clock.monotonic() - clock.seconds(request.buffered_s)
        trace = _Trace(
            request.header(self._dialect.request_id.decode()) or "", arrived_at, self.revision
        )
        dispatch_state = dispatch.DispatchState(check_caller=request.check_caller)
        if request.caller_left:
            self._record_caller_left(trace, dispatch.CallerStage.UNREAD)
            raise errors.CallerLeftError(
                "the caller left before its request was read", peer=request.peer
            )
        try:
            await self._handle(request, reply, trace, dispatch_state)
        except errors.RefusedError as error:
            if reply.started:
                raise
            reply.close_after = reply.close_after or not request.body_ended
            await self._refuse(reply, error, trace, dispatch_state)
        except errors.LimitExceededError as error:
            if reply.started:
                raise
            # The caller's body was too slow or too long while it was being passed on. A status of
            # 408 would promise that the request has not run.
            may_have_run = dispatch_state.outcome is dispatch.Outcome.UNKNOWN
            status = 504 if error.status == 408 and may_have_run else error.status
            reply.close_after = True
            await self._refuse(reply, _refused(status, "body", error), trace, dispatch_state)
        except errors.CallerLeftError:
            self._record_caller_left(trace, dispatch_state.caller_stage)
            raise
        except errors.TransportError:
            # The response could not be written.
            if request.caller_left:
                self._record_caller_left(trace, dispatch_state.caller_stage)
            raise
        except asyncio.CancelledError:
            if self._server.ending and reply.in_turn and not (request.caller_left or reply.started):
                await self._refuse(reply, _cut_off(dispatch_state), trace, dispatch_state)
                return
            self._record_caller_left(trace, dispatch_state.caller_stage)
            raise

    async def _handle(
        self,
        request: server.Request,
        reply: server.Reply,
        trace: _Trace,
        dispatch_state: dispatch.DispatchState,
    ) -> None:
        route = self._find_route(request, trace)
        organisation = self._authenticate(request, route, trace)
        job = self._make_job(request, route, organisation, trace)
        response = await self._respond_in_time(job, dispatch_state, reply, trace)
        if response is not None:
            headers = forwarding.caller_headers(response, self._dialect.request_id, job.request_id)
            headers += job.relay_headers
            await reply.send(response.status, response.body, headers)
        self._record_served(job, reply.status, trace)

    async def _respond_in_time(
        self,
        job: forwarding.Job,
        dispatch_state: dispatch.DispatchState,
        reply: server.Reply,
        trace: _Trace,
    ) -> forwarding.Response | None:
        """Returns the response to a request unless it has been streamed, by the deadline whatever
        the request waits for.

        Raises:
            errors.RefusedError: The request cannot be served, or not in time.
            errors.ExchangeTimeoutError: The response had been begun.
        """
        remaining = max(clock.ZERO, job.deadline - self.clock.monotonic())
        limit = remaining + forwarding.RESPONSE_GRACE + dispatch.DEADLINE_MARGIN
        try:
            async with asyncio.timeout(limit.total_seconds()):
                return await self._respond(job, dispatch_state, reply, trace)
        except TimeoutError as error:
            late = errors.ExchangeTimeoutError("deadline passed", step="lead")
            if reply.started:
                raise late from error
            if not trace.fingerprint:
                raise _refused(408, "body", late) from error
            raise self._no_endpoint(job, dispatch_state, late) from error

    async def _respond(
        self,
        job: forwarding.Job,
        dispatch_state: dispatch.DispatchState,
        reply: server.Reply,
        trace: _Trace,
    ) -> forwarding.Response | None:
        self._check_time_until_stop(job)
        await self._read_body(job)
        job.request.check_caller()
        self._check_time_until_stop(job)
        trace.fingerprint = job.fingerprint = _fingerprint(job)
        if self._paths.lost:
            return await self._relay(job, dispatch_state, reply, trace)
        return await self._serve_here(job, dispatch_state, reply, trace)

    def _check_time_until_stop(self, job: forwarding.Job) -> None:
        """Checks that a planned stop, if one has begun, will not cut a request off.

        Raises:
            errors.RefusedError: It might; another gateway can serve it at once.
        """
        now = self.clock.monotonic()
        if not self._planned_stop.takes(job.deadline, now, may_repeat=job.route.idempotent):
            raise _refused(503, "stopping", retry_after_s=0)

    async def _serve_here(
        self,
        job: forwarding.Job,
        dispatch_state: dispatch.DispatchState,
        reply: server.Reply,
        trace: _Trace,
    ) -> forwarding.Response | None:
        """Serves a request at an endpoint; returns the response unless it has been streamed."""
        await self._check_suspect(job)
        try:
            response = await self._admit_and_dispatch(job, dispatch_state, reply, trace)
        except BaseException:
            if job.on_trial:
                self._crash_reports.report_trial(job, _failed_trial(job, dispatch_state))
            raise
        if job.on_trial:
            self._crash_reports.report_trial(job, suspects.TrialOutcome.PASSED)
        return response

    async def _relay(
        self,
        job: forwarding.Job,
        dispatch_state: dispatch.DispatchState,
        reply: server.Reply,
        trace: _Trace,
    ) -> forwarding.Response | None:
        """Has another gateway serve a request, as this one reaches no endpoint; returns the
        response unless it has been streamed.

        Raises:
            errors.RefusedError: No other gateway took it, or the one that did broke off.
        """
        if job.request.header(relaying.RELAYED_HEADER.decode()) is not None:
            raise _refused(503, "no-path", retry_after_s=NO_PATH_RETRY_AFTER_S)
        tried: list[str] = []
        failure: errors.FlamingotillerError | None = None
        regions = self._allowed_regions(job)
        while len(tried) < MAX_RELAY_ATTEMPTS and self.clock.monotonic() < job.deadline:
            job.request.check_caller()
            if tried and not (job.body_ended and self._may_relay_again(job, dispatch_state)):
                break
            relay = self._relays.choose(regions, tried, self.clock.monotonic())
            if relay is None:
                break
            tried.append(relay.address)
            trace.endpoint, trace.attempts = f"gateway {relay.address}", len(tried)
            try:
                response = await self._relay_to(relay, job, dispatch_state, reply)
            except (errors.TransportError, dispatch.ShedError) as error:
                if reply.started:
                    raise
                failure = error
            else:
                is_refused = response is not None and (response.status in relaying.NOT_RUN_STATUSES)
                if is_refused and dispatch_state.outcome is dispatch.Outcome.UNKNOWN:
                    # An earlier attempt may have run.
                    break
                return response
        if dispatch_state.outcome is dispatch.Outcome.NOT_RUN:
            raise _refused(503, "no-path", failure, retry_after_s=NO_PATH_RETRY_AFTER_S)
        raise self._no_endpoint(job, dispatch_state, failure)

    def _may_relay_again(self, job: forwarding.Job, dispatch_state: dispatch.DispatchState) -> bool:
        if dispatch_state.outcome is dispatch.Outcome.NOT_RUN:
            return True
        # It may have reached an endpoint.
        return job.route.idempotent and self._retry_budget(job.service).take()

    async def _relay_to(
        self,
        relay: relaying.Relay,
        job: forwarding.Job,
        dispatch_state: dispatch.DispatchState,
        reply: server.Reply,
    ) -> forwarding.Response | None:
        attempt = relaying.RelayAttempt(
            self._relay_pool, self._dialect, self.clock, job, dispatch_state, relay.address
        )
        started_at = self.clock.monotonic()
        try:
            with self._relays.in_flight(relay):
                return await attempt.run(reply)
        except (errors.TransportError, dispatch.ShedError) as error:
            if not isinstance(error, errors.ExchangeTimeoutError):
                self._relays.avoid(relay, self.clock.monotonic())
            self._log_failed_try(job, f"gateway {relay.address}", error, started_at)
            raise
        finally:
            for lifetime in attempt.leaving:
                self._record_leaving(lifetime)
            traffic = self._endpoint_traffic_by_distance["relay"]
            traffic.written += attempt.traffic.written
            traffic.read += attempt.traffic.read

    def _on_paths_changed(self, lost: bool) -> None:
        if lost:
            events.emit(events.PATHS_LOST, endpoints=len(self.view.endpoint_by_id))
            if self._paths.is_silent:
                # Nothing arrives on open connections either, so these would wait in vain.
                for attempt in list(self._repeatable_attempts):
                    attempt.abandon()
        else:
            # What was seen of endpoints while they could not be reached tells nothing of them.
            self._chooser.forget_failures()
            events.emit(events.PATHS_RESTORED)

    async def _admit_and_dispatch(
        self,
        job: forwarding.Job,
        dispatch_state: dispatch.DispatchState,
        reply: server.Reply,
        trace: _Trace,
    ) -> forwarding.Response | None:
        organisation = job.organisation
        await self._admit(job)
        try:
            self._check_still_permitted(job, trace)
            return await self._dispatch(job, dispatch_state, reply, trace)
        except BaseException:
            if organisation is not None and dispatch_state.outcome is dispatch.Outcome.NOT_RUN:
                self._quota.refund(organisation.name)
            raise

    async def _check_suspect(self, job: forwarding.Job) -> None:
        """Begins a trial of a request that may have ended endpoints.

        Raises:
            errors.RefusedError: It is quarantined, or it cannot have a trial now.
        """
        suspect = self.view.suspect_by_fingerprint.get(job.fingerprint)
        if suspect is None and not self._crash_reports.is_suspect(job.fingerprint):
            return
        if suspect is not None and suspect.quarantined:
            retry_after_s = suspects.QUARANTINE_LIFETIME.total_seconds()
            raise _refused(503, "quarantined", retry_after_s=retry_after_s)
        job.request.check_caller()
        job.send_by = await self._crash_reports.begin_trial(job)
        if job.send_by is None:
            raise _refused(503, "suspect", retry_after_s=SUSPECT_RETRY_AFTER_S)
        job.on_trial = True

    def _may_end_endpoints(self, job: forwarding.Job) -> bool:
        return job.on_trial or self._crash_reports.is_suspect(job.fingerprint)

    async def _call_about_crash(
        self, path: str, body: dict[str, typing.Any]
    ) -> dict[str, typing.Any]:
        """Calls a steward; after a failure none is called again for a moment."""
        steward = self._branch()
        if not steward or self.clock.monotonic() < self._no_crash_calls_until:
            raise errors.UnavailableError("no steward can be called", step=path, peer=steward)
        try:
            response = await self._peer_client.call(
                steward, "POST", path, body, timeout=CRASH_CALL_TIMEOUT,
                max_bytes=client.SHORT_RESPONSE_BYTES,
            )  # fmt: skip
            return client.raise_for_status(response, step=path, peer=steward)
        except errors.FlamingotillerError as error:
            self._no_crash_calls_until = self.clock.monotonic() + UNREACHABLE_STEWARD_PAUSE
            events.emit(events.SUSPECT_CALL_FAILED, call=path, peer=steward, error=str(error))
            raise

    def _find_route(self, request: server.Request, trace: _Trace) -> model.Route:
        if not self.view.config_version:
            raise _refused(503, "no-configuration", retry_after_s=STALE_VIEW_RETRY_AFTER_S)
        route = self.view.match(_host(request), request.raw_path)
        if route is None:
            raise self._unknown("no-route", 404)
        trace.route = route.name
        return route

    def _unknown(self, code: str, status: int) -> errors.RefusedError:
        """Returns the refusal of an unknown key or route, retryable if the view may be stale."""
        if self.staleness() > MAX_VIEW_AGE_FOR_REJECTION:
            return _refused(503, f"{code}-yet", retry_after_s=STALE_VIEW_RETRY_AFTER_S)
        return _refused(status, code)

    def _authenticate(
        self, request: server.Request, route: model.Route, trace: _Trace
    ) -> model.Organisation | None:
        if route.open or not self.view.organisation_by_name:
            return None
        if self.staleness() > self.config.revocation_bound - REVOCATION_MARGIN:
            raise _refused(503, "not-confirmed", retry_after_s=STALE_VIEW_RETRY_AFTER_S)
        key = request.header(self._dialect.key.decode())
        organisation = self.view.organisation_of_key(key) if key else None
        if organisation is None:
            raise self._unknown("key-unknown" if key else "key-missing", 401)
        trace.organisation = organisation.name
        return organisation

    def _check_still_permitted(self, job: forwarding.Job, trace: _Trace) -> None:
        """Checks a request again that has waited for its body, a token or its turn.

        Its key may have been withdrawn, its route removed, or the view may be too old by now.

        Raises:
            errors.RefusedError: The request is no longer permitted as it was.
            errors.CallerLeftError: Nobody waits for its response any more.
        """
        job.request.check_caller()
        self._check_time_until_stop(job)
        if self.revision != trace.revision:
            trace.revision = self.revision
            job.route = self._find_route(job.request, trace)
        before = job.organisation
        job.organisation = self._authenticate(job.request, job.route, trace)
        same_organisation = (before and before.name) == (job.organisation and job.organisation.name)
        if not same_organisation or job.service not in {p.service for p in job.route.parts}:
            raise _refused(503, "changed", retry_after_s=STALE_VIEW_RETRY_AFTER_S)

    def _make_job(
        self,
        request: server.Request,
        route: model.Route,
        organisation: model.Organisation | None,
        trace: _Trace,
    ) -> forwarding.Job:
        splitter = self._splitter_by_route.setdefault(route.name, placement.Splitter())
        service = trace.service = splitter.next(route.parts)
        timeout = _caller_timeout(request, self._dialect.deadline_ms.decode())
        deadline = trace.arrived_at + min(timeout, clock.seconds(route.timeout_s))
        object_id = self._dialect.parse_object(request.headers) if route.sticky else ""
        rank = organisation.rank if organisation is not None else route.rank
        return forwarding.Job(
            request,
            trace.request_id,
            route,
            service,
            organisation,
            object_id or trace.request_id,
            rank,
            trace.arrived_at,
            deadline,
        )

    async def _read_body(self, job: forwarding.Job) -> None:
        """Reads the body, or as much of it as may be held; the rest is passed on as it arrives."""
        body = bytearray()
        while len(body) <= MAX_BUFFERED_BODY_BYTES:
            try:
                chunk = await job.request.next_chunk()
            except errors.LimitExceededError as error:
                raise _refused(error.status, "body") from error
            body += chunk
            if not chunk or not job.request.try_reserve(len(chunk)):
                break
        job.body, job.body_ended = bytes(body), job.request.body_ended

    async def _admit(self, job: forwarding.Job) -> None:
        """Takes a rate-limit token of the organisation.

        If none is in stock it draws from the branch, and then falls back on the reserve.

        Raises:
            errors.RefusedError: The organisation is over its rate.
        """
        organisation = job.organisation
        if organisation is None or self._quota.admit(organisation):
            return
        now = self.clock.monotonic()
        for _ in range(MAX_DRAWS_PER_REQUEST):
            view_is_fresh = self.staleness() <= MAX_VIEW_AGE_FOR_DRAW
            may_draw = self._branch_is_usable(now) and self._quota.may_draw(organisation.name, now)
            if not view_is_fresh or not may_draw:
                break
            job.request.check_caller()
            await self._draw(organisation.name)
            if self._quota.take_drawn(organisation.name):
                return
            now = self.clock.monotonic()
        if self._quota.take_reserved(organisation.name):
            return
        retry_after_s = self._rng.uniform(*OVER_RATE_RETRY_AFTER_S)
        cause = errors.LimitExceededError(
            self._quota.describe(organisation.name), status=429, step="admit"
        )
        raise _refused(429, "over-rate", cause, retry_after_s=retry_after_s)

    async def _draw(self, organisation: str) -> None:
        """Draws tokens from the branch; concurrent requests share one draw."""
        task = self._draw_by_organisation.get(organisation)
        if task is None:
            task = asyncio.ensure_future(self._request_tokens(organisation))
            self._draw_by_organisation[organisation] = task
            task.add_done_callback(lambda _: self._draw_by_organisation.pop(organisation, None))
        with self._quota.waiting(organisation):
            await asyncio.shield(task)

    def _branch(self) -> str:
        """Returns the address of the steward to draw from, empty if none is known.

        In an outage of the leader no steward answers polls, but a branch still grants its stock.
        """
        return self._follower.source or self._follower.last_source

    def _branch_is_usable(self, now: datetime.timedelta) -> bool:
        branch, until = self._unreachable_branch
        return branch != self._branch() or now >= until

    async def _request_tokens(self, organisation: str) -> None:
        steward = self._branch()
        draw = self._quota.draw(self.config.name, organisation)
        body = {"organisation": organisation, "draw": dataclasses.astuple(draw)}
        grant = accounting.Grant(0, 0)
        try:
            if steward:
                response = await self._peer_client.call(
                    steward, "POST", "/v1/draw", body, timeout=DRAW_TIMEOUT,
                    max_bytes=client.SHORT_RESPONSE_BYTES,
                )  # fmt: skip
                document = client.raise_for_status(response, step="draw", peer=steward)
                grant = accounting.Grant(*document["grant"])
                self._quota.receive(organisation, grant)
        except errors.FlamingotillerError as error:
            self._quota.record_lost_draw(organisation, draw)
            if isinstance(error, errors.TransportError):
                until = self.clock.monotonic() + UNREACHABLE_STEWARD_PAUSE
                self._unreachable_branch = (steward, until)
            events.emit(
                events.DRAW_FAILED, organisation=organisation, peer=steward, error=str(error)
            )
        if not grant.tokens:
            self._quota.back_off(organisation, self.clock.monotonic())

    async def _dispatch(
        self,
        job: forwarding.Job,
        dispatch_state: dispatch.DispatchState,
        reply: server.Reply,
        trace: _Trace,
    ) -> forwarding.Response | None:
        budget = self._retry_budget(job.service)
        budget.on_first_attempt()
        excluded: list[str] = []
        # Endpoints that have named a limit and were not granted a request of this job.
        limited: set[str] = set()
        failure: errors.FlamingotillerError | None = None
        # An endpoint's error response, delivered unless a retry succeeds.
        error_response: forwarding.Response | None = None
        while True:
            if excluded:
                job.request.check_caller()
            choice = self._choose_endpoint(job, excluded, limited)
            endpoint = choice.endpoint
            if endpoint is None:
                if error_response is not None:
                    return error_response
                if not excluded and not reply.in_turn:
                    # No answer could be sent yet, and there may be room by then.
                    await reply.wait_for_turn()
                    self._check_still_permitted(job, trace)
                    limited.clear()
                    continue
                trace.obstacle = choice.obstacle
                raise self._no_endpoint(job, dispatch_state, failure, choice)
            send_by = job.send_by
            if self._endpoint_limits.rate(endpoint) is not None:
                revision = self.revision
                grant_until = await self._acquire_grant(job, endpoint)
                if grant_until is None:
                    limited.add(endpoint.id)
                    continue
                send_by = min(send_by or grant_until, grant_until)
                self._check_still_permitted(job, trace)
                if self.revision != revision:
                    # The endpoint may be draining, evacuated or not allowed any more.
                    continue
            excluded.append(endpoint.id)
            trace.endpoint, trace.attempts = endpoint.id, len(excluded)
            try:
                response = await self._attempt(job, dispatch_state, reply, endpoint, send_by)
            except (errors.TransportError, dispatch.ShedError) as error:
                if isinstance(error, errors.ConnectionLostError) and not self._paths.lost:
                    job.endpoint_ended = await self._crash_reports.on_connection_lost(
                        endpoint, job.fingerprint, self.view.endpoint_by_id.values()
                    )
                if reply.started:
                    raise
                failure = error
            else:
                if not _is_server_error(response):
                    return response
                error_response, failure = response, None
            may_run_twice = job.route.idempotent and not self._may_end_endpoints(job)
            may_retry = (
                len(excluded) < job.route.max_attempts
                and job.body_ended
                and dispatch_state.may_retry(may_run_twice)
                and self.clock.monotonic() < job.deadline
                # An attempt without a connection has put no load on any endpoint.
                and (isinstance(failure, errors.ConnectError) or budget.take())
            )
            if may_retry:
                if self._paths.lost:
                    return await self._relay(job, dispatch_state, reply, trace)
                continue
            if error_response is not None:
                return error_response
            if await self._is_path_lost_by(failure, dispatch_state):
                return await self._relay(job, dispatch_state, reply, trace)
            raise self._no_endpoint(job, dispatch_state, failure)

    async def _is_path_lost_by(
        self, failure: errors.FlamingotillerError | None, dispatch_state: dispatch.DispatchState
    ) -> bool:
        """Returns whether a request could not be sent because no endpoint can be reached."""
        has_run = dispatch_state.outcome is not dispatch.Outcome.NOT_RUN
        if has_run or not isinstance(failure, errors.ConnectError):
            return False
        return await self._paths.verify()

    async def _acquire_grant(
        self, job: forwarding.Job, endpoint: model.Endpoint
    ) -> datetime.timedelta | None:
        """Acquires the permission for one request to an endpoint that has named a limit.

        Returns:
            The time by which the request has to be sent, None if it may not be sent.
        """
        now = self.clock.monotonic()
        if self._endpoint_limits.is_denied(endpoint, now):
            return None
        job.request.check_caller()
        try:
            granted = await self._ask_for_grant(job, endpoint)
        except errors.UnavailableError:
            now = self.clock.monotonic()
            granted = self._endpoint_limits.try_without_grant(endpoint, now)
        else:
            if not granted:
                self._endpoint_limits.deny(endpoint, self.clock.monotonic())
        return now + endpoint_limits.GRANT_LIFETIME if granted else None

    async def _ask_for_grant(self, job: forwarding.Job, endpoint: model.Endpoint) -> bool:
        """Returns whether the leader grants a request to an endpoint.

        Raises:
            errors.UnavailableError: The leader cannot be asked; after a failure it is not asked
                again for a moment.
        """
        now = self.clock.monotonic()
        steward = self._follower.source
        if not steward or now < self._no_grants_until:
            raise errors.UnavailableError("no steward can be asked", step="grant", peer=steward)
        body = {
            "endpoint": endpoint_limits.lifetime_key(endpoint),
            "rate": self._endpoint_limits.rate(endpoint),
        }
        try:
            response = await self._peer_client.call(
                steward, "POST", "/v1/endpoint-grant", body,
                timeout=min(GRANT_TIMEOUT, max(clock.ZERO, job.deadline - now)),
                max_bytes=client.SHORT_RESPONSE_BYTES,
            )  # fmt: skip
            document = client.raise_for_status(response, step="grant", peer=steward)
        except errors.FlamingotillerError as error:
            self._no_grants_until = self.clock.monotonic() + UNREACHABLE_STEWARD_PAUSE
            events.emit(events.GRANT_FAILED, endpoint=endpoint.id, peer=steward, error=str(error))
            raise errors.UnavailableError(
                "the leader cannot be asked", step="grant", peer=steward
            ) from error
        return document.get("granted") is True

    def _choose_endpoint(
        self,
        job: forwarding.Job,
        excluded: collections.abc.Collection[str],
        limited: collections.abc.Collection[str],
    ) -> chooser.Choice:
        return self._chooser.choose(
            self.view,
            job.service,
            job.object,
            job.rank,
            self._allowed_regions(job),
            excluded,
            limited,
            self.clock.monotonic(),
        )

    def _allowed_regions(self, job: forwarding.Job) -> frozenset[str]:
        """Returns the regions that may serve a job; an empty set allows all."""
        regions = job.organisation.regions if job.organisation is not None else frozenset()
        if regions and job.route.regions:
            # An empty set would allow all regions, so a name that no region has stands for none.
            return regions & job.route.regions or frozenset({"-"})
        return regions or job.route.regions

    def _no_endpoint(
        self,
        job: forwarding.Job,
        dispatch_state: dispatch.DispatchState,
        failure: errors.FlamingotillerError | None,
        choice: chooser.Choice | None = None,
    ) -> errors.RefusedError:
        """Returns the refusal of a job that no endpoint served.

        The status tells whether the job may have run: 502 or 504 if so, else 503.

        Args:
            job: The job.
            dispatch_state: What is known of its attempts.
            failure: Error of the last attempt, None if there was none.
            choice: Why there was no further attempt, None if it was not allowed.
        """
        if dispatch_state.outcome is dispatch.Outcome.UNKNOWN:
            timed_out = isinstance(failure, errors.ExchangeTimeoutError)
            return _refused(
                504 if timed_out else 502, "timeout" if timed_out else "endpoint-failed", failure
            )
        code = "not-run"
        if failure is None and choice is not None and choice.obstacle is not None:
            code = CODE_BY_OBSTACLE[choice.obstacle]
        if choice is not None and choice.paused_until is not None:
            pause_s = (choice.paused_until - self.clock.monotonic()).total_seconds()
            spread_s = self._rng.uniform(*PAUSE_SPREAD_S)
            return _refused(503, code, failure, retry_after_s=max(0.0, pause_s) + spread_s)
        retry_after_s = self._return_times.after_s(
            job.service, job.route.objective_s, shed=isinstance(failure, dispatch.ShedError)
        )
        return _refused(503, code, failure, retry_after_s=retry_after_s)

    async def _attempt(
        self,
        job: forwarding.Job,
        dispatch_state: dispatch.DispatchState,
        reply: server.Reply,
        endpoint: model.Endpoint,
        send_by: datetime.timedelta | None,
    ) -> forwarding.Response | None:
        health = self._chooser.health_by_id[endpoint.id]
        attempt = forwarding.EndpointAttempt(
            self._endpoint_pool,
            self._dialect,
            self.clock,
            job,
            dispatch_state,
            endpoint,
            lambda statement: self._record_limit(endpoint, statement),
            lambda notice: self._record_notice(endpoint, notice),
            send_by,
        )
        started_at = self.clock.monotonic()
        health.in_flight += 1
        if job.route.idempotent:
            self._repeatable_attempts.add(attempt)
        try:
            with self._paths.in_flight():
                response = await attempt.run(reply)
            self._paths.on_response()
        except (errors.TransportError, dispatch.ShedError) as error:
            if isinstance(error, errors.ConnectError):
                self._paths.on_connect_failed()
            elif isinstance(error, dispatch.ShedError):
                self._paths.on_response()
            if attempt.pause is None:
                self._record_failed_attempt(job, endpoint, health, error, started_at)
            else:
                self._log_failed_try(job, endpoint.id, error, started_at, health)
            raise
        finally:
            health.in_flight -= 1
            self._repeatable_attempts.discard(attempt)
            traffic = self._endpoint_traffic_by_distance[self._distance_name(endpoint.zone)]
            traffic.written += attempt.traffic.written
            traffic.read += attempt.traffic.read
            if attempt.load is not None:
                health.on_load_report(attempt.load, self.clock.monotonic())
        if attempt.pause is not None:
            # A requested pause is not a failure of the endpoint.
            return response
        failed = _is_server_error(response)
        error_rate = self._chooser.error_rate_of(job.service)
        error_rate.record(failed)
        if failed:
            if health.on_error(self.clock.monotonic(), error_rate.value):
                self._on_endpoint_avoided(endpoint, health, "errors")
            return response
        self._return_times.record(job.service, self.clock.monotonic() - started_at)
        if health.on_success():
            events.emit(events.ENDPOINT_RESTORED, endpoint=endpoint.id, service=endpoint.service)
        return response

    def _record_limit(self, endpoint: model.Endpoint, statement: forwarding.LimitStatement) -> None:
        if self._endpoint_limits.record(endpoint, statement.rate):
            # What the endpoint no longer takes has to go elsewhere at once.
            self._chooser.suspend_spill_limit(self.clock.monotonic())
            events.emit(
                events.ENDPOINT_LIMIT_CHANGED,
                endpoint=endpoint.id,
                service=endpoint.service,
                limit=statement.rate if statement.rate is not None else "",
            )

    def _record_notice(self, endpoint: model.Endpoint, notice: forwarding.Notice) -> None:
        now = self.clock.monotonic()
        if notice.is_leaving and self._chooser.record_leaving(endpoint, now):
            events.emit(
                events.ENDPOINT_SAYS_IT_LEAVES, endpoint=endpoint.id, service=endpoint.service
            )
        if notice.pause is not None and self._chooser.record_pause(endpoint, notice.pause, now):
            events.emit(
                events.ENDPOINT_PAUSED,
                endpoint=endpoint.id,
                service=endpoint.service,
                pause_s=round(notice.pause.total_seconds(), 3),
            )
        if notice.malformed:
            events.emit(events.PAUSE_INVALID, endpoint=endpoint.id, value=notice.malformed[:100])

    def _record_leaving(self, lifetime: tuple[str, int]) -> None:
        """Records that an endpoint leaves, as told with a relayed response."""
        id_, born_ms = lifetime
        known = self.view.endpoint_by_id.get(id_)
        service = known.service if known is not None else ""
        endpoint = model.Endpoint(id_, born_ms, 0, service, "", "", 0)
        self._record_notice(endpoint, forwarding.Notice(True, None, ""))

    def _record_failed_attempt(
        self,
        job: forwarding.Job,
        endpoint: model.Endpoint,
        health: placement.EndpointHealth,
        error: errors.FlamingotillerError,
        started_at: datetime.timedelta,
    ) -> None:
        now = self.clock.monotonic()
        load = health.load
        self._log_failed_try(job, endpoint.id, error, started_at, health)
        if isinstance(error, forwarding.GrantExpiredError):
            # The gateway was late; this tells nothing of the endpoint.
            avoided = False
        elif isinstance(error, forwarding.MisdirectedError):
            health.on_failure(now)
            avoided = True
        elif isinstance(error, dispatch.ShedError):
            # Shedding is normal for a full endpoint; one with capacity sheds for another reason.
            has_capacity = load is not None and load.running + load.waiting < endpoint.slots
            error_rate = self._chooser.error_rate_of(job.service)
            error_rate.record(has_capacity)
            avoided = has_capacity and health.on_error(now, error_rate.value)
        elif isinstance(error, errors.ExchangeTimeoutError):
            avoided = health.on_timeout(now)
        else:
            health.on_failure(now)
            avoided = True
        if avoided:
            self._on_endpoint_avoided(endpoint, health, type(error).__name__)

    def _log_failed_try(
        self,
        job: forwarding.Job,
        target: str,
        error: errors.FlamingotillerError,
        started_at: datetime.timedelta,
        health: placement.EndpointHealth | None = None,
    ) -> None:
        now = self.clock.monotonic()
        load = health.load if health is not None else None
        age = now - health.load_at if health is not None else clock.ZERO
        events.emit(
            events.TRY_FAILED,
            request_id=job.request_id,
            endpoint=target,
            kind=type(error).__name__,
            error=error.message,
            sent_ms=self._ms_since(started_at),
            left_ms=round((job.deadline - now) / clock.MILLISECOND),
            load=f"{load.running}+{load.waiting}" if load else "",
            load_age_s=round(age.total_seconds(), 3) if load else "",
            fingerprint=job.fingerprint,
        )

    def _on_endpoint_avoided(
        self, endpoint: model.Endpoint, health: placement.EndpointHealth, reason: str
    ) -> None:
        self._chooser.suspend_spill_limit(self.clock.monotonic())
        self._endpoint_pool.forget(endpoint.address)
        events.emit(
            events.ENDPOINT_AVOIDED,
            endpoint=endpoint.id,
            service=endpoint.service,
            reason=reason,
            failures=health.failures,
            until_s=round(health.avoid_until.total_seconds(), 3),
        )

    # Refusals, metrics and log events

    async def _refuse(
        self,
        reply: server.Reply,
        error: errors.RefusedError,
        trace: _Trace,
        dispatch_state: dispatch.DispatchState,
    ) -> None:
        now = self.clock.monotonic()
        fields = {
            "request_id": trace.request_id,
            "route": trace.route,
            "service": trace.service,
            "organisation": trace.organisation,
            "status": error.status,
            "code": error.code,
            "detail": str(error.__cause__ or (trace.obstacle.value if trace.obstacle else "")),
            "ms": self._ms_since(trace.arrived_at),
            "tries": trace.attempts,
            "revision": self.revision,
            "age_s": self._staleness_s(now),
            "fingerprint": trace.fingerprint,
        }
        if dispatch_state.outcome is dispatch.Outcome.NOT_RUN:
            events.emit(events.REQUEST_REFUSED, retry_after_s=error.retry_after_s, **fields)
        else:
            events.emit(events.REQUEST_FAILED, **fields)
        self.metrics.count(
            "flamingotiller_refusals_total",
            organisation=trace.organisation,
            code=error.code,
            outcome=dispatch_state.outcome.value,
        )
        headers = [(self._dialect.request_id, trace.request_id.encode("latin-1"))]
        if error.code == "no-path":
            headers.append((relaying.NO_PATH_HEADER, b"1"))
        if error.retry_after_s is not None:
            headers.append((b"retry-after", f"{error.retry_after_s:.3f}".encode()))
        body = {"error": error.code, "outcome": dispatch_state.outcome.value}
        await reply.json(error.status, body, headers)

    def _record_caller_left(self, trace: _Trace, stage: dispatch.CallerStage) -> None:
        self.metrics.count("flamingotiller_callers_left_total", stage=stage.value)
        events.emit(
            events.CALLER_DISCONNECTED,
            request_id=trace.request_id,
            endpoint=trace.endpoint,
            stage=stage.value,
            ms=self._ms_since(trace.arrived_at),
        )

    def _record_served(self, job: forwarding.Job, status: int, trace: _Trace) -> None:
        now = self.clock.monotonic()
        duration = now - job.arrived_at
        self.metrics.count(
            "flamingotiller_requests_total", organisation=trace.organisation, result=str(status)
        )
        self.metrics.observe("flamingotiller_request_seconds", duration.total_seconds())
        events.emit(
            events.REQUEST_SERVED,
            request_id=job.request_id,
            route=job.route.name,
            service=job.service,
            endpoint=trace.endpoint,
            object=job.object,
            organisation=trace.organisation,
            status=status,
            ms=self._ms_since(job.arrived_at),
            tries=trace.attempts,
            revision=self.revision,
            age_s=self._staleness_s(now),
        )

    def _ms_since(self, start: datetime.timedelta) -> float:
        return round((self.clock.monotonic() - start) / clock.MILLISECOND, 1)


@dataclasses.dataclass
class _Trace:
    """What is known about a request so far, for its log events and metrics.

    Attributes:
        revision: Revision of the view at which it was last found to be permitted.
    """

    request_id: str
    arrived_at: datetime.timedelta
    revision: int
    route: str = ""
    service: str = ""
    organisation: str = ""
    endpoint: str = ""
    attempts: int = 0
    obstacle: chooser.Obstacle | None = None
    fingerprint: str = ""


def _is_server_error(response: forwarding.Response | None) -> bool:
    """Returns whether a response is a server error; one already streamed to the caller is None."""
    return response is not None and response.status >= 500


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


def _cut_off(dispatch_state: dispatch.DispatchState) -> errors.RefusedError:
    """Returns the refusal of a request that is still in flight at the end of a stop."""
    not_run = dispatch_state.outcome is dispatch.Outcome.NOT_RUN
    return _refused(503, "stopping", retry_after_s=0) if not_run else _refused(504, "stopping")


def _failed_trial(
    job: forwarding.Job, dispatch_state: dispatch.DispatchState
) -> suspects.TrialOutcome:
    """Returns the outcome of a trial that brought no response."""
    if dispatch_state.outcome is dispatch.Outcome.NOT_RUN:
        return suspects.TrialOutcome.NOT_RUN
    if job.endpoint_ended:
        return suspects.TrialOutcome.FAILED
    return suspects.TrialOutcome.UNKNOWN


def _fingerprint(job: forwarding.Job) -> str:
    request = job.request
    organisation = job.organisation.name if job.organisation is not None else ""
    target = _host(request) + request.target
    return quarantine.request_fingerprint(organisation, request.method, target, job.body)


def _host(request: server.Request) -> str:
    """Returns the host that a request names, in lower case and without a port."""
    host = request.header("host") or ""
    return (host.rpartition(":")[0] or host).lower()


def _caller_timeout(request: server.Request, header: str) -> datetime.timedelta:
    """Returns how long the caller waits; the default if the header is missing or malformed."""
    value = request.header(header) or ""
    if not value.isdecimal() or len(value) > MAX_DEADLINE_DIGITS:
        return DEFAULT_CALLER_TIMEOUT
    return datetime.timedelta(milliseconds=int(value))


def _log_handler_error(error: BaseException, peer: str) -> None:
    events.emit(events.HANDLER_FAILED, peer=peer, error=repr(error))
