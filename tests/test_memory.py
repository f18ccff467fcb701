"""Memory that is held for clients and servers stays within one budget, and each holder's part of it is
counted."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager, suppress

import pytest

from flintlatch.exchange import MIN_SHARE_BYTES, Budget
from flintlatch.net.backends import split_descriptors
from flintlatch.net.http1 import MAX_BODY, MAX_FIELDS, MAX_HEAD
from flintlatch.net.process_memory import TRIM_BYTES, MemoryControl
from flintlatch.net.receiving import MIN_READ_BYTES, SLICE_BYTES, pending_bytes
from flintlatch.platform.front import PlatformClient
from flintlatch.platform.memory import CLIENT_BYTES, EXCHANGE_BYTES, PROCESS_BYTES, plan_memory
from flintlatch.platform.node import PlatformConnection
from tests.loopback import Proxy, proxy, run
from tests.test_leaving import request_head, until
from tests.test_unread_responses import reader_socket

CLIENTS = 40
BUDGET_BYTES = 1024 * 1024
# Each connection may go on with this much, and a slice is handed on whole.
FLOOR_BYTES = MIN_SHARE_BYTES + MIN_READ_BYTES + SLICE_BYTES
BODY_BYTES = 600_000
POST = b"POST /answer HTTP/1.1\r\nhost: x\r\nx-call-id: %b\r\nx-budget-ms: 20000\r\n"


def held_bytes(p: Proxy) -> int:
    """What the connections hold, counted from outside."""
    held = 0
    for client in p.frontend.clients:
        assert isinstance(client, PlatformClient)
        held += len(client.unparsed) + len(client._body) + sum(len(n) + len(v) for n, v in client._headers)
        held += client.transport.get_write_buffer_size() + pending_bytes(client.transport)
        held += sum(message.held_bytes() for message in client.queue)
    for connection in p.engine.backends.connections:
        if isinstance(connection, PlatformConnection) and connection.transport is not None:
            held += pending_bytes(connection.transport) + len(getattr(connection, "_body", b""))
            held += connection.transport.get_write_buffer_size()
    return held + sum(exchange.upload.buffered_bytes for exchange in p.engine.exchanges.values())


@asynccontextmanager
async def proxy_with_small_budget() -> AsyncIterator[Proxy]:
    async with proxy() as p:
        p.engine.memory.limit_bytes, p.engine.memory.max_holders = BUDGET_BYTES, CLIENTS
        yield p


async def check_while(p: Proxy, steps: int = 30) -> int:
    """Looks again and again; returns the most that was held."""
    most = 0
    for _ in range(steps):
        await asyncio.sleep(0.02)
        most = max(most, held_bytes(p))
    connections = len(p.frontend.clients) + len(p.engine.backends.connections)
    assert most <= BUDGET_BYTES + connections * FLOOR_BYTES
    # Nobody forgets to say what it holds.
    assert held_bytes(p) <= p.engine.memory.used_bytes + connections * (MIN_READ_BYTES + SLICE_BYTES)
    return most


def readers(p: Proxy, raw: Callable[[int], bytes]) -> list[socket.socket]:
    sockets = [reader_socket(p) for _ in range(CLIENTS)]
    for number, sock in enumerate(sockets):
        with suppress(BlockingIOError):
            sock.send(raw(number))
    return sockets


async def reply_to_all(p: Proxy, head: bytes, body: bytes, count: int = CLIENTS) -> None:
    for _ in range(count):
        received = await p.backends[0].requests.get()
        received.writer.write(head + body)


async def read_body(sock: socket.socket, size: int) -> int:
    loop, received = asyncio.get_running_loop(), bytearray()
    while len(received.partition(b"\r\n\r\n")[2]) < size:
        piece = await loop.sock_recv(sock, 65536)
        if not piece:
            break
        received += piece
    return len(received.partition(b"\r\n\r\n")[2])


def test_the_first_holders_leave_the_least_share_to_all_others() -> None:
    # Guards against a crowd whose later members go on with their least share beyond the budget.
    budget = Budget(BUDGET_BYTES, max_holders=100)
    for _ in range(100):
        account = budget.open_account()
        account.set_held(account.room_bytes)
        assert account.held_bytes >= MIN_SHARE_BYTES
    assert BUDGET_BYTES / 2 < budget.used_bytes <= BUDGET_BYTES


def test_long_responses_that_are_not_read_share_the_memory() -> None:
    """review/8: 200 long answers that were read slowly took the process over its memory limit."""

    async def test() -> None:
        async with proxy_with_small_budget() as p:
            sockets = readers(p, lambda number: request_head(f"r{number}"))
            head = b"HTTP/1.1 200 X\r\ncontent-length: %d\r\n\r\n" % BODY_BYTES
            await reply_to_all(p, head, b"." * BODY_BYTES)
            assert await check_while(p) > BUDGET_BYTES / 2
            sizes = await asyncio.gather(*(read_body(sock, BODY_BYTES) for sock in sockets))
            assert sizes == [BODY_BYTES] * CLIENTS
            await until(lambda: not p.engine.exchanges)
            for sock in sockets:
                sock.close()
            await until(lambda: not p.frontend.clients)
            assert not p.engine.memory.used_bytes

    run(test())


@pytest.mark.parametrize("chunked", [False, True])
def test_clients_that_stop_within_a_short_body_share_the_memory(chunked: bool) -> None:
    """Operators' picture (a). What has no room is refused, and a small request is still served."""

    def raw(number: int) -> bytes:
        head = POST % b"b%d" % number
        if chunked:
            return head + b"transfer-encoding: chunked\r\n\r\n" + b"1\r\nx\r\n" * 50_000
        return head + b"content-length: 60000\r\n\r\n" + b"x" * 50_000

    async def test() -> None:
        async with proxy_with_small_budget() as p:
            sockets = readers(p, raw)
            await check_while(p)
            loop = asyncio.get_running_loop()
            first = await asyncio.wait_for(loop.sock_recv(sockets[-1], 100), 5.0)
            assert first.startswith((b"HTTP/1.1 503", b"HTTP/1.1 408"))
            client = await p.client()
            client.send("/lookup", "GET", x_call_id="small")
            (await p.backends[0].requests.get()).reply()
            assert (await client.reply()).status == 200
            for sock in sockets:
                sock.close()

    run(test())


