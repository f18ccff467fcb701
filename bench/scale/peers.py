"""Measures the cost of membership for a member, over the number of members and of entries, in virtual time.

The members are the real protocol cores on the lab's simulated network; all members of a size run in one
process, each size in a process of its own. A run starts in the steady state of a fleet that has been idle
for long: all members hold the same view, and each has verified the run id and the clock of every other one
by a probe in the last round. A fleet that has just started sends more, because each member probes all others
back.
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

SIZES, SIZES_SMALL = (10, 30, 100, 300, 1000, 2200), (10, 30)
ENTRY_COUNTS, ENTRY_COUNTS_SMALL = (1, 10, 100, 1000), (1, 10)
INITIAL_CLOCK_S = 10_000.0  # clock reading at the start; the clocks were verified before it
TTL_S = 60.0  # of the published entries
# entries published at once for the propagation time, and their value
TIMED_ENTRIES, ENTRY_VALUE = 5, b"v" * 20
KEY = bytes(range(32))
RECORDED_DATAGRAMS = 2000  # datagrams recorded for the measurement of sealing
MEMORY_RECORDS, MEMORY_RECORDS_SMALL = 20_000, 2000  # held together in the memory measurement, in all members
MAX_WAIT_S = 600.0  # virtual time limit for an entry, a death or a set of entries to reach all members
MAX_CPU_S = 330.0  # processor time limit of one size; half of it ends the simulation of further deaths
METERED_METHODS = ("step", "offer", "on_offer", "on_reply", "on_content")

Got = TypeVar("Got")
Row = dict[str, Any]


def run_in_child(work: Callable[..., Got], *args: Any) -> Got:
    """Runs the function in a new process, free of the memory and garbage of earlier runs."""
    with ProcessPoolExecutor(1, multiprocessing.get_context("spawn")) as pool:
        return pool.submit(work, *args).result()


class Meter:
    """Measures processor time inside the wrapped calls; a nested call counts only within the outer one."""

    def __init__(self) -> None:
        self.spent_s, self.longest_s, self.calls = 0.0, 0.0, 0
        self.inside = False

    def wrap(self, call: Callable[..., Any]) -> Callable[..., Any]:
        def timed(*args: Any) -> Any:
            if self.inside:
                return call(*args)
            self.inside, began = True, time.process_time()
            got = call(*args)
            elapsed_s = time.process_time() - began
            self.inside, self.calls, self.spent_s = False, self.calls + 1, self.spent_s + elapsed_s
            self.longest_s = max(self.longest_s, elapsed_s)
            return got

        return timed


class MeteredMembers(MemberSimulation):
    """Simulated members with counters of bytes sent by address and of processor time."""

    def __init__(self, seed: int, rules: Rules | None = None, topics: tuple[Topic, ...] = ()) -> None:
        super().__init__(seed, rules, topics=topics)
        self.engine.now = INITIAL_CLOCK_S
        self.meter = Meter()
        self.sent_by: dict[str, int] = {}
        self.recorded: list[Envelope] = []
        self.recorded_limit = 0

    def _carry_out(self, address: str, actions: list[Action]) -> None:
        before = self.sent_bytes
        super()._carry_out(address, actions)
        self.sent_by[address] = self.sent_by.get(address, 0) + self.sent_bytes - before
        if len(self.recorded) < self.recorded_limit:
            self.recorded += [action.envelope for action in actions if isinstance(action, SendDatagram)]

    def push(self, name: str, target: str) -> None:
        """Sends pending entries to one member at once, as the shell does."""
        address = self.addresses[name]
        self._carry_out(address, self.members[address].push(self.now(address), target))

    def meter_members(self, names: list[str]) -> None:
        for member in map(self.member, names):
            for call in METERED_METHODS:
                setattr(member, call, self.meter.wrap(getattr(member, call)))

    def start_settled(self, n: int, aged: bool = True) -> list[str]:
        """Starts n members in the steady state.

        Their last probes of each other lie within the last round or, unless `aged`, at this moment.
        """
        names = self.start_fleet(n)
        for name in names:
            self.settle(self.member(name), [self.core(other).me for other in names], aged)
        return names

    def settle(self, member: Member, records: list[Record], aged: bool = True) -> None:
        """Puts the records into the member's view, each verified by one probe within the last round."""
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


def entry_topic(ttl_s: float, max_entries: int = 4096) -> Topic:
    return Topic("word", Merge.PER_MEMBER, ttl_s, max_per_member=max_entries, max_entries=max_entries)


