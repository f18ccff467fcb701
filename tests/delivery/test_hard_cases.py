"""Relays that die, stand still, are cut off, differ; all at once; the origin from nothing."""

from __future__ import annotations

from collections import Counter
from typing import Any

import pytest

from flintlatch.delivery import relay, subscriber
from flintlatch.delivery.model import Begin, Credit, Kind, Message, ObjectChange, Place, Pong, Rules, size_of
from flintlatch.lab.delivery import RelayHost, Stream
from tests.delivery.reference import Fleet, held_by

OBJECTS = tuple(f"s{n}" for n in range(12))


def settled(
    relays: int = 3, seed: int = 1, rules: Rules | None = None, proxies: int = 4, watched: bool = True
) -> Fleet:
    fleet = Fleet(seed, relays=relays, rules=rules, watched=watched)
    fleet.commit(*(ObjectChange(name, {f"n{k}": b"x" * 50 for k in range(8)}) for name in OBJECTS))
    for n in range(proxies):
        fleet.proxy(f"p{n}", *OBJECTS[n : n + 6])
    fleet.settle()
    fleet.run(3)
    fleet.wire.clear()
    for name in (*fleet.names, *fleet.places):
        fleet.core(name).counts.clear()
    return fleet


def served_by(fleet: Fleet, name: str) -> list[str]:
    return [one for one in fleet.names if fleet.core(one).main and fleet.relay_of(one) == name]


def most_served(fleet: Fleet) -> str:
    return Counter(fleet.relay_of(name) for name in fleet.names).most_common(1)[0][0]


def changed(fleet: Fleet, value: str) -> None:
    fleet.commit(*(ObjectChange(name, {"n3": value.encode()}) for name in OBJECTS))


