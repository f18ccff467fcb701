"""Replay protection, sealing and encoding: which senders are trusted, and the bound on sending times."""

from __future__ import annotations

from contextlib import suppress
from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from flintlatch.lab.members import MemberSimulation
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

KEY, OTHER_KEY = bytes(range(32)), bytes(32)


def test_a_run_is_trusted_once_it_has_responded_and_each_of_its_numbers_is_accepted_once() -> None:
    guard = ReplayGuard()
    assert guard.verify(5, 1, 0.0, None)[0] is Trust.UNVERIFIED
    assert guard.verify(5, 2, 0.0, 77)[0] is Trust.UNVERIFIED  # a response to a probe that was never sent
    guard.record_probe(77, 10.0)
    assert guard.verify(5, 3, 0.0, 77)[0] is Trust.VERIFIED
    assert guard.verify(5, 3, 0.0, 77)[0] is Trust.REPLAY
    assert guard.verify(5, 2000, 0.0, None)[0] is Trust.VERIFIED
    assert guard.verify(5, 2000 - REPLAY_WINDOW, 0.0, None)[0] is Trust.REPLAY
    assert guard.verify(5, 2000 - REPLAY_WINDOW + 1, 0.0, None)[0] is Trust.VERIFIED
    assert guard.verify(6, 1, 0.0, 78)[0] is Trust.UNVERIFIED


@given(st.lists(st.integers(0, 3000), max_size=60))
@settings(max_examples=200, deadline=None)
def test_no_number_is_accepted_twice(numbers: list[int]) -> None:
    guard = ReplayGuard()
    guard.record_probe(1, 0.0)
    guard.verify(9, 0, 0.0, 1)
    accepted = [n for n in numbers if guard.verify(9, n, 0.0, None)[0] is Trust.VERIFIED]
    assert len(accepted) == len(set(accepted)) and 0 not in accepted


@given(st.integers(0, 10_000), st.lists(st.tuples(st.floats(0, 50), st.floats(0, 20)), max_size=20))
@settings(max_examples=200, deadline=None)
def test_the_earliest_send_time_is_never_later_than_the_sending(
    seed: int, steps: list[tuple[float, float]]
) -> None:
    """Two clocks with different rates; some datagrams are responses, and all have arbitrary delays."""
    rng, guard, true_time = Random(seed), ReplayGuard(), 100.0
    own_rate, remote_rate = (1 + rng.uniform(-MAX_CLOCK_DRIFT, MAX_CLOCK_DRIFT) for _ in range(2))
    for number, (response_delay, transit) in enumerate(steps, 1):
        probed_at = true_time
        guard.record_probe(number, own_rate * probed_at)
        true_time += response_delay
        response_to = number if rng.random() < 0.5 or number == 1 else None
        sent_at = true_time
        _, earliest = guard.verify(1, number, remote_rate * true_time + 555.0, response_to)
        assert earliest <= own_rate * sent_at + 1e-6
        true_time += transit


def test_the_memory_for_probes_and_senders_is_bounded() -> None:
    guard = ReplayGuard()
    for number in range(3 * MAX_PROBE_TIMES):
        guard.record_probe(number, 0.0)
    for run_id in range(MAX_SENDERS + 100):
        guard.mark_verified(run_id, 1, 0.0, 0.0)
    assert len(guard.probe_times) == MAX_PROBE_TIMES and len(guard.senders) == MAX_SENDERS


def member(name: str = "me", seeds: tuple[str, ...] = ()) -> Member:
    return Member(Record(name, f"{name}:1", 0, State.ALIVE, 1), seeds, Rules(), (), Random(1), 0.0)


def test_an_unverified_sender_gets_a_response_and_a_probe_and_changes_nothing() -> None:
    core = member()
    false_record = Record("x", "x:1", 5, State.DEAD, 9)
    envelope = Envelope(
        "s",
        "s:1",
        7,
        1,
        3.0,
        0,
        Message(Kind.PING, 8, "me", (false_record,)),
        (Entry("t", "s", "", 1, b"v", 9.0),),
    )
    sent = [a for a in core.step(1.0, DatagramReceived(envelope)) if isinstance(a, SendDatagram)]
    assert [s.envelope.message.kind for s in sent] == [Kind.ACK, Kind.PING]
    assert "x" not in core.peers.view and not core.entry_store.entries
    again = core.step(1.1, DatagramReceived(envelope._replace(number=2)))
    assert len(again) == 1  # probed back at most once a second
    for n in range(5000):
        core.step(1.2, DatagramReceived(envelope._replace(number=n, address=f"s:{n}", run_id=n)))
    assert len(core.probe_back_at) <= 256 and not core.contacts


