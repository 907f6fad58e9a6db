#!/usr/bin/env bash
# Builds the stand-ins that the scripts of cases 6 to 10 start. It runs after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-standin-2 ./review/standin2
