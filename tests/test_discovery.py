"""Polling the list service, against a service that the test scripts."""

from __future__ import annotations

import asyncio
import json
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any

import pytest

from flintlatch.api import ServerState
from flintlatch.net import discovery as discovery_module
from flintlatch.net.discovery import Discovery
from flintlatch.net.listing import Listing
from flintlatch.settings import SocketSettings
from tests.loopback import ReceivedRequest, ScriptedServer, listing, proxy, run, target

ADDRESS = "127.0.0.9:80"


class RecordedDiscovery:
    """A Discovery whose lists and failures are recorded."""

    def __init__(self, address: str) -> None:
        wire = SocketSettings({}, {}, {"a": 0}, {"m": 0}, 1000.0, 1000.0)
        self.lists: asyncio.Queue[Listing] = asyncio.Queue()
        self.failures: asyncio.Queue[str] = asyncio.Queue()
        self.discovery = Discovery(address, wire, 41, self.lists.put_nowait, self.failures.put_nowait)


@asynccontextmanager
async def polled_service() -> AsyncIterator[tuple[RecordedDiscovery, ScriptedServer]]:
    service = await ScriptedServer().open()
    recorded = RecordedDiscovery(service.address)
    recorded.discovery.watch()
    try:
        yield recorded, service
    finally:
        recorded.discovery.close()
        service.close()


def reply(received: ReceivedRequest, body: Any) -> None:
    received.reply(json.dumps(body).encode())


def test_polls_follow_each_other_on_one_connection() -> None:
    async def test() -> None:
        async with polled_service() as (recorded, service):
            first = await service.requests.get()
            assert first.line == "GET /registry/instances?since=41&timeout_ms=1 HTTP/1.1"
            reply(first, listing(41, snapshot=False))
            assert (await recorded.lists.get()).targets == ()
            second = await service.requests.get()
            assert second.line == "GET /registry/instances?since=41&timeout_ms=1500 HTTP/1.1"
            recorded.discovery.watch()  # no effect while a poll is running
            reply(second, listing(43, target("s", ADDRESS, "leaving", 7), snapshot=False))
            update = await recorded.lists.get()
            assert (update.revision, update.is_snapshot) == (43, False)
            (info,) = (t.info for t in update.targets)
            assert (info.server, info.state, info.started, info.cell) == ("s", ServerState.DRAINING, 7.0, 1)
            third = await service.requests.get()
            assert third.line.startswith("GET /registry/instances?since=43&")
            assert third.connection == 1 and recorded.failures.empty()

    run(test())


INVALID_LISTS = [
    b"{",
    b"[]",
    b"{}",
    b'{"rev":42,"all":true}',
    b'{"rev":"x","all":true,"targets":[]}',
    json.dumps(listing(42, target("s", "host.name:80"))).encode(),
    json.dumps(listing(42, target("s", "127.0.0.1"))).encode(),
    json.dumps(listing(42, target("s", ADDRESS, "odd"))).encode(),
    json.dumps(listing(42, {"uid": "s"})).encode(),
]


@pytest.mark.parametrize("body", INVALID_LISTS)
def test_an_invalid_list_is_a_failed_poll(body: bytes) -> None:
    async def test() -> None:
        async with polled_service() as (recorded, service):
            (await service.requests.get()).reply(body)
            await recorded.failures.get()
            assert recorded.lists.empty()
            recorded.discovery.watch()  # on the decision module's request, from the revision held
            received = await service.requests.get()
            assert received.line.startswith("GET /registry/instances?since=41&")
            reply(received, listing(44))
            assert (await recorded.lists.get()).revision == 44

    run(test())


@pytest.mark.parametrize("how", ["503", "reset", "refused", "silent"])
def test_each_failed_poll_is_reported_once(how: str, monkeypatch: pytest.MonkeyPatch) -> None:
    if how == "silent":
        monkeypatch.setattr(discovery_module, "FIRST_RESPONSE_GRACE_MS", 50)

    async def test() -> None:
        if how == "refused":
            service = await ScriptedServer().open()
            service.close()
            await service.server.wait_closed()
            recorded = RecordedDiscovery(service.address)
            recorded.discovery.watch()
            await recorded.failures.get()
            return
        async with polled_service() as (recorded, service):
            received = await service.requests.get()
            if how == "503":
                received.reply(status=503)
            elif how == "reset":
                received.writer.close()
            await recorded.failures.get()
            await received.closed.wait()
            assert recorded.failures.empty() and recorded.lists.empty()

    run(test())


RESPONSE_HEAD = b"HTTP/1.1 200 X\r\ncontent-length: 5000\r\n\r\n"


