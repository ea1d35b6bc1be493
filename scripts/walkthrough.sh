#!/usr/bin/env bash
# Follows docs/operators.md from an empty folder on loopback and checks the result of each step: settings, first start,
# a request, another organisation, a drained host, a rolling restart, a platform outage. The files come from the
# examples on the page; only addresses and host names are replaced. With --built nothing is installed or built first.
set -euo pipefail
cd "$(dirname "$0")/.."
if [ "${1:-}" != --built ]; then
    scripts/install.sh
    scripts/build.sh >/dev/null
fi
source scripts/processes.sh
page=docs/operators.md
folder=$work/config

fail() {
    echo "walkthrough: $*" >&2
    exit 1
}

step() {
    echo "walkthrough: $*"
}

# example NAME: prints the code block that follows the line of the page that begins with `NAME`.
example() {
    awk -v name="\`$1\`" 'index($0, name) == 1 { found = 1 }
        found && /^```/ { if (inside) { exit }; inside = 1; next }
        inside' "$page" | grep . || fail "$page has no example of $1"
}

# wait_until COMMAND...: repeats a command until it succeeds, for ten seconds at most.
wait_until() {
    for _ in $(seq 200); do
        "$@" && return 0
        sleep 0.05
    done
    fail "condition not met after 10 s: $*"
}

status_of() {
    curl -s -o "$work/body" -w '%{http_code}' --max-time 30 "$@" || true
}

readyz_returns() {
    [ "$(status_of "http://$1/readyz")" = "$2" ]
}

# send_request GATEWAY KEY: sends a streamed request; succeeds when the whole answer has arrived.
send_request() {
    [ "$(status_of -N "http://$1/v1/responses" -H "Authorization: Bearer $2" -H 'Anvillead-Workload: clearance-check' \
        -d '{"model": "roster-large", "input": "Is S. Perera cleared?", "stream": true}')" = 200 ] &&
        grep -q '^event: response.completed' "$work/body"
}

# is_listed GATEWAY ADDRESS: succeeds if /v1/endpoints of GATEWAY lists ADDRESS.
is_listed() {
    [ "$(status_of "http://$1/v1/endpoints" -H 'Authorization: Bearer demo-galle-key')" = 200 ] &&
        grep -qF "\"$2\"" "$work/body"
}

# is_not_listed GATEWAY ADDRESS: succeeds if /v1/endpoints of GATEWAY answers without ADDRESS.
is_not_listed() {
    [ "$(status_of "http://$1/v1/endpoints" -H 'Authorization: Bearer demo-galle-key')" = 200 ] &&
        ! grep -qF "\"$2\"" "$work/body"
}

ctl() {
    "$bin/anvilleadctl" "$@" --platform "$platform" --operator walkthrough
}

# start_daemon NAME NUMBER: starts a daemon of host NUMBER with the settings file of the page, on ports that the kernel
# chooses.
start_daemon() {
    example "$1.json" | sed -E "s/\"entry-1\"/\"entry-$2\"/; s/127.0.0.1:9000/$platform/
        s/(listen\": \"127.0.0.1):[0-9]+/\1:0/g; s/(\"agent\": \")[0-9.:]+/\1${agent:-}/" >"$work/$1-$2.json"
    if [ "$1" = agent ] && [ -n "${seed:-}" ]; then
        sed -i "s/^{/{\"seeds\": [\"$seed\"], /" "$work/$1-$2.json"
    fi
    start "$1-$2" "$bin/anvillead-$1" --settings "$work/$1-$2.json"
}

# start_host NUMBER: starts the three daemons of a host and sets `gateway` to the gateway's address.
start_host() {
    start_daemon agent "$1"
    agent=$(await_log "agent-$1" 'process_started link=([0-9.:]+)')
    start_daemon scheduler "$1"
    start_daemon gateway "$1"
    gateway=$(await_log "gateway-$1" 'process_started listen=([0-9.:]+)')
}

step "platform, engine and service stand-ins"
start platform "$bin/standin-platform"
start engine "$bin/standin-engine" --control '{"default_output_tokens": 24}'
start service "$bin/standin-service"
platform=$(await_log platform 'listening ([0-9.:]+)')
engine=$(await_log engine 'listening ([0-9.:]+)')
service=$(await_log service 'listening ([0-9.:]+)')

step "settings: a file that is not valid is reported by file and field, with exit code 2"
example gateway.json | sed 's/"listen"/"lisen"/' >"$work/broken.json"
code=0
"$bin/anvillead-gateway" --settings "$work/broken.json" 2>"$work/broken.log" || code=$?
[ $code -eq 2 ] || fail "exit code $code"
grep -q 'broken.json: lisen: expected' "$work/broken.log" || fail "$(cat "$work/broken.log")"

step "first start: two hosts, not ready without a configuration"
start_host 1
first=$gateway
seed=$agent
start_host 2
second=$gateway
readyz_returns "$first" 503 || fail "ready without a configuration"

step "first start: configuration folder, validate, apply, status"
mkdir "$folder"
for name in 10-models 20-services 30-organisations 40-workloads; do
    example "$name.json" | sed "s/127.0.0.1:9101/$engine/; s/127.0.0.1:9201/$service/" >"$folder/$name.json"
done
"$bin/anvilleadctl" config validate "$folder"
ctl config apply "$folder"
ctl config status | grep -q '^accepted generation 1 ' || fail "the configuration is not accepted"
wait_until readyz_returns "$first" 200
wait_until readyz_returns "$second" 200

step "a request at each gateway"
wait_until is_listed "$first" "$second"
send_request "$first" demo-galle-key || fail "no answer at the first gateway: $(cat "$work/body")"
send_request "$second" demo-galle-key || fail "no answer at the second gateway: $(cat "$work/body")"
[ "$(status_of "http://$first/services/roster-app/fixtures" -H 'Authorization: Bearer demo-galle-key')" = 200 ] ||
    fail "no answer of the plain service: $(cat "$work/body")"

step "adding an organisation"
KEY=walkthrough-matara-key
[ "$(status_of "http://$first/v1/endpoints" -H "Authorization: Bearer $KEY")" = 401 ] ||
    fail "an unknown key was accepted"
hash=$(printf '%s' "$KEY" | sha256sum | cut -d ' ' -f 1)
echo "{\"organisations\": [{\"name\": \"matara\", \"weight\": 1, \"key_hashes\": [\"$hash\"]}]}" \
    >"$folder/31-matara.json"
ctl config diff "$folder" | grep -q matara || fail "config diff does not show the new organisation"
ctl config apply "$folder"
wait_until send_request "$first" "$KEY"
wait_until send_request "$second" "$KEY"

step "draining a host: gone from /v1/endpoints, requests still succeed"
ctl drain host entry-2 --dir "$folder"
grep -q entry-2 "$folder/90-drains.json" || fail "90-drains.json does not name the host"
wait_until is_not_listed "$first" "$second"
wait_until is_not_listed "$second" "$second"
is_listed "$first" "$first" || fail "the other host is not listed: $(cat "$work/body")"
send_request "$first" demo-galle-key || fail "no answer at the first gateway: $(cat "$work/body")"
send_request "$second" demo-galle-key || fail "no answer at the drained gateway: $(cat "$work/body")"

step "ending the drain"
ctl drain host entry-2 --dir "$folder" --remove
[ ! -e "$folder/90-drains.json" ] || fail "90-drains.json is still there"
wait_until is_listed "$first" "$second"

step "the audit trail names each change"
ctl audit >"$work/audit"
[ "$(grep -c ' accepted .*operator=walkthrough' "$work/audit")" -eq 4 ] || fail "$(cat "$work/audit")"
step "rolling restart of a host: its processes exit with 0, requests still succeed"
# The agent, scheduler and gateway of entry-2 were started after the three stand-ins and the daemons of entry-1.
old_pids=("${pids[@]:6:3}")
kill -TERM "${old_pids[@]}"
wait_until is_not_listed "$first" "$second"
send_request "$first" demo-galle-key || fail "no answer during the restart: $(cat "$work/body")"
for pid in "${old_pids[@]}"; do
    wait "$pid" || fail "a process of entry-2 exited with $?"
done
pids=("${pids[@]:0:6}")
start_host 2
second=$gateway
wait_until readyz_returns "$second" 200
wait_until is_listed "$first" "$second"
send_request "$second" demo-galle-key || fail "no answer after the restart: $(cat "$work/body")"

step "platform outage: config apply fails with exit code 1, requests still succeed"
kill -TERM "${pids[0]}"
wait "${pids[0]}" || true
code=0
ctl config apply "$folder" 2>"$work/outage.log" || code=$?
[ $code -eq 1 ] || fail "exit code $code: $(cat "$work/outage.log")"
send_request "$first" demo-galle-key || fail "no answer during the outage: $(cat "$work/body")"
echo "walkthrough: ok"
