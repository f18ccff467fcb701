"""Long bodies through one instance: throughput beside a plain relay, slow connections, and stalls.

    python -m bench.bodies --seed N              # all of it, some minutes
    python -m bench.bodies --seed N --quick      # a short one of each

Scaled to one machine: node, relay, instance and clients share its cores, and all is loopback. The last line
is the figure; the exit code is not 0 if a body came wrong, a stall ended wrongly or a cap was passed.
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

from bench.fleet import child as fleet_child
from bench.fleet import cpu_s, measure, measure_one
from flintlatch.http.sockets import ANSWER_BYTES
from flintlatch.standin.bulk import address_of, connect, digest, serve_node, serve_relay
from flintlatch.standin.process import FleetProcess, alive
from flintlatch.standin.rig import configuration

MIB = 1024 * 1024
SIZES = {64 * 1024: 400, MIB: 100, 64 * MIB: 3, 1024 * MIB: 1}  # bytes: how often in one round
QUICK_SIZES = {64 * 1024: 40, MIB: 10}
ROUNDS = 3  # of relay and instance in turn; the median round's ratio counts
SLOW = (1, 100, 500, 2000)
SLOW_S = 6.0  # s for which slow connections crawl while small requests are timed
BEGIN_S = 30.0  # s within which all exports have begun, or something is wrong
SMALL = 400  # small requests that are timed, each way
UPLOAD_BYTES = 64 * 1024
IDLE_S = 1.0  # of the class whose transfers are made to stall
SLACK_BYTES = 64 * 1024  # a connection's own objects, both sockets', and what the allocator keeps
PAGES_MB = 20.0  # the process's own growth while it learns its work


def hwm_mb(pid: int, name: str = "VmHWM") -> float:
    with open(f"/proc/{pid}/status") as file:
        return next(int(line.split()[1]) / 1024 for line in file if line.startswith(name))


async def child(*arguments: str) -> asyncio.subprocess.Process:
    return await asyncio.create_subprocess_exec(
        sys.executable, "-m", "bench.bodies", *arguments, stdout=asyncio.subprocess.PIPE
    )


async def said(process: asyncio.subprocess.Process) -> str:
    assert process.stdout is not None
    return (await process.stdout.readline()).decode().strip()


class Instance:
    """One instance behind its supervisor, before one node."""

    def __init__(self, folder: Path, nodes: list[str], **tables: dict[str, object]) -> None:
        folder.mkdir()
        http = {"safe_class": "export", "other_class": "upload", "upload_bytes": UPLOAD_BYTES}
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
            f"idle_s = {IDLE_S}",
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
    """MiB a second. Raises ValueError for an answer that is not what it should be."""
    client = await connect(address)
    begun = time.perf_counter()
    for _ in range(times):
        if up:
            status = await client.ask(b"PUT /upload HTTP/1.1\r\nHost: x\r\n", size, chunked)
            right = status == 200 and json.loads(client.body)["bytes"] == size
        else:
            path = b"%d/chunked" % size if chunked else b"%d" % size
            status = await client.ask(b"GET /export/%b HTTP/1.1\r\nHost: x\r\n" % path)
            right = status == 200 and client.body_size == size
        if not right:
            raise ValueError(f"{size} bytes, up {up}, chunked {chunked}: {status}, {client.body_size} bytes")
    taken = time.perf_counter() - begun
    client.transport.close()
    return size * times / MIB / taken


async def throughput(relay: str, instance: Instance, sizes: dict[int, int], rounds: int) -> float:
    """The least ratio of 1 MiB and above."""
    least = 10.0
    for size, times in sizes.items():
        for up in (True, False):
            for chunked in (False, True):
                pairs = []
                cpu = cpu_s(instance.pid)
                for number in range(rounds + 1):
                    through = await one_round(instance.address, up, chunked, size, times)
                    beside = await one_round(relay, up, chunked, size, times)
                    if number:  # the first one warms both up
                        pairs.append((through, beside))
                cpu = (cpu_s(instance.pid) - cpu) / (size * times * (rounds + 1) / MIB)
                ratio = median(through / beside for through, beside in pairs)
                if size >= MIB:
                    least = min(least, ratio)
                way = ("up  " if up else "down") + (" chunked" if chunked else " length ")
                print(
                    f"{way} {size / MIB:8.3f} MiB: {median(p[0] for p in pairs):6.0f} MiB/s, relay "
                    f"{median(p[1] for p in pairs):6.0f}, ratio {ratio:.2f}, {1000 * cpu:.2f} ms CPU a MiB",
                    flush=True,
                )
    return least


async def digests(instance: Instance, size: int) -> bool:
    """One body each way and framing, its digest matched, and what memory it took."""
    right, expected = True, digest(size)
    before = hwm_mb(instance.pid)
    client = await connect(instance.address)
    for chunked in (False, True):
        await client.ask(b"PUT /upload/digest HTTP/1.1\r\nHost: x\r\n", size, chunked)
        right &= json.loads(client.body)["sha256"] == expected
        path = b"%d/chunked" % size if chunked else b"%d" % size
        await client.ask(b"GET /export/%b HTTP/1.1\r\nHost: x\r\n" % path, digest=True)
        assert client.sha is not None
        right &= client.sha.hexdigest() == expected
    client.transport.close()
    grown = hwm_mb(instance.pid) - before
    print(
        f"{size / MIB:.0f} MiB each way, by length and in chunks: digests {'match' if right else 'DIFFER'}, "
        f"peak memory {before:.1f} MB before, {before + grown:.1f} MB after",
        flush=True,
    )
    return right and grown < PAGES_MB


# Slow connections


class Crawler:
    """A client that reads or sends so many bytes a second."""

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

    def move(self) -> None:
        try:
            if self.up:
                self.sock.send(b"x" * self.rate)
            else:
                got = self.sock.recv(self.rate)
                if len(self.head) < 15:
                    self.head += got
        except (BlockingIOError, ConnectionError):
            pass

    def ended(self) -> bool:
        """The other side has closed or reset it."""
        try:
            return not self.sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return False
        except ConnectionError:
            return True

    def begun(self) -> bool:
        """Its answer has; what has come is looked at and left."""
        try:
            self.head = self.head or self.sock.recv(15, socket.MSG_PEEK)
        except BlockingIOError:
            return False
        return self.head.startswith(b"HTTP/1.1 200")


async def small(address: str, count: int) -> tuple[float, float]:
    """Median and 99% of small requests one after another, in ms."""
    client = await connect(address)
    took = []
    for _ in range(count):
        begun = time.perf_counter()
        if await client.ask(b"GET /small HTTP/1.1\r\nHost: x\r\n") != 200:
            raise ValueError(f"a small request got {client.status}")
        took.append(1000 * (time.perf_counter() - begun))
        await asyncio.sleep(0.005)
    client.transport.close()
    return median(took), quantiles(took, n=100)[98]


async def slow(folder: Path, nodes: list[str], count: int, seed: int, seconds: float) -> tuple[bool, float]:
    """Whether the caps held and all exports began; small requests' 99% over the idle instance's."""
    random = Random(seed)
    instance = await Instance(folder / f"slow{count}", nodes).start()
    try:
        await small(instance.address, SMALL)
        idle = await small(instance.address, SMALL)
        before = hwm_mb(instance.pid, "VmRSS")
        opened = time.perf_counter()
        crawlers = []
        for number in range(count):
            crawlers.append(Crawler(instance.address, number % 2 == 1, random.choice((1, 64, 1024, 4096))))
            if number % 50 == 49:
                await asyncio.sleep(0)
        exports = [crawler for crawler in crawlers if not crawler.up]
        begun_s = 0.0
        while not all(crawler.begun() for crawler in exports):
            begun_s = time.perf_counter() - opened
            if begun_s > 20:
                break
            await asyncio.sleep(0.02)
        missing = sum(not crawler.begun() for crawler in exports)

        async def crawl() -> None:
            while True:
                for place in range(20):  # each in turn, spread over a second
                    for crawler in crawlers[place::20]:
                        crawler.move()
                    await asyncio.sleep(0.05)

        moving = asyncio.create_task(crawl())
        busy = await small(instance.address, int(seconds / 0.0075))
        moving.cancel()
        peak = hwm_mb(instance.pid)
        each = (peak - before) * MIB / count
        # An upload holds its cap and a read; an export what is held for its client.
        cap = max(ANSWER_BYTES, 3 * UPLOAD_BYTES) + SLACK_BYTES
        held = (peak - before) * MIB <= cap * count + PAGES_MB * MIB
        for crawler in crawlers:
            crawler.sock.close()
        print(
            f"{count:5} slow connections: all exports begun after {begun_s:.2f} s ({missing} not), peak "
            f"{peak:.0f} MB, {each / 1024:.0f} KiB each; small requests {busy[0]:.2f} / {busy[1]:.2f} ms "
            f"(median / 99%), idle {idle[0]:.2f} / {idle[1]:.2f}{'' if held else ': CAP PASSED'}",
            flush=True,
        )
        return held and not missing, busy[1] / idle[1]
    finally:
        await instance.close()


async def reload(folder: Path, nodes: list[str], count: int, seed: int, seconds: float) -> tuple[bool, str]:
    """Slow connections both ways through a reload: whether all went on in the old generation while the new
    one served, and what to say of it."""
    random = Random(seed)
    instance = await Instance(folder / f"reload{count}", nodes).start()
    try:
        crawlers = []
        for number in range(count):
            crawlers.append(Crawler(instance.address, number % 2 == 1, random.choice((1, 64, 1024, 4096))))
            if number % 50 == 49:
                await asyncio.sleep(0)
        exports = [crawler for crawler in crawlers if not crawler.up]
        async with asyncio.timeout(BEGIN_S):
            while not all(crawler.begun() for crawler in exports):
                await asyncio.sleep(0.02)

        async def crawl() -> None:
            while True:
                for place in range(20):
                    for crawler in crawlers[place::20]:
                        crawler.move()
                    await asyncio.sleep(0.05)

        moving = asyncio.create_task(crawl())
        old = instance.pid
        reloading = asyncio.create_task(instance.fleet.ask("reload"))
        served, slowest = 0, 0.0
        until = time.perf_counter() + seconds
        while time.perf_counter() < until or not reloading.done():
            begun = time.perf_counter()
            client = await connect(instance.address)  # a new client each: through the accept queue
            if await client.ask(b"GET /small HTTP/1.1\r\nHost: x\r\nConnection: close\r\n") != 200:
                raise ValueError(f"a new client got {client.status} through the reload")
            client.transport.close()
            slowest = max(slowest, time.perf_counter() - begun)
            served += 1
            await asyncio.sleep(0.005)
        moving.cancel()
        ended = sum(crawler.ended() for crawler in crawlers)
        pids = {one["pid"] for one in (await instance.fleet.status())["instances"]}
        fresh = bool(pids - {old})
        right = (await reloading)["ok"] and not ended and alive(old) and fresh
        for crawler in crawlers:
            crawler.sock.close()
        return right, (
            f"{count} slow connections through a reload: {ended} ended, {served} new clients served "
            f"meanwhile, the slowest in {slowest * 1000:.0f} ms"
        )
    finally:
        await instance.close()


# Stalls


async def stalls(instance: Instance, count: int) -> tuple[bool, str]:
    """Each kind caused so often at once: whether each ended as it should."""
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
    right, told = True, []

    async def one(raw: bytes) -> int:
        """The status; 0: an answer that began and was broken off."""
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
        found = Counter(await asyncio.gather(*(one(raw) for _ in range(count))))
        # One that never answers and may have run is failed; one that was not sent by then is refused.
        fine = {status, 503} if status == 504 else {status}
        good = set(found) <= fine
        right &= good
        told.append(f"{name}: {dict(found)}{'' if good else ', WRONG'}")

    async def deaf() -> int:
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        host, _, port = instance.address.rpartition(":")
        sock.connect((host, int(port)))
        sock.send(b"GET /export/%d HTTP/1.1\r\n" % (64 * MIB) + stall + b"\r\n")
        await asyncio.sleep(IDLE_S * 4)
        got = 0
        try:
            while data := sock.recv(MIB):
                got += len(data)
        except ConnectionError:
            return 0
        finally:
            sock.close()
        return -1 if got >= 64 * MIB else 0

    found = Counter(await asyncio.gather(*(deaf() for _ in range(count))))
    right &= set(found) == {0}
    told.append(f"client does not read: {dict(found)}{'' if set(found) == {0} else ', WRONG'}")
    return right, "; ".join(told)


# Small requests


async def small_cost(folder: Path, seed: int, seconds: float) -> float:
    """CPU a small request through [http], over that through the platform's front."""
    nodes = [await fleet_child("--node") for _ in range(2)]
    try:
        addresses = [await said(node) for node in nodes]
        costs: dict[bool, list[float]] = {False: [], True: []}
        for _ in range(3):
            rate = await measure_one(addresses, 1, seconds, folder, seed)
            costs[False].append(1e6 / rate.per_cpu_s)
            http = {"other_class": "purchase", "safe_class": "answer"}
            rate = await measure(1, addresses, 1, seconds, folder, seed, http)
            costs[True].append(1e6 / rate.per_cpu_s)
        ours, theirs = median(costs[True]), median(costs[False])
        print(
            f"a small request: {ours:.0f} us of CPU through [http], {theirs:.0f} us by the platform's front"
        )
        return ours / theirs
    finally:
        for node in nodes:
            node.kill()
            await node.wait()


