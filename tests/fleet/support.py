"""Starts a real fleet among stand-in nodes, registry and clients for one test."""

from __future__ import annotations

import asyncio
import gc
from collections.abc import AsyncIterator, Coroutine, Iterator
from contextlib import asynccontextmanager, contextmanager
from pathlib import Path
from typing import Any

import uvloop

from flintlatch.standin.client import Clients
from flintlatch.standin.node import Call, Node, Shape
from flintlatch.standin.process import FleetProcess, alive
from flintlatch.standin.rig import CLASSES, Rig

TEST_TIMEOUT_S = 40.0  # reached only if a test hangs
# A module on PYTHONPATH that makes each worker started from now on fail as the file at `path` says. The
# supervisor has other arguments and is not affected.
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


@contextmanager
def short_collections() -> Iterator[None]:
    """Leaves the objects of earlier tests out of the garbage collections within it.

    Clients and nodes run in this process: a full collection would stop them for 0.2 s, which looks like
    requests that the fleet did not serve."""
    gc.collect()
    gc.freeze()
    try:
        yield
    finally:
        gc.unfreeze()


def run(test: Coroutine[Any, Any, None]) -> None:
    with short_collections():
        uvloop.run(asyncio.wait_for(test, TEST_TIMEOUT_S))


class HeldCalls:
    """Holds back the calls of the class `exam` that reach the given nodes, until the test answers them."""

    def __init__(self, *nodes: Node) -> None:
        self.calls: asyncio.Queue[Call] = asyncio.Queue()
        for node in nodes:
            node.intercept = self.take

    def take(self, call: Call) -> bool:
        if call.url.startswith(b"/exam"):
            self.calls.put_nowait(call)
            return True
        return False


class Daemon:
    """A running fleet with its rig and clients. `fault` is the path that SITECUSTOMIZE reads; `pids` are the
    workers that were seen, none of which may outlive the fleet."""

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
        pids = [instance["pid"] for instance in (await self.fleet.status())["instances"] if instance["pid"]]
        self.pids |= set(pids)
        return pids

    def assert_rules_kept(self) -> None:
        """Asserts that the ledger of clients and nodes shows no broken rule."""
        assert not self.rig.ledger.violations(), [str(broken) for broken in self.rig.ledger.violations()[:5]]


@asynccontextmanager
async def daemon(
    folder: Path, count: int = 3, shape: Shape | None = None, seed: int = 1, /, **tables: Any
) -> AsyncIterator[Daemon]:
    """A fleet that is ready. At the end it is stopped, and no process may be left."""
    rig = await Rig(folder, seed).open(count, shape)
    harness = Daemon(folder, rig)
    harness.fleet = FleetProcess(rig.write(**tables), harness.env)
    try:
        await (await harness.fleet.start()).ready()
        harness.clients = Clients(harness.fleet.address, CLASSES, rig.ledger, seed)
        yield harness
        await harness.clients.all_answered.wait()
        if harness.fleet.process.returncode is None:
            await harness.pids_now()
            assert await harness.fleet.stop() == 0, harness.fleet.log
        await none_left(harness.pids)
        bugs = [line for line in harness.fleet.log if "bug" in line or "Traceback" in line]
        assert not bugs, bugs
    finally:
        if hasattr(harness, "clients"):
            harness.clients.close()
        await harness.fleet.close()
        rig.close()


async def none_left(pids: set[int]) -> None:
    async with asyncio.timeout(TEST_TIMEOUT_S / 2):
        while any(map(alive, pids)):
            await asyncio.sleep(0.02)
