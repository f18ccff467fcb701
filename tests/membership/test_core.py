"""Versions taken whole or not at all, and what of them is believed, by hand-made events."""

from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from flintlatch.membership import (
    Action,
    Apply,
    Confirmed,
    Event,
    Fault,
    HealthReported,
    InvalidVersionOffered,
    LogWarning,
    Membership,
    MembershipRules,
    Node,
    NodeState,
    Rejected,
    Save,
    SourceFailed,
    TimerExpired,
    Version,
    VersionHeld,
    VersionOffered,
    VersionRestored,
    WakeAt,
)


def node(number: int, **more: object) -> Node:
    return Node(f"n{number}", "10.0.0.1", 1000 + number)._replace(**more)  # type: ignore[arg-type]


def version(number: int, *nodes: Node, source: str = "file") -> Version:
    return Version(source, number, nodes)


class Driver:
    def __init__(self, rules: MembershipRules | None = None) -> None:
        self.core, self.now = Membership(rules or MembershipRules(("file",))), 1000.0
        self.listed: dict[str, Node] = {}

    def step(self, event: Event, after: float = 0.0) -> list[Action]:
        self.now += after
        actions = self.core.step(self.now, event)
        for action in actions:
            if isinstance(action, Apply):
                self.listed = {n.uid: n for n in action.nodes}
        return actions

    def offer(self, number: int, *nodes: Node, after: float = 0.0, source: str = "file") -> list[Action]:
        return self.step(VersionOffered(version(number, *nodes, source=source)), after)


def kinds(actions: list[Action]) -> list[str]:
    return [type(action).__name__ for action in actions]


TEN = tuple(node(n) for n in range(10))


def test_a_version_is_taken_whole_kept_and_told_drains_first() -> None:
    driver = Driver()
    assert kinds(driver.offer(1, *TEN)) == ["Save", "Apply"]
    leaving = node(0, state=NodeState.DRAINING)
    heavier = node(1, weight=2.0)
    (_, apply) = driver.offer(2, leaving, heavier, *TEN[3:], node(20))
    assert isinstance(apply, Apply) and apply.revision == 2
    change = apply.change
    assert (change.drained, change.changed, change.added) == ((leaving,), (heavier,), (node(20),))
    assert [gone.uid for gone in change.removed] == ["n2"] and driver.listed["n0"] == leaving


def test_a_version_without_nodes_is_refused_with_a_warning_and_the_old_one_stays() -> None:
    driver = Driver()
    assert kinds(driver.offer(1)) == ["Rejected", "LogWarning"]
    driver.offer(2, *TEN)
    assert kinds(driver.offer(3)) == ["Rejected", "LogWarning"] and len(driver.listed) == 10


@pytest.mark.parametrize("how", ["confirmed", "time", "replaced", "smaller"])
def test_one_that_takes_away_too_much_waits(how: str) -> None:
    driver = Driver(MembershipRules(("file",), hold_s=30.0))
    driver.offer(1, *TEN)
    (held, wake) = driver.offer(2, *TEN[:1])
    assert isinstance(held, VersionHeld) and held.reason == "it takes away 9 of 10 active nodes"
    assert isinstance(wake, WakeAt) and wake.at_s == held.until_s == driver.now + 30
    assert len(driver.listed) == 10
    if how == "confirmed":
        assert kinds(driver.step(Confirmed("file", 7))) == ["LogWarning", "WakeAt"]
        assert kinds(driver.step(Confirmed("file", 2))) == ["Save", "Apply"]
    elif how == "time":
        assert kinds(driver.step(TimerExpired(), after=29.9)) == ["WakeAt"]
        assert kinds(driver.step(TimerExpired(), after=0.2)) == ["Save", "Apply"]
    elif how == "replaced":
        assert kinds(driver.offer(3, *TEN[:9])) == ["Save", "Apply"]
    else:
        assert kinds(driver.offer(3, *TEN[:5], after=1)) == ["Save", "Apply"]
    assert len(driver.listed) == {"confirmed": 1, "time": 1, "replaced": 9, "smaller": 5}[how]
    assert "Save" not in kinds(driver.step(TimerExpired(), after=100.0))


