"""Relays that crash, hang, are partitioned or lag behind; all of them at once; restarts of the origin."""

from __future__ import annotations

from typing import Any

import pytest

from flintlatch.delivery import subscriber
from flintlatch.delivery.model import ObjectChange, Participant, Rules
from tests.delivery.reference import (
    OBJECTS,
    Fleet,
    busiest_relay,
    change_all,
    followers_of,
    settled_fleet,
    snapshots_to_proxies,
    state_of,
)

# One relay


@pytest.mark.parametrize("seed", range(3))
def test_after_a_relay_crash_the_others_send_deltas_only(seed: int) -> None:
    fleet = settled_fleet(seed=seed)
    fleet.lab.kill(busiest_relay(fleet))
    change_all(fleet, "new")
    assert fleet.settle(10) <= fleet.rules.staleness_bound_s(1, 0.0)
    assert snapshots_to_proxies(fleet) == 0


def test_frames_buffered_in_a_paused_relay_take_no_subscriber_back() -> None:
    fleet = settled_fleet()
    lost = busiest_relay(fleet)
    affected = followers_of(fleet, lost)
    change_all(fleet, "old")  # still in flight to the relay when it is paused
    fleet.lab.pause(lost)
    fleet.run(30)
    assert fleet.converged() and not followers_of(fleet, lost)
    change_all(fleet, "newer")
    fleet.settle()
    fleet.lab.resume(lost)
    for _ in range(100):
        fleet.run(0.1)
        fleet.watch.check_all()
        assert fleet.converged()
    assert all(fleet.subscriber(name).counts["lost: fell silent"] == 1 for name in affected)
    assert fleet.subscriber(lost).store.revision == fleet.origin.store.revision


def test_frames_buffered_in_a_paused_proxy_do_not_take_it_back() -> None:
    fleet = settled_fleet()
    change_all(fleet, "old")
    fleet.lab.pause("p0")
    fleet.run(40)
    for n in range(5):
        change_all(fleet, f"newer {n}")
        fleet.run(1)
    assert not fleet.has_wanted_state("p0")
    fleet.lab.resume("p0")
    for _ in range(50):
        fleet.run(0.1)
        fleet.watch.check_all()
    assert fleet.converged()


@pytest.mark.parametrize("upwards", [True, False])
def test_subscribers_leave_a_relay_that_is_cut_off_in_one_direction(upwards: bool) -> None:
    fleet = settled_fleet()
    lost = busiest_relay(fleet)
    affected = followers_of(fleet, lost)
    fleet.lab.cut(*((affected, [lost]) if upwards else ([lost], affected)), both=False)
    change_all(fleet, "new")
    assert fleet.settle(10) <= fleet.rules.staleness_bound_s(1, 0.0)
    fleet.run(6)
    assert not set(followers_of(fleet, lost)) & set(affected)
    change_all(fleet, "newer")
    fleet.lab.heal()
    fleet.settle(3)
    fleet.run(5)
    fleet.watch.check_all()
    assert fleet.converged()


@pytest.mark.parametrize("upwards", [True, False])
def test_subscribers_leave_a_relay_that_is_cut_off_from_the_origin_in_one_direction(upwards: bool) -> None:
    fleet = settled_fleet()
    lost = busiest_relay(fleet)
    affected = followers_of(fleet, lost)
    fleet.lab.cut(*(([lost], ["origin"]) if upwards else (["origin"], [lost])), both=False)
    change_all(fleet, "new")
    fleet.run(2)
    # While only the way up is cut, changes still arrive and are applied.
    assert all(fleet.has_wanted_state(name) is upwards for name in affected)
    fleet.run(2 * fleet.rules.stale_s)
    assert fleet.converged() and fleet.is_fresh() and not followers_of(fleet, lost)
    change_all(fleet, "newer")
    fleet.settle(2)
    fleet.lab.heal()
    fleet.run_until(lambda: fleet.subscriber(lost).store.revision == fleet.origin.store.revision, 10)


def test_a_relay_that_lags_behind_is_not_used() -> None:
    fleet = settled_fleet(relays=2, rules=Rules(stale_s=1000.0))  # no subscriber leaves a relay for its age
    current = fleet.relay_of("p0")
    other = "relay1" if current == "relay0" else "relay0"
    fleet.lab.cut([other], ["origin"])
    affected = followers_of(fleet, current)
    change_all(fleet, "new")
    fleet.run_until(lambda: fleet.converged(*affected), 5)
    fleet.lab.kill(current)
    fleet.run(20)
    fleet.watch.check_all()
    assert fleet.converged(*affected), "a subscriber went back"
    assert all(fleet.subscriber(name).counts["lost: behind"] >= 3 for name in affected)
    assert not set(followers_of(fleet, other)) & set(affected)
    change_all(fleet, "newer")
    fleet.lab.heal()
    fleet.settle(15)


# All relays


