#!/usr/bin/env bash
# Tests faults that need real processes, which are killed, stopped and resumed
# by id. Usage: test/process-test.sh BIN_DIR
set -euo pipefail
cd "$(dirname "$0")/.."
export CLUSTER_BIN="$1"
. scripts/cluster.sh

fail() {
  echo "process-test: $*" >&2
  tail -n 30 "$CLUSTER_DIR"/*.log >&2
  exit 1
}

# Runs the command-line tool against daemon $1.
tool() {
  local daemon="$1"
  shift
  LIMELEDGE_TOKEN="${TOKEN:-bridges-token}" "$CLUSTER_BIN/limeledge" "$@" \
    --server "$(cluster_address "$daemon")"
}

# Retries a command every 100 ms until it succeeds, at most 300 times.
until_ok() {
  for _ in $(seq 300); do
    "$@" 2>/dev/null && return 0
    sleep 0.1
  done
  return 1
}

runs() {
  local shown
  shown="$(tool "$1" job show "$2")" || return 1
  # The state is at the start of a line.
  [[ $'\n'"$shown" == *$'\n'running* ]]
}

# Prints the number of the daemon that plans the hall, according to daemon $1.
planner_seen_by() {
  TOKEN=quickstart-viewer tool "$1" members --json |
    sed 's/.*"planner":"e\([0-9]\)".*/\1/'
}

cluster_start 3 8 5

echo "- a request id sent to two daemons runs once"
tool 1 request send twice --workspace bridges --class validation --payload p >"$CLUSTER_DIR/a"
tool 2 request send twice --workspace bridges --class validation --payload p >"$CLUSTER_DIR/b"
cmp -s "$CLUSTER_DIR/a" "$CLUSTER_DIR/b" || fail "two different responses for one id"

echo "- the same id with other content is refused"
tool 3 request send twice --workspace bridges --class validation --payload q 2>/dev/null &&
  fail "a reused id with other content was accepted"

echo "- a gang keeps running when its planner is killed"
tool 1 job submit survivor --workspace bridges --class recompute --members 2 \
  --accelerators 4 --declared-ms 12000 >/dev/null
until_ok runs 2 survivor || fail "the gang is not running"
victim="$(planner_seen_by 1)"
kill -KILL "${CLUSTER_PIDS_DAEMON[$victim]}"
wait "${CLUSTER_PIDS_DAEMON[$victim]}" 2>/dev/null || true
other=$((victim % 3 + 1))
tool "$other" job wait survivor >"$CLUSTER_DIR/survivor" || fail "the gang did not succeed"
grep -q 'attempt 1' "$CLUSTER_DIR/survivor" || fail "the gang was restarted"
cluster_daemon "$victim"
cluster_wait_line "$CLUSTER_LOG" ' LL101 ready '

echo "- a paused planner is replaced and does not disturb the gang when it resumes"
tool "$other" job submit paused --workspace bridges --class recompute --members 2 \
  --accelerators 4 --declared-ms 20000 >/dev/null
until_ok runs "$other" paused || fail "the gang is not running"
holder="$(planner_seen_by "$other")"
watcher=$((holder % 3 + 1))
kill -STOP "${CLUSTER_PIDS_DAEMON[$holder]}"
for _ in $(seq 200); do
  [ "$(planner_seen_by "$watcher")" != "$holder" ] && break
  sleep 0.1
done
[ "$(planner_seen_by "$watcher")" != "$holder" ] || fail "the hall has no new planner"
kill -CONT "${CLUSTER_PIDS_DAEMON[$holder]}"
sleep 1
tool "$holder" job wait paused >"$CLUSTER_DIR/paused" || fail "the paused planner's gang was lost"
grep -q 'attempt 1' "$CLUSTER_DIR/paused" || fail "the paused planner's gang was restarted"

