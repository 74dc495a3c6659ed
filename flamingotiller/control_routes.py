"""Routes of the control instance: replication, feed and claims for peers; changes, members and
status for operators."""

from __future__ import annotations

import dataclasses
import typing

import pydantic

from flamingotiller import (
    clock,
    configuration,
    control,
    errors,
    events,
    kernel,
    replica_messages,
    replica_transport,
    server,
    settings,
)

MAX_AUDIT_ROWS = 1000


class ChangeRequest(pydantic.BaseModel):
    """Body of ``POST /v1/changes``."""

    model_config = pydantic.ConfigDict(extra="forbid", strict=True)

    change_id: str = pydantic.Field(min_length=1, max_length=200)
    subject: str = pydantic.Field(min_length=1, max_length=300)
    base: int | None = pydantic.Field(default=None, ge=0)
    value: typing.Any = None


class ReplicaRequest(pydantic.BaseModel):
    """Body of ``POST /v1/replica``."""

    model_config = pydantic.ConfigDict(extra="forbid", strict=True)

    sender: str
    message: dict[str, typing.Any]


class ClaimRequest(pydantic.BaseModel):
    """Body of ``POST /v1/log-claims``."""

    model_config = pydantic.ConfigDict(extra="forbid", strict=True)

    kind: typing.Literal["claim", "release", "finish"]
    organisation: str = pydantic.Field(max_length=63)
    id: str = pydantic.Field(min_length=1, max_length=200)
    arrival: str = pydantic.Field(min_length=1, max_length=64)
    holder: str = pydantic.Field(default="", max_length=64)


class MemberRequest(pydantic.BaseModel):
    """Body of ``POST /v1/members``."""

    model_config = pydantic.ConfigDict(extra="forbid", strict=True)

    action: typing.Literal["add", "promote", "remove"]
    identity: str = pydantic.Field(min_length=1, max_length=100)
    address: settings.Address | None = None


# Operators and entry instances send a change again, or give it up, when it is older.
MAX_ORDER_AGE = clock.seconds(5)

Model = typing.TypeVar("Model", bound=pydantic.BaseModel)


def validate(model: type[Model], document: typing.Any, peer: str) -> Model:
    """Validates a decoded body.

    Args:
        model: Expected form of the body.
        document: The decoded body.
        peer: Sender of the body, for errors.

    Raises:
        errors.InvalidInputError: The body is invalid; the error lists each fault with its path.
    """
    try:
        return model.model_validate(document)
    except pydantic.ValidationError as error:
        faults = [
            f"{'.'.join(map(str, fault['loc'])) or '(body)'}: {fault['msg']}"
            for fault in error.errors()
        ]
        raise errors.InvalidInputError(
            "body is not valid", faults=faults, step="read body", peer=peer
        ) from error


async def read_model(model: type[Model], request: server.Request) -> Model:
    """Reads the body of a request and validates it; see ``validate``."""
    return validate(model, await request.read_json(), request.peer)


@kernel.control_routes.register(f"POST {replica_transport.MESSAGE_PATH}")
async def receive_message(
    process: control.ControlInstance, request: server.Request, reply: server.Reply
) -> None:
    """Receives a message of another member and answers with the replies to it."""
    process.require_peer(request)
    body = await read_model(ReplicaRequest, request)
    message = replica_messages.message_from_wire(body.message)
    replies = await process.log.receive(body.sender, message)
    await reply.json(200, {"replies": [replica_messages.message_to_wire(item) for item in replies]})


@kernel.control_routes.register(f"POST {replica_transport.PART_PATH}")
async def receive_part(
    process: control.ControlInstance, request: server.Request, reply: server.Reply
) -> None:
    """Receives a part of a long message and answers with the replies once it is complete."""
    process.require_peer(request)
    replies = await process.log.receive_part(await request.read_json())
    await reply.json(200, {"replies": [replica_messages.message_to_wire(item) for item in replies]})


