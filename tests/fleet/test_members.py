"""Node lists of a real fleet, from a watched file or the registry: valid, malformed and risky versions."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import subprocess
import sys
from pathlib import Path
from random import Random

from flintlatch.net.clock import now_ms
from flintlatch.standin.process import FleetProcess
from tests.fleet.support import Daemon, daemon, run

FILE_SOURCE = {
    "nodes": {
        "source": "files",
        "files": ["nodes.json"],
        "keep": "kept",
        "hold_s": 60.0,
        "connect_timeout_ms": 1000,
    }
}


def document(
    harness: Daemon, version: int, draining: tuple[int, ...] = (), removed: tuple[int, ...] = ()
) -> bytes:
    nodes = [
        {
            "uid": node.uid,
            "address": node.address,
            "state": "draining" if index in draining else "active",
            "cell": index,
        }
        for index, node in enumerate(harness.rig.nodes)
        if index not in removed
    ]
    return json.dumps({"version": version, "count": len(nodes), "nodes": nodes}).encode()


def write_file(path: Path, data: bytes, random: Random) -> None:
    if random.random() < 0.5:
        temporary = path.with_name("fresh")
        temporary.write_bytes(data)
        temporary.rename(path)
    else:
        with open(path, "wb", buffering=0) as file:
            for offset in range(0, len(data), 100):
                file.write(data[offset : offset + 100])


async def switch_to_file_source(harness: Daemon, path: Path) -> None:
    """Reloads the fleet, which started with the registry, with a file as its node source."""
    path.write_bytes(document(harness, 1))
    text = harness.rig.config.read_text()
    keys = "\n".join(f"{k} = {json.dumps(v)}" for k, v in FILE_SOURCE["nodes"].items())
    start, end = text.index("[nodes]"), text.index("[[class]]")
    harness.rig.config.write_text(f"{text[:start]}[nodes]\n{keys}\n\n{text[end:]}")
    answer = await harness.fleet.ask("reload")
    assert answer["ok"], answer


def test_valid_versions_are_accepted_and_malformed_ones_rejected_under_traffic(tmp_path: Path) -> None:
    seed = 11
    print("seed", seed)

    async def test() -> None:
        random, path = Random(seed), tmp_path / "nodes.json"
        async with daemon(tmp_path, 4, fleet={"instances": 2}) as harness:
            await switch_to_file_source(harness, path)
            traffic = asyncio.create_task(harness.clients.run(150, 5, {"answer": 0.8, "grade": 0.2}))
            version, rejected = 1, 0
            while not traffic.done():
                version += 1
                drained_index = random.randrange(4)
                valid = document(harness, version, draining=(drained_index,) if random.random() < 0.5 else ())
                malformed = random.choice(
                    (valid[:-7], valid.replace(b'"count"', b'"amount"'), document(harness, 0), b"[]", b"\0")
                )
                log_position = len(harness.fleet.log)
                write_file(path, malformed, random)
                await harness.fleet.wait_for_log("rejected", log_position)
                rejected += 1
                write_file(path, valid, random)
                await harness.fleet.wait_for_log(f"nodes.json: version {version} accepted")
            await traffic
            # Every worker reaches the fleet's current revision.
            await harness.fleet.until(
                lambda s: (
                    {instance["rev"] for instance in s["instances"]} == {s["generations"][-1]["nodes"]["rev"]}
                )
            )
            status = await harness.fleet.status()
            assert {instance["behind"] for instance in status["instances"]} == {0}
            list_status = status["generations"][-1]["nodes"]
            assert list_status["rejected"] >= rejected and "nodes.json: " in list_status["last_rejection"]
            nodes = await harness.fleet.ask("nodes")
            (source,) = nodes["sources"]
            assert source["version"] == version and source["rejected"] >= rejected
            states = {t["uid"]: t["state"] for t in nodes["list"]["targets"]}
            assert set(states) == {node.uid for node in harness.rig.nodes}
            harness.assert_rules_kept()

    run(test())


def test_versions_published_during_worker_starts_and_reloads_reach_every_worker(tmp_path: Path) -> None:
    async def test() -> None:
        random, path = Random(3), tmp_path / "nodes.json"
        async with daemon(tmp_path, 4, fleet={"instances": 2}) as harness:
            await switch_to_file_source(harness, path)
            traffic = asyncio.create_task(harness.clients.run(100, 6, {"answer": 1}))
            version = 1
            for _ in range(3):
                reload = asyncio.create_task(harness.fleet.ask("reload"))
                (victim, *_) = await harness.pids_now()
                await harness.fleet.kill_worker(victim, harness.clients)
                while not reload.done():  # one after the other for as long as the reload takes
                    version += 1
                    write_file(path, document(harness, version, draining=(version % 4,)), random)
                    await harness.fleet.wait_for_log(f"nodes.json: version {version} accepted")
                assert (await reload)["ok"]
            await traffic
            version += 1
            write_file(path, document(harness, version), random)
            await harness.fleet.wait_for_log(f"nodes.json: version {version} accepted")
            # Workers that started late have the fleet's current revision as well, with all nodes.
            await harness.fleet.until(
                lambda s: (
                    {(instance["rev"], instance["nodes"]) for instance in s["instances"]}
                    == {(s["generations"][-1]["nodes"]["rev"], 4)}
                )
            )
            harness.assert_rules_kept()

    run(test())


def test_a_registry_that_names_no_node_empties_the_list_until_it_names_some(tmp_path: Path) -> None:
    # What its list no longer names counts as known to the fleet when it is received. A restarted registry
    # counts its revisions from the beginning again.
    async def test() -> None:
        async with daemon(tmp_path, 3, fleet={"instances": 2}) as harness:
            registry = harness.rig.registry
            (source,) = (await harness.fleet.ask("nodes"))["sources"]
            assert (source["source"], source["nodes"], source["failure"]) == ("registry", 3, "")
            registry.entries.clear()
            registry.down = True
            await harness.fleet.wait_for_log("the list held stands")
            registry.rev, registry.changes[:] = 1, []  # restarted, with no node registered yet
            registry.down = False
            await harness.fleet.until(lambda s: {instance["nodes"] for instance in s["instances"]} == {0})
            for node in harness.rig.nodes:
                harness.rig.ledger.drain_announced_ms[node.uid] = now_ms()
            await harness.clients.run(50, 1, {"answer": 1})
            assert harness.clients.statuses[200] == 0
            registry.down = True  # unavailable until all nodes are registered again
            for node in harness.rig.nodes:
                registry.add(node)
            registry.drain(harness.rig.nodes[0])
            for node in harness.rig.nodes[1:]:
                del harness.rig.ledger.drain_announced_ms[node.uid]
            registry.down = False
            await harness.fleet.until(
                lambda s: (
                    {(instance["rev"], instance["nodes"]) for instance in s["instances"]}
                    == {(s["generations"][-1]["nodes"]["rev"], 3)}
                )
            )
            states = {
                target["uid"]: target["state"]
                for target in (await harness.fleet.ask("nodes"))["list"]["targets"]
            }
            assert states == {"s0": "leaving", "s1": "active", "s2": "active"}
            await harness.clients.run(100, 1, {"answer": 1})
            harness.assert_rules_kept()

    run(test())


def test_version_that_removes_too_many_nodes_is_held_until_confirmed(tmp_path: Path) -> None:
    async def test() -> None:
        path = tmp_path / "nodes.json"
        async with daemon(tmp_path, 4, fleet={"instances": 1}) as harness:
            await switch_to_file_source(harness, path)
            path.write_bytes(document(harness, 2, removed=(0, 1, 2)))
            await harness.fleet.wait_for_log("version 2 held for 60 s: it takes away 3 of 4 active nodes")
            assert len((await harness.fleet.ask("nodes"))["list"]["targets"]) == 4

            async def command(*arguments: str) -> tuple[int, str]:
                command_line = [
                    sys.executable,
                    "-m",
                    "flintlatch",
                    "nodes",
                    str(harness.rig.config),
                    *arguments,
                ]
                completed = await asyncio.to_thread(
                    subprocess.run, command_line, capture_output=True, text=True
                )
                return completed.returncode, completed.stdout + completed.stderr

            code, output = await command()
            assert code == 0 and "version 2 held for" in output
            code, output = await command("--check", str(path))
            assert code == 0 and "removes 3: s0, s1, s2" in output
            invalid_file = tmp_path / "bad.json"
            invalid_file.write_text('{"nodes": [{"uid": "a", "address": "10.0.0.1:0"}]}')
            code, output = await command("--check", str(invalid_file))
            assert (
                code == 1
                and "node[0].address: found '10.0.0.1:0'" in output
                and "would be rejected" in output
            )
            assert (await command("--confirm", "nodes.json", "3"))[0] == 1
            assert (await command("--confirm", "nodes.json", "2"))[0] == 0
            await harness.fleet.wait_for_log("version 2 accepted")
            await harness.fleet.until(lambda s: s["generations"][-1]["nodes"]["count"] == 1)

    run(test())


def test_saved_version_is_used_after_a_crash_when_the_file_is_missing(tmp_path: Path) -> None:
    async def test() -> None:
        path = tmp_path / "nodes.json"
        async with daemon(tmp_path, 3, fleet={"instances": 1}) as harness:
            await switch_to_file_source(harness, path)
            path.write_bytes(document(harness, 2, draining=(1,)))
            await harness.fleet.wait_for_log("version 2 accepted")
            while b'"version":2' not in (tmp_path / "kept.0").read_bytes():  # saved in a thread
                await asyncio.sleep(0.01)
            await harness.pids_now()
            os.kill(harness.fleet.process.pid, signal.SIGKILL)
            await harness.fleet.process.wait()
            path.unlink()
            # The successor uses the last valid version, with the drain in it, although the file is missing.
            successor = await (await FleetProcess(harness.rig.config, harness.env).start()).ready()
            await successor.wait_for_log("nodes.json: version 2 of before, until there is a newer one")
            listed = await successor.ask("nodes")
            assert [t["state"] for t in listed["list"]["targets"]] == ["active", "leaving", "active"]
            assert listed["sources"][0]["old"] and "not there" in listed["sources"][0]["failure"]
            path.write_bytes(document(harness, 3))
            await successor.wait_for_log("version 3 accepted")
            assert not (await successor.ask("nodes"))["sources"][0]["old"]
            assert await successor.stop() == 0

    run(test())
