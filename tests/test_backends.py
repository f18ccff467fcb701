"""Attempts and connection pools: the result of each attempt, and which connections are reused."""

from __future__ import annotations

import asyncio
import errno
import socket
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any, cast

import pytest

from flintlatch.api import Result, ServerInfo, ServerState
from flintlatch.net import backends as backends_module
from flintlatch.net.backends import Attempt, Backends
from flintlatch.net.clock import now_ms
from flintlatch.net.http1 import Response
from flintlatch.net.listing import Target
from flintlatch.net.receiving import has_unread_data
from tests.loopback import ScriptedServer, run

REQUEST_HEAD = b"POST /answer HTTP/1.1\r\nhost: b\r\n"


class PoolWithOutcomes:
    """A pool with one backend `s`, and the results of the attempts started in it."""

    def __init__(
        self, server: ScriptedServer, connect_timeout_ms: float, idle_ms: float, max_connections: int
    ) -> None:
        self.pool = Backends(connect_timeout_ms, idle_ms, max_connections)
        self.outcomes: asyncio.Queue[tuple[Result, Response | None]] = asyncio.Queue()
        self.set_targets(target("s", server.address))

    def set_targets(self, *targets: Target) -> None:
        self.pool.update(targets, True)

    def start(self, backend: str = "s", timeout_ms: float = 30000.0, body: bytes = b"") -> Attempt:
        head = REQUEST_HEAD + b"content-length: %d\r\n" % len(body)
        attempt = Attempt(
            backend, head, body, timeout_ms, lambda _, *outcome: self.outcomes.put_nowait(outcome)
        )
        self.pool.start(attempt)
        return attempt

    async def result(self) -> Result:
        return (await self.outcomes.get())[0]

    async def serve_one(self, server: ScriptedServer, backend: str = "s") -> int:
        """Serves one attempt. Returns the number of the connection that carried it."""
        await asyncio.sleep(2 * backends_module.REUSE_DELAY_MS / 1000)  # idle connections may be reused then
        self.start(backend)
        received = await server.requests.get()
        received.reply()
        assert await self.result() is Result.OK
        return received.connection


def target(
    uid: str, address: str, state: ServerState = ServerState.ACTIVE, started: float | None = None
) -> Target:
    host, port = address.split(":")
    return Target(uid, host, int(port), ServerInfo(uid, state, started=started))


@asynccontextmanager
async def pool_with_server(
    connect_timeout_ms: float = 20000.0, idle_ms: float = 60000.0, max_connections: int = 100
) -> AsyncIterator[tuple[PoolWithOutcomes, ScriptedServer]]:
    server = await ScriptedServer().open()
    attempts = PoolWithOutcomes(server, connect_timeout_ms, idle_ms, max_connections)
    try:
        yield attempts, server
    finally:
        attempts.pool.close()
        server.close()
        assert attempts.outcomes.empty()  # each attempt has ended exactly once


@pytest.mark.parametrize(
    ("status", "headers", "result"),
    [
        (200, {}, Result.OK),
        (500, {}, Result.ERROR),
        (503, {}, Result.ERROR),
        (503, {"x-rejected": "1"}, Result.FULL),
        (504, {"x-rejected": "1"}, Result.FULL),
        (500, {"x-rejected": "1"}, Result.ERROR),
        (404, {}, Result.INVALID),
    ],
)
def test_each_response_gives_its_result_and_the_connection_is_reused(
    status: int, headers: dict[str, str], result: Result
) -> None:
    async def test() -> None:
        async with pool_with_server() as (attempts, server):
            attempts.start()
            (await server.requests.get()).reply(status=status, headers=headers)
            assert await attempts.result() is result
            assert await attempts.serve_one(server) == 1

    run(test())


def test_a_refused_connection_is_a_connect_failure() -> None:
    async def test() -> None:
        async with pool_with_server() as (attempts, server):
            server.close()
            await server.server.wait_closed()
            attempts.start()
            assert await attempts.result() is Result.CONNECT_FAILED

    run(test())


