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
    Altered,
    Changed,
    Leave,
    Peers,
    Received,
    Send,
    Sync,
    Synced,
    Tick,
    Told,
)
from flintlatch.peers.guard import Guard, Trust
from flintlatch.peers.model import Kind, Message, RandomSource, Record, Rules, State
from flintlatch.peers.words import Entry, EntryStore, Topic

PAYLOAD_BYTES = (
    1100  # bytes of records and words: 1,400 less the seal (37) and the envelope's own (at most 250)
)
FLUSH_S = 0.2  # s at least between two pushes of news
FANOUT = 3  # members that one push goes to
STRANGERS_MOST = 256  # addresses asked back at the same time ...
STRANGER_S = 1.0  # ... each at most once in so long
WORDS_MOST = 200  # in an exchange with one that has met others: some kilobytes; in turn, so all in time
RTT_PART = 0.2  # of a new measure in the smoothed round-trip


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
    mark: int  # of all that its sender holds of those who count; 0 before anybody was met
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


Event = Tick | DatagramReceived | Leave | Altered
Action = SendDatagram | Sync | Changed | Told | EntriesReceived


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
        self.guard = Guard()
        self.number = 0
        self.flushed = now
        self.strangers: OrderedDict[str, float] = OrderedDict()
        self.contacts: dict[str, Contact] = {}
        self.asked_of: OrderedDict[int, tuple[str, float]] = OrderedDict()  # own probes: whom, when

    @property
    def me(self) -> Record:
        return self.peers.me

    # Events

    def step(self, now: float, event: Event) -> list[Action]:
        if isinstance(event, DatagramReceived):
            return self._opened(now, event.envelope)
        actions = self._carry(now, self.peers.step(now, event))
        if isinstance(event, Tick) and not self.peers.left:
            self.entry_store.tick(now, self.peers.count())
            actions += self._flush(now)
        return actions

    def _opened(self, now: float, envelope: Envelope) -> list[Action]:
        message, sender = envelope.message, envelope.sender
        if sender == self.me.name and envelope.run_id == self.me.run_id:
            return []  # our own, sent back to us
        answer = message.number if message.kind in (Kind.ACK, Kind.NACK) else None
        trust, sent = self.guard.hear(envelope.run_id, envelope.number, envelope.clock, answer)
        if trust is Trust.REPLAY:
            return []
        if trust is Trust.UNKNOWN:
            return self._stranger(now, envelope)
        self._note(now, envelope, answer)
        address = envelope.address
        actions = self._carry(now, self.peers.step(now, Received(address, message)))
        return actions + self._hear(now, sent, envelope.entries)

    def _stranger(self, now: float, envelope: Envelope) -> list[Action]:
        """It is answered, so that it can find out that we live, and asked whether it does."""
        message, address = envelope.message, envelope.address
        actions: list[Action] = []
        known = self.peers.view.get(envelope.sender)
        if known is not None and known.run_id == envelope.run_id:
            # That it leaves it says once, and a life that has left stays so: a replay of that is no lie.
            left = tuple(r for r in message.gossip if r == known._replace(state=State.LEFT))
            if left:
                last = Message(Kind.GOSSIP, 0, "", left)
                return self._carry(now, self.peers.step(now, Received(address, last)))
        if message.kind is Kind.PING and message.target == self.me.name and not self.peers.left:
            actions.append(self._post(now, address, Message(Kind.ACK, message.number, message.target)))
        if now >= self.strangers.get(address, 0.0):
            self.strangers[address] = now + STRANGER_S
            self.strangers.move_to_end(address)
            while len(self.strangers) > STRANGERS_MOST:
                self.strangers.popitem(last=False)
            self.peers.number += 1
            actions.append(self._post(now, address, Message(Kind.PING, self.peers.number, envelope.sender)))
        return actions

    def _note(self, now: float, envelope: Envelope, answer: int | None) -> None:
        if envelope.sender not in self.peers.view:
            return
        contact = self.contacts.setdefault(envelope.sender, Contact())
        contact.received_at = now
        if envelope.clock >= contact.clock or not contact.clock:
            contact.digest, contact.clock = envelope.digest, envelope.clock
        asked = self.asked_of.get(answer) if answer is not None else None
        if asked is not None and asked[0] == envelope.sender and envelope.message.kind is Kind.ACK:
            took = now - asked[1]
            contact.rtt += (took - contact.rtt) * (RTT_PART if contact.rtt else 1.0)

    def _hear(self, now: float, sent: float, words: Iterable[Entry]) -> list[Action]:
        if not self.peers.joined:
            return []
        news = self.entry_store.hear(now, sent, words)
        return [EntriesReceived(tuple(news))] if news else []

    def _flush(self, now: float) -> list[Action]:
        if now < self.flushed + FLUSH_S or not self.entry_store.fresh():
            return []
        self.flushed = now
        others = [r for r in self.peers.alive() if r.name != self.me.name and r.state is State.ALIVE]
        return [
            self._post(now, record.address, Message(Kind.GOSSIP, 0, record.name))
            for record in self.peers.some(others, FANOUT)
        ]

    def push(self, now: float, name: str) -> list[Action]:
        """Send one member what is new at once: it is for it, and waits for nobody else."""
        record = self.peers.view.get(name)
        if record is None or record.state is not State.ALIVE or self.peers.left:
            return []
        return [self._post(now, record.address, Message(Kind.GOSSIP, 0, name))]

    def _carry(self, now: float, actions: list[Send | Sync | Changed | Told]) -> list[Action]:
        made: list[Action] = []
        for action in actions:
            if isinstance(action, Send):
                made.append(self._post(now, action.address, action.message))
            else:
                if isinstance(action, Changed):
                    self._forget(action)
                made.append(action)
        return made

    def _forget(self, change: Changed) -> None:
        for name in [name for name in self.contacts if name not in change.view]:
            del self.contacts[name]

    def _post(self, now: float, address: str, message: Message) -> SendDatagram:
        if message.kind in (Kind.PING, Kind.PING_REQ):
            self.guard.ask(message.number, now)
            if message.kind is Kind.PING:
                self.asked_of[message.number] = message.target, now
                while len(self.asked_of) > STRANGERS_MOST:
                    self.asked_of.popitem(last=False)
        self.number += 1
        room = PAYLOAD_BYTES - sum(record.encoded_bytes() for record in message.gossip)
        words = tuple(self.entry_store.fill(now, room)) if self.peers.joined else ()
        me = self.me
        return SendDatagram(
            address, Envelope(me.name, me.address, me.run_id, self.number, now, self.digest(), message, words)
        )

    # Whole views, over a stream: the asker's head, the answer, and what the asker has to tell

    def offer(self, now: float, told: bool = False, mark: int = 0) -> SyncMessage:
        """Our side: the head, and if `told` what the other, which holds `mark`, may lack."""
        me, mine = self.me, self.peers.mark() if self.peers.joined else 0
        head = (me.name, me.address, me.run_id, self.number, now, self.digest(), mine)
        if not told:
            return SyncMessage(*head)
        # By name: a persistent map has no order, and the same seed must play the same everywhere.
        records = tuple(sorted(self.peers.view.values())) if not mine or mark != mine else ()
        return SyncMessage(
            *head, records, tuple(self.entry_store.whole(now, None if not mark else WORDS_MOST))
        )

    def on_offer(self, now: float, whole: SyncMessage) -> SyncMessage:
        return self.offer(now, True, whole.mark)

    def on_reply(self, now: float, whole: SyncMessage, asked: float) -> tuple[SyncMessage, list[Action]]:
        """Their side, to what we sent at `asked`; ours for them, as it was before that was heard."""
        return self.offer(now, True, whole.mark), self._synced(now, whole, asked)

    def on_last(self, now: float, whole: SyncMessage, asked: float) -> list[Action]:
        """The asker's side, sent after our answer of `asked`."""
        return self._synced(now, whole, asked)

    def _synced(self, now: float, whole: SyncMessage, asked: float) -> list[Action]:
        if self.peers.left:
            return []
        self.guard.mark_verified(whole.run_id, whole.number, whole.clock, asked)
        actions = self._carry(now, self.peers.step(now, Synced(whole.records)))
        if whole.sender in self.peers.view and whole.sender != self.me.name:
            contact = self.contacts.setdefault(whole.sender, Contact())
            contact.received_at, contact.digest, contact.clock = now, whole.digest, whole.clock
        return actions + self._hear(now, asked, whole.entries)

    # What is told

    def digest(self) -> int:
        """Of who is held to be there, the same wherever the same is held. 0 before anybody was met."""
        return self.peers.digest() if self.peers.joined else 0
