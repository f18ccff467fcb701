"""Checks fleet-wide limits of many real fleets under partitions and crashes, from the requests at the nodes.

    python -m bench.limits --seed 1 [--fleets 20] [--seconds 40]

For each policy (strict, open, and fixed equal parts as the baseline) the same schedule of faults is drawn
from the seed and applied between the fleets, while the demand of one class moves from fleet to fleet. The
auditor uses only the first execution of each request at the nodes. It compares their number in sliding
windows of 0.1 to 5 s with the documented bound, and measures the used fraction of the limit with and without
faults. The last line has the largest fraction of the bound in any window; the exit code is 1 if it is above
1, or if without faults less than 95% of a fully demanded limit was used from 2 s after a move of the demand.
"""

from __future__ import annotations

import argparse
import asyncio
import sys
import tempfile
from bisect import bisect_right
from pathlib import Path
from random import Random
from typing import Any

import uvloop

from flintlatch.fleet.control import ControlError
from flintlatch.limits.api import LeaseSettings, Limit, PartitionPolicy, max_admitted
from flintlatch.net.clock import now_ms
from flintlatch.standin.client import Clients
from flintlatch.standin.fleets import Fleets, fleets
from flintlatch.standin.links import draw_schedule, format_schedule
from flintlatch.standin.rig import CLASSES

LIMIT_PER_S, BURST, LEASE_TERM_S = 150.0, 15.0, 1.0
MAX_QUEUED_S = 0.45  # longest wait of an admitted request for a node
WINDOWS_S = (0.1, 0.5, 1.0, 5.0)
STAY_S = 4.0  # time that the demand stays at one fleet
MIN_USED_FRACTION = 0.95  # fraction of the limit, without faults, from SETTLED_S after a move of the demand
SETTLED_S = 2.0


def limit_row(mode: str) -> dict[str, Any]:
    cut, reserve = ("strict", 1.0) if mode == "equal parts" else (mode, 0.02)
    return {
        "name": "answers",
        "class": "answer",
        "per_s": LIMIT_PER_S,
        "burst": BURST,
        "when_cut": cut,
        "reserve": reserve,
    }


class Audit:
    def __init__(self, fleet_rig: Fleets) -> None:
        first: dict[str, float] = {}
        for execution in fleet_rig.rig.ledger.runs:
            first.setdefault(execution.id, execution.at_ms)
        self.times = sorted(first.values())

    def max_in_window(self, window_s: float) -> int:
        times = self.times
        return max((bisect_right(times, t + window_s * 1000) - n for n, t in enumerate(times)), default=0)

    def admitted_per_s(self, since_ms: float, until_ms: float) -> float:
        count = bisect_right(self.times, until_ms) - bisect_right(self.times, since_ms)
        return count * 1000 / max(until_ms - since_ms, 1.0)


async def drive(fleet_rig: Fleets, seconds: float, seed: int, moves: list[tuple[float, float]]) -> int:
    """Sends twice the limit to one fleet after another. Returns the number of requests.

    `moves` receives the start and end of the stay at each fleet, in ms.
    """
    rng, request_count, until = Random(f"{seed}/moves"), 0, now_ms() + seconds * 1000
    client_number = 0
    while now_ms() < until - 1000:
        name = rng.choice(sorted(set(fleet_rig.processes) - fleet_rig.paused))
        clients = Clients(
            fleet_rig.processes[name].address, CLASSES, fleet_rig.rig.ledger, seed * 1000 + client_number
        )
        began, client_number = now_ms(), client_number + 1
        await clients.run(2 * LIMIT_PER_S, min(STAY_S, (until - began) / 1000), {"answer": 1.0})
        moves.append((began, now_ms()))
        request_count += clients.count
        clients.close()
    return request_count


