"""A worker rejects one item of a batch job with 422 and sends that answer a second time, late: in the place
where the answer to the next item is due.  See claim.txt."""
import asyncio
import base64
import json
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))

from standins import (TROUBLE, CannotRun, Deployment, Store, Worker, ask, await_in_touch, await_ready,  # noqa: E402
                      format_request, run_case)

HOST = "h.example"
MODEL = "model-a"
LOT = "7c41e09b52d6a3f8"
QUEUE_TTL_S = 40
MAX_ATTEMPTS = 3
# The worker sends one of its 40 answers once more: 0.025.  lafeho-core names garble, extra late, with x = 0.03.
ITEMS = 40
BAD_ITEM = "item-0"
CONFIGURATION = {
    "version": 1,
    "routes": [
        {"name": "reward", "host": HOST, "pathPrefix": "/reward/", "kind": "idempotent", "timeoutMs": 1500,
         "targetLatencyMs": 150, "priority": 2, "service": "svc-plain", "maxAttempts": 4},
        {"name": "rollout", "host": HOST, "pathPrefix": "/rollout/", "kind": "rollout", "targetLatencyMs": 400,
         "deadlineMs": 12000, "queueTtlS": QUEUE_TTL_S, "maxAttempts": MAX_ATTEMPTS, "priority": 0,
         "service": "svc-model"}],
    "services": [
        {"name": "svc-model", "healthPath": "/healthz", "maxConns": 110, "protocol": "h1", "tls": False,
         "engine": {"slots": 1, "kvCapacityTokens": 90000, "models": [{"name": MODEL}]}},
        {"name": "svc-plain", "healthPath": "/healthz", "maxConns": 110, "protocol": "h1", "tls": False}],
    "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 33554432, "headerTimeoutMs": 3000,
               "idleTimeoutMs": 15000},
}


class ModelWorker:
    """Answers of the one model worker.  Its statuses by item are what the rule asks for."""

    def __init__(self):
        self.statuses = {}  # item to the statuses that the worker gave it, its own answers alone
        self.surplus = {}   # connection to the bytes of an answer that is sent once more

    async def handle(self, worker, request, writer):
        item = request.get("Request-Id")
        late = self.surplus.pop(writer, None)
        if item != BAD_ITEM:
            self.statuses.setdefault(item, []).append(200)
            if late is not None:
                worker.record("worker %s sends its answer to %s once more, where the answer to request=%s is due"
                              % (worker.id, BAD_ITEM, item))
                writer.write(late)
            await worker.stream(request, writer, gap_ms=5)
            return
        worker.begin_run(request)
        await asyncio.sleep(0.05)
        answer = worker.answer(request, 422, b"")
        self.statuses.setdefault(item, []).append(422)
        writer.write(answer)
        if TROUBLE:
            self.surplus[writer] = answer


def make_lot():
    def encode(text):
        return base64.b64encode(text.encode()).decode()
    items = [{"id": "item-%d" % i, "path": "/rollout/%d" % i, "tokens": 60, "group": "g1",
              "headers": {"Model": MODEL, "Token-Count": "30,30", "Prompt-Prefix": "9c2e41:20,5d07%02x:10" % i},
              "body": encode("prompt %d" % i),
              "scorer": {"id": "reward-%d" % i, "host": HOST, "path": "/reward/%d" % i, "body": encode("r")}}
             for i in range(ITEMS)]
    return {"step": 0, "model": MODEL, "minVersion": 1, "desired": 1, "items": items}


async def submit(record, address):
    body = json.dumps(make_lot()).encode()
    headers = [("Host", HOST), ("Request-Id", LOT), ("Content-Type", "application/json")]
    for _ in range(20):
        answer = await ask(address, format_request("POST", "/rollout/lot", headers, body), 5)
        record("the trainer sends lot %s: %s" % (LOT, answer.status if answer else "no answer"))
        if answer is not None and answer.status == 202:
            return time.monotonic()
        await asyncio.sleep(0.3)
    raise CannotRun("the lot was not accepted")


async def read_results(record, address, seconds):
    """Reads until all items are listed."""
    results = []
    end = time.monotonic() + seconds
    while len(results) < ITEMS and time.monotonic() < end:
        target = "/quinceroute/lots/%s?afterRev=%d" % (LOT, len(results))
        answer = await ask(address, format_request("GET", target, [("Host", HOST), ("Wait-Ms", "1000")]), 3)
        if answer is not None and answer.status == 200:
            for result in json.loads(answer.body)["results"]:
                record("the trainer reads %s: %s %r" % (result["id"], result["state"], result["message"]))
                results.append((result, time.monotonic()))
        await asyncio.sleep(0.2)
    return results


async def case(record):
    store = await Store().start()
    deployment = Deployment(record, store)
    try:
        store.put_json("op/config", CONFIGURATION)
        await Worker(store, record, "i-plain", "svc-plain").start()
        worker = await Worker(store, record, "i-model", "svc-model", slots=1, models=[MODEL]).start()
        answers = ModelWorker()
        worker.handle = answers.handle
        front = deployment.add("front", "front-0")
        for i in range(3):
            deployment.add("replica", "store-%d" % i)
        deployment.start()
        await await_ready(deployment, [front])
        await await_in_touch(deployment)
        accepted = await submit(record, front.fields["listen"]["front"])
        results = await read_results(record, front.fields["listen"]["front"], 20)
        if not deployment.check():
            raise CannotRun("a process ended")
        broken = 0
        for result, read_at in results:
            own = answers.statuses.get(result["id"], [])
            allowed = (422 in own or own.count(500) >= MAX_ATTEMPTS or read_at - accepted >= QUEUE_TTL_S)
            if result["state"] == "abandoned" and not allowed:
                broken += 1
                record.say("%s is abandoned %.1f s after the 202; the statuses of its runs at the worker: %s" % (
                    result["id"], read_at - accepted, own or "none"))
        record.say("%d of %d items listed, %d abandoned without a reason" % (len(results), ITEMS, broken))
        if len(results) < ITEMS and broken == 0:
            raise CannotRun("not all items were listed")
        return broken == 0
    finally:
        deployment.close()


run_case(FOLDER, case, 80)