def seal_and_open_us(recorded: list[Envelope]) -> tuple[float, float]:
    """Microseconds to pack and seal a datagram, and to open and unpack it."""
    seals = {envelope.run_id: Seal((KEY,), envelope.run_id) for envelope in recorded}
    receiver_seal = Seal((KEY,), 1)
    began = time.process_time()
    datagrams = [seals[envelope.run_id].encrypt(envelope.number, pack(envelope)) for envelope in recorded]
    sealed_at = time.process_time()
    # derives the key of each run id, once
    opened_datagrams = [receiver_seal.decrypt(data) for data in datagrams]
    derived_at = time.process_time()
    for data in datagrams:
        receiver_seal.decrypt(data)
    for run_id, number, plain in opened_datagrams:
        unpack(plain, run_id, number)
    ended_at = time.process_time()
    return 1e6 * (sealed_at - began) / len(recorded), 1e6 * (ended_at - derived_at) / len(recorded)


def measure_members(n: int, seed: int, rest_s: float, deaths: int) -> Row:
    """Measures n members at rest, then the propagation of deaths and of entries that others publish."""
    gc.disable()  # a collection traverses all members of this process, so it isn't the cost of one member
    started = time.process_time()
    members = MeteredMembers(seed, topics=(entry_topic(TTL_S),))
    names = members.start_settled(n)
    members.meter_members(names)
    members.run(2.0)
    members.recorded_limit = RECORDED_DATAGRAMS
    before, sent, spent = members.sent_bytes, members.network.sent, members.meter.spent_s
    members.run(rest_s)
    found: Row = {
        "bytes": (members.sent_bytes - before) / n / rest_s,
        "datagrams": (members.network.sent - sent) / n / rest_s,
        "core": (members.meter.spent_s - spent) / n / rest_s,
    }
    found["close"], found["open"] = seal_and_open_us(members.recorded)
    death_times_s: list[float] = []
    entry_times_s: list[float] = []
    surviving = list(names)
    while len(death_times_s) < deaths and (
        not death_times_s or time.process_time() - started < MAX_CPU_S / 2
    ):
        victim = members.rng.choice(surviving[TIMED_ENTRIES:])
        surviving.remove(victim)
        members.kill(victim)
        death_s, entry_times = measure_propagation(members, surviving, 0 if entry_times_s else TIMED_ENTRIES)
        death_times_s.append(death_s)
        entry_times_s += entry_times
    gc.enable()
    cpu = time.process_time() - started
    return found | {
        "died": death_times_s,
        "heard": entry_times_s,
        "tick": 1e3 * members.meter.longest_s,
        "cpu": cpu,
    }


def measure_propagation(members: MeteredMembers, names: list[str], count: int) -> tuple[float, list[float]]:
    """Publishes one entry on each of `count` members.

    Returns the seconds until all named members hold the same view, and those until each entry has reached
    all.
    """
    began = members.engine.now
    for name in names[:count]:
        members.publish(name, "word", name, ENTRY_VALUE)
    missing_by_subject = {name: set(names) for name in names[:count]}
    death_s, entry_times = 0.0, list[float]()
    while missing_by_subject or not death_s:
        members.run(members.tick_s)
        if (elapsed_s := members.engine.now - began) > MAX_WAIT_S:
            raise AssertionError(f"not within {MAX_WAIT_S} s: {missing_by_subject}")
        if not death_s and members.converged(names):
            death_s = elapsed_s
        for subject, missing in list(missing_by_subject.items()):
            missing -= {
                n for n in missing if ("word", subject, subject) in members.member(n).entry_store.entries
            }
            if not missing:
                del missing_by_subject[subject]
                entry_times.append(elapsed_s)
    return death_s, entry_times


