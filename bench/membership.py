"""Rewrites a node file with valid and invalid versions under traffic, as fast as the fleet applies them.

    python -m bench.membership --seed N --nodes 5000 --instances 4 --seconds 30

A few nodes of the list are real; the others are draining and get no requests. The last line has the result;
the exit code is not 0 if a worker had a list that is not one of the versions, a valid version was not
applied or an invalid one was, a rejection was not logged, a request was lost or a rule of the ledger was
broken.
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

REAL_NODES = 4
REQUESTS_PER_S = 150.0
WATCHDOG_S = 0.5  # so that workers report their version ten times per second
INVALID_KINDS = ("cut", "count", "older", "empty", "weight", "twice")


class Writer:
    def __init__(self, path: Path, rig: Rig, nodes: int, seed: int) -> None:
        self.path, self.rig, self.nodes, self.random = path, rig, nodes, Random(seed)
        self.number = 0
        self.nodes_by_version: dict[int, int] = {}  # by valid version: its number of nodes
        self.drained = 0  # index of the real node that the last version drains, if it is below REAL_NODES

    def rows(self) -> list[dict[str, object]]:
        drained = self.drained = self.random.randrange(3 * REAL_NODES)
        rows: list[dict[str, object]] = [
            {
                "uid": node.uid,
                "address": node.address,
                "cell": index,
                "state": "draining" if index == drained else "active",
            }
            for index, node in enumerate(self.rig.nodes)
        ]
        # Each of 997 consecutive versions has a different size, so that a mixture of two is detected.
        more = self.nodes - REAL_NODES + self.number % 997
        rows += [
            {"uid": f"x{n}", "address": f"127.1.{n % 250}.{n // 250 % 250 + 1}:9", "state": "draining"}
            for n in range(more)
        ]
        return rows

    def valid_version(self) -> bytes:
        self.number += 1
        rows = self.rows()
        self.nodes_by_version[self.number] = len(rows)
        return json.dumps({"version": self.number, "count": len(rows), "nodes": rows}).encode()

    def invalid_version(self, kind: str) -> bytes:
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
        """Writes a valid version. A drain counts from the moment at which the file is complete."""
        draining_since = self.rig.ledger.drain_announced_ms
        before = set(draining_since)
        data = self.valid_version()
        uids = {node.uid for index, node in enumerate(self.rig.nodes) if index == self.drained}
        for uid in before - uids:
            del draining_since[uid]
        self.write(data)
        for uid in uids - before:
            draining_since[uid] = now_ms()

    def write(self, data: bytes) -> None:
        method = self.random.randrange(3)
        if method == 0:
            replacement = self.path.with_name("fresh")
            replacement.write_bytes(data)
            replacement.rename(self.path)
        elif method == 1:
            self.path.unlink(missing_ok=True)
            self.path.write_bytes(data)
        else:
            with open(self.path, "wb", buffering=0) as file:
                for offset in range(0, len(data), 65536):
                    file.write(data[offset : offset + 65536])


async def run(seed: int, nodes: int, instances: int, seconds: float, folder: Path) -> int:
    rig = await Rig(folder, seed).open(REAL_NODES)
    writer = Writer(folder / "nodes.json", rig, nodes, seed)
    # so that the ledger records each request after a drain, with its time
    rig.ledger.drain_grace_ms = -GRACE_MS
    writer.write_good()
    rig.ledger.drain_announced_ms.clear()  # no process serves yet
    config = rig.write(fleet={"instances": instances}, start={"watchdog_s": WATCHDOG_S})
    text = config.read_text()
    before, after = text.index("[nodes]"), text.index("[[class]]")
    table = '[nodes]\nsource = "files"\nfiles = ["nodes.json"]\nkeep = "kept"\nmost_removed_part = 1.0\n\n'
    config.write_text(text[:before] + table + text[after:])
    fleet = await (await FleetProcess(config).start()).ready()
    clients = Clients(fleet.address, CLASSES, rig.ledger, seed)
    traffic = asyncio.create_task(clients.run(REQUESTS_PER_S, seconds, {"answer": 0.8, "grade": 0.2}))
    mixed_lists = unreported = not_applied = bad_count = 0
    apply_times_ms: list[float] = []
    longest_status_ms = 0.0
    try:
        while not traffic.done():
            if writer.random.random() < 0.5:
                log_position, kind = len(fleet.log), writer.random.choice(INVALID_KINDS)
                writer.write(writer.invalid_version(kind))
                bad_count += 1
                try:
                    async with asyncio.timeout(10):
                        await fleet.wait_for_log("rejected", log_position)
                except TimeoutError:
                    unreported += 1
            writer.write_good()
            written_at = now_ms()
            wanted = writer.nodes_by_version[writer.number]
            while True:
                asked = now_ms()
                status = await fleet.status()
                longest_status_ms = max(longest_status_ms, now_ms() - asked)
                worker_lists = {(row["rev"], row["nodes"]) for row in status["instances"]}
                current = status["generations"][-1]["nodes"]
                sizes = set(writer.nodes_by_version.values())
                mixed_lists += sum(size not in sizes for _, size in worker_lists if size is not None)
                if worker_lists == {(current["rev"], wanted)} and current["count"] == wanted:
                    apply_times_ms.append(now_ms() - written_at)
                    break
                if now_ms() - written_at > 15_000:
                    not_applied += 1
                    break
                await asyncio.sleep(0.02)
        await traffic
        sources = (await fleet.ask("nodes"))["sources"]
        code = await fleet.stop()
    finally:
        clients.close()
        await fleet.close()
        rig.close()
    after_drain_ms = [ms for *_, ms in rig.ledger.sent_after_drain_grace]
    rig.ledger.sent_after_drain_grace = [
        row for row in rig.ledger.sent_after_drain_grace if row[2] > DRAIN_GRACE_MS + GRACE_MS
    ]
    counts, broken = rig.ledger.counts(), rig.ledger.violations()
    for breach in broken[:10]:
        print(f"BROKEN {breach}")
    rejected = sources[0]["rejected"]
    held = (
        not (mixed_lists or unreported or not_applied or broken or code or counts["lost"])
        and rejected >= bad_count
    )
    worst = max(apply_times_ms, default=0.0)
    print(
        f"membership seed {seed}: {nodes} nodes, {instances} instances: {writer.number} good versions, "
        f"{writer.number - not_applied} taken, {bad_count} bad written, {rejected} rejections told, partial "
        f"{mixed_lists}, "
        f"from write to the last worker's word {median(apply_times_ms or [0.0]):.0f} ms (worst "
        f"{worst:.0f}), longest "
        f"answer of the supervisor {longest_status_ms:.0f} ms, last request at a drained node "
        f"{max(after_drain_ms, default=0):.0f} ms after its file was whole (grace {DRAIN_GRACE_MS:.0f}), "
        f"requests lost {counts['lost']}: "
        f"{'held' if held else 'BROKEN'}"
    )
    return 0 if held else 1


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
