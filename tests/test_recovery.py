"""After a trouble ends, what was learned from it wears off: limits, payoffs, rests and flags."""

from __future__ import annotations

from collections import Counter
from heapq import heappop, heappush

import pytest

from flintlatch.api import (
    Action,
    ListKind,
    Outcome,
    RequestClass,
    Result,
    Send,
    ServerList,
    ServerState,
    DiscoveryServiceChanged,
    Watch,
)
from tests.support import Driver, server_entries, actions_of, settings

RECOVERY_MS = 12_000  # stated in docs/on-call.md: the longest rest (8 s and a quarter), then its trial
STEP_MS = 10  # one arrival each
USUAL_MS = 20.0


class Script:
    """Feeds one arrival each step and answers each send as told for its server; nothing is modelled."""

    def __init__(self, servers: int) -> None:
        classes = RequestClass(300.0, 1000.0, worth=1.0), RequestClass(300.0, 1000.0, worth=0.1)
        self.driver = Driver(settings(*classes), *server_entries(servers))
        self.due: list[tuple[float, str, int, Result, float]] = []
        self.tries: Counter[str] = Counter()
        self.sent: Counter[str] = Counter()

    def run(self, ms: int, answers: dict[str, tuple[Result, float]]) -> None:
        """`answers` by server, others as usual; counts sends by server of this run."""
        self.sent.clear()
        driver = self.driver
        for n in range(ms // STEP_MS):
            self.take(driver.tick(STEP_MS) if n % 3 == 0 else driver.step(after=STEP_MS), answers)
            while self.due and self.due[0][0] <= driver.now:
                _, request, attempt, result, delay = heappop(self.due)
                self.take(driver.step(Outcome(request, attempt, result, delay, result is Result.OK)), answers)
            driver.arrive(n % 2)
            self.take(driver.last, answers)

    def take(self, actions: list[Action], answers: dict[str, tuple[Result, float]]) -> None:
        now = self.driver.now
        for send in actions_of(Send, actions):
            self.sent[send.server] += 1
            result, delay = answers.get(send.server, (Result.OK, USUAL_MS))
            if delay > send.attempt_timeout_ms:
                result, delay = Result.TIMEOUT, send.attempt_timeout_ms
            heappush(self.due, (now + delay, send.request, self.tries[send.request], result, delay))
            self.tries[send.request] += 1


def all_of(servers: int, result: Result, delay: float) -> dict[str, tuple[Result, float]]:
    return {s.server: (result, delay) for s in server_entries(servers)}


TROUBLES = {
    "all slow": all_of(4, Result.OK, 290.0),
    "all beyond the aim": all_of(4, Result.OK, 600.0),
    "all full": all_of(4, Result.FULL, 2.0),
    "all fail": all_of(4, Result.ERROR, 5.0),
    "none answers": all_of(4, Result.OK, 1e6),
    "one refuses": {"10.0.0.0:80": (Result.CONNECT_FAILED, 1.0)},
    "one hangs": {"10.0.0.0:80": (Result.OK, 1e6)},
    "one slow": {"10.0.0.0:80": (Result.OK, 250.0)},
    "one fails quickly": {"10.0.0.0:80": (Result.ERROR, 1.0)},
}


@pytest.mark.parametrize("name", TROUBLES)
def test_what_a_trouble_taught_wears_off(name: str) -> None:
    script = Script(4)
    script.run(5_000, {})
    script.run(8_000, TROUBLES[name])
    script.run(RECOVERY_MS, {})
    script.run(2_000, {})
    balancer = script.driver.balancer
    assert [e.overload_ratio(script.driver.now) for e in balancer.queues] == [0.0]
    assert sum(script.sent.values()) >= 0.98 * 2_000 / STEP_MS  # level 4 is let in again, nothing is held
    fair = sum(script.sent.values()) / 4
    for server in balancer.active:
        assert server.consecutive_failures == 0 and server.ejected_until <= script.driver.now
        assert server.reward > 0.9, server.id
        # Room for all of the traffic at the usual latency, and its part of it.
        assert server.limit >= 2 and script.sent[server.id] > fair / 2, (server.id, server.limit, script.sent)


def test_servers_that_were_away_are_used_as_before() -> None:
    script = Script(4)
    script.run(5_000, {})
    gone = server_entries(4, state=ServerState.GONE)
    script.driver.step(ServerList(ListKind.CHANGES, tuple(gone)))
    script.run(3_000, {})
    assert not script.sent
    script.take(script.driver.step(ServerList(ListKind.CHANGES, tuple(server_entries(4)))), {})
    script.run(3_000, {})  # level 4 comes back over four aims
    script.run(3_000, {})
    assert len(script.sent) == 4 and sum(script.sent.values()) >= 290


def test_a_failed_call_to_a_list_service_just_moved_to_is_made_again_at_once() -> None:
    # Its news counts as told 4 s after the move: the wait that failures of the old one had grown is too long.
    driver = Driver(settings(ask_for_list=True), *server_entries(2))
    for _ in range(6):
        driver.step(ServerList(ListKind.FAILED))
    assert actions_of(Watch, driver.step(DiscoveryServiceChanged()))
    for _ in range(3):
        driver.step(ServerList(ListKind.FAILED))
        assert actions_of(Watch, driver.tick_for(250))
    driver.step(ServerList(ListKind.FULL, tuple(server_entries(2))))
    assert not actions_of(Watch, driver.tick_for(20_000))  # the watch stands
    driver.step(ServerList(ListKind.FAILED))
    assert not actions_of(Watch, driver.tick_for(200))
