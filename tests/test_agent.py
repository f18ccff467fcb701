"""The list from an agent on this machine: what the agent has counts as known to the proxy."""

from __future__ import annotations

import asyncio
import json
from typing import Any

import pytest

from flintlatch.net import engine as engine_module
from flintlatch.net.discovery import AGENT_RETRY_DELAY_S, AGENT_TIMEOUT_MS
from tests.loopback import Client, ReceivedRequest, ScriptedServer, listing, proxy, run, target

RETRY_LIMIT_S = (AGENT_TIMEOUT_MS / 1000 + AGENT_RETRY_DELAY_S) * 10  # far above the time between two polls


def reply(received: ReceivedRequest, body: Any) -> None:
    received.reply(json.dumps(body).encode())


async def status(client: Client) -> int:
    return (await client.ask("/health/ready", "GET")).status


def test_no_request_is_sent_before_the_agent_has_answered() -> None:
    """The saved list may contain a server that has drained since, and the drain counts as known to the
    proxy."""

    async def test() -> None:
        async with proxy(backends=2, lists="push") as p:
            drained, new = p.backends
            received = await p.registry.requests.get()
            assert received.line == "GET /registry/instances HTTP/1.1"  # a snapshot, although a list is saved
            client, other = await p.client(), await p.client()
            assert await status(other) == 503
            client.send("/lookup", "GET")
            reply(received, listing(5, target("s0", drained.address, "leaving"), target("s1", new.address)))
            (await new.requests.get()).reply()
            assert (await client.reply()).status == 200
            assert await status(other) == 200
            assert drained.requests.empty()

    run(test())


def test_polls_follow_each_other_and_deltas_apply_at_once() -> None:
    async def test() -> None:
        async with proxy(backends=1, lists="push") as p:
            (server,) = p.backends
            reply(await p.registry.requests.get(), listing(5, target("s0", server.address)))
            watch = await p.registry.requests.get()
            assert "?since=5&timeout_ms=" in watch.line
            reply(watch, listing(6, target("s0", server.address, "leaving"), snapshot=False))
            assert "?since=6&" in (await p.registry.requests.get()).line
            assert await status(await p.client()) == 503

    run(test())


@pytest.mark.parametrize("how", ["silent", "503", "reset"])
def test_a_failing_agent_is_polled_again_at_once(how: str) -> None:
    async def test() -> None:
        async with proxy(backends=1, lists="push") as p:
            async with asyncio.timeout(RETRY_LIMIT_S):
                for _ in range(3):
                    received = await p.registry.requests.get()
                    if how == "503":
                        received.reply(status=503)
                    elif how == "reset":
                        received.writer.transport.abort()
            reply(await p.registry.requests.get(), listing(5, target("s0", p.backends[0].address)))
            assert "?since=5&" in (await p.registry.requests.get()).line
            assert await status(await p.client()) == 200

    run(test())


def test_a_process_whose_agent_is_silent_sends_nothing_and_is_ready_in_time(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """review/10: a saved list was used after a second, and a server on it had drained before the start."""
    monkeypatch.setattr(engine_module, "READY_WITHOUT_LIST_S", 0.3)

    async def test() -> None:
        async with proxy(backends=2, lists="push") as p:
            drained, active = p.backends
            other = await p.client()
            assert await status(other) == 503
            waiting = await p.client()
            waiting.send("/lookup", "GET", x_call_id="waiting")
            async with asyncio.timeout(5.0):
                while await status(other) != 200:
                    await asyncio.sleep(0.01)
            refused = await p.client()
            refused.send("/lookup", "GET", x_call_id="refused", x_budget_ms="300")
            assert (await refused.reply()).status in (503, 504)
            assert drained.requests.empty() and active.requests.empty()
            received = await p.registry.requests.get()
            while received.writer.transport.is_closing():  # the proxy has given up on these polls
                received = await p.registry.requests.get()
            reply(
                received, listing(5, target("s0", drained.address, "leaving"), target("s1", active.address))
            )
            (await active.requests.get()).reply()
            assert (await waiting.reply()).status == 200
            assert await status(other) == 200
            assert drained.requests.empty()

    run(test())


def test_a_process_whose_agent_has_no_server_is_not_ready(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(engine_module, "READY_WITHOUT_LIST_S", 0.05)

    async def test() -> None:
        async with proxy(backends=1, lists="push") as p:
            reply(await p.registry.requests.get(), listing(5))
            await p.registry.requests.get()
            await asyncio.sleep(0.1)
            client = await p.client()
            assert await status(client) == 503
            client.send("/lookup", "GET", x_budget_ms="300")
            assert (await client.reply()).status == 504
            assert p.backends[0].requests.empty()

    run(test())


def test_a_new_agent_is_polled_in_the_loop_turn_of_the_address_change() -> None:
    async def test() -> None:
        second = await ScriptedServer().open()
        async with proxy(backends=1, lists="push") as p:
            watch = await p.registry.requests.get()
            reply(watch, listing(5, target("s0", p.backends[0].address)))
            watch = await p.registry.requests.get()
            p.engine.change_list_address(second.address)
            received = await second.requests.get()
            assert received.line == "GET /registry/instances HTTP/1.1"
            await watch.closed.wait()
            reply(received, listing(2, target("s0", p.backends[0].address, "leaving")))
            assert "?since=2&" in (await second.requests.get()).line
            assert await status(await p.client()) == 503
        second.close()

    run(test())
