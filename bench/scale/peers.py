"""What knowing each other costs a member, over members and over words that are news at once, in virtual time.

Members are the real cores on the lab's network, many in a process, each size in a process of its own. They
begin as a fleet after long rest: all hold the same view, and each knows each other's life and bound its clock
by a probe of its last round. (A fleet that has just started sends more: each asks all others back.)
"""

from __future__ import annotations

import gc
import multiprocessing
import time
from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor
from random import Random
from statistics import median
from typing import Any, TypeVar

from bench.scale.data import Series, load
from flintlatch.lab.members import MemberSimulation
from flintlatch.peers import Member, Merge, Record, Rules, SendDatagram, State, Topic
from flintlatch.peers.member import Action, Envelope, SyncMessage
from flintlatch.peers.seal import Seal
from flintlatch.peers.wire import pack, unpack

SIZES, SMALL = (10, 30, 100, 300, 1000, 2200), (10, 30)
WORDS, WORDS_SMALL = (1, 10, 100, 1000), (1, 10)
START_S = 10_000.0  # what clocks show when all begins: bindings of clocks lie before it
TTL_S = 60.0  # of the entries said
SAID, VALUE = 5, b"v" * 20  # entries said at once where one of them is timed
KEY = bytes(range(32))
SEALED = 2000  # datagrams kept to be sealed
RECORDS, RECORDS_SMALL = 20_000, 2000  # held together where memory is measured
LONGEST_S = 600.0  # of virtual time, that a word, a death or a spreading is waited for
CPU_S = 330.0  # of one size; past it no further death is played
METERED = ("step", "offer", "on_offer", "on_reply", "on_content")

Got = TypeVar("Got")
Row = dict[str, Any]


def child(work: Callable[..., Got], *args: Any) -> Got:
    """In a fresh process: no memory and no garbage of what ran before."""
    with ProcessPoolExecutor(1, multiprocessing.get_context("spawn")) as pool:
        return pool.submit(work, *args).result()


class Meter:
    """Processor time inside the calls that it wraps; of nested ones the outer counts."""

    def __init__(self) -> None:
        self.spent, self.longest, self.calls = 0.0, 0.0, 0
        self.inside = False

    def around(self, call: Callable[..., Any]) -> Callable[..., Any]:
        def timed(*args: Any) -> Any:
            if self.inside:
                return call(*args)
            self.inside, began = True, time.process_time()
            got = call(*args)
            took = time.process_time() - began
            self.inside, self.calls, self.spent = False, self.calls + 1, self.spent + took
            self.longest = max(self.longest, took)
            return got

        return timed


class Hollow(MemberSimulation):
    """Members whose bytes are counted for each address, and whose time is taken."""

    def __init__(self, seed: int, rules: Rules | None = None, topics: tuple[Topic, ...] = ()) -> None:
        super().__init__(seed, rules, topics=topics)
        self.engine.now = START_S
        self.meter = Meter()
        self.sent_by: dict[str, int] = {}
        self.kept: list[Envelope] = []
        self.keeps = 0

    def _carry_out(self, address: str, actions: list[Action]) -> None:
        before = self.sent_bytes
        super()._carry_out(address, actions)
        self.sent_by[address] = self.sent_by.get(address, 0) + self.sent_bytes - before
        if len(self.kept) < self.keeps:
            self.kept += [action.envelope for action in actions if isinstance(action, SendDatagram)]

    def push(self, name: str, target: str) -> None:
        """As the shell's: what is new goes to one member at once."""
        address = self.addresses[name]
        self._carry_out(address, self.members[address].push(self.now(address), target))

    def metered(self, names: list[str]) -> None:
        for member in map(self.member, names):
            for call in METERED:
                setattr(member, call, self.meter.around(getattr(member, call)))

    def settled(self, n: int, aged: bool = True) -> list[str]:
        """n members after long rest; or, if not `aged`, as if all had probed all just now."""
        names = self.start_fleet(n)
        for name in names:
            self.settle(self.member(name), [self.core(other).me for other in names], aged)
        return names

    def settle(self, member: Member, records: list[Record], aged: bool = True) -> None:
        """All of these records are held, and who they are of was probed once in the last round."""
        peers, now = member.peers, self.engine.now
        round_s = len(records) * self.rules.period_s if aged else 0.0
        for record in records:
            if record.name not in peers.view:
                peers.view = peers.view.insert(record.name, record)
                peers.update_indexes(record)
            if record.run_id != member.me.run_id:
                asked = now - self.rng.uniform(0, round_s)
                member.guard.mark_verified(record.run_id, 0, asked, asked)
        peers.queue = {}
        peers.joined, peers.sync_interval_s = True, self.rules.sync_s
        peers.next_probe_at = now + self.rng.uniform(0, self.rules.period_s)
        peers.next_sync_at = now + self.rng.uniform(0, self.rules.sync_s)


