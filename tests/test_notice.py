"""How long news of the list may take: it counts as told 6 s after the service had it, come what may."""

from __future__ import annotations

from typing import Any

import pytest

from flintlatch.api import ListKind, ServerList, ServiceMoved, Watch
from flintlatch.net.discovery import (
    FIRST_RESPONSE_GRACE_MS,
    FIRST_LONG_POLL_MS,
    RESPONSE_GRACE_MS,
    PROPAGATION_LIMIT_MS,
    LONG_POLL_MS,
)
from tests.support import Driver, fleet, of, settings
from tests.test_list_service import Tier

CALL_MS = FIRST_LONG_POLL_MS + FIRST_RESPONSE_GRACE_MS
PROXIES = [1, 3, 5, 30, 200, 1000]


def asking(proxies: int, me: int, must_ask_ms: float = 10_000.0) -> Driver:
    more: dict[str, Any] = {"ask_for_list": True, "must_ask_ms": must_ask_ms, "warm_keys": True}
    return Driver(settings(proxies=proxies, me=me, **more), *fleet(3), seed=me)


def wait(driver: Driver) -> float:
    """Ms until the next call."""
    start = driver.now
    while not of(Watch, driver.beat()):
        assert driver.now < start + 20_000
    return driver.now - start


@pytest.mark.parametrize("proxies", PROXIES)
def test_a_watch_that_fell_silent_is_replaced_before_its_news_counts_as_told(proxies: int) -> None:
    for me in {0, proxies // 2, proxies - 1}:
        driver = asking(proxies, me)
        driver.step(ServerList(ListKind.FULL, tuple(fleet(3))))
        driver.step(ServerList(ListKind.FAILED))  # the silence was noticed
        assert LONG_POLL_MS + RESPONSE_GRACE_MS + wait(driver) + CALL_MS <= PROPAGATION_LIMIT_MS


@pytest.mark.parametrize("proxies", PROXIES)
def test_after_any_number_of_failed_calls_the_next_one_comes_in_time(proxies: int) -> None:
    """The service is back in the moment in which a call is made that gets no answer."""
    for me in {0, proxies // 2, proxies - 1}:
        driver = asking(proxies, me)
        for _ in range(12):
            driver.step(ServerList(ListKind.FAILED))
            assert CALL_MS + wait(driver) + CALL_MS <= PROPAGATION_LIMIT_MS


@pytest.mark.parametrize("proxies", PROXIES)
def test_the_first_call_to_any_service_comes_in_time(proxies: int) -> None:
    for me in {0, proxies // 2, proxies - 1}:
        driver = asking(proxies, me)
        assert wait(driver) + CALL_MS <= PROPAGATION_LIMIT_MS
        driver.step(ServerList(ListKind.FULL, tuple(fleet(3))))
        if not of(Watch, driver.step(ServiceMoved())):
            assert wait(driver) + CALL_MS <= PROPAGATION_LIMIT_MS


def test_a_shorter_time_that_the_settings_oblige_to_is_kept_too() -> None:
    driver = asking(200, 199, must_ask_ms=2000.0)
    assert wait(driver) <= 1025
    for _ in range(6):
        driver.step(ServerList(ListKind.FAILED))
        assert wait(driver) <= 1025


@pytest.mark.parametrize("callers", [20, 60, 140])
def test_a_tenth_to_most_of_200_that_start_at_once_are_told_in_time(callers: int) -> None:
    """At a service that takes one call of each in 6.5 s."""
    tier = Tier(200, 32.5, 5, range(200 - callers, 200))
    tier.play({me: 1000.0 + (me * 37) % 100 for me in tier.drivers}, False, 11_000)
    assert len(tier.told) == callers and max(tier.told.values()) <= PROPAGATION_LIMIT_MS
