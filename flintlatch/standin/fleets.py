"""Runs several real fleets as peers, with a fault-injecting relay on every link to peers, nodes and registry.

    async with fleets(folder, 3, zones=("a", "b")) as cluster:
        cluster.links.cut("f0", ("f1", "f2"))

Fleet `fK` sends from its own host address and is in zone K modulo the number of zones. Nodes `sK` and
`registry` are places too. The intervals of the peers are short, so that a test observes within seconds what
takes minutes in production.
"""

from __future__ import annotations

import asyncio
import os
import signal
from collections.abc import AsyncIterator, Callable, Mapping
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

from flintlatch.fleet.control import ControlError
from flintlatch.net.clock import now_ms
from flintlatch.standin.client import Clients
from flintlatch.standin.links import FaultEvent, Links, Relay, apply
from flintlatch.standin.node import Node, Shape
from flintlatch.standin.process import WAIT_TIMEOUT_S, FleetProcess
from flintlatch.standin.rig import CLASSES, Rig, Rows, configuration

KEY = "4b" * 32
QUICK: dict[str, Any] = {  # short intervals, so that tests finish within seconds
    "period_s": 0.25,
    "ack_s": 0.1,
    "suspicion": 3.0,
    "sync_s": 1.0,
    "forget_s": 6.0,
    "hold_s": 1.0,
    "word_s": 0.8,
}


