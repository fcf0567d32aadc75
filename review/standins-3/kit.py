"""Stand-ins of this review: discovery, endpoints, clients, and the starting and ending of sidecars.

Only the standard library. Everything listens on 127.0.0.1, on ports that the system gives. All stand-ins run in one
process, on one event loop; the sidecars are processes of their own, started by the `run` line of deploy/balancer.toml.
"""

import asyncio
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
RUN = tomllib.load(open(os.path.join(ROOT, "deploy/balancer.toml"), "rb"))["run"]
MS = 1_000_000


class CantRun(Exception):
    """The case could not be played; nothing is said of the rule."""


def free_port(kind=socket.SOCK_STREAM):
    with socket.socket(socket.AF_INET, kind) as s:
        s.bind(("127.0.0.1", 0))
        return s.getsockname()[1]


def free_ports(count, kind=socket.SOCK_STREAM):
    held = [socket.socket(socket.AF_INET, kind) for _ in range(count)]
    for s in held:
        s.bind(("127.0.0.1", 0))
    ports = [s.getsockname()[1] for s in held]
    for s in held:
        s.close()
    return ports


class Record:
    """What was sent, answered and run, a line each, with seconds since the start."""

    def __init__(self, path):
        self.file, self.started = open(path, "w"), time.monotonic()

    def now(self):
        return time.monotonic() - self.started

    def note(self, text):
        self.file.write(f"{self.now():8.3f} {text}\n")
        self.file.flush()


