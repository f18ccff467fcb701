"""Measures how evenly long-lived clients are distributed over the instances of a fleet.

    python -m bench.spread --seed N --instances 8 --clients 800

Clients connect at random times, some disconnect, more connect. The last line has the ratio of the fullest
instance to the mean; the exit code is not 0 if it is above MAX_RATIO.
"""

from __future__ import annotations

import argparse
import asyncio
import sys
import tempfile
from pathlib import Path
from random import Random

import uvloop

from flintlatch.standin.process import FleetProcess
from flintlatch.standin.rig import Rig

MAX_RATIO = 1.2  # of the fullest instance to the mean, at the end
MAX_BATCH = 40  # most connections that are opened at the same time
LEAVE_FRACTION = 0.3  # fraction of the clients that disconnect halfway


async def run(seed: int, instances: int, clients: int, folder: Path) -> int:
    random = Random(seed)
    rig = await Rig(folder, seed).open(2)
    limits = {"sockets": 4096}
    fleet = FleetProcess(rig.write(fleet={"instances": instances, "log_level": "warning"}, limits=limits))
    connections: list[asyncio.StreamWriter] = []
    try:
        await (await fleet.start()).ready_by_status()
        await fleet.until(lambda s: all(row["state"] == "serving" for row in s["instances"]))
        host, _, port = fleet.address.rpartition(":")

        async def connect_one() -> asyncio.StreamWriter:
            """Sends one request and keeps the connection open."""
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(b"GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n")
            await reader.readuntil(b"\r\n\r\n")
            return writer

        async def connect_clients(number: int) -> None:
            while number > 0:
                batch = min(number, random.randint(1, MAX_BATCH))
                number -= batch
                connections.extend(await asyncio.gather(*(connect_one() for _ in range(batch))))
                await asyncio.sleep(random.uniform(0, 0.02))

        async def clients_per_instance() -> list[int]:
            status = await fleet.until(
                lambda s: sum(o["clients"] or 0 for o in s["instances"]) == len(connections)
            )
            return sorted(row["clients"] for row in status["instances"])

        await connect_clients(clients)
        after_connect = await clients_per_instance()
        random.shuffle(connections)
        for _ in range(int(clients * LEAVE_FRACTION)):
            connections.pop().close()
        await asyncio.sleep(0.2)
        after_leave = await clients_per_instance()
        await connect_clients(clients - len(connections))
        after_refill = await clients_per_instance()
    finally:
        for writer in connections:
            writer.close()
        await fleet.close()
        rig.close()
    for name, found in (
        ("all come", after_connect),
        ("some left", after_leave),
        ("as many came", after_refill),
    ):
        print(f"{name}: {found}, fullest {max(found) / (sum(found) / len(found)):.3f} of the mean")
    worst_ratio = max(after_refill) / (sum(after_refill) / len(after_refill))
    is_even = worst_ratio <= MAX_RATIO
    print(
        f"spread seed {seed}: {clients} long-lived clients over {instances} instances, the fullest holds "
        f"{worst_ratio:.3f} of the mean: {'held' if is_even else 'BROKEN'}"
    )
    return 0 if is_even else 1


def main() -> int:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--instances", type=int, default=8)
    parser.add_argument("--clients", type=int, default=800)
    args = parser.parse_args()
    with tempfile.TemporaryDirectory(prefix="flintlatch-") as name:
        return uvloop.run(run(args.seed, args.instances, args.clients, Path(name)))


if __name__ == "__main__":
    sys.exit(main())
