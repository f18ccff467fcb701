"""A document is whole or unreadable: no prefix, mixture or spoilt byte of one is ever taken for another."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from flintlatch.membership import (
    MAX_NODES,
    InvalidDocument,
    Node,
    NodeState,
    Version,
    check_rows,
    read_document,
    write_document,
)

NODES = (
    Node("a", "10.0.0.1", 80, weight=2.5, zone="z1"),
    Node("b", "::1", 81, pool="export", state=NodeState.DRAINING, started_ms=1e12),
    Node("ü", "10.0.0.1", 82, cell=7),
)
WHOLE = write_document(Version("deploy", 42, NODES, 5.0))
OTHER = write_document(Version("deploy", 43, NODES[:2], 6.0))


def test_it_comes_back_as_it_was() -> None:
    assert read_document(WHOLE) == Version("deploy", 42, NODES, 5.0)


def test_no_prefix_is_whole() -> None:
    for cut in range(len(WHOLE)):
        with pytest.raises(InvalidDocument):
            read_document(WHOLE[:cut])


def test_no_mixture_of_two_is_whole() -> None:
    """Two writers at once, or one that writes over a longer one without truncating it."""
    for cut in range(1, min(len(WHOLE), len(OTHER))):
        for mixed in (WHOLE[:cut] + OTHER[cut:], OTHER[:cut] + WHOLE[cut:]):
            if mixed not in (WHOLE, OTHER):
                with pytest.raises(InvalidDocument):
                    read_document(mixed)


@given(st.integers(0, len(WHOLE) - 1), st.integers(1, 255))
def test_every_spoilt_byte_is_found(place: int, flip: int) -> None:
    spoilt = bytearray(WHOLE)
    spoilt[place] ^= flip
    try:
        assert read_document(bytes(spoilt)) == Version("deploy", 42, NODES, 5.0)
    except InvalidDocument:
        return
    assert (
        flip == 0x20 and spoilt[place : place + 1].isalpha()
    )  # a hex digit's case can't be, JSON's words can't


@given(st.binary(max_size=300))
def test_noise_is_unreadable(data: bytes) -> None:
    with pytest.raises(InvalidDocument):
        read_document(data)


GOOD = {"uid": "a", "address": "10.0.0.1:80"}


@pytest.mark.parametrize(
    ("rows", "words"),
    [
        (
            [GOOD, GOOD | {"address": "10.0.0.2:80"}],
            "node[1].uid: found 'a', expected each uid once; node[0] has it",
        ),
        ([GOOD, GOOD | {"uid": "b"}], "node[1].address: found '10.0.0.1:80', expected each address once"),
        ([GOOD | {"address": "10.0.0.1:0"}], "node[0].address: found '10.0.0.1:0'"),
        ([GOOD | {"address": "10.0.0.1:65536"}], "node[0].address"),
        ([GOOD | {"address": "name:80"}], "node[0].address"),
        ([GOOD | {"address": "::1:80"}], "node[0].address"),
        ([GOOD | {"address": "10.0.0.1:٨٠"}], "node[0].address"),
        ([GOOD | {"weight": float("nan")}], "node[0].weight: found nan"),
        ([GOOD | {"weight": -1}], "node[0].weight: found -1"),
        ([GOOD | {"weight": 1e308}], "node[0].weight: found 1e+308"),
        ([GOOD | {"weight": True}], "node[0].weight: found True"),
        ([GOOD | {"weight": "2"}], "node[0].weight: found '2'"),
        ([GOOD | {"uid": "a\x00"}], "node[0].uid"),
        ([GOOD | {"uid": ""}], "node[0].uid"),
        ([GOOD | {"state": "gone"}], 'node[0].state: found \'gone\', expected "active" or "draining"'),
        ([GOOD | {"colour": 1}], "node[0].colour: found 1, expected no such key"),
        ([{"uid": "a"}], "node[0].address: found nothing"),
        (["a"], "node[0]: found 'a', expected a table"),
    ],
)
def test_a_row_at_fault_is_named_with_find_and_expectation(rows: list[object], words: str) -> None:
    _, faults = check_rows(rows)
    assert any(words in str(fault) for fault in faults), faults


def test_all_faults_are_told_at_once_within_a_bound() -> None:
    _, faults = check_rows([{"uid": "a", "address": "x", "weight": -1}, {"uid": 3, "address": "y"}])
    assert [fault.where for fault in faults] == [
        "node[0].address", "node[0].weight", "node[1].address", "node[1].uid",
    ]  # fmt: skip
    _, faults = check_rows([{}] * 1000)
    assert len(faults) == 51 and faults[-1].found == "1950 more faults"


def test_a_million_rows_end_at_the_bound() -> None:
    _, faults = check_rows(
        {"uid": str(n), "address": f"10.0.{n % 250}.1:{n // 250 + 1}"} for n in range(1_000_000)
    )
    assert [fault.expected for fault in faults] == [f"at most {MAX_NODES} nodes"]
