"""Messages as bytes: MessagePack by `msgspec`, each an array that begins with its kind's number.

A newer version may add fields behind ours, which are left. What is no message of ours ends the session.
"""

from __future__ import annotations

from typing import TypeVar

import msgspec

from flintlatch.delivery.model import (
    ITEM_MOST,
    ITEM_NAME_MOST,
    ITEM_OVERHEAD_BYTES,
    MAX_NAME_BYTES,
    FromRelay,
    FromSubscriber,
    Message,
    Rules,
)

SEAL_OVERHEAD_BYTES = 4 + 16  # before a frame its length, behind it what ChaCha20-Poly1305 adds
NAMES_MOST = 256  # of one message
# The largest part: its items up to the bound, one item more that is as large as any, 16 KiB + 16 KiB + 212
# bytes; the largest list of names: 256 x (200 + 3). Both with slack for names in UTF-8 counted as
# characters. No more than a subscriber's window (64 KiB): what is larger could never be sent.
LARGEST_PART = Rules().part_bytes + ITEM_MOST + ITEM_NAME_MOST + ITEM_OVERHEAD_BYTES
LARGEST_NAMES = NAMES_MOST * (MAX_NAME_BYTES + 3)
MAX_FRAME_BYTES = 64 * 1024
assert max(LARGEST_PART, LARGEST_NAMES) + 4096 < MAX_FRAME_BYTES <= Rules().window_bytes

Kind = TypeVar("Kind")


class Unreadable(Exception):
    """Bytes that are no message of ours: what was found."""


_encoder = msgspec.msgpack.Encoder()
_from_subscriber = msgspec.msgpack.Decoder(FromSubscriber)
_from_relay = msgspec.msgpack.Decoder(FromRelay)


def encode(message: Message) -> bytes:
    """Raises Unreadable where the other side could not read it for its size."""
    data = _encoder.encode(message)
    if len(data) + SEAL_OVERHEAD_BYTES > MAX_FRAME_BYTES:
        raise Unreadable(f"a message of {len(data)} bytes, more than a frame holds")
    return data


def _decode(decoder: msgspec.msgpack.Decoder[Kind], data: bytes) -> Kind:
    try:
        return decoder.decode(data)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise Unreadable(f"no message: {str(error)[:100]}") from None


def from_subscriber(data: bytes) -> FromSubscriber:
    """Raises Unreadable."""
    return _decode(_from_subscriber, data)


def from_relay(data: bytes) -> FromRelay:
    """Raises Unreadable."""
    return _decode(_from_relay, data)
