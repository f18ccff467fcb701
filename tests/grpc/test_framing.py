"""Parsing of message frames from bytes that are split at any position."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from flintlatch.grpc import FramingError, MessageFramer, MessageTooLarge

Message = tuple[int, bytes]
messages = st.lists(st.tuples(st.integers(0, 1), st.binary(max_size=40)), max_size=8)


def wire(sent: list[Message]) -> bytes:
    return b"".join(bytes([flag]) + len(body).to_bytes(4, "big") + body for flag, body in sent)


def split_at(data: bytes, positions: list[int]) -> list[bytes]:
    edges = [0, *sorted(position % (len(data) + 1) for position in positions), len(data)]
    return [data[a:b] for a, b in zip(edges, edges[1:], strict=False)]


@given(messages, st.lists(st.integers(0, 1000), max_size=12))
def test_messages_are_found_however_the_bytes_are_split(sent: list[Message], positions: list[int]) -> None:
    framer = MessageFramer(40)
    assert sum(framer.feed(part) for part in split_at(wire(sent), positions)) == len(sent)
    assert framer.at_boundary and framer.messages == len(sent)
    assert (framer.compressed_messages, framer.offset) == (sum(flag for flag, _ in sent), len(wire(sent)))
    framer.end()


@given(messages.filter(bool), st.data())
def test_end_of_stream_inside_a_message_is_an_error(sent: list[Message], data: st.DataObject) -> None:
    stream = wire(sent)
    ends = {len(wire(sent[:n])) for n in range(len(sent) + 1)}
    position = data.draw(st.integers(0, len(stream)))
    framer = MessageFramer(40)
    framer.feed(stream[:position])
    assert framer.at_boundary is (position in ends)
    if position in ends:
        framer.end()
    else:
        with pytest.raises(FramingError, match=f"byte {position}: ended"):
            framer.end()


@given(messages, st.integers(2, 255), st.lists(st.integers(0, 1000), max_size=6))
def test_undefined_flag_is_an_error_with_its_position(
    sent: list[Message], flag: int, positions: list[int]
) -> None:
    framer, start = MessageFramer(40), len(wire(sent))
    with pytest.raises(FramingError, match=f"byte {start}: flag {flag}"):
        for part in split_at(wire(sent) + bytes([flag]) + b"\0\0\0\1x", positions):
            framer.feed(part)


def test_too_large_message_is_rejected_by_its_prefix() -> None:
    framer = MessageFramer(64 * 1024 * 1024)
    framer.feed(b"\0" + (64 * 1024 * 1024).to_bytes(4, "big"))
    assert not framer.at_boundary
    with pytest.raises(MessageTooLarge, match="a message of 67108865 bytes, expected at most 67108864"):
        MessageFramer(64 * 1024 * 1024).feed(b"\0" + (64 * 1024 * 1024 + 1).to_bytes(4, "big"))


def test_unary_direction_has_one_message() -> None:
    framer = MessageFramer(10, max_messages=1)
    assert framer.feed(wire([(0, b"abc")])) == 1
    with pytest.raises(FramingError, match="byte 8: another message, expected at most 1"):
        framer.feed(wire([(0, b"")]))


def test_no_more_than_a_prefix_is_buffered() -> None:
    framer = MessageFramer(1 << 20)
    for byte in wire([(1, bytes(1 << 16))]):
        framer.feed(bytes([byte]))
        assert len(framer._prefix) < 5
    assert framer.messages == 1
