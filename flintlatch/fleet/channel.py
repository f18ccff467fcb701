"""The channel between a supervisor and a process it started: JSON objects, one a line, over a socket pair."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from typing import Any, cast

import orjson

MOST_LINE = 64 * 1024 * 1024  # bytes: a list of a hundred thousand nodes; a longer line is no message
Message = dict[str, Any]


class Channel(asyncio.Protocol):
    """Calls `on_message` for each object and `on_end` once, when the other side is gone or not to be
    understood. What is said after that is dropped."""

    def __init__(self, on_message: Callable[[Message], None], on_end: Callable[[], None]) -> None:
        self.on_message, self.on_end = on_message, on_end
        self.transport: asyncio.Transport | None = None
        self.rest = bytearray()
        self.ended = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        self.rest += data
        *lines, last = self.rest.split(b"\n") if b"\n" in data else (self.rest,)
        self.rest = bytearray(last)
        for line in lines:
            try:
                message = orjson.loads(line)
            except orjson.JSONDecodeError:
                self.close()
                return
            if not self.ended and isinstance(message, dict):
                self.on_message(message)
        if len(self.rest) > MOST_LINE:
            self.close()

    def connection_lost(self, exc: Exception | None) -> None:
        self._end()

    def say(self, message: Message) -> None:
        if self.transport is not None and not self.transport.is_closing():
            self.transport.write(orjson.dumps(message) + b"\n")

    def unread(self) -> int:
        """Bytes said that the other side has left no room for."""
        return self.transport.get_write_buffer_size() if self.transport is not None else 0

    def close(self) -> None:
        if self.transport is not None:
            self.transport.close()
        self._end()

    def _end(self) -> None:
        if not self.ended:
            self.ended = True
            self.on_end()


async def open_channel(
    sock: socket.socket, on_message: Callable[[Message], None], on_end: Callable[[], None]
) -> Channel:
    sock.setblocking(False)
    loop = asyncio.get_running_loop()
    _, channel = await loop.create_unix_connection(lambda: Channel(on_message, on_end), sock=sock)
    return channel
