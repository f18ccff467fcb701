"""Measures the cost of the server list for one proxy, and the largest list that a proxy accepts."""

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
from flintlatch.net.discovery import MAX_LIST, Discovery
from flintlatch.net.listing import Listing, read_listing
from flintlatch.settings import SocketSettings
from flintlatch.standin.proxy import ProxyProcess, configuration, free_address, write
from flintlatch.standin.registry import Registry
from flintlatch.standin.rig import CLASSES

SIZES = (20, 200, 2_000, 20_000, 200_000), (20, 200)
OBSERVED_S = 3.0  # observation time of a proxy whose list is too long
ANSWER_TIMEOUT_S, MAX_TRIES = 10.0, 4
CONNECT_MS, IDLE_MS = 1000.0, 30_000.0


def socket_settings() -> SocketSettings:
    return SocketSettings({}, {}, {}, {"default": 0}, CONNECT_MS, IDLE_MS)


def put(registry: Registry, number: int, state: str = "active") -> None:
    address_suffix = ".".join(str(number >> shift & 255) for shift in (16, 8, 0))
    uid, zone, cell = f"backend-{number:06d}", number % module.ZONES, number // 4
    registry.put(uid, f"10.{address_suffix}:8080", state, zone, cell)


def fill(registry: Registry, servers: int) -> Registry:
    for number in range(servers):
        put(registry, number)
    return registry


def snapshot(registry: Registry) -> bytes:
    """The body of the stand-in registry's answer to a first call."""
    return orjson.dumps({"rev": registry.rev, "all": True, "targets": list(registry.entries.values())})


def delta(registry: Registry, number: int = 0, state: str = "leaving") -> bytes:
    """The body of the registry's answer to a watch after one entry has changed."""
    since = registry.rev
    put(registry, number, state)
    changed = [entry for rev, entry in registry.changes[-1:] if rev > since]
    return orjson.dumps({"rev": registry.rev, "all": False, "targets": changed})


class ListReceiver:
    """Processes a list as a proxy does in two consecutive turns of its event loop."""

    def __init__(self, seed: int) -> None:
        self.backends = Backends(CONNECT_MS, IDLE_MS, 100)
        self.balancer = Balancer(module.settings(), seed)
        self.socket_settings, self.now = socket_settings(), 1000.0
        self.event = ServerList(ListKind.SNAPSHOT)

    def read(self, body: bytes) -> Listing:
        listing = read_listing(orjson.loads(body), self.socket_settings)
        self.backends.update(listing.targets, listing.is_snapshot)
        kind = ListKind.SNAPSHOT if listing.is_snapshot else ListKind.DELTA
        self.event = ServerList(kind, tuple(target.info for target in listing.targets))
        return listing

    def process(self, body: bytes) -> tuple[float, float]:
        """Processor time in ms to read the list and update the pools, and for the module's step."""
        self.now += 25.0
        began = process_time()
        self.read(body)
        middle = process_time()
        self.balancer.step(self.now, [self.event])
        return (middle - began) * 1000, (process_time() - middle) * 1000

    def close(self) -> None:
        self.backends.close()


