"""Runs a fleet under steady mixed load with random reloads and kills of workers, checked by the ledger.

    python -m bench.fleet --seed N --instances 30 --seconds 60
    python -m bench.fleet --seed N --throughput      # 1, 2, 4 and 6 instances against one process

The last line has the result; the exit code is not 0 if a rule of the ledger was broken.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import sys
import tempfile
from collections import Counter
from collections.abc import Callable
from functools import partial
from pathlib import Path
from random import Random
from typing import Any, NamedTuple, cast

import uvloop

from flintlatch.net.clock import now_ms
from flintlatch.standin.client import Clients, Prober
from flintlatch.standin.node import Shape
from flintlatch.standin.process import FleetProcess
from flintlatch.standin.rig import CLASSES, MIX, Rig

REQUESTS_PER_S = 400.0  # a third of a core for this process, so that its timing stays exact
FAULT_INTERVAL_S = (0.3, 3.0)  # between two faults
KILL_FRACTION = 0.4  # of all faults; the others are reloads
LOAD_PROCESSES = 2  # load generator processes; there are also 2 node processes
CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")


def system_s(pid: int) -> float:
    """System time of a process in seconds, from proc(5)."""
    with open(f"/proc/{pid}/stat") as file:
        return int(file.read().rpartition(")")[2].split()[12]) / CLOCK_TICKS_PER_S


def cpu_s(pid: int) -> float:
    with open(f"/proc/{pid}/stat") as file:
        fields = file.read().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_PER_S


async def inject_faults(
    fleet: FleetProcess, clients: Clients, random: Random, done: asyncio.Task[None]
) -> list[int]:
    """Reloads and kills until the traffic ends. Returns the numbers of reloads, kills and failed reloads."""
    reloads = kills = failed = 0
    while not done.done():
        await asyncio.sleep(random.uniform(*FAULT_INTERVAL_S))
        if random.random() >= KILL_FRACTION:
            answer = await fleet.ask("reload", 120.0)
            reloads += 1
            failed += not answer["ok"]
            continue
        status = await fleet.status()
        serving = [row["pid"] for row in status["instances"] if row["state"] == "serving"]
        if len(serving) > 1:
            await fleet.kill_worker(random.choice(serving), clients)
            kills += 1
    return [reloads, kills, failed]


async def run_steady(seed: int, instances: int, seconds: float, folder: Path) -> int:
    random = Random(seed)
    rig = await Rig(folder, seed).open(8, Shape(slots=16, work_ms=15))
    fleet = FleetProcess(rig.write(fleet={"instances": instances, "log_level": "warning"}))
    began_ms = now_ms()
    await (await fleet.start()).ready_by_status()
    ready_s = (now_ms() - began_ms) / 1000
    clients = Clients(fleet.address, CLASSES, rig.ledger, seed, max_connections=128, keep_requests=20)
    prober = Prober(fleet.address, 0.01)
    prober.start()
    try:
        traffic = asyncio.create_task(clients.run(REQUESTS_PER_S, seconds, MIX))
        reloads, kills, failed = await inject_faults(fleet, clients, random, traffic)
        await traffic
        gap_ms = prober.stop()
        code = await fleet.stop()
    finally:
        clients.close()
        await fleet.close()
        rig.close()
    counts, broken = rig.ledger.counts(), rig.ledger.violations()
    print(rig.ledger.table())
    for breach in broken[:20]:
        print(f"BROKEN {breach}")
    # A probe can be hit by a kill like any other client; more failures than kills mean refused connections.
    print(f"probes {len(prober.success_times_ms)}, of these not answered {Counter(prober.failures)}")
    print(f"latency median {clients.quantile(0.5):.1f} ms, 99% {clients.quantile(0.99):.1f} ms")
    held = not broken and not code and not failed and len(prober.failures) <= kills
    print(
        f"fleet seed {seed}: {instances} instances, {counts['requests']} requests, {reloads} reloads "
        f"({failed} failed), {kills} kills, lost {counts['lost']}, doubled {counts['doubled']}, "
        f"late {counts['late']}, repeated {counts['repeated']}, longest gap in accepting {gap_ms:.0f} ms, "
        f"all ready after {ready_s:.2f} s: {'held' if held else 'BROKEN'}"
    )
    return 0 if held else 1


# Throughput: the load comes from separate minimal processes on cores of their own, so that the figure is that
# of the instances. The processor time of the load generators is printed with it.


class _ClosedLoopClient(asyncio.Protocol):
    """Sends requests in a closed loop on one connection.

    They are purchases, because the class of the highest worth is never shed, so that no rejected requests are
    measured.
    """

    def __init__(self, name: int, counts: list[int], until: float) -> None:
        self.name, self.counts, self.until = name, counts, until
        self.sent = 0
        self.done: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self.left = b""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.ask()

    def ask(self) -> None:
        self.sent += 1
        self.transport.write(
            b"POST /purchase/1 HTTP/1.1\r\nHost: x\r\nX-Budget-Ms: 2400\r\nContent-Length: 0\r\n"
            b"X-Call-Id: %x-%x\r\nIdempotency-Key: %x\r\n\r\n" % (self.name, self.sent, self.sent)
        )

    def data_received(self, data: bytes) -> None:
        """Answers are short and usually arrive in one piece."""
        data = self.left + data
        head = data.find(b"\r\n\r\n")
        if head < 0 or len(data) < head + 4 + NODE_BODY_BYTES * data.startswith(b"HTTP/1.1 200"):
            self.left = data
            return
        self.left = b""
        self.counts[not data.startswith(b"HTTP/1.1 200")] += 1
        if asyncio.get_running_loop().time() < self.until:
            self.ask()
        else:
            self.transport.close()

    def connection_lost(self, exc: Exception | None) -> None:
        if not self.done.done():
            self.done.set_result(None)


async def load(address: str, seed: int, seconds: float, connections: int) -> None:
    """Runs the load. Prints the numbers of served requests and of errors."""
    host, _, port = address.rpartition(":")
    loop = asyncio.get_running_loop()
    until, counts = loop.time() + seconds, [0, 0]

    async def run_client(number: int) -> None:
        name = (seed << 32) + (os.getpid() << 8) + number
        _, client = await loop.create_connection(
            lambda: _ClosedLoopClient(name, counts, until), host, int(port)
        )
        await client.done

    await asyncio.gather(*(run_client(number) for number in range(connections)))
    print(counts[0], counts[1])


NODE_BODY_BYTES = 2
NODE_RESPONSE = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok"


class _MinimalNode(asyncio.Protocol):
    """Answers each request head at once; the requests have no body."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.left = b""

    def data_received(self, data: bytes) -> None:
        data = self.left + data
        count = data.count(b"\r\n\r\n")
        self.left = data[data.rfind(b"\r\n\r\n") + 4 :] if count else data
        self.transport.write(NODE_RESPONSE * count)


