"""Stand-ins and processes for the cases review/4 and later.

A small deployment of the project's own programs (fronts and replicas, started with the commands of
deploy/system.toml), a stand-in of the platform's store, stand-ins of workers, and plain clients.  Each machine
has a loopback address of its own, 127.X.Y.N.  Only Python's standard library is used.
"""
import asyncio
import base64
import json
import os
import random
import re
import resource
import shutil
import signal
import sys
import tempfile
import time
import tomllib
from urllib.parse import parse_qs, urlsplit

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, CANNOT_RUN = 0, 1, 2
ZONES = ("east", "middle", "west")
REGION = "coast"
KV_CAPACITY = 103490  # tokens
HEARTBEAT_S = 1.2
PORTS = {"front": 8161, "ready": 8167, "control": 8166, "directory": 8164, "internal": 7720, "metrics": 9464}


class CannotRun(Exception):
    pass


class Record:
    """record.txt: what was sent, answered and run, with the seconds since the start."""

    def __init__(self, folder):
        self.started = time.monotonic()
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")

    def __call__(self, text):
        print("%8.3f %s" % (time.monotonic() - self.started, text), file=self.file, flush=True)

    def say(self, text):
        self(text)
        print(text, flush=True)


# ---- HTTP/1.1 -------------------------------------------------------------------------------------------


class Head:
    def __init__(self, raw):
        lines = raw.decode("latin-1").split("\r\n")
        self.raw = raw
        self.line = lines[0]
        self.fields = []
        for line in lines[1:]:
            if ":" in line:
                name, value = line.split(":", 1)
                self.fields.append((name.strip(), value.strip()))

    def all(self, name):
        return [value for key, value in self.fields if key.lower() == name.lower()]

    def get(self, name, default=None):
        values = self.all(name)
        return values[0] if values else default

    @property
    def status(self):
        return int(self.line.split(" ", 2)[1])

    @property
    def method(self):
        return self.line.split(" ")[0]

    @property
    def target(self):
        return self.line.split(" ")[1]


async def read_head(reader):
    return Head(await reader.readuntil(b"\r\n\r\n"))


async def read_chunk(reader):
    """One chunk of a body; b"" at its end."""
    size = int((await reader.readuntil(b"\r\n")).split(b";")[0].strip(), 16)
    if size == 0:
        while (await reader.readuntil(b"\r\n")) != b"\r\n":
            pass
        return b""
    data = await reader.readexactly(size)
    await reader.readexactly(2)
    return data


async def read_body(reader, head, is_answer=False):
    """The whole body, by RFC 9112, section 6.3: a transfer coding goes before a length."""
    if "chunked" in head.get("Transfer-Encoding", "").lower():
        parts = []
        while True:
            part = await read_chunk(reader)
            if not part:
                return b"".join(parts)
            parts.append(part)
    if head.get("Content-Length") is not None:
        return await reader.readexactly(int(head.get("Content-Length")))
    return await reader.read() if is_answer and head.status != 204 else b""


def build(first, fields=(), body=b""):
    lines = [first] + ["%s: %s" % field for field in fields]
    lines += ["Content-Length: %d" % len(body), "", ""]
    return "\r\n".join(lines).encode("latin-1") + body


def reply(status, fields=(), body=b""):
    return build("HTTP/1.1 %d %s" % (status, "OK" if status < 300 else "No"), fields, body)


async def connect(address):
    host, port = address.rsplit(":", 1)
    return await asyncio.open_connection(host, int(port), limit=1 << 24)


async def call(address, method, target, fields=(), body=b"", timeout=5.0):
    """One request on a connection of its own.  Returns (status, head, body), or (None, cause, b"")."""
    writer = None
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await connect(address)
            writer.write(build("%s %s HTTP/1.1" % (method, target), list(fields) + [("Connection", "close")], body))
            head = await read_head(reader)
            while head.status < 200:
                head = await read_head(reader)
            return head.status, head, await read_body(reader, head, True)
    except (OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError, TimeoutError, ValueError) as error:
        return None, type(error).__name__, b""
    finally:
        if writer is not None:
            writer.close()


