"""Metadata, time-outs and statuses: what passes, what is refused, and that nothing is lost on the way."""

from __future__ import annotations

from base64 import b64encode

import pytest
from hypothesis import given
from hypothesis import strategies as st

from flintlatch.grpc import (
    Code,
    MetadataError,
    Status,
    content_type_ok,
    decode_message,
    encode_message,
    from_client,
    parse_timeout,
    read_status,
    timeout,
)


@given(st.text(max_size=200))
def test_a_message_survives_and_its_bytes_may_stand_in_a_field(text: str) -> None:
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
def test_a_message_that_is_no_percent_encoding_is_kept_as_it_is(value: bytes, text: str) -> None:
    assert decode_message(value) == text


@given(st.floats(0.0, 1e13))
def test_a_time_out_is_never_shortened_and_fits_its_eight_digits(ms: float) -> None:
    value = timeout(ms)
    assert len(value) <= 9
    if value != b"99999999H":
        assert ms <= parse_timeout(value) * (1 + 1e-9) and parse_timeout(value) <= ms + ms / 1e4 + 1e-6


@pytest.mark.parametrize("value", [b"", b"5", b"S", b"123456789S", b"-1S", b"1.5S", b"1 S", b"1s", b"1S "])
def test_what_is_no_time_out_is_refused(value: bytes) -> None:
    with pytest.raises(MetadataError, match="grpc-timeout: found .* expected up to 8 digits"):
        parse_timeout(value)


def test_units() -> None:
    assert [parse_timeout(v) for v in (b"2H", b"2M", b"2S", b"2m")] == [7_200_000, 120_000, 2000, 2]
    assert parse_timeout(b"2500u") == 2.5 and parse_timeout(b"500000n") == 0.5


@pytest.mark.parametrize(
    ("value", "good"),
    [
        (b"application/grpc", True),
        (b"application/grpc+proto", True),
        (b"application/grpc; charset=utf-8", True),
        (b"application/grpc-web", False),
        (b"application/json", False),
        (None, False),
    ],
)
def test_content_types(value: bytes | None, good: bool) -> None:
    assert content_type_ok(value) is good


def test_metadata_passes_in_its_order_and_what_is_this_hops_own_does_not() -> None:
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
    passed = from_client(fields, 8192)
    assert passed == [fields[3], fields[5], fields[6], fields[7]]


@pytest.mark.parametrize(
    ("field", "words"),
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
def test_malformed_metadata_is_named(field: tuple[bytes, bytes], words: str) -> None:
    with pytest.raises(MetadataError, match=words):
        from_client([(b"good", b"1"), field], 8192)


@given(st.lists(st.binary(max_size=30), max_size=4), st.booleans())
def test_binary_metadata_passes_with_and_without_padding(values: list[bytes], padded: bool) -> None:
    encoded = [b64encode(v) if padded else b64encode(v).rstrip(b"=") for v in values]
    fields = [(b"deck-bin", b",".join(encoded))]
    assert from_client(fields, 8192) == fields


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
def test_a_status_is_read_from_trailers(trailers: list[tuple[bytes, bytes]], status: Status | None) -> None:
    assert read_status(trailers) == status