@pytest.mark.parametrize(
    "sent",
    [
        b"HT",
        b"HTTP/1.1 200 X\r\ncontent-le",
        RESPONSE_HEAD,
        RESPONSE_HEAD + b'{"rev":42,"all":false,"tar',
        None,
    ],
    ids=["line", "head", "body", "list", "trickle"],
)
@pytest.mark.parametrize("first", [True, False])
def test_a_silent_poll_times_out_and_is_repeated_on_a_new_connection(
    sent: bytes | None, first: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """One timeout applies to the whole request: single bytes do not extend it."""
    monkeypatch.setattr(discovery_module, "FIRST_RESPONSE_GRACE_MS", 100 if first else 20_000)
    monkeypatch.setattr(discovery_module, "LONG_POLL_MS", 50)
    monkeypatch.setattr(discovery_module, "RESPONSE_GRACE_MS", 50)

    async def test() -> None:
        async with polled_service() as (recorded, service):
            received = await service.requests.get()
            if not first:
                reply(received, listing(41, snapshot=False))
                await recorded.lists.get()
                received = await service.requests.get()
            if sent is not None:
                received.writer.write(sent)
            else:
                received.writer.write(RESPONSE_HEAD)
                while recorded.failures.empty():
                    received.writer.write(b" ")
                    await asyncio.sleep(0.005)
            assert "TimeoutError" in await recorded.failures.get()
            await received.closed.wait()
            recorded.discovery.watch()
            again = await service.requests.get()
            assert again.connection == received.connection + 1
            assert "since=41&timeout_ms=1 " in again.line
            reply(again, listing(43, snapshot=False))
            assert (await recorded.lists.get()).revision == 43

    run(test())


@pytest.mark.parametrize("chunked", [False, True])
def test_a_list_over_the_size_limit_is_a_failed_poll_that_names_the_limit(chunked: bool) -> None:
    """Guards against the message "connection broken", which suggests a network fault."""

    async def test() -> None:
        async with polled_service() as (recorded, service):
            received = await service.requests.get()
            size = discovery_module.MAX_LIST + 1
            if chunked:
                head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n" % size
                received.writer.write(head + b" " * size)
            else:
                received.writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % size)
            failure = await recorded.failures.get()
            assert f"{size} bytes" in failure or f"over {size - 1} bytes" in failure
            assert f"{size - 1} at most" in failure and failure.startswith("Malformed")

    run(test())


def test_an_exception_while_a_list_is_applied_is_a_failed_poll() -> None:
    async def test() -> None:
        async with polled_service() as (recorded, service):
            recorded.discovery.on_list = lambda _: None if 1 / 0 else None
            reply(await service.requests.get(), listing(42))
            assert "ZeroDivisionError" in await recorded.failures.get()
            assert recorded.discovery.revision == 41  # the same update is requested again

    run(test())


def test_the_list_survives_an_invalid_update_and_is_replaced_by_a_snapshot() -> None:
    async def test() -> None:
        async with proxy(backends=2) as p:
            bad = await p.registry.requests.get()
            bad.reply(b'{"rev":2,"all":true,"targets":[{"uid":5}]}')
            client = await p.client()
            assert (await client.ask("/health/ready", "GET")).status == 200
            assert set(p.engine.backends.backends) == {"s0", "s1"}
            good = await p.registry.requests.get()
            reply(good, listing(3, target("s1", p.backends[1].address)))
            await p.registry.requests.get()  # the next poll: the update has been applied
            assert set(p.engine.backends.backends) == {"s1"}
            for number in range(5):
                client.send(x_call_id=f"c{number}")
                (await p.backends[1].requests.get()).reply()
                assert (await client.reply()).status == 200

    run(test())


@pytest.mark.parametrize("snapshot", [True, False])
def test_an_older_revision_takes_servers_away_at_once_and_adds_none_until_the_snapshot_asked_for_next(
    snapshot: bool,
) -> None:
    async def test() -> None:
        async with polled_service() as (recorded, service):
            targets = (target("old", ADDRESS), target("drained", ADDRESS, "leaving"))
            reply(await service.requests.get(), listing(7, *targets, snapshot=snapshot))
            taken_away = await recorded.lists.get()
            assert [t.uid for t in taken_away.targets] == ["drained"]
            assert taken_away.unchanged == {"old"} and taken_away.is_snapshot is snapshot
            received = await service.requests.get()
            # A restarted service numbers its revisions anew.
            assert received.line.startswith("GET /registry/instances HTTP")
            reply(received, listing(7, target("s", ADDRESS)))
            accepted = await recorded.lists.get()
            assert accepted.revision == 7 and [t.uid for t in accepted.targets] == ["s"]
            assert recorded.failures.empty()

    run(test())


