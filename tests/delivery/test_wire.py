"""The wire format: messages survive a round trip, invalid bytes are refused, and `wire_size` is a bound."""

from __future__ import annotations

from random import Random

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from flintlatch.delivery import wire
from flintlatch.delivery.model import (
    MAX_ITEM_BYTES,
    MAX_ITEM_NAME_BYTES,
    MAX_NAME_BYTES,
    REVISION_LIMIT,
    Applied,
    Begin,
    Credit,
    End,
    FromRelay,
    FromSubscriber,
    Hello,
    Kind,
    NamesRejected,
    ObjectChange,
    ObjectPart,
    Ping,
    Pong,
    Refused,
    Rejected,
    Rules,
    Subscribe,
    Unsubscribe,
    Welcome,
    wire_size,
)
from flintlatch.delivery.store import StoredObject
from flintlatch.delivery.stream import LENGTH
from flintlatch.delivery.wire import MAX_FRAME_BYTES, MessageError, encode, from_relay, from_subscriber
from flintlatch.peers.seal import StreamSeal

KEY = bytes(range(32))


def text(max_bytes: int) -> st.SearchStrategy[str]:
    """Strings of at most `max_bytes` bytes in UTF-8."""
    return st.text(max_size=max_bytes).map(
        lambda s: s.encode("utf-8", "ignore")[:max_bytes].decode("utf-8", "ignore")
    )


name = text(MAX_NAME_BYTES)
names = st.lists(name, max_size=20).map(tuple)
number = st.integers(0, REVISION_LIMIT)
small = st.integers(0, 1 << 32)
items = st.dictionaries(text(MAX_ITEM_NAME_BYTES), st.binary(max_size=300), max_size=30)
part = st.builds(
    ObjectPart,
    name,
    st.sampled_from(list(Kind)).map(int),
    number,
    items,
    names,
    small,
    st.integers(0, (1 << 64) - 1),
    st.booleans(),
)
from_relays = st.one_of(
    st.builds(Welcome, name, number, number),
    st.builds(Rejected, st.integers(0, 9), number),
    st.builds(Begin, number, number, st.booleans()),
    part,
    st.builds(End, number, small),
    st.builds(Pong, number, number, number, st.booleans()),
    st.builds(NamesRejected, names),
)
from_subscribers = st.one_of(
    st.builds(Hello, name, st.integers(0, 1), text(32), text(32), number, st.booleans()),
    st.builds(Subscribe, names, names),
    st.builds(Unsubscribe, names),
    st.builds(Credit, small),
    st.builds(Ping, number),
    st.builds(Applied, number),
    st.builds(Refused, number, number, names),
)


def frame(plain: bytes) -> bytes:
    """The bytes that are written to a socket."""
    sealed = StreamSeal(KEY, bytes(16), bytes(16), True).encrypt(plain)
    return LENGTH.pack(len(sealed)) + sealed


@settings(max_examples=300, deadline=None)
@given(from_relays)
def test_messages_of_a_relay_survive_a_round_trip(message: FromRelay) -> None:
    assert from_relay(encode(message)) == message


@settings(max_examples=300, deadline=None)
@given(from_subscribers)
def test_messages_of_a_subscriber_survive_a_round_trip(message: FromSubscriber) -> None:
    assert from_subscriber(encode(message)) == message


@settings(max_examples=500, deadline=None)
@given(st.one_of(from_relays, from_subscribers))
def test_wire_size_is_an_upper_bound_for_each_frame(
    message: FromRelay | FromSubscriber,
) -> None:
    assert len(frame(encode(message))) <= wire_size(message)


def test_the_largest_messages_fit_wire_size_and_a_frame() -> None:
    longest_name, revision, checksum = "n" * MAX_NAME_BYTES, REVISION_LIMIT, (1 << 64) - 1
    item = {"i" * MAX_ITEM_NAME_BYTES: bytes(MAX_ITEM_BYTES)}
    full_part = {f"{n:0200d}": bytes(100) for n in range(Rules().part_bytes // 312)} | item
    longest_names = tuple(f"{n:0{MAX_NAME_BYTES}d}" for n in range(wire.MAX_NAMES_PER_MESSAGE))
    for message in (
        ObjectPart(longest_name, Kind.DELTA, revision, full_part, (), 1 << 32, checksum, True),
        Begin(revision, revision, True),
        End(revision, 1 << 32),
        NamesRejected(longest_names),
        Subscribe(longest_names, ()),
        Unsubscribe(longest_names),
    ):
        sealed = frame(encode(message))
        assert len(sealed) <= MAX_FRAME_BYTES
        assert len(sealed) <= wire_size(message)


@pytest.mark.parametrize("seed", range(5))
def test_the_parts_of_any_object_fit_a_frame_and_a_window(seed: int) -> None:
    """Including those of a delta that removes thousands of items."""
    rng, rules = Random(seed), Rules()
    character = rng.choice(["a", "ä", "\U0001f600"])
    width = MAX_ITEM_NAME_BYTES // len(character.encode()) - 6
    items_by_name = {
        f"{n:06d}" + character * rng.randint(0, width): rng.randbytes(rng.randint(0, 60)) for n in range(4000)
    }
    first = StoredObject(1, 1).with_change(ObjectChange("", items_by_name), 1)
    later = first.with_change(ObjectChange("", {"new": b"1"}, tuple(list(items_by_name)[:2000])), 2)
    for stored, since in ((first, None), (later, 1), (later, None)):
        for message in stored.to_parts("object", since, rules.part_bytes):
            assert len(frame(encode(message))) <= min(MAX_FRAME_BYTES, rules.window_bytes)
            assert wire_size(message) <= rules.window_bytes


def test_a_message_larger_than_a_frame_is_refused() -> None:
    with pytest.raises(MessageError, match="more than a frame holds"):
        encode(Refused(1, 2, tuple(f"{n:0200d}" for n in range(400))))


def test_fields_added_by_a_newer_version_are_ignored() -> None:
    assert from_subscriber(msgspec.msgpack.encode([5, 7, "new", {"more": 1}])) == Ping(7)
    assert from_relay(msgspec.msgpack.encode([20, 7, 3, None])) == End(7, 3)


@pytest.mark.parametrize(
    "data",
    [
        b"",
        b"\xc1",
        encode(Ping(1)) + b"\x00",
        encode(Ping(1))[:-1],
        msgspec.msgpack.encode([99, 1]),
        msgspec.msgpack.encode([5, "one"]),
        msgspec.msgpack.encode({"type": 5}),
        msgspec.msgpack.encode([2, ["a"], "b"]),
        b"\x92\x03\x91\xa1\xff",  # a name that is not valid UTF-8
    ],
)
def test_invalid_bytes_are_refused_with_a_short_error(data: bytes) -> None:
    for decode in (from_subscriber, from_relay):
        with pytest.raises(MessageError) as caught:
            decode(data)
        assert "\n" not in str(caught.value) and len(str(caught.value)) < 150


def test_each_side_accepts_only_the_messages_of_the_other() -> None:
    with pytest.raises(MessageError):
        from_subscriber(encode(Welcome("r", 1, 1)))
    with pytest.raises(MessageError):
        from_relay(encode(Ping(1)))


@settings(max_examples=500, deadline=None)
@given(st.binary(max_size=200))
def test_any_bytes_are_a_message_or_are_refused(data: bytes) -> None:
    for decode in (from_subscriber, from_relay):
        try:
            decode(data)
        except MessageError:
            continue
