"""Clients read long answers slowly, and the sidecar goes over its limit on memory, for which the platform kills it."""

import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins-2"))
from lab import *

SOCKETS, MEMORY_MB = 1024, 32
ENDPOINTS = 17  # "11 to 17" on the busiest days
CLIENTS = 330  # under a third of the descriptors
LONG_ANSWER = 8_000_000
RUN = 60.0


class Long(Endpoint):
    """Answers with 8 MB. It reports what waits, which is nothing ever, and how busy its two cores are."""

    works = 0

    def load(self):
        return f"TEXT queue=0, util={min(1.0, self.works / 2):.2f}"

    def command(self, sock, reader, first, headers, body):
        self.works += 1
        self.run_command(headers)
        self.works -= 1
        sock.sendall(f"HTTP/1.1 200 OK\r\nContent-Length: {LONG_ANSWER}\r\nSrv-Load: {self.load()}\r\n\r\n".encode())
        for _ in range(LONG_ANSWER // 64_000):
            sock.sendall(b"x" * 64_000)


def case(lab):
    discovery = Discovery(lab.record)
    endpoints = [Long(f"s-{n}", lab.record, work=0.005) for n in range(ENDPOINTS)]
    discovery.put(*[entry(e.name, e.address, zone=("north", "south")[n % 2]) for n, e in enumerate(endpoints)])
    listen, door = [f"127.0.0.1:{port}" for port in free_ports(2)]
    limits = {"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": SOCKETS}
    verbs = [verb("trip-history", "read_like")]
    sidecar = lab.start_sidecar(
        "n0",
        config(
            "n0", listen, discovery.address, settings(verbs=verbs), known=discovery.whole(), management=door, limits=limits
        ),
    )
    wait_for("a sidecar that is ready", lambda: ready(listen))
    reading, whole, lock, done = [0], [0], threading.Lock(), threading.Event()

    def client(number):
        host, port = listen.split(":")
        got, status = 0, "none"
        serial = 0
        while not done.is_set() and status != "200":
            serial += 1
            try:
                sock = socket.socket()
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 16384)
                sock.settimeout(10)
                sock.connect((host, int(port)))
                sock.sendall(
                    f"GET /trip-history HTTP/1.1\r\nHost: backend.local\r\nReq-Id: c{number}x{serial}\r\n"
                    "Req-Deadline-Ms: 1000\r\n\r\n".encode()
                )
                data = sock.recv(8000)
                status = data[9:12].decode() or "none"
            except OSError:
                status = "none"
            lab.record(f"client c{number}x{serial}: the answer begins with {status}")
            if status != "200":
                sock.close()
                done.wait(0.5)
        if status != "200":
            return
        with lock:
            reading[0] += 1
        try:
            while data and not done.is_set():
                got += len(data)
                if TROUBLE:
                    done.wait(0.1)
                data = sock.recv(8000)
        except OSError:
            data = b""
        with lock:
            reading[0] -= 1
            whole[0] += got >= LONG_ANSWER
        lab.record(f"client c{number}x{serial}: has read {got} bytes")
        sock.close()

    def resident():
        with open(f"/proc/{sidecar.pid}/status") as file:
            return int(re.search(r"RssAnon:\s+(\d+) kB", file.read()).group(1)) * 1024

    # A megabyte counts as 2^20 bytes, to be fair. The program's own pages, files and sockets are left out.
    limit, most, killed, at_kill = MEMORY_MB << 20, 0, False, 0
    lab.record(f"n0: has {resident()} bytes of {limit} at the start")
    threads = [threading.Thread(target=client, args=(n,), daemon=True) for n in range(CLIENTS)]
    end = time.monotonic() + RUN
    for number, thread in enumerate(threads):
        thread.start()
        time.sleep(0.03)
        if number % 30 == 29 and not killed:
            lab.record(f"n0: has {resident()} bytes, {reading[0]} clients read")
        if not killed and resident() > limit:
            killed = True
            most, at_kill = resident(), reading[0]
            lab.record(f"platform: n0 has {most} bytes of {limit} with {reading[0]} clients that read, and is killed")
            lab.signal("n0", sidecar, signal.SIGKILL)
            break
    while time.monotonic() < end and not killed:
        most = max(most, resident())
        time.sleep(0.1)
        if TROUBLE is False and not any(thread.is_alive() for thread in threads):
            break
    time.sleep(1)
    done.set()
    lab.record(f"answers read whole: {whole[0]}; open at the kill: {at_kill}; most memory: {most} bytes of {limit}")
    print(f"most memory: {most / 2**20:.1f} of {MEMORY_MB} MB; answers read whole: {whole[0]}, open at the kill: {at_kill}")
    if not killed and not whole[0] and not reading[0]:
        raise Unable("nothing was served")
    return BROKEN if killed else HELD


run(__file__, case)
