"""Receives the bytes of one connection and hands them on in slices, within the turns of the event loop.

`Receiver` is the protocol object of a transport. It reads no more than its connection has room for, and turns
an exception of the connection's callbacks, which the event loop would only log, into an outcome.
"""

from __future__ import annotations

import asyncio
import select
from collections.abc import Callable
from math import inf
from typing import cast

from flintlatch.net.clock import now_ms
from flintlatch.net.guard import bugs
from flintlatch.net.polling import TcpInfo, has_event, peek, readable_bytes, receive_memory, tcp_info
from flintlatch.net.turns import MAX_READ_BYTES, TurnSchedule, Usage

SLICE_BYTES = 16 * 1024  # handed to a connection at once, if it may be many small pieces
MIN_SLICE_BYTES = 512  # with small messages in it, far less than a connection's share of a turn
# A slice that takes less time is followed by one of twice the size, and one that takes more by half of it.
SHORT_SLICE_S, LONG_SLICE_S = 0.0001, 0.0003
MIN_READ_BYTES = 2 * 1024  # whatever room is left: a connection without room pauses reading
# The window is closed before the last byte is allocated: with room for less than a segment, RFC 9293 section
# 3.8.6.2.2, and each byte of it may be allocated twice.
CLOSED_WINDOW_SEGMENTS, CLOSED_WINDOW_FRACTION = 2, 0.125


class StreamConnection(asyncio.Protocol):
    """A connection that gets its bytes from a `Receiver`."""

    # Set before `connection_made`; None where a transport hands over the bytes itself.
    receiver: Receiver | None = None
    # Whether bytes that were received before the connection was lost still count.
    reads_after_loss = False

    def receive_limit(self) -> int:
        """Bytes that the next read may bring."""
        return MAX_READ_BYTES

    def slice_limit(self) -> int:
        """Bytes that may be handed on at once."""
        return SLICE_BYTES

    def on_callback_error(self) -> None:
        """A callback has raised: gives what the connection works for an outcome, in any state."""
        raise NotImplementedError

    def pause_reading(self) -> None:
        """Receives nothing more; bytes that are read but not handed on are kept."""
        if self.receiver is not None:
            self.receiver.pause()

    def resume_reading(self) -> None:
        if self.receiver is not None:
            self.receiver.resume()


