"""Measures the cost of shared outlier detection for a member, over servers and observers, in virtual time.

A fold is one step of `fleet/judging.py`: it reads all valid reports and decides about every server again. One
member is real; every other observer is simulated by the reports that it sends. *Whole*: every member is real,
which shows what fraction of the short-lived reports is accepted before they expire.
"""

from __future__ import annotations

import tracemalloc
from collections.abc import Callable
from typing import Any

from bench.scale.data import Series, load
from bench.scale.limits import NO_PROBE_RULES, ShellStub, deliver_entries, start_one_member, virtual_clock
from bench.scale.peers import Got, Meter, MeteredMembers, run_in_child
from flintlatch.fleet.judging import RENEWALS_PER_TTL, OutlierEjector
from flintlatch.peers import Entry, Record, Topic
from flintlatch.verdicts.api import EjectionRules, observation_topic

ROW_COUNTS, ROW_COUNTS_SMALL = (10, 50, 200, 1000, 2000), (10, 50)
OBSERVER_COUNTS, OBSERVER_COUNTS_SMALL = (20, 100, 500, 2200), (10, 20)
FLEET_SIZES, FLEET_SIZES_SMALL, FLEET_LISTED_SERVERS = (2, 10, 50, 200), (2, 10), 2000
MEMBER_COUNTS, MEMBER_COUNTS_SMALL = (10, 30, 100, 300, 1000), (10, 30)
# observers of each server; observers in the runs over rows; rows in the runs over observers
OBSERVERS_PER_SERVER, OBSERVERS_OVER_ROWS, ROWS_OVER_OBSERVERS = 4, 40, 3
LISTED_SERVERS = 20_000  # in the member's own list; the reported servers are some of them
LISTED_COUNTS, LISTED_COUNTS_SMALL = (200, 2000, 20_000, 200_000), (20, 200)
RULES = EjectionRules()
RENEWAL_INTERVAL_S = RULES.life_s / RENEWALS_PER_TTL
# published entries; interval between samples, not a divisor of the renewal interval
PUBLISHED_ENTRIES, SAMPLE_INTERVAL_S = 5, 0.37


class Observer:
    """An observer simulated by its reports, which it renews at the interval of the product."""

    def __init__(self, members: MeteredMembers, record: Record, servers: list[str]) -> None:
        self.members, self.record, self.servers = members, record, servers
        self.number = self.epoch = 0

    def start(self) -> None:
        self.members.engine.after(RENEWAL_INTERVAL_S, self.start)
        self.epoch += 1
        name, ttl_s = self.record.name, RULES.life_s
        entries = [Entry("seen", name, server, self.epoch, b"3", ttl_s) for server in self.servers]
        self.number = deliver_entries(self.members, self.record, self.number, entries)


def sized_topic(entries: int) -> Topic:
    """The product's topic, with capacity for this number of entries."""
    seen = observation_topic(RULES.life_s)
    return Topic(
        "seen", seen.merge, seen.ttl_s, seen.max_per_member, max(entries, seen.max_entries), seen.weight
    )


def make_ejector(members: MeteredMembers, name: str, targets: dict[str, None]) -> OutlierEjector:
    """An ejector whose list of servers is a new set in each step, as in `fleet/supervisor.py`."""
    shell: Any = ShellStub(members, name)
    return OutlierEjector(RULES, lambda: shell, lambda told: None, lambda: set(targets), lambda *line: None)


