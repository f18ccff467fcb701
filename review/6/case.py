"""Bodies in small chunks hold up the proxy, and the answers to other clients come too late."""

from __future__ import annotations

import asyncio
import os
import sys
from pathlib import Path

from harness import (
    BROKEN,
    COULD_NOT_RUN,
    HELD,
    Backend,
    Client,
    Proxy,
    Record,
    Registry,
    main,
    now_ms,
    request,
    settings,
)

FOLDER = Path(__file__).resolve().parent
BACKENDS, UPLOADS, CLIENTS = 4, 2, 4
SMALL_CHUNK_BYTES, LARGE_CHUNK_BYTES = 8, 16 * 1024
BUDGET_MS = 750  # of `card-answer`
GRACE_MS, SOCKET_SLACK_MS = 500.0, 50.0  # an answer later than these is lost
CALM_S, TROUBLE_S = 2.0, 20.0
MAX_OWN_DELAY_MS = 200.0  # of this process: then the times that it measures say nothing
WAIT_FOR_ANSWER_S = 15.0


class OwnDelay:
    """The longest time by which this process's event loop was late."""

    def __init__(self) -> None:
        self.longest_ms = 0.0

    async def watch(self) -> None:
        while True:
            before = now_ms()
            await asyncio.sleep(0.01)
            self.longest_ms = max(self.longest_ms, now_ms() - before - 10)


async def ask_steadily(client: int, address: str, until_ms: float, record: Record) -> tuple[int, int]:
    """Sends one request after another; returns how many were answered in time, and how many were lost."""
    connection, answered, lost, number = Client(address), 0, 0, 0
    while now_ms() < until_ms:
        number += 1
        call_id, start_ms = f"card{client}-{number}", now_ms()
        record.line(f"{call_id} sent")
        status, body = await connection.ask(request("card-answer", call_id, BUDGET_MS), WAIT_FOR_ANSWER_S)
        took_ms = now_ms() - start_ms
        late = took_ms > BUDGET_MS + GRACE_MS + SOCKET_SLACK_MS
        wrong = status == 200 and body != call_id.encode()
        answered, lost = answered + (not late), lost + (late or wrong or not status)
        verdict = " LOST" if late or wrong or not status else ""
        record.line(f"{call_id} answered {status} after {took_ms:.0f} ms{verdict}")
        await asyncio.sleep(0.02)
    connection.close()
    return answered, lost


async def case(folder: Path, record: Record, trouble: bool) -> int:
    chunk_bytes = SMALL_CHUNK_BYTES if trouble else LARGE_CHUNK_BYTES
    env = dict(os.environ)
    children: list[asyncio.subprocess.Process] = []
    registry = Registry(record)
    proxy: Proxy | None = None
    own_delay = OwnDelay()
    watch = asyncio.create_task(own_delay.watch())
    try:
        for number in range(BACKENDS):
            child = await asyncio.create_subprocess_exec(
                sys.executable, str(FOLDER / "backend.py"), f"s{number}",
                stdin=asyncio.subprocess.PIPE, stdout=asyncio.subprocess.PIPE, env=env,
            )  # fmt: skip
            children.append(child)
            assert child.stdout is not None
            backend = Backend(f"s{number}", record)
            backend.address = (await child.stdout.readline()).decode().strip()
            registry.put(backend)
        door = await registry.open()
        proxy = await Proxy(folder, registry, door.address, settings()).start()
        own_delay.longest_ms = 0.0
        until_ms = now_ms() + (CALM_S + TROUBLE_S) * 1000
        asking = [
            asyncio.create_task(ask_steadily(number, proxy.listen, until_ms, record))
            for number in range(CLIENTS)
        ]
        await asyncio.sleep(CALM_S)
        record.line(f"{UPLOADS} clients send 12 MB each, in chunks of {chunk_bytes} bytes")
        uploads = await asyncio.create_subprocess_exec(
            sys.executable, str(FOLDER / "uploads.py"), proxy.listen, str(UPLOADS), str(chunk_bytes),
            stdout=asyncio.subprocess.PIPE, env=env,
        )  # fmt: skip
        children.append(uploads)
        results = await asyncio.gather(*asking)
        await proxy.close()
        for child in children:
            if child.returncode is None:
                child.kill()
            assert child.stdout is not None
            record.merge((await child.stdout.read()).decode())
        answered, lost = (sum(values) for values in zip(*results, strict=True))
        record.line(f"{answered} answered in time, {lost} lost; own delay {own_delay.longest_ms:.0f} ms")
        if own_delay.longest_ms > MAX_OWN_DELAY_MS:
            return COULD_NOT_RUN
        return BROKEN if lost else HELD
    finally:
        watch.cancel()
        if proxy is not None:
            await proxy.close()
        for child in children:
            if child.returncode is None:
                child.kill()
            await child.wait()


main(case, str(FOLDER))
