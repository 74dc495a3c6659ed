"""Handling of a caller's request by an entry instance.

The steps, in this order: authentication, choice of the route, claim of the request id, rate limit,
slot, exchange with the endpoint, and the response."""

from __future__ import annotations

import asyncio
import contextlib
import datetime
import secrets
import typing

from flamingotiller import (
    claims,
    clock,
    configuration,
    contract,
    daemon,
    dispatch,
    errors,
    events,
    quarantine,
    server,
    slot_messages,
)

if typing.TYPE_CHECKING:
    from flamingotiller import entry

MAX_ATTEMPTS = 3
MIN_DEADLINE_MS = 1


class RequestPath:
    """Serves callers' requests.

    Args:
        process: The entry instance that the requests arrive at.
    """

    def __init__(self, process: entry.EntryInstance) -> None:
        self._process = process
        self._budget_by_service: dict[str, dispatch.RetryBudget] = {}
        self._in_flight_by_organisation: dict[str, int] = {}

    async def serve(self, request: server.Request, reply: server.Reply) -> None:
        """Serves a request, or refuses it and says whether it may have run."""
        started_at = self._process.clock.monotonic()
        state = dispatch.DispatchState(check_caller=request.check_caller)
        request_id = request.header("idempotency-key") or ""
        # An earlier request with this id may have run. Cleared once the route is known to be
        # idempotent.
        state.needs_claim = bool(request_id)
        organisation, result = "", "served"
        if request.caller_left:
            self._record_caller_left(request_id, dispatch.CallerStage.UNREAD, started_at)
            raise errors.CallerLeftError(
                "the caller left before its request was read", peer=request.peer
            )
        try:
            organisation, route = self._authorise(request)
            prepared = await self._prepare(request, organisation, route, request_id, started_at)
            request_id = prepared.request_id
            self._check_time_until_stop(prepared)
            state.check_caller()
            await self._run_in_time(prepared, state, reply)
        except errors.RefusedError as error:
            result = error.code
            self._count_refusal(organisation, error, state)
            if reply.started:
                raise
            reply.close_after = reply.close_after or not request.body_ended
            await dispatch.send_refusal(reply, error, state.outcome, request_id)
        except errors.LimitExceededError as error:
            if reply.started:
                raise
            # The caller's body was too slow or too long while it was being passed on. A status of
            # 408 would promise that the request has not run.
            may_have_run = state.outcome is dispatch.Outcome.UNKNOWN
            refusal = errors.RefusedError(
                error.message,
                status=504 if error.status == 408 and may_have_run else error.status,
                code="body",
                step="read body",
            )
            result = refusal.code
            self._count_refusal(organisation, refusal, state)
            reply.close_after = True
            await dispatch.send_refusal(reply, refusal, state.outcome, request_id)
        except errors.CallerLeftError:
            result = "caller-left"
            self._record_caller_left(request_id, state.caller_stage, started_at)
            raise
        except asyncio.CancelledError:
            if request.caller_left:
                self._record_caller_left(request_id, state.caller_stage, started_at)
                raise
            if not self._process.server.ending or reply.started:
                raise
            cut_off = _cut_off(state.outcome)
            result = cut_off.code
            self._count_refusal(organisation, cut_off, state)
            await dispatch.send_refusal(reply, cut_off, state.outcome, request_id)
        finally:
            elapsed = self._process.clock.monotonic() - started_at
            self._process.metrics.count(
                "flamingotiller_requests_total", organisation=organisation, result=result
            )
            self._process.metrics.observe("flamingotiller_request_seconds", elapsed.total_seconds())

    def _record_caller_left(
        self, request_id: str, stage: dispatch.CallerStage, started_at: datetime.timedelta
    ) -> None:
        self._process.metrics.count("flamingotiller_callers_left_total", stage=stage.value)
        elapsed = self._process.clock.monotonic() - started_at
        events.emit(
            events.CALLER_DISCONNECTED,
            request_id=request_id,
            endpoint="",
            stage=stage.value,
            ms=round(elapsed / clock.MILLISECOND, 1),
        )

    def _count_refusal(self, organisation, error, state) -> None:
        self._process.metrics.count(
            "flamingotiller_refusals_total",
            organisation=organisation,
            code=error.code,
            outcome=state.outcome.value,
        )

    def _check_time_until_stop(self, prepared: dispatch.PreparedRequest) -> None:
        """Checks that a planned stop, if one has begun, will not cut a request off.

        Raises:
            errors.RefusedError: It might; another instance can serve it at once.
        """
        now = self._process.clock.monotonic()
        may_repeat = prepared.route.idempotent
        if not self._process.planned_stop.takes(prepared.deadline, now, may_repeat=may_repeat):
            raise _cut_off(dispatch.Outcome.NOT_RUN)

    # Authentication and validation

    def _authorise(self, request: server.Request) -> tuple[str, contract.Route]:
        """Returns the organisation that a request is made for, and its route.

        Raises:
            errors.RefusedError: The key is missing, not in force or cannot be confirmed, or no
                route matches.
        """
        view = self._process.feed.view
        key = _key_from(request)
        if key is None:
            return self._authorise_without_key(request, view)
        self._require_fresh_confirmation()
        organisation = view.organisation_of_key(key)
        if organisation is None:
            raise errors.RefusedError(
                "the key is not in force", status=401, code="bad-key", step="authenticate"
            )
        return organisation, _find_route(view, organisation, request)

    def _authorise_without_key(
        self, request: server.Request, view: configuration.View
    ) -> tuple[str, contract.Route]:
        organisation = request.header("flamingotiller-organisation") or ""
        if organisation not in view.contract_by_organisation:
            raise errors.RefusedError(
                "a key is required, or an organisation for a route without keys",
                status=401,
                code="no-key",
                step="authenticate",
            )
        route = _find_route(view, organisation, request)
        if route.keyed:
            raise errors.RefusedError(
                "this route requires a key", status=401, code="no-key", step="authenticate"
            )
        return organisation, route

    def _require_fresh_confirmation(self) -> None:
        if not self._process.feed.is_fresh(self._process.config.freshness_bound):
            raise errors.RefusedError(
                "keys cannot be confirmed at the moment",
                status=503,
                code="not-confirmed",
                retry_after_s=1,
                step="authenticate",
            )

    def _recheck_key(self, prepared: dispatch.PreparedRequest) -> None:
        """Checks the key again, as it may have been withdrawn while the request was queued.

        Raises:
            errors.RefusedError: The key is no longer in force or can no longer be confirmed.
        """
        if not prepared.route.keyed:
            return
        self._require_fresh_confirmation()
        key = _key_from(prepared.request) or ""
        if self._process.feed.view.organisation_of_key(key) != prepared.organisation:
            raise errors.RefusedError(
                "the key is not in force", status=401, code="bad-key", step="dispatch"
            )

    async def _prepare(
        self,
        request: server.Request,
        organisation: str,
        route: contract.Route,
        request_id: str,
        started_at: datetime.timedelta,
    ) -> dispatch.PreparedRequest:
        """Validates the headers and reads the body up to the limit for buffering.

        Raises:
            errors.RefusedError: A header is malformed, or the body is too large or cannot be read.
        """
        if request_id and not _is_valid_request_id(request_id):
            raise _bad_request(
                "Idempotency-Key: expected 1 to 200 printable ASCII characters without spaces"
            )
        deadline = started_at + _time_limit(request, route)
        length = request.declared_length()
        if length is not None and length > route.max_request_bytes:
            raise _too_large()
        remaining = max(clock.ZERO, deadline - self._process.clock.monotonic())
        try:
            async with asyncio.timeout(remaining.total_seconds()):
                body = await self._read_body(request, route)
        except TimeoutError as error:
            raise errors.RefusedError(
                "body arrived too slowly", status=408, code="body", step="read body"
            ) from error
        request_id = request_id or f"{self._process.config.instance}.{secrets.token_hex(8)}"
        return dispatch.PreparedRequest(
            request=request,
            organisation=organisation,
            route=route,
            request_id=request_id,
            body=body,
            body_ended=request.body_ended,
            deadline=deadline,
            fingerprint=quarantine.request_fingerprint(
                organisation, request.method, request.target, body
            ),
        )

    async def _read_body(self, request: server.Request, route: contract.Route) -> bytes:
        """Returns the body, or as much of it as may be held."""
        buffered = bytearray()
        while len(buffered) <= dispatch.BUFFERED_BODY_BYTES:
            try:
                chunk = await request.next_chunk()
            except errors.LimitExceededError as error:
                raise errors.RefusedError(
                    error.message, status=error.status, code="body", step="read body"
                ) from error
            buffered += chunk
            if len(buffered) > route.max_request_bytes:
                raise _too_large()
            if not chunk or not request.try_reserve(len(chunk)):
                break
        return bytes(buffered)

    async def _run_in_time(
        self,
        prepared: dispatch.PreparedRequest,
        state: dispatch.DispatchState,
        reply: server.Reply,
    ) -> None:
        """Serves a request by its deadline, whatever it waits for.

        Raises:
            errors.RefusedError: It cannot be served, or not in time.
            errors.ExchangeTimeoutError: The response had been begun.
        """
        remaining = max(clock.ZERO, prepared.deadline - self._process.clock.monotonic())
        try:
            async with asyncio.timeout((remaining + dispatch.DEADLINE_MARGIN).total_seconds()):
                await self._claim_and_run(prepared, state, reply)
        except TimeoutError as error:
            if reply.started:
                raise errors.ExchangeTimeoutError("deadline passed", step="serve") from error
            not_run = state.outcome is dispatch.Outcome.NOT_RUN
            raise errors.RefusedError(
                "the deadline has passed",
                status=503 if not_run else 504,
                code="deadline" if not_run else "timeout",
                retry_after_s=1 if not_run else None,
            ) from error

    # Claim of the request id

    async def _claim_and_run(
        self,
        prepared: dispatch.PreparedRequest,
        state: dispatch.DispatchState,
        reply: server.Reply,
    ) -> None:
        state.needs_claim = state.needs_claim and not prepared.route.idempotent
        if not state.needs_claim:
            await self._admit_and_run(prepared, state, reply)
            return
        token = secrets.token_hex(8)
        claiming = self._process.claiming
        verdict = await self._claim(prepared, token)
        state.claim_state = verdict.state
        if verdict.state is not claims.State.GRANTED:
            await self._answer_repeated_request(prepared, verdict, reply)
            return
        key = (prepared.organisation, prepared.request_id)
        try:
            outcome = await self._admit_and_run(prepared, state, reply)
        except errors.RefusedError:
            if state.outcome is dispatch.Outcome.NOT_RUN:
                # A caller that is told "not-run" may resend at once, so the id is released before
                # the refusal is sent.
                with contextlib.suppress(errors.FlamingotillerError):
                    await claiming.release(*key, token)
            raise
        except BaseException:
            if state.outcome is dispatch.Outcome.NOT_RUN:
                self._process.run_in_background(claiming.release(*key, token))
            raise
        if outcome:
            claiming.outcomes.put(*key, outcome, self._process.clock.monotonic())
            self._process.run_in_background(claiming.finish(*key, token))

    async def _claim(self, prepared: dispatch.PreparedRequest, token: str) -> claims.Verdict:
        try:
            return await self._process.claiming.claim(
                prepared.organisation, prepared.request_id, token
            )
        except (errors.FlamingotillerError, KeyError, ValueError) as error:
            raise errors.RefusedError(
                f"the request id cannot be claimed at the moment: {error}",
                status=503,
                code="claim-unreachable",
                retry_after_s=1,
                step="claim",
            ) from error

    async def _answer_repeated_request(
        self, prepared: dispatch.PreparedRequest, verdict: claims.Verdict, reply: server.Reply
    ) -> None:
        """Answers a request whose id was claimed before, with the stored outcome if there is one.

        Raises:
            errors.RefusedError: No stored outcome can be returned.
        """
        if verdict.state is claims.State.FINISHED:
            outcome = await self._process.claiming.outcome(
                verdict.holder, prepared.organisation, prepared.request_id
            )
            if outcome:
                headers = [item for item in outcome.headers if item[0] != b"content-length"]
                headers.append((dispatch.REPLAYED_HEADER, b"1"))
                await reply.send(outcome.status, outcome.body, headers)
                return
        messages = {
            claims.State.RUNNING: "a request with this id is running or may have run",
            claims.State.FINISHED: "this request has run; its outcome is no longer stored",
            claims.State.EXPIRED: "it is no longer known whether a request with this id has run",
        }
        raise errors.RefusedError(
            messages[verdict.state], status=409, code=f"id-{verdict.state.value}", step="claim"
        )

    # Rate limit, slot and endpoint

    async def _admit_and_run(
        self,
        prepared: dispatch.PreparedRequest,
        state: dispatch.DispatchState,
        reply: server.Reply,
    ) -> claims.Outcome | None:
        terms = self._process.feed.view.contract_by_organisation.get(prepared.organisation)
        in_flight = self._in_flight_by_organisation.get(prepared.organisation, 0)
        if terms is None or in_flight >= terms.max_in_flight:
            raise errors.RefusedError(
                "too many requests in flight", status=429, code="in-flight", retry_after_s=1
            )
        self._in_flight_by_organisation[prepared.organisation] = in_flight + 1
        try:
            state.check_caller()
            await self._take_token(prepared)
            return await self._run_with_retries(prepared, state, reply)
        finally:
            self._in_flight_by_organisation[prepared.organisation] -= 1
            if not self._in_flight_by_organisation[prepared.organisation]:
                del self._in_flight_by_organisation[prepared.organisation]

    async def _take_token(self, prepared: dispatch.PreparedRequest) -> None:
        try:
            if self._process.admission.try_take_token(prepared.organisation):
                return
            remaining = prepared.deadline - self._process.clock.monotonic()
            async with asyncio.timeout(max(0.0, remaining.total_seconds())):
                taken = await self._process.admission.take_token(prepared.organisation)
        except (errors.UnavailableError, errors.NotFoundError, TimeoutError) as error:
            raise errors.RefusedError(
                f"the rate limit cannot be checked at the moment: {error}",
                status=503,
                code="rate-unreachable",
                retry_after_s=1,
                step="take token",
            ) from error
        if not taken:
            raise errors.RefusedError(
                "the contract's rate and burst are exceeded",
                status=429,
                code="over-rate",
                retry_after_s=1,
                step="take token",
            )

    async def _run_with_retries(
        self,
        prepared: dispatch.PreparedRequest,
        state: dispatch.DispatchState,
        reply: server.Reply,
    ) -> claims.Outcome | None:
        budget = self._budget_by_service.setdefault(prepared.route.service, dispatch.RetryBudget())
        budget.on_first_attempt()
        excluded: list[str] = []
        failure: errors.RefusedError | None = None
        while True:
            state.check_caller()
            try:
                grant = await self._request_slot(prepared, excluded)
            except errors.RefusedError as error:
                raise failure or error from error
            excluded.append(grant.endpoint)
            try:
                return await self._attempt(prepared, state, reply, grant)
            except (errors.TransportError, dispatch.ShedError) as error:
                if reply.started:
                    self._abort_response(prepared, grant, error)
                retry = (
                    len(excluded) < MAX_ATTEMPTS
                    and prepared.body_ended
                    and state.may_retry(prepared.route.idempotent)
                    and budget.take()
                )
                failure = _refusal_for(error, grant.endpoint)
                if not retry:
                    raise failure from error
                self._process.metrics.count(
                    "flamingotiller_retries_total", service=prepared.route.service
                )

    async def _request_slot(
        self, prepared: dispatch.PreparedRequest, excluded: list[str]
    ) -> slot_messages.SlotGrant:
        started_at = self._process.clock.monotonic()
        remaining = prepared.deadline - started_at
        if remaining <= clock.ZERO:
            raise slot_messages.refusal("deadline")
        slot_request = slot_messages.SlotRequest(
            service=prepared.route.service,
            organisation=prepared.organisation,
            deadline_s=remaining.total_seconds(),
            excluded=tuple(excluded),
            fingerprint=prepared.fingerprint,
            zone=self._process.config.zone,
        )
        grant = await self._process.slots.ask(slot_request)
        queued = self._process.clock.monotonic() - started_at
        self._process.metrics.observe(
            "flamingotiller_queue_seconds", queued.total_seconds(), service=prepared.route.service
        )
        return grant

    async def _attempt(
        self,
        prepared: dispatch.PreparedRequest,
        state: dispatch.DispatchState,
        reply: server.Reply,
        grant: slot_messages.SlotGrant,
    ) -> claims.Outcome | None:
        exchange = dispatch.Exchange(
            self._process.endpoint_pool,
            self._process.clock,
            prepared,
            state,
            grant.address,
            grant.keep,
        )
        result = "unused"
        try:
            self._recheck_key(prepared)
            result = "failed"
            outcome = await exchange.run(reply)
            result = "done"
            return outcome
        except errors.CallerLeftError:
            result = "unused"
            raise
        except dispatch.ShedError:
            result = "shed"
            raise
        except errors.ConnectError:
            result = "unreachable"
            raise
        except errors.ConnectionLostError:
            result = "died"
            raise
        finally:
            release = slot_messages.SlotRelease(
                grant.number,
                prepared.route.service,
                result,
                fingerprint=prepared.fingerprint,
                byte_count=exchange.byte_count,
            )
            # Waits until the crash is recorded against this request, before it is retried here or
            # resent by the caller.
            if result == "died":
                await self._process.slots.release(grant, release)
            else:
                self._process.slots.release_in_background(grant, release)

    def _abort_response(
        self, prepared: dispatch.PreparedRequest, grant: slot_messages.SlotGrant, error: Exception
    ) -> None:
        """Logs an incomplete response; the error makes the server close the caller's connection.

        Raises:
            errors.FlamingotillerError: Always.
        """
        events.emit(
            events.ANSWER_INCOMPLETE,
            endpoint=grant.endpoint,
            request_id=prepared.request_id,
            error=error,
        )
        raise error