async def node_alone() -> None:
    server = await asyncio.get_running_loop().create_server(_MinimalNode, "127.0.0.1", 0)
    print("{}:{}".format(*server.sockets[0].getsockname()[:2]), flush=True)
    await server.serve_forever()


def pin_to_cores(cores: set[int]) -> Callable[[], None]:
    """A function for a child to run before exec: it pins the child and its own children to the cores."""
    available = cores & os.sched_getaffinity(0)
    return partial(os.sched_setaffinity, 0, available or os.sched_getaffinity(0))


LOAD_CORES = {6, 7}  # of eight cores: load generators and nodes
INSTANCE_CORES = {0, 1, 2, 3, 4, 5}


def wakeups(pid: int) -> int:
    """Voluntary context switches of a process so far, from proc(5), and so its wake-ups."""
    with open(f"/proc/{pid}/status") as file:
        return next(int(line.split()[1]) for line in file if line.startswith("voluntary_ctxt_switches"))


async def start_child(*arguments: str) -> asyncio.subprocess.Process:
    return await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "bench.fleet",
        *arguments,
        stdout=asyncio.subprocess.PIPE,
        preexec_fn=pin_to_cores(LOAD_CORES),
    )


class Rate(NamedTuple):
    per_s: float  # requests
    per_cpu_s: float  # requests per second of CPU time of the instances
    bad: int  # not served
    wakeups: float  # of the instances, per request
    kernel_us: float  # system time of the instances per request
    load_part: float  # CPU time of a load generator over that of the instances


async def drive(address: str, pids: list[int], loads: int, seconds: float, seed: int) -> Rate:
    """Runs the load generators against the address and measures the CPU time of `pids`."""
    before, woken, kernel = (sum(map(of, pids)) for of in (cpu_s, wakeups, system_s))
    children_before = os.times().children_user + os.times().children_system
    runs = [
        await start_child("--load", address, "--seed", str(seed + n), "--seconds", str(seconds))
        for n in range(loads)
    ]
    outputs = [(await run.communicate())[0].decode().split() for run in runs]
    cpu_used, woken = sum(map(cpu_s, pids)) - before, sum(map(wakeups, pids)) - woken
    load_s = os.times().children_user + os.times().children_system - children_before
    good, bad = (sum(int(output[n]) for output in outputs) for n in (0, 1))
    kernel_us = 1e6 * (sum(map(system_s, pids)) - kernel) / max(good, 1)
    per_cpu, load_part = good / max(cpu_used, 0.01), load_s / max(cpu_used, 0.01)
    return Rate(good / seconds, per_cpu, bad, woken / max(good, 1), kernel_us, load_part)


