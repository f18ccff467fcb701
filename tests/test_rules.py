"""Tests of the four rules, of ejection, of retries and of the server list, with single events.

The rules: each request gets one final answer in time (1), a request that may have run is repeated only as its
class permits (2), drained servers get no new requests (3), cold servers are not overloaded (4).
"""

from __future__ import annotations

from typing import Any

import pytest

from flintlatch.api import (
    BodyDiscarded,
    Cancel,
    ClientDisconnected,
    Effect,
    Fail,
    ListKind,
    Log,
    Outcome,
    Refuse,
    RequestClass,
    ResponseStarted,
    Result,
    Scope,
    Send,
    ServerInfo,
    ServerList,
    ServerState,
    Watch,
)
from tests.support import Driver, actions_of, server_entries, settings

SAFE = RequestClass(300.0, 1000.0)
UNSAFE = RequestClass(300.0, 1000.0, effect=Effect.UNSAFE)
KEYED = RequestClass(300.0, 1000.0, effect=Effect.KEYED, scope=Scope.CELL, window_ms=200.0)


# Rule 1: one final answer in time


def test_a_request_without_time_left_is_failed_at_once() -> None:
    driver = Driver(settings(), *server_entries(1))
    request = driver.arrive(wait=0.0)
    assert [f.request for f in actions_of(Fail, driver.last)] == [request]


def test_without_any_server_a_request_is_failed_in_time() -> None:
    driver = Driver(settings())
    request = driver.arrive(wait=200)
    assert [f.request for f in actions_of(Fail, driver.tick_for(175))] == [request]


def test_a_timeout_at_the_deadline_is_answered_in_the_same_step() -> None:
    driver = Driver(settings(UNSAFE), *server_entries(1))
    request = driver.arrive()
    assert [f.request for f in actions_of(Fail, driver.end(request, Result.TIMEOUT, 299.0))] == [request]


def test_an_attempt_that_was_not_sent_ends_in_a_failure() -> None:
    driver = Driver(settings(), *server_entries(1))
    assert actions_of(Fail, driver.end(driver.arrive(), Result.NOT_SENT, 0.0))


def test_a_disconnect_in_the_same_batch_as_the_end_is_ignored() -> None:
    driver = Driver(settings(), *server_entries(1))
    request = driver.arrive()
    actions = driver.step(Outcome(request, 0, Result.OK, 9.0, True), ClientDisconnected(request))
    assert not actions_of(Fail, actions) and not actions_of(Cancel, actions)


def test_a_queued_request_of_a_disconnected_client_is_not_sent() -> None:
    driver = Driver(settings(proxies=4), *server_entries(1))
    first, queued = driver.arrive(), driver.arrive()
    assert not actions_of(
        Send, driver.step(ClientDisconnected(queued), Outcome(first, 0, Result.OK, 5.0, True))
    )


def test_attempts_of_a_disconnected_client_are_cancelled_if_permitted() -> None:
    for allowed in (True, False):
        driver = Driver(settings(may_cancel=allowed), *server_entries(1))
        request = driver.arrive()
        assert bool(actions_of(Cancel, driver.step(ClientDisconnected(request)))) is allowed


def test_a_started_stream_is_neither_cancelled_nor_failed() -> None:
    driver = Driver(settings(RequestClass(100.0, 1000.0, stream=True)), *server_entries(2))
    request = driver.arrive()
    driver.step(ResponseStarted(request, 0, 5.0))
    assert not actions_of(Cancel, driver.tick_for(500)) and not actions_of(Fail, driver.tick_for(1000))


def test_a_response_with_a_latency_of_zero_is_accepted() -> None:
    driver = Driver(settings(), *server_entries(1))
    for _ in range(20):
        driver.end(driver.arrive(), after=0.0)
    assert len(driver.sends) == 20


# Rule 2: retries only as the class permits


@pytest.mark.parametrize("result", [Result.ERROR, Result.RESET, Result.TIMEOUT])
def test_an_unsafe_request_that_may_have_run_is_failed_and_not_retried(result: Result) -> None:
    driver = Driver(settings(UNSAFE), *server_entries(3))
    actions = driver.end(driver.arrive(), result)
    assert actions_of(Fail, actions) and not actions_of(Send, actions) and not actions_of(Refuse, actions)


