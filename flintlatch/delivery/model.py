"""What delivery speaks of: objects by name, the messages between subscriber and relay, the rules' figures.

An object (a service with its backends, a route, a tenant's row) is a map of items. Every commit of the origin
has a revision, one number for the whole fleet that only grows. Messages stand as arrays in MessagePack, each
kind with its number.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import IntEnum
from hashlib import blake2b

import msgspec

FRAME_OVERHEAD_BYTES = 34  # of a frame beside its items: length, seal, kind, counts, checksum
ITEM_OVERHEAD_BYTES = 12  # of an item beside its name and value: at most what MessagePack puts before both
MAX_NAME_BYTES, ITEM_NAME_MOST = 200, 200  # bytes
ITEM_MOST = 16 * 1024  # bytes of one item's value
OBJECT_MOST = 1024 * 1024  # bytes of one object's item names and values
REVISION_MOST = 1 << 62


class Role(IntEnum):
    PROXY = 0
    RELAY = 1


class Kind(IntEnum):
    """Of a part: an object as a whole, what has changed of it, or that it is no more."""

    SNAPSHOT = 0
    DELTA = 1
    GONE = 2


class Why(IntEnum):
    """For which a relay turns a subscriber away."""

    BEHIND = 0  # it holds less than the subscriber does
    BUSY = 1  # as many as it may have
    EVERYTHING = 2  # a proxy asked for all objects


class Hello(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """The subscriber's first message. `held`: the revision whose state it holds."""

    name: str
    role: int
    region: str
    zone: str
    held: int
    everything: bool


