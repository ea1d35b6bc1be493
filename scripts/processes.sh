# Sourced by scripts that run the binaries on loopback: starts processes in the background, finds their addresses, and
# stops them at exit. KEEP_LOGS=1 keeps the work folder.
bin=${ANVILLEAD_BIN:-$PWD/build/bin}
work=$(mktemp -d)
pids=()
cleanup() {
    for pid in "${pids[@]}"; do
        kill -TERM "$pid" 2>/dev/null || true
    done
    wait 2>/dev/null || true
    [ -n "${KEEP_LOGS:-}" ] || rm -rf "$work"
}
trap cleanup EXIT

# start NAME COMMAND...: runs a process in the background with its output in $work/NAME.log.
start() {
    local name=$1
    shift
    "$@" >"$work/$name.log" 2>&1 &
    pids+=($!)
}

# start_daemons [GATEWAY_PROGRAM]: starts agent, scheduler and gateway of one host with the platform at $platform and
# sets $gateway to the gateway's address.
start_daemons() {
    local common agent
    common="\"host\": \"entry-1\", \"availability_zone\": \"colombo-a\", \"platform\": \"$platform\", \"fleet_keys\": [\"demo-fleet-key\"]"
    echo "{$common, \"link_listen\": \"127.0.0.1:0\", \"probe_listen\": \"127.0.0.1:0\"}" >"$work/agent.json"
    start agent "$bin/anvillead-agent" --settings "$work/agent.json"
    agent=$(await_log agent 'process_started link=([0-9.:]+)')
    echo "{$common, \"listen\": \"127.0.0.1:0\", \"agent\": \"$agent\"}" >"$work/scheduler.json"
    start scheduler "$bin/anvillead-scheduler" --settings "$work/scheduler.json"
    echo "{$common, \"listen\": \"127.0.0.1:0\", \"link_listen\": \"127.0.0.1:0\", \"agent\": \"$agent\"}" >"$work/gateway.json"
    start gateway "${1:-$bin/anvillead-gateway}" --settings "$work/gateway.json"
    gateway=$(await_log gateway 'process_started listen=([0-9.:]+)')
}

# await_ready: waits until the gateway at $gateway is ready. Returns after about ten seconds also if it is not.
await_ready() {
    for _ in $(seq 200); do
        curl -fs "http://$gateway/readyz" >/dev/null && return 0
        sleep 0.05
    done
}

# await_log NAME PATTERN: waits until PATTERN (a sed expression with one group) matches in the log of NAME, for ten
# seconds at most, and prints the first match of the group.
await_log() {
    local found
    for _ in $(seq 200); do
        found=$(sed -nE "s/.*$2.*/\1/p" "$work/$1.log" | head -n 1)
        if [ -n "$found" ]; then
            echo "$found"
            return 0
        fi
        sleep 0.05
    done
    echo "$1 did not start:" >&2
    cat "$work/$1.log" >&2
    return 1
}
