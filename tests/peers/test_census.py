"""The census: rises at once, falls late and gradually, and is never below the number of active instances."""

from __future__ import annotations

from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from flintlatch.peers import Census, CensusView, FleetPosition, Peers, Record, Rules, State, Synced, Tick
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


def test_it_does_not_fall_while_a_suspicion_stands_and_no_further_view_arrives() -> None:
    # Guards against a hold time that counts from the view with the suspicion instead of from its end.
    census = Census(1, 1, 5.0, 0.0)
    census.update(0.0, CensusView(10, 0, False))
    census.update(20.0, CensusView(6, 0, True))
    assert [census.read(20.0 + second).proxies for second in range(60)] == [10] * 60
    census.update(80.0, CensusView(6, 0, False))
    assert census.read(84.9).proxies == 10
    assert census.read(140.0).proxies == 6


def test_it_falls_while_views_with_the_same_count_keep_arriving() -> None:
    # Guards against an old count that never leaves the maximum, because each view replaces the one before it.
    census = Census(1, 1, 5.0, 0.0)
    census.update(0.0, CensusView(10, 0, False))
    for second in range(20, 60):
        census.update(float(second), CensusView(6, 0, False))
    assert census.read(60.0).proxies == 6


@pytest.mark.parametrize("health", range(Rules().max_health + 1))
def test_a_member_cut_off_keeps_the_count_until_it_has_found_all_others_dead(health: int) -> None:
    # Guards against a larger share while members that can't be reached are suspected late, one by one.
    rules = Rules(period_s=0.25, ack_s=0.1, suspicion=3.0, sync_s=1.0, forget_s=6.0)
    hold_s, renewal_s, tick_s, others = 1.0, 0.25, 0.01, 3
    for seed in range(20):
        peers = Peers(Record("me", "me:1", 0, State.ALIVE, 1), (), rules, Random(seed), 0.0)
        members = tuple(Record(f"f{n}", f"f{n}:1", 0, State.ALIVE, 1) for n in range(others))
        peers.step(0.0, Synced(members))
        peers.probe, peers.health = None, health
        del peers.probe_order[seed % others :]  # the others were probed in this round
        census, tick, view = Census(1, 1, hold_s, 0.0), 0, None
        while peers.count() > 1:
            tick += 1
            peers.step(tick * tick_s, Tick())  # its datagrams reach nobody
            if peers.view is not view or tick % round(renewal_s / tick_s) == 0:
                view = peers.view
                census.update(tick * tick_s, CensusView(peers.instances(), 0, peers.is_uncertain()))
            assert peers.count() == 1 or census.read(tick * tick_s).proxies == others + 1, seed
        assert census.read(tick * tick_s + hold_s).proxies == others + 1
        assert census.read(tick * tick_s + 60.0).proxies == 1


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
