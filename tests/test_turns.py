"""Input in many small messages or chunks: each turn of the event loop handles a bounded part of it, and every
connection that waits gets its share."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable, Iterator
from contextlib import asynccontextmanager, contextmanager
from typing import Any

import pytest

from flintlatch.http.body import Body
from flintlatch.net import turns as turns_module
from flintlatch.net.client import Client as AcceptedClient
from flintlatch.net.receiving import SLICE_BYTES, Receiver
from flintlatch.net.turns import TurnSchedule
from flintlatch.platform.front import PlatformClient
from flintlatch.platform.node import PlatformConnection
from tests.http.support import front, read_head
from tests.loopback import Proxy, proxy, run

# One slice as the socket is read, and one of the input that waits.
MAX_BYTES_PER_TURN = 2 * SLICE_BYTES
CHUNK = b"1\r\nx\r\n"
BODY_CHUNKS = 200_000
READY = b"GET /health/ready HTTP/1.1\r\nhost: x\r\n\r\n"
REFUSED = b"GET /nothing HTTP/1.1\r\nhost: x\r\n\r\n"
HEAD = b"POST /answer HTTP/1.1\r\nhost: x\r\nx-call-id: up\r\nx-budget-ms: 20000\r\n"
CHUNKED_HEAD = HEAD + b"transfer-encoding: chunked\r\n\r\n"


class Source:
    """Input of `slices` slices, on a clock that each slice moves on."""

    def __init__(self, name: str, slices: int, handled: list[str], clock: list[float]) -> None:
        self.name, self.slices, self.handled, self.clock = name, slices, handled, clock
        self.usage = turns_module.Usage()

    def handle_slice(self) -> bool:
        self.handled.append(self.name)
        self.clock[0] += turns_module.CONNECTION_SHARE_S
        self.slices -= 1
        return self.slices > 0


def test_of_many_busy_connections_each_gets_its_turn_within_the_limit_of_a_turn() -> None:
    handled: list[str] = []
    clock, calls = [0.0], []  # type: ignore[var-annotated]
    schedule = TurnSchedule(calls.append, lambda: clock[0])
    for name in "abcde":
        schedule.submit(Source(name, 3, handled, clock))
    most = round(turns_module.TURN_LIMIT_S / turns_module.CONNECTION_SHARE_S)
    assert handled == list("abcde"[:most])
    turns = []
    while calls:
        before = len(handled)
        calls.pop()()
        turns.append(len(handled) - before)
    assert max(turns) <= most
    # The first two had a share when their input came; from then on it goes round.
    assert "".join(handled) == "ab" + "abcde" + "abcde" + "cde"


@contextmanager
def handled_by_turn(monkeypatch: pytest.MonkeyPatch, *methods: tuple[type, str]) -> Iterator[dict[int, int]]:
    """Counts the bytes that the methods are called with in each turn of the loop. One slice uses up the time
    of a turn."""
    monkeypatch.setattr(turns_module, "TURN_LIMIT_S", 1e-9)
    monkeypatch.setattr(turns_module, "CONNECTION_SHARE_S", 0.0)
    turn, counts = [0], {}  # type: ignore[var-annotated]
    loop = asyncio.get_running_loop()

    def next_turn() -> None:
        turn[0] += 1
        loop.call_soon(next_turn)

    def counted(method: Any) -> Any:
        def call(connection: Any, data: bytes) -> Any:
            counts[turn[0]] = counts.get(turn[0], 0) + len(data)
            return method(connection, data)

        return call

    next_turn()
    for owner, name in methods:
        monkeypatch.setattr(owner, name, counted(getattr(owner, name)))
    yield counts


def check(counts: dict[int, int], least_bytes: int) -> None:
    assert sum(counts.values()) >= least_bytes
    assert max(counts.values()) <= MAX_BYTES_PER_TURN


@asynccontextmanager
async def sent(address: str, data: bytes) -> AsyncIterator[asyncio.StreamReader]:
    """A connection to the proxy on which `data` is sent; what comes back can be read."""
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(data)
    try:
        yield reader
    finally:
        writer.close()


async def status_line(reader: asyncio.StreamReader) -> bytes:
    return (await reader.readuntil(b"\r\n")).strip()


async def read_chunks(reader: asyncio.StreamReader) -> None:
    await reader.readuntil(b"\r\n0\r\n\r\n")


@asynccontextmanager
async def platform_proxy(handler: Callable[..., Awaitable[None]]) -> AsyncIterator[Proxy]:
    """A proxy before one server that a handler plays."""
    server = await asyncio.start_server(handler, "127.0.0.1", 0, limit=1 << 22)
    try:
        async with proxy() as p:
            (backend,) = p.engine.backends.backends.values()
            backend.target = backend.target._replace(port=server.sockets[0].getsockname()[1])
            yield p
    finally:
        server.close()


async def take_upload(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    await read_head(reader)
    await read_chunks(reader)
    writer.write(b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok")


async def give_chunks(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    await read_head(reader)
    writer.write(
        b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n" + CHUNK * BODY_CHUNKS + b"0\r\n\r\n"
    )
    await writer.drain()


@pytest.mark.parametrize("chunk", [b"8\r\nxxxxxxxx\r\n", CHUNK])
def test_an_upload_in_small_chunks_does_not_hold_the_loop(
    chunk: bytes, monkeypatch: pytest.MonkeyPatch
) -> None:
    """review/6: requests of other clients were answered seconds late behind a body in chunks of 8 bytes."""

    async def test() -> None:
        async with platform_proxy(take_upload) as p:
            with handled_by_turn(monkeypatch, (PlatformClient, "_parse")) as counts:
                data = CHUNKED_HEAD + chunk * BODY_CHUNKS + b"0\r\n\r\n"
                async with sent(p.frontend.address, data) as reader:
                    assert await status_line(reader) == b"HTTP/1.1 200 OK"
                check(counts, len(data))

    run(test())


def test_a_response_in_small_chunks_does_not_hold_the_loop(monkeypatch: pytest.MonkeyPatch) -> None:
    """review/6 on the way back; the pieces of a slice are passed on together."""

    async def test() -> None:
        async with platform_proxy(give_chunks) as p:
            with handled_by_turn(monkeypatch, (PlatformConnection, "data_received")) as counts:
                body, pieces = 0, 0
                async with sent(p.frontend.address, HEAD + b"content-length: 0\r\n\r\n") as reader:
                    await reader.readuntil(b"\r\n\r\n")
                    while size := int(await reader.readline(), 16):
                        body += len((await reader.readexactly(size + 2))[:-2])
                        pieces += 1
                assert body == BODY_CHUNKS
                assert pieces < BODY_CHUNKS / 100
                check(counts, BODY_CHUNKS * len(CHUNK))

    run(test())


@pytest.mark.parametrize("messages", [READY, READY + REFUSED])
def test_pipelined_requests_do_not_hold_the_loop(messages: bytes, monkeypatch: pytest.MonkeyPatch) -> None:
    """Operators' picture (b): requests that are answered at once, at full speed on one connection."""

    async def test() -> None:
        async with proxy() as p:
            with handled_by_turn(monkeypatch, (AcceptedClient, "_parse")) as counts:
                data = messages * 20_000
                async with sent(p.frontend.address, data) as reader:
                    for _ in range(len(data) // len(messages)):
                        await reader.readuntil(b"\r\n\r\n")
                check(counts, len(data) // 2)

    run(test())


@pytest.mark.parametrize("behind_body", [False, True])
def test_a_slice_of_pipelined_requests_ends_within_the_share_of_a_connection(
    behind_body: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Evidence 3 of issue 64: hundreds of readiness calls were handled in one slice."""
    handle, ready, longest_s, clock = AcceptedClient._handle, READY, 0.0, [0.0]

    def slow_handle(client: AcceptedClient, message: Any) -> None:
        clock[0] += turns_module.CONNECTION_SHARE_S / 20
        handle(client, message)

    def measured(receiver: Receiver) -> bool:
        nonlocal longest_s
        began_s, has_more = clock[0], handle_slice(receiver)
        longest_s = max(longest_s, clock[0] - began_s)
        return has_more

    handle_slice = Receiver.handle_slice
    monkeypatch.setattr(AcceptedClient, "_handle", slow_handle)
    monkeypatch.setattr(Receiver, "handle_slice", measured)

    async def test() -> None:
        async with proxy() as p:
            p.engine.turns._clock = lambda: clock[0]
            body = HEAD + b"content-length: 20000\r\n\r\n" + b"x" * 20_000 if behind_body else b""
            async with sent(p.frontend.address, body + ready * 1000) as reader:
                if behind_body:
                    (await p.backends[0].requests.get()).reply()
                for _ in range(1000):
                    await reader.readuntil(b"\r\n\r\n")
            assert 0.0 < longest_s <= turns_module.CONNECTION_SHARE_S

    run(test())


def test_a_connection_that_has_used_less_is_served_before_those_at_full_speed() -> None:
    # Guards against equal shares by connection: many connections at full speed take the whole loop.
    handled: list[str] = []
    clock, calls = [0.0], []  # type: ignore[var-annotated]
    schedule = TurnSchedule(calls.append, lambda: clock[0])
    for number in range(50):
        schedule.submit(Source(f"busy {number}", 1000, handled, clock))
    for _ in range(100):
        calls.pop()()
    for name in ("anew 0", "anew 1", "other"):  # the first two use up the time for new input
        schedule.submit(Source(name, 1, handled, clock))
    assert handled[-1] == "anew 1"
    calls.pop()()
    assert "other" in handled[-2:]


@pytest.mark.parametrize("handler", [take_upload, give_chunks])
def test_small_chunks_do_not_hold_the_loop_over_ordinary_http(
    handler: Callable[..., Awaitable[None]], monkeypatch: pytest.MonkeyPatch
) -> None:
    async def test() -> None:
        async with front(handler) as f:
            with handled_by_turn(monkeypatch, (Body, "feed")) as counts:
                upload = handler is take_upload
                data = CHUNKED_HEAD + CHUNK * BODY_CHUNKS + b"0\r\n\r\n"
                reader, writer = await f.send(data if upload else HEAD + b"content-length: 0\r\n\r\n")
                assert await status_line(reader) == b"HTTP/1.1 200 OK"
                if not upload:
                    await read_chunks(reader)
                writer.close()
                check(counts, BODY_CHUNKS * len(CHUNK))

    run(test())
