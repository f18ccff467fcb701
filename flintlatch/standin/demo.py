"""Implements `flintlatch demo`: a fleet with stand-in nodes, a reload, a node failure and a partition."""

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

RATE = 300.0  # requests a second; one or two cores are enough for the whole demo
NODES = 5
PARTITION_S = 6.0  # duration of the traffic during the partition and its heal


def say(text: str) -> None:
    print(text, flush=True)


async def print_progress(clients: Clients, seconds: float) -> None:
    """Print a line each second while traffic runs."""
    loop = asyncio.get_running_loop()
    start, last = loop.time(), 0
    while loop.time() - start < seconds:
        await asyncio.sleep(1)
        served = clients.statuses[200]
        other = clients.statuses.total() - served
        say(
            f"  {loop.time() - start:4.0f} s  asked {clients.count:6}  served {served:6} (+{served - last})"
            f"  refused or failed {other:4}  open {clients.in_flight:3}"
        )
        last = served


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
        progress = asyncio.create_task(print_progress(clients, seconds))
        traffic = asyncio.create_task(clients.run(RATE, seconds, MIX))
        await asyncio.sleep(seconds * 0.25)
        say("-- reload: a new generation gets ready, then the old one drains")
        answer = await fleet.ask("reload")
        say(f"-- reload: generation {answer['generation']} serves, after {answer['took_s']} s")
        await asyncio.sleep(seconds * 0.2)
        say(f"-- node {rig.nodes[0].uid} dies, with {rig.nodes[0].busy} requests at work")
        rig.nodes[0].crash()
        await asyncio.sleep(seconds * 0.1)
        say(f"-- node {rig.nodes[1].uid} is told to drain")
        rig.registry.drain(rig.nodes[1])
        await traffic
        await progress
        code = await fleet.stop()
    finally:
        if clients is not None:
            clients.close()
        await fleet.close()
        rig.close()
    violations = rig.ledger.violations()
    say("\n" + rig.ledger.table())
    say(f"{'median, 99% (ms)':<20} {clients.quantile(0.5):>8.1f} {clients.quantile(0.99):.1f}")
    for violation in violations[:20]:
        say(f"BROKEN {violation}")
    if code:
        say(f"the fleet ended with exit code {code}:\n" + "\n".join(fleet.log[-20:]))
    all_kept = not violations and not code and bool(clients.statuses[200])
    all_kept = all_kept and await run_partition(seed, folder)
    say("every rule held" if all_kept else "a rule broke, see above")
    return 0 if all_kept else 1


async def run_partition(seed: int, folder: Path) -> bool:
    """Partition one of three peer fleets from the others, and heal it; return whether every rule was kept."""
    try:
        from flintlatch.standin.fleets import fleets
    except ImportError as error:
        say(f"-- no fleets that know of each other here: {error.name} is not installed")
        return True
    say("\nthree fleets that know of each other, each link between them a relay")
    async with fleets(folder, 3, nodes=3, seed=seed) as cluster:

        async def print_views(when: str) -> None:
            rows = []
            for name in sorted(cluster.processes):
                status = await cluster.peers(name)
                members = " ".join(sorted(await cluster.alive(name)))
                rows.append(f"{name} knows {members}, counts {status['proxies']} instances")
            say(f"  {when}: " + "; ".join(rows))

        async def views_split() -> bool:
            return await cluster.views_agree("f0") and await cluster.views_agree("f1", "f2")

        clients = cluster.create_clients()
        traffic = asyncio.create_task(clients.run(RATE / 3, PARTITION_S, MIX))
        await print_views("whole")
        say("-- every link between f0 and the others is cut")
        cluster.links.cut("f0", ("f1", "f2"))
        elapsed_s = await cluster.until(views_split, "separate views after the cut")
        await print_views(f"after {elapsed_s:.1f} s")
        say("-- healed")
        cluster.links.heal()
        elapsed_s = await cluster.until(cluster.views_agree, "agreement")
        await print_views(f"after {elapsed_s:.1f} s")
        await traffic
        violations = cluster.rig.ledger.violations()
        for violation in violations[:20]:
            say(f"BROKEN {violation}")
        say(f"  {cluster.rig.ledger.counts()['served']} of {clients.count} requests served meanwhile")
    return not violations


def run(seed: int, seconds: float, instances: int) -> int:
    with tempfile.TemporaryDirectory(prefix="flintlatch-") as folder:
        os.chmod(folder, 0o700)
        return uvloop.run(demo(seed, seconds, instances, Path(folder)))
