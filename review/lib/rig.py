"""Stand-ins for the cases of this review: backends, discovery and the platform that starts the proxy.

They follow the protocol and the deployment page. Everything listens on a loopback address and a free port.
"""

from __future__ import annotations

import asyncio
import contextlib
import fcntl
import json
import os
import shutil
import socket
import struct
import sys
import tempfile
import termios
import time
import tomllib
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
HOST = "127.0.0.1"
PASSED, BROKEN, NOT_RUN = 0, 1, 2
READY_WITHIN_S = 30.0

SETTINGS: dict[str, Any] = {
    "Az": 0,
    "Balancers": 1,
    "Clients": {"MarksRetry": False},
    "Dcs": ["lima-1"],
    "Discovery": "ask",
    "Domain": {"WarmKeys": True},
    "Kinds": ["fast", "standard"],
    "Lanes": [
        {
            "AimMs": 300.0,
            "Effect": "idempotency_key",
            "HardLimitMs": 1200.0,
            "KeyScope": "cell",
            "KeyTtlMs": 750.0,
            "LateWorth": 0.0,
            "Name": "plan-purchase",
            "Points": 12.0,
            "Stream": False,
        },
        {
            "AimMs": 300.0,
            "Effect": "non_idempotent",
            "HardLimitMs": 750.0,
            "KeyScope": "all",
            "KeyTtlMs": 5000.0,
            "LateWorth": 0.0,
            "Name": "card-answer",
            "Points": 1.0,
            "Stream": False,
        },
    ],
    "Layer": 0,
    "Limits": {
        "ConnIdleMs": 30000.0,
        "ConnectTimeoutMs": 150.0,
        "CpuUsPerRequest": 10.0,
        "CpuUsPerS": 15000,
        "MaxOpen": 20000,
        "MaxRetryAfterMs": 600.0,
        "MayCancel": True,
        "MayDuplicate": True,
        "MostTries": 6,
        "Peers": False,
        "Probes": True,
        "RetryAfter": False,
        "StreamsPerConn": 1,
    },
    "Me": 0,
    "Obligations": {
        "ColdMs": 24000.0,
        "DrainGraceMs": 250.0,
        "FallMultiple": 3.0,
        "GraceToAnswerMs": 20.0,
        "MustAskInMs": 10000.0,
        "OverloadForMs": 1500.0,
        "StartCapacity": 0.12,
    },
    "OverShareWorth": 0.1,
    "Projects": [],
    "Reporting": {"Fields": ["lat_ms", "rate", "q"], "Via": "on_probe"},
    "TickMs": 5.0,
    "Tiers": ["review-fleet"],
    "Weights": "live",
    "Workload": "proxy",
    "WorthBy": "request",
}

REASONS = {200: "OK", 400: "Bad Request", 404: "Not Found", 500: "Internal Server Error", 503: "Unavailable"}


class Record:
    """The lines of `record.txt`: what was sent, answered and run, with the seconds since the start."""

    def __init__(self, path: Path) -> None:
        self.file = path.open("w", encoding="utf-8")
        self.began = time.monotonic()

    def line(self, text: str) -> None:
        self.file.write(f"{time.monotonic() - self.began:9.3f} {text}\n")
        self.file.flush()


class Head:
    """The first line and the headers of a message."""

    def __init__(self, data: bytes) -> None:
        lines = data.decode("latin-1").split("\r\n")
        self.first = lines[0].split(" ", 2)
        self.headers = {}
        for line in lines[1:]:
            name, _, value = line.partition(":")
            self.headers[name.strip().lower()] = value.strip()


async def read_head(reader: asyncio.StreamReader) -> Head | None:
    """The head of the next message, None at the end."""
    try:
        return Head((await reader.readuntil(b"\r\n\r\n"))[:-4])
    except (asyncio.IncompleteReadError, ConnectionError):
        return None


async def read_body(reader: asyncio.StreamReader, head: Head) -> bytes:
    """The body of a message that tells its length or is chunked. Raises IncompleteReadError."""
    if head.headers.get("transfer-encoding", "").lower() == "chunked":
        pieces: list[bytes] = []
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            piece = await reader.readexactly(size + 2)
            if not size:
                return b"".join(pieces)
            pieces.append(piece[:-2])
    return await reader.readexactly(int(head.headers.get("content-length", "0")))


def answer_bytes(status: int, body: bytes, *headers: str) -> bytes:
    lines = [f"HTTP/1.1 {status} {REASONS[status]}", *headers, f"content-length: {len(body)}"]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


@dataclass
class Run:
    """A request that a backend has begun: its last byte has come."""

    call: str
    server: str
    at: float
    budget_ms: int


Handler = Callable[["Backend", Head, bytes, asyncio.StreamReader, asyncio.StreamWriter], Awaitable[bool]]


