"""What fleet-wide limits cost a member, over limits and over holders, in virtual time.

The real cores and the place where they meet (`fleet/limiting.py`) run on the lab's clock. *Alone*: one lessor
(keeper) is real, and each other holder is the asks that it sends it; so sizes are reached that no fleet could
play here. *Whole*: every member is real, which shows how much of what is said arrives in time. *Table*: the
cores of each row without any carrier.
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
from bench.scale.peers import Got, Hollow, Meter, child
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

ROWS, ROWS_SMALL = (1, 10, 64, 256), (1, 10)
HOLDERS, HOLDERS_SMALL = (20, 100, 500, 2200), (5, 20)
TABLE, TABLE_SMALL = (10, 100, 1000, 10_000, 100_000), (10, 100)
WHOLE_ROWS, WHOLE_SMALL = (1, 10, 30, 100), (1, 2)
FLEETS, FLEETS_SMALL = (3, 10, 30, 100, 300), (3, 10)
FEW, FEW_WHOLE, FEW_SMALL = 20, 10, 5  # holders where rows vary
TERM_S = 2.0
SAY_S = TERM_S / limiting.RENEWALS_PER_TERM
WARM_S, WINDOW_S = 5.0, SAY_S  # until a seat is taken and settled; a window holds each renewal once
INSTANCE_S, PER_S = 0.1, 100.0  # between two words of an instance; of each limit
LONG = Rules(period_s=1e9, sync_s=1e9, forget_s=1e12)  # alone: nobody is there to be probed


class Timers:
    """Of an event loop, on the lab's clock."""

    def __init__(self, engine: Engine) -> None:
        self.engine = engine

    def call_later(self, delay: float, call: Callable[[], None]) -> bool:
        self.engine.after(delay, call)
        return True  # a handle: something is under way


class Station:
    """What a subsystem asks of the shell of its member."""

    def __init__(self, members: Hollow, name: str) -> None:
        self.members, self.name, self.member = members, name, members.member(name)

    def publish(
        self, topic: str, subject: str, value: bytes, life_s: float = 0.0, renew: bool = True
    ) -> None:
        self.member.entry_store.publish(self.members.engine.now, topic, subject, value, life_s, renew)

    def push(self, name: str) -> None:
        self.members.push(self.name, name)


@contextmanager
def virtual(members: Hollow) -> Iterator[None]:
    """What subsystems know of time is the lab's."""

    timers = Timers(members.engine)
    with (
        patch.object(limiting, "clock", lambda: members.engine.now),
        patch.object(judging, "clock", lambda: members.engine.now),
        patch.object(asyncio, "get_running_loop", lambda: timers),
    ):
        yield


def alone(n: int, rules: Rules, carried: tuple[Topic, ...], seed: int) -> tuple[Hollow, list[Record]]:
    """One real member, f0, and the records of n - 1 others that are there by their entries alone."""
    members = Hollow(seed, rules, carried)
    members.start("f0")
    others = [Record(f"f{i}", f"f{i}:7946", 0, State.ALIVE, members.rng.getrandbits(48)) for i in range(1, n)]
    members.settle(members.member("f0"), [members.core("f0").me, *others], aged=False)
    return members, others


def arrive(members: Hollow, sender: Record, number: int, words: list[Entry]) -> int:
    """Entries come to f0 in as many datagrams as they need. Returns the last one's number."""
    while words:
        room, some = PAYLOAD_BYTES, list[Entry]()
        while words and words[-1].encoded_bytes() <= room:
            some.append(words.pop())
            room -= some[-1].encoded_bytes()
        number += 1
        now, news = members.engine.now, Message(Kind.GOSSIP, 0, "f0")
        one = Envelope(sender.name, sender.address, sender.run_id, number, now, 1, news, tuple(some))
        members.step(members.addresses["f0"], DatagramReceived(unpack(pack(one), sender.run_id, number)))
    return number


def rows_of(count: int) -> tuple[Limit, ...]:
    return tuple(Limit(f"limit-{i:05d}", "", "", PER_S, 10.0, PartitionPolicy.STRICT) for i in range(count))


def wide(rows: int, holders: int) -> tuple[Topic, ...]:
    """Today's topics, with room for so many."""
    vote, ask, grant = limit_topics(TERM_S)
    most = max(rows * (holders + 1), ask.max_entries)
    return (
        vote,
        Topic(
            "ask",
            ask.merge,
            TERM_S,
            max_per_member=max(rows, ask.max_per_member),
            max_entries=most,
            weight=ask.weight,
        ),
        Topic(
            "grant",
            grant.merge,
            TERM_S,
            max_per_member=max(most, grant.max_per_member),
            max_entries=2 * most,
            weight=grant.weight,
        ),
    )


