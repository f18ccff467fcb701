"""An origin, relays and followers as real processes, with faults injected between them. Every follower ends
with the latest versions, none goes back or holds part of a commit, and every reported age is an upper bound.

Timeouts are those of `QUICK`. `LOADED_S` is the slack for an overloaded machine, added to each bound.
"""

from __future__ import annotations

import asyncio
import signal
from collections.abc import Callable, Coroutine, Iterator
from contextlib import AbstractAsyncContextManager
from pathlib import Path
from typing import Any

import pytest
import uvloop

from flintlatch.config.delivery import read_delivery_rules
from flintlatch.config.reader import Reader
from flintlatch.delivery.model import Participant, rank_relays
from flintlatch.delivery.source import POLL_INTERVAL_S
from flintlatch.standin.delivery import QUICK, DeliveryDeployment, delivery_deployment

TEST_TIMEOUT_S = 90.0  # reached only if a test hangs
LOADED_S = 4.0
RULES = read_delivery_rules(Reader("quick", "rules", QUICK, []))
# For leaving a relay that is up but cut off from the origin: its age exceeds the limit, others are tried.
STALE_SWITCH_S = RULES.stale_s + 2 * (RULES.stale_s + RULES.ping_s + RULES.connect_s)
# For reconnecting after relays have returned: detection of the failure, a connect timeout and a backoff.
RECONNECT_S = RULES.failure_detection_s() + RULES.connect_s + RULES.retry_s[1]
RELAYS = ("r0", "r1", "r2")
OUTAGE_LINE = "delivery: no relay with news"


def bound_s(lost_relays: int = 0) -> float:
    """Longest time from the replacement of the file until a change is applied, if `lost_relays` fail then."""
    return RULES.staleness_bound_s(lost_relays, 0.0) + POLL_INTERVAL_S + LOADED_S


def followers_of(deployment: DeliveryDeployment, relay: str) -> tuple[str, ...]:
    return tuple(name for name in deployment.followed_names if deployment.relay_of(name) == relay)


def busiest_relay(deployment: DeliveryDeployment) -> str:
    """The relay with the most followers."""
    return max(RELAYS, key=lambda relay: len(followers_of(deployment, relay)))


async def wait_until_settled(deployment: DeliveryDeployment) -> None:
    """Waits until every follower is at its best-ranked relay."""
    participants = {n: Participant(n, p.zone, p.zone) for n, p in deployment.links.places.items()}
    relays = tuple(participants[name] for name in RELAYS)
    best = {name: rank_relays(participants[name], relays)[0].name for name in deployment.followed_names}
    await deployment.until(
        lambda: all(deployment.relay_of(name) == best[name] for name in best), "the best relay for each"
    )


async def repair(deployment: DeliveryDeployment) -> None:
    """Restores the initial situation except for the revision: no cuts, all processes and services present."""
    deployment.links.heal()
    for child in deployment.children.values():
        if child.paused:
            child.wake()
    await asyncio.gather(
        *(deployment.start(name) for name in deployment.links.places if name not in deployment.children)
    )
    for number in range(8):
        deployment.objects.setdefault(f"s{number}", {f"i{k}": {"weight": k} for k in range(20)})
    await deployment.commit()
    await deployment.all_hold()
    await wait_until_settled(deployment)


Test = Callable[[DeliveryDeployment], Coroutine[Any, Any, None]]


class SharedDeployment:
    """Processes shared by all tests of this module: repaired before each test, restarted after a failure."""

    def __init__(self, folder: Path) -> None:
        self.folder, self.start_count = folder, 0
        self.runner = asyncio.Runner(loop_factory=uvloop.new_event_loop)
        self.context: AbstractAsyncContextManager[DeliveryDeployment] | None = None
        self.deployment: DeliveryDeployment | None = None

    def run(self, test: Test) -> None:
        self.runner.run(asyncio.wait_for(self._run(test), TEST_TIMEOUT_S))

    async def _run(self, test: Test) -> None:
        try:
            if self.deployment is None:
                self.start_count += 1
                folder = self.folder / str(self.start_count)
                folder.mkdir()
                self.context = delivery_deployment(folder)
                self.deployment = await self.context.__aenter__()
                await wait_until_settled(self.deployment)
            else:
                await repair(self.deployment)
            await test(self.deployment)
            self.deployment.check()
        except BaseException:
            await self.close()
            raise

    async def close(self) -> None:
        context, self.context, self.deployment = self.context, None, None
        if context is not None:
            await context.__aexit__(None, None, None)


