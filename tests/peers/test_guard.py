"""Who is believed: lives that answered, each number once, and a moment no later than a sending."""

from __future__ import annotations

from contextlib import suppress
from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from flintlatch.lab.members import Members
from flintlatch.peers import (
    DatagramReceived,
    Envelope,
    Kind,
    Member,
    Message,
    Record,
    Rules,
    SendDatagram,
    State,
    Tick,
)
from flintlatch.peers.guard import MAX_PROBE_TIMES, MAX_SENDERS, REPLAY_WINDOW, ReplayGuard, Trust
from flintlatch.peers.seal import AuthenticationFailed, InvalidKeyFile, Seal, StreamSeal, read_keys
from flintlatch.peers.wire import InvalidMessage, pack, pack_sync, unpack, unpack_sync
from flintlatch.peers.words import MAX_CLOCK_DRIFT, Entry

ONE, OTHER = bytes(range(32)), bytes(32)


def test_a_life_counts_once_it_has_answered_us_and_each_of_its_numbers_once() -> None:
    guard = ReplayGuard()
    assert guard.verify(5, 1, 0.0, None)[0] is Trust.UNVERIFIED
    assert guard.verify(5, 2, 0.0, 77)[0] is Trust.UNVERIFIED  # an answer to nothing that we asked
    guard.record_probe(77, 10.0)
    assert guard.verify(5, 3, 0.0, 77)[0] is Trust.VERIFIED
    assert guard.verify(5, 3, 0.0, 77)[0] is Trust.REPLAY
    assert guard.verify(5, 2000, 0.0, None)[0] is Trust.VERIFIED
    assert guard.verify(5, 2000 - REPLAY_WINDOW, 0.0, None)[0] is Trust.REPLAY
    assert guard.verify(5, 2000 - REPLAY_WINDOW + 1, 0.0, None)[0] is Trust.VERIFIED
    assert guard.verify(6, 1, 0.0, 78)[0] is Trust.UNVERIFIED


@given(st.lists(st.integers(0, 3000), max_size=60))
@settings(max_examples=200, deadline=None)
def test_no_number_is_taken_twice(numbers: list[int]) -> None:
    guard = ReplayGuard()
    guard.record_probe(1, 0.0)
    guard.verify(9, 0, 0.0, 1)
    taken = [n for n in numbers if guard.verify(9, n, 0.0, None)[0] is Trust.VERIFIED]
    assert len(taken) == len(set(taken)) and 0 not in taken


@given(st.integers(0, 10_000), st.lists(st.tuples(st.floats(0, 50), st.floats(0, 20)), max_size=20))
@settings(max_examples=200, deadline=None)
def test_a_sending_is_never_held_to_be_later_than_it_was(seed: int, steps: list[tuple[float, float]]) -> None:
    """Two clocks at rates of their own; some datagrams answer us, all take any time on their way."""
    rng, guard, true = Random(seed), ReplayGuard(), 100.0
    ours, theirs = (1 + rng.uniform(-MAX_CLOCK_DRIFT, MAX_CLOCK_DRIFT) for _ in range(2))
    for number, (wait, way) in enumerate(steps, 1):
        asked = true
        guard.record_probe(number, ours * asked)
        true += wait
        answer = number if rng.random() < 0.5 or number == 1 else None
        sent_at = true
        _, sent = guard.verify(1, number, theirs * true + 555.0, answer)
        assert sent <= ours * sent_at + 1e-6
        true += way


def test_what_strangers_can_make_grow_is_bounded() -> None:
    guard = ReplayGuard()
    for number in range(3 * MAX_PROBE_TIMES):
        guard.record_probe(number, 0.0)
    for run_id in range(MAX_SENDERS + 100):
        guard.mark_verified(run_id, 1, 0.0, 0.0)
    assert len(guard.probe_times) == MAX_PROBE_TIMES and len(guard.senders) == MAX_SENDERS


def member(name: str = "me", seeds: tuple[str, ...] = ()) -> Member:
    return Member(Record(name, f"{name}:1", 0, State.ALIVE, 1), seeds, Rules(), (), Random(1), 0.0)


def test_a_stranger_is_answered_and_asked_back_and_steers_nothing() -> None:
    core = member()
    liar = Record("x", "x:1", 5, State.DEAD, 9)
    said = Envelope(
        "s", "s:1", 7, 1, 3.0, 0, Message(Kind.PING, 8, "me", (liar,)), (Entry("t", "s", "", 1, b"v", 9.0),)
    )
    posts = [a for a in core.step(1.0, DatagramReceived(said)) if isinstance(a, SendDatagram)]
    assert [p.envelope.message.kind for p in posts] == [Kind.ACK, Kind.PING]
    assert "x" not in core.peers.view and not core.entry_store.entries
    again = core.step(1.1, DatagramReceived(said._replace(number=2)))
    assert len(again) == 1  # asked back once a second at most
    for n in range(5000):
        core.step(1.2, DatagramReceived(said._replace(number=n, address=f"s:{n}", run_id=n)))
    assert len(core.probe_back_at) <= 256 and not core.contacts


