"""A second copy of a keyed request beside its first: when, where, and that one answer ends both."""

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
    Result,
    Scope,
    Send,
    ServerInfo,
    ResponseStarted,
)
from tests.support import Driver, actions_of, settings

PURCHASE = RequestClass(400.0, 1500.0, Effect.KEYED, Scope.CELL, 750.0)
ANSWER = RequestClass(400.0, 1500.0, Effect.UNSAFE)
LOOKUP = RequestClass(400.0, 1500.0, Effect.SAFE)


def cells(n: int = 3, each: int = 3) -> list[ServerInfo]:
    return [ServerInfo(f"10.0.{c}.{i}:80", cell=c) for c in range(n) for i in range(each)]


MANY: dict[str, Any] = {"proxies": 5, "key_affinity": True, "may_duplicate": True}


def copying(*classes: RequestClass, **more: Any) -> Driver:
    driver = Driver(settings(*(classes or (PURCHASE,)), **(MANY | more)), *cells())
    for _ in range(20):
        driver.end(driver.arrive(), after=50.0)
    return driver


def cell(server: str) -> str:
    return server.split(".")[2]


def test_a_keyed_request_that_has_had_its_fair_chance_is_sent_to_another_server_of_its_group() -> None:
    for _ in range(10):
        driver = copying()
        request = driver.arrive()
        assert not actions_of(Send, driver.tick_for(25))
        sends = actions_of(Send, driver.tick_for(250))
        assert [s.request for s in sends] == [request]
        one, two = driver.sends[request]
        assert one != two and cell(one) == cell(two)
        assert sends[0].write_within_ms <= 750.0


def test_what_ran_nowhere_binds_no_copy_and_what_may_have_run_does() -> None:
    """The first attempt found no connection; the second is at work in another group, which alone may see a
    copy. Taken for the first's group, servers that know nothing of it would do it again."""
    for seed in range(20):
        driver = Driver(settings(PURCHASE, **MANY), *cells(4), seed=seed)
        request = driver.arrive(key=seed)
        driver.end(request, Result.CONNECT_FAILED, after=1.0)
        driver.tick_for(325)
        sends = driver.sends[request]
        assert len(sends) == 3 and cell(sends[2]) == cell(sends[1])


@pytest.mark.parametrize("spec", [ANSWER, LOOKUP])
def test_no_other_effect_has_two_copies_at_work(spec: RequestClass) -> None:
    driver = copying(spec)
    request = driver.arrive()
    driver.tick_for(380)
    assert len(driver.sends[request]) == 1


def test_no_copy_where_the_settings_do_not_allow_one_or_it_could_not_be_called_off() -> None:
    """Nor of few proxies: each knows which servers are slow, and a copy is work for nothing."""
    for more in ({"may_duplicate": False}, {"may_cancel": False}, {"proxies": 4}):
        driver = copying(PURCHASE, **more)
        request = driver.arrive()
        driver.tick_for(380)
        assert len(driver.sends[request]) == 1


def test_no_copy_while_others_wait_to_be_sent() -> None:
    driver = copying()
    for server in driver.balancer.active:
        server.limit = 1.0
    request = driver.arrive()
    others = [driver.arrive() for _ in range(12)]
    assert sum(name not in driver.sends for name in others) == 4
    driver.tick_for(100)
    assert len(driver.sends[request]) == 1
    calm = copying()
    request = calm.arrive()
    calm.tick_for(100)
    assert len(calm.sends[request]) == 2


def test_copies_are_no_more_than_the_share_of_retries() -> None:
    driver = copying()
    driver.balancer.retry_budget = 2.0
    for server in driver.balancer.active:
        server.limit = 10.0
    requests = [driver.arrive() for _ in range(8)]
    driver.tick_for(300)
    assert sum(len(driver.sends[name]) - 1 for name in requests) <= 3


def test_no_copy_comes_behind_the_window_or_too_late_to_be_of_use() -> None:
    for spec in (
        RequestClass(400.0, 1500.0, Effect.KEYED, Scope.CELL, 20.0),
        RequestClass(400.0, 1500.0, Effect.KEYED, Scope.CELL, 0.0),
    ):
        driver = copying(spec)
        request = driver.arrive()
        driver.tick_for(390)
        assert len(driver.sends[request]) == 1


ENDS = (Result.OK, Result.ERROR, Result.TIMEOUT, Result.RESET, Result.FULL, Result.CONNECT_FAILED)


@pytest.mark.parametrize("order", list(permutations((0, 1))))
@pytest.mark.parametrize("second", ENDS)
@pytest.mark.parametrize("first", ENDS)
def test_two_copies_end_in_one_answer_whatever_becomes_of_each(
    first: Result, second: Result, order: tuple[int, int]
) -> None:
    driver = copying()
    request = driver.arrive()
    driver.tick_for(225)
    assert len(driver.sends[request]) == 2
    results = (first, second)
    actions: list[Action] = []
    answered = False
    for number in order:
        result = results[number]
        if answered:  # called off, whatever it would have brought
            assert Cancel(request, number) in actions
            result = Result.CANCELLED
        answered = answered or result is Result.OK
        driver.now += 1.0
        actions += driver.step(Outcome(request, number, result, 200.0, answered))
    ran = [driver.sends[request][n] for n in (0, 1) if results[n] not in NEVER_RAN]
    for _ in range(40):  # what further attempts, if it comes to any, are owed
        for number in range(2, len(driver.sends[request])):
            if number >= 2 and not answered:
                assert not ran or cell(driver.sends[request][number]) == cell(ran[0])
                answered = True
                actions += driver.step(Outcome(request, number, Result.OK, 20.0, True))
        actions += driver.tick()
    finals = actions_of(Fail, actions) + actions_of(Refuse, actions)
    assert len(finals) == (0 if answered else 1)
    assert request not in driver.balancer.requests
    assert sum(s.inflight for s in driver.balancer.active) == 0


def test_a_client_that_leaves_ends_both_copies() -> None:
    driver = copying()
    request = driver.arrive()
    driver.tick_for(225)
    actions = driver.step(ClientDisconnected(request))
    assert actions_of(Cancel, actions) == [Cancel(request, 0), Cancel(request, 1)]
    for number in (0, 1):
        driver.step(Outcome(request, number, Result.CANCELLED, 200.0, True))
    assert request not in driver.balancer.requests


@pytest.mark.parametrize("begun", [0, 1])
def test_a_copy_whose_answer_is_being_passed_on_is_never_called_off(begun: int) -> None:
    """The other one is, at once; and whatever it brings in the same moment ends nothing of the answer."""
    driver = copying()
    request = driver.arrive()
    driver.tick_for(225)
    actions = driver.step(ResponseStarted(request, begun, 200.0, Result.OK))
    assert actions_of(Cancel, actions) == [Cancel(request, 1 - begun)]
    actions = driver.step(Outcome(request, 1 - begun, Result.OK, 200.0, True))
    actions += driver.tick_for(500)
    assert not actions_of(Cancel, actions) and not actions_of(Send, actions) and not actions_of(Fail, actions)
    actions = driver.step(Outcome(request, begun, Result.OK, 700.0, True))
    assert not actions_of(Fail, actions) and request not in driver.balancer.requests