@pytest.mark.parametrize(("drained", "taken"), [(True, True), (False, False)])
def test_a_registry_drains_as_many_as_it_says_and_loses_few_without(drained: bool, taken: bool) -> None:
    # Guards against drains held back, and against a registry begun anew that knows one node of many.
    nodes = tuple(Node(f"n{n}", "127.0.0.1", 9000 + n) for n in range(6))
    core = Membership(MembershipRules(("registry",), drains_at_once=frozenset(("registry",))))
    core.step(0.0, VersionOffered(Version("registry", 1, nodes)))
    rest = tuple(node._replace(state=NodeState.DRAINING) for node in nodes[1:]) if drained else ()
    core.step(1.0, VersionOffered(Version("registry", 2, (nodes[0], *rest))))
    assert len(core.nodes) == 6
    assert (core.sources["registry"].held is None) is taken
    assert sum(node.state is NodeState.DRAINING for node in core.nodes.values()) == (5 if drained else 0)


def test_draining_most_at_once_is_taking_them_away() -> None:
    driver = Driver()
    driver.offer(1, *TEN)
    assert kinds(driver.offer(2, *(n._replace(state=NodeState.DRAINING) for n in TEN)))[0] == "VersionHeld"


def test_an_older_version_never_replaces_a_newer_one() -> None:
    driver = Driver()
    driver.offer(5, *TEN)
    for number, nodes in ((4, TEN[1:]), (5, TEN[1:])):
        (rejected,) = driver.offer(number, *nodes)
        assert isinstance(rejected, Rejected) and rejected.faults[0].expected == "a number above 5"
    assert driver.offer(5, *TEN) == [] and driver.core.sources["file"].rejection_count == 2


def test_after_a_restart_the_last_good_one_holds_and_is_old_until_confirmed() -> None:
    driver = Driver()
    assert kinds(driver.step(VersionRestored(version(7, *TEN)))) == ["Apply"]
    source = driver.core.sources["file"]
    assert source.unconfirmed and kinds(driver.offer(6, *TEN)) == ["Rejected"] and source.unconfirmed
    assert driver.offer(7, *TEN) == [] and not source.unconfirmed
    assert kinds(driver.offer(8, *TEN[:2]))[0] == "VersionHeld"  # its guard knows what was there


def test_what_can_not_be_read_changes_nothing_its_drains_neither() -> None:
    driver = Driver()
    driver.offer(1, *TEN)
    faults = (Fault("node[3].weight", "nan", "a number"),)
    (rejected,) = driver.step(InvalidVersionOffered("file", faults))
    assert isinstance(rejected, Rejected) and rejected.faults == faults and rejected.number is None
    for _ in range(100):
        driver.step(InvalidVersionOffered("file", faults))
    source = driver.core.sources["file"]
    assert (len(source.rejections), source.rejection_count) == (20, 101)
    assert kinds(driver.step(SourceFailed("file", "gone"))) == ["LogWarning"]
    assert driver.step(SourceFailed("file", "gone")) == [] and len(driver.listed) == 10


def test_a_weight_that_jumps_goes_in_steps() -> None:
    driver = Driver(MembershipRules(("file",), weight_factor=4.0, weight_step_s=5.0))
    driver.offer(1, *TEN)
    driver.offer(2, node(0, weight=100.0), node(1, weight=0.1), *TEN[2:])
    seen = [(driver.listed["n0"].weight, driver.listed["n1"].weight)]
    for _ in range(5):
        driver.step(TimerExpired(), after=5.0)
        seen.append((driver.listed["n0"].weight, driver.listed["n1"].weight))
    assert [up for up, _ in seen] == [4.0, 16.0, 64.0, 100.0, 100.0, 100.0]
    assert [down for _, down in seen[:3]] == [0.25, 0.1, 0.1]


def test_a_node_that_comes_and_goes_is_held_down_for_a_while() -> None:
    driver = Driver(MembershipRules(("file",), flaps=4, flap_window_s=60.0, flap_hold_s=60.0))
    driver.offer(1, *TEN)
    warned = []
    for number in range(2, 8):
        nodes = TEN if number % 2 else TEN[1:]
        warned += [a for a in driver.offer(number, *nodes, after=1.0) if isinstance(a, LogWarning)]
    assert [w.text for w in warned] == ["n0 comes and goes: held down"]
    assert driver.listed["n0"].state.value == "draining"
    driver.step(TimerExpired(), after=61.0)
    assert driver.listed["n0"].state.value == "active" and not driver.core.flap_times


