"""Stand-ins for the cases of the second review: discovery, endpoints, clients, and the start of sidecars by the deploy
file. Python's standard library alone. Everything listens on 127.0.0.1.

A stand-in does what the operators' protocol page says: one request at a time on a connection, `Req-Id` echoed in the
body, 503 with `Srv-Declined: 1` where it turns a request away, a long poll as watch."""

import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time

ROOT = os.path.abspath(os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", ".."))
if os.environ.get("SEED"):
    # What is drawn, and the seeds of the sidecars; which thread draws when does not follow it.
    random.seed(int(os.environ["SEED"]))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, UNABLE = 0, 1, 2
LONGEST = 115.0  # seconds that a case may take


class Unable(Exception):
    """The case could not run."""


def deploy_run():
    """The `run` command of the deploy file."""
    with open(os.path.join(ROOT, "deploy", "balancer.toml")) as file:
        found = re.search(r'^run = "(.*)"', file.read(), re.M)
    if not found:
        raise Unable("deploy/balancer.toml has no run command")
    return found.group(1)


def free_ports(count, kind=socket.SOCK_STREAM):
    held, ports = [], []
    for _ in range(count):
        one = socket.socket(socket.AF_INET, kind)
        one.bind(("127.0.0.1", 0))
        held.append(one)
        ports.append(one.getsockname()[1])
    for one in held:
        one.close()
    return ports


class Record:
    """What was sent, answered and run; written to record.txt at the end."""

    def __init__(self, case_file):
        self.path = os.path.join(os.path.dirname(os.path.abspath(case_file)), "record.txt")
        self.began = time.monotonic()
        self.lock = threading.Lock()
        self.lines = []

    def now(self):
        return time.monotonic() - self.began

    def __call__(self, text):
        with self.lock:
            self.lines.append((time.monotonic(), text))

    def write(self):
        with self.lock, open(self.path, "w") as file:
            for at, text in sorted(self.lines, key=lambda line: line[0]):
                file.write(f"{at - self.began:9.4f} {text}\n")


class Lab:
    """One run of a case: its folder, its processes, its record."""

    def __init__(self, case_file):
        self.record = Record(case_file)
        self.folder = tempfile.mkdtemp(prefix="passroad-review-")
        self.processes = []
        self.record(f"trouble is {'on' if TROUBLE else 'off'}")

    def start_sidecar(self, name, config, **variables):
        """Starts a sidecar by the deploy file, from the root, with a log of its own."""
        if not os.access(os.path.join(ROOT, "target", "release", "passroad"), os.X_OK):
            raise Unable("target/release/passroad is missing; run the build of the deploy file")
        path = os.path.join(self.folder, f"{name}.json")
        with open(path, "w") as file:
            json.dump(config, file)
        tmp = variables.pop("tmp", None) or os.path.join(self.folder, f"tmp-{name}")
        os.makedirs(tmp, exist_ok=True)
        environment = {key: value for key, value in os.environ.items() if not key.startswith("LB_")}
        environment.update(LB_CONFIG=path, TMPDIR=tmp, **variables)
        environment.setdefault("RUST_LOG", "info")
        log = open(os.path.join(self.folder, f"{name}.log"), "ab")
        process = subprocess.Popen(
            ["/bin/sh", "-c", deploy_run()], cwd=ROOT, env=environment, stdout=log, stderr=log, stdin=subprocess.DEVNULL
        )
        log.close()
        self.processes.append(process)
        self.record(f"{name}: started, process {process.pid}")
        return process

    def log_of(self, name):
        try:
            with open(os.path.join(self.folder, f"{name}.log"), errors="replace") as file:
                return file.read()
        except OSError:
            return ""

    def signal(self, name, process, which):
        self.record(f"{name}: {signal.Signals(which).name} to process {process.pid}")
        process.send_signal(which)

    def close(self):
        for process in self.processes:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes:
            process.wait()
        self.record.write()
        if os.environ.get("KEEP"):
            print("folder:", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def run(case_file, case):
    """Runs a case and ends with its exit code: 0 the rule held, 1 it was broken, 2 the case could not run."""
    lab = Lab(case_file)
    code = UNABLE

    def give_up(why):
        lab.record(f"the case could not run: {why}")
        lab.close()
        print("could not run:", why)
        sys.stdout.flush()
        os._exit(UNABLE)

    signal.signal(signal.SIGTERM, lambda *_: give_up("it was told to end"))
    watch = threading.Timer(LONGEST, give_up, ["it took too long"])
    watch.daemon = True
    watch.start()
    try:
        code = case(lab)
    except Unable as error:
        lab.record(f"the case could not run: {error}")
        print("the case could not run:", error)
    except Exception as error:  # a fault of the case itself
        lab.record(f"the case could not run: {type(error).__name__}: {error}")
        import traceback

        traceback.print_exc()
    finally:
        lab.record({HELD: "the rule held", BROKEN: "THE RULE WAS BROKEN", UNABLE: "the case could not run"}[code])
        lab.close()
    print({HELD: "held", BROKEN: "BROKEN", UNABLE: "could not run"}[code])
    sys.stdout.flush()
    os._exit(code)


# HTTP by hand, so that each byte is the stand-in's own.


class Reader:
    """Reads HTTP messages off a socket."""

    def __init__(self, sock):
        self.sock, self.buffer = sock, b""

    def fill(self):
        data = self.sock.recv(65536)
        if not data:
            raise ConnectionError("closed")
        self.buffer += data

    def until(self, mark):
        while mark not in self.buffer:
            self.fill()
        part, self.buffer = self.buffer.split(mark, 1)
        return part

    def exactly(self, count):
        while len(self.buffer) < count:
            self.fill()
        part, self.buffer = self.buffer[:count], self.buffer[count:]
        return part

    def chunks(self):
        body = b""
        while True:
            size = int(self.until(b"\r\n").split(b";")[0], 16)
            if size == 0:
                while self.until(b"\r\n"):
                    pass
                return body
            body += self.exactly(size)
            if self.exactly(2) != b"\r\n":
                raise ConnectionError("a chunk without its end")

    def head(self):
        lines = self.until(b"\r\n\r\n").decode("latin-1").split("\r\n")
        headers = {}
        for line in lines[1:]:
            key, value = line.split(":", 1)
            headers[key.strip().lower()] = value.strip()
        return lines[0], headers

    def message(self):
        first, headers = self.head()
        if "chunked" in headers.get("transfer-encoding", ""):
            body = self.chunks()
        else:
            body = self.exactly(int(headers.get("content-length", 0)))
        return first, headers, body


def answer(status, body=b"", **headers):
    names = {200: "OK", 404: "Not Found", 409: "Conflict", 500: "Internal Server Error", 503: "Service Unavailable"}
    lines = [f"HTTP/1.1 {status} {names.get(status, 'Other')}", f"Content-Length: {len(body)}"]
    lines += [f"{key.replace('_', '-')}: {value}" for key, value in headers.items()]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


class Server:
    """Accepts connections, a thread each."""

    def __init__(self, port=0):
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.bind(("127.0.0.1", port))
        self.listener.listen(512)
        self.port = self.listener.getsockname()[1]
        self.address = f"127.0.0.1:{self.port}"
        self.open = set()
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while True:
            try:
                sock, _ = self.listener.accept()
            except OSError:
                return
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(target=self.serve_quietly, args=(sock,), daemon=True).start()

    def serve_quietly(self, sock):
        self.open.add(sock)
        try:
            self.serve(sock)
        except (OSError, ConnectionError, ValueError):
            pass
        finally:
            self.open.discard(sock)
            sock.close()

    def serve(self, sock):
        raise NotImplementedError


class Discovery(Server):
    """The list of endpoints: whole, or a watch on what changes."""

    def __init__(self, record):
        self.record = record
        self.condition = threading.Condition()
        self.revision, self.members, self.changes = 1, {}, []
        super().__init__()

    def put(self, *entries):
        """Changes entries, all in one revision. A phase `removed` takes one out."""
        with self.condition:
            self.revision += 1
            for entry in entries:
                self.changes.append((self.revision, dict(entry)))
                if entry["phase"] == "removed":
                    self.members.pop(entry["id"], None)
                else:
                    self.members[entry["id"]] = dict(entry)
            self.condition.notify_all()

    def whole(self):
        return {"revision": self.revision, "complete": True, "members": list(self.members.values())}

    def serve(self, sock):
        reader = Reader(sock)
        while True:
            first, _, _ = reader.message()
            query = first.split(" ")[1]
            found = re.search(r"from=(\d+)&hold_ms=(\d+)", query)
            with self.condition:
                if not found:
                    reply = self.whole()
                else:
                    since, hold = int(found.group(1)), int(found.group(2)) / 1000
                    self.condition.wait_for(lambda: self.revision > since, hold)
                    latest = {}
                    for revision, entry in self.changes:
                        if revision > since:
                            latest[entry["id"]] = entry
                    reply = {"revision": self.revision, "complete": False, "members": list(latest.values())}
            sock.sendall(answer(200, json.dumps(reply).encode(), Content_Type="application/json"))


def entry(name, address, zone="north", kind="m1", cell=0, phase="up", size=1.0, up_since_ms=0):
    return {
        "id": name,
        "host_port": address,
        "locality": zone,
        "flavor": kind,
        "cell": cell,
        "phase": phase,
        "size": size,
        "up_since_ms": up_since_ms,
    }


class Endpoint(Server):
    """Serves a command after `work` seconds with its id as the body; answers probes."""

    def __init__(self, name, record, work=0.01, port=0):
        self.name, self.record, self.work = name, record, work
        self.holds, self.ran = 0, []
        super().__init__(port)

    def load(self):
        return f"TEXT inflight={self.holds}, queue=0, util={min(1.0, self.holds / 8):.2f}"

    def serve(self, sock):
        reader = Reader(sock)
        while True:
            first, headers, body = reader.message()
            path = first.split(" ")[1]
            if path in ("/load", "/healthz"):
                self.answer_probe(sock, reader)
                continue
            if "req-id" not in headers:
                sock.sendall(answer(404))
                continue
            self.holds += 1
            try:
                self.command(sock, reader, first, headers, body)
            finally:
                self.holds -= 1

    def answer_probe(self, sock, reader):
        sock.sendall(answer(200, self.load().encode()))

    def run_command(self, headers):
        self.ran.append((time.monotonic(), headers["req-id"]))
        self.record(f"{self.name}: runs {headers['req-id']}")
        time.sleep(self.work)

    def command(self, sock, reader, first, headers, body):
        self.run_command(headers)
        sock.sendall(answer(200, headers["req-id"].encode(), Srv_Load=self.load()))


class Client:
    """One connection of an application to its sidecar, kept as long as it stays open."""

    def __init__(self, address):
        self.host, port = address.split(":")
        self.port, self.sock, self.reader = int(port), None, None

    resent = []  # ids that were sent once more, as a kept connection ended under them

    def connect(self):
        self.sock = socket.create_connection((self.host, self.port), timeout=10)
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.reader = Reader(self.sock)

    def drop(self):
        if self.sock:
            self.sock.close()
        self.sock = None

    def call(self, path, ident, deadline_ms=1000, method="GET", body=b"", **headers):
        """Sends one command; returns status, headers and body, or raises if no whole answer came in its time and half
        a second more. A kept connection that ended before the command was read is replaced once."""
        lines = [f"{method} {path} HTTP/1.1", "Host: backend.local", f"Req-Id: {ident}", f"Req-Deadline-Ms: {deadline_ms}"]
        lines += [f"{key.replace('_', '-')}: {value}" for key, value in headers.items()]
        if method != "GET":
            lines.append(f"Content-Length: {len(body)}")
        data = "\r\n".join(lines).encode() + b"\r\n\r\n" + body
        kept = self.sock is not None
        try:
            return self.exchange(data, deadline_ms)
        except (ConnectionError, BrokenPipeError):
            self.drop()
            if not kept:
                raise
            self.resent.append(ident)
            return self.exchange(data, deadline_ms)

    def exchange(self, data, deadline_ms):
        if not self.sock:
            self.connect()
        self.sock.settimeout(deadline_ms / 1000 + 0.5)
        try:
            self.sock.sendall(data)
            first, headers, body = self.reader.message()
        except socket.timeout:
            self.drop()
            raise TimeoutError("no whole answer in time")
        if headers.get("connection", "").lower() == "close":
            self.drop()
        return int(first.split(" ")[1]), headers, body


def ask(address, method, path, body=None, timeout=3.0):
    """One call at an operators' door, or the question whether a sidecar is ready; returns status and body."""
    host, port = address.split(":")
    with socket.create_connection((host, int(port)), timeout=timeout) as sock:
        data = json.dumps(body).encode() if body is not None else b""
        head = f"{method} {path} HTTP/1.1\r\nHost: door\r\nContent-Length: {len(data)}\r\nConnection: close\r\n\r\n"
        sock.sendall(head.encode() + data)
        first, _, body = Reader(sock).message()
        return int(first.split(" ")[1]), body


def wait_for(what, condition, limit=15.0, pause=0.02):
    end = time.monotonic() + limit
    while time.monotonic() < end:
        try:
            value = condition()
            if value:
                return value
        except (OSError, ConnectionError, ValueError):
            pass
        time.sleep(pause)
    raise Unable(f"{what} did not happen within {limit:.0f} s")


def ready(address):
    return ask(address, "GET", "/healthz", timeout=1.0)[0] == 200


def settings(**changes):
    """Settings like those of a small deployment: two zones, a pure and an effectful verb."""
    second = 1_000_000_000
    value = {
        "allowed": {
            "connect_timeout": second // 4,
            "idle_close": 30 * second,
            "max_relays": 4,
            "max_retry_after": 1500_000_000,
            "may_cancel": True,
            "may_tell": False,
            "probes": True,
            "retry_after": True,
            "second_copies": True,
            "streams_per_conn": 1,
        },
        "az": "north",
        "dcs": ["north", "south"],
        "discovery": "on_request",
        "goal": {"whole": 1.0, "worst_class": 0.0},
        "prices": {"cross_zone": 0.005, "handshake": 0.0, "probe": 0.002},
        "report": {"how": "piggyback"},
        "rules": {
            "ask_every": 10 * second,
            "drain_grace": second // 2,
            "cold_from": 0.13,
            "tip_after": 2 * second,
            "tip_multiple": 2.5,
            "warm_within": 0,
        },
        "surplus_utility": 0.5,
        "tenants": [],
        "tick": 1_000_000,
        "verbs": [verb("check-slot", "read_like"), verb("book-trip", "non_idempotent")],
        "weights": "nominal",
    }
    for path, change in changes.items():
        at = value
        *parents, last = path.split("__")
        for key in parents:
            at = at[key]
        at[last] = change
    return value


def verb(name, effect, goal_ms=400, limit_ms=1000, window_ms=0, scope="all"):
    return {
        "effect": effect,
        "key_scope": scope,
        "late_utility": 0.0,
        "name": name,
        "response_goal": goal_ms * 1_000_000,
        "time_limit": limit_ms * 1_000_000,
        "utility": 1.0 if effect == "read_like" else 3.0,
        "window": window_ms * 1_000_000,
    }


def config(name, listen, discovery, settings, **more):
    value = {
        "name": name,
        "listen": listen,
        "discovery": discovery,
        "seed": f"{random.getrandbits(64):016x}",
        "limits": {"cores": 1.0, "memory_mb": 64, "sockets": 1024},
        "settings": settings,
    }
    value.update(more)
    return value
