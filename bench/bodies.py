"""Measures long bodies through one instance: throughput against a plain relay, slow connections, and stalls.

    python -m bench.bodies --seed N              # everything, takes some minutes
    python -m bench.bodies --seed N --quick      # a short run of each part

The runs are scaled to one machine: node, relay, instance and clients share its cores and use loopback. The
last line has the result; the exit code is not 0 if a body was wrong, a stall had the wrong outcome or a
memory limit was exceeded.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import socket
import sys
import tempfile
import time
from collections import Counter
from pathlib import Path
from random import Random
from statistics import median, quantiles

import uvloop

from bench.fleet import cpu_s, measure, measure_one
from bench.fleet import start_child as start_fleet_child
from flintlatch.http.sockets import RESPONSE_BUFFER_BYTES
from flintlatch.standin.bulk import address_of, connect, digest, serve_node, serve_relay
from flintlatch.standin.process import FleetProcess, alive
from flintlatch.standin.rig import configuration

MIB = 1024 * 1024
SIZES = {64 * 1024: 400, MIB: 100, 64 * MIB: 3, 1024 * MIB: 1}  # by bytes: number of transfers in each round
QUICK_SIZES = {64 * 1024: 40, MIB: 10}
ROUNDS = 3  # alternating between relay and instance; the result is the median ratio
SLOW_CONNECTIONS = (1, 100, 500, 2000)
SLOW_RUN_S = 6.0  # time with slow connections during which small requests are measured
EXPORT_START_TIMEOUT_S = 30.0
SMALL_REQUESTS = 400
UPLOAD_BUFFER_BYTES = 64 * 1024
IDLE_TIMEOUT_S = 1.0  # of the class whose transfers stall
# objects of a connection and both sockets, and memory kept by the allocator
CONNECTION_OVERHEAD_BYTES = 64 * 1024
MAX_PROCESS_GROWTH_MB = 20.0  # growth of the process itself during warm-up


def memory_mb(pid: int, name: str = "VmHWM") -> float:
    with open(f"/proc/{pid}/status") as file:
        return next(int(line.split()[1]) / 1024 for line in file if line.startswith(name))


async def start_child(*arguments: str) -> asyncio.subprocess.Process:
    return await asyncio.create_subprocess_exec(
        sys.executable, "-m", "bench.bodies", *arguments, stdout=asyncio.subprocess.PIPE
    )


async def read_line(process: asyncio.subprocess.Process) -> str:
    assert process.stdout is not None
    return (await process.stdout.readline()).decode().strip()


class Instance:
    """One instance with its supervisor, in front of the given nodes."""

    def __init__(self, folder: Path, nodes: list[str], **tables: dict[str, object]) -> None:
        folder.mkdir()
        http = {"safe_class": "export", "other_class": "upload", "upload_bytes": UPLOAD_BUFFER_BYTES}
        http |= {"process_bytes": 2048 * MIB, "node_transfers": 10_000, "body_bytes": 1 << 40}
        text = configuration(
            "127.0.0.1:1",
            fleet={"instances": 1, "log_level": "warning"},
            drain={"limit_s": 90.0, "idle_s": 0.5},
            limits={"sockets": 16_000, "memory_mb": 4096},
            http=http | tables.get("http", {}),
        )
        text = text.replace('source = "registry"', 'source = "static"').replace(
            'registry = "127.0.0.1:1"', ""
        )
        rows = [
            f'[[nodes.static]]\nuid = "n{n}"\naddress = "{address}"\ncell = {n}'
            for n, address in enumerate(nodes)
        ]
        classes = [
            '[[class]]\nname = "export"\naim_ms = 2000\ndeadline_ms = 60000\neffect = "safe"',
            '[[class]]\nname = "upload"\naim_ms = 2000\ndeadline_ms = 60000\neffect = "unsafe"',
            '[[class]]\nname = "stall"\naim_ms = 2000\ndeadline_ms = 4000\neffect = "unsafe"\n'
            f"idle_s = {IDLE_TIMEOUT_S}",
        ]
        rules = ['[[http.rule]]\nclass = "stall"\nheader = "x-stall"\nvalue = "yes"']
        path = folder / "fleet.toml"
        path.write_text("\n".join([text, *rows, *classes, *rules]) + "\n")
        self.fleet = FleetProcess(path)
        self.pid = 0

    async def start(self) -> Instance:
        await (await self.fleet.start()).ready_by_status()
        self.pid = (await self.fleet.status())["instances"][0]["pid"]
        return self

    @property
    def address(self) -> str:
        return self.fleet.address

    async def close(self) -> None:
        await self.fleet.close()


# Throughput


async def one_round(address: str, up: bool, chunked: bool, size: int, times: int) -> float:
    """Throughput in MiB per second. Raises ValueError for a wrong response."""
    client = await connect(address)
    began = time.perf_counter()
    for _ in range(times):
        if up:
            status = await client.ask(b"PUT /upload HTTP/1.1\r\nHost: x\r\n", size, chunked)
            is_right = status == 200 and json.loads(client.body)["bytes"] == size
        else:
            path = b"%d/chunked" % size if chunked else b"%d" % size
            status = await client.ask(b"GET /export/%b HTTP/1.1\r\nHost: x\r\n" % path)
            is_right = status == 200 and client.body_size == size
        if not is_right:
            raise ValueError(f"{size} bytes, up {up}, chunked {chunked}: {status}, {client.body_size} bytes")
    elapsed_s = time.perf_counter() - began
    client.transport.close()
    return size * times / MIB / elapsed_s


async def measure_throughput(relay: str, instance: Instance, sizes: dict[int, int], rounds: int) -> float:
    """The lowest ratio of instance to relay among the sizes from 1 MiB."""
    lowest_ratio = 10.0
    for size, times in sizes.items():
        for up in (True, False):
            for chunked in (False, True):
                pairs = []
                cpu = cpu_s(instance.pid)
                for number in range(rounds + 1):
                    instance_rate = await one_round(instance.address, up, chunked, size, times)
                    relay_rate = await one_round(relay, up, chunked, size, times)
                    if number:  # the first round is a warm-up
                        pairs.append((instance_rate, relay_rate))
                cpu = (cpu_s(instance.pid) - cpu) / (size * times * (rounds + 1) / MIB)
                ratio = median(instance_rate / relay_rate for instance_rate, relay_rate in pairs)
                if size >= MIB:
                    lowest_ratio = min(lowest_ratio, ratio)
                direction = ("up  " if up else "down") + (" chunked" if chunked else " length ")
                print(
                    f"{direction} {size / MIB:8.3f} MiB: {median(p[0] for p in pairs):6.0f} MiB/s, relay "
                    f"{median(p[1] for p in pairs):6.0f}, ratio {ratio:.2f}, {1000 * cpu:.2f} ms CPU a MiB",
                    flush=True,
                )
    return lowest_ratio


async def check_digests(instance: Instance, size: int) -> bool:
    """Transfers one body in each direction and framing. Checks its digest and the growth of memory."""
    is_right, expected = True, digest(size)
    before = memory_mb(instance.pid)
    client = await connect(instance.address)
    for chunked in (False, True):
        await client.ask(b"PUT /upload/digest HTTP/1.1\r\nHost: x\r\n", size, chunked)
        is_right &= json.loads(client.body)["sha256"] == expected
        path = b"%d/chunked" % size if chunked else b"%d" % size
        await client.ask(b"GET /export/%b HTTP/1.1\r\nHost: x\r\n" % path, digest=True)
        assert client.sha is not None
        is_right &= client.sha.hexdigest() == expected
    client.transport.close()
    grown = memory_mb(instance.pid) - before
    print(
        f"{size / MIB:.0f} MiB each way, by length and in chunks: digests "
        f"{'match' if is_right else 'DIFFER'}, "
        f"peak memory {before:.1f} MB before, {before + grown:.1f} MB after",
        flush=True,
    )
    return is_right and grown < MAX_PROCESS_GROWTH_MB


# Slow connections


class SlowClient:
    """A client that reads or sends at most `rate` bytes per second."""

    def __init__(self, address: str, up: bool, rate: int) -> None:
        host, _, port = address.rpartition(":")
        self.sock = socket.socket()
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        self.sock.connect((host, int(port)))
        self.sock.setblocking(False)
        self.up, self.rate = up, rate
        self.head = b""
        ask = b"POST /upload HTTP/1.1\r\nHost: x\r\nContent-Length: 1000000\r\n\r\n"
        self.sock.send(ask if up else b"GET /export/%d HTTP/1.1\r\nHost: x\r\n\r\n" % (8 * MIB))

    def transfer_some(self) -> None:
        try:
            if self.up:
                self.sock.send(b"x" * self.rate)
            else:
                got = self.sock.recv(self.rate)
                if len(self.head) < 15:
                    self.head += got
        except (BlockingIOError, ConnectionError):
            pass

    def is_closed(self) -> bool:
        """Whether the other side has closed or reset the connection."""
        try:
            return not self.sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return False
        except ConnectionError:
            return True

    def has_begun(self) -> bool:
        """Whether the response has begun. Peeks at the received bytes without consuming them."""
        try:
            self.head = self.head or self.sock.recv(15, socket.MSG_PEEK)
        except BlockingIOError:
            return False
        return self.head.startswith(b"HTTP/1.1 200")


async def measure_small_requests(address: str, count: int) -> tuple[float, float]:
    """Median and 99th percentile of the latency of consecutive small requests, in ms."""
    client = await connect(address)
    latencies_ms = []
    for _ in range(count):
        began = time.perf_counter()
        if await client.ask(b"GET /small HTTP/1.1\r\nHost: x\r\n") != 200:
            raise ValueError(f"a small request got {client.status}")
        latencies_ms.append(1000 * (time.perf_counter() - began))
        await asyncio.sleep(0.005)
    client.transport.close()
    return median(latencies_ms), quantiles(latencies_ms, n=100)[98]


async def measure_slow_connections(
    folder: Path, nodes: list[str], count: int, seed: int, seconds: float
) -> tuple[bool, float]:
    """Measures small requests next to slow connections.

    Returns whether the memory limit held and all exports began, and the ratio of the 99th percentile of small
    requests to that of an idle instance.
    """
    random = Random(seed)
    instance = await Instance(folder / f"slow{count}", nodes).start()
    try:
        await measure_small_requests(instance.address, SMALL_REQUESTS)
        idle = await measure_small_requests(instance.address, SMALL_REQUESTS)
        before = memory_mb(instance.pid, "VmRSS")
        opened = time.perf_counter()
        slow_clients = []
        for number in range(count):
            slow_clients.append(
                SlowClient(instance.address, number % 2 == 1, random.choice((1, 64, 1024, 4096)))
            )
            if number % 50 == 49:
                await asyncio.sleep(0)
        exports = [slow_client for slow_client in slow_clients if not slow_client.up]
        began_after_s = 0.0
        while not all(slow_client.has_begun() for slow_client in exports):
            began_after_s = time.perf_counter() - opened
            if began_after_s > 20:
                break
            await asyncio.sleep(0.02)
        missing = sum(not slow_client.has_begun() for slow_client in exports)

        async def move_clients() -> None:
            while True:
                for offset in range(20):  # a twentieth of the clients at a time, spread over a second
                    for slow_client in slow_clients[offset::20]:
                        slow_client.transfer_some()
                    await asyncio.sleep(0.05)

        moving = asyncio.create_task(move_clients())
        busy = await measure_small_requests(instance.address, int(seconds / 0.0075))
        moving.cancel()
        peak = memory_mb(instance.pid)
        each = (peak - before) * MIB / count
        # An upload buffers up to its limit and one read; an export buffers data for its client.
        max_bytes = max(RESPONSE_BUFFER_BYTES, 3 * UPLOAD_BUFFER_BYTES) + CONNECTION_OVERHEAD_BYTES
        held = (peak - before) * MIB <= max_bytes * count + MAX_PROCESS_GROWTH_MB * MIB
        for slow_client in slow_clients:
            slow_client.sock.close()
        print(
            f"{count:5} slow connections: all exports begun after {began_after_s:.2f} s ({missing} not), "
            f"peak "
            f"{peak:.0f} MB, {each / 1024:.0f} KiB each; small requests {busy[0]:.2f} / {busy[1]:.2f} ms "
            f"(median / 99%), idle {idle[0]:.2f} / {idle[1]:.2f}{'' if held else ': CAP PASSED'}",
            flush=True,
        )
        return held and not missing, busy[1] / idle[1]
    finally:
        await instance.close()


async def measure_reload(
    folder: Path, nodes: list[str], count: int, seed: int, seconds: float
) -> tuple[bool, str]:
    """Reloads the fleet with slow connections in both directions.

    Returns whether all continued in the old generation while the new one served, and a summary.
    """
    random = Random(seed)
    instance = await Instance(folder / f"reload{count}", nodes).start()
    try:
        slow_clients = []
        for number in range(count):
            slow_clients.append(
                SlowClient(instance.address, number % 2 == 1, random.choice((1, 64, 1024, 4096)))
            )
            if number % 50 == 49:
                await asyncio.sleep(0)
        exports = [slow_client for slow_client in slow_clients if not slow_client.up]
        async with asyncio.timeout(EXPORT_START_TIMEOUT_S):
            while not all(slow_client.has_begun() for slow_client in exports):
                await asyncio.sleep(0.02)

        async def move_clients() -> None:
            while True:
                for offset in range(20):
                    for slow_client in slow_clients[offset::20]:
                        slow_client.transfer_some()
                    await asyncio.sleep(0.05)

        moving = asyncio.create_task(move_clients())
        old = instance.pid
        reloading = asyncio.create_task(instance.fleet.ask("reload"))
        served, slowest = 0, 0.0
        until = time.perf_counter() + seconds
        while time.perf_counter() < until or not reloading.done():
            began = time.perf_counter()
            client = await connect(instance.address)  # a new connection each time, to use the accept queue
            if await client.ask(b"GET /small HTTP/1.1\r\nHost: x\r\nConnection: close\r\n") != 200:
                raise ValueError(f"a new client got {client.status} through the reload")
            client.transport.close()
            slowest = max(slowest, time.perf_counter() - began)
            served += 1
            await asyncio.sleep(0.005)
        moving.cancel()
        ended = sum(slow_client.is_closed() for slow_client in slow_clients)
        pids = {row["pid"] for row in (await instance.fleet.status())["instances"]}
        has_new_generation = bool(pids - {old})
        is_right = (await reloading)["ok"] and not ended and alive(old) and has_new_generation
        for slow_client in slow_clients:
            slow_client.sock.close()
        return is_right, (
            f"{count} slow connections through a reload: {ended} ended, {served} new clients served "
            f"meanwhile, the slowest in {slowest * 1000:.0f} ms"
        )
    finally:
        await instance.close()


# Stalls


async def check_stalls(instance: Instance, count: int) -> tuple[bool, str]:
    """Causes each kind of stall `count` times at once.

    Returns whether each had the right outcome, and a summary.
    """
    stall = b"Host: x\r\nX-Stall: yes\r\n"
    kinds = {
        "client stops its upload": (
            b"POST /upload HTTP/1.1\r\n" + stall + b"Content-Length: 9\r\n\r\nhalf",
            408,
        ),
        "client stops within its head": (b"GET /small HTTP/1.1\r\nHost", 408),
        "node stops within its answer": (b"GET /hang HTTP/1.1\r\n" + stall + b"\r\n", 0),
        "node never answers": (b"GET /mute HTTP/1.1\r\n" + stall + b"\r\n", 504),
    }
    is_right, reports = True, []

    async def send_raw(raw: bytes) -> int:
        """The status, 0 for a response that was cut off, or -1 for a complete one."""
        host, _, port = instance.address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(raw)
        got = b""
        try:
            while data := await asyncio.wait_for(reader.read(1000), 20):
                got += data
                if b"\r\n\r\n" in got and not got.startswith(b"HTTP/1.1 200"):
                    break
        except ConnectionError:
            return 0
        finally:
            writer.transport.abort()
        if got[9:12] != b"200":
            return int(got[9:12])
        head, _, body = got.partition(b"\r\n\r\n")
        length = int(head.lower().partition(b"content-length: ")[2].partition(b"\r")[0])
        return 0 if len(body) < length else -1

    for name, (raw, status) in kinds.items():
        found = Counter(await asyncio.gather(*(send_raw(raw) for _ in range(count))))
        # A request that was sent and got no answer fails with 504; one that was not sent yet is refused
        # with 503.
        accepted = {status, 503} if status == 504 else {status}
        all_accepted = set(found) <= accepted
        is_right &= all_accepted
        reports.append(f"{name}: {dict(found)}{'' if all_accepted else ', WRONG'}")

    async def never_read() -> int:
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        host, _, port = instance.address.rpartition(":")
        sock.connect((host, int(port)))
        sock.send(b"GET /export/%d HTTP/1.1\r\n" % (64 * MIB) + stall + b"\r\n")
        await asyncio.sleep(IDLE_TIMEOUT_S * 4)
        got = 0
        try:
            while data := sock.recv(MIB):
                got += len(data)
        except ConnectionError:
            return 0
        finally:
            sock.close()
        return -1 if got >= 64 * MIB else 0

    found = Counter(await asyncio.gather(*(never_read() for _ in range(count))))
    is_right &= set(found) == {0}
    reports.append(f"client does not read: {dict(found)}{'' if set(found) == {0} else ', WRONG'}")
    return is_right, "; ".join(reports)


# Small requests


async def small_cost(folder: Path, seed: int, seconds: float) -> float:
    """The ratio of CPU time for a small request through [http] to that through the platform's front end."""
    nodes = [await start_fleet_child("--node") for _ in range(2)]
    try:
        addresses = [await read_line(node) for node in nodes]
        costs: dict[bool, list[float]] = {False: [], True: []}
        for _ in range(3):
            rate = await measure_one(addresses, 1, seconds, folder, seed)
            costs[False].append(1e6 / rate.per_cpu_s)
            http = {"other_class": "purchase", "safe_class": "answer"}
            rate = await measure(1, addresses, 1, seconds, folder, seed, http)
            costs[True].append(1e6 / rate.per_cpu_s)
        http_us, platform_us = median(costs[True]), median(costs[False])
        print(
            f"a small request: {http_us:.0f} us of CPU through [http], {platform_us:.0f} us by the "
            f"platform's front"
        )
        return http_us / platform_us
    finally:
        for node in nodes:
            node.kill()
            await node.wait()


