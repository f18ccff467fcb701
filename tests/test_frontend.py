"""The clients' side: what is taken, what is turned away, and that each request is answered once."""

from __future__ import annotations

import asyncio
import socket

import pytest

from flintlatch.net import engine as engine_module
from flintlatch.net import frontend as frontend_module
from tests.loopback import Client, proxy, run


def test_a_request_goes_on_unchanged_and_the_answer_comes_back() -> None:
    async def test() -> None:
        async with proxy() as p:
            client = await p.client()
            client.send("/purchase/7?x=1", body=b"\x00body", idempotency_key="k1", x_other="no",
                        x_caller="acme", connection="x-hop", x_hop="dropped")  # fmt: skip
            call = await p.backends[0].calls.get()
            assert call.line == "POST /purchase/7?x=1 HTTP/1.1"
            assert call.body == b"\x00body"
            assert (call.headers["x-call-id"], call.headers["idempotency-key"]) == ("c1", "k1")
            assert 0 < int(call.headers["x-budget-ms"]) <= 20000
            assert call.headers["x-caller"] == "acme"
            # What a backend has no use for can only make it turn the request away.
            assert "x-other" not in call.headers and "x-hop" not in call.headers
            call.reply(b"\x01answer", headers={"content-type": "app/x", "x-load-report": "?"})
            reply = await client.reply()
            assert (reply.status, reply.body, reply.headers["content-type"]) == (200, b"\x01answer", "app/x")
            assert "x-load-report" not in reply.headers

    run(test())


def test_a_get_is_sent_for_a_class_that_is_safe_to_repeat() -> None:
    async def test() -> None:
        async with proxy() as p:
            client = await p.client()
            client.send("/lookup", "GET")
            call = await p.backends[0].calls.get()
            assert (call.line, call.body) == ("GET /lookup HTTP/1.1", b"")
            call.reply()
            assert (await client.reply()).status == 200

    run(test())


@pytest.mark.parametrize(
    ("status", "path", "method", "headers"),
    [
        (404, "/unknown", "POST", {}),
        (404, "/", "POST", {}),
        (405, "/answer", "GET", {}),
        (405, "/lookup", "POST", {}),
        (405, "/health/ready", "POST", {}),
        (400, "/purchase", "POST", {}),
        (400, "/answer", "POST", {"x_call_id": None}),
        (400, "/answer", "POST", {"x_call_id": ""}),
        (400, "/answer", "POST", {"x_call_id": "x" * 200}),
        (400, "/answer", "POST", {"x_budget_ms": None}),
        (400, "/answer", "POST", {"x_budget_ms": "soon"}),
        (400, "/answer", "POST", {"x_budget_ms": "-5"}),
        (400, "/answer", "POST", {"x_budget_ms": "0"}),
        (400, "/answer", "POST", {"x_budget_ms": "9" * 5000}),
        (400, "/answer", "POST", {"x_call_id": "a b"}),
        (400, "/answer/" + "x" * 3000, "POST", {}),
        (400, "/answer", "POST", {"x_route_hash": "no hex"}),
        (400, "/answer", "POST", {"host": None}),
        (400, "/answer", "POST", {"X-Budget-Ms": "7"}),
    ],
)  # fmt: skip
def test_bad_requests_are_answered_and_the_connection_stays_sane(
    status: int, path: str, method: str, headers: dict[str, str | None]
) -> None:
    async def test() -> None:
        async with proxy() as p:
            client = await p.client()
            assert (await client.ask(path, method, **headers)).status == status
            assert (await client.ask("/health/ready", "GET")).status == 200
            assert p.backends[0].connections == 0

    run(test())


