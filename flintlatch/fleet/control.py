"""The control socket of a fleet: a Unix socket of mode 0600; each request and response is a line of JSON."""

from __future__ import annotations

import asyncio
import os
import socket
import stat
from collections.abc import Awaitable, Callable
from typing import Any

import orjson

MAX_REQUEST_BYTES = 64 * 1024
MAX_RESPONSE_BYTES = 64 * 1024 * 1024
REQUEST_TIMEOUT_S = 30.0  # a connection that sends no complete request for this long is closed
CONNECT_TIMEOUT_S = 1.0  # for the check whether a process listens on the path
MAX_CONNECTIONS = 16  # a faulty script must not use up the supervisor's file descriptors
JsonObject = dict[str, Any]


class ControlError(Exception):
    """The control socket can't be created or does not answer; the text gives the path and the reason."""


def check_path(path: str) -> None:
    """Raises ControlError unless the path is free or holds a socket that no process listens on."""
    try:
        mode = os.lstat(path).st_mode
    except FileNotFoundError:
        return
    except OSError as error:
        raise ControlError(f"control socket {path}: {error.strerror}") from None
    if not stat.S_ISSOCK(mode):
        raise ControlError(f"control socket {path}: the path exists and is not a socket")
    with socket.socket(socket.AF_UNIX) as sock:
        sock.settimeout(CONNECT_TIMEOUT_S)
        try:
            sock.connect(path)
        except (ConnectionRefusedError, FileNotFoundError):
            return
        except OSError as error:
            raise ControlError(f"control socket {path}: {error.strerror or error}") from None
    raise ControlError(f"control socket {path}: a fleet runs there already")


class Control:
    """The server end of the control socket.

    `open` listens at a temporary path, and `publish` renames it to the final one, so that a successor
    replaces the socket of its predecessor atomically."""

    def __init__(self, path: str, handle_request: Callable[[JsonObject], Awaitable[JsonObject]]) -> None:
        self.path, self.handle_request = path, handle_request
        self.server: asyncio.Server | None = None
        self.inode = 0  # of the socket file; 0: not bound yet
        self.connections: set[asyncio.Task[None]] = set()

    async def open(self) -> None:
        temporary_path = f"{self.path}.{os.getpid()}"
        sock = socket.socket(socket.AF_UNIX)
        previous_umask = os.umask(0o177)
        try:
            sock.bind(temporary_path)
        except OSError as error:
            sock.close()
            raise ControlError(f"control socket {self.path}: {error.strerror or error}") from None
        finally:
            os.umask(previous_umask)
        self.inode = os.lstat(temporary_path).st_ino
        sock.setblocking(False)
        self.server = await asyncio.start_unix_server(self._serve, sock=sock, limit=MAX_REQUEST_BYTES)

    def publish(self) -> None:
        try:
            os.rename(f"{self.path}.{os.getpid()}", self.path)
        except OSError as error:
            raise ControlError(f"control socket {self.path}: {error.strerror}") from None

    def close(self) -> None:
        """Stops listening, and removes the path unless another process has replaced it."""
        if self.server is not None:
            self.server.close()
            self.server = None
        for path in (self.path, f"{self.path}.{os.getpid()}"):
            try:
                if os.lstat(path).st_ino == self.inode:
                    os.unlink(path)
            except OSError:
                continue
        for task in self.connections:
            task.cancel()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self.connections.add(task)
        try:
            if len(self.connections) > MAX_CONNECTIONS:
                writer.write(
                    orjson.dumps(
                        {"ok": False, "reason": f"{MAX_CONNECTIONS} control connections are open already"}
                    )
                    + b"\n"
                )
                return
            while True:
                async with asyncio.timeout(REQUEST_TIMEOUT_S):
                    line = await reader.readline()
                if not line.endswith(b"\n"):
                    return
                try:
                    request = orjson.loads(line)
                    if not isinstance(request, dict):
                        raise ValueError
                except ValueError:
                    response: JsonObject = {"ok": False, "reason": "expected a JSON object on one line"}
                else:
                    response = await self.handle_request(request)
                writer.write(orjson.dumps(response) + b"\n")
                await writer.drain()
        except (OSError, ValueError, TimeoutError, asyncio.CancelledError):
            pass  # the client is gone, sent a line that is too long, or timed out
        finally:
            self.connections.discard(task)
            writer.close()


def send_control_request(path: str, request: JsonObject, timeout_s: float = 30.0) -> JsonObject:
    """Sends one request to a running fleet and returns its response.

    Raises ControlError if no fleet listens there or the connection fails."""
    with socket.socket(socket.AF_UNIX) as sock:
        sock.settimeout(timeout_s)
        try:
            sock.connect(path)
            sock.sendall(orjson.dumps(request) + b"\n")
            received = bytearray()
            while not received.endswith(b"\n"):
                chunk = sock.recv(65536)
                if not chunk or len(received) > MAX_RESPONSE_BYTES:
                    raise ControlError(
                        f"control socket {path}: "
                        + (
                            f"the response exceeds {MAX_RESPONSE_BYTES} bytes"
                            if chunk
                            else "the fleet closed the connection"
                        )
                    )
                received += chunk
        except (FileNotFoundError, ConnectionRefusedError):
            raise ControlError(f"control socket {path}: no fleet runs there") from None
        except OSError as error:
            raise ControlError(f"control socket {path}: {error.strerror or error or 'no answer'}") from None
    response = orjson.loads(received)
    assert isinstance(response, dict)
    return response