async def run(seed: int, quick: bool, only: str, folder: Path) -> int:
    node = await start_child("--node")
    more_nodes = [await start_child("--node") for _ in range(2)]
    relay = None
    instance = None
    held, summary = True, []
    try:
        address = await read_line(node)
        node_addresses = [address, *[await read_line(other) for other in more_nodes]]
        relay = await start_child("--relay", address)
        relay_address = await read_line(relay)
        instance = await Instance(folder / "one", [address]).start()
        if only in ("", "throughput"):
            sizes = QUICK_SIZES if quick else SIZES
            lowest_ratio = await measure_throughput(relay_address, instance, sizes, 2 if quick else ROUNDS)
            summary.append(f"least ratio to a relay at 1 MiB and above {lowest_ratio:.2f}")
        if only in ("", "digests"):
            held &= await check_digests(instance, 4 * MIB if quick else 1024 * MIB)
        if only in ("", "stalls"):
            is_right, reports = await check_stalls(instance, 5 if quick else 50)
            held &= is_right
            print(f"stalls: {reports}", flush=True)
        await instance.close()
        if only in ("", "slow"):
            worst = 0.0
            for count in (1, 50) if quick else SLOW_CONNECTIONS:
                within_limit, ratio = await measure_slow_connections(
                    folder, node_addresses, count, seed, 1.0 if quick else SLOW_RUN_S
                )
                held &= within_limit
                worst = max(worst, ratio)
            summary.append(f"small requests' 99% beside slow ones at worst {worst:.2f} of the idle one's")
        if only in ("", "reload"):
            is_right, reports = await measure_reload(
                folder, node_addresses, 50 if quick else 2000, seed, 2.0 if quick else 8.0
            )
            held &= is_right
            summary.append(reports)
        if only in ("", "small"):
            cost = await small_cost(folder, seed, 1.0 if quick else 4.0)
            summary.append(f"a small request's CPU {cost:.2f} of the platform's front")
    finally:
        for process in (node, relay, *more_nodes):
            if process is not None:
                process.kill()
                await process.wait()
        if instance is not None:
            await instance.close()
    print(f"bodies seed {seed}: {'; '.join(summary)}: {'held' if held else 'BROKEN'}")
    return 0 if held else 1


async def run_part(node: bool, relay: str) -> None:
    server = await serve_node() if node else await serve_relay(relay)
    print(address_of(server), flush=True)
    await server.serve_forever()


def main() -> int:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--quick", action="store_true")
    parser.add_argument(
        "--only", default="", choices=("", "throughput", "digests", "stalls", "slow", "reload", "small")
    )
    parser.add_argument("--node", action="store_true", help=argparse.SUPPRESS)
    parser.add_argument("--relay", default="", help=argparse.SUPPRESS)
    args = parser.parse_args()
    if args.node or args.relay:
        uvloop.run(run_part(args.node, args.relay))
        return 0
    with tempfile.TemporaryDirectory(prefix="flintlatch-") as name:
        return uvloop.run(run(args.seed, args.quick, args.only, Path(name)))


if __name__ == "__main__":
    sys.exit(main())
