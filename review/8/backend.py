"""A backend in a process of its own, which gives each request an answer of a given size.

Usage: backend.py UID ANSWER_BYTES. Prints its address, and ends with its standard input."""

from __future__ import annotations

import asyncio
import sys

from harness import Backend, Call

BLOCK = b"x" * 16 * 1024


class NoRecord:
    def line(self, text: str) -> None:
        """Nothing is recorded: the test's own process records what was seen."""


async def main() -> None:
    size = int(sys.argv[2])

    async def handle(call: Call) -> None:
        call.writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % size)
        for _ in range(size // len(BLOCK)):
            call.writer.write(BLOCK)
            await call.writer.drain()

    backend = await Backend(sys.argv[1], NoRecord(), handle).open()  # type: ignore[arg-type]
    print(backend.address, flush=True)
    await asyncio.to_thread(sys.stdin.read)


asyncio.run(main())
