#!/usr/bin/env bash
# Nodes that run out of file descriptors or memory must either keep serving or
# exit immediately. Guards against a process that keeps running but no longer
# answers callers.
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

# Submits 100 jobs, ten at a time, and ignores the responses.
# Usage: submit_jobs ID_PREFIX
submit_jobs() {
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

# Succeeds if the node has exited, or if it accepts a job and completes it.
exited_or_serves() {
  local job="$1" pid="${NODES_PIDS[1]}"
  kill -0 "$pid" 2>/dev/null || return 0
  [[ "$(nodes_call POST "/recompute/$job" "$step")" == "200 "* ]] || return 1
  nodes_until nodes_state_is "/recompute/$job" done
}

number=0
# `nofile` limits the file descriptors; `as` limits the address space, in kB in
# addition to what the node already uses. The limits range from far too low to
# slightly too low for all calls.
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
  submit_jobs "$number"
  nodes_until exited_or_serves "$(printf 'f%015x' "$number")" ||
    fail "limit $limit: the node neither serves nor exits"
  if kill -0 "$pid" 2>/dev/null; then
    echo "- limit $limit: the node serves"
  else
    status=0
    wait "$pid" || status=$?
    echo "- limit $limit: the node exited with status $status"
    [ "$status" -ne 0 ] || fail "limit $limit: expected a nonzero exit status"
  fi
  for other in "${NODES_ALL_PIDS[@]}"; do
    kill -KILL "$other" 2>/dev/null || true
    wait "$other" 2>/dev/null || true
  done
  NODES_ALL_PIDS=()
done
