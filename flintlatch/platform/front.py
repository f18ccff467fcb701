"""Client connections of the platform's protocol: short request bodies are buffered, long ones are passed on
while they arrive."""

from __future__ import annotations

from dataclasses import dataclass
from math import inf

from flintlatch.exchange import BodyTooLarge, Exchange, Fields, Piece, ProxyResponse, Response, RoutingInfo
from flintlatch.net.client import PARSE_HEAD_BYTES, READY_PATH, REASON_PHRASES, Client
from flintlatch.net.clock import now_ms
from flintlatch.net.connections import ConnectionState
from flintlatch.net.counts import CloseReason
from flintlatch.net.engine import Answer
from flintlatch.net.frontend import Frontend
from flintlatch.net.http1 import MAX_BODY, MAX_HEAD
from flintlatch.net.receiving import (
    SLICE_BYTES,
    ms_since_last_data,
    receive_buffer_is_full,
    unread_bytes,
    unread_tail,
)
from flintlatch.net.request import Message, Reader, RequestError, check_framing
from flintlatch.net.sending import limit_send_buffer, unsent_bytes, write_body
from flintlatch.net.turns import MAX_READ_BYTES
from flintlatch.platform.engine import ForwardedRequest, PlatformEngine
from flintlatch.platform.limits import (
    CLIENT_WRITE_BUFFER_BYTES,
    EXCHANGE_LIMITS,
    MAX_LONG_BODY_BYTES,
    SEND_BUFFER_BYTES,
    UPLOAD_PARSE_BYTES,
)

LAST_CHUNK = b"\r\n0\r\n\r\n"  # with the end of the chunk before it; without trailers
QUIET_S = 0.05  # without a byte of an upload before its unread end is looked at
MAX_EXAMINED_BYTES = 4 * 1024 * 1024  # unread, as they are copied to look at their end


@dataclass(slots=True)
class IncomingBody:
    """The body of a request that is not complete yet."""

    length: int | None  # bytes; None: chunked
    exchange: Exchange | None = None  # set once the body is long and the earlier requests are answered

    def is_long(self, received_bytes: int) -> bool:
        return received_bytes > MAX_BODY or (self.length or 0) > MAX_BODY


