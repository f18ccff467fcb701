"""Tests of a proxy in a large tier: its subset of the servers, its total limit, key affinity, slow start."""

from __future__ import annotations

from collections import Counter
from math import inf, nan
from random import Random
from typing import Any

import pytest

from flintlatch.api import (
    ListKind,
    RequestClass,
    Result,
    ServerInfo,
    ServerList,
    ServerState,
    TierMembership,
    TimerFired,
    Watch,
)
from flintlatch.choice import rendezvous_hash
from tests.support import Driver, server_entries, settings

LARGE_TIER = {"proxies": 300, "zones": 2}
SLOW_START: dict[str, Any] = {
    "start_capacity": 0.12,
    "cold_ms": 20_000.0,
    "fall_ms": 1500.0,
    "fall_multiple": 3.0,
}


def servers_in_two_zones(n: int) -> list[ServerInfo]:
    """Returns n servers; the third part of the address is the zone."""
    return [ServerInfo(f"10.0.{i % 2}.{i}:80", zone=i % 2) for i in range(n)]


def used_servers(driver: Driver) -> set[str]:
    return {server for sends in driver.sends.values() for server in sends}


def test_a_proxy_uses_a_few_servers_of_its_own_zone() -> None:
    """Connections of hundreds of proxies to every server would fill the server's table (incident i02567f)."""
    driver = Driver(settings(**LARGE_TIER), *servers_in_two_zones(40))
    for _ in range(200):
        driver.end(driver.arrive())
        driver.tick()
    assert len(used_servers(driver)) <= 7 and {s.split(".")[2] for s in used_servers(driver)} == {"0"}


def test_the_subsets_of_the_proxies_use_all_servers_evenly() -> None:
    counts: Counter[str] = Counter()
    for me in range(100):
        driver = Driver(settings(me=me, **LARGE_TIER), *server_entries(20))
        counts.update(s.id for s in driver.balancer.preferred)
    assert len(counts) == 20 and max(counts.values()) < 2 * 30 and min(counts.values()) > 30 / 2


def test_the_subset_keeps_its_other_servers_when_one_leaves() -> None:
    driver = Driver(settings(**LARGE_TIER), *server_entries(20))
    before = [s.id for s in driver.balancer.preferred]
    remaining = [s for s in server_entries(20) if s.server != before[0]]
    driver.step(ServerList(ListKind.SNAPSHOT, tuple(remaining)))
    assert len({s.id for s in driver.balancer.preferred} & set(before)) == len(before) - 1


def test_servers_of_another_zone_are_used_when_those_of_the_own_zone_fail() -> None:
    driver = Driver(settings(proxies=8, zones=2), *servers_in_two_zones(8))
    first_servers: list[str] = []
    for _ in range(100):
        request = driver.arrive()
        first_servers.append(driver.sends[request][0])
        for attempt in range(4):
            if len(driver.sends[request]) > attempt:
                local = driver.sends[request][attempt].split(".")[2] == "0"
                driver.end(request, Result.CONNECT_FAILED if local else Result.OK, after=1.0)
        driver.tick_for(100)
    assert sum(s.split(".")[2] == "1" for s in first_servers[60:]) > 15


def test_one_failure_of_a_seldom_used_server_affects_its_reward() -> None:
    driver = Driver(settings(proxies=8), *server_entries(2))
    failing = driver.sends[driver.arrive()][0]
    driver.end("r0", Result.ERROR, done=True)
    for _ in range(10):
        driver.end(driver.arrive())
        driver.tick_for(200)
    later = [driver.sends[f"r{n}"][0] for n in range(1, 11)]
    assert later.count(failing) <= 3


def run_requests(driver: Driver, n: int, latency: float) -> None:
    """Lets n requests arrive, one a second, and answers those that are sent."""
    for _ in range(n):
        request = driver.arrive(wait=5000)
        driver.tick_for(1000)
        if request in driver.sends:
            driver.end(request, after=0.0, latency=latency)


def test_the_total_limit_falls_when_responses_are_late_and_rises_again() -> None:
    driver = Driver(settings(RequestClass(300.0, 5000.0, late_worth=0.5), **LARGE_TIER), *server_entries(40))
    run_requests(driver, 20, 50.0)
    uncongested = driver.balancer.total_limit
    run_requests(driver, 60, 290.0)
    congested = driver.balancer.total_limit
    run_requests(driver, 60, 50.0)
    assert congested < uncongested / 4 and driver.balancer.total_limit > 2 * congested


