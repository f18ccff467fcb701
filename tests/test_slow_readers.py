"""Responses that a client reads slowly on a connection that closes after them arrive whole, whatever closes
the connection, and a client that reads nothing holds up nobody for long."""

from __future__ import annotations

import asyncio
import signal
import socket
import time
from dataclasses import replace
from pathlib import Path

import pytest

from flintlatch.exchange import Phase, ProgressLimits
from flintlatch.exchange import Response as Head
from flintlatch.net import connections as connections_module
from flintlatch.net import frontend as frontend_module
from flintlatch.platform import front as front_module
from flintlatch.platform.limits import EXCHANGE_LIMITS
from tests.exchange.test_core import ExchangeDriver, Node
from tests.http.support import front, replying
from tests.loopback import Proxy, ScriptedServer, configuration, proxy, run, target
from tests.test_leaving import request_head, until
from tests.test_program import COMMAND, write_config
from tests.test_unread_responses import LAST_PART_UNSENT_BYTES, answer, reader_socket, short_timeouts

READ_BYTES, READ_PAUSE_S = 16 * 1024, 0.02
BODY_BYTES = LAST_PART_UNSENT_BYTES + len("slow")


async def read_slowly(sock: socket.socket, pause_s: float = READ_PAUSE_S) -> bytes:
    """The body of one response, read to the end of the connection in small steps."""
    loop, data = asyncio.get_running_loop(), bytearray()
    try:
        while piece := await loop.sock_recv(sock, READ_BYTES):
            data += piece
            await asyncio.sleep(pause_s)
    except ConnectionError:
        pass
    return bytes(data).partition(b"\r\n\r\n")[2]


def closing_request(call_id: str) -> bytes:
    return request_head(call_id).replace(b"\r\n\r\n", b"\r\nconnection: close\r\n\r\n")


async def response_handed_over(p: Proxy) -> None:
    """Answers a long response, of which the server has sent all and the client has read nothing."""
    await answer(p, LAST_PART_UNSENT_BYTES)
    await until(lambda: not p.engine.exchanges)


