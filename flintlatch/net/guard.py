"""Turns an exception that no code expected into the end of its connection, a log line and a count.

The event loop only logs an exception of a callback; what the callback was working for would stay without an
outcome.
"""

from __future__ import annotations

import asyncio
import traceback
from typing import Protocol

from flintlatch.net.log import log


class BugReports:
    """Logs and counts unexpected exceptions. There is one object for the process, as of the log."""

    def __init__(self) -> None:
        self.count = 0

    def report(self, where: str, error: BaseException | None) -> None:
        self.count += 1
        text = "".join(traceback.format_exception(error)).strip() if error is not None else "no exception"
        log(f"bug: {where}: {text}")


bugs = BugReports()


class GuardedConnection(Protocol):
    """A protocol of asyncio that can end its connection in any state."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None: ...
    def connection_lost(self, exc: Exception | None) -> None: ...
    def data_received(self, data: bytes) -> None: ...
    def eof_received(self) -> bool | None: ...
    def pause_writing(self) -> None: ...
    def resume_writing(self) -> None: ...

    def on_callback_error(self) -> None:
        """One of the methods above has raised: gives what the connection works for an outcome."""


class CallbackGuard(asyncio.Protocol):
    """The protocol object of one transport, which passes its callbacks on to a connection."""

    __slots__ = ("connection", "transport")

    def __init__(self, connection: GuardedConnection) -> None:
        self.connection = connection
        self.transport: asyncio.BaseTransport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport
        try:
            self.connection.connection_made(transport)
        except Exception as error:
            self._fail("connection_made", error)

    def connection_lost(self, exc: Exception | None) -> None:
        try:
            self.connection.connection_lost(exc)
        except Exception as error:
            self._fail("connection_lost", error)
        self.transport = None

    def data_received(self, data: bytes) -> None:
        try:
            self.connection.data_received(data)
        except Exception as error:
            self._fail("data_received", error)

    def eof_received(self) -> bool | None:
        try:
            return self.connection.eof_received()
        except Exception as error:
            self._fail("eof_received", error)
            return None

    def pause_writing(self) -> None:
        try:
            self.connection.pause_writing()
        except Exception as error:
            self._fail("pause_writing", error)

    def resume_writing(self) -> None:
        try:
            self.connection.resume_writing()
        except Exception as error:
            self._fail("resume_writing", error)

    def _fail(self, callback: str, error: Exception) -> None:
        where = f"{type(self.connection).__name__}.{callback}"
        bugs.report(where, error)
        try:
            self.connection.on_callback_error()
        except Exception as second_error:
            bugs.report(f"{where}, the end of its connection", second_error)
            if isinstance(self.transport, asyncio.Transport):
                self.transport.abort()
