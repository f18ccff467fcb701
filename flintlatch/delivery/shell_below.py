"""The sockets of a relay or the origin: who connects is a session once a frame of it opened with our key.

Until then it is half open: bounded in time and number, and nothing of it reaches the core. A first frame
that is no hello ends it, and the core bounds those that greeted, so connections are bounded in all.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable

from flintlatch.delivery import relay
from flintlatch.delivery.stream import Counts, Stream
from flintlatch.delivery.wire import from_subscriber
from flintlatch.peers.shell import NotBound, joined, split

HALF_OPEN_S = 2.0  # until the first frame: twice the time in which a subscriber gives a relay up
HALF_OPEN_MOST = 256  # at once: half of all that a relay serves, come anew; the oldest makes room
BACKLOG = 512  # as many as may come at once where another relay is lost


class Below:
    def __init__(self, bind: str, keys: tuple[bytes, ...], on_event: Callable[[relay.Event], None]) -> None:
        self.bind, self.keys, self.on_event = bind, keys, on_event
        self.counts = Counts()
        self.address = ""
        self.server: asyncio.Server | None = None
        self.streams: dict[int, Stream] = {}
        self.half_open: dict[int, asyncio.TimerHandle] = {}  # by age
        self.number = 0
        self.again = False  # a further turn is asked for
        self.closed = False

    async def open(self) -> None:
        """Raises NotBound."""
        host, port = split(self.bind)
        loop = asyncio.get_running_loop()
        sock = socket.socket(socket.AF_INET6 if ":" in host else socket.AF_INET)
        try:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            sock.bind((host, port))
            sock.setblocking(False)
            self.server = await loop.create_server(self._accept, sock=sock, backlog=BACKLOG)
        except OSError as error:
            sock.close()
            raise NotBound(f"delivery {self.bind}: {error.strerror or error}") from None
        self.address = joined(*sock.getsockname()[:2])

    def close(self) -> None:
        self.closed = True
        if self.server is not None:
            self.server.close()
        for number in list(self.streams):
            self._end(number)

    def _accept(self) -> Stream:
        self.number += 1
        number = self.number
        stream = self.streams[number] = Stream(self.keys, False, self.counts)
        stream.on_frame = lambda plain: self._frame(number, plain)
        stream.on_lost = lambda why: self._lost(number, why)
        stream.on_paused = lambda paused: self._paused(number, paused)
        if len(self.half_open) >= HALF_OPEN_MOST:
            self._give_up(next(iter(self.half_open)))
        timer = asyncio.get_running_loop().call_later(HALF_OPEN_S, self._give_up, number)
        self.half_open[number] = timer
        return stream

    def _give_up(self, number: int) -> None:
        self.counts.half_open += 1
        self._end(number, at_once=True)

    def _end(self, number: int, at_once: bool = False) -> None:
        if (timer := self.half_open.pop(number, None)) is not None:
            timer.cancel()
        if (stream := self.streams.pop(number, None)) is not None:
            stream.close(at_once)

    def _frame(self, number: int, plain: bytes) -> None:
        """Raises Unreadable."""
        message = from_subscriber(plain)
        if (timer := self.half_open.pop(number, None)) is not None:
            timer.cancel()
            self.on_event(relay.Accepted(number))
        self.on_event(relay.Received(number, message))

    def _lost(self, number: int, why: str) -> None:
        known = number not in self.half_open
        self._end(number, at_once=True)
        if why:
            self.on_event(relay.Unreadable(number, why))  # told once also of one that is no session
        elif known:
            self.on_event(relay.Closed(number))

    def _paused(self, number: int, paused: bool) -> None:
        if number not in self.half_open:
            self.on_event(relay.Paused(number) if paused else relay.Drained(number))

    def carry_out(self, action: relay.Transmit | relay.Disconnect | relay.RequestTurn) -> None:
        if isinstance(action, relay.Transmit):
            if (stream := self.streams.get(action.session)) is not None:
                stream.send(action.message)
        elif isinstance(action, relay.Disconnect):
            self._end(action.session)
        elif not self.again:
            self.again = True
            asyncio.get_running_loop().call_soon(self._go)

    def _go(self) -> None:
        self.again = False
        if not self.closed:
            self.on_event(relay.SendTurn())
