"""What the cores refuse by themselves: messages out of turn and out of bounds, hellos, answers to nothing."""

from __future__ import annotations

import pytest
from msgspec.structs import replace

from flintlatch.delivery import relay, subscriber
from flintlatch.delivery.model import (
    REVISION_LIMIT,
    Applied,
    Begin,
    Credit,
    End,
    FromRelay,
    FromSubscriber,
    Hello,
    NamesRejected,
    ObjectChange,
    ObjectPart,
    Participant,
    Ping,
    Pong,
    Refused,
    Rejected,
    RejectReason,
    Role,
    Rules,
    Subscribe,
    Welcome,
)
from flintlatch.delivery.store import Store


def test_a_subscriber_refuses_what_comes_before_the_welcome() -> None:
    one = subscriber.Subscriber(
        Participant("p"), Role.PROXY, (Participant("r", address="r:1"),), Rules(), Fixed(), 0.0
    )
    assert one.step(0.1, subscriber.Tick()) == [subscriber.Connect(1, Participant("r", address="r:1"))]
    one.step(0.2, subscriber.Connected(1))
    out = one.step(0.3, subscriber.Received(1, Begin(0, 5, False)))
    assert subscriber.Disconnect(1) in out and any(isinstance(a, subscriber.LogLine) for a in out)
    assert one.counts["refused: a message before the welcome"] == 1


def test_a_subscriber_leaves_a_relay_that_welcomes_it_and_holds_less() -> None:
    one = subscriber.Subscriber(
        Participant("p"), Role.PROXY, (Participant("r", address="r:1"),), Rules(), Fixed(), 0.0
    )
    one.store.revision = 9
    one.step(0.1, subscriber.Tick())
    one.step(0.2, subscriber.Connected(1))
    assert one.step(0.3, subscriber.Received(1, Welcome("r", 8, 0))) == [subscriber.Disconnect(1)]
    assert one.active_session is None and one.counts["lost: behind"] == 1


def test_a_subscriber_leaves_a_relay_of_which_an_answer_goes_back() -> None:
    one = subscriber.Subscriber(
        Participant("p"), Role.PROXY, (Participant("r", address="r:1"),), Rules(), Fixed(), 0.0
    )
    one.step(0.1, subscriber.Tick())
    one.step(0.2, subscriber.Connected(1))
    one.step(0.3, subscriber.Received(1, Welcome("r", 8, 0)))
    one.step(0.4, subscriber.Received(1, Pong(1, 8, 5, True)))
    assert one.store.revision == 8 and one.age(0.5) == pytest.approx(0.2 + 0.005)
    one.step(1.4, subscriber.Tick())
    out = one.step(1.5, subscriber.Received(1, Pong(2, 7, 5, True)))
    assert subscriber.Disconnect(1) in out and one.store.revision == 8
    assert one.counts["refused: an older revision"] == 1


class Fixed:
    """A chance that is none."""

    def random(self) -> float:
        return 0.5

    def uniform(self, a: float, b: float) -> float:
        return (a + b) / 2

    def choice(self, seq: object) -> object:
        raise NotImplementedError

    def sample(self, population: object, k: int) -> list[object]:
        raise NotImplementedError

    def shuffle(self, x: list[object]) -> None:
        raise NotImplementedError


def served(rules: Rules | None = None) -> relay.Relay:
    store = Store()
    store.commit([ObjectChange(name, {"one": b"x"}) for name in "abc"])
    one = relay.Relay("r", store, rules or Rules(), lambda now: 0.0)
    one.step(0.0, relay.Accepted(1))
    return one


def say(one: relay.Relay, message: FromSubscriber, session: int = 1, now: float = 0.0) -> list[relay.Action]:
    """With the turns of sending that it asks for."""
    out = one.step(now, relay.Received(session, message))
    while relay.RequestTurn() in out:
        out.remove(relay.RequestTurn())
        out += one.step(now, relay.SendTurn())
    return out


def answers(out: list[relay.Action]) -> list[FromRelay]:
    return [a.message for a in out if isinstance(a, relay.Transmit)]


HELLO = Hello("p", Role.PROXY, "r0", "z", 0, False)


