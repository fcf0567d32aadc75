"""Two sidecars own a duty at once, after voters with a new state file were killed before they had waited."""

import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins-2"))
from lab import *

LEASE = 30.0


class Resource(Server):
    """What a duty calls: it keeps the highest epoch and refuses a lower one."""

    def __init__(self, record):
        self.record, self.lock, self.calls, self.highest = record, threading.Lock(), [], (0, -1)
        super().__init__()

    def serve(self, sock):
        reader = Reader(sock)
        while True:
            _, headers, _ = reader.message()
            with self.lock:
                epoch, owner = int(headers["epoch"]), int(headers["owner"])
                stale = epoch < self.highest[0] or epoch == self.highest[0] and owner != self.highest[1]
                if not stale:
                    self.highest = (epoch, owner)
                self.calls.append((time.monotonic(), epoch, owner, stale))
            self.record(f"resource: call of sidecar {owner} by epoch {epoch}: {'refused' if stale else 'done'}")
            sock.sendall(answer(409, Epoch=self.highest[0]) if stale else answer(200))


def owners(fleet, count):
    """The sidecars that take themselves for the owner, each with its epoch."""
    found = {}
    for n in range(count):
        try:
            duty = fleet.status(n)["duties"][0]
            if duty["here"]:
                found[n] = duty["epoch"]
        except (OSError, ConnectionError, ValueError):
            pass
    return found


def case(lab):
    discovery, resource = Discovery(lab.record), Resource(lab.record)
    endpoint = Endpoint("s-0", lab.record)
    discovery.put(entry("s-0", endpoint.address))

    plain = (
        f'lease = "{LEASE:.0f}s"\nperiod = "1s"\nvoters = 3\n%s[[duty]]\nname = "sweep"\nevery = "1s"\n'
        f'call = "http://{resource.address}/sweep"\nwithin = "1s"\n'
    )
    fleet = Fleet(lab, 3, plain % "", discovery, settings())
    [wait_for("a sidecar that is ready", lambda at=at: ready(at)) for at in fleet.listen]
    first = wait_for("an owner", lambda: owners(fleet, 3), 60)
    owner, others = next(iter(first)), [n for n in range(3) if n not in first]
    lab.record(f"owner: {first}")
    # The restarts begin soon after a renewal.
    wait_for("a renewal", lambda: fleet.status(owner)["duties"][0]["left_ms"] > 940 * LEASE, 20)
    # Planned restarts, one after the other, bring a file with `state`; the owner's turn would be the last.
    for n in others:
        lab.signal(f"n{n}", fleet.processes[n], signal.SIGTERM)
        fleet.processes[n].wait()
        with open(fleet.files[n], "w") as out:
            out.write(plain % f'state = "{os.path.join(lab.folder, f"votes-{n}.state")}"\n')
        fleet.processes[n] = fleet.start(n)
        wait_for("a sidecar that is ready", lambda: ready(fleet.listen[n]))
    if TROUBLE:
        for n in others:
            lab.signal(f"n{n}", fleet.processes[n], signal.SIGKILL)
        for n in others:
            fleet.processes[n].wait()
            fleet.processes[n] = fleet.start(n)
            wait_for("a sidecar that is ready", lambda: ready(fleet.listen[n]))
            time.sleep(0.1)
    both, end = [], time.monotonic() + 0.7 * LEASE
    while time.monotonic() < end:
        now = owners(fleet, 3)
        if len(now) > 1:
            # Asked again, the first one last: it was the owner before and after the other one was.
            ordered = sorted(now, key=lambda n: now[n])
            again = [(n, fleet.status(n)["duties"][0]) for n in (ordered[0], ordered[-1], ordered[0])]
            if all(duty["here"] for _, duty in again):
                both.append(now)
                lab.record(f"two owners at once: {now}, left ms: {[(n, duty['left_ms']) for n, duty in again]}")
        time.sleep(0.01)
    stale = [(at, epoch, who) for at, epoch, who, refused in resource.calls if refused]
    lab.record(f"calls by an old epoch after one by a newer: {len(stale)}; times that two owned the duty: {len(both)}")
    print(f"two owners at once: {both[:1]}, seen {len(both)} times; calls refused as old: {len(stale)}")
    return BROKEN if both else HELD


run(__file__, case)
