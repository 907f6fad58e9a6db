#!/usr/bin/env bash
# Stops a daemon while it passes on large answers, in the middle of which the replica is silent for a moment.
# Run review/build.sh and the build of the deploy file before.
cd "$(dirname "$0")/../.." || exit 2
[ -x review/bin/standin ] && [ -x target/mangopath ] || { echo "review/build.sh or the build of the deploy file has not run" >&2; exit 2; }
exec review/bin/standin large review/5
