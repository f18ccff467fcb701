"""Long answers that many clients read slowly take the proxy over its memory limit."""

from __future__ import annotations

import asyncio
import os
import signal
import sys
from pathlib import Path

from harness import BROKEN, HELD, Backend, Proxy, Record, Registry, main, settings

FOLDER = Path(__file__).resolve().parent
MEMORY_MB, SOCKETS = 64, 1024
READERS = 320  # clients hold a third of the descriptors at most for requests: 341
ANSWER_BYTES = 4 * 1024 * 1024  # answers of up to 32 MB occur
SLOW_BYTES_PER_S = 32 * 1024
BACKENDS, SPREAD_S, WATCH_S = 8, 16, 40.0


async def case(folder: Path, record: Record, trouble: bool) -> int:
    env = dict(os.environ)
    children: list[asyncio.subprocess.Process] = []
    pipe = asyncio.subprocess.PIPE
    registry = Registry(record)
    proxy: Proxy | None = None
    largest_mb = 0.0
    killed = False
    try:
        for number in range(BACKENDS):
            child = await asyncio.create_subprocess_exec(
                sys.executable, str(FOLDER / "backend.py"), f"s{number}", str(ANSWER_BYTES),
                stdin=pipe, stdout=pipe, env=env,
            )  # fmt: skip
            children.append(child)
            assert child.stdout is not None
            backend = Backend(f"s{number}", record)
            backend.address = (await child.stdout.readline()).decode().strip()
            registry.put(backend)
        door = await registry.open()
        proxy = await Proxy(folder, registry, door.address, settings(), MEMORY_MB, SOCKETS).start()
        record.line(f"ready with {proxy.memory_mb():.1f} MB of {MEMORY_MB}")
        pace = SLOW_BYTES_PER_S if trouble else 0
        readers = await asyncio.create_subprocess_exec(
            sys.executable, str(FOLDER / "readers.py"), proxy.listen, str(READERS), str(SPREAD_S), str(pace),
            str(ANSWER_BYTES), stdin=pipe, stdout=pipe, env=env,
        )  # fmt: skip
        children.append(readers)
        for _ in range(int(WATCH_S / 0.5)):
            await asyncio.sleep(0.5)
            memory_mb = proxy.memory_mb()
            largest_mb = max(largest_mb, memory_mb)
            record.line(f"{memory_mb:.1f} MB")
            if memory_mb > MEMORY_MB:  # the platform kills it
                record.line(f"over the limit of {MEMORY_MB} MB: killed")
                proxy.signal(signal.SIGKILL)
                killed = True
                break
        await asyncio.sleep(0.5)
        assert readers.stdin is not None and readers.stdout is not None
        readers.stdin.close()
        await proxy.close()
        record.merge((await readers.stdout.read()).decode())
        for child in children:
            if child.returncode is None:
                child.kill()
            assert child.stdout is not None
            record.merge((await child.stdout.read()).decode())
        record.line(f"at most {largest_mb:.1f} MB")
        return BROKEN if killed else HELD
    finally:
        if proxy is not None:
            await proxy.close()
        for child in children:
            if child.returncode is None:
                child.kill()
            await child.wait()


main(case, str(FOLDER))
