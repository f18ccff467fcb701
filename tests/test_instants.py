"""Two events of one turn: an answer and its deadline, a list and a client's end, a move and a watch."""

from __future__ import annotations

import asyncio
import json

import pytest

from flintlatch.net.discovery import ListConnection
from flintlatch.net.discovery import read_listing
from flintlatch.net.http1 import Response, peer_closed
from flintlatch.platform.node import PlatformConnection
from tests.loopback import Peer, listing, proxy, run, target
from tests.test_closing import raw, served
from tests.test_discovery import Heard
from tests.test_leaving import head, settled, until


@pytest.mark.parametrize("deadline_first", [True, False])
@pytest.mark.parametrize("status", [200, 500, 503])
def test_an_answer_in_the_instant_of_its_deadline_is_one_answer(
    status: int, deadline_first: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The next request on the same connection gets its own answer, never the one that came too late."""
    took = PlatformConnection.on_response

    async def test() -> None:
        async with proxy() as p:

            def crossed(connection: PlatformConnection, response: Response) -> None:
                (pending,) = p.engine.requests.values()
                if not deadline_first:
                    took(connection, response)
                p.engine._on_deadline(pending)
                if deadline_first:
                    took(connection, response)

            client = await p.client()
            client.send("/answer", x_call_id="one")
            call = await p.backends[0].calls.get()
            monkeypatch.setattr(PlatformConnection, "on_response", crossed)
            headers = {"x-rejected": "1"} if status == 503 else {}
            call.reply(b"first", status, headers)
            first = await client.reply()
            good = status == 200 and not deadline_first
            assert (first.status, first.body) == ((200, b"first") if good else (504, b""))
            await settled(p)
            monkeypatch.setattr(PlatformConnection, "on_response", took)
            client.send("/answer", x_call_id="two")
            call = await p.backends[0].calls.get()
            assert call.headers["x-call-id"] == "two"  # nothing of the first was sent again
            call.reply(b"second")
            assert (await client.reply()).body == b"second"

    run(test())


@pytest.mark.parametrize("half", [True, False])
def test_a_queued_request_whose_client_left_as_its_server_came_goes_nowhere(half: bool) -> None:
    async def test() -> None:
        backend = await Peer().open()
        async with proxy(backends=0) as p:
            with raw(p) as sock:
                client = await served(p)
                sock.sendall(head("queued"))
                await until(lambda: p.engine.balancer.requests)
                if half:
                    sock.shutdown(1)
                else:
                    sock.close()
                assert peer_closed(client.transport)  # and unread: the loop has had no turn since
                raw_list = listing(2, target("s", backend.address))
                p.engine.on_list(read_listing(raw_list, p.engine.discovery.wire))  # type: ignore[union-attr]
                await settled(p)
                assert backend.calls.empty()
        backend.close()

    run(test())


def test_a_watch_answered_in_the_turn_of_a_move_brings_nothing_of_the_old_service(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    took = ListConnection.on_response

    async def test() -> None:
        old, new = await Peer().open(), await Peer().open()
        heard = Heard(old.address)

        def crossed(call: ListConnection, response: Response) -> None:
            took(call, response)
            monkeypatch.setattr(ListConnection, "on_response", took)
            assert heard.discovery.change_address(new.address)
            heard.discovery.watch()

        heard.discovery.watch()
        watch = await old.calls.get()
        monkeypatch.setattr(ListConnection, "on_response", crossed)
        watch.reply(json.dumps(listing(99, target("old", "127.0.0.9:80"))).encode())
        call = await new.calls.get()
        assert call.line == "GET /registry/instances HTTP/1.1"
        await watch.closed.wait()
        call.reply(json.dumps(listing(3, target("new", "127.0.0.9:81"))).encode())
        news = await heard.lists.get()
        assert [t.uid for t in news.targets] == ["new"]
        assert "?since=3&" in (await new.calls.get()).line
        await asyncio.sleep(0)
        assert heard.lists.empty() and heard.failures.empty()
        heard.discovery.close()
        old.close()
        new.close()

    run(test())
