"""The channel between a supervisor and a process that it started: JSON Lines over a Unix socket pair."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from typing import Any, cast

import orjson

MAX_LINE_BYTES = 64 * 1024 * 1024  # enough for a list of 100,000 nodes
ChannelMessage = dict[str, Any]


class Channel(asyncio.Protocol):
    """Calls `on_message` for each object, and `on_closed` once: when the other side is gone, when it has sent
    a line that is too long or not JSON, or when this side calls `close`. Messages sent after that are
    dropped."""

    def __init__(self, on_message: Callable[[ChannelMessage], None], on_closed: Callable[[], None]) -> None:
        self.on_message, self.on_closed = on_message, on_closed
        self.transport: asyncio.Transport | None = None
        self.buffer = bytearray()
        self.closed = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        self.buffer += data
        # Without a newline in `data`, no line is complete: the buffer never holds one from before.
        *lines, incomplete = self.buffer.split(b"\n") if b"\n" in data else (self.buffer,)
        self.buffer = bytearray(incomplete)
        for line in lines:
            try:
                message = orjson.loads(line)
            except orjson.JSONDecodeError:
                self.close()
                return
            if not self.closed and isinstance(message, dict):
                self.on_message(message)
        if len(self.buffer) > MAX_LINE_BYTES:
            self.close()

    def connection_lost(self, exc: Exception | None) -> None:
        self._notify_closed()

    def send(self, message: ChannelMessage) -> None:
        if self.transport is not None and not self.transport.is_closing():
            self.transport.write(orjson.dumps(message) + b"\n")

    def unsent_bytes(self) -> int:
        """Bytes in the write buffer, which the other side has not read fast enough."""
        return self.transport.get_write_buffer_size() if self.transport is not None else 0

    def close(self) -> None:
        if self.transport is not None:
            self.transport.close()
        self._notify_closed()

    def _notify_closed(self) -> None:
        if not self.closed:
            self.closed = True
            self.on_closed()


async def open_channel(
    sock: socket.socket, on_message: Callable[[ChannelMessage], None], on_closed: Callable[[], None]
) -> Channel:
    sock.setblocking(False)
    loop = asyncio.get_running_loop()
    _, channel = await loop.create_unix_connection(lambda: Channel(on_message, on_closed), sock=sock)
    return channel
