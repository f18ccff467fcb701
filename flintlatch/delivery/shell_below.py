"""The listening side of a relay or the origin: a connection becomes a session with its first valid frame.

Until then it is half open: limited in time and number, and invisible to the relay's state machine. That one
ends a session whose first message is not a hello and limits the sessions that it has welcomed, so the number
of connections is limited too.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable

from flintlatch.delivery import relay
from flintlatch.delivery.stream import Stream, StreamCounts
from flintlatch.delivery.wire import from_subscriber
from flintlatch.peers.shell import BindError, join_address, split_address

HALF_OPEN_TIMEOUT_S = 2.0  # until the first frame; twice the subscriber's connect timeout
# Half of all sessions of a relay reconnecting at the same time. Beyond that the oldest is closed.
MAX_HALF_OPEN = 256
BACKLOG = 512  # connections that may arrive at once when another relay is lost


class SubscriberListener:
    def __init__(self, bind: str, keys: tuple[bytes, ...], on_event: Callable[[relay.Event], None]) -> None:
        self.bind, self.keys, self.on_event = bind, keys, on_event
        self.counts = StreamCounts()
        self.address = ""
        self.server: asyncio.Server | None = None
        self.streams: dict[int, Stream] = {}
        self.half_open: dict[int, asyncio.TimerHandle] = {}  # by session number, oldest first
        self.last_number = 0
        self.turn_scheduled = False
        self.closed = False

    async def open(self) -> None:
        """Raises BindError."""
        host, port = split_address(self.bind)
        loop = asyncio.get_running_loop()
        sock = socket.socket(socket.AF_INET6 if ":" in host else socket.AF_INET)
        try:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            sock.bind((host, port))
            sock.setblocking(False)
            self.server = await loop.create_server(self._accept, sock=sock, backlog=BACKLOG)
        except OSError as error:
            sock.close()
            raise BindError(f"delivery {self.bind}: {error.strerror or error}") from None
        self.address = join_address(*sock.getsockname()[:2])

    def close(self) -> None:
        self.closed = True
        if self.server is not None:
            self.server.close()
        for number in list(self.streams):
            self._end(number)

    def _accept(self) -> Stream:
        self.last_number += 1
        number = self.last_number
        stream = self.streams[number] = Stream(self.keys, False, self.counts)
        stream.on_frame = lambda plain: self._frame(number, plain)
        stream.on_lost = lambda reason: self._lost(number, reason)
        stream.on_paused = lambda paused: self._paused(number, paused)
        if len(self.half_open) >= MAX_HALF_OPEN:
            self._drop_half_open(next(iter(self.half_open)))
        timer = asyncio.get_running_loop().call_later(HALF_OPEN_TIMEOUT_S, self._drop_half_open, number)
        self.half_open[number] = timer
        return stream

    def _drop_half_open(self, number: int) -> None:
        self.counts.half_open += 1
        self._end(number, at_once=True)

    def _end(self, number: int, at_once: bool = False) -> None:
        if (timer := self.half_open.pop(number, None)) is not None:
            timer.cancel()
        if (stream := self.streams.pop(number, None)) is not None:
            stream.close(at_once)

    def _frame(self, number: int, plain: bytes) -> None:
        """Raises MessageError."""
        message = from_subscriber(plain)
        if (timer := self.half_open.pop(number, None)) is not None:
            timer.cancel()
            self.on_event(relay.Accepted(number))
        self.on_event(relay.Received(number, message))

    def _lost(self, number: int, reason: str) -> None:
        is_session = number not in self.half_open
        self._end(number, at_once=True)
        if reason:
            # Reported for half-open connections too, so that the reason is logged once and counted.
            self.on_event(relay.ProtocolError(number, reason))
        elif is_session:
            self.on_event(relay.Closed(number))

    def _paused(self, number: int, paused: bool) -> None:
        if number not in self.half_open:
            self.on_event(relay.Paused(number) if paused else relay.Writable(number))

    def execute(self, action: relay.Transmit | relay.Disconnect | relay.RequestTurn) -> None:
        if isinstance(action, relay.Transmit):
            if (stream := self.streams.get(action.session)) is not None:
                stream.send(action.message)
        elif isinstance(action, relay.Disconnect):
            self._end(action.session)
        elif not self.turn_scheduled:
            self.turn_scheduled = True
            asyncio.get_running_loop().call_soon(self._take_turn)

    def _take_turn(self) -> None:
        self.turn_scheduled = False
        if not self.closed:
            self.on_event(relay.SendTurn())