def test_requests_behind_an_unread_response_share_the_memory() -> None:
    """Operators' picture (a): they wait in the kernel once their client holds what it may."""

    def raw(number: int) -> bytes:
        behind = POST % b"n%d" % number + b"content-length: 60000\r\n\r\n" + b"x" * 60_000
        return request_head(f"r{number}") + behind * 4

    async def test() -> None:
        async with proxy_with_small_budget() as p:
            sockets = readers(p, raw)
            head = b"HTTP/1.1 200 X\r\ncontent-length: %d\r\n\r\n" % BODY_BYTES
            await reply_to_all(p, head, b"." * BODY_BYTES)
            await check_while(p)
            for sock in sockets:
                sock.close()

    run(test())


def test_short_responses_that_stop_half_way_share_the_memory() -> None:
    """They are kept for another attempt, as long as there is memory for that, and passed on else."""

    async def test() -> None:
        async with proxy_with_small_budget() as p:
            sockets = readers(p, lambda number: request_head(f"r{number}"))
            await reply_to_all(p, b"HTTP/1.1 200 X\r\ncontent-length: 60000\r\n\r\n", b"." * 50_000)
            await check_while(p)
            for writer in p.backends[0].writers:
                writer.write(b"." * 10_000)
            sizes = await asyncio.gather(*(read_body(sock, 60_000) for sock in sockets))
            assert sizes == [60_000] * CLIENTS
            for sock in sockets:
                sock.close()

    run(test())


def test_a_head_of_very_many_short_fields_is_refused() -> None:
    """Operators' picture (a): the objects of a short field take many times its bytes."""

    async def test() -> None:
        async with proxy() as p:
            client = await p.client()
            client.writer.write(b"GET /lookup HTTP/1.1\r\n" + b"a:\r\n" * (MAX_FIELDS + 2))
            assert (await client.reply()).status == 431
            assert await client.ended()

    run(test())


def test_a_response_with_very_many_short_fields_is_not_passed_on() -> None:
    async def test() -> None:
        async with proxy() as p:
            client = await p.client()
            client.send("/answer", x_call_id="one", x_budget_ms="2000")
            received = await p.backends[0].requests.get()
            received.reply(headers={f"x-{number}": "" for number in range(MAX_FIELDS + 1)})
            assert (await client.reply()).status in (502, 504, 500)

    run(test())


