"""A real process with the least memory that a deployment gives, and 1,024 descriptors, under crowds."""

from __future__ import annotations

import asyncio
import signal
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path

import pytest

from flintlatch.standin.crowd import Crowd, CrowdKind
from flintlatch.standin.ledger import Ledger
from flintlatch.standin.memory import MemoryWatch, ProcessMemory
from flintlatch.standin.node import Node, Shape
from flintlatch.standin.proxy import ProxyProcess, ReservedAddress, configuration, write
from flintlatch.standin.registry import Registry
from flintlatch.standin.soak.run import CLASSES
from tests.loopback import run

LIMIT_MB, DESCRIPTORS, CLIENTS = 32, 1024, 400
HOLD_S = 1.5
RETURN_S = 5.0  # for which clients try to connect to a process that is started again
RETURNING = (CrowdKind.SMALL_BODY, CrowdKind.SHORT_BODY, CrowdKind.PART_OF_BODY, CrowdKind.REQUESTS_BEHIND)


class Machine:
    """One proxy, its servers and their registry."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.address = ReservedAddress()
        self.registry = Registry()
        self.nodes = [Node(f"s{number}", Shape(queue=64), Ledger(1e12)) for number in range(6)]

    async def open(self) -> None:
        await self.registry.open()
        for node in self.nodes:
            await node.open()
            self.registry.add(node)

    async def start(self, memory_mb: int = LIMIT_MB) -> ProxyProcess:
        config = configuration(str(self.address), self.registry.address, CLASSES, self.nodes)
        config["limits"] = {"cores": 1.0, "memory_mb": memory_mb, "sockets": DESCRIPTORS}
        return await ProxyProcess.start(write(self.folder / "config.json", config), TMPDIR=str(self.folder))

    def close(self) -> None:
        self.address.close()
        self.registry.close()
        for node in self.nodes:
            node.crash()


@asynccontextmanager
async def machine(folder: Path) -> AsyncIterator[Machine]:
    opened = Machine(folder)
    await opened.open()
    try:
        yield opened
    finally:
        opened.close()


def check(largest: ProcessMemory, kinds: object) -> None:
    print(f"{kinds}: {largest.resident / 1e6:.1f} MB resident, {largest.proportional / 1e6:.1f} proportional")
    assert 0 < max(largest) <= LIMIT_MB * 1e6


def test_crowds_one_after_another_stay_within_the_memory_limit(tmp_path: Path) -> None:
    # Guards against memory that is taken before it is counted, or kept after its clients have left.
    async def test() -> None:
        async with machine(tmp_path) as m:
            proxy = await m.start()
            watch, crowd = MemoryWatch(proxy.process.pid), Crowd(str(m.address), seed=1)
            for kind in CrowdKind:
                await crowd.run([kind], CLIENTS, HOLD_S)
            await crowd.run(list(CrowdKind), CLIENTS, HOLD_S)
            assert proxy.process.returncode is None
            watch.close()
            await proxy.end(signal.SIGKILL)
            check(watch.largest, "crowds")

    run(test())


@pytest.mark.parametrize("kind", RETURNING, ids=lambda kind: kind.name.lower())
def test_a_start_under_a_returning_crowd_stays_within_the_memory_limit(
    kind: CrowdKind, tmp_path: Path
) -> None:
    # Guards against clients that all come back at once after a kill.
    async def test() -> None:
        async with machine(tmp_path) as m:
            crowd = Crowd(str(m.address), seed=1)
            coming = asyncio.create_task(crowd.run([kind], CLIENTS, HOLD_S, RETURN_S))
            proxy = await m.start()
            watch = MemoryWatch(proxy.process.pid)
            report = await coming
            assert report.first_lines or not kind.read_bytes_per_s
            watch.close()
            await proxy.end(signal.SIGKILL)
            check(watch.largest, kind)

    run(test())
