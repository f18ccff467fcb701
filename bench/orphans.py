"""Kills a supervisor repeatedly while new connections arrive, and counts those that get no answer.

    python -m bench.orphans --seed N --times 10 --rate 200

Each time a new supervisor is started at once, as a service manager does. The last line has the result; the
exit code is not 0 if a connection was refused, closed without an answer or reset.
"""

from __future__ import annotations

import argparse
import asyncio
import os
import signal
import sys
import tempfile
from collections import Counter
from itertools import count
from pathlib import Path
from random import Random

import uvloop

from flintlatch.standin.node import Shape
from flintlatch.standin.process import FleetProcess
from flintlatch.standin.rig import Rig

ANSWER_STATUSES = ("200", "503", "504")


class Load:
    """Opens new connections at random times (Poisson), each for one request."""

    def __init__(self, address: str, rate: float, seed: int) -> None:
        self.host, _, port = address.rpartition(":")
        self.port, self.rate, self.random = int(port), rate, Random(seed)
        self.outcomes: Counter[str] = Counter()
        self.numbers, self.stop = count(), asyncio.Event()

    async def run(self) -> None:
        tasks: set[asyncio.Task[None]] = set()
        while not self.stop.is_set():
            task = asyncio.create_task(self._count_one())
            tasks.add(task)
            task.add_done_callback(tasks.discard)
            await asyncio.sleep(self.random.expovariate(self.rate))
        await asyncio.gather(*tasks)

    async def _count_one(self) -> None:
        self.outcomes[await self._ask()] += 1

    async def _ask(self) -> str:
        try:
            reader, writer = await asyncio.open_connection(self.host, self.port)
        except OSError as error:
            return f"refused: {error.strerror}"
        try:
            writer.write(
                b"GET /answer/1 HTTP/1.1\r\nHost: x\r\nX-Budget-Ms: 900\r\nX-Call-Id: o%d\r\n"
                b"Connection: close\r\n\r\n" % next(self.numbers)
            )
            line = await reader.readline()
            return line[9:12].decode() if line else "closed without an answer"
        except ConnectionError:
            return "reset"
        finally:
            writer.close()


async def run(seed: int, times: int, rate: float, instances: int, folder: Path) -> int:
    rig = await Rig(folder, seed).open(3, Shape(slots=64, queue=256, work_ms=5))
    random = Random(seed)
    fleet = await (await FleetProcess(rig.write(fleet={"instances": instances})).start()).ready()
    load = Load(fleet.address, rate, seed)
    running = asyncio.create_task(load.run())
    config = rig.write(fleet={"instances": instances, "listen": [fleet.address]})
    recovery_times_s = []
    try:
        for _ in range(times):
            await asyncio.sleep(random.uniform(0.5, 1.5))
            os.kill(fleet.process.pid, signal.SIGKILL)
            await fleet.process.wait()
            killed_at = asyncio.get_running_loop().time()
            fleet = await (await FleetProcess(config).start()).ready()
            recovery_times_s.append(asyncio.get_running_loop().time() - killed_at)
        await asyncio.sleep(1.0)
        load.stop.set()
        await running
        await fleet.stop()
    finally:
        await fleet.close()
        rig.close()
    unanswered = {
        outcome: number for outcome, number in load.outcomes.items() if outcome not in ANSWER_STATUSES
    }
    print(
        f"answers {dict(load.outcomes)}; successors served after {min(recovery_times_s):.2f} to "
        f"{max(recovery_times_s):.2f} s"
    )
    print(
        f"orphans seed {seed}: supervisor killed {times} times under {rate:g} connections a second, "
        f"{load.outcomes.total()} in all, {sum(unanswered.values())} without an answer {unanswered or ''}: "
        f"{'BROKEN' if unanswered else 'held'}"
    )
    return 1 if unanswered else 0


def main() -> int:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--times", type=int, default=10)
    parser.add_argument("--rate", type=float, default=200.0)
    parser.add_argument("--instances", type=int, default=2)
    args = parser.parse_args()
    with tempfile.TemporaryDirectory(prefix="flintlatch-") as name:
        return uvloop.run(run(args.seed, args.times, args.rate, args.instances, Path(name)))


if __name__ == "__main__":
    sys.exit(main())
