"""A command's connection is closed with no byte of an answer: its endpoint broke off early in a long answer."""

import pathlib
import random
import socket
import sys
import threading
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins"))
import deployment as d  # noqa: E402

SECONDS = 40
CLIENTS = 8
ENDPOINTS = 9
ANSWER_BYTES = (70_000, 200_000)
BREAK_SHARE = 0.2  # of the answers break off, at any place of theirs alike, while there is trouble
WORK_S = (0.110, 0.160)


def case(record):
    breaks, lock, runs = [], threading.Lock(), d.Ids()
    counts = {"sent": 0, "answered": 0, "declined": 0, "failed": 0, "broken off": 0, "failed in the middle": 0,
              "no byte of an answer": 0}

    def count(name, by=1):
        with lock:
            counts[name] += by

    def run(endpoint, sock, lines, method, target, headers, body):
        ident = headers["req-id"]
        runs.begin(ident)
        record.line(f"{endpoint.name} runs {ident} {target}")
        time.sleep(random.uniform(*WORK_S))
        whole = d.answer("200 OK", b"m" * random.randint(*ANSWER_BYTES), [endpoint.report()])
        if d.TROUBLE and random.random() < BREAK_SHARE:
            written = random.randrange(len(whole))
            record.line(f"{endpoint.name} breaks off {ident} after {written} of {len(whole)} bytes")
            count("broken off")
            # What it has written and the end of the connection leave together.
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_CORK, 1)
            sock.sendall(whole[:written])
            sock.close()
            return False
        sock.sendall(whole)
        record.line(f"{endpoint.name} has answered {ident}")
        return True

    endpoints = [d.Endpoint(f"e{n}", record, run) for n in range(ENDPOINTS)]
    discovery = d.Discovery([endpoint.member() for endpoint in endpoints])
    verbs = [d.verb("check-slot", "read_like", 440, 1100), d.verb("book-trip", "non_idempotent", 440, 1100, 3.0)]
    sidecar = d.Sidecar(discovery, d.settings(verbs), discovery.list(), record)
    end = time.monotonic() + SECONDS

    def client_loop():
        client = None
        while time.monotonic() < end:
            ident = d.new_id()
            method, target = random.choice([("GET", "/check-slot"), ("POST", "/book-trip")])
            record.line(f"client sends {ident} {method} {target}")
            count("sent")
            head = None
            try:
                client = client or d.Client(sidecar.port)
                client.lines.buffer = b""
                client.send(method, target, ident)
                first, head = client.lines.head()
                status, body = int(first.split(" ")[1]), client.lines.body(head)
                record.line(f"client gets {ident} status {status}, {len(body)} bytes")
                count({200: "answered", 503: "declined"}.get(status, "failed"))
                if head.get("connection", "").lower() == "close":
                    client.close()
                    client = None
            except OSError as error:
                got = len(client.lines.buffer) if client else 0
                if head is not None or got:
                    # Begun and not finished: failed and not lost, as the client can tell.
                    record.line(f"client gets {ident} an answer that breaks off after {got} bytes")
                    count("failed in the middle")
                else:
                    record.line(f"client gets {ident} no byte of an answer, {error!r}")
                    with runs.lock:
                        ran = runs.begun.get(ident, 0)
                    # One that no endpoint was given may have crossed the end of a resting connection.
                    if ran:
                        count("no byte of an answer")
                        with lock:
                            breaks.append(f"{target} {ident} was run {ran} times; its connection ended with no answer")
                client = None
            time.sleep(random.uniform(0, 0.1))

    threads = [threading.Thread(target=client_loop, daemon=True) for _ in range(CLIENTS)]
    [thread.start() for thread in threads]
    [thread.join(SECONDS + 20) for thread in threads]
    sidecar.end()
    return breaks, ", ".join(f"{name} {value}" for name, value in counts.items())


if __name__ == "__main__":
    d.play(case, FOLDER)
