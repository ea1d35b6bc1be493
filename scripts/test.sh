#!/usr/bin/env bash
# Installs, builds, checks format, lint and catalogues, and runs every test. Exits non-zero on the first failure.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/install.sh
scripts/build.sh
scripts/lint.sh
python3 scripts/check_catalogues.py
scripts/run_ctest.sh
