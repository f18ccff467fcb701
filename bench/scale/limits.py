"""Measures the cost of fleet-wide limits for a member, over limits and over lease holders, in virtual time.

The real cores and the module that connects them (`fleet/limiting.py`) run on the lab's clock. There are three
kinds of run. *Alone*: only one lessor is real, and every other holder is simulated by the lease requests that
it sends, which allows sizes that don't fit into a simulated fleet. *Whole*: every member is real, which shows
what fraction of the entries arrives in time. *Table*: the cores of each limit without gossip.
"""

from __future__ import annotations

import asyncio
import time
import tracemalloc
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import Any
from unittest.mock import patch

from bench.scale.data import Series, load
from bench.scale.peers import Got, Meter, MeteredMembers, run_in_child
from flintlatch.fleet import judging, limiting
from flintlatch.fleet.limiting import Limiter
from flintlatch.lab.engine import Engine
from flintlatch.limits.api import (
    LeaseRequest,
    LeaseSettings,
    LeaseVersion,
    Limit,
    PartitionPolicy,
    limit_topics,
)
from flintlatch.limits.model import holder_id, write_lease_request
from flintlatch.peers import DatagramReceived, Entry, Kind, Message, Record, Rules, State, Topic
from flintlatch.peers.member import PAYLOAD_BYTES, Envelope
from flintlatch.peers.wire import pack, unpack

ROW_COUNTS, ROW_COUNTS_SMALL = (1, 10, 64, 256), (1, 10)
HOLDER_COUNTS, HOLDER_COUNTS_SMALL = (20, 100, 500, 2200), (5, 20)
TABLE_ROW_COUNTS, TABLE_ROW_COUNTS_SMALL = (10, 100, 1000, 10_000, 100_000), (10, 100)
FLEET_ROW_COUNTS, FLEET_ROW_COUNTS_SMALL = (1, 10, 30, 100), (1, 2)
FLEET_SIZES, FLEET_SIZES_SMALL = (3, 10, 30, 100, 300), (3, 10)
# holders or members in the runs over rows
HOLDERS_OVER_ROWS, MEMBERS_OVER_ROWS, MEMBERS_OVER_ROWS_SMALL = 20, 10, 5
LEASE_TERM_S = 2.0
RENEWAL_INTERVAL_S = LEASE_TERM_S / limiting.RENEWALS_PER_TERM
# until the leadership term is settled; a window contains each renewal once
WARM_UP_S, WINDOW_S = 5.0, RENEWAL_INTERVAL_S
# interval between reports of an instance; rate of each limit
INSTANCE_REPORT_INTERVAL_S, LIMIT_PER_S = 0.1, 100.0
NO_PROBE_RULES = Rules(period_s=1e9, sync_s=1e9, forget_s=1e12)  # without probes, as no other member is real


class LabTimers:
    """The timers of an event loop, on the lab's clock."""

    def __init__(self, engine: Engine) -> None:
        self.engine = engine

    def call_later(self, delay: float, callback: Callable[[], None]) -> bool:
        self.engine.after(delay, callback)
        return True  # in place of a handle: a call is scheduled


class ShellStub:
    """The interface of a member's shell that a subsystem uses."""

    def __init__(self, members: MeteredMembers, name: str) -> None:
        self.members, self.name, self.member = members, name, members.member(name)

    def publish(
        self, topic: str, subject: str, value: bytes, life_s: float = 0.0, renew: bool = True
    ) -> None:
        self.member.entry_store.publish(self.members.engine.now, topic, subject, value, life_s, renew)

    def push(self, name: str) -> None:
        self.members.push(self.name, name)


@contextmanager
def virtual_clock(members: MeteredMembers) -> Iterator[None]:
    """Replaces the clock and the event loop of the subsystems by those of the lab."""

    timers = LabTimers(members.engine)
    with (
        patch.object(limiting, "clock", lambda: members.engine.now),
        patch.object(judging, "clock", lambda: members.engine.now),
        patch.object(asyncio, "get_running_loop", lambda: timers),
    ):
        yield


def start_one_member(
    n: int, rules: Rules, carried: tuple[Topic, ...], seed: int
) -> tuple[MeteredMembers, list[Record]]:
    """Starts one real member, f0. Returns it and the records of n - 1 others that only send entries."""
    members = MeteredMembers(seed, rules, carried)
    members.start("f0")
    others = [Record(f"f{i}", f"f{i}:7946", 0, State.ALIVE, members.rng.getrandbits(48)) for i in range(1, n)]
    members.settle(members.member("f0"), [members.core("f0").me, *others], aged=False)
    return members, others


