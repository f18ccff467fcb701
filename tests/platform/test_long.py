"""Long bodies in the platform's protocol, with aiohttp and httpx as peers: each way to lose or break one."""

from __future__ import annotations

import asyncio
import hashlib
import socket
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any

import httpx
import pytest
from aiohttp import web

from flintlatch.net import client as client_module
from flintlatch.net import connections as connections_module
from flintlatch.net import frontend as frontend_module
from flintlatch.net.http1 import MAX_BODY
from flintlatch.platform import limits
from flintlatch.platform import node as node_module
from tests.loopback import Client, Proxy, proxy, read_head, run

MIB = 1024 * 1024
IDS = iter(range(10**6))


def request_headers(**more: str) -> dict[str, str]:
    return {"x-call-id": f"long-{next(IDS)}", "x-budget-ms": "20000"} | more


def block(number: int) -> bytes:
    """64 KiB that differ from every other block."""
    return hashlib.sha256(b"%d" % number).digest() * 2048


async def blocks(count: int) -> AsyncIterator[bytes]:
    for number in range(count):
        yield block(number)


def digest(count: int) -> str:
    body_hash = hashlib.sha256()
    for number in range(count):
        body_hash.update(block(number))
    return body_hash.hexdigest()


@asynccontextmanager
async def proxy_with_aiohttp_server(handler: Any) -> AsyncIterator[Proxy]:
    """A proxy with one aiohttp server, which calls `handler` for every request."""
    app = web.Application(client_max_size=1 << 30)
    app.router.add_route("*", "/{path:.*}", handler)
    runner = web.AppRunner(app)
    await runner.setup()
    site = web.TCPSite(runner, "127.0.0.1", 0)
    await site.start()
    port = site._server.sockets[0].getsockname()[1]  # type: ignore[union-attr]
    try:
        async with proxy() as made:
            backend = made.engine.backends.backends["s0"]
            backend.target = backend.target._replace(port=port)
            yield made
    finally:
        await runner.cleanup()


@pytest.mark.parametrize("chunked", [False, True])
def test_uploads_and_downloads_of_32_mib_are_complete(chunked: bool) -> None:
    async def handler(request: web.Request) -> web.StreamResponse:
        body_hash, size = hashlib.sha256(), 0
        async for piece in request.content.iter_any():
            body_hash.update(piece)
            size += len(piece)
        answer = web.StreamResponse(headers={"content-type": "app/deck"})
        if chunked:
            answer.enable_chunked_encoding()
        else:
            answer.content_length = size + 64
        await answer.prepare(request)
        await answer.write(body_hash.hexdigest().encode())
        async for piece in blocks(size // 65536):
            await answer.write(piece)
        await answer.write_eof()
        return answer

    async def test() -> None:
        async with proxy_with_aiohttp_server(handler) as p, httpx.AsyncClient(timeout=60) as client:
            count = 32 * MIB // 65536
            length = {} if chunked else {"content-length": str(count * 65536)}
            answer = await client.post(
                f"http://{p.frontend.address}/answer",
                content=blocks(count),
                headers=request_headers(**length),
            )
            assert (answer.status_code, answer.headers["content-type"]) == (200, "app/deck")
            assert answer.content[:64].decode() == digest(count)
            assert hashlib.sha256(answer.content[64:]).hexdigest() == digest(count)
            assert not p.engine.requests and not p.engine.exchanges
            assert p.engine.memory.used_bytes == 0 and p.engine.memory.peak_bytes < 1 * MIB

    run(test())


def test_a_slow_client_holds_back_the_server() -> None:
    # Guards against memory that grows while the server sends faster than the client reads.
    sent = 0

    async def handler(request: web.Request) -> web.StreamResponse:
        nonlocal sent
        answer = web.StreamResponse()
        answer.content_length = 32 * MIB
        await answer.prepare(request)
        async for piece in blocks(512):
            await answer.write(piece)
            sent += len(piece)
        return answer

    async def test() -> None:
        async with proxy_with_aiohttp_server(handler) as p:
            client = await p.client()
            client.send(x_call_id="slow")
            line, response_headers = await read_head(client.reader)
            assert "200" in line and int(response_headers["content-length"]) == 32 * MIB
            await asyncio.sleep(0.5)
            proxy_client = next(iter(p.frontend.clients))
            # The kernel must not buffer so much that a slow client looks like one that has stopped.
            sock = proxy_client.transport.get_extra_info("socket")
            assert sock.getsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF) <= 2 * limits.SEND_BUFFER_BYTES
            assert (
                proxy_client.transport.get_write_buffer_size()
                <= limits.CLIENT_WRITE_BUFFER_BYTES + 4 * limits.SERVER_RECEIVE_BUFFER_BYTES
            )
            assert sent < 24 * MIB  # the server is held back; the kernels buffer some MB
            body_hash = hashlib.sha256(await client.reader.readexactly(32 * MIB))
            assert body_hash.hexdigest() == digest(512)
            client.close()

    run(test())


