#!/usr/bin/env bash
# Runs a script with a node that finds Debian's modules. Debian's node looks in /usr/share/nodejs by itself, one that
# was installed from elsewhere needs NODE_PATH; the first node on the path that loads the module is taken.
set -euo pipefail
export NODE_PATH=/usr/share/nodejs
mapfile -t candidates < <(type -aP node nodejs)
for node in /usr/bin/node "${candidates[@]}"; do
    if "$node" -e 'require("eventsource")' 2>/dev/null; then
        exec "$node" "$@"
    fi
done
echo "no node loads the module eventsource from $NODE_PATH; install the package node-eventsource" >&2
exit 1
