"""Tests of the distribution: the single file runs outside the checkout and in one process."""

import os
import shutil
import subprocess
import sys

import pytest
import test_processes

from tools import build_dist, processes


@pytest.fixture(scope="module")
def program(tmp_path_factory):
    folder = tmp_path_factory.mktemp("dist")
    build_dist.build(folder / "built")
    moved = folder / "elsewhere" / "flamingotiller"
    moved.parent.mkdir()
    shutil.move(folder / "built", moved)
    return moved


def environment(folder):
    return {"PATH": os.environ["PATH"], "HOME": str(folder), "FLAMINGOTILLER_CACHE": str(folder)}


def test_runs_with_the_bare_interpreter_in_its_own_process(program, tmp_path):
    code = (
        "import os, runpy, sys\n"
        "def refuse(*a, **k): raise SystemExit('started a process')\n"
        "os.fork = os.posix_spawn = os.execv = os.execve = os.system = refuse\n"
        f"sys.argv = [{str(program)!r}, 'version']\n"
        f"runpy.run_path({str(program)!r}, run_name='__main__')\n"
    )
    interpreter = getattr(sys, "_base_executable", sys.executable)
    result = subprocess.run(
        [interpreter, "-I", "-S", "-c", code],
        env=environment(tmp_path),
        cwd=tmp_path,
        capture_output=True,
        text=True,
        timeout=60,
    )
    assert result.returncode == 0, result.stderr
    assert result.stdout.strip() == "0.1.0"


def test_same_sources_give_the_same_bytes(tmp_path):
    for name in "ab":
        build_dist.build(tmp_path / name)
    assert (tmp_path / "a").read_bytes() == (tmp_path / "b").read_bytes()


def test_unusable_cache_folder_is_named(program, tmp_path):
    blocked = tmp_path / "file"
    blocked.write_text("")
    interpreter = getattr(sys, "_base_executable", sys.executable)
    result = subprocess.run(
        [interpreter, "-I", str(program), "version"],
        env={**environment(tmp_path), "FLAMINGOTILLER_CACHE": str(blocked / "x")},
        capture_output=True,
        text=True,
        timeout=60,
    )
    assert result.returncode != 0
    assert "FLAMINGOTILLER_CACHE" in result.stderr


def test_thin_path_from_the_shipped_file(program, tmp_path):
    interpreter = getattr(sys, "_base_executable", sys.executable)
    with processes.running(tmp_path, [interpreter, "-I", str(program)]) as fleet:
        test_processes.test_thin_path_as_separate_processes(fleet)
