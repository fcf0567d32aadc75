"""A second copy of an answer comes some milliseconds late, and is handed to another client."""

import os
import random
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins-2"))
from lab import *

WAY = 0.0005  # one way between data centres: 0.32 to 0.53 ms in the brief
SHARE = 0.02  # of the answers that bring a second copy
LATE = (0.001, 0.004)  # how long after its answer the second copy is written
RUN = 20.0
SIDECARS, CLIENTS = 4, 5
ROOM = 2  # commands that an endpoint holds at most; it turns the others away


class Doubling(Endpoint):
    """Some answers bring a second copy of themselves, when nothing else waits on the connection."""

    copies = 0

    def again(self, sock, reader, data, what):
        if not TROUBLE or random.random() >= SHARE:
            return
        time.sleep(random.uniform(*LATE))
        sock.setblocking(False)
        try:
            waiting = reader.buffer or sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            waiting = None
        finally:
            sock.setblocking(True)
        if waiting is None:
            sock.sendall(data)
            self.copies += 1
            self.record(f"{self.name}: second copy of the answer to {what}")

    def command(self, sock, reader, first, headers, body):
        if self.holds > ROOM:
            data = answer(503, Srv_Declined=1, Srv_Load=self.load())
        else:
            self.run_command(headers)
            data = answer(200, headers["req-id"].encode(), Srv_Load=self.load())
        sock.sendall(data)
        self.again(sock, reader, data, headers["req-id"])


def case(lab):
    discovery = Discovery(lab.record)
    endpoints = [Doubling(f"s-{n}", lab.record, work=0.010) for n in range(6)]
    links = [Link(endpoint.port, WAY) for endpoint in endpoints]
    discovery.put(*[entry(e.name, link.address, zone="north") for e, link in zip(endpoints, links)])
    listen = [f"127.0.0.1:{port}" for port in free_ports(SIDECARS)]
    for n, at in enumerate(listen):
        lab.start_sidecar(f"n{n}", config(f"n{n}", at, discovery.address, settings(), known=discovery.whole()))
    [wait_for("a sidecar that is ready", lambda at=at: ready(at)) for at in listen]
    foreign, counts, lock = [], {}, threading.Lock()
    end = time.monotonic() + RUN

    def client(number):
        connection, serial = Client(listen[number // CLIENTS]), 0
        while time.monotonic() < end:
            serial += 1
            ident = f"c{number}x{serial:05d}"
            try:
                if number % 2:
                    status, _, body = connection.call("/book-trip", ident, method="POST", body=b"x")
                else:
                    status, _, body = connection.call("/check-slot", ident)
            except (OSError, ConnectionError) as error:
                status, body = f"none: {error}", b""
            with lock:
                counts[status] = counts.get(status, 0) + 1
            lab.record(f"client {number}: {ident} answered {status} {body[:60]!r}")
            if status == 200 and body != ident.encode():
                foreign.append((ident, body))
                lab.record(f"client {number}: {ident} was served with what was not made for it: {body[:60]!r}")

    threads = [threading.Thread(target=client, args=(n,)) for n in range(SIDECARS * CLIENTS)]
    [thread.start() for thread in threads]
    [thread.join() for thread in threads]
    time.sleep(0.5)
    times = {}
    for endpoint in endpoints:
        for _, ident in endpoint.ran:
            times[ident] = times.get(ident, 0) + 1
    # Clients with an odd number send effectful commands.
    twice = [ident for ident, count in times.items() if count > 1 and ident not in Client.resent and int(ident[1 : ident.index("x")]) % 2]
    [lab.record(f"{ident}: effectful, ran {times[ident]} times") for ident in twice]
    copies = sum(endpoint.copies for endpoint in endpoints)
    lab.record(f"answers by status: {counts}; second copies written: {copies}; foreign answers: {len(foreign)}; "
               f"effectful commands that ran twice: {len(twice)}")
    print(f"answers by status: {counts}; second copies: {copies}; foreign: {len(foreign)} {foreign[:1]}; ran twice: {len(twice)}")
    if not counts.get(200):
        raise Unable("nothing was served")
    return BROKEN if foreign or twice else HELD


run(__file__, case)
