"""Frames that no sound relay or subscriber sends: refused, counted, told once, then all is right."""

from __future__ import annotations

from collections.abc import Callable

import pytest
from msgspec.structs import replace

from flintlatch.delivery import relay, subscriber
from flintlatch.delivery.model import (
    ITEM_MOST,
    REVISION_MOST,
    Applied,
    Begin,
    Credit,
    End,
    FromRelay,
    FromSubscriber,
    Hello,
    Kind,
    LeftOut,
    Message,
    ObjectChange,
    PartOf,
    Ping,
    Place,
    Pong,
    Refused,
    Role,
    Rules,
    Subscribe,
    Turned,
    Welcome,
    Why,
)
from flintlatch.delivery.store import Store
from flintlatch.lab.delivery import Stream
from tests.delivery.reference import Fleet

Change = Callable[[Message], list[Message]]


def part(name: str, change: Callable[[PartOf], list[Message]]) -> Change:
    return lambda m: change(m) if isinstance(m, PartOf) and m.name == name else [m]


def begin(change: Callable[[Begin], list[Message]]) -> Change:
    return lambda m: change(m) if isinstance(m, Begin) else [m]


def end(change: Callable[[End], list[Message]]) -> Change:
    return lambda m: change(m) if isinstance(m, End) else [m]


def swapped(first: Callable[[Message], bool]) -> Callable[[], Change]:
    """That frame comes after the next one."""

    def made() -> Change:
        held: list[Message] = []

        def change(message: Message) -> list[Message]:
            if first(message) and not held:
                held.append(message)
                return []
            out = [message, *held]
            held.clear()
            return out

        return change

    return made


def with_item(value: bytes, name: str = "one") -> Change:
    return part("a", lambda p: [replace(p, items=p.items | {name: value})])


def last_part(message: Message) -> bool:
    return isinstance(message, PartOf) and message.name == "b"


# What is done to the frames of one batch that changes `a` (an item put, one taken away) and `b`, what is
# counted, and the objects that come as snapshots afterwards.
CASES: dict[str, tuple[Callable[[], Change], str, set[str]]] = {
    "a gap": (lambda: begin(lambda m: [replace(m, base=m.base + 10**6)]), "a gap", set()),
    "an older revision": (lambda: begin(lambda m: [replace(m, to=0)]), "an older revision", set()),
    "a revision beyond all": (
        lambda: begin(lambda m: [replace(m, to=REVISION_MOST)]),
        "a revision out of bounds",
        set(),
    ),
    "another revision": (
        lambda: begin(lambda m: [replace(m, to=m.to + 1)]),
        "a batch without all of its parts",
        set(),
    ),
    "whole": (lambda: begin(lambda m: [replace(m, whole=True)]), "a whole batch for a part", set()),
    "no begin": (lambda: begin(lambda m: []), "an end of no batch", set()),
    "begin twice": (lambda: begin(lambda m: [m, m]), "a batch within a batch", set()),
    "begin late": (swapped(lambda m: isinstance(m, Begin)), "a batch without all of its parts", set()),
    "end twice": (lambda: end(lambda m: [m, m]), "a part of no batch", set()),
    "end early": (swapped(last_part), "a batch without all of its parts", set()),
    "begin again after the end": (
        lambda: end(lambda m: [m, Begin(m.to, m.to, False)]),
        "a batch without its end",
        set(),
    ),
    "a part left out": (lambda: part("a", lambda p: []), "a batch without all of its parts", set()),
    "a part twice": (lambda: part("a", lambda p: [p, p]), "parts out of order", {"a"}),
    "a part that has no end": (
        lambda: part("b", lambda p: [replace(p, more=True)]),
        "a batch without all of its parts",
        set(),
    ),
    "parts of two kinds": (
        lambda: part("a", lambda p: [replace(p, more=True), replace(p, kind=Kind.SNAPSHOT)]),
        "parts of two kinds",
        {"a"},
    ),
    "an unknown kind": (lambda: part("a", lambda p: [replace(p, kind=7)]), "a part of unknown kind", {"a"}),
    "a changed byte": (lambda: with_item(b"nev"), "an object that does not add up", {"a"}),
    "an item more": (lambda: with_item(b"x", "more"), "an object that does not add up", {"a"}),
    "an item less": (
        lambda: part("a", lambda p: [replace(p, items={})]),
        "an object that does not add up",
        {"a"},
    ),
    "not taken away": (
        lambda: part("a", lambda p: [replace(p, removed=())]),
        "an object that does not add up",
        {"a"},
    ),
    "another count": (
        lambda: part("a", lambda p: [replace(p, count=9)]),
        "an object that does not add up",
        {"a"},
    ),
    "another checksum": (
        lambda: part("a", lambda p: [replace(p, checksum=p.checksum ^ 1)]),
        "an object that does not add up",
        {"a"},
    ),
    "a snapshot that is none": (
        lambda: part("a", lambda p: [replace(p, kind=Kind.SNAPSHOT)]),
        "an object that does not add up",
        {"a"},
    ),
    "a value too large": (lambda: with_item(bytes(ITEM_MOST + 1)), "an item over the size bound", {"a"}),
    "an item's name too long": (
        lambda: with_item(b"x", "n" * 201),
        "an item over the size bound",
        {"a"},
    ),
    "a name too long": (
        lambda: part("a", lambda p: [replace(p, name="n" * 201)]),
        "an object's name out of bounds",
        set(),
    ),
    "an object too large": (
        lambda: part(
            "a",
            lambda p: [
                replace(p, items={f"{n}": bytes(16000) for n in range(70)}, more=True),
                replace(p, items={f"{n}": bytes(16000) for n in range(70, 140)}),
            ],
        ),
        "an object over the size bound",
        {"a"},
    ),
    "a batch too large": (
        lambda: begin(
            lambda m: [
                m,
                *(
                    PartOf(
                        f"x{n}", Kind.SNAPSHOT, 1, {f"{k}": bytes(16000) for k in range(60)}, (), 0, 0, False
                    )
                    for n in range(9)
                ),
            ]
        ),
        f"a batch of over {Rules().batch_bytes} bytes",
        set(),
    ),
}


