#!/usr/bin/env bash
# Starts the stand-ins and the daemons on loopback and measures what the path through a gateway adds to the gaps between
# tokens: scripts/overhead.sh [STREAMS [TOKENS]]. The binaries must have been built.
set -euo pipefail
cd "$(dirname "$0")/.."
streams=${1:-300}
tokens=${2:-600}
source scripts/processes.sh

start platform "$bin/standin-platform"
# A step takes 20 ms plus 0.04 ms per generation: 44 ms between tokens with 600 generations, the design's target.
start engine "$bin/standin-engine" --control \
    '{"step_base_ms": 20, "step_per_sequence_ms": 0.04, "batch_limit": 2000, "capacity_tokens": 100000000}'
platform=$(await_log platform 'listening ([0-9.:]+)')
engine=$(await_log engine 'listening ([0-9.:]+)')

mkdir "$work/config"
cp examples/config/*.json "$work/config/"
sed -i "s/127.0.0.1:9101/$engine/; s/\"capacity_tokens\": 60000/\"capacity_tokens\": 100000000/; s/\"batch_limit\": 64/\"batch_limit\": 2000/" \
    "$work/config/20-services.json"
# Removes the limits of the organisations so that they do not affect the measurement.
sed -i 's/"limits": {[^}]*}, *//; /"limits": {[^}]*},$/d' "$work/config/"*organisations*.json

# OVERHEAD_GATEWAY selects a gateway binary of another build, for example one with a sanitizer.
start_daemons "${OVERHEAD_GATEWAY:-}"
"$bin/anvilleadctl" config apply "$work/config" "$platform" >/dev/null
await_ready

"$bin/anvillead-bench" overhead --gateway "$gateway" --engine "$engine" --key demo-galle-key --model roster-large \
    --workload appointment-sheet --streams "$streams" --tokens "$tokens"
