"""Every decision of a member: whom to probe, whom to suspect, what to pass on. No I/O, no clock, no random of
its own: it is given the time and a generator. Feed it events, carry out its actions.

One record for each name, ordered by (incarnation, state): whatever order words come in, all who have heard
the same ones hold the same. A member that hears ill of itself raises its own incarnation; nobody else may.
"""

from __future__ import annotations

from bisect import bisect_left, insort
from collections.abc import Iterable
from dataclasses import dataclass
from heapq import nsmallest
from math import ceil, log
from typing import NamedTuple
from zlib import crc32

from rpds import HashTrieMap

from flintlatch.peers.model import (
    Kind,
    Malformed,
    Message,
    RandomSource,
    Record,
    Rules,
    State,
    View,
    check_record,
    log_scale,
)

DEPARTED = (State.DEAD, State.LEFT)
MAX_LEAVE_MESSAGES = (
    64  # members that one who leaves tells itself: it has no other datagram to put the word on
)
MAX_RELAYED_PROBES = (
    64  # probes for others under way: more than a fleet of thousands asks of one member at once
)


# Events


class Tick(NamedTuple):
    """Some time has passed. Due at least ten times an ack_s for the times to be met."""


class Received(NamedTuple):
    address: str  # of the sender, as its datagram tells
    message: Message


class Synced(NamedTuple):
    """Another member's whole view has come, asked for by us or by it."""

    records: tuple[Record, ...]


class Leave(NamedTuple):
    pass


class InstancesChanged(NamedTuple):
    """What this fleet is has changed."""

    instances: int


Event = Tick | Received | Synced | Leave | InstancesChanged


# Actions


class Send(NamedTuple):
    address: str
    message: Message


class Sync(NamedTuple):
    """Exchange whole views with this address, both ways."""

    address: str


class Changed(NamedTuple):
    view: View


class LogLine(NamedTuple):
    """One line for the log."""

    text: str


Action = Send | Sync | Changed | LogLine


@dataclass(slots=True)
class Suspicion:
    since: float
    reporters: set[str]


@dataclass(slots=True)
class Probe:
    """The probe of this period."""

    number: int
    target: str
    started: float
    indirect: bool = False  # others have been asked
    acked: bool = False
    nacks: int = 0
    helpers: int = 0


@dataclass(slots=True)
class RelayedProbe:
    """A probe made for another member."""

    address: str
    number: int
    target: str
    nack_at: float


@dataclass(slots=True)
class Counts:
    refused: int = 0  # records that were malformed, beyond the leap, or beyond the bound on names
    refuted: int = 0
    name_conflicts: int = 0  # words of another process under our name
    suspected: int = 0
    died: int = 0


@dataclass(slots=True)
class Queued:
    record: Record
    sent: int = 0


