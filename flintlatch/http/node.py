"""Connections to nodes over HTTP/1.1 (RFC 9112), each with one exchange at a time."""

from __future__ import annotations

import asyncio
from typing import cast

from flintlatch.api import Result
from flintlatch.exchange import Exchange, Request, Response
from flintlatch.http.body import Body, last_chunk
from flintlatch.http.fields import end_to_end
from flintlatch.http.framing import BodyKind, HttpError, field_values
from flintlatch.http.head import HeadLimits, ResponseHead, find_head_end, read_response_head
from flintlatch.http.sockets import WRITE_HIGH_WATER_BYTES, limit_socket_buffers
from flintlatch.net.backends import Attempt, Backend, Backends, Connection
from flintlatch.net.clock import now_ms
from flintlatch.net.relay import RelayAttempt
from flintlatch.net.sending import write_body

MAX_INTERIM_RESPONSES = 8  # 1xx responses before the final one
INTERIM_INTERVAL_S = 1.0  # one more per interval, because a long call may report its progress
BODY_METHODS = (b"POST", b"PUT", b"PATCH")


def request_head(request: Request, call_id: str) -> bytes:
    """The head of a request to a node, without the budget field and the empty line. RFC 9112 section 3."""
    lines = [b"%b %b HTTP/1.1\r\nHost: %b\r\n" % (request.method, request.target, request.authority)]
    lines += [b"%b: %b\r\n" % pair for pair in request.fields]
    lines.append(b"x-call-id: %b\r\n" % call_id.encode())
    if request.length is None:
        lines.append(b"transfer-encoding: chunked\r\n")
    elif request.length or request.method in BODY_METHODS:
        lines.append(b"content-length: %d\r\n" % request.length)
    return b"".join(lines)


def forwarded_response(head: ResponseHead) -> Response:
    """The response as it is passed on. Raises HttpError if Connection names a field that must not be
    removed."""
    fields, kind = end_to_end(head.fields), head.framing.kind
    bodyless = kind is BodyKind.NONE
    if bodyless:  # the length that a body would have, RFC 9110 section 8.6
        fields += [(b"Content-Length", value) for value in field_values(head.fields, b"content-length")]
    length = head.framing.length if kind is BodyKind.LENGTH else 0 if bodyless else None
    return Response(head.status, fields, head.reason, length, bodyless)


