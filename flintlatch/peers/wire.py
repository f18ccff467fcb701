"""Encodes and decodes datagrams and whole views: MessagePack (its 2013 specification), by `msgspec`.

Fields are encoded as arrays. A newer version may append fields, which are ignored. The records and entries of
a message of unknown kind are used. Of a list of records, only those with an unknown state are skipped.
"""

from __future__ import annotations

import msgspec

from flintlatch.peers.member import Envelope, SyncMessage
from flintlatch.peers.model import Kind, Message, Record, State
from flintlatch.peers.words import Entry

KINDS = {int(kind): kind for kind in Kind}
STATES = {int(state): state for state in State}


class InvalidMessage(Exception):
    """Bytes that are not a valid message; the text says what is wrong and where."""


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


def _entry_rows(entries: tuple[Entry, ...]) -> list[_EntryRow]:
    # Rounded down, so that the remaining time never grows on the way.
    return [
        _EntryRow(
            entry.topic, entry.origin, entry.subject, entry.epoch, entry.value, int(entry.remaining_s * 1000)
        )
        for entry in entries
    ]


def _entries(rows: list[_EntryRow]) -> tuple[Entry, ...]:
    return tuple(
        Entry(row.topic, row.origin, row.subject, row.epoch, row.value, row.remaining_ms / 1000)
        for row in rows
    )


def _record_rows(records: tuple[Record, ...]) -> list[_RecordRow]:
    return [_RecordRow(*record) for record in records]


def _records(rows: list[_RecordRow]) -> tuple[Record, ...]:
    return tuple(
        Record(
            row.name,
            row.address,
            row.incarnation,
            STATES[row.state],
            row.run_id,
            row.instances,
            row.zone,
            row.region,
            row.reporter,
        )
        for row in rows
        if row.state in STATES
    )


def pack(envelope: Envelope) -> bytes:
    """Encodes all fields but `run_id` and `number`, which are in the datagram header."""
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
    """Raises InvalidMessage."""
    try:
        row = _envelope_decoder.decode(data)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise InvalidMessage(str(error)) from None
    message = Message(KINDS.get(row.kind, Kind.GOSSIP), row.number, row.target, _records(row.gossip))
    return Envelope(
        row.sender, row.address, run_id, number, row.clock, row.digest, message, _entries(row.entries)
    )


def pack_sync(message: SyncMessage) -> bytes:
    return _encoder.encode(
        _SyncMessageRow(*message[:7], _record_rows(message.records), _entry_rows(message.entries))
    )


def unpack_sync(data: bytes) -> SyncMessage:
    """Raises InvalidMessage."""
    try:
        row = _sync_decoder.decode(data)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise InvalidMessage(str(error)) from None
    header = (row.sender, row.address, row.run_id, row.number, row.clock, row.digest, row.content_digest)
    return SyncMessage(*header, _records(row.records), _entries(row.entries))
