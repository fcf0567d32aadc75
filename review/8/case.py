import asyncio
import os
import signal
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "../standins-3"))
from fleet import Fleet
from kit import CantRun, Sidecar, free_port, run_case

# The grace on drains of the settings, and the 50 ms by which each time limit is longer on sockets.
GRACE = 0.55


async def case(play):
    fleet = await Fleet(play, 3, 3, endpoints=4, extra='\n[upkeep]\nat_once = 1\nwarm = "30s"\n').start()
    await fleet.need("all sidecars are informed", 20, fleet.informed)
    old, machine = fleet.sidecars[2], fleet.endpoints[0]

    async def everywhere(state):
        return all([await fleet.state(s, "s-1") == state for s in fleet.sidecars])

    await fleet.request(fleet.sidecars[0], "s-1")
    await fleet.need("s-1 is at work at all sidecars", 25, lambda: everywhere("at work"))
    status, _ = await fleet.sidecars[0].manage("POST", "/admin/work" + "/done", {"machine": "s-1"})
    await fleet.need("s-1 is back in use at all sidecars", 25, lambda: everywhere("returning"))
    load = fleet.load(old, every=0.02)
    await asyncio.sleep(2)
    before = len(machine.runs)
    # An operator finds that it does not do well and takes it out by hand, here at one sidecar.
    status, body = await old.manage("POST", "/admin/cordon", {"id": "s-1"})
    play.record.note(f"cordon s-1: {status} {body.decode().strip()}")
    banned = play.record.now()
    if status != 200:
        raise CantRun(f"cordon: {status}")
    await asyncio.sleep(2)
    if play.trouble:
        new = Sidecar(play, 2, {**old.config, "management": f"127.0.0.1:{free_port()}"}, old.fleet, old.folder)
        await new.start().ready()
        play.record.note("the new process says yes")
        old.signal(signal.SIGTERM)
        if not await old.ended(8):
            raise CantRun("the old process does not end")
    await asyncio.sleep(8)
    load.cancel()
    # Nobody has called it back.
    late = fleet.runs_after("s-1", banned + GRACE)
    others = sum(len([r for r in e.runs if r["begin"] > banned + GRACE]) for e in fleet.endpoints[1:])
    play.record.note(f"s-1 ran {before} commands before the ban and {len(late)} later than 550 ms after it; the others {others}")
    if before == 0 or others < 100:
        raise CantRun("too little load")
    return f"{len(late)} commands ran at s-1 later than 550 ms after its ban, the first {late[0]['begin'] - banned:.1f} s after it" if late else ""


run_case(HERE, case)
