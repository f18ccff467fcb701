"""The clients of the soak with long bodies, and those that stay behind bytes that can't be read.

Each judges its own end, unless the harness has interrupted a server or the program since its request was
sent.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Awaitable, Callable, Coroutine, Mapping
from contextlib import suppress
from math import inf
from random import Random
from typing import Any, cast

from flintlatch.api import Effect, RequestClass
from flintlatch.net.clock import now_ms
from flintlatch.net.sending import unsent_bytes
from flintlatch.standin.ledger import RequestRecord
from flintlatch.standin.soak.audit import LATE_MS, Audit

STAYING_CLIENTS, SLOW_READERS, UPLOADERS = 6, 4, 6  # started by one event
UPLOADS_EACH = 8  # of an uploader, one after another
BUDGET_MS = 900
SLACK_MS = 50.0  # of each time limit on sockets
BAD_CLIENT_END_S = 3.0
BEHIND_DELAY_S = 0.01  # shorter than a server's work
LONG_RESPONSE_BYTES = (300_000, 600_000)
READ_BYTES, READ_BYTES_PER_S = 8192, 160_000
RECEIVE_BUFFER_BYTES = 64 * 1024
UPLOAD_BYTES, PIECE_BYTES, PIECE_PAUSE_S = 250_000, (1024, 48 * 1024), 0.001
SMALL_CHUNK_CLIENTS, SMALL_CHUNK, SMALL_CHUNKS = 2, b"8\r\nxxxxxxxx\r\n", 400_000
PIPELINES, PIPELINED, PIPELINED_REQUESTS = 2, b"GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n", 40_000
BLOCK_PIECES = 4096  # written at once
UNREADABLE = (
    b"POST /answer HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\nhello!",
    b"\x16\x03\x01 no request\r\n\r\n",
    b"POST /answer HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: gzip\r\n\r\n",
)


class TransferClients:
    def __init__(self, address: str, classes: Mapping[str, RequestClass], audit: Audit, seed: int) -> None:
        self.address, self.classes, self.audit = address, classes, audit
        self.random = Random(f"{seed}/transfers")
        self.tasks: set[asyncio.Task[None]] = set()
        self.count = 0
        self.ended: list[str] = []  # what became of each client that was judged

    def start_staying(self) -> None:
        self._start(STAYING_CLIENTS, self._stay)

    def start_slow_readers(self) -> None:
        self._start(SLOW_READERS, self._read_slowly)

    def start_uploads(self) -> None:
        for _ in range(UPLOADERS):
            self._task(self._upload_repeatedly())

    def start_small_chunks(self) -> None:
        self._start(SMALL_CHUNK_CLIENTS, self._upload_in_small_chunks)

    def start_pipelines(self) -> None:
        self._start(PIPELINES, self._pipeline)

    async def finish(self) -> None:
        """Waits for the clients that are still open; the program has ended."""
        await asyncio.gather(*self.tasks, return_exceptions=True)

    def close(self) -> None:
        for task in list(self.tasks):
            task.cancel()

    def _start(self, number: int, client: Callable[[float], Awaitable[None]]) -> None:
        for _ in range(number):
            self._task(self._run(client))

    def _task(self, coroutine: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _run(self, client: Callable[[float], Awaitable[None]]) -> None:
        """A client that is not accepted, or whose connection ends, has judged that itself."""
        with suppress(OSError, asyncio.IncompleteReadError):
            await client(now_ms())

    def _judge(self, broken: bool, since_ms: float, detail: str) -> None:
        if self.audit.interrupted_ms >= since_ms:
            return
        self.ended.append(detail)
        if broken:
            self.audit.add("lost", detail)

    def _request(self, path: str, fields: str = "", body_bytes: int = 0) -> tuple[RequestRecord, bytes]:
        """A request, which is in the ledger for the rules on its effect."""
        self.count += 1
        spec = self.classes[path.split("/")[1]]
        call_id = f"long-{self.count}-{self.random.getrandbits(32):08x}"
        keyed = spec.effect is Effect.KEYED
        record = RequestRecord(call_id, spec, call_id if keyed else None, now_ms(), now_ms() + BUDGET_MS)
        record.excused = "judged by its client"
        self.audit.ledger.ask(record)
        method = "GET" if spec.effect is Effect.SAFE else "POST"
        lines = [f"{method} {path} HTTP/1.1", "Host: x", f"X-Call-Id: {call_id}", f"X-Budget-Ms: {BUDGET_MS}"]
        if keyed:
            lines.append(f"Idempotency-Key: {call_id}")
        if body_bytes:
            lines.append(f"Content-Length: {body_bytes}")
        return record, ("\r\n".join(lines) + f"\r\n{fields}\r\n").encode()

    async def _connect(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        host, _, port = self.address.rpartition(":")
        sock = socket.socket()
        sock.setblocking(False)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        await asyncio.get_running_loop().sock_connect(sock, (host, int(port)))
        return await asyncio.open_connection(sock=sock, limit=READ_BYTES)

    async def _stay(self, since_ms: float) -> None:
        """Sends bytes that can't be read behind an open request, reads, and stays."""
        reader, writer = await self._connect()
        try:
            _, message = self._request("/answer/stays")
            writer.write(message)
            await asyncio.sleep(BEHIND_DELAY_S)
            writer.write(self.random.choice(UNREADABLE))
            await reader.readuntil(b"\r\n\r\n")  # so it was accepted
            ended = False
            with suppress(TimeoutError):
                async with asyncio.timeout(BAD_CLIENT_END_S):
                    ended = await reader.read(-1) is not None
            self._judge(not ended, since_ms, f"a bad client that stays: {'an' if ended else 'no'} end")
        finally:
            writer.transport.abort()

    async def _read_slowly(self, since_ms: float) -> None:
        """Reads a long response slowly, on a connection that closes after it."""
        reader, writer = await self._connect()
        try:
            size = self.random.randint(*LONG_RESPONSE_BYTES)
            _, message = self._request(f"/answer/long?size={size}", "Connection: close\r\n")
            writer.write(message)
            head = await reader.readuntil(b"\r\n\r\n")
            if b" 200 " not in head:
                return
            received = 0
            with suppress(ConnectionError):
                while piece := await reader.read(READ_BYTES):
                    received += len(piece)
                    await asyncio.sleep(len(piece) / READ_BYTES_PER_S)
            self._judge(received != size, since_ms, f"a response read slowly: {received} of {size} bytes")
        finally:
            writer.transport.abort()

    async def _upload_in_small_chunks(self, since_ms: float) -> None:
        """Sends a long body in chunks of a few bytes; the audit judges what others wait for meanwhile."""
        reader, writer = await self._connect()
        try:
            record, message = self._request("/purchase/long", "Transfer-Encoding: chunked\r\n")
            record.deadline_ms = inf  # its time counts from its last byte
            writer.write(message)
            await self._write_pieces(writer, SMALL_CHUNK, SMALL_CHUNKS)
            writer.write(b"0\r\n\r\n")
            answer = (await reader.readuntil(b"\r\n")).decode().strip()
            self._judge(not answer.startswith("HTTP/1.1 "), since_ms, f"an upload in small chunks: {answer}")
        finally:
            writer.transport.abort()

    async def _pipeline(self, since_ms: float) -> None:
        """Sends requests that are answered at once, without waiting for their answers, which it reads."""
        reader, writer = await self._connect()
        reading = asyncio.create_task(self._read_all(reader))
        try:
            await self._write_pieces(writer, PIPELINED, PIPELINED_REQUESTS)
        finally:
            reading.cancel()
            writer.transport.abort()

    @staticmethod
    async def _read_all(reader: asyncio.StreamReader) -> None:
        while await reader.read(READ_BYTES):
            pass

    @staticmethod
    async def _write_pieces(writer: asyncio.StreamWriter, piece: bytes, count: int) -> None:
        for _ in range(count // BLOCK_PIECES):
            writer.write(piece * BLOCK_PIECES)
            await writer.drain()

    async def _upload_repeatedly(self) -> None:
        for _ in range(UPLOADS_EACH):
            await self._run(self._upload)

    async def _upload(self, since_ms: float) -> None:
        """Sends a long body in pieces; its servers may reset the connection within it."""
        reader, writer = await self._connect()
        try:
            record, message = self._request("/purchase/long", body_bytes=UPLOAD_BYTES)
            record.deadline_ms = inf  # its time counts from its last byte
            writer.write(message)
            left = UPLOAD_BYTES
            while left and not reader.at_eof() and not writer.transport.is_closing():
                size = min(left, self.random.randint(*PIECE_BYTES))
                if size == left:
                    record.sent_ms, record.deadline_ms = now_ms(), now_ms() + BUDGET_MS
                writer.write(b"x" * size)
                left -= size
                await writer.drain()
                await asyncio.sleep(self.random.uniform(0, PIECE_PAUSE_S))
            while unsent_bytes(cast(asyncio.Transport, writer.transport)):
                await asyncio.sleep(0.001)
            answer = "no answer"
            try:
                async with asyncio.timeout((BUDGET_MS + SLACK_MS + LATE_MS) / 1000):
                    answer = (await reader.readuntil(b"\r\n")).decode().strip()
            except TimeoutError:
                pass
            except (ConnectionError, asyncio.IncompleteReadError):
                answer = "closed with no answer"
            self._judge("answer" in answer, since_ms, f"an upload: {answer}")
        finally:
            writer.transport.abort()
