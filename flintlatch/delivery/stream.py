"""One encrypted delivery connection: an exchange of nonces, then sealed frames with one message each.

The connecting side sends a hello (version, key id, nonce) and the accepting side answers with its nonce. Each
frame is a length followed by the output of `StreamSeal`. A frame is handed on as soon as it is complete.
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
from flintlatch.delivery.wire import MAX_FRAME_BYTES, MessageError, encode
from flintlatch.peers.seal import HELLO, NONCE_BYTES, VERSION, AuthenticationFailed, StreamSeal, key_id

LENGTH = struct.Struct(">I")
WRITE_HIGH_WATER_BYTES = 64 * 1024  # unsent bytes at which a session is paused; the size of one window
# The high-water mark, one turn of the relay (256 KiB), and its answers in the meantime fit into this.
MAX_UNSENT_BYTES = 1024 * 1024
CLOSE_TIMEOUT_S = 2.0  # for sending what is still buffered; then the connection is aborted
# Reasons for ending a session. Each is logged once and counted, so the set is small and fixed.
FOREIGN = "a frame that no key of ours sealed"
UNREADABLE = "a frame that is no message of ours"
UNSENDABLE = "to send a message too large for a frame"
OVERFULL = "to keep more for one that does not read"


@dataclass(slots=True)
class StreamCounts:
    bytes_in: int = 0
    bytes_out: int = 0
    frames_in: int = 0
    frames_out: int = 0
    foreign: int = 0  # sessions ended by a frame that failed authentication, or by an unknown key or version
    unreadable: int = 0  # sessions ended by an invalid message or an oversized frame
    half_open: int = 0  # connections closed before their first authenticated frame
    overfull: int = 0  # sessions ended because the other side did not read
    unsendable: int = 0  # sessions ended because a message was too large for a frame
    last_unreadable: str = ""  # description of the last such message


class Stream(asyncio.Protocol):
    """`on_open` is called once both nonces are exchanged, `on_frame` with each decrypted frame; it may raise
    MessageError. `on_lost` is called once when the connection ends without a call of `close`, with the
    reason, which is empty if the other side closed it. `on_paused` tells whether the write buffer is full."""

    def __init__(self, keys: tuple[bytes, ...], is_client: bool, counts: StreamCounts) -> None:
        self.keys, self.is_client, self.counts = keys, is_client, counts
        self.on_open: Callable[[], None] = lambda: None
        self.on_frame: Callable[[bytes], None] = lambda plain: None
        self.on_lost: Callable[[str], None] = lambda reason: None
        self.on_paused: Callable[[bool], None] = lambda paused: None
        self.transport: asyncio.Transport | None = None
        self.seal: StreamSeal | None = None
        self.nonce = os.urandom(NONCE_BYTES)
        self.buffer = bytearray()  # holds at most one incomplete frame and the data of one read
        self.closed = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        if self.closed:  # while the connection was being established
            self.transport.abort()
            return
        self.transport.set_write_buffer_limits(high=WRITE_HIGH_WATER_BYTES)
        sock = self.transport.get_extra_info("socket")
        if sock is not None:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        if self.is_client:
            self._write(HELLO.pack(VERSION, key_id(self.keys[0]), self.nonce))

    def _write(self, data: bytes) -> None:
        assert self.transport is not None
        self.counts.bytes_out += len(data)
        self.transport.write(data)

    def data_received(self, data: bytes) -> None:
        if self.closed:
            return
        self.counts.bytes_in += len(data)
        self.buffer += data
        try:
            self._process_buffer()
        except AuthenticationFailed:
            self.counts.foreign += 1
            self._abort(FOREIGN)
        except MessageError as error:
            self.counts.unreadable += 1
            self.counts.last_unreadable = str(error)
            self._abort(UNREADABLE)

    def _process_buffer(self) -> None:
        """Raises Foreign and MessageError."""
        if self.seal is None and not self._complete_handshake():
            return
        assert self.seal is not None
        start, buffer = 0, self.buffer
        while len(buffer) - start >= LENGTH.size:
            (length,) = LENGTH.unpack_from(buffer, start)
            if length > MAX_FRAME_BYTES:
                raise MessageError(f"frame has {length} bytes, expected at most {MAX_FRAME_BYTES}")
            end = start + LENGTH.size + length
            if len(buffer) < end:
                break
            plain = self.seal.decrypt(bytes(buffer[start + LENGTH.size : end]))
            start = end
            self.counts.frames_in += 1
            self.on_frame(plain)
            if self.closed:
                return
        del buffer[:start]

    def _complete_handshake(self) -> bool:
        """Whether both nonces are exchanged and the stream is still open. Raises AuthenticationFailed."""
        size = NONCE_BYTES if self.is_client else HELLO.size
        if len(self.buffer) < size:
            return False
        peer_nonce = bytes(self.buffer[:size])
        del self.buffer[:size]
        if self.is_client:
            self.seal = StreamSeal(self.keys[0], self.nonce, peer_nonce, True)
        else:
            version, received_key_id, peer_nonce = HELLO.unpack(peer_nonce)
            key = next((key for key in self.keys if key_id(key) == received_key_id), None)
            if version != VERSION or key is None:
                raise AuthenticationFailed("hello has an unknown version or key")
            self._write(self.nonce)
            self.seal = StreamSeal(key, peer_nonce, self.nonce, False)
        self.on_open()
        return not self.closed

    def send(self, message: Message) -> None:
        if self.closed or self.seal is None or self.transport is None:
            return
        try:
            plain = encode(message)
        except MessageError:
            self.counts.unsendable += 1
            self._abort(UNSENDABLE)
            return
        sealed = self.seal.encrypt(plain)
        self.counts.frames_out += 1
        self._write(LENGTH.pack(len(sealed)) + sealed)
        if self.transport.get_write_buffer_size() > MAX_UNSENT_BYTES:
            self.counts.overfull += 1
            self._abort(OVERFULL)

    def pause_writing(self) -> None:
        if not self.closed:
            self.on_paused(True)

    def resume_writing(self) -> None:
        if not self.closed:
            self.on_paused(False)

    def connection_lost(self, exc: Exception | None) -> None:
        if not self.closed:
            self._abort("")

    def _abort(self, reason: str) -> None:
        self.close(at_once=True)
        self.on_lost(reason)

    def close(self, at_once: bool = False) -> None:
        """Closes the connection without a call of `on_lost`. Buffered data is still sent unless `at_once`."""
        self.closed = True
        self.buffer.clear()
        if self.transport is None:
            return
        if at_once:
            self.transport.abort()
            return
        self.transport.close()
        asyncio.get_running_loop().call_later(CLOSE_TIMEOUT_S, self.transport.abort)
