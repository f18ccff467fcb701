"""The front end for ordinary HTTP/1.1: parses heads strictly and passes bodies on as they arrive."""

from __future__ import annotations

import asyncio
from math import ceil
from typing import TYPE_CHECKING, cast

from flintlatch.exchange import BodyTooLarge, Exchange, Fields, Phase, Piece, ProxyResponse, Request, Response
from flintlatch.http.body import Body, last_chunk
from flintlatch.http.fields import (
    ForwardingPolicy,
    request_fields_to_node,
    requests_upgrade,
    response_fields_to_client,
)
from flintlatch.http.framing import BodyKind, HttpError
from flintlatch.http.head import HeadLimits, RequestHead, find_head_end, read_request_head
from flintlatch.http.rules import RoutingRules
from flintlatch.http.sockets import MAX_READ_BYTES, WRITE_HIGH_WATER_BYTES, limit_socket_buffers
from flintlatch.net.client import READY_PATH, REASON_PHRASES, Client
from flintlatch.net.clock import now_ms
from flintlatch.net.connections import ConnectionState
from flintlatch.net.counts import CloseReason
from flintlatch.net.engine import Answer
from flintlatch.net.frontend import Frontend
from flintlatch.net.relay import Refusal, RelayEngine
from flintlatch.net.sending import unsent_bytes, write_body

if TYPE_CHECKING:
    from flintlatch.net.request import Reader

# Size of the pipelined requests that are read before the response to the current one is complete.
MAX_PIPELINED_BYTES = MAX_READ_BYTES // 8


