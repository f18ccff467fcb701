"""Attempts and pools: how each attempt ends, and which connections may be used again."""

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
from flintlatch.net.discovery import Target
from flintlatch.net.http1 import Response, has_unread_data
from tests.loopback import Peer, run

HEAD = b"POST /answer HTTP/1.1\r\nhost: b\r\n"


class Tries:
    """Backends with one uid `s`, and the outcomes of what was started there."""

    def __init__(self, peer: Peer, connect_ms: float, idle_ms: float, most: int) -> None:
        self.pool = Backends(connect_ms, idle_ms, most)
        self.outcomes: asyncio.Queue[tuple[Result, Response | None]] = asyncio.Queue()
        self.list(target("s", peer.address))

    def list(self, *targets: Target) -> None:
        self.pool.update(targets, True)

    def start(self, uid: str = "s", limit_ms: float = 30000.0, body: bytes = b"") -> Attempt:
        head = HEAD + b"content-length: %d\r\n" % len(body)
        attempt = Attempt(uid, head, body, limit_ms, lambda _, *outcome: self.outcomes.put_nowait(outcome))
        self.pool.start(attempt)
        return attempt

    async def result(self) -> Result:
        return (await self.outcomes.get())[0]

    async def served(self, peer: Peer, uid: str = "s") -> int:
        """One attempt served; the number of the connection that carried it."""
        await asyncio.sleep(2 * backends_module.REUSE_DELAY_MS / 1000)  # those kept may be lent again
        self.start(uid)
        call = await peer.calls.get()
        call.reply()
        assert await self.result() is Result.OK
        return call.connection


def target(
    uid: str, address: str, state: ServerState = ServerState.ACTIVE, started: float | None = None
) -> Target:
    host, port = address.split(":")
    return Target(uid, host, int(port), ServerInfo(uid, state, started=started))


@asynccontextmanager
async def tries(
    connect_ms: float = 20000.0, idle_ms: float = 60000.0, most: int = 100
) -> AsyncIterator[tuple[Tries, Peer]]:
    peer = await Peer().open()
    attempts = Tries(peer, connect_ms, idle_ms, most)
    try:
        yield attempts, peer
    finally:
        attempts.pool.close()
        peer.close()
        assert attempts.outcomes.empty()  # each attempt ended once


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
def test_answers_are_outcomes_and_their_connection_is_used_again(
    status: int, headers: dict[str, str], result: Result
) -> None:
    async def test() -> None:
        async with tries() as (attempts, peer):
            attempts.start()
            (await peer.calls.get()).reply(status=status, headers=headers)
            assert await attempts.result() is result
            assert await attempts.served(peer) == 1

    run(test())


def test_a_refused_connection_never_ran() -> None:
    async def test() -> None:
        async with tries() as (attempts, peer):
            peer.close()
            await peer.server.wait_closed()
            attempts.start()
            assert await attempts.result() is Result.CONNECT_FAILED

    run(test())


@pytest.mark.parametrize(("connect_ms", "limit_ms"), [(50.0, 30000.0), (30000.0, 50.0)])
def test_a_connection_that_never_comes_up_never_ran(connect_ms: float, limit_ms: float) -> None:
    async def test() -> None:
        async with tries(connect_ms=connect_ms) as (attempts, _):
            with socket.socket() as silent, socket.socket() as one, socket.socket() as two:
                # A full queue of connections that nobody accepts: the next one gets no answer at all.
                silent.bind(("127.0.0.1", 0))
                silent.listen(0)
                for other in (one, two):
                    other.setblocking(False)
                    other.connect_ex(silent.getsockname())
                attempts.list(target("s", "{}:{}".format(*silent.getsockname())))
                attempts.start(limit_ms=limit_ms)
                assert await attempts.result() is Result.CONNECT_FAILED
            assert not attempts.pool.connections

    run(test())


@asynccontextmanager
async def half_written(attempts: Tries) -> AsyncIterator[socket.socket]:
    """A peer that reads a little of a request far larger than the kernel's buffers."""
    loop = asyncio.get_running_loop()
    with socket.socket() as deaf:
        deaf.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        deaf.bind(("127.0.0.1", 0))
        deaf.listen(1)
        deaf.setblocking(False)
        attempts.list(target("s", "{}:{}".format(*deaf.getsockname())))
        attempts.start(body=b"x" * 32_000_000)
        accepted, _ = await loop.sock_accept(deaf)
        with accepted:
            await loop.sock_recv(accepted, 10)
            yield accepted


