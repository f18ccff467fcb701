"""Case 3: clients that read a long answer slowly, on connections that close after it, get it cut off.

Backends answer with 300 to 600 kB. With trouble, clients read 64 kB a second; otherwise as fast as they can.
The backend gives the whole answer at once, so the client must get all of it.
"""

from __future__ import annotations

import asyncio
import socket
import sys
import time
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib"))

import rig  # noqa: E402

CLS, BUDGET_MS = "plan-purchase", 1200
BYTES_PER_S, READ_BYTES = 64_000, 8192
SIZES = range(300_000, 620_000, 32_000)
PAUSE_LIMIT_S = 14.0  # of a client without a byte; a proxy may end a transfer that does not move
CLIENT_RECEIVE_BUFFER = 64 * 1024


async def long_answer(
    backend: rig.Backend,
    head: rig.Head,
    body: bytes,
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
) -> bool:
    call = head.headers.get("x-call-id")
    if call is None:
        return await rig.plain_answer(backend, head, body, reader, writer)
    await asyncio.sleep(backend.work_s)
    size = int(head.first[1].rpartition("size=")[2])
    writer.write(rig.answer_bytes(200, rig.result_of(call, size)))
    await writer.drain()
    backend.record.line(f"{call}: {backend.uid} has answered with {size} bytes")
    return True


def read_answer(port: int, record: rig.Record, size: int) -> str:
    """Sends one request and reads its answer. Returns what became of it."""
    call = rig.new_call()
    path = f"{CLS}/deck?size={size}"
    with socket.socket() as sock:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, CLIENT_RECEIVE_BUFFER)
        sock.settimeout(PAUSE_LIMIT_S)
        sock.connect((rig.HOST, port))
        sock.sendall(rig.request_bytes(call, BUDGET_MS, path, b"", "Connection: close"))
        record.line(f"{call}: sent, {path}, budget {BUDGET_MS} ms")
        sent_at, data, error = time.monotonic(), b"", "the end of the connection"
        first_at = None
        try:
            while piece := sock.recv(READ_BYTES):
                first_at = first_at or time.monotonic()
                data += piece
                if rig.trouble():
                    time.sleep(len(piece) / BYTES_PER_S)
        except OSError as problem:
            error = str(problem)
    head, _, body = data.partition(b"\r\n\r\n")
    status = head.split(b" ", 2)[1].decode() if head else "none"
    took_s, first_ms = time.monotonic() - sent_at, ((first_at or sent_at) - sent_at) * 1000
    record.line(
        f"{call}: status {status}, first byte after {first_ms:.0f} ms, {len(body)} of {size} bytes, "
        f"then {error} after {took_s:.1f} s"
    )
    if status != "200":
        return f"status {status}"
    if body == rig.result_of(call, size):
        return "whole"
    record.line(f"{call}: LOST, its answer was cut off, {size - len(body)} bytes are missing")
    return "cut off"


async def case(record: rig.Record) -> int:
    discovery = await rig.Discovery(record).open()
    backends = [await rig.Backend(f"s-{n}", record, long_answer, 0.03, n // 3).open() for n in range(9)]
    discovery.put(*backends)
    proxy = rig.Proxy(record, discovery, rig.SETTINGS)
    try:
        await proxy.start()
        loop = asyncio.get_running_loop()
        with ThreadPoolExecutor(len(SIZES)) as threads:
            readers = (loop.run_in_executor(threads, read_answer, proxy.port, record, size) for size in SIZES)
            results = await asyncio.gather(*readers)
        for line in await proxy.closed_connections():
            record.line(f"figure of the proxy: {line}")
    finally:
        await proxy.end()
        discovery.close()
        for backend in backends:
            backend.close()
    counts = {result: results.count(result) for result in sorted(set(results))}
    record.line(f"answers: {counts}")
    print(f"answers: {counts}")
    if not counts.get("whole") and not counts.get("cut off"):
        raise RuntimeError("no request was served")
    return rig.BROKEN if counts.get("cut off") else rig.PASSED


rig.main(case, FOLDER)
