"""The decisions of `Membership`: accepted, held and rejected versions, and the merged list."""

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


def node(number: int, **fields: object) -> Node:
    return Node(f"n{number}", "10.0.0.1", 1000 + number)._replace(**fields)  # type: ignore[arg-type]


def version(number: int, *nodes: Node, source: str = "file") -> Version:
    return Version(source, number, nodes)


class Driver:
    def __init__(self, rules: MembershipRules | None = None) -> None:
        self.membership, self.now_s = Membership(rules or MembershipRules(("file",))), 1000.0
        self.nodes_by_uid: dict[str, Node] = {}

    def step(self, event: Event, after_s: float = 0.0) -> list[Action]:
        self.now_s += after_s
        actions = self.membership.step(self.now_s, event)
        for action in actions:
            if isinstance(action, Apply):
                self.nodes_by_uid = {n.uid: n for n in action.nodes}
        return actions

    def offer(self, number: int, *nodes: Node, after_s: float = 0.0, source: str = "file") -> list[Action]:
        return self.step(VersionOffered(version(number, *nodes, source=source)), after_s)


def type_names(actions: list[Action]) -> list[str]:
    return [type(action).__name__ for action in actions]


TEN = tuple(node(n) for n in range(10))


def test_accepted_version_is_saved_and_applied_as_a_change() -> None:
    driver = Driver()
    assert type_names(driver.offer(1, *TEN)) == ["Save", "Apply"]
    draining = node(0, state=NodeState.DRAINING)
    reweighted = node(1, weight=2.0)
    (_, apply) = driver.offer(2, draining, reweighted, *TEN[3:], node(20))
    assert isinstance(apply, Apply) and apply.revision == 2
    change = apply.change
    assert (change.drained, change.changed, change.added) == ((draining,), (reweighted,), (node(20),))
    assert [removed.uid for removed in change.removed] == ["n2"] and driver.nodes_by_uid["n0"] == draining


def test_version_without_nodes_is_rejected_with_a_warning() -> None:
    driver = Driver()
    assert type_names(driver.offer(1)) == ["Rejected", "LogWarning"]
    driver.offer(2, *TEN)
    assert type_names(driver.offer(3)) == ["Rejected", "LogWarning"] and len(driver.nodes_by_uid) == 10


@pytest.mark.parametrize("ended_by", ["confirmation", "timeout", "new version", "smaller version"])
def test_version_that_removes_too_many_nodes_is_held(ended_by: str) -> None:
    driver = Driver(MembershipRules(("file",), hold_s=30.0))
    driver.offer(1, *TEN)
    (held, wake) = driver.offer(2, *TEN[:1])
    assert isinstance(held, VersionHeld) and held.reason == "it takes away 9 of 10 active nodes"
    assert isinstance(wake, WakeAt) and wake.at_s == held.until_s == driver.now_s + 30
    assert len(driver.nodes_by_uid) == 10
    if ended_by == "confirmation":
        assert type_names(driver.step(Confirmed("file", 7))) == ["LogWarning", "WakeAt"]
        assert type_names(driver.step(Confirmed("file", 2))) == ["Save", "Apply"]
    elif ended_by == "timeout":
        assert type_names(driver.step(TimerExpired(), after_s=29.9)) == ["WakeAt"]
        assert type_names(driver.step(TimerExpired(), after_s=0.2)) == ["Save", "Apply"]
    elif ended_by == "new version":
        assert type_names(driver.offer(3, *TEN[:9])) == ["Save", "Apply"]
    else:
        assert type_names(driver.offer(3, *TEN[:5], after_s=1)) == ["Save", "Apply"]
    assert (
        len(driver.nodes_by_uid)
        == {"confirmation": 1, "timeout": 1, "new version": 9, "smaller version": 5}[ended_by]
    )
    assert "Save" not in type_names(driver.step(TimerExpired(), after_s=100.0))