def test_a_break_before_the_last_byte_never_ran() -> None:
    async def test() -> None:
        async with tries() as (attempts, _), half_written(attempts) as peer:
            peer.close()
            assert await attempts.result() is Result.CONNECT_FAILED

    run(test())


def test_a_connection_answered_before_the_last_byte_is_not_used_again() -> None:
    async def test() -> None:
        async with tries() as (attempts, _), half_written(attempts) as peer:
            answer = b"HTTP/1.1 503 X\r\nx-rejected: 1\r\ncontent-length: 0\r\n\r\n"
            await asyncio.get_running_loop().sock_sendall(peer, answer)
            assert await attempts.result() is Result.FULL
            assert not attempts.pool.backends["s"].idle

    run(test())


@pytest.mark.parametrize(
    "sent", [b"", b"HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nhalf", b"nonsense\r\n\r\n"]
)
def test_a_break_after_the_last_byte_may_have_run(sent: bytes) -> None:
    async def test() -> None:
        async with tries() as (attempts, peer):
            attempts.start()
            call = await peer.calls.get()
            call.writer.write(sent)
            call.writer.close()
            assert await attempts.result() is Result.RESET

    run(test())


def test_interim_answers_are_passed_over() -> None:
    async def test() -> None:
        async with tries() as (attempts, peer):
            attempts.start()
            call = await peer.calls.get()
            call.writer.write(b"HTTP/1.1 103 Hints\r\nlink: </a>\r\n\r\nHTTP/1.1 102 Processing\r\n\r\n")
            call.reply(b"the real one")
            result, response = await attempts.outcomes.get()
            assert result is Result.OK and response is not None and response.body == b"the real one"
            assert await attempts.served(peer) == 1

    run(test())


OK = b"HTTP/1.1 200 OK\r\n"


@pytest.mark.parametrize(
    "sent",
    [
        OK + b"content-length: 3000000000\r\n\r\nkeeps coming",
        OK + b"content-length: 65537\r\n\r\n",
        OK + b"content-length: -1\r\ncontent-length: 4\r\n\r\nbody",
        OK + b"content-length: 2\r\ncontent-length: 4\r\n\r\nbody",
        OK + b"content-length: 4\r\ntransfer-encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
        OK + b"transfer-encoding: gzip\r\n\r\nbody",
        OK + b"transfer-encoding: chunked\r\n\r\n5\r\nabcde\r\nzz\r\n",
        OK + b"\r\nto the end of the connection",
        OK + b"x-pad: p\r\n" * 2000,
        OK + b"no colon here\r\ncontent-length: 4\r\n\r\nbody",
        b"HTTP/1.1 101 Switching\r\nupgrade: x\r\nconnection: upgrade\r\n\r\n",
        b"HTTP/1.1 102 Processing\r\n\r\n" * 9,
        b"HTTP/1.1 2x0 OK\r\ncontent-length: 4\r\n\r\nbody",
        b"ICY 200 OK\r\n",
        b"\xa1\xfdQ\x8e~~",
        b"\r\n" * 10000,
    ],
)
def test_a_spoilt_answer_fails_at_once_and_may_have_run(sent: bytes) -> None:
    # Waited for until the attempt's limit, it would leave no time for another; the connection stays open.
    async def test() -> None:
        async with tries() as (attempts, peer):
            attempts.start()
            call = await peer.calls.get()
            call.writer.write(sent)
            assert await attempts.result() is Result.RESET
            await call.closed.wait()

    run(test())


@pytest.mark.parametrize("more", [OK + b"content-length: 4\r\n\r\ncopy", b"\x00noise"])
def test_what_comes_right_behind_an_answer_never_meets_the_next_request(more: bytes) -> None:
    # The answer and what follows may come in two reads; lent out between them, the connection would serve
    # the next request with the copy. The loop is kept from reading: only the kernel has what follows.
    async def test() -> None:
        async with tries() as (attempts, peer):
            await attempts.served(peer)
            (kept,) = attempts.pool.backends["s"].idle
            assert kept.transport is not None
            kept.transport.pause_reading()
            peer.writers[0].write(more)
            while not has_unread_data(kept.transport):
                await asyncio.sleep(0.001)
            assert await attempts.served(peer) == 2

    run(test())


