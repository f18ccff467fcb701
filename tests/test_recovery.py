"""Tests that limits, rewards, ejections and overload recover after a fault has ended."""

from __future__ import annotations

from collections import Counter
from heapq import heappop, heappush

import pytest

from flintlatch.api import (
    Action,
    DiscoveryServiceChanged,
    ListKind,
    Outcome,
    RequestClass,
    Result,
    Send,
    ServerList,
    ServerState,
    Watch,
)
from tests.support import Driver, actions_of, server_entries, settings

RECOVERY_MS = 12_000  # stated in docs/on-call.md: the longest ejection (8 s + 25 %), then a half-open probe
STEP_MS = 10  # with one arrival each
USUAL_LATENCY_MS = 20.0


class ScriptedServers:
    """Lets one request arrive in each step and answers each send with the outcome set for its server."""

    def __init__(self, servers: int) -> None:
        classes = RequestClass(300.0, 1000.0, worth=1.0), RequestClass(300.0, 1000.0, worth=0.1)
        self.driver = Driver(settings(*classes), *server_entries(servers))
        self.due: list[tuple[float, str, int, Result, float]] = []
        self.attempts: Counter[str] = Counter()  # by request
        self.sent: Counter[str] = Counter()  # by server, in the present run

    def run(self, ms: int, answers: dict[str, tuple[Result, float]]) -> None:
        """Runs for `ms`; `answers` has the outcome by server, with a usual response from all others."""
        self.sent.clear()
        driver = self.driver
        for n in range(ms // STEP_MS):
            self.answer_sends(driver.tick(STEP_MS) if n % 3 == 0 else driver.step(after=STEP_MS), answers)
            while self.due and self.due[0][0] <= driver.now:
                _, request, attempt, result, latency = heappop(self.due)
                self.answer_sends(
                    driver.step(Outcome(request, attempt, result, latency, result is Result.OK)), answers
                )
            driver.arrive(n % 2)
            self.answer_sends(driver.last, answers)

    def answer_sends(self, actions: list[Action], answers: dict[str, tuple[Result, float]]) -> None:
        now = self.driver.now
        for send in actions_of(Send, actions):
            self.sent[send.server] += 1
            result, latency = answers.get(send.server, (Result.OK, USUAL_LATENCY_MS))
            if latency > send.attempt_timeout_ms:
                result, latency = Result.TIMEOUT, send.attempt_timeout_ms
            heappush(self.due, (now + latency, send.request, self.attempts[send.request], result, latency))
            self.attempts[send.request] += 1


def all_servers(count: int, result: Result, latency: float) -> dict[str, tuple[Result, float]]:
    return {s.server: (result, latency) for s in server_entries(count)}


FAULTS = {
    "all slow": all_servers(4, Result.OK, 290.0),
    "all above the latency target": all_servers(4, Result.OK, 600.0),
    "all full": all_servers(4, Result.FULL, 2.0),
    "all fail": all_servers(4, Result.ERROR, 5.0),
    "none responds": all_servers(4, Result.OK, 1e6),
    "one refuses connections": {"10.0.0.0:80": (Result.CONNECT_FAILED, 1.0)},
    "one hangs": {"10.0.0.0:80": (Result.OK, 1e6)},
    "one slow": {"10.0.0.0:80": (Result.OK, 250.0)},
    "one fails quickly": {"10.0.0.0:80": (Result.ERROR, 1.0)},
}


@pytest.mark.parametrize("name", FAULTS)
def test_all_statistics_recover_after_a_fault(name: str) -> None:
    script = ScriptedServers(4)
    script.run(5_000, {})
    script.run(8_000, FAULTS[name])
    script.run(RECOVERY_MS, {})
    script.run(2_000, {})
    balancer = script.driver.balancer
    assert [e.overload_ratio(script.driver.now) for e in balancer.queues] == [0.0]
    assert sum(script.sent.values()) >= 0.98 * 2_000 / STEP_MS  # level 4 is admitted, nothing is queued
    even_share = sum(script.sent.values()) / 4
    for server in balancer.active:
        assert server.consecutive_failures == 0 and server.ejected_until <= script.driver.now
        assert server.reward > 0.9, server.id
        # Its limit admits all of the traffic at the usual latency, and it gets its share.
        assert server.limit >= 2 and script.sent[server.id] > even_share / 2, (
            server.id,
            server.limit,
            script.sent,
        )


def test_servers_that_return_are_used_as_before() -> None:
    script = ScriptedServers(4)
    script.run(5_000, {})
    gone = server_entries(4, state=ServerState.GONE)
    script.driver.step(ServerList(ListKind.DELTA, tuple(gone)))
    script.run(3_000, {})
    assert not script.sent
    script.answer_sends(script.driver.step(ServerList(ListKind.DELTA, tuple(server_entries(4)))), {})
    script.run(3_000, {})  # level 4 is readmitted over four latency targets
    script.run(3_000, {})
    assert len(script.sent) == 4 and sum(script.sent.values()) >= 290


def test_a_failed_call_to_a_new_list_service_is_repeated_at_once() -> None:
    # The new list counts as known 4 s after the change: the delay that the failures of the old service have
    # led to would be too long.
    driver = Driver(settings(ask_for_list=True), *server_entries(2))
    for _ in range(6):
        driver.step(ServerList(ListKind.FAILED))
    assert actions_of(Watch, driver.step(DiscoveryServiceChanged()))
    for _ in range(3):
        driver.step(ServerList(ListKind.FAILED))
        assert actions_of(Watch, driver.tick_for(250))
    driver.step(ServerList(ListKind.SNAPSHOT, tuple(server_entries(2))))
    assert not actions_of(Watch, driver.tick_for(20_000))  # the subscription is active
    driver.step(ServerList(ListKind.FAILED))
    assert not actions_of(Watch, driver.tick_for(200))
