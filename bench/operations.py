"""Runs a day of operations on one proxy under load: new versions, drains, statistics and idle callers.

    python -m bench.operations --seed N --times 6 --rate 150

The last line has the result; the exit code is not 0 if a rule of the ledger was broken, more than two
requests per version were refused unread, a drained proxy kept a client connection for more than 4 s, an
answer of the admin address took more than a second, or a statistic was wrong.
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
MAX_ANSWER_S, MAX_DRAIN_S, BACK_S = 1.0, 4.0, 2.0  # the limits promised to the operators
# fraction and count by which a statistic may differ from the clients' counts
MAX_FIGURE_ERROR_FRACTION, MAX_FIGURE_ERROR = 0.02, 3


class Day:
    def __init__(self, seed: int, folder: Path) -> None:
        self.random, self.folder = Random(seed), folder
        self.rig = Rig(folder, seed)
        self.address = free_address()
        self.broken: list[str] = []
        self.response_times_s: list[float] = []  # of the admin address
        self.drain_times_s: list[float] = []  # until the proxy had no client connection

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

    async def call(self, method: str, path: str, expected: int = 200) -> str:
        began = time.monotonic()
        status, text = await call(self.proxy.admin, method, path)
        self.response_times_s.append(time.monotonic() - began)
        if status != expected:
            self.broken.append(f"{method} {path}: {status}, expected {expected}")
        if self.response_times_s[-1] > MAX_ANSWER_S:
            self.broken.append(f"{method} {path}: answered after {self.response_times_s[-1]:.2f} s")
        return text

    async def replace_version(self) -> None:
        """Replaces the process as the platform does: starts a second, checks readiness, sends SIGTERM."""
        old, self.proxy = self.proxy, await self.start()
        await self.call("GET", "/ops/readiness")
        await asyncio.sleep(self.random.uniform(0.1, 1.0))
        if (code := await old.end()) != 0:
            self.broken.append(f"a version ended with {code}: {old.lines[-3:]}")

    async def drain(self) -> None:
        """Drains the proxy and ends the drain.

        With a single proxy a front end has no other to switch to; the pause of the clients stands for that.
        """
        await self.call("POST", "/ops/drain/start")
        await self.call("GET", "/ops/readiness", 503)
        began = time.monotonic()
        while remote_ports(self.proxy.process.pid) & {
            connection.port for connection in self.clients.connections
        }:
            if time.monotonic() - began > MAX_DRAIN_S:
                self.broken.append(f"a client was still held {MAX_DRAIN_S:g} s after the drain began")
                break
            await asyncio.sleep(0.05)
        self.drain_times_s.append(time.monotonic() - began)
        await self.call("POST", "/ops/drain/stop")
        await self.call("GET", "/ops/readiness")

    async def open_idle_callers(self) -> None:
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
        """Compares the statistics of the current process with the clients' counts; no request may be open.

        `since`: the clients' counts by status before this process started.
        """
        figures = read_figures(await self.call("GET", "/ops/stats"))
        observed = {status: count - since.get(status, 0) for status, count in self.clients.statuses.items()}
        expected = {
            "completed": observed.get(200, 0),
            "rejected": observed.get(503, 0) + observed.get(429, 0),
            "failed": sum(count for status, count in observed.items() if status not in (200, 429, 503)),
        }
        for name, count in expected.items():
            reported = sum(value for key, value in figures.items() if key.startswith(f"proxy.{name}."))
            if abs(reported - count) > max(MAX_FIGURE_ERROR, MAX_FIGURE_ERROR_FRACTION * count):
                self.broken.append(f"{name}: told {reported}, seen {count}")
        if figures["proxy.pending"] != 0 or figures["proxy.members"] != len(self.rig.nodes):
            self.broken.append(f"pending or members: {figures}")

    async def run(self, times: int, rate: float) -> None:
        await self.open()
        for _ in range(times):
            load = asyncio.create_task(self.clients.run(rate, 4.0, MIX))
            await asyncio.sleep(self.random.uniform(0.3, 0.8))
            await self.replace_version()
            await self.open_idle_callers()
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
    requests = day.rig.ledger.requests.values()
    crossed = sum(request.close_races for request in requests)
    refused_unread = day.clients.refused_connections + crossed
    broken = day.broken + [str(breach) for breach in day.rig.ledger.violations()]
    if refused_unread > 2 * (times + 1):  # the operators accept two per version
        broken.append(f"{refused_unread} turned back unheard")
    for line in broken[:10]:
        print(line)
    print(
        f"statuses {dict(day.clients.statuses)}; "
        f"the second address answers in {max(day.response_times_s) * 1000:.0f} ms at most; "
        f"drained after {' and '.join(f'{s:.2f}' for s in day.drain_times_s)} s"
    )
    print(
        f"operations seed {seed}: {times + 1} new versions and 2 drains under {rate:g} requests a second, "
        f"{len(requests)} requests, {refused_unread} turned back unheard, {len(broken)} promises broken: "
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