class Subscribe(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """Names to follow: those held at the revision of the hello, and those of which nothing is held."""

    held: tuple[str, ...]
    fresh: tuple[str, ...]


class Unsubscribe(msgspec.Struct, frozen=True, array_like=True, tag=3):
    names: tuple[str, ...]


class Credit(msgspec.Struct, frozen=True, array_like=True, tag=4):
    """So many bytes more may be sent."""

    bytes: int


class Ping(msgspec.Struct, frozen=True, array_like=True, tag=5):
    number: int


class Applied(msgspec.Struct, frozen=True, array_like=True, tag=6):
    revision: int


class Refused(msgspec.Struct, frozen=True, array_like=True, tag=7):
    """The batch up to `to` was not taken; `held` stands, and of `names` snapshots are needed."""

    held: int
    to: int
    names: tuple[str, ...]


class Welcome(msgspec.Struct, frozen=True, array_like=True, tag=16):
    """`age_ms`: how long ago, at the most, the relay's state was the origin's."""

    name: str
    revision: int
    age_ms: int


class Turned(msgspec.Struct, frozen=True, array_like=True, tag=17):
    why: int
    revision: int


class Begin(msgspec.Struct, frozen=True, array_like=True, tag=18):
    """A batch that brings who holds `base` to `to`, all of it or nothing. `whole`: what it does not name is
    no more (only for who follows everything)."""

    base: int
    to: int
    whole: bool


class ObjectPart(msgspec.Struct, frozen=True, array_like=True, tag=19):
    """Of one object. `more`: its next part follows. `version`: it has not changed after that revision.
    `count` and `checksum` are of the object afterwards."""

    name: str
    kind: int
    version: int
    items: dict[str, bytes]
    removed: tuple[str, ...]
    count: int
    checksum: int
    more: bool


class End(msgspec.Struct, frozen=True, array_like=True, tag=20):
    to: int
    parts: int


class Pong(msgspec.Struct, frozen=True, array_like=True, tag=21):
    """`age_ms`: of the relay's own state. `current`: nothing of the subscriber's scope up to `revision` is
    still to be sent. `held_ms`: how long ago, at the most, what it holds was the origin's; below 0: unknown.
    """

    number: int
    revision: int
    age_ms: int
    current: bool
    held_ms: int = -1


class LeftOut(msgspec.Struct, frozen=True, array_like=True, tag=22):
    """Names over the bound on a subscription, which are not followed."""

    names: tuple[str, ...]


FromSubscriber = Hello | Subscribe | Unsubscribe | Credit | Ping | Applied | Refused
FromRelay = Welcome | Turned | Begin | ObjectPart | End | Pong | LeftOut
Message = FromSubscriber | FromRelay


@dataclass(frozen=True, slots=True)
class Rules:
    """Times in seconds. Rate and burst hold for what one subscriber receives, whoever sends it: in any minute
    at most burst + 60 x rate."""

    gather_s: float = 0.2  # news of so long goes out as one batch
    ping_s: float = 1.0
    silence_s: float = 2.5  # a ping without its answer for so long: the relay is lost
    connect_s: float = 1.0  # until a relay has welcomed us
    spread_s: float = 1.5  # over which the subscribers of a lost relay come to others
    retry_s: tuple[float, float] = (0.5, 4.0)  # after three relays that failed: at first, doubled, at most
    stale_s: float = 5.0  # an age of the relay's state for which another is tried
    return_s: float = 60.0  # mean time until a better choice is tried again
    bytes_per_s: float = 12_000.0  # bytes a second
    burst_bytes: float = 300_000.0  # bytes
    window_bytes: float = 64 * 1024  # bytes that one relay may send before it is granted more; lost with it
    most_names: int = 4096  # of one subscription
    most_sessions: int = 512  # of one relay
    part_bytes: int = 16 * 1024  # of one part's items
    object_bytes: int = OBJECT_MOST
    batch_bytes: int = 8 * 1024 * 1024  # that a subscriber stages

    def max_bytes_per_minute(self) -> float:
        return self.burst_bytes + 60 * self.bytes_per_s

    def failure_detection_s(self) -> float:
        """From a relay's silence until it is given up: a ping goes out within `ping_s` of the last answer."""
        return self.ping_s + self.silence_s

    def staleness_bound_s(self, dead: int, transfer_s: float, hop_s: float = 0.25) -> float:
        """Bound on a change's way from the origin through one relay to a subscriber of which the first `dead`
        choices are lost at that moment: both gather, both links take `hop_s`, the loss is found, the
        subscriber waits its turn, each further dead choice takes a whole attempt. `transfer_s`: of the batch
        at `rate`, once `burst` is used up."""
        lost = self.failure_detection_s() + self.spread_s + dead * self.connect_s if dead else 0.0
        return 2 * (self.gather_s + hop_s) + lost + transfer_s


RELAY_RULES = Rules(bytes_per_s=20e6, burst_bytes=64e6, window_bytes=8e6, batch_bytes=512 * 1024 * 1024)


@dataclass(frozen=True, slots=True)
class Participant:
    """A process that takes part: a relay, or (without an address) a subscriber."""

    name: str
    region: str = ""
    zone: str = ""
    address: str = ""


@dataclass(frozen=True, slots=True)
class ObjectChange:
    """What came into force of one object: items put and taken away. `deleted`: it is no more."""

    name: str
    items: dict[str, bytes] = field(default_factory=dict)
    removed: tuple[str, ...] = ()
    deleted: bool = False


def item_digest(name: str, value: bytes) -> int:
    """Of one item, 64 bits. An object's checksum is the sum of its items', modulo 2^64, so that a delta can
    be counted in without the rest."""
    key = name.encode()
    return int.from_bytes(blake2b(key + b"\0" + value, digest_size=8).item_digest(), "big")


def wire_size(message: Message) -> int:
    """Bytes that a message takes on the wire, at most: both sides count credit by what is sent."""
    if isinstance(message, ObjectPart):
        items = sum(len(k.encode()) + len(v) + ITEM_OVERHEAD_BYTES for k, v in message.items.items())
        gone = sum(len(name.encode()) + 5 for name in message.removed)
        return FRAME_OVERHEAD_BYTES + len(message.name.encode()) + 30 + items + gone
    names: tuple[str, ...] = ()
    if isinstance(message, LeftOut | Unsubscribe | Refused):
        names = message.names
    elif isinstance(message, Subscribe):
        names = message.held + message.fresh
    elif isinstance(message, Hello):
        names = (message.name, message.region, message.zone)
    elif isinstance(message, Welcome):
        names = (message.name,)
    return FRAME_OVERHEAD_BYTES + 40 + sum(len(name.encode()) + 5 for name in names)


def rank(me: Participant, relays: tuple[Participant, ...]) -> tuple[Participant, ...]:
    """The relays in the order in which `me` would use them: of its own region first, each by rendezvous hash
    (highest random weight), so that the subscribers of a lost relay spread evenly over the others."""

    def weight(relay: Participant) -> bytes:
        return blake2b(f"{me.name}\0{relay.name}".encode(), digest_size=8).item_digest()

    return tuple(sorted(relays, key=lambda r: (r.region != me.region, weight(r))))
