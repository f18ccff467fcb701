"""`flintlatch demo`: a fleet among stand-in nodes, through a reload and a node's death, with a ledger."""

from __future__ import annotations

import asyncio
import os
import tempfile
from pathlib import Path

import uvloop

from flintlatch.standin.client import Clients
from flintlatch.standin.node import Shape
from flintlatch.standin.process import FleetProcess
from flintlatch.standin.rig import CLASSES, MIX, Rig

RATE = 300.0  # requests a second: one core or two are enough for all of it
NODES = 5
PARTED_S = 6.0  # s of traffic through the cut and the heal


def say(text: str) -> None:
    print(text, flush=True)


async def show(clients: Clients, seconds: float) -> None:
    """A line a second while traffic runs."""
    loop = asyncio.get_running_loop()
    begun, before = loop.time(), 0
    while loop.time() - begun < seconds:
        await asyncio.sleep(1)
        served = clients.statuses[200]
        other = clients.statuses.total() - served
        say(
            f"  {loop.time() - begun:4.0f} s  asked {clients.count:6}  served {served:6} (+{served - before})"
            f"  refused or failed {other:4}  open {clients.in_flight:3}"
        )
        before = served


async def demo(seed: int, seconds: float, instances: int, folder: Path) -> int:
    rig = await Rig(folder, seed).open(NODES, Shape(slots=8, work_ms=15))
    fleet = FleetProcess(rig.write(fleet={"instances": instances}))
    say(f"{NODES} stand-in nodes and a registry at {rig.registry.address}; starting {instances} instances")
    clients: Clients | None = None
    try:
        await (await fleet.start()).ready()
        say(
            f"the fleet is ready and listens on {fleet.address}; {RATE:g} requests a second for {seconds:g} s"
        )
        clients = Clients(fleet.address, CLASSES, rig.ledger, seed)
        shown = asyncio.create_task(show(clients, seconds))
        traffic = asyncio.create_task(clients.run(RATE, seconds, MIX))
        await asyncio.sleep(seconds * 0.25)
        say("-- reload: a new generation gets ready, then the old one drains")
        answer = await fleet.ask("reload")
        say(f"-- reload: generation {answer['generation']} serves, after {answer['took_s']} s")
        await asyncio.sleep(seconds * 0.2)
        say(f"-- node {rig.nodes[0].uid} dies, with {rig.nodes[0].busy} requests at work")
        rig.nodes[0].die()
        await asyncio.sleep(seconds * 0.1)
        say(f"-- node {rig.nodes[1].uid} is told to drain")
        rig.registry.drain(rig.nodes[1])
        await traffic
        await shown
        code = await fleet.stop()
    finally:
        if clients is not None:
            clients.close()
        await fleet.close()
        rig.close()
    broken = rig.ledger.violations()
    say("\n" + rig.ledger.table())
    say(f"{'median, 99% (ms)':<20} {clients.quantile(0.5):>8.1f} {clients.quantile(0.99):.1f}")
    for breach in broken[:20]:
        say(f"BROKEN {breach}")
    if code:
        say(f"the fleet ended with exit code {code}:\n" + "\n".join(fleet.log[-20:]))
    held = not broken and not code and bool(clients.statuses[200])
    held = held and await parted(seed, folder)
    say("every rule held" if held else "a rule broke, see above")
    return 0 if held else 1


async def parted(seed: int, folder: Path) -> bool:
    """Three fleets that know of each other; a cut between one and the rest, and its heal."""
    try:
        from flintlatch.standin.fleets import fleets
    except ImportError as error:
        say(f"-- no fleets that know of each other here: {error.name} is not installed")
        return True
    say("\nthree fleets that know of each other, each link between them a relay")
    async with fleets(folder, 3, nodes=3, seed=seed) as made:

        async def told(when: str) -> None:
            rows = []
            for name in sorted(made.processes):
                known = await made.peers(name)
                there = " ".join(sorted(await made.alive(name)))
                rows.append(f"{name} knows {there}, counts {known['proxies']} instances")
            say(f"  {when}: " + "; ".join(rows))

        async def alone() -> bool:
            return await made.views_agree("f0") and await made.views_agree("f1", "f2")

        clients = made.create_clients()
        traffic = asyncio.create_task(clients.run(RATE / 3, PARTED_S, MIX))
        await told("whole")
        say("-- every link between f0 and the others is cut")
        made.links.cut("f0", ("f1", "f2"))
        took = await made.until(alone, "the cut's being seen")
        await told(f"after {took:.1f} s")
        say("-- healed")
        made.links.heal()
        took = await made.until(made.views_agree, "agreement")
        await told(f"after {took:.1f} s")
        await traffic
        broken = made.rig.ledger.violations()
        for breach in broken[:20]:
            say(f"BROKEN {breach}")
        say(f"  {made.rig.ledger.counts()['served']} of {clients.count} requests served meanwhile")
    return not broken


def run(seed: int, seconds: float, instances: int) -> int:
    with tempfile.TemporaryDirectory(prefix="flintlatch-") as folder:
        os.chmod(folder, 0o700)
        return uvloop.run(demo(seed, seconds, instances, Path(folder)))
