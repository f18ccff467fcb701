"""Objects by revision: what has changed since any older one, in parts, taken whole or refused."""

from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from msgspec.structs import replace

from flintlatch.delivery.model import (
    MAX_ITEM_BYTES,
    MAX_NAME_BYTES,
    MAX_OBJECT_BYTES,
    Begin,
    End,
    Kind,
    ObjectChange,
    ObjectPart,
    Participant,
    Rules,
    item_digest,
    rank_relays,
    wire_size,
)
from flintlatch.delivery.staging import BatchError, CompletedBatch, Staging
from flintlatch.delivery.store import (
    MAX_DELETED_OBJECTS,
    MIN_TOMBSTONE_LIMIT,
    OutOfBounds,
    OutOfOrder,
    Store,
    StoredObject,
)

State = dict[str, dict[str, bytes]]


def state_of(store: Store) -> State:
    return {name: one.items for name, one in store.objects.items()}


def sent(upper: Store, names: list[str], base: int | None, part_bytes: int = 16384) -> list[ObjectPart]:
    out: list[ObjectPart] = []
    for name in names:
        one = upper.objects.get(name)
        if one is None:
            out.append(ObjectPart(name, Kind.DELETED, upper.revision, {}, (), 0, 0, False))
        else:
            out += one.to_parts(name, base, part_bytes)
    return out


def take(lower: Store, parts: list[ObjectPart], to: int, whole: bool = False) -> CompletedBatch:
    staging = Staging(Begin(lower.revision, to, whole), Rules(), lower)
    for part in parts:
        staging.add(part, wire_size(part))
    taken = staging.finish(End(to, len(parts)))
    lower.put(taken.objects, to)
    return taken


edits = st.lists(
    st.tuples(
        st.sampled_from("abc"),
        st.sampled_from(("put", "put", "take", "gone")),
        st.integers(0, 90),
        st.binary(max_size=3),
    ),
    min_size=1,
    max_size=8,
)


def change_of(name: str, what: str, item: int, value: bytes) -> ObjectChange:
    if what == "gone":
        return ObjectChange(name, deleted=True)
    if what == "take":
        return ObjectChange(name, removed=tuple(f"{n}" for n in range(item)))
    return ObjectChange(name, {f"{n}": value for n in range(item)})


@given(st.lists(edits, min_size=1, max_size=12), st.integers(60, 400))
@settings(max_examples=80, deadline=None, derandomize=True, print_blob=True)
def test_whoever_holds_an_older_revision_comes_to_the_newest(
    commits: list[list[tuple[str, str, int, bytes]]], part_bytes: int
) -> None:
    """From each revision on, straight and by way of another store that itself jumped."""
    upper = Store()
    between = Store()
    history: list[tuple[int, Store]] = []
    for n, commit in enumerate(commits):
        model = {name: dict(items) for name, items in state_of(upper).items()}
        for edit in commit:
            change = change_of(*edit)
            if change.deleted:
                model.pop(change.name, None)
                continue
            items = model.setdefault(change.name, {})
            for name in change.removed:
                items.pop(name, None)
            items.update(change.items)
        upper.commit([change_of(*edit) for edit in commit])
        assert state_of(upper) == model
        for one in upper.objects.values():
            assert one.checksum == sum(item_digest(k, v) for k, v in one.items.items()) % 2**64
            assert one.size == sum(len(k) + len(v) for k, v in one.items.items())
            assert len(one.tombstones) <= max(MIN_TOMBSTONE_LIMIT, len(one.items))
        if n % 3 == 0:
            whole = not between.revision
            names = list(upper.objects) if whole else upper.names_changed_since(between.revision)
            take(
                between,
                sent(upper, names, None if whole else between.revision, part_bytes),
                upper.revision,
                whole,
            )
            if whole:
                between.deletion_floor = upper.revision
            assert state_of(between) == model
        kept = Store()
        kept.objects, kept.revision, kept.latest_version = (
            dict(upper.objects),
            upper.revision,
            upper.latest_version,
        )
        history.append((upper.revision, kept))
    for above in (upper, between):
        for revision, old in history:
            if revision > above.revision:
                continue
            lower = Store()
            lower.objects, lower.revision, lower.latest_version = (
                dict(old.objects),
                revision,
                old.latest_version,
            )
            names = [name for name in "abc" if above.has_changed_since(name, revision)]
            parts = sent(above, names, revision, part_bytes)
            take(lower, parts, above.revision)
            assert state_of(lower) == state_of(above)


