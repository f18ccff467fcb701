"""One connection of delivery: the numbers that both sides draw, then sealed frames, each a message.

Who connects sends its hello (version, key, number), the other side its number; then each frame is a length
and what `StreamSeal` made. Nothing is read ahead: a frame is handed on as soon as it is whole.
"""

from __future__ import annotations

import asyncio
import os
import socket
import struct
from collections.abc import Callable
from dataclasses import dataclass
from typing import cast

from flintlatch.delivery.model import Message
from flintlatch.delivery.wire import MAX_FRAME_BYTES, Unreadable, encode
from flintlatch.peers.seal import HELLO, NONCE_BYTES, VERSION, Foreign, StreamSeal, named

LENGTH = struct.Struct(">I")
HIGH_WATER = 64 * 1024  # bytes unsent with which a socket is paused, as one window is
UNSENT_MOST = 1024 * 1024  # bytes: high water, a turn of the relay (256 KiB), and what it answers meanwhile
CLOSE_S = 2.0  # in which what was said last may still go out; then the connection is cut
# Reasons, few and fixed: each is told once and counted.
FOREIGN = "a frame that no key of ours sealed"
UNREADABLE = "a frame that is no message of ours"
UNSENDABLE = "to send a message too large for a frame"
OVERFULL = "to keep more for one that does not read"


@dataclass(slots=True)
class Counts:
    bytes_in: int = 0
    bytes_out: int = 0
    frames_in: int = 0
    frames_out: int = 0
    foreign: int = 0  # sessions ended for a frame that was changed, or by a stranger
    unreadable: int = 0  # sessions ended for bytes that are no message, or too many
    half_open: int = 0  # connections closed before they had said who they are
    overfull: int = 0  # sessions ended as the other side did not read
    unsendable: int = 0  # sessions ended for a message too large for a frame
    last_unreadable: str = ""  # what was found


class Stream(asyncio.Protocol):
    """`on_open`: both numbers are here. `on_frame` gets what was sealed, and may raise Unreadable. `on_lost`
    hears once of the end that we did not ask for, with the reason, empty if the other side closed.
    `on_paused`: whether the socket takes no more for now."""

    def __init__(self, keys: tuple[bytes, ...], asks: bool, counts: Counts) -> None:
        self.keys, self.asks, self.counts = keys, asks, counts
        self.on_open: Callable[[], None] = lambda: None
        self.on_frame: Callable[[bytes], None] = lambda plain: None
        self.on_lost: Callable[[str], None] = lambda why: None
        self.on_paused: Callable[[bool], None] = lambda paused: None
        self.transport: asyncio.Transport | None = None
        self.seal: StreamSeal | None = None
        self.nonce = os.urandom(NONCE_BYTES)
        self.buffer = bytearray()  # at most a frame and what one read brings
        self.over = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        if self.over:  # given up while it was on its way
            self.transport.abort()
            return
        self.transport.set_write_buffer_limits(high=HIGH_WATER)
        sock = self.transport.get_extra_info("socket")
        if sock is not None:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        if self.asks:
            self._write(HELLO.pack(VERSION, named(self.keys[0]), self.nonce))

    def _write(self, data: bytes) -> None:
        assert self.transport is not None
        self.counts.bytes_out += len(data)
        self.transport.write(data)

    def data_received(self, data: bytes) -> None:
        if self.over:
            return
        self.counts.bytes_in += len(data)
        self.buffer += data
        try:
            self._take()
        except Foreign:
            self.counts.foreign += 1
            self._lose(FOREIGN)
        except Unreadable as error:
            self.counts.unreadable += 1
            self.counts.last_unreadable = str(error)
            self._lose(UNREADABLE)

    def _take(self) -> None:
        """Raises Foreign, Unreadable."""
        if self.seal is None and not self._greeted():
            return
        assert self.seal is not None
        at, buffer = 0, self.buffer
        while len(buffer) - at >= LENGTH.size:
            (length,) = LENGTH.unpack_from(buffer, at)
            if length > MAX_FRAME_BYTES:
                raise Unreadable(f"a frame of {length} bytes")
            end = at + LENGTH.size + length
            if len(buffer) < end:
                break
            plain = self.seal.open(bytes(buffer[at + LENGTH.size : end]))
            at = end
            self.counts.frames_in += 1
            self.on_frame(plain)
            if self.over:
                return
        del buffer[:at]

    def _greeted(self) -> bool:
        """Whether both numbers are here. Raises Foreign."""
        size = NONCE_BYTES if self.asks else HELLO.size
        if len(self.buffer) < size:
            return False
        theirs = bytes(self.buffer[:size])
        del self.buffer[:size]
        if self.asks:
            self.seal = StreamSeal(self.keys[0], self.nonce, theirs, True)
        else:
            version, name, theirs = HELLO.unpack(theirs)
            key = next((key for key in self.keys if named(key) == name), None)
            if version != VERSION or key is None:
                raise Foreign("another version or key")
            self._write(self.nonce)
            self.seal = StreamSeal(key, theirs, self.nonce, False)
        self.on_open()
        return not self.over

    def send(self, message: Message) -> None:
        if self.over or self.seal is None or self.transport is None:
            return
        try:
            plain = encode(message)
        except Unreadable:
            self.counts.unsendable += 1
            self._lose(UNSENDABLE)
            return
        sealed = self.seal.close(plain)
        self.counts.frames_out += 1
        self._write(LENGTH.pack(len(sealed)) + sealed)
        if self.transport.get_write_buffer_size() > UNSENT_MOST:
            self.counts.overfull += 1
            self._lose(OVERFULL)

    def pause_writing(self) -> None:
        if not self.over:
            self.on_paused(True)

    def resume_writing(self) -> None:
        if not self.over:
            self.on_paused(False)

    def connection_lost(self, exc: Exception | None) -> None:
        if not self.over:
            self._lose("")

    def _lose(self, why: str) -> None:
        self.close(at_once=True)
        self.on_lost(why)

    def close(self, at_once: bool = False) -> None:
        """Without a word to `on_lost`. What was sent before goes out, unless `at_once`."""
        self.over = True
        self.buffer.clear()
        if self.transport is None:
            return
        if at_once:
            self.transport.abort()
            return
        self.transport.close()
        asyncio.get_running_loop().call_later(CLOSE_S, self.transport.abort)