echo "- graceful shutdown of all daemons, one after another, drops no request"
(
  number=0
  while [ ! -e "$CLUSTER_DIR/enough" ]; do
    number=$((number + 1))
    for daemon in 1 2 3; do
      [ -e "$CLUSTER_DIR/down$daemon" ] && continue
      if ! tool "$daemon" request send "s$number-$daemon" --workspace bridges \
          --class validation --payload p >/dev/null 2>"$CLUSTER_DIR/err"; then
        # A refusal is a response; a call without a response was dropped.
        grep -q -e 'not run' -e 'not_run' -e 'nothing was sent' "$CLUSTER_DIR/err" ||
          cat "$CLUSTER_DIR/err" >>"$CLUSTER_DIR/cut"
      fi
    done
  done
) &
load=$!
for daemon in 1 2 3; do
  kill -TERM "${CLUSTER_PIDS_DAEMON[$daemon]}"
  kill -TERM "${CLUSTER_PIDS_DAEMON[$daemon]}"
  status=0
  sleep 2
  touch "$CLUSTER_DIR/down$daemon"
  wait "${CLUSTER_PIDS_DAEMON[$daemon]}" || status=$?
  [ "$status" -eq 0 ] || fail "daemon $daemon exited with status $status"
  cluster_daemon "$daemon"
  cluster_wait_line "$CLUSTER_LOG" ' LL101 ready '
  rm "$CLUSTER_DIR/down$daemon"
done
touch "$CLUSTER_DIR/enough"
wait "$load"
[ ! -s "$CLUSTER_DIR/cut" ] || fail "dropped requests: $(cat "$CLUSTER_DIR/cut")"

echo "- during a table outage requests are refused, none is lost, and they succeed afterwards"
curl -sf -X POST "http://$CLUSTER_PLATFORM/v1/faults" \
  -d '{"service":"table","fault":"down"}' >/dev/null
sleep 3
tool 1 request send outage --workspace bridges --class validation --payload p 2>"$CLUSTER_DIR/err" &&
  fail "a request that must be claimed was accepted during an outage"
grep -q 'not_run' "$CLUSTER_DIR/err" || fail "the refusal does not say not_run"
tool 1 request send free --workspace bridges --class validation --payload p --repeatable >/dev/null ||
  fail "a repeatable request was refused during an outage"
curl -sf -X POST "http://$CLUSTER_PLATFORM/v1/faults" \
  -d '{"service":"table","fault":"none"}' >/dev/null
until_ok tool 1 request send outage --workspace bridges --class validation --payload p >/dev/null ||
  fail "still refused after the outage"

echo "- bad input gets an error and changes nothing"
api="http://$(cluster_address 1)"
post() {
  curl -s -o "$CLUSTER_DIR/body" -w '%{http_code}' -H 'Authorization: Bearer bridges-token' \
    -X POST "$api$1" --data-binary "$2"
}
[ "$(post /v1/jobs '{')" = 400 ] || fail "broken JSON"
[ "$(post /v1/jobs "$(printf '[%.0s' $(seq 5000))")" = 400 ] || fail "deep JSON"
[ "$(post /v1/jobs '{"id":"x","workspace":"roads","class":"recompute"}')" = 403 ] || fail "other workspace"
[ "$(post /v1/jobs '{"id":"x","workspace":"bridges","class":"recompute","members":999}')" = 422 ] || fail "impossible shape"
grep -q 'can ever hold' "$CLUSTER_DIR/body" || fail "no reason"
head -c 3000000 /dev/zero | tr '\0' 'x' >"$CLUSTER_DIR/large"
[ "$(post /v1/requests "@$CLUSTER_DIR/large")" = 413 ] || fail "oversized body"
[ "$(curl -s -o /dev/null -w '%{http_code}' "$api/v1/settings")" = 401 ] || fail "no token"
[ "$(curl -s -o /dev/null -w '%{http_code}' -X PUT -d x -H 'Authorization: Bearer quickstart-viewer' "$api/v1/settings")" = 403 ] ||
  fail "a viewer may apply settings"
curl -sf "$api/healthz" >/dev/null || fail "the daemon is no longer healthy"

echo "process-test: all checks passed"
