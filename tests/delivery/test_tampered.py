"""Batches altered in transit: refused, counted, logged once, and followed by the correct state."""

from __future__ import annotations

from collections.abc import Callable

import pytest
from msgspec.structs import replace

from flintlatch.delivery.model import (
    MAX_ITEM_BYTES,
    REVISION_LIMIT,
    Begin,
    End,
    Kind,
    Message,
    ObjectChange,
    ObjectPart,
    Rules,
)
from flintlatch.lab.delivery import Stream
from tests.delivery.reference import Fleet

Change = Callable[[Message], list[Message]]


def part(name: str, change: Callable[[ObjectPart], list[Message]]) -> Change:
    return lambda m: change(m) if isinstance(m, ObjectPart) and m.name == name else [m]


def begin(change: Callable[[Begin], list[Message]]) -> Change:
    return lambda m: change(m) if isinstance(m, Begin) else [m]


def end(change: Callable[[End], list[Message]]) -> Change:
    return lambda m: change(m) if isinstance(m, End) else [m]


def swapped(matches: Callable[[Message], bool]) -> Callable[[], Change]:
    """Delivers the first matching frame after the next one."""

    def make_change() -> Change:
        held: list[Message] = []

        def change(message: Message) -> list[Message]:
            if matches(message) and not held:
                held.append(message)
                return []
            in_order = [message, *held]
            held.clear()
            return in_order

        return change

    return make_change


def with_item(value: bytes, name: str = "one") -> Change:
    return part("a", lambda p: [replace(p, items=p.items | {name: value})])


def last_part(message: Message) -> bool:
    return isinstance(message, ObjectPart) and message.name == "b"


