"""Delivery by real processes behind relays of faults, held against its stated bounds.

    python -m bench.delivery_processes --seed 1 [--relays 6] [--followers 20] [--seconds 60]

An origin commits every half second while relays are killed, paused, cut off (from the origin, from followers
or both, also one way) and slowed, at most half of them at once, by a schedule drawn from the seed. What each
follower writes is audited: of one commit each time, never back, never older than the age that it tells. The
staleness is from the replacement of the origin's file until the change is in force at a follower. Processor
shares are those that proc(5) tells. The last line says that the bounds held, or what broke; then the exit
code is 1.
"""

from __future__ import annotations

import argparse
import asyncio
import os
import sys
import tempfile
from collections.abc import Iterable
from pathlib import Path
from random import Random
from typing import Any

import uvloop

from flintlatch.delivery.model import Rules
from flintlatch.delivery.source import POLL_INTERVAL_S
from flintlatch.peers.clock import clock
from flintlatch.standin.delivery import DeliveryDeployment, delivery_deployment
from flintlatch.standin.links import FaultEvent, draw_schedule, format_schedule

EACH_S = 4.0  # the longest fault
COMMIT_S = 0.5
HOP_S = 0.35  # of a slowed link: at most 0.1 s, and 0.2 s where a part is lost; the loop's turn
ZONES = ("a", "b", "c")
TICKS = os.sysconf("SC_CLK_TCK")


def bound(rules: Rules, relays: int) -> float:
    """Half of the relays are lost; or they have no way to the origin for the longest fault, then an attempt
    is under way that fails, and the longest wait before the next."""
    base = rules.staleness_bound_s(0, 0.0, HOP_S)
    cut = EACH_S + rules.connect_s + rules.retry_s[1] + base
    return max(rules.staleness_bound_s(relays // 2, 0.0, HOP_S), cut) + POLL_INTERVAL_S


def schedule(seed: int, relays: list[str], followers: list[str], seconds: float) -> list[FaultEvent]:
    """Of the usual schedule's cuts between relays, cuts from those that they speak to."""
    rng, made = Random(f"{seed}/sides"), []
    for one in draw_schedule(seed, relays, seconds, EACH_S):
        if one.action in ("cut", "cut one way", "link"):
            others = rng.choice((("origin",), tuple(followers), ("origin", *followers)))
            sides = (one.side, others) if rng.random() < 0.5 else (others, one.side)
            one = FaultEvent(one.at_s, one.action, *sides, one.link)
        made.append(one)
    return made


def quantile(values: list[float], part: float) -> float:
    return sorted(values)[min(int(part * len(values)), len(values) - 1)] if values else 0.0


def spent(pid: int) -> float:
    """Processor seconds of a process, as proc(5) tells them."""
    with open(f"/proc/{pid}/stat") as file:
        fields = file.read().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS


def worst_minute(rows: list[dict[str, Any]]) -> int:
    """Bytes that a follower received in any minute, from one of its rows to another."""
    worst = first = 0
    for row in rows:
        while row["at"] - rows[first]["at"] > 60:
            first += 1
        worst = max(worst, row["bytes_in"] - rows[first]["bytes_in"])
    return worst


async def commits(made: DeliveryDeployment, rng: Random, end: float) -> None:
    services = [name for name in made.objects if name != "mark"]
    number = 0
    while clock() < end:
        began = clock()
        service = rng.choice(services)
        items = dict(made.objects[service])
        for item in rng.sample(sorted(items), min(len(items), rng.randint(1, 5))):
            if rng.random() < 0.3 and len(items) > 10:
                del items[item]
            else:
                items[item] = {"weight": rng.randint(1, 100)}
        number += 1
        items[f"new{number}"] = {"weight": number}
        await made.commit(service, items)
        await asyncio.sleep(max(0.0, COMMIT_S - (clock() - began)))


def shares(made: DeliveryDeployment, kind: str, before: dict[str, float], seconds: float) -> list[float]:
    """Of those that ran all the time."""
    alive: Iterable[tuple[str, Any]] = made.children.items()
    now = {n: (c.process.pid, spent(c.process.pid)) for n, c in alive if n[0] == kind}
    return [(now[n][1] - before[f"{n} {now[n][0]}"]) / seconds for n in now if f"{n} {now[n][0]}" in before]


async def measure(args: argparse.Namespace, folder: Path) -> list[str]:
    """What broke."""
    rules, broke = Rules(), list[str]()
    most = bound(rules, args.relays)
    print(f"load {os.getloadavg()[0]:.1f} on {os.cpu_count()} processors at the start")
    async with delivery_deployment(
        folder,
        ZONES,
        args.relays,
        args.followers,
        services=40,
        services_per_follower=6,
        seed=args.seed,
        rules={},
    ) as made:
        relays = [name for name in made.fault_relays if name != "origin"]
        faults = schedule(args.seed, relays, list(made.followed_names), args.seconds)
        print(format_schedule(faults), end="")
        before = {f"{n} {c.process.pid}": spent(c.process.pid) for n, c in made.children.items()}
        began = clock()
        changing = asyncio.create_task(commits(made, Random(f"{args.seed}/commits"), clock() + args.seconds))
        await made.play(faults)
        await changing
        seconds = clock() - began
        relay, follower = (shares(made, kind, before, seconds) for kind in "rp")
        await made.commit("s0")
        try:
            await made.all_hold(most)
        except AssertionError:
            late = [name for name in made.followed_names if not made.holds(name)]
            broke.append(f"{', '.join(late)} did not have the last commit {most:.1f} s after it")
        try:
            had = made.check()
        except AssertionError as error:
            return [*broke, f"audit: {error}"]
        delays = [d for rows in had.values() for d in made.audit.delays(rows).values()]
        bytes_in = max(worst_minute(made.children[name].rows) for name in made.followed_names)
        told = sum(made.count_log_lines(name, "no relay with news") for name in made.followed_names)
        print(f"{len(made.audit.commits)} commits, {len(faults)} steps of faults, {len(delays)} arrivals")
        figures = " ".join(f"{quantile(delays, p):.2f}" for p in (0.5, 0.99, 1.0))
        print(f"staleness s, median 99% worst: {figures}; bound {most:.2f}")
        print(
            f"bytes of a follower in its worst minute: {bytes_in}; bound {rules.max_bytes_per_minute():.0f}"
        )
        print(f"processor, worst relay {max(relay, default=0):.2%}, worst follower {max(follower):.2%}")
        print(f"followers that told of no news: {told}")
        print(f"load {os.getloadavg()[0]:.1f} at the end")
        if max(delays) > most:
            broke.append(f"a change came after {max(delays):.2f} s, bound {most:.2f}")
        if bytes_in > rules.max_bytes_per_minute():
            broke.append(f"{bytes_in} bytes in a minute, bound {rules.max_bytes_per_minute():.0f}")
    return broke


def main(arguments: list[str] | None = None) -> int:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--seed", type=int, required=True)
    parser.add_argument("--relays", type=int, default=6)
    parser.add_argument("--followers", type=int, default=20)
    parser.add_argument("--seconds", type=float, default=60.0)
    args = parser.parse_args(arguments)
    with tempfile.TemporaryDirectory() as folder:
        broke = uvloop.run(measure(args, Path(folder)))
    print(f"seed {args.seed}: " + ("; ".join(broke) if broke else "held"))
    return 1 if broke else 0


if __name__ == "__main__":
    sys.exit(main())
