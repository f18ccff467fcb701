"""Shared parts of the review's cases: the platform's side of one proxy, on loopback addresses."""

from __future__ import annotations

import asyncio
import json
import os
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parents[2]
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
READY_LIMIT_S = 30.0


def now_ms() -> float:
    return time.monotonic() * 1000


def address_of(listener: socket.socket) -> str:
    host, port = listener.getsockname()[:2]
    return f"{host}:{port}"


class CouldNotRun(Exception):
    """The case could not be set up; it says nothing about the rule."""


class Record:
    """The file `record.txt`: a line for each event, with the milliseconds since its start."""

    def __init__(self, folder: Path) -> None:
        self.start_ms = now_ms()
        self.file = open(folder / "record.txt", "w", encoding="utf-8")  # noqa: SIM115

    def line(self, text: str) -> None:
        self.file.write(f"{now_ms() - self.start_ms:10.1f} {text}\n")

    def merge(self, lines: str) -> None:
        """Adds the lines that a `PrintedRecord` in another process has printed."""
        for line in lines.splitlines(keepends=True):
            at_ms, _, text = line.rstrip("\n").partition(" ")
            if not line.endswith("\n"):
                continue  # cut off by the end of its process
            self.file.write(f"{float(at_ms) - self.start_ms:10.1f} {text}\n")

    def close(self) -> None:
        self.file.close()


class PrintedRecord:
    """The record of a process beside the test's: each line is printed, behind its time."""

    def line(self, text: str) -> None:
        print(f"{now_ms():.1f} {text}", flush=True)


class Headers:
    """The head of a message, read from a stream."""

    def __init__(self, raw: bytes) -> None:
        lines = raw.decode("latin-1").split("\r\n")
        self.first = lines[0]
        self.fields = {
            name.strip().lower(): value.strip()
            for name, _, value in (line.partition(":") for line in lines[1:] if line)
        }

    def get(self, name: str, default: str = "") -> str:
        return self.fields.get(name, default)


async def read_message(reader: asyncio.StreamReader) -> tuple[Headers, bytes]:
    """Reads a request or response with a Content-Length, or chunked, or without a body."""
    head = Headers((await reader.readuntil(b"\r\n\r\n"))[:-4])
    if head.get("transfer-encoding").lower() == "chunked":
        body = b""
        while size := int((await reader.readuntil(b"\r\n")).split(b";")[0], 16):
            body += await reader.readexactly(size)
            await reader.readexactly(2)
        await reader.readuntil(b"\r\n")
        return head, body
    return head, await reader.readexactly(int(head.get("content-length", "0")))


def answer(status: int, body: bytes = b"", extra: str = "") -> bytes:
    return f"HTTP/1.1 {status} X\r\n{extra}Content-Length: {len(body)}\r\n\r\n".encode() + body


Handler = Callable[["Call"], Awaitable[None]]


class Call:
    """A request that a backend has read whole."""

    def __init__(self, backend: Backend, head: Headers, body: bytes, first_byte_ms: float) -> None:
        self.backend, self.head, self.body, self.first_byte_ms = backend, head, body, first_byte_ms
        self.id = head.get("x-call-id")
        self.writer: asyncio.StreamWriter

    async def reply(self, status: int, body: bytes = b"", extra: str = "") -> None:
        self.writer.write(answer(status, body, extra))
        await self.writer.drain()


class Backend:
    """A backend of the protocol page. `handler` answers each request, by default 200 with its id."""

    def __init__(self, uid: str, record: Record | PrintedRecord, handler: Handler | None = None) -> None:
        self.uid, self.record, self.handler = uid, record, handler
        self.calls: list[Call] = []
        self.address = ""
        self.server: asyncio.Server | None = None

    async def open(self) -> Backend:
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0, backlog=512)
        self.address = address_of(self.server.sockets[0])
        return self

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                first = await reader.readexactly(1)
                first_byte_ms = now_ms()
                head = Headers((first + await reader.readuntil(b"\r\n\r\n"))[:-4])
                body = await reader.readexactly(int(head.get("content-length", "0")))
                call = Call(self, head, body, first_byte_ms)
                call.writer = writer
                self.calls.append(call)
                self.record.line(f"{self.uid} got {call.id}")
                if self.handler is not None:
                    await self.handler(call)
                else:
                    await call.reply(200, call.id.encode())
        except (asyncio.IncompleteReadError, OSError):
            pass
        finally:
            writer.close()


