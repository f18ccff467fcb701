"""Tests of the ordinary path: queues, limits, overload detection, load shedding and server choice."""

from __future__ import annotations

from typing import Any

import pytest

from flintlatch.api import Arrival, Fail, Outcome, Refuse, RequestClass, Result, Send, ServerInfo, Settings
from flintlatch.choice import Balancer, ClassQueue, Server
from tests.support import Driver, actions_of, server_entries, settings


def test_a_request_is_sent_at_once_to_an_idle_server() -> None:
    driver = Driver(settings(), *server_entries(1))
    driver.arrive()
    assert [s.server for s in actions_of(Send, driver.last)] == ["10.0.0.0:80"]


def test_requests_above_the_limit_are_queued_and_freed_capacity_takes_the_head() -> None:
    driver = Driver(settings(proxies=4), *server_entries(1))
    first, second, third = driver.arrive(), driver.arrive(), driver.arrive()
    assert list(driver.sends) == [first]
    assert [s.request for s in actions_of(Send, driver.end(first))] == [second]
    assert third not in driver.sends


def test_capacity_goes_to_the_head_that_waited_the_largest_fraction_of_its_target() -> None:
    classes = (RequestClass(1000.0, 3000.0), RequestClass(200.0, 3000.0))
    driver = Driver(settings(*classes, proxies=4), *server_entries(1))
    first = driver.arrive(0)
    driver.now += 5
    older = driver.arrive(0, wait=3000)
    driver.now += 10
    urgent = driver.arrive(1, wait=3000)
    assert [s.request for s in actions_of(Send, driver.end(first))] == [urgent]
    assert older not in driver.sends


def test_the_server_with_the_higher_reward_is_chosen() -> None:
    driver = Driver(settings(), *server_entries(2))
    failing, good = driver.balancer.active
    failing.reward, failing.recent_outcomes, good.recent_outcomes = 0.2, 50.0, 50.0
    driver.arrive()
    assert list(driver.sends.values()) == [[good.id]]


def test_exploration_retries_a_server_without_recent_outcomes() -> None:
    driver = Driver(settings(), *server_entries(2))
    idle, busy = driver.balancer.active
    driver.balancer.recent_outcomes = 200.0
    idle.reward, idle.recent_outcomes, busy.recent_outcomes = 0.8, 0.0, 100.0
    driver.arrive()
    assert list(driver.sends.values()) == [[idle.id]]


@pytest.mark.parametrize("key_affinity", [True, False])
def test_proxies_of_a_large_tier_share_a_keys_servers_only_with_key_affinity(key_affinity: bool) -> None:
    # If each proxy sent a key to servers of its own, none of them would know the key.
    servers: list[ServerInfo] = server_entries(24)
    used: set[str] = set()
    for me in range(14):
        driver = Driver(settings(proxies=14, me=me, key_affinity=key_affinity), *servers, seed=me)
        for n in range(40):
            request = driver.arrive(key=1000 + n if n % 20 else 7)  # key 7 is as rare as the others
            if n % 20 == 0:
                used.update(driver.sends.get(request, ()))
            driver.end(request)
    assert len(used) == 2 if key_affinity else len(used) > 6


def test_a_large_tier_sends_an_unobserved_cold_server_one_request_in_a_window() -> None:
    # Proxies that start together have observed nothing. If each of them sent a cold server one request, the
    # server would get far more than one in a window.
    slow_start: dict[str, Any] = {
        "key_affinity": True,
        "start_capacity": 0.1,
        "cold_ms": 20_000.0,
        "fall_ms": 1500.0,
    }
    sent = 0
    for me in range(14):
        driver = Driver(settings(proxies=14, me=me, **slow_start), *server_entries(1, started=0.0), seed=me)
        for _ in range(100):  # two windows of 1.5 s
            driver.tick(30.0)
            for request in list(driver.sends):
                sent += 1
                driver.end(request)
                driver.sends.pop(request)
            driver.arrive()
    assert 1 <= sent <= 6


def test_a_tie_goes_to_the_server_with_fewer_requests_in_flight() -> None:
    driver = Driver(settings(), *server_entries(2))
    first = driver.sends[driver.arrive()][0]
    assert driver.sends[driver.arrive()][0] != first