def measure_fold(
    rows: int, observers: int, voices: int, listed: int, seed: int, traced: bool
) -> dict[str, float]:
    """Runs f0 with reports of `voices` observers, itself included, about each of `rows` servers.

    Returns milliseconds per fold and bytes per second or, if `traced`, the bytes of memory in addition to its
    view of the members.
    """
    members, others = start_one_member(observers, NO_PROBE_RULES, (sized_topic(rows * voices),), seed)
    targets = dict.fromkeys(f"server-{row:06d}" for row in range(listed))
    if traced:
        tracemalloc.start()
    named: dict[int, list[str]] = {i: [] for i in range(observers)}
    for row in range(rows):
        for observer_number in range(voices):
            named[(row * voices + observer_number) % observers].append(f"server-{row:06d}")
    with virtual_clock(members):
        ejector = make_ejector(members, "f0", targets)
        for observer_index, record in enumerate(others, 1):
            if named[observer_index]:
                observer = Observer(members, record, named[observer_index])
                members.engine.after(members.rng.uniform(0, RENEWAL_INTERVAL_S), observer.start)
        ejector.on_instance_report(0, {"bad": dict.fromkeys(named[0], 3), "good": []})
        members.run(RULES.life_s)
        ejector.step()
        if traced:
            held = tracemalloc.get_traced_memory()[0]
            tracemalloc.stop()
            return {"memory": float(held)}
        step_meter = Meter()
        setattr(ejector, "step", step_meter.wrap(ejector.step))  # noqa: B010
        ejector.start()
        sent, began_at = members.sent_by["f0:7946"], members.engine.now
        members.run(RENEWAL_INTERVAL_S)
        elapsed_s = members.engine.now - began_at
    return {
        "fold": 1e3 * step_meter.spent_s / step_meter.calls,
        "bytes": (members.sent_by["f0:7946"] - sent) / elapsed_s,
        "out": float(len(ejector.detected.ejected)),
    }


def measure_fleet(n: int, seed: int) -> dict[str, float]:
    """Runs real members only, all of which observe failures of the same few servers.

    Returns, per member, the fraction of a core for its folds, folds and bytes per second, and the fraction
    of all (member, server) pairs with an ejection.
    """
    members = MeteredMembers(seed, topics=(sized_topic(0),))
    names = members.start_settled(n)
    targets = dict.fromkeys(f"server-{row:06d}" for row in range(FLEET_LISTED_SERVERS))
    step_meter, ejectors = Meter(), dict[str, OutlierEjector]()
    with virtual_clock(members):
        for name in names:
            ejector = make_ejector(members, name, targets)
            setattr(ejector, "step", step_meter.wrap(ejector.step))  # noqa: B010
            ejector.on_instance_report(
                0, {"bad": dict.fromkeys(list(targets)[:ROWS_OVER_OBSERVERS], 3), "good": []}
            )
            ejectors[name] = ejector
            members.engine.after(members.rng.uniform(0, RENEWAL_INTERVAL_S), ejector.start)
        # for each datagram, as in fleet/agreed.py
        members.on_entries = lambda name, now, entries: ejectors[name].step()
        members.run(RULES.life_s)
        sent, spent, calls, found, samples = members.sent_bytes, step_meter.spent_s, step_meter.calls, 0, 0
        while samples < 4:
            members.run(SAMPLE_INTERVAL_S)
            samples += 1
            found += sum(len(ejector.detected.ejected) for ejector in ejectors.values())
    elapsed_s = samples * SAMPLE_INTERVAL_S
    return {
        "core": (step_meter.spent_s - spent) / elapsed_s / n,
        "folds": (step_meter.calls - calls) / elapsed_s / n,
        "sent": (members.sent_bytes - sent) / elapsed_s / n,
        "found": max(found / samples / n / ROWS_OVER_OBSERVERS, 1e-6),
    }


def measure_believed(n: int, seed: int, aged: bool, seconds: float) -> float:
    """The mean fraction of members that accept an entry with the TTL of reports that is renewed all the time.

    `aged`: the clocks were verified at different times within the last round of probes, not all at the start.
    """
    members = MeteredMembers(seed, topics=(sized_topic(0),))
    names = members.start_settled(n, aged)
    for name in names[:PUBLISHED_ENTRIES]:
        members.publish(name, "seen", name, b"3")
    members.run(2 * RULES.life_s)
    believing, samples = 0, int(seconds / SAMPLE_INTERVAL_S)
    for _ in range(samples):
        members.run(SAMPLE_INTERVAL_S)
        believing += sum(len(members.read_values(name, "seen")) for name in names)
    return believing / samples / n / PUBLISHED_ENTRIES


