"""What the state machines refuse: messages out of order or out of bounds, hellos, answers to no batch."""

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


def test_a_subscriber_refuses_messages_before_the_welcome() -> None:
    core = subscriber.Subscriber(
        Participant("p"), Role.PROXY, (Participant("r", address="r:1"),), Rules(), FixedChance(), 0.0
    )
    assert core.step(0.1, subscriber.Tick()) == [subscriber.Connect(1, Participant("r", address="r:1"))]
    core.step(0.2, subscriber.Connected(1))
    actions = core.step(0.3, subscriber.Received(1, Begin(0, 5, False)))
    assert subscriber.Disconnect(1) in actions and any(isinstance(a, subscriber.LogLine) for a in actions)
    assert core.counts["refused: a message before the welcome"] == 1


def test_a_subscriber_leaves_a_relay_whose_welcome_has_an_older_revision() -> None:
    core = subscriber.Subscriber(
        Participant("p"), Role.PROXY, (Participant("r", address="r:1"),), Rules(), FixedChance(), 0.0
    )
    core.store.revision = 9
    core.step(0.1, subscriber.Tick())
    core.step(0.2, subscriber.Connected(1))
    assert core.step(0.3, subscriber.Received(1, Welcome("r", 8, 0))) == [subscriber.Disconnect(1)]
    assert core.active_session is None and core.counts["lost: behind"] == 1


def test_a_subscriber_leaves_a_relay_whose_pong_has_an_older_revision() -> None:
    core = subscriber.Subscriber(
        Participant("p"), Role.PROXY, (Participant("r", address="r:1"),), Rules(), FixedChance(), 0.0
    )
    core.step(0.1, subscriber.Tick())
    core.step(0.2, subscriber.Connected(1))
    core.step(0.3, subscriber.Received(1, Welcome("r", 8, 0)))
    core.step(0.4, subscriber.Received(1, Pong(1, 8, 5, True)))
    assert core.store.revision == 8 and core.age(0.5) == pytest.approx(0.2 + 0.005)
    core.step(1.4, subscriber.Tick())
    actions = core.step(1.5, subscriber.Received(1, Pong(2, 7, 5, True)))
    assert subscriber.Disconnect(1) in actions and core.store.revision == 8
    assert core.counts["refused: an older revision"] == 1


class FixedChance:
    """A random source with constant results."""

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


def relay_with_session(rules: Rules | None = None) -> relay.Relay:
    store = Store()
    store.commit([ObjectChange(name, {"one": b"x"}) for name in "abc"])
    core = relay.Relay("r", store, rules or Rules(), lambda now: 0.0)
    core.step(0.0, relay.Accepted(1))
    return core


def receive(
    core: relay.Relay, message: FromSubscriber, session: int = 1, now: float = 0.0
) -> list[relay.Action]:
    """Lets the relay receive a message and gives it the turns of sending that it requests."""
    actions = core.step(now, relay.Received(session, message))
    while relay.RequestTurn() in actions:
        actions.remove(relay.RequestTurn())
        actions += core.step(now, relay.SendTurn())
    return actions


def messages_in(actions: list[relay.Action]) -> list[FromRelay]:
    return [a.message for a in actions if isinstance(a, relay.Transmit)]


HELLO = Hello("p", Role.PROXY, "r0", "z", 0, False)


@pytest.mark.parametrize(
    "message", [Ping(1), Credit(10), Subscribe((), ("a",)), Applied(1), Refused(0, 1, ())]
)
def test_a_relay_drops_a_session_that_does_not_start_with_a_hello(message: FromSubscriber) -> None:
    core = relay_with_session()
    actions = receive(core, message)
    assert relay.Disconnect(1) in actions and not core.sessions
    core.step(0.0, relay.Accepted(2))
    second_actions = receive(core, message, 2)
    assert core.counts["refused: a message before the hello"] == 2
    assert [isinstance(a, relay.LogLine) for a in actions + second_actions].count(True) == 1


