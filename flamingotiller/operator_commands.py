"""Command groups for operators, and helpers that all commands for operators share."""

from __future__ import annotations

import asyncio
import collections.abc
import dataclasses
import datetime
import inspect
import json
import os
import pathlib
import sys
import typing

import fire.decorators

from flamingotiller import clock, configuration, contract, errors, porcelain, settings

T = typing.TypeVar("T")


def parse_text_as_str(commands: type) -> type:
    """Makes Fire pass the arguments annotated as text to the commands of a class verbatim.

    Fire parses arguments that look like Python literals: key id 7e607813 would become infinity.
    """
    for method in vars(commands).values():
        if inspect.isfunction(method):
            text_arguments = [
                name
                for name, parameter in inspect.signature(method).parameters.items()
                if parameter.annotation in ("str", "str | None")
                and parameter.kind is not inspect.Parameter.VAR_POSITIONAL
            ]
            if text_arguments:
                fire.decorators.SetParseFn(str, *text_arguments)(method)
    return commands


class Session:
    """Connection and output options that all commands for operators share.

    Args:
        server: Control instances; taken from the environment if None.
        token_file: File with the token; taken from the environment if None.
        as_json: Whether to print JSON.
    """

    def __init__(self, server: typing.Any, token_file: str | None, as_json: bool) -> None:
        self._server = server
        self._token_file = token_file
        self._as_json = as_json

    def print_result(self, value: typing.Any, lines: collections.abc.Iterable[str]) -> None:
        """Prints a value as JSON if that was asked for, else the lines."""
        if self._as_json:
            print(json.dumps(value, default=dataclasses.asdict, sort_keys=True))
            return
        for line in lines:
            print(line)

    def run_with_operator(
        self, work: typing.Callable[[porcelain.Operator], typing.Awaitable[T]]
    ) -> T:
        """Runs ``work`` with an operator's client and returns its result."""
        servers, token = _servers(self._server), _token(self._token_file)
        if not servers:
            raise errors.SettingsError(
                "no control instance: give --server or FLAMINGOTILLER_SERVER"
            )

        async def connect_and_run() -> T:
            async with porcelain.connect(servers, token) as operator:
                return await work(operator)

        return asyncio.run(connect_and_run())

    async def submit_change(
        self,
        change_id: str | None,
        send: typing.Callable[[str], typing.Awaitable[configuration.Verdict]],
    ) -> configuration.Verdict:
        """Sends a change and prints the verdict.

        Its id is printed before it is sent, so that it can be retried after a failure.
        """
        id_ = str(change_id) if change_id else porcelain.new_change_id()
        print(f"change id {id_}", file=sys.stderr, flush=True)
        verdict = await send(id_)
        self.print_result(dataclasses.asdict(verdict), [format_verdict(verdict)])
        return verdict

    def list_items(self, prefix: str) -> None:
        """Prints name, version and author of the items whose subject has a prefix."""
        items = self.run_with_operator(lambda operator: operator.items(prefix))
        rows = {
            subject.removeprefix(prefix): {"version": i.version, "who": i.who, "at": i.at}
            for subject, i in items.items()
        }
        self.print_result(
            rows, (f"{n} version={r['version']} by={r['who']}" for n, r in rows.items())
        )


@parse_text_as_str
class KeyCommands:
    """Issues, revokes and lists keys of organisations."""

    def __init__(self, session: Session) -> None:
        self._session = session

    def give(self, organisation: str, change_id: str | None = None) -> None:
        """Issues a new key and prints it; it is not shown again, only its keyed hash is stored.

        Example:
            flamingotiller key give kazanlak
        """

        async def work(operator: porcelain.Operator) -> None:
            issued_keys: list[str] = []

            async def send(id_: str) -> configuration.Verdict:
                key, verdict = await operator.give_key(organisation, id_)
                issued_keys.append(key)
                return verdict

            verdict = await self._session.submit_change(change_id, send)
            # After a retry the verdict may be that of the first attempt, which made another key.
            if verdict.subject.endswith("/" + issued_keys[-1].split(".")[1]):
                print(f"key {issued_keys[-1]}")
            else:
                print(f"this change id already gave {verdict.subject}; its key is not shown again")

        self._session.run_with_operator(work)

    def withdraw(self, organisation: str, key_id: str, change_id: str | None = None) -> None:
        """Revokes a key; it stops working everywhere within seconds.

        Example:
            flamingotiller key withdraw kazanlak 5f01c2aa
        """

        async def work(operator: porcelain.Operator) -> None:
            await self._session.submit_change(
                change_id, lambda id_: operator.withdraw_key(organisation, str(key_id), id_)
            )

        self._session.run_with_operator(work)

    def list(self, organisation: str = "") -> None:
        """Lists the ids of the keys in force.

        Example:
            flamingotiller key list kazanlak
        """
        prefix = f"key/{organisation}/" if organisation else "key/"
        self._session.list_items(prefix)


