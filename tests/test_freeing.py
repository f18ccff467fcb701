"""Connections and requests that have ended are freed at once, without a run of the garbage collector."""

from __future__ import annotations

import asyncio
import gc
from collections import Counter
from collections.abc import Iterator

import pytest

from flintlatch.exchange import Exchange
from flintlatch.net.backends import Attempt, Connection
from flintlatch.net.client import Client as ClientConnection
from flintlatch.net.engine import PendingRequest
from flintlatch.net.frontend import Frontend
from flintlatch.net.receiving import Receiver
from flintlatch.net.relay import RelayEngine
from tests.http.support import front, replying
from tests.loopback import Client, Proxy, proxy, run
from tests.test_leaving import until

KINDS = (ClientConnection, Connection, Receiver, Exchange, Attempt, PendingRequest)
REQUESTS = 5
LONG_BODY_BYTES = 300_000


@pytest.fixture
def no_collector() -> Iterator[None]:
    gc.collect()
    gc.freeze()
    gc.disable()
    yield
    gc.enable()
    gc.unfreeze()


def left_over() -> Counter[str]:
    things = [thing for thing in gc.get_objects() if isinstance(thing, KINDS)]
    # The connection to the list service stays open.
    ended = [thing for thing in things if not isinstance(thing, Receiver) or thing.transport is None]
    return Counter(type(thing).__name__ for thing in ended)


async def wait_for_the_end(frontend: Frontend, engine: RelayEngine) -> None:
    await until(lambda: not frontend.clients and not engine.exchanges and not engine.requests)
    for backend in engine.backends.backends.values():
        backend.close_idle()
    await until(lambda: not engine.backends.connections)
    await asyncio.sleep(0.05)


async def ask(p: Proxy, how: str, number: int) -> None:
    client, server = await p.client(), p.backends[0]
    body = b"u" * LONG_BODY_BYTES if how == "upload" else b""
    budget_ms = "none" if how == "refused" else "20000"
    client.send(x_call_id=f"r{number}", x_budget_ms=budget_ms, body=body)
    if how == "refused":
        assert (await client.reply()).status == 400
    elif how == "client leaves":
        await server.requests.get()
    elif how == "server resets":
        (await server.requests.get()).writer.transport.abort()
        await client.reply()
    elif how == "client leaves within a long answer":
        (await server.requests.get()).reply(b"x" * 16 * LONG_BODY_BYTES)
        await client.reader.readexactly(LONG_BODY_BYTES)
    else:
        (await server.requests.get()).reply(b"x" * (LONG_BODY_BYTES if how == "long answer" else 2))
        assert (await client.reply()).status == 200
    await close(client)


async def close(client: Client) -> None:
    client.close()
    await client.writer.wait_closed()


@pytest.mark.parametrize(
    "how",
    [
        "short answer",
        "long answer",
        "upload",
        "refused",
        "client leaves",
        "client leaves within a long answer",
        "server resets",
    ],
)
def test_nothing_is_left_of_requests_that_have_ended(how: str, no_collector: None) -> None:
    # Operators' picture (a): a crowd that had gone kept its memory until the collector ran, beside the next.
    async def test() -> None:
        async with proxy() as p:
            for number in range(REQUESTS):
                await ask(p, how, number)
            await wait_for_the_end(p.frontend, p.engine)
            assert not left_over()

    run(test())


@pytest.mark.parametrize("status", [200, 400])
def test_nothing_is_left_of_requests_over_ordinary_http(status: int, no_collector: None) -> None:
    async def test() -> None:
        target = b"/a" if status == 200 else b"a b"
        request = b"GET %b HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n" % target
        async with front(replying(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")) as proxy:
            for _ in range(REQUESTS):
                assert b" %d " % status in await proxy.read_until_close(request)
            await wait_for_the_end(proxy.frontend, proxy.engine)
            assert not left_over()

    run(test())