def test_a_whole_fleet_is_proven_to_each_other_and_measures_its_ways() -> None:
    members = Members(3)
    names = members.fleet(5)
    members.until(lambda: members.agreed(names), 30)
    members.run(20)
    for name in names:
        one = members.member(name)
        assert len(one.guard.senders) == 4 and one.guard.replays == 0
        assert all(0.001 < one.contacts[other].rtt < 0.007 for other in names if other != name)
        assert {c.digest for c in one.contacts.values()} == {one.digest()}


def test_datagrams_are_sealed_whole_and_by_any_of_two_keys() -> None:
    mine, theirs, stranger = Seal((ONE,), 3), Seal((OTHER, ONE), 4), Seal((OTHER,), 5)
    data = mine.encrypt(9, b"plain")
    assert theirs.decrypt(data) == (3, 9, b"plain")
    for place in range(len(data)):
        with pytest.raises(AuthenticationFailed):
            theirs.decrypt(data[:place] + bytes([data[place] ^ 1]) + data[place + 1 :])
    for wrong in (data[:20], b"", data + b"x"):
        with pytest.raises(AuthenticationFailed):
            theirs.decrypt(wrong)
    with pytest.raises(AuthenticationFailed):
        stranger.decrypt(data)


def test_frames_of_a_stream_come_once_in_order_and_one_way() -> None:
    asks, asked = StreamSeal(ONE, b"a" * 16, b"b" * 16, True), StreamSeal(ONE, b"a" * 16, b"b" * 16, False)
    first, second = asks.encrypt(b"1"), asks.encrypt(b"2")
    assert asked.decrypt(first) == b"1" and asked.decrypt(second) == b"2"
    for wrong in (first, asked.encrypt(b"3")):
        with pytest.raises(AuthenticationFailed):
            asked.decrypt(wrong)
    other = StreamSeal(ONE, b"a" * 16, b"c" * 16, False)
    with pytest.raises(AuthenticationFailed):
        other.decrypt(first)  # a replay in another stream


@pytest.mark.parametrize(
    ("text", "words"),
    [("", "0 keys"), ("ab", "line 1"), ("#\n" + "zz" * 32, "line 2"), ("\n".join([ONE.hex()] * 3), "3 keys")],
)
def test_a_key_file_that_is_none_is_refused_without_showing_it(text: str, words: str) -> None:
    with pytest.raises(InvalidKeyFile, match=words) as caught:
        read_keys(text, "f")
    assert "zz" not in str(caught.value)


records = st.builds(
    Record,
    st.text(max_size=64),
    st.text(max_size=64),
    st.integers(0, 2**31),
    st.sampled_from(list(State)),
    st.integers(0, 2**48),
    st.integers(0, 10_000),
    st.text(max_size=32),
    st.text(max_size=32),
    st.text(max_size=64),
)


@given(st.lists(records, max_size=4), st.binary(max_size=80))
@settings(max_examples=150, deadline=None)
def test_what_is_packed_comes_back_and_noise_is_only_unreadable(gossip: list[Record], noise: bytes) -> None:
    word = Entry("t", "o", "s", 3, b"v", 1.5)
    sent = Envelope("a", "a:1", 3, 4, 5.5, 6, Message(Kind.ACK, 7, "b", tuple(gossip)), (word,))
    data = pack(sent)
    assert unpack(data, 3, 4) == sent
    assert len(data) <= 200 + sum(r.encoded_bytes() for r in gossip) + word.encoded_bytes()
    for broken in (noise, data[: len(noise)], noise + data):
        for read in (lambda b: unpack(b, 1, 1), unpack_sync):
            with suppress(InvalidMessage):
                read(broken)


def test_fields_kinds_and_states_of_a_newer_version_are_left() -> None:
    import msgspec

    row = msgspec.msgpack.decode(pack(Envelope("a", "a:1", 3, 4, 5.5, 6, Message(Kind.PING, 7, "b"))))
    record = ["n", "n:1", 0, 0, 1, 2, "z", "r", "", "newer"]
    row[4], row[7] = 99, [record, [*record[:3], 17, *record[4:]]]
    read = unpack(msgspec.msgpack.encode([*row, {"newer": 1}]), 3, 4)
    assert read.message.kind is Kind.GOSSIP
    assert [(r.name, r.instances) for r in read.message.gossip] == [("n", 2)]
    whole = msgspec.msgpack.decode(pack_sync(member().offer(1.0)))
    assert unpack_sync(msgspec.msgpack.encode([*whole, 5])).sender == "me"


def test_no_datagram_is_longer_than_a_link_s_whatever_it_has_to_tell() -> None:
    core = member("m" * 62)
    for n in range(200):
        name = f"{n:064}"
        core.peers.set_record(
            0.0, Record(name, "a" * 64, 1, State.SUSPECT, 2**48, 9999, "z" * 32, "r" * 32, "x" * 64)
        )
    sizes = [
        len(pack(a.envelope)) + 37
        for t in range(300)
        for a in core.step(t / 10, Tick())
        if isinstance(a, SendDatagram)
    ]
    assert sizes and max(sizes) <= 1400
