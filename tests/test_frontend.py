"""Client connections: which requests are accepted or rejected, and that each one is answered once."""

from __future__ import annotations

import asyncio
import socket

import pytest

from flintlatch.net import client as client_module
from flintlatch.net import connections as connections_module
from flintlatch.net import recent_ids as recent_ids_module
from flintlatch.net.connections import ConnectionState
from tests.loopback import Client, proxy, run


def test_a_request_is_forwarded_unchanged_and_its_response_returned() -> None:
    async def test() -> None:
        async with proxy() as p:
            client = await p.client()
            client.send("/purchase/7?x=1", body=b"\x00body", idempotency_key="k1", x_other="no",
                        x_caller="acme", connection="x-hop", x_hop="dropped")  # fmt: skip
            received = await p.backends[0].requests.get()
            assert received.line == "POST /purchase/7?x=1 HTTP/1.1"
            assert received.body == b"\x00body"
            assert (received.headers["x-call-id"], received.headers["idempotency-key"]) == ("c1", "k1")
            assert 0 < int(received.headers["x-budget-ms"]) <= 20000
            assert received.headers["x-caller"] == "acme"
            # Headers that a backend does not use could only make it reject the request.
            assert "x-other" not in received.headers and "x-hop" not in received.headers
            received.reply(b"\x01answer", headers={"content-type": "app/x", "x-load-report": "?"})
            reply = await client.reply()
            assert (reply.status, reply.body, reply.headers["content-type"]) == (200, b"\x01answer", "app/x")
            assert "x-load-report" not in reply.headers

    run(test())


def test_a_get_is_sent_for_a_class_that_is_safe_to_repeat() -> None:
    async def test() -> None:
        async with proxy() as p:
            client = await p.client()
            client.send("/lookup", "GET")
            received = await p.backends[0].requests.get()
            assert (received.line, received.body) == ("GET /lookup HTTP/1.1", b"")
            received.reply()
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
def test_invalid_requests_are_answered_and_the_connection_stays_usable(
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
        # Two lengths: another server could see another request in the body.
        (400, b"POST /answer HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\ncontent-length: 1\r\n\r\n"),
        (400, b"POST /answer HTTP/1.1\r\nhost: a\r\nTRANSFER-ENCODING:\t Chunked \r\n"
              b"Content-Length:1\r\n\r\n"),
        (400, b"POST /answer HTTP/1.1\r\nhost: a\r\ntransfer-encoding : chunked\r\n"
              b"content-length: 1\r\n\r\n"),
        (400, b"POST /answer HTTP/1.1\r\nhost: a\r\ncontent-length: 1\r\ncontent-length: 1\r\n\r\nx"),
        (400, b"POST /answer HTTP/1.1\r\nhost: a\r\ntransfer-encoding: gzip, chunked\r\n\r\n"),
        (400, b"POST /answer HTTP/1.1\r\nhost: a\r\ncontent-length: -1\r\n\r\n"),
        # Trailers and chunk extensions count towards the size limit.
        (413, b"POST /answer HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n0\r\n"
              + b"x-trailer: y\r\n" * 40000),
        (413, b"POST /answer HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n1;" + b"e" * 400000),
        # A Content-Length that is too small: the bytes that follow show that it is wrong.
        (400, b"POST /answer HTTP/1.1\r\nhost: a\r\nx-call-id: c\r\nx-budget-ms: 20000\r\n"
              b"content-length: 2\r\n\r\nbody"),
        (400, b"GET /lookup HTTP/1.1\r\nhost: a\r\nx-long: " + b"y" * 20000 + b"\r\n\r\n"),
        (400, b"GET /lookup HTTP/1.1\r\nx-endless: " + b"y" * 200000),
        (413, b"POST /answer HTTP/1.1\r\nhost: a\r\ncontent-length: 41943041\r\n\r\n"),
        (413, b"POST /answer HTTP/1.1\r\nhost: a\r\ncontent-length: 99999999999\r\n\r\n"),
    ],
)  # fmt: skip
def test_malformed_requests_are_answered_and_the_connection_closed(status: int, sent: bytes) -> None:
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