@pytest.mark.parametrize(("connect_timeout_ms", "timeout_ms"), [(50.0, 30000.0), (30000.0, 50.0)])
def test_a_connection_that_is_never_established_is_a_connect_failure(
    connect_timeout_ms: float, timeout_ms: float
) -> None:
    async def test() -> None:
        async with pool_with_server(connect_timeout_ms=connect_timeout_ms) as (attempts, _):
            with socket.socket() as silent, socket.socket() as one, socket.socket() as two:
                # A full accept queue: the kernel does not answer the next connection attempt.
                silent.bind(("127.0.0.1", 0))
                silent.listen(0)
                for other in (one, two):
                    other.setblocking(False)
                    other.connect_ex(silent.getsockname())
                attempts.set_targets(target("s", "{}:{}".format(*silent.getsockname())))
                attempts.start(timeout_ms=timeout_ms)
                assert await attempts.result() is Result.CONNECT_FAILED
            assert not attempts.pool.connections

    run(test())


@asynccontextmanager
async def half_written(attempts: PoolWithOutcomes) -> AsyncIterator[socket.socket]:
    """A server that has read only 10 bytes of a request that is far larger than the kernel's buffers."""
    loop = asyncio.get_running_loop()
    with socket.socket() as listener:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        listener.bind(("127.0.0.1", 0))
        listener.listen(1)
        listener.setblocking(False)
        attempts.set_targets(target("s", "{}:{}".format(*listener.getsockname())))
        attempts.start(body=b"x" * 32_000_000)
        accepted, _ = await loop.sock_accept(listener)
        with accepted:
            await loop.sock_recv(accepted, 10)
            yield accepted


def test_a_break_before_the_last_request_byte_is_a_connect_failure() -> None:
    async def test() -> None:
        async with pool_with_server() as (attempts, _), half_written(attempts) as accepted:
            accepted.close()
            assert await attempts.result() is Result.CONNECT_FAILED

    run(test())


def test_a_connection_answered_before_the_last_request_byte_is_not_reused() -> None:
    async def test() -> None:
        async with pool_with_server() as (attempts, _), half_written(attempts) as accepted:
            answer = b"HTTP/1.1 503 X\r\nx-rejected: 1\r\ncontent-length: 0\r\n\r\n"
            await asyncio.get_running_loop().sock_sendall(accepted, answer)
            assert await attempts.result() is Result.FULL
            assert not attempts.pool.backends["s"].idle_connections

    run(test())


@pytest.mark.parametrize(
    "sent", [b"", b"HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nhalf", b"nonsense\r\n\r\n"]
)
def test_a_break_after_the_last_request_byte_is_a_reset(sent: bytes) -> None:
    async def test() -> None:
        async with pool_with_server() as (attempts, server):
            attempts.start()
            received = await server.requests.get()
            received.writer.write(sent)
            received.writer.close()
            assert await attempts.result() is Result.RESET

    run(test())


def test_interim_responses_are_skipped() -> None:
    async def test() -> None:
        async with pool_with_server() as (attempts, server):
            attempts.start()
            received = await server.requests.get()
            received.writer.write(b"HTTP/1.1 103 Hints\r\nlink: </a>\r\n\r\nHTTP/1.1 102 Processing\r\n\r\n")
            received.reply(b"the real one")
            result, response = await attempts.outcomes.get()
            assert result is Result.OK and response is not None and response.body == b"the real one"
            assert await attempts.serve_one(server) == 1

    run(test())


STATUS_LINE = b"HTTP/1.1 200 OK\r\n"


