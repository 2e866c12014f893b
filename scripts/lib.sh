# Starts and stops the processes of one organisation on loopback. Sourced by up.sh and demo.sh.
# Usage: start_all ORG BASE_PORT, then wait_ready, and stop_all at the end.

ENTRIES=6
RUN_DIR=$(mktemp -d)
PIDS=()
declare -A PID_OF

# run NAME COMMAND... starts a process in the background with its log in RUN_DIR.
run() {
  local name=$1
  shift
  "$@" >"$RUN_DIR/$name.out" 2>"$RUN_DIR/$name.log" &
  PID_OF[$name]=$!
  PIDS+=("$!")
}

entry_port() { echo $((BASE + 100 + $1)); }
admin_port() { echo $((BASE + 400 + $1)); }
standin_url() { echo "http://127.0.0.1:$BASE"; }

# data_centre INDEX prints the name of the data centre of the entry with that index.
data_centre() {
  local all
  case "$ORG" in
    szallashallo) all=(bp-a bp-b bp-c godollo) ;;
    haba) all=(shah-alam petaling subang puchong) ;;
  esac
  echo "${all[$(($1 % ${#all[@]}))]}"
}

write_entry_settings() {
  cat >"$RUN_DIR/entry-$1.json" <<JSON
{
  "id": "entry-$1", "data_centre": "$(data_centre "$1")",
  "listen": "127.0.0.1:$(entry_port "$1")",
  "peer_listen": "127.0.0.1:$((BASE + 200 + $1))",
  "metrics_listen": "127.0.0.1:$((BASE + 300 + $1))",
  "object_api": "$(standin_url)", "cloud_api": "$(standin_url)",
  "stop_grace_ms": 5000, "lame_duck_ms": 500,
  "log": {"format": "text", "level": "info"},
}
JSON
}

# write_admin_settings takes the operators from the organisation's example.
write_admin_settings() {
  sed -E -e "s/\"admin-1\"/\"admin-$1\"/" \
    -e "s/\"listen\": \"[^\"]*\"/\"listen\": \"127.0.0.1:$(admin_port "$1")\"/" \
    -e "s/\"metrics_listen\": \"[^\"]*\"/\"metrics_listen\": \"127.0.0.1:$((BASE + 500 + $1))\"/" \
    -e "s#\"(object_api|cloud_api)\": \"[^\"]*\"#\"\\1\": \"$(standin_url)\"#" \
    "examples/$ORG/admin.json" >"$RUN_DIR/admin-$1.json"
}

write_controller_settings() {
  cat >"$RUN_DIR/controller-$1.json" <<JSON
{
  "id": "controller-$1", "data_centre": "$(data_centre "$1")",
  "metrics_listen": "127.0.0.1:$((BASE + 600 + $1))",
  "object_api": "$(standin_url)", "cloud_api": "$(standin_url)", "pace": 10,
  "log": {"format": "text", "level": "info"},
}
JSON
}

start_entry() { run "entry-$1" bin/medlarsill-entry --settings "$RUN_DIR/entry-$1.json"; }

# start_all starts the stand-in and every process of an organisation.
start_all() {
  ORG=$1
  BASE=$2
  local port
  for port in "$BASE" "$(entry_port 1)" "$(admin_port 1)"; do
    if (exec 3<>"/dev/tcp/127.0.0.1/$port") 2>/dev/null; then
      echo "port $port is in use; set BASE_PORT"
      exit 1
    fi
  done
  run standin bin/medlarsill-standin --listen "127.0.0.1:$BASE" --config "examples/$ORG/config.json"
  wait_http "$(standin_url)/instances"
  local i
  for i in $(seq 1 "$ENTRIES"); do
    write_entry_settings "$i"
    start_entry "$i"
  done
  for i in 1 2; do
    write_admin_settings "$i"
    run "admin-$i" bin/medlarsill-admin --settings "$RUN_DIR/admin-$i.json"
    if [ -x bin/medlarsill-controller ]; then
      write_controller_settings "$i"
      run "controller-$i" bin/medlarsill-controller --settings "$RUN_DIR/controller-$i.json"
    fi
  done
  printf '{"server": ["http://127.0.0.1:%s", "http://127.0.0.1:%s"], "key": "%s-operator-key"}\n' \
    "$(admin_port 1)" "$(admin_port 2)" "$(key_prefix)" >"$RUN_DIR/medlarctl.json"
}

key_prefix() { [ "$ORG" = szallashallo ] && echo sz || echo haba; }

ctl() { bin/medlarctl --profile "$RUN_DIR/medlarctl.json" "$@"; }

wait_http() {
  local tries
  for tries in $(seq 1 200); do
    curl -fs -o /dev/null "$1" && return 0
    sleep 0.05
  done
  echo "no answer from $1; logs are in $RUN_DIR" >&2
  return 1
}

wait_ready() {
  local i
  for i in $(seq 1 "$ENTRIES"); do
    wait_http "http://127.0.0.1:$((BASE + 300 + i))/readyz" || return 1
  done
  wait_http "http://127.0.0.1:$((BASE + 501))/readyz"
}

# stop_all ends every process that run started, by id.
stop_all() {
  local pid
  for pid in "${PIDS[@]}"; do
    kill "$pid" 2>/dev/null
  done
  for pid in "${PIDS[@]}"; do
    wait "$pid" 2>/dev/null
  done
  PIDS=()
}
