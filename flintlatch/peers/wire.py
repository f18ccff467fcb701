"""Datagrams and whole views as bytes: MessagePack (its 2013 specification), by `msgspec`.

Fields stand in arrays. A newer version may add fields behind ours, which are left; a kind of message that is
not known here still brings its records and words; a record whose state is not known is left out alone.
"""

from __future__ import annotations

import msgspec

from flintlatch.peers.member import Envelope, SyncMessage
from flintlatch.peers.model import Kind, Message, Record, State
from flintlatch.peers.words import Entry

KINDS = {int(kind): kind for kind in Kind}
STATES = {int(state): state for state in State}


class Unreadable(Exception):
    """Bytes that are no message: what was found where."""


class _Record(msgspec.Struct, array_like=True):
    name: str
    address: str
    incarnation: int
    state: int
    run_id: int
    instances: int = 1
    zone: str = ""
    region: str = ""
    accuser: str = ""


class _Word(msgspec.Struct, array_like=True):
    topic: str
    origin: str
    subject: str
    epoch: int
    value: bytes
    left_ms: int


class _Envelope(msgspec.Struct, array_like=True):
    sender: str
    address: str
    clock: float
    digest: int
    kind: int
    number: int
    target: str
    gossip: list[_Record] = []
    entries: list[_Word] = []


class _Whole(msgspec.Struct, array_like=True):
    sender: str
    address: str
    run_id: int
    number: int
    clock: float
    digest: int
    mark: int
    records: list[_Record] = []
    entries: list[_Word] = []


_encoder = msgspec.msgpack.Encoder()
_envelopes = msgspec.msgpack.Decoder(_Envelope)
_wholes = msgspec.msgpack.Decoder(_Whole)


def _packed_words(words: tuple[Entry, ...]) -> list[_Word]:
    # Rounded down: a word must not gain on its way.
    return [_Word(w.topic, w.origin, w.subject, w.epoch, w.value, int(w.remaining_s * 1000)) for w in words]


def _words(rows: list[_Word]) -> tuple[Entry, ...]:
    return tuple(Entry(w.topic, w.origin, w.subject, w.epoch, w.value, w.left_ms / 1000) for w in rows)


def _packed_records(records: tuple[Record, ...]) -> list[_Record]:
    return [_Record(*record) for record in records]


def _records(rows: list[_Record]) -> tuple[Record, ...]:
    return tuple(
        Record(
            r.name,
            r.address,
            r.incarnation,
            STATES[r.state],
            r.run_id,
            r.instances,
            r.zone,
            r.region,
            r.accuser,
        )
        for r in rows
        if r.state in STATES
    )


def pack(envelope: Envelope) -> bytes:
    """Without `life` and `number`, which stand before the sealed part."""
    message = envelope.message
    return _encoder.encode(
        _Envelope(
            envelope.sender,
            envelope.address,
            envelope.clock,
            envelope.digest,
            message.kind,
            message.number,
            message.target,
            _packed_records(message.gossip),
            _packed_words(envelope.entries),
        )
    )


def unpack(data: bytes, run_id: int, number: int) -> Envelope:
    """Raises Unreadable."""
    try:
        row = _envelopes.decode(data)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise Unreadable(str(error)) from None
    message = Message(KINDS.get(row.kind, Kind.GOSSIP), row.number, row.target, _records(row.gossip))
    return Envelope(
        row.sender, row.address, run_id, number, row.clock, row.digest, message, _words(row.entries)
    )


def pack_sync(whole: SyncMessage) -> bytes:
    return _encoder.encode(_Whole(*whole[:7], _packed_records(whole.records), _packed_words(whole.entries)))


def unpack_sync(data: bytes) -> SyncMessage:
    """Raises Unreadable."""
    try:
        row = _wholes.decode(data)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise Unreadable(str(error)) from None
    head = (row.sender, row.address, row.run_id, row.number, row.clock, row.digest, row.mark)
    return SyncMessage(*head, _records(row.records), _words(row.entries))
