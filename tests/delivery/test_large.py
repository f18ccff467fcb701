"""Hundreds of proxies and a thousand services in virtual time: spread, bytes, batches."""

from __future__ import annotations

from collections import Counter

from flintlatch.delivery import subscriber
from flintlatch.delivery.model import Begin, End, Kind, ObjectChange, Rules
from tests.delivery.reference import Fleet

RELAYS, PROXIES, SERVICES, EACH = 12, 300, 1000, 20
BACKENDS = 6  # of a service; 18 one day


def large(
    seed: int,
    proxies: int = PROXIES,
    rules: Rules | None = None,
    services: int = SERVICES,
    backends: int = BACKENDS,
) -> Fleet:
    """Two regions; each proxy follows some services, all the first three."""
    fleet = Fleet(seed, relays=RELAYS, regions=2, rules=rules, watched=False)
    fleet.commit(
        *(
            ObjectChange(f"s{n}", {f"10.0.{n % 256}.{k}:80": b"x" * 60 for k in range(backends)})
            for n in range(services)
        )
    )
    fleet.run(2)
    for n in range(proxies):
        some = fleet.lab.rng.sample(range(3, services), EACH - 3)
        fleet.proxy(f"p{n}", "s0", "s1", "s2", *(f"s{k}" for k in some), region=n % 2)
    fleet.settle(10)
    fleet.run(2)
    fleet.wire.clear()
    return fleet


def served(fleet: Fleet) -> Counter[str]:
    return Counter(fleet.relay_of(name) for name in fleet.names if fleet.core(name).main is not None)


def test_a_region_that_loses_all_relays_in_a_second_spreads_evenly_and_comes_back_in_turns() -> None:
    fleet = large(1, rules=Rules(return_s=8.0))
    mine = [f"p{n}" for n in range(0, PROXIES, 2)]
    lost = [f"relay{n}" for n in range(0, RELAYS, 2)]
    before = served(fleet)
    assert sum(before[name] for name in lost) == len(mine)
    for name in lost:
        fleet.lab.kill(name)
        fleet.run(1 / len(lost))
    fleet.put("s0", new="x")
    took = fleet.settle(fleet.rules.staleness_s(6, 0.0))
    others = served(fleet)
    assert set(others) == {f"relay{n}" for n in range(1, RELAYS, 2)} and sum(others.values()) == PROXIES
    largest = max(others.values())
    assert largest <= 1.3 * PROXIES / 6, f"{largest} of {PROXIES} at one relay"
    assert (
        sum(count for (to, kind), count in fleet.wire.parts.items() if to[0] == "p" and kind == Kind.SNAPSHOT)
        == 0
    )
    for name in lost:
        fleet.start(name)
    back: list[int] = []
    for _ in range(25):
        fleet.run(1)
        back.append(sum(served(fleet)[name] for name in lost))
    assert back[-1] == len(mine), f"{back[-1]} of {len(mine)} are back"
    in_one_second = max(b - a for a, b in zip(back, back[1:], strict=False))
    assert in_one_second < len(mine) / 4
    fleet.run(10)
    again = served(fleet)
    assert max(again.values()) <= 2 * PROXIES / RELAYS
    assert fleet.right() and fleet.young(2.5)
    print(f"within {took:.1f} s; at most {largest} at one of 6 relays; {in_one_second} back in one second")


def test_half_of_the_relays_die_and_their_subscribers_go_evenly_to_the_rest_of_their_region() -> None:
    fleet = large(2, proxies=150, services=300)
    for n in range(6):
        fleet.lab.kill(f"relay{n}")
    fleet.put("s0", new="x")
    fleet.settle(fleet.rules.staleness_s(3, 0.0))
    fleet.run(2)
    others = served(fleet)
    assert set(others) == {f"relay{n}" for n in range(6, 12)} and max(others.values()) <= 1.4 * 150 / 6
    assert all(int(fleet.relay_of(name)[5:]) % 2 == int(name[1:]) % 2 for name in fleet.names)


def test_two_thousand_backends_go_and_come_back_within_ten_seconds() -> None:
    fleet = large(3, proxies=60, services=120, backends=20)
    some = [f"s{n}" for n in range(100)]
    before = {name: dict(fleet.wanted[name]) for name in some}
    got = {name: fleet.lab.hosts[name].received_bytes for name in fleet.names}
    fleet.commit(*(ObjectChange(name, removed=tuple(before[name])) for name in some))
    assert fleet.settle(2) < 1.5
    fleet.run(8)
    fleet.commit(*(ObjectChange(name, before[name]) for name in some))
    assert fleet.settle(2) < 1.5
    most = max(fleet.lab.hosts[name].received_bytes - got[name] for name in fleet.names)
    assert most < 50_000  # some 12 services of 20, twice
    assert all(kind is Kind.DELTA for _, kind in fleet.wire.parts)