def test_a_connection_whose_end_has_come_is_not_lent() -> None:
    # The close may still be in the kernel: a request written now would end as a reset, and may have run.
    async def test() -> None:
        async with tries() as (attempts, peer):
            await attempts.served(peer)
            (kept,) = attempts.pool.backends["s"].idle
            assert kept.transport is not None
            kept.transport.pause_reading()
            peer.writers[0].close()
            while not has_unread_data(kept.transport):
                await asyncio.sleep(0.001)
            assert await attempts.served(peer) == 2

    run(test())


def test_a_connection_rests_before_it_is_lent_again() -> None:
    async def test() -> None:
        async with tries() as (attempts, peer):
            attempts.start()
            call = await peer.calls.get()
            call.reply()
            await attempts.result()
            attempts.pool.backends["s"].idle[0].idle_since = now_ms() + 1000  # just now, on any machine
            assert await attempts.served(peer) == 2

    run(test())


def test_after_silence_the_other_connections_to_that_backend_are_not_used() -> None:
    # A machine that is cut off leaves its connections open: each request written there would be lost in turn.
    async def test() -> None:
        async with tries() as (attempts, peer):
            attempts.start()
            attempts.start()
            for _ in range(2):
                (await peer.calls.get()).reply()
                await attempts.result()
            await asyncio.sleep(2 * backends_module.REUSE_DELAY_MS / 1000)
            attempts.start(limit_ms=50.0)
            await peer.calls.get()
            assert await attempts.result() is Result.TIMEOUT
            assert not attempts.pool.backends["s"].idle
            assert await attempts.served(peer) == 3

    run(test())


def test_lack_of_own_descriptors_is_not_the_backends_doing(monkeypatch: pytest.MonkeyPatch) -> None:
    class Full:
        def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
            self.create_task, self.call_later = loop.create_task, loop.call_later

        async def create_connection(self, *_: Any, **__: Any) -> None:
            raise OSError(errno.EMFILE, "Too many open files")

    async def test() -> None:
        async with tries() as (attempts, _):
            attempts.pool.loop = cast(asyncio.AbstractEventLoop, Full(attempts.pool.loop))
            attempts.start()
            assert await attempts.result() is Result.NO_ROOM

    run(test())


def test_a_silent_backend_times_out_and_its_connection_is_closed() -> None:
    async def test() -> None:
        async with tries() as (attempts, peer):
            attempts.start(limit_ms=100.0)
            call = await peer.calls.get()
            assert await attempts.result() is Result.TIMEOUT
            await call.closed.wait()

    run(test())


def test_cancel_closes_the_connection() -> None:
    async def test() -> None:
        async with tries() as (attempts, peer):
            attempt = attempts.start()
            call = await peer.calls.get()
            attempts.pool.cancel(attempt)
            attempts.pool.cancel(attempt)
            assert await attempts.result() is Result.CANCELLED
            await call.closed.wait()

    run(test())


def test_the_most_recent_connection_is_used_first() -> None:
    async def test() -> None:
        async with tries() as (attempts, peer):
            attempts.start()
            attempts.start()
            first, second = await peer.calls.get(), await peer.calls.get()
            second.reply()
            await attempts.result()
            first.reply()
            await attempts.result()
            assert await attempts.served(peer) == first.connection
            assert await attempts.served(peer) == first.connection

    run(test())


def test_idle_connections_close_well_before_the_backend_would() -> None:
    async def test() -> None:
        async with tries(idle_ms=1000.0) as (attempts, peer):
            attempts.start()
            call = await peer.calls.get()
            call.reply()
            assert await attempts.result() is Result.OK
            await call.closed.wait()
            assert not attempts.pool.backends["s"].idle

    run(test())


@pytest.mark.parametrize("unasked", [b"HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nlate", b"x"])
def test_unasked_bytes_end_an_idle_connection(unasked: bytes) -> None:
    async def test() -> None:
        async with tries() as (attempts, peer):
            attempts.start()
            call = await peer.calls.get()
            call.reply()
            assert await attempts.result() is Result.OK
            call.writer.write(unasked)
            while attempts.pool.connections:
                await asyncio.sleep(0.001)
            assert await attempts.served(peer) == 2

    run(test())


def test_a_second_answer_to_one_request_is_never_given_to_the_next() -> None:
    async def test() -> None:
        async with tries() as (attempts, peer):
            attempts.start()
            call = await peer.calls.get()
            twice = b"HTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\n"
            call.writer.write(twice + b"a" + twice + b"b")
            _, response = await attempts.outcomes.get()
            assert response is not None and response.body == b"a"
            assert await attempts.served(peer) == 2

    run(test())


