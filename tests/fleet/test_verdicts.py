"""Several real fleets that share what they find of servers, with faults between them."""

from __future__ import annotations

import asyncio
import subprocess
import sys
from pathlib import Path
from typing import Any

from flintlatch.standin.fleets import Fleets, fleets
from flintlatch.standin.rig import MIX
from tests.fleet.support import run

SHARED: dict[str, Any] = {"verdicts": {"life_s": 1.0}}


async def shunned(made: Fleets) -> dict[str, set[str]]:
    """By fleet what it leaves to others."""
    found = {}
    for name in sorted(made.processes):
        told = await made.processes[name].ask("verdicts")
        found[name] = {one["server"] for one in told["servers"] if one["shunned_here"]}
    return found


def good(made: Fleets) -> None:
    assert not made.rig.ledger.broken(), [str(b) for b in made.rig.ledger.broken()[:5]]
    lines = [line for process in made.processes.values() for line in process.log]
    assert not [line for line in lines if "bug" in line or "Traceback" in line]


def test_a_node_that_falls_silent_is_left_by_all_but_three_and_met_again(tmp_path: Path) -> None:
    async def test() -> None:
        async with fleets(tmp_path, 6, nodes=6, **SHARED) as made:
            clients = made.ask_all()
            traffic = asyncio.create_task(clients.run(240, 12.0, MIX))
            await asyncio.sleep(1.0)
            made.links.cut(sorted(made.processes), "s0")

            async def left() -> bool:
                told = [await made.processes[name].ask("verdicts") for name in sorted(made.processes)]
                rows = [one for answer in told for one in answer["servers"] if one["out"]]
                # Three go on trying it, whoever hears of it first.
                assert all(len(one["tries"]) == 3 and one["server"] == "s0" for one in rows)
                return sum(bool(one["shunned_here"]) for one in rows) >= 2

            await made.until(left, "the node's being left")
            assert all(servers <= {"s0"} for servers in (await shunned(made)).values())
            call: Any = await asyncio.to_thread(
                subprocess.run,
                [sys.executable, "-m", "flintlatch", "verdicts", str(made.processes["f0"].config)],
                capture_output=True,
                text=True,
                timeout=30,
            )
            assert call.returncode == 0 and "s0" in call.stdout and "yes" in call.stdout, call.stderr
            made.links.heal()

            async def back() -> bool:
                return not any((await shunned(made)).values())

            await made.until(back, "the node's return")
            await traffic
            good(made)

    run(test())


def test_one_fleet_with_bad_links_takes_no_node_from_the_others_and_says_so_of_itself(tmp_path: Path) -> None:
    async def test() -> None:
        async with fleets(tmp_path, 4, zones=("a", "b"), nodes=6, **SHARED) as made:
            clients = made.ask_all()
            traffic = asyncio.create_task(clients.run(200, 6.0, MIX))
            await asyncio.sleep(1.0)
            made.links.cut("f1", ["s0", "s1", "s2", "s3"])
            while not traffic.done():
                for name, servers in (await shunned(made)).items():
                    assert name == "f1" or not servers, (name, servers)
                await asyncio.sleep(0.1)
            await traffic
            good(made)

    run(test())


def test_a_fleet_cut_off_from_its_peers_is_where_it_would_be_alone(tmp_path: Path) -> None:
    async def test() -> None:
        async with fleets(tmp_path, 6, nodes=6, **SHARED) as made:
            clients = made.ask_all()
            traffic = asyncio.create_task(clients.run(240, 9.0, MIX))
            names = sorted(made.processes)
            made.links.cut(names, "s0")

            async def left() -> bool:
                return any("s0" in servers for servers in (await shunned(made)).values())

            await made.until(left, "the node's being left")
            one = next(name for name, servers in (await shunned(made)).items() if "s0" in servers)
            made.links.heal()
            made.links.cut(one, [name for name in names if name != one])

            async def alone() -> bool:
                return not (await shunned(made))[one]

            took = await made.until(alone, "its being alone")
            bound = (await made.processes[one].ask("verdicts"))["alone_within_s"]
            assert took <= bound + 2.0  # and what this test takes to look
            await traffic
            good(made)

    run(test())
