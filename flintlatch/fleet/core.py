"""State machine of a fleet: decides which worker to start, replace, drain, kill or give up on.

It does no I/O and reads no clock. Each event comes with a time in seconds of any monotonic clock; the
returned actions have to be carried out in order. A worker id is never reused. A generation is the set of
slots of one configuration; a slot holds one worker at a time and starts a new one when that worker crashes.

A reload has two phases: the workers of the new generation start up without accepting connections, and the
old generation drains only when all of them are ready. A new worker that never becomes ready has therefore
accepted nothing and can be killed.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum
from typing import NamedTuple

KILL_GRACE_S = 1.0  # after its drain limit a worker has this long to exit before it is killed
CLEAN_EXIT = "exit code 0"  # `WorkerExited.exit_status` of a worker that drained as requested
RESTART_JITTER = (0.5, 1.0)  # factor on the restart delay: workers that crash together restart apart


class WorkerState(Enum):
    STARTING = "starting"  # has not reported that it is ready
    READY = "ready"  # has not been told to accept connections yet
    SERVING = "serving"
    DRAINING = "draining"
    KILLED = "killed"  # has been sent SIGKILL; its exit is not reported yet


class Phase(Enum):
    STARTING = "starting"
    SERVING = "serving"
    STOPPING = "stopping"
    STOPPED = "stopped"


class SlotState(Enum):
    RUNNING = "running"
    WAITING = "waiting"  # for the end of the restart delay
    GIVEN_UP = "given up"


class GenerationState(Enum):
    PREPARING = "preparing"
    CURRENT = "current"
    ENDING = "ending"


@dataclass(frozen=True, slots=True)
class GenerationSettings:
    """Settings of one generation, in seconds, counts and MB; config/tables.py describes each."""

    instances: int
    ready_s: float
    restart_first_s: float
    restart_most_s: float
    stable_s: float
    give_up_after: int
    watchdog_s: float
    drain_s: float
    hurry_s: float
    memory_mb: float


# Events


class ReloadRequested(NamedTuple):
    """Start a generation with a configuration that has been checked. `ticket` identifies the request."""

    settings: GenerationSettings
    ticket: int


class StopRequested(NamedTuple):
    """SIGTERM or SIGINT; a second one shortens the drain. `handed_over`: a successor accepts on the same
    sockets."""

    reason: str = "asked to"
    handed_over: bool = False


class WorkerReady(NamedTuple):
    worker: int


class WorkerHeartbeat(NamedTuple):
    """The worker's event loop runs. `rss_mb`: its resident memory."""

    worker: int
    rss_mb: float = 0.0


class WorkerFailed(NamedTuple):
    """The worker can't serve, for the given reason; its exit follows."""

    worker: int
    reason: str


class WorkerExited(NamedTuple):
    """The process has exited or could not be started. `exit_status` is for people, for example "signal 9"."""

    worker: int
    exit_status: str


class Tick(NamedTuple):
    """The time given by `WakeAt` has come; additional ticks are harmless."""


Event = ReloadRequested | StopRequested | WorkerReady | WorkerHeartbeat | WorkerFailed | WorkerExited | Tick

# Actions


class Spawn(NamedTuple):
    worker: int
    generation: int
    number: int  # index among the instances, from 0


class Accept(NamedTuple):
    """Let a worker that is ready accept connections."""

    worker: int


class Drain(NamedTuple):
    """Accept nothing new and exit within the limit. `accept_backlog`: no other process accepts on these
    sockets, so first accept the connections that wait in the kernel's queue."""

    worker: int
    limit_s: float
    accept_backlog: bool


class Kill(NamedTuple):
    worker: int


class GenerationServing(NamedTuple):
    """The generation is the current one from now on. `complete`: every slot has a running worker."""

    generation: int
    complete: bool


class ReloadDone(NamedTuple):
    ticket: int
    generation: int  # 0 if none was started
    reason: str  # of the failure; empty on success


class GenerationEnded(NamedTuple):
    """No worker of the generation is left or will be started: its resources may be released."""

    generation: int


