"""A long answer whose client reads slowly, and never stops reading, is cut off."""

from __future__ import annotations

import asyncio
import socket
from pathlib import Path

from harness import (
    BROKEN,
    HELD,
    Backend,
    Call,
    Proxy,
    Record,
    Registry,
    main,
    now_ms,
    request,
    settings,
    split,
)

FOLDER = Path(__file__).resolve().parent
ANSWER_BYTES = 16 * 1024 * 1024  # answers of up to 32 MB occur
SLOW_BYTES_PER_S, FAST_BYTES_PER_S = 4 * 1024, 2 * 1024 * 1024
READS_PER_S = 4
READ_FOR_S = 60.0  # slowly; what is left is then read at once
CLIENTS = 3
BUDGET_MS = 750


class Giver:
    """What the backends have seen of one answer."""

    def __init__(self) -> None:
        self.written_bytes = 0
        self.cut_off = asyncio.Event()


async def read(
    number: int, address: str, giver: Giver, bytes_per_s: int, record: Record
) -> tuple[int, str, float]:
    """Reads an answer at a steady pace, and the rest at once when the backend was cut off or the time is up.

    Returns the bytes of its body, how it ended, and the longest time between two reads in ms."""
    loop = asyncio.get_running_loop()
    with socket.socket() as sock:
        sock.setblocking(False)
        await loop.sock_connect(sock, split(address))
        await loop.sock_sendall(sock, request("card-answer/export", f"export{number}", BUDGET_MS))
        record.line(f"export{number} sent")
        data, start_ms, last_ms, longest_ms, ending = bytearray(), now_ms(), now_ms(), 0.0, "ended"
        steps = 0
        while len(data.partition(b"\r\n\r\n")[2]) < ANSWER_BYTES:
            steady = now_ms() < start_ms + READ_FOR_S * 1000 and not giver.cut_off.is_set()
            try:
                piece = await loop.sock_recv(sock, bytes_per_s // READS_PER_S if steady else 65536)
            except OSError as error:
                ending = str(error)
                break
            if not piece:
                break
            if steady:
                longest_ms, last_ms = max(longest_ms, now_ms() - last_ms), now_ms()
                steps += 1
                if steps % (2 * READS_PER_S) == 0:
                    record.line(f"export{number}: {len(data)} bytes read, {giver.written_bytes} given")
                await asyncio.sleep(1 / READS_PER_S)
            data += piece
    return len(data.partition(b"\r\n\r\n")[2]), ending, longest_ms


async def case(folder: Path, record: Record, trouble: bool) -> int:
    givers = {f"export{number}": Giver() for number in range(CLIENTS)}
    start_ms = now_ms()

    async def give(call: Call) -> None:
        giver = givers[call.id]
        call.writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % ANSWER_BYTES)
        try:
            while giver.written_bytes < ANSWER_BYTES:
                call.writer.write(b"x" * 16384)
                await call.writer.drain()
                giver.written_bytes += 16384
        except OSError as error:
            record.line(f"{call.backend.uid} is cut off in {call.id}: {error}, {giver.written_bytes} given")
            giver.cut_off.set()
            raise

    registry = Registry(record)
    for number in range(3):
        registry.put(await Backend(f"s{number}", record, give).open())
    door = await registry.open()
    proxy = Proxy(folder, registry, door.address, settings())
    try:
        await proxy.start()
        start_ms = now_ms()
        pace = SLOW_BYTES_PER_S if trouble else FAST_BYTES_PER_S
        ends = await asyncio.gather(
            *(
                read(number, proxy.listen, givers[f"export{number}"], pace, record)
                for number in range(CLIENTS)
            )
        )
    finally:
        await proxy.close()
    lost = 0
    for number, (size, ending, longest_ms) in enumerate(ends):
        whole = size == ANSWER_BYTES
        lost += not whole
        record.line(
            f"export{number}: {size} of {ANSWER_BYTES} bytes, {'whole' if whole else 'CUT OFF: ' + ending}; "
            f"never longer than {longest_ms:.0f} ms between two reads; {now_ms() - start_ms:.0f} ms in all"
        )
    return BROKEN if lost else HELD


main(case, str(FOLDER))
