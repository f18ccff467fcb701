"""What capacity runs say of peers, limits and verdicts, held by counts and never by time."""

from __future__ import annotations

from collections.abc import Callable
from math import isfinite
from typing import Any

import pytest

from bench.scale import limits, peers, verdicts
from bench.scale.data import Series
from flintlatch.fleet import limiting
from flintlatch.peers import EntryStore

OF_PEERS = {
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
BY_BOTH = {"cpu_ms", "looks_per_s", "core", "carrier_core", "memory_bytes", "keeper_datagrams_per_s"}
WHOLE = {"granted", "member_bytes_per_s", "most_bytes_per_s"}
OF_LIMITS = {
    *BY_BOTH,
    *(f"{name}_by_holders" for name in BY_BOTH),
    *WHOLE,
    *(f"{name}_by_members" for name in WHOLE),
    "bytes",
    "keeper_bytes_per_s",
    "table_ms",
    "table_bytes",
}
BY_ALL = {"cpu_ms", "memory_bytes", "bytes_per_s"}
OF_VERDICTS = {
    *(name + end for name in BY_ALL for end in ("", "_by_observers", "_by_listed")),
    *("core", "folds_per_s", "member_bytes_per_s", "found", "believed", "believed_fresh"),
}
REST_DATAGRAMS = (1.9, 2.2)  # a second and member: a probe and an answer, and now and then one for others
REST_BYTES = (200, 300)  # a second and member, streams included
GROWS = 1.1  # at most, of bytes a member at rest, from 10 members to 30
ENTRY_BYTES = 600  # that a member sends at most for one entry of 20 bytes that all of 30 come to know
FLUSHED = 4 * 3  # datagrams of news that a window of 0.67 s holds at the most, with a push each 0.2 s
BELIEVED = 0.9  # part of 30 members, at the least, that believes an entry of 2 s which is said anew


def check(found: list[Series], part: str, names: set[str]) -> dict[str, dict[float, float]]:
    assert {series.name for series in found} == {f"{part}.{name}" for name in names}
    assert len(found) == len(names)
    for series in found:
        assert len(series.points) >= 2, series.name
        assert series.kind == "hollow" and series.note and series.unit, series.name
        for size, value in series.points:
            assert isfinite(value) and value > 0 and size > 0, (series.name, size, value)
    return {series.name.split(".")[1]: dict(series.points) for series in found}


def test_members_at_rest_send_the_same_however_many_there_are() -> None:
    points = check(peers.run(1, True), "peers", OF_PEERS)
    assert set(points["core"]) == {10, 30}
    for n in (10, 30):
        assert REST_DATAGRAMS[0] <= points["rest_datagrams_per_s"][n] <= REST_DATAGRAMS[1]
        assert REST_BYTES[0] <= points["rest_bytes_per_s"][n] <= REST_BYTES[1]
    assert points["rest_bytes_per_s"][30] <= GROWS * points["rest_bytes_per_s"][10]
    assert points["words_bytes"][10] <= ENTRY_BYTES


def test_a_fleet_begun_as_after_long_rest_sends_what_one_does_that_has_rested() -> None:
    """What the large sizes rest on."""
    sent, datagrams = [], []
    for settled in (True, False):
        members = peers.MeteredMembers(3)
        names = members.start_settled(10) if settled else members.fleet(10)
        members.run(0.0 if settled else 90.0)
        before, posted = members.bytes, members.network.sent
        members.run(60.0)
        assert members.agreed(names)
        assert not any(one.peers.counts.suspected for one in members.members.values())
        sent.append((members.bytes - before) / 600)
        datagrams.append((members.network.sent - posted) / 600)
    assert sent[0] == pytest.approx(sent[1], rel=0.1)
    assert datagrams[0] == pytest.approx(datagrams[1], rel=0.05)


def test_a_lessor_sends_each_holder_no_more_than_its_renewals() -> None:
    points = check(limits.run(1, True), "limits", OF_LIMITS)
    for holders in (5, 20):
        # In a window, a third of a term, each is told directly once; news go to three members besides.
        sent = points["keeper_datagrams_per_s_by_holders"][holders] * limits.WINDOW_S
        assert holders - 1 <= round(sent, 6) <= holders - 1 + FLUSHED
    assert points["granted"][1] == 1.0


def counted(monkeypatch: pytest.MonkeyPatch, where: Any, name: str, size: Callable[[Any], int]) -> list[int]:
    """Sizes of what each call of it gave."""
    found: list[int] = []
    call = getattr(where, name)

    def counting(*args: Any) -> Any:
        got = call(*args)
        found.append(size(got))
        return got

    monkeypatch.setattr(where, name, counting)
    return found


@pytest.mark.parametrize(("rows", "holders"), [(1, 5), (4, 5), (4, 10)])
def test_a_look_at_limits_reads_each_ask_once(
    monkeypatch: pytest.MonkeyPatch, rows: int, holders: int
) -> None:
    asks = counted(monkeypatch, limiting, "read_lease_request", lambda ask: 1)
    looks = counted(monkeypatch, limiting.Limiter, "step", lambda _: 1)
    limits.lessor(rows, holders, 1, False)
    assert sum(looks) > 10
    assert 0.8 * rows * holders * len(looks) <= len(asks) <= rows * holders * len(looks)


@pytest.mark.parametrize(("rows", "voices"), [(3, 2), (12, 2), (12, 8)])
def test_a_fold_reads_each_report_once(monkeypatch: pytest.MonkeyPatch, rows: int, voices: int) -> None:
    reports = counted(monkeypatch, EntryStore, "read", len)
    got = verdicts.measure_fold(rows, 8, voices, 100, 1, False)
    assert got["out"] == rows
    assert max(reports) == rows * voices and min(reports) >= 0
    assert len(reports) <= 5  # looks of one span of renewal: nothing but time asks for one


def test_small_run_of_verdicts_gives_each_series() -> None:
    points = check(verdicts.run(1, True), "verdicts", OF_VERDICTS)
    assert points["found"][10] == 1.0 and points["believed_fresh"][30] == 1.0
    assert points["believed"][30] >= BELIEVED