@kernel.control_routes.register("POST /v1/feed")
async def feed(
    process: control.ControlInstance, request: server.Request, reply: server.Reply
) -> None:
    """Answers a subscriber; see ``flamingotiller.feed``."""
    process.require_peer(request)
    document = await request.read_json()
    await reply.json(200, await process.feed.answer(document))


@kernel.control_routes.register("POST /v1/changes")
async def change(
    process: control.ControlInstance, request: server.Request, reply: server.Reply
) -> None:
    """Proposes an operator's change to the log."""
    who = process.require_operator(request)
    await _propose_change(process, who, request, reply)


@kernel.control_routes.register("POST /v1/reports/quarantine")
async def report_quarantine(
    process: control.ControlInstance, request: server.Request, reply: server.Reply
) -> None:
    """Proposes to the log a quarantine that an entry instance reports."""
    process.require_peer(request)
    await _propose_change(process, "entry", request, reply, allowed_prefix="quarantine/")


def _require_recent(process: control.ControlInstance, request: server.Request) -> None:
    """Checks that a request cannot have waited here, for example while the process was suspended,
    until after its sender gave it up and sent another one elsewhere.

    Raises:
        errors.UnavailableError: It may have.
    """
    age = process.clock.monotonic() - (request.arrived_after or process.clock.monotonic())
    if age > MAX_ORDER_AGE:
        raise errors.UnavailableError(
            "the request has waited for too long; send it again", step="order", peer=request.peer
        )


async def _propose_change(process, who, request, reply, allowed_prefix: str = "") -> None:
    _require_recent(process, request)
    body = await read_model(ChangeRequest, request)
    if not body.subject.startswith(allowed_prefix):
        raise errors.InvalidInputError(
            f"only {allowed_prefix} subjects are allowed here", step="change"
        )
    requested = configuration.Change(
        body.change_id,
        who,
        configuration.format_timestamp(process.clock.utc()),
        body.subject,
        body.base,
        body.value,
    )
    configuration.check_change(requested)
    verdict = await process.propose({"kind": "change", "change": requested.to_wire()})
    _report_verdict(process, verdict)
    if verdict.accepted:
        await reply.json(200, dataclasses.asdict(verdict))
        return
    await reply.json(409, {"message": verdict.reason, **dataclasses.asdict(verdict)})


def _report_verdict(process: control.ControlInstance, verdict: configuration.Verdict) -> None:
    fields = {"who": verdict.who, "change_id": verdict.change_id, "subject": verdict.subject}
    if verdict.accepted:
        events.emit(events.CHANGE_ACCEPTED, version=verdict.to_version, **fields)
    else:
        events.emit(events.CHANGE_REFUSED, reason=verdict.reason, **fields)
    result = "accepted" if verdict.accepted else "refused"
    process.metrics.count("flamingotiller_changes_total", result=result)


def _require_confirmed(process: control.ControlInstance) -> None:
    """Checks that this instance may answer reads: it leads, and a quorum confirmed it recently.

    Raises:
        errors.NotLeaderError: This instance does not lead.
        errors.UnavailableError: No quorum has confirmed this leader recently.
    """
    if process.replica.role != "leader":
        raise errors.NotLeaderError(
            "this control instance does not lead", leader=process.leader_address(), step="read"
        )
    if not process.feed.is_fresh(2 * process.config.election_timeout):
        raise errors.UnavailableError("no quorum has confirmed this leader yet", step="read")


@kernel.control_routes.register("GET /v1/items")
async def items(
    process: control.ControlInstance, request: server.Request, reply: server.Reply
) -> None:
    """Answers an operator with the items whose subject starts with ``prefix``."""
    process.require_operator(request)
    _require_confirmed(process)
    prefix = request.query.get("prefix", "")
    selected = {
        subject: dataclasses.asdict(item)
        for subject, item in sorted(process.state.configuration.item_by_subject.items())
        if subject.startswith(prefix)
    }
    await reply.json(200, {"version": process.state.configuration.version, "items": selected})