@pytest.mark.parametrize(
    ("status", "sent"),
    [
        (400, b"nonsense\r\n\r\n"),
        (400, b"POST /answer HTTP/1.1\r\nhost: a\r\ncontent-length: 1\r\ntransfer-encoding: chunked\r\n\r\n"),
        # Both lengths: another server could see another request in the body.
        (400, b"POST /answer HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\ncontent-length: 1\r\n\r\n"),
        (400, b"POST /answer HTTP/1.1\r\nhost: a\r\nTRANSFER-ENCODING:\t Chunked \r\n"
              b"Content-Length:1\r\n\r\n"),
        (400, b"POST /answer HTTP/1.1\r\nhost: a\r\ntransfer-encoding : chunked\r\n"
              b"content-length: 1\r\n\r\n"),
        (400, b"POST /answer HTTP/1.1\r\nhost: a\r\ncontent-length: 1\r\ncontent-length: 1\r\n\r\nx"),
        (400, b"POST /answer HTTP/1.1\r\nhost: a\r\ntransfer-encoding: gzip, chunked\r\n\r\n"),
        (400, b"POST /answer HTTP/1.1\r\nhost: a\r\ncontent-length: -1\r\n\r\n"),
        # Bytes after the head are counted too, whatever they are.
        (413, b"POST /answer HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n0\r\n"
              + b"x-trailer: y\r\n" * 40000),
        (413, b"POST /answer HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n1;" + b"e" * 400000),
        # A length that is too small: what follows at once shows that it does not tell the end.
        (400, b"POST /answer HTTP/1.1\r\nhost: a\r\nx-call-id: c\r\nx-budget-ms: 20000\r\n"
              b"content-length: 2\r\n\r\nbody"),
        (400, b"GET /lookup HTTP/1.1\r\nhost: a\r\nx-long: " + b"y" * 20000 + b"\r\n\r\n"),
        (400, b"GET /lookup HTTP/1.1\r\nx-endless: " + b"y" * 200000),
        (413, b"POST /answer HTTP/1.1\r\nhost: a\r\ncontent-length: 41943041\r\n\r\n"),
        (413, b"POST /answer HTTP/1.1\r\nhost: a\r\ncontent-length: 99999999999\r\n\r\n"),
    ],
)  # fmt: skip
def test_what_cannot_be_read_is_answered_and_the_connection_ends(status: int, sent: bytes) -> None:
    async def test() -> None:
        async with proxy() as p:
            client = await p.client()
            client.writer.write(sent)
            reply = await client.reply()
            assert (reply.status, reply.headers["connection"]) == (status, "close")
            assert await client.ended()
            other = await p.client()
            assert (await other.ask("/health/ready", "GET")).status == 200

    run(test())


def test_a_body_of_64_kib_in_chunks_is_taken() -> None:
    async def test() -> None:
        async with proxy() as p:
            client = await p.client()
            client.writer.write(
                b"POST /answer HTTP/1.1\r\nhost: a\r\nx-call-id: c\r\nx-budget-ms: 20000\r\n"
                b"transfer-encoding: chunked\r\n\r\n10000\r\n" + b"z" * 65536 + b"\r\n0\r\n\r\n"
            )
            call = await p.backends[0].calls.get()
            assert call.body == b"z" * 65536 and "transfer-encoding" not in call.headers
            call.reply(b"r" * 65536)
            assert (await client.reply()).body == b"r" * 65536

    run(test())


def test_an_id_that_is_open_is_not_taken_again() -> None:
    async def test() -> None:
        async with proxy() as p:
            first, second = await p.client(), await p.client()
            first.send()
            call = await p.backends[0].calls.get()
            assert (await second.ask()).status == 400
            call.reply(b"first")
            assert (await first.reply()).body == b"first"

    run(test())


def test_requests_sent_ahead_on_one_connection_are_answered_in_order() -> None:
    async def test() -> None:
        async with proxy() as p:
            client = await p.client()
            for number in range(20):
                client.send(x_call_id=f"c{number}")
            for number in range(20):
                call = await p.backends[0].calls.get()
                assert call.headers["x-call-id"] == f"c{number}"
                call.reply(b"%d" % number)
                assert (await client.reply()).body == b"%d" % number

    run(test())


