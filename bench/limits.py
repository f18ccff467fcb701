"""Limits of many real fleets while links are cut and keepers die, audited by what the nodes saw.

    python -m bench.limits --seed 1 [--fleets 20] [--seconds 40]

For each way of sharing (strict, open, and equal parts for good as the plain rival) the same schedule of
faults is drawn from the seed and played between the fleets, while the demand of one class goes from fleet to
fleet. The auditor counts the first runs of requests at the nodes, and nothing of ours, in sliding windows of
0.1 to 5 s against the stated bound; and how much of the limit was used, undisturbed and through the faults.
The last line has the largest part of the bound that any window held; the exit code is 1 if it is over one, or
if less than 95% of a limit that is fully asked for was used undisturbed 2 s after demand had moved.
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

PER_S, BURST, TERM_S = 150.0, 15.0, 1.0
WAIT_S = 0.45  # that a taken request may wait for a node
WINDOWS_S = (0.1, 0.5, 1.0, 5.0)
MOVE_S = 4.0  # demand stays at one fleet for so long
USED = 0.95  # of the limit, undisturbed, from SETTLED_S after a move on
SETTLED_S = 2.0


def row(mode: str) -> dict[str, Any]:
    cut, reserve = ("strict", 1.0) if mode == "equal parts" else (mode, 0.02)
    return {
        "name": "answers",
        "class": "answer",
        "per_s": PER_S,
        "burst": BURST,
        "when_cut": cut,
        "reserve": reserve,
    }


class Audit:
    def __init__(self, made: Fleets) -> None:
        first: dict[str, float] = {}
        for one in made.rig.ledger.runs:
            first.setdefault(one.id, one.at_ms)
        self.times = sorted(first.values())

    def worst(self, window_s: float) -> int:
        at = self.times
        return max((bisect_right(at, t + window_s * 1000) - n for n, t in enumerate(at)), default=0)

    def per_s(self, since_ms: float, until_ms: float) -> float:
        count = bisect_right(self.times, until_ms) - bisect_right(self.times, since_ms)
        return count * 1000 / max(until_ms - since_ms, 1.0)


async def drive(made: Fleets, seconds: float, seed: int, moves: list[tuple[float, float]]) -> int:
    """Twice the limit at one fleet after another; what was asked. `moves`: when each stay began and ended,
    ms."""
    rng, asked, until = Random(f"{seed}/moves"), 0, now_ms() + seconds * 1000
    turn = 0
    while now_ms() < until - 1000:
        name = rng.choice(sorted(set(made.processes) - made.paused))
        clients = Clients(made.processes[name].address, CLASSES, made.rig.ledger, seed * 1000 + turn)
        began, turn = now_ms(), turn + 1
        await clients.run(2 * PER_S, min(MOVE_S, (until - began) / 1000), {"answer": 1.0})
        moves.append((began, now_ms()))
        asked += clients.count
        clients.close()
    return asked


async def play(mode: str, seed: int, count: int, seconds: float, folder: Path) -> tuple[float, float]:
    names = [f"f{n}" for n in range(count)]
    keepers = {"voters": names[: min(count, 7)], "fleets": count, "term_s": TERM_S}
    schedule = draw_schedule(seed, names, seconds)
    async with fleets(
        folder, count, zones=("a", "b", "c"), nodes=6, seed=seed, rows={"limit": [row(mode)]}, keepers=keepers
    ) as made:
        await asyncio.sleep(3 * TERM_S)
        quiet: list[tuple[float, float]] = []
        await drive(made, 3 * MOVE_S, seed, quiet)
        before = [(await made.peers(name))["counts"]["datagrams_out"] for name in names]
        began = now_ms()
        moves: list[tuple[float, float]] = []
        tasks = [asyncio.create_task(drive(made, seconds, seed + n, moves)) for n in range(1, 4)]
        await made.play(schedule)
        await asyncio.gather(*tasks, return_exceptions=True)  # a client whose fleet was killed loses its call
        ended = now_ms()
        after = []
        for name in names:
            try:
                after.append((await made.peers(name))["counts"]["datagrams_out"])
            except (ControlError, KeyError):
                after.append(0)
        audit = Audit(made)
        limit = Limit(
            "answers",
            "",
            "answer",
            PER_S,
            BURST,
            PartitionPolicy.OPEN if mode == "open" else PartitionPolicy.STRICT,
        )
        terms = LeaseSettings(tuple(keepers["voters"]), count, TERM_S)  # type: ignore[arg-type]
        parts = {w: audit.worst(w) / max_admitted(limit, terms, w + WAIT_S, count) for w in WINDOWS_S}
        stays = [(a + 1000 * SETTLED_S, b - 300) for a, b in quiet]
        settled = [audit.per_s(a, b) / PER_S for a, b in stays if b - a > 500]
        used = min(settled, default=0.0)
        rates = [max(b - a, 0) * 1000 / (ended - began) for a, b in zip(before, after, strict=True)]
        windows = ", ".join(f"{w:g} s: {audit.worst(w)} ({part:.2f})" for w, part in parts.items())
        print(
            f"{mode}: {count} fleets, {len(schedule)} faults; most in a window (of the bound) {windows};"
            f" used undisturbed {used:.2f} of it at the least, through the faults"
            f" {audit.per_s(began, ended) / PER_S:.2f};"
            f" {sorted(rates)[len(rates) // 2]:.0f} datagrams/s a fleet"
        )
        return max(parts.values()), used


async def run(seed: int, count: int, seconds: float, folder: Path) -> int:
    print(
        f"schedule of seed {seed}:\n"
        f"{format_schedule(draw_schedule(seed, [f'f{n}' for n in range(count)], seconds))}",
        end="",
    )
    worst, used = 0.0, 1.0
    for mode in ("strict", "open", "equal parts"):
        place = folder / mode.replace(" ", "")
        place.mkdir()
        part, whole = await play(mode, seed, count, seconds, place)
        worst = max(worst, part)
        if mode != "equal parts":
            used = min(used, whole)
    held = worst <= 1 and used >= USED
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
