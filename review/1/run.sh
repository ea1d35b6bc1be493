#!/usr/bin/env bash
# Runs the case: exit code 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves out the
# disruption. Needs the build of the deploy file and review/build.sh.
folder=$(cd "$(dirname "${BASH_SOURCE[0]}")" && pwd) || exit 2
number=$(basename "$folder")
cd "$folder/../.." || exit 2
[ -x target/bin/anvillead-node ] && [ -x "target/review/case-$number" ] || exit 2
timeout -k 5 112 "target/review/case-$number" "review/$number"
code=$?
[ $code -le 2 ] || code=2
exit $code
