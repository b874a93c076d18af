"""Stand-ins of the platform's store, of workers and of clients, and the processes of a small deployment.

Everything listens on 127.0.0.1, on free ports.  The store and the workers follow PROTOCOL.md of the users'
pages; a test makes a worker faulty by a hook.  Only Python's standard library is used.
"""
import asyncio
import base64
import json
import os
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
from urllib.parse import parse_qs, urlsplit

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
CONTACT_S = 3.0  # the bound contactMs of lafeho-core
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class CannotRun(Exception):
    """The case can't be run here: exit status 2."""


class Record:
    """Writes what was sent, answered and run to record.txt, with seconds since the start."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")
        self.start = time.monotonic()

    def __call__(self, text):
        line = "%8.3f %s" % (time.monotonic() - self.start, text)
        print(line, file=self.file, flush=True)

    def say(self, text):
        self(text)
        print(text, flush=True)


# ---- HTTP/1.1 -------------------------------------------------------------------------------------------


class Message:
    def __init__(self, first, headers, body):
        self.first = first
        self.headers = headers
        self.body = body

    def get(self, name):
        for key, value in self.headers:
            if key.lower() == name.lower():
                return value
        return None

    @property
    def method(self):
        return self.first.split(" ")[0]

    @property
    def target(self):
        return self.first.split(" ")[1]

    @property
    def status(self):
        return int(self.first.split(" ")[1])


async def read_head(reader):
    text = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    lines = text.split("\r\n")
    headers = [tuple(part.strip() for part in line.split(":", 1)) for line in lines[1:] if line]
    return Message(lines[0], headers, b"")


async def read_message(reader):
    """Reads one whole message; a cut one raises IncompleteReadError."""
    message = await read_head(reader)
    if (message.get("Transfer-Encoding") or "").lower() == "chunked":
        parts = []
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            if size == 0:
                while await reader.readuntil(b"\r\n") != b"\r\n":
                    pass
                break
            parts.append(await reader.readexactly(size))
            await reader.readexactly(2)
        message.body = b"".join(parts)
    else:
        message.body = await reader.readexactly(int(message.get("Content-Length") or 0))
    return message


def format_answer(status, headers=(), body=b""):
    lines = ["HTTP/1.1 %d %s" % (status, "OK" if status < 300 else "Answer")]
    lines += ["%s: %s" % pair for pair in headers]
    lines += ["Content-Length: %d" % len(body), "", ""]
    return "\r\n".join(lines).encode("latin-1") + body


def format_request(method, target, headers=(), body=b""):
    lines = ["%s %s HTTP/1.1" % (method, target)] + ["%s: %s" % pair for pair in headers]
    lines += ["Content-Length: %d" % len(body), "", ""]
    return "\r\n".join(lines).encode("latin-1") + body


class Server:
    """Listens on a free port; serve(reader, writer) handles one connection."""

    async def start(self):
        self.connections = set()
        self.server = await asyncio.start_server(self._accept, "127.0.0.1", 0, limit=1 << 26)
        self.address = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]
        return self

    async def _accept(self, reader, writer):
        task = asyncio.current_task()
        self.connections.add(task)
        try:
            await self.serve(reader, writer)
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError, ValueError):
            pass
        except asyncio.CancelledError:
            pass
        finally:
            self.connections.discard(task)
            writer.close()


# ---- The store ------------------------------------------------------------------------------------------


class Store(Server):
    """Keys, conditions, watches and leases.  It loses nothing and has no faults of its own."""

    def __init__(self):
        self.items = {}
        self.history = []
        self.revision = 10
        self.leases = {}
        self.changed = None

    async def start(self):
        self.changed = asyncio.Event()
        await super().start()
        self.sweeper = asyncio.ensure_future(self._sweep())
        return self

    async def _sweep(self):
        while True:
            await asyncio.sleep(0.1)
            now = time.monotonic()
            for lease in [key for key, value in self.leases.items() if value[1] < now]:
                self._end_lease(lease)

    def _end_lease(self, lease):
        if self.leases.pop(lease, None) is not None:
            for key in [key for key, item in self.items.items() if item["lease"] == lease]:
                self.remove(key)

    def put(self, key, value, lease=0):
        self.revision += 1
        made = self.items[key]["made"] if key in self.items else self.revision
        item = {"tlsKey": key, "value": value, "revision": self.revision, "made": made, "lease": lease}
        self.items[key] = item
        self._note(item)

    def put_json(self, key, value):
        self.put(key, base64.b64encode(json.dumps(value).encode()).decode())

    def remove(self, key):
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self._note({"tlsKey": key, "revision": self.revision, "gone": True})

    def get(self, key):
        return base64.b64decode(self.items[key]["value"]) if key in self.items else None

    def _note(self, event):
        self.history.append(event)
        self.changed.set()
        self.changed = asyncio.Event()

    async def serve(self, reader, writer):
        while True:
            call = await read_message(reader)
            status, answer = await self._answer(call)
            body = json.dumps(answer).encode()
            writer.write(format_answer(status, [("Content-Type", "application/json")], body))
            await writer.drain()

    async def _answer(self, call):
        parts = urlsplit(call.target)
        query = {key: values[0] for key, values in parse_qs(parts.query).items()}
        path = parts.path
        if path == "/quinceroute/kv-key":
            item = self.items.get(query["tlsKey"])
            return (200, dict(item, at=self.revision)) if item else (404, {"at": self.revision})
        if path == "/quinceroute/kv-range":
            prefix, after = query.get("pathPrefix", ""), query.get("afterRev", "")
            keys = sorted(key for key in self.items if key.startswith(prefix) and key > after)
            items = [self.items[key] for key in keys[:500]]
            return 200, {"items": items, "more": len(keys) > 500, "at": self.revision}
        if path == "/quinceroute/kv-watch":
            return await self._watch(query)
        if path == "/quinceroute/kv-txn":
            return self._transact(json.loads(call.body))
        if path == "/quinceroute/kv-lease":
            ttl_ms = json.loads(call.body)["ttl_ms"]
            lease = len(self.history) + 1000 + len(self.leases) + self.revision * 1000
            self.leases[lease] = [ttl_ms, time.monotonic() + ttl_ms / 1000]
            return 200, {"lease": lease, "ttl_ms": ttl_ms}
        if path.startswith("/quinceroute/kv-keep/"):
            lease = self.leases.get(int(path.rsplit("/", 1)[1]))
            if lease is None:
                return 404, {}
            lease[1] = time.monotonic() + lease[0] / 1000
            return 200, {"ttl_ms": lease[0]}
        if path.startswith("/quinceroute/kv-lease-end/"):
            self._end_lease(int(path.rsplit("/", 1)[1]))
            return 200, {}
        return 404, {}

    async def _watch(self, query):
        prefix, after = query.get("pathPrefix", ""), int(query["afterRev"])
        end = time.monotonic() + int(query.get("waitMs", 0)) / 1000
        while True:
            events = [e for e in self.history if e["revision"] > after and e["tlsKey"].startswith(prefix)]
            left = end - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "at": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    def _transact(self, body):
        expected = body.get("expected", [])
        for row in expected:
            if self.items.get(row["tlsKey"], {"revision": 0})["revision"] != row["revision"]:
                keys = [row["tlsKey"] for row in expected]
                return 412, {"items": [self.items[key] for key in keys if key in self.items]}
        puts = body.get("put", [])
        if any(put.get("lease", 0) and put["lease"] not in self.leases for put in puts):
            return 404, {}
        for put in puts:
            self.put(put["tlsKey"], put["value"], put.get("lease", 0))
        for key in body.get("remove", []):
            self.remove(key)
        return 200, {"revision": self.revision}


# ---- Workers --------------------------------------------------------------------------------------------


class Worker(Server):
    """One worker.  handle(worker, request, writer) may be replaced by a test; the default runs the request
    for work_ms and answers with its id and signature."""

    def __init__(self, store, record, worker_id, service, slots=8, models=()):
        self.store = store
        self.record = record
        self.id = worker_id
        self.service = service
        self.slots = slots
        self.models = {name: 1 for name in models}
        self.orders = 0
        self.work_ms = 5
        self.runs = []  # (request id, target) of each run, in order of start
        self.handle = Worker.run
        self.beat = 0

    async def start(self):
        await super().start()
        self.write_entry()
        self.beater = asyncio.ensure_future(self._beat())
        return self

    def write_entry(self, state="ready"):
        self.beat += 1
        entry = {"service": self.service, "address": self.address, "zone": "za", "version": "v1",
                 "slots": self.slots, "state": state, "coldRemainingMs": 0, "seq": self.beat}
        if self.models:
            entry.update(stage="hybrid", models=self._list_models())
        self.store.put_json("servers/" + self.id, entry)

    def _list_models(self):
        return [{"name": name, "version": version, "adapters": []} for name, version in self.models.items()]

    async def _beat(self):
        while True:
            await asyncio.sleep(1.2)
            self.write_entry()

    def stamp(self, request_id):
        return "%s.%s.%d" % (self.id, request_id, len(self.runs))

    def answer_headers(self, request):
        request_id = request.get("Request-Id")
        return [("Request-Id", request_id)] if request_id is not None else []

    def begin_run(self, request):
        self.runs.append((request.get("Request-Id"), request.target))
        self.record("worker %s runs request=%s %s last-event=%s" % (
            self.id, request.get("Request-Id"), request.target, request.get("Last-Event-Id")))

    def refuse(self, request, status=503):
        self.record("worker %s refuses request=%s status=%d Not-Run" % (
            self.id, request.get("Request-Id"), status))
        return format_answer(status, self.answer_headers(request) + [("Not-Run", "1")])

    def answer(self, request, status=200, body=b"hello"):
        headers = self.answer_headers(request) + [("Server-Stamp", self.stamp(request.get("Request-Id")))]
        self.record("worker %s answers request=%s status=%d" % (self.id, request.get("Request-Id"), status))
        return format_answer(status, headers, body)

    async def run(self, request, writer):
        self.begin_run(request)
        await asyncio.sleep(self.work_ms / 1000)
        writer.write(self.answer(request))

    async def serve(self, reader, writer):
        while True:
            request = await read_message(reader)
            expected = request.get("Expect-Instance")
            if request.target == "/healthz":
                writer.write(format_answer(200, [("Instance-Id", self.id)]))
            elif expected is not None and expected != self.id:
                writer.write(format_answer(421, self.answer_headers(request) + [("Instance-Id", self.id)]))
            elif request.target == "/quinceroute/report":
                body = {"stage": "hybrid", "models": self._list_models(), "busy": False, "seq": self.orders,
                        "queuedRequests": 0, "running": 0, "kvUsed": 0, "kvTotal": 90000, "handles": 0}
                writer.write(format_answer(200, [("Content-Type", "application/json")],
                                           json.dumps(body).encode()))
            elif request.target == "/quinceroute/order":
                writer.write(format_answer(self._take_order(json.loads(request.body))))
            else:
                await self.handle(self, request, writer)
            await writer.drain()

    def _take_order(self, order):
        if order.get("expected", self.orders) != self.orders:
            return 409
        self.orders += 1
        self.models[order["model"]] = order["version"]
        self.write_entry()
        return 202

    # Streams: events are numbered from 1.

    def begin_stream(self, request, writer):
        headers = self.answer_headers(request) + [("Server-Stamp", self.stamp(request.get("Request-Id")))]
        headers += [("Content-Type", "text/event-stream"), ("Transfer-Encoding", "chunked")]
        headers += [("Weight-Versions", str(version)) for version in list(self.models.values())[:1]]
        head = ["HTTP/1.1 200 OK"] + ["%s: %s" % pair for pair in headers] + ["", ""]
        writer.write("\r\n".join(head).encode("latin-1"))

    @staticmethod
    def write_event(writer, number, data):
        event = ("id: %d\ndata: %s\n\n" % (number, data)).encode()
        writer.write(b"%x\r\n%s\r\n" % (len(event), event))

    async def stream(self, request, writer, events=6, gap_ms=20):
        first = int(request.get("Last-Event-Id") or 0) + 1
        self.begin_run(request)
        await asyncio.sleep(gap_ms / 1000)
        self.begin_stream(request, writer)
        for number in range(first, events + 1):
            await asyncio.sleep(gap_ms / 1000)
            self.write_event(writer, number, "%s-%d" % (request.get("Request-Id"), number))
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        self.record("worker %s ends the stream of request=%s" % (self.id, request.get("Request-Id")))


# ---- The processes --------------------------------------------------------------------------------------


def free_port():
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


def look_up(scopes, path):
    for scope in scopes:
        value, found = scope, True
        for part in path.split("."):
            if isinstance(value, list) and part.isdigit() and int(part) < len(value):
                value = value[int(part)]
            elif isinstance(value, dict) and part in value:
                value = value[part]
            else:
                found = False
                break
        if found:
            return value
    return None


def fill_template(text, scopes):
    """Fills a template of settings as DEPLOY.md says; only what this project's templates use."""
    section = re.compile(r"\{\{([#^])([^}]+)\}\}(.*?)\{\{/\2\}\}", re.S)

    def fill_section(match):
        kind, name, inner = match.groups()
        value = look_up(scopes, name)
        if kind == "^":
            return fill_template(inner, scopes) if value in (None, False, [], {}) else ""
        if value in (None, False, [], {}):
            return ""
        if not isinstance(value, (list, dict)):
            return fill_template(inner, scopes)
        pairs = list(value.items() if isinstance(value, dict) else enumerate(value))
        return "".join(fill_template(inner.replace("{{@}}", str(key)).replace("{{.}}", str(entry)).replace(
            "{{,}}", "," if i + 1 < len(pairs) else ""), [entry] + scopes)
            for i, (key, entry) in enumerate(pairs))

    text = section.sub(fill_section, text)

    def fill_value(match):
        value = look_up(scopes, match.group(1))
        if value is None:
            return ""
        if isinstance(value, bool):
            return "true" if value else "false"
        return ",".join(map(str, value)) if isinstance(value, list) else str(value)

    return re.sub(r"\{\{([^}#^/]+)\}\}", fill_value, text)