@pytest.fixture(scope="module")
def shared(tmp_path_factory: pytest.TempPathFactory) -> Iterator[SharedDeployment]:
    processes = SharedDeployment(tmp_path_factory.mktemp("delivery"))
    yield processes
    processes.runner.run(processes.close())
    processes.runner.close()


def test_a_killed_relay_affects_only_its_own_followers(shared: SharedDeployment) -> None:
    async def test(deployment: DeliveryDeployment) -> None:
        for turn in range(3):
            await deployment.commit(f"s{turn}")
            await deployment.all_hold(bound_s())
        lost = busiest_relay(deployment)
        affected = followers_of(deployment, lost)
        others = tuple(name for name in deployment.followed_names if name not in affected)
        logged = sum(deployment.count_log_lines(name, OUTAGE_LINE) for name in deployment.followed_names)
        assert affected and others
        await deployment.kill(lost)
        await deployment.commit("s1")
        await deployment.all_hold(bound_s(), others)
        await deployment.all_hold(bound_s(2), affected)
        # Replaced items and a deleted object, all sent as deltas by relays that the followers just joined.
        await deployment.commit("s1", {"only": 1})
        await deployment.all_hold(bound_s())
        del deployment.objects["s2"]
        await deployment.commit()
        await deployment.all_hold(bound_s())
        await deployment.start(lost)
        await deployment.until(
            lambda: bool(followers_of(deployment, lost)), "a return to the better-ranked relay"
        )
        await deployment.commit("s3")
        await deployment.all_hold(bound_s())
        assert (
            sum(deployment.count_log_lines(name, OUTAGE_LINE) for name in deployment.followed_names) == logged
        )

    shared.run(test)


def test_deltas_buffered_in_a_paused_relay_or_follower_take_no_follower_back(
    shared: SharedDeployment,
) -> None:
    async def test(deployment: DeliveryDeployment) -> None:
        stopped = busiest_relay(deployment)
        affected = followers_of(deployment, stopped)
        assert affected
        await deployment.commit("s0")  # in flight when the relay stops
        deployment.children[stopped].pause()
        slow = next(name for name in deployment.followed_names if name not in affected)
        for turn in range(4):
            await deployment.commit(f"s{turn}")
            if turn == 1:
                deployment.children[slow].pause()
        awake = tuple(name for name in deployment.followed_names if name != slow)
        await deployment.all_hold(bound_s(2), awake)
        deployment.children[stopped].wake()
        deployment.children[slow].wake()
        await deployment.all_hold(RECONNECT_S + bound_s(2))
        for turn in range(4):  # sent by and to processes that have processed their buffers
            await deployment.commit(f"s{turn}")
            await deployment.all_hold(bound_s())

    shared.run(test)


def test_followers_leave_relays_that_are_cut_off_from_them_or_from_the_origin(
    shared: SharedDeployment,
) -> None:
    async def test(deployment: DeliveryDeployment) -> None:
        first = busiest_relay(deployment)
        affected = followers_of(deployment, first)
        deployment.links.cut(first, affected, both=False)  # relay to followers only
        await deployment.commit("s0")
        await deployment.all_hold(bound_s(2))
        assert not any(deployment.relay_of(name) == first for name in affected)
        deployment.links.heal()
        await deployment.commit("s1")
        await deployment.all_hold(bound_s(1))
        second = busiest_relay(deployment)
        deployment.links.cut(followers_of(deployment, second), second, both=False)  # followers to relay only
        await deployment.commit("s2")
        await deployment.all_hold(bound_s(2))
        deployment.links.heal()
        stale = busiest_relay(deployment)
        deployment.links.cut("origin", stale, both=False)  # it still answers pings, but its state gets stale
        await deployment.commit("s3")
        await deployment.all_hold(STALE_SWITCH_S + bound_s(1))
        deployment.links.heal()
        await deployment.commit("s4")
        await deployment.all_hold(RECONNECT_S + bound_s(1))

    shared.run(test)


