"""The watch on the list, against a registry that the test plays."""

from __future__ import annotations

import asyncio
import json
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any

import pytest

from flintlatch.api import ServerState
from flintlatch.net import discovery as discovery_module
from flintlatch.net.discovery import Discovery, Listing
from flintlatch.settings import Wire
from tests.loopback import Call, Peer, listing, proxy, run, target

ADDRESS = "127.0.0.9:80"


class Heard:
    def __init__(self, address: str) -> None:
        wire = Wire({}, {}, {"a": 0}, {"m": 0}, 1000.0, 1000.0)
        self.lists: asyncio.Queue[Listing] = asyncio.Queue()
        self.failures: asyncio.Queue[str] = asyncio.Queue()
        self.discovery = Discovery(address, wire, 41, self.lists.put_nowait, self.failures.put_nowait)


@asynccontextmanager
async def watching() -> AsyncIterator[tuple[Heard, Peer]]:
    peer = await Peer().open()
    heard = Heard(peer.address)
    heard.discovery.watch()
    try:
        yield heard, peer
    finally:
        heard.discovery.close()
        peer.close()


def reply(call: Call, what: Any) -> None:
    call.reply(json.dumps(what).encode())


def test_watches_follow_back_to_back_on_one_connection() -> None:
    async def test() -> None:
        async with watching() as (heard, peer):
            first = await peer.calls.get()
            assert first.line == "GET /registry/instances?since=41&timeout_ms=1 HTTP/1.1"
            reply(first, listing(41, whole=False))
            assert (await heard.lists.get()).targets == ()
            second = await peer.calls.get()
            assert second.line == "GET /registry/instances?since=41&timeout_ms=1500 HTTP/1.1"
            heard.discovery.watch()  # one watch is on: no second one
            reply(second, listing(43, target("s", ADDRESS, "leaving", 7), whole=False))
            news = await heard.lists.get()
            assert (news.revision, news.is_snapshot) == (43, False)
            (info,) = (t.info for t in news.targets)
            assert (info.server, info.state, info.started, info.cell) == ("s", ServerState.DRAINING, 7.0, 1)
            third = await peer.calls.get()
            assert third.line.startswith("GET /registry/instances?since=43&")
            assert third.connection == 1 and heard.failures.empty()

    run(test())