class Backend:
    """One backend. `handler` answers a request and tells whether the connection stays open."""

    def __init__(
        self, uid: str, record: Record, handler: Handler, work_s: float = 0.03, cell: int = 0
    ) -> None:
        self.uid, self.record, self.handler, self.work_s, self.cell = uid, record, handler, work_s, cell
        self.runs: list[Run] = []
        self.port, self.state, self.boot_ms = 0, "active", 0
        self.server: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()

    async def open(self) -> Backend:
        self.server = await asyncio.start_server(self._serve, HOST, self.port)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    def entry(self) -> dict[str, Any]:
        return {
            "uid": self.uid,
            "endpoint": f"{HOST}:{self.port}",
            "az": "lima-1",
            "model": "fast",
            "pod_group": self.cell,
            "state": self.state,
            "capacity_hint": 1.0,
            "boot_ms": self.boot_ms,
        }

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        try:
            while (head := await read_head(reader)) is not None:
                body = await read_body(reader, head)
                call = head.headers.get("x-call-id", "")
                if call:
                    budget = int(head.headers.get("x-budget-ms", "0"))
                    self.runs.append(Run(call, self.uid, time.monotonic(), budget))
                    self.record.line(f"run {call} at {self.uid}, budget {budget} ms")
                if not await self.handler(self, head, body, reader, writer):
                    break
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            with contextlib.suppress(Exception):
                writer.close()

    def close(self) -> None:
        if self.server is not None:
            self.server.close()
        for writer in self.writers:
            writer.transport.abort()


