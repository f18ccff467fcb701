"""Clients that read their responses slowly or not at all: responses stay whole, and nobody holds memory or a
place without an end."""

from __future__ import annotations

import asyncio
import socket

import pytest

from flintlatch.net import client as client_module
from flintlatch.net import connections as connections_module
from flintlatch.net import frontend as frontend_module
from flintlatch.net.client import Client as AcceptedClient
from flintlatch.net.connections import ConnectionState
from flintlatch.platform import limits
from tests.loopback import Proxy, proxy, run
from tests.test_leaving import request_head, until

RECEIVE_BUFFER_BYTES = 16 * 1024
# A response that has left its server while a part of it is still in the process.
LAST_PART_UNSENT_BYTES = 300_000


def reader_socket(p: Proxy) -> socket.socket:
    """A connection that takes few bytes unless the test reads."""
    host, port = p.frontend.address.split(":")
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    sock.connect((host, int(port)))
    sock.setblocking(False)
    return sock


def short_timeouts(monkeypatch: pytest.MonkeyPatch, stall_s: float) -> None:
    monkeypatch.setattr(frontend_module, "SWEEP_INTERVAL_S", 0.02)
    monkeypatch.setattr(connections_module, "LINGER_TIMEOUT_S", 0.05)
    monkeypatch.setattr(connections_module, "OUTPUT_STALL_TIMEOUT_S", stall_s)


async def answer(p: Proxy, size: int) -> None:
    received = await p.backends[0].requests.get()
    received.reply(received.headers["x-call-id"].encode() + b"." * size)


def test_a_client_that_closes_its_side_and_reads_nothing_is_ended(monkeypatch: pytest.MonkeyPatch) -> None:
    short_timeouts(monkeypatch, 0.3)

    async def test() -> None:
        async with proxy() as p:
            with reader_socket(p) as sock:
                sock.sendall(request_head("one"))
                await answer(p, LAST_PART_UNSENT_BYTES)
                (client,) = await all_clients(p)
                await until(lambda: client.state is ConnectionState.IDLE)
                assert client.transport.get_write_buffer_size()
                sock.shutdown(socket.SHUT_WR)
                async with asyncio.timeout(5.0):
                    await until(lambda: not p.frontend.clients)

    run(test())


def test_requests_behind_unread_responses_wait_and_take_no_memory(monkeypatch: pytest.MonkeyPatch) -> None:
    short_timeouts(monkeypatch, 30.0)

    async def test() -> None:
        async with proxy() as p:
            with reader_socket(p) as sock:
                (client,) = await all_clients(p)
                limit_send_buffer(client)
                sock.sendall(b"".join(request_head(f"r{n:02}") for n in range(30)))
                answering = asyncio.create_task(answer_each(p, 60_000))
                await until(client.waits_for_reader)
                for _ in range(100):
                    await asyncio.sleep(0.002)
                    unread = client.transport.get_write_buffer_size()
                    assert unread <= limits.CLIENT_WRITE_BUFFER_BYTES + 64 * 1024
                expected = 30 * 60_003
                data = await read_bodies(sock, expected)
                assert [data[n * 60_003 :][:3] for n in range(30)] == [b"r%02d" % n for n in range(30)]
                answering.cancel()

    run(test())


def test_an_upload_behind_a_response_that_is_read_slowly_has_not_timed_out(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    short_timeouts(monkeypatch, 30.0)
    monkeypatch.setattr(connections_module, "REQUEST_READ_TIMEOUT_S", 0.05)
    monkeypatch.setattr(client_module, "BODY_IDLE_TIMEOUT_S", 0.05)

    async def test() -> None:
        async with proxy() as p:
            with reader_socket(p) as sock:
                sock.sendall(request_head("one"))
                await answer(p, LAST_PART_UNSENT_BYTES)
                (client,) = await all_clients(p)
                await until(lambda: client.state is ConnectionState.IDLE)
                upload = b"POST /answer HTTP/1.1\r\nhost: a\r\nx-call-id: two\r\nx-budget-ms: 9000\r\n"
                sock.sendall(upload + b"content-length: 70000\r\n\r\n" + b"u" * 70_000)
                await asyncio.sleep(0.3)
                reading = asyncio.create_task(read_bodies(sock, LAST_PART_UNSENT_BYTES + 6))
                await answer(p, 0)
                assert (await reading).endswith(b"two")

    run(test())


def test_a_client_that_never_reads_is_ended_with_its_waiting_requests(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    short_timeouts(monkeypatch, 0.3)

    async def test() -> None:
        async with proxy() as p:
            with reader_socket(p) as sock:
                (client,) = await all_clients(p)
                limit_send_buffer(client)
                sock.sendall(b"".join(request_head(f"r{n}") for n in range(30)))
                answering = asyncio.create_task(answer_each(p, 60_000))
                async with asyncio.timeout(5.0):
                    await until(lambda: not p.frontend.clients)
                answering.cancel()

    run(test())


def test_one_connection_that_may_not_be_evicted_does_not_protect_the_others(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(connections_module, "EVICTION_GRACE_MS", 0.0)

    async def test() -> None:
        async with proxy() as p:
            p.frontend.max_connections = 2
            first, second = await p.client(), await p.client()
            await until(lambda: len(p.frontend.clients.members(ConnectionState.READING)) == 2)
            oldest = p.frontend.clients.members(ConnectionState.READING)[0]
            oldest.transport.pause_reading()  # as if the loop had not read it yet
            first.send("/health/ready", "GET")
            await until(lambda: not connections_module.may_be_evicted(oldest))
            third = await p.client()
            async with asyncio.timeout(1.0):
                assert (await third.ask("/health/ready", "GET")).status == 200
            assert await second.ended()
            oldest.transport.resume_reading()
            assert (await first.reply()).status == 200

    run(test())


def limit_send_buffer(client: AcceptedClient) -> None:
    """The kernel takes some MB for each client otherwise."""
    sock = client.transport.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, RECEIVE_BUFFER_BYTES)


async def all_clients(p: Proxy) -> list[AcceptedClient]:
    await until(lambda: len(p.frontend.clients))
    return list(p.frontend.clients)


async def answer_each(p: Proxy, size: int) -> None:
    while True:
        await answer(p, size)


async def read_bodies(sock: socket.socket, expected: int) -> bytes:
    """Reads responses until they hold `expected` bytes of bodies, and returns these."""
    loop, data, bodies = asyncio.get_running_loop(), b"", b""
    while len(bodies) < expected:
        data += await loop.sock_recv(sock, 65536)
        while b"\r\n\r\n" in data:
            head, _, rest = data.partition(b"\r\n\r\n")
            length = int(head.lower().partition(b"content-length: ")[2].split(b"\r\n")[0])
            if len(rest) < length:
                break
            bodies, data = bodies + rest[:length], rest[length:]
    return bodies
