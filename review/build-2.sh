#!/usr/bin/env bash
# Builds what the scripts of this review start beside the deploy file's build. The stand-ins are Python programs of the
# standard library alone (review/lib2 and the case.py of each case), so only their syntax is checked. Case 10 also needs
# the version that is in production there: it is built from the repository's history into target/review-production/,
# with that version's own build command. Without a history only case 10 can't run.
set -eu
cd "$(dirname "$0")"
python3 -B -c '
import glob
for path in glob.glob("lib2/*.py") + glob.glob("*/case.py"):
    compile(open(path, encoding="utf-8").read(), path, "exec")
'
cd ..
production=0bfc4c6
folder=target/review-production
[ -x "$folder/target/bin/anvillead-node" ] && exit 0
rm -rf "$folder"
mkdir -p "$folder"
if ! git archive "$production" 2>/dev/null | tar -x -C "$folder" 2>/dev/null || [ ! -f "$folder/CMakeLists.txt" ]; then
    echo "review/build-2.sh: commit $production can't be read from the repository's history; case 10 can't run" >&2
    exit 0
fi
cd "$folder"
cmake -S . -B target -G Ninja -DCMAKE_BUILD_TYPE=Release && cmake --build target --target anvillead-node