def test_a_chunked_body_of_64_kib_is_accepted() -> None:
    async def test() -> None:
        async with proxy() as p:
            client = await p.client()
            client.writer.write(
                b"POST /answer HTTP/1.1\r\nhost: a\r\nx-call-id: c\r\nx-budget-ms: 20000\r\n"
                b"transfer-encoding: chunked\r\n\r\n10000\r\n" + b"z" * 65536 + b"\r\n0\r\n\r\n"
            )
            received = await p.backends[0].requests.get()
            assert received.body == b"z" * 65536 and "transfer-encoding" not in received.headers
            received.reply(b"r" * 65536)
            assert (await client.reply()).body == b"r" * 65536

    run(test())


def test_the_id_of_an_open_request_is_rejected() -> None:
    async def test() -> None:
        async with proxy() as p:
            first, second = await p.client(), await p.client()
            first.send()
            received = await p.backends[0].requests.get()
            assert (await second.ask()).status == 400
            received.reply(b"first")
            assert (await first.reply()).body == b"first"

    run(test())


def test_pipelined_requests_are_answered_in_order() -> None:
    async def test() -> None:
        async with proxy() as p:
            client = await p.client()
            for number in range(20):
                client.send(x_call_id=f"c{number}")
            for number in range(20):
                received = await p.backends[0].requests.get()
                assert received.headers["x-call-id"] == f"c{number}"
                received.reply(b"%d" % number)
                assert (await client.reply()).body == b"%d" % number

    run(test())


def test_pipelined_requests_are_answered_before_a_stop_closes_the_connection() -> None:
    async def test() -> None:
        async with proxy() as p:
            client = await p.client()
            client.send(x_call_id="c0")
            client.send(x_call_id="c1")
            received = await p.backends[0].requests.get()
            p.frontend.disable_keep_alive()
            received.reply(b"0")
            assert (await client.reply()).body == b"0"
            (await p.backends[0].requests.get()).reply(b"1")
            reply = await client.reply()
            assert (reply.body, reply.headers["connection"]) == (b"1", "close")
            assert await client.ended()

    run(test())


def test_the_budget_of_a_pipelined_request_runs_while_it_waits() -> None:
    async def test() -> None:
        async with proxy() as p:
            client = await p.client()
            client.send(x_call_id="c0")
            client.send(x_call_id="c1", x_budget_ms="200")
            received = await p.backends[0].requests.get()
            await asyncio.sleep(0.25)  # longer than the budget of the second request
            received.reply()
            assert (await client.reply()).status == 200
            assert (await client.reply()).status == 504
            assert p.backends[0].requests.empty()

    run(test())


def test_a_leaving_client_frees_its_backend() -> None:
    async def test() -> None:
        async with proxy() as p:
            client = await p.client()
            client.send()
            received = await p.backends[0].requests.get()
            client.close()
            await received.closed.wait()
            while p.engine.requests:  # takes one or two loop turns
                await asyncio.sleep(0)

    run(test())


def test_a_truncated_response_is_not_forwarded() -> None:
    async def test() -> None:
        async with proxy() as p:
            client = await p.client()
            client.send()
            received = await p.backends[0].requests.get()
            received.writer.write(b"HTTP/1.1 200 OK\r\ncontent-length: 100\r\n\r\nhalf of it")
            received.writer.close()
            reply = await client.reply()
            assert (reply.status, reply.body) == (504, b"")

    run(test())


def test_a_response_with_a_too_large_content_length_is_not_forwarded() -> None:
    async def test() -> None:
        async with proxy() as p:
            client = await p.client()
            client.send()
            received = await p.backends[0].requests.get()
            received.writer.write(b"HTTP/1.1 200 OK\r\ncontent-length: 3000000000\r\n\r\n" + b"x" * 70_000)
            assert (await client.reply()).status == 504

    run(test())


