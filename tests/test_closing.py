"""Where the end of a connection and what comes on it cross: before it is answered, behind it goes nowhere."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Iterator
from contextlib import contextmanager

import pytest

from flintlatch.net import frontend as frontend_module
from flintlatch.net.frontend import Client as ServedClient
from tests.loopback import Proxy, proxy, run
from tests.test_leaving import head, settled, until


@contextmanager
def raw(p: Proxy) -> Iterator[socket.socket]:
    """A connection whose bytes are in the proxy's kernel when `sendall` returns, and unread until a turn."""
    host, port = p.frontend.address.split(":")
    sock = socket.create_connection((host, int(port)))
    try:
        yield sock
    finally:
        sock.close()


async def read(sock: socket.socket) -> bytes:
    """All that comes until the end of the connection."""
    sock.setblocking(False)
    loop, got = asyncio.get_running_loop(), bytearray()
    while data := await loop.sock_recv(sock, 65536):
        got += data
    return bytes(got)


async def served(p: Proxy) -> ServedClient:
    await until(lambda: p.frontend.clients)
    (client,) = p.frontend.clients
    return client


@pytest.fixture(autouse=True)
def no_sweeps(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(frontend_module, "SWEEP_INTERVAL_S", 1000.0)


@pytest.mark.parametrize("kept", [False, True])
def test_a_request_that_came_in_the_turn_of_the_end_is_answered_first(kept: bool) -> None:
    """`kept`: it is the second on its connection; else a new one whose time for a head is over."""

    async def test() -> None:
        async with proxy() as p:
            with raw(p) as sock:
                client = await served(p)
                if kept:
                    sock.sendall(head("before"))
                    (await p.backends[0].calls.get()).reply(b"first")
                    await until(lambda: client in p.frontend.idle_clients)
                    sock.sendall(head("crossing"))
                    client.close_when_idle()
                else:
                    sock.sendall(head("crossing"))
                    client.on_read_timeout()
                call = await p.backends[0].calls.get()
                assert call.headers["x-call-id"] == "crossing"
                p.frontend.disable_keep_alive()
                call.reply(b"crossed")
                assert (await read(sock)).endswith(b"crossed")

    run(test())


def test_a_request_that_comes_behind_the_end_is_never_sent_on_and_its_client_sees_the_end() -> None:
    async def test() -> None:
        async with proxy() as p:
            with raw(p) as sock:
                client = await served(p)
                sock.sendall(head("before"))
                (await p.backends[0].calls.get()).reply(b"first")
                await until(lambda: client in p.frontend.idle_clients)
                client.close_when_idle()
                sock.sendall(head("crossing"))
                assert (await read(sock)).endswith(b"first")  # no reset takes the answer along
                await settled(p)
                assert p.backends[0].calls.empty()

    run(test())


def test_what_came_after_the_stop_has_its_final_answer_before_the_process_ends() -> None:
    """Its head was half here as the listeners closed, and its server does not answer in time."""

    async def test() -> None:
        async with proxy() as p:
            with raw(p) as sock:
                request = head("late")
                sock.sendall(request[:20])
                client = await served(p)
                await until(lambda: client.request_started)
                p.frontend.disable_keep_alive()
                stop = asyncio.create_task(p.frontend.finish(0.3))
                await until(lambda: not p.frontend.listeners)
                sock.sendall(request[20:])
                await p.backends[0].calls.get()
                async with asyncio.timeout(5):  # its own time runs for longer
                    answer = await read(sock)
                assert answer.startswith(b"HTTP/1.1 504 ") and b"connection: close" in answer
                await stop

    run(test())


def test_every_connection_sends_at_once() -> None:
    """TCP_NODELAY: small writes held back would go with a reset."""

    async def test() -> None:
        async with proxy() as p:
            with raw(p) as sock:
                client = await served(p)
                sock.sendall(head("one"))
                await p.backends[0].calls.get()
                (upstream,) = p.engine.backends.connections
                await until(lambda: p.engine.discovery is not None and p.engine.discovery.call is not None)
                assert p.engine.discovery is not None and p.engine.discovery.call is not None
                for transport in (client.transport, upstream.transport, p.engine.discovery.call.transport):
                    assert transport is not None
                    found = transport.get_extra_info("socket")
                    assert found.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY) == 1

    run(test())


def test_a_connection_that_is_closing_already_is_left_to_its_end() -> None:
    """Its client left in the turn of a stop: it must not break the walk over all that rest."""

    async def test() -> None:
        async with proxy() as p:
            with raw(p) as sock:
                client = await served(p)
                sock.shutdown(socket.SHUT_WR)
                await until(lambda: client.transport.is_closing())
                client.close_when_idle()
                assert client not in p.frontend.lingering_clients
                await p.frontend.finish(5.0)
                assert not p.frontend.clients

    run(test())
