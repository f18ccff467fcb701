"""The data model of delivery: named objects, the messages between subscriber and relay, and the limits.

An object (a service with its backends, a route, a tenant's row) is a map of items. Every commit of the origin
gets a revision, a fleet-wide number that only grows. On the wire each message is a MessagePack array that
starts with the number of its type.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import IntEnum
from hashlib import blake2b

import msgspec

FRAME_OVERHEAD_BYTES = 34  # per frame besides its items: length, seal, message type, counts, checksum
ITEM_OVERHEAD_BYTES = 12  # upper bound on MessagePack's headers for an item's name and value
MAX_NAME_BYTES, MAX_ITEM_NAME_BYTES = 200, 200
MAX_ITEM_BYTES = 16 * 1024  # of one item's value
MAX_OBJECT_BYTES = 1024 * 1024  # of all item names and values of one object
REVISION_LIMIT = 1 << 62  # exclusive


class Role(IntEnum):
    PROXY = 0
    RELAY = 1


class Kind(IntEnum):
    """What an object part contains: the full object, the changes since a revision, or its deletion."""

    SNAPSHOT = 0
    DELTA = 1
    DELETED = 2


class RejectReason(IntEnum):
    """Why a relay rejects a subscriber. The lower-case names are labels of counters."""

    BEHIND = 0  # the relay holds an older revision than the subscriber
    BUSY = 1  # the relay has its maximum number of sessions
    EVERYTHING = 2  # a proxy asked for all objects


class Hello(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """The subscriber's first message. `held_revision` is the revision of the state that it holds."""

    name: str
    role: int
    region: str
    zone: str
    held_revision: int
    all_objects: bool