def run(seed: int, small: bool) -> list[Series]:
    load_at_start, found = load(), list[Series]()

    def add_series(name: str, by: str, unit: str, points: Any, note: str, **fixed: float) -> None:
        points = tuple((float(n), float(value)) for n, value in points)
        found.append(Series(f"verdicts.{name}", by, unit, points, "hollow", fixed, seed, load_at_start, note))

    def run_size(work: Callable[..., Got], *args: Any) -> Got:
        return work(*args) if small else run_in_child(work, *args)

    def measure_both(*sizes: int) -> dict[str, float]:
        return run_size(measure_fold, *sizes, seed, False) | run_size(measure_fold, *sizes, seed, True)

    by_rows = [
        (r, measure_both(r, OBSERVERS_OVER_ROWS, OBSERVERS_PER_SERVER, LISTED_SERVERS))
        for r in (ROW_COUNTS_SMALL if small else ROW_COUNTS)
    ]
    by_observers = [
        (n, measure_both(ROWS_OVER_OBSERVERS, n, n, LISTED_SERVERS))
        for n in (OBSERVER_COUNTS_SMALL if small else OBSERVER_COUNTS)
    ]
    by_listed = [
        (n, measure_both(ROWS_OVER_OBSERVERS, OBSERVERS_OVER_ROWS, OBSERVERS_PER_SERVER, n))
        for n in (LISTED_COUNTS_SMALL if small else LISTED_COUNTS)
    ]
    simulated_note = f"one real member; the others are reports that come to it each {RENEWAL_INTERVAL_S:g} s"
    for by, end, points, fixed in (
        (
            "rows",
            "",
            by_rows,
            {"observers": float(OBSERVERS_OVER_ROWS), "voices": float(OBSERVERS_PER_SERVER)},
        ),
        ("observers", "_by_observers", by_observers, {"rows": float(ROWS_OVER_OBSERVERS)}),
        (
            "listed",
            "_by_listed",
            by_listed,
            {"rows": float(ROWS_OVER_OBSERVERS), "observers": float(OBSERVERS_OVER_ROWS)},
        ),
    ):
        if by != "listed":
            fixed["listed"] = float(LISTED_SERVERS)
        for key, name, unit, note in (
            ("fold", "cpu_ms", "ms", "processor time of a fold, reports read"),
            ("memory", "memory_bytes", "bytes", "tracemalloc, beyond the view of members and the own list"),
            ("bytes", "bytes_per_s", "bytes/s", "that the member sends, probes apart"),
        ):  # fmt: skip
            add_series(
                name + end,
                by,
                unit,
                [(n, row[key]) for n, row in points],
                f"{note}; {simulated_note}",
                **fixed,
            )
    fleets = [(n, run_size(measure_fleet, n, seed)) for n in (FLEET_SIZES_SMALL if small else FLEET_SIZES)]
    note = (
        f"every member real, at rest for long; all find {ROWS_OVER_OBSERVERS} servers bad, "
        f"{FLEET_LISTED_SERVERS} listed"
    )
    for key, name, unit, what in (
        ("core", "core", "core", "share of a core that folds ask for"),
        ("folds", "folds_per_s", "1/s", "of a member: each datagram of news is one"),
        ("sent", "member_bytes_per_s", "bytes/s", "that a member sends"),
        ("found", "found", "part", "of all (member, server) have a verdict"),
    ):
        add_series(
            name,
            "members",
            unit,
            [(n, row[key]) for n, row in fleets],
            f"{what}; {note}",
            rows=ROWS_OVER_OBSERVERS,
        )
    for name, aged in (("believed", True), ("believed_fresh", False)):
        note = f"of all members believe an entry with TTL {RULES.life_s:g} s that its sayer renews; clocks "
        note += "bound in the last round of probes, as at rest" if aged else "all bound just before"
        parts = [
            (n, run_size(measure_believed, n, seed, aged, 2.0 if small else 4.0))
            for n in (MEMBER_COUNTS_SMALL if small else MEMBER_COUNTS)
        ]
        add_series(name, "members", "part", parts, note, said=PUBLISHED_ENTRIES, ttl_s=RULES.life_s)
    return found
