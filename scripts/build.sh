#!/usr/bin/env bash
# Configures and builds the tree into build/.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S . -B build -G Ninja >/dev/null
cmake --build build "$@"
