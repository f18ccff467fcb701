"""Node lists received over delivery: the versions that are offered, and the effect of an invalid row."""

from __future__ import annotations

from random import Random
from typing import Any

import orjson
import pytest
from hypothesis import given
from hypothesis import strategies as st

from flintlatch.membership import (
    Apply,
    Change,
    Event,
    InvalidVersionOffered,
    Membership,
    MembershipRules,
    NodeState,
    Rejected,
    SourceFailed,
    VersionHeld,
    VersionOffered,
    VersionRestored,
    check_rows,
    delivered,
    read_document,
    write_document,
)
from flintlatch.membership.delivered import DeliveredNodeList

SERVICE = "service/answers"


def row(number: int, **fields: Any) -> bytes:
    return orjson.dumps({"uid": f"s{number}", "address": f"10.0.0.1:{9000 + number}"} | fields)


def only_offer(events: list[Event]) -> VersionOffered:
    (event,) = events
    assert isinstance(event, VersionOffered), event
    return event


def fault_texts(events: list[Event]) -> list[str]:
    (event,) = events
    assert isinstance(event, InvalidVersionOffered), event
    return list(map(str, event.faults))


def uids(events: list[Event]) -> list[str]:
    return [node.uid for node in only_offer(events).version.nodes]


def make_membership(*sources: str, **rules: Any) -> Membership:
    return Membership(MembershipRules(sources or (SERVICE,), **rules))


def applied_changes(membership: Membership, now: float, events: list[Event]) -> list[Change]:
    return [a.change for e in events for a in membership.step(now, e) if isinstance(a, Apply)]


def test_items_become_a_version_with_the_number_of_the_revision() -> None:
    node_list = DeliveredNodeList(SERVICE)
    event = only_offer(
        node_list.on_snapshot(5.0, 7, {"b": row(2, weight=3, zone="z"), "a": row(1, state="draining")})
    )
    assert (event.version.source, event.version.number, event.version.made_ms) == (SERVICE, 7, 5.0)
    first, second = event.version.nodes
    assert (first.uid, first.state) == ("s1", NodeState.DRAINING)
    assert (second.uid, second.port, second.weight, second.zone) == ("s2", 9002, 3.0, "z")


def test_row_without_a_uid_gets_the_name_of_its_item() -> None:
    node_list = DeliveredNodeList(SERVICE)
    assert uids(node_list.on_snapshot(0.0, 1, {"a": b'{"address": "10.0.0.1:1"}', "b": row(1)})) == [
        "a",
        "s1",
    ]
    events = node_list.on_delta(
        1.0, 2, {"s1": b'{"address": "10.0.0.1:2"}', "n" * 129: b'{"address": "[::1]:1"}'}, ()
    )
    too_long, duplicate = fault_texts(events)
    assert "expected a name of 1 to 128 printable" in too_long and "item['s1'].uid: found 's1'" in duplicate


def test_delta_parses_and_applies_only_the_rows_in_it(monkeypatch: pytest.MonkeyPatch) -> None:
    checked_rows: list[Any] = []

    def recording_check_rows(new_rows: Any) -> Any:
        checked_rows.extend(new_rows)
        return check_rows(new_rows)

    monkeypatch.setattr(delivered, "check_rows", recording_check_rows)
    node_list, membership = DeliveredNodeList(SERVICE), make_membership()
    (first,) = applied_changes(
        membership, 0.0, node_list.on_snapshot(0.0, 1, {f"i{n}": row(n) for n in range(500)})
    )
    assert len(first.added) == len(checked_rows) == 500
    checked_rows.clear()
    (change,) = applied_changes(
        membership, 1.0, node_list.on_delta(1.0, 2, {"i7": row(7, state="draining")}, ())
    )
    assert [r["uid"] for r in checked_rows] == ["s7"]
    assert [node.uid for node in change.drained] == ["s7"]
    assert not (change.removed or change.changed or change.added)
    checked_rows.clear()
    (change,) = applied_changes(membership, 2.0, node_list.on_delta(2.0, 3, {}, ("i9",)))
    assert not checked_rows and [node.uid for node in change.removed] == ["s9"]


@pytest.mark.parametrize(
    ("value", "expected_text"),
    [
        (b"{", "item['bad']: found b'{', expected JSON"),
        (b"\xff\xfe", "item['bad']: found"),
        (b"[]", "item['bad']: found [], expected a table with uid and address"),
        (row(9, weight=-1), "item['bad'].weight: found -1, expected a number from 0.01"),
        (row(9, colour="red"), "item['bad'].colour: found 'red', expected no such key"),
        (b"{}", "item['bad'].address: found nothing"),
        (row(9, uid=None), "item['bad'].uid: found nothing, expected a name of 1 to 128"),
        (orjson.dumps({"uid": "bad", "address": "10.0.0.1:9001"}), "expected each address once in a pool"),
        (orjson.dumps({"uid": "s9", "address": "host:80"}), "item['bad'].address: found 'host:80'"),
        (row(1), "item['bad'].uid: found 's1', expected each uid once; item['i1'] has it"),
        (row(1, uid="other"), "item['bad'].address: found '10.0.0.1:9001', expected each address once"),
    ],
)
def test_invalid_row_rejects_versions_until_it_is_corrected_or_removed(
    value: bytes, expected_text: str
) -> None:
    node_list, membership = DeliveredNodeList(SERVICE), make_membership()
    applied_changes(membership, 0.0, node_list.on_snapshot(0.0, 1, {"i1": row(1), "i2": row(2)}))
    events = node_list.on_delta(1.0, 2, {"bad": value, "i2": row(2, state="draining")}, ())
    assert any(expected_text in fault for fault in fault_texts(events)), fault_texts(events)
    (rejected,) = (a for event in events for a in membership.step(1.0, event))
    assert isinstance(rejected, Rejected) and rejected.faults
    # The drain in this version is not applied.
    assert [node.state for node in membership.nodes.values()] == [NodeState.ACTIVE] * 2
    assert fault_texts(node_list.on_delta(2.0, 3, {"i3": row(3)}, ()))
    # After the correction, the next version has all changes made in the meantime.
    (change,) = applied_changes(membership, 3.0, node_list.on_delta(3.0, 4, {"bad": row(4)}, ()))
    assert [node.uid for node in change.drained] == ["s2"]
    assert sorted(node.uid for node in change.added) == ["s3", "s4"]
    # Removing the invalid row has the same effect.
    assert fault_texts(node_list.on_delta(4.0, 5, {"bad": value}, ()))
    assert uids(node_list.on_delta(5.0, 6, {}, ("bad",))) == ["s1", "s2", "s3"]


