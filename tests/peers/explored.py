"""State space of three members for the explorer: the real core, every order of messages, and faults."""

from __future__ import annotations

from collections.abc import Hashable, Iterator, Sequence
from copy import copy
from dataclasses import dataclass, replace
from typing import Any

from flintlatch.peers import Leave, Peers, Received, Record, Rules, Send, State, Sync, Synced, Tick
from flintlatch.peers.core import Event, Queued, Suspicion

RULES = Rules(
    period_s=1.0, ack_s=0.5, helpers=1, suspicion=1.0, suspicion_max_factor=1.0, confirmations=1,
    retransmit=1, sync_s=50.0, forget_s=200.0,
)  # fmt: skip
NAMES = ("a", "b", "c")
MAX_IN_FLIGHT = 4  # messages in flight; beyond that the oldest is lost
STEP_S = 0.5


class FirstChoice:
    """A deterministic random source: always picks the first."""

    def random(self) -> float:
        return 0.5

    def uniform(self, a: float, b: float) -> float:
        return (a + b) / 2

    def choice(self, seq: Sequence[Any]) -> Any:
        return seq[0]

    def sample(self, population: Sequence[Any], k: int) -> list[Any]:
        return list(population[:k])

    def shuffle(self, x: list[Any]) -> None:
        x.sort()


def clone(core: Peers) -> Peers:
    """Copies the mutable state; the rest is shared."""
    copied = copy(core)
    copied.suspicions = {n: Suspicion(s.since, set(s.reporters)) for n, s in core.suspicions.items()}
    copied.active, copied.active_names = dict(core.active), list(core.active_names)
    copied.departed_at, copied.probe_order, copied.unresponsive = (
        dict(core.departed_at),
        list(core.probe_order),
        set(core.unresponsive),
    )
    copied.queue = {n: Queued(q.record, q.sent) for n, q in core.queue.items()}
    copied.probe, copied.relayed_probes = (
        copy(core.probe),
        {n: copy(r) for n, r in core.relayed_probes.items()},
    )
    copied.counts, copied.logged, copied.actions = copy(core.counts), set(core.logged), []
    return copied


def core_key(core: Peers, now: float) -> Hashable:
    probe = core.probe
    return (
        tuple(sorted(core.view.values())),
        tuple(sorted((n, now - s.since, *sorted(s.reporters)) for n, s in core.suspicions.items())),
        tuple(sorted((q.record, q.sent) for q in core.queue.values())),
        tuple(core.probe_order),
        (probe.target, now - probe.started, probe.indirect, probe.acked, probe.nacks) if probe else (),
        tuple(sorted((r.target, r.address) for r in core.relayed_probes.values())),
        round(core.next_probe_at - now, 3),
        core.health,
        core.joined,
        core.left,
    )


@dataclass(frozen=True)
class World:
    now: float
    cores: tuple[Peers | None, ...]
    paused: tuple[bool, ...]
    flight: tuple[tuple[str, str, Any], ...]  # from, to, message
    incarnations: tuple[int, ...]  # highest one that any process with this name has used for itself
    left: frozenset[tuple[str, str, int]]  # observer, member and run id that left
    run_ids: tuple[int, ...]
    faults: int  # kills, pauses and leaves that may still occur
    violation: str = ""


def start(faults: int) -> World:
    cores = []
    for index, name in enumerate(NAMES):
        core = Peers(Record(name, name, 0, State.ALIVE, index), (), RULES, FirstChoice(), 0.0)
        core.probe_number = 0
        cores.append(core)
    everyone = tuple(core.me for core in cores)
    for core in cores:
        core.step(0.0, Synced(everyone))
        core.queue.clear()
    return World(0.0, tuple(cores), (False,) * 3, (), (0,) * 3, frozenset(), (0, 1, 2), faults)


def replaced_at(items: tuple[Any, ...], index: int, item: Any) -> tuple[Any, ...]:
    return (*items[:index], item, *items[index + 1 :])


