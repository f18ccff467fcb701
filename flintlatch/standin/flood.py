"""Clients at full speed, in a process of their own so that they delay nobody who measures.

python -m flintlatch.standin.flood ADDRESS KIND CONNECTIONS SECONDS
"""

from __future__ import annotations

import asyncio
import socket
import sys
from contextlib import suppress
from enum import Enum
from random import Random

import uvloop

from flintlatch.net.http1 import split_address

MESSAGES_PER_WRITE = 200
READ_BYTES = 65536
CHUNKED_HEAD = (
    b"POST /purchase/x HTTP/1.1\r\nHost: x\r\nX-Call-Id: unaudited-%x\r\nX-Budget-Ms: 900\r\n"
    b"Idempotency-Key: %x\r\nTransfer-Encoding: chunked\r\n\r\n"
)


class FloodKind(Enum):
    """What every message of a flood is."""

    READY = "ready"
    UNREADABLE = "unreadable"
    REFUSED = "refused"
    VALID = "valid"
    NEW_NAMES = "new names"
    CHUNKS = "small chunks"


def message(kind: FloodKind, random: Random) -> bytes:
    name = b"%x" % random.getrandbits(64)
    match kind:
        case FloodKind.READY:
            return b"GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n"
        case FloodKind.UNREADABLE:
            return b"\x16\x03\x01 no request\r\n\r\n"
        case FloodKind.REFUSED:
            return b"GET /nothing HTTP/1.1\r\nHost: x\r\n\r\n"
        case FloodKind.VALID:
            return (
                b"GET /answer/x HTTP/1.1\r\nHost: x\r\nX-Call-Id: unaudited-%b\r\nX-Budget-Ms: 900\r\n\r\n"
                % name
            )
        case FloodKind.NEW_NAMES:
            return b"GET /%b HTTP/1.1\r\nHost: %b\r\nX-Caller: %b\r\nX-Call-Id: %b\r\n\r\n" % ((name,) * 4)
        case FloodKind.CHUNKS:
            return b"1\r\nx\r\n"


class Flood:
    def __init__(self, address: str, kind: FloodKind, seed: int = 1) -> None:
        self.target, self.kind = split_address(address), kind
        self.random = Random(f"{seed}/flood")

    async def run(self, connections: int, seconds: float) -> None:
        with suppress(TimeoutError):
            async with asyncio.timeout(seconds):
                await asyncio.gather(*(self._client() for _ in range(connections)))

    async def _client(self) -> None:
        """One connection after another, each used until the proxy ends it."""
        while True:
            with suppress(OSError), socket.socket() as sock:
                sock.setblocking(False)
                await asyncio.get_running_loop().sock_connect(sock, self.target)
                await self._use(sock)

    async def _use(self, sock: socket.socket) -> None:
        tasks = [asyncio.create_task(use(sock)) for use in (self._read, self._write)]
        try:
            await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

    @staticmethod
    async def _read(sock: socket.socket) -> None:
        while await asyncio.get_running_loop().sock_recv(sock, READ_BYTES):
            pass

    async def _write(self, sock: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        if self.kind is FloodKind.CHUNKS:
            await loop.sock_sendall(sock, CHUNKED_HEAD % ((self.random.getrandbits(64),) * 2))
        while True:
            messages = [message(self.kind, self.random) for _ in range(MESSAGES_PER_WRITE)]
            await loop.sock_sendall(sock, b"".join(messages))


async def start_flood(
    address: str, kind: FloodKind, connections: int, seconds: float
) -> asyncio.subprocess.Process:
    """Starts a flood in a process of its own, which ends by itself."""
    command = (sys.executable, "-m", "flintlatch.standin.flood", address, kind.name)
    return await asyncio.create_subprocess_exec(*command, str(connections), str(seconds))


def main(address: str, kind: str, connections: str, seconds: str) -> None:
    uvloop.run(Flood(address, FloodKind[kind]).run(int(connections), float(seconds)))


if __name__ == "__main__":
    main(*sys.argv[1:])
