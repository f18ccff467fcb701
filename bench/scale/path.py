"""Measures the latency that one real proxy adds to requests to four nodes, over the length of its list.

The list names the same four nodes under more and more names.
"""

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
NODES, RESPONSE_S = 4, 0.005  # a constant response time, so that added latency is visible
MAX_CORE_FRACTION = 0.9  # fraction of a core above which larger sizes would only measure queueing
CONNECTIONS, REQUESTS_PER_CONNECTION = 64, 100_000
MIX = {"answer": 1.0}


@dataclass(frozen=True, slots=True)
class Times:
    """Durations in seconds of the phases of a run of one size."""

    idle_s: float
    warm_up_s: float
    measured_s: float  # directly and through the proxy, in each round
    rounds: int


FULL_RUN, SMALL_RUN = Times(4.0, 3.0, 3.0, 3), Times(0.2, 0.3, 0.5, 1)


async def run_nodes(pipe: Connection, sizes: tuple[int, ...]) -> None:
    """Runs the nodes and one registry per size until a message arrives on the pipe."""
    loop, ledger = asyncio.get_running_loop(), Ledger(500.0)

    def answer(call: Call) -> bool:
        loop.call_later(RESPONSE_S, call.reply, 200, b"answered")
        return True

    nodes = [await Node(f"s{number}", Shape(), ledger, intercept=answer).open() for number in range(NODES)]
    registries = {}
    for size in sizes:
        registry = await Registry().open()
        for number in range(size):
            registry.put(f"backend-{number:06d}", nodes[number % NODES].address, "active")
        registries[size] = registry.address, registry.rev, list(registry.entries.values())
    pipe.send(([node.address for node in nodes], registries))
    stopped = asyncio.Event()
    loop.add_reader(pipe.fileno(), stopped.set)
    await stopped.wait()


def run_nodes_process(pipe: Connection, sizes: tuple[int, ...]) -> None:
    uvloop.run(run_nodes(pipe, sizes))


@dataclass(slots=True)
class Result:
    """Results of one size."""

    names: int
    p50: list[float] = field(default_factory=list)  # added latency in ms, per round
    p99: list[float] = field(default_factory=list)
    # (p50, p99) of direct requests in ms, per round
    direct: list[tuple[float, float]] = field(default_factory=list)
    cpu_s: float = 0.0
    rest_core: float = 0.0
    core: float = 0.0  # fraction of a core under load
    memory: int = 0  # bytes
    requests: int = 0  # through the proxy
    statuses: Counter[int] = field(default_factory=Counter)


def cpu_s(pid: int) -> float:
    """Processor time of another process by its CPU clock, clock_getcpuclockid(3); proc(5) counts in 10 ms."""
    return time.clock_gettime(~pid << 3 | 2)


def resident(pid: int) -> int:
    text = Path(f"/proc/{pid}/status").read_text()
    return int(text.partition("VmRSS:")[2].split()[0]) * 1024


def quantile(values: list[float], fraction: float) -> float:
    return sorted(values)[min(int(fraction * len(values)), len(values) - 1)]


async def send_requests(clients: Clients, seconds: float) -> list[float]:
    """Sends requests for a while. Returns the latencies of those answered with 200, in ms."""
    clients.latencies["answer"] = []
    await clients.run(module.RATE, seconds, MIX)
    return clients.latencies["answer"]


