"""Messages as bytes: what comes out is what went in, what is none is refused, and sizes bound real frames."""

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


def text(most: int) -> st.SearchStrategy[str]:
    """Of at most so many bytes."""
    return st.text(max_size=most).map(lambda s: s.encode("utf-8", "ignore")[:most].decode("utf-8", "ignore"))


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
    """As it stands on a socket."""
    sealed = StreamSeal(KEY, bytes(16), bytes(16), True).close(plain)
    return LENGTH.pack(len(sealed)) + sealed


@settings(max_examples=300, deadline=None)
@given(from_relays)
def test_what_a_relay_says_comes_back_as_it_was(message: FromRelay) -> None:
    assert from_relay(encode(message)) == message


@settings(max_examples=300, deadline=None)
@given(from_subscribers)
def test_what_a_subscriber_says_comes_back_as_it_was(message: FromSubscriber) -> None:
    assert from_subscriber(encode(message)) == message


@settings(max_examples=500, deadline=None)
@given(st.one_of(from_relays, from_subscribers))
def test_no_frame_is_larger_than_the_size_that_credit_is_counted_by(
    message: FromRelay | FromSubscriber,
) -> None:
    assert len(frame(encode(message))) <= wire_size(message)


def test_the_largest_of_each_kind_fit_both_the_size_and_the_frame() -> None:
    big, revision, checksum = "n" * MAX_NAME_BYTES, REVISION_LIMIT, (1 << 64) - 1
    item = {"i" * MAX_ITEM_NAME_BYTES: bytes(MAX_ITEM_BYTES)}
    full = {f"{n:0200d}": bytes(100) for n in range(Rules().part_bytes // 312)} | item
    longest = tuple(f"{n:0{MAX_NAME_BYTES}d}" for n in range(wire.MAX_NAMES_PER_MESSAGE))
    for message in (
        ObjectPart(big, Kind.DELTA, revision, full, (), 1 << 32, checksum, True),
        Begin(revision, revision, True),
        End(revision, 1 << 32),
        NamesRejected(longest),
        Subscribe(longest, ()),
        Unsubscribe(longest),
    ):
        sealed = frame(encode(message))
        assert len(sealed) <= MAX_FRAME_BYTES
        assert len(sealed) <= wire_size(message)


@pytest.mark.parametrize("seed", range(5))
def test_parts_of_any_object_fit_a_frame_and_a_window(seed: int) -> None:
    """Also those of a delta that takes away thousands of items."""
    rng, rules = Random(seed), Rules()
    letters = rng.choice(["a", "ä", "\U0001f600"])
    width = MAX_ITEM_NAME_BYTES // len(letters.encode()) - 6
    made = {
        f"{n:06d}" + letters * rng.randint(0, width): rng.randbytes(rng.randint(0, 60)) for n in range(4000)
    }
    one = StoredObject(1, 1).with_change(ObjectChange("", made), 1)
    later = one.with_change(ObjectChange("", {"new": b"1"}, tuple(list(made)[:2000])), 2)
    for thing, since in ((one, None), (later, 1), (later, None)):
        for message in thing.to_parts("object", since, rules.part_bytes):
            assert len(frame(encode(message))) <= min(MAX_FRAME_BYTES, rules.window_bytes)
            assert wire_size(message) <= rules.window_bytes


def test_a_message_larger_than_a_frame_is_not_sent() -> None:
    with pytest.raises(MessageError, match="more than a frame holds"):
        encode(Refused(1, 2, tuple(f"{n:0200d}" for n in range(400))))


def test_fields_that_a_newer_version_adds_are_left() -> None:
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
        b"\x92\x03\x91\xa1\xff",  # a name that is no UTF-8
    ],
)
def test_what_is_no_message_is_unreadable_and_said_in_a_line(data: bytes) -> None:
    for decode in (from_subscriber, from_relay):
        with pytest.raises(MessageError) as caught:
            decode(data)
        assert "\n" not in str(caught.value) and len(str(caught.value)) < 150


def test_each_side_takes_only_what_the_other_says() -> None:
    with pytest.raises(MessageError):
        from_subscriber(encode(Welcome("r", 1, 1)))
    with pytest.raises(MessageError):
        from_relay(encode(Ping(1)))


@settings(max_examples=500, deadline=None)
@given(st.binary(max_size=200))
def test_any_bytes_are_a_message_or_unreadable(data: bytes) -> None:
    for decode in (from_subscriber, from_relay):
        try:
            decode(data)
        except MessageError:
            continue
