"""What capacity runs say of delivery, held by counts of messages, bytes and entries, never by time."""

from __future__ import annotations

from math import isfinite
from random import Random
from typing import Any

import pytest

from bench import delivery as days
from bench import plain
from bench.audit import Audit, Minutes
from bench.hollow import MAX_BYTES_PER_S, MAX_STALENESS_S, Fleet, SimulatedProxy, Size
from bench.scale import delivery
from bench.scale.delivery import DirectLink, make_services
from flintlatch.delivery.model import (
    FRAME_OVERHEAD_BYTES,
    ITEM_OVERHEAD_BYTES,
    ObjectChange,
    Rules,
    item_digest,
)
from flintlatch.delivery.store import Store

FEW = Size.of(20, services=50, cells=2, follows=10, tenants=4)
BATCH_BYTES = 2 * (FRAME_OVERHEAD_BYTES + 40)  # where it begins and ends
PART_BYTES = FRAME_OVERHEAD_BYTES + 30  # beside the object's name and its items
TIMED = ("_core", "_step_ms")


def ready_link(size: int) -> DirectLink:
    store = Store()
    store.commit(make_services(size, Random(1)))
    link = DirectLink(store, [f"s{n}" for n in range(size)])
    link.run_until(link.is_ready)
    link.run_until(lambda: link.subscriber.tokens > 200_000)
    link.received_bytes.clear()
    return link


def run_s(link: DirectLink, seconds: float) -> None:
    until = link.now + seconds
    link.run_until(lambda: link.now >= until)


def counts(figures: dict[str, float]) -> dict[str, float]:
    return {name: value for name, value in figures.items() if not name.endswith(TIMED)}


@pytest.fixture
def digests(monkeypatch: pytest.MonkeyPatch) -> list[str]:
    """Items that are counted into an object's sum, or out of it."""
    seen: list[str] = []

    def counting(name: str, value: bytes) -> int:
        seen.append(name)
        return item_digest(name, value)

    monkeypatch.setattr("flintlatch.delivery.store.item_digest", counting)
    return seen


@pytest.mark.parametrize("size", [2, 20, 200])
def test_a_change_costs_its_item_and_a_stated_overhead_whatever_is_held(size: int) -> None:
    link = ready_link(size)
    link.commit([ObjectChange("s1", {"b7": b"x" * 60})])
    run_s(link, 0.5)
    of_change = sum(link.received_bytes[kind] for kind in ("Begin", "ObjectPart", "End"))
    assert of_change == BATCH_BYTES + PART_BYTES + len("s1") + len("b7") + 60 + ITEM_OVERHEAD_BYTES


@pytest.mark.parametrize("size", [2, 20, 200])
def test_a_change_touches_one_entry_on_both_sides(size: int, digests: list[str]) -> None:
    link = ready_link(size)
    digests.clear()
    link.commit([ObjectChange("s1", {"b7": b"x" * 60})])
    run_s(link, 0.5)
    assert digests == ["b7"] * 4  # at each side the old one out, the new one in


def test_ten_changes_of_one_entry_go_out_once() -> None:
    link = ready_link(20)
    for n in range(10):
        link.commit([ObjectChange("s1", {"b7": bytes([n]) * 60})])
    run_s(link, 0.5)
    assert link.subscriber.store.objects["s1"].items["b7"] == bytes([9]) * 60
    assert link.received_bytes["ObjectPart"] == PART_BYTES + len("s1") + len("b7") + 60 + ITEM_OVERHEAD_BYTES


def test_who_does_not_follow_gets_nothing(digests: list[str]) -> None:
    link = ready_link(20)
    digests.clear()
    link.commit([ObjectChange("other", {f"b{n}": b"x" * 60 for n in range(18)})])
    run_s(link, 0.5)
    assert not {"Begin", "ObjectPart", "End"} & set(link.received_bytes)
    assert len(digests) == 18  # the origin's own


@pytest.mark.parametrize("size", [2, 200])
def test_at_rest_a_proxy_gets_one_small_answer_a_second(size: int) -> None:
    link = ready_link(size)
    run_s(link, 20.0)
    assert set(link.received_bytes) == {"Pong"}
    assert link.received_bytes["Pong"] <= 20 * (FRAME_OVERHEAD_BYTES + 40)


