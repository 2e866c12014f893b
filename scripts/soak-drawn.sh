#!/usr/bin/env bash
# Plays seeds of TestSoak_DrawnDisruptions: soak-drawn.sh TEST_PROGRAM JOBS SEED...
# Prints the seeds that failed, and how many ordered pairs of injectors have met. Logs stay in out/soak.
set -uo pipefail
cd "$(dirname "$0")/.."
program=$(realpath "$1") jobs=$2
shift 2
logs=$PWD/out/soak/logs
rm -rf "$logs"
mkdir -p "$logs"
cd cmd/medlarsill-gateway
printf '%s\n' "$@" | xargs -P "$jobs" -I{} bash -c \
	'SEED={} "'"$program"'" -test.v -test.run "^TestSoak_DrawnDisruptions$" > "'"$logs"'/{}.log" 2>&1 || { echo "seed {} failed"; grep -h "broken rules" -A4 "'"$logs"'/{}.log"; }' |
	tee "$logs/failed"
echo "pairs that have met, with their phases: $(grep -h 'met: ' "$logs"/*.log | sed 's/.*met: //' | sort -u | wc -l)"
echo "pairs that have met: $(grep -h 'met: ' "$logs"/*.log | sed 's/.*met: //; s/, at [a-z ]*$//' | sort -u | wc -l)"
[ ! -s "$logs/failed" ]
