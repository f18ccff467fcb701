"""Outlier ejection shared by several real fleets, with links cut between them and to the nodes."""

from __future__ import annotations

import asyncio
import subprocess
import sys
from pathlib import Path
from typing import Any

from flintlatch.standin.fleets import Fleets, fleets
from flintlatch.standin.rig import MIX
from tests.fleet.support import run

VERDICT_TABLES: dict[str, Any] = {"verdicts": {"life_s": 1.0}}


async def ejected_by_fleet(cluster: Fleets) -> dict[str, set[str]]:
    """The servers that each fleet has ejected."""
    ejected = {}
    for name in sorted(cluster.processes):
        answer = await cluster.processes[name].ask("verdicts")
        ejected[name] = {row["server"] for row in answer["servers"] if row["shunned_here"]}
    return ejected


def assert_rules_kept(cluster: Fleets) -> None:
    assert not cluster.rig.ledger.violations(), [
        str(broken) for broken in cluster.rig.ledger.violations()[:5]
    ]
    lines = [line for process in cluster.processes.values() for line in process.log]
    assert not [line for line in lines if "bug" in line or "Traceback" in line]


def test_silent_node_is_ejected_by_all_but_three_fleets_and_used_again_when_it_returns(
    tmp_path: Path,
) -> None:
    async def test() -> None:
        async with fleets(tmp_path, 6, nodes=6, **VERDICT_TABLES) as cluster:
            clients = cluster.create_clients()
            traffic = asyncio.create_task(clients.run(240, 12.0, MIX))
            await asyncio.sleep(1.0)
            cluster.links.cut(sorted(cluster.processes), "s0")

            async def is_ejected() -> bool:
                answers = [
                    await cluster.processes[name].ask("verdicts") for name in sorted(cluster.processes)
                ]
                rows = [row for answer in answers for row in answer["servers"] if row["out"]]
                # Three fleets go on probing it.
                assert all(len(row["tries"]) == 3 and row["server"] == "s0" for row in rows)
                return sum(bool(row["shunned_here"]) for row in rows) >= 2

            await cluster.until(is_ejected, "the node's ejection")
            assert all(servers <= {"s0"} for servers in (await ejected_by_fleet(cluster)).values())
            completed: Any = await asyncio.to_thread(
                subprocess.run,
                [sys.executable, "-m", "flintlatch", "verdicts", str(cluster.processes["f0"].config)],
                capture_output=True,
                text=True,
                timeout=30,
            )
            assert completed.returncode == 0 and "s0" in completed.stdout and "yes" in completed.stdout, (
                completed.stderr
            )
            cluster.links.heal()

            async def is_used_again() -> bool:
                return not any((await ejected_by_fleet(cluster)).values())

            await cluster.until(is_used_again, "the node's return")
            await traffic
            assert_rules_kept(cluster)

    run(test())


def test_fleet_with_bad_links_ejects_no_node_for_the_others(tmp_path: Path) -> None:
    async def test() -> None:
        async with fleets(tmp_path, 4, zones=("a", "b"), nodes=6, **VERDICT_TABLES) as cluster:
            clients = cluster.create_clients()
            traffic = asyncio.create_task(clients.run(200, 6.0, MIX))
            await asyncio.sleep(1.0)
            cluster.links.cut("f1", ["s0", "s1", "s2", "s3"])
            while not traffic.done():
                for name, servers in (await ejected_by_fleet(cluster)).items():
                    assert name == "f1" or not servers, (name, servers)
                await asyncio.sleep(0.1)
            await traffic
            assert_rules_kept(cluster)

    run(test())


def test_fleet_cut_off_from_its_peers_stops_ejecting_on_their_observations(tmp_path: Path) -> None:
    async def test() -> None:
        async with fleets(tmp_path, 6, nodes=6, **VERDICT_TABLES) as cluster:
            clients = cluster.create_clients()
            traffic = asyncio.create_task(clients.run(240, 9.0, MIX))
            names = sorted(cluster.processes)
            cluster.links.cut(names, "s0")

            async def is_ejected() -> bool:
                return any("s0" in servers for servers in (await ejected_by_fleet(cluster)).values())

            await cluster.until(is_ejected, "the node's ejection")
            isolated = next(
                name for name, servers in (await ejected_by_fleet(cluster)).items() if "s0" in servers
            )
            cluster.links.heal()
            cluster.links.cut(isolated, [name for name in names if name != isolated])

            async def has_no_ejections() -> bool:
                return not (await ejected_by_fleet(cluster))[isolated]

            took_s = await cluster.until(has_no_ejections, "the end of its ejections")
            bound_s = (await cluster.processes[isolated].ask("verdicts"))["alone_within_s"]
            assert took_s <= bound_s + 2.0  # 2 s for the test's own polling
            await traffic
            assert_rules_kept(cluster)

    run(test())