@pytest.mark.parametrize(
    "closed_by", ["request", "drain", "idle timeout", "stop", "successor", "end of a stop"]
)
def test_a_long_response_that_is_read_slowly_arrives_whole(
    closed_by: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    short_timeouts(monkeypatch, 5.0)
    if closed_by == "idle timeout":
        monkeypatch.setattr(frontend_module, "IDLE_TIMEOUT_S", 0.01)

    async def test() -> None:
        async with proxy() as p:
            with reader_socket(p) as sock:
                sock.sendall(closing_request("slow") if closed_by == "request" else request_head("slow"))
                await until(lambda: p.engine.exchanges)
                stop = None
                if closed_by == "drain":
                    p.frontend.start_drain()
                elif closed_by in ("stop", "successor", "end of a stop"):
                    p.frontend.disable_keep_alive(address_still_served=closed_by == "successor")
                    within_s = 0.05 if closed_by == "end of a stop" else 20.0
                    stop = asyncio.create_task(p.frontend.finish(within_s))
                await response_handed_over(p)
                reading = asyncio.create_task(read_slowly(sock))
                if stop is not None:
                    await stop
                    for client in p.frontend.clients:
                        client.transport.abort()  # as the end of the process does
                assert len(await reading) == BODY_BYTES

    run(test())


def test_a_slow_reader_is_not_evicted_for_a_new_connection(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(connections_module, "EVICTION_GRACE_MS", 0.0)

    async def test() -> None:
        async with proxy() as p:
            p.frontend.max_connections = 1
            with reader_socket(p) as sock:
                sock.sendall(closing_request("slow"))
                await response_handed_over(p)
                other = await p.client()
                other.send("/health/ready", "GET")
                assert len(await read_slowly(sock)) == BODY_BYTES
                assert (await other.reply()).status == 200

    run(test())


def test_a_long_response_during_an_upload_arrives_whole(monkeypatch: pytest.MonkeyPatch) -> None:
    """The client goes on sending more than is read and dropped."""
    short_timeouts(monkeypatch, 5.0)

    async def test() -> None:
        async with proxy() as p:
            with reader_socket(p) as sock:
                sock.sendall(
                    b"POST /answer HTTP/1.1\r\nhost: a\r\nx-call-id: slow\r\nx-budget-ms: 9000\r\n"
                    b"content-length: 9000000\r\n\r\n" + b"u" * 100_000
                )
                await until(lambda: p.backends[0].writers)
                head = b"HTTP/1.1 200 X\r\ncontent-length: %d\r\n\r\n" % BODY_BYTES
                p.backends[0].writers[0].write(head + b"." * BODY_BYTES)
                sending = asyncio.create_task(asyncio.get_running_loop().sock_sendall(sock, b"u" * 8_000_000))
                assert len(await read_slowly(sock)) == BODY_BYTES
                sending.cancel()

    run(test())


def test_a_client_that_reads_nothing_holds_its_place_and_a_stop_for_a_limited_time(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    short_timeouts(monkeypatch, 0.3)

    async def test() -> None:
        async with proxy() as p:
            with reader_socket(p) as sock:
                sock.sendall(closing_request("unread"))
                await response_handed_over(p)
                p.frontend.disable_keep_alive()
                async with asyncio.timeout(2.0):
                    await p.frontend.finish(0.05)
                    await until(lambda: not p.frontend.clients)

    run(test())


def test_a_client_that_reads_without_an_end_holds_a_stop_for_a_limited_time(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(frontend_module, "FINAL_TRANSFERS_S", 0.2)

    async def test() -> None:
        async with proxy() as p:
            with reader_socket(p) as sock:
                sock.sendall(request_head("slow"))
                await answer(p, 20_000_000)
                p.frontend.disable_keep_alive()
                reading = asyncio.create_task(read_slowly(sock))
                async with asyncio.timeout(2.0):
                    await p.frontend.finish(0.05)
                reading.cancel()

    run(test())


def test_a_long_response_over_ordinary_http_arrives_whole(monkeypatch: pytest.MonkeyPatch) -> None:
    short_timeouts(monkeypatch, 5.0)
    reply = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % BODY_BYTES + b"." * BODY_BYTES

    async def test() -> None:
        async with front(replying(reply)) as p:
            host, _, port = p.frontend.address.rpartition(":")
            with socket.socket() as sock:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, READ_BYTES)
                sock.connect((host, int(port)))
                sock.setblocking(False)
                sock.sendall(b"GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")
                assert len(await read_slowly(sock)) == BODY_BYTES

    run(test())


def test_the_program_ends_only_after_a_response_that_is_still_read(tmp_path: Path) -> None:
    """The response takes longer than the whole time of a stop."""

    async def test() -> None:
        backend = await ScriptedServer().open()
        config = configuration("127.0.0.1:1", target("s", backend.address))
        program = await asyncio.create_subprocess_exec(
            *COMMAND, env=write_config(tmp_path, config), stderr=asyncio.subprocess.PIPE
        )
        assert program.stderr is not None
        host, _, port = (await program.stderr.readline()).decode().split()[-1].rpartition(":")
        with socket.socket() as sock:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, READ_BYTES)
            sock.connect((host, int(port)))
            sock.setblocking(False)
            sock.sendall(request_head("slow"))
            (await backend.requests.get()).reply(b"." * 600_000)
            await asyncio.sleep(0.1)
            program.send_signal(signal.SIGTERM)
            assert len(await read_slowly(sock, 0.15)) == 600_000
        assert await program.wait() == 0
        backend.close()

    run(test())


def platform_exchange(owner_node: Node) -> ExchangeDriver:
    """An exchange with the limits of the platform's protocol, whose response has begun."""
    driver = ExchangeDriver(EXCHANGE_LIMITS)
    driver.exchange.receive_end(0.0)
    driver.node = owner_node
    driver.exchange.attach(driver.now, owner_node)
    driver.exchange.begin(driver.now, owner_node, Head(200, [], length=16 * 1024 * 1024))
    return driver


@pytest.mark.parametrize(("step_bytes", "step_s"), [(95_232, 23.3), (265_856, 80.0), (2_097_152, 512.0)])
def test_a_reader_of_4_kib_a_second_is_seen_in_steps_and_not_cut_off(step_bytes: int, step_s: float) -> None:
    """review/9: a client's machine acknowledges bytes only once a part of its receive buffer is free."""
    node = Node()
    driver = platform_exchange(node)
    driver.exchange.pieces(driver.now, node, [b"x" * 300_000])
    for _ in range(10):
        for _ in range(int(step_s)):
            assert driver.tick(1.0) is None
        taken = min(step_bytes, driver.client.unsent)
        driver.client.unsent -= taken
        assert driver.tick(step_s % 1) is None
        driver.exchange.pieces(driver.now, node, [b"x" * taken])
    assert "reset" not in driver.client.calls


def test_a_response_whose_server_writes_with_long_pauses_is_not_cut_off() -> None:
    """Operators' picture (d): a long answer that a server was still writing slowly."""
    node = Node()
    driver = platform_exchange(node)
    for _ in range(10):
        driver.exchange.pieces(driver.now, node, [b"x"])
        driver.client.unsent = 0
        for _ in range(100):
            assert driver.tick(1.0) is None
    assert driver.exchange.phase is Phase.RESPONDING


def test_bytes_that_the_clients_machine_takes_count_as_progress(monkeypatch: pytest.MonkeyPatch) -> None:
    """review/9: the process's own buffer moves only once a third of the kernel's is free."""
    one_second = ProgressLimits(1.0, 0.0)
    limits = replace(EXCHANGE_LIMITS, progress=one_second, reader_progress=one_second)
    monkeypatch.setattr(front_module, "EXCHANGE_LIMITS", limits)

    async def test() -> None:
        async with proxy() as p:
            with reader_socket(p) as sock:
                sock.sendall(request_head("slow"))
                await answer(p, 2_000_000)
                loop, end = asyncio.get_running_loop(), time.monotonic() + 5.0
                while time.monotonic() < end:
                    assert await loop.sock_recv(sock, 4096)
                    await asyncio.sleep(0.08)
                assert p.engine.exchanges

    run(test())