def test_after_a_restart_of_all_relays_only_changed_objects_are_sent() -> None:
    fleet = settled_fleet()
    before = {name: fleet.lab.hosts[name].received_bytes for name in fleet.names}
    for name in fleet.relays:
        fleet.lab.kill(name)
        fleet.start(name)
    fleet.put("s2", n3="new")
    fleet.settle(10)
    fleet.run(5)
    for name in fleet.names:
        sent = {obj: count for (target, obj, _), count in fleet.wire.objects.items() if target == name}
        assert sent == ({"s2": 1} if "s2" in fleet.names[name] else {})
        assert fleet.lab.hosts[name].received_bytes - before[name] < 2500  # it holds 5 kB


def test_without_relays_proxies_keep_their_state_know_its_age_and_log_once() -> None:
    fleet = settled_fleet()
    for name in fleet.relays:
        fleet.lab.kill(name)
    killed_at = fleet.now
    before = {name: state_of(fleet.subscriber(name)) for name in fleet.names}
    change_all(fleet, "unheard")
    fleet.run(60)
    for name in fleet.names:
        core = fleet.subscriber(name)
        assert state_of(core) == before[name]
        assert fleet.now - killed_at <= core.age(fleet.now) < fleet.now - killed_at + 2
        assert core.counts["lost: closed"] > 5
        assert [text for text in fleet.log_lines(name) if "no relay with news" in text] == fleet.log_lines(
            name
        )
        assert len(fleet.log_lines(name)) == 1
    fleet.watch.check_all()
    for name in fleet.relays:
        fleet.start(name)
    fleet.settle(10)
    fleet.run(3)
    assert fleet.is_fresh(2)
    assert all(
        len(fleet.log_lines(name)) == 2 and "again" in fleet.log_lines(name)[1] for name in fleet.names
    )


def test_the_rate_of_connection_attempts_is_bounded() -> None:
    fleet = settled_fleet(proxies=1)
    for name in fleet.relays:
        fleet.lab.kill(name)
    before = fleet.subscriber("p0").last_session_number
    fleet.run(120)
    _, longest_s = fleet.rules.retry_s
    assert 120 / longest_s / 2 < fleet.subscriber("p0").last_session_number - before < 120 / longest_s * 2 + 6


def test_a_relay_reports_the_deletion_of_an_object_that_it_never_held() -> None:
    """The relay was cut off while the object was created and deleted, and only learns of the deletion."""
    fleet = settled_fleet(relays=2, proxies=1)
    current = fleet.relay_of("p0")
    other = "relay1" if current == "relay0" else "relay0"
    fleet.follow("p0", "short")
    fleet.run(1)
    fleet.lab.cut([other], ["origin"])
    fleet.put("short", n="x")
    fleet.settle(2)
    fleet.lab.kill(current)
    fleet.commit(ObjectChange("short", deleted=True))
    fleet.run(4)
    fleet.lab.heal()
    fleet.settle(10)


def test_a_healed_partition_receives_all_changes() -> None:
    fleet = Fleet(5, relays=4, regions=2)
    fleet.commit(*(ObjectChange(name, {"n1": b"x", "n2": b"x"}) for name in OBJECTS))
    for n in range(4):
        fleet.proxy(f"p{n}", *OBJECTS, region=n % 2)
    fleet.settle()
    fleet.run(2)
    isolated = [name for name in fleet.lab.hosts if name in ("relay1", "relay3", "p1", "p3")]
    rest = [name for name in fleet.lab.hosts if name not in isolated]
    fleet.lab.cut(isolated, rest)
    for n in range(40):
        fleet.commit(
            ObjectChange("s1", {"n1": f"{n}".encode()}),
            ObjectChange(f"s{n % 12}", deleted=True)
            if n % 3 == 2 and n % 12 != 1
            else ObjectChange("s1", {"m": b""}),
            ObjectChange(f"s{(n + 1) % 12}", {f"m{n}": b"x"}),
        )
        fleet.run(0.5)
        fleet.watch.check_all()
    fleet.run(1)
    assert fleet.converged("p0", "p2") and not fleet.converged("p1")
    assert all(20 <= fleet.subscriber(name).age(fleet.now) < 23 for name in ("p1", "p3"))
    fleet.lab.heal()
    fleet.settle(15)
    assert all(len(fleet.log_lines(name)) <= 2 for name in fleet.names)


# The origin


@pytest.mark.parametrize("first", [None, 0], ids=["from the clock", "from zero"])
def test_a_restarted_origin_continues_above_the_revision_of_its_relays(first: int | None) -> None:
    fleet = settled_fleet()
    for n in range(20):
        change_all(fleet, f"{n}")
    fleet.settle()
    held = fleet.subscriber("relay0").store.revision
    fleet.wanted["s3"] = {"n1": b"other"}
    del fleet.wanted["s4"]
    fleet.watch.history.moments.clear()
    fleet.watch.history.revisions.clear()
    fleet.restart_origin(first)
    went_back = fleet.origin.store.revision < held
    assert went_back is (first == 0)
    fleet.run(3)
    assert fleet.origin.store.revision > held
    assert any("going on from" in text for text in fleet.log_lines("origin")) is went_back
    before = fleet.origin.store.revision
    fleet.put("s5", n1="after")
    assert fleet.origin.store.revision == before + 1
    fleet.settle(10)
    assert "s4" not in fleet.subscriber("relay0").store.objects