def test_a_connection_that_the_backend_closes_is_dropped_at_once() -> None:
    async def test() -> None:
        async with tries() as (attempts, peer):
            await attempts.served(peer)
            peer.writers[0].close()
            while attempts.pool.connections:
                await asyncio.sleep(0.001)
            assert await attempts.served(peer) == 2

    run(test())


@pytest.mark.parametrize("change", ["drains", "leaves", "is gone", "restarts", "moves"])
def test_idle_connections_go_with_the_process_behind_them(change: str) -> None:
    async def test() -> None:
        async with tries() as (attempts, peer):
            other = await Peer().open()
            news = {
                "drains": [target("s", peer.address, ServerState.DRAINING)],
                "leaves": [target("s", peer.address, ServerState.GONE)],
                "is gone": [],
                "restarts": [target("s", peer.address, started=5.0)],
                "moves": [target("s", other.address)],
            }
            attempts.start()
            attempts.start()
            busy, idle = await peer.calls.get(), await peer.calls.get()
            idle.reply()
            assert await attempts.result() is Result.OK
            attempts.list(*news[change])
            await idle.closed.wait()
            busy.reply()  # what runs may finish, but its connection is not kept
            assert await attempts.result() is Result.OK
            await busy.closed.wait()
            if change == "restarts":
                assert await attempts.served(peer) == 3
            elif change == "moves":
                assert await attempts.served(other) == 1
            else:
                attempts.start()
                assert await attempts.result() is Result.CONNECT_FAILED
            other.close()

    run(test())


@pytest.mark.parametrize("state", [ServerState.DRAINING, ServerState.GONE])
def test_a_drain_ends_attempts_that_wait_for_their_connection(state: ServerState) -> None:
    async def test() -> None:
        async with tries() as (attempts, peer):
            attempts.start()
            attempts.list(target("s", peer.address, state))
            assert await attempts.result() is Result.CONNECT_FAILED
            assert not attempts.pool.connections  # nothing of it counts towards the cap
            assert peer.calls.empty()

    run(test())


def test_a_connection_that_comes_up_as_its_time_ends_tells_the_outcome_itself() -> None:
    class Late:
        """A loop whose connections come up, and whose time for that runs out in the same turn."""

        def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
            self.create_task, self.call_later = loop.create_task, loop.call_later
            self.connect = loop.create_connection

        async def create_connection(self, *args: Any, **more: Any) -> None:
            await self.connect(*args, **more)
            raise TimeoutError

    async def test() -> None:
        async with tries() as (attempts, peer):
            attempts.pool.loop = cast(asyncio.AbstractEventLoop, Late(attempts.pool.loop))
            attempts.start()
            call = await peer.calls.get()
            call.reply()
            assert await attempts.result() is Result.OK

    run(test())


def test_at_the_cap_an_idle_connection_elsewhere_makes_room() -> None:
    async def test() -> None:
        async with tries(most=2) as (attempts, peer):
            other = await Peer().open()
            attempts.list(target("s", peer.address), target("t", other.address))
            await attempts.served(peer)
            attempts.start("t")
            busy = await other.calls.get()
            attempts.start("t")
            second = await other.calls.get()
            assert not attempts.pool.backends["s"].idle
            attempts.start("s")
            assert await attempts.result() is Result.NO_ROOM  # nothing is idle now
            for call in (busy, second):
                call.reply()
                assert await attempts.result() is Result.OK
            other.close()

    run(test())


def test_a_connection_that_comes_up_too_late_carries_no_repeat_and_is_kept_for_others() -> None:
    """Servers drop a keyed request's repeats for a while only: one written after that would run again."""

    async def test() -> None:
        async with tries() as (attempts, peer):
            late = Attempt(
                "s", HEAD + b"content-length: 0\r\n", b"", 30000.0,
                lambda _, *outcome: attempts.outcomes.put_nowait(outcome), 0.0,
            )  # fmt: skip
            await asyncio.sleep(0.002)
            attempts.pool.start(late)
            assert await attempts.result() is Result.NOT_SENT
            assert peer.calls.empty()
            first = await attempts.served(peer)
            assert len(attempts.pool.connections) == 1  # on the one that came up late
            assert await attempts.served(peer) == first

    run(test())