@given(st.lists(edits, min_size=2, max_size=8))
@settings(max_examples=60, deadline=None, derandomize=True, print_blob=True)
def test_the_changes_told_are_just_what_is_new(commits: list[list[tuple[str, str, int, bytes]]]) -> None:
    upper, lower = Store(), Store()
    mirror: State = {}
    for commit in commits:
        upper.commit([change_of(*edit) for edit in commit])
        names = [name for name in "abc" if upper.has_changed_since(name, lower.revision)]
        for change in take(lower, sent(upper, names, lower.revision), upper.revision).changes:
            if change.deleted:
                del mirror[change.name]
                continue
            items = mirror.setdefault(change.name, {})
            for name in change.removed:
                del items[name]
            assert all(items.get(k) != v for k, v in change.items.items())
            items.update(change.items)
        assert mirror == state_of(upper)


# Parts


def test_no_part_is_larger_than_its_bound_allows() -> None:
    """Names of many bytes a character, and as many taken away as put."""
    store = Store()
    old = [f"\U0001f310{n:04}" * 8 for n in range(3000)]
    store.commit([ObjectChange("s", dict.fromkeys(old, b""))])
    store.commit([ObjectChange("s", {f"{name}+": b"x" for name in old[:1500]}, tuple(old[:1500]))])
    one = store.objects["s"]
    for since in (None, 1):
        parts = list(one.to_parts("s", since, 4096))
        assert max(wire_size(part) for part in parts) <= 4096 + 200
        assert [part.has_more for part in parts] == [True] * (len(parts) - 1) + [False]
        assert {part.kind for part in parts} == {Kind.SNAPSHOT if since is None else Kind.DELTA}


def test_an_item_larger_than_a_part_goes_alone() -> None:
    store = Store()
    store.commit([ObjectChange("s", {"a": b"", "b": bytes(5000), "c": b""})])
    assert [len(part.items) for part in store.objects["s"].to_parts("s", None, 1000)] == [1, 1, 1]


def test_an_object_without_items_is_one_part() -> None:
    store = Store()
    store.commit([ObjectChange("s")])
    lower = Store()
    assert [c.name for c in take(lower, sent(store, ["s"], None), 1).changes] == ["s"]
    assert state_of(lower) == {"s": {}}


def test_what_was_taken_away_longer_ago_than_is_known_means_a_snapshot() -> None:
    store = Store()
    store.commit([ObjectChange("s", {f"{n}": b"" for n in range(MIN_TOMBSTONE_LIMIT + 2)})])
    for n in range(MIN_TOMBSTONE_LIMIT + 2):
        store.commit([ObjectChange("s", removed=(f"{n}",))])
    one = store.objects["s"]
    assert one.changes_since(1) is None and one.changes_since(2) is None
    assert len(one.tombstones) == MIN_TOMBSTONE_LIMIT
    change = one.changes_since(3)
    assert change is not None and len(change.removed) == MIN_TOMBSTONE_LIMIT
    assert next(one.to_parts("s", 2, 16384)).kind is Kind.SNAPSHOT


def test_an_object_made_anew_is_a_snapshot_for_who_held_the_one_before() -> None:
    store = Store()
    store.commit([ObjectChange("s", {"a": b""})])
    store.commit([ObjectChange("s", deleted=True)])
    store.commit([ObjectChange("s", {"b": b""})])
    assert [part.kind for part in store.objects["s"].to_parts("s", 1, 16384)] == [Kind.SNAPSHOT]


# The store


def test_a_commit_of_no_new_revision_is_refused_and_changes_nothing() -> None:
    store = Store()
    store.commit([ObjectChange("s", {"a": b""})], 7)
    for revision in (6, 7):
        with pytest.raises(OutOfOrder):
            store.commit([ObjectChange("s", {"a": b"x"})], revision)
    assert state_of(store) == {"s": {"a": b""}} and store.revision == 7


