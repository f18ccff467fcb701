"""A backend in a process of its own, which gives each request an answer of a given size.

Usage: backend.py UID ANSWER_BYTES. Prints its address and what it runs, and ends with its standard input."""

from __future__ import annotations

import asyncio
import sys

from harness import Backend, Call, PrintedRecord

BLOCK = b"x" * 16 * 1024


async def main() -> None:
    size = int(sys.argv[2])

    async def handle(call: Call) -> None:
        call.writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % size)
        for _ in range(size // len(BLOCK)):
            call.writer.write(BLOCK)
            await call.writer.drain()

    backend = await Backend(sys.argv[1], PrintedRecord(), handle).open()
    print(backend.address, flush=True)
    await asyncio.to_thread(sys.stdin.read)


asyncio.run(main())
