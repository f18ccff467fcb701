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


async def shunned(cluster: Fleets) -> dict[str, set[str]]:
    """By fleet what it leaves to others."""
    found = {}
    for name in sorted(cluster.processes):
        told = await cluster.processes[name].ask("verdicts")
        found[name] = {one["server"] for one in told["servers"] if one["shunned_here"]}
    return found


def assert_rules_kept(cluster: Fleets) -> None:
    assert not cluster.rig.ledger.broken(), [str(b) for b in cluster.rig.ledger.broken()[:5]]
    lines = [line for process in cluster.processes.values() for line in process.log]
    assert not [line for line in lines if "bug" in line or "Traceback" in line]


def test_a_node_that_falls_silent_is_left_by_all_but_three_and_met_again(tmp_path: Path) -> None:
    async def test() -> None:
        async with fleets(tmp_path, 6, nodes=6, **SHARED) as cluster:
            clients = cluster.ask_all()
            traffic = asyncio.create_task(clients.run(240, 12.0, MIX))
            await asyncio.sleep(1.0)
            cluster.links.cut(sorted(cluster.processes), "s0")

            async def left() -> bool:
                told = [await cluster.processes[name].ask("verdicts") for name in sorted(cluster.processes)]
                rows = [one for answer in told for one in answer["servers"] if one["out"]]
                # Three go on trying it, whoever hears of it first.
                assert all(len(one["tries"]) == 3 and one["server"] == "s0" for one in rows)
                return sum(bool(one["shunned_here"]) for one in rows) >= 2

            await cluster.until(left, "the node's being left")
            assert all(servers <= {"s0"} for servers in (await shunned(cluster)).values())
            call: Any = await asyncio.to_thread(
                subprocess.run,
                [sys.executable, "-m", "flintlatch", "verdicts", str(cluster.processes["f0"].config)],
                capture_output=True,
                text=True,
                timeout=30,
            )
            assert call.returncode == 0 and "s0" in call.stdout and "yes" in call.stdout, call.stderr
            cluster.links.heal()

            async def back() -> bool:
                return not any((await shunned(cluster)).values())

            await cluster.until(back, "the node's return")
            await traffic
            assert_rules_kept(cluster)

    run(test())


def test_one_fleet_with_bad_links_takes_no_node_from_the_others_and_says_so_of_itself(tmp_path: Path) -> None:
    async def test() -> None:
        async with fleets(tmp_path, 4, zones=("a", "b"), nodes=6, **SHARED) as cluster:
            clients = cluster.ask_all()
            traffic = asyncio.create_task(clients.run(200, 6.0, MIX))
            await asyncio.sleep(1.0)
            cluster.links.cut("f1", ["s0", "s1", "s2", "s3"])
            while not traffic.done():
                for name, servers in (await shunned(cluster)).items():
                    assert name == "f1" or not servers, (name, servers)
                await asyncio.sleep(0.1)
            await traffic
            assert_rules_kept(cluster)

    run(test())


def test_a_fleet_cut_off_from_its_peers_is_where_it_would_be_alone(tmp_path: Path) -> None:
    async def test() -> None:
        async with fleets(tmp_path, 6, nodes=6, **SHARED) as cluster:
            clients = cluster.ask_all()
            traffic = asyncio.create_task(clients.run(240, 9.0, MIX))
            names = sorted(cluster.processes)
            cluster.links.cut(names, "s0")

            async def left() -> bool:
                return any("s0" in servers for servers in (await shunned(cluster)).values())

            await cluster.until(left, "the node's being left")
            one = next(name for name, servers in (await shunned(cluster)).items() if "s0" in servers)
            cluster.links.heal()
            cluster.links.cut(one, [name for name in names if name != one])

            async def alone() -> bool:
                return not (await shunned(cluster))[one]

            took = await cluster.until(alone, "its being alone")
            bound = (await cluster.processes[one].ask("verdicts"))["alone_within_s"]
            assert took <= bound + 2.0  # and what this test takes to look
            await traffic
            assert_rules_kept(cluster)

    run(test())