class Stopping(NamedTuple):
    reason: str


class Stopped(NamedTuple):
    failed: bool


class LogLine(NamedTuple):
    level: str  # "error", "warning", "info" or "debug"
    text: str


class WakeAt(NamedTuple):
    """Send `Tick` at this time; each WakeAt replaces the one before."""

    at_s: float


Action = (
    Spawn | Accept | Drain | Kill | GenerationServing | ReloadDone | GenerationEnded | Stopping | Stopped
    | LogLine | WakeAt
)  # fmt: skip


@dataclass(slots=True)
class Worker:
    id: int
    generation: int
    number: int
    started_s: float
    last_message_s: float
    state: WorkerState = WorkerState.STARTING
    serving_since_s: float = 0.0  # undefined before the worker serves
    kill_at_s: float = 0.0  # while draining
    reason: str = ""
    rss_mb: float = 0.0


@dataclass(slots=True)
class Slot:
    number: int
    worker: int | None = None
    state: SlotState = SlotState.RUNNING
    restart_at_s: float = 0.0  # while waiting
    consecutive_crashes: int = 0
    restarts: int = 0
    last_crash: str = ""


@dataclass(slots=True)
class Generation:
    number: int
    settings: GenerationSettings
    ticket: int
    ready_deadline_s: float
    state: GenerationState = GenerationState.PREPARING
    slots: list[Slot] = field(default_factory=list)