def test_two_thousand_backends_of_one_service_go_and_come_back_within_ten_seconds() -> None:
    fleet = Fleet(3, relays=2, watched=True)
    backends = {f"10.1.{n // 256}.{n % 256}:8080": b"x" * 60 for n in range(2000)}
    fleet.commit(ObjectChange("s", backends), ObjectChange("t", {"n": b"x"}))
    fleet.proxy("p", "s", "t")
    fleet.settle(20)
    fleet.commit(ObjectChange("s", removed=tuple(backends)), ObjectChange("t", {"n": b"y"}))
    gone_s = fleet.settle(10)
    fleet.run(10 - gone_s)
    fleet.commit(ObjectChange("s", backends), ObjectChange("t", {"n": b"z"}))
    back_s = fleet.settle(20)
    bytes_ = sum(len(name) + 12 + 60 for name in backends)
    assert gone_s < 1.5 and back_s < 1.5 + bytes_ / fleet.rules.rate


def test_five_hundred_changes_in_a_second_go_out_in_few_batches() -> None:
    fleet = large(4, proxies=100, services=300)
    for n in range(500):
        fleet.put(f"s{n % 50}", **{"10.0.0.1:80": f"{n}"})
        fleet.run(0.002)
    assert fleet.settle(2) < 1.0
    # A batch at most each `gather_s`, and one on its way: over a second and what is left of the last.
    most = 1 / fleet.rules.gather_s + 2
    assert max(count for (to, kind), count in fleet.wire.sent.items() if kind is Begin) <= most
    changes = sum(count for (to, _), count in fleet.wire.parts.items() if to == "relay0")
    assert changes <= 50 * most


def test_an_object_that_flaps_goes_out_once_a_batch() -> None:
    fleet = large(5, proxies=40, services=100)
    for n in range(200):
        fleet.put("s0", **{"10.0.0.1:80": f"{n}"})
        fleet.run(0.01)
    fleet.settle(2)
    for name in (*fleet.names, *fleet.places):
        batches = fleet.wire.sent[name, Begin]
        assert fleet.wire.objects[name, "s0", Kind.DELTA] == batches == fleet.wire.sent[name, End]
        assert batches <= 2 / fleet.rules.gather_s + 2


def test_a_change_that_is_taken_back_before_it_has_arrived_is_no_change() -> None:
    fleet = Fleet(6, relays=2)
    fleet.put("s", n="x")
    fleet.proxy("p", "s")
    fleet.settle()
    fleet.run(2)
    forces: list[object] = []
    fleet.watch.told.append(lambda now, name, action: forces.append(action))
    for _ in range(5):
        fleet.put("s", n="y")
        fleet.commit(ObjectChange("s", {"n": b"x", "m": b"z"}))
        fleet.commit(ObjectChange("s", removed=("m",)))
        fleet.run(0.7)
    assert not [action for action in forces if isinstance(action, subscriber.Changed)]
    assert fleet.right() and fleet.young(2.0)
    assert fleet.core("p").store.revision > 5


def test_all_relays_restart_at_once_under_many_proxies_and_little_is_sent() -> None:
    fleet = large(7, proxies=150, services=300)
    before = {name: fleet.lab.hosts[name].received_bytes for name in fleet.names}
    for name in fleet.places:
        fleet.lab.kill(name)
        fleet.start(name)
    fleet.put("s0", new="x")
    fleet.settle(10)
    fleet.run(4)
    assert fleet.young()
    parts = Counter(to for (to, _), count in fleet.wire.parts.items() for _ in range(count) if to[0] == "p")
    assert set(parts.values()) == {1}
    sent = [fleet.lab.hosts[name].received_bytes - before[name] for name in fleet.names]
    assert max(sent) < 3000  # of 11 kB: the object that has changed, pings, hellos


def test_the_same_seed_plays_the_same_to_the_last_event() -> None:
    one, other = large(8, proxies=20, services=50), large(8, proxies=20, services=50)
    assert one.lab.engine.events == other.lab.engine.events
    assert [h.received_bytes for h in one.lab.hosts.values()] == [
        h.received_bytes for h in other.lab.hosts.values()
    ]