class Asker:
    """A holder by its asks alone: it follows each grant as soon as it is given."""

    def __init__(self, members: Hollow, record: Record, lessor: Limiter, share: float) -> None:
        self.members, self.record, self.lessor, self.share = members, record, lessor, share
        self.number = self.epoch = 0

    def start(self) -> None:
        self.members.engine.after(SAY_S, self.start)
        self.epoch += 1
        words, me = list[Entry](), self.record
        for name, row in self.lessor.rows.items():
            out = row.lessor.ledger.by_holder.get(holder_id(me.name, me.run_id))
            given = out.grants[-1] if out is not None and out.grants else None
            mark, used = (given.version, given.amount) if given is not None else (LeaseVersion(0, 0), 0.0)
            ask = LeaseRequest(self.share, "f0", "f0" if given else "", mark, used, PER_S, me.run_id)
            words.append(Entry("ask", me.name, name, self.epoch, write_lease_request(ask), TERM_S))
        self.number = arrive(self.members, me, self.number, words)


def lessor(rows: int, holders: int, seed: int, traced: bool) -> dict[str, float]:
    """f0 keeps all limits for so many holders, itself one of them: bytes and processor time a second, or, if
    `traced`, bytes of memory beyond its view."""
    members, others = alone(holders, LONG, wide(rows, holders), seed)
    if traced:
        tracemalloc.start()
    with virtual(members):
        station: Any = Station(members, "f0")
        terms = LeaseSettings(("f0",), holders, TERM_S)
        made = Limiter(rows_of(rows), terms, lambda: station, lambda worker, told: None, lambda *line: None)
        look = Meter()
        for record in others:
            asker = Asker(members, record, made, PER_S / holders)
            members.engine.after(members.rng.uniform(0, SAY_S), asker.start)
        began = members.engine.now
        while members.engine.now < began + WARM_S:  # few looks until the seat is settled
            made.step()
            members.run(SAY_S)
        if traced:
            held = tracemalloc.get_traced_memory()[0]
            tracemalloc.stop()
            return {"memory": float(held)}
        setattr(made, "step", look.around(made.step))  # noqa: B010
        members.metered(["f0"])
        members.on_entries = lambda name, now, words: made.on_entries_changed()
        made.start()
        members.run(WINDOW_S / 2)  # the window holds what is due once, in its middle
        sent, spent, looks = members.sent_by["f0:7946"], look.spent, look.calls
        posted, at, members.meter.spent = members.network.sent, members.engine.now, 0.0
        members.run(WINDOW_S)
        took = members.engine.now - at
        granted = sum(len(row.lessor.ledger.by_holder) for row in made.rows.values())
    return {
        "look": 1e3 * (look.spent - spent) / (look.calls - looks),
        "core": (look.spent - spent) / took,
        "step": members.meter.spent / took,
        "bytes": (members.sent_by["f0:7946"] - sent) / took,
        "datagrams": (members.network.sent - posted) / took,
        "looks": (look.calls - looks) / took,
        "granted": granted / rows / holders,
    }


class Proxy:
    """A member with its limits and one instance that is asked for its part of each, no more."""

    def __init__(self, members: Hollow, name: str, rows: int, terms: LeaseSettings) -> None:
        self.members, self.share = members, PER_S / terms.fleets
        station: Any = Station(members, name)
        self.made = Limiter(rows_of(rows), terms, lambda: station, self.tell, lambda *line: None)
        self.follows: dict[str, list[float]] = {}
        self.began = members.engine.now

    def start(self) -> None:
        self.made.start()
        self.report()

    def tell(self, worker: int, told: dict[str, Any]) -> None:
        self.follows[told["limit"]] = told["value"][2:]

    def report(self) -> None:
        self.members.engine.after(INSTANCE_S, self.report)
        asked = int(self.share * (self.members.engine.now - self.began))
        told = {"asked": dict.fromkeys(self.made.rows, asked), "follows": dict(self.follows)}
        self.made.on_instance_report(0, told)


def whole(rows: int, n: int, seed: int) -> dict[str, float]:
    """Every member is real: the part of all (holder, limit) that have a grant, and bytes a second of the
    member that sends most and of all on average."""
    members = Hollow(seed, topics=wide(rows, n))
    names = members.settled(n)
    terms = LeaseSettings(tuple(names[:3]), n, TERM_S)
    with virtual(members):
        proxies = {name: Proxy(members, name, rows, terms) for name in names}
        members.on_entries = lambda name, now, words: proxies[name].made.on_entries_changed()
        for proxy in proxies.values():
            members.engine.after(members.rng.uniform(0, INSTANCE_S), proxy.start)
        members.run(WARM_S + 1.0)
        before, at = dict(members.sent_by), members.engine.now
        looks = granted = 0
        while members.engine.now < at + TERM_S:
            members.run(0.1)
            looks += 1
            for proxy in proxies.values():
                granted += sum(members.engine.now < row.holder.expires_at for row in proxy.made.rows.values())
        took = members.engine.now - at
    sent = sorted((members.sent_by[one] - before.get(one, 0)) / took for one in members.sent_by)
    return {"granted": max(granted / looks / rows / n, 1e-6), "most": sent[-1], "mean": sum(sent) / n}


