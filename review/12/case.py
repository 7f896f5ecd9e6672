"""Lasting tasks of one tenant take all idle accelerators. The jobs of priority 0
of another tenant, within its guarantee, never start."""

import os
import sys
import time

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
import standin_3 as standin

RUNNERS = 8
ROOM = {"cpu": 64000, "mem-mb": 262144, "gpu": 8}
RECLAIM_S = 3.4
WATCH_S = 60


def case(platform, trouble):
    platform.add_runners(RUNNERS, ROOM)
    # The tenant of city-key has 16 GPUs guaranteed, that of roads-key none.
    platform.configure([standin.route("r-sweep", "/sweep/", 2),
                        standin.route("r-cert", "/cert/", 0)])
    for name in ("edge-1", "edge-2"):
        platform.add_node(name)
    if not platform.wait_until_serving("edge-2", "/sweep/"):
        return None
    time.sleep(3)
    for i in range(RUNNERS if trouble else 1):
        job = "%016x" % (0xf000000000000000 + i)
        status, _ = platform.submit("edge-1", "/sweep/", job, [
            {"count": 1, "cpu": 8000, "mem-mb": 8000, "gpu": 8, "estimate-ms": 10000,
             "long-running": True}], key="roads-key")
        if status != 200:
            return None
    time.sleep(6)
    urgent = "f1" * 8
    status, _ = platform.submit("edge-2", "/cert/", urgent, [
        {"count": 1, "cpu": 8000, "mem-mb": 8000, "gpu": 8, "estimate-ms": 2500}], 2500)
    if status != 200:
        return None
    accepted_at = time.monotonic()
    while not platform.started(urgent) and time.monotonic() - accepted_at < WATCH_S:
        time.sleep(0.05)
    waited_s = time.monotonic() - accepted_at
    platform.record("the job of priority 0 has %s after %.1f s"
                    % ("started" if platform.started(urgent) else "not started", waited_s))
    return waited_s <= RECLAIM_S


standin.main(case)
