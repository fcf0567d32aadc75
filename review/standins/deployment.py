"""Stand-ins for a small deployment on loopback addresses, for the cases beside this folder.

What clients, endpoints and discovery say on the sockets follows the operators' PROTOCOL page. The sidecar is the
project's own program, started by the `run` line of deploy/balancer.toml. Python's standard library only.
"""

import json
import os
import pathlib
import random
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time
import tomllib

ROOT = pathlib.Path(__file__).resolve().parents[2]
HOST = "127.0.0.1"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
# What is drawn follows the seed; which thread draws when does not.
SEED = int(os.environ.get("SEED") or random.SystemRandom().getrandbits(32))
random.seed(SEED)


class CannotRun(Exception):
    """The case could not be played: exit code 2."""


def listen_socket():
    listener = socket.socket()
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind((HOST, 0))
    listener.listen(1024)
    return listener


def free_port():
    with socket.socket() as probe:
        probe.bind((HOST, 0))
        return probe.getsockname()[1]


class Record:
    """record.txt: a line for each thing sent, answered and run."""

    def __init__(self, folder):
        self.file = open(pathlib.Path(folder) / "record.txt", "w")
        self.started = time.monotonic()
        self.lock = threading.Lock()
        self.line(f"trouble={int(TROUBLE)} seed={SEED}")

    def line(self, text):
        with self.lock:
            self.file.write(f"{time.monotonic() - self.started:9.4f} {text}\n")

    def close(self):
        with self.lock:
            self.file.flush()


class Lines:
    """Reads HTTP messages off a socket."""

    def __init__(self, sock):
        self.sock, self.buffer = sock, b""

    def more(self):
        data = self.sock.recv(65536)
        if not data:
            raise ConnectionError("closed")
        self.buffer += data

    def head(self):
        while b"\r\n\r\n" not in self.buffer:
            self.more()
        head, self.buffer = self.buffer.split(b"\r\n\r\n", 1)
        first, *rest = head.decode("latin-1").split("\r\n")
        headers = {}
        for line in rest:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
        return first, headers

    def exactly(self, count):
        while len(self.buffer) < count:
            self.more()
        data, self.buffer = self.buffer[:count], self.buffer[count:]
        return data

    def body(self, headers):
        if "chunked" in headers.get("transfer-encoding", "").lower():
            whole = b""
            while True:
                while b"\r\n" not in self.buffer:
                    self.more()
                size, self.buffer = self.buffer.split(b"\r\n", 1)
                count = int(size.split(b";")[0], 16)
                whole += self.exactly(count)
                self.exactly(2)
                if count == 0:
                    return whole
        return self.exactly(int(headers.get("content-length", "0")))


def reset(sock):
    """Ends a connection by a reset."""
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    except OSError:
        pass
    sock.close()


def answer(status, body=b"", headers=()):
    lines = [f"HTTP/1.1 {status}", f"Content-Length: {len(body)}", *headers]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


class Server:
    """Accepts connections, and serves each on a thread."""

    def __init__(self):
        self.listener = listen_socket()
        self.port = self.listener.getsockname()[1]
        self.address = f"{HOST}:{self.port}"
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while True:
            try:
                sock, _ = self.listener.accept()
            except OSError:
                return
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(target=self.guarded, args=(sock,), daemon=True).start()

    def guarded(self, sock):
        try:
            self.serve(sock)
        except (OSError, ValueError):
            pass
        finally:
            sock.close()


class Discovery(Server):
    """Tells the whole list, and holds watches, as PROTOCOL says."""

    def __init__(self, members):
        self.members, self.revision = members, 41
        self.changed = threading.Condition()
        super().__init__()

    def list(self):
        return {"revision": self.revision, "complete": True, "members": self.members}

    def serve(self, sock):
        lines = Lines(sock)
        while True:
            first, headers = lines.head()
            lines.body(headers)
            target = first.split(" ")[1]
            query = dict(pair.split("=") for pair in target.partition("?")[2].split("&") if "=" in pair)
            if "from" in query:
                known, until = int(query["from"]), time.monotonic() + min(int(query.get("hold_ms", 0)), 60000) / 1000
                with self.changed:
                    while self.revision == known and time.monotonic() < until:
                        self.changed.wait(max(0.0, until - time.monotonic()))
                    if self.revision == known:
                        told = {"revision": self.revision, "complete": False, "members": []}
                    else:
                        told = self.list()
            else:
                told = self.list()
            sock.sendall(answer("200 OK", json.dumps(told).encode()))


