"""The HTTP front end on loopback: with an independent client (httpx), and byte by byte."""

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
from tests.http.support import Front, front, read_head, replying
from tests.loopback import run

OK = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
GET = b"GET /a HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"


async def echo(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """A node that responds with the bytes of the request."""
    while True:
        raw = await reader.readuntil(b"\r\n\r\n")
        length = raw.lower().partition(b"content-length: ")[2].partition(b"\r")[0]
        body = raw + await reader.readexactly(int(length or 0))
        writer.write(b"HTTP/1.1 200 OK\r\nX-End: kept\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))


def test_all_methods_are_forwarded() -> None:
    async def test() -> None:
        async with front(echo) as proxy, httpx.AsyncClient(base_url=proxy.url) as client:
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
            # The connections to the node are reused after the reuse delay.
            await asyncio.sleep(2 * REUSE_DELAY_MS / 1000)
            opened = proxy.nodes[0].connections
            assert (await client.get("/again")).status_code == 200
            assert proxy.nodes[0].connections == opened

    run(test())


@pytest.mark.parametrize("status", [200, 201, 301, 404, 418, 500, 503])
def test_status_and_reason_are_passed_on(status: int) -> None:
    async def test() -> None:
        reply = b"HTTP/1.1 %d Odd Reason\r\nContent-Length: 3\r\nRetry-After: 7\r\n\r\nabc" % status
        async with front(replying(reply)) as proxy, httpx.AsyncClient(base_url=proxy.url) as client:
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
def test_responses_without_a_body(method: str, reply: bytes, length: str | None) -> None:
    async def test() -> None:
        async with front(replying(reply)) as proxy, httpx.AsyncClient(base_url=proxy.url) as client:
            for _ in range(2):
                got = await client.request(method, "/")
                assert (got.content, got.headers.get("content-length")) == (b"", length)

    run(test())


def test_chunks_and_trailers_are_passed_in_both_directions() -> None:
    async def node(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        _, headers = await read_head(reader)
        assert headers["transfer-encoding"] == "chunked"
        raw = await reader.readuntil(b"\r\n0\r\nX-Sum: up\r\n\r\n")
        assert raw.startswith(b"5\r\nabcde\r\n")  # chunks that arrive together are joined
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4;x=y\r\nwiki\r\n")
        writer.write(b"0\r\nX-Sum: down\r\n\r\n")
        await reader.read()

    async def test() -> None:
        async with front(node) as proxy:
            raw = b"POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\nConnection: close\r\n\r\n"
            got = await proxy.read_until_close(raw + b"2;ext\r\nab\r\n3\r\ncde\r\n0\r\nX-Sum: up\r\n\r\n")
            head, _, body = got.partition(b"\r\n\r\n")
            assert b"Transfer-Encoding: chunked" in head
            assert body == b"4\r\nwiki\r\n0\r\nX-Sum: down\r\n\r\n"

    run(test())


def test_interim_responses_of_the_node_are_passed_on() -> None:
    async def node(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        _, headers = await read_head(reader)
        assert headers["expect"] == "100-continue"
        writer.write(b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n")
        assert await reader.readexactly(5) == b"hello"
        writer.write(OK)
        await reader.read()

    async def test() -> None:
        async with front(node) as proxy:
            reader, writer = await proxy.send(
                b"POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\nExpect: 100-continue\r\n\r\n"
            )
            assert await reader.readuntil(b"\r\n\r\n") == b"HTTP/1.1 100 Continue\r\n\r\n"
            assert await reader.readuntil(b"\r\n\r\n") == b"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"
            writer.write(b"hello")
            assert (await reader.readuntil(b"ok")).startswith(b"HTTP/1.1 200 OK\r\n")
            writer.close()

    run(test())


def test_http_1_0_client_gets_a_body_that_ends_with_the_connection() -> None:
    async def test() -> None:
        reply = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"
        async with front(replying(reply)) as proxy:
            head, _, body = (await proxy.read_until_close(b"GET /a HTTP/1.0\r\n\r\n")).partition(b"\r\n\r\n")
            assert body == b"ok" and b"Connection: close" in head and b"chunked" not in head

    run(test())


def test_pipelined_requests_are_answered_in_order() -> None:
    async def test() -> None:
        async with front(echo) as proxy:
            raw = b"".join(
                b"POST /%d HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\nabc" % n for n in range(5)
            )
            got = await proxy.read_until_close(raw + GET)
            positions = [got.find(b"POST /%d HTTP/1.1" % n) for n in range(5)]
            assert positions == sorted(positions) and positions[0] > 0 and got.count(b"HTTP/1.1 200 OK") == 6

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
def test_rejected_request_gets_its_status_and_the_connection_closes(raw: bytes, status: int) -> None:
    async def test() -> None:
        limits = HeadLimits(head_bytes=1024, target_bytes=200, fields=50)
        async with front(echo, head_limits=limits, max_body_bytes=1000) as proxy:
            got = await proxy.read_until_close(raw)
            assert got.startswith(b"HTTP/1.1 %d " % status) and b"Connection: close" in got
            assert proxy.nodes[0].connections == 0

    run(test())


def test_chunked_body_beyond_the_limit_is_answered_413() -> None:
    async def sink(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.read()

    async def test() -> None:
        async with front(sink, max_body_bytes=1000) as proxy:
            raw = (
                b"POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
                + b"64\r\n"
                + b"a" * 100
                + b"\r\n"
            )
            reader, writer = await proxy.send(raw)
            while not proxy.nodes[0].connections:
                await asyncio.sleep(0.01)
            writer.write((b"64\r\n" + b"a" * 100 + b"\r\n") * 12)
            assert (await reader.read()).startswith(b"HTTP/1.1 413 ")
            writer.close()
            await proxy.nodes[0].closed.get()  # the connection is closed, so the node's slot is free

    run(test())


# Long bodies

LARGE_BYTES = 24 * 1024 * 1024
BLOCK = bytes(range(256)) * 256


def slow_socket(proxy: Front) -> socket.socket:
    """A client with a small receive buffer, so that it slows the proxy down."""
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 16 * 1024)
    host, _, port = proxy.frontend.address.rpartition(":")
    sock.connect((host, int(port)))
    sock.setblocking(False)
    return sock


def test_memory_is_bounded_for_a_large_response_to_a_slow_client() -> None:
    async def node(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await read_head(reader)
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % LARGE_BYTES)
        for _ in range(LARGE_BYTES // len(BLOCK)):
            writer.write(BLOCK)
            await writer.drain()
        await reader.read()

    async def test() -> None:
        async with front(node) as proxy:
            loop, sock = asyncio.get_running_loop(), slow_socket(proxy)
            await loop.sock_sendall(sock, GET)
            digest, got, head, peak_bytes = hashlib.sha256(), 0, b"", 0
            while b"\r\n\r\n" not in head:
                head += await loop.sock_recv(sock, 1)
            while data := await loop.sock_recv(sock, 64 * 1024):
                digest.update(data)
                got += len(data)
                for client in proxy.frontend.clients:
                    peak_bytes = max(peak_bytes, client.transport.get_write_buffer_size())
            sock.close()
            assert got == LARGE_BYTES and 0 < peak_bytes <= RESPONSE_BUFFER_BYTES
            assert digest.digest() == hashlib.sha256(BLOCK * (LARGE_BYTES // len(BLOCK))).digest()

    run(test())


def test_memory_is_bounded_for_a_large_upload_to_a_slow_node() -> None:
    seen: list[bytes] = []

    async def node(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        _, headers = await read_head(reader)
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
        async with front(node) as proxy:
            peak_bytes = 0

            async def sample() -> None:
                nonlocal peak_bytes
                while True:
                    for exchange in proxy.engine.exchanges.values():
                        peak_bytes = max(
                            peak_bytes,
                            exchange.upload.buffered_bytes + len(cast(HttpClient, exchange.client).buffer),
                        )
                    await asyncio.sleep(0.001)

            async def send(writer: asyncio.StreamWriter) -> None:
                writer.write(
                    b"PUT /a HTTP/1.1\r\nHost: x\r\nConnection: close\r\nContent-Length: %d\r\n\r\n"
                    % LARGE_BYTES
                )
                for _ in range(LARGE_BYTES // len(BLOCK)):
                    writer.write(BLOCK)
                    await writer.drain()

            sampler = asyncio.create_task(sample())
            reader, writer = await proxy.connect()
            await send(writer)
            assert (await reader.read()).startswith(b"HTTP/1.1 200 OK")
            writer.close()
            sampler.cancel()
            assert seen == [hashlib.sha256(BLOCK * (LARGE_BYTES // len(BLOCK))).digest()]
            assert 0 < peak_bytes <= 64 * 1024 + 2 * MAX_READ_BYTES

    run(test())


# Nodes that fail and stalls

BODIES = {
    "length": b"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n0123456789",
    "chunked": b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\n01234\r\n5\r\n56789\r\n0\r\n\r\n",
}


@pytest.mark.parametrize("kind", BODIES)
def test_node_that_fails_within_its_response_causes_one_response_or_an_aborted_one(kind: str) -> None:
    raw = BODIES[kind]
    cut = 0

    async def node(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await read_head(reader)
        writer.write(raw[:cut])
        await writer.drain()
        writer.transport.close() if cut % 2 else writer.transport.abort()

    async def test() -> None:
        nonlocal cut
        for cut in range(0, len(raw), 1):
            async with front(node, attempts=1) as proxy:
                got = await proxy.read_until_close(
                    b"POST /a HTTP/1.1\r\nHost: x\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
                )
                end = raw.index(b"\r\n\r\n") + 4
                if got == b"(reset)":
                    assert cut >= end or cut == 0 or cut < end
                elif got.startswith(b"HTTP/1.1 200"):
                    body = got.partition(b"\r\n\r\n")[2]
                    # The response began and is visibly incomplete: too short, or without its last chunk.
                    assert not body.endswith(b"0\r\n\r\n") and len(body) < len(raw) - end
                else:
                    assert got.startswith(b"HTTP/1.1 504 ") and got.count(b"HTTP/1.1") == 1
                # The request is unsafe and may have been executed: no retry.
                assert proxy.nodes[0].connections == 1

    run(test())


@pytest.mark.parametrize(("size", "retried"), [(1000, True), (200_000, False)])
def test_upload_is_retried_only_if_it_fits_into_the_buffer(size: int, retried: bool) -> None:
    attempt_sizes: list[int] = []

    async def node(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        _, headers = await read_head(reader)
        got = await reader.readexactly(int(headers["content-length"]))
        attempt_sizes.append(len(got))
        if len(attempt_sizes) == 1:
            writer.transport.abort()  # after the complete upload: the request may have been executed
            return
        writer.write(OK)
        await reader.read()

    async def test() -> None:
        async with front(node, node) as proxy:
            raw = b"POST /buy/1 HTTP/1.1\r\nHost: x\r\nIdempotency-Key: k\r\nConnection: close\r\n"
            got = await proxy.read_until_close(raw + b"Content-Length: %d\r\n\r\n" % size + b"x" * size)
            if retried:
                assert got.startswith(b"HTTP/1.1 200 ") and attempt_sizes == [size, size]
            else:
                assert got.startswith(b"HTTP/1.1 504 ") and attempt_sizes == [size]

    run(test())


def test_client_that_stalls_in_its_upload_gets_408_and_frees_the_nodes_slot() -> None:
    async def node(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.read()

    async def test() -> None:
        async with front(node, progress=ProgressLimits(0.5, 0)) as proxy:
            got = await proxy.read_until_close(
                b"POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 100\r\n\r\nhalf"
            )
            assert got.startswith(b"HTTP/1.1 408 ")
            await proxy.nodes[0].closed.get()
            (server,) = proxy.engine.balancer.servers.values()
            assert server.consecutive_failures == 0 and server.inflight == 0  # the stall is the client's

    run(test())


def test_client_that_does_not_read_is_disconnected_without_a_failure_of_the_node() -> None:
    async def node(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await read_head(reader)
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % LARGE_BYTES)
        for _ in range(LARGE_BYTES // len(BLOCK)):
            writer.write(BLOCK)
            await writer.drain()

    async def test() -> None:
        async with front(node, progress=ProgressLimits(0.5, 0)) as proxy:
            sock = slow_socket(proxy)
            await asyncio.get_running_loop().sock_sendall(sock, GET)
            await proxy.nodes[0].closed.get()
            (server,) = proxy.engine.balancer.servers.values()
            assert server.consecutive_failures == 0
            while proxy.engine.exchanges:
                await asyncio.sleep(0.01)
            sock.close()

    run(test())


def test_node_that_stalls_in_its_response_fails_and_the_response_is_aborted() -> None:
    async def node(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await read_head(reader)
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhalf")
        await reader.read()

    async def test() -> None:
        async with front(node, progress=ProgressLimits(0.5, 0)) as proxy:
            got = await proxy.read_until_close(GET)
            assert got == b"(reset)" or got.endswith(b"half")
            while proxy.engine.exchanges:
                await asyncio.sleep(0.01)
            (server,) = proxy.engine.balancer.servers.values()
            assert server.inflight == 0 and server.reward < 1.0

    run(test())


def test_early_response_reaches_the_client_and_the_rest_of_the_upload_is_discarded() -> None:
    async def node(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await read_head(reader)
        writer.write(b"HTTP/1.1 413 Too Large\r\nContent-Length: 3\r\n\r\nbig")
        await reader.read()

    async def test() -> None:
        async with front(node) as proxy:
            reader, writer = await proxy.send(
                b"POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 1000000\r\n\r\n"
            )
            got = await reader.readuntil(b"big")
            assert got.startswith(b"HTTP/1.1 413 Too Large\r\n") and b"Connection: close" in got
            writer.write(b"x" * 100_000)
            assert await reader.read() == b""
            writer.close()

    run(test())


def test_client_that_leaves_frees_the_nodes_slot_at_once() -> None:
    head_received = asyncio.Event()

    async def node(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await read_head(reader)
        head_received.set()
        await reader.read()

    async def test() -> None:
        async with front(node) as proxy:
            for raw in (GET, b"POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 10\r\n\r\nhalf"):
                head_received.clear()
                _, writer = await proxy.send(raw)
                await head_received.wait()
                writer.transport.abort()
                await proxy.nodes[0].closed.get()
                while proxy.engine.exchanges or proxy.engine.requests:
                    await asyncio.sleep(0.01)
            (server,) = proxy.engine.balancer.servers.values()
            assert server.inflight == 0

    run(test())


def test_request_rejected_by_a_node_is_retried_at_another() -> None:
    async def test() -> None:
        full = replying(b"HTTP/1.1 503 X\r\nX-Rejected: 1\r\nContent-Length: 0\r\n\r\n")
        async with front(full, replying(OK)) as proxy, httpx.AsyncClient(base_url=proxy.url) as client:
            for _ in range(10):
                assert (await client.post("/a", content=b"hello")).status_code == 200
            assert proxy.nodes[0].connections  # it got requests, too

    run(test())