def test_all_members_of_a_fleet_verify_each_other_and_measure_round_trips() -> None:
    members = MemberSimulation(3)
    names = members.start_fleet(5)
    members.run_until(lambda: members.converged(names), 30)
    members.run(20)
    for name in names:
        one = members.member(name)
        assert len(one.guard.senders) == 4 and one.guard.replays == 0
        assert all(0.001 < one.contacts[other].rtt < 0.007 for other in names if other != name)
        assert {c.digest for c in one.contacts.values()} == {one.digest()}


def test_datagrams_are_authenticated_completely_and_with_either_of_two_keys() -> None:
    sender, receiver, stranger = Seal((KEY,), 3), Seal((OTHER_KEY, KEY), 4), Seal((OTHER_KEY,), 5)
    data = sender.encrypt(9, b"plain")
    assert receiver.decrypt(data) == (3, 9, b"plain")
    for index in range(len(data)):
        with pytest.raises(AuthenticationFailed):
            receiver.decrypt(data[:index] + bytes([data[index] ^ 1]) + data[index + 1 :])
    for wrong in (data[:20], b"", data + b"x"):
        with pytest.raises(AuthenticationFailed):
            receiver.decrypt(wrong)
    with pytest.raises(AuthenticationFailed):
        stranger.decrypt(data)


def test_frames_of_a_stream_are_accepted_once_in_order_and_in_one_direction() -> None:
    initiator, responder = (
        StreamSeal(KEY, b"a" * 16, b"b" * 16, True),
        StreamSeal(KEY, b"a" * 16, b"b" * 16, False),
    )
    first, second = initiator.encrypt(b"1"), initiator.encrypt(b"2")
    assert responder.decrypt(first) == b"1" and responder.decrypt(second) == b"2"
    for wrong in (first, responder.encrypt(b"3")):
        with pytest.raises(AuthenticationFailed):
            responder.decrypt(wrong)
    other = StreamSeal(KEY, b"a" * 16, b"c" * 16, False)
    with pytest.raises(AuthenticationFailed):
        other.decrypt(first)  # replayed in another stream


@pytest.mark.parametrize(
    ("text", "words"),
    [("", "0 keys"), ("ab", "line 1"), ("#\n" + "zz" * 32, "line 2"), ("\n".join([KEY.hex()] * 3), "3 keys")],
)
def test_an_invalid_key_file_is_rejected_without_showing_its_content(text: str, words: str) -> None:
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
def test_datagrams_survive_encoding_and_noise_raises_only_invalid_message(
    gossip: list[Record], noise: bytes
) -> None:
    entry = Entry("t", "o", "s", 3, b"v", 1.5)
    sent = Envelope("a", "a:1", 3, 4, 5.5, 6, Message(Kind.ACK, 7, "b", tuple(gossip)), (entry,))
    data = pack(sent)
    assert unpack(data, 3, 4) == sent
    assert len(data) <= 200 + sum(r.encoded_bytes() for r in gossip) + entry.encoded_bytes()
    for broken in (noise, data[: len(noise)], noise + data):
        for read in (lambda b: unpack(b, 1, 1), unpack_sync):
            with suppress(InvalidMessage):
                read(broken)


def test_unknown_fields_kinds_and_states_are_skipped() -> None:
    import msgspec

    row = msgspec.msgpack.decode(pack(Envelope("a", "a:1", 3, 4, 5.5, 6, Message(Kind.PING, 7, "b"))))
    record = ["n", "n:1", 0, 0, 1, 2, "z", "r", "", "newer"]
    row[4], row[7] = 99, [record, [*record[:3], 17, *record[4:]]]
    decoded = unpack(msgspec.msgpack.encode([*row, {"newer": 1}]), 3, 4)
    assert decoded.message.kind is Kind.GOSSIP
    assert [(r.name, r.instances) for r in decoded.message.gossip] == [("n", 2)]
    sync_row = msgspec.msgpack.decode(pack_sync(member().offer(1.0)))
    assert unpack_sync(msgspec.msgpack.encode([*sync_row, 5])).sender == "me"


def test_no_datagram_exceeds_the_size_limit_however_much_there_is_to_send() -> None:
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
