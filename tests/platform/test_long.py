"""Long bodies on the platform's protocol, with peers of other makes: each case that loses or breaks one."""

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

from flintlatch.net import frontend as frontend_module
from flintlatch.net.http1 import MAX_BODY
from flintlatch.platform import limits
from flintlatch.platform import node as node_module
from tests.loopback import Client, Proxy, proxy, read_head, run

MIB = 1024 * 1024
IDS = iter(range(10**6))


def headers(**more: str) -> dict[str, str]:
    return {"x-call-id": f"long-{next(IDS)}", "x-budget-ms": "20000"} | more


def block(number: int) -> bytes:
    """64 KiB that no other block has."""
    return hashlib.sha256(b"%d" % number).digest() * 2048


async def blocks(count: int) -> AsyncIterator[bytes]:
    for number in range(count):
        yield block(number)


def digest(count: int) -> str:
    whole = hashlib.sha256()
    for number in range(count):
        whole.update(block(number))
    return whole.hexdigest()


@asynccontextmanager
async def served(handler: Any) -> AsyncIterator[Proxy]:
    """A proxy whose one server is aiohttp's, with `handler` for every request."""
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
def test_uploads_and_exports_of_32_mib_come_whole(chunked: bool) -> None:
    async def handler(request: web.Request) -> web.StreamResponse:
        told, size = hashlib.sha256(), 0
        async for piece in request.content.iter_any():
            told.update(piece)
            size += len(piece)
        answer = web.StreamResponse(headers={"content-type": "app/deck"})
        if chunked:
            answer.enable_chunked_encoding()
        else:
            answer.content_length = size + 64
        await answer.prepare(request)
        await answer.write(told.hexdigest().encode())
        async for piece in blocks(size // 65536):
            await answer.write(piece)
        await answer.write_eof()
        return answer

    async def test() -> None:
        async with served(handler) as p, httpx.AsyncClient(timeout=60) as client:
            count = 32 * MIB // 65536
            length = {} if chunked else {"content-length": str(count * 65536)}
            answer = await client.post(
                f"http://{p.frontend.address}/answer", content=blocks(count), headers=headers(**length)
            )
            assert (answer.status_code, answer.headers["content-type"]) == (200, "app/deck")
            assert answer.content[:64].decode() == digest(count)
            assert hashlib.sha256(answer.content[64:]).hexdigest() == digest(count)
            assert not p.engine.requests and not p.engine.exchanges
            assert p.engine.budget.used == 0 and p.engine.budget.most_used < 1 * MIB

    run(test())


def test_what_a_slow_client_does_not_read_stays_with_the_server() -> None:
    # Guards against memory that grows by the difference of the two sides' speeds.
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
        async with served(handler) as p:
            client = await p.client()
            client.send(x_call_id="slow")
            line, told = await read_head(client.reader)
            assert "200" in line and int(told["content-length"]) == 32 * MIB
            await asyncio.sleep(0.5)
            here = next(iter(p.frontend.clients))
            # Nor may the kernel hold so much that a slow reader looks like one that has stopped.
            sock = here.transport.get_extra_info("socket")
            assert sock.getsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF) <= 2 * limits.CLIENT_SEND_BUFFER_BYTES
            assert (
                here.transport.get_write_buffer_size()
                <= limits.CLIENT_WRITE_BUFFER_BYTES + 4 * limits.SERVER_RECEIVE_BUFFER_BYTES
            )
            assert sent < 24 * MIB  # the rest is held back there; kernels hold some MB
            whole = hashlib.sha256(await client.reader.readexactly(32 * MIB))
            assert whole.hexdigest() == digest(512)
            client.close()

    run(test())


@pytest.mark.parametrize("way", ["length", "chunked"])
def test_an_answer_that_breaks_off_is_seen_to_be_broken(way: str) -> None:
    # Guards against a part of an answer that passes for all of it.
    async def test() -> None:
        async with proxy() as p:
            client = await p.client()
            client.send(x_call_id="broken")
            call = await p.backends[0].calls.get()
            head = {"length": "content-length: 400000", "chunked": "transfer-encoding: chunked"}
            call.writer.write(f"HTTP/1.1 200 OK\r\n{head.get(way, 'connection: close')}\r\n\r\n".encode())
            body = b"x" * 100_000
            call.writer.write(b"%x\r\n%b\r\n" % (len(body), body) if way == "chunked" else body)
            await call.writer.drain()
            line, told = await read_head(client.reader)
            assert "200" in line
            call.writer.transport.abort()
            if "content-length" in told:
                with pytest.raises((asyncio.IncompleteReadError, ConnectionError)):
                    await client.reader.readexactly(400_000)
            else:
                assert told["transfer-encoding"] == "chunked"
                try:
                    rest = await client.reader.read()
                except ConnectionError:
                    rest = b""
                assert not rest.endswith(b"0\r\n\r\n")
            while p.engine.requests:
                await asyncio.sleep(0)
            client.close()

    run(test())