def test_a_relay_that_lags_behind_is_not_used_when_the_others_are_lost(shared: SharedDeployment) -> None:
    async def test(deployment: DeliveryDeployment) -> None:
        deployment.links.cut("origin", "r1")
        last = await deployment.commit("s0")
        await deployment.all_hold(STALE_SWITCH_S + bound_s(1))
        await asyncio.gather(deployment.kill("r0"), deployment.kill("r2"))  # only the lagging relay is left
        rows_before = {name: len(deployment.children[name].rows) for name in deployment.followed_names}
        new_rows = RULES.failure_detection_s() + 3 * RULES.retry_s[1]  # one row per second
        await deployment.until(
            lambda: all(len(deployment.children[n].rows) > rows_before[n] + new_rows for n in rows_before),
            "attempts",
        )
        # In addition, `SharedDeployment` checks at the end that no follower went back.
        assert all(deployment.holds(name, last) for name in deployment.followed_names)
        assert not any(deployment.relay_of(name) for name in deployment.followed_names)
        deployment.links.heal()
        await deployment.commit("s1")
        await deployment.all_hold(RECONNECT_S + bound_s(2))
        assert len(followers_of(deployment, "r1")) == len(deployment.followed_names)

    shared.run(test)


def test_restarts_of_all_relays_and_then_of_the_origin_lose_no_state(shared: SharedDeployment) -> None:
    async def test(deployment: DeliveryDeployment) -> None:
        exit_codes = await asyncio.gather(*(deployment.kill(relay, signal.SIGTERM) for relay in RELAYS))
        assert exit_codes == [0, 0, 0]
        await deployment.commit("s1")  # committed while no relay runs
        await asyncio.gather(*map(deployment.start, RELAYS))
        await deployment.all_hold(RECONNECT_S + bound_s(2))
        assert await deployment.kill("origin", signal.SIGTERM) == 0
        del deployment.objects["s3"]  # deleted while the origin is down
        deployment.put("s2", {"while": "away"})
        await deployment.start("origin")
        await deployment.wait_for_commit()
        await deployment.all_hold(RECONNECT_S + bound_s(1))
        await deployment.commit("s4")
        await deployment.all_hold(RECONNECT_S + bound_s(1))
        await deployment.kill("origin")  # killed, and its file does not change
        origin = await deployment.start("origin")
        await origin.wait_for_log("revision ")
        await deployment.commit("s5")
        await deployment.all_hold(RECONNECT_S + bound_s(1))

    shared.run(test)


def test_a_partitioned_zone_catches_up_and_logs_the_outage_once(shared: SharedDeployment) -> None:
    async def test(deployment: DeliveryDeployment) -> None:
        inside = tuple(n for n in deployment.followed_names if deployment.links.places[n].zone == "a")
        outside = tuple(n for n in deployment.followed_names if n not in inside)
        assert inside and outside
        logged = {
            name: (deployment.count_log_lines(name, OUTAGE_LINE), deployment.count_log_lines(name, "again"))
            for name in deployment.followed_names
        }
        deployment.links.cut("zone:a", "zone:b")
        before = len(deployment.audit.commits) - 1
        for turn in range(4):
            await deployment.commit(f"s{turn}")
        await deployment.all_hold(bound_s(2), outside)
        await deployment.until(
            lambda: all(deployment.count_log_lines(n, OUTAGE_LINE) > logged[n][0] for n in inside),
            "the log line on the outage",
        )
        assert not any(deployment.holds(name, before + 1) for name in inside)
        await asyncio.sleep(RULES.stale_s)  # time for a repeated log line
        deployment.links.heal()
        await deployment.commit("s5")
        await deployment.all_hold(RECONNECT_S + bound_s(1))
        await deployment.until(
            lambda: all(deployment.count_log_lines(n, "again") > logged[n][1] for n in inside),
            "the log line on its end",
        )
        assert all(deployment.count_log_lines(name, OUTAGE_LINE) == logged[name][0] + 1 for name in inside)
        assert all(deployment.count_log_lines(name, OUTAGE_LINE) == logged[name][0] for name in outside)

    shared.run(test)
