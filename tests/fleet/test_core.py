"""The fleet's state machine, driven by events with a simulated clock."""

from __future__ import annotations

from typing import Any, TypeVar

from hypothesis import given, settings
from hypothesis import strategies as st

from flintlatch.fleet.core import (
    KILL_GRACE_S,
    Accept,
    Action,
    Drain,
    Event,
    Fleet,
    GenerationEnded,
    GenerationServing,
    GenerationSettings,
    Kill,
    Phase,
    ReloadDone,
    ReloadRequested,
    SlotState,
    Spawn,
    Stopped,
    Stopping,
    StopRequested,
    Tick,
    WakeAt,
    WorkerExited,
    WorkerFailed,
    WorkerHeartbeat,
    WorkerReady,
    WorkerState,
)

A = TypeVar("A")
GENERATION_SETTINGS = GenerationSettings(
    instances=3,
    ready_s=10.0,
    restart_first_s=0.2,
    restart_most_s=5.0,
    stable_s=8.0,
    give_up_after=4,
    watchdog_s=3.0,
    drain_s=20.0,
    hurry_s=1.0,
    memory_mb=100.0,
)


def settings_with(**changes: Any) -> GenerationSettings:
    fields = {name: getattr(GENERATION_SETTINGS, name) for name in GenerationSettings.__slots__}
    return GenerationSettings(**(fields | changes))


class FleetDriver:
    """Drives a fleet with simulated workers. `jitter`: the position of every random number within its
    range, 0 for the lowest and 1 for the highest."""

    def __init__(self, jitter: float = 1.0) -> None:
        self.fleet = Fleet(lambda low, high: low + (high - low) * jitter)
        self.now = 100.0
        self.actions: list[Action] = []
        self.last: list[Action] = []
        self.ticket = 0
        self.next_wake_s = 0.0

    def send(self, event: Event) -> list[Action]:
        self.last = self.fleet.step(self.now, event)
        self.actions += self.last
        for action in self.last:
            if isinstance(action, WakeAt):
                self.next_wake_s = action.at_s
        return self.last

    def advance(self, seconds: float, alive: bool = True) -> list[Action]:
        """Advances the clock with the requested ticks; workers send heartbeats if `alive`."""
        end_s, actions = self.now + seconds, []
        while self.now < end_s:
            self.now = min(end_s, max(self.next_wake_s, self.now + 0.005), self.now + 2.0)
            if alive:
                for worker in list(self.fleet.workers.values()):
                    if worker.state not in (WorkerState.KILLED, WorkerState.STARTING):
                        actions += self.send(WorkerHeartbeat(worker.id))
            actions += self.send(Tick())
        return actions

    def reload(self, generation_settings: GenerationSettings = GENERATION_SETTINGS) -> int:
        self.ticket += 1
        self.send(ReloadRequested(generation_settings, self.ticket))
        return self.ticket

    def make_all_ready(self) -> None:
        for worker in list(self.fleet.workers.values()):
            if worker.state is WorkerState.STARTING:
                self.send(WorkerReady(worker.id))

    def serving_workers(self) -> list[int]:
        return [w.id for w in self.fleet.workers.values() if w.state is WorkerState.SERVING]

    def start(self) -> FleetDriver:
        self.reload()
        self.make_all_ready()
        assert self.fleet.phase is Phase.SERVING
        return self

    def worker_exits(self, worker: int, exit_status: str = "exit code 0") -> list[Action]:
        return self.send(WorkerExited(worker, exit_status))

    def actions_of(self, kind: type[A], actions: list[Action] | None = None) -> list[A]:
        return [a for a in (self.last if actions is None else actions) if isinstance(a, kind)]

    def reload_result(self, ticket: int) -> ReloadDone:
        (done,) = [a for a in self.actions_of(ReloadDone, self.actions) if a.ticket == ticket]
        return done


def test_first_generation_accepts_worker_by_worker_and_is_announced_once() -> None:
    driver = FleetDriver()
    driver.reload()
    assert [a.number for a in driver.actions_of(Spawn)] == [0, 1, 2]
    assert driver.actions_of(Accept, driver.send(WorkerReady(1))) == [Accept(1)]
    assert not driver.actions_of(GenerationServing, driver.actions)
    driver.make_all_ready()
    assert driver.actions_of(GenerationServing, driver.actions) == [GenerationServing(1, True)]
    assert driver.reload_result(1) == ReloadDone(1, 1, "")