class PlatformClient(Client):
    """One client connection, and the `ClientSide` of one exchange after another."""

    def __init__(self, frontend: PlatformFrontend) -> None:
        super().__init__(frontend)
        self.engine = frontend.platform_engine
        self.exchange: Exchange | None = None
        self.incoming: IncomingBody | None = None
        self.response_chunked = False  # whether the response being sent is chunked
        self.processing = False
        self.upload_pieces: list[bytes] = []  # parsed, and not handed to the exchange yet
        self.examined_bytes = 0  # unread bytes when their end was last looked at

    def connection_lost(self, exc: Exception | None) -> None:
        exchange, self.exchange, self.incoming = self.exchange, None, None
        self.request_id = None
        super().connection_lost(exc)
        if exchange is not None:
            exchange.client_left(now_ms() / 1000)

    def pause_writing(self) -> None:
        super().pause_writing()
        self._apply_backpressure()

    def resume_writing(self) -> None:
        if self.exchange is not None:
            self.exchange.set_client_blocked(False)
        super().resume_writing()

    def _apply_backpressure(self) -> None:
        """Stops reading from the server once the client does not read and its share is used up."""
        if self.exchange is not None and self.writing_blocked and not self.response_room():
            self.exchange.set_client_blocked(True)

    def response_room(self) -> int:
        share_bytes = min(self.account.budget.share_bytes, CLIENT_WRITE_BUFFER_BYTES)
        return max(share_bytes - self.transport.get_write_buffer_size(), 0)

    def holds_nothing(self) -> bool:
        exchange = self.exchange
        return super().holds_nothing() and (exchange is None or not exchange.upload.buffered_bytes)

    def held_bytes(self) -> int:
        held, exchange = super().held_bytes(), self.exchange
        if exchange is None or self.engine.reserved_bytes.get(exchange.routing.id):
            return held  # the buffer of a long upload is reserved as a whole
        return held + exchange.upload.buffered_bytes

    # Reading requests

    def _process(self) -> None:
        if self.processing:
            return  # a call further up the stack continues
        self.processing = True
        try:
            self._start_upload()
            super()._process()
        finally:
            self.processing = False

    resume_upload = _process  # the node's connection calls it once it has taken bytes of the upload

    def parse_limit(self) -> int:
        incoming = self.incoming
        if incoming is not None and incoming.exchange is not None:
            return min(incoming.exchange.room, UPLOAD_PARSE_BYTES)
        if incoming is not None and incoming.is_long(len(self._body)):
            return 0  # earlier requests of the connection are answered first
        if incoming is not None and incoming.length is not None:
            return incoming.length - len(self._body)  # one piece, up to the end of the request
        return super().parse_limit()

    def may_read_ahead(self) -> bool:
        # An upload that is handled is read as its exchange has room.
        is_handled = self.incoming is not None and self.incoming.exchange is not None
        return is_handled or super().may_read_ahead()

    def message_limit(self) -> float:
        if self.incoming is not None and self.incoming.exchange is not None:
            return inf  # its limits are those of EXCHANGE_LIMITS
        return super().message_limit()

    def _parse(self, chunk: bytes) -> None:
        super()._parse(chunk)
        self._hand_on_upload()
        self._start_upload()
        if self.exchange is not None:
            self.exchange.notify_node()

    def on_headers_complete(self) -> None:
        if self.closing:
            return
        self._head_done = True
        try:
            length = check_framing(self._headers, MAX_LONG_BODY_BYTES)
        except RequestError as error:
            self._reject(error.status)
            return
        if sum(len(name) + len(value) for name, value in self._headers) + len(self._target) > MAX_HEAD:
            self._reject(400)
            return
        self.incoming = IncomingBody(length)
        # An interim response must not come before the responses to earlier requests. Without it, the client
        # sends the body after a timeout of its own (RFC 9110, section 10.1.1).
        if (b"expect", b"100-continue") in self._headers and self.request_id is None and not self.queue:
            self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, body: bytes) -> None:
        incoming = self.incoming
        if self.closing or incoming is None:
            return
        if incoming.exchange is None:
            self._body += body  # exceeds the limit of a short body by at most one parsed chunk
            return
        self.upload_pieces.append(body)

    def _hand_on_upload(self) -> None:
        """Hands all pieces that were parsed on at once: the cost of a piece does not depend on its size."""
        pieces, self.upload_pieces = self.upload_pieces, []
        exchange = self.incoming.exchange if self.incoming is not None else None
        if not pieces or self.closing or exchange is None:
            return
        try:
            exchange.receive_body(now_ms() / 1000, [b"".join(pieces)])
        except BodyTooLarge:
            self._reject(413)

    def on_message_complete(self) -> None:
        if self.closing or self.incoming is None:
            return
        exchange = self.incoming.exchange
        if exchange is None:
            self.incoming = None
            super().on_message_complete()
            return
        self._hand_on_upload()
        if self.closing:
            return
        self.incoming = None
        self.request_started = False
        self._reset()
        exchange.receive_end(now_ms() / 1000)

    def _start_upload(self) -> None:
        """Offers a long request to the decision module while its body arrives, once earlier requests are
        answered."""
        incoming = self.incoming
        if incoming is None or incoming.exchange is not None or self.closing:
            return
        if self.queue or not self.may_start_request():
            return
        if not incoming.is_long(len(self._body)):
            return
        assert self.parser is not None
        method, self.keep_alive = self.parser.get_method(), self.parser.should_keep_alive()
        message = Message(method, self._target, self._headers, b"", self.keep_alive, now_ms())
        try:
            if method == b"GET":
                raise RequestError(400, "GET with a body, expected none")
            accepted = self.frontend.reader.read(message, self.on_answer, with_length=False)
            routing = RoutingInfo(
                accepted.id,
                accepted.cls,
                accepted.tenant,
                accepted.key,
                accepted.budget_ms,
                is_retry=accepted.is_retry,
            )
            request = ForwardedRequest(method, message.target, b"", [], incoming.length, head=accepted.head)
            incoming.exchange = self._open(request, routing, True)
        except RequestError as error:
            self._reject(error.status)
            return
        now_s = now_ms() / 1000
        if self._body:
            incoming.exchange.receive_body(now_s, [bytes(self._body)])
        self._body, self._headers, self.examined_bytes = bytearray(), [], 0
        incoming.exchange.offer(now_s)

    def _open(self, request: ForwardedRequest, routing: RoutingInfo, uploading: bool) -> Exchange:
        """Raises RequestError if the id belongs to another request or there is no memory for the body."""
        exchange = Exchange(request, routing, EXCHANGE_LIMITS, self, self.engine, now_ms() / 1000)
        try:
            if not self.engine.open(exchange, uploading):
                raise RequestError(503, f"no memory left for the body of {routing.id!r}")
        except KeyError:
            raise RequestError(400, f"id {routing.id!r} is in use or was recently") from None
        self.exchange, self.request_id = exchange, routing.id
        return exchange

    def _accept_request(self, message: Message) -> None:
        if message.target.split(b"?", 1)[0] == READY_PATH:
            super()._accept_request(message)
            return
        accepted = self.frontend.reader.read(message, self.on_answer, with_length=False)
        budget = min(accepted.budget_ms, self.engine.settings.classes[accepted.cls].deadline_ms)
        routing = RoutingInfo(
            accepted.id, accepted.cls, accepted.tenant, accepted.key, budget, is_retry=accepted.is_retry
        )
        request = ForwardedRequest(
            message.method, message.target, b"", [], len(message.body), head=accepted.head
        )
        exchange = self._open(request, routing, False)
        now_s = now_ms() / 1000
        if message.body:
            exchange.receive_body(now_s, [message.body])
        exchange.receive_end(now_s)

    def _reject(self, status: int) -> None:
        exchange = self.incoming.exchange if self.incoming is not None else None
        self.incoming = None
        if exchange is None or self.closing:
            super()._reject(status)
            return
        self.connections.move(self, ConnectionState.FINISHING)
        self.unparsed, self.keep_alive = b"", False
        exchange.reject_request(now_ms() / 1000, status)

    def slice_limit(self) -> int:
        incoming = self.incoming
        if incoming is None:
            return PARSE_HEAD_BYTES
        if incoming.length is None:
            return SLICE_BYTES
        # A body by length is one piece; what follows it is not.
        return max(min(incoming.length - len(self._body), MAX_READ_BYTES), 1)

    # `ClientSide` of an exchange

    def interim(self, head: Response) -> None:
        """Does nothing: the platform's protocol passes no interim responses on."""

    def begin(self, head: Response) -> None:
        exchange = self.exchange
        assert exchange is not None
        if not exchange.upload.complete:
            self.keep_alive = False  # the rest of the upload can't be distinguished from a next request
        self.response_chunked = head.length is None
        if head.length is None or head.length > MAX_BODY:
            limit_send_buffer(self.transport, SEND_BUFFER_BYTES)
        framing = (
            b"transfer-encoding: chunked" if head.length is None else b"content-length: %d" % head.length
        )
        fields = b"".join(b"%b: %b\r\n" % pair for pair in head.fields)
        connection = b"" if self._update_keep_alive() else b"connection: close\r\n"
        status_line = b"HTTP/1.1 %d %b\r\n" % (head.status, REASON_PHRASES[head.status])
        self.transport.write(b"".join((status_line, fields, framing, b"\r\n", connection, b"\r\n")))

    def _update_keep_alive(self) -> bool:
        """Decides whether the connection is kept after this response, and keeps the decision."""
        self.keep_alive = self.keep_alive and not (
            self.frontend.keep_alive_disabled and not self.queue and not self.unparsed
        )
        return self.keep_alive

    def pieces(self, pieces: list[Piece], size: int) -> None:
        write_body(self.transport, pieces, size, self.response_chunked)
        if self.writing_blocked:
            self.update_account()
            self._apply_backpressure()

    def end(self, trailers: Fields) -> None:
        if self.response_chunked:
            self.transport.write(b"0\r\n\r\n")
        self._on_response_end()

    def send_proxy_response(self, answer: ProxyResponse) -> None:
        exchange = self.exchange
        if exchange is not None and not exchange.upload.complete:
            self.keep_alive = False
        retry_after = b""
        if answer.retry_after_ms > 0:
            retry_after = b"retry-after: %.3f\r\n" % (answer.retry_after_ms / 1000)
        self.exchange = self.request_id = None
        self.write(Answer(answer.status, retry_after))
        self._process_next()

    def reset(self) -> None:
        self.abort()

    def unsent_bytes(self) -> int:
        return unsent_bytes(self.transport)

    def unread_body_bytes(self) -> int:
        return len(self.unparsed) + unread_bytes(self.transport)

    def receive_buffer_is_full(self) -> bool:
        return receive_buffer_is_full(self.transport)

    def last_chunk_is_unread(self) -> bool:
        unread = self.unread_body_bytes()
        if not unread or unread == self.examined_bytes or self.s_since_last_byte() < QUIET_S:
            return False  # it still sends, or was examined
        self.examined_bytes = unread
        tail = self.unparsed + unread_tail(self.transport, MAX_EXAMINED_BYTES)
        return tail.endswith(LAST_CHUNK)

    def s_since_last_byte(self) -> float:
        # What is unread has arrived after what was read last.
        longest_ms = max(now_ms() - self.last_data_ms, 0.0)
        since_ms = ms_since_last_data(self.transport)
        return min(since_ms, longest_ms) / 1000 if since_ms < inf else 0.0

    def resume_reading(self) -> None:
        """The end of an upload may have arrived while it was not read."""
        if self.exchange is not None and self in self.connections.paused:
            self.exchange.look_for_end(now_ms() / 1000)
        super().resume_reading()

    def _on_response_end(self) -> None:
        self.exchange = self.request_id = None
        self.response_sent = True
        if not self.keep_alive:
            if not self.transport.is_closing():
                self.close_lingering()
        else:
            self._process_next()

    def close_lingering(self, reason: CloseReason = CloseReason.LAST_RESPONSE) -> None:
        self.incoming = None
        super().close_lingering(reason)


class PlatformFrontend(Frontend):
    """Accepts clients of the platform's protocol."""

    def __init__(self, engine: PlatformEngine, reader: Reader, max_connections: int) -> None:
        super().__init__(engine, reader, max_connections)
        self.platform_engine = engine

    def make_client(self) -> Client:
        return PlatformClient(self)