class NodeConnection(Connection):
    """A pooled connection that is also the `NodeSide` of exchanges."""

    def __init__(self, pool: Backends, backend: Backend, limits: HeadLimits) -> None:
        super().__init__(pool, backend)
        self.limits = limits
        self.head_buffer = bytearray()
        self.response: ResponseHead | None = None
        self.body: Body | None = None
        self.writing_paused = False  # the write buffer is full
        self.reading_paused = False  # the client's write buffer is full
        self.request_sent = self.any_bytes_written = False
        self.interim_count, self.sent_ms = 0, 0.0

    @property
    def exchange(self) -> Exchange | None:
        return cast(RelayAttempt, self.attempt).exchange if self.attempt is not None else None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.transport.set_write_buffer_limits(high=WRITE_HIGH_WATER_BYTES)
        limit_socket_buffers(transport, False)
        self.on_connected()

    def assign(self, attempt: Attempt) -> None:
        super().assign(attempt)
        self.any_bytes_written = False

    def send_attempt(self, attempt: Attempt) -> None:
        assert self.transport is not None
        relayed = cast(RelayAttempt, attempt)
        relayed.node = self
        exchange = relayed.exchange
        self.head_buffer.clear()
        self.response = self.body = None
        self.interim_count, self.sent_ms = 0, now_ms()
        self.request_sent = self.reading_paused = False
        self.awaiting_response = True
        exchange.attach(self.sent_ms / 1000, self)
        budget = max(1, int(attempt.deadline_ms - self.sent_ms))
        head = request_head(exchange.request, exchange.routing.id)
        self.any_bytes_written = True
        self.transport.write(b"%bx-budget-ms: %d\r\n\r\n" % (head, budget))
        self.send_upload()

    def never_ran(self) -> bool:
        """True if no byte of the request was sent. A node may start to execute a request after its head
        alone, so any byte means that it may have run."""
        return not self.any_bytes_written

    # The request's body

    def send_upload(self) -> None:
        exchange, transport = self.exchange, self.transport
        if exchange is None or transport is None or transport.is_closing() or exchange.has_ended:
            return
        now_s = now_ms() / 1000
        chunked = exchange.request.length is None
        if not self.writing_paused and exchange.upload.untaken_bytes:
            write_body(transport, *exchange.take(now_s), chunked)
        if exchange.upload.fully_taken and not self.request_sent:
            self.request_sent = True
            if chunked:
                transport.write(last_chunk(exchange.trailers))
        if self.request_sent and not self.writing_paused:
            exchange.mark_request_sent(now_s, self)
        else:
            exchange.client.resume_upload()

    def pause_writing(self) -> None:
        self.writing_paused = True

    def resume_writing(self) -> None:
        self.writing_paused = False
        self.send_upload()

    # The response

    def set_reading_paused(self, paused: bool) -> None:
        if self.transport is not None and paused is not self.reading_paused:
            self.reading_paused = paused
            if paused:
                self.pause_reading()
            else:
                self.resume_reading()

    def data_received(self, data: bytes) -> None:
        if self.attempt is None:
            self.close()  # bytes without a request must not be taken for the response to the next request
            self.on_broken()
            return
        try:
            self._parse(data)
        except HttpError:
            self._fail(Result.RESET)

    def _parse(self, data: bytes) -> None:
        while data and self.attempt is not None:
            if self.body is None:
                self.head_buffer += data
                end = find_head_end(self.head_buffer)
                if end < 0:
                    if len(self.head_buffer) > self.limits.head_bytes:
                        raise HttpError(502, "a head without end")
                    return
                raw, data = bytes(self.head_buffer[:end]), bytes(self.head_buffer[end:])
                self.head_buffer.clear()
                self._on_head(raw)
            else:
                pieces, data = self.body.feed(data)
                exchange = self.exchange
                if exchange is not None and pieces:
                    exchange.pieces(now_ms() / 1000, self, pieces)
                if self.body.done:
                    self._finish_response(bool(data))
                    return
        if self.body is not None and self.body.done and self.attempt is not None:
            self._finish_response(False)

    def _on_head(self, raw: bytes) -> None:
        exchange = self.exchange
        assert exchange is not None
        head = read_response_head(raw, exchange.request.method, self.limits)
        if head.status < 200:
            self.interim_count += 1
            if (
                self.interim_count
                > MAX_INTERIM_RESPONSES + (now_ms() - self.sent_ms) / 1000 / INTERIM_INTERVAL_S
            ):
                raise HttpError(502, "too many interim answers")
            exchange.interim(forwarded_response(head))
            return
        self.backend.last_response_ms = now_ms()
        self.response, self.body = head, Body(head.framing)
        if head.status in (503, 504) and field_values(head.fields, b"x-rejected") == [b"1"]:
            # The node rejected the request without executing it. Nothing is passed on, and the connection is
            # closed because a body may follow.
            self._fail(Result.FULL)
            return
        exchange.begin(now_ms() / 1000, self, forwarded_response(head))

    def _finish_response(self, bytes_follow: bool) -> None:
        attempt, response, body = self.attempt, self.response, self.body
        assert attempt is not None and response is not None and body is not None
        exchange = cast(RelayAttempt, attempt).exchange
        self.awaiting_response = False
        self.reusable = (
            response.keep_alive
            and self.request_sent
            and not bytes_follow
            and not (self.receiver is not None and self.receiver.pending_bytes)
            and response.framing.kind is not BodyKind.UNTIL_CLOSE
        )
        exchange.finish(now_ms() / 1000, self, body.trailers)
        self.set_reading_paused(False)
        self.attempt = None
        self.pool.release_connection(self)
        if response.status >= 500:
            attempt.end(Result.ERROR)
        else:
            attempt.end(Result.INVALID if 400 <= response.status < 500 else Result.OK)

    def _fail(self, result: Result) -> None:
        attempt, self.attempt = self.attempt, None
        self.close()
        if attempt is not None:
            attempt.end(result)

    def eof_received(self) -> bool:
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        self.pool.connections.discard(self)
        self.reusable = False
        if self in self.backend.idle_connections:
            self.backend.idle_connections.remove(self)
        if self.attempt is None:
            return
        if exc is None and self.body is not None and self.body.framing.kind is BodyKind.UNTIL_CLOSE:
            self.body.end()
            self._finish_response(False)
        else:
            self._fail(Result.CONNECT_FAILED if self.never_ran() else Result.RESET)
