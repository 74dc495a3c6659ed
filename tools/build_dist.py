"""Builds the distribution: one executable zip archive with the package and its dependencies.

The machine's Python runs the archive. Pure Python modules are imported from the archive. Packages
with extension modules, which the system's loader can only load from files, are extracted once into
a cache folder named by the archive's digest."""

from __future__ import annotations

import hashlib
import importlib.metadata
import pathlib
import py_compile
import re
import sys
import tempfile
import zipfile

ROOT = pathlib.Path(__file__).resolve().parent.parent
FIXED_TIME = (2026, 1, 1, 0, 0, 0)
INTERPRETER = "/usr/bin/env python3"

MAIN = '''"""Starts the program from the archive, in this process."""

import os
import pathlib
import sys
import tempfile
import zipfile

DIGEST = {digest!r}
COMPILED = {compiled!r}
PYTHON = {python!r}


def _cache():
    chosen = os.environ.get("FLAMINGOTILLER_CACHE")
    if chosen:
        return pathlib.Path(chosen)
    home = os.environ.get("XDG_CACHE_HOME") or os.path.join(os.path.expanduser("~"), ".cache")
    return pathlib.Path(home) / "flamingotiller"


def _extract(archive):
    """Extracts packages with extension modules into the cache unless they are there.

    Concurrent starts are safe: each extracts into its own folder, and the first rename wins."""
    target = _cache() / DIGEST
    if target.is_dir():
        return target
    target.parent.mkdir(parents=True, exist_ok=True, mode=0o700)
    fresh = pathlib.Path(tempfile.mkdtemp(dir=target.parent))
    with zipfile.ZipFile(archive) as opened:
        for name in opened.namelist():
            if name.split("/")[0] in COMPILED:
                opened.extract(name, fresh)
    try:
        os.rename(fresh, target)
    except OSError:
        if not target.is_dir():
            raise
    return target


def main():
    if sys.version_info[:2] != PYTHON:
        sys.exit("flamingotiller: this file needs Python %d.%d" % PYTHON)
    archive = pathlib.Path(sys.argv[0]).resolve()
    if not zipfile.is_zipfile(archive):
        archive = pathlib.Path(sys.path[0])
    try:
        sys.path.insert(0, str(_extract(archive)))
    except OSError as error:
        sys.exit("flamingotiller: no cache folder, set FLAMINGOTILLER_CACHE: %s" % error)
    from flamingotiller import cli

    cli.main()


main()
'''


def runtime_distributions() -> list[str]:
    """Returns the names of the program's direct and transitive dependencies."""
    project = (ROOT / "pyproject.toml").read_text(encoding="utf-8")
    declared = re.search(r"^dependencies = \[(.*?)\]", project, re.S | re.M)
    assert declared
    queue = re.findall(r'"([A-Za-z0-9_.-]+)', declared[1])
    names: list[str] = []
    while queue:
        name = queue.pop()
        if name in names:
            continue
        names.append(name)
        for requirement in importlib.metadata.requires(name) or ():
            if "extra ==" not in requirement:
                queue.append(re.match(r"[A-Za-z0-9_.-]+", requirement)[0])  # type: ignore[index]
    return sorted(names)


def contents() -> dict[str, bytes]:
    """Returns the files of the archive by their paths in it."""
    files: dict[str, bytes] = {}
    for path in sorted((ROOT / "flamingotiller").glob("*.py")):
        files[f"flamingotiller/{path.name}"] = path.read_bytes()
    for name in runtime_distributions():
        for entry in importlib.metadata.files(name) or ():
            outside = entry.parts[0] == ".." or "__pycache__" in entry.parts
            if not outside and entry.suffix != ".pyc":
                files[str(entry)] = pathlib.Path(str(entry.locate())).read_bytes()
    return files


def precompile(files: dict[str, bytes]) -> dict[str, bytes]:
    """Replaces sources by byte code, since Python caches none for archives."""
    compiled = {}
    with tempfile.TemporaryDirectory() as folder:
        source, target = pathlib.Path(folder, "source.py"), pathlib.Path(folder, "target.pyc")
        for path, data in files.items():
            if not path.endswith(".py"):
                compiled[path] = data
                continue
            source.write_bytes(data)
            py_compile.compile(
                str(source),
                str(target),
                dfile=path,
                doraise=True,
                invalidation_mode=py_compile.PycInvalidationMode.UNCHECKED_HASH,
            )
            compiled[path + "c"] = target.read_bytes()
    return compiled


def compiled_packages(files: dict[str, bytes]) -> list[str]:
    """Returns the top-level packages that contain extension modules."""
    return sorted({path.split("/")[0] for path in files if path.endswith(".so")})


def build(target: pathlib.Path) -> None:
    """Writes the archive reproducibly: the same sources give the same bytes."""
    files = precompile(contents())
    digest = hashlib.sha256()
    for path, data in sorted(files.items()):
        digest.update(path.encode())
        digest.update(data)
    main = MAIN.format(
        digest=digest.hexdigest()[:32],
        compiled=compiled_packages(files),
        python=tuple(sys.version_info[:2]),
    )
    target.parent.mkdir(parents=True, exist_ok=True)
    with open(target, "wb") as file:
        file.write(f"#!{INTERPRETER}\n".encode())
        with zipfile.ZipFile(file, "w", zipfile.ZIP_DEFLATED) as archive:
            for path, data in sorted({**files, "__main__.py": main.encode()}.items()):
                archive.writestr(zipfile.ZipInfo(path, FIXED_TIME), data, zipfile.ZIP_DEFLATED)
    target.chmod(0o755)
    print(f"{target}: {target.stat().st_size} bytes")


if __name__ == "__main__":
    build(pathlib.Path(sys.argv[1]))
