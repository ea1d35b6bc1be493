#!/usr/bin/env bash
# Runs every CTest test. Tests listed in KNOWN-RED.txt are run and printed, but do not fail the run.
set -euo pipefail
cd "$(dirname "$0")/.."
known_failures=()
if [ -f KNOWN-RED.txt ]; then
    mapfile -t known_failures < <(sed -n 's/^test: *//p' KNOWN-RED.txt)
fi
pattern=$(IFS='|'; echo "${known_failures[*]:-}")
if [ -n "$pattern" ]; then
    echo "known failures (KNOWN-RED.txt): ${known_failures[*]}"
    ctest --test-dir build --output-on-failure -R "^($pattern)\$" || true
    ctest --test-dir build --output-on-failure -j 4 -E "^($pattern)\$"
else
    ctest --test-dir build --output-on-failure -j 4
fi
