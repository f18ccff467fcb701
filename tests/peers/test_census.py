"""The census: rises at once, falls late and gradually, and is never below the number of active instances."""

from __future__ import annotations

from hypothesis import given, settings
from hypothesis import strategies as st

from flintlatch.peers import Census, CensusView, FleetPosition
from flintlatch.peers.census import FALL_PER_S


def test_after_a_start_the_configured_number_counts_until_the_hold_time_has_passed() -> None:
    census = Census(2, 20, 30.0, 0.0)
    assert census.read(1.0) == FleetPosition(20, 0)
    census.update(2.0, CensusView(8, 4, False))
    assert census.read(30.0) == FleetPosition(20, 4)
    assert 8 < census.read(33.0).proxies < 20
    assert census.read(90.0) == FleetPosition(8, 4)


def test_it_rises_at_once_and_falls_late_and_gradually() -> None:
    census = Census(1, 1, 10.0, 0.0)
    census.update(0.0, CensusView(4, 0, False))
    census.update(20.0, CensusView(30, 0, False))
    assert census.read(20.0).proxies == 30
    census.update(40.0, CensusView(4, 0, False))
    assert census.read(49.9).proxies == 30
    last = 30
    for tenth in range(500, 1200):
        now = census.read(tenth / 10).proxies
        assert last * (1 - FALL_PER_S) - 1 <= now <= last
        last = now
    assert last == 4


def test_it_does_not_fall_while_a_member_is_suspected() -> None:
    census = Census(1, 1, 5.0, 0.0)
    census.update(0.0, CensusView(10, 0, False))
    for second in range(1, 60):
        census.update(float(second), CensusView(6, 0, True))
        assert census.read(second + 0.5).proxies == 10
    census.update(60.0, CensusView(6, 0, False))
    assert census.read(120.0).proxies == 6


views = st.lists(st.tuples(st.floats(0.1, 20), st.integers(1, 50), st.integers(0, 60), st.booleans()))


@given(views, st.integers(1, 10), st.integers(1, 100))
@settings(max_examples=200, deadline=None)
def test_the_count_is_never_below_the_instances_in_the_view(
    changes: list[tuple[float, int, int, bool]], own: int, configured: int
) -> None:
    census, now = Census(own, configured, 8.0, 0.0), 0.0
    for wait, others, before, uncertain in changes:
        instances = own + others
        now += wait
        census.update(now, CensusView(instances, before, uncertain))
        position = census.read(now)
        assert position.proxies >= instances and 0 <= position.first <= position.proxies - own
