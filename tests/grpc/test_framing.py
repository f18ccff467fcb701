"""Messages in their frames, however the bytes are cut."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from flintlatch.grpc import Frames, FramingError, TooLarge

Message = tuple[int, bytes]
messages = st.lists(st.tuples(st.integers(0, 1), st.binary(max_size=40)), max_size=8)


def wire(sent: list[Message]) -> bytes:
    return b"".join(bytes([flag]) + len(body).to_bytes(4, "big") + body for flag, body in sent)


def cut(data: bytes, places: list[int]) -> list[bytes]:
    edges = [0, *sorted(place % (len(data) + 1) for place in places), len(data)]
    return [data[a:b] for a, b in zip(edges, edges[1:], strict=False)]


@given(messages, st.lists(st.integers(0, 1000), max_size=12))
def test_any_cut_of_the_bytes_tells_the_same_messages(sent: list[Message], places: list[int]) -> None:
    frames = Frames(40)
    assert sum(frames.feed(part) for part in cut(wire(sent), places)) == len(sent)
    assert frames.between and frames.messages == len(sent)
    assert (frames.compressed, frames.offset) == (sum(flag for flag, _ in sent), len(wire(sent)))
    frames.end()


@given(messages.filter(bool), st.data())
def test_an_end_inside_a_message_is_told_at_every_place(sent: list[Message], data: st.DataObject) -> None:
    whole = wire(sent)
    ends = {len(wire(sent[:n])) for n in range(len(sent) + 1)}
    place = data.draw(st.integers(0, len(whole)))
    frames = Frames(40)
    frames.feed(whole[:place])
    assert frames.between is (place in ends)
    if place in ends:
        frames.end()
    else:
        with pytest.raises(FramingError, match=f"byte {place}: ended"):
            frames.end()


@given(messages, st.integers(2, 255), st.lists(st.integers(0, 1000), max_size=6))
def test_a_flag_that_nobody_defines_is_told_with_its_place(
    sent: list[Message], flag: int, places: list[int]
) -> None:
    frames, start = Frames(40), len(wire(sent))
    with pytest.raises(FramingError, match=f"byte {start}: flag {flag}"):
        for part in cut(wire(sent) + bytes([flag]) + b"\0\0\0\1x", places):
            frames.feed(part)


def test_a_message_over_the_limit_is_known_from_its_prefix_alone() -> None:
    frames = Frames(64 * 1024 * 1024)
    frames.feed(b"\0" + (64 * 1024 * 1024).to_bytes(4, "big"))
    assert not frames.between
    with pytest.raises(TooLarge, match="a message of 67108865 bytes, expected at most 67108864"):
        Frames(64 * 1024 * 1024).feed(b"\0" + (64 * 1024 * 1024 + 1).to_bytes(4, "big"))


def test_a_unary_direction_has_one_message_and_no_byte_of_another() -> None:
    frames = Frames(10, most_messages=1)
    assert frames.feed(wire([(0, b"abc")])) == 1
    with pytest.raises(FramingError, match="byte 8: another message, expected at most 1"):
        frames.feed(wire([(0, b"")]))


def test_one_byte_at_a_time_holds_no_more_than_a_prefix() -> None:
    frames = Frames(1 << 20)
    for byte in wire([(1, bytes(1 << 16))]):
        frames.feed(bytes([byte]))
        assert len(frames._prefix) < 5
    assert frames.messages == 1
