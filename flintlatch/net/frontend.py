"""Client connections: reading requests, writing answers, and how many there may be."""

from __future__ import annotations

import asyncio
import socket
from collections import deque
from collections.abc import Callable
from http import HTTPStatus
from typing import NamedTuple, cast

import httptools

from flintlatch.api import Effect, Settings
from flintlatch.net.clock import now_ms
from flintlatch.net.engine import Answer, Engine, Taken, log
from flintlatch.net.http1 import MAX_BODY, MAX_HEAD, Headers, end_to_end, split_address
from flintlatch.settings import Wire

BACKLOG = 512
ACCEPT_AT_ONCE = 16  # connections a turn: requests on open ones must not wait for a flood of new ones
PIPELINED = 2  # requests read ahead on one connection before it is not read any further
HALF_READ_S = 10.0  # s that a request may take to come in whole
LINGER_S = 1.0  # s that a closed connection may go on sending before it is cut off
RETRY_ACCEPT_S = 0.05  # s until the next try when there was no descriptor to give
FIRST_REQUEST_MS = 1000.0  # ms in which a new connection is not yet idle: its first request is on the way
UNREAD_ANSWERS = 2 * MAX_BODY  # bytes of answers that a client may leave unread
SINGLE = frozenset((b"host", b"x-call-id", b"x-budget-ms", b"x-route-hash", b"x-caller", b"idempotency-key"))
READY_PATH = b"/health/ready"


class Bad(Exception):
    def __init__(self, status: int) -> None:
        super().__init__(status)
        self.status = status


class Message(NamedTuple):
    method: bytes
    target: bytes
    headers: Headers
    body: bytes
    keep: bool
    arrived: float


class Client(asyncio.Protocol):
    """One connection. Requests on it are answered one after the other, each once."""

    def __init__(self, frontend: Frontend) -> None:
        self.frontend = frontend
        self.transport: asyncio.Transport
        self.parser = httptools.HttpRequestParser(self)
        self.queue: deque[Message | Bad] = deque()
        self.request_id: str | None = None  # of the request in the engine's hands
        self.keep = True
        self.closing = False  # nothing more is read
        self.reading_since: float | None = None  # when the request began that is not here whole
        self.used, self.served = now_ms(), False
        self._reset()

    def _reset(self) -> None:
        self._target, self._body, self._size = b"", bytearray(), 0
        self._headers: Headers = []
        self._head_done = False

    def idle(self) -> bool:
        return self.request_id is None and not self.queue and self.reading_since is None and not self.closing

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.frontend.clients[self] = None

    def connection_lost(self, exc: Exception | None) -> None:
        self.closing = True
        self.queue.clear()
        self.frontend.lost(self)
        if self.request_id is not None:
            self.frontend.engine.client_gone(self.request_id)
            self.request_id = None

    def data_received(self, data: bytes) -> None:
        if self.closing:
            return
        if not self._head_done:
            self._size += len(data)
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._bad(400)
        if not self.closing and not self._head_done and self._size > MAX_HEAD + MAX_BODY:
            self._bad(400)
        if len(self.queue) >= PIPELINED:
            self.transport.pause_reading()
        self._next()

    def _bad(self, status: int) -> None:
        """What follows on this connection can't be told apart any more, so it is not read."""
        if not self.closing:
            self.closing = True
            self.reading_since = None
            self.queue.append(Bad(status))

    # httptools calls these

    def on_message_begin(self) -> None:
        self.reading_since = now_ms()

    def on_url(self, url: bytes) -> None:
        self._target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        self._headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        self._head_done = True
        if sum(len(name) + len(value) for name, value in self._headers) + len(self._target) > MAX_HEAD:
            self._bad(400)
        lengths = [value for name, value in self._headers if name == b"content-length"]
        if lengths and int(lengths[0]) > MAX_BODY:
            self._bad(413)
        elif (b"expect", b"100-continue") in self._headers and self.request_id is None:
            self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, body: bytes) -> None:
        if self.closing:
            return
        if len(self._body) + len(body) > MAX_BODY:
            self._bad(413)
        else:
            self._body += body

    def on_message_complete(self) -> None:
        if self.closing:
            return
        method, keep = self.parser.get_method(), self.parser.should_keep_alive()
        self.queue.append(Message(method, self._target, self._headers, bytes(self._body), keep, now_ms()))
        self.reading_since = None
        self._reset()

    # Answers

    def _next(self) -> None:
        while self.request_id is None and self.queue:
            message = self.queue.popleft()
            if isinstance(message, Bad):
                self.keep = False
                self.write(Answer(message.status))
                continue
            self.keep = message.keep
            try:
                self._handle(message)
            except Bad as bad:
                self.write(Answer(bad.status))
            if len(self.queue) < PIPELINED and not self.closing:
                self.transport.resume_reading()

    def _handle(self, message: Message) -> None:
        frontend = self.frontend
        path = message.target.split(b"?", 1)[0]
        if path == READY_PATH:
            if message.method != b"GET":
                raise Bad(405)
            self.write(Answer(200 if frontend.ready() else 503))
            return
        taken = frontend.read(message, path, self.answer)
        self.request_id = taken.id
        if not frontend.engine.take(taken):
            self.request_id = None
            raise Bad(400)

    def answer(self, answer: Answer) -> None:
        if self.request_id is not None:
            self.request_id = None
            self.write(answer)
            self._next()

    def write(self, answer: Answer) -> None:
        if self.transport.is_closing():
            return
        # What was sent ahead on this connection is taken too: it closes after the last of it.
        keep = self.keep and not (self.frontend.stopping and not self.queue)
        self.transport.write(
            b"HTTP/1.1 %d %b\r\n%bcontent-length: %d\r\n%b\r\n%b"
            % (
                answer.status,
                HTTPStatus(answer.status).phrase.encode(),
                answer.headers,
                len(answer.body),
                b"" if keep else b"connection: close\r\n",
                answer.body,
            )
        )
        self.used, self.served = now_ms(), True
        if not keep:
            self.finish()
        elif self.transport.get_write_buffer_size() > UNREAD_ANSWERS:
            self.transport.abort()

    def finish(self) -> None:
        """Close after what is written. Closed at once with bytes unread, the kernel would reset the
        connection and the client could lose its answer; so the client gets a moment to close first."""
        self.closing = True
        self.queue.clear()
        self.transport.resume_reading()
        self.transport.write_eof()
        self.frontend.loop.call_later(LINGER_S, self.transport.abort)


