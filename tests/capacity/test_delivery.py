"""Tests the capacity runs of delivery by counts of messages, bytes and entries, never by time."""

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

SMALL_FLEET = Size.of(20, services=50, cells=2, follows=10, tenants=4)
BATCH_OVERHEAD_BYTES = 2 * (FRAME_OVERHEAD_BYTES + 40)  # Begin and End of a batch
PART_OVERHEAD_BYTES = FRAME_OVERHEAD_BYTES + 30  # without the object's name and items
TIMED_SUFFIXES = ("_core", "_step_ms")


def ready_link(size: int) -> DirectLink:
    store = Store()
    store.commit(make_services(size, Random(1)))
    link = DirectLink(store, [f"s{n}" for n in range(size)])
    link.run_until(link.is_ready)
    link.run_until(lambda: link.subscriber.tokens > 200_000)
    link.received_bytes.clear()
    return link


def run_for(link: DirectLink, seconds: float) -> None:
    until = link.now + seconds
    link.run_until(lambda: link.now >= until)


def untimed_figures(figures: dict[str, float]) -> dict[str, float]:
    return {name: value for name, value in figures.items() if not name.endswith(TIMED_SUFFIXES)}


@pytest.fixture
def digests(monkeypatch: pytest.MonkeyPatch) -> list[str]:
    """Names of the items that are added to the checksum of an object, or removed from it."""
    seen: list[str] = []

    def counting(name: str, value: bytes) -> int:
        seen.append(name)
        return item_digest(name, value)

    monkeypatch.setattr("flintlatch.delivery.store.item_digest", counting)
    return seen


@pytest.mark.parametrize("size", [2, 20, 200])
def test_change_costs_its_item_and_a_fixed_overhead_for_any_number_of_objects(size: int) -> None:
    link = ready_link(size)
    link.commit([ObjectChange("s1", {"b7": b"x" * 60})])
    run_for(link, 0.5)
    change_bytes = sum(link.received_bytes[kind] for kind in ("Begin", "ObjectPart", "End"))
    assert (
        change_bytes
        == BATCH_OVERHEAD_BYTES + PART_OVERHEAD_BYTES + len("s1") + len("b7") + 60 + ITEM_OVERHEAD_BYTES
    )


@pytest.mark.parametrize("size", [2, 20, 200])
def test_a_change_touches_one_entry_on_both_sides(size: int, digests: list[str]) -> None:
    link = ready_link(size)
    digests.clear()
    link.commit([ObjectChange("s1", {"b7": b"x" * 60})])
    run_for(link, 0.5)
    assert digests == ["b7"] * 4  # on both sides, the old value is removed and the new one added


def test_ten_changes_of_one_entry_are_sent_once() -> None:
    link = ready_link(20)
    for n in range(10):
        link.commit([ObjectChange("s1", {"b7": bytes([n]) * 60})])
    run_for(link, 0.5)
    assert link.subscriber.store.objects["s1"].items["b7"] == bytes([9]) * 60
    assert (
        link.received_bytes["ObjectPart"]
        == PART_OVERHEAD_BYTES + len("s1") + len("b7") + 60 + ITEM_OVERHEAD_BYTES
    )


def test_subscriber_gets_no_object_that_it_does_not_follow(digests: list[str]) -> None:
    link = ready_link(20)
    digests.clear()
    link.commit([ObjectChange("other", {f"b{n}": b"x" * 60 for n in range(18)})])
    run_for(link, 0.5)
    assert not {"Begin", "ObjectPart", "End"} & set(link.received_bytes)
    assert len(digests) == 18  # only those of the origin


@pytest.mark.parametrize("size", [2, 200])
def test_idle_proxy_receives_one_pong_per_second(size: int) -> None:
    link = ready_link(size)
    run_for(link, 20.0)
    assert set(link.received_bytes) == {"Pong"}
    assert link.received_bytes["Pong"] <= 20 * (FRAME_OVERHEAD_BYTES + 40)


def test_snapshot_stays_within_the_bytes_of_a_minute() -> None:
    store = Store()
    store.commit(make_services(800, Random(1)))
    link = DirectLink(store, [f"s{n}" for n in range(800)])
    worst_minute_bytes = 0
    while not link.is_ready():
        before = link.total_bytes()
        run_for(link, 60.0)
        worst_minute_bytes = max(worst_minute_bytes, link.total_bytes() - before)
    pongs = 61 * (FRAME_OVERHEAD_BYTES + 40)
    assert Rules().burst_bytes < worst_minute_bytes <= Rules().max_bytes_per_minute() + pongs
    assert worst_minute_bytes <= 60 * MAX_BYTES_PER_S


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
    first, second = (days.play("burst", 3, SMALL_FLEET) for _ in range(2))
    assert untimed_figures(first) == untimed_figures(second)
    assert Fleet(4, SMALL_FLEET).names != Fleet(3, SMALL_FLEET).names
    assert not days.exceeded_bounds(first)
    assert first["pairs"] > 0


@pytest.mark.parametrize("day", ["relays_dead", "relays", "service", "wrong"])
def test_all_changes_of_a_day_come_into_force(day: str) -> None:
    figures = days.play(day, 1, SMALL_FLEET)
    assert days.exceeded_bounds(figures) == []
    assert figures["pairs"] > 0


def small_fleet() -> Fleet:
    fleet = Fleet(1, SMALL_FLEET)
    fleet.begin()
    return fleet


def test_the_auditor_counts_each_change_at_each_follower() -> None:
    fleet, expected = small_fleet(), 0
    for _ in range(30):
        change = fleet.world.change_configuration()
        expected += len(fleet.audit.followers[change.name])
        fleet.commit([change])
        fleet.engine.run(fleet.engine.now + 0.05)
    fleet.engine.run(fleet.engine.now + 2.0)
    assert fleet.audit.finish(fleet.engine.now) == 0
    assert len(fleet.audit.staleness_s) == expected > 0


def test_the_auditor_counts_changes_not_in_force() -> None:
    fleet = small_fleet()
    for place in fleet.relays:
        fleet.kill(place.name)
    name = fleet.names["p0"][0]
    fleet.commit([ObjectChange(name, {"b0": b"new"})])
    fleet.engine.run(fleet.engine.now + 20.0)
    assert fleet.audit.finish(fleet.engine.now) == len(fleet.audit.followers[name])
    assert min(fleet.audit.staleness_s) == pytest.approx(20.0)


def test_the_auditor_detects_content_that_the_origin_never_had() -> None:
    fleet = small_fleet()
    name = fleet.names["p0"][0]
    fleet.commit([ObjectChange(name, {"b0": b"new"})])
    host: Any = fleet.hosts["p0"]
    assert isinstance(host, SimulatedProxy)
    proxy_store = Store()
    proxy_store.commit([ObjectChange(name, {"b0": b"made up"})])
    fleet.audit.check(fleet.engine.now, "p0", proxy_store)
    assert fleet.audit.unknown_content == [f"p0 {name}"]


def test_the_auditor_counts_from_readiness_of_a_proxy() -> None:
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
    assert list(audit.staleness_s) == [3.0]
    assert audit.load_times_s == [12.0]


def test_the_worst_minute_may_begin_at_any_second() -> None:
    minutes = Minutes()
    minutes.rows["p"] = [0] * 30 + [10] * 60 + [0] * 100
    assert minutes.worst() == 10.0


def test_baseline_sends_the_full_list_for_each_change() -> None:
    figures = plain.rival(Size())
    assert figures["list_bytes"] > 200_000 * 60 + 390_000 * 100
    assert figures["list_s"] > MAX_STALENESS_S
