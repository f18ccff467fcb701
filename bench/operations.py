"""One proxy through a day of operators: new versions, drains, figures, callers that stay, all under load.

    python -m bench.operations --seed N --times 6 --rate 150

The last line is the figure; the exit code is not 0 if a rule broke, more than two requests a version were
turned back unheard, a drained proxy kept a client past 4 s, an answer of the second address took over a
second, or a figure was untrue.
"""

from __future__ import annotations

import argparse
import asyncio
import os
import sys
import tempfile
import time
from pathlib import Path
from random import Random

import uvloop

from flintlatch.api import Effect, RequestClass, Scope
from flintlatch.standin.client import Clients
from flintlatch.standin.node import Shape
from flintlatch.standin.process import remote_ports
from flintlatch.standin.proxy import ProxyProcess, call, configuration, free_address, read_figures, write
from flintlatch.standin.rig import Rig

CLASSES = {
    "answer": RequestClass(300, 900, Effect.SAFE, worth=1),
    "purchase": RequestClass(500, 1000, Effect.KEYED, Scope.ALL, 10_000, worth=12),
    "grade": RequestClass(500, 1000, Effect.UNSAFE, worth=3),
}
MIX = {"answer": 0.7, "purchase": 0.2, "grade": 0.1}
ANSWER_S, DRAINED_S, BACK_S = 1.0, 4.0, 2.0  # what the operators are owed
UNTRUE, FEW = 0.02, 3  # part, and count, by which a figure may miss what clients saw


class Day:
    def __init__(self, seed: int, folder: Path) -> None:
        self.random, self.folder = Random(seed), folder
        self.rig = Rig(folder, seed)
        self.address = free_address()
        self.broken: list[str] = []
        self.calls: list[float] = []  # s, each answer of the second address
        self.drains: list[float] = []  # s until no client was held

    async def open(self) -> None:
        await self.rig.open(4, Shape(slots=32, queue=256, work_ms=5))
        config = configuration(self.address, self.rig.registry.address, CLASSES, self.rig.nodes)
        self.config = write(self.folder / "config.json", config)
        self.clients = Clients(self.address, CLASSES, self.rig.ledger, self.rig.seed)
        self.proxy = await self.start()

    async def start(self) -> ProxyProcess:
        return await ProxyProcess.start(
            self.config, LB_LISTEN=self.address, LB_ADMIN=free_address(), TMPDIR=str(self.folder)
        )

    async def call(self, method: str, path: str, wanted: int = 200) -> str:
        begun = time.monotonic()
        status, text = await call(self.proxy.admin, method, path)
        self.calls.append(time.monotonic() - begun)
        if status != wanted:
            self.broken.append(f"{method} {path}: {status}, expected {wanted}")
        if self.calls[-1] > ANSWER_S:
            self.broken.append(f"{method} {path}: answered after {self.calls[-1]:.2f} s")
        return text

    async def new_version(self) -> None:
        """As the platform does it: a second process, its yes, SIGTERM to the first."""
        old, self.proxy = self.proxy, await self.start()
        await self.call("GET", "/ops/readiness")
        await asyncio.sleep(self.random.uniform(0.1, 1.0))
        if (code := await old.end()) != 0:
            self.broken.append(f"a version ended with {code}: {old.lines[-3:]}")

    async def drain(self) -> None:
        """With one proxy the front has nowhere else to go: the clients' pause stands for it."""
        await self.call("POST", "/ops/drain/start")
        await self.call("GET", "/ops/readiness", 503)
        begun = time.monotonic()
        while remote_ports(self.proxy.process.pid) & {one.port for one in self.clients.connections}:
            if time.monotonic() - begun > DRAINED_S:
                self.broken.append(f"a client was still held {DRAINED_S:g} s after the drain began")
                break
            await asyncio.sleep(0.05)
        self.drains.append(time.monotonic() - begun)
        await self.call("POST", "/ops/drain/stop")
        await self.call("GET", "/ops/readiness")

    async def silent_callers(self) -> None:
        host, _, port = self.proxy.admin.rpartition(":")
        writers = []
        for number in range(40):
            _, writer = await asyncio.open_connection(host, int(port))
            writer.write(b"GET /ops/st" * (number % 2))
            writers.append(writer)
        await self.call("GET", "/ops/stats")
        for writer in writers:
            writer.close()

    async def check_figures(self, since: dict[int, int]) -> None:
        """Of the process that serves now, once nothing is open; `since`: statuses seen before it began."""
        figures = read_figures(await self.call("GET", "/ops/stats"))
        seen = {status: count - since.get(status, 0) for status, count in self.clients.statuses.items()}
        wanted = {
            "completed": seen.get(200, 0),
            "rejected": seen.get(503, 0) + seen.get(429, 0),
            "failed": sum(count for status, count in seen.items() if status not in (200, 429, 503)),
        }
        for name, count in wanted.items():
            told = sum(value for key, value in figures.items() if key.startswith(f"proxy.{name}."))
            if abs(told - count) > max(FEW, UNTRUE * count):
                self.broken.append(f"{name}: told {told}, seen {count}")
        if figures["proxy.pending"] != 0 or figures["proxy.members"] != len(self.rig.nodes):
            self.broken.append(f"pending or members: {figures}")

    async def run(self, times: int, rate: float) -> None:
        await self.open()
        for _ in range(times):
            load = asyncio.create_task(self.clients.run(rate, 4.0, MIX))
            await asyncio.sleep(self.random.uniform(0.3, 0.8))
            await self.new_version()
            await self.silent_callers()
            await load
        await self.clients.all_answered.wait()
        before = dict(self.clients.statuses)
        self.proxy, old = await self.start(), self.proxy
        await old.end()
        load = asyncio.create_task(self.clients.run(rate, 3.0, MIX))
        await load
        await self.clients.all_answered.wait()
        await self.check_figures(before)
        await self.drain()
        load = asyncio.create_task(self.clients.run(rate, 4.0, MIX))
        await asyncio.sleep(0.5)
        await self.drain()
        await load
        await self.clients.all_answered.wait()
        if (code := await self.proxy.end()) != 0:
            self.broken.append(f"the last process ended with {code}")
        if left := [name for name in os.listdir(self.folder) if "+" in name]:
            self.broken.append(f"left behind: {left}")


