"""The way of a caller's request through an entry instance: authentication, route, claim, rate,
slot, endpoint, answer."""

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

MAX_TRIES = 3
MIN_DEADLINE_MS = 1


class RequestPath:
    """Serves callers' requests.

    Args:
        process: The entry instance.
    """

    def __init__(self, process: entry.EntryInstance) -> None:
        self._process = process
        self._budget_by_service: dict[str, dispatch.RetryBudget] = {}
        self._in_flight_by_organisation: dict[str, int] = {}

    async def serve(self, request: server.Request, reply: server.Reply) -> None:
        """Serves one request; every refusal says whether it may have run."""
        began = self._process.clock.monotonic()
        arrival = dispatch.Arrival()
        request_id = request.header("idempotency-key") or ""
        # Until the route is known to be idempotent, the id may have come before.
        arrival.claimable = bool(request_id)
        organisation, result = "", "served"
        try:
            organisation, route = self._authorise(request)
            work = await self._prepare(request, organisation, route, request_id, began)
            request_id = work.request_id
            await self._claim_and_run(work, arrival, reply)
        except errors.RefusedError as error:
            result = error.code
            self._count_refusal(organisation, error, arrival)
            if reply.started:
                raise
            reply.close_after = reply.close_after or not request.body_ended
            await dispatch.send_refusal(reply, error, arrival.outcome, request_id)
        finally:
            took = self._process.clock.monotonic() - began
            self._process.metrics.count(
                "flamingotiller_requests_total", organisation=organisation, result=result
            )
            self._process.metrics.observe("flamingotiller_request_seconds", took.total_seconds())

    def _count_refusal(self, organisation, error, arrival) -> None:
        self._process.metrics.count(
            "flamingotiller_refusals_total",
            organisation=organisation,
            code=error.code,
            outcome=arrival.outcome.value,
        )

    # Checks

    def _authorise(self, request: server.Request) -> tuple[str, contract.Route]:
        """Returns the organisation that a request runs for, and its route.

        Raises:
            errors.RefusedError: No key in force, or no such route.
        """
        view = self._process.feed.view
        key = _key_of(request)
        if key is None:
            return self._authorise_open(request, view)
        self._require_fresh()
        organisation = view.organisation_of_key(key)
        if organisation is None:
            raise errors.RefusedError(
                "the key is not in force", status=401, code="bad-key", step="authenticate"
            )
        return organisation, _route(view, organisation, request)

    def _authorise_open(
        self, request: server.Request, view: configuration.View
    ) -> tuple[str, contract.Route]:
        organisation = request.header("flamingotiller-organisation") or ""
        if organisation not in view.contract_by_organisation:
            raise errors.RefusedError(
                "a key, or the organisation of an open route, is needed",
                status=401,
                code="no-key",
                step="authenticate",
            )
        route = _route(view, organisation, request)
        if route.keyed:
            raise errors.RefusedError(
                "this route needs a key", status=401, code="no-key", step="authenticate"
            )
        return organisation, route

    def _require_fresh(self) -> None:
        if not self._process.feed.is_fresh(self._process.config.freshness_bound):
            raise errors.RefusedError(
                "keys cannot be confirmed now",
                status=503,
                code="not-confirmed",
                retry_after_s=1,
                step="authenticate",
            )

    def _recheck(self, work: dispatch.Work) -> None:
        """Checks the key again after the request has waited.

        Raises:
            errors.RefusedError: The key was withdrawn, or can no longer be confirmed.
        """
        if not work.route.keyed:
            return
        self._require_fresh()
        key = _key_of(work.request) or ""
        if self._process.feed.view.organisation_of_key(key) != work.organisation:
            raise errors.RefusedError(
                "the key is not in force", status=401, code="bad-key", step="dispatch"
            )

    async def _prepare(
        self,
        request: server.Request,
        organisation: str,
        route: contract.Route,
        request_id: str,
        began: datetime.timedelta,
    ) -> dispatch.Work:
        """Reads a request's body as far as it is buffered, and its deadline.

        Raises:
            errors.RefusedError: A header is malformed or the body too large.
        """
        if request_id and not _is_id(request_id):
            raise _bad_request("Idempotency-Key: 1 to 200 printable ASCII characters, no spaces")
        deadline = began + _deadline(request, route)
        length = request.declared_length()
        if length is not None and length > route.max_request_bytes:
            raise _too_large()
        parts: list[bytes] = []
        size = 0
        while size <= dispatch.BUFFERED_BODY_BYTES:
            try:
                chunk = await request.next_chunk()
            except errors.LimitExceededError as error:
                raise errors.RefusedError(
                    error.message, status=error.status, code="body", step="read body"
                ) from error
            if not chunk:
                break
            parts.append(chunk)
            size += len(chunk)
            if size > route.max_request_bytes:
                raise _too_large()
        made = request_id or f"{self._process.config.instance}.{secrets.token_hex(8)}"
        body = b"".join(parts)
        return dispatch.Work(
            request=request,
            organisation=organisation,
            route=route,
            request_id=made,
            body=body,
            body_ended=request.body_ended,
            deadline=deadline,
            fingerprint=quarantine.fingerprint(organisation, request.method, request.target, body),
        )

    # Claim

    async def _claim_and_run(
        self, work: dispatch.Work, arrival: dispatch.Arrival, reply: server.Reply
    ) -> None:
        arrival.claimable = arrival.claimable and not work.route.idempotent
        if not arrival.claimable:
            await self._admit_and_run(work, arrival, reply)
            return
        token = secrets.token_hex(8)
        claiming = self._process.claiming
        verdict = await self._claim(work, token)
        arrival.claim = verdict.state
        if verdict.state is not claims.State.GRANTED:
            await self._answer_claimed(work, verdict, reply)
            return
        key = (work.organisation, work.request_id)
        try:
            outcome = await self._admit_and_run(work, arrival, reply)
        except errors.RefusedError:
            if arrival.outcome is dispatch.Outcome.NOT_RUN:
                # A caller that is told "not run" may send again at once and must find it free.
                with contextlib.suppress(errors.FlamingotillerError):
                    await claiming.release(*key, token)
            raise
        except BaseException:
            if arrival.outcome is dispatch.Outcome.NOT_RUN:
                self._process.background(claiming.release(*key, token))
            raise
        if outcome:
            claiming.outcomes.put(*key, outcome, self._process.clock.monotonic())
            self._process.background(claiming.finish(*key, token))

    async def _claim(self, work: dispatch.Work, token: str) -> claims.Verdict:
        try:
            return await self._process.claiming.claim(work.organisation, work.request_id, token)
        except (errors.FlamingotillerError, KeyError, ValueError) as error:
            raise errors.RefusedError(
                f"the request id cannot be claimed now: {error}",
                status=503,
                code="claim-unreachable",
                retry_after_s=1,
                step="claim",
            ) from error

    async def _answer_claimed(
        self, work: dispatch.Work, verdict: claims.Verdict, reply: server.Reply
    ) -> None:
        """Answers a request that came before.

        Raises:
            errors.RefusedError: Its outcome is not known here.
        """
        if verdict.state is claims.State.FINISHED:
            outcome = await self._process.claiming.outcome(
                verdict.holder, work.organisation, work.request_id
            )
            if outcome:
                headers = [h for h in outcome.headers if h[0] != b"content-length"]
                headers.append((dispatch.REPLAYED_HEADER, b"1"))
                await reply.send(outcome.status, outcome.body, headers)
                return
        messages = {
            claims.State.RUNNING: "a request with this id is running or may have run",
            claims.State.FINISHED: "this request has run; its outcome is not kept any more",
            claims.State.EXPIRED: "whether this id has run is not known any more",
        }
        raise errors.RefusedError(
            messages[verdict.state], status=409, code=f"id-{verdict.state.value}", step="claim"
        )

    # Rate, slot and endpoint

    async def _admit_and_run(
        self, work: dispatch.Work, arrival: dispatch.Arrival, reply: server.Reply
    ) -> claims.Outcome | None:
        terms = self._process.feed.view.contract_by_organisation.get(work.organisation)
        held = self._in_flight_by_organisation.get(work.organisation, 0)
        if terms is None or held >= terms.max_in_flight:
            raise errors.RefusedError(
                "too many requests in flight", status=429, code="in-flight", retry_after_s=1
            )
        self._in_flight_by_organisation[work.organisation] = held + 1
        try:
            await self._take_token(work)
            return await self._run(work, arrival, reply)
        finally:
            self._in_flight_by_organisation[work.organisation] -= 1
            if not self._in_flight_by_organisation[work.organisation]:
                del self._in_flight_by_organisation[work.organisation]

    async def _take_token(self, work: dispatch.Work) -> None:
        try:
            if self._process.admission.take_at_once(work.organisation):
                return
            left = work.deadline - self._process.clock.monotonic()
            async with asyncio.timeout(max(0.0, left.total_seconds())):
                taken = await self._process.admission.take(work.organisation)
        except (errors.UnavailableError, errors.NotFoundError, TimeoutError) as error:
            raise errors.RefusedError(
                f"the rate cannot be checked now: {error}",
                status=503,
                code="rate-unreachable",
                retry_after_s=1,
                step="take token",
            ) from error
        if not taken:
            raise errors.RefusedError(
                "over the contract's rate and burst",
                status=429,
                code="over-rate",
                retry_after_s=1,
                step="take token",
            )

    async def _run(
        self, work: dispatch.Work, arrival: dispatch.Arrival, reply: server.Reply
    ) -> claims.Outcome | None:
        budget = self._budget_by_service.setdefault(work.route.service, dispatch.RetryBudget())
        budget.on_first_try()
        excluded: list[str] = []
        failure: errors.RefusedError | None = None
        while True:
            try:
                granted = await self._ask_slot(work, excluded)
            except errors.RefusedError as error:
                raise failure or error from error
            excluded.append(granted.endpoint)
            try:
                return await self._try(work, arrival, reply, granted)
            except (errors.TransportError, dispatch.ShedError) as error:
                if reply.started:
                    self._cut(work, granted, error)
                retry = (
                    len(excluded) < MAX_TRIES
                    and work.body_ended
                    and arrival.may_retry(work.route.idempotent)
                    and budget.take()
                )
                failure = _failed(error, granted.endpoint)
                if not retry:
                    raise failure from error
                self._process.metrics.count(
                    "flamingotiller_retries_total", service=work.route.service
                )

    async def _ask_slot(self, work: dispatch.Work, excluded: list[str]) -> slot_messages.SlotGrant:
        began = self._process.clock.monotonic()
        left = work.deadline - began
        if left <= clock.ZERO:
            raise slot_messages.refusal("deadline")
        ask = slot_messages.SlotRequest(
            service=work.route.service,
            organisation=work.organisation,
            deadline_s=left.total_seconds(),
            excluded=tuple(excluded),
            fingerprint=work.fingerprint,
            zone=self._process.config.zone,
        )
        granted = await self._process.slots.ask(ask)
        waited = self._process.clock.monotonic() - began
        self._process.metrics.observe(
            "flamingotiller_queue_seconds", waited.total_seconds(), service=work.route.service
        )
        return granted

    async def _try(
        self,
        work: dispatch.Work,
        arrival: dispatch.Arrival,
        reply: server.Reply,
        granted: slot_messages.SlotGrant,
    ) -> claims.Outcome | None:
        exchange = dispatch.Exchange(
            self._process.endpoint_pool,
            self._process.clock,
            work,
            arrival,
            granted.address,
            granted.keep,
        )
        result = "unused"
        try:
            self._recheck(work)
            result = "failed"
            outcome = await exchange.run(reply)
            result = "done"
            return outcome
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
                granted.number,
                work.route.service,
                result,
                fingerprint=work.fingerprint,
                byte_count=exchange.byte_count,
            )
            # Before this request is tried or sent again, its part in a death must be known.
            if result == "died":
                await self._process.slots.release(granted, release)
            else:
                self._process.slots.release_in_background(granted, release)

    def _cut(self, work: dispatch.Work, granted: slot_messages.SlotGrant, error: Exception) -> None:
        """Gives up an answer that has begun; the server cuts the caller's connection.

        Raises:
            errors.FlamingotillerError: Always.
        """
        events.emit(
            events.ANSWER_INCOMPLETE,
            endpoint=granted.endpoint,
            request_id=work.request_id,
            error=error,
        )
        raise error