class Fleets:
    """Peer fleets with their nodes, registry and relays. Use `fleets` to start and stop them."""

    def __init__(self, folder: Path, zones: tuple[str, ...], instances: int, seed: int) -> None:
        self.folder, self.zones, self.instances, self.seed = folder, zones, instances, seed
        self.rig = Rig(folder, seed)
        self.links = Links(seed)
        self.processes: dict[str, FleetProcess] = {}
        self.relays: dict[str, Relay] = {}
        self.tables: dict[str, dict[str, Any]] = {}
        self.rows: Rows = {}
        self.seeds: list[str] = []
        self.paused: set[str] = set()
        self.clients: Clients | None = None
        self.env = {"PYTHONPATH": str(Path(__file__).parent.parent.parent)}
        self.registry_address = ""

    # Set-up

    async def open(self, fleets: int, nodes: int, shape: Shape | None, tables: Mapping[str, Any]) -> None:
        await self.rig.registry.open()
        self.links.add("registry", "", "127.0.0.1")
        self.registry_address = (await self.links.open("registry", self.rig.registry.address)).address
        for index in range(nodes):
            await self.add_node(index % len(self.zones), shape or Shape(work_ms=5.0))
        names = [f"f{index}" for index in range(fleets)]
        for name in names:
            await self.add_fleet_relay(name)
        self.seeds = [self.relays[name].address for name in names[:3]]
        for name in names:
            self.write(name, **tables)
        await asyncio.gather(*map(self.start, names))

    async def add_node(self, zone: int, shape: Shape) -> Node:
        """Start a node behind a relay, and register it under the relay's address."""
        shape = Rig.copy_shape(shape)
        shape.zone = zone
        rig = self.rig
        node = Node(f"s{len(rig.nodes)}", shape, rig.ledger, self.seed, rig.keys)
        await node.open()
        rig.nodes.append(node)
        self.links.add(node.uid, self.zones[zone], f"127.78.0.{len(rig.nodes)}")
        relay = self.relays[node.uid] = await self.links.open(node.uid, node.address)
        rig.registry.put(node.uid, relay.address, "active", zone, 0, now_ms() if shape.cold_ms else 0.0)
        return node

    async def add_fleet_relay(self, name: str) -> None:
        number = int(name[1:])
        zone = self.zones[number % len(self.zones)]
        self.links.add(name, zone, f"127.77.{number // 200}.{number % 200 + 1}")
        self.relays[name] = await self.links.open(name, datagrams=True)

    def write(self, name: str, **tables: Any) -> Path:
        """Write the complete configuration of a fleet; `tables` adds or replaces keys of its tables."""
        for table, keys in tables.items():
            self.tables.setdefault(name, {})
            self.tables[name][table] = self.tables[name].get(table, {}) | keys
        own_tables = self.tables.get(name, {})
        place = self.links.places[name]
        folder = self.folder / name
        folder.mkdir(exist_ok=True)
        (folder / "key").write_text(KEY)
        content: dict[str, dict[str, Any]] = {
            "fleet": {"name": name, "instances": self.instances},
            "nodes": {"source_host": place.host, "zones": list(self.zones), "zone": place.zone},
            "peers": {
                "bind": f"{place.host}:0",
                "advertise": self.relays[name].address,
                "seeds": [seed for seed in self.seeds if seed != self.relays[name].address],
                "key_file": "key",
                **QUICK,
            },
        }
        for table, keys in own_tables.items():
            content[table] = content.get(table, {}) | keys
        temporary = folder / "fleet.toml.new"
        temporary.write_text(configuration(self.registry_address, self.rows, **content))
        return temporary.rename(folder / "fleet.toml")

    async def start(self, name: str) -> FleetProcess:
        process = FleetProcess(self.folder / name / "fleet.toml", self.env)
        self.processes[name] = process
        await process.start()
        position = await process.wait_for_log("peers at ")
        line = process.log[position - 1]
        self.relays[name].set_target(line.partition("peers at ")[2].partition(",")[0])
        await process.ready()
        return process

    def create_clients(self, seed: int | None = None) -> Clients:
        """Create clients that send to all running fleets and record in the ledger."""
        addresses = [process.address for process in self.processes.values()]
        self.clients = Clients(addresses, CLASSES, self.rig.ledger, seed or self.seed)
        return self.clients

    # Faults

    def pids(self, name: str) -> list[int]:
        """Return the pid of the fleet's supervisor, then those of its instances as procfs lists them."""
        pid = self.processes[name].process.pid
        with open(f"/proc/{pid}/task/{pid}/children") as file:
            return [pid, *map(int, file.read().split())]

    def pause(self, name: str, whole: bool = True) -> None:
        """Stop the supervisor with SIGSTOP, and the instances too unless `whole` is false."""
        self.paused.add(name)
        for pid in self.pids(name)[: None if whole else 1]:
            os.kill(pid, signal.SIGSTOP)

    def wake(self, name: str) -> None:
        self.paused.discard(name)
        for pid in reversed(self.pids(name)):
            os.kill(pid, signal.SIGCONT)

    async def kill(self, name: str) -> None:
        """Kill supervisor and instances at once, like a machine that loses power."""
        for pid in self.pids(name):
            os.kill(pid, signal.SIGKILL)
        await self.processes.pop(name).wait_until_ended()
        self.relays[name].set_target("")

    async def play(self, schedule: list[FaultEvent]) -> None:
        loop = asyncio.get_running_loop()
        started = loop.time()
        for event in schedule:
            await asyncio.sleep(max(started + event.at_s - loop.time(), 0.0))
            if apply(self.links, event):
                continue
            for name in event.side:
                if event.action == "pause":
                    self.pause(name)
                elif event.action == "wake":
                    self.wake(name)
                elif event.action == "kill":
                    await self.kill(name)
                else:
                    await self.start(name)

    # Observation

    async def peers(self, name: str) -> dict[str, Any]:
        return await self.processes[name].ask("peers")

    async def alive(self, name: str) -> set[str]:
        """Return the names of the members that this fleet regards as alive or suspect."""
        status = await self.peers(name)
        return {row["name"] for row in status.get("members", ()) if row["state"] in ("alive", "suspect")}

    async def views_agree(self, *names: str) -> bool:
        """Return whether each named fleet (default: each running one) sees exactly these as its members."""
        expected = set(names or self.processes)
        return all(await asyncio.gather(*(self._view_is(name, expected) for name in expected)))

    async def _view_is(self, name: str, expected: set[str]) -> bool:
        return await self.alive(name) == expected

    async def until(self, condition: Callable[[], Any], description: str = "the condition") -> float:
        """Poll `condition` until it returns true, and return the seconds that this took.

        Raises AssertionError after WAIT_TIMEOUT_S.
        """
        loop = asyncio.get_running_loop()
        started = loop.time()
        while True:
            try:
                if await condition():
                    return loop.time() - started
            except ControlError:  # a fleet that is just starting or stopping
                pass
            if loop.time() - started > WAIT_TIMEOUT_S:
                raise AssertionError(
                    f"{description}: not reached within {WAIT_TIMEOUT_S:g} s: " + self.logs()
                )
            await asyncio.sleep(0.05)

    def logs(self) -> str:
        return "\n".join(f"{n}: {line}" for n, p in self.processes.items() for line in p.log[-15:])

    async def close(self) -> None:
        for name in list(self.paused):
            self.wake(name)
        if self.clients is not None:
            self.clients.close()
        for process in self.processes.values():
            await process.close()
        self.links.close()
        self.rig.close()


@asynccontextmanager
async def fleets(
    folder: Path,
    count: int,
    /,
    zones: tuple[str, ...] = ("a",),
    instances: int = 1,
    nodes: int = 2,
    shape: Shape | None = None,
    seed: int = 1,
    rows: Rows | None = None,
    **tables: Any,
) -> AsyncIterator[Fleets]:
    """Run `count` fleets as peers, and stop them at the end. `tables` are added to each configuration."""
    cluster = Fleets(folder, zones, instances, seed)
    cluster.rows = rows or {}
    try:
        await cluster.open(count, nodes, shape, tables)
        await cluster.until(cluster.views_agree, "agreement of all members at the start")
        yield cluster
    finally:
        await cluster.close()
