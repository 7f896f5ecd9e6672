"""A large job comes: its state outgrows a row of the store, and from then on
no node can store anything. Without the trouble, the same tasks come as twelve
jobs of an ordinary size."""

import asyncio
import json
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(__file__), ".."))
import standin  # noqa: E402

# `yard-reshuffle` of the sheet of hbs-kyushu-grown at its largest: steps of 230
# tasks, three steps, four times; tasks on 5.6 cores and one accelerator.
WIDTH, STEPS, TIMES, EVERY_MS = 230, 3, 4, 3000
TASKS = WIDTH * STEPS * TIMES
WORK_MS = 2600
NEED = {"cpu": 5600, "mem-mb": 5000, "gpu": 1}
ROOM = {"cpu": 64000, "mem-mb": 131072, "gpu": 8}
RUNNERS = 48
# The rule's 3 s, and the 4 s before them that have to be calm. Nothing but jobs
# comes in this case, so all of it is calm.
CALM_S = 7.0
# All tasks together take some 20 s. Three times as long is given.
LIMIT_S = 60
SMALL_JOBS = 4
TRIES = 5
FINISH_S = 14


def body(steps, times):
    spec = json.dumps({"work_ms": WORK_MS, "saves": True, **NEED})
    step = {"count": WIDTH, **NEED, "estimate-ms": WORK_MS, "checkpoint": True}
    job = {"spec": spec, "steps": [step] * steps}
    if times > 1:
        job.update({"times": times, "interval-ms": EVERY_MS,
                    "start-at-ms": int(time.time() * 1000)})
    return job


def small():
    spec = json.dumps({"work_ms": 1000, **NEED})
    return {"spec": spec,
            "steps": [{"count": 3, **NEED, "estimate-ms": 1000}]}


async def attempt(case, number, method, path, text=None):
    """Calls one node after the other, as the pages let a client do."""
    status, answer = None, ""
    for turn in range(TRIES):
        node = case.nodes[(number + turn) % len(case.nodes)]
        status, answer = await case.call(node, method, path, text)
        if status not in (None, 429, 502, 503, 504):
            break
        await asyncio.sleep(0.5)
    return status, answer


async def play(case):
    await case.start(nodes=3, runners=RUNNERS, room=ROOM)
    platform = case.platform
    if standin.TROUBLE:
        jobs = {"00000000000000b0": body(STEPS, TIMES)}
    else:
        jobs = {f"00000000000000{n:02x}": body(1, 1)
                for n in range(0xb0, 0xb0 + STEPS * TIMES)}
    for number, (job, text) in enumerate(jobs.items()):
        status, _ = await attempt(case, number, "POST", f"/recompute/{job}",
                                  text)
        if status != 200:
            raise RuntimeError(f"the job was not accepted: {status}")
    accepted_at = time.monotonic()
    all_due_s = (TIMES - 1) * EVERY_MS / 1000

    def done():
        return len({e["task"] for e in platform.ends if e["how"] == "done"})

    # Since when nothing runs, though the turn of all tasks has come.
    idle_since = None
    longest = 0.0
    while time.monotonic() - accepted_at < LIMIT_S and done() < TASKS:
        await asyncio.sleep(0.05)
        now = time.monotonic()
        waits = now - accepted_at > all_due_s and platform.live_runs() == 0
        if not waits:
            idle_since = None
            continue
        idle_since = idle_since or now
        longest = max(longest, now - idle_since)
        if longest > 2 * CALM_S:
            break
    case.record.add(
        "check", f"{done()} of {TASKS} tasks have ended done; for {longest:.1f} "
                 f"s no run was at work on {RUNNERS} runners, while the turn of "
                 f"all tasks had come")
    # Other callers hand in small jobs.
    accepted, begin = [], len(platform.starts)
    for number in range(SMALL_JOBS):
        job = f"00000000000000c{number}"
        status, _ = await attempt(case, number, "POST", f"/recompute/{job}",
                                  small())
        if status == 200:
            accepted.append(job)
    await asyncio.sleep(FINISH_S)
    started = {s["task"].split(".")[0] for s in platform.starts[begin:]}
    states = {}
    for number, job in enumerate(list(jobs) + accepted):
        status, text = await attempt(case, number, "GET", f"/recompute/{job}")
        states[job] = json.loads(text)["state"] if status == 200 else status
    never = [job for job in accepted if job not in started]
    undone = [job for job in states if states[job] != "done"]
    case.record.add(
        "check", f"{len(accepted)} of {SMALL_JOBS} small jobs were accepted, "
                 f"and {len(never)} of these have not started after {FINISH_S} "
                 f"s; not done: {[(job, states[job]) for job in undone]}")
    refused = platform.store.refused_large
    if longest >= CALM_S:
        return (f"LOST: an accepted job with {TASKS - done()} tasks whose turn "
                f"had come had nothing running for {longest:.1f} s with all "
                f"runners idle; the store refused {refused} transactions for "
                f"their size; of {SMALL_JOBS} small jobs that came later "
                f"{len(accepted)} were accepted and {len(never)} never started")
    if undone:
        return f"LOST: not done {FINISH_S} s after the end: {states}"
    return None


standin.main(play, __file__)