def test_varying_work_does_not_pass_for_congestion() -> None:
    """One in three responses takes several times as long as the others, without any other load."""
    driver = Driver(settings(RequestClass(400.0, 5000.0, late_worth=0.5), **LARGE_TIER), *server_entries(40))
    limits: list[float] = []
    for n in range(120):
        run_requests(driver, 1, 360.0 if n % 3 == 0 else 60.0)
        limits.append(driver.balancer.total_limit)
    assert min(limits[20:]) > 1.2


def test_two_requests_that_arrive_together_after_idle_time_are_sent_at_once() -> None:
    driver = Driver(settings(**LARGE_TIER), *server_entries(40))
    run_requests(driver, 10, 50.0)
    requests = [driver.arrive(wait=5000), driver.arrive(wait=5000)]
    assert all(request in driver.sends for request in requests)


def test_a_burst_above_a_small_total_limit_is_queued() -> None:
    driver = Driver(settings(**LARGE_TIER), *server_entries(40))
    run_requests(driver, 10, 50.0)
    driver.balancer.total_limit = 0.1
    requests = [driver.arrive(wait=5000) for _ in range(20)]
    assert 1 <= sum(request in driver.sends for request in requests) <= 6


def test_servers_with_a_larger_weight_are_drawn_more_often() -> None:
    servers = [ServerInfo(f"10.0.0.{i}:80", weight=3.0 if i % 2 else 1.0) for i in range(6)]
    driver = Driver(settings(proxies=8), *servers)
    for _ in range(400):
        driver.end(driver.arrive(), after=30.0)
        driver.tick()
    sent = Counter(int(s[0].split(".")[3].split(":")[0]) % 2 for s in driver.sends.values())
    assert sent[1] > 1.5 * sent[0]


@pytest.mark.parametrize("proxies", [50, 400])
def test_slow_start_budgets_of_many_proxies_do_not_become_available_together(proxies: int) -> None:
    """All proxies learn of a new server at once; a first request of each at that time would overload it."""
    slow_start = {"start_capacity": 0.12, "cold_ms": 20_000.0, "fall_multiple": 2.5, "fall_ms": 2000.0}
    times = []
    for me in range(proxies):
        driver = Driver(
            settings(proxies=proxies, me=me, **slow_start), ServerInfo("new:1", started=990.0), seed=me
        )
        for _ in range(80):
            if driver.sends:
                times.append(driver.now)
                break
            driver.arrive(wait=100)
            driver.tick(after=50.0)
    assert len(times) <= proxies / 10 + 4


def test_a_random_burst_of_a_tenant_with_little_traffic_is_not_over_its_quota() -> None:
    driver = Driver(settings(quotas=(300.0,), over_share_worth=0.1, proxies=300), *server_entries(9))
    balancer = driver.balancer
    driver.now += 10_000
    levels = [balancer.priority_level(driver.now, balancer.settings.classes[0], 0) for _ in range(8)]
    assert levels == [1] * 5 + [4] * 3


def test_an_empty_list_at_the_start_is_accepted() -> None:
    driver = Driver(settings(RequestClass(300.0, 900.0), RequestClass(300.0, 900.0, worth=0.1), **LARGE_TIER))
    driver.arrive(1)
    driver.step(ServerList(ListKind.SNAPSHOT, tuple(server_entries(40))))
    driver.tick_for(100)
    assert driver.sends[driver.arrive()]


def test_two_failures_of_a_seldom_used_server_affect_its_reward_with_key_affinity() -> None:
    """40 proxies and 60 servers: each proxy uses a given server once every few seconds."""
    sent_to_slow = [0, 0]  # in each half of the run
    for me in range(4):
        driver = Driver(settings(proxies=40, me=me, key_affinity=True), *server_entries(60), seed=me)
        slow = driver.balancer.active[7]
        for n in range(1200):  # 24 requests a second
            request = driver.arrive(key=n * 7919 % 600)
            server = driver.sends[request][0]
            half = n // 600
            if server == slow.id:
                sent_to_slow[half] += 1
                driver.end(request, Result.TIMEOUT, latency=300.0, after=1.0)
            else:
                driver.end(request, after=1.0, latency=80.0)
            driver.tick(40.0)
    assert sent_to_slow[0] >= 4  # it was used
    assert sent_to_slow[1] <= 16  # an even share would be 40


def keyed_driver(me: int, servers: list[ServerInfo]) -> Driver:
    """Returns proxy `me` of 40 with key affinity and weights that report load."""
    return Driver(settings(proxies=40, me=me, key_affinity=True, weights_report_load=True), *servers, seed=me)


def count_sent_to(driver: Driver, server: str, keys: range) -> int:
    """Sends one request of each key, with nothing else in flight, and counts those that go to `server`."""
    sent = 0
    for key in keys:
        request = driver.arrive(key=key)
        sent += driver.sends[request][0] == server
        driver.end(request, after=1.0, latency=50.0)
        driver.tick()
    return sent


