"""A job of 250 steps: is it done only when the tasks of all steps are?"""

import sys
import os
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
import standin_2 as standin

JOB = "00000000000000a1"
STEPS = 250 if standin.TROUBLE else 200


def run(case):
    case.wait_ready()
    node = case.nodes[0]
    steps = [{"count": 1, "cpu": 1000, "mem-mb": 64, "gpu": 1,
              "estimate-ms": 100} for _ in range(STEPS)]
    # The last step collects the results of the one before it.
    steps[-1]["after"] = [STEPS - 2]
    case.submit(node, JOB, steps, {"work_ms": 100, "gpu": 1})
    end = time.monotonic() + 60
    state = ""
    while state not in ("done", "failed", "cancelled"):
        if time.monotonic() > end:
            return f"the job is still {state} after a minute"
        time.sleep(0.5)
        state = case.state(node, JOB)
    done = {line[0] for line in case.fleet.history if line[5] == "done"}
    missing = [step for step in range(STEPS) if f"{JOB}.0.{step}.0" not in done]
    if state == "done" and missing:
        return (f"reported as done, but {len(missing)} of {STEPS} steps never "
                f"ran, the first is step {missing[0]}")
    return f"reported as {state}" if state != "done" else ""


standin.main(run, __file__)
