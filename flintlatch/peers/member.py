"""A complete member: membership (`core`), published entries (`words`) and replay protection (`guard`).

No I/O, no clock, no random source of its own. A shell or the simulator feeds it events with the time and
carries out its actions.

A datagram holds at most PAYLOAD_BYTES of records and entries. Records come first and have a smaller limit of
their own, so that there is always room for some entries. Entries that have not been sent yet are pushed to a
few members at most every FLUSH_INTERVAL_S; they also travel on probes and responses, and exchanges of whole
views carry all of them.
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

PAYLOAD_BYTES = 1100  # of records and entries: 1,400 less the seal (37) and the envelope's fields (up to 250)
FLUSH_INTERVAL_S = 0.2  # shortest interval between two pushes of unsent entries
PUSH_FANOUT = 3  # members that receive one push
MAX_UNVERIFIED = 256  # remembered unverified addresses; also the number of own probes remembered
PROBE_BACK_INTERVAL_S = 1.0  # between two probes of an unverified address
MAX_SYNC_ENTRIES = 200  # per exchange with a joined member, a few kilobytes; successive exchanges rotate
RTT_WEIGHT = 0.2  # of a new sample in the smoothed round-trip time


class Envelope(NamedTuple):
    """The content of one datagram."""

    sender: str  # name
    address: str  # that the sender advertises, for responses
    run_id: int
    number: int  # of this datagram, increasing by 1
    clock: float  # of the sender, in seconds
    digest: int  # of the sender's view, 0 before it has joined
    message: Message
    entries: tuple[Entry, ...] = ()


class SyncMessage(NamedTuple):
    """A message of an exchange of whole views.

    The initiator first sends one without content. Its content follows in the third message, when the
    initiator has proven to be running now and it is known what the other side holds."""

    sender: str
    address: str
    run_id: int
    number: int
    clock: float
    digest: int
    content_digest: int  # of the sender's active records, 0 before it has joined
    records: tuple[Record, ...] = ()
    entries: tuple[Entry, ...] = ()


class DatagramReceived(NamedTuple):
    """A datagram was received and decrypted."""

    envelope: Envelope


class SendDatagram(NamedTuple):
    """Send a datagram."""

    address: str
    envelope: Envelope


class EntriesReceived(NamedTuple):
    """Entries that are new or have changed, for the subsystems that read their topics."""

    entries: tuple[Entry, ...]


Event = Tick | DatagramReceived | Leave | InstancesChanged
Action = SendDatagram | Sync | Changed | LogLine | EntriesReceived


@dataclass(slots=True)
class Contact:
    """What is known of another member in addition to its record."""

    received_at: float = 0.0  # time of the last message from it
    digest: int = 0
    rtt: float = 0.0  # smoothed round-trip time in seconds, 0 before the first sample
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
        self.probe_back_at: OrderedDict[str, float] = OrderedDict()  # by unverified address
        self.contacts: dict[str, Contact] = {}
        self.sent_probes: OrderedDict[int, tuple[str, float]] = OrderedDict()  # by number: target, time

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
            return []  # this member's own datagram, reflected
        response_to = message.number if message.kind in (Kind.ACK, Kind.NACK) else None
        trust, earliest_send_time = self.guard.verify(
            envelope.run_id, envelope.number, envelope.clock, response_to
        )
        if trust is Trust.REPLAY:
            return []
        if trust is Trust.UNVERIFIED:
            return self._on_unverified(now, envelope)
        self._update_contact(now, envelope, response_to)
        address = envelope.address
        actions = self._convert(now, self.peers.step(now, Received(address, message)))
        return actions + self._receive_entries(now, earliest_send_time, envelope.entries)

    def _on_unverified(self, now: float, envelope: Envelope) -> list[Action]:
        """Responds to an unverified sender, so that it can verify this member, and probes it back."""
        message, address = envelope.message, envelope.address
        actions: list[Action] = []
        known = self.peers.view.get(envelope.sender)
        if known is not None and known.run_id == envelope.run_id:
            # A leaving member announces it only once. A replay does no harm, since a run that left stays so.
            left = tuple(r for r in message.gossip if r == known._replace(state=State.LEFT))
            if left:
                announcement = Message(Kind.GOSSIP, 0, "", left)
                return self._convert(now, self.peers.step(now, Received(address, announcement)))
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

    def _update_contact(self, now: float, envelope: Envelope, response_to: int | None) -> None:
        if envelope.sender not in self.peers.view:
            return
        contact = self.contacts.setdefault(envelope.sender, Contact())
        contact.received_at = now
        if envelope.clock >= contact.clock or not contact.clock:
            contact.digest, contact.clock = envelope.digest, envelope.clock
        probe = self.sent_probes.get(response_to) if response_to is not None else None
        if probe is not None and probe[0] == envelope.sender and envelope.message.kind is Kind.ACK:
            rtt = now - probe[1]
            contact.rtt += (rtt - contact.rtt) * (RTT_WEIGHT if contact.rtt else 1.0)

    def _receive_entries(
        self, now: float, earliest_send_time: float, entries: Iterable[Entry]
    ) -> list[Action]:
        if not self.peers.joined:
            return []
        changed = self.entry_store.receive(now, earliest_send_time, entries)
        return [EntriesReceived(tuple(changed))] if changed else []

    def _flush(self, now: float) -> list[Action]:
        if now < self.last_flush_at + FLUSH_INTERVAL_S or not self.entry_store.has_unsent():
            return []
        self.last_flush_at = now
        others = [r for r in self.peers.active_records() if r.name != self.me.name and r.state is State.ALIVE]
        return [
            self._datagram(now, record.address, Message(Kind.GOSSIP, 0, record.name))
            for record in self.peers.sample(others, PUSH_FANOUT)
        ]

    def push(self, now: float, name: str) -> list[Action]:
        """Sends unsent entries to one member without waiting for the next flush."""
        record = self.peers.view.get(name)
        if record is None or record.state is not State.ALIVE or self.peers.left:
            return []
        return [self._datagram(now, record.address, Message(Kind.GOSSIP, 0, name))]

    def _convert(self, now: float, actions: list[Send | Sync | Changed | LogLine]) -> list[Action]:
        converted: list[Action] = []
        for action in actions:
            if isinstance(action, Send):
                converted.append(self._datagram(now, action.address, action.message))
            else:
                if isinstance(action, Changed):
                    self._drop_contacts(action)
                converted.append(action)
        return converted

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
        entries = tuple(self.entry_store.take_for_datagram(now, room)) if self.peers.joined else ()
        me = self.me
        return SendDatagram(
            address,
            Envelope(
                me.name, me.address, me.run_id, self.datagram_number, now, self.digest(), message, entries
            ),
        )

    # Exchange of whole views over a stream: the initiator's header, the reply, the initiator's content

    def offer(self, now: float, with_content: bool = False, content_digest: int = 0) -> SyncMessage:
        """This side's message. With content it has what a member with `content_digest` may lack."""
        me, own_digest = self.me, self.peers.content_digest() if self.peers.joined else 0
        header = (me.name, me.address, me.run_id, self.datagram_number, now, self.digest(), own_digest)
        if not with_content:
            return SyncMessage(*header)
        # Sorted, because the persistent map has no order and a seeded simulation must be reproducible.
        records = (
            tuple(sorted(self.peers.view.values())) if not own_digest or content_digest != own_digest else ()
        )
        return SyncMessage(
            *header,
            records,
            tuple(self.entry_store.snapshot(now, None if not content_digest else MAX_SYNC_ENTRIES)),
        )

    def on_offer(self, now: float, offer: SyncMessage) -> SyncMessage:
        return self.offer(now, True, offer.content_digest)

    def on_reply(self, now: float, reply: SyncMessage, sent_at: float) -> tuple[SyncMessage, list[Action]]:
        """Handles the reply to the offer of `sent_at`. Returns this side's content from before the reply was
        applied."""
        return self.offer(now, True, reply.content_digest), self._synced(now, reply, sent_at)

    def on_content(self, now: float, content: SyncMessage, sent_at: float) -> list[Action]:
        """Handles the initiator's content, which it sent after the reply of `sent_at`."""
        return self._synced(now, content, sent_at)

    def _synced(self, now: float, message: SyncMessage, sent_at: float) -> list[Action]:
        if self.peers.left:
            return []
        self.guard.mark_verified(message.run_id, message.number, message.clock, sent_at)
        actions = self._convert(now, self.peers.step(now, Synced(message.records)))
        if message.sender in self.peers.view and message.sender != self.me.name:
            contact = self.contacts.setdefault(message.sender, Contact())
            contact.received_at, contact.digest, contact.clock = now, message.digest, message.clock
        return actions + self._receive_entries(now, sent_at, message.entries)

    # Status

    def digest(self) -> int:
        """Hash over the active members, equal in members that agree on them. 0 before this member has
        joined."""
        return self.peers.digest() if self.peers.joined else 0
