"""The command line: a thin layer over ``flamingotiller.porcelain`` and the daemons.

Exit codes: 0 done; 1 failed; 2 bad input; 3 not authenticated; 4 conflict; 5 not found;
6 nothing could be decided now; 7 storage failed."""

from __future__ import annotations

import asyncio
import collections.abc
import dataclasses
import functools
import json
import os
import pathlib
import sys
import typing

import fire

from flamingotiller import (
    __version__,
    caller,
    clock,
    configuration,
    contract,
    control,
    daemon,
    entry,
    errors,
    events,
    porcelain,
    settings,
    tour,
)

EXIT_USAGE = 2
T = typing.TypeVar("T")


def _show(value: typing.Any, as_json: bool, lines: collections.abc.Iterable[str]) -> None:
    if as_json:
        print(json.dumps(value, default=dataclasses.asdict, sort_keys=True))
        return
    for line in lines:
        print(line)


class Commands:
    """Steers requests from callers to endpoints across availability zones and regions.

    Daemons: entry, control (after found). First try: run. Operators: apply, show, diff, history,
    remove, key, drain, quarantine, status, instances, wait, audit, members. Offline: check,
    version. Settings of daemons: docs/SETTINGS.md. Operators' commands take --server
    (FLAMINGOTILLER_SERVER) and --token_file (FLAMINGOTILLER_TOKEN_FILE, or the token itself in
    FLAMINGOTILLER_TOKEN).
    """

    def __init__(self) -> None:
        self.key = KeyCommands()
        self.drain = DrainCommands()
        self.quarantine = QuarantineCommands()
        self.members = MemberCommands()

    def entry(self, **flags: typing.Any) -> None:
        """Runs an entry instance until TERM.

        Example:
            flamingotiller entry --instance=a-1 --zone=a --listen=10.0.1.1:7400
            --control=10.0.0.1:7300,10.0.0.2:7300 --tokens_file=/etc/flamingotiller/tokens.toml
        """
        config = settings.load(settings.EntrySettings, flags, os.environ)
        _run_daemon(config, entry.build)

    def control(self, **flags: typing.Any) -> None:
        """Runs a control instance until TERM.

        Example:
            flamingotiller control --instance=control-1 --listen=10.0.0.1:7300
            --data=/var/lib/flamingotiller --tokens_file=/etc/flamingotiller/tokens.toml
        """
        config = settings.load(settings.ControlSettings, flags, os.environ)
        _run_daemon(config, control.build)

    def found(self, instance: str, members: typing.Any, data: str) -> None:
        """Makes the data folder of a founding control instance; run once on each of them.

        A folder that was lost is not founded again: see docs/OPERATIONS.md.

        Example:
            flamingotiller found control-1
            control-1=10.0.0.1:7300,control-2=10.0.0.2:7300,control-3=10.0.0.3:7300 /var/lib/ft

        Args:
            instance: This control instance.
            members: Every founding control instance, NAME=IP:PORT separated by commas.
            data: The data folder.
        """
        try:
            parsed = typing.cast(dict[str, str], settings.parse_mapping(members))
            addresses = {name: settings.parse_address(text) for name, text in parsed.items()}
        except ValueError as error:
            raise errors.SettingsError(f"members: {error}", step="found") from error
        control.found(pathlib.Path(data), instance, addresses)
        print(f"founded {instance} in {data}")

    def run(self, keep: bool = False, log_format: str = "text", quiet: bool = True) -> None:
        """Runs every role in this process, with emulated endpoints, and sends real requests.

        Example:
            flamingotiller run --keep

        Args:
            keep: Keep it up afterwards, with its addresses printed.
            log_format: Form of log lines, text or json.
            quiet: Leave out the log.
        """
        events.configure(log_format)
        if quiet:
            events.silence()
        asyncio.run(tour.run(keep=keep))

    def check(self, *files: str, role: str = "", **flags: typing.Any) -> None:
        """Checks contracts, deployments, or the settings of a role, and starts nothing.

        Example:
            flamingotiller check examples/register/*.toml

        Args:
            files: TOML files.
            role: entry or control, to check flags and environment as that role would.
        """
        if not files and not role:
            raise errors.SettingsError("nothing to check: name files or a role", step="check")
        for path in files:
            print(f"{path}: {porcelain.read_document(path).subject} is valid")
        if role:
            models: dict[str, type[settings.CommonSettings]] = {
                "entry": settings.EntrySettings,
                "control": settings.ControlSettings,
            }
            if role not in models:
                raise errors.SettingsError(f"--role: {role!r}; allowed: entry, control")
            config = settings.load(models[role], flags, os.environ)
            settings.load_tokens(config.tokens_file)
            print(f"settings of {role} are valid")

    def version(self) -> None:
        """Prints the version.

        Example:
            flamingotiller version
        """
        print(__version__)

    def lookup(
        self, entries: typing.Any, organisation: str, json: bool = False  # noqa: A002
    ) -> None:
        """Prints the entry instances that a caller should use, best first.

        Example:
            flamingotiller lookup 10.0.1.1:7400 kazanlak

        Args:
            entries: Addresses of entry instances, separated by commas.
            organisation: The caller's organisation.
        """
        seeds = typing.cast(list[str], settings.parse_list(entries))

        async def work() -> list[str]:
            sender = caller.Caller(seeds, organisation, None, clock.SystemClock())
            try:
                return await sender.instances()
            finally:
                await sender.close()

        found = asyncio.run(work())
        _show(found, json, found)

    def apply(
        self,
        *files: str,
        base: int | None = None,
        change_id: str | None = None,
        server: typing.Any = None,
        token_file: str | None = None,
        json: bool = False,  # noqa: A002
    ) -> None:
        """Puts contracts and deployments in force.

        Example:
            flamingotiller apply contracts/kazanlak.toml --base=41

        Args:
            files: TOML files.
            base: Version that the file was made from; a newer one in force is a conflict.
            change_id: Change id of a change to be sent again; one file only.
            server: Control instances.
            token_file: File with the operator's token.
            json: Print one JSON object a change.
        """
        documents = [porcelain.read_document(path) for path in files]
        if not documents or (change_id and len(documents) > 1):
            raise errors.SettingsError("name a file, and only one with --change_id", step="apply")

        async def work(operator: porcelain.Operator) -> None:
            for document in documents:
                ask = functools.partial(operator.apply, document, base)
                await _change(json, change_id, ask)

        _operate(server, token_file, work)

    def show(
        self,
        prefix: str = "",
        server: typing.Any = None,
        token_file: str | None = None,
        json: bool = False,  # noqa: A002
    ) -> None:
        """Prints what is in force.

        Example:
            flamingotiller show contract/

        Args:
            prefix: Start of the subjects, for example contract/kazanlak.
        """
        items = _operate(server, token_file, lambda operator: operator.items(prefix))
        rows = (
            f"{subject} version={item.version} by={item.who} at={item.at} {_compact(item.value)}"
            for subject, item in items.items()
        )
        _show({s: dataclasses.asdict(item) for s, item in items.items()}, json, rows)

    def diff(self, file: str, server: typing.Any = None, token_file: str | None = None) -> None:
        """Prints how a file differs from what is in force, and the version to base it on.

        Example:
            flamingotiller diff contracts/kazanlak.toml
        """
        document = porcelain.read_document(file)
        item = _operate(server, token_file, lambda operator: operator.item(document.subject))
        print(f"{document.subject} is at version {item.version if item else 0}")
        print(porcelain.difference(item.value if item else None, document.value) or "no difference")

    def remove(
        self,
        subject: str,
        base: int | None = None,
        change_id: str | None = None,
        server: typing.Any = None,
        token_file: str | None = None,
        json: bool = False,  # noqa: A002
    ) -> None:
        """Removes a subject, for example an organisation's contract.

        Example:
            flamingotiller remove contract/kazanlak --base=41
        """

        async def work(operator: porcelain.Operator) -> None:
            await _change(json, change_id, lambda id_: operator.change(subject, None, base, id_))

        _operate(server, token_file, work)

    def history(
        self,
        subject: str,
        limit: int = 100,
        server: typing.Any = None,
        token_file: str | None = None,
        json: bool = False,  # noqa: A002
    ) -> None:
        """Prints the changes of a subject, newest first; same as audit with a prefix.

        Example:
            flamingotiller history contract/kazanlak
        """
        self.audit(subject, limit, server, token_file, json)

    def audit(
        self,
        prefix: str = "",
        limit: int = 100,
        server: typing.Any = None,
        token_file: str | None = None,
        json: bool = False,  # noqa: A002
    ) -> None:
        """Prints who changed what, from which version to which, newest first.

        Example:
            flamingotiller audit --limit=20
        """
        rows = _operate(server, token_file, lambda operator: operator.audit(prefix, limit))
        _show([dataclasses.asdict(row) for row in rows], json, map(_verdict_line, rows))

    def status(
        self,
        server: typing.Any = None,
        token_file: str | None = None,
        json: bool = False,  # noqa: A002
    ) -> None:
        """Prints the log's members and which version each process has in force.

        Example:
            flamingotiller status
        """
        document = _operate(server, token_file, lambda operator: operator.status())
        lines = [f"version {document['version']} leader {document['leader']}"]
        lines += [
            f"member {m['identity']} {m['address']} {'voter' if m['voter'] else 'learner'}"
            f" behind={m['behind']}"
            for m in document["members"]
        ]
        lines += [
            f"process {name} zone={r['zone']} version={r['version']} age_s={r['age_s']}"
            f"{'' if r['version'] >= document['version'] else ' BEHIND'}"
            for name, r in sorted(document["reports"].items())
        ]
        _show(document, json, lines)

    def instances(
        self,
        server: typing.Any = None,
        token_file: str | None = None,
        json: bool = False,  # noqa: A002
    ) -> None:
        """Prints what each entry instance is doing: requests, shards, endpoints.

        Example:
            flamingotiller instances
        """
        rows = _operate(server, token_file, lambda operator: operator.instances())
        _show(rows, json, (line for row in rows for line in _instance_lines(row)))

    def wait(
        self,
        version: int,
        timeout: str = "10s",
        server: typing.Any = None,
        token_file: str | None = None,
        json: bool = False,  # noqa: A002
    ) -> None:
        """Waits until a version is in force everywhere and names those that lag; exits 6 if any.

        Example:
            flamingotiller wait 42 --timeout=6s
        """
        limit = _duration(timeout)
        waiting = _operate(server, token_file, lambda operator: operator.wait(version, limit))
        lines = [f"version {version} in force at {len(waiting.in_force)} processes"]
        lines += [f"lags: {name} at {held}" for name, held in sorted(waiting.laggards.items())]
        _show(dataclasses.asdict(waiting), json, lines)
        if not waiting.done:
            raise errors.UnavailableError("not in force everywhere", step="wait")


