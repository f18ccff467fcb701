"""A fleet whose nodes come from a watched file, rewritten with good and bad versions while traffic runs."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import subprocess
import sys
from pathlib import Path
from random import Random

from flintlatch.standin.process import FleetProcess
from tests.fleet.support import Daemon, daemon, run

FILES = {
    "nodes": {
        "source": "files",
        "files": ["nodes.json"],
        "keep": "kept",
        "hold_s": 60.0,
        "connect_timeout_ms": 1000,
    }
}


def content(
    harness: Daemon, number: int, leaving: tuple[int, ...] = (), without: tuple[int, ...] = ()
) -> bytes:
    rows = [
        {
            "uid": node.uid,
            "address": node.address,
            "state": "draining" if place in leaving else "active",
            "cell": place,
        }
        for place, node in enumerate(harness.rig.nodes)
        if place not in without
    ]
    return json.dumps({"version": number, "count": len(rows), "nodes": rows}).encode()


def write(path: Path, data: bytes, random: Random) -> None:
    if random.random() < 0.5:
        fresh = path.with_name("fresh")
        fresh.write_bytes(data)
        fresh.rename(path)
    else:
        with open(path, "wb", buffering=0) as file:
            for place in range(0, len(data), 100):
                file.write(data[place : place + 100])


async def to_files(harness: Daemon, path: Path) -> None:
    """The fleet has begun with its registry, and takes the file from here on."""
    path.write_bytes(content(harness, 1))
    text = harness.rig.config.read_text()
    keys = "\n".join(f"{k} = {json.dumps(v)}" for k, v in FILES["nodes"].items())
    i, j = text.index("[nodes]"), text.index("[[class]]")
    harness.rig.config.write_text(f"{text[:i]}[nodes]\n{keys}\n\n{text[j:]}")
    answer = await harness.fleet.ask("reload")
    assert answer["ok"], answer


def test_good_and_bad_versions_while_traffic_runs(tmp_path: Path) -> None:
    seed = 11
    print("seed", seed)

    async def test() -> None:
        random, path = Random(seed), tmp_path / "nodes.json"
        async with daemon(tmp_path, 4, fleet={"instances": 2}) as harness:
            await to_files(harness, path)
            traffic = asyncio.create_task(harness.clients.run(150, 5, {"answer": 0.8, "grade": 0.2}))
            number, rejected = 1, 0
            while not traffic.done():
                number += 1
                drained = random.randrange(4)
                good = content(harness, number, leaving=(drained,) if random.random() < 0.5 else ())
                bad = random.choice(
                    (good[:-7], good.replace(b'"count"', b'"amount"'), content(harness, 0), b"[]", b"\0")
                )
                place = len(harness.fleet.log)
                write(path, bad, random)
                await harness.fleet.said("rejected", place)
                rejected += 1
                write(path, good, random)
                await harness.fleet.said(f"nodes.json: version {number} taken")
            await traffic
            # Every worker comes to be on the one version that the fleet is on.
            await harness.fleet.until(
                lambda s: {one["rev"] for one in s["instances"]} == {s["generations"][-1]["nodes"]["rev"]}
            )
            status = await harness.fleet.status()
            assert {one["behind"] for one in status["instances"]} == {0}
            told = status["generations"][-1]["nodes"]
            assert told["rejected"] >= rejected and "nodes.json: " in told["last_rejection"]
            nodes = await harness.fleet.ask("nodes")
            (source,) = nodes["sources"]
            assert source["version"] == number and source["rejected"] >= rejected
            states = {t["uid"]: t["state"] for t in nodes["list"]["targets"]}
            assert set(states) == {node.uid for node in harness.rig.nodes}
            harness.assert_rules_kept()

    run(test())


def test_versions_told_while_workers_start_and_while_a_reload_runs_reach_all(tmp_path: Path) -> None:
    async def test() -> None:
        random, path = Random(3), tmp_path / "nodes.json"
        async with daemon(tmp_path, 4, fleet={"instances": 2}) as harness:
            await to_files(harness, path)
            traffic = asyncio.create_task(harness.clients.run(100, 6, {"answer": 1}))
            number = 1
            for _ in range(3):
                reload = asyncio.create_task(harness.fleet.ask("reload"))
                (victim, *_) = await harness.pids_now()
                await harness.fleet.kill_worker(victim, harness.clients)
                while not reload.done():  # as fast as they are taken, all through it
                    number += 1
                    write(path, content(harness, number, leaving=(number % 4,)), random)
                    await harness.fleet.said(f"nodes.json: version {number} taken")
                assert (await reload)["ok"]
            await traffic
            number += 1
            write(path, content(harness, number), random)
            await harness.fleet.said(f"nodes.json: version {number} taken")
            # Whichever of them started late has the one version that the fleet is on, whole.
            await harness.fleet.until(
                lambda s: (
                    {(one["rev"], one["nodes"]) for one in s["instances"]}
                    == {(s["generations"][-1]["nodes"]["rev"], 4)}
                )
            )
            harness.assert_rules_kept()

    run(test())


def test_a_registry_is_a_source_like_any_other(tmp_path: Path) -> None:
    # Guards against a registry that begins anew with versions of before, and one that names nobody.
    async def test() -> None:
        async with daemon(tmp_path, 3, fleet={"instances": 2}) as harness:
            registry = harness.rig.registry
            (source,) = (await harness.fleet.ask("nodes"))["sources"]
            assert (source["source"], source["nodes"], source["failure"]) == ("registry", 3, "")
            registry.entries.clear()
            registry.down = True
            await harness.fleet.said("the list held stands")
            registry.rev, registry.changes[:] = 1, []  # as one that was begun anew, and knows nobody yet
            registry.down = False
            await harness.fleet.said("removes every node: refused")
            registry.down = True  # not before it knows all of them does it answer again
            for node in harness.rig.nodes:
                registry.add(node)
            registry.drain(harness.rig.nodes[0])
            registry.down = False
            await harness.fleet.until(
                lambda s: (
                    {(one["rev"], one["nodes"]) for one in s["instances"]}
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


def test_one_that_takes_away_too_much_waits_for_the_command(tmp_path: Path) -> None:
    async def test() -> None:
        path = tmp_path / "nodes.json"
        async with daemon(tmp_path, 4, fleet={"instances": 1}) as harness:
            await to_files(harness, path)
            path.write_bytes(content(harness, 2, without=(0, 1, 2)))
            await harness.fleet.said("version 2 held for 60 s: it takes away 3 of 4 active nodes")
            assert len((await harness.fleet.ask("nodes"))["list"]["targets"]) == 4

            async def command(*arguments: str) -> tuple[int, str]:
                line = [sys.executable, "-m", "flintlatch", "nodes", str(harness.rig.config), *arguments]
                done = await asyncio.to_thread(subprocess.run, line, capture_output=True, text=True)
                return done.returncode, done.stdout + done.stderr

            code, told = await command()
            assert code == 0 and "version 2 held for" in told
            code, told = await command("--check", str(path))
            assert code == 0 and "removes 3: s0, s1, s2" in told
            bad = tmp_path / "bad.json"
            bad.write_text('{"nodes": [{"uid": "a", "address": "10.0.0.1:0"}]}')
            code, told = await command("--check", str(bad))
            assert code == 1 and "node[0].address: found '10.0.0.1:0'" in told and "would be rejected" in told
            assert (await command("--confirm", "nodes.json", "3"))[0] == 1
            assert (await command("--confirm", "nodes.json", "2"))[0] == 0
            await harness.fleet.said("version 2 taken")
            await harness.fleet.until(lambda s: s["generations"][-1]["nodes"]["count"] == 1)

    run(test())


def test_told_while_the_supervisor_is_dead_or_the_file_is_gone(tmp_path: Path) -> None:
    async def test() -> None:
        path = tmp_path / "nodes.json"
        async with daemon(tmp_path, 3, fleet={"instances": 1}) as harness:
            await to_files(harness, path)
            path.write_bytes(content(harness, 2, leaving=(1,)))
            await harness.fleet.said("version 2 taken")
            while b'"version":2' not in (tmp_path / "kept.0").read_bytes():  # it is kept off the loop
                await asyncio.sleep(0.01)
            await harness.pids_now()
            os.kill(harness.fleet.process.pid, signal.SIGKILL)
            await harness.fleet.process.wait()
            path.unlink()
            # The next one has the last good version, with the drain in it, though the file is gone.
            successor = await (await FleetProcess(harness.rig.config, harness.env).start()).ready()
            await successor.said("nodes.json: version 2 of before, until there is a newer one")
            listed = await successor.ask("nodes")
            assert [t["state"] for t in listed["list"]["targets"]] == ["active", "leaving", "active"]
            assert listed["sources"][0]["old"] and "not there" in listed["sources"][0]["failure"]
            path.write_bytes(content(harness, 3))
            await successor.said("version 3 taken")
            assert not (await successor.ask("nodes"))["sources"][0]["old"]
            assert await successor.stop() == 0

    run(test())