@pytest.mark.parametrize("framing", ["length", "chunked"])
def test_a_truncated_response_is_visibly_incomplete(framing: str) -> None:
    # Guards against a truncated response that looks complete.
    async def test() -> None:
        async with proxy() as p:
            client = await p.client()
            client.send(x_call_id="broken")
            received = await p.backends[0].requests.get()
            head = {"length": "content-length: 400000", "chunked": "transfer-encoding: chunked"}
            received.writer.write(
                f"HTTP/1.1 200 OK\r\n{head.get(framing, 'connection: close')}\r\n\r\n".encode()
            )
            body = b"x" * 100_000
            received.writer.write(b"%x\r\n%b\r\n" % (len(body), body) if framing == "chunked" else body)
            await received.writer.drain()
            line, response_headers = await read_head(client.reader)
            assert "200" in line
            received.writer.transport.abort()
            if "content-length" in response_headers:
                with pytest.raises((asyncio.IncompleteReadError, ConnectionError)):
                    await client.reader.readexactly(400_000)
            else:
                assert response_headers["transfer-encoding"] == "chunked"
                try:
                    rest = await client.reader.read()
                except ConnectionError:
                    rest = b""
                assert not rest.endswith(b"0\r\n\r\n")
            while p.engine.requests:
                await asyncio.sleep(0)
            client.close()

    run(test())


def test_a_response_delimited_by_the_close_needs_connection_close() -> None:
    async def test() -> None:
        async with proxy() as p:
            client = await p.client()
            client.send(x_call_id="close")
            received = await p.backends[0].requests.get()
            received.writer.write(b"HTTP/1.1 200 OK\r\nconnection: close\r\n\r\nshort")
            received.writer.close()
            assert (await client.reply()).body == b"short"
            # Without `connection: close` the head may be truncated, so the response is a failure.
            client.send(x_call_id="close-2")
            received = await p.backends[0].requests.get()
            received.writer.write(b"HTTP/1.1 200 OK\r\n\r\nshort")
            assert (await client.reply()).status == 504
            client.close()

    run(test())


def test_slow_chunks_are_forwarded_before_the_end_of_the_response(monkeypatch: pytest.MonkeyPatch) -> None:
    # Guards against a response that is forwarded only once it is complete.
    monkeypatch.setattr(node_module, "GATHER_TIMEOUT_S", 0.01)

    async def test() -> None:
        async with proxy() as p:
            client = await p.client()
            client.send(x_call_id="drip")
            received = await p.backends[0].requests.get()
            received.writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5;x=y\r\nfirst\r\n")
            line, response_headers = await read_head(client.reader)
            assert "200" in line and response_headers["transfer-encoding"] == "chunked"
            assert await client.reader.readexactly(10) == b"5\r\nfirst\r\n"
            received.writer.write(b"4\r\nlast\r\n0\r\nX-Sum: 1\r\n\r\n")
            assert await client.reader.readexactly(14) == b"4\r\nlast\r\n0\r\n\r\n"
            assert (await client.ask("/health/ready", "GET")).status == 200
            client.close()

    run(test())