class Peers:
    def __init__(self, me: Record, seeds: Iterable[str], rules: Rules, rng: RandomSource, now: float) -> None:
        check_record(me)
        self.me, self.rules, self.rng = me, rules, rng
        self.seeds = tuple(seed for seed in seeds if seed != me.address)
        self.view: View = HashTrieMap({me.name: me})
        self.active: dict[str, Record] = {}  # those who count
        self.active_names: list[str] = []  # of them, in order: the same words must lead to the same acts
        self.membership_hash = self.content_hash = 0
        self.update_indexes(me)
        self.unresponsive: set[str] = set()  # whose last direct probe got no answer in time
        self.suspicions: dict[str, Suspicion] = {}
        self.departed_at: dict[str, float] = {}  # when the dead and those who left were found to be so
        self.queue: dict[str, Queued] = {me.name: Queued(me)}
        self.probe_order: list[str] = []  # names still to be probed in this round
        self.probe: Probe | None = None
        self.relayed_probes: dict[int, RelayedProbe] = {}
        # Of probes; begun where nobody can guess, so that an answer of yesterday answers nothing of today.
        self.probe_number = int(rng.random() * 2**40)
        self.health = 0  # 0: no doubt of ourselves
        self.next_probe_at, self.next_sync_at = now, now
        self.sync_interval_s = rules.period_s
        self.last_step_at = now
        self.joined = not self.seeds  # until a whole view has come, what datagrams tell is not believed
        self.left = False
        self.counts = Counts()
        self.actions: list[Action] = []
        self.logged: set[str] = set()

    # What others ask

    def alive(self) -> list[Record]:
        """Those who count, by name: also a suspect does until it is found dead."""
        return [self.active[name] for name in self.active_names]

    def count(self) -> int:
        return len(self.active_names)

    def digest(self) -> int:
        """Of who counts and how many instances each has; never 0."""
        return self.membership_hash or 1

    def content_digest(self) -> int:
        """Of all that is held of those who count, to the letter: where two marks are the same, an exchange of
        whole views has nothing to tell. Never 0."""
        return self.content_hash or 1

    def update_indexes(self, record: Record | None) -> None:
        """Keep what is asked for often as the view changes, not by walks over all of it: a word of a thousand
        members must not cost a thousand steps."""
        if record is None or record.state in DEPARTED:
            return
        self.membership_hash ^= crc32(f"{record.name} {record.address} {record.instances}".encode())
        self.content_hash ^= crc32(repr(tuple(record)).encode())
        if self.active.get(record.name) == record:
            del self.active[record.name]
            del self.active_names[bisect_left(self.active_names, record.name)]
        else:
            self.active[record.name] = record
            insort(self.active_names, record.name)

    def instances(self) -> int:
        return sum(record.instances for record in self.active.values())

    def suspicion_timeout_s(self, reporters: int) -> float:
        """How long a suspect has to refute (Lifeguard, section IV-B)."""
        least = self.rules.suspicion * log_scale(self.count()) * self.rules.period_s
        most = least * self.rules.suspicion_max_factor
        part = log(reporters + 1) / log(self.rules.confirmations + 1)
        return max(least, most - (most - least) * part)

    def detection_s(self, members: int) -> float:
        """A stated bound: from a member's death until whoever probes it first has found it dead, with no
        datagram lost and nobody doubting itself. Every member probes every other once in a round."""
        rules = self.rules
        least = rules.suspicion * log_scale(members) * rules.period_s
        return (2 * members - 1) * rules.period_s + least * rules.suspicion_max_factor

    # Events

    def step(self, now: float, event: Event) -> list[Action]:
        self.actions, before = [], self.view
        if now - self.last_step_at > self.rules.forget_s / 2 and not self.left:
            self.reset_after_pause(now)
        self.last_step_at = now
        if isinstance(event, Received):
            self.on_message(now, event.address, event.message)
        elif isinstance(event, Synced):
            self.joined = True
            self.merge_records(now, event.records)
            # Where views differ, the next exchange is soon; where not, later and later.
            news = self.view is not before
            self.sync_interval_s = (
                self.rules.period_s if news else min(2 * self.sync_interval_s, self.rules.sync_s)
            )
            self.next_sync_at = min(self.next_sync_at, now + self.sync_interval_s)
        elif isinstance(event, InstancesChanged):
            self.set_own_incarnation(now, self.me.incarnation + 1, instances=event.instances)
        elif isinstance(event, Leave) and not self.left:
            self.left = True
            self.me = self.me._replace(state=State.LEFT)
            self.set_record(now, self.me)
            for record in self.sample(self.alive(), MAX_LEAVE_MESSAGES):
                self.actions.append(Send(record.address, Message(Kind.PING, 0, record.name, (self.me,))))
        if not self.left:
            self.on_tick(now)
        if self.view is not before:
            self.actions.append(Changed(self.view))
        return self.actions

    def reset_after_pause(self, now: float) -> None:
        """It was paused for so long that others may have forgotten who died or left: what it knows, and the
        old words in its buffers, would bring them back. It keeps addresses to ask, and nothing else."""
        away = now - self.last_step_at
        self.actions.append(
            LogLine(f"nothing was done for {away:.0f} s: what was known of others is forgotten")
        )
        others = [r.address for r in self.alive() if r.name != self.me.name]
        self.seeds = (*self.seeds, *(a for a in others[: self.rules.helpers] if a not in self.seeds))
        self.view = HashTrieMap({self.me.name: self.me})
        self.active, self.active_names, self.membership_hash, self.content_hash = {}, [], 0, 0
        self.update_indexes(self.me)
        self.suspicions, self.departed_at, self.queue, self.relayed_probes, self.probe_order = (
            {},
            {},
            {},
            {},
            [],
        )
        self.unresponsive = set()
        self.probe, self.health, self.joined = None, 0, not self.seeds
        self.next_probe_at = self.next_sync_at = now
        self.sync_interval_s = self.rules.period_s
        self.set_own_incarnation(now, self.me.incarnation + 1)

    def on_tick(self, now: float) -> None:
        self.expire_relayed_probes(now)
        self.advance_probe(now)
        for name, suspicion in list(self.suspicions.items()):
            if now >= suspicion.since + self.suspicion_timeout_s(len(suspicion.reporters)):
                self.counts.died += 1
                self.set_record(now, self.view[name]._replace(state=State.DEAD, reporter=self.me.name))
        for name, since in list(self.departed_at.items()):
            if now >= since + self.rules.forget_s:
                del self.departed_at[name]
                self.unresponsive.discard(name)
                self.view = self.view.remove(name)
                self.queue.pop(name, None)
        if now >= self.next_probe_at and self.probe is None:
            self.start_probe(now)
        if now >= self.next_sync_at:
            self.start_sync(now)

    def start_sync(self, now: float) -> None:
        """With some member, or, in one of three, with a seed or one held dead: after a cut longer than
        `forget_s` the two sides know nothing of each other but their seeds."""
        alive = [r.address for r in self.alive() if r.name != self.me.name]
        away = sorted(r.address for r in self.view.values() if r.state is State.DEAD)
        away += [seed for seed in self.seeds if seed not in alive]
        choice = away if away and (not alive or self.rng.random() < 1 / 3) else alive
        if choice:
            self.actions.append(Sync(self.rng.choice(choice)))
        every = self.sync_interval_s if self.joined else self.rules.period_s
        self.next_sync_at = now + every * self.rng.uniform(0.75, 1.25)

    # Probes

    def start_probe(self, now: float) -> None:
        """Round robin in an order drawn anew for each round: bounded, not only likely (SWIM, section 4.3)."""
        self.next_probe_at = now + self.rules.period_s * (1 + self.health)
        while True:
            if not self.probe_order:
                self.probe_order = [r.name for r in self.alive() if r.name != self.me.name]
                self.rng.shuffle(self.probe_order)
                if not self.probe_order:
                    return
            record = self.view.get(self.probe_order.pop())
            if record is not None and record.state not in DEPARTED:
                break
        self.probe_number += 1
        self.probe = Probe(self.probe_number, record.name, now)
        self.send(record.address, Kind.PING, self.probe_number, record.name)

    def advance_probe(self, now: float) -> None:
        probe, rules = self.probe, self.rules
        if probe is None:
            return
        slow = 1 + self.health
        record = self.view.get(probe.target)
        if probe.acked or record is None or record.state in DEPARTED:
            self.probe = None
            if probe.acked:
                self.health = max(self.health - 1, 0)
        elif not probe.indirect and now >= probe.started + rules.ack_s * slow:
            probe.indirect = True
            self.unresponsive.add(probe.target)
            others = [r for r in self.alive() if r.name not in (self.me.name, probe.target)]
            # First those that we reach: one that sees all keeps those together that don't see each other.
            heard = [r for r in others if r.name not in self.unresponsive]
            helpers = self.sample(heard, rules.helpers)
            helpers += self.sample(
                [r for r in others if r.name in self.unresponsive], rules.helpers - len(helpers)
            )
            probe.helpers = len(helpers)
            for helper in helpers:
                self.send(helper.address, Kind.PING_REQ, probe.number, probe.target)
        elif now >= probe.started + rules.period_s * slow:
            self.probe = None
            # Helpers that answer nothing, not even that they got no answer, speak against ourselves.
            missed = probe.helpers - probe.nacks
            self.health = min(self.health + (missed if probe.helpers else 1), rules.max_health)
            self.suspect(now, record, self.me.name)

    def suspect(self, now: float, record: Record, reporter: str) -> None:
        if record.state is State.ALIVE:
            self.counts.suspected += 1
            self.set_record(now, record._replace(state=State.SUSPECT, reporter=reporter))
        elif record.state is State.SUSPECT:
            self.confirm_suspicion(record.name, reporter)

    def confirm_suspicion(self, name: str, reporter: str) -> None:
        """One more independent voice is news, and is passed on; a voice counts once."""
        suspicion = self.suspicions[name]
        if reporter in suspicion.reporters or len(suspicion.reporters) >= self.rules.confirmations:
            return
        suspicion.reporters.add(reporter)
        self.queue[name] = Queued(self.view[name]._replace(reporter=reporter))

    def expire_relayed_probes(self, now: float) -> None:
        for number, relayed in list(self.relayed_probes.items()):
            if now >= relayed.nack_at:
                del self.relayed_probes[number]
                self.send(relayed.address, Kind.NACK, relayed.number, relayed.target)

    def on_message(self, now: float, address: str, message: Message) -> None:
        if self.joined:
            self.merge_records(now, message.gossip, datagram=True)
        if self.left:
            return
        if message.kind is Kind.PING:
            if message.target == self.me.name:  # else it is for one who had this address before
                self.send(address, Kind.ACK, message.number, message.target)
        elif message.kind is Kind.PING_REQ:
            target = self.view.get(message.target)
            if target is not None and len(self.relayed_probes) < MAX_RELAYED_PROBES:
                self.probe_number += 1
                within = now + 0.8 * (self.rules.period_s - self.rules.ack_s)
                self.relayed_probes[self.probe_number] = RelayedProbe(
                    address, message.number, message.target, within
                )
                self.send(target.address, Kind.PING, self.probe_number, message.target)
        elif message.kind is Kind.GOSSIP:
            return
        elif relayed := self.relayed_probes.get(message.number):
            if message.kind is Kind.ACK and message.target == relayed.target:
                del self.relayed_probes[message.number]
                self.send(relayed.address, Kind.ACK, relayed.number, relayed.target)
        elif self.probe and (message.number, message.target) == (self.probe.number, self.probe.target):
            if message.kind is Kind.ACK:
                self.probe.acked = True
                if not self.probe.indirect:
                    self.unresponsive.discard(message.target)
            else:
                self.probe.nacks = min(self.probe.nacks + 1, self.probe.helpers)

    # Words

    def merge_records(self, now: float, records: Iterable[Record], datagram: bool = False) -> None:
        for record in records:
            try:
                check_record(record)
            except Malformed as fault:
                self.reject(f"a malformed record: {fault}")
                continue
            known = self.view.get(record.name)
            if known is None and len(self.view) >= self.rules.max_members:
                self.reject(f"more than {self.rules.max_members} names: not taken up")
            elif (
                known is not None and record.incarnation > known.incarnation + self.rules.max_incarnation_step
            ):
                self.reject("a word far beyond the incarnation that is known")
            elif record.name == self.me.name:
                self.on_own_record(now, record)
            elif record.supersedes(known):
                # Datagrams pass a death on for seconds only; by whole views those whom one has forgotten and
                # another not yet would be handed to and fro for ever.
                if known is not None or record.state not in DEPARTED or datagram:
                    self.set_record(now, record)
            elif known is not None and record.reporter and same_suspicion(record, known):
                self.confirm_suspicion(record.name, record.reporter)

    def reject(self, what: str) -> None:
        self.counts.refused += 1
        if what not in self.logged and len(self.logged) < 16:
            self.logged.add(what)
            self.actions.append(LogLine(f"refused: {what}; told once, then counted"))

    def on_own_record(self, now: float, record: Record) -> None:
        mine = self.me
        if self.left or not record.supersedes(mine):
            return
        if record.run_id != mine.run_id and record.state is State.ALIVE:
            # Another process under our name, or we ourselves before a restart.
            self.counts.name_conflicts += 1
            if record.address != mine.address and "clash" not in self.logged:
                self.logged.add("clash")
                self.actions.append(LogLine(f"{mine.name} is claimed by {record.address} too"))
        else:
            self.counts.refuted += 1
            if record.run_id == mine.run_id:
                self.health = min(self.health + 1, self.rules.max_health)
        self.set_own_incarnation(now, record.incarnation + 1)

    def set_own_incarnation(self, now: float, incarnation: int, instances: int | None = None) -> None:
        if incarnation < 2**31 - 1:
            count = self.me.instances if instances is None else instances
            self.me = self.me._replace(incarnation=incarnation, instances=count)
            self.set_record(now, self.me)

    def set_record(self, now: float, record: Record) -> None:
        """The one place where the view changes."""
        name = record.name
        self.update_indexes(self.view.get(name))
        self.view = self.view.insert(name, record)
        self.update_indexes(record)
        self.suspicions.pop(name, None)
        self.departed_at.pop(name, None)
        if record.state is State.SUSPECT:
            self.suspicions[name] = Suspicion(now, {record.reporter})
        elif record.state in DEPARTED:
            self.departed_at[name] = now
        self.queue[name] = Queued(record)

    # Sending

    def send(self, address: str, kind: Kind, number: int, target: str) -> None:
        self.actions.append(Send(address, Message(kind, number, target, self.select_gossip(target))))

    def select_gossip(self, target: str) -> tuple[Record, ...]:
        """The words passed on least so far; one who is suspected is told so first (Lifeguard, IV-C)."""
        most = self.rules.retransmit * ceil(log_scale(len(self.view)))
        told = self.view.get(target)
        words = [told] if told is not None and told.state is State.SUSPECT else []
        room = self.rules.max_gossip_bytes - sum(record.encoded_bytes() for record in words)
        for queued in nsmallest(self.rules.max_gossip_records, self.queue.values(), key=lambda q: q.sent):
            cost = queued.record.encoded_bytes()
            if len(words) >= self.rules.max_gossip_records or cost > room:
                break
            if queued.record not in words:
                words.append(queued.record)
                room -= cost
            queued.sent += 1
            if queued.sent >= most:
                self.queue.pop(queued.record.name, None)
        return tuple(words)

    def sample(self, records: list[Record], most: int) -> list[Record]:
        return self.rng.sample(records, min(most, len(records)))


def same_suspicion(one: Record, other: Record) -> bool:
    return one.state is other.state is State.SUSPECT and one.incarnation == other.incarnation
