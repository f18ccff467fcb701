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


class DecodeError(Exception):
    """Bytes that are no message: what was found where."""


class _RecordRow(msgspec.Struct, array_like=True):
    name: str
    address: str
    incarnation: int
    state: int
    run_id: int
    instances: int = 1
    zone: str = ""
    region: str = ""
    reporter: str = ""


class _EntryRow(msgspec.Struct, array_like=True):
    topic: str
    origin: str
    subject: str
    epoch: int
    value: bytes
    remaining_ms: int


class _EnvelopeRow(msgspec.Struct, array_like=True):
    sender: str
    address: str
    clock: float
    digest: int
    kind: int
    number: int
    target: str
    gossip: list[_RecordRow] = []
    entries: list[_EntryRow] = []


class _SyncMessageRow(msgspec.Struct, array_like=True):
    sender: str
    address: str
    run_id: int
    number: int
    clock: float
    digest: int
    content_digest: int
    records: list[_RecordRow] = []
    entries: list[_EntryRow] = []


_encoder = msgspec.msgpack.Encoder()
_envelope_decoder = msgspec.msgpack.Decoder(_EnvelopeRow)
_sync_decoder = msgspec.msgpack.Decoder(_SyncMessageRow)


def _entry_rows(words: tuple[Entry, ...]) -> list[_EntryRow]:
    # Rounded down: a word must not gain on its way.
    return [
        _EntryRow(w.topic, w.origin, w.subject, w.epoch, w.value, int(w.remaining_s * 1000)) for w in words
    ]


def _entries(rows: list[_EntryRow]) -> tuple[Entry, ...]:
    return tuple(Entry(w.topic, w.origin, w.subject, w.epoch, w.value, w.remaining_ms / 1000) for w in rows)


def _record_rows(records: tuple[Record, ...]) -> list[_RecordRow]:
    return [_RecordRow(*record) for record in records]


def _records(rows: list[_RecordRow]) -> tuple[Record, ...]:
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
            r.reporter,
        )
        for r in rows
        if r.state in STATES
    )


def pack(envelope: Envelope) -> bytes:
    """Without `life` and `number`, which stand before the sealed part."""
    message = envelope.message
    return _encoder.encode(
        _EnvelopeRow(
            envelope.sender,
            envelope.address,
            envelope.clock,
            envelope.digest,
            message.kind,
            message.number,
            message.target,
            _record_rows(message.gossip),
            _entry_rows(envelope.entries),
        )
    )


def unpack(data: bytes, run_id: int, number: int) -> Envelope:
    """Raises Unreadable."""
    try:
        row = _envelope_decoder.decode(data)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise DecodeError(str(error)) from None
    message = Message(KINDS.get(row.kind, Kind.GOSSIP), row.number, row.target, _records(row.gossip))
    return Envelope(
        row.sender, row.address, run_id, number, row.clock, row.digest, message, _entries(row.entries)
    )


def pack_sync(whole: SyncMessage) -> bytes:
    return _encoder.encode(
        _SyncMessageRow(*whole[:7], _record_rows(whole.records), _entry_rows(whole.entries))
    )


def unpack_sync(data: bytes) -> SyncMessage:
    """Raises Unreadable."""
    try:
        row = _sync_decoder.decode(data)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise DecodeError(str(error)) from None
    head = (row.sender, row.address, row.run_id, row.number, row.clock, row.digest, row.content_digest)
    return SyncMessage(*head, _records(row.records), _entries(row.entries))