def test_an_account_is_the_same_however_often_it_is_updated() -> None:
    """The kept body of a request was added again with each update of a connection that was ending."""

    async def test() -> None:
        async with proxy() as p:
            client = await p.client()
            client.send("/answer", x_call_id="one", body=b"x" * 5000)
            await p.backends[0].requests.get()
            (accepted,) = p.frontend.clients
            for _ in range(3):
                accepted.update_account()
                assert 5000 <= p.engine.memory.used_bytes < 6000
            accepted.abort()
            for _ in range(3):
                accepted.update_account()
            assert p.engine.memory.used_bytes < 6000
            await until(lambda: not p.frontend.clients)
            assert not p.engine.memory.used_bytes

    run(test())


def test_the_shares_of_all_holders_stay_within_the_budget() -> None:
    budget = Budget(10 * 1024 * 1024)
    accounts = [budget.open_account() for _ in range(1000)]
    for account in accounts:
        account.set_held(account.held_bytes + account.room_bytes)
    assert budget.used_bytes <= budget.limit_bytes + len(accounts) * MIN_SHARE_BYTES
    assert accounts[0].held_bytes > MIN_SHARE_BYTES == budget.share_bytes
    for account in accounts:
        account.set_held(0)
    assert not budget.used_bytes


def test_freed_memory_goes_back_to_the_system_once_it_is_much(monkeypatch: pytest.MonkeyPatch) -> None:
    calls: list[int] = []
    budget = Budget(1 << 30)
    control = MemoryControl(budget, safe_bytes=1, read_size=lambda: 0)
    monkeypatch.setattr(control, "_malloc_trim", calls.append)
    account = budget.open_account()
    for held, trims in ((2 * TRIM_BYTES, 0), (TRIM_BYTES + 1, 0), (TRIM_BYTES, 1), (1, 1), (0, 2)):
        account.set_held(held)
        control.check()
        assert len(calls) == trims


def test_a_process_that_is_too_large_may_hold_so_much_less(monkeypatch: pytest.MonkeyPatch) -> None:
    # Guards against a budget that is kept although the process is larger than planned.
    budget, size = Budget(100 * MIN_SHARE_BYTES), [900]
    control = MemoryControl(budget, safe_bytes=1000, read_size=lambda: size[0])
    monkeypatch.setattr(control, "_malloc_trim", None)
    for size[0], excess_bytes in ((900, 0), (1000 + budget.limit_bytes, budget.limit_bytes), (1000, 0)):
        control.check()
        assert budget.excess_bytes == excess_bytes
        assert budget.reserve(1) is (not excess_bytes)
        assert (budget.share_bytes == MIN_SHARE_BYTES) is bool(excess_bytes)


@pytest.mark.parametrize("memory_mb", [32, 48, 64, 96, 192])
@pytest.mark.parametrize("descriptors", [256, 1024])
def test_the_plan_of_the_memory_stays_below_the_limit(memory_mb: int, descriptors: int) -> None:
    to_clients = split_descriptors(descriptors)[1]
    plan = plan_memory(memory_mb, to_clients)
    objects_bytes = plan.max_clients * CLIENT_BYTES + plan.max_exchanges * EXCHANGE_BYTES
    assert PROCESS_BYTES + objects_bytes + plan.budget_bytes < plan.safe_bytes < memory_mb * 1e6
    # A short body with its head is taken while little is held.
    assert Budget(plan.budget_bytes, to_clients).request_share_bytes > MAX_BODY + MAX_HEAD


def test_a_request_beyond_what_memory_allows_is_refused_before_it_is_sent() -> None:
    async def test() -> None:
        async with proxy() as p:
            p.engine.max_exchanges = 1
            first, second = await p.client(), await p.client()
            first.send(x_call_id="first")
            received = await p.backends[0].requests.get()
            assert (await second.ask(x_call_id="second")).status == 503
            received.reply()
            assert (await first.reply()).status == 200
            second.send(x_call_id="third")
            (await p.backends[0].requests.get()).reply()
            assert (await second.reply()).status == 200

    run(test())
