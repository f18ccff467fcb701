"""An exchange driven alone by every order of events: one final answer, nothing after it, caps kept, stalls
blamed once and on the side that is waited for."""

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

TERMS = ExchangeLimits(ProgressLimits(5.0, 0.0), 60_000.0, 100, 300, 1000)
HEAD = Response(200, [], b"OK", None)


class Client:
    def __init__(self) -> None:
        self.told: list[str] = []
        self.held = self.got = 0

    def interim(self, head: Response) -> None:
        self.told.append("interim")

    def begin(self, head: Response) -> None:
        self.told.append("begin")

    def pieces(self, pieces: list[Piece], size: int) -> None:
        assert size == sum(map(len, pieces)) > 0
        self.told.append("piece")
        self.held += size
        self.got += size

    def end(self, trailers: Fields) -> None:
        self.told.append("end")

    def send_proxy_response(self, answer: ProxyResponse) -> None:
        self.told.append("own")

    def reset(self) -> None:
        self.told.append("reset")

    def resume_upload(self) -> None:
        pass

    def gone(self) -> bool:
        return False

    def unsent_bytes(self) -> int:
        return self.held


class Node:
    def __init__(self) -> None:
        self.got = 0
        self.holding = False

    def send_upload(self) -> None:
        pass

    def set_reading_paused(self, hold: bool) -> None:
        self.holding = hold


class Owner:
    def __init__(self) -> None:
        self.calls: list[str] = []
        self.blamed: list[NodeSide] = []

    def request_server(self, exchange: Exchange, uploading: bool) -> None:
        self.calls.append("ask")

    def on_body_received(self, exchange: Exchange) -> None:
        self.calls.append("came")

    def on_body_discarded(self, exchange: Exchange) -> None:
        self.calls.append("gone")

    def on_request_sent(self, exchange: Exchange, node: NodeSide) -> None:
        self.calls.append("sent")

    def on_response_begun(self, exchange: Exchange, node: NodeSide, head: Response) -> None:
        self.calls.append("begun")

    def cancel_attempts(self, exchange: Exchange) -> None:
        self.calls.append("give up")

    def time_out_attempt(self, exchange: Exchange, node: NodeSide) -> None:
        self.calls.append("blame")
        self.blamed.append(node)

    def on_exchange_ended(self, exchange: Exchange) -> None:
        self.calls.append("over")


class Rig:
    def __init__(self, terms: ExchangeLimits = TERMS, length: int | None = None) -> None:
        self.client, self.owner = Client(), Owner()
        self.now = 0.0
        request = Request(b"POST", b"/", b"x", [], length)
        self.exchange = Exchange(
            request, RoutingInfo("r", 0, 0, None, 1000.0), terms, self.client, self.owner, 0.0
        )
        self.node: Node | None = None
        self.stalls: list[Stall] = []

    def come(self, size: int) -> None:
        self.exchange.receive_body(self.now, [b"x" * min(size, self.exchange.room)])

    def connect(self) -> Node:
        self.node = Node()
        self.exchange.attach(self.now, self.node)
        return self.node

    def take(self) -> None:
        if self.node is not None:
            self.node.got += self.exchange.take(self.now)[1]
        if self.node is not None and self.exchange.upload.fully_taken:
            self.exchange.sent(self.now, self.node)

    def tick(self, after: float) -> Stall | None:
        self.now += after
        stall = self.exchange.tick(self.now)
        if stall is not None:
            self.stalls.append(stall)
            if stall.side is Side.NODE and self.node is not None:  # as the owner does when told to blame it
                self.exchange.detach(self.now, self.node)
                self.node = None
        return stall


EVENTS = [
    "come", "all", "offer", "connect", "take", "interim", "begin", "piece", "drain", "finish", "die", "own",
    "leave", "faulty", "tick", "wait",
]  # fmt: skip


def play(rig: Rig, event: str, size: int) -> None:
    exchange, node = rig.exchange, rig.node
    if event == "come" and not exchange.upload.complete and exchange.room > 0:
        try:
            rig.come(size)
        except BodyTooLarge:
            exchange.reject_request(rig.now, 413)
    elif event == "all" and not exchange.upload.complete:
        exchange.receive_end(rig.now)
    elif event == "offer":
        exchange.offer(rig.now)
    elif (
        event == "connect"
        and node is None
        and not exchange.upload.discarded
        and exchange.phase is Phase.AWAITING_RESPONSE
    ):
        rig.connect()
    elif event == "take":
        rig.take()
    elif event == "interim" and node is not None:
        exchange.interim(Response(103, []))
    elif event == "begin" and node is not None:
        exchange.begin(rig.now, node, HEAD)
    elif event == "piece" and node is not None and not node.holding:
        exchange.pieces(rig.now, node, [b"y" * size])
        exchange.set_client_blocked(rig.client.held > 100)
    elif event == "drain":
        rig.client.held //= 2
        exchange.set_client_blocked(rig.client.held > 100)
    elif event == "finish" and node is not None:
        exchange.finish(rig.now, node)
    elif event == "die" and node is not None:
        exchange.detach(rig.now, node)
        rig.node = None
    elif event == "own":
        exchange.answer(rig.now, ProxyResponse(504))
    elif event == "leave":
        exchange.client_left(rig.now)
    elif event == "faulty" and not exchange.upload.complete:
        exchange.reject_request(rig.now, 400)
    elif event in ("tick", "wait"):
        rig.tick(0.25 if event == "tick" else 6.0)


