"""Decisions of one member, and that records in any order lead to the same view."""

from __future__ import annotations

from random import Random
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from flintlatch.peers import (
    InstancesChanged,
    Kind,
    Leave,
    LogLine,
    Message,
    Peers,
    Received,
    Record,
    Rules,
    Send,
    State,
    Synced,
    Tick,
)

RULES = Rules()


def record(name: str, incarnation: int = 0, state: State = State.ALIVE, **more: Any) -> Record:
    return Record(name, f"{name}:7946", incarnation, state, more.pop("run_id", 7), **more)


def member(*others: str, seeds: tuple[str, ...] = (), rules: Rules = RULES) -> Peers:
    core = Peers(record("me", run_id=1), seeds, rules, Random(1), 0.0)
    if others:
        core.step(0.0, Synced(tuple(record(name) for name in others)))
    return core


def receive(core: Peers, now: float, *records: Record) -> list[Any]:
    return list(core.step(now, Received("x:7946", Message(Kind.ACK, 0, "", tuple(records)))))


def sends(actions: list[Any], kind: Kind) -> list[Send]:
    return [a for a in actions if isinstance(a, Send) and a.message.kind is kind]


record_strategy = st.builds(
    record,
    st.sampled_from("abc"),
    st.integers(0, 3),
    st.sampled_from(list(State)),
    reporter=st.sampled_from(["", "x", "y"]),
)


@given(st.lists(record_strategy, max_size=12), st.randoms(use_true_random=False))
@settings(max_examples=300, deadline=None)
def test_the_same_records_in_any_order_and_number_lead_to_the_same_view(
    records: list[Record], rng: Any
) -> None:
    one, other = member(), member()
    for record in records:
        receive(one, 0.0, record)
    shuffled = records + records[:3]
    rng.shuffle(shuffled)
    for record in shuffled:
        receive(other, 0.0, record)
    mine, theirs = (
        {name: (r.incarnation, r.state) for name, r in core.view.items() if name != "me"}
        for core in (one, other)
    )
    assert mine == theirs


@given(st.lists(record_strategy, max_size=20))
@settings(max_examples=200, deadline=None)
def test_incarnations_never_decrease_and_members_that_left_stay_away(records: list[Record]) -> None:
    core = member("a", "b", "c")
    for record in records:
        before = core.view
        receive(core, 0.0, record)
        for name, old in before.items():
            new = core.view[name]
            assert new.incarnation >= old.incarnation
            if old.state in (State.DEAD, State.LEFT) and new.state in (State.ALIVE, State.SUSPECT):
                assert new.incarnation > old.incarnation  # only the member itself raises it


@pytest.mark.parametrize("state", [State.SUSPECT, State.DEAD, State.LEFT])
def test_a_member_refutes_a_record_that_calls_it_suspected_dead_or_gone(state: State) -> None:
    core = member("a")
    receive(core, 1.0, record("me", 4, state, run_id=1))
    assert core.view["me"].incarnation == 5 and core.view["me"].state is State.ALIVE
    acks = sends(core.step(1.0, Received("a:7946", Message(Kind.PING, 9, "me"))), Kind.ACK)
    assert core.me in acks[0].message.gossip


def test_a_direct_probe_is_followed_by_indirect_ones_then_suspicion_then_death() -> None:
    core = member("a", "b", "c", "d")
    first = sends(core.step(0.0, Tick()), Kind.PING)
    probed = (core.probe.target if core.probe else "") or first[0].message.target
    assert not sends(core.step(0.2, Tick()), Kind.PING_REQ)
    requests = sends(core.step(0.31, Tick()), Kind.PING_REQ)
    assert len(requests) == 3 and all(r.message.target == probed for r in requests)
    for r in requests:  # NACKs from the helpers show that this member's own link works
        core.step(0.9, Received(r.address, Message(Kind.NACK, r.message.number, probed)))
    core.step(1.01, Tick())
    assert core.view[probed].state is State.SUSPECT and core.health == 0
    timeout_s = core.suspicion_timeout_s(1)
    assert timeout_s > core.suspicion_timeout_s(3) == 4.0
    for now in range(2, int(timeout_s) + 1):
        core.suspicions = {n: s for n, s in core.suspicions.items() if n == probed}
        core.step(float(now), Tick())
    assert core.view[probed].state is State.SUSPECT
    core.step(1.02 + timeout_s, Tick())
    assert core.view[probed].state is State.DEAD


def test_missing_nacks_lower_the_local_health_and_slow_down_the_probes() -> None:
    core = member("a", "b", "c", "d")
    for now in (0.0, 0.31, 1.01):
        core.step(now, Tick())
    assert core.health == 3
    assert core.next_probe_at >= 1.0


def test_independent_reporters_shorten_the_suspicion_and_each_counts_once() -> None:
    core = member("a", "b", "c", "d")
    receive(core, 0.0, record("a", 0, State.SUSPECT, reporter="b"))
    for _ in range(5):
        receive(core, 0.0, record("a", 0, State.SUSPECT, reporter="b"))
    assert len(core.suspicions["a"].reporters) == 1
    receive(core, 0.0, record("a", 0, State.SUSPECT, reporter="c"))
    receive(core, 0.0, record("a", 0, State.SUSPECT, reporter="d"))
    states = []
    for now in (3.9, 4.1):
        core.step(now, Tick())
        states.append(core.view["a"].state)
    assert states == [State.SUSPECT, State.DEAD]


