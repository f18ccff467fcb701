"""Clients of the platform's protocol, on the exchange: short requests come whole, long ones as they come."""

from __future__ import annotations

import asyncio
import socket
from dataclasses import dataclass

from flintlatch.exchange import Ask, Exchange, Fields, Own, Piece, Response, TooLong
from flintlatch.net.clock import now_ms
from flintlatch.net.engine import Answer
from flintlatch.net.frontend import PHRASES, READY_PATH, Client, Frontend
from flintlatch.net.http1 import MAX_BODY, MAX_HEAD
from flintlatch.net.request import Message, Reader, RequestError, check_framing
from flintlatch.platform.engine import Message as Passed
from flintlatch.platform.engine import PlatformEngine
from flintlatch.platform.limits import FEED_BYTES, HIGH_BYTES, MOST_BODY, SEND_BYTES, TERMS


@dataclass(slots=True)
class Coming:
    """A request with a body that is still on the way."""

    length: int | None  # bytes; None: in chunks
    exchange: Exchange | None = None  # once it is long, and its turn has come

    def long(self, here: int) -> bool:
        return here > MAX_BODY or (self.length or 0) > MAX_BODY


class PlatformClient(Client):
    """One connection, and the `ClientSide` of one exchange after the other."""

    def __init__(self, frontend: PlatformFrontend) -> None:
        super().__init__(frontend)
        self.engine = frontend.relay
        self.exchange: Exchange | None = None
        self.coming: Coming | None = None
        self.chunked = False  # the answer that goes out
        self.stepping = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        self.transport.set_write_buffer_limits(high=HIGH_BYTES)

    def connection_lost(self, exc: Exception | None) -> None:
        exchange, self.exchange, self.coming = self.exchange, None, None
        self.request_id = None
        super().connection_lost(exc)
        if exchange is not None:
            exchange.client_left(now_ms() / 1000)

    def pause_writing(self) -> None:
        if self.exchange is not None:
            self.exchange.client_full(True)

    def resume_writing(self) -> None:
        if self.exchange is not None:
            self.exchange.client_full(False)

    # Reading

    def _process(self) -> None:
        if self.stepping:
            return  # the call below goes on
        self.stepping = True
        try:
            self._start_long()
            super()._process()
        finally:
            self.stepping = False

    more = _process  # there is room again for an upload

    def parse_limit(self) -> int:
        coming = self.coming
        if coming is not None and coming.exchange is not None:
            return min(coming.exchange.room, FEED_BYTES)
        if coming is not None and coming.long(len(self._body)):
            return 0  # what was asked before it is answered first
        return super().parse_limit()

    def _parse(self, chunk: bytes) -> None:
        if self.coming is not None and self.coming.exchange is not None:
            self._size = 0  # bounded by the body's length, and by its pace
        super()._parse(chunk)
        self._start_long()
        if self.exchange is not None:
            self.exchange.push()

    def on_headers_complete(self) -> None:
        self._head_done = True
        try:
            length = check_framing(self._headers, MOST_BODY)
        except RequestError as error:
            self._reject(error.status)
            return
        if sum(len(name) + len(value) for name, value in self._headers) + len(self._target) > MAX_HEAD:
            self._reject(400)
            return
        self.coming = Coming(length)
        if (b"expect", b"100-continue") in self._headers and self.request_id is None and not self.queue:
            self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, body: bytes) -> None:
        coming = self.coming
        if self.closing or coming is None:
            return
        if coming.exchange is None:
            self._body += body  # no more than one feed beyond what is short
            return
        try:
            coming.exchange.came(now_ms() / 1000, [body])
        except TooLong:
            self._reject(413)

    def on_message_complete(self) -> None:
        if self.closing or self.coming is None:
            return
        exchange = self.coming.exchange
        self.coming = None
        if exchange is None:
            super().on_message_complete()
            return
        self.request_started = False
        self._reset()
        exchange.came_all(now_ms() / 1000)

    def _start_long(self) -> None:
        """Ask for a server for a long request that is on the way, if it is its turn."""
        coming = self.coming
        if coming is None or coming.exchange is not None or self.closing or self.request_id or self.queue:
            return
        if not coming.long(len(self._body)):
            return
        assert self.parser is not None
        method, self.keep_alive = self.parser.get_method(), self.parser.should_keep_alive()
        message = Message(method, self._target, self._headers, b"", self.keep_alive, now_ms())
        try:
            if method == b"GET":
                raise RequestError(400)
            accepted = self.frontend.reader.read(message, self.on_answer, with_length=False)
            ask = Ask(
                accepted.id,
                accepted.cls,
                accepted.tenant,
                accepted.key,
                accepted.budget_ms,
                repeat=accepted.repeat,
            )
            request = Passed(method, message.target, b"", [], coming.length, head=accepted.head)
            coming.exchange = self._open(request, ask, True)
        except RequestError as error:
            self._reject(error.status)
            return
        now_s = now_ms() / 1000
        if self._body:
            coming.exchange.came(now_s, [bytes(self._body)])
            self._body = bytearray()
        coming.exchange.offer(now_s)

    def _open(self, request: Passed, ask: Ask, uploading: bool) -> Exchange:
        """Raises RequestError: its id is another's, or there is no memory for its body."""
        exchange = Exchange(request, ask, TERMS, self, self.engine, now_ms() / 1000)
        try:
            if not self.engine.open(exchange, uploading):
                raise RequestError(503)
        except KeyError:
            raise RequestError(400) from None
        self.exchange, self.request_id = exchange, ask.id
        return exchange

    def _accept_request(self, message: Message) -> None:
        if message.target.split(b"?", 1)[0] == READY_PATH:
            super()._accept_request(message)
            return
        accepted = self.frontend.reader.read(message, self.on_answer, with_length=False)
        budget = min(accepted.budget_ms, self.engine.settings.classes[accepted.cls].deadline_ms)
        ask = Ask(accepted.id, accepted.cls, accepted.tenant, accepted.key, budget, repeat=accepted.repeat)
        request = Passed(message.method, message.target, b"", [], len(message.body), head=accepted.head)
        exchange = self._open(request, ask, False)
        now_s = now_ms() / 1000
        if message.body:
            exchange.came(now_s, [message.body])
        exchange.came_all(now_s)

    def _reject(self, status: int) -> None:
        exchange = self.coming.exchange if self.coming is not None else None
        self.coming = None
        if exchange is None or self.closing:
            super()._reject(status)
            return
        self.closing, self.unparsed, self.keep_alive = True, b"", False
        exchange.client_faulty(now_ms() / 1000, status)

    # The client's side of an exchange

    def interim(self, head: Response) -> None:
        """The platform's protocol has none to pass on."""

    def begin(self, head: Response) -> None:
        exchange = self.exchange
        assert exchange is not None
        if not exchange.upload.complete:
            self.keep_alive = False  # what follows of the upload can't be told from a next request
        self.chunked = head.length is None
        if head.length is None or head.length > MAX_BODY:
            # Left to itself the kernel takes 4 MB, and asks for more only when a third has gone: a client
            # that reads slowly would look like one that doesn't read. Made smaller it takes nothing back.
            sock = self.transport.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BYTES)
        framing = (
            b"transfer-encoding: chunked" if head.length is None else b"content-length: %d" % head.length
        )
        fields = b"".join(b"%b: %b\r\n" % pair for pair in head.fields)
        close = b"" if self._stays() else b"connection: close\r\n"
        line = b"HTTP/1.1 %d %b\r\n" % (head.status, PHRASES[head.status])
        self.transport.write(b"".join((line, fields, framing, b"\r\n", close, b"\r\n")))

    def _stays(self) -> bool:
        """Whether the connection outlives this answer; what it was told holds."""
        self.keep_alive = self.keep_alive and not (
            self.frontend.keep_alive_disabled and not self.queue and not self.unparsed
        )
        return self.keep_alive

    def pieces(self, pieces: list[Piece], size: int) -> None:
        self.transport.writelines([b"%x\r\n" % size, *pieces, b"\r\n"] if self.chunked else pieces)

    def end(self, trailers: Fields) -> None:
        if self.chunked:
            self.transport.write(b"0\r\n\r\n")
        self._answered()

    def own(self, answer: Own) -> None:
        exchange = self.exchange
        if exchange is not None and not exchange.upload.complete:
            self.keep_alive = False
        wait = b""
        if answer.retry_after_ms > 0:
            wait = b"retry-after: %.3f\r\n" % (answer.retry_after_ms / 1000)
        self.exchange = self.request_id = None
        self.write(Answer(answer.status, wait))
        self._next()

    def reset(self) -> None:
        self.transport.abort()

    def unread(self) -> int:
        return self.transport.get_write_buffer_size()

    def _answered(self) -> None:
        self.exchange = self.request_id = None
        self.response_sent = True
        if not self.keep_alive:
            if not self.transport.is_closing():
                self.close_lingering()
        else:
            self._next()

    def _next(self) -> None:
        """Whatever waits behind the request just answered."""
        if not self.transport.is_closing() and not self.closing:
            self._process()

    def close_lingering(self) -> None:
        self.coming = None
        super().close_lingering()


class PlatformFrontend(Frontend):
    def __init__(self, engine: PlatformEngine, reader: Reader, max_connections: int, *at_once: int) -> None:
        super().__init__(engine, reader, max_connections, *at_once)
        self.relay = engine

    def make_client(self) -> Client:
        return PlatformClient(self)
