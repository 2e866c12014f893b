#!/usr/bin/env bash
# Plays the same seeded traffic under each policy in turn, both organisations
# side by side, and writes the tables and plots of docs/MEASUREMENTS.md.
# Usage: measure.sh. Environment: SEEDS, POLICIES, SCENARIOS, OUT (directory of
# the rows and logs).
set -euo pipefail
cd "$(dirname "$0")/.."

SEEDS=${SEEDS:-"1 2 3"}
POLICIES=${POLICIES:-"ours static round_robin least_in_flight prefix_hash"}
SCENARIOS=${SCENARIOS:-"ordinary wave"}
OUT=${OUT:-$(mktemp -d)}

# Accounted seconds per second, and the start times of instances in accounted time.
SPEED=5
START_DELAY=5s
MODEL_LOAD=1s
# The controller's times are divided by this, as starts are shorter than usual too.
PACE=20

# duration SCENARIO prints the length of a run in accounted time.
duration() { [ "$1" = ordinary ] && echo 80s || echo 45s; }

# measure_one ORG BASE POLICY SCENARIO SEED runs one organisation's processes
# and appends a row to its CSV file.
measure_one() (
  # shellcheck source=scripts/lib.sh
  source scripts/lib.sh
  trap 'set +e; stop_all' EXIT
  ORG=$1 BASE=$2
  local policy=$3 scenario=$4 seed=$5
  local placement=$policy instances today rate
  case "$policy" in ours | static) placement=score ;; esac
  # Today's sizes, and the calls per accounted second that they carry.
  case "$ORG" in
    szallashallo) instances=assistant:9 today=9 rate=24 ;;
    haba) instances=summaries:18 today=18 rate=36 ;;
  esac
  # The fleet starts at today's size; the controller may go down to half of it.
  sed "s/\"min\": $today,/\"min\": $((today / 2)),/" "examples/$ORG/config.json" >"$RUN_DIR/config.json"
  run standin bin/medlarsill-standin --listen "127.0.0.1:$BASE" --config "$RUN_DIR/config.json" \
    ${STANDIN_FLAGS:-} --speed "$SPEED" --start-delay "$START_DELAY" --model-load "$MODEL_LOAD" --instances "$instances"
  wait_http "$(standin_url)/instances"
  local i entries=()
  for i in $(seq 1 "$ENTRIES"); do
    write_entry_settings "$i"
    sed -i "s/\"log\":/\"policy\": \"$placement\", \"log\":/" "$RUN_DIR/entry-$i.json"
    start_entry "$i"
    entries+=(--entry "http://127.0.0.1:$(entry_port "$i")")
  done
  if [ "$policy" != static ]; then
    for i in 1 2; do
      write_controller_settings "$i"
      sed -i "s/\"pace\": 10/\"pace\": $PACE/" "$RUN_DIR/controller-$i.json"
      run "controller-$i" bin/medlarsill-controller --settings "$RUN_DIR/controller-$i.json"
    done
  fi
  for i in $(seq 1 "$ENTRIES"); do
    wait_http "http://127.0.0.1:$((BASE + 300 + i))/readyz"
  done
  bin/medlarsill-load "${entries[@]}" --platform "$(standin_url)" --config "$RUN_DIR/config.json" \
    --scenario "$scenario" --rate "$rate" --duration "$(duration "$scenario")" --speed "$SPEED" --seed "$seed" \
    --policy "$policy" --csv "$OUT/$ORG.csv" >"$OUT/$ORG-$policy-$scenario-$seed.txt" || true
  cat "$RUN_DIR"/controller-*.log >"$OUT/$ORG-$policy-$scenario-$seed.log" 2>/dev/null || true
)

for seed in $SEEDS; do
  for scenario in $SCENARIOS; do
    for policy in $POLICIES; do
      measure_one szallashallo 27000 "$policy" "$scenario" "$seed" &
      first=$!
      measure_one haba 28000 "$policy" "$scenario" "$seed" &
      wait "$first" "$!"
      echo "seed $seed, $scenario, $policy: done"
    done
  done
done
{
  cat "$OUT/szallashallo.csv"
  tail -n +2 "$OUT/haba.csv"
} >"$OUT/all.csv"
MEASURE="$OUT/day.md" go test ./pkg/capacity -run TestMeasureDay -count=1
bin/medlarsill-report --day "$OUT/day.md" --csv "$OUT/all.csv" --page docs/MEASUREMENTS.md --plots docs/measurements
echo "rows and texts of each run: $OUT"
