"""HTTP/1.1 parts that connections share: header lists, and the client side of one exchange at a time."""

from __future__ import annotations

import asyncio
from typing import NamedTuple, cast

import httptools

MAX_BODY = 64 * 1024
MAX_HEAD = 16 * 1024
Headers = list[tuple[bytes, bytes]]  # names in lower case

# RFC 9110, 7.6.1, and what each side of the proxy writes for itself.
NOT_FORWARDED = frozenset(
    (b"connection", b"keep-alive", b"proxy-authenticate", b"proxy-authorization", b"proxy-connection", b"te",
     b"trailer", b"transfer-encoding", b"upgrade", b"expect", b"content-length")
)  # fmt: skip


def end_to_end(headers: Headers, *dropped: bytes) -> bytes:
    """Header lines that a proxy passes on; `dropped` are those that it words anew."""
    named = {
        token.strip().lower()
        for name, value in headers
        if name == b"connection"
        for token in value.split(b",")
    }
    return b"".join(
        b"%b: %b\r\n" % (name, value)
        for name, value in headers
        if name not in NOT_FORWARDED and name not in dropped and name not in named
    )


def split_address(address: str) -> tuple[str, int]:
    """`host:port` as two values; ValueError if it is not of that form."""
    host, colon, port = address.rpartition(":")
    if not host or not colon or not port.isascii() or not port.isdigit() or not 0 <= int(port) < 65536:
        raise ValueError(f"not an address: {address!r}")
    return host.strip("[]"), int(port)


class Response(NamedTuple):
    status: int
    headers: Headers
    body: bytes

    def header(self, name: bytes) -> bytes | None:
        return next((value for key, value in self.headers if key == name), None)


class Exchange(asyncio.Protocol):
    """A connection to a server that carries one exchange at a time.

    The owner overrides the `on_` methods below. `on_response` or `on_broken` ends an exchange, once.
    """

    def __init__(self, max_body: int = MAX_BODY) -> None:
        self.transport: asyncio.Transport | None = None
        self.max_body = max_body
        self.waiting = False  # a request is out and its answer is not here
        self.usable = True  # another exchange may follow
        self.unsent = False  # a part of the request has surely not left

    def on_response(self, response: Response) -> None:
        raise NotImplementedError

    def on_broken(self) -> None:
        """It can't be used any more; an exchange that was out has no answer."""
        raise NotImplementedError

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        # With no room to buffer, a write goes to the kernel at once, and what is left over can be seen.
        self.transport.set_write_buffer_limits(high=0)

    def ask(self, request: bytes) -> None:
        assert self.transport is not None
        self._parser = httptools.HttpResponseParser(self)
        self._headers: Headers = []
        self._body = bytearray()
        self._head_size, self._framed, self._head_done, self._done, self._keep = 0, False, False, False, False
        self.waiting, self.unsent = True, False
        self.transport.write(request)
        if self.transport.is_closing():
            self.unsent = True  # the write itself failed

    def pause_writing(self) -> None:
        self.unsent = True

    def resume_writing(self) -> None:
        self.unsent = False

    def close(self) -> None:
        """Give it up, with whatever it carries; nothing is reported any more."""
        self.waiting = self.usable = False
        if self.transport is not None:
            self.transport.abort()

    def _break(self) -> None:
        if self.usable or self.waiting:
            self.close()
            self.on_broken()

    def data_received(self, data: bytes) -> None:
        if not self.waiting:
            self._break()  # unasked bytes: an answer to nobody must never meet the next request
            return
        self._head_size += 0 if self._head_done else len(data)
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._keep = False
            if not self._done:
                self._break()
                return
        if self._done:
            self._finish()
        elif len(self._body) > self.max_body or (not self._head_done and self._head_size > MAX_HEAD):
            self._break()

    def _finish(self) -> None:
        # Answered before the request was written whole: its rest must not run into the next one.
        self.waiting, self.usable = False, self._keep and not self.unsent
        if not self.usable and self.transport is not None:
            self.transport.abort()
        self.on_response(Response(self._status, self._headers, bytes(self._body)))

    def eof_received(self) -> bool:
        if self.waiting and self._head_done and not self._framed:
            self._keep = False  # a body that ends with the connection
            self._finish()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        self._break()

    # httptools calls these

    def on_message_begin(self) -> None:
        if self._done:
            self._keep = False  # a second answer to one request

    def on_header(self, name: bytes, value: bytes) -> None:
        name = name.lower()
        if name in (b"content-length", b"transfer-encoding"):
            self._framed = True
        if not self._done:
            self._headers.append((name, value))

    def on_headers_complete(self) -> None:
        if not self._done:
            self._status, self._head_done = self._parser.get_status_code(), True

    def on_body(self, body: bytes) -> None:
        if not self._done and len(self._body) <= self.max_body:
            self._body += body

    def on_message_complete(self) -> None:
        if self._done:
            return
        if self._status < 200:  # interim; the real answer follows
            self._headers, self._head_done, self._framed, self._head_size = [], False, False, 0
            return
        self._done, self._keep = len(self._body) <= self.max_body, self._parser.should_keep_alive()
