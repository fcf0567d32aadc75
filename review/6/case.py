"""A long body that is passed on as it comes is divided between two endpoints, and one runs its part as the whole."""

import hashlib
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins-2"))
from lab import *

SOCKETS, MEMORY = 256, 32  # the smallest limits that the pages name
ENDPOINTS = 6
READERS = 53  # of long answers; with the writers under a third of the descriptors
LONG_ANSWER = 8_000_000
WRITERS = 10
FAST, SLOW = 17 * [62_500], 30 * [10_000]  # pieces of a long body; the slow ones come at 1 MB a second
RUN = 40.0
# Of the descriptors, what the sidecar keeps for connections to endpoints: two fifths of those beyond 32 and the door's 56.
ENDPOINT_CONNECTIONS = (SOCKETS - 32 - 56) * 2 // 5
LEFT = 14


class Hashing(Endpoint):
    """Answers a command with the hash of the body that it ran."""

    def __init__(self, name, record, sent, ran_wrong):
        self.sent, self.ran_wrong = sent, ran_wrong
        super().__init__(name, record, work=0.005)

    def serve(self, sock):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 65536)
        reader = Reader(sock)
        while True:
            first, headers = reader.head()
            hashed, size = hashlib.sha256(), 0

            def take(count):
                nonlocal size
                hashed.update(reader.exactly(count))
                size += count

            if "chunked" in headers.get("transfer-encoding", ""):
                while count := int(reader.until(b"\r\n").split(b";")[0], 16):
                    take(count)
                    reader.exactly(2)
                while reader.until(b"\r\n"):
                    pass
            else:
                take(int(headers.get("content-length", 0)))
            if first.split(" ")[1] in ("/load", "/healthz"):
                self.answer_probe(sock, reader)
                continue
            self.answer_command(sock, headers["req-id"], hashed.hexdigest(), size)

    def load(self):
        """Nothing ever waits here, and what is being written takes no core."""
        return f"TEXT queue=0, util={min(1.0, self.holds / 2):.2f}"

    def answer_command(self, sock, ident, digest, size):
        if ident.startswith("reader"):
            self.record(f"{self.name}: runs {ident}")
            sock.sendall(f"HTTP/1.1 200 OK\r\nContent-Length: {LONG_ANSWER}\r\n\r\n".encode())
            for _ in range(LONG_ANSWER // 16_000):
                sock.sendall(b"x" * 16_000)
            return
        wrong = self.sent[ident] != (digest, size)
        self.record(f"{self.name}: runs {ident} with {size} bytes{', a body that nobody sent' if wrong else ''}")
        if wrong:
            self.ran_wrong.append((self.name, ident, size))
        self.holds += 1
        time.sleep(self.work)
        self.holds -= 1
        sock.sendall(answer(200, digest.encode(), Srv_Load=self.load()))


def case(lab):
    sent, ran_wrong, wrongly_answered, counts, lock = {}, [], [], {}, threading.Lock()
    discovery = Discovery(lab.record)
    endpoints = [Hashing(f"s-{n}", lab.record, sent, ran_wrong) for n in range(ENDPOINTS)]
    discovery.put(*[entry(e.name, e.address) for e in endpoints])
    verbs = [verb("trip-history", "read_like"), verb("pickup-mark", "idempotency_key", window_ms=5000)]
    listen, door = [f"127.0.0.1:{port}" for port in free_ports(2)]
    limits = {"cores": 1.0, "memory_mb": MEMORY, "sockets": SOCKETS}
    lab.start_sidecar(
        "n0",
        config(
            "n0", listen, discovery.address, settings(verbs=verbs), known=discovery.whole(), management=door, limits=limits
        ),
    )
    wait_for("a sidecar that is ready", lambda: ready(listen))
    end = time.monotonic() + RUN

    def reader(name):
        host, port = listen.split(":")
        got, serial, data = 0, 0, b""
        # One that is refused comes again.
        while time.monotonic() < end and not ran_wrong and data[9:12] != b"200":
            serial += 1
            sock = socket.socket()
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 32768)
            sock.settimeout(10)
            sock.connect((host, int(port)))
            sock.sendall(
                f"GET /trip-history HTTP/1.1\r\nHost: backend.local\r\nReq-Id: {name}x{serial}\r\n"
                "Req-Deadline-Ms: 1000\r\n\r\n".encode()
            )
            data = sock.recv(8000)
            if data[9:12] != b"200":
                sock.close()
                time.sleep(0.3)
        while data and time.monotonic() < end and not ran_wrong:
            got += len(data)
            if TROUBLE:
                time.sleep(0.1)
            elif got >= LONG_ANSWER:
                break
            data = sock.recv(8000)
        lab.record(f"client {name}: read {got} bytes, after {serial} tries")
        sock.close()

    def writer(number):
        serial = 0
        while time.monotonic() < end and not ran_wrong:
            serial += 1
            ident = f"writer{number}x{serial:04d}"
            pieces = [os.urandom(size) for size in FAST + SLOW]
            whole = b"".join(pieces)
            sent[ident] = (hashlib.sha256(whole).hexdigest(), len(whole))
            lab.record(f"client {ident}: sends {len(whole)} bytes")
            client = Client(listen)
            try:
                client.connect()
                client.sock.sendall(
                    f"POST /pickup-mark HTTP/1.1\r\nHost: backend.local\r\nReq-Id: {ident}\r\nReq-Deadline-Ms: 1000\r\n"
                    f"Idempotency-Key: key-{ident}\r\nTransfer-Encoding: chunked\r\n\r\n".encode()
                )
                for n, piece in enumerate(pieces):
                    client.sock.sendall(f"{len(piece):x}\r\n".encode() + piece + b"\r\n")
                    if n >= len(FAST):
                        time.sleep(0.01)
                client.sock.sendall(b"0\r\n\r\n")
                client.sock.settimeout(2)
                first, _, body = client.reader.message()
                status = int(first.split(" ")[1])
                if status == 200 and body.decode() != sent[ident][0]:
                    wrongly_answered.append(ident)
                    lab.record(f"client {ident}: answered 200 for another body than its own")
            except (OSError, ConnectionError) as error:
                status = f"none ({type(error).__name__})"
            client.drop()
            with lock:
                counts[status] = counts.get(status, 0) + 1
            lab.record(f"client {ident}: answered {status}")
            time.sleep(random.uniform(0, 0.1))

    readers = 0
    held = lambda: sum(len(endpoint.open) for endpoint in endpoints)
    while readers < READERS + 12 and (not TROUBLE or held() < ENDPOINT_CONNECTIONS - LEFT):
        threading.Thread(target=reader, args=(f"reader{readers}",), daemon=True).start()
        readers += 1
        time.sleep(0.1)
    lab.record(f"{readers} clients read a long answer; connections at endpoints: {held()}")
    threads = [threading.Thread(target=writer, args=(n,)) for n in range(WRITERS)]
    [thread.start() for thread in threads]
    [thread.join() for thread in threads]
    time.sleep(0.5)
    print(f"long bodies by status: {counts}; run with a body that nobody sent: {ran_wrong[:3]}, {len(ran_wrong)} in all; "
          f"answered 200 for it: {len(wrongly_answered)}")
    if not counts.get(200):
        raise Unable("no long body was served")
    return BROKEN if ran_wrong else HELD


run(__file__, case)
