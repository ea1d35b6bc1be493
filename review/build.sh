#!/usr/bin/env bash
# Builds the stand-ins of the cases that have a script into target/review/. Needs g++ only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for case in review/*/case.cpp; do
    number=$(basename "$(dirname "$case")")
    g++ -std=c++17 -O1 -pthread -o "target/review/case-$number" "$case"
done
