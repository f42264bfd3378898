#!/usr/bin/env bash
# Runs the script NAME of a case, writes what was sent, answered and run to RECORD, and ends every process that
# it started. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
set -um
cd "$(dirname "$0")/.."
standins=target/review/release/review-standins
if [[ ! -x $standins || ! -x target/release/umberpond-sidecar ]]; then
    echo "run the build of deploy/system.toml and review/build.sh first"
    exit 2
fi
"$standins" case "$1" "$2" &
job=$!
trap 'kill -KILL -- "-$job" 2>/dev/null' EXIT
trap 'exit 2' INT TERM
wait "$job"
exit $?
