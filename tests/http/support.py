"""The HTTP front end in the test's process, and nodes whose bytes a test scripts."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from itertools import count
from typing import Any

from flintlatch.api import Effect, RequestClass, ServerInfo, Settings
from flintlatch.exchange import ExchangeLimits, ProgressLimits
from flintlatch.http.fields import ForwardingPolicy
from flintlatch.http.front import HttpFrontend
from flintlatch.http.head import HeadLimits
from flintlatch.http.node import NodeConnection
from flintlatch.http.rules import RoutingHeaders, RoutingRules, Rule
from flintlatch.http.sockets import MAX_READ_BYTES, RESPONSE_BUFFER_BYTES
from flintlatch.net.listing import Listing, Target
from flintlatch.net.relay import RelayEngine
from flintlatch.settings import SocketSettings

Handler = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]
CLASSES = (
    RequestClass(5000, 20_000, Effect.SAFE),
    RequestClass(5000, 20_000, Effect.UNSAFE),
    RequestClass(5000, 20_000, Effect.KEYED, window_ms=10_000),
)


class ScriptedNode:
    """Calls the handler for each connection; counts connections and reports when each ends."""

    def __init__(self, handler: Handler) -> None:
        self.handler = handler
        self.connections = 0
        self.closed: asyncio.Queue[int] = asyncio.Queue()
        self.writers: list[asyncio.StreamWriter] = []

    async def open(self) -> ScriptedNode:
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0, limit=2**20)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        number = self.connections
        self.writers.append(writer)
        try:
            await self.handler(reader, writer)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()
            self.closed.put_nowait(number)

    def close(self) -> None:
        self.server.close()
        for writer in self.writers:
            writer.transport.abort()


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]]:
    start_line, *lines = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")[:-2]
    return start_line, {name.lower(): value for name, value in (line.split(": ", 1) for line in lines)}


def replying(reply: bytes) -> Handler:
    """A node that reads heads and small bodies, and sends the same response to each request."""

    async def handle(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while True:
            _, headers = await read_head(reader)
            await reader.readexactly(int(headers.get("content-length", 0)))
            writer.write(reply)
            await writer.drain()

    return handle


class Front:
    def __init__(self, engine: RelayEngine, frontend: HttpFrontend, nodes: list[ScriptedNode]) -> None:
        self.engine, self.frontend, self.nodes = engine, frontend, nodes
        self.url = f"http://{frontend.address}"

    async def connect(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        host, _, port = self.frontend.address.rpartition(":")
        return await asyncio.open_connection(host, int(port), limit=2**20)

    async def send(self, raw: bytes) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        reader, writer = await self.connect()
        writer.write(raw)
        return reader, writer

    async def read_until_close(self, raw: bytes) -> bytes:
        """Sends `raw` and returns everything that arrives until the proxy closes the connection."""
        reader, writer = await self.send(raw)
        try:
            return await reader.read()
        except ConnectionError:
            return b"(reset)"
        finally:
            writer.close()


@asynccontextmanager
async def front(*handlers: Handler, **changes: Any) -> AsyncIterator[Front]:
    """A front end before one scripted node per handler. `changes`: settings that differ from the defaults."""
    nodes = [await ScriptedNode(handler).open() for handler in handlers]
    settings = Settings(
        changes.get("classes", CLASSES),
        max_attempts=changes.get("attempts", 3),
        may_cancel=True,
        retry_after=True,
        max_retry_after_ms=2000.0,
        refuse_unsent=True,
        **changes.get("settings", {}),
    )
    exchange_limits = ExchangeLimits(
        changes.get("progress", ProgressLimits(10.0, 0)),
        changes.get("upload_ms", 3_600_000.0),
        changes.get("upload_bytes", 64 * 1024),
        RESPONSE_BUFFER_BYTES,
        changes.get("max_body_bytes", 2**31),
        MAX_READ_BYTES,
    )
    head_limits = changes.get("head_limits", HeadLimits())
    socket_settings = SocketSettings({}, {}, {"a": 0}, {"m": 0}, 5000.0, 15_000.0)
    engine = RelayEngine(
        settings,
        socket_settings,
        1,
        changes.get("connections", 200),
        changes.get("body_bytes", 2**28),
        changes.get("exchange_limits", (exchange_limits,) * len(settings.classes)),
        lambda pool, backend: NodeConnection(pool, backend, head_limits),
    )
    targets = [Target(f"n{i}", "127.0.0.1", node.port, ServerInfo(f"n{i}")) for i, node in enumerate(nodes)]
    engine.on_list(Listing(1, True, tuple(targets)))
    ids = count()
    rules = RoutingRules(
        settings.classes,
        [Rule(2, path=b"/buy/*"), Rule(0, path=b"/safe")],
        {},
        RoutingHeaders(),
        lambda: b"made-%d" % next(ids),
        safe_class=0,
        other_class=1,
    )
    frontend = HttpFrontend(
        engine,
        rules,
        changes.get("clients", 200),
        16,
        limits=head_limits,
        forwarding=changes.get("forwarding", ForwardingPolicy()),
    )
    frontend.listen("127.0.0.1:0")
    try:
        yield Front(engine, frontend, nodes)
    finally:
        await frontend.finish(0.0)
        for client in list(frontend.clients):
            client.transport.abort()
        engine.close()
        for node in nodes:
            node.close()