def test_reward_is_one_within_the_target_and_zero_for_late_or_failed_attempts() -> None:
    driver = Driver(settings(), *server_entries(1))
    server = driver.balancer.active[0]
    server.reward = 0.5
    driver.end(driver.arrive(), after=299)
    assert server.reward == pytest.approx(0.55)
    driver.end(driver.arrive(), after=301)
    assert server.reward == pytest.approx(0.495)
    driver.end(driver.arrive(), Result.ERROR)
    assert server.reward == pytest.approx(0.4455)


def blocked(*classes: RequestClass, **changes: Any) -> Driver:
    """Returns a driver with one request at its only server and one queued that can wait for long."""
    driver = Driver(settings(*classes, proxies=4, **changes), *server_entries(1))
    driver.arrive(0)
    driver.arrive(0, wait=100_000)
    return driver


def queue_with_waits(*waits: float) -> tuple[ClassQueue, float]:
    """Returns a queue that has recorded a send with each wait, 20 ms apart, and the time of the last one."""
    driver = blocked()
    queue, now = driver.balancer.queues[0], driver.now
    queue.min_wait, queue.previous_min_wait, queue.sends = 0.0, 0.0, 0
    for wait in waits:
        now += 20
        queue.record_send(now, wait)
    return queue, now


def test_overload_follows_the_minimum_wait_of_the_window() -> None:
    queue, now = queue_with_waits(*[60.0] * 20)
    assert queue.overload_ratio(now) > 1
    queue.record_send(now + 1, 0.0)  # a single immediate send disproves a standing queue
    assert queue.overload_ratio(now + 1) == 0


def test_a_window_with_few_sends_does_not_change_the_overload() -> None:
    queue, now = queue_with_waits(0.0, 60.0, 60.0)
    assert queue.overload_ratio(now) < 1


def test_a_blocked_queue_is_judged_by_the_age_of_its_head() -> None:
    queue, now = queue_with_waits(*[0.0] * 20)
    assert queue.overload_ratio(now + 200) > 1


def test_an_old_window_does_not_make_an_empty_queue_overloaded() -> None:
    queue, now = queue_with_waits(*[60.0] * 20)
    queue.pending[0].is_queued = False
    assert queue.overload_ratio(now + 5) == 0


def test_priority_levels_follow_from_worth_and_quota() -> None:
    classes = tuple(RequestClass(300.0, 900.0, worth=w) for w in (12.0, 7.0, 4.0, 1.0))
    balancer = Balancer(settings(*classes, quotas=(2.0,), over_share_worth=0.05, proxies=2), 1)
    assert [balancer.priority_level(0.0, c, 5) for c in classes] == [1, 2, 3, 4]
    assert [balancer.priority_level(1.0, classes[0], 0) for _ in range(3)] == [1, 4, 4]
    assert balancer.priority_level(2001.0, classes[0], 0) == 1  # the bucket has refilled for a second


@pytest.mark.parametrize(("cls", "answer"), [(0, None), (1, None), (3, Refuse)])
def test_under_overload_only_low_levels_are_refused(cls: int, answer: type | None) -> None:
    classes = tuple(RequestClass(300.0, 900.0, worth=w) for w in (12.0, 7.0, 4.0, 1.0))
    driver = blocked(*classes, retry_after=True, max_retry_after_ms=500)
    driver.now += 160  # blocked for longer than a window
    driver.arrive(cls)
    refused = actions_of(Refuse, driver.last)
    assert bool(refused) == (answer is Refuse)
    if refused:
        assert 0 < refused[0].retry_after_ms <= 500


def test_level_three_is_refused_later_than_level_four() -> None:
    classes = tuple(RequestClass(300.0, 900.0, worth=w) for w in (12.0, 4.0, 1.0))
    counts = {}
    for cls in (1, 2):
        driver = blocked(*classes)
        queue = driver.balancer.queues[0]
        for _ in range(9):
            driver.now += 20
            queue.record_send(driver.now, 1.5 * 0.08 * 300)
        counts[cls] = sum(bool(actions_of(Refuse, driver.last)) for _ in range(20) if driver.arrive(cls))
    assert counts == {1: 0, 2: 20}


