"""Soft-state entries that members publish and spread by gossip. No I/O, no clock.

An entry states a value for a subject under a topic, and expires. The expiry is counted on the receiver's own
clock from a time no later than the sending (see `member.py`), less a margin for clock drift, and is tested
when the entry is read, not by a timer. A cut link, a paused process or a dead publisher therefore loses its
influence without any further message.

Each hop reduces the remaining time by HOP_TTL_FACTOR, so that no member uses an entry for longer than
`staleness_bound_s` of true time after it was published, whatever path it took. After the expiry the epoch of
an entry is kept for one more TTL; otherwise an older entry with a later expiry could replace it.

Topics share a datagram by deficit round robin (Shreedhar and Varghese 1996), so a flood of one topic cannot
starve another. The entries of each member and of each topic are bounded.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum
from math import ceil
from typing import NamedTuple

from flintlatch.peers.model import MAX_NAME_CHARS, log_scale

MAX_CLOCK_DRIFT = 0.01  # relative error of a clock's rate: 100 times that of a quartz, 10 times NTP's slew
HOP_TTL_FACTOR = (1 - MAX_CLOCK_DRIFT) / (1 + MAX_CLOCK_DRIFT)  # of the remaining time, at each hop
RENEWALS_PER_TTL = 3  # publications of a renewed entry: two in a row may be lost
MAX_EPOCH = 2**53  # exclusive: a publisher could not replace an entry with a higher epoch
MAX_TOPIC_CHARS, MAX_SUBJECT_CHARS, MAX_VALUE_BYTES = 16, 96, 512
ENTRY_OVERHEAD_BYTES = 24  # at most, of an encoded entry without its texts and value
SWEEP_INTERVAL_S = 1.0  # between two removals of long expired entries
QUANTUM_BYTES = 256  # added to a topic's deficit each turn, times its weight


class Merge(Enum):
    """Which of two entries on one subject is kept."""

    PER_MEMBER = "each"  # one from each member, with the highest epoch
    LAST_WRITER = "last"  # one for all members, with the highest (epoch, member)


@dataclass(frozen=True, slots=True)
class Topic:
    """`ttl_s`: the longest time that its entries may be valid. A reader that needs a merge by value, for
    example the maximum or the union, computes it from the entries of a PER_MEMBER topic."""

    name: str
    merge: Merge
    ttl_s: float
    max_per_member: int = 8  # subjects of one member that are stored
    max_entries: int = 4096  # stored from all members
    weight: float = 1.0  # share of a datagram's room, relative to other topics

    def __post_init__(self) -> None:
        if not 1 <= len(self.name) <= MAX_TOPIC_CHARS:
            raise ValueError(f"topic {self.name!r}: expected 1 to {MAX_TOPIC_CHARS} characters")
        if not (self.ttl_s > 0 and self.max_per_member >= 1 and self.max_entries >= 1 and self.weight > 0):
            raise ValueError(
                f"topic {self.name}: ttl_s is {self.ttl_s}, max_per_member {self.max_per_member}, "
                f"max_entries {self.max_entries} and weight {self.weight}, all expected above 0"
            )


# Entries of unknown topics are passed on within these bounds: a newer version may know the topic.
UNKNOWN_TOPIC_TTL_S, UNKNOWN_TOPIC_MAX_PER_MEMBER, UNKNOWN_TOPIC_MAX_ENTRIES = 60.0, 4, 256
UNKNOWN_TOPIC_WEIGHT = 0.5
MAX_UNKNOWN_TOPICS = 256


class Entry(NamedTuple):
    """An entry as it is sent. `remaining_s` is the time to its expiry when the datagram was sent, by the
    sender's clock. An empty value marks a withdrawn entry."""

    topic: str
    origin: str  # name of the member that published it
    subject: str
    epoch: int
    value: bytes
    remaining_s: float

    def encoded_bytes(self) -> int:
        return (
            ENTRY_OVERHEAD_BYTES
            + len(self.topic)
            + len(self.origin)
            + len(self.subject.encode())
            + len(self.value)
        )


class PublishedEntry(NamedTuple):
    """A valid entry as subsystems read it."""

    origin: str
    subject: str
    epoch: int
    value: bytes
    expires_at: float  # on this member's clock


@dataclass(slots=True)
class StoredEntry:
    entry: Entry
    expires_at: float
    sent_count: int = 0
    queued: bool = False


@dataclass(slots=True)
class OwnEntry:
    """An entry that this member publishes; it is renewed until it is withdrawn, if `renew` is set."""

    topic: str
    subject: str
    value: bytes
    ttl_s: float
    published_at: float
    epoch: int
    renew: bool