@pytest.mark.parametrize("remaining", [0, 1])
@pytest.mark.parametrize("drained", [True, False])
def test_nothing_that_a_registry_takes_away_is_held_back(drained: bool, remaining: int) -> None:
    # What its list drains or no longer names counts as known to the fleet when it is received.
    nodes = tuple(Node(f"n{n}", "127.0.0.1", 9000 + n) for n in range(6))
    membership = Membership(MembershipRules(("registry",), authoritative=frozenset(("registry",))))
    membership.step(0.0, VersionOffered(Version("registry", 1, nodes)))
    drained_nodes = tuple(node._replace(state=NodeState.DRAINING) for node in nodes[remaining:])
    others = drained_nodes if drained else ()
    membership.step(1.0, VersionOffered(Version("registry", 2, (*nodes[:remaining], *others))))
    active = [node for node in membership.nodes.values() if node.state is NodeState.ACTIVE]
    assert len(active) == remaining and len(membership.nodes) == (6 if drained else remaining)
    assert membership.sources["registry"].held is None
    membership.step(2.0, VersionOffered(Version("registry", 3, nodes)))
    assert len(membership.nodes) == 6


def test_draining_most_nodes_at_once_counts_as_removing_them() -> None:
    driver = Driver()
    driver.offer(1, *TEN)
    assert (
        type_names(driver.offer(2, *(n._replace(state=NodeState.DRAINING) for n in TEN)))[0] == "VersionHeld"
    )


def test_older_or_different_version_of_the_same_number_is_rejected() -> None:
    driver = Driver()
    driver.offer(5, *TEN)
    for number, nodes in ((4, TEN[1:]), (5, TEN[1:])):
        (rejected,) = driver.offer(number, *nodes)
        assert isinstance(rejected, Rejected) and rejected.faults[0].expected == "a number above 5"
    assert driver.offer(5, *TEN) == [] and driver.membership.sources["file"].rejection_count == 2


def test_restored_version_is_in_effect_and_unconfirmed_until_offered_again() -> None:
    driver = Driver()
    assert type_names(driver.step(VersionRestored(version(7, *TEN)))) == ["Apply"]
    source = driver.membership.sources["file"]
    assert source.unconfirmed and type_names(driver.offer(6, *TEN)) == ["Rejected"] and source.unconfirmed
    assert driver.offer(7, *TEN) == [] and not source.unconfirmed
    # Removals are counted against the restored version.
    assert type_names(driver.offer(8, *TEN[:2]))[0] == "VersionHeld"


def test_invalid_content_and_failures_change_nothing() -> None:
    driver = Driver()
    driver.offer(1, *TEN)
    faults = (Fault("node[3].weight", "nan", "a number"),)
    (rejected,) = driver.step(InvalidVersionOffered("file", faults))
    assert isinstance(rejected, Rejected) and rejected.faults == faults and rejected.number is None
    for _ in range(100):
        driver.step(InvalidVersionOffered("file", faults))
    source = driver.membership.sources["file"]
    assert (len(source.rejections), source.rejection_count) == (20, 101)
    assert type_names(driver.step(SourceFailed("file", "gone"))) == ["LogWarning"]
    assert driver.step(SourceFailed("file", "gone")) == [] and len(driver.nodes_by_uid) == 10


def test_large_weight_change_is_made_in_steps() -> None:
    driver = Driver(MembershipRules(("file",), weight_factor=4.0, weight_step_s=5.0))
    driver.offer(1, *TEN)
    driver.offer(2, node(0, weight=100.0), node(1, weight=0.1), *TEN[2:])
    weights = [(driver.nodes_by_uid["n0"].weight, driver.nodes_by_uid["n1"].weight)]
    for _ in range(5):
        driver.step(TimerExpired(), after_s=5.0)
        weights.append((driver.nodes_by_uid["n0"].weight, driver.nodes_by_uid["n1"].weight))
    assert [raised for raised, _ in weights] == [4.0, 16.0, 64.0, 100.0, 100.0, 100.0]
    assert [lowered for _, lowered in weights[:3]] == [0.25, 0.1, 0.1]


def test_flapping_node_is_held_down() -> None:
    driver = Driver(MembershipRules(("file",), flaps=4, flap_window_s=60.0, flap_hold_s=60.0))
    driver.offer(1, *TEN)
    warnings = []
    for number in range(2, 8):
        nodes = TEN if number % 2 else TEN[1:]
        warnings += [a for a in driver.offer(number, *nodes, after_s=1.0) if isinstance(a, LogWarning)]
    assert [w.text for w in warnings] == ["n0 comes and goes: held down"]
    assert driver.nodes_by_uid["n0"].state.value == "draining"
    driver.step(TimerExpired(), after_s=61.0)
    assert driver.nodes_by_uid["n0"].state.value == "active" and not driver.membership.flap_times


