"""Tests of hedged requests: when and where one is sent, and that one response ends both attempts."""

from __future__ import annotations

from itertools import permutations
from typing import Any

import pytest

from flintlatch.api import (
    NEVER_RAN,
    Action,
    Cancel,
    ClientDisconnected,
    Effect,
    Fail,
    Outcome,
    Refuse,
    RequestClass,
    ResponseStarted,
    Result,
    Scope,
    Send,
    ServerInfo,
)
from tests.support import Driver, actions_of, settings

KEYED = RequestClass(400.0, 1500.0, Effect.KEYED, Scope.CELL, 750.0)
UNSAFE = RequestClass(400.0, 1500.0, Effect.UNSAFE)
SAFE = RequestClass(400.0, 1500.0, Effect.SAFE)


def servers_in_cells(cells: int = 3, servers: int = 3) -> list[ServerInfo]:
    """Returns the same number of servers in each cell; the third part of the address is the cell."""
    return [ServerInfo(f"10.0.{c}.{i}:80", cell=c) for c in range(cells) for i in range(servers)]


LARGE_TIER: dict[str, Any] = {"proxies": 5, "key_affinity": True, "may_duplicate": True}


def hedging_driver(*classes: RequestClass, **changes: Any) -> Driver:
    """Returns a driver in which the decision module has learned the latency of the class: 50 ms.

    A request is then hedged about 72 ms after its first attempt was sent.
    """
    driver = Driver(settings(*(classes or (KEYED,)), **(LARGE_TIER | changes)), *servers_in_cells())
    for _ in range(20):
        driver.end(driver.arrive(), after=50.0)
    return driver


def cell(server: str) -> str:
    return server.split(".")[2]


def test_a_slow_keyed_request_is_hedged_at_another_server_of_its_scope() -> None:
    for _ in range(10):
        driver = hedging_driver()
        request = driver.arrive()
        assert not actions_of(Send, driver.tick_for(25))
        sends = actions_of(Send, driver.tick_for(250))
        assert [s.request for s in sends] == [request]
        one, two = driver.sends[request]
        assert one != two and cell(one) == cell(two)
        assert sends[0].write_within_ms <= 750.0


def test_only_an_attempt_that_may_have_run_determines_the_scope() -> None:
    """The first attempt found no connection, and the second one runs in another scope.

    A hedged request in the scope of the first attempt would execute the request twice.
    """
    for seed in range(20):
        driver = Driver(settings(KEYED, **LARGE_TIER), *servers_in_cells(4), seed=seed)
        request = driver.arrive(key=seed)
        driver.end(request, Result.CONNECT_FAILED, after=1.0)
        driver.tick_for(325)  # without a learned latency a request is hedged after half its target, 200 ms
        sends = driver.sends[request]
        assert len(sends) == 3 and cell(sends[2]) == cell(sends[1])


@pytest.mark.parametrize("spec", [UNSAFE, SAFE])
def test_requests_of_other_effects_are_not_hedged(spec: RequestClass) -> None:
    driver = hedging_driver(spec)
    request = driver.arrive()
    driver.tick_for(380)
    assert len(driver.sends[request]) == 1


def test_no_request_is_hedged_without_permission_to_duplicate_and_cancel() -> None:
    """No request is hedged in a small tier (4 proxies) either: each proxy knows which servers are slow, and
    hedging would only add load."""
    for changes in ({"may_duplicate": False}, {"may_cancel": False}, {"proxies": 4}):
        driver = hedging_driver(KEYED, **changes)
        request = driver.arrive()
        driver.tick_for(380)
        assert len(driver.sends[request]) == 1


def test_no_request_is_hedged_while_others_are_queued() -> None:
    driver = hedging_driver()
    for server in driver.balancer.active:
        server.limit = 1.0
    request = driver.arrive()
    others = [driver.arrive() for _ in range(12)]
    # 13 requests for 9 servers with a limit of 1 each: 4 are queued.
    assert sum(name not in driver.sends for name in others) == 4
    driver.tick_for(100)
    assert len(driver.sends[request]) == 1
    without_queue = hedging_driver()
    request = without_queue.arrive()
    without_queue.tick_for(100)
    assert len(without_queue.sends[request]) == 2


