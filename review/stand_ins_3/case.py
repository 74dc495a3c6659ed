"""Runs one case: its time limit, its record, its exit status."""

import asyncio
import os
import pathlib
import sys
import traceback

from stand_ins_3 import machines

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
LIMIT_S = 110.0


def run(folder, play):
    """Runs ``play(record)``, which returns the breaks of the rule, and exits."""
    record = machines.Record(pathlib.Path(folder) / "record.txt")
    try:
        breaks = asyncio.run(asyncio.wait_for(play(record), LIMIT_S))
    except BaseException as error:  # noqa: BLE001 - whatever it is, the case could not run
        record.line(f"the case could not run: {error!r}")
        traceback.print_exc()
        sys.exit(2)
    for text in breaks:
        record.line(f"BREAK {text}")
        print(text)
    print("broken" if breaks else "held", "with" if TROUBLE else "without", "the disruption")
    sys.exit(1 if breaks else 0)
