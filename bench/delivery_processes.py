"""Runs delivery with real processes over links with faults, and checks its documented bounds.

    python -m bench.delivery_processes --seed 1 [--relays 6] [--followers 20] [--seconds 60]

An origin commits every half second, while relays are killed, paused, slowed and partitioned (from the origin,
from followers or both, also in one direction), at most half of them at once, by a schedule drawn from the
seed. The output of each follower is audited: each row has the content of one commit, revisions never
decrease, and the content is never older than the reported age. Staleness is the time from the replacement of
the origin's file until the change is in force at a follower. Processor time is that of proc(5). The last
line names the bounds that were exceeded, if any; then the exit code is 1.
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

MAX_FAULT_S = 4.0
COMMIT_INTERVAL_S = 0.5
HOP_DELAY_S = 0.35  # of a slowed link: up to 0.1 s, 0.2 s for a retransmission, and a turn of the event loop
ZONES = ("a", "b", "c")
CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")


def staleness_bound_s(rules: Rules, relays: int) -> float:
    """The staleness bound in seconds, the larger of two cases.

    Half of the relays are lost; or no relay reaches the origin for the longest fault, followed by a
    connection attempt that fails and the longest retry delay.
    """
    base = rules.staleness_bound_s(0, 0.0, HOP_DELAY_S)
    cut = MAX_FAULT_S + rules.connect_s + rules.retry_s[1] + base
    return max(rules.staleness_bound_s(relays // 2, 0.0, HOP_DELAY_S), cut) + POLL_INTERVAL_S


def schedule(seed: int, relays: list[str], followers: list[str], seconds: float) -> list[FaultEvent]:
    """The usual schedule, with partitions between relays replaced by partitions from origin or followers."""
    rng, troubles = Random(f"{seed}/sides"), []
    for trouble in draw_schedule(seed, relays, seconds, MAX_FAULT_S):
        if trouble.action in ("cut", "cut one way", "link"):
            others = rng.choice((("origin",), tuple(followers), ("origin", *followers)))
            sides = (trouble.side, others) if rng.random() < 0.5 else (others, trouble.side)
            trouble = FaultEvent(trouble.at_s, trouble.action, *sides, trouble.link)
        troubles.append(trouble)
    return troubles


def quantile(values: list[float], fraction: float) -> float:
    return sorted(values)[min(int(fraction * len(values)), len(values) - 1)] if values else 0.0


def cpu_s(pid: int) -> float:
    """Processor time of a process in seconds, from proc(5)."""
    with open(f"/proc/{pid}/stat") as file:
        fields = file.read().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_PER_S


def worst_minute(rows: list[dict[str, Any]]) -> int:
    """The most bytes that a follower received in any minute, from the counters in its rows."""
    worst = first = 0
    for row in rows:
        while row["at"] - rows[first]["at"] > 60:
            first += 1
        worst = max(worst, row["bytes_in"] - rows[first]["bytes_in"])
    return worst


async def commit_changes(fleet: DeliveryDeployment, rng: Random, end: float) -> None:
    services = [name for name in fleet.objects if name != "mark"]
    number = 0
    while clock() < end:
        began = clock()
        service = rng.choice(services)
        items = dict(fleet.objects[service])
        for item in rng.sample(sorted(items), min(len(items), rng.randint(1, 5))):
            if rng.random() < 0.3 and len(items) > 10:
                del items[item]
            else:
                items[item] = {"weight": rng.randint(1, 100)}
        number += 1
        items[f"new{number}"] = {"weight": number}
        await fleet.commit(service, items)
        await asyncio.sleep(max(0.0, COMMIT_INTERVAL_S - (clock() - began)))


def cpu_fractions(
    fleet: DeliveryDeployment, kind: str, before: dict[str, float], seconds: float
) -> list[float]:
    """Processor fractions of the processes of a kind that were running all the time."""
    alive: Iterable[tuple[str, Any]] = fleet.children.items()
    now = {n: (c.process.pid, cpu_s(c.process.pid)) for n, c in alive if n[0] == kind}
    return [(now[n][1] - before[f"{n} {now[n][0]}"]) / seconds for n in now if f"{n} {now[n][0]}" in before]


async def measure(args: argparse.Namespace, folder: Path) -> list[str]:
    """Runs the processes and the schedule. Returns the bounds that were exceeded."""
    rules, violations = Rules(), list[str]()
    bound_s = staleness_bound_s(rules, args.relays)
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
    ) as fleet:
        relays = [name for name in fleet.fault_relays if name != "origin"]
        faults = schedule(args.seed, relays, list(fleet.followed_names), args.seconds)
        print(format_schedule(faults), end="")
        before = {f"{n} {c.process.pid}": cpu_s(c.process.pid) for n, c in fleet.children.items()}
        began = clock()
        changing = asyncio.create_task(
            commit_changes(fleet, Random(f"{args.seed}/commits"), clock() + args.seconds)
        )
        await fleet.play(faults)
        await changing
        seconds = clock() - began
        relay, follower = (cpu_fractions(fleet, kind, before, seconds) for kind in "rp")
        await fleet.commit("s0")
        try:
            await fleet.all_hold(bound_s)
        except AssertionError:
            late = [name for name in fleet.followed_names if not fleet.holds(name)]
            violations.append(f"{', '.join(late)} did not have the last commit {bound_s:.1f} s after it")
        try:
            rows_by_follower = fleet.check()
        except AssertionError as error:
            return [*violations, f"audit: {error}"]
        delays = [d for rows in rows_by_follower.values() for d in fleet.audit.delays(rows).values()]
        bytes_in = max(worst_minute(fleet.children[name].rows) for name in fleet.followed_names)
        unavailable_reports = sum(
            fleet.count_log_lines(name, "no relay with news") for name in fleet.followed_names
        )
        print(f"{len(fleet.audit.commits)} commits, {len(faults)} steps of faults, {len(delays)} arrivals")
        figures = " ".join(f"{quantile(delays, p):.2f}" for p in (0.5, 0.99, 1.0))
        print(f"staleness s, median 99% worst: {figures}; bound {bound_s:.2f}")
        print(
            f"bytes of a follower in its worst minute: {bytes_in}; bound {rules.max_bytes_per_minute():.0f}"
        )
        print(f"processor, worst relay {max(relay, default=0):.2%}, worst follower {max(follower):.2%}")
        print(f"followers that told of no news: {unavailable_reports}")
        print(f"load {os.getloadavg()[0]:.1f} at the end")
        if max(delays) > bound_s:
            violations.append(f"a change came after {max(delays):.2f} s, bound {bound_s:.2f}")
        if bytes_in > rules.max_bytes_per_minute():
            violations.append(f"{bytes_in} bytes in a minute, bound {rules.max_bytes_per_minute():.0f}")
    return violations


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
        violations = uvloop.run(measure(args, Path(folder)))
    print(f"seed {args.seed}: " + ("; ".join(violations) if violations else "held"))
    return 1 if violations else 0


if __name__ == "__main__":
    sys.exit(main())
