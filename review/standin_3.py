"""Small stand-ins of the platform for the scripts of this review: the store,
runners and the advice service, each on a loopback address of its own.

They do what PROTOCOL.md says, and nothing beyond it: the store is linearizable
and answers after 4 ms; runners lease, run, stop and list tasks; the advice
service handles one call at a time. All addresses are 127.0.0.1 with free ports.
"""

import base64
import http.client
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from urllib.parse import parse_qs, urlsplit

REPOSITORY = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
STORE_DELAY_S = 0.004
HEARTBEAT_S = 1.5
HOLD_MAX_MS = 10000
LIMIT_S = 116


def free_port():
    with socket.socket() as s:
        s.bind(("127.0.0.1", 0))
        return s.getsockname()[1]


class Record:
    """What was sent, answered and run, one line each, with the time in s."""

    def __init__(self, path):
        self.file = open(path, "w")
        self.began = time.monotonic()
        self.lock = threading.Lock()

    def now(self):
        return time.monotonic() - self.began

    def __call__(self, text):
        with self.lock:
            self.file.write("%8.3f  %s\n" % (self.now(), text))
            self.file.flush()


class Server(ThreadingHTTPServer):
    daemon_threads = True
    allow_reuse_address = True
    request_queue_size = 128

    def handle_error(self, request, client_address):
        pass


def serve(handle):
    """Serves `handle(method, path, headers, body) -> (status, json)` on a free
    port; the request is left without an answer if it returns None."""

    class Handler(BaseHTTPRequestHandler):
        protocol_version = "HTTP/1.1"

        def log_message(self, *args):
            pass

        def setup(self):
            super().setup()
            self.connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

        def any(self):
            body = self.rfile.read(int(self.headers.get("Content-Length") or 0))
            answer = handle(self.command, self.path, self.headers, body)
            if answer is None:
                self.close_connection = True
                return
            status, value = answer
            data = b"" if value is None else json.dumps(value).encode()
            head = ("HTTP/1.1 %d X\r\nContent-Type: application/json\r\n"
                    "Content-Length: %d\r\n\r\n" % (status, len(data)))
            self.wfile.write(head.encode() + data)

        do_GET = do_POST = do_PUT = do_DELETE = any

    server = Server(("127.0.0.1", 0), Handler)
    threading.Thread(target=server.serve_forever, daemon=True,
                     kwargs={"poll_interval": 0.05}).start()
    return server, "127.0.0.1:%d" % server.server_address[1]


class Store:
    def __init__(self):
        self.lock = threading.Condition()
        self.rows = {}  # (table, part, key) -> (value, ver)
        self.history = []  # (ver, table, part, key, value or None)
        self.ver = 0
        self.server, self.address = serve(self.handle)

    def now_ms(self):
        return int(time.monotonic() * 1000)

    def write(self, puts, removes):
        """Precondition: the lock is held."""
        self.ver += 1
        for table, part, key, value in puts:
            self.rows[(table, part, key)] = (value, self.ver)
            self.history.append((self.ver, table, part, key, value))
        for table, part, key in removes:
            if self.rows.pop((table, part, key), None) is not None:
                self.history.append((self.ver, table, part, key, None))
        self.lock.notify_all()

    def put(self, table, key, value):
        text = base64.b64encode(json.dumps(value).encode()).decode()
        with self.lock:
            self.write([(table, "", key, text)], [])

    def remove(self, table, key):
        with self.lock:
            self.write([], [(table, "", key)])

    def handle(self, method, path, headers, body):
        url = urlsplit(path)
        query = {k: v[0] for k, v in parse_qs(url.query, keep_blank_values=True).items()}
        if url.path == "/v1/rows-feed":
            return self.feed(query)
        time.sleep(STORE_DELAY_S)
        if url.path == "/v1/rows-get":
            return self.get(query)
        if url.path == "/v1/rows-tx":
            return self.transaction(json.loads(body))
        return 404, None

    def get(self, query):
        table, part = query["table"], query.get("part", "")
        first, end = query.get("from", ""), query.get("target-version")
        limit = min(int(query.get("limit", 500)), 500)
        with self.lock:
            keys = sorted(k for t, p, k in self.rows
                          if t == table and p == part and k >= first
                          and (not end or k < end))
            rows = [{"table": table, "part": part, "key": k,
                     "value": self.rows[(table, part, k)][0],
                     "ver": self.rows[(table, part, k)][1]} for k in keys[:limit]]
            return 200, {"rows": rows, "more": len(keys) > limit, "ver": self.ver,
                         "now_ms": self.now_ms()}

    def transaction(self, tx):
        def name(row):
            return row["table"], row.get("part", ""), row["key"]

        with self.lock:
            conditions = tx.get("expected-rev") or []
            if any(self.rows.get(name(r), ("", 0))[1] != r["ver"] for r in conditions):
                rows = []
                for r in conditions:
                    value, ver = self.rows.get(name(r), ("", 0))
                    rows.append({"table": r["table"], "part": r.get("part", ""),
                                 "key": r["key"], "value": value, "ver": ver})
                return 412, {"rows": rows, "ver": self.ver, "now_ms": self.now_ms()}
            self.write([name(r) + (r["value"],) for r in tx.get("put") or []],
                       [name(r) for r in tx.get("remove") or []])
            return 200, {"ver": self.ver, "now_ms": self.now_ms()}

    def feed(self, query):
        table, after = query["table"], int(query["after"])
        until = time.monotonic() + min(int(query.get("wait-ms", 0)), 30000) / 1000

        def changes():
            # Newest first, so that a long history costs nothing.
            found = []
            for entry in reversed(self.history):
                if entry[0] <= after:
                    break
                if entry[1] == table:
                    found.append(entry)
            return found[::-1]

        with self.lock:
            found = changes()
            while not found and time.monotonic() < until:
                self.lock.wait(until - time.monotonic())
                found = changes()
            # Whole transactions, 500 rows or a little more.
            newest = self.ver
            if len(found) > 500:
                newest = found[499][0]
                found = [e for e in found if e[0] <= newest]
            rows = []
            for ver, table, part, key, value in found:
                row = {"table": table, "part": part, "key": key, "ver": ver}
                row.update({"gone": True} if value is None else {"value": value})
                rows.append(row)
            return 200, {"rows": rows, "ver": newest, "now_ms": self.now_ms()}


