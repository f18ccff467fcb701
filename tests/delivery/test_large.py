"""Hundreds of proxies and a thousand services in virtual time: load distribution, bytes, batching."""

from __future__ import annotations

from collections import Counter

from flintlatch.delivery import subscriber
from flintlatch.delivery.model import Begin, End, Kind, ObjectChange, Rules
from tests.delivery.reference import Fleet

RELAYS, PROXIES, SERVICES, SERVICES_PER_PROXY = 12, 300, 1000, 20
BACKENDS = 6  # per service; the target has 18


def large_fleet(
    seed: int,
    proxies: int = PROXIES,
    rules: Rules | None = None,
    services: int = SERVICES,
    backends: int = BACKENDS,
) -> Fleet:
    """A converged fleet in two regions. Every proxy follows the first three services and some others."""
    fleet = Fleet(seed, relays=RELAYS, regions=2, rules=rules, watched=False)
    fleet.commit(
        *(
            ObjectChange(f"s{n}", {f"10.0.{n % 256}.{k}:80": b"x" * 60 for k in range(backends)})
            for n in range(services)
        )
    )
    fleet.run(2)
    for n in range(proxies):
        others = fleet.lab.rng.sample(range(3, services), SERVICES_PER_PROXY - 3)
        fleet.proxy(f"p{n}", "s0", "s1", "s2", *(f"s{k}" for k in others), region=n % 2)
    fleet.settle(10)
    fleet.run(2)
    fleet.wire.clear()
    return fleet


def sessions_by_relay(fleet: Fleet) -> Counter[str]:
    return Counter(
        fleet.relay_of(name) for name in fleet.names if fleet.subscriber(name).active_session is not None
    )


def test_losing_all_relays_of_a_region_spreads_load_evenly_and_the_return_is_gradual() -> None:
    fleet = large_fleet(1, rules=Rules(return_s=8.0))
    affected = [f"p{n}" for n in range(0, PROXIES, 2)]
    lost = [f"relay{n}" for n in range(0, RELAYS, 2)]
    before = sessions_by_relay(fleet)
    assert sum(before[name] for name in lost) == len(affected)
    for name in lost:
        fleet.lab.kill(name)
        fleet.run(1 / len(lost))
    fleet.put("s0", new="x")
    took = fleet.settle(fleet.rules.staleness_bound_s(6, 0.0))
    sessions = sessions_by_relay(fleet)
    assert set(sessions) == {f"relay{n}" for n in range(1, RELAYS, 2)} and sum(sessions.values()) == PROXIES
    largest = max(sessions.values())
    assert largest <= 1.3 * PROXIES / 6, f"{largest} of {PROXIES} at one relay"
    assert (
        sum(
            count
            for (target, kind), count in fleet.wire.parts.items()
            if target[0] == "p" and kind == Kind.SNAPSHOT
        )
        == 0
    )
    for name in lost:
        fleet.start(name)
    returned: list[int] = []
    for _ in range(25):
        fleet.run(1)
        returned.append(sum(sessions_by_relay(fleet)[name] for name in lost))
    assert returned[-1] == len(affected), f"{returned[-1]} of {len(affected)} have returned"
    max_per_second = max(b - a for a, b in zip(returned, returned[1:], strict=False))
    assert max_per_second < len(affected) / 4
    fleet.run(10)
    final = sessions_by_relay(fleet)
    assert max(final.values()) <= 2 * PROXIES / RELAYS
    assert fleet.converged() and fleet.is_fresh(2.5)
    print(
        f"within {took:.1f} s; at most {largest} at one of 6 relays; {max_per_second} returned in one second"
    )


def test_losing_half_of_the_relays_spreads_load_evenly_within_each_region() -> None:
    fleet = large_fleet(2, proxies=150, services=300)
    for n in range(6):
        fleet.lab.kill(f"relay{n}")
    fleet.put("s0", new="x")
    fleet.settle(fleet.rules.staleness_bound_s(3, 0.0))
    fleet.run(2)
    sessions = sessions_by_relay(fleet)
    assert set(sessions) == {f"relay{n}" for n in range(6, 12)} and max(sessions.values()) <= 1.4 * 150 / 6
    assert all(int(fleet.relay_of(name)[5:]) % 2 == int(name[1:]) % 2 for name in fleet.names)