def result_of(call: str, size: int = 32) -> bytes:
    """The body that a backend answers to a request; it names the request."""
    line = f"result of {call};".encode()
    return (line * (size // len(line) + 1))[: max(size, len(line))]


async def plain_answer(
    backend: Backend, head: Head, body: bytes, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> bool:
    """A sound backend: works for a while and answers 200 with the result."""
    path = head.first[1]
    call = head.headers.get("x-call-id")
    if path in ("/health/live", "/stats"):
        writer.write(answer_bytes(200, b'{"lat_ms":30,"rate":10,"q":0}'))
    elif call is None:
        writer.write(answer_bytes(404, b""))
    else:
        await asyncio.sleep(backend.work_s)
        writer.write(answer_bytes(200, result_of(call)))
    await writer.drain()
    return True


class Discovery:
    """The list service: the whole list, and a watch on changes."""

    def __init__(self, record: Record) -> None:
        self.record, self.revision, self.port = record, 1, 0
        self.entries: dict[str, dict[str, Any]] = {}
        self.changed_at: dict[str, int] = {}
        self.change = asyncio.Event()
        self.server: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()

    async def open(self) -> Discovery:
        self.server = await asyncio.start_server(self._serve, HOST, self.port)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    def put(self, *backends: Backend) -> None:
        self.revision += 1
        for backend in backends:
            self.entries[backend.uid] = backend.entry()
            self.changed_at[backend.uid] = self.revision
        self.change.set()
        self.change = asyncio.Event()

    def whole(self) -> dict[str, Any]:
        return {"rev": self.revision, "all": True, "targets": list(self.entries.values())}

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        try:
            while (head := await read_head(reader)) is not None:
                path, _, query = head.first[1].partition("?")
                if path != "/registry/instances":
                    writer.write(answer_bytes(404, b""))
                    continue
                values = dict(part.split("=", 1) for part in query.split("&") if part)
                if "since" not in values:
                    answer = self.whole()
                else:
                    since = int(values["since"])
                    if since >= self.revision:
                        with contextlib.suppress(TimeoutError):
                            timeout_s = int(values.get("timeout_ms", "0")) / 1000
                            await asyncio.wait_for(self.change.wait(), timeout_s)
                    changed = [e for u, e in self.entries.items() if self.changed_at[u] > since]
                    answer = {"rev": self.revision, "all": False, "targets": changed}
                writer.write(answer_bytes(200, json.dumps(answer).encode()))
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            with contextlib.suppress(Exception):
                writer.close()

    def close(self) -> None:
        if self.server is not None:
            self.server.close()
        for writer in self.writers:
            writer.transport.abort()


def free_port() -> int:
    with socket.socket() as sock:
        sock.bind((HOST, 0))
        return int(sock.getsockname()[1])


class Proxy:
    """One proxy of the platform. Its processes are started by `run` of the deploy file as the deployment page
    says; `start` is called again for a new version."""

    def __init__(
        self,
        record: Record,
        discovery: Discovery,
        settings: dict[str, Any],
        name: str = "n0",
        sockets: int = 1024,
        memory_mb: int = 192,
    ) -> None:
        self.record, self.discovery, self.settings, self.name = record, discovery, settings, name
        self.sockets, self.memory_mb = sockets, memory_mb
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.port = free_port()
        self.processes: list[asyncio.subprocess.Process] = []
        self.admin_port = 0  # of the newest process

    def configure(self) -> None:
        """Writes the configuration file. Its saved list is discovery's present one."""
        config = {
            "name": self.name,
            "listen": f"{HOST}:{self.port}",
            "discovery": f"{HOST}:{self.discovery.port}",
            "seed": os.urandom(8).hex(),
            "limits": {"cores": 1.0, "memory_mb": self.memory_mb, "sockets": self.sockets},
            "peer_listen": f"{HOST}:{free_port()}",
            "peers": [],
            "known": self.discovery.whole(),
            "settings": self.settings,
        }
        (self.folder / "config.json").write_text(json.dumps(config), encoding="utf-8")
        (self.folder / "tmp").mkdir()

    async def start(self) -> asyncio.subprocess.Process:
        """Starts a process with the present configuration, and waits until its second address says yes."""
        if not self.processes:
            self.configure()
        self.admin_port = admin_port = free_port()
        environment = {
            **os.environ,
            "LB_CONFIG": str(self.folder / "config.json"),
            "LB_NAME": self.name,
            "LB_LISTEN": f"{HOST}:{self.port}",
            "LB_DISCOVERY": f"{HOST}:{self.discovery.port}",
            "LB_ADMIN": f"{HOST}:{admin_port}",
            "TMPDIR": str(self.folder / "tmp"),
        }
        command = tomllib.loads((ROOT / "deploy/balancer.toml").read_text(encoding="utf-8"))["run"]
        with (self.folder / "log.txt").open("ab") as log:
            process = await asyncio.create_subprocess_exec(
                "/bin/sh", "-c", command, cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        self.processes.append(process)
        deadline = time.monotonic() + READY_WITHIN_S
        while time.monotonic() < deadline and process.returncode is None:
            if await says_yes(admin_port, "/ops/readiness") and await says_yes(self.port, "/health/ready"):
                self.record.line(f"process {len(self.processes)} of proxy {self.name} says yes")
                return process
            await asyncio.sleep(0.02)
        raise RuntimeError(f"the proxy is not ready: {self.log()[-500:]}")

    async def closed_connections(self) -> list[str]:
        """The figures on client connections that the newest process closed, with the reasons."""
        reader, writer = await asyncio.open_connection(HOST, self.admin_port)
        writer.write(b"GET /ops/stats HTTP/1.1\r\nHost: backend.local\r\n\r\n")
        head = await read_head(reader)
        body = await read_body(reader, head) if head is not None else b""
        writer.close()
        return [line for line in body.decode().splitlines() if line.startswith("proxy.closed.")]

    def log(self) -> str:
        return (self.folder / "log.txt").read_text(encoding="utf-8", errors="replace")

    async def end(self) -> None:
        for process in self.processes:
            if process.returncode is None:
                with contextlib.suppress(ProcessLookupError):
                    process.kill()
                await process.wait()
        shutil.rmtree(self.folder, ignore_errors=True)


async def says_yes(port: int, path: str) -> bool:
    """Whether a call to a local address is answered with 2xx."""
    with contextlib.suppress(OSError):
        reader, writer = await asyncio.open_connection(HOST, port)
        try:
            writer.write(f"GET {path} HTTP/1.1\r\nHost: backend.local\r\n\r\n".encode())
            head = await read_head(reader)
            return head is not None and head.first[1].startswith("2")
        finally:
            writer.close()
    return False


def request_bytes(
    call: str, budget_ms: int, path: str, body: bytes = b"", *headers: str, key: str = ""
) -> bytes:
    """A request as the protocol page words it. `key`: the idempotency key, where its class has one."""
    lines = [f"POST /{path} HTTP/1.1", "Host: backend.local", f"X-Call-Id: {call}", "X-Caller: acme"]
    lines += [f"X-Route-Hash: {call[:16]}", f"X-Budget-Ms: {budget_ms}"]
    if path.startswith("plan-purchase"):
        lines.append(f"Idempotency-Key: {key or call * 2}")
    lines += [*headers, f"Content-Length: {len(body)}"]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


def unacknowledged_bytes(sock: Any) -> int:
    """Bytes written to a connection that the peer's machine does not have yet, tcp(7) SIOCOUTQ."""
    return int(struct.unpack("i", fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, b"\0\0\0\0"))[0])


def new_call() -> str:
    return os.urandom(8).hex()


def trouble() -> bool:
    return os.environ.get("TROUBLE", "1") != "0"


def main(case: Callable[[Record], Awaitable[int]], folder: Path, limit_s: float = 110.0) -> None:
    """Runs a case and ends with its exit code; 2 if it could not run."""
    record = Record(folder / "record.txt")
    record.line(f"trouble: {'yes' if trouble() else 'no'}")

    async def limited() -> int:
        async with asyncio.timeout(limit_s):
            return await case(record)

    try:
        code = asyncio.run(limited())
    except Exception as error:
        record.line(f"could not run: {type(error).__name__}: {error}")
        print(f"could not run: {type(error).__name__}: {error}", file=sys.stderr)
        code = NOT_RUN
    record.line(f"exit code {code}")
    sys.exit(code)