@pytest.mark.parametrize("result", [Result.FULL, Result.CONNECT_FAILED])
def test_an_unsafe_request_that_never_ran_is_retried_at_another_server(result: Result) -> None:
    driver = Driver(settings(UNSAFE), *server_entries(3))
    request = driver.arrive()
    retries = actions_of(Send, driver.end(request, result))
    assert len(retries) == 1 and retries[0].server != driver.sends[request][0]


def servers_in_cells() -> list[ServerInfo]:
    """Returns two servers in each of three cells; the third part of the address is the cell and the zone."""
    return [ServerInfo(f"10.0.{c}.{i}:80", cell=c, zone=c) for c in range(3) for i in range(2)]


@pytest.mark.parametrize("scope", [Scope.CELL, Scope.ZONE])
def test_a_keyed_retry_stays_within_its_scope(scope: Scope) -> None:
    spec = RequestClass(300.0, 1000.0, effect=Effect.KEYED, scope=scope, window_ms=200.0)
    for seed in range(10):
        driver = Driver(settings(spec), *servers_in_cells(), seed=seed)
        request = driver.arrive()
        assert len(actions_of(Send, driver.end(request, Result.ERROR))) == 1
        one, two = driver.sends[request]
        assert one.split(".")[2] == two.split(".")[2] and one != two


def test_a_keyed_retry_stays_within_the_scope_of_its_execution_when_a_list_moves_the_server() -> None:
    driver = Driver(settings(KEYED), ServerInfo("one:80", cell=1))
    request = driver.arrive()
    moved = (ServerInfo("one:80", cell=2), ServerInfo("two:80", cell=2), ServerInfo("three:80", cell=1))
    driver.step(ServerList(ListKind.SNAPSHOT, moved))
    driver.end(request, Result.ERROR)
    assert driver.sends[request] == ["one:80", "three:80"]


@pytest.mark.parametrize("result", [Result.ERROR, Result.CONNECT_FAILED, Result.FULL])
@pytest.mark.parametrize("spec", [SAFE, KEYED])
def test_a_request_with_a_discarded_body_is_never_retried(spec: RequestClass, result: Result) -> None:
    for discarded in (False, True):
        driver = Driver(settings(spec), *server_entries(3))
        request = driver.arrive()
        if discarded:
            driver.step(BodyDiscarded(request))
        actions = driver.end(request, result)
        assert len(actions_of(Send, actions)) == (not discarded)
        assert bool(actions_of(Fail, actions) + actions_of(Refuse, actions)) is discarded


def test_a_keyed_request_is_not_retried_after_the_window() -> None:
    driver = Driver(settings(KEYED), *servers_in_cells())
    actions = driver.end(driver.arrive(), Result.ERROR, after=201)
    assert actions_of(Fail, actions) and not actions_of(Send, actions)


def test_a_keyed_request_without_capacity_in_its_scope_fails() -> None:
    driver = Driver(settings(KEYED), *servers_in_cells())
    request = driver.arrive()
    home = driver.sends[request][0].split(".")[2]
    for server in driver.balancer.active:
        if str(server.cell) == home:
            server.ejected_until = driver.now + 10_000
    driver.end(request, Result.ERROR)
    actions = driver.tick_for(250)
    assert actions_of(Fail, actions) and not actions_of(Send, actions)


def test_a_keyed_retry_waits_for_capacity_in_its_scope_within_the_window() -> None:
    # If it were sent at once or failed, it would fail although a server of its scope has capacity soon after.
    for ejection_ms, sent in ((60.0, True), (190.0, False)):
        driver = Driver(settings(KEYED), *servers_in_cells())
        request = driver.arrive()
        home = driver.sends[request][0].split(".")[2]
        for server in driver.balancer.active:
            if str(server.cell) == home:
                server.ejected_until = driver.now + ejection_ms
        driver.end(request, Result.ERROR)
        assert len(driver.sends[request]) == 1
        actions = driver.tick_for(250)
        assert bool(actions_of(Send, actions)) is sent and bool(actions_of(Fail, actions)) is not sent
        assert {name.split(".")[2] for name in driver.sends[request]} == {home}
        assert not driver.balancer.scoped_retries


