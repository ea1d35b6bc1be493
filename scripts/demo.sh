#!/usr/bin/env bash
# Installs, builds, starts the stand-ins and the three daemons on loopback, and sends one streamed request through them.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/install.sh
scripts/build.sh --target anvillead-agent anvillead-scheduler anvillead-gateway anvilleadctl standin-engine \
    standin-platform standin-service >/dev/null
source scripts/processes.sh

start platform "$bin/standin-platform"
start engine "$bin/standin-engine" --control '{"default_output_tokens": 24}'
start service "$bin/standin-service"
platform=$(await_log platform 'listening ([0-9.:]+)')
engine=$(await_log engine 'listening ([0-9.:]+)')
service=$(await_log service 'listening ([0-9.:]+)')

mkdir "$work/config"
cp examples/config/*.json "$work/config/"
sed -i "s/127.0.0.1:9101/$engine/; s/127.0.0.1:9201/$service/" "$work/config/20-services.json"
"$bin/anvilleadctl" config validate "$work/config"

start_daemons

"$bin/anvilleadctl" config apply "$work/config" --platform "$platform" --operator demo
await_ready

curl -fsSN --max-time 30 "http://$gateway/v1/responses" \
    -H 'Authorization: Bearer demo-galle-key' -H 'Anvillead-Workload: clearance-check' \
    -d '{"model": "roster-large", "input": "Is S. Perera cleared?", "stream": true}' >"$work/answer"
echo "gateway $gateway (pid ${pids[5]}), scheduler (pid ${pids[4]}), agent (pid ${pids[3]}), engine stand-in $engine"
echo "answer: $(sed -nE 's/^data: .*"delta":"([^"]*)".*/\1/p' "$work/answer" | tr -d '\n')"
grep -q '^event: response.completed' "$work/answer"
echo "demo: ok"