@kernel.control_routes.register("GET /v1/audit")
async def audit(
    process: control.ControlInstance, request: server.Request, reply: server.Reply
) -> None:
    """Answers an operator with the newest verdicts, newest first."""
    process.require_operator(request)
    _require_confirmed(process)
    prefix = request.query.get("prefix", "")
    limit = _parse_limit(request.query.get("limit", "100"))
    rows = []
    for verdict in reversed(process.state.configuration.verdict_by_change_id.values()):
        if verdict.subject.startswith(prefix):
            rows.append(dataclasses.asdict(verdict))
        if len(rows) >= limit:
            break
    await reply.json(200, {"rows": rows})


def _parse_limit(text: str) -> int:
    if not text.isascii() or not text.isdecimal() or not 1 <= int(text) <= MAX_AUDIT_ROWS:
        raise errors.InvalidInputError(
            f"limit: expected 1 to {MAX_AUDIT_ROWS}, got {text!r}", step="audit"
        )
    return int(text)


@kernel.control_routes.register("GET /v1/status")
async def status(
    process: control.ControlInstance, request: server.Request, reply: server.Reply
) -> None:
    """Answers an operator with the members of the log and the latest report of each process."""
    process.require_operator(request)
    _require_confirmed(process)
    members = process.replica.members
    rows = []
    for identity in (*members.voters, *members.learners):
        progress = process.replica.progress_of(identity)
        rows.append(
            {
                "identity": identity,
                "address": members.address_of(identity),
                "voter": identity in members.voters,
                "behind": process.replica.store.last_index - (progress.match if progress else 0),
            }
        )
    reports = process.feed.reports()
    await reply.json(
        200,
        {
            "version": process.feed.version,
            "leader": process.replica.identity,
            "term": process.replica.store.term,
            "members": rows,
            "reports": {name: dataclasses.asdict(report) for name, report in reports.items()},
        },
    )


@kernel.control_routes.register("POST /v1/log-claims")
async def log_claim(
    process: control.ControlInstance, request: server.Request, reply: server.Reply
) -> None:
    """Claims, releases or finishes a caller-chosen request id."""
    process.require_peer(request)
    body = await read_model(ClaimRequest, request)
    at_ms = int(process.clock.utc().timestamp() * 1000)
    verdict = await process.propose({**body.model_dump(), "at_ms": at_ms})
    if body.kind != "claim":
        await reply.json(200, {})
        return
    if verdict is None:
        raise errors.UnavailableError("the table of claims is full", step="claim")
    await reply.json(200, {"state": verdict.state.value, "holder": verdict.holder})


@kernel.control_routes.register("POST /v1/members")
async def change_members(
    process: control.ControlInstance, request: server.Request, reply: server.Reply
) -> None:
    """Adds a learner, promotes a caught-up learner to a voter, in place of the identity that its
    instance had before it lost its disk, or removes a member."""
    process.require_operator(request)
    _require_recent(process, request)
    body = await read_model(MemberRequest, request)
    await process.change_members(lambda members: _apply_member_request(members, body))
    await reply.json(200, process.replica.members.to_wire())


def _apply_member_request(
    members: replica_messages.Members, body: MemberRequest
) -> replica_messages.Members:
    """Returns the membership after a requested change."""
    voters, learners = dict(members.voters), dict(members.learners)
    if body.action == "add":
        if not body.address:
            raise errors.InvalidInputError("address: needed to add a member", step="members")
        if body.identity in voters:
            raise errors.InvalidInputError("already a voter", step="members")
        learners[body.identity] = body.address
    elif body.action == "promote":
        if body.identity not in learners:
            raise errors.NotFoundError(f"{body.identity} is not a learner", step="members")
        return members.with_promoted(body.identity)
    else:
        if body.identity not in voters and body.identity not in learners:
            raise errors.NotFoundError(f"{body.identity} is not a member", step="members")
        voters.pop(body.identity, None)
        learners.pop(body.identity, None)
    return replica_messages.Members(voters, learners)