def with_load(server: ServerInfo, requests_per_core: float) -> ServerInfo:
    """Returns the entry of a server of size 1.5 with the weight that reports this load."""
    return server._replace(weight=1.5 / (1 + requests_per_core))


@pytest.mark.parametrize("seed", range(3))
def test_a_server_with_a_higher_reported_load_gets_fewer_of_its_keys(seed: int) -> None:
    """A popular key fills its server although each proxy has one request in flight there."""
    servers = [s._replace(weight=1.5) for s in server_entries(20)]
    drivers = [keyed_driver(me, servers) for me in range(4)]
    loaded = servers[seed * 5]
    before = [count_sent_to(driver, loaded.server, range(400)) for driver in drivers]
    for _ in range(6):
        for driver in drivers:
            entries = tuple(with_load(s, 9.0 if s is loaded else 2.0) for s in servers)
            driver.step(ServerList(ListKind.DELTA, entries), after=1000.0)
    during = [count_sent_to(driver, loaded.server, range(400)) for driver in drivers]
    for _ in range(20):
        for driver in drivers:
            entries = tuple(with_load(s, 0.0 if s is loaded else 2.0) for s in servers)
            driver.step(ServerList(ListKind.DELTA, entries), after=1000.0)
    after = [count_sent_to(driver, loaded.server, range(400)) for driver in drivers]
    assert sum(during) < 0.6 * sum(before) and min(during) > 0  # less from every proxy, but never nothing
    assert sum(after) > 0.9 * sum(before)


def test_weights_that_do_not_report_load_change_no_key_share() -> None:
    servers = [s._replace(weight=1.0 + i % 3) for i, s in enumerate(server_entries(12))]
    driver = Driver(settings(proxies=40, key_affinity=True), *servers)
    for _ in range(10):
        smaller = [s._replace(weight=0.1) for s in servers[:6]]
        driver.step(ServerList(ListKind.DELTA, tuple(smaller)), after=1000.0)
    assert {s.key_share for s in driver.balancer.active} == {1.0}


def test_cold_servers_without_load_do_not_reduce_the_key_share_of_others() -> None:
    servers = [s._replace(weight=1.5) for s in server_entries(6)]
    changes: dict[str, Any] = {
        "key_affinity": True,
        "weights_report_load": True,
        "cold_ms": 1e6,
        "start_capacity": 0.2,
    }
    driver = Driver(settings(proxies=40, **changes), *servers)
    driver.now += 1e6
    new = [ServerInfo(f"10.0.1.{i}:80", weight=1.5, started=driver.now) for i in range(10)]
    for _ in range(10):
        entries = (*(with_load(s, 3.0) for s in servers), *new)
        driver.step(ServerList(ListKind.DELTA, entries), after=1000.0)
    assert min(s.key_share for s in driver.balancer.active) > 0.99


def test_the_minimum_limits_of_a_large_tier_use_every_server() -> None:
    """Long latencies cut each limit to its minimum: 40 proxies together have five requests at each server."""
    driver = keyed_driver(0, server_entries(60))
    for _ in range(40):
        for server in driver.balancer.active:
            server.cut_limit(0.5)
    requests = [driver.arrive(key=key) for key in range(30)]
    in_flight = sum(request in driver.sends for request in requests)
    assert 60 * 4 / 40 <= in_flight <= 60 * 6 / 40


def test_a_server_that_accepts_no_connection_costs_each_proxy_one_attempt() -> None:
    """Servers that are gone before a list reports it: three attempts of each of 40 proxies would be 120."""
    failed_attempts = 0
    for me in range(20):
        driver = keyed_driver(me, server_entries(12))
        gone = {s.id for s in driver.balancer.active[:5]}
        busy = driver.balancer.active[0]
        busy.limit = 3.0
        open_request = next(driver.arrive(key=k) for k in range(500) if first_server(driver, k) == busy.id)
        for key in range(60):
            request = driver.arrive(key=key)
            while driver.sends[request][-1] in gone:
                failed_attempts += 1
                driver.end(request, Result.CONNECT_FAILED, after=0.2)
            driver.end(request, after=1.0)
        assert driver.sends[open_request] == [busy.id]  # the request in progress goes on
        driver.end(open_request)
        assert busy.consecutive_failures == 0  # its response proves that the server works
    assert 50 <= failed_attempts <= 20 * 5


def first_server(driver: Driver, key: int) -> str:
    return max(driver.balancer.active, key=lambda s: rendezvous_hash(key, s)).id