def test_an_answer_up_to_the_close_comes_whole_where_the_head_says_so() -> None:
    async def test() -> None:
        async with proxy() as p:
            client = await p.client()
            client.send(x_call_id="close")
            call = await p.backends[0].calls.get()
            call.writer.write(b"HTTP/1.1 200 OK\r\nconnection: close\r\n\r\nshort")
            call.writer.close()
            assert (await client.reply()).body == b"short"
            # Without that word it may be a head cut short: such an answer has failed.
            client.send(x_call_id="close-2")
            call = await p.backends[0].calls.get()
            call.writer.write(b"HTTP/1.1 200 OK\r\n\r\nshort")
            assert (await client.reply()).status == 504
            client.close()

    run(test())


def test_chunks_that_come_slowly_begin_to_go_out_before_their_end(monkeypatch: pytest.MonkeyPatch) -> None:
    # Guards against an answer whose first bytes wait for its last.
    monkeypatch.setattr(node_module, "GATHER_TIMEOUT_S", 0.01)

    async def test() -> None:
        async with proxy() as p:
            client = await p.client()
            client.send(x_call_id="drip")
            call = await p.backends[0].calls.get()
            call.writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5;x=y\r\nfirst\r\n")
            line, told = await read_head(client.reader)
            assert "200" in line and told["transfer-encoding"] == "chunked"
            assert await client.reader.readexactly(10) == b"5\r\nfirst\r\n"
            call.writer.write(b"4\r\nlast\r\n0\r\nX-Sum: 1\r\n\r\n")
            assert await client.reader.readexactly(14) == b"4\r\nlast\r\n0\r\n\r\n"
            assert (await client.ask("/health/ready", "GET")).status == 200
            client.close()

    run(test())


@pytest.mark.parametrize("held", [True, False])
def test_an_upload_whose_server_dies_before_its_end_never_ran(held: bool) -> None:
    # It may go to another server as long as all of it is held here, else it is refused: both are harmless.
    async def test() -> None:
        async with proxy(2) as p:
            client = await p.client()
            size = 200_000
            client.send(x_call_id="up", content_length=str(size))
            client.writer.write(b"a" * (60_000 if held else 150_000))
            await client.writer.drain()
            while not (writers := [w for peer in p.backends for w in peer.writers]):
                await asyncio.sleep(0.001)
            if held:
                await until_uploading(p)
            else:
                while not p.engine.exchanges["up"].upload.gone:
                    await asyncio.sleep(0.001)
            writers[0].transport.abort()
            if held:
                while p.backends[0].connections + p.backends[1].connections < 2:
                    await asyncio.sleep(0.001)
                client.writer.write(b"a" * (size - 60_000))
                calls = [asyncio.create_task(peer.calls.get()) for peer in p.backends]
                done, _ = await asyncio.wait(calls, return_when=asyncio.FIRST_COMPLETED)
                call = done.pop().result()
                assert call.body == b"a" * size
                call.reply(b"once")
                assert (await client.reply()).body == b"once"
                for task in calls:
                    task.cancel()
            else:
                reply = await client.reply()
                assert reply.status in (503, 504) and reply.headers["connection"] == "close"
                assert all(peer.calls.empty() for peer in p.backends)
            client.close()

    run(test())


async def until_uploading(p: Proxy) -> None:
    while not (exchange := p.engine.exchanges.get("up")) or exchange.node is None or exchange.upload.waiting:
        await asyncio.sleep(0.001)


def test_a_long_request_waits_for_the_answer_before_it_and_the_next_for_its_own() -> None:
    async def test() -> None:
        async with proxy() as p:
            client = await p.client()
            client.send(x_call_id="p1")
            client.send(x_call_id="p2", body=b"b" * 300_000)
            client.send(x_call_id="p3", body=b"c" * (MAX_BODY + 1))
            client.send(x_call_id="p4", body=b"d")
            for number, body in ((1, b""), (2, b"b" * 300_000), (3, b"c" * (MAX_BODY + 1)), (4, b"d")):
                call = await p.backends[0].calls.get()
                assert (call.headers["x-call-id"], call.body) == (f"p{number}", body)
                assert p.backends[0].calls.empty()
                call.reply(b"%d" % number)
                assert (await client.reply()).body == b"%d" % number
            client.close()

    run(test())


