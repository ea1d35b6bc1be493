#!/usr/bin/env bash
# The stand-ins of the cases in review/11 to review/15 are Python programs of the standard library (lib3/), so nothing
# is compiled; this checks that they can be run. Python 3 is one of the packages of scripts/install.sh.
set -euo pipefail
cd "$(dirname "$0")"
python3 -c 'import sys; sys.exit(sys.version_info < (3, 8))'
python3 - lib3/*.py 1[1-5]/*.py <<'CHECK'
import ast
import os
import sys
for path in sys.argv[1:]:
    if os.path.isfile(path):
        with open(path, encoding="utf-8") as file:
            ast.parse(file.read(), path)
CHECK
