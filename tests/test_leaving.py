"""A request is not sent to a server any more once its client has closed the connection.

Each race is forced: the kernel has the client's close before the proxy's loop can read it.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Awaitable, Callable
from typing import Any

import pytest

from flintlatch.net import backends as backends_module
from flintlatch.net import frontend as frontend_module
from flintlatch.net.backends import Backends, Connection
from flintlatch.net.client import Client as AcceptedClient
from flintlatch.net.receiving import peer_closed
from tests.loopback import Client, Proxy, proxy, run

LINGER_RESET = b"\x01\x00\x00\x00\x00\x00\x00\x00"  # SO_LINGER on, 0 s: close resets


def request_head(call_id: str, path: str = "/lookup", pad: int = 0) -> bytes:
    return (
        f"GET {path} HTTP/1.1\r\nhost: x\r\nx-call-id: {call_id}\r\nx-budget-ms: 20000\r\n"
        f"x-pad: {'p' * pad}\r\n\r\n"
    ).encode()


async def until(condition: Callable[[], Any]) -> None:
    while not condition():
        await asyncio.sleep(0)


async def until_settled(p: Proxy) -> None:
    """Waits until no request is open and the backends have had loop turns to read what was written to
    them."""
    await until(lambda: not p.engine.exchanges and not p.engine.requests)
    for _ in range(20):
        await asyncio.sleep(0)


async def paused_client(p: Proxy, client: Client) -> AcceptedClient:
    """Sends so many requests behind the first one that reading from the client is paused."""
    for number in range(6):
        client.writer.write(request_head(f"behind-{number}", pad=3000))
    await until(lambda: p.frontend.clients.paused)
    (accepted,) = p.frontend.clients.paused
    return accepted


async def open_backend_connection(p: Proxy, client: Client) -> None:
    """Opens a connection to the backend, on which the next attempt is written in the loop turn of its
    decision."""
    client.send("/lookup", "GET", x_call_id="before")
    (await p.backends[0].requests.get()).reply()
    assert (await client.reply()).status == 200
    await until(lambda: any(backend.idle_connections for backend in p.engine.backends.backends.values()))


@pytest.fixture(autouse=True)
def without_sweeps(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(frontend_module, "SWEEP_INTERVAL_S", 1000.0)
    monkeypatch.setattr(backends_module, "REUSE_DELAY_MS", 0.0)


@pytest.mark.parametrize("how", ["fin", "rst"])
def test_no_retry_after_the_client_left_unnoticed(how: str) -> None:
    async def test() -> None:
        async with proxy() as p:
            client = await p.client()
            client.writer.write(request_head("first"))
            received = await p.backends[0].requests.get()
            accepted = await paused_client(p, client)
            if how == "rst":
                sock = client.writer.get_extra_info("socket")
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
            client.writer.transport.abort()
            await until(lambda: peer_closed(accepted.transport))
            received.writer.transport.abort()  # a reset: a safe request would be retried
            await until_settled(p)
            assert p.backends[0].requests.empty()

    run(test())


def test_pipelined_requests_are_not_sent_after_the_client_left_unnoticed() -> None:
    async def test() -> None:
        async with proxy() as p:
            client = await p.client()
            await open_backend_connection(p, client)
            client.writer.write(request_head("first"))
            received = await p.backends[0].requests.get()
            accepted = await paused_client(p, client)
            client.writer.transport.abort()
            await until(lambda: peer_closed(accepted.transport))
            received.reply()
            await until(lambda: not p.frontend.clients)
            await until_settled(p)
            assert p.backends[0].requests.empty()

    run(test())


def test_a_connection_established_after_its_client_left_carries_no_request(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    gate = asyncio.Event()

    async def delayed_open(pool: Backends, connection: Connection) -> None:
        await gate.wait()
        await original_open(pool, connection)

    original_open: Callable[[Backends, Connection], Awaitable[None]] = Backends._open
    monkeypatch.setattr(Backends, "_open", delayed_open)

    async def test() -> None:
        async with proxy() as p:
            client = await p.client()
            client.writer.write(request_head("first"))
            await until(lambda: p.engine.backends.connections)
            accepted = await paused_client(p, client)
            client.writer.transport.abort()
            await until(lambda: peer_closed(accepted.transport))
            gate.set()
            await until_settled(p)
            assert p.backends[0].requests.empty()

    run(test())


@pytest.mark.parametrize("clients", [1, 200])
@pytest.mark.parametrize("how", ["fin", "rst"])
def test_requests_of_clients_that_left_before_they_were_accepted_are_not_sent(how: str, clients: int) -> None:
    async def test() -> None:
        async with proxy() as p:
            await open_backend_connection(p, await p.client())
            host, port = p.frontend.address.split(":")
            for number in range(clients):  # in one loop turn: the proxy has accepted none of them
                sock = socket.create_connection((host, int(port)))
                sock.sendall(request_head(f"id-{number}"))
                if how == "rst":
                    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
                sock.close()
            remaining = await p.client()
            remaining.send("/lookup", "GET", x_call_id="stays")
            received = await p.backends[0].requests.get()
            assert received.headers["x-call-id"] == "stays"
            received.reply()
            assert (await remaining.reply()).status == 200
            await until_settled(p)
            assert p.backends[0].requests.empty()

    run(test())


def test_a_half_close_during_a_long_response_frees_the_server_at_once() -> None:
    """The client reads nothing: unread bytes must not keep its connection or the server's connection open."""

    async def test() -> None:
        async with proxy() as p:
            host, port = p.frontend.address.split(":")
            sock = socket.socket()
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            sock.connect((host, int(port)))
            sock.sendall(request_head("long"))
            received = await p.backends[0].requests.get()
            received.writer.write(b"HTTP/1.1 200 X\r\ncontent-length: 30000000\r\n\r\n" + bytes(20_000_000))
            await until(lambda: any(c.transport.get_write_buffer_size() for c in p.frontend.clients))
            sock.shutdown(socket.SHUT_WR)
            async with asyncio.timeout(5):  # before a side counts as stalled
                await received.closed.wait()
            await until_settled(p)
            sock.close()

    run(test())


def test_paused_clients_are_checked_for_a_close_regularly(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(frontend_module, "SWEEP_INTERVAL_S", 0.01)

    async def test() -> None:
        async with proxy() as p:
            client = await p.client()
            client.writer.write(request_head("first"))
            received = await p.backends[0].requests.get()
            await paused_client(p, client)
            client.writer.transport.abort()
            async with asyncio.timeout(5):  # long before the server answers or the deadline
                await received.closed.wait()
            await until_settled(p)

    run(test())