# Each case alters a batch that changes `a` (one item put, two removed) and `b`. The values are the
# alteration, the reason that is counted, and the objects that are sent as snapshots afterwards.
CASES: dict[str, tuple[Callable[[], Change], str, set[str]]] = {
    "a gap": (lambda: begin(lambda m: [replace(m, base_revision=m.base_revision + 10**6)]), "a gap", set()),
    "an older revision": (
        lambda: begin(lambda m: [replace(m, target_revision=0)]),
        "an older revision",
        set(),
    ),
    "a revision out of bounds": (
        lambda: begin(lambda m: [replace(m, target_revision=REVISION_LIMIT)]),
        "a revision out of bounds",
        set(),
    ),
    "another revision": (
        lambda: begin(lambda m: [replace(m, target_revision=m.target_revision + 1)]),
        "a batch without all of its parts",
        set(),
    ),
    "a full batch": (lambda: begin(lambda m: [replace(m, full=True)]), "a whole batch for a part", set()),
    "no begin": (lambda: begin(lambda m: []), "an end of no batch", set()),
    "begin twice": (lambda: begin(lambda m: [m, m]), "a batch within a batch", set()),
    "begin late": (swapped(lambda m: isinstance(m, Begin)), "a batch without all of its parts", set()),
    "end twice": (lambda: end(lambda m: [m, m]), "a part of no batch", set()),
    "end early": (swapped(last_part), "a batch without all of its parts", set()),
    "begin again after the end": (
        lambda: end(lambda m: [m, Begin(m.target_revision, m.target_revision, False)]),
        "a batch without its end",
        set(),
    ),
    "a missing part": (lambda: part("a", lambda p: []), "a batch without all of its parts", set()),
    "a part twice": (lambda: part("a", lambda p: [p, p]), "parts out of order", {"a"}),
    "an object without its last part": (
        lambda: part("b", lambda p: [replace(p, has_more=True)]),
        "a batch without all of its parts",
        set(),
    ),
    "parts of two kinds": (
        lambda: part("a", lambda p: [replace(p, has_more=True), replace(p, kind=Kind.SNAPSHOT)]),
        "parts of two kinds",
        {"a"},
    ),
    "an unknown kind": (lambda: part("a", lambda p: [replace(p, kind=7)]), "a part of unknown kind", {"a"}),
    "a changed byte": (lambda: with_item(b"nev"), "an object that does not add up", {"a"}),
    "an added item": (lambda: with_item(b"x", "more"), "an object that does not add up", {"a"}),
    "a missing item": (
        lambda: part("a", lambda p: [replace(p, items={})]),
        "an object that does not add up",
        {"a"},
    ),
    "items not removed": (
        lambda: part("a", lambda p: [replace(p, removed=())]),
        "an object that does not add up",
        {"a"},
    ),
    "another count": (
        lambda: part("a", lambda p: [replace(p, item_count=9)]),
        "an object that does not add up",
        {"a"},
    ),
    "another checksum": (
        lambda: part("a", lambda p: [replace(p, checksum=p.checksum ^ 1)]),
        "an object that does not add up",
        {"a"},
    ),
    "a delta marked as a snapshot": (
        lambda: part("a", lambda p: [replace(p, kind=Kind.SNAPSHOT)]),
        "an object that does not add up",
        {"a"},
    ),
    "a value too large": (lambda: with_item(bytes(MAX_ITEM_BYTES + 1)), "an item over the size bound", {"a"}),
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
                replace(p, items={f"{n}": bytes(16000) for n in range(70)}, has_more=True),
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
                    ObjectPart(
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


def settled_fleet() -> Fleet:
    fleet = Fleet(7, relays=2)
    fleet.commit(
        *(ObjectChange(name, {"one": b"old", "two": b"x" * 90, "three": b"", "four": b"x"}) for name in "abc")
    )
    fleet.proxy("p", "a", "b", "c")
    fleet.settle()
    fleet.run(3)
    fleet.wire.clear()
    return fleet


def commit_changes(fleet: Fleet, value: str) -> None:
    fleet.commit(
        ObjectChange("a", {"one": value.encode()}, removed=("two", "three")),
        ObjectChange("b", {"one": value.encode(), "two": b"y"}),
    )


def alter_batch(fleet: Fleet, target: str, make_change: Callable[[], Change]) -> None:
    """Alters the next batch to the target, up to its end, and no later one."""
    change, progress = make_change(), [0]

    def alter(stream: Stream, receiver: str, message: Message) -> list[Message]:
        if receiver != target or not isinstance(message, Begin | ObjectPart | End) or progress[0] > 1:
            return [message]
        progress[0] += isinstance(message, Begin) + 2 * isinstance(message, End)
        return change(message) if progress[0] < 4 else [message]

    fleet.wire.alter = alter


@pytest.mark.parametrize("case", CASES)
def test_a_proxy_refuses_an_altered_batch_logs_it_once_and_recovers(case: str) -> None:
    make_change, reason, snapshots = CASES[case]
    fleet = settled_fleet()
    core, relay_name = fleet.subscriber("p"), fleet.relay_of("p")
    for turn in (1, 2):
        fleet.wire.clear()
        alter_batch(fleet, "p", make_change)
        commit_changes(fleet, f"new {turn}")
        fleet.settle(5)
        fleet.run(2)
        assert core.counts[f"refused: {reason}"] == turn
        assert len([text for text in fleet.log_lines("p") if reason in text]) == 1
        sent = {
            name for (receiver, name, kind) in fleet.wire.objects if receiver == "p" and kind is Kind.SNAPSHOT
        }
        assert sent == snapshots
        assert core.age(fleet.now) < 1.5
        fleet.commit(ObjectChange("a", {"two": b"x", "three": b""}), ObjectChange("b", {"one": b"old"}))
        fleet.settle(5)
    assert fleet.relay_of("p") == relay_name


@pytest.mark.parametrize("case", [name for name in CASES if name != "a batch too large"])
def test_a_relay_refuses_an_altered_batch_of_its_origin(case: str) -> None:
    make_change, reason, snapshots = CASES[case]
    if case == "a full batch":
        reason = "a whole batch with less than whole objects"
    fleet = settled_fleet()
    alter_batch(fleet, "relay0", make_change)
    commit_changes(fleet, "new")
    fleet.settle(5)
    fleet.run_until(lambda: fleet.subscriber("relay0").store.revision == fleet.origin.store.revision, 5)
    fleet.run(2)
    assert fleet.subscriber("relay0").counts[f"refused: {reason}"] == 1
    sent = {
        name
        for (receiver, name, kind) in fleet.wire.objects
        if receiver == "relay0" and kind is Kind.SNAPSHOT
    }
    assert sent == snapshots
    assert fleet.subscriber("relay0").age(fleet.now) < 1.5


def test_a_delta_of_an_unknown_object_is_refused() -> None:
    fleet = settled_fleet()
    fleet.put("d", one="x")
    fleet.run(1)
    fleet.wire.clear()
    alter_batch(fleet, "p", lambda: part("d", lambda p: [replace(p, kind=Kind.DELTA)]))
    fleet.follow("p", "d")
    fleet.put("a", one="y")
    fleet.settle(3)
    assert fleet.subscriber("p").counts["refused: a delta of an unknown object"] == 1
    assert fleet.wire.objects["p", "d", Kind.SNAPSHOT] == 2  # the altered one, and its replacement
    assert fleet.wire.parts["p", Kind.SNAPSHOT] == 2 and fleet.wire.parts["p", Kind.DELTA] >= 1


def test_a_new_name_in_a_refused_batch_is_sent_again() -> None:
    fleet = settled_fleet()
    fleet.put("d", one="x")
    fleet.run(3)  # now the proxy's revision is above the object's
    fleet.wire.clear()
    alter_batch(fleet, "p", lambda: with_item(b"wrong"))
    commit_changes(fleet, "new")
    relay = fleet.subscriber(fleet.relay_of("p"))
    fleet.run_until(lambda: relay.store.revision == fleet.origin.store.revision, 1, step_s=0.01)
    fleet.follow("p", "d")  # while the relay gathers changes: both go into one batch
    fleet.settle(3)
    assert fleet.subscriber("p").counts["refused: an object that does not add up"] == 1
    sent = {
        name: count
        for (receiver, name, kind), count in fleet.wire.objects.items()
        if (receiver, kind) == ("p", Kind.SNAPSHOT)
    }
    assert sent == {"a": 1, "d": 2} and fleet.wire.sent["p", Begin] == 2


def test_objects_that_are_not_followed_are_ignored() -> None:
    fleet = settled_fleet()
    foreign = ObjectPart("foreign", Kind.DELETED, 1, {}, (), 0, 0, False)
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
    commit_changes(fleet, "new")
    fleet.settle(3)
    assert fleet.subscriber("p").counts["not followed"] == 1
    assert "foreign" not in fleet.subscriber("p").names


def test_a_relay_whose_batch_never_ends_is_left() -> None:
    """The relay still answers pings, so it is not detected as silent."""
    fleet = settled_fleet()
    before = fleet.relay_of("p")
    alter_batch(fleet, "p", lambda: end(lambda m: []))
    commit_changes(fleet, "new")
    fleet.run(5)
    assert not fleet.converged()
    fleet.settle(2 * fleet.rules.stale_s + fleet.rules.spread_s)
    assert fleet.subscriber("p").counts["lost: sends nothing"] == 1
    assert fleet.relay_of("p") != before


def test_after_three_refusals_in_a_row_another_relay_is_used() -> None:
    fleet = settled_fleet()
    before = fleet.relay_of("p")

    def alter(stream: Stream, receiver: str, message: Message) -> list[Message]:
        if receiver == "p" and stream.relay == before:
            return with_item(b"never right")(message)
        return [message]

    fleet.wire.alter = alter
    commit_changes(fleet, "new")
    fleet.settle(6)
    assert fleet.subscriber("p").counts["lost: refused"] == 1
    assert fleet.subscriber("p").counts["refused: an object that does not add up"] == 3
    assert fleet.relay_of("p") != before


@pytest.mark.parametrize("host", ["p", "relay0"])
def test_many_objects_with_wrong_checksums_are_all_sent_as_snapshots(host: str) -> None:
    """Corrupted held objects, more than a refusal message can name."""
    names = [f"s{n}" for n in range(900)]
    fleet = Fleet(3, relays=2, watched=False)
    fleet.commit(*(ObjectChange(name, {"one": b"x"}) for name in names))
    fleet.proxy("p", *names)
    fleet.settle()
    core = fleet.subscriber(host)
    for name in names:
        core.store.objects[name].items["one"] = b"y"
        corrupted = core.store.objects[name].with_change(ObjectChange(name, {"one": b"z"}), 1)
        core.store.objects[name] = corrupted
    fleet.commit(*(ObjectChange(name, {"two": b"x"}) for name in names))
    fleet.settle(30)
    fleet.run_until(
        lambda: (
            all(core.store.objects[n].items == fleet.wanted[n] for n in names) and not core.needs_snapshot
        ),
        30,
    )
