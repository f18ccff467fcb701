"""What servers that fall silent cost a fleet: verdicts shared, shared blindly, and each judging alone.

    python -m bench.verdicts --seed 1 [--proxies 2,10,40,160] [--fleets 4] [--nodes 12] [--rate 240]

In virtual time, on the world of `bench/many.py`: 5 of 40 servers silent for 8 s at the same total load,
whatever the number of proxies; each proxy is a decision module and a voice of its own, words take 0.3 s.
Counted by the world: attempts that ended by time-out (burnt), what was served, healthy servers that were
left. Then real fleets behind relays, of which one loses its own links to half of the nodes: healthy nodes
that others left for it must be none. The last line has the attempts burnt by the most proxies over those by
the least; the exit code is 1 if verdicts burnt more than each alone did, if a healthy server was left, or if
a rule of the ledger broke.
"""

from __future__ import annotations

import argparse
import asyncio
import sys
import tempfile
from collections import deque
from pathlib import Path
from typing import Any

import uvloop

from bench.many import BEAT_MS, LIST_MS, PURCHASES, WORK_MS, World
from flintlatch.api import Ejection, Event
from flintlatch.standin.fleets import fleets
from flintlatch.standin.rig import MIX
from flintlatch.verdicts.api import EjectionRules, decide_ejections

SERVERS, SILENT, LOAD = 40, 5, 0.6
SECONDS, FROM_MS, UNTIL_MS = 16, 3000, 11_000
LOOK_MS, WORD_MS, HOLDS_MS = 100, 300, 1500.0
WARM_S, ILL_S = 3.0, 6.0
LIFE_S = 1.0


def play(proxies: int, seed: int, rules: EjectionRules | None) -> tuple[int, list[float], int]:
    """Attempts burnt while servers were silent, the parts served of both classes, healthy servers left."""
    world = World(proxies, SERVERS, seed)
    everyone = list(world.servers.values())
    struck = world.rng.sample(everyone, SILENT)
    mean = PURCHASES * WORK_MS[0] + (1 - PURCHASES) * WORK_MS[1]
    rate = LOAD * sum(server.speed for server in everyone) / mean
    fleets_ = {f"p{n}": "ab"[n % 2] for n in range(proxies)}
    told: deque[tuple[float, dict[str, dict[str, int]], dict[str, set[str]]]] = deque()
    shunned: list[set[str]] = [set() for _ in range(proxies)]
    wrong: set[str] = set()
    for beat in range(SECONDS * 1000 // BEAT_MS):
        if beat % (LIST_MS // BEAT_MS) == 0:
            world.tell()
        now = beat * BEAT_MS
        if now in (FROM_MS, UNTIL_MS):
            for server in struck:
                server.silent, server.free_at = now == FROM_MS, world.now
        if rules is not None and now % LOOK_MS == 0:
            bad: dict[str, dict[str, int]] = {}
            good: dict[str, set[str]] = {}
            for n, one in enumerate(world.proxies):
                for name, count in one.failing_servers(world.now).items():
                    bad.setdefault(name, {})[f"p{n}"] = count
            for n, one in enumerate(world.proxies):
                for name in one.healthy_servers(world.now, bad):
                    good.setdefault(name, set()).add(f"p{n}")
            told.append((world.now, bad, good))
            while len(told) > 1 and told[1][0] <= world.now - WORD_MS:
                told.popleft()
            if told[0][0] <= world.now - WORD_MS:
                found = decide_ejections(told[0][1], told[0][2], fleets_, SERVERS, rules)
                wrong |= found.ejected.keys() - {server.name for server in struck}
                for n in range(proxies):
                    wanted = set(found.ejected_for(f"p{n}", fleets_[f"p{n}"]))
                    events: list[Event] = [Ejection(name, 0.0) for name in shunned[n] - wanted]
                    events += [Ejection(name, HOLDS_MS) for name in wanted]
                    shunned[n] = wanted
                    if events:
                        world.step(n, events)
        world.tick(BEAT_MS, rate)
    burnt = sum(count for second, count in world.burnt.items() if FROM_MS <= 1000 * second <= UNTIL_MS)
    parts = [served / max(asked, 1) for served, asked in zip(world.served, world.asked, strict=True)]
    return burnt, parts, len(wrong)


async def ill(
    count: int, nodes: int, rate: float, seed: int, tables: dict[str, Any], folder: Path
) -> tuple[int, int]:
    """One fleet loses half of the nodes; how many of those others shunned at any reading."""
    async with fleets(folder, count, zones=("a", "b"), nodes=nodes, seed=seed, **tables) as made:
        clients = made.create_clients(seed)
        traffic = asyncio.create_task(clients.run(rate, WARM_S + ILL_S, MIX))
        await asyncio.sleep(WARM_S)
        made.links.cut("f0", [f"s{n}" for n in range(nodes // 2 + 1)])
        left: set[str] = set()
        while not traffic.done():
            for name in sorted(made.processes)[1:]:
                told = await made.processes[name].ask("verdicts")
                left |= {one["server"] for one in told["servers"] if one["shunned_here"]}
            await asyncio.sleep(0.2)
        await traffic
        return len(left), len(made.rig.ledger.violations())


async def run(seed: int, sizes: list[int], count: int, nodes: int, rate: float, folder: Path) -> int:
    ways = {
        "alone": None,
        "shared": EjectionRules(),
        "blindly": EjectionRules(quorum=1, strikes=1, most_out=1.0),
    }
    burnt: dict[tuple[str, int], int] = {}
    wrong = 0
    for proxies in sizes:
        for name, rules in ways.items():
            burnt[name, proxies], parts, left = play(proxies, seed, rules)
            wrong += left if name == "shared" else 0
            print(
                f"{name}: {proxies} proxies: {burnt[name, proxies]} attempts burnt, served {parts[0]:.3f} of"
                f" purchases and {parts[1]:.3f} of answers, {left} healthy servers left"
            )
    left = 0
    if count:
        shared: dict[str, Any] = {"verdicts": {"life_s": LIFE_S}}
        left, broken = await ill(count, nodes, rate, seed, shared, folder)
        wrong += left + broken
        print(f"real: {count} fleets, one loses half of the nodes: {left} healthy nodes left by others")
    least, most = sizes[0], sizes[-1]
    ratio = burnt["shared", most] / max(burnt["shared", least], 1)
    bad = wrong or burnt["shared", most] > burnt["alone", most]
    print(
        f"verdicts seed {seed}: {burnt['shared', most]} burnt by {most} proxies, {burnt['alone', most]} each"
        f" alone; {ratio:.2f} of those by {least}, {'BROKEN' if bad else 'held'}"
    )
    return 1 if bad else 0


def main() -> int:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--proxies", default="2,10,40,160", help="in virtual time, the least first")
    parser.add_argument("--fleets", type=int, default=4, help="real ones; 0: none")
    parser.add_argument("--nodes", type=int, default=12)
    parser.add_argument("--rate", type=float, default=240.0)
    args = parser.parse_args()
    sizes = [int(one) for one in args.proxies.split(",")]
    with tempfile.TemporaryDirectory(prefix="flintlatch-") as name:
        return uvloop.run(run(args.seed, sizes, args.fleets, args.nodes, args.rate, Path(name)))


if __name__ == "__main__":
    sys.exit(main())