def settled() -> Fleet:
    fleet = Fleet(7, relays=2)
    fleet.commit(
        *(ObjectChange(name, {"one": b"old", "two": b"x" * 90, "three": b"", "four": b"x"}) for name in "abc")
    )
    fleet.proxy("p", "a", "b", "c")
    fleet.settle()
    fleet.run(3)
    fleet.wire.clear()
    return fleet


def news(fleet: Fleet, value: str) -> None:
    fleet.commit(
        ObjectChange("a", {"one": value.encode()}, removed=("two", "three")),
        ObjectChange("b", {"one": value.encode(), "two": b"y"}),
    )


def alter_batch(fleet: Fleet, target: str, made: Callable[[], Change]) -> None:
    """The next batch to it, up to its end, and no other."""
    change, at = made(), [0]

    def alter(stream: Stream, to: str, message: Message) -> list[Message]:
        if to != target or not isinstance(message, Begin | PartOf | End) or at[0] > 1:
            return [message]
        at[0] += isinstance(message, Begin) + 2 * isinstance(message, End)
        return change(message) if at[0] < 4 else [message]

    fleet.wire.alter = alter


@pytest.mark.parametrize("case", CASES)
def test_a_proxy_refuses_counts_tells_once_and_is_right_again(case: str) -> None:
    made, why, snapshots = CASES[case]
    fleet = settled()
    core, relay_name = fleet.core("p"), fleet.relay_of("p")
    for turn in (1, 2):
        fleet.wire.clear()
        alter_batch(fleet, "p", made)
        news(fleet, f"new {turn}")
        fleet.settle(5)
        fleet.run(2)
        assert core.counts[f"refused: {why}"] == turn
        assert len([text for text in fleet.told("p") if why in text]) == 1
        sent = {name for (to, name, kind) in fleet.wire.objects if to == "p" and kind is Kind.SNAPSHOT}
        assert sent == snapshots
        assert core.age(fleet.now) < 1.5
        fleet.commit(ObjectChange("a", {"two": b"x", "three": b""}), ObjectChange("b", {"one": b"old"}))
        fleet.settle(5)
    assert fleet.relay_of("p") == relay_name


