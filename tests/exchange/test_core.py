"""The state machine of exchanges under every order of events: one final response and nothing after it,
buffers within their limits, and each stall reported once and for the side that the transfer waits for."""

from __future__ import annotations

from dataclasses import replace

import pytest
from hypothesis import given, note, settings
from hypothesis import strategies as st

from flintlatch.exchange import (
    BodyTooLarge,
    Ending,
    Exchange,
    ExchangeLimits,
    Fields,
    NodeSide,
    Phase,
    Piece,
    ProgressLimits,
    ProxyResponse,
    Request,
    Response,
    RoutingInfo,
    Side,
    Stall,
)

LIMITS = ExchangeLimits(ProgressLimits(5.0, 0.0), 60_000.0, 100, 300, 1000)
HEAD = Response(200, [], b"OK", None)


class Client:
    def __init__(self) -> None:
        self.calls: list[str] = []
        self.unsent = self.received = self.unread = 0

    def interim(self, head: Response) -> None:
        self.calls.append("interim")

    def begin(self, head: Response) -> None:
        self.calls.append("begin")

    def pieces(self, pieces: list[Piece], size: int) -> None:
        assert size == sum(map(len, pieces)) > 0
        self.calls.append("piece")
        self.unsent += size
        self.received += size

    def end(self, trailers: Fields) -> None:
        self.calls.append("end")

    def send_proxy_response(self, answer: ProxyResponse) -> None:
        self.calls.append("proxy response")

    def reset(self) -> None:
        self.calls.append("reset")

    def resume_upload(self) -> None:
        pass

    def gone(self) -> bool:
        return False

    def unsent_bytes(self) -> int:
        return self.unsent

    def response_room(self) -> int:
        return 1000

    def unread_body_bytes(self) -> int:
        return self.unread

    def receive_buffer_is_full(self) -> bool:
        return self.unread > 0

    def last_chunk_is_unread(self) -> bool:
        return False

    def s_since_last_byte(self) -> float:
        return 0.0


class Node:
    def __init__(self) -> None:
        self.received = 0
        self.reading_paused = False

    def send_upload(self) -> None:
        pass

    def set_reading_paused(self, paused: bool) -> None:
        self.reading_paused = paused


class Owner:
    def __init__(self) -> None:
        self.calls: list[str] = []
        self.timed_out: list[NodeSide] = []

    def request_server(self, exchange: Exchange, uploading: bool) -> None:
        self.calls.append("request server")

    def on_request_arrived(self, exchange: Exchange) -> None:
        pass

    def on_body_received(self, exchange: Exchange) -> None:
        self.calls.append("body received")

    def on_body_discarded(self, exchange: Exchange) -> None:
        self.calls.append("body discarded")

    def on_request_sent(self, exchange: Exchange, node: NodeSide) -> None:
        self.calls.append("request sent")

    def on_response_begun(self, exchange: Exchange, node: NodeSide, head: Response) -> None:
        self.calls.append("response begun")

    def cancel_attempts(self, exchange: Exchange) -> None:
        self.calls.append("cancel attempts")

    def time_out_attempt(self, exchange: Exchange, node: NodeSide) -> None:
        self.calls.append("time out")
        self.timed_out.append(node)

    def on_exchange_ended(self, exchange: Exchange) -> None:
        self.calls.append("ended")


