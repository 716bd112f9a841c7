#!/bin/sh
# Runs one case of the second review: run-case.sh N. Exit code 1: the rule was broken; 0: it held; 2: the case
# could not run. TROUBLE=0 leaves out the disruption. Writes review/N/record.txt.
root=$(cd "$(dirname "$0")/../.." && pwd)
program="$root/build/review-2/$1"
RUN_LINE=$(sed -n 's/^run = "\(.*\)".*$/\1/p' "$root/deploy/balancer.toml")
if [ ! -x "$program" ] || [ -z "$RUN_LINE" ]; then
    echo "build first: the line 'build' of deploy/balancer.toml, then review/build-2.sh" >&2
    exit 2
fi
CASE_FOLDER=$(mktemp -d) || exit 2
trap 'rm -rf "$CASE_FOLDER"' EXIT
trap 'exit 2' HUP INT TERM
PROJECT_ROOT=$root
RECORD="$root/review/$1/record.txt"
export RUN_LINE CASE_FOLDER PROJECT_ROOT RECORD
timeout -k 2 115 "$program"
code=$?
if [ -f "$RECORD" ]; then cat "$CASE_FOLDER"/log-* 2>/dev/null | sed 's/^/sidecar log: /' >>"$RECORD"; fi
[ "$code" -le 2 ] || code=2
exit "$code"