def test_all_servers_are_tried_if_most_accept_no_connection() -> None:
    driver = keyed_driver(0, server_entries(10))
    tried: set[str] = set()
    for key in range(60):
        request = driver.arrive(key=key)
        for _ in range(4):
            if len(driver.sends.get(request, ())) and driver.balancer.requests.get(request):
                tried.add(driver.sends[request][-1])
                driver.end(request, Result.CONNECT_FAILED, after=0.2)
        driver.tick()
    ejected = sum(s.ejected_until > driver.now for s in driver.balancer.active)
    assert ejected <= 5 and len(tried) == 10


class SerialListService:
    """A list service that handles one call at a time, and rejects those that would wait for more than 2 s."""

    def __init__(self, call_ms: float) -> None:
        self.call_ms, self.free_at = call_ms, 0.0
        self.due: list[tuple[float, int, bool]] = []  # time, proxy, and whether the answer is a list
        self.calls = 0

    def call(self, now: float, me: int) -> None:
        self.calls += 1
        start = max(self.free_at, now)
        if start + self.call_ms > now + 2000:
            self.due.append((now + 1, me, False))
            return
        self.free_at = start + self.call_ms
        self.due.append((self.free_at, me, True))


@pytest.mark.parametrize("seed", range(3))
def test_proxies_that_restart_together_all_get_the_list_from_a_slow_service(seed: int) -> None:
    """40 proxies start within 100 ms; one call of each takes the service seven seconds."""
    service = SerialListService(7000 / 40)
    changes: dict[str, Any] = {"ask_for_list": True, "must_ask_ms": 10_000.0, "key_affinity": True}
    drivers = [
        Driver(settings(proxies=40, me=me, **changes), *server_entries(6), seed=97 * seed + me)
        for me in range(40)
    ]
    starts = [d.now + (me * 37 + seed * 11) % 100 for me, d in enumerate(drivers)]
    answered: dict[int, float] = {}  # by proxy, the time from its start to its first list
    for now in range(1000, 12_000, 25):
        for me, driver in enumerate(drivers):
            if now < starts[me]:
                continue
            driver.now = float(now)
            answers = [ok for when, caller, ok in service.due if caller == me and when <= now]
            events: list[Any] = [
                ServerList(ListKind.SNAPSHOT, tuple(server_entries(6))) for ok in answers if ok
            ][:1]
            events += [ServerList(ListKind.FAILED) for ok in answers if not ok][:1]
            if any(answers):
                answered.setdefault(me, now - starts[me])
            service.due = [d for d in service.due if d[1] != me or d[0] > now]
            for action in driver.step(TimerFired(0), *events):
                if isinstance(action, Watch) and me not in answered:
                    service.call(float(now), me)
    assert len(answered) == 40
    assert max(answered.values()) < 7000 + 600  # as soon as a service that is never idle can answer
    assert service.calls <= 120  # no retry storm: rejected calls cost nothing, and there are few


def test_a_new_server_has_none_of_the_statistics_of_a_removed_one() -> None:
    driver = keyed_driver(0, server_entries(6))
    removed = driver.balancer.active[0]
    removed.reward, removed.key_share, removed.load, removed.consecutive_failures = 0.1, 0.1, 9.0, 2
    entries = (ServerInfo(removed.id, state=ServerState.GONE), ServerInfo("s-new", weight=1.0))
    driver.step(ServerList(ListKind.DELTA, entries))
    new = driver.balancer.servers["s-new"]
    assert removed.id not in driver.balancer.servers
    assert (new.reward, new.key_share, new.consecutive_failures, new.inflight) == (1.0, 1.0, 0, 0)
    assert not any(
        removed.id in sends for sends in [driver.sends.get(driver.arrive(key=k), []) for k in range(20)]
    )