class Registry:
    """Discovery of the protocol page, asked at one or more addresses, which all tell the same list.

    `delay_s`: how long each call waits in line before it is served."""

    def __init__(self, record: Record, zone: str = "lima-1", kind: str = "fast") -> None:
        self.record, self.zone, self.kind = record, zone, kind  # of all backends
        self.rev = 1
        self.entries: dict[str, dict[str, Any]] = {}
        self.changes: list[tuple[int, dict[str, Any]]] = []
        self.changed = asyncio.Event()
        self.delay_s = 0.0
        self.silent = asyncio.Event()  # set: no call is answered
        self.back = asyncio.Event()  # set at the end of a silence
        self.doors: list[Door] = []

    def put(self, backend: Backend, state: str = "active", cell: int = 0, boot_ms: float = 0.0) -> None:
        self.rev += 1
        entry = {"uid": backend.uid, "endpoint": backend.address, "az": self.zone, "model": self.kind,
                 "pod_group": cell, "state": state, "capacity_hint": 1.0, "boot_ms": boot_ms}  # fmt: skip
        self.entries[backend.uid] = entry
        if state == "left":
            del self.entries[backend.uid]
        self.changes.append((self.rev, entry))
        self.record.line(f"discovery has {backend.uid} as {state}, version {self.rev}")
        self.changed.set()
        self.changed = asyncio.Event()

    def whole(self) -> dict[str, Any]:
        return {"rev": self.rev, "all": True, "targets": list(self.entries.values())}

    async def open(self) -> Door:
        door = Door(self)
        door.server = await asyncio.start_server(door.serve, "127.0.0.1", 0)
        door.address = address_of(door.server.sockets[0])
        self.doors.append(door)
        return door

    async def response(self, target: str) -> bytes:
        await asyncio.sleep(self.delay_s)
        if self.silent.is_set():
            await self.back.wait()
        query = parse_qs(urlsplit(target).query)
        if "since" not in query or int(query["since"][0]) > self.rev:
            return json.dumps(self.whole()).encode()
        since = int(query["since"][0])
        if since == self.rev:
            changed = self.changed
            try:
                async with asyncio.timeout(int(query.get("timeout_ms", ["0"])[0]) / 1000):
                    await changed.wait()
            except TimeoutError:
                pass
        targets = [entry for rev, entry in self.changes if rev > since]
        return json.dumps({"rev": self.rev, "all": False, "targets": targets}).encode()