def memory(n: int, seed: int, total: int) -> float:
    """Bytes of resident memory for one member with its ciphers, averaged over many members."""
    count = max(1, total // n)
    rng = Random(seed)
    built: list[Any] = []

    def build() -> None:
        records = [
            Record(f"proxy-{i:05d}", f"10.0.{i >> 8}.{i & 255}:7946", 3, State.ALIVE, rng.getrandbits(48), 4)
            for i in range(n)
        ]
        member = Member(
            records[0], (records[1].address,), Rules(), (entry_topic(TTL_S),), rng, INITIAL_CLOCK_S
        )
        seal = Seal((KEY,), records[0].run_id)
        for record in records[1:]:
            head = (record.name, record.address, record.run_id, 1, INITIAL_CLOCK_S, 1, 1)
            sync_records = tuple(records) if record is records[1] else ()
            member.on_content(INITIAL_CLOCK_S, SyncMessage(*head, sync_records), INITIAL_CLOCK_S - 1.0)
            member.guard.senders[record.run_id].accept_number(1000)  # allocates the replay window
            receiver_seal = Seal((KEY,), record.run_id)
            seal.decrypt(receiver_seal.encrypt(1, b""))
        member.peers.queue = {}
        built.append((member, seal))

    build()  # allocates what is shared by all members
    before = resident()
    for _ in range(count):
        build()
    return (resident() - before) / count


def resident() -> int:
    gc.collect()
    with open("/proc/self/statm") as file:
        return int(file.read().split()[1]) * 4096


def measure_burst(k: int, n: int, seed: int) -> tuple[float, float, float]:
    """Publishes k entries at once among n members.

    Returns the seconds until all members have all entries, the bytes sent per member and entry above those at
    rest, and the bytes sent per member and second until then.
    """
    members = MeteredMembers(seed, topics=(entry_topic(TTL_S, 2 * max(ENTRY_COUNTS)),))
    names = members.start_settled(n)
    members.run(2.0)
    before = members.sent_bytes
    members.run(10.0)
    rest_bytes_per_s = (members.sent_bytes - before) / 10.0
    before, at, missing = members.sent_bytes, members.engine.now, set(names)
    for i in range(k):
        members.publish(names[i % n], "word", f"subject-{i:05d}", ENTRY_VALUE)
    while missing:
        members.run(members.tick_s)
        if members.engine.now - at > MAX_WAIT_S:
            raise AssertionError(f"{len(missing)} of {n} lack some of {k} after {MAX_WAIT_S} s")
        missing -= {name for name in missing if len(members.member(name).entry_store.entries) >= k}
    elapsed_s, sent = members.engine.now - at, members.sent_bytes - before
    return elapsed_s, (sent - rest_bytes_per_s * elapsed_s) / n / k, sent / n / elapsed_s


def run(seed: int, small: bool) -> list[Series]:
    load_at_start, sizes = load(), SIZES_SMALL if small else SIZES
    found: list[Series] = []

    def add_series(name: str, unit: str, points: Any, note: str, by: str = "members", **fixed: float) -> None:
        points = tuple((float(n), float(value)) for n, value in points)
        found.append(Series(f"peers.{name}", by, unit, points, "hollow", fixed, seed, load_at_start, note))

    def run_sizes(work: Callable[..., Got], *args: Any) -> list[tuple[int, Got]]:
        return [(n, work(n, seed, *args) if small else run_in_child(work, n, seed, *args)) for n in sizes]

    rows = run_sizes(measure_members, 10.0, 1 if small else 5)
    words_note = f"of {TIMED_ENTRIES} entries said at once, TTL {TTL_S:g} s, while one member died"
    played = ", ".join(f"{n}: {len(row['died'])}, longest {max(row['died']):.1f} s" for n, row in rows)
    spent_note = "processor seconds of each run: " + ", ".join(f"{n}: {row['cpu']:.0f}" for n, row in rows)
    for key, name, unit, reduce, note in (
        ("bytes", "rest_bytes_per_s", "bytes/s", float, "as sealed, UDP, IP and streams; long after a start"),
        ("datagrams", "rest_datagrams_per_s", "1/s", float, "long after a start; one run of 10 s a size"),
        ("core", "core", "core", float, f"at rest, cores alone; one run of 10 s a size; {spent_note}"),
        ("tick", "tick_ms", "ms", float, "longest call of one member at rest, with entries and deaths"),
        ("close", "seal_us", "us", float,
        f"to pack and seal a datagram, of {RECORDED_DATAGRAMS} at rest at the most"),
        ("open", "open_us", "us", float,
        f"to open and unpack one, of {RECORDED_DATAGRAMS} at rest at the most"),
        ("died", "death_s", "s", median, f"until all hold the same view, median; played {played}"),
        ("heard", "word_s", "s", median, f"until known to all, median {words_note}"),
        ("heard", "word_worst_s", "s", max, f"until known to all, longest {words_note}"),
    ):  # fmt: skip
        add_series(name, unit, [(n, reduce(row[key])) for n, row in rows], note)
    note = "resident set of a fresh process, many members, each with its ciphers and all lives known"
    records = MEMORY_RECORDS_SMALL if small else MEMORY_RECORDS
    add_series("memory_bytes", "bytes", [(n, run_in_child(memory, n, seed, records)) for n in sizes], note)
    n, entry_counts = (30, ENTRY_COUNTS_SMALL) if small else (100, ENTRY_COUNTS)
    news = [(k, measure_burst(k, n, seed)) for k in entry_counts]
    for column, name, unit, note in (
        (0, "words_s", "s", "entries said at once until all members know all, one run a size"),
        (1, "words_bytes", "bytes", "that a member sends above rest for each of them until then"),
        (2, "words_bytes_per_s", "bytes/s", "that a member sends meanwhile, rest included"),
    ):
        add_series(
            name, unit, [(k, result[column]) for k, result in news], note, "words", members=n, ttl_s=TTL_S
        )
    return found
