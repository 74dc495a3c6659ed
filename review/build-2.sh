#!/bin/sh
# Checks that the stand-ins and cases of the second review can be compiled; nothing else is needed.
set -e
cd "$(dirname "$0")"
python3 - <<'PYTHON'
import pathlib

for path in sorted([*pathlib.Path("stand_ins_2").glob("*.py"), *pathlib.Path().glob("[0-9]*/case.py")]):
    compile(path.read_text(encoding="utf-8"), str(path), "exec")
PYTHON