def deliver_entries(members: MeteredMembers, sender: Record, number: int, entries: list[Entry]) -> int:
    """Delivers entries to f0 in as many datagrams as needed. Returns the number of the last datagram."""
    while entries:
        room_bytes, batch = PAYLOAD_BYTES, list[Entry]()
        while entries and entries[-1].encoded_bytes() <= room_bytes:
            batch.append(entries.pop())
            room_bytes -= batch[-1].encoded_bytes()
        number += 1
        now, news = members.engine.now, Message(Kind.GOSSIP, 0, "f0")
        envelope = Envelope(sender.name, sender.address, sender.run_id, number, now, 1, news, tuple(batch))
        members.step(members.addresses["f0"], DatagramReceived(unpack(pack(envelope), sender.run_id, number)))
    return number


def make_limits(count: int) -> tuple[Limit, ...]:
    return tuple(
        Limit(f"limit-{i:05d}", "", "", LIMIT_PER_S, 10.0, PartitionPolicy.STRICT) for i in range(count)
    )


def sized_topics(rows: int, holders: int) -> tuple[Topic, ...]:
    """The product's topics, with capacity for these numbers of rows and holders."""
    vote, ask, grant = limit_topics(LEASE_TERM_S)
    max_entries = max(rows * (holders + 1), ask.max_entries)
    return (
        vote,
        Topic(
            "ask",
            ask.merge,
            LEASE_TERM_S,
            max_per_member=max(rows, ask.max_per_member),
            max_entries=max_entries,
            weight=ask.weight,
        ),
        Topic(
            "grant",
            grant.merge,
            LEASE_TERM_S,
            max_per_member=max(max_entries, grant.max_per_member),
            max_entries=2 * max_entries,
            weight=grant.weight,
        ),
    )


class SimulatedHolder:
    """A holder simulated by its lease requests; it accepts each lease as soon as it is granted."""

    def __init__(self, members: MeteredMembers, record: Record, lessor: Limiter, share: float) -> None:
        self.members, self.record, self.lessor, self.share = members, record, lessor, share
        self.number = self.epoch = 0

    def start(self) -> None:
        self.members.engine.after(RENEWAL_INTERVAL_S, self.start)
        self.epoch += 1
        entries, me = list[Entry](), self.record
        for name, row in self.lessor.rows.items():
            holder_ledger = row.lessor.ledger.by_holder.get(holder_id(me.name, me.run_id))
            lease = holder_ledger.grants[-1] if holder_ledger is not None and holder_ledger.grants else None
            version, used = (lease.version, lease.amount) if lease is not None else (LeaseVersion(0, 0), 0.0)
            ask = LeaseRequest(self.share, "f0", "f0" if lease else "", version, used, LIMIT_PER_S, me.run_id)
            entries.append(Entry("ask", me.name, name, self.epoch, write_lease_request(ask), LEASE_TERM_S))
        self.number = deliver_entries(self.members, me, self.number, entries)


def lessor(rows: int, holders: int, seed: int, traced: bool) -> dict[str, float]:
    """Runs f0 as the lessor of all limits for this number of holders, itself included.

    Returns bytes and processor time per second or, if `traced`, the bytes of memory in addition to its view
    of the members.
    """
    members, others = start_one_member(holders, NO_PROBE_RULES, sized_topics(rows, holders), seed)
    if traced:
        tracemalloc.start()
    with virtual_clock(members):
        shell: Any = ShellStub(members, "f0")
        lease_settings = LeaseSettings(("f0",), holders, LEASE_TERM_S)
        limiter = Limiter(
            make_limits(rows), lease_settings, lambda: shell, lambda worker, told: None, lambda *line: None
        )
        step_meter = Meter()
        for record in others:
            asker = SimulatedHolder(members, record, limiter, LIMIT_PER_S / holders)
            members.engine.after(members.rng.uniform(0, RENEWAL_INTERVAL_S), asker.start)
        began = members.engine.now
        while members.engine.now < began + WARM_UP_S:  # few steps, until the leadership term is settled
            limiter.step()
            members.run(RENEWAL_INTERVAL_S)
        if traced:
            held = tracemalloc.get_traced_memory()[0]
            tracemalloc.stop()
            return {"memory": float(held)}
        setattr(limiter, "step", step_meter.wrap(limiter.step))  # noqa: B010
        members.meter_members(["f0"])
        members.on_entries = lambda name, now, entries: limiter.on_entries_changed()
        limiter.start()
        members.run(WINDOW_S / 2)  # so that the window contains each renewal once, in its middle
        sent, spent, step_count = members.sent_by["f0:7946"], step_meter.spent_s, step_meter.calls
        datagrams_before, began_at, members.meter.spent_s = members.network.sent, members.engine.now, 0.0
        members.run(WINDOW_S)
        elapsed_s = members.engine.now - began_at
        granted = sum(len(row.lessor.ledger.by_holder) for row in limiter.rows.values())
    return {
        "look": 1e3 * (step_meter.spent_s - spent) / (step_meter.calls - step_count),
        "core": (step_meter.spent_s - spent) / elapsed_s,
        "step": members.meter.spent_s / elapsed_s,
        "bytes": (members.sent_by["f0:7946"] - sent) / elapsed_s,
        "datagrams": (members.network.sent - datagrams_before) / elapsed_s,
        "looks": (step_meter.calls - step_count) / elapsed_s,
        "granted": granted / rows / holders,
    }


