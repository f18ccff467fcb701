"""What the list of servers costs one proxy: bytes, processor time, the turn it holds, and where it is cut."""

from __future__ import annotations

import asyncio
import contextlib
import gc
import tempfile
import tracemalloc
from pathlib import Path
from time import process_time
from typing import Any

import orjson

from bench.scale import data, module
from bench.scale.data import Series
from flintlatch.api import ListKind, ServerList
from flintlatch.choice import Balancer
from flintlatch.net.backends import Backends
from flintlatch.net.discovery import MAX_LIST, Discovery, Listing, read_listing
from flintlatch.settings import SocketSettings
from flintlatch.standin.proxy import ProxyProcess, configuration, free_address, write
from flintlatch.standin.registry import Registry
from flintlatch.standin.rig import CLASSES

SIZES = (20, 200, 2_000, 20_000, 200_000), (20, 200)
LOOK_S = 3.0  # for which a proxy that can't take its list is looked at
ANSWER_S, TRIES = 10.0, 4
CONNECT_MS, IDLE_MS = 1000.0, 30_000.0


def wire() -> SocketSettings:
    return SocketSettings({}, {}, {}, {"default": 0}, CONNECT_MS, IDLE_MS)


def put(registry: Registry, number: int, state: str = "active") -> None:
    place = ".".join(str(number >> shift & 255) for shift in (16, 8, 0))
    uid, zone, cell = f"backend-{number:06d}", number % module.ZONES, number // 4
    registry.put(uid, f"10.{place}:8080", state, zone, cell)


def fill(registry: Registry, servers: int) -> Registry:
    for number in range(servers):
        put(registry, number)
    return registry


def snapshot(registry: Registry) -> bytes:
    """As the stand-in registry answers a first call."""
    return orjson.dumps({"rev": registry.rev, "all": True, "targets": list(registry.entries.values())})


def delta(registry: Registry, number: int = 0, state: str = "leaving") -> bytes:
    """The same to a watch, after one entry has changed."""
    since = registry.rev
    put(registry, number, state)
    news = [entry for rev, entry in registry.changes[-1:] if rev > since]
    return orjson.dumps({"rev": registry.rev, "all": False, "targets": news})


class Holder:
    """Whatever one proxy does with a list, in the two turns of its loop that follow one another."""

    def __init__(self, seed: int) -> None:
        self.backends = Backends(CONNECT_MS, IDLE_MS, 100)
        self.balancer = Balancer(module.settings(), seed)
        self.wire, self.now = wire(), 1000.0
        self.event = ServerList(ListKind.SNAPSHOT)

    def read(self, body: bytes) -> Listing:
        listing = read_listing(orjson.loads(body), self.wire)
        self.backends.update(listing.targets, listing.is_snapshot)
        kind = ListKind.SNAPSHOT if listing.is_snapshot else ListKind.DELTA
        self.event = ServerList(kind, tuple(target.info for target in listing.targets))
        return listing

    def take(self, body: bytes) -> tuple[float, float]:
        """Processor time in ms: reading it and telling the pools, and the module's step."""
        self.now += 25.0
        begun = process_time()
        self.read(body)
        middle = process_time()
        self.balancer.step(self.now, [self.event])
        return (middle - begun) * 1000, (process_time() - middle) * 1000

    def close(self) -> None:
        self.backends.close()


