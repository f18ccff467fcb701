"""Any schedule of commits and faults: no subscriber is inconsistent or goes back, and all converge."""

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
CHECK_INTERVAL_S = 0.25  # of the invariants, in addition to the check at each change
CONVERGENCE_TIMEOUT_S = 90.0  # after the last fault
# Little credit and small parts, so that a batch takes seconds and overlaps with other events.
SLOW = Rules(bytes_per_s=600.0, burst_bytes=6000.0, window_bytes=2500.0, part_bytes=200)

edits = st.lists(
    st.tuples(
        st.sampled_from(OBJECTS),
        st.sampled_from(("put", "put", "put", "remove", "revert", "delete", "recreate")),
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
    st.tuples(st.sampled_from(("follow", "unfollow", "refollow")), st.integers(0, 3), st.sampled_from(NAMES)),
    st.tuples(
        st.sampled_from(("cut", "cut one way", "reset")), st.sampled_from(HOSTS), st.sampled_from(HOSTS)
    ),
    st.tuples(st.sampled_from(("kill", "start", "pause", "wake", "restart")), st.sampled_from(HOSTS)),
    st.tuples(st.just("heal")),
)
plans = st.lists(st.tuples(steps, waits), max_size=40)


def changes_of(fleet: Fleet, edit_list: list[tuple[str, str, int, int]]) -> list[ObjectChange]:
    changes = []
    for name, kind, item, value in edit_list:
        key, data = f"i{item}", f"{name} {value}".encode() * (1 + 40 * value)
        if kind == "put":
            changes.append(ObjectChange(name, {key: data}))
        elif kind == "remove":
            changes.append(ObjectChange(name, removed=(key,)))
        elif kind == "delete":
            changes.append(ObjectChange(name, deleted=True))
        elif kind == "recreate":
            changes += [ObjectChange(name, deleted=True), ObjectChange(name, {key: data})]
        else:  # changed and reverted: the revision increases, the content does not change
            before = fleet.wanted.get(name, {}).get(key)
            changes.append(ObjectChange(name, {key: b"for a moment"}))
            changes.append(
                ObjectChange(name, removed=(key,)) if before is None else ObjectChange(name, {key: before})
            )
    return changes


def run_schedule(plan: list[tuple[tuple[Any, ...], float]], seed: int, slow: bool) -> Fleet:
    fleet = Fleet(seed, relays=3, regions=2, rules=SLOW if slow else None)
    if slow:
        fleet.lab.delay_s = (0.02, 0.3)
    fleet.put("anchor", here="always")
    for index, name in enumerate(PROXIES):
        fleet.proxy(name, "anchor", *OBJECTS[index : index + 3], region=index % 2)
    fleet.run(3)

    def start(name: str) -> None:
        if name == "origin":
            fleet.restart_origin()
        else:
            fleet.start(name)

    def execute(step: tuple[Any, ...]) -> None:
        operation = step[0]
        if operation == "commit":
            changes = changes_of(fleet, step[1])
            reverted = any(edit[1] == "revert" for edit in step[1])
            for commit in [[change] for change in changes] if reverted else [changes]:
                fleet.commit(*commit)
        elif operation in ("follow", "unfollow", "refollow"):
            name = PROXIES[step[1]]
            if fleet.lab.hosts[name].running:
                if operation != "follow":
                    fleet.unfollow(name, step[2])
                if operation != "unfollow":
                    fleet.follow(name, step[2])
        elif operation in ("cut", "cut one way"):
            fleet.lab.cut([step[1]], [step[2]], both=operation == "cut")
        elif operation == "reset":
            for stream in list(fleet.lab.hosts[step[1]].upstream_sessions.values()):
                fleet.lab.reset(stream)
        elif operation == "heal":
            fleet.lab.heal()
        else:
            host = fleet.lab.hosts[step[1]]
            if operation in ("kill", "restart") and host.running:
                fleet.lab.kill(step[1])
            if operation in ("start", "restart") and not fleet.lab.hosts[step[1]].running:
                start(step[1])
            if operation == "pause" and host.running:
                fleet.lab.pause(step[1])
            if operation == "wake" and host.paused and host.running:
                fleet.lab.resume(step[1])

    def run(seconds: float) -> None:
        end = fleet.now + seconds
        while fleet.now < end:
            fleet.run(min(CHECK_INTERVAL_S, end - fleet.now))
            fleet.watch.check_all()

    for step, wait in plan:
        execute(step)
        run(wait)
    fleet.lab.heal()
    for name in HOSTS:
        if fleet.lab.hosts[name].paused and fleet.lab.hosts[name].running:
            fleet.lab.resume(name)
        if not fleet.lab.hosts[name].running:
            start(name)
    fleet.run_until(lambda: fleet.converged() and fleet.is_fresh(), CONVERGENCE_TIMEOUT_S)
    # Long enough for subscribers that had not yet detected the loss of their relay.
    run(fleet.rules.failure_detection_s() + fleet.rules.spread_s + 3)
    assert fleet.converged() and fleet.is_fresh()
    return fleet


@given(plans, st.integers(0, 1000), st.booleans())
@settings(max_examples=80, deadline=None, derandomize=True, print_blob=True)
def test_any_schedule_keeps_subscribers_consistent_and_converges(
    plan: list[tuple[tuple[Any, ...], float]], seed: int, slow: bool
) -> None:
    run_schedule(plan, seed, slow)
