#!/usr/bin/env bash
# Builds the stand-ins of the cases that have a script into target/review/. Needs g++ only. The sources end in .cc and
# .hpp, which the project's lint and build do not take up, so that the cases stay out of CI.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for case in review/*/case.cc; do
    number=$(basename "$(dirname "$case")")
    g++ -std=c++17 -O1 -pthread -o "target/review/case-$number" "$case"
done