class Listener:
    """Serves connections at one address; connected(reader, writer) handles one."""

    async def listen(self, ip, port=0):
        self.tasks = set()
        self.server = await asyncio.start_server(self._handle, ip, int(port), limit=1 << 26)
        self.address = "%s:%d" % self.server.sockets[0].getsockname()[:2]
        return self

    async def _handle(self, reader, writer):
        task = asyncio.current_task()
        self.tasks.add(task)
        try:
            await self.connected(reader, writer)
        except (OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError, asyncio.CancelledError,
                ValueError):
            pass
        finally:
            self.tasks.discard(task)
            writer.close()

    def close(self):
        self.server.close()
        for task in list(self.tasks):
            task.cancel()


# ---- The platform's store -------------------------------------------------------------------------------


class Store(Listener):
    """Keys with revisions, conditions, watches and leases, as PROTOCOL.md has them.  Sound, and not slow."""

    def __init__(self):
        self.items = {}
        self.log = []
        self.revision = 100
        self.leases = {}
        self.next_lease = 1
        self.waiters = set()
        self.refuse = None  # hook: (method, path, body) -> an answer's bytes, or None

    # Changes

    def apply(self, puts, removes):
        self.revision += 1
        for key, value, lease in puts:
            old = self.items.get(key)
            item = {"tlsKey": key, "value": value, "revision": self.revision,
                    "made": old["made"] if old else self.revision, "lease": lease}
            self.items[key] = item
            self.log.append((self.revision, dict(item)))
        for key in removes:
            if self.items.pop(key, None) is not None:
                self.log.append((self.revision, {"tlsKey": key, "revision": self.revision, "gone": True}))
        for waiter in list(self.waiters):
            waiter.set()
        return self.revision

    def put(self, key, value):
        text = base64.b64encode(json.dumps(value).encode()).decode()
        return self.apply([(key, text, 0)], [])

    def remove(self, key):
        self.apply([], [key])

    def get(self, key):
        item = self.items.get(key)
        return None if item is None else base64.b64decode(item["value"])

    def expire(self):
        now = time.monotonic()
        for lease, (ends, _) in list(self.leases.items()):
            if ends < now:
                self.end_lease(lease)

    def end_lease(self, lease):
        if self.leases.pop(lease, None) is None:
            return False
        keys = [key for key, item in self.items.items() if item["lease"] == lease]
        if keys:
            self.apply([], keys)
        return True

    # Calls

    async def connected(self, reader, writer):
        while True:
            head = await read_head(reader)
            body = await read_body(reader, head)
            answer = self.refuse(head.method, head.target, body) if self.refuse else None
            if answer is None:
                self.expire()
                status, value = await self.answer(head.method, head.target, body)
                answer = reply(status, [("Content-Type", "application/json")], json.dumps(value).encode())
            writer.write(answer)
            await writer.drain()

    async def answer(self, method, target, body):
        parts = urlsplit(target)
        query = {key: values[0] for key, values in parse_qs(parts.query).items()}
        verb = parts.path[len("/quinceroute/"):].split("/")
        if method == "GET" and verb[0] == "kv-key":
            item = self.items.get(query["tlsKey"])
            return (200, dict(item, at=self.revision)) if item else (404, {"at": self.revision})
        if method == "GET" and verb[0] == "kv-range":
            keys = sorted(key for key in self.items
                          if key.startswith(query["pathPrefix"]) and key > query.get("afterRev", ""))
            return 200, {"items": [self.items[key] for key in keys[:500]], "more": len(keys) > 500,
                         "at": self.revision}
        if method == "GET" and verb[0] == "kv-watch":
            return await self.watch(query)
        data = json.loads(body or b"{}")
        if method == "POST" and verb[0] == "kv-txn":
            return self.change(data)
        if method == "POST" and verb[0] == "kv-lease":
            lease, self.next_lease = self.next_lease, self.next_lease + 1
            self.leases[lease] = (time.monotonic() + data["ttl_ms"] / 1000, data["ttl_ms"])
            return 200, {"lease": lease, "ttl_ms": data["ttl_ms"]}
        if method == "POST" and verb[0] == "kv-keep":
            lease = int(verb[1])
            if lease not in self.leases:
                return 404, {}
            ttl_ms = self.leases[lease][1]
            self.leases[lease] = (time.monotonic() + ttl_ms / 1000, ttl_ms)
            return 200, {"ttl_ms": ttl_ms}
        if method == "DELETE" and verb[0] == "kv-lease-end":
            return (200, {}) if self.end_lease(int(verb[1])) else (404, {})
        return 404, {}

    async def watch(self, query):
        after, prefix = int(query["afterRev"]), query["pathPrefix"]
        ends = time.monotonic() + int(query["waitMs"]) / 1000
        waiter = asyncio.Event()
        self.waiters.add(waiter)
        try:
            while True:
                events = [item for revision, item in self.log
                          if revision > after and item["tlsKey"].startswith(prefix)]
                left = ends - time.monotonic()
                if events or left <= 0:
                    return 200, {"events": events, "at": self.revision}
                waiter.clear()
                try:
                    await asyncio.wait_for(waiter.wait(), left)
                except TimeoutError:
                    pass
        finally:
            self.waiters.discard(waiter)

    def change(self, data):
        rows = data.get("expected", [])
        current = [self.items.get(row["tlsKey"]) for row in rows]
        if any((item["revision"] if item else 0) != row["revision"] for row, item in zip(rows, current)):
            return 412, {"items": [item for item in current if item]}
        if any(put.get("lease", 0) and put["lease"] not in self.leases for put in data.get("put", [])):
            return 404, {}
        puts = [(put["tlsKey"], put["value"], put.get("lease", 0)) for put in data.get("put", [])]
        return 200, {"revision": self.apply(puts, data.get("remove", []))}


