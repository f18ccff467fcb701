"""Long bodies for measurements: a node that sends and takes them, a relay that only passes bytes, a client.

The body of every export and upload is a stretch of one endless pattern, so that a digest can be told
without the other side. The node's paths:

    GET  /export/BYTES[/chunked]     so many bytes of the pattern
    PUT  /upload[/digest]            JSON: how many bytes came, and their SHA-256 where asked for
    GET  /hang                       a head and half of its body, and then nothing
    GET  /mute                       nothing
    GET  /small                      two bytes
"""

from __future__ import annotations

import asyncio
import hashlib
import json
from random import Random
from typing import cast

import httptools

BLOCK_BYTES = 65_521  # a prime: a stretch that is shifted by any buffer's size does not fit
PATTERN = Random(20).randbytes(BLOCK_BYTES)
TWICE = PATTERN + PATTERN
HIGH_BYTES = 256 * 1024


def stretch(place: int, size: int) -> bytes:
    """`size` bytes of the pattern, at most BLOCK_BYTES, from `place` on."""
    start = place % BLOCK_BYTES
    return TWICE[start : start + size]


def digest(size: int) -> str:
    """SHA-256 of the pattern's first `size` bytes."""
    found = hashlib.sha256()
    for _ in range(size // BLOCK_BYTES):
        found.update(PATTERN)
    found.update(PATTERN[: size % BLOCK_BYTES])
    return found.hexdigest()


class Sender:
    """Writes a stretch of the pattern as fast as the other side takes it."""

    def __init__(self, transport: asyncio.Transport, size: int, chunked: bool) -> None:
        self.transport, self.size, self.chunked = transport, size, chunked
        self.place, self.paused = 0, False
        self.done = False

    def go_on(self) -> None:
        while not self.paused and self.place < self.size and not self.transport.is_closing():
            piece = stretch(self.place, min(BLOCK_BYTES, self.size - self.place))
            self.place += len(piece)
            if self.chunked:
                self.transport.writelines((b"%x\r\n" % len(piece), piece, b"\r\n"))
            else:
                self.transport.write(piece)
        if self.place >= self.size and not self.done:
            self.done = True
            if self.chunked:
                self.transport.write(b"0\r\n\r\n")


class BulkNode(asyncio.Protocol):
    """One connection."""

    def __init__(self) -> None:
        self.transport: asyncio.Transport
        self.parser = httptools.HttpRequestParser(self)
        self.url = b""
        self.body_size = 0
        self.sha: hashlib._Hash | None = None
        self.sender: Sender | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.transport.set_write_buffer_limits(high=HIGH_BYTES)

    def data_received(self, data: bytes) -> None:
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self.transport.close()

    def pause_writing(self) -> None:
        if self.sender is not None:
            self.sender.paused = True

    def resume_writing(self) -> None:
        if self.sender is not None:
            self.sender.paused = False
            self.sender.go_on()

    def on_message_begin(self) -> None:
        self.url, self.body_size = b"", 0

    def on_url(self, url: bytes) -> None:
        self.url += url

    def on_headers_complete(self) -> None:
        self.sha = hashlib.sha256() if self.url.endswith(b"/digest") else None

    def on_body(self, body: bytes) -> None:
        self.body_size += len(body)
        if self.sha is not None:
            self.sha.update(body)

    def on_message_complete(self) -> None:
        parts = self.url.decode().strip("/").split("/")
        if parts[0] == "export":
            size, chunked = int(parts[1]), "chunked" in parts
            framing = b"Transfer-Encoding: chunked" if chunked else b"Content-Length: %d" % size
            self.transport.write(b"HTTP/1.1 200 OK\r\n%b\r\n\r\n" % framing)
            self.sender = Sender(self.transport, size, chunked)
            self.sender.go_on()
        elif parts[0] == "hang":
            self.transport.write(b"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf.")
        elif parts[0] != "mute":
            told = {"bytes": self.body_size, "sha256": self.sha.hexdigest() if self.sha else ""}
            body = b"ok" if parts[0] == "small" else json.dumps(told).encode()
            self.transport.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))