def snapshots(fleet: Fleet) -> int:
    return sum(
        count for (to, kind), count in fleet.wire.parts.items() if kind is Kind.SNAPSHOT and to[0] == "p"
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
    fleet.lab.wake(one)
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
    fleet.lab.wake("p0")
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
    before = {name: fleet.lab.hosts[name].got_bytes for name in fleet.names}
    for name in fleet.places:
        fleet.lab.kill(name)
        fleet.start(name)
    fleet.put("s2", n3="new")
    fleet.settle(10)
    fleet.run(5)
    for name in fleet.names:
        sent = {one: count for (to, one, _), count in fleet.wire.objects.items() if to == name}
        assert sent == ({"s2": 1} if "s2" in fleet.names[name] else {})
        assert fleet.lab.hosts[name].got_bytes - before[name] < 2500  # of 5 kB that it holds


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
    for stream in list(fleet.lab.hosts["relay0"].above.values()):
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


# Age, while changes never end


def test_changes_without_end_do_not_make_anyone_think_that_it_is_stale() -> None:
    fleet = settled()
    ages = []
    for n in range(400):
        changed(fleet, f"{n}")
        fleet.run(0.05)
        ages += [fleet.core(name).age(fleet.now) for name in (*fleet.names, *fleet.places)]
        if n % 10 == 0:
            fleet.watch.check_all()
    assert max(ages) < 2 * (fleet.rules.ping_s + fleet.rules.gather_s + 0.25)
    assert not fleet.lab.told
    assert all(not [why for why in fleet.core(name).counts if why.startswith("lost")] for name in fleet.names)


# Bounds


def minute_bound_holds(fleet: Fleet, step: float, series: dict[str, list[int]]) -> float:
    """The most bytes to one subscriber in any minute."""
    width = round(60 / step)
    worst = 0
    for values in series.values():
        worst = max(worst, *(b - a for a, b in zip(values, values[width:], strict=False)))
    assert worst <= fleet.rules.minute_bytes()
    return worst


TIGHT = Rules(rate=500.0, burst=60_000.0, window=40_000.0)


def test_the_bytes_of_a_minute_are_bounded_while_relays_flap() -> None:
    fleet = settled(rules=TIGHT)
    series: dict[str, list[int]] = {name: [] for name in fleet.names}
    for n in range(1000):
        if n % 3 == 0:
            fleet.commit(*(ObjectChange(s, {f"n{n % 8}": fleet.lab.rng.randbytes(700)}) for s in OBJECTS))
        if n % 30 == 10:
            fleet.lab.kill(f"relay{n // 30 % 3}")
        if n % 30 == 20:
            fleet.start(f"relay{n // 30 % 3}")
        fleet.run(0.1)
        for name in fleet.names:
            series[name].append(fleet.lab.hosts[name].got_bytes)
    worst = minute_bound_holds(fleet, 0.1, series)
    assert worst > 0.5 * TIGHT.minute_bytes()  # it was put to the test
    for name in fleet.places:
        if not fleet.lab.hosts[name].up:
            fleet.start(name)
    fleet.settle(200)  # 33 kB at the rate, and what is left of them


def test_the_bytes_of_a_minute_are_bounded_after_a_quiet_hour() -> None:
    """What was granted long ago and what was saved since come together."""
    fleet = settled(relays=1, rules=TIGHT, proxies=1)
    fleet.run(300)
    series: dict[str, list[int]] = {"p0": [fleet.lab.hosts["p0"].got_bytes]}
    for n in range(700):
        if n % 2 == 0:
            fleet.commit(*(ObjectChange(s, {f"n{n % 8}": fleet.lab.rng.randbytes(1000)}) for s in OBJECTS))
        fleet.run(0.1)
        series["p0"].append(fleet.lab.hosts["p0"].got_bytes)
    worst = minute_bound_holds(fleet, 0.1, series)
    assert worst > 0.9 * TIGHT.minute_bytes()
    assert fleet.core("p0").counts["lost: sends nothing"] == 0


@pytest.mark.parametrize("dead", [0, 3])
@pytest.mark.parametrize("how", ["kill", "pause"])
def test_a_change_is_in_force_within_the_bound(dead: int, how: str) -> None:
    worst = 0.0
    for seed in range(4):
        fleet = settled(relays=6, seed=seed, proxies=3, rules=Rules(return_s=5.0))
        mine = fleet.core("p0").choices
        fleet.until(lambda fleet=fleet, mine=mine: fleet.relay_of("p0") == mine[0].name, 100)  # type: ignore[misc]
        fleet.run(seed * 0.3)
        for place in mine[:dead]:
            (fleet.lab.kill if how == "kill" else fleet.lab.pause)(place.name)
        changed(fleet, "new")
        worst = max(worst, fleet.until(lambda fleet=fleet: fleet.right("p0"), 60, step=0.02))  # type: ignore[misc]
    assert worst <= Rules().staleness_s(dead, 0.0)
    assert dead == 0 or how == "kill" or worst > Rules().silence_s  # it was put to the test


# Slow subscribers


def queue_of(fleet: Fleet, name: str) -> tuple[relay.Relay, relay.Session]:
    host = fleet.lab.hosts[fleet.relay_of(name)]
    assert isinstance(host, RelayHost)
    one = host.node.relay
    return one, next(s for s in one.sessions.values() if s.name == name)


def test_a_subscriber_that_reads_slowly_costs_names_only_and_catches_up() -> None:
    fleet = settled(proxies=1)
    one, session = queue_of(fleet, "p0")
    one.step(fleet.now, relay.Paused(session.number))
    at = session.credit
    for n in range(300):
        changed(fleet, f"{n}")
        fleet.run(0.02)
        assert set(session.dirty) <= set(fleet.names["p0"]) and session.plan is None
    fleet.run(1)
    assert session.credit == at and not fleet.exact("p0")
    fleet.wire.clear()
    host = fleet.lab.hosts[fleet.relay_of("p0")]
    host.from_below(relay.Drained(session.number))
    fleet.settle(1)
    assert fleet.wire.sent["p0", Begin] == 1 and fleet.wire.parts["p0", Kind.DELTA] == 6


def test_a_subscriber_that_grants_nothing_costs_names_only_and_catches_up() -> None:
    fleet = settled(proxies=1)
    deaf = [True]

    def alter(stream: Stream, to: str, message: Message) -> list[Message]:
        return [] if deaf[0] and isinstance(message, Credit) and stream.below == "p0" else [message]

    fleet.wire.alter = alter
    one, session = queue_of(fleet, "p0")
    sent = 0
    for _ in range(80):
        big = {f"n{k}": fleet.lab.rng.randbytes(1500) for k in range(8)}
        fleet.commit(*(ObjectChange(name, big) for name in OBJECTS))
        fleet.run(0.1)
        assert set(session.dirty) <= set(fleet.names["p0"])
        sent = sum(c for (to, _), c in fleet.wire.parts.items() if to == "p0")
    assert session.credit < fleet.rules.part_bytes + 2000 and sent < 10
    assert session.number not in one.busy
    deaf[0] = False
    fleet.settle(30)


def test_a_flood_of_changes_while_a_batch_is_on_its_way_keeps_the_batch_whole() -> None:
    """Objects are replaced, never altered: what is sent late is what it was when the batch began."""
    rules = Rules(rate=20_000.0, burst=45_000.0, window=40_000.0)
    fleet = settled(relays=1, rules=rules, proxies=2)
    for _ in range(60):
        big = {f"n{k}": fleet.lab.rng.randbytes(1200) for k in range(8)}
        fleet.commit(*(ObjectChange(name, big) for name in OBJECTS))
        fleet.run(0.25)
        fleet.watch.check_all()
    fleet.settle(60)
    assert fleet.core("p0").counts["batches"] > 3
    assert not [why for why in fleet.core("p0").counts if why.startswith(("refused", "lost"))]


def test_a_first_snapshot_that_takes_long_is_not_told_as_a_lack_of_relays() -> None:
    fleet = Fleet(1, relays=2, rules=Rules(rate=1000.0, burst=30_000.0, window=20_000.0))
    fleet.commit(*(ObjectChange(name, {f"n{k}": bytes(900) for k in range(8)}) for name in OBJECTS))
    fleet.proxy("p", *OBJECTS)
    took = fleet.settle(100)
    fleet.run(3)
    assert took > 40 and not fleet.told("p")
    assert not [why for why in fleet.core("p").counts if why.startswith("refused") or "sends nothing" in why]


# Who asks for too much


def test_a_proxy_that_asks_for_everything_is_turned_away_and_tells_once() -> None:
    fleet = settled(proxies=1)
    host = fleet.proxy("greedy")
    host.subscriber.everything = True
    fleet.run(30)
    assert not host.subscriber.store.objects
    assert fleet.told("greedy").count("delivery: a relay does not let us follow everything") == 1
    counted = 0
    for name in fleet.places:
        node = fleet.lab.hosts[name]
        assert isinstance(node, RelayHost)
        refused = node.node.relay.counts["refused: a proxy that follows everything"]
        assert len([text for text in fleet.told(name) if "follows everything" in text]) == min(refused, 1)
        counted += refused
    assert 5 < counted < 40


def test_names_over_the_bound_are_told_absent_and_the_rest_is_served() -> None:
    fleet = settled(proxies=1)
    absent: list[str] = []
    fleet.watch.told.append(
        lambda now, name, action: (
            absent.extend(action.names) if isinstance(action, subscriber.Absent) else None
        )
    )
    host = fleet.proxy("many", *OBJECTS, rules=Rules(most_names=9))
    host.from_above(subscriber.Follow(OBJECTS[:11]))
    fleet.run(2)
    assert absent == [*OBJECTS[9:12], *OBJECTS[9:11]] and len(host.subscriber.names) == 9
    fleet.names["many"] = OBJECTS[:9]
    fleet.settle(3)
    assert len([text for text in fleet.told("many") if "over its bound" in text]) == 1


def test_a_relay_with_a_lower_bound_leaves_names_out_and_says_which() -> None:
    fleet = Fleet(1, relays=2, rules=Rules(most_names=5))
    fleet.commit(*(ObjectChange(name, {"n": b"x"}) for name in OBJECTS))
    host = fleet.proxy("p", *OBJECTS, rules=Rules())
    fleet.run(3)
    assert list(host.subscriber.names) == list(OBJECTS[:5])
    fleet.names["p"] = OBJECTS[:5]
    fleet.settle(3)
    assert host.subscriber.counts["refused: a subscription over its bound"] == 1


def test_answers_to_pings_are_counted_in_the_bound() -> None:
    fleet = settled(proxies=1)
    core = fleet.core("p0")
    core.step(fleet.now, subscriber.Tick())
    assert core.main is not None
    before, pong = core.tokens, Pong(0, 1, 1, False)
    for _ in range(100):
        core.step(fleet.now, subscriber.Received(core.main.number, pong))
    assert core.tokens == pytest.approx(before - 100 * size_of(pong))
