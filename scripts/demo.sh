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
platform=$(await platform 'listening ([0-9.:]+)')
engine=$(await engine 'listening ([0-9.:]+)')
service=$(await service 'listening ([0-9.:]+)')

mkdir "$work/config"
cp examples/config/*.json "$work/config/"
sed -i "s/127.0.0.1:9101/$engine/; s/127.0.0.1:9201/$service/" "$work/config/20-services.json"
"$bin/anvilleadctl" config validate "$work/config"

common="\"host\": \"entry-1\", \"availability_zone\": \"colombo-a\", \"platform\": \"$platform\", \"fleet_keys\": [\"demo-fleet-key\"]"
echo "{$common, \"link_listen\": \"127.0.0.1:0\", \"probe_listen\": \"127.0.0.1:0\"}" >"$work/agent.json"
start agent "$bin/anvillead-agent" --settings "$work/agent.json"
agent=$(await agent 'process_started link=([0-9.:]+)')
echo "{$common, \"listen\": \"127.0.0.1:0\", \"agent\": \"$agent\"}" >"$work/scheduler.json"
start scheduler "$bin/anvillead-scheduler" --settings "$work/scheduler.json"
echo "{$common, \"listen\": \"127.0.0.1:0\", \"link_listen\": \"127.0.0.1:0\", \"agent\": \"$agent\"}" >"$work/gateway.json"
start gateway "$bin/anvillead-gateway" --settings "$work/gateway.json"
gateway=$(await gateway 'process_started listen=([0-9.:]+)')

"$bin/anvilleadctl" config apply "$work/config" --platform "$platform" --operator demo
for _ in $(seq 200); do
    curl -fs "http://$gateway/readyz" >/dev/null && break
    sleep 0.05
done

curl -fsSN --max-time 30 "http://$gateway/v1/responses" \
    -H 'Authorization: Bearer demo-galle-key' -H 'Anvillead-Workload: clearance-check' \
    -d '{"model": "roster-large", "input": "Is S. Perera cleared?", "stream": true}' >"$work/answer"
echo "gateway $gateway (pid ${pids[5]}), scheduler (pid ${pids[4]}), agent (pid ${pids[3]}), engine stand-in $engine"
echo "answer: $(sed -nE 's/^data: .*"delta":"([^"]*)".*/\1/p' "$work/answer" | tr -d '\n')"
grep -q '^event: response.completed' "$work/answer"
echo "demo: ok"
