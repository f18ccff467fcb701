"""Items of a followed object as rows: what is offered of them, and what one bad row does."""

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


def row(number: int, **more: Any) -> bytes:
    return orjson.dumps({"uid": f"s{number}", "address": f"10.0.0.1:{9000 + number}"} | more)


def offered(events: list[Event]) -> VersionOffered:
    (event,) = events
    assert isinstance(event, VersionOffered), event
    return event


def faults(events: list[Event]) -> list[str]:
    (event,) = events
    assert isinstance(event, InvalidVersionOffered), event
    return list(map(str, event.faults))


def uids(events: list[Event]) -> list[str]:
    return [node.uid for node in offered(events).version.nodes]


def membership(*sources: str, **rules: Any) -> Membership:
    return Membership(MembershipRules(sources or (SERVICE,), **rules))


def applied(core: Membership, now: float, events: list[Event]) -> list[Change]:
    return [a.change for e in events for a in core.step(now, e) if isinstance(a, Apply)]


def test_items_become_rows_of_one_version_with_the_number_of_its_revision() -> None:
    rows = DeliveredNodeList(SERVICE)
    event = offered(
        rows.on_snapshot(5.0, 7, {"b": row(2, weight=3, zone="z"), "a": row(1, state="draining")})
    )
    assert (event.version.source, event.version.number, event.version.made_ms) == (SERVICE, 7, 5.0)
    first, second = event.version.nodes
    assert (first.uid, first.state) == ("s1", NodeState.DRAINING)
    assert (second.uid, second.port, second.weight, second.zone) == ("s2", 9002, 3.0, "z")


def test_a_row_without_a_uid_has_its_items_name() -> None:
    rows = DeliveredNodeList(SERVICE)
    assert uids(rows.on_snapshot(0.0, 1, {"a": b'{"address": "10.0.0.1:1"}', "b": row(1)})) == ["a", "s1"]
    found = rows.on_delta(
        1.0, 2, {"s1": b'{"address": "10.0.0.1:2"}', "n" * 129: b'{"address": "[::1]:1"}'}, ()
    )
    long, twice = faults(found)
    assert "expected a name of 1 to 128 printable" in long and "item['s1'].uid: found 's1'" in twice


def test_one_changed_row_is_read_alone_and_is_all_of_the_change(monkeypatch: pytest.MonkeyPatch) -> None:
    read: list[Any] = []

    def counted(given: Any) -> Any:
        read.extend(given)
        return check_rows(given)

    monkeypatch.setattr(delivered, "check_rows", counted)
    rows, core = DeliveredNodeList(SERVICE), membership()
    (first,) = applied(core, 0.0, rows.on_snapshot(0.0, 1, {f"i{n}": row(n) for n in range(500)}))
    assert len(first.added) == len(read) == 500
    read.clear()
    (change,) = applied(core, 1.0, rows.on_delta(1.0, 2, {"i7": row(7, state="draining")}, ()))
    assert [r["uid"] for r in read] == ["s7"]
    assert [node.uid for node in change.drained] == ["s7"]
    assert not (change.removed or change.changed or change.added)
    read.clear()
    (change,) = applied(core, 2.0, rows.on_delta(2.0, 3, {}, ("i9",)))
    assert not read and [node.uid for node in change.removed] == ["s9"]


