"""Asks the kernel for the state of a descriptor without waiting."""

from __future__ import annotations

import fcntl
import os
import select
import socket
import struct

SIOCOUTQ, FIONREAD = 0x5411, 0x541B  # linux/sockios.h, asm-generic/ioctls.h
INT = struct.Struct("=i")

# A signal ends poll(2) with EINTR. Without a time to wait, Python then returns no event instead of asking
# again (PEP 475 repeats only what remains of the timeout).
POLL_ATTEMPTS = 5


def has_event(descriptor: int, events: int) -> bool:
    """Whether the kernel reports any of these poll events, or an error."""
    poll = select.poll()
    poll.register(descriptor, events)
    return any(poll.poll(0) for _ in range(POLL_ATTEMPTS))


def unacknowledged_bytes(descriptor: int) -> int:
    """Bytes written to a TCP connection that the peer's machine does not have yet, tcp(7); 0 if the kernel
    does not tell."""
    return _ask_for_count(descriptor, SIOCOUTQ)


def readable_bytes(descriptor: int) -> int:
    """Bytes of a connection that can be read at once, tcp(7); 0 if the kernel does not tell."""
    return _ask_for_count(descriptor, FIONREAD)


def peek(descriptor: int, size: int) -> bytes:
    """Up to `size` bytes of a connection, which stay unread; none if that fails."""
    try:
        with socket.socket(fileno=os.dup(descriptor)) as connection:
            return connection.recv(size, socket.MSG_PEEK | socket.MSG_DONTWAIT)
    except OSError:
        return b""


def _ask_for_count(descriptor: int, request: int) -> int:
    try:
        return int(INT.unpack(fcntl.ioctl(descriptor, request, bytes(INT.size)))[0])
    except OSError:
        return 0