def word(life_s: float, most: int = 4096) -> Topic:
    return Topic("word", Merge.PER_MEMBER, life_s, max_per_member=most, max_entries=most)


def sealed(kept: list[Envelope]) -> tuple[float, float]:
    """Microseconds to pack and seal a datagram, and to open and unpack it."""
    seals = {one.run_id: Seal((KEY,), one.run_id) for one in kept}
    theirs = Seal((KEY,), 1)
    began = time.process_time()
    datagrams = [seals[one.run_id].encrypt(one.number, pack(one)) for one in kept]
    closed = time.process_time()
    opened = [theirs.decrypt(data) for data in datagrams]  # each life's key is derived once
    derived = time.process_time()
    for data in datagrams:
        theirs.decrypt(data)
    for life, number, plain in opened:
        unpack(plain, life, number)
    ended = time.process_time()
    return 1e6 * (closed - began) / len(kept), 1e6 * (ended - derived) / len(kept)


def play(n: int, seed: int, rest_s: float, deaths: int) -> Row:
    """At rest; then one member dies while others say something, each known to all after a while."""
    gc.disable()  # a collection walks all members of this process: it is no member's own time
    started = time.process_time()
    members = Hollow(seed, topics=(word(TTL_S),))
    names = members.settled(n)
    members.metered(names)
    members.run(2.0)
    members.keeps = SEALED
    before, sent, spent = members.sent_bytes, members.network.sent, members.meter.spent
    members.run(rest_s)
    found: Row = {
        "bytes": (members.sent_bytes - before) / n / rest_s,
        "datagrams": (members.network.sent - sent) / n / rest_s,
        "core": (members.meter.spent - spent) / n / rest_s,
    }
    found["close"], found["open"] = sealed(members.kept)
    died: list[float] = []
    heard: list[float] = []
    rest = list(names)
    while len(died) < deaths and (not died or time.process_time() - started < CPU_S / 2):
        victim = members.rng.choice(rest[SAID:])
        rest.remove(victim)
        members.kill(victim)
        gone, known = watch(members, rest, 0 if heard else SAID)
        died.append(gone)
        heard += known
    gc.enable()
    cpu = time.process_time() - started
    return found | {"died": died, "heard": heard, "tick": 1e3 * members.meter.longest, "cpu": cpu}


def watch(members: Hollow, names: list[str], count: int) -> tuple[float, list[float]]:
    """`count` members say one entry each now: seconds until all of these hold the same view, and until each
    entry is known to all."""
    began = members.engine.now
    for name in names[:count]:
        members.publish(name, "word", name, VALUE)
    waits = {name: set(names) for name in names[:count]}
    gone, known = 0.0, list[float]()
    while waits or not gone:
        members.run(members.tick_s)
        if (took := members.engine.now - began) > LONGEST_S:
            raise AssertionError(f"not within {LONGEST_S} s: {waits}")
        if not gone and members.converged(names):
            gone = took
        for subject, missing in list(waits.items()):
            missing -= {
                n for n in missing if ("word", subject, subject) in members.member(n).entry_store.entries
            }
            if not missing:
                del waits[subject]
                known.append(took)
    return gone, known


