"""Scripted servers on loopback, whose every response the test gives, and a plain HTTP client."""

from __future__ import annotations

import asyncio
import json
import tempfile
from collections.abc import AsyncIterator, Coroutine
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any, NamedTuple

import uvloop

from flintlatch.net.frontend import Frontend
from flintlatch.net.guard import bugs
from flintlatch.platform import PlatformEngine
from flintlatch.program import Config, start

TEST_TIMEOUT_S = 60.0  # far longer than any test needs: reached only by a test that hangs
PURCHASE = {"Name": "purchase", "AimMs": 20000, "HardLimitMs": 30000, "Effect": "idempotency_key",
            "KeyScope": "cell", "KeyTtlMs": 10000, "Points": 12}  # fmt: skip
ANSWER = {"Name": "answer", "AimMs": 20000, "HardLimitMs": 30000, "Effect": "non_idempotent", "Points": 12}
LOOKUP = {"Name": "lookup", "AimMs": 20000, "HardLimitMs": 30000, "Effect": "read_like", "Points": 12}


def run(test: Coroutine[Any, Any, None], expected_bugs: int = 0) -> None:
    """Runs a test. It fails if the program has logged an unexpected exception."""
    count = bugs.count
    uvloop.run(asyncio.wait_for(test, TEST_TIMEOUT_S))
    assert bugs.count - count == expected_bugs


class Reply(NamedTuple):
    status: int
    headers: dict[str, str]
    body: bytes


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]]:
    first, *lines = (await reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")[:-2]
    return first, {k.lower(): v for k, v in (line.split(": ", 1) for line in lines)}


class ReceivedRequest(NamedTuple):
    """A request that a scripted server has read; the test answers it."""

    line: str
    headers: dict[str, str]
    body: bytes
    writer: asyncio.StreamWriter
    connection: int
    closed: asyncio.Event  # set when the proxy has closed the connection

    def reply(self, body: bytes = b"done", status: int = 200, headers: dict[str, str] | None = None) -> None:
        lines = "".join(f"{name}: {value}\r\n" for name, value in (headers or {}).items())
        head = f"HTTP/1.1 {status} X\r\ncontent-length: {len(body)}\r\n{lines}\r\n"
        self.writer.write(head.encode() + body)


class ScriptedServer:
    """A server that puts each request it reads into `requests`."""

    def __init__(self) -> None:
        self.requests: asyncio.Queue[ReceivedRequest] = asyncio.Queue()
        self.connections = 0
        self.writers: list[asyncio.StreamWriter] = []
        self.address = ""

    async def open(self) -> ScriptedServer:
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = "{}:{}".format(*self.server.sockets[0].getsockname())
        return self

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        self.writers.append(writer)
        connection, closed = self.connections, asyncio.Event()
        try:
            while True:
                line, headers = await read_head(reader)
                body = await reader.readexactly(int(headers.get("content-length", 0)))
                await self.requests.put(ReceivedRequest(line, headers, body, writer, connection, closed))
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()
            closed.set()

    def close(self) -> None:
        self.server.close()
        for writer in self.writers:
            writer.close()


class Client:
    """One connection to a proxy."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer = reader, writer

    @staticmethod
    async def open(address: str) -> Client:
        host, port = address.split(":")
        return Client(*await asyncio.open_connection(host, int(port)))

    def send(
        self, path: str = "/answer", method: str = "POST", *, body: bytes = b"", **headers: str | None
    ) -> None:
        all_headers: dict[str, str | None] = {
            "host": "backend.local",
            "x-call-id": "c1",
            "x-budget-ms": "20000",
            "content-length": str(len(body)),
        }
        all_headers |= {name.replace("_", "-"): value for name, value in headers.items()}
        lines = "".join(f"{name}: {value}\r\n" for name, value in all_headers.items() if value is not None)
        self.writer.write(f"{method} {path} HTTP/1.1\r\n{lines}\r\n".encode() + body)

    async def reply(self) -> Reply:
        line, headers = await read_head(self.reader)
        body = await self.reader.readexactly(int(headers["content-length"]))
        return Reply(int(line.split()[1]), headers, body)

    async def ask(self, path: str = "/answer", method: str = "POST", **headers: str | None) -> Reply:
        self.send(path, method, body=b"", **headers)
        return await self.reply()

    async def ended(self) -> bool:
        """Waits for the end of the connection. Returns whether no byte arrived before it."""
        try:
            return await self.reader.read() == b""
        except ConnectionError:
            return True

    def close(self) -> None:
        self.writer.close()


def target(uid: str, address: str, state: str = "active", boot_ms: int = 0) -> dict[str, Any]:
    return {"uid": uid, "endpoint": address, "az": "a", "model": "m", "pod_group": 1, "state": state,
            "capacity_hint": 1.0, "boot_ms": boot_ms}  # fmt: skip


def listing(rev: int, *targets: dict[str, Any], snapshot: bool = True) -> dict[str, Any]:
    return {"rev": rev, "all": snapshot, "targets": list(targets)}


def configuration(discovery: str, *targets: dict[str, Any], **limits: Any) -> dict[str, Any]:
    return {
        "name": "n0",
        "listen": "127.0.0.1:0",
        "discovery": discovery,
        "seed": "8c1f30d27a5be964",
        "limits": {
            "cores": 1.0,
            "memory_mb": limits.pop("memory_mb", 192),
            "sockets": limits.pop("sockets", 1024),
        },
        "known": listing(1, *targets),
        "settings": {
            "Lanes": [PURCHASE, ANSWER, LOOKUP],
            "Dcs": ["a"],
            "Kinds": ["m"],
            "Discovery": limits.pop("lists", "ask"),
            "TickMs": 5.0,
            "Obligations": limits.pop("obligations", {}),
            "Limits": {"MayCancel": True, "MostTries": 4, "ConnectTimeoutMs": 20000, "ConnIdleMs": 60000}
            | limits,
        },
    }


class Proxy(NamedTuple):
    engine: PlatformEngine
    frontend: Frontend
    backends: list[ScriptedServer]
    registry: ScriptedServer

    async def client(self) -> Client:
        return await Client.open(self.frontend.address)


@asynccontextmanager
async def proxy(backends: int = 1, **limits: Any) -> AsyncIterator[Proxy]:
    """A complete proxy in this process with its servers. The test answers all requests, also those to the
    registry."""
    servers = [await ScriptedServer().open() for _ in range(backends)]
    registry = await ScriptedServer().open()
    targets = [target(f"s{number}", server.address) for number, server in enumerate(servers)]
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "config.json"
        path.write_text(json.dumps(configuration(registry.address, *targets, **limits)))
        engine, frontend = start(Config({"LB_CONFIG": str(path)}))
    asyncio.get_running_loop().set_exception_handler(
        lambda _, context: bugs.report(str(context.get("message")), context.get("exception"))
    )
    try:
        yield Proxy(engine, frontend, servers, registry)
    finally:
        for client in list(frontend.clients):
            client.transport.abort()
        await frontend.finish(0.0)
        for client in list(frontend.clients):
            client.transport.abort()
        engine.close()
        for server in [*servers, registry]:
            server.close()