@pytest.mark.parametrize(
    "sent",
    [
        STATUS_LINE + b"content-length: 3000000000\r\n\r\nkeeps coming",
        STATUS_LINE + b"content-length: 65537\r\n\r\n",
        STATUS_LINE + b"content-length: -1\r\ncontent-length: 4\r\n\r\nbody",
        STATUS_LINE + b"content-length: 2\r\ncontent-length: 4\r\n\r\nbody",
        STATUS_LINE + b"content-length: 4\r\ntransfer-encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
        STATUS_LINE + b"transfer-encoding: gzip\r\n\r\nbody",
        STATUS_LINE + b"transfer-encoding: chunked\r\n\r\n5\r\nabcde\r\nzz\r\n",
        STATUS_LINE + b"\r\nto the end of the connection",
        STATUS_LINE + b"x-pad: p\r\n" * 2000,
        STATUS_LINE + b"no colon here\r\ncontent-length: 4\r\n\r\nbody",
        b"HTTP/1.1 101 Switching\r\nupgrade: x\r\nconnection: upgrade\r\n\r\n",
        b"HTTP/1.1 102 Processing\r\n\r\n" * 9,
        b"HTTP/1.1 2x0 OK\r\ncontent-length: 4\r\n\r\nbody",
        b"ICY 200 OK\r\n",
        b"\xa1\xfdQ\x8e~~",
        b"\r\n" * 10000,
    ],
)
def test_a_malformed_response_fails_at_once_as_a_reset(sent: bytes) -> None:
    # Guards against an attempt that waits for its timeout, which would leave no time for a retry. The server
    # keeps the connection open.
    async def test() -> None:
        async with pool_with_server() as (attempts, server):
            attempts.start()
            received = await server.requests.get()
            received.writer.write(sent)
            assert await attempts.result() is Result.RESET
            await received.closed.wait()

    run(test())


@pytest.mark.parametrize("more", [STATUS_LINE + b"content-length: 4\r\n\r\ncopy", b"\x00noise"])
def test_bytes_after_a_response_are_never_taken_for_the_next_response(more: bytes) -> None:
    # Guards against a connection that is reused between two reads: the second response would then be taken
    # for that of the next request. Reading is paused, so that only the kernel has the bytes after the first
    # response.
    async def test() -> None:
        async with pool_with_server() as (attempts, server):
            await attempts.serve_one(server)
            (kept,) = attempts.pool.backends["s"].idle_connections
            assert kept.transport is not None
            kept.transport.pause_reading()
            server.writers[0].write(more)
            while not has_unread_data(kept.transport):
                await asyncio.sleep(0.001)
            assert await attempts.serve_one(server) == 2

    run(test())


def test_a_connection_closed_by_the_server_is_not_reused() -> None:
    # The loop may not have read the close yet: a request written now would end in a reset, and may have run.
    async def test() -> None:
        async with pool_with_server() as (attempts, server):
            await attempts.serve_one(server)
            (kept,) = attempts.pool.backends["s"].idle_connections
            assert kept.transport is not None
            kept.transport.pause_reading()
            server.writers[0].close()
            while not has_unread_data(kept.transport):
                await asyncio.sleep(0.001)
            assert await attempts.serve_one(server) == 2

    run(test())


def test_a_connection_is_reused_only_after_the_reuse_delay() -> None:
    async def test() -> None:
        async with pool_with_server() as (attempts, server):
            attempts.start()
            received = await server.requests.get()
            received.reply()
            await attempts.result()
            # As if it had become idle just now, however slow the machine is.
            attempts.pool.backends["s"].idle_connections[0].idle_since_ms = now_ms() + 1000
            assert await attempts.serve_one(server) == 2

    run(test())


def test_after_a_timeout_the_other_connections_to_that_backend_are_not_reused() -> None:
    # Connections to a machine that is cut off from the network stay open: each request on them would be lost.
    async def test() -> None:
        async with pool_with_server() as (attempts, server):
            attempts.start()
            attempts.start()
            for _ in range(2):
                (await server.requests.get()).reply()
                await attempts.result()
            await asyncio.sleep(2 * backends_module.REUSE_DELAY_MS / 1000)
            attempts.start(timeout_ms=50.0)
            await server.requests.get()
            assert await attempts.result() is Result.TIMEOUT
            assert not attempts.pool.backends["s"].idle_connections
            assert await attempts.serve_one(server) == 3

    run(test())


