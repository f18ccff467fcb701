"""Case 2: backends reset connections under long uploads; some of these requests are never answered.

Clients send bodies of 250 kB in pieces. With trouble, backends reset one connection in five somewhere in the
first 72 KiB of such a body. Every request whose last byte the proxy's machine has must get its final answer.
"""

from __future__ import annotations

import asyncio
import contextlib
import random
import select
import socket
import struct
import sys
import threading
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib"))

import rig  # noqa: E402

CLS, BUDGET_MS = "plan-purchase", 1200
SLACK_MS = 50 + 500  # each time limit is 50 ms longer on sockets; up to half a second late only earns nothing
UPLOADS, CLIENTS = 2400, 3
AT_MOST_S, LOST_ARE_ENOUGH = 75.0, 5  # of the uploads; lost requests after which the script stops
BODY_BYTES, PIECE_BYTES, PIECE_PAUSE_S = 250_000, (1024, 48 * 1024), 0.001
RESET_SHARE, RESET_WITHIN_BYTES = 1 / 5, 72 * 1024
STAY_S = 20.0  # how long the client of the first lost request stays, for the record
SEED = 1
stayed = threading.Event()


class UploadBackend(rig.Backend):
    """A backend that reads a body as it comes, and may reset the connection in the middle of it."""

    resets = 0
    dice = random.Random(SEED)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while (head := await rig.read_head(reader)) is not None:
                call = head.headers.get("x-call-id")
                if call is None:
                    await rig.plain_answer(self, head, b"", reader, writer)
                    continue
                length = int(head.headers["content-length"])
                reset_at = None
                if rig.trouble() and self.dice.random() < RESET_SHARE:
                    reset_at = self.dice.randrange(RESET_WITHIN_BYTES)
                got = 0
                while got < length:
                    piece = await reader.read(min(65536, length - got))
                    if not piece:
                        return
                    got += len(piece)
                    if reset_at is not None and got >= reset_at and got < length:
                        UploadBackend.resets += 1
                        self.record.line(f"reset of {call} at {self.uid} after {got} bytes of its body")
                        sock = writer.get_extra_info("socket")
                        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                        writer.transport.abort()
                        return
                self.record.line(f"run {call} at {self.uid}")
                await asyncio.sleep(self.work_s)
                writer.write(rig.answer_bytes(200, rig.result_of(call)))
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()


def upload(port: int, record: rig.Record, dice: random.Random) -> str:
    """Sends one request on a new connection. Returns what became of it."""
    call = rig.new_call()
    record.line(f"{call}: sends {BODY_BYTES} bytes, {CLS}, budget {BUDGET_MS} ms")
    data = rig.request_bytes(call, BUDGET_MS, CLS, b"x" * BODY_BYTES, "Content-Type: text/plain")
    with socket.create_connection((rig.HOST, port)) as sock:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.settimeout(5.0)
        try:
            start = 0
            while start < len(data):
                size = dice.randint(*PIECE_BYTES)
                sock.sendall(data[start : start + size])
                start += size
                time.sleep(dice.uniform(0, PIECE_PAUSE_S))
                if select.select([sock], [], [], 0)[0]:
                    break  # answered, or closed
            else:
                until = time.monotonic() + 5.0
                while rig.unacknowledged_bytes(sock) and time.monotonic() < until:
                    time.sleep(0.001)
                if rig.unacknowledged_bytes(sock):
                    raise TimeoutError
        except TimeoutError:
            record.line(f"{call}: its last byte could not be written within 5 s; it was not taken")
            return "not taken"
        except ConnectionError as error:
            record.line(f"{call}: {error}")
            return "not taken"
        taken = start >= len(data)
        if taken:
            record.line(f"{call}: the proxy's machine has its last byte")
        sock.settimeout((BUDGET_MS + SLACK_MS) / 1000)
        try:
            first = sock.recv(4096)
        except TimeoutError:
            record.line(f"{call}: LOST, no answer {BUDGET_MS + SLACK_MS} ms after its last byte")
            if not stayed.is_set():
                stayed.set()
                sock.settimeout(STAY_S)
                ended = False
                with contextlib.suppress(TimeoutError, ConnectionError):
                    ended = sock.recv(4096) is not None
                record.line(f"{call}: {'an end' if ended else 'still no answer'} within {STAY_S} s more")
            return "lost"
        except ConnectionError:
            first = b""
        if not first:
            record.line(f"{call}: closed with no answer" + (", LOST" if taken else ""))
            return "lost" if taken else "not taken"
        status = first.split(b" ", 2)[1].decode()
        record.line(f"{call}: answered {status}")
        return status


async def case(record: rig.Record) -> int:
    discovery = await rig.Discovery(record).open()
    backends = [
        await UploadBackend(f"s-{n}", record, rig.plain_answer, 0.03, n // 3).open() for n in range(9)
    ]
    discovery.put(*backends)
    proxy = rig.Proxy(record, discovery, rig.SETTINGS)
    counts: dict[str, int] = {}
    try:
        await proxy.start()
        left, until = iter(range(UPLOADS)), time.monotonic() + AT_MOST_S

        def client(number: int) -> None:
            dice = random.Random(SEED + number)
            for _ in left:
                if time.monotonic() > until or counts.get("lost", 0) >= LOST_ARE_ENOUGH:
                    return
                result = upload(proxy.port, record, dice)
                counts[result] = counts.get(result, 0) + 1

        await asyncio.gather(*(asyncio.to_thread(client, number) for number in range(CLIENTS)))
        bugs = [line for line in proxy.log().splitlines() if "bug:" in line]
        for line in bugs:
            record.line(f"log of the proxy: {line}")
    finally:
        await proxy.end()
        discovery.close()
        for backend in backends:
            backend.close()
    record.line(f"uploads: {counts}; resets by backends: {UploadBackend.resets}")
    print(f"uploads: {counts}; resets by backends: {UploadBackend.resets}")
    if not counts.get("200"):
        raise RuntimeError("no request was served")
    return rig.BROKEN if counts.get("lost") else rig.PASSED


rig.main(case, FOLDER)
