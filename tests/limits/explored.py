"""Two keepers, two holders, one limit: every order of words lost, late and double, pauses and crashes.

The cores are the real ones. A word is heard at any moment before its end, or never; one that is older than
what a receiver has heard of the same subject is not heard any more, as the carrier has it. Time goes by half
terms. The seat is given and taken by an oracle that promises what `Seat` does: never two at once.
"""

from __future__ import annotations

from collections.abc import Hashable, Iterator
from copy import deepcopy
from dataclasses import dataclass, replace
from typing import Any

from flintlatch.limits.api import (
    LeaseHolder,
    LeaseSettings,
    LeaseVersion,
    Lessor,
    Limit,
    PartitionPolicy,
    term_validity_s,
)
from flintlatch.limits.model import LeaseRequest, holder_id
from flintlatch.limits.split import Grant, HolderGrants, LeaseLedger

LIMIT = Limit("l", "", "", 10.0, 0.0, PartitionPolicy.STRICT, reserve=0.0)
TERMS = LeaseSettings(("k0", "k1", "k2"), 2, term_s=2.0)
STEP_S = 1.0
CAPACITY = LIMIT.leasable_per_s()
LATEST_S = 9.0
NEXT_LIFE = 1  # added to a life by a restart


@dataclass(frozen=True)
class Said:
    value: Any
    epoch: int
    ends: float


@dataclass(frozen=True)
class Process:
    """A holder: its core, one instance, what waits for that, and whether it is paused."""

    core: LeaseHolder
    run_id: int = 1
    need: float = 0.0
    follows: LeaseVersion = LeaseVersion(0, 0)
    amount: float = 0.0  # of the instance
    until: float = 0.0
    waits: tuple[tuple[float, LeaseVersion, float], ...] = ()
    paused: bool = False


@dataclass(frozen=True)
class World:
    now: float
    keepers: tuple[Lessor, Lessor]
    seat: int  # who has it: 0, 1, or -1
    since: float
    numbers: int
    holders: tuple[Process, Process]
    orphans: tuple[tuple[float, float], ...]  # instances whose supervisor is gone: amount, until
    asks: tuple[Said | None, Said | None]
    grants: tuple[tuple[Said | None, Said | None], tuple[Said | None, Said | None]]  # by keeper, by holder
    heard_asks: tuple[tuple[Said | None, Said | None], ...]  # by keeper, by holder
    heard: tuple[tuple[int, int], ...]  # by holder, by keeper: epochs
    faults: int
    epochs: int = 0


def clone_split(split: LeaseLedger) -> LeaseLedger:
    made = LeaseLedger()
    made.by_holder = {
        name: HolderGrants(list(out.grants), out.acknowledged) for name, out in split.by_holder.items()
    }
    return made


def clone(core: Any) -> Any:
    """Keeper or Holder: the limit and the terms shared."""
    made = deepcopy(
        core, {id(core.limit): core.limit, id(core.terms): core.terms, id(core.ledger): core.ledger}
    )
    made.ledger = clone_split(core.ledger)
    return made


def put(items: tuple[Any, ...], place: int, item: Any) -> tuple[Any, ...]:
    return (*items[:place], item, *items[place + 1 :])


def start(faults: int) -> World:
    two = Process(LeaseHolder(LIMIT, TERMS), need=10.0), Process(LeaseHolder(LIMIT, TERMS))
    none = (None, None)
    keepers = Lessor(LIMIT, TERMS), Lessor(LIMIT, TERMS)
    return World(
        0.0, keepers, 0, -10.0, 1, two, (), none, (none, none), (none, none), ((0, 0), (0, 0)), faults
    )


def in_use(world: World) -> float:
    """By the auditor: what instances may use at this moment, whoever told them."""
    mine = sum(p.amount for p in world.holders if p.until > world.now)
    return mine + sum(amount for amount, until in world.orphans if until > world.now)


def check(world: World) -> str:
    used = in_use(world)
    return f"{used:g} of {CAPACITY:g} in use at {world.now:g}" if used > CAPACITY + 1e-6 else ""


def keep(world: World) -> World:
    """The keeper that has the seat looks at what it has heard, and says grants."""
    k = world.seat
    core = clone(world.keepers[k])
    asks = {}
    for h, said in enumerate(world.heard_asks[k]):
        if said is not None and said.ends > world.now:
            ask: LeaseRequest = said.value
            asks[holder_id(f"h{h}", ask.run_id)] = ask
    settled = world.now >= world.since + term_validity_s(TERMS)
    told = core.step(world.now, f"k{k}", world.numbers, settled, core.capacity(2, 2), asks, False)
    grants, epochs = world.grants[k], world.epochs
    for name, grant in told.items():
        h, run_id = int(name[1]), int(name.partition("/")[2], 16)
        epochs += 1
        grants = put(grants, h, Said((run_id, grant), epochs, world.now + TERMS.term_s))
    return replace(
        world, keepers=put(world.keepers, k, core), grants=put(world.grants, k, grants), epochs=epochs
    )


def act(world: World, h: int) -> World:
    """A holder's turn: parts for its instance, then what it asks for."""
    process = world.holders[h]
    core = clone(process.core)
    core.demand = process.need
    parts = core.allocate(world.now, {"w": process.follows}, {"w": process.need}, TERMS.term_s, False)
    waits = process.waits
    if "w" in parts:
        part = parts["w"]
        waits = (*waits[-1:], (part.per_s, part.version, part.until))
    ask = core.request(world.now, f"k{max(world.seat, 0)}")._replace(run_id=process.run_id)
    epochs = world.epochs + 1
    said = Said(ask, epochs, world.now + TERMS.term_s)
    before = world.asks[h]
    if before is not None and before.value == ask and before.ends > world.now + TERMS.term_s / 2:
        said, epochs = before, world.epochs
    process = replace(process, core=core, waits=waits)
    return replace(
        world, holders=put(world.holders, h, process), asks=put(world.asks, h, said), epochs=epochs
    )


