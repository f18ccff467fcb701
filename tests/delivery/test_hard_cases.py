"""Relays that die, stand still, are cut off, differ; all at once; the origin from nothing."""

from __future__ import annotations

from typing import Any

import pytest

from flintlatch.delivery import subscriber
from flintlatch.delivery.model import ObjectChange, Place, Rules
from tests.delivery.reference import (
    OBJECTS,
    Fleet,
    changed,
    held_by,
    most_served,
    served_by,
    settled,
    snapshots,
)

# One relay


@pytest.mark.parametrize("seed", range(3))
def test_a_relay_is_killed_and_changes_alone_are_sent_by_others(seed: int) -> None:
    fleet = settled(seed=seed)
    fleet.lab.kill(most_served(fleet))
    changed(fleet, "new")
    assert fleet.settle(10) <= fleet.rules.staleness_s(1, 0.0)
    assert snapshots(fleet) == 0


def test_a_relay_paused_for_long_wakes_with_old_frames_and_nobody_goes_back() -> None:
    fleet = settled()
    one = most_served(fleet)
    its = served_by(fleet, one)
    changed(fleet, "old")  # on its way to the relay
    fleet.lab.pause(one)
    fleet.run(30)
    assert fleet.right() and not served_by(fleet, one)
    changed(fleet, "newer")
    fleet.settle()
    fleet.lab.resume(one)
    for _ in range(100):
        fleet.run(0.1)
        fleet.watch.check_all()
        assert fleet.right()
    assert all(fleet.core(name).counts["lost: fell silent"] == 1 for name in its)
    assert fleet.core(one).store.revision == fleet.origin.store.revision


def test_a_proxy_paused_for_long_wakes_with_old_frames_and_does_not_go_back() -> None:
    fleet = settled()
    changed(fleet, "old")
    fleet.lab.pause("p0")
    fleet.run(40)
    for n in range(5):
        changed(fleet, f"newer {n}")
        fleet.run(1)
    assert not fleet.exact("p0")
    fleet.lab.resume("p0")
    for _ in range(50):
        fleet.run(0.1)
        fleet.watch.check_all()
    assert fleet.right()


@pytest.mark.parametrize("up", [True, False])
def test_a_relay_cut_off_one_way_from_its_subscribers_is_left(up: bool) -> None:
    fleet = settled()
    one = most_served(fleet)
    its = served_by(fleet, one)
    fleet.lab.cut(*((its, [one]) if up else ([one], its)), both=False)
    changed(fleet, "new")
    assert fleet.settle(10) <= fleet.rules.staleness_s(1, 0.0)
    fleet.run(6)
    assert not set(served_by(fleet, one)) & set(its)
    changed(fleet, "newer")
    fleet.lab.heal()
    fleet.settle(3)
    fleet.run(5)
    fleet.watch.check_all()
    assert fleet.right()


@pytest.mark.parametrize("up", [True, False])
def test_a_relay_cut_off_one_way_from_its_origin_is_left_for_one_that_is_not(up: bool) -> None:
    fleet = settled()
    one = most_served(fleet)
    its = served_by(fleet, one)
    fleet.lab.cut(*(([one], ["origin"]) if up else (["origin"], [one])), both=False)
    changed(fleet, "new")
    fleet.run(2)
    assert all(fleet.exact(name) is up for name in its)  # what comes down is used while it comes
    fleet.run(2 * fleet.rules.stale_s)
    assert fleet.right() and fleet.young() and not served_by(fleet, one)
    changed(fleet, "newer")
    fleet.settle(2)
    fleet.lab.heal()
    fleet.until(lambda: fleet.core(one).store.revision == fleet.origin.store.revision, 10)


def test_the_relay_that_is_behind_is_not_used() -> None:
    fleet = settled(relays=2, rules=Rules(stale_s=1000.0))  # nobody leaves one for its age
    one = fleet.relay_of("p0")
    other = "relay1" if one == "relay0" else "relay0"
    fleet.lab.cut([other], ["origin"])
    its = served_by(fleet, one)
    changed(fleet, "new")
    fleet.until(lambda: fleet.right(*its), 5)
    fleet.lab.kill(one)
    fleet.run(20)
    fleet.watch.check_all()
    assert fleet.right(*its), "it went back"
    assert all(fleet.core(name).counts["lost: behind"] >= 3 for name in its)
    assert not set(served_by(fleet, other)) & set(its)
    changed(fleet, "newer")
    fleet.lab.heal()
    fleet.settle(15)


# All of them