@pytest.mark.parametrize("buffered", [True, False])
def test_an_upload_whose_server_fails_before_its_end_is_executed_at_most_once(buffered: bool) -> None:
    # It may be retried at another server while the proxy still buffers all of it; otherwise it is refused. In
    # both cases it is executed at most once.
    async def test() -> None:
        async with proxy(2) as p:
            client = await p.client()
            size = 200_000
            client.send(x_call_id="up", content_length=str(size))
            client.writer.write(b"a" * (60_000 if buffered else 150_000))
            await client.writer.drain()
            while not (writers := [w for server in p.backends for w in server.writers]):
                await asyncio.sleep(0.001)
            if buffered:
                await until_uploading(p)
            else:
                while not p.engine.exchanges["up"].upload.discarded:
                    await asyncio.sleep(0.001)
            writers[0].transport.abort()
            if buffered:
                while p.backends[0].connections + p.backends[1].connections < 2:
                    await asyncio.sleep(0.001)
                client.writer.write(b"a" * (size - 60_000))
                pending = [asyncio.create_task(server.requests.get()) for server in p.backends]
                done, _ = await asyncio.wait(pending, return_when=asyncio.FIRST_COMPLETED)
                received = done.pop().result()
                assert received.body == b"a" * size
                received.reply(b"once")
                assert (await client.reply()).body == b"once"
                for task in pending:
                    task.cancel()
            else:
                reply = await client.reply()
                assert reply.status in (503, 504) and reply.headers["connection"] == "close"
                assert all(server.requests.empty() for server in p.backends)
            client.close()

    run(test())


async def until_uploading(p: Proxy) -> None:
    while (
        not (exchange := p.engine.exchanges.get("up"))
        or exchange.node is None
        or exchange.upload.untaken_bytes
    ):
        await asyncio.sleep(0.001)


def test_long_pipelined_requests_are_answered_one_after_another() -> None:
    async def test() -> None:
        async with proxy() as p:
            client = await p.client()
            client.send(x_call_id="p1")
            client.send(x_call_id="p2", body=b"b" * 300_000)
            client.send(x_call_id="p3", body=b"c" * (MAX_BODY + 1))
            client.send(x_call_id="p4", body=b"d")
            for number, body in ((1, b""), (2, b"b" * 300_000), (3, b"c" * (MAX_BODY + 1)), (4, b"d")):
                received = await p.backends[0].requests.get()
                assert (received.headers["x-call-id"], received.body) == (f"p{number}", body)
                assert p.backends[0].requests.empty()
                received.reply(b"%d" % number)
                assert (await client.reply()).body == b"%d" % number
            client.close()

    run(test())


def test_rare_but_valid_forms_of_http_are_accepted() -> None:
    # Guards against checks that include the white space around a header value, which is not part of it.
    async def test() -> None:
        async with proxy() as p:
            client = await p.client()
            client.writer.write(
                b"\r\nPOST /answer HTTP/1.1\r\nhost:a \t\r\nX-CALL-ID:\tw1  \r\nx-budget-ms: 20000 \r\n"
                b"x-route-hash: 7f3a \r\nTransfer-Encoding:  Chunked \r\nTrailer: x-sum\r\n\r\n"
                b'3;a="b"\r\nabc\r\n0\r\nx-sum: 5\r\n\r\n'
            )
            received = await p.backends[0].requests.get()
            assert (received.headers["x-call-id"], received.body) == ("w1", b"abc")
            assert "x-sum" not in received.headers
            received.reply(headers={"content-type": "a/b  "})
            assert (await client.reply()).status == 200
            client.writer.write(
                b"POST /answer HTTP/1.1\r\nhost: a\r\nx-call-id: w2\r\nx-budget-ms: 20000\r\n"
                b"expect: 100-continue\r\ncontent-length: 100000 \r\n\r\n"
            )
            assert await client.reader.readuntil(b"\r\n\r\n") == b"HTTP/1.1 100 Continue\r\n\r\n"
            client.writer.write(b"e" * 100_000)
            received = await p.backends[0].requests.get()
            assert received.body == b"e" * 100_000
            received.reply()
            assert (await client.reply()).status == 200
            client.close()

    run(test())