def test_reload_switches_generations_only_when_all_new_workers_are_ready() -> None:
    driver = FleetDriver().start()
    ticket = driver.reload()
    assert [a.generation for a in driver.actions_of(Spawn)] == [2, 2, 2]
    driver.send(WorkerReady(4))
    driver.send(WorkerReady(5))
    # The last 4 actions include those of both WorkerReady events; earlier ones accept the first generation.
    assert not driver.actions_of(Accept, driver.actions[-4:]) and not driver.actions_of(Drain, driver.actions)
    driver.send(WorkerReady(6))
    assert [a.worker for a in driver.actions_of(Accept)] == [4, 5, 6]
    assert driver.actions_of(Drain) == [Drain(worker, 20.0, False) for worker in (1, 2, 3)]
    accepts, drains = driver.last.index(Accept(6)), driver.last.index(Drain(1, 20.0, False))
    assert accepts < drains
    assert driver.reload_result(ticket) == ReloadDone(ticket, 2, "")
    for worker in (1, 2, 3):
        assert not driver.actions_of(GenerationEnded)
        driver.worker_exits(worker)
    assert driver.actions_of(GenerationEnded) == [GenerationEnded(1)]


def test_generation_that_never_gets_ready_is_killed_and_the_old_one_serves_on() -> None:
    driver = FleetDriver().start()
    ticket = driver.reload(settings_with(ready_s=4.0))
    driver.send(WorkerReady(4))
    driver.advance(3.9)
    assert not [a for a in driver.actions_of(ReloadDone, driver.actions) if a.ticket == ticket]
    driver.advance(0.2)
    assert driver.reload_result(ticket).reason == "1 of 3 instances ready within 4 s"
    assert {a.worker for a in driver.actions_of(Kill, driver.actions)} == {4, 5, 6}
    assert driver.serving_workers() == [1, 2, 3] and not driver.actions_of(Drain, driver.actions)
    for worker in (4, 5, 6):
        driver.worker_exits(worker, "signal 9")
    assert driver.actions_of(GenerationEnded) == [GenerationEnded(2)]
    assert not driver.actions_of(Spawn, driver.advance(60.0))


def test_crash_loop_in_a_new_generation_fails_the_reload_before_its_time_limit() -> None:
    driver = FleetDriver().start()
    ticket = driver.reload(settings_with(give_up_after=2))
    driver.send(WorkerFailed(4, "no descriptors"))
    driver.worker_exits(4, "exit code 1")
    (replacement,) = driver.actions_of(Spawn, driver.advance(0.5))
    driver.worker_exits(replacement.worker, "exit code 1")
    assert driver.reload_result(ticket).reason == "instance 0 crashed 2 times in a row, last: exit code 1"
    assert driver.serving_workers() == [1, 2, 3]


def test_reload_requested_during_another_is_queued_and_superseded_by_a_later_one() -> None:
    driver = FleetDriver().start()
    first, second, third = (driver.reload(settings_with(instances=n)) for n in (2, 4, 5))
    assert driver.reload_result(second).reason == "superseded by a later reload request while queued"
    driver.make_all_ready()
    assert driver.reload_result(first).generation == 2
    assert [a.generation for a in driver.actions_of(Spawn)] == [3] * 5
    driver.make_all_ready()
    assert driver.reload_result(third) == ReloadDone(third, 3, "")
    assert len(driver.serving_workers()) == 5


def test_stop_rejects_later_reloads_and_aborts_the_one_in_progress() -> None:
    driver = FleetDriver().start()
    ticket, queued = driver.reload(), driver.reload()
    driver.send(StopRequested())
    assert (
        driver.reload_result(ticket).reason == driver.reload_result(queued).reason == "the fleet is stopping"
    )
    assert {a.worker for a in driver.actions_of(Kill)} == {4, 5, 6}
    assert driver.actions_of(Drain) == [Drain(worker, 20.0, True) for worker in (1, 2, 3)]
    late = driver.reload()
    assert driver.reload_result(late).reason == "the fleet is stopping" and not driver.actions_of(Spawn)


def test_stop_completes_when_the_last_worker_has_exited() -> None:
    driver = FleetDriver().start()
    driver.send(StopRequested())
    assert driver.actions_of(Stopping)
    driver.worker_exits(1)
    driver.worker_exits(3)
    assert not driver.actions_of(Stopped, driver.actions)
    driver.worker_exits(2)
    assert driver.actions_of(Stopped) == [Stopped(False)] and driver.fleet.phase is Phase.STOPPED


