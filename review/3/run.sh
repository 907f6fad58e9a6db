#!/usr/bin/env bash
# Uses connections to a stopping daemon that were opened while the platform still sent clients there. Run review/build.sh and the build of the deploy file before.
cd "$(dirname "$0")/../.." || exit 2
[ -x review/bin/standin ] && [ -x target/mangopath ] || { echo "review/build.sh or the build of the deploy file has not run" >&2; exit 2; }
exec review/bin/standin late review/3
