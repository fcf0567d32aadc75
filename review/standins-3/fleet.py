"""A small fleet of sidecars that talk, six endpoints and an order of work on them."""

import asyncio
import os
import random
import time

from kit import MS, CantRun, Discovery, Endpoint, Sidecar, free_ports, settings, verb
import socket


class Fleet:
    def __init__(self, play, count, voters, endpoints=6, extra="", lease="3s", verbs=None, work=0.02):
        self.play, self.count = play, count
        self.endpoints = [Endpoint(play.record, f"s-{n + 1}", work) for n in range(endpoints)]
        self.verbs = verbs or [verb("check-slot", "read_like"), verb("book-trip", "non_idempotent")]
        self.fleet_file = os.path.join(play.folder, "fleet.toml")
        with open(self.fleet_file, "w") as f:
            f.write(f'lease = "{lease}"\nperiod = "1s"\nvoters = {voters}\n{extra}')

    async def start(self):
        for endpoint in self.endpoints:
            await endpoint.start()
        self.discovery = await Discovery(self.play.record, self.endpoints).start()
        ports, peers = free_ports(2 * self.count), free_ports(self.count, socket.SOCK_DGRAM)
        self.peers = [f"127.0.0.1:{port}" for port in peers]
        self.sidecars = []
        for n in range(self.count):
            config = {
                "name": f"n{n}", "listen": f"127.0.0.1:{ports[2 * n]}", "management": f"127.0.0.1:{ports[2 * n + 1]}",
                "discovery": self.discovery.address, "seed": f"{random.getrandbits(64):016x}",
                "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
                "peer_listen": self.peers[n], "peers": self.peers, "known": self.discovery.whole(),
                "settings": settings(self.verbs, my_number=n, n_instances=self.count),
            }
            self.sidecars.append(Sidecar(self.play, n, config, self.fleet_file).start())
        await asyncio.gather(*(sidecar.ready() for sidecar in self.sidecars))
        return self

    async def until(self, what, seconds, check):
        """Waits until `check` (awaited) is true; false if it never is."""
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            if await check():
                self.play.record.note(f"seen   {what}")
                return True
            await asyncio.sleep(0.05)
        self.play.record.note(f"not seen within {seconds} s: {what}")
        return False

    async def need(self, what, seconds, check):
        if not await self.until(what, seconds, check):
            raise CantRun(f"not seen within {seconds} s: {what}")

    async def informed(self):
        return all([(await sidecar.work())[0] for sidecar in self.sidecars])

    async def state(self, sidecar, machine):
        return (await sidecar.work())[1].get(machine)

    async def request(self, sidecar, *machines, seconds=10, **more):
        """Asks a sidecar for machines until it is answered."""
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            status, body = await sidecar.manage("POST", "/admin/work", {"machines": list(machines), "for_s": 600, **more})
            self.play.record.note(f"ask    sidecar {sidecar.number} for {machines}: {status} {body.decode().strip()}")
            if status in (200, 202):
                return status
            await asyncio.sleep(0.3)
        raise CantRun(f"no order for {machines}")

    def load(self, sidecar, every=0.1, path="/check-slot/x"):
        async def go():
            while True:
                self.play.spawn(self.play.command(sidecar, "GET", path))
                await asyncio.sleep(every)
        return self.play.spawn(go())

    def runs_after(self, machine, since):
        endpoint = next(e for e in self.endpoints if e.name == machine)
        return [run for run in endpoint.runs if run["begin"] > since]