class _End(asyncio.Protocol):
    """One end of a relayed connection."""

    def __init__(self) -> None:
        self.transport: asyncio.Transport | None = None
        self.other: _End | None = None
        self.early: list[bytes] = []

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        if self.other is None or self.other.transport is None:
            self.early.append(data)
        else:
            self.other.transport.write(data)

    def pause_writing(self) -> None:
        if self.other is not None and self.other.transport is not None:
            self.other.transport.pause_reading()

    def resume_writing(self) -> None:
        if self.other is not None and self.other.transport is not None:
            self.other.transport.resume_reading()

    def connection_lost(self, exc: Exception | None) -> None:
        if self.other is not None and self.other.transport is not None:
            self.other.transport.close()


class Relay(_End):
    """A client's end; the node's is opened with it. What a process costs that only passes bytes on."""

    def __init__(self, host: str, port: int) -> None:
        super().__init__()
        self.host, self.port = host, port
        self.opener: asyncio.Task[None] | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        self.opener = asyncio.get_running_loop().create_task(self._open())

    async def _open(self) -> None:
        end = _End()
        end.other = self
        await asyncio.get_running_loop().create_connection(lambda: end, self.host, self.port)
        self.other = end
        assert end.transport is not None
        for data in self.early:
            end.transport.write(data)
        self.early.clear()


class BulkClient(asyncio.Protocol):
    """One request at a time on a kept connection; bodies are made and dropped here."""

    def __init__(self) -> None:
        self.transport: asyncio.Transport
        self.sender: Sender | None = None
        self.sha: hashlib._Hash | None = None
        self.body = b""  # of short answers
        self.body_size = self.status = 0
        self.done: asyncio.Future[None]
        self.parser: httptools.HttpResponseParser | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.transport.set_write_buffer_limits(high=HIGH_BYTES)

    def connection_lost(self, exc: Exception | None) -> None:
        if self.parser is not None and not self.done.done():
            self.done.set_exception(exc or ConnectionResetError("closed within the answer"))

    def data_received(self, data: bytes) -> None:
        if self.parser is not None:
            self.parser.feed_data(data)

    def pause_writing(self) -> None:
        if self.sender is not None:
            self.sender.paused = True

    def resume_writing(self) -> None:
        if self.sender is not None:
            self.sender.paused = False
            self.sender.go_on()

    def on_headers_complete(self) -> None:
        assert self.parser is not None
        self.status = self.parser.get_status_code()

    def on_body(self, body: bytes) -> None:
        self.body_size += len(body)
        if self.sha is not None:
            self.sha.update(body)
        if self.body_size <= 4096:
            self.body += body

    def on_message_complete(self) -> None:
        if not self.done.done():
            self.done.set_result(None)

    async def ask(self, head: bytes, upload: int = 0, chunked: bool = False, digest: bool = False) -> int:
        """The status. `head`: request line and fields, without framing and the empty line."""
        self.parser = httptools.HttpResponseParser(self)
        self.done = asyncio.get_running_loop().create_future()
        self.body_size, self.body = 0, b""
        self.sha = hashlib.sha256() if digest else None
        framing = b""
        if upload:
            framing = b"Transfer-Encoding: chunked\r\n" if chunked else b"Content-Length: %d\r\n" % upload
        self.transport.write(head + framing + b"\r\n")
        self.sender = Sender(self.transport, upload, chunked) if upload else None
        if self.sender is not None:
            self.sender.go_on()
        await self.done
        return self.status


async def connect(address: str) -> BulkClient:
    host, _, port = address.rpartition(":")
    _, client = await asyncio.get_running_loop().create_connection(BulkClient, host, int(port))
    return client


async def serve_node(listen: str = "127.0.0.1:0") -> asyncio.Server:
    host, _, port = listen.rpartition(":")
    return await asyncio.get_running_loop().create_server(BulkNode, host, int(port), backlog=4096)


async def serve_relay(node: str, listen: str = "127.0.0.1:0") -> asyncio.Server:
    host, _, port = listen.rpartition(":")
    to_host, _, to_port = node.rpartition(":")
    return await asyncio.get_running_loop().create_server(
        lambda: Relay(to_host, int(to_port)), host, int(port), backlog=4096
    )


def address_of(server: asyncio.Server) -> str:
    return "{}:{}".format(*server.sockets[0].getsockname()[:2])
