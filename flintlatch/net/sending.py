"""Writes bodies to transports, and tells how much of what was written the peer does not have yet."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Sequence

from flintlatch.net.clock import now_ms
from flintlatch.net.polling import unacknowledged_bytes


def write_body(
    transport: asyncio.Transport, pieces: Sequence[bytes | memoryview], size: int, chunked: bool
) -> None:
    """Writes pieces of a body, as one chunk (RFC 9112 section 7.1) if `chunked`. `size`: their total, above
    0.

    They are joined: each object that a transport holds has a cost of its own, and a view keeps the whole
    buffer that it is a part of."""
    if chunked:
        transport.write(b"".join((b"%x\r\n" % size, *pieces, b"\r\n")))
    elif len(pieces) == 1 and isinstance(pieces[0], bytes):
        transport.write(pieces[0])
    else:
        transport.write(b"".join(pieces))


def limit_send_buffer(transport: asyncio.BaseTransport, size: int) -> None:
    """Sets SO_SNDBUF, which the kernel doubles, socket(7). What is buffered already is not discarded."""
    transport.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, size)


def unsent_bytes(transport: asyncio.Transport) -> int:
    """Bytes written to this connection that the peer's machine does not have yet, in the process and in the
    kernel. Of a transport that is closing only the process's are known."""
    in_process = transport.get_write_buffer_size()
    if transport.is_closing():
        return in_process
    return in_process + unacknowledged_bytes(transport.get_extra_info("socket").fileno())


class OutputProgress:
    """Since when the peer has taken nothing of the bytes that are written to it."""

    def __init__(self, unsent: int) -> None:
        self.unsent, self.since_ms = unsent, now_ms()

    def stalled_s(self, unsent: int) -> float:
        """Seconds without progress, if `unsent` bytes are left now."""
        if unsent != self.unsent:
            self.unsent, self.since_ms = unsent, now_ms()
        return (now_ms() - self.since_ms) / 1000
