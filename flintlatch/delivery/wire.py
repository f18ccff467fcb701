"""Encoding of messages: MessagePack by `msgspec`, each message an array that starts with its type's number.

Fields that a newer version appends are ignored. Bytes that are not a valid message end the session.
"""

from __future__ import annotations

from typing import TypeVar

import msgspec

from flintlatch.delivery.model import (
    ITEM_OVERHEAD_BYTES,
    MAX_ITEM_BYTES,
    MAX_ITEM_NAME_BYTES,
    MAX_NAME_BYTES,
    FromRelay,
    FromSubscriber,
    Message,
    Rules,
)

SEAL_OVERHEAD_BYTES = 4 + 16  # the frame's length prefix and the authentication tag of ChaCha20-Poly1305
MAX_NAMES_PER_MESSAGE = 256
# The largest part holds items up to the limit and one more of the largest size: 16 KiB + 16 KiB + 212 bytes.
# The largest list of names has 256 x (200 + 3) bytes. Both leave slack for UTF-8 names whose length was
# counted in characters. A frame is no larger than a subscriber's window (64 KiB), or it could never be sent.
LARGEST_PART_BYTES = Rules().part_bytes + MAX_ITEM_BYTES + MAX_ITEM_NAME_BYTES + ITEM_OVERHEAD_BYTES
LARGEST_NAMES_BYTES = MAX_NAMES_PER_MESSAGE * (MAX_NAME_BYTES + 3)
MAX_FRAME_BYTES = 64 * 1024
assert max(LARGEST_PART_BYTES, LARGEST_NAMES_BYTES) + 4096 < MAX_FRAME_BYTES <= Rules().window_bytes

Kind = TypeVar("Kind")


class MessageError(Exception):
    """Bytes that are not a valid message, or a message too large for a frame."""


_encoder = msgspec.msgpack.Encoder()
_from_subscriber = msgspec.msgpack.Decoder(FromSubscriber)
_from_relay = msgspec.msgpack.Decoder(FromRelay)


def encode(message: Message) -> bytes:
    """Raises MessageError if the message is too large for a frame."""
    data = _encoder.encode(message)
    if len(data) + SEAL_OVERHEAD_BYTES > MAX_FRAME_BYTES:
        raise MessageError(f"message has {len(data)} bytes, more than a frame holds")
    return data


def _decode(decoder: msgspec.msgpack.Decoder[Kind], data: bytes) -> Kind:
    try:
        return decoder.decode(data)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise MessageError(f"not a valid message: {str(error)[:100]}") from None


def from_subscriber(data: bytes) -> FromSubscriber:
    """Raises MessageError."""
    return _decode(_from_subscriber, data)


def from_relay(data: bytes) -> FromRelay:
    """Raises MessageError."""
    return _decode(_from_relay, data)
