"""A node stands still with a submit, whose caller gives up and cancels at
another node: does the job run all the same once the first node wakes up?"""

import json
import os
import signal
import socket
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
import standin_2 as standin

ROUNDS = 3
# The bound of the site file for a machine that stands still.
FREEZE_S = 4.0
# Callers leave at half of the objective of the queue with 1,000 ms.
LEAVES_AFTER_S = 0.5
CANCEL_S = standin.BOUNDS["cancel_ms"] / 1000


def send(node, job):
    """Sends a submit and returns its connection."""
    body = json.dumps({"spec": json.dumps({"work_ms": 2000, "gpu": 1}),
                       "steps": [{"count": 1, "cpu": 1000, "mem-mb": 64,
                                  "gpu": 1, "estimate-ms": 2000}]})
    connection = socket.create_connection((standin.HOST, node.front), 2)
    connection.sendall((f"POST /recompute/{job} HTTP/1.1\r\n"
                        "Host: materials.example\r\n"
                        "Authorization: Bearer bridges-key\r\n"
                        "Content-Type: application/json\r\n"
                        "X-Limeledge-Deadline-Ms: 3000\r\n"
                        f"Content-Length: {len(body)}\r\n\r\n{body}").encode())
    node.case.record.add("client", f"sends POST /recompute/{job} to {node.name}")
    return connection


def play(case, job):
    """Returns how long after the acknowledged cancel a task of the job was
    started; None if none was started after it."""
    leader = case.leader()
    if leader is None:
        raise standin.CannotRun("no node schedules")
    frozen, other = [node for node in case.nodes if node is not leader][:2]
    began = time.monotonic()
    if standin.TROUBLE:
        frozen.signal(signal.SIGSTOP, "stands still")
    try:
        connection = send(frozen, job)
        time.sleep(LEAVES_AFTER_S)
        connection.close()
        case.record.add("client", "leaves")
        status, _ = other.call("DELETE", "/recompute/" + job)
        if status != 410 and not 200 <= status < 300:
            raise standin.CannotRun(f"the cancel got {status}")
        acknowledged = time.monotonic()
        time.sleep(max(0, began + FREEZE_S - time.monotonic()))
    finally:
        if standin.TROUBLE:
            frozen.signal(signal.SIGCONT, "goes on")
    time.sleep(4.0)
    case.state(other, job)
    with case.fleet.lock:
        starts = [line[3] for line in case.fleet.history
                  if line[0].startswith(job)]
    late = [start - acknowledged for start in starts if start > acknowledged]
    return max(late, default=None)


def run(case):
    case.wait_ready()
    broken = ""
    for number in range(ROUNDS):
        after = play(case, f"00000000000000a{number}")
        if after is not None and after > CANCEL_S:
            broken = (f"a task was started {after:.2f} s after the cancel of its "
                      f"job was acknowledged")
            case.record.add("case", broken)
    return broken


standin.main(run, __file__, nodes=3, runners=8)