async def run(seed: int, quick: bool, only: str, folder: Path) -> int:
    node = await child("--node")
    more = [await child("--node") for _ in range(2)]
    relay = None
    instance = None
    held, words = True, []
    try:
        address = await said(node)
        three = [address, *[await said(one) for one in more]]
        relay = await child("--relay", address)
        beside = await said(relay)
        instance = await Instance(folder / "one", [address]).start()
        if only in ("", "throughput"):
            sizes = QUICK_SIZES if quick else SIZES
            least = await throughput(beside, instance, sizes, 2 if quick else ROUNDS)
            words.append(f"least ratio to a relay at 1 MiB and above {least:.2f}")
        if only in ("", "digests"):
            held &= await digests(instance, 4 * MIB if quick else 1024 * MIB)
        if only in ("", "stalls"):
            right, told = await stalls(instance, 5 if quick else 50)
            held &= right
            print(f"stalls: {told}", flush=True)
        await instance.close()
        if only in ("", "slow"):
            worst = 0.0
            for count in (1, 50) if quick else SLOW:
                kept, ratio = await slow(folder, three, count, seed, 1.0 if quick else SLOW_S)
                held &= kept
                worst = max(worst, ratio)
            words.append(f"small requests' 99% beside slow ones at worst {worst:.2f} of the idle one's")
        if only in ("", "reload"):
            right, told = await reload(folder, three, 50 if quick else 2000, seed, 2.0 if quick else 8.0)
            held &= right
            words.append(told)
        if only in ("", "small"):
            cost = await small_cost(folder, seed, 1.0 if quick else 4.0)
            words.append(f"a small request's CPU {cost:.2f} of the platform's front")
    finally:
        for process in (node, relay, *more):
            if process is not None:
                process.kill()
                await process.wait()
        if instance is not None:
            await instance.close()
    print(f"bodies seed {seed}: {'; '.join(words)}: {'held' if held else 'BROKEN'}")
    return 0 if held else 1


async def part(node: bool, relay: str) -> None:
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
        uvloop.run(part(args.node, args.relay))
        return 0
    with tempfile.TemporaryDirectory(prefix="flintlatch-") as name:
        return uvloop.run(run(args.seed, args.quick, args.only, Path(name)))


if __name__ == "__main__":
    sys.exit(main())
