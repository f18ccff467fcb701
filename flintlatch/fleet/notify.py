"""The service manager's protocols: sd_notify(3), sd_watchdog_enabled(3) and sd_listen_fds(3)."""

from __future__ import annotations

import os
import socket
import time
from collections.abc import Mapping

FIRST_DESCRIPTOR = 3  # SD_LISTEN_FDS_START


class Notifier:
    """Sends state changes to `$NOTIFY_SOCKET`, or nowhere if that is not set. Errors are ignored: the fleet
    serves even if the service manager can't be reached."""

    def __init__(self, env: Mapping[str, str], pid: int) -> None:
        self.address = env.get("NOTIFY_SOCKET", "")
        self.watchdog_s = 0.0
        usec = env.get("WATCHDOG_USEC", "")
        if usec.isascii() and usec.isdigit() and env.get("WATCHDOG_PID", str(pid)) == str(pid):
            self.watchdog_s = int(usec) / 1e6

    def send(self, *lines: str) -> None:
        if not self.address:
            return
        path = "\0" + self.address[1:] if self.address.startswith("@") else self.address
        try:
            with socket.socket(socket.AF_UNIX, socket.SOCK_DGRAM | socket.SOCK_CLOEXEC) as sock:
                sock.setblocking(False)
                sock.sendto("\n".join(lines).encode(), path)
        except OSError:
            pass

    def ready(self, status: str) -> None:
        self.send("READY=1", f"MAINPID={os.getpid()}", f"STATUS={status}")

    def reloading(self) -> None:
        """Type=notify-reload requires RELOADING and MONOTONIC_USEC in one message."""
        usec = time.clock_gettime_ns(time.CLOCK_MONOTONIC) // 1000
        self.send("RELOADING=1", f"MONOTONIC_USEC={usec}", "STATUS=reloading")

    def stopping(self, reason: str) -> None:
        self.send("STOPPING=1", f"STATUS=stopping: {reason}")

    def status(self, text: str) -> None:
        self.send(f"STATUS={text}")

    def alive(self) -> None:
        self.send("WATCHDOG=1")


def sockets_from_manager(env: Mapping[str, str], pid: int) -> list[socket.socket]:
    """The listening sockets passed by the service manager; none if they are meant for another process.

    Raises ValueError for a descriptor that is not a listening TCP socket."""
    count = env.get("LISTEN_FDS", "")
    if env.get("LISTEN_PID") != str(pid) or not count.isascii() or not count.isdigit():
        return []
    sockets = []
    for fd in range(FIRST_DESCRIPTOR, FIRST_DESCRIPTOR + int(count)):
        try:
            sock = socket.socket(fileno=fd)
            is_listening = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN)
        except OSError as error:
            raise ValueError(f"LISTEN_FDS: descriptor {fd}: {error.strerror}") from None
        if not is_listening or sock.type != socket.SOCK_STREAM or sock.family == socket.AF_UNIX:
            raise ValueError(f"LISTEN_FDS: descriptor {fd} is not a listening TCP socket")
        sock.set_inheritable(False)
        sockets.append(sock)
    return sockets
