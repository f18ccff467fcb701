"""The carrier: what later subsystems spread among members. No I/O, no clock.

A word says something of a subject under a topic, and ends. Its end is counted on the receiver's own clock
from a moment no later than its sending (see `member.py`), less a margin for clocks that run apart; it is
tested when the word is read, not by a timer. So a cut link, a paused process or a dead sender ends its own
influence.

Each hop shortens what is left by SHRINK, so that nobody believes a word for longer than `stale_s` of true
time after it was said, whatever way it took. Past the end a word's epoch is kept for one more life, or an
older word that ends later would come back in its place.

Topics share a datagram by deficit round robin (Shreedhar and Varghese 1996): a flood of one can't starve
another. What one member may say of a topic is bounded, and so is a topic as a whole.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum
from math import ceil
from typing import NamedTuple

from flintlatch.peers.model import MAX_NAME_CHARS, log_scale

MAX_CLOCK_DRIFT = (
    0.01  # by which a clock's rate may be off: a hundred times what a quartz is, ten what NTP slews
)
HOP_TTL_FACTOR = (1 - MAX_CLOCK_DRIFT) / (1 + MAX_CLOCK_DRIFT)  # of what is left, at each hop
RENEWALS_PER_TTL = 3  # times in its life that a word still held is said anew: two may be lost
MAX_EPOCH = 2**53  # a word at or beyond it is none: its sayer could not outdo it
MAX_TOPIC_CHARS, MAX_SUBJECT_CHARS, MAX_VALUE_BYTES = 16, 96, 512  # characters, characters, bytes
ENTRY_OVERHEAD_BYTES = 24  # bytes of a word as packed, beside its texts and its value, at the most
QUANTUM_BYTES = 256  # bytes that a topic's turn adds to what it may put into a datagram


class Merge(Enum):
    """Which of two words on one subject stands."""

    PER_MEMBER = "each"  # one from each member, the later by its epoch
    LAST_WRITER = "last"  # one for all members, the highest (epoch, member)


@dataclass(frozen=True, slots=True)
class Topic:
    """`ttl_s`: the longest that a word of it may hold. A join of a lattice is a fold over EACH at its
    reading."""

    name: str
    merge: Merge
    ttl_s: float
    max_per_member: int = 8  # subjects of one member that are held
    max_entries: int = 4096  # words held in all
    weight: float = 1.0  # of a datagram's room

    def __post_init__(self) -> None:
        if not 1 <= len(self.name) <= MAX_TOPIC_CHARS:
            raise ValueError(f"topic {self.name!r}: expected 1 to {MAX_TOPIC_CHARS} characters")
        if not (self.ttl_s > 0 and self.max_per_member >= 1 and self.max_entries >= 1 and self.weight > 0):
            raise ValueError(f"topic {self.name}: ttl_s, each, most and weight are expected above 0")


# What is of no topic known here is passed on within these bounds: a newer version may know it.
UNKNOWN_TOPIC_TTL_S, UNKNOWN_TOPIC_MAX_PER_MEMBER, UNKNOWN_TOPIC_MAX_ENTRIES = 60.0, 4, 256


class Entry(NamedTuple):
    """As it travels. `left_s` is what was left of it when the datagram was sent, by the sender's clock."""

    topic: str
    origin: str  # name of the member that said it
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
    """A word that holds, as a subsystem reads it. An empty value says that nothing is said any more."""

    origin: str
    subject: str
    epoch: int
    value: bytes
    expires_at: float  # on this member's clock


@dataclass(slots=True)
class StoredEntry:
    entry: Entry
    expires_at: float
    sent: int = 0
    queued: bool = False


@dataclass(slots=True)
class OwnEntry:
    """A word of our own that is said anew until it is taken back."""

    topic: str
    subject: str
    value: bytes
    ttl_s: float
    published_at: float
    epoch: int
    renew: bool


Key = tuple[str, str, str]  # topic, origin (empty under LAST), subject


@dataclass(slots=True)
class Counts:
    accepted: int = 0
    expired: int = 0  # words that had ended when they came
    refused: int = 0  # malformed, too long a life, beyond a bound


