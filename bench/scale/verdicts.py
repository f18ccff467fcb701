"""What shared verdicts cost a member, over servers reported on and over observers, in virtual time.

A fold is one look of `fleet/judging.py`: all reports that hold are read, and every server's verdict is found
anew. One member is real; each other observer is the reports that come from it. *Whole*: every member is real,
which shows what part of reports is believed when they are as short-lived as they are.
"""

from __future__ import annotations

import tracemalloc
from collections.abc import Callable
from typing import Any

from bench.scale.data import Series, load
from bench.scale.limits import LONG, Station, alone, arrive, virtual
from bench.scale.peers import Got, Hollow, Meter, child
from flintlatch.fleet.judging import RENEWALS_PER_TTL, OutlierEjector
from flintlatch.peers import Entry, Record, Topic
from flintlatch.verdicts.api import EjectionRules, observation_topic

ROWS, ROWS_SMALL = (10, 50, 200, 1000, 2000), (10, 50)
OBSERVERS, OBSERVERS_SMALL = (20, 100, 500, 2200), (10, 20)
FLEETS, FLEETS_SMALL, WHOLE_LISTED = (2, 10, 50, 200), (2, 10), 2000
MEMBERS, MEMBERS_SMALL = (10, 30, 100, 300, 1000), (10, 30)
VOICES, FEW, FEW_ROWS = 4, 40, 3  # observers of one server; of all where rows vary; rows where observers do
SERVERS = 20_000  # of the own list: what is reported on is a part of it
LISTED, LISTED_SMALL = (200, 2000, 20_000, 200_000), (20, 200)
RULES = EjectionRules()
SAY_S = RULES.life_s / RENEWALS_PER_TTL
SAID, LOOK_S = 5, 0.37  # entries said; between two looks at who believes them: no part of a renewal


class Observer:
    """One by its reports alone, said anew as often as in the product."""

    def __init__(self, members: Hollow, record: Record, servers: list[str]) -> None:
        self.members, self.record, self.servers = members, record, servers
        self.number = self.epoch = 0

    def start(self) -> None:
        self.members.engine.after(SAY_S, self.start)
        self.epoch += 1
        name, life = self.record.name, RULES.life_s
        words = [Entry("seen", name, server, self.epoch, b"3", life) for server in self.servers]
        self.number = arrive(self.members, self.record, self.number, words)


def wide(words: int) -> Topic:
    """Today's topic, with room for so many."""
    seen = observation_topic(RULES.life_s)
    return Topic(
        "seen", seen.merge, seen.ttl_s, seen.max_per_member, max(words, seen.max_entries), seen.weight
    )


def judging(members: Hollow, name: str, targets: dict[str, None]) -> OutlierEjector:
    """Its list is a set made anew for each look, as `fleet/supervisor.py` has it."""
    station: Any = Station(members, name)
    return OutlierEjector(RULES, lambda: station, lambda told: None, lambda: set(targets), lambda *line: None)


def fold(rows: int, observers: int, voices: int, listed: int, seed: int, traced: bool) -> dict[str, float]:
    """f0 hears `voices` observers of each of so many servers, itself one of them: milliseconds a fold, bytes
    a second; or, if `traced`, bytes of memory beyond its view."""
    members, others = alone(observers, LONG, (wide(rows * voices),), seed)
    targets = dict.fromkeys(f"server-{row:06d}" for row in range(listed))
    if traced:
        tracemalloc.start()
    named: dict[int, list[str]] = {i: [] for i in range(observers)}
    for row in range(rows):
        for voice in range(voices):
            named[(row * voices + voice) % observers].append(f"server-{row:06d}")
    with virtual(members):
        made = judging(members, "f0", targets)
        for place, record in enumerate(others, 1):
            if named[place]:
                observer = Observer(members, record, named[place])
                members.engine.after(members.rng.uniform(0, SAY_S), observer.start)
        made.on_instance_report(0, {"bad": dict.fromkeys(named[0], 3), "good": []})
        members.run(RULES.life_s)
        made.step()
        if traced:
            held = tracemalloc.get_traced_memory()[0]
            tracemalloc.stop()
            return {"memory": float(held)}
        look = Meter()
        setattr(made, "step", look.around(made.step))  # noqa: B010
        made.start()
        sent, at = members.sent_by["f0:7946"], members.engine.now
        members.run(SAY_S)
        took = members.engine.now - at
    return {
        "fold": 1e3 * look.spent / look.calls,
        "bytes": (members.sent_by["f0:7946"] - sent) / took,
        "out": float(len(made.detected.ejected)),
    }


