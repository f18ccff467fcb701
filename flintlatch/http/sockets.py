"""How much of a body a socket may hold, on either side."""

from __future__ import annotations

import asyncio
import socket

from flintlatch.exchange import Piece

RECEIVE_BUFFER_BYTES = (
    128 * 1024
)  # the kernel's buffer for a connection, of which it uses twice as much (socket(7))
MAX_READ_BYTES = 2 * RECEIVE_BUFFER_BYTES  # at once: what a connection may hold beyond its write buffer
SEND_BUFFER_BYTES = (
    128 * 1024
)  # the kernel's for what leaves, doubled too: left to itself it takes 4 MB a slow client
WRITE_HIGH_WATER_BYTES = 64 * 1024  # of a write buffer, before the other side is held back
RESPONSE_BUFFER_BYTES = (
    WRITE_HIGH_WATER_BYTES + 2 * MAX_READ_BYTES
)  # of an answer at most: the buffer up to its mark, and one read


def write_body(transport: asyncio.Transport, pieces: list[Piece], size: int, chunked: bool) -> None:
    """Some of a body as it came, or as one chunk (RFC 9112 section 7.1). `size`: above 0."""
    if chunked:
        transport.writelines([b"%x\r\n" % size, *pieces, b"\r\n"])
    elif len(pieces) == 1:
        transport.write(pieces[0])
    else:
        transport.writelines(pieces)


def limit_socket_buffers(transport: asyncio.BaseTransport, send: bool) -> None:
    """Let the kernel hold no more than so much for it, and so hand out no more at once: what a peer sends
    beyond that waits on the peer's side. `send`: also of what leaves; nodes are few, and read."""
    sock = transport.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    if send:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES)
