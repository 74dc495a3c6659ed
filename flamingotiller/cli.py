"""The command line: a thin layer over ``flamingotiller.porcelain`` and the daemons.

Exit codes: 0 done; 1 failed; 2 bad input; 3 not authenticated; 4 conflict; 5 not found;
6 nothing could be decided now; 7 storage failed."""

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
    """Steers requests from callers to endpoints across availability zones and regions.

    Daemons: entry, control (after found). First try: run. Operators: apply, show, diff, history,
    remove, key, drain, quarantine, status, instances, wait, audit, members. Offline: check,
    version. Settings of daemons: docs/SETTINGS.md.

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
            events.suppress_output()
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

    def lookup(self, entries: typing.Any, organisation: str) -> None:
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
        self._session.print_result(found, found)

    def apply(self, *files: str, base: int | None = None, change_id: str | None = None) -> None:
        """Puts contracts and deployments in force.

        Example:
            flamingotiller apply contracts/kazanlak.toml --base=41

        Args:
            files: TOML files.
            base: Version that the file was made from; a newer one in force is a conflict.
            change_id: Change id of a change to be sent again; one file only.
        """
        documents = [porcelain.read_document(path) for path in files]
        if not documents or (change_id and len(documents) > 1):
            raise errors.SettingsError("name a file, and only one with --change_id", step="apply")

        async def work(operator: porcelain.Operator) -> None:
            for document in documents:
                ask = functools.partial(operator.apply, document, base)
                await self._session.submit_change(change_id, ask)

        self._session.run_with_operator(work)

    def show(self, prefix: str = "") -> None:
        """Prints what is in force.

        Example:
            flamingotiller show contract/

        Args:
            prefix: Start of the subjects, for example contract/kazanlak.
        """
        items = self._session.run_with_operator(lambda operator: operator.items(prefix))
        rows = (
            f"{subject} version={item.version} by={item.who} at={item.at} {_compact(item.value)}"
            for subject, item in items.items()
        )
        self._session.print_result({s: dataclasses.asdict(item) for s, item in items.items()}, rows)

    def diff(self, file: str) -> None:
        """Prints how a file differs from what is in force, and the version to base it on.

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

        async def work(operator: porcelain.Operator) -> None:
            await self._session.submit_change(
                change_id, lambda id_: operator.change(subject, None, base, id_)
            )

        self._session.run_with_operator(work)

    def history(self, subject: str, limit: int = 100) -> None:
        """Prints the changes of a subject, newest first; same as audit with a prefix.

        Example:
            flamingotiller history contract/kazanlak
        """
        self.audit(subject, limit)

    def audit(self, prefix: str = "", limit: int = 100) -> None:
        """Prints who changed what, from which version to which, newest first.

        Example:
            flamingotiller audit --limit=20
        """
        rows = self._session.run_with_operator(lambda operator: operator.audit(prefix, limit))
        self._session.print_result(
            [dataclasses.asdict(row) for row in rows], map(operator_commands.format_verdict, rows)
        )

    def status(self) -> None:
        """Prints the log's members and which version each process has in force.

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
        """Prints what each entry instance is doing: requests, shards, endpoints.

        Example:
            flamingotiller instances
        """
        rows = self._session.run_with_operator(lambda operator: operator.instances())
        self._session.print_result(rows, (line for row in rows for line in _instance_lines(row)))

    def wait(self, version: int, timeout: str = "10s") -> None:
        """Waits until a version is in force everywhere and names those that lag; exits 6 if any.

        Example:
            flamingotiller wait 42 --timeout=6s
        """
        limit = operator_commands.parse_timeout(timeout)
        waiting = self._session.run_with_operator(lambda operator: operator.wait(version, limit))
        lines = [f"version {version} in force at {len(waiting.in_force)} processes"]
        lines += [f"lags: {name} at {held}" for name, held in sorted(waiting.laggards.items())]
        self._session.print_result(dataclasses.asdict(waiting), lines)
        if not waiting.done:
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
