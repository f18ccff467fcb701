"""The carrier: no word is believed past its end, whatever way it took, and no topic starves another."""

from __future__ import annotations

from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from flintlatch.lab.members import MemberSimulation
from flintlatch.lab.network import Link
from flintlatch.peers import Carrier, Merge, Topic, Word
from flintlatch.peers.words import DRIFT, HEAD, OTHER_MOST, OTHER_S, SHRINK

LOAD = Topic("load", Merge.EACH, 5.0, each=4, most=64)
PLAN = Topic("plan", Merge.LAST, 5.0, most=8)
SPAN = 60.0  # s that random schedules last


def carrier(me: str = "me", *topics: Topic) -> Carrier:
    return Carrier(me, topics or (LOAD, PLAN), 4)


def word(origin: str = "x", epoch: int = 1, value: bytes = b"v", left_s: float = 5.0, **more: str) -> Word:
    return Word(more.get("topic", "load"), origin, more.get("subject", "s"), epoch, value, left_s)


def test_an_end_is_counted_from_the_sending_and_not_from_the_coming() -> None:
    core = carrier()
    core.hear(103.0, 100.0, [word()])
    end = 100.0 + 5.0 * SHRINK
    assert core.read(end - 0.01, "load") and not core.read(end, "load")
    assert not core.hear(105.0, 100.0, [word("y")]) and core.counts.late == 1


def test_a_word_read_past_its_end_is_none_though_no_timer_ran() -> None:
    core = carrier()
    core.hear(0.0, 0.0, [word(left_s=1.0)])
    assert core.read(0.9, "load") and not core.read(1.0, "load") and core.held


def test_an_older_word_that_ends_later_does_not_come_back() -> None:
    core = carrier()
    core.hear(0.0, 0.0, [word(epoch=2, left_s=1.0)])
    assert not core.hear(2.0, 2.0, [word(epoch=1, value=b"old", left_s=5.0)])
    core.tick(2.0, 2)
    assert not core.read(2.0, "load")


def test_what_is_taken_back_stays_so_with_those_who_hear_the_older_word_again() -> None:
    mine, theirs = carrier("a"), carrier("b")
    mine.say(0.0, "load", "s", b"1")
    old = mine.whole(0.0)
    theirs.hear(0.0, 0.0, old)
    mine.unsay(1.0, "load", "s")
    theirs.hear(1.0, 1.0, mine.whole(1.0))
    theirs.hear(1.1, 1.0, old)
    assert not theirs.read(1.2, "load") and not mine.read(1.2, "load")


def test_one_who_was_away_for_longer_than_its_word_holds_does_not_say_it_anew() -> None:
    core = carrier()
    core.say(0.0, "load", "s", b"1")
    core.tick(2.0, 2)
    assert core.held["load", "me", "s"].word.epoch == 2  # renewed
    core.tick(9.0, 2)
    assert not core.mine and not core.read(9.0, "load")


def test_a_restarted_one_outdoes_what_it_said_before() -> None:
    others = carrier("b")
    others.hear(0.0, 0.0, [word("me", 500, b"of before")])
    anew = carrier("me")
    anew.say(1.0, "load", "s", b"now")
    assert not others.hear(1.0, 1.0, anew.whole(1.0))  # it counts from one again
    anew.hear(1.1, 1.1, others.whole(1.1))
    assert others.hear(1.2, 1.2, anew.whole(1.2))
    assert [said.value for said in others.read(1.2, "load")] == [b"now"]
    silent = carrier("me")  # and one that has nothing to say of it takes it back
    silent.hear(1.1, 1.1, [word("me", 500, b"of before")])
    late = carrier("c")
    late.hear(1.2, 1.2, [word("me", 500, b"of before"), *silent.whole(1.2)])
    assert not late.read(1.3, "load")


@pytest.mark.parametrize(
    "bad",
    [
        word(left_s=5.01),  # holds for longer than its topic allows
        word(left_s=float("inf")),
        word(left_s=float("nan")),
        word(left_s=-1.0),
        word(epoch=2**53),
        word(epoch=0),
        word(value=b"x" * 513),
        word(subject="x" * 97),
        word(origin=""),
        word(topic="no", left_s=OTHER_S + 1),
    ],
)
def test_a_word_that_nobody_can_have_meant_is_refused(bad: Word) -> None:
    core = carrier()
    assert not core.hear(0.0, 0.0, [bad]) and core.counts.refused == 1 and not core.held


def test_one_member_fills_no_topic_and_all_together_no_memory() -> None:
    core = carrier()
    core.hear(0.0, 0.0, [word("liar", subject=f"s{n}") for n in range(1000)])
    assert len(core.held) == LOAD.each
    core.hear(0.0, 0.0, [word(f"m{n}") for n in range(1000)])
    assert len(core.held) == LOAD.most
    unknown = [word(f"m{n}", topic=f"t{n % 600}") for n in range(5000)]
    core.hear(0.0, 0.0, unknown)
    assert len([name for name in core.by_topic if name not in core.topics]) <= OTHER_MOST
    core.tick(100.0, 2)
    core.tick(200.0, 2)
    assert not core.held and not core.number and not any(lane.keys for lane in core.lanes.values())