async def measure_one(nodes: list[str], loads: int, seconds: float, folder: Path, seed: int) -> Rate:
    """The rate of a single process without supervisor, started as the platform does, with its own socket."""
    targets = [
        {"uid": f"n{n}", "endpoint": address, "state": "active", "boot_ms": 0}
        for n, address in enumerate(nodes)
    ]
    lane = {"Name": "purchase", "AimMs": 800, "HardLimitMs": 2400, "Effect": "idempotency_key"}
    lane |= {"KeyScope": "all", "KeyTtlMs": 10_000}
    config = {
        "name": "one",
        "listen": "127.0.0.1:0",
        "discovery": "127.0.0.1:1",
        "seed": "1",
        "limits": {"sockets": 512},
        "known": {"rev": 1, "all": True, "targets": targets},
        "settings": {"Lanes": [lane], "Discovery": "push", "Limits": {"MayCancel": True, "MostTries": 3}},
    }
    path = folder / "one.json"
    path.write_text(json.dumps(config))
    process = await asyncio.create_subprocess_exec(
        sys.executable, "-m", "flintlatch", env=dict(os.environ) | {"LB_CONFIG": str(path)},
        stderr=asyncio.subprocess.PIPE, preexec_fn=pin_to_cores(INSTANCE_CORES),
    )  # fmt: skip
    assert process.stderr is not None
    address = (await process.stderr.readline()).decode().split()[-1]
    try:
        return await drive(address, [process.pid], loads, seconds, seed)
    finally:
        process.kill()
        await process.wait()


async def measure(
    instances: int,
    nodes: list[str],
    loads: int,
    seconds: float,
    folder: Path,
    seed: int,
    http: dict[str, str] | None = None,
) -> Rate:
    """The rate of a fleet with this many instances. `http`: the [http] table of its settings, if any."""
    from flintlatch.standin.registry import Registry

    registry = await Registry().open()
    for number, address in enumerate(nodes):
        registry.put(f"n{number}", address, "active")
    rig = Rig(folder, seed)
    rig.registry = registry
    tables: dict[str, dict[str, Any]] = {"fleet": {"instances": instances, "log_level": "warning"}}
    fleet = FleetProcess(
        rig.write(**tables | ({"http": http} if http else {})), preexec_fn=pin_to_cores(INSTANCE_CORES)
    )
    try:
        await (await fleet.start()).ready_by_status()
        pids = [row["pid"] for row in (await fleet.status())["instances"]]
        found = await drive(fleet.address, pids, loads, seconds, seed)
        await fleet.stop()
    finally:
        await fleet.close()
        registry.close()
    return found


async def throughput(seed: int, seconds: float, folder: Path) -> int:
    nodes = [await start_child("--node") for _ in range(2)]
    try:
        addresses = []
        for node in nodes:
            assert node.stdout is not None
            addresses.append((await node.stdout.readline()).decode().strip())
        base, costs, rate = 0.0, {}, Rate(0, 0, 0, 0, 0, 0)
        for instances in (0, 1, 2, 4, 6):
            if instances:
                rate = await measure(instances, addresses, LOAD_PROCESSES, seconds, folder, seed)
                costs[instances] = 1e6 / rate.per_cpu_s
            else:
                rate = await measure_one(addresses, LOAD_PROCESSES, seconds, folder, seed)
                base = rate.per_s
            who = f"{instances} instances" if instances else "one process"
            print(
                f"{who}: {rate.per_s:7.0f} requests/s, {rate.per_s / base:4.2f} of one process, "
                f"{1e6 / rate.per_cpu_s:4.0f} us of CPU ({rate.kernel_us:.0f} in the kernel) "
                f"and {rate.wakeups:.2f} wake-ups a request, "
                f"a load's CPU {rate.load_part:.2f} of theirs, {rate.bad} not served",
                flush=True,
            )
        print(
            f"throughput seed {seed}: 6 instances on 6 cores, load and nodes on 2 others, serve "
            f"{rate.per_s / base:.2f} times what one process does, a request's CPU "
            f"{costs[6] / costs[1]:.2f} of one instance's"
        )
        return 0
    finally:
        for node in nodes:
            node.kill()
            await node.wait()


def main() -> int:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--instances", type=int, default=30)
    parser.add_argument("--seconds", type=float, default=60.0)
    parser.add_argument("--throughput", action="store_true")
    parser.add_argument("--load", help=argparse.SUPPRESS)
    parser.add_argument("--node", action="store_true", help=argparse.SUPPRESS)
    args = parser.parse_args()
    if args.load:
        uvloop.run(load(args.load, args.seed, args.seconds, 24))
        return 0
    if args.node:
        uvloop.run(node_alone())
        return 0
    with tempfile.TemporaryDirectory(prefix="flintlatch-") as name:
        if args.throughput:
            return uvloop.run(throughput(args.seed, min(args.seconds, 8.0), Path(name)))
        return uvloop.run(run_steady(args.seed, args.instances, args.seconds, Path(name)))


if __name__ == "__main__":
    sys.exit(main())