def test_a_client_gets_its_response_while_it_still_sends_a_rejected_body(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(connections_module, "LINGER_TIMEOUT_S", 30.0)

    def send_large_body(address: str) -> bytes:
        host, port = address.split(":")
        with socket.create_connection((host, int(port))) as sock:
            sock.sendall(b"POST /answer HTTP/1.1\r\nhost: a\r\ncontent-length: 60000000\r\n\r\n")
            sock.sendall(b"x" * 800_000)
            return sock.recv(1000)

    async def test() -> None:
        async with proxy() as p:
            assert (await asyncio.to_thread(send_large_body, p.frontend.address)).startswith(b"HTTP/1.1 413 ")

    run(test())


def test_at_the_limit_the_longest_idle_connection_is_evicted() -> None:
    async def test() -> None:
        async with proxy() as p:
            p.frontend.max_connections = 2
            busy, idle = await p.client(), await p.client()
            busy.send()
            received = await p.backends[0].requests.get()
            assert (await idle.ask("/health/ready", "GET")).status == 200
            third = await p.client()
            assert (await third.ask("/health/ready", "GET")).status == 200
            assert await idle.ended()
            received.reply()
            assert (await busy.reply()).status == 200

    run(test())


def test_at_the_limit_with_all_clients_busy_the_next_one_waits() -> None:
    async def test() -> None:
        async with proxy() as p:
            p.frontend.max_connections = 1
            busy = await p.client()
            busy.send()
            received = await p.backends[0].requests.get()
            queued = await p.client()
            queued.send("/health/ready", "GET")
            while p.frontend.accepting:
                await asyncio.sleep(0.001)
            received.reply()
            assert (await busy.reply()).status == 200
            assert (await queued.reply()).status == 200

    run(test())


def test_an_incomplete_request_is_closed_at_its_timeout(monkeypatch: pytest.MonkeyPatch) -> None:
    # Covers a silent client, an incomplete head, and an incomplete body on a kept connection.
    monkeypatch.setattr(connections_module, "REQUEST_READ_TIMEOUT_S", 0.02)

    async def test() -> None:
        async with proxy() as p:
            silent, incomplete, kept = await p.client(), await p.client(), await p.client()
            incomplete.writer.write(b"POST /answer HTTP/1.1\r\nhost")
            assert (await kept.ask("/health/ready", "GET")).status == 200
            kept.writer.write(b"POST /answer HTTP/1.1\r\nhost: a\r\ncontent-length: 10\r\n\r\nhalf")
            for client in (incomplete, kept):
                reply = await client.reply()
                assert (reply.status, reply.headers["connection"]) == (408, "close")
                assert await client.ended()
            assert await silent.ended()
            assert p.backends[0].connections == 0

    run(test())


def test_single_bytes_do_not_extend_the_read_timeout() -> None:
    async def test() -> None:
        async with proxy() as p:
            client = await p.client()
            for byte in (b"G", b"E", b"T"):
                client.writer.write(byte)
                while not p.frontend.clients.members(ConnectionState.READING):
                    await asyncio.sleep(0.001)
                (accepted,) = p.frontend.clients
                since = accepted.reading_since_ms
                await asyncio.sleep(0.01)
                assert accepted.state is ConnectionState.READING and accepted.reading_since_ms == since

    run(test())


def test_at_the_limit_a_silent_connection_is_evicted_before_a_used_one(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(connections_module, "EVICTION_GRACE_MS", 0.0)

    async def test() -> None:
        async with proxy() as p:
            p.frontend.max_connections = 2
            used, silent = await p.client(), await p.client()
            assert (await used.ask("/health/ready", "GET")).status == 200
            while len(p.frontend.clients.members(ConnectionState.READING)) != 1:
                await asyncio.sleep(0.001)
            third = await p.client()
            assert (await third.ask("/health/ready", "GET")).status == 200
            assert await silent.ended()
            assert (await used.ask("/health/ready", "GET")).status == 200

    run(test())


def test_idle_connections_are_closed_before_the_limit_is_reached(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(connections_module, "CROWDED_IDLE_TIMEOUT_S", 0.02)

    async def test() -> None:
        async with proxy() as p:
            p.frontend.max_connections = 3
            first, second = await p.client(), await p.client()
            for client in (first, second):
                assert (await client.ask("/health/ready", "GET")).status == 200
            assert await first.ended()

    run(test())


def test_the_id_of_a_recent_request_is_rejected() -> None:
    # Request ids are unique: a repeated id belongs to another client, and the request would be executed
    # twice.
    async def test() -> None:
        async with proxy() as p:
            client = await p.client()
            client.send()
            (await p.backends[0].requests.get()).reply()
            assert (await client.reply()).status == 200
            assert (await client.ask()).status == 400
            assert p.backends[0].requests.empty()

    run(test())


def test_recent_ids_are_bounded(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(recent_ids_module, "MAX_RECENT_IDS", 3)

    async def test() -> None:
        async with proxy() as p:
            client = await p.client()
            for number in range(9):
                client.send(x_call_id=f"c{number}")
                (await p.backends[0].requests.get()).reply()
                assert (await client.reply()).status == 200
            assert len(p.engine.recent_ids) == 3

    run(test())


def test_a_connection_with_only_invalid_requests_is_closed_before_all_are_parsed() -> None:
    async def test() -> None:
        async with proxy() as p:
            client = await p.client()
            for _ in range(500):
                client.send("/unknown")
            statuses = [(await client.reply()).status for _ in range(client_module.MAX_CONSECUTIVE_ERRORS)]
            assert set(statuses) == {404}
            assert await client.ended()

    run(test())


def test_a_trailer_is_not_taken_for_a_header() -> None:
    async def test() -> None:
        async with proxy() as p:
            client = await p.client()
            client.writer.write(
                b"POST /answer HTTP/1.1\r\nhost: a\r\nx-call-id: c\r\nx-budget-ms: 20000\r\n"
                b"transfer-encoding: chunked\r\n\r\n0\r\nx-call-id: other\r\nx-again: 1\r\n\r\n"
            )
            received = await p.backends[0].requests.get()
            assert received.headers["x-call-id"] == "c" and "x-again" not in received.headers
            received.reply()
            assert (await client.reply()).status == 200

    run(test())


def test_bytes_after_the_last_response_are_read_up_to_a_limit(monkeypatch: pytest.MonkeyPatch) -> None:
    # Guards against 60 MB sent at full speed that delay the other clients.
    monkeypatch.setattr(connections_module, "LINGER_TIMEOUT_S", 1000.0)
    monkeypatch.setattr(client_module, "MAX_DISCARDED_BYTES", 100_000)

    async def test() -> None:
        async with proxy() as p:
            client = await p.client()
            client.writer.write(b"POST /answer HTTP/1.1\r\nhost: a\r\ncontent-length: 60000000\r\n\r\n")
            assert (await client.reply()).status == 413
            client.writer.write(b"x" * 60_000_000)
            while p.frontend.clients:
                await asyncio.sleep(0.001)

    run(test())


def test_a_stop_serves_new_requests_and_closes_between_requests() -> None:
    async def test() -> None:
        async with proxy() as p:
            busy, idle = await p.client(), await p.client()
            busy.send()
            assert (await idle.ask("/health/ready", "GET")).status == 200
            received = await p.backends[0].requests.get()
            p.frontend.disable_keep_alive()
            late = await Client.open(p.frontend.address)
            reply = await late.ask("/health/ready", "GET")
            assert (reply.status, reply.headers["connection"]) == (503, "close")
            late.close()
            finished = asyncio.create_task(p.frontend.finish(30.0))
            assert await idle.ended()
            assert not finished.done()
            received.reply(b"last")
            reply = await busy.reply()
            assert (reply.status, reply.body, reply.headers["connection"]) == (200, b"last", "close")
            assert await busy.ended()
            busy.close()
            await finished
            with pytest.raises(ConnectionRefusedError):
                await p.client()

    run(test())


def test_a_stop_waits_for_a_request_after_a_moment_without_clients() -> None:
    """While the proxy still accepts, its only client leaves and another one connects: that one is still
    served."""

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
            received = await p.backends[0].requests.get()
            finished = asyncio.create_task(p.frontend.finish(30.0))
            await asyncio.sleep(0)
            await asyncio.sleep(0)
            assert not finished.done()
            received.reply(b"last")
            reply = await late.reply()
            assert (reply.status, reply.body) == (200, b"last")
            late.close()
            await finished

    run(test())


def test_a_stop_serves_connections_in_the_kernel_queue() -> None:
    async def test() -> None:
        async with proxy() as p:
            p.frontend.disable_keep_alive()
            p.frontend._pause_accepting()  # as if the process were busy
            late = await Client.open(p.frontend.address)
            late.send()
            finished = asyncio.create_task(p.frontend.finish(30.0))
            (await p.backends[0].requests.get()).reply(b"last")
            assert (await late.reply()).body == b"last"
            late.close()
            await finished

    run(test())