def test_second_stop_shortens_the_drain_and_a_third_has_no_effect() -> None:
    driver = FleetDriver().start()
    driver.send(StopRequested())
    driver.advance(2.0)
    driver.send(StopRequested())
    assert driver.actions_of(Drain) == [Drain(worker, 1.0, True) for worker in (1, 2, 3)]
    assert not driver.actions_of(Drain, driver.send(StopRequested()))
    killed = driver.actions_of(Kill, driver.advance(1.0 + KILL_GRACE_S + 0.1))
    assert {a.worker for a in killed} == {1, 2, 3}


def test_worker_that_does_not_drain_within_its_limit_is_killed() -> None:
    driver = FleetDriver().start()
    driver.reload()
    driver.make_all_ready()
    assert not driver.actions_of(Kill, driver.advance(20.0 + KILL_GRACE_S - 0.1))
    assert {a.worker for a in driver.actions_of(Kill, driver.advance(0.2))} == {1, 2, 3}


def test_crashed_worker_is_restarted_with_exponential_backoff() -> None:
    driver = FleetDriver().start()
    delays, worker = [], 1
    for _ in range(3):
        driver.worker_exits(worker, "signal 11")
        delays.append(round(driver.fleet.generations[1].slots[0].restart_at_s - driver.now, 2))
        spawned = driver.actions_of(Spawn, driver.advance(delays[-1] + 0.01))
        worker = spawned[0].worker
        driver.send(WorkerReady(worker))
    assert delays == [0.2, 0.4, 0.8]
    assert [a.worker for a in driver.actions_of(Accept, driver.actions)][
        -1
    ] == worker  # a replacement accepts at once


def test_restart_delay_is_jittered_down_to_half() -> None:
    driver = FleetDriver(jitter=0.0).start()
    driver.worker_exits(1, "signal 11")
    assert driver.fleet.generations[1].slots[0].restart_at_s == driver.now + 0.1


def test_crash_loop_is_given_up_until_a_reload_and_other_slots_serve_on() -> None:
    driver = FleetDriver().start()
    driver.worker_exits(1, "signal 11")
    for _ in range(3):
        (spawned,) = driver.actions_of(Spawn, driver.advance(5.0))
        driver.worker_exits(spawned.worker, "exit code 1")
    assert driver.fleet.generations[1].slots[0].state is SlotState.GIVEN_UP
    assert not driver.actions_of(Spawn, driver.advance(100.0))
    assert driver.serving_workers() == [2, 3] and driver.fleet.phase is Phase.SERVING
    driver.reload()
    driver.make_all_ready()
    assert len(driver.serving_workers()) == 3  # a reload starts all slots again


def test_crash_count_is_reset_after_a_stable_period() -> None:
    driver = FleetDriver().start()
    for _ in range(10):
        driver.advance(9.0)
        (worker,) = [w.id for w in driver.fleet.workers.values() if w.number == 0]
        driver.worker_exits(worker, "signal 11")
        driver.advance(0.3)
        driver.make_all_ready()
    slot = driver.fleet.generations[1].slots[0]
    assert slot.state is SlotState.RUNNING and slot.restarts == 10


def test_fleet_fails_when_all_slots_are_given_up() -> None:
    driver = FleetDriver()
    driver.reload(settings_with(instances=1, give_up_after=2, ready_s=1000.0))
    driver.worker_exits(1, "exit code 1")
    driver.advance(1.0)
    driver.worker_exits(2, "exit code 1")
    assert driver.actions_of(Stopped) == [Stopped(True)]


def test_first_start_with_a_crash_loop_in_one_slot_serves_with_the_others() -> None:
    driver = FleetDriver()
    driver.reload(settings_with(give_up_after=1))
    driver.send(WorkerReady(2))
    driver.send(WorkerReady(3))
    driver.worker_exits(1, "exit code 1")
    assert driver.actions_of(GenerationServing) == [GenerationServing(1, False)]
    assert driver.serving_workers() == [2, 3]


def test_first_start_without_a_ready_worker_within_the_limit_fails() -> None:
    driver = FleetDriver()
    driver.reload()
    driver.advance(10.1, alive=False)
    for worker in (1, 2, 3):
        driver.worker_exits(worker, "signal 9")
    assert driver.actions_of(Stopped, driver.actions) == [Stopped(True)]


