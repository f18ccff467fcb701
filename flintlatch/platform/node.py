"""Server connections of the platform's protocol.

Only responses with status 200 are passed on. A short response is buffered until it is complete, so that
another attempt can replace one that is broken off.
"""

from __future__ import annotations

import asyncio
import socket
from typing import cast

from flintlatch.exchange import Exchange, Phase
from flintlatch.exchange import Response as Head
from flintlatch.net.backends import Attempt, Backend, Backends, Connection
from flintlatch.net.clock import now_ms
from flintlatch.net.engine import FORWARDED_RESPONSE_HEADERS
from flintlatch.net.http1 import MAX_BODY, MAX_FRAMED_FACTOR, MAX_HEAD, Response
from flintlatch.net.receiving import SLICE_BYTES
from flintlatch.net.relay import RelayAttempt
from flintlatch.net.sending import write_body
from flintlatch.net.turns import MAX_READ_BYTES
from flintlatch.platform.engine import ForwardedRequest
from flintlatch.platform.limits import (
    GATHER_TIMEOUT_S,
    MAX_LONG_BODY_BYTES,
    SERVER_RECEIVE_BUFFER_BYTES,
)


class PlatformConnection(Connection):
    """A pooled connection that is also the `NodeSide` of exchanges."""

    def __init__(self, pool: Backends, backend: Backend) -> None:
        super().__init__(pool, backend)
        self.uploading = self.sent_all = self.writing_paused = False
        # Whether the response is passed on while it arrives, and whether the client's buffers are full.
        self.streaming = self.reading_paused = False
        self.until_close = False
        self.body_length: int | None = None  # Content-Length of the response, if it has one
        self.received_bytes = 0  # of the response's body
        self.parsed_pieces: list[bytes] = []  # of the body, not passed on yet
        self.gather_timer: asyncio.TimerHandle | None = None
        self.account = pool.memory.open_account()  # of a response that is gathered

    @property
    def exchange(self) -> Exchange | None:
        attempt = self.attempt
        return attempt.exchange if isinstance(attempt, RelayAttempt) else None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        # Set before the first byte arrives: if it is reduced later, the TCP window may stay closed forever.
        transport.get_extra_info("socket").setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, SERVER_RECEIVE_BUFFER_BYTES
        )
        super().connection_made(transport)

    # Sending the request

    def send_attempt(self, attempt: Attempt) -> None:
        self.streaming = self.reading_paused = self.until_close = self.sent_all = False
        self.body_length, self.received_bytes, self.parsed_pieces = None, 0, []
        if not isinstance(attempt, RelayAttempt):  # a probe
            self.uploading = False
            super().send_attempt(attempt)
            return
        attempt.node = self
        exchange, now = attempt.exchange, now_ms()
        request = cast(ForwardedRequest, exchange.request)
        exchange.attach(now / 1000, self)
        budget = max(1, int(min(attempt.deadline_ms - now, exchange.told_ms(now / 1000))))
        head = b"%bx-budget-ms: %d\r\n" % (request.head, budget)
        self.uploading = not exchange.upload.complete
        if self.uploading:
            if request.length is None:
                self.send_request(head + b"transfer-encoding: chunked\r\n\r\n")
            else:
                self.send_request(head + b"content-length: %d\r\n\r\n" % request.length)
            self.write_incomplete = True
            self.send_upload()
        else:
            pieces, size = exchange.take(now / 1000)
            if request.method == b"POST":
                head += b"content-length: %d\r\n" % size
            self.send_request(b"".join((head, b"\r\n", *pieces)))

    def send_upload(self) -> None:
        exchange, transport = self.exchange, self.transport
        if exchange is None or transport is None or not self.uploading or transport.is_closing():
            return
        if exchange.has_ended:
            return
        chunked = exchange.request.length is None
        if not self.writing_paused:
            pieces, size = exchange.take(now_ms() / 1000)
            if size:
                write_body(transport, pieces, size, chunked)
        if exchange.upload.fully_taken and not self.sent_all:
            self.sent_all = True
            if chunked:
                transport.write(b"0\r\n\r\n")
        if self.sent_all and not self.writing_paused and not transport.is_closing():
            self.uploading = self.write_incomplete = False
            self.on_written()
        else:
            exchange.client.resume_upload()

    def pause_writing(self) -> None:
        self.writing_paused = self.write_incomplete = True
        self._update_account()

    def resume_writing(self) -> None:
        self.writing_paused = False
        self._update_account()
        if self.uploading:
            self.send_upload()
        else:
            super().resume_writing()

    def on_written(self) -> None:
        if self.uploading:
            return  # only the head is written
        super().on_written()
        exchange = self.exchange
        if exchange is not None:
            exchange.mark_request_sent(now_ms() / 1000, self)

    def _update_account(self) -> None:
        """Records what is held of the request, if the server does not read it, and of the response."""
        held_bytes = len(self._body)
        if self.writing_paused and self.transport is not None:
            held_bytes += self.transport.get_write_buffer_size()
        self.account.set_held(held_bytes)

    # Receiving the response

    def receive_limit(self) -> int:
        if self.streaming and self.exchange is not None:
            return self.exchange.client.response_room()
        return self.account.room_bytes

    def slice_limit(self) -> int:
        # A short body by length is one piece. Of a long one pieces stay small: the transport to the client
        # keeps each as a whole until its last byte is sent.
        is_short = not self.streaming and self.body_length is not None
        return MAX_READ_BYTES if is_short else SLICE_BYTES

    def accepts_framing(self, lengths: list[bytes], codings: list[bytes]) -> bool:
        if self._status != 200 or self.exchange is None:
            return super().accepts_framing(lengths, codings)
        if len(lengths) + len(codings) > 1:
            return False
        self.max_message_bytes = MAX_HEAD + MAX_FRAMED_FACTOR * MAX_LONG_BODY_BYTES
        if lengths:
            length = lengths[0].strip()
            if not length.isdigit() or len(length) > 18 or int(length) > MAX_LONG_BODY_BYTES:
                return False
            self.body_length = int(length)
            if self.body_length > MAX_BODY:
                self._start_gather_timer()
            return True
        if codings:
            if codings[0].strip().lower() != b"chunked":
                return False
        elif any(
            name == b"connection" and value.strip().lower() == b"close" for name, value in self._headers
        ):
            self.until_close = True  # RFC 9112 section 6.3, rule 8
        else:
            return False
        self._start_gather_timer()
        return True

    def _start_gather_timer(self) -> None:
        """Of a response that may be long, the time of the attempt counts up to its beginning."""
        self.gather_timer = self.pool.loop.call_later(GATHER_TIMEOUT_S, self._begin_streaming)

    def on_body(self, body: bytes) -> None:
        if self._complete or self._malformed:
            return
        self.received_bytes += len(body)
        if self.exchange is None:
            super().on_body(body)
        elif self.received_bytes > MAX_LONG_BODY_BYTES:
            self._malformed = True
        else:
            self.parsed_pieces.append(body)

    def on_parsed(self) -> None:
        """Passes all pieces that were parsed on at once: the cost of a piece does not depend on its size."""
        pieces, self.parsed_pieces = self.parsed_pieces, []
        exchange = self.exchange
        if not pieces or exchange is None:
            return
        if self.streaming:
            exchange.pieces(now_ms() / 1000, self, [b"".join(pieces)])
        else:
            self._body += b"".join(pieces)
            gather_time_over = (
                self.gather_timer is not None and self.gather_timer.when() <= self.pool.loop.time()
            )
            self._update_account()
            too_long = max(len(self._body), self.body_length or 0) > MAX_BODY
            if too_long or gather_time_over or not self.account.room_bytes:
                self._begin_streaming()

    def _begin_streaming(self) -> None:
        """Starts passing the response on. From now on it is the final one, and a failure is visible to the
        client."""
        exchange = self.exchange
        if self.streaming or not self.awaiting_response or self._complete or exchange is None:
            return
        self.streaming = True
        self._cancel_gather_timer()
        now_s = now_ms() / 1000
        body, self._body = bytes(self._body), bytearray()
        self._update_account()
        exchange.begin(now_s, self, Head(200, self._forwarded_headers(), length=self.body_length))
        if exchange.phase is not Phase.RESPONDING or exchange.node is not self:
            self._malformed = True  # another attempt's response was first: this one is dropped
        elif body:
            exchange.pieces(now_s, self, [body])

    def _forwarded_headers(self) -> list[tuple[bytes, bytes]]:
        return [pair for pair in self._headers if pair[0] in FORWARDED_RESPONSE_HEADERS]

    def on_response(self, response: Response) -> None:
        self._cancel_gather_timer()
        self.account.set_held(0)
        exchange = self.exchange
        if exchange is not None and response.status == 200:
            now_s = now_ms() / 1000
            if not self.streaming:
                exchange.begin(now_s, self, Head(200, self._forwarded_headers(), length=len(response.body)))
                if response.body:
                    exchange.pieces(now_s, self, [response.body])
            exchange.finish(now_s, self)
            self.set_reading_paused(False)
        super().on_response(response)

    def set_reading_paused(self, hold: bool) -> None:
        transport = self.transport
        if transport is None or hold is self.reading_paused or transport.is_closing():
            return
        self.reading_paused = hold
        if hold:
            self.pause_reading()
        else:
            self.resume_reading()

    # Closing

    def _cancel_gather_timer(self) -> None:
        if self.gather_timer is not None:
            self.gather_timer.cancel()
            self.gather_timer = None

    def close(self) -> None:
        self._cancel_gather_timer()
        self.account.set_held(0)
        super().close()

    def connection_lost(self, exc: Exception | None) -> None:
        if (
            exc is None
            and self.awaiting_response
            and self.until_close
            and not (self._complete or self._malformed)
        ):
            self._complete, self._keep_alive = True, False
            self._finish()
        super().connection_lost(exc)
