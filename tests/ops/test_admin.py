"""The second address over loopback: answers whatever others do there, and what drain does to clients."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import httpx
import pytest

from flintlatch.net import frontend as frontend_module
from flintlatch.ops import admin as admin_module
from flintlatch.ops.admin import AdminServer
from flintlatch.ops.staff import Operations
from tests.loopback import Call, Client, Proxy, proxy, run
from tests.ops.test_figures import read


@asynccontextmanager
async def operated(backends: int = 1) -> AsyncIterator[tuple[Proxy, str]]:
    """A proxy and the address of its second listener."""
    async with proxy(backends) as made:
        staff = Operations(made.engine, made.frontend, ["purchase", "answer", "lookup"])
        admin = await AdminServer.open("127.0.0.1:0", staff)
        try:
            yield made, admin.address
        finally:
            admin.close()


async def call(address: str, method: str, path: str) -> httpx.Response:
    async with httpx.AsyncClient() as client:
        return await client.request(method, f"http://{address}{path}")


async def figures(address: str) -> dict[str, int]:
    answer = await call(address, "GET", "/ops/stats")
    assert answer.status_code == 200
    return {name: value for name, (value, _) in read(answer.text).items()}


def test_figures_are_what_clients_and_servers_saw() -> None:
    async def test() -> None:
        async with operated(2) as (p, address):
            first = await figures(address)
            assert (first["proxy.members"], first["proxy.pending"]) == (2, 0)
            assert first["proxy.completed.answer"] == 0
            client = await p.client()
            client.send(x_call_id="a1")
            served = await next_call(p)
            assert (await figures(address))["proxy.pending"] == 1
            served.reply(b"done")
            assert (await client.reply()).status == 200
            client.send(x_call_id="a2")  # may not be repeated: an error is final
            (await next_call(p)).reply(b"", status=500)
            assert (await client.reply()).status == 504
            told = await figures(address)
            assert told["proxy.completed.answer"] == 1 and told["proxy.failed.answer"] == 1
            assert told["proxy.rejected.answer"] == 0 and told["proxy.completed.purchase"] == 0
            assert told["proxy.upstream_requests"] == 2 and told["proxy.pending"] == 0
            client.close()

    run(test())


async def next_call(p: Proxy) -> Call:
    """The next request that any server gets."""
    waits = [asyncio.create_task(peer.calls.get()) for peer in p.backends]
    done, rest = await asyncio.wait(waits, return_when=asyncio.FIRST_COMPLETED)
    for task in rest:
        task.cancel()
    return done.pop().result()


def test_callers_that_say_nothing_or_half_a_call_keep_nobody_out(monkeypatch: pytest.MonkeyPatch) -> None:
    # Guards against callers that stay holding all places, or the loop, while others are due an answer.
    monkeypatch.setattr(admin_module, "CALL_TIMEOUT_S", 600.0)

    async def test() -> None:
        async with operated() as (_, address):
            silent = [await Client.open(address) for _ in range(3 * admin_module.MAX_CONNECTIONS)]
            for client in silent[::2]:
                client.writer.write(b"GET /ops/sta")
                await client.writer.drain()
            for method, path, status in (
                ("GET", "/ops/readiness", 200),
                ("GET", "/ops/stats", 200),
                ("GET", "/ops/drain/start", 405),
                ("GET", "/stats", 404),
            ):
                answer = await call(address, method, path)
                assert (answer.status_code, answer.headers["connection"]) == (status, "close")
            # The oldest had to go for the later ones, and were cut off.
            assert await silent[0].ended()
            for client in silent:
                client.close()

    run(test())


@pytest.mark.parametrize(
    "said", [b"\x16\x03\x01\x00\x05hello\r\n\r\n", b"GET /ops/stats HTTP/1.1\r\nno colon\r\n\r\n"]
)
def test_noise_is_told_so_and_closed(said: bytes) -> None:
    async def test() -> None:
        async with operated() as (_, address):
            client = await Client.open(address)
            client.writer.write(said)
            assert (await client.reply()).status == 400
            assert await client.ended()
            client.close()

    run(test())


def test_half_a_call_ends_after_its_time(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(admin_module, "CALL_TIMEOUT_S", 0.05)

    async def test() -> None:
        async with operated() as (_, address):
            client = await Client.open(address)
            client.writer.write(b"GET /ops/stats HTTP/1.1\r\n")
            assert await client.ended()
            client.close()

    run(test())


def test_drain_sends_clients_away_and_stop_takes_them_back(monkeypatch: pytest.MonkeyPatch) -> None:
    # Guards against a readiness that stays at yes, a kept connection that stays open for good, an answer that
    # keeps its connection, and a request that was taken before and is cut off.
    monkeypatch.setattr(frontend_module, "DRAIN_IDLE_TIMEOUT_S", 0.3)
    monkeypatch.setattr(frontend_module, "SWEEP_INTERVAL_S", 0.05)

    async def test() -> None:
        async with operated() as (p, address):
            idle, used, busy = [await p.client() for _ in range(3)]
            for number, client in enumerate((idle, used, busy)):
                client.send(x_call_id=f"first-{number}")
                (await next_call(p)).reply()
                assert (await client.reply()).headers.get("connection") is None
            busy.send(x_call_id="long")
            held = await next_call(p)
            assert (await call(address, "POST", "/ops/drain/start")).status_code == 200
            assert (await call(address, "GET", "/ops/readiness")).status_code == 503
            probe = await p.client()
            assert (await probe.ask("/health/ready", "GET")).status == 503
            # A client that uses its connection once more is served, and told to come no more on it.
            used.send(x_call_id="again")
            (await next_call(p)).reply(b"still served")
            reply = await used.reply()
            assert (reply.body, reply.headers["connection"]) == (b"still served", "close")
            assert await idle.ended()
            held.reply(b"kept for long")
            reply = await busy.reply()
            assert (reply.body, reply.headers["connection"]) == (b"kept for long", "close")
            assert (await call(address, "POST", "/ops/drain/stop")).status_code == 200
            assert (await call(address, "GET", "/ops/readiness")).status_code == 200
            fresh = await p.client()
            ready = await fresh.ask("/health/ready", "GET")
            assert (ready.status, ready.headers.get("connection")) == (200, None)
            for client in (idle, used, busy, probe, fresh):
                client.close()

    run(test())


def test_each_kept_connection_has_its_second_however_long_it_was_idle(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(frontend_module, "SWEEP_INTERVAL_S", 0.01)
    monkeypatch.setattr(frontend_module, "DRAIN_IDLE_TIMEOUT_S", 600.0)

    async def test() -> None:
        async with operated() as (p, address):
            client = await p.client()
            client.send(x_call_id="x1")
            (await next_call(p)).reply()
            assert (await client.reply()).status == 200
            await call(address, "POST", "/ops/drain/start")
            await asyncio.sleep(0.1)  # ten looks at what idles
            client.send(x_call_id="x2")
            (await next_call(p)).reply()
            assert (await client.reply()).status == 200
            assert await client.ended()
            client.close()

    run(test())