def steps(world: World) -> Iterator[tuple[str, World]]:
    """Who hears something acts on it at once; as time goes by all act that are not paused."""
    now = world.now
    if now < LATEST_S:
        left = tuple(o for o in world.orphans if o[1] > now + STEP_S)
        later = replace(world, now=now + STEP_S, orphans=left)
        yield "time, and nobody acts", later
        for h in range(2):
            if not later.holders[h].paused:
                later = act(later, h)
        yield "time", keep(later) if later.seat >= 0 else later
    for h in range(2):
        process = world.holders[h]
        if not process.paused:
            for k in range(2):
                said = world.grants[k][h]
                if said is not None and said.ends > now and said.epoch > world.heard[h][k]:
                    run_id, grant = said.value
                    core = clone(process.core)
                    if run_id == process.run_id:
                        core.accept_lease(now, f"k{k}", grant, said.ends)
                    heard = put(world.heard, h, put(world.heard[h], k, said.epoch))
                    told = put(world.holders, h, replace(process, core=core))
                    yield f"h{h} hears k{k}", act(replace(world, holders=told, heard=heard), h)
            if process.waits:
                amount, mark, until = process.waits[0]
                held = replace(process, amount=amount, follows=mark, until=until, waits=process.waits[1:])
                yield f"instance of h{h} hears", act(replace(world, holders=put(world.holders, h, held)), h)
        for k in range(2):
            said = world.asks[h]
            before = world.heard_asks[k][h]
            if said is not None and said.ends > now and (before is None or said.epoch > before.epoch):
                row = put(world.heard_asks, k, put(world.heard_asks[k], h, said))
                heard_by = replace(world, heard_asks=row)
                yield f"k{k} hears h{h}", keep(heard_by) if k == world.seat else heard_by
    yield from faults(world)


def faults(world: World) -> Iterator[tuple[str, World]]:
    for h in range(2):
        if world.holders[h].paused:
            yield (
                f"h{h} wakes",
                replace(world, holders=put(world.holders, h, replace(world.holders[h], paused=False))),
            )
    if not world.faults:
        return
    fewer = replace(world, faults=world.faults - 1)
    other = 1 - max(world.seat, 0)
    yield f"the seat goes to k{other}", replace(fewer, seat=other, since=world.now, numbers=world.numbers + 1)
    moved = tuple(replace(p, need=10.0 - p.need) for p in world.holders)
    yield "need moves", replace(fewer, holders=moved)  # type: ignore[arg-type]
    process = world.holders[0]
    if not process.paused:
        yield "h0 is paused", replace(fewer, holders=put(world.holders, 0, replace(process, paused=True)))
    fresh = Process(LeaseHolder(LIMIT, TERMS), process.run_id + NEXT_LIFE, process.need)
    orphans = (
        (*world.orphans, (process.amount, process.until)) if process.until > world.now else world.orphans
    )
    yield (
        "h0 restarts",
        replace(
            fewer, holders=put(world.holders, 0, fresh), orphans=orphans, heard=put(world.heard, 0, (0, 0))
        ),
    )


def split_shape(split: LeaseLedger, now: float) -> Hashable:
    def grant_shape(one: Grant) -> Hashable:
        return one.version, one.amount, one.expires_at - now

    return tuple(
        sorted(
            (name, out.acknowledged, tuple(grant_shape(one) for one in out.grants if one.expires_at > now))
            for name, out in split.by_holder.items()
        )
    )


def said_shape(said: Said | None, now: float) -> Hashable:
    return None if said is None or said.ends <= now else (said.value, said.ends - now)


def key(world: World) -> Hashable:
    now = world.now

    def process(p: Process) -> Hashable:
        c = p.core
        core = (
            c.version,
            c.lessor,
            c.amount,
            max(c.expires_at - now, 0.0),
            c.sequence,
            split_shape(c.ledger, now),
        )
        live = (p.amount, p.until - now) if p.until > now else ()
        return core, p.run_id, p.need, p.follows, live, p.waits, p.paused

    return (
        now,
        tuple((k.term, k.sequence, split_shape(k.ledger, now)) for k in world.keepers),
        (world.seat, world.since, world.numbers, world.faults, world.orphans),
        tuple(process(p) for p in world.holders),
        tuple(said_shape(said, now) for said in world.asks),
        tuple(said_shape(said, now) for row in world.grants for said in row),
        tuple(said_shape(said, now) for row in world.heard_asks for said in row),
        tuple(
            said is not None and said.epoch > world.heard[h][k]
            for k, row in enumerate(world.grants)
            for h, said in enumerate(row)
        ),
    )


def weight(label: str) -> float:
    """Words go about faster than time and faults: else most of a walk is over before anything moves."""
    return 0.15 if label.startswith("time") else 0.3 if "hears" not in label else 1.0


def play(world: World, *labels: str) -> World:
    for label in labels:
        world = dict(steps(world))[label]
    return world


def moved() -> World:
    """All of it went from one holder to the other, and the next keeper has heard of neither but the old
    need."""
    goes = ("k0 hears h0", "h0 hears k0", "instance of h0 hears", "k1 hears h0", "k0 hears h0")
    comes = ("k0 hears h0", "k0 hears h1", "h0 hears k0", "instance of h0 hears", "k0 hears h0")
    world = play(start(4), "time", *goes, "need moves", "time", *comes)
    return play(world, "h1 hears k0", "instance of h1 hears", "the seat goes to k1")