class Door:
    """One address of discovery."""

    def __init__(self, registry: Registry) -> None:
        self.registry = registry
        self.address = ""
        self.server: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        try:
            while True:
                head, _ = await read_message(reader)
                # Not a watch that goes on, nor each of the many calls to a silent agent.
                if "timeout_ms=1500" not in head.first and not self.registry.silent.is_set():
                    self.registry.record.line(f"discovery {self.address} is asked: {head.first}")
                body = await self.registry.response(head.first.split()[1])
                if reader.at_eof() or reader.exception() is not None:
                    self.registry.record.line(
                        f"discovery {self.address}: the caller has left before its turn"
                    )
                    return
                writer.write(answer(200, body))
                await writer.drain()
                if b'"targets": []' not in body:
                    self.registry.record.line(f"discovery {self.address} answers {body.decode()}")
        except (asyncio.IncompleteReadError, OSError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def retire(self, linger_s: float = 1.5) -> None:
        """Takes no new connection from now on, and closes the open ones after `linger_s`."""
        assert self.server is not None
        self.server.close()
        await asyncio.sleep(linger_s)
        for writer in list(self.writers):
            writer.transport.abort()


def lane(name: str, effect: str, **more: Any) -> dict[str, Any]:
    base = {"Name": name, "Effect": effect, "KeyScope": "all", "KeyTtlMs": 5000.0, "AimMs": 300.0,
            "HardLimitMs": 750.0, "LateWorth": 0.0, "Points": 1.0, "Stream": False}  # fmt: skip
    return base | more


LANES = [
    lane(
        "plan-purchase", "idempotency_key", KeyScope="cell", KeyTtlMs=750.0, HardLimitMs=1200.0, Points=12.0
    ),
    lane("card-answer", "non_idempotent"),
]


def settings(**more: Any) -> dict[str, Any]:
    """The settings of a small deployment, in the form of the wire page."""
    base: dict[str, Any] = {
        "Az": 0, "Balancers": 1, "Clients": {"MarksRetry": False}, "Dcs": ["lima-1"], "Discovery": "ask",
        "Domain": {"WarmKeys": True}, "Kinds": ["fast", "standard"], "Lanes": LANES, "Layer": 0,
        "Limits": {"ConnIdleMs": 30000.0, "ConnectTimeoutMs": 150.0, "CpuUsPerRequest": 10.0,
                   "CpuUsPerS": 15000, "MaxOpen": 20000, "MaxRetryAfterMs": 600.0, "MayCancel": True,
                   "MayDuplicate": True, "MostTries": 6, "Peers": False, "Probes": True,
                   "RetryAfter": False, "StreamsPerConn": 1},
        "Me": 0,
        "Obligations": {"ColdMs": 24000.0, "DrainGraceMs": 250.0, "FallMultiple": 3.0,
                        "GraceToAnswerMs": 20.0, "MustAskInMs": 10000.0, "OverloadForMs": 1500.0,
                        "StartCapacity": 0.12},
        "OverShareWorth": 0.1, "Projects": [],
        "Reporting": {"Fields": ["lat_ms", "rate", "q"], "Via": "on_probe"},
        "TickMs": 5.0, "Tiers": ["review-fleet"], "Weights": "live", "Workload": "proxy",
        "WorthBy": "request",
    }  # fmt: skip
    return base | more


async def status_of(address: str, path: str) -> int:
    """The status of a GET on a connection of its own; 0: none."""
    try:
        reader, writer = await asyncio.open_connection(*split(address))
    except OSError:
        return 0
    try:
        writer.write(f"GET {path} HTTP/1.1\r\nHost: backend.local\r\n\r\n".encode())
        head, _ = await read_message(reader)
        return int(head.first.split()[1])
    except (OSError, asyncio.IncompleteReadError):
        return 0
    finally:
        writer.close()


def free_address() -> str:
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return address_of(sock)


class Proxy:
    """One proxy, started by `run` of the deploy file."""

    def __init__(self, folder: Path, registry: Registry, discovery: str, info: dict[str, Any],
                 memory_mb: int = 192, sockets: int = 1024, name: str = "n0") -> None:  # fmt: skip
        self.folder, self.registry, self.name = folder, registry, name
        self.path = folder / f"{name}.json"
        self.listen, self.discovery = free_address(), discovery  # as in the environment
        self.config = {"name": name, "listen": self.listen, "discovery": discovery,
                       "seed": "8c1f30d27a5be964",
                       "limits": {"cores": 1.0, "memory_mb": memory_mb, "sockets": sockets},
                       "known": registry.whole(), "settings": info}  # fmt: skip
        self.process: asyncio.subprocess.Process | None = None

    def write_config(self) -> None:
        new = self.path.with_suffix(".new")
        new.write_text(json.dumps(self.config))
        new.replace(self.path)

    async def start(self) -> Proxy:
        self.write_config()
        self.process, _ = await self.run()
        deadline = now_ms() + READY_LIMIT_S * 1000
        while await status_of(self.listen, "/health/ready") != 200:
            if self.process.returncode is not None or now_ms() > deadline:
                raise CouldNotRun("the proxy is not ready")
            await asyncio.sleep(0.05)
        return self

    async def run(self) -> tuple[asyncio.subprocess.Process, str]:
        """Starts `run` once, with all the same but a second address of its own, which is returned too."""
        command = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"]
        private = self.folder / f"{self.name}.tmp"
        private.mkdir(exist_ok=True)
        admin = free_address()
        env = dict(os.environ) | {"LB_CONFIG": str(self.path), "LB_NAME": self.name,
                                  "LB_LISTEN": self.listen, "LB_DISCOVERY": self.discovery,
                                  "LB_ADMIN": admin, "TMPDIR": str(private)}  # fmt: skip
        env.pop("PYTHONPATH", None)
        with open(self.folder / f"{self.name}.log", "ab") as log:
            process = await asyncio.create_subprocess_exec(
                "/bin/sh", "-c", command, cwd=ROOT, env=env, stdin=asyncio.subprocess.DEVNULL, stdout=log,
                stderr=log,
            )  # fmt: skip
        return process, admin

    def move_discovery(self, address: str) -> None:
        """Replaces the file of the configuration and sends SIGHUP."""
        self.config["discovery"] = address
        self.write_config()
        self.signal(signal.SIGHUP)

    def signal(self, number: int) -> None:
        assert self.process is not None
        if self.process.returncode is None:
            self.process.send_signal(number)

    @property
    def pid(self) -> int:
        assert self.process is not None
        return self.process.pid

    def memory_mb(self) -> float:
        """Resident memory of the process, with its part of what it shares with others."""
        with open(f"/proc/{self.pid}/smaps_rollup") as file:
            return next(int(line.split()[1]) / 1024 for line in file if line.startswith("Pss:"))

    async def close(self) -> None:
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()


def split(address: str) -> tuple[str, int]:
    host, _, port = address.rpartition(":")
    return host, int(port)


def request(
    name: str, call_id: str, budget_ms: int, body: bytes = b"", key: str = "", route: int = 0
) -> bytes:
    key_line = f"Idempotency-Key: {key}\r\n" if key else ""
    return (
        f"POST /{name} HTTP/1.1\r\nHost: backend.local\r\nX-Call-Id: {call_id}\r\n"
        f"X-Route-Hash: {route:016x}\r\nX-Budget-Ms: {budget_ms}\r\n"
        f"{key_line}Content-Length: {len(body)}\r\n\r\n"
    ).encode() + body


class Client:
    """One client connection that is kept, and opened anew if the proxy has closed it."""

    def __init__(self, address: str) -> None:
        self.address = address
        self.streams: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None

    async def ask(self, raw: bytes, limit_s: float) -> tuple[int, bytes]:
        """Status and body; status 0: the connection ended or nothing came in time."""
        try:
            if self.streams is None:
                self.streams = await asyncio.open_connection(*split(self.address))
            reader, writer = self.streams
            async with asyncio.timeout(limit_s):
                writer.write(raw)
                head, body = await read_message(reader)
        except (OSError, asyncio.IncompleteReadError, TimeoutError):
            self.close()
            return 0, b""
        if head.get("connection").lower() == "close":
            self.close()
        return int(head.first.split()[1]), body

    def close(self) -> None:
        if self.streams is not None:
            self.streams[1].close()
            self.streams = None


Case = Callable[[Path, Record, bool], Awaitable[int]]


def main(case: Case, folder: str) -> None:
    """Runs a case and exits with its verdict. `TROUBLE=0`: without the disruption."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(Path(folder).resolve())
    temporary = Path(tempfile.mkdtemp(prefix="review-"))

    async def limited() -> int:
        async with asyncio.timeout(110):
            return await case(temporary, record, trouble)

    try:
        verdict = asyncio.run(limited())
    except Exception as error:  # a fault of the test must not look like a broken rule
        record.line(f"the case could not run: {error!r}")
        verdict = COULD_NOT_RUN
    finally:
        for log in sorted(temporary.glob("*.log")):
            for line in log.read_text(errors="replace").splitlines()[-200:]:
                record.line(f"log of {log.stem}: {line}")
        shutil.rmtree(temporary, ignore_errors=True)
    record.line({HELD: "held", BROKEN: "broken", COULD_NOT_RUN: "could not run"}[verdict])
    record.close()
    sys.exit(verdict)