def test_a_topic_that_is_not_known_here_is_passed_on() -> None:
    core = carrier()
    core.hear(0.0, 0.0, [word(topic="newer", left_s=3.0)])
    assert [w.topic for w in core.fill(1.0, 500)] == ["newer"]


def test_a_flood_of_one_topic_does_not_starve_another() -> None:
    flood = Topic("flood", Merge.EACH, 60.0, each=2000, most=2000)
    core = carrier("me", flood, LOAD)
    core.hear(0.0, 0.0, [word("liar", subject=f"s{n}", value=b"x" * 60, topic="flood") for n in range(2000)])
    core.hear(0.0, 0.0, [word("x")])
    filled = core.fill(0.1, 600)
    assert "load" in {w.topic for w in filled} and sum(w.cost() for w in filled) <= 600
    for n in range(200):  # each new word of the small one is in the next datagram
        core.hear(1.0 + n, 1.0 + n, [word("x", 2 + n)])
        assert 2 + n in {w.epoch for w in core.fill(1.0 + n, 600) if w.topic == "load"}
    assert HEAD < 60


def test_of_two_who_say_the_last_word_the_higher_epoch_stands_whatever_the_order() -> None:
    said = [word(name, epoch, name.encode(), topic="plan") for name, epoch in (("a", 3), ("b", 4), ("c", 4))]
    for seed in range(6):
        core, order = carrier(), said[:]
        Random(seed).shuffle(order)
        core.hear(0.0, 0.0, order)
        assert [(s.origin, s.value) for s in core.read(1.0, "plan")] == [("c", b"c")]


actions = st.lists(
    st.tuples(
        st.sampled_from(
            ["say", "unsay", "cut", "one way", "heal", "pause", "wake", "restart", "slow", "lossy"]
        ),
        st.integers(0, 3),
        st.integers(0, 3),
        st.floats(0.05, 4.0),
    ),
    max_size=25,
)


@given(actions, st.integers(0, 1000))
@settings(max_examples=60, deadline=None)
def test_nothing_is_believed_past_its_end_in_any_schedule(
    plan: list[tuple[str, int, int, float]], seed: int
) -> None:
    """An auditor with the true time: what any member reads was said no longer ago than the stated bound."""
    members = MemberSimulation(seed, topics=(LOAD,), drift=DRIFT)
    names = members.start_fleet(4)
    members.run(3.0)
    said: dict[tuple[str, bytes], float] = {}  # the last moment at which its sayer stood to it
    count = 0

    def audit() -> None:
        now = members.engine.now
        for name in names:
            if members.addresses[name] in members.network.paused:
                continue
            for (origin, _), value in members.read_values(name, "load").items():
                age = now - said[origin, value]
                assert age <= Carrier.stale_s(LOAD.life_s), (name, origin, value, age)

    meant: dict[str, bytes] = {}
    for what, one, other, seconds in [*plan, ("heal", 0, 1, 8.0)]:
        name, address = names[one], members.addresses[names[one]]
        if what == "say":
            count += 1
            meant[name] = b"%d" % count
            said[name, meant[name]] = members.engine.now
            members.publish(name, "load", "s", meant[name])
        elif what == "unsay":
            members.member(name).carrier.unsay(members.now(address), "load", "s")
            meant.pop(name, None)
        elif what in ("cut", "one way") and one != other:
            members.network.cut([address], [members.addresses[names[other]]], both=what == "cut")
        elif what == "heal":
            members.network.heal()
            members.network.default_link = Link()
        elif what == "pause":
            members.pause(name)
        elif what == "wake":
            members.resume(name)
        elif what == "restart":
            members.network.paused.pop(address, None)
            members.kill(name)
            members.start(name, ("f0:7946", "f1:7946", "f2:7946"))
            meant.pop(name, None)
        elif what in ("slow", "lossy"):
            members.network.default_link = Link(
                0.0, seconds if what == "slow" else 0.1, 0.3 * (what == "lossy"), 0.2
            )
        for _ in range(max(1, int(seconds / 0.25))):
            members.run(0.25)
            for name in names:  # one who runs and still says it stands to it
                mine = members.member(name).carrier.mine.get(("load", "s"))
                if mine is not None and members.addresses[name] not in members.network.paused:
                    said[name, mine.value] = members.engine.now
            audit()


@pytest.mark.parametrize("n", [3, 30])
def test_a_word_reaches_all_within_seconds_also_through_loss(n: int) -> None:
    members = MemberSimulation(7, topics=(LOAD,))
    members.network.default_link = Link(0.0005, 0.05, 0.2, duplication=0.1)
    names = members.start_fleet(n)
    members.run_until(lambda: members.converged(names), 60)
    members.publish("f1", "load", "s", b"1")
    took = members.run_until(lambda: all(members.read_values(name, "load") for name in names), 20)
    assert took < 6
