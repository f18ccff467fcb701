"""The store and staging: changes since any older revision, in parts, applied completely or refused."""

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
    return {name: stored.items for name, stored in store.objects.items()}


def parts_to_send(
    upstream: Store, names: list[str], base: int | None, part_bytes: int = 16384
) -> list[ObjectPart]:
    parts: list[ObjectPart] = []
    for name in names:
        stored = upstream.objects.get(name)
        if stored is None:
            parts.append(ObjectPart(name, Kind.DELETED, upstream.revision, {}, (), 0, 0, False))
        else:
            parts += stored.to_parts(name, base, part_bytes)
    return parts


def apply_batch(
    downstream: Store, parts: list[ObjectPart], target: int, full: bool = False
) -> CompletedBatch:
    staging = Staging(Begin(downstream.revision, target, full), Rules(), downstream)
    for part in parts:
        staging.add(part, wire_size(part))
    batch = staging.finish(End(target, len(parts)))
    downstream.put(batch.objects, target)
    return batch


edits = st.lists(
    st.tuples(
        st.sampled_from("abc"),
        st.sampled_from(("put", "put", "remove", "delete")),
        st.integers(0, 90),
        st.binary(max_size=3),
    ),
    min_size=1,
    max_size=8,
)


def change_of(name: str, kind: str, item_count: int, value: bytes) -> ObjectChange:
    if kind == "delete":
        return ObjectChange(name, deleted=True)
    if kind == "remove":
        return ObjectChange(name, removed=tuple(f"{n}" for n in range(item_count)))
    return ObjectChange(name, {f"{n}": value for n in range(item_count)})


@given(st.lists(edits, min_size=1, max_size=12), st.integers(60, 400))
@settings(max_examples=80, deadline=None, derandomize=True, print_blob=True)
def test_a_holder_of_any_older_revision_reaches_the_newest(
    commits: list[list[tuple[str, str, int, bytes]]], part_bytes: int
) -> None:
    """From each revision, directly and through an intermediate store that itself skipped revisions."""
    upstream = Store()
    intermediate = Store()
    history: list[tuple[int, Store]] = []
    for n, commit in enumerate(commits):
        model = {name: dict(items) for name, items in state_of(upstream).items()}
        for edit in commit:
            change = change_of(*edit)
            if change.deleted:
                model.pop(change.name, None)
                continue
            items = model.setdefault(change.name, {})
            for name in change.removed:
                items.pop(name, None)
            items.update(change.items)
        upstream.commit([change_of(*edit) for edit in commit])
        assert state_of(upstream) == model
        for stored in upstream.objects.values():
            assert stored.checksum == sum(item_digest(k, v) for k, v in stored.items.items()) % 2**64
            assert stored.size == sum(len(k) + len(v) for k, v in stored.items.items())
            assert len(stored.tombstones) <= max(MIN_TOMBSTONE_LIMIT, len(stored.items))
        if n % 3 == 0:
            full = not intermediate.revision
            names = list(upstream.objects) if full else upstream.names_changed_since(intermediate.revision)
            apply_batch(
                intermediate,
                parts_to_send(upstream, names, None if full else intermediate.revision, part_bytes),
                upstream.revision,
                full,
            )
            if full:
                intermediate.deletion_floor = upstream.revision
            assert state_of(intermediate) == model
        copy = Store()
        copy.objects, copy.revision, copy.latest_version = (
            dict(upstream.objects),
            upstream.revision,
            upstream.latest_version,
        )
        history.append((upstream.revision, copy))
    for source in (upstream, intermediate):
        for revision, old in history:
            if revision > source.revision:
                continue
            downstream = Store()
            downstream.objects, downstream.revision, downstream.latest_version = (
                dict(old.objects),
                revision,
                old.latest_version,
            )
            names = [name for name in "abc" if source.has_changed_since(name, revision)]
            parts = parts_to_send(source, names, revision, part_bytes)
            apply_batch(downstream, parts, source.revision)
            assert state_of(downstream) == state_of(source)


@given(st.lists(edits, min_size=2, max_size=8))
@settings(max_examples=60, deadline=None, derandomize=True, print_blob=True)
def test_the_reported_changes_are_exactly_the_new_items(
    commits: list[list[tuple[str, str, int, bytes]]],
) -> None:
    upstream, downstream = Store(), Store()
    mirror: State = {}
    for commit in commits:
        upstream.commit([change_of(*edit) for edit in commit])
        names = [name for name in "abc" if upstream.has_changed_since(name, downstream.revision)]
        for change in apply_batch(
            downstream, parts_to_send(upstream, names, downstream.revision), upstream.revision
        ).changes:
            if change.deleted:
                del mirror[change.name]
                continue
            items = mirror.setdefault(change.name, {})
            for name in change.removed:
                del items[name]
            assert all(items.get(k) != v for k, v in change.items.items())
            items.update(change.items)
        assert mirror == state_of(upstream)


