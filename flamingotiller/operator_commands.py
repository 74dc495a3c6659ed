"""Commands of operators that come in groups, and what all operators' commands share."""

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
    """Makes the text arguments of a class of commands reach them as they were typed.

    The command line reads what looks like a number as one: key id 7e607813 would be infinity.
    """
    for method in vars(commands).values():
        if inspect.isfunction(method):
            texts = [
                name
                for name, parameter in inspect.signature(method).parameters.items()
                if parameter.annotation in ("str", "str | None")
                and parameter.kind is not inspect.Parameter.VAR_POSITIONAL
            ]
            if texts:
                fire.decorators.SetParseFn(str, *texts)(method)
    return commands


class Session:
    """What operators' commands share: where to ask, as whom, and how to print.

    Args:
        server: Control instances; from the environment when None.
        token_file: File with the token; from the environment when None.
        as_json: Whether to print JSON.
    """

    def __init__(self, server: typing.Any, token_file: str | None, as_json: bool) -> None:
        self._server = server
        self._token_file = token_file
        self._as_json = as_json

    def print_result(self, value: typing.Any, lines: collections.abc.Iterable[str]) -> None:
        """Prints a value as JSON or as lines."""
        if self._as_json:
            print(json.dumps(value, default=dataclasses.asdict, sort_keys=True))
            return
        for line in lines:
            print(line)

    def run_with_operator(
        self, work: typing.Callable[[porcelain.Operator], typing.Awaitable[T]]
    ) -> T:
        """Runs work with an operator's client."""
        servers, token = _servers(self._server), _token(self._token_file)
        if not servers:
            raise errors.SettingsError(
                "no control instance: give --server or FLAMINGOTILLER_SERVER"
            )

        async def connected() -> T:
            async with porcelain.connect(servers, token) as operator:
                return await work(operator)

        return asyncio.run(connected())

    async def submit_change(
        self,
        change_id: str | None,
        ask: typing.Callable[[str], typing.Awaitable[configuration.Verdict]],
    ) -> configuration.Verdict:
        """Sends a change under an id that is printed first, so that it can be sent again."""
        id_ = str(change_id) if change_id else porcelain.new_change_id()
        print(f"change id {id_}", file=sys.stderr, flush=True)
        verdict = await ask(id_)
        self.print_result(dataclasses.asdict(verdict), [format_verdict(verdict)])
        return verdict

    def list_items(self, prefix: str) -> None:
        """Prints the names, versions and authors of the items below a prefix."""
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
    """Gives, withdraws and lists organisations' keys."""

    def __init__(self, session: Session) -> None:
        self._session = session

    def give(self, organisation: str, change_id: str | None = None) -> None:
        """Gives a new key and prints it this once; only its keyed hash is stored.

        Example:
            flamingotiller key give kazanlak
        """

        async def work(operator: porcelain.Operator) -> None:
            made: list[str] = []

            async def ask(id_: str) -> configuration.Verdict:
                text, verdict = await operator.give_key(organisation, id_)
                made.append(text)
                return verdict

            verdict = await self._session.submit_change(change_id, ask)
            if verdict.subject.endswith("/" + made[-1].split(".")[1]):
                print(f"key {made[-1]}")
            else:
                print(f"this change id already gave {verdict.subject}; its key is not shown again")

        self._session.run_with_operator(work)

    def withdraw(self, organisation: str, key_id: str, change_id: str | None = None) -> None:
        """Withdraws a key; it stops working everywhere within seconds.

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
    """Announces, watches, lists and cancels drains of endpoints, instances, zones and regions."""

    def __init__(self, session: Session) -> None:
        self._session = session

    def start(
        self, kind: str, name: str, reason: str = "planned", change_id: str | None = None
    ) -> None:
        """Announces a drain; what is drained gets no new work after a few seconds.

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
        """Prints the requests still in flight until there are none; exits 6 at the timeout.

        Example:
            flamingotiller drain watch endpoint search-1
        """
        limit = parse_timeout(timeout)

        async def work(operator: porcelain.Operator) -> int:
            source = clock.SystemClock()
            deadline = source.monotonic() + limit
            while True:
                left = await operator.count_in_flight(kind, name)
                print(f"{kind} {name}: {left} requests in flight", flush=True)
                if not left or source.monotonic() >= deadline:
                    return left
                await asyncio.sleep(1)

        if self._session.run_with_operator(work):
            raise errors.UnavailableError("requests are still in flight", step="drain watch")

    def list(self) -> None:
        """Lists drains.

        Example:
            flamingotiller drain list
        """
        self._session.list_items("drain/")


@parse_text_as_str
class QuarantineCommands:
    """Lists and lifts the quarantine of requests that crashed endpoints."""

    def __init__(self, session: Session) -> None:
        self._session = session

    def list(self) -> None:
        """Lists quarantined fingerprints.

        Example:
            flamingotiller quarantine list
        """
        self._session.list_items("quarantine/")

    def lift(self, fingerprint: str, change_id: str | None = None) -> None:
        """Serves a quarantined request again.

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
        """Adds a newcomer as a learner; its identity stands in its log line 2012.

        Example:
            flamingotiller members add control-2.9c41d0ee 10.0.0.2:7300
        """
        self._change("add", identity, address)

    def promote(self, identity: str) -> None:
        """Makes a learner that has caught up a voter.

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
        held = self._session.run_with_operator(
            lambda operator: operator.change_member(action, identity, address)
        )
        print(f"voters {sorted(held['voters'])} learners {sorted(held['learners'])}")


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
    """Returns a verdict as one line."""
    result = "accepted" if verdict.accepted else f"refused: {verdict.reason}"
    return (
        f"{verdict.subject} {verdict.from_version} -> {verdict.to_version} {result}"
        f" by={verdict.who} at={verdict.at} change_id={verdict.change_id}"
    )


def parse_timeout(text: typing.Any) -> datetime.timedelta:
    """Parses the value of ``--timeout``.

    Raises:
        errors.SettingsError: Not a duration.
    """
    try:
        return contract.parse_duration(text)
    except ValueError as error:
        raise errors.SettingsError(f"--timeout: {error} (got {text!r})") from error