class Process:
    def __init__(self, deployment, name, role, fields):
        self.deployment = deployment
        self.name = name
        self.role = role
        self.fields = fields
        self.process = None
        self.metrics_port = free_port()
        self.ends = []  # exit statuses of ends that the test didn't bring about
        self.ended_by_test = False

    def start(self):
        deployment = self.deployment
        with open(os.path.join(ROOT, "deploy", self.role + ".ini"), encoding="utf-8") as template:
            settings = fill_template(template.read(), [self.fields])
        # The templates give the metrics a fixed port; here all processes share an address.
        settings = settings.replace("127.0.0.1:9464", "127.0.0.1:%d" % self.metrics_port)
        path = os.path.join(deployment.folder, self.name + ".ini")
        with open(path, "w", encoding="utf-8") as file:
            file.write(settings)
        self.log = os.path.join(deployment.folder, self.name + ".log")
        with open(self.log, "ab") as log:
            self.process = subprocess.Popen([deployment.programs[self.role], "-c", path], cwd=ROOT,
                                            stdin=subprocess.DEVNULL, stdout=log, stderr=log)
        deployment.record("process %s started pid=%d" % (self.name, self.process.pid))

    def check(self):
        """Notes an end of the process that the test didn't bring about.  Returns whether it runs."""
        status = self.process.poll()
        if status is None:
            return True
        if not self.ended_by_test:
            self.ends.append(status)
            self.deployment.record.say("process %s ended by itself, status %d" % (self.name, status))
            self.ended_by_test = True
        return False

    def kill(self):
        self.ended_by_test = True
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()