def test_a_lack_of_descriptors_is_not_a_failure_of_the_backend(monkeypatch: pytest.MonkeyPatch) -> None:
    class NoDescriptorsLoop:
        def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
            self.create_task, self.call_later = loop.create_task, loop.call_later

        async def create_connection(self, *_: Any, **__: Any) -> None:
            raise OSError(errno.EMFILE, "Too many open files")

    async def test() -> None:
        async with pool_with_server() as (attempts, _):
            attempts.pool.loop = cast(asyncio.AbstractEventLoop, NoDescriptorsLoop(attempts.pool.loop))
            attempts.start()
            assert await attempts.result() is Result.NO_ROOM

    run(test())


def test_a_silent_backend_times_out_and_its_connection_is_closed() -> None:
    async def test() -> None:
        async with pool_with_server() as (attempts, server):
            attempts.start(timeout_ms=100.0)
            received = await server.requests.get()
            assert await attempts.result() is Result.TIMEOUT
            await received.closed.wait()

    run(test())


def test_cancel_closes_the_connection() -> None:
    async def test() -> None:
        async with pool_with_server() as (attempts, server):
            attempt = attempts.start()
            received = await server.requests.get()
            attempts.pool.cancel(attempt)
            attempts.pool.cancel(attempt)
            assert await attempts.result() is Result.CANCELLED
            await received.closed.wait()

    run(test())


def test_the_most_recently_used_connection_is_reused_first() -> None:
    async def test() -> None:
        async with pool_with_server() as (attempts, server):
            attempts.start()
            attempts.start()
            first, second = await server.requests.get(), await server.requests.get()
            second.reply()
            await attempts.result()
            first.reply()
            await attempts.result()
            assert await attempts.serve_one(server) == first.connection
            assert await attempts.serve_one(server) == first.connection

    run(test())


def test_idle_connections_are_closed_before_the_idle_limit_of_the_backend() -> None:
    async def test() -> None:
        async with pool_with_server(idle_ms=1000.0) as (attempts, server):
            attempts.start()
            received = await server.requests.get()
            received.reply()
            assert await attempts.result() is Result.OK
            await received.closed.wait()
            assert not attempts.pool.backends["s"].idle_connections

    run(test())


@pytest.mark.parametrize("unsolicited", [b"HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nlate", b"x"])
def test_unsolicited_bytes_end_an_idle_connection(unsolicited: bytes) -> None:
    async def test() -> None:
        async with pool_with_server() as (attempts, server):
            attempts.start()
            received = await server.requests.get()
            received.reply()
            assert await attempts.result() is Result.OK
            received.writer.write(unsolicited)
            while attempts.pool.connections:
                await asyncio.sleep(0.001)
            assert await attempts.serve_one(server) == 2

    run(test())


def test_a_second_response_to_one_request_is_never_given_to_the_next() -> None:
    async def test() -> None:
        async with pool_with_server() as (attempts, server):
            attempts.start()
            received = await server.requests.get()
            head = b"HTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\n"
            received.writer.write(head + b"a" + head + b"b")
            _, response = await attempts.outcomes.get()
            assert response is not None and response.body == b"a"
            assert await attempts.serve_one(server) == 2

    run(test())


def test_a_connection_closed_by_the_backend_is_removed_at_once() -> None:
    async def test() -> None:
        async with pool_with_server() as (attempts, server):
            await attempts.serve_one(server)
            server.writers[0].close()
            while attempts.pool.connections:
                await asyncio.sleep(0.001)
            assert await attempts.serve_one(server) == 2

    run(test())