@dataclass(slots=True)
class TopicQueue:
    """What waits to be passed on, of one topic."""

    keys: deque[Key] = field(default_factory=deque)
    deficit: float = 0.0


class EntryStore:
    def __init__(self, me: str, topics: Iterable[Topic], retransmit: int) -> None:
        self.me, self.retransmit = me, retransmit
        self.topics = {topic.name: topic for topic in topics}
        self.entries: dict[Key, StoredEntry] = {}
        self.by_topic: dict[str, dict[Key, StoredEntry]] = {}
        self.entry_counts: dict[tuple[str, str], int] = {}  # words held, by topic and member
        self.published: dict[tuple[str, str], OwnEntry] = {}
        self.queues: dict[str, TopicQueue] = {}
        self.rotation: deque[str] = deque()
        self.last_sweep_at = 0.0
        self.counts = Counts()
        self.members = 1
        self.sync_offset = 0  # words that exchanges have had so far, in turn

    # What the program prints

    @staticmethod
    def staleness_bound_s(ttl_s: float) -> float:
        """The stated bound: nobody reads a word later than this after it was said, in true time, while every
        clock's rate is within DRIFT. The sayer's own clock may be slow by DRIFT; each hop takes off more than
        its two clocks can add."""
        return ttl_s / (1 - MAX_CLOCK_DRIFT)

    # Subsystems

    def publish(
        self, now: float, topic: str, subject: str, value: bytes, ttl_s: float = 0.0, renew: bool = True
    ) -> None:
        """Say it from now on. With `renew` it is said anew in time until `unsay`; without, it ends by itself.
        ValueError for what no member would take."""
        rules = self.topics[topic]
        ttl_s = ttl_s or rules.ttl_s
        if not 0 < ttl_s <= rules.ttl_s:
            raise ValueError(f"{topic}: a life of {ttl_s} s, expected above 0 and at most {rules.ttl_s:g}")
        if len(subject) > MAX_SUBJECT_CHARS or len(value) > MAX_VALUE_BYTES:
            raise ValueError(f"{topic}: subject or value too long ({len(subject)}, {len(value)} bytes)")
        same = self.published.get((topic, subject))
        if same is None and sum(key[0] == topic for key in self.published) >= rules.max_per_member:
            raise ValueError(f"{topic}: more than {rules.max_per_member} subjects of one member")
        held = self.entries.get(self._key(rules.merge, topic, self.me, subject))
        epoch = 1 + max(held.entry.epoch if held is not None else 0, same.epoch if same is not None else 0)
        self.published[topic, subject] = OwnEntry(topic, subject, value, ttl_s, now, epoch, renew)
        self._store(now, Entry(topic, self.me, subject, epoch, value, ttl_s), now + ttl_s)

    def withdraw(self, now: float, topic: str, subject: str) -> None:
        """Take it back: an empty value outlasts the word that it ends."""
        if (mine := self.published.get((topic, subject))) is not None:
            self.publish(now, topic, subject, b"", mine.ttl_s, renew=False)
            del self.published[topic, subject]

    def read(self, now: float, topic: str, subject: str | None = None) -> list[PublishedEntry]:
        """All that holds at this moment, by (subject, member)."""
        found = [
            PublishedEntry(
                held.entry.origin, held.entry.subject, held.entry.epoch, held.entry.value, held.expires_at
            )
            for held in self.by_topic.get(topic, {}).values()
            if held.expires_at > now
            and held.entry.value
            and (subject is None or held.entry.subject == subject)
        ]
        return sorted(found, key=lambda said: (said.subject, said.origin))

    # Members

    def tick(self, now: float, members: int) -> None:
        """Say anew what is still meant, and forget what nothing can bring back."""
        self.members = members
        for mine in list(self.published.values()):
            if now >= mine.published_at + mine.ttl_s:
                # Away for longer than it holds (or never renewed): whether it is still so, its subsystem
                # says.
                del self.published[mine.topic, mine.subject]
            elif mine.renew and now >= mine.published_at + mine.ttl_s / RENEWALS_PER_TTL:
                self.publish(now, mine.topic, mine.subject, mine.value, mine.ttl_s)
        if now >= self.last_sweep_at + 1.0:
            self.last_sweep_at = now
            for key, held in list(self.entries.items()):
                if now >= held.expires_at + self._max_ttl_s(key[0]):
                    self._remove(key)

    def receive(self, now: float, sent: float, words: Iterable[Entry]) -> list[Entry]:
        """`sent`: a moment of our clock no later than their sending. Returns what is news."""
        news = []
        for word in words:
            fault = self._defect(word)
            if fault:
                self.counts.refused += 1
                continue
            expires_at = min(sent, now) + word.remaining_s * HOP_TTL_FACTOR
            if expires_at <= now:
                self.counts.expired += 1
                continue
            if word.origin == self.me:
                self._receive_own(now, word)
                continue
            rules = self.topics.get(word.topic)
            key = self._key(rules.merge if rules else Merge.PER_MEMBER, word.topic, word.origin, word.subject)
            held = self.entries.get(key)
            if held is not None and self._order(word) <= self._order(held.entry):
                if word[:5] == held.entry[:5]:
                    held.expires_at = max(
                        held.expires_at, expires_at
                    )  # of two bounds from below the better one
                continue
            if held is None and not self._has_capacity(now, word, rules):
                self.counts.refused += 1
                continue
            self._store(now, word, expires_at)
            self.counts.accepted += 1
            news.append(word)
        return news

    def take_for_datagram(self, now: float, room: int) -> list[Entry]:
        """Words for a datagram with `room` bytes left, each counted as passed on once."""
        most = self.retransmit * ceil(log_scale(self.members))
        words: list[Entry] = []
        put: set[Key] = set()
        idle = 0
        while self.rotation and idle < len(self.rotation) and room > ENTRY_OVERHEAD_BYTES:
            name = self.rotation[0]
            lane = self.queues[name]
            rules = self.topics.get(name)
            lane.deficit += QUANTUM_BYTES * (rules.weight if rules else 0.5)
            before = len(words)
            for _ in range(len(lane.keys)):
                if lane.keys[0] in put:
                    break
                held = self.entries.get(lane.keys[0])
                if held is None or held.expires_at <= now or not held.queued:
                    lane.keys.popleft()
                    if held is not None:
                        held.queued = False
                    continue
                cost = held.entry.encoded_bytes()
                if cost > lane.deficit or cost > room:
                    break
                key = lane.keys.popleft()
                put.add(key)
                words.append(held.entry._replace(remaining_s=held.expires_at - now))
                lane.deficit, room = lane.deficit - cost, room - cost
                held.sent += 1
                if held.sent < most:
                    lane.keys.append(key)
                else:
                    held.queued = False
                if held.sent > 1:
                    break  # those that nobody has heard yet go first, in every topic
            idle = 0 if len(words) > before else idle + 1
            if lane.keys:
                self.rotation.rotate(-1)
                # What the datagram had no room for is not saved up, but for one long word.
                head = self.entries.get(lane.keys[0])
                lane.deficit = min(lane.deficit, float(head.entry.encoded_bytes() if head is not None else 0))
            else:
                self.rotation.popleft()
                lane.deficit = 0.0
        return words

    def has_unsent(self) -> bool:
        """Whether some word waits that has not been passed on at all."""
        return any(
            lane.keys
            and (held := self.entries.get(lane.keys[0])) is not None
            and held.queued
            and not held.sent
            for lane in self.queues.values()
        )

    def snapshot(self, now: float, most: int | None = None) -> list[Entry]:
        """All that holds, for a member that may have missed it; or so many of it, others each time."""
        there = [held for held in self.entries.values() if held.expires_at > now]
        if most is not None and len(there) > most:
            self.sync_offset %= len(there)
            there = (there[self.sync_offset :] + there[: self.sync_offset])[:most]
            self.sync_offset += most
        return [held.entry._replace(remaining_s=held.expires_at - now) for held in there]

    # One word

    @staticmethod
    def _key(merge: Merge, topic: str, origin: str, subject: str) -> Key:
        return topic, origin if merge is Merge.PER_MEMBER else "", subject

    @staticmethod
    def _order(word: Entry) -> tuple[int, str, bytes]:
        return word.epoch, word.origin, word.value

    def _max_ttl_s(self, topic: str) -> float:
        return self.topics[topic].ttl_s if topic in self.topics else UNKNOWN_TOPIC_TTL_S

    def _defect(self, word: Entry) -> str:
        if not (1 <= len(word.topic) <= MAX_TOPIC_CHARS and 1 <= len(word.origin) <= MAX_NAME_CHARS):
            return "topic or origin"
        if len(word.subject) > MAX_SUBJECT_CHARS or len(word.value) > MAX_VALUE_BYTES:
            return "too long"
        if not 0 < word.epoch < MAX_EPOCH:
            return "epoch"
        if not 0 < word.remaining_s <= self._max_ttl_s(word.topic):
            return "a life that its topic does not allow"  # also one that is no number
        return ""

    def _receive_own(self, now: float, word: Entry) -> None:
        """What we said before a restart outlives us: it is outdone, or it would stand until its end."""
        rules = self.topics.get(word.topic)
        if rules is None:
            return
        mine = self.published.get((word.topic, word.subject))
        held = self.entries.get(self._key(rules.merge, word.topic, self.me, word.subject))
        if mine is None:
            if held is None and word.value and self._has_capacity(now, word, rules):
                self._store(now, word._replace(epoch=word.epoch + 1, value=b""), now + word.remaining_s)
        elif (word.epoch, word.value) > (mine.epoch, mine.value):
            mine.epoch = word.epoch
            self.publish(now, mine.topic, mine.subject, mine.value, mine.ttl_s, mine.renew)

    def _has_capacity(self, now: float, word: Entry, rules: Topic | None) -> bool:
        each, most = (
            (rules.max_per_member, rules.max_entries)
            if rules
            else (UNKNOWN_TOPIC_MAX_PER_MEMBER, UNKNOWN_TOPIC_MAX_ENTRIES)
        )
        if self.entry_counts.get((word.topic, word.origin), 0) >= each:
            return False
        there = self.by_topic.get(word.topic, {})
        if rules is None and word.topic not in self.by_topic:
            others = [name for name in self.by_topic if name not in self.topics]
            if len(others) >= UNKNOWN_TOPIC_MAX_ENTRIES:
                return False
        if len(there) < most:
            return True
        ended = next((key for key, held in there.items() if held.expires_at <= now), None)
        if ended is not None:
            self._remove(ended)
        return ended is not None

    def _store(self, now: float, word: Entry, expires_at: float) -> None:
        rules = self.topics.get(word.topic)
        key = self._key(rules.merge if rules else Merge.PER_MEMBER, word.topic, word.origin, word.subject)
        before = self.entries.get(key)
        if before is not None:
            self._adjust_count(before.entry, -1)
        lane = self.queues.setdefault(word.topic, TopicQueue())
        if before is not None and before.queued:
            lane.keys.remove(key)
        held = StoredEntry(word, expires_at, queued=True)
        self.entries[key] = self.by_topic.setdefault(word.topic, {})[key] = held
        self._adjust_count(word, 1)
        if not lane.keys and word.topic not in self.rotation:
            self.rotation.append(word.topic)
        lane.keys.appendleft(key)

    def _adjust_count(self, word: Entry, by: int) -> None:
        who = word.topic, word.origin
        count = self.entry_counts.get(who, 0) + by
        if count:
            self.entry_counts[who] = count
        else:
            self.entry_counts.pop(who, None)

    def _remove(self, key: Key) -> None:
        held = self.entries.pop(key)
        there = self.by_topic[key[0]]
        del there[key]
        if not there:
            del self.by_topic[key[0]]
        self._adjust_count(held.entry, -1)
        if held.queued:
            self.queues[key[0]].keys.remove(key)