async def play(mode: str, seed: int, count: int, seconds: float, folder: Path) -> tuple[float, float]:
    names = [f"f{n}" for n in range(count)]
    keepers = {"voters": names[: min(count, 7)], "fleets": count, "term_s": LEASE_TERM_S}
    schedule = draw_schedule(seed, names, seconds)
    async with fleets(
        folder,
        count,
        zones=("a", "b", "c"),
        nodes=6,
        seed=seed,
        rows={"limit": [limit_row(mode)]},
        keepers=keepers,
    ) as fleet_rig:
        await asyncio.sleep(3 * LEASE_TERM_S)
        undisturbed_stays: list[tuple[float, float]] = []
        await drive(fleet_rig, 3 * STAY_S, seed, undisturbed_stays)
        before = [(await fleet_rig.peers(name))["counts"]["datagrams_out"] for name in names]
        began = now_ms()
        moves: list[tuple[float, float]] = []
        tasks = [asyncio.create_task(drive(fleet_rig, seconds, seed + n, moves)) for n in range(1, 4)]
        await fleet_rig.play(schedule)
        # the requests of a client fail if its fleet is killed
        await asyncio.gather(*tasks, return_exceptions=True)
        ended = now_ms()
        after = []
        for name in names:
            try:
                after.append((await fleet_rig.peers(name))["counts"]["datagrams_out"])
            except (ControlError, KeyError):
                after.append(0)
        audit = Audit(fleet_rig)
        limit = Limit(
            "answers",
            "",
            "answer",
            LIMIT_PER_S,
            BURST,
            PartitionPolicy.OPEN if mode == "open" else PartitionPolicy.STRICT,
        )
        terms = LeaseSettings(tuple(keepers["voters"]), count, LEASE_TERM_S)  # type: ignore[arg-type]
        bound_fractions = {
            w: audit.max_in_window(w) / max_admitted(limit, terms, w + MAX_QUEUED_S, count) for w in WINDOWS_S
        }
        settled_stays = [(a + 1000 * SETTLED_S, b - 300) for a, b in undisturbed_stays]
        settled = [audit.admitted_per_s(a, b) / LIMIT_PER_S for a, b in settled_stays if b - a > 500]
        used = min(settled, default=0.0)
        rates = [max(b - a, 0) * 1000 / (ended - began) for a, b in zip(before, after, strict=True)]
        windows = ", ".join(
            f"{w:g} s: {audit.max_in_window(w)} ({bound_fraction:.2f})"
            for w, bound_fraction in bound_fractions.items()
        )
        print(
            f"{mode}: {count} fleets, {len(schedule)} faults; most in a window (of the bound) {windows};"
            f" used undisturbed {used:.2f} of it at the least, through the faults"
            f" {audit.admitted_per_s(began, ended) / LIMIT_PER_S:.2f};"
            f" {sorted(rates)[len(rates) // 2]:.0f} datagrams/s a fleet"
        )
        return max(bound_fractions.values()), used


async def run(seed: int, count: int, seconds: float, folder: Path) -> int:
    print(
        f"schedule of seed {seed}:\n"
        f"{format_schedule(draw_schedule(seed, [f'f{n}' for n in range(count)], seconds))}",
        end="",
    )
    worst, used = 0.0, 1.0
    for mode in ("strict", "open", "equal parts"):
        mode_folder = folder / mode.replace(" ", "")
        mode_folder.mkdir()
        bound_fraction, used_fraction = await play(mode, seed, count, seconds, mode_folder)
        worst = max(worst, bound_fraction)
        if mode != "equal parts":
            used = min(used, used_fraction)
    held = worst <= 1 and used >= MIN_USED_FRACTION
    print(
        f"limits seed {seed}: {worst:.2f} of the stated bound at the most, {used:.2f} of a limit used"
        f" undisturbed, {'held' if held else 'BROKEN'}"
    )
    return 0 if held else 1


def main() -> int:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--fleets", type=int, default=20)
    parser.add_argument("--seconds", type=float, default=40.0)
    args = parser.parse_args()
    with tempfile.TemporaryDirectory(prefix="flintlatch-") as name:
        return uvloop.run(run(args.seed, args.fleets, args.seconds, Path(name)))


if __name__ == "__main__":
    sys.exit(main())