def test_watchdog_kills_a_silent_worker_but_not_a_starting_one() -> None:
    driver = FleetDriver().start()
    driver.worker_exits(3, "signal 11")
    driver.advance(0.3)  # worker 4 is starting
    for _ in range(4):
        driver.now += 1.0
        driver.send(WorkerHeartbeat(1))
    assert driver.actions_of(Kill, driver.actions) == [Kill(2)]
    driver.worker_exits(2, "signal 9")
    assert driver.fleet.generations[1].slots[1].last_crash == "signal 9: no sign of life for 3 s"
    assert driver.actions_of(Spawn, driver.advance(0.5))[0].number == 1


def test_worker_over_its_memory_limit_is_replaced_after_the_stable_period() -> None:
    driver = FleetDriver().start()
    assert not driver.actions_of(Spawn, driver.send(WorkerHeartbeat(1, 150.0)))
    driver.advance(8.0)
    driver.send(WorkerHeartbeat(1, 150.0))
    assert driver.actions_of(Spawn) == [Spawn(4, 1, 0)] and driver.actions_of(Drain) == [
        Drain(1, 20.0, False)
    ]
    driver.worker_exits(1)
    assert not driver.actions_of(Spawn, driver.advance(5.0))


def test_handover_to_a_successor_drains_without_accepting_the_backlog() -> None:
    driver = FleetDriver().start()
    driver.send(StopRequested("upgraded", True))
    assert {a.accept_backlog for a in driver.actions_of(Drain)} == {False}


STEPS = st.lists(
    st.tuples(
        st.sampled_from(["reload", "stop", "ready", "exit", "crash", "heartbeat", "time", "failed"]),
        st.integers(0, 30),
    ),
    max_size=40,
)


@given(STEPS)
@settings(max_examples=60, deadline=None)
def test_invariants_hold_for_any_sequence_of_events(steps: list[tuple[str, int]]) -> None:
    """A worker serves unless a serving one crashed; each reload request gets one result; a stop ends every
    worker and generation; worker ids are never reused."""
    driver = FleetDriver().start()
    spawned: set[int] = set()
    serving_worker_crashed = stop_requested = False
    for step_name, argument in steps:
        workers = list(driver.fleet.workers.values())
        worker = workers[argument % len(workers)] if workers else None
        if step_name == "reload":
            driver.reload(settings_with(instances=1 + argument % 3))
        elif step_name == "stop" and argument < 5:
            stop_requested = True
            driver.send(StopRequested())
        elif step_name == "time":
            driver.advance(argument / 4)
        elif worker is not None and step_name == "ready" and worker.state is WorkerState.STARTING:
            driver.send(WorkerReady(worker.id))
        elif (
            worker is not None
            and step_name == "exit"
            and worker.state
            in (
                WorkerState.DRAINING,
                WorkerState.KILLED,
            )
        ):
            driver.worker_exits(worker.id)
        elif worker is not None and step_name == "crash" and argument < 8:
            serving_worker_crashed = serving_worker_crashed or worker.state is WorkerState.SERVING
            driver.worker_exits(worker.id, "signal 11")
        elif worker is not None and step_name == "failed":
            driver.send(WorkerFailed(worker.id, "why"))
        elif worker is not None:  # a heartbeat, also for a step that does not apply to this worker's state
            driver.send(WorkerHeartbeat(worker.id, float(argument)))
        assert serving_worker_crashed or stop_requested or driver.serving_workers()
        current = driver.fleet.current
        if not stop_requested and current is not None and not serving_worker_crashed:
            current_workers = [
                w for w in driver.serving_workers() if driver.fleet.workers[w].generation == current.number
            ]
            assert len(current_workers) == len(current.slots)
    for action in driver.actions_of(Spawn, driver.actions):
        assert action.worker not in spawned
        spawned.add(action.worker)
    if driver.fleet.phase is not Phase.STOPPED:
        driver.send(StopRequested())
        driver.advance(25.0, alive=False)
        for worker in list(driver.fleet.workers.values()):
            assert worker.state is WorkerState.KILLED
            driver.worker_exits(worker.id, "signal 9")
    assert driver.fleet.phase is Phase.STOPPED and not driver.fleet.workers
    assert len(driver.actions_of(Stopped, driver.actions)) == 1
    answered_tickets = [a.ticket for a in driver.actions_of(ReloadDone, driver.actions)]
    assert sorted(answered_tickets) == list(range(1, driver.ticket + 1))
    ended_generations = [a.generation for a in driver.actions_of(GenerationEnded, driver.actions)]
    assert sorted(ended_generations) == list(range(1, driver.fleet.last_generation + 1))
