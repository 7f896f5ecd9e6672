"""A node is cut off from the store while the store carries out a submit of its
caller, and the caller's key is taken away at that moment. The node passes the
call on to another one, which refuses it by the newer configuration. The caller
is told 401, and the job runs."""

import asyncio
import json
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(__file__), ".."))
import standin  # noqa: E402

ROOM = {"cpu": 64000, "mem-mb": 131072, "gpu": 8}
NEED = {"cpu": 7500, "mem-mb": 22000, "gpu": 1}
WORK_MS = 2500
CUT_S = 9.0
COURSES = 4
# The client's tries after the first one (the sheet's column).
RETRIES = 4
REJECTIONS = (400, 401, 403, 404, 429, 503)


def body():
    spec = json.dumps({"work_ms": WORK_MS, **NEED})
    step = {"count": 3, **NEED, "estimate-ms": WORK_MS}
    return {"spec": spec, "steps": [step]}


def write_config(case, version, key):
    config = standin.config(version=version)
    if key is not None:
        config["tenants"][0]["api-keys"].append(key)
    case.record.add("operator", f"configuration {version}, keys "
                                f"{config['tenants'][0]['api-keys']}")
    case.platform.store.put("op", "config", config)


def cut_at_submit(case, node, job, version):
    """When the node's write of the job arrives, the store carries it out, and
    from then on doesn't reach the node any more."""
    store = case.platform.store

    async def on_transaction(name, transaction):
        written = {row["key"] for row in transaction.get("put") or []
                   if row["table"] == "job"}
        if name != node.name or job not in written:
            return None
        status, _ = store.transact(name, transaction, 0)
        case.record.add("store", f"{name}: carries out the write of {job} "
                                 f"({status}); its answer is lost")
        store.on_transaction = None
        store.turn_away(name, "silent")
        write_config(case, version, None)
        return "lost"

    store.on_transaction = on_transaction


async def submit(case, node, job, key):
    """Hands the job in as the pages say. Returns the statuses."""
    statuses = []
    for attempt in range(RETRIES + 1):
        at = case.nodes[(case.nodes.index(node) + attempt) % len(case.nodes)]
        status, _ = await case.call(at, "POST", f"/recompute/{job}", body(),
                                    key=key)
        statuses.append(status)
        # After no answer, 502 or 504 the same ID is sent again; after 429 and
        # 503 the client comes back.
        if status not in (None, 429, 502, 503, 504):
            break
        await asyncio.sleep(0.3)
    return statuses


async def course(case, number):
    job = f"00000000000000f{number}"
    key = f"tenant-key-{number}"
    leader = case.leader()
    others = [node for node in case.nodes if node is not leader]
    node = others[number % len(others)]
    write_config(case, 2 * number + 2, key)
    await asyncio.sleep(standin.BOUNDS["config-apply-ms"] / 1000 + 1)
    if standin.TROUBLE:
        cut_at_submit(case, node, job, 2 * number + 3)
    begin = len(case.platform.starts)
    statuses = await submit(case, node, job, key)
    await asyncio.sleep(CUT_S)
    if standin.TROUBLE:
        case.platform.store.turn_away(node.name, "ok")
    await asyncio.sleep(3)
    started = [s for s in case.platform.starts[begin:]
               if s["task"].startswith(job)]
    rejected = all(status in REJECTIONS for status in statuses)
    case.record.add("check", f"{job}: the client was told {statuses}; "
                             f"{len(started)} tasks have started")
    return rejected and bool(started)


async def play(case):
    await case.start(nodes=4, runners=4, room=ROOM)
    broken = []
    for number in range(COURSES):
        broken.append(await course(case, number))
    if any(broken):
        return (f"REFUSED: in {sum(broken)} of {COURSES} courses a job's tasks "
                f"ran though its client was rejected at each attempt")
    return None


standin.main(play, __file__)