class SimulatedMember:
    """A member with its limits and one instance, whose request rate is its fraction of each limit."""

    def __init__(self, members: MeteredMembers, name: str, rows: int, lease_settings: LeaseSettings) -> None:
        self.members, self.share = members, LIMIT_PER_S / lease_settings.fleets
        shell: Any = ShellStub(members, name)
        self.limiter = Limiter(
            make_limits(rows), lease_settings, lambda: shell, self.tell, lambda *line: None
        )
        self.follows: dict[str, list[float]] = {}
        self.began = members.engine.now

    def start(self) -> None:
        self.limiter.start()
        self.report()

    def tell(self, worker: int, message: dict[str, Any]) -> None:
        self.follows[message["limit"]] = message["value"][2:]

    def report(self) -> None:
        self.members.engine.after(INSTANCE_REPORT_INTERVAL_S, self.report)
        request_count = int(self.share * (self.members.engine.now - self.began))
        report_message = {
            "asked": dict.fromkeys(self.limiter.rows, request_count),
            "follows": dict(self.follows),
        }
        self.limiter.on_instance_report(0, report_message)


def measure_fleet(rows: int, n: int, seed: int) -> dict[str, float]:
    """Runs real members only.

    Returns the fraction of all (holder, limit) pairs with a valid lease, and the bytes per second that a
    member sends, on average and at most.
    """
    members = MeteredMembers(seed, topics=sized_topics(rows, n))
    names = members.start_settled(n)
    lease_settings = LeaseSettings(tuple(names[:3]), n, LEASE_TERM_S)
    with virtual_clock(members):
        proxies = {name: SimulatedMember(members, name, rows, lease_settings) for name in names}
        members.on_entries = lambda name, now, entries: proxies[name].limiter.on_entries_changed()
        for proxy in proxies.values():
            members.engine.after(members.rng.uniform(0, INSTANCE_REPORT_INTERVAL_S), proxy.start)
        members.run(WARM_UP_S + 1.0)
        before, began_at = dict(members.sent_by), members.engine.now
        step_count = granted = 0
        while members.engine.now < began_at + LEASE_TERM_S:
            members.run(0.1)
            step_count += 1
            for proxy in proxies.values():
                granted += sum(
                    members.engine.now < row.holder.expires_at for row in proxy.limiter.rows.values()
                )
        elapsed_s = members.engine.now - began_at
    sent = sorted(
        (members.sent_by[address] - before.get(address, 0)) / elapsed_s for address in members.sent_by
    )
    return {"granted": max(granted / step_count / rows / n, 1e-6), "most": sent[-1], "mean": sum(sent) / n}


def measure_table(rows: int, traced: bool) -> float:
    """Creates each row as the supervisor does, with one request and one lease.

    Returns the milliseconds for all rows or, if `traced`, their bytes of memory.
    """
    lease_settings, limits = LeaseSettings(("f0",), 1, LEASE_TERM_S), make_limits(rows)
    if traced:
        tracemalloc.start()
    limit_states, elapsed_s = [limiting.LimitState(limit, lease_settings, 0.0) for limit in limits], 0.0
    for now in (1.0, 1.0 + RENEWAL_INTERVAL_S):
        began = time.process_time()
        for row in limit_states:
            ask = row.holder.request(now, "f0")._replace(run_id=1)
            grants = row.lessor.step(now, "f0", 1, True, row.limit.leasable_per_s(), {"f0/1": ask}, True)
            row.holder.accept_lease(now, "f0", grants["f0/1"], now + LEASE_TERM_S)
            row.holder.allocate(now, {}, {"0": 1.0}, LEASE_TERM_S, True)
        elapsed_s = time.process_time() - began
    if traced:
        held = tracemalloc.get_traced_memory()[0]
        tracemalloc.stop()
        return float(held)
    return 1e3 * elapsed_s


