"""Flow control and stall detection: the buffer limit always holds, and a stall is reported for the right
side."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from flintlatch.exchange.memory import Budget
from flintlatch.exchange.transfer import Pipe, ProgressLimits, Side, Stall, Upload

NO_MIN_RATE = ProgressLimits(idle_s=5.0, least_bytes_per_s=0)
WITH_MIN_RATE = ProgressLimits(idle_s=5.0, least_bytes_per_s=100, window_s=10)


def download(
    client: ProgressLimits = NO_MIN_RATE, node: ProgressLimits = NO_MIN_RATE, max_bytes: int = 1000
) -> Pipe:
    return Pipe(Side.NODE, max_bytes, node, client, 0.0)


def test_fast_node_is_slowed_down_by_a_slow_client() -> None:
    pipe, now, sent = download(), 0.0, 0
    while sent < 1_000_000:
        now += 0.01
        if pipe.may_read:
            sent += pipe.room
            pipe.add_arrived(now, pipe.room)
        pipe.add_taken(now, min(200, pipe.buffered_bytes))
        assert pipe.find_stall(now) is None
    assert pipe.peak_buffered_bytes == 1000
    pipe.end_source(now)
    pipe.add_taken(now, pipe.buffered_bytes)
    assert pipe.done and pipe.taken_bytes == sent


def test_reading_pauses_at_the_cap_and_resumes_at_half_of_it() -> None:
    pipe = download()
    pipe.add_arrived(1, 1000)
    assert not pipe.may_read and pipe.room == 0
    pipe.add_taken(2, 499)
    assert not pipe.may_read
    pipe.add_taken(3, 1)
    assert pipe.may_read and pipe.room == 500


def test_more_than_the_room_is_an_error() -> None:
    pipe = download()
    with pytest.raises(ValueError, match="room for 1000"):
        pipe.add_arrived(1, 1001)
    pipe.add_arrived(1, 5)
    with pytest.raises(ValueError, match="5 held"):
        pipe.add_taken(1, 6)


@pytest.mark.parametrize(
    ("source", "held", "stall", "side"),
    [
        (Side.CLIENT, 0, Stall.CLIENT_NOT_SENDING, Side.CLIENT),
        (Side.CLIENT, 10, Stall.NODE_NOT_READING, Side.NODE),
        (Side.NODE, 0, Stall.NODE_NOT_SENDING, Side.NODE),
        (Side.NODE, 10, Stall.CLIENT_NOT_READING, Side.CLIENT),
    ],
)
def test_stall_names_the_side_that_moves_no_bytes(source: Side, held: int, stall: Stall, side: Side) -> None:
    pipe = Pipe(source, 100, NO_MIN_RATE, NO_MIN_RATE, 0.0)
    if held:
        pipe.add_arrived(0.0, held)
    assert pipe.find_stall(4.9) is None
    assert pipe.find_stall(5.0) is stall and stall.side is side


def test_time_waiting_for_the_client_does_not_count_against_the_node() -> None:
    pipe = download(client=ProgressLimits(60.0, 0), node=ProgressLimits(2.0, 0))
    pipe.add_arrived(0.0, 1000)
    pipe.add_taken(50.0, 1000)  # the client took 50 s to read it
    assert pipe.find_stall(51.9) is None
    assert pipe.find_stall(52.0) is Stall.NODE_NOT_SENDING


def test_minimum_rate_applies_to_a_side_that_is_never_idle() -> None:
    pipe, now = Pipe(Side.CLIENT, 1000, WITH_MIN_RATE, NO_MIN_RATE, 0.0), 0.0
    found = None
    while found is None and now < 60:
        now += 1.0
        pipe.add_arrived(now, 1)  # slow, but never idle
        pipe.add_taken(now, 1)
        found = pipe.find_stall(now)
    assert found is Stall.CLIENT_NOT_SENDING and now == 10


def test_sufficient_rate_is_no_stall_and_a_burst_does_not_compensate_for_a_low_rate() -> None:
    pipe, now = Pipe(Side.CLIENT, 1000, WITH_MIN_RATE, NO_MIN_RATE, 0.0), 0.0
    while now < 7200:
        now += 1.0
        pipe.add_arrived(now, 110)
        pipe.add_taken(now, 110)
        assert pipe.find_stall(now) is None
    for _ in range(100):
        pipe.add_arrived(now, 1000)
        pipe.add_taken(now, 1000)
    slow_since = now
    while pipe.find_stall(now) is None:
        now += 1.0
        pipe.add_arrived(now, 1)
        pipe.add_taken(now, 1)
        assert now < slow_since + 120
    assert now > slow_since + 10


@given(
    st.integers(1, 5000),
    st.lists(st.tuples(st.sampled_from(["arrive", "take", "check"]), st.floats(0, 1), st.floats(0, 2))),
)
def test_cap_holds_and_no_byte_is_lost(max_bytes: int, steps: list[tuple[str, float, float]]) -> None:
    pipe, now = Pipe(Side.CLIENT, max_bytes, NO_MIN_RATE, NO_MIN_RATE, 0.0), 0.0
    for action, fraction, seconds in steps:
        now += seconds
        if action == "arrive" and pipe.may_read:
            pipe.add_arrived(now, int(fraction * pipe.room))
        elif action == "take":
            pipe.add_taken(now, int(fraction * pipe.buffered_bytes))
        else:
            stall = pipe.find_stall(now)
            if stall is not None:
                assert stall.side is (Side.NODE if pipe.buffered_bytes else Side.CLIENT)
        assert 0 <= pipe.buffered_bytes <= max_bytes and pipe.peak_buffered_bytes <= max_bytes
        assert pipe.may_read or pipe.buffered_bytes > 0  # at least one side can always make progress
    pipe.end_source(now)
    pipe.add_taken(now, pipe.buffered_bytes)
    assert pipe.done and pipe.arrived_bytes == pipe.taken_bytes
    assert pipe.find_stall(now + 1e6) is None


def test_budget_is_never_exceeded_and_reusable_after_release() -> None:
    budget = Budget(100)
    assert budget.reserve(60) and not budget.reserve(41) and budget.reserve(40)
    budget.release(60)
    assert budget.reserve(60) and budget.peak_bytes == 100
    with pytest.raises(ValueError, match="100 are out"):
        budget.release(101)


@pytest.mark.parametrize("size", [0, 1, 9, 10])
def test_upload_within_the_cap_can_be_sent_again(size: int) -> None:
    upload, data = Upload(10), bytes(range(size))
    for start in range(0, size, 3):
        assert not upload.add([data[start : start + 3]], len(data[start : start + 3]))
    upload.end()
    for _ in range(3):
        upload.rewind()
        assert b"".join(upload.take()[0]) == data and upload.fully_taken


@given(st.integers(1, 50), st.lists(st.tuples(st.booleans(), st.floats(0, 1)), max_size=60))
def test_longer_upload_is_discarded_and_the_cap_holds(
    max_bytes: int, steps: list[tuple[bool, float]]
) -> None:
    upload, sent, taken, discard_reports = Upload(max_bytes), b"", b"", 0
    upload.rewind()
    for takes, fraction in steps:
        if takes:
            taken += b"".join(upload.take()[0])
        elif size := int(fraction * upload.room):
            piece = bytes(len(sent) + n & 255 for n in range(size))
            sent += piece
            discard_reports += upload.add([piece], len(piece))
        assert upload.untaken_bytes <= max_bytes and upload.buffered_bytes <= 2 * max_bytes
        assert upload.discarded is (discard_reports == 1) and discard_reports <= 1
        assert upload.discarded or upload.buffered_bytes == len(sent) <= max_bytes
    upload.end()
    taken += b"".join(upload.take()[0])
    assert taken == sent and upload.fully_taken
    if upload.discarded:
        with pytest.raises(ValueError, match="discarded"):
            upload.rewind()
    else:
        upload.rewind()
        assert b"".join(upload.take()[0]) == sent


def test_upload_that_is_not_taken_stops_at_the_cap() -> None:
    upload = Upload(10)
    upload.add([b"x" * 10], 10)
    assert upload.room == 0 and not upload.discarded
    with pytest.raises(ValueError, match="room for 0"):
        upload.add([b"y"], 1)


@pytest.mark.parametrize("invalid", [{"idle_s": 0}, {"window_s": 0}, {"least_bytes_per_s": -1}])
def test_invalid_progress_limits_are_rejected(invalid: dict[str, float]) -> None:
    with pytest.raises(ValueError, match=next(iter(invalid))):
        ProgressLimits(**({"idle_s": 1, "least_bytes_per_s": 1} | invalid))
