"""Checks that the documentation matches the code and that modules keep the architecture's rules."""

import ast
import pathlib
import re

import pytest

from flamingotiller import errors, events, kernel, metrics, settings
from flamingotiller.fleet import gateway

ROOT = pathlib.Path(__file__).parent.parent
DOCS = ROOT / "docs"
PACKAGE = ROOT / "flamingotiller"


def page(name):
    return (DOCS / name).read_text(encoding="utf-8")


def test_events_page_has_the_catalogue():
    assert events.catalogue() in page("EVENTS.md")


def test_every_event_is_emitted_with_its_fields():
    sources = "\n".join(path.read_text() for path in PACKAGE.rglob("*.py"))
    names = re.findall(r"^([A-Z_]+) = _define\(", (PACKAGE / "events.py").read_text(), re.M)
    unused = [name for name in names if f"events.{name}" not in sources]
    assert not unused


def test_event_with_unknown_fields_is_refused():
    with pytest.raises(ValueError, match="takes"):
        events.emit(events.STOP_ENDED, other=1)


def test_json_log_lines_carry_number_and_fields(capsys):
    formatter = events.JsonFormatter()
    record = events.std_logging.LogRecord("x", 20, "f", 1, "text", (), None)
    assert '"text":"text"' in formatter.format(record)
    record.event_fields = {"event": 1001, "role": "entry"}
    assert '"event":1001' in formatter.format(record)


@pytest.mark.parametrize("model", [settings.EntrySettings, settings.ControlSettings])
def test_settings_page_has_every_setting(model):
    text = page("SETTINGS.md")
    for line in settings.describe(model).splitlines():
        assert line in text


def test_metrics_page_has_every_metric():
    text = page("INTERFACES.md")
    for name in metrics.DESCRIPTION_BY_NAME:
        assert f"`{name}`" in text


def test_interfaces_page_has_every_route():
    kernel.load_plugins()
    text = page("INTERFACES.md")
    for route in {**kernel.entry_routes.by_name, **kernel.control_routes.by_name}:
        assert f"`{route}`" in text


def test_interfaces_page_has_every_refusal():
    text = page("INTERFACES.md")
    sources = "".join((PACKAGE / n).read_text() for n in ("request_path.py", "slot_messages.py"))
    codes = set(re.findall(r'code="([a-z-]+)"', sources)) | set(
        re.findall(r'^    "([a-z-]+)": \(\d', sources, re.M)
    )
    assert len(codes) > 10
    for code in codes:
        assert f"`{code}`" in text, code


def test_proofs_name_tests_that_exist_and_every_row_has_one():
    lines = page("PROOFS.md").splitlines()
    rows = [
        line
        for line, following in zip(lines, [*lines[1:], ""], strict=True)
        if line.startswith("| ") and not following.startswith("|--")
    ]
    assert len(rows) >= 18
    for row in rows:
        named = re.findall(r"`(tests/test_\w+\.py)::(\w+)`", row)
        assert named or "not proved" in row, row
        for path, name in named:
            assert re.search(
                rf"(def|class) {name}\b|^{name} = ", (ROOT / path).read_text(), re.M
            ), (
                path,
                name,
            )


def test_links_between_pages_have_existing_targets():
    for path in [*DOCS.rglob("*.md"), ROOT / "README.md", ROOT / "CONTRIBUTING.md"]:
        for target in re.findall(r"\]\(([^)#:]+)(?:#[^)]*)?\)", path.read_text()):
            assert (path.parent / target).exists(), (path, target)


# Modules without sockets, clock reads or use of the global random generator.
PURE = {
    "address_blocks", "claims", "configuration", "contract", "lease", "limiter", "lookup",
    "membership", "planned_stop", "quarantine", "replica", "selection", "shift",
}  # fmt: skip
IMPURE_IMPORTS = {"asyncio", "socket", "time", "os", "h11", "threading", "subprocess"}
SHELL = {"wire", "server", "client", "daemon", "entry", "control", "porcelain", "cli", "journal"}


def imports_of(path):
    names = set()
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Import):
            names |= {alias.name.split(".")[0] for alias in node.names}
        elif isinstance(node, ast.ImportFrom) and (node.module or "").startswith("flamingotiller"):
            names |= {f"{node.module}.{alias.name}" for alias in node.names}
        elif isinstance(node, ast.ImportFrom):
            names.add((node.module or "").split(".")[0])
    return names


