"""The service manager's side, by the man pages sd_notify(3), sd_watchdog_enabled(3) and sd_listen_fds(3)."""

from __future__ import annotations

import os
import socket
import time
from collections.abc import Mapping

FIRST_FD = 3  # SD_LISTEN_FDS_START


class Notifier:
    """Messages to `$NOTIFY_SOCKET`; without one they go nowhere. A manager that can't be reached must not
    keep the fleet from its work, so errors are dropped."""

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
        """Both lines in one message, as Type=notify-reload asks."""
        usec = time.clock_gettime_ns(time.CLOCK_MONOTONIC) // 1000
        self.send("RELOADING=1", f"MONOTONIC_USEC={usec}", "STATUS=reloading")

    def stopping(self, reason: str) -> None:
        self.send("STOPPING=1", f"STATUS=stopping: {reason}")

    def status(self, text: str) -> None:
        self.send(f"STATUS={text}")

    def alive(self) -> None:
        self.send("WATCHDOG=1")


def activated(env: Mapping[str, str], pid: int) -> list[socket.socket]:
    """The listening sockets that the service manager opened; none where they are another process's.

    Raises ValueError for what is no listening stream socket."""
    count = env.get("LISTEN_FDS", "")
    if env.get("LISTEN_PID") != str(pid) or not count.isascii() or not count.isdigit():
        return []
    socks = []
    for fd in range(FIRST_FD, FIRST_FD + int(count)):
        try:
            sock = socket.socket(fileno=fd)
            listens = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN)
        except OSError as error:
            raise ValueError(f"LISTEN_FDS: descriptor {fd}: {error.strerror}") from None
        if not listens or sock.type != socket.SOCK_STREAM or sock.family == socket.AF_UNIX:
            raise ValueError(f"LISTEN_FDS: descriptor {fd} is no listening TCP socket")
        sock.set_inheritable(False)
        socks.append(sock)
    return socks
