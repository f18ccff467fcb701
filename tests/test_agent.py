"""Where lists are pushed, an agent on this machine has them: what it has counts as told, watched or not."""

from __future__ import annotations

import asyncio
import json
from typing import Any

import pytest

from flintlatch.net import engine as engine_module
from flintlatch.net.discovery import AGENT_TIMEOUT_MS, AGENT_RETRY_DELAY_S
from tests.loopback import Call, Client, Peer, listing, proxy, run, target

SOON_S = (AGENT_TIMEOUT_MS / 1000 + AGENT_RETRY_DELAY_S) * 10  # far above the time between two calls of an agent


def reply(call: Call, what: Any) -> None:
    call.reply(json.dumps(what).encode())


async def status(client: Client) -> int:
    return (await client.ask("/health/ready", "GET")).status


def test_a_new_process_sends_nothing_before_its_agent_has_answered() -> None:
    """The list from before may name a server that has drained since, and of that it counts as told."""

    async def test() -> None:
        async with proxy(backends=2, lists="push") as p:
            drained, new = p.backends
            call = await p.registry.calls.get()
            assert call.line == "GET /registry/instances HTTP/1.1"  # the whole list, whatever is known
            client, other = await p.client(), await p.client()
            assert await status(other) == 503
            client.send("/lookup", "GET")
            reply(call, listing(5, target("s0", drained.address, "leaving"), target("s1", new.address)))
            (await new.calls.get()).reply()
            assert (await client.reply()).status == 200
            assert await status(other) == 200
            assert drained.calls.empty()

    run(test())


def test_watches_follow_and_their_news_holds_at_once() -> None:
    async def test() -> None:
        async with proxy(backends=1, lists="push") as p:
            (server,) = p.backends
            reply(await p.registry.calls.get(), listing(5, target("s0", server.address)))
            watch = await p.registry.calls.get()
            assert "?since=5&timeout_ms=" in watch.line
            reply(watch, listing(6, target("s0", server.address, "leaving"), whole=False))
            assert "?since=6&" in (await p.registry.calls.get()).line
            assert await status(await p.client()) == 503

    run(test())


@pytest.mark.parametrize("how", ["silent", "503", "reset"])
def test_an_agent_that_fails_is_asked_again_at_once(how: str, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(engine_module, "SAVED_LIST_DELAY_S", 1000.0)

    async def test() -> None:
        async with proxy(backends=1, lists="push") as p:
            async with asyncio.timeout(SOON_S):
                for _ in range(3):
                    call = await p.registry.calls.get()
                    if how == "503":
                        call.reply(status=503)
                    elif how == "reset":
                        call.writer.transport.abort()
            reply(await p.registry.calls.get(), listing(5, target("s0", p.backends[0].address)))
            assert "?since=5&" in (await p.registry.calls.get()).line
            assert await status(await p.client()) == 200

    run(test())


def test_with_an_agent_that_says_nothing_the_list_known_before_counts(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(engine_module, "SAVED_LIST_DELAY_S", 0.05)

    async def test() -> None:
        async with proxy(backends=1, lists="push") as p:
            client = await p.client()
            client.send("/lookup", "GET")
            (await p.backends[0].calls.get()).reply()
            assert (await client.reply()).status == 200

    run(test())


def test_a_new_agent_is_asked_in_the_turn_of_the_move() -> None:
    async def test() -> None:
        second = await Peer().open()
        async with proxy(backends=1, lists="push") as p:
            watch = await p.registry.calls.get()
            reply(watch, listing(5, target("s0", p.backends[0].address)))
            watch = await p.registry.calls.get()
            p.engine.move_list(second.address)
            call = await second.calls.get()
            assert call.line == "GET /registry/instances HTTP/1.1"
            await watch.closed.wait()
            reply(call, listing(2, target("s0", p.backends[0].address, "leaving")))
            assert "?since=2&" in (await second.calls.get()).line
            assert await status(await p.client()) == 503
        second.close()

    run(test())
