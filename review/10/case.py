"""A gang that can never be done, since a lasting task holds one of the
accelerators that it needs, keeps all idle runners to itself: jobs of a lower
priority do not start, while nearly all capacity is idle."""

import os
import sys
import time

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
import standin_3 as standin

RUNNERS = 8
ROOM = {"cpu": 64000, "mem-mb": 262144, "gpu": 8}
MESSAGES = 20  # of the kind of request; one can never be done: a share of 0.05
VICTIMS = 10
WATCH_S = 60
CALM_S = 7  # 3 s without anything running, and the 4 s before them


def case(platform, trouble):
    platform.add_runners(RUNNERS, ROOM)
    platform.configure([standin.route("r-lasting", "/lasting/", 1),
                        standin.route("r-alloy", "/alloy/", 1),
                        standin.route("r-sweep", "/sweep/", 2)])
    for name in ("edge-1", "edge-2"):
        platform.add_node(name)
    if not platform.wait_until_serving("edge-2", "/sweep/"):
        return None
    time.sleep(3)
    lasting = "e0" * 8
    status, _ = platform.submit("edge-1", "/lasting/", lasting, [
        {"count": 1, "cpu": 1000, "mem-mb": 1000, "gpu": 1, "estimate-ms": 1000,
         "long-running": True}])
    time.sleep(2)
    if status != 200 or not platform.started(lasting):
        return None
    small = [{"count": 1, "cpu": 1000, "mem-mb": 1000, "gpu": 1, "estimate-ms": 500}]
    gang = [{"count": RUNNERS, "cpu": 1000, "mem-mb": 1000, "gpu": 8,
             "estimate-ms": 20000, "gang": True}]
    alloys = []
    for i in range(MESSAGES):
        hopeless = trouble and i == 0
        job = "%016x" % (0xe100000000000000 + i)
        status, _ = platform.submit("edge-%d" % (i % 2 + 1), "/alloy/", job,
                                    gang if hopeless else small, 500)
        if status == 200 and not hopeless:
            alloys.append(job)
    time.sleep(3)
    victims = []
    for i in range(VICTIMS):
        job = "%016x" % (0xe200000000000000 + i)
        status, _ = platform.submit("edge-%d" % (i % 2 + 1), "/sweep/", job, small, 500)
        if status == 200:
            victims.append(job)
    if len(victims) < VICTIMS:
        return None
    accepted_at = time.monotonic()
    while time.monotonic() - accepted_at < WATCH_S:
        time.sleep(0.1)
        if all(platform.started(job) for job in victims):
            break
    waited_s = time.monotonic() - accepted_at
    not_started = [job for job in victims if not platform.started(job)]
    used = sum(r.used("gpu") for r in platform.runners)
    platform.record("%d of %d jobs have not started after %.1f s; %d of %d accelerators "
                    "are in use" % (len(not_started), len(victims), waited_s, used,
                                    RUNNERS * ROOM["gpu"]))
    starts = [platform.started(job)[0][0] - accepted_at for job in victims
              if platform.started(job)]
    platform.record("started after %s s" % ["%.1f" % s for s in starts])
    return not (not_started and waited_s >= CALM_S)


standin.main(case)