@pytest.mark.parametrize(
    "message", [Ping(1), Credit(10), Subscribe((), ("a",)), Applied(1), Refused(0, 1, ())]
)
def test_a_relay_drops_who_speaks_before_the_hello(message: FromSubscriber) -> None:
    one = served()
    out = say(one, message)
    assert relay.Disconnect(1) in out and not one.sessions
    one.step(0.0, relay.Accepted(2))
    again = say(one, message, 2)
    assert one.counts["refused: a message before the hello"] == 2
    assert [isinstance(a, relay.LogLine) for a in out + again].count(True) == 1


@pytest.mark.parametrize(
    "hello",
    [
        replace(HELLO, held_revision=-1),
        replace(HELLO, held_revision=REVISION_LIMIT),
        replace(HELLO, name="n" * 201),
    ],
)
def test_a_relay_drops_a_hello_out_of_bounds(hello: Hello) -> None:
    one = served()
    assert relay.Disconnect(1) in say(one, hello)
    assert one.counts["refused: a hello out of bounds"] == 1


def test_a_relay_drops_a_second_hello() -> None:
    one = served()
    assert isinstance(answers(say(one, HELLO))[0], Welcome)
    assert relay.Disconnect(1) in say(one, HELLO)


@pytest.mark.parametrize("answer", [Applied(3), Refused(0, 3, ("a",))])
def test_a_relay_counts_answers_to_no_batch_and_sends_nothing_for_them(answer: FromSubscriber) -> None:
    one = served()
    say(one, HELLO)
    say(one, Subscribe((), ("a",)))
    sent = say(one, Credit(10_000))
    assert [type(m) for m in answers(sent)] == [Begin, ObjectPart, End]
    say(one, Applied(1))
    assert answers(say(one, answer, now=9.0)) == []
    assert one.counts["refused: an answer to no batch"] == 1


def test_a_relay_drops_who_refuses_from_a_revision_that_is_none() -> None:
    one = served()
    say(one, HELLO)
    say(one, Subscribe((), ("a",)))
    say(one, Credit(10_000))
    assert relay.Disconnect(1) in say(one, Refused(99, 1, ()))


def test_credit_below_none_takes_nothing_away() -> None:
    one = served()
    say(one, HELLO)
    say(one, Subscribe((), ("a",)))
    say(one, Credit(10_000))
    before = one.sessions[1].credit
    say(one, Credit(-(10**9)))
    assert one.sessions[1].credit == before


def test_names_out_of_bounds_are_left_out_and_told() -> None:
    one = served(Rules(most_names=2))
    say(one, HELLO)
    out = say(one, Subscribe(("a",), ("n" * 201, "", "b", "c")))
    assert answers(out) == [NamesRejected(("n" * 201, "", "c"))]
    assert one.sessions[1].names == {"a", "b"} and set(one.followers) == {"a", "b"}
    assert one.counts["refused: a subscription over its bound"] == 1


def test_nobody_is_welcomed_by_who_knows_nothing_or_has_enough() -> None:
    behind = served()
    assert answers(say(behind, replace(HELLO, held_revision=2))) == [Rejected(RejectReason.BEHIND, 1)]
    assert behind.counts["turned away: behind"] == 1 and not behind.sessions
    nothing = relay.Relay("r", Store(), Rules(), lambda now: None)
    nothing.step(0.0, relay.Accepted(1))
    assert answers(say(nothing, HELLO)) == [Rejected(RejectReason.BEHIND, 0)]
    origin = relay.Relay("o", Store(), Rules(), lambda now: 0.0, is_origin=True)
    origin.step(0.0, relay.Accepted(1))
    assert answers(say(origin, replace(HELLO, role=Role.RELAY, held_revision=7))) == [
        Rejected(RejectReason.BEHIND, 0)
    ]
    origin.store.commit([])  # it knows that there is nothing
    origin.step(0.0, relay.Accepted(2))
    assert isinstance(answers(say(origin, replace(HELLO, role=Role.RELAY), 2))[0], Welcome)
    full = served(Rules(most_sessions=1))
    say(full, HELLO)
    full.step(0.0, relay.Accepted(2))
    assert answers(say(full, HELLO, 2)) == [Rejected(RejectReason.BUSY, 1)]
