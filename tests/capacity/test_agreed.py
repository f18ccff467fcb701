"""Tests the capacity runs of peers, limits and verdicts by counts, never by time."""

from __future__ import annotations

from collections.abc import Callable
from math import isfinite
from typing import Any

import pytest

from bench.scale import limits, peers, verdicts
from bench.scale.data import Series
from flintlatch.fleet import limiting
from flintlatch.peers import EntryStore

PEERS_SERIES = {
    "rest_bytes_per_s",
    "rest_datagrams_per_s",
    "core",
    "tick_ms",
    "seal_us",
    "open_us",
    "death_s",
    "word_s",
    "word_worst_s",
    "memory_bytes",
    "words_s",
    "words_bytes",
    "words_bytes_per_s",
}
SERIES_OVER_ROWS_AND_HOLDERS = {
    "cpu_ms",
    "looks_per_s",
    "core",
    "carrier_core",
    "memory_bytes",
    "keeper_datagrams_per_s",
}
FLEET_SERIES = {"granted", "member_bytes_per_s", "most_bytes_per_s"}
LIMITS_SERIES = {
    *SERIES_OVER_ROWS_AND_HOLDERS,
    *(f"{name}_by_holders" for name in SERIES_OVER_ROWS_AND_HOLDERS),
    *FLEET_SERIES,
    *(f"{name}_by_members" for name in FLEET_SERIES),
    "bytes",
    "keeper_bytes_per_s",
    "table_ms",
    "table_bytes",
}
SERIES_OVER_ALL_SIZES = {"cpu_ms", "memory_bytes", "bytes_per_s"}
VERDICTS_SERIES = {
    *(name + end for name in SERIES_OVER_ALL_SIZES for end in ("", "_by_observers", "_by_listed")),
    *("core", "folds_per_s", "member_bytes_per_s", "found", "believed", "believed_fresh"),
}
REST_DATAGRAMS_PER_S = (1.9, 2.2)  # per second and member: a probe, an answer and occasional indirect probes
REST_BYTES_PER_S = (200, 300)  # per second and member, including streams
MAX_GROWTH_RATIO = 1.1  # largest ratio of bytes per member at rest, of 30 members to 10
MAX_ENTRY_BYTES = 600  # most bytes that a member sends for one entry of 20 bytes to reach all members
MAX_GOSSIP_DATAGRAMS = 4 * 3  # most datagrams of gossip in a window of 0.67 s, with a push every 0.2 s
MIN_BELIEVED_FRACTION = 0.9  # lowest fraction of 30 members that accept a renewed entry with a TTL of 2 s


def check_series(found: list[Series], part: str, names: set[str]) -> dict[str, dict[float, float]]:
    assert {series.name for series in found} == {f"{part}.{name}" for name in names}
    assert len(found) == len(names)
    for series in found:
        assert len(series.points) >= 2, series.name
        assert series.kind == "hollow" and series.note and series.unit, series.name
        for size, value in series.points:
            assert isfinite(value) and value > 0 and size > 0, (series.name, size, value)
    return {series.name.split(".")[1]: dict(series.points) for series in found}


def test_members_at_rest_send_the_same_for_any_fleet_size() -> None:
    points = check_series(peers.run(1, True), "peers", PEERS_SERIES)
    assert set(points["core"]) == {10, 30}
    for n in (10, 30):
        assert REST_DATAGRAMS_PER_S[0] <= points["rest_datagrams_per_s"][n] <= REST_DATAGRAMS_PER_S[1]
        assert REST_BYTES_PER_S[0] <= points["rest_bytes_per_s"][n] <= REST_BYTES_PER_S[1]
    assert points["rest_bytes_per_s"][30] <= MAX_GROWTH_RATIO * points["rest_bytes_per_s"][10]
    assert points["words_bytes"][10] <= MAX_ENTRY_BYTES


def test_settled_fleet_sends_as_much_as_a_fleet_after_90_s() -> None:
    """Guards the assumption of the large sizes that a run can start in the steady state."""
    sent, datagrams = [], []
    for settled in (True, False):
        members = peers.MeteredMembers(3)
        names = members.start_settled(10) if settled else members.start_fleet(10)
        members.run(0.0 if settled else 90.0)
        before, datagrams_before = members.sent_bytes, members.network.sent
        members.run(60.0)
        assert members.converged(names)
        assert not any(one.peers.counts.suspected for one in members.members.values())
        sent.append((members.sent_bytes - before) / 600)
        datagrams.append((members.network.sent - datagrams_before) / 600)
    assert sent[0] == pytest.approx(sent[1], rel=0.1)
    assert datagrams[0] == pytest.approx(datagrams[1], rel=0.05)


def test_a_lessor_sends_each_holder_no_more_than_its_renewals() -> None:
    points = check_series(limits.run(1, True), "limits", LIMITS_SERIES)
    for holders in (5, 20):
        # In a window, a third of a term, each holder is sent one datagram directly; gossip goes to three
        # members.
        sent = points["keeper_datagrams_per_s_by_holders"][holders] * limits.WINDOW_S
        assert holders - 1 <= round(sent, 6) <= holders - 1 + MAX_GOSSIP_DATAGRAMS
    assert points["granted"][1] == 1.0


def record_result_sizes(
    monkeypatch: pytest.MonkeyPatch, owner: Any, name: str, size: Callable[[Any], int]
) -> list[int]:
    """Wraps a function so that the size of each result is appended to the returned list."""
    found: list[int] = []
    call = getattr(owner, name)

    def counting(*args: Any) -> Any:
        got = call(*args)
        found.append(size(got))
        return got

    monkeypatch.setattr(owner, name, counting)
    return found


@pytest.mark.parametrize(("rows", "holders"), [(1, 5), (4, 5), (4, 10)])
def test_limiter_step_reads_each_lease_request_once(
    monkeypatch: pytest.MonkeyPatch, rows: int, holders: int
) -> None:
    requests_read = record_result_sizes(monkeypatch, limiting, "read_lease_request", lambda ask: 1)
    steps = record_result_sizes(monkeypatch, limiting.Limiter, "step", lambda _: 1)
    limits.lessor(rows, holders, 1, False)
    assert sum(steps) > 10
    assert 0.8 * rows * holders * len(steps) <= len(requests_read) <= rows * holders * len(steps)


@pytest.mark.parametrize(("rows", "voices"), [(3, 2), (12, 2), (12, 8)])
def test_fold_reads_each_report_once(monkeypatch: pytest.MonkeyPatch, rows: int, voices: int) -> None:
    reports = record_result_sizes(monkeypatch, EntryStore, "read", len)
    got = verdicts.measure_fold(rows, 8, voices, 100, 1, False)
    assert got["out"] == rows
    assert max(reports) == rows * voices and min(reports) >= 0
    assert len(reports) <= 5  # steps within one renewal interval, triggered by time only


def test_small_run_of_verdicts_has_every_series() -> None:
    points = check_series(verdicts.run(1, True), "verdicts", VERDICTS_SERIES)
    assert points["found"][10] == 1.0 and points["believed_fresh"][30] == 1.0
    assert points["believed"][30] >= MIN_BELIEVED_FRACTION
