"""What one real proxy adds on the way to four nodes, as its list names them under more and more names."""

from __future__ import annotations

import asyncio
import contextlib
import tempfile
import time
from collections import Counter
from dataclasses import dataclass, field
from multiprocessing import get_context
from multiprocessing.connection import Connection
from pathlib import Path
from statistics import median
from typing import Any

import uvloop

from bench.scale import data, module
from bench.scale.data import Series
from flintlatch.standin.client import Clients
from flintlatch.standin.ledger import Ledger
from flintlatch.standin.node import Call, Node, Shape
from flintlatch.standin.proxy import ProxyProcess, configuration, free_address, write
from flintlatch.standin.registry import Registry
from flintlatch.standin.rig import CLASSES

SIZES = (4, 40, 400, 2_000, 20_000), (4, 40)
NODES, ANSWER_S = 4, 0.005  # each answers after the same time, so that what is added shows
FULL = 0.9  # of a core: larger sizes would only measure a queue
CONNECTIONS, KEEP = 64, 100_000
MIX = {"answer": 1.0}


@dataclass(frozen=True, slots=True)
class Times:
    """Seconds of each part of a run over one size."""

    rest: float
    warm: float
    asked: float  # both ways, in each round
    rounds: int


WHOLE, SMALL = Times(4.0, 3.0, 3.0, 3), Times(0.2, 0.3, 0.5, 1)


async def stand(pipe: Connection, sizes: tuple[int, ...]) -> None:
    """The nodes and a registry a size, in a process of their own until the pipe's other end says so."""
    loop, ledger = asyncio.get_running_loop(), Ledger(500.0)

    def answer(call: Call) -> bool:
        loop.call_later(ANSWER_S, call.reply, 200, b"answered")
        return True

    nodes = [await Node(f"s{number}", Shape(), ledger, intercept=answer).open() for number in range(NODES)]
    told = {}
    for size in sizes:
        registry = await Registry().open()
        for number in range(size):
            registry.put(f"backend-{number:06d}", nodes[number % NODES].address, "active")
        told[size] = registry.address, registry.rev, list(registry.entries.values())
    pipe.send(([node.address for node in nodes], told))
    over = asyncio.Event()
    loop.add_reader(pipe.fileno(), over.set)
    await over.wait()


def serve(pipe: Connection, sizes: tuple[int, ...]) -> None:
    uvloop.run(stand(pipe, sizes))


@dataclass(slots=True)
class Seen:
    """Of one size."""

    names: int
    p50: list[float] = field(default_factory=list)  # ms added, a round each
    p99: list[float] = field(default_factory=list)
    direct: list[tuple[float, float]] = field(default_factory=list)  # the same two of the nodes alone
    cpu_s: float = 0.0
    rest_core: float = 0.0
    core: float = 0.0  # under load
    memory: int = 0  # bytes
    requests: int = 0  # through the proxy
    statuses: Counter[int] = field(default_factory=Counter)


def cpu_s(pid: int) -> float:
    """Processor time of another process by its own clock, clock_getcpuclockid(3): proc(5) tells 10 ms."""
    return time.clock_gettime(~pid << 3 | 2)


def resident(pid: int) -> int:
    text = Path(f"/proc/{pid}/status").read_text()
    return int(text.partition("VmRSS:")[2].split()[0]) * 1024


def quantile(values: list[float], part: float) -> float:
    return sorted(values)[min(int(part * len(values)), len(values) - 1)]


async def ask(clients: Clients, seconds: float) -> list[float]:
    """Latencies of what was answered with 200, in ms."""
    clients.latencies["answer"] = []
    await clients.run(module.RATE, seconds, MIX)
    return clients.latencies["answer"]


