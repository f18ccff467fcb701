"""Listening sockets."""

from __future__ import annotations

import socket

from flintlatch.net.http1 import split_address
from flintlatch.net.polling import TcpInfo, tcp_info

LISTEN_BACKLOG = 512


def open_listener(address: str, shared: bool = False) -> socket.socket:
    """Opens a socket that listens at `host:port`. Raises OSError if the address is not available. `shared`:
    other processes of this user that set the same option may listen there too (SO_REUSEPORT, socket(7))."""
    host, port = split_address(address)
    sock = socket.socket(socket.AF_INET6 if ":" in host else socket.AF_INET)
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        if shared:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        sock.bind((host, port))
        sock.listen(LISTEN_BACKLOG)
    except OSError:
        sock.close()
        raise
    return sock


def queued_connections(listener: socket.socket) -> int:
    """Connections that wait to be accepted; 0 if the kernel does not tell."""
    return tcp_info(listener, TcpInfo.QUEUED_CONNECTIONS) or 0
