#!/usr/bin/env bash
# Checks formatting and runs clang-tidy over the project's sources. A file is skipped if it has passed before with the
# same content, headers and .clang-tidy; the stamp files that record this are in build/lint.
set -euo pipefail
cd "$(dirname "$0")/.."
mapfile -t sources < <(git ls-files -co --exclude-standard '*.cpp' '*.h')
clang-format --dry-run --Werror "${sources[@]}"
mkdir -p build/lint
check_one() {
    local stamp
    stamp=build/lint/$(cat .clang-tidy "$1" $(git ls-files -co --exclude-standard '*.h') | sha256sum | cut -c1-32)
    [ -e "$stamp" ] && return 0
    clang-tidy --quiet -p build "$1" 2>/dev/null && touch "$stamp"
}
export -f check_one
git ls-files -co --exclude-standard '*.cpp' | xargs -P "$(nproc)" -I{} bash -c 'check_one {}'