class Fleet:
    """`step` takes an event and returns the resulting actions. The attributes are read-only for callers."""

    def __init__(self, uniform: Callable[[float, float], float]) -> None:
        """`uniform(a, b)` returns a random number from a to b, as `random.uniform` does."""
        self.uniform = uniform
        self.phase = Phase.STARTING
        self.generations: dict[int, Generation] = {}
        self.workers: dict[int, Worker] = {}
        self.current: Generation | None = None
        self.preparing: Generation | None = None
        self.queued_reload: ReloadRequested | None = None  # at most one, the latest request
        self.drain_shortened = False
        self.handed_over = False
        self.failed = False
        self.last_worker_id = 0
        self.last_generation = 0
        self.now = 0.0
        self.actions: list[Action] = []

    def step(self, now: float, event: Event) -> list[Action]:
        self.now, self.actions = now, []
        if isinstance(event, ReloadRequested):
            self._on_reload(event)
        elif isinstance(event, StopRequested):
            self._on_stop(event.reason, event.handed_over)
        elif isinstance(event, (WorkerReady, WorkerHeartbeat, WorkerFailed)):
            if (worker := self.workers.get(event.worker)) is not None:
                self._on_worker_message(worker, event)
        elif isinstance(event, WorkerExited):
            self._on_exit(event)
        self._check_deadlines()
        if self.phase is not Phase.STOPPED and (at := self._next_deadline()) is not None:
            self.actions.append(WakeAt(at))
        return self.actions

    # Events

    def _on_reload(self, event: ReloadRequested) -> None:
        if self.phase in (Phase.STOPPING, Phase.STOPPED):
            self.actions.append(ReloadDone(event.ticket, 0, "the fleet is stopping"))
        elif self.preparing is not None:
            if self.queued_reload is not None:
                reason = "superseded by a later reload request while queued"
                self.actions.append(ReloadDone(self.queued_reload.ticket, 0, reason))
            self.queued_reload = event
            self._log("info", "reload: queued behind the reload in progress")
        else:
            self._start_generation(event)

    def _start_generation(self, event: ReloadRequested) -> None:
        self.last_generation += 1
        generation = Generation(
            self.last_generation, event.settings, event.ticket, self.now + event.settings.ready_s
        )
        self.generations[generation.number] = self.preparing = generation
        for number in range(event.settings.instances):
            slot = Slot(number)
            generation.slots.append(slot)
            self._spawn(generation, slot)

    def _on_stop(self, reason: str, handed_over: bool = False) -> None:
        if self.phase in (Phase.STOPPING, Phase.STOPPED):
            if not self.drain_shortened:
                self.drain_shortened = True
                self._log("warning", "stop: requested again, shortening the drain")
                for worker in list(self.workers.values()):
                    self._drain(worker, self._settings_of(worker).hurry_s)
            return
        self.phase, self.handed_over = Phase.STOPPING, handed_over
        self.actions.append(Stopping(reason))
        if self.queued_reload is not None:
            self.actions.append(ReloadDone(self.queued_reload.ticket, 0, "the fleet is stopping"))
            self.queued_reload = None
        if self.preparing is not None:
            self._abort_preparing("the fleet is stopping")
        if self.current is not None:
            self._drain_generation(self.current)
        self._check_finished()

    def _on_worker_message(self, worker: Worker, event: WorkerReady | WorkerHeartbeat | WorkerFailed) -> None:
        worker.last_message_s = self.now
        if isinstance(event, WorkerFailed):
            worker.reason = event.reason
        elif isinstance(event, WorkerReady):
            if worker.state is WorkerState.STARTING:
                worker.state = WorkerState.READY
                self._on_ready(self.generations[worker.generation], worker)
        else:
            worker.rss_mb = event.rss_mb
            settings = self._settings_of(worker)
            # Only after stable_s: a limit that is too low for any worker would replace each at once.
            stable = self.now - worker.serving_since_s >= settings.stable_s
            if worker.state is WorkerState.SERVING and worker.rss_mb > settings.memory_mb and stable:
                self._replace_worker(
                    worker, f"{worker.rss_mb:.0f} MB, over its limit of {settings.memory_mb:g}"
                )

    def _on_ready(self, generation: Generation, worker: Worker) -> None:
        # A replacement accepts once it is ready; so does a worker of the first generation, since none serves
        # yet.
        first = self.current is None and self.phase is Phase.STARTING
        if first or generation.state is GenerationState.CURRENT:
            self._accept(worker)
        if generation is self.preparing and self._all_ready(generation):
            self._commit(generation)

    def _on_exit(self, event: WorkerExited) -> None:
        worker = self.workers.pop(event.worker, None)
        if worker is None:
            return
        generation = self.generations[worker.generation]
        slot = generation.slots[worker.number]
        exit_status = f"{event.exit_status}: {worker.reason}" if worker.reason else event.exit_status
        if slot.worker == worker.id:
            slot.worker = None
            if generation.state is not GenerationState.ENDING:
                self._on_crash(generation, slot, worker, exit_status)
        elif worker.state is WorkerState.DRAINING and event.exit_status != CLEAN_EXIT:
            self._log("error", f"{self._describe(worker)} exited while draining, {exit_status}")
        self._check_finished(generation)

    def _on_crash(self, generation: Generation, slot: Slot, worker: Worker, exit_status: str) -> None:
        settings = generation.settings
        serving_since_s = worker.serving_since_s if worker.state is not WorkerState.STARTING else 0.0
        if serving_since_s and self.now - serving_since_s >= settings.stable_s:
            slot.consecutive_crashes = 0
        slot.consecutive_crashes += 1
        slot.last_crash = exit_status
        if slot.consecutive_crashes >= settings.give_up_after:
            slot.state = SlotState.GIVEN_UP
            self._log(
                "error",
                f"{self._describe(worker)} exited, {exit_status}: given up after "
                f"{slot.consecutive_crashes} crashes in a row, until the next reload",
            )
            if generation is self.preparing:
                if self.current is not None:
                    self._abort_preparing(
                        f"instance {slot.number} crashed {slot.consecutive_crashes} times in a row, "
                        f"last: {exit_status}"
                    )
                elif self._all_ready(generation):
                    self._commit(generation)
            if all(s.state is SlotState.GIVEN_UP for s in generation.slots):
                self._on_all_slots_given_up(generation)
            return
        delay_s = min(settings.restart_first_s * 2 ** (slot.consecutive_crashes - 1), settings.restart_most_s)
        delay_s *= self.uniform(*RESTART_JITTER)
        slot.state, slot.restart_at_s = SlotState.WAITING, self.now + delay_s
        self._log("warning", f"{self._describe(worker)} exited, {exit_status}: restarting in {delay_s:.2f} s")

    def _on_all_slots_given_up(self, generation: Generation) -> None:
        """Stops the fleet as failed, so that the service manager or an operator notices."""
        if generation is self.current or self.current is None:
            self.failed = True
            if self.phase is not Phase.STOPPING:
                self._on_stop("every instance is given up")

    # Generations

    def _all_ready(self, generation: Generation) -> bool:
        """Whether each slot has a ready worker. While no generation serves, slots that are given up don't
        count, unless all are."""
        ready = []
        for slot in generation.slots:
            worker = self.workers.get(slot.worker) if slot.worker is not None else None
            is_ready = worker is not None and worker.state in (WorkerState.READY, WorkerState.SERVING)
            ready.append(is_ready or (self.current is None and slot.state is SlotState.GIVEN_UP))
        return all(ready) and any(s.state is not SlotState.GIVEN_UP for s in generation.slots)

    def _commit(self, generation: Generation) -> None:
        previous, self.current, self.preparing = self.current, generation, None
        generation.state = GenerationState.CURRENT
        self.phase = Phase.SERVING
        for slot in generation.slots:
            if slot.worker is not None and self.workers[slot.worker].state is WorkerState.READY:
                self._accept(self.workers[slot.worker])
        running = [s for s in generation.slots if s.worker is not None and s.state is SlotState.RUNNING]
        self.actions.append(GenerationServing(generation.number, len(running) == len(generation.slots)))
        self.actions.append(ReloadDone(generation.ticket, generation.number, ""))
        if previous is not None:
            self._drain_generation(previous)
        self._start_queued_reload()

    def _abort_preparing(self, reason: str) -> None:
        """Ends a reload that failed. Its workers are killed, since they have accepted nothing; those of the
        first generation may serve already, so they drain."""
        generation, self.preparing = self.preparing, None
        assert generation is not None
        if self.current is None:
            self._drain_generation(generation)
        else:
            generation.state = GenerationState.ENDING
            for slot in generation.slots:
                worker_id, slot.worker = slot.worker, None
                if worker_id is not None:
                    self._kill(self.workers[worker_id])
        self.actions.append(ReloadDone(generation.ticket, generation.number, reason))
        self._check_finished(generation)
        self._start_queued_reload()

    def _start_queued_reload(self) -> None:
        event, self.queued_reload = self.queued_reload, None
        if event is not None:
            self._start_generation(event)

    def _drain_generation(self, generation: Generation) -> None:
        generation.state = GenerationState.ENDING
        for slot in generation.slots:
            worker_id, slot.worker = slot.worker, None
            if worker_id is not None:
                self._drain(self.workers[worker_id], generation.settings.drain_s)
        self._check_finished(generation)

    def _check_finished(self, generation: Generation | None = None) -> None:
        if generation is not None and generation.state is GenerationState.ENDING:
            workers_left = any(w.generation == generation.number for w in self.workers.values())
            if not workers_left and self.generations.pop(generation.number, None) is not None:
                self.actions.append(GenerationEnded(generation.number))
                if generation is self.current:
                    self.current = None
        if self.phase is Phase.STOPPING and not self.workers:
            self.phase = Phase.STOPPED
            self.actions.append(Stopped(self.failed))

    # Workers

    def _spawn(self, generation: Generation, slot: Slot) -> None:
        self.last_worker_id += 1
        worker = Worker(self.last_worker_id, generation.number, slot.number, self.now, self.now)
        self.workers[worker.id] = worker
        slot.worker, slot.state = worker.id, SlotState.RUNNING
        self.actions.append(Spawn(worker.id, generation.number, slot.number))

    def _accept(self, worker: Worker) -> None:
        worker.state, worker.serving_since_s = WorkerState.SERVING, self.now
        self.actions.append(Accept(worker.id))

    def _drain(self, worker: Worker, limit_s: float) -> None:
        if worker.state is WorkerState.KILLED:
            return
        if worker.state in (WorkerState.STARTING, WorkerState.READY):  # has no connections
            self._kill(worker)
            return
        kill_at_s = self.now + limit_s + KILL_GRACE_S
        if worker.state is WorkerState.DRAINING and worker.kill_at_s <= kill_at_s:
            return
        worker.state, worker.kill_at_s = WorkerState.DRAINING, kill_at_s
        accept_backlog = self.phase is Phase.STOPPING and not self.handed_over
        self.actions.append(Drain(worker.id, limit_s, accept_backlog))

    def _kill(self, worker: Worker) -> None:
        if worker.state is not WorkerState.KILLED:
            worker.state = WorkerState.KILLED
            self.actions.append(Kill(worker.id))

    def _replace_worker(self, worker: Worker, reason: str) -> None:
        generation = self.generations[worker.generation]
        slot = generation.slots[worker.number]
        if slot.worker != worker.id:
            return
        self._log("warning", f"{self._describe(worker)} is replaced: {reason}")
        slot.restarts += 1
        slot.last_crash = reason
        self._spawn(generation, slot)
        self._drain(worker, generation.settings.drain_s)

    # Time

    def _check_deadlines(self) -> None:
        for worker in list(self.workers.values()):
            settings = self._settings_of(worker)
            if worker.state is WorkerState.KILLED:
                continue
            if worker.state is WorkerState.DRAINING and self.now >= worker.kill_at_s:
                self._log("error", f"{self._describe(worker)} is killed: it did not drain within its limit")
                self._kill(worker)
            elif worker.state is WorkerState.STARTING:
                if self.now >= worker.started_s + settings.ready_s:
                    worker.reason = f"not ready within {settings.ready_s:g} s"
                    self._kill(worker)
            elif self.now >= worker.last_message_s + settings.watchdog_s:
                worker.reason = f"no sign of life for {settings.watchdog_s:g} s"
                self._kill(worker)
        generation = self.preparing
        if generation is not None and self.now >= generation.ready_deadline_s:
            ready_count = sum(
                s.worker is not None
                and self.workers[s.worker].state in (WorkerState.READY, WorkerState.SERVING)
                for s in generation.slots
            )
            text = (
                f"{ready_count} of {len(generation.slots)} instances ready "
                f"within {generation.settings.ready_s:g} s"
            )
            if self.current is not None:
                self._abort_preparing(text)
            elif ready_count:  # the first start: serve with the instances that are ready
                self._log("error", text)
                self._commit(generation)
            else:
                self.failed = True
                self._on_stop(text)
        if self.phase in (Phase.STARTING, Phase.SERVING):
            for generation in self.generations.values():
                for slot in generation.slots:
                    is_waiting = slot.state is SlotState.WAITING and slot.worker is None
                    if (
                        is_waiting
                        and generation.state is not GenerationState.ENDING
                        and self.now >= slot.restart_at_s
                    ):
                        slot.restarts += 1
                        self._spawn(generation, slot)

    def _next_deadline(self) -> float | None:
        deadlines = []
        for worker in self.workers.values():
            settings = self._settings_of(worker)
            if worker.state is WorkerState.DRAINING:
                deadlines.append(worker.kill_at_s)
            if worker.state is WorkerState.STARTING:
                deadlines.append(worker.started_s + settings.ready_s)
            elif worker.state is not WorkerState.KILLED:
                deadlines.append(worker.last_message_s + settings.watchdog_s)
        if self.preparing is not None:
            deadlines.append(self.preparing.ready_deadline_s)
        for generation in self.generations.values():
            if generation.state is not GenerationState.ENDING:
                deadlines += [s.restart_at_s for s in generation.slots if s.state is SlotState.WAITING]
        return min(deadlines, default=None)

    def _settings_of(self, worker: Worker) -> GenerationSettings:
        return self.generations[worker.generation].settings

    def _describe(self, worker: Worker) -> str:
        return f"instance {worker.number} of generation {worker.generation} (worker {worker.id})"

    def _log(self, level: str, text: str) -> None:
        self.actions.append(LogLine(level, text))