class Receiver(asyncio.BufferedProtocol):
    """The protocol object of one transport, which passes its callbacks on to a connection."""

    def __init__(self, connection: StreamConnection, turns: TurnSchedule) -> None:
        self.connection, self.turns = connection, turns
        self.transport: asyncio.Transport | None = None
        self.received_ms = 0.0  # when the last bytes were read from the socket
        self._pending, self._position = b"", 0  # read from the socket; handed on up to this position
        self._paused = False  # by the connection
        self._reading = True  # whether the transport reads
        self._handling = self._ended = False
        self._slice_bytes = MIN_SLICE_BYTES
        self.usage = Usage()

    @property
    def pending_bytes(self) -> int:
        """Bytes that were read from the socket and not handed on yet."""
        return len(self._pending) - self._position

    def pending_tail(self, size: int) -> bytes:
        """The last of these bytes."""
        return self._pending[max(self._position, len(self._pending) - size) :]

    # Callbacks of the transport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.connection.receiver = self
        self._call("connection_made", lambda: self.connection.connection_made(transport))

    def get_buffer(self, sizehint: int) -> memoryview:
        limit = self.connection.receive_limit()
        if limit >= MAX_READ_BYTES:
            return self.turns.read_buffer
        return self.turns.read_buffer[: max(limit, MIN_READ_BYTES)]

    def buffer_updated(self, nbytes: int) -> None:
        data = bytes(self.turns.read_buffer[:nbytes])
        self.turns.memory.add(nbytes)
        self._pending = self._pending[self._position :] + data if self._pending else data
        self._position = 0
        self.received_ms = now_ms()
        if not self._paused:
            self.turns.submit(self)
        if self._pending:
            self._update_reading()

    def eof_received(self) -> bool | None:
        self._ended = True
        return bool(self._call("eof_received", self.connection.eof_received))

    def pause_writing(self) -> None:
        self._call("pause_writing", self.connection.pause_writing)

    def resume_writing(self) -> None:
        self._call("resume_writing", self.connection.resume_writing)

    def connection_lost(self, exc: Exception | None) -> None:
        self._ended = True
        self.turns.discard(self)
        if self.connection.reads_after_loss and not self._handling:
            while self._pending:
                self._hand_on_slice()
        self._drop_pending()
        self._call("connection_lost", lambda: self.connection.connection_lost(exc))
        # The connection refers back to this object; only the garbage collector would free the cycle.
        self.connection.receiver = self.transport = None

    # Slices

    def handle_slice(self) -> bool:
        if self.transport is None or self.transport.is_closing():
            self._drop_pending()
        if not self._pending or self._paused:
            return False
        began_s = self.turns.now_s()
        if self._hand_on_slice():
            self._adapt_slice(self.turns.now_s() - began_s)
        if not self._reading:
            self._update_reading()
        return bool(self._pending) and not self._paused

    def _hand_on_slice(self) -> bool:
        """Returns whether the slice may have been many small pieces."""
        data, limit = self._pending, self.connection.slice_limit()
        may_be_small_pieces = limit == SLICE_BYTES
        if may_be_small_pieces:
            limit = self._slice_bytes
        if len(data) - self._position > limit:
            data = data[self._position : self._position + limit]
            self._position += limit
            self.turns.memory.release(limit)
        else:
            data = data[self._position :] if self._position else data
            self._drop_pending()
        self._handling = True
        try:
            self.connection.data_received(data)
        except Exception as error:
            self._fail("data_received", error)
        finally:
            self._handling = False
        return may_be_small_pieces

    def _adapt_slice(self, elapsed_s: float) -> None:
        """Fits the next slice to the cost of this one."""
        if self._paused:  # the slice is not handled yet
            self._slice_bytes = MIN_SLICE_BYTES
        elif elapsed_s < SHORT_SLICE_S:
            self._slice_bytes = min(2 * self._slice_bytes, SLICE_BYTES)
        elif elapsed_s > LONG_SLICE_S:
            self._slice_bytes = max(self._slice_bytes // 2, MIN_SLICE_BYTES)

    def _drop_pending(self) -> None:
        self.turns.memory.release(self.pending_bytes)
        self._pending, self._position = b"", 0

    # Called by the connection

    def pause(self) -> None:
        self._paused = True
        self._update_reading()

    def resume(self) -> None:
        self._paused = False
        if self._pending and not self._handling:
            self.turns.enqueue(self)
        if not self._reading:
            self._update_reading()

    def _update_reading(self) -> None:
        reading = not self._paused and not self._pending
        transport = self.transport
        if reading is self._reading or transport is None or transport.is_closing() or self._ended:
            return
        self._reading = reading
        if reading:
            transport.resume_reading()
        else:
            transport.pause_reading()

    def _call(self, name: str, callback: Callable[[], object]) -> object:
        try:
            return callback()
        except Exception as error:
            self._fail(name, error)
            return None

    def _fail(self, callback: str, error: Exception) -> None:
        where = f"{type(self.connection).__name__}.{callback}"
        bugs.report(where, error)
        try:
            self.connection.on_callback_error()
        except Exception as second_error:
            bugs.report(f"{where}, the end of its connection", second_error)
            if self.transport is not None:
                self.transport.abort()


# What is known of the input of a transport


def pending_bytes(transport: asyncio.Transport) -> int:
    """Bytes that its receiver has read and not handed on yet."""
    protocol = transport.get_protocol()
    return protocol.pending_bytes if isinstance(protocol, Receiver) else 0


def has_poll_event(transport: asyncio.Transport, events: int) -> bool:
    """Whether the kernel reports any of these poll events, or an error, that the loop has not handled yet.
    The connection must be open."""
    return has_event(transport.get_extra_info("socket").fileno(), events)


def has_unread_data(transport: asyncio.Transport) -> bool:
    """Whether bytes or the end of this connection have arrived that it has not got yet."""
    # The descriptor of a closing transport may already belong to another connection.
    if transport.is_closing():
        return False
    return pending_bytes(transport) > 0 or has_poll_event(transport, select.POLLIN | select.POLLRDHUP)


def peer_closed(transport: asyncio.Transport) -> bool:
    """Whether the peer has closed its sending side or reset the connection, even if unread bytes precede
    that."""
    return transport.is_closing() or has_poll_event(transport, select.POLLRDHUP)


def unread_bytes(transport: asyncio.Transport) -> int:
    """Bytes that have arrived on this connection and that it has not got yet."""
    if transport.is_closing():
        return 0
    return pending_bytes(transport) + readable_bytes(transport.get_extra_info("socket").fileno())


def receive_buffer_is_full(transport: asyncio.Transport) -> bool:
    """Whether the receive window is closed, or nearly so: the peer's machine can't send; true if the kernel
    does not tell."""
    if transport.is_closing():
        return False
    connection = transport.get_extra_info("socket")
    memory = receive_memory(connection)
    segment_bytes = tcp_info(connection, TcpInfo.RECEIVED_SEGMENT_BYTES)
    if memory is None or segment_bytes is None:
        return True
    closed_bytes = max(segment_bytes * CLOSED_WINDOW_SEGMENTS, memory.limit_bytes * CLOSED_WINDOW_FRACTION)
    return memory.limit_bytes - memory.allocated_bytes < closed_bytes


def unread_tail(transport: asyncio.Transport, max_bytes: int, tail_bytes: int = 16) -> bytes:
    """The last bytes that have arrived on this connection and that it has not got yet; none if more than
    `max_bytes` wait in the kernel."""
    if transport.is_closing():
        return b""
    protocol = transport.get_protocol()
    tail = protocol.pending_tail(tail_bytes) if isinstance(protocol, Receiver) else b""
    descriptor = transport.get_extra_info("socket").fileno()
    size = readable_bytes(descriptor)
    if not size:
        return tail
    return (tail + peek(descriptor, size)[-tail_bytes:])[-tail_bytes:] if size <= max_bytes else b""


def ms_since_last_data(transport: asyncio.Transport) -> float:
    """Milliseconds since the kernel received the last bytes on this connection, tcp(7); infinite if the
    kernel does not tell."""
    since_ms = tcp_info(transport.get_extra_info("socket"), TcpInfo.MS_SINCE_LAST_DATA)
    return inf if since_ms is None else float(since_ms)