def test_overload_of_one_queue_does_not_affect_another() -> None:
    classes = (RequestClass(300.0, 900.0, worth=12.0), RequestClass(500.0, 900.0, worth=1.0))
    driver = blocked(*classes)
    driver.now += 160
    driver.arrive(1)
    assert not actions_of(Refuse, driver.last)


def test_a_queued_request_that_cannot_be_on_time_is_failed() -> None:
    driver = Driver(settings(proxies=4), *server_entries(1))
    driver.arrive()
    queued = driver.arrive()
    assert [f.request for f in actions_of(Fail, driver.tick_for(325))] == [queued]


def test_an_unsent_request_is_failed_before_half_its_wait() -> None:
    # If the client learned of it later, it would have no time left for a retry.
    driver = Driver(settings(RequestClass(5000.0, 9000.0), proxies=4), *server_entries(1))
    driver.arrive(wait=1000)
    queued = driver.arrive(wait=1000)
    assert not actions_of(Fail, driver.tick_for(400))
    assert [f.request for f in actions_of(Fail, driver.tick_for(75))] == [queued]


def test_level_four_is_admitted_to_an_empty_queue_unless_overload_recurs() -> None:
    classes = (RequestClass(300.0, 900.0, worth=12.0), RequestClass(300.0, 900.0, worth=1.0))
    for span, refused in ((0.5, False), (4.0, True)):
        driver = Driver(settings(*classes), *server_entries(40))
        driver.balancer.queues[0].overloaded_at = driver.now
        driver.balancer.queues[0].readmission_span = span
        driver.arrive(1)
        assert bool(actions_of(Refuse, driver.last)) is refused


def test_a_late_request_stays_queued_only_without_overload() -> None:
    spec = RequestClass(300.0, 1000.0, late_worth=0.3)
    driver = Driver(settings(spec, proxies=4), *server_entries(1))
    first, queued = driver.arrive(), driver.arrive()
    driver.balancer.queues[0].overload_ratio = lambda now: 0.0  # type: ignore[method-assign]
    assert not actions_of(Fail, driver.tick_for(400))
    driver.balancer.queues[0].overload_ratio = lambda now: 2.0  # type: ignore[method-assign]
    assert [f.request for f in actions_of(Fail, driver.tick_for(75))] == [queued]
    assert first in driver.sends


def limit_after(latencies: list[float], proxies: int, target: float = 1000.0, start: float = 4.0) -> float:
    server = Server(server_entries(1)[0], proxies)
    server.limit = start
    for latency in latencies:
        server.peak_inflight = max(server.peak_inflight, int(max(1, server.limit)))
        server.observe_latency(latency, latency / target)
    return server.limit


def test_limit_grows_while_responses_are_quick_and_shrinks_when_requests_queue() -> None:
    assert limit_after([50.0] * 100, 2) > 8
    assert limit_after([50.0] * 20 + [200.0] * 200, 2) < 4


def test_limit_is_divided_by_the_number_of_proxies_and_may_fall_below_one() -> None:
    assert 2 / 6 <= limit_after([50.0] * 20 + [300.0] * 200, 6, start=1.0) < 1
    assert limit_after([50.0] * 20 + [300.0] * 400, 1, start=4.0) >= 2


def test_limit_is_cut_when_latency_is_near_the_target_although_the_base_latency_is_high() -> None:
    assert limit_after([150.0] * 200, 2, target=300.0) == pytest.approx(1.0)
    assert limit_after([150.0] * 200, 2, target=3000.0) > 8


def test_limit_recovers_after_congestion() -> None:
    assert limit_after([50.0] * 20 + [600.0] * 200 + [50.0] * 300, 2) > 8


def test_limits_below_one_add_up_to_a_limit_on_all_requests_in_flight() -> None:
    driver = Driver(settings(proxies=4), *server_entries(8))
    for server in driver.balancer.active:
        server.limit = 0.25
    for _ in range(8):
        driver.arrive()
    assert len(driver.sends) == 2
    driver.end("r0")
    assert len(driver.sends) == 3


