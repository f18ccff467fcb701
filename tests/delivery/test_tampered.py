"""Frames that no sound relay or subscriber sends: refused, counted, told once, then all is right."""

from __future__ import annotations

from collections.abc import Callable

import pytest
from msgspec.structs import replace

from flintlatch.delivery.model import (
    ITEM_MOST,
    REVISION_MOST,
    Begin,
    End,
    Kind,
    Message,
    ObjectChange,
    PartOf,
    Rules,
)
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
        if to == "p" and stream.relay == before:
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