@pytest.mark.parametrize("change", ["drains", "is listed as gone", "is not listed", "restarts", "moves"])
def test_idle_connections_are_closed_when_the_server_changes(change: str) -> None:
    async def test() -> None:
        async with pool_with_server() as (attempts, server):
            other = await ScriptedServer().open()
            updates = {
                "drains": [target("s", server.address, ServerState.DRAINING)],
                "is listed as gone": [target("s", server.address, ServerState.GONE)],
                "is not listed": [],
                "restarts": [target("s", server.address, started=5.0)],
                "moves": [target("s", other.address)],
            }
            attempts.start()
            attempts.start()
            busy, idle = await server.requests.get(), await server.requests.get()
            idle.reply()
            assert await attempts.result() is Result.OK
            attempts.set_targets(*updates[change])
            await idle.closed.wait()
            busy.reply()  # a request in progress may finish, but its connection is not kept
            assert await attempts.result() is Result.OK
            await busy.closed.wait()
            if change == "restarts":
                assert await attempts.serve_one(server) == 3
            elif change == "moves":
                assert await attempts.serve_one(other) == 1
            else:
                attempts.start()
                assert await attempts.result() is Result.CONNECT_FAILED
            other.close()

    run(test())


@pytest.mark.parametrize("state", [ServerState.DRAINING, ServerState.GONE])
def test_a_drain_ends_attempts_that_wait_for_a_connection(state: ServerState) -> None:
    async def test() -> None:
        async with pool_with_server() as (attempts, server):
            attempts.start()
            attempts.set_targets(target("s", server.address, state))
            assert await attempts.result() is Result.CONNECT_FAILED
            assert not attempts.pool.connections  # no longer counted towards the connection limit
            assert server.requests.empty()

    run(test())


def test_a_connection_established_at_its_timeout_reports_the_result() -> None:
    class LateTimeoutLoop:
        """A loop whose connections are established in the same turn in which the connect timeout fires."""

        def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
            self.create_task, self.call_later = loop.create_task, loop.call_later
            self.connect = loop.create_connection

        async def create_connection(self, *args: Any, **more: Any) -> None:
            await self.connect(*args, **more)
            raise TimeoutError

    async def test() -> None:
        async with pool_with_server() as (attempts, server):
            attempts.pool.loop = cast(asyncio.AbstractEventLoop, LateTimeoutLoop(attempts.pool.loop))
            attempts.start()
            received = await server.requests.get()
            received.reply()
            assert await attempts.result() is Result.OK

    run(test())


def test_at_the_limit_an_idle_connection_of_another_backend_is_closed() -> None:
    async def test() -> None:
        async with pool_with_server(max_connections=2) as (attempts, server):
            other = await ScriptedServer().open()
            attempts.set_targets(target("s", server.address), target("t", other.address))
            await attempts.serve_one(server)
            attempts.start("t")
            first = await other.requests.get()
            attempts.start("t")
            second = await other.requests.get()
            assert not attempts.pool.backends["s"].idle_connections
            attempts.start("s")
            assert await attempts.result() is Result.NO_ROOM  # no connection is idle now
            for received in (first, second):
                received.reply()
                assert await attempts.result() is Result.OK
            other.close()

    run(test())


def test_a_connection_established_after_the_write_deadline_carries_no_request_and_is_kept() -> None:
    """Servers deduplicate keyed requests only for a limited time: a retry that is written later would run
    again."""

    async def test() -> None:
        async with pool_with_server() as (attempts, server):
            late = Attempt(  # the last argument, `write_within_ms`, allows no time
                "s", REQUEST_HEAD + b"content-length: 0\r\n", b"", 30000.0,
                lambda _, *outcome: attempts.outcomes.put_nowait(outcome), 0.0,
            )  # fmt: skip
            await asyncio.sleep(0.002)
            attempts.pool.start(late)
            assert await attempts.result() is Result.NOT_SENT
            assert server.requests.empty()
            first = await attempts.serve_one(server)
            assert len(attempts.pool.connections) == 1  # the one that was established late
            assert await attempts.serve_one(server) == first

    run(test())