class Deployment:
    """Fronts and replicas with the settings of a small deployment."""

    def __init__(self, record, store):
        self.record = record
        self.store = store
        self.folder = tempfile.mkdtemp(prefix="quinceroute-review-")
        self.processes = []
        self.programs = {role: self._find_program("quinceroute-" + role) for role in ("front", "replica")}

    @staticmethod
    def _find_program(name):
        folders = [os.environ.get("QUINCE_BUILD", ""), os.path.join(ROOT, "target"), os.path.join(ROOT, "build")]
        for folder in folders:
            path = os.path.join(folder, "daemons", name)
            if folder and os.access(path, os.X_OK):
                return path
        raise CannotRun("%s is not built: run 'make build' first" % name)

    def _fields(self, name, bootstrap):
        ports = {key: "127.0.0.1:%d" % free_port() for key in ("front", "ready", "control", "directory")}
        return {"node": name, "ip": "127.0.0.1", "zone": "za", "region": "ra", "zones": {"za": "ra"},
                "listen": ports, "internalPorts": [free_port()], "bootstrap": bootstrap,
                "dataDir": os.path.join(self.folder, name + "-data"),
                "faultTolerance": {"machines": 1, "zones": 0, "regions": 0},
                "bounds": {"drainMs": 2000, "graceS": 8, "configApplyMs": 2000, "statusIntervalS": 120,
                           "leaseMs": 3000},
                "platform": {"address": self.store.address}}

    def add(self, role, name):
        fields = self._fields(name, True)
        os.makedirs(fields["dataDir"], exist_ok=True)
        process = Process(self, name, role, fields)
        self.processes.append(process)
        return process

    def start(self):
        for process in self.processes:
            process.start()

    def check(self):
        return all([process.check() for process in self.processes])

    def close(self):
        for process in self.processes:
            process.kill()
        if os.environ.get("KEEP") != "1":
            shutil.rmtree(self.folder, ignore_errors=True)