def test_all_relays_restart_at_once_and_what_has_not_changed_is_not_sent_again() -> None:
    fleet = settled()
    before = {name: fleet.lab.hosts[name].received_bytes for name in fleet.names}
    for name in fleet.places:
        fleet.lab.kill(name)
        fleet.start(name)
    fleet.put("s2", n3="new")
    fleet.settle(10)
    fleet.run(5)
    for name in fleet.names:
        sent = {one: count for (to, one, _), count in fleet.wire.objects.items() if to == name}
        assert sent == ({"s2": 1} if "s2" in fleet.names[name] else {})
        assert fleet.lab.hosts[name].received_bytes - before[name] < 2500  # of 5 kB that it holds


def test_with_no_relay_all_serve_on_know_their_age_and_say_so_once() -> None:
    fleet = settled()
    for name in fleet.places:
        fleet.lab.kill(name)
    died = fleet.now
    before = {name: held_by(fleet.core(name)) for name in fleet.names}
    changed(fleet, "unheard")
    fleet.run(60)
    for name in fleet.names:
        core = fleet.core(name)
        assert held_by(core) == before[name]
        assert fleet.now - died <= core.age(fleet.now) < fleet.now - died + 2
        assert core.counts["lost: closed"] > 5
        assert [text for text in fleet.told(name) if "no relay with news" in text] == fleet.told(name)
        assert len(fleet.told(name)) == 1
    fleet.watch.check_all()
    for name in fleet.places:
        fleet.start(name)
    fleet.settle(10)
    fleet.run(3)
    assert fleet.young(2)
    assert all(len(fleet.told(name)) == 2 and "again" in fleet.told(name)[1] for name in fleet.names)


def test_attempts_without_a_relay_are_bounded() -> None:
    fleet = settled(proxies=1)
    for name in fleet.places:
        fleet.lab.kill(name)
    before = fleet.core("p0").number
    fleet.run(120)
    least, most = fleet.rules.retry_s
    assert 120 / most / 2 < fleet.core("p0").number - before < 120 / most * 2 + 6


def test_an_object_gone_that_a_relay_never_held_is_gone_for_those_who_did() -> None:
    """It stood still while the object came and went, and knows of it by name only."""
    fleet = settled(relays=2, proxies=1)
    one = fleet.relay_of("p0")
    other = "relay1" if one == "relay0" else "relay0"
    fleet.follow("p0", "short")
    fleet.run(1)
    fleet.lab.cut([other], ["origin"])
    fleet.put("short", n="x")
    fleet.settle(2)
    fleet.lab.kill(one)
    fleet.commit(ObjectChange("short", gone=True))
    fleet.run(4)
    fleet.lab.heal()
    fleet.settle(10)


def test_a_part_that_was_cut_off_comes_together_with_what_has_changed() -> None:
    fleet = Fleet(5, relays=4, regions=2)
    fleet.commit(*(ObjectChange(name, {"n1": b"x", "n2": b"x"}) for name in OBJECTS))
    for n in range(4):
        fleet.proxy(f"p{n}", *OBJECTS, region=n % 2)
    fleet.settle()
    fleet.run(2)
    part = [name for name in fleet.lab.hosts if name in ("relay1", "relay3", "p1", "p3")]
    rest = [name for name in fleet.lab.hosts if name not in part]
    fleet.lab.cut(part, rest)
    for n in range(40):
        fleet.commit(
            ObjectChange("s1", {"n1": f"{n}".encode()}),
            ObjectChange(f"s{n % 12}", gone=True)
            if n % 3 == 2 and n % 12 != 1
            else ObjectChange("s1", {"m": b""}),
            ObjectChange(f"s{(n + 1) % 12}", {f"m{n}": b"x"}),
        )
        fleet.run(0.5)
        fleet.watch.check_all()
    fleet.run(1)
    assert fleet.right("p0", "p2") and not fleet.right("p1")
    assert all(20 <= fleet.core(name).age(fleet.now) < 23 for name in ("p1", "p3"))
    fleet.lab.heal()
    fleet.settle(15)
    assert all(len(fleet.told(name)) <= 2 for name in fleet.names)


# The origin


@pytest.mark.parametrize("first", [None, 0], ids=["by the clock", "from nothing"])
def test_an_origin_that_was_restarted_goes_on_above_what_relays_hold(first: int | None) -> None:
    fleet = settled()
    for n in range(20):
        changed(fleet, f"{n}")
    fleet.settle()
    held = fleet.core("relay0").store.revision
    fleet.wanted["s3"] = {"n1": b"other"}
    del fleet.wanted["s4"]
    fleet.watch.history.moments.clear()
    fleet.watch.history.revisions.clear()
    fleet.restart_origin(first)
    went_back = fleet.origin.store.revision < held
    assert went_back is (first == 0)
    fleet.run(3)
    assert fleet.origin.store.revision > held
    assert any("going on from" in text for text in fleet.told("origin")) is went_back
    changed_at = fleet.origin.store.revision
    fleet.put("s5", n1="after")
    assert fleet.origin.store.revision == changed_at + 1
    fleet.settle(10)
    assert "s4" not in fleet.core("relay0").store.objects


