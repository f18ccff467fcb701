"""Client connections: accepts them within a limit, reads requests and writes responses."""

from __future__ import annotations

import asyncio
import socket
from collections import deque
from collections.abc import Callable
from enum import Enum
from http import HTTPStatus
from typing import cast

import httptools

from flintlatch.net.clock import now_ms
from flintlatch.net.counts import CloseReason
from flintlatch.net.engine import Answer, Engine
from flintlatch.net.http1 import (
    MAX_BODY,
    MAX_HEAD,
    Headers,
    has_unread_data,
    ms_since_last_data,
    peer_closed,
    split_address,
)
from flintlatch.net.log import log
from flintlatch.net.request import Message, Reader, RequestError, check_framing

LISTEN_BACKLOG = 512
ACCEPTS_PER_TURN = 16  # so that requests on open connections need not wait for a flood of new connections
# Where other processes accept from the same socket, so that one of them does not take all connections.
ACCEPTS_PER_TURN_SHARED = 1
MAX_PIPELINED = 2  # requests read ahead on a connection before reading is paused
# Parsed before the requests in it are handled, so that hundreds of pipelined requests are not parsed at once.
PARSE_CHUNK_BYTES = 4096
# One request as sent: the chunked framing of a body may take three times its size.
MAX_MESSAGE_BYTES = MAX_HEAD + 4 * MAX_BODY
MAX_CONSECUTIVE_ERRORS = 8  # rejected requests in a row, after which the connection is closed
# For a head, from connecting or from its first byte. A well-behaved client may take 2 s, and an incomplete
# request must be ended after 3 s. A body may take longer as long as bytes arrive.
REQUEST_READ_TIMEOUT_S = 2.5
BODY_IDLE_TIMEOUT_S = 0.75  # without a byte of such a body
SWEEP_INTERVAL_S = 0.25  # between checks for expired timeouts
IDLE_TIMEOUT_S = 30.0  # for a kept connection, while at most half of the connection limit is in use
CROWDED_IDLE_TIMEOUT_S = 2.0  # while more than half of it is in use
# While keep-alive is disabled: most idle clients send another request in this time, and its response closes
# the connection in an orderly way.
DRAIN_IDLE_TIMEOUT_S = 1.0
EVICTION_GRACE_MS = 250.0  # for a new connection at the limit, whose first request is on the way
LINGER_TIMEOUT_S = 1.0  # for the peer to close after the last response; then the connection is aborted
MAX_LINGER_BYTES = 1024 * 1024  # read and dropped in that time; by then the response has long been sent
FINAL_FLUSH_S = 0.05  # at the end of a stop, for the last responses to be sent
ACCEPT_RETRY_DELAY_S = 0.05  # after a lack of descriptors
FINAL_ACCEPT_RETRY_DELAY_S, FINAL_ACCEPT_RETRIES = 0.01, 10  # of connections queued at the end of a stop
MAX_UNREAD_RESPONSE_BYTES = 2 * MAX_BODY  # that a client may leave unread before its connection is aborted
READY_PATH = b"/health/ready"

REASON_PHRASES = {status.value: status.phrase.encode() for status in HTTPStatus}


class AcceptResult(Enum):
    """What became of accepting one connection."""

    ACCEPTED = "accepted"
    REPLACED = "replaced"  # accepted, and another client was evicted for it
    EMPTY = "empty"  # no connection is queued
    ABORTED = "aborted"  # this one has ended; others may be queued
    FULL = "full"  # the connection limit is reached, and no client may be evicted
    FAILED = "failed"  # a lack of descriptors or memory


def open_listener(address: str, shared: bool = False) -> socket.socket:
    """Opens a socket that listens at `host:port`. Raises OSError if the address is not available. `shared`:
    other processes of this user that set the same option may listen there too (SO_REUSEPORT, socket(7))."""
    host, port = split_address(address)
    sock = socket.socket(socket.AF_INET6 if ":" in host else socket.AF_INET)
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        if shared:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        sock.bind((host, port))
        sock.listen(LISTEN_BACKLOG)
    except OSError:
        sock.close()
        raise
    return sock


