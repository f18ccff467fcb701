"""Clients in a process of their own: each sends one long body in chunks, and waits for its answer.

Usage: uploads.py ADDRESS COUNT CHUNK_BYTES. Prints a line for each upload."""

from __future__ import annotations

import asyncio
import sys

from harness import PrintedRecord, now_ms, read_message, split

BODY_BYTES = 12 * 1024 * 1024
BLOCK_BYTES = 64 * 1024  # written at once
record = PrintedRecord()


async def upload(number: int, chunk_bytes: int) -> None:
    start_ms = now_ms()
    record.line(f"upload{number} begins")
    try:
        reader, writer = await asyncio.open_connection(*split(sys.argv[1]))
        writer.write(
            b"POST /card-answer HTTP/1.1\r\nHost: backend.local\r\nX-Call-Id: upload%d\r\n"
            b"X-Budget-Ms: 750\r\nTransfer-Encoding: chunked\r\n\r\n" % number
        )
        block = b"%x\r\n%b\r\n" % (chunk_bytes, b"x" * chunk_bytes) * max(BLOCK_BYTES // chunk_bytes, 1)
        for _ in range(BODY_BYTES // max(BLOCK_BYTES, chunk_bytes)):
            writer.write(block)
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        record.line(f"upload{number} sent whole")
        head, _ = await read_message(reader)
        ending = head.first
        writer.close()
    except (OSError, asyncio.IncompleteReadError) as error:
        ending = str(error)
    record.line(f"upload{number}: {ending} after {now_ms() - start_ms:.0f} ms")


async def main() -> None:
    await asyncio.gather(*(upload(number, int(sys.argv[3])) for number in range(int(sys.argv[2]))))


asyncio.run(main())
