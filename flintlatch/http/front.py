"""Clients of ordinary HTTP: heads read strictly, bodies passed on as they arrive."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, cast

from flintlatch.http.body import Body
from flintlatch.http.call import HELD_BYTES, Call, State
from flintlatch.http.engine import HttpEngine
from flintlatch.http.fields import Origin, to_node, upgrade_wanted
from flintlatch.http.framing import Kind, Malformed
from flintlatch.http.head import Limits, RequestHead, end_of_head, read_request_head
from flintlatch.http.rules import Rules
from flintlatch.http.streams import HIGH_BYTES, bound_reads
from flintlatch.http.transfer import Pace
from flintlatch.net.engine import Answer, log
from flintlatch.net.frontend import PHRASES, READY_PATH, Client, Frontend

if TYPE_CHECKING:
    from flintlatch.net.request import Reader


class HttpClient(Client):
    """One connection. Requests on it are answered one after the other."""

    def __init__(self, front: HttpFrontend) -> None:
        super().__init__(front)
        self.parser = None
        self.front = front
        self.buffer = bytearray()
        self.looked = 0  # how far the buffer was searched for the end of a head
        self.call: Call | None = None
        self.body: Body | None = None  # of the request that comes
        self.paused = False
        self.reading = True

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        self.transport.set_write_buffer_limits(high=HIGH_BYTES)
        bound_reads(transport)

    def connection_lost(self, exc: Exception | None) -> None:
        self.closing = True
        self.buffer.clear()
        call, self.call = self.call, None
        self.frontend.lost(self)
        if call is not None:
            self.front.engine.left(call)

    def pause_writing(self) -> None:
        self.paused = True
        if self.call is not None:
            self.call.hold_node(True)

    def resume_writing(self) -> None:
        self.paused = False
        if self.call is not None:
            self.call.hold_node(False)

    # Reading

    def data_received(self, data: bytes) -> None:
        if self.closing:
            super().data_received(data)  # dropped there, within its bound
            return
        self.buffer += data
        self.read_on()

    def read_on(self) -> None:
        """Go on with what is here, and read more where there is room for it."""
        try:
            while self._step():
                pass
        except Malformed as error:
            self._refuse(error)
        if self.transport.is_closing() or self.closing:
            return
        waits = self.call is not None and (self.body is None or self.body.done or self.call.upload.room <= 0)
        self._read(not waits and (self.call is None or not self.buffer))
        if self.call is None:
            self.begun = bool(self.buffer)
            places = self.frontend.waiting if self.begun or not self.served else self.frontend.idle
            self.frontend.put(self, places)
        else:
            self.frontend.put(self, None)

    def _read(self, reading: bool) -> None:
        if reading != self.reading:
            self.reading = reading
            if reading:
                self.transport.resume_reading()
            else:
                self.transport.pause_reading()

    def _step(self) -> bool:
        """Take one part of the buffer; false if there is nothing to take."""
        if self.closing or not self.buffer:
            return False
        call, body = self.call, self.body
        if call is None:
            return self._head()
        if body is None or body.done or call.upload.room <= 0:
            return False  # the next request waits for this one's answer, the body for room
        data = bytes(self.buffer[: call.upload.room])
        del self.buffer[: len(data)]
        pieces, rest = body.feed(data)
        self.buffer[:0] = rest
        for piece in pieces:
            call.came(piece)
        if body.done:
            call.trailers = body.trailers
            call.came_all()
        self.front.engine.more_came(call)
        return True

    def _head(self) -> bool:
        end = end_of_head(self.buffer, self.looked)
        limits = self.front.limits
        if end < 0:
            self.looked = len(self.buffer)
            if len(self.buffer) > limits.head_bytes:
                raise Malformed(431, "a head without end")
            return False
        raw = bytes(self.buffer[:end])
        del self.buffer[:end]
        self.looked = 0
        head = read_request_head(raw, limits)
        self.keep = head.keep
        if head.target.partition(b"?")[0] == READY_PATH and head.method in (b"GET", b"HEAD"):
            self.write(Answer(200 if self.frontend.ready() else 503))
            return not self.closing
        self._take_head(head)
        return True

    def _take_head(self, head: RequestHead) -> None:
        front = self.front
        if upgrade_wanted(head.fields):
            raise Malformed(501, "an upgrade to another protocol")
        if head.method == b"TRACE":
            raise Malformed(405, "TRACE")  # it would show a client what others added on the way
        if head.framing.kind is Kind.LENGTH and head.framing.length > front.most_body:
            raise Malformed(413, f"a body of {head.framing.length} bytes, at most {front.most_body}")
        read = front.rules.read(head)
        peer = self.transport.get_extra_info("peername")
        fields = to_node(head.fields, peer[0], head.host, head.minor, front.origin)
        names = front.rules.names
        drop = {names.id, names.budget, b"x-call-id", b"x-budget-ms", b"host"}
        lines = [b"%b %b HTTP/1.1\r\nHost: %b\r\n" % (head.method, head.target, head.host or b"unknown")]
        lines += [b"%b: %b\r\n" % pair for pair in fields if pair[0].lower() not in drop]
        lines.append(b"x-call-id: %b\r\n" % read.id)
        if head.framing.kind is Kind.CHUNKED:
            lines.append(b"transfer-encoding: chunked\r\n")
        elif head.framing.kind is Kind.LENGTH or head.method in (b"POST", b"PUT", b"PATCH"):
            lines.append(b"content-length: %d\r\n" % head.framing.length)
        call = Call(self, head, read, b"".join(lines), front.pace, front.upload_bytes)
        self.body = Body(head.framing)
        if self.body.done:
            call.came_all()
        self.call = call
        # What it may hold at most is set aside at once: of many slow ones, none must find nothing left.
        call.reserved = HELD_BYTES + (0 if self.body.done else 2 * front.upload_bytes)
        if not front.engine.budget.reserve(call.reserved):
            self.call = self.body = None
            raise Malformed(503, "no memory for another body")
        if not front.engine.take_call(call):
            self.call = self.body = None
            front.engine.budget.release(call.reserved)
            raise Malformed(400, f"the id {read.id[:40]!r} is another request's")

    def _refuse(self, error: Malformed) -> None:
        """What follows can't be told apart, or is not wanted: answer, and close."""
        self.keep = False
        call = self.call
        if call is None:
            retry = b"Retry-After: 1\r\n" if error.status == 503 else b""
            self.write(Answer(error.status, retry))
            return
        if call.state is State.WAITING:
            call.answer(Answer(error.status))
            self.front.engine.left(call)
        else:
            self.abort()

    def late(self) -> None:
        if self.begun:
            self._refuse(Malformed(408, "a head that does not come"))
        else:
            self.transport.close()

    # Answers

    def write(self, answer: Answer) -> None:
        """One of the proxy's own."""
        if self.transport.is_closing():
            return
        keep = self.keep = self.keep and not self.frontend.stopping
        phrase = PHRASES.get(answer.status, b"")
        head = b"HTTP/1.1 %d %b\r\n%bContent-Length: %d\r\n%b\r\n" % (
            answer.status,
            phrase,
            answer.headers,
            len(answer.body),
            b"" if keep else b"Connection: close\r\n",
        )
        self.transport.write(head + answer.body)
        self.served = True
        if not keep:
            self.finish()

    def answered(self, call: Call) -> None:
        """Its answer is out whole, or the proxy's own in its place."""
        if self.call is not call:
            return
        self.call = self.body = None
        self.served = True
        if self.transport.is_closing():
            return
        if not self.keep:
            if not self.closing:
                self.finish()
            return
        self.frontend.loop.call_soon(self.read_on)

    def finish(self) -> None:
        super().finish()
        self.buffer.clear()
        self.reading = True

    def abort(self) -> None:
        self.transport.abort()


class HttpFrontend(Frontend):
    def __init__(
        self,
        engine: HttpEngine,
        rules: Rules,
        most: int,
        accept_at_once: int,
        *,
        limits: Limits,
        origin: Origin,
        pace: Pace,
        upload_bytes: int,
        most_body: int,
    ) -> None:
        """`upload_bytes`: of a request's body held at most, the replay cap. `most_body`: 413 above it."""
        super().__init__(engine, cast("Reader", None), most, accept_at_once)
        self.engine: HttpEngine = engine
        self.rules, self.limits, self.origin, self.pace = rules, limits, origin, pace
        self.upload_bytes, self.most_body = upload_bytes, most_body

    def make_client(self) -> Client:
        return HttpClient(self)

    def _sweep(self) -> None:
        super()._sweep()
        for call in list(self.engine.calls.values()):
            if (stall := call.stalled()) is not None:
                log(f"{call.read.id.decode()}: {stall.value}")
                self.engine.stall(call, stall)