def test_a_service_whose_revisions_go_back_again_and_again_is_not_polled_without_a_pause() -> None:
    async def test() -> None:
        async with polled_service() as (recorded, service):
            for revision in (7, 9, 8):
                received = await service.requests.get()
                reply(received, listing(revision, target("s", ADDRESS)))
            assert "version 8 after 9" in await recorded.failures.get()
            assert service.requests.empty()

    run(test())


def test_a_poll_on_a_kept_connection_that_the_service_closes_is_repeated_at_once() -> None:
    async def test() -> None:
        async with polled_service() as (recorded, service):
            reply(await service.requests.get(), listing(41, snapshot=False))
            second = await service.requests.get()
            second.writer.close()
            third = await service.requests.get()
            assert third.line == second.line and third.connection == 2
            third.writer.close()  # on a new connection the poll has failed
            assert "connection broken" in await recorded.failures.get()

    run(test())


@pytest.mark.parametrize(
    "head",
    [b"", b"content-length: 5000\r\n", b"content-length: 5000\r\nconnection: close\r\n"],
    ids=["no length", "too long", "too long, close"],
)
@pytest.mark.parametrize("pieces", [1, 2, 40])
def test_a_list_is_complete_when_its_json_is(head: bytes, pieces: int) -> None:
    async def test() -> None:
        async with polled_service() as (recorded, service):
            body = json.dumps(listing(43, target("s", ADDRESS, "leaving"), snapshot=False)).encode()
            received = await service.requests.get()
            received.writer.write(b"HTTP/1.1 200 X\r\n" + head + b"\r\n")
            size = -(-len(body) // pieces)
            for start in range(0, len(body), size):
                received.writer.write(body[start : start + size])
                await asyncio.sleep(0.001)
            assert (await recorded.lists.get()).revision == 43
            assert (await service.requests.get()).connection == 2 and recorded.failures.empty()

    run(test())


def test_a_list_without_a_length_that_ends_in_the_middle_is_a_failed_poll() -> None:
    async def test() -> None:
        async with polled_service() as (recorded, service):
            received = await service.requests.get()
            received.writer.write(b'HTTP/1.1 200 X\r\n\r\n{"rev":43,"all":true,"targets":[]')
            received.writer.close()
            assert "connection broken" in await recorded.failures.get()
            assert recorded.lists.empty()

    run(test())


def test_an_empty_snapshot_removes_all_servers_until_a_list_names_some() -> None:
    async def test() -> None:
        async with proxy(backends=2) as p:
            reply(await p.registry.requests.get(), listing(9))
            watch = await p.registry.requests.get()  # the next poll: the list has been applied
            assert "?since=9&" in watch.line
            assert not p.engine.backends.backends
            client = await p.client()
            assert (await client.ask("/health/ready", "GET")).status == 503
            client.send("/lookup", "GET", x_budget_ms="5000")
            reply(watch, listing(10, target("s1", p.backends[1].address), snapshot=False))
            (await p.backends[1].requests.get()).reply()  # a request that waited for a server
            assert (await client.reply()).status == 200
            assert p.backends[0].requests.empty()

    run(test())


def test_requests_get_their_answer_in_time_while_the_list_is_empty() -> None:
    async def test() -> None:
        async with proxy(backends=1) as p:
            reply(await p.registry.requests.get(), listing(9))
            await p.registry.requests.get()
            clients = [await p.client() for _ in range(5)]
            started = asyncio.get_running_loop().time()
            for number, client in enumerate(clients):
                client.send("/lookup", "GET", x_call_id=f"c{number}", x_budget_ms="300")
            for client in clients:
                assert (await client.reply()).status in (503, 504)
            assert asyncio.get_running_loop().time() - started < 0.35

    run(test())


def test_the_first_poll_waits_longer_than_the_queue_of_a_busy_service(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Of 40 proxies that disconnected after 1.5 s from a service with a queue of 2 s, 23 had no list for a
    day."""
    timeouts: list[float] = []
    timeout = asyncio.timeout

    def recorded_timeout(seconds: float) -> asyncio.Timeout:
        timeouts.append(seconds)
        return timeout(seconds)

    async def test() -> None:
        async with polled_service() as (recorded, service):
            monkeypatch.setattr("flintlatch.net.discovery.asyncio.timeout", recorded_timeout)
            reply(await service.requests.get(), listing(42, snapshot=False))
            await recorded.lists.get()
            await service.requests.get()
            assert timeouts[0] > 2.0 + 0.15  # the queue's 2 s and the transfer
            assert timeouts[1] <= 2.5  # a silent poll is detected in time for another one

    run(test())