@pytest.mark.parametrize("seed", range(2))
def test_servers_that_hang_and_restart_are_avoided_and_used_again_in_slow_start(seed: int) -> None:
    """A third of 12 servers hang from 3 s to 6 s and then restart; 300 requests a second."""
    slow_start: dict[str, Any] = {
        "start_capacity": 0.2,
        "cold_ms": 20_000.0,
        "fall_ms": 1500.0,
        "fall_multiple": 3.0,
    }
    changes = slow_start | {"key_affinity": True, "weights_report_load": True, "max_attempts": 6}
    drivers = [
        Driver(settings(proxies=40, me=me, **changes), *server_entries(12), seed=me + seed)
        for me in range(40)
    ]
    rng, lost = Random(seed), {s.server for s in server_entries(12)[:4]}
    busy: list[tuple[float, Driver, str, Result]] = []
    to_lost: list[tuple[float, str]] = []
    queued: list[tuple[Driver, str]] = []
    start, now = drivers[0].now, drivers[0].now
    while now < start + 16_000:
        now += 25
        silent, back = start + 3000 <= now < start + 6000, now >= start + 6000
        for driver in drivers:
            driver.now = now
            events: list[Any] = []
            if back and now < start + 6025:
                events = [ServerList(ListKind.DELTA, tuple(ServerInfo(s, started=now) for s in sorted(lost)))]
            driver.step(TimerFired(0), *events)
        for due, driver, name, result in [b for b in busy if b[0] <= now]:
            busy.remove((due, driver, name, result))
            driver.end(name, result, after=0.0, latency=60.0 if result is Result.OK else 300.0, done=True)
        for _ in range(7 + (rng.random() < 0.5)):
            driver = rng.choice(drivers)
            queued.append((driver, driver.arrive(key=rng.randrange(200))))
        for driver, name in [q for q in queued if q[1] in q[0].sends or q[1] not in q[0].balancer.requests]:
            queued.remove((driver, name))
            if name not in driver.sends:
                continue  # it was refused
            server = driver.sends[name][0]
            hangs = silent and server in lost
            busy.append((now + (300 if hangs else 60), driver, name, Result.TIMEOUT if hangs else Result.OK))
            if server in lost and now >= start + 3000:
                to_lost.append((now - start, server))
    early = [s for t, s in to_lost if 3000 <= t < 4500]
    late = [s for t, s in to_lost if 4500 <= t < 6000]
    assert len(late) < 0.5 * 1.5 * 300 / 3 and len(early) + len(late) <= 3 * 40 * 4
    # A warm server gets 25 requests a second. A cold one starts with a fifth of that capacity and may be sent
    # up to three times as much.
    for server in lost:
        times = [t for t, s in to_lost if s == server and t >= 6000]
        for first in times:
            capacity = 0.2 + 0.8 * (first - 6000) / 20_000
            window = [t for t in times if first <= t < first + 1500]
            assert len(window) < 3 * capacity * 25 * 1.5
        assert len([t for t in times if t > 9000]) > 20  # the server is used


@pytest.mark.parametrize("seed", range(2))
def test_keys_are_placed_in_proportion_to_server_size_and_alike_by_every_proxy(seed: int) -> None:
    """With the same number of keys, a server that is twice as fast would be idle beside a full one."""
    large = {s.server for s in server_entries(20)[seed::2]}
    servers = [
        s._replace(weight=2.0 if s.server in large else 1.0, kind=int(s.server in large))
        for s in server_entries(20)
    ]
    sent_to_large, firsts = 0, []
    for me in range(3):
        # The weights that proxies have seen of a server differ; the largest of its kind is the same for all.
        seen = [s._replace(weight=s.weight / (1 + (i + me) % 3)) for i, s in enumerate(servers)]
        driver = keyed_driver(me, seen)
        firsts.append(
            [max(driver.balancer.active, key=lambda s: placement_score(driver, k, s)).id for k in range(300)]
        )
        for key in range(300):
            request = driver.arrive(key=key)
            sent_to_large += driver.sends[request][0] in large
            driver.end(request, after=1.0, latency=50.0)
            driver.tick()
    assert 1.5 < sent_to_large / (900 - sent_to_large) < 2.6
    assert firsts[0] == firsts[1] == firsts[2]


def placement_score(driver: Driver, key: int, server: Any) -> float:
    return driver.balancer.placement_score(key, server)


def run_with_load(
    driver: Driver, servers: list[ServerInfo], requests_per_core: float, interval_ms: int, ms: int
) -> tuple[int, int]:
    """Runs a request of 100 ms every `interval_ms`, while lists report the load of all servers.

    Returns the number of requests and how many of them were sent in the step of their arrival.
    """
    arrived = sent = 0
    busy: list[tuple[float, str]] = []
    for t in range(0, ms, 5):
        driver.now += 5.0
        for due, name in [b for b in busy if b[0] <= driver.now]:
            busy.remove((due, name))
            driver.end(name, after=0.0, latency=100.0)
        if t % 25 == 0:
            driver.tick(0.0)
        if t % 500 == 0:
            driver.step(ServerList(ListKind.DELTA, tuple(with_load(s, requests_per_core) for s in servers)))
        if t % interval_ms == 0:
            name = driver.arrive(key=arrived * 31 % 400)
            arrived, sent = arrived + 1, sent + (name in driver.sends)
        busy += [
            (driver.now + 100.0, name)
            for name, request in driver.balancer.requests.items()
            if request.open_attempts and name not in {b[1] for b in busy}
        ]
    return arrived, sent


