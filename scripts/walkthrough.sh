#!/usr/bin/env bash
# Follows docs/operators.md from an empty folder on loopback and checks the result of each step: settings, first start,
# a request, another organisation, a drained host, a rolling restart, a platform outage. The files come from the examples on the page; only addresses and
# host names are replaced. With --built the programs are taken as they are.
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

# example NAME: the code block that follows the line of the page that begins with `NAME`.
example() {
    awk -v name="\`$1\`" 'index($0, name) == 1 { found = 1 }
        found && /^```/ { if (inside) { exit }; inside = 1; next }
        inside' "$page" | grep . || fail "$page has no example of $1"
}

# until_true COMMAND...: repeats a command until it succeeds, for ten seconds at most.
until_true() {
    for _ in $(seq 200); do
        "$@" && return 0
        sleep 0.05
    done
    fail "still false after 10 s: $*"
}

status_of() {
    curl -s -o "$work/body" -w '%{http_code}' --max-time 30 "$@" || true
}

ready_is() {
    [ "$(status_of "http://$1/readyz")" = "$2" ]
}

# ask GATEWAY KEY: a streamed request; true when the whole answer has arrived.
ask() {
    [ "$(status_of -N "http://$1/v1/responses" -H "Authorization: Bearer $2" -H 'Anvillead-Workload: clearance-check' \
        -d '{"model": "roster-large", "input": "Is S. Perera cleared?", "stream": true}')" = 200 ] &&
        grep -q '^event: response.completed' "$work/body"
}

# listed GATEWAY ADDRESS: whether /v1/endpoints of GATEWAY lists ADDRESS.
listed() {
    [ "$(status_of "http://$1/v1/endpoints" -H 'Authorization: Bearer demo-galle-key')" = 200 ] &&
        grep -qF "\"$2\"" "$work/body"
}

not_listed() {
    [ "$(status_of "http://$1/v1/endpoints" -H 'Authorization: Bearer demo-galle-key')" = 200 ] &&
        ! grep -qF "\"$2\"" "$work/body"
}

ctl() {
    "$bin/anvilleadctl" "$@" --platform "$platform" --operator walkthrough
}

# settings NAME NUMBER: the page's settings file of a daemon for host NUMBER, with ports that the kernel chooses.
settings() {
    example "$1.json" | sed -E "s/\"entry-1\"/\"entry-$2\"/; s/127.0.0.1:9000/$platform/
        s/(listen\": \"127.0.0.1):[0-9]+/\1:0/g; s/(\"agent\": \")[0-9.:]+/\1${agent:-}/" >"$work/$1-$2.json"
    if [ "$1" = agent ] && [ -n "${seed:-}" ]; then
        sed -i "s/^{/{\"seeds\": [\"$seed\"], /" "$work/$1-$2.json"
    fi
    start "$1-$2" "$bin/anvillead-$1" --settings "$work/$1-$2.json"
}

# start_host NUMBER: the three daemons; sets `gateway` to the gateway's address.
start_host() {
    settings agent "$1"
    agent=$(await "agent-$1" 'process_started link=([0-9.:]+)')
    settings scheduler "$1"
    settings gateway "$1"
    gateway=$(await "gateway-$1" 'process_started listen=([0-9.:]+)')
}

step "platform, engine and service stand-ins"
start platform "$bin/standin-platform"
start engine "$bin/standin-engine" --control '{"default_output_tokens": 24}'
start service "$bin/standin-service"
platform=$(await platform 'listening ([0-9.:]+)')
engine=$(await engine 'listening ([0-9.:]+)')
service=$(await service 'listening ([0-9.:]+)')

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
ready_is "$first" 503 || fail "ready without a configuration"

step "first start: configuration folder, validate, apply, status"
mkdir "$folder"
for name in 10-models 20-services 30-organisations 40-workloads; do
    example "$name.json" | sed "s/127.0.0.1:9101/$engine/; s/127.0.0.1:9201/$service/" >"$folder/$name.json"
done
"$bin/anvilleadctl" config validate "$folder"
ctl config apply "$folder"
ctl config status | grep -q '^accepted generation 1 ' || fail "the configuration is not accepted"
until_true ready_is "$first" 200
until_true ready_is "$second" 200

step "a request at each gateway"
until_true listed "$first" "$second"
ask "$first" demo-galle-key || fail "no answer at the first gateway: $(cat "$work/body")"
ask "$second" demo-galle-key || fail "no answer at the second gateway: $(cat "$work/body")"
[ "$(status_of "http://$first/services/roster-app/fixtures" -H 'Authorization: Bearer demo-galle-key')" = 200 ] ||
    fail "no answer of the plain service: $(cat "$work/body")"

step "adding an organisation"
KEY=walkthrough-matara-key
[ "$(status_of "http://$first/v1/endpoints" -H "Authorization: Bearer $KEY")" = 401 ] || fail "an unknown key was taken"
hash=$(printf '%s' "$KEY" | sha256sum | cut -d ' ' -f 1)
echo "{\"organisations\": [{\"name\": \"matara\", \"weight\": 1, \"key_hashes\": [\"$hash\"]}]}" \
    >"$folder/31-matara.json"
ctl config diff "$folder" | grep -q matara || fail "config diff does not show the new organisation"
ctl config apply "$folder"
until_true ask "$first" "$KEY"
until_true ask "$second" "$KEY"

step "draining a host: gone from /v1/endpoints, requests still succeed"
ctl drain host entry-2 --dir "$folder"
grep -q entry-2 "$folder/90-drains.json" || fail "90-drains.json does not name the host"
until_true not_listed "$first" "$second"
until_true not_listed "$second" "$second"
listed "$first" "$first" || fail "the other host is not listed: $(cat "$work/body")"
ask "$first" demo-galle-key || fail "no answer at the first gateway: $(cat "$work/body")"
ask "$second" demo-galle-key || fail "no answer at the drained gateway: $(cat "$work/body")"

step "ending the drain"
ctl drain host entry-2 --dir "$folder" --remove
[ ! -e "$folder/90-drains.json" ] || fail "90-drains.json is still there"
until_true listed "$first" "$second"

step "the audit trail names each change"
ctl audit >"$work/audit"
[ "$(grep -c ' accepted .*operator=walkthrough' "$work/audit")" -eq 4 ] || fail "$(cat "$work/audit")"
step "rolling restart of a host: its processes exit with 0, requests still succeed"
# Started in the order agent, scheduler, gateway after the three stand-ins and the first host.
old=("${pids[@]:6:3}")
kill -TERM "${old[@]}"
until_true not_listed "$first" "$second"
ask "$first" demo-galle-key || fail "no answer during the restart: $(cat "$work/body")"
for pid in "${old[@]}"; do
    wait "$pid" || fail "a process of entry-2 exited with $?"
done
pids=("${pids[@]:0:6}")
start_host 2
second=$gateway
until_true ready_is "$second" 200
until_true listed "$first" "$second"
ask "$second" demo-galle-key || fail "no answer after the restart: $(cat "$work/body")"

step "platform outage: config apply fails with exit code 1, requests still succeed"
kill -TERM "${pids[0]}"
wait "${pids[0]}" || true
code=0
ctl config apply "$folder" 2>"$work/outage.log" || code=$?
[ $code -eq 1 ] || fail "exit code $code: $(cat "$work/outage.log")"
ask "$first" demo-galle-key || fail "no answer during the outage: $(cat "$work/body")"
echo "walkthrough: ok"
