#!/bin/bash
# Plays the case. Exit code: 1 the rule was broken, 0 it held, 2 the case couldn't run. TROUBLE=0: no disruption.
# Needs the build of the deploy file and review/build-2.sh.
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$folder/../.." || exit 2
[ -x target/review-2/review-case ] || { echo "review/build-2.sh has not been run" >&2; exit 2; }
timeout 115 target/review-2/review-case former-service-used-again "$folder/record.txt"
status=$?
[ "$status" -le 1 ] || status=2
exit "$status"