def test_hanging_servers_do_not_use_up_the_sum_of_limits() -> None:
    driver = Driver(settings(proxies=4), *server_entries(8))
    for _ in range(20):
        driver.end(driver.arrive(), after=20)
    for server in driver.balancer.active:
        server.limit = 0.25
    requests = [driver.arrive() for _ in range(3)]
    assert [request in driver.sends for request in requests] == [True, True, False]
    driver.step(after=30)
    assert requests[2] not in driver.sends  # a response may still be on its way
    driver.step(after=30)
    assert requests[2] in driver.sends


def test_same_events_and_seed_give_the_same_actions() -> None:
    runs = []
    for _ in range(2):
        driver = Driver(settings(), *server_entries(5), seed=7)
        runs.append([driver.end(driver.arrive()) and driver.sends[f"r{i}"] for i in range(50)])
    assert runs[0] == runs[1]


def test_an_outcome_of_an_unknown_request_is_ignored() -> None:
    driver = Driver(settings(), *server_entries(1))
    request = driver.arrive()
    driver.end(request)
    assert driver.step(Outcome(request, 0, Result.OK, 1.0, True)) == []
    assert driver.step(Outcome("unknown", 3, Result.OK, 1.0, True)) == []


@pytest.mark.parametrize(
    "fields",
    [
        {"classes": ()},
        {"classes": (RequestClass(-1.0, 100.0),)},
        {"classes": (RequestClass(1.0, 100.0, worth=-1.0),)},
        {"classes": (RequestClass(1.0, 100.0, worth=0.0),)},
        {"classes": (RequestClass(1.0, 100.0, effect="odd"),)},  # type: ignore[arg-type]
        {"classes": (RequestClass(1.0, 100.0, scope="odd"),)},  # type: ignore[arg-type]
        {"classes": (RequestClass(1.0, float("nan")),)},
    ],
)
def test_impossible_classes_are_named(fields: dict[str, object]) -> None:
    with pytest.raises(ValueError, match="^(class 0: (aim|deadline|worth|effect|scope)|classes|worth)"):
        Balancer(Settings(**fields), 1)  # type: ignore[arg-type]


@pytest.mark.parametrize(
    ("name", "value"),
    [(n, 0) for n in ("proxies", "max_attempts", "zones", "tick_ms", "must_ask_ms", "fall_ms")]
    + [("quotas", (1.0, -1.0)), ("cold_ms", -1.0), ("fall_multiple", float("inf")), ("me", -1)],
)
def test_impossible_settings_are_named(name: str, value: object) -> None:
    with pytest.raises(ValueError, match=f"^{name} must"):
        Balancer(settings(**{name: value}), 1)


def test_with_key_affinity_every_proxy_draws_the_same_two_servers_for_a_key() -> None:
    used: dict[int, set[str]] = {}
    for seed in range(6):
        driver = Driver(settings(key_affinity=True), *server_entries(9), seed=seed)
        for key in range(20):
            request = driver.arrive(key=key)
            used.setdefault(key, set()).update(driver.sends[request])
            driver.end(request)
    assert all(len(servers) <= 2 for servers in used.values())
    assert len({frozenset(s) for s in used.values()}) > 5


def test_all_limits_are_cut_when_the_latency_of_all_servers_is_near_the_target() -> None:
    """Two responses of each server say nothing about that server; those of twenty servers together do."""
    driver = Driver(settings(proxies=4), *server_entries(20))
    servers = driver.balancer.active
    before = sum(s.limit for s in servers)
    for _ in range(80):
        driver.end(driver.arrive(), after=150)
    assert all(s.limit_samples < 8 for s in servers)
    # The minimum: two requests of all proxies at each server.
    assert sum(s.limit for s in servers) == pytest.approx(before / 2)


