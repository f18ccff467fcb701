"""One member whole: who is there (`core`), what is carried (`words`), who is believed (`guard`). No I/O, no
clock, no random of its own. A shell or the lab feeds it events with the time and carries out its actions.

A datagram holds at most ROOM bytes of records and words: records first, up to a bound of their own, so that
words always find some room. Words that nobody has heard yet are pushed to some members FLUSH_S after they
came, and ride on probes and answers besides; whole views carry all of them.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass
from typing import NamedTuple

from flintlatch.peers.core import (
    Changed,
    InstancesChanged,
    Leave,
    LogLine,
    Peers,
    Received,
    Send,
    Sync,
    Synced,
    Tick,
)
from flintlatch.peers.guard import ReplayGuard, Trust
from flintlatch.peers.model import Kind, Message, RandomSource, Record, Rules, State
from flintlatch.peers.words import Entry, EntryStore, Topic

PAYLOAD_BYTES = (
    1100  # bytes of records and words: 1,400 less the seal (37) and the envelope's own (at most 250)
)
FLUSH_INTERVAL_S = 0.2  # s at least between two pushes of news
PUSH_FANOUT = 3  # members that one push goes to
MAX_UNVERIFIED = 256  # addresses asked back at the same time ...
PROBE_BACK_INTERVAL_S = 1.0  # ... each at most once in so long
MAX_SYNC_ENTRIES = 200  # in an exchange with one that has met others: some kilobytes; in turn, so all in time
RTT_WEIGHT = 0.2  # of a new measure in the smoothed round-trip


class Envelope(NamedTuple):
    """One datagram, opened."""

    sender: str  # name
    address: str  # that it advertises: where answers go
    run_id: int
    number: int  # of this datagram, one more each time
    clock: float  # its sender's, s
    digest: int  # of the view that its sender holds, 0 if it has joined nobody yet
    message: Message
    entries: tuple[Entry, ...] = ()


class SyncMessage(NamedTuple):
    """A side of an exchange of whole views. The asker first sends one with nothing in it but its head; what
    it has to tell follows in the third message, when it is known to live now and what the other holds."""

    sender: str
    address: str
    run_id: int
    number: int
    clock: float
    digest: int
    content_digest: int  # of all that its sender holds of those who count; 0 before anybody was met
    records: tuple[Record, ...] = ()
    entries: tuple[Entry, ...] = ()


class DatagramReceived(NamedTuple):
    """A datagram has come."""

    envelope: Envelope


class SendDatagram(NamedTuple):
    """Send one."""

    address: str
    envelope: Envelope


class EntriesReceived(NamedTuple):
    """Words that were not known before, for whoever reads their topics."""

    entries: tuple[Entry, ...]


Event = Tick | DatagramReceived | Leave | InstancesChanged
Action = SendDatagram | Sync | Changed | LogLine | EntriesReceived


@dataclass(slots=True)
class Contact:
    """What is known of another member beside its record."""

    received_at: float = 0.0  # when something of it last came
    digest: int = 0
    rtt: float = 0.0  # smoothed, s; 0: not measured
    clock: float = 0.0


class Member:
    def __init__(
        self,
        me: Record,
        seeds: Iterable[str],
        rules: Rules,
        topics: Iterable[Topic],
        rng: RandomSource,
        now: float,
    ) -> None:
        self.rules, self.rng = rules, rng
        self.peers = Peers(me, seeds, rules, rng, now)
        self.entry_store = EntryStore(me.name, topics, rules.retransmit)
        self.guard = ReplayGuard()
        self.datagram_number = 0
        self.last_flush_at = now
        self.probe_back_at: OrderedDict[str, float] = OrderedDict()
        self.contacts: dict[str, Contact] = {}
        self.sent_probes: OrderedDict[int, tuple[str, float]] = OrderedDict()  # own probes: whom, when

    @property
    def me(self) -> Record:
        return self.peers.me

    # Events

    def step(self, now: float, event: Event) -> list[Action]:
        if isinstance(event, DatagramReceived):
            return self._on_datagram(now, event.envelope)
        actions = self._convert(now, self.peers.step(now, event))
        if isinstance(event, Tick) and not self.peers.left:
            self.entry_store.tick(now, self.peers.count())
            actions += self._flush(now)
        return actions

    def _on_datagram(self, now: float, envelope: Envelope) -> list[Action]:
        message, sender = envelope.message, envelope.sender
        if sender == self.me.name and envelope.run_id == self.me.run_id:
            return []  # our own, sent back to us
        answer = message.number if message.kind in (Kind.ACK, Kind.NACK) else None
        trust, sent = self.guard.verify(envelope.run_id, envelope.number, envelope.clock, answer)
        if trust is Trust.REPLAY:
            return []
        if trust is Trust.UNVERIFIED:
            return self._on_unverified(now, envelope)
        self._update_contact(now, envelope, answer)
        address = envelope.address
        actions = self._convert(now, self.peers.step(now, Received(address, message)))
        return actions + self._receive_entries(now, sent, envelope.entries)

    def _on_unverified(self, now: float, envelope: Envelope) -> list[Action]:
        """It is answered, so that it can find out that we live, and asked whether it does."""
        message, address = envelope.message, envelope.address
        actions: list[Action] = []
        known = self.peers.view.get(envelope.sender)
        if known is not None and known.run_id == envelope.run_id:
            # That it leaves it says once, and a life that has left stays so: a replay of that is no lie.
            left = tuple(r for r in message.gossip if r == known._replace(state=State.LEFT))
            if left:
                last = Message(Kind.GOSSIP, 0, "", left)
                return self._convert(now, self.peers.step(now, Received(address, last)))
        if message.kind is Kind.PING and message.target == self.me.name and not self.peers.left:
            actions.append(self._datagram(now, address, Message(Kind.ACK, message.number, message.target)))
        if now >= self.probe_back_at.get(address, 0.0):
            self.probe_back_at[address] = now + PROBE_BACK_INTERVAL_S
            self.probe_back_at.move_to_end(address)
            while len(self.probe_back_at) > MAX_UNVERIFIED:
                self.probe_back_at.popitem(last=False)
            self.peers.probe_number += 1
            actions.append(
                self._datagram(now, address, Message(Kind.PING, self.peers.probe_number, envelope.sender))
            )
        return actions

    def _update_contact(self, now: float, envelope: Envelope, answer: int | None) -> None:
        if envelope.sender not in self.peers.view:
            return
        contact = self.contacts.setdefault(envelope.sender, Contact())
        contact.received_at = now
        if envelope.clock >= contact.clock or not contact.clock:
            contact.digest, contact.clock = envelope.digest, envelope.clock
        asked = self.sent_probes.get(answer) if answer is not None else None
        if asked is not None and asked[0] == envelope.sender and envelope.message.kind is Kind.ACK:
            took = now - asked[1]
            contact.rtt += (took - contact.rtt) * (RTT_WEIGHT if contact.rtt else 1.0)

    def _receive_entries(self, now: float, sent: float, words: Iterable[Entry]) -> list[Action]:
        if not self.peers.joined:
            return []
        news = self.entry_store.receive(now, sent, words)
        return [EntriesReceived(tuple(news))] if news else []

    def _flush(self, now: float) -> list[Action]:
        if now < self.last_flush_at + FLUSH_INTERVAL_S or not self.entry_store.has_unsent():
            return []
        self.last_flush_at = now
        others = [r for r in self.peers.alive() if r.name != self.me.name and r.state is State.ALIVE]
        return [
            self._datagram(now, record.address, Message(Kind.GOSSIP, 0, record.name))
            for record in self.peers.sample(others, PUSH_FANOUT)
        ]

    def push(self, now: float, name: str) -> list[Action]:
        """Send one member what is new at once: it is for it, and waits for nobody else."""
        record = self.peers.view.get(name)
        if record is None or record.state is not State.ALIVE or self.peers.left:
            return []
        return [self._datagram(now, record.address, Message(Kind.GOSSIP, 0, name))]

    def _convert(self, now: float, actions: list[Send | Sync | Changed | LogLine]) -> list[Action]:
        made: list[Action] = []
        for action in actions:
            if isinstance(action, Send):
                made.append(self._datagram(now, action.address, action.message))
            else:
                if isinstance(action, Changed):
                    self._drop_contacts(action)
                made.append(action)
        return made

    def _drop_contacts(self, change: Changed) -> None:
        for name in [name for name in self.contacts if name not in change.view]:
            del self.contacts[name]

    def _datagram(self, now: float, address: str, message: Message) -> SendDatagram:
        if message.kind in (Kind.PING, Kind.PING_REQ):
            self.guard.record_probe(message.number, now)
            if message.kind is Kind.PING:
                self.sent_probes[message.number] = message.target, now
                while len(self.sent_probes) > MAX_UNVERIFIED:
                    self.sent_probes.popitem(last=False)
        self.datagram_number += 1
        room = PAYLOAD_BYTES - sum(record.encoded_bytes() for record in message.gossip)
        words = tuple(self.entry_store.take_for_datagram(now, room)) if self.peers.joined else ()
        me = self.me
        return SendDatagram(
            address,
            Envelope(
                me.name, me.address, me.run_id, self.datagram_number, now, self.digest(), message, words
            ),
        )

    # Whole views, over a stream: the asker's head, the answer, and what the asker has to tell

    def offer(self, now: float, told: bool = False, content_digest: int = 0) -> SyncMessage:
        """Our side: the head, and if `told` what the other, which holds `mark`, may lack."""
        me, mine = self.me, self.peers.content_digest() if self.peers.joined else 0
        head = (me.name, me.address, me.run_id, self.datagram_number, now, self.digest(), mine)
        if not told:
            return SyncMessage(*head)
        # By name: a persistent map has no order, and the same seed must play the same everywhere.
        records = tuple(sorted(self.peers.view.values())) if not mine or content_digest != mine else ()
        return SyncMessage(
            *head,
            records,
            tuple(self.entry_store.snapshot(now, None if not content_digest else MAX_SYNC_ENTRIES)),
        )

    def on_offer(self, now: float, whole: SyncMessage) -> SyncMessage:
        return self.offer(now, True, whole.content_digest)

    def on_reply(self, now: float, whole: SyncMessage, asked: float) -> tuple[SyncMessage, list[Action]]:
        """Their side, to what we sent at `asked`; ours for them, as it was before that was heard."""
        return self.offer(now, True, whole.content_digest), self._synced(now, whole, asked)

    def on_last(self, now: float, whole: SyncMessage, asked: float) -> list[Action]:
        """The asker's side, sent after our answer of `asked`."""
        return self._synced(now, whole, asked)

    def _synced(self, now: float, whole: SyncMessage, asked: float) -> list[Action]:
        if self.peers.left:
            return []
        self.guard.mark_verified(whole.run_id, whole.number, whole.clock, asked)
        actions = self._convert(now, self.peers.step(now, Synced(whole.records)))
        if whole.sender in self.peers.view and whole.sender != self.me.name:
            contact = self.contacts.setdefault(whole.sender, Contact())
            contact.received_at, contact.digest, contact.clock = now, whole.digest, whole.clock
        return actions + self._receive_entries(now, asked, whole.entries)

    # What is told

    def digest(self) -> int:
        """Of who is held to be there, the same wherever the same is held. 0 before anybody was met."""
        return self.peers.digest() if self.peers.joined else 0
