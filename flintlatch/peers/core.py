"""Decides which members to probe, suspect and gossip about.

No I/O, no clock, no random source of its own: the time and a generator are passed in. The caller feeds events
and carries out the returned actions. There is one record for each name, ordered by (incarnation, state):
members that have received the same records, in whatever order, hold the same view. A member that receives a
record in which it is suspected or dead raises its own incarnation; no other member may.
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
    MAX_INCARNATION,
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
MAX_LEAVE_MESSAGES = 64  # members that a leaving member notifies itself: it sends no datagrams after that
MAX_LOGGED_REASONS = 16  # each reason to reject a record is logged once
MAX_RELAYED_PROBES = 64  # concurrent ones: more than a fleet of thousands asks of one member


# Events


class Tick(NamedTuple):
    """Time has passed. Needed at least ten times per `ack_s` for the timeouts to be exact."""


class Received(NamedTuple):
    address: str  # of the sender, as stated in its datagram
    message: Message


class Synced(NamedTuple):
    """The whole view of another member was received, in an exchange that either side started."""

    records: tuple[Record, ...]


class Leave(NamedTuple):
    pass


class InstancesChanged(NamedTuple):
    """The number of this fleet's instances has changed."""

    instances: int


Event = Tick | Received | Synced | Leave | InstancesChanged


# Actions


class Send(NamedTuple):
    address: str
    message: Message


class Sync(NamedTuple):
    """Exchange whole views with this address, in both directions."""

    address: str


class Changed(NamedTuple):
    view: View


class LogLine(NamedTuple):
    """A line for the log."""

    text: str


Action = Send | Sync | Changed | LogLine


@dataclass(slots=True)
class Suspicion:
    since: float
    reporters: set[str]


@dataclass(slots=True)
class Probe:
    """The probe of the current period."""

    number: int
    target: str
    started: float
    indirect: bool = False  # other members have been asked to probe
    acked: bool = False
    nacks: int = 0
    helpers: int = 0


@dataclass(slots=True)
class RelayedProbe:
    """A probe on behalf of another member."""

    address: str
    number: int
    target: str
    nack_at: float


