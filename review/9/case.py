"""Two jobs that can never be done keep the advice service busy for themselves:
no other job of the queues under advice gets a ticket, and none starts, while
all runners are idle."""

import os
import sys
import threading
import time

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
import standin_3 as standin

RUNNERS = 48
ROOM = {"cpu": 64000, "mem-mb": 262144, "gpu": 8}
JOBS = 40  # messages of the kind of request
HOPELESS = 2  # of them can never be done: a share of 0.05
ADVICE = {"decide_ms": 300, "each_ms": 20, "valid_ms": 3000}
# Without the hopeless ones the 38 jobs take 60 s; the rest is slack.
WAIT_S = 95
CALM_S = 7  # 3 s without anything running, and the 4 s before them


def case(platform, trouble):
    platform.advice = standin.Advice(platform, ADVICE["decide_ms"],
                                     ADVICE["each_ms"], ADVICE["valid_ms"])
    platform.add_runners(RUNNERS, ROOM)
    platform.configure([standin.route("r-alloy", "/alloy/", 1, advice=ADVICE)])
    for name in ("edge-1", "edge-2"):
        platform.add_node(name)
    if not platform.wait_until_serving("edge-2", "/alloy/"):
        return None
    time.sleep(3)
    small = [{"count": 1, "cpu": 1000, "mem-mb": 1000, "gpu": 1, "estimate-ms": 300}]
    # More GPUs than any runner has.
    large = [{"count": 1, "cpu": 1000, "mem-mb": 1000, "gpu": 16, "estimate-ms": 300}]
    accepted = []
    for i in range(JOBS):
        hopeless = i < HOPELESS
        if hopeless and not trouble:
            continue
        job = "%016x" % (0xb000000000000000 + i)
        status, _ = platform.submit("edge-%d" % (i % 2 + 1), "/alloy/", job,
                                    large if hopeless else small, 300)
        if status == 200 and not hopeless:
            accepted.append(job)
    end_of_traffic = time.monotonic()
    platform.record("%d jobs that can be done were accepted" % len(accepted))
    if len(accepted) < JOBS - HOPELESS:
        return None
    while time.monotonic() - end_of_traffic < WAIT_S:
        time.sleep(0.5)
        if all(platform.started(job) for job in accepted):
            break
    not_started = [job for job in accepted if not platform.started(job)]
    last = max([s[0] for s in platform.starts], default=end_of_traffic)
    idle_s = time.monotonic() - max(last, end_of_traffic)
    states = [platform.call("edge-1", "GET", "/alloy/" + job)[1] for job in accepted]
    done = sum('"done"' in state for state in states)
    platform.record("%d of %d jobs have not started; the runners started nothing "
                    "for %.1f s; %d calls for advice; %d jobs are done"
                    % (len(not_started), len(accepted), idle_s, platform.advice.calls, done))
    return not (not_started and idle_s >= CALM_S)


standin.main(case)