class ExchangeDriver:
    def __init__(self, limits: ExchangeLimits = LIMITS, length: int | None = None) -> None:
        self.client, self.owner = Client(), Owner()
        self.now = 0.0
        request = Request(b"POST", b"/", b"x", [], length)
        self.exchange = Exchange(
            request, RoutingInfo("r", 0, 0, None, 1000.0), limits, self.client, self.owner, 0.0
        )
        self.node: Node | None = None
        self.stalls: list[Stall] = []

    def send_body(self, size: int) -> None:
        self.exchange.receive_body(self.now, [b"x" * min(size, self.exchange.room)])

    def connect(self) -> Node:
        self.node = Node()
        self.exchange.attach(self.now, self.node)
        return self.node

    def take(self) -> None:
        if self.node is not None:
            self.node.received += self.exchange.take(self.now)[1]
        if self.node is not None and self.exchange.upload.fully_taken:
            self.exchange.mark_request_sent(self.now, self.node)

    def tick(self, after: float) -> Stall | None:
        self.now += after
        stall = self.exchange.tick(self.now)
        if stall is not None:
            self.stalls.append(stall)
            if (
                stall.side is Side.NODE and self.node is not None
            ):  # the owner does the same when it times the attempt out
                self.exchange.detach(self.now, self.node)
                self.node = None
        return stall


EVENTS = [
    "body", "end of body", "offer", "connect", "take", "interim", "begin", "piece", "client reads", "finish",
    "node fails", "proxy response", "client leaves", "client error", "tick", "wait",
]  # fmt: skip


def apply_event(driver: ExchangeDriver, event: str, size: int) -> None:
    exchange, node = driver.exchange, driver.node
    if event == "body" and not exchange.upload.complete and exchange.room > 0:
        try:
            driver.send_body(size)
        except BodyTooLarge:
            exchange.reject_request(driver.now, 413)
    elif event == "end of body" and not exchange.upload.complete:
        exchange.receive_end(driver.now)
    elif event == "offer":
        exchange.offer(driver.now)
    elif (
        event == "connect"
        and node is None
        and not exchange.upload.discarded
        and exchange.phase is Phase.AWAITING_RESPONSE
    ):
        driver.connect()
    elif event == "take":
        driver.take()
    elif event == "interim" and node is not None:
        exchange.interim(Response(103, []))
    elif event == "begin" and node is not None:
        exchange.begin(driver.now, node, HEAD)
    elif event == "piece" and node is not None and not node.reading_paused:
        exchange.pieces(driver.now, node, [b"y" * size])
        exchange.set_client_blocked(driver.client.unsent > 100)
    elif event == "client reads":
        driver.client.unsent //= 2
        exchange.set_client_blocked(driver.client.unsent > 100)
    elif event == "finish" and node is not None:
        exchange.finish(driver.now, node)
    elif event == "node fails" and node is not None:
        exchange.detach(driver.now, node)
        driver.node = None
    elif event == "proxy response":
        exchange.answer(driver.now, ProxyResponse(504))
    elif event == "client leaves":
        exchange.client_left(driver.now)
    elif event == "client error" and not exchange.upload.complete:
        exchange.reject_request(driver.now, 400)
    elif event in ("tick", "wait"):
        driver.tick(0.25 if event == "tick" else 6.0)


def assert_invariants(driver: ExchangeDriver) -> None:
    client_calls, owner_calls, exchange = driver.client.calls, driver.owner.calls, driver.exchange
    final = [call for call in client_calls if call in ("proxy response", "begin")]
    assert len(final) <= 1
    assert [call for call in client_calls if call in ("end", "reset")] in ([], ["end"], ["reset"])
    for last in ("proxy response", "end", "reset"):
        assert last not in client_calls or client_calls[-1] == last  # nothing follows it
    assert not (set(client_calls) & {"end", "reset", "piece"}) or "begin" in client_calls
    assert owner_calls.count("request server") <= 1 and owner_calls.count("ended") == exchange.has_ended
    assert owner_calls.count("response begun") == client_calls.count("begin")
    assert owner_calls.count("cancel attempts") <= 1 and (exchange.ending is not None) == exchange.has_ended
    assert (
        exchange.upload.buffered_bytes <= 2 * exchange.limits.upload_bytes
        and exchange.upload_pipe.buffered_bytes <= exchange.upload_pipe.max_bytes
    )
    if exchange.response_pipe is not None:
        assert exchange.response_pipe.buffered_bytes <= exchange.limits.answer_bytes
    assert sum(stall.side is Side.CLIENT for stall in driver.stalls) <= 1
    assert driver.owner.calls.count("time out") == sum(stall.side is Side.NODE for stall in driver.stalls)
    if exchange.ending is Ending.CLIENT_STALLED:
        assert exchange.status in (408, 200)