async def look(
    size: int, nodes: list[str], told: tuple[str, int, list[Any]], seed: int, times: Times
) -> Seen:
    """One proxy that knows `size` names, beside the nodes asked directly by the same kind of client."""
    registry, rev, targets = told
    seen, address = Seen(size), free_address()
    config = configuration(address, registry, CLASSES, [])
    config["known"] = {"rev": rev, "all": True, "targets": targets}
    config["settings"] |= {"Balancers": module.PROXIES, "Me": 17}
    with tempfile.TemporaryDirectory(prefix="fl-") as name:
        proxy = await ProxyProcess.start(write(Path(name) / "config.json", config), TMPDIR=name)
        pid = proxy.process.pid
        direct = Clients(nodes, CLASSES, Ledger(500.0), seed, CONNECTIONS, KEEP)
        through = Clients(address, CLASSES, Ledger(500.0), seed, CONNECTIONS, KEEP)
        try:
            begun = cpu_s(pid)
            await asyncio.sleep(times.rest)
            seen.rest_core = (cpu_s(pid) - begun) / times.rest
            await ask(through, times.warm)
            await ask(direct, times.warm / 2)
            through.statuses.clear()
            for _ in range(times.rounds):
                usual = await ask(direct, times.asked)
                begun = cpu_s(pid)
                got = await ask(through, times.asked)
                seen.cpu_s += cpu_s(pid) - begun
                if not got or not usual:
                    raise AssertionError(f"{size} names: {len(usual)} and {len(got)} answers")
                direct_ms = quantile(usual, 0.5), quantile(usual, 0.99)
                seen.direct.append(direct_ms)
                seen.p50.append(quantile(got, 0.5) - direct_ms[0])
                seen.p99.append(quantile(got, 0.99) - direct_ms[1])
            seen.statuses = through.statuses
            seen.requests = sum(seen.statuses.values())
            seen.core = seen.cpu_s / (times.asked * times.rounds)
            seen.memory = resident(pid)
            await proxy.end()
        finally:
            direct.close()
            through.close()
            if proxy.process.returncode is None:
                with contextlib.suppress(ProcessLookupError):
                    proxy.process.kill()
                await proxy.process.wait()
    return seen


async def walk(sizes: tuple[int, ...], seed: int, times: Times) -> list[Seen]:
    here, there = get_context("spawn").Pipe()
    process = get_context("spawn").Process(target=serve, args=(there, sizes), daemon=True)
    process.start()
    found: list[Seen] = []
    try:
        nodes, told = await asyncio.to_thread(here.recv)
        for size in sizes:
            found.append(await look(size, nodes, told[size], seed, times))
            if found[-1].core > FULL:
                break
    finally:
        here.send("over")
        await asyncio.to_thread(process.join, 5.0)
        if process.is_alive():
            process.kill()
    return found


def ends(values: list[float]) -> str:
    return f"{min(values):.2f} to {max(values):.2f}"


def run(seed: int, small: bool) -> list[Series]:
    load, times = data.load(), SMALL if small else WHOLE
    found = uvloop.run(walk(SIZES[small], seed, times))
    text = (
        f"{times.rounds} rounds of {times.asked:g} s directly and through the proxy, Poisson at"
        f" {module.RATE:g}/s, {NODES} nodes that answer after {ANSWER_S * 1000:g} ms; names known from the"
        " configuration"
    )
    if found[-1].core > FULL:
        text += f"; stopped at {found[-1].names} names, {found[-1].core:.2f} of a core"
    for seen in found:
        refused = sum(count for status, count in seen.statuses.items() if status != 200)
        text += f"; {seen.names}: {seen.requests} requests, {refused} not 200, {seen.core:.2f} of a core"
    text += f"; load {load:.1f} to {data.load():.1f}"
    spread = {}
    for late, name in enumerate(("p50_added_ms", "p99_added_ms")):
        added = ", ".join(ends(seen.p99 if late else seen.p50) for seen in found)
        direct = ", ".join(ends([values[late] for values in seen.direct]) for seen in found)
        spread[name] = f"; of answers with 200, median of rounds; rounds {added}; directly {direct}"
    rows: dict[str, tuple[str, list[tuple[float, float]]]] = {
        "p50_added_ms": ("ms", [(s.names, median(s.p50)) for s in found]),
        "p99_added_ms": ("ms", [(s.names, median(s.p99)) for s in found]),
        "cpu_us": ("us", [(s.names, s.cpu_s * 1e6 / s.requests) for s in found]),
        "rest_core": ("cores", [(s.names, s.rest_core) for s in found]),
        "memory_bytes": ("bytes", [(s.names, s.memory) for s in found]),
    }
    more = {
        "cpu_us": "; processor time of the whole process, its housekeeping in it",
        "rest_core": f"; the whole process for {times.rest:g} s before any request",
        "memory_bytes": "; VmRSS after the load",
    }
    fixed = {"proxies": float(module.PROXIES), "services": 1.0, "tenants": 0.0, "rate": module.RATE}
    return [
        Series(f"path.{name}", "servers", unit, tuple((float(n), float(v)) for n, v in points),
               "sockets", fixed, seed, load, text + (spread | more)[name])
        for name, (unit, points) in rows.items()
    ]  # fmt: skip
