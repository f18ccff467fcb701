"""What a fleet does when: which worker to start, replace, drain, kill or give up on. No I/O, no clock.

Events go in with a time in seconds of any clock that only goes forward; actions come out, to be carried
out in order. Each worker has an id that never returns. A generation is one configuration's set of slots;
each slot holds one worker at a time and starts the next when it crashes.

Reload in two steps: the workers of the new generation get ready without accepting, and only when all of
them are does the old one drain. So one that never gets ready has taken nothing, and can just be killed.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum
from typing import NamedTuple

KILL_AFTER_S = 1.0  # s beyond its drain limit that a worker gets for its own end
CLEAN = "exit code 0"  # how a worker ends that was told to
JITTER = (0.5, 1.0)  # part of a restart's wait: workers that crashed together don't come back together


class WorkerState(Enum):
    STARTING = "starting"  # has not said that it is ready
    READY = "ready"  # waits for the word to accept
    SERVING = "serving"
    DRAINING = "draining"
    KILLED = "killed"  # its end is on the way


class Phase(Enum):
    STARTING = "starting"
    SERVING = "serving"
    STOPPING = "stopping"
    STOPPED = "stopped"


class SlotState(Enum):
    RUNNING = "running"
    WAITING = "waiting"  # for its next start
    GIVEN_UP = "given up"


class GenerationState(Enum):
    PREPARING = "preparing"
    CURRENT = "current"
    ENDING = "ending"


@dataclass(frozen=True, slots=True)
class Limits:
    """A generation's own; see config/tables.py. Seconds, counts and MB."""

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


class ReloadAsked(NamedTuple):
    """A configuration that has been checked wants to be the next generation. `ticket` names the asker."""

    limits: Limits
    ticket: int


class StopAsked(NamedTuple):
    """TERM or INT; the second one hurries. `handed_over`: a successor accepts on the same sockets."""

    reason: str = "asked to"
    handed_over: bool = False


class WorkerReady(NamedTuple):
    worker: int


class WorkerBeat(NamedTuple):
    """A sign of life. `rss_mb`: its resident memory."""

    worker: int
    rss_mb: float = 0.0


class WorkerFailed(NamedTuple):
    """It can't do its work, and says why; its end follows."""

    worker: int
    reason: str


class WorkerExited(NamedTuple):
    """Its process is gone, or never came up. `how` is for a person, such as "signal 9"."""

    worker: int
    how: str


class Tick(NamedTuple):
    """The time that `WakeAt` named has come; one more does no harm."""


Event = ReloadAsked | StopAsked | WorkerReady | WorkerBeat | WorkerFailed | WorkerExited | Tick

# Actions


class Spawn(NamedTuple):
    worker: int
    generation: int
    number: int  # its place among the instances, from 0


class Accept(NamedTuple):
    """Let a worker that is ready accept connections."""

    worker: int


class Drain(NamedTuple):
    """Take nothing new and end within the limit. `last`: nobody else accepts, so first take what waits."""

    worker: int
    limit_s: float
    last: bool


class Kill(NamedTuple):
    worker: int


class GenerationServes(NamedTuple):
    """It is the current one from now on. `complete`: none of its slots is missing."""

    generation: int
    complete: bool


class ReloadDone(NamedTuple):
    ticket: int
    generation: int  # 0 if none was made
    reason: str  # empty if it succeeded


class GenerationGone(NamedTuple):
    """No worker of it is left, nor will be: what was kept for it may be closed."""

    generation: int


class Stopping(NamedTuple):
    reason: str


class Stopped(NamedTuple):
    failed: bool


class Say(NamedTuple):
    level: str  # "error", "warning", "info" or "debug"
    text: str


class WakeAt(NamedTuple):
    """Send `Tick` at this time; a later WakeAt replaces an earlier one."""

    at_s: float


Action = (
    Spawn | Accept | Drain | Kill | GenerationServes | ReloadDone | GenerationGone | Stopping | Stopped
    | Say | WakeAt
)  # fmt: skip


@dataclass(slots=True)
class Worker:
    id: int
    generation: int
    number: int
    started_s: float
    heard_s: float
    state: WorkerState = WorkerState.STARTING
    serving_s: float = 0.0  # since when; means nothing before
    end_s: float = 0.0  # draining: when it is killed
    reason: str = ""
    rss_mb: float = 0.0


@dataclass(slots=True)
class Slot:
    number: int
    worker: int | None = None
    state: SlotState = SlotState.RUNNING
    start_s: float = 0.0  # waiting: when
    crashes: int = 0  # in a row
    restarts: int = 0
    last_crash: str = ""