def test_a_proxy_with_several_times_the_mean_traffic_uses_idle_servers() -> None:
    """An even share of 60 servers is five requests in flight; this proxy needs twenty."""
    servers = [s._replace(weight=1.5) for s in server_entries(60)]
    changes: dict[str, Any] = {"proxies": 60, "key_affinity": True, "weights_report_load": True}
    driver = Driver(settings(**changes), *servers)
    run_with_load(driver, servers, 1.0, 5, 4000)
    arrived, sent = run_with_load(driver, servers, 1.0, 5, 3000)
    assert arrived == 600 and sent > 0.95 * arrived


def test_a_proxy_falls_back_to_its_even_share_when_servers_are_full() -> None:
    servers = [s._replace(weight=1.5) for s in server_entries(60)]
    changes: dict[str, Any] = {"proxies": 60, "key_affinity": True, "weights_report_load": True}
    driver = Driver(settings(**changes), *servers)
    run_with_load(driver, servers, 1.0, 5, 4000)
    before = driver.balancer.mean_in_flight
    run_with_load(driver, servers, 12.0, 5, 6000)
    assert before > 15 and driver.balancer.in_flight < before / 2
    assert driver.balancer.in_flight >= 4  # its even share remains


def test_weights_that_do_not_report_load_change_no_limit() -> None:
    servers = [s._replace(weight=1.5) for s in server_entries(60)]
    driver = Driver(settings(proxies=60, key_affinity=True), *servers)
    run_with_load(driver, servers, 1.0, 5, 3000)
    assert driver.balancer.limit_scale == 1.0


def test_a_popular_key_is_served_by_as_many_servers_as_it_needs() -> None:
    """A fifth of all requests has one key: two of 20 servers would get five times as much as the others."""
    driver = keyed_driver(0, [s._replace(weight=1.5) for s in server_entries(20)])
    rng = Random(5)
    popular: Counter[str] = Counter()
    rare: dict[int, set[str]] = {}
    for n in range(1500):
        key = 7 if n % 5 == 0 else rng.randrange(1000, 1400)
        request = driver.arrive(key=key)
        server = driver.sends[request][0]
        if n >= 500 and key == 7:
            popular[server] += 1
        elif n >= 500:
            rare.setdefault(key, set()).add(server)
        driver.end(request, after=1.0, latency=50.0)
        driver.tick(50.0)
    assert len(popular) >= 4 and max(popular.values()) < 0.45 * sum(popular.values())
    assert max(len(servers) for servers in rare.values()) <= 2
    assert len(driver.balancer.key_counts) < 420  # keys without recent arrivals are dropped


@pytest.mark.parametrize("seed", range(4))
def test_replaced_servers_get_no_more_from_all_proxies_than_slow_start_permits(seed: int) -> None:
    """6 of 12 servers are new; together, 60 proxies with uneven traffic must not overload them."""
    changes = SLOW_START | {"key_affinity": True, "weights_report_load": True, "max_attempts": 6}
    servers = [s._replace(weight=1.5) for s in server_entries(12)]
    drivers = [
        Driver(settings(proxies=60, me=me, **changes), *servers, seed=60 * seed + me) for me in range(60)
    ]
    rng = Random(seed)
    traffic = [5.0 if me % 10 == 0 else rng.uniform(0.4, 1.2) for me in range(60)]
    per_ms, start, now = 0.24, drivers[0].now, drivers[0].now  # 20 a second for each of 12 servers
    busy: list[tuple[float, Driver, str]] = []
    sent: dict[str, list[float]] = {}
    new = [ServerInfo(f"new.{i}:80", started=start + 4000.0, weight=1.5) for i in range(6)]
    gone = [s._replace(state=ServerState.GONE) for s in servers[:6]]
    while now < start + 14_000:
        now += 50
        for driver in drivers:
            driver.now = now
            listed = now == start + 4000
            driver.step(TimerFired(0), *([ServerList(ListKind.DELTA, (*gone, *new))] if listed else []))
        for due in [b for b in busy if b[0] <= now]:
            busy.remove(due)
            due[1].end(due[2], after=0.0, latency=60.0)
        for driver in rng.choices(drivers, traffic, k=int(per_ms * 50)):
            name = driver.arrive(key=rng.randrange(300))
            if name in driver.sends:
                busy.append((now + 60, driver, name))
                sent.setdefault(driver.sends[name][0], []).append(now - start - 4000)
    for server in new:
        times = sent[server.server]
        for first in times:
            capacity = 0.12 + 0.88 * first / 20_000
            # A warm server of this deployment can handle 30 requests a second.
            assert len([t for t in times if first <= t < first + 1500]) < 0.65 * 3 * capacity * 30 * 1.5
        assert len(times) > 30  # the server is used, so that it warms up