class Endpoint(Server):
    """A sound endpoint: runs a request once its last byte has come. `run` is given the request and the connection."""

    def __init__(self, name, record, run):
        self.name, self.record, self.run = name, record, run
        self.inflight, self.lock = 0, threading.Lock()
        super().__init__()

    def report(self):
        return f"Srv-Load: TEXT inflight={self.inflight}, queue=0, util={min(1.0, self.inflight / 8):.2f}"

    def member(self, address=None):
        return {"id": f"s-{self.name}", "host_port": address or self.address, "locality": "north", "flavor": "std",
                "cell": 1, "phase": "up", "size": 1.0, "up_since_ms": 0}

    def serve(self, sock):
        lines = Lines(sock)
        while True:
            first, headers = lines.head()
            body = lines.body(headers)
            method, target, _ = first.split(" ")
            if target in ("/load", "/healthz"):
                report = self.report()
                sock.sendall(answer("200 OK", report.split(": ", 1)[1].encode(), [report]))
                continue
            if "req-id" not in headers:
                sock.sendall(answer("404 Not Found"))
                continue
            with self.lock:
                self.inflight += 1
            try:
                if not self.run(self, sock, lines, method, target, headers, body):
                    return
            finally:
                with self.lock:
                    self.inflight -= 1


def verb(name, effect, goal_ms, limit_ms, utility=1.0):
    return {"name": name, "effect": effect, "key_scope": "all", "late_utility": 0.0, "utility": utility, "window": 0,
            "response_goal": goal_ms * 1_000_000, "time_limit": limit_ms * 1_000_000}


def settings(verbs, **allowed):
    """Settings like those of the first brief (tunis-transport)."""
    return {
        "allowed": {"connect_timeout": 250_000_000, "idle_close": 60_000_000_000, "max_relays": 6,
                    "max_retry_after": 1_500_000_000, "may_cancel": True, "may_tell": False, "probes": True,
                    "retry_after": True, "second_copies": True, "streams_per_conn": 1, **allowed},
        "az": "north", "dcs": ["north"], "kinds": ["std"], "discovery": "on_request",
        "goal": {"whole": 0.65, "worst_class": 0.2, "worst_tenant": 0.1, "worst_window": 0.05},
        "prices": {"connection": 0.04, "cross_zone": 0.005, "handshake": 0.03, "late_fail": 0.097, "probe": 0.002,
                   "waste": 0.04},
        "report": {"fields": ["outstanding", "backlog", "utilization"], "how": "piggyback"},
        "rules": {"answer_slack": 5_000_000, "ask_every": 10_000_000_000, "cold_from": 0.13,
                  "drain_grace": 500_000_000, "tip_after": 2_000_000_000, "tip_multiple": 2.5,
                  "warm_within": 24_000_000_000},
        "surplus_utility": 0.05, "tenants": [], "tick": 1_000_000, "weights": "rough",
        "utility_by": "request", "verbs": verbs,
    }