class Runner:
    """One life of a runner. Tasks tell by their `spec`, as JSON, how long they
    work; those that last never end by themselves."""

    def __init__(self, platform, name, zone, labels, room):
        self.platform, self.id = platform, name
        self.zone, self.labels, self.room = zone, labels, room
        self.lock = threading.Condition()
        self.began = time.monotonic()
        self.alive = True
        self.busy = False  # answers 503 to starts, having done nothing
        self.fence = 0
        self.until = 0
        self.running = {}  # task -> [run, end of its work or None, need, stopping, began]
        self.highest = {}  # task -> highest run that was stopped or ended
        self.ended = []
        self.number = 0
        self.server, self.address = serve(self.handle)
        threading.Thread(target=self.work, daemon=True).start()
        threading.Thread(target=self.beat, daemon=True).start()

    def clock(self):
        return int((time.monotonic() - self.began) * 1000)

    def entry(self, seq):
        return {"service": "matreg", "addr": self.address, "zone": self.zone,
                "version": "v1", "slots": 8, "state": "ready", "cold-left-ms": 0,
                "room": self.room, "labels": self.labels, "seq": seq}

    def beat(self):
        seq = 0
        while self.alive:
            seq += 1
            self.platform.store.put("servers", self.id, self.entry(seq))
            time.sleep(HEARTBEAT_S)

    def end(self, task, how):
        """Precondition: the lock is held."""
        run = self.running.pop(task)[0]
        self.highest[task] = max(self.highest.get(task, 0), run)
        self.number += 1
        self.ended.append([self.number, task, run, how, ""])
        self.platform.record("runner %s: %s run %d ended %s" % (self.id, task, run, how))
        self.lock.notify_all()

    def work(self):
        while self.alive:
            time.sleep(0.01)
            with self.lock:
                now = time.monotonic()
                for task, run in list(self.running.items()):
                    if self.until and self.clock() >= self.until:
                        self.end(task, "lapsed")
                    elif run[3] and now >= run[3]:
                        self.end(task, "stopped")
                    elif run[1] and now >= run[1]:
                        self.end(task, "done")

    def used(self, what):
        return sum(run[2].get(what, 0) for run in self.running.values())

    def handle(self, method, path, headers, body):
        if not self.alive:
            return None
        meant = headers.get("X-Limeledge-Expect-Instance")
        if meant and meant != self.id:
            return 421, None
        return self.carry_out(path, json.loads(body))

    def carry_out(self, path, call):
        with self.lock:
            if not self.alive:
                return None
            if self.busy and path == "/v1/run-start":
                self.platform.record("runner %s: start of %s run %d answered 503"
                                     % (self.id, call["task"], call["run"]))
                return 503, None
            if call.get("fence", 0) < self.fence:
                return 409, {"clock-ms": self.clock(), "reason": "fence"}
            self.fence = call.get("fence", 0)
            if call.get("until-ms"):
                self.until = max(self.until, min(call["until-ms"],
                                                 self.clock() + HOLD_MAX_MS))
            if path == "/v1/run-start":
                return self.start(call)
            if path == "/v1/run-stop":
                return self.stop(call)
            if path == "/v1/hold":
                return self.hold(call)
        return 404, None

    def reject(self, reason):
        return 409, {"clock-ms": self.clock(), "reason": reason}

    def start(self, call):
        task, run = call["task"], call["run"]
        known = self.running.get(task)
        if known and known[0] == run:
            return 200, {"clock-ms": self.clock()}
        if known or run <= self.highest.get(task, 0):
            return self.reject("old")
        if self.until <= self.clock():
            return self.reject("late")
        advice = self.platform.advice
        if advice and not advice.accepts(task, self.id, call.get("ticket")):
            return self.reject("ticket")
        need = self.platform.need_of(task)
        if any(self.used(k) + need.get(k, 0) > self.room[k] for k in self.room):
            return self.reject("room")
        work_ms = json.loads(call["spec"]).get("work_ms")
        ends = time.monotonic() + work_ms / 1000 if work_ms else None
        self.running[task] = [run, ends, need, None, time.monotonic()]
        self.platform.starts.append((time.monotonic(), task, run, self.id))
        self.platform.record("runner %s starts %s run %d" % (self.id, task, run))
        return 200, {"clock-ms": self.clock()}

    def stop(self, call):
        task, run = call["task"], call["run"]
        known = self.running.get(task)
        if known and known[0] <= run:
            if not known[3]:
                known[3] = time.monotonic() + 0.1
        self.highest[task] = max(self.highest.get(task, 0), run)
        return 200, {"clock-ms": self.clock()}

    def percent(self, run):
        if run[1] is None:
            return 100
        share = (time.monotonic() - run[4]) / (run[1] - run[4])
        return max(0, min(99, int(100 * share)))

    def hold(self, call):
        seen = call.get("last-seen", 0)
        self.ended = [e for e in self.ended if e[0] > seen]
        until = time.monotonic() + min(call.get("wait-ms", 0), 2000) / 1000
        while self.alive and not self.ended and time.monotonic() < until:
            self.lock.wait(until - time.monotonic())
        if not self.alive:
            return None
        running = [[t, r[0], "", self.percent(r), 0] for t, r in self.running.items()]
        return 200, {"clock-ms": self.clock(), "running": running,
                     "ended": self.ended[:500]}


