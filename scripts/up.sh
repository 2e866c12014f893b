#!/usr/bin/env bash
# Starts one organisation's processes on loopback and stays up until Ctrl-C.
# Usage: scripts/up.sh [szallashallo|haba]
set -u
cd "$(dirname "$0")/.."
. scripts/lib.sh
trap 'stop_all; rm -rf "$RUN_DIR"; exit 0' INT TERM
start_all "${1:-szallashallo}" "${BASE_PORT:-17000}"
if ! wait_ready; then
  stop_all
  exit 1
fi
echo "organisation: $ORG"
for i in $(seq 1 "$ENTRIES"); do
  echo "entry-$i: http://127.0.0.1:$(entry_port "$i")  metrics http://127.0.0.1:$((BASE + 300 + i))/metrics"
done
echo "admin: http://127.0.0.1:$(admin_port 1) http://127.0.0.1:$(admin_port 2)"
echo "stand-in of the platform: $(standin_url)"
echo "operators: bin/medlarctl --profile $RUN_DIR/medlarctl.json status"
echo "logs: $RUN_DIR"
echo "Ctrl-C stops everything."
wait
