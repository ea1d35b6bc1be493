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

# await NAME PATTERN: prints the first match of PATTERN (a sed expression with one group) in the log of NAME.
await() {
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
