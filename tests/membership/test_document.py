"""Documents: a prefix, a mixture of two, or a document with a corrupted byte is rejected."""

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
DOCUMENT = write_document(Version("deploy", 42, NODES, 5.0))
OTHER_DOCUMENT = write_document(Version("deploy", 43, NODES[:2], 6.0))


def test_a_written_document_reads_as_the_same_version() -> None:
    assert read_document(DOCUMENT) == Version("deploy", 42, NODES, 5.0)


def test_every_prefix_is_rejected() -> None:
    for cut in range(len(DOCUMENT)):
        with pytest.raises(InvalidDocument):
            read_document(DOCUMENT[:cut])


def test_every_mixture_of_two_documents_is_rejected() -> None:
    """Two concurrent writers, or a write over a longer document without truncation, cause such mixtures."""
    for cut in range(1, min(len(DOCUMENT), len(OTHER_DOCUMENT))):
        for mixed in (DOCUMENT[:cut] + OTHER_DOCUMENT[cut:], OTHER_DOCUMENT[:cut] + DOCUMENT[cut:]):
            if mixed not in (DOCUMENT, OTHER_DOCUMENT):
                with pytest.raises(InvalidDocument):
                    read_document(mixed)


@given(st.integers(0, len(DOCUMENT) - 1), st.integers(1, 255))
def test_a_corrupted_byte_is_detected(index: int, flipped_bits: int) -> None:
    corrupted = bytearray(DOCUMENT)
    corrupted[index] ^= flipped_bits
    try:
        assert read_document(bytes(corrupted)) == Version("deploy", 42, NODES, 5.0)
    except InvalidDocument:
        return
    # A changed document may read as the same version only if the case of a letter differs.
    assert flipped_bits == 0x20 and corrupted[index : index + 1].isalpha()


@given(st.binary(max_size=300))
def test_random_bytes_are_rejected(data: bytes) -> None:
    with pytest.raises(InvalidDocument):
        read_document(data)


VALID_ROW = {"uid": "a", "address": "10.0.0.1:80"}


@pytest.mark.parametrize(
    ("rows", "expected_text"),
    [
        (
            [VALID_ROW, VALID_ROW | {"address": "10.0.0.2:80"}],
            "node[1].uid: found 'a', expected each uid once; node[0] has it",
        ),
        (
            [VALID_ROW, VALID_ROW | {"uid": "b"}],
            "node[1].address: found '10.0.0.1:80', expected each address once",
        ),
        ([VALID_ROW | {"address": "10.0.0.1:0"}], "node[0].address: found '10.0.0.1:0'"),
        ([VALID_ROW | {"address": "10.0.0.1:65536"}], "node[0].address"),
        ([VALID_ROW | {"address": "name:80"}], "node[0].address"),
        ([VALID_ROW | {"address": "::1:80"}], "node[0].address"),
        ([VALID_ROW | {"address": "10.0.0.1:٨٠"}], "node[0].address"),
        ([VALID_ROW | {"weight": float("nan")}], "node[0].weight: found nan"),
        ([VALID_ROW | {"weight": -1}], "node[0].weight: found -1"),
        ([VALID_ROW | {"weight": 1e308}], "node[0].weight: found 1e+308"),
        ([VALID_ROW | {"weight": True}], "node[0].weight: found True"),
        ([VALID_ROW | {"weight": "2"}], "node[0].weight: found '2'"),
        ([VALID_ROW | {"uid": "a\x00"}], "node[0].uid"),
        ([VALID_ROW | {"uid": ""}], "node[0].uid"),
        ([VALID_ROW | {"state": "gone"}], 'node[0].state: found \'gone\', expected "active" or "draining"'),
        ([VALID_ROW | {"colour": 1}], "node[0].colour: found 1, expected no such key"),
        ([{"uid": "a"}], "node[0].address: found nothing"),
        (["a"], "node[0]: found 'a', expected a table"),
    ],
)
def test_fault_of_a_row_names_the_value_found_and_the_one_expected(
    rows: list[object], expected_text: str
) -> None:
    _, faults = check_rows(rows)
    assert any(expected_text in str(fault) for fault in faults), faults


def test_all_faults_are_reported_together_up_to_a_limit() -> None:
    _, faults = check_rows([{"uid": "a", "address": "x", "weight": -1}, {"uid": 3, "address": "y"}])
    assert [fault.where for fault in faults] == [
        "node[0].address", "node[0].weight", "node[1].address", "node[1].uid",
    ]  # fmt: skip
    _, faults = check_rows([{}] * 1000)
    assert len(faults) == 51 and faults[-1].found == "1950 more faults"


def test_rows_beyond_the_limit_are_one_fault() -> None:
    _, faults = check_rows(
        {"uid": str(n), "address": f"10.0.{n % 250}.1:{n // 250 + 1}"} for n in range(1_000_000)
    )
    assert [fault.expected for fault in faults] == [f"at most {MAX_NODES} nodes"]