def test_a_proxy_with_more_than_an_even_share_of_traffic_does_not_judge_all_tenants_over_quota() -> None:
    config = settings(quotas=(40.0, 10.0, 10.0, 10.0), over_share_worth=0.05, proxies=4, zones=2)
    driver = Driver(config, *server_entries(9))
    for second in range(12):  # this proxy gets half of all traffic; tenant 0 uses three times its quota
        for number in range(80):
            tenant = 0 if number < 60 else 1 + number % 3
            driver.step(Arrival(f"{second}.{number}", 0, tenant, None, driver.now + 900))
            driver.tick(after=12.5)
    balancer, spec = driver.balancer, config.classes[0]
    assert balancer.traffic_fraction > 0.4
    driver.now += 1000
    assert [balancer.priority_level(driver.now, spec, 1) for _ in range(4)] == [1] * 4
    levels = [balancer.priority_level(driver.now, spec, 0) for _ in range(60)]
    assert 10 < levels.count(1) < 40


def test_in_a_flood_of_all_tenants_the_traffic_fraction_is_at_most_that_of_a_zone() -> None:
    config = settings(quotas=(10.0, 10.0, 10.0), over_share_worth=0.05, proxies=4, zones=3)
    driver = Driver(config, *server_entries(9))
    for count in range(800):
        driver.step(Arrival(f"{count}", 0, count % 3, None, driver.now + 900))
        driver.tick(after=10)
    assert driver.balancer.traffic_fraction == pytest.approx(1 / 3)


def test_with_a_single_tenant_the_traffic_fraction_is_an_even_share() -> None:
    driver = Driver(settings(quotas=(10.0,), over_share_worth=0.05, proxies=4), *server_entries(9))
    for _ in range(200):
        driver.arrive()
        driver.tick()
    assert driver.balancer.traffic_fraction == 0.25


def test_level_four_is_readmitted_gradually_after_an_overload() -> None:
    classes = (RequestClass(300.0, 900.0, worth=12.0), RequestClass(300.0, 900.0, worth=1.0))
    refused = []
    for since in (1.0, 600.0, 1201.0):
        driver = Driver(settings(*classes), *server_entries(40))
        driver.balancer.queues[0].overloaded_at = driver.now
        driver.balancer.queues[0].readmission_span = 4.0
        driver.now += since
        refused.append(sum(bool(actions_of(Refuse, driver.last)) for _ in range(40) if driver.arrive(1)))
    assert refused[0] >= 38 and 8 < refused[1] < 32 and refused[2] == 0


def test_level_four_is_readmitted_more_slowly_only_if_overload_recurs_soon() -> None:
    # With the longest span after each short spike, level 4 was refused for four latency targets beside idle
    # servers.
    queue = ClassQueue(300.0, 1.0)

    def span_after_overloads(interval: float, times: int) -> float:
        for number in range(times):
            queue.set_overloaded(1e6 + number * interval, True)
            queue.set_overloaded(1e6 + number * interval + 1, False)
        return queue.readmission_span

    assert span_after_overloads(200.0, 1) == 0.5
    assert span_after_overloads(200.0, 6) == 4.0
    queue.overloaded_at = -1e9
    assert span_after_overloads(5000.0, 3) == 0.5


def test_a_retry_past_the_target_of_its_first_try_is_not_sent() -> None:
    for late_worth, sent in ((0.0, False), (0.3, True)):
        driver = Driver(settings(RequestClass(300.0, 1000.0, late_worth=late_worth)), *server_entries(2))
        driver.end(driver.arrive(wait=1000))
        driver.arrive(wait=690)  # the client has already waited 310 ms
        assert bool(actions_of(Send, driver.last)) is sent
        assert bool(actions_of(Fail, driver.last)) is not sent
        driver.arrive(wait=900)
        assert actions_of(Send, driver.last)


def test_a_shorter_client_wait_marks_a_retry_only_after_rejections() -> None:
    # When three of four requests came with an eighth of the usual wait, each of them was taken for a retry
    # past its latency target and failed unsent beside idle servers.
    for expected_retries, low, high in ((0.0, 30, 30), (100.0, 0, 0)):
        driver = Driver(settings(RequestClass(80.0, 400.0)), *server_entries(4))
        sent = 0
        for number in range(40):
            driver.balancer.expected_retries = expected_retries
            request = driver.arrive(wait=45 if number % 4 else 398)
            if request in driver.sends:
                sent += number % 4 > 0
                driver.end(request, after=10.0)
        assert low <= sent <= high
