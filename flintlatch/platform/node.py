"""The platform's way to a server, on the exchange: answers of 200 alone are passed on, short ones once they
are here whole, so that another attempt may take the place of a spoilt one."""

from __future__ import annotations

import asyncio
import socket
from typing import cast

from flintlatch.exchange import Exchange, Phase
from flintlatch.exchange import Response as Head
from flintlatch.net.backends import Attempt, Backend, Backends, Connection
from flintlatch.net.clock import now_ms
from flintlatch.net.engine import FORWARDED_RESPONSE_HEADERS
from flintlatch.net.http1 import MAX_BODY, MAX_HEAD, Response
from flintlatch.net.relay import RelayAttempt
from flintlatch.platform.engine import Message
from flintlatch.platform.limits import GATHER_S, KERNEL_BYTES, MOST_BODY


class PlatformConnection(Connection):
    """`Connection`'s place in the pools, and a `NodeSide` of exchanges."""

    def __init__(self, pool: Backends, backend: Backend) -> None:
        super().__init__(pool, backend)
        self.uploading = self.sent_all = self.paused = False
        self.begun = self.held = False  # its answer is passed on; its client takes no more of it
        self.until_close = False
        self.length: int | None = None  # of the answer's body, if it was told
        self.came = 0  # bytes of it
        self.timer: asyncio.TimerHandle | None = None

    @property
    def exchange(self) -> Exchange | None:
        attempt = self.attempt
        return attempt.exchange if isinstance(attempt, RelayAttempt) else None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        # Before anything has come: made smaller later, the window may close for good.
        transport.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, KERNEL_BYTES)
        super().connection_made(transport)

    # The request

    def send_attempt(self, attempt: Attempt) -> None:
        self.begun = self.held = self.until_close = self.sent_all = False
        self.length, self.came = None, 0
        if not isinstance(attempt, RelayAttempt):  # a probe
            self.uploading = False
            super().send_attempt(attempt)
            return
        self.attempt, attempt.connection, attempt.node = attempt, self, self
        exchange, now = attempt.exchange, now_ms()
        request = cast(Message, exchange.request)
        exchange.attach(now / 1000, self)
        budget = max(1, int(min(attempt.deadline - now, exchange.ask.budget_ms)))
        head = b"%bx-budget-ms: %d\r\n" % (request.head, budget)
        self.uploading = not exchange.upload.complete
        if self.uploading:
            if request.length is None:
                self.send_request(head + b"transfer-encoding: chunked\r\n\r\n")
            else:
                self.send_request(head + b"content-length: %d\r\n\r\n" % request.length)
            self.write_incomplete = True
            self.more()
        else:
            pieces, size = exchange.take(now / 1000)
            if request.method == b"POST":
                head += b"content-length: %d\r\n" % size
            self.send_request(b"".join((head, b"\r\n", *pieces)))

    def more(self) -> None:
        exchange, transport = self.exchange, self.transport
        if exchange is None or transport is None or not self.uploading or transport.is_closing():
            return
        chunked = exchange.request.length is None
        if not self.paused:
            pieces, size = exchange.take(now_ms() / 1000)
            if size:
                transport.writelines([b"%x\r\n" % size, *pieces, b"\r\n"] if chunked else pieces)
        if exchange.upload.taken and not self.sent_all:
            self.sent_all = True
            if chunked:
                transport.write(b"0\r\n\r\n")
        if self.sent_all and not self.paused and not transport.is_closing():
            self.uploading = self.write_incomplete = False
            self.on_written()
        else:
            exchange.client.more()

    def pause_writing(self) -> None:
        self.paused = self.write_incomplete = True

    def resume_writing(self) -> None:
        self.paused = False
        if self.uploading:
            self.more()
        else:
            super().resume_writing()

    def on_written(self) -> None:
        if self.uploading:
            return  # its head
        super().on_written()
        exchange = self.exchange
        if exchange is not None:
            exchange.sent(now_ms() / 1000, self)

    # The answer

    def accepts_framing(self, lengths: list[bytes], codings: list[bytes]) -> bool:
        if self._status != 200 or self.exchange is None:
            return super().accepts_framing(lengths, codings)
        if len(lengths) + len(codings) > 1:
            return False
        self.max_message_bytes = MAX_HEAD + 4 * MOST_BODY
        if lengths:
            length = lengths[0].strip()
            if not length.isdigit() or len(length) > 18 or int(length) > MOST_BODY:
                return False
            self.length = int(length)
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
        self.timer = self.pool.loop.call_later(GATHER_S, self._gathered)
        return True

    def _gathered(self) -> None:
        if self._body:
            self._begin()

    def on_body(self, body: bytes) -> None:
        if self._complete or self._malformed:
            return
        self.came += len(body)
        exchange = self.exchange
        if exchange is None:
            super().on_body(body)
        elif self.came > MOST_BODY:
            self._malformed = True
        elif self.begun:
            exchange.pieces(now_ms() / 1000, self, [body])
        else:
            self._body += body
            waited = self.timer is not None and self.timer.when() <= self.pool.loop.time()
            if len(self._body) > MAX_BODY or waited or (self.length or 0) > MAX_BODY:
                self._begin()

    def _begin(self) -> None:
        """Hold it no longer: from here on it is the final answer, whole or visibly broken."""
        exchange = self.exchange
        if self.begun or not self.awaiting_response or self._complete or exchange is None:
            return
        self.begun = True
        self._cancel_timer()
        now_s = now_ms() / 1000
        body, self._body = bytes(self._body), bytearray()
        exchange.begin(now_s, self, Head(200, self._passed_on(), length=self.length))
        if exchange.phase is not Phase.BEGUN or exchange.node is not self:
            self._malformed = True  # another answer was quicker: this one is nobody's
        elif body:
            exchange.pieces(now_s, self, [body])

    def _passed_on(self) -> list[tuple[bytes, bytes]]:
        return [pair for pair in self._headers if pair[0] in FORWARDED_RESPONSE_HEADERS]

    def on_response(self, response: Response) -> None:
        self._cancel_timer()
        exchange = self.exchange
        if exchange is not None and response.status == 200:
            now_s = now_ms() / 1000
            if not self.begun:
                exchange.begin(now_s, self, Head(200, self._passed_on(), length=len(response.body)))
                if response.body:
                    exchange.pieces(now_s, self, [response.body])
            exchange.finish(now_s, self)
            self.hold(False)
        super().on_response(response)

    def hold(self, hold: bool) -> None:
        transport = self.transport
        if transport is None or hold is self.held or transport.is_closing():
            return
        self.held = hold
        if hold:
            transport.pause_reading()
        else:
            transport.resume_reading()

    # Its end

    def _cancel_timer(self) -> None:
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None

    def close(self) -> None:
        self._cancel_timer()
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
