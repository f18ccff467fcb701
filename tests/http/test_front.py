"""The HTTP front on loopback: an independent client (httpx) for the ordinary, raw bytes for the rest."""

from __future__ import annotations

import asyncio
import hashlib
import socket
from typing import cast

import httpx
import pytest

from flintlatch.exchange import ProgressLimits
from flintlatch.http.front import HttpClient
from flintlatch.http.head import HeadLimits
from flintlatch.http.sockets import MAX_READ_BYTES, RESPONSE_BUFFER_BYTES
from flintlatch.net.backends import REUSE_DELAY_MS
from tests.http.support import Front, answering, front, head_of
from tests.loopback import run

OK = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
GET = b"GET /a HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"


async def echo(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Answers with the request as it came."""
    while True:
        raw = await reader.readuntil(b"\r\n\r\n")
        length = raw.lower().partition(b"content-length: ")[2].partition(b"\r")[0]
        body = raw + await reader.readexactly(int(length or 0))
        writer.write(b"HTTP/1.1 200 OK\r\nX-End: kept\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))


def test_an_ordinary_client_is_served_with_all_methods() -> None:
    async def test() -> None:
        async with front(echo) as made, httpx.AsyncClient(base_url=made.url) as client:
            for method in ("GET", "POST", "PUT", "PATCH", "DELETE", "OPTIONS", "PURGE"):
                body = b"" if method in ("GET", "DELETE", "OPTIONS", "PURGE") else b"hello"
                reply = await client.request(method, "/a/b?c=d", content=body, headers={"X-Mine": "1"})
                head, _, seen = reply.content.partition(b"\r\n\r\n")
                assert (reply.status_code, seen, reply.headers["x-end"]) == (200, body, "kept")
                assert head.startswith(f"{method} /a/b?c=d HTTP/1.1\r\n".encode())
                lines = head.lower().split(b"\r\n")
                assert b"x-mine: 1" in lines and b"via: 1.1 flintlatch" in lines
                assert any(line.startswith(b"x-call-id: made-") for line in lines)
                assert any(line.startswith(b"x-budget-ms: ") for line in lines)
                assert any(line.startswith(b"forwarded: for=127.0.0.1;") for line in lines)
                assert not any(line.startswith(b"connection:") for line in lines)
            # Kept, and lent again once they have rested.
            await asyncio.sleep(2 * REUSE_DELAY_MS / 1000)
            opened = made.nodes[0].connections
            assert (await client.get("/again")).status_code == 200
            assert made.nodes[0].connections == opened

    run(test())


@pytest.mark.parametrize("status", [200, 201, 301, 404, 418, 500, 503])
def test_every_status_is_passed_on_as_it_is(status: int) -> None:
    async def test() -> None:
        reply = b"HTTP/1.1 %d Odd Reason\r\nContent-Length: 3\r\nRetry-After: 7\r\n\r\nabc" % status
        async with front(answering(reply)) as made, httpx.AsyncClient(base_url=made.url) as client:
            for method in ("GET", "POST"):
                got = await client.request(method, "/")
                assert (got.status_code, got.content, got.reason_phrase) == (status, b"abc", "Odd Reason")

    run(test())


@pytest.mark.parametrize(
    ("method", "reply", "length"),
    [
        ("HEAD", b"HTTP/1.1 200 OK\r\nContent-Length: 1000\r\n\r\n", "1000"),
        ("GET", b"HTTP/1.1 204 No Content\r\n\r\n", None),
        ("GET", b"HTTP/1.1 304 Not Modified\r\nETag: x\r\n\r\n", None),
    ],
)
def test_answers_without_a_body(method: str, reply: bytes, length: str | None) -> None:
    async def test() -> None:
        async with front(answering(reply)) as made, httpx.AsyncClient(base_url=made.url) as client:
            for _ in range(2):
                got = await client.request(method, "/")
                assert (got.content, got.headers.get("content-length")) == (b"", length)

    run(test())


def test_chunks_and_trailers_both_ways() -> None:
    async def node(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        _, headers = await head_of(reader)
        assert headers["transfer-encoding"] == "chunked"
        raw = await reader.readuntil(b"\r\n0\r\nX-Sum: up\r\n\r\n")
        assert raw.startswith(b"5\r\nabcde\r\n")  # chunks that come together go on as one
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4;x=y\r\nwiki\r\n")
        writer.write(b"0\r\nX-Sum: down\r\n\r\n")
        await reader.read()

    async def test() -> None:
        async with front(node) as made:
            raw = b"POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\nConnection: close\r\n\r\n"
            got = await made.whole(raw + b"2;ext\r\nab\r\n3\r\ncde\r\n0\r\nX-Sum: up\r\n\r\n")
            head, _, body = got.partition(b"\r\n\r\n")
            assert b"Transfer-Encoding: chunked" in head
            assert body == b"4\r\nwiki\r\n0\r\nX-Sum: down\r\n\r\n"

    run(test())


def test_100_continue_is_the_nodes_word_and_103_goes_through() -> None:
    async def node(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        _, headers = await head_of(reader)
        assert headers["expect"] == "100-continue"
        writer.write(b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n")
        assert await reader.readexactly(5) == b"hello"
        writer.write(OK)
        await reader.read()

    async def test() -> None:
        async with front(node) as made:
            reader, writer = await made.ask(
                b"POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\nExpect: 100-continue\r\n\r\n"
            )
            assert await reader.readuntil(b"\r\n\r\n") == b"HTTP/1.1 100 Continue\r\n\r\n"
            assert await reader.readuntil(b"\r\n\r\n") == b"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"
            writer.write(b"hello")
            assert (await reader.readuntil(b"ok")).startswith(b"HTTP/1.1 200 OK\r\n")
            writer.close()

    run(test())


def test_an_old_client_gets_a_body_that_ends_with_its_connection() -> None:
    async def test() -> None:
        reply = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"
        async with front(answering(reply)) as made:
            head, _, body = (await made.whole(b"GET /a HTTP/1.0\r\n\r\n")).partition(b"\r\n\r\n")
            assert body == b"ok" and b"Connection: close" in head and b"chunked" not in head

    run(test())


def test_requests_sent_ahead_are_answered_in_turn() -> None:
    async def test() -> None:
        async with front(echo) as made:
            raw = b"".join(
                b"POST /%d HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\nabc" % n for n in range(5)
            )
            got = await made.whole(raw + GET)
            places = [got.find(b"POST /%d HTTP/1.1" % n) for n in range(5)]
            assert places == sorted(places) and places[0] > 0 and got.count(b"HTTP/1.1 200 OK") == 6

    run(test())


@pytest.mark.parametrize(
    ("raw", "status"),
    [
        (b"GET /" + b"a" * 300 + b" HTTP/1.1\r\nHost: x\r\n\r\n", 414),
        (b"GET / HTTP/1.1\r\nHost: x\r\nA: " + b"b" * 2000 + b"\r\n\r\n", 431),
        (b"GET / HTTP/1.1\r\nHost: x\r\n" + b"A: b\r\n" * 200, 431),
        (b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 1001\r\n\r\n", 413),
        (b"GET / HTTP/1.1\r\nHost: x\r\nConnection: Upgrade\r\nUpgrade: websocket\r\n\r\n", 501),
        (b"TRACE / HTTP/1.1\r\nHost: x\r\n\r\n", 405),
        (b"POST /buy/1 HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n", 400),
        (
            b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
            400,
        ),
        (b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03\r\n\r\n", 400),
    ],
)
def test_limits_and_refusals_say_so_and_close(raw: bytes, status: int) -> None:
    async def test() -> None:
        limits = HeadLimits(head_bytes=1024, target_bytes=200, fields=50)
        async with front(echo, limits=limits, most_body=1000) as made:
            got = await made.whole(raw)
            assert got.startswith(b"HTTP/1.1 %d " % status) and b"Connection: close" in got
            assert made.nodes[0].connections == 0

    run(test())


def test_a_chunked_body_beyond_the_limit_is_cut_off() -> None:
    async def sink(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.read()

    async def test() -> None:
        async with front(sink, most_body=1000) as made:
            raw = (
                b"POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
                + b"64\r\n"
                + b"a" * 100
                + b"\r\n"
            )
            reader, writer = await made.ask(raw)
            while not made.nodes[0].connections:
                await asyncio.sleep(0.01)
            writer.write((b"64\r\n" + b"a" * 100 + b"\r\n") * 12)
            assert (await reader.read()).startswith(b"HTTP/1.1 413 ")
            writer.close()
            await made.nodes[0].closed.get()  # the node's slot is free

    run(test())


# Long bodies

BIG = 24 * 1024 * 1024
BLOCK = bytes(range(256)) * 256


def slow_socket(made: Front) -> socket.socket:
    """A client whose kernel takes little, so that the proxy feels its pace."""
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 16 * 1024)
    host, _, port = made.frontend.address.rpartition(":")
    sock.connect((host, int(port)))
    sock.setblocking(False)
    return sock


def test_a_large_export_to_a_slow_client_holds_a_bounded_part() -> None:
    async def node(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await head_of(reader)
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % BIG)
        for _ in range(BIG // len(BLOCK)):
            writer.write(BLOCK)
            await writer.drain()
        await reader.read()

    async def test() -> None:
        async with front(node) as made:
            loop, sock = asyncio.get_running_loop(), slow_socket(made)
            await loop.sock_sendall(sock, GET)
            digest, got, head, most = hashlib.sha256(), 0, b"", 0
            while b"\r\n\r\n" not in head:
                head += await loop.sock_recv(sock, 1)
            while data := await loop.sock_recv(sock, 64 * 1024):
                digest.update(data)
                got += len(data)
                for client in made.frontend.clients:
                    most = max(most, client.transport.get_write_buffer_size())
            sock.close()
            assert got == BIG and 0 < most <= RESPONSE_BUFFER_BYTES
            assert digest.digest() == hashlib.sha256(BLOCK * (BIG // len(BLOCK))).digest()

    run(test())


def test_a_large_upload_to_a_slow_node_holds_a_bounded_part() -> None:
    seen: list[bytes] = []

    async def node(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        _, headers = await head_of(reader)
        digest, left = hashlib.sha256(), int(headers["content-length"])
        while left:
            data = await reader.read(min(left, 32 * 1024))
            digest.update(data)
            left -= len(data)
            await asyncio.sleep(0.002)
        seen.append(digest.digest())
        writer.write(OK)
        await reader.read()

    async def test() -> None:
        async with front(node) as made:
            most = 0

            async def sample() -> None:
                nonlocal most
                while True:
                    for call in made.engine.exchanges.values():
                        most = max(most, call.upload.held + len(cast(HttpClient, call.client).buffer))
                    await asyncio.sleep(0.001)

            async def send(writer: asyncio.StreamWriter) -> None:
                writer.write(
                    b"PUT /a HTTP/1.1\r\nHost: x\r\nConnection: close\r\nContent-Length: %d\r\n\r\n" % BIG
                )
                for _ in range(BIG // len(BLOCK)):
                    writer.write(BLOCK)
                    await writer.drain()

            sampler = asyncio.create_task(sample())
            reader, writer = await made.connect()
            await send(writer)
            assert (await reader.read()).startswith(b"HTTP/1.1 200 OK")
            writer.close()
            sampler.cancel()
            assert seen == [hashlib.sha256(BLOCK * (BIG // len(BLOCK))).digest()]
            assert 0 < most <= 64 * 1024 + 2 * MAX_READ_BYTES

    run(test())


# Deaths and stalls

BODIES = {
    "length": b"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n0123456789",
    "chunked": b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\n01234\r\n5\r\n56789\r\n0\r\n\r\n",
}


@pytest.mark.parametrize("kind", BODIES)
def test_a_node_that_dies_at_any_byte_of_its_answer_gives_one_answer_or_a_broken_one(kind: str) -> None:
    raw = BODIES[kind]
    cut = 0

    async def node(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await head_of(reader)
        writer.write(raw[:cut])
        await writer.drain()
        writer.transport.close() if cut % 2 else writer.transport.abort()

    async def test() -> None:
        nonlocal cut
        for cut in range(0, len(raw), 1):
            async with front(node, attempts=1) as made:
                got = await made.whole(
                    b"POST /a HTTP/1.1\r\nHost: x\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
                )
                end = raw.index(b"\r\n\r\n") + 4
                if got == b"(reset)":
                    assert cut >= end or cut == 0 or cut < end
                elif got.startswith(b"HTTP/1.1 200"):
                    body = got.partition(b"\r\n\r\n")[2]
                    # Begun, and visibly broken: short of its length, or without its last chunk.
                    assert not body.endswith(b"0\r\n\r\n") and len(body) < len(raw) - end
                else:
                    assert got.startswith(b"HTTP/1.1 504 ") and got.count(b"HTTP/1.1") == 1
                assert made.nodes[0].connections == 1  # unsafe: it may have run

    run(test())


@pytest.mark.parametrize(("size", "again"), [(1000, True), (200_000, False)])
def test_an_upload_goes_again_within_the_replay_cap_and_never_beyond_it(size: int, again: bool) -> None:
    tries: list[int] = []

    async def node(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        _, headers = await head_of(reader)
        got = await reader.readexactly(int(headers["content-length"]))
        tries.append(len(got))
        if len(tries) == 1:
            writer.transport.abort()  # after the whole upload: it may have run
            return
        writer.write(OK)
        await reader.read()

    async def test() -> None:
        async with front(node, node) as made:
            raw = b"POST /buy/1 HTTP/1.1\r\nHost: x\r\nIdempotency-Key: k\r\nConnection: close\r\n"
            got = await made.whole(raw + b"Content-Length: %d\r\n\r\n" % size + b"x" * size)
            if again:
                assert got.startswith(b"HTTP/1.1 200 ") and tries == [size, size]
            else:
                assert got.startswith(b"HTTP/1.1 504 ") and tries == [size]

    run(test())


def test_a_client_that_stalls_in_its_upload_gets_408_and_frees_the_nodes_slot() -> None:
    async def node(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.read()

    async def test() -> None:
        async with front(node, pace=ProgressLimits(0.5, 0)) as made:
            got = await made.whole(b"POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 100\r\n\r\nhalf")
            assert got.startswith(b"HTTP/1.1 408 ")
            await made.nodes[0].closed.get()
            (server,) = made.engine.balancer.servers.values()
            assert server.consecutive_failures == 0 and server.inflight == 0  # the client's fault

    run(test())


def test_a_client_that_does_not_read_is_cut_off_and_the_node_not_blamed() -> None:
    async def node(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await head_of(reader)
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % BIG)
        for _ in range(BIG // len(BLOCK)):
            writer.write(BLOCK)
            await writer.drain()

    async def test() -> None:
        async with front(node, pace=ProgressLimits(0.5, 0)) as made:
            sock = slow_socket(made)
            await asyncio.get_running_loop().sock_sendall(sock, GET)
            await made.nodes[0].closed.get()
            (server,) = made.engine.balancer.servers.values()
            assert server.consecutive_failures == 0
            while made.engine.exchanges:
                await asyncio.sleep(0.01)
            sock.close()

    run(test())


def test_a_node_that_stalls_in_its_answer_is_blamed_and_the_answer_visibly_broken() -> None:
    async def node(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await head_of(reader)
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhalf")
        await reader.read()

    async def test() -> None:
        async with front(node, pace=ProgressLimits(0.5, 0)) as made:
            got = await made.whole(GET)
            assert got == b"(reset)" or got.endswith(b"half")
            while made.engine.exchanges:
                await asyncio.sleep(0.01)
            (server,) = made.engine.balancer.servers.values()
            assert server.inflight == 0 and server.reward < 1.0

    run(test())


def test_an_early_answer_reaches_the_client_and_the_rest_is_dropped_within_bounds() -> None:
    async def node(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await head_of(reader)
        writer.write(b"HTTP/1.1 413 Too Large\r\nContent-Length: 3\r\n\r\nbig")
        await reader.read()

    async def test() -> None:
        async with front(node) as made:
            reader, writer = await made.ask(b"POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 1000000\r\n\r\n")
            got = await reader.readuntil(b"big")
            assert got.startswith(b"HTTP/1.1 413 Too Large\r\n") and b"Connection: close" in got
            writer.write(b"x" * 100_000)
            assert await reader.read() == b""
            writer.close()

    run(test())


def test_a_client_that_leaves_halfway_frees_the_nodes_slot_at_once() -> None:
    begun = asyncio.Event()

    async def node(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await head_of(reader)
        begun.set()
        await reader.read()

    async def test() -> None:
        async with front(node) as made:
            for raw in (GET, b"POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 10\r\n\r\nhalf"):
                begun.clear()
                _, writer = await made.ask(raw)
                await begun.wait()
                writer.transport.abort()
                await made.nodes[0].closed.get()
                while made.engine.exchanges or made.engine.requests:
                    await asyncio.sleep(0.01)
            (server,) = made.engine.balancer.servers.values()
            assert server.inflight == 0

    run(test())


def test_a_node_that_turns_away_is_passed_by() -> None:
    async def test() -> None:
        full = answering(b"HTTP/1.1 503 X\r\nX-Rejected: 1\r\nContent-Length: 0\r\n\r\n")
        async with front(full, answering(OK)) as made, httpx.AsyncClient(base_url=made.url) as client:
            for _ in range(10):
                assert (await client.post("/a", content=b"hello")).status_code == 200
            assert made.nodes[0].connections  # it was asked, too

    run(test())