def test_two_thousand_backends_are_removed_and_restored_within_ten_seconds() -> None:
    fleet = large_fleet(3, proxies=60, services=120, backends=20)
    names = [f"s{n}" for n in range(100)]
    before = {name: dict(fleet.wanted[name]) for name in names}
    got_before = {name: fleet.lab.hosts[name].received_bytes for name in fleet.names}
    fleet.commit(*(ObjectChange(name, removed=tuple(before[name])) for name in names))
    assert fleet.settle(2) < 1.5
    fleet.run(8)
    fleet.commit(*(ObjectChange(name, before[name]) for name in names))
    assert fleet.settle(2) < 1.5
    most = max(fleet.lab.hosts[name].received_bytes - got_before[name] for name in fleet.names)
    assert most < 50_000  # about 12 services of 20 backends, twice
    assert all(kind is Kind.DELTA for _, kind in fleet.wire.parts)


def test_two_thousand_backends_of_one_service_are_removed_and_restored_within_ten_seconds() -> None:
    fleet = Fleet(3, relays=2, watched=True)
    backends = {f"10.1.{n // 256}.{n % 256}:8080": b"x" * 60 for n in range(2000)}
    fleet.commit(ObjectChange("s", backends), ObjectChange("t", {"n": b"x"}))
    fleet.proxy("p", "s", "t")
    fleet.settle(20)
    fleet.commit(ObjectChange("s", removed=tuple(backends)), ObjectChange("t", {"n": b"y"}))
    removed_s = fleet.settle(10)
    fleet.run(10 - removed_s)
    fleet.commit(ObjectChange("s", backends), ObjectChange("t", {"n": b"z"}))
    restored_s = fleet.settle(20)
    total_bytes = sum(len(name) + 12 + 60 for name in backends)
    assert removed_s < 1.5 and restored_s < 1.5 + total_bytes / fleet.rules.bytes_per_s


def test_five_hundred_changes_in_a_second_are_sent_in_few_batches() -> None:
    fleet = large_fleet(4, proxies=100, services=300)
    for n in range(500):
        fleet.put(f"s{n % 50}", **{"10.0.0.1:80": f"{n}"})
        fleet.run(0.002)
    assert fleet.settle(2) < 1.0
    # At most one batch per `gather_s` for a second, one in flight and one for the remainder.
    max_batches = 1 / fleet.rules.gather_s + 2
    assert max(count for (target, kind), count in fleet.wire.sent.items() if kind is Begin) <= max_batches
    changes = sum(count for (target, _), count in fleet.wire.parts.items() if target == "relay0")
    assert changes <= 50 * max_batches


def test_a_flapping_object_is_sent_once_per_batch() -> None:
    fleet = large_fleet(5, proxies=40, services=100)
    for n in range(200):
        fleet.put("s0", **{"10.0.0.1:80": f"{n}"})
        fleet.run(0.01)
    fleet.settle(2)
    for name in (*fleet.names, *fleet.relays):
        batches = fleet.wire.sent[name, Begin]
        assert fleet.wire.objects[name, "s0", Kind.DELTA] == batches == fleet.wire.sent[name, End]
        assert batches <= 2 / fleet.rules.gather_s + 2


def test_a_change_reverted_before_it_is_sent_is_not_reported() -> None:
    fleet = Fleet(6, relays=2)
    fleet.put("s", n="x")
    fleet.proxy("p", "s")
    fleet.settle()
    fleet.run(2)
    actions: list[object] = []
    fleet.watch.listeners.append(lambda now, name, action: actions.append(action))
    for _ in range(5):
        fleet.put("s", n="y")
        fleet.commit(ObjectChange("s", {"n": b"x", "m": b"z"}))
        fleet.commit(ObjectChange("s", removed=("m",)))
        fleet.run(0.7)
    assert not [action for action in actions if isinstance(action, subscriber.Changed)]
    assert fleet.converged() and fleet.is_fresh(2.0)
    assert fleet.subscriber("p").store.revision > 5


def test_after_a_restart_of_all_relays_each_proxy_gets_one_part() -> None:
    fleet = large_fleet(7, proxies=150, services=300)
    before = {name: fleet.lab.hosts[name].received_bytes for name in fleet.names}
    for name in fleet.relays:
        fleet.lab.kill(name)
        fleet.start(name)
    fleet.put("s0", new="x")
    fleet.settle(10)
    fleet.run(4)
    assert fleet.is_fresh()
    parts = Counter(
        target for (target, _), count in fleet.wire.parts.items() for _ in range(count) if target[0] == "p"
    )
    assert set(parts.values()) == {1}
    sent = [fleet.lab.hosts[name].received_bytes - before[name] for name in fleet.names]
    assert max(sent) < 3000  # it holds 11 kB; this is the changed object, pongs and the welcome


def test_the_same_seed_gives_the_same_run() -> None:
    first, second = large_fleet(8, proxies=20, services=50), large_fleet(8, proxies=20, services=50)
    assert first.lab.engine.events == second.lab.engine.events
    assert [h.received_bytes for h in first.lab.hosts.values()] == [
        h.received_bytes for h in second.lab.hosts.values()
    ]
