# Starts limeledge-node daemons and a stand-in for the platform on free loopback
# ports. Scripts and tests source this file. All processes are killed by id when
# the shell exits.
#
#   nodes_start BIN_DIR COUNT     starts a stand-in (4 runners) and COUNT nodes
#   nodes_daemon N                starts or restarts node N
#   nodes_call METHOD PATH [BODY] calls node ${NODE:-1}; prints "STATUS BODY"
#   NODES_PIDS[N], NODES_METRICS[N]  process id and metrics address of node N

NODES_DIR="$(mktemp -d)"
declare -A NODES_PIDS NODES_FRONT NODES_METRICS
NODES_ALL_PIDS=()

nodes_finish() {
  for pid in "${NODES_ALL_PIDS[@]}"; do
    kill -KILL "$pid" 2>/dev/null || true
    wait "$pid" 2>/dev/null || true
  done
  rm -rf "$NODES_DIR"
}
trap nodes_finish EXIT

nodes_free_port() {
  python3 -c 'import socket
s = socket.socket()
s.bind(("127.0.0.1", 0))
print(s.getsockname()[1])'
}

nodes_settings() {
  local number="$1" ready
  NODES_FRONT[$number]="127.0.0.1:$(nodes_free_port)"
  NODES_METRICS[$number]="127.0.0.1:$(nodes_free_port)"
  ready="127.0.0.1:$(nodes_free_port)"
  cat >"$NODES_DIR/node$number.yaml" <<END
node: "node-$number"
zone: "demo"
listen:
  front: "${NODES_FRONT[$number]}"
  ready: "$ready"
  control: "${NODES_METRICS[$number]}"
limits:
  cpu-share: 1
  cores: 1
bounds:
  hold-max-ms: 10000
  grace-s: 6
platform:
  addr: "$NODES_STORE"
END
}

nodes_daemon() {
  local number="$1"
  LIMELEDGE_SETTINGS="$NODES_DIR/node$number.yaml" "$NODES_BIN/limeledge-node" \
    >>"$NODES_DIR/node$number.log" 2>&1 &
  NODES_PIDS[$number]=$!
  NODES_ALL_PIDS+=($!)
}

# Retries a command every 100 ms until it succeeds, at most NODES_TRIES times
# (default 300, about 30 s).
nodes_until() {
  for _ in $(seq "${NODES_TRIES:-300}"); do
    "$@" >/dev/null 2>&1 && return 0
    sleep 0.1
  done
  return 1
}

nodes_call() {
  local method="$1" path="$2" body="${3:-}"
  curl -s -m 5 -o "$NODES_DIR/body" -w '%{http_code}' -X "$method" \
    -H 'Host: materials.example' -H "Authorization: Bearer ${KEY:-bridges-key}" \
    ${body:+--data "$body"} "http://${NODES_FRONT[${NODE:-1}]}$path" || true
  printf ' '
  cat "$NODES_DIR/body" 2>/dev/null || true
  echo
}

nodes_state_is() {
  [[ "$(nodes_call GET "$1")" == *"\"state\":\"$2\""* ]]
}

# Prints the number of the node that holds the scheduler lease.
nodes_leader() {
  local number state
  for number in "${!NODES_METRICS[@]}"; do
    state="$(curl -s -m 2 "http://${NODES_METRICS[$number]}/state" || true)"
    [[ "$state" == *'"leads":true'* ]] && echo "$number" && return 0
  done
  return 1
}

# Prints an error message and the end of each log; returns failure.
nodes_fail() {
  echo "nodes: $1; store '${NODES_STORE:-}'" >&2
  tail -n 30 "$NODES_DIR"/*.log >&2
  return 1
}

nodes_start() {
  NODES_BIN="$1"
  local count="$2" number
  # The background shell truncates an existing log at an unpredictable time.
  # Without the removal, the address of a previous stand-in could be read.
  rm -f "$NODES_DIR/standin.log"
  "$NODES_BIN/limeledge-standin" --config examples/platform-config.json \
    >"$NODES_DIR/standin.log" 2>&1 &
  NODES_ALL_PIDS+=($!)
  nodes_until grep -q 'store on' "$NODES_DIR/standin.log" ||
    nodes_fail "the stand-in did not start" || return 1
  NODES_STORE="$(sed -n 's/store on //p' "$NODES_DIR/standin.log")"
  for number in $(seq "$count"); do
    nodes_settings "$number"
    nodes_daemon "$number"
  done
  nodes_until nodes_leader || nodes_fail "no node acquired the scheduler lease"
}