class Subscribe(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """Names to follow. `resumed` names are held as of the hello's revision, of `new` ones nothing is held."""

    resumed: tuple[str, ...]
    new: tuple[str, ...]


class Unsubscribe(msgspec.Struct, frozen=True, array_like=True, tag=3):
    names: tuple[str, ...]


class Credit(msgspec.Struct, frozen=True, array_like=True, tag=4):
    """Allows the relay to send this many more bytes."""

    bytes: int


class Ping(msgspec.Struct, frozen=True, array_like=True, tag=5):
    number: int


class Applied(msgspec.Struct, frozen=True, array_like=True, tag=6):
    revision: int


class Refused(msgspec.Struct, frozen=True, array_like=True, tag=7):
    """The subscriber discarded the batch to `target_revision`, still holds `held_revision`, and needs
    snapshots of `names`."""

    held_revision: int
    target_revision: int
    names: tuple[str, ...]


class Welcome(msgspec.Struct, frozen=True, array_like=True, tag=16):
    """`age_ms` bounds the time since the relay's state equalled the origin's."""

    name: str
    revision: int
    age_ms: int


class Rejected(msgspec.Struct, frozen=True, array_like=True, tag=17):
    reason: int
    revision: int


class Begin(msgspec.Struct, frozen=True, array_like=True, tag=18):
    """Starts a batch that takes a subscriber from `base_revision` to `target_revision`, applied atomically.
    A `full` batch also deletes every object that it does not name. Only subscribers of all objects get
    one."""

    base_revision: int
    target_revision: int
    full: bool


class ObjectPart(msgspec.Struct, frozen=True, array_like=True, tag=19):
    """A part of one object in a batch. `has_more` tells that another part of the object follows. The object
    has not changed after revision `version`. `item_count` and `checksum` are those of the resulting
    object."""

    name: str
    kind: int
    version: int
    items: dict[str, bytes]
    removed: tuple[str, ...]
    item_count: int
    checksum: int
    has_more: bool


class End(msgspec.Struct, frozen=True, array_like=True, tag=20):
    target_revision: int
    parts: int


class Pong(msgspec.Struct, frozen=True, array_like=True, tag=21):
    """`age_ms` is the age of the relay's own state. `up_to_date` means that nothing in the subscriber's scope
    up to `revision` is still to be sent. `held_age_ms` bounds the time since the state that the subscriber
    holds equalled the origin's; a negative value means unknown.
    """

    number: int
    revision: int
    age_ms: int
    up_to_date: bool
    held_age_ms: int = -1


class NamesRejected(msgspec.Struct, frozen=True, array_like=True, tag=22):
    """Names that exceed the limit on a subscription and are not followed."""

    names: tuple[str, ...]


FromSubscriber = Hello | Subscribe | Unsubscribe | Credit | Ping | Applied | Refused
FromRelay = Welcome | Rejected | Begin | ObjectPart | End | Pong | NamesRejected
Message = FromSubscriber | FromRelay


@dataclass(frozen=True, slots=True)
class Rules:
    """Timeouts in seconds, and the limits on traffic and memory.

    `bytes_per_s` and `burst_bytes` are a token bucket over all that one subscriber receives, from all relays
    together: in any minute it receives at most burst_bytes + 60 x bytes_per_s."""

    gather_s: float = 0.2  # delay in which changes are collected into one batch
    ping_s: float = 1.0
    silence_s: float = 2.5  # a relay that leaves a ping unanswered this long is considered lost
    connect_s: float = 1.0  # timeout from connecting until the relay's welcome
    spread_s: float = 1.5  # jitter: a lost relay's subscribers reconnect spread over this time
    retry_s: tuple[float, float] = (0.5, 4.0)  # first and longest backoff after three failed relays in a row
    stale_s: float = 5.0  # age of the relay's state beyond which another relay is tried
    return_s: float = 60.0  # mean interval between attempts to return to a better-ranked relay
    bytes_per_s: float = 12_000.0
    burst_bytes: float = 300_000.0
    window_bytes: float = 64 * 1024  # most unused credit that a relay holds; it is forfeited with the relay
    most_names: int = 4096  # in one subscription
    most_sessions: int = 512  # at one relay
    part_bytes: int = 16 * 1024  # of the items in one part
    object_bytes: int = MAX_OBJECT_BYTES
    batch_bytes: int = 8 * 1024 * 1024  # that a subscriber stages

    def max_bytes_per_minute(self) -> float:
        return self.burst_bytes + 60 * self.bytes_per_s

    def failure_detection_s(self) -> float:
        """Longest time from a relay's last answer until it is considered lost: the next ping goes out within
        `ping_s` of that answer."""
        return self.ping_s + self.silence_s

    def staleness_bound_s(self, lost_relays: int, transfer_s: float, hop_s: float = 0.25) -> float:
        """Upper bound, in seconds, on the time from a commit at the origin until a subscriber applies it, if
        the subscriber's first `lost_relays` choices fail at that moment.

        Origin and relay each gather changes, both links take `hop_s`, the failure has to be detected, the
        subscriber waits out its reconnect jitter, and each further lost relay costs one connect timeout.
        `transfer_s` is the transfer time of the batch at `bytes_per_s` once `burst_bytes` is used up."""
        failover_s = (
            self.failure_detection_s() + self.spread_s + lost_relays * self.connect_s if lost_relays else 0.0
        )
        return 2 * (self.gather_s + hop_s) + failover_s + transfer_s


# Limits of a relay's own subscription to the origin, which covers all objects.
RELAY_RULES = Rules(bytes_per_s=20e6, burst_bytes=64e6, window_bytes=8e6, batch_bytes=512 * 1024 * 1024)


@dataclass(frozen=True, slots=True)
class Participant:
    """A process of the delivery tree: a relay or the origin, or (without an address) a subscriber."""

    name: str
    region: str = ""
    zone: str = ""
    address: str = ""


@dataclass(frozen=True, slots=True)
class ObjectChange:
    """A change of one object: items put and items removed, or with `deleted` the deletion of the object."""

    name: str
    items: dict[str, bytes] = field(default_factory=dict)
    removed: tuple[str, ...] = ()
    deleted: bool = False


def item_digest(name: str, value: bytes) -> int:
    """The 64-bit digest of one item. An object's checksum is the sum of its items' digests modulo 2^64, so it
    can be updated from a delta alone."""
    key = name.encode()
    return int.from_bytes(blake2b(key + b"\0" + value, digest_size=8).digest(), "big")


def wire_size(message: Message) -> int:
    """Upper bound on the bytes that a message takes on the wire. Both sides account credit by this value, so
    they agree on what is left."""
    if isinstance(message, ObjectPart):
        items = sum(len(k.encode()) + len(v) + ITEM_OVERHEAD_BYTES for k, v in message.items.items())
        removed = sum(len(name.encode()) + 5 for name in message.removed)
        return FRAME_OVERHEAD_BYTES + len(message.name.encode()) + 30 + items + removed
    names: tuple[str, ...] = ()
    if isinstance(message, NamesRejected | Unsubscribe | Refused):
        names = message.names
    elif isinstance(message, Subscribe):
        names = message.resumed + message.new
    elif isinstance(message, Hello):
        names = (message.name, message.region, message.zone)
    elif isinstance(message, Welcome):
        names = (message.name,)
    return FRAME_OVERHEAD_BYTES + 40 + sum(len(name.encode()) + 5 for name in names)


def rank_relays(subscriber: Participant, relays: tuple[Participant, ...]) -> tuple[Participant, ...]:
    """The relays in the subscriber's order of preference: those of its own region first, then by rendezvous
    hash (highest random weight), so that a lost relay's subscribers spread evenly over the others."""

    def weight(relay: Participant) -> bytes:
        return blake2b(f"{subscriber.name}\0{relay.name}".encode(), digest_size=8).digest()

    return tuple(sorted(relays, key=lambda r: (r.region != subscriber.region, weight(r))))