class KeyCommands:
    """Gives, withdraws and lists organisations' keys."""

    def give(
        self,
        organisation: str,
        change_id: str | None = None,
        server: typing.Any = None,
        token_file: str | None = None,
        json: bool = False,  # noqa: A002
    ) -> None:
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

            verdict = await _change(json, change_id, ask)
            if verdict.subject.endswith("/" + made[-1].split(".")[1]):
                print(f"key {made[-1]}")
            else:
                print(f"this change id already gave {verdict.subject}; its key is not shown again")

        _operate(server, token_file, work)

    def withdraw(
        self,
        organisation: str,
        key_id: str,
        change_id: str | None = None,
        server: typing.Any = None,
        token_file: str | None = None,
        json: bool = False,  # noqa: A002
    ) -> None:
        """Withdraws a key; it stops working everywhere within seconds.

        Example:
            flamingotiller key withdraw kazanlak 5f01c2aa
        """

        async def work(operator: porcelain.Operator) -> None:
            await _change(
                json,
                change_id,
                lambda id_: operator.withdraw_key(organisation, str(key_id), id_),
            )

        _operate(server, token_file, work)

    def list(
        self,
        organisation: str = "",
        server: typing.Any = None,
        token_file: str | None = None,
        json: bool = False,  # noqa: A002
    ) -> None:
        """Lists the ids of the keys in force.

        Example:
            flamingotiller key list kazanlak
        """
        prefix = f"key/{organisation}/" if organisation else "key/"
        _list(prefix, server, token_file, json)


