"""Model workers crash, one in each of four steps, and start again under the id that they had.

Set SAME_ID=0 to let them start under new ids instead: then the rule holds.  GONE=1 plays a relative of the fault:
one of three workers is lost for good.
"""
import asyncio
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
from rollout_world import (BROKEN, HELD, HOST, MODEL, TROUBLE, ZONES, CannotRun, Fullness, call, configuration, make_item, new_id,
                           read_results, run, submit)

SAME_ID = os.environ.get("SAME_ID", "1") != "0"
GONE = os.environ.get("GONE", "0") != "0"
SIZE = 4
GROUPS = 5 if GONE else 10
WANTED = 5 if GONE else 9  # 90% of the groups
WORKERS = 3 if GONE else 8
STEPS = 1 if GONE else 4
SLOTS = 8
DOWN_S = 1.0
DEADLINE_S = 12.0  # deadlineMs of the route
AT_NO_WORKER_S = 5.0
CONTACT_S = 3.0


def is_lost(item, workers, now):
    """Finished or failed by no worker, and at none for the last 5 s."""
    if any(item in worker.finished or worker.at_work.get(item, 0) > 0 for worker in workers):
        return False
    return now - max([worker.last_seen.get(item, 0) for worker in workers]) > AT_NO_WORKER_S


async def play_step(world, front, models, number, crashes, fullness):
    """A step of a trainer.  Returns the items that were lost when its time ran out."""
    record = world.record
    items = [make_item("%02x%02x%02x" % (number, group, 7), member) for group in range(GROUPS) for member in range(SIZE)]
    groups = {item["id"]: item["group"] for item in items}
    batch = new_id()
    status, cause, _ = await submit(front, HOST, "/roll/step", batch, {
        "step": number, "model": MODEL, "minVersion": max(number - 1, 1), "desired": WANTED, "items": items})
    started = time.monotonic()
    record("step %d: batch %s with %d items, answered %s" % (number, batch, len(items), status))
    if status != 202:
        raise CannotRun("the batch was answered %s %s" % (status, cause))
    crash = asyncio.create_task(crash_one(world, models, crashes)) if TROUBLE else None
    listed = {}
    while time.monotonic() - started < DEADLINE_S:
        status, value = await read_results(front, HOST, batch, len(listed), 500)
        for result in value["results"] if status == 200 else []:
            listed[result["id"]] = result["state"]
        whole = {group for group in groups.values()
                 if all(item in listed for item, other in groups.items() if other == group)}
        if len(whole) >= WANTED:
            break
        await asyncio.sleep(0.3)
    if crash is not None:
        await crash
    now = time.monotonic()
    record("step %d: %.1f s after its 202 the trainer has %d whole groups, %d of %d items are listed"
           % (number, now - started, len(whole), len(listed), len(items)))
    lost = []
    if len(whole) < WANTED:
        busy = fullness.most(AT_NO_WORKER_S)
        begun = sum(any(item in dict.fromkeys(ran[0] for ran in worker.ran) for worker in models) for item in groups)
        calm_s = now - (crashes["last_up"] + CONTACT_S)
        record("step %d ran out of time: %d items had begun, %d runs at most were at work on %d slots in 5 s, calm for %.1f s"
               % (number, begun, busy, WORKERS * SLOTS, calm_s))
        if begun > 0 and busy < WORKERS * SLOTS / 2 and calm_s >= AT_NO_WORKER_S:
            lost = [item for item in groups if item not in listed and is_lost(item, models, now)]
            for item in lost:
                seen = max(worker.last_seen.get(item, 0) for worker in models)
                record("item %s: not listed, finished by no worker, at none for %.1f s" % (item, now - seen))
    await call(front.at("front"), "DELETE", "/quinceroute/lots/" + batch, [("Host", HOST)])
    return lost


async def crash_one(world, models, crashes):
    """The worker with the most runs among those that have not crashed yet goes down for a second."""
    await asyncio.sleep(0.7)
    worker = max((w for w in models if w not in crashes["done"]), key=lambda w: sum(w.at_work.values()))
    crashes["done"].append(worker)
    worker.crash()
    await asyncio.sleep(DOWN_S)
    if not GONE:
        await worker.start_again(SAME_ID)
    crashes["last_up"] = time.monotonic()


async def case(world):
    await world.start(configuration())
    for zone in ZONES:
        await world.add_worker("app", zone)
    models = []
    for number in range(WORKERS):
        worker = await world.add_worker("llm", ZONES[number % 3], models=[MODEL], slots=SLOTS)
        worker.events = lambda item: ["%s-%d" % (item, event) for event in range(1, 91)]
        models.append(worker)
    await world.await_ready()
    await asyncio.sleep(5)
    crashes = {"done": [], "last_up": time.monotonic()}
    lost, fullness = [], Fullness(models)
    for number in range(1, STEPS + 1):
        lost += await play_step(world, world.fronts[number % 2], models, number, crashes, fullness)
        await asyncio.sleep(0.5)  # training
        world.store.put("op/version/" + MODEL, {"model": MODEL, "version": number + 1})
        world.record("the trainer names version %d" % (number + 1))
    world.record.say("LOST: %d items were at no worker for over 5 s of calm when their step ran out of time" % len(lost))
    return BROKEN if lost else HELD


run(case, FOLDER)
