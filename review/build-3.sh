#!/bin/sh
# Checks the stand-ins of the scripts in 11 to 15. They are Python without dependencies of their own;
# the project's programs that they start come from the build of the deploy file.
set -e
cd "$(dirname "$0")"
[ -d ../target/deps ] || { echo "first build the deploy file, into target/" >&2; exit 2; }
PYTHONPATH=. python3 -m stand_ins_3
PYTHONPATH=.:../target/deps:.. python3 -c "import flamingotiller.platform.edge, flamingotiller.platform.core"
