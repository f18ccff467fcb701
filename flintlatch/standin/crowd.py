"""Crowds: hundreds of clients that connect at once and make the proxy hold something for each of them."""

from __future__ import annotations

import asyncio
import socket
from collections import Counter
from contextlib import suppress
from dataclasses import dataclass, field
from enum import Enum
from random import Random

from flintlatch.net.http1 import split_address

SHORT_BODY_BYTES, PART_BYTES = 60_000, 50_000
LONG_BODY_BYTES, LONG_PART_BYTES, LONG_RESPONSE_BYTES = 2_000_000, 1_000_000, 4_000_000
SMALL_BODY_BYTES = 2_000
SLOW_READ_BYTES_PER_S = 32 * 1024
READ_BYTES = 8192
CONNECT_RETRY_S = 0.005
BUDGET_MS = 700
UNAUDITED = "unaudited-"  # of the ids of requests that no ledger has


class CrowdKind(Enum):
    """What each client of a crowd sends."""

    SILENT = "silent"
    PART_OF_HEAD = "part of a head"
    LONG_HEAD = "part of a long head"
    MANY_FIELDS = "a head of very many short fields"
    MANY_ALLOWED_FIELDS = "a head of many fields, not complete"
    PART_OF_BODY = "part of a short body"
    PART_OF_CHUNKS = "part of a short body in small chunks"
    PART_OF_UPLOAD = "part of a long body"
    SMALL_REQUEST = "a small request"
    SMALL_BODY = "a request with a small body"
    SHORT_BODY = "a request with a short body"
    SLOW_READER = "reads a long response slowly"
    UNREAD_SHORT = "does not read a short response"
    REQUESTS_BEHIND = "requests with short bodies behind a long response that it does not read"
    PIPELINED = "many pipelined requests with responses that it does not read"

    @property
    def read_bytes_per_s(self) -> float:
        """How fast it reads; 0: not at all."""
        if self is CrowdKind.SLOW_READER:
            return SLOW_READ_BYTES_PER_S
        unread = (CrowdKind.UNREAD_SHORT, CrowdKind.REQUESTS_BEHIND, CrowdKind.PIPELINED)
        return 0.0 if self in unread else float("inf")


@dataclass
class CrowdReport:
    """What the clients of a crowd have seen."""

    first_lines: Counter[str] = field(default_factory=Counter)
    closed: int = 0  # by the proxy