@pytest.mark.parametrize("case", [name for name in CASES if name != "a batch too large"])
def test_a_relay_refuses_what_its_origin_sends_as_well(case: str) -> None:
    made, why, snapshots = CASES[case]
    if case == "whole":
        why = "a whole batch with less than whole objects"
    fleet = settled()
    alter_batch(fleet, "relay0", made)
    news(fleet, "new")
    fleet.settle(5)
    fleet.until(lambda: fleet.core("relay0").store.revision == fleet.origin.store.revision, 5)
    fleet.run(2)
    assert fleet.core("relay0").counts[f"refused: {why}"] == 1
    sent = {name for (to, name, kind) in fleet.wire.objects if to == "relay0" and kind is Kind.SNAPSHOT}
    assert sent == snapshots
    assert fleet.core("relay0").age(fleet.now) < 1.5


def test_a_delta_of_an_unknown_object() -> None:
    fleet = settled()
    fleet.put("d", one="x")
    fleet.run(1)
    fleet.wire.clear()
    alter_batch(fleet, "p", lambda: part("d", lambda p: [replace(p, kind=Kind.DELTA)]))
    fleet.follow("p", "d")
    fleet.put("a", one="y")
    fleet.settle(3)
    assert fleet.core("p").counts["refused: a delta of an unknown object"] == 1
    assert fleet.wire.objects["p", "d", Kind.SNAPSHOT] == 2  # the one that was altered, and another
    assert fleet.wire.parts["p", Kind.SNAPSHOT] == 2 and fleet.wire.parts["p", Kind.DELTA] >= 1


def test_a_name_that_was_new_in_a_batch_refused_for_another_comes_again() -> None:
    fleet = settled()
    fleet.put("d", one="x")
    fleet.run(3)  # its revision is above that of the object
    fleet.wire.clear()
    alter_batch(fleet, "p", lambda: with_item(b"wrong"))
    news(fleet, "new")
    above = fleet.core(fleet.relay_of("p"))
    fleet.until(lambda: above.store.revision == fleet.origin.store.revision, 1, step=0.01)
    fleet.follow("p", "d")  # while the relay gathers: both go in one batch
    fleet.settle(3)
    assert fleet.core("p").counts["refused: an object that does not add up"] == 1
    sent = {
        name: count
        for (to, name, kind), count in fleet.wire.objects.items()
        if (to, kind) == ("p", Kind.SNAPSHOT)
    }
    assert sent == {"a": 1, "d": 2} and fleet.wire.sent["p", Begin] == 2


def test_what_nobody_named_is_not_taken() -> None:
    fleet = settled()
    foreign = PartOf("foreign", Kind.GONE, 1, {}, (), 0, 0, False)
    alter_batch(
        fleet,
        "p",
        lambda: (
            lambda m: (
                [replace(m, parts=m.parts + 1)]
                if isinstance(m, End)
                else part("a", lambda p: [foreign, p])(m)
            )
        ),
    )
    news(fleet, "new")
    fleet.settle(3)
    assert fleet.core("p").counts["not followed"] == 1
    assert "foreign" not in fleet.core("p").names


def test_an_end_that_never_comes_costs_the_relay_its_subscriber() -> None:
    """It answers pings, but it is of no use."""
    fleet = settled()
    before = fleet.relay_of("p")
    alter_batch(fleet, "p", lambda: end(lambda m: []))
    news(fleet, "new")
    fleet.run(5)
    assert not fleet.right()
    fleet.settle(2 * fleet.rules.stale_s + fleet.rules.spread_s)
    assert fleet.core("p").counts["lost: sends nothing"] == 1
    assert fleet.relay_of("p") != before


def test_three_refusals_on_end_and_another_relay_is_tried() -> None:
    fleet = settled()
    before = fleet.relay_of("p")

    def alter(stream: Stream, to: str, message: Message) -> list[Message]:
        if to == "p" and stream.above == before:
            return with_item(b"never right")(message)
        return [message]

    fleet.wire.alter = alter
    news(fleet, "new")
    fleet.settle(6)
    assert fleet.core("p").counts["lost: refused"] == 1
    assert fleet.core("p").counts["refused: an object that does not add up"] == 3
    assert fleet.relay_of("p") != before