def check(rig: Rig) -> None:
    told, calls, exchange = rig.client.told, rig.owner.calls, rig.exchange
    final = [word for word in told if word in ("own", "begin")]
    assert len(final) <= 1
    assert [word for word in told if word in ("end", "reset")] in ([], ["end"], ["reset"])
    for last in ("own", "end", "reset"):
        assert last not in told or told[-1] == last  # nothing after it
    assert not (set(told) & {"end", "reset", "piece"}) or "begin" in told
    assert calls.count("ask") <= 1 and calls.count("over") == exchange.has_ended
    assert calls.count("begun") == told.count("begin")
    assert calls.count("give up") <= 1 and (exchange.ending is not None) == exchange.has_ended
    assert (
        exchange.upload.held <= 2 * exchange.limits.upload_bytes
        and exchange.upload_pipe.held <= exchange.upload_pipe.cap
    )
    if exchange.response_pipe is not None:
        assert exchange.response_pipe.held <= exchange.limits.answer_bytes
    assert sum(stall.side is Side.CLIENT for stall in rig.stalls) <= 1
    assert rig.owner.calls.count("blame") == sum(stall.side is Side.NODE for stall in rig.stalls)
    if exchange.ending is Ending.CLIENT_STALLED:
        assert exchange.status in (408, 200)


@settings(max_examples=600, deadline=None)
@given(st.lists(st.tuples(st.sampled_from(EVENTS), st.integers(1, 120)), max_size=60))
def test_every_order_of_events_keeps_the_rules(events: list[tuple[str, int]]) -> None:
    rig = Rig()
    for event, size in events:
        play(rig, event, size)
        note(f"{event} {size}: {rig.exchange.phase.value} {rig.client.told[-3:]}")
        check(rig)
    rig.exchange.client_left(rig.now)
    check(rig)
    assert rig.exchange.has_ended


def test_a_request_is_offered_whole_or_full_and_not_before() -> None:
    rig = Rig()
    rig.come(10)
    assert rig.owner.calls == []
    rig.exchange.receive_end(0.0)
    assert rig.owner.calls == ["ask"]
    rig = Rig()
    rig.come(100)
    assert rig.owner.calls == ["ask"] and rig.exchange.phase is Phase.AWAITING_RESPONSE


def test_time_without_a_node_is_nobodys_and_a_client_that_can_send_is_waited_for() -> None:
    rig = Rig()
    rig.come(100)  # to the cap: it can't send more, and no node is there
    assert rig.tick(100.0) is None
    rig = Rig()
    rig.come(10)
    rig.exchange.offer(0.0)
    assert rig.tick(4.0) is None and rig.tick(2.0) is Stall.CLIENT_NOT_SENDING
    assert rig.client.told == ["own"] and rig.exchange.status == 408
    assert rig.tick(100.0) is None


def test_a_node_is_judged_by_its_own_time() -> None:
    rig = Rig()
    rig.come(100)
    rig.tick(100.0)
    rig.connect()
    assert rig.tick(4.0) is None
    assert rig.tick(2.0) is Stall.NODE_NOT_READING
    assert rig.owner.calls.count("blame") == 1 and not rig.exchange.has_ended
    rig.connect()  # another one gets all of it
    rig.take()
    assert rig.node is not None and rig.node.got == 100 and rig.tick(4.0) is None
    assert rig.tick(2.0) is Stall.CLIENT_NOT_SENDING


def test_a_node_that_answers_while_it_reads_is_not_blamed_for_its_client() -> None:
    rig = Rig()
    rig.come(100)
    node = rig.connect()
    rig.take()
    rig.exchange.begin(rig.now, node, HEAD)
    assert rig.tick(6.0) is Stall.CLIENT_NOT_SENDING and rig.client.told == ["begin", "reset"]


def test_a_second_attempts_answer_can_not_follow_the_firsts() -> None:
    rig = Rig()
    rig.come(10)
    rig.exchange.receive_end(0.0)
    first = rig.connect()
    rig.exchange.begin(0.0, first, HEAD)
    rig.exchange.begin(0.0, Node(), HEAD)
    rig.exchange.pieces(0.0, Node(), [b"other"])
    rig.exchange.finish(0.0, Node())
    rig.exchange.finish(0.0, first)
    rig.exchange.pieces(0.0, first, [b"late"])
    assert rig.client.told == ["begin", "end"] and rig.exchange.ending is Ending.ANSWERED


@pytest.mark.parametrize("name", ["upload_ms", "upload_bytes", "answer_bytes", "body_bytes"])
def test_terms_that_can_not_be(name: str) -> None:
    with pytest.raises(ValueError, match=name):
        replace(TERMS, **{name: -1})  # type: ignore[arg-type]