def test_what_was_sent_ahead_is_answered_before_a_stop_closes_the_connection() -> None:
    async def test() -> None:
        async with proxy() as p:
            client = await p.client()
            client.send(x_call_id="c0")
            client.send(x_call_id="c1")
            call = await p.backends[0].calls.get()
            p.frontend.disable_keep_alive()
            call.reply(b"0")
            assert (await client.reply()).body == b"0"
            (await p.backends[0].calls.get()).reply(b"1")
            reply = await client.reply()
            assert (reply.body, reply.headers["connection"]) == (b"1", "close")
            assert await client.ended()

    run(test())


def test_the_budget_of_a_request_sent_ahead_runs_while_it_waits() -> None:
    async def test() -> None:
        async with proxy() as p:
            client = await p.client()
            client.send(x_call_id="c0")
            client.send(x_call_id="c1", x_budget_ms="200")
            call = await p.backends[0].calls.get()
            await asyncio.sleep(0.25)  # longer than the second may wait, however long it takes
            call.reply()
            assert (await client.reply()).status == 200
            assert (await client.reply()).status == 504
            assert p.backends[0].calls.empty()

    run(test())


def test_a_client_that_leaves_frees_its_backend() -> None:
    async def test() -> None:
        async with proxy() as p:
            client = await p.client()
            client.send()
            call = await p.backends[0].calls.get()
            client.close()
            await call.closed.wait()
            while p.engine.requests:  # a turn of the loop or two, within the limit on the test
                await asyncio.sleep(0)

    run(test())


def test_half_an_answer_never_goes_out() -> None:
    async def test() -> None:
        async with proxy() as p:
            client = await p.client()
            client.send()
            call = await p.backends[0].calls.get()
            call.writer.write(b"HTTP/1.1 200 OK\r\ncontent-length: 100\r\n\r\nhalf of it")
            call.writer.close()
            reply = await client.reply()
            assert (reply.status, reply.body) == (504, b"")

    run(test())


def test_an_answer_that_says_it_is_longer_than_any_is_not_passed_on() -> None:
    async def test() -> None:
        async with proxy() as p:
            client = await p.client()
            client.send()
            call = await p.backends[0].calls.get()
            call.writer.write(b"HTTP/1.1 200 OK\r\ncontent-length: 3000000000\r\n\r\n" + b"x" * 70_000)
            assert (await client.reply()).status == 504

    run(test())