@parse_text_as_str
class DrainCommands:
    """Starts, watches, lists and cancels drains of endpoints, instances, zones and regions."""

    def __init__(self, session: Session) -> None:
        self._session = session

    def start(
        self, kind: str, name: str, reason: str = "planned", change_id: str | None = None
    ) -> None:
        """Starts a drain; its target gets no new requests after a few seconds.

        Example:
            flamingotiller drain start zone thrace-a --reason="switch replacement"

        Args:
            kind: endpoint, instance, zone or region.
        """

        async def work(operator: porcelain.Operator) -> None:
            await self._session.submit_change(
                change_id, lambda id_: operator.start_drain(kind, name, reason, id_)
            )

        self._session.run_with_operator(work)

    def cancel(self, kind: str, name: str, change_id: str | None = None) -> None:
        """Ends a drain.

        Example:
            flamingotiller drain cancel zone thrace-a
        """

        async def work(operator: porcelain.Operator) -> None:
            await self._session.submit_change(
                change_id, lambda id_: operator.cancel_drain(kind, name, id_)
            )

        self._session.run_with_operator(work)

    def watch(self, kind: str, name: str, timeout: str = "60s") -> None:
        """Prints the number of requests in flight until it is 0; exits 6 at the timeout.

        Example:
            flamingotiller drain watch endpoint search-1
        """
        limit = parse_timeout(timeout)

        async def work(operator: porcelain.Operator) -> int:
            system_clock = clock.SystemClock()
            deadline = system_clock.monotonic() + limit
            while True:
                in_flight = await operator.count_in_flight(kind, name)
                print(f"{kind} {name}: {in_flight} requests in flight", flush=True)
                if not in_flight or system_clock.monotonic() >= deadline:
                    return in_flight
                await asyncio.sleep(1)

        if self._session.run_with_operator(work):
            raise errors.UnavailableError("requests are still in flight", step="drain watch")

    def list(self) -> None:
        """Lists the drains in force.

        Example:
            flamingotiller drain list
        """
        self._session.list_items("drain/")


@parse_text_as_str
class QuarantineCommands:
    """Lists and lifts quarantines of requests that crashed endpoints."""

    def __init__(self, session: Session) -> None:
        self._session = session

    def list(self) -> None:
        """Lists quarantined fingerprints.

        Example:
            flamingotiller quarantine list
        """
        self._session.list_items("quarantine/")

    def lift(self, fingerprint: str, change_id: str | None = None) -> None:
        """Lifts the quarantine of a fingerprint, so that such requests are served again.

        Example:
            flamingotiller quarantine lift 3f6a0c9b1d2e4f5061728394
        """

        async def work(operator: porcelain.Operator) -> None:
            await self._session.submit_change(
                change_id, lambda id_: operator.lift_quarantine(str(fingerprint), id_)
            )

        self._session.run_with_operator(work)


@parse_text_as_str
class MemberCommands:
    """Changes the members of the replicated log."""

    def __init__(self, session: Session) -> None:
        self._session = session

    def add(self, identity: str, address: str) -> None:
        """Adds a new member as a learner; its identity is in its log event 2012.

        Example:
            flamingotiller members add control-2.9c41d0ee 10.0.0.2:7300
        """
        self._change("add", identity, address)

    def promote(self, identity: str) -> None:
        """Makes a voter of a learner that has caught up.

        Example:
            flamingotiller members promote control-2.9c41d0ee
        """
        self._change("promote", identity, None)

    def remove(self, identity: str) -> None:
        """Removes a member, for example one whose disk was lost.

        Example:
            flamingotiller members remove control-2.0
        """
        self._change("remove", identity, None)

    def _change(self, action, identity, address) -> None:
        identity = str(identity)
        members = self._session.run_with_operator(
            lambda operator: operator.change_member(action, identity, address)
        )
        print(f"voters {sorted(members['voters'])} learners {sorted(members['learners'])}")


def _servers(server: typing.Any) -> list[str]:
    value = server if server is not None else os.environ.get("FLAMINGOTILLER_SERVER", "")
    addresses = typing.cast(list[str], settings.parse_list(value))
    try:
        return [settings.parse_address(address) for address in addresses]
    except ValueError as error:
        raise errors.SettingsError(f"--server: {error} (got {value!r})") from error


def _token(token_file: str | None) -> str:
    path = token_file or os.environ.get("FLAMINGOTILLER_TOKEN_FILE")
    if path:
        try:
            return pathlib.Path(path).read_text(encoding="utf-8").strip()
        except (OSError, UnicodeDecodeError) as error:
            raise errors.SettingsError(f"--token_file: cannot read {path}: {error}") from error
    token = os.environ.get("FLAMINGOTILLER_TOKEN", "")
    if not token:
        raise errors.SettingsError(
            "no token: give --token_file, FLAMINGOTILLER_TOKEN_FILE or FLAMINGOTILLER_TOKEN"
        )
    return token


def format_verdict(verdict: configuration.Verdict) -> str:
    """Formats a verdict as one line."""
    result = "accepted" if verdict.accepted else f"refused: {verdict.reason}"
    return (
        f"{verdict.subject} {verdict.from_version} -> {verdict.to_version} {result}"
        f" by={verdict.who} at={verdict.at} change_id={verdict.change_id}"
    )


def parse_timeout(text: typing.Any) -> datetime.timedelta:
    """Parses the value of ``--timeout``.

    Raises:
        errors.SettingsError: The text is not a duration.
    """
    try:
        return contract.parse_duration(text)
    except ValueError as error:
        raise errors.SettingsError(f"--timeout: {error} (got {text!r})") from error