class Frontend:
    def __init__(self, engine: Engine, settings: Settings, wire: Wire, most: int) -> None:
        self.engine, self.settings, self.wire, self.most = engine, settings, wire, most
        self.loop = asyncio.get_running_loop()
        self.clients: dict[Client, None] = {}  # in the order of their coming
        self.held = 0  # descriptors of clients, those just accepted and those just closing included
        self.opening: set[asyncio.Task[object]] = set()
        self.stopping = self.accepting = False
        self.empty = asyncio.Event()
        self.sock: socket.socket | None = None
        self.address = ""  # where it listens
        self.sweeper: asyncio.TimerHandle | None = None

    def listen(self, address: str) -> None:
        host, port = split_address(address)
        self.sock = socket.socket(socket.AF_INET6 if ":" in host else socket.AF_INET)
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.sock.bind((host, port))
        self.sock.listen(BACKLOG)
        self.sock.setblocking(False)
        self.address = "{}:{}".format(*self.sock.getsockname()[:2])
        self._accept_on()
        self._sweep()

    def ready(self) -> bool:
        return not self.stopping and self.engine.backends.active() > 0

    # Accepting, within the budget of descriptors

    def _accept_on(self) -> None:
        if self.sock is not None and not self.accepting:
            self.accepting = True
            self.loop.add_reader(self.sock.fileno(), self._accept)

    def _accept_off(self) -> None:
        if self.sock is not None and self.accepting:
            self.accepting = False
            self.loop.remove_reader(self.sock.fileno())

    def _accept_later(self) -> None:
        """There is no room; a client that goes makes some, and so does one that is idle by then."""
        self._accept_off()
        self.loop.call_later(RETRY_ACCEPT_S, self._accept_on)

    def _accept(self) -> None:
        assert self.sock is not None
        for _ in range(ACCEPT_AT_ONCE):
            full = self.held >= self.most
            idle = self._longest_idle() if full else None
            if full and idle is None:
                self._accept_later()  # the kernel's queue holds those that come
                return
            try:
                sock, _ = self.sock.accept()
            except (BlockingIOError, InterruptedError, ConnectionAbortedError):
                return
            except OSError as error:
                log(f"accept: {error}")
                self._accept_later()
                return
            if idle is not None:  # only now that somebody needs its place
                del self.clients[idle]
                idle.transport.close()
            self.held += 1
            task = self.loop.create_task(self.loop.connect_accepted_socket(lambda: Client(self), sock))
            self.opening.add(cast("asyncio.Task[object]", task))
            task.add_done_callback(self._opened)
            if idle is not None:
                return  # its descriptor is free only after this turn

    def _opened(self, task: asyncio.Task[object]) -> None:
        self.opening.discard(task)
        if not task.cancelled() and task.exception() is not None:
            log(f"accept: {task.exception()}")
            self._freed()

    def _longest_idle(self) -> Client | None:
        fresh = now_ms() - FIRST_REQUEST_MS
        idle = [c for c in self.clients if c.idle() and (c.served or c.used < fresh)]
        return min(idle, key=lambda c: c.used, default=None)

    def lost(self, client: Client) -> None:
        self.clients.pop(client, None)
        self._freed()

    def _freed(self) -> None:
        self.held -= 1
        self._accept_on()
        if self.stopping and not self.held:
            self.empty.set()

    def _sweep(self) -> None:
        """A request that never comes in whole must not hold its descriptor for good."""
        self.sweeper = self.loop.call_later(HALF_READ_S / 4, self._sweep)
        oldest = now_ms() - HALF_READ_S * 1000
        for client in [c for c in self.clients if c.reading_since is not None and c.reading_since < oldest]:
            client.transport.abort()

    # Stopping

    def stop_keeping(self) -> None:
        """Unready from now on. Connections are accepted and served still, and closed after each answer."""
        self.stopping = True

    async def finish(self, within_s: float) -> None:
        """Accept no more, close between requests, and wait until nothing is open."""
        self._accept_off()
        if self.sock is not None:
            self.sock.close()
            self.sock = None
        for client in [c for c in self.clients if c.idle()]:
            client.transport.close()
        if self.held:
            try:
                async with asyncio.timeout(within_s):
                    await self.empty.wait()
            except TimeoutError:
                log(f"stop: {self.held} client connections were still open")

    # Reading a request

    def read(self, message: Message, path: bytes, answer: Callable[[Answer], None]) -> Taken:
        headers = dict(message.headers)
        # Told twice, the backend could read the other value; HTTP/1.1 asks for one host.
        names = [name for name, _ in message.headers if name in SINGLE]
        if len(names) != len(set(names)) or b"host" not in headers:
            raise Bad(400)
        cls = self.wire.classes.get(path.split(b"/")[1].decode("latin-1") if path.startswith(b"/") else "")
        if cls is None:
            raise Bad(404)
        spec = self.settings.classes[cls]
        if message.method != (b"GET" if spec.effect is Effect.SAFE else b"POST"):
            raise Bad(405)
        if spec.effect is Effect.KEYED and not headers.get(b"idempotency-key"):
            raise Bad(400)
        request_id, budget = headers.get(b"x-call-id", b""), headers.get(b"x-budget-ms", b"")
        if not 0 < len(request_id) <= 128 or not request_id.isascii():
            raise Bad(400)
        if not 0 < len(budget) <= 9 or not budget.isdigit() or int(budget) == 0:
            raise Bad(400)
        return Taken(
            request_id.decode(),
            cls,
            self._tenant(headers.get(b"x-caller")),
            read_key(headers.get(b"x-route-hash")),
            float(budget) - (now_ms() - message.arrived),  # less what it waited behind others here
            headers.get(b"x-again") == b"1",
            b"%b %b HTTP/1.1\r\n%b%b"
            % (
                message.method,
                message.target,
                end_to_end(message.headers, b"x-budget-ms"),
                b"content-length: %d\r\n" % len(message.body) if message.method == b"POST" else b"",
            ),
            message.body,
            answer,
        )

    def _tenant(self, name: bytes | None) -> int:
        if not self.wire.tenants:
            return 0
        tenant = self.wire.tenants.get((name or b"").decode("latin-1"))
        if tenant is None:
            raise Bad(400)
        return tenant


def read_key(value: bytes | None) -> int | None:
    if value is None:
        return None
    if not 0 < len(value) <= 16 or not value.isalnum():
        raise Bad(400)
    try:
        return int(value, 16)
    except ValueError:
        raise Bad(400) from None
