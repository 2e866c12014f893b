#!/usr/bin/env bash
# Serves both organisations in turn, with a preset switch, a reclaimed endpoint,
# a stopped and a killed entry under load. Exits non-zero if a promise broke.
set -u
cd "$(dirname "$0")/.."
. scripts/lib.sh
trap 'stop_all; rm -rf "$RUN_DIR"' EXIT
trap 'exit 130' INT TERM
STATUS=0
BASE_PORT=${BASE_PORT:-17000}

fail() {
  echo "BROKEN: $*"
  STATUS=1
}

# ask sends one chat as a plain HTTP client would.
ask() {
  curl -fs -H "Authorization: Bearer $1" "http://127.0.0.1:$(entry_port 1)/v1/chat/completions" \
    -d "{\"model\": \"$2\", \"max_tokens\": 12, \"messages\": [{\"role\": \"user\", \"content\": \"$3\"}]}" || fail "chat of $1"
  echo
}

# work sends one piece of non-idempotent work twice, through two entries.
work() {
  local n
  for n in 1 2; do
    curl -fs -H "Authorization: Bearer $1" -H "Idempotency-Key: $3" \
      "http://127.0.0.1:$(entry_port "$n")/services/$2" -d "{\"item\": \"$3\"}" || fail "$2 through entry $n"
    echo "   (entry-$n)"
  done
}

switch_preset() {
  local revision
  revision=$(ctl --output json status | sed -n 's/.*"revision": *\([0-9]*\).*/\1/p' | head -1)
  ctl preset switch peak --expect "$revision" || fail "preset switch"
}

reclaim_one() {
  local id
  id=$(curl -fs "$(standin_url)/instances" | tr '{' '\n' | sed -n '/"state":"ready"/s/.*"id":"\([^"]*\)".*"reclaimable":true.*/\1/p' | head -1)
  echo "-- the platform reclaims $id with 2 s of notice"
  curl -fs "$(standin_url)/faults/reclaim" -H 'Content-Type: application/json' -d "{\"instance\": \"$id\", \"grace_ms\": 2000}" || fail "reclaim"
  echo
}

demo() {
  echo "== $1"
  start_all "$1" "$2"
  wait_ready || exit 1
  ask "$3" "$4" "hello, is a bed free or a boiler broken?"
  work "$3" "$5" "demo-item-1"
  local entries=() i
  for i in $(seq 1 "$ENTRIES"); do
    entries+=(--entry "http://127.0.0.1:$(entry_port "$i")")
  done
  bin/medlarsill-load "${entries[@]}" --platform "$(standin_url)" --config "examples/$ORG/config.json" \
    --scenario mixed --rate 6 --duration 80s --seed 1 >"$RUN_DIR/load.txt" 2>&1 &
  local load=$!
  sleep 2
  switch_preset
  reclaim_one
  sleep 1
  echo "-- entry-2 is stopped gracefully, entry-3 is killed"
  kill -TERM "${PID_OF[entry-2]}"
  kill -KILL "${PID_OF[entry-3]}"
  wait "$load" || fail "medlarsill-load found a broken promise"
  cat "$RUN_DIR/load.txt"
  ctl status || fail "status"
  stop_all
}

demo szallashallo "$BASE_PORT" sz-travellers-key assistant beds/holds
demo haba "$((BASE_PORT + 1000))" haba-dispatch-key fault-summary reminders/reminders
[ "$STATUS" = 0 ] && echo "all promises held"
exit "$STATUS"
