#!/usr/bin/env bash
# Starts the stand-ins and the daemons on loopback and measures what the path through a gateway adds to the gaps between
# tokens: scripts/overhead.sh [STREAMS [TOKENS]]. The binaries must have been built.
set -euo pipefail
cd "$(dirname "$0")/.."
streams=${1:-300}
tokens=${2:-600}
source scripts/processes.sh
# A gateway of another build, for example one with a sanitizer.
gateway_program=${OVERHEAD_GATEWAY:-$bin/anvillead-gateway}

start platform "$bin/standin-platform"
# 20 ms and 0.04 ms for each generation: 44 ms between tokens with 600 generations, the design's target.
start engine "$bin/standin-engine" --control \
    '{"step_base_ms": 20, "step_per_sequence_ms": 0.04, "batch_limit": 2000, "capacity_tokens": 100000000}'
platform=$(await platform 'listening ([0-9.:]+)')
engine=$(await engine 'listening ([0-9.:]+)')

mkdir "$work/config"
cp examples/config/*.json "$work/config/"
sed -i "s/127.0.0.1:9101/$engine/; s/\"capacity_tokens\": 60000/\"capacity_tokens\": 100000000/; s/\"batch_limit\": 64/\"batch_limit\": 2000/" \
    "$work/config/20-services.json"
# The limits of the organisation are not what is measured.
sed -i 's/"limits": {[^}]*}, *//; /"limits": {[^}]*},$/d' "$work/config/"*organisations*.json

common="\"host\": \"entry-1\", \"availability_zone\": \"colombo-a\", \"platform\": \"$platform\", \"fleet_keys\": [\"demo-fleet-key\"]"
echo "{$common, \"link_listen\": \"127.0.0.1:0\", \"probe_listen\": \"127.0.0.1:0\"}" >"$work/agent.json"
start agent "$bin/anvillead-agent" --settings "$work/agent.json"
agent=$(await agent 'process_started link=([0-9.:]+)')
echo "{$common, \"listen\": \"127.0.0.1:0\", \"agent\": \"$agent\"}" >"$work/scheduler.json"
start scheduler "$bin/anvillead-scheduler" --settings "$work/scheduler.json"
echo "{$common, \"listen\": \"127.0.0.1:0\", \"link_listen\": \"127.0.0.1:0\", \"agent\": \"$agent\"}" >"$work/gateway.json"
start gateway "$gateway_program" --settings "$work/gateway.json"
gateway=$(await gateway 'process_started listen=([0-9.:]+)')
"$bin/anvilleadctl" config apply "$work/config" "$platform" >/dev/null
for _ in $(seq 200); do
    curl -fs "http://$gateway/readyz" >/dev/null && break
    sleep 0.05
done

"$bin/anvillead-bench" overhead --gateway "$gateway" --engine "$engine" --key demo-galle-key --model roster-large \
    --workload appointment-sheet --streams "$streams" --tokens "$tokens"
