#!/usr/bin/env bash
# Runs a script with a Node.js that can load Debian's modules. Debian's Node.js searches /usr/share/nodejs by default;
# one installed from elsewhere needs NODE_PATH. Uses /usr/bin/node or the first one on PATH that loads the module.
set -euo pipefail
export NODE_PATH=/usr/share/nodejs
mapfile -t candidates < <(type -aP node nodejs)
for node in /usr/bin/node "${candidates[@]}"; do
    if "$node" -e 'require("eventsource")' 2>/dev/null; then
        exec "$node" "$@"
    fi
done
echo "no Node.js can load the module eventsource from $NODE_PATH; install the package node-eventsource" >&2
exit 1