def test_a_keyed_retry_for_all_servers_is_not_queued_beyond_its_window() -> None:
    spec = RequestClass(300.0, 1000.0, effect=Effect.KEYED, scope=Scope.ALL, window_ms=100.0)
    driver = Driver(settings(spec, proxies=4), *server_entries(1))
    request = driver.arrive()
    driver.balancer.active[0].ejected_until = driver.now + 150
    driver.end(request, Result.ERROR)
    assert not actions_of(Send, driver.tick_for(250))


def test_the_number_of_attempts_is_limited() -> None:
    driver = Driver(settings(max_attempts=2), *server_entries(4))
    request = driver.arrive()
    driver.end(request, Result.FULL)
    assert actions_of(Fail, driver.end(request, Result.FULL))


def test_retries_of_requests_that_may_have_run_use_the_retry_budget() -> None:
    driver = Driver(settings(), *server_entries(40))
    resent = sum(len(actions_of(Send, driver.end(driver.arrive(), Result.ERROR))) for _ in range(100))
    assert resent <= 10 + 0.1 * 100 + 1


# Late and abandoned attempts


def test_a_late_attempt_is_neither_cancelled_nor_duplicated() -> None:
    """Servers go on with cancelled work: another attempt would add load while capacity is short."""
    driver = Driver(settings(), *server_entries(2))
    request = driver.arrive()
    assert not actions_of(Cancel, driver.tick_for(275)) and len(driver.sends[request]) == 1


def test_abandoned_attempts_raise_the_mean_latency() -> None:
    driver = Driver(settings(), *server_entries(2))
    for _ in range(20):
        driver.end(driver.arrive(), after=20)
    before = driver.balancer.class_latency[0][0]
    driver.end(driver.arrive(), Result.CANCELLED, after=150)
    assert driver.balancer.class_latency[0][0] > before


def test_an_abandoned_attempt_frees_its_capacity_at_once() -> None:
    # The server stops its work when the connection closes. Counted any longer, the attempt would take
    # capacity that is free.
    driver = Driver(settings(UNSAFE), *server_entries(1))
    driver.end(driver.arrive(), Result.TIMEOUT, after=200)
    assert driver.balancer.active[0].inflight == 0


def test_a_timeout_below_the_ordinary_latency_does_not_count_against_the_server() -> None:
    driver = Driver(settings(UNSAFE), *server_entries(1))
    for _ in range(40):
        driver.end(driver.arrive(), after=50)
    server = driver.balancer.active[0]
    before = server.limit, server.reward, server.consecutive_failures
    driver.end(driver.arrive(), Result.TIMEOUT, after=20)
    assert (server.limit, server.reward, server.consecutive_failures) == before


# Ejection


def fail_at(driver: Driver, server: int, times: int, result: Result = Result.ERROR) -> list[Any]:
    """Lets one server fail up to `times` requests, while all others are ejected."""
    actions: list[Any] = []
    for other in driver.balancer.active:
        other.ejected_until = 0.0 if other is driver.balancer.active[server] else driver.now + 1e9
    for _ in range(times):
        driver.balancer.retry_budget = 0.0
        if not driver.balancer.active[server].has_capacity(driver.now):
            break
        actions += driver.end(driver.arrive(), result)
    return actions


def test_an_outlier_is_ejected_and_half_open_afterwards() -> None:
    driver = Driver(settings(UNSAFE), *server_entries(4))
    server = driver.balancer.active[0]
    assert [a for a in fail_at(driver, 0, 10) if isinstance(a, Log)]
    assert not server.has_capacity(driver.now)
    driver.now = server.ejected_until + 1
    assert server.has_capacity(driver.now)
    server.inflight = 1
    assert not server.has_capacity(driver.now)  # half-open: one probe request, not a full load
    server.inflight = 0
    driver.end(driver.arrive())
    assert server.consecutive_failures == 0