def test_a_client_gets_its_answer_while_it_still_sends_what_nobody_reads(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(frontend_module, "LINGER_TIMEOUT_S", 30.0)

    def ask(address: str) -> bytes:
        host, port = address.split(":")
        with socket.create_connection((host, int(port))) as sock:
            sock.sendall(b"POST /answer HTTP/1.1\r\nhost: a\r\ncontent-length: 60000000\r\n\r\n")
            sock.sendall(b"x" * 800_000)
            return sock.recv(1000)

    async def test() -> None:
        async with proxy() as p:
            assert (await asyncio.to_thread(ask, p.frontend.address)).startswith(b"HTTP/1.1 413 ")

    run(test())


def test_at_the_cap_the_connection_idle_for_longest_makes_room() -> None:
    async def test() -> None:
        async with proxy() as p:
            p.frontend.max_connections = 2
            busy, idle = await p.client(), await p.client()
            busy.send()
            call = await p.backends[0].calls.get()
            assert (await idle.ask("/health/ready", "GET")).status == 200
            third = await p.client()
            assert (await third.ask("/health/ready", "GET")).status == 200
            assert await idle.ended()
            call.reply()
            assert (await busy.reply()).status == 200

    run(test())


def test_at_the_cap_with_all_busy_the_next_client_waits_its_turn() -> None:
    async def test() -> None:
        async with proxy() as p:
            p.frontend.max_connections = 1
            busy = await p.client()
            busy.send()
            call = await p.backends[0].calls.get()
            waiting = await p.client()
            waiting.send("/health/ready", "GET")
            while p.frontend.accepting:
                await asyncio.sleep(0.001)
            call.reply()
            assert (await busy.reply()).status == 200
            assert (await waiting.reply()).status == 200

    run(test())


def test_a_request_that_never_comes_in_whole_loses_its_connection(monkeypatch: pytest.MonkeyPatch) -> None:
    # Also one of which a byte comes now and then, and one that comes on a connection kept from before.
    monkeypatch.setattr(frontend_module, "REQUEST_READ_TIMEOUT_S", 0.02)

    async def test() -> None:
        async with proxy() as p:
            silent, half, kept = await p.client(), await p.client(), await p.client()
            half.writer.write(b"POST /answer HTTP/1.1\r\nhost")
            assert (await kept.ask("/health/ready", "GET")).status == 200
            kept.writer.write(b"POST /answer HTTP/1.1\r\nhost: a\r\ncontent-length: 10\r\n\r\nhalf")
            for client in (half, kept):
                reply = await client.reply()
                assert (reply.status, reply.headers["connection"]) == (408, "close")
                assert await client.ended()
            assert await silent.ended()
            assert p.backends[0].connections == 0

    run(test())


def test_bytes_now_and_then_win_no_more_time() -> None:
    async def test() -> None:
        async with proxy() as p:
            client = await p.client()
            for byte in (b"G", b"E", b"T"):
                client.writer.write(byte)
                while not p.frontend.reading_clients:
                    await asyncio.sleep(0.001)
                since = next(iter(p.frontend.reading_clients.values()))
                await asyncio.sleep(0.01)
                assert next(iter(p.frontend.reading_clients.values())) == since

    run(test())


def test_at_the_cap_a_silent_connection_goes_before_one_that_was_used(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(frontend_module, "EVICTION_GRACE_MS", 0.0)

    async def test() -> None:
        async with proxy() as p:
            p.frontend.max_connections = 2
            used, silent = await p.client(), await p.client()
            assert (await used.ask("/health/ready", "GET")).status == 200
            while len(p.frontend.reading_clients) != 1:
                await asyncio.sleep(0.001)
            third = await p.client()
            assert (await third.ask("/health/ready", "GET")).status == 200
            assert await silent.ended()
            assert (await used.ask("/health/ready", "GET")).status == 200

    run(test())


def test_idle_connections_do_not_pile_up_to_the_cap(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(frontend_module, "CROWDED_IDLE_TIMEOUT_S", 0.02)

    async def test() -> None:
        async with proxy() as p:
            p.frontend.max_connections = 3
            first, second = await p.client(), await p.client()
            for client in (first, second):
                assert (await client.ask("/health/ready", "GET")).status == 200
            assert await first.ended()

    run(test())


def test_an_id_of_late_is_not_taken_again() -> None:
    # Ids don't return: one that does is another client's, and would be served twice.
    async def test() -> None:
        async with proxy() as p:
            client = await p.client()
            client.send()
            (await p.backends[0].calls.get()).reply()
            assert (await client.reply()).status == 200
            assert (await client.ask()).status == 400
            assert p.backends[0].calls.empty()

    run(test())


def test_ids_are_remembered_for_a_while_and_no_longer(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(engine_module, "MAX_RECENT_IDS", 3)

    async def test() -> None:
        async with proxy() as p:
            client = await p.client()
            for number in range(9):
                client.send(x_call_id=f"c{number}")
                (await p.backends[0].calls.get()).reply()
                assert (await client.reply()).status == 200
            assert len(p.engine.recent_ids) == 3

    run(test())


def test_a_connection_that_only_errs_is_closed_and_hundreds_sent_at_once_are_not_read() -> None:
    async def test() -> None:
        async with proxy() as p:
            client = await p.client()
            for _ in range(500):
                client.send("/unknown")
            statuses = [(await client.reply()).status for _ in range(frontend_module.MAX_CONSECUTIVE_ERRORS)]
            assert set(statuses) == {404}
            assert await client.ended()

    run(test())


def test_a_trailer_is_no_header() -> None:
    async def test() -> None:
        async with proxy() as p:
            client = await p.client()
            client.writer.write(
                b"POST /answer HTTP/1.1\r\nhost: a\r\nx-call-id: c\r\nx-budget-ms: 20000\r\n"
                b"transfer-encoding: chunked\r\n\r\n0\r\nx-call-id: other\r\nx-again: 1\r\n\r\n"
            )
            call = await p.backends[0].calls.get()
            assert call.headers["x-call-id"] == "c" and "x-again" not in call.headers
            call.reply()
            assert (await client.reply()).status == 200

    run(test())


def test_what_is_sent_after_the_last_answer_is_read_up_to_a_bound(monkeypatch: pytest.MonkeyPatch) -> None:
    # 60 MB sent at full speed must not cost the time of the other clients.
    monkeypatch.setattr(frontend_module, "LINGER_TIMEOUT_S", 1000.0)
    monkeypatch.setattr(frontend_module, "MAX_LINGER_BYTES", 100_000)

    async def test() -> None:
        async with proxy() as p:
            client = await p.client()
            client.writer.write(b"POST /answer HTTP/1.1\r\nhost: a\r\ncontent-length: 60000000\r\n\r\n")
            assert (await client.reply()).status == 413
            client.writer.write(b"x" * 60_000_000)
            while p.frontend.clients:
                await asyncio.sleep(0.001)

    run(test())


def test_stopping_serves_what_comes_and_closes_between_requests() -> None:
    async def test() -> None:
        async with proxy() as p:
            busy, idle = await p.client(), await p.client()
            busy.send()
            assert (await idle.ask("/health/ready", "GET")).status == 200
            call = await p.backends[0].calls.get()
            p.frontend.disable_keep_alive()
            late = await Client.open(p.frontend.address)
            reply = await late.ask("/health/ready", "GET")
            assert (reply.status, reply.headers["connection"]) == (503, "close")
            late.close()
            ended = asyncio.create_task(p.frontend.finish(30.0))
            assert await idle.ended()
            assert not ended.done()
            call.reply(b"last")
            reply = await busy.reply()
            assert (reply.status, reply.body, reply.headers["connection"]) == (200, b"last", "close")
            assert await busy.ended()
            busy.close()
            await ended
            with pytest.raises(ConnectionRefusedError):
                await p.client()

    run(test())


def test_a_stop_waits_for_what_came_after_a_moment_with_nobody_connected() -> None:
    """While it still accepts, its only client leaves and another one comes: that one's request is taken."""

    async def test() -> None:
        async with proxy() as p:
            first = await p.client()
            assert (await first.ask("/health/ready", "GET")).status == 200
            p.frontend.disable_keep_alive()
            first.close()
            while p.frontend.connection_count:
                await asyncio.sleep(0.001)
            late = await Client.open(p.frontend.address)
            late.send()
            call = await p.backends[0].calls.get()
            ended = asyncio.create_task(p.frontend.finish(30.0))
            await asyncio.sleep(0)
            await asyncio.sleep(0)
            assert not ended.done()
            call.reply(b"last")
            reply = await late.reply()
            assert (reply.status, reply.body) == (200, b"last")
            late.close()
            await ended

    run(test())


def test_a_stop_serves_what_waits_in_the_queue_of_connections() -> None:
    async def test() -> None:
        async with proxy() as p:
            p.frontend.disable_keep_alive()
            p.frontend._pause_accepting()  # busy elsewhere
            late = await Client.open(p.frontend.address)
            late.send()
            ended = asyncio.create_task(p.frontend.finish(30.0))
            (await p.backends[0].calls.get()).reply(b"last")
            assert (await late.reply()).body == b"last"
            late.close()
            await ended

    run(test())