async def hold(servers: int, seed: int, small: bool) -> dict[str, float]:
    registry, holder = fill(Registry(), servers), Holder(seed)
    whole = snapshot(registry)
    module.settle()
    wholes = [holder.take(whole) for _ in range(3 if servers > 20_000 or small else 6)]
    changed = [delta(registry, n // 2, "active" if n % 2 else "leaving") for n in range(10)]
    changes = [holder.take(body) for body in changed]
    holder.close()
    both = [sum(pair) for pair in wholes]
    return {
        "snapshot_bytes": len(whole),
        "snapshot_cpu_ms": sum(both) / len(both),
        "snapshot_turn_ms": max(both),
        "delta_bytes": len(changed[0]),
        "delta_cpu_ms": sum(map(sum, changes)) / len(changes),
        "samples": len(wholes),
        "step": sum(pair[1] for pair in wholes) / sum(both),
    }


def measure(servers: int, seed: int, small: bool) -> dict[str, float]:
    return asyncio.run(hold(servers, seed, small))


def memory(servers: int, seed: int) -> int:
    """Bytes that the pools hold for a list that was read, the module left out."""

    async def held() -> int:
        body = snapshot(fill(Registry(), servers))
        gc.collect()
        tracemalloc.start()
        holder = Holder(seed)
        before, _ = tracemalloc.get_traced_memory()
        holder.read(body)
        holder.event = ServerList(ListKind.SNAPSHOT)
        gc.collect()
        after, _ = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        holder.close()
        return after - before

    return asyncio.run(held())


async def takes(servers: int) -> str:
    """What the real Discovery says of so many, over a socket; empty if it has taken them."""
    for _ in range(TRIES):  # a busy machine may be too slow for its time limit, which is no cut
        if not (said := await ask_for(servers)).startswith("TimeoutError"):
            break
    return said


async def ask_for(servers: int) -> str:
    registry = await fill(Registry(), servers).open()
    said: asyncio.Future[str] = asyncio.get_running_loop().create_future()

    def on_list(listing: Listing) -> None:
        if not said.done():
            said.set_result("" if len(listing.targets) == servers else f"{len(listing.targets)} of them")

    def on_failure(reason: str) -> None:
        if not said.done():
            said.set_result(reason)

    discovery = Discovery(registry.address, wire(), None, on_list, on_failure)
    discovery.watch()
    try:
        async with asyncio.timeout(ANSWER_S):
            return await said
    finally:
        discovery.close()
        registry.close()


async def most_taken() -> tuple[int, str]:
    """The most entries that the real Discovery takes whole, and what it says to one more."""
    servers, size = 0, 0
    for known in fill(Registry(), MAX_LIST // 100).entries.values():  # where to look, by the bytes alone
        size += len(orjson.dumps(known)) + 1
        servers += size <= MAX_LIST
    while await takes(servers):
        servers -= 1
    while not (said := await takes(servers + 1)):
        servers += 1
    return servers, said


async def complaint(servers: int) -> tuple[list[str], int]:
    """What a real proxy logs of such a list, and how often it asks, in LOOK_S."""
    registry = await fill(Registry(), servers).open()
    with tempfile.TemporaryDirectory(prefix="fl-") as name:
        told: dict[str, Any] = configuration(free_address(), registry.address, CLASSES, [])
        proxy = await ProxyProcess.start(write(Path(name) / "config.json", told), TMPDIR=name)
        try:
            await asyncio.sleep(LOOK_S)
            calls = len(registry.calls)
            await proxy.end()
        finally:
            if proxy.process.returncode is None:
                with contextlib.suppress(ProcessLookupError):
                    proxy.process.kill()
            registry.close()
    return [line.strip() for line in proxy.lines if "list:" in line], calls


def cut(small: bool) -> str:
    servers, said = asyncio.run(most_taken())
    text = f"real Discovery on loopback takes {servers} entries whole, to one more it says {said!r}"
    if small:
        return text
    lines, calls = asyncio.run(complaint(servers + 1))
    return f"{text}; a real proxy logs {lines} and asks {calls} times in {LOOK_S:g} s"


NOTES = {
    "snapshot_bytes": "JSON of the stand-in registry, names of 14 characters",
    "snapshot_cpu_ms": "orjson, read_listing, pools and the module's step, mean of all snapshots",
    "snapshot_turn_ms": "the longest of these: two turns of the loop, one right after the other",
    "delta_bytes": "one entry of the watch's answer",
    "delta_cpu_ms": "orjson, read_listing, pools and the module's step, mean of 10 lists of one entry",
}
UNITS = {"bytes": "bytes", "ms": "ms"}


def run(seed: int, small: bool) -> list[Series]:
    load, sizes = data.load(), SIZES[small]
    each = module.here if small else module.alone
    rows = [each(measure, size, seed, small) for size in sizes]
    where = cut(small)
    counts = "; ".join(
        f"{name} " + "/".join(f"{row[name]:.2g}" for row in rows) for name in ("samples", "step")
    )
    notes = {name: f"{text}; by size, step as a part: {counts}" for name, text in NOTES.items()}
    notes["snapshot_bytes"] = f"{NOTES['snapshot_bytes']}; {where}"
    fixed = {"proxies": float(module.PROXIES), "services": 1.0}
    found = [
        Series(f"lists.{name}", "servers", UNITS[name.rpartition("_")[2]],
               tuple((size, row[name]) for size, row in zip(sizes, rows, strict=True)),
               "hollow", fixed, seed, load, notes[name])
        for name in NOTES
    ]  # fmt: skip
    held = tuple((size, float(each(memory, size, seed))) for size in sizes)
    text = "tracemalloc, the pools with what was read, the module's own left out"
    return [*found, Series("lists.memory_bytes", "servers", "bytes", held, "hollow", fixed, seed, load, text)]
