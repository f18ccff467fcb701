"""A client connection: reads requests, hands them on one after another, and writes the responses."""

from __future__ import annotations

import asyncio
from collections import deque
from http import HTTPStatus
from typing import Protocol, cast

import httptools

from flintlatch.exchange import MIN_SHARE_BYTES
from flintlatch.net.clock import now_ms
from flintlatch.net.connections import ClientConnections, ConnectionState
from flintlatch.net.counts import CloseReason
from flintlatch.net.engine import Answer, Engine
from flintlatch.net.guard import bugs
from flintlatch.net.http1 import MAX_BODY, MAX_FIELDS, MAX_FRAMED_FACTOR, MAX_HEAD, Headers
from flintlatch.net.receiving import StreamConnection, has_unread_data, ms_since_last_data, peer_closed
from flintlatch.net.request import Message, Reader, RequestError, check_framing, held_bytes
from flintlatch.net.sending import OutputProgress, unsent_bytes

MAX_PIPELINED = 2  # requests read ahead on a connection before reading is paused
PARSE_CHUNK_BYTES = 4096  # of a body, parsed at once
# The same of heads: the objects of a small request take many times its bytes, and are kept until the requests
# before it are answered.
PARSE_HEAD_BYTES = 512
MAX_CONSECUTIVE_ERRORS = 8  # rejected requests in a row, after which the connection is closed
BODY_IDLE_TIMEOUT_S = 0.75  # without a byte of a body, once the time for a head is over
MAX_DISCARDED_BYTES = 1024 * 1024  # read and dropped behind the last request
READY_PATH = b"/health/ready"

REASON_PHRASES = {status.value: status.phrase.encode() for status in HTTPStatus}


class ClientOwner(Protocol):
    """What a client connection needs of its front end."""

    reader: Reader
    clients: ClientConnections[Client]
    refusing: bool

    @property
    def engine(self) -> Engine: ...
    @property
    def keep_alive_disabled(self) -> bool: ...
    def ready(self) -> bool: ...
    def on_client_lost(self, client: Client) -> None: ...