async def measure_size(
    size: int, nodes: list[str], registries: tuple[str, int, list[Any]], seed: int, times: Times
) -> Result:
    """Measures one proxy with a list of `size` names against direct requests by the same kind of client."""
    registry, rev, targets = registries
    result, address = Result(size), free_address()
    config = configuration(address, registry, CLASSES, [])
    config["known"] = {"rev": rev, "all": True, "targets": targets}
    config["settings"] |= {"Balancers": module.PROXIES, "Me": 17}
    with tempfile.TemporaryDirectory(prefix="fl-") as name:
        proxy = await ProxyProcess.start(write(Path(name) / "config.json", config), TMPDIR=name)
        pid = proxy.process.pid
        direct = Clients(nodes, CLASSES, Ledger(500.0), seed, CONNECTIONS, REQUESTS_PER_CONNECTION)
        through = Clients(address, CLASSES, Ledger(500.0), seed, CONNECTIONS, REQUESTS_PER_CONNECTION)
        try:
            began = cpu_s(pid)
            await asyncio.sleep(times.idle_s)
            result.rest_core = (cpu_s(pid) - began) / times.idle_s
            await send_requests(through, times.warm_up_s)
            await send_requests(direct, times.warm_up_s / 2)
            through.statuses.clear()
            for _ in range(times.rounds):
                direct_latencies = await send_requests(direct, times.measured_s)
                began = cpu_s(pid)
                proxied_latencies = await send_requests(through, times.measured_s)
                result.cpu_s += cpu_s(pid) - began
                if not proxied_latencies or not direct_latencies:
                    raise AssertionError(
                        f"{size} names: {len(direct_latencies)} and {len(proxied_latencies)} answers"
                    )
                direct_ms = quantile(direct_latencies, 0.5), quantile(direct_latencies, 0.99)
                result.direct.append(direct_ms)
                result.p50.append(quantile(proxied_latencies, 0.5) - direct_ms[0])
                result.p99.append(quantile(proxied_latencies, 0.99) - direct_ms[1])
            result.statuses = through.statuses
            result.requests = sum(result.statuses.values())
            result.core = result.cpu_s / (times.measured_s * times.rounds)
            result.memory = resident(pid)
            await proxy.end()
        finally:
            direct.close()
            through.close()
            if proxy.process.returncode is None:
                with contextlib.suppress(ProcessLookupError):
                    proxy.process.kill()
                await proxy.process.wait()
    return result


async def measure_sizes(sizes: tuple[int, ...], seed: int, times: Times) -> list[Result]:
    parent_pipe, child_pipe = get_context("spawn").Pipe()
    process = get_context("spawn").Process(target=run_nodes_process, args=(child_pipe, sizes), daemon=True)
    process.start()
    found: list[Result] = []
    try:
        nodes, registries = await asyncio.to_thread(parent_pipe.recv)
        for size in sizes:
            found.append(await measure_size(size, nodes, registries[size], seed, times))
            if found[-1].core > MAX_CORE_FRACTION:
                break
    finally:
        parent_pipe.send("over")
        await asyncio.to_thread(process.join, 5.0)
        if process.is_alive():
            process.kill()
    return found


def format_range(values: list[float]) -> str:
    return f"{min(values):.2f} to {max(values):.2f}"


def run(seed: int, small: bool) -> list[Series]:
    load, times = data.load(), SMALL_RUN if small else FULL_RUN
    found = uvloop.run(measure_sizes(SIZES[small], seed, times))
    text = (
        f"{times.rounds} rounds of {times.measured_s:g} s directly and through the proxy, Poisson at"
        f" {module.RATE:g}/s, {NODES} nodes that answer after {RESPONSE_S * 1000:g} ms; names known from the"
        " configuration"
    )
    if found[-1].core > MAX_CORE_FRACTION:
        text += f"; stopped at {found[-1].names} names, {found[-1].core:.2f} of a core"
    for result in found:
        refused = sum(count for status, count in result.statuses.items() if status != 200)
        text += (
            f"; {result.names}: {result.requests} requests, {refused} not 200, {result.core:.2f} of a core"
        )
    text += f"; load {load:.1f} to {data.load():.1f}"
    spread = {}
    for late, name in enumerate(("p50_added_ms", "p99_added_ms")):
        added = ", ".join(format_range(result.p99 if late else result.p50) for result in found)
        direct = ", ".join(format_range([values[late] for values in result.direct]) for result in found)
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
        "rest_core": f"; the whole process for {times.idle_s:g} s before any request",
        "memory_bytes": "; VmRSS after the load",
    }
    fixed = {"proxies": float(module.PROXIES), "services": 1.0, "tenants": 0.0, "rate": module.RATE}
    return [
        Series(f"path.{name}", "servers", unit, tuple((float(n), float(v)) for n, v in points),
               "sockets", fixed, seed, load, text + (spread | more)[name])
        for name, (unit, points) in rows.items()
    ]  # fmt: skip
