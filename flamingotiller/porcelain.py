"""Operations for operators: a client class and helper functions.

The command line is a thin layer over this module; scripts may use it directly."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import datetime
import difflib
import json
import typing
import urllib.parse
import uuid

from flamingotiller import (
    client,
    clock,
    configuration,
    contract,
    control_client,
    errors,
)

CALL_TIMEOUT = clock.seconds(8)
INSTANCE_TIMEOUT = clock.seconds(2)
POLL_INTERVAL = clock.seconds(0.2)


@dataclasses.dataclass(frozen=True)
class Document:
    """A contract or deployment read from a file.

    Attributes:
        subject: Subject that the file sets.
        value: Decoded content of the file.
    """

    subject: str
    value: dict[str, typing.Any]


@dataclasses.dataclass(frozen=True)
class WaitResult:
    """Result of waiting for a version to be in force everywhere.

    Attributes:
        version: The version waited for.
        done: Whether every reporting process has at least this version.
        in_force: Names of the processes that have it.
        laggards: Version in force, by name, at the processes that don't have it.
    """

    version: int
    done: bool
    in_force: list[str]
    laggards: dict[str, int]


def read_document(path: str) -> Document:
    """Reads and validates a contract or deployment file.

    Raises:
        errors.ContractError: The file is invalid; the error lists each fault with its path.
    """
    value = contract.read_toml(path)
    if "zones" in value:
        contract.deployment_from_document(value)
        return Document("deployment/main", value)
    checked = contract.contract_from_document(value)
    return Document(f"contract/{checked.organisation}", value)


def new_change_id() -> str:
    """Returns a new random change id."""
    return str(uuid.uuid4())


def unified_diff(old: typing.Any, new: typing.Any) -> str:
    """Returns a unified diff of two values as JSON, empty if they are equal."""
    before, after = (
        json.dumps(value, indent=2, sort_keys=True).splitlines() if value is not None else []
        for value in (old, new)
    )
    return "\n".join(difflib.unified_diff(before, after, "in force", "file", lineterm=""))


class Operator:
    """Client of the control instances that acts for an operator.

    Args:
        servers: Addresses of control instances.
        token: The operator's credential.
    """

    def __init__(self, servers: typing.Sequence[str], token: str) -> None:
        self._pool = client.ConnectionPool()
        self._client = client.Client(self._pool, token)
        self._clock = clock.SystemClock()
        self._control = control_client.ControlClient(self._client, servers, self._clock)

    async def close(self) -> None:
        """Closes all connections."""
        await self._pool.close()

    async def change(
        self, subject: str, value: typing.Any, base: int | None, change_id: str | None = None
    ) -> configuration.Verdict:
        """Submits a change and returns the verdict.

        Args:
            subject: Subject to change.
            value: New value, None to remove the subject.
            base: Version of the subject that the change is based on, None for any.
            change_id: Id of the change; pass that of an earlier attempt to retry it. A new id is
                generated if None.

        Raises:
            errors.ConflictError: Another change came first, or the change is not allowed.
            errors.UnavailableError: No decision was reached; retry with the same change id.
        """
        body = {
            "change_id": change_id or new_change_id(),
            "subject": subject,
            "base": base,
            "value": value,
        }
        document = await self._control.call("POST", "/v1/changes", body, CALL_TIMEOUT)
        return configuration.Verdict(**document)

    async def items(self, prefix: str = "") -> dict[str, configuration.Item]:
        """Returns the items whose subject starts with a prefix, by subject."""
        query = urllib.parse.urlencode({"prefix": prefix})
        document = await self._get(f"/v1/items?{query}")
        return {s: configuration.Item(**item) for s, item in document["items"].items()}

    async def item(self, subject: str) -> configuration.Item | None:
        """Returns the item of a subject, None if there is none."""
        return (await self.items(subject)).get(subject)

    async def current_version(self, subject: str) -> int:
        """Returns the version of a subject, 0 if there is none."""
        item = await self.item(subject)
        return item.version if item else 0

    async def apply(
        self, document: Document, base: int | None = None, change_id: str | None = None
    ) -> configuration.Verdict:
        """Puts a contract or deployment in force.

        Args:
            document: The contract or deployment.
            base: Version that the file is based on; the version in force if None.
            change_id: Id of an earlier attempt to retry.
        """
        if base is None:
            # A retry must equal the first attempt, its base included, so no new base is looked up.
            base = None if change_id else await self.current_version(document.subject)
        return await self.change(document.subject, document.value, base, change_id)

    async def give_key(
        self, organisation: str, change_id: str | None = None
    ) -> tuple[str, configuration.Verdict]:
        """Issues a new key to an organisation.

        Returns:
            The key, which cannot be retrieved later, and the verdict.
        """
        key_text, key_id, key = configuration.generate_key(organisation)
        verdict = await self.change(
            f"key/{organisation}/{key_id}", dataclasses.asdict(key), 0, change_id
        )
        return key_text, verdict

    async def withdraw_key(
        self, organisation: str, key_id: str, change_id: str | None = None
    ) -> configuration.Verdict:
        """Revokes a key of an organisation."""
        return await self.change(f"key/{organisation}/{key_id}", None, None, change_id)

    async def start_drain(
        self, kind: str, name: str, reason: str, change_id: str | None = None
    ) -> configuration.Verdict:
        """Starts a drain of an endpoint, instance, zone or region."""
        subject = f"drain/{kind}/{name}"
        return await self.change(subject, {"reason": reason}, None, change_id)

    async def cancel_drain(
        self, kind: str, name: str, change_id: str | None = None
    ) -> configuration.Verdict:
        """Ends a drain."""
        return await self.change(f"drain/{kind}/{name}", None, None, change_id)

    async def lift_quarantine(
        self, fingerprint: str, change_id: str | None = None
    ) -> configuration.Verdict:
        """Lifts the quarantine of a request fingerprint, so that such requests are served again."""
        return await self.change(f"quarantine/{fingerprint}", None, None, change_id)

    async def audit(self, prefix: str = "", limit: int = 100) -> list[configuration.Verdict]:
        """Returns the latest verdicts, newest first."""
        query = urllib.parse.urlencode({"prefix": prefix, "limit": limit})
        document = await self._get(f"/v1/audit?{query}")
        return [configuration.Verdict(**row) for row in document["rows"]]

    async def status(self) -> dict[str, typing.Any]:
        """Returns the members of the replicated log and the report of each process."""
        return await self._get("/v1/status")

    async def wait(self, version: int, timeout: datetime.timedelta) -> WaitResult:
        """Waits until every reporting process has a version in force, or until the timeout."""
        deadline = self._clock.monotonic() + timeout
        while True:
            result = _compare_reports(version, (await self.status())["reports"])
            if result.done or self._clock.monotonic() >= deadline:
                return result
            await asyncio.sleep(POLL_INTERVAL.total_seconds())

    async def instances(self) -> list[dict[str, typing.Any]]:
        """Returns the state of each reporting entry instance.

        The row of an unreachable instance has the error instead.
        """
        reports = (await self.status())["reports"]
        entries = [(n, r["address"]) for n, r in reports.items() if r["zone"] != "control"]
        return await asyncio.gather(*(self._fetch_instance(n, a) for n, a in sorted(entries)))

    async def _fetch_instance(self, name: str, address: str) -> dict[str, typing.Any]:
        try:
            answer = await self._client.call(
                address, "GET", "/v1/instance", timeout=INSTANCE_TIMEOUT
            )
            return client.raise_for_status(answer, step="instance", peer=address)
        except errors.FlamingotillerError as error:
            return {"instance": name, "error": str(error), "services": {}, "in_flight": 0}

    async def count_in_flight(self, kind: str, name: str) -> int:
        """Returns the number of requests still in flight at the target of a drain."""
        rows = await self.instances()
        if kind == "endpoint":
            return sum(
                endpoint["used"]
                for row in rows
                for queue in row["services"].values()
                for endpoint in queue["endpoints"]
                if endpoint["name"] == name
            )
        zones = {name}
        if kind == "region":
            deployment = await self.item("deployment/main")
            zones = (
                {z["name"] for z in deployment.value["zones"] if z["region"] == name}
                if deployment
                else set()
            )
        return sum(
            row["in_flight"]
            for row in rows
            if (row["instance"] == name if kind == "instance" else row.get("zone") in zones)
        )

    async def change_member(
        self, action: str, identity: str, address: str | None = None
    ) -> dict[str, typing.Any]:
        """Adds, promotes or removes a member of the replicated log."""
        body = {"action": action, "identity": identity, "address": address}
        return await self._control.call("POST", "/v1/members", body, CALL_TIMEOUT)

    async def _get(self, target: str) -> typing.Any:
        return await self._control.call("GET", target, None, CALL_TIMEOUT)


def _compare_reports(version: int, reports: dict[str, typing.Any]) -> WaitResult:
    laggards = {n: r["version"] for n, r in reports.items() if r["version"] < version}
    in_force = sorted(n for n in reports if n not in laggards)
    return WaitResult(version, not laggards, in_force, laggards)


@contextlib.asynccontextmanager
async def connect(servers: typing.Sequence[str], token: str) -> typing.AsyncIterator[Operator]:
    """Yields an operator's client and closes it afterwards."""
    operator = Operator(servers, token)
    try:
        yield operator
    finally:
        await operator.close()
