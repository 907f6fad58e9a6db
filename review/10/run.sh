#!/usr/bin/env bash
# Plays the case and exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/mangopath ] && [ -x target/review-standin-2 ] || { echo "run the build of the deploy file and review/build-2.sh first"; exit 2; }
exec timeout --kill-after=5 115 target/review-standin-2 crashing-request review/10/record.txt