Key = tuple[str, str, str]  # topic, origin (empty for LAST_WRITER), subject


@dataclass(slots=True)
class Counts:
    accepted: int = 0
    expired: int = 0  # entries that had expired when they were received
    refused: int = 0  # entries: malformed, too long a TTL, or beyond a bound


@dataclass(slots=True)
class TopicQueue:
    """The entries of one topic that are still to be sent."""

    keys: deque[Key] = field(default_factory=deque)
    deficit: float = 0.0


class EntryStore:
    def __init__(self, me: str, topics: Iterable[Topic], retransmit_factor: int) -> None:
        self.me, self.retransmit_factor = me, retransmit_factor
        self.topics = {topic.name: topic for topic in topics}
        self.entries: dict[Key, StoredEntry] = {}
        self.by_topic: dict[str, dict[Key, StoredEntry]] = {}
        self.entry_counts: dict[tuple[str, str], int] = {}  # stored entries by topic and member
        self.published: dict[tuple[str, str], OwnEntry] = {}
        self.queues: dict[str, TopicQueue] = {}
        self.topic_rotation: deque[str] = deque()
        self.last_sweep_at = 0.0
        self.counts = Counts()
        self.members = 1
        self.sync_offset = 0  # rotates the entries that go into successive partial snapshots

    # Bounds

    @staticmethod
    def staleness_bound_s(ttl_s: float) -> float:
        """Upper bound on the true time after its publication for which any member can read an entry.

        It holds while the rate of every clock is within MAX_CLOCK_DRIFT. The publisher's clock may be slow by
        that much; HOP_TTL_FACTOR covers the drift of both clocks of each hop."""
        return ttl_s / (1 - MAX_CLOCK_DRIFT)

    # Subsystems

    def publish(
        self, now: float, topic: str, subject: str, value: bytes, ttl_s: float = 0.0, renew: bool = True
    ) -> None:
        """Publishes an entry from now on. With `renew` it is renewed until `withdraw`; otherwise it expires.

        Raises ValueError for an entry that no member would accept."""
        spec = self.topics[topic]
        ttl_s = ttl_s or spec.ttl_s
        if not 0 < ttl_s <= spec.ttl_s:
            raise ValueError(f"{topic}: a TTL of {ttl_s} s, expected above 0 and at most {spec.ttl_s:g}")
        if len(subject) > MAX_SUBJECT_CHARS or len(value) > MAX_VALUE_BYTES:
            raise ValueError(
                f"{topic}: subject of {len(subject)} characters and value of {len(value)} bytes, "
                f"expected at most {MAX_SUBJECT_CHARS} and {MAX_VALUE_BYTES}"
            )
        previous = self.published.get((topic, subject))
        if previous is None and sum(key[0] == topic for key in self.published) >= spec.max_per_member:
            raise ValueError(f"{topic}: more than {spec.max_per_member} subjects of one member")
        stored = self.entries.get(self._key(spec.merge, topic, self.me, subject))
        epoch = 1 + max(
            stored.entry.epoch if stored is not None else 0,
            previous.epoch if previous is not None else 0,
        )
        self.published[topic, subject] = OwnEntry(topic, subject, value, ttl_s, now, epoch, renew)
        self._store(now, Entry(topic, self.me, subject, epoch, value, ttl_s), now + ttl_s)

    def withdraw(self, now: float, topic: str, subject: str) -> None:
        """Replaces the entry by one with an empty value and a new full TTL, which expires later."""
        if (own := self.published.get((topic, subject))) is not None:
            self.publish(now, topic, subject, b"", own.ttl_s, renew=False)
            del self.published[topic, subject]

    def read(self, now: float, topic: str, subject: str | None = None) -> list[PublishedEntry]:
        """The valid entries of a topic, sorted by (subject, member), without withdrawn ones."""
        found = [
            PublishedEntry(
                stored.entry.origin,
                stored.entry.subject,
                stored.entry.epoch,
                stored.entry.value,
                stored.expires_at,
            )
            for stored in self.by_topic.get(topic, {}).values()
            if stored.expires_at > now
            and stored.entry.value
            and (subject is None or stored.entry.subject == subject)
        ]
        return sorted(found, key=lambda entry: (entry.subject, entry.origin))

    # Members

    def tick(self, now: float, members: int) -> None:
        """Renews published entries and removes those that expired long ago."""
        self.members = members
        for own in list(self.published.values()):
            if now >= own.published_at + own.ttl_s:
                # This process was paused for longer than the TTL, or the entry is not renewed. It is not
                # published again unless the subsystem calls `publish`.
                del self.published[own.topic, own.subject]
            elif own.renew and now >= own.published_at + own.ttl_s / RENEWALS_PER_TTL:
                self.publish(now, own.topic, own.subject, own.value, own.ttl_s)
        if now >= self.last_sweep_at + SWEEP_INTERVAL_S:
            self.last_sweep_at = now
            for key, stored in list(self.entries.items()):
                if now >= stored.expires_at + self._max_ttl_s(key[0]):
                    self._remove(key)

    def receive(self, now: float, earliest_send_time: float, entries: Iterable[Entry]) -> list[Entry]:
        """Stores received entries and returns those that are new or have changed.

        `earliest_send_time`: a local time no later than their sending."""
        changed = []
        for entry in entries:
            defect = self._defect(entry)
            if defect:
                self.counts.refused += 1
                continue
            expires_at = min(earliest_send_time, now) + entry.remaining_s * HOP_TTL_FACTOR
            if expires_at <= now:
                self.counts.expired += 1
                continue
            if entry.origin == self.me:
                self._receive_own(now, entry)
                continue
            spec = self.topics.get(entry.topic)
            key = self._key(
                spec.merge if spec else Merge.PER_MEMBER, entry.topic, entry.origin, entry.subject
            )
            stored = self.entries.get(key)
            if stored is not None and self._order(entry) <= self._order(stored.entry):
                if entry[:5] == stored.entry[:5]:
                    # Both are lower bounds on the true expiry; the later one is closer.
                    stored.expires_at = max(stored.expires_at, expires_at)
                continue
            if stored is None and not self._has_capacity(now, entry, spec):
                self.counts.refused += 1
                continue
            self._store(now, entry, expires_at)
            self.counts.accepted += 1
            changed.append(entry)
        return changed

    def take_for_datagram(self, now: float, room: int) -> list[Entry]:
        """Entries for a datagram with `room` bytes left; each counts as sent once more."""
        max_sent = self.retransmit_factor * ceil(log_scale(self.members))
        entries: list[Entry] = []
        taken: set[Key] = set()
        idle_turns = 0
        while self.topic_rotation and idle_turns < len(self.topic_rotation) and room > ENTRY_OVERHEAD_BYTES:
            name = self.topic_rotation[0]
            queue = self.queues[name]
            spec = self.topics.get(name)
            queue.deficit += QUANTUM_BYTES * (spec.weight if spec else UNKNOWN_TOPIC_WEIGHT)
            taken_before = len(entries)
            for _ in range(len(queue.keys)):
                if queue.keys[0] in taken:
                    break
                stored = self.entries.get(queue.keys[0])
                if stored is None or stored.expires_at <= now or not stored.queued:
                    queue.keys.popleft()
                    if stored is not None:
                        stored.queued = False
                    continue
                size = stored.entry.encoded_bytes()
                if size > queue.deficit or size > room:
                    break
                key = queue.keys.popleft()
                taken.add(key)
                entries.append(stored.entry._replace(remaining_s=stored.expires_at - now))
                queue.deficit, room = queue.deficit - size, room - size
                stored.sent_count += 1
                if stored.sent_count < max_sent:
                    queue.keys.append(key)
                else:
                    stored.queued = False
                if stored.sent_count > 1:
                    break  # entries that were never sent go first, in every topic
            idle_turns = 0 if len(entries) > taken_before else idle_turns + 1
            if queue.keys:
                self.topic_rotation.rotate(-1)
                # Unused deficit is not saved up beyond what the next entry needs.
                first = self.entries.get(queue.keys[0])
                queue.deficit = min(
                    queue.deficit, float(first.entry.encoded_bytes() if first is not None else 0)
                )
            else:
                self.topic_rotation.popleft()
                queue.deficit = 0.0
        return entries

    def has_unsent(self) -> bool:
        """Whether an entry is queued that has never been sent."""
        return any(
            queue.keys
            and (stored := self.entries.get(queue.keys[0])) is not None
            and stored.queued
            and not stored.sent_count
            for queue in self.queues.values()
        )

    def snapshot(self, now: float, most: int | None = None) -> list[Entry]:
        """The valid entries, for a member that may have missed some; at most `most`, the next ones in each
        call."""
        valid = [stored for stored in self.entries.values() if stored.expires_at > now]
        if most is not None and len(valid) > most:
            self.sync_offset %= len(valid)
            valid = (valid[self.sync_offset :] + valid[: self.sync_offset])[:most]
            self.sync_offset += most
        return [stored.entry._replace(remaining_s=stored.expires_at - now) for stored in valid]

    # Single entries

    @staticmethod
    def _key(merge: Merge, topic: str, origin: str, subject: str) -> Key:
        return topic, origin if merge is Merge.PER_MEMBER else "", subject

    @staticmethod
    def _order(entry: Entry) -> tuple[int, str, bytes]:
        return entry.epoch, entry.origin, entry.value

    def _max_ttl_s(self, topic: str) -> float:
        return self.topics[topic].ttl_s if topic in self.topics else UNKNOWN_TOPIC_TTL_S

    def _defect(self, entry: Entry) -> str:
        """The invalid part of a received entry; empty if it is valid."""
        if not (1 <= len(entry.topic) <= MAX_TOPIC_CHARS and 1 <= len(entry.origin) <= MAX_NAME_CHARS):
            return "topic or origin"
        if len(entry.subject) > MAX_SUBJECT_CHARS or len(entry.value) > MAX_VALUE_BYTES:
            return "subject or value"
        if not 0 < entry.epoch < MAX_EPOCH:
            return "epoch"
        if not 0 < entry.remaining_s <= self._max_ttl_s(entry.topic):
            return "remaining time"  # also rejects NaN
        return ""

    def _receive_own(self, now: float, entry: Entry) -> None:
        """Handles an entry that names this member as its publisher.

        An entry from before a restart that is no longer published is withdrawn; it would otherwise stand
        until its expiry. If it is published now, with a lower epoch, it is published again with a higher
        one."""
        spec = self.topics.get(entry.topic)
        if spec is None:
            return
        own = self.published.get((entry.topic, entry.subject))
        stored = self.entries.get(self._key(spec.merge, entry.topic, self.me, entry.subject))
        if own is None:
            if stored is None and entry.value and self._has_capacity(now, entry, spec):
                self._store(now, entry._replace(epoch=entry.epoch + 1, value=b""), now + entry.remaining_s)
        elif (entry.epoch, entry.value) > (own.epoch, own.value):
            own.epoch = entry.epoch
            self.publish(now, own.topic, own.subject, own.value, own.ttl_s, own.renew)

    def _has_capacity(self, now: float, entry: Entry, spec: Topic | None) -> bool:
        max_per_member, max_entries = (
            (spec.max_per_member, spec.max_entries)
            if spec
            else (UNKNOWN_TOPIC_MAX_PER_MEMBER, UNKNOWN_TOPIC_MAX_ENTRIES)
        )
        if self.entry_counts.get((entry.topic, entry.origin), 0) >= max_per_member:
            return False
        same_topic = self.by_topic.get(entry.topic, {})
        if spec is None and entry.topic not in self.by_topic:
            unknown_topics = [name for name in self.by_topic if name not in self.topics]
            if len(unknown_topics) >= MAX_UNKNOWN_TOPICS:
                return False
        if len(same_topic) < max_entries:
            return True
        expired = next((key for key, stored in same_topic.items() if stored.expires_at <= now), None)
        if expired is not None:
            self._remove(expired)
        return expired is not None

    def _store(self, now: float, entry: Entry, expires_at: float) -> None:
        spec = self.topics.get(entry.topic)
        key = self._key(spec.merge if spec else Merge.PER_MEMBER, entry.topic, entry.origin, entry.subject)
        replaced = self.entries.get(key)
        if replaced is not None:
            self._adjust_count(replaced.entry, -1)
        queue = self.queues.setdefault(entry.topic, TopicQueue())
        if replaced is not None and replaced.queued:
            queue.keys.remove(key)
        stored = StoredEntry(entry, expires_at, queued=True)
        self.entries[key] = self.by_topic.setdefault(entry.topic, {})[key] = stored
        self._adjust_count(entry, 1)
        if not queue.keys and entry.topic not in self.topic_rotation:
            self.topic_rotation.append(entry.topic)
        queue.keys.appendleft(key)

    def _adjust_count(self, entry: Entry, by: int) -> None:
        owner = entry.topic, entry.origin
        count = self.entry_counts.get(owner, 0) + by
        if count:
            self.entry_counts[owner] = count
        else:
            self.entry_counts.pop(owner, None)

    def _remove(self, key: Key) -> None:
        stored = self.entries.pop(key)
        same_topic = self.by_topic[key[0]]
        del same_topic[key]
        if not same_topic:
            del self.by_topic[key[0]]
        self._adjust_count(stored.entry, -1)
        if stored.queued:
            self.queues[key[0]].keys.remove(key)