async def read_head(reader):
    """The first line and the headers of a message; none at the end of the stream."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
        return None
    lines = raw.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers):
    if "chunked" in headers.get("transfer-encoding", ""):
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            body += (await reader.readexactly(size + 2))[:-2]
            if size == 0:
                return body
    return await reader.readexactly(int(headers.get("content-length", 0)))


def answer(status, body=b"", extra=""):
    return f"HTTP/1.1 {status}\r\nContent-Length: {len(body)}\r\n{extra}\r\n".encode() + body


class Endpoint:
    """A sound server: it runs each command for `work` seconds and answers 200 with what names the command. `work` may be
    changed by path. Keeps what it has run: id, path, begin, end."""

    def __init__(self, record, name, work=0.02):
        self.record, self.name, self.work, self.works = record, name, work, {}
        self.runs, self.open, self.up_since_ms, self.phase = [], {}, 0, "up"
        self.zone, self.kind, self.cell, self.connections = "a", "plain", 0, set()
        self.address = None

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0, limit=1 << 20)
        self.address = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]
        return self

    def entry(self):
        return {"id": self.name, "host_port": self.address, "locality": self.zone, "flavor": self.kind, "cell": self.cell,
                "phase": self.phase, "size": 1.0, "up_since_ms": self.up_since_ms}

    def report(self):
        n = len(self.open)
        return f"Srv-Load: TEXT inflight={n}, queue=0, util={min(1.0, n / 8):.2f}\r\n"

    async def serve(self, reader, writer):
        self.connections.add(writer)
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    return
                first, headers = head
                method, path, _ = first.split(" ", 2)
                body = await read_body(reader, headers)
                if path in ("/healthz", "/load"):
                    writer.write(answer("200 OK", self.report()[10:-2].encode() if path == "/load" else b"", self.report()))
                    await writer.drain()
                    continue
                id = headers.get("req-id", "?")
                run = {"id": id, "path": path, "begin": self.record.now(), "end": None, "bytes": len(body)}
                self.runs.append(run)
                self.open[id] = run
                self.record.note(f"run    {self.name} begins {method} {path} id={id}")
                try:
                    await asyncio.sleep(self.works.get(path.split("/")[1], self.work))
                finally:
                    run["end"] = self.record.now()
                    self.open.pop(id, None)
                self.record.note(f"run    {self.name} ends {path} id={id}")
                writer.write(answer("200 OK", f"{id} by {self.name}".encode(), self.report()))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()


class Discovery:
    """Discovery as the protocol page says it: the whole list, and watches that wait for what is newer."""

    def __init__(self, record, endpoints):
        self.record, self.endpoints, self.revision = record, endpoints, 1
        self.changed_at = {e.name: 1 for e in endpoints}
        self.event = asyncio.Event()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]
        return self

    def tell(self, endpoint, **changes):
        for name, value in changes.items():
            setattr(endpoint, name, value)
        self.revision += 1
        self.changed_at[endpoint.name] = self.revision
        self.record.note(f"list   {endpoint.name} {changes}")
        self.event.set()
        self.event = asyncio.Event()

    def whole(self):
        return {"revision": self.revision, "complete": True,
                "members": [e.entry() for e in self.endpoints if e.phase != "removed"]}

    async def serve(self, reader, writer):
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    return
                _, path, _ = head[0].split(" ", 2)
                query = dict(p.split("=") for p in path.partition("?")[2].split("&") if "=" in p)
                if "from" not in query:
                    list_ = self.whole()
                else:
                    since, until = int(query["from"]), time.monotonic() + int(query["hold_ms"]) / 1000
                    while self.revision <= since and time.monotonic() < until:
                        try:
                            await asyncio.wait_for(self.event.wait(), max(0.001, until - time.monotonic()))
                        except asyncio.TimeoutError:
                            pass
                    list_ = {"revision": self.revision, "complete": False,
                             "members": [e.entry() for e in self.endpoints if self.changed_at[e.name] > since]}
                writer.write(answer("200 OK", json.dumps(list_).encode(), "Content-Type: application/json\r\n"))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()


def verb(name, effect, goal_ms=400, limit_ms=1000, **more):
    return {"name": name, "effect": effect, "key_scope": "all", "late_utility": 0.0, "response_goal": goal_ms * MS,
            "time_limit": limit_ms * MS, "utility": 1.0, "window": 0, "stream": False, **more}


def settings(verbs, **more):
    """Settings like those of a small deployment: the sample of `passroad-rig sample`, with these verbs."""
    base = {
        "allowed": {"connect_timeout": 250 * MS, "idle_close": 30_000 * MS, "max_relays": 4, "max_retry_after": 1500 * MS,
                    "may_cancel": True, "may_tell": True, "probes": True, "retry_after": True, "second_copies": True,
                    "streams_per_conn": 1},
        "az": "a", "dcs": ["a", "b"], "discovery": "on_request", "goal": {"whole": 1.0, "worst_class": 0.0},
        "kinds": [], "prices": {"cross_zone": 0.005, "handshake": 0.0, "probe": 0.002}, "report": {"how": "piggyback"},
        "rules": {"ask_every": 10_000 * MS, "cold_from": 0.13, "drain_grace": 500 * MS, "tip_after": 2000 * MS,
                  "tip_multiple": 2.5, "warm_within": 0},
        "surplus_utility": 0.5, "tenants": [], "tick": 1 * MS, "verbs": verbs, "weights": "nominal",
    }
    base.update(more)
    return base


class Sidecar:
    """A process of the sidecar, started by the deploy file's `run` from the root of the repository."""

    def __init__(self, play, number, config, fleet=None, folder=None, routes=None):
        self.play, self.number, self.config, self.fleet, self.routes = play, number, config, fleet, routes
        self.folder = folder or tempfile.mkdtemp(prefix=f"s{number}-", dir=play.folder)
        self.listen, self.management = config["listen"], config.get("management")
        self.process = None

    def start(self):
        path = os.path.join(self.folder, f"config-{time.monotonic_ns()}.json")
        self.config_path = path
        with open(path, "w") as f:
            json.dump(self.config, f)
        env = {**os.environ, "LB_CONFIG": path, "TMPDIR": self.folder, "RUST_LOG": os.environ.get("RUST_LOG", "info")}
        for name in ("LB_FLEET", "LB_ROUTES", "LB_MANAGEMENT", "LB_LISTEN", "LB_DISCOVERY", "LB_NAME"):
            env.pop(name, None)
        if self.fleet:
            env["LB_FLEET"] = self.fleet
        if self.routes:
            env["LB_ROUTES"] = self.routes
        self.log_path = os.path.join(self.folder, f"log-{time.monotonic_ns()}")
        self.process = subprocess.Popen(["/bin/sh", "-c", RUN], cwd=ROOT, env=env, stdin=subprocess.DEVNULL,
                                        stdout=subprocess.DEVNULL, stderr=open(self.log_path, "w"))
        self.play.processes.append(self.process)
        self.play.record.note(f"start  sidecar {self.number}")
        return self

    def signal(self, number):
        self.play.record.note(f"signal {signal.Signals(number).name} to sidecar {self.number}")
        self.process.send_signal(number)

    def kill(self):
        self.signal(signal.SIGKILL)
        self.process.wait()

    async def ready(self, seconds=20):
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            if self.process.poll() is not None:
                raise CantRun(f"sidecar {self.number} ended: {open(self.log_path).read()[-400:]}")
            status, _ = await self.play.call(self.listen, "GET", "/healthz", timeout=1)
            if status == 200:
                if not self.management or (await self.play.call(self.management, "GET", "/admin/health", timeout=1))[0] == 200:
                    return self
            await asyncio.sleep(0.05)
        raise CantRun(f"sidecar {self.number} is not ready: {open(self.log_path).read()[-400:]}")

    async def ended(self, seconds):
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            if self.process.poll() is not None:
                return True
            await asyncio.sleep(0.02)
        return False

    async def manage(self, method, path, body=None, timeout=3):
        return await self.play.call(self.management, method, path, body, timeout)

    async def work(self):
        """The order of work as this sidecar tells it to operators: informed or not, and the state of each machine."""
        status, body = await self.manage("GET", "/admin/work")
        if status != 200:
            return None, {}
        page = json.loads(body)
        return page["informed"], {entry["machine"]: entry["state"] for entry in page["order"]}