def member_step(world: World, index: int, event: Event) -> World:
    before = world.cores[index]
    assert before is not None
    core = clone(before)
    flight, violation, left = list(world.flight), "", set(world.left)
    for action in core.step(world.now, event):
        if isinstance(action, Send):
            flight.append((core.me.address, action.address, action.message))
        elif isinstance(action, Sync):
            pass  # exchanges of whole views are separate events here
    me = core.view[core.me.name]
    if not core.left and me.state is not State.ALIVE:
        violation = f"{core.me.name} holds itself {me.state.name}"
    incarnations = replaced_at(world.incarnations, index, max(world.incarnations[index], core.me.incarnation))
    for name, record in core.view.items():
        other = NAMES.index(name)
        if record.incarnation > incarnations[other]:
            violation = (
                f"{core.me.name} holds {name} at incarnation {record.incarnation}, "
                f"the highest that it had is {incarnations[other]}"
            )
        known = before.view.get(name)
        if known is not None and record.incarnation < known.incarnation:
            violation = f"{core.me.name}: the incarnation of {name} decreases"
        if record.state is State.LEFT:
            left.add((core.me.name, name, record.run_id))
        elif (core.me.name, name, record.run_id) in left:
            violation = f"{core.me.name}: {name} left and is back without a new run"
    return replace(
        world,
        cores=replaced_at(world.cores, index, core),
        flight=tuple(flight[-MAX_IN_FLIGHT:]),
        incarnations=incarnations,
        left=frozenset(left),
        violation=violation or world.violation,
    )


def steps(world: World) -> Iterator[tuple[str, World]]:
    for number, (source, target, message) in enumerate(world.flight):
        index = NAMES.index(target)
        if world.cores[index] is None or world.paused[index]:
            continue
        kind = f"{message.kind.name} {source}>{target}"
        delivered = replace(world, flight=world.flight[:number] + world.flight[number + 1 :])
        yield kind, member_step(delivered, index, Received(source, message))
        if message.gossip:
            yield f"{kind} twice", member_step(world, index, Received(source, message))
    later = replace(world, now=world.now + STEP_S)
    for index in range(3):
        if later.cores[index] is not None and not later.paused[index]:
            later = member_step(later, index, Tick())
    yield "time passes", later
    for one, other in ((0, 1), (1, 2), (2, 0)):
        first, second = world.cores[one], world.cores[other]
        if first and second and first.view != second.view and not (world.paused[one] or world.paused[other]):
            mine, theirs = tuple(first.view.values()), tuple(second.view.values())
            yield (
                f"views {NAMES[one]}-{NAMES[other]}",
                member_step(member_step(world, other, Synced(mine)), one, Synced(theirs)),
            )
    yield from faults(world)


def faults(world: World) -> Iterator[tuple[str, World]]:
    core = world.cores[2]
    if core is None:
        run_id = world.run_ids[2] + 10
        fresh = Peers(Record("c", "c", 0, State.ALIVE, run_id), ("a",), RULES, FirstChoice(), world.now)
        fresh.probe_number = 0
        left = frozenset(row for row in world.left if row[0] != "c")
        yield (
            "c starts",
            replace(
                world,
                cores=replaced_at(world.cores, 2, fresh),
                run_ids=replaced_at(world.run_ids, 2, run_id),
                left=left,
            ),
        )
    elif world.paused[2]:
        yield "c resumes", replace(world, paused=(False, False, False))
    elif world.faults:
        after_fault = replace(world, faults=world.faults - 1)
        yield "c dies", replace(after_fault, cores=replaced_at(world.cores, 2, None))
        yield "c is paused", replace(after_fault, paused=(False, False, True))
        after_leave = member_step(after_fault, 2, Leave())
        yield (
            "c leaves",
            replace(after_leave, cores=replaced_at(after_leave.cores, 2, None), left=after_leave.left),
        )


def state_key(world: World) -> Hashable:
    return (
        tuple(core_key(core, world.now) if core is not None else None for core in world.cores),
        world.paused,
        tuple(sorted((s, t, m.kind, m.target, m.gossip) for s, t, m in world.flight)),
        world.faults,
        world.left,
    )


def invariant_violation(world: World) -> str:
    return world.violation
