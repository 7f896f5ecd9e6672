#!/usr/bin/env bash
# Nodes that run out of descriptors or memory: each either goes on serving or
# ends at once; none may live on and leave callers without answers.
# Usage: test/node-limits-test.sh BIN_DIR
set -euo pipefail
cd "$(dirname "$0")/.."
. scripts/nodes.sh

fail() {
  echo "node-limits-test: $*" >&2
  tail -n 30 "$NODES_DIR"/*.log >&2
  exit 1
}

step='{"spec":"{\"work_ms\":200}","steps":[{"count":20,"cpu":100,"estimate-ms":200}]}'

# Hands 100 jobs in, ten at a time; answers do not matter.
press() {
  local round call job callers
  for round in $(seq 10); do
    callers=()
    for call in $(seq 10); do
      job="$(printf '%013x%03x' "$1" $((round * 16 + call)))"
      curl -s -m 5 -o /dev/null -X POST -H 'Host: materials.example' \
        -H 'Authorization: Bearer bridges-key' --data "$step" \
        "http://${NODES_FRONT[1]}/recompute/$job" &
      callers+=($!)
    done
    wait "${callers[@]}" || true
  done
}

# True if the node is gone, or accepts a job and sees to it that it is done.
ended_or_serves() {
  local job="$1" pid="${NODES_PIDS[1]}"
  kill -0 "$pid" 2>/dev/null || return 0
  [[ "$(nodes_call POST "/recompute/$job" "$step")" == "200 "* ]] || return 1
  nodes_until nodes_state_is "/recompute/$job" done
}

number=0
# Descriptors, then address space that is left, in kB: too little, and just not
# enough for all calls.
for limit in nofile:24 nofile:40 as:0 as:2048 as:16384; do
  number=$((number + 1))
  nodes_start "$1" 1
  pid="${NODES_PIDS[1]}"
  if [ "${limit%:*}" = nofile ]; then
    prlimit --pid "$pid" --nofile="${limit#*:}:${limit#*:}"
  else
    size="$(sed -n 's/^VmSize:[^0-9]*\([0-9]*\) kB/\1/p' "/proc/$pid/status")"
    prlimit --pid "$pid" --as=$(((size + ${limit#*:}) * 1024))
  fi
  press "$number"
  nodes_until ended_or_serves "$(printf 'f%015x' "$number")" ||
    fail "with $limit it neither serves nor ends"
  if kill -0 "$pid" 2>/dev/null; then
    echo "- with $limit it serves"
  else
    status=0
    wait "$pid" || status=$?
    echo "- with $limit it ended with status $status"
    [ "$status" -ne 0 ] || fail "with $limit it ended as if all was well"
  fi
  for other in "${NODES_ALL_PIDS[@]}"; do
    kill -KILL "$other" 2>/dev/null || true
    wait "$other" 2>/dev/null || true
  done
  NODES_ALL_PIDS=()
done
