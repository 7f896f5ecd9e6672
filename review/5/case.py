"""A worker is cut off and runs on, its connections refused, and the node that
schedules is killed: does the next one start the worker's task a second time?"""

import os
import signal
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
import standin_2 as standin

JOB = "00000000000000b1"
TASK = f"{JOB}.0.0.0"
# The bounds of the site file: a cut lasts 5.5 s, a machine is away for 3.5 s.
CUT_S = 5.5
KILL_AFTER_S = 1.2
AWAY_S = 3.5


def cut_moment(runner):
    """True if the worker would hold its lease for another 0.7 s after its entry
    has lapsed, which is so about half of the time."""
    lease_s = (runner.until_ms - runner.clock_ms()) / 1000
    entry_s = runner.last_beat + 3 * standin.HEARTBEAT_S - time.monotonic()
    return lease_s - entry_s >= 0.7


def run(case):
    case.wait_ready()
    case.submit(case.nodes[0], JOB,
                [{"count": 1, "cpu": 1000, "mem-mb": 64, "gpu": 1,
                  "estimate-ms": 20000}], {"work_ms": 20000, "gpu": 1})
    case.until(lambda: case.fleet.running(TASK), 5, "the task does not start")
    time.sleep(2.0)
    runner = case.fleet.running(TASK)[0][0]
    leader = case.leader()
    if standin.TROUBLE:
        case.until(lambda: cut_moment(runner), 20, "no moment for the cut")
        runner.cut()
    began = time.monotonic()
    time.sleep(KILL_AFTER_S)
    leader.signal(signal.SIGKILL, "killed while it schedules")
    time.sleep(max(0, began + KILL_AFTER_S + AWAY_S - time.monotonic()))
    leader.start()
    time.sleep(max(0, began + CUT_S - time.monotonic()))
    if standin.TROUBLE:
        runner.heal()
    case.until(lambda: case.state(case.nodes[0], JOB, quiet=True) == "done", 60,
               "the job does not end")
    for first, second, both in case.fleet.overlaps():
        return (f"{first[0]} ran on {first[2]} and on {second[2]} at the same "
                f"time, for {both:.2f} s")
    return ""


# One worker of six is within the share of 0.17 of the site file.
standin.main(run, __file__, runners=6)
