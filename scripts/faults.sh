#!/usr/bin/env bash
# Runs the real processes of one organisation under load and one case of faults
# after another. A case fails if the load tool finds a broken promise or a check
# of the case itself fails. Usage: scripts/faults.sh [-o ORG] [CASE...]
set -u
cd "$(dirname "$0")/.."
. scripts/lib.sh
trap 'stop_all; rm -rf "$RUN_DIR"' EXIT
trap 'exit 130' INT TERM
ORGANISATION=szallashallo
if [ "${1:-}" = -o ]; then
  ORGANISATION=$2
  shift 2
fi

# fault PATH JSON injects a fault through the stand-in.
fault() {
  curl -fs -o /dev/null "$(standin_url)/faults/$1" -H 'Content-Type: application/json' -d "$2" || broken "fault $1 was not taken"
}

broken() {
  echo "  broken: $*"
  CASE_STATUS=1
}

signal() { kill "-$1" "${PID_OF[$2]}"; }

# restart NAME starts a process again after it has ended.
restart() {
  wait "${PID_OF[$1]}" 2>/dev/null
  start_entry "${1#entry-}"
}

first_data_centres() { echo "\"$(data_centre 0)\", \"$(data_centre 1)\""; }

wave() { fault wave "{\"data_centres\": [$(first_data_centres)], \"grace_ms\": 2000, \"gap_ms\": 300}"; }
store() { fault store "{\"mode\": \"$1\", \"delay_ms\": 300, \"part\": ${2:-1}}"; }

# The cases. Each runs beside the load and takes a few seconds.
case_none() { :; }
case_kill_entry() { signal KILL entry-2; }
case_kill_two_entries_in_turn() {
  signal KILL entry-2
  sleep 4
  signal KILL entry-3
}
case_stop_all_entries_in_turn() {
  local i
  for i in 1 2 3 4 5 6; do
    signal TERM "entry-$i"
    restart "entry-$i"
    wait_http "http://127.0.0.1:$((BASE + 300 + i))/readyz" || broken "entry-$i not ready again"
  done
}
case_stop_half_at_once() { signal TERM entry-1; signal TERM entry-2; signal TERM entry-3; }
case_pause_entry() {
  signal STOP entry-2
  sleep 5
  signal CONT entry-2
}
case_wave() { wave; }
case_wave_and_refused_starts() {
  fault refuse "{\"data_centre\": \"$(data_centre 2)\", \"on\": true}"
  wave
}
case_reclaim_without_notice() {
  fault notices '{"on": true}'
  fault list '{"on": true}'
  wave
}
case_silent_streams() { fault silent '{}'; sleep 1; fault silent '{}'; }
case_broken_streams() { fault break '{}'; sleep 1; fault break '{}'; }
case_disorder() { fault disorder '{"on": true}'; sleep 3; fault disorder '{}'; }
case_store_down() { store down; sleep 4; store up; }
case_store_slow() { store slow; sleep 4; store up; }
case_store_lost_answers() { store lost_answer 0.5; sleep 4; store up; }
case_store_lost_requests() { store lost_request 0.5; sleep 4; store up; }
case_kill_controller_in_wave() {
  wave
  signal KILL controller-1
}
case_pause_controller() {
  signal STOP controller-1
  sleep 5
  signal CONT controller-1
}

# Two operators switch presets from the same revision: one wins, the other is told so.
case_operators_race() {
  local a b one two
  ctl preset switch peak --expect 1 >"$RUN_DIR/one" 2>&1 &
  one=$!
  ctl preset switch maintenance --expect 1 >"$RUN_DIR/two" 2>&1 &
  two=$!
  wait "$one"
  a=$?
  wait "$two"
  b=$?
  case "$a$b" in
    03 | 30 | 53 | 35) ;;
    *) broken "exit codes $a and $b of two racing operators" ;;
  esac
}