class DrainCommands:
    """Announces, watches, lists and cancels drains of endpoints, instances, zones and regions."""

    def start(
        self,
        kind: str,
        name: str,
        reason: str = "planned",
        change_id: str | None = None,
        server: typing.Any = None,
        token_file: str | None = None,
        json: bool = False,  # noqa: A002
    ) -> None:
        """Announces a drain; what is drained gets no new work after a few seconds.

        Example:
            flamingotiller drain start zone thrace-a --reason="switch replacement"

        Args:
            kind: endpoint, instance, zone or region.
        """

        async def work(operator: porcelain.Operator) -> None:
            await _change(
                json, change_id, lambda id_: operator.start_drain(kind, name, reason, id_)
            )

        _operate(server, token_file, work)

    def cancel(
        self,
        kind: str,
        name: str,
        change_id: str | None = None,
        server: typing.Any = None,
        token_file: str | None = None,
        json: bool = False,  # noqa: A002
    ) -> None:
        """Ends a drain.

        Example:
            flamingotiller drain cancel zone thrace-a
        """

        async def work(operator: porcelain.Operator) -> None:
            await _change(json, change_id, lambda id_: operator.cancel_drain(kind, name, id_))

        _operate(server, token_file, work)

    def watch(
        self,
        kind: str,
        name: str,
        timeout: str = "60s",
        server: typing.Any = None,
        token_file: str | None = None,
    ) -> None:
        """Prints the requests still in flight until there are none; exits 6 at the timeout.

        Example:
            flamingotiller drain watch endpoint search-1
        """
        limit = _duration(timeout)

        async def work(operator: porcelain.Operator) -> int:
            source = clock.SystemClock()
            deadline = source.monotonic() + limit
            while True:
                left = await operator.in_flight_at(kind, name)
                print(f"{kind} {name}: {left} requests in flight", flush=True)
                if not left or source.monotonic() >= deadline:
                    return left
                await asyncio.sleep(1)

        if _operate(server, token_file, work):
            raise errors.UnavailableError("requests are still in flight", step="drain watch")

    def list(
        self,
        server: typing.Any = None,
        token_file: str | None = None,
        json: bool = False,  # noqa: A002
    ) -> None:
        """Lists drains.

        Example:
            flamingotiller drain list
        """
        _list("drain/", server, token_file, json)


