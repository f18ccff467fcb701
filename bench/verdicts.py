"""Compares shared outlier detection, the same without a quorum, and local detection when servers hang.

    python -m bench.verdicts --seed 1 [--proxies 2,10,40,160] [--fleets 4] [--nodes 12] [--rate 240]

In virtual time, in the simulation of `bench/many.py`, 5 of 40 servers hang for 8 s at the same total load for
any number of proxies. Each proxy is a decision module and an observer; reports take 0.3 s. The simulation
counts attempts that timed out (burnt), served requests, and ejected healthy servers. Then one of several real
fleets loses its links to half of the nodes; the others must not eject any of these. The last line has the
attempts burnt with the most proxies relative to the fewest. The exit code is 1 if sharing burnt more attempts
than local detection, if a healthy server was ejected, or if a rule of the ledger was broken.
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

from bench.many import LIST_MS, PURCHASES, TICK_MS, WORK_MS, World
from flintlatch.api import Ejection, Event
from flintlatch.standin.fleets import fleets
from flintlatch.standin.rig import MIX
from flintlatch.verdicts.api import EjectionRules, decide_ejections

SERVERS, HANGING_SERVERS, LOAD = 40, 5, 0.6
SECONDS, HANG_FROM_MS, HANG_UNTIL_MS = 16, 3000, 11_000
STEP_MS, REPORT_DELAY_MS, EJECTION_MS = 100, 300, 1500.0
WARM_UP_S, FAULT_S = 3.0, 6.0
REPORT_TTL_S = 1.0


def play(proxies: int, seed: int, rules: EjectionRules | None) -> tuple[int, list[float], int]:
    """Simulates one variant; `rules` is None for local detection only.

    Returns the attempts that timed out while servers hung, the fraction served of both classes, and the
    number of healthy servers that were ejected.
    """
    world = World(proxies, SERVERS, seed)
    all_servers = list(world.servers.values())
    hanging_servers = world.rng.sample(all_servers, HANGING_SERVERS)
    mean = PURCHASES * WORK_MS[0] + (1 - PURCHASES) * WORK_MS[1]
    rate = LOAD * sum(server.speed for server in all_servers) / mean
    zones = {f"p{n}": "ab"[n % 2] for n in range(proxies)}
    reports: deque[tuple[float, dict[str, dict[str, int]], dict[str, set[str]]]] = deque()
    ejected: list[set[str]] = [set() for _ in range(proxies)]
    wrongly_ejected: set[str] = set()
    for tick in range(SECONDS * 1000 // TICK_MS):
        if tick % (LIST_MS // TICK_MS) == 0:
            world.send_list()
        now = tick * TICK_MS
        if now in (HANG_FROM_MS, HANG_UNTIL_MS):
            for server in hanging_servers:
                server.hanging, server.free_at = now == HANG_FROM_MS, world.now
        if rules is not None and now % STEP_MS == 0:
            bad: dict[str, dict[str, int]] = {}
            good: dict[str, set[str]] = {}
            for n, proxy in enumerate(world.proxies):
                for name, count in proxy.failing_servers(world.now).items():
                    bad.setdefault(name, {})[f"p{n}"] = count
            for n, proxy in enumerate(world.proxies):
                for name in proxy.healthy_servers(world.now, bad):
                    good.setdefault(name, set()).add(f"p{n}")
            reports.append((world.now, bad, good))
            while len(reports) > 1 and reports[1][0] <= world.now - REPORT_DELAY_MS:
                reports.popleft()
            if reports[0][0] <= world.now - REPORT_DELAY_MS:
                ejections = decide_ejections(reports[0][1], reports[0][2], zones, SERVERS, rules)
                wrongly_ejected |= ejections.ejected.keys() - {server.name for server in hanging_servers}
                for n in range(proxies):
                    wanted_ejections = set(ejections.ejected_for(f"p{n}", zones[f"p{n}"]))
                    events: list[Event] = [Ejection(name, 0.0) for name in ejected[n] - wanted_ejections]
                    events += [Ejection(name, EJECTION_MS) for name in wanted_ejections]
                    ejected[n] = wanted_ejections
                    if events:
                        world.step(n, events)
        world.tick(TICK_MS, rate)
    timed_out = sum(
        count for second, count in world.timed_out.items() if HANG_FROM_MS <= 1000 * second <= HANG_UNTIL_MS
    )
    served_fractions = [
        served / max(asked, 1) for served, asked in zip(world.served, world.asked, strict=True)
    ]
    return timed_out, served_fractions, len(wrongly_ejected)


async def cut_one_fleet(
    count: int, nodes: int, rate: float, seed: int, tables: dict[str, Any], folder: Path
) -> tuple[int, int]:
    """Cuts the links of one fleet to half of the nodes.

    Returns the number of these that other fleets ejected at any time, and of broken rules of the ledger.
    """
    async with fleets(folder, count, zones=("a", "b"), nodes=nodes, seed=seed, **tables) as fleet_rig:
        clients = fleet_rig.create_clients(seed)
        traffic = asyncio.create_task(clients.run(rate, WARM_UP_S + FAULT_S, MIX))
        await asyncio.sleep(WARM_UP_S)
        fleet_rig.links.cut("f0", [f"s{n}" for n in range(nodes // 2 + 1)])
        ejected_healthy: set[str] = set()
        while not traffic.done():
            for name in sorted(fleet_rig.processes)[1:]:
                reports = await fleet_rig.processes[name].ask("verdicts")
                ejected_healthy |= {row["server"] for row in reports["servers"] if row["shunned_here"]}
            await asyncio.sleep(0.2)
        await traffic
        return len(ejected_healthy), len(fleet_rig.rig.ledger.violations())


async def run(seed: int, sizes: list[int], count: int, nodes: int, rate: float, folder: Path) -> int:
    variants = {
        "alone": None,
        "shared": EjectionRules(),
        "blindly": EjectionRules(quorum=1, strikes=1, most_out=1.0),
    }
    timed_out: dict[tuple[str, int], int] = {}
    wrongly_ejected = 0
    for proxies in sizes:
        for name, rules in variants.items():
            timed_out[name, proxies], served_fractions, ejected_healthy = play(proxies, seed, rules)
            wrongly_ejected += ejected_healthy if name == "shared" else 0
            print(
                f"{name}: {proxies} proxies: {timed_out[name, proxies]} attempts burnt, served "
                f"{served_fractions[0]:.3f} of"
                f" purchases and {served_fractions[1]:.3f} of answers, {ejected_healthy} healthy servers left"
            )
    ejected_healthy = 0
    if count:
        shared: dict[str, Any] = {"verdicts": {"life_s": REPORT_TTL_S}}
        ejected_healthy, broken = await cut_one_fleet(count, nodes, rate, seed, shared, folder)
        wrongly_ejected += ejected_healthy + broken
        print(
            f"real: {count} fleets, one loses half of the nodes: {ejected_healthy} healthy nodes left by "
            f"others"
        )
    fewest, most = sizes[0], sizes[-1]
    ratio = timed_out["shared", most] / max(timed_out["shared", fewest], 1)
    bad = wrongly_ejected or timed_out["shared", most] > timed_out["alone", most]
    print(
        f"verdicts seed {seed}: {timed_out['shared', most]} burnt by {most} proxies, "
        f"{timed_out['alone', most]} each"
        f" alone; {ratio:.2f} of those by {fewest}, {'BROKEN' if bad else 'held'}"
    )
    return 1 if bad else 0


def main() -> int:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument(
        "--proxies", default="2,10,40,160", help="numbers of proxies in virtual time, ascending"
    )
    parser.add_argument("--fleets", type=int, default=4, help="real fleets; 0: none")
    parser.add_argument("--nodes", type=int, default=12)
    parser.add_argument("--rate", type=float, default=240.0)
    args = parser.parse_args()
    sizes = [int(size) for size in args.proxies.split(",")]
    with tempfile.TemporaryDirectory(prefix="flintlatch-") as name:
        return uvloop.run(run(args.seed, sizes, args.fleets, args.nodes, args.rate, Path(name)))


if __name__ == "__main__":
    sys.exit(main())