@pytest.mark.parametrize("seed", range(3))
def test_the_rate_of_warm_servers_is_not_overestimated_if_each_is_seldom_used(seed: int) -> None:
    """20 requests a second for 100 servers: the counts of one second, which slow start uses, are 0 or 1."""
    driver = Driver(settings(proxies=100, key_affinity=True), *server_entries(100), seed=seed)
    rng, rates = Random(seed), []
    for n in range(400):
        driver.end(driver.arrive(key=rng.randrange(400)), after=25.0, latency=40.0)
        driver.tick()
        if n > 200:
            rates.append(driver.balancer.warm_rate[0])
    assert 0.15 < sum(rates) / len(rates) < 0.28


@pytest.mark.parametrize("seed", range(3))
def test_slow_start_tokens_are_not_saved_until_all_proxies_need_a_cold_server(seed: int) -> None:
    """If proxies saved tokens, all of them would spend theirs when the other servers are full.

    200 proxies with uneven traffic get no request for seconds. Then all other servers are full, and each
    proxy has queued requests. With one saved token each, they sent 1.31 to 1.78 times the budget in virtual
    time.
    """
    rng = Random(seed)
    traffic = [4.0 if me % 10 == 3 else rng.uniform(0.3, 1.2) for me in range(200)]
    start, quiet_ms, sent, warm_rate = 1000.0, 5000.0, [], 17.0  # warm_rate: requests per s of a warm server
    for me, weight in enumerate(traffic):
        driver = Driver(
            settings(proxies=200, me=me, key_affinity=True, **SLOW_START), *server_entries(30), seed=me
        )
        driver.step(ServerList(ListKind.DELTA, (ServerInfo("new:1", started=start),)))
        rate = weight * warm_rate * 31 / sum(traffic) / 1000  # arrivals per ms at this proxy
        while driver.now < start + quiet_ms + 4000:
            driver.balancer.warm_rate = {0: warm_rate * weight / sum(traffic)}
            driver.balancer.admission_rate, driver.balancer.second_at = rate * 1000, driver.now
            if driver.now >= start + quiet_ms:
                for server in driver.balancer.active:
                    server.ejected_until = 0.0 if server.id == "new:1" else inf
                for _ in range(int(rng.random() < rate * 25) + int(rate * 25)):
                    driver.arrive(key=rng.randrange(10_000), wait=700)
            driver.tick()
            for name in [name for name in driver.sends if name in driver.balancer.requests]:
                sent.append(driver.now - start)
                driver.end(name, after=0.0, latency=60.0)
    for first in sent:
        in_window = sum(first <= t < first + 1500 for t in sent)
        assert in_window <= 0.9 * 3 * (0.12 + 0.88 * first / 20_000) * warm_rate * 1.5
    # The server is used, so that it warms up.
    assert len(sent) >= 0.3 * warm_rate * 4 * (0.12 + 0.88 * 7 / 20)


@pytest.mark.parametrize("quick", [True, False])
def test_a_server_after_an_outage_is_in_slow_start_until_its_responses_are_quick(quick: bool) -> None:
    """After an outage of seconds the server may have restarted, which no list has reported yet."""
    driver = Driver(settings(proxies=200, key_affinity=True, **SLOW_START), *server_entries(2))
    for _ in range(60):
        driver.end(driver.arrive(), latency=40.0)
        driver.tick_for(100)
    suspect = driver.balancer.active[0]
    suspect.reward = 0.1
    now = driver.now
    for failed_at in (now, now + 500, now + 1500):
        driver.balancer.record_failure(failed_at, suspect)
    assert suspect.consecutive_failures == 3 and not suspect.is_cold(now)
    driver.balancer.update_restart_suspicion(now + 2500, suspect, False)
    suspect.consecutive_failures = 0  # as its response does
    assert suspect.is_cold(now + 2500) and not suspect.has_capacity(now + 2500)
    for _ in range(2):
        driver.balancer.update_restart_suspicion(now + 2600, suspect, quick)
    assert suspect.is_cold(now + 2600) is not quick
    assert not suspect.is_cold(now + 2500 + 6000)  # a list would have reported a restart by then


def test_one_lost_connection_is_not_taken_for_a_restart() -> None:
    driver = Driver(settings(proxies=200, key_affinity=True, **SLOW_START), *server_entries(2))
    server = driver.balancer.active[0]
    server.reward = 0.2
    driver.balancer.record_failure(driver.now, server, True)
    assert server.consecutive_failures == 3
    driver.balancer.update_restart_suspicion(driver.now + 700, server, False)
    assert not server.is_cold(driver.now + 700)


