"""The command line: a thin layer over ``flamingotiller.porcelain`` and the daemons.

Exit codes: 0 success; 1 failure; 2 invalid input; 3 not authenticated; 4 conflict; 5 not found;
6 no decision was possible, try again; 7 storage failure."""

from __future__ import annotations

import asyncio
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
    control,
    daemon,
    entry,
    errors,
    events,
    operator_commands,
    porcelain,
    settings,
    tour,
)

EXIT_USAGE = 2
T = typing.TypeVar("T")


@operator_commands.parse_text_as_str
class Commands:
    """Routes requests from callers to endpoints across availability zones and regions.

    Daemons: entry, control (after found). Demonstration: run. Operators: apply, show, diff,
    history, remove, key, drain, quarantine, status, instances, wait, audit, members. Offline:
    check, version. Settings of daemons: docs/SETTINGS.md.

    Args:
        server: Control instances, IP:PORT separated by commas; FLAMINGOTILLER_SERVER if unset.
        token_file: File with the operator's token; FLAMINGOTILLER_TOKEN_FILE, or the token itself
            in FLAMINGOTILLER_TOKEN, if unset.
        json: Print JSON.
    """

    def __init__(
        self,
        server: typing.Any = None,
        token_file: str | None = None,
        json: bool = False,  # noqa: A002
    ) -> None:
        self._session = operator_commands.Session(server, token_file, json)
        self.key = operator_commands.KeyCommands(self._session)
        self.drain = operator_commands.DrainCommands(self._session)
        self.quarantine = operator_commands.QuarantineCommands(self._session)
        self.members = operator_commands.MemberCommands(self._session)

    def entry(self, **flags: typing.Any) -> None:
        """Runs an entry instance until SIGTERM.

        Example:
            flamingotiller entry --instance=a-1 --zone=a --listen=10.0.1.1:7400
            --control=10.0.0.1:7300,10.0.0.2:7300 --tokens_file=/etc/flamingotiller/tokens.toml
        """
        config = settings.load(settings.EntrySettings, flags, os.environ)
        _run_daemon(config, entry.build)

    def control(self, **flags: typing.Any) -> None:
        """Runs a control instance until SIGTERM.

        Example:
            flamingotiller control --instance=control-1 --listen=10.0.0.1:7300
            --data=/var/lib/flamingotiller --tokens_file=/etc/flamingotiller/tokens.toml
        """
        config = settings.load(settings.ControlSettings, flags, os.environ)
        _run_daemon(config, control.build)

    def found(self, instance: str, members: typing.Any, data: str) -> None:
        """Creates the data folder of a founding control instance; run once on each of them.

        Don't run it again for a lost folder; see docs/OPERATIONS.md for recovery.

        Example:
            flamingotiller found control-1
            control-1=10.0.0.1:7300,control-2=10.0.0.2:7300,control-3=10.0.0.3:7300 /var/lib/ft

        Args:
            instance: Name of this control instance.
            members: All founding control instances, NAME=IP:PORT separated by commas.
            data: The data folder.
        """
        try:
            parsed = typing.cast(dict[str, str], settings.parse_mapping(members))
            addresses = {name: settings.parse_address(text) for name, text in parsed.items()}
        except ValueError as error:
            raise errors.SettingsError(f"members: {error}", step="found") from error
        control.create_founding_member(pathlib.Path(data), instance, addresses)
        print(f"founded {instance} in {data}")

    def run(self, keep: bool = False, log_format: str = "text", quiet: bool = True) -> None:
        """Runs all roles in one process with emulated endpoints and sends requests through them.

        Example:
            flamingotiller run --keep

        Args:
            keep: Keep running afterwards and print the addresses.
            log_format: Format of log lines, text or json.
            quiet: Suppress the log.
        """
        events.configure(log_format)
        if quiet:
            events.suppress_output()
        asyncio.run(tour.run(keep=keep))

    def check(self, *files: str, role: str = "", **flags: typing.Any) -> None:
        """Validates contracts, deployments or the settings of a role without starting anything.

        Example:
            flamingotiller check examples/register/*.toml

        Args:
            files: TOML files.
            role: entry or control; checks flags and environment as that role reads them.
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

    def lookup(self, entries: typing.Any, organisation: str) -> None:
        """Prints the entry instances that a caller should use, most preferred first.

        Example:
            flamingotiller lookup 10.0.1.1:7400 kazanlak

        Args:
            entries: Addresses of entry instances, separated by commas.
            organisation: The caller's organisation.
        """
        seeds = typing.cast(list[str], settings.parse_list(entries))

        async def look_up() -> list[str]:
            sender = caller.Caller(seeds, organisation, None, clock.SystemClock())
            try:
                return await sender.instances()
            finally:
                await sender.close()

        addresses = asyncio.run(look_up())
        self._session.print_result(addresses, addresses)

    def apply(self, *files: str, base: int | None = None, change_id: str | None = None) -> None:
        """Puts contracts and deployments in force.

        Example:
            flamingotiller apply contracts/kazanlak.toml --base=41

        Args:
            files: TOML files.
            base: Version that the file is based on; a newer version in force is a conflict.
            change_id: Id of an earlier attempt to retry; allowed with one file only.
        """
        documents = [porcelain.read_document(path) for path in files]
        if not documents or (change_id and len(documents) > 1):
            raise errors.SettingsError("name a file, and only one with --change_id", step="apply")

        async def apply_documents(operator: porcelain.Operator) -> None:
            for document in documents:
                send = functools.partial(operator.apply, document, base)
                await self._session.submit_change(change_id, send)

        self._session.run_with_operator(apply_documents)

    def show(self, prefix: str = "") -> None:
        """Prints the contracts, deployment, keys and other items in force.

        Example:
            flamingotiller show contract/

        Args:
            prefix: Prefix of the subjects to print, for example contract/kazanlak.
        """
        items = self._session.run_with_operator(lambda operator: operator.items(prefix))
        rows = (
            f"{subject} version={item.version} by={item.who} at={item.at} {_compact(item.value)}"
            for subject, item in items.items()
        )
        self._session.print_result({s: dataclasses.asdict(item) for s, item in items.items()}, rows)

    def diff(self, file: str) -> None:
        """Prints how a file differs from the version in force, and the version to pass as --base.

        Example:
            flamingotiller diff contracts/kazanlak.toml
        """
        document = porcelain.read_document(file)
        item = self._session.run_with_operator(lambda operator: operator.item(document.subject))
        print(f"{document.subject} is at version {item.version if item else 0}")
        print(
            porcelain.unified_diff(item.value if item else None, document.value) or "no difference"
        )

    def remove(self, subject: str, base: int | None = None, change_id: str | None = None) -> None:
        """Removes a subject, for example an organisation's contract.

        Example:
            flamingotiller remove contract/kazanlak --base=41
        """

        async def remove_subject(operator: porcelain.Operator) -> None:
            await self._session.submit_change(
                change_id, lambda id_: operator.change(subject, None, base, id_)
            )

        self._session.run_with_operator(remove_subject)

    def history(self, subject: str, limit: int = 100) -> None:
        """Prints the changes of a subject, newest first; the same as audit with a prefix.

        Example:
            flamingotiller history contract/kazanlak
        """
        self.audit(subject, limit)

    def audit(self, prefix: str = "", limit: int = 100) -> None:
        """Prints the author, subject and versions of each change, newest first.

        Example:
            flamingotiller audit --limit=20
        """
        rows = self._session.run_with_operator(lambda operator: operator.audit(prefix, limit))
        self._session.print_result(
            [dataclasses.asdict(row) for row in rows], map(operator_commands.format_verdict, rows)
        )

    def status(self) -> None:
        """Prints the members of the replicated log and the version in force at each process.

        Example:
            flamingotiller status
        """
        document = self._session.run_with_operator(lambda operator: operator.status())
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
        self._session.print_result(document, lines)

    def instances(self) -> None:
        """Prints the in-flight requests, shards and endpoints of each entry instance.

        Example:
            flamingotiller instances
        """
        rows = self._session.run_with_operator(lambda operator: operator.instances())
        self._session.print_result(rows, (line for row in rows for line in _instance_lines(row)))

    def wait(self, version: int, timeout: str = "10s") -> None:
        """Waits until a version is in force everywhere; exits 6 and lists the processes that lag.

        Example:
            flamingotiller wait 42 --timeout=6s
        """
        limit = operator_commands.parse_timeout(timeout)
        result = self._session.run_with_operator(lambda operator: operator.wait(version, limit))
        lines = [f"version {version} in force at {len(result.in_force)} processes"]
        lines += [f"lags: {name} at {behind}" for name, behind in sorted(result.laggards.items())]
        self._session.print_result(dataclasses.asdict(result), lines)
        if not result.done:
            raise errors.UnavailableError("not in force everywhere", step="wait")


def _run_daemon(config: typing.Any, build: typing.Callable) -> None:
    events.configure(config.log_format)
    tokens = settings.load_tokens(config.tokens_file)
    asyncio.run(daemon.run_until_signal(build(config, tokens)))


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


def _compact(value: typing.Any) -> str:
    return json.dumps(value, sort_keys=True)


def _with_help_last(arguments: list[str]) -> list[str]:
    """Moves ``--help`` behind the ``--`` separator.

    Fire would otherwise pass it as a flag to the commands that accept any flag.
    """
    if not {"--help", "-h"} & set(arguments):
        return arguments
    return [a for a in arguments if a not in ("--help", "-h", "--")] + ["--", "--help"]


def main(arguments: list[str] | None = None) -> None:
    """Runs the command line; exits with the exit code of the error if the command fails."""
    given = sys.argv[1:] if arguments is None else arguments
    # Fire shows help in a pager by default, which would start another process.
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
