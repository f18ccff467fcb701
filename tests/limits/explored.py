"""State space of one strict limit with two lessors and two holders, for the explorer.

The real cores run with every order of entries that are lost, delayed or repeated, and with pauses and
crashes. An entry may be received at any time before its expiry, or never; one that is older than what the
receiver has of the same subject is ignored, as the entry store does it. Time advances by half a lease term.
Leadership is assigned by an oracle that guarantees what `Leadership` guarantees: never two leaders at once.
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
SETTINGS = LeaseSettings(("k0", "k1", "k2"), 2, term_s=2.0)
STEP_S = 1.0
CAPACITY = LIMIT.leasable_per_s()
LATEST_S = 9.0  # no time step beyond it
RUN_ID_STEP = 1  # added to the run id by a restart


@dataclass(frozen=True)
class Published:
    value: Any
    epoch: int
    expires_at: float


@dataclass(frozen=True)
class Process:
    """A holder with one instance, and the allocations on their way to it."""

    core: LeaseHolder
    run_id: int = 1
    demand: float = 0.0
    applied: LeaseVersion = LeaseVersion(0, 0)
    amount: float = 0.0  # of the instance
    until: float = 0.0
    pending: tuple[tuple[float, LeaseVersion, float], ...] = ()
    paused: bool = False


@dataclass(frozen=True)
class World:
    now: float
    lessors: tuple[Lessor, Lessor]
    leader: int  # index of the leading lessor, -1: none
    leader_since: float
    term: int
    holders: tuple[Process, Process]
    orphans: tuple[tuple[float, float], ...]  # instances left by a dead supervisor: amount, expiry
    requests: tuple[Published | None, Published | None]
    # By lessor, by holder.
    leases: tuple[tuple[Published | None, Published | None], tuple[Published | None, Published | None]]
    received_requests: tuple[tuple[Published | None, Published | None], ...]  # by lessor, by holder
    received_epochs: tuple[tuple[int, int], ...]  # by holder, by lessor
    faults: int
    epochs: int = 0


def clone_ledger(ledger: LeaseLedger) -> LeaseLedger:
    copied = LeaseLedger()
    copied.by_holder = {
        name: HolderGrants(list(granted.grants), granted.acknowledged)
        for name, granted in ledger.by_holder.items()
    }
    return copied


def clone(core: Any) -> Any:
    """Copies a Lessor or LeaseHolder; the limit and the settings are shared."""
    copied = deepcopy(
        core, {id(core.limit): core.limit, id(core.settings): core.settings, id(core.ledger): core.ledger}
    )
    copied.ledger = clone_ledger(core.ledger)
    return copied


def replaced_at(items: tuple[Any, ...], place: int, item: Any) -> tuple[Any, ...]:
    return (*items[:place], item, *items[place + 1 :])


def start(faults: int) -> World:
    holders = Process(LeaseHolder(LIMIT, SETTINGS), demand=10.0), Process(LeaseHolder(LIMIT, SETTINGS))
    none = (None, None)
    lessors = Lessor(LIMIT, SETTINGS), Lessor(LIMIT, SETTINGS)
    return World(
        0.0, lessors, 0, -10.0, 1, holders, (), none, (none, none), (none, none), ((0, 0), (0, 0)), faults
    )


def in_use(world: World) -> float:
    """The rate that all instances may use at this moment, orphans included."""
    of_holders = sum(p.amount for p in world.holders if p.until > world.now)
    return of_holders + sum(amount for amount, until in world.orphans if until > world.now)


def invariant_violation(world: World) -> str:
    used = in_use(world)
    return f"{used:g} of {CAPACITY:g} in use at {world.now:g}" if used > CAPACITY + 1e-6 else ""


def lessor_step(world: World) -> World:
    """The leading lessor handles the requests that it has received, and publishes leases."""
    k = world.leader
    core = clone(world.lessors[k])
    requests = {}
    for h, published in enumerate(world.received_requests[k]):
        if published is not None and published.expires_at > world.now:
            request: LeaseRequest = published.value
            requests[holder_id(f"h{h}", request.run_id)] = request
    predecessors_expired = world.now >= world.leader_since + term_validity_s(SETTINGS)
    granted = core.step(
        world.now, f"k{k}", world.term, predecessors_expired, core.capacity(2, 2), requests, False
    )
    leases, epochs = world.leases[k], world.epochs
    for name, lease in granted.items():
        h, run_id = int(name[1]), int(name.partition("/")[2], 16)
        epochs += 1
        leases = replaced_at(leases, h, Published((run_id, lease), epochs, world.now + SETTINGS.term_s))
    return replace(
        world,
        lessors=replaced_at(world.lessors, k, core),
        leases=replaced_at(world.leases, k, leases),
        epochs=epochs,
    )


def holder_step(world: World, h: int) -> World:
    """A holder sends an allocation to its instance, then publishes its request."""
    process = world.holders[h]
    core = clone(process.core)
    core.demand = process.demand
    allocations = core.allocate(
        world.now, {"w": process.applied}, {"w": process.demand}, SETTINGS.term_s, False
    )
    pending = process.pending
    if "w" in allocations:
        allocation = allocations["w"]
        pending = (*pending[-1:], (allocation.per_s, allocation.version, allocation.until))
    request = core.request(world.now, f"k{max(world.leader, 0)}")._replace(run_id=process.run_id)
    epochs = world.epochs + 1
    published = Published(request, epochs, world.now + SETTINGS.term_s)
    before = world.requests[h]
    if before is not None and before.value == request and before.expires_at > world.now + SETTINGS.term_s / 2:
        published, epochs = before, world.epochs
    process = replace(process, core=core, pending=pending)
    return replace(
        world,
        holders=replaced_at(world.holders, h, process),
        requests=replaced_at(world.requests, h, published),
        epochs=epochs,
    )


def steps(world: World) -> Iterator[tuple[str, World]]:
    """Yields each possible event. A process that receives something handles it at once; when time passes, all
    that are not paused act."""
    now = world.now
    if now < LATEST_S:
        left = tuple(o for o in world.orphans if o[1] > now + STEP_S)
        later = replace(world, now=now + STEP_S, orphans=left)
        yield "time passes, no process acts", later
        for h in range(2):
            if not later.holders[h].paused:
                later = holder_step(later, h)
        yield "time passes", lessor_step(later) if later.leader >= 0 else later
    for h in range(2):
        process = world.holders[h]
        if not process.paused:
            for k in range(2):
                published = world.leases[k][h]
                if (
                    published is not None
                    and published.expires_at > now
                    and published.epoch > world.received_epochs[h][k]
                ):
                    run_id, lease = published.value
                    core = clone(process.core)
                    if run_id == process.run_id:
                        core.accept_lease(now, f"k{k}", lease, published.expires_at)
                    received_epochs = replaced_at(
                        world.received_epochs, h, replaced_at(world.received_epochs[h], k, published.epoch)
                    )
                    holders = replaced_at(world.holders, h, replace(process, core=core))
                    yield (
                        f"h{h} receives k{k}",
                        holder_step(replace(world, holders=holders, received_epochs=received_epochs), h),
                    )
            if process.pending:
                amount, version, until = process.pending[0]
                updated = replace(
                    process, amount=amount, applied=version, until=until, pending=process.pending[1:]
                )
                yield (
                    f"instance of h{h} receives",
                    holder_step(replace(world, holders=replaced_at(world.holders, h, updated)), h),
                )
        for k in range(2):
            published = world.requests[h]
            before = world.received_requests[k][h]
            if (
                published is not None
                and published.expires_at > now
                and (before is None or published.epoch > before.epoch)
            ):
                row = replaced_at(
                    world.received_requests, k, replaced_at(world.received_requests[k], h, published)
                )
                after = replace(world, received_requests=row)
                yield f"k{k} receives h{h}", lessor_step(after) if k == world.leader else after
    yield from faults(world)


def faults(world: World) -> Iterator[tuple[str, World]]:
    for h in range(2):
        if world.holders[h].paused:
            yield (
                f"h{h} resumes",
                replace(
                    world, holders=replaced_at(world.holders, h, replace(world.holders[h], paused=False))
                ),
            )
    if not world.faults:
        return
    after_fault = replace(world, faults=world.faults - 1)
    other = 1 - max(world.leader, 0)
    yield (
        f"k{other} becomes the lessor",
        replace(after_fault, leader=other, leader_since=world.now, term=world.term + 1),
    )
    reassigned = tuple(replace(p, demand=10.0 - p.demand) for p in world.holders)
    yield "demand moves", replace(after_fault, holders=reassigned)  # type: ignore[arg-type]
    process = world.holders[0]
    if not process.paused:
        yield (
            "h0 is paused",
            replace(after_fault, holders=replaced_at(world.holders, 0, replace(process, paused=True))),
        )
    fresh = Process(LeaseHolder(LIMIT, SETTINGS), process.run_id + RUN_ID_STEP, process.demand)
    orphans = (
        (*world.orphans, (process.amount, process.until)) if process.until > world.now else world.orphans
    )
    yield (
        "h0 restarts",
        replace(
            after_fault,
            holders=replaced_at(world.holders, 0, fresh),
            orphans=orphans,
            received_epochs=replaced_at(world.received_epochs, 0, (0, 0)),
        ),
    )


def ledger_key(ledger: LeaseLedger, now: float) -> Hashable:
    def grant_key(grant: Grant) -> Hashable:
        return grant.version, grant.amount, grant.expires_at - now

    return tuple(
        sorted(
            (
                name,
                granted.acknowledged,
                tuple(grant_key(one) for one in granted.grants if one.expires_at > now),
            )
            for name, granted in ledger.by_holder.items()
        )
    )


def published_key(published: Published | None, now: float) -> Hashable:
    return (
        None
        if published is None or published.expires_at <= now
        else (published.value, published.expires_at - now)
    )


def state_key(world: World) -> Hashable:
    now = world.now

    def process(p: Process) -> Hashable:
        c = p.core
        core = (
            c.version,
            c.lessor,
            c.amount,
            max(c.expires_at - now, 0.0),
            c.sequence,
            ledger_key(c.ledger, now),
        )
        live = (p.amount, p.until - now) if p.until > now else ()
        return core, p.run_id, p.demand, p.applied, live, p.pending, p.paused

    return (
        now,
        tuple((k.term, k.sequence, ledger_key(k.ledger, now)) for k in world.lessors),
        (world.leader, world.leader_since, world.term, world.faults, world.orphans),
        tuple(process(p) for p in world.holders),
        tuple(published_key(published, now) for published in world.requests),
        tuple(published_key(published, now) for row in world.leases for published in row),
        tuple(published_key(published, now) for row in world.received_requests for published in row),
        tuple(
            published is not None and published.epoch > world.received_epochs[h][k]
            for k, row in enumerate(world.leases)
            for h, published in enumerate(row)
        ),
    )


def weight(label: str) -> float:
    """Makes messages more likely than time steps and faults; otherwise most walks end before anything
    changes."""
    return 0.15 if label.startswith("time") else 0.3 if "receives" not in label else 1.0


def play(world: World, *labels: str) -> World:
    for label in labels:
        world = dict(steps(world))[label]
    return world


def reassigned() -> World:
    """The whole limit moved from one holder to the other, and the next lessor knows only the old demand."""
    goes = ("k0 receives h0", "h0 receives k0", "instance of h0 receives", "k1 receives h0", "k0 receives h0")
    comes = (
        "k0 receives h0",
        "k0 receives h1",
        "h0 receives k0",
        "instance of h0 receives",
        "k0 receives h0",
    )
    world = play(start(4), "time passes", *goes, "demand moves", "time passes", *comes)
    return play(world, "h1 receives k0", "instance of h1 receives", "k1 becomes the lessor")
