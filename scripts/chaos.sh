#!/usr/bin/env bash
# Runs the processes of seven hosts, injects random faults generated from a seed, and prints a verdict for each
# invariant of design.md 1.3. Exits non-zero on a violation. Usage: scripts/chaos.sh --seed N --seconds S
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/build.sh >/dev/null
exec build/bin/chaos "$@"