def _cut_off(outcome: dispatch.Outcome) -> errors.RefusedError:
    """Returns the refusal of a request that a planned stop would cut off, or has cut off."""
    not_run = outcome is dispatch.Outcome.NOT_RUN
    return errors.RefusedError(
        "the instance is stopping",
        status=503 if not_run else 504,
        code="stopping",
        retry_after_s=0 if not_run else None,
    )


def _key_from(request: server.Request) -> str | None:
    return request.header("flamingotiller-key") or daemon.bearer_token(request) or None


def _find_route(
    view: configuration.View, organisation: str, request: server.Request
) -> contract.Route:
    terms = view.contract_by_organisation[organisation]
    route = terms.route_for(request.method, request.raw_path)
    if route is None:
        raise errors.RefusedError(
            f"no route serves {request.method} {request.path}",
            status=404,
            code="no-route",
            step="route",
        )
    return route


def _is_valid_request_id(text: str) -> bool:
    return len(text) <= claims.MAX_ID_LENGTH and all("!" <= c <= "~" for c in text)


def _time_limit(request: server.Request, route: contract.Route) -> datetime.timedelta:
    text = request.header("flamingotiller-deadline-ms")
    if text is None:
        return route.deadline
    if not text.isascii() or not text.isdecimal() or int(text) < MIN_DEADLINE_MS:
        raise _bad_request("flamingotiller-deadline-ms: expected a positive whole number")
    return min(route.deadline, datetime.timedelta(milliseconds=min(int(text), 3_600_000)))


def _bad_request(message: str) -> errors.RefusedError:
    return errors.RefusedError(message, status=400, code="bad-request", step="read head")


def _too_large() -> errors.RefusedError:
    return errors.RefusedError("body is too large", status=413, code="body", step="read body")


def _refusal_for(error: errors.FlamingotillerError, endpoint: str) -> errors.RefusedError:
    if isinstance(error, dispatch.ShedError):
        return errors.RefusedError(
            "the endpoint refused the request without running it",
            status=503,
            code="shed",
            retry_after_s=1,
            peer=endpoint,
        )
    if isinstance(error, errors.ExchangeTimeoutError):
        return errors.RefusedError(
            "the endpoint did not respond in time", status=504, code="timeout", peer=endpoint
        )
    return errors.RefusedError(
        "the endpoint's response failed", status=502, code="endpoint-failed", peer=endpoint
    )
