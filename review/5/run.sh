#!/usr/bin/env bash
# Has a replica leave while the hub that a daemon follows is stopped, some time after an outage of the store.
# Run review/build.sh and the build of the deploy file before.
cd "$(dirname "$0")/../.." || exit 2
[ -x review/bin/standin ] && [ -x target/mangopath ] || { echo "review/build.sh or the build of the deploy file has not run" >&2; exit 2; }
exec review/bin/standin drain review/5
