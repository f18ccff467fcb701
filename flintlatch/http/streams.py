"""The way to nodes: one exchange at a time on a connection, both bodies passed on as they arrive."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from typing import TYPE_CHECKING, cast

from flintlatch.api import Result
from flintlatch.http.body import Body, chunk, last_chunk
from flintlatch.http.framing import Kind, Malformed, values
from flintlatch.http.head import ResponseHead, end_of_head, read_response_head
from flintlatch.net.backends import Attempt, Backend, Backends, Connection
from flintlatch.net.clock import now_ms

if TYPE_CHECKING:
    from flintlatch.http.call import Call
    from flintlatch.net.http1 import Response

RECEIVE_BYTES = 64 * 1024  # the kernel's buffer for a connection, of which it uses twice as much (socket(7))
READ_BYTES = 2 * RECEIVE_BYTES  # at once: what a connection may hold beyond its write buffer
HIGH_BYTES = 64 * 1024  # of a write buffer, before the other side is held back
MOST_INTERIM = 8  # 1xx answers ahead of the real one


def bound_reads(transport: asyncio.BaseTransport) -> None:
    """Let the kernel hold no more than RECEIVE_BYTES for it, and so hand out no more at once: what a peer
    sends beyond that waits on the peer's side."""
    sock = transport.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BYTES)


class StreamAttempt(Attempt):
    """One sending of a call to one node."""

    def __init__(
        self,
        uid: str,
        call: Call,
        limit_ms: float,
        done: Callable[[Attempt, Result, Response | None], None],
    ) -> None:
        super().__init__(uid, b"", b"", limit_ms, done)
        self.call = call
        self.begun = False  # its answer has


class StreamConnection(Connection):
    """`Connection`'s place in the pools, with a reader of its own."""

    def __init__(self, pool: Backends, backend: Backend) -> None:
        super().__init__(pool, backend)
        self.head = bytearray()
        self.response: ResponseHead | None = None
        self.body: Body | None = None
        self.paused = False  # its write buffer is full
        self.sent_all = self.wrote = False
        self.interim = 0

    @property
    def call(self) -> Call | None:
        return cast(StreamAttempt, self.attempt).call if self.attempt is not None else None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.transport.set_write_buffer_limits(high=HIGH_BYTES)
        bound_reads(transport)
        self.backend.connecting.discard(self)
        if self.attempt is not None:
            self.carry(self.attempt)
        else:
            self.close()

    def carry(self, attempt: Attempt) -> None:
        assert self.transport is not None
        self.attempt, attempt.connection = attempt, self
        call = cast(StreamAttempt, attempt).call
        self.head.clear()
        self.response = self.body = None
        self.interim, self.sent_all, self.wrote, self.waiting = 0, False, True, True
        call.upload.begin()
        budget = max(1, int(attempt.deadline - now_ms()))
        self.transport.write(b"%bx-budget-ms: %d\r\n\r\n" % (call.node_head, budget))
        self.pump()

    def never_ran(self) -> bool:
        """A node may begin with the head alone: only one that has nothing of it has surely not run it."""
        return not self.wrote

    # The upload

    def pump(self) -> None:
        """Write what has come of the body, while the node takes it."""
        call, transport = self.call, self.transport
        if call is None or transport is None or self.sent_all:
            return
        chunked = call.head.framing.kind is Kind.CHUNKED
        while not self.paused and (piece := call.upload.take()) is not None:
            transport.write(chunk(piece) if chunked else piece)
            call.sent(len(piece))
        if call.upload.taken:
            self.sent_all = True
            if chunked:
                transport.write(last_chunk(call.trailers))
        call.client.read_on()

    def pause_writing(self) -> None:
        self.paused = True

    def resume_writing(self) -> None:
        self.paused = False
        self.pump()

    # The answer

    def data_received(self, data: bytes) -> None:
        if self.attempt is None:
            self.close()  # unasked bytes must never meet the next request
            self.on_broken()
            return
        try:
            self._read(data)
        except Malformed:
            self._fail(Result.RESET)

    def _read(self, data: bytes) -> None:
        while data and self.attempt is not None:
            if self.body is None:
                self.head += data
                end = end_of_head(self.head)
                most = self.pool_limits()
                if end < 0:
                    if len(self.head) > most:
                        raise Malformed(502, "a head without end")
                    return
                raw, data = bytes(self.head[:end]), bytes(self.head[end:])
                self.head.clear()
                self._on_head(raw)
            else:
                pieces, data = self.body.feed(data)
                call = self.call
                for piece in pieces:
                    if call is not None:
                        call.pass_on(piece)
                if self.body.done:
                    self._end_exchange(bool(data))
                    return
        if self.body is not None and self.body.done and self.attempt is not None:
            self._end_exchange(False)

    def pool_limits(self) -> int:
        call = self.call
        return call.client.front.limits.head_bytes if call is not None else READ_BYTES

    def _on_head(self, raw: bytes) -> None:
        call, attempt = self.call, cast(StreamAttempt, self.attempt)
        assert call is not None
        head = read_response_head(raw, call.head.method, call.client.front.limits)
        if head.status < 200:
            self.interim += 1
            if self.interim > MOST_INTERIM:
                raise Malformed(502, "too many interim answers")
            call.interim(head)
            return
        self.backend.heard = now_ms()
        self.response, self.body = head, Body(head.framing)
        if head.status in (503, 504) and values(head.fields, b"x-rejected") == [b"1"]:
            self._rejected(head)
            return
        attempt.begun = True
        call.begin(attempt, head)

    def _rejected(self, head: ResponseHead) -> None:
        """Turned away, and never run. Nothing is passed on; a body may follow, so the connection goes."""
        self._fail(Result.FULL)

    def _end_exchange(self, surplus: bool) -> None:
        attempt, response, body = self.attempt, self.response, self.body
        assert attempt is not None and response is not None and body is not None
        call = cast(StreamAttempt, attempt).call
        self.attempt, self.waiting = None, False
        self.usable = (
            response.keep and self.sent_all and not surplus and response.framing.kind is not Kind.UNTIL_CLOSE
        )
        call.finish(body.trailers)
        self.pool.put_back(self)
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
        self.usable = False
        if self in self.backend.idle:
            self.backend.idle.remove(self)
        if self.attempt is None:
            return
        if exc is None and self.body is not None and self.body.framing.kind is Kind.UNTIL_CLOSE:
            self.body.end()
            self._end_exchange(False)
        else:
            self._fail(Result.CONNECT_FAILED if self.never_ran() else Result.RESET)
