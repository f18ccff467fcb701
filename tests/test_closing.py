"""Races between closing a connection and a request on it: a request that arrives before the close is
answered, a later one is never forwarded."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Iterator
from contextlib import contextmanager

import pytest

from flintlatch.net import frontend as frontend_module
from flintlatch.net.client import Client as AcceptedClient
from flintlatch.net.connections import ConnectionState
from tests.loopback import Proxy, proxy, run
from tests.test_leaving import request_head, until, until_settled


@contextmanager
def raw_connection(p: Proxy) -> Iterator[socket.socket]:
    """A connection whose bytes are in the kernel when `sendall` returns, and unread until the next loop
    turn."""
    host, port = p.frontend.address.split(":")
    sock = socket.create_connection((host, int(port)))
    try:
        yield sock
    finally:
        sock.close()


async def read_to_end(sock: socket.socket) -> bytes:
    """Reads to the end of the connection."""
    sock.setblocking(False)
    loop, data_read = asyncio.get_running_loop(), bytearray()
    while data := await loop.sock_recv(sock, 65536):
        data_read += data
    return bytes(data_read)


async def accepted_client(p: Proxy) -> AcceptedClient:
    await until(lambda: p.frontend.clients)
    (client,) = p.frontend.clients
    return client


@pytest.fixture(autouse=True)
def without_sweeps(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(frontend_module, "SWEEP_INTERVAL_S", 1000.0)


@pytest.mark.parametrize("keep_alive", [False, True])
def test_a_request_that_arrives_in_the_turn_of_the_close_is_answered_first(keep_alive: bool) -> None:
    """`keep_alive`: the second request of a connection; otherwise the first one, after the timeout for its
    head."""

    async def test() -> None:
        async with proxy() as p:
            with raw_connection(p) as sock:
                client = await accepted_client(p)
                if keep_alive:
                    sock.sendall(request_head("before"))
                    (await p.backends[0].requests.get()).reply(b"first")
                    await until(lambda: client.state is ConnectionState.IDLE)
                    sock.sendall(request_head("crossing"))
                    client.close_when_idle()
                else:
                    sock.sendall(request_head("crossing"))
                    client.on_read_timeout()
                received = await p.backends[0].requests.get()
                assert received.headers["x-call-id"] == "crossing"
                p.frontend.disable_keep_alive()
                received.reply(b"crossed")
                assert (await read_to_end(sock)).endswith(b"crossed")

    run(test())


def test_a_request_after_the_close_is_never_forwarded_and_its_client_sees_the_close() -> None:
    async def test() -> None:
        async with proxy() as p:
            with raw_connection(p) as sock:
                client = await accepted_client(p)
                sock.sendall(request_head("before"))
                (await p.backends[0].requests.get()).reply(b"first")
                await until(lambda: client.state is ConnectionState.IDLE)
                client.close_when_idle()
                sock.sendall(request_head("crossing"))
                assert (await read_to_end(sock)).endswith(b"first")  # the response is not lost in a reset
                await until_settled(p)
                assert p.backends[0].requests.empty()

    run(test())


def test_a_request_completed_after_the_stop_is_answered_before_the_process_ends() -> None:
    """Half of its head had arrived when the listeners were closed, and its server does not answer in time."""

    async def test() -> None:
        async with proxy() as p:
            with raw_connection(p) as sock:
                request = request_head("late")
                sock.sendall(request[:20])
                client = await accepted_client(p)
                await until(lambda: client.request_started)
                p.frontend.disable_keep_alive()
                stop = asyncio.create_task(p.frontend.finish(0.3))
                await until(lambda: not p.frontend.listeners)
                sock.sendall(request[20:])
                await p.backends[0].requests.get()
                async with asyncio.timeout(5):  # its own deadline is later
                    answer = await read_to_end(sock)
                assert answer.startswith(b"HTTP/1.1 504 ") and b"connection: close" in answer
                await stop

    run(test())


def test_every_connection_has_tcp_nodelay() -> None:
    """TCP_NODELAY is set: otherwise a reset could discard small writes that the kernel holds back."""

    async def test() -> None:
        async with proxy() as p:
            with raw_connection(p) as sock:
                client = await accepted_client(p)
                sock.sendall(request_head("one"))
                await p.backends[0].requests.get()
                (upstream,) = p.engine.backends.connections
                await until(
                    lambda: p.engine.discovery is not None and p.engine.discovery.connection is not None
                )
                assert p.engine.discovery is not None and p.engine.discovery.connection is not None
                for transport in (
                    client.transport,
                    upstream.transport,
                    p.engine.discovery.connection.transport,
                ):
                    assert transport is not None
                    tcp_socket = transport.get_extra_info("socket")
                    assert tcp_socket.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY) == 1

    run(test())


def test_a_connection_that_is_already_closing_is_left_alone() -> None:
    """The client left in the loop turn of the stop: this must not end the iteration over the other
    clients."""

    async def test() -> None:
        async with proxy() as p:
            with raw_connection(p) as sock:
                client = await accepted_client(p)
                sock.shutdown(socket.SHUT_WR)
                await until(lambda: client.transport.is_closing())
                client.close_when_idle()
                assert client.state is not ConnectionState.LINGERING
                await p.frontend.finish(5.0)
                assert not p.frontend.clients

    run(test())