@pytest.mark.parametrize(
    ("value", "words"),
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
def test_a_bad_row_rejects_its_version_and_those_after_it_until_it_is_mended(
    value: bytes, words: str
) -> None:
    rows, core = DeliveredNodeList(SERVICE), membership()
    applied(core, 0.0, rows.on_snapshot(0.0, 1, {"i1": row(1), "i2": row(2)}))
    found = rows.on_delta(1.0, 2, {"bad": value, "i2": row(2, state="draining")}, ())
    assert any(words in fault for fault in faults(found)), faults(found)
    (rejected,) = (a for event in found for a in core.step(1.0, event))
    assert isinstance(rejected, Rejected) and rejected.faults
    assert [node.state for node in core.nodes.values()] == [NodeState.ACTIVE] * 2  # its drain neither
    assert faults(rows.on_delta(2.0, 3, {"i3": row(3)}, ()))
    # Mended, the next version has all that came meanwhile.
    (change,) = applied(core, 3.0, rows.on_delta(3.0, 4, {"bad": row(4)}, ()))
    assert [node.uid for node in change.drained] == ["s2"]
    assert sorted(node.uid for node in change.added) == ["s3", "s4"]
    # Taken away instead of mended does as well.
    assert faults(rows.on_delta(4.0, 5, {"bad": value}, ()))
    assert uids(rows.on_delta(5.0, 6, {}, ("bad",))) == ["s1", "s2", "s3"]


def test_rows_that_swap_places_in_one_change_are_no_clash() -> None:
    rows = DeliveredNodeList(SERVICE)
    rows.on_snapshot(0.0, 1, {"a": row(1), "b": row(2)})
    assert uids(rows.on_delta(1.0, 2, {"a": row(2), "b": row(1)}, ())) == ["s2", "s1"]
    assert uids(rows.on_delta(2.0, 3, {"c": row(1)}, ("b",))) == ["s2", "s1"]


def test_faults_told_are_bounded_and_counted() -> None:
    found = faults(DeliveredNodeList(SERVICE).on_snapshot(0.0, 1, {f"i{n:03}": b"{" for n in range(80)}))
    assert len(found) == 51 and found[-1] == "item: found 30 more faults, expected none"


def test_guards_hold_as_for_any_other_source() -> None:
    rows, core = DeliveredNodeList(SERVICE), membership(hold_s=30.0)
    applied(core, 0.0, rows.on_snapshot(0.0, 5, {f"i{n}": row(n) for n in range(4)}))
    # Too much at once is held; nothing at all is refused; an object that is gone takes nothing away.
    (event,) = rows.on_delta(1.0, 6, {}, ("i0", "i1", "i2"))
    assert any(isinstance(action, VersionHeld) for action in core.step(1.0, event))
    (event,) = rows.on_delta(2.0, 7, {}, ("i3",))
    assert any(isinstance(action, Rejected) for action in core.step(2.0, event))
    (event,) = rows.on_object_absent()
    assert isinstance(event, SourceFailed)
    core.step(3.0, event)
    assert len(core.nodes) == 4 and core.sources[SERVICE].failure == delivered.NO_OBJECT_REASON
    # Back again, it begins from nothing: what was bad or there before counts no more.
    assert uids(rows.on_delta(4.0, 8, {"i2": row(2), "i3": row(3)}, ())) == ["s2", "s3"]


def test_what_was_kept_is_confirmed_by_the_same_revision_in_whatever_order_it_comes() -> None:
    items = {f"i{n}": row(n) for n in range(5)}
    version = offered(DeliveredNodeList(SERVICE).on_snapshot(0.0, 9, items)).version
    kept = read_document(write_document(version))
    core, rows = membership(), DeliveredNodeList(SERVICE)
    core.step(0.0, VersionRestored(kept))
    assert core.sources[SERVICE].unconfirmed
    again = rows.on_snapshot(1.0, 9, dict(reversed(items.items())))
    assert [type(action) for event in again for action in core.step(1.0, event)] == []
    assert not core.sources[SERVICE].unconfirmed
    # A relay, or an origin begun anew, that is behind what was kept is not followed back.
    (event,) = DeliveredNodeList(SERVICE).on_snapshot(2.0, 8, {"i0": row(0)})
    (rejected,) = core.step(2.0, event)
    assert isinstance(rejected, Rejected) and "a number above 9" in str(rejected.faults[0])


@given(st.integers(0, 2**32), st.integers(1, 30))
def test_changes_in_any_order_end_where_a_snapshot_of_the_same_items_does(seed: int, steps: int) -> None:
    random, items, rows = Random(seed), dict[str, bytes](), DeliveredNodeList(SERVICE)
    rows.on_snapshot(0.0, 1, {})
    for number in range(2, steps + 2):
        put = {
            f"i{n}": random.choice((row(n), row(n, weight=2), row(n + 1), b"{", b"3"))
            for n in random.sample(range(6), random.randint(0, 3))
        }
        removed = [n for n in random.sample(sorted(items), random.randint(0, len(items))) if n not in put]
        items = {n: v for n, v in items.items() if n not in removed} | put
        events = rows.on_delta(float(number), number, put, removed)
        (whole,) = DeliveredNodeList(SERVICE).on_snapshot(float(number), number, items)
        (event,) = events
        if isinstance(whole, InvalidVersionOffered):
            # Of two items that clash the one that came second is named: which, depends on the way here.
            assert isinstance(event, InvalidVersionOffered) and len(event.faults) == len(whole.faults)
        else:
            assert event == whole