def test_unhealthy_nodes_are_drained_unless_the_pool_is_in_panic_mode() -> None:
    driver = Driver(MembershipRules(("file",), panic_fraction=0.5, flaps=50))
    driver.offer(1, *TEN, *(node(n, pool="other") for n in range(20, 24)))
    for number in range(5):
        driver.step(HealthReported("file", f"n{number}", False))
        assert driver.nodes_by_uid[f"n{number}"].state.value == "draining"
    actions = driver.step(HealthReported("file", "n5", False))
    assert "pool default: 6 of 10 nodes are called bad: not believed" in [
        a.text for a in actions if isinstance(a, LogWarning)
    ]
    assert all(n.state is NodeState.ACTIVE for n in driver.nodes_by_uid.values())
    driver.step(HealthReported("file", "n20", False))  # the other pool is not in panic mode
    assert driver.nodes_by_uid["n20"].state.value == "draining"
    driver.step(HealthReported("file", "n5", True))
    assert {uid for uid, n in driver.nodes_by_uid.items() if n.state is NodeState.DRAINING} == {
        "n0", "n1", "n2", "n3", "n4", "n20",
    }  # fmt: skip


def test_sources_are_merged_by_precedence() -> None:
    driver = Driver(MembershipRules(("deploy", "registry")))
    driver.offer(1, node(1, weight=3.0), source="registry")
    driver.offer(1, node(1, weight=2.0), node(2), source="deploy")
    assert driver.nodes_by_uid["n1"].weight == 2.0
    actions = driver.offer(2, node(1), node(3, port=1002), source="registry")
    assert [a.text for a in actions if isinstance(a, LogWarning)] == [
        "registry: n3 at 10.0.0.1:1002 in default: another source has this address; left out"
    ]
    assert sorted(driver.nodes_by_uid) == ["n1", "n2"]
    assert type_names(driver.offer(1, node(1), source="nobody")) == ["Rejected"]


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
def test_list_always_consists_of_complete_versions_and_never_becomes_empty(
    events: list[tuple[Event, float]],
) -> None:
    driver = Driver(MembershipRules(SOURCES, flaps=3))
    offered: dict[str, list[Version]] = {name: [] for name in SOURCES}
    last_numbers = dict.fromkeys(SOURCES, -1)
    revision = 0
    for event, after_s in events:
        if isinstance(event, VersionOffered):
            offered[event.version.source].append(event.version)
        actions = driver.step(event, after_s)
        current_versions = {name: source.current for name, source in driver.membership.sources.items()}
        for name, current in current_versions.items():
            if current is not None:
                assert current in offered[name] and current.nodes
                assert current.number >= last_numbers[name]
                last_numbers[name] = current.number
        expected = {
            n.uid for current in current_versions.values() if current is not None for n in current.nodes
        }
        assert set(driver.nodes_by_uid) == expected  # each address has one uid here, so no node is left out
        if expected:
            active = [n for n in driver.nodes_by_uid.values() if n.state is NodeState.ACTIVE]
            assert len(active) >= len(expected) * (1 - driver.membership.rules.panic_fraction)
        for action in actions:
            if isinstance(action, Apply):
                assert action.revision == revision + 1 and action.change
                revision = action.revision
            elif isinstance(action, WakeAt):
                assert (
                    action.at_s > driver.now_s - 1e-6
                    or driver.membership.next_weight_step_at >= driver.now_s - 1e-6
                )
            elif isinstance(action, Save):
                assert action.version in offered[action.version.source]
        assert len(driver.membership.flap_times) <= 10


@pytest.mark.parametrize(
    ("change", "message"),
    [
        ({"sources": ()}, "sources"),
        ({"sources": ("a", "a")}, "sources"),
        ({"panic_fraction": 2.0}, "panic_fraction"),
        ({"hold_s": -1.0}, "hold_s"),
        ({"weight_factor": 1.0}, "weight_factor"),
        ({"flaps": 1}, "flaps"),
    ],
)
def test_invalid_rules_are_refused(change: dict[str, object], message: str) -> None:
    with pytest.raises(ValueError, match=message):
        MembershipRules(**({"sources": ("a",)} | change))  # type: ignore[arg-type]
