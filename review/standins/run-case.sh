# Sourced by each run.sh: runs the case's program in a temporary folder, ends all that it started, and keeps its result.
# Exit code: 1 the rule was broken, 0 it held, 2 the case could not run.
here=$(cd "$(dirname "${BASH_SOURCE[1]}")" && pwd)
cd "$here/../.."
name=$(basename "$here")
program=build/review/case-$name
[ -x "$program" ] && [ -x build/mothring ] || { echo "COULD NOT RUN: build first (deploy file, review/build.sh)"; exit 2; }
MOTHRING_RUN=$(sed -n 's/^run = "\(.*\)".*/\1/p' deploy/balancer.toml)
export MOTHRING_RUN TROUBLE=${TROUBLE:-1}
# A case may hold some thousands of connections.
ulimit -n 8192 2>/dev/null || ulimit -n "$(ulimit -Hn)"
folder=$(mktemp -d) || exit 2
# The program and the sidecar are one process group, which ends with this script.
set -m
timeout -k 1 115 "$program" "$folder" "$here/record.txt" &
job=$!
trap 'kill -KILL -- -$job 2>/dev/null; rm -rf "$folder"' EXIT
wait $job
code=$?
[ $code -le 2 ] || code=2
exit $code