class Crowd:
    """Clients of one address. The paths are those of the classes of the soak."""

    def __init__(self, address: str, seed: int) -> None:
        self.host, self.port = split_address(address)
        self.random = Random(f"{seed}/crowd")
        self.requests = 0

    async def run(
        self, kinds: list[CrowdKind], clients: int, hold_s: float, connect_for_s: float = 0.0
    ) -> CrowdReport:
        """Lets all clients come in one instant, of each kind in turn; they leave after `hold_s`.

        `connect_for_s`: for how long one that is refused tries again, as after a kill of the proxy."""
        report = CrowdReport()
        chosen = [kinds[number % len(kinds)] for number in range(clients)]
        await asyncio.gather(*(self._client(kind, hold_s, connect_for_s, report) for kind in chosen))
        return report

    async def _client(
        self, kind: CrowdKind, hold_s: float, connect_for_s: float, report: CrowdReport
    ) -> None:
        loop = asyncio.get_running_loop()
        with suppress(OSError):
            sock = await self._connect(loop.time() + connect_for_s)
            writing = loop.create_task(self._write(sock, self._message(kind)))
            try:
                with suppress(TimeoutError):
                    async with asyncio.timeout(hold_s):
                        await self._read(sock, kind, report)
            finally:
                writing.cancel()
                sock.close()

    async def _connect(self, until_s: float) -> socket.socket:
        loop = asyncio.get_running_loop()
        while True:
            sock = socket.socket()
            sock.setblocking(False)
            try:
                await loop.sock_connect(sock, (self.host, self.port))
                return sock
            except OSError:
                sock.close()
                if loop.time() >= until_s:
                    raise
            await asyncio.sleep(CONNECT_RETRY_S)

    @staticmethod
    async def _write(sock: socket.socket, message: bytes) -> None:
        with suppress(OSError):
            await asyncio.get_running_loop().sock_sendall(sock, message)

    @staticmethod
    async def _read(sock: socket.socket, kind: CrowdKind, report: CrowdReport) -> None:
        if not kind.read_bytes_per_s:
            await asyncio.Event().wait()
        first = True
        while data := await asyncio.get_running_loop().sock_recv(sock, READ_BYTES):
            if first:
                report.first_lines[data.partition(b"\r\n")[0].decode("latin-1")] += 1
            first = False
            await asyncio.sleep(len(data) / kind.read_bytes_per_s)
        report.closed += 1

    # Messages

    def _head(self, path: str, fields: str = "") -> bytes:
        """A head without the empty line at its end."""
        self.requests += 1
        call_id = f"{UNAUDITED}{self.requests}-{self.random.getrandbits(40):x}"
        lines = [f"{'POST' if path.startswith('/purchase') else 'GET'} {path} HTTP/1.1", "Host: x"]
        lines += [f"X-Call-Id: {call_id}", f"X-Budget-Ms: {BUDGET_MS}"]
        if path.startswith("/purchase"):
            lines.append(f"Idempotency-Key: {call_id}")
        return ("\r\n".join(lines) + f"\r\n{fields}").encode()

    def _get(self, size: int = 0) -> bytes:
        return self._head(f"/answer/x?size={size}" if size else "/answer/x") + b"\r\n"

    def _post(self, length: int, sent: int) -> bytes:
        return self._head("/purchase/x", f"Content-Length: {length}\r\n\r\n") + b"x" * sent

    def _message(self, kind: CrowdKind) -> bytes:
        match kind:
            case CrowdKind.SILENT:
                return b""
            case CrowdKind.PART_OF_HEAD:
                return self._head("/answer/x")
            case CrowdKind.LONG_HEAD:
                return self._head("/answer/x") + b"".join(
                    b"X-%d: %b\r\n" % (n, b"v" * 990) for n in range(15)
                )
            case CrowdKind.MANY_FIELDS:
                return self._head("/answer/x") + b"a:\r\n" * 4000
            case CrowdKind.MANY_ALLOWED_FIELDS:
                return self._head("/answer/x") + b"".join(b"a%d:b\r\n" % n for n in range(120))
            case CrowdKind.PART_OF_BODY:
                return self._post(SHORT_BODY_BYTES, PART_BYTES)
            case CrowdKind.PART_OF_CHUNKS:
                return self._head("/purchase/x", "Transfer-Encoding: chunked\r\n\r\n") + b"1\r\nx\r\n" * 8000
            case CrowdKind.PART_OF_UPLOAD:
                return self._post(LONG_BODY_BYTES, LONG_PART_BYTES)
            case CrowdKind.SMALL_REQUEST:
                return self._get()
            case CrowdKind.SMALL_BODY:
                return self._post(SMALL_BODY_BYTES, SMALL_BODY_BYTES)
            case CrowdKind.SHORT_BODY:
                return self._post(SHORT_BODY_BYTES, SHORT_BODY_BYTES)
            case CrowdKind.SLOW_READER:
                return self._get(LONG_RESPONSE_BYTES)
            case CrowdKind.UNREAD_SHORT:
                return self._get(SHORT_BODY_BYTES)
            case CrowdKind.REQUESTS_BEHIND:
                behind = (self._post(SHORT_BODY_BYTES, SHORT_BODY_BYTES) for _ in range(20))
                return self._get(LONG_RESPONSE_BYTES) + b"".join(behind)
            case CrowdKind.PIPELINED:
                return b"".join(self._get(SHORT_BODY_BYTES) for _ in range(50))