def test_unhealthy_nodes_drain_unless_too_many_are_called_so() -> None:
    driver = Driver(MembershipRules(("file",), panic_fraction=0.5, flaps=50))
    driver.offer(1, *TEN, *(node(n, pool="other") for n in range(20, 24)))
    for number in range(5):
        driver.step(HealthReported("file", f"n{number}", False))
        assert driver.listed[f"n{number}"].state.value == "draining"
    actions = driver.step(HealthReported("file", "n5", False))
    assert "pool default: 6 of 10 nodes are called bad: not believed" in [
        a.text for a in actions if isinstance(a, LogWarning)
    ]
    assert all(n.state is NodeState.ACTIVE for n in driver.listed.values())
    driver.step(HealthReported("file", "n20", False))  # the other pool is not concerned
    assert driver.listed["n20"].state.value == "draining"
    driver.step(HealthReported("file", "n5", True))
    assert {uid for uid, n in driver.listed.items() if n.state is NodeState.DRAINING} == {
        "n0", "n1", "n2", "n3", "n4", "n20",
    }  # fmt: skip


def test_sources_feed_one_list_by_precedence() -> None:
    driver = Driver(MembershipRules(("deploy", "registry")))
    driver.offer(1, node(1, weight=3.0), source="registry")
    driver.offer(1, node(1, weight=2.0), node(2), source="deploy")
    assert driver.listed["n1"].weight == 2.0
    actions = driver.offer(2, node(1), node(3, port=1002), source="registry")
    assert [a.text for a in actions if isinstance(a, LogWarning)] == [
        "registry: n3 at 10.0.0.1:1002 in default: another source has this address; left out"
    ]
    assert sorted(driver.listed) == ["n1", "n2"]
    assert kinds(driver.offer(1, node(1), source="nobody")) == ["Rejected"]


SOURCES = ("a", "b")
NODES = st.lists(st.integers(0, 9), max_size=10, unique=True).map(lambda ns: tuple(node(n) for n in ns))
EVENTS = st.one_of(
    st.builds(
        lambda s, n, nodes: VersionOffered(Version(s, n, nodes)),
        st.sampled_from(SOURCES),
        st.integers(0, 30),
        NODES,
    ),
    st.builds(Confirmed, st.sampled_from(SOURCES), st.integers(0, 30)),
    st.builds(HealthReported, st.sampled_from(SOURCES), st.integers(0, 9).map("n{}".format), st.booleans()),
    st.builds(InvalidVersionOffered, st.sampled_from(SOURCES), st.just((Fault("x", "y", "z"),))),
    st.just(TimerExpired()),
)


@settings(max_examples=400, deadline=None)
@given(st.lists(st.tuples(EVENTS, st.sampled_from((0.0, 0.5, 40.0))), max_size=40))
def test_what_is_listed_is_whole_versions_and_never_nothing_again(events: list[tuple[Event, float]]) -> None:
    driver = Driver(MembershipRules(SOURCES, flaps=3))
    offered: dict[str, list[Version]] = {name: [] for name in SOURCES}
    numbers = dict.fromkeys(SOURCES, -1)
    revision = 0
    for event, after in events:
        if isinstance(event, VersionOffered):
            offered[event.version.source].append(event.version)
        actions = driver.step(event, after)
        currents = {name: source.current for name, source in driver.core.sources.items()}
        for name, current in currents.items():
            if current is not None:
                assert current in offered[name] and current.nodes
                assert current.number >= numbers[name]
                numbers[name] = current.number
        named = {n.uid for current in currents.values() if current is not None for n in current.nodes}
        assert set(driver.listed) == named  # each address has one uid here, so nothing is left out
        if named:
            active = [n for n in driver.listed.values() if n.state is NodeState.ACTIVE]
            assert len(active) >= len(named) * (1 - driver.core.rules.panic_fraction)
        for action in actions:
            if isinstance(action, Apply):
                assert action.revision == revision + 1 and action.change
                revision = action.revision
            elif isinstance(action, WakeAt):
                assert action.at_s > driver.now - 1e-6 or driver.core.next_weight_step_at >= driver.now - 1e-6
            elif isinstance(action, Save):
                assert action.version in offered[action.version.source]
        assert len(driver.core.flap_times) <= 10


@pytest.mark.parametrize(
    ("change", "words"),
    [
        ({"sources": ()}, "sources"),
        ({"sources": ("a", "a")}, "sources"),
        ({"panic_fraction": 2.0}, "panic_fraction"),
        ({"hold_s": -1.0}, "hold_s"),
        ({"weight_factor": 1.0}, "weight_factor"),
        ({"flaps": 1}, "flaps"),
    ],
)
def test_rules_that_can_not_be(change: dict[str, object], words: str) -> None:
    with pytest.raises(ValueError, match=words):
        MembershipRules(**({"sources": ("a",)} | change))  # type: ignore[arg-type]