async def ask(address, data, timeout):
    """One call on a fresh connection.  Returns the answer, or None without a whole one in time."""
    host, port = address.rsplit(":", 1)
    writer = None
    try:
        async def exchange():
            nonlocal writer
            reader, writer = await asyncio.open_connection(host, int(port), limit=1 << 26)
            writer.write(data)
            return await read_message(reader)
        return await asyncio.wait_for(exchange(), timeout)
    except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError, ValueError):
        return None
    finally:
        if writer is not None:
            writer.close()


async def await_ready(deployment, fronts, timeout=20):
    end = time.monotonic() + timeout
    waiting = list(fronts)
    while waiting:
        if time.monotonic() > end or not deployment.check():
            raise CannotRun("%s did not become ready" % ", ".join(front.name for front in waiting))
        await asyncio.sleep(0.2)
        for front in list(waiting):
            answer = await ask(front.fields["listen"]["ready"], format_request("GET", "/quinceroute/readyz"), 1)
            if answer is not None and answer.status == 200:
                waiting.remove(front)
    deployment.record("fronts are ready")


async def await_in_touch(deployment):
    """RULES, "In touch": contactMs without the start of a process or any other disruption."""
    await asyncio.sleep(CONTACT_S + 0.5)
    if not deployment.check():
        raise CannotRun("a process ended before the case began")
    deployment.record("all machines are in touch")


def run_case(folder, case, timeout=110):
    """Runs case(record), which returns whether the rule held, and exits with 0, 1 or 2."""
    record = Record(folder)
    record.say("trouble: %s" % ("yes" if TROUBLE else "no"))
    status = 2

    async def run():
        # An early end, too, ends the processes that the case started.
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, asyncio.current_task().cancel)
        # Connections that are still open at the end are reported here.
        loop.set_exception_handler(lambda _, context: record("stand-in: %s" % context.get("message")))
        return await asyncio.wait_for(case(record), timeout)

    try:
        status = 0 if asyncio.run(run()) else 1
    except CannotRun as error:
        record.say("cannot run: %s" % error)
    except (asyncio.TimeoutError, asyncio.CancelledError):
        record.say("cannot run: out of time or ended")
    record.say({0: "the rule held", 1: "the rule was broken", 2: "no result"}[status])
    sys.exit(status)
