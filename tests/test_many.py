"""One of many proxies: few servers each, one limit on all in flight, evidence that counts for more."""

from __future__ import annotations

from collections import Counter

import pytest

from flintlatch.api import ListKind, RequestClass, Result, ServerInfo, ServerList
from tests.support import Driver, fleet, settings

MANY = {"proxies": 300, "zones": 2}


def zones(n: int) -> list[ServerInfo]:
    return [ServerInfo(f"10.0.{i % 2}.{i}:80", zone=i % 2) for i in range(n)]


def used(driver: Driver) -> set[str]:
    return {server for sends in driver.sends.values() for server in sends}


def test_it_keeps_to_a_few_servers_of_its_own_zone() -> None:
    """Hundreds of proxies with a connection to each server would fill its table (incident i02567f)."""
    driver = Driver(settings(**MANY), *zones(40))
    for _ in range(200):
        driver.end(driver.arrive())
        driver.beat()
    assert len(used(driver)) <= 7 and {s.split(".")[2] for s in used(driver)} == {"0"}


def test_the_few_are_spread_evenly_over_the_proxies() -> None:
    counts: Counter[str] = Counter()
    for me in range(100):
        driver = Driver(settings(me=me, **MANY), *fleet(20))
        counts.update(s.id for s in driver.balancer.near)
    assert len(counts) == 20 and max(counts.values()) < 2 * 30 and min(counts.values()) > 30 / 2


def test_the_few_stay_as_they_are_when_another_server_leaves() -> None:
    driver = Driver(settings(**MANY), *fleet(20))
    before = [s.id for s in driver.balancer.near]
    left = [s for s in fleet(20) if s.server != before[0]]
    driver.step(ServerList(ListKind.FULL, tuple(left)))
    assert len({s.id for s in driver.balancer.near} & set(before)) == len(before) - 1


def test_another_zone_serves_when_the_own_one_fails() -> None:
    driver = Driver(settings(proxies=8, zones=2), *zones(8))
    first: list[str] = []
    for _ in range(100):
        request = driver.arrive()
        first.append(driver.sends[request][0])
        for attempt in range(4):
            if len(driver.sends[request]) > attempt:
                near = driver.sends[request][attempt].split(".")[2] == "0"
                driver.end(request, Result.CONNECT_FAILED if near else Result.OK, after=1.0)
        driver.beats(100)
    assert sum(s.split(".")[2] == "1" for s in first[60:]) > 15


def test_one_failure_of_a_server_seldom_used_is_remembered() -> None:
    driver = Driver(settings(proxies=8), *fleet(2))
    bad = driver.sends[driver.arrive()][0]
    driver.end("r0", Result.ERROR, done=True)
    for _ in range(10):
        driver.end(driver.arrive())
        driver.beats(200)
    later = [driver.sends[f"r{n}"][0] for n in range(1, 11)]
    assert later.count(bad) <= 3


def crowd(driver: Driver, n: int, delay: float) -> None:
    for _ in range(n):
        request = driver.arrive(wait=5000)
        driver.beats(1000)
        if request in driver.sends:
            driver.end(request, after=0.0, delay=delay)


def test_the_limit_on_all_in_flight_falls_when_answers_come_late_and_rises_again() -> None:
    driver = Driver(settings(RequestClass(300.0, 5000.0, late_worth=0.5), **MANY), *fleet(40))
    crowd(driver, 20, 50.0)
    calm = driver.balancer.allow
    crowd(driver, 20, 290.0)
    crowded = driver.balancer.allow
    crowd(driver, 60, 50.0)
    assert crowded < calm / 4 and driver.balancer.allow > 2 * crowded


def test_two_that_come_together_after_idling_do_not_wait_for_each_other() -> None:
    driver = Driver(settings(**MANY), *fleet(40))
    crowd(driver, 10, 50.0)
    names = [driver.arrive(wait=5000), driver.arrive(wait=5000)]
    assert all(name in driver.sends for name in names)


def test_under_a_small_limit_a_burst_is_held() -> None:
    driver = Driver(settings(**MANY), *fleet(40))
    crowd(driver, 10, 50.0)
    driver.balancer.allow = 0.1
    names = [driver.arrive(wait=5000) for _ in range(20)]
    assert 1 <= sum(name in driver.sends for name in names) <= 6


def test_larger_servers_are_drawn_more_often() -> None:
    servers = [ServerInfo(f"10.0.0.{i}:80", weight=3.0 if i % 2 else 1.0) for i in range(6)]
    driver = Driver(settings(proxies=8), *servers)
    for _ in range(400):
        driver.end(driver.arrive(), after=30.0)
        driver.beat()
    sent = Counter(int(s[0].split(".")[3].split(":")[0]) % 2 for s in driver.sends.values())
    assert sent[1] > 1.5 * sent[0]


@pytest.mark.parametrize("proxies", [50, 400])
def test_cold_budgets_of_many_proxies_do_not_come_due_together(proxies: int) -> None:
    """All hear of a new server at once; a first request of each at the same time would push it over."""
    cold = {"start_capacity": 0.12, "cold_ms": 20_000.0, "fall_multiple": 2.5, "fall_ms": 2000.0}
    times = []
    for me in range(proxies):
        driver = Driver(settings(proxies=proxies, me=me, **cold), ServerInfo("new:1", started=990.0), seed=me)
        for _ in range(80):
            if driver.sends:
                times.append(driver.now)
                break
            driver.arrive(wait=100)
            driver.beat(after=50.0)
    assert len(times) <= proxies / 10 + 4


def test_chance_is_no_excess_of_a_tenant_that_a_proxy_sees_little_of() -> None:
    driver = Driver(settings(quotas=(300.0,), over_share_worth=0.1, proxies=300), *fleet(9))
    balancer = driver.balancer
    driver.now += 10_000
    levels = [balancer.level_of(driver.now, balancer.settings.classes[0], 0) for _ in range(8)]
    assert levels == [1] * 5 + [4] * 3


def test_an_empty_list_at_the_start_is_survived() -> None:
    driver = Driver(settings(RequestClass(300.0, 900.0), RequestClass(300.0, 900.0, worth=0.1), **MANY))
    driver.arrive(1)
    driver.step(ServerList(ListKind.FULL, tuple(fleet(40))))
    driver.beats(100)
    assert driver.sends[driver.arrive()]


def test_two_failures_of_a_server_met_seldom_are_remembered_where_servers_know_keys() -> None:
    """40 proxies before 60 servers: each meets one every few seconds."""
    sent = [0, 0]
    for me in range(4):
        driver = Driver(settings(proxies=40, me=me, warm_keys=True), *fleet(60), seed=me)
        slow = driver.balancer.active[7]
        for n in range(1200):  # 24 requests a second
            request = driver.arrive(key=n * 7919 % 600)
            server = driver.sends[request][0]
            half = n // 600
            if server == slow.id:
                sent[half] += 1
                driver.end(request, Result.TIMEOUT, delay=300.0, after=1.0)
            else:
                driver.end(request, after=1.0, delay=80.0)
            driver.beat(40.0)
    assert sent[0] >= 4  # it was met
    assert sent[1] <= 16  # an even part would be 40