class Sidecar:
    """The project's sidecar, started as the deploy file says."""

    started = []

    def __init__(self, discovery, config_settings, known, record, management=False):
        if not (ROOT / "target/release/passroad").exists():
            raise CannotRun("target/release/passroad is not there: build first")
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="passroad-review-"))
        (self.folder / "tmp").mkdir()
        self.port, self.record = free_port(), record
        self.management = free_port() if management else None
        run = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"]
        config = {"name": "n0", "listen": f"{HOST}:{self.port}", "discovery": discovery.address,
                  "seed": f"{random.getrandbits(64):016x}",
                  "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
                  "known": known, "settings": config_settings}
        if management:  # the operators' door
            config["management"] = f"{HOST}:{self.management}"
        path = self.folder / "config.json"
        path.write_text(json.dumps(config))
        environment = {"PATH": os.environ.get("PATH", "/usr/bin:/bin"), "LB_CONFIG": str(path),
                       "TMPDIR": str(self.folder / "tmp"), "RUST_LOG": os.environ.get("RUST_LOG", "info")}
        self.log = open(self.folder / "log.txt", "wb")
        self.process = subprocess.Popen(["/bin/sh", "-c", run], cwd=ROOT, env=environment, stdout=self.log,
                                        stderr=self.log)
        Sidecar.started.append(self)
        self.wait_ready()

    def wait_ready(self):
        until = time.monotonic() + 30
        while time.monotonic() < until:
            if self.process.poll() is not None:
                raise CannotRun(f"the sidecar ended: {(self.folder / 'log.txt').read_text()}")
            try:
                if Client(self.port).request("GET", "/healthz")[0] == 200:
                    return
            except OSError:
                pass
            time.sleep(0.05)
        raise CannotRun("the sidecar was not ready in 30 s")

    def signal(self, number):
        self.process.send_signal(number)

    def end(self):
        if self.process.poll() is None:
            self.process.terminate()
            try:
                self.process.wait(10)
            except subprocess.TimeoutExpired:
                self.process.kill()
                self.process.wait()
        self.log.close()
        for text in (self.folder / "log.txt").read_text(errors="replace").splitlines():
            self.record.line(f"sidecar log: {text}")
        shutil.rmtree(self.folder, ignore_errors=True)


class Client:
    """One connection of the application; one request at a time on it."""

    def __init__(self, port, timeout=10.0, receive_buffer=None, segment=None):
        self.sock = socket.socket()
        if receive_buffer:
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
        if segment:
            self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, segment)
        self.sock.settimeout(timeout)
        self.sock.connect((HOST, port))
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.lines = Lines(self.sock)

    def send(self, method, target, ident=None, deadline_ms=1100, body=b""):
        head = [f"{method} {target} HTTP/1.1", "Host: backend.local"]
        if ident:
            head += [f"Req-Id: {ident}", f"Req-Deadline-Ms: {deadline_ms}"]
        if method == "POST":
            head.append(f"Content-Length: {len(body)}")
        self.sock.sendall(("\r\n".join(head) + "\r\n\r\n").encode() + body)

    def receive(self):
        first, headers = self.lines.head()
        return int(first.split(" ")[1]), headers, self.lines.body(headers)

    def request(self, *what, **more):
        self.send(*what, **more)
        return self.receive()

    def close(self):
        self.sock.close()


def new_id():
    return f"{random.getrandbits(64):016x}"


class Ids:
    """Times that a request began at an endpoint, by id."""

    def __init__(self):
        self.lock, self.begun = threading.Lock(), {}

    def begin(self, ident):
        with self.lock:
            self.begun[ident] = self.begun.get(ident, 0) + 1
            return self.begun[ident]


def play(case, folder):
    """Runs `case(record)`, which returns the breaks of the rule that it saw; exits with 1 if there were some."""
    record = Record(folder)
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    try:
        breaks, summary = case(record)
        code = 1 if breaks else 0
        for text in breaks[:20]:
            record.line(f"BREAK {text}")
            print(f"rule broken: {text}")
        record.line(f"summary: {summary}; breaks={len(breaks)}; exit={code}")
        print(f"trouble={int(TROUBLE)} seed={SEED}: {summary}; breaks={len(breaks)}")
    except CannotRun as error:
        record.line(f"could not run: {error}")
        print(f"could not run: {error}")
        code = 2
    except BaseException as error:  # a fault of the case itself, or SIGTERM
        record.line(f"could not run: {error!r}")
        print(f"could not run: {error!r}")
        code = 2
    for sidecar in Sidecar.started:  # none is left behind, whatever happened
        if sidecar.process.poll() is None:
            sidecar.process.kill()
            sidecar.process.wait()
        shutil.rmtree(sidecar.folder, ignore_errors=True)
    record.close()
    sys.stdout.flush()
    os._exit(code)
