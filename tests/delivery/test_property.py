"""Any schedule of commits and faults: nobody is ever torn or goes back, and all end right."""

from __future__ import annotations

from typing import Any

from hypothesis import given, settings
from hypothesis import strategies as st

from flintlatch.delivery.model import ObjectChange, Rules
from tests.delivery.reference import Fleet

OBJECTS = ("a", "b", "c", "d", "e")
NAMES = (*OBJECTS, "never")
PROXIES = ("p0", "p1", "p2", "p3")
HOSTS = ("origin", "relay0", "relay1", "relay2", *PROXIES)
CHECK_S = 0.25  # between two comparisons beside those at each change
QUIET_S = 90.0  # in which all must have become right
# So little credit, and such small parts, that a batch is on its way for seconds: much happens meanwhile.
SLOW = Rules(rate=600.0, burst=6000.0, window=2500.0, part_bytes=200)

edits = st.lists(
    st.tuples(
        st.sampled_from(OBJECTS),
        st.sampled_from(("put", "put", "put", "take", "revert", "gone", "anew")),
        st.integers(0, 3),
        st.integers(0, 3),
    ),
    min_size=1,
    max_size=4,
)
waits = st.sampled_from((0.0, 0.0, 0.002, 0.05, 0.2, 0.3, 1.0, 4.0, 15.0))
steps = st.one_of(
    st.tuples(st.just("commit"), edits),
    st.tuples(st.just("commit"), edits),
    st.tuples(st.just("commit"), edits),
    st.tuples(st.sampled_from(("follow", "unfollow", "again")), st.integers(0, 3), st.sampled_from(NAMES)),
    st.tuples(st.sampled_from(("cut", "one way", "reset")), st.sampled_from(HOSTS), st.sampled_from(HOSTS)),
    st.tuples(st.sampled_from(("kill", "start", "pause", "wake", "bounce")), st.sampled_from(HOSTS)),
    st.tuples(st.just("heal")),
)
plans = st.lists(st.tuples(steps, waits), max_size=40)


def changes_of(fleet: Fleet, edited: list[tuple[str, str, int, int]]) -> list[ObjectChange]:
    changes = []
    for name, what, item, value in edited:
        key, data = f"i{item}", f"{name} {value}".encode() * (1 + 40 * value)
        if what == "put":
            changes.append(ObjectChange(name, {key: data}))
        elif what == "take":
            changes.append(ObjectChange(name, removed=(key,)))
        elif what == "gone":
            changes.append(ObjectChange(name, gone=True))
        elif what == "anew":
            changes += [ObjectChange(name, gone=True), ObjectChange(name, {key: data})]
        else:  # there and back: nothing has changed, and yet it has
            before = fleet.wanted.get(name, {}).get(key)
            changes.append(ObjectChange(name, {key: b"for a moment"}))
            changes.append(
                ObjectChange(name, removed=(key,)) if before is None else ObjectChange(name, {key: before})
            )
    return changes


def play(plan: list[tuple[tuple[Any, ...], float]], seed: int, slow: bool) -> Fleet:
    fleet = Fleet(seed, relays=3, regions=2, rules=SLOW if slow else None)
    if slow:
        fleet.lab.delay_s = (0.02, 0.3)
    fleet.put("anchor", here="always")
    for place, name in enumerate(PROXIES):
        fleet.proxy(name, "anchor", *OBJECTS[place : place + 3], region=place % 2)
    fleet.run(3)

    def start(name: str) -> None:
        if name == "origin":
            fleet.restart_origin()
        else:
            fleet.start(name)

    def act(step: tuple[Any, ...]) -> None:
        what = step[0]
        if what == "commit":
            changes = changes_of(fleet, step[1])
            reverted = any(edit[1] == "revert" for edit in step[1])
            for part in [[one] for one in changes] if reverted else [changes]:
                fleet.commit(*part)
        elif what in ("follow", "unfollow", "again"):
            name = PROXIES[step[1]]
            if fleet.lab.hosts[name].running:
                if what != "follow":
                    fleet.unfollow(name, step[2])
                if what != "unfollow":
                    fleet.follow(name, step[2])
        elif what in ("cut", "one way"):
            fleet.lab.cut([step[1]], [step[2]], both=what == "cut")
        elif what == "reset":
            for stream in list(fleet.lab.hosts[step[1]].upstream_sessions.values()):
                fleet.lab.reset(stream)
        elif what == "heal":
            fleet.lab.heal()
        else:
            host = fleet.lab.hosts[step[1]]
            if what in ("kill", "bounce") and host.running:
                fleet.lab.kill(step[1])
            if what in ("start", "bounce") and not fleet.lab.hosts[step[1]].running:
                start(step[1])
            if what == "pause" and host.running:
                fleet.lab.pause(step[1])
            if what == "wake" and host.paused and host.running:
                fleet.lab.resume(step[1])

    def run(seconds: float) -> None:
        until = fleet.now + seconds
        while fleet.now < until:
            fleet.run(min(CHECK_S, until - fleet.now))
            fleet.watch.check_all()

    for step, wait in plan:
        act(step)
        run(wait)
    fleet.lab.heal()
    for name in HOSTS:
        if fleet.lab.hosts[name].paused and fleet.lab.hosts[name].running:
            fleet.lab.resume(name)
        if not fleet.lab.hosts[name].running:
            start(name)
    fleet.until(lambda: fleet.right() and fleet.young(), QUIET_S)
    run(fleet.rules.detect_s() + fleet.rules.spread_s + 3)  # also who had not found out that its relay died
    assert fleet.right() and fleet.young()
    return fleet


@given(plans, st.integers(0, 1000), st.booleans())
@settings(max_examples=80, deadline=None, derandomize=True, print_blob=True)
def test_any_schedule_leaves_nobody_torn_and_ends_right(
    plan: list[tuple[tuple[Any, ...], float]], seed: int, slow: bool
) -> None:
    play(plan, seed, slow)