async def measure_list(servers: int, seed: int, small: bool) -> dict[str, float]:
    registry, receiver = fill(Registry(), servers), ListReceiver(seed)
    snapshot_body = snapshot(registry)
    module.freeze_heap()
    snapshot_times = [receiver.process(snapshot_body) for _ in range(3 if servers > 20_000 or small else 6)]
    delta_bodies = [delta(registry, n // 2, "active" if n % 2 else "leaving") for n in range(10)]
    delta_times = [receiver.process(body) for body in delta_bodies]
    receiver.close()
    total_times = [sum(pair) for pair in snapshot_times]
    return {
        "snapshot_bytes": len(snapshot_body),
        "snapshot_cpu_ms": sum(total_times) / len(total_times),
        "snapshot_turn_ms": max(total_times),
        "delta_bytes": len(delta_bodies[0]),
        "delta_cpu_ms": sum(map(sum, delta_times)) / len(delta_times),
        "samples": len(snapshot_times),
        "step": sum(pair[1] for pair in snapshot_times) / sum(total_times),
    }


def measure(servers: int, seed: int, small: bool) -> dict[str, float]:
    return asyncio.run(measure_list(servers, seed, small))


def memory(servers: int, seed: int) -> int:
    """Bytes of memory of the pools for a list, without those of the module."""

    async def measure_held() -> int:
        body = snapshot(fill(Registry(), servers))
        gc.collect()
        tracemalloc.start()
        receiver = ListReceiver(seed)
        before, _ = tracemalloc.get_traced_memory()
        receiver.read(body)
        receiver.event = ServerList(ListKind.SNAPSHOT)
        gc.collect()
        after, _ = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        receiver.close()
        return after - before

    return asyncio.run(measure_held())


async def rejection_reason(servers: int) -> str:
    """The failure that the real Discovery reports for a list of this size; empty if it accepts the list."""
    for _ in range(MAX_TRIES):  # a timeout on a busy machine is not the size limit
        if not (reason := await load_list(servers)).startswith("TimeoutError"):
            break
    return reason


async def load_list(servers: int) -> str:
    registry = await fill(Registry(), servers).open()
    outcome: asyncio.Future[str] = asyncio.get_running_loop().create_future()

    def on_list(listing: Listing) -> None:
        if not outcome.done():
            outcome.set_result("" if len(listing.targets) == servers else f"{len(listing.targets)} of them")

    def on_failure(reason: str) -> None:
        if not outcome.done():
            outcome.set_result(reason)

    discovery = Discovery(registry.address, socket_settings(), None, on_list, on_failure)
    discovery.watch()
    try:
        async with asyncio.timeout(ANSWER_TIMEOUT_S):
            return await outcome
    finally:
        discovery.close()
        registry.close()


async def largest_accepted() -> tuple[int, str]:
    """The most entries that the real Discovery accepts, and the failure that it reports for one more."""
    servers, size = 0, 0
    # an estimate from the bytes of each entry
    for entry in fill(Registry(), MAX_LIST // 100).entries.values():
        size += len(orjson.dumps(entry)) + 1
        servers += size <= MAX_LIST
    while await rejection_reason(servers):
        servers -= 1
    while not (reason := await rejection_reason(servers + 1)):
        servers += 1
    return servers, reason


async def observe_rejection(servers: int) -> tuple[list[str], int]:
    """The log lines of a real proxy about a list of this size, and its number of calls, in OBSERVED_S."""
    registry = await fill(Registry(), servers).open()
    with tempfile.TemporaryDirectory(prefix="fl-") as name:
        config: dict[str, Any] = configuration(free_address(), registry.address, CLASSES, [])
        proxy = await ProxyProcess.start(write(Path(name) / "config.json", config), TMPDIR=name)
        try:
            await asyncio.sleep(OBSERVED_S)
            calls = len(registry.calls)
            await proxy.end()
        finally:
            if proxy.process.returncode is None:
                with contextlib.suppress(ProcessLookupError):
                    proxy.process.kill()
            registry.close()
    return [line.strip() for line in proxy.lines if "event=list_" in line], calls


def describe_limit(small: bool) -> str:
    servers, reason = asyncio.run(largest_accepted())
    text = f"real Discovery on loopback takes {servers} entries whole, to one more it says {reason!r}"
    if small:
        return text
    lines, calls = asyncio.run(observe_rejection(servers + 1))
    return f"{text}; a real proxy logs {lines} and asks {calls} times in {OBSERVED_S:g} s"


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
    run_size = module.run_in_process if small else module.run_in_child
    rows = [run_size(measure, size, seed, small) for size in sizes]
    limit_note = describe_limit(small)
    counts = "; ".join(
        f"{name} " + "/".join(f"{row[name]:.2g}" for row in rows) for name in ("samples", "step")
    )
    notes = {name: f"{text}; by size, step as a part: {counts}" for name, text in NOTES.items()}
    notes["snapshot_bytes"] = f"{NOTES['snapshot_bytes']}; {limit_note}"
    fixed = {"proxies": float(module.PROXIES), "services": 1.0}
    found = [
        Series(f"lists.{name}", "servers", UNITS[name.rpartition("_")[2]],
               tuple((size, row[name]) for size, row in zip(sizes, rows, strict=True)),
               "hollow", fixed, seed, load, notes[name])
        for name in NOTES
    ]  # fmt: skip
    points = tuple((size, float(run_size(memory, size, seed))) for size in sizes)
    text = "tracemalloc, the pools with what was read, the module's own left out"
    return [
        *found,
        Series("lists.memory_bytes", "servers", "bytes", points, "hollow", fixed, seed, load, text),
    ]
