"""Asks the kernel for the state of a descriptor without waiting. What it does not tell is None or 0."""

from __future__ import annotations

import fcntl
import os
import select
import socket
import struct
from enum import Enum
from typing import NamedTuple

SIOCOUTQ, FIONREAD = 0x5411, 0x541B  # linux/sockios.h, asm-generic/ioctls.h
INT, UNSIGNED = struct.Struct("=i"), struct.Struct("=I")
SO_MEMINFO = 55  # asm-generic/socket.h
MEMORY_INFO = struct.Struct("=9I")  # by the constants SK_MEMINFO_..., linux/sock_diag.h

# A signal ends poll(2) with EINTR. Without a time to wait, Python then returns no event instead of asking
# again (PEP 475 repeats only what remains of the timeout).
POLL_ATTEMPTS = 5


class TcpInfo(Enum):
    """Members of struct tcp_info, linux/tcp.h, by their offset in bytes."""

    RECEIVED_SEGMENT_BYTES = 20  # tcpi_rcv_mss
    QUEUED_CONNECTIONS = 24  # tcpi_unacked, of a listening socket
    MS_SINCE_LAST_DATA = 52  # tcpi_last_data_recv


class ReceiveMemory(NamedTuple):
    """Memory of the kernel for what a socket has received."""

    allocated_bytes: int
    limit_bytes: int


def tcp_info(connection: socket.socket, member: TcpInfo) -> int | None:
    size = member.value + UNSIGNED.size
    try:
        info = connection.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, size)
        return int(UNSIGNED.unpack_from(info, member.value)[0])
    except (OSError, struct.error):
        return None


def receive_memory(connection: socket.socket) -> ReceiveMemory | None:
    try:
        info = connection.getsockopt(socket.SOL_SOCKET, SO_MEMINFO, MEMORY_INFO.size)
        return ReceiveMemory(*MEMORY_INFO.unpack(info)[:2])
    except (OSError, struct.error):
        return None


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