@dataclass(slots=True)
class Counts:
    refused: int = 0  # records: malformed, too high an incarnation, or too many names
    refuted: int = 0
    name_conflicts: int = 0  # records of another process with this member's name
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
        self.active: dict[str, Record] = {}  # records of members that are neither dead nor gone
        self.active_names: list[str] = []  # sorted, so that the same events lead to the same actions
        self.membership_hash = self.content_hash = 0
        self.update_indexes(me)
        self.unresponsive: set[str] = set()  # members whose last direct probe timed out
        self.suspicions: dict[str, Suspicion] = {}
        self.departed_at: dict[str, float] = {}  # by name: when it was found dead or left
        self.queue: dict[str, Queued] = {me.name: Queued(me)}
        self.probe_order: list[str] = []  # names left to probe in this round
        self.probe: Probe | None = None
        self.relayed_probes: dict[int, RelayedProbe] = {}
        # Starts at a random number, so that a response to an earlier run of this member matches no probe.
        self.probe_number = int(rng.random() * 2**40)
        self.health = 0  # Lifeguard's local health; 0: healthy, higher values slow the probes down
        self.next_probe_at, self.next_sync_at = now, now
        self.sync_interval_s = rules.period_s
        self.last_step_at = now
        self.joined = not self.seeds  # until a whole view is received, records in datagrams are ignored
        self.left = False
        self.counts = Counts()
        self.actions: list[Action] = []
        self.logged: set[str] = set()

    # Queries

    def active_records(self) -> list[Record]:
        """The active members sorted by name, including suspected ones."""
        return [self.active[name] for name in self.active_names]

    def count(self) -> int:
        return len(self.active_names)

    def digest(self) -> int:
        """Hash over the active members with their addresses and instances; never 0."""
        return self.membership_hash or 1

    def content_digest(self) -> int:
        """Hash over the complete records of the active members; never 0.

        Two members with the same digest have no records to exchange."""
        return self.content_hash or 1

    def update_indexes(self, record: Record | None) -> None:
        """Adds the record to the indexes of active members, or removes it if it is there.

        The indexes are updated incrementally, since a change of one record in a view of thousands must not
        cost a scan of the view."""
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

    def is_uncertain(self) -> bool:
        """Whether active members may be unreachable without having been found dead yet: one is suspected, or
        this member has not joined or doubts its own connectivity, which delays its suspicions."""
        doubts_itself = self.health > 0 and self.count() > 1
        return not self.joined or bool(self.suspicions) or doubts_itself

    def suspicion_timeout_s(self, reporters: int) -> float:
        """How long a suspected member has to refute (Lifeguard, section IV-B)."""
        shortest = self.rules.suspicion * log_scale(self.count()) * self.rules.period_s
        longest = shortest * self.rules.suspicion_max_factor
        progress = log(reporters + 1) / log(self.rules.confirmations + 1)
        return max(shortest, longest - (longest - shortest) * progress)

    def death_bound_s(self, members: int) -> float:
        """Upper bound on the time from a member's death until the first member that probes it finds it dead.

        It holds if no datagram is lost and no member has slowed down its probes. Each member probes every
        other member once per round."""
        rules = self.rules
        shortest = rules.suspicion * log_scale(members) * rules.period_s
        return (2 * members - 1) * rules.period_s + shortest * rules.suspicion_max_factor

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
            # After an exchange that changed the view the next one is soon, otherwise the interval doubles.
            changed = self.view is not before
            self.sync_interval_s = (
                self.rules.period_s if changed else min(2 * self.sync_interval_s, self.rules.sync_s)
            )
            self.next_sync_at = min(self.next_sync_at, now + self.sync_interval_s)
        elif isinstance(event, InstancesChanged):
            self.set_own_incarnation(now, self.me.incarnation + 1, instances=event.instances)
        elif isinstance(event, Leave) and not self.left:
            self.left = True
            self.me = self.me._replace(state=State.LEFT)
            self.set_record(now, self.me)
            for record in self.sample(self.active_records(), MAX_LEAVE_MESSAGES):
                self.actions.append(Send(record.address, Message(Kind.PING, 0, record.name, (self.me,))))
        if not self.left:
            self.on_tick(now)
        if self.view is not before:
            self.actions.append(Changed(self.view))
        return self.actions

    def reset_after_pause(self, now: float) -> None:
        """Discards the view after a long pause, except for addresses to join by.

        Other members may have forgotten meanwhile which members died or left; this member's view, and old
        records in its socket buffers, would bring them back."""
        paused_s = now - self.last_step_at
        self.actions.append(
            LogLine(f"nothing was done for {paused_s:.0f} s: what was known of others is forgotten")
        )
        others = [r.address for r in self.active_records() if r.name != self.me.name]
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
        """Starts an exchange with a random active member or, one time in three, with a seed or a dead member.

        After a partition longer than `forget_s` the two sides know only their seeds of each other."""
        active = [r.address for r in self.active_records() if r.name != self.me.name]
        unreachable = sorted(r.address for r in self.view.values() if r.state is State.DEAD)
        unreachable += [seed for seed in self.seeds if seed not in active]
        addresses = unreachable if unreachable and (not active or self.rng.random() < 1 / 3) else active
        if addresses:
            self.actions.append(Sync(self.rng.choice(addresses)))
        interval_s = self.sync_interval_s if self.joined else self.rules.period_s
        self.next_sync_at = now + interval_s * self.rng.uniform(0.75, 1.25)

    # Probes

    def start_probe(self, now: float) -> None:
        """Probes the next member of a round-robin order that is shuffled for each round.

        This bounds the detection time; random selection only makes it likely (SWIM, section 4.3)."""
        self.next_probe_at = now + self.rules.period_s * (1 + self.health)
        while True:
            if not self.probe_order:
                self.probe_order = [r.name for r in self.active_records() if r.name != self.me.name]
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
        slowdown = 1 + self.health
        record = self.view.get(probe.target)
        if probe.acked or record is None or record.state in DEPARTED:
            self.probe = None
            if probe.acked:
                self.health = max(self.health - 1, 0)
        elif not probe.indirect and now >= probe.started + rules.ack_s * slowdown:
            probe.indirect = True
            self.unresponsive.add(probe.target)
            others = [r for r in self.active_records() if r.name not in (self.me.name, probe.target)]
            # Responsive members come first: a member that reaches all others keeps alive those that don't
            # reach each other.
            responsive = [r for r in others if r.name not in self.unresponsive]
            helpers = self.sample(responsive, rules.helpers)
            helpers += self.sample(
                [r for r in others if r.name in self.unresponsive], rules.helpers - len(helpers)
            )
            probe.helpers = len(helpers)
            for helper in helpers:
                self.send(helper.address, Kind.PING_REQ, probe.number, probe.target)
        elif now >= probe.started + rules.period_s * slowdown:
            self.probe = None
            # Helpers that send not even a NACK indicate that this member itself has lost connectivity.
            missing_nacks = probe.helpers - probe.nacks
            self.health = min(self.health + (missing_nacks if probe.helpers else 1), rules.max_health)
            self.suspect(now, record, self.me.name)

    def suspect(self, now: float, record: Record, reporter: str) -> None:
        if record.state is State.ALIVE:
            self.counts.suspected += 1
            self.set_record(now, record._replace(state=State.SUSPECT, reporter=reporter))
        elif record.state is State.SUSPECT:
            self.confirm_suspicion(record.name, reporter)

    def confirm_suspicion(self, name: str, reporter: str) -> None:
        """Counts an independent reporter once and passes its suspicion on."""
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
            if message.target == self.me.name:  # otherwise it is for the previous member at this address
                self.send(address, Kind.ACK, message.number, message.target)
        elif message.kind is Kind.PING_REQ:
            target = self.view.get(message.target)
            if target is not None and len(self.relayed_probes) < MAX_RELAYED_PROBES:
                self.probe_number += 1
                nack_at = now + 0.8 * (self.rules.period_s - self.rules.ack_s)
                self.relayed_probes[self.probe_number] = RelayedProbe(
                    address, message.number, message.target, nack_at
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

    # Records

    def merge_records(self, now: float, records: Iterable[Record], datagram: bool = False) -> None:
        for record in records:
            try:
                check_record(record)
            except Malformed as error:
                self.reject(f"a malformed record: {error}")
                continue
            known = self.view.get(record.name)
            if known is None and len(self.view) >= self.rules.max_members:
                self.reject(f"a new name beyond the limit of {self.rules.max_members} names")
            elif (
                known is not None and record.incarnation > known.incarnation + self.rules.max_incarnation_step
            ):
                self.reject(f"an incarnation more than {self.rules.max_incarnation_step} above the known one")
            elif record.name == self.me.name:
                self.on_own_record(now, record)
            elif record.supersedes(known):
                # Datagrams gossip a death for a few seconds only. Whole views would pass a record that one
                # member has forgotten and another has not back and forth indefinitely.
                if known is not None or record.state not in DEPARTED or datagram:
                    self.set_record(now, record)
            elif known is not None and record.reporter and same_suspicion(record, known):
                self.confirm_suspicion(record.name, record.reporter)

    def reject(self, reason: str) -> None:
        self.counts.refused += 1
        if reason not in self.logged and len(self.logged) < MAX_LOGGED_REASONS:
            self.logged.add(reason)
            self.actions.append(LogLine(f"refused: {reason}; told once, then counted"))

    def on_own_record(self, now: float, record: Record) -> None:
        me = self.me
        if self.left or not record.supersedes(me):
            return
        if record.run_id != me.run_id and record.state is State.ALIVE:
            # Another process with this name, or this process before a restart.
            self.counts.name_conflicts += 1
            if record.address != me.address and "clash" not in self.logged:
                self.logged.add("clash")
                self.actions.append(LogLine(f"{me.name} is claimed by {record.address} too"))
        else:
            self.counts.refuted += 1
            if record.run_id == me.run_id:
                self.health = min(self.health + 1, self.rules.max_health)
        self.set_own_incarnation(now, record.incarnation + 1)

    def set_own_incarnation(self, now: float, incarnation: int, instances: int | None = None) -> None:
        if incarnation < MAX_INCARNATION - 1:
            own_instances = self.me.instances if instances is None else instances
            self.me = self.me._replace(incarnation=incarnation, instances=own_instances)
            self.set_record(now, self.me)

    def set_record(self, now: float, record: Record) -> None:
        """The only place where a record enters the view."""
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
        """The records that were passed on least often so far.

        If `target` is suspected, that record comes first, so that it can refute (Lifeguard, IV-C)."""
        max_sent = self.rules.retransmit * ceil(log_scale(len(self.view)))
        target_record = self.view.get(target)
        records = (
            [target_record] if target_record is not None and target_record.state is State.SUSPECT else []
        )
        room = self.rules.max_gossip_bytes - sum(record.encoded_bytes() for record in records)
        for queued in nsmallest(self.rules.max_gossip_records, self.queue.values(), key=lambda q: q.sent):
            size = queued.record.encoded_bytes()
            if len(records) >= self.rules.max_gossip_records or size > room:
                break
            if queued.record not in records:
                records.append(queued.record)
                room -= size
            queued.sent += 1
            if queued.sent >= max_sent:
                self.queue.pop(queued.record.name, None)
        return tuple(records)

    def sample(self, records: list[Record], most: int) -> list[Record]:
        return self.rng.sample(records, min(most, len(records)))


def same_suspicion(one: Record, other: Record) -> bool:
    return one.state is other.state is State.SUSPECT and one.incarnation == other.incarnation
