"""What a fleet does when: decisions fed by hand, with a clock that the test sets."""

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
    Kill,
    Limits,
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
LIMITS = Limits(
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


def limits(**changes: Any) -> Limits:
    values = {name: getattr(LIMITS, name) for name in Limits.__slots__}
    return Limits(**(values | changes))


class Driver:
    """A fleet whose workers the test plays; `jitter` is what every draw gives, as a part of its range."""

    def __init__(self, jitter: float = 1.0) -> None:
        self.fleet = Fleet(lambda low, high: low + (high - low) * jitter)
        self.now = 100.0
        self.actions: list[Action] = []
        self.last: list[Action] = []
        self.ticket = 0
        self.wake_at = 0.0

    def do(self, event: Event) -> list[Action]:
        self.last = self.fleet.step(self.now, event)
        self.actions += self.last
        for action in self.last:
            if isinstance(action, WakeAt):
                self.wake_at = action.at_s
        return self.last

    def after(self, seconds: float, alive: bool = True) -> list[Action]:
        """Let time pass, with the ticks that were asked for; workers give signs of life if `alive`."""
        until, seen = self.now + seconds, []
        while self.now < until:
            self.now = min(until, max(self.wake_at, self.now + 0.005), self.now + 2.0)
            if alive:
                for worker in list(self.fleet.workers.values()):
                    if worker.state not in (WorkerState.KILLED, WorkerState.STARTING):
                        seen += self.do(WorkerHeartbeat(worker.id))
            seen += self.do(Tick())
        return seen

    def reload(self, asked: Limits = LIMITS) -> int:
        self.ticket += 1
        self.do(ReloadRequested(asked, self.ticket))
        return self.ticket

    def all_ready(self) -> None:
        for worker in list(self.fleet.workers.values()):
            if worker.state is WorkerState.STARTING:
                self.do(WorkerReady(worker.id))

    def serving(self) -> list[int]:
        return [w.id for w in self.fleet.workers.values() if w.state is WorkerState.SERVING]

    def started(self) -> Driver:
        self.reload()
        self.all_ready()
        assert self.fleet.phase is Phase.SERVING
        return self

    def exit(self, worker: int, how: str = "exit code 0") -> list[Action]:
        return self.do(WorkerExited(worker, how))

    def of(self, kind: type[A], actions: list[Action] | None = None) -> list[A]:
        return [a for a in (self.last if actions is None else actions) if isinstance(a, kind)]

    def result(self, ticket: int) -> ReloadDone:
        (done,) = [a for a in self.of(ReloadDone, self.actions) if a.ticket == ticket]
        return done


def test_the_first_generation_serves_as_it_comes_up_and_is_told_once() -> None:
    driver = Driver()
    driver.reload()
    assert [a.number for a in driver.of(Spawn)] == [0, 1, 2]
    assert driver.of(Accept, driver.do(WorkerReady(1))) == [Accept(1)]
    assert not driver.of(GenerationServing, driver.actions)
    driver.all_ready()
    assert driver.of(GenerationServing, driver.actions) == [GenerationServing(1, True)]
    assert driver.result(1) == ReloadDone(1, 1, "")


def test_a_new_generation_accepts_and_the_old_one_drains_only_when_all_of_it_is_ready() -> None:
    driver = Driver().started()
    ticket = driver.reload()
    assert [a.generation for a in driver.of(Spawn)] == [2, 2, 2]
    driver.do(WorkerReady(4))
    driver.do(WorkerReady(5))
    assert not driver.of(Accept, driver.actions[-4:]) and not driver.of(Drain, driver.actions)
    driver.do(WorkerReady(6))
    assert [a.worker for a in driver.of(Accept)] == [4, 5, 6]
    assert driver.of(Drain) == [Drain(worker, 20.0, False) for worker in (1, 2, 3)]
    accepts, drains = driver.last.index(Accept(6)), driver.last.index(Drain(1, 20.0, False))
    assert accepts < drains
    assert driver.result(ticket) == ReloadDone(ticket, 2, "")
    for worker in (1, 2, 3):
        assert not driver.of(GenerationEnded)
        driver.exit(worker)
    assert driver.of(GenerationEnded) == [GenerationEnded(1)]


def test_a_generation_that_never_gets_ready_is_killed_and_the_old_one_stays() -> None:
    driver = Driver().started()
    ticket = driver.reload(limits(ready_s=4.0))
    driver.do(WorkerReady(4))
    driver.after(3.9)
    assert not [a for a in driver.of(ReloadDone, driver.actions) if a.ticket == ticket]
    driver.after(0.2)
    assert driver.result(ticket).reason == "1 of 3 instances ready within 4 s"
    assert {a.worker for a in driver.of(Kill, driver.actions)} == {4, 5, 6}
    assert driver.serving() == [1, 2, 3] and not driver.of(Drain, driver.actions)
    for worker in (4, 5, 6):
        driver.exit(worker, "signal 9")
    assert driver.of(GenerationEnded) == [GenerationEnded(2)]
    assert not driver.of(Spawn, driver.after(60.0))


def test_a_generation_whose_workers_die_at_once_fails_before_its_limit() -> None:
    driver = Driver().started()
    ticket = driver.reload(limits(give_up_after=2))
    driver.do(WorkerFailed(4, "no descriptors"))
    driver.exit(4, "exit code 1")
    (again,) = driver.of(Spawn, driver.after(0.5))
    driver.exit(again.worker, "exit code 1")
    assert driver.result(ticket).reason == "instance 0 crashed 2 times in a row, last: exit code 1"
    assert driver.serving() == [1, 2, 3]


def test_a_reload_during_another_waits_and_of_several_the_last_counts() -> None:
    driver = Driver().started()
    first, second, third = (driver.reload(limits(instances=n)) for n in (2, 4, 5))
    assert driver.result(second).reason == "superseded by a later reload request while queued"
    driver.all_ready()
    assert driver.result(first).generation == 2
    assert [a.generation for a in driver.of(Spawn)] == [3] * 5
    driver.all_ready()
    assert driver.result(third) == ReloadDone(third, 3, "")
    assert len(driver.serving()) == 5


def test_a_reload_while_it_stops_is_refused_and_one_under_way_is_given_up() -> None:
    driver = Driver().started()
    ticket, waits = driver.reload(), driver.reload()
    driver.do(StopRequested())
    assert driver.result(ticket).reason == driver.result(waits).reason == "the fleet is stopping"
    assert {a.worker for a in driver.of(Kill)} == {4, 5, 6}
    assert driver.of(Drain) == [Drain(worker, 20.0, True) for worker in (1, 2, 3)]
    late = driver.reload()
    assert driver.result(late).reason == "the fleet is stopping" and not driver.of(Spawn)


def test_a_stop_ends_when_the_last_worker_has() -> None:
    driver = Driver().started()
    driver.do(StopRequested())
    assert driver.of(Stopping)
    driver.exit(1)
    driver.exit(3)
    assert not driver.of(Stopped, driver.actions)
    driver.exit(2)
    assert driver.of(Stopped) == [Stopped(False)] and driver.fleet.phase is Phase.STOPPED


def test_a_second_stop_hurries_and_a_third_changes_nothing() -> None:
    driver = Driver().started()
    driver.do(StopRequested())
    driver.after(2.0)
    driver.do(StopRequested())
    assert driver.of(Drain) == [Drain(worker, 1.0, True) for worker in (1, 2, 3)]
    assert not driver.of(Drain, driver.do(StopRequested()))
    killed = driver.of(Kill, driver.after(1.0 + KILL_GRACE_S + 0.1))
    assert {a.worker for a in killed} == {1, 2, 3}


def test_one_that_does_not_drain_within_its_limit_is_killed() -> None:
    driver = Driver().started()
    driver.reload()
    driver.all_ready()
    assert not driver.of(Kill, driver.after(20.0 + KILL_GRACE_S - 0.1))
    assert {a.worker for a in driver.of(Kill, driver.after(0.2))} == {1, 2, 3}


def test_a_crashed_worker_is_replaced_after_waits_that_grow() -> None:
    driver = Driver().started()
    waits, worker = [], 1
    for _ in range(3):
        driver.exit(worker, "signal 11")
        waits.append(round(driver.fleet.generations[1].slots[0].restart_at_s - driver.now, 2))
        spawned = driver.of(Spawn, driver.after(waits[-1] + 0.01))
        worker = spawned[0].worker
        driver.do(WorkerReady(worker))
    assert waits == [0.2, 0.4, 0.8]
    assert [a.worker for a in driver.of(Accept, driver.actions)][-1] == worker  # a replacement serves at once


def test_waits_are_jittered_down_to_half() -> None:
    driver = Driver(jitter=0.0).started()
    driver.exit(1, "signal 11")
    assert driver.fleet.generations[1].slots[0].restart_at_s == driver.now + 0.1


def test_a_crash_loop_is_given_up_and_the_others_serve_on() -> None:
    driver = Driver().started()
    driver.exit(1, "signal 11")
    for _ in range(3):
        (spawned,) = driver.of(Spawn, driver.after(5.0))
        driver.exit(spawned.worker, "exit code 1")
    assert driver.fleet.generations[1].slots[0].state is SlotState.GIVEN_UP
    assert not driver.of(Spawn, driver.after(100.0))
    assert driver.serving() == [2, 3] and driver.fleet.phase is Phase.SERVING
    driver.reload()
    driver.all_ready()
    assert len(driver.serving()) == 3  # a reload begins anew


def test_a_worker_that_has_served_for_long_begins_a_new_count() -> None:
    driver = Driver().started()
    for _ in range(10):
        driver.after(9.0)
        (worker,) = [w.id for w in driver.fleet.workers.values() if w.number == 0]
        driver.exit(worker, "signal 11")
        driver.after(0.3)
        driver.all_ready()
    slot = driver.fleet.generations[1].slots[0]
    assert slot.state is SlotState.RUNNING and slot.restarts == 10


def test_when_all_are_given_up_the_fleet_ends_as_failed() -> None:
    driver = Driver()
    driver.reload(limits(instances=1, give_up_after=2, ready_s=1000.0))
    driver.exit(1, "exit code 1")
    driver.after(1.0)
    driver.exit(2, "exit code 1")
    assert driver.of(Stopped) == [Stopped(True)]


def test_a_first_start_with_one_crash_loop_serves_with_the_others() -> None:
    driver = Driver()
    driver.reload(limits(give_up_after=1))
    driver.do(WorkerReady(2))
    driver.do(WorkerReady(3))
    driver.exit(1, "exit code 1")
    assert driver.of(GenerationServing) == [GenerationServing(1, False)]
    assert driver.serving() == [2, 3]


def test_a_first_start_with_nobody_ready_in_time_fails() -> None:
    driver = Driver()
    driver.reload()
    driver.after(10.1, alive=False)
    for worker in (1, 2, 3):
        driver.exit(worker, "signal 9")
    assert driver.of(Stopped, driver.actions) == [Stopped(True)]


def test_a_silent_worker_is_killed_and_replaced_and_a_starting_one_is_not_hurried() -> None:
    driver = Driver().started()
    driver.exit(3, "signal 11")
    driver.after(0.3)  # worker 4 is on its way
    for _ in range(4):
        driver.now += 1.0
        driver.do(WorkerHeartbeat(1))
    assert driver.of(Kill, driver.actions) == [Kill(2)]
    driver.exit(2, "signal 9")
    assert driver.fleet.generations[1].slots[1].last_crash == "signal 9: no sign of life for 3 s"
    assert driver.of(Spawn, driver.after(0.5))[0].number == 1


def test_a_worker_over_its_memory_is_replaced_while_it_drains_and_not_sooner_than_it_is_stable() -> None:
    driver = Driver().started()
    assert not driver.of(Spawn, driver.do(WorkerHeartbeat(1, 150.0)))
    driver.after(8.0)
    driver.do(WorkerHeartbeat(1, 150.0))
    assert driver.of(Spawn) == [Spawn(4, 1, 0)] and driver.of(Drain) == [Drain(1, 20.0, False)]
    driver.exit(1)
    assert not driver.of(Spawn, driver.after(5.0))


def test_a_successor_takes_the_connections_so_none_is_accepted_any_more() -> None:
    driver = Driver().started()
    driver.do(StopRequested("upgraded", True))
    assert {a.accept_backlog for a in driver.of(Drain)} == {False}


STEPS = st.lists(
    st.tuples(
        st.sampled_from(["reload", "stop", "ready", "exit", "crash", "beat", "time", "failed"]),
        st.integers(0, 30),
    ),
    max_size=40,
)


@given(STEPS)
@settings(max_examples=60, deadline=None)
def test_whatever_happens_the_fleet_keeps_its_promises(steps: list[tuple[str, int]]) -> None:
    """Someone serves unless one crashed; each asker gets one answer; a stop ends all; ids don't return."""
    driver = Driver().started()
    spawned: set[int] = set()
    crashed = stopped = False
    for what, number in steps:
        workers = list(driver.fleet.workers.values())
        worker = workers[number % len(workers)] if workers else None
        if what == "reload":
            driver.reload(limits(instances=1 + number % 3))
        elif what == "stop" and number < 5:
            stopped = True
            driver.do(StopRequested())
        elif what == "time":
            driver.after(number / 4)
        elif worker is not None and what == "ready" and worker.state is WorkerState.STARTING:
            driver.do(WorkerReady(worker.id))
        elif (
            worker is not None
            and what == "exit"
            and worker.state
            in (
                WorkerState.DRAINING,
                WorkerState.KILLED,
            )
        ):
            driver.exit(worker.id)
        elif worker is not None and what == "crash" and number < 8:
            crashed = crashed or worker.state is WorkerState.SERVING
            driver.exit(worker.id, "signal 11")
        elif worker is not None and what == "failed":
            driver.do(WorkerFailed(worker.id, "why"))
        elif worker is not None:
            driver.do(WorkerHeartbeat(worker.id, float(number)))
        assert crashed or stopped or driver.serving()
        current = driver.fleet.current
        if not stopped and current is not None and not crashed:
            mine = [w for w in driver.serving() if driver.fleet.workers[w].generation == current.number]
            assert len(mine) == len(current.slots)
    for action in driver.of(Spawn, driver.actions):
        assert action.worker not in spawned
        spawned.add(action.worker)
    if driver.fleet.phase is not Phase.STOPPED:
        driver.do(StopRequested())
        driver.after(25.0, alive=False)
        for worker in list(driver.fleet.workers.values()):
            assert worker.state is WorkerState.KILLED
            driver.exit(worker.id, "signal 9")
    assert driver.fleet.phase is Phase.STOPPED and not driver.fleet.workers
    assert len(driver.of(Stopped, driver.actions)) == 1
    answered = [a.ticket for a in driver.of(ReloadDone, driver.actions)]
    assert sorted(answered) == list(range(1, driver.ticket + 1))
    gone = [a.generation for a in driver.of(GenerationEnded, driver.actions)]
    assert sorted(gone) == list(range(1, driver.fleet.last_generation + 1))
