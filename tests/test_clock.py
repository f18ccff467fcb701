"""Steps of the wall clock: starts of servers are converted to the proxy's clock."""

from __future__ import annotations

import json
import time

import pytest

from flintlatch.net.clock import WallClock, now_ms
from flintlatch.net.starts import MAX_LISTING_DELAY_MS, ServerStarts
from tests.loopback import listing, proxy, run, target

HOUR_MS = 3_600_000.0
STEPS_MS = [-HOUR_MS, -10_000.0, -2000.0, 2000.0, 10_000.0, HOUR_MS]


class SteppedTime:
    """Replaces `time.time` by a wall clock that can be stepped."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.real_time, self.step_s = time.time, 0.0
        monkeypatch.setattr(time, "time", self.time)

    def time(self) -> float:
        return self.real_time() + self.step_s

    def step(self, by_ms: float) -> None:
        self.step_s += by_ms / 1000


@pytest.mark.parametrize("step_ms", STEPS_MS)
def test_the_proxys_clock_does_not_follow_a_step(step_ms: float, monkeypatch: pytest.MonkeyPatch) -> None:
    stepped, before = SteppedTime(monkeypatch), now_ms()
    stepped.step(step_ms)
    assert 0 <= now_ms() - before < 1000


@pytest.mark.parametrize("step_ms", STEPS_MS)
@pytest.mark.parametrize("steps", [1, 3])
def test_a_start_after_steps_is_recent(step_ms: float, steps: int, monkeypatch: pytest.MonkeyPatch) -> None:
    stepped, wall_clock = SteppedTime(monkeypatch), WallClock()
    for _ in range(steps):
        stepped.step(step_ms)
        assert wall_clock.sample() == pytest.approx(step_ms, abs=100)
    assert wall_clock.latest_local_ms(time.time() * 1000) == pytest.approx(now_ms(), abs=100)


@pytest.mark.parametrize("step_ms", STEPS_MS)
def test_a_start_before_a_step_is_never_converted_to_an_earlier_time(
    step_ms: float, monkeypatch: pytest.MonkeyPatch
) -> None:
    stepped, wall_clock = SteppedTime(monkeypatch), WallClock()
    started_unix_ms, started_ms = time.time() * 1000 - 500, now_ms() - 500
    stepped.step(step_ms)
    wall_clock.sample()
    assert started_ms - 100 <= wall_clock.latest_local_ms(started_unix_ms) <= now_ms()


@pytest.mark.parametrize("step_ms", STEPS_MS)
def test_a_start_on_a_machine_whose_clock_was_not_stepped_is_recent(
    step_ms: float, monkeypatch: pytest.MonkeyPatch
) -> None:
    stepped, wall_clock = SteppedTime(monkeypatch), WallClock()
    stepped.step(step_ms)
    wall_clock.sample()
    real_unix_ms = stepped.real_time() * 1000
    assert now_ms() - 1000 <= wall_clock.latest_local_ms(real_unix_ms) <= now_ms()


def test_a_known_start_keeps_its_time_over_steps_and_absence(monkeypatch: pytest.MonkeyPatch) -> None:
    stepped, wall_clock = SteppedTime(monkeypatch), WallClock()
    starts, started = ServerStarts(wall_clock), time.time() * 1000 - 60_000
    first = starts.local_ms("s", started, None)
    for step_ms in STEPS_MS:
        stepped.step(step_ms)
        wall_clock.sample()
        starts.forget(set())
        assert starts.local_ms("s", started, now_ms()) == first


def test_a_start_that_a_list_reports_first_is_recent_whatever_its_time_says() -> None:
    starts, previous_list_ms = ServerStarts(WallClock()), now_ms() - 100
    assert (
        starts.local_ms("s", now_ms() - HOUR_MS, previous_list_ms) >= previous_list_ms - MAX_LISTING_DELAY_MS
    )
    assert starts.local_ms("t", now_ms() + HOUR_MS, previous_list_ms) <= now_ms()


@pytest.mark.parametrize("step_ms", STEPS_MS)
def test_a_server_that_restarts_after_a_step_is_cold(step_ms: float, monkeypatch: pytest.MonkeyPatch) -> None:
    async def test() -> None:
        stepped = SteppedTime(monkeypatch)
        async with proxy(backends=2, obligations={"ColdMs": 20_000}) as p:
            address = p.backends[0].address
            first = await p.registry.requests.get()
            first.reply(json.dumps(listing(2, snapshot=False)).encode())
            watch = await p.registry.requests.get()
            stepped.step(step_ms)
            restarted = target("s0", address, boot_ms=int(time.time() * 1000))
            watch.reply(json.dumps(listing(3, restarted, snapshot=False)).encode())
            await p.registry.requests.get()
            await (await p.client()).ask("/health/ready", "GET")
            server = p.engine.balancer.servers["s0"]
            assert server.cold_until - now_ms() == pytest.approx(20_000, abs=1500)

    run(test())
