"""Client connections: reading requests, writing answers, and how many there may be."""

from __future__ import annotations

import asyncio
import socket
from collections import deque
from collections.abc import Callable
from http import HTTPStatus
from typing import cast

import httptools

from flintlatch.net.clock import now_ms
from flintlatch.net.engine import Answer, Engine, log
from flintlatch.net.http1 import MAX_BODY, MAX_HEAD, Headers, has_unread_data, peer_closed, split_address
from flintlatch.net.request import Bad, Message, Reader, check_framing

BACKLOG = 512
ACCEPT_AT_ONCE = 16  # connections a turn: requests on open ones must not wait for a flood of new ones
ACCEPTS_PER_TURN_SHARED = (
    1  # the same where other processes accept on the socket too: one must not take them all
)
PIPELINED = 2  # requests read ahead on one connection before it is not read any further
PIECE = 4096  # bytes parsed before the requests in them are looked at: hundreds sent at once must not be
MAX_MESSAGE = MAX_HEAD + 4 * MAX_BODY  # bytes of one request as sent, so many for the framing of chunks
BAD_IN_A_ROW = 8  # refused requests after which a connection closes: one that only errs must come anew
# s from connecting, or from its first byte, in which a head must be here: an honest client may take 2, and
# what never comes is owed an end after 3. A body may take longer as long as it moves.
REQUEST_READ_TIMEOUT_S = 2.5
MOVE_S = 0.75  # s without a byte of such a body
SWEEP_S = 0.25  # s between looks at what is late
IDLE_S = 30.0  # s that a kept connection may idle while there are places to spare
IDLE_FULL_S = 2.0  # s, while over half of the places are taken
PARTING_S = 1.0  # s that one may idle where clients are sent away: most are asked once more, and hear of it
SPARE_MS = 250.0  # ms in which a new connection is spared at the cap: its first request is on the way
LINGER_S = 1.0  # s that a closed connection may go on sending before it is cut off
LINGER_BYTES = 1024 * 1024  # bytes that are read and dropped in that time: the answer is long out by then
FLUSH_S = 0.05  # s at the end of a stop for the last answers to leave
RETRY_ACCEPT_S = 0.05  # s until the next try when there was no descriptor to give
UNREAD_ANSWERS = 2 * MAX_BODY  # bytes of answers that a client may leave unread
READY_PATH = b"/health/ready"

PHRASES = {status.value: status.phrase.encode() for status in HTTPStatus}


def open_listener(address: str, shared: bool = False) -> socket.socket:
    """A socket that listens at `host:port`; OSError if the address is not to be had. `shared`: another
    process of this user that asks the same may listen there too (SO_REUSEPORT, socket(7))."""
    host, port = split_address(address)
    sock = socket.socket(socket.AF_INET6 if ":" in host else socket.AF_INET)
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        if shared:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        sock.bind((host, port))
        sock.listen(BACKLOG)
    except OSError:
        sock.close()
        raise
    return sock