@dataclass(slots=True)
class Generation:
    number: int
    limits: Limits
    ticket: int
    ready_by_s: float
    state: GenerationState = GenerationState.PREPARING
    slots: list[Slot] = field(default_factory=list)


class Fleet:
    """`step` takes what happened and returns what to do. The attributes are for reading."""

    def __init__(self, uniform: Callable[[float, float], float]) -> None:
        """`uniform(a, b)` gives a random number between the two; tests give a seeded one."""
        self.uniform = uniform
        self.phase = Phase.STARTING
        self.generations: dict[int, Generation] = {}
        self.workers: dict[int, Worker] = {}
        self.current: Generation | None = None
        self.preparing: Generation | None = None
        self.next_reload: ReloadAsked | None = None  # one waits at most: the last asked for
        self.hurried = False
        self.handed_over = False
        self.failed = False
        self.last_worker = 0
        self.last_generation = 0
        self.now = 0.0
        self.out: list[Action] = []

    def step(self, now: float, event: Event) -> list[Action]:
        self.now, self.out = now, []
        if isinstance(event, ReloadAsked):
            self._on_reload(event)
        elif isinstance(event, StopAsked):
            self._on_stop(event.reason, event.handed_over)
        elif isinstance(event, (WorkerReady, WorkerBeat, WorkerFailed)):
            if (worker := self.workers.get(event.worker)) is not None:
                self._on_word(worker, event)
        elif isinstance(event, WorkerExited):
            self._on_exit(event)
        self._look_at_times()
        if self.phase is not Phase.STOPPED and (at := self._next_time()) is not None:
            self.out.append(WakeAt(at))
        return self.out

    # Events

    def _on_reload(self, event: ReloadAsked) -> None:
        if self.phase in (Phase.STOPPING, Phase.STOPPED):
            self.out.append(ReloadDone(event.ticket, 0, "the fleet is stopping"))
        elif self.preparing is not None:
            if self.next_reload is not None:
                reason = "another reload was asked for before its turn came"
                self.out.append(ReloadDone(self.next_reload.ticket, 0, reason))
            self.next_reload = event
            self._say("info", "reload: waits for the one that is under way")
        else:
            self._prepare(event)

    def _prepare(self, event: ReloadAsked) -> None:
        self.last_generation += 1
        generation = Generation(
            self.last_generation, event.limits, event.ticket, self.now + event.limits.ready_s
        )
        self.generations[generation.number] = self.preparing = generation
        for number in range(event.limits.instances):
            slot = Slot(number)
            generation.slots.append(slot)
            self._spawn(generation, slot)

    def _on_stop(self, reason: str, handed_over: bool = False) -> None:
        if self.phase in (Phase.STOPPING, Phase.STOPPED):
            if not self.hurried:
                self.hurried = True
                self._say("warning", "stop: hurried")
                for worker in list(self.workers.values()):
                    self._drain(worker, self._limits(worker).hurry_s)
            return
        self.phase, self.handed_over = Phase.STOPPING, handed_over
        self.out.append(Stopping(reason))
        if self.next_reload is not None:
            self.out.append(ReloadDone(self.next_reload.ticket, 0, "the fleet is stopping"))
            self.next_reload = None
        if self.preparing is not None:
            self._abandon("the fleet is stopping")
        if self.current is not None:
            self._end(self.current)
        self._look_for_end()

    def _on_word(self, worker: Worker, event: WorkerReady | WorkerBeat | WorkerFailed) -> None:
        worker.heard_s = self.now
        if isinstance(event, WorkerFailed):
            worker.reason = event.reason
        elif isinstance(event, WorkerReady):
            if worker.state is WorkerState.STARTING:
                worker.state = WorkerState.READY
                self._on_ready(self.generations[worker.generation], worker)
        else:
            worker.rss_mb = event.rss_mb
            limits = self._limits(worker)
            # Not sooner than it is stable: with a limit too low for any, each would be replaced at once.
            stable = self.now - worker.serving_s >= limits.stable_s
            if worker.state is WorkerState.SERVING and worker.rss_mb > limits.memory_mb and stable:
                self._replace(worker, f"{worker.rss_mb:.0f} MB, over its limit of {limits.memory_mb:g}")

    def _on_ready(self, generation: Generation, worker: Worker) -> None:
        # The first generation serves as it comes up, since nobody else does; and so does a replacement.
        first = self.current is None and self.phase is Phase.STARTING
        if first or generation.state is GenerationState.CURRENT:
            self._accept(worker)
        if generation is self.preparing and self._all_up(generation):
            self._commit(generation)

    def _on_exit(self, event: WorkerExited) -> None:
        worker = self.workers.pop(event.worker, None)
        if worker is None:
            return
        generation = self.generations[worker.generation]
        slot = generation.slots[worker.number]
        how = f"{event.how}: {worker.reason}" if worker.reason else event.how
        if slot.worker == worker.id:
            slot.worker = None
            if generation.state is not GenerationState.ENDING:
                self._crashed(generation, slot, worker, how)
        elif worker.state is WorkerState.DRAINING and event.how != CLEAN:
            self._say("error", f"{self._name(worker)} ended while it drained, {how}")
        self._look_for_end(generation)

    def _crashed(self, generation: Generation, slot: Slot, worker: Worker, how: str) -> None:
        limits = generation.limits
        served = worker.serving_s if worker.state is not WorkerState.STARTING else 0.0
        if served and self.now - served >= limits.stable_s:
            slot.crashes = 0
        slot.crashes += 1
        slot.last_crash = how
        if slot.crashes >= limits.give_up_after:
            slot.state = SlotState.GIVEN_UP
            self._say(
                "error",
                f"{self._name(worker)} ended, {how}: given up after {slot.crashes} crashes in a row, "
                f"until the next reload",
            )
            if generation is self.preparing:
                if self.current is not None:
                    self._abandon(
                        f"instance {slot.number} crashed {slot.crashes} times in a row, last: {how}"
                    )
                elif self._all_up(generation):
                    self._commit(generation)
            if all(s.state is SlotState.GIVEN_UP for s in generation.slots):
                self._nobody_left(generation)
            return
        wait = min(limits.restart_first_s * 2 ** (slot.crashes - 1), limits.restart_most_s)
        wait *= self.uniform(*JITTER)
        slot.state, slot.start_s = SlotState.WAITING, self.now + wait
        self._say("warning", f"{self._name(worker)} ended, {how}: starts again in {wait:.2f} s")

    def _nobody_left(self, generation: Generation) -> None:
        """Its last slot is given up. The service manager, or a person, must hear of it."""
        if generation is self.current or self.current is None:
            self.failed = True
            if self.phase is not Phase.STOPPING:
                self._on_stop("every instance is given up")

    # Generations

    def _all_up(self, generation: Generation) -> bool:
        """Each slot has a worker that is ready; where nothing served before, or is given up."""
        states = []
        for slot in generation.slots:
            worker = self.workers.get(slot.worker) if slot.worker is not None else None
            up = worker is not None and worker.state in (WorkerState.READY, WorkerState.SERVING)
            states.append(up or (self.current is None and slot.state is SlotState.GIVEN_UP))
        return all(states) and any(s.state is not SlotState.GIVEN_UP for s in generation.slots)

    def _commit(self, generation: Generation) -> None:
        old, self.current, self.preparing = self.current, generation, None
        generation.state = GenerationState.CURRENT
        self.phase = Phase.SERVING
        for slot in generation.slots:
            if slot.worker is not None and self.workers[slot.worker].state is WorkerState.READY:
                self._accept(self.workers[slot.worker])
        up = [s for s in generation.slots if s.worker is not None and s.state is SlotState.RUNNING]
        self.out.append(GenerationServes(generation.number, len(up) == len(generation.slots)))
        self.out.append(ReloadDone(generation.ticket, generation.number, ""))
        if old is not None:
            self._end(old)
        self._next_in_turn()

    def _abandon(self, reason: str) -> None:
        """Workers of a generation that is given up have accepted nothing, but for the very first's."""
        generation, self.preparing = self.preparing, None
        assert generation is not None
        if self.current is None:
            self._end(generation)
        else:
            generation.state = GenerationState.ENDING
            for slot in generation.slots:
                worker, slot.worker = slot.worker, None
                if worker is not None:
                    self._kill(self.workers[worker])
        self.out.append(ReloadDone(generation.ticket, generation.number, reason))
        self._look_for_end(generation)
        self._next_in_turn()

    def _next_in_turn(self) -> None:
        event, self.next_reload = self.next_reload, None
        if event is not None:
            self._prepare(event)

    def _end(self, generation: Generation) -> None:
        generation.state = GenerationState.ENDING
        for slot in generation.slots:
            worker, slot.worker = slot.worker, None
            if worker is not None:
                self._drain(self.workers[worker], generation.limits.drain_s)
        self._look_for_end(generation)

    def _look_for_end(self, generation: Generation | None = None) -> None:
        if generation is not None and generation.state is GenerationState.ENDING:
            left = any(w.generation == generation.number for w in self.workers.values())
            if not left and self.generations.pop(generation.number, None) is not None:
                self.out.append(GenerationGone(generation.number))
                if generation is self.current:
                    self.current = None
        if self.phase is Phase.STOPPING and not self.workers:
            self.phase = Phase.STOPPED
            self.out.append(Stopped(self.failed))

    # Workers

    def _spawn(self, generation: Generation, slot: Slot) -> None:
        self.last_worker += 1
        worker = Worker(self.last_worker, generation.number, slot.number, self.now, self.now)
        self.workers[worker.id] = worker
        slot.worker, slot.state = worker.id, SlotState.RUNNING
        self.out.append(Spawn(worker.id, generation.number, slot.number))

    def _accept(self, worker: Worker) -> None:
        worker.state, worker.serving_s = WorkerState.SERVING, self.now
        self.out.append(Accept(worker.id))

    def _drain(self, worker: Worker, limit_s: float) -> None:
        if worker.state is WorkerState.KILLED:
            return
        if worker.state in (WorkerState.STARTING, WorkerState.READY):  # it holds nothing
            self._kill(worker)
            return
        end_s = self.now + limit_s + KILL_AFTER_S
        if worker.state is WorkerState.DRAINING and worker.end_s <= end_s:
            return
        worker.state, worker.end_s = WorkerState.DRAINING, end_s
        last = self.phase is Phase.STOPPING and not self.handed_over
        self.out.append(Drain(worker.id, limit_s, last))

    def _kill(self, worker: Worker) -> None:
        if worker.state is not WorkerState.KILLED:
            worker.state = WorkerState.KILLED
            self.out.append(Kill(worker.id))

    def _replace(self, worker: Worker, why: str) -> None:
        generation = self.generations[worker.generation]
        slot = generation.slots[worker.number]
        if slot.worker != worker.id:
            return
        self._say("warning", f"{self._name(worker)} is replaced: {why}")
        slot.restarts += 1
        slot.last_crash = why
        self._spawn(generation, slot)
        self._drain(worker, generation.limits.drain_s)

    # Time

    def _look_at_times(self) -> None:
        for worker in list(self.workers.values()):
            limits = self._limits(worker)
            if worker.state is WorkerState.KILLED:
                continue
            if worker.state is WorkerState.DRAINING and self.now >= worker.end_s:
                self._say("error", f"{self._name(worker)} is killed: it did not drain within its limit")
                self._kill(worker)
            elif worker.state is WorkerState.STARTING:
                if self.now >= worker.started_s + limits.ready_s:
                    worker.reason = f"not ready within {limits.ready_s:g} s"
                    self._kill(worker)
            elif self.now >= worker.heard_s + limits.watchdog_s:
                worker.reason = f"no sign of life for {limits.watchdog_s:g} s"
                self._kill(worker)
        generation = self.preparing
        if generation is not None and self.now >= generation.ready_by_s:
            up = sum(
                s.worker is not None
                and self.workers[s.worker].state in (WorkerState.READY, WorkerState.SERVING)
                for s in generation.slots
            )
            text = f"{up} of {len(generation.slots)} instances ready within {generation.limits.ready_s:g} s"
            if self.current is not None:
                self._abandon(text)
            elif up:  # some serve: that beats nobody
                self._say("error", text)
                self._commit(generation)
            else:
                self.failed = True
                self._on_stop(text)
        if self.phase in (Phase.STARTING, Phase.SERVING):
            for generation in self.generations.values():
                for slot in generation.slots:
                    waits = slot.state is SlotState.WAITING and slot.worker is None
                    if waits and generation.state is not GenerationState.ENDING and self.now >= slot.start_s:
                        slot.restarts += 1
                        self._spawn(generation, slot)

    def _next_time(self) -> float | None:
        times = []
        for worker in self.workers.values():
            limits = self._limits(worker)
            if worker.state is WorkerState.DRAINING:
                times.append(worker.end_s)
            if worker.state is WorkerState.STARTING:
                times.append(worker.started_s + limits.ready_s)
            elif worker.state is not WorkerState.KILLED:
                times.append(worker.heard_s + limits.watchdog_s)
        if self.preparing is not None:
            times.append(self.preparing.ready_by_s)
        for generation in self.generations.values():
            if generation.state is not GenerationState.ENDING:
                times += [s.start_s for s in generation.slots if s.state is SlotState.WAITING]
        return min(times, default=None)

    def _limits(self, worker: Worker) -> Limits:
        return self.generations[worker.generation].limits

    def _name(self, worker: Worker) -> str:
        return f"instance {worker.number} of generation {worker.generation} (worker {worker.id})"

    def _say(self, level: str, text: str) -> None:
        self.out.append(Say(level, text))
