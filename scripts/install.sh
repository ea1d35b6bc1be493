#!/usr/bin/env bash
# Installs the Debian packages that the build and the tests need.
set -euo pipefail
packages=(g++ cmake ninja-build ccache clang-format clang-tidy curl python3 libboost-dev libwebsocketpp-dev
    nlohmann-json3-dev libtclap-dev libfmt-dev libcpputest-dev libssl-dev libxxhash-dev librapidcheck-dev
    node-eventsource)
missing=()
for package in "${packages[@]}"; do
    dpkg -s "$package" >/dev/null 2>&1 || missing+=("$package")
done
[ ${#missing[@]} -eq 0 ] && exit 0
apt-get update -qq
DEBIAN_FRONTEND=noninteractive apt-get install -y -qq "${missing[@]}" >/dev/null