async def run(seed: int, times: int, rate: float, folder: Path) -> int:
    day = Day(seed, folder)
    try:
        await day.run(times, rate)
    finally:
        if day.proxy.process.returncode is None:
            day.proxy.process.kill()
        day.rig.close()
    asked = day.rig.ledger.requests.values()
    crossed = sum(one.close_races for one in asked)
    unheard = day.clients.refused_connections + crossed
    broken = day.broken + [str(breach) for breach in day.rig.ledger.violations()]
    if unheard > 2 * (times + 1):  # what the operators let pass: two a version
        broken.append(f"{unheard} turned back unheard")
    for line in broken[:10]:
        print(line)
    print(
        f"statuses {dict(day.clients.statuses)}; "
        f"the second address answers in {max(day.calls) * 1000:.0f} ms at most; "
        f"drained after {' and '.join(f'{s:.2f}' for s in day.drains)} s"
    )
    print(
        f"operations seed {seed}: {times + 1} new versions and 2 drains under {rate:g} requests a second, "
        f"{len(asked)} requests, {unheard} turned back unheard, {len(broken)} promises broken: "
        f"{'BROKEN' if broken else 'held'}"
    )
    return 1 if broken else 0


def main() -> int:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--times", type=int, default=6)
    parser.add_argument("--rate", type=float, default=150.0)
    args = parser.parse_args()
    with tempfile.TemporaryDirectory(prefix="fl-") as name:
        return uvloop.run(run(args.seed, args.times, args.rate, Path(name)))


if __name__ == "__main__":
    sys.exit(main())