def test_a_snapshot_keeps_within_the_bytes_of_a_minute() -> None:
    store = Store()
    store.commit(make_services(800, Random(1)))
    link = DirectLink(store, [f"s{n}" for n in range(800)])
    minute = 0
    while not link.is_ready():
        before = link.total_bytes()
        run_s(link, 60.0)
        minute = max(minute, link.total_bytes() - before)
    pongs = 61 * (FRAME_OVERHEAD_BYTES + 40)
    assert Rules().burst_bytes < minute <= Rules().max_bytes_per_minute() + pongs
    assert minute <= 60 * MAX_BYTES_PER_S


def test_a_small_run_has_every_series() -> None:
    series = delivery.run(1, True)
    names = {one.name for one in series}
    assert len(names) == len(series)
    assert {f"delivery.{name}" for name in delivery.NOTES} <= names
    assert {
        "delivery.relay_core",
        "delivery.longest_step_ms",
        "delivery.origin_core",
        "delivery.seal_us",
    } <= names
    assert all(len(one.points) >= 2 for one in series)
    assert all(isfinite(value) and value > 0 for one in series for _, value in one.points)
    assert (
        len({value for one in series if one.name == "delivery.change_bytes" for _, value in one.points}) == 1
    )


def test_the_same_seed_gives_the_same_counts() -> None:
    first, again = (days.play("burst", 3, FEW) for _ in range(2))
    assert counts(first) == counts(again)
    assert Fleet(4, FEW).names != Fleet(3, FEW).names
    assert not days.exceeded_bounds(first)
    assert first["pairs"] > 0


@pytest.mark.parametrize("day", ["relays_dead", "relays", "service", "wrong"])
def test_a_day_brings_all_changes_into_force(day: str) -> None:
    figures = days.play(day, 1, FEW)
    assert days.exceeded_bounds(figures) == []
    assert figures["pairs"] > 0


def small_fleet() -> Fleet:
    fleet = Fleet(1, FEW)
    fleet.begin()
    return fleet


def test_the_auditor_counts_each_change_at_each_follower() -> None:
    fleet, wanted = small_fleet(), 0
    for _ in range(30):
        change = fleet.world.change_configuration()
        wanted += len(fleet.audit.followers[change.name])
        fleet.commit([change])
        fleet.engine.run(fleet.engine.now + 0.05)
    fleet.engine.run(fleet.engine.now + 2.0)
    assert fleet.audit.finish(fleet.engine.now) == 0
    assert len(fleet.audit.stale) == wanted > 0


def test_the_auditor_counts_what_is_not_in_force() -> None:
    fleet = small_fleet()
    for place in fleet.relays:
        fleet.kill(place.name)
    name = fleet.names["p0"][0]
    fleet.commit([ObjectChange(name, {"b0": b"new"})])
    fleet.engine.run(fleet.engine.now + 20.0)
    assert fleet.audit.finish(fleet.engine.now) == len(fleet.audit.followers[name])
    assert min(fleet.audit.stale) == pytest.approx(20.0)


def test_the_auditor_finds_content_that_the_origin_never_had() -> None:
    fleet = small_fleet()
    name = fleet.names["p0"][0]
    fleet.commit([ObjectChange(name, {"b0": b"new"})])
    host: Any = fleet.hosts["p0"]
    assert isinstance(host, SimulatedProxy)
    held = Store()
    held.commit([ObjectChange(name, {"b0": b"made up"})])
    fleet.audit.check(fleet.engine.now, "p0", held)
    assert fleet.audit.torn == [f"p0 {name}"]


def test_the_auditor_counts_from_the_heal_and_from_ready() -> None:
    store = Store()
    store.commit([ObjectChange("a", {"x": b"1"})])
    audit = Audit(store)
    audit.followers["a"] = ["p"]
    audit.start(0.0, "p", ready=False)
    audit.before(["a"])
    store.commit([ObjectChange("a", {"x": b"2"})])
    audit.after(10.0, ["a"], store.revision)
    audit.ready(12.0, "p")
    audit.check(15.0, "p", store)
    assert list(audit.stale) == [3.0]
    assert audit.loads == [12.0]


def test_the_worst_minute_is_found_wherever_it_begins() -> None:
    minutes = Minutes()
    minutes.rows["p"] = [0] * 30 + [10] * 60 + [0] * 100
    assert minutes.worst() == 10.0


def test_the_plain_rival_sends_everything_for_each_change() -> None:
    figures = plain.rival(Size())
    assert figures["list_bytes"] > 200_000 * 60 + 390_000 * 100
    assert figures["list_s"] > MAX_STALENESS_S
