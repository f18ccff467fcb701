"""One request between its client's connection and the attempts on it."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING

from flintlatch.http.body import chunk, last_chunk
from flintlatch.http.fields import to_client
from flintlatch.http.framing import Fields, Kind, Malformed, values
from flintlatch.http.head import RequestHead, ResponseHead
from flintlatch.http.rules import Read
from flintlatch.http.streams import HIGH_BYTES, READ_BYTES, StreamAttempt
from flintlatch.http.transfer import Pace, Pipe, Side, Stall, Upload
from flintlatch.net.clock import now_ms
from flintlatch.net.engine import Answer

if TYPE_CHECKING:
    from flintlatch.http.front import HttpClient

HELD_BYTES = HIGH_BYTES + 2 * READ_BYTES  # of an answer at most: the buffer up to its mark, and one read


class State(Enum):
    WAITING = "waiting"  # nothing of an answer has gone out
    BEGUN = "begun"  # its head has: it ends whole, or visibly broken
    OVER = "over"


class Call:
    def __init__(
        self, client: HttpClient, head: RequestHead, read: Read, node_head: bytes, pace: Pace, cap: int
    ) -> None:
        self.client, self.head, self.read, self.node_head = client, head, read, node_head
        self.upload = Upload(cap)
        self.trailers: Fields = []
        self.state = State.WAITING
        self.attempt: StreamAttempt | None = None  # whose answer is passed on
        self.response: ResponseHead | None = None
        self.chunked = False  # towards the client
        self.reserved = 0  # bytes of the process's budget
        now = now_ms() / 1000
        self.up = Pipe(Side.CLIENT, 2 * cap, pace, pace, now)
        self.down: Pipe | None = None
        self.pace = pace

    # The upload

    def came(self, piece: bytes) -> None:
        if self.upload.total + len(piece) > self.client.front.most_body:
            raise Malformed(413, f"a body of more than {self.client.front.most_body} bytes")
        self.up.arrived(now_ms() / 1000, len(piece))
        if self.upload.add(piece):
            self.client.front.engine.body_gone(self)

    def came_all(self) -> None:
        self.up.ended(now_ms() / 1000)
        self.upload.end()

    def sent(self, count: int) -> None:
        """Bytes that an attempt has taken; what a later one takes once more does not count again."""
        self.up.taken(now_ms() / 1000, min(count, self.up.held))

    # The answer

    def interim(self, head: ResponseHead) -> None:
        if self.state is State.WAITING and self.head.minor >= 1:
            fields = b"".join(
                b"%b: %b\r\n" % pair for pair in to_client(head.fields, head.minor, self.via)[:-1]
            )
            self.client.transport.write(b"HTTP/1.1 %d %b\r\n%b\r\n" % (head.status, head.reason, fields))

    @property
    def via(self) -> bytes:
        return self.client.front.origin.via

    def begin(self, attempt: StreamAttempt, head: ResponseHead) -> None:
        """A node's final answer: from here on no other one can take its place."""
        self.state, self.attempt, self.response = State.BEGUN, attempt, head
        self.client.front.engine.committed(self, attempt)
        lines = list(to_client(head.fields, head.minor, self.via))
        kind = head.framing.kind
        client = self.client
        if not self.upload.complete:
            client.keep = (
                False  # what follows of the upload is dropped, and can't be told from a next request
            )
        if kind is Kind.LENGTH:
            lines.append((b"Content-Length", b"%d" % head.framing.length))
        elif kind is Kind.NONE:
            lines += [(b"Content-Length", value) for value in values(head.fields, b"content-length")]
        elif self.head.minor >= 1:
            self.chunked = True
            lines.append((b"Transfer-Encoding", b"chunked"))
        else:
            client.keep = False
        client.keep = client.keep and not client.front.stopping
        if not client.keep:
            lines.append((b"Connection", b"close"))
        elif self.head.minor == 0:
            lines.append((b"Connection", b"keep-alive"))
        fields = b"".join(b"%b: %b\r\n" % pair for pair in lines)
        client.transport.write(b"HTTP/1.1 %d %b\r\n%b\r\n" % (head.status, head.reason, fields))
        self.down = Pipe(Side.NODE, HELD_BYTES, self.pace, self.pace, now_ms() / 1000)

    def pass_on(self, piece: bytes) -> None:
        if self.state is not State.BEGUN or not piece or self.down is None:
            return
        self._note_taken()
        self.down.arrived(now_ms() / 1000, min(len(piece), self.down.room))
        self.client.transport.write(chunk(piece) if self.chunked else piece)
        if self.client.paused:
            self.hold_node(True)

    def hold_node(self, hold: bool) -> None:
        """Back-pressure: what the client does not take, the node must keep."""
        connection = self.attempt.connection if self.attempt is not None else None
        if connection is not None and connection.transport is not None:
            if hold:
                connection.transport.pause_reading()
            else:
                connection.transport.resume_reading()

    def finish(self, trailers: Fields) -> None:
        """The answer is here whole."""
        if self.state is State.BEGUN:
            self.state = State.OVER
            if self.chunked:
                self.client.transport.write(last_chunk(trailers))
            self.client.answered(self)

    def answer(self, answer: Answer) -> None:
        """The proxy's own: the module has given it up, or its time is over."""
        if self.state is State.WAITING:
            self.state = State.OVER
            if not self.upload.complete:
                self.client.keep = False
            self.client.write(answer)
            self.client.answered(self)
        else:
            self.break_off()

    def break_off(self) -> None:
        """An answer that has begun and can't be finished: no last chunk, and the end of the connection."""
        if self.state is State.BEGUN:
            self.state = State.OVER
            self.client.abort()

    # Time

    def _note_taken(self) -> None:
        """What has left the client's write buffer, as far as it was of this body."""
        if self.down is not None:
            left = self.client.transport.get_write_buffer_size()
            if (gone := self.down.held - left) > 0:
                self.down.taken(now_ms() / 1000, gone)

    def stalled(self) -> Stall | None:
        now = now_ms() / 1000
        if self.state is State.BEGUN and self.down is not None:
            self._note_taken()
            return self.down.stalled(now)
        if self.state is State.WAITING and not self.upload.complete:
            if self.upload.room <= 0 and self.client.front.engine.unsent(self):
                return None  # it waits for the module: nobody's stall
            return self.up.stalled(now)
        return None
