"""A world of three members for the explorer: the real core, every order of its messages, and faults."""

from __future__ import annotations

from collections.abc import Hashable, Iterator, Sequence
from copy import copy
from dataclasses import dataclass, replace
from typing import Any

from flintlatch.peers import Leave, Peers, Received, Record, Rules, Send, State, Sync, Synced, Tick
from flintlatch.peers.core import Event, Queued, Suspicion

RULES = Rules(
    period_s=1.0, ack_s=0.5, helpers=1, suspicion=1.0, suspicion_max_factor=1.0, confirmations=1, retransmit=1,
    sync_s=50.0, forget_s=200.0,
)  # fmt: skip
NAMES = ("a", "b", "c")
FLIGHT_MOST = 4  # messages that have not come: the oldest is lost beyond that
STEP_S = 0.5


class First:
    """No chance: what is left to it is always the first."""

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
    """What it may change, apart; the rest shared."""
    made = copy(core)
    made.suspicions = {n: Suspicion(s.since, set(s.reporters)) for n, s in core.suspicions.items()}
    made.active, made.active_names = dict(core.active), list(core.active_names)
    made.departed_at, made.probe_order, made.unresponsive = (
        dict(core.departed_at),
        list(core.probe_order),
        set(core.unresponsive),
    )
    made.queue = {n: Queued(q.record, q.sent) for n, q in core.queue.items()}
    made.probe, made.relayed_probes = copy(core.probe), {n: copy(r) for n, r in core.relayed_probes.items()}
    made.counts, made.logged, made.actions = copy(core.counts), set(core.logged), []
    return made


def shape(core: Peers, now: float) -> Hashable:
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
    said: tuple[int, ...]  # highest incarnation that each process under the name has given itself
    gone: frozenset[tuple[str, str, int]]  # who heard that which life of whom has left
    lives: tuple[int, ...]
    faults: int  # kills, pauses and leaves still allowed
    wrong: str = ""


def start(faults: int) -> World:
    cores = []
    for place, name in enumerate(NAMES):
        core = Peers(Record(name, name, 0, State.ALIVE, place), (), RULES, First(), 0.0)
        core.probe_number = 0
        cores.append(core)
    everyone = tuple(core.me for core in cores)
    for core in cores:
        core.step(0.0, Synced(everyone))
        core.queue.clear()
    return World(0.0, tuple(cores), (False,) * 3, (), (0,) * 3, frozenset(), (0, 1, 2), faults)


def put(items: tuple[Any, ...], place: int, item: Any) -> tuple[Any, ...]:
    return (*items[:place], item, *items[place + 1 :])


def act(world: World, place: int, event: Event) -> World:
    before = world.cores[place]
    assert before is not None
    core = clone(before)
    flight, wrong, gone = list(world.flight), "", set(world.gone)
    for action in core.step(world.now, event):
        if isinstance(action, Send):
            flight.append((core.me.address, action.address, action.message))
        elif isinstance(action, Sync):
            pass  # whole views are events of their own here
    me = core.view[core.me.name]
    if not core.left and me.state is not State.ALIVE:
        wrong = f"{core.me.name} holds itself {me.state.name}"
    said = put(world.said, place, max(world.said[place], core.me.incarnation))
    for name, record in core.view.items():
        other = NAMES.index(name)
        if record.incarnation > said[other]:
            wrong = f"{core.me.name} holds {name} at {record.incarnation}, it said at most {said[other]}"
        known = before.view.get(name)
        if known is not None and record.incarnation < known.incarnation:
            wrong = f"{core.me.name}: the incarnation of {name} goes back"
        if record.state is State.LEFT:
            gone.add((core.me.name, name, record.run_id))
        elif (core.me.name, name, record.run_id) in gone:
            wrong = f"{core.me.name}: {name} left and is back by hearsay"
    return replace(
        world,
        cores=put(world.cores, place, core),
        flight=tuple(flight[-FLIGHT_MOST:]),
        said=said,
        gone=frozenset(gone),
        wrong=wrong or world.wrong,
    )


def steps(world: World) -> Iterator[tuple[str, World]]:
    for number, (source, target, message) in enumerate(world.flight):
        place = NAMES.index(target)
        if world.cores[place] is None or world.paused[place]:
            continue
        kind = f"{message.kind.name} {source}>{target}"
        left = replace(world, flight=world.flight[:number] + world.flight[number + 1 :])
        yield kind, act(left, place, Received(source, message))
        if message.gossip:
            yield f"{kind} twice", act(world, place, Received(source, message))
    later = replace(world, now=world.now + STEP_S)
    for place in range(3):
        if later.cores[place] is not None and not later.paused[place]:
            later = act(later, place, Tick())
    yield "time", later
    for one, other in ((0, 1), (1, 2), (2, 0)):
        first, second = world.cores[one], world.cores[other]
        if first and second and first.view != second.view and not (world.paused[one] or world.paused[other]):
            mine, theirs = tuple(first.view.values()), tuple(second.view.values())
            yield (
                f"views {NAMES[one]}-{NAMES[other]}",
                act(act(world, other, Synced(mine)), one, Synced(theirs)),
            )
    yield from faults(world)


def faults(world: World) -> Iterator[tuple[str, World]]:
    core = world.cores[2]
    if core is None:
        run_id = world.lives[2] + 10
        fresh = Peers(Record("c", "c", 0, State.ALIVE, run_id), ("a",), RULES, First(), world.now)
        fresh.probe_number = 0
        gone = frozenset(pair for pair in world.gone if pair[0] != "c")
        yield (
            "c starts",
            replace(world, cores=put(world.cores, 2, fresh), lives=put(world.lives, 2, run_id), gone=gone),
        )
    elif world.paused[2]:
        yield "c wakes", replace(world, paused=(False, False, False))
    elif world.faults:
        fewer = replace(world, faults=world.faults - 1)
        yield "c dies", replace(fewer, cores=put(world.cores, 2, None))
        yield "c is paused", replace(fewer, paused=(False, False, True))
        left = act(fewer, 2, Leave())
        yield "c leaves", replace(left, cores=put(left.cores, 2, None), gone=left.gone)


def key(world: World) -> Hashable:
    return (
        tuple(shape(core, world.now) if core is not None else None for core in world.cores),
        world.paused,
        tuple(sorted((s, t, m.kind, m.target, m.gossip) for s, t, m in world.flight)),
        world.faults,
        world.gone,
    )


def check(world: World) -> str:
    return world.wrong
