"""Who is believed: lives that answered, each number once, and a moment no later than a sending."""

from __future__ import annotations

from contextlib import suppress
from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from flintlatch.lab.members import MemberSimulation
from flintlatch.peers import Envelope, Kind, Member, Message, Opened, Post, Record, Rules, State, Tick
from flintlatch.peers.guard import ASKED_MOST, LIVES_MOST, WINDOW, Guard, Trust
from flintlatch.peers.seal import BadKeys, Foreign, Seal, StreamSeal, read_keys
from flintlatch.peers.wire import Unreadable, pack, pack_whole, unpack, unpack_whole
from flintlatch.peers.words import DRIFT, Word

ONE, OTHER = bytes(range(32)), bytes(32)


def test_a_life_counts_once_it_has_answered_us_and_each_of_its_numbers_once() -> None:
    guard = Guard()
    assert guard.hear(5, 1, 0.0, None)[0] is Trust.UNKNOWN
    assert guard.hear(5, 2, 0.0, 77)[0] is Trust.UNKNOWN  # an answer to nothing that we asked
    guard.ask(77, 10.0)
    assert guard.hear(5, 3, 0.0, 77)[0] is Trust.PROVEN
    assert guard.hear(5, 3, 0.0, 77)[0] is Trust.REPLAY
    assert guard.hear(5, 2000, 0.0, None)[0] is Trust.PROVEN
    assert guard.hear(5, 2000 - WINDOW, 0.0, None)[0] is Trust.REPLAY
    assert guard.hear(5, 2000 - WINDOW + 1, 0.0, None)[0] is Trust.PROVEN
    assert guard.hear(6, 1, 0.0, 78)[0] is Trust.UNKNOWN


@given(st.lists(st.integers(0, 3000), max_size=60))
@settings(max_examples=200, deadline=None)
def test_no_number_is_taken_twice(numbers: list[int]) -> None:
    guard = Guard()
    guard.ask(1, 0.0)
    guard.hear(9, 0, 0.0, 1)
    taken = [n for n in numbers if guard.hear(9, n, 0.0, None)[0] is Trust.PROVEN]
    assert len(taken) == len(set(taken)) and 0 not in taken


@given(st.integers(0, 10_000), st.lists(st.tuples(st.floats(0, 50), st.floats(0, 20)), max_size=20))
@settings(max_examples=200, deadline=None)
def test_a_sending_is_never_held_to_be_later_than_it_was(seed: int, steps: list[tuple[float, float]]) -> None:
    """Two clocks at rates of their own; some datagrams answer us, all take any time on their way."""
    rng, guard, true = Random(seed), Guard(), 100.0
    ours, theirs = (1 + rng.uniform(-DRIFT, DRIFT) for _ in range(2))
    for number, (wait, way) in enumerate(steps, 1):
        asked = true
        guard.ask(number, ours * asked)
        true += wait
        answer = number if rng.random() < 0.5 or number == 1 else None
        sent_at = true
        _, sent = guard.hear(1, number, theirs * true + 555.0, answer)
        assert sent <= ours * sent_at + 1e-6
        true += way


def test_what_strangers_can_make_grow_is_bounded() -> None:
    guard = Guard()
    for number in range(3 * ASKED_MOST):
        guard.ask(number, 0.0)
    for life in range(LIVES_MOST + 100):
        guard.met(life, 1, 0.0, 0.0)
    assert len(guard.asked) == ASKED_MOST and len(guard.lives) == LIVES_MOST


def member(name: str = "me", seeds: tuple[str, ...] = ()) -> Member:
    return Member(Record(name, f"{name}:1", 0, State.ALIVE, 1), seeds, Rules(), (), Random(1), 0.0)


def test_a_stranger_is_answered_and_asked_back_and_steers_nothing() -> None:
    core = member()
    liar = Record("x", "x:1", 5, State.DEAD, 9)
    said = Envelope(
        "s", "s:1", 7, 1, 3.0, 0, Message(Kind.PING, 8, "me", (liar,)), (Word("t", "s", "", 1, b"v", 9.0),)
    )
    posts = [a for a in core.step(1.0, Opened(said)) if isinstance(a, Post)]
    assert [p.envelope.message.kind for p in posts] == [Kind.ACK, Kind.PING]
    assert "x" not in core.peers.view and not core.carrier.held
    again = core.step(1.1, Opened(said._replace(number=2)))
    assert len(again) == 1  # asked back once a second at most
    for n in range(5000):
        core.step(1.2, Opened(said._replace(number=n, address=f"s:{n}", life=n)))
    assert len(core.strangers) <= 256 and not core.contacts