class HttpClient(Client):
    """One client connection, and the `ClientSide` of one exchange after another."""

    def __init__(self, front: HttpFrontend) -> None:
        super().__init__(front)
        self.parser = None
        self.front = front
        self.buffer = bytearray()
        self.searched_bytes = 0  # of the buffer that were searched for the end of a head
        self.exchange: Exchange | None = None
        self.body: Body | None = None  # of the current request
        self.last_request_line = (b"", b"")  # method and target of the last head that could be read
        self.minor = 1  # minor HTTP version of the current request
        self.response_chunked = False
        self.half_closed = False  # the client has closed its sending direction but still reads
        self.reading = True
        self.processing = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        self.transport.set_write_buffer_limits(high=WRITE_HIGH_WATER_BYTES)
        limit_socket_buffers(transport, True)

    def connection_lost(self, exc: Exception | None) -> None:
        self.buffer.clear()
        exchange, self.exchange = self.exchange, None
        self.frontend.on_client_lost(self)
        if exchange is not None:
            exchange.client_left(now_ms() / 1000)

    def gone(self) -> bool:
        """A client that has closed its sending direction may still read, so this is not taken as leaving. A
        lost connection is reported by `connection_lost` soon enough."""
        return False

    def eof_received(self) -> bool:
        """A client may close its sending direction after a complete request and still gets the response: RFC
        9112 section 9.6."""
        request_complete = self.body is not None and self.body.done
        if self.closing or self.exchange is None or not request_complete:
            if self.exchange is None:
                self._linger_for_unread_responses()
            return False
        self.half_closed, self.keep_alive = True, False
        return True

    def pause_writing(self) -> None:
        super().pause_writing()
        if self.exchange is not None:
            self.exchange.set_client_blocked(True)

    def resume_writing(self) -> None:
        if self.exchange is not None:
            self.exchange.set_client_blocked(False)
        super().resume_writing()

    def owes_bytes(self) -> bool:
        return self.exchange is not None or super().owes_bytes()

    def may_start_request(self) -> bool:
        return self.exchange is None and not self.writing_blocked

    def waits_for_reader(self) -> bool:
        return self.exchange is None and self.writing_blocked

    # Reading requests

    def data_received(self, data: bytes) -> None:
        if self.closing:
            super().data_received(data)  # discards the data, up to a limit
            return
        exchange, body = self.exchange, self.body
        if exchange is None or body is None or body.done or self.buffer or len(data) > exchange.room:
            if not self.buffer:
                self._on_request_bytes()
            self.buffer += data
            self.process_buffer()
            return
        try:  # the common case of a long upload: nothing is buffered, and there is room for all data
            self._feed_body(exchange, body, data)
        except HttpError as error:
            self._reject_with(error)
        except BodyTooLarge as error:
            self._reject_with(HttpError(413, str(error)))
        if self.buffer or body.done or exchange.room <= 0 or exchange.has_ended:
            self.process_buffer()

    def _on_request_bytes(self) -> None:
        """The first bytes of a request have arrived. The first request's time counts from connecting."""
        if self.response_sent or self.exchange is not None:
            self.reading_since_ms = now_ms()

    def process_buffer(self) -> None:
        """Processes the buffered bytes and pauses or resumes reading by the room that is left."""
        if self.processing:
            return  # a call in progress continues its loop
        self.processing = True
        try:
            while self._consume_buffer():
                pass
        except HttpError as error:
            self._reject_with(error)
        except BodyTooLarge as error:
            self._reject_with(HttpError(413, str(error)))
        finally:
            self.processing = False
        if self.transport.is_closing() or self.closing:
            return
        exchange = self.exchange
        if exchange is None and self.buffer and self.writing_blocked:
            self._set_reading(len(self.buffer) <= MAX_PIPELINED_BYTES)
            self.connections.move(self, ConnectionState.SERVING)
        elif exchange is None:
            self._set_reading(True)
            self.request_started = bool(self.buffer)
            reading = self.request_started or not self.response_sent
            self.connections.move(self, ConnectionState.READING if reading else ConnectionState.IDLE)
        else:
            # Only reading detects that a client has left. So reading continues up to a limit while the client
            # waits for its response.
            max_ahead_bytes = MAX_PIPELINED_BYTES if self.body is None or self.body.done else 0
            self._set_reading(
                len(self.buffer) <= max_ahead_bytes and (max_ahead_bytes > 0 or exchange.room > 0)
            )
            self.connections.move(self, ConnectionState.SERVING)

    _process = process_buffer
    resume_upload = process_buffer  # called when there is room again for the upload

    def _set_reading(self, reading: bool) -> None:
        if reading != self.reading and not self.half_closed:
            self.reading = reading
            if reading:
                self.resume_reading()
                self.reading_since_ms = now_ms()
            else:
                self.pause_reading()

    def _consume_buffer(self) -> bool:
        """Processes the next part of the buffer; false if nothing can be processed now."""
        if self.closing or not self.buffer:
            return False
        exchange, body = self.exchange, self.body
        if exchange is None:
            return self.may_start_request() and self._read_head()
        room = exchange.room
        if body is None or body.done or room <= 0:
            return False  # a pipelined request waits for the current response, the body waits for room
        if len(self.buffer) <= room:
            data = bytes(self.buffer)
            self.buffer.clear()
        else:
            data = bytes(self.buffer[:room])
            del self.buffer[:room]
        self._feed_body(exchange, body, data)
        return True

    def _feed_body(self, exchange: Exchange, body: Body, data: bytes) -> None:
        pieces, rest = body.feed(data)
        if rest:
            self.buffer[:0] = rest
            self._on_request_bytes()
        now_s = now_ms() / 1000
        if pieces:
            exchange.receive_body(now_s, pieces)
        if body.done:
            exchange.receive_end(now_s, body.trailers)
        exchange.notify_node()

    def _read_head(self) -> bool:
        end = find_head_end(self.buffer, self.searched_bytes)
        limits = self.front.limits
        if end < 0:
            self.searched_bytes = len(self.buffer)
            if len(self.buffer) > limits.head_bytes:
                raise HttpError(431, "a head without end")
            return False
        raw = bytes(self.buffer[:end])
        del self.buffer[:end]
        self.searched_bytes = 0
        self.last_request_line = (b"", b"")
        head = read_request_head(raw, limits)
        self.last_request_line = (head.method, head.target)
        self.keep_alive, self.minor = head.keep_alive, head.minor
        if head.target.partition(b"?")[0] == READY_PATH and head.method in (b"GET", b"HEAD"):
            self.write(Answer(200 if self.frontend.ready() else 503))
            return not self.closing
        self._start_exchange(head)
        return True

    def _start_exchange(self, head: RequestHead) -> None:
        front = self.front
        if requests_upgrade(head.fields):
            raise HttpError(501, "an upgrade to another protocol")
        if head.method == b"TRACE":
            raise HttpError(405, "TRACE")  # the response would show fields that proxies have added
        ask = front.rules.routing_of(head)
        terms = front.engine.terms[ask.cls]
        if head.framing.kind is BodyKind.LENGTH and head.framing.length > terms.body_bytes:
            raise HttpError(413, f"a body of {head.framing.length} bytes, at most {terms.body_bytes}")
        request = front.forwarded_request(head, self.transport.get_extra_info("peername")[0])
        now_s = now_ms() / 1000
        exchange = Exchange(request, ask, terms, self, front.engine, now_s)
        body = Body(head.framing)
        try:
            if not front.engine.open(exchange, not body.done):
                raise HttpError(503, "no memory for another body")
        except KeyError:
            raise HttpError(400, f"the id {ask.id[:40]!r} is another request's") from None
        self.exchange, self.body, self.response_chunked = exchange, body, False
        if body.done:
            exchange.receive_end(now_s)
        elif request.expects_continue:
            exchange.offer(now_s)
        else:
            self._consume_buffer()  # most short bodies arrive together with their head
            if exchange.phase is Phase.GATHERING:
                front.engine.start_gather_timer(exchange)

    def on_callback_error(self) -> None:
        if self.closing or self.transport.is_closing():
            self.abort()
        else:
            self._reject_with(HttpError(500, "an unexpected error"))

    def _reject_with(self, error: HttpError) -> None:
        """Answers with an error and closes the connection, because the rest of its input can't be parsed or
        will not be read."""
        self.keep_alive = False
        if self.exchange is not None:
            self.exchange.reject_request(now_ms() / 1000, error.status)
        else:
            self.front.engine.report_refusal(Refusal(error.status, error.reason, *self.last_request_line))
            self.send_proxy_response(ProxyResponse(error.status, 1000.0 if error.status == 503 else 0.0))

    def on_read_timeout(self) -> None:
        if self.request_started:
            self._reject_with(HttpError(408, "a head that does not come"))
        else:
            self.transport.close()

    # `ClientSide` of an exchange

    def interim(self, head: Response) -> None:
        if self.minor >= 1:
            lines = b"".join(b"%b: %b\r\n" % pair for pair in head.fields)
            self.transport.write(b"HTTP/1.1 %d %b\r\n%b\r\n" % (head.status, head.reason, lines))

    def begin(self, head: Response) -> None:
        exchange = self.exchange
        assert exchange is not None
        if not exchange.upload.complete:
            # the rest of the upload can't be distinguished from a next request
            self.keep_alive = False
        lines = response_fields_to_client(head.fields, self.minor, self.front.forwarding.via)
        if not head.bodyless:
            if head.length is not None:
                lines.append((b"Content-Length", b"%d" % head.length))
            elif self.minor >= 1:
                self.response_chunked = True
                lines.append((b"Transfer-Encoding", b"chunked"))
            else:
                self.keep_alive = False
        self.keep_alive = self.keep_alive and not self.front.keep_alive_disabled
        if not self.keep_alive:
            lines.append((b"Connection", b"close"))
        elif self.minor == 0:
            lines.append((b"Connection", b"keep-alive"))
        fields = b"".join(b"%b: %b\r\n" % pair for pair in lines)
        self.transport.write(b"HTTP/1.1 %d %b\r\n%b\r\n" % (head.status, head.reason, fields))

    def pieces(self, pieces: list[Piece], size: int) -> None:
        write_body(self.transport, pieces, size, self.response_chunked)

    def end(self, trailers: Fields) -> None:
        if self.response_chunked:
            self.transport.write(last_chunk(trailers))
        self._on_response_end()

    def send_proxy_response(self, answer: ProxyResponse) -> None:
        exchange = self.exchange
        if exchange is not None and not exchange.upload.complete:
            self.keep_alive = False
        wait = b""
        if answer.status == 503 and answer.retry_after_ms > 0:
            # In whole seconds, RFC 9110 section 10.2.3. Rounded up, so that no client retries too early.
            wait = b"Retry-After: %d\r\n" % ceil(answer.retry_after_ms / 1000)
        self.write(Answer(answer.status, wait))
        if exchange is not None:
            self._on_response_end()

    def reset(self) -> None:
        """Aborts the connection. The missing last chunk or bytes show the client that the response is
        incomplete."""
        self.abort()

    def unsent_bytes(self) -> int:
        return unsent_bytes(self.transport)

    def receive_limit(self) -> int:
        return MAX_READ_BYTES  # what a request holds is reserved, or bounded by the limits of a head

    def response_room(self) -> int:
        return max(WRITE_HIGH_WATER_BYTES - self.transport.get_write_buffer_size(), 0)

    def unread_body_bytes(self) -> int:
        """Nothing: the time of a request counts from when its end is read."""
        return 0

    def receive_buffer_is_full(self) -> bool:
        return False

    def last_chunk_is_unread(self) -> bool:
        return False

    def s_since_last_byte(self) -> float:
        return 0.0

    # Writing responses

    def write(self, answer: Answer) -> None:
        """Writes a response of the proxy itself."""
        if self.transport.is_closing():
            return
        keep = self.keep_alive = self.keep_alive and not self.frontend.keep_alive_disabled
        phrase = REASON_PHRASES.get(answer.status, b"")
        head = b"HTTP/1.1 %d %b\r\n%bContent-Length: %d\r\n%b\r\n" % (
            answer.status,
            phrase,
            answer.headers,
            len(answer.body),
            b"" if keep else b"Connection: close\r\n",
        )
        self.transport.write(head + answer.body)
        self.response_sent = True
        if not keep:
            self.close_lingering()

    def _on_response_end(self) -> None:
        """The response to the current request is complete."""
        self.exchange = self.body = None
        self.response_sent = True
        if self.transport.is_closing():
            return
        if not self.keep_alive:
            if not self.closing:
                self.close_lingering()
            return
        self.front.loop.call_soon(self.process_buffer)

    def close_lingering(self, reason: CloseReason = CloseReason.LAST_RESPONSE) -> None:
        super().close_lingering(reason)
        self.buffer.clear()
        self.reading = True


class HttpFrontend(Frontend):
    def __init__(
        self,
        engine: RelayEngine,
        rules: RoutingRules,
        max_clients: int,
        accept_at_once: int,
        *,
        limits: HeadLimits,
        forwarding: ForwardingPolicy,
    ) -> None:
        super().__init__(engine, cast("Reader", None), max_clients, accept_at_once)
        self.engine: RelayEngine = engine
        self.rules, self.limits, self.forwarding = rules, limits, forwarding
        names = rules.names
        self.removed_fields = frozenset((names.id, names.budget, b"x-call-id", b"x-budget-ms", b"host"))

    def make_client(self) -> Client:
        return HttpClient(self)

    def forwarded_request(self, head: RequestHead, peer: str) -> Request:
        """The request as it is sent to a node. `peer`: the client's IP address."""
        return Request(
            head.method,
            head.target,
            head.host or b"unknown",
            request_fields_to_node(
                head.fields, peer, head.host, head.minor, self.forwarding, self.removed_fields
            ),
            None if head.framing.kind is BodyKind.CHUNKED else head.framing.length,
            head.expects_continue,
        )
