"""A subscriber's connections: at most two at a time, to its relay and to one that it tries in its place."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from flintlatch.delivery import subscriber
from flintlatch.delivery.stream import Stream, StreamCounts
from flintlatch.delivery.wire import from_relay
from flintlatch.peers.shell import split_address


class RelayConnections:
    """Executes the subscriber's actions and reports events back to it. The timeout of a connection attempt is
    decided by the subscriber, whose `Disconnect` ends the attempt."""

    def __init__(
        self, keys: tuple[bytes, ...], local_host: str, on_event: Callable[[subscriber.Event], None]
    ) -> None:
        self.keys, self.local_host, self.on_event = keys, local_host, on_event
        self.counts = StreamCounts()
        self.streams: dict[int, Stream] = {}
        self.tasks: dict[int, asyncio.Task[None]] = {}  # connection attempts in progress

    def execute(self, action: subscriber.Connect | subscriber.Disconnect | subscriber.Transmit) -> None:
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
        stream.on_lost = lambda reason: self._lost(number, reason)
        stream.on_frame = lambda plain: self._frame(number, plain)
        local_address = (self.local_host, 0) if self.local_host else None
        try:
            host, port = split_address(address)
            await asyncio.get_running_loop().create_connection(
                lambda: stream, host, port, local_addr=local_address
            )
        except (OSError, ValueError):
            self._lost(number, "")
        finally:
            self.tasks.pop(number, None)

    def _frame(self, number: int, plain: bytes) -> None:
        """Raises MessageError."""
        self.on_event(subscriber.Received(number, from_relay(plain)))

    def _lost(self, number: int, reason: str) -> None:
        if self.streams.pop(number, None) is not None:
            self.on_event(subscriber.ProtocolError(number, reason) if reason else subscriber.Closed(number))

    def close(self) -> None:
        for number in {*self.streams, *self.tasks}:
            self._end(number)