def test_at_most_half_of_the_servers_are_ejected() -> None:
    driver = Driver(settings(UNSAFE), *server_entries(4))
    for n in range(4):
        fail_at(driver, n, 12)
    assert sum(s.consecutive_failures >= 3 for s in driver.balancer.active) <= 2


def test_no_server_is_ejected_if_all_fail_alike() -> None:
    driver = Driver(settings(UNSAFE), *server_entries(4))
    for server in driver.balancer.active:
        server.reward = 0.2
    assert not [a for a in fail_at(driver, 0, 4) if isinstance(a, Log)]


# Rule 3: nothing new to drained servers


def delta(name: str, state: ServerState) -> ServerList:
    return ServerList(ListKind.DELTA, (ServerInfo(name, state),))


@pytest.mark.parametrize("state", [ServerState.DRAINING, ServerState.GONE])
def test_no_request_is_sent_to_a_drained_or_removed_server(state: ServerState) -> None:
    driver = Driver(settings(), *server_entries(2))
    driver.step(delta("10.0.0.0:80", state))
    for _ in range(10):
        driver.end(driver.arrive())
    assert {s for sends in driver.sends.values() for s in sends} == {"10.0.0.1:80"}


def test_a_server_that_is_missing_in_a_snapshot_is_removed() -> None:
    driver = Driver(settings(), *server_entries(2))
    driver.step(ServerList(ListKind.SNAPSHOT, tuple(server_entries(1))))
    assert [s.id for s in driver.balancer.active] == ["10.0.0.0:80"]


def test_a_late_response_of_a_removed_server_is_harmless() -> None:
    driver = Driver(settings(), *server_entries(1))
    request = driver.arrive()
    driver.step(delta("10.0.0.0:80", ServerState.GONE))
    driver.end(request)
    driver.arrive()
    assert not actions_of(Send, driver.last)


def test_a_failed_subscription_is_repeated_before_the_list_is_expected_to_be_known() -> None:
    driver = Driver(settings(ask_for_list=True, proxies=3, must_ask_ms=10_000.0), *server_entries(1))
    assert actions_of(Watch, driver.tick_for(350))
    delays = []
    for _ in range(8):
        driver.step(ServerList(ListKind.FAILED))
        start = driver.now
        while not actions_of(Watch, driver.tick()):
            pass
        delays.append(driver.now - start)
    assert delays[0] < 300 and delays[-1] >= 400 and max(delays) <= 825
    driver.step(ServerList(ListKind.SNAPSHOT, tuple(server_entries(1))))
    assert not actions_of(Watch, driver.tick_for(30_000))


@pytest.mark.parametrize("me", [0, 342, 684])
def test_each_of_hundreds_of_proxies_subscribes_within_the_required_time(me: int) -> None:
    """After that time a proxy is expected to know of drains that it has not received (incident i7da933)."""
    driver = Driver(settings(ask_for_list=True, proxies=685, me=me, must_ask_ms=10_000.0), *server_entries(1))
    assert actions_of(Watch, driver.tick_for(3_050))


def test_hundreds_of_proxies_spread_their_calls_after_a_failure() -> None:
    driver = Driver(settings(ask_for_list=True, proxies=600, must_ask_ms=10_000.0), *server_entries(1))
    driver.tick_for(4_000)
    driver.step(ServerList(ListKind.FAILED))
    assert not actions_of(Watch, driver.tick_for(375))  # their calls are spread over the same span
    assert actions_of(Watch, driver.tick_for(450))


def test_a_subscription_without_an_answer_is_repeated() -> None:
    driver = Driver(settings(ask_for_list=True, must_ask_ms=10_000.0), *server_entries(1))
    assert len(actions_of(Watch, driver.tick_for(12_000))) >= 2


# Rule 4: slow start

SLOW_START = {"start_capacity": 0.12, "cold_ms": 20_000.0, "fall_multiple": 3.0, "fall_ms": 2000.0}


def sent_to(name: str, drivers: list[Driver]) -> int:
    return sum(s == name for d in drivers for sends in d.sends.values() for s in sends)


