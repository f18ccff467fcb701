"""Transfers longer than the latency target: they are not cut off and take no slot of a request at a node."""

from __future__ import annotations

import asyncio
from itertools import product

import pytest

from flintlatch.api import Effect, RequestClass
from flintlatch.exchange import ProgressLimits
from tests.http.support import Front, Handler, front, read_head, replying
from tests.loopback import run

LATENCY_TARGET_MS = 250.0
SHORT_TARGET_CLASSES = (
    RequestClass(LATENCY_TARGET_MS, 20_000, Effect.SAFE),
    RequestClass(LATENCY_TARGET_MS, 20_000, Effect.UNSAFE),
    RequestClass(LATENCY_TARGET_MS, 20_000, Effect.KEYED, window_ms=10_000),
)
OK = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
UPLOAD_S = 4 * LATENCY_TARGET_MS / 1000  # duration of a slow upload


async def sink(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """A node that reads uploads with a length and answers 200 to each."""
    while True:
        _, headers = await read_head(reader)
        await reader.readexactly(int(headers.get("content-length", 0)))
        writer.write(OK)
        await writer.drain()


async def slow_upload(proxy: Front, pieces: int = 8, size: int = 20) -> bytes:
    reader, writer = await proxy.send(
        b"POST /a HTTP/1.1\r\nHost: x\r\nConnection: close\r\nContent-Length: %d\r\n\r\n" % (pieces * size)
    )
    for _ in range(pieces):
        await asyncio.sleep(UPLOAD_S / pieces)
        writer.write(b"x" * size)
    try:
        return await reader.read()
    finally:
        writer.close()


@pytest.mark.parametrize("size", [20, 20_000])
def test_twenty_concurrent_uploads_longer_than_the_latency_target_succeed(size: int) -> None:
    async def test() -> None:
        async with front(sink, classes=SHORT_TARGET_CLASSES) as proxy:
            got = await asyncio.gather(*(slow_upload(proxy, size=size) for _ in range(20)))
            assert [reply[:12] for reply in got] == [b"HTTP/1.1 200"] * 20
            (server,) = proxy.engine.balancer.servers.values()
            assert (server.inflight, server.transfers) == (0, 0)
            # The latency of the node only, without the upload.
            assert proxy.engine.balancer.class_latency[1][0] < LATENCY_TARGET_MS

    run(test())


def test_stalled_upload_counts_against_the_client() -> None:
    async def test() -> None:
        progress = ProgressLimits(idle_s=3 * LATENCY_TARGET_MS / 1000, least_bytes_per_s=0)
        async with front(sink, classes=SHORT_TARGET_CLASSES, progress=progress) as proxy:
            got = await proxy.read_until_close(
                b"POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 100\r\n\r\nhalf"
            )
            assert got.startswith(b"HTTP/1.1 408 ")
            (server,) = proxy.engine.balancer.servers.values()
            assert server.consecutive_failures == 0

    run(test())


def test_client_budget_limits_the_time_of_an_upload() -> None:
    async def test() -> None:
        async with front(sink, classes=SHORT_TARGET_CLASSES, upload_ms=500.0) as proxy:
            spec = SHORT_TARGET_CLASSES[1]
            got = await asyncio.wait_for(
                proxy.read_until_close(
                    b"POST /a HTTP/1.1\r\nHost: x\r\nX-Budget-Ms: 700\r\nContent-Length: 9\r\n\r\nhalf"
                ),
                spec.deadline_ms / 1000,
            )
            # The client's budget includes the upload. The node got a part of it, so the request may have been
            # executed: 504.
            assert got.startswith(b"HTTP/1.1 504 ")

    run(test())


def test_slow_downloads_all_start_and_do_not_delay_small_requests() -> None:
    block = b"x" * 65536

    async def node(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while True:
            line, _ = await read_head(reader)
            if line.startswith("GET /small"):
                writer.write(OK)
                continue
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % (1024 * len(block)))
            for _ in range(1024):
                writer.write(block)
                await writer.drain()

    async def test() -> None:
        async with front(node, classes=SHORT_TARGET_CLASSES) as proxy:
            exports = [await proxy.send(b"GET /export HTTP/1.1\r\nHost: x\r\n\r\n") for _ in range(60)]
            for reader, _ in exports:
                assert (await reader.readuntil(b"\r\n\r\n")).startswith(b"HTTP/1.1 200 ")
            for _ in range(20):
                got = await proxy.read_until_close(
                    b"GET /small HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"
                )
                assert got.startswith(b"HTTP/1.1 200 ")
            (server,) = proxy.engine.balancer.servers.values()
            assert (server.inflight, server.transfers) == (0, 60)
            for _, writer in exports:
                writer.transport.abort()

    run(test())


@pytest.mark.parametrize("nodes", [0, 1])
def test_request_that_no_node_got_is_rejected_with_retry_after(nodes: int) -> None:
    heads: list[str] = []

    async def silent(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        heads.append((await read_head(reader))[0])
        await reader.read()

    async def test() -> None:
        async with front(*[silent] * nodes, classes=SHORT_TARGET_CLASSES, attempts=1) as proxy:
            request = b"POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
            got = await asyncio.gather(*(proxy.read_until_close(request) for _ in range(12)))
            refused = [reply for reply in got if reply.startswith(b"HTTP/1.1 503 ")]
            assert all(b"\r\nRetry-After: 1\r\n" in reply for reply in refused)  # whole seconds
            failed = [reply for reply in got if reply.startswith(b"HTTP/1.1 504 ")]
            assert len(refused) + len(failed) == 12
            assert len(failed) == len(heads)

    run(test())


def test_deadline_starts_at_the_end_of_the_upload() -> None:
    """Deadlines count from the end of the upload: 1 s to send with 150 ms to answer, beside the reverse."""
    short_deadline, long_deadline = (RequestClass(t, t, Effect.UNSAFE) for t in (150.0, 1000.0))

    async def node(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        line, headers = await read_head(reader)
        await reader.readexactly(int(headers["content-length"]))
        if "/late" in line:
            await asyncio.sleep(0.5)
        writer.write(OK)
        await reader.read()

    async def test() -> None:
        classes = (long_deadline, short_deadline, long_deadline)
        async with front(node, classes=classes, upload_ms=5000.0, attempts=1) as proxy:

            async def upload(path: bytes, over_s: float) -> bytes:
                reader, writer = await proxy.send(
                    b"POST %b HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n\r\n" % path
                )
                for _ in range(4):
                    await asyncio.sleep(over_s / 4)
                    writer.write(b"x")
                got = await reader.readuntil(b"\r\n")
                writer.close()
                return got[:12]

            # `front` gives /buy/ the third class and all other POST requests the second.
            slow_sent, late, too_late = await asyncio.gather(
                upload(b"/a", 1.0), upload(b"/buy/late", 0.1), upload(b"/late", 0.1)
            )
            assert (slow_sent, late, too_late) == (b"HTTP/1.1 200", b"HTTP/1.1 200", b"HTTP/1.1 504")

    run(test())


# Behaviour of clients

CHUNKED = b"POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\nConnection: close\r\n\r\n"


async def chunk_sink(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """A node that answers one chunked upload with its data.

    It sends Connection: close, because it reads no second request. Otherwise, the proxy reuses the connection
    after the reuse delay of 10 ms, which a busy machine can exceed, and the next request gets no response."""
    await read_head(reader)
    data = b""
    while size := int((await reader.readuntil(b"\r\n")).split(b";")[0], 16):
        data += await reader.readexactly(size)
        await reader.readexactly(2)
    await reader.readuntil(b"\r\n")
    writer.write(b"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%b" % (len(data), data))
    await reader.read()


def test_half_closed_clients_are_served() -> None:
    async def test() -> None:
        async with front(chunk_sink) as proxy:
            for split in (0, 10, len(CHUNKED) + 4):
                raw = CHUNKED + b"5\r\nhello\r\n0\r\n\r\n"
                reader, writer = await proxy.connect()
                writer.write(raw[:split])
                await asyncio.sleep(0)
                writer.write(raw[split:])
                writer.write_eof()
                assert (await reader.read()).endswith(b"\r\n\r\nhello")
                writer.close()

    run(test())


def test_client_that_resets_within_a_chunk_frees_the_nodes_slot() -> None:
    async def test() -> None:
        async with front(chunk_sink) as proxy:
            _, writer = await proxy.send(CHUNKED + b"ff\r\nhalf of it")
            while not proxy.nodes[0].connections:
                await asyncio.sleep(0.01)
            writer.transport.abort()
            await proxy.nodes[0].closed.get()
            while proxy.engine.exchanges or proxy.engine.requests:
                await asyncio.sleep(0.01)
            (server,) = proxy.engine.balancer.servers.values()
            assert (server.inflight, server.transfers, server.consecutive_failures) == (0, 0, 0)
            assert proxy.engine.memory.used_bytes == 0

    run(test())


def test_client_that_leaves_before_the_response_frees_the_nodes_slot() -> None:
    async def silent(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await read_head(reader)
        await reader.read()

    async def test() -> None:
        async with front(silent) as proxy:
            _, writer = await proxy.send(b"POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\nab")
            while not proxy.nodes[0].connections:
                await asyncio.sleep(0.01)
            writer.transport.abort()
            await proxy.nodes[0].closed.get()

    run(test())


def test_chunk_extensions_are_accepted_up_to_their_limit() -> None:
    async def test() -> None:
        async with front(chunk_sink) as proxy:
            body = bytes(range(256)) * 8
            raw = CHUNKED + b"".join(b"1;a=b\r\n%c\r\n" % byte for byte in body) + b"0\r\n\r\n"
            assert (await proxy.read_until_close(raw)).endswith(body)
            raw = CHUNKED + b"1;a=b\r\nx\r\n" * 10_000 + b"0\r\n\r\n"
            assert (await proxy.read_until_close(raw)).startswith((b"HTTP/1.1 400 ", b"(reset)"))

    run(test())


def test_one_byte_chunks_are_passed_on_and_too_long_trailers_abort() -> None:
    size = 5000

    async def node(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        line, _ = await read_head(reader)
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + b"1\r\nx\r\n" * size)
        writer.write(b"0\r\n")
        if "trailers" in line:
            writer.write(b"A: " + b"b" * 2**20 + b"\r\n")
        writer.write(b"\r\n")
        await reader.read()

    async def test() -> None:
        async with front(node) as proxy:
            get = b"GET /%b HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"
            got = await proxy.read_until_close(get % b"a")
            assert got.count(b"x") == size and got.endswith(b"\r\n0\r\n\r\n")
            got = await proxy.read_until_close(get % b"trailers")
            assert not got.endswith(b"0\r\n\r\n") and got.count(b"HTTP/1.1") <= 1  # visibly incomplete

    run(test())


@pytest.mark.parametrize(("count", "status"), [(8, b"200"), (10_000, b"504")])
def test_interim_responses_are_passed_on_up_to_a_limit(count: int, status: bytes) -> None:
    async def node(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await read_head(reader)
        writer.write(b"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" * count + OK)
        await reader.read()

    async def test() -> None:
        async with front(node, attempts=1) as proxy:
            got = await proxy.read_until_close(
                b"POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
            )
            final = got.rpartition(b"HTTP/1.1 ")[2]
            assert final.startswith(status) and got.count(b"HTTP/1.1 103 ") <= 8 + 1

    run(test())


def test_unexpected_body_does_not_reach_the_next_response() -> None:
    replies = {
        "HEAD": b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello",
        "GET": b"HTTP/1.1 204 No Content\r\nContent-Length: 5\r\n\r\nhello",
    }

    async def node(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while True:
            line, _ = await read_head(reader)
            writer.write(replies.get(line.split()[0], OK))
            await writer.drain()

    async def test() -> None:
        async with front(node, attempts=1) as proxy:
            for method, status in ((b"HEAD", b"200"), (b"GET", b"504")):
                got = await proxy.read_until_close(
                    b"%b /a HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n" % method
                )
                assert got.startswith(b"HTTP/1.1 " + status) and b"hello" not in got
            got = await proxy.read_until_close(
                b"POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
            )
            assert got.startswith(b"HTTP/1.1 200 ") and got.endswith(b"\r\n\r\nok")

    run(test())


# Nodes that fail while they read

UPLOAD_BUFFER_BYTES = 4096
SIZES = {"buffered": 1000, "too long": 50_000}


@pytest.mark.parametrize(
    ("cut", "size", "path"), list(product(("first", "middle", "last"), SIZES, ("/a", "/buy/1", "/safe")))
)
def test_node_that_fails_within_an_upload(cut: str, size: str, path: str) -> None:
    """A request is retried only if its body is buffered completely and its class allows a retry."""
    total = SIZES[size]
    position = {"first": 1, "middle": total // 2, "last": total}[cut]
    seen: list[int] = []

    def failing_once(first: list[bool]) -> Handler:
        async def node(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            while True:
                await read_head(reader)
                if first:
                    first.clear()
                    seen.append(len(await reader.readexactly(position)))
                    writer.transport.abort()
                    return
                seen.append(len(await reader.readexactly(total)))
                writer.write(OK)
                await writer.drain()

        return node

    async def test() -> None:
        first = [True]
        async with front(failing_once(first), failing_once(first), upload_bytes=UPLOAD_BUFFER_BYTES) as proxy:
            raw = (
                b"POST %b HTTP/1.1\r\nHost: x\r\nIdempotency-Key: k\r\nConnection: close\r\n" % path.encode()
            )
            got = await proxy.read_until_close(raw + b"Content-Length: %d\r\n\r\n" % total + b"x" * total)
            if path != "/a" and size == "buffered":
                assert got.startswith(b"HTTP/1.1 200 ") and seen == [position, total]
            else:
                assert got.startswith((b"HTTP/1.1 504 ", b"(reset)")) and seen == [position]
            assert got.count(b"HTTP/1.1 ") <= 1

    run(test())


@pytest.mark.parametrize("then", ["reads on", "resets"])
def test_node_that_responds_before_the_end_of_the_upload(then: str) -> None:
    read: asyncio.Queue[int] = asyncio.Queue()

    async def node(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await read_head(reader)
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
        await writer.drain()
        if then == "resets":
            await asyncio.sleep(0.05)
            writer.transport.abort()
        else:
            read.put_nowait(len(await reader.read()))

    async def test() -> None:
        async with front(node) as proxy:
            reader, writer = await proxy.send(
                b"POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 200000\r\n\r\n"
            )
            writer.write(b"x" * 1000)
            head = await reader.readuntil(b"ok")
            assert head.startswith(b"HTTP/1.1 200 ") and b"Connection: close" in head
            writer.write(b"x" * 100_000)
            assert await reader.read() == b""  # one response and nothing after it
            writer.close()

    run(test())


def test_requests_are_answered_during_many_slow_uploads() -> None:
    async def test() -> None:
        async with front(sink, classes=SHORT_TARGET_CLASSES, clients=400, connections=400) as proxy:
            uploads = []
            for _ in range(150):
                _, writer = await proxy.send(
                    b"POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 1000\r\nExpect: 100-continue\r\n\r\nx"
                )
                uploads.append(writer)
            for _ in range(20):
                got = await proxy.read_until_close(b"GET /a HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
                assert got.startswith(b"HTTP/1.1 200 ")
            for writer in uploads:
                writer.transport.abort()

    run(test())


def test_request_without_free_memory_is_rejected_with_retry_after() -> None:
    async def test() -> None:
        async with front(sink, body_bytes=2_500_000, upload_bytes=64 * 1024) as proxy:
            request = b"POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 100\r\n\r\nx"
            open_uploads = [await proxy.send(request) for _ in range(2)]
            while len(proxy.engine.exchanges) < 2:
                await asyncio.sleep(0.01)
            got = await proxy.read_until_close(request)
            assert got.startswith(b"HTTP/1.1 503 ") and b"Retry-After: 1\r\n" in got
            for _, writer in open_uploads:
                writer.transport.abort()
            assert (await proxy.read_until_close(b"GET /a HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"))[
                9:12
            ] == b"200"

    run(test())


def test_restart_of_the_decision_module_keeps_requests_that_are_still_gathered() -> None:
    async def test() -> None:
        async with front(replying(OK)) as proxy:
            reader, writer = await proxy.send(b"POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n\r\nab")
            while not proxy.engine.exchanges:
                await asyncio.sleep(0)
            proxy.engine._restart_decision_module()
            writer.write(b"cd")
            assert (await reader.readuntil(b"ok")).startswith(b"HTTP/1.1 200 ")
            writer.close()

    run(test())