class QuarantineCommands:
    """Lists and lifts the quarantine of requests that crashed endpoints."""

    def list(
        self,
        server: typing.Any = None,
        token_file: str | None = None,
        json: bool = False,  # noqa: A002
    ) -> None:
        """Lists quarantined fingerprints.

        Example:
            flamingotiller quarantine list
        """
        _list("quarantine/", server, token_file, json)

    def lift(
        self,
        fingerprint: str,
        change_id: str | None = None,
        server: typing.Any = None,
        token_file: str | None = None,
        json: bool = False,  # noqa: A002
    ) -> None:
        """Serves a quarantined request again.

        Example:
            flamingotiller quarantine lift 3f6a0c9b1d2e4f5061728394
        """

        async def work(operator: porcelain.Operator) -> None:
            await _change(
                json, change_id, lambda id_: operator.lift_quarantine(str(fingerprint), id_)
            )

        _operate(server, token_file, work)


class MemberCommands:
    """Changes the members of the replicated log."""

    def add(
        self,
        identity: str,
        address: str,
        server: typing.Any = None,
        token_file: str | None = None,
    ) -> None:
        """Adds a newcomer as a learner; its identity stands in its log line 2012.

        Example:
            flamingotiller members add control-2.9c41d0ee 10.0.0.2:7300
        """
        self._change("add", identity, address, server, token_file)

    def promote(
        self, identity: str, server: typing.Any = None, token_file: str | None = None
    ) -> None:
        """Makes a learner that has caught up a voter.

        Example:
            flamingotiller members promote control-2.9c41d0ee
        """
        self._change("promote", identity, None, server, token_file)

    def remove(
        self, identity: str, server: typing.Any = None, token_file: str | None = None
    ) -> None:
        """Removes a member, for example one whose disk was lost.

        Example:
            flamingotiller members remove control-2.0
        """
        self._change("remove", identity, None, server, token_file)

    def _change(self, action, identity, address, server, token_file) -> None:
        identity = str(identity)
        held = _operate(
            server,
            token_file,
            lambda operator: operator.change_member(action, identity, address),
        )
        print(f"voters {sorted(held['voters'])} learners {sorted(held['learners'])}")


