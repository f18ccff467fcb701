"""A real fleet among stand-ins, for one test."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Coroutine
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

import uvloop

from flintlatch.standin.client import Clients
from flintlatch.standin.node import Call, Node, Shape
from flintlatch.standin.process import FleetProcess, alive
from flintlatch.standin.rig import CLASSES, Rig

TEST_TIMEOUT_S = 40.0  # far beyond what any test needs; only a hang comes near it
# Put on PYTHONPATH: every interpreter started from then on does what the file names. Workers alone are
# hurt; the supervisor has other arguments.
SITECUSTOMIZE = """
import os, sys, time
if "flintlatch.fleet.worker" in sys.orig_argv:
    try:
        fault = open({path!r}).read()
    except OSError:
        fault = ""
    if fault == "exit":
        os._exit(7)
    if fault == "hang":
        time.sleep(60)
    if fault == "slow":
        time.sleep(3)
"""


def run(test: Coroutine[Any, Any, None]) -> None:
    uvloop.run(asyncio.wait_for(test, TEST_TIMEOUT_S))


class Hold:
    """Takes every call of the class `exam` out of a node's hands, until the test answers it."""

    def __init__(self, *nodes: Node) -> None:
        self.calls: asyncio.Queue[Call] = asyncio.Queue()
        for node in nodes:
            node.hold = self.take

    def take(self, call: Call) -> bool:
        if call.url.startswith(b"/exam"):
            self.calls.put_nowait(call)
            return True
        return False


class Daemon:
    def __init__(self, folder: Path, rig: Rig) -> None:
        self.rig = rig
        self.fault = folder / "fault"
        site = folder / "site"
        site.mkdir()
        (site / "sitecustomize.py").write_text(SITECUSTOMIZE.format(path=str(self.fault)))
        self.env = {"PYTHONPATH": f"{site}:{Path(__file__).parent.parent.parent}"}
        self.fleet: FleetProcess
        self.clients: Clients
        self.pids: set[int] = set()

    async def pids_now(self) -> list[int]:
        pids = [one["pid"] for one in (await self.fleet.status())["instances"] if one["pid"]]
        self.pids |= set(pids)
        return pids

    def assert_rules_kept(self) -> None:
        """No rule broke."""
        assert not self.rig.ledger.broken(), [str(b) for b in self.rig.ledger.broken()[:5]]


@asynccontextmanager
async def daemon(
    folder: Path, count: int = 3, shape: Shape | None = None, seed: int = 1, /, **tables: Any
) -> AsyncIterator[Daemon]:
    """A fleet that is ready; stopped, and checked to leave no process, at the end."""
    rig = await Rig(folder, seed).open(count, shape)
    made = Daemon(folder, rig)
    made.fleet = FleetProcess(rig.write(**tables), made.env)
    try:
        await (await made.fleet.start()).ready()
        made.clients = Clients(made.fleet.address, CLASSES, rig.ledger, seed)
        yield made
        await made.clients.none_open.wait()
        if made.fleet.process.returncode is None:
            await made.pids_now()
            assert await made.fleet.stop() == 0, made.fleet.log
        await none_left(made.pids)
        bugs = [line for line in made.fleet.log if "bug" in line or "Traceback" in line]
        assert not bugs, bugs
    finally:
        if hasattr(made, "clients"):
            made.clients.close()
        await made.fleet.close()
        rig.close()


async def none_left(pids: set[int]) -> None:
    async with asyncio.timeout(TEST_TIMEOUT_S / 2):
        while any(map(alive, pids)):
            await asyncio.sleep(0.02)
