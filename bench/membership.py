"""A file of nodes rewritten as fast as versions are taken, good and bad, while traffic runs.

    python -m bench.membership --seed N --nodes 5000 --instances 4 --seconds 30

A few nodes of the list are real; the rest drain, and get nothing. The last line is the figure; the exit code
is not 0 if a worker held a list that is no version, a good version was not taken, a bad one was, a rejection
was not told of, a request was lost or a rule broke.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import sys
import tempfile
from pathlib import Path
from random import Random
from statistics import median

import uvloop

from flintlatch.net.clock import now_ms
from flintlatch.standin.client import Clients
from flintlatch.standin.ledger import GRACE_MS
from flintlatch.standin.process import FleetProcess
from flintlatch.standin.rig import CLASSES, DRAIN_GRACE_MS, Rig

REAL = 4
RATE = 150.0
WATCHDOG_S = 0.5  # so that workers tell their version ten times a second
BAD = ("cut", "count", "older", "empty", "weight", "twice")


class Writer:
    def __init__(self, path: Path, rig: Rig, nodes: int, seed: int) -> None:
        self.path, self.rig, self.nodes, self.random = path, rig, nodes, Random(seed)
        self.number = 0
        self.sizes: dict[int, int] = {}  # nodes of each good version
        self.drained = 0  # place of the real node that the last rows drain, if there is one

    def rows(self) -> list[dict[str, object]]:
        drained = self.drained = self.random.randrange(3 * REAL)
        rows: list[dict[str, object]] = [
            {
                "uid": node.uid,
                "address": node.address,
                "cell": place,
                "state": "draining" if place == drained else "active",
            }
            for place, node in enumerate(self.rig.nodes)
        ]
        # Each version has a size of its own for a while: a mixture of two would show by it.
        more = self.nodes - REAL + self.number % 997
        rows += [
            {"uid": f"x{n}", "address": f"127.1.{n % 250}.{n // 250 % 250 + 1}:9", "state": "draining"}
            for n in range(more)
        ]
        return rows

    def good(self) -> bytes:
        self.number += 1
        rows = self.rows()
        self.sizes[self.number] = len(rows)
        return json.dumps({"version": self.number, "count": len(rows), "nodes": rows}).encode()

    def bad(self, kind: str) -> bytes:
        rows = self.rows()
        number, count = self.number + 1, len(rows)
        if kind == "empty":
            rows, count = [], 0
        elif kind == "older":
            number = 0
        elif kind == "count":
            count += 1
        elif kind == "weight":
            rows[0]["weight"] = -1
        elif kind == "twice":
            rows[1]["uid"] = rows[0]["uid"]
        raw = json.dumps({"version": number, "count": count, "nodes": rows}).encode()
        return raw[: self.random.randrange(len(raw) - 1)] if kind == "cut" else raw

    def write_good(self) -> None:
        """A drain counts from the moment at which its file is whole."""
        told = self.rig.ledger.drain_announced_ms
        before = set(told)
        data = self.good()
        uids = {node.uid for place, node in enumerate(self.rig.nodes) if place == self.drained}
        for uid in before - uids:
            del told[uid]
        self.write(data)
        for uid in uids - before:
            told[uid] = now_ms()

    def write(self, data: bytes) -> None:
        way = self.random.randrange(3)
        if way == 0:
            fresh = self.path.with_name("fresh")
            fresh.write_bytes(data)
            fresh.rename(self.path)
        elif way == 1:
            self.path.unlink(missing_ok=True)
            self.path.write_bytes(data)
        else:
            with open(self.path, "wb", buffering=0) as file:
                for place in range(0, len(data), 65536):
                    file.write(data[place : place + 65536])


async def run(seed: int, nodes: int, instances: int, seconds: float, folder: Path) -> int:
    rig = await Rig(folder, seed).open(REAL)
    writer = Writer(folder / "nodes.json", rig, nodes, seed)
    rig.ledger.drain_grace_ms = -GRACE_MS  # so that each request behind a drain is noted, with its time
    writer.write_good()
    rig.ledger.drain_announced_ms.clear()  # nobody serves yet
    config = rig.write(fleet={"instances": instances}, start={"watchdog_s": WATCHDOG_S})
    text = config.read_text()
    before, after = text.index("[nodes]"), text.index("[[class]]")
    table = '[nodes]\nsource = "files"\nfiles = ["nodes.json"]\nkeep = "kept"\nmost_removed_part = 1.0\n\n'
    config.write_text(text[:before] + table + text[after:])
    fleet = await (await FleetProcess(config).start()).ready()
    clients = Clients(fleet.address, CLASSES, rig.ledger, seed)
    traffic = asyncio.create_task(clients.run(RATE, seconds, {"answer": 0.8, "grade": 0.2}))
    partial = untold = untaken = bad = 0
    lags: list[float] = []
    stall = 0.0
    try:
        while not traffic.done():
            if writer.random.random() < 0.5:
                place, kind = len(fleet.log), writer.random.choice(BAD)
                writer.write(writer.bad(kind))
                bad += 1
                try:
                    async with asyncio.timeout(10):
                        await fleet.wait_for_log("rejected", place)
                except TimeoutError:
                    untold += 1
            writer.write_good()
            begun = now_ms()
            wanted = writer.sizes[writer.number]
            while True:
                asked = now_ms()
                status = await fleet.status()
                stall = max(stall, now_ms() - asked)
                held = {(one["rev"], one["nodes"]) for one in status["instances"]}
                current = status["generations"][-1]["nodes"]
                sizes = set(writer.sizes.values())
                partial += sum(size not in sizes for _, size in held if size is not None)
                if held == {(current["rev"], wanted)} and current["count"] == wanted:
                    lags.append(now_ms() - begun)
                    break
                if now_ms() - begun > 15_000:
                    untaken += 1
                    break
                await asyncio.sleep(0.02)
        await traffic
        sources = (await fleet.ask("nodes"))["sources"]
        code = await fleet.stop()
    finally:
        clients.close()
        await fleet.close()
        rig.close()
    behind = [ms for *_, ms in rig.ledger.sent_after_drain_grace]
    rig.ledger.sent_after_drain_grace = [
        one for one in rig.ledger.sent_after_drain_grace if one[2] > DRAIN_GRACE_MS + GRACE_MS
    ]
    counts, broken = rig.ledger.counts(), rig.ledger.violations()
    for breach in broken[:10]:
        print(f"BROKEN {breach}")
    rejected = sources[0]["rejected"]
    good = not (partial or untold or untaken or broken or code or counts["lost"]) and rejected >= bad
    worst = max(lags, default=0.0)
    print(
        f"membership seed {seed}: {nodes} nodes, {instances} instances: {writer.number} good versions, "
        f"{writer.number - untaken} taken, {bad} bad written, {rejected} rejections told, partial {partial}, "
        f"from write to the last worker's word {median(lags or [0.0]):.0f} ms (worst {worst:.0f}), longest "
        f"answer of the supervisor {stall:.0f} ms, last request at a drained node "
        f"{max(behind, default=0):.0f} ms after its file was whole (grace {DRAIN_GRACE_MS:.0f}), "
        f"requests lost {counts['lost']}: "
        f"{'held' if good else 'BROKEN'}"
    )
    return 0 if good else 1


def main() -> int:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--nodes", type=int, default=5000)
    parser.add_argument("--instances", type=int, default=4)
    parser.add_argument("--seconds", type=float, default=30.0)
    args = parser.parse_args()
    with tempfile.TemporaryDirectory(prefix="flintlatch-") as name:
        return uvloop.run(run(args.seed, args.nodes, args.instances, args.seconds, Path(name)))


if __name__ == "__main__":
    sys.exit(main())