class Client(asyncio.Protocol):
    """One client connection. Its requests are answered one after another, each exactly once."""

    def __init__(self, frontend: Frontend) -> None:
        self.frontend = frontend
        self.transport: asyncio.Transport
        self.parser: httptools.HttpRequestParser | None = httptools.HttpRequestParser(self)
        self.queue: deque[Message | RequestError] = deque()
        self.request_id: str | None = None  # of the request that the engine handles
        self.keep_alive = True
        self.closing = False  # no further request is read
        # The client group of the front end that contains it, see `Frontend`.
        self.group: dict[Client, float] | None = None
        self.response_sent, self.consecutive_errors, self.lingering_bytes = False, 0, 0
        self.unparsed = b""  # received, but not parsed yet
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
        self.frontend.clients.add(self)
        self.frontend.move_client(self, self.frontend.reading_clients)

    def eof_received(self) -> bool | None:
        """Handles a client that has closed its side, even if unread responses keep the transport open."""
        self.closing, self.unparsed = True, b""
        self.queue.clear()
        if self.request_id is not None:
            self.transport.abort()
        return None

    def gone(self) -> bool:
        """Whether the client has closed its connection, according to the kernel; if so, the connection is
        aborted."""
        if not peer_closed(self.transport):
            return False
        self.transport.abort()
        return True

    def connection_lost(self, exc: Exception | None) -> None:
        self.closing = True
        self.queue.clear()
        # The parser refers back to this connection; only the garbage collector would free the cycle.
        self.unparsed, self.parser = b"", None
        self.frontend.on_client_lost(self)
        if self.request_id is not None:
            self.frontend.engine.client_gone(self.request_id)
            self.request_id = None

    def data_received(self, data: bytes) -> None:
        if self.closing:
            self.lingering_bytes += len(data)
            if self.lingering_bytes > MAX_LINGER_BYTES:
                self.transport.abort()
            return
        self.unparsed = self.unparsed + data if self.unparsed else data
        self.last_data_ms = now_ms()
        if self.queued_since_ms is not None:
            longest_wait_ms = self.last_data_ms - self.queued_since_ms
            self.wait_in_kernel_ms = min(longest_wait_ms, ms_since_last_data(self.transport))
            self.queued_since_ms = None
        self._process()
        self.wait_in_kernel_ms = 0.0

    def _process(self) -> None:
        """Handles queued requests in order, and parses more while few are queued."""
        while not self.closing or self.queue:
            while self.request_id is None and self.queue:
                self._handle(self.queue.popleft())
            if not self.unparsed or self.closing or len(self.queue) >= MAX_PIPELINED:
                break
            size = self.parse_limit()
            if size <= 0:
                break
            chunk, self.unparsed = self.unparsed[:size], self.unparsed[size:]
            self._parse(chunk)
        if self.group is self.frontend.lingering_clients or self.transport.is_closing():
            return
        if self.request_id is not None or self.queue:
            self.frontend.move_client(self, None)
        else:
            self.frontend.move_client(
                self,
                self.frontend.reading_clients
                if self.request_started or not self.response_sent
                else self.frontend.idle_clients,
            )
        if not self.closing:
            if len(self.queue) >= MAX_PIPELINED or len(self.unparsed) > PARSE_CHUNK_BYTES:
                self.transport.pause_reading()
                # Then the end of the connection is not reported either.
                self.frontend.paused_clients.add(self)
            else:
                self.transport.resume_reading()
                self.frontend.paused_clients.discard(self)

    def parse_limit(self) -> int:
        """Number of bytes that may be parsed now."""
        return PARSE_CHUNK_BYTES

    def _parse(self, chunk: bytes) -> None:
        assert self.parser is not None
        self._message_bytes += len(chunk)
        before = len(self.queue)
        try:
            self.parser.feed_data(chunk)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            # Bytes directly after a request that are no valid request put the length of that request in
            # doubt.
            if len(self.queue) > before and isinstance(self.queue[-1], Message):
                self.queue.pop()
            self._reject(400)
        if not self._head_done and self._message_bytes > MAX_HEAD:
            self._reject(400)
        elif self._message_bytes > MAX_MESSAGE_BYTES:
            self._reject(413)

    def _reject(self, status: int) -> None:
        """Queues an error response and stops reading, because the boundaries of further requests are
        unknown."""
        if not self.closing:
            self.closing, self.unparsed = True, b""
            self.request_started = False
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

    def on_url(self, url: bytes) -> None:
        self._target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        # Trailers are dropped, as they must not be taken for checked headers; only their size is counted.
        if not self._head_done:
            # White space around a value is not part of it, RFC 9110 section 5.5.
            self._headers.append((name.strip().lower(), value.strip(b" \t")))

    def on_headers_complete(self) -> None:
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
        arrived_ms = now_ms() - self.wait_in_kernel_ms
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
            self._process()

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
        elif self.transport.get_write_buffer_size() > MAX_UNREAD_RESPONSE_BYTES:
            self.frontend.engine.counts.add(CloseReason.UNREAD_RESPONSES)
            self.transport.abort()

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
        self.closing, self.unparsed = True, b""
        self.queue.clear()
        self.transport.resume_reading()
        self.frontend.paused_clients.discard(self)
        self.transport.write_eof()
        self.frontend.move_client(self, self.frontend.lingering_clients)


