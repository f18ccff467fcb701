"""What breaks between fleets, nodes and registry, on sockets: the four rules by the ledger of clients and
nodes."""

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
    assert not cluster.rig.ledger.broken(), [str(b) for b in cluster.rig.ledger.broken()[:5]]
    lines = [line for process in cluster.processes.values() for line in process.log]
    assert not [line for line in lines if "bug" in line or "Traceback" in line]


def test_a_zone_that_falls_silent_without_a_reset_is_left_and_met_again(tmp_path: Path) -> None:
    async def test() -> None:
        async with fleets(tmp_path, 3, zones=("a", "b"), nodes=6) as cluster:
            clients = cluster.ask_all()
            names, far = sorted(cluster.processes), ["s1", "s3", "s5"]
            traffic = asyncio.create_task(clients.run(120, 12.0, MIX))
            await asyncio.sleep(1.5)
            cluster.links.cut(names, far)
            await asyncio.sleep(1.0)
            late = now_ms()
            await asyncio.sleep(2.0)
            cluster.links.heal()
            back = now_ms()
            await traffic
            runs = cluster.rig.ledger.runs
            cut = Counter(one.node for one in runs if late < one.at_ms < back)
            assert not set(cut) & set(far) and sum(cut.values()) > 120  # the others serve on
            last = Counter(one.node for one in runs if one.at_ms > back + 5000)
            # Each is met again; one whose rest has just been doubled comes last.
            assert all(last[uid] for uid in far), last
            assert sum(last[uid] for uid in far) > 0.25 * sum(last.values()), last
            assert_rules_kept(cluster)

    run(test())


@pytest.mark.parametrize("fault", [fault for fault in Fault if fault is not Fault.NONE])
def test_answers_that_go_wrong_at_any_point_cost_no_effect_twice(tmp_path: Path, fault: Fault) -> None:
    async def test() -> None:
        async with fleets(tmp_path, 1, nodes=3) as cluster:
            cluster.rig.nodes[0].shape = replace(cluster.rig.nodes[0].shape, faults={fault: 0.5})
            clients = cluster.ask_all()
            await clients.run(80, 2.5, {"answer": 0.4, "purchase": 0.3, "grade": 0.3})
            assert clients.statuses[200] > 100
            assert_rules_kept(cluster)

    run(test())


@pytest.mark.parametrize("way", ["request", "answer"])
def test_a_connection_reset_at_each_byte_costs_no_effect_twice(tmp_path: Path, way: str) -> None:
    async def test() -> None:
        async with fleets(tmp_path, 1, nodes=2) as cluster:
            sides = ("f0", ["s0", "s1"]) if way == "request" else (["s0", "s1"], "f0")
            cluster.links.reset_at(sides[0], sides[1], list(range(1, 130)) * 2)
            clients = cluster.ask_all()
            await clients.run(100, 5.0, {"answer": 0.4, "purchase": 0.3, "grade": 0.3})
            left = [len(due) for due in cluster.links.resets.values()]
            assert sum(left) < 2 * 258 - 60, left  # most of them happened
            assert_rules_kept(cluster)

    run(test())


def test_a_zone_a_kind_and_a_state_that_nobody_knows_stop_nothing(tmp_path: Path) -> None:
    async def test() -> None:
        async with fleets(tmp_path, 2, nodes=3) as cluster:
            clients = cluster.ask_all()
            traffic = asyncio.create_task(clients.run(60, 3.0, MIX))
            await asyncio.sleep(0.5)
            node = await cluster.add_node(0, Shape(work_ms=5.0))
            entry = cluster.rig.registry.entries[node.uid]
            entry |= {"az": 77, "model": "of another time"}
            cluster.rig.registry.put("odd", "127.0.0.1:9", "resting")
            await traffic
            assert clients.statuses[200] > 150
            assert_rules_kept(cluster)

    run(test())


def test_a_registry_that_is_silent_then_trickles_then_resets_leaves_the_list_as_it_was(
    tmp_path: Path,
) -> None:
    async def test() -> None:
        async with fleets(tmp_path, 2, nodes=3) as cluster:
            clients = cluster.ask_all()
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
            fresh = await cluster.add_node(0, Shape(work_ms=5.0))

            async def told() -> bool:
                lists = [(await cluster.processes[name].ask("nodes"))["list"]["targets"] for name in names]
                return all(any(one["uid"] == fresh.uid for one in targets) for targets in lists)

            await traffic
            assert clients.statuses[200] > 300  # by the list that was held
            await cluster.until(told, "the new node on the list")
            await clients.run(60, 1.0, MIX)
            assert any(one.node == fresh.uid for one in cluster.rig.ledger.runs)
            assert_rules_kept(cluster)

    run(test())
