"""What one member decides, and that any order of words ends alike."""

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


def hear(core: Peers, now: float, *records: Record) -> list[Any]:
    return list(core.step(now, Received("x:7946", Message(Kind.ACK, 0, "", tuple(records)))))


def sends(actions: list[Any], kind: Kind) -> list[Send]:
    return [a for a in actions if isinstance(a, Send) and a.message.kind is kind]


words = st.builds(
    record,
    st.sampled_from("abc"),
    st.integers(0, 3),
    st.sampled_from(list(State)),
    reporter=st.sampled_from(["", "x", "y"]),
)


@given(st.lists(words, max_size=12), st.randoms(use_true_random=False))
@settings(max_examples=300, deadline=None)
def test_the_same_words_in_any_order_and_number_lead_to_the_same_view(said: list[Record], rng: Any) -> None:
    one, other = member(), member()
    for word in said:
        hear(one, 0.0, word)
    again = said + said[:3]
    rng.shuffle(again)
    for word in again:
        hear(other, 0.0, word)
    mine, theirs = (
        {name: (r.incarnation, r.state) for name, r in core.view.items() if name != "me"}
        for core in (one, other)
    )
    assert mine == theirs


@given(st.lists(words, max_size=20))
@settings(max_examples=200, deadline=None)
def test_incarnations_never_go_back_and_who_left_stays_away(said: list[Record]) -> None:
    core = member("a", "b", "c")
    for word in said:
        before = core.view
        hear(core, 0.0, word)
        for name, was in before.items():
            now = core.view[name]
            assert now.incarnation >= was.incarnation
            if was.state in (State.DEAD, State.LEFT) and now.state in (State.ALIVE, State.SUSPECT):
                assert now.incarnation > was.incarnation  # only the member itself raises it


@pytest.mark.parametrize("state", [State.SUSPECT, State.DEAD, State.LEFT])
def test_a_member_that_hears_ill_of_itself_refutes_it(state: State) -> None:
    core = member("a")
    hear(core, 1.0, record("me", 4, state, run_id=1))
    assert core.view["me"].incarnation == 5 and core.view["me"].state is State.ALIVE
    told = sends(core.step(1.0, Received("a:7946", Message(Kind.PING, 9, "me"))), Kind.ACK)
    assert core.me in told[0].message.gossip


def test_a_probe_goes_direct_then_by_others_then_it_suspects_and_at_last_buries() -> None:
    core = member("a", "b", "c", "d")
    first = sends(core.step(0.0, Tick()), Kind.PING)
    probed = (core.probe.target if core.probe else "") or first[0].message.target
    assert not sends(core.step(0.2, Tick()), Kind.PING_REQ)
    asked = sends(core.step(0.31, Tick()), Kind.PING_REQ)
    assert len(asked) == 3 and all(a.message.target == probed for a in asked)
    for a in asked:  # they tell that they got no answer either: so it is not our own link
        core.step(0.9, Received(a.address, Message(Kind.NACK, a.message.number, probed)))
    core.step(1.01, Tick())
    assert core.view[probed].state is State.SUSPECT and core.health == 0
    wait = core.suspicion_timeout_s(1)
    assert wait > core.suspicion_timeout_s(3) == 4.0
    for now in range(2, int(wait) + 1):
        core.suspicions = {n: s for n, s in core.suspicions.items() if n == probed}
        core.step(float(now), Tick())
    assert core.view[probed].state is State.SUSPECT
    core.step(1.02 + wait, Tick())
    assert core.view[probed].state is State.DEAD


def test_one_whose_helpers_say_nothing_either_doubts_itself_and_slows_down() -> None:
    core = member("a", "b", "c", "d")
    for now in (0.0, 0.31, 1.01):
        core.step(now, Tick())
    assert core.health == 3
    assert core.next_probe_at >= 1.0


def test_more_independent_voices_shorten_the_wait_and_one_voice_counts_once() -> None:
    core = member("a", "b", "c", "d")
    hear(core, 0.0, record("a", 0, State.SUSPECT, reporter="b"))
    for _ in range(5):
        hear(core, 0.0, record("a", 0, State.SUSPECT, reporter="b"))
    assert len(core.suspicions["a"].reporters) == 1
    hear(core, 0.0, record("a", 0, State.SUSPECT, reporter="c"))
    hear(core, 0.0, record("a", 0, State.SUSPECT, reporter="d"))
    states = []
    for now in (3.9, 4.1):
        core.step(now, Tick())
        states.append(core.view["a"].state)
    assert states == [State.SUSPECT, State.DEAD]