class Frontend:
    """Accepts connections within a limit.

    A client without an open request is in one of the groups `reading_clients`, `idle_clients` and
    `lingering_clients`, with the time at which it was added; the oldest entry is first.
    """

    def __init__(
        self, engine: Engine, reader: Reader, max_connections: int, accepts_per_turn: int = ACCEPTS_PER_TURN
    ) -> None:
        self.engine, self.reader, self.max_connections = engine, reader, max_connections
        self.accepts_per_turn = accepts_per_turn
        self.loop = asyncio.get_running_loop()
        self.clients: set[Client] = set()
        self.reading_clients: dict[Client, float] = {}  # new, or with an incomplete request
        self.idle_clients: dict[Client, float] = {}  # kept open between two requests
        self.lingering_clients: dict[Client, float] = {}  # in lingering close after their last response
        # Descriptors in use by clients, including connections that are being opened or closed.
        self.connection_count = 0
        self.paused_clients: set[Client] = set()  # reading is paused
        self.opening_tasks: set[asyncio.Task[object]] = set()
        self.stopping = self.accepting = False
        self.refusing = False  # at the end of a stop: a request that still arrives is refused at once
        self.drained_by_operator = False  # an operator has started a drain
        self.keep_alive_disabled_ms = 0.0
        self.address_still_served = False  # stopping, and another process serves the same address
        self.all_closed = asyncio.Event()
        self.listeners: list[socket.socket] = []
        self.address = ""  # of the first listening socket
        # Set where other processes accept from the same sockets. The first is called with each new
        # `connection_count`, the second before connections are accepted.
        self.on_connection_count: Callable[[int], None] | None = None
        self.should_pause_accepting: Callable[[], bool] | None = None
        self.accept_pause_s, self.accept_pause_over = 0.0, False
        # Since when connections have waited in the kernel's queue; None: they are accepted as they come.
        self.accept_delayed_since_ms: float | None = None
        self.sweep_timer: asyncio.TimerHandle | None = None

    def make_client(self) -> Client:
        return Client(self)

    def listen(self, address: str) -> None:
        self.serve_on([open_listener(address)])

    def serve_on(self, listeners: list[socket.socket]) -> None:
        """Accepts from listening sockets, which are closed by `stop_accepting`."""
        self.listeners = listeners
        for sock in listeners:
            sock.setblocking(False)
        self.address = "{}:{}".format(*listeners[0].getsockname()[:2])
        self._resume_accepting()
        self._sweep()

    def ready(self) -> bool:
        here = not self.stopping or self.address_still_served
        return here and not self.drained_by_operator and self.engine.backends.active() > 0

    @property
    def keep_alive_disabled(self) -> bool:
        """Whether each response closes its connection."""
        return self.stopping or self.drained_by_operator

    def move_client(self, client: Client, group: dict[Client, float] | None) -> None:
        if group is self.reading_clients and client.group is group:
            return  # its timeout is not restarted by each byte
        if client.group is not None:
            client.group.pop(client, None)
        client.group = group
        if group is not None:
            group[client] = now_ms()

    # Accepting within the connection limit

    def _resume_accepting(self) -> None:
        if self.listeners and not self.accepting:
            self.accepting = True
            for sock in self.listeners:
                self.loop.add_reader(sock.fileno(), self._accept, sock)

    def _pause_accepting(self) -> None:
        if self.accepting:
            self.accepting = False
            for sock in self.listeners:
                self.loop.remove_reader(sock.fileno())

    def _retry_accepting_later(self) -> None:
        """Pauses accepting while the limit is reached, until a client leaves or may be evicted."""
        self._pause_accepting()
        self.loop.call_later(ACCEPT_RETRY_DELAY_S, self._resume_accepting)

    def _accept(self, listener: socket.socket) -> None:
        if (
            self.should_pause_accepting is not None
            and not self.accept_pause_over
            and self.should_pause_accepting()
        ):
            self._pause_accepting()
            self.loop.call_later(self.accept_pause_s, self._resume_after_pause)
            return
        self.accept_pause_over = False
        for _ in range(self.accepts_per_turn):
            result = self._accept_one(listener)
            if result is AcceptResult.EMPTY:
                self.accept_delayed_since_ms = None
            elif self.accept_delayed_since_ms is None and result is not AcceptResult.ACCEPTED:
                self.accept_delayed_since_ms = now_ms()
            if result in (AcceptResult.FULL, AcceptResult.FAILED):
                self._retry_accepting_later()  # new connections wait in the kernel's queue
            if result is not AcceptResult.ACCEPTED:
                return

    def _accept_one(self, listener: socket.socket) -> AcceptResult:
        """Accepts one connection from the kernel's queue, if there is one."""
        full = self.connection_count >= self.max_connections
        evicted = self._eviction_candidate() if full else None
        if full and evicted is None:
            return AcceptResult.FULL
        try:
            sock, _ = listener.accept()
        except BlockingIOError:
            return AcceptResult.EMPTY
        except (InterruptedError, ConnectionAbortedError):
            return AcceptResult.ABORTED
        except OSError as error:
            log.event("accept_failed", reason=str(error), connections=self.connection_count)
            return AcceptResult.FAILED
        if evicted is not None:  # only after a connection was accepted that replaces it
            self.engine.counts.add(CloseReason.EVICTED)
            self.move_client(evicted, None)
            evicted.transport.abort() if evicted.closing else evicted.transport.close()
        self.connection_count += 1
        if self.on_connection_count is not None:
            self.on_connection_count(self.connection_count)
        client = self.make_client()
        client.queued_since_ms = self.accept_delayed_since_ms
        task = self.loop.create_task(self.loop.connect_accepted_socket(lambda: client, sock))
        self.opening_tasks.add(cast("asyncio.Task[object]", task))
        task.add_done_callback(self._on_opened)
        # The descriptor of an evicted client is freed only after this loop turn.
        return AcceptResult.ACCEPTED if evicted is None else AcceptResult.REPLACED

    def _resume_after_pause(self) -> None:
        """Accepts the connections that no other process has accepted during the pause."""
        self.accept_pause_over = True
        self._resume_accepting()

    def _on_opened(self, task: asyncio.Task[object]) -> None:
        self.opening_tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            log(f"accept: {task.exception()}")
            self._release_descriptor()

    def _eviction_candidate(self) -> Client | None:
        """The client to evict for a new connection: one in lingering close, then one past the idle timeout
        under load, then one that has not sent a request, and only then one that was recently active."""
        now = now_ms()
        for group, grace_ms in (
            (self.lingering_clients, EVICTION_GRACE_MS),
            (self.idle_clients, CROWDED_IDLE_TIMEOUT_S * 1000),
            (self.reading_clients, EVICTION_GRACE_MS),
            (self.idle_clients, 0.0),
        ):
            client = next(iter(group), None)
            # Unread bytes in the kernel are a request that was sent in time.
            if client is None or group[client] > now - grace_ms:
                continue
            if group is self.lingering_clients or not has_unread_data(client.transport):
                return client
        return None

    def on_client_lost(self, client: Client) -> None:
        self.move_client(client, None)
        self.clients.discard(client)
        self.paused_clients.discard(client)
        self._release_descriptor()

    def _release_descriptor(self) -> None:
        self.connection_count -= 1
        if self.on_connection_count is not None and self.listeners:
            self.on_connection_count(self.connection_count)
        self._resume_accepting()
        if self.stopping and not self.connection_count:
            self.all_closed.set()

    def _sweep(self) -> None:
        """Enforces all timeouts, so that clients that send nothing can't hold connections forever."""
        self.sweep_timer = self.loop.call_later(SWEEP_INTERVAL_S, self._sweep)
        for client in self._overdue(self.reading_clients, REQUEST_READ_TIMEOUT_S):
            client.on_read_timeout()
        for client in self._overdue(self.lingering_clients, LINGER_TIMEOUT_S):
            self.engine.counts.add(CloseReason.LINGER_TIMEOUT)
            client.transport.abort()
        idle_s = (
            CROWDED_IDLE_TIMEOUT_S if self.connection_count > self.max_connections / 2 else IDLE_TIMEOUT_S
        )
        if self.keep_alive_disabled:  # the full time for each client, however long it was idle before
            idle_s = (
                DRAIN_IDLE_TIMEOUT_S
                if now_ms() > self.keep_alive_disabled_ms + DRAIN_IDLE_TIMEOUT_S * 1000
                else IDLE_TIMEOUT_S
            )
        for client in self._overdue(self.idle_clients, idle_s):
            client.close_when_idle()
        for client in list(self.paused_clients):
            client.gone()

    @staticmethod
    def _overdue(group: dict[Client, float], limit_s: float) -> list[Client]:
        oldest, overdue = now_ms() - limit_s * 1000, []
        for client, since in group.items():
            if since > oldest:
                break
            overdue.append(client)
        return overdue

    # Drain by an operator

    def start_drain(self) -> None:
        """Reports unready and closes each connection after a response or once it is idle."""
        if not self.drained_by_operator:
            self.drained_by_operator, self.keep_alive_disabled_ms = True, now_ms()

    def stop_drain(self) -> None:
        self.drained_by_operator = False

    # Stopping

    def disable_keep_alive(self, address_still_served: bool = False) -> None:
        """Reports unready from now on, unless another process serves the same address. Connections are still
        accepted and served, but closed after each response."""
        self.stopping, self.address_still_served, self.keep_alive_disabled_ms = (
            True,
            address_still_served,
            now_ms(),
        )

    async def accept_queued(self) -> None:
        """Accepts all connections in the kernel's queue, regardless of the limit for one loop turn, up to the
        connection limit. Retries for a moment if that fails."""
        self._pause_accepting()
        for listener in self.listeners:
            retries = 0
            while self.connection_count < self.max_connections and retries <= FINAL_ACCEPT_RETRIES:
                result = self._accept_one(listener)
                if result is AcceptResult.EMPTY:
                    break
                if result in (AcceptResult.FAILED, AcceptResult.ABORTED):
                    retries += 1
                if result is AcceptResult.FAILED:
                    await asyncio.sleep(FINAL_ACCEPT_RETRY_DELAY_S)

    def stop_accepting(self) -> None:
        self._pause_accepting()
        for sock in self.listeners:
            sock.close()
        self.listeners = []

    async def finish(self, within_s: float) -> None:
        """Stops accepting, closes connections between requests, and waits up to `within_s` until none is
        open."""
        await self.accept_queued()  # queued connections may contain a request that was sent in time
        self.stop_accepting()
        for client in [
            *self.idle_clients,
            *(client for client in self.reading_clients if not client.request_started),
        ]:
            client.close_when_idle()
        if self.connection_count:
            # The event may have been set while no connection was open after the start of the stop.
            self.all_closed.clear()
            try:
                async with asyncio.timeout(within_s):
                    await self.all_closed.wait()
            except TimeoutError:
                log(f"stop: {self.connection_count} client connections were still open")
                # Requests on these connections are answered before the process ends.
                self.refusing = True
                self.engine.fail_all()
                await asyncio.sleep(FINAL_FLUSH_S)
        if self.sweep_timer is not None:
            self.sweep_timer.cancel()
