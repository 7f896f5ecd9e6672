#!/usr/bin/env bash
# End-to-end test with separate processes: two nodes and the stand-in for the
# platform. Usage: test/platform-process-test.sh BIN_DIR
set -euo pipefail
cd "$(dirname "$0")/.."
. scripts/nodes.sh

fail() {
  echo "platform-process-test: $*" >&2
  tail -n 30 "$NODES_DIR"/*.log >&2
  exit 1
}

# Makes a call and checks its HTTP status: expect STATUS METHOD PATH [BODY]
expect() {
  local expected="$1" actual
  shift
  actual="$(nodes_call "$@")"
  [ "${actual%% *}" = "$expected" ] ||
    fail "$*: expected status $expected, got $actual"
}

nodes_start "$1" 2

two_steps='{"spec":"{\"work_ms\":300,\"gpu\":1}","steps":[{"count":3,"cpu":1000,"mem-mb":512,"gpu":1,"estimate-ms":300},{"count":2,"cpu":1000,"mem-mb":512,"gpu":1,"estimate-ms":300,"after":[0]}]}'
gang='{"spec":"{\"work_ms\":500,\"gang\":3,\"gpu\":4}","steps":[{"count":3,"cpu":1000,"mem-mb":512,"gpu":4,"estimate-ms":500,"gang":true}]}'
long='{"spec":"{\"work_ms\":6000}","steps":[{"count":2,"cpu":1000,"estimate-ms":6000}]}'

echo "- a job with two steps and a gang complete"
expect 200 POST /recompute/00000000000000a1 "$two_steps"
expect 200 POST /validate/00000000000000a2 "$gang"
nodes_until nodes_state_is /recompute/00000000000000a1 done ||
  fail "the job with two steps did not complete"
NODE=2 nodes_until nodes_state_is /validate/00000000000000a2 done ||
  fail "the gang did not complete"

echo "- submitting a job again is idempotent; a different body is a conflict"
expect 200 POST /recompute/00000000000000a1 "$two_steps"
expect 409 POST /recompute/00000000000000a1 "$gang"

echo "- malformed calls are rejected and have no effect"
expect 400 POST /recompute/00000000000000b1 '{"spec":'
expect 400 POST /recompute/00000000000000b1 '{"spec":"x"}'
expect 400 POST /recompute/00000000000000b1 '{"steps":[{"count":"many"}]}'
expect 400 POST /recompute/00000000000000b1 '{"steps":[{"count":-1}]}'
expect 400 POST /recompute/00000000000000b1 '{"steps":[{"after":[0]}]}'
expect 400 POST /recompute/00000000000000b1 '{"steps":[{"cpu":99999999999999999999}]}'
expect 400 POST /recompute/not-an-id "$two_steps"
# A job that is only too large for the product will never run.
expect 503 POST /recompute/00000000000000b1 '{"steps":[{"count":20001}]}'
expect 503 POST /recompute/00000000000000b1 '{"steps":[{"count":2}],"times":10001}'
expect 410 GET /recompute/00000000000000b1
expect 404 GET /nowhere/00000000000000b1
KEY=foreign expect 401 GET /recompute/00000000000000a1

echo "- the number of waiting jobs can be queried"
expect 200 GET /recompute/

echo "- jobs complete although the scheduler is killed"
expect 200 POST /recompute/00000000000000c1 "$long"
nodes_until nodes_state_is /recompute/00000000000000c1 running ||
  fail "the long job did not start"
killed_node="$(nodes_leader)"
kill -KILL "${NODES_PIDS[$killed_node]}"
wait "${NODES_PIDS[$killed_node]}" 2>/dev/null || true
export NODE=$((3 - killed_node))
expect 200 POST /recompute/00000000000000c2 "$two_steps"
nodes_until nodes_state_is /recompute/00000000000000c2 done ||
  fail "the other node did not take over"
nodes_until nodes_state_is /recompute/00000000000000c1 done ||
  fail "the job from before the takeover did not complete"
starts="$(grep -h '"event":"run_assigned"' "$NODES_DIR"/node*.log | grep -c 00000000000000c1)"
[ "$starts" -eq 2 ] || fail "expected 2 task starts, got $starts"

echo "- the command line shows the scheduler, and a job's history from the logs"
cli() {
  "$NODES_BIN/limeledge" "$@" >"$NODES_DIR/cli" 2>&1 || fail "limeledge $*"
}
cli node list "${NODES_METRICS[$NODE]}"
grep "^node-$NODE.* yes " "$NODES_DIR/cli" >/dev/null || fail "node list"
cli node runners --json "${NODES_METRICS[$NODE]}"
grep '"i-0":' "$NODES_DIR/cli" >/dev/null || fail "node runners"
cli node queues "${NODES_METRICS[$NODE]}"
grep '^QUEUE' "$NODES_DIR/cli" >/dev/null || fail "node queues"
cli node jobs "${NODES_METRICS[$NODE]}"
grep '^JOB' "$NODES_DIR/cli" >/dev/null || fail "node jobs"
cli explain 00000000000000c1 "$NODES_DIR"/node*.log
grep '^The job is done; .* 2 runs done' "$NODES_DIR/cli" >/dev/null ||
  fail "explain"
cli report "$NODES_DIR"/node*.log
grep '^Queue recompute: ' "$NODES_DIR/cli" >/dev/null || fail "report"
cli report --json "$NODES_DIR"/node*.log
python3 -c 'import json, sys
report = json.load(sys.stdin)
sys.exit(report["settled_jobs"] < 4)' <"$NODES_DIR/cli" || fail "report as JSON"

echo "- a job can be cancelled"
expect 200 POST /recompute/00000000000000d1 "$long"
expect 200 DELETE /recompute/00000000000000d1
nodes_until nodes_state_is /recompute/00000000000000d1 cancelled ||
  fail "the job was not cancelled"

echo "- a node that is shut down hands over and exits with status 0"
nodes_daemon "$killed_node"
sleep 1
leader="$(nodes_leader)"
kill -TERM "${NODES_PIDS[$leader]}"
wait "${NODES_PIDS[$leader]}" || fail "the node exited with status $?"
export NODE=$((3 - leader))
expect 200 POST /recompute/00000000000000e1 "$two_steps"
nodes_until nodes_state_is /recompute/00000000000000e1 done ||
  fail "the other node did not take over after the shutdown"

echo "- metrics and logs are available"
curl -s -m 5 -o "$NODES_DIR/metrics" "http://${NODES_METRICS[$NODE]}/metrics" ||
  fail "metrics could not be fetched"
grep -q 'limeledge_orders_total{order="start",outcome="done"}' \
  "$NODES_DIR/metrics" || fail "the metrics contain no completed start orders"
grep -h '"event":"call_answered"' "$NODES_DIR"/node*.log |
  python3 -c 'import json, sys
for line in sys.stdin: json.loads(line)' || fail "a log line is not valid JSON"