class Client(asyncio.Protocol):
    """One connection. Requests on it are answered one after the other, each once."""

    def __init__(self, frontend: Frontend) -> None:
        self.frontend = frontend
        self.transport: asyncio.Transport
        self.parser: httptools.HttpRequestParser | None = httptools.HttpRequestParser(self)
        self.queue: deque[Message | Bad] = deque()
        self.request_id: str | None = None  # of the request in the engine's hands
        self.keep_alive = True
        self.closing = False  # nothing more is read
        self.places: dict[Client, float] | None = None  # where the frontend keeps it, see there
        self.response_sent, self.bad, self.dropped = False, 0, 0
        self.rest = b""  # read, not parsed yet
        self.request_started = False  # a request has begun that is not here whole
        self.moved = 0.0  # when something of it last came
        self._reset()

    def _reset(self) -> None:
        self._target, self._body, self._size = b"", bytearray(), 0
        self._headers: Headers = []
        self._head_done = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.frontend.clients.add(self)
        self.frontend.move_client(self, self.frontend.reading_clients)

    def eof_received(self) -> bool | None:
        """It has gone, also if answers that it does not read keep the transport open for longer."""
        self.closing, self.rest = True, b""
        self.queue.clear()
        if self.request_id is not None:
            self.transport.abort()
        return None

    def gone(self) -> bool:
        """Whether it has closed its connection, by what the system knows at this moment."""
        if not peer_closed(self.transport):
            return False
        self.transport.abort()
        return True

    def connection_lost(self, exc: Exception | None) -> None:
        self.closing = True
        self.queue.clear()
        self.rest, self.parser = b"", None  # it holds this connection in turn: nothing should wait for the GC
        self.frontend.on_client_lost(self)
        if self.request_id is not None:
            self.frontend.engine.client_gone(self.request_id)
            self.request_id = None

    def data_received(self, data: bytes) -> None:
        if self.closing:
            self.dropped += len(data)
            if self.dropped > LINGER_BYTES:
                self.transport.abort()
            return
        self.rest = self.rest + data if self.rest else data
        self.moved = now_ms()
        self._go_on()

    def _go_on(self) -> None:
        """Take requests in turn, and read on while few are waiting."""
        while not self.closing or self.queue:
            while self.request_id is None and self.queue:
                self._handle(self.queue.popleft())
            if not self.rest or self.closing or len(self.queue) >= PIPELINED:
                break
            size = self.appetite()
            if size <= 0:
                break
            piece, self.rest = self.rest[:size], self.rest[size:]
            self._feed(piece)
        if self.places is self.frontend.ending or self.transport.is_closing():
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
            if len(self.queue) >= PIPELINED or len(self.rest) > PIECE:
                self.transport.pause_reading()
                self.frontend.paused.add(self)  # its end is not heard either
            else:
                self.transport.resume_reading()
                self.frontend.paused.discard(self)

    def appetite(self) -> int:
        """Bytes that may be parsed now."""
        return PIECE

    def _feed(self, piece: bytes) -> None:
        assert self.parser is not None
        self._size += len(piece)
        before = len(self.queue)
        try:
            self.parser.feed_data(piece)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            # What comes at once behind a request and can't be one puts that one's length in doubt.
            if len(self.queue) > before and isinstance(self.queue[-1], Message):
                self.queue.pop()
            self._bad(400)
        if not self._head_done and self._size > MAX_HEAD:
            self._bad(400)
        elif self._size > MAX_MESSAGE:
            self._bad(413)

    def _bad(self, status: int) -> None:
        """What follows on this connection can't be told apart any more, so it is not read."""
        if not self.closing:
            self.closing, self.rest = True, b""
            self.request_started = False
            self.queue.append(Bad(status))

    def on_read_timeout(self) -> None:
        """Its time to send a whole request is over."""
        if not self.request_started:
            self.part()
        elif not self._head_done or now_ms() - self.moved > MOVE_S * 1000:
            self._bad(408)
            self._go_on()

    # httptools calls these

    def on_message_begin(self) -> None:
        self.request_started = True

    def on_url(self, url: bytes) -> None:
        self._target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        # A trailer must not pass for a header that was checked, nor pile up: it counts by its bytes alone.
        if not self._head_done:
            # White space around a value is no part of it, RFC 9110 section 5.5.
            self._headers.append((name.strip().lower(), value.strip(b" \t")))

    def on_headers_complete(self) -> None:
        self._head_done = True
        try:
            check_framing(self._headers)
        except Bad as bad:
            self._bad(bad.status)
            return
        if sum(len(name) + len(value) for name, value in self._headers) + len(self._target) > MAX_HEAD:
            self._bad(400)
        elif (b"expect", b"100-continue") in self._headers and self.request_id is None and not self.queue:
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
        assert self.parser is not None
        method, keep = self.parser.get_method(), self.parser.should_keep_alive()
        self.queue.append(Message(method, self._target, self._headers, bytes(self._body), keep, now_ms()))
        self.request_started = False
        self._reset()

    # Answers

    def _handle(self, message: Message | Bad) -> None:
        try:
            if isinstance(message, Bad):
                self.keep_alive = False
                raise message
            self.keep_alive = message.keep
            self._take(message)
            self.bad = 0
        except Bad as bad:
            self.bad += 1
            if self.bad >= BAD_IN_A_ROW:
                self.keep_alive = False
            self.write(Answer(bad.status))

    def _take(self, message: Message) -> None:
        frontend = self.frontend
        if message.target.split(b"?", 1)[0] == READY_PATH:
            if message.method != b"GET":
                raise Bad(405)
            self.write(Answer(200 if frontend.ready() else 503))
            return
        taken = frontend.reader.read(message, self.answer)
        if not frontend.engine.take(taken):
            raise Bad(400)
        self.request_id = taken.id

    def answer(self, answer: Answer) -> None:
        if self.request_id is not None:
            self.request_id = None
            self.write(answer)
            self._go_on()

    def write(self, answer: Answer) -> None:
        if self.transport.is_closing():
            return
        # What was sent ahead on this connection is taken too: it closes after the last of it.
        keep = self.keep_alive and not (
            self.frontend.keep_alive_disabled and not self.queue and not self.rest
        )
        self.transport.write(
            b"HTTP/1.1 %d %b\r\n%bcontent-length: %d\r\n%b\r\n%b"
            % (
                answer.status,
                PHRASES[answer.status],
                answer.headers,
                len(answer.body),
                b"" if keep else b"connection: close\r\n",
                answer.body,
            )
        )
        self.response_sent = True
        if not keep:
            self.close_lingering()
        elif self.transport.get_write_buffer_size() > UNREAD_ANSWERS:
            self.transport.abort()

    def part(self) -> None:
        """Close between two requests, unless the next one has just come: that one is answered first. What
        comes after this is dropped, and its client asks again elsewhere."""
        if not self.transport.is_closing() and not has_unread_data(self.transport):
            self.close_lingering()

    def close_lingering(self) -> None:
        """Close after what is written. Closed at once with bytes unread, the kernel would reset the
        connection and the client could lose its answer; so the client gets a moment to close first."""
        self.closing, self.rest = True, b""
        self.queue.clear()
        self.transport.resume_reading()
        self.frontend.paused.discard(self)
        self.transport.write_eof()
        self.frontend.move_client(self, self.frontend.ending)


