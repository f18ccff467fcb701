"""HTTP/1.1 parts shared by all connections: header lists, and a client connection for one exchange at a
time."""

from __future__ import annotations

import asyncio
from typing import NamedTuple, cast

import httptools

from flintlatch.net.guard import bugs
from flintlatch.net.receiving import StreamConnection

MAX_BODY = 64 * 1024  # bytes
MAX_HEAD = 16 * 1024  # bytes
MAX_FIELDS = 128  # of a head; the objects of a short field take many times its bytes
# Size of a body as it is sent over its size: a chunk of one byte takes six bytes, RFC 9112 section 7.1. The
# rest is for zeros before the size, extensions and trailers.
MAX_FRAMED_FACTOR = 8
Headers = list[tuple[bytes, bytes]]  # names in lower case

# 1xx responses before the final one; a server that sends more only delays the client.
MAX_INTERIM_RESPONSES = 8
BODYLESS_STATUSES = frozenset((204, 205, 304))  # responses without a body, which need no Content-Length


def split_address(address: str) -> tuple[str, int]:
    """Splits `host:port` into host and port. Raises ValueError for any other form."""
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


class Http1Connection(StreamConnection):
    """A connection to a server that carries one exchange at a time.

    Subclasses override the `on_` methods below. Either `on_response` or `on_broken` ends an exchange, once.
    """

    reads_after_loss = True  # a response that arrived whole counts, whatever became of the connection

    def __init__(self, max_body_bytes: int = MAX_BODY) -> None:
        self.transport: asyncio.Transport | None = None
        self.max_body_bytes = max_body_bytes
        self.max_message_bytes = MAX_HEAD + MAX_FRAMED_FACTOR * max_body_bytes  # one response as sent
        self._parser: httptools.HttpResponseParser | None = None
        self.awaiting_response = False  # a request is sent and its response is not complete
        self.reusable = True  # for another exchange
        # A part of the request is not written yet or is still in the write buffer, or its write has failed.
        self.write_incomplete = True

    def on_response(self, response: Response) -> None:
        raise NotImplementedError

    def on_broken(self) -> None:
        """The connection failed; the exchange in progress, if any, gets no response."""
        raise NotImplementedError

    def on_parsed(self) -> None:
        """A part of the response was parsed; `on_body` was called for each piece of the body in it."""

    def on_written(self) -> None:
        """The kernel has accepted all bytes of the request."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        # With a buffer limit of 0, `pause_writing` reports any bytes that the kernel did not accept at once.
        self.transport.set_write_buffer_limits(high=0)

    def send_request(self, request: bytes) -> None:
        assert self.transport is not None
        self._parser = httptools.HttpResponseParser(self)
        self._headers: Headers = []
        self._body = bytearray()
        self._message_bytes, self._interim_count = 0, 0
        self._head_done, self._malformed, self._complete, self._keep_alive = False, False, False, False
        self.awaiting_response, self.write_incomplete = True, False
        self.transport.write(request)
        if self.transport.is_closing():
            self.write_incomplete = True  # the write failed
        if not self.write_incomplete:
            self.on_written()

    def pause_writing(self) -> None:
        self.write_incomplete = True

    def resume_writing(self) -> None:
        self.write_incomplete = False
        if self.awaiting_response:
            self.on_written()

    def close(self) -> None:
        """Aborts the connection and its exchange; no further `on_` method is called."""
        self.awaiting_response = self.reusable = False
        if self.transport is not None:
            self.transport.abort()

    def on_callback_error(self) -> None:
        """A callback has raised: the exchange in progress, if any, has failed."""
        self.close()
        self.on_broken()

    def _break(self) -> None:
        if self.reusable or self.awaiting_response:
            self.close()
            self.on_broken()

    def data_received(self, data: bytes) -> None:
        if not self.awaiting_response:
            # Unsolicited bytes must never be taken as the response to the next request.
            self._break()
            return
        self._message_bytes += len(data)
        assert self._parser is not None
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserCallbackError as error:
            bugs.report("parsing a response", error.__context__)
            self.on_callback_error()
            return
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._keep_alive = False
            self._malformed = not self._complete
        self.on_parsed()
        if self._complete:
            self._finish()
        elif self._malformed or self._message_bytes > (
            self.max_message_bytes if self._head_done else MAX_HEAD
        ):
            self._break()

    def _finish(self) -> None:
        # After a response that came before the whole request was written, the rest of that request must not
        # be followed by another one.
        more_follows = self.receiver is not None and self.receiver.pending_bytes > 0
        self.awaiting_response = False
        self.reusable = self._keep_alive and not self.write_incomplete and not more_follows
        if not self.reusable and self.transport is not None:
            self.transport.abort()
        self.on_response(Response(self._status, self._headers, bytes(self._body)))

    def connection_lost(self, exc: Exception | None) -> None:
        self._break()
        self._parser = None  # breaks the reference cycle, which only the garbage collector would free

    # Callbacks of httptools

    def on_message_begin(self) -> None:
        if self._complete:
            self._keep_alive = False  # a second response to one request

    def on_header(self, name: bytes, value: bytes) -> None:
        if self._head_done:  # a trailer, or part of an unsolicited response
            return
        if len(self._headers) >= MAX_FIELDS:
            self._malformed = True
        else:
            self._headers.append((name.strip().lower(), value.strip(b" \t")))

    def on_headers_complete(self) -> None:
        if self._complete:
            return
        assert self._parser is not None
        self._status, self._head_done = self._parser.get_status_code(), True
        if self._status < 200:
            self._interim_count += 1
            # 101 switches to another protocol, which the proxy never requests.
            self._malformed = (
                self._malformed or self._interim_count > MAX_INTERIM_RESPONSES or self._status == 101
            )
            return
        # A response must state its length exactly once. If the end of the connection ended the body, a
        # truncated body would look complete.
        lengths = [value for name, value in self._headers if name == b"content-length"]
        codings = [value for name, value in self._headers if name == b"transfer-encoding"]
        self._malformed = self._malformed or not self.accepts_framing(lengths, codings)

    def accepts_framing(self, lengths: list[bytes], codings: list[bytes]) -> bool:
        """Whether a response with these Content-Length and Transfer-Encoding values has a valid, unambiguous
        length within the limit."""
        if len(lengths) + len(codings) != 1:
            return self._status in BODYLESS_STATUSES and not lengths and not codings
        if codings:
            return codings[0].strip().lower() == b"chunked"
        length = lengths[0].strip()
        # Rejected before the body arrives, not only when the limit or the timeout is reached.
        return length.isdigit() and len(length) <= 18 and int(length) <= self.max_body_bytes

    def on_body(self, body: bytes) -> None:
        if not self._complete and not self._malformed:
            self._body += body
            self._malformed = len(self._body) > self.max_body_bytes

    def on_message_complete(self) -> None:
        if self._complete or self._malformed:
            return
        if self._status < 200:  # interim; the final response follows
            self._headers, self._head_done, self._message_bytes = [], False, 0
            return
        assert self._parser is not None
        self._complete, self._keep_alive = True, self._parser.should_keep_alive()
