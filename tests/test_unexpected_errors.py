"""An exception that no code expected, in any callback: its request is answered, and it is counted and
logged."""

from __future__ import annotations

import asyncio
from typing import Any

import pytest

from flintlatch.exchange import Exchange
from flintlatch.net import frontend as frontend_module
from flintlatch.net.client import Client as AcceptedClient
from flintlatch.platform.front import PlatformClient
from flintlatch.platform.node import PlatformConnection
from tests.loopback import proxy, run
from tests.test_leaving import request_head, until


class Broken:
    """Replaces a method by one that raises once, on its next call after `arm`."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch, owner: type, name: str) -> None:
        self.original = getattr(owner, name)
        self.armed = self.raised = False
        monkeypatch.setattr(owner, name, lambda *args, **kwargs: self.call(*args, **kwargs))

    def arm(self) -> None:
        self.armed = True

    def call(self, *args: Any, **kwargs: Any) -> Any:
        if self.armed and not self.raised:
            self.raised = True
            raise ZeroDivisionError("for a test")
        return self.original(*args, **kwargs)


@pytest.mark.parametrize(
    ("owner", "name"),
    [
        (PlatformConnection, "on_connected"),
        (PlatformConnection, "send_attempt"),
        (Exchange, "attach"),
        (PlatformConnection, "accepts_framing"),
        (PlatformConnection, "on_response"),
        (Exchange, "begin"),
    ],
)
def test_an_error_in_an_attempt_ends_it_and_its_request_is_answered(
    owner: type, name: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def test() -> None:
        async with proxy(2) as p:
            broken = Broken(monkeypatch, owner, name)
            broken.arm()
            client = await p.client()
            client.send("/purchase", x_call_id="one", idempotency_key="k", x_budget_ms="1500")
            replies = [asyncio.create_task(reply_to_all(server)) for server in p.backends]
            async with asyncio.timeout(1.0):
                assert (await client.reply()).status in (200, 500, 503, 504)
            assert broken.raised
            for task in replies:
                task.cancel()
            await until(lambda: not p.engine.requests and not p.engine.exchanges)

    run(test(), expected_bugs=1)


async def reply_to_all(server: Any) -> None:
    while True:
        (await server.requests.get()).reply()


def test_an_error_while_a_kept_connection_is_used_ends_the_attempt(monkeypatch: pytest.MonkeyPatch) -> None:
    async def test() -> None:
        async with proxy() as p:
            client = await p.client()
            answering = asyncio.create_task(reply_to_all(p.backends[0]))
            client.send(x_call_id="before")
            assert (await client.reply()).status == 200
            await asyncio.sleep(0.05)
            Broken(monkeypatch, PlatformConnection, "send_attempt").arm()
            client.send(x_call_id="after")
            async with asyncio.timeout(1.0):
                assert (await client.reply()).status == 200  # never ran, so it was tried again
            answering.cancel()

    run(test(), expected_bugs=1)


@pytest.mark.parametrize("name", ["_parse", "on_headers_complete", "_start_upload", "data_received"])
def test_an_error_while_a_request_is_read_answers_what_is_open_and_then_500(
    name: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def test() -> None:
        async with proxy() as p:
            broken = Broken(monkeypatch, PlatformClient, name)
            client = await p.client()
            client.writer.write(request_head("open"))
            received = await p.backends[0].requests.get()
            broken.arm()
            client.writer.write(request_head("behind"))
            await asyncio.sleep(0.05)
            received.reply(b"first")
            async with asyncio.timeout(1.0):
                assert (await client.reply()).body == b"first"
                assert (await client.reply()).status == 500
                assert await client.ended()

    run(test(), expected_bugs=1)


def test_an_error_in_the_check_of_one_client_does_not_stop_those_of_the_others(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(frontend_module, "SWEEP_INTERVAL_S", 0.05)
    monkeypatch.setattr(frontend_module, "IDLE_TIMEOUT_S", 0.01)
    close_when_idle, broken = AcceptedClient.close_when_idle, set[AcceptedClient]()

    def close_or_raise(client: AcceptedClient) -> None:
        broken.update(set() if broken else {client})  # the first client raises each time
        if client in broken:
            raise ZeroDivisionError("for a test")
        close_when_idle(client)

    monkeypatch.setattr(AcceptedClient, "close_when_idle", close_or_raise)

    async def test() -> None:
        async with proxy() as p:
            clients = [await p.client() for _ in range(3)]
            for client in clients:
                client.send("/health/ready", "GET")
            async with asyncio.timeout(2.0):
                for client in clients:
                    assert (await client.reply()).status == 200
                    assert await client.ended()

    run(test(), expected_bugs=1)