# Parts


def test_no_part_exceeds_its_size_limit() -> None:
    """With names of several bytes per character, and as many items removed as put."""
    store = Store()
    old = [f"\U0001f310{n:04}" * 8 for n in range(3000)]
    store.commit([ObjectChange("s", dict.fromkeys(old, b""))])
    store.commit([ObjectChange("s", {f"{name}+": b"x" for name in old[:1500]}, tuple(old[:1500]))])
    stored = store.objects["s"]
    for since in (None, 1):
        parts = list(stored.to_parts("s", since, 4096))
        assert max(wire_size(part) for part in parts) <= 4096 + 200
        assert [part.has_more for part in parts] == [True] * (len(parts) - 1) + [False]
        assert {part.kind for part in parts} == {Kind.SNAPSHOT if since is None else Kind.DELTA}


def test_an_item_larger_than_a_part_is_sent_alone() -> None:
    store = Store()
    store.commit([ObjectChange("s", {"a": b"", "b": bytes(5000), "c": b""})])
    assert [len(part.items) for part in store.objects["s"].to_parts("s", None, 1000)] == [1, 1, 1]


def test_an_object_without_items_is_one_part() -> None:
    store = Store()
    store.commit([ObjectChange("s")])
    downstream = Store()
    assert [c.name for c in apply_batch(downstream, parts_to_send(store, ["s"], None), 1).changes] == ["s"]
    assert state_of(downstream) == {"s": {}}


def test_a_snapshot_is_sent_if_the_removals_are_no_longer_known() -> None:
    store = Store()
    store.commit([ObjectChange("s", {f"{n}": b"" for n in range(MIN_TOMBSTONE_LIMIT + 2)})])
    for n in range(MIN_TOMBSTONE_LIMIT + 2):
        store.commit([ObjectChange("s", removed=(f"{n}",))])
    stored = store.objects["s"]
    assert stored.changes_since(1) is None and stored.changes_since(2) is None
    assert len(stored.tombstones) == MIN_TOMBSTONE_LIMIT
    change = stored.changes_since(3)
    assert change is not None and len(change.removed) == MIN_TOMBSTONE_LIMIT
    assert next(stored.to_parts("s", 2, 16384)).kind is Kind.SNAPSHOT


def test_a_recreated_object_is_sent_as_a_snapshot() -> None:
    store = Store()
    store.commit([ObjectChange("s", {"a": b""})])
    store.commit([ObjectChange("s", deleted=True)])
    store.commit([ObjectChange("s", {"b": b""})])
    assert [part.kind for part in store.objects["s"].to_parts("s", 1, 16384)] == [Kind.SNAPSHOT]


# The store


def test_a_commit_without_a_higher_revision_is_refused_and_changes_nothing() -> None:
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
def test_a_commit_over_the_limits_is_refused_and_changes_nothing(change: ObjectChange) -> None:
    store = Store()
    store.commit([ObjectChange("s", {"a": b""})])
    with pytest.raises(OutOfBounds):
        store.commit([ObjectChange("s", {"a": b"x"}), change])
    with pytest.raises(OutOfBounds):
        store.replace({"s": {}, change.name: change.items})
    assert state_of(store) == {"s": {"a": b""}} and store.revision == 1