def test_a_whole_fleet_is_proven_to_each_other_and_measures_its_ways() -> None:
    members = MemberSimulation(3)
    names = members.start_fleet(5)
    members.run_until(lambda: members.converged(names), 30)
    members.run(20)
    for name in names:
        one = members.member(name)
        assert len(one.guard.lives) == 4 and one.guard.replays == 0
        assert all(0.001 < one.contacts[other].rtt < 0.007 for other in names if other != name)
        assert {c.digest for c in one.contacts.values()} == {one.digest()}


def test_datagrams_are_sealed_whole_and_by_any_of_two_keys() -> None:
    mine, theirs, stranger = Seal((ONE,), 3), Seal((OTHER, ONE), 4), Seal((OTHER,), 5)
    data = mine.close(9, b"plain")
    assert theirs.open(data) == (3, 9, b"plain")
    for place in range(len(data)):
        with pytest.raises(Foreign):
            theirs.open(data[:place] + bytes([data[place] ^ 1]) + data[place + 1 :])
    for wrong in (data[:20], b"", data + b"x"):
        with pytest.raises(Foreign):
            theirs.open(wrong)
    with pytest.raises(Foreign):
        stranger.open(data)


def test_frames_of_a_stream_come_once_in_order_and_one_way() -> None:
    asks, asked = StreamSeal(ONE, b"a" * 16, b"b" * 16, True), StreamSeal(ONE, b"a" * 16, b"b" * 16, False)
    first, second = asks.close(b"1"), asks.close(b"2")
    assert asked.open(first) == b"1" and asked.open(second) == b"2"
    for wrong in (first, asked.close(b"3")):
        with pytest.raises(Foreign):
            asked.open(wrong)
    other = StreamSeal(ONE, b"a" * 16, b"c" * 16, False)
    with pytest.raises(Foreign):
        other.open(first)  # a replay in another stream


@pytest.mark.parametrize(
    ("text", "words"),
    [("", "0 keys"), ("ab", "line 1"), ("#\n" + "zz" * 32, "line 2"), ("\n".join([ONE.hex()] * 3), "3 keys")],
)
def test_a_key_file_that_is_none_is_refused_without_showing_it(text: str, words: str) -> None:
    with pytest.raises(BadKeys, match=words) as caught:
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
    word = Word("t", "o", "s", 3, b"v", 1.5)
    sent = Envelope("a", "a:1", 3, 4, 5.5, 6, Message(Kind.ACK, 7, "b", tuple(gossip)), (word,))
    data = pack(sent)
    assert unpack(data, 3, 4) == sent
    assert len(data) <= 200 + sum(r.cost() for r in gossip) + word.cost()
    for broken in (noise, data[: len(noise)], noise + data):
        for read in (lambda b: unpack(b, 1, 1), unpack_whole):
            with suppress(Unreadable):
                read(broken)


def test_fields_kinds_and_states_of_a_newer_version_are_left() -> None:
    import msgspec

    row = msgspec.msgpack.decode(pack(Envelope("a", "a:1", 3, 4, 5.5, 6, Message(Kind.PING, 7, "b"))))
    record = ["n", "n:1", 0, 0, 1, 2, "z", "r", "", "newer"]
    row[4], row[7] = 99, [record, [*record[:3], 17, *record[4:]]]
    read = unpack(msgspec.msgpack.encode([*row, {"newer": 1}]), 3, 4)
    assert read.message.kind is Kind.NEWS
    assert [(r.name, r.instances) for r in read.message.gossip] == [("n", 2)]
    whole = msgspec.msgpack.decode(pack_whole(member().offer(1.0)))
    assert unpack_whole(msgspec.msgpack.encode([*whole, 5])).sender == "me"


def test_no_datagram_is_longer_than_a_link_s_whatever_it_has_to_tell() -> None:
    core = member("m" * 62)
    for n in range(200):
        name = f"{n:064}"
        core.peers.put(
            0.0, Record(name, "a" * 64, 1, State.SUSPECT, 2**48, 9999, "z" * 32, "r" * 32, "x" * 64)
        )
    sizes = [
        len(pack(a.envelope)) + 37
        for t in range(300)
        for a in core.step(t / 10, Tick())
        if isinstance(a, Post)
    ]
    assert sizes and max(sizes) <= 1400