@settings(max_examples=600, deadline=None)
@given(st.lists(st.tuples(st.sampled_from(EVENTS), st.integers(1, 120)), max_size=60))
def test_every_order_of_events_keeps_the_invariants(events: list[tuple[str, int]]) -> None:
    driver = ExchangeDriver()
    for event, size in events:
        apply_event(driver, event, size)
        note(f"{event} {size}: {driver.exchange.phase.value} {driver.client.calls[-3:]}")
        assert_invariants(driver)
    driver.exchange.client_left(driver.now)
    assert_invariants(driver)
    assert driver.exchange.has_ended


def test_request_is_offered_when_complete_or_when_its_buffer_is_full() -> None:
    driver = ExchangeDriver()
    driver.send_body(10)
    assert driver.owner.calls == []
    driver.exchange.receive_end(0.0)
    assert driver.owner.calls == ["request server"]
    driver = ExchangeDriver()
    driver.send_body(100)
    assert driver.owner.calls == ["request server"] and driver.exchange.phase is Phase.AWAITING_RESPONSE


def test_stalls_before_a_node_is_attached() -> None:
    driver = ExchangeDriver()
    driver.send_body(100)  # the buffer is full and no node is attached: no side is waited for
    assert driver.tick(100.0) is None
    driver = ExchangeDriver()
    driver.send_body(10)
    driver.exchange.offer(0.0)
    assert driver.tick(4.0) is None and driver.tick(2.0) is Stall.CLIENT_NOT_SENDING
    assert driver.client.calls == ["proxy response"] and driver.exchange.status == 408
    assert driver.tick(100.0) is None


def test_time_before_its_attempt_does_not_count_against_a_node() -> None:
    driver = ExchangeDriver()
    driver.send_body(100)
    driver.tick(100.0)
    driver.connect()
    assert driver.tick(4.0) is None
    assert driver.tick(2.0) is Stall.NODE_NOT_READING
    assert driver.owner.calls.count("time out") == 1 and not driver.exchange.has_ended
    driver.connect()  # another node gets the complete body
    driver.take()
    assert driver.node is not None and driver.node.received == 100 and driver.tick(4.0) is None
    assert driver.tick(2.0) is Stall.CLIENT_NOT_SENDING


def test_client_stall_while_a_node_responds_early_is_the_clients() -> None:
    driver = ExchangeDriver()
    driver.send_body(100)
    node = driver.connect()
    driver.take()
    driver.exchange.begin(driver.now, node, HEAD)
    assert driver.tick(6.0) is Stall.CLIENT_NOT_SENDING and driver.client.calls == ["begin", "reset"]


def test_response_of_a_second_attempt_is_ignored() -> None:
    driver = ExchangeDriver()
    driver.send_body(10)
    driver.exchange.receive_end(0.0)
    first = driver.connect()
    driver.exchange.begin(0.0, first, HEAD)
    driver.exchange.begin(0.0, Node(), HEAD)
    driver.exchange.pieces(0.0, Node(), [b"other"])
    driver.exchange.finish(0.0, Node())
    driver.exchange.finish(0.0, first)
    driver.exchange.pieces(0.0, first, [b"late"])
    assert driver.client.calls == ["begin", "end"] and driver.exchange.ending is Ending.ANSWERED


@pytest.mark.parametrize("name", ["upload_ms", "upload_bytes", "answer_bytes", "body_bytes"])
def test_invalid_limits_are_rejected(name: str) -> None:
    with pytest.raises(ValueError, match=name):
        replace(LIMITS, **{name: -1})  # type: ignore[arg-type]
