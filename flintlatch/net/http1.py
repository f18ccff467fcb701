"""HTTP/1.1 parts that connections share: header lists, and the client side of one exchange at a time."""

from __future__ import annotations

import asyncio
import select
from typing import NamedTuple, cast

import httptools

MAX_BODY = 64 * 1024
MAX_HEAD = 16 * 1024
Headers = list[tuple[bytes, bytes]]  # names in lower case

MAX_INTERIM = 8  # 1xx answers ahead of the real one: more are no answer but a way to keep a client waiting
EMPTY = frozenset((204, 205, 304))  # statuses whose answers have no body, and so need not say its length


def split_address(address: str) -> tuple[str, int]:
    """`host:port` as two values; ValueError if it is not of that form."""
    host, colon, port = address.rpartition(":")
    if not host or not colon or not port.isascii() or not port.isdigit() or not 0 <= int(port) < 65536:
        raise ValueError(f"not an address: {address!r}")
    return host.strip("[]"), int(port)


def polled(transport: asyncio.Transport, events: int) -> bool:
    """Whether the kernel has any of these for an open connection, or its failure, unseen by the loop."""
    poll = select.poll()
    poll.register(transport.get_extra_info("socket").fileno(), events)
    return bool(poll.poll(0))


def unread(transport: asyncio.Transport) -> bool:
    """Whether the kernel holds bytes, or the end, of this connection that the loop has not read yet."""
    # The descriptor of one that is closing may be another's by now.
    return not transport.is_closing() and polled(transport, select.POLLIN | select.POLLRDHUP)


def hung_up(transport: asyncio.Transport) -> bool:
    """Whether the other side has ended its sending or reset the connection, whatever is unread before it."""
    return transport.is_closing() or polled(transport, select.POLLRDHUP)


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
        self.most = MAX_HEAD + 4 * max_body  # bytes of one answer as sent, so many for the framing of chunks
        self._parser: httptools.HttpResponseParser | None = None
        self.awaiting_response = False  # a request is out and its answer is not here
        self.reusable = True  # another exchange may follow
        self.unsent = False  # a part of the request has surely not left

    def on_response(self, response: Response) -> None:
        raise NotImplementedError

    def on_broken(self) -> None:
        """It can't be used any more; an exchange that was out has no answer."""
        raise NotImplementedError

    def on_written(self) -> None:
        """The kernel has all of the request."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        # With no room to buffer, a write goes to the kernel at once, and what is left over can be seen.
        self.transport.set_write_buffer_limits(high=0)

    def ask(self, request: bytes) -> None:
        assert self.transport is not None
        self._parser = httptools.HttpResponseParser(self)
        self._headers: Headers = []
        self._body = bytearray()
        self._size, self._interim = 0, 0
        self._head_done, self._spoilt, self._done, self._keep = False, False, False, False
        self.awaiting_response, self.unsent = True, False
        self.transport.write(request)
        if self.transport.is_closing():
            self.unsent = True  # the write itself failed
        if not self.unsent:
            self.on_written()

    def pause_writing(self) -> None:
        self.unsent = True

    def resume_writing(self) -> None:
        self.unsent = False
        if self.awaiting_response:
            self.on_written()

    def close(self) -> None:
        """Give it up, with whatever it carries; nothing is reported any more."""
        self.awaiting_response = self.reusable = False
        if self.transport is not None:
            self.transport.abort()

    def _break(self) -> None:
        if self.reusable or self.awaiting_response:
            self.close()
            self.on_broken()

    def data_received(self, data: bytes) -> None:
        if not self.awaiting_response:
            self._break()  # unasked bytes: an answer to nobody must never meet the next request
            return
        self._size += len(data)
        assert self._parser is not None
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._keep = False
            self._spoilt = not self._done
        if self._done:
            self._finish()
        elif self._spoilt or self._size > (self.most if self._head_done else MAX_HEAD):
            self._break()

    def _finish(self) -> None:
        # Answered before the request was written whole: its rest must not run into the next one.
        self.awaiting_response, self.reusable = False, self._keep and not self.unsent
        if not self.reusable and self.transport is not None:
            self.transport.abort()
        self.on_response(Response(self._status, self._headers, bytes(self._body)))

    def connection_lost(self, exc: Exception | None) -> None:
        self._break()
        self._parser = None  # it holds this connection in turn: nothing should wait for the collector

    # httptools calls these

    def on_message_begin(self) -> None:
        if self._done:
            self._keep = False  # a second answer to one request

    def on_header(self, name: bytes, value: bytes) -> None:
        if not self._head_done:  # else a trailer, or of an answer that nobody asked for
            self._headers.append((name.strip().lower(), value.strip(b" \t")))

    def on_headers_complete(self) -> None:
        if self._done:
            return
        assert self._parser is not None
        self._status, self._head_done = self._parser.get_status_code(), True
        if self._status < 200:
            self._interim += 1
            # 101 would make the rest something else than HTTP; nobody asked for that.
            self._spoilt = self._spoilt or self._interim > MAX_INTERIM or self._status == 101
            return
        # An answer must tell its end, and once: at the end of the connection half a body looks whole.
        lengths = [value for name, value in self._headers if name == b"content-length"]
        codings = [value for name, value in self._headers if name == b"transfer-encoding"]
        self._spoilt = self._spoilt or not self.fits(lengths, codings)

    def fits(self, lengths: list[bytes], codings: list[bytes]) -> bool:
        """Whether an answer with these fields tells its end, and may be had whole."""
        if len(lengths) + len(codings) != 1:
            return self._status in EMPTY and not lengths and not codings
        if codings:
            return codings[0].strip().lower() == b"chunked"
        length = lengths[0].strip()
        # Known at once, not only when so much has come or the time is up.
        return length.isdigit() and len(length) <= 18 and int(length) <= self.max_body

    def on_body(self, body: bytes) -> None:
        if not self._done and not self._spoilt:
            self._body += body
            self._spoilt = len(self._body) > self.max_body

    def on_message_complete(self) -> None:
        if self._done or self._spoilt:
            return
        if self._status < 200:  # interim; the real answer follows
            self._headers, self._head_done, self._size = [], False, 0
            return
        assert self._parser is not None
        self._done, self._keep = True, self._parser.should_keep_alive()
