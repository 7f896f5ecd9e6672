"""Orders to one runner are left unanswered and carried out late. The scheduler
then takes a run that the runner has just listed as running for over, since one
more call to it is unanswered, and starts the task a second time elsewhere."""

import os
import sys
import threading
import time

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
import standin_3 as standin

RUNNERS = 8  # the orders to one of them are late: a share of 0.125
ROOM = {"cpu": 64000, "mem-mb": 262144, "gpu": 8}
FIRST_S = 6.0  # how long orders are late, at first
SECOND_S = 2.5  # and once more, a little later
LATE_S = {"/v1/run-start": 5.9, "/v1/hold": 3.0, "/v1/run-stop": 3.0}


def running(platform, task):
    return [r.id for r in platform.runners if r.alive and task in r.running]


def case(platform, trouble):
    # Two runners are of kind b: the one whose orders are late, and a spare one.
    platform.add_runners(RUNNERS, ROOM, lambda i: [
        "b" if i >= RUNNERS - 2 else "a", "r1-%d" % (i // 4)])
    spare, late = platform.runners[-2:]
    platform.configure([standin.route("r-alloy", "/alloy/", 1)])
    for name in ("edge-1", "edge-2"):
        platform.add_node(name)
    if not platform.wait_until_serving("edge-2", "/alloy/"):
        return None
    time.sleep(3)

    def step(gpu, work_ms):
        return [{"count": 1, "cpu": 1000 * gpu, "mem-mb": 1000, "gpu": gpu,
                 "estimate-ms": work_ms, "requires": "b"}]

    # Fills one of the two runners for a while, so that the next jobs meet on
    # the other one.
    status, _ = platform.submit("edge-1", "/alloy/", "a0" * 8, step(8, 6000), 6000)
    time.sleep(0.3)
    first = platform.started("a0" * 8)
    if status != 200 or not first:
        return None
    if first[0][3] == late.id:
        spare, late = late, spare
    status, _ = platform.submit("edge-1", "/alloy/", "a1" * 8, step(1, 4000), 4000)
    time.sleep(1.5)
    if status != 200 or not running(platform, "a1" * 8 + ".0.0.0") == [late.id]:
        return None

    # From the next look at the runner on, calls to it are late.
    looked = threading.Event()
    if trouble:
        def lateness(path):
            looked.set()
            return LATE_S[path]

        late.late = lateness
        if not looked.wait(3):
            return None
        began = time.monotonic()
    else:
        began = time.monotonic()
    task = "a2" * 8 + ".0.0.0"
    status, _ = platform.submit("edge-2", "/alloy/", "a2" * 8, step(1, 20000), 20000)
    if status != 200:
        return None
    twice_s, seen, second_until = 0.0, None, None
    while time.monotonic() - began < 30:
        now = time.monotonic()
        if trouble and late.late and not second_until and now - began >= FIRST_S:
            platform.record("runner %s answers again" % late.id)
            late.late, late.listed = None, []
        if trouble and not late.late and not second_until and task in late.listed:
            platform.record("runner %s has answered that %s runs there" % (late.id, task))
            platform.record("runner %s is late once more" % late.id)
            late.late = lateness
            second_until = now + SECOND_S
        if second_until and late.late and now >= second_until:
            platform.record("runner %s answers again" % late.id)
            late.late = None
        at = running(platform, task)
        if at != seen:
            platform.record("%s runs on %s" % (task, at))
            seen = at
        if len(at) > 1:
            twice_s += 0.01
        time.sleep(0.01)
    platform.record("%s ran on two runners at once for %.1f s" % (task, twice_s))
    return twice_s == 0


standin.main(case)