class Advice:
    """Handles one call at a time; every runner may run every step."""

    def __init__(self, platform, decide_ms, each_ms, valid_ms):
        self.platform = platform
        self.times = decide_ms, each_ms, valid_ms
        self.turn = threading.Lock()
        self.valid = {}  # (step, runner, ticket) -> until
        self.calls = 0
        self.server, self.address = serve(self.handle)

    def handle(self, method, path, headers, body):
        call = json.loads(body)
        decide_ms, each_ms, valid_ms = self.times
        with self.turn:
            self.calls += 1
            time.sleep((decide_ms + each_ms * len(call["workers"])) / 1000)
        good = []
        for runner in call["workers"]:
            ticket = "t-%d-%s" % (self.calls, runner)
            self.valid[(call["step"], runner, ticket)] = time.monotonic() + valid_ms / 1000
            good.append([runner, ticket])
        self.platform.record("advice: %s asked about %d runners, %s first"
                             % (call["step"], len(call["workers"]), call["workers"][0]))
        return 200, {"good": good, "valid_ms": valid_ms}

    def accepts(self, task, runner, ticket):
        until = self.valid.get((task.rsplit(".", 1)[0], runner, ticket))
        return until is not None and time.monotonic() < until


class Platform:
    """The store, the runners, and nodes of the system as processes."""

    def __init__(self, folder, record):
        self.folder, self.record = folder, record
        self.store = Store()
        self.runners = []
        self.advice = None
        self.steps = {}  # job -> steps, as submitted
        self.starts = []  # (time, task, run, runner)
        self.nodes = {}
        self.settings = {}
        self.fronts = {}

    def add_runners(self, count, room, labels=lambda i: ["a", "r1-%d" % (i // 8)]):
        for i in range(count):
            self.runners.append(Runner(self, "i-%08x" % (0xa0000000 + i),
                                       "kengarags", labels(i), room))

    def configure(self, routes):
        services = [{"name": "matreg", "health-path": "/healthz", "max-conns": 64,
                     "enforces-capacity": True}]
        tenants = [{"name": "city", "api-keys": ["city-key"], "guaranteed": {"gpu": 16}},
                   {"name": "roads", "api-keys": ["roads-key"], "guaranteed": {"gpu": 0}}]
        self.store.put("op", "config", {"version": 1, "routes": routes,
                                        "services": services, "tenants": tenants,
                                        "limits": {}})

    def need_of(self, task):
        job, _, step, _ = task.split(".")
        spec = self.steps[job][int(step)]
        need = {k: spec.get(k, 0) for k in ("cpu", "mem-mb", "gpu")}
        if spec.get("fills"):
            need["cpu"] = 0
        return need

    def add_node(self, name):
        self.fronts[name] = "127.0.0.1:%d" % free_port()
        lines = ['node: "%s"' % name, 'role: "dispatcher"', 'class: "edge"',
                 'serves: ["edge"]', 'ip: "127.0.0.1"', 'zone: "kengarags"',
                 'listen:', '  front: "%s"' % self.fronts[name],
                 '  ready: "127.0.0.1:%d"' % free_port(),
                 '  control: "127.0.0.1:%d"' % free_port(),
                 'limits: {cpu-share: 0.25, cores: 1, memory-mb: 260, max-fds: 4100}',
                 'bounds: {contact-ms: 3000, ack-ms: 4000, grace-s: 6, hold-max-ms: %d}'
                 % HOLD_MAX_MS,
                 'orders: "call"', 'heartbeat-ms: 1500',
                 'platform: {addr: "%s", form: "table", row_bytes: 65536}'
                 % self.store.address]
        if self.advice:
            lines.append('advice: "%s"' % self.advice.address)
        self.settings[name] = os.path.join(self.folder, name + ".yaml")
        with open(self.settings[name], "w") as file:
            file.write("\n".join(lines) + "\n")
        self.start_node(name)

    def start_node(self, name):
        log = open(os.path.join(self.folder, name + ".log"), "ab")
        self.nodes[name] = subprocess.Popen(
            [os.path.join(REPOSITORY, "target", "limeledge-node")],
            env={"LIMELEDGE_SETTINGS": self.settings[name], "PATH": os.environ["PATH"]},
            stdout=log, stderr=log, cwd=REPOSITORY)
        self.record("node %s starts" % name)

    def call(self, node, method, path, body=None, host="city.example", key="city-key",
             deadline_ms=3000):
        data = None if body is None else json.dumps(body)
        headers = {"Host": host, "Authorization": "Bearer " + key,
                   "X-Limeledge-Deadline-Ms": str(deadline_ms)}
        status, text = 0, ""
        try:
            connection = http.client.HTTPConnection(self.fronts[node], timeout=5)
            connection.request(method, path, body=data, headers=headers)
            answer = connection.getresponse()
            status, text = answer.status, answer.read().decode()
            connection.close()
        except OSError as error:
            text = str(error)
        self.record("%s %s at %s: %d %s" % (method, path, node, status, text[:100]))
        return status, text

    def submit(self, node, path, job, steps, work_ms=None, key="city-key"):
        self.steps[job] = steps
        spec = json.dumps({"work_ms": work_ms} if work_ms else {})
        return self.call(node, "POST", path + job, {"spec": spec, "steps": steps}, key=key)

    def started(self, job):
        return [s for s in self.starts if s[1].startswith(job + ".")]

    def wait_until_serving(self, node, path):
        for _ in range(150):
            status, _ = self.call(node, "GET", path)
            if status == 200:
                return True
            time.sleep(0.1)
        return False

    def finish(self):
        for process in self.nodes.values():
            if process.poll() is None:
                process.kill()
            process.wait()


def route(name, prefix, priority, **more):
    entry = {"name": name, "host": "city.example", "path-prefix": prefix,
             "type": "non_idempotent", "timeout-ms": 3000, "slo-ms": 1000,
             "priority": priority, "service": "matreg", "attempts": 4,
             "stretch": 3.0, "public": False}
    entry.update(more)
    return entry


def main(case):
    """Runs `case(platform, trouble) -> verdict`: True if the rule held, False if
    it was broken, None if the case couldn't run. Ends the process."""
    folder = os.path.dirname(os.path.abspath(sys.argv[0]))
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(os.path.join(folder, "record.txt"))
    with tempfile.TemporaryDirectory() as temporary:
        platform = Platform(temporary, record)

        def give_up(*_):
            record("verdict: the case took too long")
            platform.finish()
            os._exit(2)

        signal.signal(signal.SIGTERM, give_up)
        limit = threading.Timer(LIMIT_S, give_up)
        limit.daemon = True
        limit.start()
        verdict = None
        try:
            verdict = case(platform, trouble)
        except Exception as error:
            record("%s: %s" % (type(error).__name__, error))
        finally:
            platform.finish()
    words = {True: "the rule held", False: "the rule was broken", None: "the case couldn't run"}
    record("verdict: " + words[verdict])
    print(words[verdict], flush=True)
    os._exit({True: 0, False: 1, None: 2}[verdict])
