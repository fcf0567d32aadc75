"""A long answer that its endpoint writes slowly is cut off, and the client is told that the command failed."""

import pathlib
import random
import sys
import threading
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins"))
import deployment as d  # noqa: E402

SECONDS = 30
CLIENTS = 6
ANSWER_BYTES = (70_000, 200_000)
PIECE_BYTES, PIECE_EVERY_S = 16_000, 0.25  # 64 kB a second
ENDPOINTS = 8  # of which one writes slowly while there is trouble
WORK_S = (0.110, 0.160)


def case(record):
    breaks, lock = [], threading.Lock()
    counts = {"sent": 0, "answered": 0, "declined": 0, "failed": 0, "written slowly": 0, "cut off": 0}
    cut = set()

    def count(name, by=1):
        with lock:
            counts[name] += by

    def run(endpoint, sock, lines, method, target, headers, body):
        ident = headers["req-id"]
        record.line(f"{endpoint.name} runs {ident} {target}")
        time.sleep(random.uniform(*WORK_S))
        body = f"made for {ident} ".encode() + b"m" * random.randint(*ANSWER_BYTES)
        whole = d.answer("200 OK", body, [endpoint.report()])
        if not d.TROUBLE or endpoint.name != "e0":
            sock.sendall(whole)
            return True
        # In pieces: the head, then the body at 64 kB a second.
        count("written slowly")
        start = whole.index(b"\r\n\r\n") + 4
        pieces = [whole[:start]] + [whole[at:at + PIECE_BYTES] for at in range(start, len(whole), PIECE_BYTES)]
        for number, piece in enumerate(pieces):
            try:
                sock.sendall(piece)
                if number + 1 < len(pieces):
                    sock.settimeout(PIECE_EVERY_S)
                    try:
                        if sock.recv(1) == b"":
                            raise ConnectionError("closed")
                    except TimeoutError:
                        pass
                    sock.settimeout(None)
            except OSError as error:
                record.line(f"{endpoint.name} is cut off by the sidecar: {ident}, {number + 1} of {len(pieces)} pieces "
                            f"written, {error!r}")
                count("cut off")
                with lock:
                    cut.add(ident)
                return False
        record.line(f"{endpoint.name} has written {ident} whole")
        return True

    endpoints = [d.Endpoint(f"e{n}", record, run) for n in range(ENDPOINTS)]
    discovery = d.Discovery([endpoint.member() for endpoint in endpoints])
    verbs = [d.verb("book-trip", "non_idempotent", 440, 1100, 3.0)]
    sidecar = d.Sidecar(discovery, d.settings(verbs), discovery.list(), record)
    end = time.monotonic() + SECONDS

    def client_loop():
        client = None
        while time.monotonic() < end:
            ident = d.new_id()
            record.line(f"client sends {ident} POST /book-trip")
            count("sent")
            try:
                client = client or d.Client(sidecar.port)
                status, headers, body = client.request("POST", "/book-trip", ident, body=b"trip")
                record.line(f"client gets {ident} status {status}, {len(body)} bytes")
                count({200: "answered", 503: "declined"}.get(status, "failed"))
                if status != 200:
                    time.sleep(0.05)
                    with lock:
                        if ident in cut:
                            breaks.append(f"{ident} ran, its answer was cut off, and its client was told {status}")
                if headers.get("connection", "").lower() == "close":
                    client.close()
                    client = None
            except OSError as error:
                record.line(f"client gets {ident} error {error!r}")
                client = None
            time.sleep(random.uniform(0, 0.3))

    threads = [threading.Thread(target=client_loop, daemon=True) for _ in range(CLIENTS)]
    [thread.start() for thread in threads]
    [thread.join(SECONDS + 20) for thread in threads]
    sidecar.end()
    return breaks, ", ".join(f"{name} {value}" for name, value in counts.items())


if __name__ == "__main__":
    d.play(case, FOLDER)
