"""Case 3: a new version that starts while discovery is down sends to servers whose drain the proxy was told.

A proxy watches discovery. Three of its nine backends begin to drain, and discovery writes that to the proxy.
With trouble, discovery then goes down for 8 s. Meanwhile the platform puts a new version in place: it starts
`run` once more with all else the same, and tells the old process to end 5 s after the yes of the new one.
"""

from __future__ import annotations

import asyncio
import contextlib
import random
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib"))

import rig  # noqa: E402

DRAIN_GRACE_S = 0.250 + 0.050  # the settings' grace, and 50 ms on sockets
BINDING_AFTER_YES_S = 2.0  # for a new process
TERM_AFTER_YES_S = 5.0  # within 6 s
KILL_AFTER_TERM_S = 1.2 + 0.7  # the longest deadline and 0.7 s
OUTAGE_S = 8.0
CLIENTS, PAUSE_S = 20, 0.4
CLASSES = (("plan-purchase", 1200), ("card-answer", 750))


async def client(port: int, record: rig.Record, counts: dict[str, int], dice: random.Random) -> None:
    """Sends one request after another, five on each connection."""
    while True:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            reader, writer = await asyncio.open_connection(rig.HOST, port)
            for _ in range(5):
                call, (cls, budget_ms) = rig.new_call(), dice.choice(CLASSES)
                writer.write(rig.request_bytes(call, budget_ms, cls))
                head = await rig.read_head(reader)
                if head is None:
                    break
                await rig.read_body(reader, head)
                counts[head.first[1]] = counts.get(head.first[1], 0) + 1
                record.line(f"{call}: answered {head.first[1]}")
                if head.headers.get("connection") == "close":
                    break
                await asyncio.sleep(dice.uniform(0, 2 * PAUSE_S))
            writer.close()
        await asyncio.sleep(0.01)


async def case(record: rig.Record) -> int:
    discovery = await rig.Discovery(record).open()
    backends = [await rig.Backend(f"s-{n}", record, rig.plain_answer, 0.03, n // 3).open() for n in range(9)]
    discovery.put(*backends)
    drained = [backends[0], backends[3], backends[6]]
    proxy = rig.Proxy(record, discovery, rig.SETTINGS)
    counts: dict[str, int] = {}
    clients: list[asyncio.Task[None]] = []
    try:
        old = await proxy.start()
        for number in range(CLIENTS):
            task = client(proxy.port, record, counts, random.Random(number))
            clients.append(asyncio.ensure_future(task))
        await asyncio.sleep(2.0)

        for backend in drained:
            backend.state = "leaving"
        discovery.put(*drained)
        told_at = await discovery.written()
        record.line(f"discovery has written that {[b.uid for b in drained]} are leaving")
        await asyncio.sleep(2.0)

        if rig.trouble():
            discovery.close()
            record.line(f"discovery is down for {OUTAGE_S} s")
            asyncio.get_running_loop().call_later(OUTAGE_S, lambda: asyncio.ensure_future(discovery.open()))
        await asyncio.sleep(0.5)

        await proxy.start()
        yes_at = time.monotonic()
        await asyncio.sleep(TERM_AFTER_YES_S)
        record.line("SIGTERM to process 1")
        old.terminate()
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(old.wait(), KILL_AFTER_TERM_S)
        if old.returncode is None:
            old.kill()
            await old.wait()
        old_ended_at = time.monotonic()
        record.line(f"process 1 has ended with {old.returncode}")
        await asyncio.sleep(3.0)
        record.line("end of the traffic")
    finally:
        for task in clients:
            task.cancel()
        for line in proxy.log().splitlines():
            if "list_" in line or "serv" in line:
                record.line(f"log of the proxy: {line}")
        await proxy.end()
        discovery.close()
        for backend in backends:
            backend.close()
    begun = sorted(run.begun_at for backend in drained for run in backend.runs)
    late = [at for at in begun if at > told_at + DRAIN_GRACE_S]
    binding = [at for at in late if at > yes_at + BINDING_AFTER_YES_S + DRAIN_GRACE_S]
    together = [at for at in binding if at < old_ended_at]
    seconds = [round(at - yes_at, 2) for at in together]
    text = (
        f"answers {counts}; requests to drained servers: {len(late)} after the grace, {len(binding)} of them "
        f"more than 2.3 s after the yes, {len(together)} of these while both processes ran, at {seconds} s "
        f"after the yes"
    )
    record.line(text)
    print(text)
    if not counts.get("200"):
        raise RuntimeError("no request was served")
    return rig.BROKEN if together else rig.PASSED


rig.main(case, FOLDER)
