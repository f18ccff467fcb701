"""Clients in a process of their own, one started after the other; each asks for one answer and reads it.

Usage: readers.py ADDRESS COUNT START_SPREAD_S BYTES_PER_S ANSWER_BYTES; BYTES_PER_S 0: as fast as it comes.
Prints what it sends and reads; ends with its standard input."""

from __future__ import annotations

import asyncio
import sys

from harness import PrintedRecord, request, split

ADDRESS = sys.argv[1]
COUNT, SPREAD_S, BYTES_PER_S, ANSWER_BYTES = (int(value) for value in sys.argv[2:6])
READS_PER_S = 4
statuses: dict[str, int] = {}
whole = 0
record = PrintedRecord()


def count(status: str) -> None:
    statuses[status] = statuses.get(status, 0) + 1


async def read(number: int) -> None:
    global whole
    await asyncio.sleep(SPREAD_S * number / COUNT)
    size = 0
    try:
        reader, writer = await asyncio.open_connection(*split(ADDRESS), limit=8192)
        writer.write(request("card-answer/export", f"export{number}", 750))
        record.line(f"export{number} sent")
        count((await reader.readuntil(b"\r\n\r\n")).decode().split()[1])
        while size < ANSWER_BYTES and (data := await reader.read(BYTES_PER_S // READS_PER_S or 65536)):
            size += len(data)
            if BYTES_PER_S:
                await asyncio.sleep(1 / READS_PER_S)
    except (OSError, asyncio.IncompleteReadError):
        count("connection ended")
    record.line(f"export{number}: {size} bytes read")
    whole += size == ANSWER_BYTES


async def main() -> None:
    tasks = [asyncio.create_task(read(number)) for number in range(COUNT)]
    await asyncio.to_thread(sys.stdin.read)
    record.line(f"answers begun: {statuses}, {whole} read whole")
    for task in tasks:
        task.cancel()


asyncio.run(main())