class Frontend:
    """Accepts connections within the budget of descriptors. Each that has no request open is in one of
    three places, with the time since which it is there; the longest there comes first."""

    def __init__(
        self, engine: Engine, reader: Reader, most: int, accept_at_once: int = ACCEPT_AT_ONCE
    ) -> None:
        self.engine, self.reader, self.most = engine, reader, most
        self.accept_at_once = accept_at_once
        self.loop = asyncio.get_running_loop()
        self.clients: set[Client] = set()
        self.reading_clients: dict[Client, float] = {}  # owe a whole request: new ones, and half-read ones
        self.idle_clients: dict[Client, float] = {}  # kept between two requests
        self.ending: dict[Client, float] = {}  # have their last answer, and a moment to read it
        self.connection_count = (
            0  # descriptors of clients, those just accepted and those just closing included
        )
        self.paused: set[Client] = set()  # not read for now
        self.opening: set[asyncio.Task[object]] = set()
        self.stopping = self.accepting = False
        self.away = False  # operators send its clients away
        self.parting_since = 0.0
        self.address_still_served = False  # stopping, and others serve at the same address
        self.empty = asyncio.Event()
        self.socks: list[socket.socket] = []
        self.address = ""  # where it listens, the first if on several
        # Where others accept on the same sockets: told of `held` as it changes, and asked before accepting.
        self.on_connection_count: Callable[[int], None] | None = None
        self.should_pause_accepting: Callable[[], bool] | None = None
        self.accept_pause_s, self.rested = 0.0, False
        self.sweeper: asyncio.TimerHandle | None = None

    def make_client(self) -> Client:
        return Client(self)

    def listen(self, address: str) -> None:
        self.serve_on([open_listener(address)])

    def serve_on(self, socks: list[socket.socket]) -> None:
        """Accept on listening sockets, which are closed by `stop_accepting`."""
        self.socks = socks
        for sock in socks:
            sock.setblocking(False)
        self.address = "{}:{}".format(*socks[0].getsockname()[:2])
        self._accept_on()
        self._sweep()

    def ready(self) -> bool:
        here = not self.stopping or self.address_still_served
        return here and not self.away and self.engine.backends.active() > 0

    @property
    def keep_alive_disabled(self) -> bool:
        """Whether each answer closes its connection."""
        return self.stopping or self.away

    def move_client(self, client: Client, places: dict[Client, float] | None) -> None:
        if places is self.reading_clients and client.places is places:
            return  # its time runs on: a byte now and then must not win it more
        if client.places is not None:
            client.places.pop(client, None)
        client.places = places
        if places is not None:
            places[client] = now_ms()

    # Accepting, within the budget of descriptors

    def _accept_on(self) -> None:
        if self.socks and not self.accepting:
            self.accepting = True
            for sock in self.socks:
                self.loop.add_reader(sock.fileno(), self._accept, sock)

    def _accept_off(self) -> None:
        if self.accepting:
            self.accepting = False
            for sock in self.socks:
                self.loop.remove_reader(sock.fileno())

    def _accept_later(self) -> None:
        """There is no room; a client that goes makes some, and so does one that is idle by then."""
        self._accept_off()
        self.loop.call_later(RETRY_ACCEPT_S, self._accept_on)

    def _accept(self, listener: socket.socket) -> None:
        if self.should_pause_accepting is not None and not self.rested and self.should_pause_accepting():
            self._accept_off()
            self.loop.call_later(self.accept_pause_s, self._accept_rested)
            return
        self.rested = False
        for _ in range(self.accept_at_once):
            full = self.connection_count >= self.most
            victim = self._victim() if full else None
            if full and victim is None:
                self._accept_later()  # the kernel's queue holds those that come
                return
            try:
                sock, _ = listener.accept()
            except (BlockingIOError, InterruptedError, ConnectionAbortedError):
                return
            except OSError as error:
                log(f"accept: {error}")
                self._accept_later()
                return
            if victim is not None:  # only now that somebody needs its place
                self.move_client(victim, None)
                victim.transport.abort() if victim.closing else victim.transport.close()
            self.connection_count += 1
            if self.on_connection_count is not None:
                self.on_connection_count(self.connection_count)
            task = self.loop.create_task(self.loop.connect_accepted_socket(self.make_client, sock))
            self.opening.add(cast("asyncio.Task[object]", task))
            task.add_done_callback(self._opened)
            if victim is not None:
                return  # its descriptor is free only after this turn

    def _accept_rested(self) -> None:
        """What waits still, nobody else has taken."""
        self.rested = True
        self._accept_on()

    def _opened(self, task: asyncio.Task[object]) -> None:
        self.opening.discard(task)
        if not task.cancelled() and task.exception() is not None:
            log(f"accept: {task.exception()}")
            self._freed()

    def _victim(self) -> Client | None:
        """Whose place a new connection gets: one that has its last answer, then one that may be closed by
        agreement, then one that has said nothing for a while, and only then one that was of use just now."""
        now = now_ms()
        for places, spared_ms in (
            (self.ending, SPARE_MS),
            (self.idle_clients, IDLE_FULL_S * 1000),
            (self.reading_clients, SPARE_MS),
            (self.idle_clients, 0.0),
        ):
            client = next(iter(places), None)
            # What the kernel holds already is a request that was sent in time.
            if client is None or places[client] > now - spared_ms:
                continue
            if places is self.ending or not has_unread_data(client.transport):
                return client
        return None

    def on_client_lost(self, client: Client) -> None:
        self.move_client(client, None)
        self.clients.discard(client)
        self.paused.discard(client)
        self._freed()

    def _freed(self) -> None:
        self.connection_count -= 1
        if self.on_connection_count is not None and self.socks:
            self.on_connection_count(self.connection_count)
        self._accept_on()
        if self.stopping and not self.connection_count:
            self.empty.set()

    def _sweep(self) -> None:
        """Neither who never sends a whole request nor who asked once and stays may hold a place for good."""
        self.sweeper = self.loop.call_later(SWEEP_S, self._sweep)
        for client in self._over(self.reading_clients, REQUEST_READ_TIMEOUT_S):
            client.on_read_timeout()
        for client in self._over(self.ending, LINGER_S):
            client.transport.abort()
        idle_s = IDLE_FULL_S if self.connection_count > self.most / 2 else IDLE_S
        if self.keep_alive_disabled:  # each has its second, however long it was idle before
            idle_s = PARTING_S if now_ms() > self.parting_since + PARTING_S * 1000 else IDLE_S
        for client in self._over(self.idle_clients, idle_s):
            client.part()
        for client in list(self.paused):
            client.gone()

    @staticmethod
    def _over(places: dict[Client, float], limit_s: float) -> list[Client]:
        oldest, late = now_ms() - limit_s * 1000, []
        for client, since in places.items():
            if since > oldest:
                break
            late.append(client)
        return late

    # Sending clients away

    def send_away(self) -> None:
        """Unready, and connections are given up one by one, each behind an answer or once it idles."""
        if not self.away:
            self.away, self.parting_since = True, now_ms()

    def take_back(self) -> None:
        self.away = False

    # Stopping

    def disable_keep_alive(self, address_still_served: bool = False) -> None:
        """Unready from now on, unless others serve at the same address. Connections are accepted and served
        still, and closed after each answer."""
        self.stopping, self.address_still_served, self.parting_since = True, address_still_served, now_ms()

    def accept_waiting(self) -> None:
        """Take all connections that wait in the kernel's queue, whatever the share of one turn; no more than
        there is room for."""
        for listener in self.socks:
            while self.connection_count < self.most:
                held = self.connection_count
                self._accept(listener)
                if self.connection_count == held:
                    break

    def stop_accepting(self) -> None:
        self._accept_off()
        for sock in self.socks:
            sock.close()
        self.socks = []

    async def finish(self, within_s: float) -> None:
        """Accept no more, close between requests, and wait until nothing is open."""
        self.accept_waiting()  # what waits in the kernel's queue may hold a request that was sent in time
        self.stop_accepting()
        for client in [
            *self.idle_clients,
            *(client for client in self.reading_clients if not client.request_started),
        ]:
            client.part()
        if self.connection_count:
            # A proxy with little to do may have been empty for a moment since it was told to stop.
            self.empty.clear()
            try:
                async with asyncio.timeout(within_s):
                    await self.empty.wait()
            except TimeoutError:
                log(f"stop: {self.connection_count} client connections were still open")
                # What came on one of them after the stop, or is passed on still, gets its end before ours.
                self.engine.fail_all()
                await asyncio.sleep(FLUSH_S)
        if self.sweeper is not None:
            self.sweeper.cancel()
