"""The entry store: no entry is used after its expiry, whatever path it took, and no topic starves another."""

from __future__ import annotations

from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from flintlatch.lab.members import MemberSimulation
from flintlatch.lab.network import Link
from flintlatch.peers import Entry, EntryStore, Merge, Topic
from flintlatch.peers.words import (
    ENTRY_OVERHEAD_BYTES,
    HOP_TTL_FACTOR,
    MAX_CLOCK_DRIFT,
    MAX_UNKNOWN_TOPICS,
    UNKNOWN_TOPIC_TTL_S,
)

LOAD = Topic("load", Merge.PER_MEMBER, 5.0, max_per_member=4, max_entries=64)
PLAN = Topic("plan", Merge.LAST_WRITER, 5.0, max_entries=8)
SPAN = 60.0  # seconds that random schedules last


def make_store(me: str = "me", *topics: Topic) -> EntryStore:
    return EntryStore(me, topics or (LOAD, PLAN), 4)


def entry(
    origin: str = "x", epoch: int = 1, value: bytes = b"v", remaining_s: float = 5.0, **more: str
) -> Entry:
    return Entry(more.get("topic", "load"), origin, more.get("subject", "s"), epoch, value, remaining_s)


def test_the_expiry_is_counted_from_the_sending_not_from_the_receipt() -> None:
    store = make_store()
    store.receive(103.0, 100.0, [entry()])
    expires_at = 100.0 + 5.0 * HOP_TTL_FACTOR
    assert store.read(expires_at - 0.01, "load") and not store.read(expires_at, "load")
    assert not store.receive(105.0, 100.0, [entry("y")]) and store.counts.expired == 1


def test_an_expired_entry_is_not_read_even_before_it_is_removed() -> None:
    store = make_store()
    store.receive(0.0, 0.0, [entry(remaining_s=1.0)])
    assert store.read(0.9, "load") and not store.read(1.0, "load") and store.entries


def test_an_older_entry_with_a_later_expiry_does_not_return() -> None:
    store = make_store()
    store.receive(0.0, 0.0, [entry(epoch=2, remaining_s=1.0)])
    assert not store.receive(2.0, 2.0, [entry(epoch=1, value=b"old", remaining_s=5.0)])
    store.tick(2.0, 2)
    assert not store.read(2.0, "load")


def test_a_withdrawn_entry_stays_withdrawn_when_the_old_one_is_received_again() -> None:
    publisher, receiver = make_store("a"), make_store("b")
    publisher.publish(0.0, "load", "s", b"1")
    old = publisher.snapshot(0.0)
    receiver.receive(0.0, 0.0, old)
    publisher.withdraw(1.0, "load", "s")
    receiver.receive(1.0, 1.0, publisher.snapshot(1.0))
    receiver.receive(1.1, 1.0, old)
    assert not receiver.read(1.2, "load") and not publisher.read(1.2, "load")


def test_a_member_paused_for_longer_than_the_ttl_does_not_renew_its_entry() -> None:
    store = make_store()
    store.publish(0.0, "load", "s", b"1")
    store.tick(2.0, 2)
    assert store.entries["load", "me", "s"].entry.epoch == 2  # renewed
    store.tick(9.0, 2)
    assert not store.published and not store.read(9.0, "load")


def test_a_restarted_member_replaces_the_entries_of_its_previous_run() -> None:
    others = make_store("b")
    others.receive(0.0, 0.0, [entry("me", 500, b"of before")])
    restarted = make_store("me")
    restarted.publish(1.0, "load", "s", b"now")
    assert not others.receive(1.0, 1.0, restarted.snapshot(1.0))  # its epochs start from one again
    restarted.receive(1.1, 1.1, others.snapshot(1.1))
    assert others.receive(1.2, 1.2, restarted.snapshot(1.2))
    assert [read.value for read in others.read(1.2, "load")] == [b"now"]
    silent = make_store("me")  # a restarted member that does not publish it withdraws it
    silent.receive(1.1, 1.1, [entry("me", 500, b"of before")])
    late = make_store("c")
    late.receive(1.2, 1.2, [entry("me", 500, b"of before"), *silent.snapshot(1.2)])
    assert not late.read(1.3, "load")


@pytest.mark.parametrize(
    "invalid",
    [
        entry(remaining_s=5.01),  # a longer TTL than its topic allows
        entry(remaining_s=float("inf")),
        entry(remaining_s=float("nan")),
        entry(remaining_s=-1.0),
        entry(epoch=2**53),
        entry(epoch=0),
        entry(value=b"x" * 513),
        entry(subject="x" * 97),
        entry(origin=""),
        entry(topic="no", remaining_s=UNKNOWN_TOPIC_TTL_S + 1),
    ],
)
def test_an_invalid_entry_is_rejected(invalid: Entry) -> None:
    store = make_store()
    assert not store.receive(0.0, 0.0, [invalid]) and store.counts.refused == 1 and not store.entries


def test_entries_are_bounded_per_member_per_topic_and_in_total() -> None:
    store = make_store()
    store.receive(0.0, 0.0, [entry("faulty", subject=f"s{n}") for n in range(1000)])
    assert len(store.entries) == LOAD.max_per_member
    store.receive(0.0, 0.0, [entry(f"m{n}") for n in range(1000)])
    assert len(store.entries) == LOAD.max_entries
    unknown = [entry(f"m{n}", topic=f"t{n % 600}") for n in range(5000)]
    store.receive(0.0, 0.0, unknown)
    assert len([name for name in store.by_topic if name not in store.topics]) <= MAX_UNKNOWN_TOPICS
    store.tick(100.0, 2)
    store.tick(200.0, 2)
    assert (
        not store.entries
        and not store.entry_counts
        and not any(queue.keys for queue in store.queues.values())
    )


