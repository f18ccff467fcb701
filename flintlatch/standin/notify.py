"""Simulates the notify socket of a service manager; sd_notify(3) describes the datagrams."""

from __future__ import annotations

import asyncio
import os
import socket


class NotifySocket:
    """A notify socket. `messages` contains each datagram as a dictionary, in order of arrival."""

    def __init__(self, path: str) -> None:
        self.path = path
        self.sock = socket.socket(socket.AF_UNIX, socket.SOCK_DGRAM)
        self.sock.bind(path)
        self.sock.setblocking(False)
        self.messages: list[dict[str, str]] = []
        self.message_received = asyncio.Event()
        asyncio.get_running_loop().add_reader(self.sock.fileno(), self._read)

    def _read(self) -> None:
        while True:
            try:
                data = self.sock.recv(65536)
            except BlockingIOError:
                break
            pairs = [line.partition("=") for line in data.decode().split("\n") if line]
            self.messages.append({name: value for name, _, value in pairs})
        self.message_received.set()

    async def wait_for(self, name: str, value: str | None = None, start: int = 0) -> int:
        """Wait for a message with the variable `name`, and `value` if set.

        Returns the position after the first such message from `start` on.
        """
        while True:
            for position in range(start, len(self.messages)):
                message = self.messages[position]
                if name in message and (value is None or message[name] == value):
                    return position + 1
            self.message_received.clear()
            await self.message_received.wait()

    def close(self) -> None:
        asyncio.get_running_loop().remove_reader(self.sock.fileno())
        self.sock.close()
        os.unlink(self.path)