@pytest.mark.parametrize(
    "change",
    [
        ObjectChange("", {"a": b""}),
        ObjectChange("n" * (MAX_NAME_BYTES + 1), {"a": b""}),
        ObjectChange("t", {"": b""}),
        ObjectChange("t", {"ä" * 101: b""}),
        ObjectChange("t", {"a": bytes(MAX_ITEM_BYTES + 1)}),
        ObjectChange("t", {f"{n}": bytes(MAX_ITEM_BYTES) for n in range(MAX_OBJECT_BYTES // MAX_ITEM_BYTES)}),
    ],
)
def test_what_every_subscriber_would_refuse_is_not_committed(change: ObjectChange) -> None:
    store = Store()
    store.commit([ObjectChange("s", {"a": b""})])
    with pytest.raises(OutOfBounds):
        store.commit([ObjectChange("s", {"a": b"x"}), change])
    with pytest.raises(OutOfBounds):
        store.replace({"s": {}, change.name: change.items})
    assert state_of(store) == {"s": {"a": b""}} and store.revision == 1


def test_the_largest_object_that_is_committed_is_taken() -> None:
    upper, lower = Store(), Store()
    items = {f"{n:03}": bytes(MAX_ITEM_BYTES - 3) for n in range(MAX_OBJECT_BYTES // MAX_ITEM_BYTES)}
    upper.commit([ObjectChange("s", items)])
    take(lower, sent(upper, ["s"], None), 1)
    assert state_of(lower) == {"s": items} and upper.objects["s"].size == MAX_OBJECT_BYTES


def test_replace_commits_the_difference_and_nothing_where_there_is_none() -> None:
    store = Store()
    assert set(store.replace({"a": {"x": b"1", "y": b"2"}, "b": {}})) == {"a", "b"}
    assert store.replace({"a": {"x": b"1", "y": b"2"}, "b": {}}) == [] and store.revision == 1
    assert set(store.replace({"a": {"x": b"1", "z": b"3"}, "c": {}})) == {"a", "b", "c"}
    assert state_of(store) == {"a": {"x": b"1", "z": b"3"}, "c": {}}
    change = store.objects["a"].changes_since(1)
    assert change is not None and (change.items, change.removed) == ({"z": b"3"}, ("y",))


def test_newer_and_changed_since_know_of_what_is_gone() -> None:
    store = Store()
    store.commit([ObjectChange(name) for name in "abc"])
    store.commit([ObjectChange("a", {"x": b""}), ObjectChange("never", deleted=True)])
    store.commit([ObjectChange("b", deleted=True)])
    assert (
        set(store.names_changed_since(1)) == {"a", "b", "never"}
        and store.names_changed_since(2) == ["b"]
        and store.names_changed_since(3) == []
    )
    assert store.has_changed_since("b", 2) and not store.has_changed_since("b", 3)
    assert store.has_changed_since("never", 1) and not store.has_changed_since("never", 2)
    assert not store.has_changed_since("c", 1) and not store.has_changed_since("unheard", 1)
    store.forget("b")
    assert not store.has_changed_since("b", 0)


def test_of_what_is_gone_only_so_much_is_remembered_and_then_all_of_before_is_doubtful() -> None:
    store = Store()
    store.put([(f"{n}", StoredObject(1, 1)) for n in range(MAX_DELETED_OBJECTS + 1)], 1)
    store.put([("0", None)], 2)
    store.put([(f"{n}", None) for n in range(1, MAX_DELETED_OBJECTS + 1)], 3)
    assert len(store.deleted) == MAX_DELETED_OBJECTS and store.deletion_floor == 2
    assert store.has_changed_since("0", 1) and not store.has_changed_since("0", 2)
    assert store.has_changed_since("1", 2)


def test_a_restamp_makes_all_of_before_unknown() -> None:
    store = Store()
    store.commit([ObjectChange("a", {"x": b""}), ObjectChange("b")])
    store.commit([ObjectChange("b", deleted=True)])
    store.restamp(100)
    assert (
        store.has_changed_since("a", 99)
        and store.has_changed_since("b", 99)
        and store.has_changed_since("c", 99)
    )
    assert store.objects["a"].changes_since(99) is None
    store.commit([ObjectChange("a", {"y": b""})])
    change = store.objects["a"].changes_since(100)
    assert store.revision == 101 and change is not None and change.items == {"y": b""}


def test_an_older_object_put_late_stands_in_order() -> None:
    store = Store()
    store.put([("a", StoredObject(9, 9)), ("b", StoredObject(4, 4))], 9)
    assert set(store.names_changed_since(8)) == {"a", "b"} and store.names_changed_since(9) == []


# Staging


def test_a_batch_with_one_object_that_does_not_add_up_changes_nothing() -> None:
    upper, lower = Store(), Store()
    upper.commit([ObjectChange(name, {"x": b"1"}) for name in "abc"])
    take(lower, sent(upper, ["a", "b", "c"], None), 1)
    upper.commit([ObjectChange(name, {"x": b"2"}) for name in "abc"])
    parts = sent(upper, ["a", "b", "c"], 1)
    parts[1] = replace(parts[1], items={"x": b"3"})
    with pytest.raises(BatchError) as torn:
        take(lower, parts, 2)
    assert torn.value.names == ("b",)
    assert state_of(lower) == {name: {"x": b"1"} for name in "abc"}


def test_the_sizes_of_an_object_and_of_a_batch_are_bounded_while_they_come() -> None:
    rules = Rules(object_bytes=1000, batch_bytes=5000)
    staging = Staging(Begin(0, 1, False), rules, Store())
    part = ObjectPart("a", Kind.SNAPSHOT, 1, {"x": b""}, (), 1, 0, True)
    staging.add(part, 1999)
    with pytest.raises(BatchError, match="object over the size bound"):
        staging.add(part, 2)
    staging = Staging(Begin(0, 1, False), rules, Store())
    for n in range(5):
        staging.add(replace(part, name=f"{n}", has_more=False), 1000)
    with pytest.raises(BatchError, match="batch of over"):
        staging.add(replace(part, name="6"), 1)


def test_an_object_over_its_bound_is_not_taken() -> None:
    items = {f"{n}": bytes(100) for n in range(11)}
    made = StoredObject(1, 1).with_change(ObjectChange("", items), 1)
    staging = Staging(Begin(0, 1, False), Rules(object_bytes=1000), Store())
    staging.add(next(made.to_parts("a", None, 16384)), 1200)
    with pytest.raises(BatchError, match="object over the size bound"):
        staging.finish(End(1, 1))


def test_a_whole_batch_takes_away_what_it_does_not_name() -> None:
    upper, lower = Store(), Store()
    lower.put([("old", StoredObject(1, 1))], 1)
    upper.commit([ObjectChange("new")], 5)
    taken = take(lower, sent(upper, ["new"], None), 5, whole=True)
    assert state_of(lower) == {"new": {}}
    assert {(c.name, c.deleted) for c in taken.changes} == {("new", False), ("old", True)}


def test_objects_are_made_as_they_come_and_the_end_is_a_short_step() -> None:
    """Shown by what is left to do: an end makes none but those of which something was left meanwhile."""
    upper, lower = Store(), Store()
    upper.commit([ObjectChange(name, {"x": b"1"}) for name in "abc"])
    staging = Staging(Begin(0, 1, True), Rules(), lower)
    for part in sent(upper, ["a", "b", "c"], None):
        staging.add(part, wire_size(part))
    made = {name: one.result for name, one in staging.staged.items()}
    assert all(one is not None for one in made.values())
    lower.put(
        [("b", StoredObject(1, 1).with_change(ObjectChange("", {"x": b"1"}), 1))], 1
    )  # as if followed anew
    taken = staging.finish(End(1, 3))
    assert {name for name, one in taken.objects if one is made[name]} == {"a", "c"}
    assert [change.name for change in taken.changes] == ["a", "c"]  # of b nothing is new


# Places


def test_subscribers_of_one_relay_spread_evenly_over_the_others() -> None:
    relays = tuple(Participant(f"relay{n}", f"r{n % 2}") for n in range(12))
    seconds: dict[str, int] = {}
    for n in range(2200):
        order = rank_relays(Participant(f"proxy{n}", "r0"), relays)
        assert {one.region for one in order[:6]} == {"r0"} and len(order) == 12
        if order[0].name == "relay0":
            seconds[order[1].name] = seconds.get(order[1].name, 0) + 1
    assert len(seconds) == 5 and max(seconds.values()) < 1.35 * sum(seconds.values()) / 5


def test_the_order_does_not_depend_on_how_relays_are_given() -> None:
    relays = tuple(Participant(f"relay{n}", f"r{n % 2}") for n in range(6))
    assert rank_relays(Participant("p", "r1"), relays) == rank_relays(Participant("p", "r1"), relays[::-1])


def test_a_message_is_never_larger_than_what_is_counted_for_it() -> None:
    import msgspec

    from flintlatch.delivery import model

    long = "n" * 200
    for message in (
        model.Hello(long, 1, "r" * 32, "z" * 32, model.REVISION_LIMIT, True),
        model.Subscribe((long,) * 256, (long,) * 256),
        model.Unsubscribe((long,) * 256),
        model.Credit(2**60),
        model.Ping(2**60),
        model.Applied(2**60),
        model.Refused(2**60, 2**60, (long,) * 256),
        model.Welcome(long, 2**60, 2**60),
        model.Rejected(2, 2**60),
        model.Begin(2**60, 2**60, True),
        model.End(2**60, 2**60),
        model.Pong(2**60, 2**60, 2**60, True, 2**60),
        model.NamesRejected((long,) * 300),
        ObjectPart(
            long, 1, 2**60, {f"{n}" * 60: bytes(300) for n in range(100)}, (long,) * 100, 2**60, 2**63, True
        ),
    ):
        assert len(msgspec.msgpack.encode(message)) <= wire_size(message) - 10  # length, seal
