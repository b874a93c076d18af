#!/bin/sh
# Builds the stand-ins of the cases review/4 and later: they are Python, so that there is nothing to compile.
# Checks that the interpreter that runs them is there.  The programs of the deploy file are built by its own
# command.
set -eu
cd "$(dirname "$0")"
python3 - <<'END'
import sys

if sys.version_info < (3, 11):
    sys.exit("python3 3.11 or later is needed")
with open("rollout_world.py", encoding="utf-8") as file:
    compile(file.read(), "rollout_world.py", "exec")
END
echo "the stand-ins are ready"