# ---- Workers --------------------------------------------------------------------------------------------


class Worker(Listener):
    """A sound worker of a service.  on_request(worker, head, body, writer) may answer in its place."""

    def __init__(self, world, service, zone, models=(), work_s=0.02, slots=8):
        self.world = world
        self.service = service
        self.zone = zone
        self.models = {name: 1 for name in models}
        self.work_s = work_s
        self.born = int(time.time() * 1000)
        self.places = asyncio.Semaphore(slots)
        self.slots = slots
        self.event_s = 0.02  # from one event of a text to the next
        self.id = "i-%08x" % random.getrandbits(32)
        self.seq = 0
        self.orders = 0
        self.state = "ready"
        self.ran = []  # (request id, method, target, body)
        self.queue = 24
        self.busy = False
        self.too_large = 0  # requests larger than its memory, rejected as if it were full
        self.on_request = None
        self.beating = None
        self.writers = set()
        self.at_work = {}  # request id -> number of its runs that are at work now
        self.last_seen = {}  # request id -> when its last run here ended, monotonic
        self.finished = set()  # ids of requests whose whole text was sent

    async def start(self):
        await self.listen(self.world.next_ip(), 8080)
        self.beating = asyncio.create_task(self.beat())
        return self

    def crash(self):
        """The process is gone: its connections are reset, its port refuses, its entry is written no more."""
        self.beating.cancel()
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()
        for task in list(self.tasks):
            task.cancel()
        self.world.record("worker %s (%s) crashes" % (self.id, self.service))
        asyncio.create_task(self.lapse(self.id, self.born))

    async def lapse(self, worker_id, born):
        """Its entry disappears after three heartbeats of silence, unless the worker writes it again."""
        await asyncio.sleep(3 * HEARTBEAT_S)
        if (worker_id, born) != (self.id, self.born) or self.beating.done():
            entry = self.world.store.get("servers/" + worker_id)
            if entry is not None and json.loads(entry)["born"] == born:
                self.world.store.remove("servers/" + worker_id)
                self.world.record("the entry of worker %s is gone" % worker_id)

    async def start_again(self, same_id):
        """A new start at the old address.  It knows nothing of before, and its counts start anew."""
        if not same_id:
            self.id = "i-%08x" % random.getrandbits(32)
        self.born = int(time.time() * 1000)
        self.seq = self.orders = 0
        self.busy = False
        self.at_work = {}
        self.places = asyncio.Semaphore(self.slots)
        await self.listen(*self.address.split(":"))
        self.beating = asyncio.create_task(self.beat())
        self.world.record("worker %s (%s) starts again" % (self.id, self.service))

    def entry(self):
        self.seq += 1
        entry = {"service": self.service, "address": self.address, "zone": self.zone, "version": "v1",
                 "slots": self.slots, "state": self.state, "coldRemainingMs": 0, "seq": self.seq, "born": self.born}
        if self.models:
            entry["stage"] = "hybrid"
            entry["models"] = self.list_models()
        return entry

    def list_models(self):
        return [{"name": name, "version": version, "adapters": []} for name, version in self.models.items()]

    async def beat(self):
        while True:
            self.world.store.put("servers/" + self.id, self.entry())
            await asyncio.sleep(HEARTBEAT_S)

    def stop(self):
        if self.beating:
            self.beating.cancel()
        self.close()

    async def connected(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                head = await read_head(reader)
                body = await read_body(reader, head)
                await self.handle(head, body, writer)
                await writer.drain()
        finally:
            self.writers.discard(writer)

    async def handle(self, head, body, writer):
        if head.get("Expect-Instance") not in (None, self.id):
            fields = [("Request-Id", head.get("Request-Id"))] if head.get("Request-Id") else []
            writer.write(reply(421, fields + [("Instance-Id", self.id)]))
            return
        if head.target == "/healthz":
            writer.write(reply(200, [("Instance-Id", self.id)]))
            return
        if head.target == "/quinceroute/report":
            value = {"stage": "hybrid", "models": self.list_models(), "busy": self.busy, "seq": self.orders,
                     "queuedRequests": max(sum(self.at_work.values()) - self.slots, 0),
                     "running": min(sum(self.at_work.values()), self.slots), "kvUsed": 0, "kvTotal": KV_CAPACITY,
                     "handles": 0, "born": self.born}
            writer.write(reply(200, [("Content-Type", "application/json")], json.dumps(value).encode()))
            return
        if head.target == "/quinceroute/order":
            writer.write(reply(self.take_order(json.loads(body))))
            return
        request_id = head.get("Request-Id")
        if not request_id:
            writer.write(reply(400, [("Not-Run", "1")]))
            return
        tokens = sum(int(part) for part in head.get("Token-Count", "0").split(","))
        self.too_large += tokens > KV_CAPACITY
        if self.busy or tokens > KV_CAPACITY or sum(self.at_work.values()) >= self.slots + self.queue:
            writer.write(reply(503, [("Not-Run", "1"), ("Request-Id", request_id)]))
            return
        at_work = self.at_work  # those that wait for a place count, too
        at_work[request_id] = at_work.get(request_id, 0) + 1
        try:
            async with self.places:
                self.ran.append((request_id, head.method, head.target, body))
                self.world.record("worker %s (%s) runs %s %s %s"
                                  % (self.id, self.service, request_id, head.method, head.target))
                await self.run(head, body, writer)
        finally:
            at_work[request_id] -= 1
            self.last_seen[request_id] = time.monotonic()

    async def run(self, head, body, writer):
        request_id = head.get("Request-Id")
        if self.on_request is not None and await self.on_request(self, head, body, writer):
            return
        if self.models:
            await self.stream(head, writer, self.events(request_id))
            return
        await asyncio.sleep(self.work_s)
        writer.write(reply(200, self.stamp(head), b"body of " + request_id.encode()))

    def take_order(self, order):
        """A load of weights takes 0.9 s; with the mode `wait` the runs end first."""
        if "holder" not in order or "fence" not in order or order.get("op") != "version":
            return 400
        if self.busy or order.get("expected", self.orders) != self.orders:
            return 409
        if self.models.get(order["model"]) == order["version"]:
            return 200
        self.orders += 1
        self.busy = True
        self.world.record("worker %s takes the order for version %d" % (self.id, order["version"]))
        asyncio.create_task(self.load(order))
        return 202

    async def load(self, order):
        born = self.born
        while order["mode"] == "wait" and sum(self.at_work.values()) > 0:
            await asyncio.sleep(0.02)
        await asyncio.sleep(0.9)
        if born != self.born or self.beating.done():
            return  # it crashed; on restart it has the version it had before
        self.models[order["model"]] = order["version"]
        self.busy = False
        self.world.store.put("servers/" + self.id, self.entry())

    def stamp(self, head):
        return [("Request-Id", head.get("Request-Id")), ("Server-Stamp", "%s.%s" % (self.id[2:], head.get("Request-Id")))]

    def events(self, request_id):
        return ["%s-%d" % (request_id, number) for number in range(1, 9)]

    async def stream(self, head, writer, events):
        """The events after Last-Event-Id, by https://html.spec.whatwg.org/#event-stream-interpretation."""
        version = next(iter(self.models.values()))
        fields = self.stamp(head) + [("Content-Type", "text/event-stream"), ("Weight-Versions", version),
                                     ("Transfer-Encoding", "chunked")]
        writer.write(("HTTP/1.1 200 OK\r\n" + "".join("%s: %s\r\n" % f for f in fields) + "\r\n").encode())
        done = int(head.get("Last-Event-Id", 0))
        for number, data in enumerate(events, 1):
            if number <= done:
                continue
            await asyncio.sleep(self.event_s)
            lines = "".join("data: %s\n" % line for line in data.split("\n"))
            change = next(iter(self.models.values()))
            mark = "weight-versions: %d\n" % change if change != version else ""
            version = change
            text = ("%sid: %d\n%s\n" % (mark, number, lines)).encode()
            writer.write(b"%x\r\n%s\r\n" % (len(text), text))
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        self.finished.add(head.get("Request-Id"))


# ---- Settings: the templates of the deploy file -----------------------------------------------------------


def render(template, scopes):
    """Fills a template as DEPLOY.md tells it (the parts that deploy/*.ini use)."""

    def lookup(name):
        for scope in reversed(scopes):
            value = scope.get("fields")
            if name == ".":
                return value
            if name == "@":
                return scope.get("key")
            for part in name.split("."):
                if isinstance(value, list) and part.isdigit() and int(part) < len(value):
                    value = value[int(part)]
                else:
                    value = value.get(part) if isinstance(value, dict) else None
                if value is None:
                    break
            if value is not None:
                return value
        return None

    def show(value):
        if value is None:
            return ""
        if isinstance(value, bool):
            return "true" if value else "false"
        if isinstance(value, list):
            return ",".join(show(part) for part in value)
        return json.dumps(value) if isinstance(value, dict) else str(value)

    out, at = [], 0
    for_block = re.compile(r"\{\{([#^]?)([^{}]+)\}\}")
    while True:
        match = for_block.search(template, at)
        if match is None:
            out.append(template[at:])
            return "".join(out)
        out.append(template[at:match.start()])
        at = match.end()
        kind, name = match.groups()
        if kind == "":
            if name == ",":
                out.append("" if scopes[-1].get("last") else ",")
            else:
                out.append(show(lookup(name)))
            continue
        close = "{{/%s}}" % name
        end = template.index(close, at)
        block, at = template[at:end], end + len(close)
        value = lookup(name)
        if kind == "^":
            out.append(render(block, scopes) if not value else "")
        elif isinstance(value, (dict, list)):
            pairs = list(value.items()) if isinstance(value, dict) else list(enumerate(value))
            for number, (key, part) in enumerate(pairs):
                out.append(render(block, scopes + [{"fields": part, "key": key, "last": number == len(pairs) - 1}]))
        elif value:
            out.append(render(block, scopes))


def without_core():
    """In the new process: a crash leaves no file behind."""
    resource.setrlimit(resource.RLIMIT_CORE, (0, 0))


class Machine:
    """One machine of the system with its process; it starts again a moment after it ends, as on the platform."""

    def __init__(self, world, role, number, zone):
        self.world = world
        self.role = role
        self.name = "%s-%d" % (role, number)
        self.ip = world.next_ip()
        self.zone = zone
        self.folder = os.path.join(world.folder, self.name)
        self.data = os.path.join(self.folder, "data")
        os.makedirs(self.data)
        self.process = None
        self.ends = []  # (seconds, return code) of ends that the case did not bring about
        self.wanted = False
        self.bootstrap = True
        self.watching = None

    def at(self, name):
        return "%s:%d" % (self.ip, PORTS[name])

    def write_settings(self):
        is_front = self.role == "front"
        fields = {"node": self.name, "zone": self.zone, "region": REGION, "zones": {z: REGION for z in ZONES},
                  "ip": self.ip, "internalPorts": [PORTS["internal"], PORTS["internal"] + 15],
                  "listen": {n: self.at(n) for n in ("front", "ready", "control", "directory")} if is_front else {},
                  "platform": {"address": self.world.store.address},
                  "bounds": {"configApplyMs": 2000, "drainMs": 2000, "graceS": 8, "statusIntervalS": 120,
                             "leaseMs": 3000},
                  "limits": {"memoryMb": self.memory_limit_mb, "maxFds": 4100 if is_front else 8200},
                  "faultTolerance": {"machines": 1, "zones": 0, "regions": 0},
                  "dataDir": None if is_front else self.data, "bootstrap": self.bootstrap}
        with open(os.path.join(ROOT, self.world.deploy["roles"][self.role]["template"]), encoding="utf-8") as file:
            text = render(file.read(), [{"fields": fields}])
        path = os.path.join(self.folder, "local.yaml")
        with open(path, "w", encoding="utf-8") as file:
            file.write(text)
        return path

    async def start(self):
        path = self.write_settings()
        words = self.world.deploy["roles"][self.role]["run"].split(" ")
        words = [path if word == "/etc/quinceroute/local.yaml" else word for word in words]
        self.wanted = True
        self.log = open(os.path.join(self.folder, "log"), "ab")
        env = {"PATH": os.environ.get("PATH", ""), "HOME": self.folder, "LANG": "C",
               "QUINCEROUTE_NODE_FILE": path}
        self.process = await asyncio.create_subprocess_exec(*words, cwd=ROOT, env=env, stdout=self.log, stderr=self.log,
                                                            stdin=asyncio.subprocess.DEVNULL,
                                                            preexec_fn=without_core)
        self.watching = asyncio.create_task(self.watch(self.process))
        self.bootstrap = False

    async def watch(self, process):
        code = await process.wait()
        if not self.wanted or process is not self.process:
            return
        self.ends.append((time.monotonic() - self.world.record.started, code))
        self.world.record("%s ended by itself, return code %d" % (self.name, code))
        await asyncio.sleep(0.5)
        if self.wanted and not self.world.closing:
            await self.start()
            self.world.record("%s starts again" % self.name)

    @property
    def memory_limit_mb(self):
        return 260 if self.role == "front" else 270

    def enforce_memory(self):
        """As the platform does (DEPLOY.md): a process that went over memoryMb is killed."""
        memory = self.memory_mb()
        if memory is not None and memory[1] > self.memory_limit_mb:
            self.world.record("%s had %d MB, over its memoryMb of %d: killed" % (self.name, memory[1], self.memory_limit_mb))
            self.signal(signal.SIGKILL)

    def signal(self, number):
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def kill(self):
        self.wanted = False
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        if self.process is not None:
            await self.process.wait()

    def memory_mb(self):
        """Resident memory and its peak; None if the process is gone."""
        try:
            with open("/proc/%d/status" % self.process.pid, encoding="utf-8") as file:
                text = file.read()
            return tuple(int(re.search(name + r":\s+(\d+) kB", text).group(1)) // 1024 for name in ("VmRSS", "VmHWM"))
        except (OSError, AttributeError):
            return None


class World:
    """The deployment: three store machines, fronts, the platform's store, and workers."""

    def __init__(self, record, fronts=2, replicas=3):
        self.record = record
        self.folder = tempfile.mkdtemp(prefix="quince-review-")
        self.net = "127.%d.%d." % (random.randint(1, 250), random.randint(1, 250))
        self.last_ip = 1
        self.closing = False
        self.workers = []
        with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as file:
            self.deploy = tomllib.load(file)
        if not os.access(os.path.join(ROOT, self.deploy["roles"]["front"]["run"].split(" ")[0]), os.X_OK):
            raise CannotRun("the programs of the deploy file are not built")
        self.store = Store()
        self.fronts = [Machine(self, "front", i + 1, ZONES[i % 3]) for i in range(fronts)]
        self.replicas = [Machine(self, "replica", i + 1, ZONES[i % 3]) for i in range(replicas)]

    def next_ip(self):
        self.last_ip += 1
        return self.net + str(self.last_ip)

    async def start(self, configuration):
        await self.store.listen(self.next_ip(), 8169)
        self.store.put("op/config", configuration)
        for machine in self.fronts + self.replicas:
            await machine.start()

    async def add_worker(self, *args, **kwargs):
        worker = Worker(self, *args, **kwargs)
        self.workers.append(await worker.start())
        return worker

    async def await_ready(self, seconds=20):
        ends = time.monotonic() + seconds
        while time.monotonic() < ends:
            states = [await call(front.at("ready"), "GET", "/quinceroute/readyz", timeout=1) for front in self.fronts]
            if all(state[0] == 200 for state in states):
                self.record("all fronts are ready")
                return
            await asyncio.sleep(0.2)
        raise CannotRun("the fronts did not become ready")

    async def close(self):
        self.closing = True
        for worker in self.workers:
            worker.stop()
        for machine in self.fronts + self.replicas:
            await machine.kill()
        self.store.close()
        if os.environ.get("KEEP") is None:
            shutil.rmtree(self.folder, ignore_errors=True)
        else:
            print(self.folder)


HOST = "a.example"
MODEL = "m0"


def configuration(app="app", llm="llm"):
    """Like that of sclc-quince: lookups and reward calls at one service, rollouts at the other."""
    route = {"host": HOST, "maxAttempts": 2}
    return {"version": 3,
            "routes": [dict(route, name="r-look", pathPrefix="/look/", kind="idempotent", timeoutMs=1500,
                            targetLatencyMs=150, priority=2, service=app),
                       dict(route, name="r-roll", pathPrefix="/roll/", kind="rollout", timeoutMs=10000,
                            targetLatencyMs=400, deadlineMs=12000, queueTtlS=60, priority=1, service=llm,
                            maxAttempts=3, sticky=True, resumable=True)],
            "services": [{"name": app, "healthPath": "/healthz", "maxConns": 110, "protocol": "h1", "tls": False},
                         {"name": llm, "healthPath": "/healthz", "maxConns": 150, "protocol": "h1", "tls": False,
                          "engine": {"slots": 8, "kvCapacityTokens": KV_CAPACITY, "kvTokenBytes": 18432,
                                     "linkMbps": 2900000.0, "models": [{"name": MODEL}]}}],
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 33554432, "headerTimeoutMs": 3000,
                       "idleTimeoutMs": 15000}}


def make_item(group, number, body=b"prompt", reward=True, tokens_in=40, tokens_out=160):
    item = {"id": new_id(), "path": "/roll/%s/%d" % (group, number),
            "headers": {"Model": MODEL, "Token-Count": "%d,%d" % (tokens_in, tokens_out),
                        "Prompt-Prefix": "%s:%d,%x:16" % (group, tokens_in - 16, number)},
            "body": base64.b64encode(body).decode(), "tokens": tokens_in + tokens_out, "group": group}
    if reward:
        item["scorer"] = {"id": new_id(), "host": HOST, "path": "/look/score/%s/%d" % (group, number),
                          "body": base64.b64encode(b"score").decode()}
    return item


class Fullness:
    """How many runs are at work on some workers, each 0.1 s."""

    def __init__(self, workers):
        self.workers = workers
        self.samples = []
        self.task = asyncio.create_task(self.sample())

    async def sample(self):
        while True:
            self.samples.append((time.monotonic(), sum(sum(w.at_work.values()) for w in self.workers)))
            await asyncio.sleep(0.1)

    def most(self, seconds):
        """The most runs at any moment of the last seconds."""
        since = time.monotonic() - seconds
        return max(count for at, count in self.samples if at >= since)


async def submit(front, host, target, batch_id, batch, timeout=6):
    return await call(front.at("front"), "POST", target,
                      [("Host", host), ("Request-Id", batch_id), ("Content-Type", "application/json")],
                      json.dumps(batch).encode(), timeout)


async def read_results(front, host, batch_id, after=0, wait_ms=1000):
    """Returns (status, value)."""
    status, _, body = await call(front.at("front"), "GET", "/quinceroute/lots/%s?afterRev=%d" % (batch_id, after),
                                 [("Host", host), ("Wait-Ms", str(wait_ms))], timeout=4)
    return status, json.loads(body) if status == 200 else None


def new_id():
    return "%016x" % random.getrandbits(64)


def run(case, folder, fronts=2, replicas=3, limit_s=110):
    """Runs case(world) -> HELD or BROKEN, and exits with it; ends all processes that were started."""
    record = Record(folder)

    async def main():
        world = World(record, fronts, replicas)
        loop = asyncio.get_running_loop()
        task = asyncio.current_task()
        for number in (signal.SIGINT, signal.SIGTERM):
            loop.add_signal_handler(number, task.cancel)
        try:
            async with asyncio.timeout(limit_s):
                return await case(world)
        finally:
            await world.close()

    record("TROUBLE=%d" % TROUBLE)
    try:
        code = asyncio.run(main())
    except (CannotRun, TimeoutError, asyncio.CancelledError, OSError) as error:
        record.say("cannot run: %s %s" % (type(error).__name__, error))
        code = CANNOT_RUN
    record.say({HELD: "held", BROKEN: "BROKEN", CANNOT_RUN: "could not run"}[code])
    sys.exit(code)