def run(seed: int, small: bool) -> list[Series]:
    load_at_start, found = load(), list[Series]()

    def add_series(name: str, by: str, unit: str, points: Any, note: str, **fixed: float) -> None:
        points = tuple((float(n), float(value)) for n, value in points)
        found.append(Series(f"limits.{name}", by, unit, points, "hollow", fixed, seed, load_at_start, note))

    def run_size(work: Callable[..., Got], *args: Any) -> Got:
        return work(*args) if small else run_in_child(work, *args)

    def measure_both(rows: int, holders: int) -> dict[str, float]:
        return run_size(lessor, rows, holders, seed, False) | run_size(lessor, rows, holders, seed, True)

    few_holders, few_members = (
        (MEMBERS_OVER_ROWS_SMALL, MEMBERS_OVER_ROWS_SMALL)
        if small
        else (HOLDERS_OVER_ROWS, MEMBERS_OVER_ROWS)
    )
    by_rows = [(r, measure_both(r, few_holders)) for r in (ROW_COUNTS_SMALL if small else ROW_COUNTS)]
    by_holders = [(h, measure_both(1, h)) for h in (HOLDER_COUNTS_SMALL if small else HOLDER_COUNTS)]
    whole_rows = [
        (r, run_size(measure_fleet, r, few_members, seed))
        for r in (FLEET_ROW_COUNTS_SMALL if small else FLEET_ROW_COUNTS)
    ]
    fleets = [(n, run_size(measure_fleet, 1, n, seed)) for n in (FLEET_SIZES_SMALL if small else FLEET_SIZES)]
    simulated_note = "one real lessor; the others are the asks that come to it"
    fleet_note = "every member real, at rest for long, steady demand"
    alone_too = (
        ("look", "cpu_ms", "ms", f"processor time of one look at all rows, with packing; {simulated_note}"),
        ("looks", "looks_per_s", "1/s", f"that are asked for; {simulated_note}"),
        ("core", "core", "core", f"share of a core that all looks ask for; {simulated_note}"),
        (
            "step",
            "carrier_core",
            "core",
            f"share of a core of the member's core for what comes; {simulated_note}",
        ),
        ("memory", "memory_bytes", "bytes", f"tracemalloc, beyond the view of members; {simulated_note}"),
        ("bytes", "keeper_bytes_per_s", "bytes/s", f"that the lessor sends, probes apart; {simulated_note}"),
        (
            "datagrams",
            "keeper_datagrams_per_s",
            "1/s",
            f"that the lessor sends, probes apart; {simulated_note}",
        ),
    )
    all_real = (
        ("granted", "granted", "part", f"of all (holder, limit), have a grant that holds; {fleet_note}"),
        ("mean", "member_bytes_per_s", "bytes/s", f"that a member sends on average; {fleet_note}"),
        ("most", "most_bytes_per_s", "bytes/s", f"that the member which sends most sends; {fleet_note}"),
    )
    # Each series has a name of its own for each varied size; `keeper_bytes_per_s` is the one over holders.
    for kinds, by, end, points, fixed in (
        (alone_too, "rows", "", by_rows, {"holders": float(few_holders)}),
        (alone_too, "holders", "_by_holders", by_holders, {"rows": 1.0}),
        (all_real, "rows", "", whole_rows, {"members": float(few_members)}),
        (all_real, "members", "_by_members", fleets, {"rows": 1.0}),
    ):  # fmt: skip
        for key, name, unit, note in kinds:
            plain = (by, key) == ("holders", "bytes")
            name = "bytes" if (by, key) == ("rows", "bytes") else name if plain else name + end
            add_series(name, by, unit, [(n, row[key]) for n, row in points], note, **fixed)
    sizes = TABLE_ROW_COUNTS_SMALL if small else TABLE_ROW_COUNTS
    note = "cores alone, one holder, asked for and granted once"
    add_series(
        "table_ms",
        "rows",
        "ms",
        [(r, run_size(measure_table, r, False)) for r in sizes],
        f"processor time; {note}",
    )
    add_series(
        "table_bytes",
        "rows",
        "bytes",
        [(r, run_size(measure_table, r, True)) for r in sizes],
        f"tracemalloc; {note}",
    )
    return found