@pytest.mark.parametrize("split", [(1, 1, 1), (1, 0, 0), (4, 1, 1)])
def test_the_slow_start_budgets_of_all_proxies_hold_for_any_traffic_split(split: tuple[int, ...]) -> None:
    """Warm servers handle 10 requests a second each; a cold one can handle at least a fraction of that."""
    config = settings(proxies=3, **SLOW_START)
    drivers = [Driver(config, *server_entries(4), seed=s) for s in range(3)]
    interval = 1000.0 / 40.0 * sum(split)
    sent: list[tuple[float, int]] = []
    for tick in range(400):
        for driver, weight in zip(drivers, split, strict=True):
            if tick == 200:
                driver.step(ServerList(ListKind.DELTA, (ServerInfo("new:1", started=driver.now),)))
            for _ in range(weight):
                driver.end(driver.arrive(), after=0.0, latency=20.0)
            driver.tick(after=interval)
        sent.append((drivers[0].now, sent_to("new:1", drivers)))
    start = sent[200][0]
    for now, count in sent[200:]:
        before = max((c for t, c in sent if t <= now - 2000), default=0)
        fraction = 0.12 + 0.88 * max(0.0, now - 2000 - start) / 20_000
        assert count - before <= 3 * fraction * 10 * 2 + 3  # 3: the rule's tolerance for random arrivals
    assert sent[-1][1] > 3


def test_a_cold_server_gets_few_requests_before_anything_was_observed() -> None:
    driver = Driver(settings(proxies=2, **SLOW_START), ServerInfo("new:1", started=900.0))
    for _ in range(40):
        driver.arrive(wait=5000)
        for request in list(driver.sends):
            driver.end(request, after=0.0)
        driver.tick(after=50.0)
    assert sent_to("new:1", [driver]) <= 3


def test_a_restarted_server_is_cold_and_its_statistics_are_reset() -> None:
    driver = Driver(settings(**SLOW_START), *server_entries(2))
    server = driver.balancer.active[0]
    server.limit, server.reward = 9.0, 0.1
    driver.step(ServerList(ListKind.DELTA, (ServerInfo("10.0.0.0:80", started=driver.now - 5),)))
    assert server.limit <= 1 and server.reward == 1.0
    assert not server.has_capacity(driver.now)


def test_nothing_is_sent_after_the_final_answer() -> None:
    driver = Driver(settings(), *server_entries(2))
    request = driver.arrive()
    driver.end(request, Result.ERROR)
    driver.end(request, Result.OK)
    assert not actions_of(Send, driver.tick_for(2000))
    assert driver.balancer.requests == {}


def test_requests_of_one_queue_are_sent_in_the_order_of_arrival() -> None:
    driver = Driver(settings(proxies=4), *server_entries(1))
    names = [driver.arrive(wait=5000) for _ in range(3)]
    driver.end(names[0])
    driver.end(names[1])
    assert list(driver.sends) == names


@pytest.mark.parametrize("result", [Result.NO_ROOM, Result.INVALID])
def test_a_result_without_fault_of_the_server_does_not_count_against_it(result: Result) -> None:
    # Neither missing file descriptors of this proxy nor an invalid request may eject a healthy server.
    driver = Driver(settings(), *server_entries(2))
    before = [(s.reward, s.consecutive_failures, s.limit) for s in driver.balancer.active]
    for _ in range(6):
        driver.end(driver.arrive(), result, done=True)
    assert [(s.reward, s.consecutive_failures, s.limit) for s in driver.balancer.active] == before


def test_an_invalid_request_is_not_retried() -> None:
    driver = Driver(settings(), *server_entries(2))
    request = driver.arrive()
    assert actions_of(Fail, driver.end(request, Result.INVALID)) and len(driver.sends[request]) == 1


def test_an_attempt_without_a_free_connection_is_retried_for_any_class() -> None:
    driver = Driver(settings(UNSAFE), *server_entries(2))
    request = driver.arrive()
    driver.end(request, Result.NO_ROOM)
    assert len(driver.sends[request]) == 2