def _key_of(request: server.Request) -> str | None:
    return request.header("flamingotiller-key") or daemon.bearer(request) or None


def _route(view: configuration.View, organisation: str, request: server.Request) -> contract.Route:
    terms = view.contract_by_organisation[organisation]
    route = terms.route_for(request.method, request.path)
    if route is None:
        raise errors.RefusedError(
            f"no route serves {request.method} {request.path}",
            status=404,
            code="no-route",
            step="route",
        )
    return route


def _is_id(text: str) -> bool:
    return len(text) <= claims.MAX_ID_LENGTH and all("!" <= c <= "~" for c in text)


def _deadline(request: server.Request, route: contract.Route) -> datetime.timedelta:
    text = request.header("flamingotiller-deadline-ms")
    if text is None:
        return route.deadline
    if not text.isascii() or not text.isdigit() or int(text) < MIN_DEADLINE_MS:
        raise _bad_request("flamingotiller-deadline-ms: expected a positive whole number")
    return min(route.deadline, datetime.timedelta(milliseconds=min(int(text), 3_600_000)))


def _bad_request(message: str) -> errors.RefusedError:
    return errors.RefusedError(message, status=400, code="bad-request", step="read head")


def _too_large() -> errors.RefusedError:
    return errors.RefusedError("body is too large", status=413, code="body", step="read body")


def _failed(error: errors.FlamingotillerError, endpoint: str) -> errors.RefusedError:
    if isinstance(error, dispatch.ShedError):
        return errors.RefusedError(
            "the endpoints are busy", status=503, code="shed", retry_after_s=1, peer=endpoint
        )
    if isinstance(error, errors.ExchangeTimeoutError):
        return errors.RefusedError(
            "the endpoint did not answer in time", status=504, code="timeout", peer=endpoint
        )
    return errors.RefusedError(
        "the endpoint's answer failed", status=502, code="endpoint-failed", peer=endpoint
    )