# A switch while the store is down is not accepted, and does not appear later.
case_switch_in_outage() {
  store down
  ctl preset switch peak --expect 1 >"$RUN_DIR/one" 2>&1 && broken "a switch was accepted in an outage"
  store up
  sleep 1
  ctl --output json status | grep -q '"preset": *"ordinary"' || broken "the refused switch took effect"
}

# An accepted switch is not lost by entries that restart in an outage.
case_restart_in_outage() {
  ctl preset switch peak --expect 1 >/dev/null || broken "switch"
  store down
  signal KILL entry-4
  restart entry-4
  sleep 3
  store up
  wait_http "http://127.0.0.1:$((BASE + 304))/readyz" || broken "entry-4 not ready again"
  ctl --output json status | grep -q '"preset": *"ordinary"' && broken "an entry went back to the old preset"
}

# Twenty accepted switches; each answer comes once the switch is in force on every entry.
case_switch_twenty_times() {
  local i began revision=1 preset
  for i in $(seq 1 20); do
    preset=$([ $((i % 2)) = 1 ] && echo peak || echo ordinary)
    began=$(date +%s%N)
    ctl preset switch "$preset" --expect "$revision" >/dev/null || broken "switch $i"
    echo $((($(date +%s%N) - began) / 1000000)) >>"$RUN_DIR/switches"
    revision=$((revision + 1))
  done
  sort -n "$RUN_DIR/switches" | awk '{ t[NR] = $1 } END { print "  in force on all: median " t[int((NR + 1) / 2)] " ms, most " t[NR] " ms of " NR }'
}

# Pairs.
case_kill_entry_and_store_down() { store down; signal KILL entry-2; sleep 3; store up; }
case_wave_and_kill_entry() { wave; signal KILL entry-2; }
case_wave_and_stop_entry() { wave; signal TERM entry-3; }
case_wave_and_store_down() { store down; wave; sleep 4; store up; }
case_pause_entry_and_wave() { signal STOP entry-2; wave; sleep 4; signal CONT entry-2; }
case_pause_entry_and_lost_answers() { store lost_answer 0.5; signal STOP entry-2; sleep 4; signal CONT entry-2; store up; }
case_silent_and_kill_entry() { fault silent '{}'; signal KILL entry-2; }
case_stop_entry_and_lost_answers() { store lost_answer 0.5; signal TERM entry-2; sleep 4; store up; }

# run_case NAME starts everything, runs the case beside the load, and judges it.
run_case() {
  CASE_STATUS=0
  start_all "$ORGANISATION" "${BASE_PORT:-17000}"
  wait_ready || { broken "not ready"; stop_all; return; }
  local entries=() i
  for i in $(seq 1 "$ENTRIES"); do
    entries+=(--entry "http://127.0.0.1:$(entry_port "$i")")
  done
  bin/medlarsill-load "${entries[@]}" --platform "$(standin_url)" --config "examples/$ORG/config.json" \
    --scenario ordinary --rate "${RATE:-10}" --duration 80s --seed "${SEED:-1}" >"$RUN_DIR/load.txt" 2>&1 &
  local load=$!
  sleep 2
  "case_$1" 2>/dev/null
  wait "$load" || broken "a promise"
  grep -E "^(calls|error codes|first token|recomputed|streams resumed|after notice|broken promises)" "$RUN_DIR/load.txt" | sed 's/^/  /'
  [ "$CASE_STATUS" = 0 ] || grep -A6 "^broken promises" "$RUN_DIR/load.txt"
  stop_all 2>/dev/null
}

CASES=("$@")
if [ ${#CASES[@]} -eq 0 ]; then
  mapfile -t CASES < <(declare -F | sed -n 's/^declare -f case_//p')
fi
passed=0
failed=0
for name in "${CASES[@]}"; do
  echo "$name"
  run_case "$name" 2>/dev/null
  if [ "$CASE_STATUS" = 0 ]; then
    passed=$((passed + 1))
    echo "  held"
  else
    failed=$((failed + 1))
  fi
done
echo "$passed passed, $failed failed"
[ "$failed" = 0 ]
