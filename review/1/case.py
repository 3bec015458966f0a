"""A node without the store goes on running the items of a cancelled job, through other nodes."""

import asyncio
import base64
import json
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "common"))
sys.dont_write_bytecode = True
import standins
from standins import BOUNDS, Node, Replica, Store, configuration, partition_of, request, route

NAMES = ("node-1", "node-2", "node-3")
# How long the machine is partitioned from the store.
CUT_S = 8.0
REPLICAS = 6
# The release replaces one replica after the other: the new one starts first, the old one drains.
# It begins two seconds after the cut and replaces half of the replicas.
RELEASED, RELEASE_AFTER_S, RELEASE_GAP_S, LINGER_S = 3, 2.0, 1.04, 0.5
DRAIN_S = BOUNDS["drain_ms"] / 1000
CANCEL_S = BOUNDS["cancel_ms"] / 1000
# An item takes twelve seconds.
EVENTS, EVENT_S = 300, 0.04
JOBS, ITEMS = 4, 6


async def play(record, folder, is_troubled, started):
    store = Store(12, record, NAMES)

    async def add_replica(name):
        replica = Replica(name, store, record)
        replica.events, replica.event_s = EVENTS, EVENT_S
        await replica.start()
        replicas.append(replica)
        return replica

    replicas = []
    for number in range(REPLICAS):
        await add_replica(f"old-{number}")
    await store.put("keyed.op", "config", configuration(1, [
        route("notes", "/batch/", "batch", run_aim_ms=60000, retention_s=90, max_attempts=3,
              max_count=0, timeout_ms=15000)]))
    nodes = {}
    for name in NAMES:
        nodes[name] = Node(name, await store.listen(name), BOUNDS, folder)
        nodes[name].start()
        started.append(nodes[name])
    for node in nodes.values():
        await node.wait_ready()
    await asyncio.sleep(3)

    # Jobs whose partitions belong to one machine, which is cut off later.
    owners = store.groups["jobs"].owners
    victim = next(n for n in nodes.values() if owners[0].startswith(n.ip + ":"))
    others = [n for n in nodes.values() if n is not victim]
    names = (f"{number:03x}" for number in range(4096))
    jobs = [n for n in names if owners[partition_of(n, 12)].startswith(victim.ip + ":")][:JOBS]
    items = {}
    for job in jobs:
        batch = []
        for number in range(ITEMS):
            item = f"{job}-{number}"
            items[item] = job
            batch.append({"id": item, "path": f"/batch/{job}/{number}",
                          "headers": {"X-Bulrushspread-Model": "m"},
                          "body": base64.b64encode(item.encode()).decode(), "tokens": 1000})
        headers = {"X-Bulrushspread-Attempt-Id": job, "Content-Type": "application/json",
                   "X-Bulrushspread-Deadline-Ms": "4000"}
        answer = await request(others[0].front, "POST", "/batch/a", headers,
                               json.dumps({"items": batch}).encode(), 4)
        if answer is None or answer.status != 202:
            raise standins.CannotRun(f"a job was not accepted: {answer and answer.status}")
        record(f"job {job} at {others[0].name}: 202")
    await asyncio.sleep(2)

    if is_troubled:
        record(f"{victim.name} is partitioned from the store")
        store.cut.add(victim.name)

    async def release():
        leaving = []
        await asyncio.sleep(RELEASE_AFTER_S)
        for number in range(RELEASED):
            await add_replica(f"new-{number}")
            await asyncio.sleep(RELEASE_GAP_S)
            leaving.append(asyncio.create_task(replicas[number].leave(DRAIN_S, LINGER_S)))
        await asyncio.gather(*leaving)

    releasing = asyncio.create_task(release())
    cut_at = time.monotonic()
    # Clients end the jobs once another node owns them.
    await asyncio.sleep(2.5)
    confirmed = {}

    async def cancel(job):
        for attempt in range(20):
            node = others[attempt % 2]
            answer = await request(node.front, "DELETE", f"/api/lots/{job}", {}, b"", 4)
            record(f"end of job {job} at {node.name}: {answer and answer.status}")
            if answer is not None and answer.status == 200:
                confirmed[job] = time.monotonic()
                return
            await asyncio.sleep(0.3)

    await asyncio.gather(*(cancel(job) for job in jobs))
    if len(confirmed) < len(jobs):
        raise standins.CannotRun("the ends of the jobs were not confirmed")
    await asyncio.sleep(max(0.0, cut_at + CUT_S - time.monotonic()))
    if is_troubled:
        store.cut.discard(victim.name)
        record(f"{victim.name} reaches the store again")
    await releasing
    await asyncio.sleep(3)

    late = [(at, item, replica, sender) for replica in replicas for at, item, sender in replica.ran
            if item in items and at > confirmed[items[item]] + CANCEL_S]
    in_touch = [run for run in late if run[3] in [n.name for n in others]]
    for at, item, replica, sender in sorted(late, key=lambda run: run[0]):
        record(f"late: {item} ran at {replica.name}, sent by {sender}, "
               f"{at - confirmed[items[item]]:.1f} s after the end of its job was confirmed")
    print(f"items that ran over {CANCEL_S} s after the confirmed end of their jobs: {len(late)}, "
          f"{len(in_touch)} of them sent by machines in touch")
    return not in_touch


if __name__ == "__main__":
    standins.main(play)