def memory(n: int, seed: int, total: int) -> float:
    """Bytes that one member with its ciphers adds to a process, from its resident set, over many members."""
    count = max(1, total // n)
    rng = Random(seed)
    kept: list[Any] = []

    def build() -> None:
        records = [
            Record(f"proxy-{i:05d}", f"10.0.{i >> 8}.{i & 255}:7946", 3, State.ALIVE, rng.getrandbits(48), 4)
            for i in range(n)
        ]
        member = Member(records[0], (records[1].address,), Rules(), (word(TTL_S),), rng, START_S)
        seal = Seal((KEY,), records[0].run_id)
        for record in records[1:]:
            head = (record.name, record.address, record.run_id, 1, START_S, 1, 1)
            told = tuple(records) if record is records[1] else ()
            member.on_content(START_S, SyncMessage(*head, told), START_S - 1.0)
            member.guard.senders[record.run_id].accept_number(1000)  # a window in use
            theirs = Seal((KEY,), record.run_id)
            seal.decrypt(theirs.encrypt(1, b""))
        member.peers.queue = {}
        kept.append((member, seal))

    build()  # what is made once
    before = resident()
    for _ in range(count):
        build()
    return (resident() - before) / count


def resident() -> int:
    gc.collect()
    with open("/proc/self/statm") as file:
        return int(file.read().split()[1]) * 4096


def spread(k: int, n: int, seed: int) -> tuple[float, float, float]:
    """k entries are news at once: seconds until all know all; bytes of a member, for each entry above rest,
    and a second meanwhile."""
    members = Hollow(seed, topics=(word(TTL_S, 2 * max(WORDS)),))
    names = members.settled(n)
    members.run(2.0)
    before = members.sent_bytes
    members.run(10.0)
    rest = (members.sent_bytes - before) / 10.0
    before, at, missing = members.sent_bytes, members.engine.now, set(names)
    for i in range(k):
        members.publish(names[i % n], "word", f"subject-{i:05d}", VALUE)
    while missing:
        members.run(members.tick_s)
        if members.engine.now - at > LONGEST_S:
            raise AssertionError(f"{len(missing)} of {n} lack some of {k} after {LONGEST_S} s")
        missing -= {name for name in missing if len(members.member(name).entry_store.entries) >= k}
    took, sent = members.engine.now - at, members.sent_bytes - before
    return took, (sent - rest * took) / n / k, sent / n / took


def run(seed: int, small: bool) -> list[Series]:
    began, sizes = load(), SMALL if small else SIZES
    found: list[Series] = []

    def over(name: str, unit: str, points: Any, note: str, by: str = "members", **fixed: float) -> None:
        points = tuple((float(n), float(value)) for n, value in points)
        found.append(Series(f"peers.{name}", by, unit, points, "hollow", fixed, seed, began, note))

    def each(work: Callable[..., Got], *args: Any) -> list[tuple[int, Got]]:
        return [(n, work(n, seed, *args) if small else child(work, n, seed, *args)) for n in sizes]

    rows = each(play, 10.0, 1 if small else 5)
    words = f"of {SAID} entries said at once, TTL {TTL_S:g} s, while one member died"
    played = ", ".join(f"{n}: {len(row['died'])}, longest {max(row['died']):.1f} s" for n, row in rows)
    spent = "processor seconds of each run: " + ", ".join(f"{n}: {row['cpu']:.0f}" for n, row in rows)
    for key, name, unit, pick, note in (
        ("bytes", "rest_bytes_per_s", "bytes/s", float, "as sealed, UDP, IP and streams; long after a start"),
        ("datagrams", "rest_datagrams_per_s", "1/s", float, "long after a start; one run of 10 s a size"),
        ("core", "core", "core", float, f"at rest, cores alone; one run of 10 s a size; {spent}"),
        ("tick", "tick_ms", "ms", float, "longest call of one member at rest, with entries and deaths"),
        ("close", "seal_us", "us", float, f"to pack and seal a datagram, of {SEALED} at rest at the most"),
        ("open", "open_us", "us", float, f"to open and unpack one, of {SEALED} at rest at the most"),
        ("died", "death_s", "s", median, f"until all hold the same view, median; played {played}"),
        ("heard", "word_s", "s", median, f"until known to all, median {words}"),
        ("heard", "word_worst_s", "s", max, f"until known to all, longest {words}"),
    ):  # fmt: skip
        over(name, unit, [(n, pick(row[key])) for n, row in rows], note)
    note = "resident set of a fresh process, many members, each with its ciphers and all lives known"
    records = RECORDS_SMALL if small else RECORDS
    over("memory_bytes", "bytes", [(n, child(memory, n, seed, records)) for n in sizes], note)
    n, sizes_ = (30, WORDS_SMALL) if small else (100, WORDS)
    news = [(k, spread(k, n, seed)) for k in sizes_]
    for place, name, unit, note in (
        (0, "words_s", "s", "entries said at once until all members know all, one run a size"),
        (1, "words_bytes", "bytes", "that a member sends above rest for each of them until then"),
        (2, "words_bytes_per_s", "bytes/s", "that a member sends meanwhile, rest included"),
    ):
        over(name, unit, [(k, one[place]) for k, one in news], note, "words", members=n, ttl_s=TTL_S)
    return found
