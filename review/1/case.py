"""An effectful command runs twice: its connection was retired by the end of an older, slowly read answer."""

import pathlib
import random
import sys
import threading
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins"))
import deployment as d  # noqa: E402

SECONDS = 40
READERS, BOOKERS = 12, 8
ENDPOINTS, TROUBLED = 9, 5  # of which so many reset connections while there is trouble
RESET_SHARE = 0.4  # of the effectful commands there
REST_S = 0.4
WORK_S = (0.110, 0.160)  # mean work of `book-trip` in the first brief


def case(record):
    runs, breaks, lock = d.Ids(), [], threading.Lock()
    counts = {"book": 0, "book answered": 0, "reset": 0, "reports": 0, "reports declined": 0, "report bytes": 0}

    def count(name, by=1):
        with lock:
            counts[name] += by

    def run(endpoint, sock, lines, method, target, headers, body):
        ident = headers["req-id"]
        if target.startswith("/trip-report"):
            size = int(target.partition("size=")[2])
            record.line(f"{endpoint.name} runs {ident} {target}")
            sock.sendall(d.answer("200 OK", b"r" * size, [endpoint.report()]))
            return True
        times = runs.begin(ident)
        record.line(f"{endpoint.name} runs {ident} {target} time {times} port {sock.getpeername()[1]}")
        if times > 1:
            with lock:
                breaks.append(f"effectful command {ident} ran {times} times")
        time.sleep(random.uniform(*WORK_S))
        if d.TROUBLE and endpoint in endpoints[:TROUBLED] and random.random() < RESET_SHARE:
            count("reset")
            record.line(f"{endpoint.name} resets {ident}")
            d.reset(sock)
            return False
        sock.sendall(d.answer("200 OK", f"booked {ident}".encode(), [endpoint.report()]))
        return True

    endpoints = [d.Endpoint(f"e{n}", record, run) for n in range(ENDPOINTS)]
    discovery = d.Discovery([endpoint.member() for endpoint in endpoints])
    verbs = [d.verb("trip-report", "read_like", 440, 1100), d.verb("book-trip", "non_idempotent", 440, 1100, 3.0)]
    sidecar = d.Sidecar(discovery, d.settings(verbs), discovery.list(), record)
    end = time.monotonic() + SECONDS

    def reader():
        while time.monotonic() < end:
            client = d.Client(sidecar.port, receive_buffer=16384, segment=1448)
            ident, size = d.new_id(), random.randint(150_000, 400_000)
            record.line(f"client sends {ident} GET /trip-report size {size}")
            try:
                client.send("GET", f"/trip-report?size={size}", ident)
                first, headers = client.lines.head()
                status, left = int(first.split(" ")[1]), int(headers.get("content-length", "0"))
                left -= len(client.lines.buffer)
                if status != 200:
                    record.line(f"client reads {ident} status {status}")
                    count("reports declined")
                    continue
                time.sleep(REST_S)  # a slow reader: it takes the rest of the answer only now
                while left > 0:
                    data = client.sock.recv(65536)
                    if not data:
                        break
                    left -= len(data)
                record.line(f"client reads {ident} status {status} missing {left}")
                count("reports")
                count("report bytes", size - left)
            except OSError as error:
                record.line(f"client reads {ident} error {error!r}")
            client.close()

    def booker():
        client = None
        while time.monotonic() < end:
            ident = d.new_id()
            record.line(f"client sends {ident} POST /book-trip")
            count("book")
            try:
                client = client or d.Client(sidecar.port)
                status, headers, body = client.request("POST", "/book-trip", ident, body=b"trip")
                record.line(f"client gets {ident} status {status} {body.decode()}")
                count("book answered", int(status == 200))
                if headers.get("connection", "").lower() == "close":
                    client.close()
                    client = None
            except OSError as error:
                record.line(f"client gets {ident} error {error!r}")
                client = None
            time.sleep(random.uniform(0, 0.1))

    threads = [threading.Thread(target=reader, daemon=True) for _ in range(READERS)]
    threads += [threading.Thread(target=booker, daemon=True) for _ in range(BOOKERS)]
    [thread.start() for thread in threads]
    [thread.join(SECONDS + 20) for thread in threads]
    sidecar.end()
    return breaks, ", ".join(f"{name} {value}" for name, value in counts.items())


if __name__ == "__main__":
    d.play(case, FOLDER)