@pytest.mark.parametrize("name", sorted(PURE))
def test_decision_logic_is_free_of_sockets_clock_and_shell(name):
    imports = imports_of(PACKAGE / f"{name}.py")
    assert not imports & IMPURE_IMPORTS
    allowed = {"flamingotiller.journal"} if name == "replica" else set()
    assert not {i for i in imports if i.removeprefix("flamingotiller.") in SHELL} - allowed
    source = (PACKAGE / f"{name}.py").read_text()
    assert not re.search(r"\brandom\.(random|choice|choices|sample|shuffle|randint)\(", source)


def test_architecture_page_has_every_module():
    text = page("ARCHITECTURE.md")
    for path in PACKAGE.glob("*.py"):
        if not path.name.startswith("__"):
            assert f"`{path.stem}`" in text, path.name


FLEET_PURE = {
    "accounting", "branch", "log_membership", "model", "notices", "patch", "placement", "presence",
    "quota", "registry", "spill", "state", "suspects", "table",
}  # fmt: skip


@pytest.mark.parametrize("name", sorted(FLEET_PURE))
def test_decision_logic_of_fleets_is_free_of_sockets_and_clock(name):
    path = PACKAGE / "fleet" / f"{name}.py"
    imports = imports_of(path)
    assert not imports & IMPURE_IMPORTS
    assert not {i for i in imports if i.removeprefix("flamingotiller.") in SHELL}
    assert "random" not in imports


def test_architecture_page_has_every_module_of_fleets():
    text = page("ARCHITECTURE.md")
    for path in (PACKAGE / "fleet").glob("*.py"):
        if not path.name.startswith("__"):
            assert f"`{path.stem}`" in text, path.name


# The platform's names of headers, fields and calls, which only the adapter may contain.
PLATFORM_NAMES = re.compile(
    r"x-request-id|x-deadline-ms|x-expect-instance|x-tenant-id|x-api-key|x-server-load"
    r"|x-not-executed|x-response-seal|x-if-version|x-affinity-key|heartbeatAddr|trafficSplit"
    r"|pathPrefix|routeType|stickySessions|allowedRegions|ratePerS|apiKeys|coldRemaining|coldPerS"
    r"|config\.replace|instances\.heartbeat|evacuations\.|seedNodes|internalPortRange|nodeName"
    r"|\b(?:tenants?|backends?|back ends?)\b",
    re.IGNORECASE,
)


def test_only_the_adapter_knows_the_platforms_names():
    for path in PACKAGE.rglob("*.py"):
        if path.parent.name != "platform":
            assert not PLATFORM_NAMES.search(path.read_text()), path


def test_adapter_is_small_and_decides_nothing():
    paths = list((PACKAGE / "platform").glob("*.py"))
    assert sum(len(path.read_text().splitlines()) for path in paths) < 1200
    for path in paths:
        source = path.read_text()
        assert not imports_of(path) & {"asyncio", "time", "socket", "threading"}, path.name
        assert not re.search(r"\.monotonic\(|\.utc\(|\.uniform\(|\.sleep\(", source), path.name


def test_interfaces_page_has_every_refusal_of_a_gateway():
    text = page("INTERFACES.md")
    source = (PACKAGE / "fleet" / "gateway.py").read_text()
    codes = set(re.findall(r'_refused\(\s*[^,"]+,\s*"([a-z-]+)"', source))
    codes |= set(re.findall(r'"([a-z-]+)" (?:if|else)', source))
    codes |= set(re.findall(r'_unknown\("([a-z-]+)"', source))
    codes |= set(gateway.CODE_BY_OBSTACLE.values())
    assert len(codes) >= 6
    for code in codes:
        assert f"`{code}`" in text, code


def test_no_process_is_started_and_modules_are_imported():
    for path in PACKAGE.rglob("*.py"):
        tree = ast.parse(path.read_text())
        for node in ast.walk(tree):
            if isinstance(node, ast.ImportFrom) and node.module not in (None, "__future__"):
                for alias in node.names:
                    assert not alias.name[0].isupper(), (path.name, alias.name)
        assert not imports_of(path) & {"subprocess", "multiprocessing"}, path.name


def test_errors_share_a_base_class_and_name_step_and_peer():
    classes = [c for c in vars(errors).values() if isinstance(c, type) and issubclass(c, Exception)]
    assert all(issubclass(cls, errors.FlamingotillerError) for cls in classes)
    error = errors.ConnectionLostError("gone", step="read", peer="10.0.0.1:1")
    assert str(error) == "gone (read with 10.0.0.1:1)"