# Helpers


def _run_daemon(config: typing.Any, build: typing.Callable) -> None:
    events.configure(config.log_format)
    tokens = settings.load_tokens(config.tokens_file)
    asyncio.run(daemon.run_until_signal(build(config, tokens)))


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


def _operate(
    server: typing.Any,
    token_file: str | None,
    work: typing.Callable[[porcelain.Operator], typing.Awaitable[T]],
) -> T:
    servers, token = _servers(server), _token(token_file)
    if not servers:
        raise errors.SettingsError("no control instance: give --server or FLAMINGOTILLER_SERVER")

    async def connected() -> T:
        async with porcelain.connect(servers, token) as operator:
            return await work(operator)

    return asyncio.run(connected())


async def _change(
    as_json: bool,
    change_id: str | None,
    ask: typing.Callable[[str], typing.Awaitable[configuration.Verdict]],
) -> configuration.Verdict:
    """Sends a change under an id that is printed first, so that it can be sent again."""
    id_ = str(change_id) if change_id else porcelain.new_change_id()
    print(f"change id {id_}", file=sys.stderr, flush=True)
    verdict = await ask(id_)
    _show(dataclasses.asdict(verdict), as_json, [_verdict_line(verdict)])
    return verdict


def _verdict_line(verdict: configuration.Verdict) -> str:
    result = "accepted" if verdict.accepted else f"refused: {verdict.reason}"
    return (
        f"{verdict.subject} {verdict.from_version} -> {verdict.to_version} {result}"
        f" by={verdict.who} at={verdict.at} change_id={verdict.change_id}"
    )


def _instance_lines(row: dict[str, typing.Any]) -> list[str]:
    if "error" in row:
        return [f"{row['instance']} unreachable: {row['error']}"]
    lines = [
        f"{row['instance']} zone={row['zone']} in_flight={row['in_flight']}"
        f" shards={row['shards']}{' LEAVING' if row['leaving'] else ''}"
    ]
    for service, queue in sorted(row["services"].items()):
        lines.append(f"  {service} waiting={queue['waiting']}")
        lines += [
            f"    {e['name']} {e['address']} used={e['used']}/{e['slots']}"
            f"{' LEAVING' if e['leaving'] else ''}"
            for e in queue["endpoints"]
        ]
    return lines


def _list(prefix: str, server: typing.Any, token_file: str | None, as_json: bool) -> None:
    items = _operate(server, token_file, lambda operator: operator.items(prefix))
    rows = {
        subject.removeprefix(prefix): {"version": i.version, "who": i.who, "at": i.at}
        for subject, i in items.items()
    }
    _show(rows, as_json, (f"{n} version={r['version']} by={r['who']}" for n, r in rows.items()))


def _compact(value: typing.Any) -> str:
    return json.dumps(value, sort_keys=True)


def _duration(text: typing.Any):
    try:
        return contract.parse_duration(text)
    except ValueError as error:
        raise errors.SettingsError(f"--timeout: {error} (got {text!r})") from error


def _with_help_last(arguments: list[str]) -> list[str]:
    """Moves a request for help to where fire takes it, whatever flags a command accepts."""
    if not {"--help", "-h"} & set(arguments):
        return arguments
    return [a for a in arguments if a not in ("--help", "-h", "--")] + ["--", "--help"]


def main(arguments: list[str] | None = None) -> None:
    """Runs the command line and exits with the code of the first error."""
    given = sys.argv[1:] if arguments is None else arguments
    # fire shows help in a pager, which would be another process.
    os.environ["PAGER"] = "cat"
    fire.core.Display = lambda lines, out: print("\n".join(lines), file=out)
    try:
        fire.Fire(Commands, command=_with_help_last(given), name="flamingotiller")
    except errors.FlamingotillerError as error:
        print(f"flamingotiller: {error}", file=sys.stderr)
        if isinstance(error, errors.ConflictError) and error.winner:
            print(f"the change that came first: {error.winner}", file=sys.stderr)
        sys.exit(error.exit_code)
    except KeyboardInterrupt:
        sys.exit(130)
