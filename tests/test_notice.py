"""A change of the list counts as known to the proxy 6 s after the service had it: polls must keep this
limit."""

from __future__ import annotations

from typing import Any

import pytest

from flintlatch.api import DiscoveryServiceChanged, ListKind, ServerList, Watch
from flintlatch.choice import HOUSEKEEPING_INTERVAL_MS, WATCH_STAGGER_MAX_MS
from flintlatch.net.discovery import (
    FIRST_LONG_POLL_MS,
    FIRST_RESPONSE_GRACE_MS,
    LONG_POLL_MS,
    PROPAGATION_LIMIT_MS,
    RESPONSE_GRACE_MS,
)
from tests.support import Driver, actions_of, server_entries, settings
from tests.test_list_service import Tier

POLL_MS = FIRST_LONG_POLL_MS + FIRST_RESPONSE_GRACE_MS
PROXIES = [1, 3, 5, 30, 200, 1000]


def polling_driver(proxies: int, me: int, must_ask_ms: float = 10_000.0) -> Driver:
    more: dict[str, Any] = {"ask_for_list": True, "must_ask_ms": must_ask_ms, "key_affinity": True}
    return Driver(settings(proxies=proxies, me=me, **more), *server_entries(3), seed=me)


def ms_until_next_poll(driver: Driver) -> float:
    """Milliseconds until the decision module asks for the next poll."""
    start = driver.now
    while not actions_of(Watch, driver.tick()):
        assert driver.now < start + 20_000
    return driver.now - start


@pytest.mark.parametrize("proxies", PROXIES)
def test_a_silent_poll_is_replaced_within_the_propagation_limit(proxies: int) -> None:
    for me in {0, proxies // 2, proxies - 1}:
        driver = polling_driver(proxies, me)
        driver.step(ServerList(ListKind.SNAPSHOT, tuple(server_entries(3))))
        driver.step(ServerList(ListKind.FAILED))  # the silent poll has timed out
        assert LONG_POLL_MS + RESPONSE_GRACE_MS + ms_until_next_poll(driver) + POLL_MS <= PROPAGATION_LIMIT_MS


@pytest.mark.parametrize("proxies", PROXIES)
def test_after_any_number_of_failed_polls_the_next_one_is_in_time(proxies: int) -> None:
    """The worst case: the service returns just after a poll has started that gets no response."""
    for me in {0, proxies // 2, proxies - 1}:
        driver = polling_driver(proxies, me)
        for _ in range(12):
            driver.step(ServerList(ListKind.FAILED))
            assert POLL_MS + ms_until_next_poll(driver) + POLL_MS <= PROPAGATION_LIMIT_MS


@pytest.mark.parametrize("proxies", PROXIES)
def test_the_first_poll_of_any_service_is_in_time(proxies: int) -> None:
    for me in {0, proxies // 2, proxies - 1}:
        driver = polling_driver(proxies, me)
        assert ms_until_next_poll(driver) + POLL_MS <= PROPAGATION_LIMIT_MS
        driver.step(ServerList(ListKind.SNAPSHOT, tuple(server_entries(3))))
        if not actions_of(Watch, driver.step(DiscoveryServiceChanged())):
            assert ms_until_next_poll(driver) + POLL_MS <= PROPAGATION_LIMIT_MS


@pytest.mark.parametrize("interval_ms", [300, 1600, 2600])
def test_a_series_of_changes_of_the_service_does_not_put_the_poll_off(interval_ms: int) -> None:
    """Second review, shown beside its cases: each change began the stagger of the first poll anew, and a
    drain stayed unknown for 8 s. No poll brings an answer here."""
    for me in (0, 10, 19):
        driver = polling_driver(20, me)
        driver.step(ServerList(ListKind.SNAPSHOT, tuple(server_entries(3))))
        start, polls = driver.now, []
        while driver.now < start + 10_000:
            if (driver.now - start) % interval_ms < 25:
                driver.step(DiscoveryServiceChanged())
            if actions_of(Watch, driver.tick()):
                polls.append(driver.now - start)
        latest_ms = WATCH_STAGGER_MAX_MS + HOUSEKEEPING_INTERVAL_MS
        assert polls[0] <= latest_ms
        # From then on every change is followed by a poll at once.
        assert max(after - before for before, after in zip(polls, polls[1:], strict=False)) <= max(
            interval_ms + 50, latest_ms
        )


def test_a_shorter_limit_in_the_settings_is_kept() -> None:
    driver = polling_driver(200, 199, must_ask_ms=2000.0)
    assert ms_until_next_poll(driver) <= 1025
    for _ in range(6):
        driver.step(ServerList(ListKind.FAILED))
        assert ms_until_next_poll(driver) <= 1025


@pytest.mark.parametrize("callers", [20, 60, 140])
def test_ten_to_seventy_percent_of_200_proxies_starting_at_once_get_the_list_in_time(callers: int) -> None:
    """At a service that takes one request of each proxy in 6.5 s."""
    tier = Tier(200, 32.5, 5, range(200 - callers, 200))
    tier.simulate({me: 1000.0 + (me * 37) % 100 for me in tier.drivers}, False, 11_000)
    assert (
        len(tier.first_list_after_ms) == callers
        and max(tier.first_list_after_ms.values()) <= PROPAGATION_LIMIT_MS
    )
