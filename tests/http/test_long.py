"""Transfers that outlast every aim: none is cut for its length, none takes a request's place at its node."""

from __future__ import annotations

import asyncio
from itertools import product

import pytest

from flintlatch.api import Effect, RequestClass
from flintlatch.exchange import ProgressLimits
from tests.http.support import Front, Handler, answering, front, head_of
from tests.loopback import run

AIM_MS = 250.0
HURRIED = (
    RequestClass(AIM_MS, 20_000, Effect.SAFE),
    RequestClass(AIM_MS, 20_000, Effect.UNSAFE),
    RequestClass(AIM_MS, 20_000, Effect.KEYED, window_ms=10_000),
)
OK = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
UNTIL_S = 4 * AIM_MS / 1000  # that an upload takes here


async def sink(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Reads uploads by length, and says 200 to each."""
    while True:
        _, headers = await head_of(reader)
        await reader.readexactly(int(headers.get("content-length", 0)))
        writer.write(OK)
        await writer.drain()


async def slow_upload(made: Front, pieces: int = 8, size: int = 20) -> bytes:
    reader, writer = await made.ask(
        b"POST /a HTTP/1.1\r\nHost: x\r\nConnection: close\r\nContent-Length: %d\r\n\r\n" % (pieces * size)
    )
    for _ in range(pieces):
        await asyncio.sleep(UNTIL_S / pieces)
        writer.write(b"x" * size)
    try:
        return await reader.read()
    finally:
        writer.close()


@pytest.mark.parametrize("size", [20, 20_000])
def test_uploads_that_outlast_the_aim_succeed_twenty_at_once(size: int) -> None:
    async def test() -> None:
        async with front(sink, classes=HURRIED) as made:
            got = await asyncio.gather(*(slow_upload(made, size=size) for _ in range(20)))
            assert [reply[:12] for reply in got] == [b"HTTP/1.1 200"] * 20
            (server,) = made.engine.balancer.servers.values()
            assert (server.inflight, server.transfers) == (0, 0)
            assert made.engine.balancer.class_latency[1][0] < AIM_MS  # the node's time, not the upload's

    run(test())


def test_an_upload_that_stalls_past_the_aim_is_the_clients_stall() -> None:
    async def test() -> None:
        pace = ProgressLimits(idle_s=3 * AIM_MS / 1000, least_bytes_per_s=0)
        async with front(sink, classes=HURRIED, pace=pace) as made:
            got = await made.whole(b"POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 100\r\n\r\nhalf")
            assert got.startswith(b"HTTP/1.1 408 ")
            (server,) = made.engine.balancer.servers.values()
            assert server.consecutive_failures == 0

    run(test())


def test_an_upload_has_its_own_time_and_no_more() -> None:
    async def test() -> None:
        async with front(sink, classes=HURRIED, upload_ms=500.0) as made:
            spec = HURRIED[1]
            got = await asyncio.wait_for(
                made.whole(
                    b"POST /a HTTP/1.1\r\nHost: x\r\nX-Budget-Ms: 700\r\nContent-Length: 9\r\n\r\nhalf"
                ),
                spec.deadline_ms / 1000,
            )
            # The client's own word holds for the whole: the node had a part of it, and so it may have run.
            assert got.startswith(b"HTTP/1.1 504 ")

    run(test())


def test_crawling_exports_all_begin_and_small_requests_pass_them() -> None:
    block = b"x" * 65536

    async def node(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while True:
            line, _ = await head_of(reader)
            if line.startswith("GET /small"):
                writer.write(OK)
                continue
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % (1024 * len(block)))
            for _ in range(1024):
                writer.write(block)
                await writer.drain()

    async def test() -> None:
        async with front(node, classes=HURRIED) as made:
            exports = [await made.ask(b"GET /export HTTP/1.1\r\nHost: x\r\n\r\n") for _ in range(60)]
            for reader, _ in exports:
                assert (await reader.readuntil(b"\r\n\r\n")).startswith(b"HTTP/1.1 200 ")
            for _ in range(20):
                got = await made.whole(b"GET /small HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
                assert got.startswith(b"HTTP/1.1 200 ")
            (server,) = made.engine.balancer.servers.values()
            assert (server.inflight, server.transfers) == (0, 60)
            for _, writer in exports:
                writer.transport.abort()

    run(test())


@pytest.mark.parametrize("nodes", [0, 1])
def test_what_no_node_got_is_refused_with_a_time_to_come_back(nodes: int) -> None:
    heads: list[str] = []

    async def never(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        heads.append((await head_of(reader))[0])
        await reader.read()

    async def test() -> None:
        async with front(*[never] * nodes, classes=HURRIED, attempts=1) as made:
            ask = b"POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
            got = await asyncio.gather(*(made.whole(ask) for _ in range(12)))
            refused = [reply for reply in got if reply.startswith(b"HTTP/1.1 503 ")]
            assert all(b"\r\nRetry-After: 1\r\n" in reply for reply in refused)  # whole seconds
            failed = [reply for reply in got if reply.startswith(b"HTTP/1.1 504 ")]
            assert len(refused) + len(failed) == 12
            assert len(failed) == len(heads)

    run(test())


def test_a_minute_to_send_and_a_moment_to_answer_beside_the_reverse_on_one_node() -> None:
    """Scaled: 1 s to send and 150 ms to answer, beside 150 ms to send and 1 s to answer."""
    quick, patient = (RequestClass(t, t, Effect.UNSAFE) for t in (150.0, 1000.0))

    async def node(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        line, headers = await head_of(reader)
        await reader.readexactly(int(headers["content-length"]))
        if "/late" in line:
            await asyncio.sleep(0.5)
        writer.write(OK)
        await reader.read()

    async def test() -> None:
        classes = (patient, quick, patient)
        async with front(node, classes=classes, upload_ms=5000.0, attempts=1) as made:

            async def ask(path: bytes, over_s: float) -> bytes:
                reader, writer = await made.ask(
                    b"POST %b HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n\r\n" % path
                )
                for _ in range(4):
                    await asyncio.sleep(over_s / 4)
                    writer.write(b"x")
                got = await reader.readuntil(b"\r\n")
                writer.close()
                return got[:12]

            # `front` gives /buy/ the third class and every other POST the second.
            slow_sent, late, too_late = await asyncio.gather(
                ask(b"/a", 1.0), ask(b"/buy/late", 0.1), ask(b"/late", 0.1)
            )
            assert (slow_sent, late, too_late) == (b"HTTP/1.1 200", b"HTTP/1.1 200", b"HTTP/1.1 504")

    run(test())


# What clients do

CHUNKED = b"POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\nConnection: close\r\n\r\n"


async def chunk_sink(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Reads a chunked upload and answers with its data; for one request, and it says so: kept for the next
    one, which a busy machine's pause of 10 ms is enough for, its connection would never be read again."""
    await head_of(reader)
    data = b""
    while size := int((await reader.readuntil(b"\r\n")).split(b";")[0], 16):
        data += await reader.readexactly(size)
        await reader.readexactly(2)
    await reader.readuntil(b"\r\n")
    writer.write(b"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%b" % (len(data), data))
    await reader.read()


def test_half_closed_clients_are_served() -> None:
    async def test() -> None:
        async with front(chunk_sink) as made:
            for split in (0, 10, len(CHUNKED) + 4):
                raw = CHUNKED + b"5\r\nhello\r\n0\r\n\r\n"
                reader, writer = await made.connect()
                writer.write(raw[:split])
                await asyncio.sleep(0)
                writer.write(raw[split:])
                writer.write_eof()
                assert (await reader.read()).endswith(b"\r\n\r\nhello")
                writer.close()

    run(test())


def test_a_client_that_resets_halfway_through_a_chunk_frees_its_nodes_slot() -> None:
    async def test() -> None:
        async with front(chunk_sink) as made:
            _, writer = await made.ask(CHUNKED + b"ff\r\nhalf of it")
            while not made.nodes[0].connections:
                await asyncio.sleep(0.01)
            writer.transport.abort()
            await made.nodes[0].closed.get()
            while made.engine.exchanges or made.engine.requests:
                await asyncio.sleep(0.01)
            (server,) = made.engine.balancer.servers.values()
            assert (server.inflight, server.transfers, server.consecutive_failures) == (0, 0, 0)
            assert made.engine.body_memory.used_bytes == 0

    run(test())


def test_a_client_that_leaves_while_its_answer_is_due_frees_its_nodes_slot() -> None:
    async def never(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await head_of(reader)
        await reader.read()

    async def test() -> None:
        async with front(never) as made:
            _, writer = await made.ask(b"POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\nab")
            while not made.nodes[0].connections:
                await asyncio.sleep(0.01)
            writer.transport.abort()
            await made.nodes[0].closed.get()

    run(test())


def test_one_byte_chunks_with_extensions_come_through_within_their_bound() -> None:
    async def test() -> None:
        async with front(chunk_sink) as made:
            body = bytes(range(256)) * 8
            raw = CHUNKED + b"".join(b"1;a=b\r\n%c\r\n" % byte for byte in body) + b"0\r\n\r\n"
            assert (await made.whole(raw)).endswith(body)
            raw = CHUNKED + b"1;a=b\r\nx\r\n" * 10_000 + b"0\r\n\r\n"
            assert (await made.whole(raw)).startswith((b"HTTP/1.1 400 ", b"(reset)"))

    run(test())


def test_an_answer_in_one_byte_chunks_and_trailers_beyond_their_bound() -> None:
    size = 5000

    async def node(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        line, _ = await head_of(reader)
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + b"1\r\nx\r\n" * size)
        writer.write(b"0\r\n")
        if "trailers" in line:
            writer.write(b"A: " + b"b" * 2**20 + b"\r\n")
        writer.write(b"\r\n")
        await reader.read()

    async def test() -> None:
        async with front(node) as made:
            get = b"GET /%b HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"
            got = await made.whole(get % b"a")
            assert got.count(b"x") == size and got.endswith(b"\r\n0\r\n\r\n")
            got = await made.whole(get % b"trailers")
            assert not got.endswith(b"0\r\n\r\n") and got.count(b"HTTP/1.1") <= 1  # visibly broken

    run(test())


@pytest.mark.parametrize(("count", "status"), [(8, b"200"), (10_000, b"504")])
def test_interim_answers_pass_up_to_a_bound(count: int, status: bytes) -> None:
    async def node(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await head_of(reader)
        writer.write(b"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" * count + OK)
        await reader.read()

    async def test() -> None:
        async with front(node, attempts=1) as made:
            got = await made.whole(
                b"POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
            )
            final = got.rpartition(b"HTTP/1.1 ")[2]
            assert final.startswith(status) and got.count(b"HTTP/1.1 103 ") <= 8 + 1

    run(test())


def test_a_body_where_none_may_be_spoils_the_connection_and_not_the_next_answer() -> None:
    replies = {
        "HEAD": b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello",
        "GET": b"HTTP/1.1 204 No Content\r\nContent-Length: 5\r\n\r\nhello",
    }

    async def node(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while True:
            line, _ = await head_of(reader)
            writer.write(replies.get(line.split()[0], OK))
            await writer.drain()

    async def test() -> None:
        async with front(node, attempts=1) as made:
            for method, status in ((b"HEAD", b"200"), (b"GET", b"504")):
                got = await made.whole(b"%b /a HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n" % method)
                assert got.startswith(b"HTTP/1.1 " + status) and b"hello" not in got
            got = await made.whole(
                b"POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
            )
            assert got.startswith(b"HTTP/1.1 200 ") and got.endswith(b"\r\n\r\nok")

    run(test())


# A node that dies while it reads

CAP = 4096
SIZES = {"held": 1000, "beyond": 50_000}


@pytest.mark.parametrize(
    ("cut", "size", "path"), list(product(("first", "middle", "last"), SIZES, ("/a", "/buy/1", "/safe")))
)
def test_a_node_that_dies_at_a_byte_of_an_upload(cut: str, size: str, path: str) -> None:
    """What is held whole goes again where its class allows; what may have run of the rest does not."""
    total = SIZES[size]
    place = {"first": 1, "middle": total // 2, "last": total}[cut]
    seen: list[int] = []

    def dying(first: list[bool]) -> Handler:
        async def node(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            while True:
                await head_of(reader)
                if first:
                    first.clear()
                    seen.append(len(await reader.readexactly(place)))
                    writer.transport.abort()
                    return
                seen.append(len(await reader.readexactly(total)))
                writer.write(OK)
                await writer.drain()

        return node

    async def test() -> None:
        first = [True]
        async with front(dying(first), dying(first), upload_bytes=CAP) as made:
            raw = (
                b"POST %b HTTP/1.1\r\nHost: x\r\nIdempotency-Key: k\r\nConnection: close\r\n" % path.encode()
            )
            got = await made.whole(raw + b"Content-Length: %d\r\n\r\n" % total + b"x" * total)
            if path != "/a" and size == "held":
                assert got.startswith(b"HTTP/1.1 200 ") and seen == [place, total]
            else:
                assert got.startswith((b"HTTP/1.1 504 ", b"(reset)")) and seen == [place]
            assert got.count(b"HTTP/1.1 ") <= 1

    run(test())


@pytest.mark.parametrize("then", ["reads on", "resets"])
def test_a_node_that_answers_early(then: str) -> None:
    read: asyncio.Queue[int] = asyncio.Queue()

    async def node(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await head_of(reader)
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
        await writer.drain()
        if then == "resets":
            await asyncio.sleep(0.05)
            writer.transport.abort()
        else:
            read.put_nowait(len(await reader.read()))

    async def test() -> None:
        async with front(node) as made:
            reader, writer = await made.ask(b"POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 200000\r\n\r\n")
            writer.write(b"x" * 1000)
            head = await reader.readuntil(b"ok")
            assert head.startswith(b"HTTP/1.1 200 ") and b"Connection: close" in head
            writer.write(b"x" * 100_000)
            assert await reader.read() == b""  # one answer, nothing behind it
            writer.close()

    run(test())


def test_requests_are_answered_while_many_uploads_crawl() -> None:
    async def test() -> None:
        async with front(sink, classes=HURRIED, clients=400, connections=400) as made:
            crawling = []
            for _ in range(150):
                _, writer = await made.ask(
                    b"POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 1000\r\nExpect: 100-continue\r\n\r\nx"
                )
                crawling.append(writer)
            for _ in range(20):
                got = await made.whole(b"GET /a HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
                assert got.startswith(b"HTTP/1.1 200 ")
            for writer in crawling:
                writer.transport.abort()

    run(test())


def test_memory_that_is_used_up_is_refused_with_a_time() -> None:
    async def test() -> None:
        async with front(sink, body_bytes=2_500_000, upload_bytes=64 * 1024) as made:
            ask = b"POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 100\r\n\r\nx"
            held = [await made.ask(ask) for _ in range(2)]
            while len(made.engine.exchanges) < 2:
                await asyncio.sleep(0.01)
            got = await made.whole(ask)
            assert got.startswith(b"HTTP/1.1 503 ") and b"Retry-After: 1\r\n" in got
            for _, writer in held:
                writer.transport.abort()
            assert (await made.whole(b"GET /a HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"))[
                9:12
            ] == b"200"

    run(test())


def test_the_module_breaking_answers_what_it_had_and_not_what_is_still_gathered() -> None:
    async def test() -> None:
        async with front(answering(OK)) as made:
            reader, writer = await made.ask(b"POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n\r\nab")
            while not made.engine.exchanges:
                await asyncio.sleep(0)
            made.engine._restart_decision_module()
            writer.write(b"cd")
            assert (await reader.readuntil(b"ok")).startswith(b"HTTP/1.1 200 ")
            writer.close()

    run(test())
