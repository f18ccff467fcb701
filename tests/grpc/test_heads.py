"""Parsing and formatting of metadata, timeouts and statuses."""

from __future__ import annotations

from base64 import b64encode

import pytest
from hypothesis import given
from hypothesis import strategies as st

from flintlatch.grpc import (
    Code,
    MetadataError,
    Status,
    decode_message,
    encode_message,
    format_timeout,
    forwarded_metadata,
    is_grpc_content_type,
    parse_timeout,
    read_status,
)


@given(st.text(max_size=200))
def test_message_is_encoded_as_printable_ascii_without_loss(text: str) -> None:
    text = text.encode("utf-8", "replace").decode()
    value = encode_message(text)
    assert decode_message(value) == text
    assert all(0x20 <= byte <= 0x7E for byte in value)


@pytest.mark.parametrize(
    ("value", "text"),
    [
        (b"\t\ntest with whitespace", "\t\ntest with whitespace"),
        (b"100%", "100%"),
        (b"%zz%4", "%zz%4"),
        (b"%E2%98%BA", "\u263a"),
        (b"%ff", "\ufffd"),
    ],
)
def test_invalid_percent_encoding_is_kept(value: bytes, text: str) -> None:
    assert decode_message(value) == text


@given(st.floats(0.0, 1e13))
def test_timeout_is_rounded_up_and_has_at_most_eight_digits(ms: float) -> None:
    value = format_timeout(ms)
    assert len(value) <= 9
    if value != b"99999999H":
        assert ms <= parse_timeout(value) * (1 + 1e-9) and parse_timeout(value) <= ms + ms / 1e4 + 1e-6


@pytest.mark.parametrize("value", [b"", b"5", b"S", b"123456789S", b"-1S", b"1.5S", b"1 S", b"1s", b"1S "])
def test_invalid_timeout_is_rejected(value: bytes) -> None:
    with pytest.raises(MetadataError, match="grpc-timeout: found .* expected up to 8 digits"):
        parse_timeout(value)


def test_timeout_units() -> None:
    assert [parse_timeout(v) for v in (b"2H", b"2M", b"2S", b"2m")] == [7_200_000, 120_000, 2000, 2]
    assert parse_timeout(b"2500u") == 2.5 and parse_timeout(b"500000n") == 0.5


@pytest.mark.parametrize(
    ("value", "accepted"),
    [
        (b"application/grpc", True),
        (b"application/grpc+proto", True),
        (b"application/grpc; charset=utf-8", True),
        (b"application/grpc-web", False),
        (b"application/json", False),
        (None, False),
    ],
)
def test_content_type(value: bytes | None, accepted: bool) -> None:
    assert is_grpc_content_type(value) is accepted


def test_metadata_is_passed_in_order_without_hop_fields() -> None:
    fields = [
        (b":path", b"/deck.Cards/Answer"),
        (b"te", b"trailers"),
        (b"grpc-timeout", b"1S"),
        (b"grpc-encoding", b"gzip"),
        (b"grpc-status", b"0"),
        (b"x-deck", b"1"),
        (b"x-deck", b"2"),
        (b"trace-bin", b64encode(b"\x00\xff").rstrip(b"=") + b"," + b64encode(b"ab")),
        (b"connection", b"close"),
    ]
    forwarded = forwarded_metadata(fields, 8192)
    assert forwarded == [fields[3], fields[5], fields[6], fields[7]]


@pytest.mark.parametrize(
    ("field", "message"),
    [
        ((b"X-Deck", b"1"), "found the name 'X-Deck'"),
        ((b"x deck", b"1"), "found the name"),
        ((b"", b"1"), "found the name ''"),
        ((b"x-deck", b"a\nb"), "x-deck: found bytes outside of printable ASCII"),
        ((b"x-bin", b"?!"), "x-bin: expected base64"),
        ((b"x-bin", b"QUJ"[:1]), "x-bin: expected base64"),
        ((b"x-deck", b"a" * 9000), "over 8192 bytes"),
    ],
)
def test_malformed_metadata_is_rejected(field: tuple[bytes, bytes], message: str) -> None:
    with pytest.raises(MetadataError, match=message):
        forwarded_metadata([(b"good", b"1"), field], 8192)


@given(st.lists(st.binary(max_size=30), max_size=4), st.booleans())
def test_binary_metadata_is_passed_with_and_without_padding(values: list[bytes], padded: bool) -> None:
    encoded = [b64encode(v) if padded else b64encode(v).rstrip(b"=") for v in values]
    fields = [(b"deck-bin", b",".join(encoded))]
    assert forwarded_metadata(fields, 8192) == fields


@pytest.mark.parametrize(
    ("trailers", "status"),
    [
        ([(b"grpc-status", b"0")], Status(Code.OK)),
        ([(b"grpc-status", b"5"), (b"grpc-message", b"no%20deck")], Status(Code.NOT_FOUND, "no deck")),
        ([(b"grpc-status", b"17")], Status(Code.UNKNOWN, "undefined status 17")),
        ([(b"grpc-status", b"01")], Status(Code.UNKNOWN, "undefined status 01")),
        ([(b"grpc-status", b"x"), (b"grpc-message", b"why")], Status(Code.UNKNOWN, "why")),
        ([(b"grpc-status", b"0"), (b"grpc-status", b"2")], None),
        ([(b"grpc-message", b"alone")], None),
        ([], None),
    ],
)
def test_status_is_read_from_trailers(trailers: list[tuple[bytes, bytes]], status: Status | None) -> None:
    assert read_status(trailers) == status
