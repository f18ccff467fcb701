"""The admin address on loopback: it answers whatever other connections do there, and a drain closes clients'
connections."""

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
from tests.loopback import Client, Proxy, ReceivedRequest, proxy, run
from tests.ops.test_figures import parse_statsd


@asynccontextmanager
async def operated_proxy(backends: int = 1) -> AsyncIterator[tuple[Proxy, str]]:
    """A proxy and its admin address."""
    async with proxy(backends) as made:
        operations = Operations(made.engine, made.frontend, ["purchase", "answer", "lookup"])
        admin = await AdminServer.open("127.0.0.1:0", operations)
        try:
            yield made, admin.address
        finally:
            admin.close()


async def admin_request(address: str, method: str, path: str) -> httpx.Response:
    async with httpx.AsyncClient() as client:
        return await client.request(method, f"http://{address}{path}")


async def read_metrics(address: str) -> dict[str, int]:
    answer = await admin_request(address, "GET", "/ops/stats")
    assert answer.status_code == 200
    return {name: value for name, (value, _) in parse_statsd(answer.text).items()}


def test_metrics_match_what_clients_and_servers_saw() -> None:
    async def test() -> None:
        async with operated_proxy(2) as (p, address):
            before = await read_metrics(address)
            assert (before["proxy.members"], before["proxy.pending"]) == (2, 0)
            assert before["proxy.completed.answer"] == 0
            client = await p.client()
            client.send(x_call_id="a1")
            received = await next_request(p)
            assert (await read_metrics(address))["proxy.pending"] == 1
            received.reply(b"done")
            assert (await client.reply()).status == 200
            client.send(x_call_id="a2")  # not idempotent: an error is final
            (await next_request(p)).reply(b"", status=500)
            assert (await client.reply()).status == 504
            metrics = await read_metrics(address)
            assert metrics["proxy.completed.answer"] == 1 and metrics["proxy.failed.answer"] == 1
            assert metrics["proxy.rejected.answer"] == 0 and metrics["proxy.completed.purchase"] == 0
            assert metrics["proxy.upstream_requests"] == 2 and metrics["proxy.pending"] == 0
            client.close()

    run(test())


async def next_request(p: Proxy) -> ReceivedRequest:
    """The next request that any of the servers receives."""
    waiters = [asyncio.create_task(server.requests.get()) for server in p.backends]
    done, unfinished = await asyncio.wait(waiters, return_when=asyncio.FIRST_COMPLETED)
    for task in unfinished:
        task.cancel()
    return done.pop().result()


def test_silent_and_incomplete_connections_do_not_block_calls(monkeypatch: pytest.MonkeyPatch) -> None:
    # Guards against connections that occupy all places, or block the loop, so that other calls get no
    # response.
    monkeypatch.setattr(admin_module, "CALL_TIMEOUT_S", 600.0)

    async def test() -> None:
        async with operated_proxy() as (_, address):
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
                answer = await admin_request(address, method, path)
                assert (answer.status_code, answer.headers["connection"]) == (status, "close")
            # The oldest connections were aborted in favour of the later ones.
            assert await silent[0].ended()
            for client in silent:
                client.close()

    run(test())


@pytest.mark.parametrize(
    "sent", [b"\x16\x03\x01\x00\x05hello\r\n\r\n", b"GET /ops/stats HTTP/1.1\r\nno colon\r\n\r\n"]
)
def test_malformed_calls_are_answered_and_closed(sent: bytes) -> None:
    async def test() -> None:
        async with operated_proxy() as (_, address):
            client = await Client.open(address)
            client.writer.write(sent)
            assert (await client.reply()).status == 400
            assert await client.ended()
            client.close()

    run(test())


def test_an_incomplete_call_is_closed_at_its_timeout(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(admin_module, "CALL_TIMEOUT_S", 0.05)

    async def test() -> None:
        async with operated_proxy() as (_, address):
            client = await Client.open(address)
            client.writer.write(b"GET /ops/stats HTTP/1.1\r\n")
            assert await client.ended()
            client.close()

    run(test())


def test_a_drain_closes_connections_and_its_stop_accepts_clients_again(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Guards against a proxy that still reports ready, an idle connection that stays open, a response that
    # keeps its connection, and a request accepted before the drain that is aborted.
    monkeypatch.setattr(frontend_module, "DRAIN_IDLE_TIMEOUT_S", 0.3)
    monkeypatch.setattr(frontend_module, "SWEEP_INTERVAL_S", 0.05)

    async def test() -> None:
        async with operated_proxy() as (p, address):
            idle, used, busy = [await p.client() for _ in range(3)]
            for number, client in enumerate((idle, used, busy)):
                client.send(x_call_id=f"first-{number}")
                (await next_request(p)).reply()
                assert (await client.reply()).headers.get("connection") is None
            busy.send(x_call_id="long")
            long_request = await next_request(p)
            assert (await admin_request(address, "POST", "/ops/drain/start")).status_code == 200
            assert (await admin_request(address, "GET", "/ops/readiness")).status_code == 503
            probe = await p.client()
            assert (await probe.ask("/health/ready", "GET")).status == 503
            # A client that sends another request is served, and its response closes the connection.
            used.send(x_call_id="again")
            (await next_request(p)).reply(b"still served")
            reply = await used.reply()
            assert (reply.body, reply.headers["connection"]) == (b"still served", "close")
            assert await idle.ended()
            long_request.reply(b"kept for long")
            reply = await busy.reply()
            assert (reply.body, reply.headers["connection"]) == (b"kept for long", "close")
            assert (await admin_request(address, "POST", "/ops/drain/stop")).status_code == 200
            assert (await admin_request(address, "GET", "/ops/readiness")).status_code == 200
            fresh = await p.client()
            ready = await fresh.ask("/health/ready", "GET")
            assert (ready.status, ready.headers.get("connection")) == (200, None)
            for client in (idle, used, busy, probe, fresh):
                client.close()

    run(test())


def test_each_idle_connection_has_the_full_drain_timeout(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(frontend_module, "SWEEP_INTERVAL_S", 0.01)
    monkeypatch.setattr(frontend_module, "DRAIN_IDLE_TIMEOUT_S", 600.0)

    async def test() -> None:
        async with operated_proxy() as (p, address):
            client = await p.client()
            client.send(x_call_id="x1")
            (await next_request(p)).reply()
            assert (await client.reply()).status == 200
            await admin_request(address, "POST", "/ops/drain/start")
            await asyncio.sleep(0.1)  # ten sweeps
            client.send(x_call_id="x2")
            (await next_request(p)).reply()
            assert (await client.reply()).status == 200
            assert await client.ended()
            client.close()

    run(test())
