"""Provides a node, a plain TCP relay and a client for measurements with long bodies.

The body of every export and upload is a prefix of one repeating pattern, so that each side can compute the
expected digest by itself. The node's paths:

    GET  /export/BYTES[/chunked]     the first BYTES bytes of the pattern
    PUT  /upload[/digest]            JSON: the size of the received body, and its SHA-256 with /digest
    GET  /hang                       the head and half of the body, and then no more data
    GET  /mute                       no answer
    GET  /small                      two bytes
"""

from __future__ import annotations

import asyncio
import hashlib
import json
from random import Random
from typing import cast

import httptools

BLOCK_BYTES = 65_521  # a prime, so that data shifted by the size of a buffer doesn't match the pattern
PATTERN = Random(20).randbytes(BLOCK_BYTES)
REPEATED_PATTERN = PATTERN + PATTERN
WRITE_BUFFER_BYTES = 256 * 1024


def pattern_slice(offset: int, size: int) -> bytes:
    """Return `size` bytes of the pattern from `offset` on; `size` is at most BLOCK_BYTES."""
    start = offset % BLOCK_BYTES
    return REPEATED_PATTERN[start : start + size]


def digest(size: int) -> str:
    """Return the SHA-256 of the first `size` bytes of the pattern, in hexadecimal."""
    sha = hashlib.sha256()
    for _ in range(size // BLOCK_BYTES):
        sha.update(PATTERN)
    sha.update(PATTERN[: size % BLOCK_BYTES])
    return sha.hexdigest()


class Sender:
    """Writes the first `size` bytes of the pattern as fast as flow control allows."""

    def __init__(self, transport: asyncio.Transport, size: int, chunked: bool) -> None:
        self.transport, self.size, self.chunked = transport, size, chunked
        self.offset, self.paused = 0, False
        self.done = False

    def resume(self) -> None:
        while not self.paused and self.offset < self.size and not self.transport.is_closing():
            chunk = pattern_slice(self.offset, min(BLOCK_BYTES, self.size - self.offset))
            self.offset += len(chunk)
            if self.chunked:
                self.transport.writelines((b"%x\r\n" % len(chunk), chunk, b"\r\n"))
            else:
                self.transport.write(chunk)
        if self.offset >= self.size and not self.done:
            self.done = True
            if self.chunked:
                self.transport.write(b"0\r\n\r\n")


class BulkNode(asyncio.Protocol):
    """A connection of the node."""

    def __init__(self) -> None:
        self.transport: asyncio.Transport
        self.parser = httptools.HttpRequestParser(self)
        self.url = b""
        self.body_size = 0
        self.sha: hashlib._Hash | None = None
        self.sender: Sender | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.transport.set_write_buffer_limits(high=WRITE_BUFFER_BYTES)

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
            self.sender.resume()

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
            self.sender.resume()
        elif parts[0] == "hang":
            self.transport.write(b"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf.")
        elif parts[0] != "mute":
            received = {"bytes": self.body_size, "sha256": self.sha.hexdigest() if self.sha else ""}
            body = b"ok" if parts[0] == "small" else json.dumps(received).encode()
            self.transport.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))


class _End(asyncio.Protocol):
    """One side of a relayed connection; `peer` is the other."""

    def __init__(self) -> None:
        self.transport: asyncio.Transport | None = None
        self.peer: _End | None = None
        self.early_data: list[bytes] = []

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        if self.peer is None or self.peer.transport is None:
            self.early_data.append(data)
        else:
            self.peer.transport.write(data)

    def pause_writing(self) -> None:
        if self.peer is not None and self.peer.transport is not None:
            self.peer.transport.pause_reading()

    def resume_writing(self) -> None:
        if self.peer is not None and self.peer.transport is not None:
            self.peer.transport.resume_reading()

    def connection_lost(self, exc: Exception | None) -> None:
        if self.peer is not None and self.peer.transport is not None:
            self.peer.transport.close()


class Relay(_End):
    """The client's side of a relayed connection, which opens the node's side.

    It forwards bytes unchanged: the baseline for the cost of a proxy.
    """

    def __init__(self, host: str, port: int) -> None:
        super().__init__()
        self.host, self.port = host, port
        self.connect_task: asyncio.Task[None] | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        self.connect_task = asyncio.get_running_loop().create_task(self._open())

    async def _open(self) -> None:
        end = _End()
        end.peer = self
        await asyncio.get_running_loop().create_connection(lambda: end, self.host, self.port)
        self.peer = end
        assert end.transport is not None
        for data in self.early_data:
            end.transport.write(data)
        self.early_data.clear()


class BulkClient(asyncio.Protocol):
    """Sends one request at a time on a keep-alive connection; generates bodies, discards answers."""

    def __init__(self) -> None:
        self.transport: asyncio.Transport
        self.sender: Sender | None = None
        self.sha: hashlib._Hash | None = None
        self.body = b""  # at most the first 4096 bytes of the answer
        self.body_size = self.status = 0
        self.done: asyncio.Future[None]
        self.parser: httptools.HttpResponseParser | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.transport.set_write_buffer_limits(high=WRITE_BUFFER_BYTES)

    def connection_lost(self, exc: Exception | None) -> None:
        if self.parser is not None and not self.done.done():
            self.done.set_exception(exc or ConnectionResetError("closed before the end of the answer"))

    def data_received(self, data: bytes) -> None:
        if self.parser is not None:
            self.parser.feed_data(data)

    def pause_writing(self) -> None:
        if self.sender is not None:
            self.sender.paused = True

    def resume_writing(self) -> None:
        if self.sender is not None:
            self.sender.paused = False
            self.sender.resume()

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
        """Send a request, and return the status of the answer.

        `head`: request line and header fields, without framing fields and the empty line.
        """
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
            self.sender.resume()
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
