"""A backend in a process of its own, which reads bodies of any length.

Usage: backend.py UID. Prints its address and what it runs, and ends with its standard input."""

from __future__ import annotations

import asyncio
import sys

from harness import Headers, PrintedRecord, address_of, answer

WORK_S = 0.02
LAST_CHUNK = b"\r\n0\r\n\r\n"
record = PrintedRecord()


async def read_body(head: Headers, reader: asyncio.StreamReader) -> None:
    if head.get("transfer-encoding").lower() != "chunked":
        await reader.readexactly(int(head.get("content-length", "0")))
        return
    end = b""
    while not end.endswith(LAST_CHUNK):  # the body holds no line breaks of its own
        data = await reader.read(256 * 1024)
        if not data:
            raise asyncio.IncompleteReadError(b"", None)
        end = (end + data)[-len(LAST_CHUNK) :]


async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    try:
        while True:
            head = Headers((await reader.readuntil(b"\r\n\r\n"))[:-4])
            await read_body(head, reader)
            record.line(f"{sys.argv[1]} ran {head.get('x-call-id')}")
            await asyncio.sleep(WORK_S)
            writer.write(answer(200, head.get("x-call-id").encode()))
            await writer.drain()
    except (asyncio.IncompleteReadError, OSError):
        pass
    finally:
        writer.close()


async def main() -> None:
    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    print(address_of(server.sockets[0]), flush=True)
    await asyncio.to_thread(sys.stdin.read)


asyncio.run(main())
