"""Lists are read entry by entry, and incomplete ones for the drains that they name."""

from __future__ import annotations

import json
from typing import Any

import orjson
import pytest
from hypothesis import given
from hypothesis import strategies as st

from flintlatch.api import ServerState
from flintlatch.net.discovery import MAX_LIST
from flintlatch.net.listing import read_incomplete_listing, read_listing, restricted
from flintlatch.settings import Malformed, SocketSettings
from tests.loopback import listing, target

WIRE = SocketSettings({}, {}, {"a": 0}, {"m": 0}, 1000.0, 1000.0)
UNREADABLE_ENTRIES: list[Any] = [
    5,
    {},
    {"uid": 5},
    target("odd", "no-port"),
    target("odd", "host.name:80"),
    target("odd", "127.0.0.1:80", "resting"),
    target("odd", "127.0.0.1:80") | {"pod_group": "x"},
]


@pytest.mark.parametrize("odd", UNREADABLE_ENTRIES)
@pytest.mark.parametrize("position", [0, 1, 2])
def test_an_entry_that_cannot_be_read_takes_no_other_with_it(odd: Any, position: int) -> None:
    entries = [target("s0", "127.0.0.1:80", "leaving"), target("s1", "127.0.0.1:81")]
    entries.insert(position, odd)
    read = read_listing(listing(7, *entries), WIRE)
    assert [(t.uid, t.info.state) for t in read.targets] == [
        ("s0", ServerState.DRAINING),
        ("s1", ServerState.ACTIVE),
    ]
    named = isinstance(odd, dict) and isinstance(odd.get("uid"), str)
    assert read.unchanged == ({"odd"} if named else frozenset()) and len(read.faults) == 1


@pytest.mark.parametrize("lacking", ["endpoint", "az", "model", "pod_group", "capacity_hint", "boot_ms"])
@pytest.mark.parametrize("state", ["leaving", "left"])
def test_a_drain_needs_no_other_member(lacking: str, state: str) -> None:
    entry = {k: v for k, v in target("s0", "127.0.0.1:80", state).items() if k != lacking}
    (read,) = read_listing(listing(7, entry), WIRE).targets
    assert (read.uid, read.info.state.value) == ("s0", {"leaving": "draining", "left": "gone"}[state])


@pytest.mark.parametrize("raw", [[], {}, {"rev": 1, "all": True}, listing(1, {"uid": 5})])
def test_what_is_no_list_or_has_no_readable_entry_is_malformed(raw: Any) -> None:
    with pytest.raises(Malformed):
        read_listing(raw, WIRE)


def test_the_restricted_part_adds_no_server_and_removes_none_that_is_named() -> None:
    read = read_listing(listing(7, target("s0", "127.0.0.1:80", "left"), target("s1", "127.0.0.1:81")), WIRE)
    part = restricted(read)
    assert [t.uid for t in part.targets] == ["s0"] and part.unchanged == {"s1"} and part.is_snapshot


@given(
    st.lists(st.sampled_from(["active", "leaving", "left"]), min_size=1, max_size=5),
    st.booleans(),
    st.data(),
)
def test_every_drain_in_the_beginning_of_a_list_is_read(
    states: list[str], indented: bool, data: st.DataObject
) -> None:
    entries = [target(f"s{n}", f"127.0.0.1:{n + 1}", state) for n, state in enumerate(states)]
    body = orjson.dumps(listing(7, *entries), option=orjson.OPT_INDENT_2 if indented else None)
    cut = data.draw(st.integers(0, len(body)))
    read = read_incomplete_listing(body[:cut], 3)
    compact = body[:cut].replace(b" ", b"").replace(b"\n", b"")
    expected = [
        f"s{n}" for n, state in enumerate(states) if state != "active" and orjson.dumps(entries[n]) in compact
    ]
    assert [t.uid for t in read.targets] == expected if read is not None else not expected
    assert read is None or (read.revision == 3 and not read.is_snapshot)


def test_the_longest_indented_list_of_the_largest_fleet_fits_the_limit() -> None:
    entry = target("s-5be2a07c", "127.145.200.18:30000", "leaving", 1764807765123)
    entry |= {"az": "a-zone-with-a-long-name", "model": "standard", "capacity_hint": 0.8345678901234567}
    body = json.dumps(listing(7, *[entry] * 3200), indent=4)
    assert len(body) < 0.75 * MAX_LIST