BAD = [
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


@pytest.mark.parametrize("body", BAD)
def test_a_list_that_cannot_be_read_is_a_failed_call(body: bytes) -> None:
    async def test() -> None:
        async with watching() as (heard, peer):
            (await peer.calls.get()).reply(body)
            await heard.failures.get()
            assert heard.lists.empty()
            heard.discovery.watch()  # when the module says so, from the version held
            call = await peer.calls.get()
            assert call.line.startswith("GET /registry/instances?since=41&")
            reply(call, listing(44))
            assert (await heard.lists.get()).revision == 44

    run(test())


@pytest.mark.parametrize("how", ["503", "reset", "refused", "silent"])
def test_each_failed_call_is_told_once(how: str, monkeypatch: pytest.MonkeyPatch) -> None:
    if how == "silent":
        monkeypatch.setattr(discovery_module, "FIRST_RESPONSE_GRACE_MS", 50)

    async def test() -> None:
        if how == "refused":
            peer = await Peer().open()
            peer.close()
            await peer.server.wait_closed()
            heard = Heard(peer.address)
            heard.discovery.watch()
            await heard.failures.get()
            return
        async with watching() as (heard, peer):
            call = await peer.calls.get()
            if how == "503":
                call.reply(status=503)
            elif how == "reset":
                call.writer.close()
            await heard.failures.get()
            await call.closed.wait()
            assert heard.failures.empty() and heard.lists.empty()

    run(test())


HEAD = b"HTTP/1.1 200 X\r\ncontent-length: 5000\r\n\r\n"


@pytest.mark.parametrize(
    "begun",
    [b"HT", b"HTTP/1.1 200 X\r\ncontent-le", HEAD, HEAD + b'{"rev":42,"all":false,"tar', None],
    ids=["line", "head", "body", "list", "trickle"],
)
@pytest.mark.parametrize("first", [True, False])
def test_a_watch_that_falls_silent_anywhere_ends_in_its_time_and_is_opened_anew(
    begun: bytes | None, first: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """One limit holds for the whole call: bytes now and then win it nothing."""
    monkeypatch.setattr(discovery_module, "FIRST_RESPONSE_GRACE_MS", 100 if first else 20_000)
    monkeypatch.setattr(discovery_module, "LONG_POLL_MS", 50)
    monkeypatch.setattr(discovery_module, "RESPONSE_GRACE_MS", 50)

    async def test() -> None:
        async with watching() as (heard, peer):
            call = await peer.calls.get()
            if not first:
                reply(call, listing(41, whole=False))
                await heard.lists.get()
                call = await peer.calls.get()
            if begun is not None:
                call.writer.write(begun)
            else:
                call.writer.write(HEAD)
                while heard.failures.empty():
                    call.writer.write(b" ")
                    await asyncio.sleep(0.005)
            assert "TimeoutError" in await heard.failures.get()
            await call.closed.wait()
            heard.discovery.watch()
            again = await peer.calls.get()
            assert again.connection == call.connection + 1
            assert "since=41&timeout_ms=1 " in again.line
            reply(again, listing(43, whole=False))
            assert (await heard.lists.get()).revision == 43

    run(test())


@pytest.mark.parametrize("chunked", [False, True])
def test_a_list_over_the_bound_is_a_failed_call_that_names_the_bound(chunked: bool) -> None:
    """It was "connection broken", which sends its reader to the network."""

    async def test() -> None:
        async with watching() as (heard, peer):
            call = await peer.calls.get()
            size = discovery_module.MAX_LIST + 1
            if chunked:
                head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n" % size
                call.writer.write(head + b" " * size)
            else:
                call.writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % size)
            told = await heard.failures.get()
            assert f"{size} bytes" in told or f"over {size - 1} bytes" in told
            assert f"{size - 1} at most" in told and told.startswith("Malformed")

    run(test())


def test_a_watch_that_meets_a_bug_is_a_failed_call() -> None:
    async def test() -> None:
        async with watching() as (heard, peer):
            heard.discovery.on_list = lambda _: None if 1 / 0 else None
            reply(await peer.calls.get(), listing(42))
            assert "ZeroDivisionError" in await heard.failures.get()
            assert heard.discovery.revision == 41  # that news is asked for again

    run(test())


def test_the_proxy_keeps_its_list_through_bad_news_and_replaces_it_by_a_whole_one() -> None:
    async def test() -> None:
        async with proxy(backends=2) as p:
            bad = await p.registry.calls.get()
            bad.reply(b'{"rev":2,"all":true,"targets":[{"uid":5}]}')
            client = await p.client()
            assert (await client.ask("/health/ready", "GET")).status == 200
            assert set(p.engine.backends.backends) == {"s0", "s1"}
            good = await p.registry.calls.get()
            reply(good, listing(3, target("s1", p.backends[1].address)))
            await p.registry.calls.get()  # the next watch: the news is in
            assert set(p.engine.backends.backends) == {"s1"}
            for number in range(5):
                client.send(x_call_id=f"c{number}")
                (await p.backends[1].calls.get()).reply()
                assert (await client.reply()).status == 200

    run(test())


@pytest.mark.parametrize("whole", [True, False])
def test_a_version_that_goes_back_is_no_news_until_it_is_the_whole_list_asked_for(whole: bool) -> None:
    async def test() -> None:
        async with watching() as (heard, peer):
            reply(await peer.calls.get(), listing(7, target("old", ADDRESS), whole=whole))
            assert "version 7 after 41" in await heard.failures.get()
            assert heard.lists.empty()
            heard.discovery.watch()
            call = await peer.calls.get()
            assert call.line.startswith("GET /registry/instances HTTP")  # a service that has begun anew
            reply(call, listing(7, target("s", ADDRESS)))
            assert (await heard.lists.get()).revision == 7

    run(test())


def test_a_whole_list_without_a_server_leaves_the_one_held_and_is_said_once(
    capsys: pytest.CaptureFixture[str],
) -> None:
    async def test() -> None:
        async with proxy(backends=2) as p:
            for _ in range(3):
                reply(await p.registry.calls.get(), listing(9))
            reply(await p.registry.calls.get(), listing(9, target("s1", p.backends[1].address)))
            assert set(p.engine.backends.backends) == {"s0", "s1"}
            await p.registry.calls.get()  # the next watch: the news is in
            assert set(p.engine.backends.backends) == {"s1"}

    run(test())
    assert capsys.readouterr().err.count("the one held is not") == 1


def test_a_first_call_waits_as_long_as_a_busy_service_lets_it(monkeypatch: pytest.MonkeyPatch) -> None:
    """Of 40 proxies that hung up after 1.5 s of a queue of 2 s, 23 had no list for a whole day."""
    limits: list[float] = []
    timeout = asyncio.timeout

    def noted(seconds: float) -> asyncio.Timeout:
        limits.append(seconds)
        return timeout(seconds)

    async def test() -> None:
        async with watching() as (heard, peer):
            monkeypatch.setattr("flintlatch.net.discovery.asyncio.timeout", noted)
            reply(await peer.calls.get(), listing(42, whole=False))
            await heard.lists.get()
            await peer.calls.get()
            assert limits[0] > 2.0 + 0.15  # the queue's 2 s and the way
            assert limits[1] <= 2.5  # a watch that stays silent is noticed in time for another call

    run(test())
