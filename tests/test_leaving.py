"""A client that has closed its connection is sent on no further, wherever its request is by then.

Each crossing is forced: the kernel has the client's end before the proxy's loop can have read it."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Awaitable, Callable
from typing import Any

import pytest

from flintlatch.net import backends as backends_module
from flintlatch.net import frontend as frontend_module
from flintlatch.net.backends import Backends, Connection
from flintlatch.net.frontend import Client as ServedClient
from flintlatch.net.http1 import peer_closed
from tests.loopback import Client, Proxy, proxy, run

RESET = b"\x01\x00\x00\x00\x00\x00\x00\x00"  # SO_LINGER on, 0 s: close resets


def head(call_id: str, path: str = "/lookup", pad: int = 0) -> bytes:
    return (
        f"GET {path} HTTP/1.1\r\nhost: x\r\nx-call-id: {call_id}\r\nx-budget-ms: 20000\r\n"
        f"x-pad: {'p' * pad}\r\n\r\n"
    ).encode()


async def until(true: Callable[[], Any]) -> None:
    while not true():
        await asyncio.sleep(0)


async def settled(p: Proxy) -> None:
    """No request is open, and the backends have had the turns to read whatever was written to them."""
    await until(lambda: not p.engine.exchanges and not p.engine.requests)
    for _ in range(20):
        await asyncio.sleep(0)


async def paused(p: Proxy, client: Client) -> ServedClient:
    """A client that has sent so much behind its request that it is not read any further."""
    for number in range(6):
        client.writer.write(head(f"behind-{number}", pad=3000))
    await until(lambda: p.frontend.paused_clients)
    (served,) = p.frontend.paused_clients
    return served


async def kept(p: Proxy, client: Client) -> None:
    """A connection to the backend that the next attempt is written to in the turn of its decision."""
    client.send("/lookup", "GET", x_call_id="before")
    (await p.backends[0].calls.get()).reply()
    assert (await client.reply()).status == 200
    await until(lambda: any(backend.idle for backend in p.engine.backends.backends.values()))


@pytest.fixture(autouse=True)
def no_sweeps(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(frontend_module, "SWEEP_INTERVAL_S", 1000.0)
    monkeypatch.setattr(backends_module, "REUSE_DELAY_MS", 0.0)


@pytest.mark.parametrize("how", ["fin", "rst"])
def test_no_attempt_follows_a_failed_one_when_its_client_left_unread(how: str) -> None:
    async def test() -> None:
        async with proxy() as p:
            client = await p.client()
            client.writer.write(head("first"))
            call = await p.backends[0].calls.get()
            served = await paused(p, client)
            if how == "rst":
                sock = client.writer.get_extra_info("socket")
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
            client.writer.transport.abort()
            await until(lambda: peer_closed(served.transport))
            call.writer.transport.abort()  # a reset: what is safe would be sent again
            await settled(p)
            assert p.backends[0].calls.empty()

    run(test())


def test_what_was_sent_behind_an_answered_request_goes_nowhere_when_its_client_left_unread() -> None:
    async def test() -> None:
        async with proxy() as p:
            client = await p.client()
            await kept(p, client)
            client.writer.write(head("first"))
            call = await p.backends[0].calls.get()
            served = await paused(p, client)
            client.writer.transport.abort()
            await until(lambda: peer_closed(served.transport))
            call.reply()
            await until(lambda: not p.frontend.clients)
            await settled(p)
            assert p.backends[0].calls.empty()

    run(test())


def test_a_connection_that_comes_up_after_its_client_left_carries_nothing(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    gate = asyncio.Event()

    async def late(pool: Backends, connection: Connection) -> None:
        await gate.wait()
        await opened(pool, connection)

    opened: Callable[[Backends, Connection], Awaitable[None]] = Backends._open
    monkeypatch.setattr(Backends, "_open", late)

    async def test() -> None:
        async with proxy() as p:
            client = await p.client()
            client.writer.write(head("first"))
            await until(lambda: p.engine.backends.connections)
            served = await paused(p, client)
            client.writer.transport.abort()
            await until(lambda: peer_closed(served.transport))
            gate.set()
            await settled(p)
            assert p.backends[0].calls.empty()

    run(test())


@pytest.mark.parametrize("clients", [1, 200])
@pytest.mark.parametrize("how", ["fin", "rst"])
def test_who_left_before_being_accepted_is_not_sent_on(how: str, clients: int) -> None:
    async def test() -> None:
        async with proxy() as p:
            await kept(p, await p.client())
            host, port = p.frontend.address.split(":")
            for number in range(clients):  # all in one turn: the proxy has accepted none of them
                sock = socket.create_connection((host, int(port)))
                sock.sendall(head(f"id-{number}"))
                if how == "rst":
                    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
                sock.close()
            stays = await p.client()
            stays.send("/lookup", "GET", x_call_id="stays")
            call = await p.backends[0].calls.get()
            assert call.headers["x-call-id"] == "stays"
            call.reply()
            assert (await stays.reply()).status == 200
            await settled(p)
            assert p.backends[0].calls.empty()

    run(test())


def test_a_client_that_ends_its_sending_under_a_long_answer_frees_its_server_at_once() -> None:
    """It reads nothing: what it has not taken must not keep its connection, nor the server's."""

    async def test() -> None:
        async with proxy() as p:
            host, port = p.frontend.address.split(":")
            sock = socket.socket()
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            sock.connect((host, int(port)))
            sock.sendall(head("long"))
            call = await p.backends[0].calls.get()
            call.writer.write(b"HTTP/1.1 200 X\r\ncontent-length: 30000000\r\n\r\n" + bytes(20_000_000))
            await until(lambda: any(c.transport.get_write_buffer_size() for c in p.frontend.clients))
            sock.shutdown(socket.SHUT_WR)
            async with asyncio.timeout(5):  # before anything counts as stalled
                await call.closed.wait()
            await settled(p)
            sock.close()

    run(test())


def test_clients_that_are_not_read_are_looked_at_now_and_then(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(frontend_module, "SWEEP_INTERVAL_S", 0.01)

    async def test() -> None:
        async with proxy() as p:
            client = await p.client()
            client.writer.write(head("first"))
            call = await p.backends[0].calls.get()
            await paused(p, client)
            client.writer.transport.abort()
            async with asyncio.timeout(5):  # long before its server answers or its time is over
                await call.closed.wait()
            await settled(p)

    run(test())
