"""The control socket: a Unix socket of mode 0600, a JSON object a line each way."""

from __future__ import annotations

import asyncio
import os
import socket
import stat
from collections.abc import Awaitable, Callable
from typing import Any

import orjson

MOST_REQUEST = 64 * 1024  # bytes: a command and its few arguments
MOST_ANSWER = 64 * 1024 * 1024
SILENT_S = 30.0  # s that a caller may take over its request
CALLERS = 16  # at once: a script gone wild must not use up the supervisor's descriptors
Answer = dict[str, Any]


class ControlError(Exception):
    """The path can't be had for a control socket; the text says why."""


def check_path(path: str) -> None:
    """Raise ControlError if something lives at the path; a socket that nobody listens on may be replaced."""
    try:
        mode = os.lstat(path).st_mode
    except FileNotFoundError:
        return
    except OSError as error:
        raise ControlError(f"control socket {path}: {error.strerror}") from None
    if not stat.S_ISSOCK(mode):
        raise ControlError(f"control socket {path}: another file is there")
    with socket.socket(socket.AF_UNIX) as sock:
        sock.settimeout(1.0)
        try:
            sock.connect(path)
        except (ConnectionRefusedError, FileNotFoundError):
            return
        except OSError as error:
            raise ControlError(f"control socket {path}: {error.strerror or error}") from None
    raise ControlError(f"control socket {path}: a fleet runs there already")


class Control:
    """Listens under a name of its own first; `publish` puts it at the path, over whatever was there, so that
    a successor takes the path in one step."""

    def __init__(self, path: str, answer: Callable[[Answer], Awaitable[Answer]]) -> None:
        self.path, self.answer = path, answer
        self.server: asyncio.Server | None = None
        self.inode = 0
        self.callers: set[asyncio.Task[None]] = set()

    async def open(self) -> None:
        hidden = f"{self.path}.{os.getpid()}"
        sock = socket.socket(socket.AF_UNIX)
        old = os.umask(0o177)
        try:
            sock.bind(hidden)
        except OSError as error:
            sock.close()
            raise ControlError(f"control socket {self.path}: {error.strerror or error}") from None
        finally:
            os.umask(old)
        self.inode = os.lstat(hidden).st_ino
        sock.setblocking(False)
        self.server = await asyncio.start_unix_server(self._serve, sock=sock, limit=MOST_REQUEST)

    def publish(self) -> None:
        try:
            os.rename(f"{self.path}.{os.getpid()}", self.path)
        except OSError as error:
            raise ControlError(f"control socket {self.path}: {error.strerror}") from None

    def close(self) -> None:
        """Remove the path if it is still this one's."""
        if self.server is not None:
            self.server.close()
            self.server = None
        for path in (self.path, f"{self.path}.{os.getpid()}"):
            try:
                if os.lstat(path).st_ino == self.inode:
                    os.unlink(path)
            except OSError:
                continue
        for caller in self.callers:
            caller.cancel()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self.callers.add(task)
        try:
            if len(self.callers) > CALLERS:
                writer.write(orjson.dumps({"ok": False, "reason": f"{CALLERS} callers already"}) + b"\n")
                return
            while True:
                async with asyncio.timeout(SILENT_S):
                    line = await reader.readline()
                if not line.endswith(b"\n"):
                    return
                try:
                    request = orjson.loads(line)
                    if not isinstance(request, dict):
                        raise ValueError
                except ValueError:
                    answer: Answer = {"ok": False, "reason": "expected a JSON object on one line"}
                else:
                    answer = await self.answer(request)
                writer.write(orjson.dumps(answer) + b"\n")
                await writer.drain()
        except (OSError, ValueError, TimeoutError, asyncio.CancelledError):
            pass  # the caller is gone, says too much, or says nothing
        finally:
            self.callers.discard(task)
            writer.close()


def send_control_request(path: str, request: Answer, timeout_s: float = 30.0) -> Answer:
    """One request to a running fleet. Raises ControlError, with a text for a person, if none answers."""
    with socket.socket(socket.AF_UNIX) as sock:
        sock.settimeout(timeout_s)
        try:
            sock.connect(path)
            sock.sendall(orjson.dumps(request) + b"\n")
            data = bytearray()
            while not data.endswith(b"\n"):
                piece = sock.recv(65536)
                if not piece or len(data) > MOST_ANSWER:
                    raise ControlError(f"control socket {path}: the fleet ended the call")
                data += piece
        except (FileNotFoundError, ConnectionRefusedError):
            raise ControlError(f"control socket {path}: no fleet runs there") from None
        except OSError as error:
            raise ControlError(f"control socket {path}: {error.strerror or error or 'no answer'}") from None
    answer = orjson.loads(data)
    assert isinstance(answer, dict)
    return answer