def test_a_relay_that_is_ahead_of_the_one_heard_first_is_not_left_with_what_it_holds() -> None:
    """It holds revisions of the old life that the new one would otherwise use for other changes."""
    fleet = settled(relays=2, watched=False)
    for n in range(5):
        fleet.put("s1", n3=f"older {n}")
    fleet.run(1)
    fleet.lab.cut(["relay0"], ["origin"])
    for stream in list(fleet.lab.hosts["relay0"].upstream_sessions.values()):
        fleet.lab.reset(stream)
    for n in range(10):
        fleet.put("s1", n3=f"old {n}")
    fleet.run(1)
    ahead = fleet.core("relay1").store.revision
    assert ahead > fleet.core("relay0").store.revision > 1
    fleet.lab.heal()
    fleet.lab.cut(["relay1"], ["origin"])
    fleet.wanted["s1"] = {"n3": b"new"}
    fleet.restart_origin(0)
    fleet.run(6)
    for n in range(20):  # past the revision that the other holds
        fleet.put("s2", n3=f"new {n}")
    assert fleet.origin.store.revision > ahead
    fleet.run(1)
    fleet.lab.heal()
    fleet.settle(20)
    fleet.until(lambda: fleet.core("relay1").store.objects["s1"].items == {"n3": b"new"}, 10)


def test_an_origin_that_knows_nothing_yet_empties_nobody() -> None:
    fleet = settled()
    fleet.lab.kill("origin")
    fleet.origin = fleet.lab.origin(Place("origin"))
    fleet.run(20)
    assert fleet.right()
    assert fleet.core("relay0").counts["lost: behind"] > 0
    fleet.put("s1", n3="new")
    fleet.load()
    fleet.settle(10)


# Names


def test_a_subscription_of_many_messages_is_not_torn_when_it_is_resumed() -> None:
    names = [f"s{n}" for n in range(600)]
    fleet = Fleet(2, relays=2)
    fleet.commit(*(ObjectChange(name, {"n": b"x"}) for name in names))
    fleet.proxy("p", *names)
    fleet.settle()
    fleet.run(2)
    fleet.lab.cut(["p"], fleet.places)
    fleet.commit(*(ObjectChange(names[n], {"n": b"y"}) for n in (0, 300, 599)))
    fleet.run(8)
    fleet.put("s1", n="z")
    fleet.lab.heal()
    forces: list[Any] = []
    fleet.watch.told.append(lambda now, name, action: forces.append(action))
    fleet.settle(10)
    first = next(a for a in forces if isinstance(a, subscriber.Changed))
    assert {c.name for c in first.changes} == {"s0", "s1", "s300", "s599"}


def test_a_name_left_and_followed_again_while_a_delta_is_on_its_way_is_no_fault() -> None:
    fleet = settled(proxies=1)
    for n in range(40):
        changed(fleet, f"{n}")
        fleet.run(0.013 * (n % 19))
        fleet.unfollow("p0", "s0", "s3")
        fleet.follow("p0", "s0", "s3")
        fleet.watch.check_all()
        fleet.run(0.1)
    fleet.settle()
    assert not [why for why in fleet.core("p0").counts if why.startswith("refused")]


def test_a_name_of_which_there_is_nothing_is_answered_and_comes_when_it_is_made() -> None:
    fleet = settled(proxies=1)
    absent: list[str] = []
    fleet.watch.told.append(
        lambda now, name, action: (
            absent.extend(action.names) if isinstance(action, subscriber.Absent) else None
        )
    )
    fleet.follow("p0", "nowhere")
    fleet.run(1)
    assert absent == ["nowhere"] and fleet.core("p0").ready()
    fleet.put("nowhere", n="now")
    fleet.settle(2)
    fleet.commit(ObjectChange("nowhere", gone=True))
    fleet.settle(2)
    assert absent == ["nowhere"] * 2
    fleet.put("nowhere", n="again")
    fleet.settle(2)


def test_a_thousand_items_taken_away_at_once_fit_into_the_credit() -> None:
    fleet = Fleet(1, relays=1)
    names = [f"10.20.{n // 256}.{n % 256}:8080" + "-" * 20 for n in range(5000)]
    fleet.commit(ObjectChange("s", dict.fromkeys(names, b"")))
    fleet.proxy("p", "s")
    fleet.settle()
    fleet.run(2)
    fleet.wire.clear()
    fleet.commit(ObjectChange("s", removed=tuple(names[:2500])))
    fleet.settle(10)
    assert snapshots(fleet) == 0
