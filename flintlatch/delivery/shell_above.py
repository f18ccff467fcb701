"""The sockets of a subscriber: at most two connections at once, its relay's and that of one it tries."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from flintlatch.delivery import subscriber
from flintlatch.delivery.stream import Counts, Stream
from flintlatch.delivery.wire import from_relay
from flintlatch.peers.shell import split_address


class Above:
    """Carries out what the core asks and hands it what comes of that. How long an attempt may take is the
    core's to say: its `Disconnect` ends it."""

    def __init__(
        self, keys: tuple[bytes, ...], local_host: str, on_event: Callable[[subscriber.Event], None]
    ) -> None:
        self.keys, self.local_host, self.on_event = keys, local_host, on_event
        self.counts = Counts()
        self.streams: dict[int, Stream] = {}
        self.tasks: dict[int, asyncio.Task[None]] = {}  # attempts under way

    def carry_out(self, action: subscriber.Connect | subscriber.Disconnect | subscriber.Transmit) -> None:
        number = action.session
        if isinstance(action, subscriber.Transmit):
            if (stream := self.streams.get(number)) is not None:
                stream.send(action.message)
        elif isinstance(action, subscriber.Connect):
            task = asyncio.get_running_loop().create_task(self._connect(number, action.relay.address))
            self.tasks[number] = task
        else:
            self._end(number)

    def _end(self, number: int) -> None:
        if (task := self.tasks.pop(number, None)) is not None:
            task.cancel()
        if (stream := self.streams.pop(number, None)) is not None:
            stream.close()

    async def _connect(self, number: int, address: str) -> None:
        stream = self.streams[number] = Stream(self.keys, True, self.counts)
        stream.on_open = lambda: self.on_event(subscriber.Connected(number))
        stream.on_lost = lambda why: self._lost(number, why)
        stream.on_frame = lambda plain: self._frame(number, plain)
        local = (self.local_host, 0) if self.local_host else None
        try:
            host, port = split_address(address)
            await asyncio.get_running_loop().create_connection(lambda: stream, host, port, local_addr=local)
        except (OSError, ValueError):
            self._lost(number, "")
        finally:
            self.tasks.pop(number, None)

    def _frame(self, number: int, plain: bytes) -> None:
        """Raises Unreadable."""
        self.on_event(subscriber.Received(number, from_relay(plain)))

    def _lost(self, number: int, why: str) -> None:
        if self.streams.pop(number, None) is not None:
            self.on_event(subscriber.Unreadable(number, why) if why else subscriber.Closed(number))

    def close(self) -> None:
        for number in {*self.streams, *self.tasks}:
            self._end(number)