def table(rows: int, traced: bool) -> float:
    """Each row as the supervisor makes it, asked for and granted once: milliseconds for all, or bytes."""
    terms, limits = LeaseSettings(("f0",), 1, TERM_S), rows_of(rows)
    if traced:
        tracemalloc.start()
    made, took = [limiting.LimitState(limit, terms, 0.0) for limit in limits], 0.0
    for now in (1.0, 1.0 + SAY_S):
        began = time.process_time()
        for row in made:
            ask = row.holder.request(now, "f0")._replace(run_id=1)
            grants = row.lessor.step(now, "f0", 1, True, row.limit.leasable_per_s(), {"f0/1": ask}, True)
            row.holder.accept_lease(now, "f0", grants["f0/1"], now + TERM_S)
            row.holder.allocate(now, {}, {"0": 1.0}, TERM_S, True)
        took = time.process_time() - began
    if traced:
        held = tracemalloc.get_traced_memory()[0]
        tracemalloc.stop()
        return float(held)
    return 1e3 * took


def run(seed: int, small: bool) -> list[Series]:
    began, found = load(), list[Series]()

    def over(name: str, by: str, unit: str, points: Any, note: str, **fixed: float) -> None:
        points = tuple((float(n), float(value)) for n, value in points)
        found.append(Series(f"limits.{name}", by, unit, points, "hollow", fixed, seed, began, note))

    def of(work: Callable[..., Got], *args: Any) -> Got:
        return work(*args) if small else child(work, *args)

    def both(rows: int, holders: int) -> dict[str, float]:
        return of(lessor, rows, holders, seed, False) | of(lessor, rows, holders, seed, True)

    few, few_whole = (FEW_SMALL, FEW_SMALL) if small else (FEW, FEW_WHOLE)
    by_rows = [(r, both(r, few)) for r in (ROWS_SMALL if small else ROWS)]
    by_holders = [(h, both(1, h)) for h in (HOLDERS_SMALL if small else HOLDERS)]
    whole_rows = [(r, of(whole, r, few_whole, seed)) for r in (WHOLE_SMALL if small else WHOLE_ROWS)]
    fleets = [(n, of(whole, 1, n, seed)) for n in (FLEETS_SMALL if small else FLEETS)]
    one = "one real lessor; the others are the asks that come to it"
    all_ = "every member real, at rest for long, steady demand"
    alone_too = (
        ("look", "cpu_ms", "ms", f"processor time of one look at all rows, with packing; {one}"),
        ("looks", "looks_per_s", "1/s", f"that are asked for; {one}"),
        ("core", "core", "core", f"share of a core that all looks ask for; {one}"),
        ("step", "carrier_core", "core", f"share of a core of the member's core for what comes; {one}"),
        ("memory", "memory_bytes", "bytes", f"tracemalloc, beyond the view of members; {one}"),
        ("bytes", "keeper_bytes_per_s", "bytes/s", f"that the lessor sends, probes apart; {one}"),
        ("datagrams", "keeper_datagrams_per_s", "1/s", f"that the lessor sends, probes apart; {one}"),
    )
    all_real = (
        ("granted", "granted", "part", f"of all (holder, limit), have a grant that holds; {all_}"),
        ("mean", "member_bytes_per_s", "bytes/s", f"that a member sends on average; {all_}"),
        ("most", "most_bytes_per_s", "bytes/s", f"that the member which sends most sends; {all_}"),
    )
    # A name of its own for each size; the lessor's bytes are named for holders.
    for kinds, by, end, points, fixed in (
        (alone_too, "rows", "", by_rows, {"holders": float(few)}),
        (alone_too, "holders", "_by_holders", by_holders, {"rows": 1.0}),
        (all_real, "rows", "", whole_rows, {"members": float(few_whole)}),
        (all_real, "members", "_by_members", fleets, {"rows": 1.0}),
    ):  # fmt: skip
        for key, name, unit, note in kinds:
            plain = (by, key) == ("holders", "bytes")
            name = "bytes" if (by, key) == ("rows", "bytes") else name if plain else name + end
            over(name, by, unit, [(n, row[key]) for n, row in points], note, **fixed)
    sizes = TABLE_SMALL if small else TABLE
    note = "cores alone, one holder, asked for and granted once"
    over("table_ms", "rows", "ms", [(r, of(table, r, False)) for r in sizes], f"processor time; {note}")
    over("table_bytes", "rows", "bytes", [(r, of(table, r, True)) for r in sizes], f"tracemalloc; {note}")
    return found