class Client(StreamConnection):
    """One client connection. Its requests are answered one after another, each exactly once.

    Its state is that of `ClientConnections`; `_update_state` derives it from what is read and owed."""

    def __init__(self, frontend: ClientOwner) -> None:
        self.frontend = frontend
        self.connections = frontend.clients
        self.transport: asyncio.Transport
        self.state = ConnectionState.READING
        self.reading_since_ms = 0.0
        self.progress: OutputProgress | None = None
        self.parser: httptools.HttpRequestParser | None = httptools.HttpRequestParser(self)
        self.queue: deque[Message | RequestError] = deque()
        self.request_id: str | None = None  # of the request that the engine handles
        self.keep_alive = True
        self.writing_blocked = False  # the write buffer is full, because the client does not read
        self.response_sent, self.consecutive_errors, self.discarded_bytes = False, 0, 0
        self.unparsed = b""  # received, but not parsed yet
        self.account = frontend.engine.memory.open_account()
        self.request_started = False  # a request has begun and is not complete
        self.last_data_ms = 0.0  # time at which bytes of a request last arrived
        # Since when this connection may have waited to be accepted; None: it was accepted at once.
        self.queued_since_ms: float | None = None
        self.wait_in_kernel_ms = 0.0  # of the bytes being read
        self._reset()

    def _reset(self) -> None:
        self._target, self._body, self._message_bytes = b"", bytearray(), 0
        self._headers: Headers = []
        self._head_done = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        # Above it the kernel's buffer is full: what else may be written depends on the client's share.
        self.transport.set_write_buffer_limits(high=MIN_SHARE_BYTES)
        self.connections.add(self)

    @property
    def closing(self) -> bool:
        """Whether no further request is read."""
        return not self.state.reads_requests

    def eof_received(self) -> bool | None:
        """Handles a client that has closed its side. Unread responses keep the transport open, for as long as
        the client takes bytes of them."""
        self.unparsed = b""
        self.queue.clear()
        if self.request_id is not None:
            self.abort()
        else:
            self._linger_for_unread_responses()
        return None

    def _linger_for_unread_responses(self) -> None:
        """The event loop closes the transport once everything is written to the kernel."""
        unsent = self.transport.get_write_buffer_size()
        self.connections.move(self, ConnectionState.LINGERING if unsent else ConnectionState.CLOSED)

    def abort(self) -> None:
        """Ends the connection now; `connection_lost` follows."""
        self.connections.move(self, ConnectionState.CLOSED)
        self.transport.abort()

    def on_callback_error(self) -> None:
        """Answers what is open, as for bytes that can't be read, with 500 behind it."""
        if self.transport.is_closing():
            self.abort()
        elif self.state.reads_requests:
            self._reject(500)
            self._process_next()
        elif self.state is not ConnectionState.FINISHING:
            self.abort()

    def abort_for(self, reason: CloseReason) -> None:
        self.frontend.engine.counts.add(reason)
        self.abort()

    def gone(self) -> bool:
        """Whether the client has closed its connection, according to the kernel; if so, the connection is
        aborted."""
        if not peer_closed(self.transport):
            return False
        self.abort()
        return True

    def connection_lost(self, exc: Exception | None) -> None:
        self.queue.clear()
        # The parser refers back to this connection; only the garbage collector would free the cycle.
        self.unparsed, self.parser = b"", None
        self._reset()
        self.account.set_held(0)
        self.frontend.on_client_lost(self)
        if self.request_id is not None:
            self.frontend.engine.client_gone(self.request_id)
            self.request_id = None

    def data_received(self, data: bytes) -> None:
        if self.closing:
            self._discard(len(data))
            return
        self.unparsed = self.unparsed + data if self.unparsed else data
        self.last_data_ms = self.receiver.received_ms if self.receiver is not None else now_ms()
        if self.queued_since_ms is not None:
            longest_wait_ms = self.last_data_ms - self.queued_since_ms
            self.wait_in_kernel_ms = min(longest_wait_ms, ms_since_last_data(self.transport))
            self.queued_since_ms = None
        self._process()
        self.wait_in_kernel_ms = 0.0

    def _discard(self, size: int) -> None:
        """Drops bytes that are not read as requests. Beyond a limit the connection ends, or is not read any
        more while the client is still owed a response."""
        self.discarded_bytes += size
        if self.discarded_bytes <= MAX_DISCARDED_BYTES:
            return
        if self.state is ConnectionState.FINISHING or unsent_bytes(self.transport):
            self.pause_reading()
        else:
            self.abort()

    # Memory

    def receive_limit(self) -> int:
        return self.account.room_bytes

    def partial_bytes(self) -> int:
        """Memory for the request that is not complete."""
        return held_bytes(self._headers, self._body) + len(self._target)

    def update_account(self) -> None:
        """Records what is held for this client."""
        if self.state is ConnectionState.CLOSED or self.parser is None or self.holds_nothing():
            return
        self.account.set_held(self.held_bytes())

    def held_bytes(self) -> int:
        """The memory that is held for this client now."""
        held = len(self.unparsed) + self.partial_bytes()
        held += sum(message.held_bytes() for message in self.queue)
        if self.writing_blocked:  # otherwise the kernel takes the rest at once
            held += self.transport.get_write_buffer_size()
        return held

    def holds_nothing(self) -> bool:
        """Whether nothing is held now, nor was when it was recorded last: so with most requests."""
        return not (
            self.account.held_bytes
            or self.unparsed
            or self.request_started
            or self.writing_blocked
            or self.queue
        )

    def _refuse_beyond_share(self) -> None:
        """Refuses an incomplete request that takes more memory than one client may hold now, before anything
        of it is sent to a server."""
        if self.partial_bytes() > self.account.budget.request_share_bytes:
            self._reject(503)

    def pause_writing(self) -> None:
        self.writing_blocked = True
        self.update_account()

    def resume_writing(self) -> None:
        self.writing_blocked = False
        self._process_next()
        self.update_account()

    def waits_for_reader(self) -> bool:
        """Whether nothing but the client's reading lets the connection go on."""
        return self.writing_blocked and self.request_id is None

    def owes_bytes(self) -> bool:
        """Whether the end of the process would cut off an answer."""
        if self.state is ConnectionState.CLOSED:
            return False
        return self.request_id is not None or bool(self.queue) or unsent_bytes(self.transport) > 0

    def may_start_request(self) -> bool:
        """Whether the next request may be handled: the one before it is answered, and the client takes its
        responses, which are kept in memory until then."""
        return self.request_id is None and not self.writing_blocked

    def may_read_ahead(self) -> bool:
        """Whether more may be read: requests that can't be handled yet wait in the kernel, once this client
        holds what it may."""
        if len(self.queue) >= MAX_PIPELINED:
            return False
        return self.may_start_request() or self.account.room_bytes > 0

    def _process_next(self) -> None:
        """Continues with the requests queued behind the one just answered."""
        if self.state in (ConnectionState.LINGERING, ConnectionState.CLOSED):
            return
        if not self.transport.is_closing():
            self._process()

    def _process(self) -> None:
        """Handles queued requests in order, and parses more while few are queued."""
        while not self.closing or self.queue:
            while self.may_start_request() and self._next_is_certain():
                self._handle(self.queue.popleft())
            if not self.unparsed or self.closing or not self.may_read_ahead():
                break
            size = self.parse_limit()
            if size <= 0:
                break
            chunk, self.unparsed = self.unparsed[:size], self.unparsed[size:]
            self._parse(chunk)
            if self.request_started:
                self._refuse_beyond_share()
        self._update_state()
        self.update_account()

    def _next_is_certain(self) -> bool:
        """Whether the first queued request may be handled: what follows it directly, as far as it was
        received, was parsed and puts its length in no doubt."""
        if len(self.queue) != 1:
            return bool(self.queue)
        return not self.unparsed or self.request_started or self.closing

    def _update_state(self) -> None:
        if self.transport.is_closing() or self.state in (ConnectionState.LINGERING, ConnectionState.CLOSED):
            return
        if self.request_id is not None or self.queue:
            if self.state is not ConnectionState.FINISHING:
                self.connections.move(self, ConnectionState.SERVING)
        elif self.state is ConnectionState.FINISHING:
            self.close_lingering()
        elif self.request_started and self.writing_blocked:
            self.connections.move(self, ConnectionState.SERVING)  # read on once the responses are taken
        elif self.request_started or not self.response_sent:
            self.connections.move(self, ConnectionState.READING)
        else:
            self.connections.move(self, ConnectionState.IDLE)
        if self.closing:
            return
        if not self.may_read_ahead() or len(self.unparsed) > PARSE_CHUNK_BYTES:
            self.pause_reading()
        else:
            self.resume_reading()

    def pause_reading(self) -> None:
        """Stops reading. The end of the connection is not reported then, so `gone` is asked regularly."""
        super().pause_reading()
        self.connections.paused.add(self)

    def resume_reading(self) -> None:
        super().resume_reading()
        if self in self.connections.paused:
            self.connections.paused.discard(self)
            # What the client has sent meanwhile was not read: its time to go on starts now.
            self.reading_since_ms = self.last_data_ms = now_ms()

    def parse_limit(self) -> int:
        """Number of bytes that may be parsed now."""
        return PARSE_CHUNK_BYTES if self._head_done else PARSE_HEAD_BYTES

    def _parse(self, chunk: bytes) -> None:
        assert self.parser is not None
        self._message_bytes += len(chunk)
        before = len(self.queue)
        try:
            self.parser.feed_data(chunk)
        except httptools.HttpParserCallbackError as error:
            bugs.report("parsing a request", error.__context__)
            self._reject(500)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            # Bytes directly after a request that are no valid request put the length of that request in
            # doubt.
            if len(self.queue) > before and isinstance(self.queue[-1], Message):
                self.queue.pop()
            self._reject(400)
        if not self._head_done and self._message_bytes > MAX_HEAD:
            self._reject(400)
        elif self._message_bytes > self.message_limit():
            self._reject(413)

    def message_limit(self) -> float:
        """Bytes that the incomplete request may have taken: its head, trailers and framing, and its body."""
        return MAX_HEAD + MAX_FRAMED_FACTOR * len(self._body)

    def _reject(self, status: int) -> None:
        """Queues an error response and stops reading, because the boundaries of further requests are
        unknown."""
        if not self.closing:
            self.connections.move(self, ConnectionState.FINISHING)
            self.unparsed, self.request_started = b"", False
            self._reset()
            self.queue.append(RequestError(status))

    def on_read_timeout(self) -> None:
        """Handles a client that has not sent a complete request in time."""
        if not self.request_started:
            self.close_when_idle(CloseReason.READ_TIMEOUT)
        elif not self._head_done or now_ms() - self.last_data_ms > BODY_IDLE_TIMEOUT_S * 1000:
            self._reject(408)
            self._process()

    # Callbacks of httptools

    def on_message_begin(self) -> None:
        self.request_started = True
        if self.response_sent or self.request_id is not None or self.queue:
            self.reading_since_ms = now_ms()  # the first request's time counts from connecting

    def on_url(self, url: bytes) -> None:
        self._target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        # Trailers are dropped, as they must not be taken for checked headers; only their size is counted.
        if self._head_done:
            return
        if len(self._headers) >= MAX_FIELDS:
            self._reject(431)
        else:
            # White space around a value is not part of it, RFC 9110 section 5.5.
            self._headers.append((name.strip().lower(), value.strip(b" \t")))

    def on_headers_complete(self) -> None:
        if self.closing:
            return
        self._head_done = True
        try:
            check_framing(self._headers)
        except RequestError as error:
            self._reject(error.status)
            return
        if sum(len(name) + len(value) for name, value in self._headers) + len(self._target) > MAX_HEAD:
            self._reject(400)
        elif (b"expect", b"100-continue") in self._headers and self.request_id is None and not self.queue:
            self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, body: bytes) -> None:
        if self.closing:
            return
        if len(self._body) + len(body) > MAX_BODY:
            self._reject(413)
        else:
            self._body += body

    def on_message_complete(self) -> None:
        if self.closing:
            return
        assert self.parser is not None
        method, keep = self.parser.get_method(), self.parser.should_keep_alive()
        arrived_ms = self.last_data_ms - self.wait_in_kernel_ms
        self.queue.append(Message(method, self._target, self._headers, bytes(self._body), keep, arrived_ms))
        self.request_started = False
        self._reset()

    # Responses

    def _handle(self, message: Message | RequestError) -> None:
        try:
            if isinstance(message, RequestError):
                self.keep_alive = False
                raise message
            self.keep_alive = message.keep_alive and not self.frontend.refusing
            if self.frontend.refusing:
                raise RequestError(503, "the proxy stops")
            self._accept_request(message)
            self.consecutive_errors = 0
        except RequestError as error:
            self.consecutive_errors += 1
            if self.consecutive_errors >= MAX_CONSECUTIVE_ERRORS:
                self.keep_alive = False
            self.write(Answer(error.status))

    def _accept_request(self, message: Message) -> None:
        frontend = self.frontend
        if message.target.split(b"?", 1)[0] == READY_PATH:
            if message.method != b"GET":
                raise RequestError(405, f"method {message.method!r} for {READY_PATH!r}, expected GET")
            self.write(Answer(200 if frontend.ready() else 503))
            return
        accepted = frontend.reader.read(message, self.on_answer)
        if not frontend.engine.accept(accepted):
            raise RequestError(400, f"id {accepted.id!r} is in use or was recently")
        self.request_id = accepted.id

    def on_answer(self, answer: Answer) -> None:
        if self.request_id is not None:
            self.request_id = None
            self.write(answer)
            self._process_next()

    def write(self, answer: Answer) -> None:
        if self.transport.is_closing():
            return
        # Pipelined requests are answered too: the connection closes after the last of them.
        keep = self.keep_alive and not (
            self.frontend.keep_alive_disabled and not self.queue and not self.unparsed
        )
        self.transport.write(
            b"HTTP/1.1 %d %b\r\n%bcontent-length: %d\r\n%b\r\n%b"
            % (
                answer.status,
                REASON_PHRASES[answer.status],
                answer.headers,
                len(answer.body),
                b"" if keep else b"connection: close\r\n",
                answer.body,
            )
        )
        self.response_sent = True
        if not keep:
            self.close_lingering()

    def close_when_idle(self, reason: CloseReason = CloseReason.IDLE) -> None:
        """Closes between two requests, unless the next one has just arrived, which is answered first. A
        request that arrives later is dropped, and its client sends it again elsewhere."""
        if not self.transport.is_closing() and not has_unread_data(self.transport):
            self.close_lingering(reason)

    def close_lingering(self, reason: CloseReason = CloseReason.LAST_RESPONSE) -> None:
        """Closes after the written responses (lingering close). If the connection were closed at once with
        unread bytes, the kernel would reset it and the client could lose its response, so the client may
        close first."""
        self.frontend.engine.counts.add(reason)
        self.connections.move(self, ConnectionState.LINGERING)
        self.unparsed = b""
        self.queue.clear()
        self._reset()
        self.connections.paused.discard(self)
        self.resume_reading()
        self.transport.write_eof()
        self.progress = OutputProgress(unsent_bytes(self.transport))
        self.update_account()