def test_hedged_requests_use_the_retry_budget() -> None:
    driver = hedging_driver()
    driver.balancer.retry_budget = 2.0  # the 8 arrivals add RETRIES_PER_ARRIVAL = 0.1 each: 2.8
    for server in driver.balancer.active:
        server.limit = 10.0
    requests = [driver.arrive() for _ in range(8)]
    driver.tick_for(300)
    assert sum(len(driver.sends[name]) - 1 for name in requests) <= 3


def test_no_request_is_hedged_after_its_window() -> None:
    for spec in (
        RequestClass(400.0, 1500.0, Effect.KEYED, Scope.CELL, 20.0),
        RequestClass(400.0, 1500.0, Effect.KEYED, Scope.CELL, 0.0),
    ):
        driver = hedging_driver(spec)
        request = driver.arrive()
        driver.tick_for(390)
        assert len(driver.sends[request]) == 1


RESULTS = (Result.OK, Result.ERROR, Result.TIMEOUT, Result.RESET, Result.FULL, Result.CONNECT_FAILED)


@pytest.mark.parametrize("order", list(permutations((0, 1))))
@pytest.mark.parametrize("second", RESULTS)
@pytest.mark.parametrize("first", RESULTS)
def test_two_attempts_end_in_one_final_answer_for_any_results(
    first: Result, second: Result, order: tuple[int, int]
) -> None:
    driver = hedging_driver()
    request = driver.arrive()
    driver.tick_for(225)
    assert len(driver.sends[request]) == 2
    results = (first, second)
    actions: list[Action] = []
    answered = False
    for number in order:
        result = results[number]
        if answered:  # the attempt was cancelled, so it has no other result
            assert Cancel(request, number) in actions
            result = Result.CANCELLED
        answered = answered or result is Result.OK
        driver.now += 1.0
        actions += driver.step(Outcome(request, number, result, 200.0, answered))
    executed = [driver.sends[request][n] for n in (0, 1) if results[n] not in NEVER_RAN]
    for _ in range(40):  # outcomes of further attempts
        for number in range(2, len(driver.sends[request])):
            if number >= 2 and not answered:
                assert not executed or cell(driver.sends[request][number]) == cell(executed[0])
                answered = True
                actions += driver.step(Outcome(request, number, Result.OK, 20.0, True))
        actions += driver.tick()
    final_answers = actions_of(Fail, actions) + actions_of(Refuse, actions)
    assert len(final_answers) == (0 if answered else 1)
    assert request not in driver.balancer.requests
    assert sum(s.inflight for s in driver.balancer.active) == 0


def test_a_disconnect_cancels_both_attempts() -> None:
    driver = hedging_driver()
    request = driver.arrive()
    driver.tick_for(225)
    actions = driver.step(ClientDisconnected(request))
    assert actions_of(Cancel, actions) == [Cancel(request, 0), Cancel(request, 1)]
    for number in (0, 1):
        driver.step(Outcome(request, number, Result.CANCELLED, 200.0, True))
    assert request not in driver.balancer.requests


@pytest.mark.parametrize("started", [0, 1])
def test_an_attempt_with_a_started_response_is_never_cancelled(started: int) -> None:
    """The other attempt is cancelled at once, and a late outcome of it does not end the response."""
    driver = hedging_driver()
    request = driver.arrive()
    driver.tick_for(225)
    actions = driver.step(ResponseStarted(request, started, 200.0, Result.OK))
    assert actions_of(Cancel, actions) == [Cancel(request, 1 - started)]
    actions = driver.step(Outcome(request, 1 - started, Result.OK, 200.0, True))
    actions += driver.tick_for(500)
    assert not actions_of(Cancel, actions) and not actions_of(Send, actions) and not actions_of(Fail, actions)
    actions = driver.step(Outcome(request, started, Result.OK, 700.0, True))
    assert not actions_of(Fail, actions) and request not in driver.balancer.requests
