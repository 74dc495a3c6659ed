"""Tests of the command line without a server: checks, help, exit codes and the examples."""

import asyncio
import pathlib

import pytest

from flamingotiller import cli, contract, errors, operator_commands, porcelain

ROOT = pathlib.Path(__file__).parent.parent
COMMANDS = [
    "entry", "control", "found", "run", "check", "version", "lookup", "apply", "show", "diff",
    "remove", "history", "audit", "status", "instances", "wait", "key give", "key withdraw",
    "key list", "drain start", "drain cancel", "drain watch", "drain list", "quarantine list",
    "quarantine lift", "members add", "members promote", "members remove",
]  # fmt: skip


def run(capsys, *arguments):
    try:
        cli.main(list(arguments))
        code = 0
    except SystemExit as error:
        code = error.code or 0
    captured = capsys.readouterr()
    return code, captured.out, captured.err


@pytest.mark.parametrize("command", COMMANDS)
def test_help_of_each_command_has_an_example(capsys, command):
    code, out, err = run(capsys, *command.split(), "--help")
    assert code == 0
    assert f"flamingotiller {command}" in out + err
    assert "Example" in out + err


def test_version(capsys):
    assert run(capsys, "version")[:2] == (0, "0.1.0\n")


@pytest.mark.parametrize("folder", ["register", "coop"])
def test_examples_are_valid_and_have_the_expected_sizes(capsys, folder):
    files = sorted((ROOT / "examples" / folder).glob("*.toml"))
    code, out, _ = run(capsys, "check", *map(str, files))
    assert code == 0
    assert len(out.splitlines()) == len(files) == 9
    value = porcelain.read_document(str(ROOT / "examples" / folder / "deployment.toml")).value
    deployment = contract.deployment_from_document(value)
    assert len(deployment.zones_by_name) == 6
    assert len({zone.region for zone in deployment.zones_by_name.values()}) == 3
    seats = sum(len(zone.seats) for zone in deployment.zones_by_name.values())
    assert 16 <= seats <= 24


BAD_FILES = {
    "not toml": ("x = ", "cannot read"),
    "empty": ("", "organisation: Field required"),
    "negative rate": ('organisation="o"\nrate=-1\nburst=1\nroutes=[]', "rate: "),
    "no routes": ('organisation="o"\nrate=1\nburst=1\nroutes=[]', "routes: "),
    "bad name": ('organisation="O O"\nrate=1\nburst=1', "organisation: "),
    "bad route": (
        'organisation="o"\nrate=1\nburst=1\n[[routes]]\nname="r"\npath="x"\nservice="s"',
        "routes.0.path: ",
    ),
    "reserved path": (
        'organisation="o"\nrate=1\nburst=1\n[[routes]]\nname="r"\npath="/v1/x"\nservice="s"',
        "routes.0.path: ",
    ),
    "bad deadline": (
        'organisation="o"\nrate=1\nburst=1\n[[routes]]\nname="r"\npath="/"\nservice="s"\n'
        'deadline="soon"',
        "routes.0.deadline: ",
    ),
    "unknown field": (
        'organisation="o"\nrate=1\nburst=1\nspeed=1\n[[routes]]\nname="r"\npath="/"\nservice="s"',
        "speed: ",
    ),
    "same path twice": (
        'organisation="o"\nrate=1\nburst=1\n'
        + '[[routes]]\nname="r"\npath="/"\nservice="s"\n'
        + '[[routes]]\nname="q"\npath="/"\nservice="s"\n',
        "two routes serve GET /",
    ),
    "seat twice": (
        '[[zones]]\nname="a"\nregion="r"\nseats=["x"]\n[[zones]]\nname="b"\nregion="r"\nseats=["x"]',
        "a seat belongs to one zone only",
    ),
    "link to nowhere": (
        '[[zones]]\nname="a"\nregion="r"\nseats=["x"]\n[[links]]\nbetween=["r","q"]\nmbit_per_s=1',
        "unknown region q",
    ),
    "bad block": ('[[zones]]\nname="a"\nregion="r"\nseats=["x"]\nblocks=["10"]', "zones.0.blocks"),
}


@pytest.mark.parametrize("name", BAD_FILES)
def test_validation_error_names_the_faulty_field(capsys, tmp_path, name):
    text, expected = BAD_FILES[name]
    path = tmp_path / "file.toml"
    path.write_text(text)
    code, _, err = run(capsys, "check", str(path))
    assert code == 2
    assert expected in err


def test_all_faults_of_a_file_are_reported_together(capsys, tmp_path):
    path = tmp_path / "file.toml"
    path.write_text('organisation="O"\nrate=0\nburst=0\nroutes=[]')
    _, _, err = run(capsys, "check", str(path))
    for name in ("organisation: ", "rate: ", "burst: ", "routes: "):
        assert name in err


@pytest.mark.parametrize(
    ("arguments", "code", "expected"),
    [
        (["status"], 2, "no token"),
        (["check"], 2, "nothing to check"),
        (["check", "--role=queen"], 2, "allowed: entry, control"),
        (["check", "/nonexistent.toml"], 2, "cannot read"),
        (["found", "c", "c", "/tmp/x"], 2, "members: "),
        (["found", "c", "d=127.0.0.1:1", "/tmp/nonexistent-ft"], 2, "not among the members"),
        (["entry", "--instance=a", "--listen=localhost:1"], 2, "--listen: "),
        (["entry", "--lease=soon"], 2, "--lease: "),
        (["control", "--zone=a"], 2, "--zone: unknown"),
        (["wait", "1", "--timeout=x"], 2, "--timeout: "),
    ],
)
def test_bad_argument_is_named_with_its_exit_code(capsys, monkeypatch, arguments, code, expected):
    for name in ("FLAMINGOTILLER_TOKEN", "FLAMINGOTILLER_SERVER"):
        monkeypatch.delenv(name, raising=False)
    exit_code, _, err = run(capsys, *arguments)
    assert exit_code == code
    assert expected in err


def test_unreachable_server_exits_with_the_code_of_unavailable(capsys, monkeypatch):
    monkeypatch.setattr(porcelain, "CALL_TIMEOUT", porcelain.POLL_INTERVAL)
    monkeypatch.setenv("FLAMINGOTILLER_TOKEN", "x")
    code, _, err = run(capsys, "status", "--server=127.0.0.1:1")
    assert code == 6
    assert "127.0.0.1:1" in err


@pytest.mark.parametrize("text", ["7e607813", "12345678", "00000000", "None", "True", "1_000"])
def test_text_argument_that_looks_like_a_number_is_passed_verbatim(monkeypatch, capsys, text):
    withdrawn = []

    class Operator:
        async def withdraw_key(self, organisation, key_id, change_id=None):
            withdrawn.append((organisation, key_id, change_id))
            raise errors.ConflictError("not carried out", step="test")

    def run_with_operator(session, work):
        return asyncio.run(work(Operator()))

    monkeypatch.setattr(operator_commands.Session, "run_with_operator", run_with_operator)
    code, _, _ = run(capsys, "key", "withdraw", text, text, f"--change_id={text}")
    assert code == errors.ConflictError.exit_code
    assert withdrawn == [(text, text, text)]
