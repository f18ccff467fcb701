"""Two events in one loop turn: a response and its deadline, a list and a leaving client, a change of the list
service and a poll."""

from __future__ import annotations

import asyncio
import json

import pytest

from flintlatch.net.discovery import ListConnection
from flintlatch.net.http1 import Response
from flintlatch.net.listing import read_listing
from flintlatch.net.receiving import peer_closed
from flintlatch.platform.node import PlatformConnection
from tests.loopback import ScriptedServer, listing, proxy, run, target
from tests.test_closing import accepted_client, raw_connection
from tests.test_discovery import RecordedDiscovery
from tests.test_leaving import request_head, until, until_settled


@pytest.mark.parametrize("deadline_first", [True, False])
@pytest.mark.parametrize("status", [200, 500, 503])
def test_a_response_in_the_turn_of_its_deadline_is_answered_once(
    status: int, deadline_first: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The next request on the same connection gets its own response, never the one that arrived too late."""
    original = PlatformConnection.on_response

    async def test() -> None:
        async with proxy() as p:

            def patched(connection: PlatformConnection, response: Response) -> None:
                (pending,) = p.engine.requests.values()
                if not deadline_first:
                    original(connection, response)
                p.engine._on_deadline(pending)
                if deadline_first:
                    original(connection, response)

            client = await p.client()
            client.send("/answer", x_call_id="one")
            received = await p.backends[0].requests.get()
            monkeypatch.setattr(PlatformConnection, "on_response", patched)
            headers = {"x-rejected": "1"} if status == 503 else {}
            received.reply(b"first", status, headers)
            first = await client.reply()
            in_time = status == 200 and not deadline_first
            assert (first.status, first.body) == ((200, b"first") if in_time else (504, b""))
            await until_settled(p)
            monkeypatch.setattr(PlatformConnection, "on_response", original)
            client.send("/answer", x_call_id="two")
            received = await p.backends[0].requests.get()
            assert received.headers["x-call-id"] == "two"  # nothing of the first was sent again
            received.reply(b"second")
            assert (await client.reply()).body == b"second"

    run(test())


@pytest.mark.parametrize("half_close", [True, False])
def test_a_queued_request_whose_client_left_as_its_server_was_listed_is_not_sent(half_close: bool) -> None:
    async def test() -> None:
        backend = await ScriptedServer().open()
        async with proxy(backends=0) as p:
            with raw_connection(p) as sock:
                client = await accepted_client(p)
                sock.sendall(request_head("queued"))
                await until(lambda: p.engine.balancer.requests)
                if half_close:
                    sock.shutdown(1)
                else:
                    sock.close()
                assert peer_closed(client.transport)  # and unread, because the loop has not run since
                raw_list = listing(2, target("s", backend.address))
                p.engine.on_list(read_listing(raw_list, p.engine.discovery.wire))  # type: ignore[union-attr]
                await until_settled(p)
                assert backend.requests.empty()
        backend.close()

    run(test())


def test_a_poll_answered_in_the_turn_of_an_address_change_is_ignored(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    original = ListConnection.on_response

    async def test() -> None:
        old, new = await ScriptedServer().open(), await ScriptedServer().open()
        recorded = RecordedDiscovery(old.address)

        def patched(connection: ListConnection, response: Response) -> None:
            original(connection, response)
            monkeypatch.setattr(ListConnection, "on_response", original)
            assert recorded.discovery.change_address(new.address)
            recorded.discovery.watch()

        recorded.discovery.watch()
        poll = await old.requests.get()
        monkeypatch.setattr(ListConnection, "on_response", patched)
        poll.reply(json.dumps(listing(99, target("old", "127.0.0.9:80"))).encode())
        received = await new.requests.get()
        assert received.line == "GET /registry/instances HTTP/1.1"
        await poll.closed.wait()
        received.reply(json.dumps(listing(3, target("new", "127.0.0.9:81"))).encode())
        update = await recorded.lists.get()
        assert [t.uid for t in update.targets] == ["new"]
        assert "?since=3&" in (await new.requests.get()).line
        await asyncio.sleep(0)
        assert recorded.lists.empty() and recorded.failures.empty()
        recorded.discovery.close()
        old.close()
        new.close()

    run(test())