def test_a_suspect_that_refutes_is_alive_again_and_old_accusations_count_for_nothing() -> None:
    core = member("a", "b")
    hear(core, 0.0, record("a", 0, State.SUSPECT, reporter="b"))
    hear(core, 0.1, record("a", 1))
    hear(core, 0.2, record("a", 0, State.SUSPECT, reporter="b"), record("a", 0, State.DEAD))
    assert core.view["a"].state is State.ALIVE and not core.suspicions


def test_a_rejoin_under_the_same_name_and_another_address() -> None:
    core = member("a")
    hear(core, 0.0, record("a", 0, State.DEAD))
    moved = record("a", 1, run_id=8)._replace(address="b:1")
    hear(core, 1.0, moved)
    assert core.view["a"] == moved and not core.departed_at


def test_a_name_claimed_by_two_is_told_once() -> None:
    core = member("a")
    other = record("me", 3, run_id=99)._replace(address="other:1")
    told = [a for a in hear(core, 0.0, other) if isinstance(a, LogLine)]
    told += [a for a in hear(core, 0.0, other._replace(incarnation=9)) if isinstance(a, LogLine)]
    assert len(told) == 1 and "other:1" in told[0].text
    assert core.view["me"].address == "me:7946" and core.counts.name_conflicts == 2


def test_liars_are_bounded_and_told_of_once() -> None:
    core = member("a", rules=Rules(max_members=50))
    lies = [
        record("a", 2**31 - 1, State.DEAD),
        record("a", 5000, State.DEAD),
        record("a", -1),
        record("x" * 1000),
        record("b", instances=10**9),
        *(record(f"ghost{n}") for n in range(500)),
        record("me", 2**31 - 1, State.DEAD),
    ]
    lines = [a for _ in range(3) for a in hear(core, 0.0, *lies) if isinstance(a, LogLine)]
    assert core.view["a"].state is State.ALIVE and core.me.state is State.ALIVE
    assert len(core.view) <= 50 and core.instances() <= 50 and len(lines) <= 6
    assert core.counts.refused > 1000 and len(core.queue) <= 50


def test_a_million_probes_for_others_leave_nothing_behind() -> None:
    core = member("a")
    for number in range(2000):
        core.step(0.0, Received("x:1", Message(Kind.PING_REQ, number, "a")))
    assert len(core.relayed_probes) <= 64
    out = sends(core.step(0.6, Tick()), Kind.NACK)
    assert len(out) <= 64 and not core.relayed_probes


def test_the_dead_are_forgotten_after_the_stated_time_and_not_handed_to_and_fro() -> None:
    core = member("a", "b")
    dead = record("a", 0, State.DEAD)
    hear(core, 1.0, dead)
    for second in range(2, 121):  # as its shell does; a long silence would make it start anew
        core.step(float(second), Tick())
    assert "a" in core.view
    core.step(121.1, Tick())
    assert "a" not in core.view and "a" not in core.queue
    core.step(121.2, Synced((dead,)))
    assert "a" not in core.view


def test_one_that_was_paused_for_long_believes_neither_itself_nor_its_buffers() -> None:
    core = member("a", "b", seeds=("a:7946",))
    incarnation = core.me.incarnation
    hear(core, 3600.0, record("gone"))
    assert set(core.view) == {"me"} and core.me.incarnation > incarnation
    hear(core, 3600.1, record("gone"))
    assert set(core.view) == {"me"}
    core.step(3600.2, Synced((record("a"),)))
    hear(core, 3600.3, record("c"))
    assert set(core.view) == {"me", "a", "c"}


def test_one_who_leaves_says_so_and_is_not_suspected() -> None:
    core = member("a", "b")
    out = core.step(1.0, Leave())
    told = [a for a in out if isinstance(a, Send)]
    assert told and all(any(r.name == "me" and r.state is State.LEFT for r in a.message.gossip) for a in told)
    other = member("me")
    hear(other, 1.0, core.me)
    other.step(1.1, Tick())
    assert other.view["me"].state is State.ALIVE or not other.suspicions


def test_a_change_of_instances_reaches_others_as_a_newer_word() -> None:
    core = member("a")
    core.step(1.0, InstancesChanged(6))
    assert core.view["me"].instances == 6 and core.view["me"].incarnation == 1 and core.instances() == 7


@pytest.mark.parametrize(
    ("more", "what"),
    [
        ({"ack_s": 2.0}, "ack_s"),
        ({"helpers": 0}, "helpers"),
        ({"forget_s": 30.0}, "forget_s"),
        ({"sync_s": 0.0}, "sync_s"),
    ],
)
def test_rules_that_make_no_sense_are_refused_by_name(more: dict[str, Any], what: str) -> None:
    with pytest.raises(ValueError, match=what):
        Rules(**more)
