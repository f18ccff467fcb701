"""The admin address: HTTP/1.1 with one call per connection, answered immediately even if clients use all
connections."""

from __future__ import annotations

import asyncio
import socket
from typing import Protocol, cast

import httptools

from flintlatch.net.client import REASON_PHRASES
from flintlatch.net.connections import linger_expiry
from flintlatch.net.listener import open_listener
from flintlatch.net.receiving import Receiver, StreamConnection
from flintlatch.net.sending import OutputProgress, unsent_bytes
from flintlatch.net.transient import retry_transient
from flintlatch.net.turns import TurnSchedule
from flintlatch.ops.calls import Call, CallError, read_call

MAX_CONNECTIONS = 12  # at once; from the descriptors reserved for the process itself
MAX_CALL_BYTES = 8 * 1024  # no call has a body that is used
CALL_TIMEOUT_S = 4.0  # a connection may be closed earlier, as the oldest of more than MAX_CONNECTIONS
LINGER_CHECK_INTERVAL_S = 0.25  # between two looks at a connection whose response is written


class AdminActions(Protocol):
    """What the calls do; implemented by `Operations`."""

    def accepts_clients(self) -> bool: ...
    def stats(self) -> str: ...
    def start_drain(self) -> None: ...
    def stop_drain(self) -> None: ...


class AdminConnection(StreamConnection):
    """A connection to the admin address, which carries one call."""

    def __init__(self, admin: AdminServer) -> None:
        self.admin = admin
        self.transport: asyncio.Transport
        self.parser: httptools.HttpRequestParser | None = httptools.HttpRequestParser(self)
        self.target, self.received_bytes = b"", 0
        self.timer: asyncio.TimerHandle | None = None
        self.progress: OutputProgress  # of the response, once it is written

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.admin.add_connection(self)
        self.timer = self.admin.loop.call_later(CALL_TIMEOUT_S, self.transport.abort)

    def on_callback_error(self) -> None:
        self.transport.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        if self.timer is not None:
            self.timer.cancel()
        self.parser = None  # breaks the reference cycle, which only the garbage collector would free
        self.admin.connections.pop(self, None)

    def data_received(self, data: bytes) -> None:
        if self.parser is None:
            return  # already answered: further bytes are dropped
        self.received_bytes += len(data)
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._answer(400, "not a call of HTTP/1.1\n")
        if self.parser is not None and self.received_bytes > MAX_CALL_BYTES:
            self._answer(413, f"a call holds at most {MAX_CALL_BYTES} bytes\n")

    def on_url(self, url: bytes) -> None:
        self.target += url

    def on_message_complete(self) -> None:
        if self.parser is None:
            return
        try:
            call = read_call(self.parser.get_method(), self.target)
        except CallError as error:
            self._answer(error.status, error.text + "\n")
        else:
            self._answer(*self.admin.execute(call))

    def _answer(self, status: int, text: str) -> None:
        self.parser = None
        body = text.encode()
        head = (
            f"HTTP/1.1 {status} {REASON_PHRASES[status].decode()}\r\n"
            f"content-type: text/plain; charset=utf-8\r\n"
            f"cache-control: no-store\r\ncontent-length: {len(body)}\r\nconnection: close\r\n\r\n"
        )
        if self.transport.is_closing():
            return
        self.transport.write(head.encode() + body)
        self.transport.write_eof()
        if self.timer is not None:
            self.timer.cancel()
        self.progress = OutputProgress(unsent_bytes(self.transport))
        self._linger()

    def _linger(self) -> None:
        """Waits until the peer has the response and closes, within the time limits of clients."""
        if linger_expiry(self.progress, unsent_bytes(self.transport)) is not None:
            self.transport.abort()
        else:
            self.timer = self.admin.loop.call_later(LINGER_CHECK_INTERVAL_S, self._linger)


class AdminServer:
    """Listens at the admin address and executes calls."""

    def __init__(self, actions: AdminActions, listener: socket.socket) -> None:
        self.actions, self.listener = actions, listener
        self.connections: dict[AdminConnection, None] = {}  # oldest first
        self.loop = asyncio.get_running_loop()
        self.turns = TurnSchedule(self.loop.call_soon)
        self.server: asyncio.Server | None = None

    @classmethod
    async def open(cls, address: str, actions: AdminActions) -> AdminServer:
        """Listens at `host:port`. Raises OSError if the address is not available."""
        admin = cls(actions, retry_transient(lambda: open_listener(address)))
        admin.server = await admin.loop.create_server(
            lambda: Receiver(AdminConnection(admin), admin.turns), sock=admin.listener
        )
        return admin

    @property
    def address(self) -> str:
        return "{}:{}".format(*self.listener.getsockname()[:2])

    def add_connection(self, connection: AdminConnection) -> None:
        if len(self.connections) >= MAX_CONNECTIONS:
            oldest = next(iter(self.connections))
            del self.connections[oldest]
            oldest.transport.abort()
        self.connections[connection] = None

    def execute(self, call: Call) -> tuple[int, str]:
        """Executes a call. Returns the status and the text of the response."""
        if call is Call.READINESS:
            return (200, "ready\n") if self.actions.accepts_clients() else (503, "not taking clients\n")
        if call is Call.STATS:
            return 200, self.actions.stats()
        if call is Call.DRAIN_START:
            self.actions.start_drain()
            return 200, "sending clients away\n"
        self.actions.stop_drain()
        return 200, "taking clients\n"

    def close(self) -> None:
        if self.server is not None:
            self.server.close()
        for connection in list(self.connections):
            connection.transport.abort()
