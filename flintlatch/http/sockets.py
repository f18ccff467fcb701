"""Limits for the socket buffers of client and node connections."""

from __future__ import annotations

import asyncio
import socket

from flintlatch.net.sending import limit_send_buffer

RECEIVE_BUFFER_BYTES = 128 * 1024  # SO_RCVBUF; the kernel doubles it (socket(7))
MAX_READ_BYTES = 2 * RECEIVE_BUFFER_BYTES  # upper bound of the bytes that one read returns
# SO_SNDBUF, doubled too. Without it, the kernel buffers up to 4 MB for a slow client.
SEND_BUFFER_BYTES = 128 * 1024
WRITE_HIGH_WATER_BYTES = 64 * 1024  # size of a write buffer above which reading from the other side pauses
# Largest buffered part of a response: a write buffer at its high-water mark and two reads.
RESPONSE_BUFFER_BYTES = WRITE_HIGH_WATER_BYTES + 2 * MAX_READ_BYTES


def limit_socket_buffers(transport: asyncio.BaseTransport, send: bool) -> None:
    """Limits the kernel's receive buffer, and with it the size of one read: more bytes wait at the peer.
    `send`: limits the send buffer too. It is needed for clients only; nodes are few and read their input."""
    sock = transport.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    if send:
        limit_send_buffer(transport, SEND_BUFFER_BYTES)