class Kept:
    """A connection of the application that it keeps, with one command at a time."""

    def __init__(self, play, sidecar):
        self.play, self.sidecar = play, sidecar

    async def open(self):
        host, port = self.sidecar.listen.split(":")
        self.reader, self.writer = await asyncio.open_connection(host, int(port))
        return self

    async def command(self, method, path, deadline_ms=1000, extra="", body=b""):
        """Its id, its status (0: no whole answer), the body, and whether the sidecar ends the connection with it."""
        self.play.ids += 1
        id = f"k{self.play.ids:07x}"
        head = f"{method} {path} HTTP/1.1\r\nHost: backend.local\r\nReq-Id: {id}\r\nReq-Deadline-Ms: {deadline_ms}\r\n{extra}"
        if method != "GET":
            head += f"Content-Length: {len(body)}\r\n"
        self.play.record.note(f"send   {id} {method} {path} by sidecar {self.sidecar.number}, kept connection")
        status, got, closes = 0, b"", True
        try:
            async with asyncio.timeout(deadline_ms / 1000 + 0.5):
                self.writer.write((head + "\r\n").encode() + body)
                await self.writer.drain()
                answer_head = await read_head(self.reader)
                if answer_head:
                    got = await read_body(self.reader, answer_head[1])
                    status = int(answer_head[0].split(" ")[1])
                    closes = answer_head[1].get("connection", "").lower() == "close"
        except (ConnectionError, OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            pass
        self.play.record.note(f"answer {id} {status} {got[:60].decode('latin-1')}")
        return id, status, got, closes

    def close(self):
        self.writer.close()


class Play:
    """One run of a case: its record, its folder and its processes, which all end with it."""

    def __init__(self, folder):
        self.record = Record(os.path.join(folder, "record.txt"))
        self.folder = tempfile.mkdtemp(prefix="passroad-case-")
        self.processes, self.tasks, self.ids = [], [], 0
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.record.note("trouble: " + ("yes" if self.trouble else "no"))

    async def call(self, address, method, path, body=None, timeout=3):
        """One call on a connection of its own. Status 0 where there was no whole answer."""
        data = b"" if body is None else json.dumps(body).encode()
        head = f"{method} {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\nContent-Length: {len(data)}\r\n\r\n"
        if method == "GET" and body is None:
            head = f"{method} {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"
        return await self.exchange(address, head.encode() + data, timeout)

    async def exchange(self, address, raw, timeout):
        writer = None
        try:
            async with asyncio.timeout(timeout):
                host, port = address.split(":")
                reader, writer = await asyncio.open_connection(host, int(port))
                writer.write(raw)
                await writer.drain()
                head = await read_head(reader)
                if head is None:
                    return 0, b""
                return int(head[0].split(" ")[1]), await read_body(reader, head[1])
        except (ConnectionError, OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            return 0, b""
        finally:
            if writer:
                writer.close()

    async def command(self, sidecar, method, path, deadline_ms=1000, id=None, extra="", body=b""):
        """A command of the application beside this sidecar; returns its id, status, body and time."""
        if id is None:
            self.ids += 1
            id = f"c{self.ids:07x}"
        head = f"{method} {path} HTTP/1.1\r\nHost: backend.local\r\nReq-Id: {id}\r\nReq-Deadline-Ms: {deadline_ms}\r\n{extra}"
        if method != "GET":
            head += f"Content-Length: {len(body)}\r\n"
        self.record.note(f"send   {id} {method} {path} by sidecar {sidecar.number}")
        began = time.monotonic()
        status, got = await self.exchange(sidecar.listen, (head + "\r\n").encode() + body, deadline_ms / 1000 + 0.5)
        self.record.note(f"answer {id} {status} {got[:60].decode('latin-1')}")
        return id, status, got, time.monotonic() - began

    def spawn(self, coroutine):
        task = asyncio.ensure_future(coroutine)
        self.tasks.append(task)
        return task

    def end(self):
        for task in self.tasks:
            task.cancel()
        for process in self.processes:
            if process.poll() is None:
                process.kill()
            process.wait()
        if os.environ.get("KEEP"):
            print("kept", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def run_case(folder, case, seconds=115):
    """Plays a case; exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. The case returns what
    broke the rule, or nothing."""
    os.umask(0o077)
    # The seeds of the sidecars are drawn from it; which task runs when does not follow it.
    random.seed(os.environ.get("SEED"))
    sys.unraisablehook = lambda _: None  # streams that are dropped after the event loop has ended
    if not os.path.exists(os.path.join(ROOT, "target/release/passroad")):
        print("2: the program is not built")
        sys.exit(2)
    play = Play(folder)
    # Also one that is told to end leaves no process.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    try:
        broken = asyncio.run(asyncio.wait_for(case(play), seconds))
        text, code = (f"1: {broken}", 1) if broken else ("0: the rule held", 0)
    except Exception as error:
        text, code = f"2: the case couldn't run: {error!r}", 2
    finally:
        play.end()
    play.record.note(text)
    print(text)
    sys.exit(code)
