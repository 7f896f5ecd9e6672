"""Two runners answer starts with 503 for a while. The jobs that were to start
there have not begun, and are no longer counted as waiting."""

import json
import os
import sys
import time

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
import standin_3 as standin

RUNNERS = 16
GREY = 2  # of them reject starts: a share of 0.125
GREY_S = 6.5
ROOM = {"cpu": 64000, "mem-mb": 262144, "gpu": 8}
JOBS = 20
URGENT_AFTER_S = 3.0
WATCH_S = 25
# `visible_ms` + 2 s, and a second for the calls themselves.
COUNTED_AFTER_S = 3.0 + 2.0 + 1.0


def case(platform, trouble):
    # The last two runners alone have the label that the queues' tasks require.
    platform.add_runners(RUNNERS, ROOM, lambda i: [
        "b" if i >= RUNNERS - GREY else "a", "r1-%d" % (i // 8)])
    grey = platform.runners[-GREY:]
    platform.configure([standin.route("r-alloy", "/alloy/", 1),
                        standin.route("r-cert", "/cert/", 0)])
    for name in ("edge-1", "edge-2"):
        platform.add_node(name)
    if not platform.wait_until_serving("edge-2", "/alloy/"):
        return None
    time.sleep(3)

    def step(gpu, work_ms):
        return [{"count": 1, "cpu": 1000 * gpu, "mem-mb": 1000, "gpu": gpu,
                 "estimate-ms": work_ms, "requires": "b"}]

    began = time.monotonic()
    for runner in grey:
        runner.busy = trouble
    platform.record("%d runners answer starts with 503: %s" % (GREY, trouble))
    accepted = {}
    for i in range(JOBS):
        job = "%016x" % (0xb000000000000000 + i)
        status, _ = platform.submit("edge-%d" % (i % 2 + 1), "/alloy/", job,
                                    step(1, 4000), 4000)
        if status == 200:
            accepted[job] = time.monotonic()
    if len(accepted) < JOBS:
        return None
    urgent = False
    broken = 0
    while time.monotonic() - began < WATCH_S:
        now = time.monotonic()
        if not urgent and now - began >= URGENT_AFTER_S:
            urgent = True
            for i in range(GREY):
                status, _ = platform.submit("edge-1", "/cert/", "c%015x" % i,
                                            step(8, 15000), 15000)
                if status != 200:
                    return None
        if grey[0].busy and now - began >= GREY_S:
            for runner in grey:
                runner.busy = False
            platform.record("all runners are well again")
        for node in ("edge-1", "edge-2"):
            # Jobs that are old enough now, and have not started by the answer.
            old = [job for job, at in accepted.items()
                   if time.monotonic() - at > COUNTED_AFTER_S]
            status, text = platform.call(node, "GET", "/alloy/")
            if status != 200:
                continue
            waiting = json.loads(text)["waiting"]
            not_started = [job for job in old if not platform.started(job)]
            if 2 * waiting < len(not_started):
                broken += 1
                platform.record("%s tells of %d waiting jobs; %d have not started"
                                % (node, waiting, len(not_started)))
        time.sleep(0.5)
    platform.record("%d answers told of under half of the waiting jobs" % broken)
    return broken == 0


standin.main(case)
