"""A gang of tasks that last fails now and then: is it started again each time?"""

import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
import standin_2 as standin

JOB = "00000000000000c1"
WATCH_S = 50
# A task that lasts is owed a run from 6 s after its last one, within 3 s.
OWED_AFTER_S = 9.0


def run(case):
    case.wait_ready()
    node = case.nodes[0]
    spec = {"work_ms": 1000, "gpu": 1, "gang": 2, "lasts": True}
    if standin.TROUBLE:
        spec["fails_ms"] = 3000
    case.submit(node, JOB, [{"count": 2, "cpu": 1000, "mem-mb": 64, "gpu": 1,
                             "estimate-ms": 1000, "gang": True,
                             "long-running": True}], spec)
    end = time.monotonic() + WATCH_S
    idle_since = time.monotonic()
    idle_most = 0.0
    while time.monotonic() < end:
        time.sleep(0.25)
        if len(case.fleet.running()) == 2:
            idle_since = time.monotonic()
        idle_most = max(idle_most, time.monotonic() - idle_since)
        state = case.state(node, JOB, quiet=True)
        if state in ("failed", "done", "cancelled"):
            case.state(node, JOB)
            runs = len({line[1] for line in case.fleet.history})
            return (f"reported as {state} after {runs} runs of the gang, though "
                    "nobody cancelled it")
        if idle_most > OWED_AFTER_S:
            return f"the gang did not run for {idle_most:.1f} s"
    case.record.add("case", f"longest time without the gang: {idle_most:.2f} s")
    return ""


standin.main(run, __file__, runners=8)