def test_the_largest_allowed_object_is_accepted() -> None:
    upstream, downstream = Store(), Store()
    items = {f"{n:03}": bytes(MAX_ITEM_BYTES - 3) for n in range(MAX_OBJECT_BYTES // MAX_ITEM_BYTES)}
    upstream.commit([ObjectChange("s", items)])
    apply_batch(downstream, parts_to_send(upstream, ["s"], None), 1)
    assert state_of(downstream) == {"s": items} and upstream.objects["s"].size == MAX_OBJECT_BYTES


def test_replace_commits_the_difference_if_there_is_any() -> None:
    store = Store()
    assert set(store.replace({"a": {"x": b"1", "y": b"2"}, "b": {}})) == {"a", "b"}
    assert store.replace({"a": {"x": b"1", "y": b"2"}, "b": {}}) == [] and store.revision == 1
    assert set(store.replace({"a": {"x": b"1", "z": b"3"}, "c": {}})) == {"a", "b", "c"}
    assert state_of(store) == {"a": {"x": b"1", "z": b"3"}, "c": {}}
    change = store.objects["a"].changes_since(1)
    assert change is not None and (change.items, change.removed) == ({"z": b"3"}, ("y",))


def test_changes_since_a_revision_include_deletions() -> None:
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


def test_beyond_the_limit_on_deleted_names_any_older_name_counts_as_changed() -> None:
    store = Store()
    store.put([(f"{n}", StoredObject(1, 1)) for n in range(MAX_DELETED_OBJECTS + 1)], 1)
    store.put([("0", None)], 2)
    store.put([(f"{n}", None) for n in range(1, MAX_DELETED_OBJECTS + 1)], 3)
    assert len(store.deleted) == MAX_DELETED_OBJECTS and store.deletion_floor == 2
    assert store.has_changed_since("0", 1) and not store.has_changed_since("0", 2)
    assert store.has_changed_since("1", 2)


def test_a_restamp_makes_everything_count_as_changed() -> None:
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


def test_objects_put_out_of_order_are_restamped_in_order() -> None:
    store = Store()
    store.put([("a", StoredObject(9, 9)), ("b", StoredObject(4, 4))], 9)
    assert set(store.names_changed_since(8)) == {"a", "b"} and store.names_changed_since(9) == []


# Staging


def test_a_batch_with_one_wrong_checksum_changes_nothing() -> None:
    upstream, downstream = Store(), Store()
    upstream.commit([ObjectChange(name, {"x": b"1"}) for name in "abc"])
    apply_batch(downstream, parts_to_send(upstream, ["a", "b", "c"], None), 1)
    upstream.commit([ObjectChange(name, {"x": b"2"}) for name in "abc"])
    parts = parts_to_send(upstream, ["a", "b", "c"], 1)
    parts[1] = replace(parts[1], items={"x": b"3"})
    with pytest.raises(BatchError) as caught:
        apply_batch(downstream, parts, 2)
    assert caught.value.names == ("b",)
    assert state_of(downstream) == {name: {"x": b"1"} for name in "abc"}


def test_the_sizes_of_objects_and_batches_are_limited_while_parts_arrive() -> None:
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


def test_an_object_over_the_size_limit_is_refused() -> None:
    items = {f"{n}": bytes(100) for n in range(11)}
    stored = StoredObject(1, 1).with_change(ObjectChange("", items), 1)
    staging = Staging(Begin(0, 1, False), Rules(object_bytes=1000), Store())
    staging.add(next(stored.to_parts("a", None, 16384)), 1200)
    with pytest.raises(BatchError, match="object over the size bound"):
        staging.finish(End(1, 1))


def test_a_full_batch_deletes_objects_that_it_does_not_name() -> None:
    upstream, downstream = Store(), Store()
    downstream.put([("old", StoredObject(1, 1))], 1)
    upstream.commit([ObjectChange("new")], 5)
    batch = apply_batch(downstream, parts_to_send(upstream, ["new"], None), 5, full=True)
    assert state_of(downstream) == {"new": {}}
    assert {(c.name, c.deleted) for c in batch.changes} == {("new", False), ("old", True)}


def test_objects_are_built_as_they_arrive_and_the_end_of_a_batch_is_cheap() -> None:
    """The end of the batch only rebuilds objects whose base was replaced in the meantime."""
    upstream, downstream = Store(), Store()
    upstream.commit([ObjectChange(name, {"x": b"1"}) for name in "abc"])
    staging = Staging(Begin(0, 1, True), Rules(), downstream)
    for part in parts_to_send(upstream, ["a", "b", "c"], None):
        staging.add(part, wire_size(part))
    built = {name: stored.result for name, stored in staging.staged.items()}
    assert all(stored is not None for stored in built.values())
    # As if `b` had been unfollowed and followed again.
    downstream.put([("b", StoredObject(1, 1).with_change(ObjectChange("", {"x": b"1"}), 1))], 1)
    batch = staging.finish(End(1, 3))
    assert {name for name, stored in batch.objects if stored is built[name]} == {"a", "c"}
    assert [change.name for change in batch.changes] == ["a", "c"]  # nothing of b is new


# Ranking of relays


def test_the_subscribers_of_a_lost_relay_spread_evenly_over_the_others() -> None:
    relays = tuple(Participant(f"relay{n}", f"r{n % 2}") for n in range(12))
    second_choices: dict[str, int] = {}
    for n in range(2200):
        order = rank_relays(Participant(f"proxy{n}", "r0"), relays)
        assert {r.region for r in order[:6]} == {"r0"} and len(order) == 12
        if order[0].name == "relay0":
            second_choices[order[1].name] = second_choices.get(order[1].name, 0) + 1
    assert len(second_choices) == 5 and max(second_choices.values()) < 1.35 * sum(second_choices.values()) / 5


def test_the_ranking_does_not_depend_on_the_order_of_the_arguments() -> None:
    relays = tuple(Participant(f"relay{n}", f"r{n % 2}") for n in range(6))
    assert rank_relays(Participant("p", "r1"), relays) == rank_relays(Participant("p", "r1"), relays[::-1])


def test_wire_size_is_an_upper_bound_for_each_message() -> None:
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
        # The remainder is for the length prefix and the seal.
        assert len(msgspec.msgpack.encode(message)) <= wire_size(message) - 10
