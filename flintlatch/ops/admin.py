"""The second address: HTTP/1.1, one call a connection, answered at once whatever clients do."""

from __future__ import annotations

import asyncio
import socket
from typing import Protocol, cast

import httptools

from flintlatch.net.frontend import PHRASES, open_listener
from flintlatch.ops.calls import Call, NoCall, read_call

MOST_CALLERS = 12  # at once; they come out of the descriptors that the program keeps for itself
MOST_BYTES = 8 * 1024  # of one call: none has a body that is read
CALL_S = 4.0  # s that a caller may take; one more than `MOST_CALLERS` ends the oldest before
LINGER_S = 1.0  # s that a caller may take to close, once it has its answer


class Staff(Protocol):
    """Who carries the calls out."""

    def takes_clients(self) -> bool: ...
    def stats(self) -> str: ...
    def start_drain(self) -> None: ...
    def stop_drain(self) -> None: ...


class Caller(asyncio.Protocol):
    def __init__(self, admin: Admin) -> None:
        self.admin = admin
        self.transport: asyncio.Transport
        self.parser: httptools.HttpRequestParser | None = httptools.HttpRequestParser(self)
        self.target, self.size = b"", 0
        self.timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.admin.came(self)
        self.timer = self.admin.loop.call_later(CALL_S, self.transport.abort)

    def connection_lost(self, exc: Exception | None) -> None:
        if self.timer is not None:
            self.timer.cancel()
        self.parser = None  # it holds this connection in turn
        self.admin.callers.pop(self, None)

    def data_received(self, data: bytes) -> None:
        if self.parser is None:
            return  # answered; what else it says is dropped
        self.size += len(data)
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._answer(400, "not a call of HTTP/1.1\n")
        if self.parser is not None and self.size > MOST_BYTES:
            self._answer(413, f"a call holds at most {MOST_BYTES} bytes\n")

    def on_url(self, url: bytes) -> None:
        self.target += url

    def on_message_complete(self) -> None:
        if self.parser is None:
            return
        try:
            call = read_call(self.parser.get_method(), self.target)
        except NoCall as error:
            self._answer(error.status, error.text + "\n")
        else:
            self._answer(*self.admin.carry_out(call))

    def _answer(self, status: int, text: str) -> None:
        self.parser = None
        body = text.encode()
        head = (
            f"HTTP/1.1 {status} {PHRASES[status].decode()}\r\ncontent-type: text/plain; charset=utf-8\r\n"
            f"cache-control: no-store\r\ncontent-length: {len(body)}\r\nconnection: close\r\n\r\n"
        )
        if self.transport.is_closing():
            return
        self.transport.write(head.encode() + body)
        self.transport.write_eof()
        if self.timer is not None:
            self.timer.cancel()
        self.timer = self.admin.loop.call_later(LINGER_S, self.transport.abort)


class Admin:
    def __init__(self, staff: Staff, listener: socket.socket) -> None:
        self.staff, self.listener = staff, listener
        self.callers: dict[Caller, None] = {}  # oldest first
        self.loop = asyncio.get_running_loop()
        self.server: asyncio.Server | None = None

    @classmethod
    async def open(cls, address: str, staff: Staff) -> Admin:
        """Listen at `host:port`; OSError if the address is not to be had."""
        admin = cls(staff, open_listener(address))
        admin.server = await admin.loop.create_server(lambda: Caller(admin), sock=admin.listener)
        return admin

    @property
    def address(self) -> str:
        return "{}:{}".format(*self.listener.getsockname()[:2])

    def came(self, caller: Caller) -> None:
        if len(self.callers) >= MOST_CALLERS:
            oldest = next(iter(self.callers))
            del self.callers[oldest]
            oldest.transport.abort()
        self.callers[caller] = None

    def carry_out(self, call: Call) -> tuple[int, str]:
        """The answer's status and text."""
        if call is Call.READINESS:
            return (200, "ready\n") if self.staff.takes_clients() else (503, "not taking clients\n")
        if call is Call.STATS:
            return 200, self.staff.stats()
        if call is Call.DRAIN_START:
            self.staff.start_drain()
            return 200, "sending clients away\n"
        self.staff.stop_drain()
        return 200, "taking clients\n"

    def close(self) -> None:
        if self.server is not None:
            self.server.close()
        for caller in list(self.callers):
            caller.transport.abort()