def test_a_second_restart_during_slow_start_begins_it_anew() -> None:
    driver = Driver(settings(proxies=200, key_affinity=True, **SLOW_START), ServerInfo("old:1"))
    new = ServerInfo("new:1", started=driver.now)
    driver.step(ServerList(ListKind.DELTA, (new,)))
    driver.now += 8000
    driver.balancer.warm_rate, driver.balancer.admission_rate = {0: 0.1}, 4.0
    driver.balancer.second_at = driver.now
    driver.tick()
    after_8_s = driver.balancer.servers["new:1"].slow_start_fraction
    driver.step(ServerList(ListKind.DELTA, (new._replace(started=driver.now),)))
    server = driver.balancer.servers["new:1"]
    assert server.cold_until == driver.now + 20_000 and not server.has_capacity(driver.now)
    driver.balancer.warm_rate, driver.balancer.admission_rate = {0: 0.1}, 4.0
    driver.tick()
    assert 0 < server.slow_start_fraction < after_8_s


def test_all_servers_cold_at_once_are_used() -> None:
    """None of 40 proxies knows the rate of a warm server; together they use every cold one."""
    used: Counter[str] = Counter()
    for me in range(40):
        driver = Driver(settings(proxies=40, me=me, key_affinity=True, **SLOW_START), seed=me)
        driver.step(
            ServerList(ListKind.SNAPSHOT, tuple(s._replace(started=driver.now) for s in server_entries(6)))
        )
        for n in range(200):
            driver.arrive(key=n * 31, wait=300)
            driver.tick(after=50.0)
            for name in [name for name in driver.sends if name in driver.balancer.requests]:
                used[driver.sends[name][0]] += 1
                driver.end(name, after=0.0, latency=60.0)
    # With nothing observed, all proxies together send each server one request in 1.5 s: about 40 in total.
    assert len(used) == 6 and min(used.values()) >= 2 and 20 <= sum(used.values()) <= 60


def test_weights_that_do_not_report_load_place_keys_by_each_servers_weight() -> None:
    servers = [s._replace(weight=1.0 + 3.0 * (i % 2)) for i, s in enumerate(server_entries(10))]
    driver = Driver(settings(key_affinity=True), *servers)
    firsts = Counter(
        max(driver.balancer.active, key=lambda s: placement_score(driver, k, s)).weight for k in range(600)
    )
    assert 3.0 < firsts[4.0] / firsts[1.0] < 5.5


def test_a_weight_of_zero_or_nan_counts_as_the_minimum() -> None:
    servers = [ServerInfo("a:1", weight=0.0), ServerInfo("b:1", weight=nan)]
    driver = Driver(settings(key_affinity=True), *servers)
    assert all(s.size > 0 for s in driver.balancer.active)
    assert driver.arrive(key=7) in driver.sends


def test_a_request_is_queued_while_the_list_is_empty() -> None:
    driver = Driver(
        settings(proxies=200, key_affinity=True, **SLOW_START), ServerInfo("new:1", started=1000.0)
    )
    driver.tick_for(100)
    driver.step(ServerList(ListKind.DELTA, (ServerInfo("new:1", state=ServerState.GONE),)))
    assert driver.balancer.cold_servers and driver.arrive(key=7) not in driver.sends


def test_a_slow_first_response_after_an_outage_raises_the_suspicion_of_a_restart() -> None:
    driver = Driver(settings(proxies=200, key_affinity=True, **SLOW_START), *server_entries(1))
    driver.end(driver.arrive(), latency=40.0)
    server = driver.balancer.active[0]
    driver.now += 2000
    server.consecutive_failures, server.first_failure_at = 3, driver.now - 1500  # ejected, and now half-open
    driver.end(driver.arrive(), latency=200.0)
    assert server.consecutive_failures == 0 and server.is_cold(driver.now)


def test_a_larger_tier_scales_the_limits_at_once_and_keeps_the_statistics() -> None:
    driver = Driver(settings(proxies=2, quotas=(100.0,)), *server_entries(10))
    for _ in range(200):
        driver.end(driver.arrive(), after=20.0)
        driver.tick()
    before = {s.id: (s.limit, s.latency, s.reward) for s in driver.balancer.servers.values()}
    driver.step(TierMembership(20, 7))
    for server in driver.balancer.servers.values():
        limit, latency, reward = before[server.id]
        assert server.limit == pytest.approx(limit / 10) and (server.latency, server.reward) == (
            latency,
            reward,
        )
    assert driver.balancer.large_tier and driver.balancer.settings.me == 7
    driver.step(TierMembership(2, 0))
    for server in driver.balancer.servers.values():
        assert server.limit == pytest.approx(before[server.id][0])
    assert not driver.balancer.large_tier
    requests = [driver.arrive() for _ in range(5)]
    assert all(request in driver.sends for request in requests)