def test_entries_of_an_unknown_topic_are_passed_on() -> None:
    store = make_store()
    store.receive(0.0, 0.0, [entry(topic="newer", remaining_s=3.0)])
    assert [sent.topic for sent in store.take_for_datagram(1.0, 500)] == ["newer"]


def test_a_flood_of_one_topic_does_not_starve_another_topic() -> None:
    flood = Topic("flood", Merge.PER_MEMBER, 60.0, max_per_member=2000, max_entries=2000)
    store = make_store("me", flood, LOAD)
    store.receive(
        0.0, 0.0, [entry("faulty", subject=f"s{n}", value=b"x" * 60, topic="flood") for n in range(2000)]
    )
    store.receive(0.0, 0.0, [entry("x")])
    filled = store.take_for_datagram(0.1, 600)
    assert "load" in {sent.topic for sent in filled} and sum(sent.encoded_bytes() for sent in filled) <= 600
    for n in range(200):  # each new entry of the small topic is in the next datagram
        store.receive(1.0 + n, 1.0 + n, [entry("x", 2 + n)])
        assert 2 + n in {sent.epoch for sent in store.take_for_datagram(1.0 + n, 600) if sent.topic == "load"}
    assert ENTRY_OVERHEAD_BYTES < 60


def test_of_two_publishers_of_a_last_writer_topic_the_higher_epoch_wins_in_any_order() -> None:
    published = [
        entry(name, epoch, name.encode(), topic="plan") for name, epoch in (("a", 3), ("b", 4), ("c", 4))
    ]
    for seed in range(6):
        store, order = make_store(), published[:]
        Random(seed).shuffle(order)
        store.receive(0.0, 0.0, order)
        assert [(read.origin, read.value) for read in store.read(1.0, "plan")] == [("c", b"c")]


actions = st.lists(
    st.tuples(
        st.sampled_from(
            [
                "publish",
                "withdraw",
                "cut",
                "cut one direction",
                "heal",
                "pause",
                "resume",
                "restart",
                "slow",
                "lossy",
            ]
        ),
        st.integers(0, 3),
        st.integers(0, 3),
        st.floats(0.05, 4.0),
    ),
    max_size=25,
)


@given(actions, st.integers(0, 1000))
@settings(max_examples=60, deadline=None)
def test_no_entry_is_used_beyond_the_staleness_bound_in_any_schedule(
    plan: list[tuple[str, int, int, float]], seed: int
) -> None:
    """By true time, no entry that any member reads was last published longer ago than the stated bound."""
    members = MemberSimulation(seed, topics=(LOAD,), drift=MAX_CLOCK_DRIFT)
    names = members.start_fleet(4)
    members.run(3.0)
    last_published: dict[tuple[str, bytes], float] = {}  # true time at which the publisher last kept it up
    count = 0

    def audit() -> None:
        now = members.engine.now
        for name in names:
            if members.addresses[name] in members.network.paused:
                continue
            for (origin, _), value in members.read_values(name, "load").items():
                age = now - last_published[origin, value]
                assert age <= EntryStore.staleness_bound_s(LOAD.ttl_s), (name, origin, value, age)

    current: dict[str, bytes] = {}
    for action, one, other, seconds in [*plan, ("heal", 0, 1, 8.0)]:
        name, address = names[one], members.addresses[names[one]]
        if action == "publish":
            count += 1
            current[name] = b"%d" % count
            last_published[name, current[name]] = members.engine.now
            members.publish(name, "load", "s", current[name])
        elif action == "withdraw":
            members.member(name).entry_store.withdraw(members.now(address), "load", "s")
            current.pop(name, None)
        elif action in ("cut", "cut one direction") and one != other:
            members.network.cut([address], [members.addresses[names[other]]], both=action == "cut")
        elif action == "heal":
            members.network.heal()
            members.network.default_link = Link()
        elif action == "pause":
            members.pause(name)
        elif action == "resume":
            members.resume(name)
        elif action == "restart":
            members.network.paused.pop(address, None)
            members.kill(name)
            members.start(name, ("f0:7946", "f1:7946", "f2:7946"))
            current.pop(name, None)
        elif action in ("slow", "lossy"):
            members.network.default_link = Link(
                0.0, seconds if action == "slow" else 0.1, 0.3 * (action == "lossy"), 0.2
            )
        for _ in range(max(1, int(seconds / 0.25))):
            members.run(0.25)
            for name in names:  # a running member that still publishes an entry keeps it up
                own = members.member(name).entry_store.published.get(("load", "s"))
                if own is not None and members.addresses[name] not in members.network.paused:
                    last_published[name, own.value] = members.engine.now
            audit()


@pytest.mark.parametrize("n", [3, 30])
def test_an_entry_reaches_all_members_within_seconds_despite_loss(n: int) -> None:
    members = MemberSimulation(7, topics=(LOAD,))
    members.network.default_link = Link(0.0005, 0.05, 0.2, duplication=0.1)
    names = members.start_fleet(n)
    members.run_until(lambda: members.converged(names), 60)
    members.publish("f1", "load", "s", b"1")
    took = members.run_until(lambda: all(members.read_values(name, "load") for name in names), 20)
    assert took < 6