@pytest.mark.parametrize(
    ("status", "sent"),
    [
        (413, b"content-length: %d\r\n\r\n" % (limits.MAX_LONG_BODY_BYTES + 1)),
        (400, b"content-length: 100000\r\ntransfer-encoding: chunked\r\n\r\n"),
        (400, b"transfer-encoding: chunked\r\n\r\n" + b"11170\r\n" + b"z" * 70_000 + b"\r\nnoise\r\n"),
    ],
)
def test_malformed_long_requests_are_answered_with_an_error(status: int, sent: bytes) -> None:
    async def test() -> None:
        async with proxy() as p:
            client = await p.client()
            client.writer.write(
                b"POST /answer HTTP/1.1\r\nhost: a\r\nx-call-id: n1\r\nx-budget-ms: 9000\r\n" + sent
            )
            reply = await client.reply()
            assert (reply.status, reply.headers["connection"]) == (status, "close")
            assert p.backends[0].requests.empty()
            client.close()

    run(test())


def test_a_moving_short_body_has_no_timeout_and_a_head_has_one(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(connections_module, "REQUEST_READ_TIMEOUT_S", 0.1)
    monkeypatch.setattr(client_module, "BODY_IDLE_TIMEOUT_S", 0.4)
    monkeypatch.setattr(frontend_module, "SWEEP_INTERVAL_S", 0.02)

    async def test() -> None:
        async with proxy() as p:
            slow, stalled, head_only = [await p.client() for _ in range(3)]
            head_only.writer.write(b"POST /answer HTTP/1.1\r\nhost: a\r\n")
            for client, name in ((slow, "m1"), (stalled, "m2")):
                client.send(x_call_id=name, content_length="20")
            for _ in range(20):
                await asyncio.sleep(0.02)
                slow.writer.write(b"m")
            received = await p.backends[0].requests.get()
            assert received.body == b"m" * 20
            received.reply()
            assert (await slow.reply()).status == 200
            assert (await stalled.reply()).status == 408
            assert (await head_only.reply()).status == 408
            for client in (slow, stalled, head_only):
                client.close()

    run(test())


def test_clients_that_leave_during_a_long_body_free_their_server(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def test() -> None:
        async with proxy() as p:
            up, down = await p.client(), await p.client()
            up.send(x_call_id="up", content_length="900000")
            up.writer.write(b"u" * 300_000)
            down.send(x_call_id="down")
            received = await p.backends[0].requests.get()
            received.writer.write(b"HTTP/1.1 200 OK\r\ncontent-length: 900000\r\n\r\n" + b"d" * 300_000)
            await read_head(down.reader)
            assert p.engine.open_requests() == 1  # the upload is not complete
            up.writer.transport.abort()
            down.writer.transport.abort()
            await received.closed.wait()
            while p.engine.requests or p.engine.exchanges:
                await asyncio.sleep(0)
            assert p.engine.memory.used_bytes == 0
            servers = p.engine.balancer.servers.values()
            assert all(s.inflight == s.transfers == s.transfer_bytes == 0 for s in servers)

    run(test())


def test_a_request_sent_byte_by_byte_is_the_same_request() -> None:
    async def test() -> None:
        async with proxy() as p:
            client: Client = await p.client()
            whole = b"POST /answer HTTP/1.1\r\nhost: a\r\nx-call-id: b1\r\nx-budget-ms: 20000\r\n"
            whole += b"transfer-encoding: chunked\r\n\r\n4\r\nabcd\r\n3\r\nefg\r\n0\r\n\r\n"
            for position in range(len(whole)):
                client.writer.write(whole[position : position + 1])
                await asyncio.sleep(0)
            received = await p.backends[0].requests.get()
            assert received.body == b"abcdefg"
            answer = b"HTTP/1.1 200 OK\r\ncontent-length: 7\r\n\r\n" + received.body
            for position in range(len(answer)):
                received.writer.write(answer[position : position + 1])
                await asyncio.sleep(0)
            assert (await client.reply()).body == b"abcdefg"
            client.close()

    run(test())