def test_a_refuted_suspicion_is_dropped_and_older_records_are_ignored() -> None:
    core = member("a", "b")
    receive(core, 0.0, record("a", 0, State.SUSPECT, reporter="b"))
    receive(core, 0.1, record("a", 1))
    receive(core, 0.2, record("a", 0, State.SUSPECT, reporter="b"), record("a", 0, State.DEAD))
    assert core.view["a"].state is State.ALIVE and not core.suspicions


def test_a_dead_member_rejoins_with_the_same_name_and_another_address() -> None:
    core = member("a")
    receive(core, 0.0, record("a", 0, State.DEAD))
    moved = record("a", 1, run_id=8)._replace(address="b:1")
    receive(core, 1.0, moved)
    assert core.view["a"] == moved and not core.departed_at


def test_a_name_conflict_is_logged_once() -> None:
    core = member("a")
    other = record("me", 3, run_id=99)._replace(address="other:1")
    lines = [a for a in receive(core, 0.0, other) if isinstance(a, LogLine)]
    lines += [a for a in receive(core, 0.0, other._replace(incarnation=9)) if isinstance(a, LogLine)]
    assert len(lines) == 1 and "other:1" in lines[0].text
    assert core.view["me"].address == "me:7946" and core.counts.name_conflicts == 2


def test_false_records_are_bounded_and_logged_once() -> None:
    core = member("a", rules=Rules(max_members=50))
    false_records = [
        record("a", 2**31 - 1, State.DEAD),
        record("a", 5000, State.DEAD),
        record("a", -1),
        record("x" * 1000),
        record("b", instances=10**9),
        *(record(f"ghost{n}") for n in range(500)),
        record("me", 2**31 - 1, State.DEAD),
    ]
    lines = [a for _ in range(3) for a in receive(core, 0.0, *false_records) if isinstance(a, LogLine)]
    assert core.view["a"].state is State.ALIVE and core.me.state is State.ALIVE
    assert len(core.view) <= 50 and core.instances() <= 50 and len(lines) <= 6
    assert core.counts.refused > 1000 and len(core.queue) <= 50


def test_relayed_probes_are_bounded_and_expire() -> None:
    core = member("a")
    for number in range(2000):
        core.step(0.0, Received("x:1", Message(Kind.PING_REQ, number, "a")))
    assert len(core.relayed_probes) <= 64
    nacks = sends(core.step(0.6, Tick()), Kind.NACK)
    assert len(nacks) <= 64 and not core.relayed_probes


def test_a_dead_member_is_forgotten_after_the_stated_time_and_not_brought_back_by_a_view() -> None:
    core = member("a", "b")
    dead = record("a", 0, State.DEAD)
    receive(core, 1.0, dead)
    for second in range(2, 121):  # like the shell; after a long pause the member would reset
        core.step(float(second), Tick())
    assert "a" in core.view
    core.step(121.1, Tick())
    assert "a" not in core.view and "a" not in core.queue
    core.step(121.2, Synced((dead,)))
    assert "a" not in core.view


def test_after_a_long_pause_a_member_discards_its_view_and_buffered_records() -> None:
    core = member("a", "b", seeds=("a:7946",))
    incarnation = core.me.incarnation
    receive(core, 3600.0, record("gone"))
    assert set(core.view) == {"me"} and core.me.incarnation > incarnation
    receive(core, 3600.1, record("gone"))
    assert set(core.view) == {"me"}
    core.step(3600.2, Synced((record("a"),)))
    receive(core, 3600.3, record("c"))
    assert set(core.view) == {"me", "a", "c"}


def test_a_leaving_member_announces_it_and_is_not_suspected() -> None:
    core = member("a", "b")
    actions = core.step(1.0, Leave())
    messages = [a for a in actions if isinstance(a, Send)]
    assert messages and all(
        any(r.name == "me" and r.state is State.LEFT for r in a.message.gossip) for a in messages
    )
    other = member("me")
    receive(other, 1.0, core.me)
    other.step(1.1, Tick())
    assert other.view["me"].state is State.ALIVE or not other.suspicions


def test_a_change_of_instances_raises_the_incarnation() -> None:
    core = member("a")
    core.step(1.0, InstancesChanged(6))
    assert core.view["me"].instances == 6 and core.view["me"].incarnation == 1 and core.instances() == 7


@pytest.mark.parametrize(
    ("settings_", "name"),
    [
        ({"ack_s": 2.0}, "ack_s"),
        ({"helpers": 0}, "helpers"),
        ({"forget_s": 30.0}, "forget_s"),
        ({"sync_s": 0.0}, "sync_s"),
    ],
)
def test_invalid_settings_are_rejected_by_name(settings_: dict[str, Any], name: str) -> None:
    with pytest.raises(ValueError, match=name):
        Rules(**settings_)