def test_a_relay_ahead_of_the_first_one_to_reconnect_is_brought_up_to_date() -> None:
    """It holds revisions of the origin's earlier run. If the new run used them for other changes, the relay
    would miss those changes."""
    fleet = settled_fleet(relays=2, watched=False)
    for n in range(5):
        fleet.put("s1", n3=f"older {n}")
    fleet.run(1)
    fleet.lab.cut(["relay0"], ["origin"])
    for stream in list(fleet.lab.hosts["relay0"].upstream_sessions.values()):
        fleet.lab.reset(stream)
    for n in range(10):
        fleet.put("s1", n3=f"old {n}")
    fleet.run(1)
    ahead = fleet.subscriber("relay1").store.revision
    assert ahead > fleet.subscriber("relay0").store.revision > 1
    fleet.lab.heal()
    fleet.lab.cut(["relay1"], ["origin"])
    fleet.wanted["s1"] = {"n3": b"new"}
    fleet.restart_origin(0)
    fleet.run(6)
    for n in range(20):  # past the revision that relay1 holds
        fleet.put("s2", n3=f"new {n}")
    assert fleet.origin.store.revision > ahead
    fleet.run(1)
    fleet.lab.heal()
    fleet.settle(20)
    fleet.run_until(lambda: fleet.subscriber("relay1").store.objects["s1"].items == {"n3": b"new"}, 10)


def test_an_origin_without_a_commit_does_not_delete_objects() -> None:
    fleet = settled_fleet()
    fleet.lab.kill("origin")
    fleet.origin = fleet.lab.origin(Participant("origin"))
    fleet.run(20)
    assert fleet.converged()
    assert fleet.subscriber("relay0").counts["lost: behind"] > 0
    fleet.put("s1", n3="new")
    fleet.load()
    fleet.settle(10)


# Names


def test_a_subscription_of_several_messages_is_resumed_with_one_consistent_batch() -> None:
    names = [f"s{n}" for n in range(600)]
    fleet = Fleet(2, relays=2)
    fleet.commit(*(ObjectChange(name, {"n": b"x"}) for name in names))
    fleet.proxy("p", *names)
    fleet.settle()
    fleet.run(2)
    fleet.lab.cut(["p"], fleet.relays)
    fleet.commit(*(ObjectChange(names[n], {"n": b"y"}) for n in (0, 300, 599)))
    fleet.run(8)
    fleet.put("s1", n="z")
    fleet.lab.heal()
    actions: list[Any] = []
    fleet.watch.listeners.append(lambda now, name, action: actions.append(action))
    fleet.settle(10)
    first = next(a for a in actions if isinstance(a, subscriber.Changed))
    assert {c.name for c in first.changes} == {"s0", "s1", "s300", "s599"}


def test_unfollowing_and_following_again_during_a_delta_causes_no_refusal() -> None:
    fleet = settled_fleet(proxies=1)
    for n in range(40):
        change_all(fleet, f"{n}")
        fleet.run(0.013 * (n % 19))
        fleet.unfollow("p0", "s0", "s3")
        fleet.follow("p0", "s0", "s3")
        fleet.watch.check_all()
        fleet.run(0.1)
    fleet.settle()
    assert not [key for key in fleet.subscriber("p0").counts if key.startswith("refused")]


def test_an_absent_name_is_reported_and_arrives_once_it_is_created() -> None:
    fleet = settled_fleet(proxies=1)
    absent: list[str] = []
    fleet.watch.listeners.append(
        lambda now, name, action: (
            absent.extend(action.names) if isinstance(action, subscriber.Absent) else None
        )
    )
    fleet.follow("p0", "nowhere")
    fleet.run(1)
    assert absent == ["nowhere"] and fleet.subscriber("p0").ready()
    fleet.put("nowhere", n="now")
    fleet.settle(2)
    fleet.commit(ObjectChange("nowhere", deleted=True))
    fleet.settle(2)
    assert absent == ["nowhere"] * 2
    fleet.put("nowhere", n="again")
    fleet.settle(2)


def test_thousands_of_removed_items_fit_into_the_credit() -> None:
    fleet = Fleet(1, relays=1)
    names = [f"10.20.{n // 256}.{n % 256}:8080" + "-" * 20 for n in range(5000)]
    fleet.commit(ObjectChange("s", dict.fromkeys(names, b"")))
    fleet.proxy("p", "s")
    fleet.settle()
    fleet.run(2)
    fleet.wire.clear()
    fleet.commit(ObjectChange("s", removed=tuple(names[:2500])))
    fleet.settle(10)
    assert snapshots_to_proxies(fleet) == 0