@pytest.mark.parametrize(
    "hello",
    [
        replace(HELLO, held_revision=-1),
        replace(HELLO, held_revision=REVISION_LIMIT),
        replace(HELLO, name="n" * 201),
    ],
)
def test_a_relay_drops_a_session_whose_hello_is_out_of_bounds(hello: Hello) -> None:
    core = relay_with_session()
    assert relay.Disconnect(1) in receive(core, hello)
    assert core.counts["refused: a hello out of bounds"] == 1


def test_a_relay_drops_a_session_that_repeats_its_hello() -> None:
    core = relay_with_session()
    assert isinstance(messages_in(receive(core, HELLO))[0], Welcome)
    assert relay.Disconnect(1) in receive(core, HELLO)


@pytest.mark.parametrize("answer", [Applied(3), Refused(0, 3, ("a",))])
def test_a_relay_counts_answers_to_no_batch_and_sends_nothing(answer: FromSubscriber) -> None:
    core = relay_with_session()
    receive(core, HELLO)
    receive(core, Subscribe((), ("a",)))
    sent = receive(core, Credit(10_000))
    assert [type(m) for m in messages_in(sent)] == [Begin, ObjectPart, End]
    receive(core, Applied(1))
    assert messages_in(receive(core, answer, now=9.0)) == []
    assert core.counts["refused: an answer to no batch"] == 1


def test_a_relay_drops_a_session_that_refuses_from_an_unknown_revision() -> None:
    core = relay_with_session()
    receive(core, HELLO)
    receive(core, Subscribe((), ("a",)))
    receive(core, Credit(10_000))
    assert relay.Disconnect(1) in receive(core, Refused(99, 1, ()))


def test_negative_credit_is_ignored() -> None:
    core = relay_with_session()
    receive(core, HELLO)
    receive(core, Subscribe((), ("a",)))
    receive(core, Credit(10_000))
    before = core.sessions[1].credit
    receive(core, Credit(-(10**9)))
    assert core.sessions[1].credit == before


def test_names_out_of_bounds_are_rejected_and_listed() -> None:
    core = relay_with_session(Rules(most_names=2))
    receive(core, HELLO)
    actions = receive(core, Subscribe(("a",), ("n" * 201, "", "b", "c")))
    assert messages_in(actions) == [NamesRejected(("n" * 201, "", "c"))]
    assert core.sessions[1].names == {"a", "b"} and set(core.followers) == {"a", "b"}
    assert core.counts["refused: a subscription over its bound"] == 1


def test_a_relay_without_state_or_without_room_rejects_subscribers() -> None:
    behind = relay_with_session()
    assert messages_in(receive(behind, replace(HELLO, held_revision=2))) == [Rejected(RejectReason.BEHIND, 1)]
    assert behind.counts["turned away: behind"] == 1 and not behind.sessions
    empty = relay.Relay("r", Store(), Rules(), lambda now: None)
    empty.step(0.0, relay.Accepted(1))
    assert messages_in(receive(empty, HELLO)) == [Rejected(RejectReason.BEHIND, 0)]
    origin = relay.Relay("o", Store(), Rules(), lambda now: 0.0, is_origin=True)
    origin.step(0.0, relay.Accepted(1))
    assert messages_in(receive(origin, replace(HELLO, role=Role.RELAY, held_revision=7))) == [
        Rejected(RejectReason.BEHIND, 0)
    ]
    origin.store.commit([])  # an empty commit: the origin has no objects, and knows it
    origin.step(0.0, relay.Accepted(2))
    assert isinstance(messages_in(receive(origin, replace(HELLO, role=Role.RELAY), 2))[0], Welcome)
    full = relay_with_session(Rules(most_sessions=1))
    receive(full, HELLO)
    full.step(0.0, relay.Accepted(2))
    assert messages_in(receive(full, HELLO, 2)) == [Rejected(RejectReason.BUSY, 1)]