def test_items_can_exchange_rows_in_one_delta() -> None:
    node_list = DeliveredNodeList(SERVICE)
    node_list.on_snapshot(0.0, 1, {"a": row(1), "b": row(2)})
    assert uids(node_list.on_delta(1.0, 2, {"a": row(2), "b": row(1)}, ())) == ["s2", "s1"]
    assert uids(node_list.on_delta(2.0, 3, {"c": row(1)}, ("b",))) == ["s2", "s1"]


def test_reported_faults_are_limited_and_the_rest_counted() -> None:
    texts = fault_texts(DeliveredNodeList(SERVICE).on_snapshot(0.0, 1, {f"i{n:03}": b"{" for n in range(80)}))
    # MAX_REPORTED_FAULTS (50) and the count of the other 30
    assert len(texts) == 51 and texts[-1] == "item: found 30 more faults, expected none"


def test_large_removals_are_held_and_empty_lists_rejected() -> None:
    node_list, membership = DeliveredNodeList(SERVICE), make_membership(hold_s=30.0)
    applied_changes(membership, 0.0, node_list.on_snapshot(0.0, 5, {f"i{n}": row(n) for n in range(4)}))
    # A version that removes too many nodes is held, an empty version is rejected, and an absent object
    # removes no node.
    (event,) = node_list.on_delta(1.0, 6, {}, ("i0", "i1", "i2"))
    assert any(isinstance(action, VersionHeld) for action in membership.step(1.0, event))
    (event,) = node_list.on_delta(2.0, 7, {}, ("i3",))
    assert any(isinstance(action, Rejected) for action in membership.step(2.0, event))
    (event,) = node_list.on_object_absent()
    assert isinstance(event, SourceFailed)
    membership.step(3.0, event)
    assert len(membership.nodes) == 4 and membership.sources[SERVICE].failure == delivered.NO_OBJECT_REASON
    # When the object exists again, its earlier items and faults have no effect.
    assert uids(node_list.on_delta(4.0, 8, {"i2": row(2), "i3": row(3)}, ())) == ["s2", "s3"]


def test_restored_version_is_confirmed_by_the_same_revision_in_any_item_order() -> None:
    items = {f"i{n}": row(n) for n in range(5)}
    version = only_offer(DeliveredNodeList(SERVICE).on_snapshot(0.0, 9, items)).version
    saved = read_document(write_document(version))
    membership, node_list = make_membership(), DeliveredNodeList(SERVICE)
    membership.step(0.0, VersionRestored(saved))
    assert membership.sources[SERVICE].unconfirmed
    events = node_list.on_snapshot(1.0, 9, dict(reversed(items.items())))
    assert [type(action) for event in events for action in membership.step(1.0, event)] == []
    assert not membership.sources[SERVICE].unconfirmed
    # An older revision, from a relay that lags or an origin that was restarted, is rejected.
    (event,) = DeliveredNodeList(SERVICE).on_snapshot(2.0, 8, {"i0": row(0)})
    (rejected,) = membership.step(2.0, event)
    assert isinstance(rejected, Rejected) and "a number above 9" in str(rejected.faults[0])


@given(st.integers(0, 2**32), st.integers(1, 30))
def test_a_sequence_of_deltas_gives_the_same_version_as_a_snapshot(seed: int, steps: int) -> None:
    random, items, node_list = Random(seed), dict[str, bytes](), DeliveredNodeList(SERVICE)
    node_list.on_snapshot(0.0, 1, {})
    for number in range(2, steps + 2):
        put = {
            f"i{n}": random.choice((row(n), row(n, weight=2), row(n + 1), b"{", b"3"))
            for n in random.sample(range(6), random.randint(0, 3))
        }
        removed = [n for n in random.sample(sorted(items), random.randint(0, len(items))) if n not in put]
        items = {n: v for n, v in items.items() if n not in removed} | put
        events = node_list.on_delta(float(number), number, put, removed)
        (snapshot_event,) = DeliveredNodeList(SERVICE).on_snapshot(float(number), number, items)
        (delta_event,) = events
        if isinstance(snapshot_event, InvalidVersionOffered):
            # Of two items with the same uid or address, the fault names the later one. Which of the two that
            # is depends on the order of the deltas, so that only the number of faults is compared.
            assert isinstance(delta_event, InvalidVersionOffered) and len(delta_event.faults) == len(
                snapshot_event.faults
            )
        else:
            assert delta_event == snapshot_event