@pytest.mark.parametrize("who", ["p", "relay0"])
def test_many_objects_that_do_not_add_up_are_all_sent_whole(who: str) -> None:
    """More than a refusal can name: what was held of them was wrong."""
    names = [f"s{n}" for n in range(900)]
    fleet = Fleet(3, relays=2, watched=False)
    fleet.commit(*(ObjectChange(name, {"one": b"x"}) for name in names))
    fleet.proxy("p", *names)
    fleet.settle()
    core = fleet.core(who)
    for name in names:
        core.store.objects[name].items["one"] = b"y"
        wrong = core.store.objects[name].changed(ObjectChange(name, {"one": b"z"}), 1)
        core.store.objects[name] = wrong
    fleet.commit(*(ObjectChange(name, {"two": b"x"}) for name in names))
    fleet.settle(30)
    fleet.until(
        lambda: all(core.store.objects[n].items == fleet.wanted[n] for n in names) and not core.doubtful, 30
    )


# The cores alone


def test_a_subscriber_refuses_what_comes_before_the_welcome() -> None:
    one = subscriber.Subscriber(Place("p"), Role.PROXY, (Place("r", address="r:1"),), Rules(), Fixed(), 0.0)
    assert one.step(0.1, subscriber.Tick()) == [subscriber.Connect(1, Place("r", address="r:1"))]
    one.step(0.2, subscriber.Connected(1))
    out = one.step(0.3, subscriber.Received(1, Begin(0, 5, False)))
    assert subscriber.Disconnect(1) in out and any(isinstance(a, subscriber.Told) for a in out)
    assert one.counts["refused: a message before the welcome"] == 1


def test_a_subscriber_leaves_a_relay_that_welcomes_it_and_holds_less() -> None:
    one = subscriber.Subscriber(Place("p"), Role.PROXY, (Place("r", address="r:1"),), Rules(), Fixed(), 0.0)
    one.store.revision = 9
    one.step(0.1, subscriber.Tick())
    one.step(0.2, subscriber.Connected(1))
    assert one.step(0.3, subscriber.Received(1, Welcome("r", 8, 0))) == [subscriber.Disconnect(1)]
    assert one.main is None and one.counts["lost: behind"] == 1


def test_a_subscriber_leaves_a_relay_of_which_an_answer_goes_back() -> None:
    one = subscriber.Subscriber(Place("p"), Role.PROXY, (Place("r", address="r:1"),), Rules(), Fixed(), 0.0)
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
    return one.step(now, relay.Received(session, message))


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
    assert [isinstance(a, relay.Told) for a in out + again].count(True) == 1


@pytest.mark.parametrize(
    "hello", [replace(HELLO, held=-1), replace(HELLO, held=REVISION_MOST), replace(HELLO, name="n" * 201)]
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
    assert [type(m) for m in answers(sent)] == [Begin, PartOf, End]
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
    assert answers(out) == [LeftOut(("n" * 201, "", "c"))]
    assert one.sessions[1].names == {"a", "b"} and set(one.followers) == {"a", "b"}
    assert one.counts["refused: a subscription over its bound"] == 1


def test_nobody_is_welcomed_by_who_knows_nothing_or_has_enough() -> None:
    behind = served()
    assert answers(say(behind, replace(HELLO, held=2))) == [Turned(Why.BEHIND, 1)]
    assert behind.counts["turned away: behind"] == 1 and not behind.sessions
    nothing = relay.Relay("r", Store(), Rules(), lambda now: None)
    nothing.step(0.0, relay.Accepted(1))
    assert answers(say(nothing, HELLO)) == [Turned(Why.BEHIND, 0)]
    origin = relay.Relay("o", Store(), Rules(), lambda now: 0.0, authority=True)
    origin.step(0.0, relay.Accepted(1))
    assert answers(say(origin, replace(HELLO, role=Role.RELAY, held=7))) == [Turned(Why.BEHIND, 0)]
    origin.store.commit([])  # it knows that there is nothing
    origin.step(0.0, relay.Accepted(2))
    assert isinstance(answers(say(origin, replace(HELLO, role=Role.RELAY), 2))[0], Welcome)
    full = served(Rules(most_sessions=1))
    say(full, HELLO)
    full.step(0.0, relay.Accepted(2))
    assert answers(say(full, HELLO, 2)) == [Turned(Why.BUSY, 1)]
