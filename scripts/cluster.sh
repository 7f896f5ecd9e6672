# Starts a small cluster of separate processes on free loopback ports. Scripts
# and tests source this file. All processes are killed by id when the shell
# exits.
#
#   cluster_start DAEMONS SLOTS SERVICE_MS
#   cluster_address N            HOST:PORT of daemon N
#   cluster_daemon N             starts daemon N again as a new process
#   CLUSTER_PIDS_DAEMON[N]       its process id

CLUSTER_BIN="${CLUSTER_BIN:-build/release}"
CLUSTER_DIR="$(mktemp -d)"
CLUSTER_PIDS=()
declare -A CLUSTER_PIDS_DAEMON
declare -A CLUSTER_PORTS

cluster_stop() {
  for pid in "${CLUSTER_PIDS[@]}" "${CLUSTER_PIDS_DAEMON[@]}"; do
    kill -CONT "$pid" 2>/dev/null || true
    kill -KILL "$pid" 2>/dev/null || true
    wait "$pid" 2>/dev/null || true
  done
  rm -rf "$CLUSTER_DIR"
}
trap cluster_stop EXIT

# Prints a loopback port that is currently unused.
cluster_free_port() {
  python3 -c 'import socket; s=socket.socket(); s.bind(("127.0.0.1",0)); print(s.getsockname()[1])'
}

# Waits up to 15 s for a line that matches. Arguments: file, pattern.
cluster_wait_line() {
  for _ in $(seq 300); do
    grep -q "$2" "$1" 2>/dev/null && return 0
    sleep 0.05
  done
  echo "no line matches '$2' in $1" >&2
  cat "$1" >&2
  return 1
}

cluster_address() { echo "127.0.0.1:${CLUSTER_PORTS[api$1]}"; }

cluster_daemon() {
  local log="$CLUSTER_DIR/e$1.$RANDOM.log"
  "$CLUSTER_BIN/limeledged" --config "${CLUSTER_CONFIG:-examples/quickstart.yaml}" \
    --id "e$1" --hall demo --listen "$(cluster_address "$1")" \
    --peer-listen "127.0.0.1:${CLUSTER_PORTS[peer$1]}" \
    --platform "$CLUSTER_PLATFORM" 2>"$log" &
  CLUSTER_PIDS_DAEMON[$1]=$!
  CLUSTER_LOG="$log"
}

cluster_start() {
  local daemons="$1" slots="${2:-8}" service_ms="${3:-5}" entries=() i
  CLUSTER_PLATFORM="127.0.0.1:$(cluster_free_port)"
  for i in $(seq "$daemons"); do
    CLUSTER_PORTS[api$i]="$(cluster_free_port)"
    CLUSTER_PORTS[peer$i]="$(cluster_free_port)"
    entries+=(--entry "e$i=127.0.0.1:${CLUSTER_PORTS[peer$i]}/demo")
  done
  "$CLUSTER_BIN/limeledge-platform" services --listen "$CLUSTER_PLATFORM" \
    "${entries[@]}" >"$CLUSTER_DIR/services.log" 2>&1 &
  CLUSTER_PIDS+=($!)
  cluster_wait_line "$CLUSTER_DIR/services.log" "services on"
  "$CLUSTER_BIN/limeledge-platform" workers --listen 127.0.0.1:0 \
    --platform "$CLUSTER_PLATFORM" --hall demo --racks "${CLUSTER_RACKS:-2}" \
    --workers-per-rack "${CLUSTER_PER_RACK:-2}" \
    >"$CLUSTER_DIR/workers.log" 2>&1 &
  CLUSTER_WORKERS_PID=$!
  CLUSTER_PIDS+=($!)
  "$CLUSTER_BIN/limeledge-platform" runners --listen 127.0.0.1:0 \
    --platform "$CLUSTER_PLATFORM" --hall demo --count 2 --slots "$slots" \
    --service-ms "$service_ms" >"$CLUSTER_DIR/runners.log" 2>&1 &
  CLUSTER_PIDS+=($!)
  cluster_wait_line "$CLUSTER_DIR/workers.log" "workers on"
  cluster_wait_line "$CLUSTER_DIR/runners.log" "runners on"
  CLUSTER_WORKERS="$(sed 's/.* on //' "$CLUSTER_DIR/workers.log")"
  CLUSTER_RUNNERS="$(sed 's/.* on //' "$CLUSTER_DIR/runners.log")"
  for i in $(seq "$daemons"); do
    cluster_daemon "$i"
    cluster_wait_line "$CLUSTER_LOG" " LL101 ready "
  done
  # After a membership change a daemon waits before it uses a slot that is new
  # to it, because the previous owner may still use that slot.
  sleep 2.5
}