def test_forms_of_http_that_are_rare_and_allowed() -> None:
    # Guards against white space around values that fails a check: it is no part of them.
    async def test() -> None:
        async with proxy() as p:
            client = await p.client()
            client.writer.write(
                b"\r\nPOST /answer HTTP/1.1\r\nhost:a \t\r\nX-CALL-ID:\tw1  \r\nx-budget-ms: 20000 \r\n"
                b"x-route-hash: 7f3a \r\nTransfer-Encoding:  Chunked \r\nTrailer: x-sum\r\n\r\n"
                b'3;a="b"\r\nabc\r\n0\r\nx-sum: 5\r\n\r\n'
            )
            call = await p.backends[0].calls.get()
            assert (call.headers["x-call-id"], call.body) == ("w1", b"abc")
            assert "x-sum" not in call.headers
            call.reply(headers={"content-type": "a/b  "})
            assert (await client.reply()).status == 200
            client.writer.write(
                b"POST /answer HTTP/1.1\r\nhost: a\r\nx-call-id: w2\r\nx-budget-ms: 20000\r\n"
                b"expect: 100-continue\r\ncontent-length: 100000 \r\n\r\n"
            )
            assert await client.reader.readuntil(b"\r\n\r\n") == b"HTTP/1.1 100 Continue\r\n\r\n"
            client.writer.write(b"e" * 100_000)
            call = await p.backends[0].calls.get()
            assert call.body == b"e" * 100_000
            call.reply()
            assert (await client.reply()).status == 200
            client.close()

    run(test())


@pytest.mark.parametrize(
    ("status", "sent"),
    [
        (413, b"content-length: %d\r\n\r\n" % (limits.MAX_LONG_BODY + 1)),
        (400, b"content-length: 100000\r\ntransfer-encoding: chunked\r\n\r\n"),
        (400, b"transfer-encoding: chunked\r\n\r\n" + b"11170\r\n" + b"z" * 70_000 + b"\r\nnoise\r\n"),
    ],
)
def test_long_requests_that_can_not_be_read_are_told_so(status: int, sent: bytes) -> None:
    async def test() -> None:
        async with proxy() as p:
            client = await p.client()
            client.writer.write(
                b"POST /answer HTTP/1.1\r\nhost: a\r\nx-call-id: n1\r\nx-budget-ms: 9000\r\n" + sent
            )
            reply = await client.reply()
            assert (reply.status, reply.headers["connection"]) == (status, "close")
            assert p.backends[0].calls.empty()
            client.close()

    run(test())


def test_a_short_body_has_time_as_long_as_it_moves_and_a_head_has_its_own(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(frontend_module, "REQUEST_READ_TIMEOUT_S", 0.1)
    monkeypatch.setattr(frontend_module, "BODY_IDLE_TIMEOUT_S", 0.4)
    monkeypatch.setattr(frontend_module, "SWEEP_INTERVAL_S", 0.02)

    async def test() -> None:
        async with proxy() as p:
            slow, stalls, head = [await p.client() for _ in range(3)]
            head.writer.write(b"POST /answer HTTP/1.1\r\nhost: a\r\n")
            for client, name in ((slow, "m1"), (stalls, "m2")):
                client.send(x_call_id=name, content_length="20")
            for _ in range(20):
                await asyncio.sleep(0.02)
                slow.writer.write(b"m")
            call = await p.backends[0].calls.get()
            assert call.body == b"m" * 20
            call.reply()
            assert (await slow.reply()).status == 200
            assert (await stalls.reply()).status == 408
            assert (await head.reply()).status == 408
            for client in (slow, stalls, head):
                client.close()

    run(test())


def test_clients_that_leave_or_stall_within_a_long_body_cost_their_server_nothing_more(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def test() -> None:
        async with proxy() as p:
            up, down = await p.client(), await p.client()
            up.send(x_call_id="up", content_length="900000")
            up.writer.write(b"u" * 300_000)
            down.send(x_call_id="down")
            call = await p.backends[0].calls.get()
            call.writer.write(b"HTTP/1.1 200 OK\r\ncontent-length: 900000\r\n\r\n" + b"d" * 300_000)
            await read_head(down.reader)
            assert p.engine.open_requests() == 1  # the upload is not here whole
            up.writer.transport.abort()
            down.writer.transport.abort()
            await call.closed.wait()
            while p.engine.requests or p.engine.exchanges:
                await asyncio.sleep(0)
            assert p.engine.budget.used == 0
            servers = p.engine.balancer.servers.values()
            assert all(s.inflight == s.transfers == s.transfer_bytes == 0 for s in servers)

    run(test())


def test_what_a_client_sends_byte_by_byte_is_the_same_request() -> None:
    async def test() -> None:
        async with proxy() as p:
            client: Client = await p.client()
            whole = b"POST /answer HTTP/1.1\r\nhost: a\r\nx-call-id: b1\r\nx-budget-ms: 20000\r\n"
            whole += b"transfer-encoding: chunked\r\n\r\n4\r\nabcd\r\n3\r\nefg\r\n0\r\n\r\n"
            for place in range(len(whole)):
                client.writer.write(whole[place : place + 1])
                await asyncio.sleep(0)
            call = await p.backends[0].calls.get()
            assert call.body == b"abcdefg"
            answer = b"HTTP/1.1 200 OK\r\ncontent-length: 7\r\n\r\n" + call.body
            for place in range(len(answer)):
                call.writer.write(answer[place : place + 1])
                await asyncio.sleep(0)
            assert (await client.reply()).body == b"abcdefg"
            client.close()

    run(test())
