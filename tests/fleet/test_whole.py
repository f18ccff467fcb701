"""Faults between real fleets, nodes and the registry; the ledger of clients and nodes checks the four
rules."""

from __future__ import annotations

import asyncio
from collections import Counter
from dataclasses import replace
from pathlib import Path

import pytest

from flintlatch.lab.network import Link
from flintlatch.net.clock import now_ms
from flintlatch.standin.fleets import Fleets, fleets
from flintlatch.standin.node import Fault, Shape
from flintlatch.standin.rig import MIX
from tests.fleet.support import run


def assert_rules_kept(cluster: Fleets) -> None:
    assert not cluster.rig.ledger.violations(), [
        str(broken) for broken in cluster.rig.ledger.violations()[:5]
    ]
    lines = [line for process in cluster.processes.values() for line in process.log]
    assert not [line for line in lines if "bug" in line or "Traceback" in line]


def test_silent_zone_is_left_and_used_again_after_its_return(tmp_path: Path) -> None:
    async def test() -> None:
        async with fleets(tmp_path, 3, zones=("a", "b"), nodes=6) as cluster:
            clients = cluster.create_clients()
            names, silent_nodes = sorted(cluster.processes), ["s1", "s3", "s5"]
            traffic = asyncio.create_task(clients.run(120, 12.0, MIX))
            await asyncio.sleep(1.5)
            cluster.links.cut(names, silent_nodes)
            await asyncio.sleep(1.0)
            after_detection_ms = now_ms()
            await asyncio.sleep(2.0)
            cluster.links.heal()
            healed_ms = now_ms()
            await traffic
            runs = cluster.rig.ledger.runs
            during_cut = Counter(
                node_run.node for node_run in runs if after_detection_ms < node_run.at_ms < healed_ms
            )
            assert (
                not set(during_cut) & set(silent_nodes) and sum(during_cut.values()) > 120
            )  # served by the other nodes
            after_return = Counter(node_run.node for node_run in runs if node_run.at_ms > healed_ms + 5000)
            # Each node is used again; the last is the one whose ejection time was doubled just before.
            assert all(after_return[uid] for uid in silent_nodes), after_return
            assert sum(after_return[uid] for uid in silent_nodes) > 0.25 * sum(after_return.values()), (
                after_return
            )
            assert_rules_kept(cluster)

    run(test())


@pytest.mark.parametrize("fault", [fault for fault in Fault if fault is not Fault.NONE])
def test_faulty_responses_cause_no_effect_twice(tmp_path: Path, fault: Fault) -> None:
    async def test() -> None:
        async with fleets(tmp_path, 1, nodes=3) as cluster:
            cluster.rig.nodes[0].shape = replace(cluster.rig.nodes[0].shape, faults={fault: 0.5})
            clients = cluster.create_clients()
            await clients.run(80, 2.5, {"answer": 0.4, "purchase": 0.3, "grade": 0.3})
            assert clients.statuses[200] > 100
            assert_rules_kept(cluster)

    run(test())


@pytest.mark.parametrize("direction", ["request", "answer"])
def test_connection_resets_at_each_byte_cause_no_effect_twice(tmp_path: Path, direction: str) -> None:
    async def test() -> None:
        async with fleets(tmp_path, 1, nodes=2) as cluster:
            ends = ("f0", ["s0", "s1"]) if direction == "request" else (["s0", "s1"], "f0")
            cluster.links.reset_at(ends[0], ends[1], list(range(1, 130)) * 2)
            clients = cluster.create_clients()
            await clients.run(100, 5.0, {"answer": 0.4, "purchase": 0.3, "grade": 0.3})
            pending = [len(offsets) for offsets in cluster.links.resets.values()]
            assert sum(pending) < 2 * 258 - 60, pending  # most resets took place
            assert_rules_kept(cluster)

    run(test())


def test_unknown_zone_kind_and_state_in_the_list_are_harmless(tmp_path: Path) -> None:
    async def test() -> None:
        async with fleets(tmp_path, 2, nodes=3) as cluster:
            clients = cluster.create_clients()
            traffic = asyncio.create_task(clients.run(60, 3.0, MIX))
            await asyncio.sleep(0.5)
            node = await cluster.add_node(0, Shape(work_ms=5.0))
            entry = cluster.rig.registry.entries[node.uid]
            entry |= {"az": 77, "model": "unknown kind"}
            cluster.rig.registry.put("odd", "127.0.0.1:9", "resting")
            await traffic
            assert clients.statuses[200] > 150
            assert_rules_kept(cluster)

    run(test())


def test_failing_registry_leaves_the_list_unchanged_until_it_recovers(
    tmp_path: Path,
) -> None:
    async def test() -> None:
        async with fleets(tmp_path, 2, nodes=3) as cluster:
            clients = cluster.create_clients()
            names = sorted(cluster.processes)
            traffic = asyncio.create_task(clients.run(60, 6.0, MIX))
            cluster.links.cut(names, "registry")
            await asyncio.sleep(1.5)
            cluster.links.heal()
            cluster.links.set("registry", names, Link(0.2, 0.4, loss=0.5))
            await asyncio.sleep(1.5)
            cluster.links.reset_at("registry", names, [5, 40, 90, 200])
            cluster.rig.registry.silent = True
            await asyncio.sleep(1.0)
            cluster.rig.registry.silent = False
            cluster.links.heal()
            new_node = await cluster.add_node(0, Shape(work_ms=5.0))

            async def is_listed() -> bool:
                lists = [(await cluster.processes[name].ask("nodes"))["list"]["targets"] for name in names]
                return all(any(target["uid"] == new_node.uid for target in targets) for targets in lists)

            await traffic
            assert clients.statuses[200] > 300  # with the last known list
            await cluster.until(is_listed, "the new node on the list")
            await clients.run(60, 1.0, MIX)
            assert any(node_run.node == new_node.uid for node_run in cluster.rig.ledger.runs)
            assert_rules_kept(cluster)

    run(test())
