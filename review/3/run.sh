#!/bin/bash
# Plays case 3. Exit code 1: the rule was broken, 0: it held, 2: the case could not be run. TROUBLE=0 leaves the
# disruption out. Needs the build of the deploy file and review/build.sh.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/winchhall-cluster ] && [ -x target/review/review-cases ] || exit 2
exec timeout -k 5 115 target/review/review-cases all-processes-killed review/3/record.txt