def whole(n: int, seed: int) -> dict[str, float]:
    """Every member is real, and finds the same few servers bad: the share of a core that a member's folds ask
    for, bytes a second, and the part of all (member, server) with a verdict."""
    members = Hollow(seed, topics=(wide(0),))
    names = members.settled(n)
    targets = dict.fromkeys(f"server-{row:06d}" for row in range(WHOLE_LISTED))
    look, made = Meter(), dict[str, OutlierEjector]()
    with virtual(members):
        for name in names:
            one = judging(members, name, targets)
            setattr(one, "step", look.around(one.step))  # noqa: B010
            one.on_instance_report(0, {"bad": dict.fromkeys(list(targets)[:FEW_ROWS], 3), "good": []})
            made[name] = one
            members.engine.after(members.rng.uniform(0, SAY_S), one.start)
        members.on_entries = lambda name, now, words: made[
            name
        ].step()  # each datagram, as fleet/agreed.py has it
        members.run(RULES.life_s)
        sent, spent, calls, found, looks = members.sent_bytes, look.spent, look.calls, 0, 0
        while looks < 4:
            members.run(LOOK_S)
            looks += 1
            found += sum(len(one.detected.ejected) for one in made.values())
    took = looks * LOOK_S
    return {
        "core": (look.spent - spent) / took / n,
        "folds": (look.calls - calls) / took / n,
        "sent": (members.sent_bytes - sent) / took / n,
        "found": max(found / looks / n / FEW_ROWS, 1e-6),
    }


def believed(n: int, seed: int, aged: bool, seconds: float) -> float:
    """Entries as short-lived as reports, said anew all the time: the part of all members that believes one,
    on average. `aged`: clocks were bound in the last round of probes, not all just now."""
    members = Hollow(seed, topics=(wide(0),))
    names = members.settled(n, aged)
    for name in names[:SAID]:
        members.publish(name, "seen", name, b"3")
    members.run(2 * RULES.life_s)
    believe, looks = 0, int(seconds / LOOK_S)
    for _ in range(looks):
        members.run(LOOK_S)
        believe += sum(len(members.read_values(name, "seen")) for name in names)
    return believe / looks / n / SAID


def run(seed: int, small: bool) -> list[Series]:
    began, found = load(), list[Series]()

    def over(name: str, by: str, unit: str, points: Any, note: str, **fixed: float) -> None:
        points = tuple((float(n), float(value)) for n, value in points)
        found.append(Series(f"verdicts.{name}", by, unit, points, "hollow", fixed, seed, began, note))

    def of(work: Callable[..., Got], *args: Any) -> Got:
        return work(*args) if small else child(work, *args)

    def both(*sizes: int) -> dict[str, float]:
        return of(fold, *sizes, seed, False) | of(fold, *sizes, seed, True)

    by_rows = [(r, both(r, FEW, VOICES, SERVERS)) for r in (ROWS_SMALL if small else ROWS)]
    by_observers = [(n, both(FEW_ROWS, n, n, SERVERS)) for n in (OBSERVERS_SMALL if small else OBSERVERS)]
    by_listed = [(n, both(FEW_ROWS, FEW, VOICES, n)) for n in (LISTED_SMALL if small else LISTED)]
    one = f"one real member; the others are reports that come to it each {SAY_S:g} s"
    for by, end, points, fixed in (
        ("rows", "", by_rows, {"observers": float(FEW), "voices": float(VOICES)}),
        ("observers", "_by_observers", by_observers, {"rows": float(FEW_ROWS)}),
        ("listed", "_by_listed", by_listed, {"rows": float(FEW_ROWS), "observers": float(FEW)}),
    ):
        if by != "listed":
            fixed["listed"] = float(SERVERS)
        for key, name, unit, note in (
            ("fold", "cpu_ms", "ms", "processor time of a fold, reports read"),
            ("memory", "memory_bytes", "bytes", "tracemalloc, beyond the view of members and the own list"),
            ("bytes", "bytes_per_s", "bytes/s", "that the member sends, probes apart"),
        ):  # fmt: skip
            over(name + end, by, unit, [(n, row[key]) for n, row in points], f"{note}; {one}", **fixed)
    fleets = [(n, of(whole, n, seed)) for n in (FLEETS_SMALL if small else FLEETS)]
    note = f"every member real, at rest for long; all find {FEW_ROWS} servers bad, {WHOLE_LISTED} listed"
    for key, name, unit, what in (
        ("core", "core", "core", "share of a core that folds ask for"),
        ("folds", "folds_per_s", "1/s", "of a member: each datagram of news is one"),
        ("sent", "member_bytes_per_s", "bytes/s", "that a member sends"),
        ("found", "found", "part", "of all (member, server) have a verdict"),
    ):
        over(name, "members", unit, [(n, row[key]) for n, row in fleets], f"{what}; {note}", rows=FEW_ROWS)
    for name, aged in (("believed", True), ("believed_fresh", False)):
        note = f"of all members believe an entry with TTL {RULES.life_s:g} s that its sayer renews; clocks "
        note += "bound in the last round of probes, as at rest" if aged else "all bound just before"
        parts = [
            (n, of(believed, n, seed, aged, 2.0 if small else 4.0))
            for n in (MEMBERS_SMALL if small else MEMBERS)
        ]
        over(name, "members", "part", parts, note, said=SAID, ttl_s=RULES.life_s)
    return found
