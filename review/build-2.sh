#!/usr/bin/env bash
# Builds the stand-ins that the scripts of this review start. They are Python programs of the standard library alone
# (review/lib2/fleet.py and the case.py of each case), so there is only their syntax to check.
cd "$(dirname "$0")" && exec python3 -B -c '
import glob, sys
for path in glob.glob("lib2/*.py") + glob.glob("*/case.py"):
    compile(open(path, encoding="utf-8").read(), path, "exec")
'
